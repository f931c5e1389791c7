package core

import (
	"slices"
	"time"

	"github.com/micahill/micahill/internal/loss"
	"github.com/micahill/micahill/internal/ownership"
)

// workerReport takes a report that waits for its answer.
func (n *Node) workerReport(c WorkerReport) {
	o := n.owner
	r := &c.Report
	reportCame(n, r)
	x, mine := n.mine(r.Machine)
	switch {
	case o == nil || !mine:
		st := n.steward(r.Machine)
		if st == n.set.Host {
			st = ""
		}
		if st != "" {
			strayed(n, r, st)
		}
		n.emit(ReportReply{Reply: c.Reply, Status: 421, Steward: st})
		return
	case r.Epoch > x.Epoch:
		// Somebody has a higher epoch: this node was deposed or its watch is
		// late. A worker drops a lower epoch and would sit here while its
		// lease runs out, so send it on. If it is ours all the same, it needs a
		// higher epoch; see maybeRaise.
		if o.higher[r.Machine].IsZero() {
			o.higher[r.Machine] = n.now
		}
		n.emit(ReportReply{Reply: c.Reply, Status: 421})
		return
	case n.now.After(n.renewUntil()):
		n.emit(ReportReply{Reply: c.Reply, Status: 503})
		return
	case !o.ready:
		renewUnread(n, &c, x.Epoch)
		return
	case n.returned[r.Machine]:
		// Never given work again, and about to go.
		n.emit(ReportReply{Reply: c.Reply, Status: 503})
		return
	}
	m := n.machine(r.Machine)
	if passedOver(n, m, &c) {
		return
	}
	delete(o.higher, r.Machine)
	was := m.seen()
	n.hear(m, r, true)
	signs(n, m, r, was)
	// Looked at once for both: nearly all reports are of machines that are settled.
	settled := m.settled()
	until, renews := renewal(n, m, settled, nil, c.Reply)
	if !renews {
		return
	}
	orders := n.ordersDue(m, settled)
	for _, or := range orders {
		if or.Verb == Start {
			m.replyTick = r.Tick
		}
	}
	expectSign(m, orders)
	n.emit(ReportReply{Reply: c.Reply, Until: until, StartsUntil: startsUntil(n, m), Status: 200, Epoch: m.epoch, Orders: orders})
}

// hear takes in what a worker says, unless something newer was heard.
func (n *Node) hear(m *machine, r *Report, report bool) {
	if m.heard && m.older(r) {
		return
	}
	n.describe(m, r.Addr, r.Flavour, r.Zone, r.Spot)
	// After the worker has begun anew, an order from before that got no answer may be
	// carried out in a later tenure of the same number, until the worker has seen a
	// higher epoch. That one was given since says nothing.
	lapsed := m.heard && r.Tenure > m.tenure && !(m.unacked != 0 && m.anew >= m.unacked && r.Epoch <= m.unacked)
	if lapsed {
		// A later tenure: the worker has killed and forgotten everything.
		n.debug("lease ran out", "machine", m.id, "tenure", r.Tenure)
		n.loseAll(m, r)
	}
	if !m.heard {
		m.idleSince = n.now
		n.warmUp(m)
		n.cameUp(m)
	}
	if !m.heard || lapsed {
		m.replyTick, m.unacked = 0, 0
	}
	if !m.heard || r.Tenure > m.tenure {
		// A lease that has begun by now; what was known of an earlier one says
		// nothing of it. Heard by an answer, it may get work before we answer any
		// of its reports, and a former owner may go on prolonging it for a while.
		m.leaseEnd = later(m.leaseEnd, n.leaseAfter(later(n.now, m.former)))
	}
	m.heard, m.tenure, m.tick = true, r.Tenure, r.Tick
	m.seenEpoch = max(m.seenEpoch, r.Epoch)
	if m.newest = n.now; !report || r.Epoch >= m.epoch {
		// Sent in this owner's time, and no older than what was known.
		m.lastHeard, m.unanswered = n.now, 0
	}
	m.noDirect = false
	if r.Recall >= 0 {
		if !m.recall {
			n.debug("notice", "machine", m.id, "in", r.Recall)
		}
		m.recall, m.recallAt = true, n.now.Add(r.Recall)
	}
	if report && m.replyTick != 0 && r.Tick > m.replyTick {
		m.replyTick = 0
	}
	if m.unacked != 0 && m.seenEpoch > m.unacked {
		m.unacked = 0
	}
	if m.same(r) {
		return
	}
	m.last = r.Tasks
	m.pieces = make(map[taskKey]TaskReport, len(r.Tasks))
	for _, p := range r.Tasks {
		k := taskKey{p.Job, p.Index}
		// Of several attempts of a task on one machine the living one counts.
		if q, ok := m.pieces[k]; !ok || q.Status == Ended {
			m.pieces[k] = p
		}
		n.piece(m, k, p)
	}
	registrySees(n, m)
	if report {
		missStarts(m)
	}
	for _, k := range m.attemptsIf(func(t *task) bool { return t.stop != stopNone }) {
		if _, ok := m.pieces[k]; !ok && n.quiet(m) {
			// To be stopped, and not there: the proof that it is gone.
			n.gone(n.owner.jobs[k.job], k.index, false)
		}
	}
}

// missMost is how many reports in a row may be without a task that was ordered to start
// with the answer to each report before. One answer may be late and dropped, or lost.
const missMost = 5

// missStarts counts the reports that do not show what was ordered to start.
func missStarts(m *machine) {
	for k, t := range m.attempts {
		if p, ok := m.pieces[k]; !ok || p.Try != t.try {
			if t.sent && t.misses < missMost {
				t.misses++
			}
		}
	}
}

// startsNothing deals with machines that report and never start what they are told to:
// what was to start there goes elsewhere, with the usual proof, and they are returned.
// When many seem to be like that, the fault is more likely in the links, and answers
// that do not arrive are none of the machines' doing.
func startsNothing(n *Node) {
	missed := func(t *task) bool { return t.misses >= missMost && t.stop == stopNone }
	var idle []*machine
	reporting := 0
	for _, m := range n.owner.byID {
		if !m.heard || m.returning || n.silent(m) {
			continue
		}
		reporting++
		if _, deaf := m.reach.Deaf(n.now); deaf {
			// It hears nothing of what it is told; see unhearing.
			continue
		}
		for _, t := range m.attempts {
			if missed(t) {
				idle = append(idle, m)
				break
			}
		}
	}
	if len(idle) == 0 || loss.Many(loss.Pool{Reporting: reporting}, len(idle)) {
		return
	}
	for _, m := range idle {
		if !m.bad {
			n.info("machine starts nothing that it is told to", "machine", m.id)
		}
		m.bad = true
		for _, k := range m.attemptsIf(missed) {
			t := m.attempts[k]
			t.stop, t.avoid = stopDrain, m.id
			n.mark(m)
		}
	}
}

// attemptsIf names the attempts that fulfil a condition, in order. Mostly there
// are none, and nothing is sorted.
func (m *machine) attemptsIf(is func(*task) bool) []taskKey {
	var keys []taskKey
	for k, t := range m.attempts {
		if is(t) {
			keys = append(keys, k)
		}
	}
	sortTasks(keys)
	return keys
}

// same says that a report tells nothing that is not known: the attempts that
// should be there run there, as before. Nearly all reports of a large pool are
// like that, and cost next to nothing here.
func (m *machine) same(r *Report) bool {
	if len(r.Tasks) != len(m.attempts) || !slices.Equal(r.Tasks, m.last) || len(m.pieces) != len(m.last) {
		return false
	}
	for i := range m.last {
		p := &m.last[i]
		t := m.attempts[taskKey{p.Job, p.Index}]
		if t == nil || t.try != p.Try || t.stop != stopNone || !t.seen || t.status != p.Status || p.Status == Ended {
			return false
		}
	}
	return true
}

// piece takes in one line of a report.
func (n *Node) piece(m *machine, k taskKey, p TaskReport) {
	j := n.owner.jobs[k.job]
	if j == nil || k.index < 0 || k.index >= len(j.tasks) {
		return
	}
	t := &j.tasks[k.index]
	if t.m != m || t.try != p.Try {
		return
	}
	if t.isRunning() {
		j.running--
	}
	m.shown = m.shown || !t.seen && !t.inherited
	t.seen, t.status, t.misses = true, p.Status, 0
	if t.isRunning() {
		j.running++
	}
	switch p.Status {
	case Fetching:
		m.image(j, n.now, false)
	case Running, Flushing:
		m.image(j, n.now, true)
		if t.started.IsZero() {
			t.started = n.now
			n.debug("running", "job", j.ID, "task", k.index, "try", t.try, "machine", m.id, "age", n.now.Sub(j.at), "fetched", n.now.Sub(time.UnixMilli(t.group)))
		}
	case Ended:
		switch p.Cause {
		case "done":
			m.image(j, n.now, true)
			// What a former owner started has run for longer than was seen
			// here; a median of such times is near nothing, and would have all
			// its tasks relaunched.
			if !t.started.IsZero() && !t.inherited {
				ran := n.now.Sub(t.started)
				n.compare(m, j, ran)
				j.ran(ran)
				n.learn(j, ran)
			}
			// What failed elsewhere is done here.
			n.judge(n.owner.blame.Done(j.ID, k.index, m.id))
			n.gone(j, k.index, true)
		case "error":
			n.failed(m, j, k.index)
			n.gone(j, k.index, false)
		case "unknown":
			// The worker says no such job: try again, not at once.
			t.notBefore = n.now.Add(n.jitter(2 * time.Second))
			n.gone(j, k.index, false)
		default:
			n.gone(j, k.index, false)
		}
	}
}

// compare keeps a running ratio of run time against what was expected.
func (n *Node) compare(m *machine, j *job, ran time.Duration) {
	ref, ok := j.median()
	if !ok || len(j.sorted) < 2 {
		return
	}
	m.speedN++
	r := ran.Seconds() / max(ref.Seconds(), 0.1)
	if m.speedN == 1 {
		m.speed = r
		return
	}
	m.speed += 0.3 * (r - m.speed)
}

// failed takes note that a task failed on a machine: internal/blame says whose fault
// it is. The task is tried again elsewhere, and a job that fails everywhere ever more
// slowly, one task at a time.
func (n *Node) failed(m *machine, j *job, index int) {
	t := &j.tasks[index]
	t.fails++
	t.avoid = m.id
	pause := time.Second
	for i := 1; i < min(t.fails, 6); i++ {
		pause *= 2
	}
	if t.fails > 1 {
		t.notBefore = n.now.Add(n.jitter(pause))
	}
	n.debug("task failed", "job", j.ID, "task", index, "machine", m.id, "fails", t.fails)
	b := &n.owner.blame
	if j.done > 0 {
		// What was done before its first failure, or under a former owner, counts.
		b.Works(j.ID)
	}
	was := b.Broken(j.ID)
	n.judge(b.Failed(j.ID, index, m.id))
	if pause := b.Pause(j.ID); pause > 0 {
		j.notBefore = n.now.Add(n.jitter(pause))
	}
	if b.Broken(j.ID) && !was {
		n.info("a job fails on every machine: it is tried ever more slowly", "job", j.ID, "workload", j.Workload, "owner", j.Team)
	}
}

// judge looks again at machines of which internal/blame thinks otherwise now.
func (n *Node) judge(hosts []string) {
	for _, id := range hosts {
		m := n.owner.machines[id]
		if m == nil {
			continue
		}
		m.bad = n.owner.blame.Faulty(id)
		if m.bad {
			n.info("machine is faulty", "machine", id)
		} else {
			n.info("machine is not faulty: what failed there fails everywhere", "machine", id)
		}
	}
}

// loseAll notes that everything on m is gone. What the new report lists has
// been started since, and stays.
func (n *Node) loseAll(m *machine, r *Report) {
	for _, k := range sortedAttempts(m) {
		t := m.attempts[k]
		if r != nil {
			kept := slices.ContainsFunc(r.Tasks, func(p TaskReport) bool {
				return p.Job == k.job && p.Index == k.index && p.Try == t.try
			})
			if kept {
				continue
			}
		}
		n.gone(n.owner.jobs[k.job], k.index, false)
	}
	n.owner.registry.Lost(n.now, m.id, func(a ownership.Attempt) bool {
		return r != nil && slices.ContainsFunc(r.Tasks, func(p TaskReport) bool {
			return p.Job == a.Job && p.Index == a.Index && p.Try == a.Try
		})
	})
	m.pieces, m.last = nil, nil
	n.countForeign(m)
	m.images = map[string]*image{}
}

package core

import (
	"cmp"
	"slices"
	"strings"
	"time"
)

const (
	// lazyWrite is how long progress that costs only repeated work when lost
	// may wait to share a write, if few others wait as well; lazyPart is the
	// part of the limit of changes that such writes take when many do, and
	// lazyLongest how long they then wait at most.
	lazyWrite   = time.Second
	lazyPart    = 0.2
	lazyLongest = 10 * time.Second
	// lazyMost bounds the changes of a write for which no start waits, so that
	// a start that comes next is soon let through.
	lazyMost = 4
	// slowWrite is how long a write takes that the log tells of, at debug.
	slowWrite = 500 * time.Millisecond
	// chunkTxns bounds the owner's transactions in flight.
	chunkTxns = 3
	// ownerPeriod is how often the owner looks round without being asked.
	ownerPeriod = 500 * time.Millisecond
	// hostTurns is in how many turns, a second each, the others are told of all
	// machines, and hostMemory how long they remember one.
	hostTurns  = 5
	hostMemory = 15 * time.Second
	// loadsEvery is how often the others are told of the workloads.
	loadsEvery = 5 * time.Second
	// placeEvery separates two rounds of placing. Ends and arrivals come by
	// the dozen a second in a large pool; a round looks at every machine, and
	// what it places shares a write.
	placeEvery = 150 * time.Millisecond
	// raiseEvery bounds how often an owner raises its epoch by itself.
	raiseEvery = 3 * time.Second
	// saveEvery separates two looks at what is to be written, which go through all
	// jobs, but after a round of placing: hundreds of reports come in a second.
	saveEvery = 20 * time.Millisecond
)

// owner runs the teams and machines of this controller's share.
type owner struct {
	epoch    uint64
	share    shareRecord
	since    time.Time
	ready    bool
	readyAt  time.Time
	gen      int
	jobs     map[string]*job
	machines map[string]*machine
	// byID are the machines in the order of their names, and dirty those for
	// which orders may be due.
	byID  []*machine
	dirty []*machine
	// heirs are machines of a former owner that are still to be contacted, and
	// contacts counts the questions under way.
	heirs    []*machine
	contacts int
	used     map[string]Resources
	rev      uint64
	inFlight int
	// lazy counts the writes under way for which no start waits.
	lazy  int
	wake  time.Time
	swept time.Time
	// place: something has changed that may let tasks be placed, and hurry:
	// for one whose wait is bounded. placed is when that was last done.
	place, hurry bool
	placed       time.Time
	// roundTook is how long the step with the last round of placing took.
	roundTook time.Duration
	// saved is when what is to be written was last looked at.
	saved time.Time
	// prey is where urgent work may take the place of other work.
	prey map[preyKey]*prey
	// view is the leader's knowledge of this owner's machines; wants and gone
	// are what is asked of it.
	view    *view
	planned time.Time
	// pass is a look at the fleet that is under way, to be carried on at passAt,
	// and wantsSeq the leader's news that it rests on.
	pass     *pass
	passAt   time.Time
	wantsSeq uint64
	// retired is when dear machines were last chosen to be retired.
	retired time.Time
	wants   map[kind]int
	gone    []string
	// frozen teams are being given up: nothing more is started for them.
	frozen   map[string]bool
	frozenBy uint64
	raised   time.Time
	// toldLost is when the log last told of machines that are silent together.
	toldLost time.Time
	// orphans are task/ records whose job is over.
	orphans []string
	// arrivals remember when work of each workload came, for warm room.
	arrivals map[string][]arrival
	// workloads holds the newest job of each workload.
	workloads map[string]*workload
	// waiting is, for each workload with tasks that wait for a place, when the
	// first of them should start at the latest.
	waiting   map[string]time.Time
	told      time.Time
	toldLoads time.Time
	// warm is what machines held under a former owner; warmed is when a record
	// of that was last written, warming that one is under way, and warmFrom
	// and warmKey where the next begins.
	warm              map[string]map[string]float64
	warmed            time.Time
	warming           bool
	warmFrom, warmKey int
	// turn says which machines the others are told of next.
	turn int
}

type workload struct {
	spec *Spec
	last time.Time
}

type arrival struct {
	at    time.Time
	tasks int
	need  Resources
	spec  *Spec
}

// grace is H: how long an owner goes on answering its workers after its grant
// may have ended. A full lease, so that a long outage of the state service
// costs no work; a successor that reaches the workers needs not wait for it,
// because the higher epoch reaches them at once.
func (n *Node) grace() time.Duration { return n.set.Lease }

// ownerCheck takes up, updates or drops the owner role as ctl/ says.
func (n *Node) ownerCheck() {
	s := &n.sess
	share, ok := s.shares[n.set.Host]
	if !ok || share.Nonce != n.set.Nonce || len(share.Teams) == 0 || s.grant == 0 || s.leadStamp == 0 {
		if s.leadStamp != 0 || s.grant == 0 {
			n.dropOwner("no share")
		}
		return
	}
	stamp := s.stamps[sharePrefix+n.set.Host]
	if o := n.owner; o != nil {
		if o.frozenBy != s.leadStamp {
			// The leader that asked for a team has gone, and with it the
			// condition of whatever move it may have sent.
			o.frozenBy, o.frozen = s.leadStamp, map[string]bool{}
		}
		if o.epoch == stamp {
			return
		}
		if slices.Equal(o.share.Teams, share.Teams) {
			o.epoch, o.share, n.held = stamp, share, stamp
			o.place = true
			for _, m := range o.byID {
				n.mark(m)
			}
			return
		}
		n.dropOwner("teams changed")
	}
	if stamp == n.held {
		// This life has run the share before and dropped the role: which of its
		// starts are still on their way is not known any more. Under a higher
		// epoch they can no longer be executed.
		n.raiseShare()
		return
	}
	n.held = stamp
	n.owner = &owner{
		epoch: stamp, share: share, since: n.now, gen: int(n.id()),
		frozen: map[string]bool{}, frozenBy: s.leadStamp,
		jobs: map[string]*job{}, machines: map[string]*machine{}, used: map[string]Resources{},
		arrivals: map[string][]arrival{}, workloads: map[string]*workload{}, warm: map[string]map[string]float64{},
	}
	n.info("owner", "epoch", stamp, "teams", share.Teams)
	n.load()
}

func (n *Node) dropOwner(why string) {
	if n.owner == nil {
		return
	}
	n.info("owner no more", "why", why, "epoch", n.owner.epoch)
	n.owner.endPass()
	n.owner = nil
}

// load reads all that is alive: open/, then task/. Chunks are written only by
// the owner, so none changes in between but those of a deposed owner, whose
// writes fail by the stamp of its share.
func (n *Node) load() {
	o := n.owner
	gen := o.gen
	var tasks []Item
	var open []Item
	var listTasks, listOpen, listWarm func(from string)
	again := func(fn func(string), from string) {
		n.after(n.jitter(retryPause), func() {
			if n.owner != nil && n.owner.gen == gen {
				fn(from)
			}
		})
	}
	listOpen = func(from string) {
		n.ask(StateOp{Kind: OpList, Prio: PrioSession, Key: openPrefix, From: from}, func(d StateDone) {
			if n.owner == nil || n.owner.gen != gen {
				return
			}
			if d.Status != StateOK {
				again(listOpen, from)
				return
			}
			if from == "" {
				o.rev = d.Rev
			}
			open = append(open, d.Items...)
			if d.Truncated && len(d.Items) > 0 {
				listOpen(d.Items[len(d.Items)-1].Key)
				return
			}
			listTasks("")
		})
	}
	listTasks = func(from string) {
		n.ask(StateOp{Kind: OpList, Prio: PrioSession, Key: taskPrefix, From: from}, func(d StateDone) {
			if n.owner == nil || n.owner.gen != gen {
				return
			}
			if d.Status != StateOK {
				again(listTasks, from)
				return
			}
			tasks = append(tasks, d.Items...)
			if d.Truncated && len(d.Items) > 0 {
				listTasks(d.Items[len(d.Items)-1].Key)
				return
			}
			listWarm("")
		})
	}
	// Images are no more than a help: without them it goes on as well.
	listWarm = func(from string) {
		n.ask(StateOp{Kind: OpList, Prio: PrioSession, Key: warmPrefix, From: from}, func(d StateDone) {
			if n.owner == nil || n.owner.gen != gen {
				return
			}
			for _, it := range d.Items {
				n.warmItem(it)
			}
			if d.Status == StateOK && d.Truncated && len(d.Items) > 0 {
				listWarm(d.Items[len(d.Items)-1].Key)
				return
			}
			n.loaded(open, tasks)
		})
	}
	listOpen("")
}

func (n *Node) loaded(open, tasks []Item) {
	o := n.owner
	for _, it := range open {
		n.openItem(it)
	}
	for _, it := range tasks {
		id := jobID(it.Key, taskPrefix)
		j := o.jobs[id]
		if j == nil {
			if !n.otherTeams(open, id) {
				o.orphans = append(o.orphans, it.Key)
			}
			continue
		}
		var r chunkRecord
		if !decode(it.Value, &r) {
			n.info("unreadable record", "key", it.Key)
			continue
		}
		n.restore(j, it, &r)
	}
	for _, j := range o.jobs {
		n.settleRestored(j)
	}
	o.ready, o.place, o.readyAt = true, true, n.now
	n.info("owner ready", "jobs", len(o.jobs), "machines", len(o.machines), "after", n.now.Sub(o.since))
	n.ownerFollow(o.gen)
	// Reach the machines with living attempts at once: the higher epoch ends
	// what a former owner may still order, and their reports are the proof.
	// Those without are contacted as well, or they would stay with a former
	// owner that has lost the state service alone, for the whole of its grace.
	for _, id := range sortedKeys(n.heirloom) {
		if h := n.heirloom[id]; n.now.Sub(h.heard) < hostMemory && n.steward(id) == n.set.Host && !n.returned[id] {
			m := n.machine(id)
			n.describe(m, h.Addr, h.Flavour, h.Zone, h.Spot)
			for name, gb := range h.Images {
				m.images[name] = &image{gb: gb, last: n.now, cached: true}
			}
		}
	}
	o.heirs = slices.Clone(o.byID)
	slices.SortStableFunc(o.heirs, func(a, b *machine) int {
		return cmp.Compare(b2f(len(a.attempts) == 0), b2f(len(b.attempts) == 0))
	})
	n.contactHeirs()
}

// hosts is what a successor has to know of the machines: of some of them at a
// time, so that news of a large pool is spread over the seconds.
func (n *Node) hosts() []HostNews {
	var out []HostNews
	n.owner.turn = (n.owner.turn + 1) % hostTurns
	for i, m := range n.owner.byID {
		if i%hostTurns != n.owner.turn {
			continue
		}
		id := m.id
		if !m.heard || m.returning || n.silent(m) {
			continue
		}
		h := HostNews{ID: id, Addr: m.addr, Flavour: m.flavour, Zone: m.zone, Spot: m.spot, Images: map[string]float64{}}
		for name, im := range m.images {
			if im.cached {
				h.Images[name] = im.gb
			}
		}
		out = append(out, h)
	}
	return out
}

func (n *Node) otherTeams(open []Item, id string) bool {
	for _, it := range open {
		if it.Key == openPrefix+id {
			return true
		}
	}
	return false
}

func (n *Node) restore(j *job, it Item, r *chunkRecord) {
	var k int
	for _, ch := range strings.TrimPrefix(it.Key, taskPrefix+j.ID+"/") {
		k = k*10 + int(ch-'0')
	}
	c := &chunk{n: k, stamp: it.Stamp, ver: 1, saved: 1, writing: 1}
	if j.cancelled && len(j.tasks) < (k+1)*j.per {
		j.tasks = append(j.tasks, make([]task, (k+1)*j.per-len(j.tasks))...)
	}
	j.chunks[k] = c
	for i := 0; i+1 < len(r.Runs); i += 2 {
		for x := r.Runs[i]; x <= r.Runs[i+1] && x < len(j.tasks); x++ {
			t := &j.tasks[x]
			t.done, t.ver, t.try = true, 1, 1
			j.done++
			j.fresh = max(j.fresh, x+1)
		}
	}
	marks := map[int64]bool{}
	for _, g := range r.Marks {
		marks[g] = true
	}
	for _, row := range r.Rows {
		if row.Index >= len(j.tasks) {
			continue
		}
		t := &j.tasks[row.Index]
		t.try, t.group, t.relaunched, t.ver = row.Try, row.Group, row.Relaunched, 1
		j.fresh = max(j.fresh, row.Index+1)
		if row.Machine != "" {
			m := n.machine(row.Machine)
			// A former owner may have gone on answering for its grace.
			m.leaseEnd = later(m.leaseEnd, n.leaseAfter(n.now.Add(n.grace())))
			n.attach(j, row.Index, m)
			t.sent, t.inherited = true, true
			g := j.groups[row.Group]
			if g == nil {
				g = &group{start: time.UnixMilli(row.Group), marked: marks[row.Group]}
				j.groups[row.Group] = g
			}
			g.tasks = append(g.tasks, row.Index)
		}
	}
	if len(j.sorted) == 0 {
		for _, ms := range r.Times {
			j.ran(time.Duration(ms) * time.Millisecond)
		}
	}
}

// settleRestored queues what is neither done nor live.
func (n *Node) settleRestored(j *job) {
	for i := range j.tasks[:j.fresh] {
		if t := &j.tasks[i]; !t.done && t.m == nil {
			j.again = append(j.again, i)
		}
		if t := &j.tasks[i]; j.cancelled && t.m != nil {
			t.stop = stopCancel
		}
	}
}

func (n *Node) ownerFollow(gen int) {
	if n.owner == nil || n.owner.gen != gen {
		return
	}
	n.ask(StateOp{Kind: OpFollow, Prio: PrioSession, Key: openPrefix, Rev: n.owner.rev, Hold: watchHold}, func(d StateDone) {
		o := n.owner
		if o == nil || o.gen != gen {
			return
		}
		switch d.Status {
		case StateOK:
			o.rev = max(o.rev, d.Rev)
			for _, it := range d.Items {
				n.openItem(it)
			}
			n.ownerFollow(gen)
		case StateGone:
			// Too old: read everything again, as after a takeover.
			n.dropOwner("watch too old")
			n.ownerCheck()
		default:
			n.after(n.jitter(retryPause), func() { n.ownerFollow(gen) })
		}
	})
}

// ownerSees tells the owner at once of a change this node wrote itself.
func (n *Node) ownerSees(it Item) {
	if n.owner != nil && n.owner.ready {
		n.openItem(it)
	}
}

func (n *Node) openItem(it Item) {
	o := n.owner
	id := jobID(it.Key, openPrefix)
	j := o.jobs[id]
	if it.Removed {
		if j != nil && j.elsewhere() {
			// Settled by the leader, who has heard from the peer.
			delete(o.jobs, id)
		}
		return
	}
	if j != nil && it.Stamp <= j.stamp {
		return
	}
	if _, ended := n.users.final[id]; ended && j == nil && n.users.final[id] == Done {
		return
	}
	var r openRecord
	if !decode(it.Value, &r) {
		n.info("unreadable record", "key", it.Key)
		return
	}
	if j == nil {
		// An earlier form kept nothing of a cancelled job but that it is one.
		if (!r.Cancelled || r.Team != "") && !slices.Contains(o.share.Teams, r.Team) {
			return
		}
		spec := r.spec(id)
		if r.Cancelled {
			spec.Tasks = r.Tasks
		}
		at := time.UnixMilli(r.At)
		if o.ready {
			// It has just come, and this clock is the one that its waits are
			// judged by here; another controller's may be a second off.
			at = n.now
		}
		j = newJob(spec, at, it.Stamp, n.set.ValueBytes)
		o.jobs[id] = j
		if !r.Cancelled {
			n.debug("job", "job", id, "workload", j.Workload, "tasks", j.Tasks, "due", j.Due, "image", j.Image, "age", n.now.Sub(j.at))
			o.workloads[j.Workload] = &workload{&j.Spec, n.now}
			o.hurry = o.hurry || n.waitBound(j.Workload) > 0
			if o.ready {
				// What is there at a takeover came before.
				o.arrivals[j.Workload] = append(o.arrivals[j.Workload], arrival{n.now, j.Tasks, j.Need, &j.Spec})
			}
		}
	}
	j.stamp = it.Stamp
	j.loaned(&r)
	if r.Cancelled && !j.cancelled {
		j.cancelled = true
		n.setFinal(id, Cancelled)
		for i := range j.tasks[:j.fresh] {
			if t := &j.tasks[i]; t.m != nil {
				t.stop = stopCancel
				n.mark(t.m)
			}
		}
	}
	o.place = true
}

// attach makes the attempt of task i live on m.
func (n *Node) attach(j *job, i int, m *machine) {
	t := &j.tasks[i]
	t.m = m
	j.live++
	j.zoneLive[m.zone]++
	m.attempts[taskKey{j.ID, i}] = t
	m.used = m.used.Plus(j.Need, 1)
	u := n.owner.used[j.Team]
	n.owner.used[j.Team] = u.Plus(j.Need, 1)
}

// gone takes note of the proof that a live attempt is over.
func (n *Node) gone(j *job, i int, done bool) {
	t := &j.tasks[i]
	m := t.m
	if m == nil {
		return
	}
	o := n.owner
	delete(m.attempts, taskKey{j.ID, i})
	m.used = m.used.Plus(j.Need, -1)
	o.used[j.Team] = o.used[j.Team].Plus(j.Need, -1)
	j.live--
	j.zoneLive[m.zone]--
	if len(m.attempts) == 0 {
		m.idleSince = n.now
		m.used = Resources{}
	}
	if t.isRunning() {
		j.running--
	}
	t.m, t.seen, t.started = nil, false, time.Time{}
	if t.stop == stopRelaunch {
		t.avoid = m.id
	}
	t.stop = stopNone
	if done {
		t.done = true
		j.done++
	} else if !j.cancelled {
		j.again = append(j.again, i)
	}
	j.touch(i, n.now, done && j.done == len(j.tasks))
	o.place = true
}

// ownerTick does what is due: sweep the machines, relaunch, place, write, and
// send orders.
func (n *Node) ownerTick() {
	o := n.owner
	if !o.ready {
		o.wake = n.now.Add(ownerPeriod)
		return
	}
	if n.now.Sub(o.swept) >= ownerPeriod {
		o.swept = n.now
		n.sweep()
		if checkEars(n); n.owner != o {
			return
		}
		n.relaunch()
		n.maybeRaise()
		n.planFleet(true)
		n.tellPeers()
		n.writeWarm()
		o.place = true
	}
	if o.pass != nil {
		n.planFleet(false)
	}
	if o.place && !n.now.Before(o.nextRound()) {
		o.place, o.hurry, o.placed = false, false, n.now
		n.placed = true
		n.placeAll()
		o.saved = time.Time{}
	}
	if n.now.Sub(o.saved) >= saveEvery {
		o.saved = n.now
		n.endJobs()
		n.writeChunks()
	}
	n.directAll()
	o.wake = o.swept.Add(ownerPeriod)
	if next := o.saved.Add(saveEvery); o.saved != n.now && next.Before(o.wake) {
		o.wake = next
	}
	if next := o.nextRound(); o.place && next.Before(o.wake) {
		o.wake = next
	}
}

// nextRound is when tasks may be placed again. A round that took long leaves as
// much time and half of it again to others, however much work waits.
func (o *owner) nextRound() time.Time {
	gap := placeEvery
	if o.hurry {
		gap = 0
	}
	return o.placed.Add(max(gap, o.roundTook*5/2))
}

// unsaved are the jobs with chunks to write, in order.
func (o *owner) unsaved() []*job {
	var out []*job
	for _, j := range o.jobs {
		if !j.unsaved {
			continue
		}
		j.unsaved = false
		for _, c := range j.chunks {
			j.unsaved = j.unsaved || c.busy || c.ver != c.saved
		}
		if j.unsaved {
			out = append(out, j)
		}
	}
	// Starts of urgent work are not to wait behind those of other work.
	slices.SortFunc(out, func(a, b *job) int {
		return cmp.Or(cmp.Compare(b.Urgency, a.Urgency), a.at.Compare(b.at), strings.Compare(a.ID, b.ID))
	})
	return out
}

// writeChunks writes changed chunks, the urgent ones now and the others with
// them or when they have waited long enough.
func (n *Node) writeChunks() {
	o := n.owner
	unsaved := o.unsaved()
	// What waits grows with the number of living jobs; the limit of changes
	// does not.
	patience := Seconds(float64(len(unsaved)) / max(1, lazyPart*n.set.StateWrites))
	patience = min(max(patience, lazyWrite), lazyLongest)
	crowded := patience > lazyWrite
	for len(unsaved) > 0 && o.inFlight < chunkTxns {
		op := StateOp{Kind: OpTxn, Prio: PrioLazy, When: []Cond{{sharePrefix + n.set.Host, o.epoch}}}
		type part struct {
			j   *job
			c   *chunk
			ver uint64
		}
		var parts []part
		size := 0
		based := map[string]bool{}
		add := func(most int, due func(*chunk) bool) {
			for _, j := range unsaved {
				id := j.ID
				// A cancelled job's records only go; see endJob.
				if j.ending || j.cancelled {
					continue
				}
				for _, k := range sortedKeys(j.chunks) {
					c := j.chunks[k]
					if c.busy || c.ver == c.saved || len(op.Apply) >= most || !due(c) {
						continue
					}
					val := encode(j.record(c))
					// The limit counts JSON; that is at most about three times
					// the length of these short rows.
					if size += 3 * len(val); size > 48<<10 && len(op.Apply) > 0 {
						return
					}
					if !based[id] {
						based[id] = true
						op.When = append(op.When, Cond{openPrefix + id, j.stamp})
					}
					op.When = append(op.When, Cond{c.key(id), c.stamp})
					op.Apply = append(op.Apply, Change{Key: c.key(id), Value: val})
					if c.urgent {
						op.Prio = PrioStart
					}
					c.busy, c.urgent, c.writing = true, false, c.ver
					parts = append(parts, part{j, c, c.ver})
				}
			}
		}
		late := func(c *chunk) bool { return n.now.Sub(c.since) >= patience }
		switch add(n.set.TxnOps, func(c *chunk) bool { return c.urgent }); {
		case !crowded:
			add(n.set.TxnOps, late)
			if len(parts) > 0 {
				// Progress that is not due yet shares the write.
				add(n.set.TxnOps, func(*chunk) bool { return true })
			}
		case len(parts) == 0 && o.lazy == 0:
			add(min(lazyMost, n.set.TxnOps), late)
		}
		if len(parts) == 0 {
			return
		}
		lazy := 0
		if op.Prio == PrioLazy {
			lazy = 1
		}
		o.lazy += lazy
		o.inFlight++
		gen, asked := o.gen, n.now
		n.ask(op, func(d StateDone) {
			o := n.owner
			if o == nil || o.gen != gen {
				return
			}
			o.inFlight--
			o.lazy -= lazy
			if took := n.now.Sub(asked); took > slowWrite || d.Status != StateOK {
				n.debug("slow write", "took", took, "chunks", len(parts), "status", d.Status, "lazy", lazy)
			}
			for _, p := range parts {
				switch d.Status {
				case StateOK:
					p.c.busy = false
					p.c.stamp, p.c.saved = d.Rev, p.ver
					n.chunkSaved(p.j, p.c)
				case StateConflict:
					n.settle(p.j, p.c, d.Failed)
				case StateRefused:
					n.retryChunk(p.j, p.c)
				case StateUnknown:
					// Perhaps applied, perhaps later: read what stands there.
					n.reread(p.j, p.c)
				default:
					n.info("write refused as malformed", "job", p.j.ID, "chunk", p.c.n)
					n.retryChunk(p.j, p.c)
				}
			}
		})
	}
}

func (n *Node) retryChunk(j *job, c *chunk) {
	c.urgent = true
	n.after(n.jitter(retryPause), func() { c.busy = false })
}

// settle deals with a write whose conditions failed. If the share or the job
// changed, the watches tell the rest; if the chunk did, it was an earlier
// write of our own, applied late, and all it holds is still meant.
func (n *Node) settle(j *job, c *chunk, failed []string) {
	switch {
	case slices.Contains(failed, sharePrefix+n.set.Host), slices.Contains(failed, openPrefix+j.ID):
		n.retryChunk(j, c)
	case slices.Contains(failed, c.key(j.ID)):
		n.reread(j, c)
	default:
		// Another job of the same write was cancelled or is over.
		c.urgent, c.busy = true, false
	}
}

func (n *Node) reread(j *job, c *chunk) {
	gen := n.owner.gen
	n.ask(StateOp{Kind: OpGet, Prio: PrioStart, Key: c.key(j.ID)}, func(d StateDone) {
		if n.owner == nil || n.owner.gen != gen {
			return
		}
		switch d.Status {
		case StateOK:
			// Written by this owner: another's write would have needed its own
			// share, whose stamp every write names. Whether it is the newest of
			// our writes is not told, so write again on top of it.
			c.stamp, c.busy, c.urgent = d.Items[0].Stamp, false, true
		case StateNotFound:
			c.stamp = 0
			n.retryChunk(j, c)
		default:
			n.after(n.jitter(retryPause), func() {
				if n.owner != nil && n.owner.gen == gen {
					n.reread(j, c)
				}
			})
		}
	})
}

// chunkSaved sends what waited for the write: starts.
func (n *Node) chunkSaved(j *job, c *chunk) {
	for i := c.n * j.per; i < min((c.n+1)*j.per, j.fresh); i++ {
		if t := &j.tasks[i]; t.m != nil && (!t.sent || t.stop != stopNone) {
			n.mark(t.m)
		}
	}
}

// endJobs writes the end of jobs whose tasks are all done, and clears away
// cancelled ones whose tasks are all gone.
func (n *Node) endJobs() {
	o := n.owner
	var over []*job
	for _, j := range o.jobs {
		if !j.ending && (j.cancelled && j.live == 0 || !j.cancelled && j.done == len(j.tasks)) {
			over = append(over, j)
		}
	}
	slices.SortFunc(over, func(a, b *job) int { return strings.Compare(a.ID, b.ID) })
	for _, j := range over {
		if o.inFlight < chunkTxns+2 {
			n.endJob(j)
		}
	}
	if len(o.orphans) > 0 && o.inFlight == 0 {
		n.dropOrphans()
	}
}

func (n *Node) endJob(j *job) {
	o := n.owner
	j.ending = true
	op := StateOp{Kind: OpTxn, Prio: PrioStart, When: []Cond{{sharePrefix + n.set.Host, o.epoch}, {openPrefix + j.ID, j.stamp}}}
	if !j.cancelled {
		op.Apply = append(op.Apply, Change{Key: jobPrefix + j.ID, Value: encode(jobRecord{Status: Done, Tasks: len(j.tasks)})})
	}
	op.Apply = append(op.Apply, Change{Key: openPrefix + j.ID})
	// The records of its tasks mean nothing without it and go when there is
	// time: changes are short just when many jobs end and others start.
	var rest []string
	for _, k := range sortedKeys(j.chunks) {
		if c := j.chunks[k]; c.stamp != 0 || c.busy {
			rest = append(rest, c.key(j.ID))
		}
	}
	o.inFlight++
	gen := o.gen
	n.ask(op, func(d StateDone) {
		o := n.owner
		if d.Status == StateOK && !j.cancelled {
			n.setFinal(j.ID, Done)
			n.debug("job done", "job", j.ID, "workload", j.Workload, "age", n.now.Sub(j.at))
		}
		if o == nil || o.gen != gen {
			return
		}
		o.inFlight--
		switch d.Status {
		case StateOK:
			n.jobOver(j, rest)
		case StateConflict:
			n.ask(StateOp{Kind: OpGet, Prio: PrioStart, Key: jobPrefix + j.ID}, func(d StateDone) {
				var r jobRecord
				if d.Status == StateOK && decode(d.Items[0].Value, &r) && r.Status == Done {
					n.setFinal(j.ID, Done)
					if n.owner != nil && n.owner.gen == gen {
						n.jobOver(j, rest)
					}
					return
				}
				if j.cancelled && d.Status == StateOK {
					// An earlier try that got no answer may have removed it.
					n.ask(StateOp{Kind: OpGet, Prio: PrioStart, Key: openPrefix + j.ID}, func(d StateDone) {
						if d.Status == StateNotFound && n.owner != nil && n.owner.gen == gen {
							n.jobOver(j, rest)
							return
						}
						n.after(n.jitter(retryPause), func() { j.ending = false })
					})
					return
				}
				n.after(n.jitter(retryPause), func() { j.ending = false })
			})
		default:
			n.after(n.jitter(retryPause), func() { j.ending = false })
		}
	})
}

func (n *Node) jobOver(j *job, rest []string) {
	o := n.owner
	delete(o.jobs, j.ID)
	o.orphans = append(o.orphans, rest...)
}

// dropOrphans removes records of tasks whose job is over. Each removal needs
// that the job's open record is gone: a record that a list showed may belong to
// a job that came after open/ was listed, and that another controller runs.
func (n *Node) dropOrphans() {
	o := n.owner
	k := min(len(o.orphans), lazyMost, n.set.TxnOps)
	keys := o.orphans[:k]
	o.orphans = slices.Clone(o.orphans[k:])
	op := StateOp{Kind: OpTxn, Prio: PrioLazy, When: []Cond{{sharePrefix + n.set.Host, o.epoch}}}
	for _, key := range keys {
		if open := (Cond{openPrefix + jobID(key, taskPrefix), 0}); !slices.Contains(op.When, open) {
			op.When = append(op.When, open)
		}
		op.Apply = append(op.Apply, Change{Key: key})
	}
	o.inFlight++
	gen := o.gen
	n.ask(op, func(d StateDone) {
		if n.owner == nil || n.owner.gen != gen {
			return
		}
		n.owner.inFlight--
		if d.Status == StateOK || d.Status == StateBad {
			return
		}
		keys = slices.DeleteFunc(keys, func(key string) bool {
			return slices.Contains(d.Failed, openPrefix+jobID(key, taskPrefix))
		})
		n.after(n.jitter(retryPause), func() {
			if n.owner != nil && n.owner.gen == gen {
				n.owner.orphans = append(n.owner.orphans, keys...)
			}
		})
	})
}

// maybeRaise rewrites the share when a start without an answer stands in the
// way: under a higher epoch it can no longer be executed.
func (n *Node) maybeRaise() {
	o := n.owner
	if n.raising || n.now.Sub(o.raised) < raiseEvery {
		return
	}
	need := false
	for _, m := range o.machines {
		if m.unacked == o.epoch && m.stuck() {
			need = true
		}
	}
	if !need {
		return
	}
	o.raised = n.now
	n.raiseShare()
}

// raiseShare rewrites this node's share unchanged, under its own stamp, for a
// higher epoch. One at a time; when it is answered, the role is looked at again.
func (n *Node) raiseShare() {
	if n.raising {
		return
	}
	n.raising = true
	key := sharePrefix + n.set.Host
	rec, stamp := encode(n.sess.shares[n.set.Host]), n.sess.stamps[key]
	n.ask(StateOp{Kind: OpTxn, Prio: PrioStart, When: []Cond{{key, stamp}}, Apply: []Change{{Key: key, Value: rec}}}, func(d StateDone) {
		n.raising = false
		if d.Status == StateOK {
			n.ctlItem(Item{Key: key, Value: rec, Stamp: d.Rev})
			n.ownerCheck()
			return
		}
		n.after(n.jitter(retryPause), n.ownerCheck)
	})
}

// tellPeers shows the progress of open jobs to the other controllers, and asks
// the leader for machines.
func (n *Node) tellPeers() {
	o := n.owner
	if n.now.Sub(o.told) < time.Second {
		return
	}
	o.told = n.now
	var news PeerNews
	news.From = n.set.Host
	for _, id := range sortedKeys(o.jobs) {
		j := o.jobs[id]
		p := j.progress()
		if p != j.lastTold {
			j.lastTold = p
			news.Progress = append(news.Progress, p)
		}
	}
	if n.now.Sub(o.toldLoads) >= loadsEvery {
		o.toldLoads = n.now
		news.Loads = n.loads()
	}
	news.Hosts = n.hosts()
	for _, p := range n.set.Peers {
		out := news
		if n.leader == nil && p == n.sess.lead.Host && o.view != nil {
			out.Seq, out.Idle, out.Released = o.wantsSeq, o.gone, n.released()
			for _, k := range sortedKinds(o.wants) {
				out.Wants = append(out.Wants, Want{k.flavour, k.zone, k.spot, o.wants[k]})
			}
			out.Asks = true
		}
		if len(out.Progress) > 0 || len(out.Loads) > 0 || len(out.Hosts) > 0 || out.Asks {
			n.emit(PeerSend{To: p, News: out})
		}
	}
}

// released names the frozen teams of which nothing is left running or on its
// way into the state service: the leader may give them to another.
func (n *Node) released() []string {
	var out []string
	for _, team := range sortedKeys(n.owner.frozen) {
		free := true
		for _, j := range n.owner.jobs {
			if j.Team != team && !(j.cancelled && j.Team == "") {
				continue
			}
			free = free && j.live == 0 && !j.ending
			for _, c := range j.chunks {
				free = free && !c.busy && c.ver == c.saved
			}
		}
		if free {
			out = append(out, team)
		}
	}
	return out
}

// freeze begins to give up a team that the leader wants to move. One with
// replicas stays, since they never end.
func (n *Node) freeze(team string) {
	for _, j := range n.owner.jobs {
		if j.Team == team && j.Standing {
			return
		}
	}
	if slices.Contains(n.owner.share.Teams, team) && !n.owner.frozen[team] {
		n.info("giving up a team", "team", team)
		n.owner.frozen[team] = true
	}
}

func later(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}

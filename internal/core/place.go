package core

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/micahill/micahill/internal/patience"
)

const (
	// relaunchShare is the design's tenth: a group is relaunched only if at
	// most this share of it is unfinished.
	relaunchShare = 0.1
	// lonelyFactor multiplies w for tasks whose job has no median of its own:
	// the reference is then an estimate, often wrong by half.
	lonelyFactor = 1.5
	// releaseMost spreads many simultaneous releases: how many stragglers are
	// stopped in one look round.
	releaseMost = 8
	// scarcePenalty is how long a fetch is preferred to a place on a machine
	// that others depend on.
	scarcePenalty = 20 * time.Second
	// dearPenalty, for each time a machine's processors cost the cheapest
	// kind's price, lets dear machines go idle first, to be returned.
	dearPenalty = time.Second
	// fetchMargin is the part of a bounded wait that orders and writes take.
	fetchMargin = 500 * time.Millisecond
	// keepPenalty keeps other work off machines that hold the images of work
	// whose wait is bounded, as long as a fetch elsewhere is quicker.
	keepPenalty = 3 * time.Second
	// smallFirst weighs the time that the whole fleet would need for a job
	// against its slack.
	smallFirst = 2
	// scarceSlack is how near its latest start waiting work must be to have
	// the flavours it depends on to itself.
	scarceSlack = 45 * time.Second
	// stopPatience is how long a stopped task's room is waited for.
	stopPatience = 1500 * time.Millisecond
	// slowMachine is how much slower than expected a machine's tasks must run,
	// over slowSeen tasks at least, before it is avoided.
	slowMachine = 1.7
	slowSeen    = 2
)

const (
	// hopeful is the part of the expected run time that must at least be left
	// before a deadline for it to be worth trying; run times are uncertain.
	hopeful = 0.7
	// lastDue is when a job beyond all its aims is due.
	lastDue = 10 * time.Minute
	// A job without any aim is due after some of its run times, or this.
	aimlessRuns  = 4
	aimlessLeast = time.Minute
)

// latest is when a task of the job should start at the latest to meet the next
// of its aims that it can still meet. Jobs are placed in this order. What can
// meet no aim any more goes last: in its place before the others it would only
// make those late as well.
func (n *Node) latest(j *job) time.Time {
	if j.Standing {
		// Replicas are to run at all times.
		return j.free()
	}
	d := n.expects(j)
	soonest := n.now.Add(time.Duration(hopeful * float64(d)))
	aim := j.free().Add(lastDue)
	if soonest.After(aim) {
		aim = soonest
	}
	aims := 0
	try := func(t time.Time) {
		aims++
		if t.Before(aim) && !soonest.After(t) {
			aim = t
		}
	}
	if j.Due > 0 {
		try(j.at.Add(j.Due))
	}
	if !j.path.Due.IsZero() {
		try(j.path.Due)
	}
	for _, o := range n.set.Objectives {
		switch {
		case o.Workload != j.Workload:
		case o.Kind == "deadline" && j.Due > 0 && o.Times > 0:
			try(j.at.Add(time.Duration(o.Times * float64(j.Due))))
		case o.Kind == "finished" && o.Within > 0:
			try(j.free().Add(o.Within))
		}
	}
	if aims == 0 {
		try(j.free().Add(max(aimlessLeast, aimlessRuns*d)))
	}
	return aim.Add(-d)
}

func (n *Node) team(name string) *Team {
	for i := range n.set.Teams {
		if n.set.Teams[i].Name == name {
			return &n.set.Teams[i]
		}
	}
	return nil
}

// withinLimit says whether one more task keeps its team within the limit.
func (n *Node) withinLimit(j *job) bool {
	t := n.team(j.Team)
	if t == nil {
		return false
	}
	u := n.owner.used[j.Team].Plus(j.Need, 1).Plus(movesDown(n, j), 1)
	return (t.Limit.CPU <= 0 || u.CPU <= t.Limit.CPU+slack) && (t.Limit.GPU <= 0 || u.GPU <= t.Limit.GPU+slack)
}

// guaranteed says whether the job's next task lies within its team's guarantee.
func (n *Node) guaranteed(j *job) bool {
	t := n.team(j.Team)
	if t == nil || t.Guarantee.CPU <= 0 && t.Guarantee.GPU <= 0 {
		return false
	}
	u := n.owner.used[j.Team].Plus(j.Need, 1)
	return u.CPU <= t.Guarantee.CPU+slack && u.GPU <= t.Guarantee.GPU+slack
}

// ranked is a waiting job and what decides its turn.
type ranked struct {
	j *job
	// g: within its team's guarantee.
	g      bool
	latest time.Time
	// place is that in the ranking, and weight the policy script's where there is none.
	place  int
	weight float64
	// work is how long its waiting tasks would take all that its workload has,
	// and late says that it is put off so that others are in time.
	work time.Duration
	late bool
	// missed: its promised date can't be kept any more.
	missed bool
}

// triable is how many of a job's waiting tasks may be placed now: of a job that fails
// everywhere one at a time, to see whether it still does.
func (n *Node) triable(j *job) int {
	switch {
	case j.pending() == 0 || !j.mayStart(n.now) || j.notBefore.After(n.now):
		return 0
	case !n.owner.blame.Broken(j.ID):
		return j.pending()
	case j.live > 0:
		return 0
	}
	return 1
}

// ranked sorts the jobs that wait for places by their urgency and aims.
func (n *Node) ranked() []ranked {
	var rs []ranked
	cpus := 0.0
	for _, m := range n.owner.byID {
		cpus += m.size.CPU
	}
	var waiting []*job
	for _, j := range n.owner.jobs {
		if n.triable(j) == 0 {
			j.waitsFrom = time.Time{}
			continue
		}
		if j.waitsFrom.IsZero() {
			j.waitsFrom = n.now
		}
		waiting = append(waiting, j)
	}
	slices.SortFunc(waiting, func(a, b *job) int { return strings.Compare(a.ID, b.ID) })
	for _, j := range waiting {
		// Aims count jobs, so of two that are as pressing the one with less
		// left to do goes first: together they are done the sooner.
		left := float64(len(j.tasks)-j.done) * j.Need.CPU * n.expects(j).Seconds()
		key := n.latest(j).Add(Seconds(smallFirst * left / max(cpus, 1)))
		rs = append(rs, ranked{j: j, g: n.guaranteed(j), latest: key, place: rankOf(n, j), weight: weightOf(n, j), missed: missesDate(n, j)})
	}
	slices.SortStableFunc(rs, byTurn)
	if n.putOff(rs) {
		slices.SortStableFunc(rs, byTurn)
	}
	return rs
}

func byTurn(a, b ranked) int {
	switch {
	case a.g != b.g:
		if a.g {
			return -1
		}
		return 1
	case a.place != b.place:
		return a.place - b.place
	case a.weight != b.weight:
		if a.weight > b.weight {
			return -1
		}
		return 1
	}
	if a.late != b.late {
		return int(b2f(a.late)) - int(b2f(b.late))
	}
	if a.late {
		return cmp.Or(cmp.Compare(a.work, b.work), a.latest.Compare(b.latest))
	}
	// Of two that are as pressing, to the second, what can still keep its date goes
	// before what can't: that is late either way.
	return cmp.Or(a.latest.Truncate(time.Second).Compare(b.latest.Truncate(time.Second)),
		cmp.Compare(b2f(a.missed), b2f(b.missed)), cmp.Compare(b.j.path.Left, a.j.path.Left), a.latest.Compare(b.latest))
}

// putOff lets as many jobs as possible be in time when not all can be. Taken in
// the order of their aims, as soon as one would be late the largest of those
// before it and itself is put off (Moore's rule for the number of late jobs):
// aims count jobs, and one large job that is late either way would take several
// others with it. Nothing is put off while all can be in time.
func (n *Node) putOff(rs []ranked) bool {
	rooms := map[string]float64{}
	spent := map[string]time.Duration{}
	taken := map[string][]*ranked{}
	some := false
	for i := range rs {
		r := &rs[i]
		j := r.j
		if j.Standing || j.Gang {
			continue
		}
		room, ok := rooms[j.Workload]
		if !ok {
			room = n.roomFor(j)
			rooms[j.Workload] = room
		}
		run := n.expects(j)
		r.work = time.Duration(float64(j.pending()) * float64(run) / max(room, 1))
		key := fmt.Sprint(j.Workload, j.Urgency, r.g)
		taken[key] = append(taken[key], r)
		spent[key] += r.work
		// Its last task starts when the work before it is nearly done, the first
		// ones at once.
		aim := n.latest(j)
		if !n.now.Add(spent[key] - run).After(aim) {
			continue
		}
		big := 0
		for k, x := range taken[key] {
			if x.work > taken[key][big].work {
				big = k
			}
		}
		x := taken[key][big]
		x.late, some = true, true
		spent[key] -= x.work
		taken[key] = slices.Delete(taken[key], big, big+1)
	}
	return some
}

// roomFor is how many tasks like the job's its workload may count on running at
// a time: those that run and what is free, and at least a part of all.
func (n *Node) roomFor(j *job) float64 {
	live := 0
	for _, o := range n.owner.jobs {
		if o.Workload == j.Workload {
			live += o.live
		}
	}
	all, free, off := 0, 0, n.keepsOff(j)
	for _, m := range n.owner.byID {
		if j.allows(m.flavour, m.zone, m.spot) && n.usable(m) && n.openTo(off, m) {
			all += m.size.Times(j.Need)
			free += m.free().Times(j.Need)
		}
	}
	if v := n.owner.view; v != nil {
		// What boots is there before the aims of what waits are over.
		for r := range n.comingFor(j) {
			free += n.types[r.flavour].Size.Times(j.Need)
		}
		for k, c := range v.renting {
			if j.allows(k.flavour, k.zone, k.spot) {
				free += c * n.types[k.flavour].Size.Times(j.Need)
			}
		}
	}
	return max(float64(live+free), roomLeast*float64(all))
}

// roomLeast is the part of all room that a workload may count on in any case.
const roomLeast = 0.25

// usable says whether tasks may be placed on m now.
func (n *Node) usable(m *machine) bool {
	return !n.promised(m.id) && m.heard && !m.recall && !m.returning && !m.bad && !m.strays && m.size.CPU > 0 && m.reach.Hears() && !n.silent(m)
}

// placeAll places what waits, in order.
func (n *Node) placeAll() {
	o := n.owner
	turns := n.turns()
	var jobs []*job
	for _, t := range turns {
		if t.first || !t.j.overdue {
			jobs = append(jobs, t.j)
		}
	}
	n.gather(jobs)
	if len(turns) == 0 {
		return
	}
	if n.now.After(n.sess.sureUntil) || n.sess.ranks.stale {
		return
	}
	placeHeld(n)
	r := n.newRound()
	o.waiting = map[string]time.Time{}
	for _, t := range turns {
		j, l := t.j, n.latest(t.j)
		if t, ok := o.waiting[j.Workload]; !ok || l.Before(t) {
			o.waiting[j.Workload] = l
		}
	}
	for _, t := range turns {
		t.j.early = t.first
		n.placeTurn(t.j, r, t.tasks)
		t.j.early = false
	}
}

// placeTurn places up to count waiting tasks of a job whose turn it is.
func (n *Node) placeTurn(j *job, r *round, count int) {
	if j.Gang {
		n.placeGang(j, r)
		return
	}
	most := func() int { return min(count, n.triable(j)) }
	place := func(fetch time.Duration, most int) {
		waiting := j.pending()
		n.placeJob(j, r, fetch, most)
		count -= waiting - j.pending()
	}
	bound := n.waitBound(j.Workload)
	if bound == 0 || j.Urgency == BestEffort {
		place(forever, most())
		if (j.early || n.clears(j)) && most() > 0 && !n.owner.blame.Broken(j.ID) {
			// Work of lower urgency makes room for what has waited too long, and such
			// without GPUs for replicas.
			n.preemptFor(j, forever)
		}
		return
	}
	// Where an objective bounds the wait: first where the image is, then
	// in the place of lower work there, and only then where it must be
	// fetched first, which alone can take longer than the bound.
	left := bound - n.now.Sub(j.free()) - fetchMargin
	place(max(left, 0), most())
	coming := 0
	switch {
	case n.triable(j) == 0 || n.owner.blame.Broken(j.ID):
	case left > 0:
		coming = n.preemptFor(j, left)
	case n.latest(j).Sub(n.now) < bound:
		coming = n.preemptFor(j, forever)
	}
	place(forever, most()-coming)
}

// preemptEvery is how often a waiting job may look for work to stop: it goes
// through the attempts of many machines.
const preemptEvery = 500 * time.Millisecond

func (n *Node) preemptFor(j *job, fetch time.Duration) int {
	if n.now.Sub(j.preempted) >= preemptEvery {
		j.preempted = n.now
		j.coming = n.preempt(j, fetch)
	}
	return min(j.coming, j.pending())
}

// preemptMost is how often a task may be stopped for others: work is not to be
// stopped in turns and never end.
const preemptMost = 2

// stoppedEnough says that the one running task of a job that has waited too long is left
// alone: the job was stopped for others as often as a task may be. Without it each of its
// tasks takes a turn: a machine is gathered for the job as soon as nothing of it runs,
// that of the stop, so that nobody gains by it, and the next is stopped there.
func (n *Node) stoppedEnough(j *job) bool {
	if j.live != 1 {
		return false
	}
	bound, _ := waitBound(n, j)
	if p := (patience.Job{Waited: n.waited(j), Bound: bound, Waiting: 1}); !p.Overdue() {
		return false
	}
	stops := 0
	for i := range j.tasks[:j.fresh] {
		stops += j.tasks[i].preempted
	}
	return stops >= preemptMost
}

// waitBound is how soon the workload's tasks are to start, or 0.
func (n *Node) waitBound(workload string) time.Duration {
	for _, o := range n.set.Objectives {
		if o.Kind == "wait" && o.Workload == workload {
			return o.Within
		}
	}
	return 0
}

// victims picks the tasks on m whose stop makes room for one of j's.
func (n *Node) victims(j *job, m *machine, free Resources) ([]*task, time.Duration, bool) {
	type victim struct {
		t    *task
		need Resources
		loss time.Duration
	}
	var vs []victim
	only := n.clearsOnly(j)
	able := m.attemptsIf(func(t *task) bool { return t.stop == stopNone && t.preempted < preemptMost })
	for _, k := range able {
		t := m.attempts[k]
		o := n.owner.jobs[k.job]
		if o.Urgency >= j.Urgency || o.Gang || o.Standing || n.stoppedEnough(o) || rankOf(n, o) < rankOf(n, j) || only && o.Need.GPU > slack {
			continue
		}
		var loss time.Duration
		if !t.started.IsZero() {
			loss = n.now.Sub(t.started)
			if o.SaveEvery > 0 {
				loss = min(loss%o.SaveEvery, o.SaveCost)
			}
			// Stopping a large task for a small one loses the more.
			loss = time.Duration(float64(loss) * max(1, o.Need.CPU/max(j.Need.CPU, 0.1)))
		}
		vs = append(vs, victim{t, o.Need, loss})
	}
	slices.SortStableFunc(vs, func(a, b victim) int { return int(a.loss - b.loss) })
	var out []*task
	var sum time.Duration
	for _, v := range vs {
		if j.Need.Fits(free) {
			break
		}
		free = free.Plus(v.need, 1)
		sum += v.loss
		out = append(out, v.t)
	}
	return out, sum, len(out) > 0 && j.Need.Fits(free)
}

// gangPatience is how long some tasks of a gang may be live while others wait
// for a place, before all are stopped to start together again.
const gangPatience = 20 * time.Second

// placeGang places all tasks of a gang or none, in one zone after another when
// they must be in the same place.
func (n *Node) placeGang(j *job, r *round) {
	if j.live > 0 {
		// Some were lost. The workers end the others by themselves; those
		// that do not are stopped.
		for i := range j.tasks[:j.fresh] {
			t := &j.tasks[i]
			if t.m != nil && t.stop == stopNone && n.now.Sub(time.UnixMilli(t.group)) > gangPatience {
				t.stop = stopDrain
				n.mark(t.m)
			}
		}
		return
	}
	zones := []string{""}
	if j.SamePlace {
		zones = n.set.Zones
	}
	for _, z := range zones {
		in := *r
		if z != "" {
			in.open = slices.DeleteFunc(slices.Clone(r.open), func(s *spot) bool { return s.m.zone != z })
			in.full, in.lots = map[shape]bool{}, map[lotKey]*lot{}
		}
		if n.fitsAll(j, &in) {
			n.placeJob(j, &in, forever, j.pending())
			return
		}
	}
}

// fitsAll says whether all waiting tasks of j find room at once, where they would
// be placed: room that placing then refuses, such as on a machine being let go,
// would have some of them start and wait in vain for the others, in turns and
// without end.
func (n *Node) fitsAll(j *job, r *round) bool {
	if t := n.team(j.Team); t != nil {
		u := n.owner.used[j.Team].Plus(j.Need, float64(j.pending()))
		if t.Limit.CPU > 0 && u.CPU > t.Limit.CPU+slack || t.Limit.GPU > 0 && u.GPU > t.Limit.GPU+slack {
			return false
		}
	}
	for _, i := range j.again {
		if j.tasks[i].notBefore.After(n.now) {
			return false
		}
	}
	room := 0
	zones := map[string]int{}
	l := n.lotFor(r, j)
	for _, s := range r.open {
		m := s.m
		if _, ok := l.rate(n, j, s); !ok {
			continue
		}
		k := n.roomOn(l, s).Times(j.Need)
		if j.Apart {
			k = min(k, (len(j.tasks)+1)/2-zones[m.zone])
			zones[m.zone] += k
		}
		room += k
	}
	return room >= j.pending()
}

// cheapest is the lowest price of a processor among all kinds.
func (n *Node) cheapest() float64 {
	low := 0.0
	for _, f := range n.types {
		for _, p := range [...]float64{f.Price, f.SpotPrice} {
			if u := p / max(f.Size.CPU, 1); u > 0 && (low == 0 || u < low) {
				low = u
			}
		}
	}
	return max(low, 1e-9)
}

// workloadMemory is how long a workload counts as still to be expected.
const workloadMemory = 5 * time.Minute

// scarcity says how much others depend on a flavour.
type scarcity int

const (
	plenty scarcity = iota
	// scarceSoon: work that fits little else has lately come.
	scarceSoon
	// scarceNow: such work, as urgent, waits now.
	scarceNow
)

// scarce rates the flavours that some other workload, lately seen, depends on
// more than this one does: it fits fewer flavours. Small tasks that fill the
// only machines on which big ones fit keep those waiting beside idle small
// machines.
func (n *Node) scarce(s *Spec) map[string]scarcity {
	var out map[string]scarcity
	mine := n.fitting(s)
	for _, w := range n.owner.workloads {
		if w.spec.Workload == s.Workload || n.now.Sub(w.last) > workloadMemory {
			continue
		}
		theirs := n.fitting(w.spec)
		if len(theirs) >= len(mine) {
			continue
		}
		rate := scarceSoon
		if t, ok := n.owner.waiting[w.spec.Workload]; ok && rankSpec(n, w.spec) <= rankSpec(n, s) && t.Sub(n.now) < scarceSlack {
			rate = scarceNow
		}
		if out == nil {
			out = map[string]scarcity{}
		}
		for _, f := range theirs {
			out[f] = max(out[f], rate)
		}
	}
	return out
}

// fitting names the flavours a task fits.
func (n *Node) fitting(s *Spec) []string {
	var out []string
	for name, f := range n.types {
		if s.Need.Fits(f.Size) && (len(s.Flavours) == 0 || slices.Contains(s.Flavours, name)) {
			out = append(out, name)
		}
	}
	return out
}

// fetchTime is how long m needs to have the image of j.
func (n *Node) fetchTime(m *machine, j *job) time.Duration {
	fetching := 0
	for _, im := range m.images {
		if !im.cached {
			fetching++
		}
	}
	return Seconds(m.fetch(j, fetching, n.pulls(m)))
}

// fetch is how long the machine needs to have the image of j, in seconds, when it
// is fetching so many and pulls so much a second.
func (m *machine) fetch(j *job, fetching int, pulls float64) float64 {
	if j.Image == "" || j.ImageGB <= 0 {
		return 0
	}
	switch im := m.images[j.Image]; {
	case im == nil:
		return float64(1+fetching) * j.ImageGB / pulls
	case im.cached:
		return 0
	}
	// Already coming.
	return j.ImageGB / pulls / 2
}

// pulls is how many GB a machine fetches in a second, as far as is known.
func (n *Node) pulls(m *machine) float64 {
	if rate := n.types[m.flavour].PullRate; rate > 0 {
		return rate
	}
	return 1
}

// relaunch is the paper's: when a group's timer of w times the median of the
// job's finished run times has expired with at most a tenth unfinished, those
// tasks are stopped and started once more elsewhere.
func (n *Node) relaunch() {
	o := n.owner
	released := 0
	for _, id := range sortedKeys(o.jobs) {
		j := o.jobs[id]
		if j.cancelled || j.ending || j.Standing || j.live == 0 {
			continue
		}
		med, own := j.median()
		factor := n.set.Policy.RelaunchFactor
		if !own || j.done*2 < len(j.tasks) {
			// No timer runs before half of the tasks have finished. An
			// extension: a job of one task never has such a half, so its
			// reference is the corrected estimate, with more patience.
			e := n.errs[j.Workload]
			if len(j.tasks) > 1 || e == nil || e.n < 5 {
				continue
			}
			med = n.expects(j)
			factor *= lonelyFactor
		}
		limit := time.Duration(factor * float64(med))
		for _, gid := range sortedKeys(j.groups) {
			g := j.groups[gid]
			if g.marked || n.now.Sub(g.start) < limit {
				continue
			}
			var late []int
			for _, i := range g.tasks {
				if t := &j.tasks[i]; !t.done && t.group == gid {
					late = append(late, i)
				}
			}
			if len(late) == 0 {
				delete(j.groups, gid)
				continue
			}
			// An extension for small groups, whose tenth is less than one
			// task: one may always be relaunched.
			if len(late) > max(1, int(relaunchShare*float64(len(g.tasks)))) {
				continue
			}
			if released+len(late) > releaseMost && released > 0 {
				continue
			}
			if !n.worthRelaunch(j, late, limit) {
				continue
			}
			released += len(late)
			g.marked = true
			for _, i := range late {
				t := &j.tasks[i]
				t.relaunched, t.stop = true, stopRelaunch
				n.mark(t.m)
				j.touch(i, n.now, true)
				n.debug("relaunch", "job", j.ID, "task", i, "machine", t.m.id, "limit", limit)
			}
		}
	}
}

// worthRelaunch: each late task runs, has run for the limit itself (a fetch
// does not count), was not restarted before, and there is room elsewhere.
func (n *Node) worthRelaunch(j *job, late []int, limit time.Duration) bool {
	for _, i := range late {
		t := &j.tasks[i]
		if t.m == nil || t.stop != stopNone || t.relaunched || t.started.IsZero() || n.now.Sub(t.started) < limit {
			return false
		}
		room, off := false, n.offNow(j)
		for _, m := range n.owner.byID {
			if m != t.m && n.openTo(off, m) && j.Need.Fits(m.free()) && j.allows(m.flavour, m.zone, m.spot) && n.usable(m) {
				room = true
				break
			}
		}
		if !room {
			return false
		}
	}
	return true
}

package core

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// playMost bounds the tasks that are played forward at once.
	playMost = 4000
	// lateMargin, and lateShare of the run time at least, are kept in hand,
	// since run times are only expected.
	lateMargin = 5 * time.Second
	lateShare  = 0.25
	// forever is how long a replica runs, for all that is planned here.
	forever = 24 * time.Hour
	// hopelessly is the lateness of a task that finds no place at all.
	hopelessly = 10 * time.Minute
)

// plan is the fleet played forward: which task would start where and when.
type plan struct {
	n  *Node
	vs []*virtual
	// queues hold, for each kind of task that was asked for, the machines by
	// when one could run there.
	queues map[work]*queue
	wanted map[[2]string]bool
}

// work is what of a task decides when it could run on which machine.
type work struct {
	shape
	image string
	gb    float64
	// yields: only on machines that no other waiting work depends on.
	yields bool
}

// queue orders machines for alike tasks, as a heap. Entries may be out of date:
// a machine that other tasks took room on is later than its entry says, which
// is put right when it comes up. It is the innermost part of all planning, and
// so a plain heap without pointers.
type queue struct {
	known int
	es    []entry
}

// entry is a machine: where it stands in the plan, when a task could start to
// fetch and how long that takes, and how many tasks it had taken by then.
type entry struct {
	start, fetch time.Duration
	i, taken     int
}

func (e *entry) at() time.Duration { return e.start + e.fetch }

func (e *entry) before(o *entry) bool {
	a, b := e.at(), o.at()
	return a < b || a == b && e.i < o.i
}

func (q *queue) up(k int) {
	for k > 0 {
		p := (k - 1) / 2
		if !q.es[k].before(&q.es[p]) {
			return
		}
		q.es[k], q.es[p] = q.es[p], q.es[k]
		k = p
	}
}

func (q *queue) down(k int) {
	for {
		c := 2*k + 1
		if c >= len(q.es) {
			return
		}
		if c+1 < len(q.es) && q.es[c+1].before(&q.es[c]) {
			c++
		}
		if !q.es[c].before(&q.es[k]) {
			return
		}
		q.es[k], q.es[c] = q.es[c], q.es[k]
		k = c
	}
}

func (q *queue) push(e entry) {
	q.es = append(q.es, e)
	q.up(len(q.es) - 1)
}

func (q *queue) pop() entry {
	e := q.es[0]
	last := len(q.es) - 1
	q.es[0] = q.es[last]
	q.es = q.es[:last]
	q.down(0)
	return e
}

// boot adds a machine that is not up yet.
func (p *plan) boot(k kind, ready time.Time) *virtual {
	v := &virtual{k: k, at: max(0, ready.Sub(p.n.now)), free: p.n.types[k.flavour].Size}
	p.vs = append(p.vs, v)
	return v
}

// entry says when a task of j could run on the machine at place i.
func (p *plan) entry(i int, j *job) (entry, bool) {
	v := p.vs[i]
	start, ok := v.earliest(j.Need, j.Gang)
	if !ok {
		return entry{}, false
	}
	return entry{start, p.fetch(v, j), i, v.taken}, true
}

// queue is that of tasks like j's, with all machines in it.
func (p *plan) queue(j *job, yields bool) *queue {
	like := work{j.shape(), j.Image, j.ImageGB, yields}
	q := p.queues[like]
	if q == nil {
		if p.queues == nil {
			p.queues = map[work]*queue{}
		}
		q = &queue{es: make([]entry, 0, len(p.vs)+8)}
		p.queues[like] = q
	}
	for ; q.known < len(p.vs); q.known++ {
		k := p.vs[q.known].k
		if !j.allows(k.flavour, k.zone, k.spot) || yields && p.needed(j, k.flavour) {
			continue
		}
		if e, ok := p.entry(q.known, j); ok {
			q.push(e)
		}
	}
	return q
}

// best is the machine on which a task could run first, its image there, and
// when.
func (p *plan) best(j *job, from time.Time, zones *zonePlan) (*virtual, time.Time) {
	return p.bestOf(j, from, zones, false)
}

// bestYielding is the same among the machines that no other waiting work
// depends on.
func (p *plan) bestYielding(j *job, from time.Time, zones *zonePlan) (*virtual, time.Time) {
	return p.bestOf(j, from, zones, true)
}

// needed says, once for a plan, that others wait for the flavour that fit fewer.
func (p *plan) needed(j *job, flavour string) bool {
	key := [2]string{j.Workload, flavour}
	is, ok := p.wanted[key]
	if !ok {
		if p.wanted == nil {
			p.wanted = map[[2]string]bool{}
		}
		is = p.n.neededElsewhere(&j.Spec, flavour)
		p.wanted[key] = is
	}
	return is
}

func (p *plan) bestOf(j *job, from time.Time, zones *zonePlan, yields bool) (*virtual, time.Time) {
	now := p.n.now
	wait := max(0, from.Sub(now))
	if j.Gang || j.SamePlace || j.Apart || len(j.again) > 0 {
		v, at := p.bestOfAll(j, wait, zones, yields)
		return v, now.Add(at)
	}
	q := p.queue(j, yields)
	// Entries tell of the earliest moment; for a task that comes later the
	// first ones may all be as good, or one behind them better by its image.
	best, at := -1, time.Duration(0)
	var seen [lookAhead]entry
	k := 0
	for len(q.es) > 0 && k < lookAhead {
		e := &q.es[0]
		if best >= 0 && e.at() > at {
			break
		}
		if p.vs[e.i].taken != e.taken {
			if x, ok := p.entry(e.i, j); ok {
				*e = x
				q.down(0)
			} else {
				q.pop()
			}
			continue
		}
		if t := max(e.start, wait) + e.fetch; best < 0 || t < at || t == at && e.i < best {
			best, at = e.i, t
		}
		if e.start >= wait {
			break
		}
		seen[k] = q.pop()
		k++
	}
	for _, e := range seen[:k] {
		q.push(e)
	}
	if best < 0 {
		return nil, now
	}
	return p.vs[best], now.Add(at)
}

// lookAhead is how many of the first machines are compared for a task that
// comes later.
const lookAhead = 8

// bestOfAll looks at every machine, for tasks that are not all alike.
func (p *plan) bestOfAll(j *job, wait time.Duration, zones *zonePlan, yields bool) (*virtual, time.Duration) {
	var best *virtual
	var at time.Duration
	for i, v := range p.vs {
		if !j.allows(v.k.flavour, v.k.zone, v.k.spot) || zones.room(v.k.zone) == 0 || v.m != nil && j.avoids(v.m.id) || yields && p.needed(j, v.k.flavour) {
			continue
		}
		if e, ok := p.entry(i, j); ok {
			if t := max(e.start, wait) + e.fetch; best == nil || t < at {
				best, at = v, t
			}
		}
	}
	return best, at
}

// fetch is how long v would take to have the image.
func (p *plan) fetch(v *virtual, j *job) time.Duration {
	switch {
	case slices.Contains(v.has, j.Image):
		return 0
	case v.m != nil:
		return p.n.fetchTime(v.m, j)
	}
	f := p.n.types[v.k.flavour]
	return pull(&f, j)
}

// take lets a task of j start on v, and says when.
func (p *plan) take(v *virtual, j *job, from time.Time, zones *zonePlan) time.Time {
	at, ok := v.earliest(j.Need, j.Gang)
	if !ok {
		return from
	}
	at = max(at, from.Sub(p.n.now))
	fetch := p.fetch(v, j)
	if !slices.Contains(v.has, j.Image) {
		v.has = append(slices.Clip(v.has), j.Image)
	}
	v.take(j.Need, at, fetch+p.n.runs(j))
	zones.take(v.k.zone, 1)
	return p.n.now.Add(at + fetch)
}

// play places a demand's tasks and tells of each where and when; v is nil for
// one without a place.
func (p *plan) play(d demand, tell func(i int, v *virtual, at time.Time)) {
	zones := newZonePlan(d.j)
	for i := range min(d.count, playMost) {
		from := d.from(p.n.now, i)
		v, at := p.best(d.j, from, zones)
		if v != nil {
			p.take(v, d.j, from, zones)
		}
		tell(i, v, at)
	}
}

// lateness sums up how much later than they must tasks would start in the room,
// were some machines not there.
func (n *Node) lateness(room []*virtual, demands []demand, without map[*machine]bool) time.Duration {
	p := &plan{n: n, vs: copyRoom(room, without)}
	var late time.Duration
	for _, d := range demands {
		bound := n.waitBound(d.j.Workload)
		margin := n.margin(d.j)
		p.play(d, func(i int, v *virtual, at time.Time) {
			if v == nil {
				late += hopelessly
				return
			}
			from := d.from(n.now, i)
			late += min(max(0, at.Add(margin).Sub(d.last(n.now, i))), hopelessly)
			if bound > 0 {
				late += max(0, at.Sub(from)-bound)
			}
		})
	}
	return late
}

// margin is the time in hand that the uncertainty of a job's run time asks for.
func (n *Node) margin(j *job) time.Duration {
	share := lateShare
	if e := n.errs[j.Workload]; e != nil && len(j.sorted) == 0 {
		share = max(share, min(e.dev, 1))
	}
	return lateMargin + time.Duration(share*float64(n.expects(j)))
}

// pull is how long a new machine takes to fetch the image.
func pull(f *Flavour, j *job) time.Duration {
	if f.PullRate <= 0 {
		return 0
	}
	return Seconds(j.ImageGB / f.PullRate)
}

// runs is how long a task of the job is expected to hold its room.
func (n *Node) runs(j *job) time.Duration {
	if j.Standing {
		return forever
	}
	return max(n.expects(j), time.Second)
}

// last is when the demand's task i should start at the latest: of those that
// are expected, the later come, the later are due.
func (d demand) last(now time.Time, i int) time.Time {
	return d.latest.Add(d.from(now, i).Sub(now) - d.spread/2)
}

// from is when the demand's task i is there.
func (d demand) from(now time.Time, i int) time.Time {
	return now.Add(d.spread * time.Duration(i+1) / time.Duration(d.count+1))
}

// copyRoom makes room to play in that leaves the original as it is.
func copyRoom(room []*virtual, without map[*machine]bool) []*virtual {
	out := make([]*virtual, 0, len(room))
	all := make([]virtual, len(room))
	for i, v := range room {
		if without[v.m] {
			continue
		}
		all[i] = *v
		all[i].ends = slices.Clone(v.ends)
		out = append(out, &all[i])
	}
	return out
}

// virtual is a machine played forward: its free room at a time from now, and
// what running tasks will leave later.
type virtual struct {
	k    kind
	m    *machine
	idle bool
	// has are the images that tasks played onto it have fetched, and taken
	// counts those tasks.
	has   []string
	taken int
	at    time.Duration
	free  Resources
	ends  []release
}

type release struct {
	at   time.Duration
	need Resources
}

// earliest is when a task fits. A gang's tasks need their room all at once, so
// room that is left one after another is none to them.
func (v *virtual) earliest(need Resources, gang bool) (time.Duration, bool) {
	free := v.free
	if need.Fits(free) {
		return v.at, true
	}
	if gang {
		return 0, false
	}
	for i := range v.ends {
		e := &v.ends[i]
		free = free.Plus(e.need, 1)
		if need.Fits(free) {
			return max(v.at, e.at), true
		}
	}
	return 0, false
}

// take lets a task start at the time that earliest gave, or later.
func (v *virtual) take(need Resources, at, run time.Duration) {
	for len(v.ends) > 0 && !need.Fits(v.free) {
		v.free = v.free.Plus(v.ends[0].need, 1)
		v.at = max(v.at, v.ends[0].at)
		v.ends = v.ends[1:]
	}
	v.taken++
	v.free = v.free.Plus(need, -1)
	end := release{at + run, need}
	i, _ := slices.BinarySearchFunc(v.ends, end, func(a, b release) int { return cmp.Compare(a.at, b.at) })
	v.ends = slices.Insert(v.ends, i, end)
}

// horizon is the time until a machine rented now is of use.
func (n *Node) horizon() time.Duration {
	var sum time.Duration
	for _, f := range n.types {
		sum += f.Ready
	}
	return sum / time.Duration(max(1, len(n.types)))
}

// futureRoom is each usable machine with what its running tasks will leave, as
// far as their expected ends tell. What runs longer than expected is taken to
// go on for a while.
func (n *Node) futureRoom() []*virtual {
	var vs []*virtual
	for _, m := range n.owner.byID {
		if !n.usable(m) {
			continue
		}
		v := &virtual{k: kind{m.flavour, m.zone, m.spot}, m: m, idle: len(m.attempts) == 0, free: m.size.Plus(m.used, -1)}
		v.ends = make([]release, 0, len(m.attempts)+1)
		for k, t := range m.attempts {
			j := n.owner.jobs[k.job]
			if j.Standing {
				continue
			}
			e := n.expects(j)
			left := e
			if !t.started.IsZero() {
				left = max(e-n.now.Sub(t.started), e/5)
			}
			v.ends = append(v.ends, release{left, j.Need})
		}
		slices.SortFunc(v.ends, func(a, b release) int {
			return cmp.Or(cmp.Compare(a.at, b.at), cmp.Compare(a.need.CPU, b.need.CPU), cmp.Compare(a.need.Memory, b.need.Memory))
		})
		vs = append(vs, v)
	}
	return vs
}

// demand is some tasks of a job: waiting now, or expected, spread over a time.
type demand struct {
	j      *job
	count  int
	latest time.Time
	spread time.Duration
}

// demands is what wants room within the horizon, most urgent first: the waiting
// tasks, as far as the teams' limits let them run, then the arrivals that the
// last minutes make likely, with more of those that must start at once.
//
// The forecast is the average, for bursts with more as chance may bring;
// cautious, it follows at once when arrivals end.
func (n *Node) demands(horizon time.Duration, bursts, cautious bool) []demand {
	o := n.owner
	over := map[string]Resources{}
	var out []demand
	for _, j := range n.order() {
		count := j.pending()
		if t := n.team(j.Team); t != nil {
			u := o.used[j.Team].Plus(over[j.Team], 1)
			left := Resources{CPU: t.Limit.CPU - u.CPU, GPU: t.Limit.GPU - u.GPU}
			if t.Limit.CPU > 0 {
				count = min(count, Resources{CPU: left.CPU}.Times(Resources{CPU: j.Need.CPU}))
			}
			if t.Limit.GPU > 0 {
				count = min(count, Resources{GPU: left.GPU}.Times(Resources{GPU: j.Need.GPU}))
			}
			over[j.Team] = over[j.Team].Plus(j.Need, float64(count))
		}
		out = append(out, demand{j: j, count: count, latest: n.latest(j)})
	}
	for _, name := range sortedKeys(o.workloads) {
		w := o.workloads[name]
		if w.spec.Standing || w.spec.Gang {
			continue
		}
		spread := horizon
		count := n.arrivalRate(name, warmWindow) * spread.Seconds()
		if cautious {
			count = min(count, 2*n.arrivalRate(name, lately)*spread.Seconds())
		}
		if bursts {
			count *= n.burst(name, spread)
		}
		if n.waitBound(name) > 0 {
			count *= n.set.Policy.WarmRoom
		}
		if k := int(count + 0.5); k > 0 {
			j := &job{Spec: *w.spec, tasks: make([]task, k), at: n.now.Add(spread / 2)}
			out = append(out, demand{j: j, count: k, latest: n.latest(j), spread: spread})
		}
	}
	slices.SortStableFunc(out, func(a, b demand) int { return cmp.Compare(b.j.Urgency, a.j.Urgency) })
	return out
}

// burst is how much more than the average a workload may well bring within a
// time. Jobs come by chance and differ in size about as much as their mean, so
// what comes varies by one part in the root of their number: by half where few
// come, by little where hundreds do.
func (n *Node) burst(name string, within time.Duration) float64 {
	jobs := float64(len(n.owner.arrivals[name])) * within.Seconds() / warmWindow.Seconds()
	return 1 + min(burstMost, 1/math.Sqrt(max(jobs, 1)))
}

// burstMost bounds what is kept in hand for chance.
const burstMost = 0.5

// arrivalRate is the workload's tasks a second over the last while. After a
// takeover, what a former owner told of it fills in for what was not seen.
func (n *Node) arrivalRate(name string, window time.Duration) float64 {
	o := n.owner
	as := o.arrivals[name]
	for len(as) > 0 && n.now.Sub(as[0].at) > warmWindow {
		as = as[1:]
	}
	o.arrivals[name] = as
	span := n.now.Sub(o.readyAt)
	sum := 0
	for _, a := range as {
		if n.now.Sub(a.at) <= window {
			sum += a.tasks
		}
	}
	if span >= window {
		return float64(sum) / window.Seconds()
	}
	old, told := n.inherited[name]
	if !told {
		if span < settleTime {
			return 0
		}
		return float64(sum) / span.Seconds()
	}
	return (float64(sum) + old.Rate*(window-span).Seconds()) / window.Seconds()
}

// loads is what a successor has to know of the workloads.
func (n *Node) loads() []Load {
	var out []Load
	for _, name := range sortedKeys(n.owner.workloads) {
		l := Load{Workload: name, Rate: n.arrivalRate(name, warmWindow), Ratio: 1}
		if e := n.errs[name]; e != nil {
			l.Ratio, l.Dev, l.Samples = e.ratio, e.dev, e.n
		}
		out = append(out, l)
	}
	return out
}

// inherit keeps what another controller, the owner now, tells of workloads.
func (n *Node) inherit(ls []Load) {
	for _, l := range ls {
		n.inherited[l.Workload] = l
		if l.Samples > 0 {
			n.errs[l.Workload] = &estimate{ratio: l.Ratio, dev: l.Dev, n: l.Samples}
		}
	}
}

// zonePlan keeps machines from being rented in a zone where same_place or apart
// keep the job's tasks from starting.
type zonePlan struct {
	j     *job
	tasks map[string]int
}

func newZonePlan(j *job) *zonePlan {
	z := &zonePlan{j, map[string]int{}}
	for zone, k := range j.zoneLive {
		if k > 0 {
			z.tasks[zone] = k
		}
	}
	return z
}

func (z *zonePlan) room(zone string) int {
	switch {
	case z.j.SamePlace && len(z.tasks) > 0 && z.tasks[zone] == 0:
		return 0
	case z.j.Apart:
		return max(0, (len(z.j.tasks)+1)/2-z.tasks[zone])
	}
	return len(z.j.tasks)
}

func (z *zonePlan) take(zone string, k int) { z.tasks[zone] += k }

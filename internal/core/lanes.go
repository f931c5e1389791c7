package core

import (
	"slices"
	"time"
)

// lanes.go finds, for a task that is played forward, the machine on which it
// could run first. Machines on which a fetch of the task's image takes the same
// time stand in one lane, a heap by when there is room, so that a task looks at
// some few lanes and not at the pool; those that hold its image have lanes of
// their own. A machine taken elsewhere makes its entries out of date, which is put
// right when they come up.

// entry is a machine in a lane: its place in the plan, when a task could start to
// fetch there, and how many tasks it had taken by then.
type entry struct {
	start    time.Duration
	i, taken int32
}

//lint:ignore U1000 heap calls it by its type parameter
func (e *entry) before(o *entry) bool {
	return e.start < o.start || e.start == o.start && e.i < o.i
}

// laneKey is what the machines of a lane have in common.
type laneKey struct {
	// perGB is how long they take for one GB of an image, in seconds.
	perGB float64
	// needed: other work that waits depends on them.
	needed bool
}

type lane struct {
	laneKey
	pile[entry, *entry]
}

// lanes are some machines of a plan, up to the one known last.
type lanes struct {
	known int
	all   []*lane
}

func (ls *lanes) add(key laneKey, e entry) {
	for _, l := range ls.all {
		if l.laneKey == key {
			l.push(e)
			return
		}
	}
	l := &lane{laneKey: key}
	ls.all = append(ls.all, l)
	l.push(e)
}

// queue is the machines for one kind of task: all of them as if they had no
// image, and for each image those that hold or fetch it.
type queue struct {
	lanes
	held map[int32]*lanes
	// off: the tasks stay off machines with GPUs.
	off bool
}

// asked is a job for which places are looked for in a plan.
type asked struct {
	j     *job
	need  Resources
	gb    float64
	image int32
	run   time.Duration
	q     *queue
	held  *lanes
	// avoid is the machine that no waiting task of it may go to, or -1.
	avoid int32
	// each: every machine is looked at, as its tasks are not all alike.
	each   bool
	offers []offer
	zones  *zonePlan
}

// offer is a kind of machine that may be rented for a job.
type offer struct {
	kind
	fit   int
	price float64
	ready time.Duration
	pull  time.Duration
}

// ask prepares to look for places for a job's tasks.
func (p *plan) ask(j *job) *asked {
	a := &asked{
		j: j, need: j.Need, gb: j.ImageGB, image: p.imageID(j.Image), run: p.n.runs(j), avoid: -1,
		each: j.Gang || j.SamePlace || j.Apart, zones: newZonePlan(j),
	}
	if j.Image == "" {
		a.gb = 0
	}
	if away := j.avoided(); away != "" {
		a.avoid = int32(slices.IndexFunc(p.vs, func(v *virtual) bool { return v.m != nil && v.m.id == away }))
	}
	like := j.shape()
	a.q = p.queues[like]
	if a.q == nil {
		a.q = &queue{held: map[int32]*lanes{}, off: p.n.keepsOff(j)}
		if p.queues == nil {
			p.queues = map[shape]*queue{}
		}
		p.queues[like] = a.q
	}
	a.held = a.q.held[a.image]
	if a.held == nil {
		a.held = &lanes{}
		a.q.held[a.image] = a.held
	}
	a.offers = p.offers(j, a.q.off)
	return a
}

// imageID numbers the images of a plan. Those of its machines are numbered when
// the room is looked at.
func (p *plan) imageID(name string) int32 {
	id, ok := p.images[name]
	if !ok {
		id = int32(len(p.images))
		p.images[name] = id
	}
	for len(p.holders) <= int(id) {
		p.holders = append(p.holders, nil)
	}
	return id
}

// index notes which machines of the plan hold or fetch which images.
func (p *plan) index() {
	p.holders = make([][]int32, len(p.images))
	for i, v := range p.vs {
		for _, set := range [...][]int32{v.has, v.cached, v.coming} {
			for _, id := range set {
				p.holders[id] = append(p.holders[id], int32(i))
			}
		}
	}
}

// refresh takes in machines that were added since, and those that were given the
// image.
func (p *plan) refresh(a *asked) {
	add := func(ls *lanes, i int32, held bool) {
		v := p.vs[i]
		if !a.j.allows(v.k.flavour, v.k.zone, v.k.spot) {
			return
		}
		start, ok := v.earliest(a.need, false, a.q.off)
		if !ok {
			return
		}
		key := laneKey{perGB: v.perGB, needed: p.needed(a.j, v.k.flavour)}
		if held {
			key.perGB = 0
			if !slices.Contains(v.has, a.image) && !slices.Contains(v.cached, a.image) {
				key.perGB = v.half
			}
		}
		ls.add(key, entry{start, i, int32(v.taken)})
	}
	for ; a.q.known < len(p.vs); a.q.known++ {
		p.spend(1)
		add(&a.q.lanes, int32(a.q.known), false)
	}
	for has := p.holders[a.image]; a.held.known < len(has); a.held.known++ {
		p.spend(1)
		add(a.held, has[a.held.known], true)
	}
}

// best is the machine on which a task that comes at the time from could run
// first, its image there, and when. yields looks only at those that no other
// waiting work depends on.
func (p *plan) best(a *asked, from time.Time, yields bool) (*virtual, time.Time) {
	wait := max(0, from.Sub(p.now))
	if a.each {
		v, at := p.bestOfAll(a, wait, yields)
		return v, p.now.Add(at)
	}
	p.refresh(a)
	best, at := int32(-1), time.Duration(0)
	for _, set := range [...][]*lane{a.q.all, a.held.all} {
		for _, l := range set {
			if yields && l.needed {
				continue
			}
			if i, start, ok := p.first(l, a, wait); ok {
				if t := start + Seconds(l.perGB*a.gb); best < 0 || t < at || t == at && i < best {
					best, at = i, t
				}
			}
		}
	}
	if best < 0 {
		return nil, p.now
	}
	return p.vs[best], p.now.Add(at)
}

// lookAhead is how many of the first machines of a lane are compared for a task
// that comes later. Those that are free by then are all as good, and the first of
// the plan is to be taken, so that others stay idle.
const lookAhead = 15

// first is the machine of a lane on which a task could start first, and when.
func (p *plan) first(l *lane, a *asked, wait time.Duration) (int32, time.Duration, bool) {
	var aside entry
	set := false
	for len(l.es) > 0 {
		e := &l.es[0]
		v := p.vs[e.i]
		if int32(v.taken) != e.taken {
			if start, ok := v.earliest(a.need, false, a.q.off); ok {
				e.start, e.taken = start, int32(v.taken)
				l.sink()
			} else {
				l.pop()
			}
			continue
		}
		if e.i != a.avoid {
			break
		}
		aside, set = l.pop(), true
	}
	if len(l.es) == 0 {
		if set {
			l.push(aside)
		}
		return 0, 0, false
	}
	i, start := l.es[0].i, max(l.es[0].start, wait)
	if l.es[0].start < wait {
		for _, x := range l.es[1:min(len(l.es), lookAhead)] {
			if x.start <= wait && x.i < i && x.i != a.avoid && int32(p.vs[x.i].taken) == x.taken {
				i = x.i
			}
		}
	}
	if set {
		l.push(aside)
	}
	return i, start, true
}

// bestOfAll looks at every machine, for tasks that are not all alike.
func (p *plan) bestOfAll(a *asked, wait time.Duration, yields bool) (*virtual, time.Duration) {
	var best *virtual
	var at time.Duration
	p.spend(len(p.vs))
	for i, v := range p.vs {
		if !a.j.allows(v.k.flavour, v.k.zone, v.k.spot) || a.zones.room(v.k.zone) == 0 || int32(i) == a.avoid || yields && p.needed(a.j, v.k.flavour) {
			continue
		}
		if start, ok := v.earliest(a.need, a.j.Gang, a.q.off); ok {
			if t := max(start, wait) + p.fetch(v, a); best == nil || t < at {
				best, at = v, t
			}
		}
	}
	return best, at
}

// fetch is how long v would take to have the image.
func (p *plan) fetch(v *virtual, a *asked) time.Duration {
	switch {
	case slices.Contains(v.has, a.image) || slices.Contains(v.cached, a.image):
		return 0
	case slices.Contains(v.coming, a.image):
		return Seconds(v.half * a.gb)
	}
	return Seconds(v.perGB * a.gb)
}

// take lets up to count tasks start on v, as many as fit there at one time, and
// says how many, when, and how long the fetch of their image is that the first of
// them counts; for the others the image is taken to be there. Alike tasks that come
// together count as one.
func (p *plan) take(a *asked, v *virtual, from time.Time, count int) (int, time.Time, time.Duration) {
	at, ok := v.earliest(a.need, a.j.Gang, a.q.off)
	if !ok {
		return count, from, 0
	}
	at = max(at, from.Sub(p.now))
	fetch := p.fetch(v, a)
	if !slices.Contains(v.has, a.image) && !slices.Contains(v.cached, a.image) {
		v.has = append(slices.Clip(v.has), a.image)
		p.holders[a.image] = append(p.holders[a.image], v.i)
	}
	if a.each {
		count = 1
	}
	k := 0
	if fetch > 0 {
		k = v.take(a.need, at, fetch+a.run, 1, a.q.off)
	}
	if more := min(count-k, v.open(v.free, a.q.off).Times(a.need)); k == 0 || more > 0 {
		k += v.take(a.need, at, a.run, count-k, a.q.off)
	}
	a.zones.take(v.k.zone, k)
	return k, p.now.Add(at + fetch), fetch
}

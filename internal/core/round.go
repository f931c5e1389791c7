package core

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"github.com/micahill/micahill/internal/packing"
)

// round.go places what waits. A round looks at a machine some few times for each
// kind of task and image, not once for each job: in a large pool that has fallen
// behind hundreds of jobs wait, and reports and renewals wait for the round.

// round is what a look at the waiting jobs finds out once for all of them.
type round struct {
	// open are the usable machines with any room.
	open []*spot
	// warm are the images of workloads whose wait is bounded.
	warm   map[string]bool
	scarce map[string]map[string]scarcity
	// full are the kinds of tasks for which no room was found anywhere. Of a
	// long queue of alike jobs only the first looks at every machine.
	full map[shape]bool
	lots map[lotKey]*lot
	// packed are the machines with GPUs on which something was placed, one after another.
	packed []*spot
}

// spot is a machine with room, and what of its rating is the same for all jobs.
type spot struct {
	m *machine
	i int
	// dear is what keeps work off a dear machine, warmed that it holds an image of
	// work whose wait is bounded, pull what it fetches a second, and fetching how
	// many images are on their way.
	dear     float64
	warmed   bool
	pull     float64
	fetching int
	// pack is what is usual on machines of its kind, if they have GPUs.
	pack *packing.Kind
}

// shape is what of a task decides where it may go.
type shape struct {
	workload string
	need     Resources
	flavours string
	zone     string
	spot     bool
}

func (j *job) shape() shape {
	s := shape{workload: j.Workload, need: j.Need, zone: j.Zone, spot: j.Spot}
	if len(j.Flavours) > 0 {
		s.flavours = strings.Join(j.Flavours, " ")
	}
	return s
}

func (n *Node) newRound() *round {
	r := &round{warm: map[string]bool{}, scarce: map[string]map[string]scarcity{}, full: map[shape]bool{}, lots: map[lotKey]*lot{}}
	for _, w := range n.owner.workloads {
		if n.waitBound(w.spec.Workload) > 0 && n.now.Sub(w.last) < workloadMemory {
			for _, k := range n.keysOf(w.spec.Workload) {
				for _, a := range n.owner.arrivals[k] {
					r.warm[a.spec.Image] = true
				}
			}
		}
	}
	cheapest, dear, usual := n.cheapest(), map[kind]float64{}, n.packsNow()
	for _, m := range n.owner.byID {
		free := m.free()
		if free.CPU <= slack || free.Memory <= slack || !n.usable(m) {
			continue
		}
		s := &spot{m: m, i: len(r.open), pull: n.pulls(m), pack: usual.kind(m.flavour)}
		k := kind{m.flavour, m.zone, m.spot}
		d, ok := dear[k]
		if !ok {
			d = dearPenalty.Seconds() * (n.unitPrice(m)/cheapest - 1)
			dear[k] = d
		}
		s.dear = d
		s.look(r)
		r.open = append(r.open, s)
	}
	return r
}

// look takes in which images the machine has.
func (s *spot) look(r *round) {
	s.warmed, s.fetching = false, 0
	for name, im := range s.m.images {
		switch {
		case !im.cached:
			s.fetching++
		case r.warm[name]:
			s.warmed = true
		}
	}
}

// fetch is how long the machine needs to have the job's image, in seconds.
func (s *spot) fetch(j *job) float64 { return s.m.fetch(j, s.fetching, s.pull) }

func (n *Node) scarceFor(r *round, j *job) map[string]scarcity {
	s, ok := r.scarce[j.Workload]
	if !ok || len(j.Flavours) > 0 {
		s = n.scarce(&j.Spec)
		if len(j.Flavours) == 0 {
			r.scarce[j.Workload] = s
		}
	}
	return s
}

// lotKey names tasks that may go to the same machines at the same cost.
type lotKey struct {
	shape
	image string
	gb    float64
	// left: their job is left waiting.
	left bool
}

// besideRoom is after which time a job is left waiting: something of it waits, and nothing
// was given a place for so long. It may then use what is kept from it for the sake of the price. The operators'
// rule allows twice as long beside a machine with room.
const besideRoom = 45 * time.Second

func (n *Node) leftWaiting(j *job) bool {
	return !j.waitsFrom.IsZero() && n.now.Sub(later(j.waitsFrom, j.placedAt)) > besideRoom
}

// lot is the machines with room for alike tasks, those with the same time to fetch
// in one heap, the best first. Ratings may be out of date, since other tasks take
// room and fetch images too; the first of a heap is rated again when it comes up.
type lot struct {
	like    []*fetchers
	run     float64
	bounded bool
	// left: the job is left waiting, and machines that are being retired are open to it.
	left bool
	sc   map[string]scarcity
	// off: the tasks stay off machines with GPUs. seen counts the packed machines of the
	// round that are taken in.
	off  bool
	seen int
}

type fetchers struct {
	fetch float64
	pile[place, *place]
}

// place is a machine on which a task of a job may go, and how well it suits;
// less is better.
type place struct {
	s     *spot
	score float64
}

//lint:ignore U1000 heap calls it by its type parameter
func (a *place) before(b *place) bool {
	return a.score < b.score || a.score == b.score && a.s.i < b.s.i
}

func (l *lot) push(fetch float64, p place) {
	for _, f := range l.like {
		if f.fetch == fetch {
			f.push(p)
			return
		}
	}
	f := &fetchers{fetch: fetch}
	f.push(p)
	l.like = append(l.like, f)
}

// lotFor is the machines for a job's tasks. Where it matters in which zone its
// other tasks are, it is the job's own.
func (n *Node) lotFor(r *round, j *job) *lot {
	key := lotKey{j.shape(), j.Image, j.ImageGB, n.leftWaiting(j)}
	own := j.SamePlace || j.Apart || j.early
	if l := r.lots[key]; l != nil && !own {
		n.packedSince(r, l, j)
		return l
	}
	l := &lot{run: n.expects(j).Seconds(), bounded: n.waitBound(j.Workload) > 0, left: key.left, off: n.offNow(j), seen: len(r.packed)}
	if !j.early {
		// What has waited too long leaves nothing to others that fit less.
		l.sc = n.scarceFor(r, j)
	}
	for _, s := range r.open {
		if score, ok := l.rate(n, j, s); ok {
			l.push(s.fetch(j), place{s, score})
		}
	}
	if !own {
		r.lots[key] = l
	}
	return l
}

// rate says how well a machine suits a task of j, the fetch apart: the fullest
// best, so that machines go empty.
func (l *lot) rate(n *Node, j *job, s *spot) (float64, bool) {
	m := s.m
	free := m.free()
	if !j.Need.Fits(free) || !j.allows(m.flavour, m.zone, m.spot) || !j.zoneOK(m.zone) || m.keptFrom(j) {
		return 0, false
	}
	sc := plenty
	if len(l.sc) > 0 {
		sc = l.sc[m.flavour]
	}
	if m.retiring && !l.bounded && !l.left && m.heldFor != j.ID || sc == scarceNow {
		return 0, false
	}
	score := s.dear
	if !l.bounded && s.warmed {
		score += keepPenalty.Seconds()
	}
	if m.speedN >= slowSeen && m.speed > slowMachine {
		score += l.run * (m.speed - 1)
	}
	if sc == scarceSoon {
		score += scarcePenalty.Seconds()
	}
	if s.pack != nil {
		more, ok := n.packed(s.pack, j, m, free, l.off)
		return score + more, ok
	}
	return score + (free.CPU-j.Need.CPU)/max(m.size.CPU, 1), true
}

// first is the best machine that needs no longer than most seconds to fetch.
func (l *lot) first(n *Node, j *job, most float64) (*fetchers, bool) {
	var best *fetchers
	for k := 0; k < len(l.like); k++ {
		f := l.like[k]
		if f.fetch > most {
			continue
		}
		for len(f.es) > 0 {
			// Taken by value: with the first one gone another stands in its place, and
			// would be entered with this one's rating, on a machine that may not suit.
			p := f.es[0]
			score, ok := l.rate(n, j, p.s)
			if fetch := p.s.fetch(j); ok && fetch == f.fetch && score <= p.score {
				break
			} else if !ok {
				f.pop()
			} else if fetch != f.fetch {
				f.pop()
				l.push(fetch, place{p.s, score})
			} else {
				f.es[0].score = score
				f.sink()
			}
		}
		if len(f.es) > 0 && (best == nil || f.fetch+f.es[0].score < best.fetch+best.es[0].score ||
			f.fetch+f.es[0].score == best.fetch+best.es[0].score && f.es[0].s.i < best.es[0].s.i) {
			best = f
		}
	}
	return best, best != nil
}

// asideMost bounds the tasks of a job that are passed over in a round because they
// shun the places there are.
const asideMost = 16

// placeJob places up to count waiting tasks on machines that need no longer than
// fetch to have the image.
func (n *Node) placeJob(j *job, r *round, fetch time.Duration, count int) {
	if count <= 0 || j.pending() == 0 || !n.withinLimit(j) {
		return
	}
	like := j.shape()
	left := n.leftWaiting(j)
	if r.full[like] && !j.early && !left {
		return
	}
	l := n.lotFor(r, j)
	most := fetch.Seconds()
	// Tasks that shun the only places there are do not keep the others from them.
	var aside []int
	defer func() {
		if len(aside) > 0 {
			j.again = append(aside, j.again...)
		}
	}()
	for ; count > 0 && j.pending() > 0 && n.withinLimit(j); count-- {
		if left && !n.leftWaiting(j) {
			// One task was given a place: the others are not left waiting any more.
			left, l = false, n.lotFor(r, j)
		}
		i := j.nextPending(n.now)
		if i < 0 {
			return
		}
		t := &j.tasks[i]
		var shunned []place
		f, ok := l.first(n, j, most)
		for ok && t.shuns(f.es[0].s.m.id) {
			shunned = append(shunned, f.pop())
			f, ok = l.first(n, j, most)
		}
		if !ok {
			for _, p := range shunned {
				l.push(p.s.fetch(j), p)
			}
			aside = append(aside, i)
			if len(shunned) > 0 && len(aside) < asideMost {
				continue
			}
			if fetch == forever && len(shunned) == 0 && !j.SamePlace && !j.Apart && !left {
				r.full[like] = true
			}
			return
		}
		s := f.es[0].s
		begin(n, j, i, s.m)
		s.look(r)
		if s.pack != nil {
			r.packed = append(r.packed, s)
		}
		for _, p := range shunned {
			l.push(p.s.fetch(j), p)
		}
	}
}

// begin makes a new attempt of task i live on m. It starts when its record is durable.
func begin(n *Node, j *job, i int, m *machine) {
	t, id := &j.tasks[i], n.now.UnixMilli()
	g := j.groups[id]
	if g == nil {
		g = &group{start: n.now}
		j.groups[id] = g
	}
	g.tasks = append(g.tasks, i)
	t.try++
	j.placedAt = n.now
	t.group = id
	t.rank = n.sess.ranks.stamp
	t.sent, t.seen, t.inherited, t.misses, t.left = false, false, false, 0, false
	n.attach(j, i, m)
	m.image(j, n.now, false)
	j.touch(i, n.now, true)
	n.debug("placed", "job", j.ID, "task", i, "try", t.try, "machine", m.id, "ranking", t.rank)
}

// prey is where work of some kind may take the place of lower work: machines with
// room at once, and those where something may be stopped, the least work lost
// first. It is looked for now and then and judged again when it is used: going
// through all that runs for each job that waits would take longer than the wait.
type prey struct {
	at    time.Time
	rooms []*machine
	stops []*machine
}

type preyKey struct {
	shape
	urgency Urgency
}

func (n *Node) preyFor(j *job) *prey {
	o := n.owner
	key := preyKey{j.shape(), j.Urgency}
	p := o.prey[key]
	if p != nil && n.now.Sub(p.at) < preemptEvery {
		return p
	}
	p = &prey{at: n.now}
	if o.prey == nil {
		o.prey = map[preyKey]*prey{}
	}
	for k, old := range o.prey {
		if n.now.Sub(old.at) > workloadMemory {
			delete(o.prey, k)
		}
	}
	o.prey[key] = p
	type choice struct {
		m    *machine
		loss time.Duration
	}
	var cs []choice
	off := n.offNow(j)
	for _, m := range o.byID {
		if !j.allows(m.flavour, m.zone, m.spot) || !n.usable(m) || !n.openTo(off, m) {
			continue
		}
		if free := n.freeSoon(m); j.Need.Fits(free) {
			p.rooms = append(p.rooms, m)
		} else if _, loss, ok := n.victims(j, m, free); ok {
			cs = append(cs, choice{m, loss})
		}
	}
	slices.SortStableFunc(cs, func(a, b choice) int { return cmp.Compare(a.loss, b.loss) })
	for _, c := range cs {
		p.stops = append(p.stops, c.m)
	}
	return p
}

// freeSoon is the room on m with what stopped tasks are about to leave.
func (n *Node) freeSoon(m *machine) Resources {
	f := m.free()
	for k, t := range m.attempts {
		if t.stop == stopPreempt && n.now.Sub(t.stopped) < stopPatience {
			f = f.Plus(n.owner.jobs[k.job].Need, 1)
		}
	}
	return f
}

// preempt stops tasks of lower urgency so that the waiting tasks of j find room
// where the image takes no longer than fetch, the least work lost first. It says
// for how many tasks room is coming, by these stops and by earlier ones.
func (n *Node) preempt(j *job, fetch time.Duration) int {
	need := j.pending()
	if !n.withinLimit(j) {
		return 0
	}
	p := n.preyFor(j)
	suits := func(m *machine) bool {
		return !m.forgotten && n.usable(m) && !m.keptFrom(j) && j.zoneOK(m.zone) && n.fetchTime(m, j) <= fetch
	}
	for _, m := range p.rooms {
		if need > 0 && suits(m) {
			need -= n.freeSoon(m).Times(j.Need)
		}
	}
	most := n.losesMost(j)
	for _, m := range p.stops {
		if need <= 0 {
			break
		}
		if !suits(m) {
			continue
		}
		free := n.freeSoon(m)
		if k := free.Times(j.Need); k > 0 {
			// Stopped for another job a moment ago, or something has ended.
			need -= k
			continue
		}
		ts, loss, ok := n.victims(j, m, free)
		if !ok || loss > most {
			continue
		}
		for _, t := range ts {
			t.stop, t.stopped = stopPreempt, n.now
			t.preempted++
		}
		n.mark(m)
		need--
		n.debug("preempt", "for", j.ID, "machine", m.id, "stopped", len(ts), "loss", loss)
	}
	return j.pending() - max(need, 0)
}

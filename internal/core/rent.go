package core

import (
	"cmp"
	"slices"
	"time"
)

// rent.go says which machines are worth renting, which are spare and which dear
// ones to let go, by playing the fleet forward.

// idleLeast is how long a machine that nothing needs stays at least: ends and
// starts follow one another, and plans change from second to second.
const idleLeast = 10 * time.Second

// spare picks the idle machines that are not needed: for what waits or for
// what the last while makes likely, played forward on the cheapest machines
// first. A machine that is cheap is kept the longer.
func (n *Node) spare(r *room, t tick) map[string]bool {
	o := n.owner
	out := map[string]bool{}
	cheapest := n.cheapest()
	idle := false
	for _, m := range o.byID {
		if m.empty() && (m.held == (Resources{}) || m.gift) && m.heard && n.usable(m) && (n.otherOwners() && n.now.Sub(m.idleSince) > spareAfter || n.idle(m, cheapest)) {
			out[m.id] = true
			idle = true
		}
	}
	if !idle {
		return out
	}
	// A machine being retired is one without which nothing is late; it goes as
	// soon as it is idle, and none is kept for its sake.
	retiring := map[*machine]bool{}
	for _, v := range r.vs {
		if v.m.retiring {
			retiring[v.m] = true
		}
	}
	vs := copyRoom(r, retiring)
	slices.SortStableFunc(vs, func(a, b *virtual) int {
		return cmp.Or(cmp.Compare(b2f(a.idle), b2f(b.idle)), cmp.Compare(n.unitPrice(a.m), n.unitPrice(b.m)))
	})
	p := n.newPlan(vs, r.images, t)
	for _, d := range n.demands(n.horizon(), true, true) {
		p.play(d, func(_ int, v *virtual, _, _ time.Time) {
			if v != nil {
				delete(out, v.m.id)
			}
		})
	}
	return out
}

// spareAfter is how long a machine must have had no task before another owner may have
// it: ends and starts follow one another.
const spareAfter = 2 * time.Second

// otherOwners says that there are other owners.
func (n *Node) otherOwners() bool {
	for _, s := range n.sess.book.Shares() {
		if s.Host != n.set.Host && len(s.Teams) > 0 {
			return true
		}
	}
	return false
}

// toSpare are the machines of those that nothing here needs that others may have, the
// dearest first.
func (n *Node) toSpare(spare map[string]bool) []string {
	if !n.otherOwners() {
		return nil
	}
	var ms []*machine
	for _, m := range n.owner.byID {
		if spare[m.id] && (m.held == (Resources{}) || m.gift) && !m.returning && !m.recall && !m.bad && n.now.Sub(m.idleSince) > spareAfter {
			ms = append(ms, m)
		}
	}
	slices.SortStableFunc(ms, func(a, b *machine) int { return cmp.Compare(n.unitPrice(b), n.unitPrice(a)) })
	var out []string
	for _, m := range ms[:min(len(ms), spareMost)] {
		out = append(out, m.id)
	}
	return out
}

// idle says that a machine has had no task for as long as one of its price is kept.
func (n *Node) idle(m *machine, cheapest float64) bool {
	return m.heard && m.empty() && m.held == (Resources{}) && n.now.Sub(m.idleSince) > n.idleKeep(m, cheapest)
}

// dear is how many times the cheapest price a machine must cost to be retired
// while others can do its work.
const dear = 1.5

// retire takes dear machines out of use, one after another, as long as the
// others would start everything in time without them; what runs there ends in
// peace. Without this, work spreads over all machines there are, none goes idle,
// and the ordinary ones of one rush are paid for ever after.
func (n *Node) retire(r *room, t tick) {
	var dearOnes []*machine
	cheapest := n.cheapest()
	for _, m := range n.owner.byID {
		// One that is held for a job is out of the plan, so that nothing would miss it.
		if n.usable(m) && m.heldFor == "" && n.unitPrice(m) > dear*cheapest {
			dearOnes = append(dearOnes, m)
		}
	}
	// After a takeover the forecast comes from the former owner's news, or is
	// not there yet.
	o, out := n.owner, map[*machine]bool{}
	// Decided as one: while the others are played forward nothing changes.
	defer func() {
		for _, m := range o.byID {
			m.retiring = out[m]
		}
	}()
	if len(dearOnes) == 0 || n.now.Sub(o.since) < lately && len(n.inherited) == 0 {
		return
	}
	// The emptiest go first.
	slices.SortStableFunc(dearOnes, func(a, b *machine) int {
		return cmp.Compare(n.usedPart(a), n.usedPart(b))
	})
	demands := n.demands(n.horizon(), true, false)
	base := n.lateness(r, demands, nil, t)
	before, dears := base, len(dearOnes)
	for _, d := range demands {
		base += time.Duration(d.count) * trifle
	}
	misses := 0
	// Of many, several are tried at once, and fewer when that is too much: each
	// try plays all demands forward.
	some := max(1, len(dearOnes)/retireParts)
	for len(dearOnes) > 0 {
		try := dearOnes[:min(some, len(dearOnes))]
		for _, m := range try {
			out[m] = true
		}
		if n.lateness(r, demands, out, t) <= base {
			dearOnes = dearOnes[len(try):]
			continue
		}
		for _, m := range try {
			delete(out, m)
		}
		if misses++; misses >= retireTries {
			break
		}
		if some == 1 {
			dearOnes = dearOnes[1:]
		}
		some = max(1, some/2)
	}
	n.debug("retire", "dear", dears, "retiring", len(out), "late", before, "tries in vain", misses)
}

// trifle is how much later a task may start on the average for the sake of a
// dear machine that goes. Of a thousand tasks some few are always a little later.
const trifle = 10 * time.Millisecond

// retireTries bounds the tries in vain in one look.
const (
	retireTries = 4
	// retireParts is in how many parts a long list of machines is tried, and
	// retireSlow after how many machines in the pool the looks get rarer.
	retireParts = 8
	retireSlow  = 100
)

// idleKeep is how long a machine stays idle before it may go back: the longer
// the cheaper it is.
func (n *Node) idleKeep(m *machine, cheapest float64) time.Duration {
	return max(idleLeast, time.Duration(float64(n.set.Policy.IdleKeep)*cheapest/n.unitPrice(m)))
}

func (n *Node) price(k kind) float64 {
	f := n.types[k.flavour]
	p := f.Price
	if k.spot {
		p = f.SpotPrice
	}
	if w, ok := n.set.Policy.Prefer[k.flavour]; ok && w > 0 {
		p *= w
	}
	return p
}

func (n *Node) unitPrice(m *machine) float64 {
	return n.price(kind{m.flavour, m.zone, m.spot}) / max(m.size.CPU, 1)
}

// rent asks the cloud for machines. It plays forward, in the order of placement,
// when each waiting or expected task would start on the machines there are, by
// the expected ends of what runs. Where a machine rented now would let it start
// sooner, a spot one is rented; an ordinary one, several times as dear, only if
// the task would otherwise start later than it must.
func (n *Node) rent(r *room, t tick) map[kind]int {
	o := n.owner
	p := n.newPlan(r.vs, r.images, t)
	for _, id := range sortedKeys(o.view.rentals) {
		r := o.view.rentals[id]
		m := o.machines[id]
		if r.returning || r.status == "returned" || r.status == "failed" || m != nil && (m.heard || n.awaited(m)) {
			continue
		}
		if r.status == coming || n.now.Sub(r.handed) < handPause {
			p.boot(r.kind, n.now.Add(handTime))
			continue
		}
		if n.comes(r) {
			p.boot(r.kind, n.now.Add(n.readyIn(r.kind, n.now.Sub(r.since))))
		}
	}
	for _, k := range sortedKinds(o.view.renting) {
		for range o.view.renting[k] {
			p.boot(k, p.now.Add(n.readyIn(k, 0)))
		}
	}
	wants := map[kind]int{}
	demands := n.demands(n.horizon(), false, false)
	unmet := 0.0
	for _, d := range demands {
		unmet += float64(d.count) * d.j.Need.CPU
	}
	for _, d := range demands {
		a := p.ask(d.j)
		rented, first, reliefs := 0, time.Duration(0), 0
		for from, left := range d.lots(p.now) {
			for left > 0 && p.on() {
				count := max(1, int(unmet/max(d.j.Need.CPU, 0.1)))
				v, at := p.best(a, from, false)
				if k, ok := p.worthRenting(a, d, from, v != nil, at, count); ok {
					if rented++; rented == 1 {
						first = at.Sub(from)
					}
					wants[k]++
					v = p.get(k)
				} else if x, k, ok := p.relief(a, v, from, count); x != nil {
					v = x
				} else if ok {
					reliefs++
					wants[k]++
					v = p.get(k)
				}
				k := left
				if v != nil {
					k, _, _ = p.take(a, v, from, left)
				}
				left -= k
				unmet -= float64(k) * d.j.Need.CPU
			}
		}
		if rented+reliefs > 0 {
			n.debug("wants", "workload", d.j.Workload, "tasks", d.count, "expected", d.spread > 0, "machines", rented, "instead of waiting", first, "to leave room", reliefs)
		}
	}
	return wants
}

// ready is how long a machine of a kind takes to be of use: less while another owner
// has some to spare.
func (p *plan) ready(o offer) time.Duration {
	if p.spare[o.kind] > 0 {
		return handTime
	}
	return o.ready
}

// get adds a machine that is to be rented, or handed over by another owner.
func (p *plan) get(k kind) *virtual {
	if p.spare[k] > 0 {
		p.spare[k]--
		return p.boot(k, p.now.Add(handTime))
	}
	return p.boot(k, p.now.Add(p.n.readyIn(k, 0)))
}

// relief is what keeps a task off room on which work that waits, and fits little
// else, depends: another machine that is there soon enough, or a cheap kind to
// rent. Looking for one that is there first matters: without it each task that
// is expected would want a new machine, beside hundreds that are idle.
func (p *plan) relief(a *asked, v *virtual, from time.Time, count int) (*virtual, kind, bool) {
	if v == nil || !p.needed(a.j, v.k.flavour) {
		return nil, kind{}, false
	}
	k, ok := p.bestKind(a, count, true)
	ok = ok && !p.needed(a.j, k.flavour)
	if x, at := p.best(a, from, true); x != nil {
		if !ok || !at.After(later(p.now.Add(p.ready(k)), from).Add(k.pull+lateMargin)) {
			return x, kind{}, false
		}
	}
	return nil, k.kind, ok
}

// neededElsewhere says that another workload waits which fits the flavour and
// fewer flavours than this one.
func (n *Node) neededElsewhere(s *Spec, flavour string) bool {
	mine := len(n.fitting(s))
	for name := range n.owner.waiting {
		w := n.owner.workloads[name]
		if name == s.Workload || w == nil {
			continue
		}
		if theirs := n.fitting(w.spec); len(theirs) < mine && slices.Contains(theirs, flavour) {
			return true
		}
	}
	return false
}

// worthRenting says what to rent for tasks of a demand that come at the time from
// and would start at the time at (if they have a place at all).
func (p *plan) worthRenting(a *asked, d demand, from time.Time, placed bool, at time.Time, count int) (kind, bool) {
	for _, spot := range [...]bool{true, false} {
		k, ok := p.bestKind(a, count, spot)
		if !ok {
			continue
		}
		if !placed {
			return k.kind, true
		}
		// It has to fetch the image as well, and not before the task is there:
		// without that, each task expected later than a boot takes would want a
		// machine of its own, beside idle ones that have to fetch too.
		ready := later(p.now.Add(p.ready(k)), from).Add(k.pull)
		if !at.After(ready.Add(lateMargin)) {
			continue
		}
		late := at.Add(p.n.margin(d.j)).After(d.last(p.now, from))
		if !late && !at.After(ready.Add(p.payback(k, a))) {
			continue
		}
		// One that another owner has to spare is there already: as long as work waits
		// that it would do sooner, it isn't to stand idle beside it.
		if spot || late || p.spare[k.kind] > 0 {
			return k.kind, true
		}
	}
	return kind{}, false
}

// payback is for how long a new machine should find work for the time that it boots,
// and is paid for, to be worth it: tasks that are short and not pressing are then done
// one after another, by some machines, and not each on one of its own. Tasks that run
// for longer than the boot pay for it by themselves.
func (p *plan) payback(k offer, a *asked) time.Duration {
	if p.spare[k.kind] > 0 || p.n.waitBound(a.j.Workload) > 0 {
		return 0
	}
	return k.ready - a.run
}

// offers are the kinds of machines on which tasks of a job fit, in order.
func (p *plan) offers(j *job, off bool) []offer {
	var out []offer
	for _, name := range sortedKeys(p.n.types) {
		f := p.n.types[name]
		fit := f.Size.Times(j.Need)
		if fit == 0 || off && p.n.packsNow().kind(name) != nil {
			continue
		}
		for _, z := range f.Zones {
			for _, spot := range [...]bool{true, false} {
				if j.allows(name, z, spot) {
					k := kind{name, z, spot}
					out = append(out, offer{k, fit, p.n.price(k), p.n.readyIn(k, 0), pull(&f, j)})
				}
			}
		}
	}
	return out
}

// bestKind is the cheapest kind, spot or not, for some tasks of a job, among
// those the cloud has not just refused.
func (p *plan) bestKind(a *asked, count int, spot bool) (offer, bool) {
	var best offer
	var bestCost float64
	found := false
	for _, o := range a.offers {
		if o.spot != spot || a.zones.room(o.zone) == 0 || p.blocked[o.kind] && p.spare[o.kind] == 0 {
			continue
		}
		cost := o.price / float64(min(o.fit, max(count, 1)))
		if !found || cost < bestCost {
			best, bestCost, found = o, cost, true
		}
	}
	return best, found
}

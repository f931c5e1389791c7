package core

import (
	"iter"
	"time"
)

// pass is a look at the fleet, carried on bit by bit: playing a large pool forward
// takes longer than reports, polls and renewals can wait. It is a coroutine and not
// a goroutine: it goes on only inside Step, at the owner's word, so the same inputs
// give the same decisions. What it reads of machines and jobs may have changed when
// it ends, so what it decides is judged again before it is done.
type pass struct {
	next func() (struct{}, bool)
	stop func()
	// used and slice are the work done in this slice and allowed in it.
	used, slice int
	over        bool
}

// newPass prepares a pass; nothing of it happens before run.
func newPass(look func(tick)) *pass {
	ps := &pass{}
	ps.next, ps.stop = iter.Pull(func(yield func(struct{}) bool) {
		look(func(units int) bool {
			ps.used += units
			if ps.over || ps.used < ps.slice {
				return !ps.over
			}
			// Stopped, it must not ask to be put aside again.
			ps.over = !yield(struct{}{})
			return !ps.over
		})
	})
	return ps
}

// run carries the pass on for a slice and says whether it has ended.
func (ps *pass) run(slice int) bool {
	ps.used, ps.slice = 0, slice
	_, more := ps.next()
	return !more
}

// planFleet decides which machines this owner wants and which may go. begin allows
// a new look; one that is under way goes on in any case.
func (n *Node) planFleet(begin bool) {
	o := n.owner
	if o.pass == nil {
		if !begin || n.now.Sub(o.planned) < leaderPeriod {
			return
		}
		o.planned = n.now
		if !n.viewFleet() {
			return
		}
		o.wants, o.gone, o.spare = nil, nil, nil
		if o.view == nil || n.now.Sub(o.view.at) > newsFresh || n.now.After(n.sess.sureUntil) {
			return
		}
		o.wantsSeq = o.view.seq
		o.pass = newPass(n.lookAtFleet)
		o.passAt = n.now
	}
	if n.now.Before(o.passAt) {
		return
	}
	if n.now.After(n.sess.sureUntil) {
		// Perhaps deposed: what it would ask for is no longer its to ask.
		o.endPass()
		return
	}
	ps := o.pass
	if ps.run(n.pace.Slice()) {
		o.pass, o.planned = nil, n.now
	}
	n.sliced = ps.used
}

func (o *owner) endPass() {
	if o.pass != nil {
		o.pass.stop()
		o.pass = nil
	}
}

// viewFleet brings the owner's view up to date where it leads itself, and says
// whether there is one.
func (n *Node) viewFleet() bool {
	l, o := n.leader, n.owner
	if l == nil {
		return true
	}
	if !l.listedOK {
		return false
	}
	v := &view{at: n.now, rentals: map[string]*rental{}, blocked: l.blocked, renting: map[kind]int{}, spare: map[kind]int{}}
	for _, w := range spareFor(n, n.set.Host) {
		v.spare[kind{w.Flavour, w.Zone, w.Spot}] = w.Count
	}
	for id, r := range l.rentals {
		if r.gone.IsZero() && n.rentedFor(id) == n.set.Host {
			v.rentals[id] = r
		}
	}
	for a, c := range l.renting {
		if a.owner == n.set.Host {
			v.renting[a.kind] = c
		}
	}
	o.view = v
	return true
}

// lookAtFleet is what a pass does.
func (n *Node) lookAtFleet(t tick) {
	o := n.owner
	// What runs and when it ends is the same for all that is planned now.
	r := n.futureRoom()
	if !t(len(r.vs)) {
		return
	}
	tellStuck(n, n.stuckKinds())
	if n.now.Sub(o.retired) >= leaderPeriod*time.Duration(1+len(o.byID)/retireSlow) {
		n.retire(r, t)
		o.retired = n.now
	}
	spare := n.spare(r, t)
	if !t(0) {
		return
	}
	o.spare = n.toSpare(spare)
	n.returns(spare)
	wants := n.rent(r, t)
	if !t(0) {
		return
	}
	o.wants = wants
}

// Took tells how long the last step took here, with all that it sent off: planning
// is divided so that steps stay short, and placing leaves time to the rest.
func (n *Node) Took(d time.Duration) {
	if n.placed && n.owner != nil {
		n.owner.roundTook = d
	}
	n.placed = false
	if n.sliced == 0 {
		return
	}
	rest := n.pace.Took(n.sliced, d)
	n.sliced = 0
	if n.owner != nil {
		n.owner.passAt = n.now.Add(d + rest)
	}
}

package core

import (
	"iter"
	"time"

	"github.com/micahill/micahill/internal/boottime"
)

// boot.go joins the core to internal/boottime: how long machines take to come up, learnt
// for each kind.

func (n *Node) bootsOf(k kind) *boottime.Kind {
	b := n.boots[k]
	if b == nil {
		b = &boottime.Kind{}
		n.boots[k] = b
	}
	b.Fade(n.now, n.types[k.flavour].Ready)
	return b
}

// cameUp learns from a machine that is heard for the first time. One that was rented
// before this owner began may have been up for long.
func (n *Node) cameUp(m *machine) {
	v := n.owner.view
	if v == nil {
		return
	}
	if r := v.rentals[m.id]; r != nil && r.status == "booting" && r.since.After(n.owner.readyAt) {
		n.bootsOf(r.kind).Up(n.now, n.now.Sub(r.since))
	}
}

// readyIn is how long a machine of a kind most likely takes that is rented now, or was
// rented so long ago and is not up yet.
func (n *Node) readyIn(k kind, age time.Duration) time.Duration {
	f := n.types[k.flavour]
	return min(n.bootsOf(k).Remaining(age, f.Ready), stuckReady*f.Ready)
}

// stuckReady bounds how much later than told machines are planned to come up, in times
// of that, also when none came up lately and one is rented all the same for want of
// another.
const stuckReady = 10

// comes says that a machine that was not heard of yet is counted on: that waiting for
// it is a better bet than another.
func (n *Node) comes(r *rental) bool {
	f, ok := n.types[r.flavour]
	return ok && !r.returning && r.status != "returned" && r.status != "failed" && n.bootsOf(r.kind).Coming(n.now.Sub(r.since), f.Ready)
}

// comingFor are the machines on their way that are counted on and that a job allows.
func (n *Node) comingFor(j *job) iter.Seq[*rental] {
	return func(yield func(*rental) bool) {
		if n.owner.view == nil {
			return
		}
		for id, r := range n.owner.view.rentals {
			if m := n.owner.machines[id]; (m == nil || !m.heard) && n.comes(r) && j.allows(r.flavour, r.zone, r.spot) && !yield(r) {
				return
			}
		}
	}
}

// givenUp says that a machine that has not come up is not worth its rent any more.
func (n *Node) givenUp(r *rental) bool {
	return n.bootsOf(r.kind).GiveUp(n.now.Sub(r.since), n.types[r.flavour].Ready)
}

// stuckKinds are the kinds of which machines have stopped coming up.
func (n *Node) stuckKinds() map[kind]bool {
	o := n.owner
	by := map[kind][]boottime.Booting{}
	for id, r := range o.view.rentals {
		if m := o.machines[id]; (m == nil || !m.heard) && !r.returning && r.status == "booting" && r.since.After(o.readyAt) {
			by[r.kind] = append(by[r.kind], boottime.Booting(r.since))
		}
	}
	out := map[kind]bool{}
	for k, bs := range by {
		if n.bootsOf(k).Stuck(n.now, n.types[k.flavour].Ready, bs) {
			out[k] = true
		}
	}
	return out
}

// tellStuck tells of kinds that have stopped coming up, or come up again.
func tellStuck(n *Node, now map[kind]bool) {
	o := n.owner
	for _, k := range sortedKinds(now) {
		if !o.stuck[k] {
			n.info("machines of a kind do not come up: others are rented", "flavour", k.flavour, "zone", k.zone, "spot", k.spot)
		}
	}
	for _, k := range sortedKinds(o.stuck) {
		if !now[k] {
			n.info("machines of a kind are rented again", "flavour", k.flavour, "zone", k.zone, "spot", k.spot)
		}
	}
	o.stuck = now
}

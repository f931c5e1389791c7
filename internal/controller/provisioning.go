package controller

import (
	"iter"
	"time"

	"github.com/micahill/micahill/internal/boottime"
)

// provisioning.go joins the core to internal/boottime: how long machines take to come up, learnt
// for each kind.

func (n *Controller) provisioningOf(k machineKind) *boottime.Estimator {
	b := n.provisioningTimes[k]
	if b == nil {
		b = &boottime.Estimator{}
		n.provisioningTimes[k] = b
	}
	b.Expire(n.now, n.machineTypes[k.machineType].ProvisioningTime)
	return b
}

// becameReady learns from a machine that is heard for the first time. One that was rented
// before this owner began may have been up for long.
func (n *Controller) becameReady(m *machine) {
	v := n.shardLeader.fleetView
	if v == nil {
		return
	}
	if r := v.rentals[m.id]; r != nil && r.status == "booting" && r.rentedAt.After(n.shardLeader.readyAt) {
		n.provisioningOf(r.machineKind).RecordReady(n.now, n.now.Sub(r.rentedAt))
	}
}

// timeToReady is how long a machine of a kind most likely takes that is rented now, or was
// rented so long ago and is not up yet.
func (n *Controller) timeToReady(k machineKind, age time.Duration) time.Duration {
	f := n.machineTypes[k.machineType]
	return min(n.provisioningOf(k).Remaining(age, f.ProvisioningTime), maxReadyFactor*f.ProvisioningTime)
}

// maxReadyFactor bounds how much later than told machines are planned to come up, in times
// of that, also when none came up lately and one is rented all the same for want of
// another.
const maxReadyFactor = 10

// isExpected says that a machine that was not heard of yet is counted on: that waiting for
// it is a better bet than another.
func (n *Controller) isExpected(r *rental) bool {
	f, ok := n.machineTypes[r.machineType]
	return ok && !r.releasing && r.status != "returned" && r.status != "failed" && n.provisioningOf(r.machineKind).IsWorthWaiting(n.now.Sub(r.rentedAt), f.ProvisioningTime)
}

// expectedFor are the machines on their way that are counted on and that a job allows.
func (n *Controller) expectedFor(j *job) iter.Seq[*rental] {
	return func(yield func(*rental) bool) {
		if n.shardLeader.fleetView == nil {
			return
		}
		for id, r := range n.shardLeader.fleetView.rentals {
			if m := n.shardLeader.machines[id]; (m == nil || !m.heard) && n.isExpected(r) && j.allowsMachine(r.machineType, r.zone, r.spot) && !yield(r) {
				return
			}
		}
	}
}

// isGivenUp says that a machine that has not come up is not worth its rent any more.
func (n *Controller) isGivenUp(r *rental) bool {
	return n.provisioningOf(r.machineKind).GiveUp(n.now.Sub(r.rentedAt), n.machineTypes[r.machineType].ProvisioningTime)
}

// neverReadyKinds are the kinds of which machines have stopped coming up.
func (n *Controller) neverReadyKinds() map[machineKind]bool {
	o := n.shardLeader
	provisioning := map[machineKind][]boottime.Provisioning{}
	for id, r := range o.fleetView.rentals {
		if m := o.machines[id]; (m == nil || !m.heard) && !r.releasing && r.status == "booting" && r.rentedAt.After(o.readyAt) {
			provisioning[r.machineKind] = append(provisioning[r.machineKind], boottime.Provisioning(r.rentedAt))
		}
	}
	neverReady := map[machineKind]bool{}
	for k, machines := range provisioning {
		if n.provisioningOf(k).NeverReady(n.now, n.machineTypes[k.machineType].ProvisioningTime, machines) {
			neverReady[k] = true
		}
	}
	return neverReady
}

// logNeverReady tells of kinds that have stopped coming up, or come up again.
func logNeverReady(n *Controller, current map[machineKind]bool) {
	o := n.shardLeader
	for _, k := range sortedKinds(current) {
		if !o.neverReadyKinds[k] {
			n.info("machines of a kind do not come up: others are rented", "flavour", k.machineType, "zone", k.zone, "spot", k.spot)
		}
	}
	for _, k := range sortedKinds(o.neverReadyKinds) {
		if !current[k] {
			n.info("machines of a kind are rented again", "flavour", k.machineType, "zone", k.zone, "spot", k.spot)
		}
	}
	o.neverReadyKinds = current
}

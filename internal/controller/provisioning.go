package controller

import (
	"iter"
	"time"

	"github.com/micahill/micahill/internal/boottime"
)

// provisioning.go joins the core to internal/boottime: how long machines take to come up, learnt
// for each kind.

func (kk *fleetKnowledge) provisioningOf(k machineKind) *boottime.Estimator {
	b := kk.provisioningTimes[k]
	if b == nil {
		b = &boottime.Estimator{}
		kk.provisioningTimes[k] = b
	}
	b.Expire(kk.now, kk.machineTypes[k.machineType].ProvisioningTime)
	return b
}

// becameReady learns from a machine that is heard for the first time. One that was rented
// before this owner began may have been up for long.
func (f *fleetPlanner) becameReady(m *machine) {
	v := f.view
	if v == nil {
		return
	}
	if r := v.rentals[m.id]; r != nil && r.status == "booting" && r.rentedAt.After(f.controller.shardLeader.readyAt) {
		f.controller.knowledge.provisioningOf(r.machineKind).RecordReady(f.now, f.now.Sub(r.rentedAt))
	}
}

// timeToReady is how long a machine of a kind most likely takes that is rented now, or was
// rented so long ago and is not up yet.
func (kk *fleetKnowledge) timeToReady(k machineKind, age time.Duration) time.Duration {
	f := kk.machineTypes[k.machineType]
	return min(kk.provisioningOf(k).Remaining(age, f.ProvisioningTime), maxReadyFactor*f.ProvisioningTime)
}

// maxReadyFactor bounds how much later than told machines are planned to come up, in times
// of that, also when none came up lately and one is rented all the same for want of
// another.
const maxReadyFactor = 10

// isExpected says that a machine that was not heard of yet is counted on: that waiting for
// it is a better bet than another.
func (k *fleetKnowledge) isExpected(r *rental) bool {
	f, ok := k.machineTypes[r.machineType]
	return ok && !r.releasing && r.status != "returned" && r.status != "failed" && k.provisioningOf(r.machineKind).IsWorthWaiting(k.now.Sub(r.rentedAt), f.ProvisioningTime)
}

// expectedFor are the machines on their way that are counted on and that a job allows.
func (c *Controller) expectedFor(j *job) iter.Seq[*rental] {
	return func(yield func(*rental) bool) {
		if c.shardLeader.fleet.view == nil {
			return
		}
		for id, r := range c.shardLeader.fleet.view.rentals {
			if m := c.shardLeader.machines[id]; (m == nil || !m.heard) && c.knowledge.isExpected(r) && j.allowsMachine(r.machineType, r.zone, r.spot) && !yield(r) {
				return
			}
		}
	}
}

// isGivenUp says that a machine that has not come up is not worth its rent any more.
func (k *fleetKnowledge) isGivenUp(r *rental) bool {
	return k.provisioningOf(r.machineKind).GiveUp(k.now.Sub(r.rentedAt), k.machineTypes[r.machineType].ProvisioningTime)
}

// kindsNeverReady are the kinds of which machines have stopped coming up.
func (f *fleetPlanner) kindsNeverReady() map[machineKind]bool {
	o := f.controller.shardLeader
	provisioning := map[machineKind][]boottime.Provisioning{}
	for id, r := range o.fleet.view.rentals {
		if m := o.machines[id]; (m == nil || !m.heard) && !r.releasing && r.status == "booting" && r.rentedAt.After(o.readyAt) {
			provisioning[r.machineKind] = append(provisioning[r.machineKind], boottime.Provisioning(r.rentedAt))
		}
	}
	neverReady := map[machineKind]bool{}
	for k, machines := range provisioning {
		if f.controller.knowledge.provisioningOf(k).NeverReady(f.now, f.controller.knowledge.machineTypes[k.machineType].ProvisioningTime, machines) {
			neverReady[k] = true
		}
	}
	return neverReady
}

// logNeverReady tells of kinds that have stopped coming up, or come up again.
func (f *fleetPlanner) logNeverReady(current map[machineKind]bool) {
	o := f.controller.shardLeader
	for _, k := range sortedKinds(current) {
		if !o.fleet.neverReadyKinds[k] {
			f.info("machines of a kind do not come up: others are rented", "flavour", k.machineType, "zone", k.zone, "spot", k.spot)
		}
	}
	for _, k := range sortedKinds(o.fleet.neverReadyKinds) {
		if !current[k] {
			f.info("machines of a kind are rented again", "flavour", k.machineType, "zone", k.zone, "spot", k.spot)
		}
	}
	o.fleet.neverReadyKinds = current
}

package controller

import (
	"iter"
	"time"

	"github.com/micahill/micahill/internal/boottime"
)

// provisioning.go applies internal/boottime: it learns for each kind how long machines take from
// being rented to being ready, and which kinds have stopped becoming ready.

// maxReadyFactor bounds how much later than the cloud's own figure machines are planned to be ready,
// in times of that figure, also when none became ready lately and one is rented all the same for
// want of another kind.
const maxReadyFactor = 10

// provisioningOf returns the estimator of a kind, without expired samples.
func (k *fleetKnowledge) provisioningOf(kind machineKind) *boottime.Estimator {
	e := k.provisioningTimes[kind]
	if e == nil {
		e = &boottime.Estimator{}
		k.provisioningTimes[kind] = e
	}
	e.Expire(k.now, k.machineTypes[kind.machineType].ProvisioningTime)
	return e
}

// becameReady learns from a machine's first heartbeat. Machines rented before this shard leader was
// ready are ignored: they may have been up for long.
func (f *fleetPlanner) becameReady(m *machine) {
	v := f.view
	if v == nil {
		return
	}
	if r := v.rentals[m.id]; r != nil && r.status == "booting" && r.rentedAt.After(f.controller.shardLeader.readyAt) {
		f.controller.knowledge.provisioningOf(r.machineKind).RecordReady(f.now, f.now.Sub(r.rentedAt))
	}
}

// timeToReady is how long a machine of a kind most likely takes to be ready that was rented age ago
// and is not ready yet.
func (k *fleetKnowledge) timeToReady(kind machineKind, age time.Duration) time.Duration {
	f := k.machineTypes[kind.machineType]
	return min(k.provisioningOf(kind).Remaining(age, f.ProvisioningTime), maxReadyFactor*f.ProvisioningTime)
}

// isExpected reports whether a machine without a heartbeat so far is counted on: to wait for it is
// better than to rent another.
func (k *fleetKnowledge) isExpected(r *rental) bool {
	f, ok := k.machineTypes[r.machineType]
	return ok && !r.releasing && r.status != "returned" && r.status != "failed" && k.provisioningOf(r.machineKind).IsWorthWaiting(k.now.Sub(r.rentedAt), f.ProvisioningTime)
}

// expectedFor yields the machines that are counted on but not ready yet and that a job allows.
func (f *fleetPlanner) expectedFor(j *job) iter.Seq[*rental] {
	return func(yield func(*rental) bool) {
		if f.view == nil {
			return
		}
		for id, r := range f.view.rentals {
			if m := f.controller.shardLeader.machines[id]; (m == nil || !m.heard) && f.controller.knowledge.isExpected(r) && j.allowsMachine(r.machineType, r.zone, r.spot) && !yield(r) {
				return
			}
		}
	}
}

// isGivenUp reports whether a machine that is not ready is not worth its cost any more.
func (k *fleetKnowledge) isGivenUp(r *rental) bool {
	return k.provisioningOf(r.machineKind).GiveUp(k.now.Sub(r.rentedAt), k.machineTypes[r.machineType].ProvisioningTime)
}

// kindsNeverReady returns the kinds of which machines have stopped becoming ready.
func (f *fleetPlanner) kindsNeverReady() map[machineKind]bool {
	o := f.controller.shardLeader
	provisioning := map[machineKind][]boottime.Provisioning{}
	for id, r := range f.view.rentals {
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

// setNeverReadyKinds keeps what kindsNeverReady found and logs what has changed.
func (f *fleetPlanner) setNeverReadyKinds(current map[machineKind]bool) {
	for _, k := range sortedKinds(current) {
		if !f.neverReadyKinds[k] {
			f.info("machine kind never ready, others requested instead", "machine_type", k.machineType, "zone", k.zone, "spot", k.spot)
		}
	}
	for _, k := range sortedKinds(f.neverReadyKinds) {
		if !current[k] {
			f.info("machine kind requested again", "machine_type", k.machineType, "zone", k.zone, "spot", k.spot)
		}
	}
	f.neverReadyKinds = current
}

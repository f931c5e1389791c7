package controller

import (
	"iter"
	"time"

	"github.com/micahill/micahill/internal/boottime"
)

// provisioning.go applies internal/boottime. For each kind of machine it estimates the time from renting a
// machine to its being ready, and detects kinds whose machines have stopped becoming ready.

// maxReadyFactor bounds the time to ready that planning assumes, as a multiple of the provisioning time that
// the cloud states. The bound also holds if no machine of a kind became ready recently and one is rented
// nevertheless, because no other kind is available.
const maxReadyFactor = 10

// provisioningOf returns the estimator of a kind, after dropping its samples if they have expired.
func (knowledge *fleetKnowledge) provisioningOf(kind machineKind) *boottime.Estimator {
	estimator := knowledge.provisioningTimes[kind]
	if estimator == nil {
		estimator = &boottime.Estimator{}
		knowledge.provisioningTimes[kind] = estimator
	}
	estimator.Expire(knowledge.now, knowledge.machineTypes[kind.machineType].ProvisioningTime)
	return estimator
}

// recordReady records, at a machine's first heartbeat, how long the machine took to become ready. It ignores
// machines rented before this shard leader was ready, since they may have been running for long.
func (planner *fleetPlanner) recordReady(m *machine) {
	view := planner.view
	if view == nil {
		return
	}
	if rental := view.rentals[m.id]; rental != nil && rental.status == "booting" && rental.rentedAt.After(planner.controller.shardLeader.readyAt) {
		planner.controller.knowledge.provisioningOf(rental.machineKind).RecordReady(planner.now, planner.now.Sub(rental.rentedAt))
	}
}

// timeToReady returns how much longer a machine that was rented age ago and is not ready yet is likely to
// take. It is at most maxReadyFactor times the provisioning time that the cloud states.
func (knowledge *fleetKnowledge) timeToReady(kind machineKind, age time.Duration) time.Duration {
	machineType := knowledge.machineTypes[kind.machineType]
	return min(knowledge.provisioningOf(kind).Remaining(age, machineType.ProvisioningTime), maxReadyFactor*machineType.ProvisioningTime)
}

// isExpected reports whether planning counts on a machine that has sent no heartbeat yet: waiting for the
// machine is better than renting another.
func (knowledge *fleetKnowledge) isExpected(rental *rental) bool {
	machineType, ok := knowledge.machineTypes[rental.machineType]
	return ok && !rental.releasing && rental.status != "returned" && rental.status != "failed" &&
		knowledge.provisioningOf(rental.machineKind).IsWorthWaiting(knowledge.now.Sub(rental.rentedAt), machineType.ProvisioningTime)
}

// expectedFor yields the rentals that are not ready yet, that planning counts on and that a job allows.
func (planner *fleetPlanner) expectedFor(j *job) iter.Seq[*rental] {
	return func(yield func(*rental) bool) {
		if planner.view == nil {
			return
		}
		for id, rental := range planner.view.rentals {
			m := planner.controller.shardLeader.machines[id]
			counted := (m == nil || !m.heard) && planner.controller.knowledge.isExpected(rental)
			if counted && j.allowsMachine(rental.machineType, rental.zone, rental.spot) && !yield(rental) {
				return
			}
		}
	}
}

// isGivenUp reports whether a machine that is not ready has taken so long that it is not worth its cost.
func (knowledge *fleetKnowledge) isGivenUp(rental *rental) bool {
	return knowledge.provisioningOf(rental.machineKind).GiveUp(knowledge.now.Sub(rental.rentedAt), knowledge.machineTypes[rental.machineType].ProvisioningTime)
}

// kindsNeverReady returns the kinds whose machines have stopped becoming ready.
func (planner *fleetPlanner) kindsNeverReady() map[machineKind]bool {
	shardLeader := planner.controller.shardLeader
	provisioning := map[machineKind][]boottime.Provisioning{}
	for id, r := range planner.view.rentals {
		if m := shardLeader.machines[id]; (m == nil || !m.heard) && !r.releasing && r.status == "booting" && r.rentedAt.After(shardLeader.readyAt) {
			provisioning[r.machineKind] = append(provisioning[r.machineKind], boottime.Provisioning(r.rentedAt))
		}
	}
	neverReady := map[machineKind]bool{}
	for k, machines := range provisioning {
		if planner.controller.knowledge.provisioningOf(k).NeverReady(planner.now, planner.controller.knowledge.machineTypes[k.machineType].ProvisioningTime, machines) {
			neverReady[k] = true
		}
	}
	return neverReady
}

// setNeverReadyKinds stores the result of kindsNeverReady and logs the differences from the previous one.
func (planner *fleetPlanner) setNeverReadyKinds(current map[machineKind]bool) {
	for _, k := range sortedKinds(current) {
		if !planner.neverReadyKinds[k] {
			planner.info("machine kind not becoming ready, other kinds requested instead", "machine_type", k.machineType, "zone", k.zone, "spot", k.spot)
		}
	}
	for _, k := range sortedKinds(planner.neverReadyKinds) {
		if !current[k] {
			planner.info("machine kind requested again", "machine_type", k.machineType, "zone", k.zone, "spot", k.spot)
		}
	}
	planner.neverReadyKinds = current
}

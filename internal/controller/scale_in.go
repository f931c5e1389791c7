package controller

import "time"

const (
	// maxReleasePerRequest is the cloud's limit on the number of machines in one release request.
	maxReleasePerRequest = 100
	// settleTime is how long after a takeover no machine counts as unresponsive or idle.
	settleTime = 8 * time.Second
	// reasonNeverReady is the reason for releasing a machine that was given up before it was ready.
	reasonNeverReady = "never ready"
)

// adopt adds a rental to the machines of this controller's shard, if the shard map assigns it to the shard.
// It contacts a machine that is running and has not sent a heartbeat yet.
func (controller *Controller) adopt(rental *rental) {
	shardLeader := controller.shardLeader
	if shardLeader == nil || rental.status == "failed" || rental.releasing || !shardLeader.ready {
		return
	}
	if _, mine := controller.membership.ownedMachine(rental.id); !mine || controller.leader != nil && controller.leader.sharding.unrecordedMachines[rental.id].Host != "" {
		// Another shard leader owns the machine, or is about to.
		return
	}
	m := controller.shardLeader.ensureMachine(rental.id)
	if !controller.membership.shardMap.IsAssigned(rental.id) && !shardLeader.catchAllSince.IsZero() && rental.rentedAt.After(shardLeader.catchAllSince) {
		// The machine was rented after this shard became the owner of the machines that no
		// segment names, so it has had no former owner.
		m.formerOwnerUntil = time.Time{}
	}
	if m.machineType == "" || m.addr == "" {
		controller.shardLeader.describe(m, rental.addr, rental.machineType, rental.zone, rental.spot)
	}
	if !m.heard && (rental.status == "running" || rental.status == statusComing) && rental.addr != "" {
		controller.shardLeader.failover.contact(m)
	}
}

// selectReleases requests the release of machines that failed, were never ready, are unresponsive or are
// faulty, and of surplus machines that have been idle for long enough. The planning pass that computed
// surplus may have taken a while, so selectReleases checks the current state of each machine.
func (planner *fleetPlanner) selectReleases(surplus map[string]bool) {
	settled := planner.now.Sub(planner.controller.shardLeader.since) > settleTime
	unresponsive := map[string]bool{}
	for _, id := range planner.controller.shardLeader.heartbeats.unresponsiveMachines() {
		unresponsive[id] = true
	}
	planner.releaseUnpublished(unresponsive, settled)
	cheapest := planner.controller.knowledge.cheapestCPUCost()
	for _, id := range sortedKeys(planner.view.rentals) {
		rental := planner.view.rentals[id]
		if rental.releasing && planner.controller.leader == nil {
			// The release was already requested from the leader, but the request may have
			// been lost.
			planner.requestRelease(id)
		}
		if rental.releasing {
			continue
		}
		m := planner.controller.shardLeader.machines[id]
		reason := planner.releaseReason(rental, m, settled, unresponsive[id])
		if reason == "" && m != nil && settled && surplus[id] && planner.isIdleExpired(m, cheapest) {
			reason = "idle"
		}
		if reason == "" || len(planner.machinesToRelease) >= maxReleasePerRequest {
			continue
		}
		planner.release(rental, m, reason)
	}
}

// releaseUnpublished requests the release of unresponsive machines with attempts that are missing in the
// leader's list of rentals. Such a machine may be gone, or the list may be late; only the response to a
// release request is proof. Machines whose release was already requested are included, since the request
// may have been lost, or confirmed to another shard leader.
func (planner *fleetPlanner) releaseUnpublished(unresponsive map[string]bool, settled bool) {
	for _, m := range planner.controller.shardLeader.machinesByID {
		if id := m.id; planner.view.rentals[id] == nil && !m.isEmpty() && (unresponsive[id] || m.releasing || planner.controller.knowledge.released[id]) && settled && len(planner.machinesToRelease) < maxReleasePerRequest {
			planner.controller.knowledge.markReleased(id)
			m.releasing = true
			planner.requestRelease(id)
		}
	}
}

// releaseReason returns why a rental is to be released even if it is needed, or "" if it is not. m is nil
// if the rental is not a machine of this shard yet.
func (planner *fleetPlanner) releaseReason(rental *rental, m *machine, settled, unresponsive bool) string {
	switch {
	case rental.status == "failed":
		return "failed"
	case m == nil:
	case !m.heard && settled && planner.controller.knowledge.isGivenUp(rental) && m.isEmpty() && planner.now.Sub(m.ownedSince) > min(settleTime, m.ownedSince.Sub(planner.controller.shardLeader.since)):
		// A machine that another shard leader has just handed over gets settleTime to report,
		// however long ago it was rented. A machine that came with the takeover of the shard
		// has had that time once settled is true.
		return reasonNeverReady
	case unresponsive && settled:
		return "unresponsive"
	case m.faulty && m.isEmpty():
		return "faulty"
	}
	return ""
}

// release requests the release of a machine. No more tasks are placed on it, even if the request fails.
func (planner *fleetPlanner) release(rental *rental, m *machine, reason string) {
	planner.info("machine released", "machine", rental.id, "reason", reason)
	if reason == reasonNeverReady && !planner.controller.knowledge.released[rental.id] {
		// The machine is counted once, however often its release is requested.
		planner.controller.knowledge.provisioningOf(rental.machineKind).RecordGivenUp(planner.now)
		planner.recordNeverReady(planner.controller.knowledge.costPerHour(rental.machineKind) * planner.now.Sub(rental.rentedAt).Hours())
		planner.info("machines given up before they were ready", "count", planner.neverReadyCount, "cost", planner.neverReadyCost)
	}
	planner.requestRelease(rental.id)
	planner.controller.knowledge.markReleased(rental.id)
	if m != nil {
		m.releasing = true
	}
}

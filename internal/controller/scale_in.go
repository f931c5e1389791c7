package controller

import "time"

const (
	// maxReleasePerRequest is the cloud's limit on machines in one release.
	maxReleasePerRequest = 100
	// settleTime is how long after a takeover no machine counts as unresponsive or idle.
	settleTime = 8 * time.Second
	// reasonNeverReady is why a machine is released that was given up before it was ready.
	reasonNeverReady = "never ready"
)

// adopt makes a rental a machine of this controller's shard, if the shard map names it there. A
// machine that is running and has not been heard yet is contacted.
func (c *Controller) adopt(r *rental) {
	s := c.shardLeader
	if s == nil || r.status == "failed" || r.releasing || !s.ready {
		return
	}
	if _, mine := c.membership.ownedMachine(r.id); !mine || c.leader != nil && c.leader.sharding.unrecordedMachines[r.id].Host != "" {
		// It belongs to another shard leader, or is about to.
		return
	}
	m := c.shardLeader.ensureMachine(r.id)
	if !c.membership.shardMap.IsAssigned(r.id) && !s.catchAllSince.IsZero() && r.rentedAt.After(s.catchAllSince) {
		// Rented since this shard has the machines that no segment names: it never
		// belonged to another.
		m.formerOwnerUntil = time.Time{}
	}
	if m.machineType == "" || m.addr == "" {
		c.shardLeader.describe(m, r.addr, r.machineType, r.zone, r.spot)
	}
	if !m.heard && (r.status == "running" || r.status == statusComing) && r.addr != "" {
		c.shardLeader.failover.contact(m)
	}
}

// selectReleases chooses the machines to return to the cloud: failed, never ready, unresponsive and
// faulty ones, and idle ones that are not needed. The planning pass that found surplus may have
// taken a while, so each machine is judged by its present state.
func (f *fleetPlanner) selectReleases(surplus map[string]bool) {
	settled := f.now.Sub(f.controller.shardLeader.since) > settleTime
	unresponsive := map[string]bool{}
	for _, id := range f.controller.shardLeader.heartbeats.unresponsiveMachines() {
		unresponsive[id] = true
	}
	f.releaseUnpublished(unresponsive, settled)
	cheapest := f.controller.knowledge.cheapestCPUCost()
	for _, id := range sortedKeys(f.view.rentals) {
		r := f.view.rentals[id]
		if r.releasing && f.controller.leader == nil {
			// The leader was asked already, but the request may have been lost.
			f.requestRelease(id)
		}
		if r.releasing {
			continue
		}
		m := f.controller.shardLeader.machines[id]
		reason := f.releaseReason(r, m, settled, unresponsive[id])
		if reason == "" && m != nil && settled && surplus[id] && f.isIdleExpired(m, cheapest) {
			reason = "idle"
		}
		if reason == "" || len(f.machinesToRelease) >= maxReleasePerRequest {
			continue
		}
		f.release(r, m, reason)
	}
}

// releaseUnpublished requests the release of machines with attempts that the leader no longer
// publishes. They may be gone, or a list was late: only the answer to a release is proof. If one was
// requested already, the request may have been lost, or confirmed to another shard leader.
func (f *fleetPlanner) releaseUnpublished(unresponsive map[string]bool, settled bool) {
	for _, m := range f.controller.shardLeader.machinesByID {
		if id := m.id; f.view.rentals[id] == nil && !m.isEmpty() && (unresponsive[id] || m.releasing || f.controller.knowledge.released[id]) && settled && len(f.machinesToRelease) < maxReleasePerRequest {
			f.controller.knowledge.markReleased(id)
			m.releasing = true
			f.requestRelease(id)
		}
	}
}

// releaseReason says why a rental is to be released whether it is needed or not, or "". m is nil if
// it is no machine of this shard yet.
func (f *fleetPlanner) releaseReason(r *rental, m *machine, settled, unresponsive bool) string {
	switch {
	case r.status == "failed":
		return "failed"
	case m == nil:
	case !m.heard && settled && f.controller.knowledge.isGivenUp(r) && m.isEmpty() && f.now.Sub(m.ownedSince) > min(settleTime, m.ownedSince.Sub(f.controller.shardLeader.since)):
		// A machine that another shard leader has just handed over gets time, however long
		// ago it was rented. What came with the takeover has had it when settled.
		return reasonNeverReady
	case unresponsive && settled:
		return "unresponsive"
	case m.faulty && m.isEmpty():
		return "faulty"
	}
	return ""
}

// release requests the release of a machine, which gets no more work whatever becomes of that.
func (f *fleetPlanner) release(r *rental, m *machine, reason string) {
	f.info("machine released", "machine", r.id, "reason", reason)
	if reason == reasonNeverReady && !f.controller.knowledge.released[r.id] {
		// Counted once, however often the leader is asked.
		f.controller.knowledge.provisioningOf(r.machineKind).RecordGivenUp(f.now)
		f.recordNeverReady(f.controller.knowledge.costPerHour(r.machineKind) * f.now.Sub(r.rentedAt).Hours())
		f.info("machines never ready", "count", f.neverReadyCount, "cost", f.neverReadyCost)
	}
	f.requestRelease(r.id)
	f.controller.knowledge.markReleased(r.id)
	if m != nil {
		m.releasing = true
	}
}

package controller

import "time"

// adopt makes a rental known to the owner of the pool.
func (c *Controller) adopt(r *rental) {
	o := c.shardLeader
	if o == nil || r.status == "failed" || r.releasing || !o.ready {
		return
	}
	if _, mine := c.membership.ownedMachine(r.id); !mine || c.leader != nil && c.leader.sharding.unrecordedMachines[r.id].Host != "" {
		// Another's, or about to be.
		return
	}
	m := c.shardLeader.ensureMachine(r.id)
	if !c.membership.shardMap.IsAssigned(r.id) && !o.catchAllSince.IsZero() && r.rentedAt.After(o.catchAllSince) {
		// Rented since, and named by nobody: it never was another's.
		m.formerOwnerUntil = time.Time{}
	}
	if m.machineType == "" || m.addr == "" {
		c.shardLeader.describe(m, r.addr, r.machineType, r.zone, r.spot)
	}
	if !m.heard && (r.status == "running" || r.status == statusComing) && r.addr != "" {
		c.shardLeader.failover.contact(m)
	}
}

// selectReleases picks the machines to give back: failed ones, such as never came up, silent
// ones, faulty ones and idle ones that are spare. A look at the fleet may have
// taken a while, so each is judged by what it is now.
func (c *Controller) selectReleases(surplus map[string]bool) {
	o := c.shardLeader
	settled := c.now.Sub(o.since) > settleTime
	unresponsive := map[string]bool{}
	for _, id := range c.shardLeader.heartbeats.unresponsiveMachines() {
		unresponsive[id] = true
	}
	cheapest := c.knowledge.cheapestCPUCost()
	for _, m := range o.machinesByID {
		// One that the leader no longer lists may be gone, or a list was late;
		// only the answer to a return is proof. If one was asked for already, the
		// wish may have been lost, or answered to another owner.
		if id := m.id; o.fleet.view.rentals[id] == nil && !m.isEmpty() && (unresponsive[id] || m.releasing || c.knowledge.released[id]) && settled && len(o.fleet.machinesToRelease) < maxReleasePerRequest {
			c.knowledge.markReleased(id)
			m.releasing = true
			o.fleet.requestRelease(id)
		}
	}
	for _, id := range sortedKeys(o.fleet.view.rentals) {
		r := o.fleet.view.rentals[id]
		m := o.machines[id]
		if r.releasing && c.leader == nil {
			// Asked for already; the wish may have been lost.
			o.fleet.requestRelease(id)
		}
		if r.releasing {
			continue
		}
		reason := ""
		switch {
		case r.status == "failed":
			reason = "failed"
		case m == nil:
		case !m.heard && settled && c.knowledge.isGivenUp(r) && m.isEmpty() && c.now.Sub(m.ownedSince) > min(settleTime, m.ownedSince.Sub(o.since)):
			// Not one that has just come from another owner, however long ago it was
			// rented. What came with the takeover is settled with it.
			reason = "never came up"
		case unresponsive[id] && settled:
			reason = "silent"
		case m.faulty && m.isEmpty():
			reason = "faulty"
		case settled && surplus[id] && c.shardLeader.fleet.isIdleExpired(m, cheapest):
			reason = "idle"
		}
		if reason == "" || len(o.fleet.machinesToRelease) >= maxReleasePerRequest {
			continue
		}
		c.info("return", "machine", id, "why", reason)
		if reason == "never came up" && !c.knowledge.released[id] {
			// Once, however often the leader is asked.
			c.knowledge.provisioningOf(r.machineKind).RecordGivenUp(c.now)
			o.fleet.recordNeverReady(c.knowledge.costPerHour(r.machineKind) * c.now.Sub(r.rentedAt).Hours())
			c.info("machines that never served", "count", o.fleet.neverReadyCount, "cost", o.fleet.neverReadyCost)
		}
		o.fleet.requestRelease(id)
		// Never given work again, whatever becomes of the return.
		c.knowledge.markReleased(id)
		if m != nil {
			m.releasing = true
		}
	}
}

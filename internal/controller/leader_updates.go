package controller

import (
	"slices"
	"time"

	"github.com/micahill/micahill/internal/message"
	"github.com/micahill/micahill/internal/sharding"
)

const (
	// maxRentalsPerUpdate bounds the machines in one update.
	maxRentalsPerUpdate = 3000
	// publishTurns is the number of updates, one per second, over which a shard leader is sent
	// all of its machines. A machine whose status has changed is in every update until the shard
	// leader has acknowledged it.
	publishTurns = 5
)

// fleetView is what a shard leader knows of its machines from the updates of the leader.
type fleetView struct {
	// leaderHost, incarnation and seq identify the last update, which arrived at receivedAt.
	leaderHost  string
	incarnation string
	seq         uint64
	receivedAt  time.Time

	// rentals holds the published machines by ID.
	rentals map[string]*rental
	// blockedUntil is the time until which the cloud refuses machines of a kind.
	blockedUntil map[machineKind]time.Time
	// pendingRentals counts the machines in bookings that have no answer yet. It is known only
	// to the shard leader on the controller that leads the cluster.
	pendingRentals map[machineKind]int
	// surplus counts the machines that other shard leaders can spare.
	surplus map[machineKind]int
}

// publishRentals sends each other shard leader an update: its machines, the kinds that the cloud
// refuses, the machines that other shard leaders can spare, and the hosts and the team that it
// is asked to give up.
func (l *leader) publishRentals() {
	othersNeeds, evacuations := l.assignEvacuations()
	updates := map[string]*message.PeerUpdate{}
	for _, x := range l.controller.membership.shardMap.Shards() {
		if x.Host != l.settings.Host && slices.Contains(l.settings.Peers, x.Host) && updates[x.Host] == nil {
			updates[x.Host] = &message.PeerUpdate{From: l.settings.Host, IsLeaderUpdate: true}
		}
	}
	if len(updates) == 0 {
		return
	}
	l.seq++
	l.publishTurn = (l.publishTurn + 1) % publishTurns
	for i, id := range sortedKeys(l.rentals) {
		host := l.assignedHost(id)
		if update := updates[host]; update != nil {
			l.addRentalUpdate(update, host, l.rentals[id], i%publishTurns == l.publishTurn)
		}
	}
	var blocked []message.CapacityRequest
	for _, k := range sortedKinds(l.blockedUntil) {
		if l.blockedUntil[k].After(l.now) {
			blocked = append(blocked, message.CapacityRequest{MachineType: k.machineType, Zone: k.zone, Spot: k.spot, Count: 1})
		}
	}
	others := l.requestsOfOthers(append(sortedKeys(updates), l.settings.Host))
	if s := l.controller.shardLeader; s != nil && s.ready {
		s.transfers.receiveRequests(others[l.settings.Host])
	}
	request, hasRequest := l.sharding.planner.PendingMove()
	for _, host := range sortedKeys(updates) {
		update := updates[host]
		update.Seq, update.Blocked, update.SurplusElsewhere = l.seq, blocked, l.surplusExcept(host)
		update.OthersNeeds, update.EvacuationRequests = othersNeeds[host], evacuations[host]
		update.OthersTransferRequests = others[host]
		if hasRequest && request.From == host {
			update.TeamRelease = []sharding.MoveRequest{request}
		}
		l.emit(message.SendPeerUpdate{To: host, Update: *update})
	}
}

// addRentalUpdate adds a machine to the update for a host if itsTurn is set or the host has not
// acknowledged the machine's current status.
func (l *leader) addRentalUpdate(update *message.PeerUpdate, host string, r *rental, itsTurn bool) {
	status := r.status
	switch {
	case !r.releasedAt.IsZero():
		status = "returned"
	case status == "running" && l.ownerOf(r.id) != host:
		status = statusComing
	}
	if r.publishedTo != host || r.publishedStatus != status {
		r.publishedTo, r.publishedStatus, r.publishedSeq = host, status, l.seq
	}
	if len(update.RentalUpdates) >= maxRentalsPerUpdate {
		// The machine goes into the next update, and into each further one until the host
		// acknowledges it.
		r.publishedSeq = l.seq + 1
		return
	}
	if r.publishedSeq > l.ackedSeq[host] || itsTurn {
		update.RentalUpdates = append(update.RentalUpdates, message.RentalUpdate{ID: r.id, Addr: r.addr, MachineType: r.machineType, Zone: r.zone, Spot: r.spot, Status: status, Age: l.now.Sub(r.rentedAt)})
	}
}

// receiveLeaderUpdate applies the leader's update to this shard leader. A confirmed release, or
// the status "failed" from the cloud, proves that a machine is gone.
func (c *Controller) receiveLeaderUpdate(update message.PeerUpdate) {
	s := c.shardLeader
	v := &fleetView{rentals: map[string]*rental{}}
	switch old := s.fleet.view; {
	case old == nil || old.leaderHost != update.From || old.incarnation != update.Incarnation:
	case old.seq > update.Seq && c.now.Sub(old.receivedAt) < updateTTL:
		return
	default:
		// An update contains only some of the machines. A machine that none of the recent
		// updates contains is gone.
		v.rentals = old.rentals
		for id, r := range v.rentals {
			if _, mine := c.membership.ownedMachine(id); !mine && r.status != "booting" && r.status != statusComing || c.now.Sub(r.publishedAt) > 2*publishTurns*leaderPeriod+updateTTL {
				delete(v.rentals, id)
			}
		}
	}
	v.leaderHost, v.incarnation = update.From, update.Incarnation
	v.seq, v.receivedAt, v.blockedUntil, v.pendingRentals = update.Seq, c.now, map[machineKind]time.Time{}, map[machineKind]int{}
	for _, x := range update.RentalUpdates {
		c.applyRentalUpdate(v, x)
	}
	v.surplus = map[machineKind]int{}
	for _, w := range update.SurplusElsewhere {
		v.surplus[machineKind{w.MachineType, w.Zone, w.Spot}] += w.Count
	}
	for _, w := range update.Blocked {
		v.blockedUntil[machineKind{w.MachineType, w.Zone, w.Spot}] = c.now.Add(updateTTL)
	}
	s.fleet.setView(v)
	c.shardLeader.migration.receiveHostNeeds(update.OthersNeeds, update.EvacuationRequests)
	s.transfers.receiveRequests(update.OthersTransferRequests)
	for _, a := range update.TeamRelease {
		s.receiveTeamRelease(a)
	}
}

// applyRentalUpdate stores one machine of the leader's update in the view v, and adopts or drops
// the machine.
func (c *Controller) applyRentalUpdate(v *fleetView, x message.RentalUpdate) {
	// An update informs about machines and never establishes ownership. A booting machine is
	// included in planning before the shard map names it, and is used only afterwards.
	if _, mine := c.membership.ownedMachine(x.ID); !mine && x.Status != "booting" && x.Status != statusComing {
		return
	}
	r := &rental{publishedAt: c.now, id: x.ID, addr: x.Addr, machineKind: machineKind{x.MachineType, x.Zone, x.Spot}, rentedAt: c.now.Add(-x.Age), status: x.Status, releasing: c.knowledge.released[x.ID]}
	v.rentals[x.ID] = r
	s := c.shardLeader
	if !s.ready {
		return
	}
	if m := s.machines[x.ID]; m != nil && (x.Status == "returned" || x.Status == "failed") {
		c.dropMachine(m, x.Status)
	}
	if x.Status == "returned" {
		// If the machine stayed in the view, its release would be requested as long as the
		// leader publishes it, and the leader would publish it, in place of other machines, as
		// long as its release is requested.
		delete(v.rentals, x.ID)
		return
	}
	if !c.knowledge.released[x.ID] {
		c.adopt(r)
	}
}

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
	// publishTurns is in how many updates, one a second, a shard leader is sent all of its
	// machines. What has changed is in each update until it was acknowledged.
	publishTurns = 5
)

// fleetView is what a shard leader knows of its machines from the leader.
type fleetView struct {
	// leaderHost, incarnation and seq identify the update, received at receivedAt.
	leaderHost  string
	incarnation string
	seq         uint64
	receivedAt  time.Time

	rentals map[string]*rental
	// blockedUntil is until when no machine of a kind is to be had.
	blockedUntil map[machineKind]time.Time
	// pendingRentals are machines whose booking has no answer yet. Only a shard leader that
	// leads the cluster as well knows them.
	pendingRentals map[machineKind]int
	// surplus is what other shard leaders can spare.
	surplus map[machineKind]int
}

// publishRentals sends each other shard leader an update: its machines, the kinds that the cloud
// refuses, what others can spare, and which hosts and team it is asked to give up.
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

// addRentalUpdate adds a machine to the update for a host, if it is its turn or if the host has not
// acknowledged the machine's present status.
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
		// It goes with the next update, and on until that is acknowledged.
		r.publishedSeq = l.seq + 1
		return
	}
	if r.publishedSeq > l.ackedSeq[host] || itsTurn {
		update.RentalUpdates = append(update.RentalUpdates, message.RentalUpdate{ID: r.id, Addr: r.addr, MachineType: r.machineType, Zone: r.zone, Spot: r.spot, Status: status, Age: l.now.Sub(r.rentedAt)})
	}
}

// receiveLeaderUpdate takes in what the leader publishes of this shard leader's machines. That a
// release was confirmed, or that the cloud calls a machine failed, proves that the machine is gone.
func (c *Controller) receiveLeaderUpdate(update message.PeerUpdate) {
	s := c.shardLeader
	v := &fleetView{rentals: map[string]*rental{}}
	switch old := s.fleet.view; {
	case old == nil || old.leaderHost != update.From || old.incarnation != update.Incarnation:
	case old.seq > update.Seq && c.now.Sub(old.receivedAt) < updateTTL:
		return
	default:
		// An update has only some of the machines. One that none has any more is gone.
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

// applyRentalUpdate takes one machine of the leader's update into the view v, and adopts or drops it.
func (c *Controller) applyRentalUpdate(v *fleetView, x message.RentalUpdate) {
	// An update says where to look, never what is owned: a booting machine is counted on before
	// the shard map names it, and used only then.
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
		// Kept in the view, its release would be requested as long as it is published, and it
		// would be published as long as its release is requested, in place of others.
		delete(v.rentals, x.ID)
		return
	}
	if !c.knowledge.released[x.ID] {
		c.adopt(r)
	}
}

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
func (leader *leader) publishRentals() {
	othersNeeds, evacuations := leader.assignEvacuations()
	updates := map[string]*message.PeerUpdate{}
	for _, shard := range leader.controller.membership.shardMap.Shards() {
		if shard.Host != leader.settings.Host && slices.Contains(leader.settings.Peers, shard.Host) && updates[shard.Host] == nil {
			updates[shard.Host] = &message.PeerUpdate{From: leader.settings.Host, IsLeaderUpdate: true}
		}
	}
	if len(updates) == 0 {
		return
	}
	leader.seq++
	leader.publishTurn = (leader.publishTurn + 1) % publishTurns
	for i, id := range sortedKeys(leader.rentals) {
		host := leader.assignedHost(id)
		if update := updates[host]; update != nil {
			leader.addRentalUpdate(update, host, leader.rentals[id], i%publishTurns == leader.publishTurn)
		}
	}
	var blocked []message.CapacityRequest
	for _, kind := range sortedKinds(leader.blockedUntil) {
		if leader.blockedUntil[kind].After(leader.now) {
			blocked = append(blocked, message.CapacityRequest{MachineType: kind.machineType, Zone: kind.zone, Spot: kind.spot, Count: 1})
		}
	}
	others := leader.requestsOfOthers(append(sortedKeys(updates), leader.settings.Host))
	if shardLeader := leader.controller.shardLeader; shardLeader != nil && shardLeader.ready {
		shardLeader.transfers.receiveRequests(others[leader.settings.Host])
	}
	request, hasRequest := leader.sharding.planner.PendingMove()
	for _, host := range sortedKeys(updates) {
		update := updates[host]
		update.Seq, update.Blocked, update.SurplusElsewhere = leader.seq, blocked, leader.surplusExcept(host)
		update.OthersNeeds, update.EvacuationRequests = othersNeeds[host], evacuations[host]
		update.OthersTransferRequests = others[host]
		if hasRequest && request.From == host {
			update.TeamRelease = []sharding.MoveRequest{request}
		}
		leader.emit(message.SendPeerUpdate{To: host, Update: *update})
	}
}

// addRentalUpdate adds a machine to the update for a host if itsTurn is set or the host has not
// acknowledged the machine's current status.
func (leader *leader) addRentalUpdate(update *message.PeerUpdate, host string, rental *rental, itsTurn bool) {
	status := rental.status
	switch {
	case !rental.releasedAt.IsZero():
		status = "returned"
	case status == "running" && leader.ownerOf(rental.id) != host:
		status = statusComing
	}
	if rental.publishedTo != host || rental.publishedStatus != status {
		rental.publishedTo, rental.publishedStatus, rental.publishedSeq = host, status, leader.seq
	}
	if len(update.RentalUpdates) >= maxRentalsPerUpdate {
		// The machine goes into the next update, and into each further one until the host
		// acknowledges it.
		rental.publishedSeq = leader.seq + 1
		return
	}
	if rental.publishedSeq > leader.ackedSeq[host] || itsTurn {
		update.RentalUpdates = append(update.RentalUpdates, message.RentalUpdate{ID: rental.id, Addr: rental.addr, MachineType: rental.machineType, Zone: rental.zone, Spot: rental.spot, Status: status, Age: leader.now.Sub(rental.rentedAt)})
	}
}

// receiveLeaderUpdate applies the leader's update to this shard leader. A confirmed release, or
// the status "failed" from the cloud, proves that a machine is gone.
func (controller *Controller) receiveLeaderUpdate(update message.PeerUpdate) {
	shardLeader := controller.shardLeader
	view := &fleetView{rentals: map[string]*rental{}}
	switch old := shardLeader.fleet.view; {
	case old == nil || old.leaderHost != update.From || old.incarnation != update.Incarnation:
	case old.seq > update.Seq && controller.now.Sub(old.receivedAt) < updateTTL:
		return
	default:
		// An update contains only some of the machines. A machine that none of the recent
		// updates contains is gone.
		view.rentals = old.rentals
		for id, rental := range view.rentals {
			if _, mine := controller.membership.ownedMachine(id); !mine && rental.status != "booting" && rental.status != statusComing || controller.now.Sub(rental.publishedAt) > 2*publishTurns*leaderPeriod+updateTTL {
				delete(view.rentals, id)
			}
		}
	}
	view.leaderHost, view.incarnation = update.From, update.Incarnation
	view.seq, view.receivedAt, view.blockedUntil, view.pendingRentals = update.Seq, controller.now, map[machineKind]time.Time{}, map[machineKind]int{}
	for _, rentalUpdate := range update.RentalUpdates {
		controller.applyRentalUpdate(view, rentalUpdate)
	}
	view.surplus = map[machineKind]int{}
	for _, capacity := range update.SurplusElsewhere {
		view.surplus[machineKind{capacity.MachineType, capacity.Zone, capacity.Spot}] += capacity.Count
	}
	for _, capacity := range update.Blocked {
		view.blockedUntil[machineKind{capacity.MachineType, capacity.Zone, capacity.Spot}] = controller.now.Add(updateTTL)
	}
	shardLeader.fleet.setView(view)
	controller.shardLeader.migration.receiveHostNeeds(update.OthersNeeds, update.EvacuationRequests)
	shardLeader.transfers.receiveRequests(update.OthersTransferRequests)
	for _, moveRequest := range update.TeamRelease {
		shardLeader.receiveTeamRelease(moveRequest)
	}
}

// applyRentalUpdate stores one machine of the leader's update in the view, and adopts or drops
// the machine.
func (controller *Controller) applyRentalUpdate(view *fleetView, update message.RentalUpdate) {
	// An update informs about machines and never establishes ownership. A booting machine is
	// included in planning before the shard map names it, and is used only afterwards.
	if _, mine := controller.membership.ownedMachine(update.ID); !mine && update.Status != "booting" && update.Status != statusComing {
		return
	}
	rental := &rental{publishedAt: controller.now, id: update.ID, addr: update.Addr, machineKind: machineKind{update.MachineType, update.Zone, update.Spot}, rentedAt: controller.now.Add(-update.Age), status: update.Status, releasing: controller.knowledge.released[update.ID]}
	view.rentals[update.ID] = rental
	shardLeader := controller.shardLeader
	if !shardLeader.ready {
		return
	}
	if machine := shardLeader.machines[update.ID]; machine != nil && (update.Status == "returned" || update.Status == "failed") {
		controller.dropMachine(machine, update.Status)
	}
	if update.Status == "returned" {
		// If the machine stayed in the view, its release would be requested as long as the
		// leader publishes it, and the leader would publish it, in place of other machines, as
		// long as its release is requested.
		delete(view.rentals, update.ID)
		return
	}
	if !controller.knowledge.released[update.ID] {
		controller.adopt(rental)
	}
}

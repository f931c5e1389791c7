package controller

import (
	"slices"
	"time"

	"github.com/micahill/micahill/internal/message"
	"github.com/micahill/micahill/internal/sharding"
)

// fleetView is what an owner knows of its machines from the leader.
type fleetView struct {
	leaderHost     string
	incarnation    string
	seq            uint64
	receivedAt     time.Time
	rentals        map[string]*rental
	blockedUntil   map[machineKind]time.Time
	pendingRentals map[machineKind]int
	// surplus is what other owners have to spare.
	surplus map[machineKind]int
}

// maxRentalsPerUpdate bounds the machines in one news.
const maxRentalsPerUpdate = 3000

// publishTurns is in how many turns, a second each, an owner is told of all its machines;
// of what has changed it is told at once, and until it has shown that it knows.
const publishTurns = 5

// publishRentals tells the other owners of their machines.
func (l *leader) publishRentals() {
	othersNeeds, empty := l.assignEvacuations()
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
		r := l.rentals[id]
		host := l.assignedHost(id)
		m := updates[host]
		if m == nil {
			continue
		}
		status := r.status
		switch {
		case !r.releasedAt.IsZero():
			status = "returned"
		case status == "running" && l.ownerOf(id) != host:
			status = statusComing
		}
		if r.publishedTo != host || r.publishedStatus != status {
			r.publishedTo, r.publishedStatus, r.publishedSeq = host, status, l.seq
		}
		if len(m.RentalUpdates) >= maxRentalsPerUpdate {
			// It goes with the next news, until it is known to be known.
			r.publishedSeq = l.seq + 1
			continue
		}
		if r.publishedSeq > l.ackedSeq[host] || i%publishTurns == l.publishTurn {
			m.RentalUpdates = append(m.RentalUpdates, message.RentalUpdate{ID: r.id, Addr: r.addr, MachineType: r.machineType, Zone: r.zone, Spot: r.spot, Status: status, Age: l.now.Sub(r.rentedAt)})
		}
	}
	var blocked []message.CapacityRequest
	for _, k := range sortedKinds(l.blockedUntil) {
		if l.blockedUntil[k].After(l.now) {
			blocked = append(blocked, message.CapacityRequest{MachineType: k.machineType, Zone: k.zone, Spot: k.spot, Count: 1})
		}
	}
	request, hasRequest := l.sharding.planner.PendingMove()
	for _, host := range sortedKeys(updates) {
		m := updates[host]
		m.Seq, m.Blocked, m.SurplusElsewhere = l.seq, blocked, l.surplusExcept(host)
		m.OthersNeeds, m.EvacuationRequests = othersNeeds[host], empty[host]
		if hasRequest && request.From == host {
			m.TeamRelease = []sharding.MoveRequest{request}
		}
		l.emit(message.SendPeerUpdate{To: host, Update: *m})
	}
}

// receiveLeaderUpdate takes in what the leader tells of this owner's machines. Its word
// that a return was answered, or that the cloud calls a machine failed, is the
// proof that the machine is gone.
func (c *Controller) receiveLeaderUpdate(update message.PeerUpdate) {
	o := c.shardLeader
	v := &fleetView{rentals: map[string]*rental{}}
	switch old := o.fleet.view; {
	case old == nil || old.leaderHost != update.From || old.incarnation != update.Incarnation:
	case old.seq > update.Seq && c.now.Sub(old.receivedAt) < updateTTL:
		return
	default:
		// It tells of some at a time. What it names no more is gone.
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
		// News says where to look, never what is owned: one that boots is counted on
		// before any record names it, and used only then.
		if _, mine := c.membership.ownedMachine(x.ID); !mine && x.Status != "booting" && x.Status != statusComing {
			continue
		}
		r := &rental{publishedAt: c.now, id: x.ID, addr: x.Addr, machineKind: machineKind{x.MachineType, x.Zone, x.Spot}, rentedAt: c.now.Add(-x.Age), status: x.Status, releasing: c.knowledge.released[x.ID]}
		v.rentals[x.ID] = r
		if !o.ready {
			continue
		}
		if m := o.machines[x.ID]; m != nil && (x.Status == "returned" || x.Status == "failed") {
			c.dropMachine(m, x.Status)
		}
		if x.Status == "returned" {
			// Over: kept, it would be asked for again as long as it is told of, and told
			// of as long as it is asked for, and leave no room for others to be returned.
			delete(v.rentals, x.ID)
			continue
		}
		if !c.knowledge.released[x.ID] {
			c.adopt(r)
		}
	}
	v.surplus = map[machineKind]int{}
	for _, w := range update.SurplusElsewhere {
		v.surplus[machineKind{w.MachineType, w.Zone, w.Spot}] += w.Count
	}
	for _, w := range update.Blocked {
		v.blockedUntil[machineKind{w.MachineType, w.Zone, w.Spot}] = c.now.Add(updateTTL)
	}
	o.fleet.setView(v)
	c.shardLeader.migration.receiveHostNeeds(update.OthersNeeds, update.EvacuationRequests)
	for _, a := range update.TeamRelease {
		o.teamRelease, o.teamReleaseAt = a, c.now
	}
}

package controller

import (
	"slices"
	"time"

	"github.com/micahill/micahill/internal/message"
	"github.com/micahill/micahill/internal/model"
	"github.com/micahill/micahill/internal/record"
)

// A controller that reaches the state service but no worker is of no use as an
// owner: it keeps its grant, so nobody takes its share, and the workers' leases
// run out while they ask the others in vain. The others tell it, by a record that
// its watch brings, that its machines keep coming to them; together with its own
// silence that is proof, and it gives its grant up. Where nobody hears the
// workers nobody says so, and everything stays as it is.
//
// The same holds for one whose answers are lost on the way: it hears the workers in
// their turns, and they hear the others only. When the others say that its machines
// come back, it asks those that it has just heard; if none answers, it is mute.

const (
	// minReroutedMachines is how many machines must come back before anybody says so. One
	// may have lost its way by itself.
	minReroutedMachines = 2
	// rerouteRecordInterval separates two such records, and rerouteRecordTTL is how long one counts.
	rerouteRecordInterval = 3 * time.Second
	rerouteRecordTTL      = 10 * time.Second
	// partitionStandDown is how long a controller that gave up stands back, unless a report
	// comes before; it goes on serving users.
	partitionStandDown = 2 * time.Minute
	// partitionLeadDelay is how long it leaves the lead to others when there is none. If all
	// have given up, one of them has to lead after all.
	partitionLeadDelay = 3 * time.Second
)

// receivesNothing says that this controller has lately given up for hearing no worker.
func (s *membership) receivesNothing(now time.Time) bool { return now.Before(s.receivesNothingUntil) }

// heartbeatReceived notes that a report has reached this controller at all.
func heartbeatReceived(n *Controller, r *model.Heartbeat) {
	n.selfMonitor.HeartbeatReceived(n.now)
	switch {
	case !n.membership.receivesNothing(n.now):
	case !n.membership.unheard:
		endStandDown(n)
	case n.now.Sub(n.reachabilityRequestedAt) > probeInterval:
		// That it hears the worker is nothing new.
		n.reachabilityRequestedAt = n.now
		n.requestWorker(message.WorkerRequest{Machine: r.Machine, Addr: r.Addr, StatusOnly: true}, func(d message.WorkerResponse) {
			if d.Heartbeat != nil && n.membership.receivesNothing(n.now) {
				endStandDown(n)
			}
		})
	}
}

// pollRecentMachines asks the machines that were last heard whether they hear this owner.
func pollRecentMachines(n *Controller) {
	var machines []*machine
	for _, m := range n.shardLeader.machinesByID {
		if m.heard && !m.releasing {
			machines = append(machines, m)
		}
	}
	slices.SortStableFunc(machines, func(a, b *machine) int { return b.lastHeard.Compare(a.lastHeard) })
	for _, m := range machines[:min(len(machines), maxRecentPolls)] {
		n.contact(m)
	}
}

// maxRecentPolls is how many machines are asked when others say that they come back.
const maxRecentPolls = 4

// endStandDown lets the controller be chosen again.
func endStandDown(n *Controller) {
	n.membership.receivesNothingUntil, n.membership.unheard = time.Time{}, false
	if n.membership.leaseID != 0 && n.membership.loaded {
		n.register()
	}
}

// noteRerouted notes that a machine was sent to its steward, and tells that steward
// when its machines keep coming here. One that does not hear where it is sent says
// nothing of its steward, so it is asked.
func noteRerouted(n *Controller, r *model.Heartbeat, ownerHost string) {
	s := &n.membership
	ownerRecord, ok := s.controllers[ownerHost]
	if !ok || ownerHost == n.settings.Host {
		return
	}
	if n.reroutedMachines.Rerouted(n.now, r.Machine, ownerHost) && n.reroutedPollsInFlight < maxReroutedPolls {
		n.reroutedPollsInFlight++
		id := r.Machine
		n.requestWorker(message.WorkerRequest{Machine: id, Addr: r.Addr, StatusOnly: true}, func(d message.WorkerResponse) {
			n.reroutedPollsInFlight--
			if d.Heartbeat != nil && d.Heartbeat.Machine == id {
				n.reroutedMachines.ProbeAnswered(n.now, id)
				publishRerouted(n, ownerHost, ownerRecord.Incarnation)
			}
		})
	}
	publishRerouted(n, ownerHost, ownerRecord.Incarnation)
	queueReroutedHeartbeat(n, r, ownerHost)
}

const (
	reroutedHeartbeatInterval = 500 * time.Millisecond
)

// queueReroutedHeartbeat tells a steward that a report of its machine came here: it may not have heard
// it for long, and take one that only doesn't hear the answers for one that is gone.
func queueReroutedHeartbeat(n *Controller, r *model.Heartbeat, ownerHost string) {
	if len(n.reroutedHeartbeats) == 0 {
		n.after(reroutedHeartbeatInterval, func() {
			for _, to := range sortedKeys(n.reroutedHeartbeats) {
				n.emit(message.SendPeerUpdate{To: to, Update: message.PeerUpdate{From: n.settings.Host, Rerouted: n.reroutedHeartbeats[to]}})
			}
			n.reroutedHeartbeats = nil
		})
		n.reroutedHeartbeats = map[string][]message.ReroutedHeartbeat{}
	}
	if len(n.reroutedHeartbeats[ownerHost]) < message.MaxReroutedHeartbeats {
		n.reroutedHeartbeats[ownerHost] = append(n.reroutedHeartbeats[ownerHost], message.ReroutedHeartbeat{ID: r.Machine, Epoch: r.Epoch, Incarnation: r.Incarnation, Sequence: r.Sequence})
	}
}

// applyReroutedHeartbeats takes in which machines of this owner reported to another. A report that this
// owner would have taken for a sign of life is one there, too: such a machine lives, and
// likely doesn't hear what is sent to it.
func applyReroutedHeartbeats(n *Controller, heartbeats []message.ReroutedHeartbeat) {
	for _, x := range heartbeats {
		m := n.shardLeader.machines[x.ID]
		r := model.Heartbeat{Epoch: x.Epoch, Incarnation: x.Incarnation, Sequence: x.Sequence}
		if m == nil || !m.heard || x.Epoch < m.epoch || m.supersedes(&r) || (&machine{incarnation: m.rerouted.Incarnation, sequence: m.rerouted.Sequence}).supersedes(&r) {
			continue
		}
		m.reroutedAt, m.rerouted = n.now, x
		m.reachability.ReportedElsewhere(n.now)
		probeIfUnreachable(n, m)
	}
}

// maxReroutedPolls bounds the questions under way to machines that came back.
const maxReroutedPolls = 8

// publishRerouted tells a steward, in its present life, that its machines come here.
func publishRerouted(n *Controller, ownerHost, ownerIncarnation string) {
	s := &n.membership
	if n.now.Sub(n.reroutedPublishedAt) < rerouteRecordInterval || s.leaseID == 0 || n.now.After(s.leaseValidUntil) {
		return
	}
	count := n.reroutedMachines.CountReappeared(n.now, ownerHost)
	if count < minReroutedMachines {
		return
	}
	n.reroutedPublishedAt = n.now
	n.info("machines come back from their steward", "steward", ownerHost, "machines", count)
	rec := record.Encode(record.ReroutedMachines{Controller: ownerHost, Incarnation: ownerIncarnation, Machines: count})
	n.requestStore(message.StoreRequest{Kind: message.OpTxn, Priority: message.PriorityStart, Writes: []message.Write{{Key: record.ReroutePrefix + n.settings.Host, Value: rec, LeaseID: s.leaseID}}}, func(message.StoreResponse) {})
}

// applyRerouteRecord takes in what another controller says of this one's machines.
func applyRerouteRecord(n *Controller, it message.KeyValue) {
	var r record.ReroutedMachines
	if !it.Deleted && record.Decode(it.Value, &r) && r.Controller == n.settings.Host && r.Incarnation == n.incarnation() {
		if n.now.Sub(n.membership.reroutesReportedAt) > rerouteRecordTTL {
			// What was asked before says nothing of now.
			n.selfMonitor.RequestDelivered()
		}
		n.membership.reroutesReportedAt = n.now
	}
}

// checkPartition gives the share up when this owner hears nothing and others do.
func checkPartition(n *Controller) {
	o, s := n.shardLeader, &n.membership
	if s.leaseID == 0 || n.now.Sub(s.reroutesReportedAt) > rerouteRecordTTL {
		return
	}
	reporting := 0
	for _, m := range o.machinesByID {
		if m.expectsHeartbeats() && !m.releasing {
			reporting++
		}
	}
	receivesNothing := n.selfMonitor.ReceivesNothing(n.now, o.readyAt, reporting, n.maxHeartbeatInterval())
	if !receivesNothing {
		pollRecentMachines(n)
	}
	if !receivesNothing && (reporting < 2 || !n.selfMonitor.Unheard(n.now)) {
		return
	}
	n.info("workers and this controller don't hear each other, and others do: the share is given up", "machines", reporting, "reports come", !receivesNothing)
	grant := s.leaseID
	s.reroutesReportedAt, s.receivesNothingUntil, s.unheard = time.Time{}, n.now.Add(partitionStandDown), !receivesNothing
	n.after(partitionStandDown, func() {
		if !s.receivesNothing(n.now) {
			endStandDown(n)
		}
	})
	n.relinquishRoles("hears no worker")
	// Ended, the grant takes the lead and the node's record with it at once. A new
	// one is asked for only then: this node is not to look alive in between.
	n.requestStore(message.StoreRequest{Kind: message.OpLeaseRevoke, Priority: message.PriorityMembership, LeaseID: grant}, func(message.StoreResponse) {
		if s.leaseID == 0 {
			n.createLease()
		}
	})
}

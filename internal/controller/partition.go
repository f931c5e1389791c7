package controller

import (
	"slices"
	"time"

	"github.com/micahill/micahill/internal/message"
	"github.com/micahill/micahill/internal/model"
	"github.com/micahill/micahill/internal/record"
	"github.com/micahill/micahill/internal/selfmonitor"
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
func (m *membership) receivesNothing(now time.Time) bool { return now.Before(m.receivesNothingUntil) }

// heartbeatReceived notes that a report has reached this controller at all.
func (p *partitionDetector) heartbeatReceived(r *model.Heartbeat) {
	p.monitor.HeartbeatReceived(p.now)
	switch {
	case !p.controller.membership.receivesNothing(p.now):
	case !p.controller.membership.unheard:
		p.endStandDown()
	case p.now.Sub(p.reachabilityRequestedAt) > probeInterval:
		// That it hears the worker is nothing new.
		p.reachabilityRequestedAt = p.now
		p.controller.requests.toWorker(message.WorkerRequest{Machine: r.Machine, Addr: r.Addr, StatusOnly: true}, func(d message.WorkerResponse) {
			if d.Heartbeat != nil && p.controller.membership.receivesNothing(p.now) {
				p.endStandDown()
			}
		})
	}
}

// pollRecentMachines asks the machines that were last heard whether they hear this owner.
func (p *partitionDetector) pollRecentMachines() {
	var machines []*machine
	for _, m := range p.controller.shardLeader.machinesByID {
		if m.heard && !m.releasing {
			machines = append(machines, m)
		}
	}
	slices.SortStableFunc(machines, func(a, b *machine) int { return b.lastHeard.Compare(a.lastHeard) })
	for _, m := range machines[:min(len(machines), maxRecentPolls)] {
		p.controller.shardLeader.failover.contact(m)
	}
}

// maxRecentPolls is how many machines are asked when others say that they come back.
const maxRecentPolls = 4

// endStandDown lets the controller be chosen again.
func (p *partitionDetector) endStandDown() {
	p.controller.membership.receivesNothingUntil, p.controller.membership.unheard = time.Time{}, false
	if p.controller.membership.leaseID != 0 && p.controller.membership.loaded {
		p.controller.membership.register()
	}
}

// noteRerouted notes that a machine was sent to its steward, and tells that steward
// when its machines keep coming here. One that does not hear where it is sent says
// nothing of its steward, so it is asked.
func (p *partitionDetector) noteRerouted(r *model.Heartbeat, ownerHost string) {
	s := &p.controller.membership
	ownerRecord, ok := s.controllers[ownerHost]
	if !ok || ownerHost == p.settings.Host {
		return
	}
	if p.reroutedMachines.Rerouted(p.now, r.Machine, ownerHost) && p.reroutedPollsInFlight < maxReroutedPolls {
		p.reroutedPollsInFlight++
		id := r.Machine
		p.controller.requests.toWorker(message.WorkerRequest{Machine: id, Addr: r.Addr, StatusOnly: true}, func(d message.WorkerResponse) {
			p.reroutedPollsInFlight--
			if d.Heartbeat != nil && d.Heartbeat.Machine == id {
				p.reroutedMachines.ProbeAnswered(p.now, id)
				p.publishRerouted(ownerHost, ownerRecord.Incarnation)
			}
		})
	}
	p.publishRerouted(ownerHost, ownerRecord.Incarnation)
	p.queueReroutedHeartbeat(r, ownerHost)
}

const (
	reroutedHeartbeatInterval = 500 * time.Millisecond
)

// queueReroutedHeartbeat tells a steward that a report of its machine came here: it may not have heard
// it for long, and take one that only doesn't hear the answers for one that is gone.
func (p *partitionDetector) queueReroutedHeartbeat(r *model.Heartbeat, ownerHost string) {
	if len(p.reroutedHeartbeats) == 0 {
		p.after(reroutedHeartbeatInterval, func() {
			for _, to := range sortedKeys(p.reroutedHeartbeats) {
				p.emit(message.SendPeerUpdate{To: to, Update: message.PeerUpdate{From: p.settings.Host, Rerouted: p.reroutedHeartbeats[to]}})
			}
			p.reroutedHeartbeats = nil
		})
		p.reroutedHeartbeats = map[string][]message.ReroutedHeartbeat{}
	}
	if len(p.reroutedHeartbeats[ownerHost]) < message.MaxReroutedHeartbeats {
		p.reroutedHeartbeats[ownerHost] = append(p.reroutedHeartbeats[ownerHost], message.ReroutedHeartbeat{ID: r.Machine, Epoch: r.Epoch, Incarnation: r.Incarnation, Sequence: r.Sequence})
	}
}

// applyReroutedHeartbeats takes in which machines of this owner reported to another. A report that this
// owner would have taken for a sign of life is one there, too: such a machine lives, and
// likely doesn't hear what is sent to it.
func (p *partitionDetector) applyReroutedHeartbeats(heartbeats []message.ReroutedHeartbeat) {
	for _, x := range heartbeats {
		m := p.controller.shardLeader.machines[x.ID]
		r := model.Heartbeat{Epoch: x.Epoch, Incarnation: x.Incarnation, Sequence: x.Sequence}
		if m == nil || !m.heard || x.Epoch < m.epoch || m.supersedes(&r) || (&machine{incarnation: m.rerouted.Incarnation, sequence: m.rerouted.Sequence}).supersedes(&r) {
			continue
		}
		m.reroutedAt, m.rerouted = p.now, x
		m.reachability.ReportedElsewhere(p.now)
		p.controller.shardLeader.heartbeats.probeIfUnreachable(m)
	}
}

// maxReroutedPolls bounds the questions under way to machines that came back.
const maxReroutedPolls = 8

// publishRerouted tells a steward, in its present life, that its machines come here.
func (p *partitionDetector) publishRerouted(ownerHost, ownerIncarnation string) {
	s := &p.controller.membership
	if p.now.Sub(p.reroutedPublishedAt) < rerouteRecordInterval || s.leaseID == 0 || p.now.After(s.leaseValidUntil) {
		return
	}
	count := p.reroutedMachines.CountReappeared(p.now, ownerHost)
	if count < minReroutedMachines {
		return
	}
	p.reroutedPublishedAt = p.now
	p.info("machines come back from their steward", "steward", ownerHost, "machines", count)
	rec := record.Encode(record.ReroutedMachines{Controller: ownerHost, Incarnation: ownerIncarnation, Machines: count})
	p.controller.requests.toStore(message.StoreRequest{Kind: message.OpTxn, Priority: message.PriorityStart, Writes: []message.Write{{Key: record.ReroutePrefix + p.settings.Host, Value: rec, LeaseID: s.leaseID}}}, func(message.StoreResponse) {})
}

// applyRerouteRecord takes in what another controller says of this one's machines.
func (p *partitionDetector) applyRerouteRecord(it message.KeyValue) {
	var r record.ReroutedMachines
	if !it.Deleted && record.Decode(it.Value, &r) && r.Controller == p.settings.Host && r.Incarnation == p.incarnation() {
		if p.now.Sub(p.controller.membership.reroutesReportedAt) > rerouteRecordTTL {
			// What was asked before says nothing of now.
			p.monitor.RequestDelivered()
		}
		p.controller.membership.reroutesReportedAt = p.now
	}
}

// checkPartition gives the share up when this owner hears nothing and others do.
func (p *partitionDetector) checkPartition() {
	o, s := p.controller.shardLeader, &p.controller.membership
	if s.leaseID == 0 || p.now.Sub(s.reroutesReportedAt) > rerouteRecordTTL {
		return
	}
	reporting := 0
	for _, m := range o.machinesByID {
		if m.expectsHeartbeats() && !m.releasing {
			reporting++
		}
	}
	receivesNothing := p.monitor.ReceivesNothing(p.now, o.readyAt, reporting, p.maxHeartbeatInterval())
	if !receivesNothing {
		p.pollRecentMachines()
	}
	if !receivesNothing && (reporting < 2 || !p.monitor.Unheard(p.now)) {
		return
	}
	p.info("workers and this controller don't hear each other, and others do: the share is given up", "machines", reporting, "reports come", !receivesNothing)
	grant := s.leaseID
	s.reroutesReportedAt, s.receivesNothingUntil, s.unheard = time.Time{}, p.now.Add(partitionStandDown), !receivesNothing
	p.after(partitionStandDown, func() {
		if !s.receivesNothing(p.now) {
			p.endStandDown()
		}
	})
	p.controller.membership.relinquishRoles("hears no worker")
	// Ended, the grant takes the lead and the node's record with it at once. A new
	// one is asked for only then: this node is not to look alive in between.
	p.controller.requests.toStore(message.StoreRequest{Kind: message.OpLeaseRevoke, Priority: message.PriorityMembership, LeaseID: grant}, func(message.StoreResponse) {
		if s.leaseID == 0 {
			p.controller.membership.createLease()
		}
	})
}

// partitionDetector TODO.
type partitionDetector struct {
	component

	// selfMonitor and strays are what this node hears of workers, and which it sent on;
	// see partition.go.
	monitor             selfmonitor.Monitor
	reroutedMachines    selfmonitor.ReroutedMachines
	reroutedPublishedAt time.Time
	// reroutedPollsInFlight counts the questions under way to machines that came back.
	reroutedPollsInFlight int
	// reroutedHeartbeats are reports of others' machines that these are to be told of.
	reroutedHeartbeats map[string][]message.ReroutedHeartbeat
	// reachabilityRequestedAt is when a worker was last asked whether it hears this node again.
	reachabilityRequestedAt time.Time
}

package controller

import (
	"slices"
	"time"

	"github.com/micahill/micahill/internal/message"
	"github.com/micahill/micahill/internal/model"
	"github.com/micahill/micahill/internal/record"
	"github.com/micahill/micahill/internal/selfmonitor"
)

const (
	// minReroutedMachines is how many machines of an owner must report here before this
	// controller publishes it. One may have lost its way by itself.
	minReroutedMachines = 2
	// rerouteRecordInterval separates two such records, and rerouteRecordTTL is how long one
	// counts.
	rerouteRecordInterval = 3 * time.Second
	rerouteRecordTTL      = 10 * time.Second
	// partitionStandDown is how long a controller that gave up its roles stands by, unless a
	// heartbeat comes before; it goes on serving users.
	partitionStandDown = 2 * time.Minute
	// partitionLeadDelay is how long it leaves the lead to others when there is no leader. If
	// all have given up, one of them has to lead after all.
	partitionLeadDelay = 3 * time.Second
)

const (
	// reroutedHeartbeatInterval separates two updates to a machine owner about its
	// rerouted heartbeats.
	reroutedHeartbeatInterval = 500 * time.Millisecond
	// maxRecentPolls is how many machines are polled when others say that they report there.
	maxRecentPolls = 4
	// maxReroutedPolls bounds the polls under way to machines with rerouted heartbeats.
	maxReroutedPolls = 8
)

// partitionDetector finds out whether this controller is cut off from the workers while
// others are not, and has it give up its roles then.
//
// A controller that reaches the store but no worker is of no use as a shard leader: it
// keeps its lease, so nobody takes its shard, and the workers' leases run out while they
// ask the others in vain. The others say so by a record that its watch brings: its
// machines keep reporting to them. Together with its own silence that is proof, and it
// gives up its membership lease. Where nobody hears the workers nobody says so, and
// everything stays as it is.
//
// The same holds for one whose answers are lost: it gets heartbeats, and the workers hear
// only the others. When the others say that its machines report there, it polls those
// that it has just heard; if none answers, it is unheard.
//
// It lives as long as the process: what was seen before a failover counts after it.
// checkPartition and applyReroutedHeartbeats may be called only while this controller
// leads a shard, the other methods at any time.
type partitionDetector struct {
	component

	// monitor is what this controller hears of workers.
	monitor selfmonitor.Monitor
	// reroutesReportedAt is when another controller last said that machines of this one
	// report to it.
	reroutesReportedAt time.Time
	// receivesNothingUntil: this controller has given up its roles and stands by until then.
	// unheard: it heard the workers, and they didn't hear it.
	receivesNothingUntil time.Time
	unheard              bool
	// reachabilityRequestedAt is when a worker was last asked whether it hears this
	// controller again.
	reachabilityRequestedAt time.Time

	// Heartbeats of others' machines that came here.

	// reroutedMachines are the machines that were sent to their owners.
	reroutedMachines    selfmonitor.ReroutedMachines
	reroutedPublishedAt time.Time
	// reroutedPollsInFlight counts the polls of such machines.
	reroutedPollsInFlight int
	// reroutedHeartbeats wait to be published, by the owner's host.
	reroutedHeartbeats map[string][]message.ReroutedHeartbeat
}

// receivesNothing says that this controller stands by since it was cut off from the workers.
func (p *partitionDetector) receivesNothing(now time.Time) bool {
	return now.Before(p.receivesNothingUntil)
}

// stepBegan notes that this controller runs: while it stood still it could hear nothing.
func (p *partitionDetector) stepBegan() { p.monitor.Ran(p.now) }

// requestDelivered notes a sign that something sent to a worker has arrived.
func (p *partitionDetector) requestDelivered() { p.monitor.RequestDelivered() }

// requestUnanswered notes that a worker has not answered a direct request.
func (p *partitionDetector) requestUnanswered() { p.monitor.RequestUnanswered(p.now) }

// heartbeatReceived notes that a heartbeat has reached this controller at all.
func (p *partitionDetector) heartbeatReceived(r *model.Heartbeat) {
	p.monitor.HeartbeatReceived(p.now)
	switch {
	case !p.receivesNothing(p.now):
	case !p.unheard:
		p.endStandDown()
	case p.now.Sub(p.reachabilityRequestedAt) > probeInterval:
		// That this controller hears the worker is nothing new; does the worker hear it?
		p.reachabilityRequestedAt = p.now
		p.controller.requests.toWorker(message.WorkerRequest{Machine: r.Machine, Addr: r.Addr, StatusOnly: true}, func(d message.WorkerResponse) {
			if d.Heartbeat != nil && p.receivesNothing(p.now) {
				p.endStandDown()
			}
		})
	}
}

// pollRecentMachines asks the machines that were last heard whether they hear this controller.
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

// endStandDown lets this controller hold shards and lead again.
func (p *partitionDetector) endStandDown() {
	p.receivesNothingUntil, p.unheard = time.Time{}, false
	if p.controller.membership.leaseID != 0 && p.controller.membership.loaded {
		p.controller.membership.register()
	}
}

// noteRerouted notes that a machine reported here and was sent to its owner, and publishes it
// when machines of that owner keep reporting here. A machine that hears no controller says
// nothing about its owner, so it is polled.
func (p *partitionDetector) noteRerouted(r *model.Heartbeat, ownerHost string) {
	members := &p.controller.membership
	ownerRecord, ok := members.controllers[ownerHost]
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

// queueReroutedHeartbeat has a machine's owner learn of a heartbeat that came here: the owner
// may not have heard the machine for long and take it for gone, though it only doesn't hear
// the answers.
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

// applyReroutedHeartbeats applies heartbeats of this shard's machines that reached another
// controller. One that would count as a sign of life here counts there, too: the machine
// lives, and likely doesn't hear what this controller sends.
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

// publishRerouted writes a record for an owner's present incarnation: its machines report
// here.
func (p *partitionDetector) publishRerouted(ownerHost, ownerIncarnation string) {
	members := &p.controller.membership
	if p.now.Sub(p.reroutedPublishedAt) < rerouteRecordInterval || members.leaseID == 0 || p.now.After(members.leaseValidUntil) {
		return
	}
	count := p.reroutedMachines.CountReappeared(p.now, ownerHost)
	if count < minReroutedMachines {
		return
	}
	p.reroutedPublishedAt = p.now
	p.info("heartbeats rerouted from machine owner", "owner", ownerHost, "machines", count)
	rec := record.Encode(record.ReroutedMachines{Controller: ownerHost, Incarnation: ownerIncarnation, Machines: count})
	p.controller.requests.toStore(message.StoreRequest{Kind: message.OpTxn, Priority: message.PriorityStart, Writes: []message.Write{{Key: record.ReroutePrefix + p.settings.Host, Value: rec, LeaseID: members.leaseID}}}, func(message.StoreResponse) {})
}

// applyRerouteRecord applies such a record of another controller about this one's machines.
func (p *partitionDetector) applyRerouteRecord(it message.KeyValue) {
	var r record.ReroutedMachines
	if !it.Deleted && record.Decode(it.Value, &r) && r.Controller == p.settings.Host && r.Incarnation == p.incarnation() {
		if p.now.Sub(p.reroutesReportedAt) > rerouteRecordTTL {
			// Polls before this record prove nothing about now.
			p.monitor.RequestDelivered()
		}
		p.reroutesReportedAt = p.now
	}
}

// checkPartition gives up all roles when this shard leader and its workers don't hear each
// other and another controller hears them. It may drop the shard leader.
func (p *partitionDetector) checkPartition() {
	leader, members := p.controller.shardLeader, &p.controller.membership
	if members.leaseID == 0 || p.now.Sub(p.reroutesReportedAt) > rerouteRecordTTL {
		return
	}
	reporting := 0
	for _, m := range leader.machinesByID {
		if m.expectsHeartbeats() && !m.releasing {
			reporting++
		}
	}
	receivesNothing := p.monitor.ReceivesNothing(p.now, leader.readyAt, reporting, p.maxHeartbeatInterval())
	if !receivesNothing {
		p.pollRecentMachines()
	}
	if !receivesNothing && (reporting < 2 || !p.monitor.Unheard(p.now)) {
		return
	}
	p.info("shard given up in a partition", "machines", reporting, "heartbeats_received", !receivesNothing)
	leaseID := members.leaseID
	p.reroutesReportedAt, p.receivesNothingUntil, p.unheard = time.Time{}, p.now.Add(partitionStandDown), !receivesNothing
	p.after(partitionStandDown, func() {
		if !p.receivesNothing(p.now) {
			p.endStandDown()
		}
	})
	p.controller.membership.relinquishRoles("partitioned from workers")
	// Revoking the lease frees the lead and this controller's record at once. A new lease is
	// requested only after that: this controller must not look alive in between.
	p.controller.requests.toStore(message.StoreRequest{Kind: message.OpLeaseRevoke, Priority: message.PriorityMembership, LeaseID: leaseID}, func(message.StoreResponse) {
		if members.leaseID == 0 {
			p.controller.membership.createLease()
		}
	})
}

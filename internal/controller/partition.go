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
	// minReroutedMachines is how many machines of one owner must report to this controller
	// before it publishes that. A single machine may be unable to reach its owner through a
	// fault of its own.
	minReroutedMachines = 2
	// rerouteRecordInterval is the least time between two reroute records that this
	// controller writes, and rerouteRecordTTL is how long a received record is valid.
	rerouteRecordInterval = 3 * time.Second
	rerouteRecordTTL      = 10 * time.Second
	// partitionStandDown is how long a controller that gave up its roles takes none again,
	// unless it receives a heartbeat earlier. It goes on serving users meanwhile.
	partitionStandDown = 2 * time.Minute
	// partitionLeadDelay is how long such a controller waits when there is no leader, so
	// that another controller can become the leader. If all controllers stand down, one of
	// them must still lead.
	partitionLeadDelay = 3 * time.Second
)

const (
	// reroutedHeartbeatInterval is the least time between two updates to a machine owner
	// about its rerouted heartbeats.
	reroutedHeartbeatInterval = 500 * time.Millisecond
	// maxRecentPolls is how many machines this controller polls when others publish that its
	// machines report to them.
	maxRecentPolls = 4
	// maxReroutedPolls bounds the polls in flight to machines with rerouted heartbeats.
	maxReroutedPolls = 8
)

// partitionDetector detects that this controller is partitioned from the workers while other
// controllers are not, and then gives up this controller's roles.
//
// A controller that reaches the store but no worker can't do the work of a shard leader.
// Because it keeps its membership lease, no other controller takes over its shard, and the
// leases of its workers expire while the workers try the other controllers in vain. The
// other controllers write a record that machines of this controller keep reporting to them,
// and this controller's watch brings the record. Together with the absence of heartbeats at
// this controller, the record proves the partition, and this controller gives up its
// membership lease. If no controller receives heartbeats, no such record is written and all
// roles stay where they are.
//
// The same applies to a controller whose replies are lost: it receives heartbeats, but the
// workers receive only the replies of other controllers. When other controllers publish that
// its machines report to them, it polls the machines from which it has heard most recently.
// If no machine answers, nothing that it sends arrives.
//
// The detector lives as long as the process: its observations from before a failover remain
// valid. checkPartition and applyReroutedHeartbeats may be called only while this controller
// leads a shard, the other methods at any time.
type partitionDetector struct {
	component

	// monitor records this controller's own observations of its connection to the workers.
	monitor selfmonitor.Monitor
	// reroutesReportedAt is when another controller last published that machines of this
	// controller report to it.
	reroutesReportedAt time.Time
	// standDownUntil is until when this controller stands down after it gave up its
	// roles. sendPartitioned means that it did so because the workers didn't receive its messages,
	// although it received theirs.
	standDownUntil  time.Time
	sendPartitioned bool
	// reachabilityRequestedAt is when a worker was last polled to find out whether it
	// receives this controller's messages again.
	reachabilityRequestedAt time.Time

	// Heartbeats of other owners' machines that reached this controller.

	// reroutedMachines tracks the machines that were sent to their owners.
	reroutedMachines    selfmonitor.ReroutedMachines
	reroutedPublishedAt time.Time
	// reroutedPollsInFlight counts the polls in flight to rerouted machines.
	reroutedPollsInFlight int
	// reroutedHeartbeats holds the heartbeats that wait to be sent to the owners, by the
	// owner's host.
	reroutedHeartbeats map[string][]message.ReroutedHeartbeat
}

// isStandingDown reports whether this controller stands down because it was partitioned
// from the workers.
func (detector *partitionDetector) isStandingDown(now time.Time) bool {
	return now.Before(detector.standDownUntil)
}

// recordStep records that this controller runs: while it was paused it could receive nothing.
func (detector *partitionDetector) recordStep() { detector.monitor.RecordRun(detector.now) }

// requestDelivered records evidence that a message to a worker has arrived.
func (detector *partitionDetector) requestDelivered() { detector.monitor.RequestDelivered() }

// requestUnanswered records that a worker has not answered a direct request.
func (detector *partitionDetector) requestUnanswered() {
	detector.monitor.RequestUnanswered(detector.now)
}

// heartbeatReceived records that a heartbeat of any worker has reached this controller.
func (detector *partitionDetector) heartbeatReceived(heartbeat *model.Heartbeat) {
	detector.monitor.HeartbeatReceived(detector.now)
	switch {
	case !detector.isStandingDown(detector.now):
	case !detector.sendPartitioned:
		detector.endStandDown()
	case detector.now.Sub(detector.reachabilityRequestedAt) > probeInterval:
		// This controller received heartbeats all the time; only a poll shows whether the
		// worker receives its messages again.
		detector.reachabilityRequestedAt = detector.now
		detector.controller.requests.toWorker(message.WorkerRequest{Machine: heartbeat.Machine, Addr: heartbeat.Addr, StatusOnly: true}, func(response message.WorkerResponse) {
			if response.Heartbeat != nil && detector.isStandingDown(detector.now) {
				detector.endStandDown()
			}
		})
	}
}

// pollRecentMachines polls the machines that reported most recently, to find out whether
// they receive this controller's messages.
func (detector *partitionDetector) pollRecentMachines() {
	var machines []*machine
	for _, m := range detector.controller.shardLeader.machinesByID {
		if m.heard && !m.releasing {
			machines = append(machines, m)
		}
	}
	slices.SortStableFunc(machines, func(a, b *machine) int { return b.lastHeard.Compare(a.lastHeard) })
	for _, m := range machines[:min(len(machines), maxRecentPolls)] {
		detector.controller.shardLeader.failover.contact(m)
	}
}

// endStandDown ends the stand-down: this controller registers again and may hold shards and
// lead.
func (detector *partitionDetector) endStandDown() {
	detector.standDownUntil, detector.sendPartitioned = time.Time{}, false
	if detector.controller.membership.leaseID != 0 && detector.controller.membership.loaded {
		detector.controller.membership.register()
	}
}

// noteRerouted records that a machine of another owner reported to this controller and was
// sent to its owner. If machines of that owner keep reporting here, it publishes that. A
// machine that receives the messages of no controller says nothing about its owner, so the
// machine is polled first.
func (detector *partitionDetector) noteRerouted(heartbeat *model.Heartbeat, ownerHost string) {
	members := &detector.controller.membership
	ownerRecord, ok := members.controllers[ownerHost]
	if !ok || ownerHost == detector.settings.Host {
		return
	}
	if detector.reroutedMachines.Rerouted(detector.now, heartbeat.Machine, ownerHost) && detector.reroutedPollsInFlight < maxReroutedPolls {
		detector.reroutedPollsInFlight++
		id := heartbeat.Machine
		detector.controller.requests.toWorker(message.WorkerRequest{Machine: id, Addr: heartbeat.Addr, StatusOnly: true}, func(response message.WorkerResponse) {
			detector.reroutedPollsInFlight--
			if response.Heartbeat != nil && response.Heartbeat.Machine == id {
				detector.reroutedMachines.ProbeAnswered(detector.now, id)
				detector.publishRerouted(ownerHost, ownerRecord.Incarnation)
			}
		})
	}
	detector.publishRerouted(ownerHost, ownerRecord.Incarnation)
	detector.queueReroutedHeartbeat(heartbeat, ownerHost)
}

// queueReroutedHeartbeat queues a heartbeat that reached this controller for the machine's
// owner. The owner may not have received a heartbeat for long and take the machine for gone,
// although the machine only doesn't receive the owner's replies.
func (detector *partitionDetector) queueReroutedHeartbeat(heartbeat *model.Heartbeat, ownerHost string) {
	if len(detector.reroutedHeartbeats) == 0 {
		detector.after(reroutedHeartbeatInterval, func() {
			for _, to := range sortedKeys(detector.reroutedHeartbeats) {
				detector.emit(message.SendPeerUpdate{To: to, Update: message.PeerUpdate{From: detector.settings.Host, Rerouted: detector.reroutedHeartbeats[to]}})
			}
			detector.reroutedHeartbeats = nil
		})
		detector.reroutedHeartbeats = map[string][]message.ReroutedHeartbeat{}
	}
	if len(detector.reroutedHeartbeats[ownerHost]) < message.MaxReroutedHeartbeats {
		detector.reroutedHeartbeats[ownerHost] = append(detector.reroutedHeartbeats[ownerHost], message.ReroutedHeartbeat{ID: heartbeat.Machine, Epoch: heartbeat.Epoch, Incarnation: heartbeat.Incarnation, Sequence: heartbeat.Sequence})
	}
}

// applyReroutedHeartbeats applies heartbeats of this shard's machines that reached another
// controller. A rerouted heartbeat counts as a sign of life if it would count as one when
// received here directly: the machine is alive, but probably doesn't receive this
// controller's messages.
func (detector *partitionDetector) applyReroutedHeartbeats(heartbeats []message.ReroutedHeartbeat) {
	for _, rerouted := range heartbeats {
		m := detector.controller.shardLeader.machines[rerouted.ID]
		heartbeat := model.Heartbeat{Epoch: rerouted.Epoch, Incarnation: rerouted.Incarnation, Sequence: rerouted.Sequence}
		if m == nil || !m.heard || rerouted.Epoch < m.epoch || m.supersedes(&heartbeat) || (&machine{incarnation: m.rerouted.Incarnation, sequence: m.rerouted.Sequence}).supersedes(&heartbeat) {
			continue
		}
		m.reroutedAt, m.rerouted = detector.now, rerouted
		m.reachability.ReportedElsewhere(detector.now)
		detector.controller.shardLeader.heartbeats.probeIfUnreachable(m)
	}
}

// publishRerouted writes the record that machines of an owner report to this controller. The
// record names the owner's current incarnation.
func (detector *partitionDetector) publishRerouted(ownerHost, ownerIncarnation string) {
	members := &detector.controller.membership
	if detector.now.Sub(detector.reroutedPublishedAt) < rerouteRecordInterval || members.leaseID == 0 || detector.now.After(members.leaseValidUntil) {
		return
	}
	count := detector.reroutedMachines.CountReappeared(detector.now, ownerHost)
	if count < minReroutedMachines {
		return
	}
	detector.reroutedPublishedAt = detector.now
	detector.info("machines of another controller report here", "owner", ownerHost, "machines", count)
	rec := record.Encode(record.ReroutedMachines{Controller: ownerHost, Incarnation: ownerIncarnation, Machines: count})
	detector.controller.requests.toStore(message.StoreRequest{Kind: message.OpTxn, Priority: message.PriorityStart, Writes: []message.Write{{Key: record.ReroutePrefix + detector.settings.Host, Value: rec, LeaseID: members.leaseID}}}, func(message.StoreResponse) {})
}

// applyRerouteRecord applies a record of another controller that this controller's machines
// report to it.
func (detector *partitionDetector) applyRerouteRecord(item message.KeyValue) {
	var reroutes record.ReroutedMachines
	if !item.Deleted && record.Decode(item.Value, &reroutes) && reroutes.Controller == detector.settings.Host && reroutes.Incarnation == detector.incarnation() {
		if detector.now.Sub(detector.reroutesReportedAt) > rerouteRecordTTL {
			// Unanswered polls from before this record don't show whether messages arrive now.
			detector.monitor.RequestDelivered()
		}
		detector.reroutesReportedAt = detector.now
	}
}

// checkPartition gives up all roles if this shard leader and its workers can't exchange
// messages in one direction while another controller receives the workers' heartbeats. It
// may drop the shard leader.
func (detector *partitionDetector) checkPartition() {
	leader, members := detector.controller.shardLeader, &detector.controller.membership
	if members.leaseID == 0 || detector.now.Sub(detector.reroutesReportedAt) > rerouteRecordTTL {
		return
	}
	reporting := 0
	for _, m := range leader.machinesByID {
		if m.expectsHeartbeats() && !m.releasing {
			reporting++
		}
	}
	receivePartition := detector.monitor.ReceivePartitioned(detector.now, leader.readyAt, reporting, detector.maxHeartbeatInterval())
	if !receivePartition {
		detector.pollRecentMachines()
	}
	if !receivePartition && (reporting < 2 || !detector.monitor.SendPartitioned(detector.now)) {
		return
	}
	detector.info("shard given up: partitioned from workers", "machines", reporting, "heartbeats_received", !receivePartition)
	leaseID := members.leaseID
	detector.reroutesReportedAt, detector.standDownUntil, detector.sendPartitioned = time.Time{}, detector.now.Add(partitionStandDown), !receivePartition
	detector.after(partitionStandDown, func() {
		if !detector.isStandingDown(detector.now) {
			detector.endStandDown()
		}
	})
	detector.controller.membership.relinquishRoles("partitioned from workers")
	// Revoking the lease frees the leadership and this controller's member record at once. A new
	// lease is requested only after that, since this controller must not look alive in
	// between.
	detector.controller.requests.toStore(message.StoreRequest{Kind: message.OpLeaseRevoke, Priority: message.PriorityMembership, LeaseID: leaseID}, func(message.StoreResponse) {
		if members.leaseID == 0 {
			detector.controller.membership.createLease()
		}
	})
}

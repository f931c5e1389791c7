package controller

import (
	"time"

	"github.com/micahill/micahill/internal/message"
	"github.com/micahill/micahill/internal/model"
	"github.com/micahill/micahill/internal/reachability"
)

// heartbeat_proof.go decides what a worker's message proves. A heartbeat may arrive late or
// be a copy of an earlier heartbeat: it may be minutes old, and its machine may be gone or
// belong to another controller. Heartbeats are ordered by incarnation and sequence, but a
// successor doesn't know the earlier ones. So the first message that a successor applies is
// a heartbeat that shows the current epoch, which no worker can have sent before the
// successor owned the machine, or the reply to a poll.

// maxUnprovenReplies is how many heartbeats of a machine are answered while no heartbeat
// shows an effect of any reply and the machine's address does not answer polls either. Each
// reply counts as a renewal of the machine's lease, and so delays the proof that the lease
// has expired.
const maxUnprovenReplies = 3

// heartbeatReplyTimeout is how long a worker waits for the reply to a heartbeat.
const heartbeatReplyTimeout = 4 * time.Second

// supersedes reports whether heartbeat or a newer message has been applied. The epoch that a
// worker has seen never decreases: a copy from before a worker restart may have a higher
// incarnation, but it cannot have the epoch of a later owner.
func (machine *machine) supersedes(heartbeat *model.Heartbeat) bool {
	return heartbeat.Epoch < machine.seenEpoch || heartbeat.Incarnation < machine.incarnation || heartbeat.Incarnation == machine.incarnation && heartbeat.Sequence <= machine.sequence
}

// handleUnprovenHeartbeat answers a heartbeat that proves nothing about the current state of
// m. It reports whether the heartbeat is of this kind; if not, it does nothing.
func (tracker *heartbeatTracker) handleUnprovenHeartbeat(m *machine, received *message.WorkerHeartbeat) bool {
	heartbeat := &received.Heartbeat
	switch {
	case m.heard && m.supersedes(heartbeat):
		// The heartbeat is a copy or was overtaken: its worker sent it before the newest
		// message that was applied. If that message arrived long ago, the worker has stopped
		// waiting for this reply. Otherwise the reply carries no commands. The worker may
		// have restarted; its reply to a poll will show that.
		tracker.controller.shardLeader.failover.contact(m)
		if tracker.now.Sub(m.newestMessageAt) > heartbeatReplyTimeout {
			tracker.emit(message.HeartbeatReply{Reply: received.Reply, Status: 503})
			break
		}
		tracker.controller.renewal.renewWithoutCommands(m, received)
	case m.restartEpoch != 0 && heartbeat.Epoch <= m.restartEpoch:
		// The heartbeat may be from before the worker's restart. Only poll replies are
		// applied until a heartbeat shows an epoch that the worker can have seen only after
		// the restart.
		m.lastProbedAt = time.Time{}
		tracker.controller.shardLeader.failover.contact(m)
		tracker.controller.renewal.renewWithoutCommands(m, received)
	case !m.heard && heartbeat.Epoch < m.epoch:
		if m.addr == "" {
			tracker.controller.shardLeader.describe(m, heartbeat.Addr, heartbeat.MachineType, heartbeat.Zone, heartbeat.Spot)
		}
		if m.unansweredProbes >= unresponsiveProbes && m.unprovenHeartbeats >= maxUnprovenReplies {
			tracker.emit(message.HeartbeatReply{Reply: received.Reply, Status: 503})
		} else {
			m.unprovenHeartbeats++
			tracker.controller.renewal.renewWithoutCommands(m, received)
		}
		// If the reply to this heartbeat arrives, the worker's next heartbeat shows the
		// epoch half a second later. The reply to a direct request shows it sooner.
		if m.incarnation = heartbeat.Incarnation; !m.dispatchInFlight && tracker.controller.shardLeader.failover.contactsInFlight < maxContactsInFlight {
			tracker.controller.shardLeader.failover.sendEpoch(m)
		}
	default:
		return false
	}
	return true
}

// machineSnapshot is what was known of a machine at an earlier moment: before a heartbeat
// was applied, or when a poll was sent.
type machineSnapshot struct {
	heard                 bool
	incarnation, sequence uint64
	epoch                 uint64
	taskReports           []model.TaskReport
}

// snapshot returns what is known of the machine at this moment.
func (machine *machine) snapshot() machineSnapshot {
	return machineSnapshot{machine.heard, machine.incarnation, machine.sequence, machine.seenEpoch, machine.lastTaskReports}
}

// detectReachability looks in a heartbeat that was applied for effects that only a reply or
// a command of this controller can have caused, and updates m.reachability.
func (tracker *heartbeatTracker) detectReachability(m *machine, heartbeat *model.Heartbeat, before machineSnapshot) {
	m.unprovenHeartbeats = 0
	shown := m.shownReachable || before.epoch < m.epoch && heartbeat.Epoch >= m.epoch
	m.shownReachable = false
	if !before.heard {
		if shown {
			m.reachability.EffectSeen()
		}
		return
	}
	if heartbeat.Incarnation > before.incarnation {
		m.reachability.Incarnation(tracker.now)
		tracker.probeIfUnreachable(m)
		return
	}
	for i := range before.taskReports {
		// A worker drops an ended task only on a clear command, and clears arrive in order.
		if report := &before.taskReports[i]; report.Status == model.Ended {
			current, listed := m.taskReports[taskKey{report.Job, report.Index}]
			shown = shown || !listed || current.Attempt != report.Attempt
			break
		}
	}
	if shown {
		m.reachability.EffectSeen()
		tracker.controller.partition.requestDelivered()
		return
	}
	m.reachability.HeartbeatWithoutEffect(tracker.now, heartbeat.Sequence > before.sequence+1, tracker.controller.renewal.leaseEndAfter(tracker.now).Sub(tracker.now))
	tracker.probeIfUnreachable(m)
}

// probeIfUnreachable polls a machine at once if it may not receive this controller's
// messages.
func (tracker *heartbeatTracker) probeIfUnreachable(m *machine) {
	if !m.reachability.Reachable() {
		m.lastProbedAt = time.Time{}
		tracker.controller.shardLeader.failover.contact(m)
	}
}

// expectAcknowledgment records that the reply to a heartbeat will have an effect that a
// later heartbeat shows.
func expectAcknowledgment(m *machine, commands []model.TaskCommand) {
	if m.seenEpoch < m.epoch {
		m.reachability.ExpectEffect()
	}
	for _, command := range commands {
		if command.Kind != model.StopTask {
			m.reachability.ExpectEffect()
			return
		}
	}
}

// applyPollReply applies a machine's reply to a request; reply is nil if the request got
// none. It reports whether a valid reply arrived.
//
// before is what was known of the machine when the request was sent. A reply that is older
// than that state shows that the worker has restarted under the same name, without its
// tasks. A late message cannot be mistaken for such a reply, since the reply answers a
// request of this controller. A restarted worker has lost its incarnation, epoch and tasks.
// The tasks that should run there are started there again, which is safe because starts are
// idempotent; they are placed elsewhere only after the usual proof. A higher epoch
// distinguishes late heartbeats and commands from before the restart; see maybeBumpEpoch.
func (tracker *heartbeatTracker) applyPollReply(m *machine, reply *model.Heartbeat, before machineSnapshot) bool {
	if reply == nil || reply.Machine != m.id {
		m.unansweredProbes++
		if before.heard {
			// A machine that has sent no message yet may not have been ready.
			m.reachability.ProbeUnanswered(tracker.now)
		}
		tracker.controller.partition.requestUnanswered()
		return false
	}
	m.reachability.ProbeAnswered()
	m.statusRequested = false
	tracker.controller.partition.requestDelivered()
	if old := (machine{incarnation: before.incarnation, sequence: before.sequence, seenEpoch: before.epoch}); before.heard && old.supersedes(reply) {
		tracker.info("worker restarted", "machine", m.id, "incarnation", reply.Incarnation)
		m.incarnation, m.sequence, m.seenEpoch = reply.Incarnation, reply.Sequence-min(reply.Sequence, 1), 0
		m.restartEpoch, m.rerouted = m.commandEpoch, message.ReroutedHeartbeat{}
		m.leaseEnd = later(m.leaseEnd, tracker.controller.renewal.leaseEndAfter(later(tracker.now, m.formerOwnerUntil)))
		if m.replySequence != 0 {
			m.replySequence = reply.Sequence
		}
		m.taskReports, m.lastTaskReports, m.images = nil, nil, map[string]*image{}
		for _, key := range sortedAttempts(m) {
			if t := m.attempts[key]; t.isRunning() {
				tracker.controller.shardLeader.jobs[key.job].runningTasks--
			}
			m.attempts[key].reported, m.attempts[key].startedAt = false, time.Time{}
		}
		tracker.controller.shardLeader.remoteAttempts.recountOtherShardsUsed(m)
	}
	tracker.applyHeartbeat(m, reply, false)
	m.shownReachable = false
	return true
}

// unreachableMachines returns the ids of the machines to release because they send
// heartbeats and receive nothing. reporting is how many machines should send heartbeats.
func (tracker *heartbeatTracker) unreachableMachines(reporting int) []string {
	leader := tracker.controller.shardLeader
	var unreachable []reachability.Machine
	for _, m := range leader.machinesByID {
		if !m.heard || m.releasing || tracker.unresponsive(m) {
			continue
		}
		if unreachableFor, isUnreachable := m.reachability.Unreachable(tracker.now); isUnreachable {
			unreachable = append(unreachable, reachability.Machine{ID: m.id, Tasks: len(m.attempts) + leader.remoteAttempts.registry.LiveCount(m.id), UnreachableFor: unreachableFor})
		}
	}
	if len(unreachable) == 0 {
		return nil
	}
	policy := reachability.ReleasePolicy{
		SingleTimeout:  unresponsiveProbes*probeInterval + tracker.maxHeartbeatInterval(),
		LeaseRemaining: tracker.controller.renewal.leaseEndAfter(tracker.now).Sub(tracker.now),
		LastReleased:   tracker.unreachableReleasedAt,
	}
	toRelease := reachability.SelectReleases(tracker.now, policy, reporting, unreachable)
	if len(toRelease) > 0 {
		tracker.unreachableReleasedAt = tracker.now
		tracker.info("machines unreachable", "machines", len(unreachable), "of", reporting, "released", len(toRelease))
	}
	return toRelease
}

package controller

import (
	"time"

	"github.com/micahill/micahill/internal/message"
	"github.com/micahill/micahill/internal/model"
	"github.com/micahill/micahill/internal/reachability"
)

// heartbeat_proof.go says what a worker's message proves. A heartbeat may be late, or a copy of
// an earlier one: minutes old, of a machine that is gone or that another controller owns by
// now. Heartbeats are ordered by incarnation and sequence, but a successor knows no earlier
// ones. So the first that counts is one that shows the current epoch, which no worker could
// have sent before this controller's time, or the reply to a poll.

// maxUnprovenReplies is how many heartbeats are answered of a machine that has shown no effect
// of any answer, while its address does not answer polls either. Each answer counts as one
// that prolonged the lease, and puts off the proof that the lease has expired.
const maxUnprovenReplies = 3

// heartbeatReplyTimeout is how long a worker waits for the answer to a heartbeat.
const heartbeatReplyTimeout = 4 * time.Second

// supersedes says that something newer than the heartbeat is known. The epoch that a worker has
// seen never falls: a copy from before a restart may have a higher incarnation, but not the
// epoch of a later owner.
func (m *machine) supersedes(r *model.Heartbeat) bool {
	return r.Epoch < m.seenEpoch || r.Incarnation < m.incarnation || r.Incarnation == m.incarnation && r.Sequence <= m.sequence
}

// handleUnprovenHeartbeat answers a heartbeat that proves nothing, and says whether it is one.
func (h *heartbeatTracker) handleUnprovenHeartbeat(m *machine, c *message.WorkerHeartbeat) bool {
	r := &c.Heartbeat
	switch {
	case m.heard && m.supersedes(r):
		// A copy, or overtaken: it was sent before what is known came. If that is long ago,
		// no worker waits for the answer any more. Else the answer has no commands. The
		// worker may have restarted: its reply to a poll will tell.
		h.controller.shardLeader.failover.contact(m)
		if h.now.Sub(m.newestMessageAt) > heartbeatReplyTimeout {
			h.emit(message.HeartbeatReply{Reply: c.Reply, Status: 503})
			break
		}
		h.controller.renewal.renewWithoutCommands(m, c)
	case m.restartEpoch != 0 && r.Epoch <= m.restartEpoch:
		// Perhaps from before its worker restarted. Only poll replies count until a
		// heartbeat shows an epoch that the worker can only have seen since.
		m.probed = time.Time{}
		h.controller.shardLeader.failover.contact(m)
		h.controller.renewal.renewWithoutCommands(m, c)
	case !m.heard && r.Epoch < m.epoch:
		if m.addr == "" {
			h.controller.shardLeader.describe(m, r.Addr, r.MachineType, r.Zone, r.Spot)
		}
		if m.unansweredProbes >= unresponsiveProbes && m.unheardHeartbeats >= maxUnprovenReplies {
			h.emit(message.HeartbeatReply{Reply: c.Reply, Status: 503})
		} else {
			m.unheardHeartbeats++
			h.controller.renewal.renewWithoutCommands(m, c)
		}
		// If the answer arrives, the next heartbeat shows that, half a second later. The
		// reply to a direct request comes sooner.
		if m.incarnation = r.Incarnation; !m.dispatchInFlight && h.controller.shardLeader.failover.contactsInFlight < maxContactsInFlight {
			h.controller.shardLeader.failover.showEpoch(m)
		}
	default:
		return false
	}
	return true
}

// machineSnapshot is what was known of a machine before one of its messages.
type machineSnapshot struct {
	heard                 bool
	incarnation, sequence uint64
	epoch                 uint64
	taskReports           []model.TaskReport
}

func (m *machine) snapshot() machineSnapshot {
	return machineSnapshot{m.heard, m.incarnation, m.sequence, m.seenEpoch, m.lastTaskReports}
}

// detectReachability looks in a heartbeat that was taken in for what only an answer or a command
// of this controller can have caused.
func (h *heartbeatTracker) detectReachability(m *machine, r *model.Heartbeat, was machineSnapshot) {
	m.unheardHeartbeats = 0
	shown := m.shownReachable || was.epoch < m.epoch && r.Epoch >= m.epoch
	m.shownReachable = false
	if !was.heard {
		if shown {
			m.reachability.EffectSeen()
		}
		return
	}
	if r.Incarnation > was.incarnation {
		m.reachability.Incarnation(h.now)
		h.probeIfUnreachable(m)
		return
	}
	for i := range was.taskReports {
		// Only a command clears a task, and they are cleared in order.
		if p := &was.taskReports[i]; p.Status == model.Ended {
			q, there := m.taskReports[taskKey{p.Job, p.Index}]
			shown = shown || !there || q.Attempt != p.Attempt
			break
		}
	}
	if shown {
		m.reachability.EffectSeen()
		h.controller.partition.requestDelivered()
		return
	}
	m.reachability.HeartbeatWithoutEffect(h.now, r.Sequence > was.sequence+1, h.controller.renewal.leaseEndAfter(h.now).Sub(h.now))
	h.probeIfUnreachable(m)
}

// probeIfUnreachable polls a machine at once that perhaps receives nothing.
func (h *heartbeatTracker) probeIfUnreachable(m *machine) {
	if !m.reachability.Reachable() {
		m.probed = time.Time{}
		h.controller.shardLeader.failover.contact(m)
	}
}

// expectAcknowledgment notes that the answer to a heartbeat will have an effect that shows.
func expectAcknowledgment(m *machine, commands []model.TaskCommand) {
	if m.seenEpoch < m.epoch {
		m.reachability.ExpectEffect()
	}
	for _, cmd := range commands {
		if cmd.Kind != model.StopTask {
			m.reachability.ExpectEffect()
			return
		}
	}
}

// applyPollReply takes in a machine's reply to a request, or nil if there was none, and says
// whether there was one. was is what was known of the machine when the request was sent: if
// the reply is older, the worker has restarted, under the same name and without its tasks.
// No late message can look like that, since it answers a request of ours. The worker has
// then lost its incarnation, epoch and tasks: what should run there is started there
// again, as any start may be repeated, and goes elsewhere only with the usual proof. Late
// heartbeats and commands of before are told apart by a higher epoch.
func (h *heartbeatTracker) applyPollReply(m *machine, r *model.Heartbeat, was machineSnapshot) bool {
	if r == nil || r.Machine != m.id {
		m.unansweredProbes++
		if was.heard {
			// Before its first message the machine may not have been ready.
			m.reachability.ProbeUnanswered(h.now)
		}
		h.controller.partition.requestUnanswered()
		return false
	}
	m.reachability.ProbeAnswered()
	m.statusRequested = false
	h.controller.partition.requestDelivered()
	if old := (machine{incarnation: was.incarnation, sequence: was.sequence, seenEpoch: was.epoch}); was.heard && old.supersedes(r) {
		h.info("worker restarted", "machine", m.id, "incarnation", r.Incarnation)
		m.incarnation, m.sequence, m.seenEpoch = r.Incarnation, r.Sequence-min(r.Sequence, 1), 0
		m.restartEpoch, m.rerouted = m.epoch, message.ReroutedHeartbeat{}
		m.leaseEnd = later(m.leaseEnd, h.controller.renewal.leaseEndAfter(later(h.now, m.formerOwnerUntil)))
		if m.replySequence != 0 {
			m.replySequence = r.Sequence
		}
		m.taskReports, m.lastTaskReports, m.images = nil, nil, map[string]*image{}
		for _, k := range sortedAttempts(m) {
			if t := m.attempts[k]; t.isRunning() {
				h.controller.shardLeader.jobs[k.job].runningTasks--
			}
			m.attempts[k].reported, m.attempts[k].startedAt = false, time.Time{}
		}
		h.controller.shardLeader.remoteAttempts.recountOthersUsed(m)
	}
	h.applyHeartbeat(m, r, false)
	m.shownReachable = false
	return true
}

// unreachableMachines lists the machines to release that send heartbeats and receive nothing.
// reporting is how many machines should send heartbeats.
func (h *heartbeatTracker) unreachableMachines(reporting int) []string {
	s := h.controller.shardLeader
	var unreachable []reachability.Machine
	for _, m := range s.machinesByID {
		if !m.heard || m.releasing || h.unresponsive(m) {
			continue
		}
		if since, is := m.reachability.Unreachable(h.now); is {
			unreachable = append(unreachable, reachability.Machine{ID: m.id, Tasks: len(m.attempts) + s.remoteAttempts.registry.LiveCount(m.id), UnreachableFor: since})
		}
	}
	if len(unreachable) == 0 {
		return nil
	}
	policy := reachability.ReleasePolicy{
		SingleTimeout:  unresponsiveProbes*probeInterval + h.maxHeartbeatInterval(),
		LeaseRemaining: h.controller.renewal.leaseEndAfter(h.now).Sub(h.now),
		LastReleased:   h.unreachableReleasedAt,
	}
	toRelease := reachability.SelectReleases(h.now, policy, reporting, unreachable)
	if len(toRelease) > 0 {
		h.unreachableReleasedAt = h.now
		h.info("machines unreachable", "machines", len(unreachable), "of", reporting, "released", len(toRelease))
	}
	return toRelease
}

package controller

import (
	"time"

	"github.com/micahill/micahill/internal/message"
	"github.com/micahill/micahill/internal/model"
	"github.com/micahill/micahill/internal/reachability"
)

// heartbeat_proof.go says what a message of a worker proves. A report may be late, or a copy of one
// that came before: minutes old, of a machine that is gone or another's by now. Reports
// are ordered by tenure and tick, but a successor knows no earlier ones. So the first
// that counts is one that shows this owner's epoch, which nobody could have sent before
// its time, or the answer to a direct question.

// maxUnprovenReplies is how many reports of a machine that has shown no sign of this owner's
// answers are answered while its address does not answer either. Each answer counts as
// one that prolonged its lease, and would put off the proof that this has run out.
const maxUnprovenReplies = 3

// heartbeatReplyTimeout is how long a worker waits for the answer to a report.
const heartbeatReplyTimeout = 4 * time.Second

// supersedes says that something newer than the report was heard. What a worker has seen of
// epochs never falls: a copy of before it began anew may have a higher tenure, but not
// the epoch of a later owner.
func (m *machine) supersedes(r *model.Heartbeat) bool {
	return r.Epoch < m.seenEpoch || r.Incarnation < m.incarnation || r.Incarnation == m.incarnation && r.Sequence <= m.sequence
}

// handleUnprovenHeartbeat deals with reports that prove nothing, and says whether this is one.
func (h *heartbeatTracker) handleUnprovenHeartbeat(m *machine, c *message.WorkerHeartbeat) bool {
	r := &c.Heartbeat
	switch {
	case m.heard && m.supersedes(r):
		// A copy, or overtaken: it was sent before what is known came, so that nobody
		// waits for its answer any more when that is long ago. Else it is answered and
		// ordered nothing. Perhaps the worker has begun anew: its own answer would tell.
		h.controller.shardLeader.failover.contact(m)
		if h.now.Sub(m.newestMessageAt) > heartbeatReplyTimeout {
			h.emit(message.HeartbeatReply{Reply: c.Reply, Status: 503})
			break
		}
		h.controller.renewal.renewWithoutCommands(m, c)
	case m.restartEpoch != 0 && r.Epoch <= m.restartEpoch:
		// Perhaps of the time before its worker began anew. Its own answers tell, until
		// its reports show an epoch that it can only have seen since.
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
		// If the answer arrives, the worker shows that with its next report, half a second
		// later. Shown the epoch directly, it answers sooner.
		if m.incarnation = r.Incarnation; !m.dispatchInFlight && h.controller.shardLeader.failover.contactsInFlight < maxContactsInFlight {
			h.controller.shardLeader.failover.showEpoch(m)
		}
	default:
		return false
	}
	return true
}

// machineSnapshot is what was known of a machine before a message of it.
type machineSnapshot struct {
	heard                 bool
	incarnation, sequence uint64
	epoch                 uint64
	taskReports           []model.TaskReport
}

func (m *machine) snapshot() machineSnapshot {
	return machineSnapshot{m.heard, m.incarnation, m.sequence, m.seenEpoch, m.lastTaskReports}
}

// detectReachability looks at a report that was taken in for what only an answer or order of ours
// can have brought.
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
		// Cleared: only an order does that. They are cleared in their order.
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

// probeIfUnreachable asks a machine at once of which it is not sure that it hears.
func (h *heartbeatTracker) probeIfUnreachable(m *machine) {
	if !m.reachability.Reachable() {
		m.probed = time.Time{}
		h.controller.shardLeader.failover.contact(m)
	}
}

// expectAcknowledgment notes what an answer to a report will have to show.
func expectAcknowledgment(m *machine, commands []model.TaskCommand) {
	if m.seenEpoch < m.epoch {
		m.reachability.ExpectEffect()
	}
	for _, o := range commands {
		if o.Kind != model.StopTask {
			m.reachability.ExpectEffect()
			return
		}
	}
}

// applyPollReply takes in the answer of a machine to a direct request, or that there was
// none. was is what was known of the machine when the request left: if the answer is
// older, the worker has begun anew, under the same name and without its tasks. No late
// message can look like that, since it answers our own question. The worker then knows
// nothing of its tenure, its epoch and its tasks: what should run there is ordered to
// start there again, as any start may be repeated, and goes elsewhere only by the usual
// proof. Late reports and orders of before are told apart by a higher epoch.
func (h *heartbeatTracker) applyPollReply(m *machine, r *model.Heartbeat, was machineSnapshot) bool {
	if r == nil || r.Machine != m.id {
		m.unansweredProbes++
		if was.heard {
			// Before that it may not have been up.
			m.reachability.ProbeUnanswered(h.now)
		}
		h.controller.partition.requestUnanswered()
		return false
	}
	m.reachability.ProbeAnswered()
	m.statusRequested = false
	h.controller.partition.requestDelivered()
	if old := (machine{incarnation: was.incarnation, sequence: was.sequence, seenEpoch: was.epoch}); was.heard && old.supersedes(r) {
		h.info("a worker has begun anew", "machine", m.id, "tenure", r.Incarnation)
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

// unreachableMachines names the machines that report and hear nothing, and are to be given back.
func (h *heartbeatTracker) unreachableMachines(reporting int) []string {
	o := h.controller.shardLeader
	var unreachable []reachability.Machine
	for _, m := range o.machinesByID {
		if !m.heard || m.releasing || h.unresponsive(m) {
			continue
		}
		if d, is := m.reachability.Unreachable(h.now); is {
			unreachable = append(unreachable, reachability.Machine{ID: m.id, Tasks: len(m.attempts) + o.remoteAttempts.registry.LiveCount(m.id), UnreachableFor: d})
		}
	}
	if len(unreachable) == 0 {
		return nil
	}
	p := reachability.ReleasePolicy{SingleTimeout: unresponsiveProbes*probeInterval + h.maxHeartbeatInterval(), LeaseRemaining: h.controller.renewal.leaseEndAfter(h.now).Sub(h.now), LastReleased: o.heartbeats.unreachableReleasedAt}
	toRelease := reachability.SelectReleases(h.now, p, reporting, unreachable)
	if len(toRelease) > 0 {
		o.heartbeats.unreachableReleasedAt = h.now
		h.info("machines report and hear nothing", "machines", len(unreachable), "of", reporting, "given back", len(toRelease))
	}
	return toRelease
}

package controller

import (
	"slices"
	"time"

	"github.com/micahill/micahill/internal/disruption"
	"github.com/micahill/micahill/internal/message"
	"github.com/micahill/micahill/internal/model"
	"github.com/micahill/micahill/internal/record"
	"github.com/micahill/micahill/internal/remote"
)

// maxMissedStarts is how many heartbeats in a row may lack a task that the answer to each
// heartbeat before them had started. One answer may be late and dropped, or lost.
const maxMissedStarts = 5

// heartbeatTracker takes in what workers report, and judges from it which machines are
// unresponsive, unreachable or faulty.
//
// It is part of a shardLeader and its methods are called only while that one leads: with
// each heartbeat or poll reply, and by the sweep of the machines. A successor starts with
// none of this; heartbeat_proof.go says from when on it believes a heartbeat.
//
// Invariant: what a message changes here was sent after everything that is known of the
// machine.
type heartbeatTracker struct {
	component

	// lastHeartbeats has the newest heartbeat of removed machines; see stale_heartbeat.go.
	lastHeartbeats map[string]lastHeartbeat
	// unreachableReleasedAt is when a machine that receives nothing was last released.
	unreachableReleasedAt time.Time
	// correlatedFailureLoggedAt is when a correlated machine failure was last logged.
	correlatedFailureLoggedAt time.Time
}

// handleHeartbeat takes in a heartbeat that waits for its answer.
func (c *Controller) handleHeartbeat(hb message.WorkerHeartbeat) {
	s := c.shardLeader
	r := &hb.Heartbeat
	c.partition.heartbeatReceived(r)
	segment, mine := c.membership.ownedMachine(r.Machine)
	switch {
	case s == nil || !mine:
		c.rerouteHeartbeat(&hb)
		return
	case r.Epoch > segment.Epoch:
		// Another controller has a higher epoch: this one was deposed or its watch is
		// late. The worker drops answers with a lower epoch and would wait here while its
		// lease expires, so send it on. If the machine is ours all the same, it needs a
		// higher epoch; see maybeBumpEpoch.
		s.failover.noteHigherEpoch(r.Machine)
		c.emit(message.HeartbeatReply{Reply: hb.Reply, Status: 421})
		return
	case c.now.After(c.renewal.renewalDeadline()):
		c.emit(message.HeartbeatReply{Reply: hb.Reply, Status: 503})
		return
	case !s.ready:
		c.renewal.renewBeforeRecovery(&hb, segment.Epoch)
		return
	case c.knowledge.released[r.Machine]:
		// It gets no work any more and is about to be gone.
		c.emit(message.HeartbeatReply{Reply: hb.Reply, Status: 503})
		return
	}
	m := s.ensureMachine(r.Machine)
	if s.heartbeats.handleUnprovenHeartbeat(m, &hb) {
		return
	}
	s.failover.clearHigherEpoch(r.Machine)
	before := m.snapshot()
	s.heartbeats.applyHeartbeat(m, r, true)
	s.heartbeats.detectReachability(m, r, before)
	// Computed once for both: nearly all heartbeats are of settled machines.
	settled := m.settled()
	until, renews := c.renewal.renewLease(m, settled, nil, hb.Reply)
	if !renews {
		return
	}
	commands := s.dispatcher.pendingCommands(m, settled)
	for _, cmd := range commands {
		if cmd.Kind == model.StartTask {
			m.replySequence = r.Sequence
		}
	}
	expectAcknowledgment(m, commands)
	c.emit(message.HeartbeatReply{
		Reply: hb.Reply, Status: 200, Epoch: m.epoch, Commands: commands,
		SendDeadline: until, StartsDeadline: c.ranking.startDispatchDeadline(m),
	})
}

// rerouteHeartbeat sends the worker of a machine that is not this controller's to the machine
// owner, as far as it is known, and lets that one know that the worker came here.
func (c *Controller) rerouteHeartbeat(hb *message.WorkerHeartbeat) {
	ownerHost := c.membership.liveMachineOwner(hb.Heartbeat.Machine)
	if ownerHost == c.settings.Host {
		ownerHost = ""
	}
	if ownerHost != "" {
		c.partition.noteRerouted(&hb.Heartbeat, ownerHost)
	}
	c.emit(message.HeartbeatReply{Reply: hb.Reply, Status: 421, MachineOwner: ownerHost})
}

// applyHeartbeat takes in a heartbeat or a poll reply, unless something newer is known.
func (h *heartbeatTracker) applyHeartbeat(m *machine, r *model.Heartbeat, isHeartbeat bool) {
	if m.heard && m.supersedes(r) {
		return
	}
	h.controller.shardLeader.describe(m, r.Addr, r.MachineType, r.Zone, r.Spot)
	// After the worker has restarted, a start of before that got no answer may take effect in
	// a later incarnation of the same number, until the worker has seen a higher epoch. That
	// a higher one was assigned meanwhile proves nothing.
	leaseExpired := m.heard && r.Incarnation > m.incarnation && !(m.unackedStartEpoch != 0 && m.restartEpoch >= m.unackedStartEpoch && r.Epoch <= m.unackedStartEpoch)
	if leaseExpired {
		// A later incarnation: the worker has killed and forgotten everything.
		h.debug("worker lease expired", "machine", m.id, "incarnation", r.Incarnation)
		h.loseAllAttempts(m, r)
	}
	if !m.heard {
		m.idleSince = h.now
		h.controller.shardLeader.persistence.recoverCachedImages(m)
		h.controller.shardLeader.fleet.becameReady(m)
	}
	if !m.heard || leaseExpired {
		m.replySequence, m.unackedStartEpoch = 0, 0
	}
	if !m.heard || r.Incarnation > m.incarnation {
		// Its lease has begun by now; what was known of an earlier one says nothing of it.
		// Known by a poll reply, it may get work before any of its heartbeats is answered,
		// and a former owner may go on prolonging the lease for a while.
		m.leaseEnd = later(m.leaseEnd, h.controller.renewal.leaseEndAfter(later(h.now, m.formerOwnerUntil)))
	}
	m.heard, m.incarnation, m.sequence = true, r.Incarnation, r.Sequence
	m.seenEpoch = max(m.seenEpoch, r.Epoch)
	if m.newestMessageAt = h.now; !isHeartbeat || r.Epoch >= m.epoch {
		// Sent under this controller's epoch, and no older than what was known.
		m.lastHeard, m.unansweredProbes = h.now, 0
	}
	m.dispatchUnanswered = false
	if r.ReclaimIn >= 0 {
		if !m.reclaimNoticed {
			h.debug("reclaim notice received", "machine", m.id, "in", r.ReclaimIn)
		}
		m.reclaimNoticed, m.reclaimAt = true, h.now.Add(r.ReclaimIn)
	}
	if isHeartbeat && m.replySequence != 0 && r.Sequence > m.replySequence {
		m.replySequence = 0
	}
	if m.unackedStartEpoch != 0 && m.seenEpoch > m.unackedStartEpoch {
		m.unackedStartEpoch = 0
	}
	if m.unchangedBy(r) {
		return
	}
	h.applyTaskReports(m, r, isHeartbeat)
}

// applyTaskReports takes in the tasks of a heartbeat or poll reply that has changes.
func (h *heartbeatTracker) applyTaskReports(m *machine, r *model.Heartbeat, isHeartbeat bool) {
	m.lastTaskReports = r.Tasks
	m.taskReports = make(map[taskKey]model.TaskReport, len(r.Tasks))
	for _, p := range r.Tasks {
		k := taskKey{p.Job, p.Index}
		// Of several attempts of a task on one machine the live one counts.
		if q, ok := m.taskReports[k]; !ok || q.Status == model.Ended {
			m.taskReports[k] = p
		}
		h.applyTaskReport(m, k, p)
	}
	h.controller.shardLeader.remoteAttempts.updateRegistry(m)
	if isHeartbeat {
		countMissedStarts(m)
	}
	for _, k := range m.attemptsWhere(func(t *task) bool { return t.stopReason != stopNone }) {
		if _, ok := m.taskReports[k]; !ok && h.controller.shardLeader.dispatcher.noStartInFlight(m) {
			// It was to be stopped and is not there: the proof that it is gone.
			h.controller.shardLeader.endAttempt(h.controller.shardLeader.jobs[k.job], k.index, false)
		}
	}
}

// countMissedStarts counts for each attempt the heartbeats that do not show it though its start
// was sent.
func countMissedStarts(m *machine) {
	for k, t := range m.attempts {
		if p, ok := m.taskReports[k]; !ok || p.Attempt != t.attempt {
			if t.startSent && t.missedStarts < maxMissedStarts {
				t.missedStarts++
			}
		}
	}
}

// quarantineNonStarting deals with machines that send heartbeats and never start what they
// should: those tasks go elsewhere, with the usual proof, and the machines are released. If
// many seem to be like that, the fault is more likely in the network, since answers that do
// not arrive are not the machines' fault.
func (h *heartbeatTracker) quarantineNonStarting() {
	missed := func(t *task) bool { return t.missedStarts >= maxMissedStarts && t.stopReason == stopNone }
	var nonStarting []*machine
	reporting := 0
	for _, m := range h.controller.shardLeader.machinesByID {
		if !m.heard || m.releasing || h.unresponsive(m) {
			continue
		}
		reporting++
		if _, unreachable := m.reachability.Unreachable(h.now); unreachable {
			// It receives nothing; see unreachableMachines.
			continue
		}
		for _, t := range m.attempts {
			if missed(t) {
				nonStarting = append(nonStarting, m)
				break
			}
		}
	}
	if len(nonStarting) == 0 || disruption.IsCorrelated(disruption.Pool{Reporting: reporting}, len(nonStarting)) {
		return
	}
	for _, m := range nonStarting {
		if !m.faulty {
			h.info("machine quarantined: starts nothing", "machine", m.id)
		}
		m.faulty = true
		for _, k := range m.attemptsWhere(missed) {
			t := m.attempts[k]
			t.stopReason, t.avoidMachine = stopDrain, m.id
			h.controller.markDispatchPending(m)
		}
	}
}

// attemptsWhere lists the attempts that fulfil a condition, in order. Mostly there are none,
// and nothing has to be sorted.
func (m *machine) attemptsWhere(is func(*task) bool) []taskKey {
	var keys []taskKey
	for k, t := range m.attempts {
		if is(t) {
			keys = append(keys, k)
		}
	}
	sortTasks(keys)
	return keys
}

// unchangedBy says that a heartbeat has nothing new: the attempts that should run there do, as
// before. Nearly all heartbeats of a large pool are like that, and cost next to nothing here.
func (m *machine) unchangedBy(r *model.Heartbeat) bool {
	if len(r.Tasks) != len(m.attempts) || !slices.Equal(r.Tasks, m.lastTaskReports) || len(m.taskReports) != len(m.lastTaskReports) {
		return false
	}
	for i := range m.lastTaskReports {
		p := &m.lastTaskReports[i]
		t := m.attempts[taskKey{p.Job, p.Index}]
		if t == nil || t.attempt != p.Attempt || t.stopReason != stopNone || !t.reported || t.status != p.Status || p.Status == model.Ended {
			return false
		}
	}
	return true
}

// applyTaskReport takes in the state of one task.
func (h *heartbeatTracker) applyTaskReport(m *machine, k taskKey, p model.TaskReport) {
	j := h.controller.shardLeader.jobs[k.job]
	if j == nil || k.index < 0 || k.index >= len(j.tasks) {
		return
	}
	t := &j.tasks[k.index]
	if t.machine != m || t.attempt != p.Attempt {
		return
	}
	if t.isRunning() {
		j.runningTasks--
	}
	m.shownReachable = m.shownReachable || !t.reported && !t.inherited
	t.reported, t.status, t.missedStarts = true, p.Status, 0
	if t.isRunning() {
		j.runningTasks++
	}
	switch p.Status {
	case model.Fetching:
		m.noteImage(j, h.now, false)
	case model.Running, model.Checkpointing:
		m.noteImage(j, h.now, true)
		if t.startedAt.IsZero() {
			t.startedAt = h.firstSeenRunning(m, j, t)
			h.debug("task running", "job", j.ID, "task", k.index, "attempt", t.attempt, "machine", m.id,
				"age", h.now.Sub(j.submittedAt), "fetched", h.now.Sub(time.UnixMilli(t.groupStart)))
		}
	case model.Ended:
		h.applyEndedTask(m, j, k.index, p.Cause)
	}
}

// firstSeenRunning is when a task began to run that is now reported as running for the first time.
// One that a former shard leader started has run since its group was started and its image was
// fetched, at half the machine's rate: several images may have shared it.
func (h *heartbeatTracker) firstSeenRunning(m *machine, j *job, t *task) time.Time {
	if !t.inherited {
		return h.now
	}
	began := time.UnixMilli(t.groupStart)
	if j.Image != "" {
		began = began.Add(record.DurationOfSeconds(2 * j.ImageGB / h.controller.knowledge.imageFetchRate(m)))
	}
	return earlier(h.now, began)
}

// applyEndedTask takes in the end of a live attempt, with the worker's cause for it.
func (h *heartbeatTracker) applyEndedTask(m *machine, j *job, index int, cause string) {
	t := &j.tasks[index]
	switch cause {
	case "done":
		m.noteImage(j, h.now, true)
		// What a former shard leader started has run for longer than was seen here.
		// The median of such times is near zero, and would have all tasks of the job
		// relaunched.
		if !t.startedAt.IsZero() && !t.inherited {
			ran := h.now.Sub(t.startedAt)
			h.updateMachineSpeed(m, j, ran)
			j.recordRunTime(ran)
			h.controller.knowledge.updateEstimator(j, ran)
		}
		// What failed elsewhere is done here: the fault may be another machine's.
		h.updateFaultyMachines(h.controller.shardLeader.faultAttribution.TaskDone(j.ID, index, m.id))
		h.controller.shardLeader.endAttempt(j, index, true)
	case "error":
		h.recordTaskFailure(m, j, index)
		h.controller.shardLeader.endAttempt(j, index, false)
	case "unknown":
		// The worker knows no such job: try again, but not at once.
		t.notBefore = h.now.Add(h.jitter(2 * time.Second))
		h.controller.shardLeader.endAttempt(j, index, false)
	default:
		h.controller.shardLeader.endAttempt(j, index, false)
	}
}

// updateMachineSpeed keeps a moving average of the machine's run times, as a ratio to the
// median of their jobs.
func (h *heartbeatTracker) updateMachineSpeed(m *machine, j *job, ran time.Duration) {
	ref, ok := j.medianRunTime()
	if !ok || len(j.sortedRunTimes) < 2 {
		return
	}
	m.speedN++
	r := ran.Seconds() / max(ref.Seconds(), 0.1)
	if m.speedN == 1 {
		m.speed = r
		return
	}
	m.speed += 0.3 * (r - m.speed)
}

// recordTaskFailure notes that a task failed on a machine; internal/faultattribution decides
// whose fault it is. The task is tried again elsewhere, and a job that fails everywhere with
// growing backoff, one task at a time.
func (h *heartbeatTracker) recordTaskFailure(m *machine, j *job, index int) {
	t := &j.tasks[index]
	t.failures++
	t.avoidMachine = m.id
	pause := time.Second
	for i := 1; i < min(t.failures, 6); i++ {
		pause *= 2
	}
	if t.failures > 1 {
		t.notBefore = h.now.Add(h.jitter(pause))
	}
	h.debug("task failed", "job", j.ID, "task", index, "machine", m.id, "fails", t.failures)
	tracker := &h.controller.shardLeader.faultAttribution
	if j.doneTasks > 0 {
		// Tasks done before its first failure, or under a former shard leader, count too.
		tracker.MarkJobWorks(j.ID)
	}
	if !t.startedAt.IsZero() && !t.inherited {
		tracker.RecordFailedRun(j.ID, h.now.Sub(t.startedAt))
	}
	failedEverywhere := tracker.FailsEverywhere(j.ID)
	h.updateFaultyMachines(tracker.TaskFailed(j.ID, index, m.id))
	if pause := tracker.RetryBackoff(j.ID); pause > 0 {
		j.notBefore = h.now.Add(h.jitter(pause))
	}
	if tracker.FailsEverywhere(j.ID) && !failedEverywhere {
		h.info("job fails on every machine: backing off", "job", j.ID, "workload", j.Workload, "owner", j.Team)
	}
}

// updateFaultyMachines takes over what internal/faultattribution now says of some machines.
func (h *heartbeatTracker) updateFaultyMachines(ids []string) {
	for _, id := range ids {
		m := h.controller.shardLeader.machines[id]
		if m == nil {
			continue
		}
		m.faulty = h.controller.shardLeader.faultAttribution.IsFaulty(id)
		if m.faulty {
			h.info("machine quarantined", "machine", id)
		} else {
			h.info("machine quarantine lifted: job fault", "machine", id)
		}
	}
}

// loseAllAttempts notes that everything on m is gone, but for what the new heartbeat r lists:
// that was started since. r is nil if there is none.
func (h *heartbeatTracker) loseAllAttempts(m *machine, r *model.Heartbeat) {
	for _, k := range sortedAttempts(m) {
		t := m.attempts[k]
		if r != nil {
			kept := slices.ContainsFunc(r.Tasks, func(p model.TaskReport) bool {
				return p.Job == k.job && p.Index == k.index && p.Attempt == t.attempt
			})
			if kept {
				continue
			}
		}
		h.controller.shardLeader.endAttempt(h.controller.shardLeader.jobs[k.job], k.index, false)
	}
	h.controller.shardLeader.remoteAttempts.registry.MarkMachineGone(h.now, m.id, func(attempt remote.AttemptID) bool {
		return r != nil && slices.ContainsFunc(r.Tasks, func(p model.TaskReport) bool {
			return p.Job == attempt.Job && p.Index == attempt.Index && p.Attempt == attempt.Attempt
		})
	})
	m.taskReports, m.lastTaskReports = nil, nil
	h.controller.shardLeader.remoteAttempts.recountOthersUsed(m)
	m.images = map[string]*image{}
}

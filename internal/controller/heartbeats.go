package controller

import (
	"slices"
	"time"

	"github.com/micahill/micahill/internal/disruption"
	"github.com/micahill/micahill/internal/message"
	"github.com/micahill/micahill/internal/model"
	"github.com/micahill/micahill/internal/remote"
)

// handleHeartbeat takes a report that waits for its answer.
func (n *Controller) handleHeartbeat(c message.WorkerHeartbeat) {
	o := n.shardLeader
	r := &c.Heartbeat
	n.partition.heartbeatReceived(r)
	segment, mine := n.membership.ownedMachine(r.Machine)
	switch {
	case o == nil || !mine:
		ownerHost := n.membership.liveMachineOwner(r.Machine)
		if ownerHost == n.settings.Host {
			ownerHost = ""
		}
		if ownerHost != "" {
			n.partition.noteRerouted(r, ownerHost)
		}
		n.emit(message.HeartbeatReply{Reply: c.Reply, Status: 421, MachineOwner: ownerHost})
		return
	case r.Epoch > segment.Epoch:
		// Somebody has a higher epoch: this node was deposed or its watch is
		// late. A worker drops a lower epoch and would sit here while its
		// lease runs out, so send it on. If it is ours all the same, it needs a
		// higher epoch; see maybeBumpEpoch.
		if o.failover.higherEpochSeen[r.Machine].IsZero() {
			o.failover.higherEpochSeen[r.Machine] = n.now
		}
		n.emit(message.HeartbeatReply{Reply: c.Reply, Status: 421})
		return
	case n.now.After(n.renewal.renewalDeadline()):
		n.emit(message.HeartbeatReply{Reply: c.Reply, Status: 503})
		return
	case !o.ready:
		n.renewal.renewBeforeRecovery(&c, segment.Epoch)
		return
	case n.knowledge.released[r.Machine]:
		// Never given work again, and about to go.
		n.emit(message.HeartbeatReply{Reply: c.Reply, Status: 503})
		return
	}
	m := n.shardLeader.ensureMachine(r.Machine)
	if n.shardLeader.heartbeats.handleUnprovenHeartbeat(m, &c) {
		return
	}
	delete(o.failover.higherEpochSeen, r.Machine)
	before := m.snapshot()
	n.shardLeader.heartbeats.applyHeartbeat(m, r, true)
	n.shardLeader.heartbeats.detectReachability(m, r, before)
	// Looked at once for both: nearly all reports are of machines that are settled.
	settled := m.settled()
	until, renews := n.renewal.renewLease(m, settled, nil, c.Reply)
	if !renews {
		return
	}
	commands := n.shardLeader.dispatcher.pendingCommands(m, settled)
	for _, cmd := range commands {
		if cmd.Kind == model.StartTask {
			m.replySequence = r.Sequence
		}
	}
	expectAcknowledgment(m, commands)
	n.emit(message.HeartbeatReply{Reply: c.Reply, SendDeadline: until, StartsDeadline: n.ranking.startDispatchDeadline(m), Status: 200, Epoch: m.epoch, Commands: commands})
}

// applyHeartbeat takes in what a worker says, unless something newer was heard.
func (h *heartbeatTracker) applyHeartbeat(m *machine, r *model.Heartbeat, isHeartbeat bool) {
	if m.heard && m.supersedes(r) {
		return
	}
	h.controller.shardLeader.describe(m, r.Addr, r.MachineType, r.Zone, r.Spot)
	// After the worker has begun anew, an order from before that got no answer may be
	// carried out in a later tenure of the same number, until the worker has seen a
	// higher epoch. That one was given since says nothing.
	leaseExpired := m.heard && r.Incarnation > m.incarnation && !(m.unackedStartEpoch != 0 && m.restartEpoch >= m.unackedStartEpoch && r.Epoch <= m.unackedStartEpoch)
	if leaseExpired {
		// A later tenure: the worker has killed and forgotten everything.
		h.debug("lease ran out", "machine", m.id, "tenure", r.Incarnation)
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
		// A lease that has begun by now; what was known of an earlier one says
		// nothing of it. Heard by an answer, it may get work before we answer any
		// of its reports, and a former owner may go on prolonging it for a while.
		m.leaseEnd = later(m.leaseEnd, h.controller.renewal.leaseEndAfter(later(h.now, m.formerOwnerUntil)))
	}
	m.heard, m.incarnation, m.sequence = true, r.Incarnation, r.Sequence
	m.seenEpoch = max(m.seenEpoch, r.Epoch)
	if m.newestMessageAt = h.now; !isHeartbeat || r.Epoch >= m.epoch {
		// Sent in this owner's time, and no older than what was known.
		m.lastHeard, m.unansweredProbes = h.now, 0
	}
	m.dispatchUnanswered = false
	if r.ReclaimIn >= 0 {
		if !m.reclaimNoticed {
			h.debug("notice", "machine", m.id, "in", r.ReclaimIn)
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
	m.lastTaskReports = r.Tasks
	m.taskReports = make(map[taskKey]model.TaskReport, len(r.Tasks))
	for _, p := range r.Tasks {
		k := taskKey{p.Job, p.Index}
		// Of several attempts of a task on one machine the living one counts.
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
			// To be stopped, and not there: the proof that it is gone.
			h.controller.shardLeader.endAttempt(h.controller.shardLeader.jobs[k.job], k.index, false)
		}
	}
}

// maxMissedStarts is how many reports in a row may be without a task that was ordered to start
// with the answer to each report before. One answer may be late and dropped, or lost.
const maxMissedStarts = 5

// countMissedStarts counts the reports that do not show what was ordered to start.
func countMissedStarts(m *machine) {
	for k, t := range m.attempts {
		if p, ok := m.taskReports[k]; !ok || p.Attempt != t.attempt {
			if t.startSent && t.missedStarts < maxMissedStarts {
				t.missedStarts++
			}
		}
	}
}

// quarantineNonStarting deals with machines that report and never start what they are told to:
// what was to start there goes elsewhere, with the usual proof, and they are returned.
// When many seem to be like that, the fault is more likely in the links, and answers
// that do not arrive are none of the machines' doing.
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
			// It hears nothing of what it is told; see unhearing.
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
			h.info("machine starts nothing that it is told to", "machine", m.id)
		}
		m.faulty = true
		for _, k := range m.attemptsWhere(missed) {
			t := m.attempts[k]
			t.stopReason, t.avoidMachine = stopDrain, m.id
			h.controller.markDispatchPending(m)
		}
	}
}

// attemptsWhere names the attempts that fulfil a condition, in order. Mostly there
// are none, and nothing is sorted.
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

// unchangedBy says that a report tells nothing that is not known: the attempts that
// should be there run there, as before. Nearly all reports of a large pool are
// like that, and cost next to nothing here.
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

// applyTaskReport takes in one line of a report.
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
			t.startedAt = h.now
			h.debug("running", "job", j.ID, "task", k.index, "try", t.attempt, "machine", m.id, "age", h.now.Sub(j.submittedAt), "fetched", h.now.Sub(time.UnixMilli(t.groupStart)))
		}
	case model.Ended:
		switch p.Cause {
		case "done":
			m.noteImage(j, h.now, true)
			// What a former owner started has run for longer than was seen
			// here; a median of such times is near nothing, and would have all
			// its tasks relaunched.
			if !t.startedAt.IsZero() && !t.inherited {
				ran := h.now.Sub(t.startedAt)
				h.updateMachineSpeed(m, j, ran)
				j.recordRunTime(ran)
				h.controller.knowledge.updateEstimator(j, ran)
			}
			// What failed elsewhere is done here.
			h.updateFaultyMachines(h.controller.shardLeader.faultAttribution.TaskDone(j.ID, k.index, m.id))
			h.controller.shardLeader.endAttempt(j, k.index, true)
		case "error":
			h.recordTaskFailure(m, j, k.index)
			h.controller.shardLeader.endAttempt(j, k.index, false)
		case "unknown":
			// The worker says no such job: try again, not at once.
			t.notBefore = h.now.Add(h.jitter(2 * time.Second))
			h.controller.shardLeader.endAttempt(j, k.index, false)
		default:
			h.controller.shardLeader.endAttempt(j, k.index, false)
		}
	}
}

// updateMachineSpeed keeps a running ratio of run time against what was expected.
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

// recordTaskFailure takes note that a task failed on a machine: internal/faultattribution says whose fault
// it is. The task is tried again elsewhere, and a job that fails everywhere ever more
// slowly, one task at a time.
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
	b := &h.controller.shardLeader.faultAttribution
	if j.doneTasks > 0 {
		// What was done before its first failure, or under a former owner, counts.
		b.MarkJobWorks(j.ID)
	}
	was := b.FailsEverywhere(j.ID)
	h.updateFaultyMachines(b.TaskFailed(j.ID, index, m.id))
	if pause := b.RetryBackoff(j.ID); pause > 0 {
		j.notBefore = h.now.Add(h.jitter(pause))
	}
	if b.FailsEverywhere(j.ID) && !was {
		h.info("a job fails on every machine: it is tried ever more slowly", "job", j.ID, "workload", j.Workload, "owner", j.Team)
	}
}

// updateFaultyMachines looks again at machines of which internal/faultattribution thinks otherwise now.
func (h *heartbeatTracker) updateFaultyMachines(hosts []string) {
	for _, id := range hosts {
		m := h.controller.shardLeader.machines[id]
		if m == nil {
			continue
		}
		m.faulty = h.controller.shardLeader.faultAttribution.IsFaulty(id)
		if m.faulty {
			h.info("machine is faulty", "machine", id)
		} else {
			h.info("machine is not faulty: what failed there fails everywhere", "machine", id)
		}
	}
}

// loseAllAttempts notes that everything on m is gone. What the new report lists has
// been started since, and stays.
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
	h.controller.shardLeader.remoteAttempts.registry.MarkMachineGone(h.now, m.id, func(a remote.AttemptID) bool {
		return r != nil && slices.ContainsFunc(r.Tasks, func(p model.TaskReport) bool {
			return p.Job == a.Job && p.Index == a.Index && p.Attempt == a.Attempt
		})
	})
	m.taskReports, m.lastTaskReports = nil, nil
	h.controller.shardLeader.remoteAttempts.recountOthersUsed(m)
	m.images = map[string]*image{}
}

// heartbeatTracker TODO.
type heartbeatTracker struct {
	component

	// lastHeartbeats is the newest that was heard of machines that were dropped; see stale_heartbeat.go.
	lastHeartbeats map[string]lastHeartbeat
	// unreachableReleasedAt is when a machine that hears nothing was last given back.
	unreachableReleasedAt time.Time
	// correlatedFailureLoggedAt is when the log last told of machines that are silent together.
	correlatedFailureLoggedAt time.Time
}

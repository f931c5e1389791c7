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
	heartbeatReceived(n, r)
	segment, mine := n.ownedMachine(r.Machine)
	switch {
	case o == nil || !mine:
		ownerHost := n.liveMachineOwner(r.Machine)
		if ownerHost == n.settings.Host {
			ownerHost = ""
		}
		if ownerHost != "" {
			noteRerouted(n, r, ownerHost)
		}
		n.emit(message.HeartbeatReply{Reply: c.Reply, Status: 421, MachineOwner: ownerHost})
		return
	case r.Epoch > segment.Epoch:
		// Somebody has a higher epoch: this node was deposed or its watch is
		// late. A worker drops a lower epoch and would sit here while its
		// lease runs out, so send it on. If it is ours all the same, it needs a
		// higher epoch; see maybeBumpEpoch.
		if o.higherEpochSeen[r.Machine].IsZero() {
			o.higherEpochSeen[r.Machine] = n.now
		}
		n.emit(message.HeartbeatReply{Reply: c.Reply, Status: 421})
		return
	case n.now.After(n.renewalDeadline()):
		n.emit(message.HeartbeatReply{Reply: c.Reply, Status: 503})
		return
	case !o.ready:
		renewBeforeRecovery(n, &c, segment.Epoch)
		return
	case n.released[r.Machine]:
		// Never given work again, and about to go.
		n.emit(message.HeartbeatReply{Reply: c.Reply, Status: 503})
		return
	}
	m := n.ensureMachine(r.Machine)
	if handleUnprovenHeartbeat(n, m, &c) {
		return
	}
	delete(o.higherEpochSeen, r.Machine)
	before := m.snapshot()
	n.applyHeartbeat(m, r, true)
	detectReachability(n, m, r, before)
	// Looked at once for both: nearly all reports are of machines that are settled.
	settled := m.settled()
	until, renews := renewLease(n, m, settled, nil, c.Reply)
	if !renews {
		return
	}
	commands := n.pendingCommands(m, settled)
	for _, cmd := range commands {
		if cmd.Kind == model.StartTask {
			m.replySequence = r.Sequence
		}
	}
	expectAcknowledgment(m, commands)
	n.emit(message.HeartbeatReply{Reply: c.Reply, SendDeadline: until, StartsDeadline: startDispatchDeadline(n, m), Status: 200, Epoch: m.epoch, Commands: commands})
}

// applyHeartbeat takes in what a worker says, unless something newer was heard.
func (n *Controller) applyHeartbeat(m *machine, r *model.Heartbeat, isHeartbeat bool) {
	if m.heard && m.supersedes(r) {
		return
	}
	n.describe(m, r.Addr, r.MachineType, r.Zone, r.Spot)
	// After the worker has begun anew, an order from before that got no answer may be
	// carried out in a later tenure of the same number, until the worker has seen a
	// higher epoch. That one was given since says nothing.
	leaseExpired := m.heard && r.Incarnation > m.incarnation && !(m.unackedStartEpoch != 0 && m.restartEpoch >= m.unackedStartEpoch && r.Epoch <= m.unackedStartEpoch)
	if leaseExpired {
		// A later tenure: the worker has killed and forgotten everything.
		n.debug("lease ran out", "machine", m.id, "tenure", r.Incarnation)
		n.loseAllAttempts(m, r)
	}
	if !m.heard {
		m.idleSince = n.now
		n.recoverCachedImages(m)
		n.becameReady(m)
	}
	if !m.heard || leaseExpired {
		m.replySequence, m.unackedStartEpoch = 0, 0
	}
	if !m.heard || r.Incarnation > m.incarnation {
		// A lease that has begun by now; what was known of an earlier one says
		// nothing of it. Heard by an answer, it may get work before we answer any
		// of its reports, and a former owner may go on prolonging it for a while.
		m.leaseEnd = later(m.leaseEnd, n.leaseEndAfter(later(n.now, m.formerOwnerUntil)))
	}
	m.heard, m.incarnation, m.sequence = true, r.Incarnation, r.Sequence
	m.seenEpoch = max(m.seenEpoch, r.Epoch)
	if m.newestMessageAt = n.now; !isHeartbeat || r.Epoch >= m.epoch {
		// Sent in this owner's time, and no older than what was known.
		m.lastHeard, m.unansweredProbes = n.now, 0
	}
	m.dispatchUnanswered = false
	if r.ReclaimIn >= 0 {
		if !m.reclaimNoticed {
			n.debug("notice", "machine", m.id, "in", r.ReclaimIn)
		}
		m.reclaimNoticed, m.reclaimAt = true, n.now.Add(r.ReclaimIn)
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
		n.applyTaskReport(m, k, p)
	}
	updateRegistry(n, m)
	if isHeartbeat {
		countMissedStarts(m)
	}
	for _, k := range m.attemptsWhere(func(t *task) bool { return t.stopReason != stopNone }) {
		if _, ok := m.taskReports[k]; !ok && n.noStartInFlight(m) {
			// To be stopped, and not there: the proof that it is gone.
			n.endAttempt(n.shardLeader.jobs[k.job], k.index, false)
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
func quarantineNonStarting(n *Controller) {
	missed := func(t *task) bool { return t.missedStarts >= maxMissedStarts && t.stopReason == stopNone }
	var nonStarting []*machine
	reporting := 0
	for _, m := range n.shardLeader.machinesByID {
		if !m.heard || m.releasing || n.unresponsive(m) {
			continue
		}
		reporting++
		if _, unreachable := m.reachability.Unreachable(n.now); unreachable {
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
			n.info("machine starts nothing that it is told to", "machine", m.id)
		}
		m.faulty = true
		for _, k := range m.attemptsWhere(missed) {
			t := m.attempts[k]
			t.stopReason, t.avoidMachine = stopDrain, m.id
			n.markDispatchPending(m)
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
func (n *Controller) applyTaskReport(m *machine, k taskKey, p model.TaskReport) {
	j := n.shardLeader.jobs[k.job]
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
		m.noteImage(j, n.now, false)
	case model.Running, model.Checkpointing:
		m.noteImage(j, n.now, true)
		if t.startedAt.IsZero() {
			t.startedAt = n.now
			n.debug("running", "job", j.ID, "task", k.index, "try", t.attempt, "machine", m.id, "age", n.now.Sub(j.submittedAt), "fetched", n.now.Sub(time.UnixMilli(t.groupStart)))
		}
	case model.Ended:
		switch p.Cause {
		case "done":
			m.noteImage(j, n.now, true)
			// What a former owner started has run for longer than was seen
			// here; a median of such times is near nothing, and would have all
			// its tasks relaunched.
			if !t.startedAt.IsZero() && !t.inherited {
				ran := n.now.Sub(t.startedAt)
				n.updateMachineSpeed(m, j, ran)
				j.recordRunTime(ran)
				n.updateEstimator(j, ran)
			}
			// What failed elsewhere is done here.
			n.updateFaultyMachines(n.shardLeader.faultAttribution.TaskDone(j.ID, k.index, m.id))
			n.endAttempt(j, k.index, true)
		case "error":
			n.recordTaskFailure(m, j, k.index)
			n.endAttempt(j, k.index, false)
		case "unknown":
			// The worker says no such job: try again, not at once.
			t.notBefore = n.now.Add(n.jitter(2 * time.Second))
			n.endAttempt(j, k.index, false)
		default:
			n.endAttempt(j, k.index, false)
		}
	}
}

// updateMachineSpeed keeps a running ratio of run time against what was expected.
func (n *Controller) updateMachineSpeed(m *machine, j *job, ran time.Duration) {
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
func (n *Controller) recordTaskFailure(m *machine, j *job, index int) {
	t := &j.tasks[index]
	t.failures++
	t.avoidMachine = m.id
	pause := time.Second
	for i := 1; i < min(t.failures, 6); i++ {
		pause *= 2
	}
	if t.failures > 1 {
		t.notBefore = n.now.Add(n.jitter(pause))
	}
	n.debug("task failed", "job", j.ID, "task", index, "machine", m.id, "fails", t.failures)
	b := &n.shardLeader.faultAttribution
	if j.doneTasks > 0 {
		// What was done before its first failure, or under a former owner, counts.
		b.MarkJobWorks(j.ID)
	}
	was := b.FailsEverywhere(j.ID)
	n.updateFaultyMachines(b.TaskFailed(j.ID, index, m.id))
	if pause := b.RetryBackoff(j.ID); pause > 0 {
		j.notBefore = n.now.Add(n.jitter(pause))
	}
	if b.FailsEverywhere(j.ID) && !was {
		n.info("a job fails on every machine: it is tried ever more slowly", "job", j.ID, "workload", j.Workload, "owner", j.Team)
	}
}

// updateFaultyMachines looks again at machines of which internal/faultattribution thinks otherwise now.
func (n *Controller) updateFaultyMachines(hosts []string) {
	for _, id := range hosts {
		m := n.shardLeader.machines[id]
		if m == nil {
			continue
		}
		m.faulty = n.shardLeader.faultAttribution.IsFaulty(id)
		if m.faulty {
			n.info("machine is faulty", "machine", id)
		} else {
			n.info("machine is not faulty: what failed there fails everywhere", "machine", id)
		}
	}
}

// loseAllAttempts notes that everything on m is gone. What the new report lists has
// been started since, and stays.
func (n *Controller) loseAllAttempts(m *machine, r *model.Heartbeat) {
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
		n.endAttempt(n.shardLeader.jobs[k.job], k.index, false)
	}
	n.shardLeader.registry.MarkMachineGone(n.now, m.id, func(a remote.AttemptID) bool {
		return r != nil && slices.ContainsFunc(r.Tasks, func(p model.TaskReport) bool {
			return p.Job == a.Job && p.Index == a.Index && p.Attempt == a.Attempt
		})
	})
	m.taskReports, m.lastTaskReports = nil, nil
	n.recountOthersUsed(m)
	m.images = map[string]*image{}
}

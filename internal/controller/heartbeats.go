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

// maxMissedStarts is how many heartbeats in a row may lack a task although the reply to each
// heartbeat before them carried its start command. It is above one because a single reply
// may be lost, or arrive late and be dropped by the worker.
const maxMissedStarts = 5

// heartbeatTracker applies the heartbeats and poll replies of workers, and decides from them
// which machines are unresponsive, unreachable or faulty.
//
// It is part of a shardLeader. Its methods are called only while that shard leader leads:
// with each heartbeat or poll reply, and by the periodic check of all machines. A successor
// starts with an empty tracker; heartbeat_proof.go says which heartbeat is the first that a
// successor applies.
//
// Invariant: a message changes the state of a machine here only if the worker sent it after
// every message already applied for that machine.
type heartbeatTracker struct {
	component

	// lastHeartbeats holds the newest heartbeat of each removed machine; see
	// stale_heartbeat.go.
	lastHeartbeats map[string]lastHeartbeat
	// unreachableReleasedAt is when an unreachable machine was last released.
	unreachableReleasedAt time.Time
	// correlatedFailureLoggedAt is when a correlated machine failure was last logged.
	correlatedFailureLoggedAt time.Time
}

// handleHeartbeat applies a heartbeat whose worker waits for the reply, and emits the reply.
func (controller *Controller) handleHeartbeat(received message.WorkerHeartbeat) {
	leader := controller.shardLeader
	heartbeat := &received.Heartbeat
	controller.partition.heartbeatReceived(heartbeat)
	segment, owned := controller.membership.ownedMachine(heartbeat.Machine)
	switch {
	case leader == nil || !owned:
		controller.rerouteHeartbeat(&received)
		return
	case heartbeat.Epoch > leader.commandEpoch(heartbeat.Machine, segment.Epoch):
		// Another controller owns the machine under a higher epoch: this controller was
		// deposed, or its watch lags. The worker drops replies with a lower epoch, so it
		// would wait here until its lease expires; status 421 sends the worker to another
		// controller. If this controller does own the machine, it needs a higher epoch; see
		// maybeBumpEpoch.
		leader.failover.noteHigherEpoch(heartbeat.Machine)
		controller.emit(message.HeartbeatReply{Reply: received.Reply, Status: 421})
		return
	case controller.now.After(controller.renewal.renewalDeadline()):
		controller.emit(message.HeartbeatReply{Reply: received.Reply, Status: 503})
		return
	case !leader.ready:
		controller.renewal.renewBeforeRecovery(&received, segment.Epoch)
		return
	case controller.knowledge.released[heartbeat.Machine]:
		// The machine's release was requested: it gets no more tasks and will be gone soon.
		controller.emit(message.HeartbeatReply{Reply: received.Reply, Status: 503})
		return
	}
	m := leader.ensureMachine(heartbeat.Machine)
	if leader.heartbeats.handleUnprovenHeartbeat(m, &received) {
		return
	}
	leader.failover.clearHigherEpoch(heartbeat.Machine)
	before := m.snapshot()
	leader.heartbeats.applyHeartbeat(m, heartbeat, true)
	leader.heartbeats.detectReachability(m, heartbeat, before)
	// Computed once for both the lease renewal and the commands: nearly all heartbeats come
	// from settled machines.
	settled := m.settled()
	until, renews := controller.renewal.renewLease(m, settled, nil, received.Reply)
	if !renews {
		return
	}
	commands := leader.dispatcher.replyCommands(m, settled)
	expectAcknowledgment(m, commands)
	reply := message.HeartbeatReply{
		Reply: received.Reply, Status: 200, Epoch: m.commandEpoch, Commands: commands,
		SendDeadline: until, AcknowledgesRequest: heartbeat.Requested,
	}
	if slices.ContainsFunc(commands, func(command model.TaskCommand) bool { return command.Kind == model.StartTask }) {
		m.replySequence = heartbeat.Sequence
		reply.StartsDeadline = earlier(controller.renewal.startDeadline(), controller.ranking.startDispatchDeadline(m))
	}
	controller.emit(reply)
}

// rerouteHeartbeat sends the worker of a machine that this controller doesn't own to the
// machine's owner, if the owner is known, and reports the reroute to the owner.
func (controller *Controller) rerouteHeartbeat(received *message.WorkerHeartbeat) {
	ownerHost := controller.membership.liveMachineOwner(received.Heartbeat.Machine)
	if ownerHost == controller.settings.Host {
		ownerHost = ""
	}
	if ownerHost != "" {
		controller.partition.noteRerouted(&received.Heartbeat, ownerHost)
	}
	controller.emit(message.HeartbeatReply{Reply: received.Reply, Status: 421, MachineOwner: ownerHost})
}

// applyHeartbeat applies a heartbeat or a poll reply, unless a newer message of the machine
// has been applied.
func (tracker *heartbeatTracker) applyHeartbeat(m *machine, heartbeat *model.Heartbeat, isHeartbeat bool) {
	if m.heard && m.supersedes(heartbeat) {
		return
	}
	tracker.controller.shardLeader.describe(m, heartbeat.Addr, heartbeat.MachineType, heartbeat.Zone, heartbeat.Spot)
	leaseExpired := m.heard && heartbeat.Incarnation > m.incarnation
	if leaseExpired {
		// A later incarnation means that the worker has killed and forgotten all its tasks.
		tracker.debug("worker lease expired", "machine", m.id, "incarnation", heartbeat.Incarnation)
		tracker.loseAllAttempts(m, heartbeat)
	}
	if !m.heard {
		m.idleSince = tracker.now
		tracker.controller.shardLeader.persistence.recoverCachedImages(m)
		tracker.controller.shardLeader.fleet.recordReady(m)
	}
	if !m.heard || leaseExpired {
		m.replySequence = 0
		// The lease of this incarnation has begun by this moment; the lease end of an
		// earlier incarnation says nothing about it. A machine known from a poll reply may
		// get tasks before any of its heartbeats is answered, and a former owner may renew
		// its lease for some time.
		m.leaseEnd = later(m.leaseEnd, tracker.controller.renewal.leaseEndAfter(later(tracker.now, m.formerOwnerUntil)))
	}
	m.heard, m.incarnation, m.sequence = true, heartbeat.Incarnation, heartbeat.Sequence
	m.seenEpoch = max(m.seenEpoch, heartbeat.Epoch)
	if m.newestMessageAt = tracker.now; !isHeartbeat || heartbeat.Epoch >= m.epoch {
		// The worker sent this message under this controller's epoch, and after every
		// message applied before.
		m.lastHeard, m.unansweredProbes = tracker.now, 0
	}
	m.dispatchUnanswered = false
	if heartbeat.ReclaimIn >= 0 {
		if !m.reclaimNoticed {
			tracker.debug("reclaim notice received", "machine", m.id, "in", heartbeat.ReclaimIn)
		}
		m.reclaimNoticed, m.reclaimAt = true, tracker.now.Add(heartbeat.ReclaimIn)
	}
	if isHeartbeat {
		m.heartbeatRequested = false
	}
	if isHeartbeat && m.replySequence != 0 && heartbeat.Sequence > m.replySequence {
		m.replySequence = 0
	}
	if m.unchangedBy(heartbeat) {
		return
	}
	tracker.applyTaskReports(m, heartbeat, isHeartbeat)
}

// applyTaskReports applies the task list of a heartbeat or poll reply that contains changes.
func (tracker *heartbeatTracker) applyTaskReports(m *machine, heartbeat *model.Heartbeat, isHeartbeat bool) {
	formerReports := m.lastTaskReports
	m.lastTaskReports = heartbeat.Tasks
	m.taskReports = make(map[taskKey]model.TaskReport, len(heartbeat.Tasks))
	for _, report := range heartbeat.Tasks {
		key := taskKey{report.Job, report.Index}
		tracker.logUnexpectedAttempt(m, report, formerReports, heartbeat.Epoch)
		// If a machine reports several attempts of one task, keep the live attempt.
		if known, ok := m.taskReports[key]; !ok || known.Status == model.Ended {
			m.taskReports[key] = report
		}
		tracker.applyTaskReport(m, key, report)
	}
	tracker.controller.shardLeader.remoteAttempts.updateRegistry(m)
	if isHeartbeat {
		countMissedStarts(m)
	}
	for _, key := range m.attemptsWhere(func(t *task) bool { return t.stopReason != stopNone }) {
		if _, ok := m.taskReports[key]; !ok && tracker.controller.shardLeader.dispatcher.noStartInFlight(m) {
			// The attempt was told to stop and the machine doesn't report it: that proves
			// that the attempt is gone.
			tracker.controller.shardLeader.endAttempt(tracker.controller.shardLeader.jobs[key.job], key.index, false)
		}
	}
}

// logUnexpectedAttempt logs that a worker newly lists a live attempt that should not run there,
// because the task has a later attempt or has ended. A start was then executed after the attempt
// was cleared, or a former shard leader was stopping the attempt. seen is the epoch that the worker
// has seen.
func (tracker *heartbeatTracker) logUnexpectedAttempt(m *machine, report model.TaskReport, former []model.TaskReport, seen uint64) {
	j := tracker.controller.shardLeader.jobs[report.Job]
	if report.Status == model.Ended || j == nil || report.Index < 0 || report.Index >= len(j.tasks) {
		return
	}
	t := &j.tasks[report.Index]
	if t.machine == m && t.attempt == report.Attempt {
		return
	}
	listed := slices.ContainsFunc(former, func(other model.TaskReport) bool {
		return other.Job == report.Job && other.Index == report.Index && other.Attempt == report.Attempt
	})
	if !listed {
		tracker.info("unexpected attempt runs", "job", j.ID, "task", report.Index, "attempt", report.Attempt, "newest_attempt", t.attempt, "machine", m.id, "seen_epoch", seen, "epoch", m.epoch)
	}
}

// countMissedStarts counts, for each attempt on m whose start was sent, the heartbeats that
// do not list the attempt.
func countMissedStarts(m *machine) {
	for key, t := range m.attempts {
		if report, ok := m.taskReports[key]; !ok || report.Attempt != t.attempt {
			if t.startSent && t.missedStarts < maxMissedStarts {
				t.missedStarts++
			}
		}
	}
}

// quarantineNonStarting quarantines machines that send heartbeats but never start their
// tasks. It stops these attempts, so that their tasks are placed elsewhere after the usual
// proof that the attempts are gone. A quarantined machine is released once it is empty. If
// many machines fail to start tasks, quarantineNonStarting does nothing: then the network is
// more likely at fault, since replies that do not arrive are no fault of the machines.
func (tracker *heartbeatTracker) quarantineNonStarting() {
	missed := func(t *task) bool { return t.missedStarts >= maxMissedStarts && t.stopReason == stopNone }
	var nonStarting []*machine
	reporting := 0
	for _, m := range tracker.controller.shardLeader.machinesByID {
		if !m.heard || m.releasing || tracker.unresponsive(m) {
			continue
		}
		reporting++
		if _, unreachable := m.reachability.Unreachable(tracker.now); unreachable {
			// The machine receives nothing; unreachableMachines handles it.
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
			tracker.info("machine quarantined: does not start tasks", "machine", m.id)
		}
		m.faulty = true
		for _, key := range m.attemptsWhere(missed) {
			t := m.attempts[key]
			t.stopReason, t.avoidMachine = stopDrain, m.id
			tracker.controller.markDispatchPending(m)
		}
	}
}

// attemptsWhere returns the keys of the machine's attempts for which matches returns true, sorted by
// task. The result is usually empty, so sorting all attempts first would be wasted time.
func (machine *machine) attemptsWhere(matches func(*task) bool) []taskKey {
	var keys []taskKey
	for key, t := range machine.attempts {
		if matches(t) {
			keys = append(keys, key)
		}
	}
	sortTasks(keys)
	return keys
}

// unchangedBy reports whether a heartbeat contains no changes: the machine runs exactly the
// expected attempts in the known states. This fast path covers nearly all heartbeats of a
// large pool.
func (machine *machine) unchangedBy(heartbeat *model.Heartbeat) bool {
	if len(heartbeat.Tasks) != len(machine.attempts) || !slices.Equal(heartbeat.Tasks, machine.lastTaskReports) || len(machine.taskReports) != len(machine.lastTaskReports) {
		return false
	}
	for i := range machine.lastTaskReports {
		report := &machine.lastTaskReports[i]
		t := machine.attempts[taskKey{report.Job, report.Index}]
		if t == nil || t.attempt != report.Attempt || t.stopReason != stopNone || !t.reported || t.status != report.Status || report.Status == model.Ended {
			return false
		}
	}
	return true
}

// applyTaskReport applies the reported state of one task attempt.
func (tracker *heartbeatTracker) applyTaskReport(m *machine, key taskKey, report model.TaskReport) {
	j := tracker.controller.shardLeader.jobs[key.job]
	if j == nil || key.index < 0 || key.index >= len(j.tasks) {
		return
	}
	t := &j.tasks[key.index]
	if t.machine != m || t.attempt != report.Attempt {
		return
	}
	if t.isRunning() {
		j.runningTasks--
	}
	m.shownReachable = m.shownReachable || !t.reported && !t.inherited
	t.reported, t.status, t.missedStarts = true, report.Status, 0
	if t.isRunning() {
		j.runningTasks++
	}
	switch report.Status {
	case model.Fetching:
		m.noteImage(j, tracker.now, false)
	case model.Running, model.Checkpointing:
		m.noteImage(j, tracker.now, true)
		if t.startedAt.IsZero() {
			t.startedAt = tracker.firstSeenRunning(m, j, t)
			tracker.debug("task running", "job", j.ID, "task", key.index, "attempt", t.attempt, "machine", m.id,
				"age", tracker.now.Sub(j.submittedAt), "fetched", tracker.now.Sub(time.UnixMilli(t.groupStart)))
		}
	case model.Ended:
		tracker.applyEndedTask(m, j, key.index, report.Cause)
	}
}

// firstSeenRunning estimates when a task began to run that is reported as running for the
// first time. For a task that a former shard leader started, it assumes that the task has
// run since its group was started and its image was fetched. It assumes half the machine's
// fetch rate, since several images may have been fetched at the same time.
func (tracker *heartbeatTracker) firstSeenRunning(m *machine, j *job, t *task) time.Time {
	if !t.inherited {
		return tracker.now
	}
	began := time.UnixMilli(t.groupStart)
	if j.Image != "" {
		began = began.Add(record.DurationOfSeconds(2 * j.ImageGB / tracker.controller.knowledge.imageFetchRate(m)))
	}
	return earlier(tracker.now, began)
}

// applyEndedTask applies the reported end of a live attempt, with the cause that the worker
// gave.
func (tracker *heartbeatTracker) applyEndedTask(m *machine, j *job, index int, cause string) {
	t := &j.tasks[index]
	switch cause {
	case "done":
		m.noteImage(j, tracker.now, true)
		// The run times of tasks that a former shard leader started are not recorded: they
		// ran for longer than this shard leader saw. The median of the observed times would
		// be near zero, and all tasks of the job would be relaunched.
		if !t.startedAt.IsZero() && !t.inherited {
			runTime := tracker.now.Sub(t.startedAt)
			tracker.updateMachineSpeed(m, j, runTime)
			j.recordRunTime(runTime)
			tracker.controller.knowledge.updateEstimator(j, runTime)
		}
		// If the task failed on another machine before it succeeded here, the other machine
		// may be at fault.
		tracker.updateFaultyMachines(tracker.controller.shardLeader.faultAttribution.TaskDone(j.ID, index, m.id))
		tracker.controller.shardLeader.endAttempt(j, index, true)
	case "error":
		tracker.recordTaskFailure(m, j, index)
		tracker.controller.shardLeader.endAttempt(j, index, false)
	case "unknown":
		// The worker does not know the job: retry after a delay.
		t.notBefore = tracker.now.Add(tracker.jitter(2 * time.Second))
		tracker.controller.shardLeader.endAttempt(j, index, false)
	default:
		tracker.controller.shardLeader.endAttempt(j, index, false)
	}
}

// updateMachineSpeed updates the moving average of the machine's run times, each as a ratio
// to the median run time of its job.
func (tracker *heartbeatTracker) updateMachineSpeed(m *machine, j *job, runTime time.Duration) {
	median, ok := j.medianRunTime()
	if !ok || len(j.sortedRunTimes) < 2 {
		return
	}
	m.speedSamples++
	ratio := runTime.Seconds() / max(median.Seconds(), 0.1)
	if m.speedSamples == 1 {
		m.speed = ratio
		return
	}
	m.speed += 0.3 * (ratio - m.speed)
}

// recordTaskFailure records that a task failed on a machine; internal/faultattribution
// decides whether the machine or the job is at fault. The task is retried on another
// machine. A job that fails on every machine is retried with growing backoff, one task at a
// time.
func (tracker *heartbeatTracker) recordTaskFailure(m *machine, j *job, index int) {
	t := &j.tasks[index]
	t.failures++
	t.avoidMachine = m.id
	backoff := time.Second
	for i := 1; i < min(t.failures, 6); i++ {
		backoff *= 2
	}
	if t.failures > 1 {
		t.notBefore = tracker.now.Add(tracker.jitter(backoff))
	}
	tracker.debug("task failed", "job", j.ID, "task", index, "machine", m.id, "fails", t.failures)
	attribution := &tracker.controller.shardLeader.faultAttribution
	if j.doneTasks > 0 {
		// Tasks that succeeded before the job's first failure, or under a former shard
		// leader, count too.
		attribution.MarkJobWorks(j.ID)
	}
	if !t.startedAt.IsZero() && !t.inherited {
		attribution.RecordFailedRun(j.ID, tracker.now.Sub(t.startedAt))
	}
	failedEverywhere := attribution.FailsEverywhere(j.ID)
	tracker.updateFaultyMachines(attribution.TaskFailed(j.ID, index, m.id))
	if backoff := attribution.RetryBackoff(j.ID); backoff > 0 {
		j.notBefore = tracker.now.Add(tracker.jitter(backoff))
	}
	if attribution.FailsEverywhere(j.ID) && !failedEverywhere {
		tracker.info("job fails on every machine: backing off", "job", j.ID, "workload", j.Workload, "owner", j.Team)
	}
}

// updateFaultyMachines updates the quarantine of some machines to the current verdicts of
// internal/faultattribution.
func (tracker *heartbeatTracker) updateFaultyMachines(ids []string) {
	for _, id := range ids {
		m := tracker.controller.shardLeader.machines[id]
		if m == nil {
			continue
		}
		m.faulty = tracker.controller.shardLeader.faultAttribution.IsFaulty(id)
		if m.faulty {
			tracker.info("machine quarantined", "machine", id)
		} else {
			tracker.info("machine quarantine lifted: job is at fault", "machine", id)
		}
	}
}

// loseAllAttempts records that all attempts on m are gone, except the attempts that heartbeat
// lists: these were started since. heartbeat is nil if no new heartbeat has arrived.
func (tracker *heartbeatTracker) loseAllAttempts(m *machine, heartbeat *model.Heartbeat) {
	for _, key := range sortedAttempts(m) {
		t := m.attempts[key]
		if heartbeat != nil {
			kept := slices.ContainsFunc(heartbeat.Tasks, func(report model.TaskReport) bool {
				return report.Job == key.job && report.Index == key.index && report.Attempt == t.attempt
			})
			if kept {
				continue
			}
		}
		tracker.controller.shardLeader.endAttempt(tracker.controller.shardLeader.jobs[key.job], key.index, false)
	}
	tracker.controller.shardLeader.remoteAttempts.registry.MarkMachineGone(tracker.now, m.id, func(attempt remote.AttemptID) bool {
		return heartbeat != nil && slices.ContainsFunc(heartbeat.Tasks, func(report model.TaskReport) bool {
			return report.Job == attempt.Job && report.Index == attempt.Index && report.Attempt == attempt.Attempt
		})
	})
	m.taskReports, m.lastTaskReports = nil, nil
	tracker.controller.shardLeader.remoteAttempts.recountOtherShardsUsed(m)
	m.images = map[string]*image{}
}

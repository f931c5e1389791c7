package controller

import (
	"slices"
	"strings"
	"time"

	"github.com/micahill/micahill/internal/message"
	"github.com/micahill/micahill/internal/model"
)

// maxCommands bounds the commands in one reply to a heartbeat or one request to a worker. The body
// may have 64 KiB, and a command takes about 70 bytes plus the job's name.
const maxCommands = 500

// dispatcher compares the tasks in a worker's newest heartbeat with the attempts that should run
// there, and derives the commands for the worker. It sends the stops that can't wait for the reply
// to the next heartbeat.
//
// Starts are sent only in replies to heartbeats. The network may deliver a direct request late, or
// once more after its answer, and a worker that has restarted since would execute its starts: it has
// forgotten the epoch and its tasks, which may run elsewhere or be cancelled by then. A reply can
// reach only the process that sent the heartbeat, within heartbeatReplyTimeout. For starts that
// should not wait for the next heartbeat, the dispatcher has the worker send one at once.
//
// It is part of a shardLeader, and its methods are called only while that shardLeader leads: by
// Step (dispatchAll) and for each heartbeat (replyCommands). It has no state to hand over at
// failover: the next shard leader reconciles from the records and the heartbeats.
//
// Invariant: a start is sent only for a durable attempt, and only as long as this controller would
// learn of the job's cancellation in time.
type dispatcher struct {
	component

	// dirtyMachines are the machines with dispatchPending set.
	dirtyMachines []*machine
	// awaitingOwnership are the machines with awaitsOwnership set, whose clears wait for a read of
	// the shard map. ownershipReadAt is when the last such read was sent.
	awaitingOwnership      []*machine
	ownershipReadScheduled bool
	ownershipReadAt        time.Time
}

// markDispatchPending records that there may be commands for m. In a large pool, checking all
// machines after every batch of inputs would cost more than handling their heartbeats.
func (controller *Controller) markDispatchPending(m *machine) {
	if leader := controller.shardLeader; leader != nil && !m.dispatchPending {
		m.dispatchPending = true
		leader.dispatcher.addDirty(m)
	}
}

// addDirty adds m to the machines that dispatchAll checks.
func (dispatcher *dispatcher) addDirty(m *machine) {
	dispatcher.dirtyMachines = append(dispatcher.dirtyMachines, m)
}

// dispatchAll sends the commands that are due to the machines marked by markDispatchPending.
func (dispatcher *dispatcher) dispatchAll() {
	if len(dispatcher.dirtyMachines) == 0 {
		return
	}
	slices.SortFunc(dispatcher.dirtyMachines, func(a, b *machine) int { return strings.Compare(a.id, b.id) })
	machines := dispatcher.dirtyMachines
	dispatcher.dirtyMachines = nil
	for _, m := range machines {
		if m.removed {
			continue
		}
		if m.dispatchPending {
			dispatcher.dispatch(m)
		}
		if m.dispatchPending {
			dispatcher.dirtyMachines = append(dispatcher.dirtyMachines, m)
		}
	}
}

// noStartInFlight reports whether it is certain that no start for m is in flight. Former versions of
// the controllers sent starts directly: a worker that has restarted would execute such a start again
// if it arrived again, until it has seen a higher epoch.
func (dispatcher *dispatcher) noStartInFlight(m *machine) bool {
	return m.hasSeenEpoch() && !m.restartUnfenced() && m.replySequence == 0
}

// reconcile returns the commands that bring the worker from the state in its newest heartbeat to
// the state that it should have. Commands may be repeated, with one exception: a start that arrives
// after the clear of the same attempt would run it again. So a clear waits until no start can be in
// flight, and is sent under an epoch above that of every earlier start; see start_fence.go.
func (dispatcher *dispatcher) reconcile(m *machine) []model.TaskCommand {
	return dispatcher.replyCommands(m, m.settled())
}

// replyCommands is like reconcile, for a caller that knows whether the machine is settled.
func (dispatcher *dispatcher) replyCommands(m *machine, settled bool) []model.TaskCommand {
	m.dispatchPending, m.hasNewStarts = false, false
	if settled {
		return nil
	}
	noStartInFlight := dispatcher.noStartInFlight(m)
	commands, clears := dispatcher.commandsForReports(m, noStartInFlight)
	limit := maxCommands - len(commands)
	due := dispatcher.dueStarts(m, noStartInFlight, limit)
	if len(due) >= limit {
		// There may be more starts, which go with the reply to the next heartbeat.
		dispatcher.controller.markDispatchPending(m)
	}
	for _, key := range due {
		t := m.attempts[key]
		t.startSent, m.lastStartEpoch = true, max(m.lastStartEpoch, m.commandEpoch)
		commands = append(commands, model.TaskCommand{Kind: model.StartTask, Job: key.job, Index: key.index, Attempt: t.attempt})
	}
	return appendClears(commands, clears)
}

// directCommands returns the commands that can be sent without a heartbeat: those of reconcile
// except the starts. startsDue says that there are starts.
func (dispatcher *dispatcher) directCommands(m *machine) (commands []model.TaskCommand, startsDue bool) {
	m.dispatchPending, m.hasNewStarts = false, false
	if m.settled() {
		return nil, false
	}
	noStartInFlight := dispatcher.noStartInFlight(m)
	commands, clears := dispatcher.commandsForReports(m, noStartInFlight)
	startsDue = len(dispatcher.dueStarts(m, noStartInFlight, 1)) > 0
	return appendClears(commands, clears), startsDue
}

// appendClears appends clears up to maxCommands. Clears come last: thousands of short tasks may have
// ended on the machine, and starts and stops must not wait for their clears. The remaining clears go
// with the reply to the next heartbeat.
func appendClears(commands, clears []model.TaskCommand) []model.TaskCommand {
	return append(commands, clears[:min(len(clears), max(0, maxCommands-len(commands)))]...)
}

// commandsForReports returns the commands for the tasks that the worker reports. It returns clears
// that nothing waits for separately.
func (dispatcher *dispatcher) commandsForReports(m *machine, noStartInFlight bool) (commands, clears []model.TaskCommand) {
	leader := dispatcher.controller.shardLeader
	for _, key := range sortedTasks(m.taskReports) {
		if len(commands) >= maxCommands {
			dispatcher.controller.markDispatchPending(m)
			break
		}
		report := m.taskReports[key]
		var cmd model.TaskCommand
		var needed, canWait bool
		if j := leader.jobs[key.job]; j == nil {
			cmd, needed = leader.remoteAttempts.commandForOtherShardsTask(m, report, noStartInFlight)
			canWait = cmd.Kind == model.ClearTask
		} else {
			cmd, needed = dispatcher.commandForReport(m, j, key, report, noStartInFlight)
			// A clear can't wait if another attempt of the task is to start on this machine.
			canWait = cmd.Kind == model.ClearTask && m.attempts[key] == nil
		}
		switch {
		case !needed:
		case canWait:
			clears = append(clears, cmd)
		default:
			commands = append(commands, cmd)
		}
	}
	return commands, clears
}

// commandForReport returns the command for a reported task of a job of this shard leader, and false
// if the task needs none.
func (dispatcher *dispatcher) commandForReport(m *machine, j *job, key taskKey, report model.TaskReport, noStartInFlight bool) (model.TaskCommand, bool) {
	var t *task
	if key.index < len(j.tasks) {
		t = &j.tasks[key.index]
	}
	cmd := model.TaskCommand{Job: key.job, Index: key.index, Attempt: report.Attempt}
	isCurrent := t != nil && t.machine == m && t.attempt == report.Attempt
	switch {
	case isCurrent && t.stopReason != stopNone && report.Status == model.Checkpointing && dispatcher.gracePeriod(m, j, t) > 0:
		// The task is already writing its checkpoint.
		return cmd, false
	case isCurrent && t.stopReason != stopNone && report.Status != model.Ended:
		cmd.Kind, cmd.GracePeriod = model.StopTask, dispatcher.gracePeriod(m, j, t)
	case isCurrent:
		return cmd, false
	case report.Status != model.Ended:
		cmd.Kind = model.StopTask
	case dispatcher.canFenceStarts(m) && noStartInFlight && (t == nil || j.durable(key.index)):
		dispatcher.fenceStarts(m)
		cmd.Kind = model.ClearTask
	default:
		return cmd, false
	}
	return cmd, true
}

// dueStarts returns the tasks to start on m, at most limit: their attempts are durable and the worker
// does not report them yet.
func (dispatcher *dispatcher) dueStarts(m *machine, noStartInFlight bool, limit int) []taskKey {
	var due []taskKey
	mayClear := noStartInFlight && m.commandEpoch > m.lastStartEpoch
	for _, key := range sortedAttempts(m) {
		if dispatcher.now.After(dispatcher.controller.renewal.startDeadline()) {
			// A job may have been cancelled without the knowledge of this controller.
			break
		}
		if len(due) >= limit {
			break
		}
		t := m.attempts[key]
		j := dispatcher.controller.shardLeader.jobs[key.job]
		if t.stopReason != stopNone || !j.durable(key.index) || j.dependenciesPending || !j.mayStart(dispatcher.now) {
			continue
		}
		if report, ok := m.taskReports[key]; ok && (report.Attempt == t.attempt || report.Status != model.Ended || !mayClear) {
			// The attempt runs, or an earlier attempt of the task has not ended or is not cleared
			// yet, so that the worker would refuse the start.
			continue
		}
		if !dispatcher.controller.ranking.mayDispatchStart(m, j, key.index, noStartInFlight) {
			continue
		}
		due = append(due, key)
	}
	return due
}

// settled reports whether the machine runs exactly the attempts that it should, so that there are
// no commands for it.
func (machine *machine) settled() bool {
	if len(machine.attempts) != len(machine.taskReports) {
		return false
	}
	for key, t := range machine.attempts {
		report, ok := machine.taskReports[key]
		if !ok || report.Attempt != t.attempt || t.stopReason != stopNone || report.Status == model.Ended {
			return false
		}
	}
	return true
}

// gracePeriod returns the time that a task gets for a checkpoint when it is stopped. It is 0 for a
// task without checkpoints, for a task of a cancelled job, and on a machine that the cloud reclaims
// before the checkpoint would be written.
func (dispatcher *dispatcher) gracePeriod(m *machine, j *job, t *task) time.Duration {
	if j.CheckpointInterval <= 0 || t.stopReason == stopCancel {
		return 0
	}
	if m.reclaimNoticed && dispatcher.now.Add(j.CheckpointCost).After(m.reclaimAt) {
		return 0
	}
	// The extra second prevents rounding from cutting off the checkpoint.
	return j.CheckpointCost + time.Second
}

// dispatch sends the pending stops to m's worker without waiting for its next heartbeat. If starts
// are due, it has the worker send a heartbeat. It sends nothing if there are only clears, which can
// wait.
func (dispatcher *dispatcher) dispatch(m *machine) {
	leader := dispatcher.controller.shardLeader
	if m.remote {
		// The machine's owner gets a request to send the commands.
		m.dispatchPending = false
		leader.remoteAttempts.requestSoon()
		return
	}
	if m.dispatchInFlight || m.statusRequested || m.dispatchUnanswered || m.releasing || m.addr == "" || !m.heard {
		return
	}
	if dispatcher.now.After(dispatcher.controller.membership.leaseValidUntil) {
		// Another controller may lead the shard. Only replies to heartbeats are sent a while
		// longer.
		return
	}
	commands, startsDue := dispatcher.directCommands(m)
	// A worker that gets starts in a reply sends its next heartbeat as soon as it may.
	requestsHeartbeat := startsDue && !m.heartbeatRequested && m.replySequence == 0
	if !requestsHeartbeat && !slices.ContainsFunc(commands, func(cmd model.TaskCommand) bool { return cmd.Kind != model.ClearTask }) {
		// Clears can wait for the reply to the next heartbeat.
		return
	}
	m.dispatchInFlight = true
	m.heartbeatRequested = m.heartbeatRequested || requestsHeartbeat
	before := m.snapshot()
	generation := leader.generation
	request := message.WorkerRequest{
		Machine: m.id, Addr: m.addr, SendDeadline: dispatcher.controller.membership.leaseValidUntil,
		Epoch: m.commandEpoch, Incarnation: m.incarnation, Commands: commands, RequestsHeartbeat: requestsHeartbeat,
	}
	dispatcher.controller.requests.toWorker(request, func(response message.WorkerResponse) {
		if dispatcher.controller.shardLeader == nil || dispatcher.controller.shardLeader.generation != generation || m.removed {
			return
		}
		m.dispatchInFlight = false
		if requestsHeartbeat && !response.OK {
			m.heartbeatRequested = false
		}
		if response.NotSent {
			dispatcher.controller.markDispatchPending(m)
			return
		}
		if !dispatcher.controller.shardLeader.heartbeats.applyPollReply(m, response.Heartbeat, before) {
			m.dispatchUnanswered = true
		}
	})
}

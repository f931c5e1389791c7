package controller

import (
	"slices"
	"strings"
	"time"

	"github.com/micahill/micahill/internal/message"
	"github.com/micahill/micahill/internal/model"
	"github.com/micahill/micahill/internal/remote"
)

// maxCommands bounds the commands in one reply to a heartbeat or one request to a worker. The body
// may have 64 KiB, and a command takes about 70 bytes plus the job's name.
const maxCommands = 500

// dispatcher compares the tasks in a worker's newest heartbeat with the attempts that should run
// there, and derives the commands for the worker. It sends the commands that can't wait for the
// reply to the next heartbeat.
//
// It is part of a shardLeader, and its methods are called only while that shardLeader leads: by
// Step (dispatchAll) and for each heartbeat (pendingCommands). It has no state to hand over at
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

// noStartInFlight reports whether it is certain that no start for m is in flight. A worker that has
// restarted would also execute a start that was answered before the restart and arrives again, until
// it has seen a higher epoch.
func (dispatcher *dispatcher) noStartInFlight(m *machine) bool {
	return m.hasSeenEpoch() && !m.restartUnfenced() && m.unackedStartEpoch == 0 && m.replySequence == 0 && !m.dispatchInFlight
}

// waitsForStartProof reports whether an unanswered start keeps the machine from being settled: it
// has a task to clear or an attempt to give up, which is possible only when no start is in flight.
func (machine *machine) waitsForStartProof(registry *remote.Registry) bool {
	if registry.HasUnreported(machine.id) {
		return true
	}
	for _, t := range machine.attempts {
		if t.stopReason != stopNone {
			return true
		}
	}
	for _, report := range machine.taskReports {
		if report.Status == model.Ended {
			return true
		}
	}
	return false
}

// reconcile returns the commands that bring the worker from the state in its newest heartbeat to
// the state that it should have. Commands may be repeated, with one exception: a start that arrives
// after the clear of the same attempt would run it again. So a clear waits until no start can be in
// flight, and is sent under an epoch above that of every earlier start; see start_fence.go.
func (dispatcher *dispatcher) reconcile(m *machine) []model.TaskCommand {
	return dispatcher.pendingCommands(m, m.settled())
}

// pendingCommands is like reconcile, for a caller that knows whether the machine is settled.
func (dispatcher *dispatcher) pendingCommands(m *machine, settled bool) []model.TaskCommand {
	m.dispatchPending, m.hasNewStarts = false, false
	if settled {
		return nil
	}
	noStartInFlight := dispatcher.noStartInFlight(m)
	commands, clears := dispatcher.commandsForReports(m, noStartInFlight)
	commands = dispatcher.appendStarts(commands, m, noStartInFlight)
	// Clears come last and only up to maxCommands: thousands of short tasks may have ended on the
	// machine, and starts and stops must not wait for their clears. The remaining clears go with
	// the reply to the next heartbeat.
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

// appendStarts appends the starts of attempts that are durable and that the worker does not report
// yet.
func (dispatcher *dispatcher) appendStarts(commands []model.TaskCommand, m *machine, noStartInFlight bool) []model.TaskCommand {
	mayClear := noStartInFlight && m.commandEpoch > m.lastStartEpoch
	for _, key := range sortedAttempts(m) {
		if dispatcher.now.After(dispatcher.controller.renewal.startDeadline()) {
			// A job may have been cancelled without the knowledge of this controller.
			break
		}
		if len(commands) >= maxCommands {
			// The remaining starts go with the next commands.
			dispatcher.controller.markDispatchPending(m)
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
		t.startSent, m.lastStartEpoch = true, max(m.lastStartEpoch, m.commandEpoch)
		commands = append(commands, model.TaskCommand{Kind: model.StartTask, Job: key.job, Index: key.index, Attempt: t.attempt})
	}
	return commands
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

// dispatch sends the pending commands to m's worker without waiting for its next heartbeat. It
// sends nothing if all of the commands are clears, which can wait.
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
	commands := dispatcher.reconcile(m)
	if len(commands) == 0 {
		return
	}
	if !slices.ContainsFunc(commands, func(cmd model.TaskCommand) bool { return cmd.Kind != model.ClearTask }) {
		// Clears can wait for the reply to the next heartbeat.
		return
	}
	starts := slices.ContainsFunc(commands, func(cmd model.TaskCommand) bool { return cmd.Kind == model.StartTask })
	sendDeadline := dispatcher.controller.membership.leaseValidUntil
	if starts {
		sendDeadline = earlier(dispatcher.controller.renewal.startDeadline(), dispatcher.controller.ranking.startDispatchDeadline(m))
	}
	m.dispatchInFlight = true
	before := m.snapshot()
	epoch, generation := m.commandEpoch, leader.generation
	request := message.WorkerRequest{
		Machine: m.id, Addr: m.addr, SendDeadline: sendDeadline,
		Epoch: epoch, Incarnation: m.incarnation, Commands: commands,
	}
	dispatcher.controller.requests.toWorker(request, func(response message.WorkerResponse) {
		if dispatcher.controller.shardLeader == nil || dispatcher.controller.shardLeader.generation != generation || m.removed {
			return
		}
		m.dispatchInFlight = false
		if response.NotSent {
			dispatcher.controller.markDispatchPending(m)
			return
		}
		if !dispatcher.controller.shardLeader.heartbeats.applyPollReply(m, response.Heartbeat, before) {
			m.dispatchUnanswered = true
			if starts {
				m.unackedStartEpoch = max(m.unackedStartEpoch, epoch)
				dispatcher.controller.ranking.noteUnansweredStarts(m, commands)
			}
		}
	})
}

package controller

import (
	"slices"
	"strings"
	"time"

	"github.com/micahill/micahill/internal/message"
	"github.com/micahill/micahill/internal/model"
	"github.com/micahill/micahill/internal/remote"
)

// maxCommands bounds the commands in one answer or request to a worker, whose body may have
// 64 KiB: a command takes some 70 bytes and its job's name.
const maxCommands = 500

// dispatcher decides which commands a worker gets, from its newest heartbeat and from what
// should run there, and sends those that can't wait for the next heartbeat.
//
// It is part of a shardLeader and its methods are called only while that one leads: by Step
// (dispatchAll) and with each heartbeat (pendingCommands). It has nothing to hand over at
// failover: a successor reconciles from the records and the heartbeats.
//
// Invariant: a start is sent only for a durable attempt, and only as long as this
// controller would know in time of a cancellation.
type dispatcher struct {
	component

	// dirtyMachines are those with dispatchPending set.
	dirtyMachines []*machine
}

// markDispatchPending notes that there may be commands for m. To go through all machines
// after every batch of inputs would cost a large pool more than its heartbeats do.
func (c *Controller) markDispatchPending(m *machine) {
	if s := c.shardLeader; s != nil && !m.dispatchPending {
		m.dispatchPending = true
		s.dispatcher.addDirty(m)
	}
}

// addDirty has dispatchAll look at m.
func (d *dispatcher) addDirty(m *machine) { d.dirtyMachines = append(d.dirtyMachines, m) }

// dispatchAll sends the commands that are due.
func (d *dispatcher) dispatchAll() {
	if len(d.dirtyMachines) == 0 {
		return
	}
	slices.SortFunc(d.dirtyMachines, func(a, b *machine) int { return strings.Compare(a.id, b.id) })
	machines := d.dirtyMachines
	d.dirtyMachines = nil
	for _, m := range machines {
		if m.removed {
			continue
		}
		if m.dispatchPending {
			d.dispatch(m)
		}
		if m.dispatchPending {
			d.dirtyMachines = append(d.dirtyMachines, m)
		}
	}
}

// noStartInFlight says that no start for m is in flight.
func (d *dispatcher) noStartInFlight(m *machine) bool {
	return m.seenEpoch >= m.epoch && m.unackedStartEpoch == 0 && m.replySequence == 0 && !m.dispatchInFlight
}

// waitsForStartProof says that a start without an answer keeps m from being settled: something
// there can only be cleared or given up when no start is in flight.
func (m *machine) waitsForStartProof(registry *remote.Registry) bool {
	if registry.HasUnreported(m.id) {
		return true
	}
	for _, t := range m.attempts {
		if t.stopReason != stopNone {
			return true
		}
	}
	for _, p := range m.taskReports {
		if p.Status == model.Ended {
			return true
		}
	}
	return false
}

// reconcile is what the worker has to do, from its newest heartbeat and what should run
// there. A repeated command does no harm, except for a start after its clear: so a clear
// waits until no start can be in flight.
func (d *dispatcher) reconcile(m *machine) []model.TaskCommand {
	return d.pendingCommands(m, m.settled())
}

// pendingCommands is reconcile for a caller that knows whether the machine is settled.
func (d *dispatcher) pendingCommands(m *machine, settled bool) []model.TaskCommand {
	m.dispatchPending, m.hasNewStarts = false, false
	if settled {
		return nil
	}
	noStartInFlight := d.noStartInFlight(m)
	commands, clears := d.commandsForReports(m, noStartInFlight)
	commands = d.appendStarts(commands, m, noStartInFlight)
	// Clears come last, as far as there is space: thousands of short tasks may have ended
	// here, and starts and stops must not wait for them. The rest goes with the answer to
	// the next heartbeat.
	return append(commands, clears[:min(len(clears), max(0, maxCommands-len(commands)))]...)
}

// commandsForReports is what has to happen to the tasks that the worker reports. Clears that
// nothing waits for are returned apart.
func (d *dispatcher) commandsForReports(m *machine, noStartInFlight bool) (commands, clears []model.TaskCommand) {
	s := d.controller.shardLeader
	for _, k := range sortedTasks(m.taskReports) {
		if len(commands) >= maxCommands {
			d.controller.markDispatchPending(m)
			break
		}
		p := m.taskReports[k]
		var cmd model.TaskCommand
		var needed, canWait bool
		if j := s.jobs[k.job]; j == nil {
			cmd, needed = s.remoteAttempts.commandForOthers(m, p, noStartInFlight)
			canWait = cmd.Kind == model.ClearTask
		} else {
			cmd, needed = d.commandForReport(m, j, k, p, noStartInFlight)
			// A clear is urgent if another attempt of the task is to start here.
			canWait = cmd.Kind == model.ClearTask && m.attempts[k] == nil
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

// commandForReport is what has to happen to a reported task of a job of this shard leader, and
// false for nothing.
func (d *dispatcher) commandForReport(m *machine, j *job, k taskKey, p model.TaskReport, noStartInFlight bool) (model.TaskCommand, bool) {
	var t *task
	if k.index < len(j.tasks) {
		t = &j.tasks[k.index]
	}
	cmd := model.TaskCommand{Job: k.job, Index: k.index, Attempt: p.Attempt}
	isCurrent := t != nil && t.machine == m && t.attempt == p.Attempt
	switch {
	case isCurrent && t.stopReason != stopNone && p.Status == model.Checkpointing && d.gracePeriod(m, j, t) > 0:
		// It is writing its checkpoint already.
		return cmd, false
	case isCurrent && t.stopReason != stopNone && p.Status != model.Ended:
		cmd.Kind, cmd.GracePeriod = model.StopTask, d.gracePeriod(m, j, t)
	case isCurrent:
		return cmd, false
	case p.Status != model.Ended:
		cmd.Kind = model.StopTask
	case noStartInFlight && (t == nil || j.durable(k.index)):
		cmd.Kind = model.ClearTask
	default:
		return cmd, false
	}
	return cmd, true
}

// appendStarts adds the starts of attempts that are durable and that the worker does not
// report yet.
func (d *dispatcher) appendStarts(commands []model.TaskCommand, m *machine, noStartInFlight bool) []model.TaskCommand {
	for _, k := range sortedAttempts(m) {
		if d.now.After(d.controller.renewal.startDeadline()) {
			// A job may have been cancelled without this controller learning of it.
			break
		}
		if len(commands) >= maxCommands {
			// The rest goes with the next commands.
			d.controller.markDispatchPending(m)
			break
		}
		t := m.attempts[k]
		j := d.controller.shardLeader.jobs[k.job]
		if t.stopReason != stopNone || !j.durable(k.index) || j.dependenciesPending || !j.mayStart(d.now) {
			continue
		}
		if p, ok := m.taskReports[k]; ok && (p.Attempt == t.attempt || p.Status != model.Ended) {
			// It runs, or an earlier attempt of it has not ended.
			continue
		}
		if !d.controller.ranking.mayDispatchStart(m, j, k.index, noStartInFlight) {
			continue
		}
		t.startSent = true
		commands = append(commands, model.TaskCommand{Kind: model.StartTask, Job: k.job, Index: k.index, Attempt: t.attempt})
	}
	return commands
}

// settled says that the machine runs what it should, so that there are no commands for it.
func (m *machine) settled() bool {
	if len(m.attempts) != len(m.taskReports) {
		return false
	}
	for k, t := range m.attempts {
		p, ok := m.taskReports[k]
		if !ok || p.Attempt != t.attempt || t.stopReason != stopNone || p.Status == model.Ended {
			return false
		}
	}
	return true
}

// gracePeriod is the time that a stopped task gets for its checkpoint.
func (d *dispatcher) gracePeriod(m *machine, j *job, t *task) time.Duration {
	if j.CheckpointInterval <= 0 || t.stopReason == stopCancel {
		return 0
	}
	if m.reclaimNoticed && d.now.Add(j.CheckpointCost).After(m.reclaimAt) {
		return 0
	}
	// A second more, so that rounding does not lose the work.
	return j.CheckpointCost + time.Second
}

// dispatch sends commands to the worker at once, without waiting for its heartbeat.
func (d *dispatcher) dispatch(m *machine) {
	s := d.controller.shardLeader
	if m.remote {
		// Its owner gets a request.
		m.dispatchPending = false
		s.remoteAttempts.requestSoon()
		return
	}
	if m.dispatchInFlight || m.statusRequested || m.dispatchUnanswered || m.releasing || m.addr == "" || !m.heard {
		return
	}
	if d.now.After(d.controller.membership.leaseValidUntil) {
		// Perhaps another controller leads by now. Heartbeats are answered a while longer.
		return
	}
	commands := d.reconcile(m)
	if len(commands) == 0 {
		return
	}
	if !slices.ContainsFunc(commands, func(cmd model.TaskCommand) bool { return cmd.Kind != model.ClearTask }) {
		// Clears can wait for the answer to the next heartbeat.
		return
	}
	starts := slices.ContainsFunc(commands, func(cmd model.TaskCommand) bool { return cmd.Kind == model.StartTask })
	until := d.controller.membership.leaseValidUntil
	if starts {
		until = earlier(d.controller.renewal.startDeadline(), d.controller.ranking.startDispatchDeadline(m))
	}
	m.dispatchInFlight = true
	before := m.snapshot()
	epoch, gen := m.epoch, s.generation
	request := message.WorkerRequest{
		Machine: m.id, Addr: m.addr, SendDeadline: until,
		Epoch: epoch, Incarnation: m.incarnation, Commands: commands,
	}
	d.controller.requests.toWorker(request, func(response message.WorkerResponse) {
		if d.controller.shardLeader == nil || d.controller.shardLeader.generation != gen || m.removed {
			return
		}
		m.dispatchInFlight = false
		if response.NotSent {
			d.controller.markDispatchPending(m)
			return
		}
		if !d.controller.shardLeader.heartbeats.applyPollReply(m, response.Heartbeat, before) {
			m.dispatchUnanswered = true
			if starts {
				m.unackedStartEpoch = max(m.unackedStartEpoch, epoch)
				d.controller.ranking.noteUnansweredStarts(m, commands)
			}
		}
	})
}

package controller

import (
	"slices"
	"strings"
	"time"

	"github.com/micahill/micahill/internal/message"
	"github.com/micahill/micahill/internal/model"
	"github.com/micahill/micahill/internal/remote"
)

// markDispatchPending notes that orders may be due for m. Going through all machines after
// every batch of commands would cost a large pool more than its reports do.
func (c *Controller) markDispatchPending(m *machine) {
	if o := c.shardLeader; o != nil && !m.dispatchPending {
		m.dispatchPending = true
		o.dispatcher.dirtyMachines = append(o.dispatcher.dirtyMachines, m)
	}
}

// dispatchAll sends the orders that are due.
func (d *dispatcher) dispatchAll() {
	o := d.controller.shardLeader
	if len(o.dispatcher.dirtyMachines) == 0 {
		return
	}
	slices.SortFunc(o.dispatcher.dirtyMachines, func(a, b *machine) int { return strings.Compare(a.id, b.id) })
	now := o.dispatcher.dirtyMachines
	o.dispatcher.dirtyMachines = nil
	for _, m := range now {
		if m.removed {
			continue
		}
		if m.dispatchPending {
			d.dispatch(m)
		}
		if m.dispatchPending {
			o.dispatcher.dirtyMachines = append(o.dispatcher.dirtyMachines, m)
		}
	}
}

// noStartInFlight says that no start for m is on its way anywhere.
func (d *dispatcher) noStartInFlight(m *machine) bool {
	return m.seenEpoch >= m.epoch && m.unackedStartEpoch == 0 && m.replySequence == 0 && !m.dispatchInFlight
}

// waitsForStartProof says that a start without an answer keeps m from being settled.
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

// maxCommands bounds the orders of one answer or request to a worker, whose body may
// have 64 KiB: an order takes some 70 bytes and its job's name.
const maxCommands = 500

// reconcile is what the worker has to be told, from its newest report and what
// should be there. Repeating an order does no harm but for a start after its
// clear, so clear waits until no start can be on its way.
func (d *dispatcher) reconcile(m *machine) []model.TaskCommand {
	return d.pendingCommands(m, m.settled())
}

// pendingCommands is reconcile for who has looked already whether the machine is settled.
func (d *dispatcher) pendingCommands(m *machine, settled bool) []model.TaskCommand {
	o := d.controller.shardLeader
	m.dispatchPending, m.hasNewStarts = false, false
	if settled {
		return nil
	}
	// Clearing up comes last, with the room that is left: thousands of short tasks may
	// have ended here, and what is to start or stop is not to wait behind them. What is
	// left of it goes with the next report's answer.
	var commands, clears []model.TaskCommand
	noStartInFlight := d.noStartInFlight(m)
	for _, k := range sortedTasks(m.taskReports) {
		if len(commands) >= maxCommands {
			d.controller.markDispatchPending(m)
			break
		}
		p := m.taskReports[k]
		j := o.jobs[k.job]
		var t *task
		if j != nil && k.index < len(j.tasks) {
			t = &j.tasks[k.index]
		}
		if j == nil {
			if cmd, some := d.controller.shardLeader.remoteAttempts.commandForOthers(m, p, noStartInFlight); some && cmd.Kind == model.ClearTask {
				clears = append(clears, cmd)
			} else if some {
				commands = append(commands, cmd)
			}
			continue
		}
		isCurrent := t != nil && t.machine == m && t.attempt == p.Attempt
		switch {
		case isCurrent && t.stopReason != stopNone && p.Status == model.Checkpointing && d.gracePeriod(m, j, t) > 0:
			// It saves already.
		case isCurrent && t.stopReason != stopNone && p.Status != model.Ended:
			commands = append(commands, model.TaskCommand{Kind: model.StopTask, Job: k.job, Index: k.index, Attempt: p.Attempt, GracePeriod: d.gracePeriod(m, j, t)})
		case isCurrent:
		case p.Status != model.Ended:
			commands = append(commands, model.TaskCommand{Kind: model.StopTask, Job: k.job, Index: k.index, Attempt: p.Attempt})
		case noStartInFlight && (t == nil || j.durable(k.index)):
			cmd := model.TaskCommand{Kind: model.ClearTask, Job: k.job, Index: k.index, Attempt: p.Attempt}
			if m.attempts[k] != nil {
				// Another attempt of it is to start here.
				commands = append(commands, cmd)
			} else {
				clears = append(clears, cmd)
			}
		}
	}
	for _, k := range sortedAttempts(m) {
		if d.now.After(d.controller.renewal.startDeadline()) {
			// A job may have been cancelled that this node can't hear of.
			break
		}
		if len(commands) >= maxCommands {
			// The rest goes with the next.
			d.controller.markDispatchPending(m)
			break
		}
		t := m.attempts[k]
		j := o.jobs[k.job]
		if t.stopReason != stopNone || !j.durable(k.index) || j.dependenciesPending || !j.mayStart(d.now) {
			continue
		}
		if p, ok := m.taskReports[k]; ok && p.Attempt == t.attempt {
			continue
		} else if ok && p.Status != model.Ended {
			continue
		}
		if !d.controller.ranking.mayDispatchStart(m, j, k.index, noStartInFlight) {
			continue
		}
		t.startSent = true
		commands = append(commands, model.TaskCommand{Kind: model.StartTask, Job: k.job, Index: k.index, Attempt: t.attempt})
	}
	return append(commands, clears[:min(len(clears), max(0, maxCommands-len(commands)))]...)
}

// settled says that what is there is what should be, so that there is nothing
// to order.
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

// gracePeriod is the time a stopped task gets to save.
func (d *dispatcher) gracePeriod(m *machine, j *job, t *task) time.Duration {
	if j.CheckpointInterval <= 0 || t.stopReason == stopCancel {
		return 0
	}
	if m.reclaimNoticed && d.now.Add(j.CheckpointCost).After(m.reclaimAt) {
		return 0
	}
	// A little over the cost, so that rounding does not lose the work.
	return j.CheckpointCost + time.Second
}

// dispatch sends orders to the worker at once, without waiting for its report.
func (dd *dispatcher) dispatch(m *machine) {
	o := dd.controller.shardLeader
	if m.remote {
		// Its owner is asked.
		m.dispatchPending = false
		o.remoteAttempts.due = true
		return
	}
	if m.dispatchInFlight || m.statusRequested || m.dispatchUnanswered || m.releasing || m.addr == "" || !m.heard {
		return
	}
	if dd.now.After(dd.controller.membership.leaseValidUntil) {
		// Perhaps deposed already; reports go on being answered for a while.
		return
	}
	commands := dd.reconcile(m)
	if len(commands) == 0 {
		return
	}
	if !slices.ContainsFunc(commands, func(o model.TaskCommand) bool { return o.Kind != model.ClearTask }) {
		// Clearing up can wait for the next report's answer.
		return
	}
	starts := slices.ContainsFunc(commands, func(o model.TaskCommand) bool { return o.Kind == model.StartTask })
	until := dd.controller.membership.leaseValidUntil
	if starts {
		until = earlier(dd.controller.renewal.startDeadline(), dd.controller.ranking.startDispatchDeadline(m))
	}
	m.dispatchInFlight = true
	before := m.snapshot()
	epoch, gen := m.epoch, o.generation
	dd.controller.requests.toWorker(message.WorkerRequest{Machine: m.id, Addr: m.addr, SendDeadline: until, Epoch: epoch, Incarnation: m.incarnation, Commands: commands}, func(d message.WorkerResponse) {
		if dd.controller.shardLeader == nil || dd.controller.shardLeader.generation != gen || m.removed {
			return
		}
		m.dispatchInFlight = false
		if d.NotSent {
			dd.controller.markDispatchPending(m)
			return
		}
		if !dd.controller.shardLeader.heartbeats.applyPollReply(m, d.Heartbeat, before) {
			m.dispatchUnanswered = true
			if starts {
				m.unackedStartEpoch = max(m.unackedStartEpoch, epoch)
				dd.controller.ranking.noteUnansweredStarts(m, commands)
			}
		}
	})
}

// dispatcher TODO.
type dispatcher struct {
	component

	dirtyMachines []*machine
}

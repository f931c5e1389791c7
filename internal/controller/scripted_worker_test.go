package controller_test

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
	"github.com/micahill/micahill/internal/message"
	"github.com/micahill/micahill/internal/model"
)

// scriptedWorker is a machine and the state of its worker. A kept worker is one whose heartbeat
// the scenario line "keep" repeats.
type scriptedWorker struct {
	id, zone              string
	incarnation, sequence uint64
	// epoch is the highest epoch that the worker has seen.
	epoch uint64
	// failed, released and unlisted decide how the cloud lists the machine.
	failed, released, unlisted bool
	// unreachable: the heartbeats of a kept worker arrive, but no answer or command reaches the
	// worker.
	unreachable bool
	// repeat sends the heartbeat of a kept worker again, with the scenario arguments in
	// repeated. repeatedAt is when it was last sent.
	repeat     func()
	repeated   *datadriven.TestData
	repeatedAt time.Time
	// resend sends the latest heartbeat again with the next sequence number.
	resend func() *datadriven.TestData
	// reported are the scenario arguments of the heartbeat while the worker reports a higher
	// epoch.
	reported *datadriven.TestData
}

// sortedMachines returns the machines in the order of their IDs.
func (h *harness) sortedMachines() []*scriptedWorker {
	var out []*scriptedWorker
	for _, worker := range h.machines {
		out = append(out, worker)
	}
	slices.SortFunc(out, func(x, y *scriptedWorker) int { return strings.Compare(x.id, y.id) })
	return out
}

// handleWorkerRequest answers a poll if the worker answers without the scenario: a kept worker,
// or one that has just learnt a higher epoch. All other polls and all commands wait for the
// scenario.
func (c *harnessController) handleWorkerRequest(e message.WorkerRequest) {
	h := c.harness
	worker := h.machines[e.Machine]
	said := worker.repeated
	if worker.reported != nil {
		said = worker.reported
	}
	if said == nil || len(e.Commands) > 0 || worker.unreachable {
		c.workerCommands = append(c.workerCommands, workerCommand{e, h.now})
		return
	}
	worker.epoch = max(worker.epoch, e.Epoch)
	heartbeat := h.newHeartbeat(said, worker)
	c.push(message.WorkerResponse{ID: e.ID, OK: true, Heartbeat: &heartbeat})
}

// handleHeartbeatReply gives the worker the epoch of an answer to its heartbeat, and prints the
// answer.
func (c *harnessController) handleHeartbeatReply(e message.HeartbeatReply) {
	h := c.harness
	if worker := h.ignoredReplies[e.Reply]; worker != nil {
		delete(h.ignoredReplies, e.Reply)
		h.handleIgnoredReply(worker, e)
		return
	}
	worker := h.machines[c.replyNames[e.Reply]]
	text := fmt.Sprint(e.Status)
	if e.Status == 200 {
		switch {
		case worker == nil:
			// The heartbeat was a copy, so no worker waits for the answer.
		case e.Epoch < worker.epoch:
			text += " dropped"
		case e.Epoch > worker.epoch && worker.resend != nil:
			// The worker reports a higher epoch at once, and the answer to that
			// heartbeat is printed instead.
			worker.epoch = e.Epoch
			worker.reported = worker.resend()
			return
		default:
			worker.epoch = e.Epoch
		}
		text += formatCommands(e.Commands)
	}
	if e.MachineOwner != "" {
		text += " to " + e.MachineOwner
	}
	h.print(fmt.Sprintf("%s %s", c.replyNames[e.Reply], text))
}

// handleIgnoredReply handles an answer to the heartbeat of a kept worker. It prints only
// commands that start a task, and answers that do not reach the worker.
func (h *harness) handleIgnoredReply(worker *scriptedWorker, e message.HeartbeatReply) {
	if worker.unreachable {
		h.printOnce(fmt.Sprintf("%s %d in vain", worker.id, e.Status))
		return
	}
	worker.epoch = max(worker.epoch, e.Epoch)
	if text := formatCommands(e.Commands); strings.Contains(text, " start ") {
		h.printOnce(worker.id + text)
	}
}

// newHeartbeat returns the worker's next heartbeat with the arguments of the scenario line:
// tenure= sets the incarnation, tick= the sequence number, newer raises the epoch, and
// tasks=(job/0#1=running,job/1-3#1=fetching) lists the tasks.
func (h *harness) newHeartbeat(d *datadriven.TestData, worker *scriptedWorker) model.Heartbeat {
	h.t.Helper()
	uintArg(h.t, d, "tenure", &worker.incarnation)
	worker.sequence++
	r := model.Heartbeat{Machine: worker.id, Addr: worker.id, MachineType: "box", Zone: worker.zone, Incarnation: worker.incarnation, Sequence: worker.sequence, Epoch: worker.epoch, ReclaimIn: -1}
	uintArg(h.t, d, "tick", &r.Sequence)
	worker.sequence = max(worker.sequence, r.Sequence)
	if d.HasArg("newer") {
		// The worker has seen a higher epoch than any that this store has assigned.
		r.Epoch += 1000
	}
	for _, a := range d.CmdArgs {
		if a.Key != "tasks" {
			continue
		}
		for _, v := range a.Vals {
			r.Tasks = append(r.Tasks, parseTaskReports(h.t, d, v)...)
		}
	}
	return r
}

// parseTaskReports parses job/0#1=status or job/0-3#1=status: the job, the index or the first
// and last index, the attempt and the status.
func parseTaskReports(t *testing.T, d *datadriven.TestData, text string) []model.TaskReport {
	t.Helper()
	name, status, ok := strings.Cut(text, "=")
	task := model.TaskReport{}
	last := 0
	if _, err := fmt.Sscanf(strings.NewReplacer("/", " ", "-", " ", "#", " ").Replace(name), "%s %d %d %d", &task.Job, &task.Index, &last, &task.Attempt); err != nil || !ok {
		if _, err := fmt.Sscanf(strings.NewReplacer("/", " ", "#", " ").Replace(name), "%s %d %d", &task.Job, &task.Index, &task.Attempt); err != nil || !ok {
			d.Fatalf(t, "tasks: got %q, want job/0#1=status or job/0-3#1=status", text)
		}
		last = task.Index
	}
	switch status {
	case "fetching":
		task.Status = model.Fetching
	case "running":
		task.Status = model.Running
	case "flushing":
		task.Status = model.Checkpointing
	default:
		task.Status, task.Cause = model.Ended, status
	}
	var out []model.TaskReport
	for ; task.Index <= last; task.Index++ {
		out = append(out, task)
	}
	return out
}

// uintArg stores the argument key in v if the scenario line has it.
func uintArg(t *testing.T, d *datadriven.TestData, key string, v *uint64) {
	t.Helper()
	if d.HasArg(key) {
		d.ScanArgs(t, key, v)
	}
}

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
	// unreachable: the heartbeats of a kept worker arrive, but no reply or command reaches the
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
	// tasks are the tasks that the worker listed last.
	tasks []model.TaskReport
}

// sortedMachines returns the machines in the order of their IDs.
func (harness *harness) sortedMachines() []*scriptedWorker {
	var out []*scriptedWorker
	for _, worker := range harness.machines {
		out = append(out, worker)
	}
	slices.SortFunc(out, func(x, y *scriptedWorker) int { return strings.Compare(x.id, y.id) })
	return out
}

// handleWorkerRequest answers a poll if the worker answers without the scenario: a kept worker,
// or one that has just learnt a higher epoch. All other polls and all commands wait for the
// scenario.
func (node *harnessController) handleWorkerRequest(request message.WorkerRequest) {
	harness := node.harness
	worker := harness.machines[request.Machine]
	data := worker.repeated
	if worker.reported != nil {
		data = worker.reported
	}
	if data == nil || (workerCommand{WorkerRequest: request}).isCommand() || worker.unreachable {
		node.workerCommands = append(node.workerCommands, workerCommand{request, harness.now})
		return
	}
	worker.epoch = max(worker.epoch, request.Epoch)
	heartbeat := harness.newHeartbeat(data, worker)
	node.push(message.WorkerResponse{ID: request.ID, OK: true, Heartbeat: &heartbeat})
}

// handleHeartbeatReply gives the worker the epoch of a reply to its heartbeat, and prints the
// reply.
func (node *harnessController) handleHeartbeatReply(reply message.HeartbeatReply) {
	harness := node.harness
	if worker := harness.ignoredReplies[reply.Reply]; worker != nil {
		delete(harness.ignoredReplies, reply.Reply)
		harness.handleIgnoredReply(worker, reply)
		return
	}
	worker := harness.machines[node.replyNames[reply.Reply]]
	text := fmt.Sprint(reply.Status)
	if reply.Status == 200 {
		switch {
		case worker == nil:
			// The heartbeat was a copy, so no worker waits for the reply.
		case reply.Epoch < worker.epoch:
			text += " dropped"
		case reply.Epoch > worker.epoch && worker.resend != nil:
			// The worker reports a higher epoch at once, and the reply to that
			// heartbeat is printed instead.
			worker.epoch = reply.Epoch
			worker.reported = worker.resend()
			return
		default:
			worker.epoch = reply.Epoch
			node.noteStarts(worker, reply)
		}
		text += formatCommands(reply.Commands)
	}
	if reply.MachineOwner != "" {
		text += " to " + reply.MachineOwner
	}
	harness.print(fmt.Sprintf("%s %s", node.replyNames[reply.Reply], text))
}

// noteStarts records a reply with starts as the direct request with which former versions of the
// controller sent them, for the scenario line again.
func (node *harnessController) noteStarts(worker *scriptedWorker, reply message.HeartbeatReply) {
	if strings.Contains(formatCommands(reply.Commands), " start ") {
		request := message.WorkerRequest{Machine: worker.id, Epoch: reply.Epoch, Incarnation: worker.incarnation, Commands: reply.Commands}
		node.answeredCommands = append(node.answeredCommands, workerCommand{request, node.harness.now})
	}
}

// handleIgnoredReply handles a reply to the heartbeat of a kept worker. It prints only
// commands that start a task, and replies that do not reach the worker.
func (harness *harness) handleIgnoredReply(worker *scriptedWorker, reply message.HeartbeatReply) {
	if worker.unreachable {
		harness.printOnce(fmt.Sprintf("%s %d in vain", worker.id, reply.Status))
		return
	}
	worker.epoch = max(worker.epoch, reply.Epoch)
	if text := formatCommands(reply.Commands); strings.Contains(text, " start ") {
		harness.printOnce(worker.id + text)
	}
}

// newHeartbeat returns the worker's next heartbeat with the arguments of the scenario line:
// tenure= sets the incarnation, tick= the sequence number, newer raises the epoch, and
// tasks=(job/0#1=running,job/1-3#1=fetching) lists the tasks.
func (harness *harness) newHeartbeat(data *datadriven.TestData, worker *scriptedWorker) model.Heartbeat {
	harness.t.Helper()
	uintArg(harness.t, data, "tenure", &worker.incarnation)
	worker.sequence++
	heartbeat := model.Heartbeat{Machine: worker.id, Addr: worker.id, MachineType: "box", Zone: worker.zone, Incarnation: worker.incarnation, Sequence: worker.sequence, Epoch: worker.epoch, ReclaimIn: -1}
	uintArg(harness.t, data, "tick", &heartbeat.Sequence)
	worker.sequence = max(worker.sequence, heartbeat.Sequence)
	if data.HasArg("newer") {
		// The worker has seen a higher epoch than any that this store has assigned.
		heartbeat.Epoch += 1000
	}
	for _, argument := range data.CmdArgs {
		if argument.Key != "tasks" {
			continue
		}
		for _, value := range argument.Vals {
			heartbeat.Tasks = append(heartbeat.Tasks, parseTaskReports(harness.t, data, value)...)
		}
	}
	worker.tasks = heartbeat.Tasks
	return heartbeat
}

// parseTaskReports parses job/0#1=status or job/0-3#1=status: the job, the index or the first
// and last index, the attempt and the status.
func parseTaskReports(t *testing.T, data *datadriven.TestData, text string) []model.TaskReport {
	t.Helper()
	name, status, ok := strings.Cut(text, "=")
	task := model.TaskReport{}
	last := 0
	if _, err := fmt.Sscanf(strings.NewReplacer("/", " ", "-", " ", "#", " ").Replace(name), "%s %d %d %d", &task.Job, &task.Index, &last, &task.Attempt); err != nil || !ok {
		if _, err := fmt.Sscanf(strings.NewReplacer("/", " ", "#", " ").Replace(name), "%s %d %d", &task.Job, &task.Index, &task.Attempt); err != nil || !ok {
			data.Fatalf(t, "tasks: got %q, want job/0#1=status or job/0-3#1=status", text)
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

// uintArg stores the argument key in value if the scenario line has it.
func uintArg(t *testing.T, data *datadriven.TestData, key string, value *uint64) {
	t.Helper()
	if data.HasArg(key) {
		data.ScanArgs(t, key, value)
	}
}

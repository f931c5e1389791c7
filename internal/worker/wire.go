package worker

import (
	"strconv"
	"strings"

	"github.com/micahill/micahill/internal/message"
	"github.com/micahill/micahill/internal/model"
	"github.com/micahill/micahill/internal/record"
)

// TaskReport is the wire format of one attempt's state in a heartbeat.
type TaskReport struct {
	Task         string `msgpack:"piece"` // job ID, slash, task index
	Attempt      uint64 `msgpack:"try"`
	Status       string `msgpack:"status"`
	Cause        string `msgpack:"cause"`
	Checkpointed bool   `msgpack:"stored"`
}

// Heartbeat is the wire format of a heartbeat, as specified by the protocol's "POST /v1/report".
type Heartbeat struct {
	Machine     string       `msgpack:"host"`
	Address     string       `msgpack:"address"`
	MachineType string       `msgpack:"flavour"`
	Zone        string       `msgpack:"site"`
	Spot        bool         `msgpack:"loaner"`
	Incarnation uint64       `msgpack:"tenure"`
	Sequence    uint64       `msgpack:"tick"`
	Epoch       uint64       `msgpack:"epoch"`
	ReclaimS    *float64     `msgpack:"recall_s"` // seconds until the machine is reclaimed; nil without a notice
	Tasks       []TaskReport `msgpack:"pieces"`
}

// TaskCommand is the wire format of a command for one attempt of a task.
type TaskCommand struct {
	Kind         string   `msgpack:"verb"`
	Task         string   `msgpack:"piece"` // job ID, slash, task index
	Attempt      uint64   `msgpack:"try"`
	GracePeriodS *float64 `msgpack:"wind_down_s,omitempty"` // seconds; only in a command to stop
}

// TaskCommands is the wire format of commands that a controller sends to a worker, as specified by
// the protocol's "POST /orders".
type TaskCommands struct {
	Epoch       uint64        `msgpack:"epoch"`
	Incarnation uint64        `msgpack:"tenure"`
	Commands    []TaskCommand `msgpack:"orders"`
}

// Decode converts a heartbeat from its wire format. It omits tasks without a valid name. ReclaimIn is
// negative if the heartbeat has no reclaim notice.
func (heartbeat *Heartbeat) Decode() model.Heartbeat {
	decoded := model.Heartbeat{
		Machine: heartbeat.Machine, Addr: heartbeat.Address, MachineType: heartbeat.MachineType, Zone: heartbeat.Zone, Spot: heartbeat.Spot,
		Incarnation: heartbeat.Incarnation, Sequence: heartbeat.Sequence, Epoch: heartbeat.Epoch, ReclaimIn: -1,
	}
	if heartbeat.ReclaimS != nil {
		decoded.ReclaimIn = record.DurationOfSeconds(*heartbeat.ReclaimS)
	}
	for _, task := range heartbeat.Tasks {
		if task.Task == heartbeatRequestTask {
			decoded.Requested = true
			continue
		}
		job, index, ok := parseTask(task.Task)
		if !ok {
			continue
		}
		decoded.Tasks = append(decoded.Tasks, model.TaskReport{
			Job: job, Index: index, Attempt: task.Attempt, Status: decodeStatus(task.Status), Cause: task.Cause, CheckpointStored: task.Checkpointed,
		})
	}
	return decoded
}

// decodeStatus converts a task's status from its name on the wire.
func decodeStatus(status string) model.TaskStatus {
	switch status {
	case "fetching", "gathering":
		// A task that waits for the other tasks of its gang has not started to run either.
		return model.Fetching
	case "flushing":
		return model.Checkpointing
	case "ended":
		return model.Ended
	}
	// The status is "running", or one of a newer version of the protocol. In the latter case the
	// task is on the machine and has not ended, so it counts as running.
	return model.Running
}

// parseTask splits a task's name on the wire into the job ID and the task index. ok is whether the
// name is valid.
func parseTask(name string) (job string, index int, ok bool) {
	slash := strings.LastIndexByte(name, '/')
	if slash < 0 {
		return "", 0, false
	}
	index, err := strconv.Atoi(name[slash+1:])
	return name[:slash], index, err == nil && index >= 0
}

// heartbeatRequestTask and heartbeatRequestAttempt name the attempt with which a controller requests
// a heartbeat. The protocol has no command for that, but a worker sends a heartbeat when its tasks
// change, and it lists a start that it refuses. The name has not the form of a task's name, a job's ID
// and an index, so no task can have it and the worker refuses each start of it, however late or often
// it arrives. Controllers of former versions omit such a task from a heartbeat.
const (
	heartbeatRequestTask    = "heartbeat-request"
	heartbeatRequestAttempt = 1
)

// EncodeRequest converts the commands of a request to their wire format. A heartbeat is requested by
// clearing and starting the attempt heartbeatRequestTask, so that the list changes even if an earlier
// request is still listed.
func EncodeRequest(request message.WorkerRequest) []TaskCommand {
	encoded := EncodeCommands(request.Commands)
	if request.RequestsHeartbeat {
		encoded = append(encoded, heartbeatRequestCommand(model.ClearTask), heartbeatRequestCommand(model.StartTask))
	}
	return encoded
}

// EncodeReply converts the commands of a reply to a heartbeat to their wire format.
func EncodeReply(reply message.HeartbeatReply) []TaskCommand {
	encoded := EncodeCommands(reply.Commands)
	if reply.AcknowledgesRequest {
		encoded = append(encoded, heartbeatRequestCommand(model.ClearTask))
	}
	return encoded
}

// heartbeatRequestCommand returns a command for the attempt heartbeatRequestTask.
func heartbeatRequestCommand(kind model.TaskCommandKind) TaskCommand {
	return TaskCommand{Kind: encodeKind(kind), Task: heartbeatRequestTask, Attempt: heartbeatRequestAttempt}
}

// EncodeCommands converts commands to their wire format. The result is never nil, because workers
// expect a list and not a null.
func EncodeCommands(commands []model.TaskCommand) []TaskCommand {
	encodedCommands := make([]TaskCommand, 0, len(commands))
	for _, command := range commands {
		encoded := TaskCommand{Kind: encodeKind(command.Kind), Task: command.Job + "/" + strconv.Itoa(command.Index), Attempt: command.Attempt}
		if command.Kind == model.StopTask {
			seconds := command.GracePeriod.Seconds()
			encoded.GracePeriodS = &seconds
		}
		encodedCommands = append(encodedCommands, encoded)
	}
	return encodedCommands
}

// encodeKind returns the name on the wire of a kind of command.
func encodeKind(kind model.TaskCommandKind) string {
	switch kind {
	case model.StartTask:
		return "start"
	case model.StopTask:
		return "halt"
	case model.ClearTask:
		return "clear"
	}
	return string(kind)
}

package worker

import (
	"strconv"
	"strings"

	"github.com/micahill/micahill/internal/model"
	"github.com/micahill/micahill/internal/record"
)

// TaskReport is the state of one attempt in a heartbeat on the wire.
type TaskReport struct {
	Task         string `msgpack:"piece"` // job ID, slash, task index
	Attempt      uint64 `msgpack:"try"`
	Status       string `msgpack:"status"`
	Cause        string `msgpack:"cause"`
	Checkpointed bool   `msgpack:"stored"`
}

// Heartbeat is a heartbeat on the wire, as the protocol's "POST /v1/report" has it.
type Heartbeat struct {
	Machine     string       `msgpack:"host"`
	Address     string       `msgpack:"address"`
	MachineType string       `msgpack:"flavour"`
	Zone        string       `msgpack:"site"`
	Spot        bool         `msgpack:"loaner"`
	Incarnation uint64       `msgpack:"tenure"`
	Sequence    uint64       `msgpack:"tick"`
	Epoch       uint64       `msgpack:"epoch"`
	ReclaimS    *float64     `msgpack:"recall_s"` // nil without a reclaim notice
	Tasks       []TaskReport `msgpack:"pieces"`
}

// TaskCommand is a command on the wire.
type TaskCommand struct {
	Kind      string   `msgpack:"verb"`
	Task      string   `msgpack:"piece"` // job ID, slash, task index
	Attempt   uint64   `msgpack:"try"`
	WindDownS *float64 `msgpack:"wind_down_s,omitempty"` // of a stop only
}

// TaskCommands is the body of a direct request, as the protocol's "POST /orders" has it.
type TaskCommands struct {
	Epoch       uint64        `msgpack:"epoch"`
	Incarnation uint64        `msgpack:"tenure"`
	Commands    []TaskCommand `msgpack:"orders"`
}

// Decode converts a heartbeat from the wire. Tasks without a valid name are left out.
func (h *Heartbeat) Decode() model.Heartbeat {
	out := model.Heartbeat{
		Machine: h.Machine, Addr: h.Address, MachineType: h.MachineType, Zone: h.Zone, Spot: h.Spot,
		Incarnation: h.Incarnation, Sequence: h.Sequence, Epoch: h.Epoch, ReclaimIn: -1,
	}
	if h.ReclaimS != nil {
		out.ReclaimIn = record.DurationOfSeconds(*h.ReclaimS)
	}
	for _, task := range h.Tasks {
		job, index, ok := parseTask(task.Task)
		if !ok {
			continue
		}
		out.Tasks = append(out.Tasks, model.TaskReport{
			Job: job, Index: index, Attempt: task.Attempt, Status: decodeStatus(task.Status), Cause: task.Cause, CheckpointStored: task.Checkpointed,
		})
	}
	return out
}

func decodeStatus(status string) model.TaskStatus {
	switch status {
	case "fetching", "gathering":
		// A task that waits for the others of its gang has not begun either.
		return model.Fetching
	case "flushing":
		return model.Checkpointing
	case "ended":
		return model.Ended
	}
	// "running", or a status that a later protocol adds: on the machine, and not ended.
	return model.Running
}

// parseTask splits a task's name on the wire.
func parseTask(s string) (job string, index int, ok bool) {
	slash := strings.LastIndexByte(s, '/')
	if slash < 0 {
		return "", 0, false
	}
	index, err := strconv.Atoi(s[slash+1:])
	return s[:slash], index, err == nil && index >= 0
}

// EncodeCommands converts commands to their wire form. The result is not nil, as workers want a
// list.
func EncodeCommands(commands []model.TaskCommand) []TaskCommand {
	out := make([]TaskCommand, 0, len(commands))
	for _, c := range commands {
		command := TaskCommand{Kind: encodeKind(c.Kind), Task: c.Job + "/" + strconv.Itoa(c.Index), Attempt: c.Attempt}
		if c.Kind == model.StopTask {
			seconds := c.GracePeriod.Seconds()
			command.WindDownS = &seconds
		}
		out = append(out, command)
	}
	return out
}

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

package model

import (
	"fmt"
	"time"

	"github.com/micahill/micahill/internal/validate"
)

// TaskStatus is the state of an attempt on its machine, as the worker reports it.
type TaskStatus int

// The states of an attempt on its machine.
const (
	// Fetching attempts wait for their image, or for the rest of their gang.
	Fetching TaskStatus = iota
	// Running attempts execute their task.
	Running
	// Checkpointing attempts received a stop command and save their progress before they end.
	Checkpointing
	// Ended attempts have a cause. The worker reports them until it gets a ClearTask command.
	Ended
)

// String returns the state as a word, for messages.
func (s TaskStatus) String() string {
	names := [...]string{"fetching", "running", "checkpointing", "ended"}
	if s < 0 || int(s) >= len(names) {
		return fmt.Sprintf("TaskStatus(%d)", int(s))
	}
	return names[s]
}

// TaskReport describes one attempt in a worker's heartbeat.
type TaskReport struct {
	Job     string
	Index   int
	Attempt uint64
	Status  TaskStatus
	// Cause is the protocol's name for the reason why the attempt ended; "" if the attempt has
	// not ended.
	Cause string
	// CheckpointStored is true if the attempt saved its progress when the worker stopped it.
	CheckpointStored bool
}

// Heartbeat is the state that a worker reports, periodically and in response to a request.
type Heartbeat struct {
	Machine string
	// Addr is the worker's host and port.
	Addr        string
	MachineType string
	Zone        string
	Spot        bool
	// Incarnation starts at 1 and increases whenever the worker's lease expires. Sequence
	// increases with every heartbeat. Of two heartbeats, the one with the higher Incarnation is
	// newer; if the Incarnations are equal, the one with the higher Sequence is.
	Incarnation uint64
	Sequence    uint64
	// Epoch is the highest fencing epoch that the worker has seen.
	Epoch uint64
	// ReclaimIn is the time until the cloud reclaims the spot machine; negative if the cloud has
	// given no notice.
	ReclaimIn time.Duration
	// Requested is true if a controller has requested a heartbeat and no reply has acknowledged it.
	Requested bool
	// Tasks has all attempts on the machine, including ended ones that are not yet cleared.
	Tasks []TaskReport
}

// Validate returns a *validate.FieldError for the first invalid field of the heartbeat, or nil if
// the heartbeat is valid. The error has the field's name in the worker protocol.
func (heartbeat *Heartbeat) Validate() error {
	var check validate.Check
	check.Name("host", heartbeat.Machine, true)
	check.Name("address", heartbeat.Addr, false)
	check.Name("flavour", heartbeat.MachineType, false)
	check.Name("site", heartbeat.Zone, false)
	if heartbeat.ReclaimIn >= 0 {
		check.Amount("recall_s", heartbeat.ReclaimIn.Seconds())
	}
	for i := range heartbeat.Tasks {
		check.Name("piece", heartbeat.Tasks[i].Job, true)
		check.Count("piece", heartbeat.Tasks[i].Index, 0, validate.MaxTasks-1)
	}
	return check.Err()
}

// TaskCommandKind is the action that a worker performs on an attempt. The values are those of the
// worker protocol.
type TaskCommandKind string

// The kinds of commands to a worker.
const (
	// StartTask starts an attempt.
	StartTask TaskCommandKind = "start"
	// StopTask stops an attempt. A task with checkpoints saves its progress first, if the grace
	// period is long enough.
	StopTask TaskCommandKind = "halt"
	// ClearTask removes an ended attempt from the worker's heartbeats.
	ClearTask TaskCommandKind = "clear"
)

// TaskCommand is one command to a worker. Workers execute commands in order.
type TaskCommand struct {
	Kind    TaskCommandKind
	Job     string
	Index   int
	Attempt uint64
	// GracePeriod is how long the task may take to save its progress. Only StopTask uses it.
	GracePeriod time.Duration
}

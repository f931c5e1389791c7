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
	Running
	// Checkpointing attempts were told to stop and save their progress first.
	Checkpointing
	// Ended attempts have a cause; the worker keeps them until they are cleared.
	Ended
)

// String is the state in words, for messages.
func (s TaskStatus) String() string {
	names := [...]string{"fetching", "running", "checkpointing", "ended"}
	if s < 0 || int(s) >= len(names) {
		return fmt.Sprintf("TaskStatus(%d)", int(s))
	}
	return names[s]
}

// TaskReport is one attempt in a worker's heartbeat.
type TaskReport struct {
	Job     string
	Index   int
	Attempt uint64
	Status  TaskStatus
	// Cause is why the attempt ended, in the protocol's words, "" if it has not.
	Cause string
	// CheckpointStored says that the attempt saved its progress when it was stopped.
	CheckpointStored bool
}

// Heartbeat is a worker's state, as it sends it by itself and in answer to a request.
type Heartbeat struct {
	Machine string
	// Addr is the worker's host and port.
	Addr        string
	MachineType string
	Zone        string
	Spot        bool
	// Incarnation starts at 1 and increases whenever the worker's lease expires. Sequence
	// increases with every heartbeat; the one with the larger pair of both is the newer.
	Incarnation uint64
	Sequence    uint64
	// Epoch is the highest fencing epoch that the worker has seen.
	Epoch uint64
	// ReclaimIn is the time until the cloud takes the spot machine away; negative if it has
	// given no notice.
	ReclaimIn time.Duration
	// Tasks are all attempts on the machine, with those that ended and are not cleared.
	Tasks []TaskReport
}

// Validate returns the first thing that is wrong with a heartbeat as a *validate.FieldError, nil
// if it is valid. Fields have the names of the workers' protocol.
func (r *Heartbeat) Validate() error {
	var c validate.Check
	c.Name("host", r.Machine, true)
	c.Name("address", r.Addr, false)
	c.Name("flavour", r.MachineType, false)
	c.Name("site", r.Zone, false)
	if r.ReclaimIn >= 0 {
		c.Amount("recall_s", r.ReclaimIn.Seconds())
	}
	for i := range r.Tasks {
		c.Name("piece", r.Tasks[i].Job, true)
		c.Count("piece", r.Tasks[i].Index, 0, validate.MaxTasks-1)
	}
	return c.Err()
}

// TaskCommandKind is what a worker is to do with an attempt. Its values are the protocol's.
type TaskCommandKind string

// The kinds of commands to a worker.
const (
	StartTask TaskCommandKind = "start"
	// StopTask lets a task with checkpoints save its progress, if the grace period is long
	// enough for that.
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
	// GracePeriod belongs to StopTask: how long the task may take to save its progress.
	GracePeriod time.Duration
}

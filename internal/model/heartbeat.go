package model

import (
	"time"

	"github.com/micahill/micahill/internal/validate"
)

// TaskStatus is what a worker says of an attempt.
type TaskStatus int

// The states of an attempt on its machine.
const (
	Fetching TaskStatus = iota
	Running
	Checkpointing
	Ended
)

// TaskReport is one attempt in a worker's report.
type TaskReport struct {
	Job              string
	Index            int
	Attempt          uint64
	Status           TaskStatus
	Cause            string
	CheckpointStored bool
}

// Heartbeat is a worker's account of itself.
type Heartbeat struct {
	Machine     string
	Addr        string
	MachineType string
	Zone        string
	Spot        bool
	Incarnation uint64
	Sequence    uint64
	Epoch       uint64
	// ReclaimIn is negative without a notice.
	ReclaimIn time.Duration
	Tasks     []TaskReport
}

// TaskCommandKind is what a worker is told to do.
type TaskCommandKind string

// The verbs, by their meaning.
const (
	StartTask TaskCommandKind = "start"
	StopTask  TaskCommandKind = "halt"
	ClearTask TaskCommandKind = "clear"
)

// TaskCommand is one command to a worker.
type TaskCommand struct {
	Kind        TaskCommandKind
	Job         string
	Index       int
	Attempt     uint64
	GracePeriod time.Duration
}

// Validate is what is wrong with a report, "" for nothing.
func (r *Heartbeat) Validate() string {
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
	return c.Problem()
}

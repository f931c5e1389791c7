// Package model has what users, workers and the cloud speak of: jobs and their tasks, teams,
// machines and their types, heartbeats and commands. Its types have no behaviour beyond
// what their values mean, and no encoding: the packages at the edge translate them from and
// to their protocols, and package record from and to what is stored.
//
// Amounts of CPU are in virtual CPUs, of GPU in GPUs, and of memory in GB.
package model

import "time"

// Urgency orders jobs: a higher one is served first. Its numbers are stored.
type Urgency int

// The urgencies, the lowest first.
const (
	BestEffort Urgency = iota
	Normal
	Urgent
	Critical
)

// JobSpec is a job as its user described it.
type JobSpec struct {
	// ID is unique; the user chooses it.
	ID string
	// Workload is the class of jobs that objectives and run time estimates go by.
	Workload string
	Team     string
	// LongRunning jobs have replicas that run until the job is cancelled; the tasks of
	// others run to completion.
	LongRunning bool
	// Gang says that the tasks run only all together.
	Gang    bool
	Urgency Urgency
	// Tasks is how many there are; their indexes start at 0.
	Tasks int
	// Need is what each task takes of its machine.
	Need Resources
	// Image is what a machine must have fetched before a task can start, and ImageGB its
	// size.
	Image   string
	ImageGB float64
	// MachineTypes are those allowed; none means any.
	MachineTypes []string
	// Zone is the only one allowed, "" for any.
	Zone string
	// SameZone says that all tasks must be in one zone, and SpreadZones that at most half of
	// them, rounded up, may be.
	SameZone    bool
	SpreadZones bool
	// AllowSpot says that the tasks may run on spot machines.
	AllowSpot bool
	// ExpectedRunTime is the user's estimate of a task's run time without the image fetch,
	// often wrong by half; 0 for a long-running job.
	ExpectedRunTime time.Duration
	// CheckpointInterval is after how much progress a task saves a checkpoint; 0 for a task
	// that never does, and loses its work when it is stopped. CheckpointCost is how long it
	// takes to save when it is stopped.
	CheckpointInterval time.Duration
	CheckpointCost     time.Duration
	// Deadline is when the job should be done, counted from its submission; 0 for no deadline.
	Deadline time.Duration
	// Dependencies are the jobs that have to be done before any task of this one starts.
	Dependencies []string
}

// JobStatus is the state of a job that is stored. Whether a queued job runs is known only from
// its tasks.
type JobStatus string

// The states of a job. Their values are stored, and shown to users.
const (
	Queued    JobStatus = "queued"
	Cancelled JobStatus = "cancelled"
	Done      JobStatus = "done"
)

// IsFinal reports whether a job with the status never changes again.
func (s JobStatus) IsFinal() bool { return s == Cancelled || s == Done }

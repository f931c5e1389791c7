// Package model defines the domain types that the controller shares with users, workers and the
// cloud: jobs and their tasks, teams, machines and machine types, heartbeats and commands. The
// types have no encoding of their own: the packages that implement a protocol convert them to and
// from that protocol, and package record converts them to and from stored records.
//
// CPU is in virtual CPUs, GPU in GPUs, and memory in GB.
package model

import (
	"slices"
	"time"
)

// Urgency is the priority of a job: a job with a higher urgency is served first. Its numeric values
// are stored.
type Urgency int

// The urgencies, in ascending order.
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
	// Workload is the class of jobs to which the job belongs. Objectives and run time estimates
	// are kept for each workload.
	Workload string
	Team     string
	// LongRunning is true for a job whose tasks are replicas that run until the job is
	// cancelled. The tasks of any other job run to completion.
	LongRunning bool
	// Gang is true if the tasks run only all at the same time.
	Gang    bool
	Urgency Urgency
	// Tasks is the number of tasks. Their indexes start at 0.
	Tasks int
	// Need is the resources that each task takes of its machine.
	Need Resources
	// Image is the image that a machine must have fetched before a task can start on it, and
	// ImageGB is the size of the image.
	Image   string
	ImageGB float64
	// MachineTypes are the allowed machine types; nil allows all, and an empty list none.
	MachineTypes []string
	// Zone is the only allowed zone; "" allows all.
	Zone string
	// SameZone is true if all tasks must run in one zone. SpreadZones is true if at most half of
	// the tasks, rounded up, may run in one zone.
	SameZone    bool
	SpreadZones bool
	// AllowSpot is true if the tasks may run on spot machines.
	AllowSpot bool
	// ExpectedRunTime is the user's estimate of a task's run time without the image fetch; 0 for
	// a long-running job. The estimate is often wrong by half.
	ExpectedRunTime time.Duration
	// CheckpointInterval is the progress between two checkpoints of a task; 0 for a task without
	// checkpoints, which loses its progress when it is stopped. CheckpointCost is the time that a
	// task takes to save a checkpoint when it is stopped.
	CheckpointInterval time.Duration
	CheckpointCost     time.Duration
	// Deadline is the time from the submission within which the job should be done; 0 for no
	// deadline.
	Deadline time.Duration
	// Dependencies are the IDs of the jobs that must be done before any task of this job starts.
	Dependencies []string
}

// AllowsMachineType reports whether the tasks may run on machines of the given type.
func (spec *JobSpec) AllowsMachineType(name string) bool {
	return spec.MachineTypes == nil || slices.Contains(spec.MachineTypes, name)
}

// JobStatus is the stored state of a job. A queued job may be waiting or running: only the states
// of its tasks show which.
type JobStatus string

// The states of a job. Their values are stored and are shown to users.
const (
	Queued    JobStatus = "queued"
	Cancelled JobStatus = "cancelled"
	Done      JobStatus = "done"
)

// IsFinal reports whether a job with the status can never change its status again.
func (s JobStatus) IsFinal() bool { return s == Cancelled || s == Done }

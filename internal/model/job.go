package model

import "time"

// Urgency orders jobs; a higher value goes first.
type Urgency int

// The urgencies, lowest first.
const (
	BestEffort Urgency = iota
	Normal
	Urgent
	Critical
)

// JobSpec is a job as its user described it.
type JobSpec struct {
	ID          string
	Workload    string
	Team        string
	LongRunning bool
	// Gang: the tasks run only all together.
	Gang               bool
	Urgency            Urgency
	Tasks              int
	Need               Resources
	Image              string
	ImageGB            float64
	MachineTypes       []string
	Zone               string
	SameZone           bool
	SpreadZones        bool
	AllowSpot          bool
	ExpectedRunTime    time.Duration
	CheckpointInterval time.Duration
	CheckpointCost     time.Duration
	// Deadline counts from the submission; 0 means no deadline.
	Deadline time.Duration
	// Dependencies are the jobs that have to be done before any task of it starts.
	Dependencies []string
}

// JobStatus is the durable state of a job.
type JobStatus string

// The durable states. Whether a queued job runs is shown, not kept.
const (
	Queued    JobStatus = "queued"
	Cancelled JobStatus = "cancelled"
	Done      JobStatus = "done"
)

// IsFinal says that a status never changes again.
func (s JobStatus) IsFinal() bool { return s == Cancelled || s == Done }

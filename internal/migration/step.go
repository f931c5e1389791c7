package migration

import (
	"time"

	"github.com/micahill/micahill/internal/resource"
)

// State is how far a move has come.
type State int

// The states of a move. Only the first four hold capacity.
const (
	// Waiting moves are written or being written; the replica runs where it was.
	Waiting State = iota
	// Stopping moves have their replica told to stop, and not known to be gone.
	Stopping
	// Gone replicas are certainly nowhere, and may be placed on the target.
	Gone
	// RollingBack moves have lost their target; the host that the replica came from is held
	// for it.
	RollingBack
	// Starting replicas are placed on the target, but have not been seen to run.
	Starting
	// Settled moves need nothing more: the replica runs, on the target or elsewhere, or its
	// job is over.
	Settled
	// Dropped moves were given up before their replica was stopped.
	Dropped
)

// String is the state as operators see it.
func (s State) String() string {
	return [...]string{"waiting", "stopping", "gone", "back", "starting", "settled", "dropped"}[s]
}

// Step is one move of an active plan.
type Step struct {
	Move
	// Attempt is the one that is moved. A later attempt shows that the move is done, or was
	// overtaken.
	Attempt uint64
	State   State
	// stoppedAt is when the replica was told to stop, zero if not by this tracker.
	stoppedAt time.Time
}

// ActivePlan is a plan in progress.
type ActivePlan struct {
	// ID is unique in the team's record.
	ID   uint64
	Team string
	// HeldFor is the job that waits, Need what a task of it takes, and Host where that is held.
	HeldFor string
	Need    resource.Resources
	Host    string
	// Until is the plan's deadline.
	Until time.Time
	// MaxCost is what the rest of the moves may cost before the plan is dropped.
	MaxCost time.Duration
	Steps   []Step
	// Served says that the waiting job has its place or can't have this one, so that nothing
	// is held for it any more.
	Served bool
	// version is the version of the record in which the plan is first, and durable says that
	// this one or a later one is known to be written.
	version uint64
	durable bool
	// awaitingHosts says that a host of the plan may still be heard of after a takeover.
	awaitingHosts bool
}

// Hold is capacity on a host that only one task may take, or any one of a job (Index -1).
type Hold struct {
	Host  string
	Job   string
	Index int
	Need  resource.Resources
	Until time.Time
	// Plan is the plan that a job's capacity is held by, nil for a replica's.
	Plan *ActivePlan
}

// Task is what a shard leader knows of a replica now.
type Task struct {
	// Known says that the job is there, and neither cancelled nor over.
	Known bool
	// Host is where Attempt is or may be, "" if it is certainly nowhere.
	Host    string
	Attempt uint64
	Running bool
	// Stopping says that the attempt is being stopped, for whatever reason.
	Stopping bool
}

// ShardState is what a Tracker asks its shard leader.
type ShardState interface {
	Task(job string, index int) Task
	// RunningReplicas counts a job's replicas that run and are not being stopped, and all.
	RunningReplicas(job string) (running, total int)
	// WaitingTasks counts the tasks of a job that wait to be placed, 0 for a job that is over
	// or is another shard's.
	WaitingTasks(job string) int
	// FreeCapacity is what tasks leave of a host, holds included, and whether tasks may be
	// placed there at all.
	FreeCapacity(host string) (resource.Resources, bool)
	// Unheard says that a host has not been heard of since a takeover, though it most likely
	// will be.
	Unheard(host string) bool
	// Downtime is how long a replica of a job would be down if it moved to a host now.
	Downtime(job, host string) time.Duration
	// YieldsTo says that a job's only replica may be stopped for another job.
	YieldsTo(job, other string) bool
}

// StopRequest is a replica that is to be stopped now, saving its work.
type StopRequest struct {
	Job     string
	Index   int
	Attempt uint64
}

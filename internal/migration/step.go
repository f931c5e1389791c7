package migration

import (
	"time"

	"github.com/micahill/micahill/internal/resource"
)

// State is the progress of a move.
type State int

// The states of a move. Only the first four hold capacity.
const (
	// Waiting means that the replica has not been stopped and runs on its original host.
	Waiting State = iota
	// Stopping means that the replica has been told to stop and is not known to have ended.
	Stopping
	// Gone means that the replica has certainly ended and may be placed on the target.
	Gone
	// RollingBack means that the target can't take the replica any more. Capacity is held for
	// the replica on its original host.
	RollingBack
	// Starting means that the replica is placed on the target but not yet reported as running.
	Starting
	// Settled means that the move is over: the replica runs on the target or elsewhere, its job
	// is over, or it is placed like any other task.
	Settled
	// Dropped means that the move was given up before its replica was stopped.
	Dropped
)

// String returns the state as status shows it.
func (state State) String() string {
	return [...]string{"waiting", "stopping", "gone", "back", "starting", "settled", "dropped"}[state]
}

// Step is one move of an active plan.
type Step struct {
	Move
	// Attempt is the attempt that is moved. A later attempt means that the replica has been
	// started again, on the target or elsewhere.
	Attempt uint64
	State   State
	// stoppedAt is when this tracker requested the stop of the replica, or zero.
	stoppedAt time.Time
}

// ActivePlan is a plan in progress.
type ActivePlan struct {
	// ID is unique in the team's record.
	ID   uint64
	Team string
	// HeldFor is the waiting job. Capacity of Need, for one of its tasks, is held on Host.
	HeldFor string
	Need    resource.Resources
	Host    string
	// Until is the plan's deadline.
	Until time.Time
	// MaxCost is how much downtime the remaining moves may cost. The plan is dropped if they cost
	// more.
	MaxCost time.Duration
	Steps   []Step
	// Served is true if the waiting job has been placed or can't be placed on Host, so that no
	// capacity is held for it.
	Served bool
	// version is the first version of the record that contains the plan. durable is true if
	// this version or a later one is known to be written.
	version uint64
	durable bool
	// awaitingHosts is true after a failover while a host of the plan is expected to send its
	// first heartbeat.
	awaitingHosts bool
}

// Hold is capacity on a host that is reserved for one task, or for any one task of a job if Index is
// -1.
type Hold struct {
	Host  string
	Job   string
	Index int
	Need  resource.Resources
	Until time.Time
	// Plan is the plan that holds the capacity for a waiting job. It is nil for a replica that
	// moves.
	Plan *ActivePlan
}

// Task is the state of a replica as the shard leader knows it.
type Task struct {
	// Known is true if the shard leader has the job and it is neither cancelled nor over.
	Known bool
	// Host is the host on which Attempt runs or may run, "" if the attempt has certainly ended.
	Host    string
	Attempt uint64
	Running bool
	// Stopping is true if the attempt is being stopped for any reason.
	Stopping bool
}

// ShardState gives a Tracker the state of its shard's jobs and hosts.
type ShardState interface {
	// Task returns the state of a replica.
	Task(job string, index int) Task
	// RunningReplicas counts the replicas of a job that run and are not being stopped, and all
	// its replicas.
	RunningReplicas(job string) (running, total int)
	// WaitingTasks counts the pending tasks of a job. It is 0 for a job that is over or belongs
	// to another shard.
	WaitingTasks(job string) int
	// FreeCapacity returns the capacity of a host that no task uses, including held capacity,
	// and whether tasks may be placed on the host.
	FreeCapacity(host string) (resource.Resources, bool)
	// AwaitsHeartbeat reports whether a host has sent no heartbeat since a failover but is expected to.
	AwaitsHeartbeat(host string) bool
	// Downtime returns how long a replica of a job would be down if it moved to a host now.
	Downtime(job, host string) time.Duration
	// YieldsTo reports whether a job's only replica may be stopped for another job.
	YieldsTo(job, other string) bool
}

// StopRequest asks the shard leader to stop a replica and let it save its work.
type StopRequest struct {
	Job     string
	Index   int
	Attempt uint64
}

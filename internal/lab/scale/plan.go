// Package scale measures the resources that controllers of each role use in clusters of growing
// size on loopback, with real controllers and simulated workers, and fits lines through the
// results.
package scale

import (
	"errors"
	"fmt"
	"io"
	"math"
	"syscall"
	"time"

	"github.com/micahill/micahill/internal/lab/fleet"
)

// Plan describes one measurement: a cluster and its workload.
type Plan struct {
	Workers, Controllers, Teams int
	// StartsPerSecond is the rate of task starts. Jobs have Tasks tasks, each of which runs for
	// TaskRunTime.
	StartsPerSecond float64
	Tasks           int
	TaskRunTime     time.Duration
	// Duration is how long the measurement lasts, after all workers are up.
	Duration          time.Duration
	HeartbeatInterval time.Duration
	// StateRPS and StateWriteRPS are the requests and the writes a second that the state service
	// accepts.
	StateRPS, StateWriteRPS float64
	// ChangeEvery is the pause between changes of the ranking; 0 leaves the ranking disabled.
	ChangeEvery time.Duration
	// LostWorkers is the number of workers that are killed at once after the measurement.
	LostWorkers int
	// Takeover says whether a controller is killed at the end.
	Takeover bool
	// Program is the path of the controller's executable, and Dir an empty directory.
	Program, Dir string
	// EnableFiles are passed to the controllers with --enable.
	EnableFiles []string
	// Progress receives lines of text about the progress.
	Progress io.Writer
}

// Limits of a measurement, and estimates of the resources that workers and controllers use.
// Plan.Validate checks them before any process starts. The estimates of memory are generous;
// checkAlive checks the memory that is in use during the measurement.
const (
	maxControllers = 19
	maxWorkers     = 12000
	maxDuration    = 15 * time.Minute
	// filesPerWorker is the number of open files for a worker: a listener, the connection of its
	// heartbeats and that of its commands.
	filesPerWorker = 3
	// reservedFiles is the number of open files for all other purposes.
	reservedFiles = 300
	// mbPerWorker is the memory of a simulated worker in this process, and mbPerController that of a
	// controller without workers, in MB.
	mbPerWorker     = 0.2
	mbPerController = 60
	// mbPerOwnedWorker is the memory that the shard leader of a worker needs for it, in MB.
	mbPerOwnedWorker = 0.12
	// memoryFraction is the fraction of the machine's memory that all processes together may use:
	// of the available memory before the start, and of the total memory during the measurement.
	memoryFraction = 0.5
)

// ErrPlan is wrapped by the errors of invalid plans.
var ErrPlan = errors.New("scale")

// planError returns an error that wraps ErrPlan.
func planError(format string, args ...any) error {
	return fmt.Errorf("%w: %s", ErrPlan, fmt.Sprintf(format, args...))
}

// Validate checks the plan, and the resources that it needs against the limits of this machine.
// Errors name the command-line flag to change.
func (plan *Plan) Validate() error {
	switch {
	case plan.Workers < 1 || plan.Workers > maxWorkers:
		return planError("--workers %d: want 1 to %d", plan.Workers, maxWorkers)
	case plan.Controllers < 1 || plan.Controllers > maxControllers:
		return planError("--controllers %d: want 1 to %d", plan.Controllers, maxControllers)
	case plan.Teams < 1 || plan.Teams > 250 || plan.Teams > plan.Workers:
		return planError("--teams %d: want 1 to 250, and no more than --workers", plan.Teams)
	case plan.Tasks < 1 || plan.Tasks > 1000:
		return planError("--tasks %d: want 1 to 1000", plan.Tasks)
	case plan.TaskRunTime < time.Second:
		return planError("--run %s: want at least 1s", plan.TaskRunTime)
	case plan.StartsPerSecond < 0 || plan.StartsPerSecond*plan.TaskRunTime.Seconds() > float64(plan.Workers)*maxArrayTasksPerWorker:
		return planError("--starts %g: with tasks of %s more than %d run at a time on each of %d workers; want fewer --starts, a shorter --run or more --workers", plan.StartsPerSecond, plan.TaskRunTime, maxArrayTasksPerWorker, plan.Workers)
	case plan.Duration < time.Second || plan.Duration > maxDuration:
		return planError("--for %s: want 1s to %s", plan.Duration, maxDuration)
	case plan.HeartbeatInterval < 500*time.Millisecond || plan.HeartbeatInterval > time.Minute:
		return planError("--report %s: want 500ms to 1m", plan.HeartbeatInterval)
	case plan.LostWorkers < 0 || plan.LostWorkers > plan.Workers/2:
		return planError("--lose %d: want 0 to half of --workers", plan.LostWorkers)
	case plan.ChangeEvery < 0:
		return planError("--change-every %s: want 0 for none, or a positive duration", plan.ChangeEvery)
	case plan.StateRPS < 10 || plan.StateWriteRPS < 4:
		return planError("--requests %g, --changes %g: want at least 10 and 4", plan.StateRPS, plan.StateWriteRPS)
	}
	var files syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &files); err != nil {
		return planError("read the limit of open files: %v", err)
	}
	if need := uint64(plan.Workers*filesPerWorker + reservedFiles); need > files.Cur {
		return planError("--workers %d: needs %d open files, the limit is %d; want at most %d workers", plan.Workers, need, files.Cur, (int(files.Cur)-reservedFiles)/filesPerWorker)
	}
	available, err := availableMemoryMB()
	if err != nil {
		return err
	}
	if need := plan.memoryMB(); need > available {
		return planError("--workers %d, --controllers %d: estimated to need %.0f MB of memory, the limit is half of the available memory, %.0f MB; want fewer of them", plan.Workers, plan.Controllers, need, available)
	}
	return nil
}

// memoryMB estimates the memory of all processes in MB.
func (plan *Plan) memoryMB() float64 {
	controllers, workers := float64(plan.Controllers), float64(plan.Workers)
	return workers*mbPerWorker + controllers*mbPerController + workers*mbPerOwnedWorker
}

// availableMemoryMB returns the part of the available memory that a measurement may use, in MB.
func availableMemoryMB() (float64, error) {
	meminfo, err := readNumericFields("/proc/meminfo")
	if err != nil {
		return 0, err
	}
	return memoryFraction * meminfo["MemAvailable"] / 1024, nil
}

// The capacity of a machine and the CPUs of a task: a machine has capacity for one task of a
// service and maxArrayTasksPerWorker tasks of arrays.
const (
	machineCPUs            = 4
	serviceTaskCPUs        = 3
	arrayTaskCPUs          = 0.1
	maxArrayTasksPerWorker = 10
)

// deployment returns the environment of the cluster. Each controller has a quota of one core.
func (plan *Plan) deployment() *fleet.Deployment {
	deployment := fleet.DefaultDeployment()
	deployment.Teams = nil
	for i := range plan.Teams {
		deployment.Teams = append(deployment.Teams, teamName(i))
	}
	deployment.HeartbeatInterval, deployment.WorkerLease, deployment.CancelWithin = plan.HeartbeatInterval, heartbeatsPerLease*plan.HeartbeatInterval, 2*heartbeatsPerLease*plan.HeartbeatInterval
	deployment.StateRPS, deployment.StateWriteRPS, deployment.ValueKB = plan.StateRPS, plan.StateWriteRPS, 16
	deployment.CloudRPS, deployment.MemoryMB, deployment.Sockets = 20, math.Max(512, 0.2*float64(plan.Workers)), 2*plan.Workers+1000
	return &deployment
}

// heartbeatsPerLease is the worker lease, in heartbeat intervals.
const heartbeatsPerLease = 6

// teamName returns the name of the i-th team.
func teamName(i int) string { return fmt.Sprintf("team-%03d", i) }

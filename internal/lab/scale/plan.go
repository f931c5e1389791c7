// Package scale measures what controllers of each role take in clusters of growing size on
// loopback, with real controllers and simulated workers, and fits lines through the results.
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
	// StartsPerSecond is the rate of task starts. They come in jobs of Tasks tasks that run
	// for TaskRunTime each.
	StartsPerSecond float64
	Tasks           int
	TaskRunTime     time.Duration
	// Duration is how long is measured, after all workers are up.
	Duration          time.Duration
	HeartbeatInterval time.Duration
	// StateRPS and StateWriteRPS are the requests and the writes a second that the state
	// service takes.
	StateRPS, StateWriteRPS float64
	// ChangeEvery is the pause between changes of the ranking; 0 leaves the ranking off.
	ChangeEvery time.Duration
	// LostWorkers is how many workers are killed at once after the measurement.
	LostWorkers int
	// Takeover says that a controller is killed at the end.
	Takeover bool
	// Program is the path of the controller's executable, and Dir an empty directory.
	Program, Dir string
	// EnableFiles are passed to the controllers with --enable.
	EnableFiles []string
	// Progress receives lines of text about the progress.
	Progress io.Writer
}

// Limits of a measurement, and the resources that workers and controllers are expected to
// take, which are checked before anything starts. The estimates of memory are generous;
// checkAlive checks the memory again during the measurement.
const (
	maxControllers = 19
	maxWorkers     = 12000
	maxDuration    = 15 * time.Minute
	// filesPerWorker are a listener, the connection of its heartbeats and that of its
	// commands.
	filesPerWorker = 3
	// spareFiles are left for everything that is not a worker.
	spareFiles      = 300
	mbPerWorker     = 0.2
	mbPerController = 60
	// mbPerOwnedWorker is what the shard leader of a worker takes for it.
	mbPerOwnedWorker = 0.12
	// memoryFraction is the part of the machine's memory that all processes may take.
	memoryFraction = 0.5
)

// ErrPlan is wrapped by the error of a plan that is out of its limits.
var ErrPlan = errors.New("scale")

func planError(format string, args ...any) error {
	return fmt.Errorf("%w: %s", ErrPlan, fmt.Sprintf(format, args...))
}

// Validate checks a plan, and what it needs against the limits of this machine. Errors name
// the flag of the command line to change.
func (p *Plan) Validate() error {
	switch {
	case p.Workers < 1 || p.Workers > maxWorkers:
		return planError("--workers %d: want 1 to %d", p.Workers, maxWorkers)
	case p.Controllers < 1 || p.Controllers > maxControllers:
		return planError("--controllers %d: want 1 to %d", p.Controllers, maxControllers)
	case p.Teams < 1 || p.Teams > 250 || p.Teams > p.Workers:
		return planError("--teams %d: want 1 to 250, and no more than workers", p.Teams)
	case p.Tasks < 1 || p.Tasks > 1000:
		return planError("--tasks %d: want 1 to 1000", p.Tasks)
	case p.TaskRunTime < time.Second:
		return planError("--run %s: want at least 1s", p.TaskRunTime)
	case p.StartsPerSecond < 0 || p.StartsPerSecond*p.TaskRunTime.Seconds() > float64(p.Workers)*maxArrayTasksPerWorker:
		return planError("--starts %g: tasks of %s come to more than %d for each of %d workers; fewer starts, a shorter --run or more workers would do", p.StartsPerSecond, p.TaskRunTime, maxArrayTasksPerWorker, p.Workers)
	case p.Duration < time.Second || p.Duration > maxDuration:
		return planError("--for %s: want 1s to %s", p.Duration, maxDuration)
	case p.HeartbeatInterval < 500*time.Millisecond || p.HeartbeatInterval > time.Minute:
		return planError("--report %s: want 500ms to 1m", p.HeartbeatInterval)
	case p.LostWorkers < 0 || p.LostWorkers > p.Workers/2:
		return planError("--lose %d: want 0 to half of the workers", p.LostWorkers)
	case p.ChangeEvery < 0:
		return planError("--change-every %s: want 0 for none, or a time", p.ChangeEvery)
	case p.StateRPS < 10 || p.StateWriteRPS < 4:
		return planError("--requests %g, --changes %g: want at least 10 and 4", p.StateRPS, p.StateWriteRPS)
	}
	var files syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &files); err != nil {
		return planError("limit of open files: %v", err)
	}
	if need := uint64(p.Workers*filesPerWorker + spareFiles); need > files.Cur {
		return planError("--workers %d: needs %d open files of %d; at most %d workers would do", p.Workers, need, files.Cur, (int(files.Cur)-spareFiles)/filesPerWorker)
	}
	available, err := availableMemoryMB()
	if err != nil {
		return err
	}
	if need := p.memoryMB(); need > available {
		return planError("--workers %d, --controllers %d: reckoned to take %.0f MB of memory, and half of what is there is %.0f; fewer would do", p.Workers, p.Controllers, need, available)
	}
	return nil
}

// memoryMB estimates the memory of all processes.
func (p *Plan) memoryMB() float64 {
	n, w := float64(p.Controllers), float64(p.Workers)
	return w*mbPerWorker + n*mbPerController + w*mbPerOwnedWorker
}

// availableMemoryMB returns the part of the available memory that a measurement may take.
func availableMemoryMB() (float64, error) {
	m, err := readNumericFields("/proc/meminfo")
	if err != nil {
		return 0, err
	}
	return memoryFraction * m["MemAvailable"] / 1024, nil
}

// A machine has capacity for one task of a service and maxArrayTasksPerWorker of arrays.
const (
	machineCPUs            = 4
	serviceTaskCPUs        = 3
	arrayTaskCPUs          = 0.1
	maxArrayTasksPerWorker = 10
)

// deployment returns the environment of the cluster. Each controller has a quota of one core.
func (p *Plan) deployment() *fleet.Deployment {
	deployment := fleet.DefaultDeployment()
	deployment.Teams = nil
	for i := range p.Teams {
		deployment.Teams = append(deployment.Teams, teamName(i))
	}
	deployment.HeartbeatInterval, deployment.WorkerLease, deployment.CancelWithin = p.HeartbeatInterval, heartbeatsPerLease*p.HeartbeatInterval, 2*heartbeatsPerLease*p.HeartbeatInterval
	deployment.StateRPS, deployment.StateWriteRPS, deployment.ValueKB = p.StateRPS, p.StateWriteRPS, 16
	deployment.CloudRPS, deployment.MemoryMB, deployment.Sockets = 20, math.Max(512, 0.2*float64(p.Workers)), 2*p.Workers+1000
	return &deployment
}

// heartbeatsPerLease is the worker lease in heartbeat intervals.
const heartbeatsPerLease = 6

func teamName(i int) string { return fmt.Sprintf("team-%03d", i) }

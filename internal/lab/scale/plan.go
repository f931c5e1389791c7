// Package scale runs clusters of growing size on loopback, real controllers and hollow
// workers, and measures what each role takes, so that slopes can be told from counts.
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

// Plan is one rung: a cluster, and the work that it is given.
type Plan struct {
	Workers, Controllers, Teams int
	// StartsPerSecond of tasks a second, in jobs of so many Tasks, each of so long.
	StartsPerSecond float64
	Tasks           int
	TaskRunTime     time.Duration
	// Duration is how long it is measured, after all workers report.
	Duration time.Duration
	// HeartbeatInterval is how often workers report, and Requests and Changes what the state
	// service takes a second.
	HeartbeatInterval       time.Duration
	StateRPS, StateWriteRPS float64
	// ChangeEvery is how often the ranking is changed; 0: it is off.
	ChangeEvery time.Duration
	// LostWorkers is how many workers are lost at once after the measurement.
	LostWorkers int
	// Takeover: a controller is ended at the end.
	Takeover bool
	// Program is the controllers', and Dir an empty folder.
	Program, Dir string
	EnableFiles  []string
	// Progress is where progress goes.
	Progress io.Writer
}

// What a rung may take, and what a worker and a controller are reckoned with before
// anything starts: files on this side are a listener, the connection of its reports and
// one of orders; memory is generous, and looked at again while it runs.
const (
	maxControllers  = 19
	maxWorkers      = 12000
	maxDuration     = 15 * time.Minute
	filesPerWorker  = 3
	spareFiles      = 300
	mbPerWorker     = 0.2
	mbPerController = 60
	// mbPerOwnedWorker is what a controller takes for each worker that it owns.
	mbPerOwnedWorker = 0.12
	// memoryFraction of the machine's memory is the most that all may take.
	memoryFraction = 0.5
)

// ErrPlan is wrapped by every error of a plan that can't work.
var ErrPlan = errors.New("scale")

func planError(format string, args ...any) error {
	return fmt.Errorf("%w: %s", ErrPlan, fmt.Sprintf(format, args...))
}

// Validate says what is wrong with a plan, before anything starts.
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

func (p *Plan) memoryMB() float64 {
	n, w := float64(p.Controllers), float64(p.Workers)
	return w*mbPerWorker + n*mbPerController + w*mbPerOwnedWorker
}

// availableMemoryMB is half of the memory that is there for new work.
func availableMemoryMB() (float64, error) {
	m, err := readNumericFields("/proc/meminfo")
	if err != nil {
		return 0, err
	}
	return memoryFraction * m["MemAvailable"] / 1024, nil
}

// Worker hosts have room for one large task that stands, and maxArrayTasksPerWorker small ones.
const (
	machineCPUs            = 4
	serviceTaskCPUs        = 3
	arrayTaskCPUs          = 0.1
	maxArrayTasksPerWorker = 10
)

// deployment is what the controllers are told. Their own share of the processor is one core.
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

// heartbeatsPerLease is how many reports a lease lasts.
const heartbeatsPerLease = 6

func teamName(i int) string { return fmt.Sprintf("team-%03d", i) }

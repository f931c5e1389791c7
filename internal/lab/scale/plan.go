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
	// Starts of tasks a second, in jobs of so many Tasks, each of so long.
	Starts float64
	Tasks  int
	Run    time.Duration
	// For is how long it is measured, after all workers report.
	For time.Duration
	// Report is how often workers report, and Requests and Changes what the state
	// service takes a second.
	Report            time.Duration
	Requests, Changes float64
	// ChangeEvery is how often the ranking is changed; 0: it is off.
	ChangeEvery time.Duration
	// Lose is how many workers are lost at once after the measurement.
	Lose int
	// Takeover: a controller is ended at the end.
	Takeover bool
	// Program is the controllers', and Dir an empty folder.
	Program, Dir string
	Enable       []string
	// Say is where progress goes.
	Say io.Writer
}

// What a rung may take, and what a worker and a controller are reckoned with before
// anything starts: files on this side are a listener, the connection of its reports and
// one of orders; memory is generous, and looked at again while it runs.
const (
	maxControllers  = 19
	maxWorkers      = 12000
	maxFor          = 15 * time.Minute
	filesPerWorker  = 3
	filesSpare      = 300
	mbPerWorker     = 0.2
	mbPerController = 60
	// mbPerOwned is what a controller takes for each worker that it owns.
	mbPerOwned = 0.12
	// memoryPart of the machine's memory is the most that all may take.
	memoryPart = 0.5
)

// ErrPlan is wrapped by every error of a plan that can't work.
var ErrPlan = errors.New("scale")

func wrong(format string, args ...any) error {
	return fmt.Errorf("%w: %s", ErrPlan, fmt.Sprintf(format, args...))
}

// Check says what is wrong with a plan, before anything starts.
func (p *Plan) Check() error {
	switch {
	case p.Workers < 1 || p.Workers > maxWorkers:
		return wrong("--workers %d: want 1 to %d", p.Workers, maxWorkers)
	case p.Controllers < 1 || p.Controllers > maxControllers:
		return wrong("--controllers %d: want 1 to %d", p.Controllers, maxControllers)
	case p.Teams < 1 || p.Teams > 250 || p.Teams > p.Workers:
		return wrong("--teams %d: want 1 to 250, and no more than workers", p.Teams)
	case p.Tasks < 1 || p.Tasks > 1000:
		return wrong("--tasks %d: want 1 to 1000", p.Tasks)
	case p.Run < time.Second:
		return wrong("--run %s: want at least 1s", p.Run)
	case p.Starts < 0 || p.Starts*p.Run.Seconds() > float64(p.Workers)*smallMost:
		return wrong("--starts %g: tasks of %s come to more than %d for each of %d workers; fewer starts, a shorter --run or more workers would do", p.Starts, p.Run, smallMost, p.Workers)
	case p.For < time.Second || p.For > maxFor:
		return wrong("--for %s: want 1s to %s", p.For, maxFor)
	case p.Report < 500*time.Millisecond || p.Report > time.Minute:
		return wrong("--report %s: want 500ms to 1m", p.Report)
	case p.Lose < 0 || p.Lose > p.Workers/2:
		return wrong("--lose %d: want 0 to half of the workers", p.Lose)
	case p.ChangeEvery < 0:
		return wrong("--change-every %s: want 0 for none, or a time", p.ChangeEvery)
	case p.Requests < 10 || p.Changes < 4:
		return wrong("--requests %g, --changes %g: want at least 10 and 4", p.Requests, p.Changes)
	}
	var files syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &files); err != nil {
		return wrong("limit of open files: %v", err)
	}
	if need := uint64(p.Workers*filesPerWorker + filesSpare); need > files.Cur {
		return wrong("--workers %d: needs %d open files of %d; at most %d workers would do", p.Workers, need, files.Cur, (int(files.Cur)-filesSpare)/filesPerWorker)
	}
	most, err := memoryMost()
	if err != nil {
		return err
	}
	if need := p.memory(); need > most {
		return wrong("--workers %d, --controllers %d: reckoned to take %.0f MB of memory, and half of what is there is %.0f; fewer would do", p.Workers, p.Controllers, need, most)
	}
	return nil
}

func (p *Plan) memory() float64 {
	n, w := float64(p.Controllers), float64(p.Workers)
	return w*mbPerWorker + n*mbPerController + w*mbPerOwned
}

// memoryMost is half of the memory that is there for new work.
func memoryMost() (float64, error) {
	m, err := fields("/proc/meminfo")
	if err != nil {
		return 0, err
	}
	return memoryPart * m["MemAvailable"] / 1024, nil
}

// Worker hosts have room for one large task that stands, and smallMost small ones.
const (
	hostCPUs  = 4
	largeCPUs = 3
	smallCPUs = 0.1
	smallMost = 10
)

// site is what the controllers are told. Their own share of the processor is one core.
func (p *Plan) site() *fleet.Deployment {
	s := fleet.DefaultDeployment()
	s.Teams = nil
	for i := range p.Teams {
		s.Teams = append(s.Teams, team(i))
	}
	s.HeartbeatInterval, s.WorkerLease, s.CancelWithin = p.Report, leaseReports*p.Report, 2*leaseReports*p.Report
	s.StateRPS, s.StateWriteRPS, s.ValueKB = p.Requests, p.Changes, 16
	s.CloudRPS, s.MemoryMB, s.Sockets = 20, math.Max(512, 0.2*float64(p.Workers)), 2*p.Workers+1000
	return &s
}

// leaseReports is how many reports a lease lasts.
const leaseReports = 6

func team(i int) string { return fmt.Sprintf("team-%03d", i) }

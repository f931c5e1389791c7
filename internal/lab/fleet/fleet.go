// Package fleet starts whole clusters on loopback for experiments: real controller
// processes, and the simulated state service, cloud and workers of package simulation.
// Nothing outside this machine is touched.
package fleet

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"time"

	"github.com/micahill/micahill/internal/certs"
	"github.com/micahill/micahill/internal/controller"
	"github.com/micahill/micahill/internal/listen"
	"github.com/micahill/micahill/internal/model"
	"github.com/micahill/micahill/internal/simulation"
)

// Options say what to start.
type Options struct {
	// Program is the path of the controller's executable.
	Program string
	// Dir is an empty directory for settings, keys and logs.
	Dir string
	// Clusters is the number of clusters, and Controllers that of each one's controllers.
	Clusters, Controllers int
	// Machines is the number of machines that each cluster's cloud has. The last
	// element holds for the clusters after it too; empty means 20.
	Machines []int
	// Overflow enables lending between the clusters.
	Overflow bool
	// EnableFiles are passed to all controllers with --enable, like those under deploy/.
	EnableFiles []string
	// LogLevel is the LOG_LEVEL of the controllers.
	LogLevel string
	// Deployment describes the environment; nil means DefaultDeployment.
	Deployment *Deployment
}

// Deployment describes the environment of a cluster. The controllers are configured with
// it, and the simulated services keep to it.
type Deployment struct {
	Teams                                        []string
	HeartbeatInterval, WorkerLease, CancelWithin time.Duration
	// StateRPS and StateWriteRPS are the requests and the writes a second that the state
	// service takes. ValueKB and TxnOps are its limits of a value and of a transaction.
	StateRPS, StateWriteRPS, ValueKB float64
	TxnOps                           int
	// CloudRPS is the calls a second that the cloud takes.
	CloudRPS float64
	// CPU (cores), MemoryMB and Sockets are a controller's quota.
	CPU, MemoryMB float64
	Sockets       int
}

// DefaultDeployment returns a small environment, for a hundred machines.
func DefaultDeployment() Deployment {
	return Deployment{
		Teams: []string{"ops", "guests"}, HeartbeatInterval: time.Second, WorkerLease: 6 * time.Second, CancelWithin: 20 * time.Second,
		StateRPS: 300, StateWriteRPS: 150, ValueKB: 8, TxnOps: 16, CloudRPS: 10, CPU: 1, MemoryMB: 512, Sockets: 1000,
	}
}

// maxControllers is the most controllers of a cluster.
const maxControllers = 19

// clusterNames are the names of the clusters, which also bound their number.
var clusterNames = []string{"east", "west", "north", "south", "centre"}

// Fleet is a set of running clusters.
type Fleet struct {
	Clusters []*Cluster
	options  Options
	cancel   context.CancelFunc

	// jobs holds every submitted job by its ID at home, from which workers learn what to
	// run. Guarded by mu.
	mu   sync.Mutex
	jobs map[string]Job
}

// Job is a job as its user describes it. All its tasks are alike.
type Job struct {
	ID, Team string
	// Workload is the class of its work; empty means "lab".
	Workload string
	Tasks    int
	// CPUs of each task, which needs as many GB of memory.
	CPUs    float64
	RunTime time.Duration
	// Deadline is relative to the submission; 0 means none.
	Deadline time.Duration
	Urgency  string
	// Standing means that its tasks run until it is cancelled.
	Standing bool
}

// ErrTooLarge means that Options ask for none, or for more than one machine can run.
var ErrTooLarge = errors.New("fleet: at most 5 clusters of at most 19 controllers")

// Start starts the clusters and waits until they are healthy. The caller has to call Stop.
func Start(ctx context.Context, options Options) (*Fleet, error) {
	if options.Clusters < 1 || options.Clusters > len(clusterNames) || options.Controllers < 1 || options.Controllers > maxControllers {
		return nil, ErrTooLarge
	}
	if options.Deployment == nil {
		deployment := DefaultDeployment()
		options.Deployment = &deployment
	}
	if _, err := os.Stat(options.Program); err != nil {
		return nil, fmt.Errorf("fleet: controller program: %w; build it first (see README.md)", err)
	}
	for _, x := range options.EnableFiles {
		if _, err := os.Stat(x); err != nil {
			return nil, fmt.Errorf("fleet: file to enable: %w", err)
		}
	}
	ctx, cancel := context.WithCancel(ctx)
	fleet := &Fleet{options: options, cancel: cancel, jobs: map[string]Job{}}
	if err := fleet.start(ctx); err != nil {
		fleet.Stop()
		return nil, err
	}
	return fleet, nil
}

func (f *Fleet) start(ctx context.Context) error {
	ca := filepath.Join(f.options.Dir, "ca")
	if f.options.Overflow {
		if err := certs.Init(ca, time.Now()); err != nil {
			return err
		}
	}
	types := []model.MachineType{{
		Name: "box", Capacity: model.Resources{CPU: 4, Memory: 16}, DiskGB: 20, ImageFetchRate: 2, CostPerHour: 0.2, SpotCostPerHour: 0.07,
		ProvisioningTime: 2 * time.Second, Zones: []string{"a"},
	}}
	deployment := f.options.Deployment
	settings := controller.Settings{HeartbeatInterval: deployment.HeartbeatInterval, WorkerLease: deployment.WorkerLease, CloudListLag: time.Second}
	for i, name := range clusterNames[:f.options.Clusters] {
		c := &Cluster{Name: name, fleet: f, dir: filepath.Join(f.options.Dir, name), procs: make([]*exec.Cmd, f.options.Controllers)}
		if err := os.MkdirAll(c.dir, 0o700); err != nil {
			return fmt.Errorf("fleet: %w", err)
		}
		for range f.options.Controllers {
			for _, addrs := range []*[]string{&c.APIAddrs, &c.InternalAddrs, &c.OverflowAddrs} {
				a, err := listen.FreeAddr()
				if err != nil {
					return err
				}
				*addrs = append(*addrs, a)
			}
		}
		machines := 20
		if n := len(f.options.Machines); n > 0 {
			machines = f.options.Machines[min(i, n-1)]
		}
		c.Live = simulation.NewLive(settings, deployment.StateRPS, deployment.StateWriteRPS, types, map[string]int{"box/a/true": machines}, c.APIAddrs)
		c.Live.SetJobSource(f.describeJob)
		go c.Live.Run(ctx)
		if f.options.Overflow {
			if err := certs.Issue(ca, name, filepath.Join(c.dir, "keys"), certs.CertValidity, time.Now()); err != nil {
				return err
			}
		}
		f.Clusters = append(f.Clusters, c)
	}
	for _, c := range f.Clusters {
		for i := range c.procs {
			if err := c.writeConfig(i); err != nil {
				return err
			}
			if err := c.Start(i); err != nil {
				return err
			}
		}
	}
	for _, c := range f.Clusters {
		if err := c.waitHealthy(ctx, 20*time.Second); err != nil {
			return err
		}
	}
	return nil
}

// describeJob returns what a worker has to know of a job, which may have the ID that it was
// lent under. It is false for an unknown job.
func (f *Fleet) describeJob(id string) (model.JobSpec, time.Duration, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	original := id
	if strings.HasPrefix(id, "job-lent-") {
		original = OriginalID(id)
	}
	j, ok := f.jobs[original]
	return model.JobSpec{ID: id, Team: j.Team, Tasks: j.Tasks, Need: model.Resources{CPU: j.CPUs, Memory: j.CPUs}, Image: "img", ImageGB: 0.2, AllowSpot: true, LongRunning: j.Standing}, j.RunTime, ok
}

// OriginalID returns the ID that a lent job has in its own cluster.
func OriginalID(lentID string) string {
	// The form is job-lent-CLUSTER-N-REST, and no name of a cluster contains a dash.
	parts := strings.SplitN(strings.TrimPrefix(lentID, "job-lent-"), "-", 3)
	return "job-" + parts[len(parts)-1]
}

// Stop kills all controllers and stops the simulated services.
func (f *Fleet) Stop() {
	for _, c := range f.Clusters {
		for i := range c.procs {
			c.Kill(i)
		}
	}
	f.cancel()
	for _, c := range f.Clusters {
		c.Live.Stop()
	}
}

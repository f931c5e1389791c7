// Package fleet starts whole clusters on loopback for experiments: real controller processes, and
// the simulated state service, cloud and workers of package simulation. All traffic stays on this
// machine.
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

// Options are the parameters of Start.
type Options struct {
	// Program is the path of the controller's executable.
	Program string
	// Dir is an empty directory for settings, keys and logs.
	Dir string
	// Clusters is the number of clusters, and Controllers the number of controllers of each.
	Clusters, Controllers int
	// Machines is the number of machines that each cluster's cloud has. The last element applies
	// to the remaining clusters too; empty means 20.
	Machines []int
	// Overflow enables lending between the clusters.
	Overflow bool
	// EnableFiles are passed to all controllers with --enable, such as the files under deploy/.
	EnableFiles []string
	// LogLevel is the LOG_LEVEL of the controllers.
	LogLevel string
	// Deployment describes the environment of each cluster; nil means DefaultDeployment.
	Deployment *Deployment
}

// Deployment describes the environment of a cluster. The controllers are configured with it, and
// the simulated services have these properties.
type Deployment struct {
	Teams                                        []string
	HeartbeatInterval, WorkerLease, CancelWithin time.Duration
	// StateRPS and StateWriteRPS are the requests and the writes a second that the state service
	// accepts. ValueKB is the largest value and TxnOps the most operations of a transaction.
	StateRPS, StateWriteRPS, ValueKB float64
	TxnOps                           int
	// CloudRPS is the calls a second that the cloud accepts.
	CloudRPS float64
	// CPU (in cores), MemoryMB and Sockets are the quota of a controller.
	CPU, MemoryMB float64
	Sockets       int
}

// DefaultDeployment returns the deployment of a small cluster, with about a hundred machines.
func DefaultDeployment() Deployment {
	return Deployment{
		Teams: []string{"ops", "guests"}, HeartbeatInterval: time.Second, WorkerLease: 6 * time.Second, CancelWithin: 20 * time.Second,
		StateRPS: 300, StateWriteRPS: 150, ValueKB: 8, TxnOps: 16, CloudRPS: 10, CPU: 1, MemoryMB: 512, Sockets: 1000,
	}
}

// maxControllers is the largest number of controllers of a cluster.
const maxControllers = 19

// clusterNames are the names of the clusters. Their number is the largest number of clusters.
var clusterNames = []string{"east", "west", "north", "south", "centre"}

// Fleet is a set of running clusters.
type Fleet struct {
	Clusters []*Cluster
	options  Options
	cancel   context.CancelFunc

	// jobs holds every submitted job by its ID in its home cluster. Workers learn from it what to run.
	// Guarded by mu.
	mu   sync.Mutex
	jobs map[string]Job
}

// Job is a job as its user describes it. All its tasks are alike.
type Job struct {
	ID, Team string
	// Workload is the class of the job; empty means "lab".
	Workload string
	Tasks    int
	// CPUs is the number of CPUs of each task, which needs as many GB of memory.
	CPUs float64
	// RunTime is how long each task runs.
	RunTime time.Duration
	// Deadline is relative to the submission; 0 means none.
	Deadline time.Duration
	Urgency  string
	// LongRunning means that the tasks run until the job is cancelled.
	LongRunning bool
}

// ErrTooLarge means that Options ask for no clusters or controllers, or for more of them than a
// single host can run.
var ErrTooLarge = errors.New("fleet: want 1 to 5 clusters of 1 to 19 controllers")

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
	for _, enableFile := range options.EnableFiles {
		if _, err := os.Stat(enableFile); err != nil {
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

// start starts the simulated services and the controllers, and waits until every cluster is
// healthy.
func (fleet *Fleet) start(ctx context.Context) error {
	caDir := filepath.Join(fleet.options.Dir, "ca")
	if fleet.options.Overflow {
		if err := certs.Init(caDir, time.Now()); err != nil {
			return err
		}
	}
	types := []model.MachineType{{
		Name: "box", Capacity: model.Resources{CPU: 4, Memory: 16}, DiskGB: 20, ImageFetchRate: 2, CostPerHour: 0.2, SpotCostPerHour: 0.07,
		ProvisioningTime: 2 * time.Second, Zones: []string{"a"},
	}}
	deployment := fleet.options.Deployment
	settings := controller.Settings{HeartbeatInterval: deployment.HeartbeatInterval, WorkerLease: deployment.WorkerLease, CloudListLag: time.Second}
	for i, name := range clusterNames[:fleet.options.Clusters] {
		cluster := &Cluster{Name: name, fleet: fleet, dir: filepath.Join(fleet.options.Dir, name), procs: make([]*exec.Cmd, fleet.options.Controllers)}
		if err := os.MkdirAll(cluster.dir, 0o700); err != nil {
			return fmt.Errorf("fleet: %w", err)
		}
		for range fleet.options.Controllers {
			for _, addrs := range []*[]string{&cluster.APIAddrs, &cluster.InternalAddrs, &cluster.OverflowAddrs} {
				addr, err := listen.FreeAddr()
				if err != nil {
					return err
				}
				*addrs = append(*addrs, addr)
			}
		}
		machines := 20
		if n := len(fleet.options.Machines); n > 0 {
			machines = fleet.options.Machines[min(i, n-1)]
		}
		cluster.Live = simulation.NewLive(settings, deployment.StateRPS, deployment.StateWriteRPS, types, map[string]int{"box/a/true": machines}, cluster.APIAddrs)
		cluster.Live.SetJobSource(fleet.describeJob)
		go cluster.Live.Run(ctx)
		if fleet.options.Overflow {
			if err := certs.Issue(caDir, name, filepath.Join(cluster.dir, "keys"), certs.CertValidity, time.Now()); err != nil {
				return err
			}
		}
		fleet.Clusters = append(fleet.Clusters, cluster)
	}
	for _, cluster := range fleet.Clusters {
		for i := range cluster.procs {
			if err := cluster.writeConfig(i); err != nil {
				return err
			}
			if err := cluster.Start(i); err != nil {
				return err
			}
		}
	}
	for _, cluster := range fleet.Clusters {
		if err := cluster.waitHealthy(ctx, 20*time.Second); err != nil {
			return err
		}
	}
	return nil
}

// describeJob returns the specification of a job and the run time of its tasks, which workers
// have to know. id may be the ID under which the job was lent. It returns false for an unknown
// job.
func (fleet *Fleet) describeJob(id string) (model.JobSpec, time.Duration, bool) {
	fleet.mu.Lock()
	defer fleet.mu.Unlock()
	original := id
	if strings.HasPrefix(id, "job-lent-") {
		original = OriginalID(id)
	}
	job, ok := fleet.jobs[original]
	return model.JobSpec{ID: id, Team: job.Team, Tasks: job.Tasks, Need: model.Resources{CPU: job.CPUs, Memory: job.CPUs}, Image: "img", ImageGB: 0.2, AllowSpot: true, LongRunning: job.LongRunning}, job.RunTime, ok
}

// OriginalID returns the ID that a lent job has in its home cluster.
func OriginalID(lentID string) string {
	// The form is job-lent-CLUSTER-N-REST, and no name of a cluster contains a dash.
	parts := strings.SplitN(strings.TrimPrefix(lentID, "job-lent-"), "-", 3)
	return "job-" + parts[len(parts)-1]
}

// Stop kills all controllers and stops the simulated services.
func (fleet *Fleet) Stop() {
	for _, cluster := range fleet.Clusters {
		for i := range cluster.procs {
			cluster.Kill(i)
		}
	}
	fleet.cancel()
	for _, cluster := range fleet.Clusters {
		cluster.Live.Stop()
	}
}

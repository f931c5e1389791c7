// Package fleet brings up whole clusters on loopback for experiments: real
// controller processes, and the project's own stand-ins for state service, cloud
// and workers. Nothing outside this machine is touched.
package fleet

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/micahill/micahill/internal/certs"
	"github.com/micahill/micahill/internal/controller"
	"github.com/micahill/micahill/internal/listen"
	"github.com/micahill/micahill/internal/model"
	"github.com/micahill/micahill/internal/simulation"
	"github.com/vmihailenco/msgpack/v5"
)

// Options say what to bring up.
type Options struct {
	// Program is the controller's program, and Dir an empty folder for settings,
	// keys and logs.
	Program string
	Dir     string
	// Clusters and Controllers, of each, and Machines that each cluster's cloud
	// has; the last number holds for those that are not named.
	Clusters, Controllers int
	Machines              []int
	// Overflow switches lending on.
	Overflow bool
	// EnableFiles are files such as those under deploy/, for all controllers.
	EnableFiles []string
	LogLevel    string
	// Deployment is what the clusters are told of their surroundings; none: DefaultDeployment.
	Deployment *Deployment
}

// Deployment is what a deployment is told of its surroundings, and what these keep to.
type Deployment struct {
	Teams                                        []string
	HeartbeatInterval, WorkerLease, CancelWithin time.Duration
	// StateRPS and Changes a second at the state service, and its limits of sizes.
	StateRPS, StateWriteRPS, ValueKB float64
	TxnOps                           int
	CloudRPS                         float64
	// CPU, MemoryMB and Sockets are a controller's quota.
	CPU, MemoryMB float64
	Sockets       int
}

// DefaultDeployment is a small one, for a hundred machines.
func DefaultDeployment() Deployment {
	return Deployment{
		Teams: []string{"ops", "guests"}, HeartbeatInterval: time.Second, WorkerLease: 6 * time.Second, CancelWithin: 20 * time.Second,
		StateRPS: 300, StateWriteRPS: 150, ValueKB: 8, TxnOps: 16, CloudRPS: 10, CPU: 1, MemoryMB: 512, Sockets: 1000,
	}
}

// maxControllers bounds a cluster.
const maxControllers = 19

// clusterNames of clusters; there are no more.
var clusterNames = []string{"east", "west", "north", "south", "centre"}

// Fleet is what was brought up.
type Fleet struct {
	Clusters []*Cluster
	options  Options
	cancel   context.CancelFunc

	mu   sync.Mutex
	jobs map[string]Job
}

// Cluster is one of them.
type Cluster struct {
	Name                                   string
	APIAddrs, InternalAddrs, OverflowAddrs []string
	Live                                   *simulation.Live
	fleet                                  *Fleet
	dir                                    string
	procs                                  []*exec.Cmd
}

// Job is a job as its user describes it, all tasks alike.
type Job struct {
	ID, Team string
	// Workload is the class of its work; none: lab.
	Workload string
	Tasks    int
	CPUs     float64
	RunTime  time.Duration
	Deadline time.Duration
	Urgency  string
	// Standing: its tasks run until it is cancelled.
	Standing bool
}

// ErrTooLarge says that more was asked for than is sensible on one machine.
var ErrTooLarge = errors.New("fleet: at most 5 clusters of at most 19 controllers")

// Start brings the clusters up. Down ends them.
func Start(ctx context.Context, options Options) (*Fleet, error) {
	if options.Clusters < 1 || options.Clusters > len(clusterNames) || options.Controllers < 1 || options.Controllers > maxControllers {
		return nil, ErrTooLarge
	}
	if options.Deployment == nil {
		deployment := DefaultDeployment()
		options.Deployment = &deployment
	}
	if _, err := os.Stat(options.Program); err != nil {
		return nil, fmt.Errorf("fleet: the controllers' program: %w; build it first (see README.md)", err)
	}
	for _, x := range options.EnableFiles {
		if _, err := os.Stat(x); err != nil {
			return nil, fmt.Errorf("fleet: what is to be switched on: %w", err)
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

// describeJob tells workers of a job, also under a name by which it was lent.
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

// OriginalID is the name that a lent job has at home.
func OriginalID(lentID string) string {
	// job-lent-CLUSTER-N-REST: clusters here have plain names.
	parts := strings.SplitN(strings.TrimPrefix(lentID, "job-lent-"), "-", 3)
	return "job-" + parts[len(parts)-1]
}

func (c *Cluster) writeConfig(i int) error {
	var b strings.Builder
	fmt.Fprintf(&b, "host_name = \"node-%d\"\narea = \"a\"\napi_addr = %q\nback = %q\n", i, c.APIAddrs[i], c.InternalAddrs[i])
	for k := range c.APIAddrs {
		if k != i {
			fmt.Fprintf(&b, "[[seeds]]\nhost_name = \"node-%d\"\narea = \"a\"\naddress = %q\n", k, c.InternalAddrs[k])
		}
	}
	fmt.Fprintf(&b, "[outside]\ncloud = %q\nstate = %q\n", c.Live.CloudAddr, c.Live.StateAddr)
	deployment := c.fleet.options.Deployment
	fmt.Fprintf(&b, "[deployment]\ninitial_size = %d\nzones = [\"a\"]\ntime_bound_ms = 100.0\n", len(c.APIAddrs))
	for _, team := range deployment.Teams {
		fmt.Fprintf(&b, "[[deployment.teams]]\nname = %q\n", team)
	}
	fmt.Fprintf(&b, "[deployment.workers]\nreport_s = %.3f\nlease_s = %.3f\ncancel_s = %.3f\n", deployment.HeartbeatInterval.Seconds(), deployment.WorkerLease.Seconds(), deployment.CancelWithin.Seconds())
	fmt.Fprintf(&b, "[deployment.state]\nrps = %.1f\nwrite_rps = %.1f\nvalue_kb = %.1f\ntxn_ops = %d\n", deployment.StateRPS, deployment.StateWriteRPS, deployment.ValueKB, deployment.TxnOps)
	fmt.Fprintf(&b, "[deployment.cloud]\nrps = %.1f\nlist_lag_s = 1.0\n", deployment.CloudRPS)
	fmt.Fprintf(&b, "[deployment.quota]\ncpu = %.2f\nram_mb = %.1f\nsockets = %d\n", deployment.CPU, deployment.MemoryMB, deployment.Sockets)
	if err := os.WriteFile(c.filePath(i, "settings.toml"), []byte(b.String()), 0o600); err != nil {
		return fmt.Errorf("fleet: %w", err)
	}
	if !c.fleet.options.Overflow {
		return nil
	}
	b.Reset()
	fmt.Fprintf(&b, "[overflow]\ncluster = %q\nlisten = %q\nkeys = %q\nallow = [\"127.0.0.0/8\"]\nguest_team = \"guests\"\nreport_s = 1\nlease_s = 6\ngain_s = 2\n", c.Name, c.OverflowAddrs[i], filepath.Join(c.dir, "keys"))
	for _, other := range c.fleet.Clusters {
		if other != c {
			fmt.Fprintf(&b, "[[overflow.peers]]\ncluster = %q\naddresses = [\"%s\"]\n", other.Name, strings.Join(other.OverflowAddrs, "\", \""))
		}
	}
	if err := os.WriteFile(c.filePath(i, "overflow.toml"), []byte(b.String()), 0o600); err != nil {
		return fmt.Errorf("fleet: %w", err)
	}
	return nil
}

func (c *Cluster) filePath(i int, name string) string {
	return filepath.Join(c.dir, fmt.Sprintf("node-%d-%s", i, name))
}

// Start starts controller i.
func (c *Cluster) Start(i int) error {
	logFile, err := os.OpenFile(c.filePath(i, "log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return fmt.Errorf("fleet: %w", err)
	}
	defer logFile.Close()
	args := []string{"--config", c.filePath(i, "settings.toml")}
	for _, x := range c.fleet.options.EnableFiles {
		args = append(args, "--enable", x)
	}
	if c.fleet.options.Overflow {
		args = append(args, "--enable", c.filePath(i, "overflow.toml"))
	}
	process := exec.Command(c.fleet.options.Program, args...)
	process.Env = append(os.Environ(), "LOG_LEVEL="+c.fleet.options.LogLevel)
	process.Stderr = logFile
	// Whatever ends this tool ends its controllers too.
	process.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := process.Start(); err != nil {
		return fmt.Errorf("fleet: %w", err)
	}
	c.procs[i] = process
	return nil
}

// Kill ends controller i without a word, as a power cut would.
func (c *Cluster) Kill(i int) {
	if p := c.procs[i]; p != nil {
		p.Process.Kill()
		p.Wait()
		c.procs[i] = nil
	}
}

// PID is the process of controller i, 0 when it was ended.
func (c *Cluster) PID(i int) int {
	if p := c.procs[i]; p != nil {
		return p.Process.Pid
	}
	return 0
}

// Controllers is how many it has.
func (c *Cluster) Controllers() int { return len(c.procs) }

func (c *Cluster) waitHealthy(ctx context.Context, timeout time.Duration) error {
	for end := time.Now().Add(timeout); time.Now().Before(end) && ctx.Err() == nil; time.Sleep(100 * time.Millisecond) {
		if s, _, err := c.call(ctx, http.MethodGet, "/healthz", nil); err == nil && s == http.StatusOK {
			return nil
		}
	}
	return fmt.Errorf("fleet: %s is not healthy after %s; its logs are in %s", c.Name, timeout, c.dir)
}

// Stop ends all processes and servers.
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

// call asks the first controller that answers.
func (c *Cluster) call(ctx context.Context, method, path string, body any) (int, map[string]any, error) {
	return c.callFrom(ctx, 0, method, path, body)
}

// callFrom asks the first that answers, from the one with that number on.
func (c *Cluster) callFrom(ctx context.Context, first int, method, path string, body any) (int, map[string]any, error) {
	var payload []byte
	if body != nil {
		var err error
		if payload, err = msgpack.Marshal(body); err != nil {
			return 0, nil, fmt.Errorf("fleet: %w", err)
		}
	}
	ctx, cancel := context.WithTimeout(ctx, 3*time.Second)
	defer cancel()
	var lastErr error
	for i := range c.APIAddrs {
		addr := c.APIAddrs[(first+i)%len(c.APIAddrs)]
		req, err := http.NewRequestWithContext(ctx, method, "http://"+addr+path, bytes.NewReader(payload))
		if err != nil {
			return 0, nil, fmt.Errorf("fleet: %w", err)
		}
		resp, err := http.DefaultClient.Do(req)
		if err != nil {
			lastErr = err
			continue
		}
		b, err := io.ReadAll(io.LimitReader(resp.Body, 1<<20))
		resp.Body.Close()
		var m map[string]any
		if err == nil && msgpack.Unmarshal(b, &m) == nil {
			return resp.StatusCode, m, nil
		}
		lastErr = err
	}
	return 0, nil, fmt.Errorf("fleet: %s: %w", c.Name, lastErr)
}

// Submit hands a job in, and says whether it was accepted, now or before.
func (c *Cluster) Submit(ctx context.Context, j Job) (accepted bool, err error) {
	return c.SubmitAt(ctx, 0, j)
}

// SubmitAt hands it in at the controller with that number, or the next that answers.
func (c *Cluster) SubmitAt(ctx context.Context, first int, j Job) (accepted bool, err error) {
	c.fleet.mu.Lock()
	c.fleet.jobs[j.ID] = j
	c.fleet.mu.Unlock()
	if j.Workload == "" {
		j.Workload = "lab"
	}
	body := map[string]any{
		"id": j.ID, "workload": j.Workload, "owner": j.Team, "shape": "array", "urgency": j.Urgency, "pieces": j.Tasks,
		"vcpus": j.CPUs, "gpus": 0.0, "memory_gb": j.CPUs, "bundle": "img", "image_gb": 0.2, "flavours": nil, "site": nil,
		"same_place": false, "apart": false, "loaner": true, "expected_s": j.RunTime.Seconds(), "snapshot_every_s": 0.0, "snapshot_cost_s": 0.0, "due_s": nil,
	}
	if j.Standing {
		body["shape"], body["expected_s"] = "standing", 0.0
	}
	if j.Deadline > 0 {
		body["due_s"] = j.Deadline.Seconds()
	}
	status, response, err := c.callFrom(ctx, first, http.MethodPost, "/v2/runs", body)
	if err == nil && status/100 == 4 && status != http.StatusTooManyRequests {
		return false, fmt.Errorf("fleet: %s: %d %v", j.ID, status, response["error"])
	}
	return status == http.StatusOK || status == http.StatusCreated, nil
}

// Query is a job's state as its user sees it; 0 when nobody answered.
func (c *Cluster) Query(ctx context.Context, id string) (status int, state string) {
	code, response, err := c.call(ctx, http.MethodGet, "/v2/runs/"+id, nil)
	if err != nil {
		return 0, ""
	}
	state, _ = response["status"].(string)
	return code, state
}

// Pause holds controller i still, as a machine that hangs: it goes on later as if
// nothing had been.
func (c *Cluster) Pause(i int) { c.signal(i, syscall.SIGSTOP) }

// Resume lets it go on.
func (c *Cluster) Resume(i int) { c.signal(i, syscall.SIGCONT) }

func (c *Cluster) signal(i int, s syscall.Signal) {
	if p := c.procs[i]; p != nil {
		_ = p.Process.Signal(s)
	}
}

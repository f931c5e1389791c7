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

	"github.com/micahill/micahill/internal/core"
	"github.com/micahill/micahill/internal/keys"
	"github.com/micahill/micahill/internal/ports"
	"github.com/micahill/micahill/internal/standin"
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
	// Enable are files such as those under deploy/, for all controllers.
	Enable   []string
	LogLevel string
	// Site is what the clusters are told of their surroundings; none: DefaultSite.
	Site *Site
}

// Site is what a deployment is told of its surroundings, and what these keep to.
type Site struct {
	Teams                      []string
	ReportEvery, Lease, Cancel time.Duration
	// Requests and Changes a second at the state service, and its limits of sizes.
	Requests, Changes, ValueKB float64
	TxnOps                     int
	CloudRPS                   float64
	// CPU, RAMMB and Sockets are a controller's quota.
	CPU, RAMMB float64
	Sockets    int
}

// DefaultSite is a small one, for a hundred machines.
func DefaultSite() Site {
	return Site{
		Teams: []string{"ops", "guests"}, ReportEvery: time.Second, Lease: 6 * time.Second, Cancel: 20 * time.Second,
		Requests: 300, Changes: 150, ValueKB: 8, TxnOps: 16, CloudRPS: 10, CPU: 1, RAMMB: 512, Sockets: 1000,
	}
}

// maxControllers bounds a cluster.
const maxControllers = 19

// names of clusters; there are no more.
var names = []string{"east", "west", "north", "south", "centre"}

// Fleet is what was brought up.
type Fleet struct {
	Clusters []*Cluster
	opt      Options
	cancel   context.CancelFunc

	mu   sync.Mutex
	jobs map[string]Job
}

// Cluster is one of them.
type Cluster struct {
	Name            string
	API, Back, Link []string
	Live            *standin.Live
	fleet           *Fleet
	dir             string
	procs           []*exec.Cmd
}

// Job is a job as its user describes it, all tasks alike.
type Job struct {
	ID, Team string
	// Workload is the class of its work; none: lab.
	Workload string
	Tasks    int
	CPUs     float64
	Run      time.Duration
	Due      time.Duration
	Urgency  string
	// Standing: its tasks run until it is cancelled.
	Standing bool
}

// ErrTooMany says that more was asked for than is sensible on one machine.
var ErrTooMany = errors.New("fleet: at most 5 clusters of at most 19 controllers")

// Up brings the clusters up. Down ends them.
func Up(ctx context.Context, opt Options) (*Fleet, error) {
	if opt.Clusters < 1 || opt.Clusters > len(names) || opt.Controllers < 1 || opt.Controllers > maxControllers {
		return nil, ErrTooMany
	}
	if opt.Site == nil {
		site := DefaultSite()
		opt.Site = &site
	}
	if _, err := os.Stat(opt.Program); err != nil {
		return nil, fmt.Errorf("fleet: the controllers' program: %w; build it first (see README.md)", err)
	}
	for _, x := range opt.Enable {
		if _, err := os.Stat(x); err != nil {
			return nil, fmt.Errorf("fleet: what is to be switched on: %w", err)
		}
	}
	ctx, cancel := context.WithCancel(ctx)
	f := &Fleet{opt: opt, cancel: cancel, jobs: map[string]Job{}}
	if err := f.up(ctx); err != nil {
		f.Down()
		return nil, err
	}
	return f, nil
}

func (f *Fleet) up(ctx context.Context) error {
	ca := filepath.Join(f.opt.Dir, "ca")
	if f.opt.Overflow {
		if err := keys.Init(ca, time.Now()); err != nil {
			return err
		}
	}
	types := []core.MachineType{{
		Name: "box", Capacity: core.Resources{CPU: 4, Memory: 16}, DiskGB: 20, ImageFetchRate: 2, CostPerHour: 0.2, SpotCostPerHour: 0.07,
		ProvisioningTime: 2 * time.Second, Zones: []string{"a"},
	}}
	site := f.opt.Site
	set := core.Settings{HeartbeatInterval: site.ReportEvery, WorkerLease: site.Lease, CloudListLag: time.Second}
	for i, name := range names[:f.opt.Clusters] {
		c := &Cluster{Name: name, fleet: f, dir: filepath.Join(f.opt.Dir, name), procs: make([]*exec.Cmd, f.opt.Controllers)}
		if err := os.MkdirAll(c.dir, 0o700); err != nil {
			return fmt.Errorf("fleet: %w", err)
		}
		for range f.opt.Controllers {
			for _, into := range []*[]string{&c.API, &c.Back, &c.Link} {
				a, err := ports.FreeAddr()
				if err != nil {
					return err
				}
				*into = append(*into, a)
			}
		}
		machines := 20
		if n := len(f.opt.Machines); n > 0 {
			machines = f.opt.Machines[min(i, n-1)]
		}
		c.Live = standin.NewLive(set, site.Requests, site.Changes, types, map[string]int{"box/a/true": machines}, c.API)
		c.Live.Learn(f.learn)
		go c.Live.Run(ctx)
		if f.opt.Overflow {
			if err := keys.Issue(ca, name, filepath.Join(c.dir, "keys"), keys.CertValidity, time.Now()); err != nil {
				return err
			}
		}
		f.Clusters = append(f.Clusters, c)
	}
	for _, c := range f.Clusters {
		for i := range c.procs {
			if err := c.write(i); err != nil {
				return err
			}
			if err := c.Start(i); err != nil {
				return err
			}
		}
	}
	for _, c := range f.Clusters {
		if err := c.wait(ctx, 20*time.Second); err != nil {
			return err
		}
	}
	return nil
}

// learn tells workers of a job, also under a name by which it was lent.
func (f *Fleet) learn(id string) (core.JobSpec, time.Duration, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	own := id
	if strings.HasPrefix(id, "job-lent-") {
		own = OwnID(id)
	}
	j, ok := f.jobs[own]
	return core.JobSpec{ID: id, Team: j.Team, Tasks: j.Tasks, Need: core.Resources{CPU: j.CPUs, Memory: j.CPUs}, Image: "img", ImageGB: 0.2, AllowSpot: true, LongRunning: j.Standing}, j.Run, ok
}

// OwnID is the name that a lent job has at home.
func OwnID(guest string) string {
	// job-lent-CLUSTER-N-REST: clusters here have plain names.
	p := strings.SplitN(strings.TrimPrefix(guest, "job-lent-"), "-", 3)
	return "job-" + p[len(p)-1]
}

func (c *Cluster) write(i int) error {
	var b strings.Builder
	fmt.Fprintf(&b, "host_name = \"node-%d\"\narea = \"a\"\napi_addr = %q\nback = %q\n", i, c.API[i], c.Back[i])
	for k := range c.API {
		if k != i {
			fmt.Fprintf(&b, "[[seeds]]\nhost_name = \"node-%d\"\narea = \"a\"\naddress = %q\n", k, c.Back[k])
		}
	}
	fmt.Fprintf(&b, "[outside]\ncloud = %q\nstate = %q\n", c.Live.Cloud, c.Live.State)
	site := c.fleet.opt.Site
	fmt.Fprintf(&b, "[deployment]\ninitial_size = %d\nzones = [\"a\"]\ntime_bound_ms = 100.0\n", len(c.API))
	for _, team := range site.Teams {
		fmt.Fprintf(&b, "[[deployment.teams]]\nname = %q\n", team)
	}
	fmt.Fprintf(&b, "[deployment.workers]\nreport_s = %.3f\nlease_s = %.3f\ncancel_s = %.3f\n", site.ReportEvery.Seconds(), site.Lease.Seconds(), site.Cancel.Seconds())
	fmt.Fprintf(&b, "[deployment.state]\nrps = %.1f\nwrite_rps = %.1f\nvalue_kb = %.1f\ntxn_ops = %d\n", site.Requests, site.Changes, site.ValueKB, site.TxnOps)
	fmt.Fprintf(&b, "[deployment.cloud]\nrps = %.1f\nlist_lag_s = 1.0\n", site.CloudRPS)
	fmt.Fprintf(&b, "[deployment.quota]\ncpu = %.2f\nram_mb = %.1f\nsockets = %d\n", site.CPU, site.RAMMB, site.Sockets)
	if err := os.WriteFile(c.file(i, "settings.toml"), []byte(b.String()), 0o600); err != nil {
		return fmt.Errorf("fleet: %w", err)
	}
	if !c.fleet.opt.Overflow {
		return nil
	}
	b.Reset()
	fmt.Fprintf(&b, "[overflow]\ncluster = %q\nlisten = %q\nkeys = %q\nallow = [\"127.0.0.0/8\"]\nguest_team = \"guests\"\nreport_s = 1\nlease_s = 6\ngain_s = 2\n", c.Name, c.Link[i], filepath.Join(c.dir, "keys"))
	for _, o := range c.fleet.Clusters {
		if o != c {
			fmt.Fprintf(&b, "[[overflow.peers]]\ncluster = %q\naddresses = [\"%s\"]\n", o.Name, strings.Join(o.Link, "\", \""))
		}
	}
	if err := os.WriteFile(c.file(i, "overflow.toml"), []byte(b.String()), 0o600); err != nil {
		return fmt.Errorf("fleet: %w", err)
	}
	return nil
}

func (c *Cluster) file(i int, name string) string {
	return filepath.Join(c.dir, fmt.Sprintf("node-%d-%s", i, name))
}

// Start starts controller i.
func (c *Cluster) Start(i int) error {
	log, err := os.OpenFile(c.file(i, "log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return fmt.Errorf("fleet: %w", err)
	}
	defer log.Close()
	args := []string{"--config", c.file(i, "settings.toml")}
	for _, x := range c.fleet.opt.Enable {
		args = append(args, "--enable", x)
	}
	if c.fleet.opt.Overflow {
		args = append(args, "--enable", c.file(i, "overflow.toml"))
	}
	p := exec.Command(c.fleet.opt.Program, args...)
	p.Env = append(os.Environ(), "LOG_LEVEL="+c.fleet.opt.LogLevel)
	p.Stderr = log
	// Whatever ends this tool ends its controllers too.
	p.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := p.Start(); err != nil {
		return fmt.Errorf("fleet: %w", err)
	}
	c.procs[i] = p
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

func (c *Cluster) wait(ctx context.Context, most time.Duration) error {
	for end := time.Now().Add(most); time.Now().Before(end) && ctx.Err() == nil; time.Sleep(100 * time.Millisecond) {
		if s, _, err := c.call(ctx, http.MethodGet, "/healthz", nil); err == nil && s == http.StatusOK {
			return nil
		}
	}
	return fmt.Errorf("fleet: %s is not healthy after %s; its logs are in %s", c.Name, most, c.dir)
}

// Down ends all processes and servers.
func (f *Fleet) Down() {
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
	var raw []byte
	if body != nil {
		var err error
		if raw, err = msgpack.Marshal(body); err != nil {
			return 0, nil, fmt.Errorf("fleet: %w", err)
		}
	}
	ctx, cancel := context.WithTimeout(ctx, 3*time.Second)
	defer cancel()
	var last error
	for i := range c.API {
		a := c.API[(first+i)%len(c.API)]
		req, err := http.NewRequestWithContext(ctx, method, "http://"+a+path, bytes.NewReader(raw))
		if err != nil {
			return 0, nil, fmt.Errorf("fleet: %w", err)
		}
		resp, err := http.DefaultClient.Do(req)
		if err != nil {
			last = err
			continue
		}
		b, err := io.ReadAll(io.LimitReader(resp.Body, 1<<20))
		resp.Body.Close()
		var m map[string]any
		if err == nil && msgpack.Unmarshal(b, &m) == nil {
			return resp.StatusCode, m, nil
		}
		last = err
	}
	return 0, nil, fmt.Errorf("fleet: %s: %w", c.Name, last)
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
	m := map[string]any{
		"id": j.ID, "workload": j.Workload, "owner": j.Team, "shape": "array", "urgency": j.Urgency, "pieces": j.Tasks,
		"vcpus": j.CPUs, "gpus": 0.0, "memory_gb": j.CPUs, "bundle": "img", "image_gb": 0.2, "flavours": nil, "site": nil,
		"same_place": false, "apart": false, "loaner": true, "expected_s": j.Run.Seconds(), "snapshot_every_s": 0.0, "snapshot_cost_s": 0.0, "due_s": nil,
	}
	if j.Standing {
		m["shape"], m["expected_s"] = "standing", 0.0
	}
	if j.Due > 0 {
		m["due_s"] = j.Due.Seconds()
	}
	s, o, err := c.callFrom(ctx, first, http.MethodPost, "/v2/runs", m)
	if err == nil && s/100 == 4 && s != http.StatusTooManyRequests {
		return false, fmt.Errorf("fleet: %s: %d %v", j.ID, s, o["error"])
	}
	return s == http.StatusOK || s == http.StatusCreated, nil
}

// Query is a job's state as its user sees it; 0 when nobody answered.
func (c *Cluster) Query(ctx context.Context, id string) (status int, state string) {
	s, o, err := c.call(ctx, http.MethodGet, "/v2/runs/"+id, nil)
	if err != nil {
		return 0, ""
	}
	state, _ = o["status"].(string)
	return s, state
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

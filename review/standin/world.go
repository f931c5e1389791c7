package main

import (
	"fmt"
	"math/rand"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// Options describe a small deployment.
type Options struct {
	Program                  []string // the start command, without the settings file
	Dir                      string
	Nodes                    int
	Teams                    []Team
	Flavours                 []Flavour
	Zones                    []string
	ReportS, LeaseS, CancelS float64
	StateRPS, StateWriteRPS  float64
	ValueKB                  float64
	TxnOps                   int
	CloudRPS, ListLag        float64
	CPU, RAM                 float64
	Sockets                  int
	Back                     time.Duration // how soon an ended process is back
	Seed                     int64
	Record                   string
	LogLevel                 string
}

// Team is a team of the settings.
type Team struct {
	Name                       string
	CPU, CPUMost, GPU, GPUMost float64
}

// World holds all stand-ins and the controllers' processes.
type World struct {
	opt    Options
	began  time.Time
	mu     sync.Mutex
	out    *os.File
	rng    *rand.Rand
	state  *State
	cloud  *Cloud
	nodes  []*Node
	byName map[string]int
	check  *Check
	jobs   map[string]*Job
	deads  map[string]*Worker
}

// Node is one controller process.
type Node struct {
	w        *World
	i        int
	api      string
	back     string
	settings string
	mu       sync.Mutex
	cmd      *exec.Cmd
	starts   int
	ended    int  // processes that ended by themselves
	want     bool // the process shall run
	healthy  atomic.Bool
	maxRSS   int // MB
	quota    bool
	users    int // open connections of users, guarded by the world's mu
	overRSS  int
}

func freeAddr() string {
	for {
		ln, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", 20000+rand.Intn(10000)))
		if err == nil {
			defer ln.Close()
			return ln.Addr().String()
		}
	}
}

func newWorld(opt Options) *World {
	w := &World{opt: opt, began: time.Now(), rng: rand.New(rand.NewSource(opt.Seed)), byName: map[string]int{}, jobs: map[string]*Job{}, deads: map[string]*Worker{}}
	if opt.Record != "" {
		f, err := os.Create(opt.Record)
		if err != nil {
			panic(err)
		}
		w.out = f
	}
	w.check = newCheck(w)
	w.state = newState(w)
	w.cloud = newCloud(w)
	for i := range opt.Nodes {
		n := &Node{w: w, i: i, api: freeAddr(), back: freeAddr()}
		w.nodes = append(w.nodes, n)
		w.byName[fmt.Sprintf("worker-%d", i)] = i
	}
	for i, n := range w.nodes {
		n.settings = filepath.Join(opt.Dir, fmt.Sprintf("settings-%d.toml", i))
		if err := os.WriteFile(n.settings, []byte(w.settings(i)), 0o600); err != nil {
			panic(err)
		}
	}
	return w
}

func (w *World) settings(i int) string {
	var b strings.Builder
	o := w.opt
	fmt.Fprintf(&b, "host_name = \"worker-%d\"\narea = %q\napi_addr = %q\nback = %q\n", i, o.Zones[i%len(o.Zones)], w.nodes[i].api, w.nodes[i].back)
	for j, n := range w.nodes {
		if j != i {
			fmt.Fprintf(&b, "[[seeds]]\nhost_name = \"worker-%d\"\narea = %q\naddress = %q\n", j, o.Zones[j%len(o.Zones)], n.back)
		}
	}
	fmt.Fprintf(&b, "[outside]\ncloud = %q\nstate = %q\n", w.cloud.addr, w.state.addrs[i])
	fmt.Fprintf(&b, "[deployment]\ninitial_size = %d\nzones = [\"%s\"]\ntime_bound_ms = 1000.0\n", o.Nodes, strings.Join(o.Zones, "\", \""))
	for _, t := range o.Teams {
		fmt.Fprintf(&b, "[[deployment.teams]]\nname = %q\ncpus = %.1f\ncpus_max = %.1f\ngpus = %.1f\ngpus_max = %.1f\n", t.Name, t.CPU, t.CPUMost, t.GPU, t.GPUMost)
	}
	fmt.Fprintf(&b, "[deployment.workers]\nreport_s = %.1f\nlease_s = %.1f\ngang_wait_s = 40.0\ngang_peer_s = 8.0\ncancel_s = %.1f\n", o.ReportS, o.LeaseS, o.CancelS)
	fmt.Fprintf(&b, "[deployment.state]\nrps = %.1f\nwrite_rps = %.1f\nvalue_kb = %.1f\ntxn_ops = %d\n", o.StateRPS, o.StateWriteRPS, o.ValueKB, o.TxnOps)
	fmt.Fprintf(&b, "[deployment.cloud]\nrps = %.1f\nlist_lag_s = %.1f\n", o.CloudRPS, o.ListLag)
	fmt.Fprintf(&b, "[deployment.quota]\ncpu = %.3f\nram_mb = %.1f\nsockets = %d\n", o.CPU, o.RAM, o.Sockets)
	return b.String()
}

// serve starts a server on a free loopback port and returns its address.
func (w *World) serve(fn http.HandlerFunc) string {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		panic(err)
	}
	go func() { _ = (&http.Server{Handler: fn}).Serve(ln) }()
	return ln.Addr().String()
}

func (w *World) logf(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.out != nil {
		fmt.Fprintf(w.out, "%8.3f %s\n", time.Since(w.began).Seconds(), fmt.Sprintf(format, args...))
	}
}

func (w *World) rand(n int) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.rng.Intn(n)
}

func (w *World) float() float64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.rng.Float64()
}

func (w *World) jobOf(piece string) *Job {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.jobs[jobName(piece)]
}

func (w *World) keepDead(h *Worker) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.deads[h.id] = h
}

func (w *World) dead(id string) *Worker {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.deads[id]
}

// Start starts a controller's process and starts it again whenever it has ended by itself.
func (n *Node) Start() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.want = true
	if n.cmd == nil {
		n.launch()
	}
}

// launch starts the process. The caller holds mu.
func (n *Node) launch() {
	logFile, err := os.OpenFile(filepath.Join(n.w.opt.Dir, fmt.Sprintf("node-%d.log", n.i)), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		panic(err)
	}
	defer logFile.Close()
	args := append(append([]string{}, n.w.opt.Program[1:]...), n.settings)
	cmd := exec.Command(n.w.opt.Program[0], args...)
	level := n.w.opt.LogLevel
	if level == "" {
		level = "info"
	}
	cmd.Env = append(os.Environ(), "LOG_LEVEL="+level)
	cmd.Stderr = logFile
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		panic(err)
	}
	n.cmd = cmd
	n.starts++
	n.w.logf("node %d started, process number %d", n.i, n.starts)
	go func() {
		err := cmd.Wait()
		n.mu.Lock()
		defer n.mu.Unlock()
		if n.cmd != cmd {
			return
		}
		n.cmd = nil
		if !n.want {
			return
		}
		n.ended++
		n.w.logf("node %d ended by itself: %v", n.i, err)
		go func() {
			time.Sleep(n.w.opt.Back)
			n.mu.Lock()
			defer n.mu.Unlock()
			if n.want && n.cmd == nil {
				n.launch()
			}
		}()
	}()
}

// Kill kills the process, without a signal that it can handle.
func (n *Node) Kill() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.want = false
	if n.cmd != nil {
		n.w.logf("node %d killed", n.i)
		_ = n.cmd.Process.Kill()
		n.cmd = nil
	}
}

// RSS returns the memory that the process holds, in MB.
func (n *Node) RSS() int {
	n.mu.Lock()
	cmd := n.cmd
	n.mu.Unlock()
	if cmd == nil {
		return 0
	}
	b, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", cmd.Process.Pid))
	if err != nil {
		return 0
	}
	for _, line := range strings.Split(string(b), "\n") {
		if strings.HasPrefix(line, "VmRSS:") {
			var kb int
			_, _ = fmt.Sscan(strings.TrimPrefix(line, "VmRSS:"), &kb)
			return kb / 1024
		}
	}
	return 0
}

// watchHealth probes the node like the load balancer does.
func (n *Node) watchHealth() {
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	bad, good, ever := 0, 0, false
	for {
		resp, err := client.Get("http://" + n.api + "/healthz")
		ok := err == nil && resp.StatusCode == 200
		if resp != nil {
			resp.Body.Close()
		}
		if ok {
			good, bad = good+1, 0
		} else {
			good, bad = 0, bad+1
		}
		if ok && (!ever || good >= 2) {
			ever = true
			n.healthy.Store(true)
		} else if bad >= 2 {
			n.healthy.Store(false)
		}
		time.Sleep(time.Second)
	}
}

// watchMemory records the memory that the process holds, and with quota set ends a process that
// goes over the limit, as the platform does.
func (n *Node) watchMemory() {
	for {
		mb := n.RSS()
		n.mu.Lock()
		n.maxRSS = max(n.maxRSS, mb)
		over := n.quota && n.cmd != nil && float64(mb) > n.w.opt.RAM
		if over {
			n.w.logf("node %d holds %d MB, over the limit of %.0f MB: ended by the platform", n.i, mb, n.w.opt.RAM)
			n.overRSS++
			_ = n.cmd.Process.Kill()
		}
		n.mu.Unlock()
		if over {
			time.Sleep(100 * time.Millisecond)
		}
		time.Sleep(10 * time.Millisecond)
	}
}

// setQuota makes the platform end the process if it goes over its memory limit.
func (n *Node) setQuota() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.quota = true
}

// memory returns how often the process was ended for memory, and the most memory that it held.
func (n *Node) memory() (over, mb int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.overRSS, n.maxRSS
}

// StartAll starts all controllers and waits until they are healthy.
func (w *World) StartAll(wait time.Duration) bool {
	for _, n := range w.nodes {
		n.Start()
		go n.watchHealth()
		go n.watchMemory()
	}
	for end := time.Now().Add(wait); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		all := true
		for _, n := range w.nodes {
			all = all && n.healthy.Load()
		}
		if all {
			return true
		}
	}
	return false
}

// StopAll ends all processes.
func (w *World) StopAll() {
	for _, n := range w.nodes {
		n.Kill()
	}
}

package fleet

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"

	"github.com/micahill/micahill/internal/simulation"
)

// Cluster is one cluster of a Fleet.
type Cluster struct {
	Name string
	// The addresses of the controllers, by their numbers: for users and workers, for each
	// other, and for other clusters.
	APIAddrs, InternalAddrs, OverflowAddrs []string
	// Live is the simulated state service, cloud and workers.
	Live  *simulation.Live
	fleet *Fleet
	dir   string
	// procs are the processes of the controllers; nil after Kill.
	procs []*exec.Cmd
}

// writeConfig writes the files that controller i is started with.
func (c *Cluster) writeConfig(i int) error {
	if err := c.writeSettings(i); err != nil {
		return err
	}
	if c.fleet.options.Overflow {
		return c.writeOverflow(i)
	}
	return nil
}

func (c *Cluster) writeSettings(i int) error {
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
	return nil
}

// writeOverflow writes the file that lets controller i lend to and borrow from the other
// clusters.
func (c *Cluster) writeOverflow(i int) error {
	var b strings.Builder
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

// Start starts controller i. Its log goes to a file in the directory of the cluster.
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
	// The controllers must not outlive this process, even if it is killed.
	process.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := process.Start(); err != nil {
		return fmt.Errorf("fleet: %w", err)
	}
	c.procs[i] = process
	return nil
}

// Kill ends controller i without a shutdown, as a power failure would.
func (c *Cluster) Kill(i int) {
	if p := c.procs[i]; p != nil {
		p.Process.Kill()
		p.Wait()
		c.procs[i] = nil
	}
}

// PID returns the process ID of controller i, or 0 after Kill.
func (c *Cluster) PID(i int) int {
	if p := c.procs[i]; p != nil {
		return p.Process.Pid
	}
	return 0
}

// Controllers returns the number of controllers, including those that were killed.
func (c *Cluster) Controllers() int { return len(c.procs) }

func (c *Cluster) waitHealthy(ctx context.Context, timeout time.Duration) error {
	for end := time.Now().Add(timeout); time.Now().Before(end) && ctx.Err() == nil; time.Sleep(100 * time.Millisecond) {
		if s, _, err := c.call(ctx, http.MethodGet, "/healthz", nil); err == nil && s == http.StatusOK {
			return nil
		}
	}
	return fmt.Errorf("fleet: %s: not healthy after %s; its logs are in %s", c.Name, timeout, c.dir)
}

// Pause suspends controller i, like a host that hangs, until Resume.
func (c *Cluster) Pause(i int) { c.signal(i, syscall.SIGSTOP) }

// Resume lets a paused controller continue.
func (c *Cluster) Resume(i int) { c.signal(i, syscall.SIGCONT) }

func (c *Cluster) signal(i int, s syscall.Signal) {
	if p := c.procs[i]; p != nil {
		_ = p.Process.Signal(s)
	}
}

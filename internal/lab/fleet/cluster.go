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
	// The addresses of the controllers, by their index: for users and workers, for the other
	// controllers, and for other clusters.
	APIAddrs, InternalAddrs, OverflowAddrs []string
	// Live is the simulated state service, cloud and workers.
	Live  *simulation.Live
	fleet *Fleet
	// dir is the directory of the settings, keys and logs.
	dir string
	// procs are the processes of the controllers, by their index; nil after Kill.
	procs []*exec.Cmd
}

// writeConfig writes the files with which controller i is started.
func (cluster *Cluster) writeConfig(i int) error {
	if err := cluster.writeSettings(i); err != nil {
		return err
	}
	if cluster.fleet.options.Overflow {
		return cluster.writeOverflow(i)
	}
	return nil
}

// writeSettings writes the settings of controller i.
func (cluster *Cluster) writeSettings(i int) error {
	var b strings.Builder
	fmt.Fprintf(&b, "host_name = \"node-%d\"\narea = \"a\"\napi_addr = %q\nback = %q\n", i, cluster.APIAddrs[i], cluster.InternalAddrs[i])
	for other := range cluster.APIAddrs {
		if other != i {
			fmt.Fprintf(&b, "[[seeds]]\nhost_name = \"node-%d\"\narea = \"a\"\naddress = %q\n", other, cluster.InternalAddrs[other])
		}
	}
	fmt.Fprintf(&b, "[outside]\ncloud = %q\nstate = %q\n", cluster.Live.CloudAddr, cluster.Live.StateAddr)
	deployment := cluster.fleet.options.Deployment
	fmt.Fprintf(&b, "[deployment]\ninitial_size = %d\nzones = [\"a\"]\ntime_bound_ms = 100.0\n", len(cluster.APIAddrs))
	for _, team := range deployment.Teams {
		fmt.Fprintf(&b, "[[deployment.teams]]\nname = %q\n", team)
	}
	fmt.Fprintf(&b, "[deployment.workers]\nreport_s = %.3f\nlease_s = %.3f\ncancel_s = %.3f\n", deployment.HeartbeatInterval.Seconds(), deployment.WorkerLease.Seconds(), deployment.CancelWithin.Seconds())
	fmt.Fprintf(&b, "[deployment.state]\nrps = %.1f\nwrite_rps = %.1f\nvalue_kb = %.1f\ntxn_ops = %d\n", deployment.StateRPS, deployment.StateWriteRPS, deployment.ValueKB, deployment.TxnOps)
	fmt.Fprintf(&b, "[deployment.cloud]\nrps = %.1f\nlist_lag_s = 1.0\n", deployment.CloudRPS)
	fmt.Fprintf(&b, "[deployment.quota]\ncpu = %.2f\nram_mb = %.1f\nsockets = %d\n", deployment.CPU, deployment.MemoryMB, deployment.Sockets)
	if err := os.WriteFile(cluster.filePath(i, "settings.toml"), []byte(b.String()), 0o600); err != nil {
		return fmt.Errorf("fleet: %w", err)
	}
	return nil
}

// writeOverflow writes the file that enables overflow at controller i, with all other clusters as
// peers.
func (cluster *Cluster) writeOverflow(i int) error {
	var b strings.Builder
	fmt.Fprintf(&b, "[overflow]\ncluster = %q\nlisten = %q\nkeys = %q\nallow = [\"127.0.0.0/8\"]\nguest_team = \"guests\"\nreport_s = 1\nlease_s = 6\ngain_s = 2\n", cluster.Name, cluster.OverflowAddrs[i], filepath.Join(cluster.dir, "keys"))
	for _, other := range cluster.fleet.Clusters {
		if other != cluster {
			fmt.Fprintf(&b, "[[overflow.peers]]\ncluster = %q\naddresses = [\"%s\"]\n", other.Name, strings.Join(other.OverflowAddrs, "\", \""))
		}
	}
	if err := os.WriteFile(cluster.filePath(i, "overflow.toml"), []byte(b.String()), 0o600); err != nil {
		return fmt.Errorf("fleet: %w", err)
	}
	return nil
}

// filePath returns the path of a file of controller i.
func (cluster *Cluster) filePath(i int, name string) string {
	return filepath.Join(cluster.dir, fmt.Sprintf("node-%d-%s", i, name))
}

// Start starts controller i. Its log is appended to a file in the directory of the cluster.
func (cluster *Cluster) Start(i int) error {
	logFile, err := os.OpenFile(cluster.filePath(i, "log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return fmt.Errorf("fleet: %w", err)
	}
	defer logFile.Close()
	args := []string{"--config", cluster.filePath(i, "settings.toml")}
	for _, enableFile := range cluster.fleet.options.EnableFiles {
		args = append(args, "--enable", enableFile)
	}
	if cluster.fleet.options.Overflow {
		args = append(args, "--enable", cluster.filePath(i, "overflow.toml"))
	}
	process := exec.Command(cluster.fleet.options.Program, args...)
	process.Env = append(os.Environ(), "LOG_LEVEL="+cluster.fleet.options.LogLevel)
	process.Stderr = logFile
	// The controllers must not outlive this process, even if it is killed.
	process.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := process.Start(); err != nil {
		return fmt.Errorf("fleet: %w", err)
	}
	cluster.procs[i] = process
	return nil
}

// Kill kills controller i without a shutdown, as a power failure would.
func (cluster *Cluster) Kill(i int) {
	if process := cluster.procs[i]; process != nil {
		process.Process.Kill()
		process.Wait()
		cluster.procs[i] = nil
	}
}

// PID returns the process ID of controller i, or 0 after Kill.
func (cluster *Cluster) PID(i int) int {
	if process := cluster.procs[i]; process != nil {
		return process.Process.Pid
	}
	return 0
}

// Controllers returns the number of controllers, including those that were killed.
func (cluster *Cluster) Controllers() int { return len(cluster.procs) }

// waitHealthy waits until a controller of the cluster is healthy, and returns an error after
// timeout.
func (cluster *Cluster) waitHealthy(ctx context.Context, timeout time.Duration) error {
	for end := time.Now().Add(timeout); time.Now().Before(end) && ctx.Err() == nil; time.Sleep(100 * time.Millisecond) {
		if status, _, err := cluster.call(ctx, http.MethodGet, "/healthz", nil); err == nil && status == http.StatusOK {
			return nil
		}
	}
	return fmt.Errorf("fleet: %s: not healthy after %s; its logs are in %s", cluster.Name, timeout, cluster.dir)
}

// Pause suspends controller i until Resume, like a host that hangs.
func (cluster *Cluster) Pause(i int) { cluster.signal(i, syscall.SIGSTOP) }

// Resume continues controller i after Pause.
func (cluster *Cluster) Resume(i int) { cluster.signal(i, syscall.SIGCONT) }

// signal sends a signal to controller i, unless it was killed.
func (cluster *Cluster) signal(i int, sig syscall.Signal) {
	if process := cluster.procs[i]; process != nil {
		_ = process.Process.Signal(sig)
	}
}

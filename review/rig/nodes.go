package main

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync/atomic"
	"syscall"
	"time"
)

// team is a team of the settings.
type team struct {
	name          string
	cpus, cpusMax float64
}

// deployment holds the settings that the controllers and the stand-ins share.
type deployment struct {
	zones                            []string
	teams                            []team
	reportS, leaseS, cancelS         float64
	stateRPS, stateWriteRPS, valueKB float64
	txnOps                           int
	cloudRPS, listLagS               float64
	ramMB                            float64
	sockets                          int
}

// node is a controller.
type node struct {
	name, api, back string
	settings        string
	world           *world
	process         *exec.Cmd
	ended           chan struct{}
	// wanted is whether the process should be running; its end is then its own doing.
	wanted atomic.Bool
	log    string
}

// freeAddr returns a loopback address that is free now, outside the range of outgoing connections.
func freeAddr() string {
	for range 200 {
		addr := fmt.Sprintf("127.0.0.1:%d", 10000+rand.IntN(20000))
		if listener, err := net.Listen("tcp", addr); err == nil {
			listener.Close()
			return addr
		}
	}
	fail("no free port")
	return ""
}

// runCommand returns the command of deploy/service.toml that starts a controller.
func runCommand() []string {
	text, err := os.ReadFile("deploy/service.toml")
	if err != nil {
		fail("%v", err)
	}
	for line := range strings.Lines(string(text)) {
		if name, value, ok := strings.Cut(line, "="); ok && strings.TrimSpace(name) == "run" {
			command, err := strconv.Unquote(strings.TrimSpace(value))
			if err != nil {
				fail("deploy/service.toml: %v", err)
			}
			return strings.Fields(command)
		}
	}
	fail("deploy/service.toml has no run")
	return nil
}

// writeSettings writes the settings of each node.
func (w *world) writeSettings(dir, cloud, state string) {
	for i, n := range w.nodes {
		var b strings.Builder
		d := w.settings
		fmt.Fprintf(&b, "host_name = %q\narea = %q\napi_addr = %q\nback = %q\n\n", n.name, d.zones[i%len(d.zones)], n.api, n.back)
		for j, other := range w.nodes {
			if i != j {
				fmt.Fprintf(&b, "[[seeds]]\nhost_name = %q\narea = %q\naddress = %q\n\n", other.name, d.zones[j%len(d.zones)], other.back)
			}
		}
		fmt.Fprintf(&b, "[outside]\ncloud = %q\nstate = %q\n\n[deployment]\ninitial_size = %d\nzones = [", cloud, state, len(w.nodes))
		for k, zone := range d.zones {
			if k > 0 {
				b.WriteString(", ")
			}
			fmt.Fprintf(&b, "%q", zone)
		}
		b.WriteString("]\ntime_bound_ms = 1000.0\n\n")
		for _, t := range d.teams {
			fmt.Fprintf(&b, "[[deployment.teams]]\nname = %q\ncpus = %.1f\ncpus_max = %.1f\ngpus = 0.0\ngpus_max = 0.0\n\n", t.name, t.cpus, t.cpusMax)
		}
		fmt.Fprintf(&b, "[deployment.workers]\nreport_s = %.1f\nlease_s = %.1f\ngang_wait_s = 40.0\ngang_peer_s = 8.0\ncancel_s = %.1f\n\n", d.reportS, d.leaseS, d.cancelS)
		fmt.Fprintf(&b, "[deployment.state]\nrps = %.1f\nwrite_rps = %.1f\nvalue_kb = %.1f\ntxn_ops = %d\n\n", d.stateRPS, d.stateWriteRPS, d.valueKB, d.txnOps)
		fmt.Fprintf(&b, "[deployment.cloud]\nrps = %.1f\nlist_lag_s = %.1f\n\n", d.cloudRPS, d.listLagS)
		fmt.Fprintf(&b, "[deployment.quota]\ncpu = 0.18\nram_mb = %.1f\nsockets = %d\n", d.ramMB, d.sockets)
		n.settings = filepath.Join(dir, n.name+".toml")
		n.log = filepath.Join(dir, n.name+".log")
		if err := os.WriteFile(n.settings, []byte(b.String()), 0o600); err != nil {
			fail("%v", err)
		}
	}
}

// start starts the controller's process.
func (n *node) start() {
	command := runCommand()
	log, err := os.OpenFile(n.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		fail("%v", err)
	}
	defer log.Close()
	process := exec.Command(command[0], append(command[1:], n.settings)...)
	level := os.Getenv("RIG_LOG")
	if level == "" {
		level = "info"
	}
	process.Env = append(os.Environ(), "LOG_LEVEL="+level)
	process.Stderr = log
	process.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := process.Start(); err != nil {
		fail("%v: %v", command, err)
	}
	ended := make(chan struct{})
	n.process, n.ended = process, ended
	n.wanted.Store(true)
	n.world.logf("%s: started", n.name)
	go func() {
		err := process.Wait()
		if n.wanted.Load() && n.process == process {
			n.world.mu.Lock()
			n.world.breaks("crash", "%s ended by itself: %v", n.name, err)
			n.world.mu.Unlock()
		}
		close(ended)
	}()
}

// kill ends the process without a signal that it could handle.
func (n *node) kill() {
	n.wanted.Store(false)
	n.process.Process.Kill()
	<-n.ended
	n.world.logf("%s: killed", n.name)
}

// operators gets a page of the operators' interface of a node.
func (n *node) operators(path string) string {
	client := &http.Client{Timeout: 3 * time.Second}
	response, err := client.Get("http://" + n.back + path)
	if err != nil {
		return err.Error()
	}
	defer response.Body.Close()
	body, _ := io.ReadAll(response.Body)
	return string(body)
}

func (w *world) nodeNamed(name string) int {
	for i, n := range w.nodes {
		if n.name == name {
			return i
		}
	}
	return -1
}

// healthy reports whether a node answers its health check.
func (n *node) healthy() bool {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	status, _ := post(ctx, http.DefaultClient, http.MethodGet, "http://"+n.api+"/healthz", nil)
	return status == 200
}

// waitHealthy waits until all nodes are healthy.
func (w *world) waitHealthy() {
	for end := time.Now().Add(25 * time.Second); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		ok := true
		for _, n := range w.nodes {
			ok = ok && n.healthy()
		}
		if ok {
			w.logf("all nodes are healthy")
			return
		}
	}
	fail("the nodes are not healthy after 25 s")
}

package scale

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"strings"
	"time"

	"github.com/micahill/micahill/internal/message"
	"github.com/micahill/micahill/internal/simulation"
)

// checkAlive returns an error if a controller has exited by itself, or if all processes
// together take more memory than allowed.
func (l *workload) checkAlive() error {
	totalMB := 0.0
	for i := range l.cluster.APIAddrs {
		pid := l.cluster.PID(i)
		if pid == 0 {
			continue
		}
		x, err := readProcess(pid)
		if err != nil || x.exited {
			return fmt.Errorf("scale: node-%d exited by itself; its log is in %s", i, l.plan.Dir)
		}
		totalMB += x.rssMB
	}
	me, err := readProcess(os.Getpid())
	if err != nil {
		return err
	}
	m, err := readNumericFields("/proc/meminfo")
	if err != nil {
		return err
	}
	if limitMB := memoryFraction * m["MemTotal"] / 1024; totalMB+me.rssMB > limitMB {
		return fmt.Errorf("scale: %.0f MB of memory in use, limit is half of the memory, %.0f MB; try fewer --workers", totalMB+me.rssMB, limitMB)
	}
	return nil
}

// snapshot holds the counters that are read at the start and the end of a measurement.
type snapshot struct {
	at     time.Time
	counts simulation.LiveCounts
	// procs are the controllers, and self is this process.
	procs []processStats
	self  processStats
	// machineCPU is the processor time of the whole machine in seconds.
	machineCPU float64
}

func (l *workload) takeSnapshot() (snapshot, error) {
	s := snapshot{counts: l.cluster.Live.Counts()}
	for i := range l.cluster.APIAddrs {
		x, err := readProcess(l.cluster.PID(i))
		if err != nil || x.exited {
			return s, fmt.Errorf("scale: node-%d exited by itself; its log is in %s", i, l.plan.Dir)
		}
		s.procs = append(s.procs, x)
	}
	var err error
	if s.self, err = readProcess(os.Getpid()); err != nil {
		return s, err
	}
	s.machineCPU, err = machineCPUSeconds()
	s.at = time.Now()
	return s, err
}

// machineCPUSeconds returns the processor time that the whole machine has used since it booted.
func machineCPUSeconds() (float64, error) {
	b, err := os.ReadFile("/proc/stat")
	if err != nil {
		return 0, fmt.Errorf("scale: %w", err)
	}
	line, _, _ := strings.Cut(string(b), "\n")
	var user, nice, system, idle, wait, irq, soft float64
	if _, err := fmt.Sscanf(line, "cpu %f %f %f %f %f %f %f", &user, &nice, &system, &idle, &wait, &irq, &soft); err != nil {
		return 0, fmt.Errorf("scale: /proc/stat: %w", err)
	}
	return (user + nice + system + irq + soft) / clockTicks, nil
}

// setRates sets the rates between two snapshots.
func (l *workload) setRates(r *Measurement, before, after snapshot) {
	seconds := after.at.Sub(before.at).Seconds()
	delta := after.counts.Minus(before.counts)
	perSecond := func(m map[string]int) (float64, map[string]float64) {
		sum, out := 0.0, map[string]float64{}
		for k, v := range m {
			out[k] = float64(v) / seconds
			sum += out[k]
		}
		return sum, out
	}
	r.ForS, r.StartsPerSecond, r.RateLimited, r.CloudCalls, r.LostToLease = seconds, float64(delta.Starts)/seconds, delta.RateLimited, float64(delta.CloudCalls)/seconds, delta.LostToLease
	for status, n := range delta.Heartbeats {
		r.HeartbeatsPerSecond += float64(n) / seconds
		if status != http.StatusOK {
			r.HeartbeatsRejected += float64(n) / seconds
		}
	}
	kb := 1024 * seconds * float64(r.Workers)
	r.HeartbeatKB, r.CommandKB = float64(delta.HeartbeatBytesOut+delta.HeartbeatBytesIn)/kb, float64(delta.CommandBytesOut+delta.CommandBytesIn)/kb
	r.CommandsPerSecond, _ = perSecond(delta.Commands)
	r.StateRPS, r.RequestsByKind = perSecond(delta.Requests)
	r.StateWriteRPS, r.WritesByFamily = perSecond(delta.Writes)
	r.SimulationCores = (after.self.cpuSeconds - before.self.cpuSeconds) / seconds
	r.OtherCores = (after.machineCPU-before.machineCPU)/seconds - r.SimulationCores
	for i, x := range after.procs {
		r.OtherCores -= (x.cpuSeconds - before.procs[i].cpuSeconds) / seconds
	}
}

// setRoles sets what each controller took between two snapshots, and its role now.
func (l *workload) setRoles(ctx context.Context, r *Measurement, before, after snapshot) error {
	s := after.at.Sub(before.at).Seconds()
	for i, x := range after.procs {
		reply, err := status(ctx, l.cluster.InternalAddrs[i])
		if err != nil {
			return err
		}
		role := Role{Host: fmt.Sprintf("node-%d", i), Role: "other", Cores: (x.cpuSeconds - before.procs[i].cpuSeconds) / s, RSSMB: x.rssMB, PeakMB: x.peakMB, Files: x.openFiles, Threads: x.threads}
		role.Teams = len(localTeams(reply))
		switch {
		case reply.IsLeader && reply.IsShardLeader:
			role.Role = "leader+owner"
		case reply.IsLeader:
			role.Role = "leader"
		case reply.IsShardLeader:
			role.Role = "owner"
		}
		r.Roles = append(r.Roles, role)
	}
	return nil
}

// localTeams returns the teams whose jobs the controller runs.
func localTeams(s *message.StatusReply) []string {
	var out []string
	for _, t := range s.Teams {
		if t.IsLocal {
			out = append(out, t.Name)
		}
	}
	return out
}

// status queries the status of the controller at an internal address.
func status(ctx context.Context, addr string) (*message.StatusReply, error) {
	ctx, cancel := context.WithTimeout(ctx, 5*time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+addr+"/status", nil)
	if err != nil {
		return nil, fmt.Errorf("scale: %w", err)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return nil, fmt.Errorf("scale: %w", err)
	}
	defer resp.Body.Close()
	var s message.StatusReply
	if err := json.NewDecoder(resp.Body).Decode(&s); err != nil {
		return nil, fmt.Errorf("scale: %s: %w", addr, err)
	}
	return &s, nil
}

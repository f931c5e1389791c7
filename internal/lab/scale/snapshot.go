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

// checkAlive returns an error if a controller that was not killed has exited, or if all processes
// together use more memory than memoryFraction of the machine's.
func (load *workload) checkAlive() error {
	totalMB := 0.0
	for i := range load.cluster.APIAddrs {
		pid := load.cluster.PID(i)
		if pid == 0 {
			continue
		}
		stats, err := readProcess(pid)
		if err != nil || stats.exited {
			return fmt.Errorf("scale: node-%d exited unexpectedly; its log is in %s", i, load.plan.Dir)
		}
		totalMB += stats.rssMB
	}
	self, err := readProcess(os.Getpid())
	if err != nil {
		return err
	}
	meminfo, err := readNumericFields("/proc/meminfo")
	if err != nil {
		return err
	}
	if limitMB := memoryFraction * meminfo["MemTotal"] / 1024; totalMB+self.rssMB > limitMB {
		return fmt.Errorf("scale: %.0f MB of memory in use, the limit is half of the memory, %.0f MB; want fewer --workers", totalMB+self.rssMB, limitMB)
	}
	return nil
}

// snapshot holds the counters that are read at the start and the end of a measurement.
type snapshot struct {
	at     time.Time
	counts simulation.LiveCounts
	// procs has the statistics of the controllers, and self those of this process.
	procs []processStats
	self  processStats
	// machineCPU is the processor time of the whole machine in seconds.
	machineCPU float64
}

// takeSnapshot reads the counters. It returns an error if a controller has exited.
func (load *workload) takeSnapshot() (snapshot, error) {
	current := snapshot{counts: load.cluster.Live.Counts()}
	for i := range load.cluster.APIAddrs {
		stats, err := readProcess(load.cluster.PID(i))
		if err != nil || stats.exited {
			return current, fmt.Errorf("scale: node-%d exited unexpectedly; its log is in %s", i, load.plan.Dir)
		}
		current.procs = append(current.procs, stats)
	}
	var err error
	if current.self, err = readProcess(os.Getpid()); err != nil {
		return current, err
	}
	current.machineCPU, err = machineCPUSeconds()
	current.at = time.Now()
	return current, err
}

// machineCPUSeconds returns the processor time in seconds that the whole machine has used since
// it booted.
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

// setRates sets the rates between two snapshots in the result.
func (load *workload) setRates(measurement *Measurement, before, after snapshot) {
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
	measurement.ForS, measurement.StartsPerSecond, measurement.RateLimited, measurement.CloudCalls, measurement.LostToLease = seconds, float64(delta.Starts)/seconds, delta.RateLimited, float64(delta.CloudCalls)/seconds, delta.LostToLease
	for status, n := range delta.Heartbeats {
		measurement.HeartbeatsPerSecond += float64(n) / seconds
		if status != http.StatusOK {
			measurement.HeartbeatsRejected += float64(n) / seconds
		}
	}
	kb := 1024 * seconds * float64(measurement.Workers)
	measurement.HeartbeatKB, measurement.CommandKB = float64(delta.HeartbeatBytesOut+delta.HeartbeatBytesIn)/kb, float64(delta.CommandBytesOut+delta.CommandBytesIn)/kb
	measurement.CommandsPerSecond, _ = perSecond(delta.Commands)
	measurement.StateRPS, measurement.RequestsByKind = perSecond(delta.Requests)
	measurement.StateWriteRPS, measurement.WritesByFamily = perSecond(delta.Writes)
	measurement.SimulationCores = (after.self.cpuSeconds - before.self.cpuSeconds) / seconds
	measurement.OtherCores = (after.machineCPU-before.machineCPU)/seconds - measurement.SimulationCores
	for i, stats := range after.procs {
		measurement.OtherCores -= (stats.cpuSeconds - before.procs[i].cpuSeconds) / seconds
	}
}

// setRoles sets the current role of each controller and the resources that it used between two
// snapshots.
func (load *workload) setRoles(ctx context.Context, measurement *Measurement, before, after snapshot) error {
	seconds := after.at.Sub(before.at).Seconds()
	for i, stats := range after.procs {
		reply, err := fetchStatus(ctx, load.cluster.InternalAddrs[i])
		if err != nil {
			return err
		}
		role := Role{Host: fmt.Sprintf("node-%d", i), Role: "other", Cores: (stats.cpuSeconds - before.procs[i].cpuSeconds) / seconds, RSSMB: stats.rssMB, PeakMB: stats.peakMB, Files: stats.openFiles, Threads: stats.threads}
		role.Teams = len(localTeams(reply))
		switch {
		case reply.IsLeader && reply.IsShardLeader:
			role.Role = "leader+owner"
		case reply.IsLeader:
			role.Role = "leader"
		case reply.IsShardLeader:
			role.Role = "owner"
		}
		measurement.Roles = append(measurement.Roles, role)
	}
	return nil
}

// localTeams returns the teams whose jobs the controller runs.
func localTeams(reply *message.StatusReply) []string {
	var out []string
	for _, team := range reply.Teams {
		if team.IsLocal {
			out = append(out, team.Name)
		}
	}
	return out
}

// fetchStatus requests the status of the controller at an internal address.
func fetchStatus(ctx context.Context, addr string) (*message.StatusReply, error) {
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
	var reply message.StatusReply
	if err := json.NewDecoder(resp.Body).Decode(&reply); err != nil {
		return nil, fmt.Errorf("scale: %s: %w", addr, err)
	}
	return &reply, nil
}

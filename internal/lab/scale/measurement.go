package scale

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/micahill/micahill/internal/lab/fleet"
	"github.com/micahill/micahill/internal/message"
	"github.com/micahill/micahill/internal/simulation"
)

// Measurement is what was measured; rates are a second.
type Measurement struct {
	Workers      int     `json:"workers"`
	Controllers  int     `json:"controllers"`
	Teams        int     `json:"teams"`
	StartsWanted float64 `json:"starts_wanted"`
	ForS         float64 `json:"for_s"`
	// FillS is how long it took until all workers reported; Up and Running are those
	// that did, and the tasks on them, at the end of the measurement.
	FillS           float64 `json:"fill_s"`
	WorkersUp       int     `json:"up"`
	TasksRunning    int     `json:"running"`
	StartsPerSecond float64 `json:"starts"`
	Roles           []Role  `json:"roles"`
	// SimulationCores is the processor share of this process: all workers, the state service and
	// the cloud together. Load is what else ran on the machine, in cores.
	SimulationCores     float64 `json:"lab_cores"`
	OtherCores          float64 `json:"others_cores"`
	HeartbeatsPerSecond float64 `json:"reports"`
	HeartbeatsRejected  float64 `json:"reports_not_200"`
	HeartbeatKB         float64 `json:"report_kb_per_worker"`
	CommandKB           float64 `json:"order_kb_per_worker"`
	CommandsPerSecond   float64 `json:"orders"`
	StateRPS            float64 `json:"requests"`
	StateWriteRPS       float64 `json:"changes"`
	// RequestsByKind and WritesByFamily split requests and changes.
	RequestsByKind     map[string]float64 `json:"requests_by_kind"`
	WritesByFamily     map[string]float64 `json:"changes_by_family"`
	RateLimited        int                `json:"refused"`
	CloudCalls         float64            `json:"cloud_calls"`
	Jobs               int                `json:"jobs"`
	AcceptLatency      Latencies          `json:"accept"`
	UrgentStartLatency Latencies          `json:"urgent_start"`
	// RankingLatency is how long a change of the ranking took until all controllers had it.
	RankingLatency Latencies `json:"change"`
	Takeover       *Takeover `json:"takeover,omitempty"`
	// RecoveryS is how long after the loss of workers all that stands ran again.
	RecoveryS   float64  `json:"loss_s,omitempty"`
	LostToLease int      `json:"lost_to_lease"`
	Violations  []string `json:"broken"`
}

// Role is a controller, what it was, and what it took.
type Role struct {
	Host    string  `json:"host"`
	Role    string  `json:"role"`
	Teams   int     `json:"teams"`
	Cores   float64 `json:"cores"`
	RSSMB   float64 `json:"rss_mb"`
	PeakMB  float64 `json:"peak_mb"`
	Files   int     `json:"files"`
	Threads int     `json:"threads"`
}

// Latencies are times in seconds; Never counts those that had none in time.
type Latencies struct {
	P50        float64 `json:"p50_s"`
	P99        float64 `json:"p99_s"`
	Max        float64 `json:"max_s"`
	Count      int     `json:"n"`
	Unfinished int     `json:"never"`
}

func summarize(samples []float64, never int) Latencies {
	slices.Sort(samples)
	quantile := func(part float64) float64 {
		if len(samples) == 0 {
			return 0
		}
		return samples[min(len(samples)-1, int(part*float64(len(samples))))]
	}
	return Latencies{P50: quantile(0.5), P99: quantile(0.99), Max: quantile(1), Count: len(samples), Unfinished: never}
}

// Takeover is what followed the end of a controller without a word, counted from it.
type Takeover struct {
	Host string `json:"host"`
	Role string `json:"role"`
	// ClaimedS is when another said that it runs the teams, and FirstStartS when the first
	// urgent job of one of these began, of those that came after the end.
	ClaimedS    float64 `json:"named_s"`
	FirstStartS float64 `json:"first_start_s"`
}

// Times of a rung beside its measurement.
const (
	maxFillTime     = 3 * time.Minute
	urgentInterval  = 500 * time.Millisecond
	maxUrgentWait   = 30 * time.Second
	maxTakeoverTime = time.Minute
	maxRecoveryTime = 3 * time.Minute
	pollInterval    = 100 * time.Millisecond
)

// Measure brings a rung up, measures it and ends what it started.
func Measure(ctx context.Context, p Plan) (*Measurement, error) {
	if err := p.Validate(); err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, maxFillTime+maxRecoveryTime+p.Duration+maxUrgentWait+maxTakeoverTime+time.Minute)
	defer cancel()
	enable, err := p.enableFiles()
	if err != nil {
		return nil, err
	}
	testFleet, err := fleet.Start(ctx, fleet.Options{
		Program: p.Program, Dir: p.Dir, Clusters: 1, Controllers: p.Controllers, Machines: []int{p.Workers},
		EnableFiles: enable, LogLevel: "info", Deployment: p.deployment(),
	})
	if err != nil {
		return nil, err
	}
	defer testFleet.Stop()
	load := &workload{plan: p, cluster: testFleet.Clusters[0]}
	result := &Measurement{Workers: p.Workers, Controllers: p.Controllers, Teams: p.Teams, StartsWanted: p.StartsPerSecond}
	if err := load.startWorkers(ctx, result); err != nil {
		return nil, err
	}
	if err := load.measure(ctx, result); err != nil {
		return nil, err
	}
	if p.LostWorkers > 0 {
		if err := load.measureWorkerLoss(ctx, result); err != nil {
			return nil, err
		}
	}
	if p.Takeover {
		if err := load.measureTakeover(ctx, result); err != nil {
			return nil, err
		}
	}
	result.Violations = load.cluster.Live.Violations()
	return result, nil
}

// workload is the work that a rung is given, and its users.
type workload struct {
	plan     Plan
	cluster  *fleet.Cluster
	jobCount int

	mu           sync.Mutex
	acceptTimes  []float64
	rejectedJobs int
	urgentJobs   map[string]time.Time
	wg           sync.WaitGroup
}

func (l *workload) logf(format string, args ...any) {
	fmt.Fprintf(l.plan.Progress, format+"\n", args...)
}

func (l *workload) newJob(j fleet.Job) fleet.Job {
	l.jobCount++
	j.ID = fmt.Sprintf("job-%08x", l.jobCount)
	j.Team = teamName(l.jobCount % l.plan.Teams)
	return j
}

// submit hands a job in until it is accepted; the first answer's time counts.
func (l *workload) submit(ctx context.Context, first int, j fleet.Job) {
	began := time.Now()
	if j.Urgency == "urgent" {
		l.mu.Lock()
		l.urgentJobs[j.ID] = began
		l.mu.Unlock()
	}
	l.wg.Go(func() {
		for ctx.Err() == nil {
			ok, err := l.cluster.SubmitAt(ctx, first, j)
			if ok {
				l.mu.Lock()
				l.acceptTimes = append(l.acceptTimes, time.Since(began).Seconds())
				l.mu.Unlock()
				return
			}
			if err != nil && time.Since(began) > maxUrgentWait {
				break
			}
			sleep(ctx, time.Second)
		}
		l.mu.Lock()
		l.rejectedJobs++
		l.mu.Unlock()
	})
}

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// startWorkers has all workers rented, by tasks that stand, one to a worker.
func (l *workload) startWorkers(ctx context.Context, r *Measurement) error {
	l.urgentJobs = map[string]time.Time{}
	began := time.Now()
	for i := range l.plan.Teams {
		n := l.plan.Workers / l.plan.Teams
		if i < l.plan.Workers%l.plan.Teams {
			n++
		}
		l.submit(ctx, i, l.newJob(fleet.Job{Workload: "standing", Tasks: n, CPUs: serviceTaskCPUs, Urgency: "normal", Standing: true}))
	}
	for lastLogged := began; ; sleep(ctx, pollInterval) {
		up, tasks, standing := l.cluster.Live.Workers()
		if up >= l.plan.Workers && standing >= l.plan.Workers {
			break
		}
		if err := l.checkAlive(); err != nil {
			return err
		}
		if time.Since(began) > maxFillTime || ctx.Err() != nil {
			return fmt.Errorf("scale: after %.0f s only %d of %d workers are up, with %d tasks", time.Since(began).Seconds(), up, l.plan.Workers, tasks)
		}
		if time.Since(lastLogged) > 5*time.Second {
			lastLogged = time.Now()
			l.logf("%5.0f s: %d of %d workers, %d tasks", time.Since(began).Seconds(), up, l.plan.Workers, tasks)
		}
	}
	r.FillS = time.Since(began).Seconds()
	l.logf("%5.0f s: all %d workers are up", r.FillS, l.plan.Workers)
	// What was on its way when the last one came is over some reports later.
	sleep(ctx, l.plan.HeartbeatInterval)
	l.acceptTimes, l.rejectedJobs = nil, 0
	return nil
}

// checkAlive is an error when a controller has ended by itself, or all take too much memory.
func (l *workload) checkAlive() error {
	totalMB := 0.0
	for i := range l.cluster.APIAddrs {
		pid := l.cluster.PID(i)
		if pid == 0 {
			continue
		}
		x, err := readProcess(pid)
		if err != nil || x.exited {
			return fmt.Errorf("scale: node-%d ended by itself; its log is in %s", i, l.plan.Dir)
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
		return fmt.Errorf("scale: %.0f MB are taken, and half of the memory is %.0f; fewer --workers would do", totalMB+me.rssMB, limitMB)
	}
	return nil
}

// snapshot is what is read at the begin and the end of a measurement.
type snapshot struct {
	at         time.Time
	counts     simulation.LiveCounts
	procs      []processStats
	self       processStats
	machineCPU float64
}

func (l *workload) takeSnapshot() (snapshot, error) {
	s := snapshot{counts: l.cluster.Live.Counts()}
	for i := range l.cluster.APIAddrs {
		x, err := readProcess(l.cluster.PID(i))
		if err != nil || x.exited {
			return s, fmt.Errorf("scale: node-%d ended by itself; its log is in %s", i, l.plan.Dir)
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

// machineCPUSeconds is the processor time that the whole machine has used.
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

// measure gives work for as long as was asked for, and measures.
func (l *workload) measure(ctx context.Context, r *Measurement) error {
	before, err := l.takeSnapshot()
	if err != nil {
		return err
	}
	rankingLatencies := l.changeRankings(ctx)
	due, submitted, nextUrgent := 0.0, 0, before.at
	const step = 50 * time.Millisecond
	for lastLogged := before.at; time.Since(before.at) < l.plan.Duration && ctx.Err() == nil; sleep(ctx, step) {
		due = l.plan.StartsPerSecond * time.Since(before.at).Seconds()
		for float64(submitted+l.plan.Tasks) <= due {
			submitted += l.plan.Tasks
			l.submit(ctx, l.jobCount, l.newJob(fleet.Job{Workload: "array", Tasks: l.plan.Tasks, CPUs: arrayTaskCPUs, RunTime: l.plan.TaskRunTime, Urgency: "normal"}))
		}
		if now := time.Now(); !now.Before(nextUrgent) {
			nextUrgent = nextUrgent.Add(urgentInterval)
			l.submit(ctx, l.jobCount, l.newJob(fleet.Job{Workload: "alert", Tasks: 1, CPUs: arrayTaskCPUs, RunTime: time.Second, Urgency: "urgent"}))
		}
		if time.Since(lastLogged) > 10*time.Second {
			lastLogged = time.Now()
			l.logf("%5.0f s: %d tasks handed in", time.Since(before.at).Seconds(), submitted)
			if err := l.checkAlive(); err != nil {
				return err
			}
		}
	}
	after, err := l.takeSnapshot()
	if err != nil {
		return err
	}
	l.setRates(r, before, after)
	if err := l.setRoles(ctx, r, before, after); err != nil {
		return err
	}
	r.WorkersUp, r.TasksRunning, _ = l.cluster.Live.Workers()
	l.wg.Wait()
	r.RankingLatency = rankingLatencies()
	r.AcceptLatency = summarize(l.acceptTimes, l.rejectedJobs)
	r.Jobs = len(l.acceptTimes)
	r.UrgentStartLatency = l.urgentLatencies(ctx)
	return nil
}

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

func (l *workload) setRoles(ctx context.Context, r *Measurement, before, after snapshot) error {
	s := after.at.Sub(before.at).Seconds()
	for i, x := range after.procs {
		reply, err := status(ctx, l.cluster.InternalAddrs[i])
		if err != nil {
			return err
		}
		role := Role{Host: fmt.Sprintf("node-%d", i), Role: "other", Cores: (x.cpuSeconds - before.procs[i].cpuSeconds) / s, RSSMB: x.rssMB, PeakMB: x.peakMB, Files: x.openFiles, Threads: x.threads}
		role.Teams = len(teamsOf(reply))
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

// teamsOf are the teams that a controller runs.
func teamsOf(s *message.StatusReply) []string {
	var out []string
	for _, t := range s.Teams {
		if t.IsLocal {
			out = append(out, t.Name)
		}
	}
	return out
}

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

// urgentLatencies waits for the urgent jobs to begin, counted from when they were handed in.
func (l *workload) urgentLatencies(ctx context.Context) Latencies {
	var all []float64
	end := time.Now().Add(maxUrgentWait)
	for id, at := range l.urgentJobs {
		for ctx.Err() == nil {
			if first, ok := l.cluster.Live.FirstStart(id); ok {
				all = append(all, first.Sub(at).Seconds())
				break
			}
			if time.Now().After(end) {
				break
			}
			sleep(ctx, pollInterval)
		}
	}
	return summarize(all, len(l.urgentJobs)-len(all))
}

// measureTakeover ends the controller that runs most, and waits until its teams' work begins.
func (l *workload) measureTakeover(ctx context.Context, r *Measurement) error {
	victim := slices.MaxFunc(r.Roles, func(a, b Role) int { return takeoverWeight(a) - takeoverWeight(b) })
	at := slices.IndexFunc(r.Roles, func(x Role) bool { return x.Host == victim.Host })
	reply, err := status(ctx, l.cluster.InternalAddrs[at])
	if err != nil {
		return err
	}
	teams := teamsOf(reply)
	if len(teams) == 0 {
		return fmt.Errorf("scale: nobody runs a team any more")
	}
	l.logf("ending %s, %s of %d teams", victim.Host, victim.Role, len(teams))
	takeover := &Takeover{Host: victim.Host, Role: victim.Role}
	ended := time.Now()
	l.cluster.Kill(at)
	var ids []string
	for next := ended; time.Since(ended) < maxTakeoverTime && ctx.Err() == nil && (takeover.ClaimedS == 0 || takeover.FirstStartS == 0); sleep(ctx, pollInterval/2) {
		if now := time.Now(); now.After(next) {
			next = now.Add(urgentInterval)
			j := l.newJob(fleet.Job{Workload: "alert", Tasks: 1, CPUs: arrayTaskCPUs, RunTime: time.Second, Urgency: "urgent"})
			j.Team = teams[len(ids)%len(teams)]
			ids = append(ids, j.ID)
			l.submit(ctx, at+1, j)
		}
		if takeover.ClaimedS == 0 && l.isClaimed(ctx, at, teams[0]) {
			takeover.ClaimedS = time.Since(ended).Seconds()
		}
		for _, id := range ids {
			if first, ok := l.cluster.Live.FirstStart(id); ok && takeover.FirstStartS == 0 {
				takeover.FirstStartS = first.Sub(ended).Seconds()
			}
		}
	}
	r.Takeover = takeover
	if takeover.FirstStartS == 0 {
		return fmt.Errorf("scale: no task of the ended controller's teams began within %s", maxTakeoverTime)
	}
	return nil
}

// measureWorkerLoss ends workers all at once, and waits until everything that stands runs again.
func (l *workload) measureWorkerLoss(ctx context.Context, r *Measurement) error {
	lost := l.cluster.Live.KillMachines(l.plan.LostWorkers)
	l.logf("%d workers are lost", lost)
	began := time.Now()
	for ; ctx.Err() == nil && time.Since(began) < maxRecoveryTime; sleep(ctx, pollInterval) {
		if _, _, standing := l.cluster.Live.Workers(); standing >= l.plan.Workers {
			r.RecoveryS = time.Since(began).Seconds()
			l.logf("%5.1f s: all that stands runs again", r.RecoveryS)
			return nil
		}
	}
	_, _, standing := l.cluster.Live.Workers()
	return fmt.Errorf("scale: %s after the loss of %d workers %d of %d tasks that stand run", maxRecoveryTime, lost, standing, l.plan.Workers)
}

// takeoverWeight orders controllers by what their end takes away.
func takeoverWeight(r Role) int {
	w := r.Teams
	if strings.HasPrefix(r.Role, "leader") && r.Teams > 0 {
		w += 1000
	}
	return w
}

func (l *workload) isClaimed(ctx context.Context, except int, name string) bool {
	for i, addr := range l.cluster.InternalAddrs {
		if i == except {
			continue
		}
		if st, err := status(ctx, addr); err == nil && slices.Contains(teamsOf(st), name) {
			return true
		}
	}
	return false
}

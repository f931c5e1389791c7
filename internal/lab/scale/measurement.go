package scale

import (
	"context"
	"slices"
	"time"

	"github.com/micahill/micahill/internal/lab/fleet"
)

// Measurement is the result of one measurement. Rates are per second.
type Measurement struct {
	Workers      int     `json:"workers"`
	Controllers  int     `json:"controllers"`
	Teams        int     `json:"teams"`
	StartsWanted float64 `json:"starts_wanted"`
	ForS         float64 `json:"for_s"`
	// FillS is how long it took until all workers sent heartbeats and ran their services.
	// WorkersUp and TasksRunning are counted at the end of the measurement.
	FillS           float64 `json:"fill_s"`
	WorkersUp       int     `json:"up"`
	TasksRunning    int     `json:"running"`
	StartsPerSecond float64 `json:"starts"`
	Roles           []Role  `json:"roles"`
	// SimulationCores is the processor time of this process, with all workers, the state
	// service and the cloud; OtherCores is that of everything else on the machine but the
	// controllers.
	SimulationCores     float64 `json:"lab_cores"`
	OtherCores          float64 `json:"others_cores"`
	HeartbeatsPerSecond float64 `json:"reports"`
	HeartbeatsRejected  float64 `json:"reports_not_200"`
	HeartbeatKB         float64 `json:"report_kb_per_worker"`
	CommandKB           float64 `json:"order_kb_per_worker"`
	CommandsPerSecond   float64 `json:"orders"`
	StateRPS            float64 `json:"requests"`
	StateWriteRPS       float64 `json:"changes"`
	// RequestsByKind splits StateRPS, and WritesByFamily splits StateWriteRPS.
	RequestsByKind     map[string]float64 `json:"requests_by_kind"`
	WritesByFamily     map[string]float64 `json:"changes_by_family"`
	RateLimited        int                `json:"refused"`
	CloudCalls         float64            `json:"cloud_calls"`
	Jobs               int                `json:"jobs"`
	AcceptLatency      Latencies          `json:"accept"`
	UrgentStartLatency Latencies          `json:"urgent_start"`
	// RankingLatency is the time from a change of the ranking until all controllers have it.
	RankingLatency Latencies `json:"change"`
	Takeover       *Takeover `json:"takeover,omitempty"`
	// RecoveryS is the time from the loss of workers until all services run again.
	RecoveryS   float64  `json:"loss_s,omitempty"`
	LostToLease int      `json:"lost_to_lease"`
	Violations  []string `json:"broken"`
}

// Role is a controller with its role and the resources that it took.
type Role struct {
	Host string `json:"host"`
	// Role is leader, owner (the leader of a shard), leader+owner or other.
	Role string `json:"role"`
	// Teams is the number of teams whose jobs it runs.
	Teams   int     `json:"teams"`
	Cores   float64 `json:"cores"`
	RSSMB   float64 `json:"rss_mb"`
	PeakMB  float64 `json:"peak_mb"`
	Files   int     `json:"files"`
	Threads int     `json:"threads"`
}

// Latencies summarizes Count times, in seconds.
type Latencies struct {
	P50   float64 `json:"p50_s"`
	P99   float64 `json:"p99_s"`
	Max   float64 `json:"max_s"`
	Count int     `json:"n"`
	// Unfinished counts what did not end in time. It is not part of Count.
	Unfinished int `json:"never"`
}

func summarize(samples []float64, unfinished int) Latencies {
	slices.Sort(samples)
	quantile := func(q float64) float64 {
		if len(samples) == 0 {
			return 0
		}
		return samples[min(len(samples)-1, int(q*float64(len(samples))))]
	}
	return Latencies{P50: quantile(0.5), P99: quantile(0.99), Max: quantile(1), Count: len(samples), Unfinished: unfinished}
}

// Takeover tells how long the others took after a controller was killed. Times count from
// the kill.
type Takeover struct {
	// Host and Role are those of the killed controller.
	Host string `json:"host"`
	Role string `json:"role"`
	// ClaimedS is when another controller said that it runs the teams.
	ClaimedS float64 `json:"named_s"`
	// FirstStartS is when the first task started, of the urgent jobs that were submitted
	// for these teams after the kill.
	FirstStartS float64 `json:"first_start_s"`
}

// Limits of the phases around the measurement, and the intervals of polling.
const (
	maxFillTime     = 3 * time.Minute
	urgentInterval  = 500 * time.Millisecond
	maxUrgentWait   = 30 * time.Second
	maxTakeoverTime = time.Minute
	maxRecoveryTime = 3 * time.Minute
	pollInterval    = 100 * time.Millisecond
)

// Measure starts a cluster, measures it and stops everything that it started.
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

// measure submits jobs for as long as planned, and sets what it measures in r.
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

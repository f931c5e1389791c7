package scale

import (
	"context"
	"slices"
	"time"

	"github.com/micahill/micahill/internal/lab/fleet"
)

// Measurement is the result of one measurement. Rates are per second.
type Measurement struct {
	// Workers, Controllers, Teams and StartsWanted are those of the plan, and ForS is how long the
	// measurement lasted, in seconds.
	Workers      int     `json:"workers"`
	Controllers  int     `json:"controllers"`
	Teams        int     `json:"teams"`
	StartsWanted float64 `json:"starts_wanted"`
	ForS         float64 `json:"for_s"`
	// FillS is how many seconds it took until all workers sent heartbeats and ran their tasks of
	// services. WorkersUp and TasksRunning are counted at the end of the measurement.
	FillS           float64 `json:"fill_s"`
	WorkersUp       int     `json:"up"`
	TasksRunning    int     `json:"running"`
	StartsPerSecond float64 `json:"starts"`
	Roles           []Role  `json:"roles"`
	// SimulationCores is the processor time of this process, which runs all workers, the state
	// service and the cloud. OtherCores is the processor time of all other processes on the
	// machine except for the controllers. Both are in cores.
	SimulationCores     float64 `json:"lab_cores"`
	OtherCores          float64 `json:"others_cores"`
	HeartbeatsPerSecond float64 `json:"reports"`
	HeartbeatsRejected  float64 `json:"reports_not_200"`
	// HeartbeatKB and CommandKB are the sizes of heartbeats and of commands, with their responses, in
	// KB per worker and second.
	HeartbeatKB       float64 `json:"report_kb_per_worker"`
	CommandKB         float64 `json:"order_kb_per_worker"`
	CommandsPerSecond float64 `json:"orders"`
	StateRPS          float64 `json:"requests"`
	StateWriteRPS     float64 `json:"changes"`
	// RequestsByKind splits StateRPS by the kind of request, and WritesByFamily splits
	// StateWriteRPS by the family of keys.
	RequestsByKind map[string]float64 `json:"requests_by_kind"`
	WritesByFamily map[string]float64 `json:"changes_by_family"`
	// RateLimited counts the requests that the state service refused with 429.
	RateLimited        int       `json:"refused"`
	CloudCalls         float64   `json:"cloud_calls"`
	Jobs               int       `json:"jobs"`
	AcceptLatency      Latencies `json:"accept"`
	UrgentStartLatency Latencies `json:"urgent_start"`
	// RankingLatency is the time from a change of the ranking until all controllers have the
	// change.
	RankingLatency Latencies `json:"change"`
	Takeover       *Takeover `json:"takeover,omitempty"`
	// RecoveryS is the time in seconds from the loss of workers until all tasks of services run
	// again.
	RecoveryS   float64  `json:"loss_s,omitempty"`
	LostToLease int      `json:"lost_to_lease"`
	Violations  []string `json:"broken"`
}

// Role is a controller with its role in the cluster and the resources that it used.
type Role struct {
	Host string `json:"host"`
	// Role is leader, owner (the leader of a shard), leader+owner or other.
	Role string `json:"role"`
	// Teams is the number of teams whose jobs the controller runs.
	Teams   int     `json:"teams"`
	Cores   float64 `json:"cores"`
	RSSMB   float64 `json:"rss_mb"`
	PeakMB  float64 `json:"peak_mb"`
	Files   int     `json:"files"`
	Threads int     `json:"threads"`
}

// Latencies summarizes Count durations, in seconds.
type Latencies struct {
	P50   float64 `json:"p50_s"`
	P99   float64 `json:"p99_s"`
	Max   float64 `json:"max_s"`
	Count int     `json:"n"`
	// Unfinished counts the operations that did not finish in time. They are not part of Count.
	Unfinished int `json:"never"`
}

// summarize returns the quantiles of samples, in seconds. It sorts samples.
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

// Takeover is how long the other controllers took to replace a killed one. Times are in seconds
// from the kill.
type Takeover struct {
	// Host and Role are those of the killed controller.
	Host string `json:"host"`
	Role string `json:"role"`
	// ClaimedS is when another controller reported that it runs the first of the teams.
	ClaimedS float64 `json:"named_s"`
	// FirstStartS is when the first task started, of the urgent jobs that were submitted for the
	// teams of the killed controller after the kill.
	FirstStartS float64 `json:"first_start_s"`
}

// Limits of the phases around the measurement, and the intervals of polling.
const (
	maxFillTime = 3 * time.Minute
	// urgentInterval is the time between two submissions of urgent jobs.
	urgentInterval = 500 * time.Millisecond
	// maxUrgentWait is how long an urgent job may take to start after the measurement, and how
	// long a refused submission is repeated.
	maxUrgentWait   = 30 * time.Second
	maxTakeoverTime = time.Minute
	maxRecoveryTime = 3 * time.Minute
	pollInterval    = 100 * time.Millisecond
)

// Measure starts a cluster, measures it and stops all processes and services that it started. It
// returns an error that wraps ErrPlan if the plan is invalid.
func Measure(ctx context.Context, plan Plan) (*Measurement, error) {
	if err := plan.Validate(); err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, maxFillTime+maxRecoveryTime+plan.Duration+maxUrgentWait+maxTakeoverTime+time.Minute)
	defer cancel()
	enable, err := plan.enableFiles()
	if err != nil {
		return nil, err
	}
	testFleet, err := fleet.Start(ctx, fleet.Options{
		Program: plan.Program, Dir: plan.Dir, Clusters: 1, Controllers: plan.Controllers, Machines: []int{plan.Workers},
		EnableFiles: enable, LogLevel: "info", Deployment: plan.deployment(),
	})
	if err != nil {
		return nil, err
	}
	defer testFleet.Stop()
	load := &workload{plan: plan, cluster: testFleet.Clusters[0]}
	result := &Measurement{Workers: plan.Workers, Controllers: plan.Controllers, Teams: plan.Teams, StartsWanted: plan.StartsPerSecond}
	if err := load.startWorkers(ctx, result); err != nil {
		return nil, err
	}
	if err := load.measure(ctx, result); err != nil {
		return nil, err
	}
	if plan.LostWorkers > 0 {
		if err := load.measureWorkerLoss(ctx, result); err != nil {
			return nil, err
		}
	}
	if plan.Takeover {
		if err := load.measureTakeover(ctx, result); err != nil {
			return nil, err
		}
	}
	result.Violations = load.cluster.Live.Violations()
	return result, nil
}

// measure submits jobs for the duration of the plan, and sets the results.
func (load *workload) measure(ctx context.Context, measurement *Measurement) error {
	before, err := load.takeSnapshot()
	if err != nil {
		return err
	}
	rankingLatencies := load.changeRankings(ctx)
	due, submitted, nextUrgent := 0.0, 0, before.at
	const step = 50 * time.Millisecond
	for lastLogged := before.at; time.Since(before.at) < load.plan.Duration && ctx.Err() == nil; sleep(ctx, step) {
		due = load.plan.StartsPerSecond * time.Since(before.at).Seconds()
		for float64(submitted+load.plan.Tasks) <= due {
			submitted += load.plan.Tasks
			load.submit(ctx, load.jobCount, load.newJob(fleet.Job{Workload: "array", Tasks: load.plan.Tasks, CPUs: arrayTaskCPUs, RunTime: load.plan.TaskRunTime, Urgency: "normal"}))
		}
		if now := time.Now(); !now.Before(nextUrgent) {
			nextUrgent = nextUrgent.Add(urgentInterval)
			load.submit(ctx, load.jobCount, load.newJob(fleet.Job{Workload: "alert", Tasks: 1, CPUs: arrayTaskCPUs, RunTime: time.Second, Urgency: "urgent"}))
		}
		if time.Since(lastLogged) > 10*time.Second {
			lastLogged = time.Now()
			load.logf("%5.0f s: %d tasks submitted", time.Since(before.at).Seconds(), submitted)
			if err := load.checkAlive(); err != nil {
				return err
			}
		}
	}
	after, err := load.takeSnapshot()
	if err != nil {
		return err
	}
	load.setRates(measurement, before, after)
	if err := load.setRoles(ctx, measurement, before, after); err != nil {
		return err
	}
	measurement.WorkersUp, measurement.TasksRunning, _ = load.cluster.Live.Workers()
	load.wg.Wait()
	measurement.RankingLatency = rankingLatencies()
	measurement.AcceptLatency = summarize(load.acceptTimes, load.rejectedJobs)
	measurement.Jobs = len(load.acceptTimes)
	measurement.UrgentStartLatency = load.urgentLatencies(ctx)
	return nil
}

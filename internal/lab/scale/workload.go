package scale

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/micahill/micahill/internal/lab/fleet"
)

// workload submits jobs to a cluster and records when they are accepted and started.
type workload struct {
	plan    Plan
	cluster *fleet.Cluster
	// jobCount is the number of jobs so far. newJob derives the next ID and team from it.
	jobCount int

	// wg counts the running submissions, and mu guards the fields below.
	wg sync.WaitGroup
	mu sync.Mutex
	// acceptTimes has a latency in seconds for each accepted job.
	acceptTimes  []float64
	rejectedJobs int
	// urgentJobs has the time of submission of each urgent job, by its ID.
	urgentJobs map[string]time.Time
}

// logf writes a line about the progress.
func (load *workload) logf(format string, args ...any) {
	fmt.Fprintf(load.plan.Progress, format+"\n", args...)
}

// newJob returns the job with the next ID, and with the teams in turn.
func (load *workload) newJob(job fleet.Job) fleet.Job {
	load.jobCount++
	job.ID = fmt.Sprintf("job-%08x", load.jobCount)
	job.Team = teamName(load.jobCount % load.plan.Teams)
	return job
}

// submit starts a goroutine that submits a job, first to the controller with index first, until
// the job is accepted. The accept latency counts from the call. A job counts as rejected if a
// controller refuses it as invalid after maxUrgentWait, or if the context ends first.
func (load *workload) submit(ctx context.Context, first int, job fleet.Job) {
	began := time.Now()
	if job.Urgency == "urgent" {
		load.mu.Lock()
		load.urgentJobs[job.ID] = began
		load.mu.Unlock()
	}
	load.wg.Go(func() {
		for ctx.Err() == nil {
			ok, err := load.cluster.SubmitAt(ctx, first, job)
			if ok {
				load.mu.Lock()
				load.acceptTimes = append(load.acceptTimes, time.Since(began).Seconds())
				load.mu.Unlock()
				return
			}
			if err != nil && time.Since(began) > maxUrgentWait {
				break
			}
			sleep(ctx, time.Second)
		}
		load.mu.Lock()
		load.rejectedJobs++
		load.mu.Unlock()
	})
}

// sleep waits for d or until the context ends.
func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// startWorkers scales the cluster out to all workers: it submits services with one task for each
// worker, and waits until all tasks run. It returns an error if that takes longer than
// maxFillTime.
func (load *workload) startWorkers(ctx context.Context, measurement *Measurement) error {
	load.urgentJobs = map[string]time.Time{}
	began := time.Now()
	for i := range load.plan.Teams {
		n := load.plan.Workers / load.plan.Teams
		if i < load.plan.Workers%load.plan.Teams {
			n++
		}
		load.submit(ctx, i, load.newJob(fleet.Job{Workload: "standing", Tasks: n, CPUs: serviceTaskCPUs, Urgency: "normal", LongRunning: true}))
	}
	for lastLogged := began; ; sleep(ctx, pollInterval) {
		up, tasks, standing := load.cluster.Live.Workers()
		if up >= load.plan.Workers && standing >= load.plan.Workers {
			break
		}
		if err := load.checkAlive(); err != nil {
			return err
		}
		if time.Since(began) > maxFillTime || ctx.Err() != nil {
			return fmt.Errorf("scale: after %.0f s: got %d of %d workers up, with %d tasks", time.Since(began).Seconds(), up, load.plan.Workers, tasks)
		}
		if time.Since(lastLogged) > 5*time.Second {
			lastLogged = time.Now()
			load.logf("%5.0f s: %d of %d workers, %d tasks", time.Since(began).Seconds(), up, load.plan.Workers, tasks)
		}
	}
	measurement.FillS = time.Since(began).Seconds()
	load.logf("%5.0f s: all %d workers are up", measurement.FillS, load.plan.Workers)
	// Requests in flight when the last worker comes up end within one heartbeat interval. They
	// must not count in the measurement.
	sleep(ctx, load.plan.HeartbeatInterval)
	load.acceptTimes, load.rejectedJobs = nil, 0
	return nil
}

// urgentLatencies waits until the urgent jobs have started, for at most maxUrgentWait. Latencies
// count from the submission.
func (load *workload) urgentLatencies(ctx context.Context) Latencies {
	var all []float64
	end := time.Now().Add(maxUrgentWait)
	for id, at := range load.urgentJobs {
		for ctx.Err() == nil {
			if first, ok := load.cluster.Live.FirstStart(id); ok {
				all = append(all, first.Sub(at).Seconds())
				break
			}
			if time.Now().After(end) {
				break
			}
			sleep(ctx, pollInterval)
		}
	}
	return summarize(all, len(load.urgentJobs)-len(all))
}

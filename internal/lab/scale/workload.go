package scale

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/micahill/micahill/internal/lab/fleet"
)

// workload submits jobs to a cluster and collects what became of them.
type workload struct {
	plan     Plan
	cluster  *fleet.Cluster
	jobCount int

	// wg counts the running submissions, and mu guards the fields below.
	wg sync.WaitGroup
	mu sync.Mutex
	// acceptTimes are in seconds, one for each accepted job.
	acceptTimes  []float64
	rejectedJobs int
	// urgentJobs holds when each urgent job was submitted, by its ID.
	urgentJobs map[string]time.Time
}

func (l *workload) logf(format string, args ...any) {
	fmt.Fprintf(l.plan.Progress, format+"\n", args...)
}

// newJob completes a job with the next ID, and a team in turn.
func (l *workload) newJob(j fleet.Job) fleet.Job {
	l.jobCount++
	j.ID = fmt.Sprintf("job-%08x", l.jobCount)
	j.Team = teamName(l.jobCount % l.plan.Teams)
	return j
}

// submit starts to submit a job until it is accepted. Its accept latency counts from now.
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

// startWorkers scales out to all workers, by services with one task to a worker.
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
			return fmt.Errorf("scale: after %.0f s: got %d of %d workers up, with %d tasks", time.Since(began).Seconds(), up, l.plan.Workers, tasks)
		}
		if time.Since(lastLogged) > 5*time.Second {
			lastLogged = time.Now()
			l.logf("%5.0f s: %d of %d workers, %d tasks", time.Since(began).Seconds(), up, l.plan.Workers, tasks)
		}
	}
	r.FillS = time.Since(began).Seconds()
	l.logf("%5.0f s: all %d workers are up", r.FillS, l.plan.Workers)
	// What is in flight when the last worker comes up is over one heartbeat later, and must
	// not count in the measurement.
	sleep(ctx, l.plan.HeartbeatInterval)
	l.acceptTimes, l.rejectedJobs = nil, 0
	return nil
}

// urgentLatencies waits until the urgent jobs have started. Latencies count from their
// submission.
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

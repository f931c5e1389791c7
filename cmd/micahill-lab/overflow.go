package main

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"os/exec"
	"slices"
	"strings"
	"time"

	"github.com/micahill/micahill/internal/lab/fleet"
	"github.com/micahill/micahill/internal/simulation"
	"github.com/spf13/cobra"
)

// overflowResult is what an overflow experiment found, as workers and users saw it: the
// controllers' own account is not used.
type overflowResult struct {
	Clusters   int    `json:"clusters"`
	Fault      string `json:"fault"`
	Seed       uint64 `json:"seed"`
	Lending    bool   `json:"lending"`
	Accepted   int    `json:"accepted"`
	Finished   int    `json:"final"`
	Duplicated int    `json:"twice"`
	Lost       int    `json:"lost"`
	WentBack   int    `json:"went_back"`
	// Forgotten counts jobs for which no poll was answered for simulation.MaxUnanswered after
	// the fault.
	Forgotten int `json:"forgotten"`
	// Lent counts jobs that some peer started.
	Lent   int     `json:"lent"`
	InTime float64 `json:"in_time"`
	P95    float64 `json:"p95_s"`
}

var overflowFaults = []string{"none", "kill-peer", "silent-peer", "drain-peer", "cut", "restart-all"}

// overflowCommand loads several clusters, injects a fault during a transfer and checks the rules.
func overflowCommand() *cobra.Command {
	var options fleet.Options
	var jobs int
	var seed uint64
	var fault, programFlag string
	var asJSON, noLending bool
	c := &cobra.Command{
		Use: "overflow", Short: "Load a busy cluster beside idle ones, with a fault in a transfer, and check the rules", Args: cobra.NoArgs,
		Long: "Brings up clusters of which the first has hardly any machines, hands in jobs there, and\nlets the fault happen once work has been lent. Counts by the workers' and users' word.\nStatus 1 when a rule is broken: a task in two clusters, an end that changes, a job\nthat gets none, or one about which no question is answered for 75 s after the fault.",
		RunE: func(cmd *cobra.Command, _ []string) error {
			if !slices.Contains(overflowFaults, fault) {
				return fmt.Errorf("overflow: --fault %s: want one of %s", fault, strings.Join(overflowFaults, ", "))
			}
			if jobs < 1 || jobs > 1000 {
				return fmt.Errorf("overflow: --jobs %d: want 1 to 1000", jobs)
			}
			dir, err := os.MkdirTemp("", "micahill-lab")
			if err != nil {
				return fmt.Errorf("overflow: %w", err)
			}
			defer os.RemoveAll(dir)
			options.Dir, options.Program, options.Overflow, options.LogLevel = dir, controllerProgram(programFlag), !noLending, "info"
			options.Machines = []int{2, 12}
			f, err := fleet.Start(cmd.Context(), options)
			if err != nil {
				return err
			}
			defer f.Stop()
			r := runOverflow(cmd, f, options, jobs, seed, fault)
			return printOverflow(cmd.OutOrStdout(), r, asJSON)
		},
	}
	c.Flags().IntVar(&options.Clusters, "clusters", 3, "how many clusters, 2 to 5")
	c.Flags().IntVar(&options.Controllers, "controllers", 2, "controllers of each")
	c.Flags().IntVar(&jobs, "jobs", 24, "jobs handed in, 1 to 1000")
	c.Flags().Uint64Var(&seed, "seed", 1, "seed of the load")
	c.Flags().StringVar(&fault, "fault", "none", strings.Join(overflowFaults, ", "))
	c.Flags().BoolVar(&noLending, "off", false, "without lending, to compare with")
	c.Flags().StringVar(&programFlag, "micahill", "", "the controllers' program (default: beside this one)")
	c.Flags().BoolVar(&asJSON, "json", false, "as JSON")
	return c
}

const (
	// submitInterval is between two submissions.
	submitInterval = 300 * time.Millisecond
	// overflowPollInterval is between two looks at workers and jobs.
	overflowPollInterval = 20 * time.Millisecond
	// maxOverflowTime bounds an experiment.
	maxOverflowTime = 4 * time.Minute
	// recheckFinalFor is how long final jobs are still polled, to see one that goes back.
	recheckFinalFor = 5 * time.Second
	// faultDuration is how long a fault lasts.
	faultDuration = 8 * time.Second
)

// labJob is a submitted job and what its user has seen of it.
type labJob struct {
	fleet.Job
	acceptedAt, finishedAt time.Time
	state                  string
	wentBack               bool
	// answeredAt is when a poll was last answered.
	answeredAt time.Time
	forgotten  bool
}

// overflowRun is an experiment while it runs.
type overflowRun struct {
	fleet   *fleet.Fleet
	options fleet.Options
	// jobCount jobs are submitted to the first cluster, drawn from rng.
	jobCount int
	rng      *rand.Rand
	fault    string
	logf     func(format string, args ...any)

	began     time.Time
	submitted []*labJob
	// duplicated are the tasks seen in two clusters at once, and lent the jobs that a peer started.
	duplicated, lent map[string]bool
	faultInjected    bool
	// healedAt is when the fault is over; without one, when the experiment began.
	healedAt time.Time
}

// runOverflow submits the jobs, lets the fault happen once work is lent, and watches until all
// jobs have been final for recheckFinalFor, or for maxOverflowTime.
func runOverflow(cmd *cobra.Command, f *fleet.Fleet, options fleet.Options, jobs int, seed uint64, fault string) overflowResult {
	ctx, cancel := context.WithTimeout(cmd.Context(), maxOverflowTime)
	defer cancel()
	now := time.Now()
	x := &overflowRun{
		fleet: f, options: options, jobCount: jobs, rng: rand.New(rand.NewPCG(seed, 1)), fault: fault,
		logf:  func(format string, args ...any) { fmt.Fprintf(cmd.ErrOrStderr(), format+"\n", args...) },
		began: now, duplicated: map[string]bool{}, lent: map[string]bool{},
		faultInjected: fault == "none", healedAt: now,
	}
	nextSubmit, lastLogged, allFinal := now, now, time.Time{}
	for ; ctx.Err() == nil; time.Sleep(overflowPollInterval) {
		if now := time.Now(); len(x.submitted) < jobs && !now.Before(nextSubmit) {
			nextSubmit = nextSubmit.Add(submitInterval)
			x.addJob()
		}
		recordPlacements(f, x.duplicated, x.lent)
		final := x.pollJobs(ctx)
		if !x.faultInjected && len(x.lent) > 0 {
			x.startFault()
		}
		if time.Since(lastLogged) > 5*time.Second {
			lastLogged = time.Now()
			x.logf("%5.1f s: %d handed in, %d final, %d lent", time.Since(x.began).Seconds(), len(x.submitted), final, len(x.lent))
		}
		if final == jobs && allFinal.IsZero() {
			allFinal = time.Now()
		}
		if !allFinal.IsZero() && time.Since(allFinal) > recheckFinalFor {
			break
		}
	}
	r := overflowResult{Clusters: options.Clusters, Fault: fault, Seed: seed, Lending: options.Overflow, Duplicated: len(x.duplicated), Lent: len(x.lent)}
	r.countJobs(x.submitted)
	return r
}

// addJob draws the next job; pollJobs submits it.
func (x *overflowRun) addJob() {
	x.submitted = append(x.submitted, &labJob{Job: fleet.Job{
		ID: fmt.Sprintf("job-%06d", len(x.submitted)+1), Team: "ops", Tasks: 1 + x.rng.IntN(4), CPUs: 2, Urgency: "normal",
		RunTime: time.Duration(2+x.rng.IntN(4)) * time.Second, Deadline: 20 * time.Second,
	}})
}

// pollJobs submits or polls every job, marks those that went unanswered for too long, and returns
// how many are final.
func (x *overflowRun) pollJobs(ctx context.Context) int {
	home, final := x.fleet.Clusters[0], 0
	for i, j := range x.submitted {
		if j.submitOrPoll(ctx, home, i); !j.finishedAt.IsZero() {
			final++
		}
		since := j.acceptedAt
		for _, t := range []time.Time{j.answeredAt, x.healedAt} {
			if t.After(since) {
				since = t
			}
		}
		j.forgotten = j.forgotten || !j.acceptedAt.IsZero() && time.Since(since) > simulation.MaxUnanswered
	}
	return final
}

// startFault lets the fault happen, and heals it after faultDuration.
func (x *overflowRun) startFault() {
	x.faultInjected = true
	x.logf("%5.1f s: %s", time.Since(x.began).Seconds(), x.fault)
	heal := injectFault(x.fleet, x.options, x.fault)
	x.healedAt = time.Now().Add(faultDuration)
	time.AfterFunc(faultDuration, heal)
}

// countJobs adds what became of the jobs.
func (r *overflowResult) countJobs(jobs []*labJob) {
	var waits []float64
	inTime := 0
	for _, j := range jobs {
		if j.acceptedAt.IsZero() {
			continue
		}
		r.Accepted++
		if j.wentBack {
			r.WentBack++
		}
		if j.forgotten {
			r.Forgotten++
		}
		if j.finishedAt.IsZero() {
			r.Lost++
			continue
		}
		r.Finished++
		w := j.finishedAt.Sub(j.acceptedAt)
		waits = append(waits, w.Seconds())
		if w <= j.Deadline {
			inTime++
		}
	}
	if slices.Sort(waits); len(waits) > 0 {
		r.P95 = waits[min(len(waits)-1, len(waits)*95/100)]
		r.InTime = float64(inTime) / float64(r.Accepted)
	}
}

// submitOrPoll submits the job until it is accepted, and polls it from then on. Each job is polled
// in its own slot of 20 ms, so that the polls of many jobs are spread.
func (j *labJob) submitOrPoll(ctx context.Context, home *fleet.Cluster, i int) {
	if j.acceptedAt.IsZero() {
		if ok, err := home.Submit(ctx, j.Job); ok && err == nil {
			j.acceptedAt = time.Now()
		}
		return
	}
	if time.Now().UnixMilli()/20%16 != int64(i%16) {
		return
	}
	s, state := home.Query(ctx, j.ID)
	switch {
	case s == http.StatusNotFound:
		j.wentBack = true
	case s != http.StatusOK:
	case j.state == "done" && state != "done":
		j.wentBack = true
	case state == "done" && j.finishedAt.IsZero():
		j.finishedAt = time.Now()
	}
	if s == http.StatusOK {
		j.state, j.answeredAt = state, time.Now()
	}
}

// recordPlacements records which jobs run at a peer, and which tasks run in two clusters now.
func recordPlacements(f *fleet.Fleet, duplicated, lent map[string]bool) {
	placed := map[string]bool{}
	for _, c := range f.Clusters {
		tasks, _ := c.Live.RunningTasks()
		for _, x := range tasks {
			id, index, _ := strings.Cut(x, "/")
			if strings.HasPrefix(id, "job-lent-") {
				id = fleet.OriginalID(id)
				lent[id] = true
			}
			if x = id + "/" + index; placed[x] {
				duplicated[x] = true
			}
			placed[x] = true
		}
	}
}

// injectFault lets the fault happen and returns what heals it.
func injectFault(f *fleet.Fleet, options fleet.Options, fault string) func() {
	peer := f.Clusters[1]
	forEachController := func(c *fleet.Cluster, fn func(int)) {
		for i := range c.Controllers() {
			fn(i)
		}
	}
	switch fault {
	case "kill-peer":
		forEachController(peer, peer.Kill)
		return func() { forEachController(peer, func(i int) { _ = peer.Start(i) }) }
	case "silent-peer":
		forEachController(peer, peer.Pause)
		return func() { forEachController(peer, peer.Resume) }
	case "drain-peer":
		_ = exec.Command(options.Program, "drain", "--addr", peer.InternalAddrs[0], "--within", "20s").Run()
	case "cut":
		// The home's controllers are paused: neither side hears the other.
		home := f.Clusters[0]
		forEachController(home, home.Pause)
		return func() { forEachController(home, home.Resume) }
	case "restart-all":
		for _, c := range f.Clusters {
			forEachController(c, c.Kill)
		}
		for _, c := range f.Clusters {
			forEachController(c, func(i int) { _ = c.Start(i) })
		}
	}
	return func() {}
}

// printOverflow prints the result, and fails if a rule is broken.
func printOverflow(out io.Writer, r overflowResult, asJSON bool) error {
	if asJSON {
		if err := printJSON(out, r); err != nil {
			return fmt.Errorf("overflow: %w", err)
		}
	} else {
		fmt.Fprintf(out, "accepted %d  final %d  twice %d  lost %d  went_back %d  forgotten %d  lent %d  in time %.0f %%  p95 %.1f s\n",
			r.Accepted, r.Finished, r.Duplicated, r.Lost, r.WentBack, r.Forgotten, r.Lent, 100*r.InTime, r.P95)
	}
	if r.Duplicated+r.Lost+r.WentBack+r.Forgotten > 0 {
		return fmt.Errorf("overflow: a rule is broken: %d in two clusters, %d without an end, %d went back, %d forgotten", r.Duplicated, r.Lost, r.WentBack, r.Forgotten)
	}
	return nil
}

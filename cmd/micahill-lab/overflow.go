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

// overflowResult is the result of an overflow experiment. It counts what the workers and users
// observed, not what the controllers report.
type overflowResult struct {
	Clusters int    `json:"clusters"`
	Fault    string `json:"fault"`
	Seed     uint64 `json:"seed"`
	Lending  bool   `json:"lending"`
	// Accepted counts the accepted jobs. Of these Finished are done and Lost never finished.
	Accepted int `json:"accepted"`
	Finished int `json:"final"`
	// Duplicated counts the tasks that ran in two clusters at once.
	Duplicated int `json:"twice"`
	Lost       int `json:"lost"`
	// Reverted counts the jobs that were reported as unknown after their acceptance, or as not
	// done after they were done.
	Reverted int `json:"went_back"`
	// Forgotten counts jobs that got no answer to a poll for simulation.MaxUnanswered after the
	// fault.
	Forgotten int `json:"forgotten"`
	// Lent counts the jobs of which a peer ran a task.
	Lent int `json:"lent"`
	// InTime is the fraction of the accepted jobs that finished within their deadline. P95 is the
	// 95th percentile of the time from acceptance to the end of the finished jobs, in seconds.
	InTime float64 `json:"in_time"`
	P95    float64 `json:"p95_s"`
}

// overflowFaults are the values of --fault; see injectFault.
var overflowFaults = []string{"none", "kill-peer", "silent-peer", "drain-peer", "cut", "restart-all"}

// overflowCommand returns the verb that loads several clusters, injects a fault while jobs are
// lent, and checks the rules.
func overflowCommand() *cobra.Command {
	var options fleet.Options
	var jobs int
	var seed uint64
	var fault, programFlag string
	var asJSON, noLending bool
	command := &cobra.Command{
		Use: "overflow", Short: "Load a busy cluster beside idle ones, inject a fault while jobs are lent, and check the rules", Args: cobra.NoArgs,
		Long: "Starts clusters of which the first has hardly any machines, submits jobs to it, and\ninjects the fault once a job has been lent. Counts what workers and users observe. Exit\nstatus 1 if a rule is broken: a task runs in two clusters, a final state changes, a job\nreaches none, or no query about a job is answered for 75 s after the fault.",
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
			labFleet, err := fleet.Start(cmd.Context(), options)
			if err != nil {
				return err
			}
			defer labFleet.Stop()
			result := runOverflow(cmd, labFleet, options, jobs, seed, fault)
			return printOverflow(cmd.OutOrStdout(), result, asJSON)
		},
	}
	command.Flags().IntVar(&options.Clusters, "clusters", 3, "how many clusters, 2 to 5")
	command.Flags().IntVar(&options.Controllers, "controllers", 2, "controllers of each cluster")
	command.Flags().IntVar(&jobs, "jobs", 24, "number of jobs to submit, 1 to 1000")
	command.Flags().Uint64Var(&seed, "seed", 1, "seed of the jobs")
	command.Flags().StringVar(&fault, "fault", "none", strings.Join(overflowFaults, ", "))
	command.Flags().BoolVar(&noLending, "off", false, "disable lending, for comparison")
	command.Flags().StringVar(&programFlag, "micahill", "", "the controllers' program (default: micahill in this program's directory)")
	command.Flags().BoolVar(&asJSON, "json", false, "as JSON")
	return command
}

// The intervals and limits of an overflow experiment.
const (
	// submitInterval is the time between two submissions.
	submitInterval = 300 * time.Millisecond
	// overflowPollInterval is the time between two polls of the workers and the jobs.
	overflowPollInterval = 20 * time.Millisecond
	// maxOverflowTime is the longest time that an experiment runs.
	maxOverflowTime = 4 * time.Minute
	// recheckFinalFor is how long jobs are still polled once all are done, to detect a job whose
	// final state changes.
	recheckFinalFor = 5 * time.Second
	// faultDuration is how long a fault lasts.
	faultDuration = 8 * time.Second
)

// labJob is a submitted job and what its user has observed of it.
type labJob struct {
	fleet.Job
	acceptedAt, finishedAt time.Time
	// state is the last state that a poll returned.
	state    string
	reverted bool
	// answeredAt is when a poll was last answered. forgotten is set once polls stayed unanswered
	// for simulation.MaxUnanswered.
	answeredAt time.Time
	forgotten  bool
}

// overflowRun is the state of a running experiment.
type overflowRun struct {
	fleet   *fleet.Fleet
	options fleet.Options
	// jobCount is the number of jobs to submit to the first cluster; rng draws their sizes and
	// run times.
	jobCount int
	rng      *rand.Rand
	fault    string
	logf     func(format string, args ...any)

	began     time.Time
	submitted []*labJob
	// duplicated has the tasks that were seen in two clusters at once, and lent the jobs that a
	// peer ran. The keys are their IDs in the home cluster.
	duplicated, lent map[string]bool
	faultInjected    bool
	// healedAt is when the fault ends. Without a fault it is the start of the experiment.
	healedAt time.Time
}

// runOverflow submits the jobs, injects the fault once a job is lent, and polls until all jobs
// have been done for recheckFinalFor, or for maxOverflowTime.
func runOverflow(cmd *cobra.Command, labFleet *fleet.Fleet, options fleet.Options, jobs int, seed uint64, fault string) overflowResult {
	ctx, cancel := context.WithTimeout(cmd.Context(), maxOverflowTime)
	defer cancel()
	now := time.Now()
	run := &overflowRun{
		fleet: labFleet, options: options, jobCount: jobs, rng: rand.New(rand.NewPCG(seed, 1)), fault: fault,
		logf:  func(format string, args ...any) { fmt.Fprintf(cmd.ErrOrStderr(), format+"\n", args...) },
		began: now, duplicated: map[string]bool{}, lent: map[string]bool{},
		faultInjected: fault == "none", healedAt: now,
	}
	nextSubmit, lastLogged, allFinal := now, now, time.Time{}
	for ; ctx.Err() == nil; time.Sleep(overflowPollInterval) {
		if now := time.Now(); len(run.submitted) < jobs && !now.Before(nextSubmit) {
			nextSubmit = nextSubmit.Add(submitInterval)
			run.addJob()
		}
		recordPlacements(labFleet, run.duplicated, run.lent)
		final := run.pollJobs(ctx)
		if !run.faultInjected && len(run.lent) > 0 {
			run.startFault()
		}
		if time.Since(lastLogged) > 5*time.Second {
			lastLogged = time.Now()
			run.logf("%5.1f s: %d submitted, %d final, %d lent", time.Since(run.began).Seconds(), len(run.submitted), final, len(run.lent))
		}
		if final == jobs && allFinal.IsZero() {
			allFinal = time.Now()
		}
		if !allFinal.IsZero() && time.Since(allFinal) > recheckFinalFor {
			break
		}
	}
	result := overflowResult{Clusters: options.Clusters, Fault: fault, Seed: seed, Lending: options.Overflow, Duplicated: len(run.duplicated), Lent: len(run.lent)}
	result.countJobs(run.submitted)
	return result
}

// addJob generates the next job; pollJobs submits it.
func (run *overflowRun) addJob() {
	run.submitted = append(run.submitted, &labJob{Job: fleet.Job{
		ID: fmt.Sprintf("job-%06d", len(run.submitted)+1), Team: "ops", Tasks: 1 + run.rng.IntN(4), CPUs: 2, Urgency: "normal",
		RunTime: time.Duration(2+run.rng.IntN(4)) * time.Second, Deadline: 20 * time.Second,
	}})
}

// pollJobs submits or polls every job, marks the jobs that went unanswered for too long as
// forgotten, and returns how many jobs are done.
func (run *overflowRun) pollJobs(ctx context.Context) int {
	home, final := run.fleet.Clusters[0], 0
	for i, job := range run.submitted {
		if job.submitOrPoll(ctx, home, i); !job.finishedAt.IsZero() {
			final++
		}
		since := job.acceptedAt
		for _, t := range []time.Time{job.answeredAt, run.healedAt} {
			if t.After(since) {
				since = t
			}
		}
		job.forgotten = job.forgotten || !job.acceptedAt.IsZero() && time.Since(since) > simulation.MaxUnanswered
	}
	return final
}

// startFault injects the fault, and ends it after faultDuration.
func (run *overflowRun) startFault() {
	run.faultInjected = true
	run.logf("%5.1f s: %s", time.Since(run.began).Seconds(), run.fault)
	heal := injectFault(run.fleet, run.options, run.fault)
	run.healedAt = time.Now().Add(faultDuration)
	time.AfterFunc(faultDuration, heal)
}

// countJobs adds the outcome of the jobs to the result.
func (result *overflowResult) countJobs(jobs []*labJob) {
	var waits []float64
	inTime := 0
	for _, job := range jobs {
		if job.acceptedAt.IsZero() {
			continue
		}
		result.Accepted++
		if job.reverted {
			result.Reverted++
		}
		if job.forgotten {
			result.Forgotten++
		}
		if job.finishedAt.IsZero() {
			result.Lost++
			continue
		}
		result.Finished++
		wait := job.finishedAt.Sub(job.acceptedAt)
		waits = append(waits, wait.Seconds())
		if wait <= job.Deadline {
			inTime++
		}
	}
	if slices.Sort(waits); len(waits) > 0 {
		result.P95 = waits[min(len(waits)-1, len(waits)*95/100)]
		result.InTime = float64(inTime) / float64(result.Accepted)
	}
}

// submitOrPoll submits the job until it is accepted, and polls it from then on. A job is polled
// only in the one of 16 slots of 20 ms that its index selects, so that the polls of many jobs are
// spread.
func (job *labJob) submitOrPoll(ctx context.Context, home *fleet.Cluster, index int) {
	if job.acceptedAt.IsZero() {
		if ok, err := home.Submit(ctx, job.Job); ok && err == nil {
			job.acceptedAt = time.Now()
		}
		return
	}
	if time.Now().UnixMilli()/20%16 != int64(index%16) {
		return
	}
	status, state := home.Query(ctx, job.ID)
	switch {
	case status == http.StatusNotFound:
		job.reverted = true
	case status != http.StatusOK:
	case job.state == "done" && state != "done":
		job.reverted = true
	case state == "done" && job.finishedAt.IsZero():
		job.finishedAt = time.Now()
	}
	if status == http.StatusOK {
		job.state, job.answeredAt = state, time.Now()
	}
}

// recordPlacements records the jobs that run at a peer, and the tasks that run in two clusters at
// the same time.
func recordPlacements(labFleet *fleet.Fleet, duplicated, lent map[string]bool) {
	placed := map[string]bool{}
	for _, cluster := range labFleet.Clusters {
		tasks, _ := cluster.Live.RunningTasks()
		for _, task := range tasks {
			id, index, _ := strings.Cut(task, "/")
			if strings.HasPrefix(id, "job-lent-") {
				id = fleet.OriginalID(id)
				lent[id] = true
			}
			if task = id + "/" + index; placed[task] {
				duplicated[task] = true
			}
			placed[task] = true
		}
	}
}

// injectFault injects the fault and returns the function that ends it.
func injectFault(labFleet *fleet.Fleet, options fleet.Options, fault string) func() {
	peer := labFleet.Clusters[1]
	forEachController := func(cluster *fleet.Cluster, fn func(int)) {
		for i := range cluster.Controllers() {
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
		// The controllers of the home cluster are paused, so that neither side receives messages
		// from the other.
		home := labFleet.Clusters[0]
		forEachController(home, home.Pause)
		return func() { forEachController(home, home.Resume) }
	case "restart-all":
		for _, cluster := range labFleet.Clusters {
			forEachController(cluster, cluster.Kill)
		}
		for _, cluster := range labFleet.Clusters {
			forEachController(cluster, func(i int) { _ = cluster.Start(i) })
		}
	}
	return func() {}
}

// printOverflow prints the result, and returns an error if a rule is broken.
func printOverflow(out io.Writer, result overflowResult, asJSON bool) error {
	if asJSON {
		if err := printJSON(out, result); err != nil {
			return fmt.Errorf("overflow: %w", err)
		}
	} else {
		fmt.Fprintf(out, "accepted %d  final %d  twice %d  lost %d  went_back %d  forgotten %d  lent %d  in time %.0f %%  p95 %.1f s\n",
			result.Accepted, result.Finished, result.Duplicated, result.Lost, result.Reverted, result.Forgotten, result.Lent, 100*result.InTime, result.P95)
	}
	if result.Duplicated+result.Lost+result.Reverted+result.Forgotten > 0 {
		return fmt.Errorf("overflow: a rule is broken: %d tasks in two clusters, %d jobs without an end, %d jobs with a final state that changed, %d jobs forgotten", result.Duplicated, result.Lost, result.Reverted, result.Forgotten)
	}
	return nil
}

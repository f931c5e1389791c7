package simulation

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"time"

	"github.com/micahill/micahill/internal/message"
	"github.com/micahill/micahill/internal/model"
)

// This file models users who submit pipelines, which are jobs with dependencies: chains, fan-outs
// and joins. A user submits a job as soon as its dependencies are accepted, or sometimes when they
// have ended. Some users cancel jobs of their pipelines.

const (
	// minPipelines and maxPipelines bound the number of pipelines of a day. Between the bounds
	// there is one pipeline for every jobsPerPipeline ordinary jobs.
	minPipelines, maxPipelines, jobsPerPipeline = 10, 60, 3
	// stepRunTime is the approximate run time of the tasks of a step. pipelineExtraTime is the time
	// by which served jobs are counted later than on other days, since the last steps of a pipeline
	// start only after the others.
	stepRunTime       = 20 * time.Second
	pipelineExtraTime = 3 * time.Minute
	// maxSteps is the maximum number of steps of a pipeline, and maxParallelJobs that of jobs of a
	// step.
	maxSteps, maxParallelJobs = 4, 4
	// cancelFraction is the fraction of the pipelines of which a job is cancelled, and
	// invalidFraction the fraction to which a job with invalid dependencies is added.
	cancelFraction, invalidFraction = 0.5, 0.2
	// concurrentWindow is the time within which several controllers are asked to cancel a job, or
	// one controller is asked to cancel a job and another to accept a dependent of the job.
	concurrentWindow = 20 * time.Millisecond
)

// milestone is an event that occurs at most once for a job.
type milestone string

const (
	// milestoneAccepted occurs when the user knows that the job is accepted, milestoneTasksDone
	// when the last task is done on its worker, and milestoneFinal when the user knows the final
	// state.
	milestoneAccepted  milestone = "accepted"
	milestoneTasksDone milestone = "ended"
	milestoneFinal     milestone = "over"
)

// hasReached reports whether a job has reached a milestone.
func (j *userJob) hasReached(m milestone) bool {
	switch m {
	case milestoneAccepted:
		return j.accepted
	case milestoneTasksDone:
		return !j.tasksDoneAt.IsZero()
	default:
		return isFinal(j.lastState)
	}
}

// onMilestone calls fn when the job reaches a milestone, or immediately if it has reached it.
func (j *userJob) onMilestone(m milestone, fn func()) {
	if j.hasReached(m) {
		fn()
		return
	}
	j.hooks[m] = append(j.hooks[m], fn)
}

// runHooks calls and removes the functions that wait for milestones that the job has reached.
func (j *userJob) runHooks() {
	for _, m := range []milestone{milestoneAccepted, milestoneTasksDone, milestoneFinal} {
		if fns := j.hooks[m]; len(fns) > 0 && j.hasReached(m) {
			delete(j.hooks, m)
			for _, fn := range fns {
				fn()
			}
		}
	}
}

// onAllReached calls fn when all jobs have reached a milestone, immediately if there are no jobs.
func onAllReached(jobs []*userJob, m milestone, fn func()) {
	left := len(jobs)
	if left == 0 {
		fn()
	}
	for _, j := range jobs {
		j.onMilestone(m, func() {
			if left--; left == 0 {
				fn()
			}
		})
	}
}

// linkDependencies links a job with those of its dependencies that were submitted, and sets
// dependenciesAccepted.
func (w *World) linkDependencies(j *userJob) {
	j.dependenciesAccepted = len(j.spec.Dependencies) > 0
	for _, id := range j.spec.Dependencies {
		n := w.jobs[id]
		j.dependenciesAccepted = j.dependenciesAccepted && n != nil && n.accepted
		if n != nil && n != j {
			j.dependencies = append(j.dependencies, n)
			n.dependents = append(n.dependents, j)
		}
	}
}

// submitAfter submits a job when all others have reached a milestone.
func (w *World) submitAfter(j *userJob, m milestone, others ...*userJob) {
	onAllReached(others, m, func() { w.submitJob(j) })
}

// CancelAt sends the cancellation of a job to count controllers within concurrentWindow, beginning
// with the controller with index first. Failed requests are repeated until a controller confirms
// the cancellation.
func (w *World) CancelAt(id string, first, count int) {
	j := w.jobs[id]
	j.cancelRequested = true
	for i := range min(count, len(w.controllers)) {
		to := (first + i) % len(w.controllers)
		w.schedule(time.Duration(w.rng.Int64N(int64(concurrentWindow))), func() {
			requestedAt := w.now
			w.userRequestTo(to, func(r uint64) message.Command { return message.CancelJob{Reply: r, ID: id} }, 5*time.Second, func(r *message.UserReply) {
				if r != nil && r.Status == http.StatusOK {
					w.checkAnswer(j, requestedAt, r)
				} else if !isFinal(j.lastState) {
					w.schedule(w.jitter(time.Second), func() { w.Cancel(id) })
				}
			})
		})
	}
}

// resubmit submits an accepted job again and checks that the controller knows the job, in whatever
// state its dependencies are.
func (w *World) resubmit(j *userJob) {
	to := w.rng.IntN(len(w.controllers))
	w.checkedRequest(to, j, func(r uint64) message.Command { return message.SubmitJob{Reply: r, Spec: j.spec} })
}

// generatePipeline draws a pipeline. Each job of a step depends on all jobs of the previous step.
// The last step is a single urgent job with a deadline.
func (d *Day) generatePipeline(w *World, rng *rand.Rand) (steps [][]*userJob) {
	team := d.Settings.Teams[rng.IntN(d.Teams)].Name
	var before []string
	last := 1 + rng.IntN(maxSteps-1)
	for k := range last + 1 {
		side := 1
		if k < last && rng.IntN(3) == 0 {
			side = 1 + rng.IntN(maxParallelJobs)
		}
		var step []*userJob
		var names []string
		for range side {
			id := w.nextJobID()
			run := time.Duration(float64(stepRunTime) * (0.3 + rng.Float64()))
			spec := model.JobSpec{
				ID: id, Workload: fmt.Sprintf("step-%d", k), Team: team, Urgency: model.BestEffort,
				Tasks: 1 + rng.IntN(5), Need: model.Resources{CPU: 1, Memory: 3}, Image: fmt.Sprintf("step-%d", k), ImageGB: 0.5, AllowSpot: rng.IntN(4) > 0,
				ExpectedRunTime: run, Dependencies: before,
			}
			if k == last {
				spec.Workload, spec.Urgency, spec.Deadline = "last", model.Urgent, time.Duration(last+1)*3*stepRunTime
			}
			names = append(names, spec.ID)
			step = append(step, newUserJob(spec, run))
		}
		before = names
		steps = append(steps, step)
	}
	return steps
}

// submitPipelines schedules the day's pipelines, cancellations of some of their jobs, and jobs with
// invalid dependencies. Every job is submitted again after the last one has ended.
func (d *Day) submitPipelines(w *World) {
	if !d.Pipelines {
		return
	}
	rng := rand.New(rand.NewPCG(d.Seed, 819))
	span := time.Duration(d.Minutes) * time.Minute
	for range min(max(minPipelines, d.Jobs/jobsPerPipeline), maxPipelines) {
		steps := d.generatePipeline(w, rng)
		at := time.Duration(rng.Float64() * float64(span))
		if d.Cancels != nil && rng.IntN(3) > 0 {
			// Start most pipelines in the minute before the mass cancellation, so that their jobs
			// are in progress when the faults overlap.
			at = max(0, d.Cancels.At-time.Duration(rng.Float64()*float64(time.Minute)))
		}
		late := rng.IntN(4) == 0
		w.schedule(at, func() {
			for k, step := range steps {
				for _, j := range step {
					switch {
					case k == 0:
						w.submitJob(j)
					case late && k == len(steps)-1:
						w.submitAfter(j, milestoneFinal, steps[k-1]...)
					default:
						w.submitAfter(j, milestoneAccepted, steps[k-1]...)
					}
				}
			}
		})
		if rng.Float64() < cancelFraction {
			d.cancelPipelineJob(w, rng, steps, at)
		}
		if rng.Float64() < invalidFraction {
			d.submitInvalidDependencies(w, rng, steps)
		}
		last := steps[len(steps)-1][0]
		for _, j := range slices.Concat(steps...) {
			wait := time.Duration(rng.Int64N(int64(time.Minute)))
			last.onMilestone(milestoneFinal, func() { w.schedule(wait, func() { w.resubmit(j) }) })
		}
	}
}

// cancelPipelineJob schedules the cancellation of one job of a pipeline, at one controller or
// several. The time of the cancellation is random, shortly after the job is accepted, shortly after
// its last task is done, or when its dependents are submitted to another controller. Some users
// submit another dependent of the cancelled job later.
func (d *Day) cancelPipelineJob(w *World, rng *rand.Rand, steps [][]*userJob, at time.Duration) {
	k := rng.IntN(len(steps))
	j := steps[k][rng.IntN(len(steps[k]))]
	first, count := rng.IntN(d.Controllers), []int{1, 1, 2, d.Controllers}[rng.IntN(4)]
	soon := time.Duration(rng.Int64N(int64(3 * concurrentWindow)))
	cancelJob := func() {
		if w.jobs[j.spec.ID] != nil {
			w.CancelAt(j.spec.ID, first, count)
		}
	}
	switch rng.IntN(4) {
	case 0:
		moment := at + time.Duration(rng.Float64()*float64(2*stepRunTime*time.Duration(k+1)))
		if c := d.Cancels; c != nil && c.At+c.Duration > at {
			moment = max(at, c.At) + time.Duration(rng.Float64()*float64(c.Duration))
		}
		w.schedule(moment, func() { j.onMilestone(milestoneAccepted, cancelJob) })
	case 1:
		j.onMilestone(milestoneAccepted, func() { w.schedule(soon, cancelJob) })
	case 2:
		j.onMilestone(milestoneTasksDone, func() { w.schedule(soon/2, cancelJob) })
	case 3:
		// The dependents of the job are submitted when all jobs of the step are accepted.
		onAllReached(steps[k], milestoneAccepted, cancelJob)
	}
	if rng.IntN(2) == 0 {
		spec := steps[len(steps)-1][0].spec
		spec.ID, spec.Dependencies = w.nextJobID(), []string{j.spec.ID}
		more := newUserJob(spec, stepRunTime)
		wait := time.Duration(rng.Float64() * float64(2*d.cancelWithin()))
		j.onMilestone(milestoneFinal, func() { w.schedule(wait, func() { w.submitJob(more) }) })
	}
}

// submitInvalidDependencies submits a job that the controllers must refuse: it depends on a job
// that was never submitted, on itself, or on the same job twice.
func (d *Day) submitInvalidDependencies(w *World, rng *rand.Rand, steps [][]*userJob) {
	first := steps[0][0]
	spec := first.spec
	spec.ID = w.nextJobID()
	spec.Dependencies = [][]string{{fmt.Sprintf("job-8%05d", rng.IntN(100000))}, {spec.ID}, {first.spec.ID, first.spec.ID}}[rng.IntN(3)]
	odd := newUserJob(spec, stepRunTime)
	odd.invalid = true
	first.onMilestone(milestoneAccepted, func() { w.submitJob(odd) })
}

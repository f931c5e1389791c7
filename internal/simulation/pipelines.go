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

// This file has users who submit jobs with dependencies: chains, joins and fans, each job as soon
// as its dependencies are accepted, and who cancel some of them meanwhile.

const (
	// minPipelines and maxPipelines bound how many pipelines a day has, and jobsPerPipeline is how
	// many other jobs there are for each.
	minPipelines, maxPipelines, jobsPerPipeline = 10, 60, 3
	// stepRunTime is about how long the tasks of a step run, and pipelineExtraTime how much later
	// than on other days served jobs are counted, as the last steps come last.
	stepRunTime       = 20 * time.Second
	pipelineExtraTime = 3 * time.Minute
	// maxSteps bounds the steps of a pipeline, and maxParallelJobs the jobs of a step.
	maxSteps, maxParallelJobs = 4, 4
	// cancelFraction is the part of the pipelines that have a job cancelled, and invalidFraction
	// the part that have a job with invalid dependencies.
	cancelFraction, invalidFraction = 0.5, 0.2
	// concurrentWindow is how soon after another several controllers are asked to cancel a job, or
	// one is asked for that and another to accept a dependent of it.
	concurrentWindow = 20 * time.Millisecond
)

// milestone is an event that happens once to a job.
type milestone string

const (
	// milestoneAccepted is when the user knows that the job is accepted, milestoneTasksDone when
	// its last task is done, and milestoneFinal when the user knows its final state.
	milestoneAccepted  milestone = "accepted"
	milestoneTasksDone milestone = "ended"
	milestoneFinal     milestone = "over"
)

// hasReached reports whether a milestone has been reached.
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

// onMilestone calls fn at a milestone, or now if it has been reached.
func (j *userJob) onMilestone(m milestone, fn func()) {
	if j.hasReached(m) {
		fn()
		return
	}
	j.hooks[m] = append(j.hooks[m], fn)
}

// runHooks calls what waits for milestones that have been reached.
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

// onAllReached calls fn when all jobs have reached a milestone.
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

// linkDependencies links a job with its dependencies, as far as they were submitted.
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

// submitAfter submits a job as soon as all others have reached a milestone.
func (w *World) submitAfter(j *userJob, m milestone, others ...*userJob) {
	onAllReached(others, m, func() { w.submitJob(j) })
}

// CancelAt cancels a job at count controllers, from first on, within concurrentWindow, trying until
// one confirms it.
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

// resubmit submits an accepted job once more: it must be known, whatever became of its
// dependencies.
func (w *World) resubmit(j *userJob) {
	to := w.rng.IntN(len(w.controllers))
	w.checkedRequest(to, j, func(r uint64) message.Command { return message.SubmitJob{Reply: r, Spec: j.spec} })
}

// generatePipeline draws a pipeline: steps of one or several jobs, each depending on all jobs of
// the step before, and an urgent last job with a deadline.
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

// submitPipelines schedules the day's pipelines, and cancellations of some of their jobs.
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
			// So that much of it is in progress when the faults overlap.
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

// cancelPipelineJob schedules the cancellation of one job of a pipeline: at any time, at once, just
// when its last task is done, or just when its dependents are submitted to another controller; at
// one controller or several. Some users submit one more dependent of it later.
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
		// Its dependents are submitted when all jobs of its step are accepted.
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

// submitInvalidDependencies submits a job that must be refused: it depends on a job that was never
// accepted, on itself, or on one job twice.
func (d *Day) submitInvalidDependencies(w *World, rng *rand.Rand, steps [][]*userJob) {
	first := steps[0][0]
	spec := first.spec
	spec.ID = w.nextJobID()
	spec.Dependencies = [][]string{{fmt.Sprintf("job-8%05d", rng.IntN(100000))}, {spec.ID}, {first.spec.ID, first.spec.ID}}[rng.IntN(3)]
	odd := newUserJob(spec, stepRunTime)
	odd.invalid = true
	first.onMilestone(milestoneAccepted, func() { w.submitJob(odd) })
}

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
func (job *userJob) hasReached(m milestone) bool {
	switch m {
	case milestoneAccepted:
		return job.accepted
	case milestoneTasksDone:
		return !job.tasksDoneAt.IsZero()
	default:
		return isFinal(job.lastState)
	}
}

// onMilestone calls fn when the job reaches a milestone, or immediately if it has reached it.
func (job *userJob) onMilestone(m milestone, fn func()) {
	if job.hasReached(m) {
		fn()
		return
	}
	job.hooks[m] = append(job.hooks[m], fn)
}

// runHooks calls and removes the functions that wait for milestones that the job has reached.
func (job *userJob) runHooks() {
	for _, m := range []milestone{milestoneAccepted, milestoneTasksDone, milestoneFinal} {
		if fns := job.hooks[m]; len(fns) > 0 && job.hasReached(m) {
			delete(job.hooks, m)
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
	for _, job := range jobs {
		job.onMilestone(m, func() {
			if left--; left == 0 {
				fn()
			}
		})
	}
}

// linkDependencies links a job with those of its dependencies that were submitted, and sets
// dependenciesAccepted.
func (world *World) linkDependencies(job *userJob) {
	job.dependenciesAccepted = len(job.spec.Dependencies) > 0
	for _, id := range job.spec.Dependencies {
		dependency := world.jobs[id]
		job.dependenciesAccepted = job.dependenciesAccepted && dependency != nil && dependency.accepted
		if dependency != nil && dependency != job {
			job.dependencies = append(job.dependencies, dependency)
			dependency.dependents = append(dependency.dependents, job)
		}
	}
}

// submitAfter submits a job when all others have reached a milestone.
func (world *World) submitAfter(job *userJob, m milestone, others ...*userJob) {
	onAllReached(others, m, func() { world.submitJob(job) })
}

// CancelAt sends the cancellation of a job to count controllers within concurrentWindow, beginning
// with the controller with index first. Failed requests are repeated until a controller confirms
// the cancellation.
func (world *World) CancelAt(id string, first, count int) {
	job := world.jobs[id]
	job.cancelRequested = true
	for i := range min(count, len(world.controllers)) {
		to := (first + i) % len(world.controllers)
		world.schedule(time.Duration(world.rng.Int64N(int64(concurrentWindow))), func() {
			requestedAt := world.now
			world.userRequestTo(to, func(reply uint64) message.Command { return message.CancelJob{Reply: reply, ID: id} }, 5*time.Second, func(reply *message.UserReply) {
				if reply != nil && reply.Status == http.StatusOK {
					world.checkAnswer(job, requestedAt, reply)
				} else if !isFinal(job.lastState) {
					world.schedule(world.jitter(time.Second), func() { world.Cancel(id) })
				}
			})
		})
	}
}

// resubmit submits an accepted job again and checks that the controller knows the job, in whatever
// state its dependencies are.
func (world *World) resubmit(job *userJob) {
	to := world.rng.IntN(len(world.controllers))
	world.checkedRequest(to, job, func(r uint64) message.Command { return message.SubmitJob{Reply: r, Spec: job.spec} })
}

// generatePipeline draws a pipeline. Each job of a step depends on all jobs of the previous step.
// The last step is a single urgent job with a deadline.
func (day *Day) generatePipeline(world *World, rng *rand.Rand) (steps [][]*userJob) {
	team := day.Settings.Teams[rng.IntN(day.Teams)].Name
	var before []string
	last := 1 + rng.IntN(maxSteps-1)
	for k := range last + 1 {
		parallelJobs := 1
		if k < last && rng.IntN(3) == 0 {
			parallelJobs = 1 + rng.IntN(maxParallelJobs)
		}
		var step []*userJob
		var names []string
		for range parallelJobs {
			id := world.nextJobID()
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
func (day *Day) submitPipelines(world *World) {
	if !day.Pipelines {
		return
	}
	rng := rand.New(rand.NewPCG(day.Seed, 819))
	span := time.Duration(day.Minutes) * time.Minute
	for range min(max(minPipelines, day.Jobs/jobsPerPipeline), maxPipelines) {
		steps := day.generatePipeline(world, rng)
		at := time.Duration(rng.Float64() * float64(span))
		if day.Cancels != nil && rng.IntN(3) > 0 {
			// Start most pipelines in the minute before the mass cancellation, so that their jobs
			// are in progress when the faults overlap.
			at = max(0, day.Cancels.At-time.Duration(rng.Float64()*float64(time.Minute)))
		}
		submitLastWhenEnded := rng.IntN(4) == 0
		world.schedule(at, func() {
			for k, step := range steps {
				for _, job := range step {
					switch {
					case k == 0:
						world.submitJob(job)
					case submitLastWhenEnded && k == len(steps)-1:
						world.submitAfter(job, milestoneFinal, steps[k-1]...)
					default:
						world.submitAfter(job, milestoneAccepted, steps[k-1]...)
					}
				}
			}
		})
		if rng.Float64() < cancelFraction {
			day.cancelPipelineJob(world, rng, steps, at)
		}
		if rng.Float64() < invalidFraction {
			day.submitInvalidDependencies(world, rng, steps)
		}
		last := steps[len(steps)-1][0]
		for _, job := range slices.Concat(steps...) {
			wait := time.Duration(rng.Int64N(int64(time.Minute)))
			last.onMilestone(milestoneFinal, func() { world.schedule(wait, func() { world.resubmit(job) }) })
		}
	}
}

// cancelPipelineJob schedules the cancellation of one job of a pipeline, at one controller or
// several. The time of the cancellation is random, shortly after the job is accepted, shortly after
// its last task is done, or when its dependents are submitted to another controller. Some users
// submit another dependent of the cancelled job later.
func (day *Day) cancelPipelineJob(world *World, rng *rand.Rand, steps [][]*userJob, at time.Duration) {
	k := rng.IntN(len(steps))
	job := steps[k][rng.IntN(len(steps[k]))]
	first, count := rng.IntN(day.Controllers), []int{1, 1, 2, day.Controllers}[rng.IntN(4)]
	delay := time.Duration(rng.Int64N(int64(3 * concurrentWindow)))
	cancelJob := func() {
		if world.jobs[job.spec.ID] != nil {
			world.CancelAt(job.spec.ID, first, count)
		}
	}
	switch rng.IntN(4) {
	case 0:
		moment := at + time.Duration(rng.Float64()*float64(2*stepRunTime*time.Duration(k+1)))
		if cancels := day.Cancels; cancels != nil && cancels.At+cancels.Duration > at {
			moment = max(at, cancels.At) + time.Duration(rng.Float64()*float64(cancels.Duration))
		}
		world.schedule(moment, func() { job.onMilestone(milestoneAccepted, cancelJob) })
	case 1:
		job.onMilestone(milestoneAccepted, func() { world.schedule(delay, cancelJob) })
	case 2:
		job.onMilestone(milestoneTasksDone, func() { world.schedule(delay/2, cancelJob) })
	case 3:
		// The dependents of the job are submitted when all jobs of the step are accepted.
		onAllReached(steps[k], milestoneAccepted, cancelJob)
	}
	if rng.IntN(2) == 0 {
		spec := steps[len(steps)-1][0].spec
		spec.ID, spec.Dependencies = world.nextJobID(), []string{job.spec.ID}
		newDependent := newUserJob(spec, stepRunTime)
		wait := time.Duration(rng.Float64() * float64(2*day.cancelWithin()))
		job.onMilestone(milestoneFinal, func() { world.schedule(wait, func() { world.submitJob(newDependent) }) })
	}
}

// submitInvalidDependencies submits a job that the controllers must refuse: it depends on a job
// that was never submitted, on itself, or on the same job twice.
func (day *Day) submitInvalidDependencies(world *World, rng *rand.Rand, steps [][]*userJob) {
	first := steps[0][0]
	spec := first.spec
	spec.ID = world.nextJobID()
	spec.Dependencies = [][]string{{fmt.Sprintf("job-8%05d", rng.IntN(100000))}, {spec.ID}, {first.spec.ID, first.spec.ID}}[rng.IntN(3)]
	invalidJob := newUserJob(spec, stepRunTime)
	invalidJob.invalid = true
	first.onMilestone(milestoneAccepted, func() { world.submitJob(invalidJob) })
}

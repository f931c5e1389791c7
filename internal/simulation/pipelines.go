package simulation

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/micahill/micahill/internal/message"
	"github.com/micahill/micahill/internal/model"
)

// pipelines.go has users who submit jobs that need others: chains, joins and fans, one job
// after another, each as soon as those that it needs are accepted, and who cancel in the
// middle of them.

const (
	// minPipelines and maxPipelines bound how many pipelines come in a day, and
	// jobsPerPipeline is how many other jobs there are for each.
	minPipelines, maxPipelines, jobsPerPipeline = 10, 60, 3
	// stepRunTime is how long the tasks of a step take, and pipelineExtraTime how much later
	// than on other days is counted what was served: the last steps come last.
	stepRunTime       = 20 * time.Second
	pipelineExtraTime = 3 * time.Minute
	// maxSteps is how many jobs stand one after the other, and maxParallelJobs how many side
	// by side.
	maxSteps, maxParallelJobs = 4, 4
	// cancelFraction of the pipelines have a job cancelled, and invalidFraction an impossible one.
	cancelFraction, invalidFraction = 0.5, 0.2
	// concurrentWindow is in how long several controllers are asked for one cancellation,
	// or one for that and another for what needs the job.
	concurrentWindow = 20 * time.Millisecond
)

// milestone is something that happens once to a job.
type milestone string

const (
	// milestoneAccepted is when its user was told so, milestoneTasksDone when the last of its tasks was
	// done, and milestoneFinal when its user was told how it ended.
	milestoneAccepted  milestone = "accepted"
	milestoneTasksDone milestone = "ended"
	milestoneFinal     milestone = "over"
)

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

// onMilestone calls fn at a moment, or now when it is past.
func (j *userJob) onMilestone(m milestone, fn func()) {
	if j.hasReached(m) {
		fn()
		return
	}
	j.hooks[m] = append(j.hooks[m], fn)
}

// runHooks calls what waits for moments that are there now.
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

// onAllReached calls fn when a moment has come for all of them.
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

// linkDependencies links a job with those that it needs, as far as anybody submitted them.
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

// submitAfter submits a job as soon as all that it needs, and others, came to a moment.
func (w *World) submitAfter(j *userJob, m milestone, others ...*userJob) {
	onAllReached(others, m, func() { w.submitJob(j) })
}

// CancelAt cancels a job at several controllers within a moment, from the first on, and
// goes on until one confirms it.
func (w *World) CancelAt(id string, first, count int) {
	j := w.jobs[id]
	j.cancelRequested = true
	for i := range min(count, len(w.controllers)) {
		to := (first + i) % len(w.controllers)
		w.schedule(time.Duration(w.rng.Int64N(int64(concurrentWindow))), func() {
			asked := w.now
			w.userRequestTo(to, func(r uint64) message.Command { return message.CancelJob{Reply: r, ID: id} }, 5*time.Second, func(r *message.UserReply) {
				if r != nil && r.Status == 200 {
					w.checkAnswer(j, asked, r)
				} else if !isFinal(j.lastState) {
					w.schedule(w.jitter(time.Second), func() { w.Cancel(id) })
				}
			})
		})
	}
}

// resubmit submits an accepted job once more: whatever became of those that it needs, it is
// known.
func (w *World) resubmit(j *userJob) {
	node := w.rng.IntN(len(w.controllers))
	w.checkedRequest(node, j, func(r uint64) message.Command { return message.SubmitJob{Reply: r, Spec: j.spec} })
}

// generatePipeline draws one: steps one after the other, of one job or several side by side, each
// needing all of the step before, and a last job with the due time and a high urgency.
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

// submitPipelines has them come, and their users cancel.
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
			// So that much of it is under way when troubles meet.
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

// cancelPipelineJob has one job of a pipeline cancelled: at any time, at once, just as its last task
// is done, or just as what needs it is submitted to another controller; at one controller
// or several. Some submit one more job that names it later.
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
		// What needs it is submitted when all of its step are accepted.
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

// submitInvalidDependencies has a job submitted that can't be: it names one that was never accepted,
// itself, or one twice.
func (d *Day) submitInvalidDependencies(w *World, rng *rand.Rand, steps [][]*userJob) {
	first := steps[0][0]
	spec := first.spec
	spec.ID = w.nextJobID()
	spec.Dependencies = [][]string{{fmt.Sprintf("job-8%05d", rng.IntN(100000))}, {spec.ID}, {first.spec.ID, first.spec.ID}}[rng.IntN(3)]
	odd := newUserJob(spec, stepRunTime)
	odd.invalid = true
	first.onMilestone(milestoneAccepted, func() { w.submitJob(odd) })
}

package standin

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/micahill/micahill/internal/core"
)

// pipelines.go has users who submit jobs that need others: chains, joins and fans, one job
// after another, each as soon as those that it needs are accepted, and who cancel in the
// middle of them.

const (
	// pipelineLeast and pipelineMost bound how many pipelines come in a day, and
	// pipelinePart is how many other jobs there are for each.
	pipelineLeast, pipelineMost, pipelinePart = 10, 60, 3
	// pipelineRun is how long the tasks of a step take, and pipelineMore how much later
	// than on other days is counted what was served: the last steps come last.
	pipelineRun  = 20 * time.Second
	pipelineMore = 3 * time.Minute
	// stepsMost is how many jobs stand one after the other, and sideMost how many side
	// by side.
	stepsMost, sideMost = 4, 4
	// cancelPart of the pipelines have a job cancelled, and oddPart an impossible one.
	cancelPart, oddPart = 0.5, 0.2
	// togetherWithin is in how long several controllers are asked for one cancellation,
	// or one for that and another for what needs the job.
	togetherWithin = 20 * time.Millisecond
)

// moment is something that happens once to a job.
type moment string

const (
	// whenAccepted is when its user was told so, whenEnded when the last of its tasks was
	// done, and whenOver when its user was told how it ended.
	whenAccepted moment = "accepted"
	whenEnded    moment = "ended"
	whenOver     moment = "over"
)

func (j *userJob) happened(m moment) bool {
	switch m {
	case whenAccepted:
		return j.accepted
	case whenEnded:
		return !j.endedAt.IsZero()
	default:
		return over(j.told)
	}
}

// once calls fn at a moment, or now when it is past.
func (j *userJob) once(m moment, fn func()) {
	if j.happened(m) {
		fn()
		return
	}
	j.moments[m] = append(j.moments[m], fn)
}

// happens calls what waits for moments that are there now.
func (j *userJob) happens() {
	for _, m := range []moment{whenAccepted, whenEnded, whenOver} {
		if fns := j.moments[m]; len(fns) > 0 && j.happened(m) {
			delete(j.moments, m)
			for _, fn := range fns {
				fn()
			}
		}
	}
}

// onceAll calls fn when a moment has come for all of them.
func onceAll(jobs []*userJob, m moment, fn func()) {
	left := len(jobs)
	if left == 0 {
		fn()
	}
	for _, j := range jobs {
		j.once(m, func() {
			if left--; left == 0 {
				fn()
			}
		})
	}
}

// bindNeeds links a job with those that it needs, as far as anybody submitted them.
func (w *World) bindNeeds(j *userJob) {
	j.needsAccepted = len(j.spec.Dependencies) > 0
	for _, id := range j.spec.Dependencies {
		n := w.jobs[id]
		j.needsAccepted = j.needsAccepted && n != nil && n.accepted
		if n != nil && n != j {
			j.needs = append(j.needs, n)
			n.followers = append(n.followers, j)
		}
	}
}

// submitAfter submits a job as soon as all that it needs, and others, came to a moment.
func (w *World) submitAfter(j *userJob, m moment, others ...*userJob) {
	onceAll(others, m, func() { w.submitJob(j) })
}

// AbortAt cancels a job at several controllers within a moment, from the first on, and
// goes on until one confirms it.
func (w *World) AbortAt(id string, first, many int) {
	j := w.jobs[id]
	j.aborting = true
	for i := range min(many, len(w.nodes)) {
		to := (first + i) % len(w.nodes)
		w.after(time.Duration(w.rng.Int64N(int64(togetherWithin))), func() {
			asked := w.now
			w.userCallTo(to, func(r uint64) core.Command { return core.CancelJob{Reply: r, ID: id} }, 5*time.Second, func(r *core.UserReply) {
				if r != nil && r.Status == 200 {
					w.hear(j, asked, r)
				} else if !over(j.told) {
					w.after(w.jitter(time.Second), func() { w.Abort(id) })
				}
			})
		})
	}
}

// repeat submits an accepted job once more: whatever became of those that it needs, it is
// known.
func (w *World) repeat(j *userJob) {
	node := w.rng.IntN(len(w.nodes))
	w.closeLook(node, j, func(r uint64) core.Command { return core.SubmitJob{Reply: r, Spec: j.spec} })
}

// pipeline draws one: steps one after the other, of one job or several side by side, each
// needing all of the step before, and a last job with the due time and a high urgency.
func (d *Day) pipeline(w *World, rng *rand.Rand) (steps [][]*userJob) {
	team := d.Settings.Teams[rng.IntN(d.Teams)].Name
	var before []string
	last := 1 + rng.IntN(stepsMost-1)
	for k := range last + 1 {
		side := 1
		if k < last && rng.IntN(3) == 0 {
			side = 1 + rng.IntN(sideMost)
		}
		var step []*userJob
		var names []string
		for range side {
			w.names++
			run := time.Duration(float64(pipelineRun) * (0.3 + rng.Float64()))
			spec := core.JobSpec{
				ID: fmt.Sprintf("job-%06d", w.names), Workload: fmt.Sprintf("step-%d", k), Team: team, Urgency: core.BestEffort,
				Tasks: 1 + rng.IntN(5), Need: core.Resources{CPU: 1, Memory: 3}, Image: fmt.Sprintf("step-%d", k), ImageGB: 0.5, AllowSpot: rng.IntN(4) > 0,
				ExpectedRunTime: run, Dependencies: before,
			}
			if k == last {
				spec.Workload, spec.Urgency, spec.Deadline = "last", core.Urgent, time.Duration(last+1)*3*pipelineRun
			}
			names = append(names, spec.ID)
			step = append(step, newUserJob(spec, run))
		}
		before = names
		steps = append(steps, step)
	}
	return steps
}

// pipelines has them come, and their users cancel.
func (d *Day) pipelines(w *World) {
	if !d.Pipelines {
		return
	}
	rng := rand.New(rand.NewPCG(d.Seed, 819))
	span := time.Duration(d.Minutes) * time.Minute
	for range min(max(pipelineLeast, d.Jobs/pipelinePart), pipelineMost) {
		steps := d.pipeline(w, rng)
		at := time.Duration(rng.Float64() * float64(span))
		if d.Cancels != nil && rng.IntN(3) > 0 {
			// So that much of it is under way when troubles meet.
			at = max(0, d.Cancels.At-time.Duration(rng.Float64()*float64(time.Minute)))
		}
		late := rng.IntN(4) == 0
		w.after(at, func() {
			for k, step := range steps {
				for _, j := range step {
					switch {
					case k == 0:
						w.submitJob(j)
					case late && k == len(steps)-1:
						w.submitAfter(j, whenOver, steps[k-1]...)
					default:
						w.submitAfter(j, whenAccepted, steps[k-1]...)
					}
				}
			}
		})
		if rng.Float64() < cancelPart {
			d.cancelIn(w, rng, steps, at)
		}
		if rng.Float64() < oddPart {
			d.oddPrereqs(w, rng, steps)
		}
		last := steps[len(steps)-1][0]
		for _, j := range slices.Concat(steps...) {
			wait := time.Duration(rng.Int64N(int64(time.Minute)))
			last.once(whenOver, func() { w.after(wait, func() { w.repeat(j) }) })
		}
	}
}

// cancelIn has one job of a pipeline cancelled: at any time, at once, just as its last task
// is done, or just as what needs it is submitted to another controller; at one controller
// or several. Some submit one more job that names it later.
func (d *Day) cancelIn(w *World, rng *rand.Rand, steps [][]*userJob, at time.Duration) {
	k := rng.IntN(len(steps))
	j := steps[k][rng.IntN(len(steps[k]))]
	first, many := rng.IntN(d.Controllers), []int{1, 1, 2, d.Controllers}[rng.IntN(4)]
	soon := time.Duration(rng.Int64N(int64(3 * togetherWithin)))
	abort := func() {
		if w.jobs[j.spec.ID] != nil {
			w.AbortAt(j.spec.ID, first, many)
		}
	}
	switch rng.IntN(4) {
	case 0:
		moment := at + time.Duration(rng.Float64()*float64(2*pipelineRun*time.Duration(k+1)))
		if c := d.Cancels; c != nil && c.At+c.For > at {
			moment = max(at, c.At) + time.Duration(rng.Float64()*float64(c.For))
		}
		w.after(moment, func() { j.once(whenAccepted, abort) })
	case 1:
		j.once(whenAccepted, func() { w.after(soon, abort) })
	case 2:
		j.once(whenEnded, func() { w.after(soon/2, abort) })
	case 3:
		// What needs it is submitted when all of its step are accepted.
		onceAll(steps[k], whenAccepted, abort)
	}
	if rng.IntN(2) == 0 {
		w.names++
		spec := steps[len(steps)-1][0].spec
		spec.ID, spec.Dependencies = fmt.Sprintf("job-%06d", w.names), []string{j.spec.ID}
		more := newUserJob(spec, pipelineRun)
		wait := time.Duration(rng.Float64() * float64(2*d.cancelWithin()))
		j.once(whenOver, func() { w.after(wait, func() { w.submitJob(more) }) })
	}
}

// oddPrereqs has a job submitted that can't be: it names one that was never accepted,
// itself, or one twice.
func (d *Day) oddPrereqs(w *World, rng *rand.Rand, steps [][]*userJob) {
	first := steps[0][0]
	w.names++
	spec := first.spec
	spec.ID = fmt.Sprintf("job-%06d", w.names)
	spec.Dependencies = [][]string{{fmt.Sprintf("job-8%05d", rng.IntN(100000))}, {spec.ID}, {first.spec.ID, first.spec.ID}}[rng.IntN(3)]
	odd := newUserJob(spec, pipelineRun)
	odd.impossible = true
	first.once(whenAccepted, func() { w.submitJob(odd) })
}

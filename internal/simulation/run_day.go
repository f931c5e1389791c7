package simulation

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/micahill/micahill/internal/message"
	"github.com/micahill/micahill/internal/model"
	"github.com/micahill/micahill/internal/record"
)

// RunDay runs a day to its end. Jobs are submitted during the day's minutes, and served jobs are
// counted three minutes later or after the last fault. The day ends when every job has had the time
// in which it must start and its queries must be answered. Debug lines of the controllers are kept
// if they contain one of the words of trace, a list separated by "|".
func RunDay(d Day, trace string) DayResult { return d.run(trace, nil) }

// run is RunDay with controllers that break rules on purpose if corrupt is not nil. corrupt
// replaces each effect of a controller, or drops it by returning nil.
func (d Day) run(trace string, corrupt func(*World, message.Effect) message.Effect) DayResult {
	w := d.newWorld(trace, corrupt)
	rng := rand.New(rand.NewPCG(d.Seed, 815))
	mix := newJobMix(&d)
	mix.skewClocks(w)
	duration := time.Duration(d.Minutes) * time.Minute
	d.submitJobs(w, rng, mix, duration)
	d.submitGuestJobs(w, rng, duration)
	d.submitLongJobs(w)
	d.submitPipelines(w)
	d.submitModels(w)
	for _, f := range d.Faults {
		w.schedule(f.At, func() { w.startFault(f, rng) })
	}

	faultsEnd := d.lastFaultEnd()
	countAt := max(d.extendedDeadline(0, duration+countServedAfter+d.extraCountTime()), faultsEnd+servedAfterFaults)
	w.Run(countAt)
	r := d.summarize(w)
	w.Run(max(0, faultsEnd+MaxUnanswered+endedPollInterval-countAt))
	for end := w.startedAt.Add(max(d.extendedDeadline(duration, maxStartWait), faultsEnd+maxStartWait+MaxUnanswered)); w.now.Before(end) && w.hasUnfinishedJobs(); {
		w.Run(endedPollInterval)
	}
	d.checkAtEnd(w, &r)
	if d.Models > 0 {
		r.ModelStats = w.modelSummary()
	}
	return r
}

// newWorld returns the world of a day, without jobs and faults.
func (d *Day) newWorld(trace string, corrupt func(*World, message.Effect) message.Effect) *World {
	types, capacity := d.cloudInventory()
	w := NewWorld(d.Seed, d.Controllers, d.Settings, d.cancelWithin(), types, capacity)
	w.trace = trace
	if corrupt != nil {
		w.corruptEffect = func(e message.Effect) message.Effect { return corrupt(w, e) }
	}
	w.faultsEndAt = w.startedAt.Add(d.lastFaultEnd())
	w.stickyUsers = d.OverlappingFaults
	if d.UnlistedFaults || d.OverlappingFaults {
		w.disturbances = &disturbances{}
	}
	return w
}

// submitJobs schedules the submissions of the day's ordinary jobs and the cancellations of some of
// them. Jobs are submitted within duration.
func (d *Day) submitJobs(w *World, rng *rand.Rand, mix *jobMix, duration time.Duration) {
	failureRNG := rand.New(rand.NewPCG(d.Seed, 816))
	cancelRNG := rand.New(rand.NewPCG(d.Seed, 817))
	weights := 0.0
	for i := range d.Settings.Teams {
		weights += d.teamWeight(i)
	}
	for range d.Jobs {
		spec, run := d.drawJob(w, rng, weights)
		mix.varyJob(&spec)
		alwaysFails := d.failingFraction > 0 && failureRNG.Float64() < d.failingFraction
		at := time.Duration(rng.Float64() * float64(duration))
		w.schedule(at, func() { w.Submit(spec, run, alwaysFails) })
		if alwaysFails {
			w.schedule(at+30*time.Second+time.Duration(failureRNG.IntN(120))*time.Second, func() { w.Cancel(spec.ID) })
		}
		if t, ok := d.Cancels.cancelTime(spec.Workload, at, cancelRNG); ok {
			w.schedule(t, func() { w.Cancel(spec.ID) })
		}
		if spec.LongRunning {
			w.schedule(at+mix.serviceTime(), func() { w.Cancel(spec.ID) })
		}
		if rng.IntN(25) == 0 {
			w.schedule(duration/2, func() {
				if w.jobs[spec.ID] != nil {
					w.Cancel(spec.ID)
				}
			})
		}
	}
}

// drawJob draws a job of one of the day's workloads and teams, and the run time of its tasks.
// weights is the sum of the teams' weights.
func (d *Day) drawJob(w *World, rng *rand.Rand, weights float64) (model.JobSpec, time.Duration) {
	class := d.workloads[0]
	for x, k := rng.Float64(), 0; k < len(d.workloads); k++ {
		if class = d.workloads[k]; x < class.jobFraction {
			break
		}
		x -= class.jobFraction
	}
	team, x := 0, rng.Float64()*weights
	for ; team < d.Teams-1 && x > d.teamWeight(team); team++ {
		x -= d.teamWeight(team)
	}
	id := w.nextJobID()
	run := time.Duration(float64(class.run) * (0.5 + rng.Float64()))
	return model.JobSpec{
		ID: id, Workload: class.name, Team: d.Settings.Teams[team].Name, Urgency: class.urgency,
		Tasks: max(1, int(class.tasks*(0.2+1.6*rng.Float64()))), Need: model.Resources{CPU: class.cpu, Memory: 3 * class.cpu},
		Image: fmt.Sprintf("%s-%d", class.name, min(rng.IntN(12), rng.IntN(12))), ImageGB: class.imageGB, AllowSpot: rng.IntN(5) > 0, ExpectedRunTime: class.run,
		Deadline: time.Duration(class.dueFactor*float64(run)) + record.DurationOfSeconds(15*min(1, class.dueFactor)),
	}, run
}

// nextJobID returns the id for a new job.
func (w *World) nextJobID() string {
	w.lastID++
	return fmt.Sprintf("job-%06d", w.lastID)
}

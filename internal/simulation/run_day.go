package simulation

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/micahill/micahill/internal/message"
	"github.com/micahill/micahill/internal/model"
	"github.com/micahill/micahill/internal/record"
)

// RunDay runs a day to its end. Jobs are submitted during the day's minutes. Served jobs are counted
// three minutes later (see countServedAfter and extraCountTime), or a minute after the last fault if
// that is later. After the time in which queries must be answered, the day ends when no job's outcome
// can change, at the latest when every job has had the time in which it must start. Debug lines of
// the controllers are kept if they contain one of the words of trace, a list separated by "|".
func RunDay(day Day, trace string) DayResult { return day.run(trace, nil) }

// run is RunDay with controllers that break rules on purpose if corrupt is not nil. corrupt
// replaces each effect of a controller, or drops it by returning nil.
func (day Day) run(trace string, corrupt func(*World, message.Effect) message.Effect) DayResult {
	world := day.newWorld(trace, corrupt)
	rng := rand.New(rand.NewPCG(day.Seed, 815))
	mix := newJobMix(&day)
	mix.skewClocks(world)
	duration := time.Duration(day.Minutes) * time.Minute
	day.submitJobs(world, rng, mix, duration)
	day.submitGuestJobs(world, rng, duration)
	day.submitLongJobs(world)
	day.submitPipelines(world)
	day.submitModels(world)
	for _, fault := range day.Faults {
		world.schedule(fault.At, func() { world.startFault(fault, rng) })
	}

	faultsEnd := day.lastFaultEnd()
	countAt := max(day.extendedDeadline(0, duration+countServedAfter+day.extraCountTime()), faultsEnd+servedAfterFaults)
	world.Run(countAt)
	result := day.summarize(world)
	world.Run(max(0, faultsEnd+MaxUnanswered+endedPollInterval-countAt))
	for end := world.startedAt.Add(max(day.extendedDeadline(duration, maxStartWait), faultsEnd+maxStartWait+MaxUnanswered)); world.now.Before(end) && world.hasUnfinishedJobs(); {
		world.Run(endedPollInterval)
	}
	day.checkAtEnd(world, &result)
	if day.Models > 0 {
		result.ModelStats = world.modelSummary()
	}
	return result
}

// newWorld returns the world of a day, without jobs and faults.
func (day *Day) newWorld(trace string, corrupt func(*World, message.Effect) message.Effect) *World {
	types, capacity := day.cloudInventory()
	world := NewWorld(day.Seed, day.Controllers, day.Settings, day.cancelWithin(), types, capacity)
	world.trace = trace
	if corrupt != nil {
		world.corruptEffect = func(effect message.Effect) message.Effect { return corrupt(world, effect) }
	}
	world.faultsEndAt = world.startedAt.Add(day.lastFaultEnd())
	world.stickyUsers = day.OverlappingFaults
	if slices.ContainsFunc(day.Faults, func(fault Fault) bool { return fault.Kind == restartCopiesKind }) {
		world.KeepRequests()
	}
	if day.UnlistedFaults || day.OverlappingFaults {
		world.disturbances = &disturbances{}
	}
	return world
}

// submitJobs schedules the submissions of the day's ordinary jobs and the cancellations of some of
// them. Jobs are submitted within duration.
func (day *Day) submitJobs(world *World, rng *rand.Rand, mix *jobMix, duration time.Duration) {
	failureRNG := rand.New(rand.NewPCG(day.Seed, 816))
	cancelRNG := rand.New(rand.NewPCG(day.Seed, 817))
	weights := 0.0
	for i := range day.Settings.Teams {
		weights += day.teamWeight(i)
	}
	for range day.Jobs {
		spec, run := day.drawJob(world, rng, weights)
		mix.varyJob(&spec)
		alwaysFails := day.failingFraction > 0 && failureRNG.Float64() < day.failingFraction
		at := time.Duration(rng.Float64() * float64(duration))
		world.schedule(at, func() { world.Submit(spec, run, alwaysFails) })
		if alwaysFails {
			world.schedule(at+30*time.Second+time.Duration(failureRNG.IntN(120))*time.Second, func() { world.Cancel(spec.ID) })
		}
		if t, ok := day.Cancels.cancelTime(spec.Workload, at, cancelRNG); ok {
			world.schedule(t, func() { world.Cancel(spec.ID) })
		}
		if spec.LongRunning {
			world.schedule(at+mix.serviceTime(), func() { world.Cancel(spec.ID) })
		}
		if rng.IntN(25) == 0 {
			world.schedule(duration/2, func() {
				if world.jobs[spec.ID] != nil {
					world.Cancel(spec.ID)
				}
			})
		}
	}
}

// drawJob draws a job of one of the day's workloads and teams, and the run time of its tasks.
// weights is the sum of the teams' weights.
func (day *Day) drawJob(world *World, rng *rand.Rand, weights float64) (model.JobSpec, time.Duration) {
	class := day.workloads[0]
	for x, k := rng.Float64(), 0; k < len(day.workloads); k++ {
		if class = day.workloads[k]; x < class.jobFraction {
			break
		}
		x -= class.jobFraction
	}
	team, x := 0, rng.Float64()*weights
	for ; team < day.Teams-1 && x > day.teamWeight(team); team++ {
		x -= day.teamWeight(team)
	}
	id := world.nextJobID()
	run := time.Duration(float64(class.run) * (0.5 + rng.Float64()))
	return model.JobSpec{
		ID: id, Workload: class.name, Team: day.Settings.Teams[team].Name, Urgency: class.urgency,
		Tasks: max(1, int(class.tasks*(0.2+1.6*rng.Float64()))), Need: model.Resources{CPU: class.cpu, Memory: 3 * class.cpu},
		Image: fmt.Sprintf("%s-%d", class.name, min(rng.IntN(12), rng.IntN(12))), ImageGB: class.imageGB, AllowSpot: rng.IntN(5) > 0, ExpectedRunTime: class.run,
		Deadline: time.Duration(class.dueFactor*float64(run)) + record.DurationOfSeconds(15*min(1, class.dueFactor)),
	}, run
}

// nextJobID returns the id for a new job.
func (world *World) nextJobID() string {
	world.lastID++
	return fmt.Sprintf("job-%06d", world.lastID)
}

package simulation

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"github.com/micahill/micahill/internal/message"
	"github.com/micahill/micahill/internal/model"
)

// This file generates days on which two or three faults overlap while users cancel most jobs of a
// class. It also has the faults that occur only on such days: transactions that are executed late,
// a state service that refuses one controller and is then unavailable to all, and messages that are
// lost, delayed or executed twice.

// overlapFaultKinds are the kinds of faults that may overlap. Faults are drawn uniformly from the
// list. Kinds that are known to cause failures in combination occur twice, so that they are drawn
// more often.
var overlapFaultKinds = []string{
	"crash", "crash", "crash_all", "crash_all", "roll", "cut", "cut", "refused", "outage", "cloud", "still", "still", "die", "hang", "hang",
	"machine_cut", "machine_cut", "taken", "slow_state", "slow_state",
	"boots", "polls", "again", "again_all", "one_way", "one_way", "slow_answers", "lazy", "capacity", "price", "faulty",
	"deaf_machine", "deaf_machine", "copies", "copies", "cut_alone", "cut_alone", "election", "election", "back_machine",
	"late_writes", "late_writes", "refused_outage", "refused_outage", "loss", "loss", "twice",
}

const (
	// minWriteDelay and maxWriteDelay bound the delay of a transaction that gets no answer.
	minWriteDelay = 2 * time.Second
	maxWriteDelay = 12 * time.Second
	// refusedAfterOutage is how long the state service continues to refuse one controller after it
	// became unavailable to all. A real state service was seen to do so for about this long.
	refusedAfterOutage = 14 * time.Second
	// maxFaultSpacing is the longest time from the begin of the first of the overlapping faults to
	// the begin of another one.
	maxFaultSpacing = 20 * time.Second
	// crashAfterOverlap is the time from the end of the overlapping faults to the crash of all
	// controllers that some days have.
	crashAfterOverlap = 10 * time.Second
	// maxOverlapFaults is the largest number of faults of a day with overlapping faults.
	maxOverlapFaults = 5
	// stickyUserOneIn makes one in this many users send all queries to the same controller once all
	// faults are over.
	stickyUserOneIn = 3
)

// MassCancel describes that users cancel a fraction of the jobs of a workload from At on, within
// Duration.
type MassCancel struct {
	Workload string        `json:"class"`
	Fraction float64       `json:"share"`
	At       time.Duration `json:"at_ns"`
	Duration time.Duration `json:"for_ns"`
}

// String describes the mass cancellation for reports of days.
func (cancels *MassCancel) String() string {
	return fmt.Sprintf("%.0fs %.0f%% of %s are cancelled within %.0fs", cancels.At.Seconds(), 100*cancels.Fraction, cancels.Workload, cancels.Duration.Seconds())
}

// cancelTime draws the time at which a job is cancelled, and whether it is cancelled. at is the
// time of the job's submission.
func (cancels *MassCancel) cancelTime(class string, at time.Duration, rng *rand.Rand) (time.Duration, bool) {
	if cancels == nil || class != cancels.Workload || rng.Float64() >= cancels.Fraction {
		return 0, false
	}
	t := cancels.At + time.Duration(rng.Float64()*float64(cancels.Duration))
	return t, t > at
}

// longTaskRunTime is the mean run time of the tasks of the class that withLongTasks adds. It
// exceeds cancel_s.
const longTaskRunTime = 110 * time.Second

// extraCountTime returns the time by which served jobs are counted later than on other days, so
// that long tasks and pipelines that were submitted last can complete.
func (day *Day) extraCountTime() time.Duration {
	long := time.Duration(0)
	if day.OverlappingFaults {
		long = longTaskRunTime
	}
	if day.Pipelines {
		long = max(long, pipelineExtraTime)
	}
	return long
}

// withLongTasks returns the classes and one more, whose tasks run for longer than cancel_s.
func withLongTasks(classes []workloadClass) []workloadClass {
	out := slices.Clone(classes)
	const part = 0.2
	for i := range out {
		out[i].jobFraction *= 1 - part
	}
	return append(out, workloadClass{"import", 2, 4, longTaskRunTime, 1, model.Normal, 0, part})
}

// submitLongJobs schedules small jobs of long tasks, one for every two machines, in the minute
// before the mass cancellation. They make sure that many tasks have to be stopped while the faults
// overlap.
func (day *Day) submitLongJobs(world *World) {
	if day.Cancels == nil {
		return
	}
	rng := rand.New(rand.NewPCG(day.Seed, 818))
	const before = time.Minute
	for range day.Machines / 2 {
		id := world.nextJobID()
		at := max(0, day.Cancels.At-time.Duration(rng.Float64()*float64(before)))
		run := time.Duration(float64(longTaskRunTime) * (0.75 + rng.Float64()/2))
		spec := model.JobSpec{
			ID: id, Workload: "import", Team: day.Settings.Teams[rng.IntN(day.Teams)].Name, Urgency: model.Normal,
			Tasks: 1 + rng.IntN(3), Need: model.Resources{CPU: 1, Memory: 2}, Image: "import", ImageGB: 0.5, AllowSpot: true, ExpectedRunTime: longTaskRunTime,
		}
		world.schedule(at, func() { world.Submit(spec, run, false) })
		if t, ok := day.Cancels.cancelTime(spec.Workload, at, rng); ok {
			world.schedule(t, func() { world.Cancel(spec.ID) })
		}
	}
}

// generateOverlap draws two or three faults that overlap and the mass cancellation around them. It
// has its own random stream, so that the rest of the day stays the same.
func generateOverlap(day *Day) {
	rng := rand.New(rand.NewPCG(day.Seed, 3141))
	day.workloads = withLongTasks(day.workloads)
	at := time.Duration(45+rng.IntN(max(1, day.Minutes*60/2))) * time.Second
	cancels := MassCancel{
		Workload: []string{"import", "import", "import", "batch", "rush", "wide"}[rng.IntN(6)], Fraction: []float64{0.8, 0.8, 1}[rng.IntN(3)],
		At: at - 5*time.Second + time.Duration(rng.IntN(10))*time.Second, Duration: time.Duration(5+rng.IntN(30)) * time.Second,
	}
	var overlapping []Fault
	longest := time.Duration(0)
	for range 2 + rng.IntN(2) {
		fault := day.generateFault(rng)
		fault.At = at
		if len(overlapping) > 0 {
			fault.At += time.Duration(rng.Float64() * float64(min(maxFaultSpacing, longest)))
		}
		longest = max(longest, fault.endsAt(day.Controllers)-fault.At)
		if fault.Kind == "refused_outage" {
			// Most of the jobs are cancelled while another controller can still confirm the
			// cancellation.
			cancels.At, cancels.Duration = fault.At, fault.Delay+2*time.Second
		}
		overlapping = append(overlapping, fault)
	}
	day.Cancels = &cancels
	day.Faults = append(day.Faults, overlapping...)
	if rng.IntN(3) == 0 {
		day.Faults = append(day.Faults, Fault{Kind: "crash_all", At: day.lastFaultEnd() + crashAfterOverlap, Duration: 5 * time.Second})
	}
	day.addExtraFault(overlapping)
	generateRepeats(day, overlapping)
	generateRestartCopies(day, overlapping)
	day.sortFaults()
}

// addExtraFault adds a fault of extra_faults.go to one day in three. It has its own random stream,
// so that the rest of the day stays the same.
func (day *Day) addExtraFault(overlapping []Fault) {
	rng := rand.New(rand.NewPCG(day.Seed, 5772))
	if rng.IntN(3) > 0 {
		return
	}
	fault := day.generateExtraFault(rng)
	fault.At = overlapping[0].At + time.Duration(rng.Float64()*float64(maxFaultSpacing))
	day.Faults = append(day.Faults, fault)
}

// generateFault draws a fault of overlapFaultKinds. The caller sets At.
func (day *Day) generateFault(rng *rand.Rand) Fault {
	oneOf := func(values ...float64) float64 { return values[rng.IntN(len(values))] }
	cancel := day.cancelWithin()
	fault := Fault{
		Kind: overlapFaultKinds[rng.IntN(len(overlapFaultKinds))], Duration: logUniform(rng, 8*time.Second, 90*time.Second),
		Controller: rng.IntN(day.Controllers), Busiest: rng.IntN(3) > 0, HoldMessages: rng.IntN(2) == 0,
	}
	restartAfter := []time.Duration{50, 200, 500, 1000}[rng.IntN(4)] * time.Millisecond
	switch fault.Kind {
	case "crash", "crash_all", "roll":
		fault.Duration = 5 * time.Second
	case "cut":
		fault.Link = []string{"state", "workers", "*", "peers", "cloud"}[rng.IntN(5)]
	case "one_way":
		fault.Link = []string{"state", "workers", "*", "user"}[rng.IntN(4)]
	case "die", "hang", "machine_cut", "taken", "lazy", "capacity", "faulty":
		fault.Fraction = oneOf(0.02, 0.1, 0.3)
	case "slow_state":
		fault.SlowFactor = 15 + 10*rng.Float64()
	case "boots":
		fault.Fraction = oneOf(0.05, 1, 4, 8)
	case "polls":
		fault.Fraction = oneOf(4, 8, 30)
	case "again", "again_all":
		fault.RestartAfter = restartAfter
	case "deaf_machine":
		// One machine, a tenth of them, or a whole zone.
		fault.Duration, fault.Fraction = logUniform(rng, 8*time.Second, 5*time.Minute), oneOf(1e-9, 0.1, 1)
		if fault.Fraction == 1 {
			fault.Zone = day.Settings.Zones[len(day.Settings.Zones)-1]
		}
	case "copies":
		fault.Delay, fault.Fraction = logUniform(rng, 2*time.Second, 5*day.Settings.WorkerLease), oneOf(0.05, 0.3, 1)
	case "cut_alone":
		fault.Link = []string{"", "", "refused"}[rng.IntN(3)]
	case "election":
		fault.Delay, fault.RestartAfter = logUniform(rng, 5*time.Millisecond, 5*time.Second), restartAfter
	case "back_machine":
		fault.Fraction, fault.RestartAfter = oneOf(1e-9, 0.1, 0.3), restartAfter
	case "loss", "twice":
		fault.Fraction = oneOf(0.01, 0.05, 0.2)
	case "late_writes":
		fault.Fraction = oneOf(0.05, 0.2, 0.5)
	case "refused_outage":
		fault.Delay, fault.Duration = logUniform(rng, time.Second, 12*time.Second), logUniform(rng, cancel, 3*cancel)
	}
	return fault
}

// cancelWithin returns cancel_s, the time within which the tasks of a cancelled job must have
// ended.
func (day *Day) cancelWithin() time.Duration {
	return day.Settings.WorkerLease + time.Duration(cmp.Or(day.CancelMarginS, defaultCancelMarginS))*time.Second
}

// defaultCancelMarginS is the number of seconds by which cancel_s exceeds the worker lease. All
// known sites use this value.
const defaultCancelMarginS = 30

// startOverlapFault begins a fault if its kind belongs to this file, and reports whether it does.
func (world *World) startOverlapFault(fault Fault) bool {
	switch fault.Kind {
	case "late_writes":
		world.DelayWrites(fault.Fraction, fault.Duration)
		world.loseWriteResponses = fault.Immediate
	case "refused_outage":
		world.refuseController(world.controllers[fault.Controller%len(world.controllers)], fault.Delay+min(refusedAfterOutage, fault.Duration))
		world.schedule(fault.Delay, func() { world.Outage(fault.Duration) })
	case "loss":
		world.lossRate = fault.Fraction
		world.schedule(fault.Duration, func() { world.lossRate = 0 })
	case "twice":
		world.duplicateRate = fault.Fraction
		world.schedule(fault.Duration, func() { world.duplicateRate = 0 })
	default:
		return false
	}
	return true
}

// DelayWrites makes a fraction of the transactions that are sent during the given duration get no
// answer. The state service executes them some seconds later, possibly after newer ones, or at once
// with loseWriteResponses.
func (world *World) DelayWrites(fraction float64, duration time.Duration) {
	world.lateWriteRate, world.lateWritesUntil = fraction, world.now.Add(duration)
}

// delayWrite decides whether a transaction gets no answer, and returns the delay of its execution
// and the decision.
func (world *World) delayWrite(request message.StoreRequest) (time.Duration, bool) {
	if request.Kind != message.OpTxn || !world.now.Before(world.lateWritesUntil) || world.rng.Float64() >= world.lateWriteRate {
		return 0, false
	}
	if world.loseWriteResponses {
		return 0, true
	}
	return minWriteDelay + time.Duration(world.rng.Int64N(int64(maxWriteDelay-minWriteDelay))), true
}

// refuseController makes the state service refuse the requests of one controller for the given
// duration. Refusals may overlap.
func (world *World) refuseController(process *controllerProcess, duration time.Duration) {
	process.stateRefused = true
	if until := world.now.Add(duration); until.After(process.refusedUntil) {
		process.refusedUntil = until
	}
	world.schedule(duration, func() { process.stateRefused = world.now.Before(process.refusedUntil) })
}

// busiestController returns the index of the controller that most machines send heartbeats to.
func (world *World) busiestController() int {
	reporting := make([]int, len(world.controllers))
	for _, machine := range world.fleet {
		if machine.up(world.now) {
			reporting[machine.controller]++
		}
	}
	best := 0
	for i, k := range reporting {
		if k > reporting[best] {
			best = i
		}
	}
	return best
}

// stickyController returns the index of the controller to which a job's user sends all queries once
// all faults are over, on days with overlapping faults. It returns -1 if the user queries random
// controllers, or if that controller is not healthy.
func (world *World) stickyController(job *userJob) int {
	if !world.stickyUsers || world.now.Before(world.faultsEndAt) {
		return -1
	}
	var n int
	if _, err := fmt.Sscan(strings.TrimLeft(strings.TrimPrefix(job.spec.ID, "job-"), "0"), &n); err != nil || n%stickyUserOneIn != 0 {
		return -1
	}
	i := n / stickyUserOneIn % len(world.controllers)
	if process := world.controllers[i]; !process.alive || !process.controller.Healthy(world.now) {
		return -1
	}
	return i
}

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
func (c *MassCancel) String() string {
	return fmt.Sprintf("%.0fs %.0f%% of %s are cancelled within %.0fs", c.At.Seconds(), 100*c.Fraction, c.Workload, c.Duration.Seconds())
}

// cancelTime draws the time at which a job is cancelled, and whether it is cancelled. at is the
// time of the job's submission.
func (c *MassCancel) cancelTime(class string, at time.Duration, rng *rand.Rand) (time.Duration, bool) {
	if c == nil || class != c.Workload || rng.Float64() >= c.Fraction {
		return 0, false
	}
	t := c.At + time.Duration(rng.Float64()*float64(c.Duration))
	return t, t > at
}

// longTaskRunTime is the mean run time of the tasks of the class that withLongTasks adds. It
// exceeds cancel_s.
const longTaskRunTime = 110 * time.Second

// extraCountTime returns the time by which served jobs are counted later than on other days, so
// that long tasks and pipelines that were submitted last can complete.
func (d *Day) extraCountTime() time.Duration {
	long := time.Duration(0)
	if d.OverlappingFaults {
		long = longTaskRunTime
	}
	if d.Pipelines {
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
func (d *Day) submitLongJobs(w *World) {
	if d.Cancels == nil {
		return
	}
	rng := rand.New(rand.NewPCG(d.Seed, 818))
	const before = time.Minute
	for range d.Machines / 2 {
		id := w.nextJobID()
		at := max(0, d.Cancels.At-time.Duration(rng.Float64()*float64(before)))
		run := time.Duration(float64(longTaskRunTime) * (0.75 + rng.Float64()/2))
		spec := model.JobSpec{
			ID: id, Workload: "import", Team: d.Settings.Teams[rng.IntN(d.Teams)].Name, Urgency: model.Normal,
			Tasks: 1 + rng.IntN(3), Need: model.Resources{CPU: 1, Memory: 2}, Image: "import", ImageGB: 0.5, AllowSpot: true, ExpectedRunTime: longTaskRunTime,
		}
		w.schedule(at, func() { w.Submit(spec, run, false) })
		if t, ok := d.Cancels.cancelTime(spec.Workload, at, rng); ok {
			w.schedule(t, func() { w.Cancel(spec.ID) })
		}
	}
}

// generateOverlap draws two or three faults that overlap and the mass cancellation around them. It
// has its own random stream, so that the rest of the day stays the same.
func generateOverlap(d *Day) {
	rng := rand.New(rand.NewPCG(d.Seed, 3141))
	d.workloads = withLongTasks(d.workloads)
	at := time.Duration(45+rng.IntN(max(1, d.Minutes*60/2))) * time.Second
	cancels := MassCancel{
		Workload: []string{"import", "import", "import", "batch", "rush", "wide"}[rng.IntN(6)], Fraction: []float64{0.8, 0.8, 1}[rng.IntN(3)],
		At: at - 5*time.Second + time.Duration(rng.IntN(10))*time.Second, Duration: time.Duration(5+rng.IntN(30)) * time.Second,
	}
	var overlapping []Fault
	longest := time.Duration(0)
	for range 2 + rng.IntN(2) {
		f := d.generateFault(rng)
		f.At = at
		if len(overlapping) > 0 {
			f.At += time.Duration(rng.Float64() * float64(min(maxFaultSpacing, longest)))
		}
		longest = max(longest, f.endsAt(d.Controllers)-f.At)
		if f.Kind == "refused_outage" {
			// Most of the jobs are cancelled while another controller can still confirm the
			// cancellation.
			cancels.At, cancels.Duration = f.At, f.Delay+2*time.Second
		}
		overlapping = append(overlapping, f)
	}
	d.Cancels = &cancels
	d.Faults = append(d.Faults, overlapping...)
	if rng.IntN(3) == 0 {
		d.Faults = append(d.Faults, Fault{Kind: "crash_all", At: d.lastFaultEnd() + crashAfterOverlap, Duration: 5 * time.Second})
	}
	d.addExtraFault(overlapping)
	d.sortFaults()
}

// addExtraFault adds a fault of extra_faults.go to one day in three. It has its own random stream,
// so that the rest of the day stays the same.
func (d *Day) addExtraFault(overlapping []Fault) {
	rng := rand.New(rand.NewPCG(d.Seed, 5772))
	if rng.IntN(3) > 0 {
		return
	}
	f := d.generateExtraFault(rng)
	f.At = overlapping[0].At + time.Duration(rng.Float64()*float64(maxFaultSpacing))
	d.Faults = append(d.Faults, f)
}

// generateFault draws a fault of overlapFaultKinds. The caller sets At.
func (d *Day) generateFault(rng *rand.Rand) Fault {
	oneOf := func(of ...float64) float64 { return of[rng.IntN(len(of))] }
	cancel := d.cancelWithin()
	f := Fault{
		Kind: overlapFaultKinds[rng.IntN(len(overlapFaultKinds))], Duration: logUniform(rng, 8*time.Second, 90*time.Second),
		Controller: rng.IntN(d.Controllers), Busiest: rng.IntN(3) > 0, HoldMessages: rng.IntN(2) == 0,
	}
	restartAfter := []time.Duration{50, 200, 500, 1000}[rng.IntN(4)] * time.Millisecond
	switch f.Kind {
	case "crash", "crash_all", "roll":
		f.Duration = 5 * time.Second
	case "cut":
		f.Link = []string{"state", "workers", "*", "peers", "cloud"}[rng.IntN(5)]
	case "one_way":
		f.Link = []string{"state", "workers", "*", "user"}[rng.IntN(4)]
	case "die", "hang", "machine_cut", "taken", "lazy", "capacity", "faulty":
		f.Fraction = oneOf(0.02, 0.1, 0.3)
	case "slow_state":
		f.SlowFactor = 15 + 10*rng.Float64()
	case "boots":
		f.Fraction = oneOf(0.05, 1, 4, 8)
	case "polls":
		f.Fraction = oneOf(4, 8, 30)
	case "again", "again_all":
		f.RestartAfter = restartAfter
	case "deaf_machine":
		// One machine, a tenth of them, or a whole zone.
		f.Duration, f.Fraction = logUniform(rng, 8*time.Second, 5*time.Minute), oneOf(1e-9, 0.1, 1)
		if f.Fraction == 1 {
			f.Zone = d.Settings.Zones[len(d.Settings.Zones)-1]
		}
	case "copies":
		f.Delay, f.Fraction = logUniform(rng, 2*time.Second, 5*d.Settings.WorkerLease), oneOf(0.05, 0.3, 1)
	case "cut_alone":
		f.Link = []string{"", "", "refused"}[rng.IntN(3)]
	case "election":
		f.Delay, f.RestartAfter = logUniform(rng, 5*time.Millisecond, 5*time.Second), restartAfter
	case "back_machine":
		f.Fraction, f.RestartAfter = oneOf(1e-9, 0.1, 0.3), restartAfter
	case "loss", "twice":
		f.Fraction = oneOf(0.01, 0.05, 0.2)
	case "late_writes":
		f.Fraction = oneOf(0.05, 0.2, 0.5)
	case "refused_outage":
		f.Delay, f.Duration = logUniform(rng, time.Second, 12*time.Second), logUniform(rng, cancel, 3*cancel)
	}
	return f
}

// cancelWithin returns cancel_s, the time within which the tasks of a cancelled job must have
// ended.
func (d *Day) cancelWithin() time.Duration {
	return d.Settings.WorkerLease + time.Duration(cmp.Or(d.CancelMarginS, defaultCancelMarginS))*time.Second
}

// defaultCancelMarginS is the number of seconds by which cancel_s exceeds the worker lease. All
// known sites use this value.
const defaultCancelMarginS = 30

// startOverlapFault begins a fault if its kind belongs to this file, and reports whether it does.
func (w *World) startOverlapFault(f Fault) bool {
	switch f.Kind {
	case "late_writes":
		w.DelayWrites(f.Fraction, f.Duration)
		w.loseWriteResponses = f.Immediate
	case "refused_outage":
		w.refuseController(w.controllers[f.Controller%len(w.controllers)], f.Delay+min(refusedAfterOutage, f.Duration))
		w.schedule(f.Delay, func() { w.Outage(f.Duration) })
	case "loss":
		w.lossRate = f.Fraction
		w.schedule(f.Duration, func() { w.lossRate = 0 })
	case "twice":
		w.duplicateRate = f.Fraction
		w.schedule(f.Duration, func() { w.duplicateRate = 0 })
	default:
		return false
	}
	return true
}

// DelayWrites makes a fraction of the transactions of the next d get no answer. The state service
// executes them some seconds later, possibly after newer ones, or at once with loseWriteResponses.
func (w *World) DelayWrites(fraction float64, d time.Duration) {
	w.lateWriteRate, w.lateWritesUntil = fraction, w.now.Add(d)
}

// delayWrite decides whether a transaction gets no answer, and returns the delay of its execution
// and the decision.
func (w *World) delayWrite(e message.StoreRequest) (time.Duration, bool) {
	if e.Kind != message.OpTxn || !w.now.Before(w.lateWritesUntil) || w.rng.Float64() >= w.lateWriteRate {
		return 0, false
	}
	if w.loseWriteResponses {
		return 0, true
	}
	return minWriteDelay + time.Duration(w.rng.Int64N(int64(maxWriteDelay-minWriteDelay))), true
}

// refuseController makes the state service refuse the requests of one controller for d. Refusals
// may overlap.
func (w *World) refuseController(p *controllerProcess, d time.Duration) {
	p.stateRefused = true
	if until := w.now.Add(d); until.After(p.refusedUntil) {
		p.refusedUntil = until
	}
	w.schedule(d, func() { p.stateRefused = w.now.Before(p.refusedUntil) })
}

// busiestController returns the index of the controller that most machines send heartbeats to.
func (w *World) busiestController() int {
	reporting := make([]int, len(w.controllers))
	for _, m := range w.fleet {
		if m.up(w.now) {
			reporting[m.controller]++
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
func (w *World) stickyController(j *userJob) int {
	if !w.stickyUsers || w.now.Before(w.faultsEndAt) {
		return -1
	}
	var n int
	if _, err := fmt.Sscan(strings.TrimLeft(strings.TrimPrefix(j.spec.ID, "job-"), "0"), &n); err != nil || n%stickyUserOneIn != 0 {
		return -1
	}
	i := n / stickyUserOneIn % len(w.controllers)
	if p := w.controllers[i]; !p.alive || !p.controller.Healthy(w.now) {
		return -1
	}
	return i
}

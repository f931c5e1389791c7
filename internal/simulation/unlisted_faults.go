package simulation

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/micahill/micahill/internal/model"
)

// This file has the faults that the operators did not list: machines that become ready late or
// never, users who query very often, jobs that always fail, a team that joins during the day,
// repeated crashes, one-way partitions, slow answers, and workers that ignore or fail tasks.

// disturbances is the state of the faults that slow the provisioning of machines, make users query
// more often, or delay answers.
type disturbances struct {
	// slowProvisioningUntil is the time until which newly rented machines take provisioningFactor
	// times as long to become ready. The fraction neverReadyFraction of these machines never
	// becomes ready.
	slowProvisioningUntil time.Time
	provisioningFactor    float64
	neverReadyFraction    float64
	// pollStormUntil is the time until which users query pollFactor times as often.
	pollStormUntil time.Time
	pollFactor     float64
	// slowAnswersUntil is the time until which answers of the cloud and the state service are
	// delayed by up to answerDelay.
	slowAnswersUntil time.Time
	answerDelay      time.Duration
}

// provisioningTime draws how long a machine that is rented at this moment takes to become ready:
// usually about the time of its machine type, sometimes several times as long. Rarely the machine
// never becomes ready.
func (w *World) provisioningTime(f model.MachineType) time.Duration {
	d := w.jitter(f.ProvisioningTime)
	if w.disturbances == nil {
		return d
	}
	const never = 1000 * time.Hour
	lateFraction, neverFraction, factor := 0.05, 0.01, 4.0
	if w.now.Before(w.disturbances.slowProvisioningUntil) {
		lateFraction, neverFraction, factor = 1, w.disturbances.neverReadyFraction, w.disturbances.provisioningFactor
	}
	switch x := w.rng.Float64(); {
	case x < neverFraction:
		return never
	case x < neverFraction+lateFraction:
		return time.Duration(float64(d) * factor)
	}
	return d
}

// pollInterval returns how long a user waits before the next query, given the usual interval.
func (w *World) pollInterval(d time.Duration) time.Duration {
	if w.disturbances != nil && w.now.Before(w.disturbances.pollStormUntil) {
		return time.Duration(float64(d) / w.disturbances.pollFactor)
	}
	return d
}

// unlistedKinds are the kinds of this file, and the listed kinds that are more frequent on days
// with unlisted faults. Faults are drawn uniformly from the list, so a repeated kind is drawn more
// often.
var unlistedKinds = []string{"boots", "boots", "boots", "polls", "polls", "again", "again_all", "one_way", "one_way", "slow_answers", "lazy", "capacity", "price", "faulty", "cut", "cut", "refused"}

// generateUnlistedFaults adds unlisted faults to a day, and possibly jobs that always fail and a
// guest team. It has its own random stream, so that the rest of the day stays the same.
func generateUnlistedFaults(d *Day) {
	rng := rand.New(rand.NewPCG(d.Seed, 1618))
	d.failingFraction = []float64{0, 0.04, 0.04, 0.1}[rng.IntN(4)]
	if rng.IntN(2) == 0 {
		d.guestTeam = "guest"
		d.Settings.Teams = append(slices.Clone(d.Settings.Teams), model.Team{Name: d.guestTeam})
	}
	for range 1 + rng.IntN(6) {
		f := Fault{
			Kind: unlistedKinds[rng.IntN(len(unlistedKinds))], At: time.Duration(10+rng.IntN(d.Minutes*60-20)) * time.Second,
			Duration: time.Duration(10+rng.IntN(110)) * time.Second, Controller: rng.IntN(d.Controllers), HoldMessages: rng.IntN(2) == 0,
			Fraction: []float64{0.05, 0.3, 1, 4, 8, 30}[rng.IntN(6)], Link: []string{"state", "workers", "*", "cloud"}[rng.IntN(4)],
			RestartAfter: []time.Duration{50, 200, 500, 1000}[rng.IntN(4)] * time.Millisecond,
		}
		switch f.Kind {
		case "boots", "polls":
			f.Link = ""
		case "lazy", "capacity", "faulty":
			f.Link, f.Fraction = "", []float64{0.02, 0.1, 0.3}[rng.IntN(3)]
		case "cut", "one_way":
			f.Fraction = 0
		default:
			f.Link, f.Fraction = "", 0
		}
		d.Faults = append(d.Faults, f)
	}
	d.sortFaults()
}

// startUnlistedFault begins a fault if its kind belongs to this file, and reports whether it does.
func (w *World) startUnlistedFault(f Fault, rng *rand.Rand) bool {
	switch f.Kind {
	case "boots":
		w.disturbances.slowProvisioningUntil, w.disturbances.provisioningFactor, w.disturbances.neverReadyFraction = w.now.Add(f.Duration), f.Fraction, 0
		if f.Fraction == 1 {
			w.disturbances.neverReadyFraction = 0.5
		}
	case "polls":
		w.disturbances.pollStormUntil, w.disturbances.pollFactor = w.now.Add(f.Duration), max(2, f.Fraction)
	case "again":
		for k := range 10 {
			w.schedule(time.Duration(k)*f.Duration/10, func() { w.CrashController(f.Controller%len(w.controllers), f.RestartAfter) })
		}
	case "again_all":
		for k := range 3 {
			for i := range w.controllers {
				w.schedule(time.Duration(k)*f.Duration/4, func() { w.CrashController(i, f.RestartAfter) })
			}
		}
	case "one_way":
		// Either the messages of the controller or the messages to it are lost.
		name := w.controllers[f.Controller%len(w.controllers)].name
		if f.HoldMessages {
			w.partitionOneWay(name, f.Link, f.Duration)
		} else {
			w.partitionOneWay(f.Link, name, f.Duration)
		}
	case "slow_answers":
		w.disturbances.slowAnswersUntil, w.disturbances.answerDelay = w.now.Add(f.Duration), 700*time.Millisecond
	case "lazy":
		w.forSample(f.Fraction, rng, func(m *Worker) { m.ignoresStarts = true })
	case "faulty":
		w.forSample(f.Fraction, rng, func(m *Worker) { m.faulty = true })
	case "capacity":
		for _, k := range sortedKeys(w.cloudCapacity) {
			gone := int(float64(w.cloudCapacity[k]) * (1 - f.Fraction))
			w.cloudCapacity[k] -= gone
			w.schedule(f.Duration, func() { w.cloudCapacity[k] += gone })
		}
	case "price":
		for _, k := range sortedKeys(w.machineTypes) {
			x := w.machineTypes[k]
			old := x.SpotCostPerHour
			x.SpotCostPerHour *= 0.67 + 0.66*rng.Float64()
			w.machineTypes[k] = x
			w.schedule(f.Duration, func() {
				x := w.machineTypes[k]
				x.SpotCostPerHour = old
				w.machineTypes[k] = x
			})
		}
	default:
		return false
	}
	return true
}

// submitGuestJobs schedules the jobs of the guest team, if there is one, from a third of the day
// on: some long jobs without an SLO, one job of very many short tasks, and many jobs of a single
// task.
func (d *Day) submitGuestJobs(w *World, rng *rand.Rand, span time.Duration) {
	if d.guestTeam == "" {
		return
	}
	long := model.JobSpec{Workload: "recount", Urgency: model.BestEffort, Tasks: max(2, d.Machines/8), Need: model.Resources{CPU: 4, Memory: 8}, AllowSpot: true, ExpectedRunTime: 50 * time.Second}
	huge := model.JobSpec{Workload: "rebuild", Urgency: model.BestEffort, Tasks: 40 * max(5, min(d.Machines, 250)), Need: model.Resources{CPU: 0.25, Memory: 0.5}, AllowSpot: true, ExpectedRunTime: 4 * time.Second}
	single := model.JobSpec{Workload: "lookups", Urgency: model.Normal, Tasks: 1, Need: model.Resources{CPU: 1, Memory: 2}, AllowSpot: true, ExpectedRunTime: 5 * time.Second}
	add := func(s model.JobSpec, at time.Duration) {
		s.ID, s.Team, s.Image, s.ImageGB = w.nextJobID(), d.guestTeam, s.Workload, 0.5
		w.schedule(at, func() { w.Submit(s, s.ExpectedRunTime, false) })
	}
	at := span / 3
	for range 3 {
		add(long, at+time.Duration(rng.Float64()*float64(span/6)))
	}
	add(huge, at)
	for range max(5, d.Machines/8) {
		add(single, at+time.Duration(rng.Float64()*float64(span/3)))
	}
}

package simulation

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/micahill/micahill/internal/model"
)

// This file has the faults that the operators did not list: machines that become ready late or
// never, users who query very often, jobs that always fail, a team that joins during the day,
// repeated crashes, one-way partitions, slow responses, and workers that ignore or fail tasks.

// disturbances is the state of the faults that slow the provisioning of machines, make users query
// more often, or delay responses.
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
	// slowAnswersUntil is the time until which responses of the cloud and the state service are
	// delayed by up to answerDelay.
	slowAnswersUntil time.Time
	answerDelay      time.Duration
}

// provisioningTime draws how long a machine that is rented at this moment takes to become ready:
// usually about the time of its machine type, sometimes several times as long. Rarely the machine
// never becomes ready.
func (world *World) provisioningTime(machineType model.MachineType) time.Duration {
	duration := world.jitter(machineType.ProvisioningTime)
	if world.disturbances == nil {
		return duration
	}
	const never = 1000 * time.Hour
	lateFraction, neverFraction, factor := 0.05, 0.01, 4.0
	if world.now.Before(world.disturbances.slowProvisioningUntil) {
		lateFraction, neverFraction, factor = 1, world.disturbances.neverReadyFraction, world.disturbances.provisioningFactor
	}
	switch x := world.rng.Float64(); {
	case x < neverFraction:
		return never
	case x < neverFraction+lateFraction:
		return time.Duration(float64(duration) * factor)
	}
	return duration
}

// pollInterval returns how long a user waits before the next query, given the usual interval.
func (world *World) pollInterval(duration time.Duration) time.Duration {
	if world.disturbances != nil && world.now.Before(world.disturbances.pollStormUntil) {
		return time.Duration(float64(duration) / world.disturbances.pollFactor)
	}
	return duration
}

// unlistedKinds are the kinds of this file, and the listed kinds that are more frequent on days
// with unlisted faults. Faults are drawn uniformly from the list, so a repeated kind is drawn more
// often.
var unlistedKinds = []string{"boots", "boots", "boots", "polls", "polls", "again", "again_all", "one_way", "one_way", "slow_answers", "lazy", "capacity", "price", "faulty", "cut", "cut", "refused"}

// generateUnlistedFaults adds unlisted faults to a day, and possibly jobs that always fail and a
// guest team. It has its own random stream, so that the rest of the day stays the same.
func generateUnlistedFaults(day *Day) {
	rng := rand.New(rand.NewPCG(day.Seed, 1618))
	day.failingFraction = []float64{0, 0.04, 0.04, 0.1}[rng.IntN(4)]
	if rng.IntN(2) == 0 {
		day.guestTeam = "guest"
		day.Settings.Teams = append(slices.Clone(day.Settings.Teams), model.Team{Name: day.guestTeam})
	}
	for range 1 + rng.IntN(6) {
		fault := Fault{
			Kind: unlistedKinds[rng.IntN(len(unlistedKinds))], At: time.Duration(10+rng.IntN(day.Minutes*60-20)) * time.Second,
			Duration: time.Duration(10+rng.IntN(110)) * time.Second, Controller: rng.IntN(day.Controllers), HoldMessages: rng.IntN(2) == 0,
			Fraction: []float64{0.05, 0.3, 1, 4, 8, 30}[rng.IntN(6)], Link: []string{"state", "workers", "*", "cloud"}[rng.IntN(4)],
			RestartAfter: []time.Duration{50, 200, 500, 1000}[rng.IntN(4)] * time.Millisecond,
		}
		switch fault.Kind {
		case "boots", "polls":
			fault.Link = ""
		case "lazy", "capacity", "faulty":
			fault.Link, fault.Fraction = "", []float64{0.02, 0.1, 0.3}[rng.IntN(3)]
		case "cut", "one_way":
			fault.Fraction = 0
		default:
			fault.Link, fault.Fraction = "", 0
		}
		day.Faults = append(day.Faults, fault)
	}
	day.sortFaults()
}

// startUnlistedFault begins a fault if its kind belongs to this file, and reports whether it does.
func (world *World) startUnlistedFault(fault Fault, rng *rand.Rand) bool {
	switch fault.Kind {
	case "boots":
		world.disturbances.slowProvisioningUntil, world.disturbances.provisioningFactor, world.disturbances.neverReadyFraction = world.now.Add(fault.Duration), fault.Fraction, 0
		if fault.Fraction == 1 {
			world.disturbances.neverReadyFraction = 0.5
		}
	case "polls":
		world.disturbances.pollStormUntil, world.disturbances.pollFactor = world.now.Add(fault.Duration), max(2, fault.Fraction)
	case "again":
		for k := range 10 {
			world.schedule(time.Duration(k)*fault.Duration/10, func() { world.CrashController(fault.Controller%len(world.controllers), fault.RestartAfter) })
		}
	case "again_all":
		for k := range 3 {
			for i := range world.controllers {
				world.schedule(time.Duration(k)*fault.Duration/4, func() { world.CrashController(i, fault.RestartAfter) })
			}
		}
	case "one_way":
		// Either the messages of the controller or the messages to it are lost.
		name := world.controllers[fault.Controller%len(world.controllers)].name
		if fault.HoldMessages {
			world.partitionOneWay(name, fault.Link, fault.Duration)
		} else {
			world.partitionOneWay(fault.Link, name, fault.Duration)
		}
	case "slow_answers":
		world.disturbances.slowAnswersUntil, world.disturbances.answerDelay = world.now.Add(fault.Duration), 700*time.Millisecond
	case "lazy":
		world.forEachSampled(fault.Fraction, rng, func(machine *Worker) { machine.ignoresStarts = true })
	case "faulty":
		world.forEachSampled(fault.Fraction, rng, func(machine *Worker) { machine.faulty = true })
	case "capacity":
		for _, k := range sortedKeys(world.cloudCapacity) {
			gone := int(float64(world.cloudCapacity[k]) * (1 - fault.Fraction))
			world.cloudCapacity[k] -= gone
			world.schedule(fault.Duration, func() { world.cloudCapacity[k] += gone })
		}
	case "price":
		for _, k := range sortedKeys(world.machineTypes) {
			machineType := world.machineTypes[k]
			old := machineType.SpotCostPerHour
			machineType.SpotCostPerHour *= 0.67 + 0.66*rng.Float64()
			world.machineTypes[k] = machineType
			world.schedule(fault.Duration, func() {
				machineType := world.machineTypes[k]
				machineType.SpotCostPerHour = old
				world.machineTypes[k] = machineType
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
func (day *Day) submitGuestJobs(world *World, rng *rand.Rand, span time.Duration) {
	if day.guestTeam == "" {
		return
	}
	long := model.JobSpec{Workload: "recount", Urgency: model.BestEffort, Tasks: max(2, day.Machines/8), Need: model.Resources{CPU: 4, Memory: 8}, AllowSpot: true, ExpectedRunTime: 50 * time.Second}
	huge := model.JobSpec{Workload: "rebuild", Urgency: model.BestEffort, Tasks: 40 * max(5, min(day.Machines, 250)), Need: model.Resources{CPU: 0.25, Memory: 0.5}, AllowSpot: true, ExpectedRunTime: 4 * time.Second}
	single := model.JobSpec{Workload: "lookups", Urgency: model.Normal, Tasks: 1, Need: model.Resources{CPU: 1, Memory: 2}, AllowSpot: true, ExpectedRunTime: 5 * time.Second}
	add := func(spec model.JobSpec, at time.Duration) {
		spec.ID, spec.Team, spec.Image, spec.ImageGB = world.nextJobID(), day.guestTeam, spec.Workload, 0.5
		world.schedule(at, func() { world.Submit(spec, spec.ExpectedRunTime, false) })
	}
	at := span / 3
	for range 3 {
		add(long, at+time.Duration(rng.Float64()*float64(span/6)))
	}
	add(huge, at)
	for range max(5, day.Machines/8) {
		add(single, at+time.Duration(rng.Float64()*float64(span/3)))
	}
}

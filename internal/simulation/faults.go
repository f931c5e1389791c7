package simulation

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"
)

// Fault is a fault of a day. The kind determines which of the other fields have a meaning.
type Fault struct {
	// At is when the fault begins, counted from the day's begin.
	At       time.Duration `json:"at_ns"`
	Duration time.Duration `json:"for_ns"`
	// Kind is repeatsKind, restartCopiesKind or one of the kinds in faultKinds, unlistedKinds, protocolFaultKinds,
	// overlapFaultKinds and extraFaultKinds.
	Kind string `json:"kind"`
	// Controller is the index of a controller.
	Controller int `json:"node"`
	// Link is the end that the controller can't reach: state, workers, peers, cloud, user, or * for
	// all. For cut_alone it is empty or refused; refused means that the state service refuses the
	// controller instead of being cut off.
	Link string `json:"link,omitempty"`
	// HoldMessages delivers messages after the fault instead of losing them. Kinds that lose no
	// messages use it for another choice: one_way loses the controller's messages if it is set and
	// the messages to the controller otherwise, and the last crash of election hits all controllers
	// if it is set, and restart_copies restarts a controller too.
	HoldMessages bool `json:"hold,omitempty"`
	// Fraction is the fraction of the machines, messages or jobs that are affected. The kinds boots
	// and polls use it as a factor: of the provisioning time, and of the rate of queries.
	Fraction float64 `json:"share,omitempty"`
	// RestartAfter is the time after which a crashed process is started again.
	RestartAfter time.Duration `json:"back_ns,omitempty"`
	// Delay is the time between the first and the second event of the fault; for copies and repeats
	// it is the largest delay of a copy.
	Delay time.Duration `json:"late_ns,omitempty"`
	// Zone limits a fault of machines to one zone; empty means all zones.
	Zone string `json:"zone,omitempty"`
	// SlowFactor is the factor by which the state service or a controller is slower.
	SlowFactor float64 `json:"times,omitempty"`
	// Busiest selects the controller that most machines send heartbeats to, instead of Controller.
	Busiest bool `json:"busiest,omitempty"`
	// Count is how many jobs are affected.
	Count int `json:"count,omitempty"`
	// Immediate makes late_writes execute the transactions at once and lose only their responses.
	Immediate bool `json:"at_once,omitempty"`
	// ForNextLeader makes copies keep the copies of heartbeats until another controller is the
	// leader.
	ForNextLeader bool `json:"for_next,omitempty"`
}

// String describes the fault for reports of days.
func (fault Fault) String() string {
	s := fmt.Sprintf("%.0fs %s", fault.At.Seconds(), fault.Kind)
	if fault.Link != "" {
		s += " from " + fault.Link
	}
	switch {
	case fault.Kind == "machines" || fault.Fraction > 0:
		s += fmt.Sprintf(" %.0f%%", 100*fault.Fraction)
	case fault.Count > 0:
		s += fmt.Sprintf(" %d", fault.Count)
	case fault.Busiest:
		s += " busiest"
	default:
		s += fmt.Sprintf(" node-%d", fault.Controller)
	}
	if fault.Immediate {
		s += " at_once"
	}
	if fault.ForNextLeader {
		s += " for_next"
	}
	if fault.Delay > 0 {
		s += fmt.Sprintf(" late=%.1fs", fault.Delay.Seconds())
	}
	return fmt.Sprintf("%s for %.0fs hold=%v", s, fault.Duration.Seconds(), fault.HoldMessages)
}

// faultKinds are the kinds of the faults that the operators listed. Faults are drawn uniformly from
// the list, so a repeated kind is drawn more often.
var faultKinds = []string{"crash", "crash", "crash_all", "cut", "cut", "cut", "refused", "outage", "cloud", "still", "die", "hang", "hang", "machine_cut", "machine_cut", "taken", "slow_state", "roll"}

// defaultSlowFactor is the SlowFactor of slow_state if a fault has none.
const defaultSlowFactor = 20.0

// endsAt returns the end of a fault including its delayed effects, counted from the day's begin.
// controllers is the number of controllers.
func (fault Fault) endsAt(controllers int) time.Duration {
	end := fault.At + fault.Duration + fault.RestartAfter
	switch fault.Kind {
	case "crash", "crash_all":
		end = fault.At + 5*time.Second
	case "again_all":
		end = fault.At + fault.Duration/2 + fault.RestartAfter
	case "roll":
		end = fault.At + time.Duration(controllers)*15*time.Second + 5*time.Second
	case "copies", repeatsKind:
		end += fault.Delay
	case restartCopiesKind:
		end += restartCopyDelays[len(restartCopyDelays)-1]
	case "refused_outage":
		end += fault.Delay
	case "late_writes":
		end += maxWriteDelay
	case "late_commands":
		end += maxCommandDelay
	case "loss", "twice":
		end += maxRandomDelay
	case "election":
		end = fault.At + 2*fault.Delay + fault.RestartAfter
	}
	return end
}

// noCapacityUntil returns the end of the time during which a fault keeps jobs from starting, or 0
// if the fault does not keep jobs from starting. Jobs can't start while the cloud has hardly any
// machines, rented machines do not become ready in time, the state service can't record starts, or
// no controller runs.
func (fault Fault) noCapacityUntil(controllers int) time.Duration {
	switch fault.Kind {
	case "cloud", "capacity", "outage", "refused_outage", "crash_all", "again_all":
		return fault.endsAt(controllers)
	case "boots":
		if fault.Fraction >= 1 {
			return fault.endsAt(controllers) + slowProvisioningGrace
		}
	}
	return 0
}

// noCapacityFrom returns the begin of the time during which a fault keeps jobs from starting; see
// noCapacityUntil.
func (fault Fault) noCapacityFrom() time.Duration {
	if fault.Kind == "refused_outage" {
		return fault.At + fault.Delay
	}
	return fault.At
}

// forEachSampled calls fn with each machine that is up, with probability fraction.
func (world *World) forEachSampled(fraction float64, rng *rand.Rand, fn func(*Worker)) {
	for _, machine := range slices.Clone(world.fleet) {
		if machine.up(world.now) && rng.Float64() < fraction {
			fn(machine)
		}
	}
}

// startFault begins a fault.
func (world *World) startFault(fault Fault, rng *rand.Rand) {
	if fault.Busiest {
		fault.Controller = world.busiestController()
	}
	if world.startUnlistedFault(fault, rng) || world.startProtocolFault(fault, rng) || world.startExtraFault(fault, rng) || world.startOverlapFault(fault) {
		return
	}
	target := world.controllers[fault.Controller%len(world.controllers)]
	forSome := func(fn func(*Worker)) { world.forEachSampled(fault.Fraction, rng, fn) }
	switch fault.Kind {
	case restartCopiesKind:
		world.startRestartCopies(fault, rng)
	case repeatsKind:
		world.RepeatRequests(fault.Fraction, fault.Delay, fault.Duration, rng)
	case "crash":
		world.CrashController(target.index, 5*time.Second)
	case "crash_all":
		for i := range world.controllers {
			world.CrashController(i, 5*time.Second)
		}
	case "roll":
		for i := range world.controllers {
			world.schedule(time.Duration(i)*15*time.Second, func() { world.CrashController(i, 5*time.Second) })
		}
	case "cut":
		if fault.Link != "peers" {
			world.Partition(target.name, fault.Link, fault.Duration, fault.HoldMessages)
			break
		}
		for _, other := range world.controllers {
			if other != target {
				world.Partition(target.name, other.name, fault.Duration, fault.HoldMessages)
			}
		}
	case "refused":
		world.refuseController(target, fault.Duration)
	case "outage":
		world.Outage(min(fault.Duration, 30*time.Second))
	case "slow_state":
		world.stateSlowUntil, world.stateSlowFactor = world.now.Add(fault.Duration), cmp.Or(fault.SlowFactor, defaultSlowFactor)
	case "cloud":
		world.cloudOutage = true
		world.schedule(fault.Duration, func() { world.cloudOutage = false })
	case "still":
		world.Pause(target.index, min(fault.Duration, 40*time.Second))
	case "die":
		forSome(world.killMachine)
	case "hang":
		forSome(func(machine *Worker) { machine.hungUntil = world.now.Add(fault.Duration) })
	case "machine_cut":
		forSome(func(machine *Worker) { world.Partition(machine.ID, "*", fault.Duration, fault.HoldMessages) })
	case "taken":
		forSome(func(machine *Worker) {
			if machine.Spot {
				machine.reclaimAt = world.now.Add(time.Duration(rng.IntN(25)) * time.Second)
			}
		})
	}
}

// sortFaults sorts the faults by their begin; faults with the same begin keep their order.
func (day *Day) sortFaults() {
	slices.SortStableFunc(day.Faults, func(a, b Fault) int { return cmp.Compare(a.At, b.At) })
}

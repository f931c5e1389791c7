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
	// Kind is one of the kinds in faultKinds, unlistedKinds, protocolFaultKinds, overlapFaultKinds
	// and extraFaultKinds.
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
	// if it is set.
	HoldMessages bool `json:"hold,omitempty"`
	// Fraction is the fraction of the machines, messages or jobs that are affected. The kinds boots
	// and polls use it as a factor: of the provisioning time, and of the rate of queries.
	Fraction float64 `json:"share,omitempty"`
	// RestartAfter is the time after which a crashed process is started again.
	RestartAfter time.Duration `json:"back_ns,omitempty"`
	// Delay is the time between the first and the second event of the fault; for copies it is the
	// largest delay of a copy.
	Delay time.Duration `json:"late_ns,omitempty"`
	// Zone limits a fault of machines to one zone; empty means all zones.
	Zone string `json:"zone,omitempty"`
	// SlowFactor is the factor by which the state service or a controller is slower.
	SlowFactor float64 `json:"times,omitempty"`
	// Busiest selects the controller that most machines send heartbeats to, instead of Controller.
	Busiest bool `json:"busiest,omitempty"`
	// Count is how many jobs are affected.
	Count int `json:"count,omitempty"`
	// Immediate makes late_writes execute the transactions at once and lose only their answers.
	Immediate bool `json:"at_once,omitempty"`
	// ForNextLeader makes copies keep the copies of heartbeats until another controller is the
	// leader.
	ForNextLeader bool `json:"for_next,omitempty"`
}

// String describes the fault for reports of days.
func (f Fault) String() string {
	s := fmt.Sprintf("%.0fs %s", f.At.Seconds(), f.Kind)
	if f.Link != "" {
		s += " from " + f.Link
	}
	switch {
	case f.Kind == "machines" || f.Fraction > 0:
		s += fmt.Sprintf(" %.0f%%", 100*f.Fraction)
	case f.Count > 0:
		s += fmt.Sprintf(" %d", f.Count)
	case f.Busiest:
		s += " busiest"
	default:
		s += fmt.Sprintf(" node-%d", f.Controller)
	}
	if f.Immediate {
		s += " at_once"
	}
	if f.ForNextLeader {
		s += " for_next"
	}
	if f.Delay > 0 {
		s += fmt.Sprintf(" late=%.1fs", f.Delay.Seconds())
	}
	return fmt.Sprintf("%s for %.0fs hold=%v", s, f.Duration.Seconds(), f.HoldMessages)
}

// faultKinds are the kinds of the faults that the operators listed. Faults are drawn uniformly from
// the list, so a repeated kind is drawn more often.
var faultKinds = []string{"crash", "crash", "crash_all", "cut", "cut", "cut", "refused", "outage", "cloud", "still", "die", "hang", "hang", "machine_cut", "machine_cut", "taken", "slow_state", "roll"}

// defaultSlowFactor is the SlowFactor of slow_state if a fault has none.
const defaultSlowFactor = 20.0

// endsAt returns the end of a fault including its delayed effects, counted from the day's begin.
// controllers is the number of controllers.
func (f Fault) endsAt(controllers int) time.Duration {
	end := f.At + f.Duration + f.RestartAfter
	switch f.Kind {
	case "crash", "crash_all":
		end = f.At + 5*time.Second
	case "again_all":
		end = f.At + f.Duration/2 + f.RestartAfter
	case "roll":
		end = f.At + time.Duration(controllers)*15*time.Second + 5*time.Second
	case "copies":
		end += f.Delay
	case "refused_outage":
		end += f.Delay
	case "late_writes":
		end += maxWriteDelay
	case "late_commands":
		end += maxCommandDelay
	case "loss", "twice":
		end += maxRandomDelay
	case "election":
		end = f.At + 2*f.Delay + f.RestartAfter
	}
	return end
}

// noCapacityUntil returns the end of the time during which a fault keeps jobs from starting, or 0
// if the fault does not keep jobs from starting. Jobs can't start while the cloud has hardly any
// machines, rented machines do not become ready in time, the state service can't record starts, or
// no controller runs.
func (f Fault) noCapacityUntil(controllers int) time.Duration {
	switch f.Kind {
	case "cloud", "capacity", "outage", "refused_outage", "crash_all", "again_all":
		return f.endsAt(controllers)
	case "boots":
		if f.Fraction >= 1 {
			return f.endsAt(controllers) + slowProvisioningGrace
		}
	}
	return 0
}

// noCapacityFrom returns the begin of the time during which a fault keeps jobs from starting; see
// noCapacityUntil.
func (f Fault) noCapacityFrom() time.Duration {
	if f.Kind == "refused_outage" {
		return f.At + f.Delay
	}
	return f.At
}

// forSample calls fn with each machine that is up, with probability fraction.
func (w *World) forSample(fraction float64, rng *rand.Rand, fn func(*Worker)) {
	for _, m := range slices.Clone(w.fleet) {
		if m.up(w.now) && rng.Float64() < fraction {
			fn(m)
		}
	}
}

// startFault begins a fault.
func (w *World) startFault(f Fault, rng *rand.Rand) {
	if f.Busiest {
		f.Controller = w.busiestController()
	}
	if w.startUnlistedFault(f, rng) || w.startProtocolFault(f, rng) || w.startExtraFault(f, rng) || w.startOverlapFault(f) {
		return
	}
	target := w.controllers[f.Controller%len(w.controllers)]
	some := func(fn func(*Worker)) { w.forSample(f.Fraction, rng, fn) }
	switch f.Kind {
	case "crash":
		w.CrashController(target.index, 5*time.Second)
	case "crash_all":
		for i := range w.controllers {
			w.CrashController(i, 5*time.Second)
		}
	case "roll":
		for i := range w.controllers {
			w.schedule(time.Duration(i)*15*time.Second, func() { w.CrashController(i, 5*time.Second) })
		}
	case "cut":
		if f.Link != "peers" {
			w.Partition(target.name, f.Link, f.Duration, f.HoldMessages)
			break
		}
		for _, o := range w.controllers {
			if o != target {
				w.Partition(target.name, o.name, f.Duration, f.HoldMessages)
			}
		}
	case "refused":
		w.refuseController(target, f.Duration)
	case "outage":
		w.Outage(min(f.Duration, 30*time.Second))
	case "slow_state":
		w.stateSlowUntil, w.stateSlowFactor = w.now.Add(f.Duration), cmp.Or(f.SlowFactor, defaultSlowFactor)
	case "cloud":
		w.cloudOutage = true
		w.schedule(f.Duration, func() { w.cloudOutage = false })
	case "still":
		w.Pause(target.index, min(f.Duration, 40*time.Second))
	case "die":
		some(w.killMachine)
	case "hang":
		some(func(m *Worker) { m.hungUntil = w.now.Add(f.Duration) })
	case "machine_cut":
		some(func(m *Worker) { w.Partition(m.ID, "*", f.Duration, f.HoldMessages) })
	case "taken":
		some(func(m *Worker) {
			if m.Spot {
				m.reclaimAt = w.now.Add(time.Duration(rng.IntN(25)) * time.Second)
			}
		})
	}
}

// sortFaults sorts the faults by their begin; faults with the same begin keep their order.
func (d *Day) sortFaults() {
	slices.SortStableFunc(d.Faults, func(a, b Fault) int { return cmp.Compare(a.At, b.At) })
}

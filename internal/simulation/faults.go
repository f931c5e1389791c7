package simulation

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"
)

// Fault is a trouble of a day.
type Fault struct {
	At       time.Duration `json:"at_ns"`
	Duration time.Duration `json:"for_ns"`
	Kind     string        `json:"kind"`
	// Controller is a controller's number, and Link what it is cut from. Share is the part
	// of the machines that a trouble meets.
	Controller   int     `json:"node"`
	Link         string  `json:"link,omitempty"`
	HoldMessages bool    `json:"hold,omitempty"`
	Fraction     float64 `json:"share,omitempty"`
	// RestartAfter is how soon a process that ends is started again, and Late how much later
	// than the first something comes.
	RestartAfter time.Duration `json:"back_ns,omitempty"`
	Delay        time.Duration `json:"late_ns,omitempty"`
	// Zone is the only one that a trouble of machines meets.
	Zone string `json:"zone,omitempty"`
	// SlowFactor is how many times as slow something is.
	SlowFactor float64 `json:"times,omitempty"`
	// Busiest: instead of Node it meets the controller that most machines report to.
	Busiest bool `json:"busiest,omitempty"`
	// Count is how many jobs a trouble meets. Immediate: late writes are carried out at
	// once, and ForNextLeader: copies are kept for the next leader.
	Count         int  `json:"count,omitempty"`
	Immediate     bool `json:"at_once,omitempty"`
	ForNextLeader bool `json:"for_next,omitempty"`
}

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

// faultKinds are the troubles a day may have, the likelier the oftener they stand.
var faultKinds = []string{"crash", "crash", "crash_all", "cut", "cut", "cut", "refused", "outage", "cloud", "still", "die", "hang", "hang", "machine_cut", "machine_cut", "taken", "slow_state", "roll"}

// defaultSlowFactor is how many times as slow a slow state service is, if nothing else is said.
const defaultSlowFactor = 20.0

// endsAt is when a trouble is over, reckoned from the day's begin.
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

// noCapacityUntil is until when a trouble is one during which no day is blamed for what doesn't
// begin, or 0: the cloud gives hardly anything, or none of what is rented comes up in
// time; no start can be recorded; nobody is there.
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

// noCapacityFrom is since when it is one.
func (f Fault) noCapacityFrom() time.Duration {
	if f.Kind == "refused_outage" {
		return f.At + f.Delay
	}
	return f.At
}

// forSample calls fn with a part of the machines that are up, by chance.
func (w *World) forSample(part float64, rng *rand.Rand, fn func(*Worker)) {
	for _, m := range slices.Clone(w.fleet) {
		if m.up(w.now) && rng.Float64() < part {
			fn(m)
		}
	}
}

// startFault lets a fault begin.
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

func (d *Day) sortFaults() {
	slices.SortStableFunc(d.Faults, func(a, b Fault) int { return cmp.Compare(a.At, b.At) })
}

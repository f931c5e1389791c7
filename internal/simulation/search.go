package simulation

import (
	"cmp"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"time"

	"github.com/micahill/micahill/internal/search"
)

// This file defines the search for the days with the smallest margins: it draws, mutates and
// evaluates days. It also saves days to files and loads them.

const (
	// maxSearchFaults is the number of faults from which on a mutation adds no fault.
	maxSearchFaults = 6
	// maxSearchShift is the longest time by which a mutation shifts a fault.
	maxSearchShift = 20 * time.Second
	// firstSearchFault is the earliest begin of a fault, counted from the day's begin, and
	// lastSearchFaultAfter the latest, counted from the last submission.
	firstSearchFault     = 20 * time.Second
	lastSearchFaultAfter = time.Minute
	// minSearchMachines is the smallest number of machines of a drawn day; the largest is almost
	// four times as many. searchMinutes is how long jobs are submitted: in the same time, many
	// short days find more than a few long ones.
	minSearchMachines = 15
	searchMinutes     = 2
)

// UntimedRules is the name of a margin for all rules that bound no duration. It is -1 if the day
// has a violation of any rule, otherwise 1.
const UntimedRules = "others"

// SearchProblem returns the search problem over days with overlapping faults and the parameters p;
// parameters that are 0 are drawn. onResult is called with the result of each day, from several
// goroutines at a time.
func SearchProblem(p DayParams, onResult func(DayResult)) search.Problem[Day] {
	return search.Problem[Day]{
		Generate: func(rng *rand.Rand) Day {
			x := p
			x.Seed, x.OverlappingFaults = rng.Uint64N(1<<32), true
			x.Minutes = cmp.Or(x.Minutes, searchMinutes)
			x.MixedJobs = x.MixedJobs || rng.IntN(2) == 0
			x.CancelMarginS = cmp.Or(x.CancelMarginS, []int{0, 0, 10, 4}[rng.IntN(4)])
			if x.Machines == 0 {
				x.Machines = minSearchMachines + rng.IntN(3*minSearchMachines)
			}
			d := GenerateDay(x)
			if rng.IntN(2) == 0 {
				d.addFault(rng, d.generateAnyFault(rng))
			}
			return d
		},
		Mutate: func(rng *rand.Rand, d Day) Day {
			for range 1 + rng.IntN(3) {
				d = d.mutated(rng)
			}
			return d
		},
		Evaluate: func(d Day) map[string]float64 {
			r := RunDay(d, "")
			onResult(r)
			return r.margins()
		},
	}
}

// margins returns the margin of each timed rule in seconds, and that of UntimedRules.
func (r *DayResult) margins() map[string]float64 {
	out := map[string]float64{UntimedRules: 1}
	if len(r.Violations) > 0 {
		out[UntimedRules] = -1
	}
	for rule, s := range r.Margins {
		out[rule] = s.Remaining.Seconds()
	}
	return out
}

// generateAnyFault draws a fault of overlapFaultKinds or extraFaultKinds with its begin.
func (d *Day) generateAnyFault(rng *rand.Rand) Fault {
	f := d.generateFault(rng)
	if rng.IntN(2) == 0 {
		f = d.generateExtraFault(rng)
	}
	f.At = d.clampFaultStart(time.Duration(rng.Float64() * float64(d.latestFaultStart())))
	return f
}

// latestFaultStart returns the latest time at which a fault of a day of a search may begin.
func (d *Day) latestFaultStart() time.Duration {
	return time.Duration(d.Minutes)*time.Minute + lastSearchFaultAfter
}

// clampFaultStart returns the time closest to at at which a fault may begin.
func (d *Day) clampFaultStart(at time.Duration) time.Duration {
	return min(max(at, firstSearchFault), d.latestFaultStart())
}

// addFault adds a fault. If there are other faults, it begins close to one of them, so that they
// overlap.
func (d *Day) addFault(rng *rand.Rand, f Fault) {
	if len(d.Faults) > 0 {
		f.At = d.clampFaultStart(d.Faults[rng.IntN(len(d.Faults))].At + randomShift(rng))
	}
	d.Faults = append(slices.Clone(d.Faults), f)
	d.sortFaults()
}

// randomShift draws a positive or negative shift whose logarithm is uniformly distributed.
func randomShift(rng *rand.Rand) time.Duration {
	by := logUniform(rng, 50*time.Millisecond, maxSearchShift)
	if rng.IntN(2) == 0 {
		return -by
	}
	return by
}

// mutated returns a copy of d with one random change of its faults or mass cancellation.
func (d Day) mutated(rng *rand.Rand) Day {
	d.Faults = slices.Clone(d.Faults)
	if d.Cancels != nil {
		c := *d.Cancels
		d.Cancels = &c
	}
	if len(d.Faults) == 0 {
		d.addFault(rng, d.generateAnyFault(rng))
		return d
	}
	i, k := rng.IntN(len(d.Faults)), rng.IntN(len(d.Faults))
	f := &d.Faults[i]
	switch rng.IntN(9) {
	case 0, 1:
		f.At = d.clampFaultStart(f.At + randomShift(rng))
	case 2:
		f.At, d.Faults[k].At = d.Faults[k].At, f.At
	case 3:
		f.Duration = time.Duration(float64(f.Duration) * (0.5 + 1.5*rng.Float64()))
	case 4:
		at := f.At
		*f = d.generateAnyFault(rng)
		f.At = at
	case 5:
		f.Controller, f.Busiest, f.HoldMessages = rng.IntN(d.Controllers), rng.IntN(2) == 0, rng.IntN(2) == 0
	case 6:
		if len(d.Faults) < maxSearchFaults {
			d.addFault(rng, d.generateAnyFault(rng))
		}
	case 7:
		if len(d.Faults) > 1 {
			d.Faults = slices.Delete(d.Faults, i, i+1)
		}
	case 8:
		if c := d.Cancels; c != nil {
			c.At, c.Duration = d.clampFaultStart(c.At+randomShift(rng)), max(time.Second, c.Duration+randomShift(rng))
		}
	}
	d.sortFaults()
	return d
}

// Save writes a day to a file that LoadDay can read.
func (d Day) Save(file string) error {
	b, err := json.MarshalIndent(d, "", "  ")
	if err != nil {
		return fmt.Errorf("day: %w", err)
	}
	return os.WriteFile(file, append(b, '\n'), 0o644)
}

// LoadDay reads a day that Save wrote. It generates the day from the parameters in the file, and
// replaces its faults and mass cancellation by those in the file.
func LoadDay(file string) (Day, error) {
	b, err := os.ReadFile(file)
	if err != nil {
		return Day{}, err
	}
	var read Day
	if err := json.Unmarshal(b, &read); err != nil {
		return Day{}, fmt.Errorf("%s: %w", file, err)
	}
	if err := read.Validate(); err != nil {
		return Day{}, fmt.Errorf("%s: %w", file, err)
	}
	if read.Machines < 1 || read.Teams < 1 || read.Controllers < 1 || read.Minutes < 1 || read.Jobs < 1 {
		return Day{}, fmt.Errorf("%s: machines, teams, controllers, minutes and jobs are to be positive", file)
	}
	d := GenerateDay(read.DayParams)
	d.Faults, d.Cancels = read.Faults, read.Cancels
	d.sortFaults()
	return d, nil
}

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

// This file draws days for a search by the margins that they leave, mutates them, and keeps them as
// files that can be played again.

const (
	// maxSearchFaults bounds the faults of a day of a search.
	maxSearchFaults = 6
	// maxSearchShift is how far a mutation shifts a fault.
	maxSearchShift = 20 * time.Second
	// firstSearchFault is when the first fault may begin, and lastSearchFaultAfter how long after
	// the last submission the last one may.
	firstSearchFault     = 20 * time.Second
	lastSearchFaultAfter = time.Minute
	// minSearchMachines is the least number of machines of a drawn day, which has up to four times
	// as many, and searchMinutes how long jobs are submitted: many short days find more than a few
	// long ones.
	minSearchMachines = 15
	searchMinutes     = 2
)

// UntimedRules names the margin of all rules without a time: 1, or -1 if a rule is broken.
const UntimedRules = "others"

// SearchProblem is the search among days with overlapping faults like p, whose zeros are drawn.
// onResult is called with each day that was played, from several goroutines at a time.
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

// margins returns the seconds that are left to each timed rule, and UntimedRules.
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

// generateAnyFault draws a fault of any kind that begins within the day.
func (d *Day) generateAnyFault(rng *rand.Rand) Fault {
	f := d.generateFault(rng)
	if rng.IntN(2) == 0 {
		f = d.generateExtraFault(rng)
	}
	f.At = d.clampFaultStart(time.Duration(rng.Float64() * float64(d.latestFaultStart())))
	return f
}

// latestFaultStart returns when the last fault of a day of a search may begin.
func (d *Day) latestFaultStart() time.Duration {
	return time.Duration(d.Minutes)*time.Minute + lastSearchFaultAfter
}

// clampFaultStart returns the time closest to at when a fault may begin.
func (d *Day) clampFaultStart(at time.Duration) time.Duration {
	return min(max(at, firstSearchFault), d.latestFaultStart())
}

// addFault adds a fault close to another one, so that they overlap.
func (d *Day) addFault(rng *rand.Rand, f Fault) {
	if len(d.Faults) > 0 {
		f.At = d.clampFaultStart(d.Faults[rng.IntN(len(d.Faults))].At + randomShift(rng))
	}
	d.Faults = append(slices.Clone(d.Faults), f)
	d.sortFaults()
}

// randomShift draws by how much something is shifted; its logarithm is uniform, and its sign
// random.
func randomShift(rng *rand.Rand) time.Duration {
	by := logUniform(rng, 50*time.Millisecond, maxSearchShift)
	if rng.IntN(2) == 0 {
		return -by
	}
	return by
}

// mutated returns a day that differs from d in one respect.
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

// Save writes a day to a file that LoadDay reads.
func (d Day) Save(file string) error {
	b, err := json.MarshalIndent(d, "", "  ")
	if err != nil {
		return fmt.Errorf("day: %w", err)
	}
	return os.WriteFile(file, append(b, '\n'), 0o644)
}

// LoadDay reads a day that Save wrote. The day is drawn again from its parameters, with the faults
// and cancellations of the file.
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

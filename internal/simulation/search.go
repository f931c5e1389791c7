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

// SearchProblem returns the search problem over days with overlapping faults and the given
// parameters; parameters that are 0 are drawn. onResult is called with the result of each day, from
// several goroutines at a time.
func SearchProblem(params DayParams, onResult func(DayResult)) search.Problem[Day] {
	return search.Problem[Day]{
		Generate: func(rng *rand.Rand) Day {
			drawn := params
			drawn.Seed, drawn.OverlappingFaults = rng.Uint64N(1<<32), true
			drawn.Minutes = cmp.Or(drawn.Minutes, searchMinutes)
			drawn.MixedJobs = drawn.MixedJobs || rng.IntN(2) == 0
			drawn.CancelMarginS = cmp.Or(drawn.CancelMarginS, []int{0, 0, 10, 4}[rng.IntN(4)])
			if drawn.Machines == 0 {
				drawn.Machines = minSearchMachines + rng.IntN(3*minSearchMachines)
			}
			day := GenerateDay(drawn)
			if rng.IntN(2) == 0 {
				day.addFault(rng, day.generateAnyFault(rng))
			}
			return day
		},
		Mutate: func(rng *rand.Rand, day Day) Day {
			for range 1 + rng.IntN(3) {
				day = day.mutated(rng)
			}
			return day
		},
		Evaluate: func(day Day) map[string]float64 {
			result := RunDay(day, "")
			onResult(result)
			return result.margins()
		},
	}
}

// margins returns the margin of each timed rule in seconds, and that of UntimedRules.
func (result *DayResult) margins() map[string]float64 {
	out := map[string]float64{UntimedRules: 1}
	if len(result.Violations) > 0 {
		out[UntimedRules] = -1
	}
	for rule, margin := range result.Margins {
		out[rule] = margin.Remaining.Seconds()
	}
	return out
}

// generateAnyFault draws a fault of overlapFaultKinds or extraFaultKinds with its begin.
func (day *Day) generateAnyFault(rng *rand.Rand) Fault {
	fault := day.generateFault(rng)
	if rng.IntN(2) == 0 {
		fault = day.generateExtraFault(rng)
	}
	fault.At = day.clampFaultStart(time.Duration(rng.Float64() * float64(day.latestFaultStart())))
	return fault
}

// latestFaultStart returns the latest time at which a fault of a day of a search may begin.
func (day *Day) latestFaultStart() time.Duration {
	return time.Duration(day.Minutes)*time.Minute + lastSearchFaultAfter
}

// clampFaultStart returns the time closest to at at which a fault may begin.
func (day *Day) clampFaultStart(at time.Duration) time.Duration {
	return min(max(at, firstSearchFault), day.latestFaultStart())
}

// addFault adds a fault. If there are other faults, it begins close to one of them, so that they
// overlap.
func (day *Day) addFault(rng *rand.Rand, fault Fault) {
	if len(day.Faults) > 0 {
		fault.At = day.clampFaultStart(day.Faults[rng.IntN(len(day.Faults))].At + randomShift(rng))
	}
	day.Faults = append(slices.Clone(day.Faults), fault)
	day.sortFaults()
}

// randomShift draws a positive or negative shift whose logarithm is uniformly distributed.
func randomShift(rng *rand.Rand) time.Duration {
	by := logUniform(rng, 50*time.Millisecond, maxSearchShift)
	if rng.IntN(2) == 0 {
		return -by
	}
	return by
}

// mutated returns a copy of the day with one random change of its faults or mass cancellation.
func (day Day) mutated(rng *rand.Rand) Day {
	day.Faults = slices.Clone(day.Faults)
	if day.Cancels != nil {
		cancels := *day.Cancels
		day.Cancels = &cancels
	}
	if len(day.Faults) == 0 {
		day.addFault(rng, day.generateAnyFault(rng))
		return day
	}
	i, k := rng.IntN(len(day.Faults)), rng.IntN(len(day.Faults))
	fault := &day.Faults[i]
	switch rng.IntN(9) {
	case 0, 1:
		fault.At = day.clampFaultStart(fault.At + randomShift(rng))
	case 2:
		fault.At, day.Faults[k].At = day.Faults[k].At, fault.At
	case 3:
		fault.Duration = time.Duration(float64(fault.Duration) * (0.5 + 1.5*rng.Float64()))
	case 4:
		at := fault.At
		*fault = day.generateAnyFault(rng)
		fault.At = at
	case 5:
		fault.Controller, fault.Busiest, fault.HoldMessages = rng.IntN(day.Controllers), rng.IntN(2) == 0, rng.IntN(2) == 0
	case 6:
		if len(day.Faults) < maxSearchFaults {
			day.addFault(rng, day.generateAnyFault(rng))
		}
	case 7:
		if len(day.Faults) > 1 {
			day.Faults = slices.Delete(day.Faults, i, i+1)
		}
	case 8:
		if cancels := day.Cancels; cancels != nil {
			cancels.At, cancels.Duration = day.clampFaultStart(cancels.At+randomShift(rng)), max(time.Second, cancels.Duration+randomShift(rng))
		}
	}
	day.sortFaults()
	return day
}

// Save writes a day to a file that LoadDay can read.
func (day Day) Save(file string) error {
	b, err := json.MarshalIndent(day, "", "  ")
	if err != nil {
		return fmt.Errorf("encode day: %w", err)
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
		return Day{}, fmt.Errorf("%s: machines, teams, controllers, minutes and jobs must be positive", file)
	}
	day := GenerateDay(read.DayParams)
	day.Faults, day.Cancels = read.Faults, read.Cancels
	day.sortFaults()
	return day, nil
}

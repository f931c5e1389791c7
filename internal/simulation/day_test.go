package simulation

import (
	"fmt"
	"testing"
)

// TestDays plays days with one to nine teams, three to seven controllers and low limits. Two more days guard
// against tasks that run twice without any fault: with two and three teams on so many machines, the machine
// names of a shard exceed value_kb. To play more days:
// MICAHILL_DAYS=300 go test ./internal/simulation -run TestDays
func TestDays(t *testing.T) {
	days := []DayParams{
		{Seed: 3, Machines: 900, Teams: 2, Controllers: 3, Jobs: 700, FaultCount: -1, Minutes: 2},
		{Seed: 207, Machines: 700, Teams: 3, Controllers: 3, Jobs: 500, FaultCount: 2, Minutes: 2},
	}
	for seed := range dayCount(t, 8, 3) {
		days = append(days, DayParams{Seed: seed + 1})
	}
	// These days have unlisted faults. Day 20 guards against a job of thousands of tasks that is never
	// done because machines send heartbeats but start nothing.
	for _, seed := range []uint64{20, 22} {
		days = append(days, DayParams{Seed: seed, UnlistedFaults: true})
	}
	for _, params := range days {
		t.Run(fmt.Sprintf("%d-%d-%v", params.Seed, params.Machines, params.UnlistedFaults), func(t *testing.T) {
			t.Parallel()
			day := GenerateDay(params)
			result := RunDay(day, "")
			reportViolations(t, result.Violations)
			if params.UnlistedFaults {
				for _, group := range result.Starved() {
					t.Errorf("got starved group %s", group)
				}
			}
			if result.LostToLease > result.Starts/20+20 {
				t.Errorf("got %d of %d started tasks lost to an expired worker lease, want at most a twentieth and 20", result.LostToLease, result.Starts)
			}
			if t.Failed() {
				t.Logf("%+v", day.Faults)
				logTail(t, result.Log, 60)
			}
		})
	}
}

// TestDayResults checks that the result of a day has classes, jobs, starts and costs, and that Shrink reduces
// a failing day to the one fault that makes it fail.
func TestDayResults(t *testing.T) {
	day := GenerateDay(DayParams{Seed: 5, Machines: 40, Teams: 2, Controllers: 3, Jobs: 12, Minutes: 1, FaultCount: 4})
	result := RunDay(day, "")
	jobs := 0
	for _, group := range result.TeamGroups {
		jobs += group.Jobs
	}
	if len(result.Classes) == 0 || jobs == 0 || result.Starts == 0 || result.Cost <= 0 {
		t.Errorf("got incomplete result %+v, want classes, jobs, starts and costs", result)
	}
	// In this test a day counts as failing if it contains this fault.
	failingFault := day.Faults[2]
	reduced := Shrink(day, func(result DayResult) bool {
		for _, fault := range result.Day.Faults {
			if fault == failingFault {
				return true
			}
		}
		return false
	}, func(string) {})
	if len(reduced.Faults) != 1 || reduced.Faults[0] != failingFault {
		t.Errorf("got faults %v, want only %v", reduced.Faults, failingFault)
	}
}

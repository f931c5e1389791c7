package simulation

import (
	"fmt"
	"testing"
)

// TestDays plays days with one to nine teams, three to seven controllers and low limits, and two days on
// which an earlier version failed: with two and three teams on so many machines that the names of a shard
// exceeded value_kb, tasks ran twice without any fault. For more days:
// MICAHILL_DAYS=300 go test ./internal/simulation -run TestDays
func TestDays(t *testing.T) {
	days := []DayParams{
		{Seed: 3, Machines: 900, Teams: 2, Controllers: 3, Jobs: 700, FaultCount: -1, Minutes: 2},
		{Seed: 207, Machines: 700, Teams: 3, Controllers: 3, Jobs: 500, FaultCount: 2, Minutes: 2},
	}
	for seed := range dayCount(t, 8, 3) {
		days = append(days, DayParams{Seed: seed + 1})
	}
	// With unlisted faults. On day 20 a job of thousands of tasks was never done, as machines
	// sent heartbeats and started nothing.
	for _, seed := range []uint64{20, 22} {
		days = append(days, DayParams{Seed: seed, UnlistedFaults: true})
	}
	for _, p := range days {
		t.Run(fmt.Sprintf("%d-%d-%v", p.Seed, p.Machines, p.UnlistedFaults), func(t *testing.T) {
			t.Parallel()
			d := GenerateDay(p)
			r := RunDay(d, "")
			reportViolations(t, r.Violations)
			if p.UnlistedFaults {
				for _, g := range r.Starved() {
					t.Errorf("got starved group %s", g)
				}
			}
			if r.LostToLease > r.Starts/20+20 {
				t.Errorf("got %d of %d tasks lost to their lease, want at most a twentieth", r.LostToLease, r.Starts)
			}
			if t.Failed() {
				t.Logf("%+v", d.Faults)
				logTail(t, r.Log, 60)
			}
		})
	}
}

// TestDayResults checks that a result says what was served, and that a failing day is reduced to the
// fault that makes it fail.
func TestDayResults(t *testing.T) {
	d := GenerateDay(DayParams{Seed: 5, Machines: 40, Teams: 2, Controllers: 3, Jobs: 12, Minutes: 1, FaultCount: 4})
	r := RunDay(d, "")
	jobs := 0
	for _, g := range r.TeamGroups {
		jobs += g.Jobs
	}
	if len(r.Classes) == 0 || jobs == 0 || r.Starts == 0 || r.Cost <= 0 {
		t.Errorf("got empty result %+v, want classes, jobs, starts and costs", r)
	}
	// For this test a day fails if it has a certain fault.
	bad := d.Faults[2]
	less := Shrink(d, func(r DayResult) bool {
		for _, f := range r.Day.Faults {
			if f == bad {
				return true
			}
		}
		return false
	}, func(string) {})
	if len(less.Faults) != 1 || less.Faults[0] != bad {
		t.Errorf("got faults %v, want only %v", less.Faults, bad)
	}
}

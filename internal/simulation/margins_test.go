package simulation

import (
	"math/rand/v2"
	"path/filepath"
	"reflect"
	"strings"
	"testing"
	"time"

	"github.com/micahill/micahill/internal/message"
	"github.com/micahill/micahill/internal/model"
)

// newWaitingWorld returns a world without faults in which no task of job-000002 is ever started.
func newWaitingWorld(limit float64) *World {
	types, capacity := testTypes()
	set := testSettings()
	set.Teams[0].QuotaLimit.CPU = limit
	w := NewWorld(3, 3, set, testCancelWithin, types, capacity)
	w.faultsEndAt = w.now
	w.corruptEffect = func(e message.Effect) message.Effect {
		return dropStarts(e, func(o model.TaskCommand) bool { return o.Job == "job-000002" })
	}
	return w
}

// TestWaitingIsDetected checks that a job left waiting although a fitting machine has free capacity is a
// violation after 90 s, not earlier, and not if its team is at its quota limit or no machine fits.
func TestWaitingIsDetected(t *testing.T) {
	for _, c := range []struct {
		name     string
		limit    float64
		cpu      float64
		violated bool
	}{
		{"free capacity", 0, 1, true},
		{"at the quota limit", 2, 1, false},
		{"too large", 0, 30, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			w := newWaitingWorld(c.limit)
			w.Submit(longJob("job-000001", 2), time.Hour, false)
			w.Run(40 * time.Second)
			// Keep the machines that are there.
			w.cloudOutage = true
			s := longJob("job-000002", 1)
			s.Need.CPU = c.cpu
			w.Submit(s, time.Hour, false)
			w.Run(maxWaiting)
			checkNoViolations(t, w)
			w.Run(20 * time.Second)
			if got := strings.Contains(strings.Join(w.Violations, "\n"), RuleWaiting); got != c.violated {
				t.Errorf("got violation %v, want %v: %v, margins %v", got, c.violated, w.Violations, w.margins)
			}
			if _, ok := w.margins[RuleWaiting]; ok != c.violated {
				t.Errorf("got margin of waiting %v, want %v: %v", ok, c.violated, w.margins)
			}
		})
	}
}

// TestCancellationMargins checks that the margin of a cancellation is what the last task leaves of
// cancel_s, counted from the first answer that leaves a controller.
func TestCancellationMargins(t *testing.T) {
	w := newBusyWorld(t)
	const left = 12 * time.Second
	till := w.now.Add(w.cancelWithin - left)
	w.cloudOutage, w.settings.WorkerLease = true, time.Hour
	w.corruptEffect = func(e message.Effect) message.Effect {
		if w.now.Before(till) {
			return dropStops(e)
		}
		return e
	}
	w.Cancel("job-000001")
	w.Run(w.cancelWithin + time.Second)
	checkNoViolations(t, w)
	if got := w.margins[RuleCancelled].Remaining; got < left-5*time.Second || got > left+time.Second {
		t.Errorf("got margin %v, want about %v: %v", got, left, w.margins)
	}
}

// TestSavedDayReplays checks that a day saved to a file plays alike, with the same margins.
func TestSavedDayReplays(t *testing.T) {
	p := SearchProblem(DayParams{Machines: 20, Teams: 1, Minutes: 1}, func(DayResult) {})
	rng := rand.New(rand.NewPCG(1, 1))
	d := p.Mutate(rng, p.Generate(rng))
	file := filepath.Join(t.TempDir(), "day.json")
	if err := d.Save(file); err != nil {
		t.Fatal(err)
	}
	again, err := LoadDay(file)
	if err != nil {
		t.Fatal(err)
	}
	a, b := RunDay(d, ""), RunDay(again, "")
	if !reflect.DeepEqual(a.Margins, b.Margins) || a.Starts != b.Starts || !reflect.DeepEqual(a.Violations, b.Violations) {
		t.Errorf("got margins %v, %d starts, violations %v, replayed %v, %d starts, %v", a.Margins, a.Starts, a.Violations, b.Margins, b.Starts, b.Violations)
	}
	if len(a.Margins) == 0 {
		t.Error("got no margins, want some")
	}
}

// TestMutatedDays checks that mutations give valid days, and leave the original day as it was.
func TestMutatedDays(t *testing.T) {
	p := SearchProblem(DayParams{Teams: 2}, func(DayResult) {})
	rng := rand.New(rand.NewPCG(2, 1))
	d := p.Generate(rng)
	for range 2000 {
		faults, cancels := append([]Fault{}, d.Faults...), *d.Cancels
		next := p.Mutate(rng, d)
		if !reflect.DeepEqual(faults, d.Faults) || cancels != *d.Cancels {
			t.Fatal("got the original day changed by Mutate")
		}
		if len(next.Faults) == 0 || len(next.Faults) > maxSearchFaults {
			t.Fatalf("got %d faults, want 1 to %d", len(next.Faults), maxSearchFaults)
		}
		for i, f := range next.Faults {
			if f.At < firstSearchFault || f.At > max(next.latestFaultStart(), d.Faults[len(d.Faults)-1].At) || f.Duration < 0 || i > 0 && f.At < next.Faults[i-1].At {
				t.Fatalf("got fault %v out of bounds or order in %v", f, next.Faults)
			}
		}
		d = next
	}
}

// TestIdleMachinesGoToWaitingTeam checks that the idle machines of one team go to another team whose tasks
// wait, although these would not be late yet.
func TestIdleMachinesGoToWaitingTeam(t *testing.T) {
	types, _ := testTypes()
	// No machine is expensive, so idle ones are kept for a while.
	for i := range types {
		types[i].SpotCostPerHour = types[i].CostPerHour
	}
	w := NewWorld(3, 3, testSettings(), testCancelWithin, types, map[string]int{"small/a/false": 4})
	w.faultsEndAt = w.now
	s := longJob("job-000001", 3)
	s.Need.CPU, s.ExpectedRunTime = 4, time.Minute
	w.Submit(s, time.Minute, false)
	w.Run(20 * time.Second)
	s = longJob("job-000002", 5)
	s.Team, s.Need.CPU, s.ExpectedRunTime = "lab", 2, 110*time.Second
	w.Submit(s, s.ExpectedRunTime, false)
	w.Run(4 * time.Minute)
	checkNoViolations(t, w)
	first, j := w.jobs["job-000001"], w.jobs["job-000002"]
	idle := first.firstStarts[0].Add(first.run)
	for i := range s.Tasks {
		if at := j.firstStarts[i]; at.IsZero() || at.After(idle.Add(30*time.Second)) {
			t.Errorf("task %d: got start at %v, want within 30s after the machine was idle at %v", i, at.Sub(w.startedAt), idle.Sub(w.startedAt))
		}
	}
}

// TestWaitingBesideExpensiveMachine checks that a job that is not late yet, and may use nothing
// else for now, is not left waiting beside the free capacity of an expensive machine that is being
// decommissioned.
func TestWaitingBesideExpensiveMachine(t *testing.T) {
	types, _ := testTypes()
	w := NewWorld(3, 3, testSettings(), testCancelWithin, types, map[string]int{"big/a/false": 1})
	w.faultsEndAt = w.now
	long := longJob("job-000001", 20)
	w.Submit(long, time.Hour, false)
	w.Run(time.Minute)
	// The one machine that is not expensive is in use for a while.
	w.cloudCapacity["small/a/false"] = 1
	taken := longJob("job-000002", 1)
	taken.Need.CPU, taken.Need.Memory, taken.ExpectedRunTime = 4, 14, 150*time.Second
	taken.MachineTypes = []string{"small"}
	w.Submit(taken, taken.ExpectedRunTime, false)
	w.Run(40 * time.Second)
	s := longJob("job-000003", 2)
	s.Need.CPU, s.ExpectedRunTime = 2, 110*time.Second
	w.Submit(s, s.ExpectedRunTime, false)
	w.Run(3 * time.Minute)
	checkNoViolations(t, w)
	if left := w.margins[RuleWaiting].Remaining; left < maxWaiting/3 || left > maxWaiting-20*time.Second {
		t.Errorf("got margin %v, want %v to %v", w.margins[RuleWaiting], maxWaiting/3, maxWaiting-20*time.Second)
	}
}

// TestRoomOnAnotherOwnersMachine has two teams in different shards, and one machine that fits the second
// team's job beside the first team's long job: the second job must not be left waiting beside it.
//
// What happened: it waited for as long as the first job ran. Why: owners asked for and offered idle
// machines only. What showed it: the waiting owner asks the leader for one big machine from the 60th
// second on, which the cloud refuses, and is answered "surplus elsewhere: none" each second.
func TestRoomOnAnotherOwnersMachine(t *testing.T) {
	types, _ := testTypes()
	w := NewWorld(3, 3, testSettings(), testCancelWithin, types, map[string]int{"big/a/false": 1})
	w.faultsEndAt = w.now
	w.Submit(longJob("job-000001", 10), time.Hour, false)
	w.Run(time.Minute)
	s := longJob("job-000002", 2)
	s.Team, s.Need.CPU = "lab", 8
	w.Submit(s, time.Hour, false)
	w.Run(maxWaiting + 30*time.Second)
	checkNoViolations(t, w)
}

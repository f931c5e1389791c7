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

// newWaitingWorld returns a world without faults that drops every command to start a task of job-000002.
// limit is the CPU quota limit of team ops; 0 means no limit.
func newWaitingWorld(limit float64) *World {
	types, capacity := testTypes()
	settings := testSettings()
	settings.Teams[0].QuotaLimit.CPU = limit
	world := NewWorld(3, 3, settings, testCancelWithin, types, capacity)
	world.faultsEndAt = world.now
	world.corruptEffect = func(effect message.Effect) message.Effect {
		return dropStarts(effect, func(command model.TaskCommand) bool { return command.Job == "job-000002" })
	}
	return world
}

// TestWaitingIsDetected checks that a job that waits although a fitting machine has free capacity is a
// violation after maxWaiting (90 s) and not earlier. It is no violation if the team is at its quota limit or
// no machine fits.
func TestWaitingIsDetected(t *testing.T) {
	for _, test := range []struct {
		name     string
		limit    float64
		cpu      float64
		violated bool
	}{
		{"free capacity", 0, 1, true},
		{"at the quota limit", 2, 1, false},
		{"fits no machine", 0, 30, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			world := newWaitingWorld(test.limit)
			world.Submit(longJob("job-000001", 2), time.Hour, false)
			world.Run(40 * time.Second)
			// With the cloud unavailable, the existing machines stay and no others are added.
			world.cloudOutage = true
			spec := longJob("job-000002", 1)
			spec.Need.CPU = test.cpu
			world.Submit(spec, time.Hour, false)
			world.Run(maxWaiting)
			checkNoViolations(t, world)
			world.Run(20 * time.Second)
			if got := strings.Contains(strings.Join(world.Violations, "\n"), RuleWaiting); got != test.violated {
				t.Errorf("got violation %v, want %v: %v, margins %v", got, test.violated, world.Violations, world.margins)
			}
			if _, ok := world.margins[RuleWaiting]; ok != test.violated {
				t.Errorf("got a margin for waiting %v, want %v: %v", ok, test.violated, world.margins)
			}
		})
	}
}

// TestCancellationMargins checks the margin of a cancellation: the part of cancel_s that remains when the
// last task stops. The time counts from the moment at which the first answer leaves a controller.
func TestCancellationMargins(t *testing.T) {
	world := newBusyWorld(t)
	const left = 12 * time.Second
	lostUntil := world.now.Add(world.cancelWithin - left)
	world.cloudOutage, world.settings.WorkerLease = true, time.Hour
	world.corruptEffect = func(effect message.Effect) message.Effect {
		if world.now.Before(lostUntil) {
			return dropStops(effect)
		}
		return effect
	}
	world.Cancel("job-000001")
	world.Run(world.cancelWithin + time.Second)
	checkNoViolations(t, world)
	if got := world.margins[RuleCancelled].Remaining; got < left-5*time.Second || got > left+time.Second {
		t.Errorf("got cancellation margin %v, want about %v: %v", got, left, world.margins)
	}
}

// TestSavedDayReplays checks that a day that was saved to a file and loaded again gives the same margins,
// starts and violations as the original.
func TestSavedDayReplays(t *testing.T) {
	problem := SearchProblem(DayParams{Machines: 20, Teams: 1, Minutes: 1}, func(DayResult) {})
	rng := rand.New(rand.NewPCG(1, 1))
	day := problem.Mutate(rng, problem.Generate(rng))
	file := filepath.Join(t.TempDir(), "day.json")
	if err := day.Save(file); err != nil {
		t.Fatal(err)
	}
	loaded, err := LoadDay(file)
	if err != nil {
		t.Fatal(err)
	}
	original, replayed := RunDay(day, ""), RunDay(loaded, "")
	if !reflect.DeepEqual(original.Margins, replayed.Margins) || original.Starts != replayed.Starts || !reflect.DeepEqual(original.Violations, replayed.Violations) {
		t.Errorf("got margins %v, %d starts, violations %v, replayed: margins %v, %d starts, violations %v", original.Margins, original.Starts, original.Violations, replayed.Margins, replayed.Starts, replayed.Violations)
	}
	if len(original.Margins) == 0 {
		t.Error("got no margins, want some")
	}
}

// TestMutatedDays checks that Mutate returns valid days, with faults in order and within bounds, and does not
// modify the original day.
func TestMutatedDays(t *testing.T) {
	problem := SearchProblem(DayParams{Teams: 2}, func(DayResult) {})
	rng := rand.New(rand.NewPCG(2, 1))
	day := problem.Generate(rng)
	for range 2000 {
		faults, cancels := append([]Fault{}, day.Faults...), *day.Cancels
		next := problem.Mutate(rng, day)
		if !reflect.DeepEqual(faults, day.Faults) || cancels != *day.Cancels {
			t.Fatal("got the original day modified by Mutate, want it unchanged")
		}
		if len(next.Faults) == 0 || len(next.Faults) > maxSearchFaults {
			t.Fatalf("got %d faults, want 1 to %d", len(next.Faults), maxSearchFaults)
		}
		for i, fault := range next.Faults {
			if fault.At < firstSearchFault || fault.At > max(next.latestFaultStart(), day.Faults[len(day.Faults)-1].At) || fault.Duration < 0 || i > 0 && fault.At < next.Faults[i-1].At {
				t.Fatalf("got fault %v out of bounds or order in %v", fault, next.Faults)
			}
		}
		day = next
	}
}

// TestIdleMachinesGoToWaitingTeam checks that idle machines of one team go to another team with waiting tasks
// within 30 s, although those tasks would not be late yet.
func TestIdleMachinesGoToWaitingTeam(t *testing.T) {
	types, _ := testTypes()
	// No machine counts as expensive, so the controllers keep idle machines for a while.
	for i := range types {
		types[i].SpotCostPerHour = types[i].CostPerHour
	}
	world := NewWorld(3, 3, testSettings(), testCancelWithin, types, map[string]int{"small/a/false": 4})
	world.faultsEndAt = world.now
	spec := longJob("job-000001", 3)
	spec.Need.CPU, spec.ExpectedRunTime = 4, time.Minute
	world.Submit(spec, time.Minute, false)
	world.Run(20 * time.Second)
	spec = longJob("job-000002", 5)
	spec.Team, spec.Need.CPU, spec.ExpectedRunTime = "lab", 2, 110*time.Second
	world.Submit(spec, spec.ExpectedRunTime, false)
	world.Run(4 * time.Minute)
	checkNoViolations(t, world)
	firstJob, job := world.jobs["job-000001"], world.jobs["job-000002"]
	idleSince := firstJob.firstStarts[0].Add(firstJob.run)
	for i := range spec.Tasks {
		if at := job.firstStarts[i]; at.IsZero() || at.After(idleSince.Add(30*time.Second)) {
			t.Errorf("task %d: got start at %v, want within 30s after the machines became idle at %v", i, at.Sub(world.startedAt), idleSince.Sub(world.startedAt))
		}
	}
}

// TestWaitingBesideExpensiveMachine guards against a job that waits although an expensive machine that is
// being decommissioned has free capacity for it. The job is not late yet, and no other machine can run it for
// now.
func TestWaitingBesideExpensiveMachine(t *testing.T) {
	types, _ := testTypes()
	world := NewWorld(3, 3, testSettings(), testCancelWithin, types, map[string]int{"big/a/false": 1})
	world.faultsEndAt = world.now
	longRunning := longJob("job-000001", 20)
	world.Submit(longRunning, time.Hour, false)
	world.Run(time.Minute)
	// Another job occupies the only machine that is not expensive.
	world.cloudCapacity["small/a/false"] = 1
	occupying := longJob("job-000002", 1)
	occupying.Need.CPU, occupying.Need.Memory, occupying.ExpectedRunTime = 4, 14, 150*time.Second
	occupying.MachineTypes = []string{"small"}
	world.Submit(occupying, occupying.ExpectedRunTime, false)
	world.Run(40 * time.Second)
	spec := longJob("job-000003", 2)
	spec.Need.CPU, spec.ExpectedRunTime = 2, 110*time.Second
	world.Submit(spec, spec.ExpectedRunTime, false)
	world.Run(3 * time.Minute)
	checkNoViolations(t, world)
	if remaining := world.margins[RuleWaiting].Remaining; remaining < maxWaiting/3 || remaining > maxWaiting-20*time.Second {
		t.Errorf("got waiting margin %v, want %v to %v", world.margins[RuleWaiting], maxWaiting/3, maxWaiting-20*time.Second)
	}
}

// TestFreeCapacityOnMachineOfOtherShard has two teams in different shards and one machine, which can run the
// second team's job beside the first team's long job. It guards against the second job waiting as long as the
// first one runs. That happens if shard leaders request and offer idle machines only: the waiting shard
// leader asks the leader for a big machine from the 60th second on, the cloud refuses it, and the leader
// answers "surplus elsewhere: none" each second.
func TestFreeCapacityOnMachineOfOtherShard(t *testing.T) {
	types, _ := testTypes()
	world := NewWorld(3, 3, testSettings(), testCancelWithin, types, map[string]int{"big/a/false": 1})
	world.faultsEndAt = world.now
	world.Submit(longJob("job-000001", 10), time.Hour, false)
	world.Run(time.Minute)
	spec := longJob("job-000002", 2)
	spec.Team, spec.Need.CPU = "lab", 8
	world.Submit(spec, time.Hour, false)
	world.Run(maxWaiting + 30*time.Second)
	checkNoViolations(t, world)
}

package simulation

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/micahill/micahill/internal/message"
	"github.com/micahill/micahill/internal/model"
)

// dropStops removes the stop commands from an effect that a controller sends to a worker.
func dropStops(effect message.Effect) message.Effect {
	return dropCommands(effect, func(command model.TaskCommand) bool { return command.Kind == model.StopTask })
}

// TestCancelledInTime guards against a check of cancellations (ran_cancelled) that overlooks tasks which run
// for longer than cancel_s. The check measures from the answer that leaves a controller, even if no user
// receives it, and covers every machine until its lease ends. The test drops messages or hangs machines, and
// gives the workers a longer lease than the controllers assume.
func TestCancelledInTime(t *testing.T) {
	const id = "job-000001"
	for _, test := range []struct {
		name     string
		violated bool
		image    float64
		// prepare is called just before the user cancels the job.
		prepare func(*World)
	}{
		{"stop commands lost until shortly before the limit", false, 1, func(world *World) {
			lostUntil := world.now.Add(world.cancelWithin - 12*time.Second)
			world.corruptEffect = func(effect message.Effect) message.Effect {
				if world.now.Before(lostUntil) {
					return dropStops(effect)
				}
				return effect
			}
		}},
		{"stop commands lost until shortly after the limit", true, 1, func(world *World) {
			lostUntil := world.now.Add(world.cancelWithin + 2*time.Second)
			world.corruptEffect = func(effect message.Effect) message.Effect {
				if world.now.Before(lostUntil) {
					return dropStops(effect)
				}
				return effect
			}
		}},
		{"stop commands and answers to users lost", true, 1, func(world *World) {
			world.corruptEffect = dropStops
			world.partitionOneWay("*", "user", time.Hour)
		}},
		{"machines hang", true, 1, func(world *World) {
			for _, machine := range world.fleet {
				machine.hungUntil = world.now.Add(time.Hour)
			}
		}},
		{"machines hang while they fetch the image", true, 30, func(world *World) {
			for _, machine := range world.fleet {
				machine.hungUntil = world.now.Add(time.Hour)
			}
		}},
		{"machines unreachable", true, 1, func(world *World) { world.MakeUnreachable(sortedKeys(world.machines), time.Hour, false) }},
		{"machines partitioned", true, 1, func(world *World) {
			for id := range world.machines {
				world.Partition(id, "*", time.Hour, false)
			}
		}},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			world := newTestWorld(3)
			world.Submit(model.JobSpec{ID: id, Workload: "batch", Team: "ops", Urgency: model.Normal, Tasks: 2, Need: model.Resources{CPU: 2, Memory: 2},
				Image: "i", ImageGB: test.image, ExpectedRunTime: time.Hour}, time.Hour, false)
			world.Run(50 * time.Second)
			// Keep machines from being released and their leases from expiring: either would end the tasks.
			world.cloudOutage, world.settings.WorkerLease = true, time.Hour
			test.prepare(world)
			world.Cancel(id)
			world.Run(world.cancelWithin - time.Second)
			if len(world.Violations) > 0 {
				t.Errorf("got violations %v before cancel_s is over, want none", world.Violations)
			}
			world.Run(20 * time.Second)
			if got := strings.Contains(strings.Join(world.Violations, "\n"), "ran_cancelled"); got != test.violated {
				t.Errorf("got a violation of ran_cancelled %v, want %v: state %q, confirmed at %v, violations %v", got, test.violated, world.jobs[id].lastState, world.jobs[id].cancelledAt, world.Violations)
			}
		})
	}
}

// TestOverlapChecksDetectCorruption guards against a check after the day that does not query each job by
// itself, cancelled jobs included, or does not query each controller separately. It drops the answers about
// cancelled jobs or the answers of one controller, which the check must report.
func TestOverlapChecksDetectCorruption(t *testing.T) {
	day := GenerateDay(DayParams{Seed: 4, Machines: 60, Teams: 2, Controllers: 3, Jobs: 40, Minutes: 1, HotFactor: 1, OverlappingFaults: true})
	day.Faults = []Fault{{Kind: "crash", At: 40 * time.Second, Duration: 5 * time.Second}}
	day.Cancels = &MassCancel{Workload: "import", Fraction: 1, At: 35 * time.Second, Duration: 20 * time.Second}
	cancelled := 0
	uncorrupted := day.run("", func(world *World, effect message.Effect) message.Effect {
		if reply, ok := effect.(message.UserReply); ok && reply.State == "cancelled" {
			cancelled++
		}
		return effect
	})
	if len(uncorrupted.Violations) > 0 || cancelled == 0 {
		t.Fatalf("uncorrupted day: got %d answers about cancelled jobs and violations %v, want some answers and no violations", cancelled, uncorrupted.Violations)
	}
	for _, test := range []struct {
		name string
		// corrupt changes an effect once the day's faults are over.
		corrupt func(*World, message.Effect) message.Effect
	}{
		{"answers about cancelled jobs lost", func(_ *World, effect message.Effect) message.Effect {
			if reply, ok := effect.(message.UserReply); ok && reply.State == "cancelled" {
				return nil
			}
			return effect
		}},
		{"answers of one controller lost", func(world *World, effect message.Effect) message.Effect {
			if world.oneWayPartitions["node-1>user"] == 0 {
				world.partitionOneWay("node-1", "user", time.Hour)
			}
			return effect
		}},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			result := day.run("", func(world *World, effect message.Effect) message.Effect {
				if world.now.Before(world.faultsEndAt.Add(20 * time.Second)) {
					return effect
				}
				return test.corrupt(world, effect)
			})
			if !strings.Contains(strings.Join(result.Violations, "\n"), "forgotten") {
				t.Errorf("got violations %v, want one of forgotten", result.Violations)
			}
		})
	}
}

// TestOverlappingFaults simulates a few random days on which faults overlap. It guards against violated
// invariants and starved jobs on such days. The command micahill-lab days --meetings simulates many more.
func TestOverlappingFaults(t *testing.T) {
	for seed := range dayCount(t, 5, 2) {
		t.Run(fmt.Sprint(seed+1), func(t *testing.T) {
			t.Parallel()
			day := GenerateDay(DayParams{Seed: seed + 1, Machines: 40, OverlappingFaults: true})
			result := RunDay(day, "")
			reportViolations(t, append(result.Violations, result.Starved()...))
			if t.Failed() {
				t.Logf("cancels %v, faults %v", day.Cancels, day.Faults)
				logTail(t, result.Log, 60)
			}
		})
	}
}

// TestOverlapsUseOwnGenerator guards against overlapping faults that change the rest of the day, because they
// aren't drawn from a random generator of their own, and against faults that don't overlap. Only a crash of
// all controllers at the end may come later.
func TestOverlapsUseOwnGenerator(t *testing.T) {
	kinds := map[string]bool{}
	for seed := range uint64(200) {
		with, without := GenerateDay(DayParams{Seed: seed, OverlappingFaults: true}), GenerateDay(DayParams{Seed: seed})
		if fmt.Sprint(with.Settings) != fmt.Sprint(without.Settings) || with.Jobs != without.Jobs {
			t.Fatalf("day %d: got other settings or jobs with overlapping faults, want the same", seed)
		}
		// A day has two or three overlapping faults, on some days one more, and on some a crash of all
		// controllers.
		if len(with.Faults) < 2 || len(with.Faults) > 5 || with.Cancels == nil {
			t.Fatalf("day %d: got faults %v, cancels %v, want 2 to 5 faults and cancels", seed, with.Faults, with.Cancels)
		}
		for _, fault := range with.Faults {
			kinds[fault.Kind] = true
			if fault.Immediate || fault.ForNextLeader {
				kinds[fault.Kind+map[bool]string{true: ".at_once", false: ".for_next"}[fault.Immediate]] = true
			}
			if fault.At-with.Faults[0].At > maxFaultSpacing && (fault.Kind != "crash_all" || fault != with.Faults[len(with.Faults)-1]) {
				t.Errorf("day %d: got faults %v, want them to overlap", seed, with.Faults)
			}
		}
	}
	for _, k := range append(slices.Clone(overlapFaultKinds), extraFaultKinds...) {
		if !kinds[k] {
			t.Errorf("got no fault %s on 200 days, want at least one", k)
		}
	}
}

// TestLateWrites delays one transaction and not the next one of the same controller. It guards against a
// late_writes fault that applies the delayed transaction before the newer one.
func TestLateWrites(t *testing.T) {
	world := newTestWorld(1)
	world.Run(20 * time.Second)
	value := []byte{0x80}
	world.DelayWrites(1, time.Second)
	process := world.controllers[0]
	write := func(key string) {
		process.sendStoreRequest(message.StoreRequest{ID: 1 << 40, Kind: message.OpTxn, Writes: []message.Write{{Key: key, Value: value}}}, world.now.Add(time.Minute))
	}
	exists := func(key string) bool { return world.state.records[key] != nil }
	write("x/old")
	world.Run(time.Second)
	write("x/new")
	world.Run(900 * time.Millisecond)
	if exists("x/old") || !exists("x/new") {
		t.Errorf("after 1.9 s: got old record %v, new record %v, want only the new one", exists("x/old"), exists("x/new"))
	}
	world.Run(maxWriteDelay)
	if !exists("x/old") || world.state.records["x/old"].modRevision < world.state.records["x/new"].modRevision {
		t.Errorf("got the old record missing or with a lower revision than the new one, want a higher revision")
	}
}

// TestRefusedOutage injects a refused_outage fault: the state service first refuses one controller, whose
// watches deliver nothing, and then is out for all controllers. It guards against a fault that skips one of
// the two phases or loses leases in the state service.
func TestRefusedOutage(t *testing.T) {
	world := newTestWorld(1)
	world.Run(20 * time.Second)
	process := world.controllers[world.leaderIndex(0)]
	watched := 0
	process.openWatch(message.StoreRequest{Kind: message.OpWatch, Key: "x/", Revision: world.state.revision, WatchTimeout: time.Hour}, world.now.Add(time.Hour), func(message.StoreResponse) { watched++ })
	world.startOverlapFault(Fault{Kind: "refused_outage", Controller: process.index, Delay: 2 * time.Second, Duration: time.Minute})
	world.Run(time.Second)
	if !process.stateRefused || world.stateOutage {
		t.Errorf("got controller refused %v, outage %v, want only the controller refused", process.stateRefused, world.stateOutage)
	}
	world.state.txn(message.StoreRequest{Writes: []message.Write{{Key: "x/1", Value: []byte{0x80}}}}, &message.StoreResponse{})
	world.Run(time.Second)
	leases := len(world.state.leases)
	world.Run(50 * time.Second)
	if !world.stateOutage || watched > 0 || len(world.state.leases) != leases {
		t.Errorf("got outage %v, %d watch responses, %d leases, want an outage, no watch responses and %d leases", world.stateOutage, watched, len(world.state.leases), leases)
	}
	world.Run(15 * time.Second)
	if world.stateOutage || process.stateRefused || watched != 1 {
		t.Errorf("after the outage: got outage %v, refused %v, %d watch responses, want false, false and 1", world.stateOutage, process.stateRefused, watched)
	}
}

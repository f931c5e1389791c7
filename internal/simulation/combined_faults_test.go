package simulation

import (
	"fmt"
	"maps"
	"slices"
	"sync/atomic"
	"testing"
	"time"

	"github.com/micahill/micahill/internal/message"
	"github.com/micahill/micahill/internal/model"
)

// The tests in the files combined_*_test.go inject two faults at the same time. Each test also fails
// if the intended overlap of the two faults did not occur.

// confirmationCounts counts the confirmed cancellations before, during and after a takeover or a team
// migration.
type confirmationCounts struct {
	// before counts the cancellations confirmed before the takeover began, during the ones confirmed
	// while no controller led the shard, and after the ones confirmed in the two seconds after the
	// takeover.
	before, during, after atomic.Int64
}

// count counts a confirmation at the time at, for a takeover that lasted from the time from to the
// time to.
func (counts *confirmationCounts) count(at, from, to time.Time) {
	switch {
	case at.Before(from):
		counts.before.Add(1)
	case at.Before(to):
		counts.during.Add(1)
	case at.Before(to.Add(2 * time.Second)):
		counts.after.Add(1)
	}
}

// checkCovered fails the test unless there were confirmations before, during and after the takeover.
func (counts *confirmationCounts) checkCovered(t *testing.T) {
	t.Helper()
	t.Logf("confirmed: %d before, %d during, %d right after", counts.before.Load(), counts.during.Load(), counts.after.Load())
	if counts.before.Load() == 0 || counts.during.Load() == 0 || counts.after.Load() == 0 {
		t.Error("got no confirmation before, during or after the takeover, want some of each")
	}
}

// TestCancelledDuringTakeover crashes a shard leader and cancels the jobs of its shard, every 400 ms
// from shortly before the crash until after the takeover. It runs once with all machines reachable and
// once with some of them partitioned for 20 s. It guards against cancelled tasks that the next shard
// leader lets run on.
func TestCancelledDuringTakeover(t *testing.T) {
	var counts confirmationCounts
	t.Run("offsets", func(t *testing.T) {
		for _, step := range sampleCases(22, 8) {
			for _, partitioned := range []bool{false, true} {
				offset := time.Duration(step-2) * 400 * time.Millisecond
				t.Run(fmt.Sprintf("%v partitioned=%v", offset, partitioned), func(t *testing.T) {
					t.Parallel()
					world := newTestWorldOfSize(uint64(step), 3)
					ids := world.submitMany("x", "ops", 6, 2, 2, 10*time.Minute)
					world.Run(60 * time.Second)
					shardLeader := world.shardLeaderOf("ops")
					if partitioned {
						for _, machine := range world.machinesRunning(ids[0]) {
							world.Partition(machine.ID, "*", 20*time.Second, step%2 == 0)
						}
					}
					last := world.trackLastRun(ids...)
					from := world.now.Add(time.Second)
					world.schedule(time.Second, func() { world.CrashController(shardLeader, 5*time.Second) })
					world.schedule(time.Second+offset, func() {
						for _, id := range ids {
							world.Cancel(id)
						}
					})
					if world.waitUntil(20*time.Second, func() bool { return world.shardLeaderOf("ops") != shardLeader }) < 0 {
						t.Fatal("got no takeover within 20s")
					}
					to := world.now
					limit := maxStopTime
					if partitioned {
						limit = world.cancelWithin
					}
					checkStoppedWithin(t, world, last, limit)
					for _, id := range ids {
						counts.count(world.jobs[id].cancelledAt, from, to)
					}
					world.Run(time.Minute)
					checkNoViolations(t, world)
				})
			}
		}
	})
	counts.checkCovered(t)
}

// TestCancelledAtStepsOfTakeover cancels jobs just before a controller sends the message of one step of
// the takeover. It guards against a cancellation that is lost between two steps.
func TestCancelledAtStepsOfTakeover(t *testing.T) {
	steps := maps.Clone(pausePoints)
	steps["ready"] = func(effect message.Effect) bool {
		entry, ok := effect.(message.Log)
		return ok && entry.Message == "shard leader ready"
	}
	for _, step := range []string{"claim", "share", "read", "epoch", "ready", "report"} {
		for _, all := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s all=%v", step, all), func(t *testing.T) {
				t.Parallel()
				world := newTestWorldOfSize(9, 3)
				ids := world.submitMany("x", "ops", 8, 2, 2, 10*time.Minute)
				world.Run(60 * time.Second)
				last := world.trackLastRun(ids...)
				// Crash the shard leader and the leader, or all controllers.
				for i := range world.controllers {
					if all || i == world.shardLeaderOf("ops") || i == world.leaderIndex(0) {
						world.CrashController(i, 2*time.Second)
					}
				}
				reached := false
				world.corruptEffect = func(effect message.Effect) message.Effect {
					if !reached && steps[step](effect) {
						reached = true
						for _, id := range ids {
							world.Cancel(id)
						}
					}
					return effect
				}
				if world.waitUntil(20*time.Second, func() bool { return reached }) < 0 {
					t.Fatalf("got no step %s within 20s", step)
				}
				checkStoppedWithin(t, world, last, maxStopTime)
				world.Run(time.Minute)
				checkNoViolations(t, world)
			})
		}
	}
}

// TestCancelledDuringTeamMigration restarts a controller, to which a team then migrates, and cancels the
// jobs of all teams every 250 ms around that migration. It guards against a cancellation that is lost
// between the old and the new shard leader of a team.
func TestCancelledDuringTeamMigration(t *testing.T) {
	// simulate runs the world and cancels all jobs at a time after the restart; 0 means never.
	simulate := func(cancel time.Duration) (world *World, last map[string]time.Time, moved []time.Time) {
		world = newRebalancingWorld(t, 3, 4)
		var ids []string
		for k := range 4 {
			ids = append(ids, world.submitMany(fmt.Sprintf("%c", 'a'+k), fmt.Sprintf("team-%c", 'a'+k), 3, 2, 2, 10*time.Minute)...)
		}
		world.Run(50 * time.Second)
		world.CrashController(2, 30*time.Second)
		world.Run(32 * time.Second)
		from := world.now
		last = world.trackLastRun(ids...)
		if cancel > 0 {
			world.schedule(cancel, func() {
				for _, id := range ids {
					world.Cancel(id)
				}
			})
		}
		world.Run(max(cancel, 45*time.Second))
		for k := range 4 {
			moved = append(moved, world.teamMigrations(fmt.Sprintf("team-%c", 'a'+k), from)...)
		}
		slices.SortFunc(moved, time.Time.Compare)
		return world, last, moved
	}
	withoutCancel, _, moved := simulate(0)
	if len(moved) == 0 {
		t.Fatal("got no migration of a team, want one")
	}
	planned := moved[0].Sub(withoutCancel.startedAt.Add(82 * time.Second))
	var counts confirmationCounts
	t.Run("offsets", func(t *testing.T) {
		for _, step := range sampleCases(10, 5) {
			offset := time.Duration(step-5) * 250 * time.Millisecond
			t.Run(fmt.Sprint(offset), func(t *testing.T) {
				t.Parallel()
				world, last, moved := simulate(planned + offset)
				if len(moved) == 0 {
					t.Fatal("got no migration of a team, want one")
				}
				checkStoppedWithin(t, world, last, maxStopTime)
				for _, id := range sortedKeys(last) {
					counts.count(world.jobs[id].cancelledAt, moved[0].Add(-300*time.Millisecond), moved[0])
				}
				world.Run(time.Minute)
				checkNoViolations(t, world)
			})
		}
	})
	counts.checkCovered(t)
}

// TestLimitsWhileLeadersChange cancels jobs of teams that are at their quota limits, while the machines
// of these jobs hang or are partitioned, and crashes the leader and all shard leaders. A task that may
// still run counts against the quota limit until it is known to have stopped. Jobs that wait for the
// quota then start within seconds.
func TestLimitsWhileLeadersChange(t *testing.T) {
	const limit, hangTime, partitionTime = 40, 15 * time.Second, 40 * time.Second
	for seed := range dayCount(t, 6, 4) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			set := testSettings()
			set.Teams = []model.Team{{Name: "ops", QuotaLimit: model.Resources{CPU: limit}}, {Name: "lab", QuotaLimit: model.Resources{CPU: limit}}}
			world := newSmallWorld(seed, set)
			runningJobs := map[string][]string{}
			for _, team := range []string{"ops", "lab"} {
				runningJobs[team] = world.submitMany(team+"r", team, limit/4, 1, 4, 10*time.Minute)
			}
			world.Run(60 * time.Second)
			for _, team := range []string{"ops", "lab"} {
				world.submitMany(team+"w", team, 4, 1, 4, 5*time.Minute)
			}
			world.Run(10 * time.Second)
			leader := world.leaderName()
			// While the cloud is out, the release of a machine can't prove that its tasks have stopped.
			// Only the machine itself can.
			if world.cloudOutage = seed%2 == 1; world.cloudOutage {
				world.schedule(partitionTime+10*time.Second, func() { world.cloudOutage = false })
			}
			for _, team := range []string{"ops", "lab"} {
				for i, id := range runningJobs[team][:4] {
					machine := world.machinesRunning(id)[0]
					if i%2 == 0 {
						machine.hungUntil = world.now.Add(hangTime)
					} else {
						world.Partition(machine.ID, "*", partitionTime, seed%3 == 0)
					}
					world.schedule(100*time.Millisecond, func() { world.Cancel(id) })
				}
			}
			world.Run(800 * time.Millisecond)
			for i := range world.controllers {
				if i == world.shardLeaderOf("ops") || i == world.shardLeaderOf("lab") || i == world.leaderIndex(0) {
					world.CrashController(i, 5*time.Second)
				}
			}
			world.Run(7 * time.Second)
			for _, team := range []string{"ops", "lab"} {
				for _, id := range runningJobs[team][:4] {
					if world.runningTasks(id) != 1 || world.jobs[id].cancelledAt.IsZero() {
						t.Errorf("%s: got state %q with %d running tasks, want cancelled with 1", id, world.jobs[id].lastState, world.runningTasks(id))
					}
				}
				if world.teamUsage[team].CPU != limit {
					t.Errorf("%s: got usage %v, want %d cores", team, world.teamUsage[team], limit)
				}
			}
			if now := world.leaderName(); now == leader || now == "" {
				t.Errorf("got leader %q, want a controller other than %s", now, leader)
			}
			tasksStarted := func(count int) func() bool {
				return func() bool {
					for _, team := range []string{"ops", "lab"} {
						started := 0
						for i := range 4 {
							started += len(world.jobs[fmt.Sprintf("job-%sw%03d", team, i)].firstStarts)
						}
						if started < count {
							return false
						}
					}
					return true
				}
			}
			first, second := world.waitUntil(time.Minute, tasksStarted(2)), world.waitUntil(2*time.Minute, tasksStarted(4))
			t.Logf("waiting jobs use the capacity of hung machines after %v, of partitioned machines after %v", first, first+second)
			if hung := hangTime - 7800*time.Millisecond; first < 0 || first > hung+6*time.Second {
				t.Errorf("got the capacity of hung machines used after %v, want soon after they resume at %v", first, hung)
			}
			// The margin allows five seconds until the next heartbeat and two to fetch the image.
			if healed := partitionTime - 7800*time.Millisecond; second < 0 || first+second > healed+8*time.Second {
				t.Errorf("got the capacity of partitioned machines used after %v, want soon after they are back at %v", first+second, healed)
			}
			world.Run(time.Minute)
			checkNoViolations(t, world)
		})
	}
}

// TestNewMachinesWhileWritesLag rents machines that are ready within two seconds and get tasks at once,
// while half of the transactions time out and are applied seconds later. Then the leader and the shard
// leader crash. The test guards against a new shard leader that does not know the running tasks, and so
// starts a task twice or loses it.
func TestNewMachinesWhileWritesLag(t *testing.T) {
	var covered atomic.Int64
	cases := sampleCases(24, 8)
	t.Run("offsets", func(t *testing.T) {
		for _, step := range cases {
			offset := time.Duration(step) * 250 * time.Millisecond
			t.Run(fmt.Sprint(offset), func(t *testing.T) {
				t.Parallel()
				types, _ := testTypes()
				for i := range types {
					types[i].ProvisioningTime = 1500 * time.Millisecond
				}
				world := NewWorld(uint64(step), 3, testSettings(), testCancelWithin, types, map[string]int{"small/a/false": 15, "small/b/false": 15})
				world.Run(20 * time.Second)
				world.DelayWrites(0.5, 15*time.Second)
				world.submitMany("x", "ops", 10, 2, 4, time.Minute)
				ready := func() bool {
					return slices.ContainsFunc(world.fleet, func(machine *Worker) bool { return machine.incarnation > 0 })
				}
				if world.waitUntil(30*time.Second, ready) < 0 {
					t.Fatal("got no ready machine within 30s")
				}
				world.Run(offset)
				hasNewMachine := slices.ContainsFunc(world.fleet, func(machine *Worker) bool {
					return len(machine.tasks) > 0 && world.now.Sub(machine.upAt) < 3*time.Second
				})
				covered.Add(int64(boolInt(hasNewMachine && world.now.Before(world.lateWritesUntil))))
				leader, shardLeader := world.leaderIndex(0), world.shardLeaderOf("ops")
				world.CrashController(leader, 5*time.Second)
				world.CrashController(shardLeader, 5*time.Second)
				world.Run(4 * time.Minute)
				if world.Starts != 20 {
					t.Errorf("got %d starts, want 20", world.Starts)
				}
				checkFinalAnswers(t, world, false)
				checkNoViolations(t, world)
			})
		}
	})
	t.Logf("%d of %d crashes while writes were delayed and a new machine had tasks", covered.Load(), len(cases))
	if int(covered.Load()) < len(cases)/3 {
		t.Errorf("got %d of %d crashes while writes were delayed and a new machine had tasks, want at least a third", covered.Load(), len(cases))
	}
}

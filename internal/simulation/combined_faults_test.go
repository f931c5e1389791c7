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

// The tests of the files combined_*_test.go bring two faults about at the same time. Each test
// also fails if its case did not come about.

// confirmationCounts counts confirmed cancellations by when they fell relative to a takeover.
type confirmationCounts struct {
	// before counts those confirmed before the takeover began, during those confirmed while no
	// controller led the shard, and after those confirmed within two seconds after.
	before, during, after atomic.Int64
}

// count counts a confirmation at a time, relative to a takeover from one time to another.
func (h *confirmationCounts) count(at, from, to time.Time) {
	switch {
	case at.Before(from):
		h.before.Add(1)
	case at.Before(to):
		h.during.Add(1)
	case at.Before(to.Add(2 * time.Second)):
		h.after.Add(1)
	}
}

// checkCovered checks that there were confirmations before, during and after the takeover.
func (h *confirmationCounts) checkCovered(t *testing.T) {
	t.Helper()
	t.Logf("confirmed: %d before, %d during, %d right after", h.before.Load(), h.during.Load(), h.after.Load())
	if h.before.Load() == 0 || h.during.Load() == 0 || h.after.Load() == 0 {
		t.Error("got no confirmation before, during or after the takeover, want some of each")
	}
}

// TestCancelledDuringTakeover kills a shard leader and cancels its jobs at each moment of the
// takeover, with machines that are reachable and with some that are partitioned for a while.
func TestCancelledDuringTakeover(t *testing.T) {
	var h confirmationCounts
	t.Run("offsets", func(t *testing.T) {
		for _, step := range sampleCases(22, 8) {
			for _, cut := range []bool{false, true} {
				offset := time.Duration(step-2) * 400 * time.Millisecond
				t.Run(fmt.Sprintf("%v cut=%v", offset, cut), func(t *testing.T) {
					t.Parallel()
					w := newTestWorldOfSize(uint64(step), 3)
					ids := w.submitMany("x", "ops", 6, 2, 2, 10*time.Minute)
					w.Run(60 * time.Second)
					shardLeader := w.shardLeaderOf("ops")
					if cut {
						for _, m := range w.machinesRunning(ids[0]) {
							w.Partition(m.ID, "*", 20*time.Second, step%2 == 0)
						}
					}
					last := w.trackLastRun(ids...)
					from := w.now.Add(time.Second)
					w.schedule(time.Second, func() { w.CrashController(shardLeader, 5*time.Second) })
					w.schedule(time.Second+offset, func() {
						for _, id := range ids {
							w.Cancel(id)
						}
					})
					if w.waitUntil(20*time.Second, func() bool { return w.shardLeaderOf("ops") != shardLeader }) < 0 {
						t.Fatal("got no takeover within 20s")
					}
					to := w.now
					limit := maxStopTime
					if cut {
						limit = w.cancelWithin
					}
					checkStoppedWithin(t, w, last, limit)
					for _, id := range ids {
						h.count(w.jobs[id].cancelledAt, from, to)
					}
					w.Run(time.Minute)
					checkNoViolations(t, w)
				})
			}
		}
	})
	h.checkCovered(t)
}

// TestCancelledAtStepsOfTakeover sends the cancellations at the moment at which a controller takes a
// step of the takeover.
func TestCancelledAtStepsOfTakeover(t *testing.T) {
	steps := maps.Clone(pausePoints)
	steps["ready"] = func(e message.Effect) bool { l, ok := e.(message.Log); return ok && l.Message == "shard leader ready" }
	for _, step := range []string{"claim", "share", "read", "epoch", "ready", "report"} {
		for _, all := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s all=%v", step, all), func(t *testing.T) {
				t.Parallel()
				w := newTestWorldOfSize(9, 3)
				ids := w.submitMany("x", "ops", 8, 2, 2, 10*time.Minute)
				w.Run(60 * time.Second)
				last := w.trackLastRun(ids...)
				// The shard leader and the leader, or all controllers.
				for i := range w.controllers {
					if all || i == w.shardLeaderOf("ops") || i == w.leaderIndex(0) {
						w.CrashController(i, 2*time.Second)
					}
				}
				reached := false
				w.corruptEffect = func(e message.Effect) message.Effect {
					if !reached && steps[step](e) {
						reached = true
						for _, id := range ids {
							w.Cancel(id)
						}
					}
					return e
				}
				if w.waitUntil(20*time.Second, func() bool { return reached }) < 0 {
					t.Fatalf("got no step %s within 20s", step)
				}
				checkStoppedWithin(t, w, last, maxStopTime)
				w.Run(time.Minute)
				checkNoViolations(t, w)
			})
		}
	}
}

// TestCancelledDuringTeamMigration restarts a controller, which is given a team, and cancels jobs of that
// team at each moment of the migration.
func TestCancelledDuringTeamMigration(t *testing.T) {
	// play cancels all jobs at a time after the restart; 0 means never.
	play := func(cancel time.Duration) (w *World, last map[string]time.Time, moved []time.Time) {
		w = newRebalancingWorld(t, 3, 4)
		var ids []string
		for k := range 4 {
			ids = append(ids, w.submitMany(fmt.Sprintf("%c", 'a'+k), fmt.Sprintf("team-%c", 'a'+k), 3, 2, 2, 10*time.Minute)...)
		}
		w.Run(50 * time.Second)
		w.CrashController(2, 30*time.Second)
		w.Run(32 * time.Second)
		from := w.now
		last = w.trackLastRun(ids...)
		if cancel > 0 {
			w.schedule(cancel, func() {
				for _, id := range ids {
					w.Cancel(id)
				}
			})
		}
		w.Run(max(cancel, 45*time.Second))
		for k := range 4 {
			moved = append(moved, w.teamMigrations(fmt.Sprintf("team-%c", 'a'+k), from)...)
		}
		slices.SortFunc(moved, time.Time.Compare)
		return w, last, moved
	}
	plain, _, moved := play(0)
	if len(moved) == 0 {
		t.Fatal("got no migration of a team, want one")
	}
	planned := moved[0].Sub(plain.startedAt.Add(82 * time.Second))
	var h confirmationCounts
	t.Run("offsets", func(t *testing.T) {
		for _, step := range sampleCases(10, 5) {
			offset := time.Duration(step-5) * 250 * time.Millisecond
			t.Run(fmt.Sprint(offset), func(t *testing.T) {
				t.Parallel()
				w, last, moved := play(planned + offset)
				if len(moved) == 0 {
					t.Fatal("got no migration of a team, want one")
				}
				checkStoppedWithin(t, w, last, maxStopTime)
				for _, id := range sortedKeys(last) {
					h.count(w.jobs[id].cancelledAt, moved[0].Add(-300*time.Millisecond), moved[0])
				}
				w.Run(time.Minute)
				checkNoViolations(t, w)
			})
		}
	})
	h.checkCovered(t)
}

// TestLimitsWhileLeadersChange cancels jobs of teams at their quota limits, whose machines hang or are
// partitioned, and kills the leader and all shard leaders. What may still run counts against the limit
// until it is known to have stopped; then waiting jobs start within seconds.
func TestLimitsWhileLeadersChange(t *testing.T) {
	const limit, hang, cut = 40, 15 * time.Second, 40 * time.Second
	for seed := range dayCount(t, 6, 4) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			set := testSettings()
			set.Teams = []model.Team{{Name: "ops", QuotaLimit: model.Resources{CPU: limit}}, {Name: "lab", QuotaLimit: model.Resources{CPU: limit}}}
			w := newSmallWorld(seed, set)
			run := map[string][]string{}
			for _, team := range []string{"ops", "lab"} {
				run[team] = w.submitMany(team+"r", team, limit/4, 1, 4, 10*time.Minute)
			}
			w.Run(60 * time.Second)
			for _, team := range []string{"ops", "lab"} {
				w.submitMany(team+"w", team, 4, 1, 4, 5*time.Minute)
			}
			w.Run(10 * time.Second)
			leader := w.leaderName()
			// Without the cloud no release proves that tasks have stopped, only the machine does.
			if w.cloudOutage = seed%2 == 1; w.cloudOutage {
				w.schedule(cut+10*time.Second, func() { w.cloudOutage = false })
			}
			for _, team := range []string{"ops", "lab"} {
				for i, id := range run[team][:4] {
					m := w.machinesRunning(id)[0]
					if i%2 == 0 {
						m.hungUntil = w.now.Add(hang)
					} else {
						w.Partition(m.ID, "*", cut, seed%3 == 0)
					}
					w.schedule(100*time.Millisecond, func() { w.Cancel(id) })
				}
			}
			w.Run(800 * time.Millisecond)
			for i := range w.controllers {
				if i == w.shardLeaderOf("ops") || i == w.shardLeaderOf("lab") || i == w.leaderIndex(0) {
					w.CrashController(i, 5*time.Second)
				}
			}
			w.Run(7 * time.Second)
			for _, team := range []string{"ops", "lab"} {
				for _, id := range run[team][:4] {
					if w.runningTasks(id) != 1 || w.jobs[id].cancelledAt.IsZero() {
						t.Errorf("%s: got state %q with %d running tasks, want cancelled with 1", id, w.jobs[id].lastState, w.runningTasks(id))
					}
				}
				if w.teamUsage[team].CPU != limit {
					t.Errorf("%s: got usage %v, want %d cores", team, w.teamUsage[team], limit)
				}
			}
			if now := w.leaderName(); now == leader || now == "" {
				t.Errorf("got leader %q, want another one than %s", now, leader)
			}
			served := func(n int) func() bool {
				return func() bool {
					for _, team := range []string{"ops", "lab"} {
						began := 0
						for i := range 4 {
							began += len(w.jobs[fmt.Sprintf("job-%sw%03d", team, i)].firstStarts)
						}
						if began < n {
							return false
						}
					}
					return true
				}
			}
			first, second := w.waitUntil(time.Minute, served(2)), w.waitUntil(2*time.Minute, served(4))
			t.Logf("waiting jobs use the capacity of hung machines after %v, of partitioned ones after %v", first, first+second)
			if hung := hang - 7800*time.Millisecond; first < 0 || first > hung+6*time.Second {
				t.Errorf("got the capacity of hung machines used after %v, want soon after they resume at %v", first, hung)
			}
			// Five seconds until the next heartbeat, two for the image.
			if healed := cut - 7800*time.Millisecond; second < 0 || first+second > healed+8*time.Second {
				t.Errorf("got the capacity of partitioned machines used after %v, want soon after they are back at %v", first+second, healed)
			}
			w.Run(time.Minute)
			checkNoViolations(t, w)
		})
	}
}

// TestNewMachinesWhileWritesLag has machines that are ready within two seconds of their rental and get
// tasks at once, while half of the transactions time out and are applied seconds later; then the leader
// and the shard leader crash. The successor takes over what runs: nothing runs twice or is lost.
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
				w := NewWorld(uint64(step), 3, testSettings(), testCancelWithin, types, map[string]int{"small/a/false": 15, "small/b/false": 15})
				w.Run(20 * time.Second)
				w.DelayWrites(0.5, 15*time.Second)
				w.submitMany("x", "ops", 10, 2, 4, time.Minute)
				ready := func() bool {
					return slices.ContainsFunc(w.fleet, func(m *Worker) bool { return m.incarnation > 0 })
				}
				if w.waitUntil(30*time.Second, ready) < 0 {
					t.Fatal("got no ready machine within 30s")
				}
				w.Run(offset)
				fresh := slices.ContainsFunc(w.fleet, func(m *Worker) bool { return len(m.tasks) > 0 && w.now.Sub(m.upAt) < 3*time.Second })
				covered.Add(int64(boolInt(fresh && w.now.Before(w.lateWritesUntil))))
				leader, shardLeader := w.leaderIndex(0), w.shardLeaderOf("ops")
				w.CrashController(leader, 5*time.Second)
				w.CrashController(shardLeader, 5*time.Second)
				w.Run(4 * time.Minute)
				if w.Starts != 20 {
					t.Errorf("got %d starts, want 20", w.Starts)
				}
				checkFinalAnswers(t, w, false)
				checkNoViolations(t, w)
			})
		}
	})
	t.Logf("covered %d times of %d", covered.Load(), len(cases))
	if int(covered.Load()) < len(cases)/3 {
		t.Errorf("got the case covered %d times of %d, want a third", covered.Load(), len(cases))
	}
}

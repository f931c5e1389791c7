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

// met_test.go and met_links_test.go bring meetings of two troubles about for certain: each
// test fails too when its meeting did not come about.

// confirmationCounts is one test of cancellations while work changes hands.
type confirmationCounts struct {
	// before, between and after count the cancellations that were confirmed before the
	// hand-over began, while nobody ran the work, and within two seconds after.
	before, during, after atomic.Int64
}

// count sorts a confirmation; the hand-over was from one moment to another.
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

func (h *confirmationCounts) checkCovered(t *testing.T) {
	t.Helper()
	t.Logf("confirmed before %d, between %d, right after %d", h.before.Load(), h.during.Load(), h.after.Load())
	if h.before.Load() == 0 || h.during.Load() == 0 || h.after.Load() == 0 {
		t.Error("not all of the hand-over was met")
	}
}

// TestCancelledDuringTakeover: an owner ends, and its jobs are cancelled at each moment of
// the takeover, with machines that can be reached and with some that can't until later.
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
						t.Fatal("no takeover")
					}
					to := w.now
					most := maxStopTime
					if cut {
						most = w.cancelWithin
					}
					checkStoppedWithin(t, w, last, most)
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

// TestCancelledAtStepsOfTakeover: the cancellations are sent the very moment at which some
// controller takes a step of the takeover.
func TestCancelledAtStepsOfTakeover(t *testing.T) {
	steps := maps.Clone(pausePoints)
	steps["ready"] = func(e message.Effect) bool { l, ok := e.(message.Log); return ok && l.Message == "owner ready" }
	for _, step := range []string{"claim", "share", "read", "epoch", "ready", "report"} {
		for _, all := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s all=%v", step, all), func(t *testing.T) {
				t.Parallel()
				w := newTestWorldOfSize(9, 3)
				ids := w.submitMany("x", "ops", 8, 2, 2, 10*time.Minute)
				w.Run(60 * time.Second)
				last := w.trackLastRun(ids...)
				// Of the owner itself, or of all that there are.
				for i := range w.controllers {
					if all || i == w.shardLeaderOf("ops") || i == w.leaderIndex(0) {
						w.CrashController(i, 2*time.Second)
					}
				}
				met := false
				w.corruptEffect = func(e message.Effect) message.Effect {
					if !met && steps[step](e) {
						met = true
						for _, id := range ids {
							w.Cancel(id)
						}
					}
					return e
				}
				if w.waitUntil(20*time.Second, func() bool { return met }) < 0 {
					t.Fatal("the step was not taken")
				}
				checkStoppedWithin(t, w, last, maxStopTime)
				w.Run(time.Minute)
				checkNoViolations(t, w)
			})
		}
	}
}

// TestCancelledDuringHandBack: a controller comes back and gets a team as planned, whose
// jobs are cancelled at each moment of that.
func TestCancelledDuringHandBack(t *testing.T) {
	// play cancels at an offset from the hand-back that a day without cancellations shows.
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
		t.Fatal("no team is handed back")
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
					t.Fatal("no team is handed back")
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

// TestLimitsWhileLeadersChange: every team is at its limit, jobs are cancelled whose
// machines hang or are cut off, and the leader and all owners end. What may still run
// counts for the limit until there is proof that it is gone; then the waiting get the room
// within seconds.
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
			// Without the cloud no return is a proof: only the machine itself is.
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
						t.Errorf("%s is %q with %d tasks", id, w.jobs[id].lastState, w.runningTasks(id))
					}
				}
				if w.teamUsage[team].CPU != limit {
					t.Errorf("%s uses %v", team, w.teamUsage[team])
				}
			}
			if now := w.leaderName(); now == leader || now == "" {
				t.Errorf("%s led, %q does now", leader, now)
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
			t.Logf("the room of those that hung is taken %v after, of those cut off %v after the takeover", first, first+second)
			if hung := hang - 7800*time.Millisecond; first < 0 || first > hung+6*time.Second {
				t.Errorf("what waits got the room of those that hung after %v, they went on after %v", first, hung)
			}
			// Five seconds until the next report, two for the image.
			if healed := cut - 7800*time.Millisecond; second < 0 || first+second > healed+8*time.Second {
				t.Errorf("what waits got the room of those cut off after %v, they were back after %v", first+second, healed)
			}
			w.Run(time.Minute)
			checkNoViolations(t, w)
		})
	}
}

// TestNewMachinesWhileWritesLag: machines are up within two seconds of their rental and get
// work at once, while half of the transactions have no answer and are carried out seconds
// later; then the leader ends. What runs is taken over: nothing twice, nothing lost.
func TestNewMachinesWhileWritesLag(t *testing.T) {
	var met atomic.Int64
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
				// From the first that is up.
				up := func() bool {
					return slices.ContainsFunc(w.fleet, func(m *Worker) bool { return m.incarnation > 0 })
				}
				if w.waitUntil(30*time.Second, up) < 0 {
					t.Fatal("no machine is up")
				}
				w.Run(offset)
				fresh := slices.ContainsFunc(w.fleet, func(m *Worker) bool { return len(m.tasks) > 0 && w.now.Sub(m.upAt) < 3*time.Second })
				met.Add(int64(boolInt(fresh && w.now.Before(w.lateWritesUntil))))
				leader, shardLeader := w.leaderIndex(0), w.shardLeaderOf("ops")
				w.CrashController(leader, 5*time.Second)
				w.CrashController(shardLeader, 5*time.Second)
				w.Run(4 * time.Minute)
				if w.Starts != 20 {
					t.Errorf("%d starts of 20 tasks", w.Starts)
				}
				checkFinalAnswers(t, w, false)
				checkNoViolations(t, w)
			})
		}
	})
	t.Logf("met %d times of %d", met.Load(), len(cases))
	if int(met.Load()) < len(cases)/3 {
		t.Errorf("met %d times of %d", met.Load(), len(cases))
	}
}

package simulation

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/micahill/micahill/internal/controller"
	"github.com/micahill/micahill/internal/message"
	"github.com/micahill/micahill/internal/model"
)

// met_test.go and met_links_test.go bring meetings of two troubles about for certain: each
// test fails too when its meeting did not come about.

// metJob is a job whose tasks take a while.
func metJob(id, team string, tasks int, cpu float64, run time.Duration) model.JobSpec {
	return model.JobSpec{
		ID: id, Workload: "batch", Team: team, Urgency: model.Normal, Tasks: tasks, Need: model.Resources{CPU: cpu, Memory: cpu},
		Image: "img", ImageGB: 1, ExpectedRunTime: run,
	}
}

// submitMany submits jobs that are alike and returns their names.
func (w *World) submitMany(prefix, team string, jobs, tasks int, cpu float64, run time.Duration) []string {
	var ids []string
	for i := range jobs {
		spec := metJob(fmt.Sprintf("job-%s%03d", prefix, i), team, tasks, cpu, run)
		w.Submit(spec, run, false)
		ids = append(ids, spec.ID)
	}
	return ids
}

// smallWorld is one of three controllers in which only small machines can be rented.
func smallWorld(seed uint64, set controller.Settings) *World {
	types, _ := testTypes()
	return NewWorld(seed, 3, set, testCancel, types, map[string]int{"small/a/false": 20, "small/b/false": 20})
}

// spread are n cases, or with the race detector or in short only few of them, evenly.
func spread(n, few int) []int {
	k := n
	if testing.Short() || raced {
		k = few
	}
	var out []int
	for i := range k {
		out = append(out, i*n/k)
	}
	return out
}

// rulesHold fails the test with every broken rule.
func rulesHold(t *testing.T, w *World) {
	t.Helper()
	for _, b := range w.Violations {
		t.Error(b)
	}
	if t.Failed() {
		t.Log(strings.Join(w.logs[max(0, len(w.logs)-80):], "\n"))
	}
}

// machinesOf are those with tasks of a job.
func (w *World) machinesOf(id string) []*Worker {
	var out []*Worker
	for _, k := range sortedKeys(w.machines) {
		m := w.machines[k]
		for _, x := range m.tasks {
			if x.job.spec.ID == id && x.onMachine() && !slices.Contains(out, m) {
				out = append(out, m)
			}
		}
	}
	return out
}

// when runs until something holds, for most at the longest, and returns how long it took;
// -1: it does not hold.
func (w *World) when(most time.Duration, holds func() bool) time.Duration {
	from := w.now
	for !holds() {
		if w.now.Sub(from) >= most {
			return -1
		}
		w.Run(tickInterval)
	}
	return w.now.Sub(from)
}

// lastSeen notes from now on when each of these jobs was last on a machine.
func (w *World) lastSeen(ids ...string) map[string]time.Time {
	last := map[string]time.Time{}
	var look func()
	look = func() {
		for _, id := range ids {
			if w.runningTasks(id) > 0 {
				last[id] = w.now
			}
		}
		w.schedule(tickInterval, look)
	}
	look()
	return last
}

// goneWithin checks that the jobs of lastSeen are confirmed as cancelled, and off all
// machines so soon after the first confirmation.
func goneWithin(t *testing.T, w *World, last map[string]time.Time, most time.Duration) {
	t.Helper()
	for _, id := range sortedKeys(last) {
		j := w.jobs[id]
		if w.when(3*time.Minute, func() bool { return !j.cancelledAt.IsZero() && w.runningTasks(id) == 0 }) < 0 {
			t.Errorf("%s is %q and has %d tasks", id, j.lastState, w.runningTasks(id))
		} else if d := last[id].Sub(j.cancelledAt); d > most {
			t.Errorf("%s had tasks for %v after its cancellation was confirmed", id, d)
		}
	}
}

// reachedWithin is in how long the tasks of a cancelled job are gone from machines that
// can be reached, also while their controller changes.
const reachedWithin = 15 * time.Second

// takeoverCounts is one test of cancellations while work changes hands.
type takeoverCounts struct {
	// before, between and after count the cancellations that were confirmed before the
	// hand-over began, while nobody ran the work, and within two seconds after.
	before, between, after atomic.Int64
}

// count sorts a confirmation; the hand-over was from one moment to another.
func (h *takeoverCounts) count(at, from, to time.Time) {
	switch {
	case at.Before(from):
		h.before.Add(1)
	case at.Before(to):
		h.between.Add(1)
	case at.Before(to.Add(2 * time.Second)):
		h.after.Add(1)
	}
}

func (h *takeoverCounts) checkMet(t *testing.T) {
	t.Helper()
	t.Logf("confirmed before %d, between %d, right after %d", h.before.Load(), h.between.Load(), h.after.Load())
	if h.before.Load() == 0 || h.between.Load() == 0 || h.after.Load() == 0 {
		t.Error("not all of the hand-over was met")
	}
}

// TestCancelledDuringTakeover: an owner ends, and its jobs are cancelled at each moment of
// the takeover, with machines that can be reached and with some that can't until later.
func TestCancelledDuringTakeover(t *testing.T) {
	var h takeoverCounts
	t.Run("offsets", func(t *testing.T) {
		for _, step := range spread(22, 8) {
			for _, cut := range []bool{false, true} {
				offset := time.Duration(step-2) * 400 * time.Millisecond
				t.Run(fmt.Sprintf("%v cut=%v", offset, cut), func(t *testing.T) {
					t.Parallel()
					w := newTestWorldOf(uint64(step), 3)
					ids := w.submitMany("x", "ops", 6, 2, 2, 10*time.Minute)
					w.Run(60 * time.Second)
					owner := w.ownerOf("ops")
					if cut {
						for _, m := range w.machinesOf(ids[0]) {
							w.Partition(m.ID, "*", 20*time.Second, step%2 == 0)
						}
					}
					last := w.lastSeen(ids...)
					from := w.now.Add(time.Second)
					w.schedule(time.Second, func() { w.CrashController(owner, 5*time.Second) })
					w.schedule(time.Second+offset, func() {
						for _, id := range ids {
							w.Cancel(id)
						}
					})
					if w.when(20*time.Second, func() bool { return w.ownerOf("ops") != owner }) < 0 {
						t.Fatal("no takeover")
					}
					to := w.now
					most := reachedWithin
					if cut {
						most = w.cancelWithin
					}
					goneWithin(t, w, last, most)
					for _, id := range ids {
						h.count(w.jobs[id].cancelledAt, from, to)
					}
					w.Run(time.Minute)
					rulesHold(t, w)
				})
			}
		}
	})
	h.checkMet(t)
}

// TestCancelledAtStepsOfTakeover: the cancellations are sent the very moment at which some
// controller takes a step of the takeover.
func TestCancelledAtStepsOfTakeover(t *testing.T) {
	steps := maps.Clone(pausePoints)
	steps["ready"] = func(e message.Effect) bool { l, ok := e.(message.Log); return ok && l.Message == "shard leader ready" }
	for _, step := range []string{"claim", "share", "read", "epoch", "ready", "report"} {
		for _, all := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s all=%v", step, all), func(t *testing.T) {
				t.Parallel()
				w := newTestWorldOf(9, 3)
				ids := w.submitMany("x", "ops", 8, 2, 2, 10*time.Minute)
				w.Run(60 * time.Second)
				last := w.lastSeen(ids...)
				// Of the owner itself, or of all that there are.
				for i := range w.controllers {
					if all || i == w.ownerOf("ops") || i == w.leaderIndex(0) {
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
				if w.when(20*time.Second, func() bool { return met }) < 0 {
					t.Fatal("the step was not taken")
				}
				goneWithin(t, w, last, reachedWithin)
				w.Run(time.Minute)
				rulesHold(t, w)
			})
		}
	}
}

// TestCancelledDuringHandBack: a controller comes back and gets a team as planned, whose
// jobs are cancelled at each moment of that.
func TestCancelledDuringHandBack(t *testing.T) {
	// play cancels at an offset from the hand-back that a day without cancellations shows.
	play := func(cancel time.Duration) (w *World, last map[string]time.Time, moved []time.Time) {
		w = rebalancingWorld(t, 3, 4)
		var ids []string
		for k := range 4 {
			ids = append(ids, w.submitMany(fmt.Sprintf("%c", 'a'+k), fmt.Sprintf("team-%c", 'a'+k), 3, 2, 2, 10*time.Minute)...)
		}
		w.Run(50 * time.Second)
		w.CrashController(2, 30*time.Second)
		w.Run(32 * time.Second)
		from := w.now
		last = w.lastSeen(ids...)
		if cancel > 0 {
			w.schedule(cancel, func() {
				for _, id := range ids {
					w.Cancel(id)
				}
			})
		}
		w.Run(max(cancel, 45*time.Second))
		for k := range 4 {
			moved = append(moved, w.teamMoves(fmt.Sprintf("team-%c", 'a'+k), from)...)
		}
		slices.SortFunc(moved, time.Time.Compare)
		return w, last, moved
	}
	plain, _, moved := play(0)
	if len(moved) == 0 {
		t.Fatal("no team is handed back")
	}
	planned := moved[0].Sub(plain.startedAt.Add(82 * time.Second))
	var h takeoverCounts
	t.Run("offsets", func(t *testing.T) {
		for _, step := range spread(10, 5) {
			offset := time.Duration(step-5) * 250 * time.Millisecond
			t.Run(fmt.Sprint(offset), func(t *testing.T) {
				t.Parallel()
				w, last, moved := play(planned + offset)
				if len(moved) == 0 {
					t.Fatal("no team is handed back")
				}
				goneWithin(t, w, last, reachedWithin)
				for _, id := range sortedKeys(last) {
					h.count(w.jobs[id].cancelledAt, moved[0].Add(-300*time.Millisecond), moved[0])
				}
				w.Run(time.Minute)
				rulesHold(t, w)
			})
		}
	})
	h.checkMet(t)
}

// TestLimitsWhileLeadersChange: every team is at its limit, jobs are cancelled whose
// machines hang or are cut off, and the leader and all owners end. What may still run
// counts for the limit until there is proof that it is gone; then the waiting get the room
// within seconds.
func TestLimitsWhileLeadersChange(t *testing.T) {
	const limit, hang, cut = 40, 15 * time.Second, 40 * time.Second
	for seed := range drawnDays(t, 6, 4) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			set := testSettings()
			set.Teams = []model.Team{{Name: "ops", QuotaLimit: model.Resources{CPU: limit}}, {Name: "lab", QuotaLimit: model.Resources{CPU: limit}}}
			w := smallWorld(seed, set)
			run := map[string][]string{}
			for _, team := range []string{"ops", "lab"} {
				run[team] = w.submitMany(team+"r", team, limit/4, 1, 4, 10*time.Minute)
			}
			w.Run(60 * time.Second)
			for _, team := range []string{"ops", "lab"} {
				w.submitMany(team+"w", team, 4, 1, 4, 5*time.Minute)
			}
			w.Run(10 * time.Second)
			lead := w.leaderName()
			// Without the cloud no return is a proof: only the machine itself is.
			if w.cloudOutage = seed%2 == 1; w.cloudOutage {
				w.schedule(cut+10*time.Second, func() { w.cloudOutage = false })
			}
			for _, team := range []string{"ops", "lab"} {
				for i, id := range run[team][:4] {
					m := w.machinesOf(id)[0]
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
				if i == w.ownerOf("ops") || i == w.ownerOf("lab") || i == w.leaderIndex(0) {
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
			if now := w.leaderName(); now == lead || now == "" {
				t.Errorf("%s led, %q does now", lead, now)
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
			first, second := w.when(time.Minute, served(2)), w.when(2*time.Minute, served(4))
			t.Logf("the room of those that hung is taken %v after, of those cut off %v after the takeover", first, first+second)
			if hung := hang - 7800*time.Millisecond; first < 0 || first > hung+6*time.Second {
				t.Errorf("what waits got the room of those that hung after %v, they went on after %v", first, hung)
			}
			// Five seconds until the next report, two for the image.
			if healed := cut - 7800*time.Millisecond; second < 0 || first+second > healed+8*time.Second {
				t.Errorf("what waits got the room of those cut off after %v, they were back after %v", first+second, healed)
			}
			w.Run(time.Minute)
			rulesHold(t, w)
		})
	}
}

// TestNewMachinesWhileWritesLag: machines are up within two seconds of their rental and get
// work at once, while half of the transactions have no answer and are carried out seconds
// later; then the leader ends. What runs is taken over: nothing twice, nothing lost.
func TestNewMachinesWhileWritesLag(t *testing.T) {
	var met atomic.Int64
	cases := spread(24, 8)
	t.Run("offsets", func(t *testing.T) {
		for _, step := range cases {
			offset := time.Duration(step) * 250 * time.Millisecond
			t.Run(fmt.Sprint(offset), func(t *testing.T) {
				t.Parallel()
				types, _ := testTypes()
				for i := range types {
					types[i].ProvisioningTime = 1500 * time.Millisecond
				}
				w := NewWorld(uint64(step), 3, testSettings(), testCancel, types, map[string]int{"small/a/false": 15, "small/b/false": 15})
				w.Run(20 * time.Second)
				w.DelayWrites(0.5, 15*time.Second)
				w.submitMany("x", "ops", 10, 2, 4, time.Minute)
				// From the first that is up.
				up := func() bool {
					return slices.ContainsFunc(w.fleet, func(m *Worker) bool { return m.incarnation > 0 })
				}
				if w.when(30*time.Second, up) < 0 {
					t.Fatal("no machine is up")
				}
				w.Run(offset)
				fresh := slices.ContainsFunc(w.fleet, func(m *Worker) bool { return len(m.tasks) > 0 && w.now.Sub(m.upAt) < 3*time.Second })
				met.Add(int64(boolInt(fresh && w.now.Before(w.lateWritesUntil))))
				lead, owner := w.leaderIndex(0), w.ownerOf("ops")
				w.CrashController(lead, 5*time.Second)
				w.CrashController(owner, 5*time.Second)
				w.Run(4 * time.Minute)
				if w.Starts != 20 {
					t.Errorf("%d starts of 20 tasks", w.Starts)
				}
				checkFinalAnswers(t, w, false)
				rulesHold(t, w)
			})
		}
	})
	t.Logf("met %d times of %d", met.Load(), len(cases))
	if int(met.Load()) < len(cases)/3 {
		t.Errorf("met %d times of %d", met.Load(), len(cases))
	}
}

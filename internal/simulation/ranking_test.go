package simulation

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/micahill/micahill/internal/controller"
	"github.com/micahill/micahill/internal/message"
	"github.com/micahill/micahill/internal/model"
	"github.com/micahill/micahill/internal/ranking"
)

// newRankingWorld returns a world whose controllers follow a ranking, which is checked. Nothing else prefers
// one workload to another.
func newRankingWorld(seed uint64, controllers int) *World {
	types, capacity := testTypes()
	set := testSettings()
	set.Capabilities.Ranking = true
	set.Objectives = nil
	w := NewWorld(seed, controllers, set, testCancelWithin, types, capacity)
	w.CheckRanking()
	return w
}

// rushFirst and reprintFirst are two rankings that differ.
const (
	rushFirst    = "[[class]]\nname = \"rush\"\nworkloads = [\"rush-*\"]\n[[class]]\nname = \"reprint\"\nworkloads = [\"reprint*\"]\n"
	reprintFirst = "[[class]]\nname = \"reprint\"\nworkloads = [\"reprint*\"]\n[[class]]\nname = \"rush\"\nworkloads = [\"rush-*\"]\n"
)

func mustParseRanking(t *testing.T, text, by string) ranking.Record {
	t.Helper()
	rec, err := ranking.Parse([]byte(text))
	if err != nil {
		t.Fatal(err)
	}
	rec.SetBy = by
	return rec
}

// flood submits equal jobs of one workload.
func flood(w *World, workload string, jobs int, run time.Duration) {
	for i := range jobs {
		id := fmt.Sprintf("job-%s-%03d", workload, i)
		for w.jobs[id] != nil {
			id += "x"
		}
		w.Submit(model.JobSpec{ID: id, Workload: workload, Team: "ops", Urgency: model.Normal, Tasks: 2, AllowSpot: true,
			Need: model.Resources{CPU: 2, Memory: 2}, Image: "img-1", ImageGB: 0.5, ExpectedRunTime: run}, run, false)
	}
}

// TestOrderSurvivesTakeover starts two controllers with policies of opposite weights. Without a ranking the
// order of the same jobs is reversed by a takeover; with a ranking it stays.
func TestOrderSurvivesTakeover(t *testing.T) {
	for _, on := range []bool{false, true} {
		for _, controllers := range []int{3, 5} {
			t.Run(fmt.Sprint(on, controllers), func(t *testing.T) {
				types, _ := testTypes()
				set := testSettings()
				set.Capabilities.Ranking = on
				set.Objectives = nil
				w := NewWorld(7, controllers, set, testCancelWithin, types, map[string]int{"small/a/true": 3})
				w.CheckRanking()
				policy := func(rush float64) controller.Policy {
					p := controller.DefaultPolicy()
					p.WorkloadWeights = map[string]float64{"rush-rx": rush, "reprint": -rush}
					return p
				}
				w.adjustSettings = func(i int, s *controller.Settings) { s.Policy = policy(1) }
				for _, p := range w.controllers {
					p.start()
				}
				// Controllers that start from now on have the other policy.
				w.Run(20 * time.Second)
				shardLeader := w.shardLeaderOf("ops")
				w.adjustSettings = func(i int, s *controller.Settings) { s.Policy = policy(-1) }
				for i := range w.controllers {
					if i != shardLeader {
						w.CrashController(i, time.Second)
					}
				}
				w.Run(20 * time.Second)
				flood(w, "reprint", 12, 10*time.Second)
				w.Run(15 * time.Second)
				flood(w, "rush-rx", 5, 10*time.Second)
				w.Run(5 * time.Second)
				w.CrashController(shardLeader, time.Hour)
				w.Run(20 * time.Second)
				flood(w, "rush-rx", 5, 10*time.Second)
				w.runUntilDone()
				// Count the reprints that start after the last rush task.
				var last time.Time
				for _, id := range sortedKeys(w.jobs) {
					if j := w.jobs[id]; j.spec.Workload == "rush-rx" {
						for _, at := range j.firstStarts {
							last = maxTime(last, at)
						}
					}
				}
				after := 0
				for _, id := range sortedKeys(w.jobs) {
					if j := w.jobs[id]; j.spec.Workload == "reprint" {
						for _, at := range j.firstStarts {
							after += boolInt(at.After(last))
						}
					}
				}
				if on != (after > 0) {
					t.Errorf("ranking %v: got %d reprints started after the last rush task, want some only with a ranking", on, after)
				}
				if on {
					reportViolations(t, w.Violations)
				}
				checkFinalAnswers(t, w, false)
			})
		}
	}
}

// TestRankingChangesUnderFailures crashes the setter, the leader, the shard leader or all at each step of a
// change: before it is sent, in flight, and as the others learn of it. The running controllers continue with
// one complete ranking, and no start that was decided by the other ranking is late.
func TestRankingChangesUnderFailures(t *testing.T) {
	steps := []time.Duration{0, 4 * time.Millisecond, 9 * time.Millisecond, 15 * time.Millisecond, 60 * time.Millisecond, 2500 * time.Millisecond}
	for _, controllers := range []int{3, 5} {
		for _, who := range []string{"setter", "leader", "owner", "all", "still", "cut"} {
			for k, step := range steps {
				if controllers == 5 && k%2 == 0 {
					continue
				}
				t.Run(fmt.Sprint(controllers, who, step), func(t *testing.T) {
					t.Parallel()
					w := newRankingWorld(uint64(100*controllers+k), controllers)
					s := &scenario{world: w}
					flood(w, "reprint-a", 30, 8*time.Second)
					w.Run(25 * time.Second)
					flood(w, "rush-rx", 6, 8*time.Second)
					shardLeader := w.shardLeaderOf("ops")
					setter := (shardLeader + 1) % controllers
					w.duplicateRate = 0.05
					w.SetRanking(setter, message.SetRanking{Record: mustParseRanking(t, rushFirst, "first"), AnyRevision: true}, func(message.RankingReply) {})
					w.Run(4 * time.Second)
					var reply message.RankingReply
					w.SetRanking(setter, message.SetRanking{Record: mustParseRanking(t, reprintFirst, "second"), AnyRevision: true}, func(r message.RankingReply) { reply = r })
					w.Run(step)
					switch who {
					case "setter":
						w.CrashController(setter, 3*time.Second)
					case "owner", "leader":
						for i, p := range w.controllers {
							if p.alive && (who == "owner" && i == shardLeader || who == "leader" && w.leaderName() == w.controllers[i].name) {
								w.CrashController(i, 3*time.Second)
							}
						}
					case "all":
						for i := range w.controllers {
							w.CrashController(i, time.Second)
						}
					case "still":
						w.Pause(shardLeader, time.Minute)
					case "cut":
						w.Partition(w.controllers[shardLeader].name, "state", 20*time.Second, k%2 == 0)
					}
					w.Run(100 * time.Second)
					flood(w, "rush-rx", 4, 8*time.Second)
					w.runUntilDone()
					reportViolations(t, w.Violations)
					out := s.describeRanking(t)
					if !strings.HasSuffix(out, "; 0 behind\n") || reply.Status == 200 && !strings.Contains(out, "by second") {
						t.Errorf("got reply %d %s and final ranking %s, want no controller behind, and the second ranking if accepted", reply.Status, reply.Message, out)
					}
					checkFinalAnswers(t, w, false)
					if t.Failed() {
						logTail(t, w.logs, 40)
					}
				})
			}
		}
	}
}

// TestStartsOfPausedShardLeader pauses the shard leader just before the record of a start is sent, its command or a
// heartbeat reply, for less than its lease or for a minute, while another controller sets another ranking.
func TestStartsOfPausedShardLeader(t *testing.T) {
	sendsStart := func(e message.Effect) bool {
		op, ok := e.(message.WorkerRequest)
		return ok && len(op.Commands) > 0 && op.Commands[0].Kind == model.StartTask
	}
	for name, moment := range map[string]func(message.Effect) bool{"record": pausePoints["start"], "command": sendsStart, "heartbeat": pausePoints["report"]} {
		for _, long := range []time.Duration{3400 * time.Millisecond, time.Minute} {
			t.Run(fmt.Sprint(name, long), func(t *testing.T) {
				t.Parallel()
				changed := 0
				for seed := range uint64(4) {
					w := newRankingWorld(seed, 3)
					flood(w, "reprint-a", 40, 6*time.Second)
					w.Run(24 * time.Second)
					shardLeader := w.shardLeaderOf("ops")
					p := w.controllers[shardLeader]
					w.PauseBefore(long, moment, func(x *controllerProcess) bool { return x == p })
					for end := w.now.Add(30 * time.Second); !w.now.Before(p.pausedUntil) && w.now.Before(end); {
						w.Run(time.Millisecond)
					}
					if w.now.Before(p.pausedUntil) {
						w.SetRanking((shardLeader+1)%3, message.SetRanking{Record: mustParseRanking(t, rushFirst, "first"), AnyRevision: true}, func(r message.RankingReply) {
							changed += boolInt(r.Status == 200 && w.now.Before(p.pausedUntil.Add(-maxOutdatedStartDelay)))
						})
					}
					w.runUntilDone()
					reportViolations(t, w.Violations)
					checkFinalAnswers(t, w, false)
				}
				if changed < 3 {
					t.Errorf("got a ranking set during %d pauses of 4, want at least 3", changed)
				}
			})
		}
	}
}

package simulation

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
	"github.com/micahill/micahill/internal/controller"
	"github.com/micahill/micahill/internal/message"
	"github.com/micahill/micahill/internal/model"
	"github.com/micahill/micahill/internal/ranking"
	"github.com/vmihailenco/msgpack/v5"
)

// rankedWorld is a world whose controllers follow a ranking, which is checked. Nothing
// but the ranking prefers one workload to another.
func rankedWorld(seed uint64, nodes int) *World {
	types, room := testTypes()
	set := testSettings()
	set.Capabilities.Ranking = true
	set.Objectives = nil
	w := NewWorld(seed, nodes, set, testCancel, types, room)
	w.CheckRanking()
	return w
}

// rushFirst and reprintFirst are two rankings that differ.
const (
	rushFirst    = "[[class]]\nname = \"rush\"\nworkloads = [\"rush-*\"]\n[[class]]\nname = \"reprint\"\nworkloads = [\"reprint*\"]\n"
	reprintFirst = "[[class]]\nname = \"reprint\"\nworkloads = [\"reprint*\"]\n[[class]]\nname = \"rush\"\nworkloads = [\"rush-*\"]\n"
)

func mustRank(t *testing.T, text, by string) ranking.Record {
	t.Helper()
	rec, err := ranking.Parse([]byte(text))
	if err != nil {
		t.Fatal(err)
	}
	rec.SetBy = by
	return rec
}

// flood submits jobs of one workload, all alike.
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

// rank sets a ranking by one controller or several at once, and says what each was told.
func (s *scenario) rank(t *testing.T, d *datadriven.TestData) string {
	var nodes []int
	for _, c := range d.CmdArgs {
		if c.Key == "node" {
			for _, v := range c.Vals {
				var i int
				if _, err := fmt.Sscan(v, &i); err != nil {
					d.Fatalf(t, "node: %v", err)
				}
				nodes = append(nodes, i)
			}
		}
	}
	told := make([]string, len(nodes))
	for k, i := range nodes {
		c := message.SetRanking{Record: mustRank(t, d.Input, fmt.Sprintf("n%d", i)), AnyRevision: !d.HasArg("rev"), Revision: uint64(arg(t, d, "rev", 0))}
		told[k] = "no answer"
		s.world.SetRanking(i, c, func(r message.RankingReply) {
			told[k] = fmt.Sprintf("%d revision %d %s", r.Status, r.Revision, r.Message)
		})
	}
	s.world.Run(seconds(t, d, "for", 4.5))
	if d.HasArg("quiet") {
		// Which change gets through bad links is luck.
		return ""
	}
	return strings.Join(told, "\n") + "\n"
}

// ranking shows the record in the state service, and whether all living controllers
// know it.
func (s *scenario) ranking(t *testing.T) string {
	row := s.world.state.records["ctl/ranking"]
	if row == nil {
		return "none\n"
	}
	rec, err := ranking.Decode(row.value)
	if err != nil {
		return err.Error() + "\n"
	}
	var names []string
	for _, c := range rec.Classes {
		names = append(names, c.Name)
	}
	behind := 0
	for i, p := range s.world.controllers {
		if !p.alive {
			continue
		}
		s.world.controllers[i].request(func(r uint64) message.Command { return message.QueryRanking{Reply: r} }, func(e message.Effect) {
			if e.(message.RankingReply).Revision != rec.Revision {
				behind++
			}
		})
	}
	s.world.Run(time.Second)
	return fmt.Sprintf("revision %d by %s: %s; %d behind\n", rec.Revision, rec.SetBy, strings.Join(names, ", "), behind)
}

// why asks the owner of a job's team why it waits.
func (s *scenario) why(id string) string {
	out := "no answer"
	s.world.controllers[s.world.ownerOf("ops")].request(func(r uint64) message.Command { return message.QueryRanking{Reply: r, Job: id} }, func(e message.Effect) { out = e.(message.RankingReply).Explanation })
	s.world.Run(time.Second)
	// What is free just then is luck.
	out, _, _ = strings.Cut(out, ";")
	return out + "\n"
}

// unfinished counts the jobs that are not done, and tells what was broken.
func (s *scenario) unfinished() string {
	k := 0
	for _, j := range s.world.jobs {
		k += boolInt(j.lastState != "done")
	}
	return strings.Join(append([]string{fmt.Sprint(k)}, s.world.Violations...), "\n") + "\n"
}

// ownerOf is the controller that has a team, by the records.
func (w *World) ownerOf(team string) int {
	for _, k := range sortedKeys(w.state.records) {
		var share struct {
			Host  string   `msgpack:"host"`
			Teams []string `msgpack:"teams"`
		}
		if strings.HasPrefix(k, "ctl/share/") && msgpack.Unmarshal(w.state.records[k].value, &share) == nil && slices.Contains(share.Teams, team) {
			return w.controllerIndex(share.Host)
		}
	}
	return 0
}

// finish runs until all jobs are done, for some minutes at most.
func (w *World) finish() {
	for end := w.now.Add(5 * time.Minute); w.now.Before(end); w.Run(5 * time.Second) {
		if !slices.ContainsFunc(sortedKeys(w.jobs), func(id string) bool { return w.jobs[id].lastState != "done" }) {
			return
		}
	}
}

// TestOrderSurvivesTakeover: two controllers are started with scripts that weigh the
// other way round. Without a ranking the order of the same work turns over with the
// owner, and nobody is told; with one it stays.
func TestOrderSurvivesTakeover(t *testing.T) {
	for _, on := range []bool{false, true} {
		for _, nodes := range []int{3, 5} {
			t.Run(fmt.Sprint(on, nodes), func(t *testing.T) {
				types, _ := testTypes()
				set := testSettings()
				set.Capabilities.Ranking = on
				set.Objectives = nil
				w := NewWorld(7, nodes, set, testCancel, types, map[string]int{"small/a/true": 3})
				w.CheckRanking()
				favours := func(rush float64) controller.Policy {
					p := controller.DefaultPolicy()
					p.WorkloadWeights = map[string]float64{"rush-rx": rush, "reprint": -rush}
					return p
				}
				w.adjustSettings = func(i int, s *controller.Settings) { s.Policy = favours(1) }
				for _, p := range w.controllers {
					p.start()
				}
				// Who ever starts from now on has another script.
				w.Run(20 * time.Second)
				owner := w.ownerOf("ops")
				w.adjustSettings = func(i int, s *controller.Settings) { s.Policy = favours(-1) }
				for i := range w.controllers {
					if i != owner {
						w.CrashController(i, time.Second)
					}
				}
				w.Run(20 * time.Second)
				flood(w, "reprint", 12, 10*time.Second)
				w.Run(15 * time.Second)
				flood(w, "rush-rx", 5, 10*time.Second)
				w.Run(5 * time.Second)
				w.CrashController(owner, time.Hour)
				w.Run(20 * time.Second)
				flood(w, "rush-rx", 5, 10*time.Second)
				w.finish()
				// How many reprints begin after the last rush task began.
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
					t.Errorf("ranking %v: %d reprints begin after the last rush task", on, after)
				}
				if on {
					for _, b := range w.Violations {
						t.Error(b)
					}
				}
				checkFinalAnswers(t, w, false)
			})
		}
	}
}

func maxTime(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}

func boolInt(b bool) int {
	if b {
		return 1
	}
	return 0
}

// TestRankingChangesUnderFailures ends the setter, the leader, the owner and all, at each
// step of a change: before it is sent, while it is on its way, and as others learn
// of it. Whoever lives goes on by one ranking, whole, and no start that the other one
// decided leaves late.
func TestRankingChangesUnderFailures(t *testing.T) {
	steps := []time.Duration{0, 4 * time.Millisecond, 9 * time.Millisecond, 15 * time.Millisecond, 60 * time.Millisecond, 2500 * time.Millisecond}
	for _, nodes := range []int{3, 5} {
		for _, who := range []string{"setter", "leader", "owner", "all", "still", "cut"} {
			for k, step := range steps {
				if nodes == 5 && k%2 == 0 {
					continue
				}
				t.Run(fmt.Sprint(nodes, who, step), func(t *testing.T) {
					t.Parallel()
					w := rankedWorld(uint64(100*nodes+k), nodes)
					s := &scenario{world: w}
					flood(w, "reprint-a", 30, 8*time.Second)
					w.Run(25 * time.Second)
					flood(w, "rush-rx", 6, 8*time.Second)
					owner := w.ownerOf("ops")
					setter := (owner + 1) % nodes
					w.duplicateRate = 0.05
					w.SetRanking(setter, message.SetRanking{Record: mustRank(t, rushFirst, "first"), AnyRevision: true}, func(message.RankingReply) {})
					w.Run(4 * time.Second)
					var told message.RankingReply
					w.SetRanking(setter, message.SetRanking{Record: mustRank(t, reprintFirst, "second"), AnyRevision: true}, func(r message.RankingReply) { told = r })
					w.Run(step)
					switch who {
					case "setter":
						w.CrashController(setter, 3*time.Second)
					case "owner", "leader":
						for i, p := range w.controllers {
							if p.alive && (who == "owner" && i == owner || who == "leader" && w.leaderName() == w.controllers[i].name) {
								w.CrashController(i, 3*time.Second)
							}
						}
					case "all":
						for i := range w.controllers {
							w.CrashController(i, time.Second)
						}
					case "still":
						w.Pause(owner, time.Minute)
					case "cut":
						w.Partition(w.controllers[owner].name, "state", 20*time.Second, k%2 == 0)
					}
					w.Run(100 * time.Second)
					flood(w, "rush-rx", 4, 8*time.Second)
					w.finish()
					for _, b := range w.Violations {
						t.Error(b)
					}
					out := s.ranking(t)
					if !strings.HasSuffix(out, "; 0 behind\n") || told.Status == 200 && !strings.Contains(out, "by second") {
						t.Errorf("told %d %s, in the end %s", told.Status, told.Message, out)
					}
					checkFinalAnswers(t, w, false)
					if t.Failed() {
						t.Log(strings.Join(w.logs[max(0, len(w.logs)-40):], "\n"))
					}
				})
			}
		}
	}
}

// TestStartsOfAStall: the owner stands still just before the record of a start leaves, or
// its order, for less than its grant lives or for a minute; another ranking is set
// meanwhile by one that lives.
func TestStartsOfAStall(t *testing.T) {
	order := func(e message.Effect) bool {
		op, ok := e.(message.WorkerRequest)
		return ok && len(op.Commands) > 0 && op.Commands[0].Kind == model.StartTask
	}
	for what, moment := range map[string]func(message.Effect) bool{"record": pausePoints["start"], "order": order, "report": pausePoints["report"]} {
		for _, long := range []time.Duration{3400 * time.Millisecond, time.Minute} {
			t.Run(fmt.Sprint(what, long), func(t *testing.T) {
				t.Parallel()
				overtaken := 0
				for seed := range uint64(4) {
					w := rankedWorld(seed, 3)
					flood(w, "reprint-a", 40, 6*time.Second)
					w.Run(24 * time.Second)
					owner := w.ownerOf("ops")
					p := w.controllers[owner]
					w.PauseBefore(long, moment, func(x *controllerProcess) bool { return x == p })
					for end := w.now.Add(30 * time.Second); !w.now.Before(p.pausedUntil) && w.now.Before(end); {
						w.Run(time.Millisecond)
					}
					if w.now.Before(p.pausedUntil) {
						w.SetRanking((owner+1)%3, message.SetRanking{Record: mustRank(t, rushFirst, "first"), AnyRevision: true}, func(r message.RankingReply) {
							overtaken += boolInt(r.Status == 200 && w.now.Before(p.pausedUntil.Add(-maxOutdatedStartDelay)))
						})
					}
					w.finish()
					for _, b := range w.Violations {
						t.Error(b)
					}
					checkFinalAnswers(t, w, false)
				}
				if overtaken < 3 {
					t.Errorf("a ranking came during %d stalls of 4", overtaken)
				}
			})
		}
	}
}

// TestRankingStorm: five controllers set a ranking every second; what was decided is taken
// back as often, and work goes on. How far it comes in a minute hangs on when a ranking
// meets a start, so that several days count together.
func TestRankingStorm(t *testing.T) {
	const days = 6
	var all atomic.Int64
	t.Run("days", func(t *testing.T) {
		for seed := range uint64(days) {
			t.Run(fmt.Sprint(31+seed), func(t *testing.T) {
				t.Parallel()
				w := rankedWorld(31+seed, 5)
				w.Run(10 * time.Second)
				held := 0
				for k := range 60 {
					text := []string{rushFirst, reprintFirst}[k%2]
					w.schedule(time.Duration(k)*time.Second, func() {
						w.SetRanking(k%5, message.SetRanking{Record: mustRank(t, text, "somebody"), AnyRevision: true}, func(r message.RankingReply) { held += boolInt(r.Status == 200) })
					})
				}
				flood(w, "reprint-a", 30, 5*time.Second)
				flood(w, "rush-rx", 30, 5*time.Second)
				w.Run(58 * time.Second)
				done := 0
				for _, j := range w.jobs {
					done += boolInt(j.finished != time.Time{})
				}
				w.finish()
				for _, b := range w.Violations {
					t.Error(b)
				}
				if held < 50 || done < 15 {
					t.Errorf("%d rankings were set, %d jobs done meanwhile", held, done)
				}
				all.Add(int64(done))
			})
		}
	})
	if all.Load() < 40*days {
		t.Errorf("%d jobs done meanwhile on %d days", all.Load(), days)
	}
}

// TestRankedDays plays random days with random faults on which rankings come and go.
func TestRankedDays(t *testing.T) {
	for seed := range drawnDays(t, 8, 3) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			types, room := testTypes()
			set := testSettings()
			set.Capabilities = randomCapabilities(seed)
			set.Capabilities.Ranking = true
			w := NewWorld(seed, 3+int(seed%2)*2, set, testCancel, types, room)
			w.CheckRanking()
			// Many things bear on the order on such a day: limits, pauses, images.
			w.rankingCheck.startsOnly = true
			w.lossRate, w.duplicateRate = 0.01, 0.02
			rng := rand.New(rand.NewPCG(seed, 5))
			for k := range 30 {
				text := []string{rushFirst, reprintFirst, "[[class]]\nname = \"b\"\nworkloads = [\"batch\"]\nurgency = \"normal\"\n"}[rng.IntN(3)]
				w.schedule(time.Duration(10+k*11+rng.IntN(5))*time.Second, func() {
					w.SetRanking(rng.IntN(len(w.controllers)), message.SetRanking{Record: mustRank(t, text, "somebody"), AnyRevision: true}, func(message.RankingReply) {})
				})
			}
			randomDay(w, seed+500)
			for _, b := range w.Violations {
				t.Error(b)
			}
			checkFinalAnswers(t, w, true)
		})
	}
}

// TestRushBehindFlood: rush work waits hardly longer behind a flood of reprints ten times
// its size than alone, or no longer than its objective says, before and after the owner's
// end.
func TestRushBehindFlood(t *testing.T) {
	const within = 3 * time.Second
	wait := func(reprints int) (before, after time.Duration) {
		types, room := testTypes()
		set := testSettings()
		set.Capabilities.Ranking = true
		set.Objectives = []model.Objective{{Kind: "wait", Workload: "rush-rx", Within: within, Fraction: 0.9}}
		w := NewWorld(11, 5, set, testCancel, types, room)
		w.CheckRanking()
		w.rankingCheck.startsOnly = true
		w.Run(10 * time.Second)
		w.SetRanking(2, message.SetRanking{Record: mustRank(t, rushFirst, "me"), AnyRevision: true}, func(message.RankingReply) {})
		rush := func(part string) (worst time.Duration) {
			var ids []string
			for i := range 10 {
				id := fmt.Sprintf("job-%s-%02d", part, i)
				ids = append(ids, id)
				w.Submit(model.JobSpec{ID: id, Workload: "rush-rx", Team: "ops", Urgency: model.Urgent, Tasks: 2, AllowSpot: true,
					Need: model.Resources{CPU: 2, Memory: 2}, Image: "img-1", ImageGB: 0.5, ExpectedRunTime: 6 * time.Second}, 6*time.Second, false)
				w.Run(1500 * time.Millisecond)
			}
			w.Run(time.Minute)
			var all []time.Duration
			for _, id := range ids {
				for i := range 2 {
					if at, ok := w.jobs[id].firstStarts[i]; ok {
						all = append(all, at.Sub(w.jobs[id].submitted))
					} else {
						all = append(all, time.Hour)
					}
				}
			}
			slices.Sort(all)
			return all[len(all)*9/10]
		}
		rush("warm")
		flood(w, "reprint", reprints, 6*time.Second)
		w.Run(5 * time.Second)
		before = rush("before")
		flood(w, "reprint", reprints, 6*time.Second)
		w.CrashController(w.ownerOf("ops"), 20*time.Second)
		w.Run(20 * time.Second)
		after = rush("after")
		w.finish()
		for _, b := range w.Violations {
			t.Error(b)
		}
		return before, after
	}
	b0, a0 := wait(0)
	b1, a1 := wait(100)
	t.Log("alone", b0, a0, "behind a flood", b1, a1)
	// A look at what is to be stopped, and a step of the checks, come on top of a part.
	const grain = 600 * time.Millisecond
	if limit := max(b0*13/10+grain, within); b1 > limit {
		t.Errorf("before the takeover rush work waits %v, alone %v", b1, b0)
	}
	if limit := max(a0*13/10+grain, within); a1 > limit {
		t.Errorf("after the takeover rush work waits %v, alone %v", a1, a0)
	}
}

// TestRankingIsSwitched: controllers go over to a ranking and back one after another, with
// work under way; nothing is lost, and those without one leave the record alone.
func TestRankingIsSwitched(t *testing.T) {
	for _, nodes := range []int{3, 5} {
		w := rankedWorld(21, nodes)
		w.settings.Capabilities.Ranking = false
		// Those without one are not held to it.
		w.rankingCheck = nil
		on := false
		w.adjustSettings = func(_ int, s *controller.Settings) { s.Capabilities.Ranking = on }
		for i := range nodes {
			w.CrashController(i, time.Second)
		}
		w.Run(10 * time.Second)
		for round := range 3 {
			flood(w, fmt.Sprint("reprint-", round), 30, 8*time.Second)
			w.Run(12 * time.Second)
			on = round%2 == 0
			for i := range nodes {
				w.CrashController(i, 500*time.Millisecond)
				w.Run(6 * time.Second)
			}
		}
		w.finish()
		for _, b := range w.Violations {
			t.Error(b)
		}
		checkFinalAnswers(t, w, false)
		if w.state.records["ctl/ranking"] == nil || w.state.records["ranking/1"] == nil {
			t.Error("no ranking was derived")
		}
	}
}

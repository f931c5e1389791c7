package simulation

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/micahill/micahill/internal/message"
	"github.com/micahill/micahill/internal/model"
	"github.com/micahill/micahill/internal/record"
)

// rebalancingWorld is a world under steady load in which teams move: two controllers at first
// live, with a team each, and the third comes later.
func rebalancingWorld(t *testing.T, seed uint64, teams int) *World {
	t.Helper()
	set := testSettings()
	set.Zones, set.Teams, set.StoreWritesPerSecond = []string{"a"}, nil, 60
	for i := range teams {
		set.Teams = append(set.Teams, model.Team{Name: fmt.Sprintf("team-%c", 'a'+i)})
	}
	w := NewWorld(seed, 3, set, testCancel, []model.MachineType{
		{Name: "small", Capacity: model.Resources{CPU: 4, Memory: 16}, DiskGB: 20, ImageFetchRate: 0.5, CostPerHour: 0.2, SpotCostPerHour: 0.07, ProvisioningTime: 15 * time.Second, Zones: []string{"a"}},
		{Name: "big", Capacity: model.Resources{CPU: 16, Memory: 64}, DiskGB: 40, ImageFetchRate: 0.5, CostPerHour: 0.8, SpotCostPerHour: 0.3, ProvisioningTime: 15 * time.Second, Zones: []string{"a"}},
	}, map[string]int{"small/a/true": 30, "small/a/false": 30, "big/a/true": 12, "big/a/false": 10})
	for i := range teams {
		team := set.Teams[i].Name
		w.Submit(model.JobSpec{ID: "job-s" + team, Workload: "service", Team: team, LongRunning: true, Urgency: model.Urgent, Tasks: 3,
			Need: model.Resources{CPU: 1, Memory: 1}, Image: "svc", ImageGB: 1}, 0, false)
		k := 0
		var next func()
		next = func() {
			k++
			w.Submit(model.JobSpec{ID: fmt.Sprintf("job-%s-%04d", team, k), Workload: "batch", Team: team, Urgency: model.Normal, Tasks: 3,
				Need: model.Resources{CPU: 2, Memory: 2}, Image: fmt.Sprintf("img-%d", k%3), ImageGB: 0.5, AllowSpot: true, ExpectedRunTime: 20 * time.Second}, 20*time.Second, false)
			w.schedule(2*time.Second, next)
		}
		w.schedule(time.Duration(i)*100*time.Millisecond, next)
	}
	return w
}

// teamMoves are when a team came to a controller after a moment.
func (w *World) teamMoves(team string, since time.Time) []time.Time {
	var out []time.Time
	for _, l := range w.logs {
		var at float64
		if _, err := fmt.Sscan(l, &at); err != nil || !strings.Contains(l, "team acquired [team "+team+"]") {
			continue
		}
		if t := w.startedAt.Add(record.DurationOfSeconds(at)); t.After(since) {
			out = append(out, t)
		}
	}
	return out
}

// longestStartGap is the longest time without a start of a team that a move of it after a moment is
// part of, or that begins within ten seconds after one. Others are for want of room.
func (w *World) longestStartGap(team string, since time.Time) time.Duration {
	moves := w.teamMoves(team, since)
	at := []time.Time{since, w.now}
	for _, j := range w.jobs {
		for _, b := range j.firstStarts {
			if j.spec.Team == team && b.After(since) {
				at = append(at, b)
			}
		}
	}
	slices.SortFunc(at, time.Time.Compare)
	longest := time.Duration(0)
	for i := 1; i < len(at); i++ {
		for _, m := range moves {
			if !m.After(at[i]) && m.Add(10*time.Second).After(at[i-1]) {
				longest = max(longest, at[i].Sub(at[i-1]))
			}
		}
	}
	return longest
}

// teamsByController counts the teams that each living controller runs.
func (w *World) teamsByController() map[string]int {
	out := map[string]int{}
	for _, p := range w.controllers {
		if !p.alive {
			continue
		}
		out[p.name] = 0
		p.request(func(r uint64) message.Command { return message.QueryStatus{Reply: r} }, func(e message.Effect) {
			for _, x := range e.(message.StatusReply).Teams {
				if x.IsLocal && x.Ready {
					out[p.name]++
				}
			}
		})
	}
	w.Run(50 * time.Millisecond)
	return out
}

// TestTeamsMoveWhileTheyRun: a controller comes back and gets teams within a minute.
// What runs goes on: no task of theirs is started again, replicas neither stop nor
// double, no team is without starts for more than five seconds, and nothing turns to
// and fro afterwards.
func TestTeamsMoveWhileTheyRun(t *testing.T) {
	for seed := range uint64(4) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			const teams = 4
			w := rebalancingWorld(t, seed, teams)
			w.Run(60 * time.Second)
			w.CrashController(int(seed%3), 40*time.Second)
			w.Run(45 * time.Second)
			from := w.now
			tries := func() int {
				n := 0
				for _, m := range w.machines {
					for _, x := range m.tasks {
						if x.attempt > 1 {
							n++
						}
					}
				}
				return n
			}
			again := tries()
			for i := range 60 {
				w.Run(time.Second)
				for k := range teams {
					if n := w.runningTasks(fmt.Sprintf("job-steam-%c", 'a'+k)); i > 0 && n != 3 {
						t.Fatalf("%d replicas of team-%c after %d s", n, 'a'+k, i)
					}
				}
			}
			if at := w.teamsByController(); slices.ContainsFunc(w.controllers, func(p *controllerProcess) bool { return at[p.name] == 0 }) {
				t.Errorf("a minute after a controller is back the teams are divided %v", at)
			}
			some := 0
			for k := range teams {
				some += len(w.teamMoves(fmt.Sprintf("team-%c", 'a'+k), from))
				if g := w.longestStartGap(fmt.Sprintf("team-%c", 'a'+k), from); g > 5*time.Second {
					t.Errorf("nothing of team-%c starts for %v", 'a'+k, g)
				}
			}
			if some == 0 {
				t.Error("no team has moved")
			}
			if n := tries(); n > again+1 {
				t.Errorf("%d tasks were started again while teams moved", n-again)
			}
			was := w.teamsByController()
			w.Run(4 * time.Minute)
			if now := w.teamsByController(); fmt.Sprint(now) != fmt.Sprint(was) {
				t.Errorf("divided %v, and later %v", was, now)
			}
			for _, b := range w.Violations {
				t.Error(b)
			}
			if t.Failed() {
				t.Log(w.logs)
			}
		})
	}
}

// TestMovesOverBadLinks: teams move while a part of all messages is lost, doubled or
// held, the controllers can't hear one another, or the owner ends in the middle. No
// task runs twice, and all work is done.
func TestMovesOverBadLinks(t *testing.T) {
	for _, c := range []struct {
		name string
		bad  func(w *World)
	}{
		{"loss", func(w *World) { w.lossRate, w.duplicateRate = 0.03, 0.03 }},
		{"deaf peers", func(w *World) {
			for i := range w.controllers {
				w.Partition(w.controllers[i].name, w.controllers[(i+1)%3].name, 40*time.Second, i%2 == 0)
			}
		}},
		{"owner ends", func(w *World) {
			w.schedule(33*time.Second, func() { w.CrashController(0, 5*time.Second) })
			w.schedule(47*time.Second, func() { w.CrashController(1, 5*time.Second) })
		}},
		{"all end", func(w *World) {
			w.schedule(35*time.Second, func() {
				for i := range w.controllers {
					w.CrashController(i, 5*time.Second)
				}
			})
		}},
		{"state service away", func(w *World) { w.schedule(34*time.Second, func() { w.Outage(20 * time.Second) }) }},
		{"receiver cut", func(w *World) {
			w.schedule(34*time.Second, func() { w.Partition(w.controllers[2].name, "*", 30*time.Second, true) })
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			w := rebalancingWorld(t, 3, 4)
			w.Run(50 * time.Second)
			w.CrashController(2, 30*time.Second)
			w.Run(32 * time.Second)
			c.bad(w)
			w.Run(90 * time.Second)
			w.lossRate, w.duplicateRate = 0, 0
			w.Run(30 * time.Second)
			for _, b := range w.Violations {
				t.Error(b)
			}
			late := 0
			for _, j := range w.jobs {
				if !j.spec.LongRunning && j.lastState != "done" && w.now.Sub(j.submitted) > 100*time.Second {
					late++
				}
			}
			if late > 0 {
				t.Errorf("%d jobs are not done 100 s after they came", late)
			}
			if t.Failed() {
				t.Log(w.logs)
			}
		})
	}
}

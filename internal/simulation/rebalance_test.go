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

// newRebalancingWorld returns a world under steady load in which teams migrate between shards.
func newRebalancingWorld(t *testing.T, seed uint64, teams int) *World {
	t.Helper()
	set := testSettings()
	set.Zones, set.Teams, set.StoreWritesPerSecond = []string{"a"}, nil, 60
	for i := range teams {
		set.Teams = append(set.Teams, model.Team{Name: fmt.Sprintf("team-%c", 'a'+i)})
	}
	w := NewWorld(seed, 3, set, testCancelWithin, []model.MachineType{
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

// teamMigrations returns when a team came to another controller after a time, by the controllers' logs.
func (w *World) teamMigrations(team string, since time.Time) []time.Time {
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

// longestStartGap returns the longest time without a start of the team that a migration falls into, or that
// begins within ten seconds after one. Other gaps are for want of capacity.
func (w *World) longestStartGap(team string, since time.Time) time.Duration {
	moves := w.teamMigrations(team, since)
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

// teamsByController returns the number of ready teams of each running controller.
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

// TestTeamMigrationUnderLoad restarts a controller, which is given teams within a minute. No task of these is
// started again, replicas neither stop nor double, no team is without starts for more than five seconds, and
// teams do not migrate again afterwards.
func TestTeamMigrationUnderLoad(t *testing.T) {
	for seed := range uint64(4) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			const teams = 4
			w := newRebalancingWorld(t, seed, teams)
			w.Run(60 * time.Second)
			w.CrashController(int(seed%3), 40*time.Second)
			w.Run(45 * time.Second)
			from := w.now
			restarts := func() int {
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
			before := restarts()
			for i := range 60 {
				w.Run(time.Second)
				for k := range teams {
					if n := w.runningTasks(fmt.Sprintf("job-steam-%c", 'a'+k)); i > 0 && n != 3 {
						t.Fatalf("got %d replicas of team-%c after %d s, want 3", n, 'a'+k, i)
					}
				}
			}
			if at := w.teamsByController(); slices.ContainsFunc(w.controllers, func(p *controllerProcess) bool { return at[p.name] == 0 }) {
				t.Errorf("a minute after the restart: got teams by controller %v, want some at each", at)
			}
			migrations := 0
			for k := range teams {
				migrations += len(w.teamMigrations(fmt.Sprintf("team-%c", 'a'+k), from))
				if g := w.longestStartGap(fmt.Sprintf("team-%c", 'a'+k), from); g > 5*time.Second {
					t.Errorf("team-%c: got no start for %v, want at most 5s", 'a'+k, g)
				}
			}
			if migrations == 0 {
				t.Error("got no migration of a team, want some")
			}
			if n := restarts(); n > before+1 {
				t.Errorf("got %d tasks started again during the migrations, want at most 1", n-before)
			}
			was := w.teamsByController()
			w.Run(4 * time.Minute)
			if now := w.teamsByController(); fmt.Sprint(now) != fmt.Sprint(was) {
				t.Errorf("got teams by controller %v, 4 minutes later %v, want the same", was, now)
			}
			reportViolations(t, w.Violations)
			if t.Failed() {
				t.Log(w.logs)
			}
		})
	}
}

// TestTeamMigrationOverBadLinks migrates teams while messages are lost, duplicated or held, controllers are
// partitioned from each other, or shard leaders crash. No task runs twice, and all jobs are done.
func TestTeamMigrationOverBadLinks(t *testing.T) {
	for _, c := range []struct {
		name    string
		disturb func(w *World)
	}{
		{"loss", func(w *World) { w.lossRate, w.duplicateRate = 0.03, 0.03 }},
		{"controllers partitioned", func(w *World) {
			for i := range w.controllers {
				w.Partition(w.controllers[i].name, w.controllers[(i+1)%3].name, 40*time.Second, i%2 == 0)
			}
		}},
		{"shard leaders crash", func(w *World) {
			w.schedule(33*time.Second, func() { w.CrashController(0, 5*time.Second) })
			w.schedule(47*time.Second, func() { w.CrashController(1, 5*time.Second) })
		}},
		{"all crash", func(w *World) {
			w.schedule(35*time.Second, func() {
				for i := range w.controllers {
					w.CrashController(i, 5*time.Second)
				}
			})
		}},
		{"state service outage", func(w *World) { w.schedule(34*time.Second, func() { w.Outage(20 * time.Second) }) }},
		{"receiver partitioned", func(w *World) {
			w.schedule(34*time.Second, func() { w.Partition(w.controllers[2].name, "*", 30*time.Second, true) })
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			w := newRebalancingWorld(t, 3, 4)
			w.Run(50 * time.Second)
			w.CrashController(2, 30*time.Second)
			w.Run(32 * time.Second)
			c.disturb(w)
			w.Run(90 * time.Second)
			w.lossRate, w.duplicateRate = 0, 0
			w.Run(30 * time.Second)
			reportViolations(t, w.Violations)
			late := 0
			for _, j := range w.jobs {
				if !j.spec.LongRunning && j.lastState != "done" && w.now.Sub(j.submitted) > 100*time.Second {
					late++
				}
			}
			if late > 0 {
				t.Errorf("got %d jobs not done 100 s after their submission, want none", late)
			}
			if t.Failed() {
				t.Log(w.logs)
			}
		})
	}
}

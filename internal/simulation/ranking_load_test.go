package simulation

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"sync/atomic"
	"testing"
	"time"

	"github.com/micahill/micahill/internal/controller"
	"github.com/micahill/micahill/internal/message"
	"github.com/micahill/micahill/internal/model"
)

// TestRankingStorm has five controllers set a ranking every second; decisions are withdrawn as often, and jobs
// still get done. How many in a minute depends on when a ranking meets a start, so several days count together.
func TestRankingStorm(t *testing.T) {
	const days = 6
	var allDone atomic.Int64
	t.Run("days", func(t *testing.T) {
		for seed := range uint64(days) {
			t.Run(fmt.Sprint(31+seed), func(t *testing.T) {
				t.Parallel()
				w := newRankingWorld(31+seed, 5)
				w.Run(10 * time.Second)
				accepted := 0
				for k := range 60 {
					text := []string{rushFirst, reprintFirst}[k%2]
					w.schedule(time.Duration(k)*time.Second, func() {
						w.SetRanking(k%5, message.SetRanking{Record: mustParseRanking(t, text, "somebody"), AnyRevision: true}, func(r message.RankingReply) { accepted += boolInt(r.Status == 200) })
					})
				}
				flood(w, "reprint-a", 30, 5*time.Second)
				flood(w, "rush-rx", 30, 5*time.Second)
				w.Run(58 * time.Second)
				done := 0
				for _, j := range w.jobs {
					done += boolInt(j.finished != time.Time{})
				}
				w.runUntilDone()
				reportViolations(t, w.Violations)
				if accepted < 50 || done < 15 {
					t.Errorf("got %d rankings set, %d jobs done meanwhile, want at least 50 and 15", accepted, done)
				}
				allDone.Add(int64(done))
			})
		}
	})
	if allDone.Load() < 40*days {
		t.Errorf("got %d jobs done meanwhile on %d days, want %d", allDone.Load(), days, 40*days)
	}
}

// TestRankedDays plays random days with random faults and changing rankings.
func TestRankedDays(t *testing.T) {
	for seed := range dayCount(t, 8, 3) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			types, capacity := testTypes()
			set := testSettings()
			set.Capabilities = randomCapabilities(seed)
			set.Capabilities.Ranking = true
			w := NewWorld(seed, 3+int(seed%2)*2, set, testCancelWithin, types, capacity)
			w.CheckRanking()
			// Other things affect the order too on such a day: quotas, pauses, images.
			w.rankingCheck.startsOnly = true
			w.lossRate, w.duplicateRate = 0.01, 0.02
			rng := rand.New(rand.NewPCG(seed, 5))
			for k := range 30 {
				text := []string{rushFirst, reprintFirst, "[[class]]\nname = \"b\"\nworkloads = [\"batch\"]\nurgency = \"normal\"\n"}[rng.IntN(3)]
				w.schedule(time.Duration(10+k*11+rng.IntN(5))*time.Second, func() {
					w.SetRanking(rng.IntN(len(w.controllers)), message.SetRanking{Record: mustParseRanking(t, text, "somebody"), AnyRevision: true}, func(message.RankingReply) {})
				})
			}
			randomDay(w, seed+500)
			reportViolations(t, w.Violations)
			checkFinalAnswers(t, w, true)
		})
	}
}

// TestRushBehindFlood checks that rush jobs wait hardly longer behind a flood of reprints ten times their size
// than alone, or no longer than their objective, before and after a crash of the shard leader.
func TestRushBehindFlood(t *testing.T) {
	const within = 3 * time.Second
	wait := func(reprints int) (before, after time.Duration) {
		types, capacity := testTypes()
		set := testSettings()
		set.Capabilities.Ranking = true
		set.Objectives = []model.Objective{{Kind: "wait", Workload: "rush-rx", Within: within, Fraction: 0.9}}
		w := NewWorld(11, 5, set, testCancelWithin, types, capacity)
		w.CheckRanking()
		w.rankingCheck.startsOnly = true
		w.Run(10 * time.Second)
		w.SetRanking(2, message.SetRanking{Record: mustParseRanking(t, rushFirst, "me"), AnyRevision: true}, func(message.RankingReply) {})
		rush := func(prefix string) (worst time.Duration) {
			var ids []string
			for i := range 10 {
				id := fmt.Sprintf("job-%s-%02d", prefix, i)
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
		w.CrashController(w.shardLeaderOf("ops"), 20*time.Second)
		w.Run(20 * time.Second)
		after = rush("after")
		w.runUntilDone()
		reportViolations(t, w.Violations)
		return before, after
	}
	b0, a0 := wait(0)
	b1, a1 := wait(100)
	t.Logf("waits before and after the takeover: alone %v, %v, behind a flood %v, %v", b0, a0, b1, a1)
	// A scan for preemption victims and a tick of the checks add to the relative limit.
	const tolerance = 600 * time.Millisecond
	if limit := max(b0*13/10+tolerance, within); b1 > limit {
		t.Errorf("before the takeover: got rush jobs waiting %v, alone %v, want at most %v", b1, b0, limit)
	}
	if limit := max(a0*13/10+tolerance, within); a1 > limit {
		t.Errorf("after the takeover: got rush jobs waiting %v, alone %v, want at most %v", a1, a0, limit)
	}
}

// TestRankingSwitchedOnAndOff restarts controllers one after another with a ranking and without, while jobs run.
// Nothing is lost, and controllers without a ranking leave its record alone.
func TestRankingSwitchedOnAndOff(t *testing.T) {
	for _, controllers := range []int{3, 5} {
		w := newRankingWorld(21, controllers)
		w.settings.Capabilities.Ranking = false
		// Controllers without a ranking are not checked for it.
		w.rankingCheck = nil
		on := false
		w.adjustSettings = func(_ int, s *controller.Settings) { s.Capabilities.Ranking = on }
		for i := range controllers {
			w.CrashController(i, time.Second)
		}
		w.Run(10 * time.Second)
		for round := range 3 {
			flood(w, fmt.Sprint("reprint-", round), 30, 8*time.Second)
			w.Run(12 * time.Second)
			on = round%2 == 0
			for i := range controllers {
				w.CrashController(i, 500*time.Millisecond)
				w.Run(6 * time.Second)
			}
		}
		w.runUntilDone()
		reportViolations(t, w.Violations)
		checkFinalAnswers(t, w, false)
		if w.state.records["ctl/ranking"] == nil || w.state.records["ranking/1"] == nil {
			t.Error("got no ranking records, want the derived ranking")
		}
	}
}

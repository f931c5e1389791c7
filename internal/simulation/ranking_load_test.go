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

// TestRankingStorm sets a ranking every second, at five controllers in turn. Each new ranking makes the
// controllers withdraw their pending placement decisions; the test guards against jobs that then make no
// progress. The number of jobs done in a minute depends on how the rankings coincide with starts, so the test
// adds up several days.
func TestRankingStorm(t *testing.T) {
	const days = 6
	var allDone atomic.Int64
	t.Run("days", func(t *testing.T) {
		for seed := range uint64(days) {
			t.Run(fmt.Sprint(31+seed), func(t *testing.T) {
				t.Parallel()
				world := newRankingWorld(31+seed, 5)
				world.Run(10 * time.Second)
				accepted := 0
				for second := range 60 {
					text := []string{rushFirst, reprintFirst}[second%2]
					world.schedule(time.Duration(second)*time.Second, func() {
						world.SetRanking(second%5, message.SetRanking{Record: mustParseRanking(t, text, "somebody"), AnyRevision: true}, func(reply message.RankingReply) { accepted += boolInt(reply.Status == 200) })
					})
				}
				submitWorkload(world, "reprint-a", 30, 5*time.Second)
				submitWorkload(world, "rush-rx", 30, 5*time.Second)
				world.Run(58 * time.Second)
				done := 0
				for _, job := range world.jobs {
					done += boolInt(job.finished != time.Time{})
				}
				world.runUntilDone()
				reportViolations(t, world.Violations)
				if accepted < 50 || done < 15 {
					t.Errorf("got %d rankings accepted and %d jobs done in the first minute, want at least 50 and 15", accepted, done)
				}
				allDone.Add(int64(done))
			})
		}
	})
	if allDone.Load() < 40*days {
		t.Errorf("got %d jobs done in the first minutes of %d days, want at least %d", allDone.Load(), days, 40*days)
	}
}

// TestRankedDays plays random days with random faults and changing rankings, and checks the invariants and
// the final answers about all jobs.
func TestRankedDays(t *testing.T) {
	for seed := range dayCount(t, 8, 3) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			types, capacity := testTypes()
			settings := testSettings()
			settings.Capabilities = randomCapabilities(seed)
			settings.Capabilities.Ranking = true
			world := NewWorld(seed, 3+int(seed%2)*2, settings, testCancelWithin, types, capacity)
			world.CheckRanking()
			// Quotas, pauses and images affect the order on such a day too, so only starts are checked.
			world.rankingCheck.startsOnly = true
			world.lossRate, world.duplicateRate = 0.01, 0.02
			rng := rand.New(rand.NewPCG(seed, 5))
			for change := range 30 {
				text := []string{rushFirst, reprintFirst, "[[class]]\nname = \"b\"\nworkloads = [\"batch\"]\nurgency = \"normal\"\n"}[rng.IntN(3)]
				world.schedule(time.Duration(10+change*11+rng.IntN(5))*time.Second, func() {
					world.SetRanking(rng.IntN(len(world.controllers)), message.SetRanking{Record: mustParseRanking(t, text, "somebody"), AnyRevision: true}, func(message.RankingReply) {})
				})
			}
			runRandomDay(world, seed+500)
			reportViolations(t, world.Violations)
			checkFinalAnswers(t, world, true)
		})
	}
}

// TestRushBehindFlood guards against rush jobs that are delayed by a flood of reprint jobs of ten times their
// size. Before and after a crash of the shard leader, rush jobs may wait at most 30 % longer than without the
// flood (plus a tolerance), or as long as their objective allows.
func TestRushBehindFlood(t *testing.T) {
	const within = 3 * time.Second
	measureWaits := func(reprints int) (before, after time.Duration) {
		types, capacity := testTypes()
		settings := testSettings()
		settings.Capabilities.Ranking = true
		settings.Objectives = []model.Objective{{Kind: "wait", Workload: "rush-rx", Within: within, Fraction: 0.9}}
		world := NewWorld(11, 5, settings, testCancelWithin, types, capacity)
		world.CheckRanking()
		world.rankingCheck.startsOnly = true
		world.Run(10 * time.Second)
		world.SetRanking(2, message.SetRanking{Record: mustParseRanking(t, rushFirst, "me"), AnyRevision: true}, func(message.RankingReply) {})
		rush := func(prefix string) (worst time.Duration) {
			var ids []string
			for i := range 10 {
				id := fmt.Sprintf("job-%s-%02d", prefix, i)
				ids = append(ids, id)
				world.Submit(model.JobSpec{ID: id, Workload: "rush-rx", Team: "ops", Urgency: model.Urgent, Tasks: 2, AllowSpot: true,
					Need: model.Resources{CPU: 2, Memory: 2}, Image: "img-1", ImageGB: 0.5, ExpectedRunTime: 6 * time.Second}, 6*time.Second, false)
				world.Run(1500 * time.Millisecond)
			}
			world.Run(time.Minute)
			var waits []time.Duration
			for _, id := range ids {
				for i := range 2 {
					if at, ok := world.jobs[id].firstStarts[i]; ok {
						waits = append(waits, at.Sub(world.jobs[id].submitted))
					} else {
						waits = append(waits, time.Hour)
					}
				}
			}
			slices.Sort(waits)
			return waits[len(waits)*9/10]
		}
		rush("warm")
		submitWorkload(world, "reprint", reprints, 6*time.Second)
		world.Run(5 * time.Second)
		before = rush("before")
		submitWorkload(world, "reprint", reprints, 6*time.Second)
		world.CrashController(world.shardLeaderOf("ops"), 20*time.Second)
		world.Run(20 * time.Second)
		after = rush("after")
		world.runUntilDone()
		reportViolations(t, world.Violations)
		return before, after
	}
	beforeAlone, afterAlone := measureWaits(0)
	beforeFlooded, afterFlooded := measureWaits(100)
	t.Logf("waits before and after the takeover: without reprint jobs %v, %v, with them %v, %v", beforeAlone, afterAlone, beforeFlooded, afterFlooded)
	// tolerance covers one scan for preemption victims and one tick of the checks.
	const tolerance = 600 * time.Millisecond
	if limit := max(beforeAlone*13/10+tolerance, within); beforeFlooded > limit {
		t.Errorf("before the takeover: got rush jobs waiting %v with reprint jobs and %v without, want at most %v", beforeFlooded, beforeAlone, limit)
	}
	if limit := max(afterAlone*13/10+tolerance, within); afterFlooded > limit {
		t.Errorf("after the takeover: got rush jobs waiting %v with reprint jobs and %v without, want at most %v", afterFlooded, afterAlone, limit)
	}
}

// TestRankingSwitchedOnAndOff restarts the controllers one after another while jobs run, with the ranking
// enabled and disabled in turn. It guards against lost jobs, and against controllers that modify or remove
// the stored ranking although their ranking is disabled.
func TestRankingSwitchedOnAndOff(t *testing.T) {
	for _, controllers := range []int{3, 5} {
		world := newRankingWorld(21, controllers)
		world.settings.Capabilities.Ranking = false
		// The ranking check does not apply to controllers whose ranking is disabled.
		world.rankingCheck = nil
		enabled := false
		world.adjustSettings = func(_ int, settings *controller.Settings) { settings.Capabilities.Ranking = enabled }
		for i := range controllers {
			world.CrashController(i, time.Second)
		}
		world.Run(10 * time.Second)
		for round := range 3 {
			submitWorkload(world, fmt.Sprint("reprint-", round), 30, 8*time.Second)
			world.Run(12 * time.Second)
			enabled = round%2 == 0
			for i := range controllers {
				world.CrashController(i, 500*time.Millisecond)
				world.Run(6 * time.Second)
			}
		}
		world.runUntilDone()
		reportViolations(t, world.Violations)
		checkFinalAnswers(t, world, false)
		if world.state.records["ctl/ranking"] == nil || world.state.records["ranking/1"] == nil {
			t.Error("got no ranking records, want ctl/ranking and ranking/1")
		}
	}
}

package simulation

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/micahill/micahill/internal/controller"
	"github.com/micahill/micahill/internal/message"
	"github.com/micahill/micahill/internal/model"
	"github.com/micahill/micahill/internal/ranking"
)

// newRankingWorld returns a world whose controllers follow a ranking, and checks that they do. No objective
// prefers one workload to another, so only the ranking decides.
func newRankingWorld(seed uint64, controllers int) *World {
	types, capacity := testTypes()
	set := testSettings()
	set.Capabilities.Ranking = true
	set.Objectives = nil
	world := NewWorld(seed, controllers, set, testCancelWithin, types, capacity)
	world.CheckRanking()
	return world
}

// Two rankings with opposite orders.
const (
	// rushFirst ranks rush workloads before reprint workloads.
	rushFirst = "[[class]]\nname = \"rush\"\nworkloads = [\"rush-*\"]\n[[class]]\nname = \"reprint\"\nworkloads = [\"reprint*\"]\n"
	// reprintFirst ranks reprint workloads before rush workloads.
	reprintFirst = "[[class]]\nname = \"reprint\"\nworkloads = [\"reprint*\"]\n[[class]]\nname = \"rush\"\nworkloads = [\"rush-*\"]\n"
)

// mustParseRanking parses a ranking and returns it as a record set by the user by.
func mustParseRanking(t *testing.T, text, by string) ranking.Record {
	t.Helper()
	rec, err := ranking.Parse([]byte(text))
	if err != nil {
		t.Fatal(err)
	}
	rec.SetBy = by
	return rec
}

// submitWorkload submits jobs of one workload that differ only in their IDs.
func submitWorkload(world *World, workload string, jobs int, run time.Duration) {
	for i := range jobs {
		id := fmt.Sprintf("job-%s-%03d", workload, i)
		for world.jobs[id] != nil {
			id += "x"
		}
		world.Submit(model.JobSpec{ID: id, Workload: workload, Team: "ops", Urgency: model.Normal, Tasks: 2, AllowSpot: true,
			Need: model.Resources{CPU: 2, Memory: 2}, Image: "img-1", ImageGB: 0.5, ExpectedRunTime: run}, run, false)
	}
}

// TestOrderSurvivesTakeover gives the shard leader and the other controllers policies with opposite weights.
// Without a ranking, a takeover reverses the order of the same jobs. The test guards against a ranking that
// does not keep the order.
func TestOrderSurvivesTakeover(t *testing.T) {
	for _, withRanking := range []bool{false, true} {
		for _, controllers := range []int{3, 5} {
			t.Run(fmt.Sprint(withRanking, controllers), func(t *testing.T) {
				types, _ := testTypes()
				set := testSettings()
				set.Capabilities.Ranking = withRanking
				set.Objectives = nil
				world := NewWorld(7, controllers, set, testCancelWithin, types, map[string]int{"small/a/true": 3})
				world.CheckRanking()
				policy := func(rush float64) controller.Policy {
					weighted := controller.DefaultPolicy()
					weighted.WorkloadWeights = map[string]float64{"rush-rx": rush, "reprint": -rush}
					return weighted
				}
				world.adjustSettings = func(i int, settings *controller.Settings) { settings.Policy = policy(1) }
				for _, process := range world.controllers {
					process.start()
				}
				// Restart all controllers but the shard leader with the opposite policy.
				world.Run(20 * time.Second)
				shardLeader := world.shardLeaderOf("ops")
				world.adjustSettings = func(i int, settings *controller.Settings) { settings.Policy = policy(-1) }
				for i := range world.controllers {
					if i != shardLeader {
						world.CrashController(i, time.Second)
					}
				}
				world.Run(20 * time.Second)
				submitWorkload(world, "reprint", 12, 10*time.Second)
				world.Run(15 * time.Second)
				submitWorkload(world, "rush-rx", 5, 10*time.Second)
				world.Run(5 * time.Second)
				world.CrashController(shardLeader, time.Hour)
				world.Run(20 * time.Second)
				submitWorkload(world, "rush-rx", 5, 10*time.Second)
				world.runUntilDone()
				// Count the reprint tasks that start after the last rush task.
				var last time.Time
				for _, id := range sortedKeys(world.jobs) {
					if job := world.jobs[id]; job.spec.Workload == "rush-rx" {
						for _, at := range job.firstStarts {
							last = maxTime(last, at)
						}
					}
				}
				after := 0
				for _, id := range sortedKeys(world.jobs) {
					if job := world.jobs[id]; job.spec.Workload == "reprint" {
						for _, at := range job.firstStarts {
							after += boolInt(at.After(last))
						}
					}
				}
				if withRanking != (after > 0) {
					t.Errorf("ranking %v: got %d reprint tasks started after the last rush task, want some only with a ranking", withRanking, after)
				}
				if withRanking {
					reportViolations(t, world.Violations)
				}
				checkFinalAnswers(t, world, false)
			})
		}
	}
}

// TestRankingChangesUnderFailures crashes, pauses or partitions controllers at each step of a change of the
// ranking: before the change is sent, while it is in flight, and while the other controllers learn of it. It
// guards against controllers that continue with different or incomplete rankings, and against a start that
// was decided under the previous ranking and is sent too late.
func TestRankingChangesUnderFailures(t *testing.T) {
	steps := []time.Duration{0, 4 * time.Millisecond, 9 * time.Millisecond, 15 * time.Millisecond, 60 * time.Millisecond, 2500 * time.Millisecond}
	for _, controllers := range []int{3, 5} {
		for _, failure := range []string{"setter crashes", "leader crashes", "shard leader crashes", "all crash", "shard leader pauses", "shard leader partitioned"} {
			for k, step := range steps {
				if controllers == 5 && k%2 == 0 {
					continue
				}
				t.Run(fmt.Sprint(controllers, failure, step), func(t *testing.T) {
					t.Parallel()
					world := newRankingWorld(uint64(100*controllers+k), controllers)
					scenarioRun := &scenario{world: world}
					submitWorkload(world, "reprint-a", 30, 8*time.Second)
					world.Run(25 * time.Second)
					submitWorkload(world, "rush-rx", 6, 8*time.Second)
					shardLeader := world.shardLeaderOf("ops")
					setter := (shardLeader + 1) % controllers
					world.duplicateRate = 0.05
					world.SetRanking(setter, message.SetRanking{Record: mustParseRanking(t, rushFirst, "first"), AnyRevision: true}, func(message.RankingReply) {})
					world.Run(4 * time.Second)
					var reply message.RankingReply
					world.SetRanking(setter, message.SetRanking{Record: mustParseRanking(t, reprintFirst, "second"), AnyRevision: true}, func(answer message.RankingReply) { reply = answer })
					world.Run(step)
					switch failure {
					case "setter crashes":
						world.CrashController(setter, 3*time.Second)
					case "shard leader crashes", "leader crashes":
						for i, process := range world.controllers {
							if process.alive && (failure == "shard leader crashes" && i == shardLeader || failure == "leader crashes" && world.leaderName() == world.controllers[i].name) {
								world.CrashController(i, 3*time.Second)
							}
						}
					case "all crash":
						for i := range world.controllers {
							world.CrashController(i, time.Second)
						}
					case "shard leader pauses":
						world.Pause(shardLeader, time.Minute)
					case "shard leader partitioned":
						world.Partition(world.controllers[shardLeader].name, "state", 20*time.Second, k%2 == 0)
					}
					world.Run(100 * time.Second)
					submitWorkload(world, "rush-rx", 4, 8*time.Second)
					world.runUntilDone()
					reportViolations(t, world.Violations)
					out := scenarioRun.describeRanking(t)
					if !strings.HasSuffix(out, "; 0 behind\n") || reply.Status == 200 && !strings.Contains(out, "by second") {
						t.Errorf("got reply %d %s and final ranking %s, want no controller behind, and the second ranking if accepted", reply.Status, reply.Message, out)
					}
					checkFinalAnswers(t, world, false)
					if t.Failed() {
						logTail(t, world.logs, 40)
					}
				})
			}
		}
	}
}

// TestStartsOfPausedShardLeader pauses the shard leader just before it sends the record of a start, the request
// for a heartbeat, the reply with the start or any heartbeat reply, for less than its lease or for a minute. Meanwhile another controller sets
// another ranking. The test guards against a start that the shard leader decided under the previous ranking
// and sends too late.
func TestStartsOfPausedShardLeader(t *testing.T) {
	requestsHeartbeat := func(effect message.Effect) bool {
		request, ok := effect.(message.WorkerRequest)
		return ok && request.RequestsHeartbeat
	}
	sendsStart := func(effect message.Effect) bool {
		reply, ok := effect.(message.HeartbeatReply)
		return ok && slices.ContainsFunc(reply.Commands, func(command model.TaskCommand) bool { return command.Kind == model.StartTask })
	}
	for name, moment := range map[string]func(message.Effect) bool{"record": pausePoints["start"], "heartbeat request": requestsHeartbeat, "start": sendsStart, "heartbeat": pausePoints["report"]} {
		for _, long := range []time.Duration{3400 * time.Millisecond, time.Minute} {
			t.Run(fmt.Sprint(name, long), func(t *testing.T) {
				t.Parallel()
				changed := 0
				for seed := range uint64(4) {
					world := newRankingWorld(seed, 3)
					submitWorkload(world, "reprint-a", 40, 6*time.Second)
					world.Run(24 * time.Second)
					shardLeader := world.shardLeaderOf("ops")
					process := world.controllers[shardLeader]
					world.PauseBefore(long, moment, func(candidate *controllerProcess) bool { return candidate == process })
					for end := world.now.Add(30 * time.Second); !world.now.Before(process.pausedUntil) && world.now.Before(end); {
						world.Run(time.Millisecond)
					}
					if world.now.Before(process.pausedUntil) {
						world.SetRanking((shardLeader+1)%3, message.SetRanking{Record: mustParseRanking(t, rushFirst, "first"), AnyRevision: true}, func(reply message.RankingReply) {
							changed += boolInt(reply.Status == 200 && world.now.Before(process.pausedUntil.Add(-maxOutdatedStartDelay)))
						})
					}
					world.runUntilDone()
					reportViolations(t, world.Violations)
					checkFinalAnswers(t, world, false)
				}
				if changed < 3 {
					t.Errorf("got a ranking set during %d pauses of 4, want at least 3", changed)
				}
			})
		}
	}
}

package simulation

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/micahill/micahill/internal/message"
	"github.com/micahill/micahill/internal/model"
	"github.com/vmihailenco/msgpack/v5"
)

// TestImmediateRestart crashes the shard leader, and during the following election also the controller that
// claims leadership, just before or after one of its steps. In some cases all controllers crash. The crashed
// controllers restart within half a second. It guards against tasks that start twice and jobs that are never
// done.
func TestImmediateRestart(t *testing.T) {
	for _, controllers := range []int{3, 5} {
		for _, step := range []string{"claim", "share", "register", "read", "epoch", "report"} {
			for _, restartAfter := range []time.Duration{50, 200, 500} {
				for _, afterSend := range []bool{false, true} {
					t.Run(fmt.Sprint(controllers, step, restartAfter, afterSend), func(t *testing.T) {
						t.Parallel()
						world := newTestWorldOfSize(uint64(restartAfter), controllers)
						for i := range 8 {
							world.Submit(model.JobSpec{ID: fmt.Sprintf("job-%06d", i), Workload: "batch", Team: "ops", Urgency: model.Normal, Tasks: 2,
								Need: model.Resources{CPU: 2, Memory: 2}, Image: "i", ImageGB: 1, ExpectedRunTime: 20 * time.Second}, 20*time.Second, false)
						}
						world.Run(35 * time.Second)
						world.CrashBefore(restartAfter*time.Millisecond, afterSend, pausePoints[step])
						// Crash the shard leader or, with the longest restart time, all controllers.
						for i, process := range world.controllers {
							if process.controller.IsShardLeader() || restartAfter == 500 {
								world.CrashController(i, restartAfter*time.Millisecond)
							}
						}
						world.Run(4 * time.Minute)
						if world.crashCondition != nil {
							t.Errorf("got no controller that reached step %s, want one that crashes there", step)
						}
						reportViolations(t, world.Violations)
						for _, id := range sortedKeys(world.jobs) {
							if world.jobs[id].lastState != "done" {
								t.Errorf("%s: got final state %q, want done", id, world.jobs[id].lastState)
							}
						}
						if t.Failed() {
							logTail(t, world.logs, len(world.logs))
						}
					})
				}
			}
		}
	}
}

// TestPollStorms crashes all controllers, and then users poll ended jobs, open jobs and unknown jobs 8 to 100
// times as often as usual. It guards against jobs without an answer after 20 s, against outdated answers, and
// against a load of reads on the state service that grows with the polls.
func TestPollStorms(t *testing.T) {
	const within = 20 * time.Second
	for _, test := range []struct{ jobs, times int }{{1000, 8}, {300, 30}, {100, 100}} {
		t.Run(fmt.Sprint(test.times), func(t *testing.T) {
			t.Parallel()
			world := newTestWorldOfSize(3, 5)
			world.Run(10 * time.Second)
			world.state.revision++
			for i := range test.jobs {
				rec, err := msgpack.Marshal(map[string]any{"s": "done", "n": 3})
				if err != nil {
					t.Fatal(err)
				}
				world.state.records[fmt.Sprintf("job/job-%06d", 2*i)] = &storedRecord{value: rec, modRevision: world.state.revision}
			}
			for i := range 40 {
				world.Submit(model.JobSpec{ID: fmt.Sprintf("job-9%05d", i), Workload: "batch", Team: "ops", Urgency: model.Normal, Tasks: 1,
					Need: model.Resources{CPU: 2, Memory: 2}, Image: "i", ImageGB: 1, ExpectedRunTime: 200 * time.Second}, 200*time.Second, false)
			}
			world.Run(10 * time.Second)
			for i := range world.controllers {
				world.CrashController(i, time.Second)
			}
			crashedAt, reads := world.now, 0
			world.corruptEffect = func(effect message.Effect) message.Effect {
				if request, ok := effect.(message.StoreRequest); ok && strings.HasPrefix(request.Key, "job/") && request.Kind != message.OpTxn {
					reads++
				}
				return effect
			}
			answered := map[string]time.Duration{}
			var poll func(id, want string)
			poll = func(id, want string) {
				world.userRequest(func(reply uint64) message.Command { return message.QueryJob{Reply: reply, ID: id} }, 2*time.Second, func(reply *message.UserReply) {
					switch {
					case reply == nil || reply.Status == 503:
					case want == "" && reply.Status != 404 || want == "done" && reply.State != "done" || want == "queued" && reply.Status != 200:
						t.Errorf("%s: got answer with status %d and state %q, want one for %q (empty for an unknown job)", id, reply.Status, reply.State, want)
					case answered[id] == 0:
						answered[id] = world.now.Sub(crashedAt)
					}
					world.schedule(world.jitter(5*time.Second/time.Duration(test.times)), func() { poll(id, want) })
				})
			}
			for i := range test.jobs {
				poll(fmt.Sprintf("job-%06d", 2*i), "done")
				poll(fmt.Sprintf("job-%06d", 2*i+1), "")
			}
			for i := range 40 {
				poll(fmt.Sprintf("job-9%05d", i), "queued")
			}
			world.Run(within)
			var last time.Duration
			for _, delay := range answered {
				last = max(last, delay)
			}
			t.Logf("got answers about %d of %d jobs, the last after %v, with %d reads and %d refused requests", len(answered), 2*test.jobs+40, last, reads, world.RefusedRequests)
			if len(answered) != 2*test.jobs+40 {
				t.Errorf("got answers about %d jobs, want %d", len(answered), 2*test.jobs+40)
			}
			// Each controller sends at most three reads and one list request per batch, and a batch lasts
			// 150 ms.
			if limit := 4 * len(world.controllers) * int(within/(150*time.Millisecond)); reads > limit {
				t.Errorf("got %d reads of job records, want at most %d", reads, limit)
			}
			reportViolations(t, world.Violations)
		})
	}
}

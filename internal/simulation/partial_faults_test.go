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

// TestImmediateRestart crashes the controller that claims leadership during an election too, just before
// or after one of its steps, and restarts all crashed ones within a fraction of a second. Nothing starts
// twice, and all jobs are done.
func TestImmediateRestart(t *testing.T) {
	for _, controllers := range []int{3, 5} {
		for _, in := range []string{"claim", "share", "register", "read", "epoch", "report"} {
			for _, back := range []time.Duration{50, 200, 500} {
				for _, sent := range []bool{false, true} {
					t.Run(fmt.Sprint(controllers, in, back, sent), func(t *testing.T) {
						t.Parallel()
						w := newTestWorldOfSize(uint64(back), controllers)
						for i := range 8 {
							w.Submit(model.JobSpec{ID: fmt.Sprintf("job-%06d", i), Workload: "batch", Team: "ops", Urgency: model.Normal, Tasks: 2,
								Need: model.Resources{CPU: 2, Memory: 2}, Image: "i", ImageGB: 1, ExpectedRunTime: 20 * time.Second}, 20*time.Second, false)
						}
						w.Run(35 * time.Second)
						w.CrashBefore(back*time.Millisecond, sent, pausePoints[in])
						// The former shard leader, and for one restart time all controllers.
						for i, p := range w.controllers {
							if p.controller.IsShardLeader() || back == 500 {
								w.CrashController(i, back*time.Millisecond)
							}
						}
						w.Run(4 * time.Minute)
						if w.crashCondition != nil {
							t.Errorf("got no controller at step %s", in)
						}
						reportViolations(t, w.Violations)
						for _, id := range sortedKeys(w.jobs) {
							if w.jobs[id].lastState != "done" {
								t.Errorf("%s: got final state %q, want done", id, w.jobs[id].lastState)
							}
						}
						if t.Failed() {
							logTail(t, w.logs, len(w.logs))
						}
					})
				}
			}
		}
	}
}

// TestPollStorms crashes all controllers while users poll ended jobs, open jobs and unknown jobs many times
// as often as usual. Each has an answer within 20 s, none an old one, with few reads.
func TestPollStorms(t *testing.T) {
	const within = 20 * time.Second
	for _, c := range []struct{ jobs, times int }{{1000, 8}, {300, 30}, {100, 100}} {
		t.Run(fmt.Sprint(c.times), func(t *testing.T) {
			t.Parallel()
			w := newTestWorldOfSize(3, 5)
			w.Run(10 * time.Second)
			w.state.revision++
			for i := range c.jobs {
				rec, err := msgpack.Marshal(map[string]any{"s": "done", "n": 3})
				if err != nil {
					t.Fatal(err)
				}
				w.state.records[fmt.Sprintf("job/job-%06d", 2*i)] = &storedRecord{value: rec, modRevision: w.state.revision}
			}
			for i := range 40 {
				w.Submit(model.JobSpec{ID: fmt.Sprintf("job-9%05d", i), Workload: "batch", Team: "ops", Urgency: model.Normal, Tasks: 1,
					Need: model.Resources{CPU: 2, Memory: 2}, Image: "i", ImageGB: 1, ExpectedRunTime: 200 * time.Second}, 200*time.Second, false)
			}
			w.Run(10 * time.Second)
			for i := range w.controllers {
				w.CrashController(i, time.Second)
			}
			began, reads := w.now, 0
			w.corruptEffect = func(e message.Effect) message.Effect {
				if op, ok := e.(message.StoreRequest); ok && strings.HasPrefix(op.Key, "job/") && op.Kind != message.OpTxn {
					reads++
				}
				return e
			}
			answered := map[string]time.Duration{}
			var ask func(id, want string)
			ask = func(id, want string) {
				w.userRequest(func(r uint64) message.Command { return message.QueryJob{Reply: r, ID: id} }, 2*time.Second, func(r *message.UserReply) {
					switch {
					case r == nil || r.Status == 503:
					case want == "" && r.Status != 404 || want == "done" && r.State != "done" || want == "queued" && r.Status != 200:
						t.Errorf("%s: got answer %d %s, want %q", id, r.Status, r.State, want)
					case answered[id] == 0:
						answered[id] = w.now.Sub(began)
					}
					w.schedule(w.jitter(5*time.Second/time.Duration(c.times)), func() { ask(id, want) })
				})
			}
			for i := range c.jobs {
				ask(fmt.Sprintf("job-%06d", 2*i), "done")
				ask(fmt.Sprintf("job-%06d", 2*i+1), "")
			}
			for i := range 40 {
				ask(fmt.Sprintf("job-9%05d", i), "queued")
			}
			w.Run(within)
			var last time.Duration
			for _, d := range answered {
				last = max(last, d)
			}
			t.Logf("%d of %d jobs answered, the last after %v, %d reads, %d refused requests", len(answered), 2*c.jobs+40, last, reads, w.RefusedRequests)
			if len(answered) != 2*c.jobs+40 {
				t.Errorf("got answers about %d jobs, want %d", len(answered), 2*c.jobs+40)
			}
			// Each controller makes three reads and a list in each batch of 150 ms.
			if limit := 4 * len(w.controllers) * int(within/(150*time.Millisecond)); reads > limit {
				t.Errorf("got %d reads, want at most %d", reads, limit)
			}
			reportViolations(t, w.Violations)
		})
	}
}

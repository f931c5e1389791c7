package simulation

import (
	"fmt"
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/micahill/micahill/internal/message"
	"github.com/micahill/micahill/internal/model"
)

// checkStateAtAll queries a job at every controller and fails the test for each answer with a state other
// than want. Unanswered and refused (503) queries pass.
func checkStateAtAll(t *testing.T, world *World, id, want string) {
	t.Helper()
	for i := range world.controllers {
		world.userRequestTo(i, func(replyID uint64) message.Command { return message.QueryJob{Reply: replyID, ID: id} }, 5*time.Second, func(reply *message.UserReply) {
			if reply != nil && reply.Status != 503 && reply.State != want {
				t.Errorf("%s at node-%d: got %d %s, want state %s", id, i, reply.Status, reply.State, want)
			}
		})
	}
}

// TestSlowStateWhileUsersCancel makes the state service take seconds for an answer, for longer than
// cancel_s, while users cancel jobs and query all controllers as soon as a cancellation is confirmed. It
// guards against a controller that answers with the state before a confirmed cancellation. With the largest
// factor an answer takes about as long as a request may wait: then most requests are refused, and it is
// random which cancellations are confirmed.
func TestSlowStateWhileUsersCancel(t *testing.T) {
	const mostRefused = 300
	for _, slowFactor := range []float64{60, 150, 200, mostRefused} {
		t.Run(fmt.Sprint(slowFactor), func(t *testing.T) {
			t.Parallel()
			world := newTestWorldOfSize(4, 3)
			ids := world.submitMany("x", "ops", 12, 2, 2, 10*time.Minute)
			world.Run(60 * time.Second)
			world.stateSlowUntil, world.stateSlowFactor = world.now.Add(world.cancelWithin+30*time.Second), slowFactor
			confirmTimes := map[string]time.Duration{}
			world.onAnswer = func(requestedAt time.Time, reply message.UserReply) {
				if reply.State == "cancelled" && confirmTimes[reply.ID] == 0 {
					confirmTimes[reply.ID] = world.now.Sub(requestedAt)
					checkStateAtAll(t, world, reply.ID, "cancelled")
				}
			}
			last := world.trackLastRun(ids...)
			for i, id := range ids {
				world.schedule(time.Duration(i)*6*time.Second, func() { world.Cancel(id) })
			}
			world.Run(world.cancelWithin + 30*time.Second)
			longest := time.Duration(0)
			for _, confirmTime := range confirmTimes {
				longest = max(longest, confirmTime)
			}
			covered := len(confirmTimes) >= len(ids)/2 && longest >= time.Duration(4*slowFactor)*time.Millisecond
			if slowFactor == mostRefused {
				covered = len(confirmTimes) > 0
			}
			if !covered {
				t.Errorf("got %d cancellations confirmed while the state service is slow, the slowest after %v, want half of them and a slow one", len(confirmTimes), longest)
			}
			checkStoppedWithin(t, world, last, world.cancelWithin)
			world.Run(time.Minute)
			checkFinalAnswers(t, world, true)
			checkNoViolations(t, world)
		})
	}
}

// TestAllControllersDownBeyondLease crashes all controllers for longer than a worker lease, right after the
// cancellations of some jobs were confirmed. It guards against a cancelled job that runs again after the
// restart, and against a job that is lost because the leases of its machines expired.
func TestAllControllersDownBeyondLease(t *testing.T) {
	for _, downtime := range []time.Duration{26 * time.Second, 40 * time.Second, 2 * time.Minute} {
		t.Run(fmt.Sprint(downtime), func(t *testing.T) {
			t.Parallel()
			world := newTestWorldOfSize(4, 3)
			cancelled := world.submitMany("c", "ops", 4, 2, 2, 3*time.Minute)
			remaining := world.submitMany("x", "ops", 6, 2, 2, 3*time.Minute)
			world.Run(60 * time.Second)
			running := 0
			for _, id := range remaining {
				running += world.runningTasks(id)
			}
			last := world.trackLastRun(cancelled...)
			for _, id := range cancelled {
				world.Cancel(id)
			}
			if world.waitUntil(5*time.Second, func() bool {
				return !slices.ContainsFunc(cancelled, func(id string) bool { return world.jobs[id].cancelledAt.IsZero() })
			}) < 0 {
				t.Fatal("got cancellations not confirmed within 5s, want all confirmed")
			}
			for i := range world.controllers {
				world.CrashController(i, downtime)
			}
			world.Run(downtime)
			if running == 0 || world.LostToLease < running {
				t.Errorf("got %d tasks lost to expired leases, want all %d", world.LostToLease, running)
			}
			checkStoppedWithin(t, world, last, world.cancelWithin)
			world.Run(8 * time.Minute)
			for _, id := range append(cancelled, remaining...) {
				if want := []string{"done", "cancelled"}[boolInt(slices.Contains(cancelled, id))]; world.jobs[id].lastState != want {
					t.Errorf("%s: got final state %q, want %q", id, world.jobs[id].lastState, want)
				}
			}
			checkNoViolations(t, world)
		})
	}
}

// TestOneTaskJobs submits four jobs of one task each second for three minutes and cancels a quarter of
// them. It guards against jobs that don't end, and against records of open jobs and tasks that stay in the
// state service afterwards.
func TestOneTaskJobs(t *testing.T) {
	const jobs = 4 * 180
	world := newSmallWorld(5, testSettings())
	for i := range jobs {
		at, run := time.Duration(i)*250*time.Millisecond, time.Duration(4+i%9)*time.Second
		spec := batchJob(fmt.Sprintf("job-%06d", i), []string{"ops", "lab"}[i%2], 1, 1, run)
		world.schedule(at, func() { world.Submit(spec, run, false) })
		if i%4 == 1 {
			world.schedule(at+time.Duration(1+i%17)*time.Second, func() { world.Cancel(spec.ID) })
		}
	}
	world.Run(9 * time.Minute)
	finalStates := map[string]int{}
	for _, job := range world.jobs {
		finalStates[job.lastState]++
	}
	t.Logf("final states %v, %d writes, %d refused requests", finalStates, world.state.writeCount, world.RefusedRequests)
	if finalStates["done"]+finalStates["cancelled"] != jobs || finalStates["cancelled"] < jobs/16 || finalStates["done"] < jobs*3/4 {
		t.Errorf("got final states %v of %d jobs, want all done or cancelled, at least 3/4 done and 1/16 cancelled", finalStates, jobs)
	}
	for k := range world.state.records {
		if strings.HasPrefix(k, "open/") || strings.HasPrefix(k, "task/") {
			t.Errorf("got record %s left, want it removed", k)
		}
	}
	checkNoViolations(t, world)
}

// TestCancelledAtTheEnd cancels, queries and resubmits a job around the end of its last task, mostly within
// milliseconds of the write of its final record. It guards against a job that is reported both as done and
// as cancelled.
func TestCancelledAtTheEnd(t *testing.T) {
	// simulate cancels the job at the time at after the start of the world, through the controller with the
	// index node. If at is 0, it cancels nothing and returns the time from the start until a controller
	// sends the job's final record.
	simulate := func(t *testing.T, at time.Duration, node int) (*World, time.Duration) {
		world := newTestWorldOfSize(7, 3)
		spec := batchJob("job-000001", "ops", 2, 2, 20*time.Second)
		world.Submit(spec, 20*time.Second, false)
		job := world.jobs[spec.ID]
		if at == 0 {
			var sent time.Time
			world.corruptEffect = func(effect message.Effect) message.Effect {
				if sent.IsZero() && writesKey(effect, "job/") {
					sent = world.now
				}
				return effect
			}
			world.Run(2 * time.Minute)
			return world, sent.Sub(world.startedAt)
		}
		world.Run(at)
		job.cancelRequested = true
		requestedAt := world.now
		world.userRequestTo(node, func(replyID uint64) message.Command { return message.CancelJob{Reply: replyID, ID: spec.ID} }, 5*time.Second, func(reply *message.UserReply) {
			if reply != nil && reply.Status == 200 {
				world.checkAnswer(job, requestedAt, reply)
			} else {
				world.Cancel(spec.ID)
			}
		})
		for i := range world.controllers {
			world.userRequestTo(i, func(replyID uint64) message.Command { return message.QueryJob{Reply: replyID, ID: spec.ID} }, 2*time.Second, func(*message.UserReply) {})
			world.userRequestTo(i, func(replyID uint64) message.Command { return message.SubmitJob{Reply: replyID, Spec: spec} }, 5*time.Second, func(reply *message.UserReply) {
				if reply != nil && reply.Status != 200 && reply.Status != 503 {
					t.Errorf("repeated submission: got status %d, want 200 or 503", reply.Status)
				}
			})
		}
		if world.waitUntil(20*time.Second, func() bool { return job.lastState == "done" || job.lastState == "cancelled" }) < 0 {
			t.Errorf("got state %q, want done or cancelled", job.lastState)
		}
		for range 10 {
			checkStateAtAll(t, world, spec.ID, job.lastState)
			world.Run(time.Second)
		}
		return world, 0
	}
	_, end := simulate(t, 0, 0)
	var done, cancelled atomic.Int64
	t.Run("offsets", func(t *testing.T) {
		for _, step := range sampleCases(40, 10) {
			for node := range 3 {
				offset := time.Duration(step-36) * 6 * time.Millisecond
				t.Run(fmt.Sprintf("%v node-%d", offset, node), func(t *testing.T) {
					t.Parallel()
					world, _ := simulate(t, end+offset, node)
					done.Add(int64(boolInt(world.jobs["job-000001"].lastState == "done")))
					cancelled.Add(int64(boolInt(world.jobs["job-000001"].lastState == "cancelled")))
					world.Run(time.Minute)
					if world.state.records["open/job-000001"] != nil {
						t.Error("got record open/job-000001 left, want it removed")
					}
					checkNoViolations(t, world)
				})
			}
		}
	})
	t.Logf("%d done, %d cancelled", done.Load(), cancelled.Load())
	if done.Load() == 0 || cancelled.Load() == 0 {
		t.Errorf("got %d done, %d cancelled, want some of each", done.Load(), cancelled.Load())
	}
}

// TestOverloadOverSlowLinks submits urgent and normal jobs with twice as many tasks as there is capacity
// for, while answers of the state service and the cloud take up to a second and 1% of the messages are lost
// or late. It guards against unused capacity, urgent jobs that start after normal ones, and jobs that never
// end.
func TestOverloadOverSlowLinks(t *testing.T) {
	for seed := range uint64(4) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			types, _ := testTypes()
			world := NewWorld(seed, 3, testSettings(), testCancelWithin, types, map[string]int{"small/a/false": 6, "small/b/false": 6})
			world.disturbances = &disturbances{slowAnswersUntil: world.now.Add(4 * time.Minute), answerDelay: time.Second}
			world.lossRate = 0.01
			for i := range 24 {
				spec := batchJob(fmt.Sprintf("job-%06d", i), "ops", 4, 2, 30*time.Second)
				spec.Urgency = []model.Urgency{model.Normal, model.Urgent}[i%2]
				world.schedule(time.Duration(i)*time.Second, func() { world.Submit(spec, 30*time.Second, false) })
			}
			world.Run(75 * time.Second)
			var began [2]int
			for i := range 24 {
				began[i%2] += len(world.jobs[fmt.Sprintf("job-%06d", i)].firstStarts)
			}
			if world.teamUsage["ops"].CPU < 40 || began[0]+began[1] == 24*4 {
				t.Errorf("got %v used and %v tasks of normal and urgent jobs started, want at least 40 cores in use and some tasks waiting", world.teamUsage["ops"], began)
			}
			if began[1] <= began[0] {
				t.Errorf("got %d tasks of urgent jobs and %d of normal jobs started, want more of urgent jobs", began[1], began[0])
			}
			world.Run(165 * time.Second)
			world.lossRate = 0
			world.Run(8 * time.Minute)
			checkFinalAnswers(t, world, false)
			checkNoViolations(t, world)
		})
	}
}

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

// checkStateAtAll queries a job at every controller and reports each answer with another state.
func checkStateAtAll(t *testing.T, w *World, id, want string) {
	t.Helper()
	for i := range w.controllers {
		w.userRequestTo(i, func(r uint64) message.Command { return message.QueryJob{Reply: r, ID: id} }, 5*time.Second, func(r *message.UserReply) {
			if r != nil && r.Status != 503 && r.State != want {
				t.Errorf("%s at node-%d: got %d %s, want state %s", id, i, r.Status, r.State, want)
			}
		})
	}
}

// TestSlowStateWhileUsersCancel slows the state service down to seconds an answer for longer than
// cancel_s, while users cancel jobs and query all controllers as soon as that is confirmed. At the slowest
// an answer takes about as long as a request may wait: most requests are refused then, and which are
// confirmed is random.
func TestSlowStateWhileUsersCancel(t *testing.T) {
	const mostRefused = 300
	for _, slow := range []float64{60, 150, 200, mostRefused} {
		t.Run(fmt.Sprint(slow), func(t *testing.T) {
			t.Parallel()
			w := newTestWorldOfSize(3, 3)
			ids := w.submitMany("x", "ops", 12, 2, 2, 10*time.Minute)
			w.Run(60 * time.Second)
			w.stateSlowUntil, w.stateSlowFactor = w.now.Add(w.cancelWithin+30*time.Second), slow
			took := map[string]time.Duration{}
			w.onAnswer = func(asked time.Time, r message.UserReply) {
				if r.State == "cancelled" && took[r.ID] == 0 {
					took[r.ID] = w.now.Sub(asked)
					checkStateAtAll(t, w, r.ID, "cancelled")
				}
			}
			last := w.trackLastRun(ids...)
			for i, id := range ids {
				w.schedule(time.Duration(i)*6*time.Second, func() { w.Cancel(id) })
			}
			w.Run(w.cancelWithin + 30*time.Second)
			longest := time.Duration(0)
			for _, d := range took {
				longest = max(longest, d)
			}
			covered := len(took) >= len(ids)/2 && longest >= time.Duration(4*slow)*time.Millisecond
			if slow == mostRefused {
				covered = len(took) > 0
			}
			if !covered {
				t.Errorf("got %d cancellations confirmed meanwhile, the slowest after %v, want half of them and a slow one", len(took), longest)
			}
			checkStoppedWithin(t, w, last, w.cancelWithin)
			w.Run(time.Minute)
			checkFinalAnswers(t, w, true)
			checkNoViolations(t, w)
		})
	}
}

// TestAllControllersDownBeyondLease crashes all controllers for longer than a worker lease right after some
// jobs were cancelled.
func TestAllControllersDownBeyondLease(t *testing.T) {
	for _, away := range []time.Duration{26 * time.Second, 40 * time.Second, 2 * time.Minute} {
		t.Run(fmt.Sprint(away), func(t *testing.T) {
			t.Parallel()
			w := newTestWorldOfSize(4, 3)
			cancelled := w.submitMany("c", "ops", 4, 2, 2, 3*time.Minute)
			left := w.submitMany("x", "ops", 6, 2, 2, 3*time.Minute)
			w.Run(60 * time.Second)
			running := 0
			for _, id := range left {
				running += w.runningTasks(id)
			}
			last := w.trackLastRun(cancelled...)
			for _, id := range cancelled {
				w.Cancel(id)
			}
			if w.waitUntil(5*time.Second, func() bool {
				return !slices.ContainsFunc(cancelled, func(id string) bool { return w.jobs[id].cancelledAt.IsZero() })
			}) < 0 {
				t.Fatal("got cancellations that are not confirmed within 5s")
			}
			for i := range w.controllers {
				w.CrashController(i, away)
			}
			w.Run(away)
			if running == 0 || w.LostToLease < running {
				t.Errorf("got %d tasks lost to their leases, want all %d", w.LostToLease, running)
			}
			checkStoppedWithin(t, w, last, w.cancelWithin)
			w.Run(8 * time.Minute)
			for _, id := range append(cancelled, left...) {
				if want := []string{"done", "cancelled"}[boolInt(slices.Contains(cancelled, id))]; w.jobs[id].lastState != want {
					t.Errorf("%s: got final state %q, want %q", id, w.jobs[id].lastState, want)
				}
			}
			checkNoViolations(t, w)
		})
	}
}

// TestOneTaskJobs submits four jobs of one task a second for three minutes and cancels a quarter of them.
// All end, and only the records of how they ended are left.
func TestOneTaskJobs(t *testing.T) {
	const jobs = 4 * 180
	w := newSmallWorld(5, testSettings())
	for i := range jobs {
		at, run := time.Duration(i)*250*time.Millisecond, time.Duration(4+i%9)*time.Second
		spec := batchJob(fmt.Sprintf("job-%06d", i), []string{"ops", "lab"}[i%2], 1, 1, run)
		w.schedule(at, func() { w.Submit(spec, run, false) })
		if i%4 == 1 {
			w.schedule(at+time.Duration(1+i%17)*time.Second, func() { w.Cancel(spec.ID) })
		}
	}
	w.Run(9 * time.Minute)
	finalStates := map[string]int{}
	for _, j := range w.jobs {
		finalStates[j.lastState]++
	}
	t.Logf("%v, %d writes, %d refused requests", finalStates, w.state.writeCount, w.RefusedRequests)
	if finalStates["done"]+finalStates["cancelled"] != jobs || finalStates["cancelled"] < jobs/16 || finalStates["done"] < jobs*3/4 {
		t.Errorf("got final states %v of %d jobs, want all done or cancelled", finalStates, jobs)
	}
	for k := range w.state.records {
		if strings.HasPrefix(k, "open/") || strings.HasPrefix(k, "task/") {
			t.Errorf("got record %s left, want it removed", k)
		}
	}
	checkNoViolations(t, w)
}

// TestCancelledAtTheEnd cancels, queries and resubmits a job around the end of its last task, mostly
// within milliseconds of the write of its final record. It ends one way, and no answer says the other.
func TestCancelledAtTheEnd(t *testing.T) {
	// play cancels at a time after the start of the world. With 0 it only returns when the record
	// that the job is done is sent.
	play := func(t *testing.T, at time.Duration, node int) (*World, time.Duration) {
		w := newTestWorldOfSize(7, 3)
		spec := batchJob("job-000001", "ops", 2, 2, 20*time.Second)
		w.Submit(spec, 20*time.Second, false)
		j := w.jobs[spec.ID]
		if at == 0 {
			var sent time.Time
			w.corruptEffect = func(e message.Effect) message.Effect {
				if sent.IsZero() && writesKey(e, "job/") {
					sent = w.now
				}
				return e
			}
			w.Run(2 * time.Minute)
			return w, sent.Sub(w.startedAt)
		}
		w.Run(at)
		j.cancelRequested = true
		asked := w.now
		w.userRequestTo(node, func(r uint64) message.Command { return message.CancelJob{Reply: r, ID: spec.ID} }, 5*time.Second, func(r *message.UserReply) {
			if r != nil && r.Status == 200 {
				w.checkAnswer(j, asked, r)
			} else {
				w.Cancel(spec.ID)
			}
		})
		for i := range w.controllers {
			w.userRequestTo(i, func(r uint64) message.Command { return message.QueryJob{Reply: r, ID: spec.ID} }, 2*time.Second, func(*message.UserReply) {})
			w.userRequestTo(i, func(r uint64) message.Command { return message.SubmitJob{Reply: r, Spec: spec} }, 5*time.Second, func(r *message.UserReply) {
				if r != nil && r.Status != 200 && r.Status != 503 {
					t.Errorf("repeated submission: got status %d, want 200 or 503", r.Status)
				}
			})
		}
		if w.waitUntil(20*time.Second, func() bool { return j.lastState == "done" || j.lastState == "cancelled" }) < 0 {
			t.Errorf("got state %q, want done or cancelled", j.lastState)
		}
		for range 10 {
			checkStateAtAll(t, w, spec.ID, j.lastState)
			w.Run(time.Second)
		}
		return w, 0
	}
	_, end := play(t, 0, 0)
	var done, cancelled atomic.Int64
	t.Run("offsets", func(t *testing.T) {
		for _, step := range sampleCases(40, 10) {
			for node := range 3 {
				off := time.Duration(step-36) * 6 * time.Millisecond
				t.Run(fmt.Sprintf("%v node-%d", off, node), func(t *testing.T) {
					t.Parallel()
					w, _ := play(t, end+off, node)
					done.Add(int64(boolInt(w.jobs["job-000001"].lastState == "done")))
					cancelled.Add(int64(boolInt(w.jobs["job-000001"].lastState == "cancelled")))
					w.Run(time.Minute)
					if w.state.records["open/job-000001"] != nil {
						t.Error("got record open/job-000001 left, want it removed")
					}
					checkNoViolations(t, w)
				})
			}
		}
	})
	t.Logf("%d done, %d cancelled", done.Load(), cancelled.Load())
	if done.Load() == 0 || cancelled.Load() == 0 {
		t.Errorf("got %d done, %d cancelled, want some of each", done.Load(), cancelled.Load())
	}
}

// TestOverloadOverSlowLinks submits twice as many tasks as there is capacity for, urgent and not,
// while answers of the state service and the cloud take up to a second and messages are lost or late.
// All jobs are done, and the urgent ones start first.
func TestOverloadOverSlowLinks(t *testing.T) {
	for seed := range uint64(4) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			types, _ := testTypes()
			w := NewWorld(seed, 3, testSettings(), testCancelWithin, types, map[string]int{"small/a/false": 6, "small/b/false": 6})
			w.disturbances = &disturbances{slowAnswersUntil: w.now.Add(4 * time.Minute), answerDelay: time.Second}
			w.lossRate = 0.01
			for i := range 24 {
				spec := batchJob(fmt.Sprintf("job-%06d", i), "ops", 4, 2, 30*time.Second)
				spec.Urgency = []model.Urgency{model.Normal, model.Urgent}[i%2]
				w.schedule(time.Duration(i)*time.Second, func() { w.Submit(spec, 30*time.Second, false) })
			}
			w.Run(75 * time.Second)
			var began [2]int
			for i := range 24 {
				began[i%2] += len(w.jobs[fmt.Sprintf("job-%06d", i)].firstStarts)
			}
			if w.teamUsage["ops"].CPU < 40 || began[0]+began[1] == 24*4 {
				t.Errorf("got %v used and %v tasks started, want all capacity in use and some tasks waiting", w.teamUsage["ops"], began)
			}
			if began[1] <= began[0] {
				t.Errorf("got %d tasks of urgent jobs started, %d of others, want more of the urgent ones", began[1], began[0])
			}
			w.Run(165 * time.Second)
			w.lossRate = 0
			w.Run(8 * time.Minute)
			checkFinalAnswers(t, w, false)
			checkNoViolations(t, w)
		})
	}
}

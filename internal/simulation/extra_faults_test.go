package simulation

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/micahill/micahill/internal/message"
	"github.com/micahill/micahill/internal/model"
)

// newBusyWorld has three jobs of four tasks that run, a minute after its begin.
func newBusyWorld(t *testing.T) *World {
	t.Helper()
	w := newTestWorld(3)
	for _, id := range []string{"job-000001", "job-000002", "job-000003"} {
		w.Submit(longJob(id, 4), time.Hour, false)
	}
	w.Run(time.Minute)
	if w.runningTasks("job-000001")+w.runningTasks("job-000002")+w.runningTasks("job-000003") != 12 {
		t.Fatal("not all tasks run after a minute")
	}
	return w
}

// busyMachine is one with a task, and that task.
func busyMachine(w *World) (*Worker, *workerTask) {
	for _, m := range w.fleet {
		for _, k := range sortedKeys(m.tasks) {
			if m.tasks[k].onMachine() {
				return m, m.tasks[k]
			}
		}
	}
	panic("no task runs")
}

// Users cancel two of three jobs that run within a fifth of a second, and their machines
// hang then; the third goes on.
func TestCancelLongRunning(t *testing.T) {
	w := newBusyWorld(t)
	w.CancelLongRunning(2, 20*time.Second)
	w.Run(massCancelWithin)
	aborting, hung := 0, 0
	for _, j := range w.jobs {
		if j.cancelRequested {
			aborting++
		}
	}
	for _, m := range w.fleet {
		if w.now.Before(m.hungUntil) {
			hung++
		}
	}
	if aborting != 2 || hung == 0 || hung > maxHungMachines {
		t.Errorf("%d cancelled, %d machines hang", aborting, hung)
	}
	w.Run(testCancelWithin)
	running := 0
	for id, j := range w.jobs {
		if w.runningTasks(id) > 0 {
			running++
		}
		if j.cancelRequested && w.runningTasks(id) > 0 {
			t.Errorf("%s runs", id)
		}
	}
	if running != 1 {
		t.Errorf("%d jobs run", running)
	}
	checkNoViolations(t, w)
}

// A job is called off at the moment of its end: it is told as the one or the other, and
// stays that.
func TestCancelAtEnd(t *testing.T) {
	w := newTestWorld(3)
	w.cancelAtEndRate, w.cancelAtEndUntil = 1, w.now.Add(time.Hour)
	s := longJob("job-000001", 2)
	s.ExpectedRunTime = 10 * time.Second
	w.Submit(s, 10*time.Second, false)
	w.Run(2 * time.Minute)
	if j := w.jobs[s.ID]; !j.cancelRequested || len(j.doneTasks) != 2 || !isFinal(j.lastState) {
		t.Errorf("%d results, cancelled %v, told %q", len(j.doneTasks), j.cancelRequested, j.lastState)
	}
	checkNoViolations(t, w)
}

// A machine that reaches no controller is reached by direct commands: a cancelled task
// ends there at once, and its answers arrive.
func TestUnheardMachines(t *testing.T) {
	w := newBusyWorld(t)
	m, x := busyMachine(w)
	w.MakeUnheard([]string{m.ID}, time.Hour)
	// A report that was on its way has been answered.
	w.Run(5 * time.Second)
	before := m.leaseStart
	w.Cancel(x.job.spec.ID)
	w.Run(3 * time.Second)
	if x.onMachine() {
		t.Error("no command reaches it")
	}
	if m.leaseStart != before {
		t.Error("its lease was prolonged")
	}
	w.Run(w.settings.WorkerLease)
	if m.incarnation < 2 {
		t.Error("its lease has not run out")
	}
	checkNoViolations(t, w)
}

// A direct command that is held up gets no answer, and is carried out once, later, if
// token and session match.
func TestLateCommands(t *testing.T) {
	w := newBusyWorld(t)
	m, x := busyMachine(w)
	w.DelayCommands(1, time.Second)
	p := w.controllers[0]
	halt := message.WorkerRequest{ID: 1 << 40, Machine: m.ID, Epoch: m.epoch, Incarnation: m.incarnation, Commands: []model.TaskCommand{{Kind: model.StopTask, Job: x.job.spec.ID, Index: x.index, Attempt: x.attempt}}}
	other := halt
	other.Incarnation++
	if !p.delayCommand(m, other) || !p.delayCommand(m, halt) {
		t.Fatal("not held up")
	}
	question := halt
	question.StatusOnly = true
	if p.delayCommand(m, question) {
		t.Error("a question is held up")
	}
	w.Run(minCommandDelay - 10*time.Millisecond)
	if !x.onMachine() {
		t.Error("carried out at once")
	}
	w.Run(maxCommandDelay)
	if x.onMachine() {
		t.Error("never carried out")
	}
	checkNoViolations(t, w)
}

// A late command of another session does nothing.
func TestLateCommandOfAnotherIncarnation(t *testing.T) {
	w := newBusyWorld(t)
	m, x := busyMachine(w)
	w.DelayCommands(1, time.Second)
	w.controllers[0].delayCommand(m, message.WorkerRequest{Machine: m.ID, Epoch: m.epoch, Incarnation: m.incarnation + 1, Commands: []model.TaskCommand{{Kind: model.StopTask, Job: x.job.spec.ID, Index: x.index, Attempt: x.attempt}}})
	w.Run(minCommandDelay + maxCommandDelay)
	if !x.onMachine() {
		t.Error("carried out")
	}
}

// Of a write that is carried out at once only the answer is lost.
func TestLostWriteAnswers(t *testing.T) {
	w := newTestWorld(1)
	w.Run(20 * time.Second)
	p := w.controllers[0]
	answered := func(id uint64) bool {
		key := fmt.Sprint("x/", id)
		// What reaches the process stays in its queue.
		w.Pause(p.index, time.Second)
		p.sendStoreRequest(message.StoreRequest{ID: id, Kind: message.OpTxn, Writes: []message.Write{{Key: key, Value: []byte{0x80}}}}, w.now.Add(time.Minute))
		w.Run(900 * time.Millisecond)
		if w.state.records[key] == nil {
			t.Errorf("%s is not written", key)
		}
		return slices.ContainsFunc(p.queue, func(c message.Command) bool {
			d, ok := c.(message.StoreResponse)
			return ok && d.ID == id
		})
	}
	if !answered(1 << 40) {
		t.Error("no answer without the trouble")
	}
	w.startOverlapFault(Fault{Kind: "late_writes", Fraction: 1, Duration: time.Second, Immediate: true})
	if answered(1<<40 + 1) {
		t.Error("answered")
	}
}

// Copies of reports are kept until another controller leads, and reach every controller
// then.
func TestReplayToNextLeader(t *testing.T) {
	w := newBusyWorld(t)
	w.startProtocolFault(Fault{Kind: "copies", Fraction: 1, Duration: 20 * time.Second, Delay: time.Minute, ForNextLeader: true}, w.rng)
	w.Run(20 * time.Second)
	kept := len(w.heldHeartbeats)
	if kept == 0 {
		t.Fatal("none is kept")
	}
	old := w.leaderName()
	w.CrashController(w.leaderIndex(0), time.Minute)
	for range 60 {
		if w.leaderName() != old && w.leaderName() != "" {
			break
		}
		if len(w.heldHeartbeats) != kept {
			t.Fatal("brought before another one leads")
		}
		w.Run(time.Second)
	}
	w.Run(2 * time.Second)
	if len(w.heldHeartbeats) > 0 {
		t.Errorf("%d still kept under %s", len(w.heldHeartbeats), w.leaderName())
	}
	w.Run(time.Minute)
	checkNoViolations(t, w)
}

// What users ask closely and oddly is judged: it breaks nothing with the core as it is,
// and rules with answers made wrong.
func TestConcurrentAndInvalidRequests(t *testing.T) {
	for _, c := range []struct {
		want  string
		wrong func(message.UserReply) message.UserReply
	}{
		{"", nil},
		{"went_back", func(r message.UserReply) message.UserReply {
			if r.State == "done" {
				r.State = "running"
			}
			return r
		}},
		{"forgotten", func(r message.UserReply) message.UserReply {
			r.Status = 404
			return r
		}},
		{"accepted_odd", func(r message.UserReply) message.UserReply {
			if r.Status == 422 || r.Status == 400 {
				r.Status = 201
			}
			return r
		}},
	} {
		t.Run(c.want, func(t *testing.T) {
			w := newTestWorld(3)
			asked := 0
			if c.wrong != nil {
				w.corruptEffect = func(e message.Effect) message.Effect {
					if r, ok := e.(message.UserReply); ok {
						// One controller in three is wrong.
						if asked++; asked%3 == 0 {
							return c.wrong(r)
						}
					}
					return e
				}
			}
			w.concurrentReadsUntil = w.now.Add(time.Hour)
			for i, id := range []string{"job-000001", "job-000002", "job-000003", "job-000004"} {
				s := longJob(id, 2)
				s.ExpectedRunTime = time.Duration(10+10*i) * time.Second
				w.Submit(s, s.ExpectedRunTime, false)
			}
			w.SendInvalidRequests(time.Minute)
			w.Run(2 * time.Minute)
			if got := strings.Join(w.Violations, "\n"); c.want == "" && got != "" || !strings.Contains(got, c.want) {
				t.Errorf("broken: %s", got)
			}
			if w.invalidJobs == 0 {
				t.Error("no odd job was sent")
			}
		})
	}
}

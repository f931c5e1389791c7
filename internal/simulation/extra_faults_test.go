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

// newBusyWorld returns a world a minute after its start, with three running jobs of four tasks.
func newBusyWorld(t *testing.T) *World {
	t.Helper()
	w := newTestWorld(3)
	for _, id := range []string{"job-000001", "job-000002", "job-000003"} {
		w.Submit(longJob(id, 4), time.Hour, false)
	}
	w.Run(time.Minute)
	if w.runningTasks("job-000001")+w.runningTasks("job-000002")+w.runningTasks("job-000003") != 12 {
		t.Fatal("got fewer than 12 running tasks after a minute")
	}
	return w
}

// busyMachine returns a machine with a running task, and that task.
func busyMachine(w *World) (*Worker, *workerTask) {
	for _, m := range w.fleet {
		for _, k := range sortedKeys(m.tasks) {
			if m.tasks[k].onMachine() {
				return m, m.tasks[k]
			}
		}
	}
	panic("simulation: no task is running")
}

// TestCancelLongRunning cancels two of three running jobs at about the same time, whose machines then
// hang; the third keeps running.
func TestCancelLongRunning(t *testing.T) {
	w := newBusyWorld(t)
	w.CancelLongRunning(2, 20*time.Second)
	w.Run(massCancelWithin)
	cancelled, hung := 0, 0
	for _, j := range w.jobs {
		if j.cancelRequested {
			cancelled++
		}
	}
	for _, m := range w.fleet {
		if w.now.Before(m.hungUntil) {
			hung++
		}
	}
	if cancelled != 2 || hung == 0 || hung > maxHungMachines {
		t.Errorf("got %d cancelled jobs, %d hung machines, want 2 and 1 to %d", cancelled, hung, maxHungMachines)
	}
	w.Run(testCancelWithin)
	running := 0
	for id, j := range w.jobs {
		if w.runningTasks(id) > 0 {
			running++
		}
		if j.cancelRequested && w.runningTasks(id) > 0 {
			t.Errorf("%s: got running tasks after its cancellation", id)
		}
	}
	if running != 1 {
		t.Errorf("got %d running jobs, want 1", running)
	}
	checkNoViolations(t, w)
}

// TestCancelAtEnd cancels a job at the moment of its end: it ends one way, and stays so.
func TestCancelAtEnd(t *testing.T) {
	w := newTestWorld(3)
	w.cancelAtEndRate, w.cancelAtEndUntil = 1, w.now.Add(time.Hour)
	s := longJob("job-000001", 2)
	s.ExpectedRunTime = 10 * time.Second
	w.Submit(s, 10*time.Second, false)
	w.Run(2 * time.Minute)
	if j := w.jobs[s.ID]; !j.cancelRequested || len(j.doneTasks) != 2 || !isFinal(j.lastState) {
		t.Errorf("got %d tasks done, cancel requested %v, state %q, want 2, true and a final state", len(j.doneTasks), j.cancelRequested, j.lastState)
	}
	checkNoViolations(t, w)
}

// TestUnheardMachines checks that direct commands reach a machine whose heartbeats are lost: a cancelled
// task stops there at once, and the machine's answers arrive.
func TestUnheardMachines(t *testing.T) {
	w := newBusyWorld(t)
	m, x := busyMachine(w)
	w.MakeUnheard([]string{m.ID}, time.Hour)
	// A heartbeat in flight has been answered by now.
	w.Run(5 * time.Second)
	before := m.leaseStart
	w.Cancel(x.job.spec.ID)
	w.Run(3 * time.Second)
	if x.onMachine() {
		t.Error("got the cancelled task still running, want it stopped by a direct command")
	}
	if m.leaseStart != before {
		t.Errorf("got lease renewed at %v, want it unchanged since %v", m.leaseStart, before)
	}
	w.Run(w.settings.WorkerLease)
	if m.incarnation < 2 {
		t.Errorf("got incarnation %d, want a new one after its lease expired", m.incarnation)
	}
	checkNoViolations(t, w)
}

// TestLateCommands checks that a delayed direct command gets no answer, and is executed once, later, if
// its epoch and incarnation match.
func TestLateCommands(t *testing.T) {
	w := newBusyWorld(t)
	m, x := busyMachine(w)
	w.DelayCommands(1, time.Second)
	p := w.controllers[0]
	stop := message.WorkerRequest{ID: 1 << 40, Machine: m.ID, Epoch: m.epoch, Incarnation: m.incarnation, Commands: []model.TaskCommand{{Kind: model.StopTask, Job: x.job.spec.ID, Index: x.index, Attempt: x.attempt}}}
	other := stop
	other.Incarnation++
	if !p.delayCommand(m, other) || !p.delayCommand(m, stop) {
		t.Fatal("got a command that is not delayed")
	}
	poll := stop
	poll.StatusOnly = true
	if p.delayCommand(m, poll) {
		t.Error("got a delayed status poll, want it delivered at once")
	}
	w.Run(minCommandDelay - 10*time.Millisecond)
	if !x.onMachine() {
		t.Error("got the command executed at once, want it delayed")
	}
	w.Run(maxCommandDelay)
	if x.onMachine() {
		t.Error("got the command never executed")
	}
	checkNoViolations(t, w)
}

// TestLateCommandOfAnotherIncarnation checks that a late command for another incarnation does nothing.
func TestLateCommandOfAnotherIncarnation(t *testing.T) {
	w := newBusyWorld(t)
	m, x := busyMachine(w)
	w.DelayCommands(1, time.Second)
	w.controllers[0].delayCommand(m, message.WorkerRequest{Machine: m.ID, Epoch: m.epoch, Incarnation: m.incarnation + 1, Commands: []model.TaskCommand{{Kind: model.StopTask, Job: x.job.spec.ID, Index: x.index, Attempt: x.attempt}}})
	w.Run(minCommandDelay + maxCommandDelay)
	if !x.onMachine() {
		t.Error("got the command executed, want it ignored")
	}
}

// TestLostWriteAnswers checks that of a write that is applied at once only the answer is lost.
func TestLostWriteAnswers(t *testing.T) {
	w := newTestWorld(1)
	w.Run(20 * time.Second)
	p := w.controllers[0]
	answered := func(id uint64) bool {
		key := fmt.Sprint("x/", id)
		// While the process is paused, what it receives stays in its queue.
		w.Pause(p.index, time.Second)
		p.sendStoreRequest(message.StoreRequest{ID: id, Kind: message.OpTxn, Writes: []message.Write{{Key: key, Value: []byte{0x80}}}}, w.now.Add(time.Minute))
		w.Run(900 * time.Millisecond)
		if w.state.records[key] == nil {
			t.Errorf("got no record %s, want it written", key)
		}
		return slices.ContainsFunc(p.queue, func(c message.Command) bool {
			d, ok := c.(message.StoreResponse)
			return ok && d.ID == id
		})
	}
	if !answered(1 << 40) {
		t.Error("got no answer without a fault")
	}
	w.startOverlapFault(Fault{Kind: "late_writes", Fraction: 1, Duration: time.Second, Immediate: true})
	if answered(1<<40 + 1) {
		t.Error("got an answer, want it lost")
	}
}

// TestReplayToNextLeader checks that copies of heartbeats are kept until another controller leads, and
// then reach every controller.
func TestReplayToNextLeader(t *testing.T) {
	w := newBusyWorld(t)
	w.startProtocolFault(Fault{Kind: "copies", Fraction: 1, Duration: 20 * time.Second, Delay: time.Minute, ForNextLeader: true}, w.rng)
	w.Run(20 * time.Second)
	held := len(w.heldHeartbeats)
	if held == 0 {
		t.Fatal("got no held heartbeats")
	}
	old := w.leaderName()
	w.CrashController(w.leaderIndex(0), time.Minute)
	for range 60 {
		if w.leaderName() != old && w.leaderName() != "" {
			break
		}
		if len(w.heldHeartbeats) != held {
			t.Fatalf("got %d held heartbeats before another controller leads, want %d", len(w.heldHeartbeats), held)
		}
		w.Run(time.Second)
	}
	w.Run(2 * time.Second)
	if len(w.heldHeartbeats) > 0 {
		t.Errorf("got %d held heartbeats under leader %q, want none", len(w.heldHeartbeats), w.leaderName())
	}
	w.Run(time.Minute)
	checkNoViolations(t, w)
}

// TestConcurrentAndInvalidRequests checks the rules about close and invalid requests: a correct controller
// breaks none, and a corrupted answer breaks its rule.
func TestConcurrentAndInvalidRequests(t *testing.T) {
	for _, c := range []struct {
		want    string
		corrupt func(message.UserReply) message.UserReply
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
			answers := 0
			if c.corrupt != nil {
				w.corruptEffect = func(e message.Effect) message.Effect {
					if r, ok := e.(message.UserReply); ok {
						// One answer in three is corrupted.
						if answers++; answers%3 == 0 {
							return c.corrupt(r)
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
				t.Errorf("got violations %q, want %q", got, c.want)
			}
			if w.invalidJobs == 0 {
				t.Error("got no invalid job sent, want some")
			}
		})
	}
}

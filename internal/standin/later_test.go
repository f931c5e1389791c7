package standin

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/micahill/micahill/internal/core"
)

// longJob is an array that outlasts every test.
func longJob(id string, tasks int) core.JobSpec {
	return core.JobSpec{ID: id, Workload: "batch", Team: "ops", Urgency: core.Normal, Tasks: tasks, Need: core.Resources{CPU: 1, Memory: 1},
		Image: "i", ImageGB: 0.1, ExpectedRunTime: time.Hour}
}

// busyWorld has three jobs of four tasks that run, a minute after its begin.
func busyWorld(t *testing.T) *World {
	t.Helper()
	w := newTestWorld(3)
	for _, id := range []string{"job-000001", "job-000002", "job-000003"} {
		w.Submit(longJob(id, 4), time.Hour, false)
	}
	w.Run(time.Minute)
	if w.live("job-000001")+w.live("job-000002")+w.live("job-000003") != 12 {
		t.Fatal("not all tasks run after a minute")
	}
	return w
}

// busyMachine is one with a task, and that task.
func busyMachine(w *World) (*Worker, *workerTask) {
	for _, m := range w.fleet {
		for _, k := range sorted(m.tasks) {
			if m.tasks[k].onMachine() {
				return m, m.tasks[k]
			}
		}
	}
	panic("no task runs")
}

func noneBroken(t *testing.T, w *World) {
	t.Helper()
	for _, b := range w.Broken {
		t.Error(b)
	}
}

// Users cancel two of three jobs that run within a fifth of a second, and their machines
// hang then; the third goes on.
func TestCancelNow(t *testing.T) {
	w := busyWorld(t)
	w.CancelNow(2, 20*time.Second)
	w.Run(cancelNowWithin)
	aborting, hung := 0, 0
	for _, j := range w.jobs {
		if j.aborting {
			aborting++
		}
	}
	for _, m := range w.fleet {
		if w.now.Before(m.hungTill) {
			hung++
		}
	}
	if aborting != 2 || hung == 0 || hung > hangMost {
		t.Errorf("%d cancelled, %d machines hang", aborting, hung)
	}
	w.Run(testCancel)
	running := 0
	for id, j := range w.jobs {
		if w.live(id) > 0 {
			running++
		}
		if j.aborting && w.live(id) > 0 {
			t.Errorf("%s runs", id)
		}
	}
	if running != 1 {
		t.Errorf("%d jobs run", running)
	}
	noneBroken(t, w)
}

// A job is called off at the moment of its end: it is told as the one or the other, and
// stays that.
func TestCancelAtEnd(t *testing.T) {
	w := newTestWorld(3)
	w.cancelEnds, w.cancelEndTill = 1, w.now.Add(time.Hour)
	s := longJob("job-000001", 2)
	s.ExpectedRunTime = 10 * time.Second
	w.Submit(s, 10*time.Second, false)
	w.Run(2 * time.Minute)
	if j := w.jobs[s.ID]; !j.aborting || len(j.results) != 2 || !over(j.told) {
		t.Errorf("%d results, cancelled %v, told %q", len(j.results), j.aborting, j.told)
	}
	noneBroken(t, w)
}

// A machine that reaches no controller is reached by direct commands: a cancelled task
// ends there at once, and its answers arrive.
func TestMuteMachines(t *testing.T) {
	w := busyWorld(t)
	m, x := busyMachine(w)
	w.MuteMachines([]string{m.ID}, time.Hour)
	// A report that was on its way has been answered.
	w.Run(5 * time.Second)
	before := m.leaseFrom
	w.Abort(x.job.spec.ID)
	w.Run(3 * time.Second)
	if x.onMachine() {
		t.Error("no command reaches it")
	}
	if m.leaseFrom != before {
		t.Error("its lease was prolonged")
	}
	w.Run(w.set.WorkerLease)
	if m.tenure < 2 {
		t.Error("its lease has not run out")
	}
	noneBroken(t, w)
}

// A direct command that is held up gets no answer, and is carried out once, later, if
// token and session match.
func TestLateCommands(t *testing.T) {
	w := busyWorld(t)
	m, x := busyMachine(w)
	w.LateCommands(1, time.Second)
	p := w.nodes[0]
	halt := core.WorkerRequest{ID: 1 << 40, Machine: m.ID, Epoch: m.epoch, Incarnation: m.tenure, Commands: []core.TaskCommand{{Kind: core.StopTask, Job: x.job.spec.ID, Index: x.index, Attempt: x.try}}}
	other := halt
	other.Incarnation++
	if !p.commandLate(m, other) || !p.commandLate(m, halt) {
		t.Fatal("not held up")
	}
	question := halt
	question.StatusOnly = true
	if p.commandLate(m, question) {
		t.Error("a question is held up")
	}
	w.Run(lateCommandLeast - 10*time.Millisecond)
	if !x.onMachine() {
		t.Error("carried out at once")
	}
	w.Run(lateCommandMost)
	if x.onMachine() {
		t.Error("never carried out")
	}
	noneBroken(t, w)
}

// A late command of another session does nothing.
func TestLateCommandOfAnotherSession(t *testing.T) {
	w := busyWorld(t)
	m, x := busyMachine(w)
	w.LateCommands(1, time.Second)
	w.nodes[0].commandLate(m, core.WorkerRequest{Machine: m.ID, Epoch: m.epoch, Incarnation: m.tenure + 1, Commands: []core.TaskCommand{{Kind: core.StopTask, Job: x.job.spec.ID, Index: x.index, Attempt: x.try}}})
	w.Run(lateCommandLeast + lateCommandMost)
	if !x.onMachine() {
		t.Error("carried out")
	}
}

// Of a write that is carried out at once only the answer is lost.
func TestWritesAtOnce(t *testing.T) {
	w := newTestWorld(1)
	w.Run(20 * time.Second)
	p := w.nodes[0]
	answered := func(id uint64) bool {
		key := fmt.Sprint("x/", id)
		// What reaches the process stays in its queue.
		w.Still(p.index, time.Second)
		p.stateOp(core.StoreRequest{ID: id, Kind: core.OpTxn, Writes: []core.Write{{Key: key, Value: []byte{0x80}}}}, w.now.Add(time.Minute))
		w.Run(900 * time.Millisecond)
		if w.state.rows[key] == nil {
			t.Errorf("%s is not written", key)
		}
		return slices.ContainsFunc(p.queue, func(c core.Command) bool {
			d, ok := c.(core.StoreResponse)
			return ok && d.ID == id
		})
	}
	if !answered(1 << 40) {
		t.Error("no answer without the trouble")
	}
	w.meetingTrouble(DayFault{Kind: "late_writes", Share: 1, For: time.Second, AtOnce: true})
	if answered(1<<40 + 1) {
		t.Error("answered")
	}
}

// Copies of reports are kept until another controller leads, and reach every controller
// then.
func TestCopiesForNext(t *testing.T) {
	w := busyWorld(t)
	w.newTrouble(DayFault{Kind: "copies", Share: 1, For: 20 * time.Second, Late: time.Minute, ForNext: true}, w.rng)
	w.Run(20 * time.Second)
	kept := len(w.kept)
	if kept == 0 {
		t.Fatal("none is kept")
	}
	old := w.leads()
	w.Crash(w.leader(0), time.Minute)
	for range 60 {
		if w.leads() != old && w.leads() != "" {
			break
		}
		if len(w.kept) != kept {
			t.Fatal("brought before another one leads")
		}
		w.Run(time.Second)
	}
	w.Run(2 * time.Second)
	if len(w.kept) > 0 {
		t.Errorf("%d still kept under %s", len(w.kept), w.leads())
	}
	w.Run(time.Minute)
	noneBroken(t, w)
}

// What users ask closely and oddly is judged: it breaks nothing with the core as it is,
// and rules with answers made wrong.
func TestCloseAndOdd(t *testing.T) {
	for _, c := range []struct {
		want  string
		wrong func(core.UserReply) core.UserReply
	}{
		{"", nil},
		{"went_back", func(r core.UserReply) core.UserReply {
			if r.State == "done" {
				r.State = "running"
			}
			return r
		}},
		{"forgotten", func(r core.UserReply) core.UserReply {
			r.Status = 404
			return r
		}},
		{"accepted_odd", func(r core.UserReply) core.UserReply {
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
				w.sabotage = func(e core.Effect) core.Effect {
					if r, ok := e.(core.UserReply); ok {
						// One controller in three is wrong.
						if asked++; asked%3 == 0 {
							return c.wrong(r)
						}
					}
					return e
				}
			}
			w.looksTill = w.now.Add(time.Hour)
			for i, id := range []string{"job-000001", "job-000002", "job-000003", "job-000004"} {
				s := longJob(id, 2)
				s.ExpectedRunTime = time.Duration(10+10*i) * time.Second
				w.Submit(s, s.ExpectedRunTime, false)
			}
			w.OddRequests(time.Minute)
			w.Run(2 * time.Minute)
			if got := strings.Join(w.Broken, "\n"); c.want == "" && got != "" || !strings.Contains(got, c.want) {
				t.Errorf("broken: %s", got)
			}
			if w.odd == 0 {
				t.Error("no odd job was sent")
			}
		})
	}
}

package simulation

import (
	"fmt"
	"testing"
	"time"

	"github.com/micahill/micahill/internal/message"
	"github.com/micahill/micahill/internal/model"
)

// TestJobThatMetFaultyMachines has the tasks of a job meet several faulty machines at once, before
// any of them is done, while one of them runs on a sound machine. The others must not wait beside
// the room on sound machines.
//
// What happens: the job counts as failing on every machine, so one task of it is tried at a time,
// and none while one of them runs. Why: failures on three machines without a task that was done
// are taken for the job's fault, though the task that runs has long outlasted them. What showed
// it: "job fails on every machine: backing off" for a job whose task runs, and then no "task
// placed" of it for as long as that goes on.
func TestJobThatMetFaultyMachines(t *testing.T) {
	for _, faulty := range []int{3, 5} {
		t.Run(fmt.Sprint(faulty), func(t *testing.T) {
			types, _ := testTypes()
			w := NewWorld(uint64(faulty), 3, testSettings(), testCancelWithin, types, map[string]int{"small/a/false": 10})
			w.faultsEndAt = w.now
			// Ten machines with room for one task each, which stay as long as another job runs.
			other := longJob("job-000001", 10)
			other.Need.CPU, other.Need.Memory = 2, 9
			w.Submit(other, time.Hour, false)
			w.waitUntil(3*time.Minute, func() bool { return len(w.machinesRunning("job-000001")) == 10 })
			s := longJob("job-000002", 6)
			s.Need.CPU, s.Need.Memory = 2, 4
			w.Submit(s, time.Hour, false)
			w.waitUntil(3*time.Minute, func() bool { return w.jobs["job-000002"].isPlaced(5) })
			for i := range faulty {
				w.jobs["job-000002"].machines[i][0].faulty = true
			}
			w.Run(5 * time.Minute)
			checkNoViolations(t, w)
			checkPlaced(t, w, "job-000002")
		})
	}
}

// TestMistakenJobStartsAreBounded has a job whose tasks fail on every machine, at once or after
// times that vary without bound. Beside the first of each task, and while none of its tasks is
// done, it may start hardly more than one task a minute: one at a time, seldom, and another only
// beside one that outlasts all failures by far.
func TestMistakenJobStartsAreBounded(t *testing.T) {
	const tasks, minutes = 12, 20
	for _, mean := range []time.Duration{0, 2 * time.Second, 10 * time.Second, 30 * time.Second} {
		t.Run(mean.String(), func(t *testing.T) {
			t.Parallel()
			w := newTestWorld(21)
			s := longJob("job-000001", tasks)
			w.Submit(s, time.Hour, mean == 0)
			if mean > 0 {
				w.failTasksRandomly("job-000001", mean)
			}
			starts := w.countStarts("job-000001")
			w.Run(minutes * time.Minute)
			checkNoViolations(t, w)
			if got, most := len(starts), tasks+2*minutes; got > most || got < tasks {
				t.Errorf("got %d starts in %d minutes, want %d to %d", got, minutes, tasks, most)
			}
		})
	}
}

// failTasksRandomly has running tasks of a job fail after exponentially distributed times.
func (w *World) failTasksRandomly(id string, mean time.Duration) {
	const interval = 500 * time.Millisecond
	var next func()
	next = func() {
		w.eachRunningTask(w.jobs[id], func(x *workerTask, m *Worker) {
			if x.status == model.Running && w.rng.Float64() < interval.Seconds()/mean.Seconds() {
				w.endTask(m, x, "error")
				m.changed = true
			}
		})
		w.schedule(interval, next)
	}
	w.schedule(interval, next)
}

// countStarts collects the attempts of a job that are started from now on.
func (w *World) countStarts(id string) map[string]bool {
	starts := map[string]bool{}
	note := func(commands []model.TaskCommand) {
		for _, c := range commands {
			if c.Kind == model.StartTask && c.Job == id {
				starts[attemptName(c)] = true
			}
		}
	}
	w.corruptEffect = func(e message.Effect) message.Effect {
		switch e := e.(type) {
		case message.WorkerRequest:
			note(e.Commands)
		case message.HeartbeatReply:
			note(e.Commands)
		}
		return e
	}
	return starts
}

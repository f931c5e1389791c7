package simulation

import (
	"fmt"
	"testing"
	"time"

	"github.com/micahill/micahill/internal/message"
	"github.com/micahill/micahill/internal/model"
)

// TestJobWithFailuresOnFaultyMachines makes several machines of a job faulty at once, before any task of the
// job is done, while at least one task runs on a healthy machine. It guards against the other tasks waiting
// although healthy machines have free capacity. That happens if failures on three machines without a finished
// task count as the job's own fault although a running task has lasted much longer than the failed ones: the
// controller logs "job fails on every machine: backing off", tries one task at a time, and logs no
// "task placed" of the job while that task runs.
func TestJobWithFailuresOnFaultyMachines(t *testing.T) {
	for _, faulty := range []int{3, 5} {
		t.Run(fmt.Sprint(faulty), func(t *testing.T) {
			types, _ := testTypes()
			world := NewWorld(uint64(faulty), 3, testSettings(), testCancelWithin, types, map[string]int{"small/a/false": 10})
			world.faultsEndAt = world.now
			// Another job occupies ten machines for the whole test. Each has capacity left for one task.
			other := longJob("job-000001", 10)
			other.Need.CPU, other.Need.Memory = 2, 9
			world.Submit(other, time.Hour, false)
			world.waitUntil(3*time.Minute, func() bool { return len(world.machinesRunning("job-000001")) == 10 })
			spec := longJob("job-000002", 6)
			spec.Need.CPU, spec.Need.Memory = 2, 4
			world.Submit(spec, time.Hour, false)
			world.waitUntil(3*time.Minute, func() bool { return world.jobs["job-000002"].isPlaced(5) })
			allPlaced := func() bool {
				for i := range faulty {
					if !world.jobs["job-000002"].isPlaced(i) {
						return false
					}
				}
				return true
			}
			if world.waitUntil(6*time.Minute, allPlaced) < 0 {
				t.Fatalf("got some of the first %d tasks not placed, want all placed", faulty)
			}
			for i := range faulty {
				world.jobs["job-000002"].machines[i][0].faulty = true
			}
			world.Run(5 * time.Minute)
			checkNoViolations(t, world)
			checkPlaced(t, world, "job-000002")
		})
	}
}

// TestAlwaysFailingJobStartsAreBounded has a job whose tasks fail on every machine, at once or after
// exponentially distributed times. It guards against a stream of useless starts. Apart from the first start
// of each task, and while no task of the job is done, the job may start two tasks a minute at most: the
// controller retries one task at a time, with long pauses, and starts another beside it only once the running
// task has lasted much longer than all failed ones.
func TestAlwaysFailingJobStartsAreBounded(t *testing.T) {
	const tasks, minutes = 12, 20
	for _, mean := range []time.Duration{0, 2 * time.Second, 10 * time.Second, 30 * time.Second} {
		t.Run(mean.String(), func(t *testing.T) {
			t.Parallel()
			world := newTestWorld(21)
			spec := longJob("job-000001", tasks)
			world.Submit(spec, time.Hour, mean == 0)
			if mean > 0 {
				world.failTasksRandomly("job-000001", mean)
			}
			starts := world.countStarts("job-000001")
			world.Run(minutes * time.Minute)
			checkNoViolations(t, world)
			if got, maxStarts := len(starts), tasks+2*minutes; got > maxStarts || got < tasks {
				t.Errorf("got %d task starts in %d minutes, want %d to %d", got, minutes, tasks, maxStarts)
			}
		})
	}
}

// failTasksRandomly makes running tasks of a job fail after exponentially distributed times with the given
// mean.
func (world *World) failTasksRandomly(id string, mean time.Duration) {
	const interval = 500 * time.Millisecond
	var failSome func()
	failSome = func() {
		world.eachRunningTask(world.jobs[id], func(task *workerTask, machine *Worker) {
			if task.status == model.Running && world.rng.Float64() < interval.Seconds()/mean.Seconds() {
				world.endTask(machine, task, "error")
				machine.changed = true
			}
		})
		world.schedule(interval, failSome)
	}
	world.schedule(interval, failSome)
}

// countStarts returns a set to which it adds the name of each attempt of the job that a controller commands a
// worker to start from this moment on.
func (world *World) countStarts(id string) map[string]bool {
	starts := map[string]bool{}
	addStarts := func(commands []model.TaskCommand) {
		for _, command := range commands {
			if command.Kind == model.StartTask && command.Job == id {
				starts[attemptName(command)] = true
			}
		}
	}
	world.corruptEffect = func(effect message.Effect) message.Effect {
		switch e := effect.(type) {
		case message.WorkerRequest:
			addStarts(e.Commands)
		case message.HeartbeatReply:
			addStarts(e.Commands)
		}
		return effect
	}
	return starts
}

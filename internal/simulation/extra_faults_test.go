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
	world := newTestWorld(3)
	for _, id := range []string{"job-000001", "job-000002", "job-000003"} {
		world.Submit(longJob(id, 4), time.Hour, false)
	}
	world.Run(time.Minute)
	if world.runningTasks("job-000001")+world.runningTasks("job-000002")+world.runningTasks("job-000003") != 12 {
		t.Fatal("got fewer than 12 running tasks after a minute")
	}
	return world
}

// busyMachine returns a machine with a running task, and that task.
func busyMachine(world *World) (*Worker, *workerTask) {
	for _, machine := range world.fleet {
		for _, k := range sortedKeys(machine.tasks) {
			if machine.tasks[k].onMachine() {
				return machine, machine.tasks[k]
			}
		}
	}
	panic("simulation: no task is running")
}

// TestCancelLongRunning cancels two of three running jobs at about the same time, while machines of these
// jobs hang. It guards against a fault that cancels another number of jobs or hangs no machine or too many,
// and against cancelled tasks that run on.
func TestCancelLongRunning(t *testing.T) {
	world := newBusyWorld(t)
	world.CancelLongRunning(2, 20*time.Second)
	world.Run(massCancelWithin)
	cancelled, hung := 0, 0
	for _, job := range world.jobs {
		if job.cancelRequested {
			cancelled++
		}
	}
	for _, machine := range world.fleet {
		if world.now.Before(machine.hungUntil) {
			hung++
		}
	}
	if cancelled != 2 || hung == 0 || hung > maxHungMachines {
		t.Errorf("got %d cancelled jobs, %d hung machines, want 2 and 1 to %d", cancelled, hung, maxHungMachines)
	}
	world.Run(testCancelWithin)
	running := 0
	for id, job := range world.jobs {
		if world.runningTasks(id) > 0 {
			running++
		}
		if job.cancelRequested && world.runningTasks(id) > 0 {
			t.Errorf("%s: got running tasks after its cancellation", id)
		}
	}
	if running != 1 {
		t.Errorf("got %d running jobs, want 1", running)
	}
	checkNoViolations(t, world)
}

// TestCancelAtEnd cancels a job at the moment at which its last task ends. It guards against a job whose
// final state changes or stays open.
func TestCancelAtEnd(t *testing.T) {
	world := newTestWorld(3)
	world.cancelAtEndRate, world.cancelAtEndUntil = 1, world.now.Add(time.Hour)
	spec := longJob("job-000001", 2)
	spec.ExpectedRunTime = 10 * time.Second
	world.Submit(spec, 10*time.Second, false)
	world.Run(2 * time.Minute)
	if job := world.jobs[spec.ID]; !job.cancelRequested || len(job.doneTasks) != 2 || !isFinal(job.lastState) {
		t.Errorf("got %d tasks done, cancel requested %v, state %q, want 2, true and a final state", len(job.doneTasks), job.cancelRequested, job.lastState)
	}
	checkNoViolations(t, world)
}

// TestUnheardMachines loses the heartbeats of a machine that direct commands still reach and whose answers
// to them arrive. It guards against a cancelled task that runs on there until the machine's lease expires,
// and against a fault that lets the machine renew its lease.
func TestUnheardMachines(t *testing.T) {
	world := newBusyWorld(t)
	machine, task := busyMachine(world)
	world.MuteMachines([]string{machine.ID}, time.Hour)
	// Wait until a heartbeat that is in flight is answered.
	world.Run(5 * time.Second)
	before := machine.leaseStart
	world.Cancel(task.job.spec.ID)
	world.Run(3 * time.Second)
	if task.onMachine() {
		t.Error("got the cancelled task still running, want it stopped by a direct command")
	}
	if machine.leaseStart != before {
		t.Errorf("got lease renewed at %v, want it unchanged since %v", machine.leaseStart, before)
	}
	world.Run(world.settings.WorkerLease)
	if machine.incarnation < 2 {
		t.Errorf("got incarnation %d, want a new one after its lease expired", machine.incarnation)
	}
	checkNoViolations(t, world)
}

// TestLateCommands delays a direct command, which gets no answer and must be executed once, after the delay,
// if its epoch and incarnation match. It guards against a fault that executes the command at once or never,
// or that also delays status requests.
func TestLateCommands(t *testing.T) {
	world := newBusyWorld(t)
	machine, task := busyMachine(world)
	world.DelayCommands(1, time.Second)
	process := world.controllers[0]
	stop := message.WorkerRequest{ID: 1 << 40, Machine: machine.ID, Epoch: machine.epoch, Incarnation: machine.incarnation, Commands: []model.TaskCommand{{Kind: model.StopTask, Job: task.job.spec.ID, Index: task.index, Attempt: task.attempt}}}
	otherIncarnation := stop
	otherIncarnation.Incarnation++
	if !process.delayCommand(machine, otherIncarnation) || !process.delayCommand(machine, stop) {
		t.Fatal("got a command delivered at once, want it delayed")
	}
	statusRequest := stop
	statusRequest.StatusOnly = true
	if process.delayCommand(machine, statusRequest) {
		t.Error("got a status request delayed, want it delivered at once")
	}
	world.Run(minCommandDelay - 10*time.Millisecond)
	if !task.onMachine() {
		t.Error("got the command executed at once, want it delayed")
	}
	world.Run(maxCommandDelay)
	if task.onMachine() {
		t.Error("got the command not executed, want it executed after its delay")
	}
	checkNoViolations(t, world)
}

// TestLateCommandOfAnotherIncarnation delays a command for another incarnation of a machine. It guards
// against a machine that executes such a command.
func TestLateCommandOfAnotherIncarnation(t *testing.T) {
	world := newBusyWorld(t)
	machine, task := busyMachine(world)
	world.DelayCommands(1, time.Second)
	world.controllers[0].delayCommand(machine, message.WorkerRequest{Machine: machine.ID, Epoch: machine.epoch, Incarnation: machine.incarnation + 1, Commands: []model.TaskCommand{{Kind: model.StopTask, Job: task.job.spec.ID, Index: task.index, Attempt: task.attempt}}})
	world.Run(minCommandDelay + maxCommandDelay)
	if !task.onMachine() {
		t.Error("got the command executed, want it ignored")
	}
}

// TestLostWriteAnswers injects late_writes faults with Immediate set. It guards against a fault that loses
// or delays the write itself and not only its answer.
func TestLostWriteAnswers(t *testing.T) {
	world := newTestWorld(1)
	world.Run(20 * time.Second)
	process := world.controllers[0]
	answered := func(id uint64) bool {
		key := fmt.Sprint("x/", id)
		// While the process is paused, the messages that it receives stay in its queue.
		world.Pause(process.index, time.Second)
		process.sendStoreRequest(message.StoreRequest{ID: id, Kind: message.OpTxn, Writes: []message.Write{{Key: key, Value: []byte{0x80}}}}, world.now.Add(time.Minute))
		world.Run(900 * time.Millisecond)
		if world.state.records[key] == nil {
			t.Errorf("got no record %s, want it written", key)
		}
		return slices.ContainsFunc(process.queue, func(command message.Command) bool {
			response, ok := command.(message.StoreResponse)
			return ok && response.ID == id
		})
	}
	if !answered(1 << 40) {
		t.Error("got no answer without a fault")
	}
	world.startOverlapFault(Fault{Kind: "late_writes", Fraction: 1, Duration: time.Second, Immediate: true})
	if answered(1<<40 + 1) {
		t.Error("got an answer, want it lost")
	}
}

// TestReplayToNextLeader injects copies faults with ForNextLeader set. It guards against a fault that
// delivers the copies of heartbeats before another controller leads, or keeps them afterwards.
func TestReplayToNextLeader(t *testing.T) {
	world := newBusyWorld(t)
	world.startProtocolFault(Fault{Kind: "copies", Fraction: 1, Duration: 20 * time.Second, Delay: time.Minute, ForNextLeader: true}, world.rng)
	world.Run(20 * time.Second)
	held := len(world.heldHeartbeats)
	if held == 0 {
		t.Fatal("got no held heartbeats, want some")
	}
	old := world.leaderName()
	world.CrashController(world.leaderIndex(0), time.Minute)
	for range 60 {
		if world.leaderName() != old && world.leaderName() != "" {
			break
		}
		if len(world.heldHeartbeats) != held {
			t.Fatalf("got %d held heartbeats before another controller leads, want %d", len(world.heldHeartbeats), held)
		}
		world.Run(time.Second)
	}
	world.Run(2 * time.Second)
	if len(world.heldHeartbeats) > 0 {
		t.Errorf("got %d held heartbeats under leader %q, want none", len(world.heldHeartbeats), world.leaderName())
	}
	world.Run(time.Minute)
	checkNoViolations(t, world)
}

// TestConcurrentAndInvalidRequests sends queries in quick succession and invalid requests. It guards
// against rules that report a violation by a correct controller, or none when answers are corrupted.
func TestConcurrentAndInvalidRequests(t *testing.T) {
	for _, test := range []struct {
		want    string
		corrupt func(message.UserReply) message.UserReply
	}{
		{"", nil},
		{"went_back", func(reply message.UserReply) message.UserReply {
			if reply.State == "done" {
				reply.State = "running"
			}
			return reply
		}},
		{"forgotten", func(reply message.UserReply) message.UserReply {
			reply.Status = 404
			return reply
		}},
		{"accepted_odd", func(reply message.UserReply) message.UserReply {
			if reply.Status == 422 || reply.Status == 400 {
				reply.Status = 201
			}
			return reply
		}},
	} {
		t.Run(test.want, func(t *testing.T) {
			world := newTestWorld(3)
			answers := 0
			if test.corrupt != nil {
				world.corruptEffect = func(effect message.Effect) message.Effect {
					if reply, ok := effect.(message.UserReply); ok {
						// Corrupt one answer in three.
						if answers++; answers%3 == 0 {
							return test.corrupt(reply)
						}
					}
					return effect
				}
			}
			world.concurrentReadsUntil = world.now.Add(time.Hour)
			for i, id := range []string{"job-000001", "job-000002", "job-000003", "job-000004"} {
				spec := longJob(id, 2)
				spec.ExpectedRunTime = time.Duration(10+10*i) * time.Second
				world.Submit(spec, spec.ExpectedRunTime, false)
			}
			world.SendInvalidRequests(time.Minute)
			world.Run(2 * time.Minute)
			if got := strings.Join(world.Violations, "\n"); test.want == "" && got != "" || !strings.Contains(got, test.want) {
				t.Errorf("got violations %q, want %q", got, test.want)
			}
			if world.invalidJobs == 0 {
				t.Error("got no invalid job sent, want some")
			}
		})
	}
}

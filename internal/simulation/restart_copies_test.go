package simulation

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// restartCopier restarts machines as soon as an attempt on them was cleared, and delivers copies of all
// requests that their former processes carried out before the first heartbeat of the new process is answered.
type restartCopier struct {
	world *World
	// cause is the cause of the end of the attempts after whose clear their machines restart.
	cause string
	// onRestart is called with the first restart.
	onRestart func()
	restarted []*Worker
	// executed counts the copies that a worker executed, and started has the attempts that they started.
	executed int
	started  []string
}

// maxCopierRestarts is the largest number of machines that a restartCopier restarts.
const maxCopierRestarts = 3

// restartCleared restarts the machine of an attempt that was cleared.
func (copier *restartCopier) restartCleared(cleared clearedAttempt) {
	machine := cleared.machine
	if cleared.cause != copier.cause || !machine.up(copier.world.now) || len(copier.world.carriedOut[machine.ID]) == 0 || slices.Contains(copier.restarted, machine) || len(copier.restarted) >= maxCopierRestarts {
		return
	}
	if len(copier.restarted) == 0 {
		copier.onRestart()
	}
	copier.restarted = append(copier.restarted, machine)
	// A task without an image runs at once, before its shard leader can stop it.
	machine.FetchRate = 1e6
	const downTime = 300 * time.Millisecond
	copier.world.RestartWorker(machine, downTime)
	copier.world.schedule(downTime, func() {
		// The worker starts and sends its first heartbeat.
		copier.world.advanceMachine(machine, 0)
		executed, started := copier.world.deliverCopies(machine)
		copier.executed += executed
		copier.started = append(copier.started, started...)
	})
}

// check fails the test if a copy started an attempt, no copy was executed, or a rule was violated.
func (copier *restartCopier) check(t *testing.T) {
	t.Helper()
	if len(copier.started) > 0 {
		t.Errorf("got %d attempts started by copies, the first %s, want none", len(copier.started), copier.started[0])
	}
	if copier.executed == 0 {
		t.Errorf("got no copy executed on %d restarted machines, want some", len(copier.restarted))
	}
	checkNoViolations(t, copier.world)
}

// deliverCopies delivers copies of all direct requests that a machine has carried out since KeepRequests.
// It returns how many the worker executed, and the attempts that they started.
func (world *World) deliverCopies(machine *Worker) (executed int, started []string) {
	for _, request := range slices.Clone(world.carriedOut[machine.ID]) {
		before := sortedKeys(machine.tasks)
		if world.executeDirect(machine, request).OK {
			executed++
		}
		for _, key := range sortedKeys(machine.tasks) {
			if !slices.Contains(before, key) {
				started = append(started, attemptOn(machine.ID, key))
			}
		}
	}
	return executed, started
}

// TestCopiesAfterWorkerRestart restarts machines within a second under the same name when attempts on them
// have ended in one of several ways, alone or with controllers, and delivers copies of the direct requests
// that their former processes carried out. It guards against a task that such a copy starts on a
// second machine, or after its job was cancelled: the new process has forgotten the epoch and its tasks,
// and accepts everything until a controller has answered it.
func TestCopiesAfterWorkerRestart(t *testing.T) {
	for _, ending := range attemptEndings {
		for _, with := range []string{"alone", "with the shard leader", "with all controllers"} {
			t.Run(ending.name+" "+with, func(t *testing.T) {
				t.Parallel()
				world := newTestWorld(5)
				world.KeepRequests()
				copier := &restartCopier{world: world, cause: ending.cause, onRestart: func() {
					shardLeader := world.shardLeaderOf("ops")
					for i := range world.controllers {
						if with == "with all controllers" || with == "with the shard leader" && i == shardLeader {
							world.CrashController(i, 300*time.Millisecond)
						}
					}
				}}
				world.watchClears(copier.restartCleared)
				ending.run(t, world)
				world.Run(time.Minute)
				copier.check(t)
			})
		}
	}
}

// TestCopiesInLaterIncarnation guards against a copy that starts a cancelled task in a later incarnation of
// a restarted worker: the worker has lost its lease since the restart, so its incarnation is that of the
// copy again, and it has heard from no controller.
func TestCopiesInLaterIncarnation(t *testing.T) {
	world := newTestWorld(5)
	world.KeepRequests()
	world.Submit(longJob("job-0", 1), time.Hour, false)
	world.Run(time.Minute)
	machine, _ := busyMachine(world)
	world.expireWorkerLease(machine)
	world.Run(10 * time.Second)
	world.Submit(longJob("job-1", 24), time.Hour, false)
	world.Run(30 * time.Second)
	if machine.incarnation != 2 || !slices.Contains(world.machinesRunning("job-1"), machine) {
		t.Fatalf("got incarnation %d of %s and job-1 elsewhere, want incarnation 2 and tasks of job-1", machine.incarnation, machine.ID)
	}
	world.Cancel("job-1")
	world.Run(30 * time.Second)
	// No controller reaches the machine, and the cloud can't release it.
	world.cloudOutage = true
	world.MuteMachines([]string{machine.ID}, time.Hour)
	world.MakeUnreachable([]string{machine.ID}, time.Hour, false)
	machine.FetchRate = 1e6
	world.RestartWorker(machine, 300*time.Millisecond)
	if world.waitUntil(2*world.settings.WorkerLease, func() bool { return machine.incarnation == 2 }) < 0 {
		t.Fatalf("got incarnation %d after the lease, want 2", machine.incarnation)
	}
	executed, started := world.deliverCopies(machine)
	if executed == 0 {
		t.Error("got no copy executed, want some")
	}
	if len(started) > 0 {
		t.Errorf("got %d attempts started by copies, the first %s, want none", len(started), started[0])
	}
	world.Run(time.Minute)
	checkNoViolations(t, world)
}

// TestRestartCopies plays random days on which machines, and on every second day controllers, come back
// within a second, and copies of requests that were carried out arrive at the restarted machines. It guards
// against copies that break a rule.
func TestRestartCopies(t *testing.T) {
	for seed := range dayCount(t, 16, 4) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			world := newWorldWithRandomFeatures(seed)
			world.KeepRequests()
			rng := rand.New(rand.NewPCG(seed, 6523))
			for at := 40 * time.Second; at < 4*time.Minute; at += time.Minute {
				world.schedule(at, func() {
					world.startRestartCopies(Fault{Kind: restartCopiesKind, Duration: 50 * time.Second, RestartAfter: 300 * time.Millisecond, Fraction: 0.2, HoldMessages: seed%2 == 1, Controller: int(at / time.Minute)}, rng)
				})
			}
			runRandomDay(world, seed+7000)
			checkNoViolations(t, world)
			checkFinalAnswers(t, world, true)
			if world.copiesExecuted == 0 {
				t.Error("got no copy executed, want some")
			}
		})
	}
}

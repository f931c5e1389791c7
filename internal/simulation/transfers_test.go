package simulation

import (
	"fmt"
	"testing"
	"time"

	"github.com/micahill/micahill/internal/message"
	"github.com/micahill/micahill/internal/model"
)

// The tests of this file submit jobs that fit only into the free capacity of a machine that belongs to
// another shard leader and runs tasks.
//
// They guard against such a job waiting as long as any task runs on that machine. This happens if shard
// leaders ask the leader only for rentals or idle machines, and offer only idle machines that they don't
// need: then a machine in use is neither requested nor offered. In TestFreeCapacityOnMachineOfOtherShard the
// job then waits from second 60 to second 151: each second its shard leader requests one big machine, the
// leader answers that no other shard leader has a surplus, and the cloud refuses the machine type. The shard
// leader of the waiting job counts one job with "no free capacity here".

// newBigMachinesWorld returns a world of three controllers whose cloud has count big machines and no other
// machines. The world counts as free of faults from its start, so that the rules on waiting times apply.
func newBigMachinesWorld(seed uint64, count int) *World {
	types, _ := testTypes()
	world := NewWorld(seed, 3, testSettings(), testCancelWithin, types, map[string]int{"big/a/false": count})
	world.faultsEndAt = world.now
	return world
}

// labJob returns a job of the team lab that runs longer than every test.
func labJob(id string, tasks int, cpu float64) model.JobSpec {
	spec := longJob(id, tasks)
	spec.Team, spec.Need.CPU = "lab", cpu
	return spec
}

// checkPlaced fails the test unless all tasks of a job are on machines.
func checkPlaced(t *testing.T, world *World, id string) {
	t.Helper()
	job := world.jobs[id]
	for i := range job.spec.Tasks {
		if !job.isPlaced(i) {
			t.Errorf("%s/%d: got the task on no machine, want it on one", id, i)
		}
	}
}

// checkNotRestarted fails the test unless all tasks of a job are on machines in their first attempt.
func checkNotRestarted(t *testing.T, world *World, id string) {
	t.Helper()
	checkPlaced(t, world, id)
	for _, machine := range world.machinesRunning(id) {
		for _, task := range machine.tasks {
			if task.job.spec.ID == id && task.attempt != 1 {
				t.Errorf("%s/%d: got attempt %d, want the first", id, task.index, task.attempt)
			}
		}
	}
}

// TestShardLeadersWithCapacityForEachOther has two shard leaders, each with one machine whose free capacity
// only fits the waiting job of the other. It guards against a deadlock in which neither job starts, and
// against transfers that restart running tasks.
func TestShardLeadersWithCapacityForEachOther(t *testing.T) {
	types, _ := testTypes()
	world := NewWorld(3, 3, testSettings(), testCancelWithin, types, map[string]int{"big/a/false": 1, "small/a/false": 1})
	world.faultsEndAt = world.now
	submit := func(id, team, machineType string, cpu float64) {
		spec := labJob(id, 1, cpu)
		spec.Team, spec.MachineTypes = team, []string{machineType}
		world.Submit(spec, time.Hour, false)
	}
	submit("job-000001", "ops", "big", 20)
	submit("job-000002", "lab", "small", 2)
	world.Run(time.Minute)
	submit("job-000003", "ops", "small", 2)
	submit("job-000004", "lab", "big", 8)
	world.Run(maxWaiting + 30*time.Second)
	for _, id := range []string{"job-000001", "job-000002", "job-000003", "job-000004"} {
		checkNotRestarted(t, world, id)
	}
	world.Run(5 * time.Minute)
	checkNoViolations(t, world)
}

// TestFreeCapacityBesideReplicas submits a job that fits only beside long-running replicas of another shard.
// It guards against a transfer that waits for replicas, which never end, or restarts them.
func TestFreeCapacityBesideReplicas(t *testing.T) {
	world := newBigMachinesWorld(5, 1)
	spec := longJob("job-000001", 4)
	spec.LongRunning, spec.ExpectedRunTime = true, 0
	world.Submit(spec, 0, false)
	world.Run(time.Minute)
	world.Submit(labJob("job-000002", 2, 8), time.Hour, false)
	world.Run(maxWaiting + 30*time.Second)
	checkNoViolations(t, world)
	checkNotRestarted(t, world, "job-000001")
	checkPlaced(t, world, "job-000002")
}

// TestFreeCapacityAtQuotaLimit submits a job that fills the quota limit of its team exactly, with tasks on
// machines of both shards. It guards against a transfer that lets the team exceed the limit: the
// next job of the team waits for quota and must get no machine.
func TestFreeCapacityAtQuotaLimit(t *testing.T) {
	world := newBigMachinesWorld(7, 2)
	world.Submit(longJob("job-000001", 10), time.Hour, false)
	world.Run(time.Minute)
	world.Submit(labJob("job-000002", 1, 32), time.Hour, false)
	world.Run(time.Minute)
	world.Submit(labJob("job-000003", 1, 8), time.Hour, false)
	world.Run(maxWaiting + 30*time.Second)
	checkPlaced(t, world, "job-000003")
	world.Submit(labJob("job-000004", 1, 1), time.Hour, false)
	world.Run(maxWaiting + 30*time.Second)
	checkNoViolations(t, world)
	if world.jobs["job-000004"].isPlaced(0) {
		t.Error("got a task placed beyond the quota limit of its team, want none")
	}
}

// TestFreeCapacityAmongTeams has three or four teams, of which all but the last have a machine in use. Then
// it submits jobs of all teams but the first, each of which fits beside one running task only, mostly
// that of another team. It guards against a job that waits although a machine of another shard has
// capacity for it.
func TestFreeCapacityAmongTeams(t *testing.T) {
	for _, teams := range []int{3, 4} {
		t.Run(fmt.Sprint(teams), func(t *testing.T) {
			t.Parallel()
			set := testSettings()
			set.Teams = nil
			for i := range teams {
				set.Teams = append(set.Teams, model.Team{Name: fmt.Sprintf("team-%c", 'a'+i)})
			}
			types, _ := testTypes()
			world := NewWorld(uint64(teams), 3, set, testCancelWithin, types, map[string]int{"big/a/false": teams - 1})
			world.faultsEndAt = world.now
			submit := func(id string, team int, cpu, memory float64) {
				spec := labJob(id, 1, cpu)
				spec.Team, spec.Need.Memory = set.Teams[team].Name, memory
				world.Submit(spec, time.Hour, false)
			}
			for i := range teams - 1 {
				submit(fmt.Sprintf("job-00000%d", i), i, float64(16+4*i), float64(100-40*i))
			}
			world.Run(time.Minute)
			// Each job fits beside one task only, which mostly belongs to another team.
			for i := range teams - 1 {
				submit(fmt.Sprintf("job-00001%d", i), teams-1-i, float64(16-4*i), float64(20+40*i))
			}
			world.Run(maxWaiting + 30*time.Second)
			checkNoViolations(t, world)
			for i := range teams - 1 {
				checkNotRestarted(t, world, fmt.Sprintf("job-00000%d", i))
				checkPlaced(t, world, fmt.Sprintf("job-00001%d", i))
			}
		})
	}
}

// transferFaults are the faults that TestFaultsDuringTransfer injects around a transfer, by name. Crashed
// controllers restart after 0.1 s. The other faults last 5 s or 10 s, but the messages that they delay can
// arrive later.
var transferFaults = map[string]func(*World){
	"owning shard leader crashes":  func(world *World) { world.CrashController(world.shardLeaderOf("ops"), 100*time.Millisecond) },
	"waiting shard leader crashes": func(world *World) { world.CrashController(world.shardLeaderOf("lab"), 100*time.Millisecond) },
	"leader crashes":               func(world *World) { world.CrashController(world.leaderIndex(0), 100*time.Millisecond) },
	"all controllers crash": func(world *World) {
		for i := range world.controllers {
			world.CrashController(i, 100*time.Millisecond)
		}
	},
	"commands delayed":    func(world *World) { world.DelayCommands(1, 10*time.Second) },
	"heartbeats repeated": func(world *World) { world.CopyHeartbeats(1, 40*time.Second, 10*time.Second) },
	"writes delayed":      func(world *World) { world.DelayWrites(0.5, 5*time.Second) },
}

// transferFaultTimes returns the times after the submission of a job at which a test injects a fault. They
// range from before the transfer of the machine for that job until after it.
func transferFaultTimes() []time.Duration {
	if raceEnabled || testing.Short() {
		return []time.Duration{44 * time.Second, 47 * time.Second, 49 * time.Second}
	}
	var out []time.Duration
	for at := 40 * time.Second; at <= 56*time.Second; at += 500 * time.Millisecond {
		out = append(out, at)
	}
	return out
}

// TestFaultsDuringTransfer injects each of the transferFaults at each of the transferFaultTimes. It guards
// against a fault that makes the waiting job wait too long, or restarts the tasks that run on the machine.
func TestFaultsDuringTransfer(t *testing.T) {
	for _, name := range sortedKeys(transferFaults) {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			for _, at := range transferFaultTimes() {
				world := newBigMachinesWorld(3, 1)
				world.Submit(longJob("job-000001", 10), time.Hour, false)
				world.Run(time.Minute)
				world.Submit(labJob("job-000002", 2, 8), time.Hour, false)
				world.Run(at)
				transferFaults[name](world)
				world.faultsEndAt = world.now.Add(10 * time.Second)
				world.Run(10*time.Second + maxWaiting + 30*time.Second)
				checkNoViolations(t, world)
				checkNotRestarted(t, world, "job-000001")
				checkPlaced(t, world, "job-000002")
				if t.Failed() {
					t.Fatalf("failed with the fault %v after the submission", at)
				}
			}
		})
	}
}

// TestCancelledAroundTransfer cancels the job that runs on the machine before, during and after the
// transfer of that machine, while the machine works, hangs, can't be reached, or can't reach a controller.
// It guards against tasks that run on after cancel_s because two shard leaders are involved, and against a
// waiting job that does not start.
func TestCancelledAroundTransfer(t *testing.T) {
	for _, state := range []string{"working", "hung", "heartbeats lost", "unreachable"} {
		t.Run(state, func(t *testing.T) {
			t.Parallel()
			for _, at := range transferFaultTimes() {
				world := newBigMachinesWorld(3, 1)
				world.Submit(longJob("job-000001", 10), time.Hour, false)
				world.Run(time.Minute)
				world.Submit(labJob("job-000002", 2, 8), time.Hour, false)
				world.Run(at)
				machine := world.machinesRunning("job-000001")[0]
				switch state {
				case "hung":
					machine.hungUntil = world.now.Add(15 * time.Second)
				case "heartbeats lost":
					world.MuteMachines([]string{machine.ID}, 15*time.Second)
				case "unreachable":
					world.MakeUnreachable([]string{machine.ID}, 15*time.Second, true)
				}
				world.Cancel("job-000001")
				world.faultsEndAt = world.now.Add(15 * time.Second)
				world.Run(15*time.Second + maxWaiting + 30*time.Second)
				checkNoViolations(t, world)
				checkPlaced(t, world, "job-000002")
				if t.Failed() {
					t.Fatalf("failed with the cancellation %v after the submission", at)
				}
			}
		})
	}
}

// TestNoTransferWithoutWait submits jobs of two shards that all find capacity in time. It guards against
// transfers of machines in use that no waiting job needs.
func TestNoTransferWithoutWait(t *testing.T) {
	world := newTestWorld(11)
	world.faultsEndAt = world.now
	for i := range 6 {
		spec := labJob(fmt.Sprintf("job-00000%d", i), 2, 2)
		spec.Team = []string{"ops", "lab"}[i%2]
		world.Submit(spec, time.Hour, false)
	}
	transfers := countTransfers(world)
	world.Run(3 * time.Minute)
	checkNoViolations(t, world)
	if *transfers != 0 {
		t.Errorf("got %d transfers while no job waits, want none", *transfers)
	}
}

// countTransfers returns a counter of the transfers of machines in use from now on.
func countTransfers(world *World) *int {
	transfers := 0
	world.corruptEffect = func(effect message.Effect) message.Effect {
		if entry, ok := effect.(message.Log); ok && entry.Message == "machine transferred for waiting jobs" {
			transfers++
		}
		return effect
	}
	return &transfers
}

package simulation

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/micahill/micahill/internal/message"
	"github.com/micahill/micahill/internal/model"
	"github.com/micahill/micahill/internal/record"
	"github.com/vmihailenco/msgpack/v5"
)

// commandRepeater delivers a worker's answered requests with starts again at the moment when it is worst: as
// soon as the attempt that a request started has left the worker's list, and again after each of
// commandRepeatDelays. It leaves nothing to chance, so that a start that is executed again shows at once.
type commandRepeater struct {
	world *World
	// requests holds the direct requests by machine and attempt.
	requests map[string]message.WorkerRequest
	// clearedCauses counts the attempts that left a worker's list, by the cause of their end.
	clearedCauses map[string]int
	// restarted holds the attempts that a repeat started again. refused counts the other repeats.
	restarted []string
	refused   int
}

// repeatScanInterval is the time between two looks at the workers' lists.
const repeatScanInterval = 10 * time.Millisecond

// commandRepeatDelays are the times after which a request is delivered again once its attempt was cleared.
var commandRepeatDelays = []time.Duration{0, 10 * time.Millisecond, 400 * time.Millisecond, 3 * time.Second, 30 * time.Second}

// repeatCommands makes a commandRepeater watch a world from this moment on.
func repeatCommands(world *World) *commandRepeater {
	repeater := &commandRepeater{world: world, requests: map[string]message.WorkerRequest{}, clearedCauses: map[string]int{}}
	world.startExecuted = repeater.note
	world.watchClears(repeater.repeatCleared)
	return repeater
}

// note records a start as the direct request with which former versions of the controllers sent it.
func (repeater *commandRepeater) note(machine *Worker, command model.TaskCommand) {
	repeater.requests[attemptOn(machine.ID, attemptName(command))] = message.WorkerRequest{
		Machine: machine.ID, Epoch: machine.epoch, Incarnation: machine.incarnation, Commands: []model.TaskCommand{command},
	}
}

// attemptOn names an attempt on a machine.
func attemptOn(machine, attempt string) string { return machine + " " + attempt }

// clearedAttempt is an attempt that has left the list of its worker.
type clearedAttempt struct {
	machine *Worker
	// name is the attempt's name, and cause the cause of its end.
	name, cause string
}

// watchClears calls onCleared with each attempt that leaves the list of its worker. It looks at the lists
// once in repeatScanInterval.
func (world *World) watchClears(onCleared func(clearedAttempt)) {
	listed := map[string]clearedAttempt{}
	var scan func()
	scan = func() {
		world.schedule(repeatScanInterval, scan)
		now := map[string]clearedAttempt{}
		for _, machine := range world.fleet {
			for key, task := range machine.tasks {
				now[attemptOn(machine.ID, key)] = clearedAttempt{machine, key, task.cause}
			}
		}
		for _, attempt := range slices.Sorted(maps.Keys(listed)) {
			if _, still := now[attempt]; !still {
				onCleared(listed[attempt])
			}
		}
		listed = now
	}
	scan()
}

// repeatCleared repeats the start of an attempt that was cleared.
func (repeater *commandRepeater) repeatCleared(cleared clearedAttempt) {
	machine := cleared.machine
	request, started := repeater.requests[attemptOn(machine.ID, cleared.name)]
	if !started || machine.dead || machine.released || machine.incarnation != request.Incarnation {
		return
	}
	repeater.clearedCauses[cleared.cause]++
	for _, delay := range commandRepeatDelays {
		repeater.world.schedule(delay, func() { repeater.repeat(machine, request) })
	}
}

// repeat delivers a request again and records the attempts that it starts.
func (repeater *commandRepeater) repeat(machine *Worker, request message.WorkerRequest) {
	if machine.dead || machine.released {
		return
	}
	before := maps.Clone(machine.tasks)
	if response := repeater.world.executeDirect(machine, request); !response.OK {
		repeater.refused++
	}
	for key := range machine.tasks {
		if before[key] == nil {
			repeater.restarted = append(repeater.restarted, attemptOn(machine.ID, key))
		}
	}
}

// check fails the test if a repeat started an attempt again, if no attempt ended with the cause and was
// cleared, or if a rule was violated.
func (repeater *commandRepeater) check(t *testing.T, cause string) {
	t.Helper()
	if len(repeater.restarted) > 0 {
		t.Errorf("got %d attempts started again by a repeat, the first %s, want none", len(repeater.restarted), repeater.restarted[0])
	}
	if repeater.clearedCauses[cause] == 0 || repeater.refused == 0 {
		t.Errorf("got cleared attempts %v and %d refused repeats, want at least one that ended with %q and one refused", repeater.clearedCauses, repeater.refused, cause)
	}
	checkNoViolations(t, repeater.world)
}

// attemptEndings are the ways in which attempts end and are cleared.
var attemptEndings = []struct {
	name, cause string
	run         func(t *testing.T, world *World)
}{
	{"done", "done", func(_ *testing.T, world *World) {
		world.Submit(batchJob("job-1", "ops", 8, 2, 10*time.Second), 10*time.Second, false)
		world.Run(90 * time.Second)
	}},
	{"straggler", "stopped", func(_ *testing.T, world *World) {
		spec := batchJob("job-1", "ops", 8, 4, 30*time.Second)
		spec.MachineTypes = []string{"small"}
		world.Submit(spec, 30*time.Second, false)
		world.Run(40 * time.Second)
		_, task := busyMachine(world)
		task.remaining *= 40
		world.Run(4 * time.Minute)
	}},
	{"preempted", "stopped", preemptBatchJob},
	{"drained", "stopped", func(_ *testing.T, world *World) {
		spec := longJob("job-1", 4)
		spec.AllowSpot = true
		world.Submit(spec, time.Hour, false)
		world.Run(time.Minute)
		for _, machine := range world.machinesRunning("job-1") {
			machine.reclaimAt = world.now.Add(40 * time.Second)
		}
		world.Run(35 * time.Second)
	}},
	{"failed", "error", func(_ *testing.T, world *World) {
		world.Submit(longJob("job-1", 4), time.Hour, false)
		world.Run(time.Minute)
		machine, _ := busyMachine(world)
		machine.faulty = true
		world.Run(time.Minute)
	}},
	{"cancelled", "stopped", func(_ *testing.T, world *World) {
		world.Submit(longJob("job-1", 4), time.Hour, false)
		world.Submit(longJob("job-2", 4), time.Hour, false)
		world.Run(time.Minute)
		world.Cancel("job-1")
		world.Run(2 * time.Minute)
	}},
	{"another shard's job", "done", func(t *testing.T, world *World) {
		// The team lab moves to the controller of the team ops while its tasks run. The machines
		// stay with their owner, which started the tasks and later clears them.
		world.Submit(batchJob("job-2", "lab", 4, 2, 50*time.Second), 50*time.Second, false)
		world.Run(40 * time.Second)
		from := world.shardLeaderOf("lab")
		world.moveTeam(t, "lab", "ops")
		world.Run(5 * time.Second)
		if world.shardLeaderOf("lab") == from {
			t.Error("got the team at its former controller, want it moved")
		}
		world.Run(55 * time.Second)
	}},
	{"after takeover", "stopped", func(_ *testing.T, world *World) {
		world.Run(20 * time.Second)
		world.CrashController(world.shardLeaderOf("ops"), 2*time.Minute)
		world.Run(20 * time.Second)
		preemptBatchJob(nil, world)
	}},
	{"after restart of all controllers", "stopped", func(_ *testing.T, world *World) {
		preemptBatchJob(nil, world)
		for i := range world.controllers {
			world.CrashController(i, 300*time.Millisecond)
		}
		world.Run(30 * time.Second)
		world.Cancel("job-1")
		world.Run(time.Minute)
	}},
	{"after restart of another controller", "done", func(_ *testing.T, world *World) {
		world.Submit(batchJob("job-1", "ops", 8, 2, 40*time.Second), 40*time.Second, false)
		world.Run(50 * time.Second)
		world.CrashController((world.shardLeaderOf("ops")+1)%3, 300*time.Millisecond)
		world.Run(time.Minute)
	}},
}

// TestRepeatedStartAfterClear delivers each direct request with starts again after its attempts have ended in
// one of several ways and were cleared. It guards against a worker that executes such a start again, because
// the clear was sent under the epoch of the start: the task then runs on two machines, or after its job was
// cancelled.
func TestRepeatedStartAfterClear(t *testing.T) {
	for _, test := range attemptEndings {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			world := newTestWorld(5)
			repeater := repeatCommands(world)
			test.run(t, world)
			repeater.check(t, test.cause)
		})
	}
}

// preemptBatchJob lets an urgent job preempt tasks of the job job-1 on a full cluster.
func preemptBatchJob(_ *testing.T, world *World) {
	spec := batchJob("job-1", "ops", 16, 4, time.Hour)
	spec.MachineTypes = []string{"big"}
	world.Submit(spec, time.Hour, false)
	world.Run(50 * time.Second)
	urgent := batchJob("job-2", "ops", 4, 4, time.Minute)
	urgent.Workload, urgent.Urgency, urgent.MachineTypes = "rush", model.Urgent, spec.MachineTypes
	world.Submit(urgent, time.Minute, false)
	world.Run(40 * time.Second)
}

// TestRepeatedRequests plays random days on which the network delivers each answered request again, up to
// three times and up to 41 s later: commands to workers, transactions, bookings and releases of machines,
// messages between controllers, and submissions, queries and cancellations of users. On every second day
// controllers crash. It guards against a request that does harm when it is carried out a second time.
func TestRepeatedRequests(t *testing.T) {
	for seed := range dayCount(t, 16, 4) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			world := newWorldWithRandomFeatures(seed)
			world.RepeatRequests(1, maxRepeatDelay, time.Hour, rand.New(rand.NewPCG(seed, 6022)))
			if seed%2 == 1 {
				for at := 40 * time.Second; at < 4*time.Minute; at += 30 * time.Second {
					world.schedule(at, func() { world.CrashController(int(at/time.Second)/30%3, 300*time.Millisecond) })
				}
			}
			runRandomDay(world, seed+7000)
			checkNoViolations(t, world)
			checkFinalAnswers(t, world, true)
			for _, receiver := range []string{"worker", "state", "cloud", "peer", "controller"} {
				if world.repeated[receiver] == 0 {
					t.Errorf("got no repeats to a %s, want some", receiver)
				}
			}
		})
	}
}

// moveTeam moves a team to the shard of another team, as the leader does when it balances the load: the
// epochs of the machines stay as they are.
func (world *World) moveTeam(t *testing.T, team, to string) {
	t.Helper()
	transaction := message.StoreRequest{Kind: message.OpTxn}
	for _, key := range sortedKeys(world.state.records) {
		if !strings.HasPrefix(key, record.ShardPrefix) {
			continue
		}
		stored, shard := world.state.records[key], map[string]any{}
		if err := msgpack.Unmarshal(stored.value, &shard); err != nil {
			t.Fatalf("%s: got error %v, want none", key, err)
		}
		var teams []string
		for _, name := range shard["teams"].([]any) {
			if name != team {
				teams = append(teams, name.(string))
			}
			if name == to {
				teams = append(teams, team)
			}
		}
		shard["teams"] = teams
		if shard["e"] == nil {
			shard["e"] = stored.modRevision
		}
		value, err := msgpack.Marshal(shard)
		if err != nil {
			t.Fatalf("%s: got error %v, want none", key, err)
		}
		transaction.Writes = append(transaction.Writes, message.Write{Key: key, Value: value})
	}
	world.state.Do(world.now, transaction, func(message.StoreResponse) {})
}

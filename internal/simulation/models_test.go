package simulation

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/micahill/micahill/internal/controller"
	"github.com/micahill/micahill/internal/message"
	"github.com/micahill/micahill/internal/model"
	"github.com/vmihailenco/msgpack/v5"
)

// fragmentedWorld is a world of four hosts with eight GPUs each. Four jobs with two replicas each fragment
// the free capacity, so that no host is free, and the cloud has no more hosts to rent.
type fragmentedWorld struct {
	*World
	// smallJobs has the IDs of the four jobs.
	smallJobs []string
	// source and target are the source and the target machine of the first step of the first plan in the last
	// migration record that a controller wrote, and host is the machine that this plan frees.
	source, target, host string
	// jobWithoutReplicas names the first small job that had no replica on a machine, with the time; it is
	// empty if every small job always had one.
	jobWithoutReplicas string
}

// newFragmentedWorld submits eight small jobs, and cancels four of them whose end leaves every host partly
// used.
func newFragmentedWorld(t *testing.T, seed uint64, controllers int) *fragmentedWorld {
	t.Helper()
	set := testSettings()
	set.Zones, set.Objectives = []string{"a"}, nil
	set.Capabilities = controller.Capabilities{Models: true, MaxMigratingFraction: 0.5, MigrationCooldown: 5 * time.Minute}
	world := NewWorld(seed, controllers, set, testCancelWithin, []model.MachineType{
		{Name: "host", Capacity: model.Resources{CPU: 64, GPU: 8, Memory: 512}, DiskGB: 400, ImageFetchRate: 1, CostPerHour: 12, SpotCostPerHour: 4, ProvisioningTime: 15 * time.Second, Zones: []string{"a"}},
	}, map[string]int{"host/a/false": 4})
	fragmented := &fragmentedWorld{World: world}
	for i := range 8 {
		id := fmt.Sprintf("job-s%05d", i)
		world.Submit(model.JobSpec{ID: id, Workload: "small", Team: "ops", LongRunning: true, Urgency: model.Normal, Tasks: 2,
			Need: model.Resources{CPU: 8, GPU: 2, Memory: 64}, Image: fmt.Sprintf("small-%d", i%2), ImageGB: 5}, 0, false)
		fragmented.smallJobs = append(fragmented.smallJobs, id)
		world.Run(time.Second)
	}
	world.Run(90 * time.Second)
	// Cancel four jobs so that every host keeps a replica and no host is full.
	for mask := range 1 << 8 {
		var keep, cancel []string
		for i, id := range fragmented.smallJobs {
			if mask>>i&1 == 1 {
				cancel = append(cancel, id)
			} else {
				keep = append(keep, id)
			}
		}
		if len(cancel) != 4 || !fragmented.isFragmented(keep) {
			continue
		}
		fragmented.smallJobs = keep
		for _, id := range cancel {
			world.Cancel(id)
		}
		world.Run(20 * time.Second)
		for _, id := range keep {
			if world.runningTasks(id) != 2 {
				t.Fatalf("%s: got %d running replicas before the migration, want 2", id, world.runningTasks(id))
			}
		}
		return fragmented
	}
	t.Fatal("got no four jobs whose cancellation leaves every host partly used")
	return nil
}

// isFragmented reports whether every host is partly used, neither empty nor full, if only the jobs in keep
// run.
func (fragmented *fragmentedWorld) isFragmented(keep []string) bool {
	hosts := 0
	for _, machine := range fragmented.machines {
		k := 0
		for _, task := range machine.tasks {
			for _, id := range keep {
				if task.job.spec.ID == id {
					k++
				}
			}
		}
		if k > 0 && k < 4 {
			hosts++
		}
	}
	return hosts == 4
}

// submitLarge submits a job with one replica that needs a whole host.
func (fragmented *fragmentedWorld) submitLarge() {
	fragmented.Submit(model.JobSpec{ID: "job-large", Workload: "large", Team: "ops", LongRunning: true, Urgency: model.Normal, Tasks: 1,
		Need: model.Resources{CPU: 64, GPU: 8, Memory: 512}, Image: "large", ImageGB: 20}, 0, false)
}

// watchJobsWithoutReplicas records the first small job without a replica on a machine. It checks once a tick
// from its call on.
func (fragmented *fragmentedWorld) watchJobsWithoutReplicas() {
	for _, id := range fragmented.smallJobs {
		if fragmented.runningTasks(id) == 0 && fragmented.jobWithoutReplicas == "" {
			fragmented.jobWithoutReplicas = fmt.Sprintf("%s at %v", id, fragmented.now.Sub(fragmented.startedAt))
		}
	}
	fragmented.schedule(tickInterval, fragmented.watchJobsWithoutReplicas)
}

// recordMigration reports whether an effect writes a migration record with a plan, and stores the machines of
// its first plan in the receiver.
func (fragmented *fragmentedWorld) recordMigration(effect message.Effect) bool {
	request, ok := effect.(message.StoreRequest)
	if !ok || request.Kind != message.OpTxn || len(request.Writes) == 0 || !strings.HasPrefix(request.Writes[0].Key, "move/") {
		return false
	}
	var record struct {
		Plans []struct {
			Host  string `msgpack:"h"`
			Steps []struct {
				From string `msgpack:"f"`
				To   string `msgpack:"o"`
			} `msgpack:"s"`
		} `msgpack:"p"`
	}
	if msgpack.Unmarshal(request.Writes[0].Value, &record) != nil || len(record.Plans) == 0 {
		return false
	}
	fragmented.source, fragmented.target, fragmented.host = record.Plans[0].Steps[0].From, record.Plans[0].Steps[0].To, record.Plans[0].Host
	return true
}

// hasCommand reports whether an effect contains a command of the kind for a job whose ID has the prefix.
func hasCommand(effect message.Effect, kind model.TaskCommandKind, jobPrefix string) bool {
	var all []model.TaskCommand
	switch e := effect.(type) {
	case message.WorkerRequest:
		all = e.Commands
	case message.HeartbeatReply:
		all = e.Commands
	}
	for _, command := range all {
		if command.Kind == kind && strings.HasPrefix(command.Job, jobPrefix) {
			return true
		}
	}
	return false
}

// TestMigrationsFreeCapacity submits a job that needs a whole host while no host is free. It guards against
// fragmented capacity that migrations don't free, and against migrations that take down all replicas of a
// job at once or leave some of them down.
func TestMigrationsFreeCapacity(t *testing.T) {
	fragmented := newFragmentedWorld(t, 1, 3)
	fragmented.watchJobsWithoutReplicas()
	fragmented.submitLarge()
	fragmented.Run(80 * time.Second)
	if fragmented.runningTasks("job-large") != 1 {
		t.Error("got the large job not running, want it running")
	}
	for _, id := range fragmented.smallJobs {
		if fragmented.runningTasks(id) != 2 {
			t.Errorf("%s: got %d running replicas, want 2", id, fragmented.runningTasks(id))
		}
	}
	if fragmented.jobWithoutReplicas != "" || len(fragmented.Violations) > 0 {
		t.Errorf("got job with all replicas down %q, violations %v, want none", fragmented.jobWithoutReplicas, fragmented.Violations)
	}
	// Finished migrations are removed from the record, and an empty record is deleted.
	fragmented.Run(6 * time.Minute)
	if row := fragmented.state.records["move/ops"]; row != nil {
		t.Errorf("got a migration record of %d bytes, want it removed", len(row.value))
	}
	if t.Failed() {
		logTail(t, fragmented.logs, len(fragmented.logs))
	}
}

// TestMigrationsSurviveFaults injects each of the faults at each step of a migration. It guards against a
// migration that a fault leaves half done, so that replicas stay down although there is capacity for them,
// and against violated invariants.
func TestMigrationsSurviveFaults(t *testing.T) {
	steps := map[string]func(*fragmentedWorld, message.Effect) bool{
		"intent": func(fragmented *fragmentedWorld, effect message.Effect) bool {
			return fragmented.recordMigration(effect)
		},
		"stop": func(fragmented *fragmentedWorld, effect message.Effect) bool {
			return hasCommand(effect, model.StopTask, "job-s")
		},
		"start": func(fragmented *fragmentedWorld, effect message.Effect) bool {
			return hasCommand(effect, model.StartTask, "job-s")
		},
		"receiver": func(fragmented *fragmentedWorld, effect message.Effect) bool {
			return hasCommand(effect, model.StartTask, "job-large")
		},
	}
	type fault struct {
		inject func(*fragmentedWorld)
		// stops means that the fault itself may stop replicas, not only the migration.
		stops bool
	}
	crash := func(matches func(*controllerProcess) bool) fault {
		return fault{inject: func(fragmented *fragmentedWorld) {
			for i, process := range fragmented.controllers {
				if process.alive && matches(process) {
					fragmented.CrashController(i, 5*time.Second)
				}
			}
		}}
	}
	machineFault := func(name func(*fragmentedWorld) string, inject func(*fragmentedWorld, *Worker)) fault {
		return fault{func(fragmented *fragmentedWorld) { inject(fragmented, fragmented.machines[name(fragmented)]) }, true}
	}
	target := func(fragmented *fragmentedWorld) string { return fragmented.target }
	source := func(fragmented *fragmentedWorld) string { return fragmented.source }
	host := func(fragmented *fragmentedWorld) string { return fragmented.host }
	kill := func(fragmented *fragmentedWorld, machine *Worker) { fragmented.killMachine(machine) }
	partition := func(fragmented *fragmentedWorld, machine *Worker) {
		fragmented.Partition(machine.ID, "*", 70*time.Second, false)
	}
	faults := map[string]fault{
		"shard leader crashes":    crash(func(process *controllerProcess) bool { return process.controller.IsShardLeader() }),
		"other controllers crash": crash(func(process *controllerProcess) bool { return !process.controller.IsShardLeader() }),
		"all controllers crash":   crash(func(*controllerProcess) bool { return true }),
		"state service down":      {inject: func(fragmented *fragmentedWorld) { fragmented.Outage(15 * time.Second) }},
		"shard leader's state service link down": {inject: func(fragmented *fragmentedWorld) {
			fragmented.Partition(fragmented.controllers[fragmented.shardLeader()].name, "state", 15*time.Second, true)
		}},
		"target dies":        machineFault(target, kill),
		"source dies":        machineFault(source, kill),
		"target unreachable": machineFault(target, partition),
		"host unreachable":   machineFault(host, partition),
		"host reclaimed": machineFault(host, func(fragmented *fragmentedWorld, machine *Worker) {
			machine.reclaimAt = fragmented.now.Add(20 * time.Second)
		}),
	}
	seed := uint64(0)
	for _, step := range sortedKeys(steps) {
		for _, name := range sortedKeys(faults) {
			seed++
			controllers := 3 + 2*int(seed%2)
			late := time.Duration(seed%3) * 40 * time.Millisecond
			t.Run(step+"/"+name, func(t *testing.T) {
				t.Parallel()
				fragmented := newFragmentedWorld(t, seed, controllers)
				fragmented.watchJobsWithoutReplicas()
				injected := false
				fragmented.corruptEffect = func(effect message.Effect) message.Effect {
					fragmented.recordMigration(effect)
					if !injected && fragmented.target != "" && steps[step](fragmented, effect) {
						injected = true
						fragmented.schedule(late, func() { faults[name].inject(fragmented) })
					}
					return effect
				}
				fragmented.submitLarge()
				fragmented.Run(5 * time.Minute)
				if !injected {
					t.Errorf("got no step %s, want one", step)
				}
				if fragmented.runningTasks("job-large") != 1 {
					t.Error("got the large job not running, want it running")
				}
				for _, id := range fragmented.smallJobs {
					if fragmented.runningTasks(id) != 2 {
						t.Errorf("%s: got %d running replicas, want 2", id, fragmented.runningTasks(id))
					}
				}
				if fragmented.jobWithoutReplicas != "" && !faults[name].stops {
					t.Errorf("got all replicas of %s down, want one of them running at any time", fragmented.jobWithoutReplicas)
				}
				reportViolations(t, fragmented.Violations)
				if t.Failed() {
					logTail(t, fragmented.logs, len(fragmented.logs))
				}
			})
		}
	}
}

// shardLeader returns the index of a controller that leads a shard.
func (fragmented *fragmentedWorld) shardLeader() int {
	return (&scenario{world: fragmented.World}).shardLeader()
}

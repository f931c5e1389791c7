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

// fragmentedWorld is a world of hosts with eight GPUs each, whose replicas, two of a job, fragment the free
// capacity, and without more hosts to rent.
type fragmentedWorld struct {
	*World
	small []string
	// from, to and host are those of the first migration that was written.
	from, to, host string
	// down is a small job that had no replica on a machine, and when; empty if there was none.
	down string
}

func newFragmentedWorld(t *testing.T, seed uint64, controllers int) *fragmentedWorld {
	t.Helper()
	set := testSettings()
	set.Zones, set.Objectives = []string{"a"}, nil
	set.Capabilities = controller.Capabilities{Models: true, MaxMigratingFraction: 0.5, MigrationCooldown: 5 * time.Minute}
	w := NewWorld(seed, controllers, set, testCancelWithin, []model.MachineType{
		{Name: "host", Capacity: model.Resources{CPU: 64, GPU: 8, Memory: 512}, DiskGB: 400, ImageFetchRate: 1, CostPerHour: 12, SpotCostPerHour: 4, ProvisioningTime: 15 * time.Second, Zones: []string{"a"}},
	}, map[string]int{"host/a/false": 4})
	p := &fragmentedWorld{World: w}
	for i := range 8 {
		id := fmt.Sprintf("job-s%05d", i)
		w.Submit(model.JobSpec{ID: id, Workload: "small", Team: "ops", LongRunning: true, Urgency: model.Normal, Tasks: 2,
			Need: model.Resources{CPU: 8, GPU: 2, Memory: 64}, Image: fmt.Sprintf("small-%d", i%2), ImageGB: 5}, 0, false)
		p.small = append(p.small, id)
		w.Run(time.Second)
	}
	w.Run(90 * time.Second)
	// Cancel four jobs such that every host keeps a replica and none is full.
	for mask := range 1 << 8 {
		var keep, cancel []string
		for i, id := range p.small {
			if mask>>i&1 == 1 {
				cancel = append(cancel, id)
			} else {
				keep = append(keep, id)
			}
		}
		if len(cancel) != 4 || !p.isFragmented(keep) {
			continue
		}
		p.small = keep
		for _, id := range cancel {
			w.Cancel(id)
		}
		w.Run(20 * time.Second)
		for _, id := range keep {
			if w.runningTasks(id) != 2 {
				t.Fatalf("%s: got %d running replicas at first, want 2", id, w.runningTasks(id))
			}
		}
		return p
	}
	t.Fatal("got no four jobs whose end fragments the capacity")
	return nil
}

// isFragmented reports whether the jobs to keep leave every host neither empty nor full.
func (p *fragmentedWorld) isFragmented(keep []string) bool {
	hosts := 0
	for _, m := range p.machines {
		k := 0
		for _, x := range m.tasks {
			for _, id := range keep {
				if x.job.spec.ID == id {
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

// submitLarge submits a job with a replica that needs a whole host.
func (p *fragmentedWorld) submitLarge() {
	p.Submit(model.JobSpec{ID: "job-large", Workload: "large", Team: "ops", LongRunning: true, Urgency: model.Normal, Tasks: 1,
		Need: model.Resources{CPU: 64, GPU: 8, Memory: 512}, Image: "large", ImageGB: 20}, 0, false)
}

// watchDown records from now on the first job without a replica on a machine.
func (p *fragmentedWorld) watchDown() {
	for _, id := range p.small {
		if p.runningTasks(id) == 0 && p.down == "" {
			p.down = fmt.Sprintf("%s at %v", id, p.now.Sub(p.startedAt))
		}
	}
	p.schedule(tickInterval, p.watchDown)
}

// noteMigration records the first migration that an effect writes, and reports whether it writes one.
func (p *fragmentedWorld) noteMigration(e message.Effect) bool {
	op, ok := e.(message.StoreRequest)
	if !ok || op.Kind != message.OpTxn || len(op.Writes) == 0 || !strings.HasPrefix(op.Writes[0].Key, "move/") {
		return false
	}
	var r struct {
		Plans []struct {
			Host  string `msgpack:"h"`
			Steps []struct {
				From string `msgpack:"f"`
				To   string `msgpack:"o"`
			} `msgpack:"s"`
		} `msgpack:"p"`
	}
	if msgpack.Unmarshal(op.Writes[0].Value, &r) != nil || len(r.Plans) == 0 {
		return false
	}
	p.from, p.to, p.host = r.Plans[0].Steps[0].From, r.Plans[0].Steps[0].To, r.Plans[0].Host
	return true
}

// hasCommand reports whether an effect has a command of the kind for a job with the prefix.
func hasCommand(e message.Effect, kind model.TaskCommandKind, jobPrefix string) bool {
	var all []model.TaskCommand
	switch e := e.(type) {
	case message.WorkerRequest:
		all = e.Commands
	case message.HeartbeatReply:
		all = e.Commands
	}
	for _, o := range all {
		if o.Kind == kind && strings.HasPrefix(o.Job, jobPrefix) {
			return true
		}
	}
	return false
}

// TestMigrationsFreeCapacity checks that a replica of a whole host starts though no host is free, that the
// others run again, and that no job ever had all replicas down.
func TestMigrationsFreeCapacity(t *testing.T) {
	p := newFragmentedWorld(t, 1, 3)
	p.watchDown()
	p.submitLarge()
	p.Run(80 * time.Second)
	if p.runningTasks("job-large") != 1 {
		t.Error("got the large job not running")
	}
	for _, id := range p.small {
		if p.runningTasks(id) != 2 {
			t.Errorf("%s: got %d running replicas, want 2", id, p.runningTasks(id))
		}
	}
	if p.down != "" || len(p.Violations) > 0 {
		t.Errorf("got job with all replicas down %q, violations %v, want none", p.down, p.Violations)
	}
	// Finished migrations leave the record.
	p.Run(6 * time.Minute)
	if row := p.state.records["move/ops"]; row != nil {
		t.Errorf("got a migration record of %d bytes, want it removed", len(row.value))
	}
	if t.Failed() {
		logTail(t, p.logs, len(p.logs))
	}
}

// TestMigrationsSurviveFaults checks that after any fault at any step of a migration everything runs that
// there is capacity for, and no invariant is violated.
func TestMigrationsSurviveFaults(t *testing.T) {
	steps := map[string]func(*fragmentedWorld, message.Effect) bool{
		"intent": func(p *fragmentedWorld, e message.Effect) bool { return p.noteMigration(e) },
		"stop":   func(p *fragmentedWorld, e message.Effect) bool { return hasCommand(e, model.StopTask, "job-s") },
		"start":  func(p *fragmentedWorld, e message.Effect) bool { return hasCommand(e, model.StartTask, "job-s") },
		"receiver": func(p *fragmentedWorld, e message.Effect) bool {
			return hasCommand(e, model.StartTask, "job-large")
		},
	}
	type fault struct {
		do func(*fragmentedWorld)
		// stops means that the fault itself may stop replicas.
		stops bool
	}
	crash := func(is func(*controllerProcess) bool) fault {
		return fault{do: func(p *fragmentedWorld) {
			for i, x := range p.controllers {
				if x.alive && is(x) {
					p.CrashController(i, 5*time.Second)
				}
			}
		}}
	}
	on := func(name func(*fragmentedWorld) string, do func(*fragmentedWorld, *Worker)) fault {
		return fault{func(p *fragmentedWorld) { do(p, p.machines[name(p)]) }, true}
	}
	target := func(p *fragmentedWorld) string { return p.to }
	source := func(p *fragmentedWorld) string { return p.from }
	host := func(p *fragmentedWorld) string { return p.host }
	kill := func(p *fragmentedWorld, m *Worker) { p.killMachine(m) }
	partition := func(p *fragmentedWorld, m *Worker) { p.Partition(m.ID, "*", 70*time.Second, false) }
	faults := map[string]fault{
		"shard leader": crash(func(x *controllerProcess) bool { return x.controller.IsShardLeader() }),
		"others":       crash(func(x *controllerProcess) bool { return !x.controller.IsShardLeader() }),
		"all":          crash(func(*controllerProcess) bool { return true }),
		"state":        {do: func(p *fragmentedWorld) { p.Outage(15 * time.Second) }},
		"shard leader's state": {do: func(p *fragmentedWorld) {
			p.Partition(p.controllers[p.shardLeader()].name, "state", 15*time.Second, true)
		}},
		"target dies":        on(target, kill),
		"source dies":        on(source, kill),
		"target unreachable": on(target, partition),
		"host unreachable":   on(host, partition),
		"host reclaimed":     on(host, func(p *fragmentedWorld, m *Worker) { m.reclaimAt = p.now.Add(20 * time.Second) }),
	}
	seed := uint64(0)
	for _, step := range sortedKeys(steps) {
		for _, name := range sortedKeys(faults) {
			seed++
			controllers := 3 + 2*int(seed%2)
			late := time.Duration(seed%3) * 40 * time.Millisecond
			t.Run(step+"/"+name, func(t *testing.T) {
				t.Parallel()
				p := newFragmentedWorld(t, seed, controllers)
				p.watchDown()
				hit := false
				p.corruptEffect = func(e message.Effect) message.Effect {
					p.noteMigration(e)
					if !hit && p.to != "" && steps[step](p, e) {
						hit = true
						p.schedule(late, func() { faults[name].do(p) })
					}
					return e
				}
				p.submitLarge()
				p.Run(5 * time.Minute)
				if !hit {
					t.Errorf("got no step %s, want it reached", step)
				}
				if p.runningTasks("job-large") != 1 {
					t.Error("got the large job not running")
				}
				for _, id := range p.small {
					if p.runningTasks(id) != 2 {
						t.Errorf("%s: got %d running replicas, want 2", id, p.runningTasks(id))
					}
				}
				if p.down != "" && !faults[name].stops {
					t.Errorf("got all replicas down of %s, want none", p.down)
				}
				reportViolations(t, p.Violations)
				if t.Failed() {
					logTail(t, p.logs, len(p.logs))
				}
			})
		}
	}
}

// shardLeader returns the index of a controller that leads a shard.
func (p *fragmentedWorld) shardLeader() int {
	return (&scenario{world: p.World}).shardLeader()
}

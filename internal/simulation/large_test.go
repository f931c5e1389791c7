package simulation

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/micahill/micahill/internal/model"
	"github.com/micahill/micahill/internal/record"
)

// newLargeWorld returns a world whose cloud offers up to 1659 machines times scale. Its objectives are for
// the workloads of submitAtScale: rush, with a bounded wait and a deadline, and wide, with large tasks and a
// bounded time to finish.
func newLargeWorld(seed uint64, scale float64) *World {
	settings := testSettings()
	settings.Zones = []string{"a"}
	settings.HeartbeatInterval, settings.WorkerLease = 8*time.Second, 34*time.Second
	settings.Teams = []model.Team{{Name: "ops"}}
	settings.CloudRequestsPerSecond = 10
	settings.Objectives = []model.Objective{
		{Kind: "wait", Workload: "rush", Within: 3 * time.Second, Fraction: 0.88},
		{Kind: "deadline", Workload: "rush", Fraction: 0.98, DeadlineFactor: 1},
		{Kind: "finished", Workload: "wide", Within: 120 * time.Second, Fraction: 0.85},
	}
	scaled := func(n float64) int { return max(1, int(n*scale)) }
	return NewWorld(seed, 3, settings, 64*time.Second, []model.MachineType{
		{Name: "box", Capacity: model.Resources{CPU: 4, Memory: 32}, DiskGB: 50, ImageFetchRate: 0.3, CostPerHour: 0.2, SpotCostPerHour: 0.07, ProvisioningTime: 50 * time.Second, Zones: []string{"a"}},
		{Name: "rack", Capacity: model.Resources{CPU: 32, Memory: 128}, DiskGB: 70, ImageFetchRate: 0.4, CostPerHour: 1.45, SpotCostPerHour: 0.53, ProvisioningTime: 20 * time.Second, Zones: []string{"a"}},
	}, map[string]int{"box/a/true": scaled(800), "box/a/false": scaled(700), "rack/a/true": scaled(100), "rack/a/false": scaled(59)})
}

// submitAtScale submits jobs at random times within the given duration: wide with large tasks, rush with
// short waits, and reprint of medium size. The number of tasks of each job is multiplied by scale.
func (world *World) submitAtScale(rng *rand.Rand, scale float64, duration time.Duration) {
	kinds := []struct {
		name   string
		rate   float64
		tasks  int
		cpu    float64
		mem    float64
		run    time.Duration
		gb     float64
		images int
		due    float64
		urgent model.Urgency
	}{
		{"wide", 0.073, 45, 8, 22, 40 * time.Second, 3.5, 18, 0, model.Normal},
		{"rush", 0.757, 11, 4, 14, 25 * time.Second, 0.9, 12, 2.5, model.Urgent},
		{"reprint", 0.767, 30, 4, 15, 25 * time.Second, 1, 14, 2, model.Normal},
	}
	for _, kind := range kinds {
		count := int(kind.rate * duration.Seconds())
		for range count {
			world.lastID++
			spec := model.JobSpec{
				ID: fmt.Sprintf("job-%06d", world.lastID), Workload: kind.name, Team: "ops", Urgency: kind.urgent,
				Tasks: max(1, int(float64(kind.tasks)*scale*(0.3+1.4*rng.Float64()))), Need: model.Resources{CPU: kind.cpu, Memory: kind.mem},
				Image: fmt.Sprintf("%s-%d", kind.name, min(rng.IntN(kind.images), rng.IntN(kind.images))), ImageGB: kind.gb, AllowSpot: true, ExpectedRunTime: kind.run,
				Deadline: time.Duration(kind.due*float64(kind.run)) + record.DurationOfSeconds(10*min(1, kind.due)),
			}
			runTime := time.Duration(float64(kind.run) * (0.7 + 0.6*rng.Float64()))
			world.schedule(time.Duration(rng.Float64()*float64(duration)), func() { world.Submit(spec, runTime, false) })
		}
	}
}

// BenchmarkSteady measures the processor time and the writes of the controllers for each simulated second of
// a steady load, at several cluster sizes. It shows how both grow with the size of the cluster.
func BenchmarkSteady(b *testing.B) {
	for _, scale := range []float64{0.1, 0.3, 1} {
		b.Run(fmt.Sprint(scale), func(b *testing.B) {
			world := newLargeWorld(1, scale)
			rng := rand.New(rand.NewPCG(1, 2))
			world.submitAtScale(rng, scale, 100*time.Second)
			world.Run(100 * time.Second)
			world.stepTime = 0
			start, writesBefore := world.now, world.state.writeCount
			for b.Loop() {
				world.submitAtScale(rng, scale, 10*time.Second)
				world.Run(10 * time.Second)
			}
			seconds := world.now.Sub(start).Seconds()
			b.ReportMetric(float64(world.stepTime.Microseconds())/seconds, "core-µs/s")
			b.ReportMetric(float64(world.state.writeCount-writesBefore)/seconds, "changes/s")
			up := 0
			for _, machine := range world.machines {
				if machine.up(world.now) {
					up++
				}
			}
			b.ReportMetric(float64(up), "machines")
		})
	}
}

// TestLargeCluster plays faults in a large cluster: many machines die or hang at once, all controllers crash,
// and the shard leader loses the state service. It guards against violations, against more writes than the
// limit of the state service, and against jobs that are not done soon after the faults.
func TestLargeCluster(t *testing.T) {
	const scale = 0.25
	world := newLargeWorld(3, scale)
	rng := rand.New(rand.NewPCG(3, 4))
	world.submitAtScale(rng, scale, 200*time.Second)
	forSomeMachines := func(n int, fn func(*Worker)) {
		for _, id := range sortedKeys(world.machines) {
			if machine := world.machines[id]; machine.up(world.now) && n > 0 && rng.IntN(4) == 0 {
				n--
				fn(machine)
			}
		}
	}
	world.schedule(80*time.Second, func() { forSomeMachines(20, world.killMachine) })
	world.schedule(100*time.Second, func() {
		for i := range world.controllers {
			world.CrashController(i, 5*time.Second)
		}
	})
	world.schedule(130*time.Second, func() {
		forSomeMachines(20, func(machine *Worker) { machine.hungUntil = world.now.Add(25 * time.Second) })
	})
	world.schedule(150*time.Second, func() {
		for _, process := range world.controllers {
			if process.alive && process.controller.IsShardLeader() {
				world.Partition(process.name, "state", 30*time.Second, true)
			}
		}
	})
	maxWrites := 0
	for range 20 {
		before := world.state.writeCount
		world.Run(10 * time.Second)
		maxWrites = max(maxWrites, world.state.writeCount-before)
	}
	world.Run(2 * time.Minute)
	reportViolations(t, world.Violations)
	checkFinalAnswers(t, world, false)
	// Here the simulated state service refuses no request and no client limits the rate, so this
	// checks the rate at which the controllers themselves request writes.
	if limit := int(10 * world.settings.StoreWritesPerSecond); maxWrites > limit {
		t.Errorf("got up to %d writes in ten seconds, want at most %d", maxWrites, limit)
	}
	if world.Starts < 1000 {
		t.Errorf("got %d task starts, want at least 1000", world.Starts)
	}
}

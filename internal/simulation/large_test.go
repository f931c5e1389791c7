package simulation

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/micahill/micahill/internal/model"
	"github.com/micahill/micahill/internal/record"
)

// newLargeWorld returns a world with some hundred machines or more, and three workloads: rush with a
// bounded wait, reprint of middle size, and wide with large tasks.
func newLargeWorld(seed uint64, scale float64) *World {
	set := testSettings()
	set.Zones = []string{"a"}
	set.HeartbeatInterval, set.WorkerLease = 8*time.Second, 34*time.Second
	set.Teams = []model.Team{{Name: "ops"}}
	set.CloudRequestsPerSecond = 10
	set.Objectives = []model.Objective{
		{Kind: "wait", Workload: "rush", Within: 3 * time.Second, Fraction: 0.88},
		{Kind: "deadline", Workload: "rush", Fraction: 0.98, DeadlineFactor: 1},
		{Kind: "finished", Workload: "wide", Within: 120 * time.Second, Fraction: 0.85},
	}
	scaled := func(n float64) int { return max(1, int(n*scale)) }
	return NewWorld(seed, 3, set, 64*time.Second, []model.MachineType{
		{Name: "box", Capacity: model.Resources{CPU: 4, Memory: 32}, DiskGB: 50, ImageFetchRate: 0.3, CostPerHour: 0.2, SpotCostPerHour: 0.07, ProvisioningTime: 50 * time.Second, Zones: []string{"a"}},
		{Name: "rack", Capacity: model.Resources{CPU: 32, Memory: 128}, DiskGB: 70, ImageFetchRate: 0.4, CostPerHour: 1.45, SpotCostPerHour: 0.53, ProvisioningTime: 20 * time.Second, Zones: []string{"a"}},
	}, map[string]int{"box/a/true": scaled(800), "box/a/false": scaled(700), "rack/a/true": scaled(100), "rack/a/false": scaled(59)})
}

// submitAtScale submits the jobs of a time d, at a fraction of the full size.
func (w *World) submitAtScale(rng *rand.Rand, scale float64, d time.Duration) {
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
	for _, k := range kinds {
		n := int(k.rate * d.Seconds())
		for range n {
			w.lastID++
			spec := model.JobSpec{
				ID: fmt.Sprintf("job-%06d", w.lastID), Workload: k.name, Team: "ops", Urgency: k.urgent,
				Tasks: max(1, int(float64(k.tasks)*scale*(0.3+1.4*rng.Float64()))), Need: model.Resources{CPU: k.cpu, Memory: k.mem},
				Image: fmt.Sprintf("%s-%d", k.name, min(rng.IntN(k.images), rng.IntN(k.images))), ImageGB: k.gb, AllowSpot: true, ExpectedRunTime: k.run,
				Deadline: time.Duration(k.due*float64(k.run)) + record.DurationOfSeconds(10*min(1, k.due)),
			}
			run := time.Duration(float64(k.run) * (0.7 + 0.6*rng.Float64()))
			w.schedule(time.Duration(rng.Float64()*float64(d)), func() { w.Submit(spec, run, false) })
		}
	}
}

// BenchmarkSteady measures what the controllers take for a second of a steady load, by the size of the
// cluster. What matters is how it grows.
func BenchmarkSteady(b *testing.B) {
	for _, scale := range []float64{0.1, 0.3, 1} {
		b.Run(fmt.Sprint(scale), func(b *testing.B) {
			w := newLargeWorld(1, scale)
			rng := rand.New(rand.NewPCG(1, 2))
			w.submitAtScale(rng, scale, 100*time.Second)
			w.Run(100 * time.Second)
			w.stepTime = 0
			from, rev := w.now, w.state.writeCount
			for b.Loop() {
				w.submitAtScale(rng, scale, 10*time.Second)
				w.Run(10 * time.Second)
			}
			s := w.now.Sub(from).Seconds()
			b.ReportMetric(float64(w.stepTime.Microseconds())/s, "core-µs/s")
			b.ReportMetric(float64(w.state.writeCount-rev)/s, "changes/s")
			up := 0
			for _, m := range w.machines {
				if m.up(w.now) {
					up++
				}
			}
			b.ReportMetric(float64(up), "machines")
		})
	}
}

// TestLargePool plays faults in a large cluster: many machines die and hang at once, all controllers
// crash, the shard leader loses the state service. No invariant is violated, writes stay within the state
// service's limit, and the jobs are done soon after.
func TestLargePool(t *testing.T) {
	const scale = 0.25
	w := newLargeWorld(3, scale)
	rng := rand.New(rand.NewPCG(3, 4))
	w.submitAtScale(rng, scale, 200*time.Second)
	some := func(n int, fn func(*Worker)) {
		for _, id := range sortedKeys(w.machines) {
			if m := w.machines[id]; m.up(w.now) && n > 0 && rng.IntN(4) == 0 {
				n--
				fn(m)
			}
		}
	}
	w.schedule(80*time.Second, func() { some(20, w.killMachine) })
	w.schedule(100*time.Second, func() {
		for i := range w.controllers {
			w.CrashController(i, 5*time.Second)
		}
	})
	w.schedule(130*time.Second, func() { some(20, func(m *Worker) { m.hungUntil = w.now.Add(25 * time.Second) }) })
	w.schedule(150*time.Second, func() {
		for _, p := range w.controllers {
			if p.alive && p.controller.IsShardLeader() {
				w.Partition(p.name, "state", 30*time.Second, true)
			}
		}
	})
	maxWrites := 0
	for range 20 {
		before := w.state.writeCount
		w.Run(10 * time.Second)
		maxWrites = max(maxWrites, w.state.writeCount-before)
	}
	w.Run(2 * time.Minute)
	reportViolations(t, w.Violations)
	checkFinalAnswers(t, w, false)
	// The simulated state service refuses nothing here, and there are no clients that limit the
	// rate, so this checks what the controllers themselves request.
	if limit := int(10 * w.settings.StoreWritesPerSecond); maxWrites > limit {
		t.Errorf("got %d writes in ten seconds, want at most %d", maxWrites, limit)
	}
	if w.Starts < 1000 {
		t.Errorf("got %d starts, want at least 1000", w.Starts)
	}
}

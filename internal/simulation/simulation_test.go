package simulation

import (
	"fmt"
	"math"
	"math/rand/v2"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/micahill/micahill/internal/controller"
	"github.com/micahill/micahill/internal/message"
	"github.com/micahill/micahill/internal/model"
)

// randomDay plays a world with random jobs and random faults.
func randomDay(w *World, seed uint64) {
	rng := rand.New(rand.NewPCG(seed, 99))
	// Some days have partial faults too: one-way partitions, and crashes with immediate restarts.
	partialRNG := rand.New(rand.NewPCG(seed, 77))
	id := 0
	for step := range 24 {
		for range rng.IntN(4) {
			id++
			run := time.Duration(5+rng.IntN(30)) * time.Second
			cpu := []float64{1, 2, 4, 8}[rng.IntN(4)]
			spec := model.JobSpec{
				ID: fmt.Sprintf("job-%06d", id), Workload: []string{"batch", "rush"}[rng.IntN(2)], Team: []string{"ops", "lab"}[rng.IntN(2)],
				Urgency: model.Urgency(rng.IntN(4)), Tasks: 1 + rng.IntN(6), Need: model.Resources{CPU: cpu, Memory: cpu},
				Image: fmt.Sprintf("img-%d", rng.IntN(3)), ImageGB: 0.5 + rng.Float64()*3, AllowSpot: rng.IntN(3) > 0,
				ExpectedRunTime: run, SameZone: rng.IntN(5) == 0, SpreadZones: cpu <= 4 && rng.IntN(6) == 0, Gang: cpu <= 2 && rng.IntN(8) == 0,
			}
			if rng.IntN(4) == 0 {
				spec.CheckpointInterval, spec.CheckpointCost = 5*time.Second, 2*time.Second
			}
			w.Submit(spec, run, false)
			if rng.IntN(8) == 0 {
				name := spec.ID
				w.schedule(time.Duration(rng.IntN(60))*time.Second, func() { w.Cancel(name) })
			}
		}
		if step > 3 && step < 18 {
			w.randomFault(rng)
			if seed%3 == 2 && partialRNG.IntN(2) == 0 {
				w.startPartialFault(partialRNG)
			}
		}
		w.QueryUnknownJob(fmt.Sprintf("job-9%05d", rng.IntN(1000)))
		w.Run(15 * time.Second)
	}
	w.Run(8 * time.Minute)
}

// randomCapabilities enables each capability on a random half of the days.
func randomCapabilities(seed uint64) controller.Capabilities {
	rng := rand.New(rand.NewPCG(seed, 64))
	p := DayParams{}
	for _, part := range []string{"ranking", "promises", "models"} {
		if rng.IntN(2) == 0 {
			p.Enabled = append(p.Enabled, part)
		}
	}
	out, _ := p.capabilities()
	return out
}

// TestSimulation plays random days with random faults. The invariants are checked after every start and every
// tick, and all jobs have to be done in the end.
func TestSimulation(t *testing.T) {
	for seed := range dayCount(t, 32, 8) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			types, capacity := testTypes()
			set := testSettings()
			set.Capabilities = randomCapabilities(seed)
			w := NewWorld(seed, 3, set, testCancelWithin, types, capacity)
			switch seed % 4 {
			case 1:
				w.duplicateRate = 0.03
			case 2:
				w.lossRate = 0.01
			case 3:
				w.lossRate, w.duplicateRate = 0.02, 0.02
			}
			// To trace jobs or machines on one day, such as job-000013|vm-000003:
			// MICAHILL_TRACE=... go test ./internal/simulation -run 'TestSimulation$/^7$'
			w.trace = os.Getenv("MICAHILL_TRACE")
			randomDay(w, seed)
			reportViolations(t, w.Violations)
			checkFinalAnswers(t, w, true)
			if w.Starts == 0 {
				t.Error("got no starts, want some")
			}
			if t.Failed() || w.trace != "" {
				last := 60
				if w.trace != "" {
					last = len(w.logs)
				}
				t.Log(strings.Join(w.logs[max(0, len(w.logs)-last):], "\n"))
			}
		})
	}
}

// TestSimulationDetectsCorruption checks that the invariant checkers detect a controller that is corrupted
// on purpose.
func TestSimulationDetectsCorruption(t *testing.T) {
	for _, c := range []struct {
		rule    string
		corrupt func(*World)
	}{
		{"ran_twice", func(w *World) {
			// Controllers assume far too short a worker lease.
			w.leaseOverride = 500 * time.Millisecond
			for i := range w.controllers {
				w.CrashController(i, 0)
			}
		}},
		{"ran_cancelled", func(w *World) {
			// Stop commands are lost, while heartbeat replies still renew leases. A correct shard
			// leader would let the lease expire.
			w.corruptEffect = func(e message.Effect) message.Effect {
				if x, ok := e.(message.HeartbeatReply); ok && x.Status == 503 {
					x.Status, x.Epoch = 200, math.MaxUint64
					e = x
				}
				return dropStops(e)
			}
		}},
		{"not_done", func(w *World) {
			// Every job is answered as done.
			w.corruptEffect = func(e message.Effect) message.Effect {
				if x, ok := e.(message.UserReply); ok && x.Status == 200 {
					x.State = "done"
					return x
				}
				return e
			}
		}},
	} {
		t.Run(c.rule, func(t *testing.T) {
			w := newTestWorld(5)
			c.corrupt(w)
			for i := range 12 {
				w.Submit(model.JobSpec{ID: fmt.Sprintf("job-%06d", i), Workload: "batch", Team: "ops", Urgency: model.Normal, Tasks: 2,
					Need: model.Resources{CPU: 2, Memory: 2}, Image: "i", ImageGB: 1, ExpectedRunTime: 90 * time.Second}, 90*time.Second, false)
			}
			w.Run(60 * time.Second)
			for i := range 4 {
				w.Cancel(fmt.Sprintf("job-%06d", i))
			}
			for _, id := range sortedKeys(w.machines) {
				w.machines[id].hungUntil = w.now.Add(8 * time.Second)
			}
			w.Run(3 * time.Minute)
			for _, b := range w.Violations {
				if strings.HasPrefix(b, c.rule) {
					return
				}
			}
			t.Errorf("got violations %v after %d starts, want %s", w.Violations, w.Starts, c.rule)
			logTail(t, w.logs, len(w.logs))
		})
	}
}

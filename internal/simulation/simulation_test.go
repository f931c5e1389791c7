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
	// On some days links are half there, too, and what ends is back at once.
	half := rand.New(rand.NewPCG(seed, 77))
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
			if seed%3 == 2 && half.IntN(2) == 0 {
				w.startPartialFault(half)
			}
		}
		w.QueryUnknownJob(fmt.Sprintf("job-9%05d", rng.IntN(1000)))
		w.Run(15 * time.Second)
	}
	w.Run(8 * time.Minute)
}

// randomCapabilities switches on each part of the product on half of the days, by chance.
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

// TestSimulation plays random days with random faults. After every start and
// every tick the rules are checked; in the end all work must be done.
func TestSimulation(t *testing.T) {
	for seed := range dayCount(t, 32, 8) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			types, room := testTypes()
			set := testSettings()
			set.Capabilities = randomCapabilities(seed)
			w := NewWorld(seed, 3, set, testCancelWithin, types, room)
			switch seed % 4 {
			case 1:
				w.duplicateRate = 0.03
			case 2:
				w.lossRate = 0.01
			case 3:
				w.lossRate, w.duplicateRate = 0.02, 0.02
			}
			// One day with the lines on some jobs or machines, such as job-000013|vm-000003:
			// MICAHILL_TRACE=... go test ./internal/simulation -run 'TestSimulation$/^7$'
			w.trace = os.Getenv("MICAHILL_TRACE")
			randomDay(w, seed)
			reportViolations(t, w.Violations)
			checkFinalAnswers(t, w, true)
			if w.Starts == 0 {
				t.Error("nothing ran")
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

// TestSimulationNoticesBrokenInvariants breaks an invariant on purpose: the
// checks have to see it, or they are worth nothing.
func TestSimulationNoticesBrokenInvariants(t *testing.T) {
	for _, c := range []struct {
		rule   string
		break_ func(*World)
	}{
		{"ran_twice", func(w *World) {
			// The cores believe in far too short a lease.
			w.leaseOverride = 500 * time.Millisecond
			for i := range w.controllers {
				w.CrashController(i, 0)
			}
		}},
		{"ran_cancelled", func(w *World) {
			// Stops get lost, and answers prolong leases all the same: an owner that has
			// no proof would let the lease run out.
			w.corruptEffect = func(e message.Effect) message.Effect {
				if x, ok := e.(message.HeartbeatReply); ok && x.Status == 503 {
					x.Status, x.Epoch = 200, math.MaxUint64
					e = x
				}
				return dropStops(e)
			}
		}},
		{"not_done", func(w *World) {
			// Every job is called done.
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
			c.break_(w)
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
			t.Errorf("no %s noticed: %v, %d starts", c.rule, w.Violations, w.Starts)
			logTail(t, w.logs, len(w.logs))
		})
	}
}

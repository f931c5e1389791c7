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

// runRandomDay runs a world for 14 minutes with random jobs and random faults derived from the seed.
func runRandomDay(world *World, seed uint64) {
	rng := rand.New(rand.NewPCG(seed, 99))
	// One day in three also has partial faults: one-way partitions, and crashes with immediate restarts.
	partialRNG := rand.New(rand.NewPCG(seed, 77))
	jobNumber := 0
	for step := range 24 {
		for range rng.IntN(4) {
			jobNumber++
			runTime := time.Duration(5+rng.IntN(30)) * time.Second
			cpu := []float64{1, 2, 4, 8}[rng.IntN(4)]
			spec := model.JobSpec{
				ID: fmt.Sprintf("job-%06d", jobNumber), Workload: []string{"batch", "rush"}[rng.IntN(2)], Team: []string{"ops", "lab"}[rng.IntN(2)],
				Urgency: model.Urgency(rng.IntN(4)), Tasks: 1 + rng.IntN(6), Need: model.Resources{CPU: cpu, Memory: cpu},
				Image: fmt.Sprintf("img-%d", rng.IntN(3)), ImageGB: 0.5 + rng.Float64()*3, AllowSpot: rng.IntN(3) > 0,
				ExpectedRunTime: runTime, SameZone: rng.IntN(5) == 0, SpreadZones: cpu <= 4 && rng.IntN(6) == 0, Gang: cpu <= 2 && rng.IntN(8) == 0,
			}
			if rng.IntN(4) == 0 {
				spec.CheckpointInterval, spec.CheckpointCost = 5*time.Second, 2*time.Second
			}
			world.Submit(spec, runTime, false)
			if rng.IntN(8) == 0 {
				id := spec.ID
				world.schedule(time.Duration(rng.IntN(60))*time.Second, func() { world.Cancel(id) })
			}
		}
		if step > 3 && step < 18 {
			world.randomFault(rng)
			if seed%3 == 2 && partialRNG.IntN(2) == 0 {
				world.startPartialFault(partialRNG)
			}
		}
		world.QueryUnknownJob(fmt.Sprintf("job-9%05d", rng.IntN(1000)))
		world.Run(15 * time.Second)
	}
	world.Run(8 * time.Minute)
}

// randomCapabilities enables ranking, promises and models each with a probability of one half.
func randomCapabilities(seed uint64) controller.Capabilities {
	rng := rand.New(rand.NewPCG(seed, 64))
	params := DayParams{}
	for _, capability := range []string{"ranking", "promises", "models"} {
		if rng.IntN(2) == 0 {
			params.Enabled = append(params.Enabled, capability)
		}
	}
	capabilities, _ := params.capabilities()
	return capabilities
}

// TestSimulation plays random days with random faults. The world checks the invariants after every start and
// every tick, and the test checks the final answers about all jobs.
func TestSimulation(t *testing.T) {
	for seed := range dayCount(t, 32, 8) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			world := newWorldWithRandomFeatures(seed)
			switch seed % 4 {
			case 1:
				world.duplicateRate = 0.03
			case 2:
				world.lossRate = 0.01
			case 3:
				world.lossRate, world.duplicateRate = 0.02, 0.02
			}
			// To trace jobs or machines on one day, such as job-000013|vm-000003:
			// MICAHILL_TRACE=... go test ./internal/simulation -run 'TestSimulation$/^7$'
			world.trace = os.Getenv("MICAHILL_TRACE")
			runRandomDay(world, seed)
			reportViolations(t, world.Violations)
			checkFinalAnswers(t, world, true)
			if world.Starts == 0 {
				t.Error("got no task starts, want at least one")
			}
			if t.Failed() || world.trace != "" {
				lines := 60
				if world.trace != "" {
					lines = len(world.logs)
				}
				t.Log(strings.Join(world.logs[max(0, len(world.logs)-lines):], "\n"))
			}
		})
	}
}

// TestSimulationDetectsCorruption corrupts what controllers do or send, and checks that the invariant
// checkers report the rule that this violates.
func TestSimulationDetectsCorruption(t *testing.T) {
	for _, test := range []struct {
		rule    string
		corrupt func(*World)
	}{
		{"ran_twice", func(world *World) {
			// Controllers assume a worker lease that is far shorter than the real one.
			world.leaseOverride = 500 * time.Millisecond
			for i := range world.controllers {
				world.CrashController(i, 0)
			}
		}},
		{"ran_cancelled", func(world *World) {
			// Stop commands are lost while heartbeat replies still renew worker leases. A correct shard
			// leader would let these leases expire.
			world.corruptEffect = func(effect message.Effect) message.Effect {
				if reply, ok := effect.(message.HeartbeatReply); ok && reply.Status == 503 {
					reply.Status, reply.Epoch = 200, math.MaxUint64
					effect = reply
				}
				return dropStops(effect)
			}
		}},
		{"not_done", func(world *World) {
			// Controllers answer for every job that it is done.
			world.corruptEffect = func(effect message.Effect) message.Effect {
				if reply, ok := effect.(message.UserReply); ok && reply.Status == 200 {
					reply.State = "done"
					return reply
				}
				return effect
			}
		}},
	} {
		t.Run(test.rule, func(t *testing.T) {
			world := newTestWorld(5)
			test.corrupt(world)
			for i := range 12 {
				world.Submit(model.JobSpec{ID: fmt.Sprintf("job-%06d", i), Workload: "batch", Team: "ops", Urgency: model.Normal, Tasks: 2,
					Need: model.Resources{CPU: 2, Memory: 2}, Image: "i", ImageGB: 1, ExpectedRunTime: 90 * time.Second}, 90*time.Second, false)
			}
			world.Run(60 * time.Second)
			for i := range 4 {
				world.Cancel(fmt.Sprintf("job-%06d", i))
			}
			for _, id := range sortedKeys(world.machines) {
				world.machines[id].hungUntil = world.now.Add(8 * time.Second)
			}
			world.Run(3 * time.Minute)
			for _, violation := range world.Violations {
				if strings.HasPrefix(violation, test.rule) {
					return
				}
			}
			t.Errorf("got violations %v after %d starts, want %s", world.Violations, world.Starts, test.rule)
			logTail(t, world.logs, len(world.logs))
		})
	}
}

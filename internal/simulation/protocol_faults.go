package simulation

import (
	"math"
	"math/rand/v2"
	"time"

	"github.com/vmihailenco/msgpack/v5"
)

// This file has the faults that the addition to the protocol names: unreachable machines, late
// copies of heartbeats, controllers that reach only their workers, and processes and machines that
// restart within a fraction of a second.

// protocolFaultKinds are the kinds of the faults of this file. Faults are drawn uniformly from the
// list, so a repeated kind is drawn more often.
var protocolFaultKinds = []string{"deaf_machine", "deaf_machine", "copies", "copies", "cut_alone", "cut_alone", "election", "election", "back_machine"}

// generateProtocolFaults adds faults of this file to a day. It has its own random stream.
func generateProtocolFaults(day *Day) {
	rng := rand.New(rand.NewPCG(day.Seed, 2236))
	for range 1 + rng.IntN(4) {
		fault := Fault{
			Kind: protocolFaultKinds[rng.IntN(len(protocolFaultKinds))], At: time.Duration(10+rng.IntN(day.Minutes*60-20)) * time.Second,
			Controller: rng.IntN(day.Controllers), HoldMessages: rng.IntN(2) == 0, RestartAfter: []time.Duration{50, 200, 500}[rng.IntN(3)] * time.Millisecond,
		}
		switch fault.Kind {
		case "deaf_machine":
			// One machine, a tenth of them, or a whole zone.
			fault.Duration, fault.Fraction, fault.RestartAfter = logUniform(rng, 5*time.Second, 10*time.Minute), []float64{1e-9, 0.1, 1}[rng.IntN(3)], 0
			if fault.Fraction == 1 {
				fault.Zone = day.Settings.Zones[len(day.Settings.Zones)-1]
			}
		case "copies":
			fault.Duration, fault.Delay = time.Duration(10+rng.IntN(110))*time.Second, logUniform(rng, time.Second, 5*day.Settings.WorkerLease)
			fault.Fraction, fault.RestartAfter = []float64{0.05, 0.3, 1}[rng.IntN(3)], 0
		case "cut_alone":
			fault.Duration, fault.RestartAfter, fault.Link = logUniform(rng, 5*time.Second, 2*time.Minute), 0, []string{"", "", "refused"}[rng.IntN(3)]
		case "election":
			fault.Delay = logUniform(rng, 5*time.Millisecond, 5*time.Second)
		case "back_machine":
			fault.Fraction = []float64{1e-9, 0.1, 0.3}[rng.IntN(3)]
		}
		day.Faults = append(day.Faults, fault)
	}
	day.sortFaults()
}

// logUniform draws a duration between a and b whose logarithm is uniformly distributed.
func logUniform(rng *rand.Rand, a, b time.Duration) time.Duration {
	return time.Duration(float64(a) * math.Pow(float64(b)/float64(a), rng.Float64()))
}

// startProtocolFault begins a fault if its kind belongs to this file, and reports whether it does.
func (world *World) startProtocolFault(fault Fault, rng *rand.Rand) bool {
	process := world.controllers[fault.Controller%len(world.controllers)]
	switch fault.Kind {
	case "deaf_machine":
		world.MakeUnreachable(world.SampleMachineIDs(fault.Fraction, fault.Zone, rng), fault.Duration, fault.HoldMessages)
	case "copies":
		world.CopyHeartbeats(fault.Fraction, fault.Delay, fault.Duration)
		world.replayToNextLeader, world.holdHeartbeatsUntil = fault.ForNextLeader, world.now.Add(fault.Duration+fault.Delay)
	case "cut_alone":
		world.IsolateController(process.index, fault.Duration, fault.Link == "refused", fault.HoldMessages)
	case "election":
		// Crash the leader now, and the leader of that time after Delay and after twice Delay. With
		// HoldMessages the last crash hits all controllers.
		world.CrashController(world.leaderIndex(fault.Controller), fault.RestartAfter)
		world.schedule(fault.Delay, func() { world.CrashController(world.leaderIndex(fault.Controller), fault.RestartAfter) })
		world.schedule(2*fault.Delay, func() {
			for i := range world.controllers {
				if fault.HoldMessages || i == world.leaderIndex(fault.Controller) {
					world.CrashController(i, fault.RestartAfter)
				}
			}
		})
	case "back_machine":
		for _, id := range world.SampleMachineIDs(fault.Fraction, "", rng) {
			world.RestartWorker(world.machines[id], fault.RestartAfter)
		}
	default:
		return false
	}
	return true
}

// leaderName returns the name of the leader in the state service's record, or "" if there is none.
func (world *World) leaderName() string {
	var leader struct {
		Host string `msgpack:"host"`
	}
	if row := world.state.records["ctl/lead"]; row == nil || msgpack.Unmarshal(row.value, &leader) != nil {
		return ""
	}
	return leader.Host
}

// leaderIndex returns the index of the leader, or other modulo the number of controllers if there
// is no leader.
func (world *World) leaderIndex(other int) int {
	if i := world.controllerIndex(world.leaderName()); i >= 0 {
		return i
	}
	return other % len(world.controllers)
}

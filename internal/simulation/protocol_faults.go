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
func generateProtocolFaults(d *Day) {
	rng := rand.New(rand.NewPCG(d.Seed, 2236))
	for range 1 + rng.IntN(4) {
		f := Fault{
			Kind: protocolFaultKinds[rng.IntN(len(protocolFaultKinds))], At: time.Duration(10+rng.IntN(d.Minutes*60-20)) * time.Second,
			Controller: rng.IntN(d.Controllers), HoldMessages: rng.IntN(2) == 0, RestartAfter: []time.Duration{50, 200, 500}[rng.IntN(3)] * time.Millisecond,
		}
		switch f.Kind {
		case "deaf_machine":
			// One machine, a tenth of them, or a whole zone.
			f.Duration, f.Fraction, f.RestartAfter = logUniform(rng, 5*time.Second, 10*time.Minute), []float64{1e-9, 0.1, 1}[rng.IntN(3)], 0
			if f.Fraction == 1 {
				f.Zone = d.Settings.Zones[len(d.Settings.Zones)-1]
			}
		case "copies":
			f.Duration, f.Delay = time.Duration(10+rng.IntN(110))*time.Second, logUniform(rng, time.Second, 5*d.Settings.WorkerLease)
			f.Fraction, f.RestartAfter = []float64{0.05, 0.3, 1}[rng.IntN(3)], 0
		case "cut_alone":
			f.Duration, f.RestartAfter, f.Link = logUniform(rng, 5*time.Second, 2*time.Minute), 0, []string{"", "", "refused"}[rng.IntN(3)]
		case "election":
			f.Delay = logUniform(rng, 5*time.Millisecond, 5*time.Second)
		case "back_machine":
			f.Fraction = []float64{1e-9, 0.1, 0.3}[rng.IntN(3)]
		}
		d.Faults = append(d.Faults, f)
	}
	d.sortFaults()
}

// logUniform draws a duration between a and b whose logarithm is uniformly distributed.
func logUniform(rng *rand.Rand, a, b time.Duration) time.Duration {
	return time.Duration(float64(a) * math.Pow(float64(b)/float64(a), rng.Float64()))
}

// startProtocolFault begins a fault if its kind belongs to this file, and reports whether it does.
func (w *World) startProtocolFault(f Fault, rng *rand.Rand) bool {
	p := w.controllers[f.Controller%len(w.controllers)]
	switch f.Kind {
	case "deaf_machine":
		w.MakeUnreachable(w.SampleMachineIDs(f.Fraction, f.Zone, rng), f.Duration, f.HoldMessages)
	case "copies":
		w.CopyHeartbeats(f.Fraction, f.Delay, f.Duration)
		w.replayToNextLeader, w.holdHeartbeatsUntil = f.ForNextLeader, w.now.Add(f.Duration+f.Delay)
	case "cut_alone":
		w.IsolateController(p.index, f.Duration, f.Link == "refused", f.HoldMessages)
	case "election":
		// Crash the leader, after Delay the leader of that time, and after another Delay again the
		// leader or, with HoldMessages, all controllers.
		w.CrashController(w.leaderIndex(f.Controller), f.RestartAfter)
		w.schedule(f.Delay, func() { w.CrashController(w.leaderIndex(f.Controller), f.RestartAfter) })
		w.schedule(2*f.Delay, func() {
			for i := range w.controllers {
				if f.HoldMessages || i == w.leaderIndex(f.Controller) {
					w.CrashController(i, f.RestartAfter)
				}
			}
		})
	case "back_machine":
		for _, id := range w.SampleMachineIDs(f.Fraction, "", rng) {
			w.RestartWorker(w.machines[id], f.RestartAfter)
		}
	default:
		return false
	}
	return true
}

// leaderName returns the name of the leader in the state service's record, or "" if there is none.
func (w *World) leaderName() string {
	var lead struct {
		Host string `msgpack:"host"`
	}
	if row := w.state.records["ctl/lead"]; row == nil || msgpack.Unmarshal(row.value, &lead) != nil {
		return ""
	}
	return lead.Host
}

// leaderIndex returns the index of the leader, or other modulo the number of controllers if there
// is no leader.
func (w *World) leaderIndex(other int) int {
	if i := w.controllerIndex(w.leaderName()); i >= 0 {
		return i
	}
	return other % len(w.controllers)
}

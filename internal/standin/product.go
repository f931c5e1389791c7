package standin

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/vmihailenco/msgpack/v5"
)

// product.go has the troubles of the protocol's addition: machines that nothing reaches,
// late copies of reports, controllers that have nobody but their workers, and processes
// and machines that are back within a fraction of a second.

var productKinds = []string{"deaf_machine", "deaf_machine", "copies", "copies", "cut_alone", "cut_alone", "election", "election", "back_machine"}

// drawProduct adds them to a day, from its own numbers.
func drawProduct(d *Day) {
	rng := rand.New(rand.NewPCG(d.Seed, 2236))
	for range 1 + rng.IntN(4) {
		f := DayFault{
			Kind: productKinds[rng.IntN(len(productKinds))], At: time.Duration(10+rng.IntN(d.Minutes*60-20)) * time.Second,
			Node: rng.IntN(d.Controllers), Hold: rng.IntN(2) == 0, Back: []time.Duration{50, 200, 500}[rng.IntN(3)] * time.Millisecond,
		}
		switch f.Kind {
		case "deaf_machine":
			// One, a tenth, or a whole zone's.
			f.For, f.Share, f.Back = between(rng, 5*time.Second, 10*time.Minute), []float64{1e-9, 0.1, 1}[rng.IntN(3)], 0
			if f.Share == 1 {
				f.Zone = d.Settings.Zones[len(d.Settings.Zones)-1]
			}
		case "copies":
			f.For, f.Late = time.Duration(10+rng.IntN(110))*time.Second, between(rng, time.Second, 5*d.Settings.WorkerLease)
			f.Share, f.Back = []float64{0.05, 0.3, 1}[rng.IntN(3)], 0
		case "cut_alone":
			f.For, f.Back, f.Link = between(rng, 5*time.Second, 2*time.Minute), 0, []string{"", "", "refused"}[rng.IntN(3)]
		case "election":
			f.Late = between(rng, 5*time.Millisecond, 5*time.Second)
		case "back_machine":
			f.Share = []float64{1e-9, 0.1, 0.3}[rng.IntN(3)]
		}
		d.Faults = append(d.Faults, f)
	}
	slices.SortStableFunc(d.Faults, func(a, b DayFault) int { return int(a.At - b.At) })
}

// between draws a time between two, as often in each tenfold of it.
func between(rng *rand.Rand, a, b time.Duration) time.Duration {
	return time.Duration(float64(a) * math.Pow(float64(b)/float64(a), rng.Float64()))
}

// newTrouble lets one of them begin, and says whether it is one.
func (w *World) newTrouble(f DayFault, rng *rand.Rand) bool {
	p := w.nodes[f.Node%len(w.nodes)]
	switch f.Kind {
	case "deaf_machine":
		w.DeafMachines(w.SomeMachines(f.Share, f.Zone, rng), f.For, f.Hold)
	case "copies":
		w.Copies(f.Share, f.Late, f.For)
		w.copiesForNext, w.keptTill = f.ForNext, w.now.Add(f.For+f.Late)
	case "cut_alone":
		w.CutAlone(p.index, f.For, f.Link == "refused", f.Hold)
	case "election":
		// The one that leads, then the one that leads by then, then that again or all.
		w.Crash(w.leader(f.Node), f.Back)
		w.after(f.Late, func() { w.Crash(w.leader(f.Node), f.Back) })
		w.after(2*f.Late, func() {
			for i := range w.nodes {
				if f.Hold || i == w.leader(f.Node) {
					w.Crash(i, f.Back)
				}
			}
		})
	case "back_machine":
		for _, id := range w.SomeMachines(f.Share, "", rng) {
			w.Anew(w.machine[id], f.Back)
		}
	default:
		return false
	}
	return true
}

// leads names who leads by the state service's record, if anyone.
func (w *World) leads() string {
	var lead struct {
		Host string `msgpack:"host"`
	}
	if row := w.state.rows["ctl/lead"]; row == nil || msgpack.Unmarshal(row.value, &lead) != nil {
		return ""
	}
	return lead.Host
}

// leader is the number of the controller that leads, or another one if none does.
func (w *World) leader(other int) int {
	if i := w.nodeIndex(w.leads()); i >= 0 {
		return i
	}
	return other % len(w.nodes)
}

package standin

import (
	"math/rand/v2"
	"time"

	"github.com/micahill/micahill/internal/core"
)

// half.go has links that are half there: machines whose reports arrive while nothing
// reaches them, and reports that arrive once more, long after.

// DeafMachines lets nothing reach these machines for d: no answer and no order, while
// what they send goes on to arrive. With hold it is delivered when the time is over,
// as far as it still counts then.
func (w *World) DeafMachines(ids []string, d time.Duration, hold bool) {
	for _, id := range ids {
		if m := w.machine[id]; m != nil {
			m.deafTill, m.deafHold = w.now.Add(d), hold
		}
	}
}

// SomeMachines draws a share of the machines that are up, at least one if there is any,
// only of a zone unless that is empty.
func (w *World) SomeMachines(share float64, zone string, rng *rand.Rand) []string {
	var ids []string
	for _, id := range sorted(w.machine) {
		if m := w.machine[id]; m.up(w.now) && (zone == "" || m.Zone == zone) {
			ids = append(ids, id)
		}
	}
	rng.Shuffle(len(ids), func(i, j int) { ids[i], ids[j] = ids[j], ids[i] })
	return ids[:min(len(ids), max(1, int(share*float64(len(ids)))))]
}

// Copies lets a share of the reports of the next d arrive once more, at a controller
// drawn anew, from a second to longest later. Nobody hears their answers.
func (w *World) Copies(share float64, longest, d time.Duration) {
	w.copies, w.copyLongest, w.copyTill = share, longest, w.now.Add(d)
	w.copiesForNext = false
}

// copyReport sends the copy of a report, if it gets one.
func (w *World) copyReport(r core.Heartbeat) {
	if !w.now.Before(w.copyTill) || w.rng.Float64() >= w.copies {
		return
	}
	if w.copiesForNext {
		w.keepCopy(r)
		return
	}
	d := time.Second + time.Duration(w.rng.Int64N(int64(max(w.copyLongest, 2*time.Second)-time.Second)))
	p := w.nodes[w.rng.IntN(len(w.nodes))]
	w.after(d, func() {
		p.ask(func(reply uint64) core.Command { return core.WorkerHeartbeat{Reply: reply, Heartbeat: r} }, func(core.Effect) {})
	})
}

// unreached says that what is sent to a machine now doesn't arrive, and brings it later
// if it is held.
func (w *World) unreached(m *Worker, deliver func()) bool {
	if m == nil || !w.now.Before(m.deafTill) {
		return false
	}
	if m.deafHold {
		w.after(m.deafTill.Sub(w.now)+time.Millisecond, deliver)
	}
	return true
}

// CutAlone cuts a controller off from the state service and the other controllers for
// d, but not from its workers.
func (w *World) CutAlone(i int, d time.Duration, refused, hold bool) {
	p := w.nodes[i]
	if refused {
		w.refuse(p, d)
	} else {
		w.Cut(p.name, "state", d, hold)
	}
	for _, o := range w.nodes {
		if o != p {
			w.Cut(p.name, o.name, d, hold)
		}
	}
}

// CrashIn ends the first process that is about to send such an effect, or with sent
// has just sent it; it is back after d.
func (w *World) CrashIn(d time.Duration, sent bool, is func(core.Effect) bool) {
	w.ends = func(p *proc, e core.Effect) bool {
		if !is(e) {
			return false
		}
		if sent {
			p.send(e)
		}
		w.Crash(p.index, d)
		return true
	}
}

// endsNow says whether a process ended with this effect.
func (w *World) endsNow(p *proc, e core.Effect) bool {
	ends := w.ends
	if ends == nil {
		return false
	}
	w.ends = nil
	if ends(p, e) {
		return true
	}
	w.ends = ends
	return false
}

// halfFault lets one of the troubles of this file begin, or lets a process or a worker
// be back within a fraction of a second.
func (w *World) halfFault(rng *rand.Rand) {
	d := time.Duration(5+rng.IntN(60)) * time.Second
	back := []time.Duration{50, 200, 500}[rng.IntN(3)] * time.Millisecond
	i, hold := rng.IntN(len(w.nodes)), rng.IntN(2) == 0
	switch rng.IntN(6) {
	case 0:
		w.DeafMachines(w.SomeMachines([]float64{0.05, 0.3, 1}[rng.IntN(3)], []string{"", "a", "b"}[rng.IntN(3)], rng), d, hold)
	case 1:
		w.Copies(0.3, 5*w.set.WorkerLease, d)
	case 2:
		for _, id := range w.SomeMachines([]float64{0.05, 0.3}[rng.IntN(2)], "", rng) {
			w.Anew(w.machine[id], back)
		}
	case 3:
		w.CutAlone(i, d, rng.IntN(3) == 0, hold)
	case 4:
		w.Crash(i, back)
	case 5:
		for k := range w.nodes {
			w.Crash(k, back)
		}
	}
}

// Anew lets a machine's worker end and, after d, begin anew under the same name: without
// tasks, images and tokens, in its first tenure. What was on its way to the process that
// ended is lost with its connections.
func (w *World) Anew(m *Worker, d time.Duration) {
	w.clear(m)
	clear(m.images)
	m.life++
	m.tenure, m.tick, m.epoch = 0, 0, 0
	m.reporting, m.changed = false, false
	m.hungTill = w.now.Add(d)
}

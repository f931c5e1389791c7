package simulation

import (
	"math/rand/v2"
	"time"

	"github.com/micahill/micahill/internal/message"
	"github.com/micahill/micahill/internal/model"
)

// half.go has links that are half there: machines whose reports arrive while nothing
// reaches them, and reports that arrive once more, long after.

// MakeUnreachable lets nothing reach these machines for d: no answer and no order, while
// what they send goes on to arrive. With hold it is delivered when the time is over,
// as far as it still counts then.
func (w *World) MakeUnreachable(ids []string, d time.Duration, holdMessages bool) {
	for _, id := range ids {
		if m := w.machines[id]; m != nil {
			m.unreachableUntil, m.holdWhileUnreachable = w.now.Add(d), holdMessages
		}
	}
}

// SampleMachineIDs draws a share of the machines that are up, at least one if there is any,
// only of a zone unless that is empty.
func (w *World) SampleMachineIDs(share float64, zone string, rng *rand.Rand) []string {
	var ids []string
	for _, id := range sortedKeys(w.machines) {
		if m := w.machines[id]; m.up(w.now) && (zone == "" || m.Zone == zone) {
			ids = append(ids, id)
		}
	}
	rng.Shuffle(len(ids), func(i, j int) { ids[i], ids[j] = ids[j], ids[i] })
	return ids[:min(len(ids), max(1, int(share*float64(len(ids)))))]
}

// CopyHeartbeats lets a share of the reports of the next d arrive once more, at a controller
// drawn anew, from a second to longest later. Nobody hears their answers.
func (w *World) CopyHeartbeats(share float64, longest, d time.Duration) {
	w.heartbeatCopyRate, w.heartbeatCopyMaxDelay, w.heartbeatCopiesUntil = share, longest, w.now.Add(d)
	w.replayToNextLeader = false
}

// copyHeartbeat sends the copy of a report, if it gets one.
func (w *World) copyHeartbeat(r model.Heartbeat) {
	if !w.now.Before(w.heartbeatCopiesUntil) || w.rng.Float64() >= w.heartbeatCopyRate {
		return
	}
	if w.replayToNextLeader {
		w.holdHeartbeat(r)
		return
	}
	d := time.Second + time.Duration(w.rng.Int64N(int64(max(w.heartbeatCopyMaxDelay, 2*time.Second)-time.Second)))
	p := w.controllers[w.rng.IntN(len(w.controllers))]
	w.schedule(d, func() {
		p.deliverHeartbeat(r, func(message.Effect) {})
	})
}

// holdIfUnreachable says that what is sent to a machine now doesn't arrive, and brings it later
// if it is held.
func (w *World) holdIfUnreachable(m *Worker, deliver func()) bool {
	if m == nil || !w.now.Before(m.unreachableUntil) {
		return false
	}
	if m.holdWhileUnreachable {
		w.schedule(m.unreachableUntil.Sub(w.now)+time.Millisecond, deliver)
	}
	return true
}

// IsolateController cuts a controller off from the state service and the other controllers for
// d, but not from its workers.
func (w *World) IsolateController(i int, d time.Duration, refused, hold bool) {
	p := w.controllers[i]
	if refused {
		w.refuseController(p, d)
	} else {
		w.Partition(p.name, "state", d, hold)
	}
	for _, o := range w.controllers {
		if o != p {
			w.Partition(p.name, o.name, d, hold)
		}
	}
}

// CrashBefore ends the first process that is about to send such an effect, or with sent
// has just sent it; it is back after d.
func (w *World) CrashBefore(d time.Duration, afterSend bool, matches func(message.Effect) bool) {
	w.crashCondition = func(p *controllerProcess, e message.Effect) bool {
		if !matches(e) {
			return false
		}
		if afterSend {
			p.send(e)
		}
		w.CrashController(p.index, d)
		return true
	}
}

// crashesOn says whether a process ended with this effect.
func (w *World) crashesOn(p *controllerProcess, e message.Effect) bool {
	ends := w.crashCondition
	if ends == nil {
		return false
	}
	w.crashCondition = nil
	if ends(p, e) {
		return true
	}
	w.crashCondition = ends
	return false
}

// startPartialFault lets one of the troubles of this file begin, or lets a process or a worker
// be back within a fraction of a second.
func (w *World) startPartialFault(rng *rand.Rand) {
	d := time.Duration(5+rng.IntN(60)) * time.Second
	back := []time.Duration{50, 200, 500}[rng.IntN(3)] * time.Millisecond
	i, hold := rng.IntN(len(w.controllers)), rng.IntN(2) == 0
	switch rng.IntN(6) {
	case 0:
		w.MakeUnreachable(w.SampleMachineIDs([]float64{0.05, 0.3, 1}[rng.IntN(3)], []string{"", "a", "b"}[rng.IntN(3)], rng), d, hold)
	case 1:
		w.CopyHeartbeats(0.3, 5*w.settings.WorkerLease, d)
	case 2:
		for _, id := range w.SampleMachineIDs([]float64{0.05, 0.3}[rng.IntN(2)], "", rng) {
			w.RestartWorker(w.machines[id], back)
		}
	case 3:
		w.IsolateController(i, d, rng.IntN(3) == 0, hold)
	case 4:
		w.CrashController(i, back)
	case 5:
		for k := range w.controllers {
			w.CrashController(k, back)
		}
	}
}

// RestartWorker lets a machine's worker end and, after d, begin anew under the same name: without
// tasks, images and tokens, in its first tenure. What was on its way to the process that
// ended is lost with its connections.
func (w *World) RestartWorker(m *Worker, d time.Duration) {
	w.clearTasks(m)
	clear(m.images)
	m.process++
	m.incarnation, m.sequence, m.epoch = 0, 0, 0
	m.heartbeatPending, m.changed = false, false
	m.hungUntil = w.now.Add(d)
}

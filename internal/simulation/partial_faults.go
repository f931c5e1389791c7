package simulation

import (
	"math/rand/v2"
	"time"

	"github.com/micahill/micahill/internal/message"
	"github.com/micahill/micahill/internal/model"
)

// This file has partial failures: machines that can send but not receive messages, heartbeats that
// arrive a second time much later, and processes that restart within a fraction of a second.

// MakeUnreachable keeps all messages to machines, answers as well as commands, from arriving for d.
// Messages from the machines still arrive. With holdMessages the messages to the machines are
// delivered afterwards, otherwise they are lost.
func (w *World) MakeUnreachable(ids []string, d time.Duration, holdMessages bool) {
	for _, id := range ids {
		if m := w.machines[id]; m != nil {
			m.unreachableUntil, m.holdWhileUnreachable = w.now.Add(d), holdMessages
		}
	}
}

// SampleMachineIDs draws a fraction of the machines that are up, at least one if there is any. A
// zone that is not empty restricts the draw to its machines.
func (w *World) SampleMachineIDs(fraction float64, zone string, rng *rand.Rand) []string {
	var ids []string
	for _, id := range sortedKeys(w.machines) {
		if m := w.machines[id]; m.up(w.now) && (zone == "" || m.Zone == zone) {
			ids = append(ids, id)
		}
	}
	rng.Shuffle(len(ids), func(i, j int) { ids[i], ids[j] = ids[j], ids[i] })
	return ids[:min(len(ids), max(1, int(fraction*float64(len(ids)))))]
}

// CopyHeartbeats makes a fraction of the heartbeats of the next d arrive a second time at a random
// controller, with a delay between a second and longest. The answers to the copies are dropped.
func (w *World) CopyHeartbeats(fraction float64, longest, d time.Duration) {
	w.heartbeatCopyRate, w.heartbeatCopyMaxDelay, w.heartbeatCopiesUntil = fraction, longest, w.now.Add(d)
	w.replayToNextLeader = false
}

// copyHeartbeat schedules or keeps a copy of a heartbeat if the fault of CopyHeartbeats is active
// and selects the heartbeat.
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

// holdIfUnreachable reports whether MakeUnreachable keeps a message to m from arriving. If the
// fault holds messages, holdIfUnreachable schedules the delivery for the end of the fault. m is nil
// if the receiver is no machine.
func (w *World) holdIfUnreachable(m *Worker, deliver func()) bool {
	if m == nil || !w.now.Before(m.unreachableUntil) {
		return false
	}
	if m.holdWhileUnreachable {
		w.schedule(m.unreachableUntil.Sub(w.now)+time.Millisecond, deliver)
	}
	return true
}

// IsolateController separates a controller from the state service and the other controllers, but
// not from its workers, for d. With refused the state service answers the controller and refuses
// its requests; otherwise the link to it is broken.
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

// CrashBefore crashes the first process that is about to send a matching effect, before it sends
// the effect or, with afterSend, after it. The process starts again after d.
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

// crashesOn crashes a process if crashCondition matches the effect, and reports whether it did.
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

// startPartialFault begins a random fault of this file, or crashes controllers or workers and
// restarts them within a fraction of a second.
func (w *World) startPartialFault(rng *rand.Rand) {
	d := time.Duration(5+rng.IntN(60)) * time.Second
	restartAfter := []time.Duration{50, 200, 500}[rng.IntN(3)] * time.Millisecond
	i, hold := rng.IntN(len(w.controllers)), rng.IntN(2) == 0
	switch rng.IntN(6) {
	case 0:
		w.MakeUnreachable(w.SampleMachineIDs([]float64{0.05, 0.3, 1}[rng.IntN(3)], []string{"", "a", "b"}[rng.IntN(3)], rng), d, hold)
	case 1:
		w.CopyHeartbeats(0.3, 5*w.settings.WorkerLease, d)
	case 2:
		for _, id := range w.SampleMachineIDs([]float64{0.05, 0.3}[rng.IntN(2)], "", rng) {
			w.RestartWorker(w.machines[id], restartAfter)
		}
	case 3:
		w.IsolateController(i, d, rng.IntN(3) == 0, hold)
	case 4:
		w.CrashController(i, restartAfter)
	case 5:
		for k := range w.controllers {
			w.CrashController(k, restartAfter)
		}
	}
}

// RestartWorker ends a machine's worker and starts it again after d with the same machine id:
// without tasks, images and epoch, in its first incarnation. Messages on their way to the old
// process are lost, because its connections are closed.
func (w *World) RestartWorker(m *Worker, d time.Duration) {
	w.clearTasks(m)
	clear(m.images)
	m.process++
	m.incarnation, m.sequence, m.epoch = 0, 0, 0
	m.heartbeatPending, m.changed = false, false
	m.hungUntil = w.now.Add(d)
}

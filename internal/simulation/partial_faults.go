package simulation

import (
	"math/rand/v2"
	"time"

	"github.com/micahill/micahill/internal/message"
	"github.com/micahill/micahill/internal/model"
)

// This file has partial failures: machines that can send but not receive messages, heartbeats that
// arrive a second time much later, and processes that restart within a fraction of a second.

// MakeUnreachable keeps all messages to machines, replies as well as commands, from arriving for
// the given duration. Messages from the machines still arrive. With holdMessages the messages to
// the machines are delivered afterwards, otherwise they are lost.
func (world *World) MakeUnreachable(ids []string, duration time.Duration, holdMessages bool) {
	for _, id := range ids {
		if machine := world.machines[id]; machine != nil {
			machine.unreachableUntil, machine.holdWhileUnreachable = world.now.Add(duration), holdMessages
		}
	}
}

// SampleMachineIDs draws a fraction of the machines that are up, at least one if there is any. A
// zone that is not empty restricts the draw to its machines.
func (world *World) SampleMachineIDs(fraction float64, zone string, rng *rand.Rand) []string {
	var ids []string
	for _, id := range sortedKeys(world.machines) {
		if machine := world.machines[id]; machine.up(world.now) && (zone == "" || machine.Zone == zone) {
			ids = append(ids, id)
		}
	}
	rng.Shuffle(len(ids), func(i, j int) { ids[i], ids[j] = ids[j], ids[i] })
	return ids[:min(len(ids), max(1, int(fraction*float64(len(ids)))))]
}

// CopyHeartbeats makes a fraction of the heartbeats that are sent during the given duration arrive
// a second time at a random controller, with a delay between a second and longest. The replies to
// the copies are dropped.
func (world *World) CopyHeartbeats(fraction float64, longest, duration time.Duration) {
	world.heartbeatCopyRate, world.heartbeatCopyMaxDelay, world.heartbeatCopiesUntil = fraction, longest, world.now.Add(duration)
	world.replayToNextLeader = false
}

// maybeCopyHeartbeat schedules or keeps a copy of a heartbeat if the fault of CopyHeartbeats is active
// and selects the heartbeat.
func (world *World) maybeCopyHeartbeat(heartbeat model.Heartbeat) {
	if !world.now.Before(world.heartbeatCopiesUntil) || world.rng.Float64() >= world.heartbeatCopyRate {
		return
	}
	if world.replayToNextLeader {
		world.holdHeartbeat(heartbeat)
		return
	}
	delay := time.Second + time.Duration(world.rng.Int64N(int64(max(world.heartbeatCopyMaxDelay, 2*time.Second)-time.Second)))
	process := world.controllers[world.rng.IntN(len(world.controllers))]
	world.schedule(delay, func() {
		process.deliverHeartbeat(heartbeat, func(message.Effect) {})
	})
}

// holdIfUnreachable reports whether MakeUnreachable keeps a message to machine from arriving. If
// the fault holds messages, holdIfUnreachable schedules the delivery for the end of the fault.
// machine is nil if the receiver is not a machine.
func (world *World) holdIfUnreachable(machine *Worker, deliver func()) bool {
	if machine == nil || !world.now.Before(machine.unreachableUntil) {
		return false
	}
	if machine.holdWhileUnreachable {
		world.schedule(machine.unreachableUntil.Sub(world.now)+time.Millisecond, deliver)
	}
	return true
}

// IsolateController separates a controller from the state service and the other controllers, but
// not from its workers, for the given duration. With refused the state service answers the
// controller and refuses its requests; otherwise the link to it is broken.
func (world *World) IsolateController(i int, duration time.Duration, refused, holdMessages bool) {
	process := world.controllers[i]
	if refused {
		world.refuseController(process, duration)
	} else {
		world.Partition(process.name, "state", duration, holdMessages)
	}
	for _, other := range world.controllers {
		if other != process {
			world.Partition(process.name, other.name, duration, holdMessages)
		}
	}
}

// CrashBefore crashes the first process that is about to send a matching effect, before it sends
// the effect or, with afterSend, after it. The process starts again after restartAfter.
func (world *World) CrashBefore(restartAfter time.Duration, afterSend bool, matches func(message.Effect) bool) {
	world.crashCondition = func(process *controllerProcess, effect message.Effect) bool {
		if !matches(effect) {
			return false
		}
		if afterSend {
			process.send(effect)
		}
		world.CrashController(process.index, restartAfter)
		return true
	}
}

// crashIfMatched crashes a process if crashCondition matches the effect, and reports whether it did.
func (world *World) crashIfMatched(process *controllerProcess, effect message.Effect) bool {
	condition := world.crashCondition
	if condition == nil {
		return false
	}
	world.crashCondition = nil
	if condition(process, effect) {
		return true
	}
	world.crashCondition = condition
	return false
}

// startPartialFault begins a random fault of this file, or crashes controllers or workers and
// restarts them within a fraction of a second.
func (world *World) startPartialFault(rng *rand.Rand) {
	duration := time.Duration(5+rng.IntN(60)) * time.Second
	restartAfter := []time.Duration{50, 200, 500}[rng.IntN(3)] * time.Millisecond
	i, holdMessages := rng.IntN(len(world.controllers)), rng.IntN(2) == 0
	switch rng.IntN(6) {
	case 0:
		world.MakeUnreachable(world.SampleMachineIDs([]float64{0.05, 0.3, 1}[rng.IntN(3)], []string{"", "a", "b"}[rng.IntN(3)], rng), duration, holdMessages)
	case 1:
		world.CopyHeartbeats(0.3, 5*world.settings.WorkerLease, duration)
	case 2:
		for _, id := range world.SampleMachineIDs([]float64{0.05, 0.3}[rng.IntN(2)], "", rng) {
			world.RestartWorker(world.machines[id], restartAfter)
		}
	case 3:
		world.IsolateController(i, duration, rng.IntN(3) == 0, holdMessages)
	case 4:
		world.CrashController(i, restartAfter)
	case 5:
		for k := range world.controllers {
			world.CrashController(k, restartAfter)
		}
	}
}

// RestartWorker ends a machine's worker and starts it again after restartAfter with the same
// machine id: without tasks, images and epoch, in its first incarnation. Messages on their way to
// the old process are lost, because its connections are closed.
func (world *World) RestartWorker(machine *Worker, restartAfter time.Duration) {
	world.clearTasks(machine)
	clear(machine.images)
	machine.process++
	machine.incarnation, machine.sequence, machine.epoch = 0, 0, 0
	machine.heartbeatPending, machine.changed, machine.heartbeatRequested = false, false, false
	machine.hungUntil = world.now.Add(restartAfter)
}

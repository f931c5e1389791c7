package controller

import (
	"slices"
	"time"

	"github.com/micahill/micahill/internal/message"
)

// Limits of polls of machines.
const (
	// probeAfterIntervals is the time, as a multiple of the longest heartbeat interval, after
	// which a silent machine is polled. A machine that has not answered unresponsiveProbes
	// polls counts as lost and is released. Waiting for several missed heartbeats instead
	// would delay the machine's tasks more where heartbeat intervals are long.
	probeAfterIntervals = 1.15
	unresponsiveProbes  = 2
	// probeInterval is the minimum time between two polls of a silent machine.
	probeInterval = 3 * time.Second
	// maxContactsInFlight bounds the polls in flight. Polls of dead hosts hang, and a new
	// shard leader may have a thousand machines to poll.
	maxContactsInFlight = 48
	// leaseCheckInterval is the minimum time between two reads of the shard map for an
	// expired worker lease, if the first read got no response.
	leaseCheckInterval = 2 * time.Second
	// reclaimNoticeFactor is the factor by which a reclaimed machine may last longer than
	// announced.
	reclaimNoticeFactor = 1.5
)

// failover takes over the machines and tasks of an earlier shard leader: it contacts the
// inherited machines, ends expired worker leases, and bumps epochs where a command of an
// earlier leader may still be executed.
//
// It belongs to a shardLeader and is dropped with it. Its methods may be called only while
// that shardLeader leads, and callbacks compare the generation before they use it. Its state
// is not handed over: the next shard leader contacts all of its machines again.
type failover struct {
	component

	// inheritedMachines are the machines of an earlier leader that are still to be contacted,
	// those with attempts first.
	inheritedMachines []*machine
	// contactsInFlight counts the polls and the requests of sendEpoch in flight. contact sends no
	// poll once the count has reached maxContactsInFlight.
	contactsInFlight int

	// higherEpochSeen maps each machine whose worker has seen a higher epoch than the one
	// under which the machine is owned to the time at which this was noticed.
	higherEpochSeen map[string]time.Time
	// epochBumps counts the shard map segments that this failover wrote to bump epochs. The
	// count is part of the segments' names.
	epochBumps    int
	epochBumpedAt time.Time
}

// contact polls a machine for its status. The reply contains the worker's incarnation, which
// commands require. The commands that follow carry the current epoch to the worker.
func (failover *failover) contact(m *machine) {
	if m.addr == "" || m.dispatchInFlight || m.statusRequested || m.releasing || failover.now.Sub(m.lastProbedAt) < probeInterval {
		return
	}
	if failover.contactsInFlight >= maxContactsInFlight {
		return
	}
	m.statusRequested, m.lastProbedAt = true, failover.now
	failover.contactsInFlight++
	generation, before := failover.controller.shardLeader.generation, m.snapshot()
	failover.controller.requests.toWorker(message.WorkerRequest{Machine: m.id, Addr: m.addr, StatusOnly: true}, func(response message.WorkerResponse) {
		if failover.controller.shardLeader == nil || failover.controller.shardLeader.generation != generation {
			return
		}
		m.statusRequested = false
		failover.controller.shardLeader.failover.contactsInFlight--
		failover.controller.shardLeader.failover.contactInheritedMachines()
		if response.NotSent || m.removed {
			return
		}
		if !failover.controller.shardLeader.heartbeats.applyPollReply(m, response.Heartbeat, before) {
			return
		}
		if m.seenEpoch < m.epoch && !m.dispatchInFlight {
			failover.controller.shardLeader.failover.sendEpoch(m)
			return
		}
		if stopping := m.attemptsWhere(func(t *task) bool { return t.stopReason != stopNone }); len(stopping) > 0 || m.hasOtherShardsAttempts {
			// The stop may have been lost, and no heartbeat may follow: a machine that reaches
			// no controller is heard only through its replies to polls.
			failover.controller.markDispatchPending(m)
		}
	})
}

// contactInheritedMachines contacts the next inherited machines, up to maxContactsInFlight at a
// time. It skips machines whose heartbeats have shown the current epoch in the meantime.
func (failover *failover) contactInheritedMachines() {
	for len(failover.inheritedMachines) > 0 && failover.contactsInFlight < maxContactsInFlight {
		m := failover.inheritedMachines[0]
		failover.inheritedMachines = failover.inheritedMachines[1:]
		if !m.removed && m.seenEpoch < m.epoch {
			failover.contact(m)
		}
	}
}

// sendEpoch sends the current epoch to a machine's worker in a request without commands.
func (failover *failover) sendEpoch(m *machine) {
	generation, epoch := failover.controller.shardLeader.generation, m.commandEpoch
	m.dispatchInFlight = true
	failover.contactsInFlight++
	before := m.snapshot()
	failover.controller.requests.toWorker(message.WorkerRequest{Machine: m.id, Addr: m.addr, SendDeadline: failover.controller.membership.leaseValidUntil, Epoch: epoch, Incarnation: m.incarnation}, func(response message.WorkerResponse) {
		if failover.controller.shardLeader == nil || failover.controller.shardLeader.generation != generation {
			return
		}
		m.dispatchInFlight = false
		failover.controller.shardLeader.failover.contactsInFlight--
		failover.controller.shardLeader.failover.contactInheritedMachines()
		if m.removed {
			return
		}
		if !response.NotSent && failover.controller.shardLeader.heartbeats.applyPollReply(m, response.Heartbeat, before) {
			failover.controller.markDispatchPending(m)
		}
	})
}

// addInherited appends a machine to the inherited machines that are to be contacted.
func (failover *failover) addInherited(m *machine) {
	failover.inheritedMachines = append(failover.inheritedMachines, m)
}

// contactAll contacts all machines without waiting for their heartbeats, those with live attempts
// first. Once a worker has seen the current epoch, no command of an earlier leader takes effect
// there, and the worker's heartbeats prove that. Machines without attempts are contacted too:
// otherwise they would stay with an earlier leader that has lost only the store, until the end of
// that leader's grace period.
func (failover *failover) contactAll() {
	failover.inheritedMachines = slices.Clone(failover.controller.shardLeader.machinesByID)
	failover.controller.ranking.sortInheritedByRank(failover.inheritedMachines)
	failover.contactInheritedMachines()
}

// noteHigherEpoch records that a machine's worker has seen a higher epoch than the one under which
// this controller owns the machine.
func (failover *failover) noteHigherEpoch(machine string) {
	if failover.higherEpochSeen[machine].IsZero() {
		failover.higherEpochSeen[machine] = failover.now
	}
}

// clearHigherEpoch records that a machine's worker accepts this controller's epoch, or that another
// controller owns the machine.
func (failover *failover) clearHigherEpoch(machine string) { delete(failover.higherEpochSeen, machine) }

// sweep polls silent machines, ends expired leases, drains reclaimed machines and ends attempts
// that are to be stopped and whose start was never sent.
func (failover *failover) sweep() {
	leader := failover.controller.shardLeader
	failover.contactInheritedMachines()
	for _, id := range sortedKeys(leader.remoteAttempts.machines) {
		if m := leader.remoteAttempts.machines[id]; m.reclaimNoticed {
			failover.drainReclaimed(m)
		}
	}
	for _, m := range slices.Clone(leader.machinesByID) {
		if m.expectsHeartbeats() && (failover.sinceLastHeartbeat(m) > time.Duration(probeAfterIntervals*float64(failover.maxHeartbeatInterval())) || !m.reachability.Reachable()) {
			failover.contact(m)
		}
		if !m.leaseEnd.IsZero() && failover.now.After(m.leaseEnd) {
			if !m.isEmpty() {
				failover.leaseExpired(m)
				continue
			}
			// If the machine reports again, its worker is another incarnation without tasks.
			leader.removeMachine(m)
			continue
		}
		if m.reclaimNoticed {
			failover.drainReclaimed(m)
		}
		for _, key := range m.attemptsWhere(func(t *task) bool { return t.stopReason != stopNone && !t.startSent }) {
			// Its start was never sent, so the attempt runs nowhere.
			failover.controller.shardLeader.endAttempt(leader.jobs[key.job], key.index, false)
		}
	}
}

// leaseExpired ends all attempts on a machine whose worker lease has expired by this controller's
// clock. It first confirms that this controller still owns the machine, since another owner would
// have renewed the lease.
func (failover *failover) leaseExpired(m *machine) {
	if failover.now.Sub(m.ownershipCheckedAt) < leaseCheckInterval {
		return
	}
	m.ownershipCheckedAt = failover.now
	generation := failover.controller.shardLeader.generation
	failover.controller.membership.confirmControlRecords(func() {
		if failover.controller.shardLeader == nil || failover.controller.shardLeader.generation != generation || m.removed || !failover.now.After(m.leaseEnd) {
			return
		}
		failover.info("worker lease expired", "machine", m.id, "attempts", len(m.attempts))
		failover.controller.shardLeader.heartbeats.loseAllAttempts(m, nil)
	})
}

// drainReclaimed stops the tasks that will not finish before the cloud reclaims the machine. It
// stops a task with checkpoints as late as still allows one more checkpoint. It stops other tasks
// at once: their progress is lost in any case, and they can start elsewhere sooner.
func (failover *failover) drainReclaimed(m *machine) {
	untilReclaim := m.reclaimAt.Sub(failover.now)
	for _, key := range sortedAttempts(m) {
		t := m.attempts[key]
		j := failover.controller.shardLeader.jobs[key.job]
		if t.stopReason != stopNone {
			continue
		}
		remaining := failover.controller.knowledge.expectedRunTime(j)
		if !t.startedAt.IsZero() {
			remaining -= failover.now.Sub(t.startedAt)
		}
		checkpoints := j.CheckpointInterval > 0 && !t.startedAt.IsZero()
		if checkpoints && untilReclaim < j.CheckpointCost+failover.maxHeartbeatInterval() || !checkpoints && (j.LongRunning || remaining.Seconds() > reclaimNoticeFactor*untilReclaim.Seconds()) {
			t.stopReason = stopDrain
			failover.controller.markDispatchPending(m)
		}
	}
}

// expectsHeartbeats reports whether the machine should send heartbeats: it has sent some, or it has
// attempts, perhaps of a former owner.
func (machine *machine) expectsHeartbeats() bool { return machine.heard || !machine.isEmpty() }

// sinceLastHeartbeat returns how long ago a machine last sent a heartbeat under the current epoch or
// replied to a poll. Time before this shard leader was ready does not count, nor does time before it
// owned the machine, which may have come with running tasks.
func (failover *failover) sinceLastHeartbeat(m *machine) time.Duration {
	return failover.now.Sub(later(later(m.lastHeard, m.ownedSince), failover.controller.shardLeader.readyAt))
}

// unresponsive reports whether a machine has missed heartbeats and does not answer polls. A machine
// with attempts of a former owner can be unresponsive although this controller never heard it: it
// may have been lost before the failover. A machine of another owner sends no heartbeats here: its owner
// publishes that it responds.
func (tracker *heartbeatTracker) unresponsive(m *machine) bool {
	if m.remote {
		return tracker.now.Sub(m.lastHeard) > remoteStatusTTL
	}
	if !m.expectsHeartbeats() {
		return false
	}
	if m.reclaimNoticed && tracker.now.After(m.reclaimAt) {
		// The cloud has reclaimed the machine as announced, so no polls are needed.
		return tracker.controller.shardLeader.failover.sinceLastHeartbeat(m) > tracker.maxHeartbeatInterval()
	}
	return tracker.controller.shardLeader.failover.sinceLastHeartbeat(m) > tracker.unresponsiveAfter(m) && tracker.now.Sub(m.reroutedAt) > tracker.unresponsiveAfter(m)
}

// unresponsiveAfter returns how long a machine must have been silent to count as unresponsive.
func (tracker *heartbeatTracker) unresponsiveAfter(m *machine) time.Duration {
	limit := time.Duration(probeAfterIntervals*float64(tracker.maxHeartbeatInterval())) + unresponsiveProbes*probeInterval
	if m.heard && m.unansweredProbes < unresponsiveProbes {
		// The machine was polled too rarely, since too many polls were in flight.
		limit *= 2
	}
	return limit
}

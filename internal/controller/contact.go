package controller

import (
	"slices"
	"time"

	"github.com/micahill/micahill/internal/message"
)

const (
	// probeAfterIntervals is after how many of the longest heartbeat intervals a silent
	// machine is polled. When it has not answered unresponsiveProbes polls, it is taken for
	// lost and released rather than waited for. Where heartbeats are rare, waiting until
	// several are missed would cost its tasks more time.
	probeAfterIntervals = 1.15
	unresponsiveProbes  = 2
	// probeInterval separates two polls of a silent machine.
	probeInterval = 3 * time.Second
	// maxContactsInFlight bounds the polls under way: those to dead hosts hang, and a
	// successor may have a thousand machines to poll.
	maxContactsInFlight = 48
	// leaseCheckInterval separates two reads of the shard map for a worker lease that has
	// run out, when the first got no answer.
	leaseCheckInterval = 2 * time.Second
	// reclaimNoticeFactor is how much longer than announced a reclaimed machine may stay.
	reclaimNoticeFactor = 1.5
)

// failover takes over what an earlier shard leader left: it contacts the machines that this
// one has inherited, sweeps for leases that ran out, and bumps epochs where a command of
// an earlier leader may still be executed.
//
// It belongs to a shardLeader and is dropped with it. Its methods may be called only while
// that one leads, and callbacks compare the generation before they use it. Nothing of its
// state needs to be inherited: the next leader starts with all of its machines again.
type failover struct {
	component

	// inheritedMachines are machines of an earlier leader that are still to be contacted,
	// those with work first.
	inheritedMachines []*machine
	// contactsInFlight counts the contacts under way, maxContactsInFlight at most.
	contactsInFlight int

	// higherEpochSeen has the machines that have seen an epoch above the one under which
	// they are owned, and since when.
	higherEpochSeen map[string]time.Time
	// epochBumps counts the segments written to bump epochs, which are named by it.
	epochBumps    int
	epochBumpedAt time.Time
}

// contact polls a machine for its status, and so learns its incarnation, which commands need
// and which then carry the higher epoch.
func (f *failover) contact(m *machine) {
	if m.addr == "" || m.dispatchInFlight || m.statusRequested || m.releasing || f.now.Sub(m.probed) < probeInterval {
		return
	}
	if f.contactsInFlight >= maxContactsInFlight {
		return
	}
	m.statusRequested, m.probed = true, f.now
	f.contactsInFlight++
	gen, was := f.controller.shardLeader.generation, m.snapshot()
	f.controller.requests.toWorker(message.WorkerRequest{Machine: m.id, Addr: m.addr, StatusOnly: true}, func(d message.WorkerResponse) {
		if f.controller.shardLeader == nil || f.controller.shardLeader.generation != gen {
			return
		}
		m.statusRequested = false
		f.controller.shardLeader.failover.contactsInFlight--
		f.controller.shardLeader.failover.contactInheritedMachines()
		if d.NotSent || m.removed {
			return
		}
		if !f.controller.shardLeader.heartbeats.applyPollReply(m, d.Heartbeat, was) {
			return
		}
		if m.seenEpoch < m.epoch && !m.dispatchInFlight {
			f.controller.shardLeader.failover.showEpoch(m)
			return
		}
		if stopping := m.attemptsWhere(func(t *task) bool { return t.stopReason != stopNone }); len(stopping) > 0 || m.hasOthersAttempts {
			// The command may be lost, and perhaps no heartbeat comes: of a machine that
			// reaches no controller, answers are all that is heard.
			f.controller.markDispatchPending(m)
		}
	})
}

// contactInheritedMachines goes on with the machines of an earlier leader, some at a time. One
// that has sent a heartbeat meanwhile knows of the epoch and is left out.
func (f *failover) contactInheritedMachines() {
	for len(f.inheritedMachines) > 0 && f.contactsInFlight < maxContactsInFlight {
		m := f.inheritedMachines[0]
		f.inheritedMachines = f.inheritedMachines[1:]
		if !m.removed && m.seenEpoch < m.epoch {
			f.contact(m)
		}
	}
}

// showEpoch makes the current epoch known to the worker by an empty command.
func (f *failover) showEpoch(m *machine) {
	gen, epoch := f.controller.shardLeader.generation, m.epoch
	m.dispatchInFlight = true
	f.contactsInFlight++
	was := m.snapshot()
	f.controller.requests.toWorker(message.WorkerRequest{Machine: m.id, Addr: m.addr, SendDeadline: f.controller.membership.leaseValidUntil, Epoch: epoch, Incarnation: m.incarnation}, func(d message.WorkerResponse) {
		if f.controller.shardLeader == nil || f.controller.shardLeader.generation != gen {
			return
		}
		m.dispatchInFlight = false
		f.controller.shardLeader.failover.contactsInFlight--
		f.controller.shardLeader.failover.contactInheritedMachines()
		if m.removed {
			return
		}
		if !d.NotSent && f.controller.shardLeader.heartbeats.applyPollReply(m, d.Heartbeat, was) {
			f.controller.markDispatchPending(m)
		}
	})
}

// addInherited has a machine contacted, after those that wait already.
func (f *failover) addInherited(m *machine) { f.inheritedMachines = append(f.inheritedMachines, m) }

// contactAll reaches all machines at once, those with live attempts first: the epoch ends
// what an earlier leader may still command, and their heartbeats are the proof. Those
// without are contacted as well, or they would stay with a leader that has lost only the
// store, for the whole of its grace.
func (f *failover) contactAll() {
	f.inheritedMachines = slices.Clone(f.controller.shardLeader.machinesByID)
	f.controller.ranking.sortInheritedByRank(f.inheritedMachines)
	f.contactInheritedMachines()
}

// noteHigherEpoch notes that a machine's worker has seen a higher epoch than this controller's.
func (f *failover) noteHigherEpoch(machine string) {
	if f.higherEpochSeen[machine].IsZero() {
		f.higherEpochSeen[machine] = f.now
	}
}

// clearHigherEpoch notes that a machine's worker accepts this controller's epoch, or that the
// machine is another controller's now.
func (f *failover) clearHigherEpoch(machine string) { delete(f.higherEpochSeen, machine) }

// sweep polls silent machines, ends the leases that ran out, drains reclaimed machines and
// drops attempts that were never sent.
func (f *failover) sweep() {
	leader := f.controller.shardLeader
	f.contactInheritedMachines()
	for _, id := range sortedKeys(leader.remoteAttempts.machines) {
		if m := leader.remoteAttempts.machines[id]; m.reclaimNoticed {
			f.drainReclaimed(m)
		}
	}
	for _, m := range slices.Clone(leader.machinesByID) {
		if m.expectsHeartbeats() && (f.sinceLastHeartbeat(m) > time.Duration(probeAfterIntervals*float64(f.maxHeartbeatInterval())) || !m.reachability.Reachable()) {
			f.contact(m)
		}
		if !m.leaseEnd.IsZero() && f.now.After(m.leaseEnd) {
			if !m.isEmpty() {
				f.leaseExpired(m)
				continue
			}
			// If it is ever heard of again, it is another incarnation and empty.
			leader.removeMachine(m)
			continue
		}
		if m.reclaimNoticed {
			f.drainReclaimed(m)
		}
		for _, k := range m.attemptsWhere(func(t *task) bool { return t.stopReason != stopNone && !t.startSent }) {
			// Never sent, so it is nowhere.
			f.controller.shardLeader.endAttempt(leader.jobs[k.job], k.index, false)
		}
	}
}

// leaseExpired ends a worker lease that has run out, with all attempts on the machine, once it
// is confirmed that the machine was this controller's until then: another owner would have
// renewed it.
func (f *failover) leaseExpired(m *machine) {
	if f.now.Sub(m.ownershipCheckedAt) < leaseCheckInterval {
		return
	}
	m.ownershipCheckedAt = f.now
	gen := f.controller.shardLeader.generation
	f.controller.membership.confirmControlRecords(func() {
		if f.controller.shardLeader == nil || f.controller.shardLeader.generation != gen || m.removed || !f.now.After(m.leaseEnd) {
			return
		}
		f.info("worker lease expired", "machine", m.id, "attempts", len(m.attempts))
		f.controller.shardLeader.heartbeats.loseAllAttempts(m, nil)
	})
}

// drainReclaimed stops what can't end before the cloud reclaims the machine: tasks with
// checkpoints just in time for one more; others at once, since they are lost in any case and
// can start elsewhere the sooner.
func (f *failover) drainReclaimed(m *machine) {
	untilReclaim := m.reclaimAt.Sub(f.now)
	for _, k := range sortedAttempts(m) {
		t := m.attempts[k]
		j := f.controller.shardLeader.jobs[k.job]
		if t.stopReason != stopNone {
			continue
		}
		remaining := f.controller.knowledge.expectedRunTime(j)
		if !t.startedAt.IsZero() {
			remaining -= f.now.Sub(t.startedAt)
		}
		checkpoints := j.CheckpointInterval > 0 && !t.startedAt.IsZero()
		if checkpoints && untilReclaim < j.CheckpointCost+f.maxHeartbeatInterval() || !checkpoints && (j.LongRunning || remaining.Seconds() > reclaimNoticeFactor*untilReclaim.Seconds()) {
			t.stopReason = stopDrain
			f.controller.markDispatchPending(m)
		}
	}
}

// expectsHeartbeats says that heartbeats of a machine should come: some have, or a former
// owner had work on it.
func (m *machine) expectsHeartbeats() bool { return m.heard || !m.isEmpty() }

// sinceLastHeartbeat is how long nothing has been heard of a machine. After a failover it
// counts from when this shard leader was ready, and for a machine that came later, perhaps
// with work, from when it came.
func (f *failover) sinceLastHeartbeat(m *machine) time.Duration {
	return f.now.Sub(later(later(m.lastHeard, m.ownedSince), f.controller.shardLeader.readyAt))
}

// unresponsive says that a machine has missed heartbeats and does not answer polls. One that a
// former owner had work on counts as well, though it was never heard here: it may have been
// lost before the failover.
func (h *heartbeatTracker) unresponsive(m *machine) bool {
	if !m.expectsHeartbeats() {
		return false
	}
	if m.reclaimNoticed && h.now.After(m.reclaimAt) {
		// Reclaimed, as announced.
		return h.controller.shardLeader.failover.sinceLastHeartbeat(m) > h.maxHeartbeatInterval()
	}
	return h.controller.shardLeader.failover.sinceLastHeartbeat(m) > h.unresponsiveAfter(m) && h.now.Sub(m.reroutedAt) > h.unresponsiveAfter(m)
}

// unresponsiveAfter is how long nothing must have been heard of a machine.
func (h *heartbeatTracker) unresponsiveAfter(m *machine) time.Duration {
	limit := time.Duration(probeAfterIntervals*float64(h.maxHeartbeatInterval())) + unresponsiveProbes*probeInterval
	if m.heard && m.unansweredProbes < unresponsiveProbes {
		// Not polled often enough, since too many polls were under way.
		limit *= 2
	}
	return limit
}

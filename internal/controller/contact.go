package controller

import (
	"slices"
	"time"

	"github.com/micahill/micahill/internal/message"
)

const (
	// probeAfterIntervals is after how many of the longest report intervals a silent
	// machine is asked directly. When it has not answered unresponsiveProbes times,
	// it is taken for lost and returned rather than waited for. Where reports
	// are seldom, waiting for several of them to be missed would cost its tasks
	// the longer.
	probeAfterIntervals = 1.15
	unresponsiveProbes  = 2
	// probeInterval separates the questions to a silent machine.
	probeInterval = 3 * time.Second
	// maxContactsInFlight bounds the questions to machines that are under way: those
	// to silent hosts hang, and a successor has a thousand to ask.
	maxContactsInFlight = 48
)

// contact asks a machine of a former owner for its status and so learns its
// tenure, which orders need; the orders carry the higher epoch.
func (n *Controller) contact(m *machine) {
	if m.addr == "" || m.dispatchInFlight || m.statusRequested || m.releasing || n.now.Sub(m.probed) < probeInterval {
		return
	}
	if n.shardLeader.contactsInFlight >= maxContactsInFlight {
		return
	}
	m.statusRequested, m.probed = true, n.now
	n.shardLeader.contactsInFlight++
	gen, was := n.shardLeader.generation, m.snapshot()
	n.requestWorker(message.WorkerRequest{Machine: m.id, Addr: m.addr, StatusOnly: true}, func(d message.WorkerResponse) {
		if n.shardLeader == nil || n.shardLeader.generation != gen {
			return
		}
		m.statusRequested = false
		n.shardLeader.contactsInFlight--
		n.contactInheritedMachines()
		if d.NotSent || m.removed {
			return
		}
		if !applyPollReply(n, m, d.Heartbeat, was) {
			return
		}
		if m.seenEpoch < m.epoch && !m.dispatchInFlight {
			n.showEpoch(m)
			return
		}
		if stopping := m.attemptsWhere(func(t *task) bool { return t.stopReason != stopNone }); len(stopping) > 0 || m.hasOthersAttempts {
			// The order may be lost, and perhaps no report comes: of a machine that reaches
			// no controller, answers are all that is heard.
			n.markDispatchPending(m)
		}
	})
}

// contactInheritedMachines goes on reaching the machines of a former owner, some at a time,
// those with work first. One that has reported meanwhile has heard of the epoch.
func (n *Controller) contactInheritedMachines() {
	o := n.shardLeader
	for len(o.inheritedMachines) > 0 && o.contactsInFlight < maxContactsInFlight {
		m := o.inheritedMachines[0]
		o.inheritedMachines = o.inheritedMachines[1:]
		if !m.removed && m.seenEpoch < m.epoch {
			n.contact(m)
		}
	}
}

// showEpoch shows the worker the current epoch with an empty order.
func (n *Controller) showEpoch(m *machine) {
	gen, epoch := n.shardLeader.generation, m.epoch
	m.dispatchInFlight = true
	n.shardLeader.contactsInFlight++
	was := m.snapshot()
	n.requestWorker(message.WorkerRequest{Machine: m.id, Addr: m.addr, SendDeadline: n.membership.leaseValidUntil, Epoch: epoch, Incarnation: m.incarnation}, func(d message.WorkerResponse) {
		if n.shardLeader == nil || n.shardLeader.generation != gen {
			return
		}
		m.dispatchInFlight = false
		n.shardLeader.contactsInFlight--
		n.contactInheritedMachines()
		if m.removed {
			return
		}
		if !d.NotSent && applyPollReply(n, m, d.Heartbeat, was) {
			n.markDispatchPending(m)
		}
	})
}

// sweep looks for leases that ran out and for attempts that were never sent.
func (n *Controller) sweep() {
	o := n.shardLeader
	n.contactInheritedMachines()
	for _, id := range sortedKeys(o.remoteMachines) {
		if m := o.remoteMachines[id]; m.reclaimNoticed {
			n.drainReclaimed(m)
		}
	}
	for _, m := range slices.Clone(o.machinesByID) {
		if m.expectsHeartbeats() && (n.sinceLastHeartbeat(m) > time.Duration(probeAfterIntervals*float64(n.maxHeartbeatInterval())) || !m.reachability.Reachable()) {
			n.contact(m)
		}
		if !m.leaseEnd.IsZero() && n.now.After(m.leaseEnd) {
			if !m.isEmpty() {
				n.leaseExpired(m)
				continue
			}
			// If it is ever heard of again, it is in a later tenure and empty.
			o.removeMachine(m)
			continue
		}
		if m.reclaimNoticed {
			n.drainReclaimed(m)
		}
		for _, k := range m.attemptsWhere(func(t *task) bool { return t.stopReason != stopNone && !t.startSent }) {
			// Never told to anybody, so it is nowhere.
			n.endAttempt(o.jobs[k.job], k.index, false)
		}
	}
}

// leaseExpired counts a lease that has run out, with all that the machine had on it, once
// it is sure that the machine was this owner's until then: another one would have
// prolonged it.
func (n *Controller) leaseExpired(m *machine) {
	if n.now.Sub(m.ownershipCheckedAt) < leaseCheckInterval {
		return
	}
	m.ownershipCheckedAt = n.now
	gen := n.shardLeader.generation
	n.confirmControlRecords(func() {
		if n.shardLeader == nil || n.shardLeader.generation != gen || m.removed || !n.now.After(m.leaseEnd) {
			return
		}
		n.info("lease surely over", "machine", m.id, "attempts", len(m.attempts))
		n.loseAllAttempts(m, nil)
	})
}

// leaseCheckInterval separates two looks at the division for a lease that is over, when the
// first got no answer.
const leaseCheckInterval = 2 * time.Second

// reclaimNoticeFactor is how much longer than announced a machine may stay.
const reclaimNoticeFactor = 1.5

// drainReclaimed stops what cannot end before the cloud takes the machine: what saves,
// just in time to save; other work at once, as it is lost in any case and can
// begin elsewhere the sooner.
func (n *Controller) drainReclaimed(m *machine) {
	untilReclaim := m.reclaimAt.Sub(n.now)
	for _, k := range sortedAttempts(m) {
		t := m.attempts[k]
		j := n.shardLeader.jobs[k.job]
		if t.stopReason != stopNone {
			continue
		}
		remaining := n.expectedRunTime(j)
		if !t.startedAt.IsZero() {
			remaining -= n.now.Sub(t.startedAt)
		}
		checkpoints := j.CheckpointInterval > 0 && !t.startedAt.IsZero()
		if checkpoints && untilReclaim < j.CheckpointCost+n.maxHeartbeatInterval() || !checkpoints && (j.LongRunning || remaining.Seconds() > reclaimNoticeFactor*untilReclaim.Seconds()) {
			t.stopReason = stopDrain
			n.markDispatchPending(m)
		}
	}
}

// maxHeartbeatInterval is the longest pause between two reports of a living worker.
func (n *Controller) maxHeartbeatInterval() time.Duration {
	return n.settings.HeartbeatInterval * 5 / 4
}

// expectsHeartbeats says that a machine should be heard of: it has been, or a former owner
// had work on it.
func (m *machine) expectsHeartbeats() bool { return m.heard || !m.isEmpty() }

// sinceLastHeartbeat is how long nothing has been heard of a machine; after a takeover
// the count begins when this owner was ready to hear, and of a machine that comes
// later, perhaps with work, when it came.
func (n *Controller) sinceLastHeartbeat(m *machine) time.Duration {
	return n.now.Sub(later(later(m.lastHeard, m.ownedSince), n.shardLeader.readyAt))
}

// unresponsive says that a machine has missed reports and does not answer. One that
// a former owner had work on counts as well, though it was never heard of here:
// it may have been lost before the takeover.
func (n *Controller) unresponsive(m *machine) bool {
	if !m.expectsHeartbeats() {
		return false
	}
	if m.reclaimNoticed && n.now.After(m.reclaimAt) {
		// Taken, as it was announced.
		return n.sinceLastHeartbeat(m) > n.maxHeartbeatInterval()
	}
	return n.sinceLastHeartbeat(m) > n.unresponsiveAfter(m) && n.now.Sub(m.reroutedAt) > n.unresponsiveAfter(m)
}

// unresponsiveAfter is how long nothing must have been heard of a machine.
func (n *Controller) unresponsiveAfter(m *machine) time.Duration {
	limit := time.Duration(probeAfterIntervals*float64(n.maxHeartbeatInterval())) + unresponsiveProbes*probeInterval
	if m.heard && m.unansweredProbes < unresponsiveProbes {
		// Not asked often enough, for want of connections.
		limit *= 2
	}
	return limit
}

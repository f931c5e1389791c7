package controller

import (
	"time"

	"github.com/micahill/micahill/internal/message"
	"github.com/micahill/micahill/internal/model"
)

// stale_heartbeat.go recognizes copies of heartbeats that the machine's own state can't
// reveal: the machine was removed and comes back under the epoch that it had, or its newest
// heartbeats went to another controller. Such a copy looks like the newest message of the
// machine. If the copy were applied, a machine that is gone would count as alive, get tasks
// and have its lease renewed.

// lastHeartbeatTTL is how long the newest heartbeat of a removed machine is kept. Messages
// can arrive minutes late.
const lastHeartbeatTTL = 10 * time.Minute

// lastHeartbeat identifies the newest known heartbeat of a machine and says when it arrived.
type lastHeartbeat struct {
	epoch, incarnation, sequence uint64
	receivedAt                   time.Time
	// commandEpoch is the machine's command epoch when it was removed.
	commandEpoch uint64
}

// supersedes reports whether heartbeat was sent no later than the last one. A heartbeat with a
// higher epoch was sent later, even if the worker has restarted in between.
func (last lastHeartbeat) supersedes(heartbeat *model.Heartbeat) bool {
	return heartbeat.Epoch < last.epoch || heartbeat.Epoch == last.epoch && (heartbeat.Incarnation < last.incarnation || heartbeat.Incarnation == last.incarnation && heartbeat.Sequence <= last.sequence)
}

// keepLastHeartbeat stores the newest heartbeat of a machine that is being removed.
func (tracker *heartbeatTracker) keepLastHeartbeat(m *machine) {
	if !m.heard {
		// The heartbeat stored at an earlier removal stays.
		return
	}
	if tracker.lastHeartbeats == nil {
		tracker.lastHeartbeats = map[string]lastHeartbeat{}
	}
	for id, last := range tracker.lastHeartbeats {
		if m.newestMessageAt.Sub(last.receivedAt) > lastHeartbeatTTL {
			delete(tracker.lastHeartbeats, id)
		}
	}
	tracker.lastHeartbeats[m.id] = lastHeartbeat{m.seenEpoch, m.incarnation, m.sequence, m.newestMessageAt, m.commandEpoch}
}

// lastHeartbeat returns the heartbeat that a new heartbeat of the machine must be newer
// than, in addition to the machine's own state, and false if none is known.
func (tracker *heartbeatTracker) lastHeartbeat(id string) (lastHeartbeat, bool) {
	m := tracker.controller.shardLeader.machines[id]
	if m == nil || !m.heard {
		last, ok := tracker.lastHeartbeats[id]
		return last, ok
	}
	// A worker that another controller sends here arrives at once. A heartbeat that is no
	// newer than the rerouted one and arrives after heartbeatReplyTimeout is a copy.
	return lastHeartbeat{epoch: m.rerouted.Epoch, incarnation: m.rerouted.Incarnation, sequence: m.rerouted.Sequence, receivedAt: m.reroutedAt}, m.rerouted.ID != "" && tracker.now.Sub(m.reroutedAt) > heartbeatReplyTimeout
}

// handleStaleHeartbeat answers a heartbeat that is a copy of an earlier heartbeat, and
// reports whether the heartbeat is such a copy. No worker waits for the reply. The worker
// may have restarted; its reply to a poll will show that.
func (controller *Controller) handleStaleHeartbeat(received *message.WorkerHeartbeat) bool {
	leader, heartbeat := controller.shardLeader, &received.Heartbeat
	if leader == nil || !leader.ready || controller.knowledge.released[heartbeat.Machine] {
		return false
	}
	last, ok := leader.heartbeats.lastHeartbeat(heartbeat.Machine)
	if !ok || !last.supersedes(heartbeat) {
		return false
	}
	if segment, owned := controller.membership.ownedMachine(heartbeat.Machine); !owned || heartbeat.Epoch > leader.commandEpoch(heartbeat.Machine, segment.Epoch) {
		return false
	}
	m := leader.ensureMachine(heartbeat.Machine)
	if m.addr == "" {
		leader.describe(m, heartbeat.Addr, heartbeat.MachineType, heartbeat.Zone, heartbeat.Spot)
	}
	if !m.heard {
		// Unless the machine sends a new message, it is removed again when this lease has
		// expired.
		m.leaseEnd = later(m.leaseEnd, controller.renewal.leaseEndAfter(controller.now))
	}
	leader.failover.contact(m)
	controller.emit(message.HeartbeatReply{Reply: received.Reply, Status: 503})
	return true
}

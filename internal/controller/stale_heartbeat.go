package controller

import (
	"time"

	"github.com/micahill/micahill/internal/message"
	"github.com/micahill/micahill/internal/model"
)

// stale_heartbeat.go recognizes copies of heartbeats where the machine's own state can't: the
// machine was removed since and comes back under the epoch that it had, or its newest
// heartbeats went to another controller. Such a copy looks like the newest message ever. If
// it were believed, a machine that is gone would seem alive, get work and have its lease
// prolonged.

// lastHeartbeatTTL is how long the newest heartbeat of a removed machine is kept. Messages can
// arrive minutes late.
const lastHeartbeatTTL = 10 * time.Minute

// lastHeartbeat is the newest heartbeat that is known of a machine, and when it came.
type lastHeartbeat struct {
	epoch, incarnation, sequence uint64
	receivedAt                   time.Time
}

// supersedes says that a heartbeat was sent no later than the last one. One that shows a higher
// epoch was sent later, also by a worker that has restarted.
func (l lastHeartbeat) supersedes(r *model.Heartbeat) bool {
	return r.Epoch < l.epoch || r.Epoch == l.epoch && (r.Incarnation < l.incarnation || r.Incarnation == l.incarnation && r.Sequence <= l.sequence)
}

// keepLastHeartbeat keeps the newest heartbeat of a machine that is removed.
func (h *heartbeatTracker) keepLastHeartbeat(m *machine) {
	if !m.heard {
		// What is kept from an earlier removal stays.
		return
	}
	if h.lastHeartbeats == nil {
		h.lastHeartbeats = map[string]lastHeartbeat{}
	}
	for id, last := range h.lastHeartbeats {
		if m.newestMessageAt.Sub(last.receivedAt) > lastHeartbeatTTL {
			delete(h.lastHeartbeats, id)
		}
	}
	h.lastHeartbeats[m.id] = lastHeartbeat{m.seenEpoch, m.incarnation, m.sequence, m.newestMessageAt}
}

// lastHeartbeat is what a heartbeat must be newer than, beside what the machine itself knows.
func (h *heartbeatTracker) lastHeartbeat(id string) (lastHeartbeat, bool) {
	m := h.controller.shardLeader.machines[id]
	if m == nil || !m.heard {
		last, ok := h.lastHeartbeats[id]
		return last, ok
	}
	// A worker that another controller sends here comes at once: later it is a copy.
	return lastHeartbeat{m.rerouted.Epoch, m.rerouted.Incarnation, m.rerouted.Sequence, m.reroutedAt}, m.rerouted.ID != "" && h.now.Sub(m.reroutedAt) > heartbeatReplyTimeout
}

// handleStaleHeartbeat deals with a heartbeat that is such a copy, and says whether it is one. No
// worker waits for the answer. The worker may have restarted: its reply to a poll will tell.
func (c *Controller) handleStaleHeartbeat(hb *message.WorkerHeartbeat) bool {
	s, r := c.shardLeader, &hb.Heartbeat
	if s == nil || !s.ready || c.knowledge.released[r.Machine] {
		return false
	}
	last, ok := s.heartbeats.lastHeartbeat(r.Machine)
	if !ok || !last.supersedes(r) {
		return false
	}
	if segment, mine := c.membership.ownedMachine(r.Machine); !mine || r.Epoch > segment.Epoch {
		return false
	}
	m := s.ensureMachine(r.Machine)
	if m.addr == "" {
		s.describe(m, r.Addr, r.MachineType, r.Zone, r.Spot)
	}
	if !m.heard {
		// If nothing comes from it, it is removed again when this lease is over.
		m.leaseEnd = later(m.leaseEnd, c.renewal.leaseEndAfter(c.now))
	}
	s.failover.contact(m)
	c.emit(message.HeartbeatReply{Reply: hb.Reply, Status: 503})
	return true
}

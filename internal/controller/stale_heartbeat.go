package controller

import (
	"time"

	"github.com/micahill/micahill/internal/message"
	"github.com/micahill/micahill/internal/model"
)

// stale_heartbeat.go tells copies of reports from news where the books of their machine can't: the
// machine has been dropped since and is taken up under the epoch that it had, or its
// newest messages came to another controller. Such a copy looks like the newest that was
// ever heard. Taken for that, it would be a sign of life of a machine that is gone, have
// work placed there and put the end of a lease off.

// lastHeartbeatTTL is how long the newest message of a dropped machine is remembered. Messages
// can arrive minutes late.
const lastHeartbeatTTL = 10 * time.Minute

// lastHeartbeat is the newest message that is known of a machine, and when it came.
type lastHeartbeat struct {
	epoch, incarnation, sequence uint64
	receivedAt                   time.Time
}

// supersedes says that a report was sent no later than the last word. One that shows a higher
// epoch was sent later, also by a worker that has begun anew.
func (w lastHeartbeat) supersedes(r *model.Heartbeat) bool {
	return r.Epoch < w.epoch || r.Epoch == w.epoch && (r.Incarnation < w.incarnation || r.Incarnation == w.incarnation && r.Sequence <= w.sequence)
}

// keepLastHeartbeat keeps the last word of a machine that is dropped.
func (s *shardLeader) keepLastHeartbeat(m *machine) {
	if !m.heard {
		// Of before, if there is one.
		return
	}
	if s.heartbeats.lastHeartbeats == nil {
		s.heartbeats.lastHeartbeats = map[string]lastHeartbeat{}
	}
	for id, w := range s.heartbeats.lastHeartbeats {
		if m.newestMessageAt.Sub(w.receivedAt) > lastHeartbeatTTL {
			delete(s.heartbeats.lastHeartbeats, id)
		}
	}
	s.heartbeats.lastHeartbeats[m.id] = lastHeartbeat{m.seenEpoch, m.incarnation, m.sequence, m.newestMessageAt}
}

// lastHeartbeat is what a report of a machine must be newer than, beside what its books say.
func (s *shardLeader) lastHeartbeat(n *Controller, id string) (lastHeartbeat, bool) {
	m := s.machines[id]
	if m == nil || !m.heard {
		w, ok := s.heartbeats.lastHeartbeats[id]
		return w, ok
	}
	// A worker that another controller sends here comes at once.
	return lastHeartbeat{m.rerouted.Epoch, m.rerouted.Incarnation, m.rerouted.Sequence, m.reroutedAt}, m.rerouted.ID != "" && n.now.Sub(m.reroutedAt) > heartbeatReplyTimeout
}

// handleStaleHeartbeat deals with a report that is such a copy, and says whether it is one. Nobody
// waits for its answer. Perhaps its worker has begun anew: its own answer would tell.
func handleStaleHeartbeat(n *Controller, c *message.WorkerHeartbeat) bool {
	o, r := n.shardLeader, &c.Heartbeat
	if o == nil || !o.ready || n.knowledge.released[r.Machine] {
		return false
	}
	last, ok := o.lastHeartbeat(n, r.Machine)
	if !ok || !last.supersedes(r) {
		return false
	}
	if x, mine := n.membership.ownedMachine(r.Machine); !mine || r.Epoch > x.Epoch {
		return false
	}
	m := n.shardLeader.ensureMachine(r.Machine)
	if m.addr == "" {
		n.shardLeader.describe(m, r.Addr, r.MachineType, r.Zone, r.Spot)
	}
	if !m.heard {
		// Never heard of again, it is dropped again.
		m.leaseEnd = later(m.leaseEnd, n.renewal.leaseEndAfter(n.now))
	}
	n.shardLeader.failover.contact(m)
	n.emit(message.HeartbeatReply{Reply: c.Reply, Status: 503})
	return true
}

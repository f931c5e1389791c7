package controller

import (
	"time"

	"github.com/micahill/micahill/internal/message"
	"github.com/micahill/micahill/internal/record"
)

// cancellation_gossip.go has controllers publish cancellations to each other. The record in the
// store decides, and the shard leader of a job gets it from its watch. One that has lost the
// store does not: the leases of its machines bound how long the tasks last (see
// renewal_bound.go), at the price of all other tasks there. So whoever has confirmed a
// cancellation publishes it too, once its record is durable, and again until it is
// acknowledged. A controller that does not lead the job's shard passes it on to the one that
// does, whose link to the first may be cut. A published cancellation stops tasks but does not
// advance watchCache.asOf, since nobody vouches that it is the only one.

const (
	// cancellationBatchDelay is how long a cancellation waits for others to share its update.
	cancellationBatchDelay = 50 * time.Millisecond
	// cancellationResendInterval separates two updates with the same cancellation to a peer
	// that has not acknowledged it.
	cancellationResendInterval = time.Second
	// maxUnackedCancellations bounds what is published at a time; for more the store has to do.
	maxUnackedCancellations = 2000
)

// unackedCancellation is a cancellation that some peers have not acknowledged yet.
type unackedCancellation struct {
	cancellation message.Cancellation
	// unackedPeers has when it was last sent to each of those peers.
	unackedPeers map[string]time.Time
	expiresAt    time.Time
}

// cancellationGossip publishes confirmed cancellations to peers and receives theirs. Every
// controller has one; it is used whether or not it leads a shard. What is unacknowledged when
// the process ends is left to the store's watches.
type cancellationGossip struct {
	component

	// unacked is by job.
	unacked map[string]*unackedCancellation
	// batching: publishPending is scheduled after cancellationBatchDelay; resending: after
	// cancellationResendInterval.
	batching, resending bool
}

// publish publishes a cancellation whose record is durable.
func (g *cancellationGossip) publish(cancellation message.Cancellation, peers []string) {
	if g.unacked[cancellation.ID] != nil || len(g.unacked) >= maxUnackedCancellations || len(peers) == 0 {
		return
	}
	// After the bound the workers' leases have stopped the tasks.
	pending := &unackedCancellation{cancellation: cancellation, unackedPeers: map[string]time.Time{}, expiresAt: g.now.Add(g.settings.CancellationBound)}
	for _, p := range peers {
		pending.unackedPeers[p] = time.Time{}
	}
	g.unacked[cancellation.ID] = pending
	if !g.batching {
		g.batching = true
		g.after(cancellationBatchDelay, func() {
			g.batching = false
			g.publishPending()
		})
	}
}

// publishPending sends what is not acknowledged, and again as long as there is any.
func (g *cancellationGossip) publishPending() {
	byPeer := map[string][]message.Cancellation{}
	for _, id := range sortedKeys(g.unacked) {
		pending := g.unacked[id]
		if g.now.After(pending.expiresAt) || len(pending.unackedPeers) == 0 {
			delete(g.unacked, id)
			continue
		}
		for p, sentAt := range pending.unackedPeers {
			if g.now.Sub(sentAt) >= cancellationResendInterval && len(byPeer[p]) < message.MaxCancellationsPerUpdate {
				pending.unackedPeers[p] = g.now
				byPeer[p] = append(byPeer[p], pending.cancellation)
			}
		}
	}
	for _, p := range sortedKeys(byPeer) {
		g.emit(message.SendPeerUpdate{To: p, Update: message.PeerUpdate{From: g.settings.Host, Cancellations: byPeer[p]}})
	}
	if len(g.unacked) > 0 && !g.resending {
		g.resending = true
		g.after(cancellationResendInterval, func() {
			g.resending = false
			g.publishPending()
		})
	}
}

// receive takes in cancellations that a peer published. One that does not fit what the watch
// cache has of the job is ignored: the record will come.
func (g *cancellationGossip) receive(from string, cancellations []message.Cancellation) {
	var acks []string
	for _, c := range cancellations {
		acks = append(acks, c.ID)
		var r record.OpenJob
		if !record.Decode(c.Record, &r) || !r.Cancelled || r.Validate() != nil {
			g.rejectInput("peer update", from, "cancellation unreadable")
			continue
		}
		cached, open := g.controller.frontend.watchCache.openJobs[c.ID]
		if !open || cached.rec.Cancelled || c.ModRevision <= cached.modRevision || r.SubmittedAtMillis != cached.rec.SubmittedAtMillis || r.Team != cached.rec.Team || r.Tasks != cached.rec.Tasks {
			continue
		}
		if g.controller.shardLeader != nil && g.controller.shardLeader.jobs[c.ID] != nil {
			g.controller.observeOwnWrite(message.KeyValue{Key: record.OpenJobPrefix + c.ID, Value: c.Record, ModRevision: c.ModRevision})
			continue
		}
		if shard := g.controller.membership.shardMap.Team(r.Team); shard != nil && shard.Host != g.settings.Host && shard.Host != from {
			g.publish(c, []string{shard.Host})
		}
	}
	g.emit(message.SendPeerUpdate{To: from, Update: message.PeerUpdate{From: g.settings.Host, CancellationAcks: acks}})
}

// acknowledge notes that a peer has received cancellations.
func (g *cancellationGossip) acknowledge(from string, jobs []string) {
	for _, id := range jobs {
		if x := g.unacked[id]; x != nil {
			delete(x.unackedPeers, from)
		}
	}
}

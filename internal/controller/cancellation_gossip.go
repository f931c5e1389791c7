package controller

import (
	"time"

	"github.com/micahill/micahill/internal/message"
	"github.com/micahill/micahill/internal/record"
)

// cancellation_gossip.go has controllers tell each other of cancellations. The record in the state
// service is what counts, and a job's owner hears of it by its watch. One that has lost
// the state service would not: its machines' leases bound how long the tasks last (see
// renewal_bound.go), at the price of everything else on them. So whoever has confirmed a
// cancellation tells the others too, once its record is durable, and again until they say
// that they have heard; who does not own the job passes it on to its owner, whose link to
// the first may be cut. What is told this way stops tasks and proves nothing: it moves no
// horizon, since nobody vouches that it is all there is.

const (
	// cancellationBatchDelay is how long a cancellation waits for others to share its message.
	cancellationBatchDelay = 50 * time.Millisecond
	// cancellationResendInterval separates two messages of the same to a peer that has not answered.
	cancellationResendInterval = time.Second
	maxUnackedCancellations    = 2000
)

// unackedCancellation is what was told to peers that have not acknowledged it yet.
type unackedCancellation struct {
	cancellation message.Cancellation
	// unackedPeers are those peers, and when it was last sent to them.
	unackedPeers map[string]time.Time
	expiresAt    time.Time
}

// cancellationGossip is what this node has told peers: by job, whether some wait for more to go
// with them, and whether some will be sent again.
type cancellationGossip struct {
	component

	unacked             map[string]*unackedCancellation
	batching, resending bool
}

// publish tells peers of a cancellation whose record is durable.
func (g *cancellationGossip) publish(cancellation message.Cancellation, peers []string) {
	if g.unacked[cancellation.ID] != nil || len(g.unacked) >= maxUnackedCancellations || len(peers) == 0 {
		return
	}
	// Later the lease has done what this is for.
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

// publishPending sends what is owed, and goes on as long as anything is.
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

// receive takes in cancellations that a peer tells of. One that does not fit what is
// known of the job is passed over: the record will tell.
func (g *cancellationGossip) receive(from string, cancellations []message.Cancellation) {
	var acks []string
	for _, c := range cancellations {
		acks = append(acks, c.ID)
		var r record.OpenJob
		if !record.Decode(c.Record, &r) || !r.Cancelled || r.Validate() != nil {
			g.rejectInput("news", from, "a cancellation that can't be read")
			continue
		}
		l, open := g.controller.frontend.watchCache.openJobs[c.ID]
		if !open || l.rec.Cancelled || c.ModRevision <= l.modRevision || r.SubmittedAtMillis != l.rec.SubmittedAtMillis || r.Team != l.rec.Team || r.Tasks != l.rec.Tasks {
			continue
		}
		if g.controller.shardLeader != nil && g.controller.shardLeader.jobs[c.ID] != nil {
			g.controller.observeOwnWrite(message.KeyValue{Key: record.OpenJobPrefix + c.ID, Value: c.Record, ModRevision: c.ModRevision})
			continue
		}
		if s := g.controller.membership.shardMap.Team(r.Team); s != nil && s.Host != g.settings.Host && s.Host != from {
			g.publish(c, []string{s.Host})
		}
	}
	g.emit(message.SendPeerUpdate{To: from, Update: message.PeerUpdate{From: g.settings.Host, CancellationAcks: acks}})
}

// acknowledge notes that a peer has heard of cancellations.
func (g *cancellationGossip) acknowledge(from string, jobs []string) {
	for _, id := range jobs {
		if x := g.unacked[id]; x != nil {
			delete(x.unackedPeers, from)
		}
	}
}

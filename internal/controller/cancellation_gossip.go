package controller

import (
	"time"

	"github.com/micahill/micahill/internal/message"
	"github.com/micahill/micahill/internal/record"
)

// cancellation_gossip.go implements the exchange of cancellations between controllers. The record
// in the store is authoritative, and the shard leader of a job gets the record from its watch. A
// shard leader that has lost the store does not get it. Then only the expiry of its machines'
// leases stops the tasks (see renewal_bound.go), which also ends all other tasks on these machines.
// So the controller that confirmed a cancellation also publishes it to its peers, once the record
// is durable, and repeats this until each peer has acknowledged it. A controller that does not lead
// the job's shard passes the cancellation on to the shard leader, since the link from the publisher
// to the shard leader may be cut. A published cancellation stops tasks but does not advance
// watchCache.asOf, since it does not prove that there are no other cancellations.

// Limits of the cancellation gossip.
const (
	// cancellationBatchDelay is how long a cancellation waits for further cancellations that can
	// be sent in the same update.
	cancellationBatchDelay = 50 * time.Millisecond
	// cancellationResendInterval is the minimum time between two updates with the same
	// cancellation to a peer that has not acknowledged it.
	cancellationResendInterval = time.Second
	// maxUnackedCancellations bounds the cancellations that are being published. Further
	// cancellations reach the other controllers only through the store.
	maxUnackedCancellations = 2000
)

// unackedCancellation is a cancellation that some peers have not acknowledged yet.
type unackedCancellation struct {
	cancellation message.Cancellation
	// unackedPeers maps each of these peers to the time at which the cancellation was last sent
	// to it.
	unackedPeers map[string]time.Time
	expiresAt    time.Time
}

// cancellationGossip publishes confirmed cancellations to peers and applies those that peers
// publish. Every controller has one, whether or not it leads a shard. Cancellations that are not
// acknowledged when the process ends reach the other controllers only through the store's watches.
type cancellationGossip struct {
	component

	// unacked maps job IDs to cancellations.
	unacked map[string]*unackedCancellation
	// batching: a call of publishPending is scheduled after cancellationBatchDelay. resending: a
	// call is scheduled after cancellationResendInterval.
	batching, resending bool
}

// publish publishes a cancellation to peers. Its record must be durable.
func (gossip *cancellationGossip) publish(cancellation message.Cancellation, peers []string) {
	if gossip.unacked[cancellation.ID] != nil || len(gossip.unacked) >= maxUnackedCancellations || len(peers) == 0 {
		return
	}
	// When CancellationBound has passed, the tasks have stopped because the workers' leases have
	// expired.
	pending := &unackedCancellation{cancellation: cancellation, unackedPeers: map[string]time.Time{}, expiresAt: gossip.now.Add(gossip.settings.CancellationBound)}
	for _, peer := range peers {
		pending.unackedPeers[peer] = time.Time{}
	}
	gossip.unacked[cancellation.ID] = pending
	if !gossip.batching {
		gossip.batching = true
		gossip.after(cancellationBatchDelay, func() {
			gossip.batching = false
			gossip.publishPending()
		})
	}
}

// publishPending sends the unacknowledged cancellations that are due, and schedules itself again as
// long as there are any.
func (gossip *cancellationGossip) publishPending() {
	byPeer := map[string][]message.Cancellation{}
	for _, id := range sortedKeys(gossip.unacked) {
		pending := gossip.unacked[id]
		if gossip.now.After(pending.expiresAt) || len(pending.unackedPeers) == 0 {
			delete(gossip.unacked, id)
			continue
		}
		for peer, sentAt := range pending.unackedPeers {
			if gossip.now.Sub(sentAt) >= cancellationResendInterval && len(byPeer[peer]) < message.MaxCancellationsPerUpdate {
				pending.unackedPeers[peer] = gossip.now
				byPeer[peer] = append(byPeer[peer], pending.cancellation)
			}
		}
	}
	for _, peer := range sortedKeys(byPeer) {
		gossip.emit(message.SendPeerUpdate{To: peer, Update: message.PeerUpdate{From: gossip.settings.Host, Cancellations: byPeer[peer]}})
	}
	if len(gossip.unacked) > 0 && !gossip.resending {
		gossip.resending = true
		gossip.after(cancellationResendInterval, func() {
			gossip.resending = false
			gossip.publishPending()
		})
	}
}

// receive applies cancellations that a peer published, and acknowledges them. It ignores a
// cancellation that does not match the job in the watch cache: the watch will deliver the record.
func (gossip *cancellationGossip) receive(from string, cancellations []message.Cancellation) {
	var acks []string
	for _, cancellation := range cancellations {
		acks = append(acks, cancellation.ID)
		var openRecord record.OpenJob
		if !record.Decode(cancellation.Record, &openRecord) || !openRecord.Cancelled || openRecord.Validate() != nil {
			gossip.rejectInput("peer update", from, "cancellation unreadable")
			continue
		}
		cached, open := gossip.controller.frontend.watchCache.openJobs[cancellation.ID]
		if !open || cached.rec.Cancelled || cancellation.ModRevision <= cached.modRevision || openRecord.SubmittedAtMillis != cached.rec.SubmittedAtMillis || openRecord.Team != cached.rec.Team || openRecord.Tasks != cached.rec.Tasks {
			continue
		}
		if gossip.controller.shardLeader != nil && gossip.controller.shardLeader.jobs[cancellation.ID] != nil {
			gossip.controller.observeOwnWrite(message.KeyValue{Key: record.OpenJobPrefix + cancellation.ID, Value: cancellation.Record, ModRevision: cancellation.ModRevision})
			continue
		}
		if shard := gossip.controller.membership.shardMap.Team(openRecord.Team); shard != nil && shard.Host != gossip.settings.Host && shard.Host != from {
			gossip.publish(cancellation, []string{shard.Host})
		}
	}
	gossip.emit(message.SendPeerUpdate{To: from, Update: message.PeerUpdate{From: gossip.settings.Host, CancellationAcks: acks}})
}

// acknowledge records that a peer has received the cancellations of the given jobs.
func (gossip *cancellationGossip) acknowledge(from string, jobs []string) {
	for _, id := range jobs {
		if pending := gossip.unacked[id]; pending != nil {
			delete(pending.unackedPeers, from)
		}
	}
}

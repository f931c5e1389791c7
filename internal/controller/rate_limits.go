package controller

import (
	"math"
	"time"

	"github.com/micahill/micahill/internal/message"
	"github.com/micahill/micahill/internal/ratelimit"
)

// rate_limits.go divides the store's rate limits among the controllers: each publishes once a
// second what it uses, and computes its own part from what the others have published.

const (
	// ratesPublishInterval is how often a controller publishes its rates.
	ratesPublishInterval = time.Second
	// ratesTTL is how long published rates count. After that a live controller is taken to
	// need what its role mostly does.
	ratesTTL = 10 * time.Second
	// What a controller is taken to need as long as it has not published its rates, in requests
	// and writes a second: of a shard leader, and of the others.
	shardLeaderRequests, shardLeaderWrites = 25, 10
	followerRequests, followerWrites       = 8, 1.5
	// minRateChange is by what fraction a part must change to be emitted.
	minRateChange = 0.05
	// writeAheadWindow bounds the shard leader's writes in flight to what its part allows in
	// this time. Transactions put together as late as that share more writes, have the
	// most urgent first and fewer conflicts with cancellations, and leave some of the part to
	// what users wait for.
	writeAheadWindow = 500 * time.Millisecond
	// minWritesInFlight may be in flight however small the part is: the end of a job.
	minWritesInFlight = 2
)

// rateLimits computes this controller's part of the store's rate limits. Every controller has
// one from its start to its end; what is lost with it is published again within a second.
type rateLimits struct {
	component

	// requests and writes measure what this controller sends to the store, a second.
	requests, writes ratelimit.Meter
	// peers are the rates that other controllers have published, by host.
	peers map[string]peerRates

	// allotted is this controller's part, as last emitted. writesShort: what it writes has
	// less than the usual headroom in that.
	allotted    message.Rates
	writesShort bool
}

// peerRates is what a peer published last.
type peerRates struct {
	receivedAt time.Time
	message.Rates
}

// countRequest counts a request to the store.
func (r *rateLimits) countRequest(op *message.StoreRequest) {
	r.requests.Add(1)
	r.writes.Add(float64(len(op.Writes)))
}

// publishRates publishes what this controller uses and emits its part if that has changed. It
// calls itself again once a second.
func (r *rateLimits) publishRates() {
	r.after(ratesPublishInterval, r.publishRates)
	rates := message.Rates{Requests: r.requests.Rate(r.now), Writes: r.writes.Rate(r.now)}
	for _, peer := range r.settings.Peers {
		r.emit(message.SendPeerUpdate{To: peer, Update: message.PeerUpdate{From: r.settings.Host, Rates: &rates}})
	}
	if r.settings.StoreRequestsPerSecond <= 0 || r.settings.StoreWritesPerSecond <= 0 {
		return
	}
	requests, writes := []float64{rates.Requests}, []float64{rates.Writes}
	for _, host := range r.settings.Peers {
		if _, isLive := r.controller.membership.controllers[host]; !isLive && r.controller.membership.loaded {
			continue
		}
		peer := r.peers[host]
		if r.now.Sub(peer.receivedAt) > ratesTTL {
			peer.Rates = message.Rates{Requests: followerRequests, Writes: followerWrites}
			for _, s := range r.controller.membership.shardMap.Shards() {
				if s.Host == host && len(s.Teams) > 0 {
					peer.Rates = message.Rates{Requests: shardLeaderRequests, Writes: shardLeaderWrites}
				}
			}
		}
		requests, writes = append(requests, peer.Requests), append(writes, peer.Writes)
	}
	allotted := message.Rates{
		Requests: ratelimit.Allocate(r.settings.StoreRequestsPerSecond, requests)[0],
		Writes:   ratelimit.Allocate(r.settings.StoreWritesPerSecond, writes)[0],
	}
	r.writesShort = rates.Writes*ratelimit.Headroom > allotted.Writes*(1+minRateChange)
	if ratesDiffer(allotted.Requests, r.allotted.Requests) || ratesDiffer(allotted.Writes, r.allotted.Writes) {
		r.allotted = allotted
		r.emit(allotted)
	}
}

// shortOfWrites says that the part hardly allows the writes that can't wait.
func (r *rateLimits) shortOfWrites() bool { return r.writesShort }

// writesAllowed is how many more writes the shard leader may have in flight. Only while there is
// a shard leader.
func (r *rateLimits) writesAllowed() int {
	allotted := r.allotted.Writes
	if allotted <= 0 {
		allotted = r.settings.StoreWritesPerSecond / float64(1+len(r.settings.Peers))
	}
	if allotted <= 0 {
		return r.settings.MaxTxnWrites
	}
	return max(minWritesInFlight, int(allotted*writeAheadWindow.Seconds())) - r.controller.shardLeader.persistence.writesInFlight
}

// ratesDiffer says whether a differs from b by more than minRateChange.
func ratesDiffer(a, b float64) bool { return math.Abs(a-b) > minRateChange*b }

package controller

import (
	"math"
	"time"

	"github.com/micahill/micahill/internal/message"
	"github.com/micahill/micahill/internal/ratelimit"
)

// rate_limits.go divides the store's rate limits among the controllers. Each controller
// publishes the rates that it uses once a second, and computes its own share from the rates
// that the other controllers have published.

const (
	// ratesPublishInterval is how often a controller publishes its rates.
	ratesPublishInterval = time.Second
	// ratesTTL is how long published rates count. After that a live controller is assumed to
	// need the default rates of its role.
	ratesTTL = 10 * time.Second
	// shardLeaderRequests and shardLeaderWrites, in requests and writes a second, are the
	// assumed need of a shard leader with teams that has not published its rates.
	shardLeaderRequests, shardLeaderWrites = 25, 10
	// followerRequests and followerWrites, in requests and writes a second, are the assumed
	// need of any other controller that has not published its rates.
	followerRequests, followerWrites = 8, 1.5
	// minRateChange is the fraction by which this controller's share must change to be emitted
	// again.
	minRateChange = 0.05
	// writeAheadWindow bounds the shard leader's writes in flight to the number that its share
	// allows in this time. Transactions that are composed late combine more writes, put the most
	// urgent first and conflict less often with cancellations. They also leave some of the share
	// to requests that users wait for.
	writeAheadWindow = 500 * time.Millisecond
	// minWritesInFlight is the number of writes that may be in flight however small the share
	// is, so that the end of a job can always be written.
	minWritesInFlight = 2
)

// rateLimits computes this controller's share of the store's rate limits. It lives as long as
// the process. Its state is lost with the process, and the peers publish their rates again
// within a second.
type rateLimits struct {
	component

	// requests and writes measure the rates at which this controller sends requests and writes
	// to the store.
	requests, writes ratelimit.Meter
	// peers are the rates that other controllers have published, by host.
	peers map[string]peerRates

	// allotted is this controller's share, as last emitted. writesShort is set when the share
	// leaves the writes less than the usual headroom.
	allotted    message.Rates
	writesShort bool
}

// peerRates is the rates that a peer last published, and when they arrived.
type peerRates struct {
	receivedAt time.Time
	message.Rates
}

// countRequest counts a request that is sent to the store, and its writes.
func (limits *rateLimits) countRequest(request *message.StoreRequest) {
	limits.requests.Add(1)
	limits.writes.Add(float64(len(request.Writes)))
}

// publishRates publishes the rates that this controller uses, and emits its share if that has
// changed by more than minRateChange. It schedules itself again after ratesPublishInterval.
func (limits *rateLimits) publishRates() {
	limits.after(ratesPublishInterval, limits.publishRates)
	rates := message.Rates{Requests: limits.requests.Rate(limits.now), Writes: limits.writes.Rate(limits.now)}
	for _, peer := range limits.settings.Peers {
		limits.emit(message.SendPeerUpdate{To: peer, Update: message.PeerUpdate{From: limits.settings.Host, Rates: &rates}})
	}
	if limits.settings.StoreRequestsPerSecond <= 0 || limits.settings.StoreWritesPerSecond <= 0 {
		return
	}
	requests, writes := []float64{rates.Requests}, []float64{rates.Writes}
	for _, host := range limits.settings.Peers {
		if _, isLive := limits.controller.membership.controllers[host]; !isLive && limits.controller.membership.loaded {
			continue
		}
		peer := limits.peers[host]
		if limits.now.Sub(peer.receivedAt) > ratesTTL {
			peer.Rates = message.Rates{Requests: followerRequests, Writes: followerWrites}
			for _, shard := range limits.controller.membership.shardMap.Shards() {
				if shard.Host == host && len(shard.Teams) > 0 {
					peer.Rates = message.Rates{Requests: shardLeaderRequests, Writes: shardLeaderWrites}
				}
			}
		}
		requests, writes = append(requests, peer.Requests), append(writes, peer.Writes)
	}
	allotted := message.Rates{
		Requests: ratelimit.Allocate(limits.settings.StoreRequestsPerSecond, requests)[0],
		Writes:   ratelimit.Allocate(limits.settings.StoreWritesPerSecond, writes)[0],
	}
	limits.writesShort = rates.Writes*ratelimit.Headroom > allotted.Writes*(1+minRateChange)
	if ratesDiffer(allotted.Requests, limits.allotted.Requests) || ratesDiffer(allotted.Writes, limits.allotted.Writes) {
		limits.allotted = allotted
		limits.emit(allotted)
	}
}

// shortOfWrites reports whether the share has little left beyond the writes that can't be
// delayed.
func (limits *rateLimits) shortOfWrites() bool { return limits.writesShort }

// writesAllowed returns how many more writes the shard leader may have in flight; it may be
// negative. Call it only while there is a shard leader.
func (limits *rateLimits) writesAllowed() int {
	allotted := limits.allotted.Writes
	if allotted <= 0 {
		allotted = limits.settings.StoreWritesPerSecond / float64(1+len(limits.settings.Peers))
	}
	if allotted <= 0 {
		return limits.settings.MaxTxnWrites
	}
	return max(minWritesInFlight, int(allotted*writeAheadWindow.Seconds())) - limits.controller.shardLeader.persistence.writesInFlight
}

// ratesDiffer reports whether a differs from b by more than the fraction minRateChange of b.
func ratesDiffer(a, b float64) bool { return math.Abs(a-b) > minRateChange*b }

package controller

import (
	"math"
	"time"

	"github.com/micahill/micahill/internal/message"
	"github.com/micahill/micahill/internal/ratelimit"
)

// rate_limits.go divides the limits of the state service among the controllers: each tells
// the others once a second what it asks for, and reckons its own part.

const (
	// ratesPublishInterval is how often the others are told.
	ratesPublishInterval = time.Second
	// ratesTTL is how long a word counts; after that a controller that lives is
	// taken to need what its roles mostly do.
	ratesTTL = 10 * time.Second
	// ownerAsks and otherAsks are what a controller asks for a second, requests and
	// changes, as long as it has not said so.
	shardLeaderRequests, shardLeaderWrites = 25, 10
	followerRequests, followerWrites       = 8, 1.5
	// minRateChange is by how much a part must change to be passed on.
	minRateChange = 0.05
	// writeAheadWindow is for how long the owner's writes under way may keep its part of the
	// changes busy. What waits longer is put together late: it shares writes, the most
	// urgent comes first, jobs that were cancelled meanwhile fail no write of others, and
	// what users wait for finds the part with room.
	writeAheadWindow = 500 * time.Millisecond
	// minWritesInFlight is how many changes may be under way however small the part: an end.
	minWritesInFlight = 2
)

// rateLimits is what this controller asks for, and what the others have said.
type rateLimits struct {
	component

	requests, writes ratelimit.Meter
	peers            map[string]peerRates
	allotted         message.Rates
	// short: what is asked for has not the usual headroom in its part.
	writesShort bool
}

type peerRates struct {
	receivedAt time.Time
	message.Rates
}

// countRequest notes a request to the state service.
func (r *rateLimits) countRequest(op *message.StoreRequest) {
	r.requests.Add(1)
	r.writes.Add(float64(len(op.Writes)))
}

// publishRates tells the others what this controller asks for, and passes its part on.
func (b *rateLimits) publishRates() {
	b.after(ratesPublishInterval, func() { b.publishRates() })
	r := message.Rates{Requests: b.requests.Rate(b.now), Writes: b.writes.Rate(b.now)}
	for _, p := range b.settings.Peers {
		b.emit(message.SendPeerUpdate{To: p, Update: message.PeerUpdate{From: b.settings.Host, Rates: &r}})
	}
	if b.settings.StoreRequestsPerSecond <= 0 || b.settings.StoreWritesPerSecond <= 0 {
		return
	}
	requests, writes := []float64{r.Requests}, []float64{r.Writes}
	for _, h := range b.settings.Peers {
		if _, lives := b.controller.membership.controllers[h]; !lives && b.controller.membership.loaded {
			continue
		}
		peer := b.peers[h]
		if b.now.Sub(peer.receivedAt) > ratesTTL {
			peer.Rates = message.Rates{Requests: followerRequests, Writes: followerWrites}
			for _, s := range b.controller.membership.shardMap.Shards() {
				if s.Host == h && len(s.Teams) > 0 {
					peer.Rates = message.Rates{Requests: shardLeaderRequests, Writes: shardLeaderWrites}
				}
			}
		}
		requests, writes = append(requests, peer.Requests), append(writes, peer.Writes)
	}
	allotted := message.Rates{Requests: ratelimit.Allocate(b.settings.StoreRequestsPerSecond, requests)[0], Writes: ratelimit.Allocate(b.settings.StoreWritesPerSecond, writes)[0]}
	b.writesShort = r.Writes*ratelimit.Headroom > allotted.Writes*(1+minRateChange)
	if ratesDiffer(allotted.Requests, b.allotted.Requests) || ratesDiffer(allotted.Writes, b.allotted.Writes) {
		b.allotted = allotted
		b.emit(allotted)
	}
}

// shortOfWrites says that there are hardly enough changes for what can't wait.
func (r *rateLimits) shortOfWrites() bool { return r.writesShort }

// writesAllowed is how many changes more the owner may have under way.
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

// writeTxn sends a write of the owner's and counts it as under way.
func (r *rateLimits) writeTxn(op message.StoreRequest, fn func(message.StoreResponse)) {
	o, writes := r.controller.shardLeader, len(op.Writes)
	o.persistence.txnsInFlight++
	o.persistence.writesInFlight += writes
	r.controller.requests.toStore(op, func(d message.StoreResponse) {
		o.persistence.txnsInFlight--
		o.persistence.writesInFlight -= writes
		fn(d)
	})
}

func ratesDiffer(a, b float64) bool { return math.Abs(a-b) > minRateChange*b }

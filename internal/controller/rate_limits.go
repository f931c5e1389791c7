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
func (b *rateLimits) countRequest(op *message.StoreRequest) {
	b.requests.Add(1)
	b.writes.Add(float64(len(op.Writes)))
}

// publishRates tells the others what this controller asks for, and passes its part on.
func publishRates(n *Controller) {
	n.after(ratesPublishInterval, func() { publishRates(n) })
	b := &n.rateLimits
	r := message.Rates{Requests: b.requests.Rate(n.now), Writes: b.writes.Rate(n.now)}
	for _, p := range n.settings.Peers {
		n.emit(message.SendPeerUpdate{To: p, Update: message.PeerUpdate{From: n.settings.Host, Rates: &r}})
	}
	if n.settings.StoreRequestsPerSecond <= 0 || n.settings.StoreWritesPerSecond <= 0 {
		return
	}
	requests, writes := []float64{r.Requests}, []float64{r.Writes}
	for _, h := range n.settings.Peers {
		if _, lives := n.membership.controllers[h]; !lives && n.membership.loaded {
			continue
		}
		peer := b.peers[h]
		if n.now.Sub(peer.receivedAt) > ratesTTL {
			peer.Rates = message.Rates{Requests: followerRequests, Writes: followerWrites}
			for _, s := range n.membership.shardMap.Shards() {
				if s.Host == h && len(s.Teams) > 0 {
					peer.Rates = message.Rates{Requests: shardLeaderRequests, Writes: shardLeaderWrites}
				}
			}
		}
		requests, writes = append(requests, peer.Requests), append(writes, peer.Writes)
	}
	allotted := message.Rates{Requests: ratelimit.Allocate(n.settings.StoreRequestsPerSecond, requests)[0], Writes: ratelimit.Allocate(n.settings.StoreWritesPerSecond, writes)[0]}
	b.writesShort = r.Writes*ratelimit.Headroom > allotted.Writes*(1+minRateChange)
	if ratesDiffer(allotted.Requests, b.allotted.Requests) || ratesDiffer(allotted.Writes, b.allotted.Writes) {
		b.allotted = allotted
		n.emit(allotted)
	}
}

// writesShort says that there are hardly enough changes for what can't wait.
func (n *Controller) writesShort() bool { return n.rateLimits.writesShort }

// writesAllowed is how many changes more the owner may have under way.
func (n *Controller) writesAllowed() int {
	allotted := n.rateLimits.allotted.Writes
	if allotted <= 0 {
		allotted = n.settings.StoreWritesPerSecond / float64(1+len(n.settings.Peers))
	}
	if allotted <= 0 {
		return n.settings.MaxTxnWrites
	}
	return max(minWritesInFlight, int(allotted*writeAheadWindow.Seconds())) - n.shardLeader.writesInFlight
}

// writeTxn sends a write of the owner's and counts it as under way.
func (n *Controller) writeTxn(op message.StoreRequest, fn func(message.StoreResponse)) {
	o, writes := n.shardLeader, len(op.Writes)
	o.txnsInFlight++
	o.writesInFlight += writes
	n.requestStore(op, func(d message.StoreResponse) {
		o.txnsInFlight--
		o.writesInFlight -= writes
		fn(d)
	})
}

func ratesDiffer(a, b float64) bool { return math.Abs(a-b) > minRateChange*b }

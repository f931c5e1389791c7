package overflow

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

const (
	// unresponsiveAfter is after how many heartbeat intervals without a heartbeat
	// a peer counts as unresponsive.
	unresponsiveAfter = 4
	// trustHalfLife is the time in which half of the lost trust comes back.
	trustHalfLife = 2 * time.Minute
	// flapPenalty and brokenLoanPenalty are the factors by which trust falls when
	// the peer becomes unresponsive, and for each loan it did not fulfil.
	flapPenalty       = 0.5
	brokenLoanPenalty = 0.7
	// openAfter is how many failures in a row open the circuit breaker. It stays
	// open for openFirst, and twice as long after each further failure, up to
	// openMost.
	openAfter = 3
	openFirst = 2 * time.Second
	openMost  = time.Minute
	// latencyWeight is the weight of the newest reply in the moving average of
	// reply times.
	latencyWeight = 0.2
)

// PeerState is a peer's state as seen from here.
type PeerState int

const (
	// Unknown peers have never sent a heartbeat.
	Unknown PeerState = iota
	// Serving peers send heartbeats and take loans.
	Serving
	// DrainingState peers send heartbeats and are being drained.
	DrainingState
	// Unresponsive peers have missed several heartbeats.
	Unresponsive
)

// String is the state as the status report names it.
func (s PeerState) String() string {
	return [...]string{"unknown", "serving", "draining", "silent"}[s]
}

// PeerTracker is one peer as the leader sees it: which of its controllers to send
// the next heartbeat to, when, and how far the peer is trusted. It isn't safe for
// concurrent use.
type PeerTracker struct {
	Name      string
	addrs     []string
	addrIndex int
	interval  time.Duration

	// From the peer's last heartbeat.
	heardAt      time.Time
	draining     bool
	lendsItself  bool
	lastState    PeerState
	freeCapacity []FreeCapacity
	cachedImages []string
	stopBound    time.Duration

	// Of our own heartbeats to the peer.
	inFlight         bool
	nextAt           time.Time
	failures         int
	breakerOpenUntil time.Time
	latency          time.Duration

	// trust is the trust as of trustAt; it recovers from then on.
	trust   float64
	trustAt time.Time
}

// NewPeerTracker returns the tracker of a peer that has never sent a heartbeat.
// interval is that of heartbeats to it.
func NewPeerTracker(name string, addrs []string, interval time.Duration, now time.Time) *PeerTracker {
	return &PeerTracker{Name: name, addrs: addrs, interval: interval, nextAt: now, trust: 1, trustAt: now}
}

// State is the peer's state now.
func (p *PeerTracker) State(now time.Time) PeerState {
	switch {
	case p.heardAt.IsZero():
		return Unknown
	case now.Sub(p.heardAt) > unresponsiveAfter*p.interval:
		return Unresponsive
	case p.draining:
		return DrainingState
	}
	return Serving
}

// StateChanged returns the state, and whether it differs from the previous call's.
// It lowers the trust in a peer that has become unresponsive.
func (p *PeerTracker) StateChanged(now time.Time) (PeerState, bool) {
	state := p.State(now)
	changed := state != p.lastState
	if changed && state == Unresponsive {
		p.reduceTrust(now, flapPenalty)
	}
	p.lastState = state
	return state, changed
}

// Trust is how far the peer is trusted, from 0 to 1. Lost trust comes back slowly.
func (p *PeerTracker) Trust(now time.Time) float64 {
	lost := 1 - p.trust
	return 1 - lost*math.Exp2(-now.Sub(p.trustAt).Seconds()/trustHalfLife.Seconds())
}

func (p *PeerTracker) reduceTrust(now time.Time, factor float64) {
	p.trust, p.trustAt = p.Trust(now)*factor, now
}

// NoteBroken records a loan that the peer did not fulfil: its lease ran out, or the
// peer refused it although it had offered the capacity.
func (p *PeerTracker) NoteBroken(now time.Time) { p.reduceTrust(now, brokenLoanPenalty) }

// NoteHeartbeat records a heartbeat from the peer.
func (p *PeerTracker) NoteHeartbeat(now time.Time, heartbeat Heartbeat) {
	p.heardAt, p.draining, p.lendsItself = now, heartbeat.Draining, heartbeat.LendsItself
	p.freeCapacity, p.cachedImages, p.stopBound = heartbeat.FreeCapacity, heartbeat.CachedImages, heartbeat.StopBound
}

// StopBound is how long the peer's tasks may go on after a lease's end, as the peer
// reported it.
func (p *PeerTracker) StopBound() time.Duration { return p.stopBound }

// Latency is the moving average of the peer's reply times.
func (p *PeerTracker) Latency() time.Duration { return p.latency }

// IsReachable says whether the circuit breaker lets heartbeats to the peer pass.
func (p *PeerTracker) IsReachable(now time.Time) bool { return !now.Before(p.breakerOpenUntil) }

// HeardAt is when the peer's last heartbeat came; zero for none.
func (p *PeerTracker) HeardAt() time.Time { return p.heardAt }

// OfferedMachines is the number of machines with capacity that the peer offers.
func (p *PeerTracker) OfferedMachines() int {
	machines := 0
	for _, capacity := range p.freeCapacity {
		machines += capacity.Machines
	}
	return machines
}

// NextRequest says whether a heartbeat is due, and to which of the peer's
// controllers. It then counts as in flight, until the outcome is noted; there is one
// at a time to each peer, so that a slow peer delays no other.
func (p *PeerTracker) NextRequest(now time.Time) (addr string, due bool) {
	if p.inFlight || now.Before(p.nextAt) || now.Before(p.breakerOpenUntil) || len(p.addrs) == 0 {
		return "", false
	}
	p.inFlight = true
	return p.addrs[p.addrIndex%len(p.addrs)], true
}

// NoteReply records that the right controller replied after latency.
func (p *PeerTracker) NoteReply(now time.Time, latency time.Duration, rng *rand.Rand) {
	p.inFlight, p.failures, p.breakerOpenUntil = false, 0, time.Time{}
	p.nextAt = now.Add(jitter(p.interval, rng))
	if p.latency == 0 {
		p.latency = latency
	}
	p.latency += time.Duration(latencyWeight * float64(latency-p.latency))
}

// NoteRedirect records that another controller takes the heartbeats: to if it is
// known, which is due at once, and else the next in order.
func (p *PeerTracker) NoteRedirect(now time.Time, to string) {
	p.inFlight = false
	p.nextAt = now
	if i := slices.Index(p.addrs, to); i >= 0 && i != p.addrIndex%len(p.addrs) {
		p.addrIndex = i
		return
	}
	p.addrIndex++
	p.nextAt = now.Add(p.interval / 8)
}

// NoteFailure records that a controller did not reply. The next one is due, unless
// none of the peer's controllers replies: then the circuit breaker opens.
func (p *PeerTracker) NoteFailure(now time.Time, rng *rand.Rand) {
	p.inFlight = false
	p.addrIndex++
	p.failures++
	p.nextAt = now.Add(jitter(p.interval/2, rng))
	if n := p.failures - max(openAfter, len(p.addrs)); n >= 0 {
		pause := min(openFirst<<min(n, 10), openMost)
		p.breakerOpenUntil = now.Add(jitter(pause, rng))
	}
}

// Snapshot is the peer's state as ChooseOffers needs it. loansOut is how many loans
// of this cluster the peer holds.
func (p *PeerTracker) Snapshot(now time.Time, loansOut int) PeerSnapshot {
	state := p.State(now)
	return PeerSnapshot{
		Name: p.Name, Available: state == Serving || state == DrainingState, Draining: p.draining,
		Latency: p.latency, Trust: p.Trust(now), FreeCapacity: p.freeCapacity, CachedImages: p.cachedImages, LoansOut: loansOut, LendsItself: p.lendsItself,
	}
}

// jitter spreads d by a quarter either way.
func jitter(d time.Duration, rng *rand.Rand) time.Duration {
	return time.Duration(float64(d) * (0.75 + rng.Float64()/2))
}

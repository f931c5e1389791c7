package overflow

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

const (
	// unresponsiveIntervals is the number of heartbeat intervals without a heartbeat after
	// which a peer counts as unresponsive.
	unresponsiveIntervals = 4
	// trustHalfLife is the time in which half of the lost trust recovers.
	trustHalfLife = 2 * time.Minute
	// flapPenalty is the factor by which trust is multiplied when the peer becomes
	// unresponsive. brokenLoanPenalty is the factor for each loan that the peer did not
	// fulfil.
	flapPenalty       = 0.5
	brokenLoanPenalty = 0.7
	// breakerFailures is the number of consecutive failures that open a peer's circuit
	// breaker; for a peer with more controllers it is the number of controllers. The
	// breaker stays open for breakerFirstPause, and twice as long after each further failure,
	// up to breakerMaxPause.
	breakerFailures   = 3
	breakerFirstPause = 2 * time.Second
	breakerMaxPause   = time.Minute
	// latencyWeight is the weight of the newest reply in the moving average of
	// reply times.
	latencyWeight = 0.2
)

// PeerState is a peer's state as this cluster sees it.
type PeerState int

const (
	// Unknown peers have never sent a heartbeat.
	Unknown PeerState = iota
	// Serving peers send heartbeats and accept loans.
	Serving
	// DrainingState peers send heartbeats and are being drained.
	DrainingState
	// Unresponsive peers have missed several heartbeats.
	Unresponsive
)

// String returns the state's name in the status report and in logs.
func (state PeerState) String() string {
	return [...]string{"unknown", "serving", "draining", "silent"}[state]
}

// PeerTracker tracks one peer: its state, the trust in it, and when and to which of its
// controllers the next heartbeat is sent. It isn't safe for concurrent use.
type PeerTracker struct {
	Name string
	// addrs are the addresses of the peer's controllers. Heartbeats go to the address whose
	// index is addrIndex modulo the number of addresses.
	addrs     []string
	addrIndex int
	// interval is the heartbeat interval. The peer is assumed to use the same one.
	interval time.Duration

	// lastHeartbeatAt is when the peer's last heartbeat arrived, and zero before the first one.
	// draining, lendsItself and the fields after lastState are from that heartbeat.
	lastHeartbeatAt time.Time
	draining        bool
	lendsItself     bool
	// lastState is the state that StateChanged last returned.
	lastState    PeerState
	freeCapacity []FreeCapacity
	cachedImages []string
	stopBound    time.Duration

	// The following fields describe this cluster's heartbeats to the peer. nextAt is
	// when the next one is due, and failures the number of consecutive failures.
	inFlight         bool
	nextAt           time.Time
	failures         int
	breakerOpenUntil time.Time
	latency          time.Duration

	// trust is the trust in the peer at trustAt. It recovers from then on.
	trust   float64
	trustAt time.Time
}

// NewPeerTracker returns the tracker of a peer that has never sent a heartbeat. addrs
// are the addresses of its controllers, and interval is the heartbeat interval.
func NewPeerTracker(name string, addrs []string, interval time.Duration, now time.Time) *PeerTracker {
	return &PeerTracker{Name: name, addrs: addrs, interval: interval, nextAt: now, trust: 1, trustAt: now}
}

// State returns the peer's state at the time now.
func (tracker *PeerTracker) State(now time.Time) PeerState {
	switch {
	case tracker.lastHeartbeatAt.IsZero():
		return Unknown
	case now.Sub(tracker.lastHeartbeatAt) > unresponsiveIntervals*tracker.interval:
		return Unresponsive
	case tracker.draining:
		return DrainingState
	}
	return Serving
}

// StateChanged returns the peer's state, and whether it differs from the state that the
// previous call returned. It lowers the trust in a peer that has become unresponsive.
func (tracker *PeerTracker) StateChanged(now time.Time) (PeerState, bool) {
	state := tracker.State(now)
	changed := state != tracker.lastState
	if changed && state == Unresponsive {
		tracker.reduceTrust(now, flapPenalty)
	}
	tracker.lastState = state
	return state, changed
}

// Trust returns how far the peer is trusted, from 0 to 1. Lost trust recovers
// exponentially, with trustHalfLife.
func (tracker *PeerTracker) Trust(now time.Time) float64 {
	lost := 1 - tracker.trust
	return 1 - lost*math.Exp2(-now.Sub(tracker.trustAt).Seconds()/trustHalfLife.Seconds())
}

// reduceTrust multiplies the trust in the peer by factor.
func (tracker *PeerTracker) reduceTrust(now time.Time, factor float64) {
	tracker.trust, tracker.trustAt = tracker.Trust(now)*factor, now
}

// NoteBrokenLoan records a loan that the peer did not fulfil: the loan's lease expired, or
// the peer refused the loan although it had offered the capacity.
func (tracker *PeerTracker) NoteBrokenLoan(now time.Time) {
	tracker.reduceTrust(now, brokenLoanPenalty)
}

// NoteHeartbeat records a heartbeat from the peer.
func (tracker *PeerTracker) NoteHeartbeat(now time.Time, heartbeat Heartbeat) {
	tracker.lastHeartbeatAt, tracker.draining, tracker.lendsItself = now, heartbeat.Draining, heartbeat.LendsItself
	tracker.freeCapacity, tracker.cachedImages, tracker.stopBound = heartbeat.FreeCapacity, heartbeat.CachedImages, heartbeat.StopBound
}

// StopBound returns how long the peer's tasks may go on running after a lease's end, as
// the peer last reported it.
func (tracker *PeerTracker) StopBound() time.Duration { return tracker.stopBound }

// Latency returns the moving average of the peer's reply times.
func (tracker *PeerTracker) Latency() time.Duration { return tracker.latency }

// IsReachable reports whether the peer's circuit breaker is closed, so that heartbeats
// are sent to the peer.
func (tracker *PeerTracker) IsReachable(now time.Time) bool {
	return !now.Before(tracker.breakerOpenUntil)
}

// LastHeartbeatAt returns when the peer's last heartbeat arrived, and zero if there was none.
func (tracker *PeerTracker) LastHeartbeatAt() time.Time { return tracker.lastHeartbeatAt }

// OfferedMachines returns the number of machines on which the peer offers capacity.
func (tracker *PeerTracker) OfferedMachines() int {
	machines := 0
	for _, capacity := range tracker.freeCapacity {
		machines += capacity.Machines
	}
	return machines
}

// NextHeartbeat reports whether a heartbeat to the peer is due, and returns the address of
// the controller to send it to. The heartbeat then counts as in flight until
// NoteReply, NoteRedirect or NoteFailure records the outcome. At most one heartbeat to
// each peer is in flight, so that a slow peer doesn't delay the others.
func (tracker *PeerTracker) NextHeartbeat(now time.Time) (addr string, due bool) {
	if tracker.inFlight || now.Before(tracker.nextAt) || now.Before(tracker.breakerOpenUntil) || len(tracker.addrs) == 0 {
		return "", false
	}
	tracker.inFlight = true
	return tracker.addrs[tracker.addrIndex%len(tracker.addrs)], true
}

// NoteReply records that the controller replied after latency. rng spreads the time of
// the next heartbeat.
func (tracker *PeerTracker) NoteReply(now time.Time, latency time.Duration, rng *rand.Rand) {
	tracker.inFlight, tracker.failures, tracker.breakerOpenUntil = false, 0, time.Time{}
	tracker.nextAt = now.Add(jitter(tracker.interval, rng))
	if tracker.latency == 0 {
		tracker.latency = latency
	}
	tracker.latency += time.Duration(latencyWeight * float64(latency-tracker.latency))
}

// NoteRedirect records that another of the peer's controllers handles heartbeats. If to
// is the address of another known controller, a heartbeat to it is due at once.
// Otherwise a heartbeat to the next controller in the list is due after a short pause.
func (tracker *PeerTracker) NoteRedirect(now time.Time, to string) {
	tracker.inFlight = false
	tracker.nextAt = now
	if i := slices.Index(tracker.addrs, to); i >= 0 && i != tracker.addrIndex%len(tracker.addrs) {
		tracker.addrIndex = i
		return
	}
	tracker.addrIndex++
	tracker.nextAt = now.Add(tracker.interval / 8)
}

// NoteFailure records that the controller did not reply. The next heartbeat goes to the
// next controller in the list. When none of the peer's controllers replies, the circuit
// breaker opens.
func (tracker *PeerTracker) NoteFailure(now time.Time, rng *rand.Rand) {
	tracker.inFlight = false
	tracker.addrIndex++
	tracker.failures++
	tracker.nextAt = now.Add(jitter(tracker.interval/2, rng))
	if excessFailures := tracker.failures - max(breakerFailures, len(tracker.addrs)); excessFailures >= 0 {
		pause := min(breakerFirstPause<<min(excessFailures, 10), breakerMaxPause)
		tracker.breakerOpenUntil = now.Add(jitter(pause, rng))
	}
}

// Snapshot returns the peer's state for ChooseOffers. loansOut is how many of this
// cluster's loans the peer holds.
func (tracker *PeerTracker) Snapshot(now time.Time, loansOut int) PeerSnapshot {
	state := tracker.State(now)
	return PeerSnapshot{
		Name: tracker.Name, Available: state == Serving || state == DrainingState, Draining: tracker.draining,
		Latency: tracker.latency, Trust: tracker.Trust(now), FreeCapacity: tracker.freeCapacity, CachedImages: tracker.cachedImages, LoansOut: loansOut, LendsItself: tracker.lendsItself,
	}
}

// jitter returns a random duration between 0.75 and 1.25 times the given one.
func jitter(duration time.Duration, rng *rand.Rand) time.Duration {
	return time.Duration(float64(duration) * (0.75 + rng.Float64()/2))
}

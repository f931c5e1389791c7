package state

import (
	"time"

	"github.com/micahill/micahill/internal/message"
	"golang.org/x/time/rate"
)

// RateLimiter paces a controller's requests to the state service: it says how long each has
// to wait for its part of the limits. It has no clock of its own, so that days in
// simulated time are paced as real ones are.
type RateLimiter struct {
	requests *rate.Limiter
	writes   *rate.Limiter
}

// NewRateLimiter makes a gate for so many requests and changes a second.
func NewRateLimiter(now time.Time, r message.Rates) *RateLimiter {
	limiter := &RateLimiter{rate.NewLimiter(1, 1), rate.NewLimiter(1, 1)}
	limiter.SetRates(now, r)
	return limiter
}

// SetRates changes the rates.
func (g *RateLimiter) SetRates(now time.Time, r message.Rates) {
	g.requests.SetLimitAt(now, rate.Limit(r.Requests))
	g.requests.SetBurstAt(now, max(minBurst, int(r.Requests)))
	g.writes.SetLimitAt(now, rate.Limit(r.Writes))
	g.writes.SetBurstAt(now, max(minBurst, int(r.Writes)))
}

// Reserve says how long a request must wait for its turn; ok is false if that is longer
// than it may. The session comes first, and then what users wait for: they take their
// part without waiting, and the others wait the longer. Users' own requests wait only
// when they alone are more than the rate allows.
func (g *RateLimiter) Reserve(now time.Time, op message.StoreRequest) (wait time.Duration, ok bool) {
	writes := min(len(op.Writes), g.writes.Burst())
	mayAdvance := g.writes.TokensAt(now) > -userAdvance*float64(g.writes.Limit()) && g.requests.TokensAt(now) > -userAdvance*float64(g.requests.Limit())
	if op.Priority == message.PriorityMembership || op.Priority == message.PriorityUser && mayAdvance {
		g.requests.ReserveN(now, 1)
		if writes > 0 {
			g.writes.ReserveN(now, writes)
		}
		return 0, true
	}
	maxWait := Timeout(op)
	if op.Priority >= message.PriorityStart {
		// Nobody waits at the other end of these, and few are under way at a
		// time. Were a large write refused because its turn comes after the
		// deadline of a request, small ones would pass it for ever.
		maxWait = maxQueueWait
	}
	reservations := []*rate.Reservation{g.requests.ReserveN(now, 1)}
	if writes > 0 {
		reservations = append(reservations, g.writes.ReserveN(now, writes))
	}
	for _, r := range reservations {
		wait = max(wait, r.DelayFrom(now))
	}
	if wait <= maxWait {
		return wait, true
	}
	for _, r := range reservations {
		r.CancelAt(now)
	}
	return 0, false
}

// Timeout is how long an answer is waited for.
func Timeout(op message.StoreRequest) time.Duration {
	switch {
	case op.Kind == message.OpWatch:
		return op.WatchTimeout + longTimeout
	case op.Kind == message.OpList || op.Priority == message.PriorityLazy:
		return longTimeout
	}
	return shortTimeout
}

// RetryPause is how long to wait after a 429, the shortest time and by how much it may
// be longer: others used up the rate, and all come back at different moments.
const (
	RetryPause  = 60 * time.Millisecond
	RetryJitter = 120 * time.Millisecond
)

package state

import (
	"time"

	"github.com/micahill/micahill/internal/message"
	"golang.org/x/time/rate"
)

const (
	// shortTimeout is for requests that somebody waits for.
	shortTimeout = 1300 * time.Millisecond
	// longTimeout is for lists and lazy writes.
	longTimeout = 3 * time.Second
	// maxQueueWait bounds the wait of a start or a lazy request for its turn.
	maxQueueWait = 8 * time.Second
	// userAdvance is how many seconds' worth of the rates users' requests may take in advance.
	userAdvance = 1.0
	// minBurst is what may be sent at once however low the rate.
	minBurst = 4
)

// RetryPause is the shortest wait before a retry after a 429, and RetryJitter the upper bound
// of a random addition to it: the controllers that shared the exceeded rate should not all
// retry at the same moment.
const (
	RetryPause  = 60 * time.Millisecond
	RetryJitter = 120 * time.Millisecond
)

// RateLimiter keeps a controller's requests to the state service within its part of the
// limits. It takes the time from its caller, so that the simulation uses it in simulated time.
type RateLimiter struct {
	requests *rate.Limiter
	writes   *rate.Limiter
}

// NewRateLimiter returns a limiter for rates per second.
func NewRateLimiter(now time.Time, r message.Rates) *RateLimiter {
	limiter := &RateLimiter{rate.NewLimiter(1, 1), rate.NewLimiter(1, 1)}
	limiter.SetRates(now, r)
	return limiter
}

// SetRates changes the rates, which are per second.
func (l *RateLimiter) SetRates(now time.Time, r message.Rates) {
	l.requests.SetLimitAt(now, rate.Limit(r.Requests))
	l.requests.SetBurstAt(now, max(minBurst, int(r.Requests)))
	l.writes.SetLimitAt(now, rate.Limit(r.Writes))
	l.writes.SetBurstAt(now, max(minBurst, int(r.Writes)))
}

// Reserve returns how long a request must wait for its turn; ok is false, and nothing is
// reserved, if that is longer than it may wait. Membership requests never wait, and users'
// requests only when they alone exceed the rates by userAdvance; both take their part at the
// cost of the other priorities.
func (l *RateLimiter) Reserve(now time.Time, req message.StoreRequest) (wait time.Duration, ok bool) {
	writes := min(len(req.Writes), l.writes.Burst())
	mayAdvance := l.writes.TokensAt(now) > -userAdvance*float64(l.writes.Limit()) && l.requests.TokensAt(now) > -userAdvance*float64(l.requests.Limit())
	if req.Priority == message.PriorityMembership || req.Priority == message.PriorityUser && mayAdvance {
		l.requests.ReserveN(now, 1)
		if writes > 0 {
			l.writes.ReserveN(now, writes)
		}
		return 0, true
	}
	maxWait := Timeout(req)
	if req.Priority >= message.PriorityStart {
		// Nobody waits for these, and few are under way at a time. If a large write were
		// refused because its turn comes after the timeout, small ones would overtake it
		// for ever.
		maxWait = maxQueueWait
	}
	reservations := []*rate.Reservation{l.requests.ReserveN(now, 1)}
	if writes > 0 {
		reservations = append(reservations, l.writes.ReserveN(now, writes))
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

// Timeout is how long the response to a request is waited for.
func Timeout(req message.StoreRequest) time.Duration {
	switch {
	case req.Kind == message.OpWatch:
		return req.WatchTimeout + longTimeout
	case req.Kind == message.OpList || req.Priority == message.PriorityLazy:
		return longTimeout
	}
	return shortTimeout
}

package state

import (
	"time"

	"github.com/micahill/micahill/internal/message"
	"golang.org/x/time/rate"
)

const (
	// shortTimeout is the timeout of requests for whose response somebody waits.
	shortTimeout = 1300 * time.Millisecond
	// longTimeout is the timeout of lists and of requests of priority lazy.
	longTimeout = 3 * time.Second
	// maxQueueWait is the longest time that a request of priority start or lazy may wait for its
	// turn.
	maxQueueWait = 8 * time.Second
	// maxUserAdvance is how far users' requests may exceed the rates in advance, in seconds' worth
	// of the rates.
	maxUserAdvance = 1.0
	// minBurst is the smallest number of requests that may be sent at once, however low the rate
	// is. It applies to writes as well.
	minBurst = 4
)

// RetryPause is the shortest wait before a retry after HTTP status 429. RetryJitter is the upper
// bound of a random addition to the wait: the controllers that share the exceeded rate should not
// all retry at the same moment.
const (
	RetryPause  = 60 * time.Millisecond
	RetryJitter = 120 * time.Millisecond
)

// RateLimiter keeps a controller's requests to the state service within the controller's share of the
// rate limits. It gets the time from its caller, so that the simulation can use it in simulated
// time.
type RateLimiter struct {
	requests *rate.Limiter
	writes   *rate.Limiter
}

// NewRateLimiter returns a limiter with the given rates.
func NewRateLimiter(now time.Time, rates message.Rates) *RateLimiter {
	limiter := &RateLimiter{rate.NewLimiter(1, 1), rate.NewLimiter(1, 1)}
	limiter.SetRates(now, rates)
	return limiter
}

// SetRates changes the rates.
func (limiter *RateLimiter) SetRates(now time.Time, rates message.Rates) {
	limiter.requests.SetLimitAt(now, rate.Limit(rates.Requests))
	limiter.requests.SetBurstAt(now, max(minBurst, int(rates.Requests)))
	limiter.writes.SetLimitAt(now, rate.Limit(rates.Writes))
	limiter.writes.SetBurstAt(now, max(minBurst, int(rates.Writes)))
}

// Reserve reserves a request's part of the rates, and returns how long the request must wait for its
// turn. If that is longer than the request may wait, ok is false and nothing is reserved. Membership
// requests never wait. Users' requests wait only after they have taken maxUserAdvance of the rates in
// advance. Both reduce the rates that are left for the other priorities.
func (limiter *RateLimiter) Reserve(now time.Time, req message.StoreRequest) (wait time.Duration, ok bool) {
	writes := min(len(req.Writes), limiter.writes.Burst())
	mayAdvance := limiter.writes.TokensAt(now) > -maxUserAdvance*float64(limiter.writes.Limit()) && limiter.requests.TokensAt(now) > -maxUserAdvance*float64(limiter.requests.Limit())
	if req.Priority == message.PriorityMembership || req.Priority == message.PriorityUser && mayAdvance {
		limiter.requests.ReserveN(now, 1)
		if writes > 0 {
			limiter.writes.ReserveN(now, writes)
		}
		return 0, true
	}
	maxWait := Timeout(req)
	if req.Priority >= message.PriorityStart {
		// Nobody waits for requests of these priorities, and only few are in progress at a
		// time. If a large write were refused because its turn comes after the timeout, small
		// writes would overtake it for ever.
		maxWait = maxQueueWait
	}
	reservations := []*rate.Reservation{limiter.requests.ReserveN(now, 1)}
	if writes > 0 {
		reservations = append(reservations, limiter.writes.ReserveN(now, writes))
	}
	for _, reservation := range reservations {
		wait = max(wait, reservation.DelayFrom(now))
	}
	if wait <= maxWait {
		return wait, true
	}
	for _, reservation := range reservations {
		reservation.CancelAt(now)
	}
	return 0, false
}

// Timeout returns how long the client waits for the response to a request.
func Timeout(req message.StoreRequest) time.Duration {
	switch {
	case req.Kind == message.OpWatch:
		return req.WatchTimeout + longTimeout
	case req.Kind == message.OpList || req.Priority == message.PriorityLazy:
		return longTimeout
	}
	return shortTimeout
}

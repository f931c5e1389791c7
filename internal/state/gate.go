package state

import (
	"time"

	"github.com/micahill/micahill/internal/core"
	"golang.org/x/time/rate"
)

// Gate paces a controller's requests to the state service: it says how long each has
// to wait for its part of the limits. It has no clock of its own, so that days in
// simulated time are paced as real ones are.
type Gate struct {
	reqs   *rate.Limiter
	writes *rate.Limiter
}

// NewGate makes a gate for so many requests and changes a second.
func NewGate(now time.Time, r core.Rates) *Gate {
	g := &Gate{rate.NewLimiter(1, 1), rate.NewLimiter(1, 1)}
	g.Set(now, r)
	return g
}

// Set changes the rates.
func (g *Gate) Set(now time.Time, r core.Rates) {
	g.reqs.SetLimitAt(now, rate.Limit(r.Requests))
	g.reqs.SetBurstAt(now, max(leastBurst, int(r.Requests)))
	g.writes.SetLimitAt(now, rate.Limit(r.Writes))
	g.writes.SetBurstAt(now, max(leastBurst, int(r.Writes)))
}

// Wait says how long a request must wait for its turn; ok is false if that is longer
// than it may. The session comes first, and then what users wait for: they take their
// part without waiting, and the others wait the longer. Users' own requests wait only
// when they alone are more than the rate allows.
func (g *Gate) Wait(now time.Time, op core.StoreRequest) (d time.Duration, ok bool) {
	k := min(len(op.Writes), g.writes.Burst())
	ahead := g.writes.TokensAt(now) > -userAhead*float64(g.writes.Limit()) && g.reqs.TokensAt(now) > -userAhead*float64(g.reqs.Limit())
	if op.Priority == core.PriorityMembership || op.Priority == core.PriorityUser && ahead {
		g.reqs.ReserveN(now, 1)
		if k > 0 {
			g.writes.ReserveN(now, k)
		}
		return 0, true
	}
	limit := Deadline(op)
	if op.Priority >= core.PriorityStart {
		// Nobody waits at the other end of these, and few are under way at a
		// time. Were a large write refused because its turn comes after the
		// deadline of a request, small ones would pass it for ever.
		limit = queueDeadline
	}
	took := []*rate.Reservation{g.reqs.ReserveN(now, 1)}
	if k > 0 {
		took = append(took, g.writes.ReserveN(now, k))
	}
	for _, r := range took {
		d = max(d, r.DelayFrom(now))
	}
	if d <= limit {
		return d, true
	}
	for _, r := range took {
		r.CancelAt(now)
	}
	return 0, false
}

// Deadline is how long an answer is waited for.
func Deadline(op core.StoreRequest) time.Duration {
	switch {
	case op.Kind == core.OpWatch:
		return op.WatchTimeout + longDeadline
	case op.Kind == core.OpList || op.Priority == core.PriorityLazy:
		return longDeadline
	}
	return shortDeadline
}

// TooMany is how long to wait after a 429, the shortest time and by how much it may
// be longer: others used up the rate, and all come back at different moments.
const (
	TooMany       = 60 * time.Millisecond
	TooManySpread = 120 * time.Millisecond
)

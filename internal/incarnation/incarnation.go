// Package incarnation handles restarts of controllers. A process that ends may be restarted
// within a fraction of a second, and may crash again and again. The package decides how long a
// new incarnation waits before it reads and claims anything, so that a crash loop costs the
// state service and the other controllers little, and for how long an incarnation is on
// probation and gets no duty that another controller can have. It has no clock and sends
// nothing.
package incarnation

import "time"

const (
	// Probation is how long an incarnation must run before it gets a duty that another
	// controller could have, and before its end no longer counts as a short run. It is longer
	// than a failover, so that a duty is not taken from a controller that is still taking it
	// over, and shorter than what an operator would call a recovered controller.
	Probation = 10 * time.Second
	// maxClockSkew bounds the difference between the wall clocks of two controllers, for the
	// start time that a previous incarnation wrote.
	maxClockSkew = 2 * time.Second
	// initialBackoff is the wait after one short run. It doubles with each further one up to
	// maxBackoff, where a crash loop costs less than a request a second.
	initialBackoff = 500 * time.Millisecond
	maxBackoff     = 8 * time.Second
	// historyTTL is how long previous incarnations count.
	historyTTL = time.Minute
)

// History is what an incarnation leaves for the next one.
type History struct {
	// StartedAt is when the last incarnation started; ShortRuns is how many before it, in a
	// row, ended on probation.
	StartedAt time.Time
	ShortRuns int
}

// Start returns the history that an incarnation starting now leaves for the next, and how long
// it waits before it reads and claims anything. known is false if no readable history was
// left: then it does not wait, as after a long run.
func Start(now time.Time, previous History, known bool) (History, time.Duration) {
	next := History{StartedAt: now}
	uptime := now.Sub(previous.StartedAt)
	// A wall clock that was set back gives a negative uptime, which counts as a short run.
	if !known || uptime >= historyTTL || uptime >= Probation+maxClockSkew || previous.ShortRuns < 0 {
		return next, 0
	}
	next.ShortRuns = previous.ShortRuns + 1
	if previous.ShortRuns == 0 {
		// The incarnation before was a long run, and this is the first quick restart: a single
		// crash costs nothing.
		return next, 0
	}
	backoff := initialBackoff
	for range previous.ShortRuns - 1 {
		if backoff *= 2; backoff >= maxBackoff {
			return next, maxBackoff
		}
	}
	return next, backoff
}

// OnProbation reports whether an incarnation that started at startedAt is to get no duty yet
// that another controller can have. The zero time is that of an incarnation that does not say
// when it started: it is not on probation.
func OnProbation(now, startedAt time.Time) bool {
	return !startedAt.IsZero() && now.Sub(startedAt) < Probation
}

// Package incarnation handles restarts of controllers. A process that ends may be restarted within
// a fraction of a second, and may crash repeatedly. The package decides how long a new incarnation
// waits before it reads from the state service and claims a role, so that a crash loop puts little
// load on the state service and the other controllers. It also decides how long an incarnation is
// on probation, during which it gets no role that another controller can take. The package has no
// clock and sends nothing.
package incarnation

import "time"

// Limits for restarts.
const (
	// Probation is how long an incarnation must run before it gets a role that another
	// controller could take. An incarnation that ends earlier counts as a short run. Probation
	// is longer than a failover, so that no role is taken from a controller that is still
	// taking it over. It is shorter than the time after which an operator regards a restarted
	// controller as recovered.
	Probation = 10 * time.Second
	// maxClockSkew bounds the difference between the wall clock by which the previous
	// incarnation recorded its start and this incarnation's wall clock.
	maxClockSkew = 2 * time.Second
	// initialBackoff is the wait after two consecutive short runs. It doubles with each further
	// short run up to maxBackoff, at which a crash loop causes less than one request per second.
	initialBackoff = 500 * time.Millisecond
	maxBackoff     = 8 * time.Second
	// historyTTL is how long the history of previous incarnations counts.
	historyTTL = time.Minute
)

// History is the record that an incarnation leaves for the next one.
type History struct {
	// StartedAt is when the incarnation that left the history started. ShortRuns is the number of
	// consecutive incarnations before it that ended on probation.
	StartedAt time.Time
	ShortRuns int
}

// Start returns the history that an incarnation that starts at the time now leaves for the next
// one, and how long it waits before it reads from the state service and claims a role. known is
// false if there is no readable history. Then the incarnation does not wait, as after a long run.
func Start(now time.Time, previous History, known bool) (History, time.Duration) {
	next := History{StartedAt: now}
	uptime := now.Sub(previous.StartedAt)
	// A wall clock that was set back gives a negative uptime, which counts as a short run.
	if !known || uptime >= historyTTL || uptime >= Probation+maxClockSkew || previous.ShortRuns < 0 {
		return next, 0
	}
	next.ShortRuns = previous.ShortRuns + 1
	if previous.ShortRuns == 0 {
		// Only the previous incarnation was a short run. A restart after a single crash does not
		// wait.
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

// OnProbation reports whether an incarnation that started at startedAt is not to get a role yet
// that another controller can take. startedAt is zero for an incarnation that does not report its
// start; such an incarnation is not on probation.
func OnProbation(now, startedAt time.Time) bool {
	return !startedAt.IsZero() && now.Sub(startedAt) < Probation
}

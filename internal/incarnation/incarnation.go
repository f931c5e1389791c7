// Package incarnation is what a controller and the others make of its lives. A process
// that ends may be started again within a fraction of a second, and may end again at
// once, over and over. Two things are decided here: how long a new life waits before
// it reads and claims anything, when the lives before were short, so that one that
// can't stay up costs the state service and the others little; and for how long a
// life counts as young, so that it gets no duty that another can have. The package has
// no clock and sends nothing.
package incarnation

import "time"

const (
	// Probation is how long a life must last before it gets a duty that another could
	// have, and before its end no longer counts as short. Longer than a takeover
	// takes, so that a duty is not taken over from somebody who has not taken it over
	// yet; shorter than what people would call a controller that has come back.
	Probation = 10 * time.Second
	// maxClockSkew bounds how far the time of day of two controllers differs, for what a
	// former life wrote of itself.
	maxClockSkew = 2 * time.Second
	// initialBackoff is how long a life waits after one short life, and doubles with each
	// more, up to maxBackoff: then one that ends at once costs less than a request
	// a second.
	initialBackoff = 500 * time.Millisecond
	maxBackoff     = 8 * time.Second
	// historyTTL is after how long nothing of former lives counts any more.
	historyTTL = time.Minute
)

// History is what a controller's lives leave for the next one.
type History struct {
	// StartedAt is when the last life began, and Short how many in a row, before it,
	// ended before they were grown.
	StartedAt time.Time
	ShortRuns int
}

// Start says what a life that begins now leaves for the next, and how long it waits
// before it reads and claims anything. known is false when nothing was left, or it
// can't be read: then it waits for nothing, as after a long life.
func Start(now time.Time, previous History, known bool) (History, time.Duration) {
	next := History{StartedAt: now}
	uptime := now.Sub(previous.StartedAt)
	// A time of day that runs backwards tells nothing; it counts as a short life, as
	// it may be one.
	if !known || uptime >= historyTTL || uptime >= Probation+maxClockSkew || previous.ShortRuns < 0 {
		return next, 0
	}
	next.ShortRuns = previous.ShortRuns + 1
	if previous.ShortRuns == 0 {
		// The life before was long, and this is the first that came soon after: an
		// end alone costs nothing.
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

// OnProbation says that a life that began at the time born is to get no duty yet that
// another can have. The zero time is that of a life which says nothing of itself.
func OnProbation(now, startedAt time.Time) bool {
	return !startedAt.IsZero() && now.Sub(startedAt) < Probation
}

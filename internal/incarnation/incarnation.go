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
	// Young is how long a life must last before it gets a duty that another could
	// have, and before its end no longer counts as short. Longer than a takeover
	// takes, so that a duty is not taken over from somebody who has not taken it over
	// yet; shorter than what people would call a controller that has come back.
	Young = 10 * time.Second
	// clockError bounds how far the time of day of two controllers differs, for what a
	// former life wrote of itself.
	clockError = 2 * time.Second
	// firstWait is how long a life waits after one short life, and doubles with each
	// more, up to longestWait: then one that ends at once costs less than a request
	// a second.
	firstWait   = 500 * time.Millisecond
	longestWait = 8 * time.Second
	// memory is after how long nothing of former lives counts any more.
	memory = time.Minute
)

// Past is what a controller's lives leave for the next one.
type Past struct {
	// Born is when the last life began, and Short how many in a row, before it,
	// ended before they were grown.
	Born  time.Time
	Short int
}

// Begin says what a life that begins now leaves for the next, and how long it waits
// before it reads and claims anything. known is false when nothing was left, or it
// can't be read: then it waits for nothing, as after a long life.
func Begin(now time.Time, last Past, known bool) (Past, time.Duration) {
	next := Past{Born: now}
	lived := now.Sub(last.Born)
	// A time of day that runs backwards tells nothing; it counts as a short life, as
	// it may be one.
	if !known || lived >= memory || lived >= Young+clockError || last.Short < 0 {
		return next, 0
	}
	next.Short = last.Short + 1
	if last.Short == 0 {
		// The life before was long, and this is the first that came soon after: an
		// end alone costs nothing.
		return next, 0
	}
	wait := firstWait
	for range last.Short - 1 {
		if wait *= 2; wait >= longestWait {
			return next, longestWait
		}
	}
	return next, wait
}

// IsYoung says that a life that began at the time born is to get no duty yet that
// another can have. The zero time is that of a life which says nothing of itself.
func IsYoung(now, born time.Time) bool {
	return !born.IsZero() && now.Sub(born) < Young
}

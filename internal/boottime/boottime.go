// Package boottime learns how long machines of a kind take to come up, in both
// directions: up within a second, many times as late as told, or never. It says how
// much longer one that is not up yet most likely takes, so that another is rented when
// waiting is the worse bet, when it is to be given up, and whether its kind has stopped
// coming up at all. The package has no clock and sends nothing.
package boottime

import (
	"slices"
	"time"
)

const (
	// kept is how many of the last boots of a kind count: enough for its spread, few
	// enough to follow within a burst of rentals when it changes.
	kept = 32
	// told is how many boots what the cloud says of a kind stands for: it outweighs
	// the first few and is outweighed by a burst of others.
	told = 8
	// leastSpread and mostSpread bound what is usual, in times of what the cloud says,
	// and tail is the longest that some few take before anything else is known.
	leastSpread, mostSpread, tail = 0.6, 1.5, 4.0
	// stuckLeast is how many machines must be overdue at a time, with none come up
	// since the first of them was rented, for the kind to count as not coming up.
	stuckLeast = 3
	// fades is after how long without a boot that came up or was given up, in times of
	// what the cloud says, nothing that was seen counts any more: a kind that was not
	// rented for so long, for the sake of what was seen, would never be again.
	fades = tail
	// patience multiplies the longest boot that was seen, or is to be expected, before
	// a machine is given up.
	patience = 1.0
)

// Never is how long a machine takes that will not come up.
const Never = time.Duration(1<<63 - 1)

// Kind is the account of one kind of machines. The zero value knows nothing.
type Kind struct {
	// seen are the last boots, Never for those given up, and last when one came up;
	// heard is when the newest was taken in.
	seen  []time.Duration
	last  time.Time
	heard time.Time
}

// Up takes in that a machine came up so long after it was rented.
func (k *Kind) Up(now time.Time, took time.Duration) {
	k.last = now
	k.add(now, took)
}

// Lost takes in that a machine was given up.
func (k *Kind) Lost(now time.Time) { k.add(now, Never) }

// Fade forgets what was seen too long ago.
func (k *Kind) Fade(now time.Time, ready time.Duration) {
	if len(k.seen) > 0 && now.Sub(k.heard) > time.Duration(fades*float64(ready)) {
		k.seen = nil
	}
}

func (k *Kind) add(now time.Time, d time.Duration) {
	k.heard = now
	if len(k.seen) >= kept {
		k.seen = slices.Delete(k.seen, 0, 1)
	}
	k.seen = append(k.seen, d)
}

// usual is the i-th of the boots that the cloud's word stands for.
func usual(ready time.Duration, i int) time.Duration {
	if i == told-1 {
		return time.Duration(tail * float64(ready))
	}
	return time.Duration((leastSpread + (mostSpread-leastSpread)*float64(i)/float64(told-2)) * float64(ready))
}

// Remaining is how much longer a machine most likely takes that is not up at this age,
// where the cloud says that its kind takes ready. A new one has the age 0.
func (k *Kind) Remaining(age, ready time.Duration) time.Duration {
	var left []time.Duration
	add := func(d time.Duration) {
		if d == Never {
			left = append(left, Never)
		} else if d > age {
			left = append(left, d-age)
		}
	}
	for i := range told - 1 {
		add(usual(ready, i))
	}
	// Of those few that take very long nothing tells how much longer.
	left = append(left, max(usual(ready, told-1)-age, time.Duration(mostSpread*float64(ready))))
	for _, d := range k.seen {
		add(d)
	}
	slices.Sort(left)
	return left[(len(left)-1)/2]
}

// Coming says that waiting for a machine of this age is a better bet than another.
func (k *Kind) Coming(age, ready time.Duration) bool {
	left := k.Remaining(age, ready)
	return left != Never && left <= k.Remaining(0, ready) && !k.GiveUp(age, ready)
}

// GiveUp says that a machine of this age is not worth its rent any more.
func (k *Kind) GiveUp(age, ready time.Duration) bool {
	longest := time.Duration(tail * float64(ready))
	for _, d := range k.seen {
		if d != Never {
			longest = max(longest, d)
		}
	}
	return float64(age) > patience*float64(longest)
}

// Booting is a machine that is not up yet: when it was rented.
type Booting time.Time

// Stuck says that a kind has stopped coming up: several machines are overdue, and none
// has come up since the first of these was rented. Machines of other kinds are then the
// better choice.
func (k *Kind) Stuck(now time.Time, ready time.Duration, booting []Booting) bool {
	overdue := 0
	var first time.Time
	for _, b := range booting {
		at := time.Time(b)
		if k.Coming(now.Sub(at), ready) {
			continue
		}
		if overdue++; first.IsZero() || at.Before(first) {
			first = at
		}
	}
	return overdue >= stuckLeast && !k.last.After(first)
}

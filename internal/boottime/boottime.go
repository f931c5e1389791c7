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
	// maxSamples is how many of the last boots of a kind count: enough for its spread, few
	// enough to follow within a burst of rentals when it changes.
	maxSamples = 32
	// priorSamples is how many boots what the cloud says of a kind stands for: it outweighs
	// the first few and is outweighed by a burst of others.
	priorSamples = 8
	// minUsualFactor and maxUsualFactor bound what is usual, in times of what the cloud says,
	// and tail is the longest that some few take before anything else is known.
	minUsualFactor, maxUsualFactor, tailFactor = 0.6, 1.5, 4.0
	// minOverdue is how many machines must be overdue at a time, with none come up
	// since the first of them was rented, for the kind to count as not coming up.
	minOverdue = 3
	// forgetFactor is after how long without a boot that came up or was given up, in times of
	// what the cloud says, nothing that was seen counts any more: a kind that was not
	// rented for so long, for the sake of what was seen, would never be again.
	forgetFactor = tailFactor
	// giveUpFactor multiplies the longest boot that was seen, or is to be expected, before
	// a machine is given up.
	giveUpFactor = 1.0
)

// Never is how long a machine takes that will not come up.
const Never = time.Duration(1<<63 - 1)

// Estimator is the account of one kind of machines. The zero value knows nothing.
type Estimator struct {
	// samples are the last boots, Never for those given up, and last when one came up;
	// heard is when the newest was taken in.
	samples    []time.Duration
	lastReady  time.Time
	lastSample time.Time
}

// RecordReady takes in that a machine came up so long after it was rented.
func (k *Estimator) RecordReady(now time.Time, took time.Duration) {
	k.lastReady = now
	k.record(now, took)
}

// RecordGivenUp takes in that a machine was given up.
func (k *Estimator) RecordGivenUp(now time.Time) { k.record(now, Never) }

// Expire forgets what was seen too long ago.
func (k *Estimator) Expire(now time.Time, nominal time.Duration) {
	if len(k.samples) > 0 && now.Sub(k.lastSample) > time.Duration(forgetFactor*float64(nominal)) {
		k.samples = nil
	}
}

func (k *Estimator) record(now time.Time, d time.Duration) {
	k.lastSample = now
	if len(k.samples) >= maxSamples {
		k.samples = slices.Delete(k.samples, 0, 1)
	}
	k.samples = append(k.samples, d)
}

// priorSample is the i-th of the boots that the cloud's word stands for.
func priorSample(nominal time.Duration, i int) time.Duration {
	if i == priorSamples-1 {
		return time.Duration(tailFactor * float64(nominal))
	}
	return time.Duration((minUsualFactor + (maxUsualFactor-minUsualFactor)*float64(i)/float64(priorSamples-2)) * float64(nominal))
}

// Remaining is how much longer a machine most likely takes that is not up at this age,
// where the cloud says that its kind takes ready. A new one has the age 0.
func (k *Estimator) Remaining(age, nominal time.Duration) time.Duration {
	var candidates []time.Duration
	add := func(d time.Duration) {
		if d == Never {
			candidates = append(candidates, Never)
		} else if d > age {
			candidates = append(candidates, d-age)
		}
	}
	for i := range priorSamples - 1 {
		add(priorSample(nominal, i))
	}
	// Of those few that take very long nothing tells how much longer.
	candidates = append(candidates, max(priorSample(nominal, priorSamples-1)-age, time.Duration(maxUsualFactor*float64(nominal))))
	for _, d := range k.samples {
		add(d)
	}
	slices.Sort(candidates)
	return candidates[(len(candidates)-1)/2]
}

// IsWorthWaiting says that waiting for a machine of this age is a better bet than another.
func (k *Estimator) IsWorthWaiting(age, nominal time.Duration) bool {
	remaining := k.Remaining(age, nominal)
	return remaining != Never && remaining <= k.Remaining(0, nominal) && !k.GiveUp(age, nominal)
}

// GiveUp says that a machine of this age is not worth its rent any more.
func (k *Estimator) GiveUp(age, nominal time.Duration) bool {
	longest := time.Duration(tailFactor * float64(nominal))
	for _, d := range k.samples {
		if d != Never {
			longest = max(longest, d)
		}
	}
	return float64(age) > giveUpFactor*float64(longest)
}

// Provisioning is a machine that is not up yet: when it was rented.
type Provisioning time.Time

// NeverReady says that a kind has stopped coming up: several machines are overdue, and none
// has come up since the first of these was rented. Machines of other kinds are then the
// better choice.
func (k *Estimator) NeverReady(now time.Time, nominal time.Duration, provisioning []Provisioning) bool {
	overdue := 0
	var first time.Time
	for _, b := range provisioning {
		at := time.Time(b)
		if k.IsWorthWaiting(now.Sub(at), nominal) {
			continue
		}
		if overdue++; first.IsZero() || at.Before(first) {
			first = at
		}
	}
	return overdue >= minOverdue && !k.lastReady.After(first)
}

// Package boottime estimates how long machines of a kind take to become ready. The times vary
// widely: within a second, many times as long as the cloud says, or never. It estimates how
// much longer a machine that is not ready yet will take, so that another is rented when
// waiting is the worse bet; when a machine is to be given up; and whether its kind has stopped
// becoming ready at all. The package has no clock and sends nothing.
package boottime

import (
	"slices"
	"time"
)

const (
	// maxSamples is how many of a kind's last boots count: enough for the spread, few enough
	// to follow a change within a burst of scale-outs.
	maxSamples = 32
	// priorSamples is how many samples the cloud's nominal time stands for: it outweighs the
	// first few boots and is outweighed by a burst of them.
	priorSamples = 8
	// minUsualFactor and maxUsualFactor bound the usual boot time, and tailFactor the longest
	// that some few boots take before anything else is known, as multiples of the nominal
	// time.
	minUsualFactor, maxUsualFactor, tailFactor = 0.6, 1.5, 4.0
	// minOverdue is how many machines must be overdue at a time, with none ready since the
	// first of them was rented, before their kind counts as never ready.
	minOverdue = 3
	// forgetFactor is how long samples count after the newest one, as a multiple of the
	// nominal time. Otherwise a kind that is not rented because of its samples would never be
	// rented again.
	forgetFactor = tailFactor
	// giveUpFactor multiplies the longest boot that was observed, or is expected, before a
	// machine is given up.
	giveUpFactor = 1.0
)

// Never is the boot time of a machine that does not become ready.
const Never = time.Duration(1<<63 - 1)

// Estimator estimates the boot times of one kind of machine. The zero value has no samples. It
// is not safe for concurrent use.
type Estimator struct {
	// samples are the last boot times, Never for those given up; lastReady is when a machine
	// last became ready, and lastSample when the newest sample was taken.
	samples    []time.Duration
	lastReady  time.Time
	lastSample time.Time
}

// RecordReady records that a machine became ready, and how long after it was rented.
func (e *Estimator) RecordReady(now time.Time, took time.Duration) {
	e.lastReady = now
	e.record(now, took)
}

// RecordGivenUp records that a machine was given up.
func (e *Estimator) RecordGivenUp(now time.Time) { e.record(now, Never) }

// Expire drops all samples if the newest is too old.
func (e *Estimator) Expire(now time.Time, nominal time.Duration) {
	if len(e.samples) > 0 && now.Sub(e.lastSample) > time.Duration(forgetFactor*float64(nominal)) {
		e.samples = nil
	}
}

func (e *Estimator) record(now time.Time, d time.Duration) {
	e.lastSample = now
	if len(e.samples) >= maxSamples {
		e.samples = slices.Delete(e.samples, 0, 1)
	}
	e.samples = append(e.samples, d)
}

// priorSample is the i-th of the samples that the nominal time stands for.
func priorSample(nominal time.Duration, i int) time.Duration {
	if i == priorSamples-1 {
		return time.Duration(tailFactor * float64(nominal))
	}
	return time.Duration((minUsualFactor + (maxUsualFactor-minUsualFactor)*float64(i)/float64(priorSamples-2)) * float64(nominal))
}

// Remaining estimates how much longer a machine takes that is not ready at this age; nominal
// is the time that the cloud states for its kind. A new machine has the age 0.
func (e *Estimator) Remaining(age, nominal time.Duration) time.Duration {
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
	// How much longer the few very slow boots take is unknown.
	candidates = append(candidates, max(priorSample(nominal, priorSamples-1)-age, time.Duration(maxUsualFactor*float64(nominal))))
	for _, d := range e.samples {
		add(d)
	}
	slices.Sort(candidates)
	return candidates[(len(candidates)-1)/2]
}

// IsWorthWaiting reports whether waiting for a machine of this age is a better bet than
// renting another.
func (e *Estimator) IsWorthWaiting(age, nominal time.Duration) bool {
	remaining := e.Remaining(age, nominal)
	return remaining != Never && remaining <= e.Remaining(0, nominal) && !e.GiveUp(age, nominal)
}

// GiveUp reports whether a machine of this age is not worth its rent any more.
func (e *Estimator) GiveUp(age, nominal time.Duration) bool {
	longest := time.Duration(tailFactor * float64(nominal))
	for _, d := range e.samples {
		if d != Never {
			longest = max(longest, d)
		}
	}
	return float64(age) > giveUpFactor*float64(longest)
}

// Provisioning is when a machine was rented that is not ready yet.
type Provisioning time.Time

// NeverReady reports whether a kind has stopped becoming ready: several machines are overdue,
// and none has become ready since the first of these was rented. Other kinds are then the
// better choice.
func (e *Estimator) NeverReady(now time.Time, nominal time.Duration, provisioning []Provisioning) bool {
	overdue := 0
	var first time.Time
	for _, b := range provisioning {
		at := time.Time(b)
		if e.IsWorthWaiting(now.Sub(at), nominal) {
			continue
		}
		if overdue++; first.IsZero() || at.Before(first) {
			first = at
		}
	}
	return overdue >= minOverdue && !e.lastReady.After(first)
}

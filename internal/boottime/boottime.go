// Package boottime estimates how long machines of a kind take to become ready. The times vary widely: a
// machine may be ready within a second, after many times the time that the cloud states, or never. The
// package estimates how much longer a machine that is not ready yet will take, so that another machine
// is rented if waiting would probably take longer. It also decides when to give up a machine, and
// whether the machines of a kind have stopped becoming ready. The package has no clock and sends
// nothing.
package boottime

import (
	"slices"
	"time"
)

const (
	// maxSamples is how many of a kind's last boots count: enough to show the spread of the times,
	// and few enough to follow a change within a burst of scale-outs.
	maxSamples = 32
	// priorSamples is how many samples represent the nominal time that the cloud states. They
	// outweigh the first few boots, and a burst of boots outweighs them.
	priorSamples = 8
	// minUsualFactor and maxUsualFactor bound the usual boot time, as multiples of the nominal
	// time. tailFactor is the multiple that the few slowest boots are assumed to take without
	// samples.
	minUsualFactor, maxUsualFactor, tailFactor = 0.6, 1.5, 4.0
	// minOverdue is how many machines of a kind must be overdue at a time, with none ready since
	// the first of them was rented, before the kind counts as never ready.
	minOverdue = 3
	// forgetFactor is how long samples count after the newest one, as a multiple of the nominal
	// time. If samples did not expire, a kind that is not rented because of its samples would
	// never be rented again.
	forgetFactor = tailFactor
	// giveUpFactor is the age at which a machine is given up, as a multiple of the longest boot
	// time observed or expected.
	giveUpFactor = 1.0
)

// Never stands for the boot time of a machine that does not become ready.
const Never = time.Duration(1<<63 - 1)

// Estimator estimates the boot times of one kind of machine. The zero value has no samples. It
// is not safe for concurrent use.
type Estimator struct {
	// samples holds the last boot times, with Never for machines that were given up. lastReady is
	// when a machine last became ready, and lastSample when the newest sample was recorded.
	samples    []time.Duration
	lastReady  time.Time
	lastSample time.Time
}

// RecordReady records that a machine became ready at the time now, and how long after its rental.
func (estimator *Estimator) RecordReady(now time.Time, took time.Duration) {
	estimator.lastReady = now
	estimator.record(now, took)
}

// RecordGivenUp records that a machine was given up at the time now.
func (estimator *Estimator) RecordGivenUp(now time.Time) { estimator.record(now, Never) }

// Expire drops all samples if the newest is older than forgetFactor times the nominal time.
func (estimator *Estimator) Expire(now time.Time, nominal time.Duration) {
	if len(estimator.samples) > 0 && now.Sub(estimator.lastSample) > time.Duration(forgetFactor*float64(nominal)) {
		estimator.samples = nil
	}
}

// record adds a sample, and drops the oldest one if there are more than maxSamples.
func (estimator *Estimator) record(now time.Time, d time.Duration) {
	estimator.lastSample = now
	if len(estimator.samples) >= maxSamples {
		estimator.samples = slices.Delete(estimator.samples, 0, 1)
	}
	estimator.samples = append(estimator.samples, d)
}

// priorSample returns the i-th of the samples that represent the nominal time.
func priorSample(nominal time.Duration, i int) time.Duration {
	if i == priorSamples-1 {
		return time.Duration(tailFactor * float64(nominal))
	}
	return time.Duration((minUsualFactor + (maxUsualFactor-minUsualFactor)*float64(i)/float64(priorSamples-2)) * float64(nominal))
}

// Remaining estimates how much longer a machine takes that is not ready at the given age. It uses the median
// of the samples above that age, so the result may be Never. nominal is the boot time that the cloud states
// for the machine's kind. A new machine has the age 0.
func (estimator *Estimator) Remaining(age, nominal time.Duration) time.Duration {
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
	// The remaining time of the few very slow boots is unknown, so it has a lower bound.
	candidates = append(candidates, max(priorSample(nominal, priorSamples-1)-age, time.Duration(maxUsualFactor*float64(nominal))))
	for _, d := range estimator.samples {
		add(d)
	}
	slices.Sort(candidates)
	return candidates[(len(candidates)-1)/2]
}

// IsWorthWaiting reports whether a machine of the given age is expected to be ready no later than one
// rented now, and need not be given up.
func (estimator *Estimator) IsWorthWaiting(age, nominal time.Duration) bool {
	remaining := estimator.Remaining(age, nominal)
	return remaining != Never && remaining <= estimator.Remaining(0, nominal) && !estimator.GiveUp(age, nominal)
}

// GiveUp reports whether a machine of the given age that is not ready is to be released, because it has
// taken longer than any known or expected boot.
func (estimator *Estimator) GiveUp(age, nominal time.Duration) bool {
	longest := time.Duration(tailFactor * float64(nominal))
	for _, d := range estimator.samples {
		if d != Never {
			longest = max(longest, d)
		}
	}
	return float64(age) > giveUpFactor*float64(longest)
}

// Provisioning is the time at which a machine that is not ready yet was rented.
type Provisioning time.Time

// NeverReady reports whether the machines of a kind have stopped becoming ready: at least minOverdue of the
// given machines are overdue, and no machine of the kind has become ready since the first overdue one was
// rented. Other kinds should then be rented instead.
func (estimator *Estimator) NeverReady(now time.Time, nominal time.Duration, provisioning []Provisioning) bool {
	overdue := 0
	var first time.Time
	for _, machine := range provisioning {
		rentedAt := time.Time(machine)
		if estimator.IsWorthWaiting(now.Sub(rentedAt), nominal) {
			continue
		}
		if overdue++; first.IsZero() || rentedAt.Before(first) {
			first = rentedAt
		}
	}
	return overdue >= minOverdue && !estimator.lastReady.After(first)
}

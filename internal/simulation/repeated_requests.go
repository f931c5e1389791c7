package simulation

import (
	"math/rand/v2"
	"time"
)

// This file has a network that delivers requests again, late, although they were carried out and
// answered: commands to workers, transactions, bookings and releases of machines, messages between
// controllers and requests of users. The sender has its answer and does not wait for another one.

// repeatsKind is the kind of the fault of this file.
const repeatsKind = "repeats"

const (
	// maxRepeats is how often a request is delivered again at most.
	maxRepeats = 3
	// minRepeatDelay and maxRepeatDelay bound the time from the answer to a repeat.
	minRepeatDelay = time.Second
	maxRepeatDelay = 41 * time.Second
	// repeatsOneIn makes one day in this many with faults beyond the listed ones have repeats.
	repeatsOneIn = 3
)

// requestRepeats is the state of the fault of this file.
type requestRepeats struct {
	// repeatRate is the fraction of the answered requests that are repeated, up to repeatDelay
	// later. The fault lasts until repeatsUntil.
	repeatRate   float64
	repeatDelay  time.Duration
	repeatsUntil time.Time
	// repeatRng is the random stream of the fault, so that a day without it stays the same.
	repeatRng *rand.Rand
	// repeated counts the repeats that were delivered, by the kind of the receiver.
	repeated map[string]int
}

// generateRepeats adds the fault of this file to one day in repeatsOneIn. On a day with overlapping
// faults it begins soon after the first of them, unless the day has maxOverlapFaults faults already.
// It has its own random stream, so that the rest of the day stays the same.
func generateRepeats(day *Day, overlapping []Fault) {
	rng := rand.New(rand.NewPCG(day.Seed, 6022))
	if rng.IntN(repeatsOneIn) > 0 {
		return
	}
	fault := Fault{
		Kind: repeatsKind, At: time.Duration(10+rng.IntN(day.Minutes*60-20)) * time.Second,
		Duration: logUniform(rng, 20*time.Second, 3*time.Minute), Delay: logUniform(rng, 2*minRepeatDelay, maxRepeatDelay),
		Fraction: []float64{0.3, 1, 1}[rng.IntN(3)],
	}
	if len(overlapping) > 0 {
		if len(day.Faults) >= maxOverlapFaults {
			return
		}
		fault.At = overlapping[0].At + time.Duration(rng.Float64()*float64(maxFaultSpacing))
	}
	day.Faults = append(day.Faults, fault)
}

// RepeatRequests makes a fraction of the requests that are answered during the given duration arrive
// again, up to maxRepeats times and up to longest after the answer.
func (world *World) RepeatRequests(fraction float64, longest, duration time.Duration, rng *rand.Rand) {
	world.repeatRate, world.repeatDelay, world.repeatsUntil = fraction, max(longest, 2*minRepeatDelay), world.now.Add(duration)
	world.repeatRng = rand.New(rand.NewPCG(rng.Uint64(), 1))
}

// maybeRepeat schedules repeats of a request that has just been answered, if the fault is active and
// selects it. receiver is the kind of the receiver. A repeat may reach a later process of a worker.
func (world *World) maybeRepeat(receiver, from, to string, deliver func()) {
	if !world.now.Before(world.repeatsUntil) || world.repeatRng.Float64() >= world.repeatRate {
		return
	}
	for range 1 + world.repeatRng.IntN(maxRepeats) {
		delay := minRepeatDelay + time.Duration(world.repeatRng.Int64N(int64(world.repeatDelay-minRepeatDelay)))
		world.schedule(delay, func() {
			world.sendMessage(from, to, func() {
				world.repeated[receiver]++
				deliver()
			})
		})
	}
}

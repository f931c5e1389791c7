// Package ratelimit divides a rate limit that all controllers share, such as the state
// service's requests a second, by the controllers' demands. Each controller publishes its
// demand, and each computes the same division. While an update is late, the views of two
// controllers differ for a moment, and the service refuses the excess. No controller gets less
// than a floor, so that a controller whose demand grows can use more and thereby show its
// demand.
package ratelimit

import (
	"slices"
	"time"
)

const (
	// Headroom is the factor by which an allocation exceeds the demand while the capacity is
	// sufficient. It is needed because the demand is a mean and requests arrive unevenly.
	Headroom = 1.6
	// minHeadroom is the least headroom factor, which applies when the demands nearly use up the
	// capacity. Every surplus of one controller is then missing for the others.
	minHeadroom = 1.2
	// floorFraction is the fraction of an equal share that every controller gets in any case.
	floorFraction = 0.3
	// averagingWindow is the time over which a demand is averaged.
	averagingWindow = 4 * time.Second
)

// Allocate divides a capacity among demands, all in units a second. If the capacity suffices,
// each demand is met with headroom. Otherwise small demands are met in full and large ones get
// equal allocations. The rest is divided equally. The allocations add up to the capacity.
func Allocate(capacity float64, demands []float64) []float64 {
	count := len(demands)
	if count == 0 {
		return nil
	}
	total := 0.0
	for _, demand := range demands {
		total += demand
	}
	headroom := Headroom
	if total > 0 {
		headroom = min(Headroom, max(minHeadroom, capacity/total))
	}
	floor := floorFraction * capacity / float64(count)
	allocations := make([]float64, count)
	order := make([]int, count)
	for i := range order {
		order[i] = i
	}
	slices.SortStableFunc(order, func(a, b int) int {
		switch {
		case demands[a] < demands[b]:
			return -1
		case demands[a] > demands[b]:
			return 1
		}
		return 0
	})
	remaining := capacity
	for position, i := range order {
		target := max(floor, headroom*demands[i])
		allocations[i] = min(target, remaining/float64(count-position))
		remaining -= allocations[i]
	}
	for i := range allocations {
		allocations[i] += remaining / float64(count)
	}
	return allocations
}

// Meter averages a demand. Its zero value is ready to use. It is not safe for concurrent use.
type Meter struct {
	updatedAt time.Time
	rate      float64
	count     float64
}

// Add records more units of demand.
func (meter *Meter) Add(units float64) { meter.count += units }

// Rate returns the average demand, in units a second.
func (meter *Meter) Rate(now time.Time) float64 {
	if meter.updatedAt.IsZero() {
		meter.updatedAt = now
		return 0
	}
	elapsed := now.Sub(meter.updatedAt)
	if elapsed < 200*time.Millisecond {
		return meter.rate
	}
	weight := min(1, float64(elapsed)/float64(averagingWindow))
	meter.rate += weight * (meter.count/elapsed.Seconds() - meter.rate)
	meter.updatedAt, meter.count = now, 0
	return meter.rate
}

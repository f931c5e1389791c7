// Package ratelimit divides a rate that all controllers share, such as the state
// service's requests a second, by what each of them needs. Each tells the others what
// it asks for, and each reckons the same division from that; where news is late two
// views differ for a moment, and the service refuses what is too much. Nobody gets
// less than a floor, so that one that begins to need more can say so by using more.
package ratelimit

import (
	"slices"
	"time"
)

const (
	// Headroom is how much more than it asks for a controller is given while there is
	// enough: what is asked for is a mean, and what comes varies.
	Headroom = 1.6
	// minHeadroom is what is left of it when all together ask for nearly everything:
	// what one has beyond its need the others lack.
	minHeadroom = 1.2
	// floorFraction is the part of an equal division that everybody has in any case.
	floorFraction = 0.3
	// averagingWindow is the time over which what is asked for is averaged.
	averagingWindow = 4 * time.Second
)

// Allocate divides a capacity among demands, all in units a second: to each what it
// asks for with headroom, as far as there is enough; else the small ones in full and
// the large ones alike. What is left over goes to all alike. The parts add up to the
// capacity.
func Allocate(capacity float64, demands []float64) []float64 {
	n := len(demands)
	if n == 0 {
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
	floor := floorFraction * capacity / float64(n)
	allocations := make([]float64, n)
	order := make([]int, n)
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
	for k, i := range order {
		target := max(floor, headroom*demands[i])
		allocations[i] = min(target, remaining/float64(n-k))
		remaining -= allocations[i]
	}
	for i := range allocations {
		allocations[i] += remaining / float64(n)
	}
	return allocations
}

// Meter averages what is asked for. The zero value is ready.
type Meter struct {
	updatedAt time.Time
	rate      float64
	count     float64
}

// Add notes that n more were asked for.
func (m *Meter) Add(n float64) { m.count += n }

// Rate is what was asked for a second, as a mean over the last while.
func (m *Meter) Rate(now time.Time) float64 {
	if m.updatedAt.IsZero() {
		m.updatedAt = now
		return 0
	}
	elapsed := now.Sub(m.updatedAt)
	if elapsed < 200*time.Millisecond {
		return m.rate
	}
	weight := min(1, float64(elapsed)/float64(averagingWindow))
	m.rate += weight * (m.count/elapsed.Seconds() - m.rate)
	m.updatedAt, m.count = now, 0
	return m.rate
}

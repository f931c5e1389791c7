// Package budget divides a rate that all controllers share, such as the state
// service's requests a second, by what each of them needs. Each tells the others what
// it asks for, and each reckons the same division from that; where news is late two
// views differ for a moment, and the service refuses what is too much. Nobody gets
// less than a floor, so that one that begins to need more can say so by using more.
package budget

import (
	"slices"
	"time"
)

const (
	// Headroom is how much more than it asks for a controller is given while there is
	// enough: what is asked for is a mean, and what comes varies.
	Headroom = 1.6
	// leastHeadroom is what is left of it when all together ask for nearly everything:
	// what one has beyond its need the others lack.
	leastHeadroom = 1.2
	// floorPart is the part of an equal division that everybody has in any case.
	floorPart = 0.3
	// memory is the time over which what is asked for is averaged.
	memory = 4 * time.Second
)

// Divide divides a capacity among demands, all in units a second: to each what it
// asks for with headroom, as far as there is enough; else the small ones in full and
// the large ones alike. What is left over goes to all alike. The parts add up to the
// capacity.
func Divide(capacity float64, demands []float64) []float64 {
	n := len(demands)
	if n == 0 {
		return nil
	}
	sum := 0.0
	for _, d := range demands {
		sum += d
	}
	headroom := Headroom
	if sum > 0 {
		headroom = min(Headroom, max(leastHeadroom, capacity/sum))
	}
	floor := floorPart * capacity / float64(n)
	out := make([]float64, n)
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
	left := capacity
	for k, i := range order {
		want := max(floor, headroom*demands[i])
		out[i] = min(want, left/float64(n-k))
		left -= out[i]
	}
	for i := range out {
		out[i] += left / float64(n)
	}
	return out
}

// Meter averages what is asked for. The zero value is ready.
type Meter struct {
	at   time.Time
	rate float64
	some float64
}

// Add notes that n more were asked for.
func (m *Meter) Add(n float64) { m.some += n }

// Rate is what was asked for a second, as a mean over the last while.
func (m *Meter) Rate(now time.Time) float64 {
	if m.at.IsZero() {
		m.at = now
		return 0
	}
	d := now.Sub(m.at)
	if d < 200*time.Millisecond {
		return m.rate
	}
	w := min(1, float64(d)/float64(memory))
	m.rate += w * (m.some/d.Seconds() - m.rate)
	m.at, m.some = now, 0
	return m.rate
}

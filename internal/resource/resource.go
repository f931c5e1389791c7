// Package resource counts what machines offer and tasks take. It stands below
// internal/controller so that decisions outside the core, such as internal/packing, speak of
// the same thing.
package resource

import "math"

// Resources is an amount of what a machine offers or a task takes.
type Resources struct {
	CPU    float64
	GPU    float64
	Memory float64
}

// Tolerance absorbs rounding when amounts in decimal form are added up and taken away
// again over a long life.
const Tolerance = 1e-6

// Fits says whether r fits into free.
func (r Resources) Fits(free Resources) bool {
	return r.CPU <= free.CPU+Tolerance && r.GPU <= free.GPU+Tolerance && r.Memory <= free.Memory+Tolerance
}

// AddScaled adds n times o.
func (r Resources) AddScaled(o Resources, n float64) Resources {
	return Resources{CPU: r.CPU + n*o.CPU, GPU: r.GPU + n*o.GPU, Memory: r.Memory + n*o.Memory}
}

// FitCount says how many tasks of size o fit into r.
func (r Resources) FitCount(o Resources) int {
	n := math.Inf(1)
	for _, dimension := range [...][2]float64{{r.CPU, o.CPU}, {r.GPU, o.GPU}, {r.Memory, o.Memory}} {
		if dimension[1] > Tolerance {
			n = min(n, math.Floor((dimension[0]+Tolerance)/dimension[1]))
		}
	}
	if math.IsInf(n, 1) {
		return math.MaxInt32
	}
	return max(0, int(n))
}

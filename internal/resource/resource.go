// Package resource has arithmetic on the resources that machines offer and tasks need. It imports no other
// package of the project, so that packages below the controller, such as packing, can use it.
package resource

import "math"

// Resources is an amount of resources that a machine offers or a task needs: CPUs, GPUs, and memory in
// the protocol's unit.
type Resources struct {
	CPU    float64
	GPU    float64
	Memory float64
}

// Tolerance is the difference up to which two amounts count as equal. It covers the rounding errors of
// decimal amounts that are added and subtracted many times.
const Tolerance = 1e-6

// Fits reports whether each amount of r is at most that of free, up to Tolerance.
func (r Resources) Fits(free Resources) bool {
	return r.CPU <= free.CPU+Tolerance && r.GPU <= free.GPU+Tolerance && r.Memory <= free.Memory+Tolerance
}

// AddScaled returns r plus n times o.
func (r Resources) AddScaled(o Resources, n float64) Resources {
	return Resources{CPU: r.CPU + n*o.CPU, GPU: r.GPU + n*o.GPU, Memory: r.Memory + n*o.Memory}
}

// FitCount returns how many tasks that need o fit into r; math.MaxInt32 if o is empty.
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

package ratelimit

import (
	"math"
	"testing"
	"time"

	_ "github.com/micahill/micahill/internal/testseed"
	"pgregory.net/rapid"
)

// TestAllocate checks random divisions: the allocations add up to the capacity, no controller
// gets less than the floor, every demand is met while the capacity suffices for all, and a
// larger demand never gets less than a smaller one.
func TestAllocate(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		capacity := rapid.Float64Range(1, 1000).Draw(t, "capacity")
		demands := rapid.SliceOfN(rapid.Float64Range(0, 2000), 1, 9).Draw(t, "demands")
		allocations := Allocate(capacity, demands)
		total, wanted := 0.0, 0.0
		for i, p := range allocations {
			total += p
			wanted += max(demands[i]*Headroom, floorFraction*capacity/float64(len(demands)))
			if p < floorFraction*capacity/float64(len(demands))*0.999 {
				t.Fatalf("got %v of %v for demand %v, want the floor at least", p, capacity, demands[i])
			}
		}
		if math.Abs(total-capacity) > 1e-6*capacity {
			t.Fatalf("allocations add up to %v, want %v", total, capacity)
		}
		for i := range allocations {
			if wanted <= capacity && allocations[i] < demands[i] {
				t.Fatalf("got %v of %v for demands %v, want the demand met: there is enough for all", allocations[i], capacity, demands)
			}
			for k := range allocations {
				if demands[i] > demands[k] && allocations[i] < allocations[k]-1e-9*capacity {
					t.Fatalf("demand %v: got %v, less than %v for the smaller demand %v", demands[i], allocations[i], allocations[k], demands[k])
				}
			}
		}
	})
}

// TestMeter checks that the measured rate follows a steady rate, and its end, within some
// seconds.
func TestMeter(t *testing.T) {
	var m Meter
	now := time.Unix(1_750_000_000, 0)
	for range 200 {
		m.Add(2)
		now = now.Add(100 * time.Millisecond)
		m.Rate(now)
	}
	if r := m.Rate(now); math.Abs(r-20) > 1 {
		t.Errorf("got %v a second, want 20", r)
	}
	if r := m.Rate(now.Add(12 * time.Second)); r > 2 {
		t.Errorf("long after the last request: got %v a second, want 2 at most", r)
	}
}

// TestAllocateUnderScarcity checks that small demands keep some headroom when the demands nearly
// use up the capacity, and that the headroom above that goes to the demands that are not met.
func TestAllocateUnderScarcity(t *testing.T) {
	for _, p := range Allocate(25, []float64{18, 3, 3})[1:] {
		if p < 3*1.1 || p > 3*1.3 {
			t.Errorf("scarce capacity: got %v for demand 3, want some headroom", p)
		}
	}
	if p := Allocate(25, []float64{4, 3, 3}); p[1] < 3*Headroom {
		t.Errorf("ample capacity: got %v of 25 for demand 3, want full headroom", p[1])
	}
}

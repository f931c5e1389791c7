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
		for i, allocation := range allocations {
			total += allocation
			wanted += max(demands[i]*Headroom, floorFraction*capacity/float64(len(demands)))
			if allocation < floorFraction*capacity/float64(len(demands))*0.999 {
				t.Fatalf("got %v of %v for demand %v, want the floor at least", allocation, capacity, demands[i])
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
					t.Fatalf("demand %v: got %v; smaller demand %v: got %v, want at most the former", demands[i], allocations[i], demands[k], allocations[k])
				}
			}
		}
	})
}

// TestMeter checks that the measured rate follows a steady rate, and its end, within some
// seconds.
func TestMeter(t *testing.T) {
	var meter Meter
	now := time.Unix(1_750_000_000, 0)
	for range 200 {
		meter.Add(2)
		now = now.Add(100 * time.Millisecond)
		meter.Rate(now)
	}
	if rate := meter.Rate(now); math.Abs(rate-20) > 1 {
		t.Errorf("got %v a second, want 20", rate)
	}
	if rate := meter.Rate(now.Add(12 * time.Second)); rate > 2 {
		t.Errorf("long after the last request: got %v a second, want 2 at most", rate)
	}
}

// TestAllocateUnderScarcity checks that small demands keep some headroom when the demands nearly
// use up the capacity, and that the headroom above that goes to the demands that are not met.
func TestAllocateUnderScarcity(t *testing.T) {
	for _, allocated := range Allocate(25, []float64{18, 3, 3})[1:] {
		if allocated < 3*1.1 || allocated > 3*1.3 {
			t.Errorf("scarce capacity: got %v for demand 3, want some headroom", allocated)
		}
	}
	if allocated := Allocate(25, []float64{4, 3, 3}); allocated[1] < 3*Headroom {
		t.Errorf("ample capacity: got %v of 25 for demand 3, want full headroom", allocated[1])
	}
}

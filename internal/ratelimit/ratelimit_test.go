package ratelimit

import (
	"math"
	"testing"
	"time"

	_ "github.com/micahill/micahill/internal/testseed"
	"pgregory.net/rapid"
)

// TestAllocate: the parts add up to the capacity and never to more, nobody is left
// without, nobody gets less than it asks for while there is enough for all, and one
// that asks for more never gets less than one that asks for less.
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
				t.Fatalf("%v of %v for %v is less than the floor", p, capacity, demands[i])
			}
		}
		if math.Abs(total-capacity) > 1e-6*capacity {
			t.Fatalf("the parts add up to %v of %v", total, capacity)
		}
		for i := range allocations {
			if wanted <= capacity && allocations[i] < demands[i] {
				t.Fatalf("%v of %v for %v, with enough for all", allocations[i], capacity, demands)
			}
			for k := range allocations {
				if demands[i] > demands[k] && allocations[i] < allocations[k]-1e-9*capacity {
					t.Fatalf("%v gets %v, %v gets %v", demands[i], allocations[i], demands[k], allocations[k])
				}
			}
		}
	})
}

// TestMeter: a steady rate is found within some seconds, and its end as well.
func TestMeter(t *testing.T) {
	var m Meter
	now := time.Unix(1_750_000_000, 0)
	for range 200 {
		m.Add(2)
		now = now.Add(100 * time.Millisecond)
		m.Rate(now)
	}
	if r := m.Rate(now); math.Abs(r-20) > 1 {
		t.Errorf("%v a second, want 20", r)
	}
	if r := m.Rate(now.Add(12 * time.Second)); r > 2 {
		t.Errorf("%v a second long after the last", r)
	}
}

// TestAllocateUnderScarcity: while all together ask for nearly everything, those that ask for
// little keep some headroom, and the rest of it goes to who lacks it.
func TestAllocateUnderScarcity(t *testing.T) {
	for _, p := range Allocate(25, []float64{18, 3, 3})[1:] {
		if p < 3*1.1 || p > 3*1.3 {
			t.Errorf("%v for 3 while changes are short", p)
		}
	}
	if p := Allocate(25, []float64{4, 3, 3}); p[1] < 3*Headroom {
		t.Errorf("%v of 25 for 3 while there is enough", p[1])
	}
}

package packing

import (
	"math"
	"testing"

	"github.com/micahill/micahill/internal/resource"
	_ "github.com/micahill/micahill/internal/testseed"
	"pgregory.net/rapid"
)

var host = resource.Resources{CPU: 64, GPU: 8, Memory: 512}

// gpus is a replica of so many GPUs.
func gpus(g, cpu, memory float64) resource.Resources {
	return resource.Resources{CPU: g * cpu, GPU: g, Memory: g * memory}
}

// drawDemands draws replicas of one to eight GPUs with what they need for each.
func drawDemands(t *rapid.T, cpuMost int) []Demand {
	return rapid.SliceOfN(rapid.Custom(func(t *rapid.T) Demand {
		return Demand{
			Need: gpus(rapid.SampledFrom([]float64{1, 2, 4, 8}).Draw(t, "gpus"), float64(rapid.IntRange(1, cpuMost).Draw(t, "cpu")),
				float64(rapid.IntRange(0, 64).Draw(t, "memory"))),
			Tasks: rapid.IntRange(1, 50).Draw(t, "tasks"), GB: float64(rapid.IntRange(1, 60).Draw(t, "gb")), HasWaiting: rapid.Bool().Draw(t, "waits"),
		}
	}), 1, 12).Draw(t, "seen")
}

// TestWholeHostsAreKeptWhole: whatever is usual, no place on a partly used host costs more than
// one on a whole host, and a place that is filled up costs nothing.
func TestWholeHostsAreKeptWhole(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		demands := drawDemands(t, 8)
		k := NewProfile(host, 1, demands)
		need := demands[0].Need
		whole := k.FragmentationCost(host, need)
		taken := gpus(float64(rapid.IntRange(1, 7).Draw(t, "taken")), 8, 64)
		partlyUsed := host.AddScaled(taken, -1)
		if !need.Fits(partlyUsed) {
			return
		}
		if c := k.FragmentationCost(partlyUsed, need); c < 0 || c > whole+1e-9 {
			t.Fatalf("a host with %v taken costs %v, a whole one %v", taken, c, whole)
		}
		if need.GPU < host.GPU && whole <= 0 {
			t.Fatalf("a whole host costs %v", whole)
		}
		if c := k.FragmentationCost(need, need); c > 1e-9 {
			t.Fatalf("a place that it fills costs %v", c)
		}
	})
}

// TestUnusedIsUsable: when tasks without GPUs take NonGPUCapacity, each usual size that could use
// all GPUs of an empty host still can, those free now and those free later.
func TestUnusedIsUsable(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		demands := drawDemands(t, 12)
		k := NewProfile(host, 1, demands)
		if k == nil {
			return
		}
		free, nonGPUUsed := host, resource.Resources{}
		for _, s := range demands {
			if s.Need.Fits(free) && rapid.Bool().Draw(t, "runs") {
				free = free.AddScaled(s.Need, -1)
			}
		}
		for range rapid.IntRange(0, 20).Draw(t, "others") {
			o := resource.Resources{CPU: float64(rapid.IntRange(1, 16).Draw(t, "its cpu")), Memory: float64(rapid.IntRange(1, 128).Draw(t, "its memory"))}
			if o.Fits(k.NonGPUCapacity(free, nonGPUUsed)) {
				free, nonGPUUsed = free.AddScaled(o, -1), nonGPUUsed.AddScaled(o, 1)
			}
		}
		for _, s := range demands {
			if !s.Need.Fits(host) || float64(host.FitCount(s.Need)) < math.Floor(host.GPU/s.Need.GPU) {
				continue
			}
			empty := host.AddScaled(nonGPUUsed, -1)
			if got, want := empty.FitCount(s.Need), host.FitCount(s.Need); got != want && nonGPUUsed != (resource.Resources{}) {
				t.Fatalf("%d of %v fit beside %v, %d without", got, s.Need, nonGPUUsed, want)
			}
		}
	})
}

// TestImageOrPacking compares the cost of fragmentation with that of image fetches, and pins a few
// capacities.
func TestImageOrPacking(t *testing.T) {
	small, large := gpus(1, 6, 40), gpus(8, 6, 40)
	seen := []Demand{{Need: small, Tasks: 90, GB: 8}, {Need: gpus(2, 6, 40), Tasks: 10, GB: 16}}
	k := NewProfile(host, 1, seen)
	partlyUsed := host.AddScaled(small, -3)
	saved := k.FragmentationCost(host, small) - k.FragmentationCost(partlyUsed, small)
	if saved < 4 || saved > 16 {
		t.Errorf("got %v s saved by keeping a host whole, want 4 to 16", saved)
	}
	// What waits counts in full.
	waits := NewProfile(host, 1, append(seen, Demand{Need: gpus(4, 6, 40), Tasks: 1, GB: 30, HasWaiting: true}))
	four := host.AddScaled(small, -4)
	if k.FragmentationCost(four, small) >= waits.FragmentationCost(four, small) {
		t.Error("the last place for one that waits is worth no more than if nobody did")
	}
	if NewProfile(host, 1, seen[:0]) != nil || NewProfile(resource.Resources{CPU: 8, Memory: 8}, 1, seen) != nil {
		t.Error("got a profile without demand or GPUs, want none")
	}
	// What all eight GPUs need is left to them.
	if s := k.NonGPUCapacity(host, resource.Resources{}); s.CPU != 16 || s.Memory != 192 || s.GPU != 0 {
		t.Errorf("got a capacity of %v without GPUs on an empty host, want 16 CPUs and 192 GB", s)
	}
	full := host.AddScaled(large, -1)
	if s := k.NonGPUCapacity(full, resource.Resources{CPU: 10}); s.CPU != 6 {
		t.Errorf("got a capacity of %v beside others, want 6 CPUs", s)
	}
	var r FreeCapacity
	r.Add(k, host, host)
	r.Add(k, host, partlyUsed)
	r.Add(k, host, resource.Resources{CPU: 12, GPU: 5, Memory: 512})
	if want := (FreeCapacity{Machines: 3, WholeMachines: 1, FreeGPUs: 18, FragmentedGPUs: 10, LargestFit: 8}); r != want {
		t.Errorf("got %+v, want %+v", r, want)
	}
}

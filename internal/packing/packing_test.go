package packing

import (
	"math"
	"testing"

	"github.com/micahill/micahill/internal/resource"
	_ "github.com/micahill/micahill/internal/testseed"
	"pgregory.net/rapid"
)

// host is the size of the machines in these tests.
var host = resource.Resources{CPU: 64, GPU: 8, Memory: 512}

// replicaNeed returns the need of a replica with g GPUs and the given CPU and memory for each GPU.
func replicaNeed(g, cpu, memory float64) resource.Resources {
	return resource.Resources{CPU: g * cpu, GPU: g, Memory: g * memory}
}

// drawDemands draws demands of replicas with one to eight GPUs, and at most maxCPU CPUs per GPU.
func drawDemands(t *rapid.T, maxCPU int) []Demand {
	return rapid.SliceOfN(rapid.Custom(func(t *rapid.T) Demand {
		return Demand{
			Need: replicaNeed(rapid.SampledFrom([]float64{1, 2, 4, 8}).Draw(t, "gpus"), float64(rapid.IntRange(1, maxCPU).Draw(t, "cpu")),
				float64(rapid.IntRange(0, 64).Draw(t, "memory"))),
			Tasks: rapid.IntRange(1, 50).Draw(t, "tasks"), GB: float64(rapid.IntRange(1, 60).Draw(t, "gb")), HasWaiting: rapid.Bool().Draw(t, "waits"),
		}
	}), 1, 12).Draw(t, "seen")
}

// TestPartlyUsedHostsArePreferred guards against ratings that fragment empty hosts. For any demands, a
// placement on a partly used host must not cost more than one on an empty host, and a placement that uses
// all free capacity must cost nothing.
func TestPartlyUsedHostsArePreferred(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		demands := drawDemands(t, 8)
		profile := NewProfile(host, 1, demands)
		need := demands[0].Need
		whole := profile.FragmentationCost(host, need)
		taken := replicaNeed(float64(rapid.IntRange(1, 7).Draw(t, "taken")), 8, 64)
		partlyUsed := host.AddScaled(taken, -1)
		if !need.Fits(partlyUsed) {
			return
		}
		if c := profile.FragmentationCost(partlyUsed, need); c < 0 || c > whole+1e-9 {
			t.Fatalf("host with %v in use: got a cost of %v, want 0 to %v, the cost on an empty host", taken, c, whole)
		}
		if need.GPU < host.GPU && whole <= 0 {
			t.Fatalf("got a cost of %v on an empty host, want more than 0", whole)
		}
		if c := profile.FragmentationCost(need, need); c > 1e-9 {
			t.Fatalf("got a cost of %v for a task that uses all free capacity, want 0", c)
		}
	})
}

// TestNonGPUCapacityKeepsGPUsUsable guards against tasks without GPUs that take CPU or memory which replicas need. While
// such tasks use at most NonGPUCapacity, each usual size that could use all GPUs of an empty host must
// still be able to, once all replicas have ended.
func TestNonGPUCapacityKeepsGPUsUsable(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		demands := drawDemands(t, 12)
		profile := NewProfile(host, 1, demands)
		if profile == nil {
			return
		}
		free, nonGPUUsed := host, resource.Resources{}
		for _, demand := range demands {
			if demand.Need.Fits(free) && rapid.Bool().Draw(t, "runs") {
				free = free.AddScaled(demand.Need, -1)
			}
		}
		for range rapid.IntRange(0, 20).Draw(t, "others") {
			task := resource.Resources{CPU: float64(rapid.IntRange(1, 16).Draw(t, "its cpu")), Memory: float64(rapid.IntRange(1, 128).Draw(t, "its memory"))}
			if task.Fits(profile.NonGPUCapacity(free, nonGPUUsed)) {
				free, nonGPUUsed = free.AddScaled(task, -1), nonGPUUsed.AddScaled(task, 1)
			}
		}
		for _, demand := range demands {
			if !demand.Need.Fits(host) || float64(host.FitCount(demand.Need)) < math.Floor(host.GPU/demand.Need.GPU) {
				continue
			}
			empty := host.AddScaled(nonGPUUsed, -1)
			if got, want := empty.FitCount(demand.Need), host.FitCount(demand.Need); got != want && nonGPUUsed != (resource.Resources{}) {
				t.Fatalf("got %d replicas of size %v that fit with %v used by tasks without GPUs, want %d", got, demand.Need, nonGPUUsed, want)
			}
		}
	})
}

// TestFragmentationCostAgainstFetchTime guards against a fragmentation cost that is out of proportion to image fetch times, so
// that one of the two would always decide a placement. It also checks some results of NonGPUCapacity and
// FreeCapacity.
func TestFragmentationCostAgainstFetchTime(t *testing.T) {
	small, large := replicaNeed(1, 6, 40), replicaNeed(8, 6, 40)
	demands := []Demand{{Need: small, Tasks: 90, GB: 8}, {Need: replicaNeed(2, 6, 40), Tasks: 10, GB: 16}}
	profile := NewProfile(host, 1, demands)
	partlyUsed := host.AddScaled(small, -3)
	saved := profile.FragmentationCost(host, small) - profile.FragmentationCost(partlyUsed, small)
	if saved < 4 || saved > 16 {
		t.Errorf("got %v s saved by keeping a host empty, want 4 to 16", saved)
	}
	// The loss of capacity for a waiting task counts in full.
	waits := NewProfile(host, 1, append(demands, Demand{Need: replicaNeed(4, 6, 40), Tasks: 1, GB: 30, HasWaiting: true}))
	four := host.AddScaled(small, -4)
	if profile.FragmentationCost(four, small) >= waits.FragmentationCost(four, small) {
		t.Error("got no higher cost for taking the last capacity for a waiting replica, want a higher one than if none waits")
	}
	if NewProfile(host, 1, demands[:0]) != nil || NewProfile(resource.Resources{CPU: 8, Memory: 8}, 1, demands) != nil {
		t.Error("got a profile without demand or GPUs, want none")
	}
	// The CPU and memory that all eight GPUs need is kept for them.
	if s := profile.NonGPUCapacity(host, resource.Resources{}); s.CPU != 16 || s.Memory != 192 || s.GPU != 0 {
		t.Errorf("got a capacity of %v for tasks without GPUs on an empty host, want 16 CPUs and 192 GB", s)
	}
	full := host.AddScaled(large, -1)
	if s := profile.NonGPUCapacity(full, resource.Resources{CPU: 10}); s.CPU != 6 {
		t.Errorf("got a capacity of %v for tasks without GPUs with 10 CPUs used by others, want 6 CPUs", s)
	}
	var capacity FreeCapacity
	capacity.Add(profile, host, host)
	capacity.Add(profile, host, partlyUsed)
	capacity.Add(profile, host, resource.Resources{CPU: 12, GPU: 5, Memory: 512})
	if want := (FreeCapacity{Machines: 3, WholeMachines: 1, FreeGPUs: 18, FragmentedGPUs: 10, LargestFit: 8}); capacity != want {
		t.Errorf("got %+v, want %+v", capacity, want)
	}
}

package simulation

import (
	"fmt"
	"testing"
	"time"
)

// The tests of this file have hosts with eight GPUs that belong to several shard leaders, and no faults.

// TestLargeReplicaAcrossShards submits models that need a whole host each while each shard leader has at most
// one host, which is partly used. The replicas on two of the hosts fit on one, but no shard leader has both. It
// guards against a large model that never starts because a shard leader empties a host only onto its own
// machines, against replicas that are lost on the way, and against transfers that go on afterwards.
func TestLargeReplicaAcrossShards(t *testing.T) {
	for _, tc := range []struct {
		name string
		// replicas is the number of replicas with one GPU of each team, each on a host of its own.
		replicas []int
		// emptyHosts is the number of further hosts, and largeModels the number of large models, each of
		// another team.
		emptyHosts, largeModels int
	}{
		{"waiting shard leader has a host", []int{2, 3, 2}, 0, 1},
		{"waiting shard leader has no host", []int{0, 3, 2}, 0, 1},
		{"only the waiting shard leader can empty its host", []int{1, 6, 6}, 0, 1},
		{"only one other shard leader can empty its host", []int{7, 2, 6}, 0, 1},
		{"each shard leader needs a host", []int{2, 2, 2}, 1, 3},
	} {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			hosts := tc.emptyHosts
			for _, replicas := range tc.replicas {
				hosts += boolInt(replicas > 0)
			}
			world := newHostWorld(1, len(tc.replicas), hosts, 0)
			var small []string
			for team, replicas := range tc.replicas {
				if replicas > 0 {
					spec := modelJobSpec(fmt.Sprintf("job-00000%d", team), team, replicas, 1)
					world.Submit(spec, 0, false)
					small = append(small, spec.ID)
				}
			}
			world.Run(time.Minute)
			for _, id := range small {
				checkPlaced(t, world, id)
			}
			var large []string
			for team := range tc.largeModels {
				spec := modelJobSpec(fmt.Sprintf("job-00001%d", team), team, 1, gpusPerMachine)
				world.Submit(spec, 0, false)
				large = append(large, spec.ID)
			}
			world.Run(maxStartWait)
			for _, id := range large {
				if world.jobs[id].completedCount() == 0 {
					t.Errorf("%s: got the large replica not started within %v, want it started", id, maxStartWait)
				}
			}
			world.Run(time.Minute)
			transfers := countTransfers(world)
			world.Run(2 * time.Minute)
			if got := *transfers; got > 0 {
				t.Errorf("got %d transfers after the large replicas have started, want none", got)
			}
			for _, id := range small {
				if got := world.runningTasks(id); got != world.jobs[id].spec.Tasks {
					t.Errorf("%s: got %d running replicas, want %d", id, got, world.jobs[id].spec.Tasks)
				}
			}
			checkNoViolations(t, world)
		})
	}
}

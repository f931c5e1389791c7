package controller

import (
	"fmt"
	"strconv"
	"testing"
	"time"

	"github.com/micahill/micahill/internal/message"
	"github.com/micahill/micahill/internal/model"
)

// newGPUHostPool is an owner of some eight-GPU hosts, and of plain machines if any.
func newGPUHostPool(hosts, plain int) *Controller {
	n := largePool(0)
	n.settings.Capabilities.Models = true
	n.knowledge.machineTypes["g8"] = model.MachineType{Name: "g8", Capacity: model.Resources{CPU: 64, GPU: 8, Memory: 512}, DiskGB: 300, ImageFetchRate: 1, CostPerHour: 12, SpotCostPerHour: 4.5, ProvisioningTime: 40 * time.Second, Zones: []string{"z"}}
	for i := range hosts + plain {
		r := n.poolHeartbeat(0)
		r.Machine, r.Spot = fmt.Sprintf("vm-%06d", i), false
		if i < hosts {
			r.MachineType = "g8"
		}
		n.shardLeader.heartbeats.applyHeartbeat(n.shardLeader.ensureMachine(r.Machine), r, true)
	}
	return n
}

// submitReplicas hands in a standing job of so many GPUs a replica.
func (c *Controller) submitReplicas(id, image string, gpus float64, tasks int, u model.Urgency) *job {
	return c.submitTestJob(model.JobSpec{ID: id, Workload: fmt.Sprint("model-", gpus), LongRunning: true, Urgency: u, Tasks: tasks,
		Need: model.Resources{CPU: 6 * gpus, GPU: gpus, Memory: 40 * gpus}, Image: image, ImageGB: 8})
}

func (c *Controller) submitTestJob(s model.JobSpec) *job {
	s.Team = "ops"
	j := c.shardLeader.addJob(s, c.now, 1)
	return j
}

// advance lets time pass, in which all machines are heard and have fetched their images.
func (c *Controller) advance(d time.Duration) {
	c.now = c.now.Add(d)
	for _, m := range c.shardLeader.machinesByID {
		m.lastHeard = c.now
		for _, im := range m.images {
			im.cached = true
		}
	}
}

// gpuHostCapacity is the room on the g8 hosts.
func (c *Controller) gpuHostCapacity(t *testing.T) message.GPUFreeCapacity {
	t.Helper()
	rs := c.shardLeader.scheduler.gpuFreeCapacity()
	if len(rs) != 1 || rs[0].MachineType != "g8" {
		t.Fatalf("%+v", rs)
	}
	return rs[0]
}

// TestReplicasKeepHostsWhole: after replicas have gone, some hosts are whole and hold
// images, and others have room in pieces. Small replicas that come go to the pieces, as
// long as there are any, though they have to fetch there.
func TestReplicasKeepHostsWhole(t *testing.T) {
	n := newGPUHostPool(6, 0)
	fill := func(from, count, image int, gpus float64) {
		for i := range count {
			n.submitReplicas(fmt.Sprintf("job-%06d", from+i), fmt.Sprintf("img-%d", image), gpus, 1, model.Normal)
			n.shardLeader.scheduler.placeAll()
			n.advance(2 * time.Second)
		}
	}
	for h := range 6 {
		fill(100*h, 8, h, 1)
	}
	if r := n.gpuHostCapacity(t); r.FreeGPUs != 0 {
		t.Fatalf("48 replicas leave %+v", r)
	}
	for id, j := range n.shardLeader.jobs {
		// The first three hosts go empty, and three replicas of each of the others go.
		if i, _ := strconv.Atoi(id[4:]); i < 300 || i%100 < 3 {
			n.shardLeader.endAttempt(j, 0, true)
			delete(n.shardLeader.jobs, id)
		}
	}
	if r := n.gpuHostCapacity(t); r.EmptyMachines != 3 || r.FragmentedGPUs != 9 {
		t.Fatalf("%+v", r)
	}
	fill(1000, 3, 0, 1)
	fill(1100, 2, 1, 1)
	fill(1200, 1, 2, 2)
	if r := n.gpuHostCapacity(t); r.EmptyMachines != 3 || r.FragmentedGPUs != 2 {
		t.Errorf("replicas that fit the pieces leave %+v", r)
	}
	large := n.submitReplicas("job-002000", "img-7", 8, 3, model.Normal)
	if n.shardLeader.scheduler.placeAll(); large.liveTasks != 3 {
		t.Errorf("%d of 3 large replicas are placed", large.liveTasks)
	}
}

// TestRoundSeesFragmentedHosts: of two kinds of replicas that are placed in one round, in turns,
// each sees what the other has broken.
func TestRoundSeesFragmentedHosts(t *testing.T) {
	n := newGPUHostPool(6, 0)
	n.shardLeader.machinesByID[5].images["img-b"] = &image{sizeGB: 8, cached: true}
	for i := range 11 {
		if i == 1 {
			n.submitReplicas("job-000001", "img-b", 1, 1, model.Normal)
			continue
		}
		n.submitReplicas(fmt.Sprintf("job-%06d", i), "img-a", 1, 1, model.Normal).ImageGB = 1
	}
	n.shardLeader.scheduler.placeAll()
	if r := n.gpuHostCapacity(t); r.EmptyMachines != 4 || r.FragmentedGPUs != 5 {
		t.Errorf("11 replicas on hosts of 8 GPUs leave %+v", r)
	}
}

// TestWorkWithoutGPUs: it takes of a host with GPUs what no model could use, the rest
// elsewhere; nothing else is wanted for it, and it isn't counted upon there.
func TestWorkWithoutGPUs(t *testing.T) {
	n := newGPUHostPool(2, 1)
	a := n.submitReplicas("job-000001", "img", 2, 1, model.Normal)
	n.shardLeader.scheduler.placeAll()
	batch := n.submitTestJob(model.JobSpec{ID: "job-000002", Workload: "batch", Urgency: model.BestEffort, Tasks: 200, Need: model.Resources{CPU: 2, Memory: 2}, ExpectedRunTime: time.Minute, Deadline: time.Hour})
	n.advance(2 * time.Second)
	n.shardLeader.scheduler.placeAll()
	here := func(m *machine) model.Resources { return n.shardLeader.scheduler.nonGPUUse(m) }
	ms := n.shardLeader.machinesByID
	if x, y, z := here(ms[0]).CPU, here(ms[1]).CPU, here(ms[2]).CPU; x != 16 || y != 16 || z != 32 {
		t.Errorf("work without GPUs takes %v, %v and %v processors, want 16, 16 and 32", x, y, z)
	}
	if a.liveTasks != 1 || n.gpuHostCapacity(t).EmptyMachines != 1 {
		t.Errorf("%d live, %+v", a.liveTasks, n.gpuHostCapacity(t))
	}
	for k := range n.shardLeader.fleet.planScaleOut(n.shardLeader.fleet.futureFreeCapacity(), nil) {
		if k.machineType == "g8" {
			t.Error("a machine with GPUs is wanted for work without")
		}
	}
	if l := n.submitReplicas("job-000003", "img", 8, 1, model.Normal); true {
		if n.advance(2 * time.Second); l.liveTasks != 0 {
			t.Fatal("placed too soon")
		}
		n.shardLeader.scheduler.placeAll()
		if l.liveTasks != 1 {
			t.Error("a whole host has no room for a model beside other work")
		}
	}
	// What is brief and urgent takes what there is, while no replica waits.
	rush := n.submitTestJob(model.JobSpec{ID: "job-000004", Workload: "rush", Urgency: model.Urgent, Tasks: 2, Need: model.Resources{CPU: 4, Memory: 2}, ExpectedRunTime: 10 * time.Second})
	n.advance(2 * time.Second)
	if n.shardLeader.scheduler.placeAll(); rush.liveTasks != 2 {
		t.Errorf("%d of 2 brief tasks are placed", rush.liveTasks)
	}
	// The other kinds are refused: after a while it goes wherever there is room.
	n.advance(gpuFallbackAfter + time.Second)
	n.shardLeader.scheduler.placeAll()
	if here(ms[0]).CPU+here(ms[1]).CPU <= 32 {
		t.Errorf("%d tasks wait beside free processors for good", batch.pendingTasks())
	}
	// What may go nowhere else is no matter of that.
	n = newGPUHostPool(1, 1)
	n.submitReplicas("job-000001", "img", 1, 1, model.Normal)
	only := n.submitTestJob(model.JobSpec{ID: "job-000002", Workload: "only", Urgency: model.Normal, Tasks: 10, MachineTypes: []string{"g8"}, Need: model.Resources{CPU: 4, Memory: 4}, ExpectedRunTime: time.Minute})
	if n.shardLeader.scheduler.placeAll(); only.liveTasks != 10 {
		t.Errorf("%d of 10 tasks that fit nothing else are placed", only.liveTasks)
	}
}

// TestReplicaPreemptsNonGPUWork: lower work without GPUs gives way to a replica, work as
// urgent doesn't.
func TestReplicaPreemptsNonGPUWork(t *testing.T) {
	for _, c := range []struct {
		u    model.Urgency
		want bool
	}{{model.Urgent, true}, {model.Normal, false}} {
		n := newGPUHostPool(1, 0)
		low := n.submitTestJob(model.JobSpec{ID: "job-000001", Workload: "batch", Urgency: model.Normal, Tasks: 5, Need: model.Resources{CPU: 12, Memory: 2}, ExpectedRunTime: time.Hour})
		if n.shardLeader.scheduler.placeAll(); low.liveTasks != 5 {
			t.Fatalf("%d live", low.liveTasks)
		}
		n.advance(2 * time.Second)
		n.submitReplicas("job-000002", "img", 8, 1, c.u)
		n.shardLeader.scheduler.placeAll()
		stopped := 0
		for i := range low.tasks {
			if low.tasks[i].stopReason == stopPreempt {
				stopped++
			}
		}
		if want := 4; c.want && stopped != want || !c.want && stopped != 0 {
			t.Errorf("%d tasks are stopped for a replica of urgency %d", stopped, c.u)
		}
	}
}

// BenchmarkPlacementRoundWithGPUs is a round of placing on hosts with GPUs, where replicas and work
// without GPUs wait for which there is no room.
func BenchmarkPlacementRoundWithGPUs(b *testing.B) {
	for _, hosts := range []int{100, 300, 1000} {
		b.Run(fmt.Sprint(hosts), func(b *testing.B) {
			n := newGPUHostPool(hosts, hosts)
			for i := range hosts * 5 {
				n.submitReplicas(fmt.Sprintf("job-%06d", i), fmt.Sprintf("img-%d", i%30), []float64{1, 2}[i%2], 1, model.Normal)
			}
			for i := range hosts / 5 {
				n.submitTestJob(model.JobSpec{ID: fmt.Sprintf("job-%06d", 100000+i), Workload: fmt.Sprint("batch-", i%5), Urgency: model.Normal, Tasks: 200, Need: model.Resources{CPU: 2, Memory: 2}, ExpectedRunTime: time.Minute})
				n.submitReplicas(fmt.Sprintf("job-%06d", 200000+i), fmt.Sprintf("img-%d", i%30), 8, 1, model.Urgent)
			}
			n.shardLeader.scheduler.placeAll()
			for b.Loop() {
				n.advance(placementInterval)
				n.effects = n.effects[:0]
				n.shardLeader.scheduler.placeAll()
			}
		})
	}
}

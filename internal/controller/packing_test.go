package controller

import (
	"fmt"
	"strconv"
	"testing"
	"time"

	"github.com/micahill/micahill/internal/message"
	"github.com/micahill/micahill/internal/model"
)

// newGPUHostPool returns a controller that leads a shard with the given numbers of eight-GPU hosts and of
// machines without GPUs.
func newGPUHostPool(hosts, plain int) *Controller {
	c := largePool(0)
	c.settings.Capabilities.Models = true
	c.knowledge.machineTypes["g8"] = model.MachineType{Name: "g8", Capacity: model.Resources{CPU: 64, GPU: 8, Memory: 512}, DiskGB: 300, ImageFetchRate: 1, CostPerHour: 12, SpotCostPerHour: 4.5, ProvisioningTime: 40 * time.Second, Zones: []string{"z"}}
	for i := range hosts + plain {
		heartbeat := c.poolHeartbeat(0)
		heartbeat.Machine, heartbeat.Spot = fmt.Sprintf("vm-%06d", i), false
		if i < hosts {
			heartbeat.MachineType = "g8"
		}
		c.shardLeader.heartbeats.applyHeartbeat(c.shardLeader.ensureMachine(heartbeat.Machine), heartbeat, true)
	}
	return c
}

// submitReplicas adds a long-running job with the given number of GPUs per replica.
func (controller *Controller) submitReplicas(id, image string, gpus float64, tasks int, urgency model.Urgency) *job {
	return controller.submitTestJob(model.JobSpec{ID: id, Workload: fmt.Sprint("model-", gpus), LongRunning: true, Urgency: urgency, Tasks: tasks,
		Need: model.Resources{CPU: 6 * gpus, GPU: gpus, Memory: 40 * gpus}, Image: image, ImageGB: 8})
}

// submitTestJob adds a job of the team ops.
func (controller *Controller) submitTestJob(spec model.JobSpec) *job {
	spec.Team = "ops"
	j := controller.shardLeader.addJob(spec, controller.now, 1)
	return j
}

// advance moves the time on by d. All machines then have sent a heartbeat and fetched their images.
func (controller *Controller) advance(d time.Duration) {
	controller.now = controller.now.Add(d)
	for _, m := range controller.shardLeader.machinesByID {
		m.lastHeard = controller.now
		for _, img := range m.images {
			img.cached = true
		}
	}
}

// gpuHostCapacity returns the free capacity of the g8 hosts.
func (controller *Controller) gpuHostCapacity(t *testing.T) message.GPUFreeCapacity {
	t.Helper()
	reports := controller.shardLeader.scheduler.gpuFreeCapacity()
	if len(reports) != 1 || reports[0].MachineType != "g8" {
		t.Fatalf("got free capacity %+v, want only that of machine type g8", reports)
	}
	return reports[0]
}

// TestReplicasKeepHostsWhole guards against small replicas that take empty hosts, so that large replicas
// fit nowhere. After some replicas have ended, some hosts are empty and hold the images, and others are
// partly used. New small replicas must go to the partly used hosts as long as they fit there, although
// they have to fetch their images.
func TestReplicasKeepHostsWhole(t *testing.T) {
	c := newGPUHostPool(6, 0)
	fill := func(from, count, image int, gpus float64) {
		for i := range count {
			c.submitReplicas(fmt.Sprintf("job-%06d", from+i), fmt.Sprintf("img-%d", image), gpus, 1, model.Normal)
			c.shardLeader.scheduler.placeAll()
			c.advance(2 * time.Second)
		}
	}
	for h := range 6 {
		fill(100*h, 8, h, 1)
	}
	if r := c.gpuHostCapacity(t); r.FreeGPUs != 0 {
		t.Fatalf("got %+v with 48 replicas, want no free GPUs", r)
	}
	for id, j := range c.shardLeader.jobs {
		// All replicas of the first three hosts end, and three of each of the others.
		if i, _ := strconv.Atoi(id[4:]); i < 300 || i%100 < 3 {
			c.shardLeader.endAttempt(j, 0, true)
			delete(c.shardLeader.jobs, id)
		}
	}
	if r := c.gpuHostCapacity(t); r.EmptyMachines != 3 || r.FragmentedGPUs != 9 {
		t.Fatalf("got %+v, want 3 empty machines and 9 fragmented GPUs", r)
	}
	fill(1000, 3, 0, 1)
	fill(1100, 2, 1, 1)
	fill(1200, 1, 2, 2)
	if r := c.gpuHostCapacity(t); r.EmptyMachines != 3 || r.FragmentedGPUs != 2 {
		t.Errorf("got %+v after replicas that fit on the partly used hosts, want 3 empty machines and 2 fragmented GPUs", r)
	}
	large := c.submitReplicas("job-002000", "img-7", 8, 3, model.Normal)
	if c.shardLeader.scheduler.placeAll(); large.liveTasks != 3 {
		t.Errorf("got %d of 3 large replicas placed, want all", large.liveTasks)
	}
}

// TestRoundSeesFragmentedHosts guards against outdated ratings within a placement round. Two kinds of
// replicas are placed in turns in one round. Each kind must prefer the hosts on which replicas of the
// other kind have just been placed to empty hosts.
func TestRoundSeesFragmentedHosts(t *testing.T) {
	c := newGPUHostPool(6, 0)
	c.shardLeader.machinesByID[5].images["img-b"] = &image{sizeGB: 8, cached: true}
	for i := range 11 {
		if i == 1 {
			c.submitReplicas("job-000001", "img-b", 1, 1, model.Normal)
			continue
		}
		c.submitReplicas(fmt.Sprintf("job-%06d", i), "img-a", 1, 1, model.Normal).ImageGB = 1
	}
	c.shardLeader.scheduler.placeAll()
	if r := c.gpuHostCapacity(t); r.EmptyMachines != 4 || r.FragmentedGPUs != 5 {
		t.Errorf("got %+v with 11 replicas on hosts of 8 GPUs, want 4 empty machines and 5 fragmented GPUs", r)
	}
}

// TestTasksWithoutGPUs guards against tasks without GPUs that take the CPUs and memory which replicas need
// on hosts with GPUs. Such tasks must take only what no replica could use there, and the rest elsewhere.
// No host with GPUs may be requested for them, and a host with such tasks alone must count as empty.
// Exceptions are brief tasks, a long wait, and tasks that fit no other machine type.
func TestTasksWithoutGPUs(t *testing.T) {
	c := newGPUHostPool(2, 1)
	replicas := c.submitReplicas("job-000001", "img", 2, 1, model.Normal)
	c.shardLeader.scheduler.placeAll()
	batch := c.submitTestJob(model.JobSpec{ID: "job-000002", Workload: "batch", Urgency: model.BestEffort, Tasks: 200, Need: model.Resources{CPU: 2, Memory: 2}, ExpectedRunTime: time.Minute, Deadline: time.Hour})
	c.advance(2 * time.Second)
	c.shardLeader.scheduler.placeAll()
	nonGPUUse := func(m *machine) model.Resources { return c.shardLeader.scheduler.nonGPUUse(m) }
	machines := c.shardLeader.machinesByID
	if x, y, z := nonGPUUse(machines[0]).CPU, nonGPUUse(machines[1]).CPU, nonGPUUse(machines[2]).CPU; x != 16 || y != 16 || z != 32 {
		t.Errorf("got %v, %v and %v CPUs used without GPUs, want 16, 16 and 32", x, y, z)
	}
	if replicas.liveTasks != 1 || c.gpuHostCapacity(t).EmptyMachines != 1 {
		t.Errorf("got %d live replicas and %+v, want 1 and one empty machine", replicas.liveTasks, c.gpuHostCapacity(t))
	}
	for k := range c.shardLeader.fleet.planScaleOut(c.shardLeader.fleet.futureFreeCapacity(), nil) {
		if k.machineType == "g8" {
			t.Errorf("got a capacity request %+v for tasks without GPUs, want none of g8", k)
		}
	}
	large := c.submitReplicas("job-000003", "img", 8, 1, model.Normal)
	if c.advance(2 * time.Second); large.liveTasks != 0 {
		t.Fatalf("got %d replicas live before a placement round, want 0", large.liveTasks)
	}
	if c.shardLeader.scheduler.placeAll(); large.liveTasks != 1 {
		t.Errorf("got %d live replicas of a whole host with tasks without GPUs there, want 1", large.liveTasks)
	}
	// Brief tasks with a wait objective use all free capacity while no replica waits.
	rush := c.submitTestJob(model.JobSpec{ID: "job-000004", Workload: "rush", Urgency: model.Urgent, Tasks: 2, Need: model.Resources{CPU: 4, Memory: 2}, ExpectedRunTime: 10 * time.Second})
	c.advance(2 * time.Second)
	if c.shardLeader.scheduler.placeAll(); rush.liveTasks != 2 {
		t.Errorf("got %d of 2 brief tasks placed, want all", rush.liveTasks)
	}
	// If the cloud refuses other machines, the tasks may use any machine after gpuFallbackAfter.
	c.advance(gpuFallbackAfter + time.Second)
	c.shardLeader.scheduler.placeAll()
	if nonGPUUse(machines[0]).CPU+nonGPUUse(machines[1]).CPU <= 32 {
		t.Errorf("got %d tasks waiting although hosts with GPUs have free CPUs, after %v; want more placed", batch.pendingTasks(), gpuFallbackAfter)
	}
	// Tasks that fit no machine type without GPUs are not restricted.
	c = newGPUHostPool(1, 1)
	c.submitReplicas("job-000001", "img", 1, 1, model.Normal)
	only := c.submitTestJob(model.JobSpec{ID: "job-000002", Workload: "only", Urgency: model.Normal, Tasks: 10, MachineTypes: []string{"g8"}, Need: model.Resources{CPU: 4, Memory: 4}, ExpectedRunTime: time.Minute})
	if c.shardLeader.scheduler.placeAll(); only.liveTasks != 10 {
		t.Errorf("got %d of 10 tasks placed that fit only machines with GPUs, want all", only.liveTasks)
	}
}

// TestReplicaPreemptsNonGPUTasks guards against a replica that waits for a host on which less urgent tasks
// without GPUs run. Such tasks must be preempted for the replica; equally urgent ones must not.
func TestReplicaPreemptsNonGPUTasks(t *testing.T) {
	for _, tc := range []struct {
		name    string
		urgency model.Urgency
		want    int
	}{{"more urgent", model.Urgent, 4}, {"as urgent", model.Normal, 0}} {
		c := newGPUHostPool(1, 0)
		low := c.submitTestJob(model.JobSpec{ID: "job-000001", Workload: "batch", Urgency: model.Normal, Tasks: 5, Need: model.Resources{CPU: 12, Memory: 2}, ExpectedRunTime: time.Hour})
		if c.shardLeader.scheduler.placeAll(); low.liveTasks != 5 {
			t.Fatalf("%s: got %d of 5 tasks placed, want all", tc.name, low.liveTasks)
		}
		c.advance(2 * time.Second)
		c.submitReplicas("job-000002", "img", 8, 1, tc.urgency)
		c.shardLeader.scheduler.placeAll()
		stopped := 0
		for i := range low.tasks {
			if low.tasks[i].stopReason == stopPreempt {
				stopped++
			}
		}
		if stopped != tc.want {
			t.Errorf("%s: got %d tasks preempted for the replica, want %d", tc.name, stopped, tc.want)
		}
	}
}

// BenchmarkPlacementRoundWithGPUs measures a placement round on hosts with GPUs while replicas and tasks
// without GPUs wait that fit on no host.
func BenchmarkPlacementRoundWithGPUs(b *testing.B) {
	for _, hosts := range []int{100, 300, 1000} {
		b.Run(fmt.Sprint(hosts), func(b *testing.B) {
			c := newGPUHostPool(hosts, hosts)
			for i := range hosts * 5 {
				c.submitReplicas(fmt.Sprintf("job-%06d", i), fmt.Sprintf("img-%d", i%30), []float64{1, 2}[i%2], 1, model.Normal)
			}
			for i := range hosts / 5 {
				c.submitTestJob(model.JobSpec{ID: fmt.Sprintf("job-%06d", 100000+i), Workload: fmt.Sprint("batch-", i%5), Urgency: model.Normal, Tasks: 200, Need: model.Resources{CPU: 2, Memory: 2}, ExpectedRunTime: time.Minute})
				c.submitReplicas(fmt.Sprintf("job-%06d", 200000+i), fmt.Sprintf("img-%d", i%30), 8, 1, model.Urgent)
			}
			c.shardLeader.scheduler.placeAll()
			for b.Loop() {
				c.advance(placementInterval)
				c.effects = c.effects[:0]
				c.shardLeader.scheduler.placeAll()
			}
		})
	}
}

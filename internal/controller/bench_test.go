package controller

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/micahill/micahill/internal/message"
	"github.com/micahill/micahill/internal/model"
	"github.com/micahill/micahill/internal/record"
	"github.com/micahill/micahill/internal/sharding"
)

// largePool returns a controller that leads a shard with the given number of machines, three
// quarters of which run tasks, and with pending jobs.
func largePool(machines int) *Controller {
	controller := New(Settings{
		Host: "a", Zones: []string{"z"}, Teams: []model.Team{{Name: "ops"}}, Policy: DefaultPolicy(),
		HeartbeatInterval: 8 * time.Second, WorkerLease: 34 * time.Second, CancellationBound: 64 * time.Second, MaxTxnWrites: 12, MaxValueBytes: 4096, StoreWritesPerSecond: 30, CloudRequestsPerSecond: 10,
		Objectives: []model.Objective{{Kind: "wait", Workload: "rush", Within: 3 * time.Second}},
	}, rand.New(rand.NewPCG(1, 2)))
	controller.now = time.Unix(1_750_000_000, 0)
	controller.membership.started, controller.membership.ready = true, true
	controller.membership.leaseValidUntil = controller.now.Add(24 * time.Hour)
	controller.frontend.watchCache.asOf = controller.membership.leaseValidUntil
	controller.holdAllShards()
	controller.knowledge.machineTypes = map[string]model.MachineType{
		"box":  {Name: "box", Capacity: model.Resources{CPU: 4, Memory: 32}, DiskGB: 50, ImageFetchRate: 0.3, CostPerHour: 0.2, SpotCostPerHour: 0.07, ProvisioningTime: 50 * time.Second, Zones: []string{"z"}},
		"rack": {Name: "rack", Capacity: model.Resources{CPU: 32, Memory: 128}, DiskGB: 70, ImageFetchRate: 0.4, CostPerHour: 1.45, SpotCostPerHour: 0.53, ProvisioningTime: 20 * time.Second, Zones: []string{"z"}},
	}
	shardLeader := controller.newShardLeader()
	shardLeader.ready, shardLeader.readyAt, shardLeader.since = true, controller.now.Add(-time.Hour), controller.now.Add(-time.Hour)
	shardLeader.generation, controller.lastID = 0, 0
	shardLeader.teams["ops"] = &heldTeam{ready: true, readyAt: controller.now.Add(-time.Hour)}
	shardLeader.shards["a"] = true
	shardLeader.fleet.view = &fleetView{receivedAt: controller.now, rentals: map[string]*rental{}, blockedUntil: map[machineKind]time.Time{}, pendingRentals: map[machineKind]int{}}
	controller.shardLeader = shardLeader
	for i := range machines {
		machine := controller.shardLeader.ensureMachine(fmt.Sprintf("vm-%06d", i))
		controller.shardLeader.heartbeats.applyHeartbeat(machine, controller.poolHeartbeat(i), true)
	}
	for i := range machines / 8 {
		name := []string{"rush", "reprint", "wide"}[i%3]
		spec := model.JobSpec{
			ID: fmt.Sprintf("job-%06d", i), Workload: name, Team: "ops", Urgency: model.Normal, Tasks: 24, AllowSpot: true,
			Need: model.Resources{CPU: 4, Memory: 14}, Image: fmt.Sprintf("%s-%d", name, i%12), ImageGB: 1, ExpectedRunTime: 25 * time.Second, Deadline: time.Minute,
		}
		job := newJob(spec, controller.now, 1, 4096)
		controller.shardLeader.jobs[job.ID] = job
		controller.shardLeader.workloads[name] = &workload{&job.JobSpec, controller.now}
		for range 3 {
			key := workloadKey{"ops", name}
			controller.shardLeader.fleet.arrivals[key] = append(controller.shardLeader.fleet.arrivals[key], arrival{controller.now, job.Tasks, job.Need, &job.JobSpec})
		}
	}
	round := controller.shardLeader.scheduler.newPlacementRound()
	for _, job := range controller.shardLeader.scheduler.jobsInQueueOrder() {
		controller.shardLeader.scheduler.placeJob(job, round, forever, 6)
	}
	return controller
}

// holdAllShards makes the controller the leader of one shard with all teams and machines.
func (controller *Controller) holdAllShards() {
	membership := &controller.membership
	membership.leaseID, membership.loaded, membership.shardMap = 1, true, sharding.NewMap()
	membership.controllers = map[string]record.Member{controller.settings.Host: {Incarnation: controller.incarnation()}}
	shard := record.Encode(map[string]any{"host": controller.settings.Host, "nonce": controller.incarnation(), "teams": []string{"ops"}, "rest": true})
	if err := membership.shardMap.ApplyShard(controller.settings.Host, shard, 1); err != nil {
		panic(err)
	}
}

// poolHeartbeat returns the first heartbeat of the pool's machine i, without tasks. Every eighth
// machine is a rack.
func (controller *Controller) poolHeartbeat(index int) *model.Heartbeat {
	heartbeat := &model.Heartbeat{Machine: fmt.Sprintf("vm-%06d", index), Addr: "x", MachineType: "box", Zone: "z", Spot: true, Incarnation: 1, Sequence: 1, Epoch: 1, ReclaimIn: -1}
	if index%8 == 0 {
		heartbeat.MachineType = "rack"
	}
	return heartbeat
}

// poolSizes are the numbers of machines in the benchmarks.
var poolSizes = []int{300, 1300, 5000, 10000}

// BenchmarkHeartbeat measures a heartbeat that changes nothing, the most frequent kind. Its cost
// must not grow with the pool.
func BenchmarkHeartbeat(b *testing.B) {
	for _, size := range poolSizes {
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			controller := largePool(size)
			machine := controller.shardLeader.machinesByID[0]
			heartbeat := controller.poolHeartbeat(0)
			for key, task := range machine.attempts {
				heartbeat.Tasks = append(heartbeat.Tasks, model.TaskReport{Job: key.job, Index: key.index, Attempt: task.attempt, Status: model.Running})
			}
			for b.Loop() {
				heartbeat.Sequence++
				controller.effects = controller.effects[:0]
				controller.handleHeartbeat(message.WorkerHeartbeat{Reply: 1, Heartbeat: *heartbeat})
			}
		})
	}
}

// BenchmarkPlacementRound measures a placement round that finds no free capacity for any pending
// task. Its cost may grow with the machines, but not with the product of machines and jobs.
func BenchmarkPlacementRound(b *testing.B) {
	for _, size := range poolSizes {
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			controller := largePool(size)
			for b.Loop() {
				controller.effects = controller.effects[:0]
				controller.shardLeader.scheduler.placeAll()
			}
		})
	}
}

// BenchmarkFleetPlanning measures one scan of the fleet, which decides what to decommission,
// release and rent.
func BenchmarkFleetPlanning(b *testing.B) {
	for _, size := range poolSizes {
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			controller := largePool(size)
			for b.Loop() {
				controller.effects = controller.effects[:0]
				controller.shardLeader.fleet.decommissionedAt = time.Time{}
				controller.shardLeader.fleet.scanFleet(func(int) bool { return true })
			}
		})
	}
}

// TestPlacementScansOncePerTaskKind checks by counting, not by time, that a round with a long queue of
// similar jobs and no free capacity scans the machines once for each kind of task. A scan for each
// job would make the cost grow with the product of machines and jobs. The test also checks that a
// repeated heartbeat changes nothing.
func TestPlacementScansOncePerTaskKind(t *testing.T) {
	controller := largePool(400)
	round := controller.shardLeader.scheduler.newPlacementRound()
	for _, job := range controller.shardLeader.scheduler.jobsInQueueOrder() {
		controller.shardLeader.scheduler.placeJob(job, round, forever, job.pendingTasks())
	}
	kinds := map[taskShape]bool{}
	waiting := 0
	for _, job := range controller.shardLeader.scheduler.jobsInQueueOrder() {
		kinds[job.taskShape()] = true
		waiting++
	}
	if waiting <= len(kinds) {
		t.Fatalf("got %d waiting jobs with %d kinds of tasks, want more jobs than kinds: the pool is too large for the test", waiting, len(kinds))
	}
	if len(round.unplaceableShapes) != len(kinds) {
		t.Errorf("got %d kinds of tasks marked as fitting on no machine, want %d", len(round.unplaceableShapes), len(kinds))
	}
	// A heartbeat with the same content as the last one requires no commands.
	machine := controller.shardLeader.machinesByID[0]
	heartbeat := controller.poolHeartbeat(0)
	for key, attempt := range machine.attempts {
		heartbeat.Tasks = append(heartbeat.Tasks, model.TaskReport{Job: key.job, Index: key.index, Attempt: attempt.attempt, Status: model.Running})
	}
	heartbeat.Sequence = 2
	controller.shardLeader.heartbeats.applyHeartbeat(machine, heartbeat, true)
	heartbeat.Sequence = 3
	if !machine.unchangedBy(heartbeat) || controller.shardLeader.dispatcher.reconcile(machine) != nil {
		t.Error("a heartbeat that changes nothing counts as a change or causes commands, want neither")
	}
}

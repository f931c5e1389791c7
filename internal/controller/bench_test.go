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

// largePool is a shard leader with some machines, three quarters of them with work, and
// jobs that wait.
func largePool(machines int) *Controller {
	c := New(Settings{
		Host: "a", Zones: []string{"z"}, Teams: []model.Team{{Name: "ops"}}, Policy: DefaultPolicy(),
		HeartbeatInterval: 8 * time.Second, WorkerLease: 34 * time.Second, CancellationBound: 64 * time.Second, MaxTxnWrites: 12, MaxValueBytes: 4096, StoreWritesPerSecond: 30, CloudRequestsPerSecond: 10,
		Objectives: []model.Objective{{Kind: "wait", Workload: "rush", Within: 3 * time.Second}},
	}, rand.New(rand.NewPCG(1, 2)))
	c.now = time.Unix(1_750_000_000, 0)
	c.membership.started, c.membership.ready = true, true
	c.membership.leaseValidUntil = c.now.Add(24 * time.Hour)
	c.frontend.watchCache.asOf = c.membership.leaseValidUntil
	c.holdAllShards()
	c.knowledge.machineTypes = map[string]model.MachineType{
		"box":  {Name: "box", Capacity: model.Resources{CPU: 4, Memory: 32}, DiskGB: 50, ImageFetchRate: 0.3, CostPerHour: 0.2, SpotCostPerHour: 0.07, ProvisioningTime: 50 * time.Second, Zones: []string{"z"}},
		"rack": {Name: "rack", Capacity: model.Resources{CPU: 32, Memory: 128}, DiskGB: 70, ImageFetchRate: 0.4, CostPerHour: 1.45, SpotCostPerHour: 0.53, ProvisioningTime: 20 * time.Second, Zones: []string{"z"}},
	}
	o := c.newShardLeader()
	o.ready, o.readyAt, o.since = true, c.now.Add(-time.Hour), c.now.Add(-time.Hour)
	o.generation, c.lastID = 0, 0
	o.teams["ops"] = &heldTeam{ready: true, readyAt: c.now.Add(-time.Hour)}
	o.shards["a"] = true
	o.fleet.view = &fleetView{receivedAt: c.now, rentals: map[string]*rental{}, blockedUntil: map[machineKind]time.Time{}, pendingRentals: map[machineKind]int{}}
	c.shardLeader = o
	for i := range machines {
		m := c.shardLeader.ensureMachine(fmt.Sprintf("vm-%06d", i))
		c.shardLeader.heartbeats.applyHeartbeat(m, c.poolHeartbeat(i), true)
	}
	for i := range machines / 8 {
		name := []string{"rush", "reprint", "wide"}[i%3]
		spec := model.JobSpec{
			ID: fmt.Sprintf("job-%06d", i), Workload: name, Team: "ops", Urgency: model.Normal, Tasks: 24, AllowSpot: true,
			Need: model.Resources{CPU: 4, Memory: 14}, Image: fmt.Sprintf("%s-%d", name, i%12), ImageGB: 1, ExpectedRunTime: 25 * time.Second, Deadline: time.Minute,
		}
		j := newJob(spec, c.now, 1, 4096)
		c.shardLeader.jobs[j.ID] = j
		c.shardLeader.workloads[name] = &workload{&j.JobSpec, c.now}
		for range 3 {
			k := workloadKey{"ops", name}
			c.shardLeader.fleet.arrivals[k] = append(c.shardLeader.fleet.arrivals[k], arrival{c.now, j.Tasks, j.Need, &j.JobSpec})
		}
	}
	full := c.shardLeader.scheduler.newPlacementRound()
	for _, j := range c.shardLeader.scheduler.jobsInQueueOrder() {
		c.shardLeader.scheduler.placeJob(j, full, forever, 6)
	}
	return c
}

// holdAllShards makes the controller the leader of one shard with all teams and machines.
func (c *Controller) holdAllShards() {
	s := &c.membership
	s.leaseID, s.loaded, s.shardMap = 1, true, sharding.NewMap()
	s.controllers = map[string]record.Member{c.settings.Host: {Incarnation: c.incarnation()}}
	shard := record.Encode(map[string]any{"host": c.settings.Host, "nonce": c.incarnation(), "teams": []string{"ops"}, "rest": true})
	if err := s.shardMap.ApplyShard(c.settings.Host, shard, 1); err != nil {
		panic(err)
	}
}

// poolHeartbeat is the first heartbeat of the pool's machine i, without tasks; every
// eighth machine is a rack.
func (c *Controller) poolHeartbeat(i int) *model.Heartbeat {
	r := &model.Heartbeat{Machine: fmt.Sprintf("vm-%06d", i), Addr: "x", MachineType: "box", Zone: "z", Spot: true, Incarnation: 1, Sequence: 1, Epoch: 1, ReclaimIn: -1}
	if i%8 == 0 {
		r.MachineType = "rack"
	}
	return r
}

var poolSizes = []int{300, 1300, 5000, 10000}

// BenchmarkHeartbeat is the ordinary heartbeat, which changes nothing. Its cost must not
// grow with the pool.
func BenchmarkHeartbeat(b *testing.B) {
	for _, size := range poolSizes {
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			c := largePool(size)
			m := c.shardLeader.machinesByID[0]
			r := c.poolHeartbeat(0)
			for k, t := range m.attempts {
				r.Tasks = append(r.Tasks, model.TaskReport{Job: k.job, Index: k.index, Attempt: t.attempt, Status: model.Running})
			}
			for b.Loop() {
				r.Sequence++
				c.effects = c.effects[:0]
				c.handleHeartbeat(message.WorkerHeartbeat{Reply: 1, Heartbeat: *r})
			}
		})
	}
}

// BenchmarkPlacementRound is a placement round in which nothing is placed any more. Its cost
// may grow with the machines, not with their product with the jobs.
func BenchmarkPlacementRound(b *testing.B) {
	for _, size := range poolSizes {
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			c := largePool(size)
			for b.Loop() {
				c.effects = c.effects[:0]
				c.shardLeader.scheduler.placeAll()
			}
		})
	}
}

// BenchmarkFleetPlanning is one scan of the fleet: what to decommission, release and rent.
func BenchmarkFleetPlanning(b *testing.B) {
	for _, size := range poolSizes {
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			c := largePool(size)
			for b.Loop() {
				c.effects = c.effects[:0]
				c.shardLeader.fleet.decommissionedAt = time.Time{}
				c.shardLeader.fleet.scanFleet(func(int) bool { return true })
			}
		})
	}
}

// TestPlacementDoesNotMultiply guards the shape of the costs by counting, not by
// time: a round in which a long queue of similar jobs finds no free capacity looks at the
// machines once for each kind of task, not once for each job.
func TestPlacementDoesNotMultiply(t *testing.T) {
	c := largePool(400)
	r := c.shardLeader.scheduler.newPlacementRound()
	for _, j := range c.shardLeader.scheduler.jobsInQueueOrder() {
		c.shardLeader.scheduler.placeJob(j, r, forever, j.pendingTasks())
	}
	kinds := map[taskShape]bool{}
	waiting := 0
	for _, j := range c.shardLeader.scheduler.jobsInQueueOrder() {
		kinds[j.taskShape()] = true
		waiting++
	}
	if waiting <= len(kinds) {
		t.Fatalf("got %d waiting jobs of %d kinds, want more jobs than kinds: the pool is too large for the test", waiting, len(kinds))
	}
	if len(r.full) != len(kinds) {
		t.Errorf("got %d kinds of tasks known to find no free capacity, want %d", len(r.full), len(kinds))
	}
	// A heartbeat that repeats the last one leaves nothing to do.
	m := c.shardLeader.machinesByID[0]
	heartbeat := c.poolHeartbeat(0)
	for k, a := range m.attempts {
		heartbeat.Tasks = append(heartbeat.Tasks, model.TaskReport{Job: k.job, Index: k.index, Attempt: a.attempt, Status: model.Running})
	}
	heartbeat.Sequence = 2
	c.shardLeader.heartbeats.applyHeartbeat(m, heartbeat, true)
	heartbeat.Sequence = 3
	if !m.unchangedBy(heartbeat) || c.shardLeader.dispatcher.reconcile(m) != nil {
		t.Error("got work to do after a heartbeat that changes nothing, want none")
	}
}

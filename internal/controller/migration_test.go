package controller

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/micahill/micahill/internal/message"
	"github.com/micahill/micahill/internal/model"
	"github.com/micahill/micahill/internal/record"
)

// hostPool is an owner with three hosts of eight GPUs, of which no more can be rented. A
// replica of half a host is on each of the first two, and one of a whole host waits.
func hostPool(t *testing.T) *Controller {
	t.Helper()
	n := largePool(0)
	n.settings.Capabilities = Capabilities{Models: true, MaxMigratingFraction: 0.5, MigrationCooldown: 5 * time.Minute}
	n.knowledge.machineTypes = map[string]model.MachineType{"host": {Name: "host", Capacity: model.Resources{CPU: 64, GPU: 8, Memory: 512}, DiskGB: 400, ImageFetchRate: 1, CostPerHour: 12, SpotCostPerHour: 4, ProvisioningTime: 40 * time.Second, Zones: []string{"z"}}}
	n.shardLeader.fleet.view.blockedUntil[machineKind{"host", "z", false}] = n.now.Add(time.Hour)
	n.shardLeader.migration.recoverRecords([]string{"ops"}, nil)
	for i := range 2 {
		id := fmt.Sprintf("vm-%06d", i)
		n.shardLeader.heartbeats.applyHeartbeat(n.shardLeader.ensureMachine(id), n.hostHeartbeat(i, 1), true)
		j := n.addReplica(fmt.Sprintf("job-s%d", i), 4)
		j.nextFresh = 1
		n.shardLeader.scheduler.startAttempt(j, 0, n.shardLeader.machines[id])
		n.reportRunning(j, i)
	}
	n.addReplica("job-large", 8)
	return n
}

func (c *Controller) hostHeartbeat(i int, sequence uint64) *model.Heartbeat {
	return &model.Heartbeat{Machine: fmt.Sprintf("vm-%06d", i), Addr: "x", MachineType: "host", Zone: "z", Incarnation: 1, Sequence: sequence, Epoch: 1, ReclaimIn: -1}
}

func (c *Controller) addReplica(id string, gpus float64) *job {
	return c.shardLeader.addJob(model.JobSpec{ID: id, Workload: "w", Team: "ops", LongRunning: true, Urgency: model.Normal, Tasks: 1,
		Need: model.Resources{CPU: 8 * gpus, GPU: gpus, Memory: 64 * gpus}, Image: "img", ImageGB: 5}, c.now, 7)
}

// reportRunning has the record of a replica durable, and its machine report it.
func (n *Controller) reportRunning(j *job, host int) {
	for _, c := range j.segments {
		c.persistedVersion = c.version
	}
	j.tasks[0].startSent = true
	r := n.hostHeartbeat(host, n.shardLeader.machinesByID[host].sequence+1)
	r.Tasks = []model.TaskReport{{Job: j.ID, Index: 0, Attempt: j.tasks[0].attempt, Status: model.Running}}
	n.shardLeader.heartbeats.applyHeartbeat(n.shardLeader.machinesByID[host], r, true)
}

// awaitMigrationWrite lets time pass until a move is to be written.
func (c *Controller) awaitMigrationWrite(t *testing.T) message.StoreRequest {
	t.Helper()
	for range 10 {
		c.now = c.now.Add(shardLeaderTickInterval)
		for _, m := range c.shardLeader.machinesByID {
			m.lastHeard = c.now
		}
		c.effects = nil
		c.shardLeader.migration.tick()
		for _, op := range emittedEffects[message.StoreRequest](c) {
			if op.Kind == message.OpTxn && op.Writes[0].Key == "move/ops" {
				return op
			}
		}
	}
	t.Fatal("no move is written")
	return message.StoreRequest{}
}

// TestMigrationIsWrittenBeforeStop: a move's record names all that it rests on, its places are held
// at once, and its replica is stopped when it is durable, not before.
func TestMigrationIsWrittenBeforeStop(t *testing.T) {
	n := hostPool(t)
	op := n.awaitMigrationWrite(t)
	share := n.membership.shardMap.Team("ops")
	for _, c := range []message.Compare{{Key: record.ShardPrefix + "a", ModRevision: share.ModRevision}, {Key: record.OpenJobPrefix + "job-large", ModRevision: 7}, {Key: "move/ops", ModRevision: 0}} {
		if !slices.Contains(op.Compares, c) {
			t.Errorf("conditions %v, want %v among them", op.Compares, c)
		}
	}
	moved := n.shardLeader.migration.state.tracker.Plans()[0].Steps[0]
	if !slices.Contains(op.Compares, message.Compare{Key: record.OpenJobPrefix + moved.Job, ModRevision: 7}) {
		t.Errorf("conditions %v, want the moved job's", op.Compares)
	}
	j := n.shardLeader.jobs[moved.Job]
	if j.tasks[0].stopReason != stopNone {
		t.Error("stopped before its move is durable")
	}
	if k := n.shardLeader.migration.reservedTasks(n.shardLeader.jobs["job-large"]); k != 1 {
		t.Errorf("%d tasks have a place coming, want 1", k)
	}
	for _, d := range n.shardLeader.fleet.demands(time.Minute, false, false) {
		if d.job.ID == "job-large" && d.count != 0 {
			t.Error("a machine would be rented for what moves make room for")
		}
	}
	// Another replica is kept off the places.
	late := n.addReplica("job-t1", 4)
	n.shardLeader.scheduler.placeAll()
	if late.liveTasks != 0 {
		t.Error("another has taken a place that is held")
	}
	n.requests.storeCallbacks[op.ID](message.StoreResponse{Status: message.StoreOK, Revision: 20})
	if j.tasks[0].stopReason != stopDrain {
		t.Error("not stopped when its move is durable")
	}
}

// TestMigrationConflict: when something that it rests on has changed, nothing is stopped and
// nothing stays held; without an answer it is written once more.
func TestMigrationConflict(t *testing.T) {
	n := hostPool(t)
	op := n.awaitMigrationWrite(t)
	n.requests.storeCallbacks[op.ID](message.StoreResponse{Status: message.StoreConflict, FailedKeys: []string{record.OpenJobPrefix + "job-large"}})
	if len(n.shardLeader.migration.state.tracker.Holds()) > 0 || n.shardLeader.machinesByID[0].reservedForMigration != (model.Resources{}) || n.shardLeader.machinesByID[1].reservedForMigration != (model.Resources{}) {
		t.Error("places stay held")
	}
	op = n.awaitMigrationWrite(t)
	n.effects = nil
	n.requests.storeCallbacks[op.ID](message.StoreResponse{Status: message.StoreUnknown})
	get, ok := n.effects[0].(message.StoreRequest)
	if !ok || get.Kind != message.OpGet {
		t.Fatalf("without an answer %v, want a reading", n.effects)
	}
	n.requests.storeCallbacks[get.ID](message.StoreResponse{Status: message.StoreOK, KeyValues: []message.KeyValue{{Key: "move/ops", ModRevision: 33}}})
	if op = n.awaitMigrationWrite(t); !slices.Contains(op.Compares, message.Compare{Key: "move/ops", ModRevision: 33}) {
		t.Errorf("conditions %v, want the record's stamp", op.Compares)
	}
}

// TestNoStopWithoutConfirmedLease: an owner whose grant may have ended stops nothing, also when the
// answer to a write comes then.
func TestNoStopWithoutConfirmedLease(t *testing.T) {
	n := hostPool(t)
	op := n.awaitMigrationWrite(t)
	n.membership.leaseValidUntil = n.now.Add(-time.Second)
	n.requests.storeCallbacks[op.ID](message.StoreResponse{Status: message.StoreOK, Revision: 20})
	for _, j := range n.shardLeader.jobs {
		if j.tasks[0].stopReason != stopNone {
			t.Errorf("%s is stopped", j.ID)
		}
	}
}

// TestMigrationKeepsQuota: while a replica is down for its move, others of its team leave
// its part of the limit to it; it starts at its target, and the one that waited where it
// was.
func TestMigrationKeepsQuota(t *testing.T) {
	n := hostPool(t)
	op := n.awaitMigrationWrite(t)
	n.requests.storeCallbacks[op.ID](message.StoreResponse{Status: message.StoreOK, Revision: 20})
	s := n.shardLeader.migration.state.tracker.Plans()[0].Steps[0]
	j := n.shardLeader.jobs[s.Job]
	from := n.shardLeader.machines[s.From]
	n.shardLeader.endAttempt(j, 0, false)
	n.settings.Teams[0].QuotaLimit = model.Resources{GPU: 13}
	if n.shardLeader.scheduler.withinQuotaLimit(n.shardLeader.jobs["job-large"]) {
		t.Error("another may take the room within the limit")
	}
	n.settings.Teams[0].QuotaLimit = model.Resources{}
	n.shardLeader.scheduler.placeAll()
	if j.tasks[0].machine == nil || j.tasks[0].machine.id != s.To {
		t.Errorf("it is on %v, want %s", j.tasks[0].machine, s.To)
	}
	if l := n.shardLeader.jobs["job-large"]; l.tasks[0].machine != from {
		t.Errorf("the large one is on %v, want %s", l.tasks[0].machine, s.From)
	}
}

// TestReservedMachineIsNotIdle: a machine that is empty and has a place held is neither returned nor
// handed to another owner.
func TestReservedMachineIsNotIdle(t *testing.T) {
	n := hostPool(t)
	n.putShard(t, "b", "b", 2, false, "lab")
	n.shardLeader.heartbeats.applyHeartbeat(n.shardLeader.ensureMachine("vm-000002"), n.hostHeartbeat(2, 1), true)
	m := n.shardLeader.machines["vm-000002"]
	n.now = n.now.Add(10 * time.Minute)
	for _, x := range n.shardLeader.machinesByID {
		x.lastHeard = n.now
	}
	delete(n.shardLeader.jobs, "job-large")
	isSurplus := func() bool {
		return n.shardLeader.fleet.isIdleExpired(m, n.knowledge.cheapestCPUCost()) || n.shardLeader.fleet.surplusMachines(n.shardLeader.fleet.futureFreeCapacity(), func(int) bool { return true })[m.id]
	}
	if !isSurplus() {
		t.Fatal("the test shows nothing")
	}
	m.reservedForMigration = model.Resources{GPU: 1}
	if isSurplus() {
		t.Error("it counts as idle")
	}
}

// TestSuccessorRecoversMigrations: a successor holds the places again, with what has come of it, and
// waits for hosts that it has not heard.
func TestSuccessorRecoversMigrations(t *testing.T) {
	n := hostPool(t)
	op := n.awaitMigrationWrite(t)
	s := n.shardLeader.migration.state.tracker.Plans()[0].Steps[0]
	successor := largePool(0)
	successor.settings.Capabilities, successor.knowledge.machineTypes = n.settings.Capabilities, n.knowledge.machineTypes
	j, l := successor.addReplica(s.Job, 4), successor.addReplica("job-large", 8)
	j.nextFresh, j.tasks[0].attempt = 1, s.Attempt
	successor.shardLeader.attachAttempt(j, 0, successor.shardLeader.ensureMachine(s.From))
	successor.shardLeader.ensureMachine(s.To)
	successor.shardLeader.readyAt = successor.now
	successor.frontend.watchCache.openJobs = map[string]openJob{}
	successor.shardLeader.recoverTeams(map[string]*heldTeam{"ops": successor.shardLeader.teams["ops"]}, nil, []message.KeyValue{{Key: "move/ops", Value: op.Writes[0].Value, ModRevision: 20}}, successor.now)
	other := successor.addReplica("job-other", 4)
	other.nextFresh = 1
	successor.shardLeader.heartbeats.applyHeartbeat(successor.shardLeader.ensureMachine("vm-000002"), successor.hostHeartbeat(2, 1), true)
	successor.shardLeader.scheduler.startAttempt(other, 0, successor.shardLeader.ensureMachine("vm-000002"))
	// It was stopped by the former owner, and its machine's owner says that it is gone.
	successor.shardLeader.endAttempt(j, 0, false)
	successor.shardLeader.scheduler.placeAll()
	if len(successor.shardLeader.migration.state.tracker.Holds()) != 2 || j.liveTasks != 0 {
		t.Fatalf("held: %v; live %d", successor.shardLeader.migration.state.tracker.Holds(), j.liveTasks)
	}
	for i := range 2 {
		successor.shardLeader.heartbeats.applyHeartbeat(successor.shardLeader.ensureMachine(fmt.Sprintf("vm-%06d", i)), successor.hostHeartbeat(i, 1), true)
	}
	successor.shardLeader.scheduler.placeAll()
	if j.tasks[0].machine == nil || j.tasks[0].machine.id != s.To || l.tasks[0].machine == nil || l.tasks[0].machine.id != s.From {
		t.Errorf("on %v and %v, want %s and %s", j.tasks[0].machine, l.tasks[0].machine, s.To, s.From)
	}
	// One that can't be read holds nothing, and is told of.
	successor.shardLeader.migration.recoverRecords([]string{"ops"}, []message.KeyValue{{Key: "move/ops", Value: []byte{0x81}, ModRevision: 21}})
	if len(successor.shardLeader.migration.state.tracker.Holds()) != 0 || successor.rejectedInputs != 1 {
		t.Errorf("held %v, complaints %d", successor.shardLeader.migration.state.tracker.Holds(), successor.rejectedInputs)
	}
}

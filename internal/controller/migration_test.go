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

// hostPool is a shard leader with two hosts of eight GPUs, and no more can be rented. A replica
// of half a host is on each, and one of a whole host waits.
func hostPool(t *testing.T) *Controller {
	t.Helper()
	c := largePool(0)
	c.settings.Capabilities = Capabilities{Models: true, MaxMigratingFraction: 0.5, MigrationCooldown: 5 * time.Minute}
	c.knowledge.machineTypes = map[string]model.MachineType{"host": {Name: "host", Capacity: model.Resources{CPU: 64, GPU: 8, Memory: 512}, DiskGB: 400, ImageFetchRate: 1, CostPerHour: 12, SpotCostPerHour: 4, ProvisioningTime: 40 * time.Second, Zones: []string{"z"}}}
	c.shardLeader.fleet.view.blockedUntil[machineKind{"host", "z", false}] = c.now.Add(time.Hour)
	c.shardLeader.migration.recoverRecords([]string{"ops"}, nil)
	for i := range 2 {
		id := fmt.Sprintf("vm-%06d", i)
		c.shardLeader.heartbeats.applyHeartbeat(c.shardLeader.ensureMachine(id), c.hostHeartbeat(i, 1), true)
		j := c.addReplica(fmt.Sprintf("job-s%d", i), 4)
		j.nextFresh = 1
		c.shardLeader.scheduler.startAttempt(j, 0, c.shardLeader.machines[id])
		c.reportRunning(j, i)
	}
	c.addReplica("job-large", 8)
	return c
}

func (c *Controller) hostHeartbeat(i int, sequence uint64) *model.Heartbeat {
	return &model.Heartbeat{Machine: fmt.Sprintf("vm-%06d", i), Addr: "x", MachineType: "host", Zone: "z", Incarnation: 1, Sequence: sequence, Epoch: 1, ReclaimIn: -1}
}

func (c *Controller) addReplica(id string, gpus float64) *job {
	return c.shardLeader.addJob(model.JobSpec{ID: id, Workload: "w", Team: "ops", LongRunning: true, Urgency: model.Normal, Tasks: 1,
		Need: model.Resources{CPU: 8 * gpus, GPU: gpus, Memory: 64 * gpus}, Image: "img", ImageGB: 5}, c.now, 7)
}

// reportRunning makes the record of a replica durable, and has its machine report it.
func (c *Controller) reportRunning(j *job, host int) {
	for _, segment := range j.segments {
		segment.persistedVersion = segment.version
	}
	j.tasks[0].startSent = true
	r := c.hostHeartbeat(host, c.shardLeader.machinesByID[host].sequence+1)
	r.Tasks = []model.TaskReport{{Job: j.ID, Index: 0, Attempt: j.tasks[0].attempt, Status: model.Running}}
	c.shardLeader.heartbeats.applyHeartbeat(c.shardLeader.machinesByID[host], r, true)
}

// awaitMigrationWrite lets time pass until a migration record is to be written, and returns
// the write.
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
	t.Fatal("got no write of a migration record, want one")
	return message.StoreRequest{}
}

// TestMigrationIsWrittenBeforeStop: the write of a migration compares all that it depends on,
// its places are held at once, and its replica is stopped when the record is durable, not
// before.
func TestMigrationIsWrittenBeforeStop(t *testing.T) {
	c := hostPool(t)
	op := c.awaitMigrationWrite(t)
	shard := c.membership.shardMap.Team("ops")
	for _, compare := range []message.Compare{{Key: record.ShardPrefix + "a", ModRevision: shard.ModRevision}, {Key: record.OpenJobPrefix + "job-large", ModRevision: 7}, {Key: "move/ops", ModRevision: 0}} {
		if !slices.Contains(op.Compares, compare) {
			t.Errorf("got compares %v, want %v among them", op.Compares, compare)
		}
	}
	moved := c.shardLeader.migration.state.tracker.Plans()[0].Steps[0]
	if !slices.Contains(op.Compares, message.Compare{Key: record.OpenJobPrefix + moved.Job, ModRevision: 7}) {
		t.Errorf("got compares %v, want that of the moved job among them", op.Compares)
	}
	j := c.shardLeader.jobs[moved.Job]
	if j.tasks[0].stopReason != stopNone {
		t.Errorf("got stop reason %v before the migration is durable, want none", j.tasks[0].stopReason)
	}
	if k := c.shardLeader.migration.reservedTasks(c.shardLeader.jobs["job-large"]); k != 1 {
		t.Errorf("got %d tasks with a reserved place, want 1", k)
	}
	for _, d := range c.shardLeader.fleet.demands(time.Minute, false, false) {
		if d.job.ID == "job-large" && d.count != 0 {
			t.Errorf("got a demand of %d tasks for which the migration frees a host, want 0", d.count)
		}
	}
	// Another replica gets none of the held places.
	late := c.addReplica("job-t1", 4)
	c.shardLeader.scheduler.placeAll()
	if late.liveTasks != 0 {
		t.Errorf("got %d tasks of another job on held places, want 0", late.liveTasks)
	}
	c.requests.storeCallbacks[op.ID](message.StoreResponse{Status: message.StoreOK, Revision: 20})
	if j.tasks[0].stopReason != stopDrain {
		t.Errorf("got stop reason %v when the migration is durable, want %v", j.tasks[0].stopReason, stopDrain)
	}
}

// TestMigrationConflict: when something that a migration depends on has changed, nothing is
// stopped and no place stays held; without an answer it is read and written once more.
func TestMigrationConflict(t *testing.T) {
	c := hostPool(t)
	op := c.awaitMigrationWrite(t)
	c.requests.storeCallbacks[op.ID](message.StoreResponse{Status: message.StoreConflict, FailedKeys: []string{record.OpenJobPrefix + "job-large"}})
	if len(c.shardLeader.migration.state.tracker.Holds()) > 0 || c.shardLeader.machinesByID[0].reservedForMigration != (model.Resources{}) || c.shardLeader.machinesByID[1].reservedForMigration != (model.Resources{}) {
		t.Errorf("got holds %v after a conflict, want none", c.shardLeader.migration.state.tracker.Holds())
	}
	op = c.awaitMigrationWrite(t)
	c.effects = nil
	c.requests.storeCallbacks[op.ID](message.StoreResponse{Status: message.StoreUnknown})
	get, ok := c.effects[0].(message.StoreRequest)
	if !ok || get.Kind != message.OpGet {
		t.Fatalf("without an answer: got effects %v, want a read", c.effects)
	}
	c.requests.storeCallbacks[get.ID](message.StoreResponse{Status: message.StoreOK, KeyValues: []message.KeyValue{{Key: "move/ops", ModRevision: 33}}})
	if op = c.awaitMigrationWrite(t); !slices.Contains(op.Compares, message.Compare{Key: "move/ops", ModRevision: 33}) {
		t.Errorf("got compares %v, want the record's mod revision 33 among them", op.Compares)
	}
}

// TestNoStopWithoutConfirmedLease: a shard leader whose lease may have ended stops nothing,
// also when the answer to a write arrives then.
func TestNoStopWithoutConfirmedLease(t *testing.T) {
	c := hostPool(t)
	op := c.awaitMigrationWrite(t)
	c.membership.leaseValidUntil = c.now.Add(-time.Second)
	c.requests.storeCallbacks[op.ID](message.StoreResponse{Status: message.StoreOK, Revision: 20})
	for _, j := range c.shardLeader.jobs {
		if j.tasks[0].stopReason != stopNone {
			t.Errorf("%s: got stop reason %v without a confirmed lease, want none", j.ID, j.tasks[0].stopReason)
		}
	}
}

// TestMigrationKeepsQuota: while a replica is down for its migration, others of its team leave
// its part of the quota limit to it; it starts at its target, and the replica that waited
// starts where it was.
func TestMigrationKeepsQuota(t *testing.T) {
	c := hostPool(t)
	op := c.awaitMigrationWrite(t)
	c.requests.storeCallbacks[op.ID](message.StoreResponse{Status: message.StoreOK, Revision: 20})
	s := c.shardLeader.migration.state.tracker.Plans()[0].Steps[0]
	j := c.shardLeader.jobs[s.Job]
	from := c.shardLeader.machines[s.From]
	c.shardLeader.endAttempt(j, 0, false)
	c.settings.Teams[0].QuotaLimit = model.Resources{GPU: 13}
	if c.shardLeader.scheduler.withinQuotaLimit(c.shardLeader.jobs["job-large"]) {
		t.Error("got another replica within the quota limit, want its part reserved")
	}
	c.settings.Teams[0].QuotaLimit = model.Resources{}
	c.shardLeader.scheduler.placeAll()
	if j.tasks[0].machine == nil || j.tasks[0].machine.id != s.To {
		t.Errorf("got the moved replica on %v, want %s", j.tasks[0].machine, s.To)
	}
	if large := c.shardLeader.jobs["job-large"]; large.tasks[0].machine != from {
		t.Errorf("got the large replica on %v, want %s", large.tasks[0].machine, s.From)
	}
}

// TestReservedMachineIsNotIdle: an empty machine with a held place is neither released nor
// handed over to another shard.
func TestReservedMachineIsNotIdle(t *testing.T) {
	c := hostPool(t)
	c.putShard(t, "b", "b", 2, false, "lab")
	c.shardLeader.heartbeats.applyHeartbeat(c.shardLeader.ensureMachine("vm-000002"), c.hostHeartbeat(2, 1), true)
	m := c.shardLeader.machines["vm-000002"]
	c.now = c.now.Add(10 * time.Minute)
	for _, x := range c.shardLeader.machinesByID {
		x.lastHeard = c.now
	}
	delete(c.shardLeader.jobs, "job-large")
	isSurplus := func() bool {
		return c.shardLeader.fleet.isIdleExpired(m, c.knowledge.cheapestCPUCost()) || c.shardLeader.fleet.surplusMachines(c.shardLeader.fleet.futureFreeCapacity(), func(int) bool { return true })[m.id]
	}
	if !isSurplus() {
		t.Fatal("got no surplus without a held place, want one: the test proves nothing")
	}
	m.reservedForMigration = model.Resources{GPU: 1}
	if isSurplus() {
		t.Error("got the machine as surplus with a held place, want it kept")
	}
}

// TestSuccessorRecoversMigrations: a successor holds the places again, as far as the migration
// has come, and waits for hosts that it has not heard of.
func TestSuccessorRecoversMigrations(t *testing.T) {
	c := hostPool(t)
	op := c.awaitMigrationWrite(t)
	s := c.shardLeader.migration.state.tracker.Plans()[0].Steps[0]
	successor := largePool(0)
	successor.settings.Capabilities, successor.knowledge.machineTypes = c.settings.Capabilities, c.knowledge.machineTypes
	j, large := successor.addReplica(s.Job, 4), successor.addReplica("job-large", 8)
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
	// It was stopped by the predecessor, and its machine's owner says that it is gone.
	successor.shardLeader.endAttempt(j, 0, false)
	successor.shardLeader.scheduler.placeAll()
	if len(successor.shardLeader.migration.state.tracker.Holds()) != 2 || j.liveTasks != 0 {
		t.Fatalf("got holds %v and %d live tasks, want 2 holds and none", successor.shardLeader.migration.state.tracker.Holds(), j.liveTasks)
	}
	for i := range 2 {
		successor.shardLeader.heartbeats.applyHeartbeat(successor.shardLeader.ensureMachine(fmt.Sprintf("vm-%06d", i)), successor.hostHeartbeat(i, 1), true)
	}
	successor.shardLeader.scheduler.placeAll()
	if j.tasks[0].machine == nil || j.tasks[0].machine.id != s.To || large.tasks[0].machine == nil || large.tasks[0].machine.id != s.From {
		t.Errorf("got the replicas on %v and %v, want %s and %s", j.tasks[0].machine, large.tasks[0].machine, s.To, s.From)
	}
	// A record that can't be decoded holds nothing, and is counted as rejected.
	successor.shardLeader.migration.recoverRecords([]string{"ops"}, []message.KeyValue{{Key: "move/ops", Value: []byte{0x81}, ModRevision: 21}})
	if len(successor.shardLeader.migration.state.tracker.Holds()) != 0 || successor.rejectedInputs != 1 {
		t.Errorf("got holds %v and %d rejected inputs, want none and 1", successor.shardLeader.migration.state.tracker.Holds(), successor.rejectedInputs)
	}
}

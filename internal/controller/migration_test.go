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

// hostPool returns a shard leader with two hosts of eight GPUs each. No more hosts can be rented.
// A replica that needs half a host runs on each, and a replica that needs a whole host is pending.
func hostPool(t *testing.T) *Controller {
	t.Helper()
	controller := largePool(0)
	controller.settings.Capabilities = Capabilities{Models: true, MaxMigratingFraction: 0.5, MigrationCooldown: 5 * time.Minute}
	controller.knowledge.machineTypes = map[string]model.MachineType{"host": {Name: "host", Capacity: model.Resources{CPU: 64, GPU: 8, Memory: 512}, DiskGB: 400, ImageFetchRate: 1, CostPerHour: 12, SpotCostPerHour: 4, ProvisioningTime: 40 * time.Second, Zones: []string{"z"}}}
	controller.shardLeader.fleet.view.blockedUntil[machineKind{"host", "z", false}] = controller.now.Add(time.Hour)
	controller.shardLeader.migration.recoverRecords([]string{"ops"}, nil)
	for i := range 2 {
		id := fmt.Sprintf("vm-%06d", i)
		controller.shardLeader.heartbeats.applyHeartbeat(controller.shardLeader.ensureMachine(id), controller.hostHeartbeat(i, 1), true)
		job := controller.addReplica(fmt.Sprintf("job-s%d", i), 4)
		job.nextFresh = 1
		controller.shardLeader.scheduler.startAttempt(job, 0, controller.shardLeader.machines[id])
		controller.reportRunning(job, i)
	}
	controller.addReplica("job-large", 8)
	return controller
}

// hostHeartbeat returns a heartbeat of host i without tasks.
func (controller *Controller) hostHeartbeat(i int, sequence uint64) *model.Heartbeat {
	return &model.Heartbeat{Machine: fmt.Sprintf("vm-%06d", i), Addr: "x", MachineType: "host", Zone: "z", Incarnation: 1, Sequence: sequence, Epoch: 1, ReclaimIn: -1}
}

// addReplica adds a long-running job with one replica that needs the given number of GPUs and a
// proportionate share of CPU and memory.
func (controller *Controller) addReplica(id string, gpus float64) *job {
	return controller.shardLeader.addJob(model.JobSpec{ID: id, Workload: "w", Team: "ops", LongRunning: true, Urgency: model.Normal, Tasks: 1,
		Need: model.Resources{CPU: 8 * gpus, GPU: gpus, Memory: 64 * gpus}, Image: "img", ImageGB: 5}, controller.now, 7)
}

// reportRunning marks the record of a job's replica as durable, and applies a heartbeat in which
// the replica's machine reports it as running.
func (controller *Controller) reportRunning(job *job, host int) {
	for _, segment := range job.segments {
		segment.persistedVersion = segment.version
	}
	job.tasks[0].startSent = true
	heartbeat := controller.hostHeartbeat(host, controller.shardLeader.machinesByID[host].sequence+1)
	heartbeat.Tasks = []model.TaskReport{{Job: job.ID, Index: 0, Attempt: job.tasks[0].attempt, Status: model.Running}}
	controller.shardLeader.heartbeats.applyHeartbeat(controller.shardLeader.machinesByID[host], heartbeat, true)
}

// awaitMigrationWrite advances the clock until the controller writes a migration record, and
// returns the write.
func (controller *Controller) awaitMigrationWrite(t *testing.T) message.StoreRequest {
	t.Helper()
	for range 10 {
		controller.now = controller.now.Add(shardLeaderTickInterval)
		for _, machine := range controller.shardLeader.machinesByID {
			machine.lastHeard = controller.now
		}
		controller.effects = nil
		controller.shardLeader.migration.tick()
		for _, request := range emittedEffects[message.StoreRequest](controller) {
			if request.Kind == message.OpTxn && request.Writes[0].Key == "move/ops" {
				return request
			}
		}
	}
	t.Fatal("got no write of a migration record, want one")
	return message.StoreRequest{}
}

// TestMigrationIsWrittenBeforeStop guards against a replica that is stopped for a plan that no
// successor would know. The write of a plan compares the revisions of the shard, the jobs and the
// migration record, capacity is reserved as soon as the plan starts, and the replica is stopped
// only when the record is durable.
func TestMigrationIsWrittenBeforeStop(t *testing.T) {
	controller := hostPool(t)
	request := controller.awaitMigrationWrite(t)
	shard := controller.membership.shardMap.Team("ops")
	for _, compare := range []message.Compare{{Key: record.ShardPrefix + "a", ModRevision: shard.ModRevision}, {Key: record.OpenJobPrefix + "job-large", ModRevision: 7}, {Key: "move/ops", ModRevision: 0}} {
		if !slices.Contains(request.Compares, compare) {
			t.Errorf("got compares %v, want %v among them", request.Compares, compare)
		}
	}
	moved := controller.shardLeader.migration.state.tracker.Plans()[0].Steps[0]
	if !slices.Contains(request.Compares, message.Compare{Key: record.OpenJobPrefix + moved.Job, ModRevision: 7}) {
		t.Errorf("got compares %v, want the record of the moved job among them", request.Compares)
	}
	job := controller.shardLeader.jobs[moved.Job]
	if job.tasks[0].stopReason != stopNone {
		t.Errorf("got stop reason %v before the migration is durable, want none", job.tasks[0].stopReason)
	}
	if count := controller.shardLeader.migration.reservedTasks(controller.shardLeader.jobs["job-large"]); count != 1 {
		t.Errorf("got %d tasks with reserved capacity, want 1", count)
	}
	for _, demand := range controller.shardLeader.fleet.demands(time.Minute, false, false) {
		if demand.job.ID == "job-large" && demand.count != 0 {
			t.Errorf("got a demand for %d tasks of job-large, want 0, as a migration frees a host for it", demand.count)
		}
	}
	// Another replica gets none of the reserved capacity.
	late := controller.addReplica("job-t1", 4)
	controller.shardLeader.scheduler.placeAll()
	if late.liveTasks != 0 {
		t.Errorf("got %d tasks of another job on reserved capacity, want 0", late.liveTasks)
	}
	controller.requests.storeCallbacks[request.ID](message.StoreResponse{Status: message.StoreOK, Revision: 20})
	if job.tasks[0].stopReason != stopDrain {
		t.Errorf("got stop reason %v when the migration is durable, want %v", job.tasks[0].stopReason, stopDrain)
	}
}

// TestMigrationConflict guards against reservations that outlive a refused write, and against a
// stale revision after a write with an unknown outcome. If the store refuses the write because a
// job has changed, all reservations are released. If the outcome is unknown, the record is read and
// written again with the revision that was read.
func TestMigrationConflict(t *testing.T) {
	controller := hostPool(t)
	request := controller.awaitMigrationWrite(t)
	controller.requests.storeCallbacks[request.ID](message.StoreResponse{Status: message.StoreConflict, FailedKeys: []string{record.OpenJobPrefix + "job-large"}})
	if len(controller.shardLeader.migration.state.tracker.Holds()) > 0 || controller.shardLeader.machinesByID[0].reservedForMigration != (model.Resources{}) || controller.shardLeader.machinesByID[1].reservedForMigration != (model.Resources{}) {
		t.Errorf("got holds %v after a conflict, want none", controller.shardLeader.migration.state.tracker.Holds())
	}
	request = controller.awaitMigrationWrite(t)
	controller.effects = nil
	controller.requests.storeCallbacks[request.ID](message.StoreResponse{Status: message.StoreUnknown})
	get, ok := controller.effects[0].(message.StoreRequest)
	if !ok || get.Kind != message.OpGet {
		t.Fatalf("after a write with an unknown outcome: got effects %v, want a read", controller.effects)
	}
	controller.requests.storeCallbacks[get.ID](message.StoreResponse{Status: message.StoreOK, KeyValues: []message.KeyValue{{Key: "move/ops", ModRevision: 33}}})
	if request = controller.awaitMigrationWrite(t); !slices.Contains(request.Compares, message.Compare{Key: "move/ops", ModRevision: 33}) {
		t.Errorf("got compares %v, want the record's mod revision 33 among them", request.Compares)
	}
}

// TestNoStopWithoutConfirmedLease guards against a former shard leader that still stops replicas:
// when a write succeeds after the membership lease may have ended, no replica is stopped.
func TestNoStopWithoutConfirmedLease(t *testing.T) {
	controller := hostPool(t)
	request := controller.awaitMigrationWrite(t)
	controller.membership.leaseValidUntil = controller.now.Add(-time.Second)
	controller.requests.storeCallbacks[request.ID](message.StoreResponse{Status: message.StoreOK, Revision: 20})
	for _, job := range controller.shardLeader.jobs {
		if job.tasks[0].stopReason != stopNone {
			t.Errorf("%s: got stop reason %v without a confirmed lease, want none", job.ID, job.tasks[0].stopReason)
		}
	}
}

// TestMigrationKeepsQuota guards against other replicas that use a migrating replica's share of the
// team's quota limit while it is down, so that it could not start again. Afterwards the replica
// starts on its target, and the pending replica starts on the host that was freed.
func TestMigrationKeepsQuota(t *testing.T) {
	controller := hostPool(t)
	request := controller.awaitMigrationWrite(t)
	controller.requests.storeCallbacks[request.ID](message.StoreResponse{Status: message.StoreOK, Revision: 20})
	step := controller.shardLeader.migration.state.tracker.Plans()[0].Steps[0]
	job := controller.shardLeader.jobs[step.Job]
	from := controller.shardLeader.machines[step.From]
	controller.shardLeader.endAttempt(job, 0, false)
	controller.settings.Teams[0].QuotaLimit = model.Resources{GPU: 13}
	if controller.shardLeader.scheduler.withinQuotaLimit(controller.shardLeader.jobs["job-large"]) {
		t.Error("got another replica within the quota limit, want the migrating replica's share reserved")
	}
	controller.settings.Teams[0].QuotaLimit = model.Resources{}
	controller.shardLeader.scheduler.placeAll()
	if job.tasks[0].machine == nil || job.tasks[0].machine.id != step.To {
		t.Errorf("got the moved replica on %v, want %s", job.tasks[0].machine, step.To)
	}
	if large := controller.shardLeader.jobs["job-large"]; large.tasks[0].machine != from {
		t.Errorf("got the large replica on %v, want %s", large.tasks[0].machine, step.From)
	}
}

// TestReservedMachineIsNotIdle guards against the loss of a migration's target: an empty machine
// with reserved capacity is neither released to the cloud nor handed over to another shard.
func TestReservedMachineIsNotIdle(t *testing.T) {
	controller := hostPool(t)
	controller.putShard(t, "b", "b", 2, false, "lab")
	controller.shardLeader.heartbeats.applyHeartbeat(controller.shardLeader.ensureMachine("vm-000002"), controller.hostHeartbeat(2, 1), true)
	machine := controller.shardLeader.machines["vm-000002"]
	controller.now = controller.now.Add(10 * time.Minute)
	for _, other := range controller.shardLeader.machinesByID {
		other.lastHeard = controller.now
	}
	delete(controller.shardLeader.jobs, "job-large")
	isSurplus := func() bool {
		return controller.shardLeader.fleet.isIdleExpired(machine, controller.knowledge.cheapestCPUCost()) || controller.shardLeader.fleet.surplusMachines(controller.shardLeader.fleet.futureFreeCapacity(), func(int) bool { return true })[machine.id]
	}
	if !isSurplus() {
		t.Fatal("got the machine not as surplus without reserved capacity, want it as surplus; the test needs that")
	}
	machine.reservedForMigration = model.Resources{GPU: 1}
	if isSurplus() {
		t.Error("got the machine as surplus with reserved capacity, want it kept")
	}
}

// TestSuccessorRecoversMigrations guards against a failover that loses a migration in progress: the
// successor reserves the capacity again, and places nothing on the hosts of the plan before their
// first heartbeat. An invalid record reserves nothing.
func TestSuccessorRecoversMigrations(t *testing.T) {
	controller := hostPool(t)
	request := controller.awaitMigrationWrite(t)
	step := controller.shardLeader.migration.state.tracker.Plans()[0].Steps[0]
	successor := largePool(0)
	successor.settings.Capabilities, successor.knowledge.machineTypes = controller.settings.Capabilities, controller.knowledge.machineTypes
	job, large := successor.addReplica(step.Job, 4), successor.addReplica("job-large", 8)
	job.nextFresh, job.tasks[0].attempt = 1, step.Attempt
	successor.shardLeader.attachAttempt(job, 0, successor.shardLeader.ensureMachine(step.From))
	successor.shardLeader.ensureMachine(step.To)
	successor.shardLeader.readyAt = successor.now
	successor.frontend.watchCache.openJobs = map[string]openJob{}
	successor.shardLeader.recoverTeams(map[string]*heldTeam{"ops": successor.shardLeader.teams["ops"]}, nil, []message.KeyValue{{Key: "move/ops", Value: request.Writes[0].Value, ModRevision: 20}}, successor.now)
	other := successor.addReplica("job-other", 4)
	other.nextFresh = 1
	successor.shardLeader.heartbeats.applyHeartbeat(successor.shardLeader.ensureMachine("vm-000002"), successor.hostHeartbeat(2, 1), true)
	successor.shardLeader.scheduler.startAttempt(other, 0, successor.shardLeader.ensureMachine("vm-000002"))
	// The predecessor stopped the replica, and the machine's owner reports that it has ended.
	successor.shardLeader.endAttempt(job, 0, false)
	successor.shardLeader.scheduler.placeAll()
	if len(successor.shardLeader.migration.state.tracker.Holds()) != 2 || job.liveTasks != 0 {
		t.Fatalf("got holds %v and %d live tasks, want 2 holds and none", successor.shardLeader.migration.state.tracker.Holds(), job.liveTasks)
	}
	for i := range 2 {
		successor.shardLeader.heartbeats.applyHeartbeat(successor.shardLeader.ensureMachine(fmt.Sprintf("vm-%06d", i)), successor.hostHeartbeat(i, 1), true)
	}
	successor.shardLeader.scheduler.placeAll()
	if job.tasks[0].machine == nil || job.tasks[0].machine.id != step.To || large.tasks[0].machine == nil || large.tasks[0].machine.id != step.From {
		t.Errorf("got the replicas on %v and %v, want %s and %s", job.tasks[0].machine, large.tasks[0].machine, step.To, step.From)
	}
	// A record that can't be decoded reserves nothing, and is counted as rejected.
	successor.shardLeader.migration.recoverRecords([]string{"ops"}, []message.KeyValue{{Key: "move/ops", Value: []byte{0x81}, ModRevision: 21}})
	if len(successor.shardLeader.migration.state.tracker.Holds()) != 0 || successor.rejectedInputs != 1 {
		t.Errorf("got holds %v and %d rejected inputs, want none and 1", successor.shardLeader.migration.state.tracker.Holds(), successor.rejectedInputs)
	}
}

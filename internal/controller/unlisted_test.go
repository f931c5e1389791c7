package controller

import (
	"fmt"
	"testing"
	"time"

	"github.com/micahill/micahill/internal/message"
	"github.com/micahill/micahill/internal/model"
	"github.com/micahill/micahill/internal/record"
)

// addJobOn adds a job with one task whose start was sent to m.
func (controller *Controller) addJobOn(id string, m *machine) *job {
	j := controller.shardLeader.addJob(model.JobSpec{ID: id, Workload: "w", Team: "ops", Tasks: 1, Need: model.Resources{CPU: 1, Memory: 1}, ExpectedRunTime: time.Minute}, controller.now, 1)
	j.nextFresh, j.tasks[0].attempt, j.tasks[0].startSent = 1, 1, true
	controller.shardLeader.attachAttempt(j, 0, m)
	return j
}

// nextHeartbeat applies the next heartbeat of machine i, which lists only the given tasks.
func (controller *Controller) nextHeartbeat(i int, tasks ...model.TaskReport) {
	m := controller.shardLeader.machinesByID[i]
	heartbeat := controller.poolHeartbeat(i)
	heartbeat.Sequence, heartbeat.Epoch, heartbeat.Tasks = m.sequence+1, m.epoch, tasks
	controller.now = controller.now.Add(controller.settings.HeartbeatInterval)
	controller.shardLeader.heartbeats.applyHeartbeat(m, heartbeat, true)
}

// TestQuarantineNonStartingMachine checks a machine that sends heartbeats but never starts its tasks: the
// tasks are stopped and placed elsewhere, and the machine gets no more tasks. One slow reply
// doesn't cause this.
func TestQuarantineNonStartingMachine(t *testing.T) {
	c := largePool(12)
	c.shardLeader.jobs = map[string]*job{}
	for _, m := range c.shardLeader.machinesByID {
		m.attempts, m.used = map[taskKey]*task{}, model.Resources{}
	}
	m := c.shardLeader.machinesByID[0]
	j := c.addJobOn("job-000900", m)
	for range maxMissedStarts - 1 {
		c.nextHeartbeat(0)
	}
	c.shardLeader.heartbeats.quarantineNonStarting()
	if m.faulty || j.liveTasks != 1 {
		t.Fatalf("one heartbeat before the limit: got faulty %v with %d live tasks, want false with 1", m.faulty, j.liveTasks)
	}
	c.nextHeartbeat(0)
	c.shardLeader.heartbeats.quarantineNonStarting()
	if !m.faulty || j.tasks[0].stopReason == stopNone {
		t.Fatalf("at the limit: got faulty %v, stop reason %v; want true and a reason", m.faulty, j.tasks[0].stopReason)
	}
	c.nextHeartbeat(0)
	if j.liveTasks != 0 || j.pendingTasks() != 1 {
		t.Errorf("got %d live and %d pending tasks, want 0 and 1", j.liveTasks, j.pendingTasks())
	}
	// If many machines start nothing at once, the network is at fault and no machine is
	// quarantined.
	var jobs []*job
	for i := 1; i < 9; i++ {
		jobs = append(jobs, c.addJobOn(fmt.Sprintf("job-%06d", 900+i), c.shardLeader.machinesByID[i]))
		for range maxMissedStarts {
			c.nextHeartbeat(i)
		}
	}
	for _, m := range c.shardLeader.machinesByID {
		m.lastHeard = c.now
	}
	c.shardLeader.heartbeats.quarantineNonStarting()
	for i := 1; i < 9; i++ {
		if c.shardLeader.machinesByID[i].faulty || jobs[i-1].liveTasks != 1 {
			t.Fatalf("%s: got faulty %v with %d live tasks after a network fault, want false with 1", c.shardLeader.machinesByID[i].id, c.shardLeader.machinesByID[i].faulty, jobs[i-1].liveTasks)
		}
	}
}

// TestStartsBeforeClears guards against starts that wait behind the clears of thousands of
// short tasks. The remaining clears don't mark the machine for dispatch in every step.
func TestStartsBeforeClears(t *testing.T) {
	c := largePool(1)
	c.shardLeader.jobs = map[string]*job{}
	m := c.shardLeader.machinesByID[0]
	m.attempts, m.used = map[taskKey]*task{}, model.Resources{}
	m.commandEpoch = m.lastStartEpoch + 1
	c.frontend.watchCache.loaded, c.frontend.watchCache.openJobs = true, map[string]openJob{}
	j := c.addJobOn("job-000900", m)
	j.segmentOf(0).persistedVersion = 1
	var ended []model.TaskReport
	for i := range 3 * maxCommands {
		ended = append(ended, model.TaskReport{Job: "job-000901", Index: i, Attempt: 1, Status: model.Ended, Cause: "done"})
	}
	c.frontend.cacheFinalStatus("job-000901", model.Done)
	c.nextHeartbeat(0, ended...)
	commands := c.shardLeader.dispatcher.reconcile(m)
	if len(commands) != maxCommands || commands[0].Kind != model.StartTask {
		t.Errorf("got %d commands, the first %v; want %d, the first a start", len(commands), commands[0], maxCommands)
	}
	if m.dispatchPending {
		t.Error("got a dispatch pending for the remaining clears, want none")
	}
}

// TestJobFailingEverywhere checks a job that fails on every machine: it is tried one task at
// a time with growing backoff, and causes no machines to be rented. No machine is
// quarantined, and other jobs run on.
func TestJobFailingEverywhere(t *testing.T) {
	c := largePool(12)
	c.shardLeader.jobs = map[string]*job{}
	for _, m := range c.shardLeader.machinesByID {
		m.attempts, m.used = map[taskKey]*task{}, model.Resources{}
	}
	j := c.shardLeader.addJob(model.JobSpec{ID: "job-000900", Workload: "w", Team: "ops", Tasks: 40, AllowSpot: true, Need: model.Resources{CPU: 4, Memory: 1}, ExpectedRunTime: time.Minute}, c.now, 1)
	c.shardLeader.scheduler.placeAll()
	if j.liveTasks < 3 {
		t.Fatalf("got %d tasks placed, want at least 3", j.liveTasks)
	}
	for i, m := range c.shardLeader.machinesByID {
		for _, k := range sortedAttempts(m) {
			c.nextHeartbeat(i, model.TaskReport{Job: k.job, Index: k.index, Attempt: j.tasks[k.index].attempt, Status: model.Ended, Cause: "error"})
		}
	}
	for _, m := range c.shardLeader.machinesByID {
		if m.faulty {
			t.Errorf("got %s quarantined although the job is at fault, want it usable", m.id)
		}
	}
	if c.shardLeader.scheduler.placeableTasks(j) != 0 {
		t.Errorf("got %d tasks placeable at once, want 0", c.shardLeader.scheduler.placeableTasks(j))
	}
	c.now = c.now.Add(5 * time.Minute)
	for _, m := range c.shardLeader.machinesByID {
		m.lastHeard = c.now
	}
	c.shardLeader.scheduler.placeAll()
	if j.liveTasks != 1 {
		t.Errorf("got %d of its tasks tried at a time, want 1", j.liveTasks)
	}
	for _, d := range c.shardLeader.fleet.demands(time.Minute, false, false) {
		if d.job == j && d.count > 1 {
			t.Errorf("got a demand of %d tasks, want at most 1", d.count)
		}
	}
}

// TestUpdateOfFormerIncarnationIgnored guards against applying updates that a former incarnation of
// a controller sent.
func TestUpdateOfFormerIncarnationIgnored(t *testing.T) {
	c := twoControllers(t)
	c.membership.controllers["b"] = record.Member{Incarnation: "b#2"}
	c.leader = newLeader(c)
	c.leader.rentals["vm"] = &rental{id: "vm", publishedTo: "b"}
	c.leader.ackedSeq["b"] = 9
	c.handleCommand(message.PeerUpdate{From: "b", Incarnation: "b#1", IsCapacityRequest: true, Seq: 9, ToRelease: []string{"vm"}, Progress: []message.Progress{{ID: "job-000900", Done: 3}}})
	if _, ok := c.leader.freshUpdate("b"); ok || c.frontend.progressByJob["job-000900"].Done != 0 {
		t.Error("got an update of a former incarnation applied, want it ignored")
	}
	c.handleCommand(message.PeerUpdate{From: "b", Incarnation: "b#2", IsCapacityRequest: true, Seq: 3})
	if _, ok := c.leader.freshUpdate("b"); !ok || c.leader.ackedSeq["b"] != 0 || c.leader.rentals["vm"].publishedTo != "" {
		t.Error("got acknowledged state of a former incarnation kept, want everything published again")
	}
	// An update that arrived in time is not used once another incarnation of its sender has
	// begun.
	c.membership.controllers["b"] = record.Member{Incarnation: "b#3"}
	if _, ok := c.leader.freshUpdate("b"); ok {
		t.Error("got the update of a former incarnation as fresh, want it ignored")
	}
	c.handleCommand(message.PeerUpdate{From: "b", Incarnation: "b#1", StoreUnavailable: true})
	if c.membership.peersWithoutStore["b"] != c.now {
		t.Error("got a report of an unavailable store ignored, want it counted from any incarnation")
	}
}

// TestRegistrationComparesRevision guards against overwriting another incarnation's member
// record. A registration compares the revision of the record that it replaces; after a
// conflict the record is read again.
func TestRegistrationComparesRevision(t *testing.T) {
	c := largePool(1)
	key := record.MemberPrefix + "a"
	c.membership.leaseID, c.membership.recordModRevision, c.effects = 7, 4, nil
	c.membership.register()
	registration := c.effects[len(c.effects)-1].(message.StoreRequest)
	if len(registration.Compares) != 1 || registration.Compares[0] != (message.Compare{Key: key, ModRevision: 4}) {
		t.Fatalf("got compares %v, want %s at 4", registration.Compares, key)
	}
	c.handleCommand(message.StoreResponse{ID: registration.ID, Status: message.StoreConflict})
	c.now, c.effects = c.now.Add(time.Second), nil
	c.runTimers()
	read, ok := c.effects[len(c.effects)-1].(message.StoreRequest)
	if !ok || read.Kind != message.OpGet || read.Key != key {
		t.Fatalf("got %+v after the conflict, want a read of %s", read, key)
	}
	// The record was written late by a former incarnation: its lease is revoked, and this
	// incarnation registers.
	c.handleCommand(message.StoreResponse{ID: read.ID, Status: message.StoreOK, KeyValues: []message.KeyValue{{Key: key, Value: record.Encode(record.Member{LeaseID: 3, Incarnation: "former"}), ModRevision: 9}}})
	revoke := c.effects[len(c.effects)-1].(message.StoreRequest)
	if revoke.Kind != message.OpLeaseRevoke || revoke.LeaseID != 3 {
		t.Fatalf("got %+v, want lease 3 revoked", revoke)
	}
	c.handleCommand(message.StoreResponse{ID: revoke.ID, Status: message.StoreOK})
	if registration = c.effects[len(c.effects)-1].(message.StoreRequest); registration.Kind != message.OpTxn || registration.Compares[0] != (message.Compare{Key: key, ModRevision: 0}) {
		t.Errorf("got %+v after the revocation, want a registration that requires %s to be absent", registration, key)
	}
}

// TestReleasedIsNotRequestedAgain guards against repeating the release requests of machines
// that the leader reports as returned. Hundreds of such requests filled the list, and other
// machines were paid for to the end because their release was never requested.
func TestReleasedIsNotRequestedAgain(t *testing.T) {
	c := twoControllers(t)
	c.membership.controllers["b"] = record.Member{Incarnation: "b#1"}
	c.membership.leader = record.Leader{Host: "b", Incarnation: "b#1"}
	c.shardLeader.fleet.view.leaderHost = "b"
	update := message.PeerUpdate{From: "b", Incarnation: "b#1", IsLeaderUpdate: true, Seq: 1}
	for i := range 2 * maxReleasePerRequest {
		id := fmt.Sprintf("vm-%06d", 100+i)
		c.putSegment(t, "a", uint64(100+i), id)
		c.knowledge.released[id] = true
		update.RentalUpdates = append(update.RentalUpdates, message.RentalUpdate{ID: id, MachineType: "box", Zone: "z", Status: "returned"})
	}
	c.handleCommand(update)
	c.shardLeader.fleet.selectReleases(nil)
	if len(c.shardLeader.fleet.machinesToRelease) != 0 {
		t.Errorf("got %d released machines requested again, want 0", len(c.shardLeader.fleet.machinesToRelease))
	}
}

package controller

import (
	"testing"
	"time"

	"github.com/micahill/micahill/internal/message"
	"github.com/micahill/micahill/internal/model"
	"github.com/micahill/micahill/internal/record"
)

// machineWithTask removes all jobs of the pool and runs one task of a new job on its first
// machine.
func machineWithTask(c *Controller) (*machine, *job) {
	c.shardLeader.jobs = map[string]*job{}
	for _, m := range c.shardLeader.machinesByID {
		m.attempts, m.used = map[taskKey]*task{}, model.Resources{}
	}
	m := c.shardLeader.machinesByID[0]
	j := c.addJobOn("job-000900", m)
	j.segmentOf(0).persistedVersion = 1
	c.nextHeartbeat(0, model.TaskReport{Job: j.ID, Index: 0, Attempt: 1, Status: model.Running})
	return m, j
}

// answerPoll answers the poll that the controller has just sent to m with heartbeat, or lets
// the poll fail if heartbeat is nil.
func (controller *Controller) answerPoll(t *testing.T, m *machine, heartbeat *model.Heartbeat) {
	t.Helper()
	for _, request := range emittedEffects[message.WorkerRequest](controller) {
		if request.Machine == m.id {
			controller.effects = nil
			controller.handleCommand(message.WorkerResponse{ID: request.ID, OK: true, Heartbeat: heartbeat})
			return
		}
	}
	t.Fatalf("got no poll of %s, want one", m.id)
}

// TestCommandWithoutReply guards against placing tasks on a machine that receives no
// commands. After a command without a reply the machine is not used, though its heartbeats
// arrive. It is polled, and used again after its first reply.
func TestCommandWithoutReply(t *testing.T) {
	c := largePool(12)
	m, _ := machineWithTask(c)
	c.effects = nil
	c.shardLeader.failover.contact(m)
	c.answerPoll(t, m, nil)
	c.nextHeartbeat(0, m.lastTaskReports...)
	if c.shardLeader.scheduler.usable(m) {
		t.Fatal("got the machine usable without a reply, want unusable")
	}
	c.shardLeader.failover.contact(m)
	c.answerPoll(t, m, nil)
	c.now = c.now.Add(20 * time.Second)
	for _, other := range c.shardLeader.machinesByID {
		other.lastHeard = c.now
	}
	if unreachable := c.shardLeader.heartbeats.unreachableMachines(12); len(unreachable) != 1 || unreachable[0] != m.id {
		t.Errorf("got unreachable machines %v, want %s", unreachable, m.id)
	}
	c.shardLeader.failover.contact(m)
	heartbeat := c.poolHeartbeat(0)
	heartbeat.Sequence, heartbeat.Epoch, heartbeat.Tasks = m.sequence+1, m.epoch, m.lastTaskReports
	c.answerPoll(t, m, heartbeat)
	if !c.shardLeader.scheduler.usable(m) || len(c.shardLeader.heartbeats.unreachableMachines(12)) != 0 {
		t.Error("got the machine unusable after its reply, want usable")
	}
}

// TestLeaseExpiresDespiteHeartbeats checks a machine that reports a later incarnation
// although its heartbeats were answered. The incarnation proves its tasks gone, and the
// machine is not used, since replies may not reach it. A heartbeat that shows a newly
// started task makes it usable again.
func TestLeaseExpiresDespiteHeartbeats(t *testing.T) {
	c := largePool(12)
	m, j := machineWithTask(c)
	sendHeartbeat := func(incarnation, sequence uint64, tasks ...model.TaskReport) {
		heartbeat := c.poolHeartbeat(0)
		heartbeat.Incarnation, heartbeat.Sequence, heartbeat.Epoch, heartbeat.Tasks = incarnation, sequence, m.epoch, tasks
		c.now = c.now.Add(3 * time.Second)
		c.handleHeartbeat(message.WorkerHeartbeat{Reply: 1, Heartbeat: *heartbeat})
	}
	sendHeartbeat(2, m.sequence+1)
	if j.liveTasks != 0 || c.shardLeader.scheduler.usable(m) {
		t.Fatalf("got %d live tasks and usable %v, want 0 and false", j.liveTasks, c.shardLeader.scheduler.usable(m))
	}
	j.tasks[0].attempt, j.tasks[0].startSent = 2, true
	c.shardLeader.attachAttempt(j, 0, m)
	sendHeartbeat(2, m.sequence+1, model.TaskReport{Job: j.ID, Index: 0, Attempt: 2, Status: model.Fetching})
	if !c.shardLeader.scheduler.usable(m) {
		t.Error("got the machine unusable after it started its task, want usable")
	}
}

// TestDuplicateHeartbeatsProveNothing guards against trusting copies. A heartbeat that arrives twice, or
// that arrives first under an earlier epoch, doesn't prove the machine alive, announces no
// reclaim, ends no attempt, causes no command, and doesn't delay the proof that the lease
// has expired.
func TestDuplicateHeartbeatsProveNothing(t *testing.T) {
	c := largePool(12)
	m, j := machineWithTask(c)
	lastHeard, sequence, leaseEnd := m.lastHeard, m.sequence, m.leaseEnd
	old := c.poolHeartbeat(0)
	old.Sequence, old.Epoch, old.ReclaimIn = 1, m.epoch, time.Second
	old.Tasks = []model.TaskReport{{Job: j.ID, Index: 0, Attempt: 1, Status: model.Ended, Cause: "done"}}
	c.now = c.now.Add(time.Hour)
	c.effects = nil
	c.handleHeartbeat(message.WorkerHeartbeat{Reply: 1, Heartbeat: *old})
	if m.lastHeard != lastHeard || m.sequence != sequence || m.reclaimNoticed || j.doneTasks != 0 || m.leaseEnd != leaseEnd {
		t.Error("got a copy of a heartbeat applied, want it ignored")
	}
	for _, reply := range emittedEffects[message.HeartbeatReply](c) {
		if reply.Status != 503 {
			t.Errorf("copy: got reply %d with %v, want 503", reply.Status, reply.Commands)
		}
	}
	// The worker still waits for the reply to a heartbeat that was overtaken, so this reply
	// counts as a lease renewal.
	c.now, c.effects = m.newestMessageAt.Add(time.Second), nil
	m.leaseEnd = c.now
	c.handleHeartbeat(message.WorkerHeartbeat{Reply: 1, Heartbeat: *old})
	for _, reply := range emittedEffects[message.HeartbeatReply](c) {
		if reply.Status != 200 || len(reply.Commands) > 0 {
			t.Errorf("overtaken: got reply %d with %v, want 200 without commands", reply.Status, reply.Commands)
		}
	}
	if m.leaseEnd.Before(c.renewal.leaseEndAfter(c.now)) || m.sequence != sequence {
		t.Error("got a lease end that leaves out the reply, want the reply counted as a renewal")
	}
	// A successor knows no earlier sequence.
	c = largePool(1)
	earlyHeartbeat := model.Heartbeat{Machine: "vm-000900", Addr: "x", MachineType: "box", Zone: "z", Incarnation: 1, Sequence: 70, Epoch: 0, ReclaimIn: time.Second}
	earlyHeartbeat.Tasks = []model.TaskReport{{Job: j.ID, Index: 0, Attempt: 1, Status: model.Ended, Cause: "done"}}
	c.handleHeartbeat(message.WorkerHeartbeat{Reply: 1, Heartbeat: earlyHeartbeat})
	m = c.shardLeader.machines[earlyHeartbeat.Machine]
	if m.heard || m.reclaimNoticed || c.shardLeader.scheduler.usable(m) || len(m.taskReports) > 0 {
		t.Fatal("got the first heartbeat applied under an earlier epoch, want it ignored")
	}
	c.answerPoll(t, m, nil)
	for range 2 {
		// The machine's address does not answer, and more copies arrive.
		c.now, c.effects = c.now.Add(4*time.Second), nil
		earlyHeartbeat.Sequence++
		c.handleHeartbeat(message.WorkerHeartbeat{Reply: 1, Heartbeat: earlyHeartbeat})
		c.answerPoll(t, m, nil)
	}
	leaseEnd = m.leaseEnd
	c.now = c.now.Add(4 * time.Second)
	c.handleHeartbeat(message.WorkerHeartbeat{Reply: 1, Heartbeat: earlyHeartbeat})
	if m.leaseEnd != leaseEnd {
		t.Errorf("got lease end %v after copies, want %v", m.leaseEnd, leaseEnd)
	}
	earlyHeartbeat.Sequence, earlyHeartbeat.Epoch = earlyHeartbeat.Sequence+1, m.epoch
	c.handleHeartbeat(message.WorkerHeartbeat{Reply: 1, Heartbeat: earlyHeartbeat})
	if !m.heard || !m.reclaimNoticed {
		t.Error("got a heartbeat with this owner's epoch ignored, want it applied")
	}
}

// TestWorkerRestart checks a worker that answers a poll with a lower sequence than was
// known: it has restarted. Its tasks are started on it again. A late heartbeat of the former
// worker process, and a copy of one of its first heartbeats, are recognized and ignored.
func TestWorkerRestart(t *testing.T) {
	c := largePool(12)
	m, j := machineWithTask(c)
	first := c.poolHeartbeat(0)
	first.Sequence, first.Epoch = 1, 0
	c.handleHeartbeat(message.WorkerHeartbeat{Reply: 1, Heartbeat: *first})
	if m.restartEpoch != 0 || m.sequence == 1 {
		t.Fatal("got a copy of the first heartbeat treated as a restart, want it ignored")
	}
	c.effects, m.statusRequested, m.lastProbedAt = nil, false, time.Time{}
	m.rerouted = message.ReroutedHeartbeat{ID: m.id, Epoch: m.epoch, Incarnation: m.incarnation, Sequence: 900}
	c.shardLeader.failover.contact(m)
	c.answerPoll(t, m, first)
	if m.rerouted != (message.ReroutedHeartbeat{}) {
		t.Errorf("got rerouted heartbeat %v kept after the restart, want none", m.rerouted)
	}
	if m.restartEpoch != m.epoch || j.liveTasks != 1 {
		t.Fatalf("got restart epoch %d with %d live tasks, want %d with 1", m.restartEpoch, j.liveTasks, m.epoch)
	}
	if commands := c.shardLeader.dispatcher.reconcile(m); len(commands) != 1 || commands[0].Kind != model.StartTask {
		t.Errorf("got commands %v, want a start of the task", commands)
	}
	// A heartbeat of the former worker process arrives late, with a higher sequence and
	// without the task.
	late := c.poolHeartbeat(0)
	late.Sequence, late.Epoch = 900, m.epoch
	c.handleHeartbeat(message.WorkerHeartbeat{Reply: 1, Heartbeat: *late})
	if m.sequence == 900 || j.liveTasks != 1 {
		t.Error("got a heartbeat of the former worker process applied, want it ignored")
	}
	// Heartbeats count again under a higher epoch, which only the restarted worker can have
	// seen.
	c.putSegment(t, c.settings.Host, 9, m.id)
	c.syncShardLeader()
	late.Sequence, late.Epoch = 5, 9
	late.Tasks = []model.TaskReport{{Job: j.ID, Index: 0, Attempt: 1, Status: model.Running}}
	c.handleHeartbeat(message.WorkerHeartbeat{Reply: 1, Heartbeat: *late})
	if m.epoch != 9 || m.sequence != 5 {
		t.Errorf("got epoch %d and sequence %d, want 9 and 5 from the heartbeat under the higher epoch", m.epoch, m.sequence)
	}
	// A copy from an earlier owner's time has a higher incarnation, but an epoch lower than
	// the worker has seen.
	late.Incarnation, late.Sequence, late.Epoch, late.Tasks = 7, 1, 8, nil
	c.handleHeartbeat(message.WorkerHeartbeat{Reply: 1, Heartbeat: *late})
	if m.incarnation == 7 || j.liveTasks != 1 {
		t.Error("got a copy from an earlier owner's time treated as proof of an expired lease, want it ignored")
	}
}

// TestLateSubmitReply guards against adding a finished job again. The reply to a submission
// may arrive after the job was cancelled and is over; the job's owner must then not add the
// job.
func TestLateSubmitReply(t *testing.T) {
	c := twoControllers(t)
	c.frontend.watchCache.revision = 20
	spec := model.JobSpec{ID: "job-000900", Workload: "w", Team: "ops", Tasks: 1, Need: model.Resources{CPU: 1, Memory: 1}}
	c.shardLeader.teams["ops"] = &heldTeam{ready: true}
	put := message.KeyValue{Key: record.OpenJobPrefix + spec.ID, Value: record.Encode(record.NewOpenJob(&spec, c.now)), ModRevision: 21}
	c.observeOwnWrite(put)
	if c.shardLeader.jobs[spec.ID] == nil {
		t.Fatal("got no job after its submission was accepted, want it added")
	}
	delete(c.shardLeader.jobs, spec.ID)
	c.frontend.watchCache.revision = 22
	c.observeOwnWrite(put)
	if c.shardLeader.jobs[spec.ID] != nil {
		t.Error("got the job added again by a late reply, want no job")
	}
}

// TestExpiredLeaseStartsNothing guards against starting a task of a cancelled job. A
// controller whose membership lease may have ended may miss the cancellation, so it goes on
// answering its workers but starts nothing, not even attempts that are durable.
func TestExpiredLeaseStartsNothing(t *testing.T) {
	c := largePool(12)
	m, j := machineWithTask(c)
	c.shardLeader.attachAttempt(j, 0, m)
	j.tasks[0].startSent = false
	sendHeartbeat := func() (commandsSent []model.TaskCommand) {
		c.effects = nil
		heartbeat := c.poolHeartbeat(0)
		heartbeat.Sequence, heartbeat.Epoch = m.sequence+1, m.epoch
		c.handleHeartbeat(message.WorkerHeartbeat{Reply: 1, Heartbeat: *heartbeat})
		for _, reply := range emittedEffects[message.HeartbeatReply](c) {
			if reply.Status != 200 {
				t.Fatalf("got reply %d to a heartbeat, want 200", reply.Status)
			}
			commandsSent = append(commandsSent, reply.Commands...)
		}
		return commandsSent
	}
	c.membership.leaseValidUntil = c.now.Add(-time.Second)
	if commands := sendHeartbeat(); len(commands) != 0 || j.tasks[0].startSent {
		t.Errorf("got commands %v after the lease ended, want none", commands)
	}
	c.membership.leaseValidUntil = c.now.Add(time.Second)
	if commands := sendHeartbeat(); len(commands) != 1 || commands[0].Kind != model.StartTask {
		t.Errorf("got commands %v, want a start of the task", commands)
	}
}

// TestReroutedHeartbeats checks a machine whose heartbeats reach other controllers. It is
// alive, so it is not unresponsive; it may not receive its owner's replies, so it gets no
// tasks. A rerouted heartbeat that is older than the known ones, or under an earlier epoch,
// proves nothing.
func TestReroutedHeartbeats(t *testing.T) {
	c := largePool(12)
	m, _ := machineWithTask(c)
	c.now = c.now.Add(5 * c.shardLeader.heartbeats.unresponsiveAfter(m))
	for _, tc := range []struct {
		name      string
		heartbeat message.ReroutedHeartbeat
	}{
		{"known sequence", message.ReroutedHeartbeat{ID: m.id, Epoch: m.epoch, Incarnation: m.incarnation, Sequence: m.sequence}},
		{"earlier epoch", message.ReroutedHeartbeat{ID: m.id, Epoch: m.epoch - 1, Incarnation: m.incarnation, Sequence: m.sequence + 5}},
		{"earlier incarnation", message.ReroutedHeartbeat{ID: m.id, Epoch: m.epoch, Incarnation: m.incarnation - 1, Sequence: m.sequence + 5}},
	} {
		c.partition.applyReroutedHeartbeats([]message.ReroutedHeartbeat{tc.heartbeat})
		if !c.shardLeader.heartbeats.unresponsive(m) {
			t.Errorf("%s: got the machine responsive after %v, want unresponsive", tc.name, tc.heartbeat)
		}
	}
	m.epoch++
	c.partition.applyReroutedHeartbeats([]message.ReroutedHeartbeat{{ID: m.id, Epoch: m.epoch - 1, Incarnation: m.incarnation, Sequence: m.sequence + 5}})
	if !c.shardLeader.heartbeats.unresponsive(m) {
		t.Error("got the machine responsive after a heartbeat under a former owner's epoch, want unresponsive")
	}
	m.epoch--
	rerouted := message.ReroutedHeartbeat{ID: m.id, Epoch: m.epoch, Incarnation: m.incarnation, Sequence: m.sequence + 5}
	c.partition.applyReroutedHeartbeats([]message.ReroutedHeartbeat{rerouted})
	if c.shardLeader.heartbeats.unresponsive(m) || c.shardLeader.scheduler.usable(m) {
		t.Errorf("got unresponsive %v and usable %v, want false for both", c.shardLeader.heartbeats.unresponsive(m), c.shardLeader.scheduler.usable(m))
	}
	c.now = c.now.Add(5 * c.shardLeader.heartbeats.unresponsiveAfter(m))
	c.partition.applyReroutedHeartbeats([]message.ReroutedHeartbeat{rerouted})
	if !c.shardLeader.heartbeats.unresponsive(m) {
		t.Error("got the machine responsive after a repeated update, want unresponsive")
	}
	if (&message.PeerUpdate{From: "b", Rerouted: make([]message.ReroutedHeartbeat, message.MaxReroutedHeartbeats+1)}).Validate() == nil || (&message.PeerUpdate{From: "b", Rerouted: []message.ReroutedHeartbeat{{}}}).Validate() == nil {
		t.Error("got an invalid peer update accepted, want it rejected")
	}
}

// TestHeartbeatUnderEarlierEpoch checks that a newer heartbeat under an earlier epoch
// updates the tasks of a known machine, but doesn't prove that the machine is alive
// now.
func TestHeartbeatUnderEarlierEpoch(t *testing.T) {
	c := largePool(12)
	m, _ := machineWithTask(c)
	earlierEpoch := m.epoch
	c.putSegment(t, c.settings.Host, 9, m.id)
	c.syncShardLeader()
	c.now = c.now.Add(5 * c.shardLeader.heartbeats.unresponsiveAfter(m))
	c.membership.leaseValidUntil = c.now.Add(time.Second)
	heartbeat := c.poolHeartbeat(0)
	heartbeat.Sequence, heartbeat.Epoch, heartbeat.Tasks = m.sequence+1, earlierEpoch, m.lastTaskReports
	c.handleHeartbeat(message.WorkerHeartbeat{Reply: 1, Heartbeat: *heartbeat})
	if m.sequence != heartbeat.Sequence || !c.shardLeader.heartbeats.unresponsive(m) {
		t.Errorf("got sequence %d and unresponsive %v, want %d and true", m.sequence, c.shardLeader.heartbeats.unresponsive(m), heartbeat.Sequence)
	}
	heartbeat.Sequence, heartbeat.Epoch = m.sequence+1, m.epoch
	c.handleHeartbeat(message.WorkerHeartbeat{Reply: 1, Heartbeat: *heartbeat})
	if c.shardLeader.heartbeats.unresponsive(m) {
		t.Error("got the machine unresponsive after a heartbeat under the present epoch, want responsive")
	}
}

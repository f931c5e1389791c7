package controller

import (
	"testing"
	"time"

	"github.com/micahill/micahill/internal/message"
	"github.com/micahill/micahill/internal/model"
	"github.com/micahill/micahill/internal/record"
)

// machineWithTask clears the pool's jobs and gives its first machine one task, which runs
// there.
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

// answerPoll answers the poll that the controller has just sent to a machine, or with nil
// lets it fail.
func (c *Controller) answerPoll(t *testing.T, m *machine, r *model.Heartbeat) {
	t.Helper()
	for _, op := range emittedEffects[message.WorkerRequest](c) {
		if op.Machine == m.id {
			c.effects = nil
			c.handleCommand(message.WorkerResponse{ID: op.ID, OK: true, Heartbeat: r})
			return
		}
	}
	t.Fatalf("got no poll of %s, want one", m.id)
}

// TestCommandWithoutReply: after a command without an answer nothing more is placed on a
// machine, though its heartbeats arrive; it is polled, and used again with its first answer.
func TestCommandWithoutReply(t *testing.T) {
	c := largePool(12)
	m, _ := machineWithTask(c)
	c.effects = nil
	c.shardLeader.failover.contact(m)
	c.answerPoll(t, m, nil)
	c.nextHeartbeat(0, m.lastTaskReports...)
	if c.shardLeader.scheduler.usable(m) {
		t.Fatal("got the machine usable without an answer, want unusable")
	}
	c.shardLeader.failover.contact(m)
	c.answerPoll(t, m, nil)
	c.now = c.now.Add(20 * time.Second)
	for _, x := range c.shardLeader.machinesByID {
		x.lastHeard = c.now
	}
	if back := c.shardLeader.heartbeats.unreachableMachines(12); len(back) != 1 || back[0] != m.id {
		t.Errorf("got unreachable machines %v, want %s", back, m.id)
	}
	c.shardLeader.failover.contact(m)
	r := c.poolHeartbeat(0)
	r.Sequence, r.Epoch, r.Tasks = m.sequence+1, m.epoch, m.lastTaskReports
	c.answerPoll(t, m, r)
	if !c.shardLeader.scheduler.usable(m) || len(c.shardLeader.heartbeats.unreachableMachines(12)) != 0 {
		t.Error("got the machine unusable after its answer, want usable")
	}
}

// TestLeaseExpiresDespiteHeartbeats: a later incarnation of a machine whose heartbeats arrive
// proves its tasks gone, and makes it doubtful that answers reach it; a heartbeat that shows
// a start ends the doubt.
func TestLeaseExpiresDespiteHeartbeats(t *testing.T) {
	c := largePool(12)
	m, j := machineWithTask(c)
	sendHeartbeat := func(incarnation, sequence uint64, tasks ...model.TaskReport) {
		r := c.poolHeartbeat(0)
		r.Incarnation, r.Sequence, r.Epoch, r.Tasks = incarnation, sequence, m.epoch, tasks
		c.now = c.now.Add(3 * time.Second)
		c.handleHeartbeat(message.WorkerHeartbeat{Reply: 1, Heartbeat: *r})
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

// TestDuplicateHeartbeats: a heartbeat that arrives once more, or whose first arrival is under
// an earlier epoch, proves no machine alive, is no reclaim notice and no end of an attempt,
// causes no command, and delays no proof.
func TestDuplicateHeartbeats(t *testing.T) {
	c := largePool(12)
	m, j := machineWithTask(c)
	heard, sequence, end := m.lastHeard, m.sequence, m.leaseEnd
	old := c.poolHeartbeat(0)
	old.Sequence, old.Epoch, old.ReclaimIn = 1, m.epoch, time.Second
	old.Tasks = []model.TaskReport{{Job: j.ID, Index: 0, Attempt: 1, Status: model.Ended, Cause: "done"}}
	c.now = c.now.Add(time.Hour)
	c.effects = nil
	c.handleHeartbeat(message.WorkerHeartbeat{Reply: 1, Heartbeat: *old})
	if m.lastHeard != heard || m.sequence != sequence || m.reclaimNoticed || j.doneTasks != 0 || m.leaseEnd != end {
		t.Error("got a copy of a heartbeat taken for new, want it ignored")
	}
	for _, r := range emittedEffects[message.HeartbeatReply](c) {
		if r.Status != 503 {
			t.Errorf("copy: got answer %d with %v, want 503", r.Status, r.Commands)
		}
	}
	// The worker waits for the answer to one that was overtaken, and that answer counts.
	c.now, c.effects = m.newestMessageAt.Add(time.Second), nil
	m.leaseEnd = c.now
	c.handleHeartbeat(message.WorkerHeartbeat{Reply: 1, Heartbeat: *old})
	for _, r := range emittedEffects[message.HeartbeatReply](c) {
		if r.Status != 200 || len(r.Commands) > 0 {
			t.Errorf("overtaken: got answer %d with %v, want 200 without commands", r.Status, r.Commands)
		}
	}
	if m.leaseEnd.Before(c.renewal.leaseEndAfter(c.now)) || m.sequence != sequence {
		t.Error("got a lease end that leaves out the answer, want it counted")
	}
	// A successor knows no earlier sequence.
	c = largePool(1)
	earlyHeartbeat := model.Heartbeat{Machine: "vm-000900", Addr: "x", MachineType: "box", Zone: "z", Incarnation: 1, Sequence: 70, Epoch: 0, ReclaimIn: time.Second}
	earlyHeartbeat.Tasks = []model.TaskReport{{Job: j.ID, Index: 0, Attempt: 1, Status: model.Ended, Cause: "done"}}
	c.handleHeartbeat(message.WorkerHeartbeat{Reply: 1, Heartbeat: earlyHeartbeat})
	m = c.shardLeader.machines[earlyHeartbeat.Machine]
	if m.heard || m.reclaimNoticed || c.shardLeader.scheduler.usable(m) || len(m.taskReports) > 0 {
		t.Fatal("got the first heartbeat counted under an earlier epoch, want it ignored")
	}
	c.answerPoll(t, m, nil)
	for range 2 {
		// Its address does not answer, and more copies arrive.
		c.now, c.effects = c.now.Add(4*time.Second), nil
		earlyHeartbeat.Sequence++
		c.handleHeartbeat(message.WorkerHeartbeat{Reply: 1, Heartbeat: earlyHeartbeat})
		c.answerPoll(t, m, nil)
	}
	end = m.leaseEnd
	c.now = c.now.Add(4 * time.Second)
	c.handleHeartbeat(message.WorkerHeartbeat{Reply: 1, Heartbeat: earlyHeartbeat})
	if m.leaseEnd != end {
		t.Errorf("got lease end %v after copies, want %v", m.leaseEnd, end)
	}
	earlyHeartbeat.Sequence, earlyHeartbeat.Epoch = earlyHeartbeat.Sequence+1, m.epoch
	c.handleHeartbeat(message.WorkerHeartbeat{Reply: 1, Heartbeat: earlyHeartbeat})
	if !m.heard || !m.reclaimNoticed {
		t.Error("got a heartbeat with this owner's epoch ignored, want it counted")
	}
}

// TestWorkerRestart: a worker that answers with less than was known has restarted. Its tasks
// start there again; a late heartbeat of the former worker is recognised, and so is one that
// only resembles its first heartbeats.
func TestWorkerRestart(t *testing.T) {
	c := largePool(12)
	m, j := machineWithTask(c)
	first := c.poolHeartbeat(0)
	first.Sequence, first.Epoch = 1, 0
	c.handleHeartbeat(message.WorkerHeartbeat{Reply: 1, Heartbeat: *first})
	if m.restartEpoch != 0 || m.sequence == 1 {
		t.Fatal("got a copy of its first heartbeat taken for a restart, want it ignored")
	}
	c.effects, m.statusRequested, m.probed = nil, false, time.Time{}
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
		t.Errorf("got commands %v, want its task's start", commands)
	}
	// A heartbeat of the former worker arrives late, with a higher sequence and without the
	// task.
	late := c.poolHeartbeat(0)
	late.Sequence, late.Epoch = 900, m.epoch
	c.handleHeartbeat(message.WorkerHeartbeat{Reply: 1, Heartbeat: *late})
	if m.sequence == 900 || j.liveTasks != 1 {
		t.Error("got a heartbeat of the former worker counted, want it ignored")
	}
	// Under a higher epoch, which only the new worker can have seen, heartbeats count again.
	c.putSegment(t, c.settings.Host, 9, m.id)
	c.syncShardLeader()
	late.Sequence, late.Epoch = 5, 9
	late.Tasks = []model.TaskReport{{Job: j.ID, Index: 0, Attempt: 1, Status: model.Running}}
	c.handleHeartbeat(message.WorkerHeartbeat{Reply: 1, Heartbeat: *late})
	if m.epoch != 9 || m.sequence != 5 {
		t.Errorf("got epoch %d and sequence %d, want 9 and 5 by the heartbeat under the higher epoch", m.epoch, m.sequence)
	}
	// A copy of an earlier time has a higher incarnation, and an epoch that the worker has
	// left behind.
	late.Incarnation, late.Sequence, late.Epoch, late.Tasks = 7, 1, 8, nil
	c.handleHeartbeat(message.WorkerHeartbeat{Reply: 1, Heartbeat: *late})
	if m.incarnation == 7 || j.liveTasks != 1 {
		t.Error("got a copy of an earlier owner's time taken as proof of an expired lease, want it ignored")
	}
}

// TestLateSubmitReply: the answer to a submission may arrive after the job was cancelled and
// is over; it does not make the owner add the job again.
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
		t.Error("got the job added again by a late answer, want it left out")
	}
}

// TestExpiredLeaseStartsNothing: a controller whose lease may have ended goes on answering its
// workers and starts nothing, not even what is durable: its job may have been cancelled.
func TestExpiredLeaseStartsNothing(t *testing.T) {
	c := largePool(12)
	m, j := machineWithTask(c)
	c.shardLeader.attachAttempt(j, 0, m)
	j.tasks[0].startSent = false
	sendHeartbeat := func() (out []model.TaskCommand) {
		c.effects = nil
		r := c.poolHeartbeat(0)
		r.Sequence, r.Epoch = m.sequence+1, m.epoch
		c.handleHeartbeat(message.WorkerHeartbeat{Reply: 1, Heartbeat: *r})
		for _, a := range emittedEffects[message.HeartbeatReply](c) {
			if a.Status != 200 {
				t.Fatalf("got answer %d to a heartbeat, want 200", a.Status)
			}
			out = append(out, a.Commands...)
		}
		return out
	}
	c.membership.leaseValidUntil = c.now.Add(-time.Second)
	if commands := sendHeartbeat(); len(commands) != 0 || j.tasks[0].startSent {
		t.Errorf("got commands %v after the lease, want none", commands)
	}
	c.membership.leaseValidUntil = c.now.Add(time.Second)
	if commands := sendHeartbeat(); len(commands) != 1 || commands[0].Kind != model.StartTask {
		t.Errorf("got commands %v, want the task's start", commands)
	}
}

// TestReroutedHeartbeats: a machine whose heartbeats reach other controllers is alive and may
// not receive this owner's answers: it is not unresponsive, and gets no work. What is older,
// or under an earlier epoch, proves nothing.
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
			t.Errorf("%s: got the machine responsive by %v, want unresponsive", tc.name, tc.heartbeat)
		}
	}
	m.epoch++
	c.partition.applyReroutedHeartbeats([]message.ReroutedHeartbeat{{ID: m.id, Epoch: m.epoch - 1, Incarnation: m.incarnation, Sequence: m.sequence + 5}})
	if !c.shardLeader.heartbeats.unresponsive(m) {
		t.Error("got the machine responsive by a heartbeat without an epoch of this owner's time, want unresponsive")
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
		t.Error("got the machine responsive by a repeated update, want unresponsive")
	}
	if (&message.PeerUpdate{From: "b", Rerouted: make([]message.ReroutedHeartbeat, message.MaxReroutedHeartbeats+1)}).Validate() == nil || (&message.PeerUpdate{From: "b", Rerouted: []message.ReroutedHeartbeat{{}}}).Validate() == nil {
		t.Error("got an invalid peer update accepted, want it rejected")
	}
}

// TestHeartbeatUnderEarlierEpoch: a newer heartbeat under an earlier epoch, of a machine that
// is known, says what was there, and not that the machine is alive now.
func TestHeartbeatUnderEarlierEpoch(t *testing.T) {
	c := largePool(12)
	m, _ := machineWithTask(c)
	earlierEpoch := m.epoch
	c.putSegment(t, c.settings.Host, 9, m.id)
	c.syncShardLeader()
	c.now = c.now.Add(5 * c.shardLeader.heartbeats.unresponsiveAfter(m))
	c.membership.leaseValidUntil = c.now.Add(time.Second)
	r := c.poolHeartbeat(0)
	r.Sequence, r.Epoch, r.Tasks = m.sequence+1, earlierEpoch, m.lastTaskReports
	c.handleHeartbeat(message.WorkerHeartbeat{Reply: 1, Heartbeat: *r})
	if m.sequence != r.Sequence || !c.shardLeader.heartbeats.unresponsive(m) {
		t.Errorf("got sequence %d and unresponsive %v, want %d and true", m.sequence, c.shardLeader.heartbeats.unresponsive(m), r.Sequence)
	}
	r.Sequence, r.Epoch = m.sequence+1, m.epoch
	c.handleHeartbeat(message.WorkerHeartbeat{Reply: 1, Heartbeat: *r})
	if c.shardLeader.heartbeats.unresponsive(m) {
		t.Error("got the machine unresponsive after a heartbeat under the present epoch, want responsive")
	}
}

package controller

import (
	"testing"
	"time"

	"github.com/micahill/micahill/internal/message"
	"github.com/micahill/micahill/internal/model"
	"github.com/micahill/micahill/internal/record"
)

// machineWithTask gives the first machine of a pool one task that runs there.
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

// ask takes what the node has just asked a machine, and answers it or not.
func (c *Controller) answerPoll(t *testing.T, m *machine, r *model.Heartbeat) {
	t.Helper()
	for _, op := range emittedEffects[message.WorkerRequest](c) {
		if op.Machine == m.id {
			c.effects = nil
			c.handleCommand(message.WorkerResponse{ID: op.ID, OK: true, Heartbeat: r})
			return
		}
	}
	t.Fatal("the machine is not asked")
}

// TestCommandWithoutReply: after an order without an answer nothing more is placed on a
// machine, though it reports; it is asked, and used again with its first answer.
func TestCommandWithoutReply(t *testing.T) {
	n := largePool(12)
	m, _ := machineWithTask(n)
	n.effects = nil
	n.shardLeader.failover.contact(m)
	n.answerPoll(t, m, nil)
	n.nextHeartbeat(0, m.lastTaskReports...)
	if n.shardLeader.scheduler.usable(m) {
		t.Fatal("it gets more work")
	}
	n.shardLeader.failover.contact(m)
	n.answerPoll(t, m, nil)
	n.now = n.now.Add(20 * time.Second)
	for _, x := range n.shardLeader.machinesByID {
		x.lastHeard = n.now
	}
	if back := n.shardLeader.heartbeats.unreachableMachines(12); len(back) != 1 || back[0] != m.id {
		t.Errorf("%v are given back, want %s", back, m.id)
	}
	n.shardLeader.failover.contact(m)
	r := n.poolHeartbeat(0)
	r.Sequence, r.Epoch, r.Tasks = m.sequence+1, m.epoch, m.lastTaskReports
	n.answerPoll(t, m, r)
	if !n.shardLeader.scheduler.usable(m) || len(n.shardLeader.heartbeats.unreachableMachines(12)) != 0 {
		t.Error("it answers, and is not used again")
	}
}

// TestLeaseExpiresDespiteHeartbeats: a later tenure of a machine that reports is proof for its
// tasks and a doubt about its hearing; a report that shows a start ends the doubt.
func TestLeaseExpiresDespiteHeartbeats(t *testing.T) {
	n := largePool(12)
	m, j := machineWithTask(n)
	sendHeartbeat := func(tenure, tick uint64, tasks ...model.TaskReport) {
		r := n.poolHeartbeat(0)
		r.Incarnation, r.Sequence, r.Epoch, r.Tasks = tenure, tick, m.epoch, tasks
		n.now = n.now.Add(3 * time.Second)
		n.handleHeartbeat(message.WorkerHeartbeat{Reply: 1, Heartbeat: *r})
	}
	sendHeartbeat(2, m.sequence+1)
	if j.liveTasks != 0 || n.shardLeader.scheduler.usable(m) {
		t.Fatalf("%d tasks are live, usable %v", j.liveTasks, n.shardLeader.scheduler.usable(m))
	}
	t1 := &j.tasks[0]
	t1.attempt, t1.startSent = 2, true
	n.shardLeader.attachAttempt(j, 0, m)
	sendHeartbeat(2, m.sequence+1, model.TaskReport{Job: j.ID, Index: 0, Attempt: 2, Status: model.Fetching})
	if !n.shardLeader.scheduler.usable(m) {
		t.Error("it has started what it was told to, and is not used")
	}
}

// TestDuplicateHeartbeats: a report that comes once more, or first of all under an epoch of before,
// is no sign of life, no notice and no end of an attempt, orders nothing, and puts no
// proof off.
func TestDuplicateHeartbeats(t *testing.T) {
	n := largePool(12)
	m, j := machineWithTask(n)
	heard, tick, end := m.lastHeard, m.sequence, m.leaseEnd
	old := n.poolHeartbeat(0)
	old.Sequence, old.Epoch, old.ReclaimIn = 1, m.epoch, time.Second
	old.Tasks = []model.TaskReport{{Job: j.ID, Index: 0, Attempt: 1, Status: model.Ended, Cause: "done"}}
	n.now = n.now.Add(time.Hour)
	n.effects = nil
	n.handleHeartbeat(message.WorkerHeartbeat{Reply: 1, Heartbeat: *old})
	if m.lastHeard != heard || m.sequence != tick || m.reclaimNoticed || j.doneTasks != 0 || m.leaseEnd != end {
		t.Error("a copy counts")
	}
	for _, r := range emittedEffects[message.HeartbeatReply](n) {
		if r.Status != 503 {
			t.Errorf("it is answered %d with %v", r.Status, r.Commands)
		}
	}
	// One that was overtaken is waited for, and its answer counts.
	n.now, n.effects = m.newestMessageAt.Add(time.Second), nil
	m.leaseEnd = n.now
	n.handleHeartbeat(message.WorkerHeartbeat{Reply: 1, Heartbeat: *old})
	for _, r := range emittedEffects[message.HeartbeatReply](n) {
		if r.Status != 200 || len(r.Commands) > 0 {
			t.Errorf("it is answered %d with %v", r.Status, r.Commands)
		}
	}
	if m.leaseEnd.Before(n.renewal.leaseEndAfter(n.now)) || m.sequence != tick {
		t.Error("its lease is prolonged, and not counted")
	}
	// A successor knows no earlier tick.
	n = largePool(1)
	earlyHeartbeat := model.Heartbeat{Machine: "vm-000900", Addr: "x", MachineType: "box", Zone: "z", Incarnation: 1, Sequence: 70, Epoch: 0, ReclaimIn: time.Second}
	earlyHeartbeat.Tasks = []model.TaskReport{{Job: j.ID, Index: 0, Attempt: 1, Status: model.Ended, Cause: "done"}}
	n.handleHeartbeat(message.WorkerHeartbeat{Reply: 1, Heartbeat: earlyHeartbeat})
	m = n.shardLeader.machines[earlyHeartbeat.Machine]
	if m.heard || m.reclaimNoticed || n.shardLeader.scheduler.usable(m) || len(m.taskReports) > 0 {
		t.Fatal("the first report of all, of an epoch of before, counts")
	}
	n.answerPoll(t, m, nil)
	for range 2 {
		// Its address does not answer, and more copies come.
		n.now, n.effects = n.now.Add(4*time.Second), nil
		earlyHeartbeat.Sequence++
		n.handleHeartbeat(message.WorkerHeartbeat{Reply: 1, Heartbeat: earlyHeartbeat})
		n.answerPoll(t, m, nil)
	}
	end = m.leaseEnd
	n.now = n.now.Add(4 * time.Second)
	n.handleHeartbeat(message.WorkerHeartbeat{Reply: 1, Heartbeat: earlyHeartbeat})
	if m.leaseEnd != end {
		t.Error("copies put the end of its lease off")
	}
	earlyHeartbeat.Sequence, earlyHeartbeat.Epoch = earlyHeartbeat.Sequence+1, m.epoch
	n.handleHeartbeat(message.WorkerHeartbeat{Reply: 1, Heartbeat: earlyHeartbeat})
	if !m.heard || !m.reclaimNoticed {
		t.Error("a report with this owner's epoch does not count")
	}
}

// TestWorkerRestart: a worker that answers with less than was known has begun anew. Its
// tasks start there again, a late report of before is told apart, and so is one that
// only looks like its first reports.
func TestWorkerRestart(t *testing.T) {
	n := largePool(12)
	m, j := machineWithTask(n)
	first := n.poolHeartbeat(0)
	first.Sequence, first.Epoch = 1, 0
	n.handleHeartbeat(message.WorkerHeartbeat{Reply: 1, Heartbeat: *first})
	if m.restartEpoch != 0 || m.sequence == 1 {
		t.Fatal("a copy of its first report is taken for a new beginning")
	}
	n.effects, m.statusRequested, m.probed = nil, false, time.Time{}
	m.rerouted = message.ReroutedHeartbeat{ID: m.id, Epoch: m.epoch, Incarnation: m.incarnation, Sequence: 900}
	n.shardLeader.failover.contact(m)
	n.answerPoll(t, m, first)
	if m.rerouted != (message.ReroutedHeartbeat{}) {
		t.Error("what it told others before is held against its reports")
	}
	if m.restartEpoch != m.epoch || j.liveTasks != 1 {
		t.Fatalf("begun anew under %d, %d tasks live", m.restartEpoch, j.liveTasks)
	}
	if os := n.shardLeader.dispatcher.reconcile(m); len(os) != 1 || os[0].Kind != model.StartTask {
		t.Errorf("ordered %v, want its task's start", os)
	}
	// A report of before comes late, with a higher tick and without the task.
	late := n.poolHeartbeat(0)
	late.Sequence, late.Epoch = 900, m.epoch
	n.handleHeartbeat(message.WorkerHeartbeat{Reply: 1, Heartbeat: *late})
	if m.sequence == 900 || j.liveTasks != 1 {
		t.Error("a report of before counts")
	}
	// Under a higher epoch, which only the new one can have seen, reports count again.
	n.putSegment(t, n.settings.Host, 9, m.id)
	n.syncShardLeader()
	late.Sequence, late.Epoch = 5, 9
	late.Tasks = []model.TaskReport{{Job: j.ID, Index: 0, Attempt: 1, Status: model.Running}}
	n.handleHeartbeat(message.WorkerHeartbeat{Reply: 1, Heartbeat: *late})
	if m.epoch != 9 || m.sequence != 5 {
		t.Error("a report under the higher epoch does not count")
	}
	// A copy of before has a higher tenure, and an epoch that the worker left behind.
	late.Incarnation, late.Sequence, late.Epoch, late.Tasks = 7, 1, 8, nil
	n.handleHeartbeat(message.WorkerHeartbeat{Reply: 1, Heartbeat: *late})
	if m.incarnation == 7 || j.liveTasks != 1 {
		t.Error("a copy of an earlier owner's time is proof of a lease that ran out")
	}
}

// TestLateSubmitReply: the answer to a submission may come after the job was cancelled and is
// over; it does not bring the job back into the owner's books.
func TestLateSubmitReply(t *testing.T) {
	n := twoControllers(t)
	n.frontend.watchCache.revision = 20
	spec := model.JobSpec{ID: "job-000900", Workload: "w", Team: "ops", Tasks: 1, Need: model.Resources{CPU: 1, Memory: 1}}
	n.shardLeader.teams["ops"] = &heldTeam{ready: true}
	put := message.KeyValue{Key: record.OpenJobPrefix + spec.ID, Value: record.Encode(record.NewOpenJob(&spec, n.now)), ModRevision: 21}
	n.observeOwnWrite(put)
	if n.shardLeader.jobs[spec.ID] == nil {
		t.Fatal("a job that was just accepted is not taken up")
	}
	delete(n.shardLeader.jobs, spec.ID)
	n.frontend.watchCache.revision = 22
	n.observeOwnWrite(put)
	if n.shardLeader.jobs[spec.ID] != nil {
		t.Error("an answer that comes late brings it back")
	}
}

// TestExpiredLeaseStartsNothing: one whose grant may have ended goes on answering its workers
// and starts nothing, not even what is durable: its job may have been cancelled.
func TestExpiredLeaseStartsNothing(t *testing.T) {
	n := largePool(12)
	m, j := machineWithTask(n)
	n.shardLeader.attachAttempt(j, 0, m)
	j.tasks[0].startSent = false
	sendHeartbeat := func() (out []model.TaskCommand) {
		n.effects = nil
		r := n.poolHeartbeat(0)
		r.Sequence, r.Epoch = m.sequence+1, m.epoch
		n.handleHeartbeat(message.WorkerHeartbeat{Reply: 1, Heartbeat: *r})
		for _, a := range emittedEffects[message.HeartbeatReply](n) {
			if a.Status != 200 {
				t.Fatalf("a report is answered %d", a.Status)
			}
			out = append(out, a.Commands...)
		}
		return out
	}
	n.membership.leaseValidUntil = n.now.Add(-time.Second)
	if os := sendHeartbeat(); len(os) != 0 || j.tasks[0].startSent {
		t.Errorf("ordered %v", os)
	}
	n.membership.leaseValidUntil = n.now.Add(time.Second)
	if os := sendHeartbeat(); len(os) != 1 || os[0].Kind != model.StartTask {
		t.Errorf("ordered %v, want its start", os)
	}
}

// TestReroutedHeartbeats: a machine that reports to others lives and may not hear this owner: it is no
// silent one, and gets no work. What is older, or of a time before, says nothing.
func TestReroutedHeartbeats(t *testing.T) {
	n := largePool(12)
	m, _ := machineWithTask(n)
	n.now = n.now.Add(5 * n.shardLeader.heartbeats.unresponsiveAfter(m))
	for _, x := range []message.ReroutedHeartbeat{{ID: m.id, Epoch: m.epoch, Incarnation: m.incarnation, Sequence: m.sequence}, {ID: m.id, Epoch: m.epoch - 1, Incarnation: m.incarnation, Sequence: m.sequence + 5}, {ID: m.id, Epoch: m.epoch, Incarnation: m.incarnation - 1, Sequence: m.sequence + 5}} {
		n.partition.applyReroutedHeartbeats([]message.ReroutedHeartbeat{x})
		if !n.shardLeader.heartbeats.unresponsive(m) {
			t.Errorf("%v is a sign of life", x)
		}
	}
	m.epoch++
	n.partition.applyReroutedHeartbeats([]message.ReroutedHeartbeat{{ID: m.id, Epoch: m.epoch - 1, Incarnation: m.incarnation, Sequence: m.sequence + 5}})
	if !n.shardLeader.heartbeats.unresponsive(m) {
		t.Error("a report that shows no epoch of this owner's time is a sign of life")
	}
	m.epoch--
	x := message.ReroutedHeartbeat{ID: m.id, Epoch: m.epoch, Incarnation: m.incarnation, Sequence: m.sequence + 5}
	n.partition.applyReroutedHeartbeats([]message.ReroutedHeartbeat{x})
	if n.shardLeader.heartbeats.unresponsive(m) || n.shardLeader.scheduler.usable(m) {
		t.Errorf("silent %v, usable %v", n.shardLeader.heartbeats.unresponsive(m), n.shardLeader.scheduler.usable(m))
	}
	n.now = n.now.Add(5 * n.shardLeader.heartbeats.unresponsiveAfter(m))
	n.partition.applyReroutedHeartbeats([]message.ReroutedHeartbeat{x})
	if !n.shardLeader.heartbeats.unresponsive(m) {
		t.Error("told again, it is a sign of life again")
	}
	if (&message.PeerUpdate{From: "b", Rerouted: make([]message.ReroutedHeartbeat, message.MaxReroutedHeartbeats+1)}).Validate() == "" || (&message.PeerUpdate{From: "b", Rerouted: []message.ReroutedHeartbeat{{}}}).Validate() == "" {
		t.Error("bad news is taken")
	}
}

// TestHeartbeatUnderEarlierEpoch: a newer report under an epoch of before, of a machine that
// is known, tells what was there, and not that the machine lives now.
func TestHeartbeatUnderEarlierEpoch(t *testing.T) {
	n := largePool(12)
	m, _ := machineWithTask(n)
	was := m.epoch
	n.putSegment(t, n.settings.Host, 9, m.id)
	n.syncShardLeader()
	n.now = n.now.Add(5 * n.shardLeader.heartbeats.unresponsiveAfter(m))
	n.membership.leaseValidUntil = n.now.Add(time.Second)
	r := n.poolHeartbeat(0)
	r.Sequence, r.Epoch, r.Tasks = m.sequence+1, was, m.lastTaskReports
	n.handleHeartbeat(message.WorkerHeartbeat{Reply: 1, Heartbeat: *r})
	if m.sequence != r.Sequence || !n.shardLeader.heartbeats.unresponsive(m) {
		t.Errorf("known up to tick %d, silent %v", m.sequence, n.shardLeader.heartbeats.unresponsive(m))
	}
	r.Sequence, r.Epoch = m.sequence+1, m.epoch
	n.handleHeartbeat(message.WorkerHeartbeat{Reply: 1, Heartbeat: *r})
	if n.shardLeader.heartbeats.unresponsive(m) {
		t.Error("a report under the epoch of now is no sign of life")
	}
}

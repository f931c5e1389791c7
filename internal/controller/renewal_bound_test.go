package controller

import (
	"testing"
	"time"

	"github.com/micahill/micahill/internal/message"
	"github.com/micahill/micahill/internal/model"
	"github.com/micahill/micahill/internal/record"
)

// heartbeatOf sends the next heartbeat of m's worker, with tasks, and returns the answer.
func (c *Controller) heartbeatOf(m *machine, tasks ...model.TaskReport) message.HeartbeatReply {
	r := c.poolHeartbeat(0)
	r.Machine, r.Sequence, r.Epoch, r.Tasks = m.id, m.sequence+1, m.epoch, tasks
	return c.replyToHeartbeat(r)
}

// replyToHeartbeat is the answer to a heartbeat, zero if there is none yet.
func (c *Controller) replyToHeartbeat(r *model.Heartbeat) message.HeartbeatReply {
	c.effects = nil
	c.handleHeartbeat(message.WorkerHeartbeat{Reply: 1, Heartbeat: *r})
	for _, a := range emittedEffects[message.HeartbeatReply](c) {
		return a
	}
	return message.HeartbeatReply{}
}

// setCancelled records that a job was cancelled by a write sent at that moment.
func (c *Controller) setCancelled(j *job, at time.Time) {
	rec := record.NewOpenJob(&j.JobSpec, j.submittedAt)
	rec.Cancelled, rec.CancelledAtMillis = true, at.UnixMilli()
	c.frontend.watchCache.openJobs[j.ID] = openJob{j.modRevision + 1, rec}
	if c.shardLeader.jobs[j.ID] != nil {
		c.shardLeader.applyJobRecord(j, j.modRevision+1, &rec)
	}
}

// TestRenewalBound: worker leases are renewed for a window after the newest read was sent, and
// what was decided before is checked when it is sent. Other answers of the store, and late
// ones, change nothing.
func TestRenewalBound(t *testing.T) {
	c := largePool(12)
	c.frontend.watchCache.openJobs = map[string]openJob{}
	m, j := machineWithTask(c)
	running := model.TaskReport{Job: j.ID, Index: 0, Attempt: 1, Status: model.Running}
	c.frontend.watchCache.asOf = time.Time{}
	if a := c.heartbeatOf(m, running); a.Status != 503 {
		t.Errorf("got answer %d of an owner that has read nothing, want 503", a.Status)
	}
	sent := c.now
	c.now = c.now.Add(5 * time.Second)
	c.frontend.watchCache.applyOpenJobUpdates(message.StoreResponse{SentAt: sent})
	c.frontend.watchCache.applyOpenJobUpdates(message.StoreResponse{SentAt: sent.Add(-time.Minute)})
	deadline := sent.Add(c.settings.RenewalBound().Window())
	if least := 25 * time.Second; deadline.Sub(sent) < least {
		t.Fatalf("got a window of %v, want at least %v", deadline.Sub(sent), least)
	}
	a := c.heartbeatOf(m, running)
	if a.Status != 200 || !a.SendDeadline.Equal(deadline) {
		t.Errorf("got answer %d until %v after the read was sent, want 200 until %v", a.Status, a.SendDeadline.Sub(sent), deadline.Sub(sent))
	}
	if _, instead, late := CheckDeadline(a, deadline.Add(time.Millisecond)); !late || instead.(message.HeartbeatReply).Status != 503 {
		t.Errorf("after the deadline: got late %v and %+v instead, want true and 503", late, instead)
	}
	c.now = deadline.Add(time.Millisecond)
	end := m.leaseEnd
	if a := c.heartbeatOf(m, running); a.Status != 503 || m.leaseEnd != end {
		t.Errorf("after the window: got answer %d, lease extended by %v; want 503 and 0", a.Status, m.leaseEnd.Sub(end))
	}
	// The grace bounds answers as well: successors rely on it.
	c.frontend.watchCache.asOf = c.now.Add(time.Hour)
	c.membership.leaseValidUntil = c.now.Add(-c.renewal.grace())
	if a := c.heartbeatOf(m, running); a.Status != 200 || !a.SendDeadline.Equal(c.now) {
		t.Errorf("at the end of the grace: got answer %d until %v, want 200 until %v", a.Status, a.SendDeadline, c.now)
	}
	c.now = c.now.Add(time.Millisecond)
	if a := c.heartbeatOf(m, running); a.Status != 503 {
		t.Errorf("after the grace: got answer %d, want 503", a.Status)
	}
}

// TestStartDeadline: a membership lease is renewed by an owner that can't read open/. The
// starts that it sends directly leave no later than its answers do; stops are not bound by that.
func TestStartDeadline(t *testing.T) {
	c := largePool(12)
	c.frontend.watchCache.openJobs = map[string]openJob{}
	m, j := machineWithTask(c)
	starting := c.addJobOn("job-000901", m)
	starting.segmentOf(0).persistedVersion = 1
	c.frontend.watchCache.asOf = c.now
	deadline := c.now.Add(c.settings.RenewalBound().Window())
	dispatched := func() (op message.WorkerRequest) {
		m.dispatchInFlight, c.effects = false, nil
		c.shardLeader.dispatcher.dispatch(m)
		for _, w := range emittedEffects[message.WorkerRequest](c) {
			op = w
		}
		return op
	}
	c.now = deadline
	op := dispatched()
	if len(op.Commands) != 1 || op.Commands[0].Kind != model.StartTask || !op.SendDeadline.Equal(deadline) {
		t.Errorf("got commands %v until %v, want a start until %v", op.Commands, op.SendDeadline, deadline)
	}
	if back, _, late := CheckDeadline(op, deadline.Add(time.Millisecond)); !late || !back.(message.WorkerResponse).NotSent {
		t.Errorf("after the deadline: got late %v and response %+v, want true and not sent", late, back)
	}
	c.now = deadline.Add(time.Millisecond)
	if op := dispatched(); len(op.Commands) > 0 {
		t.Errorf("after the window: got commands %v, want none", op.Commands)
	}
	c.setCancelled(j, c.now)
	if op := dispatched(); len(op.Commands) != 1 || op.Commands[0].Kind != model.StopTask || !op.SendDeadline.Equal(c.membership.leaseValidUntil) {
		t.Errorf("got commands %v until %v, want a stop until %v, the confirmed end of the lease", op.Commands, op.SendDeadline, c.membership.leaseValidUntil)
	}
}

// TestCancelledWithoutProof: stops may be lost and starts may be on their way. A machine that
// may have a cancelled job's tasks is answered only within the time that these have, counted
// from the sending of the write with both clocks wrong, and again once they are gone.
func TestCancelledWithoutProof(t *testing.T) {
	c := largePool(12)
	c.settings.MaxClockError = time.Second
	c.frontend.watchCache.openJobs = map[string]openJob{}
	m, j := machineWithTask(c)
	running := model.TaskReport{Job: j.ID, Index: 0, Attempt: 1, Status: model.Running}
	at := c.now.Add(-10 * time.Second)
	deadline := at.Add(c.settings.RenewalBound().Window() - 2*time.Second)
	c.setCancelled(j, at)
	a := c.heartbeatOf(m, running)
	if a.Status != 200 || !a.SendDeadline.Equal(deadline) || len(a.Commands) != 1 || a.Commands[0].Kind != model.StopTask {
		t.Errorf("got answer %+v, want 200 with a stop until %v", a, deadline)
	}
	// A start that was sent and is not shown counts as running.
	if a := c.heartbeatOf(m); a.Status == 200 && !a.SendDeadline.Equal(deadline) && len(m.attempts) > 0 {
		t.Errorf("with a start on its way: got an answer until %v, want %v", a.SendDeadline, deadline)
	}
	c.now = deadline.Add(time.Millisecond)
	m.replySequence, m.unackedStartEpoch = 0, m.epoch // a command without an answer
	c.addJobOn("job-000901", m)
	j2 := c.shardLeader.jobs["job-000901"]
	c.setCancelled(j2, at)
	if a := c.heartbeatOf(m); a.Status != 503 {
		t.Errorf("after the time of a cancelled job whose start may be on its way: got answer %d, want 503", a.Status)
	}
	m.unackedStartEpoch = 0
	if a := c.heartbeatOf(m); a.Status != 200 {
		t.Errorf("after the proof that it is gone: got answer %d, want 200", a.Status)
	}
	// A task of another owner's job, whose record does not say when it was cancelled.
	othersJob := newJob(model.JobSpec{ID: "job-000902", Team: "lab", Tasks: 1}, c.now, 1, 4096)
	c.setCancelled(othersJob, time.UnixMilli(0))
	if a := c.heartbeatOf(m, model.TaskReport{Job: othersJob.ID, Index: 0, Attempt: 1, Status: model.Running}); a.Status != 503 {
		t.Errorf("with a task that may have been cancelled long ago: got answer %d, want 503", a.Status)
	}
}

// TestUnprovenHeartbeatListsCancelled: a machine that has just come to this owner may have
// tasks that only its heartbeats show, as long as the owner of their job has not requested
// them. When that job is cancelled, its time bounds the answers to these heartbeats too,
// though they have the former owner's epoch and prove nothing.
func TestUnprovenHeartbeatListsCancelled(t *testing.T) {
	c := largePool(12)
	c.frontend.watchCache.openJobs = map[string]openJob{}
	cancelled := newJob(model.JobSpec{ID: "job-000905", Team: "lab", Tasks: 1}, c.now, 1, 4096)
	at := c.now.Add(-10 * time.Second)
	c.setCancelled(cancelled, at)
	m := c.shardLeader.machines["vm-000003"]
	for j := range m.attempts {
		c.shardLeader.endAttempt(c.shardLeader.jobs[j.job], j.index, false)
	}
	m.heard, m.taskReports, m.lastTaskReports, m.seenEpoch = false, nil, nil, 0
	replyUnderFormerEpoch := func() message.HeartbeatReply {
		r := c.poolHeartbeat(0)
		r.Machine, r.Sequence, r.Epoch = m.id, m.sequence+1, m.epoch-1
		r.Tasks = []model.TaskReport{{Job: cancelled.ID, Index: 0, Attempt: 1, Status: model.Running}}
		return c.replyToHeartbeat(r)
	}
	deadline := at.Add(c.settings.RenewalBound().Window())
	if a := replyUnderFormerEpoch(); a.Status != 200 || !a.SendDeadline.Equal(deadline) {
		t.Errorf("got answer %d until %v, want 200 until %v", a.Status, a.SendDeadline, deadline)
	}
	c.now = deadline.Add(time.Millisecond)
	c.frontend.watchCache.asOf = c.now
	if a := replyUnderFormerEpoch(); a.Status != 503 {
		t.Errorf("after the time of a cancelled job that only the heartbeat lists: got answer %d, want 503", a.Status)
	}
}

// TestEpochIsShownWhereRenewalEnds: a start of a cancelled job may be on its way to a machine
// that is no longer answered for that reason. The higher epoch that would be the proof is
// sent directly, or all work there would be lost with the lease.
func TestEpochIsShownWhereRenewalEnds(t *testing.T) {
	c := largePool(12)
	c.frontend.watchCache.openJobs = map[string]openJob{}
	m, _ := machineWithTask(c)
	cancelled := c.addJobOn("job-000901", m)
	m.unackedStartEpoch = m.epoch
	m.epoch++
	c.setCancelled(cancelled, c.now.Add(-time.Minute))
	r := c.poolHeartbeat(0)
	r.Sequence, r.Epoch, r.Tasks, c.effects = m.sequence+1, m.unackedStartEpoch, m.lastTaskReports, nil
	c.handleHeartbeat(message.WorkerHeartbeat{Reply: 1, Heartbeat: *r})
	r.Sequence, r.Epoch = r.Sequence+1, m.epoch
	c.answerPoll(t, m, r)
	if until := c.renewal.machineRenewalDeadline(m, m.settled(), nil); c.now.After(until) || cancelled.liveTasks > 0 {
		t.Errorf("got answers until %v and %d live attempts after the epoch was shown, want later than %v and 0", until, cancelled.liveTasks, c.now)
	}
}

// TestStopsBeforeRecovery: an owner that has not read which attempts there should be stops
// what it knows to be cancelled, and renews no lease beyond that job's time.
func TestStopsBeforeRecovery(t *testing.T) {
	c := largePool(12)
	c.frontend.watchCache.openJobs = map[string]openJob{}
	m, j := machineWithTask(c)
	c.shardLeader.ready = false
	task := func(job string) model.TaskReport {
		return model.TaskReport{Job: job, Index: 0, Attempt: 1, Status: model.Running}
	}
	at := c.now.Add(-10 * time.Second)
	delete(c.shardLeader.jobs, j.ID)
	c.setCancelled(j, at)
	a := c.heartbeatOf(m, task(j.ID), task("job-000903"))
	if deadline := at.Add(c.settings.RenewalBound().Window()); a.Status != 200 || !a.SendDeadline.Equal(deadline) {
		t.Errorf("got answer %d until %v, want 200 until %v", a.Status, a.SendDeadline, deadline)
	}
	if len(a.Commands) != 1 || a.Commands[0] != (model.TaskCommand{Kind: model.StopTask, Job: j.ID, Attempt: 1}) {
		t.Errorf("got commands %v, want a stop of %s without a grace period", a.Commands, j.ID)
	}
	c.now = c.now.Add(c.settings.RenewalBound().Window())
	if a := c.heartbeatOf(m, task(j.ID)); a.Status != 503 {
		t.Errorf("after the time of a cancelled job: got answer %d, want 503", a.Status)
	}
}

// TestUnreadStartsOfFormerOwner: an owner that has not read a team's records does not know
// which starts of a former owner may yet reach a machine. Until the machine has shown this
// owner's epoch, it is answered only within the time of every cancelled job.
func TestUnreadStartsOfFormerOwner(t *testing.T) {
	for _, ready := range []bool{false, true} {
		c := largePool(12)
		c.frontend.watchCache.openJobs = map[string]openJob{}
		m, j := machineWithTask(c)
		delete(c.shardLeader.jobs, j.ID)
		c.setCancelled(j, c.now.Add(-10*time.Second))
		deadline := c.now.Add(c.settings.RenewalBound().Window() - 10*time.Second)
		c.shardLeader.ready, c.shardLeader.teams["ops"].ready = ready, false
		firstHeartbeat := func(epoch uint64) message.HeartbeatReply {
			c.shardLeader.removeMachine(m)
			c.shardLeader.heartbeats.lastHeartbeats = nil
			m = c.shardLeader.ensureMachine(m.id)
			r := c.poolHeartbeat(0)
			r.Epoch, r.Sequence = epoch, r.Sequence+1
			return c.replyToHeartbeat(r)
		}
		epoch := c.shardLeader.ensureMachine(m.id).epoch
		if epoch == 0 {
			t.Fatal("got epoch 0 of the machine, want one")
		}
		if a := firstHeartbeat(epoch - 1); a.Status != 200 || !a.SendDeadline.Equal(deadline) {
			t.Errorf("ready %v: got answer %d until %v, want 200 until %v", ready, a.Status, a.SendDeadline, deadline)
		}
		c.now = deadline.Add(time.Millisecond)
		if a := firstHeartbeat(epoch - 1); a.Status != 503 {
			t.Errorf("ready %v: after the time of a cancelled job whose start may be on its way: got answer %d, want 503", ready, a.Status)
		}
		if a := firstHeartbeat(epoch); a.Status != 200 {
			t.Errorf("ready %v: when no former start can be executed any more: got answer %d, want 200", ready, a.Status)
		}
	}
}

// TestCancelledStopsWithoutCheckpoint: a task that was told to stop and is checkpointing is
// told once more when its job is cancelled, without a grace period, and no other reason to
// stop gives it one again.
func TestCancelledStopsWithoutCheckpoint(t *testing.T) {
	c := largePool(12)
	c.frontend.watchCache.openJobs = map[string]openJob{}
	m, j := machineWithTask(c)
	j.CheckpointInterval, j.CheckpointCost, j.LongRunning = 30*time.Second, 4*time.Second, true
	task := model.TaskReport{Job: j.ID, Index: 0, Attempt: 1, Status: model.Running}
	j.tasks[0].stopReason = stopDrain
	if commands := c.shardLeader.dispatcher.reconcile(m); len(commands) != 1 || commands[0].Kind != model.StopTask || commands[0].GracePeriod < j.CheckpointCost {
		t.Errorf("got commands %+v, want a stop with a grace period of at least %v", commands, j.CheckpointCost)
	}
	task.Status = model.Checkpointing
	c.nextHeartbeat(0, task)
	if commands := c.shardLeader.dispatcher.reconcile(m); len(commands) > 0 {
		t.Errorf("while it is checkpointing: got commands %+v, want none", commands)
	}
	c.setCancelled(j, c.now)
	m.reclaimNoticed, m.reclaimAt = true, c.now.Add(time.Minute)
	c.shardLeader.failover.drainReclaimed(m)
	c.shardLeader.scheduler.relaunch()
	if commands := c.shardLeader.dispatcher.reconcile(m); len(commands) != 1 || commands[0].Kind != model.StopTask || commands[0].GracePeriod != 0 {
		t.Errorf("cancelled while it is checkpointing: got commands %+v, want a stop without a grace period", commands)
	}
}

// TestStopIsRepeatedWithoutHeartbeats: a machine reaches no controller, and the direct stop
// was lost. When it answers a poll, it is told to stop once more.
func TestStopIsRepeatedWithoutHeartbeats(t *testing.T) {
	c := largePool(12)
	c.frontend.watchCache.openJobs = map[string]openJob{}
	m, j := machineWithTask(c)
	countStops := func() (stops int) {
		c.shardLeader.dispatcher.dispatchAll()
		for _, op := range emittedEffects[message.WorkerRequest](c) {
			if op.Machine == m.id && len(op.Commands) > 0 && op.Commands[0].Kind == model.StopTask {
				stops++
			}
		}
		return stops
	}
	c.effects = nil
	c.setCancelled(j, c.now)
	if stops := countStops(); stops != 1 {
		t.Fatalf("got %d stops, want 1", stops)
	}
	c.answerPoll(t, m, nil)
	c.now, c.effects = c.now.Add(5*time.Second), nil
	if stops := countStops(); stops != 0 {
		t.Errorf("got %d stops for a machine that does not answer, want 0", stops)
	}
	c.shardLeader.failover.contact(m)
	r := c.poolHeartbeat(0)
	r.Sequence, r.Epoch, r.Tasks = m.sequence+1, m.epoch, m.lastTaskReports
	c.answerPoll(t, m, r)
	if stops := countStops(); stops != 1 {
		t.Errorf("got %d stops after it has answered, want 1", stops)
	}
}

// TestMassCancellation: a job with more tasks on each of its machines than one message has
// commands is cancelled. All machines are told at once, none waits for another. Where no
// direct command arrives the answers to three heartbeats list all tasks; their time is
// bounded.
func TestMassCancellation(t *testing.T) {
	const machines, each = 30, 3 * maxCommands
	c := largePool(machines)
	c.frontend.watchCache.openJobs = map[string]openJob{}
	c.shardLeader.jobs = map[string]*job{}
	j := c.shardLeader.addJob(model.JobSpec{ID: "job-000900", Team: "ops", Tasks: machines * each}, c.now, 1)
	j.nextFresh = j.Tasks
	for i := range j.tasks {
		j.tasks[i].attempt, j.tasks[i].startSent = 1, true
	}
	all := map[*machine][]model.TaskReport{}
	for k, m := range c.shardLeader.machinesByID {
		m.attempts = map[taskKey]*task{}
		for i := range each {
			c.shardLeader.attachAttempt(j, k*each+i, m)
			all[m] = append(all[m], model.TaskReport{Job: j.ID, Index: k*each + i, Attempt: 1, Status: model.Running})
		}
		c.heartbeatOf(m, all[m]...)
	}
	at := c.now
	c.effects = nil
	c.setCancelled(j, at)
	c.shardLeader.dispatcher.dispatchAll()
	commandsSent := map[string]int{}
	for _, op := range emittedEffects[message.WorkerRequest](c) {
		commandsSent[op.Machine] = len(op.Commands)
		c.handleCommand(message.WorkerResponse{ID: op.ID})
	}
	for _, m := range c.shardLeader.machinesByID {
		if commandsSent[m.id] != maxCommands {
			t.Fatalf("%s: got %d commands at once, want %d", m.id, commandsSent[m.id], maxCommands)
		}
		for round := range 3 {
			a := c.heartbeatOf(m, all[m]...)
			if a.Status != 200 || len(a.Commands) != maxCommands || !a.SendDeadline.Equal(at.Add(c.settings.RenewalBound().Window())) {
				t.Fatalf("%s, heartbeat %d: got answer %d with %d commands until %v, want 200 with %d until %v", m.id, round, a.Status, len(a.Commands), a.SendDeadline, maxCommands, at.Add(c.settings.RenewalBound().Window()))
			}
			all[m] = all[m][maxCommands:]
		}
	}
}

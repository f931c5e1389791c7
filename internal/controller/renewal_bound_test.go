package controller

import (
	"testing"
	"time"

	"github.com/micahill/micahill/internal/message"
	"github.com/micahill/micahill/internal/model"
	"github.com/micahill/micahill/internal/record"
)

// heartbeatOf sends the next heartbeat of m's worker, which lists tasks, and returns the
// reply.
func (controller *Controller) heartbeatOf(m *machine, tasks ...model.TaskReport) message.HeartbeatReply {
	heartbeat := controller.poolHeartbeat(0)
	heartbeat.Machine, heartbeat.Sequence, heartbeat.Epoch, heartbeat.Tasks = m.id, m.sequence+1, m.epoch, tasks
	return controller.replyToHeartbeat(heartbeat)
}

// replyToHeartbeat handles a heartbeat and returns the reply, or a zero reply if there is
// none yet.
func (controller *Controller) replyToHeartbeat(heartbeat *model.Heartbeat) message.HeartbeatReply {
	controller.effects = nil
	controller.handleHeartbeat(message.WorkerHeartbeat{Reply: 1, Heartbeat: *heartbeat})
	for _, reply := range emittedEffects[message.HeartbeatReply](controller) {
		return reply
	}
	return message.HeartbeatReply{}
}

// setCancelled records that j was cancelled by a write that was sent at the given moment.
func (controller *Controller) setCancelled(j *job, at time.Time) {
	rec := record.NewOpenJob(&j.JobSpec, j.submittedAt)
	rec.Cancelled, rec.CancelledAtMillis = true, at.UnixMilli()
	controller.frontend.watchCache.openJobs[j.ID] = openJob{j.modRevision + 1, rec}
	if controller.shardLeader.jobs[j.ID] != nil {
		controller.shardLeader.applyJobRecord(j, j.modRevision+1, &rec)
	}
}

// TestRenewalBound guards against a lease that outlives the time of a cancellation. Leases
// are renewed only within a window after the newest read was sent, and the deadline is
// checked again when the reply is sent. Other store responses, and late ones, don't extend
// the window.
func TestRenewalBound(t *testing.T) {
	c := largePool(12)
	c.frontend.watchCache.openJobs = map[string]openJob{}
	m, j := machineWithTask(c)
	running := model.TaskReport{Job: j.ID, Index: 0, Attempt: 1, Status: model.Running}
	c.frontend.watchCache.asOf = time.Time{}
	if reply := c.heartbeatOf(m, running); reply.Status != 503 {
		t.Errorf("got reply %d from an owner that has read nothing, want 503", reply.Status)
	}
	sent := c.now
	c.now = c.now.Add(5 * time.Second)
	c.frontend.watchCache.applyOpenJobUpdates(message.StoreResponse{SentAt: sent})
	c.frontend.watchCache.applyOpenJobUpdates(message.StoreResponse{SentAt: sent.Add(-time.Minute)})
	deadline := sent.Add(c.settings.RenewalBound().Window())
	if least := 25 * time.Second; deadline.Sub(sent) < least {
		t.Fatalf("got a window of %v, want at least %v", deadline.Sub(sent), least)
	}
	reply := c.heartbeatOf(m, running)
	if reply.Status != 200 || !reply.SendDeadline.Equal(deadline) {
		t.Errorf("got reply %d until %v after the read was sent, want 200 until %v", reply.Status, reply.SendDeadline.Sub(sent), deadline.Sub(sent))
	}
	if _, replacement, late := CheckDeadline(reply, deadline.Add(time.Millisecond)); !late || replacement.(message.HeartbeatReply).Status != 503 {
		t.Errorf("after the deadline: got late %v and replacement %+v, want true and 503", late, replacement)
	}
	c.now = deadline.Add(time.Millisecond)
	leaseEnd := m.leaseEnd
	if reply := c.heartbeatOf(m, running); reply.Status != 503 || m.leaseEnd != leaseEnd {
		t.Errorf("after the window: got reply %d, lease extended by %v; want 503 and 0", reply.Status, m.leaseEnd.Sub(leaseEnd))
	}
	// The grace bounds replies as well, since successors rely on it.
	c.frontend.watchCache.asOf = c.now.Add(time.Hour)
	c.membership.leaseValidUntil = c.now.Add(-c.renewal.renewalGrace())
	if reply := c.heartbeatOf(m, running); reply.Status != 200 || !reply.SendDeadline.Equal(c.now) {
		t.Errorf("at the end of the grace: got reply %d until %v, want 200 until %v", reply.Status, reply.SendDeadline, c.now)
	}
	c.now = c.now.Add(time.Millisecond)
	if reply := c.heartbeatOf(m, running); reply.Status != 503 {
		t.Errorf("after the grace: got reply %d, want 503", reply.Status)
	}
}

// TestStartDeadline checks an owner whose membership lease is renewed while it can't read
// open/. Starts have the same deadline as its replies to heartbeats: after it no heartbeat is
// requested for them, and a late reply is sent without them. Stops don't have this deadline.
func TestStartDeadline(t *testing.T) {
	c := largePool(12)
	c.frontend.watchCache.openJobs = map[string]openJob{}
	m, j := machineWithTask(c)
	starting := c.addJobOn("job-000901", m)
	starting.segmentOf(0).persistedVersion = 1
	c.frontend.watchCache.asOf = c.now
	deadline := c.now.Add(c.settings.RenewalBound().Window())
	dispatched := func() (request message.WorkerRequest) {
		m.dispatchInFlight, c.effects = false, nil
		c.shardLeader.dispatcher.dispatch(m)
		for _, sent := range emittedEffects[message.WorkerRequest](c) {
			request = sent
		}
		return request
	}
	c.now = deadline
	if request := dispatched(); len(request.Commands) != 0 || !request.RequestsHeartbeat {
		t.Errorf("got commands %v and a heartbeat requested %v, want none and true", request.Commands, request.RequestsHeartbeat)
	}
	m.heartbeatRequested = false
	reply := c.heartbeatOf(m, m.lastTaskReports...)
	if countStarts(reply.Commands) != 1 || !reply.StartsDeadline.Equal(deadline) {
		t.Errorf("got commands %v with starts until %v, want a start until %v", reply.Commands, reply.StartsDeadline, deadline)
	}
	reply.SendDeadline = deadline.Add(time.Second)
	if _, instead, late := CheckDeadline(reply, deadline.Add(time.Millisecond)); !late || countStarts(instead.(message.HeartbeatReply).Commands) != 0 {
		t.Errorf("after the deadline: got late %v and reply %+v, want true and no start", late, instead)
	}
	c.now = deadline.Add(time.Millisecond)
	if request := dispatched(); len(request.Commands) > 0 || request.RequestsHeartbeat {
		t.Errorf("after the window: got commands %v and a heartbeat requested %v, want none and false", request.Commands, request.RequestsHeartbeat)
	}
	c.setCancelled(j, c.now)
	if request := dispatched(); len(request.Commands) != 1 || request.Commands[0].Kind != model.StopTask || !request.SendDeadline.Equal(c.membership.leaseValidUntil) {
		t.Errorf("got commands %v until %v, want a stop until %v, the confirmed end of the lease", request.Commands, request.SendDeadline, c.membership.leaseValidUntil)
	}
}

// TestCancelledJobBoundsRenewal guards against renewing the lease of a machine that keeps a
// cancelled job's tasks, because stops were lost or starts are in flight. The machine is
// answered only within the time of the cancelled job, counted from the sending of the
// cancellation with both clocks wrong. Once the tasks are proven gone it is answered again.
func TestCancelledJobBoundsRenewal(t *testing.T) {
	c := largePool(12)
	c.settings.MaxClockError = time.Second
	c.frontend.watchCache.openJobs = map[string]openJob{}
	m, j := machineWithTask(c)
	running := model.TaskReport{Job: j.ID, Index: 0, Attempt: 1, Status: model.Running}
	cancelledAt := c.now.Add(-10 * time.Second)
	deadline := cancelledAt.Add(c.settings.RenewalBound().Window() - 2*time.Second)
	c.setCancelled(j, cancelledAt)
	reply := c.heartbeatOf(m, running)
	if reply.Status != 200 || !reply.SendDeadline.Equal(deadline) || len(reply.Commands) != 1 || reply.Commands[0].Kind != model.StopTask {
		t.Errorf("got reply %+v, want 200 with a stop until %v", reply, deadline)
	}
	// An attempt whose start was sent and that no heartbeat shows counts as running.
	if reply := c.heartbeatOf(m); reply.Status == 200 && !reply.SendDeadline.Equal(deadline) && len(m.attempts) > 0 {
		t.Errorf("with a start in flight: got a reply until %v, want %v", reply.SendDeadline, deadline)
	}
	c.now = deadline.Add(time.Millisecond)
	m.replySequence = m.sequence + 100 // a reply with starts that no heartbeat has followed
	c.addJobOn("job-000901", m)
	cancelled := c.shardLeader.jobs["job-000901"]
	c.setCancelled(cancelled, cancelledAt)
	if reply := c.heartbeatOf(m); reply.Status != 503 {
		t.Errorf("after the time of a cancelled job whose start may be in flight: got reply %d, want 503", reply.Status)
	}
	m.replySequence = 0
	if reply := c.heartbeatOf(m); reply.Status != 200 {
		t.Errorf("after the proof that the task is gone: got reply %d, want 200", reply.Status)
	}
	// A task of another owner's job, whose record doesn't say when the job was cancelled.
	othersJob := newJob(model.JobSpec{ID: "job-000902", Team: "lab", Tasks: 1}, c.now, 1, 4096)
	c.setCancelled(othersJob, time.UnixMilli(0))
	if reply := c.heartbeatOf(m, model.TaskReport{Job: othersJob.ID, Index: 0, Attempt: 1, Status: model.Running}); reply.Status != 503 {
		t.Errorf("with a task of a job that may have been cancelled long ago: got reply %d, want 503", reply.Status)
	}
}

// TestUnprovenHeartbeatWithCancelledTask checks a machine that has just moved to this owner.
// Its tasks may be known only from its heartbeats, as long as their job's owner has not
// requested them. If that job is cancelled, its time bounds the replies to these heartbeats
// too, although they have the former owner's epoch and prove nothing.
func TestUnprovenHeartbeatWithCancelledTask(t *testing.T) {
	c := largePool(12)
	c.frontend.watchCache.openJobs = map[string]openJob{}
	cancelled := newJob(model.JobSpec{ID: "job-000905", Team: "lab", Tasks: 1}, c.now, 1, 4096)
	cancelledAt := c.now.Add(-10 * time.Second)
	c.setCancelled(cancelled, cancelledAt)
	m := c.shardLeader.machines["vm-000003"]
	for key := range m.attempts {
		c.shardLeader.endAttempt(c.shardLeader.jobs[key.job], key.index, false)
	}
	m.heard, m.taskReports, m.lastTaskReports, m.seenEpoch = false, nil, nil, 0
	replyUnderFormerEpoch := func() message.HeartbeatReply {
		heartbeat := c.poolHeartbeat(0)
		heartbeat.Machine, heartbeat.Sequence, heartbeat.Epoch = m.id, m.sequence+1, m.epoch-1
		heartbeat.Tasks = []model.TaskReport{{Job: cancelled.ID, Index: 0, Attempt: 1, Status: model.Running}}
		return c.replyToHeartbeat(heartbeat)
	}
	deadline := cancelledAt.Add(c.settings.RenewalBound().Window())
	if reply := replyUnderFormerEpoch(); reply.Status != 200 || !reply.SendDeadline.Equal(deadline) {
		t.Errorf("got reply %d until %v, want 200 until %v", reply.Status, reply.SendDeadline, deadline)
	}
	c.now = deadline.Add(time.Millisecond)
	c.frontend.watchCache.asOf = c.now
	if reply := replyUnderFormerEpoch(); reply.Status != 503 {
		t.Errorf("after the time of a cancelled job that only the heartbeat lists: got reply %d, want 503", reply.Status)
	}
}

// TestEpochIsSentWhenRenewalEnds guards against losing all tasks on a machine that is not
// answered because a start of a cancelled job may be in flight to it. The higher epoch,
// which would prove that this start can't take effect, is sent directly before the lease
// expires.
func TestEpochIsSentWhenRenewalEnds(t *testing.T) {
	c := largePool(12)
	c.frontend.watchCache.openJobs = map[string]openJob{}
	m, _ := machineWithTask(c)
	cancelled := c.addJobOn("job-000901", m)
	former := m.epoch
	m.replySequence = m.sequence
	m.raiseEpoch(m.epoch + 1)
	c.setCancelled(cancelled, c.now.Add(-time.Minute))
	heartbeat := c.poolHeartbeat(0)
	heartbeat.Sequence, heartbeat.Epoch, heartbeat.Tasks, c.effects = m.sequence+1, former, m.lastTaskReports, nil
	c.handleHeartbeat(message.WorkerHeartbeat{Reply: 1, Heartbeat: *heartbeat})
	heartbeat.Sequence, heartbeat.Epoch = heartbeat.Sequence+1, m.epoch
	c.answerPoll(t, m, heartbeat)
	if until := c.renewal.machineRenewalDeadline(m, m.settled(), nil); c.now.After(until) || cancelled.liveTasks > 0 {
		t.Errorf("got renewals until %v and %d live attempts after the epoch was shown, want later than %v and 0", until, cancelled.liveTasks, c.now)
	}
}

// TestStopsBeforeRecovery checks an owner that has not read which attempts should run. It
// stops the tasks of jobs known to be cancelled, and renews no lease beyond the time of such
// a job.
func TestStopsBeforeRecovery(t *testing.T) {
	c := largePool(12)
	c.frontend.watchCache.openJobs = map[string]openJob{}
	m, j := machineWithTask(c)
	c.shardLeader.ready = false
	task := func(job string) model.TaskReport {
		return model.TaskReport{Job: job, Index: 0, Attempt: 1, Status: model.Running}
	}
	cancelledAt := c.now.Add(-10 * time.Second)
	delete(c.shardLeader.jobs, j.ID)
	c.setCancelled(j, cancelledAt)
	reply := c.heartbeatOf(m, task(j.ID), task("job-000903"))
	if deadline := cancelledAt.Add(c.settings.RenewalBound().Window()); reply.Status != 200 || !reply.SendDeadline.Equal(deadline) {
		t.Errorf("got reply %d until %v, want 200 until %v", reply.Status, reply.SendDeadline, deadline)
	}
	if len(reply.Commands) != 1 || reply.Commands[0] != (model.TaskCommand{Kind: model.StopTask, Job: j.ID, Attempt: 1}) {
		t.Errorf("got commands %v, want a stop of %s without a grace period", reply.Commands, j.ID)
	}
	c.now = c.now.Add(c.settings.RenewalBound().Window())
	if reply := c.heartbeatOf(m, task(j.ID)); reply.Status != 503 {
		t.Errorf("after the time of a cancelled job: got reply %d, want 503", reply.Status)
	}
}

// TestUnreadStartsOfFormerOwner checks an owner that has not read a team's records, and so
// doesn't know which starts of a former owner may still reach a machine. Until the machine
// has shown this owner's epoch, it is answered only within the time of every cancelled job.
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
			heartbeat := c.poolHeartbeat(0)
			heartbeat.Epoch, heartbeat.Sequence = epoch, heartbeat.Sequence+1
			return c.replyToHeartbeat(heartbeat)
		}
		epoch := c.shardLeader.ensureMachine(m.id).epoch
		if epoch == 0 {
			t.Fatal("got epoch 0 of the machine, want one")
		}
		if reply := firstHeartbeat(epoch - 1); reply.Status != 200 || !reply.SendDeadline.Equal(deadline) {
			t.Errorf("ready %v: got reply %d until %v, want 200 until %v", ready, reply.Status, reply.SendDeadline, deadline)
		}
		c.now = deadline.Add(time.Millisecond)
		if reply := firstHeartbeat(epoch - 1); reply.Status != 503 {
			t.Errorf("ready %v: after the time of a cancelled job whose start may be in flight: got reply %d, want 503", ready, reply.Status)
		}
		if reply := firstHeartbeat(epoch); reply.Status != 200 {
			t.Errorf("ready %v: when no start of a former owner can take effect: got reply %d, want 200", ready, reply.Status)
		}
	}
}

// TestCancelledStopsWithoutCheckpoint checks a task that was told to stop and writes a
// checkpoint when its job is cancelled. It is told again to stop, without a grace period,
// and no other stop reason grants one afterwards.
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
		t.Errorf("while the task is checkpointing: got commands %+v, want none", commands)
	}
	c.setCancelled(j, c.now)
	m.reclaimNoticed, m.reclaimAt = true, c.now.Add(time.Minute)
	c.shardLeader.failover.drainReclaimed(m)
	c.shardLeader.scheduler.relaunch()
	if commands := c.shardLeader.dispatcher.reconcile(m); len(commands) != 1 || commands[0].Kind != model.StopTask || commands[0].GracePeriod != 0 {
		t.Errorf("cancelled while the task is checkpointing: got commands %+v, want a stop without a grace period", commands)
	}
}

// TestStopIsRepeatedWithoutHeartbeats guards against a lost stop. The machine's heartbeats
// reach no controller and the direct stop was lost; when the machine answers a poll, the
// stop is sent again.
func TestStopIsRepeatedWithoutHeartbeats(t *testing.T) {
	c := largePool(12)
	c.frontend.watchCache.openJobs = map[string]openJob{}
	m, j := machineWithTask(c)
	countStops := func() (stops int) {
		c.shardLeader.dispatcher.dispatchAll()
		for _, request := range emittedEffects[message.WorkerRequest](c) {
			if request.Machine == m.id && len(request.Commands) > 0 && request.Commands[0].Kind == model.StopTask {
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
	heartbeat := c.poolHeartbeat(0)
	heartbeat.Sequence, heartbeat.Epoch, heartbeat.Tasks = m.sequence+1, m.epoch, m.lastTaskReports
	c.answerPoll(t, m, heartbeat)
	if stops := countStops(); stops != 1 {
		t.Errorf("got %d stops after the machine has answered, want 1", stops)
	}
}

// TestMassCancellation guards against machines that wait for one another when a job with more
// tasks on each machine than one message holds commands is cancelled. All machines get
// commands at once. If no direct command arrives, the replies to three heartbeats list all
// tasks, and the deadline of these replies is bounded.
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
	reports := map[*machine][]model.TaskReport{}
	for k, m := range c.shardLeader.machinesByID {
		m.attempts = map[taskKey]*task{}
		for i := range each {
			c.shardLeader.attachAttempt(j, k*each+i, m)
			reports[m] = append(reports[m], model.TaskReport{Job: j.ID, Index: k*each + i, Attempt: 1, Status: model.Running})
		}
		c.heartbeatOf(m, reports[m]...)
	}
	cancelledAt := c.now
	c.effects = nil
	c.setCancelled(j, cancelledAt)
	c.shardLeader.dispatcher.dispatchAll()
	commandsSent := map[string]int{}
	for _, request := range emittedEffects[message.WorkerRequest](c) {
		commandsSent[request.Machine] = len(request.Commands)
		c.handleCommand(message.WorkerResponse{ID: request.ID})
	}
	for _, m := range c.shardLeader.machinesByID {
		if commandsSent[m.id] != maxCommands {
			t.Fatalf("%s: got %d commands at once, want %d", m.id, commandsSent[m.id], maxCommands)
		}
		for round := range 3 {
			reply := c.heartbeatOf(m, reports[m]...)
			if reply.Status != 200 || len(reply.Commands) != maxCommands || !reply.SendDeadline.Equal(cancelledAt.Add(c.settings.RenewalBound().Window())) {
				t.Fatalf("%s, heartbeat %d: got reply %d with %d commands until %v, want 200 with %d until %v", m.id, round, reply.Status, len(reply.Commands), reply.SendDeadline, maxCommands, cancelledAt.Add(c.settings.RenewalBound().Window()))
			}
			reports[m] = reports[m][maxCommands:]
		}
	}
}

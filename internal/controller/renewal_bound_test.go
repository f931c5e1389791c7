package controller

import (
	"testing"
	"time"

	"github.com/micahill/micahill/internal/message"
	"github.com/micahill/micahill/internal/model"
	"github.com/micahill/micahill/internal/record"
)

// heartbeatOf has the worker of m report tasks, and gives the answer.
func (c *Controller) heartbeatOf(m *machine, tasks ...model.TaskReport) message.HeartbeatReply {
	r := c.poolHeartbeat(0)
	r.Machine, r.Sequence, r.Epoch, r.Tasks = m.id, m.sequence+1, m.epoch, tasks
	return c.replyToHeartbeat(r)
}

// replyToHeartbeat is the answer to a report, zero if there is none yet.
func (c *Controller) replyToHeartbeat(r *model.Heartbeat) message.HeartbeatReply {
	c.effects = nil
	c.handleHeartbeat(message.WorkerHeartbeat{Reply: 1, Heartbeat: *r})
	for _, a := range emittedEffects[message.HeartbeatReply](c) {
		return a
	}
	return message.HeartbeatReply{}
}

// setCancelled writes that a job was cancelled by a change that was sent at a moment.
func (c *Controller) setCancelled(j *job, at time.Time) {
	rec := record.NewOpenJob(&j.JobSpec, j.submittedAt)
	rec.Cancelled, rec.CancelledAtMillis = true, at.UnixMilli()
	c.frontend.watchCache.openJobs[j.ID] = openJob{j.modRevision + 1, rec}
	if c.shardLeader.jobs[j.ID] != nil {
		c.shardLeader.applyJobRecord(j, j.modRevision+1, &rec)
	}
}

// TestRenewalBound: leases are prolonged for a window after the sending of the newest read, and
// what is decided before is judged when it leaves. Other answers of the state service, and
// late ones, move nothing.
func TestRenewalBound(t *testing.T) {
	n := largePool(12)
	n.frontend.watchCache.openJobs = map[string]openJob{}
	m, j := machineWithTask(n)
	running := model.TaskReport{Job: j.ID, Index: 0, Attempt: 1, Status: model.Running}
	n.frontend.watchCache.asOf = time.Time{}
	if a := n.heartbeatOf(m, running); a.Status != 503 {
		t.Errorf("answered %d by an owner that has read nothing", a.Status)
	}
	sent := n.now
	n.now = n.now.Add(5 * time.Second)
	n.frontend.watchCache.applyOpenJobUpdates(message.StoreResponse{SentAt: sent})
	n.frontend.watchCache.applyOpenJobUpdates(message.StoreResponse{SentAt: sent.Add(-time.Minute)})
	last := sent.Add(n.settings.RenewalBound().Window())
	if least := 25 * time.Second; last.Sub(sent) < least {
		t.Fatalf("a window of %v, want %v at the least", last.Sub(sent), least)
	}
	a := n.heartbeatOf(m, running)
	if a.Status != 200 || !a.SendDeadline.Equal(last) {
		t.Errorf("answered %d until %v, want 200 until %v after the read was sent", a.Status, a.SendDeadline.Sub(sent), last.Sub(sent))
	}
	if _, x, late := CheckDeadline(a, last.Add(time.Millisecond)); !late || x.(message.HeartbeatReply).Status != 503 {
		t.Error("it leaves when its time is over")
	}
	n.now = last.Add(time.Millisecond)
	end := m.leaseEnd
	if a := n.heartbeatOf(m, running); a.Status != 503 || m.leaseEnd != end {
		t.Errorf("answered %d behind the window, lease put off by %v", a.Status, m.leaseEnd.Sub(end))
	}
	// The grace holds beside it: successors count on no more.
	n.frontend.watchCache.asOf = n.now.Add(time.Hour)
	n.membership.leaseValidUntil = n.now.Add(-n.renewal.grace())
	if a := n.heartbeatOf(m, running); a.Status != 200 || !a.SendDeadline.Equal(n.now) {
		t.Errorf("answered %d until %v at the end of the grace", a.Status, a.SendDeadline)
	}
	n.now = n.now.Add(time.Millisecond)
	if a := n.heartbeatOf(m, running); a.Status != 503 {
		t.Errorf("answered %d behind the grace", a.Status)
	}
}

// TestStartDeadline: a grant is renewed by an owner that can't read open/. What it starts
// directly leaves no later than its answers do, and what stops is not held back by that.
func TestStartDeadline(t *testing.T) {
	n := largePool(12)
	n.frontend.watchCache.openJobs = map[string]openJob{}
	m, j := machineWithTask(n)
	k := n.addJobOn("job-000901", m)
	k.segmentOf(0).persistedVersion = 1
	n.frontend.watchCache.asOf = n.now
	last := n.now.Add(n.settings.RenewalBound().Window())
	dispatched := func() (op message.WorkerRequest) {
		m.dispatchInFlight, n.effects = false, nil
		n.shardLeader.dispatcher.dispatch(m)
		for _, w := range emittedEffects[message.WorkerRequest](n) {
			op = w
		}
		return op
	}
	n.now = last
	op := dispatched()
	if len(op.Commands) != 1 || op.Commands[0].Kind != model.StartTask || !op.SendDeadline.Equal(last) {
		t.Errorf("ordered %v until %v, want a start until %v", op.Commands, op.SendDeadline, last)
	}
	if back, _, late := CheckDeadline(op, last.Add(time.Millisecond)); !late || !back.(message.WorkerResponse).NotSent {
		t.Error("it leaves when its time is over")
	}
	n.now = last.Add(time.Millisecond)
	if op := dispatched(); len(op.Commands) > 0 {
		t.Errorf("ordered %v behind the window", op.Commands)
	}
	n.setCancelled(j, n.now)
	if op := dispatched(); len(op.Commands) != 1 || op.Commands[0].Kind != model.StopTask || !op.SendDeadline.Equal(n.membership.leaseValidUntil) {
		t.Errorf("ordered %v until %v, want a halt as long as the grant surely lives", op.Commands, op.SendDeadline)
	}
}

// TestCancelledWithoutProof: halts may be lost and starts be on their way. A machine that may
// have a cancelled job's tasks is answered only in the time that these have, counted from
// the sending of the change with both clocks wrong, and again as soon as they are gone.
func TestCancelledWithoutProof(t *testing.T) {
	n := largePool(12)
	n.settings.MaxClockError = time.Second
	n.frontend.watchCache.openJobs = map[string]openJob{}
	m, j := machineWithTask(n)
	running := model.TaskReport{Job: j.ID, Index: 0, Attempt: 1, Status: model.Running}
	at := n.now.Add(-10 * time.Second)
	last := at.Add(n.settings.RenewalBound().Window() - 2*time.Second)
	n.setCancelled(j, at)
	a := n.heartbeatOf(m, running)
	if a.Status != 200 || !a.SendDeadline.Equal(last) || len(a.Commands) != 1 || a.Commands[0].Kind != model.StopTask {
		t.Errorf("answered %+v, want a halt until %v", a, last)
	}
	// A start that was sent and is not seen counts as one that runs.
	if a := n.heartbeatOf(m); a.Status == 200 && !a.SendDeadline.Equal(last) && len(m.attempts) > 0 {
		t.Errorf("with a start on its way answered until %v", a.SendDeadline)
	}
	n.now = last.Add(time.Millisecond)
	m.replySequence, m.unackedStartEpoch = 0, m.epoch // an order without an answer
	n.addJobOn("job-000901", m)
	j2 := n.shardLeader.jobs["job-000901"]
	n.setCancelled(j2, at)
	if a := n.heartbeatOf(m); a.Status != 503 {
		t.Errorf("answered %d behind the time of a cancelled job whose start may be on its way", a.Status)
	}
	m.unackedStartEpoch = 0
	if a := n.heartbeatOf(m); a.Status != 200 {
		t.Errorf("answered %d after the proof that it is gone", a.Status)
	}
	// One of another owner's job, and a record that does not say when.
	k := newJob(model.JobSpec{ID: "job-000902", Team: "lab", Tasks: 1}, n.now, 1, 4096)
	n.setCancelled(k, time.UnixMilli(0))
	if a := n.heartbeatOf(m, model.TaskReport{Job: k.ID, Index: 0, Attempt: 1, Status: model.Running}); a.Status != 503 {
		t.Errorf("answered %d with a task that may have been cancelled long ago", a.Status)
	}
}

// TestUnprovenHeartbeatListsCancelled: a machine that has just come to this owner may have tasks of
// which only its reports tell, as long as the owner of their job has not asked for them.
// When that job is cancelled, its time bounds the answers to these reports too, though
// they come under the former owner's epoch and are taken for no proof.
func TestUnprovenHeartbeatListsCancelled(t *testing.T) {
	n := largePool(12)
	n.frontend.watchCache.openJobs = map[string]openJob{}
	k := newJob(model.JobSpec{ID: "job-000905", Team: "lab", Tasks: 1}, n.now, 1, 4096)
	at := n.now.Add(-10 * time.Second)
	n.setCancelled(k, at)
	m := n.shardLeader.machines["vm-000003"]
	for j := range m.attempts {
		n.shardLeader.endAttempt(n.shardLeader.jobs[j.job], j.index, false)
	}
	m.heard, m.taskReports, m.lastTaskReports, m.seenEpoch = false, nil, nil, 0
	former := func() message.HeartbeatReply {
		r := n.poolHeartbeat(0)
		r.Machine, r.Sequence, r.Epoch = m.id, m.sequence+1, m.epoch-1
		r.Tasks = []model.TaskReport{{Job: k.ID, Index: 0, Attempt: 1, Status: model.Running}}
		return n.replyToHeartbeat(r)
	}
	last := at.Add(n.settings.RenewalBound().Window())
	if a := former(); a.Status != 200 || !a.SendDeadline.Equal(last) {
		t.Errorf("answered %d until %v, want until %v", a.Status, a.SendDeadline, last)
	}
	n.now = last.Add(time.Millisecond)
	n.frontend.watchCache.asOf = n.now
	if a := former(); a.Status != 503 {
		t.Errorf("answered %d behind the time of a cancelled job that only the report names", a.Status)
	}
}

// TestEpochIsShownWhereRenewalEnds: a start of a cancelled job may be on its way to a machine
// that is not answered any more for that reason. The higher epoch that would be the proof
// is shown directly, or all work there would be lost with the lease.
func TestEpochIsShownWhereRenewalEnds(t *testing.T) {
	n := largePool(12)
	n.frontend.watchCache.openJobs = map[string]openJob{}
	m, _ := machineWithTask(n)
	k := n.addJobOn("job-000901", m)
	m.unackedStartEpoch = m.epoch
	m.epoch++
	n.setCancelled(k, n.now.Add(-time.Minute))
	r := n.poolHeartbeat(0)
	r.Sequence, r.Epoch, r.Tasks, n.effects = m.sequence+1, m.unackedStartEpoch, m.lastTaskReports, nil
	n.handleHeartbeat(message.WorkerHeartbeat{Reply: 1, Heartbeat: *r})
	r.Sequence, r.Epoch = r.Sequence+1, m.epoch
	n.answerPoll(t, m, r)
	if until := n.renewal.machineRenewalDeadline(m, m.settled(), nil); n.now.After(until) || k.liveTasks > 0 {
		t.Errorf("answered until %v after the epoch was shown, %d attempts live", until, k.liveTasks)
	}
}

// TestStopsBeforeRecovery: an owner that has not read which attempts there should be halts
// what it knows to be cancelled, and prolongs no lease beyond that job's time.
func TestStopsBeforeRecovery(t *testing.T) {
	n := largePool(12)
	n.frontend.watchCache.openJobs = map[string]openJob{}
	m, j := machineWithTask(n)
	n.shardLeader.ready = false
	task := func(job string) model.TaskReport {
		return model.TaskReport{Job: job, Index: 0, Attempt: 1, Status: model.Running}
	}
	at := n.now.Add(-10 * time.Second)
	delete(n.shardLeader.jobs, j.ID)
	n.setCancelled(j, at)
	a := n.heartbeatOf(m, task(j.ID), task("job-000903"))
	if last := at.Add(n.settings.RenewalBound().Window()); a.Status != 200 || !a.SendDeadline.Equal(last) {
		t.Errorf("answered %d until %v, want until %v", a.Status, a.SendDeadline, last)
	}
	if len(a.Commands) != 1 || a.Commands[0] != (model.TaskCommand{Kind: model.StopTask, Job: j.ID, Attempt: 1}) {
		t.Errorf("ordered %v", a.Commands)
	}
	n.now = n.now.Add(n.settings.RenewalBound().Window())
	if a := n.heartbeatOf(m, task(j.ID)); a.Status != 503 {
		t.Errorf("answered %d behind the time of a cancelled job", a.Status)
	}
}

// TestUnreadStartsOfFormerOwner: an owner that has not read a team's records knows of no
// start of a former owner's that may yet reach a machine. Until the machine has shown this
// owner's epoch, it is answered only in the time of every cancelled job.
func TestUnreadStartsOfFormerOwner(t *testing.T) {
	for _, ready := range []bool{false, true} {
		n := largePool(12)
		n.frontend.watchCache.openJobs = map[string]openJob{}
		m, j := machineWithTask(n)
		delete(n.shardLeader.jobs, j.ID)
		n.setCancelled(j, n.now.Add(-10*time.Second))
		last := n.now.Add(n.settings.RenewalBound().Window() - 10*time.Second)
		n.shardLeader.ready, n.shardLeader.teams["ops"].ready = ready, false
		report := func(epoch uint64) message.HeartbeatReply {
			n.shardLeader.removeMachine(m)
			n.shardLeader.heartbeats.lastHeartbeats = nil
			m = n.shardLeader.ensureMachine(m.id)
			r := n.poolHeartbeat(0)
			r.Epoch, r.Sequence = epoch, r.Sequence+1
			return n.replyToHeartbeat(r)
		}
		epoch := n.shardLeader.ensureMachine(m.id).epoch
		if epoch == 0 {
			t.Fatal("no epoch")
		}
		if a := report(epoch - 1); a.Status != 200 || !a.SendDeadline.Equal(last) {
			t.Errorf("ready %v: answered %d until %v, want until %v", ready, a.Status, a.SendDeadline, last)
		}
		n.now = last.Add(time.Millisecond)
		if a := report(epoch - 1); a.Status != 503 {
			t.Errorf("ready %v: answered %d behind the time of a cancelled job whose start may be on its way", ready, a.Status)
		}
		if a := report(epoch); a.Status != 200 {
			t.Errorf("ready %v: answered %d though no former start can be executed any more", ready, a.Status)
		}
	}
}

// TestCancelledStopsWithoutCheckpoint: a task that has been told to stop and saves is told once
// more when its job is cancelled, with no time for that, and nothing else that would have
// it stopped gives it time again.
func TestCancelledStopsWithoutCheckpoint(t *testing.T) {
	n := largePool(12)
	n.frontend.watchCache.openJobs = map[string]openJob{}
	m, j := machineWithTask(n)
	j.CheckpointInterval, j.CheckpointCost, j.LongRunning = 30*time.Second, 4*time.Second, true
	task := model.TaskReport{Job: j.ID, Index: 0, Attempt: 1, Status: model.Running}
	j.tasks[0].stopReason = stopDrain
	if os := n.shardLeader.dispatcher.reconcile(m); len(os) != 1 || os[0].Kind != model.StopTask || os[0].GracePeriod < j.CheckpointCost {
		t.Errorf("ordered %+v, want a halt with time to save", os)
	}
	task.Status = model.Checkpointing
	n.nextHeartbeat(0, task)
	if os := n.shardLeader.dispatcher.reconcile(m); len(os) > 0 {
		t.Errorf("ordered %+v while it saves", os)
	}
	n.setCancelled(j, n.now)
	m.reclaimNoticed, m.reclaimAt = true, n.now.Add(time.Minute)
	n.shardLeader.failover.drainReclaimed(m)
	n.shardLeader.scheduler.relaunch()
	if os := n.shardLeader.dispatcher.reconcile(m); len(os) != 1 || os[0].Kind != model.StopTask || os[0].GracePeriod != 0 {
		t.Errorf("ordered %+v for a cancelled task that saves", os)
	}
}

// TestStopIsRepeatedWithoutHeartbeats: a machine reaches no controller, and the direct halt was lost.
// When it answers a question, it is told once more.
func TestStopIsRepeatedWithoutHeartbeats(t *testing.T) {
	n := largePool(12)
	n.frontend.watchCache.openJobs = map[string]openJob{}
	m, j := machineWithTask(n)
	countStops := func() (k int) {
		n.shardLeader.dispatcher.dispatchAll()
		for _, op := range emittedEffects[message.WorkerRequest](n) {
			if op.Machine == m.id && len(op.Commands) > 0 && op.Commands[0].Kind == model.StopTask {
				k++
			}
		}
		return k
	}
	n.effects = nil
	n.setCancelled(j, n.now)
	if k := countStops(); k != 1 {
		t.Fatalf("%d halts", k)
	}
	n.answerPoll(t, m, nil)
	n.now, n.effects = n.now.Add(5*time.Second), nil
	if k := countStops(); k != 0 {
		t.Errorf("%d halts to a machine that does not answer", k)
	}
	n.shardLeader.failover.contact(m)
	r := n.poolHeartbeat(0)
	r.Sequence, r.Epoch, r.Tasks = m.sequence+1, m.epoch, m.lastTaskReports
	n.answerPoll(t, m, r)
	if k := countStops(); k != 1 {
		t.Errorf("%d halts after it has answered", k)
	}
}

// TestMassCancellation: a job with more tasks on each of its machines than one message has
// orders is cancelled. All machines are told at once, none waits for another, and where no
// direct order arrives the answers to three reports tell all; their time is bounded.
func TestMassCancellation(t *testing.T) {
	const machines, each = 30, 3 * maxCommands
	n := largePool(machines)
	n.frontend.watchCache.openJobs = map[string]openJob{}
	n.shardLeader.jobs = map[string]*job{}
	j := n.shardLeader.addJob(model.JobSpec{ID: "job-000900", Team: "ops", Tasks: machines * each}, n.now, 1)
	j.nextFresh = j.Tasks
	for i := range j.tasks {
		j.tasks[i].attempt, j.tasks[i].startSent = 1, true
	}
	all := map[*machine][]model.TaskReport{}
	for k, m := range n.shardLeader.machinesByID {
		m.attempts = map[taskKey]*task{}
		for i := range each {
			n.shardLeader.attachAttempt(j, k*each+i, m)
			all[m] = append(all[m], model.TaskReport{Job: j.ID, Index: k*each + i, Attempt: 1, Status: model.Running})
		}
		n.heartbeatOf(m, all[m]...)
	}
	at := n.now
	n.effects = nil
	n.setCancelled(j, at)
	n.shardLeader.dispatcher.dispatchAll()
	told := map[string]int{}
	for _, op := range emittedEffects[message.WorkerRequest](n) {
		told[op.Machine] = len(op.Commands)
		n.handleCommand(message.WorkerResponse{ID: op.ID})
	}
	for _, m := range n.shardLeader.machinesByID {
		if told[m.id] != maxCommands {
			t.Fatalf("%s has %d orders at once, want %d", m.id, told[m.id], maxCommands)
		}
		for round := range 3 {
			a := n.heartbeatOf(m, all[m]...)
			if a.Status != 200 || len(a.Commands) != maxCommands || !a.SendDeadline.Equal(at.Add(n.settings.RenewalBound().Window())) {
				t.Fatalf("%s, report %d: %d with %d orders until %v", m.id, round, a.Status, len(a.Commands), a.SendDeadline)
			}
			all[m] = all[m][maxCommands:]
		}
	}
}

// TestCancellationGossip: who has confirmed a cancellation tells its peers until they
// have heard, the job's owner halts its tasks by that alone, and one that does not own the
// job passes it on. What does not fit the job is passed over; nothing of it moves the
// horizon.
func TestCancellationGossip(t *testing.T) {
	n := largePool(12)
	n.frontend.watchCache.openJobs = map[string]openJob{}
	m, j := machineWithTask(n)
	open := record.NewOpenJob(&j.JobSpec, j.submittedAt)
	n.frontend.watchCache.openJobs[j.ID] = openJob{j.modRevision, open}
	rec := open
	rec.Cancelled, rec.CancelledAtMillis = true, n.now.UnixMilli()
	horizon := n.frontend.watchCache.asOf
	receive := func(r record.OpenJob, stamp uint64) (acks, passed int) {
		n.effects = nil
		n.cancellations.receive("b", []message.Cancellation{{ID: j.ID, Record: record.Encode(r), ModRevision: stamp}})
		for _, p := range emittedEffects[message.SendPeerUpdate](n) {
			if p.To == "b" {
				acks += len(p.Update.CancellationAcks)
			}
		}
		return acks, len(n.cancellations.unacked)
	}
	for name, bad := range map[string]func(*record.OpenJob) uint64{
		"another time":  func(r *record.OpenJob) uint64 { r.SubmittedAtMillis++; return j.modRevision + 1 },
		"another team":  func(r *record.OpenJob) uint64 { r.Team = "lab"; return j.modRevision + 1 },
		"other tasks":   func(r *record.OpenJob) uint64 { r.Tasks++; return j.modRevision + 1 },
		"an old stamp":  func(*record.OpenJob) uint64 { return j.modRevision },
		"not cancelled": func(r *record.OpenJob) uint64 { r.Cancelled = false; return j.modRevision + 1 },
	} {
		r := rec
		stamp := bad(&r)
		if acks, _ := receive(r, stamp); acks != 1 || j.cancelled {
			t.Errorf("%s: acknowledged %d times, taken %v", name, acks, j.cancelled)
		}
	}
	n.frontend.watchCache.revision = j.modRevision
	receive(rec, j.modRevision+1)
	if a := n.heartbeatOf(m, model.TaskReport{Job: j.ID, Index: 0, Attempt: 1, Status: model.Running}); len(a.Commands) != 1 || a.Commands[0].Kind != model.StopTask {
		t.Errorf("ordered %v, want a halt", a.Commands)
	}
	if n.frontend.watchCache.asOf != horizon {
		t.Error("a peer's word moves the horizon")
	}
	// Not its owner: it goes on to whoever is.
	n.frontend.watchCache.openJobs["job-000904"] = openJob{1, rec}
	delete(n.shardLeader.jobs, j.ID)
	n.frontend.watchCache.openJobs[j.ID] = openJob{j.modRevision, open}
	n.membership.shardMap.Team("ops").Host = "c"
	if _, passed := receive(rec, j.modRevision+1); passed != 1 {
		t.Errorf("passed on %d, want 1", passed)
	}
	sends := func() (out []string) {
		for _, p := range emittedEffects[message.SendPeerUpdate](n) {
			if len(p.Update.Cancellations) > 0 {
				out = append(out, p.To)
			}
		}
		n.effects = nil
		return out
	}
	for i, want := range []int{1, 0, 1} {
		n.effects = nil
		n.now = n.now.Add([]time.Duration{cancellationBatchDelay, cancellationResendInterval / 2, cancellationResendInterval}[i])
		n.runTimers()
		if got := sends(); len(got) != want || want == 1 && got[0] != "c" {
			t.Errorf("round %d: sent to %v, want %d", i, got, want)
		}
	}
	n.cancellations.acknowledge("c", []string{j.ID, "job-000999"})
	n.now = n.now.Add(time.Minute)
	n.runTimers()
	if got := sends(); len(got) > 0 || len(n.cancellations.unacked) > 0 {
		t.Errorf("sent again to %v, %d kept", got, len(n.cancellations.unacked))
	}
}

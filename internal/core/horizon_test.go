package core

import (
	"testing"
	"time"
)

// reportOf has the worker of m report tasks, and gives the answer.
func (n *Node) reportOf(m *machine, tasks ...TaskReport) ReportReply {
	r := n.poolReport(0)
	r.Machine, r.Tick, r.Epoch, r.Tasks = m.id, m.tick+1, m.epoch, tasks
	return n.answerTo(r)
}

// answerTo is the answer to a report, zero if there is none yet.
func (n *Node) answerTo(r *Report) ReportReply {
	n.out = nil
	n.workerReport(WorkerReport{Reply: 1, Report: *r})
	for _, a := range emitted[ReportReply](n) {
		return a
	}
	return ReportReply{}
}

// cancelled writes that a job was cancelled by a change that was sent at a moment.
func (n *Node) cancelled(j *job, at time.Time) {
	rec := j.Spec.record(j.at)
	rec.Cancelled, rec.CancelledAt = true, at.UnixMilli()
	n.users.mirror.open[j.ID] = living{j.stamp + 1, rec}
	if n.owner.jobs[j.ID] != nil {
		n.jobRecord(j, j.stamp+1, &rec)
	}
}

// TestHorizon: leases are prolonged for a window after the sending of the newest read, and
// what is decided before is judged when it leaves. Other answers of the state service, and
// late ones, move nothing.
func TestHorizon(t *testing.T) {
	n := largePool(12)
	n.users.mirror.open = map[string]living{}
	m, j := firstWork(n)
	running := TaskReport{Job: j.ID, Index: 0, Try: 1, Status: Running}
	n.users.mirror.asOf = time.Time{}
	if a := n.reportOf(m, running); a.Status != 503 {
		t.Errorf("answered %d by an owner that has read nothing", a.Status)
	}
	sent := n.now
	n.now = n.now.Add(5 * time.Second)
	n.mirrorNews(StateDone{Sent: sent})
	n.mirrorNews(StateDone{Sent: sent.Add(-time.Minute)})
	last := sent.Add(n.set.Horizon().Window())
	if least := 25 * time.Second; last.Sub(sent) < least {
		t.Fatalf("a window of %v, want %v at the least", last.Sub(sent), least)
	}
	a := n.reportOf(m, running)
	if a.Status != 200 || !a.Until.Equal(last) {
		t.Errorf("answered %d until %v, want 200 until %v after the read was sent", a.Status, a.Until.Sub(sent), last.Sub(sent))
	}
	if _, x, late := Late(a, last.Add(time.Millisecond)); !late || x.(ReportReply).Status != 503 {
		t.Error("it leaves when its time is over")
	}
	n.now = last.Add(time.Millisecond)
	end := m.leaseEnd
	if a := n.reportOf(m, running); a.Status != 503 || m.leaseEnd != end {
		t.Errorf("answered %d behind the window, lease put off by %v", a.Status, m.leaseEnd.Sub(end))
	}
	// The grace holds beside it: successors count on no more.
	n.users.mirror.asOf = n.now.Add(time.Hour)
	n.sess.sureUntil = n.now.Add(-n.grace())
	if a := n.reportOf(m, running); a.Status != 200 || !a.Until.Equal(n.now) {
		t.Errorf("answered %d until %v at the end of the grace", a.Status, a.Until)
	}
	n.now = n.now.Add(time.Millisecond)
	if a := n.reportOf(m, running); a.Status != 503 {
		t.Errorf("answered %d behind the grace", a.Status)
	}
}

// TestStartsAreKnown: a grant is renewed by an owner that can't read open/. What it starts
// directly leaves no later than its answers do, and what stops is not held back by that.
func TestStartsAreKnown(t *testing.T) {
	n := largePool(12)
	n.users.mirror.open = map[string]living{}
	m, j := firstWork(n)
	k := n.onMachine("job-000901", m)
	k.chunkOf(0).saved = 1
	n.users.mirror.asOf = n.now
	last := n.now.Add(n.set.Horizon().Window())
	ordered := func() (op WorkerOp) {
		m.inFlight, n.out = false, nil
		n.direct(m)
		for _, w := range emitted[WorkerOp](n) {
			op = w
		}
		return op
	}
	n.now = last
	op := ordered()
	if len(op.Orders) != 1 || op.Orders[0].Verb != Start || !op.Until.Equal(last) {
		t.Errorf("ordered %v until %v, want a start until %v", op.Orders, op.Until, last)
	}
	if back, _, late := Late(op, last.Add(time.Millisecond)); !late || !back.(WorkerDone).NotSent {
		t.Error("it leaves when its time is over")
	}
	n.now = last.Add(time.Millisecond)
	if op := ordered(); len(op.Orders) > 0 {
		t.Errorf("ordered %v behind the window", op.Orders)
	}
	n.cancelled(j, n.now)
	if op := ordered(); len(op.Orders) != 1 || op.Orders[0].Verb != Halt || !op.Until.Equal(n.sess.sureUntil) {
		t.Errorf("ordered %v until %v, want a halt as long as the grant surely lives", op.Orders, op.Until)
	}
}

// TestCancelledUnproven: halts may be lost and starts be on their way. A machine that may
// have a cancelled job's tasks is answered only in the time that these have, counted from
// the sending of the change with both clocks wrong, and again as soon as they are gone.
func TestCancelledUnproven(t *testing.T) {
	n := largePool(12)
	n.set.ClockBound = time.Second
	n.users.mirror.open = map[string]living{}
	m, j := firstWork(n)
	running := TaskReport{Job: j.ID, Index: 0, Try: 1, Status: Running}
	at := n.now.Add(-10 * time.Second)
	last := at.Add(n.set.Horizon().Window() - 2*time.Second)
	n.cancelled(j, at)
	a := n.reportOf(m, running)
	if a.Status != 200 || !a.Until.Equal(last) || len(a.Orders) != 1 || a.Orders[0].Verb != Halt {
		t.Errorf("answered %+v, want a halt until %v", a, last)
	}
	// A start that was sent and is not seen counts as one that runs.
	if a := n.reportOf(m); a.Status == 200 && !a.Until.Equal(last) && len(m.attempts) > 0 {
		t.Errorf("with a start on its way answered until %v", a.Until)
	}
	n.now = last.Add(time.Millisecond)
	m.replyTick, m.unacked = 0, m.epoch // an order without an answer
	n.onMachine("job-000901", m)
	j2 := n.owner.jobs["job-000901"]
	n.cancelled(j2, at)
	if a := n.reportOf(m); a.Status != 503 {
		t.Errorf("answered %d behind the time of a cancelled job whose start may be on its way", a.Status)
	}
	m.unacked = 0
	if a := n.reportOf(m); a.Status != 200 {
		t.Errorf("answered %d after the proof that it is gone", a.Status)
	}
	// One of another owner's job, and a record that does not say when.
	k := newJob(Spec{ID: "job-000902", Team: "lab", Tasks: 1}, n.now, 1, 4096)
	n.cancelled(k, time.UnixMilli(0))
	if a := n.reportOf(m, TaskReport{Job: k.ID, Index: 0, Try: 1, Status: Running}); a.Status != 503 {
		t.Errorf("answered %d with a task that may have been cancelled long ago", a.Status)
	}
}

// TestUnheardListsCancelled: a machine that has just come to this owner may have tasks of
// which only its reports tell, as long as the owner of their job has not asked for them.
// When that job is cancelled, its time bounds the answers to these reports too, though
// they come under the former owner's epoch and are taken for no proof.
func TestUnheardListsCancelled(t *testing.T) {
	n := largePool(12)
	n.users.mirror.open = map[string]living{}
	k := newJob(Spec{ID: "job-000905", Team: "lab", Tasks: 1}, n.now, 1, 4096)
	at := n.now.Add(-10 * time.Second)
	n.cancelled(k, at)
	m := n.owner.machines["vm-000003"]
	for j := range m.attempts {
		n.gone(n.owner.jobs[j.job], j.index, false)
	}
	m.heard, m.pieces, m.last, m.seenEpoch = false, nil, nil, 0
	former := func() ReportReply {
		r := n.poolReport(0)
		r.Machine, r.Tick, r.Epoch = m.id, m.tick+1, m.epoch-1
		r.Tasks = []TaskReport{{Job: k.ID, Index: 0, Try: 1, Status: Running}}
		return n.answerTo(r)
	}
	last := at.Add(n.set.Horizon().Window())
	if a := former(); a.Status != 200 || !a.Until.Equal(last) {
		t.Errorf("answered %d until %v, want until %v", a.Status, a.Until, last)
	}
	n.now = last.Add(time.Millisecond)
	n.users.mirror.asOf = n.now
	if a := former(); a.Status != 503 {
		t.Errorf("answered %d behind the time of a cancelled job that only the report names", a.Status)
	}
}

// TestEpochIsShownWhereAnswersEnd: a start of a cancelled job may be on its way to a machine
// that is not answered any more for that reason. The higher epoch that would be the proof
// is shown directly, or all work there would be lost with the lease.
func TestEpochIsShownWhereAnswersEnd(t *testing.T) {
	n := largePool(12)
	n.users.mirror.open = map[string]living{}
	m, _ := firstWork(n)
	k := n.onMachine("job-000901", m)
	m.unacked = m.epoch
	m.epoch++
	n.cancelled(k, n.now.Add(-time.Minute))
	r := n.poolReport(0)
	r.Tick, r.Epoch, r.Tasks, n.out = m.tick+1, m.unacked, m.last, nil
	n.workerReport(WorkerReport{Reply: 1, Report: *r})
	r.Tick, r.Epoch = r.Tick+1, m.epoch
	n.ask1(t, m, r)
	if until := n.renewUntilOn(m, m.settled(), nil); n.now.After(until) || k.live > 0 {
		t.Errorf("answered until %v after the epoch was shown, %d attempts live", until, k.live)
	}
}

// TestHaltsBeforeReading: an owner that has not read which attempts there should be halts
// what it knows to be cancelled, and prolongs no lease beyond that job's time.
func TestHaltsBeforeReading(t *testing.T) {
	n := largePool(12)
	n.users.mirror.open = map[string]living{}
	m, j := firstWork(n)
	n.owner.ready = false
	task := func(job string) TaskReport { return TaskReport{Job: job, Index: 0, Try: 1, Status: Running} }
	at := n.now.Add(-10 * time.Second)
	delete(n.owner.jobs, j.ID)
	n.cancelled(j, at)
	a := n.reportOf(m, task(j.ID), task("job-000903"))
	if last := at.Add(n.set.Horizon().Window()); a.Status != 200 || !a.Until.Equal(last) {
		t.Errorf("answered %d until %v, want until %v", a.Status, a.Until, last)
	}
	if len(a.Orders) != 1 || a.Orders[0] != (Order{Verb: Halt, Job: j.ID, Try: 1}) {
		t.Errorf("ordered %v", a.Orders)
	}
	n.now = n.now.Add(n.set.Horizon().Window())
	if a := n.reportOf(m, task(j.ID)); a.Status != 503 {
		t.Errorf("answered %d behind the time of a cancelled job", a.Status)
	}
}

// TestUnreadStartsOfAFormerOwner: an owner that has not read a team's records knows of no
// start of a former owner's that may yet reach a machine. Until the machine has shown this
// owner's epoch, it is answered only in the time of every cancelled job.
func TestUnreadStartsOfAFormerOwner(t *testing.T) {
	for _, ready := range []bool{false, true} {
		n := largePool(12)
		n.users.mirror.open = map[string]living{}
		m, j := firstWork(n)
		delete(n.owner.jobs, j.ID)
		n.cancelled(j, n.now.Add(-10*time.Second))
		last := n.now.Add(n.set.Horizon().Window() - 10*time.Second)
		n.owner.ready, n.owner.teams["ops"].ready = ready, false
		report := func(epoch uint64) ReportReply {
			n.owner.forget(m)
			n.owner.past = nil
			m = n.machine(m.id)
			r := n.poolReport(0)
			r.Epoch, r.Tick = epoch, r.Tick+1
			return n.answerTo(r)
		}
		epoch := n.machine(m.id).epoch
		if epoch == 0 {
			t.Fatal("no epoch")
		}
		if a := report(epoch - 1); a.Status != 200 || !a.Until.Equal(last) {
			t.Errorf("ready %v: answered %d until %v, want until %v", ready, a.Status, a.Until, last)
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

// TestCancelledEndsWithoutSaving: a task that has been told to stop and saves is told once
// more when its job is cancelled, with no time for that, and nothing else that would have
// it stopped gives it time again.
func TestCancelledEndsWithoutSaving(t *testing.T) {
	n := largePool(12)
	n.users.mirror.open = map[string]living{}
	m, j := firstWork(n)
	j.SaveEvery, j.SaveCost, j.Standing = 30*time.Second, 4*time.Second, true
	task := TaskReport{Job: j.ID, Index: 0, Try: 1, Status: Running}
	j.tasks[0].stop = stopDrain
	if os := n.reconcile(m); len(os) != 1 || os[0].Verb != Halt || os[0].WindDown < j.SaveCost {
		t.Errorf("ordered %+v, want a halt with time to save", os)
	}
	task.Status = Flushing
	n.again(0, task)
	if os := n.reconcile(m); len(os) > 0 {
		t.Errorf("ordered %+v while it saves", os)
	}
	n.cancelled(j, n.now)
	m.recall, m.recallAt = true, n.now.Add(time.Minute)
	n.drain(m)
	n.relaunch()
	if os := n.reconcile(m); len(os) != 1 || os[0].Verb != Halt || os[0].WindDown != 0 {
		t.Errorf("ordered %+v for a cancelled task that saves", os)
	}
}

// TestHaltAgainWithoutReports: a machine reaches no controller, and the direct halt was lost.
// When it answers a question, it is told once more.
func TestHaltAgainWithoutReports(t *testing.T) {
	n := largePool(12)
	n.users.mirror.open = map[string]living{}
	m, j := firstWork(n)
	halts := func() (k int) {
		n.directAll()
		for _, op := range emitted[WorkerOp](n) {
			if op.Machine == m.id && len(op.Orders) > 0 && op.Orders[0].Verb == Halt {
				k++
			}
		}
		return k
	}
	n.out = nil
	n.cancelled(j, n.now)
	if k := halts(); k != 1 {
		t.Fatalf("%d halts", k)
	}
	n.ask1(t, m, nil)
	n.now, n.out = n.now.Add(5*time.Second), nil
	if k := halts(); k != 0 {
		t.Errorf("%d halts to a machine that does not answer", k)
	}
	n.contact(m)
	r := n.poolReport(0)
	r.Tick, r.Epoch, r.Tasks = m.tick+1, m.epoch, m.last
	n.ask1(t, m, r)
	if k := halts(); k != 1 {
		t.Errorf("%d halts after it has answered", k)
	}
}

// TestMassCancellation: a job with more tasks on each of its machines than one message has
// orders is cancelled. All machines are told at once, none waits for another, and where no
// direct order arrives the answers to three reports tell all; their time is bounded.
func TestMassCancellation(t *testing.T) {
	const machines, each = 30, 3 * ordersMost
	n := largePool(machines)
	n.users.mirror.open = map[string]living{}
	n.owner.jobs = map[string]*job{}
	j := n.newJob(Spec{ID: "job-000900", Team: "ops", Tasks: machines * each}, n.now, 1)
	j.fresh = j.Tasks
	for i := range j.tasks {
		j.tasks[i].try, j.tasks[i].sent = 1, true
	}
	all := map[*machine][]TaskReport{}
	for k, m := range n.owner.byID {
		m.attempts = map[taskKey]*task{}
		for i := range each {
			n.attach(j, k*each+i, m)
			all[m] = append(all[m], TaskReport{Job: j.ID, Index: k*each + i, Try: 1, Status: Running})
		}
		n.reportOf(m, all[m]...)
	}
	at := n.now
	n.out = nil
	n.cancelled(j, at)
	n.directAll()
	told := map[string]int{}
	for _, op := range emitted[WorkerOp](n) {
		told[op.Machine] = len(op.Orders)
		n.command(WorkerDone{ID: op.ID})
	}
	for _, m := range n.owner.byID {
		if told[m.id] != ordersMost {
			t.Fatalf("%s has %d orders at once, want %d", m.id, told[m.id], ordersMost)
		}
		for round := range 3 {
			a := n.reportOf(m, all[m]...)
			if a.Status != 200 || len(a.Orders) != ordersMost || !a.Until.Equal(at.Add(n.set.Horizon().Window())) {
				t.Fatalf("%s, report %d: %d with %d orders until %v", m.id, round, a.Status, len(a.Orders), a.Until)
			}
			all[m] = all[m][ordersMost:]
		}
	}
}

// TestToldOfCancellations: who has confirmed a cancellation tells its peers until they
// have heard, the job's owner halts its tasks by that alone, and one that does not own the
// job passes it on. What does not fit the job is passed over; nothing of it moves the
// horizon.
func TestToldOfCancellations(t *testing.T) {
	n := largePool(12)
	n.users.mirror.open = map[string]living{}
	m, j := firstWork(n)
	open := j.Spec.record(j.at)
	n.users.mirror.open[j.ID] = living{j.stamp, open}
	rec := open
	rec.Cancelled, rec.CancelledAt = true, n.now.UnixMilli()
	horizon := n.users.mirror.asOf
	heard := func(r openRecord, stamp uint64) (acks, passed int) {
		n.out = nil
		takeCancelled(n, "b", []CancelNews{{ID: j.ID, Record: encode(r), Stamp: stamp}})
		for _, p := range emitted[PeerSend](n) {
			if p.To == "b" {
				acks += len(p.News.CancelsHeard)
			}
		}
		return acks, len(n.cancels.told)
	}
	for name, bad := range map[string]func(*openRecord) uint64{
		"another time":  func(r *openRecord) uint64 { r.At++; return j.stamp + 1 },
		"another team":  func(r *openRecord) uint64 { r.Team = "lab"; return j.stamp + 1 },
		"other tasks":   func(r *openRecord) uint64 { r.Tasks++; return j.stamp + 1 },
		"an old stamp":  func(*openRecord) uint64 { return j.stamp },
		"not cancelled": func(r *openRecord) uint64 { r.Cancelled = false; return j.stamp + 1 },
	} {
		r := rec
		stamp := bad(&r)
		if acks, _ := heard(r, stamp); acks != 1 || j.cancelled {
			t.Errorf("%s: acknowledged %d times, taken %v", name, acks, j.cancelled)
		}
	}
	n.users.mirror.rev = j.stamp
	heard(rec, j.stamp+1)
	if a := n.reportOf(m, TaskReport{Job: j.ID, Index: 0, Try: 1, Status: Running}); len(a.Orders) != 1 || a.Orders[0].Verb != Halt {
		t.Errorf("ordered %v, want a halt", a.Orders)
	}
	if n.users.mirror.asOf != horizon {
		t.Error("a peer's word moves the horizon")
	}
	// Not its owner: it goes on to whoever is.
	n.users.mirror.open["job-000904"] = living{1, rec}
	delete(n.owner.jobs, j.ID)
	n.users.mirror.open[j.ID] = living{j.stamp, open}
	n.sess.book.Team("ops").Host = "c"
	if _, passed := heard(rec, j.stamp+1); passed != 1 {
		t.Errorf("passed on %d, want 1", passed)
	}
	sends := func() (out []string) {
		for _, p := range emitted[PeerSend](n) {
			if len(p.News.Cancelled) > 0 {
				out = append(out, p.To)
			}
		}
		n.out = nil
		return out
	}
	for i, want := range []int{1, 0, 1} {
		n.out = nil
		n.now = n.now.Add([]time.Duration{cancelGather, cancelAgain / 2, cancelAgain}[i])
		n.runTimers()
		if got := sends(); len(got) != want || want == 1 && got[0] != "c" {
			t.Errorf("round %d: sent to %v, want %d", i, got, want)
		}
	}
	cancelsHeard(n, "c", []string{j.ID, "job-000999"})
	n.now = n.now.Add(time.Minute)
	n.runTimers()
	if got := sends(); len(got) > 0 || len(n.cancels.told) > 0 {
		t.Errorf("sent again to %v, %d kept", got, len(n.cancels.told))
	}
}

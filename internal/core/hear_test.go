package core

import (
	"testing"
	"time"
)

// firstWork gives the first machine of a pool one task that runs there.
func firstWork(n *Node) (*machine, *job) {
	n.owner.jobs = map[string]*job{}
	for _, m := range n.owner.byID {
		m.attempts, m.used = map[taskKey]*task{}, Resources{}
	}
	m := n.owner.byID[0]
	j := n.onMachine("job-000900", m)
	j.chunkOf(0).saved = 1
	n.again(0, TaskReport{Job: j.ID, Index: 0, Try: 1, Status: Running})
	return m, j
}

// ask takes what the node has just asked a machine, and answers it or not.
func (n *Node) ask1(t *testing.T, m *machine, r *Report) {
	t.Helper()
	for _, op := range emitted[WorkerOp](n) {
		if op.Machine == m.id {
			n.out = nil
			n.command(WorkerDone{ID: op.ID, OK: true, Report: r})
			return
		}
	}
	t.Fatal("the machine is not asked")
}

// TestOrderWithoutAnswer: after an order without an answer nothing more is placed on a
// machine, though it reports; it is asked, and used again with its first answer.
func TestOrderWithoutAnswer(t *testing.T) {
	n := largePool(12)
	m, _ := firstWork(n)
	n.out = nil
	n.contact(m)
	n.ask1(t, m, nil)
	n.again(0, m.last...)
	if n.usable(m) {
		t.Fatal("it gets more work")
	}
	n.contact(m)
	n.ask1(t, m, nil)
	n.now = n.now.Add(20 * time.Second)
	for _, x := range n.owner.byID {
		x.lastHeard = n.now
	}
	if back := unhearing(n, 12); len(back) != 1 || back[0] != m.id {
		t.Errorf("%v are given back, want %s", back, m.id)
	}
	n.contact(m)
	r := n.poolReport(0)
	r.Tick, r.Epoch, r.Tasks = m.tick+1, m.epoch, m.last
	n.ask1(t, m, r)
	if !n.usable(m) || len(unhearing(n, 12)) != 0 {
		t.Error("it answers, and is not used again")
	}
}

// TestLeaseRunsOutWhileHeard: a later tenure of a machine that reports is proof for its
// tasks and a doubt about its hearing; a report that shows a start ends the doubt.
func TestLeaseRunsOutWhileHeard(t *testing.T) {
	n := largePool(12)
	m, j := firstWork(n)
	report := func(tenure, tick uint64, tasks ...TaskReport) {
		r := n.poolReport(0)
		r.Tenure, r.Tick, r.Epoch, r.Tasks = tenure, tick, m.epoch, tasks
		n.now = n.now.Add(3 * time.Second)
		n.workerReport(WorkerReport{Reply: 1, Report: *r})
	}
	report(2, m.tick+1)
	if j.live != 0 || n.usable(m) {
		t.Fatalf("%d tasks are live, usable %v", j.live, n.usable(m))
	}
	t1 := &j.tasks[0]
	t1.try, t1.sent = 2, true
	n.attach(j, 0, m)
	report(2, m.tick+1, TaskReport{Job: j.ID, Index: 0, Try: 2, Status: Fetching})
	if !n.usable(m) {
		t.Error("it has started what it was told to, and is not used")
	}
}

// TestCopies: a report that comes once more, or first of all under an epoch of before,
// is no sign of life, no notice and no end of an attempt, orders nothing, and puts no
// proof off.
func TestCopies(t *testing.T) {
	n := largePool(12)
	m, j := firstWork(n)
	heard, tick, end := m.lastHeard, m.tick, m.leaseEnd
	old := n.poolReport(0)
	old.Tick, old.Epoch, old.Recall = 1, m.epoch, time.Second
	old.Tasks = []TaskReport{{Job: j.ID, Index: 0, Try: 1, Status: Ended, Cause: "done"}}
	n.now = n.now.Add(time.Hour)
	n.out = nil
	n.workerReport(WorkerReport{Reply: 1, Report: *old})
	if m.lastHeard != heard || m.tick != tick || m.recall || j.done != 0 || m.leaseEnd != end {
		t.Error("a copy counts")
	}
	for _, r := range emitted[ReportReply](n) {
		if r.Status != 503 {
			t.Errorf("it is answered %d with %v", r.Status, r.Orders)
		}
	}
	// One that was overtaken is waited for, and its answer counts.
	n.now, n.out = m.newest.Add(time.Second), nil
	m.leaseEnd = n.now
	n.workerReport(WorkerReport{Reply: 1, Report: *old})
	for _, r := range emitted[ReportReply](n) {
		if r.Status != 200 || len(r.Orders) > 0 {
			t.Errorf("it is answered %d with %v", r.Status, r.Orders)
		}
	}
	if m.leaseEnd.Before(n.leaseAfter(n.now)) || m.tick != tick {
		t.Error("its lease is prolonged, and not counted")
	}
	// A successor knows no earlier tick.
	n = largePool(1)
	x := Report{Machine: "vm-000900", Addr: "x", Flavour: "box", Zone: "z", Tenure: 1, Tick: 70, Epoch: 0, Recall: time.Second}
	x.Tasks = []TaskReport{{Job: j.ID, Index: 0, Try: 1, Status: Ended, Cause: "done"}}
	n.workerReport(WorkerReport{Reply: 1, Report: x})
	m = n.owner.machines[x.Machine]
	if m.heard || m.recall || n.usable(m) || len(m.pieces) > 0 {
		t.Fatal("the first report of all, of an epoch of before, counts")
	}
	n.ask1(t, m, nil)
	for range 2 {
		// Its address does not answer, and more copies come.
		n.now, n.out = n.now.Add(4*time.Second), nil
		x.Tick++
		n.workerReport(WorkerReport{Reply: 1, Report: x})
		n.ask1(t, m, nil)
	}
	end = m.leaseEnd
	n.now = n.now.Add(4 * time.Second)
	n.workerReport(WorkerReport{Reply: 1, Report: x})
	if m.leaseEnd != end {
		t.Error("copies put the end of its lease off")
	}
	x.Tick, x.Epoch = x.Tick+1, m.epoch
	n.workerReport(WorkerReport{Reply: 1, Report: x})
	if !m.heard || !m.recall {
		t.Error("a report with this owner's epoch does not count")
	}
}

// TestBegunAnew: a worker that answers with less than was known has begun anew. Its
// tasks start there again, a late report of before is told apart, and so is one that
// only looks like its first reports.
func TestBegunAnew(t *testing.T) {
	n := largePool(12)
	m, j := firstWork(n)
	first := n.poolReport(0)
	first.Tick, first.Epoch = 1, 0
	n.workerReport(WorkerReport{Reply: 1, Report: *first})
	if m.anew != 0 || m.tick == 1 {
		t.Fatal("a copy of its first report is taken for a new beginning")
	}
	n.out, m.questioned, m.probed = nil, false, time.Time{}
	m.came = Came{m.id, m.epoch, m.tenure, 900}
	n.contact(m)
	n.ask1(t, m, first)
	if m.came != (Came{}) {
		t.Error("what it told others before is held against its reports")
	}
	if m.anew != m.epoch || j.live != 1 {
		t.Fatalf("begun anew under %d, %d tasks live", m.anew, j.live)
	}
	if os := n.reconcile(m); len(os) != 1 || os[0].Verb != Start {
		t.Errorf("ordered %v, want its task's start", os)
	}
	// A report of before comes late, with a higher tick and without the task.
	late := n.poolReport(0)
	late.Tick, late.Epoch = 900, m.epoch
	n.workerReport(WorkerReport{Reply: 1, Report: *late})
	if m.tick == 900 || j.live != 1 {
		t.Error("a report of before counts")
	}
	// Under a higher epoch, which only the new one can have seen, reports count again.
	n.lotOf(t, n.set.Host, 9, m.id)
	n.ownerCheck()
	late.Tick, late.Epoch = 5, 9
	late.Tasks = []TaskReport{{Job: j.ID, Index: 0, Try: 1, Status: Running}}
	n.workerReport(WorkerReport{Reply: 1, Report: *late})
	if m.epoch != 9 || m.tick != 5 {
		t.Error("a report under the higher epoch does not count")
	}
	// A copy of before has a higher tenure, and an epoch that the worker left behind.
	late.Tenure, late.Tick, late.Epoch, late.Tasks = 7, 1, 8, nil
	n.workerReport(WorkerReport{Reply: 1, Report: *late})
	if m.tenure == 7 || j.live != 1 {
		t.Error("a copy of an earlier owner's time is proof of a lease that ran out")
	}
}

// TestLateAnswer: the answer to a submission may come after the job was cancelled and is
// over; it does not bring the job back into the owner's books.
func TestLateAnswer(t *testing.T) {
	n := two(t)
	n.users.mirror.rev = 20
	spec := Spec{ID: "job-000900", Workload: "w", Team: "ops", Tasks: 1, Need: Resources{CPU: 1, Memory: 1}}
	n.owner.teams["ops"] = &teamHeld{ready: true}
	put := Item{Key: openPrefix + spec.ID, Value: encode(spec.record(n.now)), Stamp: 21}
	n.ownerSees(put)
	if n.owner.jobs[spec.ID] == nil {
		t.Fatal("a job that was just accepted is not taken up")
	}
	delete(n.owner.jobs, spec.ID)
	n.users.mirror.rev = 22
	n.ownerSees(put)
	if n.owner.jobs[spec.ID] != nil {
		t.Error("an answer that comes late brings it back")
	}
}

// TestCutOffStartsNothing: one whose grant may have ended goes on answering its workers
// and starts nothing, not even what is durable: its job may have been cancelled.
func TestCutOffStartsNothing(t *testing.T) {
	n := largePool(12)
	m, j := firstWork(n)
	n.attach(j, 0, m)
	j.tasks[0].sent = false
	report := func() (out []Order) {
		n.out = nil
		r := n.poolReport(0)
		r.Tick, r.Epoch = m.tick+1, m.epoch
		n.workerReport(WorkerReport{Reply: 1, Report: *r})
		for _, a := range emitted[ReportReply](n) {
			if a.Status != 200 {
				t.Fatalf("a report is answered %d", a.Status)
			}
			out = append(out, a.Orders...)
		}
		return out
	}
	n.sess.sureUntil = n.now.Add(-time.Second)
	if os := report(); len(os) != 0 || j.tasks[0].sent {
		t.Errorf("ordered %v", os)
	}
	n.sess.sureUntil = n.now.Add(time.Second)
	if os := report(); len(os) != 1 || os[0].Verb != Start {
		t.Errorf("ordered %v, want its start", os)
	}
}

// TestCame: a machine that reports to others lives and may not hear this owner: it is no
// silent one, and gets no work. What is older, or of a time before, says nothing.
func TestCame(t *testing.T) {
	n := largePool(12)
	m, _ := firstWork(n)
	n.now = n.now.Add(5 * n.silentAfter(m))
	for _, x := range []Came{{m.id, m.epoch, m.tenure, m.tick}, {m.id, m.epoch - 1, m.tenure, m.tick + 5}, {m.id, m.epoch, m.tenure - 1, m.tick + 5}} {
		takeCame(n, []Came{x})
		if !n.silent(m) {
			t.Errorf("%v is a sign of life", x)
		}
	}
	m.epoch++
	takeCame(n, []Came{{m.id, m.epoch - 1, m.tenure, m.tick + 5}})
	if !n.silent(m) {
		t.Error("a report that shows no epoch of this owner's time is a sign of life")
	}
	m.epoch--
	x := Came{m.id, m.epoch, m.tenure, m.tick + 5}
	takeCame(n, []Came{x})
	if n.silent(m) || n.usable(m) {
		t.Errorf("silent %v, usable %v", n.silent(m), n.usable(m))
	}
	n.now = n.now.Add(5 * n.silentAfter(m))
	takeCame(n, []Came{x})
	if !n.silent(m) {
		t.Error("told again, it is a sign of life again")
	}
	if (&PeerNews{From: "b", Came: make([]Came, cameMost+1)}).bad() == "" || (&PeerNews{From: "b", Came: []Came{{}}}).bad() == "" {
		t.Error("bad news is taken")
	}
}

// TestReportUnderEarlierEpoch: a newer report under an epoch of before, of a machine that
// is known, tells what was there, and not that the machine lives now.
func TestReportUnderEarlierEpoch(t *testing.T) {
	n := largePool(12)
	m, _ := firstWork(n)
	was := m.epoch
	n.lotOf(t, n.set.Host, 9, m.id)
	n.ownerCheck()
	n.now = n.now.Add(5 * n.silentAfter(m))
	n.sess.sureUntil = n.now.Add(time.Second)
	r := n.poolReport(0)
	r.Tick, r.Epoch, r.Tasks = m.tick+1, was, m.last
	n.workerReport(WorkerReport{Reply: 1, Report: *r})
	if m.tick != r.Tick || !n.silent(m) {
		t.Errorf("known up to tick %d, silent %v", m.tick, n.silent(m))
	}
	r.Tick, r.Epoch = m.tick+1, m.epoch
	n.workerReport(WorkerReport{Reply: 1, Report: *r})
	if n.silent(m) {
		t.Error("a report under the epoch of now is no sign of life")
	}
}

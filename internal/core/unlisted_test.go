package core

import (
	"fmt"
	"testing"
	"time"
)

// onMachine gives a new job one task, ordered to start on a machine.
func (n *Node) onMachine(id string, m *machine) *job {
	j := n.newJob(Spec{ID: id, Workload: "w", Team: "ops", Tasks: 1, Need: Resources{CPU: 1, Memory: 1}, Expected: time.Minute}, n.now, 1)
	j.fresh, j.tasks[0].try, j.tasks[0].sent = 1, 1, true
	n.attach(j, 0, m)
	return j
}

// again is the next report of machine i, as if it had started nothing.
func (n *Node) again(i int, tasks ...TaskReport) {
	m := n.owner.byID[i]
	r := n.poolReport(i)
	r.Tick, r.Epoch, r.Tasks = m.tick+1, m.epoch, tasks
	n.now = n.now.Add(n.set.ReportEvery)
	n.hear(m, r, true)
}

// TestStartsNothing: a machine that reports and never starts what it is told to loses
// its work to others and gets no more; one slow answer is no reason.
func TestStartsNothing(t *testing.T) {
	n := largePool(12)
	n.owner.jobs = map[string]*job{}
	for _, m := range n.owner.byID {
		m.attempts, m.used = map[taskKey]*task{}, Resources{}
	}
	m := n.owner.byID[0]
	j := n.onMachine("job-000900", m)
	for range missMost - 1 {
		n.again(0)
	}
	startsNothing(n)
	if m.bad || j.live != 1 {
		t.Fatal("given up too soon")
	}
	n.again(0)
	startsNothing(n)
	if !m.bad || j.tasks[0].stop == stopNone {
		t.Fatal("a machine that starts nothing keeps its work")
	}
	n.again(0)
	if j.live != 0 || j.pending() != 1 {
		t.Error("its task does not wait for another place")
	}
	// Many at once: the links are at fault, and no machine is blamed.
	var js []*job
	for i := 1; i < 9; i++ {
		js = append(js, n.onMachine(fmt.Sprintf("job-%06d", 900+i), n.owner.byID[i]))
		for range missMost {
			n.again(i)
		}
	}
	for _, m := range n.owner.byID {
		m.lastHeard = n.now
	}
	startsNothing(n)
	for i := 1; i < 9; i++ {
		if n.owner.byID[i].bad || js[i-1].live != 1 {
			t.Fatal("machines are blamed for a fault of the links")
		}
	}
}

// TestStartsBeforeClears: what is to start does not wait behind thousands of short tasks
// to be cleared away, and those do not make every step look at the machine.
func TestStartsBeforeClears(t *testing.T) {
	n := largePool(1)
	n.owner.jobs = map[string]*job{}
	m := n.owner.byID[0]
	m.attempts, m.used = map[taskKey]*task{}, Resources{}
	n.users.mirror.loaded, n.users.mirror.open = true, map[string]living{}
	j := n.onMachine("job-000900", m)
	j.chunkOf(0).saved = 1
	var ended []TaskReport
	for i := range 3 * ordersMost {
		ended = append(ended, TaskReport{Job: "job-000901", Index: i, Try: 1, Status: Ended, Cause: "done"})
	}
	n.setFinal("job-000901", Done)
	n.again(0, ended...)
	orders := n.reconcile(m)
	if len(orders) != ordersMost || orders[0].Verb != Start {
		t.Errorf("%d orders, the first %v", len(orders), orders[0])
	}
	if m.dirty {
		t.Error("what is left to clear away makes each step look at it again")
	}
}

// TestMistakes: a job that fails everywhere is tried one task at a time, ever more
// seldom, and asks for no machines; no machine is blamed, and others go on.
func TestMistakes(t *testing.T) {
	n := largePool(12)
	n.owner.jobs = map[string]*job{}
	for _, m := range n.owner.byID {
		m.attempts, m.used = map[taskKey]*task{}, Resources{}
	}
	j := n.newJob(Spec{ID: "job-000900", Workload: "w", Team: "ops", Tasks: 40, Spot: true, Need: Resources{CPU: 4, Memory: 1}, Expected: time.Minute}, n.now, 1)
	n.placeAll()
	if j.live < 3 {
		t.Fatal("nothing is placed")
	}
	for i, m := range n.owner.byID {
		for _, k := range sortedAttempts(m) {
			n.again(i, TaskReport{Job: k.job, Index: k.index, Try: j.tasks[k.index].try, Status: Ended, Cause: "error"})
		}
	}
	for _, m := range n.owner.byID {
		if m.bad {
			t.Error("a machine is blamed")
		}
	}
	if n.triable(j) != 0 {
		t.Error("it is tried again at once")
	}
	n.now = n.now.Add(5 * time.Minute)
	for _, m := range n.owner.byID {
		m.lastHeard = n.now
	}
	n.placeAll()
	if j.live != 1 {
		t.Errorf("%d of its tasks are tried at a time", j.live)
	}
	for _, d := range n.demands(time.Minute, false, false) {
		if d.j == j && d.count > 1 {
			t.Errorf("it asks for room for %d tasks", d.count)
		}
	}
}

// TestNewsOfAFormerLife: what a former life of a controller wished counts no more.
func TestNewsOfAFormerLife(t *testing.T) {
	n := two(t)
	n.sess.nodes["b"] = nodeRecord{Nonce: "b#2"}
	n.leader = &leader{news: map[string]peerWants{}, rentals: map[string]*rental{"vm": {id: "vm", toldTo: "b"}}, acked: map[string]uint64{"b": 9}}
	n.command(PeerNews{From: "b", Life: "b#1", Asks: true, Seq: 9, Idle: []string{"vm"}, Progress: []Progress{{ID: "job-000900", Done: 3}}})
	if _, ok := n.heard("b"); ok || n.display["job-000900"].Done != 0 {
		t.Error("news of a former life counts")
	}
	n.command(PeerNews{From: "b", Life: "b#2", Asks: true, Seq: 3})
	if _, ok := n.heard("b"); !ok || n.leader.acked["b"] != 0 || n.leader.rentals["vm"].toldTo != "" {
		t.Error("the present life is not told anew")
	}
	// And what came in time is not used when another life has taken its place since.
	n.sess.nodes["b"] = nodeRecord{Nonce: "b#3"}
	if _, ok := n.heard("b"); ok {
		t.Error("a former life's wishes are met")
	}
	n.command(PeerNews{From: "b", Life: "b#1", StateAway: true})
	if n.away["b"] != n.now {
		t.Error("that the state service is away counts from whoever says so")
	}
}

// TestRegistrationNames: a registration names the record that it replaces, and one that
// is refused looks what stands there.
func TestRegistrationNames(t *testing.T) {
	n := largePool(1)
	key := nodePrefix + "a"
	n.sess.grant, n.sess.nodeStamp, n.out = 7, 4, nil
	n.register()
	op := n.out[len(n.out)-1].(StateOp)
	if len(op.When) != 1 || op.When[0] != (Cond{key, 4}) {
		t.Fatalf("it names %v", op.When)
	}
	n.command(StateDone{ID: op.ID, Status: StateConflict})
	n.now, n.out = n.now.Add(time.Second), nil
	n.runTimers()
	get, ok := n.out[len(n.out)-1].(StateOp)
	if !ok || get.Kind != OpGet || get.Key != key {
		t.Fatal("it does not look what stands there")
	}
	// A former life's, whose write came late: its grant is ended and this one registers.
	n.command(StateDone{ID: get.ID, Status: StateOK, Items: []Item{{Key: key, Value: encode(nodeRecord{Grant: 3, Nonce: "former"}), Stamp: 9}}})
	drop := n.out[len(n.out)-1].(StateOp)
	if drop.Kind != OpGrantDrop || drop.Grant != 3 {
		t.Fatalf("it asks for %+v", drop)
	}
	n.command(StateDone{ID: drop.ID, Status: StateOK})
	if op = n.out[len(n.out)-1].(StateOp); op.Kind != OpTxn || op.When[0] != (Cond{key, 0}) {
		t.Errorf("then it asks for %+v", op)
	}
}

// TestReturnedIsOver: a machine of which the leader says that its return was answered is
// not asked for again: hundreds of these left no room for others, which were then paid
// for to the end.
func TestReturnedIsOver(t *testing.T) {
	n := two(t)
	n.sess.nodes["b"] = nodeRecord{Nonce: "b#1"}
	n.sess.lead = leadRecord{Host: "b", Nonce: "b#1"}
	n.owner.view.from = "b"
	told := PeerNews{From: "b", Life: "b#1", Tells: true, Seq: 1}
	for i := range 2 * returnMost {
		id := fmt.Sprintf("vm-%06d", 100+i)
		n.lotOf(t, "a", uint64(100+i), id)
		n.returned[id] = true
		told.Rentals = append(told.Rentals, RentalNews{ID: id, Flavour: "box", Zone: "z", Status: "returned"})
	}
	n.command(told)
	n.returns(nil)
	if len(n.owner.gone) != 0 {
		t.Errorf("%d that are returned are asked for again", len(n.owner.gone))
	}
}

package core

import (
	"fmt"
	"slices"
	"testing"
	"time"
)

// hostPool is an owner with three hosts of eight GPUs, of which no more can be rented. A
// replica of half a host is on each of the first two, and one of a whole host waits.
func hostPool(t *testing.T) *Node {
	t.Helper()
	n := largePool(0)
	n.set.Product = Product{Models: true, MovePart: 0.5, MoveAgain: 5 * time.Minute}
	n.types = map[string]Flavour{"host": {Name: "host", Size: Resources{CPU: 64, GPU: 8, Memory: 512}, DiskGB: 400, PullRate: 1, Price: 12, SpotPrice: 4, Ready: 40 * time.Second, Zones: []string{"z"}}}
	n.owner.view.blocked[kind{"host", "z", false}] = n.now.Add(time.Hour)
	restoreMoves(n, []string{"ops"}, nil)
	for i := range 2 {
		id := fmt.Sprintf("vm-%06d", i)
		n.hear(n.machine(id), n.hostReport(i, 1), true)
		j := n.replica(fmt.Sprintf("job-s%d", i), 4)
		j.fresh = 1
		begin(n, j, 0, n.owner.machines[id])
		n.runs1(j, i)
	}
	n.replica("job-large", 8)
	return n
}

func (n *Node) hostReport(i int, tick uint64) *Report {
	return &Report{Machine: fmt.Sprintf("vm-%06d", i), Addr: "x", Flavour: "host", Zone: "z", Tenure: 1, Tick: tick, Epoch: 1, Recall: -1}
}

func (n *Node) replica(id string, gpus float64) *job {
	return n.newJob(Spec{ID: id, Workload: "w", Team: "ops", Standing: true, Urgency: Normal, Tasks: 1,
		Need: Resources{CPU: 8 * gpus, GPU: gpus, Memory: 64 * gpus}, Image: "img", ImageGB: 5}, n.now, 7)
}

// runs1 has the record of a replica durable, and its machine report it.
func (n *Node) runs1(j *job, host int) {
	for _, c := range j.chunks {
		c.saved = c.ver
	}
	j.tasks[0].sent = true
	r := n.hostReport(host, n.owner.byID[host].tick+1)
	r.Tasks = []TaskReport{{Job: j.ID, Index: 0, Try: j.tasks[0].try, Status: Running}}
	n.hear(n.owner.byID[host], r, true)
}

// plans lets time pass until a move is to be written.
func (n *Node) plans(t *testing.T) StateOp {
	t.Helper()
	for range 10 {
		n.now = n.now.Add(ownerPeriod)
		for _, m := range n.owner.byID {
			m.lastHeard = n.now
		}
		n.out = nil
		movesTick(n)
		for _, op := range emitted[StateOp](n) {
			if op.Kind == OpTxn && op.Apply[0].Key == "move/ops" {
				return op
			}
		}
	}
	t.Fatal("no move is written")
	return StateOp{}
}

// TestMoveIsWrittenFirst: a move's record names all that it rests on, its places are held
// at once, and its replica is stopped when it is durable, not before.
func TestMoveIsWrittenFirst(t *testing.T) {
	n := hostPool(t)
	op := n.plans(t)
	share := n.sess.book.Team("ops")
	for _, c := range []Cond{{sharePrefix + "a", share.Stamp}, {openPrefix + "job-large", 7}, {"move/ops", 0}} {
		if !slices.Contains(op.When, c) {
			t.Errorf("conditions %v, want %v among them", op.When, c)
		}
	}
	moved := n.owner.moves.book.Entries()[0].Steps[0]
	if !slices.Contains(op.When, Cond{openPrefix + moved.Job, 7}) {
		t.Errorf("conditions %v, want the moved job's", op.When)
	}
	j := n.owner.jobs[moved.Job]
	if j.tasks[0].stop != stopNone {
		t.Error("stopped before its move is durable")
	}
	if k := spokenFor(n, n.owner.jobs["job-large"]); k != 1 {
		t.Errorf("%d tasks have a place coming, want 1", k)
	}
	for _, d := range n.demands(time.Minute, false, false) {
		if d.j.ID == "job-large" && d.count != 0 {
			t.Error("a machine would be rented for what moves make room for")
		}
	}
	// Another replica is kept off the places.
	late := n.replica("job-t1", 4)
	n.placeAll()
	if late.live != 0 {
		t.Error("another has taken a place that is held")
	}
	n.state[op.ID](StateDone{Status: StateOK, Rev: 20})
	if j.tasks[0].stop != stopDrain {
		t.Error("not stopped when its move is durable")
	}
}

// TestMoveIsRefused: when something that it rests on has changed, nothing is stopped and
// nothing stays held; without an answer it is written once more.
func TestMoveIsRefused(t *testing.T) {
	n := hostPool(t)
	op := n.plans(t)
	n.state[op.ID](StateDone{Status: StateConflict, Failed: []string{openPrefix + "job-large"}})
	if len(n.owner.moves.book.Holds()) > 0 || n.owner.byID[0].held != (Resources{}) || n.owner.byID[1].held != (Resources{}) {
		t.Error("places stay held")
	}
	op = n.plans(t)
	n.out = nil
	n.state[op.ID](StateDone{Status: StateUnknown})
	get, ok := n.out[0].(StateOp)
	if !ok || get.Kind != OpGet {
		t.Fatalf("without an answer %v, want a reading", n.out)
	}
	n.state[get.ID](StateDone{Status: StateOK, Items: []Item{{Key: "move/ops", Stamp: 33}}})
	if op = n.plans(t); !slices.Contains(op.When, Cond{"move/ops", 33}) {
		t.Errorf("conditions %v, want the record's stamp", op.When)
	}
}

// TestNoStopInDoubt: an owner whose grant may have ended stops nothing, also when the
// answer to a write comes then.
func TestNoStopInDoubt(t *testing.T) {
	n := hostPool(t)
	op := n.plans(t)
	n.sess.sureUntil = n.now.Add(-time.Second)
	n.state[op.ID](StateDone{Status: StateOK, Rev: 20})
	for _, j := range n.owner.jobs {
		if j.tasks[0].stop != stopNone {
			t.Errorf("%s is stopped", j.ID)
		}
	}
}

// TestMoveKeepsItsLimit: while a replica is down for its move, others of its team leave
// its part of the limit to it; it starts at its target, and the one that waited where it
// was.
func TestMoveKeepsItsLimit(t *testing.T) {
	n := hostPool(t)
	op := n.plans(t)
	n.state[op.ID](StateDone{Status: StateOK, Rev: 20})
	s := n.owner.moves.book.Entries()[0].Steps[0]
	j := n.owner.jobs[s.Job]
	from := n.owner.machines[s.From]
	n.gone(j, 0, false)
	n.set.Teams[0].Limit = Resources{GPU: 13}
	if n.withinLimit(n.owner.jobs["job-large"]) {
		t.Error("another may take the room within the limit")
	}
	n.set.Teams[0].Limit = Resources{}
	n.placeAll()
	if j.tasks[0].m == nil || j.tasks[0].m.id != s.To {
		t.Errorf("it is on %v, want %s", j.tasks[0].m, s.To)
	}
	if l := n.owner.jobs["job-large"]; l.tasks[0].m != from {
		t.Errorf("the large one is on %v, want %s", l.tasks[0].m, s.From)
	}
}

// TestHeldIsNotIdle: a machine that is empty and has a place held is neither returned nor
// handed to another owner.
func TestHeldIsNotIdle(t *testing.T) {
	n := hostPool(t)
	n.shareOf(t, "b", "b", 2, false, "lab")
	n.hear(n.machine("vm-000002"), n.hostReport(2, 1), true)
	m := n.owner.machines["vm-000002"]
	n.now = n.now.Add(10 * time.Minute)
	for _, x := range n.owner.byID {
		x.lastHeard = n.now
	}
	delete(n.owner.jobs, "job-large")
	spare := func() bool {
		return n.idle(m, n.cheapest()) || n.spare(n.futureRoom(), func(int) bool { return true })[m.id]
	}
	if !spare() {
		t.Fatal("the test shows nothing")
	}
	m.held = Resources{GPU: 1}
	if spare() {
		t.Error("it counts as idle")
	}
}

// TestMovesAreTakenUp: a successor holds the places again, with what has come of it, and
// waits for hosts that it has not heard.
func TestMovesAreTakenUp(t *testing.T) {
	n := hostPool(t)
	op := n.plans(t)
	s := n.owner.moves.book.Entries()[0].Steps[0]
	heir := largePool(0)
	heir.set.Product, heir.types = n.set.Product, n.types
	j, l := heir.replica(s.Job, 4), heir.replica("job-large", 8)
	j.fresh, j.tasks[0].try = 1, s.Try
	heir.attach(j, 0, heir.machine(s.From))
	heir.machine(s.To)
	heir.owner.readyAt = heir.now
	heir.users.mirror.open = map[string]living{}
	teamsLoaded(heir, map[string]*teamHeld{"ops": heir.owner.teams["ops"]}, nil, []Item{{Key: "move/ops", Value: op.Apply[0].Value, Stamp: 20}}, heir.now)
	other := heir.replica("job-other", 4)
	other.fresh = 1
	heir.hear(heir.machine("vm-000002"), heir.hostReport(2, 1), true)
	begin(heir, other, 0, heir.machine("vm-000002"))
	// It was stopped by the former owner, and its machine's owner says that it is gone.
	heir.gone(j, 0, false)
	heir.placeAll()
	if len(heir.owner.moves.book.Holds()) != 2 || j.live != 0 {
		t.Fatalf("held: %v; live %d", heir.owner.moves.book.Holds(), j.live)
	}
	for i := range 2 {
		heir.hear(heir.machine(fmt.Sprintf("vm-%06d", i)), heir.hostReport(i, 1), true)
	}
	heir.placeAll()
	if j.tasks[0].m == nil || j.tasks[0].m.id != s.To || l.tasks[0].m == nil || l.tasks[0].m.id != s.From {
		t.Errorf("on %v and %v, want %s and %s", j.tasks[0].m, l.tasks[0].m, s.To, s.From)
	}
	// One that can't be read holds nothing, and is told of.
	restoreMoves(heir, []string{"ops"}, []Item{{Key: "move/ops", Value: []byte{0x81}, Stamp: 21}})
	if len(heir.owner.moves.book.Holds()) != 0 || heir.badInput != 1 {
		t.Errorf("held %v, complaints %d", heir.owner.moves.book.Holds(), heir.badInput)
	}
}

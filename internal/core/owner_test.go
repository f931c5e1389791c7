package core

import (
	"testing"
	"time"

	"github.com/micahill/micahill/internal/division"
	"github.com/micahill/micahill/internal/ownership"
)

// shareOf writes a share into the node's picture of ctl/.
func (n *Node) shareOf(t *testing.T, name, host string, stamp uint64, rest bool, teams ...string) {
	t.Helper()
	b := encode(map[string]any{"host": host, "nonce": host + "#1", "teams": teams, "rest": rest})
	if host == n.set.Host {
		b = encode(map[string]any{"host": host, "nonce": n.life(), "teams": teams, "rest": rest})
	}
	if err := n.sess.book.Share(name, b, stamp); err != nil {
		t.Fatal(err)
	}
	n.sess.nodes["b"] = nodeRecord{Nonce: "b#1"}
}

// lotOf names machines for a share.
func (n *Node) lotOf(t *testing.T, share string, stamp uint64, ids ...string) {
	t.Helper()
	w, some := division.Raise(n.bounds(), "l"+ids[0], n.sess.book.Find(share), ids)
	if len(some) != len(ids) {
		t.Fatal("too many")
	}
	if err := n.sess.book.Lot(w.Name, w.Value, stamp); err != nil {
		t.Fatal(err)
	}
}

// two is an owner with one machine of its own, and another controller's share.
func two(t *testing.T) *Node {
	n := largePool(1)
	n.set.Teams = append(n.set.Teams, Team{Name: "lab"})
	n.shareOf(t, "b", "b", 2, false, "lab")
	n.users.mirror.loaded, n.users.mirror.open = true, map[string]living{}
	return n
}

// TestNewsMakesNoOwner: what the leader tells of a machine makes nobody its owner; a
// record does.
func TestNewsMakesNoOwner(t *testing.T) {
	n := two(t)
	n.lotOf(t, "b", 3, "vm-000077")
	for _, status := range []string{"running", coming, "booting"} {
		n.viewNews(PeerNews{From: "b", Tells: true, Seq: 5, Rentals: []RentalNews{{ID: "vm-000077", Addr: "x", Flavour: "box", Zone: "z", Status: status}}})
		if n.owner.machines["vm-000077"] != nil {
			t.Errorf("told of a %s machine of another's it is taken for its own", status)
		}
	}
	n.lotOf(t, "a", 4, "vm-000078")
	n.viewNews(PeerNews{From: "b", Tells: true, Seq: 6, Rentals: []RentalNews{{ID: "vm-000078", Addr: "x", Flavour: "box", Zone: "z", Status: "running"}}})
	if n.owner.machines["vm-000078"] == nil {
		t.Error("a machine of its own is not looked after")
	}
}

// TestCtlInOrder: of two answers that overlap each change counts once, and an older
// one does not undo a newer.
func TestCtlInOrder(t *testing.T) {
	n := two(t)
	n.sess.rev = 5
	item := func(host string, stamp uint64) Item {
		return Item{Key: sharePrefix + "x", Value: encode(map[string]any{"host": host, "nonce": "n", "teams": []string{"lab"}}), Stamp: stamp}
	}
	n.ctlNews(StateDone{Status: StateOK, Rev: 9, Items: []Item{item("c", 7), item("d", 9)}})
	n.ctlNews(StateDone{Status: StateOK, Rev: 7, Items: []Item{item("c", 7)}})
	if s := n.sess.book.Find("x"); s.Host != "d" || n.sess.rev != 9 {
		t.Errorf("the share is %s's as of %d, want the later holder's", s.Host, n.sess.rev)
	}
}

// TestMachineThatComesWithWork: whoever had it may go on answering it, so its lease
// is not over before that one surely stopped.
func TestMachineThatComesWithWork(t *testing.T) {
	n := two(t)
	n.lotOf(t, "b", 3, "vm-000077")
	j := n.newJob(Spec{ID: "job-000900", Workload: "w", Team: "ops", Tasks: 1, Need: Resources{CPU: 1, Memory: 1}, Expected: time.Minute}, n.now, 1)
	j.fresh, j.tasks[0].try, j.tasks[0].sent = 1, 1, true
	n.attach(j, 0, n.machineOf("vm-000077"))
	if len(n.owner.afar) != 1 || n.owner.machines["vm-000077"] != nil {
		t.Fatal("a machine of another's is not kept apart")
	}
	n.lotOf(t, "a", 4, "vm-000077")
	n.ownerCheck()
	m := n.owner.machines["vm-000077"]
	if m == nil || len(m.attempts) != 1 || j.tasks[0].m != m || len(n.owner.afar) != 0 {
		t.Fatal("it is not taken up with its work")
	}
	if least := n.now.Add(sessionTTL + n.grace() + n.set.Lease); m.leaseEnd.Before(least) {
		t.Errorf("its lease counts as over after %v, want %v at least", m.leaseEnd.Sub(n.now), least.Sub(n.now))
	}
	// And it goes again, with the work on it.
	n.lotOf(t, "b", 5, "vm-000077", "vm-000079")
	n.ownerCheck()
	if a := n.owner.afar["vm-000077"]; a == nil || j.tasks[0].m != a || j.live != 1 {
		t.Error("what runs on a machine that goes is lost from the books")
	}
}

// TestLeaseCountsAnew: a machine that is this owner's under a new epoch may have been
// another's in between, and one that was never heard of and has others' work may have been
// answered by whoever had it: their leases count from the last answer that was possible.
func TestLeaseCountsAnew(t *testing.T) {
	n := two(t)
	m := n.owner.byID[0]
	m.former, m.leaseEnd = time.Time{}, n.leaseAfter(n.now)
	n.lotOf(t, "a", 4, m.id, "vm-000088")
	n.ownerCheck()
	least := n.now.Add(sessionTTL + n.grace() + n.set.Lease)
	if m.epoch != 4 || m.leaseEnd.Before(least) {
		t.Errorf("under epoch %d its lease counts as over after %v, want %v at least", m.epoch, m.leaseEnd.Sub(n.now), least.Sub(n.now))
	}
	takeAsks(n, "b", []ownership.Ask{{Machine: "vm-000088", Attempts: []ownership.Asked{{Attempt: ownership.Attempt{Job: "job-000900", Index: 0, Try: 1}}}}})
	if m = n.owner.machines["vm-000088"]; m == nil || m.heard || m.leaseEnd.Before(least) {
		t.Errorf("a machine with others' work: %+v", m)
	}
}

// TestOthersWorkIsLeftAlone: what runs on a machine for another controller's job is
// not stopped before that controller has asked for it.
func TestOthersWorkIsLeftAlone(t *testing.T) {
	n := two(t)
	m := n.owner.byID[0]
	spec := Spec{ID: "job-000900", Workload: "w", Team: "lab", Tasks: 2, Need: Resources{CPU: 1, Memory: 2}}
	n.users.mirror.open[spec.ID] = living{1, spec.record(n.now)}
	r := n.poolReport(0)
	r.Tick = 2
	r.Tasks = []TaskReport{{Job: spec.ID, Index: 0, Try: 1, Status: Running}}
	n.hear(m, r, true)
	n.users.mirror.asOf = n.now.Add(time.Minute)
	n.now = n.now.Add(time.Minute)
	if os := n.reconcile(m); len(os) != 0 {
		t.Errorf("ordered %v", os)
	}
	if m.empty() || m.foreign.CPU != 1 || m.strays {
		t.Errorf("it takes %v, empty %v, strays %v: want its room to be known", m.foreign, m.empty(), m.strays)
	}
	// Cancelled, it is stopped unasked: its job's owner may not be heard.
	rec := spec.record(n.now)
	rec.Cancelled = true
	n.users.mirror.open[spec.ID] = living{2, rec}
	if os := n.reconcile(m); len(os) != 1 || os[0].Verb != Halt {
		t.Errorf("ordered %v for a cancelled job, want a stop", os)
	}
	n.users.mirror.open[spec.ID] = living{1, spec.record(n.now)}
	// Asked to stop it, it does.
	takeAsks(n, "b", []ownership.Ask{{Machine: m.id, Attempts: []ownership.Asked{{Attempt: ownership.Attempt{Job: spec.ID, Index: 0, Try: 1}, Want: ownership.Stop}}}})
	if os := n.reconcile(m); len(os) != 1 || os[0].Verb != Halt {
		t.Errorf("ordered %v, want a stop", os)
	}
}

// TestCancelledWhileItSaves: another owner's task was told to stop with time to save, and
// then its job is cancelled. It is ended at once, though that owner is not heard.
func TestCancelledWhileItSaves(t *testing.T) {
	n := two(t)
	m := n.owner.byID[0]
	spec := Spec{ID: "job-000900", Workload: "w", Team: "lab", Tasks: 1, Need: Resources{CPU: 1, Memory: 2}}
	rec := spec.record(n.now)
	n.users.mirror.open[spec.ID] = living{1, rec}
	r := n.poolReport(0)
	r.Tick, r.Tasks = 2, []TaskReport{{Job: spec.ID, Index: 0, Try: 1, Status: Flushing}}
	n.hear(m, r, true)
	a := ownership.Attempt{Job: spec.ID, Index: 0, Try: 1}
	takeAsks(n, "b", []ownership.Ask{{Machine: m.id, Attempts: []ownership.Asked{{Attempt: a, Want: ownership.Stop, WindDown: 20 * time.Second}}}})
	if os := n.reconcile(m); len(os) > 0 {
		t.Errorf("ordered %v while it saves", os)
	}
	rec.Cancelled, rec.CancelledAt = true, n.now.UnixMilli()
	n.users.mirror.open[spec.ID] = living{2, rec}
	want := Order{Verb: Halt, Job: spec.ID, Try: 1}
	if os := n.reconcile(m); len(os) != 1 || os[0] != want {
		t.Errorf("ordered %+v for a cancelled job that saves, want %+v", os, want)
	}
}

// TestReadForAnotherTime: what was read of a team does not count when the team was
// another's in between, who may have written more.
func TestReadForAnotherTime(t *testing.T) {
	n := two(t)
	old := &teamHeld{term: 1}
	n.owner.teams["ops"] = &teamHeld{term: 2}
	teamsLoaded(n, map[string]*teamHeld{"ops": old}, nil, nil, n.now)
	if n.owner.teams["ops"].ready {
		t.Error("an older reading makes the team ready")
	}
}

// TestTeamLeavesWork: what a team that goes leaves running here takes room, though no
// report has shown it yet, and is not told to be gone while its start may be on its
// way.
func TestTeamLeavesWork(t *testing.T) {
	n := two(t)
	n.shareOf(t, "a", "a", 6, true, "ops", "lab")
	n.shareOf(t, "b", "b", 7, false)
	n.owner.teams["lab"] = &teamHeld{ready: true}
	n.ownerCheck()
	m := n.owner.byID[0]
	spec := Spec{ID: "job-000900", Workload: "w", Team: "lab", Tasks: 1, Need: Resources{CPU: 3, Memory: 2}, Expected: time.Minute}
	n.users.mirror.open[spec.ID] = living{1, spec.record(n.now)}
	j := n.newJob(spec, n.now, 1)
	j.fresh, j.tasks[0].try, j.tasks[0].sent = 1, 1, true
	n.attach(j, 0, m)
	n.shareOf(t, "a", "a", 8, true, "ops")
	n.shareOf(t, "b", "b", 8, false, "lab")
	n.ownerCheck()
	// Its start got no answer.
	m.unacked, m.seenEpoch = m.epoch, m.epoch
	if n.owner.jobs[spec.ID] != nil || m.empty() || m.foreign.CPU != 3 {
		t.Fatalf("left behind it takes %v, empty %v", m.foreign, m.empty())
	}
	ask := []ownership.Ask{{Machine: m.id, Attempts: []ownership.Asked{{Attempt: ownership.Attempt{Job: spec.ID, Index: 0, Try: 1}}}}}
	told := func() ownership.State {
		n.now, n.out = n.now.Add(2*time.Second), nil
		takeAsks(n, "b", ask)
		tellRemote(n)
		for _, p := range emitted[PeerSend](n) {
			if len(p.News.Told) > 0 {
				return p.News.Told[0].Attempts[0].State
			}
		}
		t.Fatal("nothing is told")
		return 0
	}
	r := n.poolReport(0)
	r.Tick, r.Epoch = 3, m.epoch
	n.hear(m, r, true)
	if s := told(); s != ownership.Unknown {
		t.Errorf("told as %v while its start may be on its way", s)
	}
	// Under a higher epoch it can't be executed any more.
	n.lotOf(t, "a", 9, m.id)
	n.ownerCheck()
	r = n.poolReport(0)
	r.Tick, r.Epoch = 4, m.epoch
	n.hear(m, r, true)
	if s := told(); s != ownership.Gone {
		t.Errorf("told as %v, want that it is gone", s)
	}
}

// TestToldUnderAnEpoch: a word about a machine counts only from its owner, under the
// epoch of now.
func TestToldUnderAnEpoch(t *testing.T) {
	n := two(t)
	n.lotOf(t, "b", 5, "vm-000077")
	j := n.newJob(Spec{ID: "job-000900", Workload: "w", Team: "ops", Tasks: 1, Need: Resources{CPU: 1, Memory: 1}, Expected: time.Minute}, n.now, 1)
	j.fresh, j.tasks[0].try, j.tasks[0].sent = 1, 1, true
	n.attach(j, 0, n.machineOf("vm-000077"))
	word := func(from string, epoch uint64) {
		takeTold(n, from, []ownership.Tell{{Machine: "vm-000077", Epoch: epoch, Attempts: []ownership.Told{{Attempt: ownership.Attempt{Job: j.ID, Index: 0, Try: 1}, State: ownership.Gone}}}})
	}
	word("b", 4)
	word("c", 5)
	if j.live != 1 {
		t.Error("a word under an earlier epoch, or of another, counts")
	}
	word("b", 5)
	if j.live != 0 || j.pending() != 1 {
		t.Error("the owner's word does not count")
	}
}

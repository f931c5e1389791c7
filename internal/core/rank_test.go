package core

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/micahill/micahill/internal/ranking"
	_ "github.com/micahill/micahill/internal/testseed"
	"pgregory.net/rapid"
)

// rankedPool is an owner that follows a ranking, known as of now.
func rankedPool(machines int, text string) *Node {
	n := largePool(machines)
	n.set.Product.Ranking = true
	n.set.Objectives = nil
	n.users.mirror.loaded, n.users.mirror.open = true, map[string]living{}
	n.setRanking(text, 7)
	return n
}

// setRanking has a ranking come with a read that began now.
func (n *Node) setRanking(text string, stamp uint64) {
	rec, err := ranking.Parse([]byte(text))
	if err != nil {
		panic(err)
	}
	rec.Rev = stamp
	n.ctlNews(StateDone{Status: StateOK, Sent: n.now, Rev: stamp, Items: []Item{{Key: rankingKey, Value: rec.Encode(), Stamp: stamp}}})
}

const (
	fooFirst = "[[class]]\nname=\"foo\"\nworkloads=[\"foo*\"]\n[[class]]\nname=\"bar\"\nworkloads=[\"bar*\"]\n"
	barFirst = "[[class]]\nname=\"bar\"\nworkloads=[\"bar*\"]\n[[class]]\nname=\"foo\"\nworkloads=[\"foo*\"]\n"
)

// waits adds a job that waits.
func (n *Node) waits(id, workload string, tasks int, cpu float64) *job {
	j := newJob(Spec{ID: id, Workload: workload, Team: "ops", Urgency: Normal, Tasks: tasks, Spot: true, Need: Resources{CPU: cpu, Memory: cpu}, Expected: time.Minute}, n.now, 1, 4096)
	n.owner.jobs[id] = j
	return j
}

func names(op *StateOp, key string) (uint64, bool) {
	i := slices.IndexFunc(op.When, func(c Cond) bool { return c.Key == key })
	if i < 0 {
		return 0, false
	}
	return op.When[i].Stamp, true
}

// TestStartsNameTheRanking: the record of a start fails when another ranking has come, and
// what it was to begin is decided anew when that has been read, not before.
func TestStartsNameTheRanking(t *testing.T) {
	n := rankedPool(1, barFirst)
	foo, bar := n.waits("job-1", "foo", 1, 20), n.waits("job-2", "bar", 1, 20)
	n.out = nil
	n.placeAll()
	n.writeChunks()
	ops := ops(n)
	if foo.live != 0 || bar.live != 1 || len(ops) != 1 {
		t.Fatalf("foo has %d, bar %d places, %d writes", foo.live, bar.live, len(ops))
	}
	if stamp, ok := names(&ops[0], rankingKey); !ok || stamp != 7 {
		t.Fatalf("the start names %v", ops[0].When)
	}
	n.out = nil
	n.command(StateDone{ID: ops[0].ID, Status: StateConflict, Failed: []string{rankingKey}})
	n.placeAll()
	n.writeChunks()
	for _, op := range emitted[StateOp](n) {
		if op.Kind == OpTxn {
			t.Fatal("a start is written though the ranking is not known")
		}
	}
	// Also one that another write of the same transaction made fail; meanwhile time goes on.
	n.now = n.now.Add(100 * time.Millisecond)
	n.setRanking(fooFirst, 9)
	n.out = nil
	n.placeAll()
	n.writeChunks()
	some := false
	for _, op := range emitted[StateOp](n) {
		if op.Kind == OpTxn {
			stamp, _ := names(&op, rankingKey)
			some = some || stamp == 9
		}
	}
	if foo.live != 1 || bar.live != 0 || !some {
		t.Errorf("under the new ranking foo has %d, bar %d places, written %v", foo.live, bar.live, some)
	}
}

// rankedStart is a node with a durable start that was not sent yet.
func rankedStart() (*Node, *machine, *job) {
	n := rankedPool(1, fooFirst)
	m := n.owner.byID[0]
	j := n.waits("job-1", "foo", 1, 1)
	n.placeAll()
	j.chunkOf(0).saved = j.chunkOf(0).ver
	n.out = nil
	return n, m, j
}

func starts(os []Order) int {
	k := 0
	for _, o := range os {
		k += int(b2f(o.Verb == Start))
	}
	return k
}

// TestUnsentStartsAreJudgedAtDeparture: a start that is durable leaves while the ranking is
// known as of two seconds ago, else after it was read, and none that is held in a queue.
func TestUnsentStartsAreJudgedAtDeparture(t *testing.T) {
	n, m, j := rankedStart()
	n.now = n.now.Add(3 * time.Second)
	n.direct(m)
	if len(n.calls) != 0 || j.tasks[0].sent {
		t.Fatal("a start leaves three seconds after the ranking was known")
	}
	op := ops(n)[0]
	if op.Kind != OpFollow || op.Key != ctlPrefix || op.Hold != 0 {
		t.Fatalf("it waits for %+v", op)
	}
	n.command(StateDone{ID: op.ID, Status: StateOK, Sent: n.now, Rev: 8})
	n.out = nil
	n.directAll()
	if len(n.calls) != 1 {
		t.Fatal("the start does not leave though the ranking is known")
	}
	w := n.out[0].(WorkerOp)
	if _, _, late := Late(w, n.now.Add(rankFresh+time.Millisecond)); !late {
		t.Error("it may leave later than the ranking is known")
	}
	// In the answer to a report it is left out, and the lease goes on.
	n, m, _ = rankedStart()
	n.now = n.now.Add(time.Second)
	r := n.poolReport(0)
	r.Tick, r.Epoch = 5, m.epoch
	n.workerReport(WorkerReport{Reply: 1, Report: *r})
	a := n.out[len(n.out)-1].(ReportReply)
	if starts(a.Orders) != 1 {
		t.Fatalf("answered %+v", a)
	}
	_, instead, late := Late(a, n.now.Add(rankFresh))
	if b, ok := instead.(ReportReply); !late || !ok || b.Status != 200 || starts(b.Orders) != 0 {
		t.Errorf("late it becomes %+v", instead)
	}
	// It never arrived; when the machine says so, it counts as one that never left.
	n.setRanking(barFirst, 9)
	r.Tick = 6
	n.out = nil
	n.workerReport(WorkerReport{Reply: 2, Report: *r})
	for _, a := range emitted[ReportReply](n) {
		if starts(a.Orders) != 0 {
			t.Error("a start that is proven nowhere leaves under the old ranking")
		}
	}
}

// TestHeldOfAFormerTime: a start that waited for the ranking when the owner lost its share is
// no business of the time after: its job may not even be in the books then.
func TestHeldOfAFormerTime(t *testing.T) {
	n, m, j := rankedStart()
	n.now = n.now.Add(3 * time.Second)
	n.direct(m)
	op := ops(n)[0]
	again := n.machine("vm-again")
	delete(n.owner.machines, m.id)
	n.owner.byID = []*machine{again}
	delete(n.owner.jobs, j.ID)
	n.command(StateDone{ID: op.ID, Status: StateOK, Sent: n.now, Rev: 8})
	n.directAll()
	if len(n.calls) != 0 {
		t.Error("something is ordered for a machine of a former time")
	}
}

// TestHeirDecidesAnew: a successor orders what its ranking decided, and places anew what is
// proven nowhere and was decided under another one. What had no answer is repeated, and
// what perhaps never left waits for the proof.
func TestHeirDecidesAnew(t *testing.T) {
	for _, c := range []struct {
		rank        uint64
		quiet, left bool
		want        int
		anew        bool
	}{{7, true, false, 1, false}, {6, true, false, 0, true}, {6, false, false, 0, false}, {6, false, true, 1, false}, {6, true, true, 0, true}, {7, false, false, 1, false}} {
		n := rankedPool(1, fooFirst)
		m := n.owner.byID[0]
		j := n.waits("job-1", "foo", 1, 1)
		rec := chunkRecord{Rank: c.rank, Rows: []taskRow{{Index: 0, Try: 3, Machine: m.id, Group: n.now.UnixMilli()}}}
		n.restore(j, Item{Key: taskPrefix + "job-1/0", Stamp: 2}, &rec)
		if !c.quiet {
			m.unacked = m.epoch
		}
		j.tasks[0].left = c.left
		if got := starts(n.reconcile(m)); got != c.want {
			t.Errorf("%+v: %d starts", c, got)
		}
		if anew := len(j.again) == 1; anew != c.anew {
			t.Errorf("%+v: placed anew %v", c, anew)
		}
		if proof := m.stuck(&n.owner.registry); proof != (c.want == 0 && !c.anew) {
			t.Errorf("%+v: a higher epoch is asked for: %v", c, proof)
		}
		if got := j.record(j.chunkOf(0)).Rank; got != c.rank {
			t.Errorf("the record says %d, read as %d", got, c.rank)
		}
	}
}

// TestWritersOfTheRanking: whoever sets one names the record that he saw, a leader that
// derives one its lead and that there is none.
func TestWritersOfTheRanking(t *testing.T) {
	n := rankedPool(1, fooFirst)
	set := func(rev uint64) (*StateOp, *RankReply) {
		n.out = nil
		rec, _ := ranking.Parse([]byte(barFirst))
		n.command(RankSet{Reply: 1, Record: rec, Rev: rev, Until: n.now.Add(time.Second)})
		n.command(StateDone{ID: ops(n)[0].ID, Status: StateOK, Sent: n.now, Rev: 8})
		for _, r := range emitted[RankReply](n) {
			return nil, &r
		}
		all := ops(n)
		return &all[len(all)-1], nil
	}
	if _, r := set(6); r == nil || r.Status != 409 {
		t.Fatalf("over another revision: %+v", r)
	}
	op, _ := set(7)
	if stamp, ok := names(op, rankingKey); !ok || stamp != 7 || len(op.Apply) != 2 || op.Apply[1].Key != "ranking/8" {
		t.Fatalf("set with %+v", op)
	}
	n.command(StateDone{ID: op.ID, Status: StateConflict, Failed: []string{rankingKey}})
	if r := n.out[len(n.out)-1].(RankReply); r.Status != 409 {
		t.Errorf("the second of two is told %+v", r)
	}
	rankItem(n, Item{Key: rankingKey, Removed: true})
	n.leader = &leader{stamp: 5}
	n.out = nil
	rankDerive(n)
	rankDerive(n)
	all := ops(n)
	lead, a := names(&all[0], leadKey)
	none, b := names(&all[0], rankingKey)
	if !a || !b || lead != 5 || none != 0 || len(all) != 1 {
		t.Errorf("%d derived with %+v", len(all), all[0].When)
	}
}

// TestDamagedRanking: the last good one goes on to count, it is told, and writes name the
// record that stands; without one of its own a controller looks into the history.
func TestDamagedRanking(t *testing.T) {
	n := rankedPool(1, barFirst)
	foo, bar := n.waits("job-1", "foo", 1, 1), n.waits("job-2", "bar", 1, 1)
	good := n.sess.ranks.rec.Encode()
	later := encode(map[string]any{"v": 9, "rev": 30})
	for i, b := range [][]byte{{0x81}, later, encode(map[string]any{"v": 1, "rev": 3, "c": []any{}}), nil} {
		n.now = n.now.Add(2 * time.Minute)
		n.out = nil
		n.ctlNews(StateDone{Status: StateOK, Sent: n.now, Rev: uint64(20 + i), Items: []Item{{Key: rankingKey, Value: b, Stamp: uint64(20 + i)}}})
		if rankOf(n, bar) >= rankOf(n, foo) || n.sess.ranks.stamp != uint64(20+i) || n.sess.ranks.bad == "" || len(n.out) == 0 {
			t.Errorf("damaged by %v: %d and %d, stamp %d, %d lines", b, rankOf(n, bar), rankOf(n, foo), n.sess.ranks.stamp, len(n.out))
		}
	}
	if n.sess.ranks.rev != 30 {
		t.Error("the next revision would not be above that of a later form")
	}
	n.sess.ranks = ranks{}
	n.out = nil
	n.ctlNews(StateDone{Status: StateOK, Sent: n.now, Rev: 40, Items: []Item{{Key: rankingKey, Value: later, Stamp: 40}}})
	all := ops(n)
	if len(all) != 1 || all[0].Kind != OpList || all[0].Key != historyPrefix {
		t.Fatalf("asked %+v", all)
	}
	n.command(StateDone{ID: all[0].ID, Status: StateOK, Items: []Item{{Key: "ranking/1", Value: later}, {Key: "ranking/7", Value: good}}})
	if n.sess.ranks.rec.Rev != 7 || rankOf(n, bar) >= rankOf(n, foo) {
		t.Errorf("revision %d counts", n.sess.ranks.rec.Rev)
	}
}

// TestRankedWorkIsNotStopped: the protocol lets urgent work take the place of lower, but
// not of what stands before it.
func TestRankedWorkIsNotStopped(t *testing.T) {
	for _, text := range []string{fooFirst, barFirst} {
		n := rankedPool(1, text)
		m := n.owner.byID[0]
		low := n.waits("job-1", "foo", 1, 32)
		n.placeAll()
		high := n.waits("job-2", "bar", 1, 32)
		high.Urgency = Urgent
		ts, _, ok := n.victims(high, m, m.free())
		if ok != (text == barFirst) || low.live != 1 {
			t.Errorf("%d victims, %v", len(ts), ok)
		}
	}
}

// TestNoLaterRankedFirst: in no round does a job get a place that would have suited one
// that stands before it and goes on waiting.
func TestNoLaterRankedFirst(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		text := rapid.SampledFrom([]string{fooFirst, barFirst, "[[class]]\nname=\"u\"\nurgency=\"urgent\"\n[[class]]\nname=\"b\"\nworkloads=[\"ba*\"]\n"}).Draw(t, "ranking")
		n := rankedPool(0, text)
		n.set.Teams = []Team{{Name: "ops", Limit: Resources{CPU: rapid.Float64Range(10, 200).Draw(t, "limit")}}}
		for i := range rapid.IntRange(1, 12).Draw(t, "machines") {
			r := n.poolReport(i * rapid.IntRange(1, 8).Draw(t, "kind"))
			r.Machine = fmt.Sprintf("vm-%02d", i)
			n.hear(n.machine(r.Machine), r, true)
		}
		for i := range rapid.IntRange(1, 12).Draw(t, "jobs") {
			j := n.waits(fmt.Sprintf("job-%02d", i), rapid.SampledFrom([]string{"foo", "foo2", "bar", "baz", "x"}).Draw(t, "workload"),
				rapid.IntRange(1, 6).Draw(t, "tasks"), rapid.SampledFrom([]float64{1, 2, 4, 6, 16}).Draw(t, "cpu"))
			j.Urgency = Urgency(rapid.IntRange(0, 3).Draw(t, "urgency"))
			j.Spot = rapid.Bool().Draw(t, "spot")
			n.owner.workloads[j.Workload] = &workload{&j.Spec, n.now}
		}
		n.placeAll()
		for _, m := range n.owner.byID {
			for k := range m.attempts {
				l := n.owner.jobs[k.job]
				m.used = m.used.Plus(l.Need, -1)
				n.owner.used["ops"] = n.owner.used["ops"].Plus(l.Need, -1)
				r := n.newRound()
				for _, h := range n.owner.jobs {
					if rankOf(n, h) >= rankOf(n, l) || n.triable(h) == 0 || !n.withinLimit(h) {
						continue
					}
					for _, s := range r.open {
						if s.m != m {
							continue
						}
						if _, suits := n.lotFor(r, h).rate(n, h, s); suits {
							t.Fatalf("%s of %s, place %d, is on %s; %s of %s, place %d, waits", l.ID, l.Workload, rankOf(n, l), m.id, h.ID, h.Workload, rankOf(n, h))
						}
					}
				}
				m.used = m.used.Plus(l.Need, 1)
				n.owner.used["ops"] = n.owner.used["ops"].Plus(l.Need, 1)
			}
		}
	})
}

// TestOverloadRefusesTheLastFirst: what may wait for the state service is kept for those
// that stand in front.
func TestOverloadRefusesTheLastFirst(t *testing.T) {
	n := rankedPool(1, fooFirst)
	n.users.waiting = maxWaiting * 3 / 4
	first, last := Spec{Workload: "foo", Urgency: Normal}, Spec{Workload: "x", Urgency: BestEffort}
	if rankRefuses(n, &first) || !rankRefuses(n, &last) {
		t.Error("the first is refused, or the last is not")
	}
	if n.set.Product.Ranking = false; rankRefuses(n, &last) {
		t.Error("refused without a ranking")
	}
}

// TestWhy: a line says what stands before a job and what would let it go.
func TestWhy(t *testing.T) {
	n := rankedPool(1, fooFirst)
	first := n.waits("job-1", "foo", 2, 20)
	n.placeAll()
	n.waits("job-2", "bar", 3, 20)
	n.waits("job-3", "bar", 1, 99)
	for id, j := range n.owner.jobs {
		n.users.mirror.open[id] = living{rec: j.Spec.record(n.now)}
	}
	n.owner.used["ops"] = first.Need
	n.set.Teams = []Team{{Name: "ops", Limit: Resources{CPU: 110}}}
	n.users.final["job-9"] = Done
	for id, want := range map[string]string{
		"job-1": "job-1: class foo, place 1 of 6; 1 of 2 tasks wait; number 1 of its class; 1 tasks have a place and wait for their record; 1 machines suit it and are full: it goes when tasks there end, or one more is rented",
		"job-2": "job-2: class bar, place 2 of 6; 3 of 3 tasks wait; number 1 of its class; before it foo with 1 jobs, 1 tasks; 1 machines suit it and are full: it goes when tasks there end, or one more is rented",
		"job-3": "job-3: class bar, place 2 of 6; 1 of 1 tasks wait; number 2 of its class; before it foo with 1 jobs, 1 tasks; before it bar with 1 jobs, 3 tasks; its team ops is at its limit: it goes on when tasks of the team end",
		"job-8": "job-8 is not open, as far as a has read",
		"job-9": "job-9 is done",
	} {
		if got := rankWhy(n, id); got != want {
			t.Errorf("%s:\n got %s\nwant %s", id, got, want)
		}
	}
}

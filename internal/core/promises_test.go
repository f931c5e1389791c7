package core

import (
	"net/url"
	"strings"
	"testing"
	"time"

	"github.com/micahill/micahill/internal/bounds"
	"github.com/micahill/micahill/internal/promise"
)

// promiser is an owner with promises on, and a book for its team.
func promiser(t *testing.T) (*Node, string) {
	t.Helper()
	n := largePool(4)
	n.set.Product = Product{Promises: true, PromiseShare: 0.95}
	n.promises.quotes, n.users.dates = map[string]*promise.Quotes{}, map[string]uint64{}
	team := n.set.Teams[0].Name
	promisesLoaded(n, team, nil)
	return n, team
}

// TestUnreadableDates: where the newest date of a job may stand in a page that can't be
// read, its owner decides none, its end carries none, and none is told.
func TestUnreadableDates(t *testing.T) {
	n, team := promiser(t)
	m := &n.users.mirror
	m.open = map[string]living{}
	if !pageItem(n, &m.pages, Item{Key: pagesOf(team) + "0", Stamp: 9, Value: []byte("x")}) {
		t.Fatal("a page is taken for a job")
	}
	jobs := map[string]*job{}
	for id, stamp := range map[string]uint64{"job-old": 5, "job-new": 12} {
		spec := Spec{ID: id, Workload: "w", Team: team, Tasks: 1, Need: Resources{CPU: 1}, Expected: time.Hour}
		rec := spec.record(n.now)
		rec.P = 60_000
		m.open[id] = living{stamp, rec}
		j := n.newJob(spec, n.now, stamp)
		n.jobRecord(j, stamp, &rec)
		jobs[id] = j
	}
	promisesLoaded(n, team, jobs)
	n.now = n.now.Add(2 * time.Minute)
	promisesTick(n)
	for id, want := range map[string]bool{"job-old": false, "job-new": true} {
		l := m.open[id]
		told, end := dateOf(n, id, &l).Rev > 0, endRecord(n, jobs[id])
		if _, entered := n.owner.dates.books[team].Of(id); told != want || entered || (end.Rev > 0) != want {
			t.Errorf("%s: told %v, entered %v, ends with %d", id, told, entered, end.Rev)
		}
	}
}

// TestDateOfAName: a team's name may be of any characters and any length, and its pages
// are its own.
func TestDateOfAName(t *testing.T) {
	seen := map[string]bool{}
	for _, team := range []string{"ops", "ops/1", "~ops", "ö s", strings.Repeat("ü", 90), strings.Repeat("ü", 89) + "u", "a%2F"} {
		key := pagesOf(team) + "0"
		if seen[key] || len(key) > 130 || strings.ContainsAny(key, " \t\n") || strings.Count(key, "/") != 2 {
			t.Errorf("%q has key %q", team, key)
		}
		seen[key] = true
	}
}

// TestKeepsDateFirst: of two jobs that are as pressing, the one that can still keep its
// date goes first; with more than a second between them, or while dates are off, it is
// as without them.
func TestKeepsDateFirst(t *testing.T) {
	n, team := promiser(t)
	add := func(id string, at time.Duration, date time.Duration) {
		j := n.newJob(Spec{ID: id, Workload: "w", Team: team, Tasks: 1, Need: Resources{CPU: 1}, Expected: 100 * time.Second}, n.now.Add(at), 1)
		j.promised = promise.Date{After: date, Rev: 1}
	}
	for _, c := range []struct {
		apart time.Duration
		late  time.Duration
		want  string
	}{
		{0, 30 * time.Second, "b"}, {0, 300 * time.Second, "a"}, {5 * time.Second, 30 * time.Second, "a"}, {0, -time.Second, "a"},
	} {
		clear(n.owner.jobs)
		add("a", -c.apart, c.late)
		add("b", 0, 300*time.Second)
		if got := n.order()[0].ID; got != c.want {
			t.Errorf("%v: %s goes first", c, got)
		}
	}
}

// TestLentDates: a job is lent only when its date is durable, it keeps its first date in
// its record, gets no new one while it is away, and the end that its peer made tells it.
func TestLentDates(t *testing.T) {
	n, team := promiser(t)
	n.users.mirror.open = map[string]living{}
	j := n.newJob(Spec{ID: "job-1", Workload: "w", Team: team, Tasks: 1, Need: Resources{CPU: 1}, Expected: time.Minute}, n.now, 3)
	j.first, j.promised = time.Minute, promise.Date{After: time.Minute, Rev: 1}
	if rec := j.record0(); rec.P != 60_000 {
		t.Errorf("its record has %d", rec.P)
	}
	b := n.owner.dates.books[team]
	b.Put(promise.Entry{Job: j.ID, Date: promise.Date{After: 2 * time.Minute, Rev: 2}})
	n.out = nil
	n.leader = &leader{}
	if loanOp(n, LoanOp{Kind: LoanLend, Job: j.ID, Peer: "p", N: 1}); len(ops(n)) != 0 {
		t.Error("lent before its date is durable")
	}
	w, _ := b.Next()
	b.Wrote(w, 7)
	if loanOp(n, LoanOp{Kind: LoanLend, Job: j.ID, Peer: "p", N: 1}); len(ops(n)) != 1 {
		t.Error("not lent")
	}
	j.made = n.now.Add(-time.Hour)
	j.promised.After = time.Hour
	watchDate(n, j)
	if !b.Durable(j.ID) {
		t.Error("a new date while it is away")
	}
	if err := n.users.mirror.pages.Take(pagesOf(team)+"0", 7, w.Value); err != nil {
		t.Fatal(err)
	}
	rec := j.record0()
	if r := overRecord(n, j.ID, Done, &living{8, rec}); r.date() != (promise.Date{After: 2 * time.Minute, Rev: 2}) || r.Team != team {
		t.Errorf("it ends with %+v", r)
	}
	if r := overRecord(n, j.ID, Cancelled, &living{8, rec}); r.Rev != 0 || r.Class != "w" {
		t.Errorf("cancelled with %+v", r)
	}
}

// TestDurableDates: a date is told by nobody, not by its owner either, before it is
// durable, and only from then on counts the time in which no other may follow.
func TestDurableDates(t *testing.T) {
	n, team := promiser(t)
	n.sess.sureUntil = n.now.Add(time.Hour)
	m := &n.users.mirror
	spec := Spec{ID: "job-1", Workload: "w", Team: team, Tasks: 1, Need: Resources{CPU: 1}, Expected: 2000 * time.Second}
	rec := spec.record(n.now)
	m.open = map[string]living{spec.ID: {3, rec}}
	j := n.newJob(spec, n.now, 3)
	l := m.open[spec.ID]
	tick := func(d time.Duration) {
		for end := n.now.Add(d); n.now.Before(end); {
			n.now = n.now.Add(lookAtDates)
			promisesTick(n)
		}
	}
	n.out = nil
	tick(lookAtDates)
	j.promised.After = 1000 * time.Second
	writes := func() []StateOp {
		var out []StateOp
		for _, op := range ops(n) {
			if strings.HasPrefix(op.Apply[0].Key, pagePrefix) {
				out = append(out, op)
			}
		}
		return out
	}
	tick(100 * time.Second)
	if w := writes(); len(w) != 1 || j.promised.Rev != 1 || dateOf(n, spec.ID, &l).Rev != 0 {
		t.Fatalf("%d writes, revision %d, told %v", len(w), j.promised.Rev, dateOf(n, spec.ID, &l))
	}
	op := writes()[0]
	n.out = nil
	n.command(StateDone{ID: op.ID, Status: StateOK, Rev: 7})
	pageItem(n, &m.pages, Item{Key: op.Apply[0].Key, Stamp: 7, Value: op.Apply[0].Value})
	tick(promise.Apart - 2*lookAtDates)
	if j.promised.Rev != 1 || dateOf(n, spec.ID, &l).Rev != 1 {
		t.Errorf("revision %d within a minute, told %v", j.promised.Rev, dateOf(n, spec.ID, &l))
	}
	tick(4 * lookAtDates)
	if w := writes(); j.promised.Rev != 2 || len(w) != 1 || dateOf(n, spec.ID, &l).Rev != 1 {
		t.Errorf("revision %d, %d writes, told %v", j.promised.Rev, len(w), dateOf(n, spec.ID, &l))
	}
}

// TestDateOfAnEnd: an end of which the outcome is unknown may be carried out later with
// the date that it carries. No other date is decided after it.
func TestDateOfAnEnd(t *testing.T) {
	n, team := promiser(t)
	n.sess.sureUntil = n.now.Add(time.Hour)
	j := n.newJob(Spec{ID: "job-1", Workload: "w", Team: team, Tasks: 1, Need: Resources{CPU: 1}, Expected: time.Minute}, n.now, 3)
	j.promised, j.made = promise.Date{After: 5 * time.Minute, Rev: 1}, n.now
	j.fresh, j.done, j.tasks[0].done = 1, 1, true
	n.now = n.now.Add(290 * time.Second)
	n.out = nil
	n.endSome([]*job{j})
	n.state[ops(n)[0].ID](StateDone{Status: StateUnknown})
	for range 60 {
		n.now = n.now.Add(lookAtDates)
		n.runTimers()
		promisesTick(n)
	}
	if j.ending || j.promised.Rev != 1 {
		t.Errorf("ending %v, its date is revision %d, its late end carries 1", j.ending, j.promised.Rev)
	}
}

// TestTotalsAreReadAgain: after a write of totals without an answer the leader reads the
// record before it counts on: it may have been written or not.
func TestTotalsAreReadAgain(t *testing.T) {
	n, _ := promiser(t)
	n.leader, n.sess.sureUntil = &leader{}, n.now.Add(time.Minute)
	last := func() StateOp {
		t.Helper()
		for _, op := range emitted[StateOp](n) {
			if n.state[op.ID] != nil && (op.Key == totalsKey || len(op.Apply) > 0 && op.Apply[0].Key == totalsKey) {
				n.out = nil
				return op
			}
		}
		t.Fatal("totals are neither read nor written")
		return StateOp{}
	}
	x := &n.promises.totals
	x.by, x.stamp, x.busy = n.leader, 7, true
	writeTotals(n, &promise.Totals{Rev: 5}, true)
	n.state[last().ID](StateDone{Status: StateUnknown})
	totalsLoop(n)
	if op := last(); op.Kind != OpGet {
		t.Errorf("it goes on with %+v", op)
	}
}

// TestTeamKeys: a record is asked for by its key in a path, where what is escaped would be
// read as another key than the one it was written under.
func TestTeamKeys(t *testing.T) {
	seen := map[string]string{}
	for _, team := range []string{"ops", "a b", "a/b", "a%20b", "a?b", "a#b", "a.b", "~ops", "é", strings.Repeat("x", 300), ""} {
		key := pagesOf(team) + "0"
		u, err := url.Parse("http://state/store/" + key)
		if err != nil || u.Path != "/store/"+key || len(key) > bounds.KeyMost {
			t.Errorf("%q: key %q is read as %v %v", team, key, u, err)
		}
		if other, same := seen[key]; same {
			t.Errorf("%q and %q share the key %q", team, other, key)
		}
		seen[key] = team
	}
}

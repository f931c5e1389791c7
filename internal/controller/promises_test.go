package controller

import (
	"net/url"
	"strings"
	"testing"
	"time"

	"github.com/micahill/micahill/internal/message"
	"github.com/micahill/micahill/internal/model"
	"github.com/micahill/micahill/internal/promise"
	"github.com/micahill/micahill/internal/record"
	"github.com/micahill/micahill/internal/sizelimit"
)

// newPromisingController is a shard leader with promises on, and pages for its team.
func newPromisingController(t *testing.T) (*Controller, string) {
	t.Helper()
	c := largePool(4)
	c.settings.Capabilities = Capabilities{Promises: true, PromiseFraction: 0.95}
	c.promises.quotes, c.frontend.endDates = map[string]*promise.Quoter{}, map[string]uint64{}
	team := c.settings.Teams[0].Name
	c.promises.recoverPages(team, nil)
	return c, team
}

// TestUnreadableDates: where the newest date of a job may be in a page that can't be read, its
// owner decides none, its end carries none, and none is answered.
func TestUnreadableDates(t *testing.T) {
	c, team := newPromisingController(t)
	m := &c.frontend.watchCache
	m.openJobs = map[string]openJob{}
	if !c.promises.applyPage(&m.promisePages, message.KeyValue{Key: teamPagePrefix(team) + "0", ModRevision: 9, Value: []byte("x")}) {
		t.Fatal("got a page taken for a job, want it applied as a page")
	}
	jobs := map[string]*job{}
	for id, modRevision := range map[string]uint64{"job-old": 5, "job-new": 12} {
		spec := model.JobSpec{ID: id, Workload: "w", Team: team, Tasks: 1, Need: model.Resources{CPU: 1}, ExpectedRunTime: time.Hour}
		rec := record.NewOpenJob(&spec, c.now)
		rec.PromisedMillis = 60_000
		m.openJobs[id] = openJob{modRevision, rec}
		j := c.shardLeader.addJob(spec, c.now, modRevision)
		c.shardLeader.applyJobRecord(j, modRevision, &rec)
		jobs[id] = j
	}
	c.promises.recoverPages(team, jobs)
	c.now = c.now.Add(2 * time.Minute)
	c.promises.tick()
	for id, want := range map[string]bool{"job-old": false, "job-new": true} {
		l := m.openJobs[id]
		published, end := c.promises.durableDate(id, &l).Revision > 0, c.promises.endRecord(jobs[id])
		if _, entered := c.shardLeader.promiseDates.pageWriters[team].Lookup(id); published != want || entered || (end.PromiseRevision > 0) != want {
			t.Errorf("%s: got published %v, in a page %v, end with revision %d; want %v, false, and a revision: %v", id, published, entered, end.PromiseRevision, want, want)
		}
	}
}

// TestPageKeysOfTeamNames: a team's name may have any characters and any length, and its pages
// are its own.
func TestPageKeysOfTeamNames(t *testing.T) {
	seen := map[string]bool{}
	for _, team := range []string{"ops", "ops/1", "~ops", "ö s", strings.Repeat("ü", 90), strings.Repeat("ü", 89) + "u", "a%2F"} {
		key := teamPagePrefix(team) + "0"
		if seen[key] || len(key) > 130 || strings.ContainsAny(key, " \t\n") || strings.Count(key, "/") != 2 {
			t.Errorf("%q: got key %q, want one of its own of at most 130 bytes, two slashes and no space", team, key)
		}
		seen[key] = true
	}
}

// TestKeepableDateGoesFirst: of two equally urgent jobs, the one that can still keep its date
// goes first; with more than a second between them, or when no date is due, the order is as
// without dates.
func TestKeepableDateGoesFirst(t *testing.T) {
	c, team := newPromisingController(t)
	add := func(id string, at time.Duration, date time.Duration) {
		j := c.shardLeader.addJob(model.JobSpec{ID: id, Workload: "w", Team: team, Tasks: 1, Need: model.Resources{CPU: 1}, ExpectedRunTime: 100 * time.Second}, c.now.Add(at), 1)
		j.promised = promise.Date{After: date, Revision: 1}
	}
	for _, tc := range []struct {
		name  string
		apart time.Duration
		date  time.Duration
		want  string
	}{
		{"first can't keep its date", 0, 30 * time.Second, "b"},
		{"both can", 0, 300 * time.Second, "a"},
		{"seconds apart", 5 * time.Second, 30 * time.Second, "a"},
		{"no date", 0, -time.Second, "a"},
	} {
		clear(c.shardLeader.jobs)
		add("a", -tc.apart, tc.date)
		add("b", 0, 300*time.Second)
		if got := c.shardLeader.scheduler.jobsInQueueOrder()[0].ID; got != tc.want {
			t.Errorf("%s: got %s first, want %s", tc.name, got, tc.want)
		}
	}
}

// TestLentDates: a job is lent only when its date is durable, its record keeps its first date,
// it gets no new date while it is lent, and the end that its peer reports carries its date.
func TestLentDates(t *testing.T) {
	c, team := newPromisingController(t)
	c.frontend.watchCache.openJobs = map[string]openJob{}
	j := c.shardLeader.addJob(model.JobSpec{ID: "job-1", Workload: "w", Team: team, Tasks: 1, Need: model.Resources{CPU: 1}, ExpectedRunTime: time.Minute}, c.now, 3)
	j.firstPromise, j.promised = time.Minute, promise.Date{After: time.Minute, Revision: 1}
	if rec := j.currentRecord(); rec.PromisedMillis != 60_000 {
		t.Errorf("got %d ms in its record, want 60000", rec.PromisedMillis)
	}
	pages := c.shardLeader.promiseDates.pageWriters[team]
	pages.Put(promise.Entry{Job: j.ID, Date: promise.Date{After: 2 * time.Minute, Revision: 2}})
	c.effects = nil
	c.leader = newLeader(c)
	if c.lending.runCommand(message.LoanCommand{Kind: message.LoanLend, Job: j.ID, Peer: "p", LendCount: 1}); len(sentStoreRequests(c)) != 0 {
		t.Error("got a write that lends it before its date is durable, want none")
	}
	w, _ := pages.NextWrite()
	pages.MarkWritten(w, 7)
	if c.lending.runCommand(message.LoanCommand{Kind: message.LoanLend, Job: j.ID, Peer: "p", LendCount: 1}); len(sentStoreRequests(c)) != 1 {
		t.Errorf("got %d writes that lend it when its date is durable, want 1", len(sentStoreRequests(c)))
	}
	j.promisedAt = c.now.Add(-time.Hour)
	j.promised.After = time.Hour
	c.promises.updateDate(j)
	if !pages.IsDurable(j.ID) {
		t.Error("got a new date while it is lent, want none")
	}
	if err := c.frontend.watchCache.promisePages.Apply(teamPagePrefix(team)+"0", 7, w.Value); err != nil {
		t.Fatalf("applying the page: got error %v, want none", err)
	}
	rec := j.currentRecord()
	if r := c.promises.endRecordFromCache(j.ID, model.Done, &openJob{8, rec}); r.Date() != (promise.Date{After: 2 * time.Minute, Revision: 2}) || r.Team != team {
		t.Errorf("got end %+v, want the date of 2m0s, revision 2, and team %s", r, team)
	}
	if r := c.promises.endRecordFromCache(j.ID, model.Cancelled, &openJob{8, rec}); r.PromiseRevision != 0 || r.Workload != "w" {
		t.Errorf("cancelled: got end %+v, want no date and workload w", r)
	}
}

// TestDurableDates: no controller answers a date before it is durable, its owner included, and
// only from then on counts the time in which no other may follow.
func TestDurableDates(t *testing.T) {
	c, team := newPromisingController(t)
	c.membership.leaseValidUntil = c.now.Add(time.Hour)
	m := &c.frontend.watchCache
	spec := model.JobSpec{ID: "job-1", Workload: "w", Team: team, Tasks: 1, Need: model.Resources{CPU: 1}, ExpectedRunTime: 2000 * time.Second}
	rec := record.NewOpenJob(&spec, c.now)
	m.openJobs = map[string]openJob{spec.ID: {3, rec}}
	j := c.shardLeader.addJob(spec, c.now, 3)
	open := m.openJobs[spec.ID]
	tick := func(d time.Duration) {
		for end := c.now.Add(d); c.now.Before(end); {
			c.now = c.now.Add(dateCheckInterval)
			c.promises.tick()
		}
	}
	c.effects = nil
	tick(dateCheckInterval)
	j.promised.After = 1000 * time.Second
	writes := func() []message.StoreRequest {
		var out []message.StoreRequest
		for _, op := range sentStoreRequests(c) {
			if strings.HasPrefix(op.Writes[0].Key, pagePrefix) {
				out = append(out, op)
			}
		}
		return out
	}
	tick(100 * time.Second)
	if w := writes(); len(w) != 1 || j.promised.Revision != 1 || c.promises.durableDate(spec.ID, &open).Revision != 0 {
		t.Fatalf("got %d writes, revision %d, published date %v; want 1, 1 and none", len(w), j.promised.Revision, c.promises.durableDate(spec.ID, &open))
	}
	op := writes()[0]
	c.effects = nil
	c.handleCommand(message.StoreResponse{ID: op.ID, Status: message.StoreOK, Revision: 7})
	c.promises.applyPage(&m.promisePages, message.KeyValue{Key: op.Writes[0].Key, ModRevision: 7, Value: op.Writes[0].Value})
	tick(promise.MinRevisionInterval - 2*dateCheckInterval)
	if j.promised.Revision != 1 || c.promises.durableDate(spec.ID, &open).Revision != 1 {
		t.Errorf("within a minute: got revision %d, published date %v; want 1 for both", j.promised.Revision, c.promises.durableDate(spec.ID, &open))
	}
	tick(4 * dateCheckInterval)
	if w := writes(); j.promised.Revision != 2 || len(w) != 1 || c.promises.durableDate(spec.ID, &open).Revision != 1 {
		t.Errorf("after a minute: got revision %d, %d writes, published date %v; want 2, 1 and revision 1", j.promised.Revision, len(w), c.promises.durableDate(spec.ID, &open))
	}
}

// TestDateOfAnEnd: the write of an end without an answer may be applied later, with the date
// that it carries. No other date is decided after it.
func TestDateOfAnEnd(t *testing.T) {
	c, team := newPromisingController(t)
	c.membership.leaseValidUntil = c.now.Add(time.Hour)
	j := c.shardLeader.addJob(model.JobSpec{ID: "job-1", Workload: "w", Team: team, Tasks: 1, Need: model.Resources{CPU: 1}, ExpectedRunTime: time.Minute}, c.now, 3)
	j.promised, j.promisedAt = promise.Date{After: 5 * time.Minute, Revision: 1}, c.now
	j.nextFresh, j.doneTasks, j.tasks[0].done = 1, 1, true
	c.now = c.now.Add(290 * time.Second)
	c.effects = nil
	c.shardLeader.persistence.writeEndBatch([]*job{j})
	c.requests.storeCallbacks[sentStoreRequests(c)[0].ID](message.StoreResponse{Status: message.StoreUnknown})
	for range 60 {
		c.now = c.now.Add(dateCheckInterval)
		c.runTimers()
		c.promises.tick()
	}
	if j.ending || j.promised.Revision != 1 {
		t.Errorf("got ending %v with date revision %d, want false with 1, which the late end carries", j.ending, j.promised.Revision)
	}
}

// TestTotalsAreReadAgain: after a write of totals without an answer the leader reads the
// record before it continues counting: it may have been written or not.
func TestTotalsAreReadAgain(t *testing.T) {
	c, _ := newPromisingController(t)
	c.leader, c.membership.leaseValidUntil = newLeader(c), c.now.Add(time.Minute)
	last := func() message.StoreRequest {
		t.Helper()
		for _, op := range emittedEffects[message.StoreRequest](c) {
			if c.requests.storeCallbacks[op.ID] != nil && (op.Key == record.TotalsKey || len(op.Writes) > 0 && op.Writes[0].Key == record.TotalsKey) {
				c.effects = nil
				return op
			}
		}
		t.Fatal("got totals neither read nor written, want one of them")
		return message.StoreRequest{}
	}
	totals := &c.promises.totals
	totals.leadership, totals.modRevision, totals.inFlight = c.leader, 7, true
	c.promises.writeTotals(&promise.Totals{Revision: 5}, true)
	c.requests.storeCallbacks[last().ID](message.StoreResponse{Status: message.StoreUnknown})
	c.promises.totalsLoop()
	if op := last(); op.Kind != message.OpGet {
		t.Errorf("got %+v after a write without an answer, want a read", op)
	}
}

// TestTeamKeys: a record is read by its key in a URL path, where escaped characters would be
// taken for another key than the one it was written under.
func TestTeamKeys(t *testing.T) {
	seen := map[string]string{}
	for _, team := range []string{"ops", "a b", "a/b", "a%20b", "a?b", "a#b", "a.b", "~ops", "é", strings.Repeat("x", 300), ""} {
		key := teamPagePrefix(team) + "0"
		u, err := url.Parse("http://state/store/" + key)
		if err != nil || u.Path != "/store/"+key || len(key) > sizelimit.MaxKeyBytes {
			t.Errorf("%q: got key %q read as %v (error %v), want the same of at most %d bytes", team, key, u, err, sizelimit.MaxKeyBytes)
		}
		if other, same := seen[key]; same {
			t.Errorf("%q: got key %q of %q, want one of its own", team, key, other)
		}
		seen[key] = team
	}
}

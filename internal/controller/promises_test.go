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

// newPromisingController returns a shard leader that promises dates and has a page writer for its
// team, and the team's name.
func newPromisingController(t *testing.T) (*Controller, string) {
	t.Helper()
	controller := largePool(4)
	controller.settings.Capabilities = Capabilities{Promises: true, PromiseFraction: 0.95}
	controller.promises.quotes, controller.frontend.endDates = map[string]*promise.Quoter{}, map[string]uint64{}
	team := controller.settings.Teams[0].Name
	controller.promises.recoverPages(team, nil)
	return controller, team
}

// TestUnreadableDates guards against a date that contradicts a newer one in a page that can't be
// read. A job that was written before that page may have its newest date there: its shard leader
// must decide no date, its end record must have none, and no controller may report one.
func TestUnreadableDates(t *testing.T) {
	controller, team := newPromisingController(t)
	cache := &controller.frontend.watchCache
	cache.openJobs = map[string]openJob{}
	if !controller.promises.applyPage(&cache.promisePages, message.KeyValue{Key: teamPagePrefix(team) + "0", ModRevision: 9, Value: []byte("x")}) {
		t.Fatal("got applyPage false for the key of a page, want true")
	}
	jobs := map[string]*job{}
	for id, modRevision := range map[string]uint64{"job-old": 5, "job-new": 12} {
		spec := model.JobSpec{ID: id, Workload: "w", Team: team, Tasks: 1, Need: model.Resources{CPU: 1}, ExpectedRunTime: time.Hour}
		rec := record.NewOpenJob(&spec, controller.now)
		rec.PromisedMillis = 60_000
		cache.openJobs[id] = openJob{modRevision, rec}
		job := controller.shardLeader.addJob(spec, controller.now, modRevision)
		controller.shardLeader.applyJobRecord(job, modRevision, &rec)
		jobs[id] = job
	}
	controller.promises.recoverPages(team, jobs)
	controller.now = controller.now.Add(2 * time.Minute)
	controller.promises.tick()
	for id, want := range map[string]bool{"job-old": false, "job-new": true} {
		open := cache.openJobs[id]
		published, end := controller.promises.durableDate(id, &open).Revision > 0, controller.promises.endRecord(jobs[id])
		if _, entered := controller.shardLeader.promiseDates.pageWriters[team].Lookup(id); published != want || entered || (end.PromiseRevision > 0) != want {
			t.Errorf("%s: got a date reported %v, a page entry %v, end record with date revision %d; want %v, false, a date revision above 0: %v", id, published, entered, end.PromiseRevision, want, want)
		}
	}
}

// TestPageKeysOfTeamNames guards against invalid or shared page keys. A team's name may have any
// characters and any length, and two teams must never have the same pages.
func TestPageKeysOfTeamNames(t *testing.T) {
	seen := map[string]bool{}
	for _, team := range []string{"ops", "ops/1", "~ops", "ö s", strings.Repeat("ü", 90), strings.Repeat("ü", 89) + "u", "a%2F"} {
		key := teamPagePrefix(team) + "0"
		if seen[key] || len(key) > 130 || strings.ContainsAny(key, " \t\n") || strings.Count(key, "/") != 2 {
			t.Errorf("%q: got key %q, want a unique one of at most 130 bytes, with two slashes and no space", team, key)
		}
		seen[key] = true
	}
}

// TestKeepableDateGoesFirst guards against a job that misses its date behind a job that can't keep
// its own date anyway. Of two jobs of equal urgency submitted within a second, the one that can
// still keep its date goes first. Otherwise dates must not change the order.
func TestKeepableDateGoesFirst(t *testing.T) {
	controller, team := newPromisingController(t)
	add := func(id string, after time.Duration, date time.Duration) {
		job := controller.shardLeader.addJob(model.JobSpec{ID: id, Workload: "w", Team: team, Tasks: 1, Need: model.Resources{CPU: 1}, ExpectedRunTime: 100 * time.Second}, controller.now.Add(after), 1)
		job.promised = promise.Date{After: date, Revision: 1}
	}
	for _, tc := range []struct {
		name  string
		apart time.Duration
		date  time.Duration
		want  string
	}{
		{"only the first job can't keep its date", 0, 30 * time.Second, "b"},
		{"both jobs can keep their dates", 0, 300 * time.Second, "a"},
		{"submitted seconds apart", 5 * time.Second, 30 * time.Second, "a"},
		{"date of the first job has passed", 0, -time.Second, "a"},
	} {
		clear(controller.shardLeader.jobs)
		add("a", -tc.apart, tc.date)
		add("b", 0, 300*time.Second)
		if got := controller.shardLeader.scheduler.jobsInQueueOrder()[0].ID; got != tc.want {
			t.Errorf("%s: got %s first, want %s", tc.name, got, tc.want)
		}
	}
}

// TestDatesOfLentJobs guards against lost or changed dates of lent jobs. A job is lent only when its date
// is durable, its record keeps its first date, it gets no new date while it is lent, and the end
// record made from the peer's report has its date.
func TestDatesOfLentJobs(t *testing.T) {
	controller, team := newPromisingController(t)
	controller.frontend.watchCache.openJobs = map[string]openJob{}
	job := controller.shardLeader.addJob(model.JobSpec{ID: "job-1", Workload: "w", Team: team, Tasks: 1, Need: model.Resources{CPU: 1}, ExpectedRunTime: time.Minute}, controller.now, 3)
	job.firstPromise, job.promised = time.Minute, promise.Date{After: time.Minute, Revision: 1}
	if rec := job.currentRecord(); rec.PromisedMillis != 60_000 {
		t.Errorf("got a date of %d ms in the job's record, want 60000", rec.PromisedMillis)
	}
	pages := controller.shardLeader.promiseDates.pageWriters[team]
	pages.Put(promise.Entry{Job: job.ID, Date: promise.Date{After: 2 * time.Minute, Revision: 2}})
	controller.effects = nil
	controller.leader = newLeader(controller)
	if controller.lending.runCommand(message.LoanCommand{Kind: message.LoanLend, Job: job.ID, Peer: "p", LendCount: 1}); len(sentStoreRequests(controller)) != 0 {
		t.Error("got a write that lends the job before its date is durable, want none")
	}
	write, _ := pages.NextWrite()
	pages.MarkWritten(write, 7)
	if controller.lending.runCommand(message.LoanCommand{Kind: message.LoanLend, Job: job.ID, Peer: "p", LendCount: 1}); len(sentStoreRequests(controller)) != 1 {
		t.Errorf("got %d writes that lend the job when its date is durable, want 1", len(sentStoreRequests(controller)))
	}
	job.promisedAt = controller.now.Add(-time.Hour)
	job.promised.After = time.Hour
	controller.promises.updateDate(job)
	if !pages.IsDurable(job.ID) {
		t.Error("got a new date while the job is lent, want none")
	}
	if err := controller.frontend.watchCache.promisePages.Apply(teamPagePrefix(team)+"0", 7, write.Value); err != nil {
		t.Fatalf("applying the page: got error %v, want none", err)
	}
	rec := job.currentRecord()
	if endRecord := controller.promises.endRecordFromCache(job.ID, model.Done, &openJob{8, rec}); endRecord.Date() != (promise.Date{After: 2 * time.Minute, Revision: 2}) || endRecord.Team != team {
		t.Errorf("got end record %+v, want the date of 2m0s, revision 2, and team %s", endRecord, team)
	}
	if endRecord := controller.promises.endRecordFromCache(job.ID, model.Cancelled, &openJob{8, rec}); endRecord.PromiseRevision != 0 || endRecord.Workload != "w" {
		t.Errorf("cancelled: got end record %+v, want no date and workload w", endRecord)
	}
}

// TestDurableDates guards against a reported date that is lost at failover. No controller, not even
// the job's shard leader, may report a date before it is durable, and the minimum interval until a
// revision begins only then.
func TestDurableDates(t *testing.T) {
	controller, team := newPromisingController(t)
	controller.membership.leaseValidUntil = controller.now.Add(time.Hour)
	cache := &controller.frontend.watchCache
	spec := model.JobSpec{ID: "job-1", Workload: "w", Team: team, Tasks: 1, Need: model.Resources{CPU: 1}, ExpectedRunTime: 2000 * time.Second}
	rec := record.NewOpenJob(&spec, controller.now)
	cache.openJobs = map[string]openJob{spec.ID: {3, rec}}
	job := controller.shardLeader.addJob(spec, controller.now, 3)
	open := cache.openJobs[spec.ID]
	tick := func(duration time.Duration) {
		for end := controller.now.Add(duration); controller.now.Before(end); {
			controller.now = controller.now.Add(dateCheckInterval)
			controller.promises.tick()
		}
	}
	controller.effects = nil
	tick(dateCheckInterval)
	job.promised.After = 1000 * time.Second
	writes := func() []message.StoreRequest {
		var pageWrites []message.StoreRequest
		for _, request := range sentStoreRequests(controller) {
			if strings.HasPrefix(request.Writes[0].Key, pagePrefix) {
				pageWrites = append(pageWrites, request)
			}
		}
		return pageWrites
	}
	tick(100 * time.Second)
	if sent := writes(); len(sent) != 1 || job.promised.Revision != 1 || controller.promises.durableDate(spec.ID, &open).Revision != 0 {
		t.Fatalf("before the page is durable: got %d writes, revision %d, reported date %v; want 1, 1 and none", len(sent), job.promised.Revision, controller.promises.durableDate(spec.ID, &open))
	}
	request := writes()[0]
	controller.effects = nil
	controller.handleCommand(message.StoreResponse{ID: request.ID, Status: message.StoreOK, Revision: 7})
	controller.promises.applyPage(&cache.promisePages, message.KeyValue{Key: request.Writes[0].Key, ModRevision: 7, Value: request.Writes[0].Value})
	tick(promise.MinRevisionInterval - 2*dateCheckInterval)
	if job.promised.Revision != 1 || controller.promises.durableDate(spec.ID, &open).Revision != 1 {
		t.Errorf("within a minute: got revision %d, reported date %v; want revision 1 for both", job.promised.Revision, controller.promises.durableDate(spec.ID, &open))
	}
	tick(4 * dateCheckInterval)
	if sent := writes(); job.promised.Revision != 2 || len(sent) != 1 || controller.promises.durableDate(spec.ID, &open).Revision != 1 {
		t.Errorf("after a minute: got revision %d, %d writes, reported date %v; want 2, 1 and revision 1", job.promised.Revision, len(sent), controller.promises.durableDate(spec.ID, &open))
	}
}

// TestNoNewDateAfterEndRecord guards against a newer date than that of the end record. A write of the end
// record that got no response may still be applied, with the date that it has, so no other date may
// be decided after it.
func TestNoNewDateAfterEndRecord(t *testing.T) {
	controller, team := newPromisingController(t)
	controller.membership.leaseValidUntil = controller.now.Add(time.Hour)
	doneJob := controller.shardLeader.addJob(model.JobSpec{ID: "job-1", Workload: "w", Team: team, Tasks: 1, Need: model.Resources{CPU: 1}, ExpectedRunTime: time.Minute}, controller.now, 3)
	doneJob.promised, doneJob.promisedAt = promise.Date{After: 5 * time.Minute, Revision: 1}, controller.now
	doneJob.nextFresh, doneJob.doneTasks, doneJob.tasks[0].done = 1, 1, true
	controller.now = controller.now.Add(290 * time.Second)
	controller.effects = nil
	controller.shardLeader.persistence.writeEndBatch([]*job{doneJob})
	controller.requests.storeCallbacks[sentStoreRequests(controller)[0].ID](message.StoreResponse{Status: message.StoreUnknown})
	for range 60 {
		controller.now = controller.now.Add(dateCheckInterval)
		controller.runTimers()
		controller.promises.tick()
	}
	if doneJob.ending || doneJob.promised.Revision != 1 {
		t.Errorf("got ending %v with date revision %d, want false with 1, the revision in the end record that may still be applied", doneJob.ending, doneJob.promised.Revision)
	}
}

// TestTotalsAreReadAgain guards against jobs that are counted twice or not at all. A write of
// totals that got no response may have been applied or not, so the leader must read the record
// before it continues counting.
func TestTotalsAreReadAgain(t *testing.T) {
	controller, _ := newPromisingController(t)
	controller.leader, controller.membership.leaseValidUntil = newLeader(controller), controller.now.Add(time.Minute)
	last := func() message.StoreRequest {
		t.Helper()
		for _, request := range emittedEffects[message.StoreRequest](controller) {
			if controller.requests.storeCallbacks[request.ID] != nil && (request.Key == record.TotalsKey || len(request.Writes) > 0 && request.Writes[0].Key == record.TotalsKey) {
				controller.effects = nil
				return request
			}
		}
		t.Fatal("got no read or write of the totals record, want one")
		return message.StoreRequest{}
	}
	totals := &controller.promises.totals
	totals.leadership, totals.modRevision, totals.inFlight = controller.leader, 7, true
	controller.promises.writeTotals(&promise.Totals{Revision: 5}, true)
	controller.requests.storeCallbacks[last().ID](message.StoreResponse{Status: message.StoreUnknown})
	controller.promises.totalsLoop()
	if request := last(); request.Kind != message.OpGet {
		t.Errorf("got request %+v after a write without a response, want a read of the record", request)
	}
}

// TestTeamKeys guards against records that can't be found. A record is read by its key in a URL
// path, where a key with escaped characters would be taken for another key than the one under which
// the record was written.
func TestTeamKeys(t *testing.T) {
	seen := map[string]string{}
	for _, team := range []string{"ops", "a b", "a/b", "a%20b", "a?b", "a#b", "a.b", "~ops", "é", strings.Repeat("x", 300), ""} {
		key := teamPagePrefix(team) + "0"
		parsed, err := url.Parse("http://state/store/" + key)
		if err != nil || parsed.Path != "/store/"+key || len(key) > sizelimit.MaxKeyBytes {
			t.Errorf("%q: got key %q, parsed from the URL as %v (error %v), want the same key, of at most %d bytes", team, key, parsed, err, sizelimit.MaxKeyBytes)
		}
		if other, same := seen[key]; same {
			t.Errorf("%q: got key %q, which is also that of %q, want a unique key", team, key, other)
		}
		seen[key] = team
	}
}

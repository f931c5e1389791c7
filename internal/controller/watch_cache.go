package controller

import (
	"time"

	"github.com/micahill/micahill/internal/message"
	"github.com/micahill/micahill/internal/model"
	"github.com/micahill/micahill/internal/pipeline"
	"github.com/micahill/micahill/internal/promise"
	"github.com/micahill/micahill/internal/record"
)

const (
	// minRefreshInterval separates two reads for users' requests. Requests in between share the
	// next one: the store doesn't notice the number of polls, which grows with that of jobs.
	minRefreshInterval = 150 * time.Millisecond
	// maxRefreshInterval keeps the cache from falling far behind when nobody asks. A shard leader
	// reads more often; see internal/renewalbound.
	maxRefreshInterval = 10 * time.Second
)

// watchCache is this controller's copy of the open jobs, the records under open/. Every
// controller has one from its start to its end; failover does not touch it. Others read
// openJobs and asOf, and write nothing.
//
// Invariants: the copy is exact as of revision, and every change is applied once and in
// order. An answer rests on it only after a read that began after the request (refresh,
// readJob). asOf never goes back.
type watchCache struct {
	component

	// loaded: the copy is complete. loading: it is being read from the start.
	loaded  bool
	loading bool

	// The copy: all that was written before asOf is in it. That is when the newest read or
	// watch that got its answer was sent; answers that prolong leases are bounded by it, see
	// renewal_bound.go.
	revision uint64
	asOf     time.Time
	openJobs map[string]openJob
	// dependencyGraph has the jobs that depend on others, as of the same revision; see
	// dependencies.go.
	dependencyGraph *pipeline.Graph
	// promisePages are the promised dates, stored beside the jobs.
	promisePages promise.Pages

	// watching: a watch is open. Only shard leaders have one.
	watching bool

	// Reads for users' requests: who waits for the one in flight, who for the one after it,
	// and whether that is scheduled.
	readWaiters, nextReadWaiters []func(ok bool)
	readInFlight                 bool
	lastReadAt                   time.Time
	refreshScheduled             bool
}

// openJob is the record of an open job, with its mod revision.
type openJob struct {
	modRevision uint64
	rec         record.OpenJob
}

// start reads open/ and keeps the copy fresh from then on.
func (w *watchCache) start() {
	if w.loaded || w.loading {
		return
	}
	w.load()
	w.keepFresh()
}

// keepFresh reads when nobody has asked for long. It calls itself again.
func (w *watchCache) keepFresh() {
	every := maxRefreshInterval
	if w.controller.shardLeader != nil {
		every = min(every, w.settings.RenewalBound().ReadInterval())
	}
	w.after(every, w.keepFresh)
	if w.loaded && w.now.Sub(w.lastReadAt) >= every {
		w.refresh(func(bool) {})
	}
}

// load reads open/ from the start, a page at a time.
func (w *watchCache) load() {
	w.loading, w.loaded = true, false
	open, pages := map[string]openJob{}, w.promisePages.ForReRead()
	var revision uint64
	var began time.Time
	var list func(from string)
	list = func(from string) {
		request := message.StoreRequest{Kind: message.OpList, Priority: message.PriorityUser, Key: record.OpenJobPrefix, StartAfter: from}
		w.controller.requests.toStore(request, func(d message.StoreResponse) {
			if d.Status != message.StoreOK {
				w.after(w.jitter(storeRetryDelay), func() { list(from) })
				return
			}
			if from == "" {
				revision, began = d.Revision, d.SentAt
			}
			for _, kv := range d.KeyValues {
				if !w.controller.promises.applyPage(&pages, kv) {
					applyOpenJobRecord(open, kv)
				}
			}
			if d.Truncated && len(d.KeyValues) > 0 {
				list(d.KeyValues[len(d.KeyValues)-1].Key)
				return
			}
			// Later pages may hold later changes. The next read, from the revision of the
			// first page, brings them again in order.
			w.openJobs, w.promisePages, w.revision, w.loaded, w.loading = open, pages, revision, true, false
			w.asOf = later(w.asOf, began)
			w.rebuildDependencyGraph()
			w.controller.syncOpenJobs()
			w.startNextRefresh()
			w.watchOpenJobs()
		})
	}
	list("")
}

// applyOpenJobUpdates applies the answer of a read or a watch: all changes after a revision that
// was known. Two may be in flight; a change that both bring is applied once.
func (w *watchCache) applyOpenJobUpdates(d message.StoreResponse) {
	for _, kv := range d.KeyValues {
		if kv.ModRevision > w.revision && !w.controller.promises.applyPage(&w.promisePages, kv) {
			applyOpenJobRecord(w.openJobs, kv)
			w.updateDependencyGraph(kv)
			if w.controller.shardLeader != nil {
				w.controller.shardLeader.applyOpenJob(kv)
			}
		}
	}
	w.revision = max(w.revision, d.Revision)
	w.asOf = later(w.asOf, d.SentAt)
}

// watchOpenJobs keeps a watch open as long as this controller leads a shard, so that it learns
// of new jobs at once.
func (w *watchCache) watchOpenJobs() {
	if w.watching || !w.loaded || w.controller.shardLeader == nil {
		return
	}
	w.watching = true
	request := message.StoreRequest{
		Kind: message.OpWatch, Priority: message.PriorityMembership,
		Key: record.OpenJobPrefix, Revision: w.revision, WatchTimeout: watchTimeout,
	}
	w.controller.requests.toStore(request, func(d message.StoreResponse) {
		w.watching = false
		switch {
		case !w.loaded:
			// It is being read from the start.
		case d.Status == message.StoreOK:
			w.applyOpenJobUpdates(d)
			w.watchOpenJobs()
		case d.Status == message.StoreCompacted:
			w.load()
		default:
			w.after(w.jitter(storeRetryDelay), w.watchOpenJobs)
		}
	})
}

// applyOpenJobRecord applies one change to a copy of open/.
func applyOpenJobRecord(open map[string]openJob, kv message.KeyValue) {
	id := record.JobIDFromKey(kv.Key, record.OpenJobPrefix)
	if kv.Deleted {
		delete(open, id)
		return
	}
	var r record.OpenJob
	if record.Decode(kv.Value, &r) {
		open[id] = openJob{kv.ModRevision, r}
	}
}

// refresh calls fn when the copy is as of a moment after this call, or with false when the
// store gives no answer.
func (w *watchCache) refresh(fn func(ok bool)) {
	w.nextReadWaiters = append(w.nextReadWaiters, fn)
	w.startNextRefresh()
}

// startNextRefresh sends the read that requests wait for, if none is in flight.
func (w *watchCache) startNextRefresh() {
	if w.readInFlight || !w.loaded || len(w.nextReadWaiters) == 0 || w.refreshScheduled {
		return
	}
	if wait := w.lastReadAt.Add(minRefreshInterval).Sub(w.now); wait > 0 {
		w.refreshScheduled = true
		w.after(wait, func() {
			w.refreshScheduled = false
			w.startNextRefresh()
		})
		return
	}
	w.readWaiters, w.nextReadWaiters, w.readInFlight, w.lastReadAt = w.nextReadWaiters, nil, true, w.now
	request := message.StoreRequest{Kind: message.OpWatch, Priority: message.PriorityUser, Key: record.OpenJobPrefix, Revision: w.revision}
	w.controller.requests.toStore(request, func(d message.StoreResponse) {
		w.readInFlight = false
		waiters := w.readWaiters
		w.readWaiters = nil
		ok := d.Status == message.StoreOK
		if ok && w.loaded {
			w.applyOpenJobUpdates(d)
		}
		if d.Status == message.StoreCompacted || ok && !w.loaded {
			// Too far behind: read it from the start. Whoever asked waits for that.
			w.nextReadWaiters = append(waiters, w.nextReadWaiters...)
			if !w.loading {
				w.load()
			}
			return
		}
		for _, fn := range waiters {
			fn(ok)
		}
		w.startNextRefresh()
	})
}

// jobLookup is what the store has of a job.
type jobLookup struct {
	// ok: the store answered. accepted: the job was accepted at some time.
	ok, accepted bool
	rec          record.JobStatus
	// modRevision and open are of the open record, while the job is not over.
	modRevision uint64
	open        record.OpenJob
	// promisedDate is its newest date, as of the same moment, while it is not over.
	promisedDate promise.Date
}

// readJob reads what is durable of a job, as of a moment after this call.
func (w *watchCache) readJob(id string, fn func(jobLookup)) {
	w.readJobUsing(id, w.controller.frontend.lookupWithDependencies, fn)
}

// readJobRecord is readJob without what follows from the job's dependencies.
func (w *watchCache) readJobRecord(id string, fn func(jobLookup)) {
	w.readJobUsing(id, w.lookupOfOpenJob, fn)
}

// readJobUsing is either, with onOpen for a job that is open.
func (w *watchCache) readJobUsing(id string, onOpen func(string, *openJob, func(jobLookup)), fn func(jobLookup)) {
	w.refresh(func(ok bool) {
		if !ok {
			fn(jobLookup{})
			return
		}
		if cached, open := w.openJobs[id]; open {
			onOpen(id, &cached, fn)
			return
		}
		// Over, or never accepted.
		w.controller.frontend.readStatusRecord(id, func(d message.StoreResponse) {
			if d.Status == message.StoreNotFound && w.now.Sub(w.controller.frontend.acceptedAt[id]) <= userRequestTimeout {
				// It was accepted after the open records were read.
				w.readJobUsing(id, onOpen, fn)
				return
			}
			lookup := jobLookup{ok: d.Status == message.StoreOK || d.Status == message.StoreNotFound, accepted: d.Status == message.StoreOK}
			if lookup.accepted && (len(d.KeyValues) != 1 || !record.Decode(d.KeyValues[0].Value, &lookup.rec)) {
				lookup.ok = false
			}
			fn(lookup)
		})
	})
}

// lookupOfOpenJob is what an open job's own record says.
func (w *watchCache) lookupOfOpenJob(id string, cached *openJob, fn func(jobLookup)) {
	lookup := jobLookup{
		ok: true, accepted: true,
		modRevision: cached.modRevision, open: cached.rec,
		rec:          record.JobStatus{Status: model.Queued, Tasks: cached.rec.Tasks},
		promisedDate: w.controller.promises.durableDate(id, cached),
	}
	if cached.rec.Cancelled {
		lookup.rec.Status = model.Cancelled
	}
	fn(lookup)
}

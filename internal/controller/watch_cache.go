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
	// minRefreshInterval is the least time between two reads for user requests. Requests that
	// arrive in between share the next read, so the store's load does not grow with the number
	// of polls, which grows with the number of jobs.
	minRefreshInterval = 150 * time.Millisecond
	// maxRefreshInterval is the longest time between two reads while no request arrives, so that
	// the cache does not fall far behind. A shard leader reads more often; see
	// internal/renewalbound.
	maxRefreshInterval = 10 * time.Second
)

// watchCache is this controller's copy of the open jobs, the records under open/. Every
// controller keeps its cache from start to exit; failover does not touch it. Other components
// read openJobs and asOf, and write no field.
//
// Invariants: the copy is exact as of revision, and every change is applied once and in order.
// A reply to a user rests on the copy only after a read that began after the request (refresh, readJob).
// asOf never goes back.
type watchCache struct {
	component

	// loaded says that the copy is complete, and loading that it is being read from the start.
	loaded  bool
	loading bool

	// The copy contains every write that took effect before asOf. asOf is when the newest
	// answered read or watch was sent. Replies that extend leases are bounded by it; see
	// renewal_bound.go.
	revision uint64
	asOf     time.Time
	openJobs map[string]openJob
	// dependencyGraph holds the jobs that depend on other jobs, as of the same revision; see
	// dependencies.go.
	dependencyGraph *pipeline.Graph
	// promisePages holds the promised dates, which are stored next to the jobs.
	promisePages promise.Pages

	// watching says that a watch is open. Only shard leaders have a watch.
	watching bool

	// Reads for user requests: the callbacks that wait for the read in flight, those that wait
	// for the read after it, and whether that next read is scheduled.
	readWaiters, nextReadWaiters []func(ok bool)
	readInFlight                 bool
	lastReadAt                   time.Time
	refreshScheduled             bool
}

// openJob is the record of an open job with its mod revision.
type openJob struct {
	modRevision uint64
	rec         record.OpenJob
}

// start reads open/ and keeps the copy fresh from then on.
func (cache *watchCache) start() {
	if cache.loaded || cache.loading {
		return
	}
	cache.load()
	cache.keepFresh()
}

// keepFresh reads the changes when no read has been sent for the refresh interval, and schedules
// itself again.
func (cache *watchCache) keepFresh() {
	interval := maxRefreshInterval
	if cache.controller.shardLeader != nil {
		interval = min(interval, cache.settings.RenewalBound().ReadInterval())
	}
	cache.after(interval, cache.keepFresh)
	if cache.loaded && cache.now.Sub(cache.lastReadAt) >= interval {
		cache.refresh(func(bool) {})
	}
}

// load reads open/ from the start, page by page.
func (cache *watchCache) load() {
	cache.loading, cache.loaded = true, false
	open, pages := map[string]openJob{}, cache.promisePages.ForReRead()
	var revision uint64
	var firstSentAt time.Time
	var list func(from string)
	list = func(from string) {
		request := message.StoreRequest{Kind: message.OpList, Priority: message.PriorityUser, Key: record.OpenJobPrefix, StartAfter: from}
		cache.controller.requests.toStore(request, func(response message.StoreResponse) {
			if response.Status != message.StoreOK {
				cache.after(cache.jitter(storeRetryDelay), func() { list(from) })
				return
			}
			if from == "" {
				revision, firstSentAt = response.Revision, response.SentAt
			}
			for _, kv := range response.KeyValues {
				if !cache.controller.promises.applyPage(&pages, kv) {
					applyOpenJobRecord(open, kv)
				}
			}
			if response.Truncated && len(response.KeyValues) > 0 {
				list(response.KeyValues[len(response.KeyValues)-1].Key)
				return
			}
			// Later pages may contain later changes. The next read starts at the revision of the
			// first page and brings these changes again, in order.
			cache.openJobs, cache.promisePages, cache.revision, cache.loaded, cache.loading = open, pages, revision, true, false
			cache.asOf = later(cache.asOf, firstSentAt)
			cache.rebuildDependencyGraph()
			cache.controller.syncOpenJobs()
			cache.startNextRefresh()
			cache.watchOpenJobs()
		})
	}
	list("")
}

// applyOpenJobUpdates applies the response to a read or a watch: all changes after a revision that
// this copy had reached. Two responses may overlap; a change in both is applied once.
func (cache *watchCache) applyOpenJobUpdates(response message.StoreResponse) {
	for _, kv := range response.KeyValues {
		if kv.ModRevision > cache.revision && !cache.controller.promises.applyPage(&cache.promisePages, kv) {
			applyOpenJobRecord(cache.openJobs, kv)
			cache.updateDependencyGraph(kv)
			if cache.controller.shardLeader != nil {
				cache.controller.shardLeader.applyOpenJob(kv)
			}
		}
	}
	cache.revision = max(cache.revision, response.Revision)
	cache.asOf = later(cache.asOf, response.SentAt)
}

// watchOpenJobs keeps a watch open as long as this controller leads a shard, so that the shard
// leader learns of new jobs at once.
func (cache *watchCache) watchOpenJobs() {
	if cache.watching || !cache.loaded || cache.controller.shardLeader == nil {
		return
	}
	cache.watching = true
	request := message.StoreRequest{
		Kind: message.OpWatch, Priority: message.PriorityMembership,
		Key: record.OpenJobPrefix, Revision: cache.revision, WatchTimeout: watchTimeout,
	}
	cache.controller.requests.toStore(request, func(response message.StoreResponse) {
		cache.watching = false
		switch {
		case !cache.loaded:
			// The copy is being read from the start.
		case response.Status == message.StoreOK:
			cache.applyOpenJobUpdates(response)
			cache.watchOpenJobs()
		case response.Status == message.StoreCompacted:
			cache.load()
		default:
			cache.after(cache.jitter(storeRetryDelay), cache.watchOpenJobs)
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
	var rec record.OpenJob
	if record.Decode(kv.Value, &rec) {
		open[id] = openJob{kv.ModRevision, rec}
	}
}

// refresh calls fn with true when the copy is as of a moment after this call, or with false if
// the store does not answer.
func (cache *watchCache) refresh(fn func(ok bool)) {
	cache.nextReadWaiters = append(cache.nextReadWaiters, fn)
	cache.startNextRefresh()
}

// startNextRefresh sends the read that the waiting requests need, unless a read is in flight. It
// delays the read until minRefreshInterval has passed since the last one.
func (cache *watchCache) startNextRefresh() {
	if cache.readInFlight || !cache.loaded || len(cache.nextReadWaiters) == 0 || cache.refreshScheduled {
		return
	}
	if wait := cache.lastReadAt.Add(minRefreshInterval).Sub(cache.now); wait > 0 {
		cache.refreshScheduled = true
		cache.after(wait, func() {
			cache.refreshScheduled = false
			cache.startNextRefresh()
		})
		return
	}
	cache.readWaiters, cache.nextReadWaiters, cache.readInFlight, cache.lastReadAt = cache.nextReadWaiters, nil, true, cache.now
	request := message.StoreRequest{Kind: message.OpWatch, Priority: message.PriorityUser, Key: record.OpenJobPrefix, Revision: cache.revision}
	cache.controller.requests.toStore(request, func(response message.StoreResponse) {
		cache.readInFlight = false
		waiters := cache.readWaiters
		cache.readWaiters = nil
		ok := response.Status == message.StoreOK
		if ok && cache.loaded {
			cache.applyOpenJobUpdates(response)
		}
		if response.Status == message.StoreCompacted || ok && !cache.loaded {
			// The copy is too far behind, so it is read from the start. The waiting requests
			// wait for that.
			cache.nextReadWaiters = append(waiters, cache.nextReadWaiters...)
			if !cache.loading {
				cache.load()
			}
			return
		}
		for _, fn := range waiters {
			fn(ok)
		}
		cache.startNextRefresh()
	})
}

// jobLookup is what the store contains of a job.
type jobLookup struct {
	// ok says that the store answered. accepted says that the job was accepted at some time.
	ok, accepted bool
	rec          record.JobStatus
	// modRevision and open are those of the open record, while the job is not over.
	modRevision uint64
	open        record.OpenJob
	// promisedDate is the job's newest promised date as of the same moment, while the job is not
	// over.
	promisedDate promise.Date
}

// readJob calls fn with the job's durable state as of a moment after this call. An open job with
// a cancelled dependency counts as cancelled.
func (cache *watchCache) readJob(id string, fn func(jobLookup)) {
	cache.readJobUsing(id, cache.controller.frontend.lookupWithDependencies, fn)
}

// readJobRecord is readJob without regard to the job's dependencies.
func (cache *watchCache) readJobRecord(id string, fn func(jobLookup)) {
	cache.readJobUsing(id, cache.lookupOfOpenJob, fn)
}

// readJobUsing implements readJob and readJobRecord. It calls onOpen for a job that is open.
func (cache *watchCache) readJobUsing(id string, onOpen func(string, *openJob, func(jobLookup)), fn func(jobLookup)) {
	cache.refresh(func(ok bool) {
		if !ok {
			fn(jobLookup{})
			return
		}
		if cached, open := cache.openJobs[id]; open {
			onOpen(id, &cached, fn)
			return
		}
		// The job is over or was never accepted.
		cache.controller.frontend.readStatusRecord(id, func(response message.StoreResponse) {
			if response.Status == message.StoreNotFound && cache.now.Sub(cache.controller.frontend.acceptedAt[id]) <= userRequestTimeout {
				// The job was accepted after the open records were read.
				cache.readJobUsing(id, onOpen, fn)
				return
			}
			lookup := jobLookup{ok: response.Status == message.StoreOK || response.Status == message.StoreNotFound, accepted: response.Status == message.StoreOK}
			if lookup.accepted && (len(response.KeyValues) != 1 || !record.Decode(response.KeyValues[0].Value, &lookup.rec)) {
				lookup.ok = false
			}
			fn(lookup)
		})
	})
}

// lookupOfOpenJob calls fn with what an open job's own record says.
func (cache *watchCache) lookupOfOpenJob(id string, cached *openJob, fn func(jobLookup)) {
	lookup := jobLookup{
		ok: true, accepted: true,
		modRevision: cached.modRevision, open: cached.rec,
		rec:          record.JobStatus{Status: model.Queued, Tasks: cached.rec.Tasks},
		promisedDate: cache.controller.promises.durableDate(id, cached),
	}
	if cached.rec.Cancelled {
		lookup.rec.Status = model.Cancelled
	}
	fn(lookup)
}

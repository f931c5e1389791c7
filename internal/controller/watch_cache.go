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
	// minRefreshInterval separates two reads for what users ask. Those that ask in
	// between share the next one, so that the number of polls, which grows with
	// that of living jobs, is none for the state service.
	minRefreshInterval = 150 * time.Millisecond
	// maxRefreshInterval keeps the picture from falling far behind when nobody asks. An owner
	// reads more often; see internal/renewalbound.
	maxRefreshInterval = 10 * time.Second
)

// watchCache is this node's picture of open/, the jobs that are not over. An answer
// rests on it only after it was brought up to date by a read that began after
// the question came.
type watchCache struct {
	component

	loaded  bool
	loading bool
	// rev: the picture is exact as of this revision. asOf is this node's horizon: all
	// that was written before it is in the picture. It is the sending of the newest read
	// or watch that was answered; see renewal_bound.go.
	revision uint64
	asOf     time.Time
	openJobs map[string]openJob
	// dependencyGraph has the jobs that need others, as of the same revision; see dependencies.go.
	dependencyGraph *pipeline.Graph
	// promisePages are the promised dates that stand beside them.
	promisePages promise.Pages
	// watching: a watch is open, as long as this node is an owner.
	watching bool
	// readWaiters wait for the read under way, next for one that has not begun.
	readWaiters, nextReadWaiters []func(ok bool)
	readInFlight                 bool
	lastReadAt                   time.Time
	refreshScheduled             bool
}

// openJob is a job in open/.
type openJob struct {
	modRevision uint64
	rec         record.OpenJob
}

// start reads open/ and keeps the picture from ageing.
func (w *watchCache) start() {
	if w.loaded || w.loading {
		return
	}
	w.load()
	w.keepFresh()
}

func (w *watchCache) keepFresh() {
	every := maxRefreshInterval
	if w.controller.shardLeader != nil {
		every = min(every, w.settings.RenewalBound().ReadInterval())
	}
	w.after(every, w.keepFresh)
	if m := w; m.loaded && w.now.Sub(m.lastReadAt) >= every {
		w.refresh(func(bool) {})
	}
}

func (w *watchCache) load() {
	w.loading, w.loaded = true, false
	open, pages := map[string]openJob{}, w.promisePages.ForReRead()
	var revision uint64
	var began time.Time
	var list func(from string)
	list = func(from string) {
		w.controller.requests.toStore(message.StoreRequest{Kind: message.OpList, Priority: message.PriorityUser, Key: record.OpenJobPrefix, StartAfter: from}, func(d message.StoreResponse) {
			if d.Status != message.StoreOK {
				w.after(w.jitter(storeRetryDelay), func() { list(from) })
				return
			}
			if from == "" {
				revision, began = d.Revision, d.SentAt
			}
			for _, it := range d.KeyValues {
				if !w.controller.promises.applyPage(&pages, it) {
					applyOpenJobRecord(open, it)
				}
			}
			if d.Truncated && len(d.KeyValues) > 0 {
				list(d.KeyValues[len(d.KeyValues)-1].Key)
				return
			}
			// Later pages tell of later changes, which the next read, from the
			// revision of the first, brings again in order.
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

// applyOpenJobUpdates takes in what a read or a watch has brought, all changes after a revision
// that was known. Two may be under way; of what both bring each change counts once.
func (w *watchCache) applyOpenJobUpdates(d message.StoreResponse) {
	for _, it := range d.KeyValues {
		if it.ModRevision > w.revision && !w.controller.promises.applyPage(&w.promisePages, it) {
			applyOpenJobRecord(w.openJobs, it)
			w.updateDependencyGraph(it)
			if w.controller.shardLeader != nil {
				w.controller.shardLeader.applyOpenJob(it)
			}
		}
	}
	w.revision = max(w.revision, d.Revision)
	w.asOf = later(w.asOf, d.SentAt)
}

// watchOpenJobs lets an owner hear of new jobs at once.
func (w *watchCache) watchOpenJobs() {
	if w.watching || !w.loaded || w.controller.shardLeader == nil {
		return
	}
	w.watching = true
	w.controller.requests.toStore(message.StoreRequest{Kind: message.OpWatch, Priority: message.PriorityMembership, Key: record.OpenJobPrefix, Revision: w.revision, WatchTimeout: watchTimeout}, func(d message.StoreResponse) {
		w.watching = false
		switch {
		case !w.loaded:
			// Being read again.
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

func applyOpenJobRecord(open map[string]openJob, it message.KeyValue) {
	id := record.JobIDFromKey(it.Key, record.OpenJobPrefix)
	if it.Deleted {
		delete(open, id)
		return
	}
	var r record.OpenJob
	if record.Decode(it.Value, &r) {
		open[id] = openJob{it.ModRevision, r}
	}
}

// refresh calls fn once the picture is as of a moment after this call, or with
// false when it can't be had.
func (w *watchCache) refresh(fn func(ok bool)) {
	w.nextReadWaiters = append(w.nextReadWaiters, fn)
	w.startNextRefresh()
}

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
	w.controller.requests.toStore(message.StoreRequest{Kind: message.OpWatch, Priority: message.PriorityUser, Key: record.OpenJobPrefix, Revision: w.revision}, func(d message.StoreResponse) {
		w.readInFlight = false
		waiters := w.readWaiters
		w.readWaiters = nil
		ok := d.Status == message.StoreOK
		if ok && w.loaded {
			w.applyOpenJobUpdates(d)
		}
		if d.Status == message.StoreCompacted || ok && !w.loaded {
			// Too far behind: read it all again. Who asked waits for that.
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

// jobLookup is what the state service says of a job.
type jobLookup struct {
	// ok: it could be asked. known: the job was accepted at some time.
	ok, accepted bool
	rec          record.JobStatus
	// modRevision is that of open/, while the job is not over, and open what it says.
	modRevision uint64
	open        record.OpenJob
	// promisedDate is its newest date, as of the same moment, while it is not over.
	promisedDate promise.Date
}

// readJob tells what is durable of a job, as of a moment after this call.
func (w *watchCache) readJob(id string, fn func(jobLookup)) {
	w.readJobUsing(id, w.controller.frontend.lookupWithDependencies, fn)
}

// readJobRecord tells the same but for what follows from the jobs that it needs.
func (w *watchCache) readJobRecord(id string, fn func(jobLookup)) {
	w.readJobUsing(id, w.lookupOfOpenJob, fn)
}

func (w *watchCache) readJobUsing(id string, onOpen func(string, *openJob, func(jobLookup)), fn func(jobLookup)) {
	w.refresh(func(ok bool) {
		if !ok {
			fn(jobLookup{})
			return
		}
		if l, there := w.openJobs[id]; there {
			onOpen(id, &l, fn)
			return
		}
		// Over, or never accepted.
		w.controller.frontend.readStatusRecord(id, func(d message.StoreResponse) {
			if d.Status == message.StoreNotFound && w.now.Sub(w.controller.frontend.acceptedAt[id]) <= userRequestTimeout {
				// Somebody was told since it was read.
				w.readJobUsing(id, onOpen, fn)
				return
			}
			f := jobLookup{ok: d.Status == message.StoreOK || d.Status == message.StoreNotFound, accepted: d.Status == message.StoreOK}
			if f.accepted && (len(d.KeyValues) != 1 || !record.Decode(d.KeyValues[0].Value, &f.rec)) {
				f.ok = false
			}
			fn(f)
		})
	})
}

// lookupOfOpenJob tells of an open job by its own record.
func (w *watchCache) lookupOfOpenJob(id string, l *openJob, fn func(jobLookup)) {
	f := jobLookup{ok: true, accepted: true, modRevision: l.modRevision, open: l.rec, rec: record.JobStatus{Status: model.Queued, Tasks: l.rec.Tasks}, promisedDate: w.controller.promises.durableDate(id, l)}
	if l.rec.Cancelled {
		f.rec.Status = model.Cancelled
	}
	fn(f)
}

package controller

import (
	"slices"
	"strings"

	"github.com/micahill/micahill/internal/message"
	"github.com/micahill/micahill/internal/model"
	"github.com/micahill/micahill/internal/readbatch"
	"github.com/micahill/micahill/internal/record"
)

// queryJob answers a user who asks for a job's state.
func (f *frontend) queryJob(c message.QueryJob) {
	if s, ok := f.finalStatuses[c.ID]; ok {
		f.emit(withReply(f.replyWithStatus(c.ID, s), c.Reply))
		return
	}
	if f.refuseIfUnavailable(c.Reply, c.ID, nil) {
		return
	}
	f.answerFromRecord(f.newUserRequest(c.Reply, c.ID), 404, "no such job")
}

// answerFromRecord answers with the job's state if it was ever accepted, and else with status
// and reason.
func (f *frontend) answerFromRecord(request *userRequest, status int, reason string) {
	f.watchCache.readJob(request.id, func(lookup jobLookup) {
		switch {
		case !lookup.ok:
			f.refuseRequest(request, "the state service does not answer")
		case lookup.accepted:
			f.answerRequest(request, f.replyFor(request.id, lookup))
		default:
			r := message.UserReply{Status: status, Message: reason}
			if status == 503 {
				r.RetryAfter = retryAfter
			}
			f.answerRequest(request, r)
		}
	})
}

// replyFor is the answer from what has just been read of a job.
func (f *frontend) replyFor(id string, lookup jobLookup) message.UserReply {
	r := lookup.rec
	if r.Status.IsFinal() {
		f.cacheFinalStatus(id, r.Status)
		f.controller.promises.cacheDoneDate(id, r)
	}
	reply := f.replyWithStatus(id, r.Status)
	if r.Status == model.Done {
		reply.Done = r.Tasks
	} else if !r.Status.IsFinal() {
		reply = reply.WithDate(lookup.promisedDate)
	}
	return reply
}

// readStatusRecord gets job/<id> with a read that begins after this call. Many that wait together
// share few reads; see internal/readbatch.
func (f *frontend) readStatusRecord(id string, fn func(message.StoreResponse)) {
	f.statusWaiters[id] = append(f.statusWaiters[id], fn)
	f.readBatches.Request(id)
	f.sendReadBatches()
}

// sendReadBatches sends the reads that are due.
func (f *frontend) sendReadBatches() {
	for {
		r, ok := f.readBatches.Next()
		if !ok {
			return
		}
		if !f.batchRoundScheduled {
			f.batchRoundScheduled = true
			f.after(minRefreshInterval, func() {
				f.batchRoundScheduled = false
				f.readBatches.BeginRound()
				f.sendReadBatches()
			})
		}
		// The read answers those who asked before it began.
		waiters := map[string][]func(message.StoreResponse){}
		for _, id := range r.Requested() {
			waiters[id] = f.statusWaiters[id]
			delete(f.statusWaiters, id)
		}
		op := message.StoreRequest{Kind: message.OpGet, Priority: message.PriorityUser, Key: record.JobStatusPrefix + r.ID}
		if r.IsList {
			op.Kind, op.Key, op.StartAfter = message.OpList, record.JobStatusPrefix, record.JobStatusPrefix+r.After
		}
		f.controller.requests.toStore(op, func(d message.StoreResponse) { f.handleReadBatch(r, d, waiters) })
	}
}

// handleReadBatch passes the answer of a read to those who wait for it.
func (f *frontend) handleReadBatch(r readbatch.Read, d message.StoreResponse, waiters map[string][]func(message.StoreResponse)) {
	ok, last, found := d.Status == message.StoreOK, "", map[string]message.KeyValue{}
	for _, kv := range d.KeyValues {
		last = strings.TrimPrefix(kv.Key, record.JobStatusPrefix)
		found[last] = kv
		var rec record.JobStatus
		if r.IsList && record.Decode(kv.Value, &rec) && rec.Status.IsFinal() {
			// An end is for good, also if nobody asked for it.
			f.cacheFinalStatus(last, rec.Status)
			f.controller.promises.cacheDoneDate(last, rec)
		}
	}
	settled := f.readBatches.Complete(r, ok, last, d.Truncated && last != "")
	// What the list did not reach waits for the next read.
	for id, callbacks := range waiters {
		if !slices.Contains(settled, id) {
			f.statusWaiters[id] = append(callbacks, f.statusWaiters[id]...)
		}
	}
	for _, id := range settled {
		response := d
		if kv, listed := found[id]; r.IsList && ok && listed {
			response.KeyValues = []message.KeyValue{kv}
		} else if r.IsList && ok {
			response.Status, response.KeyValues = message.StoreNotFound, nil
		}
		for _, fn := range waiters[id] {
			fn(response)
		}
	}
	f.sendReadBatches()
}

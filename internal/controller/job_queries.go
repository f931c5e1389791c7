package controller

import (
	"slices"
	"strings"

	"github.com/micahill/micahill/internal/message"
	"github.com/micahill/micahill/internal/model"
	"github.com/micahill/micahill/internal/readbatch"
	"github.com/micahill/micahill/internal/record"
)

// queryJob handles a user's request for a job's state.
func (frontend *frontend) queryJob(command message.QueryJob) {
	if status, ok := frontend.finalStatuses[command.ID]; ok {
		frontend.emit(withReply(frontend.replyWithStatus(command.ID, status), command.Reply))
		return
	}
	if frontend.refuseIfUnavailable(command.Reply, command.ID, nil) {
		return
	}
	frontend.answerFromRecord(frontend.newUserRequest(command.Reply, command.ID), 404, "no such job")
}

// answerFromRecord reads the job's record and answers the request with the job's state. If the job
// was never accepted, it answers with the given HTTP status and reason.
func (frontend *frontend) answerFromRecord(request *userRequest, status int, reason string) {
	frontend.watchCache.readJob(request.id, func(lookup jobLookup) {
		switch {
		case !lookup.ok:
			frontend.refuseRequest(request, "the state service does not answer")
		case lookup.accepted:
			frontend.answerRequest(request, frontend.replyFor(request.id, lookup))
		default:
			reply := message.UserReply{Status: status, Message: reason}
			if status == 503 {
				reply.RetryAfter = retryAfter
			}
			frontend.answerRequest(request, reply)
		}
	})
}

// replyFor returns the reply to a user that describes a job as it has just been read.
func (frontend *frontend) replyFor(id string, lookup jobLookup) message.UserReply {
	rec := lookup.rec
	if rec.Status.IsFinal() {
		frontend.cacheFinalStatus(id, rec.Status)
		frontend.controller.promises.cacheDoneDate(id, rec)
	}
	reply := frontend.replyWithStatus(id, rec.Status)
	if rec.Status == model.Done {
		reply.Done = rec.Tasks
	} else if !rec.Status.IsFinal() {
		reply = reply.WithDate(lookup.promisedDate)
	}
	return reply
}

// readStatusRecord passes the record job/<id> to callback, from a read that begins after this call.
// Concurrent calls share reads; see internal/readbatch.
func (frontend *frontend) readStatusRecord(id string, callback func(message.StoreResponse)) {
	frontend.statusWaiters[id] = append(frontend.statusWaiters[id], callback)
	frontend.readBatches.Request(id)
	frontend.sendReadBatches()
}

// sendReadBatches sends the batched reads that are due.
func (frontend *frontend) sendReadBatches() {
	for {
		read, ok := frontend.readBatches.Next()
		if !ok {
			return
		}
		if !frontend.batchRoundScheduled {
			frontend.batchRoundScheduled = true
			frontend.after(minRefreshInterval, func() {
				frontend.batchRoundScheduled = false
				frontend.readBatches.BeginRound()
				frontend.sendReadBatches()
			})
		}
		// The read answers the callers that asked before it began.
		waiters := map[string][]func(message.StoreResponse){}
		for _, id := range read.Requested() {
			waiters[id] = frontend.statusWaiters[id]
			delete(frontend.statusWaiters, id)
		}
		request := message.StoreRequest{Kind: message.OpGet, Priority: message.PriorityUser, Key: record.JobStatusPrefix + read.ID}
		if read.IsList {
			request.Kind, request.Key, request.StartAfter = message.OpList, record.JobStatusPrefix, record.JobStatusPrefix+read.After
		}
		frontend.controller.requests.toStore(request, func(response message.StoreResponse) { frontend.handleReadBatch(read, response, waiters) })
	}
}

// handleReadBatch passes the response to a read to the callers in waiters.
func (frontend *frontend) handleReadBatch(read readbatch.Read, batchResponse message.StoreResponse, waiters map[string][]func(message.StoreResponse)) {
	succeeded, last, found := batchResponse.Status == message.StoreOK, "", map[string]message.KeyValue{}
	for _, kv := range batchResponse.KeyValues {
		last = strings.TrimPrefix(kv.Key, record.JobStatusPrefix)
		found[last] = kv
		var rec record.JobStatus
		if read.IsList && record.Decode(kv.Value, &rec) && rec.Status.IsFinal() {
			// A final status never changes, so it is cached even if no request asked for it.
			frontend.cacheFinalStatus(last, rec.Status)
			frontend.controller.promises.cacheDoneDate(last, rec)
		}
	}
	settled := frontend.readBatches.Complete(read, succeeded, last, batchResponse.Truncated && last != "")
	// Jobs beyond the part of the list that was returned wait for the next read.
	for id, callbacks := range waiters {
		if !slices.Contains(settled, id) {
			frontend.statusWaiters[id] = append(callbacks, frontend.statusWaiters[id]...)
		}
	}
	for _, id := range settled {
		response := batchResponse
		if kv, listed := found[id]; read.IsList && succeeded && listed {
			response.KeyValues = []message.KeyValue{kv}
		} else if read.IsList && succeeded {
			response.Status, response.KeyValues = message.StoreNotFound, nil
		}
		for _, callback := range waiters[id] {
			callback(response)
		}
	}
	frontend.sendReadBatches()
}

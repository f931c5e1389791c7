package controller

import (
	"github.com/micahill/micahill/internal/message"
	"github.com/micahill/micahill/internal/model"
	"github.com/micahill/micahill/internal/record"
)

// cancelJob handles a user's request to cancel a job.
func (frontend *frontend) cancelJob(command message.CancelJob) {
	if status, ok := frontend.finalStatuses[command.ID]; ok {
		frontend.emit(withReply(frontend.replyWithStatus(command.ID, status), command.Reply))
		return
	}
	if frontend.refuseIfUnavailable(command.Reply, command.ID, nil) {
		return
	}
	frontend.cancelOpenJob(frontend.newUserRequest(command.Reply, command.ID))
}

// cancelOpenJob reads a job and cancels it in the state that it read. If the job's record has
// changed in between, it reads the job again.
func (frontend *frontend) cancelOpenJob(request *userRequest) {
	frontend.watchCache.readJob(request.id, func(lookup jobLookup) {
		switch {
		case !lookup.ok:
			frontend.refuseRequest(request, "the state service does not answer")
			return
		case !lookup.accepted:
			frontend.answerRequest(request, message.UserReply{Status: 404, Message: "no such job"})
			return
		case lookup.rec.Status.IsFinal() || lookup.modRevision == 0:
			frontend.answerRequest(request, frontend.replyFor(request.id, lookup))
			return
		case request.answered:
			return
		case lookup.open.LentTo != "":
			frontend.controller.lending.cancelLentJob(request, lookup)
			return
		}
		frontend.storeCancellation(request, lookup)
	})
}

// storeCancellation writes the cancellation of an open job, on the condition that the job's record
// has not changed since lookup.
func (frontend *frontend) storeCancellation(request *userRequest, lookup jobLookup) {
	id := request.id
	// The record keeps the resources of the job's tasks: until the tasks are gone, they count
	// against their team's quota limit, also under a new shard leader.
	openRecord := lookup.open
	openRecord.Cancelled, openRecord.CancelledAtMillis = true, frontend.now.UnixMilli()
	openRecord.ShrinkToFit(frontend.settings.MaxValueBytes)
	open := record.Encode(openRecord)
	status := record.Encode(frontend.controller.promises.endRecordFromCache(id, model.Cancelled, &openJob{lookup.modRevision, lookup.open}))
	// Both records change in one transaction. The open record has to change, since every write of
	// a start compares its revision.
	txn := message.StoreRequest{
		Kind: message.OpTxn, Priority: message.PriorityUser,
		Compares: []message.Compare{{Key: record.OpenJobPrefix + id, ModRevision: lookup.modRevision}},
		Writes:   []message.Write{{Key: record.JobStatusPrefix + id, Value: status}, {Key: record.OpenJobPrefix + id, Value: open}},
	}
	frontend.controller.requests.toStore(txn, func(response message.StoreResponse) {
		switch response.Status {
		case message.StoreOK:
			frontend.cacheFinalStatus(id, model.Cancelled)
			frontend.controller.observeOwnWrite(message.KeyValue{Key: record.OpenJobPrefix + id, Value: open, ModRevision: response.Revision})
			frontend.controller.cancellations.publish(message.Cancellation{ID: id, Record: open, ModRevision: response.Revision}, frontend.settings.Peers)
			frontend.answerRequest(request, frontend.replyWithStatus(id, model.Cancelled))
		case message.StoreConflict:
			// The job finished or was cancelled in between: read it again.
			frontend.cancelOpenJob(request)
		default:
			frontend.refuseRequest(request, "the state service does not answer")
		}
	})
}

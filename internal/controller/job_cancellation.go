package controller

import (
	"github.com/micahill/micahill/internal/message"
	"github.com/micahill/micahill/internal/model"
	"github.com/micahill/micahill/internal/record"
)

// cancelJob handles a user's request to cancel a job.
func (f *frontend) cancelJob(command message.CancelJob) {
	if status, ok := f.finalStatuses[command.ID]; ok {
		f.emit(withReply(f.replyWithStatus(command.ID, status), command.Reply))
		return
	}
	if f.refuseIfUnavailable(command.Reply, command.ID, nil) {
		return
	}
	f.cancelOpenJob(f.newUserRequest(command.Reply, command.ID))
}

// cancelOpenJob reads a job and cancels it in the state that it read. If the job's record has
// changed in between, it reads the job again.
func (f *frontend) cancelOpenJob(request *userRequest) {
	f.watchCache.readJob(request.id, func(lookup jobLookup) {
		switch {
		case !lookup.ok:
			f.refuseRequest(request, "the state service does not answer")
			return
		case !lookup.accepted:
			f.answerRequest(request, message.UserReply{Status: 404, Message: "no such job"})
			return
		case lookup.rec.Status.IsFinal() || lookup.modRevision == 0:
			f.answerRequest(request, f.replyFor(request.id, lookup))
			return
		case request.answered:
			return
		case lookup.open.LentTo != "":
			f.controller.lending.cancelLentJob(request, lookup)
			return
		}
		f.storeCancellation(request, lookup)
	})
}

// storeCancellation writes the cancellation of an open job, on the condition that the job's record
// has not changed since lookup.
func (f *frontend) storeCancellation(request *userRequest, lookup jobLookup) {
	id := request.id
	// The record keeps the resources of the job's tasks: until the tasks are gone, they count
	// against their team's quota limit, also under a new shard leader.
	openRecord := lookup.open
	openRecord.Cancelled, openRecord.CancelledAtMillis = true, f.now.UnixMilli()
	openRecord.ShrinkToFit(f.settings.MaxValueBytes)
	open := record.Encode(openRecord)
	status := record.Encode(f.controller.promises.endRecordFromCache(id, model.Cancelled, &openJob{lookup.modRevision, lookup.open}))
	// Both records change in one transaction. The open record has to change, since every write of
	// a start compares its revision.
	txn := message.StoreRequest{
		Kind: message.OpTxn, Priority: message.PriorityUser,
		Compares: []message.Compare{{Key: record.OpenJobPrefix + id, ModRevision: lookup.modRevision}},
		Writes:   []message.Write{{Key: record.JobStatusPrefix + id, Value: status}, {Key: record.OpenJobPrefix + id, Value: open}},
	}
	f.controller.requests.toStore(txn, func(response message.StoreResponse) {
		switch response.Status {
		case message.StoreOK:
			f.cacheFinalStatus(id, model.Cancelled)
			f.controller.observeOwnWrite(message.KeyValue{Key: record.OpenJobPrefix + id, Value: open, ModRevision: response.Revision})
			f.controller.cancellations.publish(message.Cancellation{ID: id, Record: open, ModRevision: response.Revision}, f.settings.Peers)
			f.answerRequest(request, f.replyWithStatus(id, model.Cancelled))
		case message.StoreConflict:
			// The job finished or was cancelled in between: read it again.
			f.cancelOpenJob(request)
		default:
			f.refuseRequest(request, "the state service does not answer")
		}
	})
}

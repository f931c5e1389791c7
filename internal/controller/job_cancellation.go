package controller

import (
	"github.com/micahill/micahill/internal/message"
	"github.com/micahill/micahill/internal/model"
	"github.com/micahill/micahill/internal/record"
)

// cancelJob cancels a job for a user.
func (f *frontend) cancelJob(c message.CancelJob) {
	if s, ok := f.finalStatuses[c.ID]; ok {
		f.emit(withReply(f.replyWithStatus(c.ID, s), c.Reply))
		return
	}
	if f.refuseIfUnavailable(c.Reply, c.ID, nil) {
		return
	}
	f.cancelOpenJob(f.newUserRequest(c.Reply, c.ID))
}

// cancelOpenJob reads a job and cancels it as it was read; a conflict starts over.
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

// storeCancellation cancels an open job as it was read.
func (f *frontend) storeCancellation(request *userRequest, lookup jobLookup) {
	id := request.id
	// The resources of its tasks stay in the record: until the tasks are gone they count for
	// their team's quota limit, whoever leads the shard.
	rec := lookup.open
	rec.Cancelled, rec.CancelledAtMillis = true, f.now.UnixMilli()
	rec.ShrinkToFit(f.settings.MaxValueBytes)
	open := record.Encode(rec)
	status := record.Encode(f.controller.promises.endRecordFromCache(id, model.Cancelled, &openJob{lookup.modRevision, lookup.open}))
	// Both records change together: the revision of the open record guards starts.
	op := message.StoreRequest{
		Kind: message.OpTxn, Priority: message.PriorityUser,
		Compares: []message.Compare{{Key: record.OpenJobPrefix + id, ModRevision: lookup.modRevision}},
		Writes:   []message.Write{{Key: record.JobStatusPrefix + id, Value: status}, {Key: record.OpenJobPrefix + id, Value: open}},
	}
	f.controller.requests.toStore(op, func(d message.StoreResponse) {
		switch d.Status {
		case message.StoreOK:
			f.cacheFinalStatus(id, model.Cancelled)
			f.controller.observeOwnWrite(message.KeyValue{Key: record.OpenJobPrefix + id, Value: open, ModRevision: d.Revision})
			f.controller.cancellations.publish(message.Cancellation{ID: id, Record: open, ModRevision: d.Revision}, f.settings.Peers)
			f.answerRequest(request, f.replyWithStatus(id, model.Cancelled))
		case message.StoreConflict:
			// Done or cancelled in between: read again.
			f.cancelOpenJob(request)
		default:
			f.refuseRequest(request, "the state service does not answer")
		}
	})
}

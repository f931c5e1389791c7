package controller

import (
	"fmt"
	"slices"
	"time"

	"github.com/micahill/micahill/internal/message"
	"github.com/micahill/micahill/internal/model"
	"github.com/micahill/micahill/internal/promise"
	"github.com/micahill/micahill/internal/record"
	"github.com/micahill/micahill/internal/sizelimit"
)

const (
	// maxSubmitTxns bounds the submission transactions in flight. Submissions that wait
	// meanwhile share the next transaction.
	maxSubmitTxns = 3
	// submitOverheadBytes is the size of a submission in a transaction in addition to its
	// record: three keys and their enclosing fields.
	submitOverheadBytes = 512
)

// submission is a submitted job that is not durable yet.
type submission struct {
	request     *userRequest
	spec        model.JobSpec
	submittedAt time.Time
	// storeAlone says that the store rejected a transaction of several submissions as malformed,
	// this one among them. It is then stored in a transaction of its own.
	storeAlone bool
	// promisedAfter is the promised date as a duration after submittedAt; 0 if no date is
	// promised.
	promisedAfter time.Duration
}

// promisedDate returns the date that the reply to the submission reports.
func (submission *submission) promisedDate() promise.Date {
	rec := submission.openRecord()
	return rec.FirstDate()
}

// openRecord returns the record that makes the job open.
func (submission *submission) openRecord() record.OpenJob {
	rec := record.NewOpenJob(&submission.spec, submission.submittedAt)
	rec.PromisedMillis = int(submission.promisedAfter.Milliseconds())
	return rec
}

// submitJob checks a submitted job and queues it for the store.
func (frontend *frontend) submitJob(command message.SubmitJob) {
	id := command.Spec.ID
	if finalStatus, ok := frontend.finalStatuses[id]; ok {
		frontend.emit(withReply(frontend.replyWithStatus(id, finalStatus), command.Reply))
		return
	}
	if frontend.refuseIfUnavailable(command.Reply, id, &command.Spec) {
		return
	}
	request := frontend.newUserRequest(command.Reply, id)
	status, reason := 0, ""
	switch {
	case command.MalformedReason != "":
		status, reason = 400, command.MalformedReason
	case frontend.controller.knowledge.machineTypes == nil:
		frontend.answerFromRecord(request, 503, "machine types are not known yet")
		return
	default:
		command.Spec = frontend.restrictToFittingDisks(command.Spec)
		status, reason = frontend.validateSpec(&command.Spec)
	}
	if status != 0 {
		// A job that was accepted before is never called malformed or impossible, so its records
		// are read before the submission is refused.
		frontend.answerFromRecord(request, status, reason)
		return
	}
	submission := &submission{request: request, spec: command.Spec, submittedAt: frontend.now}
	frontend.checkDependenciesAccepted(request, command.Spec.Dependencies, func() {
		submission.promisedAfter = frontend.controller.promises.quoteDate(&submission.spec)
		frontend.submitQueue = append(frontend.submitQueue, submission)
	})
}

// flushSubmissions stores the queued submissions, many in one transaction. Step calls it after
// it has handled the commands of its batch.
func (frontend *frontend) flushSubmissions() {
	for len(frontend.submitQueue) > 0 && frontend.submitTxnsInFlight < maxSubmitTxns {
		var batch []*submission
		seen := map[string]bool{}
		size := 0
		for len(frontend.submitQueue) > 0 && len(batch) < frontend.settings.MaxTxnWrites {
			submission := frontend.submitQueue[0]
			if submission.request.answered {
				frontend.submitQueue = frontend.submitQueue[1:]
				continue
			}
			// Two submissions of one job in the same transaction would conflict.
			if seen[submission.spec.ID] || len(batch) > 0 && (submission.storeAlone || batch[0].storeAlone) {
				break
			}
			bytes, err := sizelimit.JSONSize(record.Encode(submission.openRecord()))
			if size += bytes + submitOverheadBytes; (err != nil || size > targetTxnBytes) && len(batch) > 0 {
				break
			}
			seen[submission.spec.ID] = true
			batch = append(batch, submission)
			frontend.submitQueue = frontend.submitQueue[1:]
		}
		if len(batch) == 0 {
			break
		}
		frontend.submitTxnsInFlight++
		frontend.storeSubmissions(batch)
	}
}

// storeSubmissions stores a batch of new jobs in one transaction, and answers their requests
// when the transaction is durable.
func (frontend *frontend) storeSubmissions(batch []*submission) {
	var request message.StoreRequest
	request.Kind, request.Priority = message.OpTxn, message.PriorityUser
	for _, submission := range batch {
		id := submission.spec.ID
		// A job without a status record and without an open record was never accepted. The open
		// record is enough: the status record is written when the job ends.
		request.Compares = append(request.Compares, message.Compare{Key: record.JobStatusPrefix + id, ModRevision: 0}, message.Compare{Key: record.OpenJobPrefix + id, ModRevision: 0})
		request.Writes = append(request.Writes, message.Write{Key: record.OpenJobPrefix + id, Value: record.Encode(submission.openRecord())})
	}
	frontend.controller.requests.toStore(request, func(response message.StoreResponse) {
		frontend.submitTxnsInFlight--
		switch response.Status {
		case message.StoreOK:
			for _, submission := range batch {
				frontend.answerRequest(submission.request, frontend.acceptedReply(submission))
				frontend.controller.observeOwnWrite(message.KeyValue{Key: record.OpenJobPrefix + submission.spec.ID, Value: record.Encode(submission.openRecord()), ModRevision: response.Revision})
			}
		case message.StoreConflict:
			var retry []*submission
			for _, submission := range batch {
				if slices.Contains(response.FailedKeys, record.JobStatusPrefix+submission.spec.ID) || slices.Contains(response.FailedKeys, record.OpenJobPrefix+submission.spec.ID) {
					frontend.answerFromRecord(submission.request, 503, "conflict")
				} else {
					retry = append(retry, submission)
				}
			}
			frontend.submitQueue = append(retry, frontend.submitQueue...)
		case message.StoreMalformed:
			if len(batch) == 1 {
				submission := batch[0]
				frontend.answerFromRecord(submission.request, 400, fmt.Sprintf("job %s cannot be stored", submission.spec.ID))
				break
			}
			// At least one submission of the batch is malformed. Each is stored alone, so that the
			// valid ones are accepted.
			for _, submission := range batch {
				submission.storeAlone = true
			}
			frontend.submitQueue = append(batch, frontend.submitQueue...)
		default:
			for _, submission := range batch {
				frontend.refuseRequest(submission.request, "the state service does not answer")
			}
		}
	})
}

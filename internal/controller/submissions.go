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
	// maxSubmitTxns bounds the transactions with submissions in flight; what waits meanwhile
	// shares the next one.
	maxSubmitTxns = 3
	// submitOverheadBytes is the size of a submission in a transaction beside its record: three
	// keys and what encloses them.
	submitOverheadBytes = 512
)

// submission is a job on its way into the store.
type submission struct {
	request     *userRequest
	spec        model.JobSpec
	submittedAt time.Time
	// storeAlone: a transaction that it shared was malformed, so it gets one of its own.
	storeAlone bool
	// promisedAfter is the promised date, counted from submittedAt; 0 for none.
	promisedAfter time.Duration
}

// promisedDate is the date that its acceptance tells.
func (s *submission) promisedDate() promise.Date {
	r := s.openRecord()
	return r.FirstDate()
}

// openRecord is the record with which the job becomes open.
func (s *submission) openRecord() record.OpenJob {
	r := record.NewOpenJob(&s.spec, s.submittedAt)
	r.PromisedMillis = int(s.promisedAfter.Milliseconds())
	return r
}

// submitJob checks a job that a user submits and queues it for the store.
func (f *frontend) submitJob(c message.SubmitJob) {
	id := c.Spec.ID
	if s, ok := f.finalStatuses[id]; ok {
		f.emit(withReply(f.replyWithStatus(id, s), c.Reply))
		return
	}
	if f.refuseIfUnavailable(c.Reply, id, &c.Spec) {
		return
	}
	request := f.newUserRequest(c.Reply, id)
	status, reason := 0, ""
	switch {
	case c.MalformedReason != "":
		status, reason = 400, c.MalformedReason
	case f.controller.knowledge.machineTypes == nil:
		f.answerFromRecord(request, 503, "machine types are not known yet")
		return
	default:
		c.Spec = f.restrictToFittingDisks(c.Spec)
		status, reason = f.validateSpec(&c.Spec)
	}
	if status != 0 {
		// A known job is never called malformed or impossible, so look before refusing.
		f.answerFromRecord(request, status, reason)
		return
	}
	s := &submission{request: request, spec: c.Spec, submittedAt: f.now}
	f.checkDependenciesAccepted(request, c.Spec.Dependencies, func() {
		s.promisedAfter = f.controller.promises.quoteDate(&s.spec)
		f.submitQueue = append(f.submitQueue, s)
	})
}

// flushSubmissions puts the waiting submissions into transactions, many in one. Step calls it
// after the commands of its batch.
func (f *frontend) flushSubmissions() {
	for len(f.submitQueue) > 0 && f.submitTxnsInFlight < maxSubmitTxns {
		var batch []*submission
		seen := map[string]bool{}
		size := 0
		for len(f.submitQueue) > 0 && len(batch) < f.settings.MaxTxnWrites {
			s := f.submitQueue[0]
			if s.request.answered {
				f.submitQueue = f.submitQueue[1:]
				continue
			}
			// Two submissions of one id in a transaction would conflict.
			if seen[s.spec.ID] || len(batch) > 0 && (s.storeAlone || batch[0].storeAlone) {
				break
			}
			bytes, err := sizelimit.JSON(record.Encode(s.openRecord()))
			if size += bytes + submitOverheadBytes; (err != nil || size > targetTxnBytes) && len(batch) > 0 {
				break
			}
			seen[s.spec.ID] = true
			batch = append(batch, s)
			f.submitQueue = f.submitQueue[1:]
		}
		if len(batch) == 0 {
			break
		}
		f.submitTxnsInFlight++
		f.storeSubmissions(batch)
	}
}

// storeSubmissions stores a batch of new jobs in one transaction and answers when it is durable.
func (f *frontend) storeSubmissions(batch []*submission) {
	var op message.StoreRequest
	op.Kind, op.Priority = message.OpTxn, message.PriorityUser
	for _, s := range batch {
		id := s.spec.ID
		// Neither over nor open means never accepted before. One write is enough: the
		// status record is written when the job is over.
		op.Compares = append(op.Compares, message.Compare{Key: record.JobStatusPrefix + id, ModRevision: 0}, message.Compare{Key: record.OpenJobPrefix + id, ModRevision: 0})
		op.Writes = append(op.Writes, message.Write{Key: record.OpenJobPrefix + id, Value: record.Encode(s.openRecord())})
	}
	f.controller.requests.toStore(op, func(d message.StoreResponse) {
		f.submitTxnsInFlight--
		switch d.Status {
		case message.StoreOK:
			for _, s := range batch {
				f.answerRequest(s.request, f.acceptedReply(s))
				f.controller.observeOwnWrite(message.KeyValue{Key: record.OpenJobPrefix + s.spec.ID, Value: record.Encode(s.openRecord()), ModRevision: d.Revision})
			}
		case message.StoreConflict:
			var retry []*submission
			for _, s := range batch {
				if slices.Contains(d.FailedKeys, record.JobStatusPrefix+s.spec.ID) || slices.Contains(d.FailedKeys, record.OpenJobPrefix+s.spec.ID) {
					f.answerFromRecord(s.request, 503, "conflict")
				} else {
					retry = append(retry, s)
				}
			}
			f.submitQueue = append(retry, f.submitQueue...)
		case message.StoreMalformed:
			if len(batch) == 1 {
				s := batch[0]
				f.answerFromRecord(s.request, 400, fmt.Sprintf("job %s cannot be stored", s.spec.ID))
				break
			}
			// One of several is at fault: each is stored alone, so that the others get through.
			for _, s := range batch {
				s.storeAlone = true
			}
			f.submitQueue = append(batch, f.submitQueue...)
		default:
			for _, s := range batch {
				f.refuseRequest(s.request, "the state service does not answer")
			}
		}
	})
}

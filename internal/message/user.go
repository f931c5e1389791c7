package message

import (
	"time"

	"github.com/micahill/micahill/internal/model"
	"github.com/micahill/micahill/internal/promise"
)

// SubmitJob submits a user's job. A UserReply answers it.
type SubmitJob struct {
	Reply uint64
	Spec  model.JobSpec
	// MalformedReason is the error of a request of which only the job's ID could be read, "" for
	// none. The controller rejects such a request unless it knows the job already.
	MalformedReason string
}

// QueryJob requests the state of a job. A UserReply answers it.
type QueryJob struct {
	Reply uint64
	ID    string
}

// CancelJob cancels a job. A UserReply answers it.
type CancelJob struct {
	Reply uint64
	ID    string
}

func (SubmitJob) command() {}

func (QueryJob) command() {}

func (CancelJob) command() {}

// UserReply answers a user's request.
type UserReply struct {
	Reply uint64
	// SendDeadline is the latest time at which an answer that depends on a read may be sent.
	// After it, the user gets status 503 instead. It is zero for an answer that can't change
	// later.
	SendDeadline time.Time
	// Status is the HTTP status.
	Status int
	// ID is the job's ID, and State is the job's state as users see it.
	ID    string
	State string
	// Done and Running count the job's tasks in these states.
	Done    int
	Running int
	// Message is the error, "" for none.
	Message string
	// PromisedAfter is the newest promised completion date that is durable, as the time from the
	// submission. PromiseRevision is the date's revision, 0 for no date.
	PromisedAfter   time.Duration
	PromiseRevision int
	// RetryAfter is the time after which the user may repeat a refused request, 0 for no hint.
	RetryAfter time.Duration
}

func (UserReply) effect() {}

// WithDate returns a copy of the reply with a promised date.
func (reply UserReply) WithDate(date promise.Date) UserReply {
	reply.PromisedAfter, reply.PromiseRevision = date.After, date.Revision
	return reply
}

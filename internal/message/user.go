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
	// MalformedReason is what is wrong with a request of which only the job's ID could be
	// read, "" for nothing. Such a request is rejected unless the job is known already.
	MalformedReason string
}

// QueryJob asks for the state of a job. A UserReply answers it.
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
	// SendDeadline is when an answer that rests on a read must have been sent; afterwards the
	// user gets status 503 instead. It is zero for what can't change any more.
	SendDeadline time.Time
	// Status is the HTTP status.
	Status int
	// ID is the job's, and State its state as users see it.
	ID    string
	State string
	// Done and Running count the job's tasks.
	Done    int
	Running int
	// Message says what is wrong, "" for nothing.
	Message string
	// PromisedAfter is the newest durable date, as time after the submission, and
	// PromiseRevision its revision, 0 for none.
	PromisedAfter   time.Duration
	PromiseRevision int
	// RetryAfter is when a refused request may be repeated, 0 for no such hint.
	RetryAfter time.Duration
}

func (UserReply) effect() {}

// WithDate returns the reply with a promised date.
func (r UserReply) WithDate(d promise.Date) UserReply {
	r.PromisedAfter, r.PromiseRevision = d.After, d.Revision
	return r
}

package message

import (
	"time"

	"github.com/micahill/micahill/internal/model"
	"github.com/micahill/micahill/internal/promise"
)

// Submit, Query and Abort come from users; Reply names the waiting request.
type SubmitJob struct {
	Reply uint64
	Spec  model.JobSpec
	// MalformedReason is the reason for a 400, when the body was malformed but its id
	// could be read.
	MalformedReason string
}

// QueryJob asks for the state of a job.
type QueryJob struct {
	Reply uint64
	ID    string
}

// CancelJob cancels a job.
type CancelJob struct {
	Reply uint64
	ID    string
}

func (SubmitJob) command() {}

func (QueryJob) command() {}

func (CancelJob) command() {}

// UserReply answers a user.
type UserReply struct {
	Reply uint64
	// Until: as in CloudRequest, for what rests on a read; zero for what is so for good.
	SendDeadline time.Time
	// Status is the HTTP status.
	Status  int
	ID      string
	State   string
	Done    int
	Running int
	Message string
	// PromisedAfter is the newest committed date, after the submission, and PromiseRevision its
	// revision, 0 for none.
	PromisedAfter   time.Duration
	PromiseRevision int
	// RetryAfter goes with a refusal.
	RetryAfter time.Duration
}

func (UserReply) effect() {}

// WithDate is the answer with a date.
func (r UserReply) WithDate(d promise.Date) UserReply {
	r.PromisedAfter, r.PromiseRevision = d.After, d.Revision
	return r
}

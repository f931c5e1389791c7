package record

import (
	"time"

	"github.com/micahill/micahill/internal/model"
	"github.com/micahill/micahill/internal/promise"
)

// MaxDateMillis is the latest promised date, and the longest duration, that a record may hold,
// in milliseconds after the job's submission.
const MaxDateMillis = int(promise.MaxDate / time.Millisecond)

// JobStatus is how a job ended. Earlier versions wrote it for a queued job as well, with
// Status and Tasks only. The other fields are there while promised dates are switched on, to
// count which were kept.
type JobStatus struct {
	Status model.JobStatus `msgpack:"s"`
	// Tasks is how many tasks the job had.
	Tasks    int    `msgpack:"n"`
	Team     string `msgpack:"o,omitempty"`
	Workload string `msgpack:"c,omitempty"`
	// Offloaded says that the job was another cluster's.
	Offloaded bool `msgpack:"gu,omitempty"`
	// EndedAfterMillis is when the job ended, in milliseconds after its submission.
	EndedAfterMillis int `msgpack:"a,omitempty"`
	// PromisedMillis is the newest promised date, in milliseconds after the submission; 0
	// for none. PromiseRevision counts the dates up to it.
	PromisedMillis  int `msgpack:"p,omitempty"`
	PromiseRevision int `msgpack:"r,omitempty"`
	// PromisedAtSubmit says that the first date was there when the job was accepted.
	PromisedAtSubmit bool `msgpack:"q,omitempty"`
}

// FirstDate is the date that was promised at acceptance; the zero Date if there is none, or
// none within MaxDateMillis.
func (r *OpenJob) FirstDate() promise.Date {
	if r.PromisedMillis <= 0 || r.PromisedMillis > MaxDateMillis {
		return promise.Date{}
	}
	return promise.Date{After: time.Duration(r.PromisedMillis) * time.Millisecond, Revision: 1}
}

// Date is the newest date that was promised for a job that is done; the zero Date for another
// job, and if there is no valid one.
func (r *JobStatus) Date() promise.Date {
	d := promise.Date{After: time.Duration(r.PromisedMillis) * time.Millisecond, Revision: r.PromiseRevision}
	if r.Status != model.Done || r.PromisedMillis > MaxDateMillis || d.Validate() != "" {
		return promise.Date{}
	}
	return d
}

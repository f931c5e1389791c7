package record

import (
	"time"

	"github.com/micahill/micahill/internal/model"
	"github.com/micahill/micahill/internal/promise"
)

// MaxDateMillis is the latest promised completion date and the longest duration that a record may
// have, in milliseconds after the job's submission.
const MaxDateMillis = int(promise.MaxDate / time.Millisecond)

// JobStatus is the record of how a job ended. Earlier versions wrote it for a queued job as well,
// with Status and Tasks only. The other fields are set while the promises feature is enabled, to
// count which promised dates were met.
type JobStatus struct {
	Status model.JobStatus `msgpack:"s"`
	// Tasks is the number of the job's tasks.
	Tasks    int    `msgpack:"n"`
	Team     string `msgpack:"o,omitempty"`
	Workload string `msgpack:"c,omitempty"`
	// Offloaded is true if the job belonged to another cluster.
	Offloaded bool `msgpack:"gu,omitempty"`
	// EndedAfterMillis is the time of the job's end, in milliseconds after its submission.
	EndedAfterMillis int `msgpack:"a,omitempty"`
	// PromisedMillis is the newest promised completion date, in milliseconds after the
	// submission; 0 for none. PromiseRevision is the number of dates promised so far.
	PromisedMillis  int `msgpack:"p,omitempty"`
	PromiseRevision int `msgpack:"r,omitempty"`
	// PromisedAtSubmit is true if the first date was promised when the job was accepted.
	PromisedAtSubmit bool `msgpack:"q,omitempty"`
}

// FirstDate returns the completion date that was promised at acceptance. It returns the zero Date if
// there is none or if the date is beyond MaxDateMillis.
func (record *OpenJob) FirstDate() promise.Date {
	if record.PromisedMillis <= 0 || record.PromisedMillis > MaxDateMillis {
		return promise.Date{}
	}
	return promise.Date{After: time.Duration(record.PromisedMillis) * time.Millisecond, Revision: 1}
}

// Date returns the newest completion date that was promised for a job that is done. It returns the
// zero Date if the job is not done or has no valid date.
func (record *JobStatus) Date() promise.Date {
	date := promise.Date{After: time.Duration(record.PromisedMillis) * time.Millisecond, Revision: record.PromiseRevision}
	if record.Status != model.Done || record.PromisedMillis > MaxDateMillis || date.Validate() != "" {
		return promise.Date{}
	}
	return date
}

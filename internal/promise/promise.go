// Package promise decides about promised completion dates: the date that a job gets
// when it is accepted, when a date may be revised, how dates are stored in pages, and
// how many were kept. A date is a time after the job's submission, so that differences
// between the clocks of controllers don't change it. The package has no clock and sends
// nothing.
package promise

import (
	"errors"
	"fmt"
	"time"

	"github.com/micahill/micahill/internal/sizelimit"
	"github.com/vmihailenco/msgpack/v5"
)

const (
	// MinRevisionInterval is the shortest time between two dates of a job: a minute,
	// and 5 s for the clocks of two controllers and the latency of a reply.
	MinRevisionInterval = time.Minute + 5*time.Second
	// MaxRevisions is how often a date may be revised.
	MaxRevisions = 4
	// MaxDate bounds a date: nothing runs for more than a year.
	MaxDate = 366 * 24 * time.Hour
	// roundingStep is what dates are rounded up to: a finer one would pretend a
	// precision that no estimate has.
	roundingStep = 100 * time.Millisecond
	// maxNameLen bounds the names in records, in bytes.
	maxNameLen = 200
)

// Reason is why a job got a date.
type Reason uint8

// The reasons. All but FirstDate are those of revisions. The numbers are stored.
const (
	// FirstDate is the date at the job's acceptance.
	FirstDate Reason = iota
	// MachinesLost means that machines of the job failed.
	MachinesLost
	// Outage means that the controllers or the cloud did not work for a while.
	Outage
	// RankingChanged means that an operator changed the order of jobs.
	RankingChanged
	// JobMistake means that the job's own tasks fail.
	JobMistake
	// EstimateWrong means that tasks run longer or shorter than estimated.
	EstimateWrong
	reasonCount
)

// String is the reason as users read it.
func (r Reason) String() string {
	return [...]string{"first date", "machines lost", "outage", "ranking changed", "mistake in the job", "estimate wrong", "unknown"}[min(r, reasonCount)]
}

// Job is what of a job determines its date. Expected is the estimated run time of a
// task, and FetchTime that of its image's fetch. The date of a Standing (long-running)
// job is when all of its tasks run.
type Job struct {
	Team, Class         string
	Tasks               int
	Expected, FetchTime time.Duration
	Standing            bool
}

// Date is a promised completion date. The zero Date means that there is none.
type Date struct {
	// After is the time from the job's submission.
	After time.Duration
	// Revision counts the job's dates from 1.
	Revision int
}

// Entry is a job's date in a page, and its reason.
type Entry struct {
	Job string
	Date
	Reason Reason
}

// Validate returns why a decoded date is invalid, or "".
func (d Date) Validate() string {
	switch {
	case d.After <= 0 || d.After > MaxDate:
		return fmt.Sprintf("the date is %v: want more than 0 and up to %v", d.After, MaxDate)
	case d.Revision < 1 || d.Revision > MaxRevisions+1:
		return fmt.Sprintf("the revision is %d: want 1 to %d", d.Revision, MaxRevisions+1)
	}
	return ""
}

// Round is d as it is promised: rounded up, and at most MaxDate.
func Round(d time.Duration) time.Duration {
	return min(max(roundingStep, (d+roundingStep-1)/roundingStep*roundingStep), MaxDate)
}

// Forecast is a job's progress as its shard leader sees it.
type Forecast struct {
	// Age is the time since the submission.
	Age time.Duration
	// Remaining is the expected time until the job's end, and RemainingHigh that time
	// with its spread, from which a new date is made.
	Remaining, RemainingHigh time.Duration
}

const (
	// An earlier date is published only if the time left is more than earlyFactor times
	// what the job needs, and the date is earlier by more than minEarlyGain. It uses up
	// one of few revisions, half of which are reserved for delays.
	earlyFactor  = 3
	minEarlyGain = 2 * time.Minute
)

// Revise returns the next date and true if d is to be revised, else d. That is only if d
// would be missed or is far too late, at most MaxRevisions times, and not before
// MinRevisionInterval since d was published; since is that time. A date that has passed
// is broken and never revised.
func Revise(d Date, since time.Duration, forecast Forecast) (Date, bool) {
	if d.Revision == 0 || d.Revision > MaxRevisions || since < MinRevisionInterval || forecast.Age >= d.After {
		return d, false
	}
	next := Date{Round(forecast.Age + max(forecast.Remaining, forecast.RemainingHigh)), d.Revision + 1}
	switch left := d.After - forecast.Age; {
	case forecast.Remaining > left:
		return next, next.After > d.After
	case d.Revision <= MaxRevisions/2 && next.After+minEarlyGain < d.After && left > earlyFactor*max(forecast.Remaining, forecast.RemainingHigh):
		return next, true
	}
	return d, false
}

var (
	// errRecord says that a record is damaged.
	errRecord = errors.New("promise: record")
	// ErrFormat says that another version's format of records was read.
	ErrFormat = errors.New("promise: another form")
)

// formatVersion is the version of the records' format.
const formatVersion = 1

// decode reads a record. The library allocates a list by the length that it claims, so
// the lengths are checked first.
func decode(b []byte, v any) error {
	if _, err := sizelimit.JSON(b); err != nil {
		return fmt.Errorf("%w: %w", errRecord, err)
	}
	if err := msgpack.Unmarshal(b, v); err != nil {
		return fmt.Errorf("%w: %w", errRecord, err)
	}
	return nil
}

func checkFormat(version int) error {
	if version != formatVersion {
		return fmt.Errorf("%w: field v is %d: want %d", ErrFormat, version, formatVersion)
	}
	return nil
}

func encode(v any) []byte {
	b, err := msgpack.Marshal(v)
	if err != nil {
		// Only this package's plain structs come here, which always encode.
		panic("promise: " + err.Error())
	}
	return b
}

// jsonSize is an upper bound of an encoded record's bytes as JSON.
func jsonSize(b []byte) int {
	n, err := sizelimit.JSON(b)
	if err != nil {
		panic("promise: " + err.Error())
	}
	return n
}

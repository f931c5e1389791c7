// Package promise calculates promised completion dates: the date that a job gets when it
// is accepted, and when a date is revised. It also encodes the pages in which dates are
// stored, and counts how many dates were kept. A date is a time after the job's
// submission, so differences between the clocks of controllers don't change it. The
// package has no clock and sends nothing.
package promise

import (
	"errors"
	"fmt"
	"time"

	"github.com/micahill/micahill/internal/sizelimit"
	"github.com/vmihailenco/msgpack/v5"
)

const (
	// MinRevisionInterval is the shortest time between two dates of a job: a minute, plus
	// 5 s for the clock difference of two controllers and the latency of a reply.
	MinRevisionInterval = time.Minute + 5*time.Second
	// MaxRevisions is how often the date of a job may be revised.
	MaxRevisions = 4
	// MaxDate is the latest date, since no job runs for more than a year.
	MaxDate = 366 * 24 * time.Hour
	// roundingStep is the multiple to which dates are rounded up. A smaller step would
	// suggest a precision that no estimate has.
	roundingStep = 100 * time.Millisecond
	// maxNameLen is the longest name in a record, in bytes.
	maxNameLen = 200
)

// Reason says why a job got its date.
type Reason uint8

// The reasons. All but FirstDate are those of revisions. The numbers are stored.
const (
	// FirstDate is the reason of the date at the job's acceptance.
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

// String returns the reason as users read it.
func (reason Reason) String() string {
	return [...]string{"first date", "machines lost", "outage", "ranking changed", "mistake in the job", "estimate wrong", "unknown"}[min(reason, reasonCount)]
}

// Job has the properties of a job that determine its date. Expected is the estimated run
// time of a task, and FetchTime the time to fetch its image. LongRunning says that the job
// runs until it is cancelled: its date is when all of its tasks run.
type Job struct {
	Team, Class         string
	Tasks               int
	Expected, FetchTime time.Duration
	LongRunning         bool
}

// Date is a promised completion date. The zero Date means that there is none.
type Date struct {
	// After is the time from the job's submission.
	After time.Duration
	// Revision counts the job's dates from 1.
	Revision int
}

// Entry is a job's date as stored in a page, and the reason for it.
type Entry struct {
	Job string
	Date
	Reason Reason
}

// Validate returns the reason why a decoded date is invalid, or "" if it is valid.
func (date Date) Validate() string {
	switch {
	case date.After <= 0 || date.After > MaxDate:
		return fmt.Sprintf("the date is %v: want more than 0 and up to %v", date.After, MaxDate)
	case date.Revision < 1 || date.Revision > MaxRevisions+1:
		return fmt.Sprintf("the revision is %d: want 1 to %d", date.Revision, MaxRevisions+1)
	}
	return ""
}

// Round returns a time rounded up to roundingStep and limited to MaxDate, as dates are
// promised.
func Round(d time.Duration) time.Duration {
	return min(max(roundingStep, (d+roundingStep-1)/roundingStep*roundingStep), MaxDate)
}

// Forecast is a job's progress as its shard leader sees it.
type Forecast struct {
	// Age is the time since the submission.
	Age time.Duration
	// Remaining is the expected time until the job's end. RemainingHigh is that time with
	// the spread of run times added, from which a new date is made.
	Remaining, RemainingHigh time.Duration
}

const (
	// earlyFactor and minEarlyGain limit revisions to an earlier date: the time left until
	// the date must be more than earlyFactor times the time that the job needs, and the
	// new date earlier by more than minEarlyGain. Each revision uses up one of few, half
	// of which are reserved for delays.
	earlyFactor  = 3
	minEarlyGain = 2 * time.Minute
)

// Revise returns the next date and true if date is to be revised, otherwise date and
// false. A date is revised only if it would be missed or is far too late, at most
// MaxRevisions times, and not before MinRevisionInterval has passed since it was
// published; since is the time since then. A date that has passed is broken and never
// revised.
func Revise(date Date, since time.Duration, forecast Forecast) (Date, bool) {
	if date.Revision == 0 || date.Revision > MaxRevisions || since < MinRevisionInterval || forecast.Age >= date.After {
		return date, false
	}
	next := Date{Round(forecast.Age + max(forecast.Remaining, forecast.RemainingHigh)), date.Revision + 1}
	switch left := date.After - forecast.Age; {
	case forecast.Remaining > left:
		return next, next.After > date.After
	case date.Revision <= MaxRevisions/2 && next.After+minEarlyGain < date.After && left > earlyFactor*max(forecast.Remaining, forecast.RemainingHigh):
		return next, true
	}
	return date, false
}

var (
	// errDamagedRecord is wrapped by the errors of damaged records.
	errDamagedRecord = errors.New("promise: damaged record")
	// ErrFormat is wrapped by the errors of records in another format version.
	ErrFormat = errors.New("promise: other format version")
)

// formatVersion is the format version of all records of this package.
const formatVersion = 1

// decode decodes a record. The library allocates a list by the length that the record
// claims, so sizelimit checks the lengths first.
func decode(value []byte, into any) error {
	if _, err := sizelimit.JSONSize(value); err != nil {
		return fmt.Errorf("%w: %w", errDamagedRecord, err)
	}
	if err := msgpack.Unmarshal(value, into); err != nil {
		return fmt.Errorf("%w: %w", errDamagedRecord, err)
	}
	return nil
}

// checkFormat returns an error that wraps ErrFormat unless version is formatVersion.
func checkFormat(version int) error {
	if version != formatVersion {
		return fmt.Errorf("%w: field v is %d: want %d", ErrFormat, version, formatVersion)
	}
	return nil
}

// encode encodes a record.
func encode(rec any) []byte {
	value, err := msgpack.Marshal(rec)
	if err != nil {
		// Only this package's plain structs come here, which always encode.
		panic("promise: " + err.Error())
	}
	return value
}

// jsonSize returns an upper bound of the size of an encoded record as JSON, in bytes.
func jsonSize(value []byte) int {
	size, err := sizelimit.JSONSize(value)
	if err != nil {
		panic("promise: " + err.Error())
	}
	return size
}

// Package promise decides about promised dates: what date a job gets when it is
// accepted, when a date may be revised, how dates are kept in shared pages, and how
// many were kept. A date is a time after the job's submission, so that the clocks of
// controllers do not show through. The package has no clock and sends nothing.
package promise

import (
	"errors"
	"fmt"
	"time"

	"github.com/micahill/micahill/internal/sizelimit"
	"github.com/vmihailenco/msgpack/v5"
)

const (
	// MinRevisionInterval is the least time between two dates of a job: a minute, and what the clocks
	// of two controllers and an answer on its way may add to it, 5 s.
	MinRevisionInterval = time.Minute + 5*time.Second
	// MaxRevisions is how often a date is revised; then it stands.
	MaxRevisions = 4
	// MaxDate bounds a date: nothing runs for more than a year.
	MaxDate = 366 * 24 * time.Hour
	// roundingStep is what dates are rounded up to: people read them, and shares of a second
	// promise what nobody can know.
	roundingStep = 100 * time.Millisecond
	// maxNameLen bounds names in records.
	maxNameLen = 200
)

// Reason is the reason of a date.
type Reason uint8

// The reasons: the job's first date, and those of revisions.
const (
	FirstDate Reason = iota
	MachinesLost
	Outage
	RankingChanged
	JobMistake
	EstimateWrong
	reasonCount
)

func (w Reason) String() string {
	return [...]string{"first date", "machines lost", "outage", "ranking changed", "mistake in the job", "estimate wrong", "unknown"}[min(w, reasonCount)]
}

// Job is what of a job its date rests on. Expected is a task's run time and Fetch that
// of its image, both as they are estimated; of a standing job all are to be up.
type Job struct {
	Team, Class         string
	Tasks               int
	Expected, FetchTime time.Duration
	Standing            bool
}

// Date is a promise: how long after the submission, and which revision, from 1 on. The
// zero Date is none.
type Date struct {
	After    time.Duration
	Revision int
}

// Entry is a job's date in a page, and its reason.
type Entry struct {
	Job string
	Date
	Reason Reason
}

// Validate is what is wrong with a date that was read, "" for nothing.
func (d Date) Validate() string {
	switch {
	case d.After <= 0 || d.After > MaxDate:
		return fmt.Sprintf("the date is %v: want more than 0 and up to %v", d.After, MaxDate)
	case d.Revision < 1 || d.Revision > MaxRevisions+1:
		return fmt.Sprintf("the revision is %d: want 1 to %d", d.Revision, MaxRevisions+1)
	}
	return ""
}

// Round is d as it is promised.
func Round(d time.Duration) time.Duration {
	return min(max(roundingStep, (d+roundingStep-1)/roundingStep*roundingStep), MaxDate)
}

// Forecast is how its team's owner sees a job: its age since the submission, how long it
// is expected to take still, and how long with its spread, of which a new date is made.
type Forecast struct {
	Age, Remaining, RemainingHigh time.Duration
}

const (
	// earlyFactor is how many times as long as it takes a job may be promised before an
	// earlier date is told, if that is worth minEarlyGain at least: such a date is a
	// revision too, of which there are few, and half of them are kept for delays.
	earlyFactor  = 3
	minEarlyGain = 2 * time.Minute
)

// Revise says whether a date is to be revised, and to what: only when it would be
// missed or is grossly too late, not within Apart of the date before, which was made
// since ago, at most Most times, and never after it has passed: then it is broken.
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

// errRecord is a record that can't be used, and ErrFormat one of another version's form.
var (
	errRecord = errors.New("promise: record")
	ErrFormat = errors.New("promise: another form")
)

// formatVersion is the number of the records' form.
const formatVersion = 1

// decode reads a record. A list's length is taken at its word by the library, which
// makes room for it, so a damaged record is found before.
func decode(b []byte, v any) error {
	if _, err := sizelimit.JSON(b); err != nil {
		return fmt.Errorf("%w: %w", errRecord, err)
	}
	if err := msgpack.Unmarshal(b, v); err != nil {
		return fmt.Errorf("%w: %w", errRecord, err)
	}
	return nil
}

func checkFormat(v int) error {
	if v != formatVersion {
		return fmt.Errorf("%w: field v is %d: want %d", ErrFormat, v, formatVersion)
	}
	return nil
}

func encode(v any) []byte {
	b, err := msgpack.Marshal(v)
	if err != nil {
		// Only plain structs of ours come here; they always encode.
		panic("promise: " + err.Error())
	}
	return b
}

// jsonSize is an upper bound of a value's length as JSON.
func jsonSize(b []byte) int {
	n, err := sizelimit.JSON(b)
	if err != nil {
		panic("promise: " + err.Error())
	}
	return n
}

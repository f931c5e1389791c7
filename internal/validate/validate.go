// Package validate checks input before the program computes with it, and limits the number of log
// lines about repeated errors. It does not read the clock and does no I/O.
package validate

import (
	"fmt"
	"time"
)

const (
	// MaxAmount is the largest amount of a resource and the largest number of seconds, so that
	// sums and products can't overflow. It is far beyond the values of any machine or job.
	MaxAmount = 1e8
	// MaxNameBytes is the longest name of a machine, a machine type, a zone or a team, in bytes.
	// Names are stored in records of limited size.
	MaxNameBytes = 200
	// MaxTasks is the largest number of tasks of a job, which the protocol sets.
	MaxTasks = 100_000
	// maxCauses is the largest number of causes that a LogLimiter remembers.
	maxCauses = 256
)

// FieldError describes an invalid field of an input and the values that would be valid. Users see its
// text.
type FieldError struct {
	Field string
	// Found is a predicate that describes the invalid value, such as "is missing".
	Found string
	// Want describes the valid values, "" if Found is enough.
	Want string
}

// Error returns the text that users see.
func (e *FieldError) Error() string {
	if e.Want == "" {
		return e.Field + " " + e.Found
	}
	return e.Field + " " + e.Found + ": want " + e.Want
}

// Check checks the fields of an input and keeps the first error. The zero value is ready for use.
type Check struct{ first *FieldError }

// Err returns the first error as a *FieldError, or nil if all checked fields are valid.
func (check *Check) Err() error {
	if check.first == nil {
		return nil
	}
	return check.first
}

// reject records an error unless there is an earlier one.
func (check *Check) reject(field, found, want string) {
	if check.first == nil {
		check.first = &FieldError{Field: field, Found: found, Want: want}
	}
}

// IsAmount reports whether amount is a finite number from 0 to MaxAmount.
func IsAmount(amount float64) bool { return amount >= 0 && amount <= MaxAmount }

// Amount requires a finite number from 0 to MaxAmount.
func (check *Check) Amount(field string, amount float64) {
	if !IsAmount(amount) {
		check.reject(field, fmt.Sprintf("is %v", amount), fmt.Sprintf("a number from 0 to %g", float64(MaxAmount)))
	}
}

// Count requires a whole number from minimum to maximum.
func (check *Check) Count(field string, n, minimum, maximum int) {
	if n < minimum || n > maximum {
		check.reject(field, fmt.Sprintf("is %d", n), fmt.Sprintf("%d to %d", minimum, maximum))
	}
}

// Name requires a name of at most MaxNameBytes bytes. The name may be empty unless required is true.
func (check *Check) Name(field, s string, required bool) {
	switch {
	case required && s == "":
		check.reject(field, "is missing", "")
	case len(s) > MaxNameBytes:
		check.reject(field, fmt.Sprintf("has %d bytes", len(s)), fmt.Sprintf("%d at most", MaxNameBytes))
	}
}

// LogLimiter allows one log line a minute for each cause. The zero value is ready for use. It is not
// safe for concurrent use.
type LogLimiter struct{ loggedAt map[string]time.Time }

// Allow reports whether the caller may log a cause at the time now.
func (limiter *LogLimiter) Allow(now time.Time, cause string) bool {
	if at, ok := limiter.loggedAt[cause]; ok && now.Sub(at) < time.Minute {
		return false
	}
	if limiter.loggedAt == nil || len(limiter.loggedAt) >= maxCauses {
		limiter.loggedAt = map[string]time.Time{}
	}
	limiter.loggedAt[cause] = now
	return true
}

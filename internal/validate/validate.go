// Package validate checks input before anything is computed from it, and limits the log lines
// about repeated errors. The package has no clock and writes nothing.
package validate

import (
	"fmt"
	"time"
)

const (
	// MaxAmount bounds amounts and seconds, so that sums and products can't overflow; it is
	// far beyond any machine or job.
	MaxAmount = 1e8
	// MaxNameBytes bounds the name of a machine, a machine type, a zone or a team: names go
	// into records of limited size.
	MaxNameBytes = 200
	// MaxTasks bounds the tasks of a job, by the protocol.
	MaxTasks = 100_000
	// maxCauses bounds the causes that a LogLimiter remembers.
	maxCauses = 256
)

// FieldError says which field of an input is invalid, and what would be valid. Its text
// reaches users.
type FieldError struct {
	Field string
	// Found says what stands in the field, such as "is missing".
	Found string
	// Want says what would be valid, "" where Found says it all.
	Want string
}

func (e *FieldError) Error() string {
	if e.Want == "" {
		return e.Field + " " + e.Found
	}
	return e.Field + " " + e.Found + ": want " + e.Want
}

// Check collects what is wrong with a value; the first problem stands.
type Check struct{ first *FieldError }

// Err returns what is wrong as a *FieldError, nil for nothing.
func (c *Check) Err() error {
	if c.first == nil {
		return nil
	}
	return c.first
}

func (c *Check) reject(field, found, want string) {
	if c.first == nil {
		c.first = &FieldError{Field: field, Found: found, Want: want}
	}
}

// IsAmount reports whether f is a finite number from 0 to MaxAmount.
func IsAmount(f float64) bool { return f >= 0 && f <= MaxAmount }

// Amount requires a finite number from 0 to MaxAmount.
func (c *Check) Amount(field string, f float64) {
	if !IsAmount(f) {
		c.reject(field, fmt.Sprintf("is %v", f), fmt.Sprintf("a number from 0 to %g", float64(MaxAmount)))
	}
}

// Count requires a whole number from minimum to maximum.
func (c *Check) Count(field string, n, minimum, maximum int) {
	if n < minimum || n > maximum {
		c.reject(field, fmt.Sprintf("is %d", n), fmt.Sprintf("%d to %d", minimum, maximum))
	}
}

// Name requires a text of up to MaxNameBytes bytes, which may be empty unless required.
func (c *Check) Name(field, s string, required bool) {
	switch {
	case required && s == "":
		c.reject(field, "is missing", "")
	case len(s) > MaxNameBytes:
		c.reject(field, fmt.Sprintf("has %d bytes", len(s)), fmt.Sprintf("%d at most", MaxNameBytes))
	}
}

// LogLimiter allows each cause to be logged once a minute. The zero value is ready. It is not
// safe for concurrent use.
type LogLimiter struct{ loggedAt map[string]time.Time }

// Allow reports whether to log a cause now.
func (l *LogLimiter) Allow(now time.Time, cause string) bool {
	if at, ok := l.loggedAt[cause]; ok && now.Sub(at) < time.Minute {
		return false
	}
	if l.loggedAt == nil || len(l.loggedAt) >= maxCauses {
		l.loggedAt = map[string]time.Time{}
	}
	l.loggedAt[cause] = now
	return true
}

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

// Check collects what is wrong with a value; the first problem stands.
type Check struct{ problem string }

// Problem returns what is wrong, "" for nothing: the field, and what would be valid. The text
// reaches users.
func (c *Check) Problem() string { return c.problem }

func (c *Check) reject(format string, args ...any) {
	if c.problem == "" {
		c.problem = fmt.Sprintf(format, args...)
	}
}

// IsAmount reports whether f is a finite number from 0 to MaxAmount.
func IsAmount(f float64) bool { return f >= 0 && f <= MaxAmount }

// Amount requires a finite number from 0 to MaxAmount.
func (c *Check) Amount(field string, f float64) {
	if !IsAmount(f) {
		c.reject("%s is %v: want a number from 0 to %g", field, f, float64(MaxAmount))
	}
}

// Count requires a whole number from minimum to maximum.
func (c *Check) Count(field string, n, minimum, maximum int) {
	if n < minimum || n > maximum {
		c.reject("%s is %d: want %d to %d", field, n, minimum, maximum)
	}
}

// Name requires a text of up to MaxNameBytes bytes, which may be empty unless required.
func (c *Check) Name(field, s string, required bool) {
	switch {
	case required && s == "":
		c.reject("%s is missing", field)
	case len(s) > MaxNameBytes:
		c.reject("%s has %d bytes: want %d at most", field, len(s), MaxNameBytes)
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

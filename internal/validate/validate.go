// Package validate judges what comes from outside before anything is reckoned with it, and
// keeps the log from filling when the same mistake comes again and again. The package
// has no clock and prints nothing.
package validate

import (
	"fmt"
	"time"
)

const (
	// MaxAmount bounds amounts and seconds, so that adding up and multiplying them
	// can't overflow; far beyond any machine or job there is.
	MaxAmount = 1e8
	// MaxNameBytes is how long a name of a machine, a flavour, a zone or a team may be: it
	// goes into records that are bounded.
	MaxNameBytes = 200
	// MaxTasks is how many tasks a job may have, by the protocol.
	MaxTasks = 100_000
	// maxCauses bounds the causes that are remembered.
	maxCauses = 256
)

// Check collects what is wrong with a value; the first finding stands.
type Check struct{ problem string }

// Problem is what is wrong, "" for nothing: the field, and what would be right.
func (c *Check) Problem() string { return c.problem }

func (c *Check) reject(format string, args ...any) {
	if c.problem == "" {
		c.problem = fmt.Sprintf(format, args...)
	}
}

// IsAmount says that f is a finite number from 0 to MaxAmount; nothing else can be
// reckoned with.
func IsAmount(f float64) bool { return f >= 0 && f <= MaxAmount }

// Amount wants a finite number from 0 to MaxAmount.
func (c *Check) Amount(field string, f float64) {
	if !IsAmount(f) {
		c.reject("%s is %v: want a number from 0 to %g", field, f, float64(MaxAmount))
	}
}

// Count wants a whole number from least to most.
func (c *Check) Count(field string, n, minimum, maximum int) {
	if n < minimum || n > maximum {
		c.reject("%s is %d: want %d to %d", field, n, minimum, maximum)
	}
}

// Name wants a text of up to MaxNameBytes bytes, and of one at least if it must be there.
func (c *Check) Name(field, s string, required bool) {
	switch {
	case required && s == "":
		c.reject("%s is missing", field)
	case len(s) > MaxNameBytes:
		c.reject("%s has %d bytes: want %d at most", field, len(s), MaxNameBytes)
	}
}

// LogLimiter lets each cause be told once a minute. The zero value is ready; it is not for
// several goroutines.
type LogLimiter struct{ loggedAt map[string]time.Time }

// Allow says whether to tell of a cause now.
func (m *LogLimiter) Allow(now time.Time, cause string) bool {
	if at, ok := m.loggedAt[cause]; ok && now.Sub(at) < time.Minute {
		return false
	}
	if m.loggedAt == nil || len(m.loggedAt) >= maxCauses {
		m.loggedAt = map[string]time.Time{}
	}
	m.loggedAt[cause] = now
	return true
}

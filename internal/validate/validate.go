// Package validate judges what comes from outside before anything is reckoned with it, and
// keeps the log from filling when the same mistake comes again and again. The package
// has no clock and prints nothing.
package validate

import (
	"fmt"
	"time"
)

const (
	// MostAmount bounds amounts and seconds, so that adding up and multiplying them
	// can't overflow; far beyond any machine or job there is.
	MostAmount = 1e8
	// MostName is how long a name of a machine, a flavour, a zone or a team may be: it
	// goes into records that are bounded.
	MostName = 200
	// MostTasks is how many tasks a job may have, by the protocol.
	MostTasks = 100_000
	// causesMost bounds the causes that are remembered.
	causesMost = 256
)

// Check collects what is wrong with a value; the first finding stands.
type Check struct{ bad string }

// Bad is what is wrong, "" for nothing: the field, and what would be right.
func (c *Check) Bad() string { return c.bad }

func (c *Check) add(format string, args ...any) {
	if c.bad == "" {
		c.bad = fmt.Sprintf(format, args...)
	}
}

// IsAmount says that f is a finite number from 0 to MostAmount; nothing else can be
// reckoned with.
func IsAmount(f float64) bool { return f >= 0 && f <= MostAmount }

// Amount wants a finite number from 0 to MostAmount.
func (c *Check) Amount(field string, f float64) {
	if !IsAmount(f) {
		c.add("%s is %v: want a number from 0 to %g", field, f, float64(MostAmount))
	}
}

// Count wants a whole number from least to most.
func (c *Check) Count(field string, n, least, most int) {
	if n < least || n > most {
		c.add("%s is %d: want %d to %d", field, n, least, most)
	}
}

// Name wants a text of up to MostName bytes, and of one at least if it must be there.
func (c *Check) Name(field, s string, must bool) {
	switch {
	case must && s == "":
		c.add("%s is missing", field)
	case len(s) > MostName:
		c.add("%s has %d bytes: want %d at most", field, len(s), MostName)
	}
}

// Minute lets each cause be told once a minute. The zero value is ready; it is not for
// several goroutines.
type Minute struct{ told map[string]time.Time }

// Say says whether to tell of a cause now.
func (m *Minute) Say(now time.Time, cause string) bool {
	if at, ok := m.told[cause]; ok && now.Sub(at) < time.Minute {
		return false
	}
	if m.told == nil || len(m.told) >= causesMost {
		m.told = map[string]time.Time{}
	}
	m.told[cause] = now
	return true
}

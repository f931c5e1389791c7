package validate

import (
	"errors"
	"fmt"
	"math"
	"strings"
	"testing"
	"time"
)

// TestCheck guards against amounts, names or counts outside of their range that pass the check, and
// against valid values that don't. The first error is the one that Err returns.
func TestCheck(t *testing.T) {
	for _, f := range []float64{math.NaN(), math.Inf(1), -1, 2 * MaxAmount} {
		var check Check
		check.Amount("cpu", f)
		var field *FieldError
		if err := check.Err(); !errors.As(err, &field) || field.Field != "cpu" || !strings.HasPrefix(err.Error(), "cpu ") {
			t.Errorf("Amount(%v): got error %v, want one for field cpu", f, err)
		}
	}
	var check Check
	check.Amount("cpu", 0)
	check.Name("zone", "", false)
	check.Count("tasks", 1, 1, 1)
	if err := check.Err(); err != nil {
		t.Errorf("valid input: got error %v, want none", err)
	}
	check.Name("host", "", true)
	check.Count("tasks", -1, 1, MaxTasks)
	if err := check.Err(); err == nil || err.Error() != "host is missing" {
		t.Errorf("got error %v, want the first error: host is missing", err)
	}
}

// TestFieldErrorText guards against an unclear or changed text of the errors that users see.
func TestFieldErrorText(t *testing.T) {
	for _, c := range []struct {
		name  string
		check func(*Check)
		want  string
	}{
		{"amount", func(c *Check) { c.Amount("cpu", -1) }, "cpu is -1: want a number from 0 to 1e+08"},
		{"count", func(c *Check) { c.Count("tasks", 0, 1, 9) }, "tasks is 0: want 1 to 9"},
		{"missing name", func(c *Check) { c.Name("host", "", true) }, "host is missing"},
		{"long name", func(c *Check) { c.Name("host", strings.Repeat("x", 201), false) }, "host has 201 bytes: want 200 at most"},
	} {
		t.Run(c.name, func(t *testing.T) {
			var check Check
			c.check(&check)
			if err := check.Err(); err == nil || err.Error() != c.want {
				t.Errorf("got error %v, want %s", err, c.want)
			}
		})
	}
}

// TestLogLimiter guards against more than one log line a minute for a cause, and against memory that
// grows with the number of causes.
func TestLogLimiter(t *testing.T) {
	var limiter LogLimiter
	now := time.Unix(1_750_000_000, 0)
	if !limiter.Allow(now, "a") || limiter.Allow(now.Add(59*time.Second), "a") || !limiter.Allow(now, "b") || !limiter.Allow(now.Add(time.Minute), "a") {
		t.Error("Allow: got two lines within a minute, none after a minute, or none for another cause")
	}
	for i := range 10 * maxCauses {
		limiter.Allow(now, fmt.Sprint(i))
	}
	if len(limiter.loggedAt) > maxCauses {
		t.Errorf("got %d remembered causes, want at most maxCauses", len(limiter.loggedAt))
	}
}

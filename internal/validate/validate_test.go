package validate

import (
	"errors"
	"fmt"
	"math"
	"strings"
	"testing"
	"time"
)

func TestCheck(t *testing.T) {
	for _, f := range []float64{math.NaN(), math.Inf(1), -1, 2 * MaxAmount} {
		var c Check
		c.Amount("cpu", f)
		var field *FieldError
		if err := c.Err(); !errors.As(err, &field) || field.Field != "cpu" || !strings.HasPrefix(err.Error(), "cpu ") {
			t.Errorf("Amount(%v): got error %v, want one about cpu", f, err)
		}
	}
	var c Check
	c.Amount("cpu", 0)
	c.Name("zone", "", false)
	c.Count("tasks", 1, 1, 1)
	if err := c.Err(); err != nil {
		t.Errorf("valid input: got error %v, want none", err)
	}
	c.Name("host", "", true)
	c.Count("tasks", -1, 1, MaxTasks)
	if err := c.Err(); err == nil || err.Error() != "host is missing" {
		t.Errorf("got error %v, want the first one: host is missing", err)
	}
}

// TestFieldErrorText checks the texts of errors, which users see.
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

// TestLogLimiter: each cause is logged once a minute, and the number of remembered causes is
// limited.
func TestLogLimiter(t *testing.T) {
	var m LogLimiter
	now := time.Unix(1_750_000_000, 0)
	if !m.Allow(now, "a") || m.Allow(now.Add(59*time.Second), "a") || !m.Allow(now, "b") || !m.Allow(now.Add(time.Minute), "a") {
		t.Error("Allow: got a second line within a minute, or none after it")
	}
	for i := range 10 * maxCauses {
		m.Allow(now, fmt.Sprint(i))
	}
	if len(m.loggedAt) > maxCauses {
		t.Errorf("got %d causes remembered, want maxCauses at most", len(m.loggedAt))
	}
}

package validate

import (
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
		if !strings.HasPrefix(c.Problem(), "cpu ") {
			t.Errorf("Amount(%v): got problem %q, want one about cpu", f, c.Problem())
		}
	}
	var c Check
	c.Amount("cpu", 0)
	c.Name("zone", "", false)
	c.Count("tasks", 1, 1, 1)
	if c.Problem() != "" {
		t.Errorf("valid input: got problem %q, want none", c.Problem())
	}
	c.Name("host", "", true)
	c.Count("tasks", -1, 1, MaxTasks)
	if c.Problem() != "host is missing" {
		t.Errorf("got problem %q, want the first one: host is missing", c.Problem())
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

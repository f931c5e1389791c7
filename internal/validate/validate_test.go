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
			t.Errorf("%v: %q", f, c.Problem())
		}
	}
	var c Check
	c.Amount("cpu", 0)
	c.Name("zone", "", false)
	c.Count("tasks", 1, 1, 1)
	if c.Problem() != "" {
		t.Error(c.Problem())
	}
	c.Name("host", "", true)
	c.Count("tasks", -1, 1, MaxTasks)
	if c.Problem() != "host is missing" {
		t.Error("not the first finding: ", c.Problem())
	}
}

// TestLogLimiter: each cause once a minute, and no end of causes takes no end of room.
func TestLogLimiter(t *testing.T) {
	var m LogLimiter
	now := time.Unix(1_750_000_000, 0)
	if !m.Allow(now, "a") || m.Allow(now.Add(59*time.Second), "a") || !m.Allow(now, "b") || !m.Allow(now.Add(time.Minute), "a") {
		t.Error("not once a minute")
	}
	for i := range 10 * maxCauses {
		m.Allow(now, fmt.Sprint(i))
	}
	if len(m.loggedAt) > maxCauses {
		t.Errorf("%d causes are remembered", len(m.loggedAt))
	}
}

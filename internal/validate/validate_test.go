package validate

import (
	"fmt"
	"math"
	"strings"
	"testing"
	"time"
)

func TestCheck(t *testing.T) {
	for _, f := range []float64{math.NaN(), math.Inf(1), -1, 2 * MostAmount} {
		var c Check
		c.Amount("cpu", f)
		if !strings.HasPrefix(c.Bad(), "cpu ") {
			t.Errorf("%v: %q", f, c.Bad())
		}
	}
	var c Check
	c.Amount("cpu", 0)
	c.Name("zone", "", false)
	c.Count("tasks", 1, 1, 1)
	if c.Bad() != "" {
		t.Error(c.Bad())
	}
	c.Name("host", "", true)
	c.Count("tasks", -1, 1, MostTasks)
	if c.Bad() != "host is missing" {
		t.Error("not the first finding: ", c.Bad())
	}
}

// TestMinute: each cause once a minute, and no end of causes takes no end of room.
func TestMinute(t *testing.T) {
	var m Minute
	now := time.Unix(1_750_000_000, 0)
	if !m.Say(now, "a") || m.Say(now.Add(59*time.Second), "a") || !m.Say(now, "b") || !m.Say(now.Add(time.Minute), "a") {
		t.Error("not once a minute")
	}
	for i := range 10 * causesMost {
		m.Say(now, fmt.Sprint(i))
	}
	if len(m.told) > causesMost {
		t.Errorf("%d causes are remembered", len(m.told))
	}
}

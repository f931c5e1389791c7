package incarnation

import (
	"testing"
	"time"
)

// TestEndsInARow: an end alone costs nothing, however soon the process is back; one
// that ends again and again waits longer each time, within a bound; and after a life
// that lasted all is as before.
func TestEndsInARow(t *testing.T) {
	now := time.Unix(1_750_000_000, 0)
	past, wait := Begin(now, Past{}, false)
	if wait != 0 {
		t.Fatalf("the first life waits %v", wait)
	}
	now = now.Add(time.Hour)
	past, wait = Begin(now, past, true)
	if wait != 0 || past.Short != 0 {
		t.Fatalf("after a long life it waits %v", wait)
	}
	var waits []time.Duration
	for range 12 {
		now = now.Add(50 * time.Millisecond)
		past, wait = Begin(now, past, true)
		waits = append(waits, wait)
	}
	if waits[0] != 0 || waits[1] != firstWait || waits[2] != 2*firstWait || waits[11] != longestWait {
		t.Errorf("waits %v", waits)
	}
	if _, wait = Begin(now.Add(Young+3*time.Second), past, true); wait != 0 {
		t.Errorf("after a life that lasted it waits %v", wait)
	}
	// The time of day may be set back; that must not make it wait for ever.
	if _, wait = Begin(now.Add(-time.Hour), past, true); wait > longestWait {
		t.Errorf("it waits %v", wait)
	}
}

func TestIsYoung(t *testing.T) {
	now := time.Unix(1_750_000_000, 0)
	for _, c := range []struct {
		born time.Time
		want bool
	}{{time.Time{}, false}, {now, true}, {now.Add(time.Second), true}, {now.Add(-Young), false}, {now.Add(-Young + time.Millisecond), true}} {
		if IsYoung(now, c.born) != c.want {
			t.Errorf("born %v before: want %v", now.Sub(c.born), c.want)
		}
	}
}

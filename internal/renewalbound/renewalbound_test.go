package renewalbound

import (
	"testing"
	"time"

	_ "github.com/micahill/micahill/internal/testseed"
	"pgregory.net/rapid"
)

// Whatever an owner has not heard of was confirmed after its horizon, and the last lease
// that it prolongs ends in time, also by a worker's clock that is slow. Where the settings
// leave no window, Short says by how much it may not.
func TestLastLeaseEndsInTime(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		duration := func(name string, least, most int) time.Duration {
			return time.Duration(rapid.IntRange(least*1000, most*1000).Draw(t, name)) * time.Millisecond
		}
		r := Rule{CancelTimeout: duration("cancel", 1, 600), LeaseDuration: duration("lease", 1, 300)}
		// Two clocks, each off by 0.05 % over the whole time, and a second of rounding.
		r.ClockMargin = r.CancelTimeout/500 + time.Second
		knownUntil := time.Unix(1_750_000_000, 0)
		confirmed := knownUntil.Add(1)
		answered := r.Deadline(knownUntil).Add(-time.Duration(rapid.Int64Range(0, int64(r.Window())).Draw(t, "before")))
		ends := answered.Add(r.LeaseDuration + r.LeaseDuration/1000)
		if excess := ends.Sub(confirmed.Add(r.CancelTimeout)); excess > r.Shortfall() {
			t.Fatalf("%+v: the lease outlasts the cancellation by %v, Short says %v", r, excess, r.Shortfall())
		}
		if r.ReadInterval() <= 0 || r.ReadInterval()*2 > r.Window() {
			t.Fatalf("%+v: a read every %v in a window of %v", r, r.ReadInterval(), r.Window())
		}
	})
}

package horizon

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
		sec := func(name string, least, most int) time.Duration {
			return time.Duration(rapid.IntRange(least*1000, most*1000).Draw(t, name)) * time.Millisecond
		}
		r := Rule{Cancel: sec("cancel", 1, 600), Lease: sec("lease", 1, 300)}
		// Two clocks, each off by 0.05 % over the whole time, and a second of rounding.
		r.Margin = r.Cancel/500 + time.Second
		known := time.Unix(1_750_000_000, 0)
		confirmed := known.Add(1)
		answered := r.Until(known).Add(-time.Duration(rapid.Int64Range(0, int64(r.Window())).Draw(t, "before")))
		ends := answered.Add(r.Lease + r.Lease/1000)
		if over := ends.Sub(confirmed.Add(r.Cancel)); over > r.Short() {
			t.Fatalf("%+v: the lease outlasts the cancellation by %v, Short says %v", r, over, r.Short())
		}
		if r.ReadEvery() <= 0 || r.ReadEvery()*2 > r.Window() {
			t.Fatalf("%+v: a read every %v in a window of %v", r, r.ReadEvery(), r.Window())
		}
	})
}

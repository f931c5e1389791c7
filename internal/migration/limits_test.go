package migration

import (
	"fmt"
	"testing"
	"time"

	"github.com/vmihailenco/msgpack/v5"
)

// TestRecordAboveTheLimit: a record that was written under a larger limit of values is
// brought below the lower one when it is taken over: what is let go first is the rest of
// replicas, then plans, which only hold places.
func TestRecordAboveTheLimit(t *testing.T) {
	now := time.UnixMilli(1_750_000_000_000)
	r := validRecord()
	for i := range maxRecent - len(r.Recent) {
		r.Recent = append(r.Recent, recentRow{fmt.Sprintf("job-with-a-long-name-%03d", i), 0, now.Add(time.Duration(i+1) * time.Second).UnixMilli()})
	}
	v, err := msgpack.Marshal(r)
	if err != nil {
		t.Fatal(err)
	}
	for _, limit := range []int{0, 1536, 300, 40} {
		b := NewTracker(time.Hour)
		b.MaxRecordBytes = limit
		if err := b.Recover(now, "team", v); err != nil {
			t.Fatal(err)
		}
		_, _, due := b.WriteDue("team")
		if limit == 0 && (due || len(b.record("team").Recent) != maxRecent) {
			t.Error("trimmed without a limit")
		}
		if size := b.recordBytes("team"); limit > 0 && (size > limit || !due) {
			t.Errorf("%d bytes of %d, to be written %v", size, limit, due)
		}
		if limit == 1536 && len(b.Plans()) != len(r.Plans) {
			t.Error("plans are dropped though the rest would have done")
		}
	}
}

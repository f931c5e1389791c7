package migration

import (
	"fmt"
	"testing"
	"time"

	"github.com/vmihailenco/msgpack/v5"
)

// TestRecordAboveTheLimit: a record that was written under a larger limit of values is
// trimmed to the lower one by a successor: it drops the cooldowns of replicas first, then
// plans, which only hold capacity.
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
			t.Error("got a trimmed record without a limit, want all of it")
		}
		if size := b.recordBytes("team"); limit > 0 && (size > limit || !due) {
			t.Errorf("got %d bytes, write due %v, want at most %d bytes and a write", size, due, limit)
		}
		if limit == 1536 && len(b.Plans()) != len(r.Plans) {
			t.Error("got plans dropped, want cooldowns dropped only")
		}
	}
}

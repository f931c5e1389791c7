package migration

import (
	"fmt"
	"testing"
	"time"

	"github.com/vmihailenco/msgpack/v5"
)

// TestRecordAboveTheLimit guards against a record that can never be written again because it was
// written under a larger size limit. A successor trims it to the lower limit: it first drops the
// cooldowns of replicas and then plans, without which only held capacity is lost.
func TestRecordAboveTheLimit(t *testing.T) {
	now := time.UnixMilli(1_750_000_000_000)
	rec := validRecord()
	for i := range maxRecent - len(rec.Recent) {
		rec.Recent = append(rec.Recent, recentRow{fmt.Sprintf("job-with-a-long-name-%03d", i), 0, now.Add(time.Duration(i+1) * time.Second).UnixMilli()})
	}
	value, err := msgpack.Marshal(rec)
	if err != nil {
		t.Fatal(err)
	}
	for _, limit := range []int{0, 1536, 300, 40} {
		tracker := NewTracker(time.Hour)
		tracker.MaxRecordBytes = limit
		if err := tracker.Recover(now, "team", value); err != nil {
			t.Fatal(err)
		}
		_, _, due := tracker.WriteDue("team")
		if limit == 0 && (due || len(tracker.record("team").Recent) != maxRecent) {
			t.Error("got a trimmed record without a limit, want all of it")
		}
		if size := tracker.recordBytes("team"); limit > 0 && (size > limit || !due) {
			t.Errorf("got %d bytes, write due %v, want at most %d bytes and a write", size, due, limit)
		}
		if limit == 1536 && len(tracker.Plans()) != len(rec.Plans) {
			t.Error("got plans dropped, want cooldowns dropped only")
		}
	}
}

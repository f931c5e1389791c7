package migration

import (
	"errors"
	"strings"
	"testing"
	"time"

	"github.com/vmihailenco/msgpack/v5"
)

// recordTestTime is a minute before the end of validRecord's plan.
var recordTestTime = time.UnixMilli(1_750_000_000_000)

func encodeRecord(t testing.TB, r record) []byte {
	t.Helper()
	value, err := msgpack.Marshal(r)
	if err != nil {
		t.Fatalf("encoding a record: got error %v, want none", err)
	}
	return value
}

// validRecord has one plan with one step, and one replica that was moved a short time ago.
func validRecord() record {
	return record{Version: formatVersion, Plans: []planRow{{
		ID: 7, HeldFor: "job-000001", Need: []float64{8, 8, 8}, Host: "vm-1", Until: 1_750_000_060_000, MaxCost: 60000,
		Steps: []stepRow{{"job-000002", 0, 3, "vm-1", "vm-2", []float64{1, 1, 1}, 9000}},
	}}, Recent: []recentRow{{"job-000003", 1, 1_750_000_060_000}}}
}

// TestInvalidRecords: an invalid record is refused with an error that names the place.
func TestInvalidRecords(t *testing.T) {
	for place, damage := range map[string]func(*record){
		"v is 2":         func(r *record) { r.Version = 2 },
		"p[0].n":         func(r *record) { r.Plans[0].Need = nil },
		"p[0].h":         func(r *record) { r.Plans[0].Host = "" },
		"p[0].u":         func(r *record) { r.Plans[0].Until = 0 },
		"p[0].s:":        func(r *record) { r.Plans[0].Steps = nil },
		"p[0].s[0].t":    func(r *record) { r.Plans[0].Steps[0].Attempt = 0 },
		"p[0].s[0].f":    func(r *record) { r.Plans[0].Steps[0].To = "vm-1" },
		"p[0].s[0].j":    func(r *record) { r.Plans[0].Steps[0].Index = -1 },
		"p[0].s[1]: job": func(r *record) { p := &r.Plans[0]; p.Steps = append(p.Steps, p.Steps[0]) },
		"p[1].i: 7":      func(r *record) { r.Plans = append(r.Plans, r.Plans[0]) },
		"r[0]":           func(r *record) { r.Recent[0].Job = "" },
	} {
		r := validRecord()
		damage(&r)
		tracker := NewTracker(time.Minute)
		err := tracker.Recover(recordTestTime, "team", encodeRecord(t, r))
		if !errors.Is(err, ErrRecord) || len(tracker.Plans()) > 0 {
			t.Errorf("%s: got error %v and %d plans, want ErrRecord and none", place, err, len(tracker.Plans()))
			continue
		}
		if want := ErrRecord.Error() + ": " + place; !strings.HasPrefix(err.Error(), want) {
			t.Errorf("got error %q, want one that begins with %q", err, want)
		}
	}
}

// TestRecordIsRecovered: a valid record holds its places again, and its replicas and those
// moved a short time ago may not move.
func TestRecordIsRecovered(t *testing.T) {
	tracker, now := NewTracker(time.Minute), recordTestTime
	if err := tracker.Recover(now, "team", encodeRecord(t, validRecord())); err != nil {
		t.Fatalf("got error %v, want none", err)
	}
	if holds := tracker.Holds(); len(holds) != 2 {
		t.Errorf("got holds %v, want 2", holds)
	}
	for _, job := range []struct {
		id    string
		index int
	}{{"job-000003", 1}, {"job-000002", 0}} {
		if tracker.MayMove(now, job.id, job.index) {
			t.Errorf("got %s/%d allowed to move, want not", job.id, job.index)
		}
	}
	// Another controller's clock, or a damaged time, holds no place for ever.
	r := validRecord()
	r.Plans[0].Until = now.Add(time.Hour).UnixMilli()
	tracker = NewTracker(time.Minute)
	if err := tracker.Recover(now, "team", encodeRecord(t, r)); err != nil {
		t.Fatalf("got error %v, want none", err)
	}
	if until := tracker.Holds()[0].Until; until.Sub(now) > maxHold {
		t.Errorf("got a place held for %v, want at most %v", until.Sub(now), maxHold)
	}
}

// FuzzRecord: whatever is recovered can be encoded again.
func FuzzRecord(f *testing.F) {
	f.Add(encodeRecord(f, validRecord()))
	f.Fuzz(func(t *testing.T, value []byte) {
		tracker := NewTracker(time.Minute)
		if err := tracker.Recover(recordTestTime, "team", value); err == nil {
			tracker.EncodeRecord("team")
		}
	})
}

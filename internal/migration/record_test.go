package migration

import (
	"errors"
	"strings"
	"testing"
	"time"

	"github.com/vmihailenco/msgpack/v5"
)

// recordTestTime is one minute before the deadline of validRecord's plan.
var recordTestTime = time.UnixMilli(1_750_000_000_000)

// encodeRecord returns the msgpack encoding of a record.
func encodeRecord(t testing.TB, rec record) []byte {
	t.Helper()
	value, err := msgpack.Marshal(rec)
	if err != nil {
		t.Fatalf("encoding a record: got error %v, want none", err)
	}
	return value
}

// validRecord returns a record with one plan of one step and one recently moved replica.
func validRecord() record {
	return record{Version: formatVersion, Plans: []planRow{{
		ID: 7, HeldFor: "job-000001", Need: []float64{8, 8, 8}, Host: "vm-1", Until: 1_750_000_060_000, MaxCost: 60000,
		Steps: []stepRow{{"job-000002", 0, 3, "vm-1", "vm-2", []float64{1, 1, 1}, 9000}},
	}}, Recent: []recentRow{{"job-000003", 1, 1_750_000_060_000}}}
}

// TestInvalidRecords checks that an invalid record is rejected as a whole, with an error that names the
// invalid field.
func TestInvalidRecords(t *testing.T) {
	for place, damage := range map[string]func(*record){
		"v is 2":         func(rec *record) { rec.Version = 2 },
		"p[0].n":         func(rec *record) { rec.Plans[0].Need = nil },
		"p[0].h":         func(rec *record) { rec.Plans[0].Host = "" },
		"p[0].u":         func(rec *record) { rec.Plans[0].Until = 0 },
		"p[0].s:":        func(rec *record) { rec.Plans[0].Steps = nil },
		"p[0].s[0].t":    func(rec *record) { rec.Plans[0].Steps[0].Attempt = 0 },
		"p[0].s[0].f":    func(rec *record) { rec.Plans[0].Steps[0].To = "vm-1" },
		"p[0].s[0].j":    func(rec *record) { rec.Plans[0].Steps[0].Index = -1 },
		"p[0].s[1]: job": func(rec *record) { plan := &rec.Plans[0]; plan.Steps = append(plan.Steps, plan.Steps[0]) },
		"p[1].i: 7":      func(rec *record) { rec.Plans = append(rec.Plans, rec.Plans[0]) },
		"r[0]":           func(rec *record) { rec.Recent[0].Job = "" },
	} {
		rec := validRecord()
		damage(&rec)
		tracker := NewTracker(time.Minute)
		err := tracker.Recover(recordTestTime, "team", encodeRecord(t, rec))
		if !errors.Is(err, ErrRecord) || len(tracker.Plans()) > 0 {
			t.Errorf("%s: got error %v and %d plans, want ErrRecord and none", place, err, len(tracker.Plans()))
			continue
		}
		if want := ErrRecord.Error() + ": " + place; !strings.HasPrefix(err.Error(), want) {
			t.Errorf("got error %q, want one that begins with %q", err, want)
		}
	}
}

// TestRecordIsRecovered checks that after the recovery of a valid record its capacity is held again, and
// that neither the replicas of its plans nor the recently moved replicas may move. It guards against
// a deadline far in the future, from a different clock or a damaged record, that would hold capacity
// for longer than maxHold.
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
	// A deadline that is too far in the future is reduced to maxHold from now.
	rec := validRecord()
	rec.Plans[0].Until = now.Add(time.Hour).UnixMilli()
	tracker = NewTracker(time.Minute)
	if err := tracker.Recover(now, "team", encodeRecord(t, rec)); err != nil {
		t.Fatalf("got error %v, want none", err)
	}
	if until := tracker.Holds()[0].Until; until.Sub(now) > maxHold {
		t.Errorf("got capacity held for %v, want at most %v", until.Sub(now), maxHold)
	}
}

// FuzzRecord checks that every record that Recover accepts can be encoded again.
func FuzzRecord(f *testing.F) {
	f.Add(encodeRecord(f, validRecord()))
	f.Fuzz(func(t *testing.T, value []byte) {
		tracker := NewTracker(time.Minute)
		if err := tracker.Recover(recordTestTime, "team", value); err == nil {
			tracker.EncodeRecord("team")
		}
	})
}

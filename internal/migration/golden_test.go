package migration

import (
	"testing"
	"time"

	"github.com/micahill/micahill/internal/testgolden"
)

// TestGoldenRecord guards against an accidental change of the record format: the encoding of a team's
// record equals the stored golden file, and a tracker that recovers the golden record encodes the
// same bytes again.
func TestGoldenRecord(t *testing.T) {
	records := testgolden.Values{"moves": record{Version: formatVersion, Plans: []planRow{{
		ID: 7, HeldFor: "job-000001", Need: []float64{8.5, 1.25, 64.75}, Host: "vm-000003", Until: 1_750_000_060_123, MaxCost: 61_000,
		Steps: []stepRow{
			{Job: "job-000002", Index: 5, Attempt: 3, From: "vm-000003", To: "vm-000004", Need: []float64{2.5, 0.25, 16.75}, Downtime: 9_200},
			{Job: "job-000003", Index: 6, Attempt: 300, From: "vm-000004", To: "vm-000005", Need: []float64{1.5, 0.75, 8.25}, Downtime: 8_300},
		},
	}}, Recent: []recentRow{{Job: "job-000004", Index: 70_000, Until: 1_750_000_070_234}}}}
	testgolden.Check(t, testgolden.Codec{
		Write: testgolden.Msgpack.Write,
		Read: func(b []byte, into any) (err error) {
			*into.(*record), err = decodeRecord(b)
			return err
		},
		Strict: true,
	}, records)
	testgolden.CheckCoverage(t, records)

	tracker := NewTracker(time.Hour)
	if err := tracker.Recover(time.UnixMilli(1_750_000_000_000), "team", testgolden.Bytes(t, "moves")); err != nil {
		t.Fatal(err)
	}
	value, _ := tracker.EncodeRecord("team")
	testgolden.CheckUnchanged(t, "moves", value)
}

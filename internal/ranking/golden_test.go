package ranking

import (
	"testing"
	"time"

	"github.com/micahill/micahill/internal/testgolden"
)

// TestGoldenRecord guards against changes of the stored format: a ranking is encoded as in
// earlier versions, and a record of an earlier version is decoded.
func TestGoldenRecord(t *testing.T) {
	stored := testgolden.Values{"wire": storedRecord{Format: 3, Revision: 12, SetBy: "ops", SetAt: 1_750_000_000_123, Derived: true, Classes: []storedClass{
		{Name: "serving", Workloads: []string{"chat", "embed*"}, Urgency: "critical", WaitBoundMS: 90_500, ReservedFraction: 0.25},
		{Name: "rest", Urgency: "normal"},
	}}}
	testgolden.Check(t, testgolden.Msgpack, stored)
	testgolden.CheckCoverage(t, stored)

	records := testgolden.Values{"ranking": Record{Revision: 13, SetBy: "ada", SetAt: time.UnixMilli(1_750_000_001_234), Derived: true, Classes: []Class{
		{Name: "serving", Workloads: []string{"chat", "embed*"}, Urgency: "critical", WaitBound: 90_500 * time.Millisecond, ReservedFraction: 0.25},
		{Name: "rest", Urgency: "normal"},
	}}}
	testgolden.Check(t, testgolden.Codec{
		Write: func(v any) ([]byte, error) { return v.(Record).Encode(), nil },
		Read: func(b []byte, into any) (err error) {
			*into.(*Record), err = Decode(b)
			return err
		},
		Strict: true,
	}, records)
	records["wire"] = stored["wire"]
	testgolden.CheckCoverage(t, records)
	if rev := Revision(testgolden.Bytes(t, "ranking")); rev != 13 {
		t.Errorf("got revision %d, want 13", rev)
	}
}

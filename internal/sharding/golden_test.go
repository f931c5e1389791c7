package sharding

import (
	"testing"

	"github.com/micahill/micahill/internal/testgolden"
)

// TestGoldenRecords guards against a change of the encoding of shards and segments, under which
// a new version could not read stored records.
func TestGoldenRecords(t *testing.T) {
	records := testgolden.Values{
		"share": shardRecord{Host: "ctl-2", Incarnation: "n-18.1", Epoch: 411, Teams: []string{"ops", "vision"}, CatchAll: true, CatchAllEpoch: 409, Machines: []string{"vm-000007"}},
		"lot": segmentRecord{Shard: "ctl-2.1", Groups: []groupRecord{
			{Epoch: 412, Prefix: "vm-", Width: 6, Runs: []uint64{5, 3, 70_000, 7}},
			{Epoch: 413, Names: []string{"odd", "uneven"}},
		}},
	}
	testgolden.Check(t, testgolden.Codec{
		Write: func(v any) ([]byte, error) { return encode(v), nil },
		Read:  func(b []byte, into any) error { return decode(b, into) },
	}, records)
	testgolden.CheckCoverage(t, records)
}

// TestGoldenSegment checks that the machines of a stored segment are read, and that they are
// encoded to the same bytes again.
func TestGoldenSegment(t *testing.T) {
	shard, groups, err := decodeSegment(testgolden.Bytes(t, "lot"))
	if err != nil || shard != "ctl-2.1" || len(groups) != 2 || len(groups[0].names) != 10 || groups[0].names[3] != "vm-070008" {
		t.Fatalf("decodeSegment: got shard %q, groups %v, error %v; want shard ctl-2.1 with groups of 10 and 2 machines", shard, groups, err)
	}
	testgolden.CheckUnchanged(t, "lot", encodeSegment(shard, groups))
}

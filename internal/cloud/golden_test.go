package cloud

import (
	"testing"

	"github.com/micahill/micahill/internal/testgolden"
)

// TestGoldenWire: the cloud's answers and what it is asked are on the wire as they ever
// were.
func TestGoldenWire(t *testing.T) {
	wire := testgolden.Values{
		"types": typeList{Flavours: []flavour{{
			Name: "g8", VCPUs: 96.5, GPUs: 8.25, MemoryGB: 700.75, LocalGB: 1_900.5, PullRate: 0.25, Price: 12.5, MarketPrice: 4.75, ReadyS: 41.5, Sites: []string{"a", "b"},
		}}},
		"hosts": hostList{Truncated: true, Hosts: []host{{
			ID: "vm-000231", Address: "10.1.0.232:9000", Flavour: "g8", Site: "a", Loaner: true, Status: "up", HeldS: 61.5,
		}}},
		"booking": booking{Booking: "411.ctl-2.7", Flavour: "g8", Site: "a", Loaner: true, Count: 3},
		"names":   hostNames{Hosts: []string{"vm-000231", "vm-000232"}},
	}
	testgolden.Check(t, testgolden.Msgpack, wire)
	testgolden.Full(t, wire)
}

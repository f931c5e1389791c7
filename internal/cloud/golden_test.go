package cloud

import (
	"testing"

	"github.com/micahill/micahill/internal/testgolden"
)

// TestGoldenWire checks that the bodies of requests to the cloud, and of its responses, encode to the
// golden bytes and decode from them. It guards against a change of the wire format, which the cloud
// could not read.
func TestGoldenWire(t *testing.T) {
	wire := testgolden.Values{
		"machine-types": machineTypeList{Types: []machineType{{
			Name: "g8", VCPUs: 96.5, GPUs: 8.25, MemoryGB: 700.75, DiskGB: 1_900.5, FetchRate: 0.25, CostPerHour: 12.5, SpotCostPerHour: 4.75, ReadyS: 41.5, Zones: []string{"a", "b"},
		}}},
		"machines": machineList{Truncated: true, Machines: []machine{{
			ID: "vm-000231", Address: "10.1.0.232:9000", MachineType: "g8", Zone: "a", Spot: true, Status: "up", AgeS: 61.5,
		}}},
		"rental-request": rentalRequest{RequestID: "411.ctl-2.7", MachineType: "g8", Zone: "a", Spot: true, Count: 3},
		"machine-ids":    machineIDs{IDs: []string{"vm-000231", "vm-000232"}},
	}
	testgolden.Check(t, testgolden.Msgpack, wire)
	testgolden.CheckCoverage(t, wire)
}

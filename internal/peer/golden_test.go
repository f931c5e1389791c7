package peer

import (
	"testing"
	"time"

	"github.com/micahill/micahill/internal/exchange"
	"github.com/micahill/micahill/internal/message"
	"github.com/micahill/micahill/internal/model"
	"github.com/micahill/micahill/internal/remote"
	"github.com/micahill/micahill/internal/sharding"
	"github.com/micahill/micahill/internal/testgolden"
	"google.golang.org/protobuf/proto"
)

// goldenAttempt returns the ID of an attempt.
func goldenAttempt(job string, index int, attempt uint64) remote.AttemptID {
	return remote.AttemptID{Job: job, Index: index, Attempt: attempt}
}

// goldenUpdate is an update in which every field has a value other than zero.
var goldenUpdate = message.PeerUpdate{
	From: "ctl-2", Incarnation: "n-18.1", IsCapacityRequest: true, IsLeaderUpdate: true, StoreUnavailable: true, Seq: 4_321,
	Progress:      []message.Progress{{ID: "job-000411", Done: 7, Running: 9}},
	WorkloadLoads: []message.WorkloadLoad{{Team: "vision", Workload: "train", TasksPerSecond: 0.5, RunTimeRatio: 1.25, Deviation: 0.75, Samples: 41}},
	MachineUpdates: []message.MachineUpdate{
		{ID: "vm-000007", Addr: "10.1.0.7:9000", MachineType: "g8", Zone: "a", Spot: true, Images: map[string]float64{"img-07": 6.2, "img-08": 0.5}},
	},
	Surplus: []string{"vm-000011", "vm-000012"}, ToRelease: []string{"vm-000013"},
	CapacityRequests: []message.CapacityRequest{{MachineType: "g4", Zone: "b", Spot: true, Count: 3}},
	SurplusElsewhere: []message.CapacityRequest{{MachineType: "g2", Zone: "c", Count: 4}},
	Blocked:          []message.CapacityRequest{{MachineType: "g1", Zone: "d", Count: 500}},
	TeamLoads:        []message.TeamLoad{{Team: "ops", CPU: 96.5}},
	Offers:           []sharding.Offer{{Team: "batch", Machines: []string{"vm-000014"}}},
	TeamRelease:      []sharding.MoveRequest{{Team: "infer", From: "ctl-3", To: "ctl-4"}},
	RentalUpdates:    []message.RentalUpdate{{ID: "vm-000015", Addr: "10.1.0.15:9000", MachineType: "g8", Zone: "a", Spot: true, Status: "starting", Age: 12_345 * time.Millisecond}},
	RemoteAttempts: []remote.Request{{Machine: "vm-000016", Attempts: []remote.AttemptRequest{
		{AttemptID: goldenAttempt("job-000412", 5, 2), Intent: remote.Stop, WindDown: 30_250 * time.Millisecond},
		{AttemptID: goldenAttempt("job-000413", 6, 300), Intent: remote.Settled},
		{AttemptID: goldenAttempt("job-000414", 7, 4), Intent: remote.Keep},
	}}},
	RemoteStatuses: []remote.MachineStatus{{Machine: "vm-000017", Epoch: 412, Zone: "b", Attempts: []remote.AttemptStatus{
		{AttemptID: goldenAttempt("job-000415", 8, 9), State: remote.Ended, Cause: "done"},
		{AttemptID: goldenAttempt("job-000416", 9, 10), State: remote.Gone, Cause: "lost"},
		{AttemptID: goldenAttempt("job-000417", 10, 11), State: remote.Fetching},
		{AttemptID: goldenAttempt("job-000417", 11, 12), State: remote.Running},
		{AttemptID: goldenAttempt("job-000417", 12, 13), State: remote.Checkpointing},
		{AttemptID: goldenAttempt("job-000417", 13, 14), State: remote.Unknown},
	}}},
	Rates:              &message.Rates{Requests: 40.5, Writes: 20.25},
	HostNeeds:          []message.HostNeed{{MachineType: "g8", Zone: "a", Spot: true, Need: model.Resources{CPU: 96.5, GPU: 8, Memory: 700.25}, Workload: "train", Urgency: model.Urgent}},
	OthersNeeds:        []message.HostNeed{{MachineType: "g4", Zone: "b", Need: model.Resources{CPU: 48}, Workload: "infer", Urgency: model.Critical}},
	EvacuationRequests: []message.HostNeed{{MachineType: "g2", Zone: "c", Need: model.Resources{Memory: 350}, Urgency: model.Normal}},
	EvacuationCosts:    []message.HostCost{{MachineType: "g1", Zone: "d", Spot: true, Downtime: 16_125 * time.Millisecond}},
	TransferRequests: []exchange.TransferRequest{{
		Team: "ops", Kinds: []exchange.Kind{{MachineType: "g8", Zone: "a", Spot: true}, {MachineType: "g4", Zone: "b"}},
		Need: model.Resources{CPU: 8.5, GPU: 1, Memory: 30.25}, Jobs: 3, Waited: 51_250 * time.Millisecond,
	}},
	OthersTransferRequests: []exchange.TransferRequest{{Team: "lab", Kinds: []exchange.Kind{{MachineType: "g2", Zone: "c"}}, Need: model.Resources{CPU: 2}, Jobs: 1, Waited: time.Minute}},
	TransferOffers:         []exchange.TransferOffer{{ID: "vm-000021", Kind: exchange.Kind{MachineType: "g8", Zone: "a", Spot: true}, Free: model.Resources{CPU: 16.5, GPU: 2, Memory: 64}, Attempts: 4}},
	Quotes: []message.TeamQuotes{
		{Team: "ops", Value: []byte{0x81, 0xa1, 'v', 0x01}},
	},
	Rerouted:         []message.ReroutedHeartbeat{{ID: "vm-000018", Epoch: 413, Incarnation: 3, Sequence: 88}},
	Cancellations:    []message.Cancellation{{ID: "job-000418", Record: []byte{0x81, 0xa1, 'x', 0xc3}, ModRevision: 5_432}},
	CancellationAcks: []string{"job-000419", "job-000420"},
}

// TestGoldenUpdate checks that an update with all fields encodes to the golden bytes and decodes from
// them. It guards against a change of the wire format, which controllers of another version could not
// read.
func TestGoldenUpdate(t *testing.T) {
	updates := testgolden.Values{"update": goldenUpdate}
	testgolden.Check(t, testgolden.Codec{
		Write: func(v any) ([]byte, error) {
			// Without this option the order of the images, which are a map, is random.
			return proto.MarshalOptions{Deterministic: true}.Marshal(encodeUpdate(v.(message.PeerUpdate)))
		},
		Read: func(b []byte, into any) error {
			var pb Update
			err := proto.Unmarshal(b, &pb)
			*into.(*message.PeerUpdate) = decodeUpdate(&pb)
			return err
		},
	}, updates)
	testgolden.CheckCoverage(t, updates)
	testgolden.CheckProtoCoverage(t, File_internal_peer_peer_proto, encodeUpdate(goldenUpdate))
	if peerHandshakeByte != 0 {
		t.Errorf("first byte of a connection: got %d, want 0", peerHandshakeByte)
	}
}

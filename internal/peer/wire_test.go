package peer

import (
	"math"
	"math/rand/v2"
	"reflect"
	"testing"
	"time"

	"github.com/micahill/micahill/internal/controller"
	"github.com/micahill/micahill/internal/message"
	"github.com/micahill/micahill/internal/model"
	"google.golang.org/protobuf/proto"
)

// roundTrip encodes an update and decodes it again.
func roundTrip(t *testing.T, update message.PeerUpdate) message.PeerUpdate {
	t.Helper()
	b, err := proto.Marshal(encodeUpdate(update))
	if err != nil {
		t.Fatal(err)
	}
	var pb Update
	if err := proto.Unmarshal(b, &pb); err != nil {
		t.Fatal(err)
	}
	return decodeUpdate(&pb)
}

// TestIncarnationRoundTrip checks that the sender's incarnation, its quotes and the state of its
// connection to the state service survive encoding and decoding. A receiver could not otherwise tell
// a restarted sender from its predecessor.
func TestIncarnationRoundTrip(t *testing.T) {
	want := message.PeerUpdate{From: "a", Incarnation: "n.2", StoreUnavailable: true, Quotes: []message.TeamQuotes{{Team: "ops", Value: []byte{1, 2}}}}
	if got := roundTrip(t, want); !reflect.DeepEqual(got, want) {
		t.Errorf("got %+v, want %+v", got, want)
	}
}

// TestMachineNeedsRoundTrip checks that needs for empty machines, and the cost of evacuating a
// machine, survive encoding and decoding.
func TestMachineNeedsRoundTrip(t *testing.T) {
	need := message.HostNeed{MachineType: "g8", Zone: "z", Spot: true, Need: model.Resources{CPU: 96, GPU: 8, Memory: 700}, Workload: "w", Urgency: model.Urgent}
	want := message.PeerUpdate{From: "a", HostNeeds: []message.HostNeed{need}, OthersNeeds: []message.HostNeed{need, need}, EvacuationRequests: []message.HostNeed{need}, EvacuationCosts: []message.HostCost{{MachineType: "g8", Zone: "z", Spot: true, Downtime: 16 * time.Second}}}
	if got := roundTrip(t, want); !reflect.DeepEqual(got, want) {
		t.Errorf("got %+v, want %+v", got, want)
	}
}

// TestReroutedHeartbeatsRoundTrip checks that heartbeats of the receiver's machines that reached the
// sender survive encoding and decoding. By these heartbeats a machine owner detects that it is cut
// off from its workers.
func TestReroutedHeartbeatsRoundTrip(t *testing.T) {
	want := message.PeerUpdate{From: "a", Rerouted: []message.ReroutedHeartbeat{{ID: "vm-1", Epoch: 3, Incarnation: 2, Sequence: 40}}}
	if got := roundTrip(t, want); !reflect.DeepEqual(got, want) {
		t.Errorf("got %+v, want %+v", got, want)
	}
}

// FuzzPeerUpdate guards against a controller that panics because of an update from another
// controller. The seeds have negative counts, infinite and undefined rates, empty names and largest
// revisions.
func FuzzPeerUpdate(f *testing.F) {
	for _, update := range []message.PeerUpdate{
		{From: "b", Rates: &message.Rates{Requests: math.NaN(), Writes: -1}},
		{From: "b", WorkloadLoads: []message.WorkloadLoad{{Workload: "w", TasksPerSecond: math.Inf(1), Samples: -4}}, IsCapacityRequest: true, CapacityRequests: []message.CapacityRequest{{MachineType: "box", Count: -1}}},
		{From: "b", Quotes: []message.TeamQuotes{{Team: "ops", Value: []byte("x")}, {}}},
		{From: "b", Rerouted: []message.ReroutedHeartbeat{{ID: "", Epoch: math.MaxUint64}}},
		{From: "b", Cancellations: []message.Cancellation{{ID: "job-1", Record: []byte{0x81, 0xa1, 'x', 0xc3}, ModRevision: math.MaxUint64}, {}}, CancellationAcks: []string{"", "job-1"}},
		{From: "b", IsLeaderUpdate: true, RentalUpdates: []message.RentalUpdate{{ID: "vm", Age: -time.Hour}}, Progress: []message.Progress{{ID: "job-1", Done: -1}}},
	} {
		b, err := proto.Marshal(encodeUpdate(update))
		if err != nil {
			f.Fatal(err)
		}
		f.Add(b)
	}
	f.Fuzz(func(t *testing.T, b []byte) {
		var pb Update
		if proto.Unmarshal(b, &pb) != nil {
			return
		}
		instance := controller.New(controller.Settings{Host: "a", Peers: []string{"b"}, MaxTxnWrites: 12, MaxValueBytes: 4096, StoreRequestsPerSecond: 10, StoreWritesPerSecond: 10, Policy: controller.DefaultPolicy(),
			Teams: []model.Team{{Name: "ops"}}, Capabilities: controller.Capabilities{Promises: true, PromiseFraction: 0.95}}, rand.New(rand.NewPCG(1, 2)))
		now := time.Unix(1_750_000_000, 0)
		instance.Step(now, []message.Command{decodeUpdate(&pb)})
		instance.Step(now.Add(2*time.Second), nil)
	})
}

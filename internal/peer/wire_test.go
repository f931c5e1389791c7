package peer

import (
	"math"
	"math/rand/v2"
	"reflect"
	"slices"
	"testing"
	"time"

	"github.com/micahill/micahill/internal/controller"
	"github.com/micahill/micahill/internal/message"
	"github.com/micahill/micahill/internal/model"
	"google.golang.org/protobuf/proto"
)

// TestIncarnationRoundTrip: news names the life that sent it.
func TestIncarnationRoundTrip(t *testing.T) {
	b, err := proto.Marshal(toProto(message.PeerUpdate{From: "a", Incarnation: "n.2", StoreUnavailable: true, Quotes: []message.TeamQuotes{{Team: "ops", Value: []byte{1, 2}}}}))
	if err != nil {
		t.Fatal(err)
	}
	var m News
	if err := proto.Unmarshal(b, &m); err != nil {
		t.Fatal(err)
	}
	if n := m.toUpdate(); n.From != "a" || n.Incarnation != "n.2" || !n.StoreUnavailable || len(n.Quotes) != 1 || n.Quotes[0].Team != "ops" || string(n.Quotes[0].Value) != "\x01\x02" {
		t.Errorf("came as %+v", n)
	}
}

// TestMachineNeedsRoundTrip: whole hosts that are needed, and what emptying one would cost.
func TestMachineNeedsRoundTrip(t *testing.T) {
	need := message.HostNeed{MachineType: "g8", Zone: "z", Spot: true, Need: model.Resources{CPU: 96, GPU: 8, Memory: 700}, Workload: "w", Urgency: model.Urgent}
	want := message.PeerUpdate{From: "a", HostNeeds: []message.HostNeed{need}, OthersNeeds: []message.HostNeed{need, need}, EvacuationRequests: []message.HostNeed{need}, EvacuationCosts: []message.HostCost{{MachineType: "g8", Zone: "z", Spot: true, Downtime: 16 * time.Second}}}
	b, err := proto.Marshal(toProto(want))
	if err != nil {
		t.Fatal(err)
	}
	var m News
	if err := proto.Unmarshal(b, &m); err != nil {
		t.Fatal(err)
	}
	if n := m.toUpdate(); !reflect.DeepEqual(n, want) {
		t.Errorf("came as %+v", n)
	}
}

// TestReroutedHeartbeatsRoundTrip: what came of the receiver's machines arrives as it was told.
func TestReroutedHeartbeatsRoundTrip(t *testing.T) {
	want := []message.ReroutedHeartbeat{{ID: "vm-1", Epoch: 3, Incarnation: 2, Sequence: 40}}
	b, err := proto.Marshal(toProto(message.PeerUpdate{From: "a", Rerouted: want}))
	if err != nil {
		t.Fatal(err)
	}
	var m News
	if err := proto.Unmarshal(b, &m); err != nil {
		t.Fatal(err)
	}
	if n := m.toUpdate(); !slices.Equal(n.Rerouted, want) {
		t.Errorf("came as %+v", n.Rerouted)
	}
}

// FuzzPeerUpdate: whatever another controller sends, nothing ends for it.
func FuzzPeerUpdate(f *testing.F) {
	for _, n := range []message.PeerUpdate{
		{From: "b", Rates: &message.Rates{Requests: math.NaN(), Writes: -1}},
		{From: "b", WorkloadLoads: []message.WorkloadLoad{{Workload: "w", TasksPerSecond: math.Inf(1), Samples: -4}}, IsCapacityRequest: true, CapacityRequests: []message.CapacityRequest{{MachineType: "box", Count: -1}}},
		{From: "b", Quotes: []message.TeamQuotes{{Team: "ops", Value: []byte("x")}, {}}},
		{From: "b", Rerouted: []message.ReroutedHeartbeat{{ID: "", Epoch: math.MaxUint64}}},
		{From: "b", Cancellations: []message.Cancellation{{ID: "job-1", Record: []byte{0x81, 0xa1, 'x', 0xc3}, ModRevision: math.MaxUint64}, {}}, CancellationAcks: []string{"", "job-1"}},
		{From: "b", IsLeaderUpdate: true, RentalUpdates: []message.RentalUpdate{{ID: "vm", Age: -time.Hour}}, Progress: []message.Progress{{ID: "job-1", Done: -1}}},
	} {
		b, err := proto.Marshal(toProto(n))
		if err != nil {
			f.Fatal(err)
		}
		f.Add(b)
	}
	f.Fuzz(func(t *testing.T, b []byte) {
		var m News
		if proto.Unmarshal(b, &m) != nil {
			return
		}
		n := controller.New(controller.Settings{Host: "a", Peers: []string{"b"}, MaxTxnWrites: 12, MaxValueBytes: 4096, StoreRequestsPerSecond: 10, StoreWritesPerSecond: 10, Policy: controller.DefaultPolicy(),
			Teams: []model.Team{{Name: "ops"}}, Capabilities: controller.Capabilities{Promises: true, PromiseFraction: 0.95}}, rand.New(rand.NewPCG(1, 2)))
		now := time.Unix(1_750_000_000, 0)
		n.Step(now, []message.Command{m.toUpdate()})
		n.Step(now.Add(2*time.Second), nil)
	})
}

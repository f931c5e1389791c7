package message

import (
	"errors"
	"math"
	"strings"
	"testing"
	"time"

	"github.com/micahill/micahill/internal/exchange"
	"github.com/micahill/micahill/internal/model"
	"github.com/micahill/micahill/internal/remote"
	"github.com/micahill/micahill/internal/validate"
)

// TestPeerUpdateValidate guards against a field that Validate does not check, and against an error
// that names another field than the first invalid one.
func TestPeerUpdateValidate(t *testing.T) {
	kinds := []exchange.Kind{{MachineType: "g8", Zone: "a"}}
	attempt := remote.AttemptID{Job: "job-000412", Index: -1, Attempt: 2}
	for _, c := range []struct {
		name   string
		update PeerUpdate
		want   string
	}{
		{"valid", PeerUpdate{From: "ctl-2"}, ""},
		{"capacity request", PeerUpdate{CapacityRequests: []CapacityRequest{{Count: -1}}}, "wants.count"},
		{"surplus", PeerUpdate{SurplusElsewhere: []CapacityRequest{{Count: -1}}}, "spare.count"},
		{"blocked kind", PeerUpdate{Blocked: []CapacityRequest{{Zone: strings.Repeat("z", 1000)}}}, "blocked.zone"},
		{"rates", PeerUpdate{Rates: &Rates{Writes: math.NaN()}}, "rates.changes"},
		{"workload load", PeerUpdate{WorkloadLoads: []WorkloadLoad{{Workload: "train", Samples: -1}}}, "loads.samples"},
		{"quotes", PeerUpdate{Quotes: []TeamQuotes{{Team: "ops"}}}, "quotes.value"},
		{"progress", PeerUpdate{Progress: []Progress{{Running: -1}}}, "progress.running"},
		{"team load", PeerUpdate{TeamLoads: []TeamLoad{{CPU: math.Inf(1)}}}, "teams.cpu"},
		{"machine update", PeerUpdate{MachineUpdates: []MachineUpdate{{ID: "vm-1", Images: map[string]float64{"img": -1}}}}, "hosts.images"},
		{"rental update", PeerUpdate{RentalUpdates: []RentalUpdate{{ID: "vm-1", Age: -time.Second}}}, "rentals.age"},
		{"rerouted heartbeats", PeerUpdate{Rerouted: make([]ReroutedHeartbeat, MaxReroutedHeartbeats+1)}, "came"},
		{"cancellation", PeerUpdate{Cancellations: []Cancellation{{}}}, "cancelled.id"},
		{"cancellation ack", PeerUpdate{CancellationAcks: []string{""}}, "cancels_heard.id"},
		{"remote attempt", PeerUpdate{RemoteAttempts: []remote.Request{{Machine: "vm-1", Attempts: []remote.AttemptRequest{{AttemptID: attempt}}}}}, "wards.index"},
		{"host need", PeerUpdate{HostNeeds: []HostNeed{{MachineType: "g8", Urgency: 9}}}, "needs.urgency"},
		{"others' need", PeerUpdate{OthersNeeds: []HostNeed{{}}}, "lacks.flavour"},
		{"evacuation request", PeerUpdate{EvacuationRequests: []HostNeed{{}}}, "empty.flavour"},
		{"evacuation cost", PeerUpdate{EvacuationCosts: []HostCost{{MachineType: "g8", Downtime: -time.Second}}}, "costs.down"},
		{"transfer request", PeerUpdate{TransferRequests: []exchange.TransferRequest{{Team: "ops", Kinds: kinds, Need: model.Resources{CPU: -1}, Jobs: 1}}}, "transfer_requests.cpu"},
		{"transfer request without kinds", PeerUpdate{TransferRequests: []exchange.TransferRequest{{Team: "ops", Jobs: 1}}}, "transfer_requests.kinds"},
		{"transfer request for zero jobs", PeerUpdate{TransferRequests: []exchange.TransferRequest{{Team: "ops", Kinds: kinds}}}, "transfer_requests.jobs"},
		{"transfer request with a negative wait", PeerUpdate{TransferRequests: []exchange.TransferRequest{{Team: "ops", Kinds: kinds, Jobs: 1, Waited: -time.Second}}}, "transfer_requests.waited"},
		{"too many transfer requests", PeerUpdate{TransferRequests: make([]exchange.TransferRequest, MaxTransferRequests+1)}, "transfer_requests"},
		{"others' transfer request", PeerUpdate{OthersTransferRequests: []exchange.TransferRequest{{Kinds: kinds, Jobs: 1}}}, "others_transfer_requests.team"},
		{"others' transfer request with a kind without a zone", PeerUpdate{OthersTransferRequests: []exchange.TransferRequest{{Team: "ops", Kinds: []exchange.Kind{{MachineType: "g8"}}, Jobs: 1}}}, "others_transfer_requests.kinds.zone"},
		{"transfer offer without an ID", PeerUpdate{TransferOffers: []exchange.TransferOffer{{}}}, "transfer_offers.machine"},
		{"transfer offer with memory that is not a number", PeerUpdate{TransferOffers: []exchange.TransferOffer{{ID: "vm-1", Free: model.Resources{Memory: math.NaN()}}}}, "transfer_offers.memory"},
		{"transfer offer with negative attempts", PeerUpdate{TransferOffers: []exchange.TransferOffer{{ID: "vm-1", Attempts: -1}}}, "transfer_offers.attempts"},
		{"remote status", PeerUpdate{RemoteStatuses: []remote.MachineStatus{{Machine: "vm-1", Attempts: []remote.AttemptStatus{{AttemptID: attempt}}}}}, "told.index"},
		{"two invalid fields: the error names the first", PeerUpdate{CapacityRequests: []CapacityRequest{{Count: -1}}, RemoteStatuses: []remote.MachineStatus{{}}}, "wants.count"},
	} {
		t.Run(c.name, func(t *testing.T) {
			var got *validate.FieldError
			if err := c.update.Validate(); c.want == "" && err != nil || c.want != "" && (!errors.As(err, &got) || got.Field != c.want) {
				t.Errorf("got error %v, want an error for field %q (empty: no error)", err, c.want)
			}
		})
	}
}

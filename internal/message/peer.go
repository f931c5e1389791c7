package message

import (
	"time"

	"github.com/micahill/micahill/internal/exchange"
	"github.com/micahill/micahill/internal/model"
	"github.com/micahill/micahill/internal/remote"
	"github.com/micahill/micahill/internal/sharding"
)

const (
	// MaxCancellationsPerUpdate bounds the Cancellations of an update, of some hundred bytes
	// each, and the CancellationAcks. More are left to the jobs' records.
	MaxCancellationsPerUpdate = 200
	// MaxTransferRequests bounds the TransferRequests of an update, MaxTransferKinds the kinds
	// of one, and MaxTransferOffers the TransferOffers.
	MaxTransferRequests = 16
	MaxTransferKinds    = 64
	MaxTransferOffers   = 200
	// MaxReroutedHeartbeats bounds the Rerouted of an update.
	MaxReroutedHeartbeats = 1000
)

// PeerUpdate is what a controller publishes to another. An update may be lost, late or out of
// order, so nothing that must hold may rest on it. A part that is empty says nothing.
type PeerUpdate struct {
	// From is the sender's host.
	From string
	// Incarnation is the sender's when it made the update.
	Incarnation string

	// Progress is that of the sender's jobs, for users to see.
	Progress []Progress
	// WorkloadLoads and MachineUpdates are for a successor of the sender.
	WorkloadLoads  []WorkloadLoad
	MachineUpdates []MachineUpdate

	// IsCapacityRequest says that the sender, as a shard leader, makes its requests of the
	// leader: the fields to Offers are meant, also where they are empty.
	IsCapacityRequest bool
	// Surplus are machines that the sender has no use for now, by ID.
	Surplus []string
	// Seq is, in a capacity request, that of the newest leader update which the sender has
	// applied; in a leader update, its own.
	Seq uint64
	// CapacityRequests are the machines that the sender wants.
	CapacityRequests []CapacityRequest
	// ToRelease are idle machines to give back to the cloud, by ID.
	ToRelease []string
	TeamLoads []TeamLoad
	// Offers are the machines that would go along with a team that is to move.
	Offers []sharding.Offer

	// IsLeaderUpdate says that the sender, as the leader, informs a shard leader: the fields
	// to TeamRelease are meant, also where they are empty.
	IsLeaderUpdate bool
	// SurplusElsewhere counts the machines that other shards could give away.
	SurplusElsewhere []CapacityRequest
	// RentalUpdates are machines of the receiver's, among them all that changed after the Seq
	// of its newest capacity request.
	RentalUpdates []RentalUpdate
	// Blocked are the kinds of machines that the cloud has none of now.
	Blocked []CapacityRequest
	// TeamRelease are teams that are to move to another shard.
	TeamRelease []sharding.MoveRequest

	// RemoteAttempts are attempts of the sender's jobs on the receiver's machines, and
	// RemoteStatuses what is known of the receiver's on the sender's machines.
	RemoteAttempts []remote.Request
	RemoteStatuses []remote.MachineStatus
	// Rates are the requests that the sender needs to make of the state service.
	Rates *Rates
	// StoreUnavailable says that the state service does not answer the sender.
	StoreUnavailable bool

	// HostNeeds are machines that the sender needs empty, and EvacuationCosts what it would
	// cost the sender to evacuate one. The leader answers with OthersNeeds, what other shards
	// need, and EvacuationRequests, what the receiver is to evacuate.
	HostNeeds, OthersNeeds, EvacuationRequests []HostNeed
	EvacuationCosts                            []HostCost
	// TransferRequests ask for free capacity on machines of other shards, and TransferOffers
	// are the sender's machines that others may have for theirs. The leader publishes with
	// OthersTransferRequests what other shards request.
	TransferRequests, OthersTransferRequests []exchange.TransferRequest
	TransferOffers                           []exchange.TransferOffer
	// Quotes are what completion dates for the sender's teams rest on.
	Quotes []TeamQuotes
	// Rerouted are heartbeats of the receiver's machines that reached the sender.
	Rerouted []ReroutedHeartbeat
	// Cancellations are jobs whose users have been answered, by the sender or by another
	// controller before it, that they are cancelled. CancellationAcks are those that the
	// sender has learnt of from the receiver, by job.
	Cancellations    []Cancellation
	CancellationAcks []string
}

// SendPeerUpdate sends an update to another controller.
type SendPeerUpdate struct {
	// To is the receiver's host.
	To     string
	Update PeerUpdate
}

func (PeerUpdate) command() {}

func (SendPeerUpdate) effect() {}

// Progress is how many of a job's tasks are done and running.
type Progress struct {
	ID      string
	Done    int
	Running int
}

// WorkloadLoad is what a shard leader has measured of a team's jobs of a workload.
type WorkloadLoad struct {
	Team     string
	Workload string
	// TasksPerSecond is how many tasks are submitted.
	TasksPerSecond float64
	// RunTimeRatio is how run times compare with their users' estimates, and Deviation how
	// much that varies, over Samples tasks.
	RunTimeRatio float64
	Deviation    float64
	Samples      int
}

// TeamLoad is the CPUs that a team's tasks take and wait for.
type TeamLoad struct {
	Team string
	CPU  float64
}

// RentalUpdate is a machine as the leader knows it from the cloud.
type RentalUpdate struct {
	ID string
	// Addr is the worker's host and port.
	Addr        string
	MachineType string
	Zone        string
	Spot        bool
	// Status is the leader's account of the rental.
	Status string
	// Age is the time since the machine was rented.
	Age time.Duration
}

// MachineUpdate is a machine as its owner knows it.
type MachineUpdate struct {
	ID string
	// Addr is the worker's host and port.
	Addr        string
	MachineType string
	Zone        string
	Spot        bool
	// Images are the sizes in GB of those that the machine has, by name.
	Images map[string]float64
}

// CapacityRequest is a number of machines of a kind.
type CapacityRequest struct {
	MachineType string
	Zone        string
	Spot        bool
	Count       int
}

// HostNeed is a kind of which an empty machine is needed, and for what.
type HostNeed struct {
	MachineType string
	Zone        string
	Spot        bool
	// Need is what the waiting task takes.
	Need model.Resources
	// Workload and Urgency are what the ranking orders needs by.
	Workload string
	Urgency  model.Urgency
}

// HostCost is how long replicas would be down for a machine of a kind to be evacuated.
type HostCost struct {
	MachineType string
	Zone        string
	Spot        bool
	Downtime    time.Duration
}

// TeamQuotes is what quotes for a team rest on, encoded as in its record.
type TeamQuotes struct {
	Team  string
	Value []byte
}

// ReroutedHeartbeat is a heartbeat that reached a controller which does not own its machine.
type ReroutedHeartbeat struct {
	// ID is the machine's.
	ID                           string
	Epoch, Incarnation, Sequence uint64
}

// Cancellation is a job's open/ record as its cancellation has written it.
type Cancellation struct {
	// ID is the job's.
	ID          string
	Record      []byte
	ModRevision uint64
}

package message

import (
	"time"

	"github.com/micahill/micahill/internal/exchange"
	"github.com/micahill/micahill/internal/model"
	"github.com/micahill/micahill/internal/remote"
	"github.com/micahill/micahill/internal/sharding"
)

// Limits on the lists of a PeerUpdate.
const (
	// MaxCancellationsPerUpdate is the largest number of Cancellations, of some hundred bytes
	// each, and of CancellationAcks. Controllers learn of further cancellations from the records
	// of the jobs.
	MaxCancellationsPerUpdate = 200
	// MaxTransferRequests is the largest number of TransferRequests, MaxTransferKinds the largest
	// number of kinds in a request, and MaxTransferOffers the largest number of TransferOffers.
	MaxTransferRequests = 16
	MaxTransferKinds    = 64
	MaxTransferOffers   = 200
	// MaxReroutedHeartbeats is the largest number of heartbeats in Rerouted.
	MaxReroutedHeartbeats = 1000
)

// PeerUpdate is a message from one controller to another. An update may be lost, late or out of
// order, so no invariant may depend on it. An empty field means no information, except where the
// comment of IsCapacityRequest or IsLeaderUpdate says otherwise.
type PeerUpdate struct {
	// From is the sender's host.
	From string
	// Incarnation is the sender's incarnation when it made the update.
	Incarnation string

	// Progress is the progress of the sender's jobs, shown to users.
	Progress []Progress
	// WorkloadLoads and MachineUpdates are the state that a successor of the sender needs.
	WorkloadLoads  []WorkloadLoad
	MachineUpdates []MachineUpdate

	// IsCapacityRequest is true if the sender, as a shard leader, sends its requests to the
	// leader. The fields from here to Offers then apply even where they are empty.
	IsCapacityRequest bool
	// Surplus are the IDs of machines that the sender does not need.
	Surplus []string
	// Seq is the sequence number of a leader update. In a leader update, Seq is its own number;
	// in a capacity request, Seq is that of the newest leader update that the sender has applied.
	Seq uint64
	// CapacityRequests are the machines that the sender requests.
	CapacityRequests []CapacityRequest
	// ToRelease are the IDs of idle machines that the leader is to return to the cloud.
	ToRelease []string
	// TeamLoads are the loads of the sender's teams.
	TeamLoads []TeamLoad
	// Offers are the machines that the sender would hand over together with a team that is to
	// move.
	Offers []sharding.Offer

	// IsLeaderUpdate is true if the sender, as the leader, informs a shard leader. The fields
	// from here to TeamRelease then apply even where they are empty.
	IsLeaderUpdate bool
	// SurplusElsewhere counts, by kind, the machines that other shards have as surplus.
	SurplusElsewhere []CapacityRequest
	// RentalUpdates are rented machines of the receiver. They include all that have changed since
	// the Seq of the receiver's newest capacity request.
	RentalUpdates []RentalUpdate
	// Blocked are the kinds of machines for which the cloud has no capacity.
	Blocked []CapacityRequest
	// TeamRelease are the teams that are to move to another shard.
	TeamRelease []sharding.MoveRequest

	// RemoteAttempts are the attempts of the sender's jobs on the receiver's machines.
	// RemoteStatuses are the states of attempts of the receiver's jobs on the sender's machines.
	RemoteAttempts []remote.Request
	RemoteStatuses []remote.MachineStatus
	// Rates are the rates of requests to the state service that the sender needs.
	Rates *Rates
	// StoreUnavailable is true if the state service does not answer the sender.
	StoreUnavailable bool

	// HostNeeds are the empty machines that the sender needs, and EvacuationCosts are the costs
	// of evacuating a machine of the sender. The leader answers with OthersNeeds, the needs of
	// other shards, and EvacuationRequests, the machines that the receiver is to evacuate.
	HostNeeds, OthersNeeds, EvacuationRequests []HostNeed
	EvacuationCosts                            []HostCost
	// TransferRequests ask for free capacity on machines of other shards. TransferOffers are the
	// sender's machines that the leader may transfer to satisfy such requests. The leader
	// publishes the requests of other shards as OthersTransferRequests.
	TransferRequests, OthersTransferRequests []exchange.TransferRequest
	TransferOffers                           []exchange.TransferOffer
	// Quotes are the data from which controllers compute completion dates for the sender's teams.
	Quotes []TeamQuotes
	// Rerouted are heartbeats of the receiver's machines that reached the sender instead.
	Rerouted []ReroutedHeartbeat
	// Cancellations are cancelled jobs whose users have been told so, by the sender or by another
	// controller that informed the sender. CancellationAcks are the IDs of the jobs whose
	// cancellation the sender has learnt from the receiver.
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

// Progress is the number of a job's tasks that are done and that are running.
type Progress struct {
	ID      string
	Done    int
	Running int
}

// WorkloadLoad is the load that a shard leader has measured for a team's jobs of a workload.
type WorkloadLoad struct {
	Team     string
	Workload string
	// TasksPerSecond is the rate of submitted tasks.
	TasksPerSecond float64
	// RunTimeRatio is the ratio of run times to their users' estimates, and Deviation the
	// deviation of that ratio, over Samples tasks.
	RunTimeRatio float64
	Deviation    float64
	Samples      int
}

// TeamLoad is the number of CPUs that a team's tasks use and wait for.
type TeamLoad struct {
	Team string
	CPU  float64
}

// RentalUpdate describes a rented machine with the leader's information from the cloud.
type RentalUpdate struct {
	ID string
	// Addr is the worker's host and port.
	Addr        string
	MachineType string
	Zone        string
	Spot        bool
	// Status is the state of the rental according to the leader.
	Status string
	// Age is the time since the machine was rented.
	Age time.Duration
}

// MachineUpdate describes a machine with its owner's information.
type MachineUpdate struct {
	ID string
	// Addr is the worker's host and port.
	Addr        string
	MachineType string
	Zone        string
	Spot        bool
	// Images are the images on the machine: their sizes in GB, by name.
	Images map[string]float64
}

// CapacityRequest is a number of machines of one kind.
type CapacityRequest struct {
	MachineType string
	Zone        string
	Spot        bool
	Count       int
}

// HostNeed is the need for an empty machine of a kind.
type HostNeed struct {
	MachineType string
	Zone        string
	Spot        bool
	// Need is the resources of the waiting task.
	Need model.Resources
	// Workload and Urgency are those of the waiting task's job. The ranking orders needs by them.
	Workload string
	Urgency  model.Urgency
}

// HostCost is the downtime of replicas that the evacuation of a machine of a kind would cause.
type HostCost struct {
	MachineType string
	Zone        string
	Spot        bool
	Downtime    time.Duration
}

// TeamQuotes is the data for computing a team's completion dates. Value has the encoding of the
// team's record in the state service.
type TeamQuotes struct {
	Team  string
	Value []byte
}

// ReroutedHeartbeat identifies a heartbeat that reached a controller other than the machine's owner.
type ReroutedHeartbeat struct {
	// ID is the machine's ID.
	ID                           string
	Epoch, Incarnation, Sequence uint64
}

// Cancellation is a cancelled job's open/ record, as the cancellation wrote it.
type Cancellation struct {
	// ID is the job's ID.
	ID          string
	Record      []byte
	ModRevision uint64
}

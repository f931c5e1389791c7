package controller

import (
	"time"

	"github.com/micahill/micahill/internal/model"
	"github.com/micahill/micahill/internal/remote"
	"github.com/micahill/micahill/internal/sharding"
)

// Command is an input to the core. Effect is an output.
type (
	Command interface{ command() }
	Effect  interface{ effect() }
)

// Submit, Query and Abort come from users; Reply names the waiting request.
type SubmitJob struct {
	Reply uint64
	Spec  model.JobSpec
	// MalformedReason is the reason for a 400, when the body was malformed but its id
	// could be read.
	MalformedReason string
}

// QueryJob asks for the state of a job.
type QueryJob struct {
	Reply uint64
	ID    string
}

// CancelJob cancels a job.
type CancelJob struct {
	Reply uint64
	ID    string
}

// WorkerHeartbeat is a report that waits for its answer.
type WorkerHeartbeat struct {
	Reply     uint64
	Heartbeat model.Heartbeat
}

// StoreResponse, CloudResponse and WorkerResponse answer effects by their ID.
type StoreResponse struct {
	ID         uint64
	Status     StoreStatus
	SentAt     time.Time
	KeyValues  []KeyValue
	Truncated  bool
	Revision   uint64
	FailedKeys []string
	LeaseID    uint64
}

// CloudResponse answers a CloudRequest.
type CloudResponse struct {
	ID           uint64
	Status       CloudStatus
	MachineTypes []model.MachineType
	Machines     []model.CloudMachine
	Rented       []string
	Truncated    bool
}

// WorkerResponse answers a WorkerRequest. Report is nil when no answer came. NotSent: it
// surely did not leave, for want of connections.
type WorkerResponse struct {
	ID        uint64
	OK        bool
	NotSent   bool
	Heartbeat *model.Heartbeat
}

// PeerUpdate is what controllers tell each other. All of it may be lost or late.
type PeerUpdate struct {
	From string
	// Incarnation is that of the sender when it said so.
	Incarnation   string
	Progress      []Progress
	WorkloadLoads []WorkloadLoad
	// MachineUpdates are the owner's machines, for a successor.
	MachineUpdates []MachineUpdate
	// Asks: an owner asks the leader for machines it wants, and to return
	// those that are idle; Seq is the newest news it has of the leader. Teams are
	// what its teams keep busy, Offers which machines it would give along with a
	// team that is to move, and ToSpare those that it has no use for now.
	IsCapacityRequest bool
	Surplus           []string
	Seq               uint64
	CapacityRequests  []CapacityRequest
	ToRelease         []string
	TeamLoads         []TeamLoad
	Offers            []sharding.Offer
	// Tells: the leader tells an owner of its machines: of some of them, and of all
	// that the owner does not know of by Seq; and which team is to move.
	// Spare counts what others have to spare.
	IsLeaderUpdate   bool
	SurplusElsewhere []CapacityRequest
	RentalUpdates    []RentalUpdate
	Blocked          []CapacityRequest
	TeamRelease      []sharding.MoveRequest
	// RemoteAttempts are attempts of the sender's jobs on the receiver's machines, and Told
	// what the sender knows of those of the receiver's jobs on its own.
	RemoteAttempts []remote.Request
	RemoteStatuses []remote.MachineStatus
	// Rates is what the sender asks of the state service.
	Rates *Rates
	// StateAway: the state service does not answer here.
	StoreUnavailable bool
	// HostNeeds are hosts that the sender needs whole, and Costs what emptying one would
	// cost it; Lacks are what the leader says that others need, and Empty what it wants
	// the receiver to empty. See evacuation.go.
	HostNeeds, OthersNeeds, EvacuationRequests []HostNeed
	EvacuationCosts                            []HostCost
	// Quotes are what dates for the sender's teams rest on.
	Quotes []TeamQuotes
	// Rerouted are reports of the receiver's machines that came to the sender.
	Rerouted []ReroutedHeartbeat
	// Cancellations are jobs that the sender, or another before it, has told their users are
	// cancelled, and CancelsHeard those of which it has heard from the receiver.
	Cancellations    []Cancellation
	CancellationAcks []string
}

// ReroutedHeartbeat is a report that came to a controller which does not own its machine.
type ReroutedHeartbeat struct {
	ID                           string
	Epoch, Incarnation, Sequence uint64
}

// TeamLoad is the CPUs that a team's tasks take and wait for.
type TeamLoad struct {
	Team string
	CPU  float64
}

// RentalUpdate is a machine as the leader knows it.
type RentalUpdate struct {
	ID          string
	Addr        string
	MachineType string
	Zone        string
	Spot        bool
	Status      string
	Age         time.Duration
}

// MachineUpdate is a machine as its owner knows it: where it is, and its images.
type MachineUpdate struct {
	ID          string
	Addr        string
	MachineType string
	Zone        string
	Spot        bool
	Images      map[string]float64
	receivedAt  time.Time
}

// WorkloadLoad is what an owner has seen of a team's jobs of a workload: tasks a second, and
// how their run times compare with their estimates, over so many samples. A successor
// goes on with it.
type WorkloadLoad struct {
	Team           string
	Workload       string
	TasksPerSecond float64
	RunTimeRatio   float64
	Deviation      float64
	Samples        int
}

// Progress is a job's count of tasks, for display.
type Progress struct {
	ID      string
	Done    int
	Running int
}

func (SubmitJob) command()       {}
func (QueryJob) command()        {}
func (CancelJob) command()       {}
func (WorkerHeartbeat) command() {}
func (StoreResponse) command()   {}
func (CloudResponse) command()   {}
func (WorkerResponse) command()  {}
func (PeerUpdate) command()      {}

// StoreStatus is the outcome of a request to the state service.
type StoreStatus int

// Outcomes. Refused: surely not executed. Unknown: perhaps executed, perhaps
// still to be executed later.
const (
	StoreOK StoreStatus = iota
	StoreNotFound
	StoreConflict
	StoreCompacted
	StoreNoLease
	StoreRefused
	StoreMalformed
	StoreUnknown
)

// CloudStatus is the outcome of a request to the cloud.
type CloudStatus int

// Outcomes of cloud requests.
const (
	CloudOK CloudStatus = iota
	CloudNoCapacity
	CloudRefused
	CloudMalformed
	CloudUnknown
)

// StoreRequestKind is the kind of a request to the state service.
type StoreRequestKind int

// The requests.
const (
	OpGet StoreRequestKind = iota
	OpList
	OpTxn
	OpWatch
	OpLeaseGrant
	OpLeaseRenew
	OpLeaseRevoke
)

// KeyValue is a key with its value; Removed marks a deletion in a watch.
type KeyValue struct {
	Key         string
	Value       []byte
	ModRevision uint64
	Deleted     bool
}

// Compare is a condition of a transaction: the key has this stamp, 0 for absent.
type Compare struct {
	Key         string
	ModRevision uint64
}

// Write is a put, or a removal when Value is nil.
type Write struct {
	Key     string
	Value   []byte
	LeaseID uint64
}

// Priority orders requests to the state service when the rate is short.
type Priority int

// Priorities, most important first.
const (
	PriorityMembership Priority = iota
	PriorityUser
	PriorityStart
	PriorityLazy
)

// StoreRequest asks the state service.
type StoreRequest struct {
	ID           uint64
	Kind         StoreRequestKind
	Priority     Priority
	Key          string
	StartAfter   string
	Revision     uint64
	WatchTimeout time.Duration
	Compares     []Compare
	Writes       []Write
	LeaseID      uint64
	TTL          time.Duration
}

// CloudRequestKind is the kind of a request to the cloud.
type CloudRequestKind int

// The requests.
const (
	CloudListTypes CloudRequestKind = iota
	CloudListMachines
	CloudRent
	CloudRelease
)

// CloudRequest asks the cloud. After Until it must not leave any more: a controller may
// have stood still since it was decided, and others lead by now.
type CloudRequest struct {
	ID             uint64
	SendDeadline   time.Time
	Kind           CloudRequestKind
	IdempotencyKey string
	MachineType    string
	Zone           string
	Spot           bool
	Count          int
	Machines       []string
	StartAfter     string
}

// WorkerRequest sends orders to a worker, or asks for its status when Ask is set.
type WorkerRequest struct {
	ID uint64
	// Until: as in CloudRequest.
	SendDeadline time.Time
	Machine      string
	Addr         string
	StatusOnly   bool
	Epoch        uint64
	Incarnation  uint64
	Commands     []model.TaskCommand
}

// UserReply answers a user.
type UserReply struct {
	Reply uint64
	// Until: as in CloudRequest, for what rests on a read; zero for what is so for good.
	SendDeadline time.Time
	// Status is the HTTP status.
	Status  int
	ID      string
	State   string
	Done    int
	Running int
	Message string
	// PromisedAfter is the newest committed date, after the submission, and PromiseRevision its
	// revision, 0 for none.
	PromisedAfter   time.Duration
	PromiseRevision int
	// RetryAfter goes with a refusal.
	RetryAfter time.Duration
}

// HeartbeatReply answers a worker's report.
type HeartbeatReply struct {
	Reply uint64
	// Until: as in CloudRequest. After StartsDeadline the answer leaves without its starts.
	SendDeadline   time.Time
	StartsDeadline time.Time
	Status         int
	MachineOwner   string
	Epoch          uint64
	Commands       []model.TaskCommand
}

// SendPeerUpdate tells another controller.
type SendPeerUpdate struct {
	To     string
	Update PeerUpdate
}

// Role tells the shell what this node is, for rates and metrics.
type Role struct {
	Leader      bool
	ShardLeader bool
}

// GPUFreeCapacityReport tells the metrics how the room on machines with GPUs lies, and of replicas on
// the move, while models are on.
type GPUFreeCapacityReport struct {
	Kinds      []GPUFreeCapacity
	Migrations *MigrationsStatus
}

// Log is a line for the operator.
type Log struct {
	Debug   bool
	Error   bool
	Message string
	Args    []any
}

func (StoreRequest) effect()          {}
func (CloudRequest) effect()          {}
func (WorkerRequest) effect()         {}
func (UserReply) effect()             {}
func (HeartbeatReply) effect()        {}
func (SendPeerUpdate) effect()        {}
func (Role) effect()                  {}
func (GPUFreeCapacityReport) effect() {}
func (Log) effect()                   {}

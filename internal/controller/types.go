// Package controller is the deterministic heart of the scheduler: membership,
// leadership, shares, jobs, attempts, machines, relaunch, placement and fleet
// sizing. It has no clocks, sockets or goroutines. Its owner feeds it batches
// of commands together with the time and carries out the effects it returns.
package controller

import (
	"time"

	"github.com/micahill/micahill/internal/resource"
)

// Urgency orders jobs; a higher value goes first.
type Urgency int

// The urgencies, lowest first.
const (
	BestEffort Urgency = iota
	Normal
	Urgent
	Critical
)

// JobSpec is a job as its user described it.
type JobSpec struct {
	ID          string
	Workload    string
	Team        string
	LongRunning bool
	// Gang: the tasks run only all together.
	Gang               bool
	Urgency            Urgency
	Tasks              int
	Need               Resources
	Image              string
	ImageGB            float64
	MachineTypes       []string
	Zone               string
	SameZone           bool
	SpreadZones        bool
	AllowSpot          bool
	ExpectedRunTime    time.Duration
	CheckpointInterval time.Duration
	CheckpointCost     time.Duration
	// Deadline counts from the submission; 0 means no deadline.
	Deadline time.Duration
	// Dependencies are the jobs that have to be done before any task of it starts.
	Dependencies []string
}

// Resources is an amount of what a machine offers or a task takes.
type Resources = resource.Resources

// roundingTolerance absorbs rounding of amounts; see internal/resource.
const roundingTolerance = resource.Tolerance

// MachineType is a machine type as the cloud describes it.
type MachineType struct {
	Name             string
	Capacity         Resources
	DiskGB           float64
	ImageFetchRate   float64
	CostPerHour      float64
	SpotCostPerHour  float64
	ProvisioningTime time.Duration
	Zones            []string
}

// Team has a guarantee and a limit; a zero amount means none.
type Team struct {
	Name            string
	GuaranteedQuota Resources
	QuotaLimit      Resources
}

// Objective repeats one of the operators' aims.
type Objective struct {
	Kind           string
	Workload       string
	Within         time.Duration
	Fraction       float64
	DeadlineFactor float64
}

// Settings is everything the core is told at start.
type Settings struct {
	Host       string
	Peers      []string
	Zones      []string
	Teams      []Team
	Objectives []Objective

	HeartbeatInterval time.Duration
	WorkerLease       time.Duration
	// CancellationBound is how long after its confirmation a cancelled job's tasks may last.
	CancellationBound time.Duration
	// MaxClockError is how far a controller's time of day is off at the most.
	MaxClockError time.Duration

	// StoreRequestsPerSecond and StoreWritesPerSecond are the state service's limits of requests and
	// of changes a second, which all controllers share.
	StoreRequestsPerSecond float64
	StoreWritesPerSecond   float64
	MaxTxnWrites           int
	MaxValueBytes          int
	// CurrentMaxValueBytes is the limit of values under which records may stand in the
	// state service, if it is larger than ValueBytes: the service will lower its limit.
	CurrentMaxValueBytes int
	CloudListLag         time.Duration
	// CloudRequestsPerSecond is the cloud's limit of requests a second.
	CloudRequestsPerSecond float64

	// Capabilities is what the files under deploy/ switch on.
	Capabilities Capabilities

	// Incarnation tells the lives of one controller apart.
	Incarnation string
	Policy      Policy
}

// Capabilities says which capabilities round the scheduler are on; see docs/product.md.
type Capabilities struct {
	// Ranking: the order of work follows the record of classes in the state service.
	Ranking bool
	// Promises: each accepted job gets a committed finish, which PromiseFraction of them
	// are to keep.
	Promises        bool
	PromiseFraction float64
	// Models: replicas are packed, and moved so that larger ones fit: at most MaxMigratingFraction
	// of the machines of a kind at a time, and none again within MigrationCooldown.
	Models               bool
	MaxMigratingFraction float64
	MigrationCooldown    time.Duration
}

// Policy holds the operators' own choices; see internal/policy.
type Policy struct {
	// RelaunchFactor is the paper's w.
	RelaunchFactor float64
	// RebalanceInterval is how often the leader may move machines between shares.
	RebalanceInterval time.Duration
	// HeadroomFactor multiplies the room kept free for work that must start at once.
	HeadroomFactor float64
	// IdleTimeout is how long an idle machine is kept before it is returned.
	IdleTimeout time.Duration
	// CostFactors multiplies a flavour's price when flavours are compared.
	CostFactors map[string]float64
	// WorkloadWeights orders workloads of the same urgency; higher goes first.
	WorkloadWeights map[string]float64
}

// DefaultPolicy is what holds without an operators' script.
func DefaultPolicy() Policy {
	return Policy{
		RelaunchFactor:    2,
		RebalanceInterval: 30 * time.Second,
		HeadroomFactor:    1,
		IdleTimeout:       45 * time.Second,
	}
}

// JobStatus is the durable state of a job.
type JobStatus string

// The durable states. Whether a queued job runs is shown, not kept.
const (
	Queued    JobStatus = "queued"
	Cancelled JobStatus = "cancelled"
	Done      JobStatus = "done"
)

// IsFinal says that a status never changes again.
func (s JobStatus) IsFinal() bool { return s == Cancelled || s == Done }

// TaskStatus is what a worker says of an attempt.
type TaskStatus int

// The states of an attempt on its machine.
const (
	Fetching TaskStatus = iota
	Running
	Checkpointing
	Ended
)

// TaskReport is one attempt in a worker's report.
type TaskReport struct {
	Job              string
	Index            int
	Attempt          uint64
	Status           TaskStatus
	Cause            string
	CheckpointStored bool
}

// Heartbeat is a worker's account of itself.
type Heartbeat struct {
	Machine     string
	Addr        string
	MachineType string
	Zone        string
	Spot        bool
	Incarnation uint64
	Sequence    uint64
	Epoch       uint64
	// ReclaimIn is negative without a notice.
	ReclaimIn time.Duration
	Tasks     []TaskReport
}

// TaskCommandKind is what a worker is told to do.
type TaskCommandKind string

// The verbs, by their meaning.
const (
	StartTask TaskCommandKind = "start"
	StopTask  TaskCommandKind = "halt"
	ClearTask TaskCommandKind = "clear"
)

// TaskCommand is one command to a worker.
type TaskCommand struct {
	Kind        TaskCommandKind
	Job         string
	Index       int
	Attempt     uint64
	GracePeriod time.Duration
}

// CloudMachine is a machine in the cloud's list.
type CloudMachine struct {
	ID          string
	Addr        string
	MachineType string
	Zone        string
	Spot        bool
	Status      string
	Age         time.Duration
}

package controller

import (
	"time"

	"github.com/micahill/micahill/internal/model"
	"github.com/micahill/micahill/internal/resource"
)

// roundingTolerance absorbs rounding of resources; see internal/resource.
const roundingTolerance = resource.Tolerance

// Settings is what a controller is given at start. It never changes.
type Settings struct {
	Host       string
	Peers      []string
	Zones      []string
	Teams      []model.Team
	Objectives []model.Objective

	HeartbeatInterval time.Duration
	WorkerLease       time.Duration
	// CancellationBound is how long after its confirmation a cancelled job's tasks may last.
	CancellationBound time.Duration
	// MaxClockError is the largest error of a controller's time of day.
	MaxClockError time.Duration

	// StoreRequestsPerSecond and StoreWritesPerSecond are the store's limits, which all
	// controllers share.
	StoreRequestsPerSecond float64
	StoreWritesPerSecond   float64
	MaxTxnWrites           int
	MaxValueBytes          int
	// CurrentMaxValueBytes, if larger than MaxValueBytes, is the limit under which values may
	// still stand in the store: the store will lower its limit to MaxValueBytes.
	CurrentMaxValueBytes int
	CloudListLag         time.Duration
	// CloudRequestsPerSecond is the cloud's limit of requests.
	CloudRequestsPerSecond float64

	// Capabilities is what the files under deploy/ switch on.
	Capabilities Capabilities

	// Incarnation tells the processes of one controller apart.
	Incarnation string
	Policy      Policy
}

// Capabilities says which optional capabilities are on; see docs/product.md.
type Capabilities struct {
	// Ranking: the queue order follows the ranking record in the store.
	Ranking bool
	// Promises: each accepted job gets a promised completion date, which PromiseFraction of
	// them are to keep.
	Promises        bool
	PromiseFraction float64
	// Models: replicas are packed, and migrated so that larger ones fit: at most
	// MaxMigratingFraction of the machines of a kind at a time, and none again within
	// MigrationCooldown.
	Models               bool
	MaxMigratingFraction float64
	MigrationCooldown    time.Duration
}

// Policy holds the operators' own choices; see internal/policy.
type Policy struct {
	// RelaunchFactor is how many times the expected run time a task may take before it is
	// relaunched: w in the paper.
	RelaunchFactor float64
	// RebalanceInterval is how often the leader may move machines between shards.
	RebalanceInterval time.Duration
	// HeadroomFactor multiplies the capacity kept free for work that must start at once.
	HeadroomFactor float64
	// IdleTimeout is how long an idle machine is kept before it is released.
	IdleTimeout time.Duration
	// CostFactors multiplies a machine type's cost when types are compared.
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

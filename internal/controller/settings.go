// Package controller is the deterministic heart of the scheduler: membership,
// leadership, shares, jobs, attempts, machines, relaunch, placement and fleet
// sizing. It has no clocks, sockets or goroutines. Its owner feeds it batches
// of commands together with the time and carries out the effects it returns.
package controller

import (
	"time"

	"github.com/micahill/micahill/internal/model"
	"github.com/micahill/micahill/internal/resource"
)

// roundingTolerance absorbs rounding of amounts; see internal/resource.
const roundingTolerance = resource.Tolerance

// Settings is everything the core is told at start.
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

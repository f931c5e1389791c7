package controller

import (
	"time"

	"github.com/micahill/micahill/internal/model"
	"github.com/micahill/micahill/internal/resource"
)

// roundingTolerance absorbs rounding of resources; see internal/resource.
const roundingTolerance = resource.Tolerance

// Settings is the configuration that a controller gets at its start. It never changes.
type Settings struct {
	Host       string
	Peers      []string
	Zones      []string
	Teams      []model.Team
	Objectives []model.Objective

	HeartbeatInterval time.Duration
	WorkerLease       time.Duration
	// CancellationBound is the longest time that a cancelled job's tasks may run after the
	// cancellation was confirmed.
	CancellationBound time.Duration
	// MaxClockError is the largest error of a controller's wall clock.
	MaxClockError time.Duration

	// StoreRequestsPerSecond and StoreWritesPerSecond are the store's rate limits, which all
	// controllers share. MaxTxnWrites and MaxValueBytes are the store's limits of the writes in
	// one transaction and of the size of a value.
	StoreRequestsPerSecond float64
	StoreWritesPerSecond   float64
	MaxTxnWrites           int
	MaxValueBytes          int
	// CurrentMaxValueBytes, if larger than MaxValueBytes, is the limit under which stored values
	// may have been written. The store will lower its limit from this value to MaxValueBytes.
	CurrentMaxValueBytes int
	// CloudListLag is how far the cloud's lists of machines may lag behind.
	CloudListLag time.Duration
	// CloudRequestsPerSecond is the cloud's rate limit of requests.
	CloudRequestsPerSecond float64

	// Capabilities are the optional capabilities that the settings under deploy/ enable.
	Capabilities Capabilities

	// Incarnation differs for each process of one controller.
	Incarnation string
	Policy      Policy
}

// Capabilities says which optional capabilities are enabled; see docs/product.md.
type Capabilities struct {
	// Ranking makes the queue order follow the ranking record in the store.
	Ranking bool
	// Promises gives each accepted job a promised completion date. PromiseFraction is the
	// fraction of jobs that are to keep theirs.
	Promises        bool
	PromiseFraction float64
	// Models has replicas of models packed densely, and migrated so that larger replicas fit. At
	// most MaxMigratingFraction of the machines of a kind may have migrations at a time, and a
	// replica is not migrated again within MigrationCooldown.
	Models               bool
	MaxMigratingFraction float64
	MigrationCooldown    time.Duration
}

// Policy holds the values that the operators' policy script sets; see internal/policy.
type Policy struct {
	// RelaunchFactor is how many times the median run time of its job's finished tasks a task may
	// take before it is relaunched; see relaunch.go. The paper calls it w.
	RelaunchFactor float64
	// RebalanceInterval is the least time between two moves of a shard or team that the leader
	// makes to balance the load.
	RebalanceInterval time.Duration
	// HeadroomFactor multiplies the capacity that is kept free for tasks that must start at
	// once.
	HeadroomFactor float64
	// IdleTimeout is how long an idle machine is kept before it is released.
	IdleTimeout time.Duration
	// CostFactors multiplies the cost of a machine type, by its name, when types are compared.
	CostFactors map[string]float64
	// WorkloadWeights orders workloads of the same urgency: those with a higher weight go first.
	WorkloadWeights map[string]float64
}

// DefaultPolicy returns the policy that applies without an operators' script.
func DefaultPolicy() Policy {
	return Policy{
		RelaunchFactor:    2,
		RebalanceInterval: 30 * time.Second,
		HeadroomFactor:    1,
		IdleTimeout:       45 * time.Second,
	}
}

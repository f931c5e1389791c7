// Package core is the deterministic heart of the scheduler: membership,
// leadership, shares, jobs, attempts, machines, relaunch, placement and fleet
// sizing. It has no clocks, sockets or goroutines. Its owner feeds it batches
// of commands together with the time and carries out the effects it returns.
package core

import (
	"time"

	"github.com/micahill/micahill/internal/amount"
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

// Spec is a job as its user described it.
type Spec struct {
	ID       string
	Workload string
	Team     string
	Standing bool
	// Gang: the tasks run only all together.
	Gang      bool
	Urgency   Urgency
	Tasks     int
	Need      Resources
	Image     string
	ImageGB   float64
	Flavours  []string
	Zone      string
	SamePlace bool
	Apart     bool
	Spot      bool
	Expected  time.Duration
	SaveEvery time.Duration
	SaveCost  time.Duration
	// Due counts from the submission; 0 means no deadline.
	Due time.Duration
	// Prereqs are the jobs that have to be done before any task of it starts.
	Prereqs []string
}

// Resources is an amount of what a machine offers or a task takes.
type Resources = amount.Resources

// slack absorbs rounding of amounts; see internal/amount.
const slack = amount.Slack

// Flavour is a machine type as the cloud describes it.
type Flavour struct {
	Name      string
	Size      Resources
	DiskGB    float64
	PullRate  float64
	Price     float64
	SpotPrice float64
	Ready     time.Duration
	Zones     []string
}

// Team has a guarantee and a limit; a zero amount means none.
type Team struct {
	Name      string
	Guarantee Resources
	Limit     Resources
}

// Objective repeats one of the operators' aims.
type Objective struct {
	Kind     string
	Workload string
	Within   time.Duration
	Share    float64
	Times    float64
}

// Settings is everything the core is told at start.
type Settings struct {
	Host       string
	Peers      []string
	Zones      []string
	Teams      []Team
	Objectives []Objective

	ReportEvery time.Duration
	Lease       time.Duration
	// Cancel is how long after its confirmation a cancelled job's tasks may last.
	Cancel time.Duration
	// ClockBound is how far a controller's time of day is off at the most.
	ClockBound time.Duration

	// StateRequests and StateWrites are the state service's limits of requests and
	// of changes a second, which all controllers share.
	StateRequests float64
	StateWrites   float64
	TxnOps        int
	ValueBytes    int
	// PresentValueBytes is the limit of values under which records may stand in the
	// state service, if it is larger than ValueBytes: the service will lower its limit.
	PresentValueBytes int
	ListLag           time.Duration
	// CloudRPS is the cloud's limit of requests a second.
	CloudRPS float64

	// Product is what the files under deploy/ switch on.
	Product Product

	// Nonce tells the lives of one controller apart.
	Nonce  string
	Policy Policy
}

// Product says which capabilities round the scheduler are on; see docs/product.md.
type Product struct {
	// Ranking: the order of work follows the record of classes in the state service.
	Ranking bool
	// Promises: each accepted job gets a committed finish, which PromiseShare of them
	// are to keep.
	Promises     bool
	PromiseShare float64
	// Models: replicas are packed, and moved so that larger ones fit: at most MovePart
	// of the machines of a kind at a time, and none again within MoveAgain.
	Models    bool
	MovePart  float64
	MoveAgain time.Duration
}

// Policy holds the operators' own choices; see internal/policy.
type Policy struct {
	// RelaunchFactor is the paper's w.
	RelaunchFactor float64
	// ShareInterval is how often the leader may move machines between shares.
	ShareInterval time.Duration
	// WarmRoom multiplies the room kept free for work that must start at once.
	WarmRoom float64
	// IdleKeep is how long an idle machine is kept before it is returned.
	IdleKeep time.Duration
	// Prefer multiplies a flavour's price when flavours are compared.
	Prefer map[string]float64
	// Weight orders workloads of the same urgency; higher goes first.
	Weight map[string]float64
}

// DefaultPolicy is what holds without an operators' script.
func DefaultPolicy() Policy {
	return Policy{
		RelaunchFactor: 2,
		ShareInterval:  30 * time.Second,
		WarmRoom:       1,
		IdleKeep:       45 * time.Second,
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

// Final says that a status never changes again.
func (s JobStatus) Final() bool { return s == Cancelled || s == Done }

// TaskStatus is what a worker says of an attempt.
type TaskStatus int

// The states of an attempt on its machine.
const (
	Fetching TaskStatus = iota
	Running
	Flushing
	Ended
)

// TaskReport is one attempt in a worker's report.
type TaskReport struct {
	Job    string
	Index  int
	Try    uint64
	Status TaskStatus
	Cause  string
	Stored bool
}

// Report is a worker's account of itself.
type Report struct {
	Machine string
	Addr    string
	Flavour string
	Zone    string
	Spot    bool
	Tenure  uint64
	Tick    uint64
	Epoch   uint64
	// Recall is negative without a notice.
	Recall time.Duration
	Tasks  []TaskReport
}

// Verb is what a worker is told to do.
type Verb string

// The verbs, by their meaning.
const (
	Start Verb = "start"
	Halt  Verb = "halt"
	Clear Verb = "clear"
)

// Order is one command to a worker.
type Order struct {
	Verb     Verb
	Job      string
	Index    int
	Try      uint64
	WindDown time.Duration
}

// Listed is a machine in the cloud's list.
type Listed struct {
	ID      string
	Addr    string
	Flavour string
	Zone    string
	Spot    bool
	Status  string
	Held    time.Duration
}

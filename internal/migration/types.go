// Package migration makes room for a replica that fits nowhere by moving others: which few
// moves are the cheapest, and what becomes of moves under way. It has no clock and sends
// nothing. A move is an intent that is written down before its replica is stopped, and
// has an end; see docs/product.md.
package migration

import (
	"time"

	"github.com/micahill/micahill/internal/resource"
)

// Host is a machine as the planner sees it.
type Host struct {
	ID string
	// Kind names machines that are alike: type, zone, and whether cheap.
	Kind string
	Size resource.Resources
	// Free is what neither tasks nor places held for moves take.
	Free resource.Resources
	// Schedulable says that replicas may be placed there now.
	Schedulable bool
	// Images are those it holds, and Pull how many GB it fetches in a second.
	Images    map[string]bool
	FetchRate float64
}

// Replica is a task that runs on a host.
type Replica struct {
	Job   string
	Index int
	// HostIndex is its place in Problem.Hosts.
	HostIndex int
	Need      resource.Resources
	Image     string
	ImageGB   float64
	// Movable: its job can do without it for the time of a move, it was not moved
	// lately, and it is not on the move.
	Movable bool
	// Allowed says on which hosts its job lets it be, given the job's other tasks; nil:
	// on any.
	Allowed func(host int) bool
	// LostWork is the work that a stop loses.
	LostWork time.Duration
}

// WaitingTask is a task that waits and fits nowhere.
type WaitingTask struct {
	Job     string
	Index   int
	Need    resource.Resources
	Image   string
	ImageGB float64
	Allowed func(host int) bool
}

// Problem is what the planner is asked.
type Problem struct {
	Hosts       []Host
	Replicas    []Replica
	WaitingTask WaitingTask
	// MaxMoves bounds the moves, MaxMoves at most, and Dearest what they may cost: what
	// renting or waiting would.
	MaxMoves int
	MaxCost  time.Duration
}

// MaxMoves is the longest chain of moves.
const MaxMoves = 3

// Move takes a replica from one host to another. Down is how long it is expected to be
// down: the fetch of its image, and no other replica of it before.
type Move struct {
	Job      string
	Index    int
	From     string
	To       string
	Need     resource.Resources
	Downtime time.Duration
}

// Plan is the moves, in their order, after which the task that waits fits on Host. Cost
// is what they take together: time down and work lost.
type Plan struct {
	Host  string
	Moves []Move
	Cost  time.Duration
}

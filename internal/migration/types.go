// Package migration makes room for a replica that fits nowhere, by moving other replicas to
// other hosts. Find searches for the cheapest few moves; a Tracker carries out the moves of
// a shard leader's teams; Evacuations coordinates moves that empty a host for another shard.
//
// A move is written down before its replica is stopped, and has a deadline, so that a
// successor goes on with it and no capacity stays reserved for long. The package has no clock
// and sends nothing; what it decides is for the controller to do. See docs/product.md.
package migration

import (
	"time"

	"github.com/micahill/micahill/internal/resource"
)

// Host is a machine as Find sees it.
type Host struct {
	ID string
	// Kind names machines that are alike: type, zone, and whether spot.
	Kind string
	Size resource.Resources
	// Free is what neither tasks nor holds take.
	Free resource.Resources
	// Schedulable says that replicas may be placed there now.
	Schedulable bool
	// Images are those that the host has, and FetchRate how fast it fetches others, in GB
	// per second.
	Images    map[string]bool
	FetchRate float64
}

// Replica is a task that runs on a host.
type Replica struct {
	Job   string
	Index int
	// HostIndex is the host's index in Problem.Hosts.
	HostIndex int
	Need      resource.Resources
	Image     string
	ImageGB   float64
	// Movable says that the job can do without the replica during a move, and that the
	// replica neither moves nor was moved lately.
	Movable bool
	// Allowed says on which hosts, by index, the job allows the replica, given the job's other
	// tasks; nil allows any.
	Allowed func(host int) bool
	// LostWork is the time of work that a stop loses.
	LostWork time.Duration
}

// WaitingTask is a task that waits and fits nowhere.
type WaitingTask struct {
	Job     string
	Index   int
	Need    resource.Resources
	Image   string
	ImageGB float64
	// Allowed is as in Replica.
	Allowed func(host int) bool
}

// Problem is what Find is to solve.
type Problem struct {
	Hosts       []Host
	Replicas    []Replica
	WaitingTask WaitingTask
	// MaxMoves bounds the number of moves; so does the constant MaxMoves.
	MaxMoves int
	// MaxCost bounds what the moves may cost: what scaling out or waiting would.
	MaxCost time.Duration
}

// MaxMoves is the most moves that a plan has.
const MaxMoves = 3

// Move is a replica's move from one host to another.
type Move struct {
	Job   string
	Index int
	// From and To are hosts by ID.
	From string
	To   string
	Need resource.Resources
	// Downtime is how long the replica is expected to be down: as long as the host takes to
	// fetch its image.
	Downtime time.Duration
}

// Plan is a sequence of moves, in this order, after which the waiting task fits on Host.
type Plan struct {
	// Host is by ID.
	Host  string
	Moves []Move
	// Cost is the downtime and the lost work of all moves together.
	Cost time.Duration
}

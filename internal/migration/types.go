// Package migration frees capacity for a task that fits on no host by moving running replicas to
// other hosts. Find searches for the cheapest plan of a few moves. A Tracker tracks the plans in
// progress of a shard leader's teams and decides when replicas are stopped. Evacuations decides
// which shard leader empties a host for which other shard leader.
//
// A plan is written to the state service before any of its replicas is stopped, so that a
// successor can continue it. A plan has a deadline, so that no capacity stays reserved for long.
// The package reads no clock and sends no messages: the controller passes in the time and carries
// out the decisions. See docs/product.md.
package migration

import (
	"time"

	"github.com/micahill/micahill/internal/resource"
)

// Host is a machine in a Problem.
type Host struct {
	ID string
	// Kind names the machine kind: type, zone, and whether it is a spot machine.
	Kind string
	Size resource.Resources
	// Free is the capacity that neither tasks nor holds use.
	Free resource.Resources
	// Schedulable is true if replicas may be placed on the host.
	Schedulable bool
	// Images are the images that the host has.
	Images map[string]bool
	// FetchRate is how fast the host fetches other images, in GB per second.
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
	// Movable is true if the job tolerates that the replica is down during a move, and the
	// replica is neither moving nor in its cooldown after a move.
	Movable bool
	// Allowed reports whether the job allows the replica on the host with the given index of
	// Problem.Hosts, given the job's other tasks. Nil allows all hosts.
	Allowed func(host int) bool
	// LostWork is how much running time the replica loses when it is stopped.
	LostWork time.Duration
}

// WaitingTask is a pending task that fits on no host.
type WaitingTask struct {
	Job     string
	Index   int
	Need    resource.Resources
	Image   string
	ImageGB float64
	// Allowed reports whether the task may run on a host, as in Replica.
	Allowed func(host int) bool
}

// Problem is the input of Find.
type Problem struct {
	Hosts       []Host
	Replicas    []Replica
	WaitingTask WaitingTask
	// MaxMoves bounds the number of moves. The constant MaxMoves bounds it as well.
	MaxMoves int
	// MaxCost bounds the cost of all moves together. The caller sets it to the time that the
	// waiting task would wait without the moves, for a new host or for free capacity.
	MaxCost time.Duration
}

// MaxMoves is the largest number of moves in a plan.
const MaxMoves = 3

// Move is the move of one replica from one host to another.
type Move struct {
	Job   string
	Index int
	// From and To are host IDs.
	From string
	To   string
	Need resource.Resources
	// Downtime is how long the replica is expected to be down: the time that the target host
	// takes to fetch its image.
	Downtime time.Duration
}

// Plan is a sequence of moves after which the waiting task fits on Host.
type Plan struct {
	// Host is the ID of the host for the waiting task.
	Host string
	// Moves are in the order in which each has enough free capacity on its target.
	Moves []Move
	// Cost is the sum of the downtime and the lost work of all moves.
	Cost time.Duration
}

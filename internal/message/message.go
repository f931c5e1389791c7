// Package message has all that goes into the controller and comes out of it.
//
// A Command is an input: a user's or an operator's request, a worker's heartbeat, another
// controller's update, or the response to a request that the controller made. An Effect is
// an output: such a request, a reply, a line of the log, or figures for the metrics. The
// packages at the edge (api, worker, cloud, state, peer) translate them from and to their
// protocols, so that the controller itself does no input or output and can be simulated.
//
// A request and its response have the same ID, which the controller chooses; a command that
// waits for a reply has a Reply number, which the edge chooses, and the reply repeats it.
//
// A zero time.Time means that there is no such time. JSON field names belong to the answers
// that operators and their programs read, and do not change.
package message

import "time"

// Command is an input of the controller.
type Command interface{ command() }

// Effect is an output of the controller.
type Effect interface{ effect() }

// Role is what the controller has become, for the edge's rate limits and metrics.
type Role struct {
	Leader      bool
	ShardLeader bool
}

// GPUFreeCapacityReport has the free capacity of the machines with GPUs and the replica migrations,
// for the metrics. It is emitted while models are switched on.
type GPUFreeCapacityReport struct {
	Kinds      []GPUFreeCapacity
	Migrations *MigrationsStatus
}

// WaitReport has the jobs that are left waiting, by team, for the metrics. Teams without such a
// job are left out.
type WaitReport struct {
	Teams []TeamWaits
}

// TeamWaits is a team's jobs that are left waiting: how many, and the longest wait.
type TeamWaits struct {
	Team    string
	Jobs    int
	Longest time.Duration
}

// Log is a line of the log. It is an info line unless Debug or Error is set.
type Log struct {
	Debug   bool
	Error   bool
	Message string
	// Args are alternating keys and values, as for log/slog.
	Args []any
}

// Rates are requests to the state service per second: as an effect, those allotted to the
// controller, which the edge must not exceed; in a PeerUpdate, those that the sender needs.
type Rates struct {
	Requests float64
	// Writes counts each Write of a transaction.
	Writes float64
}

func (Role) effect() {}

func (GPUFreeCapacityReport) effect() {}

func (WaitReport) effect() {}

func (Log) effect() {}

func (Rates) effect() {}

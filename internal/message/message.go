// Package message defines the inputs and outputs of the controller.
//
// A Command is an input: a user's or an operator's request, a worker's heartbeat, another
// controller's update, or the response to a request that the controller made. An Effect is
// an output: a request to another service, a reply, a log line, or values for the metrics. The
// packages that implement a protocol (api, worker, cloud, state, peer) convert commands and effects
// from and to that protocol. The controller itself does no I/O and can therefore be simulated.
//
// A request and its response have the same ID, which the controller chooses. A command that
// waits for a reply has a Reply number, which the server assigns; the reply repeats the number.
//
// A zero time.Time means that there is no such time. The JSON field names are part of the answers
// that operators and their programs read, so they do not change.
package message

import "time"

// Command is an input of the controller.
type Command interface{ command() }

// Effect is an output of the controller.
type Effect interface{ effect() }

// Role reports which roles the controller has after a change, for rate limits and metrics.
type Role struct {
	Leader      bool
	ShardLeader bool
}

// GPUFreeCapacityReport reports the free capacity on machines with GPUs and the replica migrations,
// for the metrics. The controller emits it while the models feature is enabled.
type GPUFreeCapacityReport struct {
	Kinds      []GPUFreeCapacity
	Migrations *MigrationsStatus
}

// WaitReport reports the jobs that have waited too long for the placement of a task, by team, for
// the metrics. It omits teams without such a job.
type WaitReport struct {
	Teams []TeamWaits
}

// TeamWaits is the number of a team's jobs that have waited too long, and their longest wait.
type TeamWaits struct {
	Team    string
	Jobs    int
	Longest time.Duration
}

// Log is a log line. Its level is info unless Debug or Error is set.
type Log struct {
	Debug   bool
	Error   bool
	Message string
	// Args are alternating keys and values, as for log/slog.
	Args []any
}

// Rates are rates of requests to the state service, per second. As an effect, Rates are allotted to
// the controller, and the client of the state service must not exceed them. In a PeerUpdate, Rates
// are what the sender needs.
type Rates struct {
	Requests float64
	// Writes counts every Write of a transaction separately.
	Writes float64
}

func (Role) effect() {}

func (GPUFreeCapacityReport) effect() {}

func (WaitReport) effect() {}

func (Log) effect() {}

func (Rates) effect() {}

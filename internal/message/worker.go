package message

import (
	"time"

	"github.com/micahill/micahill/internal/model"
)

// WorkerHeartbeat is a worker's heartbeat, which a HeartbeatReply answers.
type WorkerHeartbeat struct {
	Reply     uint64
	Heartbeat model.Heartbeat
}

// HeartbeatReply answers a WorkerHeartbeat.
type HeartbeatReply struct {
	Reply uint64
	// SendDeadline is as in CloudRequest; afterwards the worker gets status 503 instead.
	SendDeadline time.Time
	// StartsDeadline is when start commands must have been sent; afterwards the reply is
	// sent without them.
	StartsDeadline time.Time
	// Status is the HTTP status.
	Status int
	// MachineOwner is the controller that the worker is to send its heartbeats to instead,
	// "" for this one.
	MachineOwner string
	// Epoch is the machine's fencing epoch.
	Epoch    uint64
	Commands []model.TaskCommand
}

// WorkerRequest sends commands to a worker, or only asks for its status. A WorkerResponse
// answers it.
type WorkerRequest struct {
	ID uint64
	// SendDeadline is as in CloudRequest; afterwards the response is NotSent.
	SendDeadline time.Time
	Machine      string
	// Addr is the worker's host and port.
	Addr string
	// StatusOnly says that the worker is only asked for its status.
	StatusOnly bool
	// Epoch and Incarnation are those that the worker must have for it to obey Commands.
	Epoch       uint64
	Incarnation uint64
	Commands    []model.TaskCommand
}

// WorkerResponse answers a WorkerRequest.
type WorkerResponse struct {
	ID uint64
	// OK says that the worker obeyed.
	OK bool
	// NotSent says that the request certainly did not leave.
	NotSent bool
	// Heartbeat is the worker's state, nil if it did not answer with one.
	Heartbeat *model.Heartbeat
}

func (WorkerHeartbeat) command() {}

func (WorkerResponse) command() {}

func (WorkerRequest) effect() {}

func (HeartbeatReply) effect() {}

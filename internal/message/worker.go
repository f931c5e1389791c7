package message

import (
	"time"

	"github.com/micahill/micahill/internal/model"
)

// WorkerHeartbeat is a worker's heartbeat. A HeartbeatReply answers it.
type WorkerHeartbeat struct {
	Reply     uint64
	Heartbeat model.Heartbeat
}

// HeartbeatReply answers a WorkerHeartbeat.
type HeartbeatReply struct {
	Reply uint64
	// SendDeadline is the latest time at which the reply may be sent, for the same reason as in
	// CloudRequest. After it, the worker gets status 503 instead.
	SendDeadline time.Time
	// StartsDeadline is the latest time at which start commands may be sent. After it, the reply
	// is sent without them.
	StartsDeadline time.Time
	// Status is the HTTP status.
	Status int
	// MachineOwner is the controller to which the worker is to send its heartbeats instead; ""
	// for the controller that replies.
	MachineOwner string
	// Epoch is the machine's fencing epoch.
	Epoch    uint64
	Commands []model.TaskCommand
	// AcknowledgesRequest is true if the heartbeat was requested: the worker then no longer lists
	// the request.
	AcknowledgesRequest bool
}

// WorkerRequest sends commands to a worker or only requests its status. A WorkerResponse answers
// it. The commands start no task: the network may deliver the request again at any later time, also
// to a worker that has restarted and would execute a start again.
type WorkerRequest struct {
	ID uint64
	// SendDeadline is the latest time at which the request may be sent, for the same reason as in
	// CloudRequest. After it, the response has NotSent set.
	SendDeadline time.Time
	Machine      string
	// Addr is the worker's host and port.
	Addr string
	// StatusOnly is true if the request has no commands and only asks for the worker's status.
	StatusOnly bool
	// Epoch and Incarnation are the fencing epoch and the incarnation that the worker must have
	// to execute Commands.
	Epoch       uint64
	Incarnation uint64
	Commands    []model.TaskCommand
	// RequestsHeartbeat has the worker send its next heartbeat at once instead of at the end of the
	// usual interval.
	RequestsHeartbeat bool
}

// WorkerResponse answers a WorkerRequest.
type WorkerResponse struct {
	ID uint64
	// OK is true if the worker executed the request.
	OK bool
	// NotSent is true if the request was certainly not sent.
	NotSent bool
	// Heartbeat is the worker's state, nil if the worker did not answer with a heartbeat.
	Heartbeat *model.Heartbeat
}

func (WorkerHeartbeat) command() {}

func (WorkerResponse) command() {}

func (WorkerRequest) effect() {}

func (HeartbeatReply) effect() {}

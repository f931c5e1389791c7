package message

import (
	"time"

	"github.com/micahill/micahill/internal/model"
)

// WorkerHeartbeat is a report that waits for its answer.
type WorkerHeartbeat struct {
	Reply     uint64
	Heartbeat model.Heartbeat
}

// WorkerResponse answers a WorkerRequest. Report is nil when no answer came. NotSent: it
// surely did not leave, for want of connections.
type WorkerResponse struct {
	ID        uint64
	OK        bool
	NotSent   bool
	Heartbeat *model.Heartbeat
}

func (WorkerHeartbeat) command() {}

func (WorkerResponse) command() {}

// WorkerRequest sends orders to a worker, or asks for its status when Ask is set.
type WorkerRequest struct {
	ID uint64
	// Until: as in CloudRequest.
	SendDeadline time.Time
	Machine      string
	Addr         string
	StatusOnly   bool
	Epoch        uint64
	Incarnation  uint64
	Commands     []model.TaskCommand
}

// HeartbeatReply answers a worker's report.
type HeartbeatReply struct {
	Reply uint64
	// Until: as in CloudRequest. After StartsDeadline the answer leaves without its starts.
	SendDeadline   time.Time
	StartsDeadline time.Time
	Status         int
	MachineOwner   string
	Epoch          uint64
	Commands       []model.TaskCommand
}

func (WorkerRequest) effect() {}

func (HeartbeatReply) effect() {}

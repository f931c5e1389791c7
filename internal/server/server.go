// Package server runs one controller. It queues commands, passes them to the controller's state
// machine in batches, and executes the resulting effects.
package server

import (
	"context"
	"errors"
	"log/slog"
	"sync/atomic"
	"time"

	"github.com/micahill/micahill/internal/controller"
	"github.com/micahill/micahill/internal/message"
)

const (
	// requestQueueLen is the largest number of requests that may wait for a step. Ask refuses
	// further requests.
	requestQueueLen = 1024
	// responseQueueLen is the largest number of commands without a reply, such as responses of
	// other services and peer updates, that may wait for a step. Post blocks while there are as many.
	responseQueueLen = 1024
	// maxBatch is the largest number of commands in one step.
	maxBatch = 256
	// maxStepInterval is the longest time between two steps.
	maxStepInterval = time.Second
)

// ErrBusy is the error of Ask if the request queue is full.
var ErrBusy = errors.New("server: request queue full")

// EffectHandlers are the functions that execute effects. Store, Cloud and Worker run in a goroutine
// for each effect and may block. Run calls all others itself after a step, and they must not block.
type EffectHandlers struct {
	Store          func(context.Context, message.StoreRequest) message.StoreResponse
	Cloud          func(context.Context, message.CloudRequest) message.CloudResponse
	Worker         func(context.Context, message.WorkerRequest) message.WorkerResponse
	SendPeerUpdate func(to string, update message.PeerUpdate)
	RoleChanged    func(message.Role)
	// SetRates gets this controller's share of the state service's rate limits.
	SetRates func(message.Rates)
	// PromiseTotals gets the outcome totals of promised dates. It is nil unless the promises feature
	// is enabled.
	PromiseTotals func(message.PromiseTotals)
	// GPUCapacity gets the free capacity on machines with GPUs, while the models feature is
	// enabled.
	GPUCapacity func(message.GPUFreeCapacityReport)
	// Waits gets the jobs that have waited too long for the placement of a task, by team.
	Waits func(message.WaitReport)
	// InternalError is called for every internal error after which the controller continues.
	InternalError func()
	// ObserveStep gets the duration of every step and the number of its commands. It may be nil.
	ObserveStep func(took time.Duration, commands int)
}

// request is a command with the channel for its reply.
type request struct {
	newCommand func(reply uint64) message.Command
	reply      chan message.Effect
}

// Server drives one controller. Only Run touches the controller; the other methods may be
// called from any goroutine.
type Server struct {
	controller *controller.Controller
	handlers   EffectHandlers
	requests   chan request
	responses  chan message.Command
	healthy    atomic.Bool
	// stopped is closed when Run returns, after which nothing receives from responses.
	stopped chan struct{}
	// replies are the channels of requests in progress, by reply ID. Only Run uses them.
	replies     map[uint64]chan message.Effect
	lastReplyID uint64
}

// New returns a server that does nothing until a call of Run.
func New(ctrl *controller.Controller, handlers EffectHandlers) *Server {
	return &Server{
		controller: ctrl, handlers: handlers,
		requests:  make(chan request, requestQueueLen),
		responses: make(chan message.Command, responseQueueLen),
		stopped:   make(chan struct{}),
		replies:   map[uint64]chan message.Effect{},
	}
}

// Healthy reports whether the controller was able to serve requests at its last step.
func (server *Server) Healthy() bool { return server.healthy.Load() }

// Ask passes a command to the controller and returns the reply. The error is ErrBusy or the
// context's error.
func (server *Server) Ask(ctx context.Context, newCommand func(reply uint64) message.Command) (message.Effect, error) {
	req := request{newCommand, make(chan message.Effect, 1)}
	select {
	case server.requests <- req:
	default:
		return nil, ErrBusy
	}
	select {
	case effect := <-req.reply:
		return effect, nil
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// Post queues a command that has no reply. Post blocks while the queue is full, and drops the command
// after Run has returned.
func (server *Server) Post(command message.Command) {
	select {
	case server.responses <- command:
	case <-server.stopped:
	}
}

// Run executes steps of the controller until the context ends, and returns the context's error. It
// must be called only once.
func (server *Server) Run(ctx context.Context) error {
	defer close(server.stopped)
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		var batch []message.Command
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-timer.C:
		case req := <-server.requests:
			batch = append(batch, server.register(req))
		case command := <-server.responses:
			batch = append(batch, command)
		}
		batch = server.fillBatch(batch)
		server.step(ctx, batch)
		wait := maxStepInterval
		if deadline := server.controller.Deadline(); !deadline.IsZero() {
			wait = min(wait, max(time.Until(deadline), time.Millisecond))
		}
		timer.Reset(wait)
	}
}

// step passes a batch to the controller and starts the resulting effects. The time for both counts as
// the duration of the step, since the controller serves no request meanwhile.
func (server *Server) step(ctx context.Context, batch []message.Command) {
	now := time.Now()
	for _, effect := range server.controller.Step(now, batch) {
		server.execute(ctx, effect)
	}
	server.healthy.Store(server.controller.Healthy(now))
	took := time.Since(now)
	server.controller.StepTook(took)
	if server.handlers.ObserveStep != nil {
		server.handlers.ObserveStep(took, len(batch))
	}
}

// register stores the channel for the reply to a request, and returns the request's command.
func (server *Server) register(req request) message.Command {
	server.lastReplyID++
	server.replies[server.lastReplyID] = req.reply
	return req.newCommand(server.lastReplyID)
}

// fillBatch adds queued commands to a batch, up to maxBatch commands in all.
func (server *Server) fillBatch(batch []message.Command) []message.Command {
	for len(batch) < maxBatch {
		// Responses come first, since requests may wait for them.
		select {
		case command := <-server.responses:
			batch = append(batch, command)
			continue
		default:
		}
		select {
		case req := <-server.requests:
			batch = append(batch, server.register(req))
		default:
			return batch
		}
	}
	return batch
}

// reply sends the reply to a request. It does not block, even if the caller has given up: the channel
// has a buffer for the reply.
func (server *Server) reply(id uint64, effect message.Effect) {
	if reply := server.replies[id]; reply != nil {
		delete(server.replies, id)
		reply <- effect
	}
}

// sendUnlessLate makes the call for an effect and posts the response. If the effect's deadline has
// passed, sendUnlessLate does not call but posts the response for a request that was not sent.
func (server *Server) sendUnlessLate(effect message.Effect, call func() message.Command) {
	response, _, late := controller.CheckDeadline(effect, time.Now())
	if !late {
		response = call()
	}
	server.Post(response)
}

// execute starts an effect. Each call to another service runs in a goroutine of its own, which ends at
// the latest at the handler's timeout or when ctx ends.
func (server *Server) execute(ctx context.Context, effect message.Effect) {
	switch e := effect.(type) {
	case message.UserReply:
		server.reply(e.Reply, e)
	case message.HeartbeatReply:
		server.reply(e.Reply, e)
	case message.StatusReply:
		server.reply(e.Reply, e)
	case message.RankingReply:
		server.reply(e.Reply, e)
	case message.PromiseReply:
		server.reply(e.Reply, e)
	case message.LoanView:
		server.reply(e.Reply, e)
	case message.LoanReply:
		server.reply(e.Reply, e)
	case message.StoreRequest:
		go server.sendUnlessLate(e, func() message.Command { return server.handlers.Store(ctx, e) })
	case message.CloudRequest:
		go server.sendUnlessLate(e, func() message.Command { return server.handlers.Cloud(ctx, e) })
	case message.WorkerRequest:
		go server.sendUnlessLate(e, func() message.Command { return server.handlers.Worker(ctx, e) })
	case message.SendPeerUpdate:
		server.handlers.SendPeerUpdate(e.To, e.Update)
	case message.Role:
		server.handlers.RoleChanged(e)
	case message.Rates:
		server.handlers.SetRates(e)
	case message.PromiseTotals:
		if server.handlers.PromiseTotals != nil {
			server.handlers.PromiseTotals(e)
		}
	case message.GPUFreeCapacityReport:
		server.handlers.GPUCapacity(e)
	case message.WaitReport:
		server.handlers.Waits(e)
	case message.Log:
		server.log(e)
	}
}

// log writes a log line, and reports a line at level error as an internal error.
func (server *Server) log(line message.Log) {
	switch {
	case line.Debug:
		slog.Debug(line.Message, line.Args...)
	case line.Error:
		slog.Error(line.Message, line.Args...)
		server.handlers.InternalError()
	default:
		slog.Info(line.Message, line.Args...)
	}
}

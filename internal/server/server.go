// Package server runs one controller: it queues commands, passes them to the controller's
// state machine in batches, and executes the effects that come out.
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
	// requestQueueLen bounds the requests that wait for a step; more are refused.
	requestQueueLen = 1024
	// responseQueueLen is how many responses of other services may wait for a step before
	// Post blocks.
	responseQueueLen = 1024
	// maxBatch bounds the commands of one step.
	maxBatch = 256
	// maxIdle bounds the time between two steps.
	maxIdle = time.Second
)

// ErrBusy is the error of Ask when the request queue is full.
var ErrBusy = errors.New("server: request queue full")

// EffectHandlers execute the effects. Store, Cloud and Worker run on a goroutine for each
// effect and may block; all others are called by Run between two steps and must not.
type EffectHandlers struct {
	Store          func(context.Context, message.StoreRequest) message.StoreResponse
	Cloud          func(context.Context, message.CloudRequest) message.CloudResponse
	Worker         func(context.Context, message.WorkerRequest) message.WorkerResponse
	SendPeerUpdate func(to string, update message.PeerUpdate)
	RoleChanged    func(message.Role)
	// SetRates gets this controller's part of the state service's rate limits.
	SetRates func(message.Rates)
	// PromiseTotals gets the outcome totals of promised dates; nil without that feature.
	PromiseTotals func(message.PromiseTotals)
	// GPUCapacity gets the free capacity on machines with GPUs, while models are enabled.
	GPUCapacity func(message.GPUFreeCapacityReport)
	// Waits gets the jobs that are left waiting, by team.
	Waits func(message.WaitReport)
	// InternalError is called for every internal error that the controller survives.
	InternalError func()
	// ObserveStep gets the duration of every step and the number of its commands; may be nil.
	ObserveStep func(took time.Duration, commands int)
}

// request is a command that waits for its reply.
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
	// stopped is closed when Run returns: from then on nothing takes responses.
	stopped chan struct{}
	// replies are the channels of requests in progress, by reply ID. Only Run uses them.
	replies     map[uint64]chan message.Effect
	lastReplyID uint64
}

// New returns a server that Run starts.
func New(ctrl *controller.Controller, handlers EffectHandlers) *Server {
	return &Server{
		controller: ctrl, handlers: handlers,
		requests:  make(chan request, requestQueueLen),
		responses: make(chan message.Command, responseQueueLen),
		stopped:   make(chan struct{}),
		replies:   map[uint64]chan message.Effect{},
	}
}

// Healthy reports whether the controller could serve requests as of its last step.
func (s *Server) Healthy() bool { return s.healthy.Load() }

// Ask passes a command to the controller and waits for its reply. The error is ErrBusy or the
// context's.
func (s *Server) Ask(ctx context.Context, newCommand func(reply uint64) message.Command) (message.Effect, error) {
	req := request{newCommand, make(chan message.Effect, 1)}
	select {
	case s.requests <- req:
	default:
		return nil, ErrBusy
	}
	select {
	case e := <-req.reply:
		return e, nil
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// Post queues a command that has no reply. It blocks while the queue is full, and drops the
// command once Run has returned.
func (s *Server) Post(c message.Command) {
	select {
	case s.responses <- c:
	case <-s.stopped:
	}
}

// Run steps the controller until the context ends, and returns the context's error. It is
// called once.
func (s *Server) Run(ctx context.Context) error {
	defer close(s.stopped)
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		var batch []message.Command
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-timer.C:
		case r := <-s.requests:
			batch = append(batch, s.register(r))
		case c := <-s.responses:
			batch = append(batch, c)
		}
		batch = s.fillBatch(batch)
		s.step(ctx, batch)
		wait := maxIdle
		if d := s.controller.Deadline(); !d.IsZero() {
			wait = min(wait, max(time.Until(d), time.Millisecond))
		}
		timer.Reset(wait)
	}
}

// step passes a batch to the controller and starts the effects. The time that this takes
// counts as the step's, since no request is served meanwhile.
func (s *Server) step(ctx context.Context, batch []message.Command) {
	now := time.Now()
	for _, e := range s.controller.Step(now, batch) {
		s.execute(ctx, e)
	}
	s.healthy.Store(s.controller.Healthy(now))
	took := time.Since(now)
	s.controller.StepTook(took)
	if s.handlers.ObserveStep != nil {
		s.handlers.ObserveStep(took, len(batch))
	}
}

// register notes where the reply to a request goes, and returns its command.
func (s *Server) register(r request) message.Command {
	s.lastReplyID++
	s.replies[s.lastReplyID] = r.reply
	return r.newCommand(s.lastReplyID)
}

// fillBatch adds what is queued, up to maxBatch commands.
func (s *Server) fillBatch(batch []message.Command) []message.Command {
	for len(batch) < maxBatch {
		// Responses first: they unblock what the requests wait for.
		select {
		case c := <-s.responses:
			batch = append(batch, c)
			continue
		default:
		}
		select {
		case r := <-s.requests:
			batch = append(batch, s.register(r))
		default:
			return batch
		}
	}
	return batch
}

// reply completes a request. The channel has room for the one reply, also when the caller has
// given up.
func (s *Server) reply(id uint64, e message.Effect) {
	if ch := s.replies[id]; ch != nil {
		delete(s.replies, id)
		ch <- e
	}
}

// sendUnlessLate makes a call for an effect and posts the response. If the effect's deadline
// has passed, it posts the response that stands for that and does not call.
func (s *Server) sendUnlessLate(e message.Effect, call func() message.Command) {
	response, _, late := controller.CheckDeadline(e, time.Now())
	if !late {
		response = call()
	}
	s.Post(response)
}

// execute starts an effect. Calls to other services get a goroutine each, which ends with its
// handler's timeout or ctx.
func (s *Server) execute(ctx context.Context, e message.Effect) {
	switch e := e.(type) {
	case message.UserReply:
		s.reply(e.Reply, e)
	case message.HeartbeatReply:
		s.reply(e.Reply, e)
	case message.StatusReply:
		s.reply(e.Reply, e)
	case message.RankingReply:
		s.reply(e.Reply, e)
	case message.PromiseReply:
		s.reply(e.Reply, e)
	case message.LoanView:
		s.reply(e.Reply, e)
	case message.LoanReply:
		s.reply(e.Reply, e)
	case message.StoreRequest:
		go s.sendUnlessLate(e, func() message.Command { return s.handlers.Store(ctx, e) })
	case message.CloudRequest:
		go s.sendUnlessLate(e, func() message.Command { return s.handlers.Cloud(ctx, e) })
	case message.WorkerRequest:
		go s.sendUnlessLate(e, func() message.Command { return s.handlers.Worker(ctx, e) })
	case message.SendPeerUpdate:
		s.handlers.SendPeerUpdate(e.To, e.Update)
	case message.Role:
		s.handlers.RoleChanged(e)
	case message.Rates:
		s.handlers.SetRates(e)
	case message.PromiseTotals:
		if s.handlers.PromiseTotals != nil {
			s.handlers.PromiseTotals(e)
		}
	case message.GPUFreeCapacityReport:
		s.handlers.GPUCapacity(e)
	case message.WaitReport:
		s.handlers.Waits(e)
	case message.Log:
		s.log(e)
	}
}

func (s *Server) log(e message.Log) {
	switch {
	case e.Debug:
		slog.Debug(e.Message, e.Args...)
	case e.Error:
		slog.Error(e.Message, e.Args...)
		s.handlers.InternalError()
	default:
		slog.Info(e.Message, e.Args...)
	}
}

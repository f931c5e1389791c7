// Package server runs one controller: it owns the queue of commands, feeds
// the core with them in batches and carries out the effects.
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
	// requestQueueLen bounds the requests that wait for the loop; more are refused.
	requestQueueLen = 1024
	// responseQueueLen holds answers of outside services on their way to the loop.
	responseQueueLen = 1024
	// maxBatch is how many commands one step takes.
	maxBatch = 256
	// maxIdle is the longest the loop sleeps.
	maxIdle = time.Second
)

// ErrBusy says that the queue is full.
var ErrBusy = errors.New("server: the queue is full")

// EffectHandlers is what carries out effects.
type EffectHandlers struct {
	Store          func(context.Context, message.StoreRequest) message.StoreResponse
	Cloud          func(context.Context, message.CloudRequest) message.CloudResponse
	Worker         func(context.Context, message.WorkerRequest) message.WorkerResponse
	SendPeerUpdate func(to string, news message.PeerUpdate)
	RoleChanged    func(message.Role)
	// SetRates is told the controller's part of the state service's limits.
	SetRates func(message.Rates)
	// PromiseTotals is told what has become of promised dates; nil where there are none.
	PromiseTotals func(message.PromiseTotals)
	// GPUCapacity is told how the room on machines with GPUs lies, while models are on.
	GPUCapacity func(message.GPUFreeCapacityReport)
	// InternalError is told of every mistake of the program's own that it goes on with.
	InternalError func()
	// ObserveStep is told how long a step took and how many commands it had.
	ObserveStep func(took time.Duration, commands int)
}

type request struct {
	newCommand func(reply uint64) message.Command
	reply      chan message.Effect
}

// Server is the loop round one core.
type Server struct {
	controller  *controller.Controller
	handlers    EffectHandlers
	requests    chan request
	responses   chan message.Command
	healthy     atomic.Bool
	replies     map[uint64]chan message.Effect
	lastReplyID uint64
}

// New makes a server. Run starts it.
func New(ctrl *controller.Controller, handlers EffectHandlers) *Server {
	return &Server{
		controller: ctrl, handlers: handlers,
		requests:  make(chan request, requestQueueLen),
		responses: make(chan message.Command, responseQueueLen),
		replies:   map[uint64]chan message.Effect{},
	}
}

// Healthy says whether this node can take requests now.
func (s *Server) Healthy() bool { return s.healthy.Load() }

// Ask hands a command to the core and waits for its reply.
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

// Post hands a command to the core that needs no reply.
func (s *Server) Post(c message.Command) { s.responses <- c }

// Run feeds the core until the context ends.
func (s *Server) Run(ctx context.Context) error {
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
		wait := maxIdle
		if d := s.controller.Deadline(); !d.IsZero() {
			wait = min(wait, max(time.Until(d), time.Millisecond))
		}
		timer.Reset(wait)
	}
}

func (s *Server) register(r request) message.Command {
	s.lastReplyID++
	s.replies[s.lastReplyID] = r.reply
	return r.newCommand(s.lastReplyID)
}

func (s *Server) fillBatch(batch []message.Command) []message.Command {
	for len(batch) < maxBatch {
		// Answers first: they free what the requests wait for.
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

func (s *Server) reply(id uint64, e message.Effect) {
	if ch := s.replies[id]; ch != nil {
		delete(s.replies, id)
		ch <- e
	}
}

// sendUnlessLate carries an effect out and brings the answer back, unless it has become late.
func (s *Server) sendUnlessLate(e message.Effect, call func() message.Command) {
	response, _, late := controller.CheckDeadline(e, time.Now())
	if !late {
		response = call()
	}
	s.Post(response)
}

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
	case message.PromiseTotals:
		if s.handlers.PromiseTotals != nil {
			s.handlers.PromiseTotals(e)
		}
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
	case message.GPUFreeCapacityReport:
		s.handlers.GPUCapacity(e)
	case message.Log:
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
}

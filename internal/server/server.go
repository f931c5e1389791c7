// Package server runs one controller: it owns the queue of commands, feeds
// the core with them in batches and carries out the effects.
package server

import (
	"context"
	"errors"
	"log/slog"
	"sync/atomic"
	"time"

	"github.com/micahill/micahill/internal/core"
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
	Store          func(context.Context, core.StoreRequest) core.StoreResponse
	Cloud          func(context.Context, core.CloudRequest) core.CloudResponse
	Worker         func(context.Context, core.WorkerRequest) core.WorkerResponse
	SendPeerUpdate func(to string, news core.PeerUpdate)
	RoleChanged    func(core.Role)
	// SetRates is told the controller's part of the state service's limits.
	SetRates func(core.Rates)
	// PromiseTotals is told what has become of promised dates; nil where there are none.
	PromiseTotals func(core.PromiseTotals)
	// GPUCapacity is told how the room on machines with GPUs lies, while models are on.
	GPUCapacity func(core.GPUFreeCapacityReport)
	// InternalError is told of every mistake of the program's own that it goes on with.
	InternalError func()
	// ObserveStep is told how long a step took and how many commands it had.
	ObserveStep func(took time.Duration, commands int)
}

type request struct {
	newCommand func(reply uint64) core.Command
	reply      chan core.Effect
}

// Server is the loop round one core.
type Server struct {
	controller  *core.Controller
	handlers    EffectHandlers
	requests    chan request
	responses   chan core.Command
	healthy     atomic.Bool
	replies     map[uint64]chan core.Effect
	lastReplyID uint64
}

// New makes a server. Run starts it.
func New(ctrl *core.Controller, handlers EffectHandlers) *Server {
	return &Server{
		controller: ctrl, handlers: handlers,
		requests:  make(chan request, requestQueueLen),
		responses: make(chan core.Command, responseQueueLen),
		replies:   map[uint64]chan core.Effect{},
	}
}

// Healthy says whether this node can take requests now.
func (s *Server) Healthy() bool { return s.healthy.Load() }

// Ask hands a command to the core and waits for its reply.
func (s *Server) Ask(ctx context.Context, newCommand func(reply uint64) core.Command) (core.Effect, error) {
	req := request{newCommand, make(chan core.Effect, 1)}
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
func (s *Server) Post(c core.Command) { s.responses <- c }

// Run feeds the core until the context ends.
func (s *Server) Run(ctx context.Context) error {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		var batch []core.Command
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

func (s *Server) register(r request) core.Command {
	s.lastReplyID++
	s.replies[s.lastReplyID] = r.reply
	return r.newCommand(s.lastReplyID)
}

func (s *Server) fillBatch(batch []core.Command) []core.Command {
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

func (s *Server) reply(id uint64, e core.Effect) {
	if ch := s.replies[id]; ch != nil {
		delete(s.replies, id)
		ch <- e
	}
}

// sendUnlessLate carries an effect out and brings the answer back, unless it has become late.
func (s *Server) sendUnlessLate(e core.Effect, call func() core.Command) {
	response, _, late := core.CheckDeadline(e, time.Now())
	if !late {
		response = call()
	}
	s.Post(response)
}

func (s *Server) execute(ctx context.Context, e core.Effect) {
	switch e := e.(type) {
	case core.UserReply:
		s.reply(e.Reply, e)
	case core.HeartbeatReply:
		s.reply(e.Reply, e)
	case core.StatusReply:
		s.reply(e.Reply, e)
	case core.RankingReply:
		s.reply(e.Reply, e)
	case core.PromiseReply:
		s.reply(e.Reply, e)
	case core.PromiseTotals:
		if s.handlers.PromiseTotals != nil {
			s.handlers.PromiseTotals(e)
		}
	case core.LoanView:
		s.reply(e.Reply, e)
	case core.LoanReply:
		s.reply(e.Reply, e)
	case core.StoreRequest:
		go s.sendUnlessLate(e, func() core.Command { return s.handlers.Store(ctx, e) })
	case core.CloudRequest:
		go s.sendUnlessLate(e, func() core.Command { return s.handlers.Cloud(ctx, e) })
	case core.WorkerRequest:
		go s.sendUnlessLate(e, func() core.Command { return s.handlers.Worker(ctx, e) })
	case core.SendPeerUpdate:
		s.handlers.SendPeerUpdate(e.To, e.Update)
	case core.Role:
		s.handlers.RoleChanged(e)
	case core.Rates:
		s.handlers.SetRates(e)
	case core.GPUFreeCapacityReport:
		s.handlers.GPUCapacity(e)
	case core.Log:
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

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
	// queueLen bounds the requests that wait for the loop; more are refused.
	queueLen = 1024
	// resultsLen holds answers of outside services on their way to the loop.
	resultsLen = 1024
	// batchMost is how many commands one step takes.
	batchMost = 256
	// idleStep is the longest the loop sleeps.
	idleStep = time.Second
)

// ErrBusy says that the queue is full.
var ErrBusy = errors.New("server: the queue is full")

// Outside is what carries out effects.
type Outside struct {
	State  func(context.Context, core.StoreRequest) core.StoreResponse
	Cloud  func(context.Context, core.CloudRequest) core.CloudResponse
	Worker func(context.Context, core.WorkerRequest) core.WorkerResponse
	Peer   func(to string, news core.PeerUpdate)
	Role   func(core.Role)
	// Rates is told the controller's part of the state service's limits.
	Rates func(core.Rates)
	// Promises is told what has become of promised dates; nil where there are none.
	Promises func(core.PromiseTotals)
	// GPURooms is told how the room on machines with GPUs lies, while models are on.
	GPURooms func(core.GPUFreeCapacityReport)
	// Defect is told of every mistake of the program's own that it goes on with.
	Defect func()
	// Observe is told how long a step took and how many commands it had.
	Observe func(took time.Duration, commands int)
}

type request struct {
	make func(reply uint64) core.Command
	ch   chan core.Effect
}

// Server is the loop round one core.
type Server struct {
	node     *core.Controller
	out      Outside
	requests chan request
	results  chan core.Command
	healthy  atomic.Bool
	replies  map[uint64]chan core.Effect
	next     uint64
}

// New makes a server. Run starts it.
func New(node *core.Controller, out Outside) *Server {
	return &Server{
		node: node, out: out,
		requests: make(chan request, queueLen),
		results:  make(chan core.Command, resultsLen),
		replies:  map[uint64]chan core.Effect{},
	}
}

// Healthy says whether this node can take requests now.
func (s *Server) Healthy() bool { return s.healthy.Load() }

// Ask hands a command to the core and waits for its reply.
func (s *Server) Ask(ctx context.Context, mk func(reply uint64) core.Command) (core.Effect, error) {
	r := request{mk, make(chan core.Effect, 1)}
	select {
	case s.requests <- r:
	default:
		return nil, ErrBusy
	}
	select {
	case e := <-r.ch:
		return e, nil
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// Post hands a command to the core that needs no reply.
func (s *Server) Post(c core.Command) { s.results <- c }

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
			batch = append(batch, s.admit(r))
		case c := <-s.results:
			batch = append(batch, c)
		}
		batch = s.drain(batch)
		now := time.Now()
		for _, e := range s.node.Step(now, batch) {
			s.do(ctx, e)
		}
		s.healthy.Store(s.node.Healthy(now))
		took := time.Since(now)
		s.node.StepTook(took)
		if s.out.Observe != nil {
			s.out.Observe(took, len(batch))
		}
		wait := idleStep
		if d := s.node.Deadline(); !d.IsZero() {
			wait = min(wait, max(time.Until(d), time.Millisecond))
		}
		timer.Reset(wait)
	}
}

func (s *Server) admit(r request) core.Command {
	s.next++
	s.replies[s.next] = r.ch
	return r.make(s.next)
}

func (s *Server) drain(batch []core.Command) []core.Command {
	for len(batch) < batchMost {
		// Answers first: they free what the requests wait for.
		select {
		case c := <-s.results:
			batch = append(batch, c)
			continue
		default:
		}
		select {
		case r := <-s.requests:
			batch = append(batch, s.admit(r))
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

// send carries an effect out and brings the answer back, unless it has become late.
func (s *Server) send(e core.Effect, out func() core.Command) {
	back, _, late := core.CheckDeadline(e, time.Now())
	if !late {
		back = out()
	}
	s.Post(back)
}

func (s *Server) do(ctx context.Context, e core.Effect) {
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
		if s.out.Promises != nil {
			s.out.Promises(e)
		}
	case core.LoanView:
		s.reply(e.Reply, e)
	case core.LoanReply:
		s.reply(e.Reply, e)
	case core.StoreRequest:
		go s.send(e, func() core.Command { return s.out.State(ctx, e) })
	case core.CloudRequest:
		go s.send(e, func() core.Command { return s.out.Cloud(ctx, e) })
	case core.WorkerRequest:
		go s.send(e, func() core.Command { return s.out.Worker(ctx, e) })
	case core.SendPeerUpdate:
		s.out.Peer(e.To, e.Update)
	case core.Role:
		s.out.Role(e)
	case core.Rates:
		s.out.Rates(e)
	case core.GPUFreeCapacityReport:
		s.out.GPURooms(e)
	case core.Log:
		switch {
		case e.Debug:
			slog.Debug(e.Message, e.Args...)
		case e.Error:
			slog.Error(e.Message, e.Args...)
			s.out.Defect()
		default:
			slog.Info(e.Message, e.Args...)
		}
	}
}

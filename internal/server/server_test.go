package server

import (
	"context"
	"errors"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/micahill/micahill/internal/controller"
	"github.com/micahill/micahill/internal/message"
	"github.com/micahill/micahill/internal/model"
)

// newTestServer returns a server whose calls to other services all fail.
func newTestServer(t *testing.T) *Server {
	t.Helper()
	ctrl := controller.New(controller.Settings{
		Host: "ctl-0", MaxTxnWrites: 12, MaxValueBytes: 4096, StoreRequestsPerSecond: 10, StoreWritesPerSecond: 10,
		Policy: controller.DefaultPolicy(), Teams: []model.Team{{Name: "ops"}},
	}, rand.New(rand.NewPCG(1, 2)))
	return New(ctrl, EffectHandlers{
		Store: func(_ context.Context, req message.StoreRequest) message.StoreResponse {
			return message.StoreResponse{ID: req.ID, Status: message.StoreRefused}
		},
		Cloud: func(_ context.Context, req message.CloudRequest) message.CloudResponse {
			return message.CloudResponse{ID: req.ID, Status: message.CloudRefused}
		},
		Worker: func(_ context.Context, req message.WorkerRequest) message.WorkerResponse {
			return message.WorkerResponse{ID: req.ID}
		},
		SendPeerUpdate: func(string, message.PeerUpdate) {},
		RoleChanged:    func(message.Role) {},
		SetRates:       func(message.Rates) {},
		GPUCapacity:    func(message.GPUFreeCapacityReport) {},
		Waits:          func(message.WaitReport) {},
		InternalError:  func() { t.Error("internal error, want none") },
	})
}

func askStatus(ctx context.Context, s *Server) (message.Effect, error) {
	return s.Ask(ctx, func(reply uint64) message.Command { return message.QueryStatus{Reply: reply} })
}

// TestAsk: while the server runs, a request gets its reply; Run ends with its context.
func TestAsk(t *testing.T) {
	s := newTestServer(t)
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan error, 1)
	go func() { ended <- s.Run(ctx) }()
	askCtx, cancelAsk := context.WithTimeout(ctx, 10*time.Second)
	defer cancelAsk()
	e, err := askStatus(askCtx, s)
	if _, ok := e.(message.StatusReply); err != nil || !ok {
		t.Errorf("got %T, %v, want a status reply", e, err)
	}
	cancel()
	if err := <-ended; !errors.Is(err, context.Canceled) {
		t.Errorf("run: got %v, want %v", err, context.Canceled)
	}
}

// TestAskBusy: a request beyond the queue's length is refused at once.
func TestAskBusy(t *testing.T) {
	s := newTestServer(t)
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	for i := range requestQueueLen {
		if _, err := askStatus(ctx, s); !errors.Is(err, context.Canceled) {
			t.Fatalf("request %d: got %v, want %v", i, err, context.Canceled)
		}
	}
	if _, err := askStatus(t.Context(), s); !errors.Is(err, ErrBusy) {
		t.Errorf("got %v, want %v", err, ErrBusy)
	}
}

// TestPostAfterRun: late responses don't block their goroutines once the server has stopped.
func TestPostAfterRun(t *testing.T) {
	s := newTestServer(t)
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	if err := s.Run(ctx); !errors.Is(err, context.Canceled) {
		t.Fatalf("run: got %v, want %v", err, context.Canceled)
	}
	posted := make(chan struct{})
	go func() {
		defer close(posted)
		for range responseQueueLen + 1 {
			s.Post(message.StoreResponse{})
		}
	}()
	select {
	case <-posted:
	case <-time.After(10 * time.Second):
		t.Error("post blocks after run")
	}
}

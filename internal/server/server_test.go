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

// newTestServer returns a server whose calls to other services all fail. An internal error fails the
// test.
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

// askStatus asks the server for the controller's status.
func askStatus(ctx context.Context, server *Server) (message.Effect, error) {
	return server.Ask(ctx, func(reply uint64) message.Command { return message.QueryStatus{Reply: reply} })
}

// TestAsk guards against a request without a reply while the server runs, and against a Run that does
// not end with its context.
func TestAsk(t *testing.T) {
	server := newTestServer(t)
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan error, 1)
	go func() { ended <- server.Run(ctx) }()
	askCtx, cancelAsk := context.WithTimeout(ctx, 10*time.Second)
	defer cancelAsk()
	effect, err := askStatus(askCtx, server)
	if _, ok := effect.(message.StatusReply); err != nil || !ok {
		t.Errorf("got %T, %v, want a status reply", effect, err)
	}
	cancel()
	if err := <-ended; !errors.Is(err, context.Canceled) {
		t.Errorf("run: got %v, want %v", err, context.Canceled)
	}
}

// TestAskBusy guards against a request that waits although the request queue is full. Ask must refuse
// it at once.
func TestAskBusy(t *testing.T) {
	server := newTestServer(t)
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	for i := range requestQueueLen {
		if _, err := askStatus(ctx, server); !errors.Is(err, context.Canceled) {
			t.Fatalf("request %d: got %v, want %v", i, err, context.Canceled)
		}
	}
	if _, err := askStatus(t.Context(), server); !errors.Is(err, ErrBusy) {
		t.Errorf("got %v, want %v", err, ErrBusy)
	}
}

// TestPostAfterRun guards against a goroutine leak: a response that arrives after the server has stopped
// must not block its goroutine.
func TestPostAfterRun(t *testing.T) {
	server := newTestServer(t)
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	if err := server.Run(ctx); !errors.Is(err, context.Canceled) {
		t.Fatalf("run: got %v, want %v", err, context.Canceled)
	}
	posted := make(chan struct{})
	go func() {
		defer close(posted)
		for range responseQueueLen + 1 {
			server.Post(message.StoreResponse{})
		}
	}()
	select {
	case <-posted:
	case <-time.After(10 * time.Second):
		t.Error("Post blocks after Run has returned")
	}
}

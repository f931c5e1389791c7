package api

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/labstack/echo/v4"
	"github.com/micahill/micahill/internal/message"
	"github.com/vmihailenco/msgpack/v5"
)

// fixedBackend gives every command the same reply.
type fixedBackend struct{ reply message.Effect }

func (fixedBackend) Healthy() bool { return true }

func (b fixedBackend) Ask(context.Context, func(uint64) message.Command) (message.Effect, error) {
	return b.reply, nil
}

// heartbeatBackend accepts heartbeats and knows no job.
type heartbeatBackend struct{}

func (heartbeatBackend) Healthy() bool { return true }

func (heartbeatBackend) Ask(_ context.Context, newCommand func(uint64) message.Command) (message.Effect, error) {
	if _, ok := newCommand(1).(message.WorkerHeartbeat); ok {
		return message.HeartbeatReply{Status: 200, Epoch: 1}, nil
	}
	return message.UserReply{Status: 404, Message: "no such job"}, nil
}

// unusedAddr returns a loopback address on which nothing listens.
func unusedAddr(t *testing.T) string {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	return ln.Addr().String()
}

// encodeHeartbeat returns the body of a heartbeat without tasks.
func encodeHeartbeat(t *testing.T) []byte {
	t.Helper()
	b, err := msgpack.Marshal(map[string]any{"host": "vm-1", "tenure": 1, "tick": 1, "epoch": 1, "pieces": []any{}})
	if err != nil {
		t.Fatal(err)
	}
	return b
}

// queryWithReply queries job-1 and returns the response to the given reply of the controller.
func queryWithReply(t *testing.T, reply message.UserReply) *httptest.ResponseRecorder {
	t.Helper()
	rec := httptest.NewRecorder()
	c := echo.New().NewContext(httptest.NewRequest(http.MethodGet, "/v2/runs/job-1", nil), rec)
	c.SetParamNames("id")
	c.SetParamValues("job-1")
	h := &handlers{backend: fixedBackend{reply}}
	if err := h.queryJob(c); err != nil {
		t.Fatal(err)
	}
	return rec
}

func ignoreResponses(string, string, time.Duration) {}

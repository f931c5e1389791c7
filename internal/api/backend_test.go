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

// fixedBackend is a backend that returns the same reply to every command.
type fixedBackend struct{ reply message.Effect }

// Healthy returns true.
func (fixedBackend) Healthy() bool { return true }

// Ask returns the fixed reply without calling newCommand.
func (backend fixedBackend) Ask(context.Context, func(uint64) message.Command) (message.Effect, error) {
	return backend.reply, nil
}

// heartbeatBackend is a backend that accepts every heartbeat and knows no jobs.
type heartbeatBackend struct{}

// Healthy returns true.
func (heartbeatBackend) Healthy() bool { return true }

// Ask accepts a heartbeat, and replies to any other command that the job does not exist.
func (heartbeatBackend) Ask(_ context.Context, newCommand func(uint64) message.Command) (message.Effect, error) {
	if _, ok := newCommand(1).(message.WorkerHeartbeat); ok {
		return message.HeartbeatReply{Status: 200, Epoch: 1}, nil
	}
	return message.UserReply{Status: 404, Message: "no such job"}, nil
}

// unusedAddr returns a loopback address on which nothing listens.
func unusedAddr(t *testing.T) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	return listener.Addr().String()
}

// encodeHeartbeat returns the body of a heartbeat without tasks.
func encodeHeartbeat(t *testing.T) []byte {
	t.Helper()
	body, err := msgpack.Marshal(map[string]any{"host": "vm-1", "tenure": 1, "tick": 1, "epoch": 1, "pieces": []any{}})
	if err != nil {
		t.Fatal(err)
	}
	return body
}

// queryWithReply sends a user's query for job-1, to which the controller gives the given reply, and
// returns the HTTP response.
func queryWithReply(t *testing.T, reply message.UserReply) *httptest.ResponseRecorder {
	t.Helper()
	recorder := httptest.NewRecorder()
	c := echo.New().NewContext(httptest.NewRequest(http.MethodGet, "/v2/runs/job-1", nil), recorder)
	c.SetParamNames("id")
	c.SetParamValues("job-1")
	handlers := &handlers{backend: fixedBackend{reply}}
	if err := handlers.queryJob(c); err != nil {
		t.Fatal(err)
	}
	return recorder
}

// ignoreResponses is an Observer that does nothing.
func ignoreResponses(string, string, time.Duration) {}

package cloud

import (
	"errors"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/micahill/micahill/internal/message"
	"github.com/vmihailenco/msgpack/v5"
)

// TestExecuteErrors: each status of the cloud is an error that callers can tell apart, and the
// outcome that the controller's state machine acts on.
func TestExecuteErrors(t *testing.T) {
	for _, test := range []struct {
		name   string
		code   int
		body   map[string]any
		err    error
		status message.CloudStatus
	}{
		{"ok", http.StatusOK, map[string]any{"hosts": []string{"vm-1"}}, nil, message.CloudOK},
		{"no capacity", http.StatusServiceUnavailable, map[string]any{"error": "no capacity"}, ErrNoCapacity, message.CloudNoCapacity},
		{"outage", http.StatusServiceUnavailable, map[string]any{"error": "trouble"}, ErrNotExecuted, message.CloudRefused},
		{"rate limit", http.StatusTooManyRequests, nil, ErrNotExecuted, message.CloudRefused},
		{"malformed", http.StatusBadRequest, nil, ErrMalformed, message.CloudMalformed},
	} {
		t.Run(test.name, func(t *testing.T) {
			srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				b, err := msgpack.Marshal(test.body)
				if err != nil {
					t.Error(err)
				}
				w.WriteHeader(test.code)
				w.Write(b)
			}))
			t.Cleanup(srv.Close)
			c := New(strings.TrimPrefix(srv.URL, "http://"), 1000)
			req := message.CloudRequest{ID: 3, Kind: message.CloudRent, IdempotencyKey: "r-1", MachineType: "g8", Zone: "a", Count: 1}
			got, err := c.Execute(t.Context(), req)
			if !errors.Is(err, test.err) {
				t.Errorf("error: got %v, want %v", err, test.err)
			}
			if got.ID != 3 || (len(got.Rented) == 1) != (test.err == nil) {
				t.Errorf("got %+v, want ID 3, and a machine unless there is an error", got)
			}
			if s := c.Do(t.Context(), req).Status; s != test.status {
				t.Errorf("status: got %v, want %v", s, test.status)
			}
		})
	}
}

// TestExecuteWithoutAnswer: a request without an answer may have been executed.
func TestExecuteWithoutAnswer(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ln.Close()
	c := New(ln.Addr().String(), 1000)
	if s := c.Do(t.Context(), message.CloudRequest{Kind: message.CloudRent}).Status; s != message.CloudUnknown {
		t.Errorf("got %v, want %v", s, message.CloudUnknown)
	}
}

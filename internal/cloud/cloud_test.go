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

// TestExecuteErrors checks that each HTTP status of the cloud gives the right error and the right
// outcome for the controller's state machine. If a refused rental counted as one that may have been
// executed, or the reverse, the controller would lose or duplicate machines.
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
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				body, err := msgpack.Marshal(test.body)
				if err != nil {
					t.Error(err)
				}
				w.WriteHeader(test.code)
				w.Write(body)
			}))
			t.Cleanup(server.Close)
			client := New(strings.TrimPrefix(server.URL, "http://"), 1000)
			request := message.CloudRequest{ID: 3, Kind: message.CloudRent, IdempotencyKey: "r-1", MachineType: "g8", Zone: "a", Count: 1}
			got, err := client.Execute(t.Context(), request)
			if !errors.Is(err, test.err) {
				t.Errorf("error: got %v, want %v", err, test.err)
			}
			if got.ID != 3 || (len(got.Rented) == 1) != (test.err == nil) {
				t.Errorf("got %+v, want ID 3, and one machine if there is no error, else none", got)
			}
			if status := client.Do(t.Context(), request).Status; status != test.status {
				t.Errorf("status: got %v, want %v", status, test.status)
			}
		})
	}
}

// TestExecuteWithoutAnswer checks that the outcome of a request without a response is unknown, since
// the cloud may have executed it.
func TestExecuteWithoutAnswer(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	listener.Close()
	client := New(listener.Addr().String(), 1000)
	if status := client.Do(t.Context(), message.CloudRequest{Kind: message.CloudRent}).Status; status != message.CloudUnknown {
		t.Errorf("got %v, want %v", status, message.CloudUnknown)
	}
}

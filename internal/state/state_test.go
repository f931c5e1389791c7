package state

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"

	"github.com/micahill/micahill/internal/message"
	"github.com/vmihailenco/msgpack/v5"
)

// TestLargeWriteIsNotStarved guards against the refusal of large writes whose turn comes after the
// request's timeout because small writes take all of the rate. After a restart of all controllers,
// this fault would prevent the start of any task for ten seconds.
func TestLargeWriteIsNotStarved(t *testing.T) {
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		b, err := msgpack.Marshal(map[string]any{"ledger_rev": 1})
		if err != nil {
			t.Error(err)
		}
		w.Write(b)
	}))
	defer srv.Close()
	client := New(strings.TrimPrefix(srv.URL, "http://"), 1000, 20, 1)
	client.SetRates(message.Rates{Requests: 700, Writes: 14})
	write := func(writes int, priority message.Priority) message.StoreStatus {
		t.Helper()
		req := message.StoreRequest{Kind: message.OpTxn, Priority: priority}
		for i := range writes {
			req.Writes = append(req.Writes, message.Write{Key: fmt.Sprint("k/", i), Value: []byte{0xc0}})
		}
		return client.Do(context.Background(), req).Status
	}
	// Users' writes take a second's worth of the write rate in advance.
	for i := range 2 {
		if s := write(12, message.PriorityUser); s != message.StoreOK {
			t.Fatalf("user's write %d: got %v, want %v", i, s, message.StoreOK)
		}
	}
	var wg sync.WaitGroup
	for range 2 {
		wg.Go(func() {
			if s := write(12, message.PriorityStart); s != message.StoreOK {
				t.Errorf("large write of priority start: got %v, want %v", s, message.StoreOK)
			}
		})
	}
	wg.Wait()
}

// TestExecuteErrors guards against an HTTP status of the service that gets the wrong error or the wrong
// outcome. A caller would then treat a request as not executed that may have been executed, or the
// reverse.
func TestExecuteErrors(t *testing.T) {
	for _, test := range []struct {
		name   string
		kind   message.StoreRequestKind
		code   int
		text   string
		err    error
		status message.StoreStatus
	}{
		{"ok", message.OpTxn, http.StatusOK, "", nil, message.StoreOK},
		{"created", message.OpLeaseGrant, http.StatusCreated, "", nil, message.StoreOK},
		{"missing key", message.OpGet, http.StatusNotFound, "", ErrNotFound, message.StoreNotFound},
		{"failed compares", message.OpTxn, http.StatusConflict, "", ErrConflict, message.StoreConflict},
		{"compacted revision", message.OpWatch, http.StatusGone, "", ErrCompacted, message.StoreCompacted},
		{"expired lease", message.OpTxn, http.StatusBadRequest, "no such lease", ErrNoLease, message.StoreNoLease},
		{"malformed", message.OpTxn, http.StatusBadRequest, "too many changes", ErrMalformed, message.StoreMalformed},
		{"service unavailable", message.OpTxn, http.StatusServiceUnavailable, "", ErrNotExecuted, message.StoreRefused},
		{"unexpected status of a transaction", message.OpTxn, http.StatusInternalServerError, "", &unexpectedStatusError{http.StatusInternalServerError}, message.StoreUnknown},
		{"unexpected status of a read", message.OpGet, http.StatusInternalServerError, "", &unexpectedStatusError{http.StatusInternalServerError}, message.StoreRefused},
	} {
		t.Run(test.name, func(t *testing.T) {
			srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				b, err := msgpack.Marshal(map[string]any{"ledger_rev": 7, "error": test.text})
				if err != nil {
					t.Error(err)
				}
				w.WriteHeader(test.code)
				w.Write(b)
			}))
			t.Cleanup(srv.Close)
			client := New(strings.TrimPrefix(srv.URL, "http://"), 1000, 1000, 1)
			got, err := client.Execute(t.Context(), message.StoreRequest{Kind: test.kind, Key: "k"})
			var want, unexpected *unexpectedStatusError
			if errors.As(test.err, &want) {
				if !errors.As(err, &unexpected) || *unexpected != *want {
					t.Errorf("error: got %v, want %v", err, test.err)
				}
			} else if !errors.Is(err, test.err) {
				t.Errorf("error: got %v, want %v", err, test.err)
			}
			if got.Revision != 7 {
				t.Errorf("revision: got %d, want 7", got.Revision)
			}
			if s := client.Do(t.Context(), message.StoreRequest{Kind: test.kind, Key: "k"}).Status; s != test.status {
				t.Errorf("status: got %v, want %v", s, test.status)
			}
		})
	}
}

// TestExecuteWithoutAnswer guards against confusing two failures: a request that was not sent was not
// executed, while a request without a response may have been executed.
func TestExecuteWithoutAnswer(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	go func() {
		for {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			conn.Close()
		}
	}()
	client := New(ln.Addr().String(), 1000, 1000, 1)
	req := message.StoreRequest{Kind: message.OpTxn}
	if _, err := client.Execute(t.Context(), req); err == nil || errors.Is(err, ErrNotExecuted) {
		t.Errorf("closed connection: got %v, want an error other than %v", err, ErrNotExecuted)
	}
	if s := client.Do(t.Context(), req).Status; s != message.StoreUnknown {
		t.Errorf("closed connection: got %v, want %v", s, message.StoreUnknown)
	}
	ln.Close()
	if _, err := client.Execute(t.Context(), req); !errors.Is(err, ErrNotExecuted) {
		t.Errorf("refused connection: got %v, want %v", err, ErrNotExecuted)
	}
	if s := client.Do(t.Context(), req).Status; s != message.StoreRefused {
		t.Errorf("refused connection: got %v, want %v", s, message.StoreRefused)
	}
}

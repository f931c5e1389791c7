package state

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"

	"github.com/micahill/micahill/internal/message"
	"github.com/vmihailenco/msgpack/v5"
)

// TestLargeWriteIsNotStarved guards against large writes that are refused
// because their turn in the rate comes after a request's deadline, while small
// ones go on taking all of the rate: after a restart of all controllers no task
// was started for ten seconds.
func TestLargeWriteIsNotStarved(t *testing.T) {
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		b, err := msgpack.Marshal(map[string]any{"ledger_rev": 1})
		if err != nil {
			t.Error(err)
		}
		w.Write(b)
	}))
	defer srv.Close()
	c := New(strings.TrimPrefix(srv.URL, "http://"), 1000, 20, 1)
	c.SetRates(message.Rates{Requests: 700, Writes: 14})
	write := func(changes int, prio message.Priority) message.StoreStatus {
		t.Helper()
		op := message.StoreRequest{Kind: message.OpTxn, Priority: prio}
		for i := range changes {
			op.Writes = append(op.Writes, message.Write{Key: fmt.Sprint("k/", i), Value: []byte{0xc0}})
		}
		return c.Do(context.Background(), op).Status
	}
	// Users' changes take a second's worth of the rate before it is there.
	for i := range 2 {
		if s := write(12, message.PriorityUser); s != message.StoreOK {
			t.Fatal("a user's write:", i, s)
		}
	}
	var wg sync.WaitGroup
	for range 2 {
		wg.Go(func() {
			if s := write(12, message.PriorityStart); s != message.StoreOK {
				t.Error("a large write for starts:", s)
			}
		})
	}
	wg.Wait()
}

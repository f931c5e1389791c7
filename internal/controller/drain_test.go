package controller

import (
	"slices"
	"testing"
	"time"

	"github.com/micahill/micahill/internal/message"
	"github.com/micahill/micahill/internal/record"
)

// lastStoreRequest is the last request to the state service that a controller made.
func (c *Controller) lastStoreRequest(t *testing.T) message.StoreRequest {
	t.Helper()
	for _, e := range slices.Backward(c.effects) {
		if op, ok := e.(message.StoreRequest); ok {
			return op
		}
	}
	t.Fatal("got no request to the state service, want one")
	return message.StoreRequest{}
}

// answerStore answers a request to the state service.
func (c *Controller) answerStore(op message.StoreRequest, response message.StoreResponse) {
	c.requests.storeCallbacks[op.ID](response)
}

// TestDrainIsFenced: a switch of the cluster's drain names the revision of the one that its
// controller knows.
//
// What happened: it named none, so that an older switch which was carried out late took the place
// of a newer one, and the answer to an older one undid what the watch had brought. What showed it:
// the write to ctl/drain had no compares.
func TestDrainIsFenced(t *testing.T) {
	c := largePool(0)
	c.handleCommand(message.DrainCommand{Reply: 1, Enabled: true, Deadline: c.now})
	op := c.lastStoreRequest(t)
	if want := (message.Compare{Key: record.DrainKey}); !slices.Equal(op.Compares, []message.Compare{want}) {
		t.Fatalf("got compares %v of the first switch, want that there was none", op.Compares)
	}
	c.answerStore(op, message.StoreResponse{Status: message.StoreOK, Revision: 10})
	c.handleCommand(message.DrainCommand{Reply: 2, Enabled: false})
	op = c.lastStoreRequest(t)
	if want := (message.Compare{Key: record.DrainKey, ModRevision: 10}); !slices.Equal(op.Compares, []message.Compare{want}) {
		t.Errorf("got compares %v of the second switch, want the first one's revision", op.Compares)
	}
	// The watch brings a newer one before the answer.
	c.membership.applyControlRecord(message.KeyValue{Key: record.DrainKey, Value: record.Encode(record.Drain{Enabled: true}), ModRevision: 12})
	c.answerStore(op, message.StoreResponse{Status: message.StoreOK, Revision: 11})
	if !c.membership.drain.Enabled {
		t.Error("got the newer switch undone by the answer to an older one, want it kept")
	}
}

// TestDrainAnswers: what an operator is told of a switch whose compares did not hold: done if it
// stands there all the same, as when its first answer was lost, and not done otherwise.
func TestDrainAnswers(t *testing.T) {
	deadline := time.Unix(1_750_000_600, 0)
	for _, tc := range []struct {
		name   string
		stored record.Drain
		want   message.LoanStatus
	}{
		{"its answer was lost", record.Drain{Enabled: true, Deadline: deadline.UnixMilli()}, message.LoanDurable},
		{"another's is newer", record.Drain{}, message.LoanNotApplied},
	} {
		t.Run(tc.name, func(t *testing.T) {
			c := largePool(0)
			c.membership.loaded = true
			c.handleCommand(message.DrainCommand{Reply: 7, Enabled: true, Deadline: deadline})
			c.answerStore(c.lastStoreRequest(t), message.StoreResponse{Status: message.StoreConflict, Revision: 12})
			read := c.lastStoreRequest(t)
			if read.Kind != message.OpWatch || read.Key != record.ControlPrefix {
				t.Fatalf("got request %v, want the control records read", read)
			}
			c.answerStore(read, message.StoreResponse{Status: message.StoreOK, Revision: 12, KeyValues: []message.KeyValue{{Key: record.DrainKey, Value: record.Encode(tc.stored), ModRevision: 12}}})
			if got, ok := c.effects[len(c.effects)-1].(message.LoanReply); !ok || got != (message.LoanReply{Reply: 7, Status: tc.want}) {
				t.Errorf("got %+v, want status %v", c.effects[len(c.effects)-1], tc.want)
			}
		})
	}
}

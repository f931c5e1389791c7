package controller

import (
	"slices"
	"testing"
	"time"

	"github.com/micahill/micahill/internal/message"
	"github.com/micahill/micahill/internal/record"
)

// lastStoreRequest returns the last request that a controller sent to the store.
func (controller *Controller) lastStoreRequest(t *testing.T) message.StoreRequest {
	t.Helper()
	for _, effect := range slices.Backward(controller.effects) {
		if request, ok := effect.(message.StoreRequest); ok {
			return request
		}
	}
	t.Fatal("got no request to the store, want one")
	return message.StoreRequest{}
}

// answerStore passes a response to the callback of a request to the store.
func (controller *Controller) answerStore(request message.StoreRequest, response message.StoreResponse) {
	controller.requests.storeCallbacks[request.ID](response)
}

// TestDrainIsFenced checks that a write of the cluster's drain compares the revision of the
// drain record that the controller knows. Without the compare, a delayed write of an older
// switch replaces a newer one, and the response to an older write undoes a newer record that
// the watch has delivered.
func TestDrainIsFenced(t *testing.T) {
	controller := largePool(0)
	controller.handleCommand(message.DrainCommand{Reply: 1, Enabled: true, Deadline: controller.now})
	request := controller.lastStoreRequest(t)
	if want := (message.Compare{Key: record.DrainKey}); !slices.Equal(request.Compares, []message.Compare{want}) {
		t.Fatalf("got compares %v of the first switch, want that the record is absent", request.Compares)
	}
	controller.answerStore(request, message.StoreResponse{Status: message.StoreOK, Revision: 10})
	controller.handleCommand(message.DrainCommand{Reply: 2, Enabled: false})
	request = controller.lastStoreRequest(t)
	if want := (message.Compare{Key: record.DrainKey, ModRevision: 10}); !slices.Equal(request.Compares, []message.Compare{want}) {
		t.Errorf("got compares %v of the second switch, want the revision of the first switch", request.Compares)
	}
	// The watch delivers a newer record before the response arrives.
	controller.membership.applyControlRecord(message.KeyValue{Key: record.DrainKey, Value: record.Encode(record.Drain{Enabled: true}), ModRevision: 12})
	controller.answerStore(request, message.StoreResponse{Status: message.StoreOK, Revision: 11})
	if !controller.membership.drain.Enabled {
		t.Error("got the newer switch undone by the answer to an older one, want it kept")
	}
}

// TestDrainAnswers checks the reply to an operator when the compares of a drain write did not
// hold. The reply is durable if the stored record equals the requested one, as after a first
// response that was lost, and otherwise not applied.
func TestDrainAnswers(t *testing.T) {
	deadline := time.Unix(1_750_000_600, 0)
	for _, tc := range []struct {
		name   string
		stored record.Drain
		want   message.LoanStatus
	}{
		{"answer to the first write was lost", record.Drain{Enabled: true, Deadline: deadline.UnixMilli()}, message.LoanDurable},
		{"another switch is newer", record.Drain{}, message.LoanNotApplied},
	} {
		t.Run(tc.name, func(t *testing.T) {
			controller := largePool(0)
			controller.membership.loaded = true
			controller.handleCommand(message.DrainCommand{Reply: 7, Enabled: true, Deadline: deadline})
			controller.answerStore(controller.lastStoreRequest(t), message.StoreResponse{Status: message.StoreConflict, Revision: 12})
			read := controller.lastStoreRequest(t)
			if read.Kind != message.OpWatch || read.Key != record.ControlPrefix {
				t.Fatalf("got request %v, want a read of the control records", read)
			}
			controller.answerStore(read, message.StoreResponse{Status: message.StoreOK, Revision: 12, KeyValues: []message.KeyValue{{Key: record.DrainKey, Value: record.Encode(tc.stored), ModRevision: 12}}})
			if got, ok := controller.effects[len(controller.effects)-1].(message.LoanReply); !ok || got != (message.LoanReply{Reply: 7, Status: tc.want}) {
				t.Errorf("got %+v, want status %v", controller.effects[len(controller.effects)-1], tc.want)
			}
		})
	}
}

package controller

import (
	"fmt"

	"github.com/cespare/xxhash/v2"
	"github.com/micahill/micahill/internal/message"
	"github.com/micahill/micahill/internal/sizelimit"
)

// maxMalformedTxns bounds how many malformed transactions are remembered.
const maxMalformedTxns = 256

// requestTracker sends requests to the store, the cloud and the workers, and calls back
// with their responses. Any component may use it in any role. Each callback runs at most
// once, in the Step that gets the response, and perhaps long after its sender lost the
// role that it acted in: a callback checks by itself what has become of that.
type requestTracker struct {
	component

	// The callbacks of requests without a response yet, by the id of the request.
	storeCallbacks  map[uint64]func(message.StoreResponse)
	cloudCallbacks  map[uint64]func(message.CloudResponse)
	workerCallbacks map[uint64]func(message.WorkerResponse)
	// malformedTxns has the hashes of transactions that the store called malformed: none
	// is sent again as it is.
	malformedTxns map[uint64]bool
}

func newRequestTracker() requestTracker {
	return requestTracker{
		storeCallbacks:  map[uint64]func(message.StoreResponse){},
		cloudCallbacks:  map[uint64]func(message.CloudResponse){},
		workerCallbacks: map[uint64]func(message.WorkerResponse){},
		malformedTxns:   map[uint64]bool{},
	}
}

// toStore sends a request to the store. A transaction beyond the store's limits of size is
// not sent: it would be rejected as malformed each time and count against the limit of
// requests. It is an internal error, and answered as malformed.
func (r *requestTracker) toStore(op message.StoreRequest, fn func(message.StoreResponse)) {
	op.ID = r.nextID()
	if op.Kind == message.OpTxn {
		if err := r.checkTxnLimits(&op); err != nil {
			r.internalError("store request exceeds limits", "err", err)
			r.after(0, func() { fn(message.StoreResponse{ID: op.ID, Status: message.StoreMalformed, SentAt: r.now}) })
			return
		}
		if len(r.malformedTxns) > 0 && r.malformedTxns[txnHash(&op)] {
			r.after(storeRetryDelay, func() { fn(message.StoreResponse{ID: op.ID, Status: message.StoreMalformed, SentAt: r.now}) })
			return
		}
		callback := fn
		fn = func(d message.StoreResponse) {
			if d.Status == message.StoreMalformed {
				r.noteMalformed(&op)
			}
			callback(d)
		}
	}
	r.controller.rateLimits.countRequest(&op)
	r.storeCallbacks[op.ID] = fn
	r.emit(op)
}

// checkTxnLimits says whether the store takes a transaction of this size.
func (r *requestTracker) checkTxnLimits(op *message.StoreRequest) error {
	compares, writes := make([]string, len(op.Compares)), make([]sizelimit.Write, len(op.Writes))
	for i, c := range op.Compares {
		compares[i] = c.Key
	}
	for i, w := range op.Writes {
		writes[i] = sizelimit.Write{Key: w.Key, Value: w.Value}
	}
	return r.limitsOf(op).CheckTxn(compares, writes)
}

// noteMalformed remembers a transaction that the store has called malformed.
func (r *requestTracker) noteMalformed(op *message.StoreRequest) {
	r.internalError("transaction rejected as malformed", "writes", len(op.Writes), "first_key", firstWriteKey(op))
	if len(r.malformedTxns) >= maxMalformedTxns {
		clear(r.malformedTxns)
	}
	r.malformedTxns[txnHash(op)] = true
}

// txnHash tells transactions apart by what they would do.
func txnHash(op *message.StoreRequest) uint64 {
	h := xxhash.New()
	for _, c := range op.Compares {
		fmt.Fprint(h, c.Key, c.ModRevision, ";")
	}
	for _, a := range op.Writes {
		fmt.Fprint(h, a.Key, a.LeaseID, len(a.Value), ":")
		h.Write(a.Value)
	}
	return h.Sum64()
}

func firstWriteKey(op *message.StoreRequest) string {
	if len(op.Writes) == 0 {
		return ""
	}
	return op.Writes[0].Key
}

func (r *requestTracker) toCloud(op message.CloudRequest, fn func(message.CloudResponse)) {
	op.ID = r.nextID()
	r.cloudCallbacks[op.ID] = fn
	r.emit(op)
}

func (r *requestTracker) toWorker(op message.WorkerRequest, fn func(message.WorkerResponse)) {
	op.ID = r.nextID()
	r.workerCallbacks[op.ID] = fn
	r.emit(op)
}

func (r *requestTracker) receiveStoreResponse(d message.StoreResponse) {
	r.controller.membership.noteStoreStatus(d.Status)
	if fn := r.storeCallbacks[d.ID]; fn != nil {
		delete(r.storeCallbacks, d.ID)
		fn(d)
	}
}

func (r *requestTracker) receiveCloudResponse(d message.CloudResponse) {
	if fn := r.cloudCallbacks[d.ID]; fn != nil {
		delete(r.cloudCallbacks, d.ID)
		fn(d)
	}
}

func (r *requestTracker) receiveWorkerResponse(d message.WorkerResponse) {
	if fn := r.workerCallbacks[d.ID]; fn != nil {
		delete(r.workerCallbacks, d.ID)
		fn(d)
	}
}

// readAll reads all records under a prefix, page by page with retries, as long as wanted
// says so, and then calls fn with them.
func (r *requestTracker) readAll(prefix string, priority message.Priority, wanted func() bool, fn func([]message.KeyValue)) {
	var got []message.KeyValue
	var list func(from string)
	list = func(from string) {
		r.toStore(message.StoreRequest{Kind: message.OpList, Priority: priority, Key: prefix, StartAfter: from}, func(d message.StoreResponse) {
			switch {
			case !wanted():
			case d.Status != message.StoreOK:
				r.after(r.jitter(storeRetryDelay), func() {
					if wanted() {
						list(from)
					}
				})
			default:
				got = append(got, d.KeyValues...)
				if d.Truncated && len(d.KeyValues) > 0 {
					list(d.KeyValues[len(d.KeyValues)-1].Key)
					return
				}
				fn(got)
			}
		})
	}
	list("")
}

package controller

import (
	"fmt"

	"github.com/cespare/xxhash/v2"
	"github.com/micahill/micahill/internal/message"
	"github.com/micahill/micahill/internal/sizelimit"
)

// maxMalformedTxns bounds how many malformed transactions are remembered.
const maxMalformedTxns = 256

// requestTracker sends requests to the store, the cloud and the workers, and passes each
// response to the callback of its request. Any component may use it in any role. A callback runs
// at most once, in the Step that receives the response. By then the controller may have lost the
// role in which it sent the request, so each callback checks the role itself.
type requestTracker struct {
	component

	// The callbacks of requests that have no response yet, by request ID.
	storeCallbacks  map[uint64]func(message.StoreResponse)
	cloudCallbacks  map[uint64]func(message.CloudResponse)
	workerCallbacks map[uint64]func(message.WorkerResponse)
	// malformedTxns holds the hashes of transactions that the store rejected as malformed. None
	// of them is sent again unchanged.
	malformedTxns map[uint64]bool
}

// newRequestTracker returns a tracker with no outstanding requests.
func newRequestTracker() requestTracker {
	return requestTracker{
		storeCallbacks:  map[uint64]func(message.StoreResponse){},
		cloudCallbacks:  map[uint64]func(message.CloudResponse){},
		workerCallbacks: map[uint64]func(message.WorkerResponse){},
		malformedTxns:   map[uint64]bool{},
	}
}

// toStore sends a request to the store and calls fn with the response. A transaction that
// exceeds the store's size limits is not sent, because the store would reject it as malformed
// each time and count it against the request rate limit. toStore reports such a transaction as
// an internal error and answers it as malformed. A transaction that the store has already
// rejected as malformed is answered as malformed after storeRetryDelay without being sent.
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

// checkTxnLimits returns an error if a transaction exceeds the store's size limits.
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

// noteMalformed remembers a transaction that the store rejected as malformed.
func (r *requestTracker) noteMalformed(op *message.StoreRequest) {
	r.internalError("transaction rejected as malformed", "writes", len(op.Writes), "first_key", firstWriteKey(op))
	if len(r.malformedTxns) >= maxMalformedTxns {
		clear(r.malformedTxns)
	}
	r.malformedTxns[txnHash(op)] = true
}

// txnHash returns a hash of the compares and writes of a transaction.
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

// firstWriteKey returns the key of a transaction's first write, or "" if it writes nothing.
func firstWriteKey(op *message.StoreRequest) string {
	if len(op.Writes) == 0 {
		return ""
	}
	return op.Writes[0].Key
}

// toCloud sends a request to the cloud and calls fn with the response.
func (r *requestTracker) toCloud(op message.CloudRequest, fn func(message.CloudResponse)) {
	op.ID = r.nextID()
	r.cloudCallbacks[op.ID] = fn
	r.emit(op)
}

// toWorker sends a request to a worker and calls fn with the response.
func (r *requestTracker) toWorker(op message.WorkerRequest, fn func(message.WorkerResponse)) {
	op.ID = r.nextID()
	r.workerCallbacks[op.ID] = fn
	r.emit(op)
}

// receiveStoreResponse calls the callback of the store request that the response answers.
func (r *requestTracker) receiveStoreResponse(d message.StoreResponse) {
	r.controller.membership.noteStoreStatus(d.Status)
	if fn := r.storeCallbacks[d.ID]; fn != nil {
		delete(r.storeCallbacks, d.ID)
		fn(d)
	}
}

// receiveCloudResponse calls the callback of the cloud request that the response answers.
func (r *requestTracker) receiveCloudResponse(d message.CloudResponse) {
	if fn := r.cloudCallbacks[d.ID]; fn != nil {
		delete(r.cloudCallbacks, d.ID)
		fn(d)
	}
}

// receiveWorkerResponse calls the callback of the worker request that the response answers.
func (r *requestTracker) receiveWorkerResponse(d message.WorkerResponse) {
	if fn := r.workerCallbacks[d.ID]; fn != nil {
		delete(r.workerCallbacks, d.ID)
		fn(d)
	}
}

// readAll reads all records under a prefix, page by page, and calls fn with them. It retries
// pages that fail, and stops without calling fn once wanted returns false.
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

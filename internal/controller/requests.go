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
func (tracker *requestTracker) toStore(request message.StoreRequest, fn func(message.StoreResponse)) {
	request.ID = tracker.nextID()
	if request.Kind == message.OpTxn {
		if err := tracker.checkTxnLimits(&request); err != nil {
			tracker.internalError("store request exceeds limits", "err", err)
			tracker.after(0, func() { fn(message.StoreResponse{ID: request.ID, Status: message.StoreMalformed, SentAt: tracker.now}) })
			return
		}
		if len(tracker.malformedTxns) > 0 && tracker.malformedTxns[txnHash(&request)] {
			tracker.after(storeRetryDelay, func() { fn(message.StoreResponse{ID: request.ID, Status: message.StoreMalformed, SentAt: tracker.now}) })
			return
		}
		callback := fn
		fn = func(response message.StoreResponse) {
			if response.Status == message.StoreMalformed {
				tracker.noteMalformed(&request)
			}
			callback(response)
		}
	}
	tracker.controller.rateLimits.countRequest(&request)
	tracker.storeCallbacks[request.ID] = fn
	tracker.emit(request)
}

// checkTxnLimits returns an error if a transaction exceeds the store's size limits.
func (tracker *requestTracker) checkTxnLimits(request *message.StoreRequest) error {
	compares, writes := make([]string, len(request.Compares)), make([]sizelimit.Write, len(request.Writes))
	for i, compare := range request.Compares {
		compares[i] = compare.Key
	}
	for i, write := range request.Writes {
		writes[i] = sizelimit.Write{Key: write.Key, Value: write.Value}
	}
	return tracker.limitsOf(request).CheckTxn(compares, writes)
}

// noteMalformed remembers a transaction that the store rejected as malformed.
func (tracker *requestTracker) noteMalformed(request *message.StoreRequest) {
	tracker.internalError("transaction rejected as malformed", "writes", len(request.Writes), "first_key", firstWriteKey(request))
	if len(tracker.malformedTxns) >= maxMalformedTxns {
		clear(tracker.malformedTxns)
	}
	tracker.malformedTxns[txnHash(request)] = true
}

// txnHash returns a hash of the compares and writes of a transaction.
func txnHash(request *message.StoreRequest) uint64 {
	hash := xxhash.New()
	for _, compare := range request.Compares {
		fmt.Fprint(hash, compare.Key, compare.ModRevision, ";")
	}
	for _, write := range request.Writes {
		fmt.Fprint(hash, write.Key, write.LeaseID, len(write.Value), ":")
		hash.Write(write.Value)
	}
	return hash.Sum64()
}

// firstWriteKey returns the key of a transaction's first write, or "" if it writes nothing.
func firstWriteKey(request *message.StoreRequest) string {
	if len(request.Writes) == 0 {
		return ""
	}
	return request.Writes[0].Key
}

// toCloud sends a request to the cloud and calls fn with the response.
func (tracker *requestTracker) toCloud(request message.CloudRequest, fn func(message.CloudResponse)) {
	request.ID = tracker.nextID()
	tracker.cloudCallbacks[request.ID] = fn
	tracker.emit(request)
}

// toWorker sends a request to a worker and calls fn with the response.
func (tracker *requestTracker) toWorker(request message.WorkerRequest, fn func(message.WorkerResponse)) {
	request.ID = tracker.nextID()
	tracker.workerCallbacks[request.ID] = fn
	tracker.emit(request)
}

// receiveStoreResponse calls the callback of the store request that the response answers.
func (tracker *requestTracker) receiveStoreResponse(response message.StoreResponse) {
	tracker.controller.membership.noteStoreStatus(response.Status)
	if fn := tracker.storeCallbacks[response.ID]; fn != nil {
		delete(tracker.storeCallbacks, response.ID)
		fn(response)
	}
}

// receiveCloudResponse calls the callback of the cloud request that the response answers.
func (tracker *requestTracker) receiveCloudResponse(response message.CloudResponse) {
	if fn := tracker.cloudCallbacks[response.ID]; fn != nil {
		delete(tracker.cloudCallbacks, response.ID)
		fn(response)
	}
}

// receiveWorkerResponse calls the callback of the worker request that the response answers.
func (tracker *requestTracker) receiveWorkerResponse(response message.WorkerResponse) {
	if fn := tracker.workerCallbacks[response.ID]; fn != nil {
		delete(tracker.workerCallbacks, response.ID)
		fn(response)
	}
}

// readAll reads all records under a prefix, page by page, and calls fn with them. It retries
// pages that fail, and stops without calling fn once wanted returns false.
func (tracker *requestTracker) readAll(prefix string, priority message.Priority, wanted func() bool, fn func([]message.KeyValue)) {
	var records []message.KeyValue
	var list func(from string)
	list = func(from string) {
		tracker.toStore(message.StoreRequest{Kind: message.OpList, Priority: priority, Key: prefix, StartAfter: from}, func(response message.StoreResponse) {
			switch {
			case !wanted():
			case response.Status != message.StoreOK:
				tracker.after(tracker.jitter(storeRetryDelay), func() {
					if wanted() {
						list(from)
					}
				})
			default:
				records = append(records, response.KeyValues...)
				if response.Truncated && len(response.KeyValues) > 0 {
					list(response.KeyValues[len(response.KeyValues)-1].Key)
					return
				}
				fn(records)
			}
		})
	}
	list("")
}

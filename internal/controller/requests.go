package controller

import "github.com/micahill/micahill/internal/message"

// requestTracker TODO.
type requestTracker struct {
	component

	storeCallbacks  map[uint64]func(message.StoreResponse)
	cloudCallbacks  map[uint64]func(message.CloudResponse)
	workerCallbacks map[uint64]func(message.WorkerResponse)
	malformedTxns   map[uint64]bool
}

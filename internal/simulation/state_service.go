// Package simulation models the state service, the cloud, the workers and the users as the protocol
// describes them. World runs real controllers against these models in virtual time and injects
// faults. Most tests of the controllers' behaviour are built on this package.
package simulation

import (
	"slices"
	"sort"
	"strings"
	"time"

	"github.com/micahill/micahill/internal/message"
)

// maxKeptChanges is the number of changes that the state service keeps for watches.
const maxKeptChanges = 10000

// StateService models the state service without the network: callers pass it requests and receive
// its responses. It is not safe for concurrent use.
type StateService struct {
	revision    uint64
	records     map[string]*storedRecord
	leases      map[uint64]*leaseState
	lastLeaseID uint64
	// writeCount counts the writes of transactions.
	writeCount int
	// changes are the kept changes, in the order of their revisions.
	changes []message.KeyValue
	// onChange, if not nil, is called with every change. pageWrites counts changes of the records
	// that hold pages of promised dates.
	onChange   func(message.KeyValue)
	pageWrites int
	// compactedRevision is the newest revision whose change is no longer kept.
	compactedRevision uint64
	watches           []*pendingWatch
	// limits is nil if the service has no limits; see SetLimits.
	limits *storeLimits
	// Malformed counts malformed requests, and LastMalformed is the error of the last one.
	// RateLimited counts the requests that exceeded a rate limit.
	Malformed     int
	LastMalformed string
	RateLimited   int
}

// storedRecord is a record of the key-value store. leaseID is 0 if the record has no lease.
type storedRecord struct {
	value       []byte
	modRevision uint64
	leaseID     uint64
}

// leaseState is a lease that has not expired.
type leaseState struct {
	ttl       time.Duration
	expiresAt time.Time
}

// pendingWatch is a watch that waits for a change.
type pendingWatch struct {
	request   message.StoreRequest
	expiresAt time.Time
	answer    func(message.StoreResponse)
}

// NewStateService returns an empty state service without limits.
func NewStateService() *StateService {
	return &StateService{records: map[string]*storedRecord{}, leases: map[uint64]*leaseState{}}
}

// Expire revokes the leases and answers the watches that have expired by now.
func (service *StateService) Expire(now time.Time) {
	ids := make([]uint64, 0, len(service.leases))
	for id := range service.leases {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	for _, id := range ids {
		if now.After(service.leases[id].expiresAt) {
			service.revokeLease(id)
		}
	}
	keep := service.watches[:0]
	for _, watch := range service.watches {
		if now.After(watch.expiresAt) {
			watch.answer(message.StoreResponse{ID: watch.request.ID, Status: message.StoreOK, Revision: service.revision})
		} else {
			keep = append(keep, watch)
		}
	}
	service.watches = keep
}

// RenewLeases renews every lease to its full TTL. The service does this after an outage.
func (service *StateService) RenewLeases(now time.Time) {
	for _, lease := range service.leases {
		lease.expiresAt = now.Add(lease.ttl)
	}
}

// revokeLease removes a lease and deletes its records in one revision.
func (service *StateService) revokeLease(id uint64) {
	delete(service.leases, id)
	var keys []string
	for k, rec := range service.records {
		if rec.leaseID == id {
			keys = append(keys, k)
		}
	}
	if len(keys) == 0 {
		return
	}
	sort.Strings(keys)
	service.revision++
	for _, k := range keys {
		service.remove(k)
	}
	service.notifyWatches()
}

// remove deletes the record of a key if there is one.
func (service *StateService) remove(key string) {
	if _, ok := service.records[key]; ok {
		delete(service.records, key)
		service.recordChange(message.KeyValue{Key: key, ModRevision: service.revision, Deleted: true})
	}
}

// recordChange keeps a change for watches and drops the oldest change beyond maxKeptChanges.
func (service *StateService) recordChange(kv message.KeyValue) {
	service.changes = append(service.changes, kv)
	if strings.HasPrefix(kv.Key, "open/~") {
		service.pageWrites++
	}
	if service.onChange != nil {
		service.onChange(kv)
	}
	if len(service.changes) > maxKeptChanges {
		service.compactedRevision = service.changes[0].ModRevision
		service.changes = service.changes[1:]
	}
}

// notifyWatches answers the pending watches for which there are changes.
func (service *StateService) notifyWatches() {
	keep := service.watches[:0]
	var ready []*pendingWatch
	for _, watch := range service.watches {
		if len(service.changesSince(watch.request.Key, watch.request.Revision)) > 0 {
			ready = append(ready, watch)
		} else {
			keep = append(keep, watch)
		}
	}
	service.watches = keep
	for _, watch := range ready {
		watch.answer(message.StoreResponse{ID: watch.request.ID, Status: message.StoreOK, Revision: service.revision, KeyValues: service.changesSince(watch.request.Key, watch.request.Revision)})
	}
}

// changesSince returns the kept changes of keys with a prefix that are newer than a revision.
func (service *StateService) changesSince(prefix string, revision uint64) []message.KeyValue {
	var out []message.KeyValue
	i := sort.Search(len(service.changes), func(i int) bool { return service.changes[i].ModRevision > revision })
	for _, kv := range service.changes[i:] {
		if strings.HasPrefix(kv.Key, prefix) {
			out = append(out, kv)
		}
	}
	return out
}

// malformed reports whether the service's limits make a request malformed.
func (service *StateService) malformed(request *message.StoreRequest) bool {
	return service.limits != nil && service.limits.validate(request) != nil
}

// Do executes a request and calls answer with the response. The response to a watch may come later,
// from a call of another method. Without limits Do accepts requests of any size at any rate.
func (service *StateService) Do(now time.Time, request message.StoreRequest, answer func(message.StoreResponse)) {
	service.Expire(now)
	out := message.StoreResponse{ID: request.ID, Status: message.StoreOK, Revision: service.revision}
	if service.limits != nil {
		if err := service.limits.validate(&request); err != nil {
			service.Malformed++
			service.LastMalformed = err.Error()
			answer(message.StoreResponse{ID: request.ID, Status: message.StoreMalformed})
			return
		}
		if !service.limits.allow(now, &request) {
			service.RateLimited++
			answer(message.StoreResponse{ID: request.ID, Status: StoreRateLimited})
			return
		}
	}
	switch request.Kind {
	case message.OpGet:
		if rec, ok := service.records[request.Key]; ok {
			out.KeyValues = []message.KeyValue{{Key: request.Key, Value: rec.value, ModRevision: rec.modRevision}}
		} else {
			out.Status = message.StoreNotFound
		}
	case message.OpList:
		out.KeyValues, out.Truncated = service.list(request.Key, request.StartAfter)
	case message.OpWatch:
		if request.Revision < service.compactedRevision {
			out.Status = message.StoreCompacted
			break
		}
		if out.KeyValues = service.changesSince(request.Key, request.Revision); len(out.KeyValues) == 0 && request.WatchTimeout > 0 {
			service.watches = append(service.watches, &pendingWatch{request, now.Add(request.WatchTimeout), answer})
			return
		}
	case message.OpLeaseGrant:
		service.lastLeaseID++
		service.leases[service.lastLeaseID] = &leaseState{request.TTL, now.Add(request.TTL)}
		out.LeaseID = service.lastLeaseID
	case message.OpLeaseRenew:
		if lease, ok := service.leases[request.LeaseID]; ok {
			lease.expiresAt = now.Add(lease.ttl)
		} else {
			out.Status = message.StoreNotFound
		}
	case message.OpLeaseRevoke:
		if _, ok := service.leases[request.LeaseID]; ok {
			service.revokeLease(request.LeaseID)
		} else {
			out.Status = message.StoreNotFound
		}
	case message.OpTxn:
		service.txn(request, &out)
	}
	answer(out)
}

// listPage is the maximum number of rows in the response to a list request of a service without
// limits. It is small so that tests read several pages. listBytes bounds the estimated size of a
// response; a response has at least one row.
const (
	listPage  = 100
	listBytes = 512 << 10
)

// list returns the first page of the records with a prefix whose keys are greater than startAfter,
// and whether there are more.
func (service *StateService) list(prefix, startAfter string) ([]message.KeyValue, bool) {
	var keys []string
	for k := range service.records {
		if strings.HasPrefix(k, prefix) && k > startAfter {
			keys = append(keys, k)
		}
	}
	sort.Strings(keys)
	page := listPage
	if service.limits != nil {
		page = service.limits.pageRows
	}
	more := len(keys) > page
	if more {
		keys = keys[:page]
	}
	var out []message.KeyValue
	size := 0
	for _, k := range keys {
		if size += 3 * len(service.records[k].value); size > listBytes && len(out) > 0 {
			return out, true
		}
		out = append(out, message.KeyValue{Key: k, Value: service.records[k].value, ModRevision: service.records[k].modRevision})
	}
	return out, more
}

// txn applies the writes of a transaction in one revision if all compares hold and all leases
// exist.
func (service *StateService) txn(request message.StoreRequest, out *message.StoreResponse) {
	for _, a := range request.Writes {
		if _, ok := service.leases[a.LeaseID]; a.Value != nil && a.LeaseID != 0 && !ok {
			out.Status = message.StoreNoLease
			return
		}
	}
	for _, compare := range request.Compares {
		var modRevision uint64
		if rec, ok := service.records[compare.Key]; ok {
			modRevision = rec.modRevision
		}
		if modRevision != compare.ModRevision {
			out.FailedKeys = append(out.FailedKeys, compare.Key)
		}
	}
	if len(out.FailedKeys) > 0 {
		out.Status = message.StoreConflict
		return
	}
	if len(request.Writes) == 0 {
		return
	}
	service.revision++
	service.writeCount += len(request.Writes)
	for _, a := range request.Writes {
		if a.Value == nil {
			service.remove(a.Key)
			continue
		}
		service.records[a.Key] = &storedRecord{a.Value, service.revision, a.LeaseID}
		service.recordChange(message.KeyValue{Key: a.Key, Value: a.Value, ModRevision: service.revision})
	}
	out.Revision = service.revision
	service.notifyWatches()
}

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
// its answers. It is not safe for concurrent use.
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
func (s *StateService) Expire(now time.Time) {
	ids := make([]uint64, 0, len(s.leases))
	for id := range s.leases {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	for _, id := range ids {
		if now.After(s.leases[id].expiresAt) {
			s.revokeLease(id)
		}
	}
	keep := s.watches[:0]
	for _, w := range s.watches {
		if now.After(w.expiresAt) {
			w.answer(message.StoreResponse{ID: w.request.ID, Status: message.StoreOK, Revision: s.revision})
		} else {
			keep = append(keep, w)
		}
	}
	s.watches = keep
}

// RenewLeases renews every lease to its full TTL. The service does this after an outage.
func (s *StateService) RenewLeases(now time.Time) {
	for _, l := range s.leases {
		l.expiresAt = now.Add(l.ttl)
	}
}

// revokeLease removes a lease and deletes its records in one revision.
func (s *StateService) revokeLease(id uint64) {
	delete(s.leases, id)
	var keys []string
	for k, r := range s.records {
		if r.leaseID == id {
			keys = append(keys, k)
		}
	}
	if len(keys) == 0 {
		return
	}
	sort.Strings(keys)
	s.revision++
	for _, k := range keys {
		s.remove(k)
	}
	s.notifyWatches()
}

// remove deletes the record of a key if there is one.
func (s *StateService) remove(key string) {
	if _, ok := s.records[key]; ok {
		delete(s.records, key)
		s.recordChange(message.KeyValue{Key: key, ModRevision: s.revision, Deleted: true})
	}
}

// recordChange keeps a change for watches and drops the oldest change beyond maxKeptChanges.
func (s *StateService) recordChange(kv message.KeyValue) {
	s.changes = append(s.changes, kv)
	if strings.HasPrefix(kv.Key, "open/~") {
		s.pageWrites++
	}
	if s.onChange != nil {
		s.onChange(kv)
	}
	if len(s.changes) > maxKeptChanges {
		s.compactedRevision = s.changes[0].ModRevision
		s.changes = s.changes[1:]
	}
}

// notifyWatches answers the pending watches for which there are changes.
func (s *StateService) notifyWatches() {
	keep := s.watches[:0]
	var ready []*pendingWatch
	for _, w := range s.watches {
		if len(s.changesSince(w.request.Key, w.request.Revision)) > 0 {
			ready = append(ready, w)
		} else {
			keep = append(keep, w)
		}
	}
	s.watches = keep
	for _, w := range ready {
		w.answer(message.StoreResponse{ID: w.request.ID, Status: message.StoreOK, Revision: s.revision, KeyValues: s.changesSince(w.request.Key, w.request.Revision)})
	}
}

// changesSince returns the kept changes of keys with a prefix that are newer than a revision.
func (s *StateService) changesSince(prefix string, revision uint64) []message.KeyValue {
	var out []message.KeyValue
	i := sort.Search(len(s.changes), func(i int) bool { return s.changes[i].ModRevision > revision })
	for _, kv := range s.changes[i:] {
		if strings.HasPrefix(kv.Key, prefix) {
			out = append(out, kv)
		}
	}
	return out
}

// malformed reports whether the service's limits make a request malformed.
func (s *StateService) malformed(op *message.StoreRequest) bool {
	return s.limits != nil && s.limits.validate(op) != nil
}

// Do executes a request and calls answer with the response. The answer to a watch may come later,
// from a call of another method. Without limits Do accepts requests of any size at any rate.
func (s *StateService) Do(now time.Time, op message.StoreRequest, answer func(message.StoreResponse)) {
	s.Expire(now)
	out := message.StoreResponse{ID: op.ID, Status: message.StoreOK, Revision: s.revision}
	if s.limits != nil {
		if err := s.limits.validate(&op); err != nil {
			s.Malformed++
			s.LastMalformed = err.Error()
			answer(message.StoreResponse{ID: op.ID, Status: message.StoreMalformed})
			return
		}
		if !s.limits.allow(now, &op) {
			s.RateLimited++
			answer(message.StoreResponse{ID: op.ID, Status: StoreRateLimited})
			return
		}
	}
	switch op.Kind {
	case message.OpGet:
		if r, ok := s.records[op.Key]; ok {
			out.KeyValues = []message.KeyValue{{Key: op.Key, Value: r.value, ModRevision: r.modRevision}}
		} else {
			out.Status = message.StoreNotFound
		}
	case message.OpList:
		out.KeyValues, out.Truncated = s.list(op.Key, op.StartAfter)
	case message.OpWatch:
		if op.Revision < s.compactedRevision {
			out.Status = message.StoreCompacted
			break
		}
		if out.KeyValues = s.changesSince(op.Key, op.Revision); len(out.KeyValues) == 0 && op.WatchTimeout > 0 {
			s.watches = append(s.watches, &pendingWatch{op, now.Add(op.WatchTimeout), answer})
			return
		}
	case message.OpLeaseGrant:
		s.lastLeaseID++
		s.leases[s.lastLeaseID] = &leaseState{op.TTL, now.Add(op.TTL)}
		out.LeaseID = s.lastLeaseID
	case message.OpLeaseRenew:
		if l, ok := s.leases[op.LeaseID]; ok {
			l.expiresAt = now.Add(l.ttl)
		} else {
			out.Status = message.StoreNotFound
		}
	case message.OpLeaseRevoke:
		if _, ok := s.leases[op.LeaseID]; ok {
			s.revokeLease(op.LeaseID)
		} else {
			out.Status = message.StoreNotFound
		}
	case message.OpTxn:
		s.txn(op, &out)
	}
	answer(out)
}

// listPage is the maximum number of rows in the answer to a list request of a service without
// limits. It is small so that tests read several pages. listBytes bounds the estimated size of an
// answer; an answer has at least one row.
const (
	listPage  = 100
	listBytes = 512 << 10
)

// list returns the first page of the records with a prefix whose keys are greater than startAfter,
// and whether there are more.
func (s *StateService) list(prefix, startAfter string) ([]message.KeyValue, bool) {
	var keys []string
	for k := range s.records {
		if strings.HasPrefix(k, prefix) && k > startAfter {
			keys = append(keys, k)
		}
	}
	sort.Strings(keys)
	page := listPage
	if s.limits != nil {
		page = s.limits.pageRows
	}
	more := len(keys) > page
	if more {
		keys = keys[:page]
	}
	var out []message.KeyValue
	size := 0
	for _, k := range keys {
		if size += 3 * len(s.records[k].value); size > listBytes && len(out) > 0 {
			return out, true
		}
		out = append(out, message.KeyValue{Key: k, Value: s.records[k].value, ModRevision: s.records[k].modRevision})
	}
	return out, more
}

// txn applies the writes of a transaction in one revision if all compares hold and all leases
// exist.
func (s *StateService) txn(op message.StoreRequest, out *message.StoreResponse) {
	for _, a := range op.Writes {
		if _, ok := s.leases[a.LeaseID]; a.Value != nil && a.LeaseID != 0 && !ok {
			out.Status = message.StoreNoLease
			return
		}
	}
	for _, c := range op.Compares {
		var modRevision uint64
		if r, ok := s.records[c.Key]; ok {
			modRevision = r.modRevision
		}
		if modRevision != c.ModRevision {
			out.FailedKeys = append(out.FailedKeys, c.Key)
		}
	}
	if len(out.FailedKeys) > 0 {
		out.Status = message.StoreConflict
		return
	}
	if len(op.Writes) == 0 {
		return
	}
	s.revision++
	s.writeCount += len(op.Writes)
	for _, a := range op.Writes {
		if a.Value == nil {
			s.remove(a.Key)
			continue
		}
		s.records[a.Key] = &storedRecord{a.Value, s.revision, a.LeaseID}
		s.recordChange(message.KeyValue{Key: a.Key, Value: a.Value, ModRevision: s.revision})
	}
	out.Revision = s.revision
	s.notifyWatches()
}

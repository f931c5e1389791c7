// Package simulation holds our own models of the state service, the cloud, the
// workers and the users, written from the protocol, and a world in simulated
// time in which real cores meet them, with faults. The tests live on it.
package simulation

import (
	"slices"
	"sort"
	"strings"
	"time"

	"github.com/micahill/micahill/internal/message"
)

// maxKeptChanges is how many changes the state service keeps for watches.
const maxKeptChanges = 10000

// StateService is a model of the state service. It knows nothing of networks:
// the caller brings requests to it and takes answers away.
type StateService struct {
	revision    uint64
	records     map[string]*storedRecord
	leases      map[uint64]*leaseState
	lastLeaseID uint64
	// writeCount counts the changes.
	writeCount int
	changes    []message.KeyValue
	// onChange is told of every change, and pages counts those of pages of dates.
	onChange   func(message.KeyValue)
	pageWrites int
	// compactedRevision is the newest revision whose change is no longer kept.
	compactedRevision uint64
	watches           []*pendingWatch
	limits            *storeLimits
	// Malformed counts requests that were malformed, with the last of them, and Refused
	// those above the rates.
	Malformed     int
	LastMalformed string
	RateLimited   int
	// Reads counts reads and watches, and most the most rows kept beside job/.
	Reads int
}

type storedRecord struct {
	value       []byte
	modRevision uint64
	leaseID     uint64
}

type leaseState struct {
	ttl       time.Duration
	expiresAt time.Time
}

type pendingWatch struct {
	request   message.StoreRequest
	expiresAt time.Time
	answer    func(message.StoreResponse)
}

// NewStateService makes an empty one.
func NewStateService() *StateService {
	return &StateService{records: map[string]*storedRecord{}, leases: map[uint64]*leaseState{}}
}

// Expire ends grants and watches whose time has come.
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

// RenewLeases gives every grant its full time again, as after an outage.
func (s *StateService) RenewLeases(now time.Time) {
	for _, g := range s.leases {
		g.expiresAt = now.Add(g.ttl)
	}
}

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

func (s *StateService) remove(key string) {
	if _, ok := s.records[key]; ok {
		delete(s.records, key)
		s.recordChange(message.KeyValue{Key: key, ModRevision: s.revision, Deleted: true})
	}
}

func (s *StateService) recordChange(it message.KeyValue) {
	s.changes = append(s.changes, it)
	if strings.HasPrefix(it.Key, "open/~") {
		s.pageWrites++
	}
	if s.onChange != nil {
		s.onChange(it)
	}
	if len(s.changes) > maxKeptChanges {
		s.compactedRevision = s.changes[0].ModRevision
		s.changes = s.changes[1:]
	}
}

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

func (s *StateService) changesSince(prefix string, rev uint64) []message.KeyValue {
	var out []message.KeyValue
	i := sort.Search(len(s.changes), func(i int) bool { return s.changes[i].ModRevision > rev })
	for _, it := range s.changes[i:] {
		if strings.HasPrefix(it.Key, prefix) {
			out = append(out, it)
		}
	}
	return out
}

// malformed says that a request breaks the limits of now.
func (s *StateService) malformed(op *message.StoreRequest) bool {
	return s.limits != nil && s.limits.malformedReason(op) != ""
}

// Do executes a request; the answer may come later, for a watch. Without limits, set
// by Limit, it takes requests of any size, as often as they come.
func (s *StateService) Do(now time.Time, op message.StoreRequest, answer func(message.StoreResponse)) {
	s.Expire(now)
	out := message.StoreResponse{ID: op.ID, Status: message.StoreOK, Revision: s.revision}
	if s.limits != nil {
		if why := s.limits.malformedReason(&op); why != "" {
			s.Malformed++
			s.LastMalformed = why
			answer(message.StoreResponse{ID: op.ID, Status: message.StoreMalformed})
			return
		}
		if !s.limits.allow(now, &op) {
			s.RateLimited++
			answer(message.StoreResponse{ID: op.ID, Status: StoreRateLimited})
			return
		}
	}
	if op.Kind != message.OpTxn {
		s.Reads++
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
		if g, ok := s.leases[op.LeaseID]; ok {
			g.expiresAt = now.Add(g.ttl)
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

// listPage is small, so that tests turn pages. An answer has at most listBytes.
const (
	listPage  = 100
	listBytes = 512 << 10
)

func (s *StateService) list(prefix, from string) ([]message.KeyValue, bool) {
	var keys []string
	for k := range s.records {
		if strings.HasPrefix(k, prefix) && k > from {
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

func (s *StateService) txn(op message.StoreRequest, out *message.StoreResponse) {
	for _, a := range op.Writes {
		if _, ok := s.leases[a.LeaseID]; a.Value != nil && a.LeaseID != 0 && !ok {
			out.Status = message.StoreNoLease
			return
		}
	}
	for _, c := range op.Compares {
		var stamp uint64
		if r, ok := s.records[c.Key]; ok {
			stamp = r.modRevision
		}
		if stamp != c.ModRevision {
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

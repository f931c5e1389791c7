// Package standin holds our own models of the state service, the cloud, the
// workers and the users, written from the protocol, and a world in simulated
// time in which real cores meet them, with faults. The tests live on it.
package standin

import (
	"slices"
	"sort"
	"strings"
	"time"

	"github.com/micahill/micahill/internal/core"
)

// keptNews is how many changes the state service keeps for watches.
const keptNews = 10000

// StateService is a model of the state service. It knows nothing of networks:
// the caller brings requests to it and takes answers away.
type StateService struct {
	rev    uint64
	rows   map[string]*stateRow
	grants map[uint64]*grant
	nextID uint64
	// puts counts the changes.
	puts int
	news []core.KeyValue
	// noted is told of every change, and pages counts those of pages of dates.
	noted func(core.KeyValue)
	pages int
	// lost is the newest revision whose change is no longer kept.
	lost    uint64
	waiting []*watch
	limits  *limits
	// Bad counts requests that were malformed, with the last of them, and Refused
	// those above the rates.
	Bad     int
	LastBad string
	Refused int
	// Reads counts reads and watches, and most the most rows kept beside job/.
	Reads int
}

type stateRow struct {
	value []byte
	stamp uint64
	grant uint64
}

type grant struct {
	ttl  time.Duration
	ends time.Time
}

type watch struct {
	op     core.StoreRequest
	ends   time.Time
	answer func(core.StoreResponse)
}

// NewStateService makes an empty one.
func NewStateService() *StateService {
	return &StateService{rows: map[string]*stateRow{}, grants: map[uint64]*grant{}}
}

// Tick ends grants and watches whose time has come.
func (s *StateService) Tick(now time.Time) {
	ids := make([]uint64, 0, len(s.grants))
	for id := range s.grants {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	for _, id := range ids {
		if now.After(s.grants[id].ends) {
			s.dropGrant(id)
		}
	}
	keep := s.waiting[:0]
	for _, w := range s.waiting {
		if now.After(w.ends) {
			w.answer(core.StoreResponse{ID: w.op.ID, Status: core.StoreOK, Revision: s.rev})
		} else {
			keep = append(keep, w)
		}
	}
	s.waiting = keep
}

// Extend gives every grant its full time again, as after an outage.
func (s *StateService) Extend(now time.Time) {
	for _, g := range s.grants {
		g.ends = now.Add(g.ttl)
	}
}

func (s *StateService) dropGrant(id uint64) {
	delete(s.grants, id)
	var keys []string
	for k, r := range s.rows {
		if r.grant == id {
			keys = append(keys, k)
		}
	}
	if len(keys) == 0 {
		return
	}
	sort.Strings(keys)
	s.rev++
	for _, k := range keys {
		s.remove(k)
	}
	s.wake()
}

func (s *StateService) remove(key string) {
	if _, ok := s.rows[key]; ok {
		delete(s.rows, key)
		s.note(core.KeyValue{Key: key, ModRevision: s.rev, Deleted: true})
	}
}

func (s *StateService) note(it core.KeyValue) {
	s.news = append(s.news, it)
	if strings.HasPrefix(it.Key, "open/~") {
		s.pages++
	}
	if s.noted != nil {
		s.noted(it)
	}
	if len(s.news) > keptNews {
		s.lost = s.news[0].ModRevision
		s.news = s.news[1:]
	}
}

func (s *StateService) wake() {
	keep := s.waiting[:0]
	var ready []*watch
	for _, w := range s.waiting {
		if len(s.since(w.op.Key, w.op.Revision)) > 0 {
			ready = append(ready, w)
		} else {
			keep = append(keep, w)
		}
	}
	s.waiting = keep
	for _, w := range ready {
		w.answer(core.StoreResponse{ID: w.op.ID, Status: core.StoreOK, Revision: s.rev, KeyValues: s.since(w.op.Key, w.op.Revision)})
	}
}

func (s *StateService) since(prefix string, rev uint64) []core.KeyValue {
	var out []core.KeyValue
	i := sort.Search(len(s.news), func(i int) bool { return s.news[i].ModRevision > rev })
	for _, it := range s.news[i:] {
		if strings.HasPrefix(it.Key, prefix) {
			out = append(out, it)
		}
	}
	return out
}

// malformed says that a request breaks the limits of now.
func (s *StateService) malformed(op *core.StoreRequest) bool {
	return s.limits != nil && s.limits.malformed(op) != ""
}

// Do executes a request; the answer may come later, for a watch. Without limits, set
// by Limit, it takes requests of any size, as often as they come.
func (s *StateService) Do(now time.Time, op core.StoreRequest, answer func(core.StoreResponse)) {
	s.Tick(now)
	out := core.StoreResponse{ID: op.ID, Status: core.StoreOK, Revision: s.rev}
	if s.limits != nil {
		if why := s.limits.malformed(&op); why != "" {
			s.Bad++
			s.LastBad = why
			answer(core.StoreResponse{ID: op.ID, Status: core.StoreMalformed})
			return
		}
		if !s.limits.allow(now, &op) {
			s.Refused++
			answer(core.StoreResponse{ID: op.ID, Status: StateTooMany})
			return
		}
	}
	if op.Kind != core.OpTxn {
		s.Reads++
	}
	switch op.Kind {
	case core.OpGet:
		if r, ok := s.rows[op.Key]; ok {
			out.KeyValues = []core.KeyValue{{Key: op.Key, Value: r.value, ModRevision: r.stamp}}
		} else {
			out.Status = core.StoreNotFound
		}
	case core.OpList:
		out.KeyValues, out.Truncated = s.list(op.Key, op.StartAfter)
	case core.OpWatch:
		if op.Revision < s.lost {
			out.Status = core.StoreCompacted
			break
		}
		if out.KeyValues = s.since(op.Key, op.Revision); len(out.KeyValues) == 0 && op.WatchTimeout > 0 {
			s.waiting = append(s.waiting, &watch{op, now.Add(op.WatchTimeout), answer})
			return
		}
	case core.OpLeaseGrant:
		s.nextID++
		s.grants[s.nextID] = &grant{op.TTL, now.Add(op.TTL)}
		out.LeaseID = s.nextID
	case core.OpLeaseRenew:
		if g, ok := s.grants[op.LeaseID]; ok {
			g.ends = now.Add(g.ttl)
		} else {
			out.Status = core.StoreNotFound
		}
	case core.OpLeaseRevoke:
		if _, ok := s.grants[op.LeaseID]; ok {
			s.dropGrant(op.LeaseID)
		} else {
			out.Status = core.StoreNotFound
		}
	case core.OpTxn:
		s.txn(op, &out)
	}
	answer(out)
}

// listPage is small, so that tests turn pages. An answer has at most listBytes.
const (
	listPage  = 100
	listBytes = 512 << 10
)

func (s *StateService) list(prefix, from string) ([]core.KeyValue, bool) {
	var keys []string
	for k := range s.rows {
		if strings.HasPrefix(k, prefix) && k > from {
			keys = append(keys, k)
		}
	}
	sort.Strings(keys)
	page := listPage
	if s.limits != nil {
		page = s.limits.page
	}
	more := len(keys) > page
	if more {
		keys = keys[:page]
	}
	var out []core.KeyValue
	size := 0
	for _, k := range keys {
		if size += 3 * len(s.rows[k].value); size > listBytes && len(out) > 0 {
			return out, true
		}
		out = append(out, core.KeyValue{Key: k, Value: s.rows[k].value, ModRevision: s.rows[k].stamp})
	}
	return out, more
}

func (s *StateService) txn(op core.StoreRequest, out *core.StoreResponse) {
	for _, a := range op.Writes {
		if _, ok := s.grants[a.LeaseID]; a.Value != nil && a.LeaseID != 0 && !ok {
			out.Status = core.StoreNoLease
			return
		}
	}
	for _, c := range op.Compares {
		var stamp uint64
		if r, ok := s.rows[c.Key]; ok {
			stamp = r.stamp
		}
		if stamp != c.ModRevision {
			out.FailedKeys = append(out.FailedKeys, c.Key)
		}
	}
	if len(out.FailedKeys) > 0 {
		out.Status = core.StoreConflict
		return
	}
	if len(op.Writes) == 0 {
		return
	}
	s.rev++
	s.puts += len(op.Writes)
	for _, a := range op.Writes {
		if a.Value == nil {
			s.remove(a.Key)
			continue
		}
		s.rows[a.Key] = &stateRow{a.Value, s.rev, a.LeaseID}
		s.note(core.KeyValue{Key: a.Key, Value: a.Value, ModRevision: s.rev})
	}
	out.Revision = s.rev
	s.wake()
}

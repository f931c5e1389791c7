package sharding

import "github.com/micahill/micahill/internal/sizelimit"

var testLimits = sizelimit.Limits{ValueBytes: 4096, Ops: 12}

// store is a state service with the records of this package alone, and a reader that applies
// them in order. It remembers each machine's owners and epochs.
type store struct {
	limits       sizelimit.Limits
	revision     uint64
	modRevisions map[string]uint64
	shardMap     *Map
	// lastOwners is each machine's last owner, and its highest epoch so far.
	lastOwners     map[string]Owner
	changes        int
	leaderRevision uint64
	gone           map[string]bool
}

func newStore(l sizelimit.Limits) *store {
	return &store{limits: l, modRevisions: map[string]uint64{}, shardMap: NewMap(), lastOwners: map[string]Owner{}, gone: map[string]bool{}}
}

func writeKey(w Write) string {
	if w.IsShard {
		return "ctl/share/" + w.Name
	}
	return "ctl/lot/" + w.Name
}

type fataler interface{ Fatalf(string, ...any) }

// apply executes a transaction if its compares hold, and checks its size.
func (s *store) apply(t fataler, ws []Write) bool {
	compares := []string{"ctl/lead"}
	var writes []sizelimit.Write
	for _, w := range ws {
		compares = append(compares, writeKey(w))
		writes = append(writes, sizelimit.Write{Key: writeKey(w), Value: w.Value})
	}
	if err := s.limits.CheckTxn(compares, writes); err != nil {
		t.Fatalf("%v", err)
	}
	for _, w := range ws {
		if s.modRevisions[writeKey(w)] != w.ModRevision {
			return false
		}
	}
	s.revision++
	s.changes += len(ws)
	for _, w := range ws {
		modRevision := s.revision
		if w.Value == nil {
			modRevision = 0
		}
		s.modRevisions[writeKey(w)] = modRevision
		var err error
		if w.IsShard {
			err = s.shardMap.ApplyShard(w.Name, w.Value, s.revision)
		} else {
			err = s.shardMap.ApplySegment(w.Name, w.Value, s.revision)
		}
		if err != nil {
			t.Fatalf("%v", err)
		}
	}
	return true
}

// check: a machine's new owner has an epoch above all that any other has used for it, and the
// epoch of an owner that keeps it does not fall. Of many machines it samples some each time.
func (s *store) check(t fataler, machines []string) {
	for i, id := range machines {
		if len(machines) > 1000 && i%17 != int(s.revision%17) {
			continue
		}
		o, ok := s.shardMap.Owner(id)
		if !ok || s.gone[id] {
			continue
		}
		was, known := s.lastOwners[id]
		if known && o.Epoch < was.Epoch {
			t.Fatalf("machine %s: got epoch %d after %d, want no decrease", id, o.Epoch, was.Epoch)
		}
		if known && (o.Host != was.Host || o.Incarnation != was.Incarnation) && o.Epoch <= was.Epoch {
			t.Fatalf("machine %s went from %s to %s: got epoch %d after %d, want a higher one", id, was.Host, o.Host, o.Epoch, was.Epoch)
		}
		s.lastOwners[id] = Owner{&Shard{Host: o.Host, Incarnation: o.Incarnation}, o.Epoch}
	}
}

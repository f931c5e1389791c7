package sharding

import "github.com/micahill/micahill/internal/sizelimit"

// testLimits are the store's limits in most tests.
var testLimits = sizelimit.Limits{ValueBytes: 4096, Ops: 12}

// store is a state service that holds only the records of this package, with a reader that
// applies them in order. It remembers each machine's last owner and epoch.
type store struct {
	limits       sizelimit.Limits
	revision     uint64
	modRevisions map[string]uint64
	shardMap     *Map
	// lastOwners is each machine's last owner, with its highest epoch so far. changes counts the
	// records written.
	lastOwners     map[string]Owner
	changes        int
	leaderRevision uint64
	gone           map[string]bool
}

// newStore returns an empty store with these limits.
func newStore(l sizelimit.Limits) *store {
	return &store{limits: l, modRevisions: map[string]uint64{}, shardMap: NewMap(), lastOwners: map[string]Owner{}, gone: map[string]bool{}}
}

// writeKey returns the key of the record that a write changes.
func writeKey(w Write) string {
	if w.IsShard {
		return "ctl/share/" + w.Name
	}
	return "ctl/lot/" + w.Name
}

// fataler is the part of testing.TB that rapid.T has as well.
type fataler interface{ Fatalf(string, ...any) }

// apply executes a transaction and reports whether its compares hold. It fails the test if the
// transaction exceeds a limit or a record can't be read.
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

// check fails the test if a machine has a new owner whose epoch is not above all earlier epochs
// of the machine, or if the epoch of an unchanged owner has decreased. Of more than 1000
// machines it checks one in 17 each time.
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
			t.Fatalf("machine %s: moved from %s to %s: got epoch %d after %d, want a higher epoch", id, was.Host, o.Host, o.Epoch, was.Epoch)
		}
		s.lastOwners[id] = Owner{&Shard{Host: o.Host, Incarnation: o.Incarnation}, o.Epoch}
	}
}

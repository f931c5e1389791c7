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
func newStore(limits sizelimit.Limits) *store {
	return &store{limits: limits, modRevisions: map[string]uint64{}, shardMap: NewMap(), lastOwners: map[string]Owner{}, gone: map[string]bool{}}
}

// writeKey returns the key of the record that a write changes.
func writeKey(write Write) string {
	if write.IsShard {
		return "ctl/share/" + write.Name
	}
	return "ctl/lot/" + write.Name
}

// fataler is the part of testing.TB that rapid.T has as well.
type fataler interface{ Fatalf(string, ...any) }

// apply executes a transaction and reports whether its compares hold. It fails the test if the
// transaction exceeds a limit or a record can't be read.
func (store *store) apply(t fataler, transaction []Write) bool {
	compares := []string{"ctl/lead"}
	var writes []sizelimit.Write
	for _, write := range transaction {
		compares = append(compares, writeKey(write))
		writes = append(writes, sizelimit.Write{Key: writeKey(write), Value: write.Value})
	}
	if err := store.limits.CheckTxn(compares, writes); err != nil {
		t.Fatalf("%v", err)
	}
	for _, write := range transaction {
		if store.modRevisions[writeKey(write)] != write.ModRevision {
			return false
		}
	}
	store.revision++
	store.changes += len(transaction)
	for _, write := range transaction {
		modRevision := store.revision
		if write.Value == nil {
			modRevision = 0
		}
		store.modRevisions[writeKey(write)] = modRevision
		var err error
		if write.IsShard {
			err = store.shardMap.ApplyShard(write.Name, write.Value, store.revision)
		} else {
			err = store.shardMap.ApplySegment(write.Name, write.Value, store.revision)
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
func (store *store) check(t fataler, machines []string) {
	for i, id := range machines {
		if len(machines) > 1000 && i%17 != int(store.revision%17) {
			continue
		}
		owner, ok := store.shardMap.Owner(id)
		if !ok || store.gone[id] {
			continue
		}
		last, known := store.lastOwners[id]
		if known && owner.Epoch < last.Epoch {
			t.Fatalf("machine %s: got epoch %d after %d, want no decrease", id, owner.Epoch, last.Epoch)
		}
		if known && (owner.Host != last.Host || owner.Incarnation != last.Incarnation) && owner.Epoch <= last.Epoch {
			t.Fatalf("machine %s: moved from %s to %s: got epoch %d after %d, want a higher epoch", id, last.Host, owner.Host, owner.Epoch, last.Epoch)
		}
		store.lastOwners[id] = Owner{&Shard{Host: owner.Host, Incarnation: owner.Incarnation}, owner.Epoch}
	}
}

package core

import (
	"testing"
	"time"
)

// TestDeafGetsNoShare: a controller that gave up for hearing no worker is alive and
// in the same life, and would have its share back at once; it gets none while
// another hears, and keeps it when nobody does.
func TestDeafGetsNoShare(t *testing.T) {
	n := largePool(0)
	n.leader = &leader{rentals: map[string]*rental{}, release: map[string]string{}, since: n.now, moved: n.now}
	n.set.Nonce = "a.1"
	n.sess.shares = map[string]shareRecord{"b": {Nonce: "b.1", Teams: []string{"ops"}, Rest: true}}
	n.sess.nodes = map[string]nodeRecord{"b": {Nonce: "b.1", Deaf: true}, "c": {Nonce: "c.1", Deaf: true}}
	if out := n.division(); len(out["a"].Teams) != 1 || len(out) != 1 {
		t.Errorf("the share goes to %v, want the one that hears", out)
	}
	n.sess.deafUntil = n.now.Add(time.Minute)
	if out := n.division(); len(out["b"].Teams) != 1 || len(out) != 1 {
		t.Errorf("nobody hears and the share goes to %v, want it to stay", out)
	}
}

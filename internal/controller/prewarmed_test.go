package controller

import (
	"fmt"
	"testing"

	"github.com/micahill/micahill/internal/message"
	"github.com/micahill/micahill/internal/record"
)

// TestSuccessorRecoversCachedImages guards against fetching images again that the machines still hold,
// after all controllers have ended and no peer is left to publish those images. The successor must recover
// the cached images, and only those, from the stored records.
func TestSuccessorRecoversCachedImages(t *testing.T) {
	c := largePool(300)
	for i, m := range c.shardLeader.machinesByID {
		m.images = map[string]*image{
			fmt.Sprintf("img-%02d", i%20): {sizeGB: 1.5, cached: true},
			"coming":                      {sizeGB: 2},
		}
	}
	successor := largePool(0)
	successor.shardLeader.persistence.prewarmedImages = map[string]map[string]float64{}
	records := 0
	for from := 0; from < len(c.shardLeader.machinesByID); records++ {
		var r record.Prewarmed
		r, from = c.shardLeader.persistence.nextPrewarmedRecord(from)
		value := record.Encode(r)
		if len(value) > c.settings.MaxValueBytes {
			t.Errorf("got a record of %d bytes, want at most %d", len(value), c.settings.MaxValueBytes)
		}
		successor.shardLeader.persistence.applyPrewarmedRecord(message.KeyValue{Value: value})
	}
	if records < 1 || records > 4 {
		t.Errorf("got %d records for 300 machines, want 1 to 4", records)
	}
	for i := range 300 {
		r := c.poolHeartbeat(i)
		m := successor.shardLeader.ensureMachine(r.Machine)
		successor.shardLeader.heartbeats.applyHeartbeat(m, r, true)
		img := m.images[fmt.Sprintf("img-%02d", i%20)]
		if img == nil || !img.cached || img.sizeGB != 1.5 || len(m.images) != 1 {
			t.Fatalf("%s: got images %v, want only img-%02d, cached, with 1.5 GB", r.Machine, m.images, i%20)
		}
	}
}

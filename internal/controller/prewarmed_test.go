package controller

import (
	"fmt"
	"testing"

	"github.com/micahill/micahill/internal/message"
	"github.com/micahill/micahill/internal/record"
)

// TestSuccessorRecoversCachedImages guards against fetches, after the end of all
// controllers, of images that the machines hold.
func TestSuccessorRecoversCachedImages(t *testing.T) {
	n := largePool(300)
	for i, m := range n.shardLeader.machinesByID {
		m.images = map[string]*image{
			fmt.Sprintf("img-%02d", i%20): {sizeGB: 1.5, cached: true},
			"coming":                      {sizeGB: 2},
		}
	}
	successor := largePool(0)
	successor.shardLeader.persistence.prewarmedImages = map[string]map[string]float64{}
	records := 0
	for from := 0; from < len(n.shardLeader.machinesByID); records++ {
		var r record.Prewarmed
		r, from = n.shardLeader.persistence.nextPrewarmedRecord(from)
		val := record.Encode(r)
		if len(val) > n.settings.MaxValueBytes {
			t.Errorf("a record of %d bytes", len(val))
		}
		successor.shardLeader.persistence.applyPrewarmedRecord(message.KeyValue{Value: val})
	}
	if records < 1 || records > 4 {
		t.Errorf("%d records for 300 machines", records)
	}
	for i := range 300 {
		r := n.poolHeartbeat(i)
		m := successor.shardLeader.ensureMachine(r.Machine)
		successor.shardLeader.heartbeats.applyHeartbeat(m, r, true)
		im := m.images[fmt.Sprintf("img-%02d", i%20)]
		if im == nil || !im.cached || im.sizeGB != 1.5 || len(m.images) != 1 {
			t.Fatalf("%s holds %v", r.Machine, m.images)
		}
	}
}

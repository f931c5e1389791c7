package core

import (
	"fmt"
	"testing"
)

// TestSuccessorKnowsImages guards against fetches, after the end of all
// controllers, of images that the machines hold.
func TestSuccessorKnowsImages(t *testing.T) {
	n := largePool(300)
	for i, m := range n.owner.byID {
		m.images = map[string]*image{
			fmt.Sprintf("img-%02d", i%20): {gb: 1.5, cached: true},
			"coming":                      {gb: 2},
		}
	}
	heir := largePool(0)
	heir.owner.warm = map[string]map[string]float64{}
	records := 0
	for from := 0; from < len(n.owner.byID); records++ {
		var r warmRecord
		r, from = n.warmNext(from)
		val := encode(r)
		if len(val) > n.set.ValueBytes {
			t.Errorf("a record of %d bytes", len(val))
		}
		heir.warmItem(Item{Value: val})
	}
	if records < 1 || records > 4 {
		t.Errorf("%d records for 300 machines", records)
	}
	for i := range 300 {
		r := n.poolReport(i)
		m := heir.machine(r.Machine)
		heir.hear(m, r, true)
		im := m.images[fmt.Sprintf("img-%02d", i%20)]
		if im == nil || !im.cached || im.gb != 1.5 || len(m.images) != 1 {
			t.Fatalf("%s holds %v", r.Machine, m.images)
		}
	}
}

package simulation

import (
	"strings"
	"time"
)

// links.go has the links between all that there is, and how they break.

// partition is a broken link: what is sent over it is held and delivered when it ends,
// or lost.
type partition struct {
	holdMessages bool
	heldMessages []func()
}

// Partition breaks the links between a and b for d; b "*" means all others.
func (w *World) Partition(a, b string, d time.Duration, hold bool) {
	key := a + "|" + b
	c := &partition{holdMessages: hold}
	w.partitions[key] = c
	w.schedule(d, func() {
		if w.partitions[key] == c {
			delete(w.partitions, key)
		}
		for _, fn := range c.heldMessages {
			fn()
		}
	})
}

// partitionOneWay loses what a sends to b for d, and nothing of what b sends to a; "*"
// means all others.
func (w *World) partitionOneWay(a, b string, d time.Duration) {
	key := a + ">" + b
	w.oneWayPartitions[key]++
	w.schedule(d, func() { w.oneWayPartitions[key]-- })
}

func (w *World) isPartitionedOneWay(a, b string) bool {
	for _, x := range [...]string{linkEnd(a), "*"} {
		for _, y := range [...]string{linkEnd(b), "*"} {
			if w.oneWayPartitions[x+">"+y] > 0 {
				return true
			}
		}
	}
	return false
}

// linkEnd names workers all alike.
func linkEnd(s string) string {
	if strings.HasPrefix(s, "vm-") {
		return "workers"
	}
	return s
}

func (w *World) partitionBetween(a, b string) *partition {
	for _, k := range []string{a + "|" + b, b + "|" + a, a + "|*", b + "|*", a + "|" + linkEnd(b), b + "|" + linkEnd(a)} {
		if c := w.partitions[k]; c != nil {
			return c
		}
	}
	return nil
}

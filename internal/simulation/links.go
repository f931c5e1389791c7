package simulation

import (
	"strings"
	"time"
)

// This file has the links between all parts of a world, and how they break.

// partition is a broken link. What is sent over it is lost, or held and delivered when the
// partition ends.
type partition struct {
	holdMessages bool
	heldMessages []func()
}

// Partition breaks the links between a and b for d; "*" as b means all others.
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

// partitionOneWay loses what a sends to b for d, but not what b sends to a; "*" means all others.
func (w *World) partitionOneWay(a, b string, d time.Duration) {
	key := a + ">" + b
	w.oneWayPartitions[key]++
	w.schedule(d, func() { w.oneWayPartitions[key]-- })
}

// isPartitionedOneWay reports whether what a sends to b is lost.
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

// linkEnd gives all workers the same name.
func linkEnd(s string) string {
	if strings.HasPrefix(s, "vm-") {
		return "workers"
	}
	return s
}

// partitionBetween returns the partition that breaks the link between a and b, or nil.
func (w *World) partitionBetween(a, b string) *partition {
	for _, k := range []string{a + "|" + b, b + "|" + a, a + "|*", b + "|*", a + "|" + linkEnd(b), b + "|" + linkEnd(a)} {
		if c := w.partitions[k]; c != nil {
			return c
		}
	}
	return nil
}

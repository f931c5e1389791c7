package simulation

import (
	"strings"
	"time"
)

// This file models partitions of the links between the parts of a world. The ends of a link are
// controllers and machines, which have their own names, and state, cloud, user and workers, where
// workers means all machines.

// partition is a link that is broken in both directions. Messages over it are lost or, with
// holdMessages, held and delivered when the partition ends.
type partition struct {
	holdMessages bool
	heldMessages []func()
}

// Partition breaks the link between a and b for d. "*" as b means all other ends. With hold the
// messages are delivered when the partition ends, otherwise they are lost.
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

// partitionOneWay drops the messages from a to b for d, but not those from b to a. "*" means all
// ends.
func (w *World) partitionOneWay(a, b string, d time.Duration) {
	key := a + ">" + b
	w.oneWayPartitions[key]++
	w.schedule(d, func() { w.oneWayPartitions[key]-- })
}

// isPartitionedOneWay reports whether a one-way partition drops the messages from a to b.
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

// linkEnd returns workers for a machine's id and any other name unchanged.
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

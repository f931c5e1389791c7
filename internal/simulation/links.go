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

// Partition breaks the link between a and b for the given duration. "*" as b means all other ends.
// With holdMessages the messages are delivered when the partition ends, otherwise they are lost.
func (world *World) Partition(a, b string, duration time.Duration, holdMessages bool) {
	key := a + "|" + b
	link := &partition{holdMessages: holdMessages}
	world.partitions[key] = link
	world.schedule(duration, func() {
		if world.partitions[key] == link {
			delete(world.partitions, key)
		}
		for _, fn := range link.heldMessages {
			fn()
		}
	})
}

// partitionOneWay drops the messages from a to b for the given duration, but not those from b to a.
// "*" means all ends.
func (world *World) partitionOneWay(a, b string, duration time.Duration) {
	key := a + ">" + b
	world.oneWayPartitions[key]++
	world.schedule(duration, func() { world.oneWayPartitions[key]-- })
}

// isPartitionedOneWay reports whether a one-way partition drops the messages from a to b.
func (world *World) isPartitionedOneWay(a, b string) bool {
	for _, x := range [...]string{linkEnd(a), "*"} {
		for _, y := range [...]string{linkEnd(b), "*"} {
			if world.oneWayPartitions[x+">"+y] > 0 {
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
func (world *World) partitionBetween(a, b string) *partition {
	for _, k := range []string{a + "|" + b, b + "|" + a, a + "|*", b + "|*", a + "|" + linkEnd(b), b + "|" + linkEnd(a)} {
		if link := world.partitions[k]; link != nil {
			return link
		}
	}
	return nil
}

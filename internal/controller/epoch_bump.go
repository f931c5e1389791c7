package controller

import (
	"fmt"

	"github.com/micahill/micahill/internal/message"
	"github.com/micahill/micahill/internal/record"
	"github.com/micahill/micahill/internal/sharding"
)

// maybeBumpEpoch gives machines a higher epoch by listing them in a new segment of the shard map. It
// does so for two kinds of machines: those that have seen a higher epoch than the one under which they
// are owned, and those whose worker has restarted under the current epoch.
func (failover *failover) maybeBumpEpoch() {
	leader := failover.controller.shardLeader
	if failover.controller.membership.bumpingEpoch || failover.now.Sub(failover.epochBumpedAt) < epochBumpInterval || failover.now.After(failover.controller.membership.leaseValidUntil) {
		return
	}
	needed := len(failover.higherEpochSeen) > 0
	for _, m := range leader.machinesByID {
		needed = needed || m.needsHigherEpoch()
	}
	if !needed {
		return
	}
	// Confirm the shard map first: a machine that has seen a higher epoch more likely belongs to
	// another controller, whose record the watch has not delivered yet.
	failover.epochBumpedAt = failover.now
	failover.controller.membership.confirmControlRecords(func() {
		if failover.controller.shardLeader == leader {
			failover.controller.shardLeader.failover.bumpEpoch()
		}
	})
}

// needsHigherEpoch reports whether the worker has restarted under the machine's command epoch, so that
// commands from before the restart have to be ruled out.
func (machine *machine) needsHigherEpoch() bool {
	return machine.restartEpoch != 0 && machine.restartEpoch == machine.commandEpoch
}

// bumpEpoch writes the segment that gives the machines a higher epoch, for one shard at a time.
func (failover *failover) bumpEpoch() {
	leader := failover.controller.shardLeader
	if failover.controller.membership.bumpingEpoch {
		return
	}
	byShard := map[string][]string{}
	add := func(id string) {
		if shard, owned := failover.controller.membership.ownedMachine(id); owned {
			byShard[shard.Name] = append(byShard[shard.Name], id)
		}
	}
	for _, m := range leader.machinesByID {
		if m.needsHigherEpoch() {
			add(m.id)
		}
	}
	for _, id := range sortedKeys(failover.higherEpochSeen) {
		if _, owned := failover.controller.membership.ownedMachine(id); !owned {
			delete(failover.higherEpochSeen, id)
		} else if failover.now.Sub(failover.higherEpochSeen[id]) > epochBumpInterval {
			add(id)
		}
	}
	for _, name := range sortedKeys(byShard) {
		bumpedShard := failover.controller.membership.shardMap.Shard(name)
		failover.epochBumps++
		segment, bumped := sharding.BumpEpoch(failover.controller.requests.storeLimits(), fmt.Sprintf("%s-%d-%d", failover.incarnation(), leader.generation, failover.epochBumps), bumpedShard, byShard[name])
		if len(bumped) == 0 {
			continue
		}
		failover.controller.membership.epochBumpStarted()
		failover.info("epoch bumped", "machines", len(bumped), "example", bumped[0], "shard", name)
		failover.controller.requests.toStore(message.StoreRequest{Kind: message.OpTxn, Priority: message.PriorityStart, Compares: []message.Compare{{Key: record.ShardPrefix + name, ModRevision: bumpedShard.ModRevision}, {Key: record.ShardSegmentPrefix + segment.Name, ModRevision: 0}},
			Writes: []message.Write{{Key: record.ShardSegmentPrefix + segment.Name, Value: segment.Value}}}, func(message.StoreResponse) {
			failover.controller.membership.epochBumpEnded()
			if failover.controller.shardLeader == leader {
				for _, id := range bumped {
					delete(failover.higherEpochSeen, id)
				}
			}
		})
		return
	}
}

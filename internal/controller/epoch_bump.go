package controller

import (
	"fmt"

	"github.com/micahill/micahill/internal/message"
	"github.com/micahill/micahill/internal/record"
	"github.com/micahill/micahill/internal/sharding"
)

// maybeBumpEpoch names machines in a new segment of the shard map, which gives them a higher
// epoch: where an unanswered start stands in the way, which can't be executed after that;
// where a machine has seen a higher epoch than the one under which it is owned; and where its
// worker has restarted under the current epoch.
func (f *failover) maybeBumpEpoch() {
	leader := f.controller.shardLeader
	if f.controller.membership.bumpingEpoch || f.now.Sub(f.epochBumpedAt) < epochBumpInterval || f.now.After(f.controller.membership.leaseValidUntil) {
		return
	}
	needed := len(f.higherEpochSeen) > 0
	for _, m := range leader.machinesByID {
		needed = needed || m.restartEpoch != 0 && m.restartEpoch == m.epoch || m.unackedStartEpoch != 0 && m.unackedStartEpoch == m.epoch && !m.dispatchUnanswered && m.waitsForStartProof(&leader.remoteAttempts.registry)
	}
	if !needed {
		return
	}
	// Only after a confirmation: a machine that has seen a higher epoch is more likely
	// another's, of which the watch has not brought the record yet.
	f.epochBumpedAt = f.now
	f.controller.membership.confirmControlRecords(func() {
		if f.controller.shardLeader == leader {
			f.controller.shardLeader.failover.bumpEpoch()
		}
	})
}

// bumpEpoch names the machines that need it, of one shard at a time.
func (f *failover) bumpEpoch() {
	leader := f.controller.shardLeader
	if f.controller.membership.bumpingEpoch {
		return
	}
	byShard := map[string][]string{}
	add := func(id string) {
		if x, mine := f.controller.membership.ownedMachine(id); mine {
			byShard[x.Name] = append(byShard[x.Name], id)
		}
	}
	for _, m := range leader.machinesByID {
		// A higher epoch doesn't reach a machine that is out of reach either.
		if m.unackedStartEpoch != 0 && m.unackedStartEpoch == m.epoch && !m.dispatchUnanswered && m.waitsForStartProof(&leader.remoteAttempts.registry) {
			add(m.id)
		} else if m.restartEpoch != 0 && m.restartEpoch == m.epoch {
			add(m.id)
		}
	}
	for _, id := range sortedKeys(f.higherEpochSeen) {
		if _, mine := f.controller.membership.ownedMachine(id); !mine {
			delete(f.higherEpochSeen, id)
		} else if f.now.Sub(f.higherEpochSeen[id]) > epochBumpInterval {
			add(id)
		}
	}
	for _, name := range sortedKeys(byShard) {
		s := f.controller.membership.shardMap.Shard(name)
		f.epochBumps++
		w, bumped := sharding.BumpEpoch(f.controller.requests.storeLimits(), fmt.Sprintf("%s-%d-%d", f.incarnation(), leader.generation, f.epochBumps), s, byShard[name])
		if len(bumped) == 0 {
			continue
		}
		f.controller.membership.epochBumpStarted()
		f.info("epoch bumped", "machines", len(bumped), "example", bumped[0], "shard", name)
		f.controller.requests.toStore(message.StoreRequest{Kind: message.OpTxn, Priority: message.PriorityStart, Compares: []message.Compare{{Key: record.ShardPrefix + name, ModRevision: s.ModRevision}, {Key: record.ShardSegmentPrefix + w.Name, ModRevision: 0}},
			Writes: []message.Write{{Key: record.ShardSegmentPrefix + w.Name, Value: w.Value}}}, func(message.StoreResponse) {
			f.controller.membership.epochBumpEnded()
			if f.controller.shardLeader == leader {
				for _, id := range bumped {
					delete(f.higherEpochSeen, id)
				}
			}
		})
		return
	}
}

package controller

import (
	"fmt"

	"github.com/micahill/micahill/internal/message"
	"github.com/micahill/micahill/internal/record"
	"github.com/micahill/micahill/internal/sharding"
)

// maybeBumpEpoch names machines once more, for a higher epoch: where a start without an
// answer stands in the way, which can no longer be executed then, where a machine has
// seen a higher epoch than that under which it is this owner's, and where its worker has
// begun anew.
func (f *failover) maybeBumpEpoch() {
	o := f.controller.shardLeader
	if f.controller.membership.bumpingEpoch || f.now.Sub(f.epochBumpedAt) < epochBumpInterval || f.now.After(f.controller.membership.leaseValidUntil) {
		return
	}
	needed := len(f.higherEpochSeen) > 0
	for _, m := range o.machinesByID {
		needed = needed || m.restartEpoch != 0 && m.restartEpoch == m.epoch || m.unackedStartEpoch != 0 && m.unackedStartEpoch == m.epoch && !m.dispatchUnanswered && m.waitsForStartProof(&o.remoteAttempts.registry)
	}
	if !needed {
		return
	}
	// Only as of now: a machine that has seen a higher epoch is another's more likely,
	// of which the watch has not told yet.
	f.epochBumpedAt = f.now
	f.controller.membership.confirmControlRecords(func() {
		if f.controller.shardLeader == o {
			f.controller.shardLeader.failover.bumpEpoch()
		}
	})
}

// bumpEpoch names the machines that need it once more.
func (f *failover) bumpEpoch() {
	o := f.controller.shardLeader
	if f.controller.membership.bumpingEpoch {
		return
	}
	byShard := map[string][]string{}
	add := func(id string) {
		if x, mine := f.controller.membership.ownedMachine(id); mine {
			byShard[x.Name] = append(byShard[x.Name], id)
		}
	}
	for _, m := range o.machinesByID {
		// While the machine is out of reach a higher epoch does not reach it either.
		if m.unackedStartEpoch != 0 && m.unackedStartEpoch == m.epoch && !m.dispatchUnanswered && m.waitsForStartProof(&o.remoteAttempts.registry) {
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
		w, bumped := sharding.BumpEpoch(f.controller.requests.storeLimits(), fmt.Sprintf("%s-%d-%d", f.incarnation(), o.generation, f.epochBumps), s, byShard[name])
		if len(bumped) == 0 {
			continue
		}
		f.controller.membership.epochBumpStarted()
		f.info("epoch bumped", "machines", len(bumped), "example", bumped[0], "shard", name)
		f.controller.requests.toStore(message.StoreRequest{Kind: message.OpTxn, Priority: message.PriorityStart, Compares: []message.Compare{{Key: record.ShardPrefix + name, ModRevision: s.ModRevision}, {Key: record.ShardSegmentPrefix + w.Name, ModRevision: 0}},
			Writes: []message.Write{{Key: record.ShardSegmentPrefix + w.Name, Value: w.Value}}}, func(message.StoreResponse) {
			f.controller.membership.epochBumpEnded()
			if f.controller.shardLeader == o {
				for _, id := range bumped {
					delete(f.higherEpochSeen, id)
				}
			}
		})
		return
	}
}

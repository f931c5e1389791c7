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
func (n *Controller) maybeBumpEpoch() {
	o := n.shardLeader
	if n.bumpingEpoch || n.now.Sub(o.epochBumpedAt) < epochBumpInterval || n.now.After(n.membership.leaseValidUntil) {
		return
	}
	needed := len(o.higherEpochSeen) > 0
	for _, m := range o.machinesByID {
		needed = needed || m.restartEpoch != 0 && m.restartEpoch == m.epoch || m.unackedStartEpoch != 0 && m.unackedStartEpoch == m.epoch && !m.dispatchUnanswered && m.waitsForStartProof(&o.registry)
	}
	if !needed {
		return
	}
	// Only as of now: a machine that has seen a higher epoch is another's more likely,
	// of which the watch has not told yet.
	o.epochBumpedAt = n.now
	n.confirmControlRecords(func() {
		if n.shardLeader == o {
			bumpEpoch(n)
		}
	})
}

// bumpEpoch names the machines that need it once more.
func bumpEpoch(n *Controller) {
	o := n.shardLeader
	if n.bumpingEpoch {
		return
	}
	byShard := map[string][]string{}
	add := func(id string) {
		if x, mine := n.ownedMachine(id); mine {
			byShard[x.Name] = append(byShard[x.Name], id)
		}
	}
	for _, m := range o.machinesByID {
		// While the machine is out of reach a higher epoch does not reach it either.
		if m.unackedStartEpoch != 0 && m.unackedStartEpoch == m.epoch && !m.dispatchUnanswered && m.waitsForStartProof(&o.registry) {
			add(m.id)
		} else if m.restartEpoch != 0 && m.restartEpoch == m.epoch {
			add(m.id)
		}
	}
	for _, id := range sortedKeys(o.higherEpochSeen) {
		if _, mine := n.ownedMachine(id); !mine {
			delete(o.higherEpochSeen, id)
		} else if n.now.Sub(o.higherEpochSeen[id]) > epochBumpInterval {
			add(id)
		}
	}
	for _, name := range sortedKeys(byShard) {
		s := n.membership.shardMap.Shard(name)
		o.epochBumps++
		w, bumped := sharding.BumpEpoch(n.storeLimits(), fmt.Sprintf("%s-%d-%d", n.incarnation(), o.generation, o.epochBumps), s, byShard[name])
		if len(bumped) == 0 {
			continue
		}
		n.bumpingEpoch = true
		n.info("machines get a higher epoch", "machines", len(bumped), "such as", bumped[0], "share", name)
		n.requestStore(message.StoreRequest{Kind: message.OpTxn, Priority: message.PriorityStart, Compares: []message.Compare{{Key: record.ShardPrefix + name, ModRevision: s.ModRevision}, {Key: record.ShardSegmentPrefix + w.Name, ModRevision: 0}},
			Writes: []message.Write{{Key: record.ShardSegmentPrefix + w.Name, Value: w.Value}}}, func(message.StoreResponse) {
			n.bumpingEpoch = false
			if n.shardLeader == o {
				for _, id := range bumped {
					delete(o.higherEpochSeen, id)
				}
			}
		})
		return
	}
}

package controller

import (
	"fmt"
	"strings"
	"time"

	"github.com/micahill/micahill/internal/message"
	"github.com/micahill/micahill/internal/record"
	"github.com/micahill/micahill/internal/sharding"
	"github.com/micahill/micahill/internal/sizelimit"
)

// shard_planning.go is the leader's part in the division: what internal/sharding decides is
// written on condition that this leader still leads, and counts for everybody, the
// leader too, only when the watch brings it.

// unlistedGracePeriod is for how long records name machines that the lists, which lag, do not
// show.
const unlistedGracePeriod = time.Minute

// loadSmoothing is the weight of the newest word on what a team keeps busy, one a second:
// a mean over a minute, as teams that are alike differ by half from one moment to the
// next, and a move for that would be one in vain.
const loadSmoothing = 1.0 / 60

// shardPlanning is what the leader knows for the division.
type shardPlanning struct {
	planner *sharding.Planner
	writing bool
	// writtenRevision is when it last wrote: nothing more is planned before that has been read.
	writtenRevision uint64
	// unrecordedMachines are machines that were rented for a controller and that no record
	// names for it yet.
	unrecordedMachines map[string]sharding.NewMachine
	offers             map[string]sharding.Offer
	loads              map[string]float64
}

// storeLimits are the state service's limits.
func (r *requestTracker) storeLimits() sizelimit.Limits {
	return sizelimit.Limits{ValueBytes: r.settings.MaxValueBytes, Ops: r.settings.MaxTxnWrites}
}

// limitsOf are those that a transaction keeps to. As long as a controller of the version
// before can come back, records of tasks are as it writes and reads them.
func (r *requestTracker) limitsOf(op *message.StoreRequest) sizelimit.Limits {
	l := r.storeLimits()
	if r.controller.membership.formats.currentFormat().sized {
		return l
	}
	for _, a := range op.Writes {
		if strings.HasPrefix(a.Key, record.TaskSegmentPrefix) || a.Key == record.LimitProbeKey {
			l.ValueBytes = r.settings.currentMaxValueBytes()
		}
	}
	return l
}

func newShardPlanning(c *Controller) shardPlanning {
	return shardPlanning{
		planner:            sharding.New(c.requests.storeLimits(), fmt.Sprint(c.membership.leaderModRevision), c.settings.Policy.RebalanceInterval, c.now),
		unrecordedMachines: map[string]sharding.NewMachine{}, offers: map[string]sharding.Offer{}, loads: map[string]float64{},
	}
}

// planShards writes the next change of the division, if there is one.
func (ll *leader) planShards() {
	l, s := ll, &ll.controller.membership
	planning := &l.sharding
	if planning.writing || s.revision < planning.writtenRevision || !s.loaded || ll.now.After(s.leaseValidUntil) {
		return
	}
	input := sharding.Input{Map: s.shardMap, Self: ll.settings.Host, TeamLoads: planning.loads, Offers: planning.offers, IsGone: ll.controller.confirmedGone}
	for _, h := range sortedKeys(s.controllers) {
		r := s.controllers[h]
		receivesNothing := r.ReceivesNothing || h == ll.settings.Host && ll.controller.partition.receivesNothing(ll.now)
		input.Controllers = append(input.Controllers, sharding.Controller{Host: h, Incarnation: r.Incarnation, Capable: !receivesNothing, OnProbation: ll.controller.membership.recentlyStarted(r)})
	}
	for _, t := range ll.settings.Teams {
		input.Teams = append(input.Teams, t.Name)
	}
	for _, id := range sortedKeys(planning.unrecordedMachines) {
		r := planning.unrecordedMachines[id]
		if o, ok := s.shardMap.Owner(id); ok && o.Host == r.Host || ll.controller.confirmedGone(id) {
			delete(planning.unrecordedMachines, id)
			continue
		}
		input.NewMachines = append(input.NewMachines, r)
	}
	writes := planning.planner.Plan(ll.now, input)
	clear(planning.offers)
	if len(writes) == 0 {
		return
	}
	op := message.StoreRequest{Kind: message.OpTxn, Priority: message.PriorityMembership, Compares: []message.Compare{{Key: record.LeaderKey, ModRevision: l.modRevision}}}
	for _, w := range writes {
		key := record.ShardSegmentPrefix + w.Name
		if w.IsShard {
			key = record.ShardPrefix + w.Name
			ll.info("division", "share", w.Name, "gone", w.Value == nil)
		}
		op.Compares = append(op.Compares, message.Compare{Key: key, ModRevision: w.ModRevision})
		op.Writes = append(op.Writes, message.Write{Key: key, Value: w.Value})
	}
	planning.writing = true
	gen := l.gen
	ll.controller.requests.toStore(op, func(d message.StoreResponse) {
		if ll.controller.leader == nil || ll.controller.leader.gen != gen {
			return
		}
		planning.writing = false
		if d.Status == message.StoreOK || d.Status == message.StoreConflict {
			// After a conflict the watch is behind.
			planning.writtenRevision = d.Revision
			return
		}
		pause := ll.jitter(storeRetryDelay)
		if d.Status == message.StoreMalformed {
			// The same would be planned again. Other changes may go meanwhile, when what
			// they rest on is another.
			pause = malformedRetryDelay
		}
		ll.after(pause, func() {
			if ll.controller.leader != nil && ll.controller.leader.gen == gen {
				ll.controller.leader.planShards()
			}
		})
	})
}

// confirmedGone says that a machine is gone: its return was answered, or the cloud has
// not listed it for long. That is no proof for what ran there, only for the records.
func (c *Controller) confirmedGone(id string) bool {
	l := c.leader
	if l.confirmedReleases[id] {
		return true
	}
	if r := l.rentals[id]; r != nil {
		return !r.releasedAt.IsZero()
	}
	unlistedSince, unlisted := l.unlistedSince[id]
	return unlisted && c.now.Sub(unlistedSince) > unlistedGracePeriod
}

// markUnlisted notes which machines that records name a list does not show. A new one is
// missing for a while, and so is all that a former leader rented just before.
func (l *leader) markUnlisted() {
	l.controller.membership.shardMap.EachMachine(func(id string) {
		if l.rentals[id] != nil {
			delete(l.unlistedSince, id)
		} else if _, known := l.unlistedSince[id]; !known {
			l.unlistedSince[id] = l.now
		}
	})
	for id := range l.unlistedSince {
		if !l.controller.membership.shardMap.IsAssigned(id) {
			delete(l.unlistedSince, id)
		}
	}
}

// recordTeamLoads takes in what an owner's teams keep busy, as a mean over the last while.
func (l *leader) recordTeamLoads(teamLoads []message.TeamLoad) {
	loads := l.sharding.loads
	for _, x := range teamLoads {
		if _, known := loads[x.Team]; !known {
			loads[x.Team] = x.CPU
		}
		loads[x.Team] += loadSmoothing * (x.CPU - loads[x.Team])
	}
}

// applyOwnUpdate is what this leader, as an owner, would tell the leader.
func (ll *leader) applyOwnUpdate() {
	l, o := ll, ll.controller.shardLeader
	ll.recordTeamLoads(ll.controller.shardLeader.teamLoads())
	if a, ok := l.sharding.planner.PendingMove(); ok && a.From == ll.settings.Host {
		o.receiveTeamRelease(a)
		for _, x := range ll.controller.shardLeader.offers() {
			l.sharding.offers[x.Team] = x
		}
	}
}

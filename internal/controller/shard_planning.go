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

// shard_planning.go is how the leader changes the shard map. What internal/sharding decides is written
// on condition that this leader still leads, and counts for everybody, the leader included, only when
// the watch brings it.

const (
	// unlistedGracePeriod is how long the shard map may name a machine that the lists, which lag,
	// do not show, before the machine counts as gone.
	unlistedGracePeriod = time.Minute
	// loadSmoothing is the weight of the newest sample of a team's load, one a second, so that the
	// load is a mean over about a minute: teams that are alike differ by half from one moment
	// to the next, and to move one for that would be in vain.
	loadSmoothing = 1.0 / 60
)

// shardPlanning is what the leader knows for changes of the shard map.
type shardPlanning struct {
	planner *sharding.Planner
	// writing says that a change is being written. Nothing more is planned before
	// writtenRevision, of the last write, has been read.
	writing         bool
	writtenRevision uint64

	// unrecordedMachines were rented for a shard leader or handed over to one, and the shard
	// map does not say so yet.
	unrecordedMachines map[string]sharding.NewMachine
	// offers, by team, are of the machines that would go with the team. loads are the CPUs that
	// teams keep busy, smoothed.
	offers map[string]sharding.Offer
	loads  map[string]float64
}

func newShardPlanning(c *Controller) shardPlanning {
	return shardPlanning{
		planner:            sharding.New(c.requests.storeLimits(), fmt.Sprint(c.membership.leaderModRevision), c.settings.Policy.RebalanceInterval, c.now),
		unrecordedMachines: map[string]sharding.NewMachine{}, offers: map[string]sharding.Offer{}, loads: map[string]float64{},
	}
}

// storeLimits are the store's limits.
func (r *requestTracker) storeLimits() sizelimit.Limits {
	return sizelimit.Limits{ValueBytes: r.settings.MaxValueBytes, Ops: r.settings.MaxTxnWrites}
}

// limitsOf are the limits that a transaction keeps to. As long as a controller of the version before
// may come back, task records keep to what that version reads and writes.
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

// planShards writes the next change of the shard map, if there is one.
func (l *leader) planShards() {
	m := &l.controller.membership
	planning := &l.sharding
	if planning.writing || m.revision < planning.writtenRevision || !m.loaded || l.now.After(m.leaseValidUntil) {
		return
	}
	writes := planning.planner.Plan(l.now, l.planningInput())
	clear(planning.offers)
	if len(writes) > 0 {
		l.writeShardMap(writes)
	}
}

// planningInput is what the planner decides on. Machines whose record has come, or that are gone, are
// unrecorded no longer. Nor are those whose receiver has no shard any more: they stay with the owner
// that the shard map names, instead of being kept from all.
func (l *leader) planningInput() sharding.Input {
	m := &l.controller.membership
	planning := &l.sharding
	input := sharding.Input{Map: m.shardMap, Self: l.settings.Host, TeamLoads: planning.loads, Offers: planning.offers, IsGone: l.confirmedGone}
	for _, h := range sortedKeys(m.controllers) {
		r := m.controllers[h]
		receivesNothing := r.ReceivesNothing || h == l.settings.Host && l.controller.partition.receivesNothing(l.now)
		input.Controllers = append(input.Controllers, sharding.Controller{Host: h, Incarnation: r.Incarnation, Capable: !receivesNothing, OnProbation: l.controller.membership.recentlyStarted(r)})
	}
	for _, t := range l.settings.Teams {
		input.Teams = append(input.Teams, t.Name)
	}
	for _, id := range sortedKeys(planning.unrecordedMachines) {
		r := planning.unrecordedMachines[id]
		if s, ok := m.shardMap.Owner(id); ok && s.Host == r.Host || l.confirmedGone(id) || !m.shardMap.CanReceiveMachines(r.Host) {
			delete(planning.unrecordedMachines, id)
			continue
		}
		input.NewMachines = append(input.NewMachines, r)
	}
	return input
}

// writeShardMap writes one change. It names the leader's record, so that nothing of a deposed leader is
// applied, and each record as it was read.
func (l *leader) writeShardMap(writes []sharding.Write) {
	op := message.StoreRequest{Kind: message.OpTxn, Priority: message.PriorityMembership, Compares: []message.Compare{{Key: record.LeaderKey, ModRevision: l.modRevision}}}
	for _, w := range writes {
		key := record.ShardSegmentPrefix + w.Name
		if w.IsShard {
			key = record.ShardPrefix + w.Name
			l.info("shard map changed", "shard", w.Name, "removed", w.Value == nil)
		}
		op.Compares = append(op.Compares, message.Compare{Key: key, ModRevision: w.ModRevision})
		op.Writes = append(op.Writes, message.Write{Key: key, Value: w.Value})
	}
	l.sharding.writing = true
	generation := l.generation
	l.controller.requests.toStore(op, func(d message.StoreResponse) {
		l := l.controller.leader
		if l == nil || l.generation != generation {
			return
		}
		l.sharding.writing = false
		if d.Status == message.StoreOK || d.Status == message.StoreConflict {
			// After a conflict the watch is behind.
			l.sharding.writtenRevision = d.Revision
			return
		}
		pause := l.jitter(storeRetryDelay)
		if d.Status == message.StoreMalformed {
			// The same would be planned again. Other changes may be written meanwhile, if
			// what they rest on is different.
			pause = malformedRetryDelay
		}
		l.after(pause, func() {
			if l := l.controller.leader; l != nil && l.generation == generation {
				l.planShards()
			}
		})
	})
}

// confirmedGone reports whether a machine is gone: its release was confirmed, or the cloud has not
// listed it for long. The latter proves nothing for the tasks there; it is enough for the shard map.
func (l *leader) confirmedGone(id string) bool {
	if l.confirmedReleases[id] {
		return true
	}
	if r := l.rentals[id]; r != nil {
		return !r.releasedAt.IsZero()
	}
	unlistedSince, unlisted := l.unlistedSince[id]
	return unlisted && l.now.Sub(unlistedSince) > unlistedGracePeriod
}

// markUnlisted notes which machines of the shard map a list does not show. A new machine is missing for
// a while, and so is all that a former leader rented just before.
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

// recordTeamLoads adds a sample of the CPUs that a shard leader's teams keep busy.
func (l *leader) recordTeamLoads(teamLoads []message.TeamLoad) {
	loads := l.sharding.loads
	for _, x := range teamLoads {
		if _, known := loads[x.Team]; !known {
			loads[x.Team] = x.CPU
		}
		loads[x.Team] += loadSmoothing * (x.CPU - loads[x.Team])
	}
}

// applyOwnUpdate takes in what this controller as shard leader would publish to the leader, and asks it
// for the team that is to move.
func (l *leader) applyOwnUpdate() {
	s := l.controller.shardLeader
	l.recordTeamLoads(s.teamLoads())
	if a, ok := l.sharding.planner.PendingMove(); ok && a.From == l.settings.Host {
		s.receiveTeamRelease(a)
		for _, x := range s.offers() {
			l.sharding.offers[x.Team] = x
		}
	}
}

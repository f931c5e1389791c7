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

// shard_planning.go has the leader change the shard map. The leader writes the changes that
// internal/sharding plans, on condition that it still leads. A change takes effect for every
// controller, the leader included, only when the watch delivers it.

const (
	// unlistedGracePeriod is how long a machine of the shard map may be missing from the cloud's
	// lists before it counts as gone. The lists lag behind.
	unlistedGracePeriod = time.Minute
	// loadSmoothing is the weight of the newest sample of a team's load. With one sample a
	// second the load is a mean over about a minute. The momentary loads of equal teams differ
	// by half, and moving a team for such a difference gains nothing.
	loadSmoothing = 1.0 / 60
)

// shardPlanning is the leader's state for planning changes of the shard map. It is lost with the
// leader.
type shardPlanning struct {
	planner *sharding.Planner
	// writing is set while a change is being written. After the last write nothing is planned
	// until the watch has reached its revision, writtenRevision.
	writing         bool
	writtenRevision uint64

	// unrecordedMachines, by ID, were rented for a shard leader or transferred to one, and the
	// shard map does not show it yet.
	unrecordedMachines map[string]sharding.NewMachine
	// offers, by team, list the machines that a shard leader would hand over with the team.
	// loads, by team, are the smoothed loads in CPUs.
	offers map[string]sharding.Offer
	loads  map[string]float64
}

// newShardPlanning returns the planning state of a new leader.
func newShardPlanning(c *Controller) shardPlanning {
	return shardPlanning{
		planner:            sharding.New(c.requests.storeLimits(), fmt.Sprint(c.membership.leaderModRevision), c.settings.Policy.RebalanceInterval, c.now),
		unrecordedMachines: map[string]sharding.NewMachine{}, offers: map[string]sharding.Offer{}, loads: map[string]float64{},
	}
}

// storeLimits returns the store's configured limits.
func (r *requestTracker) storeLimits() sizelimit.Limits {
	return sizelimit.Limits{ValueBytes: r.settings.MaxValueBytes, Ops: r.settings.MaxTxnWrites}
}

// limitsOf returns the limits that a transaction must keep to. As long as a controller of the
// previous version may come back, task records and the limit probe keep to the value limit under
// which that version reads and writes.
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

// planShards writes the next change of the shard map, if one is due and the shard map has been
// read up to the last write.
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

// planningInput returns the state that the planner decides on. It drops unrecorded machines that
// the shard map shows by now or that are gone. It also drops those whose receiver has lost its
// last shard: such a machine stays with the owner that the shard map names, because otherwise no
// controller could use it.
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

// writeShardMap writes one change of the shard map in one transaction. The transaction compares
// the leadership record, so that a deposed leader changes nothing, and each changed record as it
// was read.
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
			// After a conflict the watch has to catch up before the next plan.
			l.sharding.writtenRevision = d.Revision
			return
		}
		pause := l.jitter(storeRetryDelay)
		if d.Status == message.StoreMalformed {
			// The planner would plan the same change again at once. When its input differs, a
			// plan before this retry may still write other changes.
			pause = malformedRetryDelay
		}
		l.after(pause, func() {
			if l := l.controller.leader; l != nil && l.generation == generation {
				l.planShards()
			}
		})
	})
}

// confirmedGone reports whether a machine counts as gone for the shard map: its release was
// confirmed, or the cloud has not listed it for longer than unlistedGracePeriod. A missing
// listing does not prove that the machine's tasks have ended, so task state must not rely on it.
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

// markUnlisted records which machines of the shard map the cloud's list does not show, and since
// when. A new machine is missing from the list for a while, and so are the machines that the
// previous leader rented just before this one.
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

// recordTeamLoads adds a sample of the loads of a shard leader's teams, in CPUs, to the smoothed
// loads.
func (l *leader) recordTeamLoads(teamLoads []message.TeamLoad) {
	loads := l.sharding.loads
	for _, x := range teamLoads {
		if _, known := loads[x.Team]; !known {
			loads[x.Team] = x.CPU
		}
		loads[x.Team] += loadSmoothing * (x.CPU - loads[x.Team])
	}
}

// applyOwnUpdate gives the leader the data that other shard leaders publish to it: the team
// loads of this controller's own shard leader and, for the team that is to move, its offers.
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

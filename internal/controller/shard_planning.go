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
func newShardPlanning(controller *Controller) shardPlanning {
	return shardPlanning{
		planner:            sharding.New(controller.requests.storeLimits(), fmt.Sprint(controller.membership.leaderModRevision), controller.settings.Policy.RebalanceInterval, controller.now),
		unrecordedMachines: map[string]sharding.NewMachine{}, offers: map[string]sharding.Offer{}, loads: map[string]float64{},
	}
}

// storeLimits returns the store's configured limits.
func (tracker *requestTracker) storeLimits() sizelimit.Limits {
	return sizelimit.Limits{ValueBytes: tracker.settings.MaxValueBytes, Ops: tracker.settings.MaxTxnWrites}
}

// limitsOf returns the limits that a transaction must keep to. As long as a controller of the
// previous version may come back, task records and the limit probe keep to the value limit under
// which that version reads and writes.
func (tracker *requestTracker) limitsOf(request *message.StoreRequest) sizelimit.Limits {
	limits := tracker.storeLimits()
	if tracker.controller.membership.formats.currentFormat().sized {
		return limits
	}
	for _, write := range request.Writes {
		if strings.HasPrefix(write.Key, record.TaskSegmentPrefix) || write.Key == record.LimitProbeKey {
			limits.ValueBytes = tracker.settings.currentMaxValueBytes()
		}
	}
	return limits
}

// planShards writes the next change of the shard map, if one is due and the shard map has been
// read up to the last write.
func (leader *leader) planShards() {
	members := &leader.controller.membership
	planning := &leader.sharding
	if planning.writing || members.revision < planning.writtenRevision || !members.loaded || leader.now.After(members.leaseValidUntil) {
		return
	}
	writes := planning.planner.Plan(leader.now, leader.planningInput())
	clear(planning.offers)
	if len(writes) > 0 {
		leader.writeShardMap(writes)
	}
}

// planningInput returns the state that the planner decides on. It drops unrecorded machines that
// the shard map shows by now or that are gone. It also drops those whose receiver has lost its
// last shard: such a machine stays with the owner that the shard map names, because otherwise no
// controller could use it.
func (leader *leader) planningInput() sharding.Input {
	members := &leader.controller.membership
	planning := &leader.sharding
	input := sharding.Input{Map: members.shardMap, Self: leader.settings.Host, TeamLoads: planning.loads, Offers: planning.offers, IsGone: leader.confirmedGone}
	for _, host := range sortedKeys(members.controllers) {
		entry := members.controllers[host]
		receivesNothing := entry.ReceivesNothing || host == leader.settings.Host && leader.controller.partition.isStandingDown(leader.now)
		input.Controllers = append(input.Controllers, sharding.Controller{Host: host, Incarnation: entry.Incarnation, Capable: !receivesNothing, OnProbation: leader.controller.membership.recentlyStarted(entry)})
	}
	for _, team := range leader.settings.Teams {
		input.Teams = append(input.Teams, team.Name)
	}
	for _, id := range sortedKeys(planning.unrecordedMachines) {
		entry := planning.unrecordedMachines[id]
		if owner, ok := members.shardMap.Owner(id); ok && owner.Host == entry.Host || leader.confirmedGone(id) || !members.shardMap.CanReceiveMachines(entry.Host) {
			delete(planning.unrecordedMachines, id)
			continue
		}
		input.NewMachines = append(input.NewMachines, entry)
	}
	return input
}

// writeShardMap writes one change of the shard map in one transaction. The transaction compares
// the leadership record, so that a deposed leader changes nothing, and each changed record as it
// was read.
func (leader *leader) writeShardMap(writes []sharding.Write) {
	request := message.StoreRequest{Kind: message.OpTxn, Priority: message.PriorityMembership, Compares: []message.Compare{{Key: record.LeaderKey, ModRevision: leader.modRevision}}}
	for _, write := range writes {
		key := record.ShardSegmentPrefix + write.Name
		if write.IsShard {
			key = record.ShardPrefix + write.Name
			leader.info("shard map changed", "shard", write.Name, "removed", write.Value == nil)
		}
		request.Compares = append(request.Compares, message.Compare{Key: key, ModRevision: write.ModRevision})
		request.Writes = append(request.Writes, message.Write{Key: key, Value: write.Value})
	}
	leader.sharding.writing = true
	generation := leader.generation
	leader.controller.requests.toStore(request, func(response message.StoreResponse) {
		leader := leader.controller.leader
		if leader == nil || leader.generation != generation {
			return
		}
		leader.sharding.writing = false
		if response.Status == message.StoreOK || response.Status == message.StoreConflict {
			// After a conflict the watch has to catch up before the next plan.
			leader.sharding.writtenRevision = response.Revision
			return
		}
		pause := leader.jitter(storeRetryDelay)
		if response.Status == message.StoreMalformed {
			// The planner would plan the same change again at once. When its input differs, a
			// plan before this retry may still write other changes.
			pause = malformedRetryDelay
		}
		leader.after(pause, func() {
			if leader := leader.controller.leader; leader != nil && leader.generation == generation {
				leader.planShards()
			}
		})
	})
}

// confirmedGone reports whether a machine counts as gone for the shard map: its release was
// confirmed, or the cloud has not listed it for longer than unlistedGracePeriod. A missing
// listing does not prove that the machine's tasks have ended, so task state must not rely on it.
func (leader *leader) confirmedGone(id string) bool {
	if leader.confirmedReleases[id] {
		return true
	}
	if rental := leader.rentals[id]; rental != nil {
		return !rental.releasedAt.IsZero()
	}
	unlistedSince, unlisted := leader.unlistedSince[id]
	return unlisted && leader.now.Sub(unlistedSince) > unlistedGracePeriod
}

// markUnlisted records which machines of the shard map the cloud's list does not show, and since
// when. A new machine is missing from the list for a while, and so are the machines that the
// previous leader rented just before this one.
func (leader *leader) markUnlisted() {
	leader.controller.membership.shardMap.EachMachine(func(id string) {
		if leader.rentals[id] != nil {
			delete(leader.unlistedSince, id)
		} else if _, known := leader.unlistedSince[id]; !known {
			leader.unlistedSince[id] = leader.now
		}
	})
	for id := range leader.unlistedSince {
		if !leader.controller.membership.shardMap.IsAssigned(id) {
			delete(leader.unlistedSince, id)
		}
	}
}

// recordTeamLoads adds a sample of the loads of a shard leader's teams, in CPUs, to the smoothed
// loads.
func (leader *leader) recordTeamLoads(teamLoads []message.TeamLoad) {
	loads := leader.sharding.loads
	for _, teamLoad := range teamLoads {
		if _, known := loads[teamLoad.Team]; !known {
			loads[teamLoad.Team] = teamLoad.CPU
		}
		loads[teamLoad.Team] += loadSmoothing * (teamLoad.CPU - loads[teamLoad.Team])
	}
}

// applyOwnUpdate gives the leader the data that other shard leaders publish to it: the team
// loads of this controller's own shard leader and, for the team that is to move, its offers.
func (leader *leader) applyOwnUpdate() {
	shardLeader := leader.controller.shardLeader
	leader.recordTeamLoads(shardLeader.teamLoads())
	if move, ok := leader.sharding.planner.PendingMove(); ok && move.From == leader.settings.Host {
		shardLeader.receiveTeamRelease(move)
		for _, offer := range shardLeader.offers() {
			leader.sharding.offers[offer.Team] = offer
		}
	}
}

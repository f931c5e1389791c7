package controller

import (
	"strings"
	"time"

	"github.com/micahill/micahill/internal/incarnation"
	"github.com/micahill/micahill/internal/message"
	"github.com/micahill/micahill/internal/record"
	"github.com/micahill/micahill/internal/sharding"
)

// loadControlRecords reads all of ctl/, page by page. A later page may contain later changes, so
// the records are complete only when the watch has delivered all changes up to the revision of
// the last page.
func (membership *membership) loadControlRecords() {
	membership.generation++
	generation := membership.generation
	var items []message.KeyValue
	var firstRevision uint64
	var began time.Time
	var list func(from string)
	list = func(from string) {
		membership.controller.requests.toStore(message.StoreRequest{Kind: message.OpList, Priority: message.PriorityMembership, Key: record.ControlPrefix, StartAfter: from}, func(response message.StoreResponse) {
			if generation != membership.generation {
				return
			}
			if response.Status != message.StoreOK {
				membership.after(membership.jitter(storeRetryDelay), func() {
					if generation == membership.generation {
						list(from)
					}
				})
				return
			}
			if from == "" {
				firstRevision, items, began = response.Revision, nil, response.SentAt
			}
			items = append(items, response.KeyValues...)
			if response.Truncated && len(response.KeyValues) > 0 {
				list(response.KeyValues[len(response.KeyValues)-1].Key)
				return
			}
			membership.replaceControlRecords(items, began)
			membership.revision = firstRevision
			membership.watchControlRecords(generation, response.Revision)
		})
	}
	list("")
}

// replaceControlRecords replaces the known records with items, which are all records under ctl/
// as of the time asOf.
func (membership *membership) replaceControlRecords(items []message.KeyValue, asOf time.Time) {
	membership.leader, membership.leaderModRevision = record.Leader{}, 0
	membership.drain, membership.drainModRevision = record.Drain{}, 0
	clear(membership.controllers)
	oldShardMap := membership.shardMap
	membership.shardMap = sharding.NewMap()
	for _, item := range items {
		membership.applyControlRecord(item)
	}
	membership.controller.markReassignedAfterReRead(oldShardMap)
	membership.controller.ranking.noteAbsence(items)
	membership.controller.ranking.noteKnownAsOf(asOf)
}

// watchControlRecords watches ctl/ from revision on, and watches again after each response. The
// records count as loaded from completeRevision on; until then each watch returns at once with
// the changes made so far.
func (membership *membership) watchControlRecords(generation int, completeRevision uint64) {
	if generation != membership.generation {
		return
	}
	if !membership.loaded && membership.revision >= completeRevision {
		membership.loaded, membership.ready = true, true
		membership.controller.frontend.watchCache.start()
		membership.controlRecordsChanged()
	}
	hold := watchTimeout
	if membership.revision < completeRevision {
		hold = 0
	}
	membership.controller.requests.toStore(message.StoreRequest{Kind: message.OpWatch, Priority: message.PriorityMembership, Key: record.ControlPrefix, Revision: membership.revision, WatchTimeout: hold}, func(response message.StoreResponse) {
		if generation != membership.generation {
			return
		}
		switch response.Status {
		case message.StoreOK:
			membership.applyControlUpdates(response)
			membership.watchControlRecords(generation, completeRevision)
		case message.StoreCompacted:
			membership.loaded = false
			membership.loadControlRecords()
		default:
			membership.after(membership.jitter(storeRetryDelay), func() { membership.watchControlRecords(generation, completeRevision) })
		}
	})
}

// applyControlUpdates applies the changes that a watch or a read of ctl/ has returned. Responses
// may overlap; each change is applied once.
func (membership *membership) applyControlUpdates(response message.StoreResponse) {
	changed := false
	for i, item := range response.KeyValues {
		if item.ModRevision > membership.revision {
			membership.applyControlRecord(item)
			changed = true
			if i+1 == len(response.KeyValues) || response.KeyValues[i+1].ModRevision != item.ModRevision {
				membership.controller.markReassignedTeams()
			}
		}
	}
	membership.revision = max(membership.revision, response.Revision)
	membership.controller.ranking.noteKnownAsOf(response.SentAt)
	if changed && membership.loaded {
		membership.controlRecordsChanged()
	}
}

// confirmControlRecords calls fn when ctl/ is known as of a time after this call. An action
// against a machine that follows from elapsed time alone, such as the end of its worker lease,
// must wait for this, since the machine may belong to another controller by then. If the read
// fails, fn is not called; a caller that still needs the confirmation calls again.
func (membership *membership) confirmControlRecords(fn func()) {
	membership.confirmWaiters = append(membership.confirmWaiters, fn)
	if membership.confirming || !membership.loaded {
		return
	}
	membership.confirming = true
	waiters := membership.confirmWaiters
	membership.confirmWaiters = nil
	generation := membership.generation
	membership.controller.requests.toStore(message.StoreRequest{Kind: message.OpWatch, Priority: message.PriorityMembership, Key: record.ControlPrefix, Revision: membership.revision}, func(response message.StoreResponse) {
		membership.confirming = false
		if generation != membership.generation || response.Status != message.StoreOK {
			// Callers that still need the confirmation call again.
			return
		}
		membership.applyControlUpdates(response)
		for _, fn := range waiters {
			fn()
		}
		if next := membership.confirmWaiters; len(next) > 0 {
			membership.confirmWaiters = nil
			for _, fn := range next {
				membership.confirmControlRecords(fn)
			}
		}
	})
}

// applyControlRecord applies one record under ctl/, or its deletion.
func (membership *membership) applyControlRecord(item message.KeyValue) {
	value := item.Value
	if item.Deleted {
		value = nil
	}
	var err error
	switch {
	case item.Key == record.DrainKey:
		membership.drain, membership.drainModRevision = record.Drain{}, 0
		if !item.Deleted {
			record.Decode(item.Value, &membership.drain)
			membership.drainModRevision = item.ModRevision
		}
	case item.Key == record.LeaderKey:
		membership.leader, membership.leaderModRevision = record.Leader{}, 0
		if !item.Deleted && record.Decode(item.Value, &membership.leader) {
			membership.leaderModRevision = item.ModRevision
		}
	case item.Key == record.FormatKey, strings.HasPrefix(item.Key, record.FormatSupportPrefix):
		membership.formats.applyFormatRecord(item)
	case item.Key == record.RankingKey:
		membership.controller.ranking.applyRecord(item)
	case strings.HasPrefix(item.Key, record.ReroutePrefix):
		membership.controller.partition.applyRerouteRecord(item)
	case strings.HasPrefix(item.Key, record.MemberPrefix):
		host := strings.TrimPrefix(item.Key, record.MemberPrefix)
		delete(membership.controllers, host)
		var member record.Member
		if !item.Deleted && record.Decode(item.Value, &member) {
			membership.controllers[host] = member
		}
	case strings.HasPrefix(item.Key, record.ShardPrefix):
		err = membership.shardMap.ApplyShard(strings.TrimPrefix(item.Key, record.ShardPrefix), value, item.ModRevision)
	case strings.HasPrefix(item.Key, record.ShardSegmentPrefix):
		err = membership.shardMap.ApplySegment(strings.TrimPrefix(item.Key, record.ShardSegmentPrefix), value, item.ModRevision)
	}
	if err != nil {
		membership.rejectInput("record", item.Key, err.Error())
	}
}

// controlRecordsChanged brings this controller's roles in line with ctl/. It is called after
// each batch of changes.
func (membership *membership) controlRecordsChanged() {
	membership.controller.ranking.applyChange()
	switch {
	case membership.leaderModRevision == 0:
		membership.controller.stepDown()
		wait := time.Duration(0)
		switch {
		case membership.controller.partition.isStandingDown(membership.now):
			// Other controllers claim leadership first, since this controller was cut off from
			// the workers.
			wait = partitionLeadDelay
		case incarnation.OnProbation(membership.now, membership.startedAt) && membership.hasEstablishedPeer():
			// Other controllers have been up for longer, and so are less likely to fail soon.
			wait = recentStartLeadDelay
		}
		if wait == 0 {
			membership.claimLeadership()
			break
		}
		membership.after(wait, func() {
			if membership.leaderModRevision == 0 {
				membership.claimLeadership()
			}
		})
	case membership.leader.Incarnation == membership.incarnation() && membership.leaseID != 0:
		membership.controller.becomeLeader()
	default:
		membership.controller.stepDown()
	}
	membership.controller.syncShardLeader()
	membership.formats.advanceFormat()
}

// claimLeadership writes the leader record if it does not exist.
func (membership *membership) claimLeadership() {
	if membership.claimingLeadership || membership.leaseID == 0 || !membership.loaded {
		return
	}
	membership.claimingLeadership = true
	rec := record.Encode(record.Leader{Host: membership.settings.Host, Incarnation: membership.incarnation()})
	membership.controller.requests.toStore(message.StoreRequest{Kind: message.OpTxn, Priority: message.PriorityMembership, Compares: []message.Compare{{Key: record.LeaderKey, ModRevision: 0}},
		Writes: []message.Write{{Key: record.LeaderKey, Value: rec, LeaseID: membership.leaseID}}}, func(response message.StoreResponse) {
		membership.claimingLeadership = false
		switch response.Status {
		case message.StoreOK, message.StoreConflict:
			// The watch delivers the leader record, also if it is this controller's and the
			// response to the write was lost.
		case message.StoreNoLease:
			membership.leaseLost("lease expired while claiming leadership")
		default:
			membership.after(membership.jitter(storeRetryDelay), func() {
				if membership.leaderModRevision == 0 {
					membership.claimLeadership()
				}
			})
		}
	})
}

// liveMachineOwner returns the host of the controller that receives a machine's heartbeats: the
// machine's owner if that is alive, otherwise "".
func (membership *membership) liveMachineOwner(machine string) string {
	owner, ok := membership.shardMap.Owner(machine)
	if !ok || !membership.loaded || membership.controllers[owner.Host].Incarnation != owner.Incarnation {
		return ""
	}
	return owner.Host
}

// ownedMachine returns the owner and epoch of a machine, and whether the owner is this
// controller according to the records read so far.
func (membership *membership) ownedMachine(machine string) (sharding.Owner, bool) {
	owner, ok := membership.shardMap.Owner(machine)
	return owner, ok && owner.Host == membership.settings.Host && owner.Incarnation == membership.incarnation() && membership.leaseID != 0 && membership.loaded
}

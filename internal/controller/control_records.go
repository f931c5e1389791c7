package controller

import (
	"strings"
	"time"

	"github.com/micahill/micahill/internal/incarnation"
	"github.com/micahill/micahill/internal/message"
	"github.com/micahill/micahill/internal/record"
	"github.com/micahill/micahill/internal/sharding"
)

// loadControlRecords reads ctl/ anew, page by page. A later page may contain later changes, so
// the records are complete only when the watch has delivered all changes up to the revision of
// the last page.
func (m *membership) loadControlRecords() {
	m.generation++
	gen := m.generation
	var items []message.KeyValue
	var firstRevision uint64
	var began time.Time
	var list func(from string)
	list = func(from string) {
		m.controller.requests.toStore(message.StoreRequest{Kind: message.OpList, Priority: message.PriorityMembership, Key: record.ControlPrefix, StartAfter: from}, func(d message.StoreResponse) {
			if gen != m.generation {
				return
			}
			if d.Status != message.StoreOK {
				m.after(m.jitter(storeRetryDelay), func() {
					if gen == m.generation {
						list(from)
					}
				})
				return
			}
			if from == "" {
				firstRevision, items, began = d.Revision, nil, d.SentAt
			}
			items = append(items, d.KeyValues...)
			if d.Truncated && len(d.KeyValues) > 0 {
				list(d.KeyValues[len(d.KeyValues)-1].Key)
				return
			}
			m.replaceControlRecords(items, began)
			m.revision = firstRevision
			m.watchControlRecords(gen, d.Revision)
		})
	}
	list("")
}

// replaceControlRecords replaces the known records with items, which are all records under ctl/
// as of the time asOf.
func (m *membership) replaceControlRecords(items []message.KeyValue, asOf time.Time) {
	m.leader, m.leaderModRevision = record.Leader{}, 0
	m.drain, m.drainModRevision = record.Drain{}, 0
	clear(m.controllers)
	oldShardMap := m.shardMap
	m.shardMap = sharding.NewMap()
	for _, it := range items {
		m.applyControlRecord(it)
	}
	m.controller.markReassignedAfterReRead(oldShardMap)
	m.controller.ranking.noteAbsence(items)
	m.controller.ranking.noteKnown(asOf)
}

// watchControlRecords watches ctl/ from m.revision on, and watches again after each answer. The
// records count as loaded from completeRevision on; until then each watch returns at once with
// the changes made so far.
func (m *membership) watchControlRecords(gen int, completeRevision uint64) {
	if gen != m.generation {
		return
	}
	if !m.loaded && m.revision >= completeRevision {
		m.loaded, m.ready = true, true
		m.controller.frontend.watchCache.start()
		m.controlRecordsChanged()
	}
	hold := watchTimeout
	if m.revision < completeRevision {
		hold = 0
	}
	m.controller.requests.toStore(message.StoreRequest{Kind: message.OpWatch, Priority: message.PriorityMembership, Key: record.ControlPrefix, Revision: m.revision, WatchTimeout: hold}, func(d message.StoreResponse) {
		if gen != m.generation {
			return
		}
		switch d.Status {
		case message.StoreOK:
			m.applyControlUpdates(d)
			m.watchControlRecords(gen, completeRevision)
		case message.StoreCompacted:
			m.loaded = false
			m.loadControlRecords()
		default:
			m.after(m.jitter(storeRetryDelay), func() { m.watchControlRecords(gen, completeRevision) })
		}
	})
}

// applyControlUpdates applies the changes that a watch or a read of ctl/ has returned. Answers
// may overlap; each change is applied once.
func (m *membership) applyControlUpdates(d message.StoreResponse) {
	changed := false
	for i, it := range d.KeyValues {
		if it.ModRevision > m.revision {
			m.applyControlRecord(it)
			changed = true
			if i+1 == len(d.KeyValues) || d.KeyValues[i+1].ModRevision != it.ModRevision {
				m.controller.markReassignedTeams()
			}
		}
	}
	m.revision = max(m.revision, d.Revision)
	m.controller.ranking.noteKnown(d.SentAt)
	if changed && m.loaded {
		m.controlRecordsChanged()
	}
}

// confirmControlRecords calls fn when ctl/ is known as of a time after this call. An action
// against a machine that follows from elapsed time alone, such as the end of its worker lease,
// must wait for this, since the machine may belong to another controller by then. If the read
// fails, fn is not called; a caller that still needs the confirmation calls again.
func (m *membership) confirmControlRecords(fn func()) {
	m.confirmWaiters = append(m.confirmWaiters, fn)
	if m.confirming || !m.loaded {
		return
	}
	m.confirming = true
	waiters := m.confirmWaiters
	m.confirmWaiters = nil
	gen := m.generation
	m.controller.requests.toStore(message.StoreRequest{Kind: message.OpWatch, Priority: message.PriorityMembership, Key: record.ControlPrefix, Revision: m.revision}, func(d message.StoreResponse) {
		m.confirming = false
		if gen != m.generation || d.Status != message.StoreOK {
			// Callers that still need the confirmation call again.
			return
		}
		m.applyControlUpdates(d)
		for _, fn := range waiters {
			fn()
		}
		if next := m.confirmWaiters; len(next) > 0 {
			m.confirmWaiters = nil
			for _, fn := range next {
				m.confirmControlRecords(fn)
			}
		}
	})
}

// applyControlRecord applies one record under ctl/, or its deletion.
func (m *membership) applyControlRecord(it message.KeyValue) {
	value := it.Value
	if it.Deleted {
		value = nil
	}
	var err error
	switch {
	case it.Key == record.DrainKey:
		m.drain, m.drainModRevision = record.Drain{}, 0
		if !it.Deleted {
			record.Decode(it.Value, &m.drain)
			m.drainModRevision = it.ModRevision
		}
	case it.Key == record.LeaderKey:
		m.leader, m.leaderModRevision = record.Leader{}, 0
		if !it.Deleted && record.Decode(it.Value, &m.leader) {
			m.leaderModRevision = it.ModRevision
		}
	case it.Key == record.FormatKey, strings.HasPrefix(it.Key, record.FormatSupportPrefix):
		m.formats.applyFormatRecord(it)
	case it.Key == record.RankingKey:
		m.controller.ranking.applyRecord(it)
	case strings.HasPrefix(it.Key, record.ReroutePrefix):
		m.controller.partition.applyRerouteRecord(it)
	case strings.HasPrefix(it.Key, record.MemberPrefix):
		host := strings.TrimPrefix(it.Key, record.MemberPrefix)
		delete(m.controllers, host)
		var r record.Member
		if !it.Deleted && record.Decode(it.Value, &r) {
			m.controllers[host] = r
		}
	case strings.HasPrefix(it.Key, record.ShardPrefix):
		err = m.shardMap.ApplyShard(strings.TrimPrefix(it.Key, record.ShardPrefix), value, it.ModRevision)
	case strings.HasPrefix(it.Key, record.ShardSegmentPrefix):
		err = m.shardMap.ApplySegment(strings.TrimPrefix(it.Key, record.ShardSegmentPrefix), value, it.ModRevision)
	}
	if err != nil {
		m.rejectInput("record", it.Key, err.Error())
	}
}

// controlRecordsChanged brings this controller's roles in line with ctl/. It is called after
// each batch of changes.
func (m *membership) controlRecordsChanged() {
	m.controller.ranking.applyChange()
	switch {
	case m.leaderModRevision == 0:
		m.controller.stepDown()
		wait := time.Duration(0)
		switch {
		case m.controller.partition.receivesNothing(m.now):
			// Other controllers claim leadership first, since this controller was cut off from
			// the workers.
			wait = partitionLeadDelay
		case incarnation.OnProbation(m.now, m.startedAt) && m.hasEstablishedPeer():
			// Other controllers have been up for longer, and so are less likely to fail soon.
			wait = recentStartLeadDelay
		}
		if wait == 0 {
			m.claimLeadership()
			break
		}
		m.after(wait, func() {
			if m.leaderModRevision == 0 {
				m.claimLeadership()
			}
		})
	case m.leader.Incarnation == m.incarnation() && m.leaseID != 0:
		m.controller.becomeLeader()
	default:
		m.controller.stepDown()
	}
	m.controller.syncShardLeader()
	m.formats.advanceFormat()
}

// claimLeadership writes the leader record if it does not exist.
func (m *membership) claimLeadership() {
	if m.claimingLeadership || m.leaseID == 0 || !m.loaded {
		return
	}
	m.claimingLeadership = true
	rec := record.Encode(record.Leader{Host: m.settings.Host, Incarnation: m.incarnation()})
	m.controller.requests.toStore(message.StoreRequest{Kind: message.OpTxn, Priority: message.PriorityMembership, Compares: []message.Compare{{Key: record.LeaderKey, ModRevision: 0}},
		Writes: []message.Write{{Key: record.LeaderKey, Value: rec, LeaseID: m.leaseID}}}, func(d message.StoreResponse) {
		m.claimingLeadership = false
		switch d.Status {
		case message.StoreOK, message.StoreConflict:
			// The watch delivers the leader record, also if it is this controller's and the
			// answer to the write was lost.
		case message.StoreNoLease:
			m.leaseLost("lease expired while claiming leadership")
		default:
			m.after(m.jitter(storeRetryDelay), func() {
				if m.leaderModRevision == 0 {
					m.claimLeadership()
				}
			})
		}
	})
}

// liveMachineOwner returns the host of the controller that receives a machine's heartbeats: the
// machine's owner if that is alive, otherwise "".
func (m *membership) liveMachineOwner(machine string) string {
	o, ok := m.shardMap.Owner(machine)
	if !ok || !m.loaded || m.controllers[o.Host].Incarnation != o.Incarnation {
		return ""
	}
	return o.Host
}

// ownedMachine returns the owner and epoch of a machine, and whether the owner is this
// controller according to the records read so far.
func (m *membership) ownedMachine(machine string) (sharding.Owner, bool) {
	o, ok := m.shardMap.Owner(machine)
	return o, ok && o.Host == m.settings.Host && o.Incarnation == m.incarnation() && m.leaseID != 0 && m.loaded
}

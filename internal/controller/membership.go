package controller

import (
	"cmp"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/micahill/micahill/internal/incarnation"
	"github.com/micahill/micahill/internal/message"
	"github.com/micahill/micahill/internal/record"
	"github.com/micahill/micahill/internal/sharding"
)

const (
	// membershipLeaseTTL is how long a silent controller keeps its roles. Short, for
	// a quick takeover; several renewals fit in, for late answers.
	membershipLeaseTTL = 4 * time.Second
	// leaseRenewInterval leaves room for two lost renewals within membershipLeaseTTL.
	leaseRenewInterval = time.Second
	// storeRetryDelay separates tries after a refusal of the state service.
	storeRetryDelay = 400 * time.Millisecond
	// watchTimeout is how long a watch stays open without news.
	watchTimeout = 30 * time.Second
	// storeUnavailableInterval is how often the others are told that the state service does
	// not answer, and storeUnavailableTTL how long that counts.
	storeUnavailableInterval = time.Second
	storeUnavailableTTL      = 3 * time.Second
	// recentStartLeadDelay is how long one that has just begun leaves the lead to others: they
	// hear of it within some milliseconds.
	recentStartLeadDelay = 500 * time.Millisecond
	// storeDownAfter is how long requests must have failed, with no success
	// in between, before users are refused at once instead of tried for.
	storeDownAfter = 1500 * time.Millisecond
)

// membership is this node's grant and its picture of ctl/.
type membership struct {
	component

	started bool
	ready   bool
	leaseID uint64
	// startedAt is when this process began. recordModRevision is the stamp of this controller's
	// record, 0 when there is none: what is written there names it, so that a late
	// write of a former life does not take the place of this one's.
	startedAt         time.Time
	recordModRevision uint64
	// leaseValidUntil: until then the grant lives whatever happened, counted from
	// the sending of the last successful renewal. During an outage it lives
	// longer, but this node cannot know.
	leaseValidUntil time.Time
	renewing        bool
	generation      int

	storeFailingSince time.Time

	// revision is the revision up to which ctl/ is known. Its records are taken in as
	// the watch brings them, in their order and never ahead of it, our own as well:
	// then all that is read of the division belongs together.
	revision           uint64
	loaded             bool
	leader             record.Leader
	leaderModRevision  uint64
	controllers        map[string]record.Member
	shardMap           *sharding.Map
	claimingLeadership bool
	drain              record.Drain
	// confirmWaiters wait until ctl/ is known as of a moment after they were asked; sure is
	// that a read for them is under way.
	confirmWaiters []func()
	confirming     bool
	// receivesNothingUntil: this node has given up for hearing no worker and stands back
	// until then; mute: it heard them, and they didn't hear it. reroutesReportedAt is when another last said that it hears this node's.
	receivesNothingUntil time.Time
	unheard              bool
	reroutesReportedAt   time.Time
	formats              formatMigration
	// raising: machines are being named once more for a higher epoch.
	bumpingEpoch bool
	// storeUnavailable is when each of the others last said that the state service does
	// not answer there.
	peersWithoutStore           map[string]time.Time
	storeUnavailablePublishedAt time.Time
}

func (m *membership) storeDown(now time.Time) bool {
	return !m.storeFailingSince.IsZero() && now.Sub(m.storeFailingSince) > storeDownAfter
}

// storeDownEverywhere says that all the other controllers have lost the state service
// as well, so that a user who is sent elsewhere finds it no better. A node that
// is alone with its loss turns unhealthy, and so does one that hears nothing;
// in an outage for all, to be taken out and let in again only costs time.
func (m *membership) storeDownEverywhere(now time.Time) bool {
	for _, p := range m.settings.Peers {
		if at, ok := m.peersWithoutStore[p]; !ok || now.Sub(at) > storeUnavailableTTL {
			return false
		}
	}
	return len(m.settings.Peers) > 0
}

// publishStoreUnavailable tells the others that the state service does not answer here.
func (m *membership) publishStoreUnavailable() {
	if !m.storeDown(m.now) || m.now.Sub(m.storeUnavailablePublishedAt) < storeUnavailableInterval {
		return
	}
	m.storeUnavailablePublishedAt = m.now
	for _, p := range m.settings.Peers {
		m.emit(message.SendPeerUpdate{To: p, Update: message.PeerUpdate{From: m.settings.Host, StoreUnavailable: true}})
	}
}

func (m *membership) start() {
	m.started, m.startedAt = true, m.now
	m.controllers, m.formats.support = map[string]record.Member{}, map[string]bool{}
	m.shardMap = sharding.NewMap()
	// The earlier life is ended at once, whatever this one waits for: the others are
	// to have its duties.
	ended, waited := false, false
	begin := func() {
		if ended && waited {
			m.createLease()
		}
	}
	m.endPreviousIncarnation(func() {
		ended = true
		begin()
	})
	m.beginIncarnation(func() {
		waited = true
		begin()
	})
	m.leaseRenewLoop()
	m.controller.loadMachineTypes()
	m.controller.promises.start()
	m.controller.rateLimits.publishRates()
}

// beginIncarnation calls fn when this life may take part, which after several short ones in
// a row is not at once; see internal/incarnation.
func (m *membership) beginIncarnation(fn func()) {
	key := record.IncarnationPrefix + m.settings.Host
	m.controller.requests.toStore(message.StoreRequest{Kind: message.OpGet, Priority: message.PriorityMembership, Key: key}, func(d message.StoreResponse) {
		if d.Status != message.StoreOK && d.Status != message.StoreNotFound {
			m.after(m.jitter(storeRetryDelay), func() { m.beginIncarnation(fn) })
			return
		}
		var r record.Incarnation
		known := d.Status == message.StoreOK && len(d.KeyValues) == 1 && record.Decode(d.KeyValues[0].Value, &r)
		past, wait := incarnation.Start(m.now, incarnation.History{StartedAt: time.UnixMilli(r.StartedAt), ShortRuns: r.ShortLived}, known)
		// It need not be waited for: lost, it only makes the next life wait less.
		rec := record.Encode(record.Incarnation{StartedAt: past.StartedAt.UnixMilli(), ShortLived: past.ShortRuns})
		m.controller.requests.toStore(message.StoreRequest{Kind: message.OpTxn, Priority: message.PriorityMembership, Writes: []message.Write{{Key: key, Value: rec}}}, func(message.StoreResponse) {})
		if wait > 0 {
			m.info("earlier lives were short: this one waits", "lives", past.ShortRuns, "for", wait)
		}
		m.after(wait, fn)
	})
}

// endPreviousIncarnation ends the grant of this controller's earlier life, which is surely
// over, so that the others need not wait for it to run out, and calls fn when it is
// known what stands under its name.
func (m *membership) endPreviousIncarnation(fn func()) {
	m.controller.requests.toStore(message.StoreRequest{Kind: message.OpGet, Priority: message.PriorityMembership, Key: record.MemberPrefix + m.settings.Host}, func(d message.StoreResponse) {
		switch d.Status {
		case message.StoreOK:
			var old record.Member
			if !record.Decode(d.KeyValues[0].Value, &old) || old.Incarnation == m.incarnation() {
				m.recordModRevision = d.KeyValues[0].ModRevision
				fn()
				return
			}
			m.controller.requests.toStore(message.StoreRequest{Kind: message.OpLeaseRevoke, Priority: message.PriorityMembership, LeaseID: old.LeaseID}, func(message.StoreResponse) {
				// Should the record stand all the same, registering fails and comes
				// back here.
				m.recordModRevision = 0
				fn()
			})
		case message.StoreNotFound:
			m.recordModRevision = 0
			fn()
		default:
			m.after(m.jitter(storeRetryDelay), func() { m.endPreviousIncarnation(fn) })
		}
	})
}

func (m *membership) createLease() {
	m.controller.requests.toStore(message.StoreRequest{Kind: message.OpLeaseGrant, Priority: message.PriorityMembership, TTL: membershipLeaseTTL}, func(d message.StoreResponse) {
		if d.Status != message.StoreOK {
			m.after(m.jitter(storeRetryDelay), m.createLease)
			return
		}
		m.leaseID = d.LeaseID
		m.leaseValidUntil = d.SentAt.Add(membershipLeaseTTL)
		m.register()
	})
}

func (m *membership) register() {
	grant := m.leaseID
	key := record.MemberPrefix + m.settings.Host
	rec := record.Encode(record.Member{LeaseID: grant, Incarnation: m.incarnation(), ReceivesNothing: m.receivesNothing(m.now), StartedAt: m.startedAt.UnixMilli()})
	m.controller.requests.toStore(message.StoreRequest{Kind: message.OpTxn, Priority: message.PriorityMembership, Compares: []message.Compare{{Key: key, ModRevision: m.recordModRevision}}, Writes: []message.Write{{Key: key, Value: rec, LeaseID: grant}}}, func(d message.StoreResponse) {
		if m.leaseID != grant {
			return
		}
		switch d.Status {
		case message.StoreConflict:
			// A write of a former life came late, or this one's own had no answer.
			m.after(m.jitter(storeRetryDelay), func() {
				if m.leaseID == grant {
					m.endPreviousIncarnation(func() {
						if m.leaseID == grant {
							m.register()
						}
					})
				}
			})
		case message.StoreOK:
			m.recordModRevision = d.Revision
			if !m.loaded {
				m.loadControlRecords()
			}
		case message.StoreNoLease:
			m.leaseLost("grant ended before registration")
		default:
			m.after(m.jitter(storeRetryDelay), func() {
				if m.leaseID == grant {
					m.register()
				}
			})
		}
	})
}

// leaseLost steps down at once: the state service says the grant is over,
// so others may hold the roles already.
func (m *membership) leaseLost(reason string) {
	if m.leaseID == 0 {
		return
	}
	m.info("session lost", "why", reason)
	m.relinquishRoles("session lost")
	m.createLease()
}

// relinquishRoles gives up all roles with the grant that they rest on. What this process
// takes up under its next grant it takes up as another life.
func (m *membership) relinquishRoles(reason string) {
	m.leaseID, m.recordModRevision = 0, 0
	m.lostLeases++
	m.controller.stepDown()
	m.controller.dropShardLeader(reason)
}

func (m *membership) leaseRenewLoop() {
	m.after(leaseRenewInterval, m.leaseRenewLoop)
	if m.leaseID == 0 || m.renewing {
		return
	}
	m.renewing = true
	grant := m.leaseID
	m.controller.requests.toStore(message.StoreRequest{Kind: message.OpLeaseRenew, Priority: message.PriorityMembership, LeaseID: grant}, func(d message.StoreResponse) {
		m.renewing = false
		if m.leaseID != grant {
			return
		}
		switch d.Status {
		case message.StoreOK:
			m.leaseValidUntil = d.SentAt.Add(membershipLeaseTTL)
		case message.StoreNotFound, message.StoreNoLease:
			m.leaseLost("grant ran out")
		}
	})
}

// recentlyStarted says that a controller began so lately that it gets no duty yet that another
// can have.
func (m *membership) recentlyStarted(r record.Member) bool {
	return r.StartedAt != 0 && incarnation.OnProbation(m.now, time.UnixMilli(r.StartedAt))
}

// hasEstablishedPeer says that some other controller has been up for a while.
func (m *membership) hasEstablishedPeer() bool {
	for h, r := range m.controllers {
		if h != m.settings.Host && !m.recentlyStarted(r) && !r.ReceivesNothing {
			return true
		}
	}
	return false
}

// fromCurrentIncarnation says that news comes from a life of its sender that takes part now, as far as
// this node has read. What a former life sent may come late, and what it asked for may
// be in use by now.
func (m *membership) fromCurrentIncarnation(c *message.PeerUpdate) bool {
	r, lives := m.controllers[c.From]
	return lives && r.Incarnation == c.Incarnation
}

// incarnation names this process, and which grant it has in turn.
func (e *environment) incarnation() string {
	if e.lostLeases == 0 {
		return e.settings.Incarnation
	}
	return e.settings.Incarnation + "." + strconv.Itoa(e.lostLeases)
}

// loadControlRecords reads ctl/ anew. Pages read later may tell of later changes, so that it is
// whole only when the changes up to the last page have come in order as well.
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
			m.leader, m.leaderModRevision, m.drain = record.Leader{}, 0, record.Drain{}
			clear(m.controllers)
			oldShardMap := m.shardMap
			m.shardMap = sharding.NewMap()
			for _, it := range items {
				m.applyControlRecord(it)
			}
			markReassignedAfterReRead(m.controller, oldShardMap)
			m.controller.ranking.noteAbsence(items)
			m.controller.ranking.noteKnown(began)
			m.revision = firstRevision
			m.watchControlRecords(gen, d.Revision)
		})
	}
	list("")
}

// watchControlRecords watches ctl/. What is known of it counts from the revision whole on.
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

// applyControlUpdates takes in what a watch or a read of ctl/ has brought: all changes after a
// revision that was known. Of two that overlap each change counts once.
func (m *membership) applyControlUpdates(d message.StoreResponse) {
	changed := false
	for i, it := range d.KeyValues {
		if it.ModRevision > m.revision {
			m.applyControlRecord(it)
			changed = true
			if i+1 == len(d.KeyValues) || d.KeyValues[i+1].ModRevision != it.ModRevision {
				markReassignedTeams(m.controller)
			}
		}
	}
	m.revision = max(m.revision, d.Revision)
	m.controller.ranking.noteKnown(d.SentAt)
	if changed && m.loaded {
		m.controlRecordsChanged()
	}
}

// confirmControlRecords calls fn when ctl/ is known as of a moment after this call. What is counted
// against a machine by time alone, as the end of its lease, may count only if the
// machine still was this controller's by then.
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
			// Whoever needs it asks again.
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

func (m *membership) applyControlRecord(it message.KeyValue) {
	value := it.Value
	if it.Deleted {
		value = nil
	}
	var err error
	switch {
	case it.Key == record.DrainKey:
		m.drain = record.Drain{}
		if !it.Deleted {
			record.Decode(it.Value, &m.drain)
		}
	case it.Key == record.LeaderKey:
		m.leader, m.leaderModRevision = record.Leader{}, 0
		if !it.Deleted && record.Decode(it.Value, &m.leader) {
			m.leaderModRevision = it.ModRevision
		}
	case it.Key == record.FormatKey, strings.HasPrefix(it.Key, record.FormatSupportPrefix):
		m.controller.membership.formats.applyFormatRecord(it)
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

func (m *membership) controlRecordsChanged() {
	m.controller.ranking.applyChange()
	switch {
	case m.leaderModRevision == 0:
		m.controller.stepDown()
		wait := time.Duration(0)
		switch {
		case m.receivesNothing(m.now):
			// The others first; see partition.go.
			wait = partitionLeadDelay
		case incarnation.OnProbation(m.now, m.startedAt) && m.hasEstablishedPeer():
			// Others have been up for longer, and may be for longer yet.
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
	m.controller.membership.formats.advanceFormat()
}

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
			// The watch will say who has it. If our own unanswered claim did it,
			// the watch says that as well.
		case message.StoreNoLease:
			m.leaseLost("grant ended while claiming the lead")
		default:
			m.after(m.jitter(storeRetryDelay), func() {
				if m.leaderModRevision == 0 {
					m.claimLeadership()
				}
			})
		}
	})
}

// liveMachineOwner is the controller that takes the reports of a machine: its owner, if it
// lives.
func (m *membership) liveMachineOwner(machine string) string {
	o, ok := m.shardMap.Owner(machine)
	if !ok || !m.loaded || m.controllers[o.Host].Incarnation != o.Incarnation {
		return ""
	}
	return o.Host
}

// ownedMachine says whether a machine is this controller's by the records that it has read,
// and under which epoch.
func (m *membership) ownedMachine(machine string) (sharding.Owner, bool) {
	o, ok := m.shardMap.Owner(machine)
	return o, ok && o.Host == m.settings.Host && o.Incarnation == m.incarnation() && m.leaseID != 0 && m.loaded
}

// sortedKeys gives an order to a map, so that the same inputs give the same
// decisions.
func sortedKeys[K cmp.Ordered, V any](m map[K]V) []K {
	keys := make([]K, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	slices.Sort(keys)
	return keys
}

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
	// formatSupport are the controllers that know parts of records, and form the one that all
	// have come to, of formatKey's stamp; forming: a write for that is under way. See
	// formats.go.
	formatSupport     map[string]bool
	format            segmentFormat
	formatModRevision uint64
	writingFormat     bool
	// lowered: the state service has its new limits, and probing: that has lately been
	// asked for.
	limitsLowered, probingLimits bool
	// lostLeases counts the grants that this process has lost: each makes another life of
	// it, since which of its orders are on their way is forgotten with its roles.
	lostLeases int
	// confirmWaiters wait until ctl/ is known as of a moment after they were asked; sure is
	// that a read for them is under way.
	confirmWaiters []func()
	confirming     bool
	// receivesNothingUntil: this node has given up for hearing no worker and stands back
	// until then; mute: it heard them, and they didn't hear it. reroutesReportedAt is when another last said that it hears this node's.
	receivesNothingUntil time.Time
	unheard              bool
	reroutesReportedAt   time.Time
}

func (n *Controller) storeDown(now time.Time) bool {
	s := &n.membership
	return !s.storeFailingSince.IsZero() && now.Sub(s.storeFailingSince) > storeDownAfter
}

// storeDownEverywhere says that all the other controllers have lost the state service
// as well, so that a user who is sent elsewhere finds it no better. A node that
// is alone with its loss turns unhealthy, and so does one that hears nothing;
// in an outage for all, to be taken out and let in again only costs time.
func (n *Controller) storeDownEverywhere(now time.Time) bool {
	for _, p := range n.settings.Peers {
		if at, ok := n.storeUnavailable[p]; !ok || now.Sub(at) > storeUnavailableTTL {
			return false
		}
	}
	return len(n.settings.Peers) > 0
}

// publishStoreUnavailable tells the others that the state service does not answer here.
func (n *Controller) publishStoreUnavailable() {
	if !n.storeDown(n.now) || n.now.Sub(n.storeUnavailablePublishedAt) < storeUnavailableInterval {
		return
	}
	n.storeUnavailablePublishedAt = n.now
	for _, p := range n.settings.Peers {
		n.emit(message.SendPeerUpdate{To: p, Update: message.PeerUpdate{From: n.settings.Host, StoreUnavailable: true}})
	}
}

func (n *Controller) startMembership() {
	n.membership.started, n.membership.startedAt = true, n.now
	n.membership.controllers, n.membership.formatSupport = map[string]record.Member{}, map[string]bool{}
	n.membership.shardMap = sharding.NewMap()
	// The earlier life is ended at once, whatever this one waits for: the others are
	// to have its duties.
	ended, waited := false, false
	begin := func() {
		if ended && waited {
			n.createLease()
		}
	}
	n.endPreviousIncarnation(func() {
		ended = true
		begin()
	})
	beginIncarnation(n, func() {
		waited = true
		begin()
	})
	n.leaseRenewLoop()
	n.loadMachineTypes()
	startPromises(n)
	publishRates(n)
}

// beginIncarnation calls fn when this life may take part, which after several short ones in
// a row is not at once; see internal/incarnation.
func beginIncarnation(n *Controller, fn func()) {
	key := record.IncarnationPrefix + n.settings.Host
	n.requestStore(message.StoreRequest{Kind: message.OpGet, Priority: message.PriorityMembership, Key: key}, func(d message.StoreResponse) {
		if d.Status != message.StoreOK && d.Status != message.StoreNotFound {
			n.after(n.jitter(storeRetryDelay), func() { beginIncarnation(n, fn) })
			return
		}
		var r record.Incarnation
		known := d.Status == message.StoreOK && len(d.KeyValues) == 1 && record.Decode(d.KeyValues[0].Value, &r)
		past, wait := incarnation.Start(n.now, incarnation.History{StartedAt: time.UnixMilli(r.StartedAt), ShortRuns: r.ShortLived}, known)
		// It need not be waited for: lost, it only makes the next life wait less.
		rec := record.Encode(record.Incarnation{StartedAt: past.StartedAt.UnixMilli(), ShortLived: past.ShortRuns})
		n.requestStore(message.StoreRequest{Kind: message.OpTxn, Priority: message.PriorityMembership, Writes: []message.Write{{Key: key, Value: rec}}}, func(message.StoreResponse) {})
		if wait > 0 {
			n.info("earlier lives were short: this one waits", "lives", past.ShortRuns, "for", wait)
		}
		n.after(wait, fn)
	})
}

// endPreviousIncarnation ends the grant of this controller's earlier life, which is surely
// over, so that the others need not wait for it to run out, and calls fn when it is
// known what stands under its name.
func (n *Controller) endPreviousIncarnation(fn func()) {
	s := &n.membership
	n.requestStore(message.StoreRequest{Kind: message.OpGet, Priority: message.PriorityMembership, Key: record.MemberPrefix + n.settings.Host}, func(d message.StoreResponse) {
		switch d.Status {
		case message.StoreOK:
			var old record.Member
			if !record.Decode(d.KeyValues[0].Value, &old) || old.Incarnation == n.incarnation() {
				s.recordModRevision = d.KeyValues[0].ModRevision
				fn()
				return
			}
			n.requestStore(message.StoreRequest{Kind: message.OpLeaseRevoke, Priority: message.PriorityMembership, LeaseID: old.LeaseID}, func(message.StoreResponse) {
				// Should the record stand all the same, registering fails and comes
				// back here.
				s.recordModRevision = 0
				fn()
			})
		case message.StoreNotFound:
			s.recordModRevision = 0
			fn()
		default:
			n.after(n.jitter(storeRetryDelay), func() { n.endPreviousIncarnation(fn) })
		}
	})
}

func (n *Controller) createLease() {
	n.requestStore(message.StoreRequest{Kind: message.OpLeaseGrant, Priority: message.PriorityMembership, TTL: membershipLeaseTTL}, func(d message.StoreResponse) {
		if d.Status != message.StoreOK {
			n.after(n.jitter(storeRetryDelay), n.createLease)
			return
		}
		n.membership.leaseID = d.LeaseID
		n.membership.leaseValidUntil = d.SentAt.Add(membershipLeaseTTL)
		n.register()
	})
}

func (n *Controller) register() {
	grant := n.membership.leaseID
	key := record.MemberPrefix + n.settings.Host
	rec := record.Encode(record.Member{LeaseID: grant, Incarnation: n.incarnation(), ReceivesNothing: n.membership.receivesNothing(n.now), StartedAt: n.membership.startedAt.UnixMilli()})
	n.requestStore(message.StoreRequest{Kind: message.OpTxn, Priority: message.PriorityMembership, Compares: []message.Compare{{Key: key, ModRevision: n.membership.recordModRevision}}, Writes: []message.Write{{Key: key, Value: rec, LeaseID: grant}}}, func(d message.StoreResponse) {
		if n.membership.leaseID != grant {
			return
		}
		switch d.Status {
		case message.StoreConflict:
			// A write of a former life came late, or this one's own had no answer.
			n.after(n.jitter(storeRetryDelay), func() {
				if n.membership.leaseID == grant {
					n.endPreviousIncarnation(func() {
						if n.membership.leaseID == grant {
							n.register()
						}
					})
				}
			})
		case message.StoreOK:
			n.membership.recordModRevision = d.Revision
			if !n.membership.loaded {
				n.loadControlRecords()
			}
		case message.StoreNoLease:
			n.leaseLost("grant ended before registration")
		default:
			n.after(n.jitter(storeRetryDelay), func() {
				if n.membership.leaseID == grant {
					n.register()
				}
			})
		}
	})
}

// leaseLost steps down at once: the state service says the grant is over,
// so others may hold the roles already.
func (n *Controller) leaseLost(reason string) {
	if n.membership.leaseID == 0 {
		return
	}
	n.info("session lost", "why", reason)
	n.relinquishRoles("session lost")
	n.createLease()
}

// relinquishRoles gives up all roles with the grant that they rest on. What this process
// takes up under its next grant it takes up as another life.
func (n *Controller) relinquishRoles(reason string) {
	n.membership.leaseID, n.membership.recordModRevision = 0, 0
	n.membership.lostLeases++
	n.stepDown()
	n.dropShardLeader(reason)
}

func (n *Controller) leaseRenewLoop() {
	n.after(leaseRenewInterval, n.leaseRenewLoop)
	s := &n.membership
	if s.leaseID == 0 || s.renewing {
		return
	}
	s.renewing = true
	grant := s.leaseID
	n.requestStore(message.StoreRequest{Kind: message.OpLeaseRenew, Priority: message.PriorityMembership, LeaseID: grant}, func(d message.StoreResponse) {
		s.renewing = false
		if s.leaseID != grant {
			return
		}
		switch d.Status {
		case message.StoreOK:
			s.leaseValidUntil = d.SentAt.Add(membershipLeaseTTL)
		case message.StoreNotFound, message.StoreNoLease:
			n.leaseLost("grant ran out")
		}
	})
}

// recentlyStarted says that a controller began so lately that it gets no duty yet that another
// can have.
func (n *Controller) recentlyStarted(r record.Member) bool {
	return r.StartedAt != 0 && incarnation.OnProbation(n.now, time.UnixMilli(r.StartedAt))
}

// hasEstablishedPeer says that some other controller has been up for a while.
func (n *Controller) hasEstablishedPeer() bool {
	for h, r := range n.membership.controllers {
		if h != n.settings.Host && !n.recentlyStarted(r) && !r.ReceivesNothing {
			return true
		}
	}
	return false
}

// fromCurrentIncarnation says that news comes from a life of its sender that takes part now, as far as
// this node has read. What a former life sent may come late, and what it asked for may
// be in use by now.
func (n *Controller) fromCurrentIncarnation(c *message.PeerUpdate) bool {
	r, lives := n.membership.controllers[c.From]
	return lives && r.Incarnation == c.Incarnation
}

// incarnation names this process, and which grant it has in turn.
func (n *Controller) incarnation() string {
	if n.membership.lostLeases == 0 {
		return n.settings.Incarnation
	}
	return n.settings.Incarnation + "." + strconv.Itoa(n.membership.lostLeases)
}

// loadControlRecords reads ctl/ anew. Pages read later may tell of later changes, so that it is
// whole only when the changes up to the last page have come in order as well.
func (n *Controller) loadControlRecords() {
	s := &n.membership
	s.generation++
	gen := s.generation
	var items []message.KeyValue
	var firstRevision uint64
	var began time.Time
	var list func(from string)
	list = func(from string) {
		n.requestStore(message.StoreRequest{Kind: message.OpList, Priority: message.PriorityMembership, Key: record.ControlPrefix, StartAfter: from}, func(d message.StoreResponse) {
			if gen != s.generation {
				return
			}
			if d.Status != message.StoreOK {
				n.after(n.jitter(storeRetryDelay), func() {
					if gen == s.generation {
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
			s.leader, s.leaderModRevision, s.drain = record.Leader{}, 0, record.Drain{}
			clear(s.controllers)
			oldShardMap := s.shardMap
			s.shardMap = sharding.NewMap()
			for _, it := range items {
				n.applyControlRecord(it)
			}
			markReassignedAfterReRead(n, oldShardMap)
			noteRankingAbsence(n, items)
			noteRankingKnown(n, began)
			s.revision = firstRevision
			n.watchControlRecords(gen, d.Revision)
		})
	}
	list("")
}

// watchControlRecords watches ctl/. What is known of it counts from the revision whole on.
func (n *Controller) watchControlRecords(gen int, completeRevision uint64) {
	s := &n.membership
	if gen != s.generation {
		return
	}
	if !s.loaded && s.revision >= completeRevision {
		s.loaded, s.ready = true, true
		n.startWatchCache()
		n.controlRecordsChanged()
	}
	hold := watchTimeout
	if s.revision < completeRevision {
		hold = 0
	}
	n.requestStore(message.StoreRequest{Kind: message.OpWatch, Priority: message.PriorityMembership, Key: record.ControlPrefix, Revision: s.revision, WatchTimeout: hold}, func(d message.StoreResponse) {
		if gen != s.generation {
			return
		}
		switch d.Status {
		case message.StoreOK:
			n.applyControlUpdates(d)
			n.watchControlRecords(gen, completeRevision)
		case message.StoreCompacted:
			s.loaded = false
			n.loadControlRecords()
		default:
			n.after(n.jitter(storeRetryDelay), func() { n.watchControlRecords(gen, completeRevision) })
		}
	})
}

// applyControlUpdates takes in what a watch or a read of ctl/ has brought: all changes after a
// revision that was known. Of two that overlap each change counts once.
func (n *Controller) applyControlUpdates(d message.StoreResponse) {
	s := &n.membership
	changed := false
	for i, it := range d.KeyValues {
		if it.ModRevision > s.revision {
			n.applyControlRecord(it)
			changed = true
			if i+1 == len(d.KeyValues) || d.KeyValues[i+1].ModRevision != it.ModRevision {
				markReassignedTeams(n)
			}
		}
	}
	s.revision = max(s.revision, d.Revision)
	noteRankingKnown(n, d.SentAt)
	if changed && s.loaded {
		n.controlRecordsChanged()
	}
}

// confirmControlRecords calls fn when ctl/ is known as of a moment after this call. What is counted
// against a machine by time alone, as the end of its lease, may count only if the
// machine still was this controller's by then.
func (n *Controller) confirmControlRecords(fn func()) {
	s := &n.membership
	s.confirmWaiters = append(s.confirmWaiters, fn)
	if s.confirming || !s.loaded {
		return
	}
	s.confirming = true
	waiters := s.confirmWaiters
	s.confirmWaiters = nil
	gen := s.generation
	n.requestStore(message.StoreRequest{Kind: message.OpWatch, Priority: message.PriorityMembership, Key: record.ControlPrefix, Revision: s.revision}, func(d message.StoreResponse) {
		s.confirming = false
		if gen != s.generation || d.Status != message.StoreOK {
			// Whoever needs it asks again.
			return
		}
		n.applyControlUpdates(d)
		for _, fn := range waiters {
			fn()
		}
		if next := s.confirmWaiters; len(next) > 0 {
			s.confirmWaiters = nil
			for _, fn := range next {
				n.confirmControlRecords(fn)
			}
		}
	})
}

func (n *Controller) applyControlRecord(it message.KeyValue) {
	s := &n.membership
	value := it.Value
	if it.Deleted {
		value = nil
	}
	var err error
	switch {
	case it.Key == record.DrainKey:
		s.drain = record.Drain{}
		if !it.Deleted {
			record.Decode(it.Value, &s.drain)
		}
	case it.Key == record.LeaderKey:
		s.leader, s.leaderModRevision = record.Leader{}, 0
		if !it.Deleted && record.Decode(it.Value, &s.leader) {
			s.leaderModRevision = it.ModRevision
		}
	case it.Key == record.FormatKey, strings.HasPrefix(it.Key, record.FormatSupportPrefix):
		applyFormatRecord(n, it)
	case it.Key == record.RankingKey:
		applyRankingRecord(n, it)
	case strings.HasPrefix(it.Key, record.ReroutePrefix):
		applyRerouteRecord(n, it)
	case strings.HasPrefix(it.Key, record.MemberPrefix):
		host := strings.TrimPrefix(it.Key, record.MemberPrefix)
		delete(s.controllers, host)
		var r record.Member
		if !it.Deleted && record.Decode(it.Value, &r) {
			s.controllers[host] = r
		}
	case strings.HasPrefix(it.Key, record.ShardPrefix):
		err = s.shardMap.ApplyShard(strings.TrimPrefix(it.Key, record.ShardPrefix), value, it.ModRevision)
	case strings.HasPrefix(it.Key, record.ShardSegmentPrefix):
		err = s.shardMap.ApplySegment(strings.TrimPrefix(it.Key, record.ShardSegmentPrefix), value, it.ModRevision)
	}
	if err != nil {
		n.rejectInput("record", it.Key, err.Error())
	}
}

func (n *Controller) controlRecordsChanged() {
	s := &n.membership
	applyRankingChange(n)
	switch {
	case s.leaderModRevision == 0:
		n.stepDown()
		wait := time.Duration(0)
		switch {
		case s.receivesNothing(n.now):
			// The others first; see partition.go.
			wait = partitionLeadDelay
		case incarnation.OnProbation(n.now, s.startedAt) && n.hasEstablishedPeer():
			// Others have been up for longer, and may be for longer yet.
			wait = recentStartLeadDelay
		}
		if wait == 0 {
			n.claimLeadership()
			break
		}
		n.after(wait, func() {
			if s.leaderModRevision == 0 {
				n.claimLeadership()
			}
		})
	case s.leader.Incarnation == n.incarnation() && s.leaseID != 0:
		n.becomeLeader()
	default:
		n.stepDown()
	}
	n.syncShardLeader()
	advanceFormat(n)
}

func (n *Controller) claimLeadership() {
	s := &n.membership
	if s.claimingLeadership || s.leaseID == 0 || !s.loaded {
		return
	}
	s.claimingLeadership = true
	rec := record.Encode(record.Leader{Host: n.settings.Host, Incarnation: n.incarnation()})
	n.requestStore(message.StoreRequest{Kind: message.OpTxn, Priority: message.PriorityMembership, Compares: []message.Compare{{Key: record.LeaderKey, ModRevision: 0}},
		Writes: []message.Write{{Key: record.LeaderKey, Value: rec, LeaseID: s.leaseID}}}, func(d message.StoreResponse) {
		s.claimingLeadership = false
		switch d.Status {
		case message.StoreOK, message.StoreConflict:
			// The watch will say who has it. If our own unanswered claim did it,
			// the watch says that as well.
		case message.StoreNoLease:
			n.leaseLost("grant ended while claiming the lead")
		default:
			n.after(n.jitter(storeRetryDelay), func() {
				if s.leaderModRevision == 0 {
					n.claimLeadership()
				}
			})
		}
	})
}

// liveMachineOwner is the controller that takes the reports of a machine: its owner, if it
// lives.
func (n *Controller) liveMachineOwner(machine string) string {
	o, ok := n.membership.shardMap.Owner(machine)
	if !ok || !n.membership.loaded || n.membership.controllers[o.Host].Incarnation != o.Incarnation {
		return ""
	}
	return o.Host
}

// ownedMachine says whether a machine is this controller's by the records that it has read,
// and under which epoch.
func (n *Controller) ownedMachine(machine string) (sharding.Owner, bool) {
	o, ok := n.membership.shardMap.Owner(machine)
	return o, ok && o.Host == n.settings.Host && o.Incarnation == n.incarnation() && n.membership.leaseID != 0 && n.membership.loaded
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

package controller

import (
	"time"

	"github.com/micahill/micahill/internal/incarnation"
	"github.com/micahill/micahill/internal/message"
	"github.com/micahill/micahill/internal/record"
	"github.com/micahill/micahill/internal/sharding"
)

const (
	// membershipLeaseTTL is how long a controller that doesn't renew its lease keeps its
	// roles. Short, for a quick failover; several renewals fit in, for late answers.
	membershipLeaseTTL = 4 * time.Second
	// leaseRenewInterval leaves time for two lost renewals within membershipLeaseTTL.
	leaseRenewInterval = time.Second
	// storeRetryDelay separates attempts after the store refused or didn't answer.
	storeRetryDelay = 400 * time.Millisecond
	// watchTimeout is how long a watch stays open without a change.
	watchTimeout = 30 * time.Second
	// storeUnavailableInterval is how often a controller publishes that it doesn't reach the
	// store, and storeUnavailableTTL how long that counts.
	storeUnavailableInterval = time.Second
	storeUnavailableTTL      = 3 * time.Second
	// recentStartLeadDelay is how long a controller that has just started leaves the lead to
	// others: they learn of a vacancy within some milliseconds.
	recentStartLeadDelay = 500 * time.Millisecond
	// storeDownAfter is how long requests to the store must have failed, without a success in
	// between, before users are refused at once instead of being kept waiting.
	storeDownAfter = 1500 * time.Millisecond
)

// membership keeps this controller's place among the others: its lease in the store, its
// record under ctl/ that rests on it, and what all controllers know from ctl/, the leader
// and the shard map among it.
//
// It starts with the first Step and lives as long as the process. While leaseID is 0 this
// controller has no lease and may hold no role: whoever loses the lease gives up both
// roles at once (relinquishRoles), and the next lease is that of a new incarnation.
// Callbacks compare the lease or the generation that they began under, since both may
// have changed meanwhile. Other components read the fields and call the methods at any
// time; what ctl/ says counts only while loaded.
type membership struct {
	component

	started bool
	// startedAt is when this process began.
	startedAt time.Time
	// ready: ctl/ has been read once, so that users can be answered.
	ready bool

	// leaseID is the lease in the store, 0 when there is none.
	leaseID uint64
	// leaseValidUntil: the lease lives until then whatever happens, counted from the
	// sending of the last successful renewal. It may live longer, but this controller
	// can't know.
	leaseValidUntil time.Time
	renewing        bool
	// recordModRevision is the mod revision of this controller's record, 0 when there is
	// none. Writing the record compares it, so that a late write of an earlier
	// incarnation does not replace this one's.
	recordModRevision uint64

	// storeFailingSince is since when the store has answered nothing but errors, zero
	// while it answers; see storeDown.
	storeFailingSince time.Time
	// peersWithoutStore is when each peer last published that it doesn't reach the store.
	peersWithoutStore           map[string]time.Time
	storeUnavailablePublishedAt time.Time

	// What is known from ctl/, as of revision. Records are applied in the order in which
	// the watch brings them and never ahead of it, this controller's own as well, so that
	// all that is read of the shard map belongs together.
	revision uint64
	loaded   bool
	// generation changes when ctl/ is read anew: answers to older requests don't count.
	generation         int
	leader             record.Leader
	leaderModRevision  uint64 // 0 when there is no leader
	claimingLeadership bool
	controllers        map[string]record.Member
	shardMap           *sharding.Map
	drain              record.Drain
	drainModRevision   uint64 // 0 when it was never switched
	formats            formatMigration

	// confirmWaiters wait until ctl/ is known as of a moment after their call; confirming:
	// a read for earlier ones is under way. See confirmControlRecords.
	confirmWaiters []func()
	confirming     bool

	// bumpingEpoch: a segment that names machines again for a higher epoch is being
	// written. Kept here since such a write may outlast the shard leader that sent it.
	bumpingEpoch bool
}

// storeDown says that the store has not answered for a while.
func (m *membership) storeDown(now time.Time) bool {
	return !m.storeFailingSince.IsZero() && now.Sub(m.storeFailingSince) > storeDownAfter
}

// storeDownEverywhere says that all the other controllers have lost the store as well, so that
// a user sent elsewhere fares no better. A controller that is alone with its loss turns
// unhealthy, and so does one that is cut off from its peers. In an outage for all, being taken
// out of and into the load balancer would only cost time.
func (m *membership) storeDownEverywhere(now time.Time) bool {
	for _, p := range m.settings.Peers {
		if at, ok := m.peersWithoutStore[p]; !ok || now.Sub(at) > storeUnavailableTTL {
			return false
		}
	}
	return len(m.settings.Peers) > 0
}

// noteStoreStatus notes whether the store has answered a request.
func (m *membership) noteStoreStatus(status message.StoreStatus) {
	if status != message.StoreUnknown && status != message.StoreRefused {
		m.storeFailingSince = time.Time{}
	} else if m.storeFailingSince.IsZero() {
		m.storeFailingSince = m.now
	}
}

// notePeerWithoutStore notes that a peer has published that it doesn't reach the store.
func (m *membership) notePeerWithoutStore(peer string) { m.peersWithoutStore[peer] = m.now }

// publishStoreUnavailable lets the peers know that this controller doesn't reach the store.
func (m *membership) publishStoreUnavailable() {
	if !m.storeDown(m.now) || m.now.Sub(m.storeUnavailablePublishedAt) < storeUnavailableInterval {
		return
	}
	m.storeUnavailablePublishedAt = m.now
	for _, p := range m.settings.Peers {
		m.emit(message.SendPeerUpdate{To: p, Update: message.PeerUpdate{From: m.settings.Host, StoreUnavailable: true}})
	}
}

// start begins taking part, in the first Step.
func (m *membership) start() {
	m.started, m.startedAt = true, m.now
	m.controllers = map[string]record.Member{}
	m.formats.init()
	m.shardMap = sharding.NewMap()
	// The previous incarnation's lease is revoked at once, whatever this incarnation waits
	// for, so that the others take over its roles.
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

// beginIncarnation calls fn when this incarnation may take part, which after several short
// ones in a row is not at once; see internal/incarnation.
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
		// Nobody waits for this write: if it is lost, the next incarnation waits less.
		rec := record.Encode(record.Incarnation{StartedAt: past.StartedAt.UnixMilli(), ShortLived: past.ShortRuns})
		m.controller.requests.toStore(message.StoreRequest{Kind: message.OpTxn, Priority: message.PriorityMembership, Writes: []message.Write{{Key: key, Value: rec}}}, func(message.StoreResponse) {})
		if wait > 0 {
			m.info("start delayed after short incarnations", "incarnations", past.ShortRuns, "delay", wait)
		}
		m.after(wait, fn)
	})
}

// endPreviousIncarnation revokes the lease of this controller's previous incarnation, whose
// process is over, so that the others need not wait for it to expire. It calls fn when
// recordModRevision is known.
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
				// If the record is still there, registering conflicts and comes back here.
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

// createLease gets a lease, retrying until it has one, and registers under it.
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

// register writes this controller's record under its lease, retrying as long as it has this
// lease. The first time it goes on with reading ctl/.
func (m *membership) register() {
	leaseID := m.leaseID
	key := record.MemberPrefix + m.settings.Host
	rec := record.Encode(record.Member{LeaseID: leaseID, Incarnation: m.incarnation(), ReceivesNothing: m.controller.partition.receivesNothing(m.now), StartedAt: m.startedAt.UnixMilli()})
	m.controller.requests.toStore(message.StoreRequest{Kind: message.OpTxn, Priority: message.PriorityMembership, Compares: []message.Compare{{Key: key, ModRevision: m.recordModRevision}}, Writes: []message.Write{{Key: key, Value: rec, LeaseID: leaseID}}}, func(d message.StoreResponse) {
		if m.leaseID != leaseID {
			return
		}
		switch d.Status {
		case message.StoreConflict:
			// An earlier incarnation's write came late, or this one's own got no answer.
			m.after(m.jitter(storeRetryDelay), func() {
				if m.leaseID == leaseID {
					m.endPreviousIncarnation(func() {
						if m.leaseID == leaseID {
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
			m.leaseLost("lease expired before registration")
		default:
			m.after(m.jitter(storeRetryDelay), func() {
				if m.leaseID == leaseID {
					m.register()
				}
			})
		}
	})
}

// leaseLost gives up all roles at once: the store says that the lease is over, so others may
// have them already.
func (m *membership) leaseLost(reason string) {
	if m.leaseID == 0 {
		return
	}
	m.info("membership lease lost", "reason", reason)
	m.relinquishRoles("membership lease lost")
	m.createLease()
}

// relinquishRoles gives up all roles with the lease that they rest on. Under its next lease
// this process is a new incarnation.
func (m *membership) relinquishRoles(reason string) {
	m.leaseID, m.recordModRevision = 0, 0
	m.beginNextIncarnation()
	m.controller.stepDown()
	m.controller.dropShardLeader(reason)
}

// leaseRenewLoop renews the lease every leaseRenewInterval, one renewal at a time.
func (m *membership) leaseRenewLoop() {
	m.after(leaseRenewInterval, m.leaseRenewLoop)
	if m.leaseID == 0 || m.renewing {
		return
	}
	m.renewing = true
	leaseID := m.leaseID
	m.controller.requests.toStore(message.StoreRequest{Kind: message.OpLeaseRenew, Priority: message.PriorityMembership, LeaseID: leaseID}, func(d message.StoreResponse) {
		m.renewing = false
		if m.leaseID != leaseID {
			return
		}
		switch d.Status {
		case message.StoreOK:
			m.leaseValidUntil = d.SentAt.Add(membershipLeaseTTL)
		case message.StoreNotFound, message.StoreNoLease:
			m.leaseLost("lease expired")
		}
	})
}

// recentlyStarted says that a controller started so lately that it gets no duty that another
// can have.
func (m *membership) recentlyStarted(r record.Member) bool {
	return r.StartedAt != 0 && incarnation.OnProbation(m.now, time.UnixMilli(r.StartedAt))
}

// hasEstablishedPeer says that some other controller has been up for a while and hears
// workers.
func (m *membership) hasEstablishedPeer() bool {
	for h, r := range m.controllers {
		if h != m.settings.Host && !m.recentlyStarted(r) && !r.ReceivesNothing {
			return true
		}
	}
	return false
}

// fromCurrentIncarnation says that an update comes from an incarnation of its sender that
// takes part now, as far as ctl/ is known. What an earlier one sent may come late, and what it
// requested may be in use by now.
func (m *membership) fromCurrentIncarnation(c *message.PeerUpdate) bool {
	r, lives := m.controllers[c.From]
	return lives && r.Incarnation == c.Incarnation
}

// epochBumpStarted notes that a write that bumps epochs is under way, until epochBumpEnded.
func (m *membership) epochBumpStarted() { m.bumpingEpoch = true }

func (m *membership) epochBumpEnded() { m.bumpingEpoch = false }

package controller

import (
	"time"

	"github.com/micahill/micahill/internal/incarnation"
	"github.com/micahill/micahill/internal/message"
	"github.com/micahill/micahill/internal/record"
	"github.com/micahill/micahill/internal/sharding"
)

const (
	// membershipLeaseTTL is how long a controller keeps its roles after it stops renewing its
	// lease. It is short for a quick failover, and long enough for several renewals, since
	// answers may be late.
	membershipLeaseTTL = 4 * time.Second
	// leaseRenewInterval is the time between renewals of the lease. Two renewals may be lost
	// within membershipLeaseTTL.
	leaseRenewInterval = time.Second
	// storeRetryDelay is the time before a request is repeated that the store refused or did not
	// answer.
	storeRetryDelay = 400 * time.Millisecond
	// watchTimeout is how long a watch stays open without a change.
	watchTimeout = 30 * time.Second
	// storeUnavailableInterval is how often a controller that cannot reach the store tells its
	// peers so. storeUnavailableTTL is how long such an update counts.
	storeUnavailableInterval = time.Second
	storeUnavailableTTL      = 3 * time.Second
	// recentStartLeadDelay is how long a controller that has just started waits before it claims
	// vacant leadership, so that an established controller claims it first. Controllers learn of
	// a vacancy within some milliseconds.
	recentStartLeadDelay = 500 * time.Millisecond
	// storeDownAfter is how long all requests to the store must have failed before users'
	// requests are refused at once instead of waiting for the store.
	storeDownAfter = 1500 * time.Millisecond
)

// membership is this controller's registration among the controllers: its lease in the store,
// its record under ctl/ that depends on the lease, and all records under ctl/, among them the
// leader and the shard map.
//
// It starts with the first Step and lives as long as the process. While leaseID is 0 this
// controller has no lease and may hold no role. When it loses the lease, it gives up both roles
// at once (relinquishRoles), and its next lease belongs to a new incarnation. The lease and the
// generation may change while a request is in flight, so a callback compares them with their
// values at the time of the request. Other components read the fields and call the methods at
// any time; the records under ctl/ are valid only while loaded is true.
type membership struct {
	component

	started bool
	// startedAt is when this process started.
	startedAt time.Time
	// ready is set once ctl/ has been read completely; from then on users' requests can be
	// answered.
	ready bool

	// leaseID is the lease in the store, or 0 without one.
	leaseID uint64
	// leaseValidUntil is the time until which the lease is certainly valid, counted from the
	// sending of the last successful renewal. The lease may last longer, but this controller
	// cannot know that.
	leaseValidUntil time.Time
	// renewing is set while a renewal is in flight.
	renewing bool
	// recordModRevision is the mod revision of this controller's record, or 0 if it has none.
	// The write of the record compares it, so that a late write of an earlier incarnation does
	// not replace this incarnation's record.
	recordModRevision uint64

	// storeFailingSince is when the store began to answer with nothing but errors; it is zero
	// while the store answers. See storeDown.
	storeFailingSince time.Time
	// peersWithoutStore is when each peer last reported that it cannot reach the store.
	peersWithoutStore map[string]time.Time
	// storeUnavailablePublishedAt is when this controller last told its peers that it cannot
	// reach the store.
	storeUnavailablePublishedAt time.Time

	// revision is the revision of ctl/ that the records below show. All records, this
	// controller's own included, are applied in the order in which the watch delivers them and
	// never earlier, so that all parts of the shard map are of the same revision. loaded is set
	// while the records are complete.
	revision uint64
	loaded   bool
	// generation changes whenever ctl/ is read anew. Answers to requests of an earlier
	// generation are ignored.
	generation         int
	leader             record.Leader
	leaderModRevision  uint64 // 0 when there is no leader
	claimingLeadership bool
	controllers        map[string]record.Member
	shardMap           *sharding.Map
	drain              record.Drain
	drainModRevision   uint64 // 0 if the drain was never switched
	formats            formatMigration

	// confirmWaiters are called when ctl/ is known as of a time after they were added.
	// confirming is set while a read of ctl/ for earlier waiters is in flight. See
	// confirmControlRecords.
	confirmWaiters []func()
	confirming     bool

	// bumpingEpoch is set while a write is in flight that raises the epoch of machines in a
	// shard segment. It is kept here because such a write may outlast the shard leader that sent
	// it.
	bumpingEpoch bool
}

// storeDown reports whether the store has failed to answer for longer than storeDownAfter.
func (m *membership) storeDown(now time.Time) bool {
	return !m.storeFailingSince.IsZero() && now.Sub(m.storeFailingSince) > storeDownAfter
}

// storeDownEverywhere reports whether all other controllers have lost the store as well, so that
// another controller could not serve a user either. A controller that alone cannot reach the
// store becomes unhealthy, and so does one that is cut off from its peers too. In an outage that
// affects all controllers they stay healthy, since removing them from the load balancer and
// adding them again would only cost time.
func (m *membership) storeDownEverywhere(now time.Time) bool {
	for _, p := range m.settings.Peers {
		if at, ok := m.peersWithoutStore[p]; !ok || now.Sub(at) > storeUnavailableTTL {
			return false
		}
	}
	return len(m.settings.Peers) > 0
}

// noteStoreStatus records whether the store has answered a request.
func (m *membership) noteStoreStatus(status message.StoreStatus) {
	if status != message.StoreUnknown && status != message.StoreRefused {
		m.storeFailingSince = time.Time{}
	} else if m.storeFailingSince.IsZero() {
		m.storeFailingSince = m.now
	}
}

// notePeerWithoutStore records that a peer has reported that it cannot reach the store.
func (m *membership) notePeerWithoutStore(peer string) { m.peersWithoutStore[peer] = m.now }

// publishStoreUnavailable tells the peers that this controller cannot reach the store, once per
// storeUnavailableInterval while the store is down.
func (m *membership) publishStoreUnavailable() {
	if !m.storeDown(m.now) || m.now.Sub(m.storeUnavailablePublishedAt) < storeUnavailableInterval {
		return
	}
	m.storeUnavailablePublishedAt = m.now
	for _, p := range m.settings.Peers {
		m.emit(message.SendPeerUpdate{To: p, Update: message.PeerUpdate{From: m.settings.Host, StoreUnavailable: true}})
	}
}

// start begins the registration of this controller, in the first Step.
func (m *membership) start() {
	m.started, m.startedAt = true, m.now
	m.controllers = map[string]record.Member{}
	m.formats.init()
	m.shardMap = sharding.NewMap()
	// The previous incarnation's lease is revoked at once, even if this incarnation has to wait
	// before it may register, so that other controllers take over the previous incarnation's
	// roles.
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

// beginIncarnation calls fn when this incarnation may register. After several short incarnations
// in a row it waits first; see internal/incarnation.
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
		// Nothing waits for this write. If it is lost, the next incarnation waits for a shorter
		// time.
		rec := record.Encode(record.Incarnation{StartedAt: past.StartedAt.UnixMilli(), ShortLived: past.ShortRuns})
		m.controller.requests.toStore(message.StoreRequest{Kind: message.OpTxn, Priority: message.PriorityMembership, Writes: []message.Write{{Key: key, Value: rec}}}, func(message.StoreResponse) {})
		if wait > 0 {
			m.info("start delayed after short incarnations", "incarnations", past.ShortRuns, "delay", wait)
		}
		m.after(wait, fn)
	})
}

// endPreviousIncarnation revokes the lease of this controller's previous incarnation, whose
// process has ended, so that the other controllers need not wait until the lease expires. It
// calls fn when recordModRevision is known.
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
				// If the record still exists, the registration conflicts and calls
				// endPreviousIncarnation again.
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

// createLease requests a lease until the store grants one, and registers this controller under
// it.
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

// register writes this controller's record under its lease, and retries as long as the
// controller has this lease. After the first success it loads ctl/.
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
			// An earlier incarnation's write arrived late, or this incarnation's own write
			// succeeded and the answer was lost.
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

// leaseLost gives up all roles at once and requests a new lease. The store has reported that the
// lease is over, so other controllers may hold the roles already.
func (m *membership) leaseLost(reason string) {
	if m.leaseID == 0 {
		return
	}
	m.info("membership lease lost", "reason", reason)
	m.relinquishRoles("membership lease lost")
	m.createLease()
}

// relinquishRoles gives up the lease and the roles that depend on it. Under its next lease this
// process is a new incarnation.
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

// recentlyStarted reports whether a controller started so recently that it is given a role only
// if no other controller can take it.
func (m *membership) recentlyStarted(r record.Member) bool {
	return r.StartedAt != 0 && incarnation.OnProbation(m.now, time.UnixMilli(r.StartedAt))
}

// hasEstablishedPeer reports whether another controller has been up for a while and receives
// heartbeats from workers.
func (m *membership) hasEstablishedPeer() bool {
	for h, r := range m.controllers {
		if h != m.settings.Host && !m.recentlyStarted(r) && !r.ReceivesNothing {
			return true
		}
	}
	return false
}

// fromCurrentIncarnation reports whether an update was sent by the current incarnation of its
// sender, according to the records read from ctl/. An update of an earlier incarnation may
// arrive late, and a machine whose release it requests may be in use again.
func (m *membership) fromCurrentIncarnation(c *message.PeerUpdate) bool {
	r, lives := m.controllers[c.From]
	return lives && r.Incarnation == c.Incarnation
}

// epochBumpStarted records that a write that raises epochs is in flight, until epochBumpEnded is
// called.
func (m *membership) epochBumpStarted() { m.bumpingEpoch = true }

// epochBumpEnded records that the write that raises epochs has been answered.
func (m *membership) epochBumpEnded() { m.bumpingEpoch = false }

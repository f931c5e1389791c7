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
	// responses may be late.
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

	// storeFailingSince is since when the store has refused or not answered every request; it is
	// zero while the store answers. See storeDown.
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
	// generation changes whenever ctl/ is read again as a whole. Responses to requests of an
	// earlier generation are ignored.
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
func (membership *membership) storeDown(now time.Time) bool {
	return !membership.storeFailingSince.IsZero() && now.Sub(membership.storeFailingSince) > storeDownAfter
}

// storeDownEverywhere reports whether all other controllers have lost the store as well, so that
// another controller could not serve a user either. A controller that alone cannot reach the
// store becomes unhealthy, and so does one that is cut off from its peers too. In an outage that
// affects all controllers they stay healthy, since removing them from the load balancer and
// adding them again would only cost time.
func (membership *membership) storeDownEverywhere(now time.Time) bool {
	for _, peer := range membership.settings.Peers {
		if at, ok := membership.peersWithoutStore[peer]; !ok || now.Sub(at) > storeUnavailableTTL {
			return false
		}
	}
	return len(membership.settings.Peers) > 0
}

// noteStoreStatus records whether the store has answered a request.
func (membership *membership) noteStoreStatus(status message.StoreStatus) {
	if status != message.StoreUnknown && status != message.StoreRefused {
		membership.storeFailingSince = time.Time{}
	} else if membership.storeFailingSince.IsZero() {
		membership.storeFailingSince = membership.now
	}
}

// notePeerWithoutStore records that a peer has reported that it cannot reach the store.
func (membership *membership) notePeerWithoutStore(peer string) {
	membership.peersWithoutStore[peer] = membership.now
}

// publishStoreUnavailable tells the peers that this controller cannot reach the store, once per
// storeUnavailableInterval while the store is down.
func (membership *membership) publishStoreUnavailable() {
	if !membership.storeDown(membership.now) || membership.now.Sub(membership.storeUnavailablePublishedAt) < storeUnavailableInterval {
		return
	}
	membership.storeUnavailablePublishedAt = membership.now
	for _, peer := range membership.settings.Peers {
		membership.emit(message.SendPeerUpdate{To: peer, Update: message.PeerUpdate{From: membership.settings.Host, StoreUnavailable: true}})
	}
}

// start begins the registration of this controller, in the first Step.
func (membership *membership) start() {
	membership.started, membership.startedAt = true, membership.now
	membership.controllers = map[string]record.Member{}
	membership.formats.init()
	membership.shardMap = sharding.NewMap()
	// The previous incarnation's lease is revoked at once, even if this incarnation has to wait
	// before it may register, so that other controllers take over the previous incarnation's
	// roles.
	ended, waited := false, false
	begin := func() {
		if ended && waited {
			membership.createLease()
		}
	}
	membership.endPreviousIncarnation(func() {
		ended = true
		begin()
	})
	membership.beginIncarnation(func() {
		waited = true
		begin()
	})
	membership.leaseRenewLoop()
	membership.controller.loadMachineTypes()
	membership.controller.promises.start()
	membership.controller.rateLimits.publishRates()
}

// beginIncarnation calls fn when this incarnation may register. After several short incarnations
// in a row it waits first; see internal/incarnation.
func (membership *membership) beginIncarnation(fn func()) {
	key := record.IncarnationPrefix + membership.settings.Host
	membership.controller.requests.toStore(message.StoreRequest{Kind: message.OpGet, Priority: message.PriorityMembership, Key: key}, func(response message.StoreResponse) {
		if response.Status != message.StoreOK && response.Status != message.StoreNotFound {
			membership.after(membership.jitter(storeRetryDelay), func() { membership.beginIncarnation(fn) })
			return
		}
		var stored record.Incarnation
		known := response.Status == message.StoreOK && len(response.KeyValues) == 1 && record.Decode(response.KeyValues[0].Value, &stored)
		past, wait := incarnation.Start(membership.now, incarnation.History{StartedAt: time.UnixMilli(stored.StartedAt), ShortRuns: stored.ShortLived}, known)
		// Nothing waits for this write. If it is lost, the next incarnation waits for a shorter
		// time.
		rec := record.Encode(record.Incarnation{StartedAt: past.StartedAt.UnixMilli(), ShortLived: past.ShortRuns})
		membership.controller.requests.toStore(message.StoreRequest{Kind: message.OpTxn, Priority: message.PriorityMembership, Writes: []message.Write{{Key: key, Value: rec}}}, func(message.StoreResponse) {})
		if wait > 0 {
			membership.info("start delayed after short incarnations", "incarnations", past.ShortRuns, "delay", wait)
		}
		membership.after(wait, fn)
	})
}

// endPreviousIncarnation revokes the lease of this controller's previous incarnation, whose
// process has ended, so that the other controllers need not wait until the lease expires. It
// calls fn when recordModRevision is known.
func (membership *membership) endPreviousIncarnation(fn func()) {
	membership.controller.requests.toStore(message.StoreRequest{Kind: message.OpGet, Priority: message.PriorityMembership, Key: record.MemberPrefix + membership.settings.Host}, func(response message.StoreResponse) {
		switch response.Status {
		case message.StoreOK:
			var old record.Member
			if !record.Decode(response.KeyValues[0].Value, &old) || old.Incarnation == membership.incarnation() {
				membership.recordModRevision = response.KeyValues[0].ModRevision
				fn()
				return
			}
			membership.controller.requests.toStore(message.StoreRequest{Kind: message.OpLeaseRevoke, Priority: message.PriorityMembership, LeaseID: old.LeaseID}, func(message.StoreResponse) {
				// If the record still exists, the registration conflicts and calls
				// endPreviousIncarnation again.
				membership.recordModRevision = 0
				fn()
			})
		case message.StoreNotFound:
			membership.recordModRevision = 0
			fn()
		default:
			membership.after(membership.jitter(storeRetryDelay), func() { membership.endPreviousIncarnation(fn) })
		}
	})
}

// createLease requests a lease until the store grants one, and registers this controller under
// it.
func (membership *membership) createLease() {
	membership.controller.requests.toStore(message.StoreRequest{Kind: message.OpLeaseGrant, Priority: message.PriorityMembership, TTL: membershipLeaseTTL}, func(response message.StoreResponse) {
		if response.Status != message.StoreOK {
			membership.after(membership.jitter(storeRetryDelay), membership.createLease)
			return
		}
		membership.leaseID = response.LeaseID
		membership.leaseValidUntil = response.SentAt.Add(membershipLeaseTTL)
		membership.register()
	})
}

// register writes this controller's record under its lease, and retries as long as the
// controller has this lease. After the first success it loads ctl/.
func (membership *membership) register() {
	leaseID := membership.leaseID
	key := record.MemberPrefix + membership.settings.Host
	rec := record.Encode(record.Member{LeaseID: leaseID, Incarnation: membership.incarnation(), ReceivesNothing: membership.controller.partition.isStandingDown(membership.now), StartedAt: membership.startedAt.UnixMilli()})
	membership.controller.requests.toStore(message.StoreRequest{Kind: message.OpTxn, Priority: message.PriorityMembership, Compares: []message.Compare{{Key: key, ModRevision: membership.recordModRevision}}, Writes: []message.Write{{Key: key, Value: rec, LeaseID: leaseID}}}, func(response message.StoreResponse) {
		if membership.leaseID != leaseID {
			return
		}
		switch response.Status {
		case message.StoreConflict:
			// An earlier incarnation's write arrived late, or this incarnation's own write
			// succeeded and the response was lost.
			membership.after(membership.jitter(storeRetryDelay), func() {
				if membership.leaseID == leaseID {
					membership.endPreviousIncarnation(func() {
						if membership.leaseID == leaseID {
							membership.register()
						}
					})
				}
			})
		case message.StoreOK:
			membership.recordModRevision = response.Revision
			if !membership.loaded {
				membership.loadControlRecords()
			}
		case message.StoreNoLease:
			membership.leaseLost("lease expired before registration")
		default:
			membership.after(membership.jitter(storeRetryDelay), func() {
				if membership.leaseID == leaseID {
					membership.register()
				}
			})
		}
	})
}

// leaseLost gives up all roles at once and requests a new lease. The store has reported that the
// lease is over, so other controllers may hold the roles already.
func (membership *membership) leaseLost(reason string) {
	if membership.leaseID == 0 {
		return
	}
	membership.info("membership lease lost", "reason", reason)
	membership.relinquishRoles("membership lease lost")
	membership.createLease()
}

// relinquishRoles gives up the lease and the roles that depend on it. Under its next lease this
// process is a new incarnation.
func (membership *membership) relinquishRoles(reason string) {
	membership.leaseID, membership.recordModRevision = 0, 0
	membership.beginNextIncarnation()
	membership.controller.stepDown()
	membership.controller.dropShardLeader(reason)
}

// leaseRenewLoop renews the lease every leaseRenewInterval, one renewal at a time.
func (membership *membership) leaseRenewLoop() {
	membership.after(leaseRenewInterval, membership.leaseRenewLoop)
	if membership.leaseID == 0 || membership.renewing {
		return
	}
	membership.renewing = true
	leaseID := membership.leaseID
	membership.controller.requests.toStore(message.StoreRequest{Kind: message.OpLeaseRenew, Priority: message.PriorityMembership, LeaseID: leaseID}, func(response message.StoreResponse) {
		membership.renewing = false
		if membership.leaseID != leaseID {
			return
		}
		switch response.Status {
		case message.StoreOK:
			membership.leaseValidUntil = response.SentAt.Add(membershipLeaseTTL)
		case message.StoreNotFound, message.StoreNoLease:
			membership.leaseLost("lease expired")
		}
	})
}

// recentlyStarted reports whether a controller started so recently that it is given a role only
// if no other controller can take it.
func (membership *membership) recentlyStarted(member record.Member) bool {
	return member.StartedAt != 0 && incarnation.OnProbation(membership.now, time.UnixMilli(member.StartedAt))
}

// hasEstablishedPeer reports whether another controller has been up for a while and receives
// heartbeats from workers.
func (membership *membership) hasEstablishedPeer() bool {
	for host, member := range membership.controllers {
		if host != membership.settings.Host && !membership.recentlyStarted(member) && !member.ReceivesNothing {
			return true
		}
	}
	return false
}

// fromCurrentIncarnation reports whether an update was sent by the current incarnation of its
// sender, according to the records read from ctl/. An update of an earlier incarnation may
// arrive late, and a machine whose release it requests may be in use again.
func (membership *membership) fromCurrentIncarnation(update *message.PeerUpdate) bool {
	member, lives := membership.controllers[update.From]
	return lives && member.Incarnation == update.Incarnation
}

// epochBumpStarted records that a write that raises epochs is in flight, until epochBumpEnded is
// called.
func (membership *membership) epochBumpStarted() { membership.bumpingEpoch = true }

// epochBumpEnded records that the write that raises epochs has been answered.
func (membership *membership) epochBumpEnded() { membership.bumpingEpoch = false }

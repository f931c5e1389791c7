package controller

import (
	"time"

	"github.com/micahill/micahill/internal/exchange"
	"github.com/micahill/micahill/internal/message"
	"github.com/micahill/micahill/internal/migration"
)

const (
	// leaderPeriod is the interval between ticks of the leader, in which it reviews the fleet.
	leaderPeriod = time.Second
	// updateTTL is how long an update between the leader and a shard leader counts after it
	// arrives.
	updateTTL = 4 * time.Second
)

// leader is the cluster leader's part of a controller. Only the leader sends requests for
// machines to the cloud: it lists, rents and releases them. It also assigns machines and teams
// to shards, and arranges the exchange of machines between shard leaders and the evacuation of
// hosts for other shard leaders.
//
// A leader exists only while the record at record.LeaderKey names this controller. Otherwise
// Controller.leader is nil, and the methods may not be called. A callback may run after the
// leader was replaced, so it compares the generation before it acts, and calls methods of the
// current leader.
//
// Invariants: writes to the store compare modRevision, so that no write of a deposed leader is
// applied; requests to the cloud carry the end of the membership lease as their deadline; and
// the leader decides nothing before the first complete list of machines, or once the lease may
// have expired.
//
// A failover transfers no state. A new leader learns the machines from the cloud's lists, the
// machines' owners from the shard map, and the needs of shard leaders from their updates.
type leader struct {
	component

	// modRevision is the mod revision of the record that names this controller. generation
	// distinguishes this leader from earlier ones of the same process.
	modRevision uint64
	generation  int

	// wakeAt is when tick must run next. lastScan is when it last reviewed the fleet, and
	// lastLogged when it last logged a summary of the fleet.
	wakeAt     time.Time
	lastScan   time.Time
	lastLogged time.Time

	// rentals holds the known machines by ID. Until hasListed is set they may be incomplete.
	rentals      map[string]*rental
	hasListed    bool
	listInFlight bool
	lastListAt   time.Time
	// unlistedSince holds the machines that the shard map names and the cloud's lists do not
	// contain, with the time from which they were missing.
	unlistedSince map[string]time.Time

	// blockedUntil is the time until which no machine of a kind is requested, after the cloud
	// refused one.
	blockedUntil map[machineKind]time.Time
	// bookingsInFlight holds the idempotency keys of bookings without an answer, and
	// pendingRentals the number of machines that these bookings request. bookingSeq numbers the
	// keys.
	bookingsInFlight map[string]bool
	pendingRentals   map[bookingKey]int
	bookingSeq       uint64
	// confirmedReleases holds the machines whose release the cloud has confirmed to this leader.
	// The cloud's lists lag and may still contain them.
	confirmedReleases map[string]bool

	// updates holds the last update of each shard leader, by host.
	updates map[string]receivedUpdate
	// seq numbers the updates to shard leaders. ackedSeq is the last number that each shard
	// leader has received. A shard leader's capacity requests count only once it has received
	// the update requiredSeq, which tells it what was last rented for it.
	seq         uint64
	ackedSeq    map[string]uint64
	requiredSeq map[string]uint64
	// publishTurn selects the machines that are published although nothing about them has
	// changed.
	publishTurn int

	// sharding plans which machines and teams belong to which shard.
	sharding shardPlanning
	// handedOverAt holds the machines that were handed over within the last handoverCooldown, by
	// ID.
	handedOverAt map[string]time.Time
	// ownHandoverAt is when a machine was last handed over to this controller's own shard. Its
	// requests of before do not count that machine.
	ownHandoverAt time.Time
	// transferQuota limits how many machines in use are transferred for each team.
	transferQuota exchange.TransferQuota
	// evacuations are the hosts that shard leaders are asked to evacuate for other shard
	// leaders.
	evacuations migration.Evacuations
}

// receivedUpdate is the last update of a shard leader and the time at which it arrived.
type receivedUpdate struct {
	receivedAt time.Time
	update     message.PeerUpdate
}

// bookingKey identifies the shard leader and the kind of machine of a booking.
type bookingKey struct {
	owner       string
	machineKind machineKind
}

// newLeader returns a leader that knows no machines yet.
func newLeader(controller *Controller) *leader {
	return &leader{
		component:   component{environment: controller.environment, controller: controller},
		modRevision: controller.membership.leaderModRevision, generation: int(controller.nextID()),
		rentals: map[string]*rental{}, unlistedSince: map[string]time.Time{},
		blockedUntil: map[machineKind]time.Time{}, bookingsInFlight: map[string]bool{}, pendingRentals: map[bookingKey]int{}, confirmedReleases: map[string]bool{},
		updates: map[string]receivedUpdate{}, ackedSeq: map[string]uint64{}, requiredSeq: map[string]uint64{},
		sharding: newShardPlanning(controller), handedOverAt: map[string]time.Time{},
	}
}

// becomeLeader makes this controller the leader under the current leader record. If it already
// is, it only plans the shards.
func (controller *Controller) becomeLeader() {
	if controller.leader != nil && controller.leader.modRevision == controller.membership.leaderModRevision {
		controller.leader.planShards()
		return
	}
	controller.leader = newLeader(controller)
	controller.info("leadership gained", "mod_revision", controller.membership.leaderModRevision)
	controller.leader.planShards()
}

// stepDown gives up leadership.
func (controller *Controller) stepDown() {
	if controller.leader != nil {
		controller.info("leadership lost")
		controller.leader = nil
	}
}

// receiveUpdate stores the update of a shard leader. If the update comes from a new incarnation
// of the shard leader, all of its machines are published again, since the new incarnation knows
// nothing of what was published to the former one.
func (leader *leader) receiveUpdate(now time.Time, update message.PeerUpdate) {
	if leader.updates[update.From].update.Incarnation != update.Incarnation {
		delete(leader.ackedSeq, update.From)
		for _, rental := range leader.rentals {
			if rental.publishedTo == update.From {
				rental.publishedTo = ""
			}
		}
	}
	leader.updates[update.From] = receivedUpdate{receivedAt: now, update: update}
}

// freshUpdate returns the last update of a host, and whether that update is recent and was sent
// by the current incarnation of the host. The current incarnation may need what a former one did
// not.
func (leader *leader) freshUpdate(host string) (receivedUpdate, bool) {
	received, ok := leader.updates[host]
	return received, ok && leader.now.Sub(received.receivedAt) <= updateTTL && leader.controller.membership.fromCurrentIncarnation(&received.update)
}

// tick performs the periodic duties of the leader once per leaderPeriod.
func (leader *leader) tick() {
	if leader.now.Sub(leader.lastScan) < leaderPeriod {
		leader.wakeAt = leader.lastScan.Add(leaderPeriod)
		return
	}
	leader.lastScan = leader.now
	leader.wakeAt = leader.now.Add(leaderPeriod)
	leader.controller.ranking.derive()
	if !leader.listInFlight && leader.now.Sub(leader.lastListAt) >= leader.listInterval() {
		leader.listMachines("", nil)
	}
	for id, rental := range leader.rentals {
		if !rental.releasedAt.IsZero() && leader.now.Sub(rental.releasedAt) > 2*updateTTL {
			delete(leader.rentals, id)
		}
	}
	// To a leader that is cut off every machine seems unresponsive. The releases that it
	// requests are delayed on the way and executed when the partition ends, under a successor
	// that uses the machines. So the leader decides nothing unless its lease is certainly valid.
	if !leader.hasListed || leader.now.After(leader.controller.membership.leaseValidUntil) {
		return
	}
	leader.applyUpdates()
	leader.planShards()
	leader.exchangeMachines()
	leader.publishRentals()
	if leader.controller.shardLeader != nil && leader.now.Sub(leader.lastLogged) >= fleetLogInterval {
		leader.lastLogged = leader.now
		leader.logFleet()
	}
}

// applyUpdates applies what the shard leaders, including the one on this controller, need and
// offer.
func (leader *leader) applyUpdates() {
	for _, host := range sortedKeys(leader.updates) {
		received, ok := leader.freshUpdate(host)
		if !ok {
			continue
		}
		leader.ackedSeq[host] = max(leader.ackedSeq[host], received.update.Seq)
		for _, offer := range received.update.Offers {
			leader.sharding.offers[offer.Team] = offer
		}
		if received.receivedAt.After(leader.lastScan.Add(-leaderPeriod)) {
			leader.recordTeamLoads(received.update.TeamLoads)
		}
	}
	if shardLeader := leader.controller.shardLeader; shardLeader != nil && shardLeader.ready {
		leader.applyOwnUpdate()
	}
}

package controller

import (
	"time"

	"github.com/micahill/micahill/internal/exchange"
	"github.com/micahill/micahill/internal/message"
	"github.com/micahill/micahill/internal/migration"
)

const (
	// leaderPeriod is how often the leader looks at the fleet.
	leaderPeriod = time.Second
	// updateTTL is how long a shard leader's requests and the leader's view of machines count.
	updateTTL = 4 * time.Second
)

// leader is the cluster leader's part of a controller. It owns all dealings with the cloud (it
// lists, rents and releases machines), assigns machines and teams to shards, and arranges the
// exchange of machines and the evacuation of hosts between shard leaders.
//
// It exists only while the record at record.LeaderKey names this controller: Controller.leader is
// nil otherwise, and its methods may be called only while it is not. A callback may run after the
// leader was replaced, so it compares generation before it acts, and calls the leader that is there.
//
// Invariants: what it writes to the store names modRevision, so that nothing of a deposed leader is
// applied; requests to the cloud carry the end of the membership lease as deadline; and nothing is
// decided before the first complete list, or after the lease may have expired.
//
// At failover nothing of it is handed over. A new leader learns the machines from the cloud's lists,
// their owners from the shard map, and what shard leaders need from their updates.
type leader struct {
	component

	// modRevision is that of the record that names this controller, generation tells this leader
	// from earlier ones of the same process.
	modRevision uint64
	generation  int

	// wakeAt is when tick has something to do next.
	wakeAt     time.Time
	lastScan   time.Time
	lastLogged time.Time

	// rentals are the machines known, by ID. Until hasListed they may be incomplete.
	rentals      map[string]*rental
	hasListed    bool
	listInFlight bool
	lastListAt   time.Time
	// unlistedSince are the machines that the shard map names and the cloud's lists don't show.
	unlistedSince map[string]time.Time

	// blockedUntil is until when no machine of a kind is requested, after the cloud refused one.
	blockedUntil map[machineKind]time.Time
	// bookingsInFlight has the idempotency keys of the bookings without an answer, pendingRentals
	// the machines requested in them. bookingSeq numbers the keys.
	bookingsInFlight map[string]bool
	pendingRentals   map[bookingKey]int
	bookingSeq       uint64
	// confirmedReleases are the machines whose release the cloud has confirmed to this leader.
	// Lists, which lag, may go on naming them.
	confirmedReleases map[string]bool

	// updates holds the last update of each shard leader, by host.
	updates map[string]receivedUpdate
	// seq numbers the updates to shard leaders, and ackedSeq has the last that each has received.
	// The capacity requests of one count only when it knows what was rented for it last, that
	// is, from requiredSeq on.
	seq         uint64
	ackedSeq    map[string]uint64
	requiredSeq map[string]uint64
	// publishTurn selects the machines that are published though nothing changed.
	publishTurn int

	sharding shardPlanning
	// handedOverAt has the machines that were handed over within handoverCooldown, by ID.
	handedOverAt map[string]time.Time
	// transferQuota bounds the transfers of machines in use to each team.
	transferQuota exchange.TransferQuota
	// evacuations are the hosts that shard leaders are asked to empty for others.
	evacuations migration.Evacuations
}

// receivedUpdate is the last update of a shard leader.
type receivedUpdate struct {
	receivedAt time.Time
	update     message.PeerUpdate
}

// bookingKey identifies what is being rented for a shard leader.
type bookingKey struct {
	owner       string
	machineKind machineKind
}

// newLeader returns a leader that knows no machine yet.
func newLeader(c *Controller) *leader {
	return &leader{
		component:   component{environment: c.environment, controller: c},
		modRevision: c.membership.leaderModRevision, generation: int(c.nextID()),
		rentals: map[string]*rental{}, unlistedSince: map[string]time.Time{},
		blockedUntil: map[machineKind]time.Time{}, bookingsInFlight: map[string]bool{}, pendingRentals: map[bookingKey]int{}, confirmedReleases: map[string]bool{},
		updates: map[string]receivedUpdate{}, ackedSeq: map[string]uint64{}, requiredSeq: map[string]uint64{},
		sharding: newShardPlanning(c), handedOverAt: map[string]time.Time{},
	}
}

// becomeLeader takes up leadership, unless this controller leads under the present record already.
func (c *Controller) becomeLeader() {
	if c.leader != nil && c.leader.modRevision == c.membership.leaderModRevision {
		c.leader.planShards()
		return
	}
	c.leader = newLeader(c)
	c.info("leadership gained", "mod_revision", c.membership.leaderModRevision)
	c.leader.planShards()
}

// stepDown gives up leadership.
func (c *Controller) stepDown() {
	if c.leader != nil {
		c.info("leadership lost")
		c.leader = nil
	}
}

// receiveUpdate takes in the update of a shard leader. A new incarnation of it knows nothing of what
// was published to the former one.
func (l *leader) receiveUpdate(now time.Time, update message.PeerUpdate) {
	if l.updates[update.From].update.Incarnation != update.Incarnation {
		delete(l.ackedSeq, update.From)
		for _, r := range l.rentals {
			if r.publishedTo == update.From {
				r.publishedTo = ""
			}
		}
	}
	l.updates[update.From] = receivedUpdate{receivedAt: now, update: update}
}

// freshUpdate returns the last update of a host, and whether it is recent and of the host's present
// incarnation: what a former one did not need, the present one may.
func (l *leader) freshUpdate(host string) (receivedUpdate, bool) {
	w, ok := l.updates[host]
	return w, ok && l.now.Sub(w.receivedAt) <= updateTTL && l.controller.membership.fromCurrentIncarnation(&w.update)
}

// tick does once a leaderPeriod what the leader does by itself.
func (l *leader) tick() {
	if l.now.Sub(l.lastScan) < leaderPeriod {
		l.wakeAt = l.lastScan.Add(leaderPeriod)
		return
	}
	l.lastScan = l.now
	l.wakeAt = l.now.Add(leaderPeriod)
	l.controller.ranking.derive()
	if !l.listInFlight && l.now.Sub(l.lastListAt) >= l.listInterval() {
		l.listMachines("", nil)
	}
	for id, r := range l.rentals {
		if !r.releasedAt.IsZero() && l.now.Sub(r.releasedAt) > 2*updateTTL {
			delete(l.rentals, id)
		}
	}
	// To a leader that is cut off every machine seems unresponsive, and the releases that it
	// requests are held up on the way and executed when the cut ends, under a successor
	// that uses the machines. So nothing is decided unless the lease is surely valid.
	if !l.hasListed || l.now.After(l.controller.membership.leaseValidUntil) {
		return
	}
	l.applyUpdates()
	l.planShards()
	l.exchangeMachines()
	l.publishRentals()
	if l.controller.shardLeader != nil && l.now.Sub(l.lastLogged) >= fleetLogInterval {
		l.lastLogged = l.now
		l.logFleet()
	}
}

// applyUpdates takes in what the shard leaders, this controller's included, need and offer.
func (l *leader) applyUpdates() {
	for _, host := range sortedKeys(l.updates) {
		w, ok := l.freshUpdate(host)
		if !ok {
			continue
		}
		l.ackedSeq[host] = max(l.ackedSeq[host], w.update.Seq)
		for _, x := range w.update.Offers {
			l.sharding.offers[x.Team] = x
		}
		if w.receivedAt.After(l.lastScan.Add(-leaderPeriod)) {
			l.recordTeamLoads(w.update.TeamLoads)
		}
	}
	if s := l.controller.shardLeader; s != nil && s.ready {
		l.applyOwnUpdate()
	}
}

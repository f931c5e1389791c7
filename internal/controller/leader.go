package controller

import (
	"time"

	"github.com/micahill/micahill/internal/message"
	"github.com/micahill/micahill/internal/migration"
)

type receivedUpdate struct {
	receivedAt time.Time
	update     message.PeerUpdate
}

// receiveUpdate takes in what an owner asks. Another life of it knows nothing of what its
// former one was told.
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

// freshUpdate is an owner's word, if it is fresh and of the life that takes part now: what a
// former one did not need, the present one may.
func (l *leader) freshUpdate(host string) (receivedUpdate, bool) {
	w, ok := l.updates[host]
	return w, ok && l.now.Sub(w.receivedAt) <= updateTTL && l.controller.membership.fromCurrentIncarnation(&w.update)
}

// bookingKey is a booking under way for an owner.
type bookingKey struct {
	owner       string
	machineKind machineKind
}

// leader owns the dealings with the cloud and writes the shares.
type leader struct {
	component

	modRevision    uint64
	gen            int
	wakeAt         time.Time
	lastScan       time.Time
	lastLogged     time.Time
	rentals        map[string]*rental
	hasListed      bool
	listInFlight   bool
	lastListAt     time.Time
	blockedUntil   map[machineKind]time.Time
	pendingRentals map[bookingKey]int
	// confirmedReleases are machines whose return this leader has had answered; late lists
	// go on naming them.
	confirmedReleases map[string]bool
	// booking names the requests to rent that are not answered yet.
	booking map[string]bool
	// seq numbers what the owners are told; an owner's wishes count only when
	// it knows of what was rented for it last, which is requiredSeq.
	seq         uint64
	requiredSeq map[string]uint64
	bookingSeq  uint64
	updates     map[string]receivedUpdate
	sharding    shardPlanning
	// publishTurn says which machines the owners are told of next, and acked up to which
	// of its news each has them all.
	publishTurn int
	ackedSeq    map[string]uint64
	// handedOverAt is when a machine was last handed over.
	handedOverAt map[string]time.Time
	// evacuations are the hosts that owners are asked to empty for others.
	evacuations migration.Evacuations
	// unlistedSince are machines that records name and lists do not show, since when.
	unlistedSince map[string]time.Time
}

// newLeader makes a leader that knows no machine yet.
func newLeader(c *Controller) *leader {
	return &leader{
		component:   component{environment: c.environment, controller: c},
		modRevision: c.membership.leaderModRevision, gen: int(c.nextID()),
		rentals: map[string]*rental{}, blockedUntil: map[machineKind]time.Time{}, pendingRentals: map[bookingKey]int{}, booking: map[string]bool{}, requiredSeq: map[string]uint64{},
		updates: map[string]receivedUpdate{}, confirmedReleases: map[string]bool{}, ackedSeq: map[string]uint64{}, unlistedSince: map[string]time.Time{}, handedOverAt: map[string]time.Time{}, sharding: newShardPlanning(c),
	}
}

func (c *Controller) becomeLeader() {
	if c.leader != nil && c.leader.modRevision == c.membership.leaderModRevision {
		c.leader.planShards()
		return
	}
	c.leader = newLeader(c)
	c.info("leader", "stamp", c.membership.leaderModRevision)
	c.leader.planShards()
}

func (c *Controller) stepDown() {
	if c.leader != nil {
		c.info("leader no more")
		c.leader = nil
	}
}

func (l *leader) tick() {
	if l.now.Sub(l.lastScan) < leaderPeriod {
		l.wakeAt = l.lastScan.Add(leaderPeriod)
		return
	}
	l.lastScan = l.now
	l.wakeAt = l.now.Add(leaderPeriod)
	deriveRanking(l.controller)
	if !l.listInFlight && l.now.Sub(l.lastListAt) >= l.listInterval() {
		l.listMachines("", nil)
	}
	for id, r := range l.rentals {
		if !r.releasedAt.IsZero() && l.now.Sub(r.releasedAt) > 2*updateTTL {
			delete(l.rentals, id)
		}
	}
	// A leader that is cut off finds every machine silent, and the returns it
	// asks for are held on the way and executed when the cut ends, under a
	// successor that uses the machines. So nothing is decided unless the
	// grant surely lives.
	if !l.hasListed || l.now.After(l.controller.membership.leaseValidUntil) {
		return
	}
	for _, host := range sortedKeys(l.updates) {
		if w, ok := l.freshUpdate(host); ok {
			l.ackedSeq[host] = max(l.ackedSeq[host], w.update.Seq)
			for _, x := range w.update.Offers {
				l.sharding.offers[x.Team] = x
			}
			if w.receivedAt.After(l.lastScan.Add(-leaderPeriod)) {
				l.recordTeamLoads(w.update.TeamLoads)
			}
		}
	}
	if o := l.controller.shardLeader; o != nil && o.ready {
		l.applyOwnUpdate()
	}
	l.planShards()
	l.exchangeMachines()
	l.publishRentals()
	if l.controller.shardLeader != nil && l.now.Sub(l.lastLogged) >= fleetLogInterval {
		l.lastLogged = l.now
		l.logFleet()
	}
}

package controller

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"github.com/micahill/micahill/internal/message"
	"github.com/micahill/micahill/internal/migration"
	"github.com/micahill/micahill/internal/model"
	"github.com/micahill/micahill/internal/sharding"
)

const (
	// leaderPeriod is how often the leader looks at the fleet.
	leaderPeriod = time.Second
	// machineTypesInterval is how often prices are read again.
	machineTypesInterval = 30 * time.Second
	// refusedBackoff keeps from asking again at once for a kind of machine the
	// cloud has just refused.
	refusedBackoff = 12 * time.Second
	// maxRentPerRequest and maxReleasePerRequest are the cloud's limits for one request.
	maxRentPerRequest    = 50
	maxReleasePerRequest = 100
	// settleTime after a takeover: nobody is taken for silent or idle before.
	settleTime = 8 * time.Second
)

type machineKind struct {
	machineType string
	zone        string
	spot        bool
}

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

// updateTTL is how long an owner's wishes and a leader's view hold.
const updateTTL = 4 * time.Second

// bookingKey is a booking under way for an owner.
type bookingKey struct {
	owner       string
	machineKind machineKind
}

// fleetView is what an owner knows of its machines from the leader.
type fleetView struct {
	leaderHost     string
	incarnation    string
	seq            uint64
	receivedAt     time.Time
	rentals        map[string]*rental
	blockedUntil   map[machineKind]time.Time
	pendingRentals map[machineKind]int
	// surplus is what other owners have to spare.
	surplus map[machineKind]int
}

// rental is a machine as the cloud knows it.
type rental struct {
	machineKind
	id         string
	addr       string
	rentedAt   time.Time
	status     string
	releasing  bool
	lastListed time.Time
	// publishedTo, publishedStatus and publishedSeq are which owner was last told what of it, and by
	// which news; told is when an owner was told of it.
	publishedTo, publishedStatus string
	publishedSeq                 uint64
	publishedAt                  time.Time
	// handedOverAt is when it was last handed over to another owner.
	handedOverAt time.Time
	// releasedAt is when its return was answered; kept a while for its owner to hear.
	releasedAt time.Time
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

func (c *Controller) loadMachineTypes() {
	c.requests.toCloud(message.CloudRequest{Kind: message.CloudListTypes}, func(d message.CloudResponse) {
		if d.Status == message.CloudOK {
			c.knowledge.machineTypes = map[string]model.MachineType{}
			for _, f := range d.MachineTypes {
				c.knowledge.machineTypes[f.Name] = f
			}
			if c.shardLeader != nil {
				for _, m := range c.shardLeader.machines {
					if f, ok := c.knowledge.machineTypes[m.machineType]; ok {
						m.size, m.disk = f.Capacity, f.DiskGB
					}
				}
			}
			c.after(c.jitter(machineTypesInterval), c.loadMachineTypes)
			return
		}
		c.after(c.jitter(time.Second), c.loadMachineTypes)
	})
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

// listPageSize is about how many machines the cloud lists in one answer.
const listPageSize = 500

// listInterval is how often the machines are listed: the longer the list the more
// seldom, since it is late in any case, and costs a request for each page.
func (l *leader) listInterval() time.Duration {
	return max(l.settings.CloudListLag/2, 2*time.Second) * time.Duration(1+len(l.rentals)/listPageSize)
}

// bookingBudget is how many requests to rent may be sent in one look: half of the
// cloud's limit, since lists, returns and prices need some as well.
func (l *leader) bookingBudget() int {
	return max(1, int(l.settings.CloudRequestsPerSecond/2*leaderPeriod.Seconds()))
}

// ownerOf is whose machine it is, by the records.
func (l *leader) ownerOf(id string) string {
	if o, ok := l.controller.membership.shardMap.Owner(id); ok {
		return o.Host
	}
	return ""
}

// confirmReleased tells the owner of a machine that its return was answered before it
// came to this owner.
func (l *leader) confirmReleased(id, host string) {
	if host == l.settings.Host {
		if m := l.controller.shardLeader.machines[id]; m != nil {
			l.controller.dropMachine(m, "returned")
		}
		return
	}
	r := l.rentals[id]
	if r == nil {
		r = &rental{id: id}
		l.rentals[id] = r
	}
	r.releasedAt = l.now
}

// isRentedForOther says that a machine was rented for another controller, whose record is
// being written: it is not to be given work before.
func (c *Controller) isRentedForOther(id string) bool {
	if c.leader == nil {
		return false
	}
	r, ok := c.leader.sharding.unrecordedMachines[id]
	return ok && r.Host != c.settings.Host
}

// assignedHost is whose machine it is or is about to be.
func (l *leader) assignedHost(id string) string {
	if r, ok := l.sharding.unrecordedMachines[id]; ok {
		return r.Host
	}
	return l.ownerOf(id)
}

// maxRentalsPerUpdate bounds the machines in one news.
const maxRentalsPerUpdate = 3000

// publishTurns is in how many turns, a second each, an owner is told of all its machines;
// of what has changed it is told at once, and until it has shown that it knows.
const publishTurns = 5

// publishRentals tells the other owners of their machines.
func (l *leader) publishRentals() {
	othersNeeds, empty := l.assignEvacuations()
	updates := map[string]*message.PeerUpdate{}
	for _, x := range l.controller.membership.shardMap.Shards() {
		if x.Host != l.settings.Host && slices.Contains(l.settings.Peers, x.Host) && updates[x.Host] == nil {
			updates[x.Host] = &message.PeerUpdate{From: l.settings.Host, IsLeaderUpdate: true}
		}
	}
	if len(updates) == 0 {
		return
	}
	l.seq++
	l.publishTurn = (l.publishTurn + 1) % publishTurns
	for i, id := range sortedKeys(l.rentals) {
		r := l.rentals[id]
		host := l.assignedHost(id)
		m := updates[host]
		if m == nil {
			continue
		}
		status := r.status
		switch {
		case !r.releasedAt.IsZero():
			status = "returned"
		case status == "running" && l.ownerOf(id) != host:
			status = statusComing
		}
		if r.publishedTo != host || r.publishedStatus != status {
			r.publishedTo, r.publishedStatus, r.publishedSeq = host, status, l.seq
		}
		if len(m.RentalUpdates) >= maxRentalsPerUpdate {
			// It goes with the next news, until it is known to be known.
			r.publishedSeq = l.seq + 1
			continue
		}
		if r.publishedSeq > l.ackedSeq[host] || i%publishTurns == l.publishTurn {
			m.RentalUpdates = append(m.RentalUpdates, message.RentalUpdate{ID: r.id, Addr: r.addr, MachineType: r.machineType, Zone: r.zone, Spot: r.spot, Status: status, Age: l.now.Sub(r.rentedAt)})
		}
	}
	var blocked []message.CapacityRequest
	for _, k := range sortedKinds(l.blockedUntil) {
		if l.blockedUntil[k].After(l.now) {
			blocked = append(blocked, message.CapacityRequest{MachineType: k.machineType, Zone: k.zone, Spot: k.spot, Count: 1})
		}
	}
	request, hasRequest := l.sharding.planner.PendingMove()
	for _, host := range sortedKeys(updates) {
		m := updates[host]
		m.Seq, m.Blocked, m.SurplusElsewhere = l.seq, blocked, surplusFor(l.controller, host)
		m.OthersNeeds, m.EvacuationRequests = othersNeeds[host], empty[host]
		if hasRequest && request.From == host {
			m.TeamRelease = []sharding.MoveRequest{request}
		}
		l.emit(message.SendPeerUpdate{To: host, Update: *m})
	}
}

// receiveLeaderUpdate takes in what the leader tells of this owner's machines. Its word
// that a return was answered, or that the cloud calls a machine failed, is the
// proof that the machine is gone.
func (c *Controller) receiveLeaderUpdate(update message.PeerUpdate) {
	o := c.shardLeader
	v := &fleetView{rentals: map[string]*rental{}}
	switch old := o.fleet.view; {
	case old == nil || old.leaderHost != update.From || old.incarnation != update.Incarnation:
	case old.seq > update.Seq && c.now.Sub(old.receivedAt) < updateTTL:
		return
	default:
		// It tells of some at a time. What it names no more is gone.
		v.rentals = old.rentals
		for id, r := range v.rentals {
			if _, mine := c.membership.ownedMachine(id); !mine && r.status != "booting" && r.status != statusComing || c.now.Sub(r.publishedAt) > 2*publishTurns*leaderPeriod+updateTTL {
				delete(v.rentals, id)
			}
		}
	}
	v.leaderHost, v.incarnation = update.From, update.Incarnation
	v.seq, v.receivedAt, v.blockedUntil, v.pendingRentals = update.Seq, c.now, map[machineKind]time.Time{}, map[machineKind]int{}
	for _, x := range update.RentalUpdates {
		// News says where to look, never what is owned: one that boots is counted on
		// before any record names it, and used only then.
		if _, mine := c.membership.ownedMachine(x.ID); !mine && x.Status != "booting" && x.Status != statusComing {
			continue
		}
		r := &rental{publishedAt: c.now, id: x.ID, addr: x.Addr, machineKind: machineKind{x.MachineType, x.Zone, x.Spot}, rentedAt: c.now.Add(-x.Age), status: x.Status, releasing: c.knowledge.released[x.ID]}
		v.rentals[x.ID] = r
		if !o.ready {
			continue
		}
		if m := o.machines[x.ID]; m != nil && (x.Status == "returned" || x.Status == "failed") {
			c.dropMachine(m, x.Status)
		}
		if x.Status == "returned" {
			// Over: kept, it would be asked for again as long as it is told of, and told
			// of as long as it is asked for, and leave no room for others to be returned.
			delete(v.rentals, x.ID)
			continue
		}
		if !c.knowledge.released[x.ID] {
			c.adopt(r)
		}
	}
	v.surplus = map[machineKind]int{}
	for _, w := range update.SurplusElsewhere {
		v.surplus[machineKind{w.MachineType, w.Zone, w.Spot}] += w.Count
	}
	for _, w := range update.Blocked {
		v.blockedUntil[machineKind{w.MachineType, w.Zone, w.Spot}] = c.now.Add(updateTTL)
	}
	o.fleet.view = v
	c.shardLeader.migration.receiveHostNeeds(update.OthersNeeds, update.EvacuationRequests)
	for _, a := range update.TeamRelease {
		c.shardLeader.receiveTeamRelease(a)
	}
}

// fleetLogInterval is how often the fleet is described in the log, at debug.
const fleetLogInterval = 10 * time.Second

func (l *leader) logFleet() {
	type sums struct{ up, idle, booting int }
	byKind := map[machineKind]*sums{}
	var used, size float64
	for _, r := range l.rentals {
		s := byKind[r.machineKind]
		if s == nil {
			s = &sums{}
			byKind[r.machineKind] = s
		}
		m := l.controller.shardLeader.machines[r.id]
		switch {
		case m == nil || !m.heard:
			s.booting++
		case m.isEmpty():
			s.up++
			s.idle++
		default:
			s.up++
		}
		if m != nil && m.heard {
			used += m.used.CPU
			size += m.size.CPU
		}
	}
	args := []any{"used", used, "cpus", size}
	for _, k := range sortedKinds(byKind) {
		s := byKind[k]
		name := k.machineType
		if k.spot {
			name += "/spot"
		}
		args = append(args, name, fmt.Sprintf("%d up, %d idle, %d booting", s.up, s.idle, s.booting))
	}
	for _, j := range l.controller.shardLeader.scheduler.jobsInQueueOrder() {
		args = append(args, j.Workload, j.pendingTasks())
	}
	l.debug("fleet", args...)
}

func (l *leader) listMachines(from string, got []model.CloudMachine) {
	gen := l.gen
	l.listInFlight = true
	l.controller.requests.toCloud(message.CloudRequest{Kind: message.CloudListMachines, StartAfter: from}, func(d message.CloudResponse) {
		l := l.controller.leader
		if l == nil || l.gen != gen {
			return
		}
		if d.Status != message.CloudOK {
			l.listInFlight = false
			l.lastListAt = l.now
			return
		}
		got = append(got, d.Machines...)
		if d.Truncated && len(d.Machines) > 0 {
			l.controller.leader.listMachines(got[len(got)-1].ID, got)
			return
		}
		l.listInFlight, l.lastListAt, l.hasListed = false, l.now, true
		l.controller.leader.receiveMachineList(got)
	})
}

// receiveMachineList takes in a list, which may be older than the one before.
func (l *leader) receiveMachineList(listed []model.CloudMachine) {
	var again []string
	for _, x := range listed {
		if l.controller.knowledge.released[x.ID] && (l.confirmedReleases[x.ID] || l.ownerOf(x.ID) == l.settings.Host) {
			if l.rentals[x.ID] == nil && !l.confirmedReleases[x.ID] {
				// Its return was asked for under an earlier leader, with whom the
				// wish was lost. Nobody else would ever ask again.
				l.rentals[x.ID] = &rental{id: x.ID, machineKind: machineKind{x.MachineType, x.Zone, x.Spot}, addr: x.Addr, rentedAt: l.now.Add(-x.Age), status: x.Status, lastListed: l.now}
				again = append(again, x.ID)
			}
			continue
		}
		r := l.rentals[x.ID]
		if r == nil {
			r = &rental{id: x.ID, machineKind: machineKind{x.MachineType, x.Zone, x.Spot}, rentedAt: l.now.Add(-x.Age)}
			l.rentals[x.ID] = r
		}
		r.addr, r.lastListed = x.Addr, l.now
		if x.Status == "failed" && r.status != "failed" && l.controller.shardLeader != nil {
			if m := l.controller.shardLeader.machines[x.ID]; m != nil {
				l.controller.dropMachine(m, "failed")
			}
		}
		r.status = x.Status
		l.controller.adopt(r)
	}
	for ; len(again) > 0; again = again[min(len(again), maxReleasePerRequest):] {
		l.releaseMachines(again[:min(len(again), maxReleasePerRequest)])
	}
	for _, id := range sortedKeys(l.rentals) {
		r := l.rentals[id]
		// Once listed, a machine stays listed until it is gone. A list can be
		// older than the one before, so wait some lists before forgetting;
		// absence is no proof for its tasks, which go on by reports, lease or
		// the answer to a return.
		forgetAfter := 4*l.settings.CloudListLag + 5*time.Second + 2*l.listInterval()
		if l.ownerOf(id) != l.settings.Host {
			// Its owner has to learn of it and may still need it returned.
			forgetAfter += 2 * l.settings.WorkerLease
		}
		if !r.lastListed.IsZero() && l.now.Sub(r.lastListed) > forgetAfter {
			if l.controller.shardLeader != nil {
				if m := l.controller.shardLeader.machines[id]; m != nil && (!m.isEmpty() || !l.controller.shardLeader.heartbeats.unresponsive(m)) {
					continue
				}
				if m := l.controller.shardLeader.machines[id]; m != nil {
					l.controller.shardLeader.removeMachine(m)
				}
			}
			delete(l.rentals, id)
		}
	}
	l.markUnlisted()
}

// adopt makes a rental known to the owner of the pool.
func (c *Controller) adopt(r *rental) {
	o := c.shardLeader
	if o == nil || r.status == "failed" || r.releasing || !o.ready {
		return
	}
	if _, mine := c.membership.ownedMachine(r.id); !mine || c.leader != nil && c.leader.sharding.unrecordedMachines[r.id].Host != "" {
		// Another's, or about to be.
		return
	}
	m := c.shardLeader.ensureMachine(r.id)
	if !c.membership.shardMap.IsAssigned(r.id) && !o.catchAllSince.IsZero() && r.rentedAt.After(o.catchAllSince) {
		// Rented since, and named by nobody: it never was another's.
		m.formerOwnerUntil = time.Time{}
	}
	if m.machineType == "" || m.addr == "" {
		c.shardLeader.describe(m, r.addr, r.machineType, r.zone, r.spot)
	}
	if !m.heard && (r.status == "running" || r.status == statusComing) && r.addr != "" {
		c.shardLeader.failover.contact(m)
	}
}

// selectReleases picks the machines to give back: failed ones, such as never came up, silent
// ones, faulty ones and idle ones that are spare. A look at the fleet may have
// taken a while, so each is judged by what it is now.
func (c *Controller) selectReleases(surplus map[string]bool) {
	o := c.shardLeader
	settled := c.now.Sub(o.since) > settleTime
	unresponsive := map[string]bool{}
	for _, id := range c.shardLeader.heartbeats.unresponsiveMachines() {
		unresponsive[id] = true
	}
	cheapest := c.knowledge.cheapestCPUCost()
	for _, m := range o.machinesByID {
		// One that the leader no longer lists may be gone, or a list was late;
		// only the answer to a return is proof. If one was asked for already, the
		// wish may have been lost, or answered to another owner.
		if id := m.id; o.fleet.view.rentals[id] == nil && !m.isEmpty() && (unresponsive[id] || m.releasing || c.knowledge.released[id]) && settled && len(o.fleet.machinesToRelease) < maxReleasePerRequest {
			c.knowledge.released[id] = true
			m.releasing = true
			o.fleet.machinesToRelease = append(o.fleet.machinesToRelease, id)
		}
	}
	for _, id := range sortedKeys(o.fleet.view.rentals) {
		r := o.fleet.view.rentals[id]
		m := o.machines[id]
		if r.releasing && c.leader == nil {
			// Asked for already; the wish may have been lost.
			o.fleet.machinesToRelease = append(o.fleet.machinesToRelease, id)
		}
		if r.releasing {
			continue
		}
		reason := ""
		switch {
		case r.status == "failed":
			reason = "failed"
		case m == nil:
		case !m.heard && settled && c.knowledge.isGivenUp(r) && m.isEmpty() && c.now.Sub(m.ownedSince) > min(settleTime, m.ownedSince.Sub(o.since)):
			// Not one that has just come from another owner, however long ago it was
			// rented. What came with the takeover is settled with it.
			reason = "never came up"
		case unresponsive[id] && settled:
			reason = "silent"
		case m.faulty && m.isEmpty():
			reason = "faulty"
		case settled && surplus[id] && c.shardLeader.fleet.isIdleExpired(m, cheapest):
			reason = "idle"
		}
		if reason == "" || len(o.fleet.machinesToRelease) >= maxReleasePerRequest {
			continue
		}
		c.info("return", "machine", id, "why", reason)
		if reason == "never came up" && !c.knowledge.released[id] {
			// Once, however often the leader is asked.
			c.knowledge.provisioningOf(r.machineKind).RecordGivenUp(c.now)
			o.fleet.neverReadyCount++
			o.fleet.neverReadyCost += c.knowledge.costPerHour(r.machineKind) * c.now.Sub(r.rentedAt).Hours()
			c.info("machines that never served", "count", o.fleet.neverReadyCount, "cost", o.fleet.neverReadyCost)
		}
		o.fleet.machinesToRelease = append(o.fleet.machinesToRelease, id)
		// Never given work again, whatever becomes of the return.
		c.knowledge.released[id] = true
		if m != nil {
			m.releasing = true
		}
	}
}

// releaseMachines asks the cloud to take machines back until it says that it has.
func (l *leader) releaseMachines(ids []string) {
	for _, id := range ids {
		l.controller.knowledge.released[id] = true
		if r := l.rentals[id]; r != nil {
			r.releasing = true
		}
	}
	gen := l.gen
	l.controller.requests.toCloud(message.CloudRequest{Kind: message.CloudRelease, SendDeadline: l.controller.membership.leaseValidUntil, Machines: ids}, func(d message.CloudResponse) {
		if l.controller.leader == nil || l.controller.leader.gen != gen {
			return
		}
		if d.Status != message.CloudOK {
			// Executed or not, they get no more work; ask until it is sure.
			l.after(l.jitter(time.Second), func() {
				if l.controller.leader != nil && l.controller.leader.gen == gen {
					l.controller.leader.releaseMachines(ids)
				}
			})
			return
		}
		for _, id := range ids {
			l.controller.leader.confirmedReleases[id] = true
			if l.controller.shardLeader != nil {
				if m := l.controller.shardLeader.machines[id]; m != nil {
					l.controller.dropMachine(m, "returned")
				}
			}
			if r := l.controller.leader.rentals[id]; r != nil {
				r.releasedAt = l.now
			}
		}
	})
}

// arrivalWindow is how far back arrivals are looked at, and lately the part of it
// that shows soonest when they have ended.
const (
	arrivalWindow = 90 * time.Second
	recentWindow  = 30 * time.Second
)

func sortedKinds[V any](m map[machineKind]V) []machineKind {
	ks := make([]machineKind, 0, len(m))
	for k := range m {
		ks = append(ks, k)
	}
	slices.SortFunc(ks, func(a, b machineKind) int {
		return cmp.Or(cmp.Compare(a.machineType, b.machineType), cmp.Compare(a.zone, b.zone), cmp.Compare(boolToFloat(a.spot), boolToFloat(b.spot)))
	})
	return ks
}

// booked notes that a booking is answered.
func (l *leader) booked(a bookingKey, booking string, count int) {
	delete(l.booking, booking)
	if l.pendingRentals[a] -= count; l.pendingRentals[a] <= 0 {
		delete(l.pendingRentals, a)
	}
}

// sendBooking sends one booking for an owner. A booking without an answer is
// repeated under the same name, which rents nothing twice.
func (l *leader) sendBooking(host string, k machineKind, count int, booking string) {
	if booking == "" {
		l.bookingSeq++
		booking = fmt.Sprintf("%d-%s-%s-%d", l.modRevision, l.settings.Host, l.settings.Incarnation, l.bookingSeq)
		l.debug("rent", "flavour", k.machineType, "spot", k.spot, "count", count, "for", host)
	}
	a := bookingKey{host, k}
	if again := booking != "" && l.booking[booking]; !again {
		l.booking[booking] = true
		l.pendingRentals[a] += count
	}
	gen := l.gen
	l.controller.requests.toCloud(message.CloudRequest{Kind: message.CloudRent, SendDeadline: l.controller.membership.leaseValidUntil, IdempotencyKey: booking, MachineType: k.machineType, Zone: k.zone, Spot: k.spot, Count: count}, func(d message.CloudResponse) {
		l := l.controller.leader
		if l == nil || l.gen != gen {
			return
		}
		switch d.Status {
		case message.CloudOK:
			l.controller.leader.booked(a, booking, count)
			for _, id := range d.Rented {
				r := &rental{id: id, machineKind: k, rentedAt: l.now, status: "booting"}
				l.rentals[id] = r
				if l.controller.leader.ownerOf(id) != host {
					l.sharding.unrecordedMachines[id] = sharding.NewMachine{ID: id, Host: host, KnownAt: l.now}
				}
				l.controller.adopt(r)
			}
			// Its wishes count again when it knows of these.
			l.requiredSeq[host] = l.seq + 1
			if len(d.Rented) < count {
				l.blockedUntil[k] = l.now.Add(l.jitter(refusedBackoff))
			}
			l.controller.leader.planShards()
		case message.CloudNoCapacity:
			l.controller.leader.booked(a, booking, count)
			l.blockedUntil[k] = l.now.Add(l.jitter(refusedBackoff))
		case message.CloudMalformed:
			l.controller.leader.booked(a, booking, count)
			l.blockedUntil[k] = l.now.Add(time.Minute)
			l.info("the cloud calls a booking malformed", "flavour", k.machineType)
		default:
			l.after(l.jitter(time.Second), func() {
				if l.controller.leader != nil && l.controller.leader.gen == gen {
					l.controller.leader.sendBooking(host, k, count, booking)
				}
			})
		}
	})
}

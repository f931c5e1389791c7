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
func (n *Controller) freshUpdate(host string) (receivedUpdate, bool) {
	w, ok := n.leader.updates[host]
	return w, ok && n.now.Sub(w.receivedAt) <= updateTTL && n.fromCurrentIncarnation(&w.update)
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

func (n *Controller) loadMachineTypes() {
	n.requestCloud(message.CloudRequest{Kind: message.CloudListTypes}, func(d message.CloudResponse) {
		if d.Status == message.CloudOK {
			n.machineTypes = map[string]model.MachineType{}
			for _, f := range d.MachineTypes {
				n.machineTypes[f.Name] = f
			}
			if n.shardLeader != nil {
				for _, m := range n.shardLeader.machines {
					if f, ok := n.machineTypes[m.machineType]; ok {
						m.size, m.disk = f.Capacity, f.DiskGB
					}
				}
			}
			n.after(n.jitter(machineTypesInterval), n.loadMachineTypes)
			return
		}
		n.after(n.jitter(time.Second), n.loadMachineTypes)
	})
}

// newLeader makes a leader that knows no machine yet.
func newLeader(n *Controller) *leader {
	return &leader{
		modRevision: n.membership.leaderModRevision, gen: int(n.nextID()),
		rentals: map[string]*rental{}, blockedUntil: map[machineKind]time.Time{}, pendingRentals: map[bookingKey]int{}, booking: map[string]bool{}, requiredSeq: map[string]uint64{},
		updates: map[string]receivedUpdate{}, confirmedReleases: map[string]bool{}, ackedSeq: map[string]uint64{}, unlistedSince: map[string]time.Time{}, handedOverAt: map[string]time.Time{}, sharding: newShardPlanning(n),
	}
}

func (n *Controller) becomeLeader() {
	if n.leader != nil && n.leader.modRevision == n.membership.leaderModRevision {
		planShards(n)
		return
	}
	n.leader = newLeader(n)
	n.info("leader", "stamp", n.membership.leaderModRevision)
	planShards(n)
}

func (n *Controller) stepDown() {
	if n.leader != nil {
		n.info("leader no more")
		n.leader = nil
	}
}

func (n *Controller) leaderTick() {
	l := n.leader
	if n.now.Sub(l.lastScan) < leaderPeriod {
		l.wakeAt = l.lastScan.Add(leaderPeriod)
		return
	}
	l.lastScan = n.now
	l.wakeAt = n.now.Add(leaderPeriod)
	deriveRanking(n)
	if !l.listInFlight && n.now.Sub(l.lastListAt) >= n.listInterval() {
		n.listMachines("", nil)
	}
	for id, r := range l.rentals {
		if !r.releasedAt.IsZero() && n.now.Sub(r.releasedAt) > 2*updateTTL {
			delete(l.rentals, id)
		}
	}
	// A leader that is cut off finds every machine silent, and the returns it
	// asks for are held on the way and executed when the cut ends, under a
	// successor that uses the machines. So nothing is decided unless the
	// grant surely lives.
	if !l.hasListed || n.now.After(n.membership.leaseValidUntil) {
		return
	}
	for _, host := range sortedKeys(l.updates) {
		if w, ok := n.freshUpdate(host); ok {
			l.ackedSeq[host] = max(l.ackedSeq[host], w.update.Seq)
			for _, x := range w.update.Offers {
				l.sharding.offers[x.Team] = x
			}
			if w.receivedAt.After(l.lastScan.Add(-leaderPeriod)) {
				recordTeamLoads(n, w.update.TeamLoads)
			}
		}
	}
	if o := n.shardLeader; o != nil && o.ready {
		applyOwnUpdate(n)
	}
	planShards(n)
	exchangeMachines(n)
	n.publishRentals()
	if n.shardLeader != nil && n.now.Sub(l.lastLogged) >= fleetLogInterval {
		l.lastLogged = n.now
		n.logFleet()
	}
}

// listPageSize is about how many machines the cloud lists in one answer.
const listPageSize = 500

// listInterval is how often the machines are listed: the longer the list the more
// seldom, since it is late in any case, and costs a request for each page.
func (n *Controller) listInterval() time.Duration {
	return max(n.settings.CloudListLag/2, 2*time.Second) * time.Duration(1+len(n.leader.rentals)/listPageSize)
}

// bookingBudget is how many requests to rent may be sent in one look: half of the
// cloud's limit, since lists, returns and prices need some as well.
func (n *Controller) bookingBudget() int {
	return max(1, int(n.settings.CloudRequestsPerSecond/2*leaderPeriod.Seconds()))
}

// ownerOf is whose machine it is, by the records.
func (n *Controller) ownerOf(id string) string {
	if o, ok := n.membership.shardMap.Owner(id); ok {
		return o.Host
	}
	return ""
}

// confirmReleased tells the owner of a machine that its return was answered before it
// came to this owner.
func (n *Controller) confirmReleased(id, host string) {
	l := n.leader
	if host == n.settings.Host {
		if m := n.shardLeader.machines[id]; m != nil {
			n.dropMachine(m, "returned")
		}
		return
	}
	r := l.rentals[id]
	if r == nil {
		r = &rental{id: id}
		l.rentals[id] = r
	}
	r.releasedAt = n.now
}

// isRentedForOther says that a machine was rented for another controller, whose record is
// being written: it is not to be given work before.
func (n *Controller) isRentedForOther(id string) bool {
	if n.leader == nil {
		return false
	}
	r, ok := n.leader.sharding.unrecordedMachines[id]
	return ok && r.Host != n.settings.Host
}

// assignedHost is whose machine it is or is about to be.
func (n *Controller) assignedHost(id string) string {
	if r, ok := n.leader.sharding.unrecordedMachines[id]; ok {
		return r.Host
	}
	return n.ownerOf(id)
}

// maxRentalsPerUpdate bounds the machines in one news.
const maxRentalsPerUpdate = 3000

// publishTurns is in how many turns, a second each, an owner is told of all its machines;
// of what has changed it is told at once, and until it has shown that it knows.
const publishTurns = 5

// publishRentals tells the other owners of their machines.
func (n *Controller) publishRentals() {
	l := n.leader
	othersNeeds, empty := assignEvacuations(n)
	updates := map[string]*message.PeerUpdate{}
	for _, x := range n.membership.shardMap.Shards() {
		if x.Host != n.settings.Host && slices.Contains(n.settings.Peers, x.Host) && updates[x.Host] == nil {
			updates[x.Host] = &message.PeerUpdate{From: n.settings.Host, IsLeaderUpdate: true}
		}
	}
	if len(updates) == 0 {
		return
	}
	l.seq++
	l.publishTurn = (l.publishTurn + 1) % publishTurns
	for i, id := range sortedKeys(l.rentals) {
		r := l.rentals[id]
		host := n.assignedHost(id)
		m := updates[host]
		if m == nil {
			continue
		}
		status := r.status
		switch {
		case !r.releasedAt.IsZero():
			status = "returned"
		case status == "running" && n.ownerOf(id) != host:
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
			m.RentalUpdates = append(m.RentalUpdates, message.RentalUpdate{ID: r.id, Addr: r.addr, MachineType: r.machineType, Zone: r.zone, Spot: r.spot, Status: status, Age: n.now.Sub(r.rentedAt)})
		}
	}
	var blocked []message.CapacityRequest
	for _, k := range sortedKinds(l.blockedUntil) {
		if l.blockedUntil[k].After(n.now) {
			blocked = append(blocked, message.CapacityRequest{MachineType: k.machineType, Zone: k.zone, Spot: k.spot, Count: 1})
		}
	}
	request, hasRequest := l.sharding.planner.PendingMove()
	for _, host := range sortedKeys(updates) {
		m := updates[host]
		m.Seq, m.Blocked, m.SurplusElsewhere = l.seq, blocked, surplusFor(n, host)
		m.OthersNeeds, m.EvacuationRequests = othersNeeds[host], empty[host]
		if hasRequest && request.From == host {
			m.TeamRelease = []sharding.MoveRequest{request}
		}
		n.emit(message.SendPeerUpdate{To: host, Update: *m})
	}
}

// receiveLeaderUpdate takes in what the leader tells of this owner's machines. Its word
// that a return was answered, or that the cloud calls a machine failed, is the
// proof that the machine is gone.
func (n *Controller) receiveLeaderUpdate(update message.PeerUpdate) {
	o := n.shardLeader
	v := &fleetView{rentals: map[string]*rental{}}
	switch old := o.fleetView; {
	case old == nil || old.leaderHost != update.From || old.incarnation != update.Incarnation:
	case old.seq > update.Seq && n.now.Sub(old.receivedAt) < updateTTL:
		return
	default:
		// It tells of some at a time. What it names no more is gone.
		v.rentals = old.rentals
		for id, r := range v.rentals {
			if _, mine := n.ownedMachine(id); !mine && r.status != "booting" && r.status != statusComing || n.now.Sub(r.publishedAt) > 2*publishTurns*leaderPeriod+updateTTL {
				delete(v.rentals, id)
			}
		}
	}
	v.leaderHost, v.incarnation = update.From, update.Incarnation
	v.seq, v.receivedAt, v.blockedUntil, v.pendingRentals = update.Seq, n.now, map[machineKind]time.Time{}, map[machineKind]int{}
	for _, x := range update.RentalUpdates {
		// News says where to look, never what is owned: one that boots is counted on
		// before any record names it, and used only then.
		if _, mine := n.ownedMachine(x.ID); !mine && x.Status != "booting" && x.Status != statusComing {
			continue
		}
		r := &rental{publishedAt: n.now, id: x.ID, addr: x.Addr, machineKind: machineKind{x.MachineType, x.Zone, x.Spot}, rentedAt: n.now.Add(-x.Age), status: x.Status, releasing: n.released[x.ID]}
		v.rentals[x.ID] = r
		if !o.ready {
			continue
		}
		if m := o.machines[x.ID]; m != nil && (x.Status == "returned" || x.Status == "failed") {
			n.dropMachine(m, x.Status)
		}
		if x.Status == "returned" {
			// Over: kept, it would be asked for again as long as it is told of, and told
			// of as long as it is asked for, and leave no room for others to be returned.
			delete(v.rentals, x.ID)
			continue
		}
		if !n.released[x.ID] {
			n.adopt(r)
		}
	}
	v.surplus = map[machineKind]int{}
	for _, w := range update.SurplusElsewhere {
		v.surplus[machineKind{w.MachineType, w.Zone, w.Spot}] += w.Count
	}
	for _, w := range update.Blocked {
		v.blockedUntil[machineKind{w.MachineType, w.Zone, w.Spot}] = n.now.Add(updateTTL)
	}
	o.fleetView = v
	receiveHostNeeds(n, update.OthersNeeds, update.EvacuationRequests)
	for _, a := range update.TeamRelease {
		o.teamRelease, o.teamReleaseAt = a, n.now
	}
}

// fleetLogInterval is how often the fleet is described in the log, at debug.
const fleetLogInterval = 10 * time.Second

func (n *Controller) logFleet() {
	type sums struct{ up, idle, booting int }
	byKind := map[machineKind]*sums{}
	var used, size float64
	for _, r := range n.leader.rentals {
		s := byKind[r.machineKind]
		if s == nil {
			s = &sums{}
			byKind[r.machineKind] = s
		}
		m := n.shardLeader.machines[r.id]
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
	for _, j := range n.jobsInQueueOrder() {
		args = append(args, j.Workload, j.pendingTasks())
	}
	n.debug("fleet", args...)
}

func (n *Controller) listMachines(from string, got []model.CloudMachine) {
	l := n.leader
	gen := l.gen
	l.listInFlight = true
	n.requestCloud(message.CloudRequest{Kind: message.CloudListMachines, StartAfter: from}, func(d message.CloudResponse) {
		l := n.leader
		if l == nil || l.gen != gen {
			return
		}
		if d.Status != message.CloudOK {
			l.listInFlight = false
			l.lastListAt = n.now
			return
		}
		got = append(got, d.Machines...)
		if d.Truncated && len(d.Machines) > 0 {
			n.listMachines(got[len(got)-1].ID, got)
			return
		}
		l.listInFlight, l.lastListAt, l.hasListed = false, n.now, true
		n.receiveMachineList(got)
	})
}

// receiveMachineList takes in a list, which may be older than the one before.
func (n *Controller) receiveMachineList(listed []model.CloudMachine) {
	l := n.leader
	var again []string
	for _, x := range listed {
		if n.released[x.ID] && (l.confirmedReleases[x.ID] || n.ownerOf(x.ID) == n.settings.Host) {
			if l.rentals[x.ID] == nil && !l.confirmedReleases[x.ID] {
				// Its return was asked for under an earlier leader, with whom the
				// wish was lost. Nobody else would ever ask again.
				l.rentals[x.ID] = &rental{id: x.ID, machineKind: machineKind{x.MachineType, x.Zone, x.Spot}, addr: x.Addr, rentedAt: n.now.Add(-x.Age), status: x.Status, lastListed: n.now}
				again = append(again, x.ID)
			}
			continue
		}
		r := l.rentals[x.ID]
		if r == nil {
			r = &rental{id: x.ID, machineKind: machineKind{x.MachineType, x.Zone, x.Spot}, rentedAt: n.now.Add(-x.Age)}
			l.rentals[x.ID] = r
		}
		r.addr, r.lastListed = x.Addr, n.now
		if x.Status == "failed" && r.status != "failed" && n.shardLeader != nil {
			if m := n.shardLeader.machines[x.ID]; m != nil {
				n.dropMachine(m, "failed")
			}
		}
		r.status = x.Status
		n.adopt(r)
	}
	for ; len(again) > 0; again = again[min(len(again), maxReleasePerRequest):] {
		n.releaseMachines(again[:min(len(again), maxReleasePerRequest)])
	}
	for _, id := range sortedKeys(l.rentals) {
		r := l.rentals[id]
		// Once listed, a machine stays listed until it is gone. A list can be
		// older than the one before, so wait some lists before forgetting;
		// absence is no proof for its tasks, which go on by reports, lease or
		// the answer to a return.
		forgetAfter := 4*n.settings.CloudListLag + 5*time.Second + 2*n.listInterval()
		if n.ownerOf(id) != n.settings.Host {
			// Its owner has to learn of it and may still need it returned.
			forgetAfter += 2 * n.settings.WorkerLease
		}
		if !r.lastListed.IsZero() && n.now.Sub(r.lastListed) > forgetAfter {
			if n.shardLeader != nil {
				if m := n.shardLeader.machines[id]; m != nil && (!m.isEmpty() || !n.unresponsive(m)) {
					continue
				}
				if m := n.shardLeader.machines[id]; m != nil {
					n.shardLeader.removeMachine(m)
				}
			}
			delete(l.rentals, id)
		}
	}
	markUnlisted(n)
}

// adopt makes a rental known to the owner of the pool.
func (n *Controller) adopt(r *rental) {
	o := n.shardLeader
	if o == nil || r.status == "failed" || r.releasing || !o.ready {
		return
	}
	if _, mine := n.ownedMachine(r.id); !mine || n.leader != nil && n.leader.sharding.unrecordedMachines[r.id].Host != "" {
		// Another's, or about to be.
		return
	}
	m := n.ensureMachine(r.id)
	if !n.membership.shardMap.IsAssigned(r.id) && !o.catchAllSince.IsZero() && r.rentedAt.After(o.catchAllSince) {
		// Rented since, and named by nobody: it never was another's.
		m.formerOwnerUntil = time.Time{}
	}
	if m.machineType == "" || m.addr == "" {
		n.describe(m, r.addr, r.machineType, r.zone, r.spot)
	}
	if !m.heard && (r.status == "running" || r.status == statusComing) && r.addr != "" {
		n.contact(m)
	}
}

// selectReleases picks the machines to give back: failed ones, such as never came up, silent
// ones, faulty ones and idle ones that are spare. A look at the fleet may have
// taken a while, so each is judged by what it is now.
func (n *Controller) selectReleases(surplus map[string]bool) {
	o := n.shardLeader
	settled := n.now.Sub(o.since) > settleTime
	unresponsive := map[string]bool{}
	for _, id := range unresponsiveMachines(n) {
		unresponsive[id] = true
	}
	cheapest := n.cheapestCPUCost()
	for _, m := range o.machinesByID {
		// One that the leader no longer lists may be gone, or a list was late;
		// only the answer to a return is proof. If one was asked for already, the
		// wish may have been lost, or answered to another owner.
		if id := m.id; o.fleetView.rentals[id] == nil && !m.isEmpty() && (unresponsive[id] || m.releasing || n.released[id]) && settled && len(o.machinesToRelease) < maxReleasePerRequest {
			n.released[id] = true
			m.releasing = true
			o.machinesToRelease = append(o.machinesToRelease, id)
		}
	}
	for _, id := range sortedKeys(o.fleetView.rentals) {
		r := o.fleetView.rentals[id]
		m := o.machines[id]
		if r.releasing && n.leader == nil {
			// Asked for already; the wish may have been lost.
			o.machinesToRelease = append(o.machinesToRelease, id)
		}
		if r.releasing {
			continue
		}
		reason := ""
		switch {
		case r.status == "failed":
			reason = "failed"
		case m == nil:
		case !m.heard && settled && n.isGivenUp(r) && m.isEmpty() && n.now.Sub(m.ownedSince) > min(settleTime, m.ownedSince.Sub(o.since)):
			// Not one that has just come from another owner, however long ago it was
			// rented. What came with the takeover is settled with it.
			reason = "never came up"
		case unresponsive[id] && settled:
			reason = "silent"
		case m.faulty && m.isEmpty():
			reason = "faulty"
		case settled && surplus[id] && n.isIdleExpired(m, cheapest):
			reason = "idle"
		}
		if reason == "" || len(o.machinesToRelease) >= maxReleasePerRequest {
			continue
		}
		n.info("return", "machine", id, "why", reason)
		if reason == "never came up" && !n.released[id] {
			// Once, however often the leader is asked.
			n.provisioningOf(r.machineKind).RecordGivenUp(n.now)
			o.neverReadyCount++
			o.neverReadyCost += n.costPerHour(r.machineKind) * n.now.Sub(r.rentedAt).Hours()
			n.info("machines that never served", "count", o.neverReadyCount, "cost", o.neverReadyCost)
		}
		o.machinesToRelease = append(o.machinesToRelease, id)
		// Never given work again, whatever becomes of the return.
		n.released[id] = true
		if m != nil {
			m.releasing = true
		}
	}
}

// releaseMachines asks the cloud to take machines back until it says that it has.
func (n *Controller) releaseMachines(ids []string) {
	l := n.leader
	for _, id := range ids {
		n.released[id] = true
		if r := l.rentals[id]; r != nil {
			r.releasing = true
		}
	}
	gen := l.gen
	n.requestCloud(message.CloudRequest{Kind: message.CloudRelease, SendDeadline: n.membership.leaseValidUntil, Machines: ids}, func(d message.CloudResponse) {
		if n.leader == nil || n.leader.gen != gen {
			return
		}
		if d.Status != message.CloudOK {
			// Executed or not, they get no more work; ask until it is sure.
			n.after(n.jitter(time.Second), func() {
				if n.leader != nil && n.leader.gen == gen {
					n.releaseMachines(ids)
				}
			})
			return
		}
		for _, id := range ids {
			n.leader.confirmedReleases[id] = true
			if n.shardLeader != nil {
				if m := n.shardLeader.machines[id]; m != nil {
					n.dropMachine(m, "returned")
				}
			}
			if r := n.leader.rentals[id]; r != nil {
				r.releasedAt = n.now
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
func (n *Controller) booked(a bookingKey, booking string, count int) {
	l := n.leader
	delete(l.booking, booking)
	if l.pendingRentals[a] -= count; l.pendingRentals[a] <= 0 {
		delete(l.pendingRentals, a)
	}
}

// sendBooking sends one booking for an owner. A booking without an answer is
// repeated under the same name, which rents nothing twice.
func (n *Controller) sendBooking(host string, k machineKind, count int, booking string) {
	l := n.leader
	if booking == "" {
		l.bookingSeq++
		booking = fmt.Sprintf("%d-%s-%s-%d", l.modRevision, n.settings.Host, n.settings.Incarnation, l.bookingSeq)
		n.debug("rent", "flavour", k.machineType, "spot", k.spot, "count", count, "for", host)
	}
	a := bookingKey{host, k}
	if again := booking != "" && l.booking[booking]; !again {
		l.booking[booking] = true
		l.pendingRentals[a] += count
	}
	gen := l.gen
	n.requestCloud(message.CloudRequest{Kind: message.CloudRent, SendDeadline: n.membership.leaseValidUntil, IdempotencyKey: booking, MachineType: k.machineType, Zone: k.zone, Spot: k.spot, Count: count}, func(d message.CloudResponse) {
		l := n.leader
		if l == nil || l.gen != gen {
			return
		}
		switch d.Status {
		case message.CloudOK:
			n.booked(a, booking, count)
			for _, id := range d.Rented {
				r := &rental{id: id, machineKind: k, rentedAt: n.now, status: "booting"}
				l.rentals[id] = r
				if n.ownerOf(id) != host {
					l.sharding.unrecordedMachines[id] = sharding.NewMachine{ID: id, Host: host, KnownAt: n.now}
				}
				n.adopt(r)
			}
			// Its wishes count again when it knows of these.
			l.requiredSeq[host] = l.seq + 1
			if len(d.Rented) < count {
				l.blockedUntil[k] = n.now.Add(n.jitter(refusedBackoff))
			}
			planShards(n)
		case message.CloudNoCapacity:
			n.booked(a, booking, count)
			l.blockedUntil[k] = n.now.Add(n.jitter(refusedBackoff))
		case message.CloudMalformed:
			n.booked(a, booking, count)
			l.blockedUntil[k] = n.now.Add(time.Minute)
			n.info("the cloud calls a booking malformed", "flavour", k.machineType)
		default:
			n.after(n.jitter(time.Second), func() {
				if n.leader != nil && n.leader.gen == gen {
					n.sendBooking(host, k, count, booking)
				}
			})
		}
	})
}

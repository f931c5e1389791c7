package controller

import (
	"fmt"
	"time"

	"github.com/micahill/micahill/internal/message"
	"github.com/micahill/micahill/internal/model"
	"github.com/micahill/micahill/internal/sharding"
)

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

// releaseMachines asks the cloud to take machines back until it says that it has.
func (l *leader) releaseMachines(ids []string) {
	for _, id := range ids {
		l.controller.knowledge.markReleased(id)
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

package controller

import (
	"fmt"
	"time"

	"github.com/micahill/micahill/internal/message"
	"github.com/micahill/micahill/internal/model"
	"github.com/micahill/micahill/internal/sharding"
)

const (
	// refusedBackoff is how long no machine of a kind is requested after the cloud refused one.
	refusedBackoff = 12 * time.Second
	// maxRentPerRequest is the cloud's limit on machines in one booking.
	maxRentPerRequest = 50
	// listPageSize is the approximate number of machines in one page of the cloud's list.
	listPageSize = 500
)

// rental is a machine as the cloud reports it.
type rental struct {
	machineKind
	id       string
	addr     string
	rentedAt time.Time
	// status is the status that the cloud reports, or statusComing.
	status string
	// releasing is set once the release of the machine was requested.
	releasing bool
	// lastListed is when a list of the cloud last contained the machine.
	lastListed time.Time

	// publishedTo and publishedStatus are the shard leader to which the leader last published
	// the machine and the status that it published. publishedSeq is the first update with this
	// status.
	publishedTo, publishedStatus string
	publishedSeq                 uint64
	// publishedAt is when a shard leader last received the machine in an update from the leader.
	publishedAt time.Time
	// handedOverAt is when the machine was last handed over to another shard leader.
	handedOverAt time.Time
	// releasedAt is when the release was confirmed. The rental is kept for a while afterwards,
	// so that the release can be published.
	releasedAt time.Time
}

// newRental returns a rental for a machine in the cloud's list.
func newRental(now time.Time, x *model.CloudMachine) *rental {
	return &rental{id: x.ID, machineKind: machineKind{x.MachineType, x.Zone, x.Spot}, rentedAt: now.Add(-x.Age)}
}

// listInterval returns the time between reads of the machine list. The interval grows with the
// number of pages, since each page costs a request and the list lags in any case.
func (l *leader) listInterval() time.Duration {
	return max(l.settings.CloudListLag/2, 2*time.Second) * time.Duration(1+len(l.rentals)/listPageSize)
}

// bookingBudget returns how many bookings may be sent in one tick: half of the cloud's request
// rate limit, since lists, releases and prices take requests as well.
func (l *leader) bookingBudget() int {
	return max(1, int(l.settings.CloudRequestsPerSecond/2*leaderPeriod.Seconds()))
}

// ownerOf returns the host of the shard leader that owns a machine according to the shard map,
// or "".
func (l *leader) ownerOf(id string) string {
	if s, ok := l.controller.membership.shardMap.Owner(id); ok {
		return s.Host
	}
	return ""
}

// assignedHost returns the host that a machine is about to belong to, or else its owner
// according to the shard map.
func (l *leader) assignedHost(id string) string {
	if m, ok := l.sharding.unrecordedMachines[id]; ok {
		return m.Host
	}
	return l.ownerOf(id)
}

// isRentedForOther reports whether a machine was rented for another shard leader and the shard
// map does not record this yet. Until it does, the machine gets no tasks.
func (c *Controller) isRentedForOther(id string) bool {
	if c.leader == nil {
		return false
	}
	m, ok := c.leader.sharding.unrecordedMachines[id]
	return ok && m.Host != c.settings.Host
}

// confirmReleased informs the owner of a machine that the machine's release was confirmed before
// the machine belonged to it.
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

// listMachines reads the cloud's list from the page after the machine from. listed holds the
// machines of the earlier pages.
func (l *leader) listMachines(from string, listed []model.CloudMachine) {
	generation := l.generation
	l.listInFlight = true
	l.controller.requests.toCloud(message.CloudRequest{Kind: message.CloudListMachines, StartAfter: from}, func(resp message.CloudResponse) {
		l := l.controller.leader
		if l == nil || l.generation != generation {
			return
		}
		if resp.Status != message.CloudOK {
			l.listInFlight = false
			l.lastListAt = l.now
			return
		}
		listed = append(listed, resp.Machines...)
		if resp.Truncated && len(resp.Machines) > 0 {
			l.listMachines(listed[len(listed)-1].ID, listed)
			return
		}
		l.listInFlight, l.lastListAt, l.hasListed = false, l.now, true
		l.receiveMachineList(listed)
	})
}

// receiveMachineList applies a complete list of machines, which may be older than the previous
// one.
func (l *leader) receiveMachineList(listed []model.CloudMachine) {
	var again []string
	for i := range listed {
		x := &listed[i]
		if l.controller.knowledge.released[x.ID] && (l.confirmedReleases[x.ID] || l.ownerOf(x.ID) == l.settings.Host) {
			if l.rentals[x.ID] == nil && !l.confirmedReleases[x.ID] {
				// The release was requested under an earlier leader, and the request was lost
				// with that leader. No other component would repeat it.
				r := newRental(l.now, x)
				r.addr, r.status, r.lastListed = x.Addr, x.Status, l.now
				l.rentals[x.ID] = r
				again = append(again, x.ID)
			}
			continue
		}
		r := l.rentals[x.ID]
		if r == nil {
			r = newRental(l.now, x)
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
	l.forgetUnlisted()
	l.markUnlisted()
}

// forgetUnlisted removes the rentals of machines that no list has contained for a long time. A
// list may be older than the previous one, but a machine that was listed once stays listed until
// it is gone. Absence from the list proves nothing about the tasks on a machine: they are judged
// by heartbeats, the worker lease, or the answer to a release.
func (l *leader) forgetUnlisted() {
	for _, id := range sortedKeys(l.rentals) {
		r := l.rentals[id]
		forgetAfter := 4*l.settings.CloudListLag + 5*time.Second + 2*l.listInterval()
		if l.ownerOf(id) != l.settings.Host {
			// The owner has to be informed, and may still need the machine's release.
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
}

// releaseMachines requests the release of machines, and repeats the request until the cloud
// confirms it.
func (l *leader) releaseMachines(ids []string) {
	for _, id := range ids {
		l.controller.knowledge.markReleased(id)
		if r := l.rentals[id]; r != nil {
			r.releasing = true
		}
	}
	generation := l.generation
	l.controller.requests.toCloud(message.CloudRequest{Kind: message.CloudRelease, SendDeadline: l.controller.membership.leaseValidUntil, Machines: ids}, func(d message.CloudResponse) {
		l := l.controller.leader
		if l == nil || l.generation != generation {
			return
		}
		if d.Status != message.CloudOK {
			// Executed or not, the machines get no more tasks. The request is repeated until
			// it is confirmed.
			l.after(l.jitter(time.Second), func() {
				if l := l.controller.leader; l != nil && l.generation == generation {
					l.releaseMachines(ids)
				}
			})
			return
		}
		for _, id := range ids {
			l.confirmedReleases[id] = true
			if l.controller.shardLeader != nil {
				if m := l.controller.shardLeader.machines[id]; m != nil {
					l.controller.dropMachine(m, "returned")
				}
			}
			if r := l.rentals[id]; r != nil {
				r.releasedAt = l.now
			}
		}
	})
}

// sendBooking requests machines of a kind for a shard leader. booking is the idempotency key, or
// "" for a new booking. A booking without an answer is repeated under its key, so that it rents
// no machine twice.
func (l *leader) sendBooking(host string, k machineKind, count int, booking string) {
	if booking == "" {
		l.bookingSeq++
		booking = fmt.Sprintf("%d-%s-%s-%d", l.modRevision, l.settings.Host, l.settings.Incarnation, l.bookingSeq)
		l.debug("machines requested", "machine_type", k.machineType, "spot", k.spot, "count", count, "owner", host)
	}
	if !l.bookingsInFlight[booking] {
		l.bookingsInFlight[booking] = true
		l.pendingRentals[bookingKey{host, k}] += count
	}
	generation := l.generation
	l.controller.requests.toCloud(message.CloudRequest{Kind: message.CloudRent, SendDeadline: l.controller.membership.leaseValidUntil, IdempotencyKey: booking, MachineType: k.machineType, Zone: k.zone, Spot: k.spot, Count: count}, func(resp message.CloudResponse) {
		l := l.controller.leader
		if l == nil || l.generation != generation {
			return
		}
		switch resp.Status {
		case message.CloudOK:
			l.endBooking(bookingKey{host, k}, booking, count)
			l.receiveRented(host, k, count, resp.Rented)
		case message.CloudNoCapacity:
			l.endBooking(bookingKey{host, k}, booking, count)
			l.blockedUntil[k] = l.now.Add(l.jitter(refusedBackoff))
		case message.CloudMalformed:
			l.endBooking(bookingKey{host, k}, booking, count)
			l.blockedUntil[k] = l.now.Add(time.Minute)
			l.info("booking rejected by the cloud as malformed", "machine_type", k.machineType)
		default:
			l.after(l.jitter(time.Second), func() {
				if l := l.controller.leader; l != nil && l.generation == generation {
					l.sendBooking(host, k, count, booking)
				}
			})
		}
	})
}

// endBooking records that a booking was answered.
func (l *leader) endBooking(key bookingKey, booking string, count int) {
	delete(l.bookingsInFlight, booking)
	if l.pendingRentals[key] -= count; l.pendingRentals[key] <= 0 {
		delete(l.pendingRentals, key)
	}
}

// receiveRented stores the machines that the cloud has rented out in answer to a booking of
// count machines for host.
func (l *leader) receiveRented(host string, k machineKind, count int, ids []string) {
	for _, id := range ids {
		r := &rental{id: id, machineKind: k, rentedAt: l.now, status: "booting"}
		l.rentals[id] = r
		if l.ownerOf(id) != host {
			l.sharding.unrecordedMachines[id] = sharding.NewMachine{ID: id, Host: host, KnownAt: l.now}
		}
		l.controller.adopt(r)
	}
	// The capacity requests of the shard leader on host count again once it knows of these
	// machines.
	l.requiredSeq[host] = l.seq + 1
	if len(ids) < count {
		l.blockedUntil[k] = l.now.Add(l.jitter(refusedBackoff))
	}
	l.planShards()
}

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
func newRental(now time.Time, listed *model.CloudMachine) *rental {
	return &rental{id: listed.ID, machineKind: machineKind{listed.MachineType, listed.Zone, listed.Spot}, rentedAt: now.Add(-listed.Age)}
}

// listInterval returns the time between reads of the machine list. The interval grows with the
// number of pages, since each page costs a request and the list lags in any case.
func (leader *leader) listInterval() time.Duration {
	return max(leader.settings.CloudListLag/2, 2*time.Second) * time.Duration(1+len(leader.rentals)/listPageSize)
}

// bookingBudget returns how many bookings may be sent in one tick: half of the cloud's request
// rate limit, since lists, releases and prices take requests as well.
func (leader *leader) bookingBudget() int {
	return max(1, int(leader.settings.CloudRequestsPerSecond/2*leaderPeriod.Seconds()))
}

// ownerOf returns the host of the shard leader that owns a machine according to the shard map,
// or "".
func (leader *leader) ownerOf(id string) string {
	if owner, ok := leader.controller.membership.shardMap.Owner(id); ok {
		return owner.Host
	}
	return ""
}

// assignedHost returns the host that a machine is about to belong to, or else its owner
// according to the shard map.
func (leader *leader) assignedHost(id string) string {
	if assigned, ok := leader.sharding.unrecordedMachines[id]; ok {
		return assigned.Host
	}
	return leader.ownerOf(id)
}

// isRentedForOther reports whether a machine was rented for another shard leader and the shard
// map does not record this yet. Until it does, the machine gets no tasks.
func (controller *Controller) isRentedForOther(id string) bool {
	if controller.leader == nil {
		return false
	}
	assigned, ok := controller.leader.sharding.unrecordedMachines[id]
	return ok && assigned.Host != controller.settings.Host
}

// confirmReleased informs the owner of a machine that the machine's release was confirmed before
// the machine belonged to it.
func (leader *leader) confirmReleased(id, host string) {
	if host == leader.settings.Host {
		if machine := leader.controller.shardLeader.machines[id]; machine != nil {
			leader.controller.dropMachine(machine, "returned")
		}
		return
	}
	rented := leader.rentals[id]
	if rented == nil {
		rented = &rental{id: id}
		leader.rentals[id] = rented
	}
	rented.releasedAt = leader.now
}

// listMachines reads the cloud's list from the page after the machine from. listed holds the
// machines of the earlier pages.
func (leader *leader) listMachines(from string, listed []model.CloudMachine) {
	generation := leader.generation
	leader.listInFlight = true
	leader.controller.requests.toCloud(message.CloudRequest{Kind: message.CloudListMachines, StartAfter: from}, func(response message.CloudResponse) {
		leader := leader.controller.leader
		if leader == nil || leader.generation != generation {
			return
		}
		if response.Status != message.CloudOK {
			leader.listInFlight = false
			leader.lastListAt = leader.now
			return
		}
		listed = append(listed, response.Machines...)
		if response.Truncated && len(response.Machines) > 0 {
			leader.listMachines(listed[len(listed)-1].ID, listed)
			return
		}
		leader.listInFlight, leader.lastListAt, leader.hasListed = false, leader.now, true
		leader.receiveMachineList(listed)
	})
}

// receiveMachineList applies a complete list of machines, which may be older than the previous
// one.
func (leader *leader) receiveMachineList(listed []model.CloudMachine) {
	var toRepeat []string
	for i := range listed {
		cloudMachine := &listed[i]
		if leader.controller.knowledge.released[cloudMachine.ID] && (leader.confirmedReleases[cloudMachine.ID] || leader.ownerOf(cloudMachine.ID) == leader.settings.Host) {
			if leader.rentals[cloudMachine.ID] == nil && !leader.confirmedReleases[cloudMachine.ID] {
				// The release was requested under an earlier leader, and the request was lost
				// with that leader. No other component would repeat it.
				rental := newRental(leader.now, cloudMachine)
				rental.addr, rental.status, rental.lastListed = cloudMachine.Addr, cloudMachine.Status, leader.now
				leader.rentals[cloudMachine.ID] = rental
				toRepeat = append(toRepeat, cloudMachine.ID)
			}
			continue
		}
		rental := leader.rentals[cloudMachine.ID]
		if rental == nil {
			rental = newRental(leader.now, cloudMachine)
			leader.rentals[cloudMachine.ID] = rental
		}
		rental.addr, rental.lastListed = cloudMachine.Addr, leader.now
		if cloudMachine.Status == "failed" && rental.status != "failed" && leader.controller.shardLeader != nil {
			if machine := leader.controller.shardLeader.machines[cloudMachine.ID]; machine != nil {
				leader.controller.dropMachine(machine, "failed")
			}
		}
		rental.status = cloudMachine.Status
		leader.controller.adopt(rental)
	}
	for ; len(toRepeat) > 0; toRepeat = toRepeat[min(len(toRepeat), maxReleasePerRequest):] {
		leader.releaseMachines(toRepeat[:min(len(toRepeat), maxReleasePerRequest)])
	}
	leader.forgetUnlisted()
	leader.markUnlisted()
}

// forgetUnlisted removes the rentals of machines that no list has contained for a long time. A
// list may be older than the previous one, but a machine that was listed once stays listed until
// it is gone. Absence from the list proves nothing about the tasks on a machine: they are judged
// by heartbeats, the worker lease, or the response to a release.
func (leader *leader) forgetUnlisted() {
	for _, id := range sortedKeys(leader.rentals) {
		rental := leader.rentals[id]
		forgetAfter := 4*leader.settings.CloudListLag + 5*time.Second + 2*leader.listInterval()
		if leader.ownerOf(id) != leader.settings.Host {
			// The owner has to be informed, and may still need the machine's release.
			forgetAfter += 2 * leader.settings.WorkerLease
		}
		if !rental.lastListed.IsZero() && leader.now.Sub(rental.lastListed) > forgetAfter {
			if leader.controller.shardLeader != nil {
				if machine := leader.controller.shardLeader.machines[id]; machine != nil && (!machine.isEmpty() || !leader.controller.shardLeader.heartbeats.unresponsive(machine)) {
					continue
				}
				if machine := leader.controller.shardLeader.machines[id]; machine != nil {
					leader.controller.shardLeader.removeMachine(machine)
				}
			}
			delete(leader.rentals, id)
		}
	}
}

// releaseMachines requests the release of machines, and repeats the request until the cloud
// confirms it.
func (leader *leader) releaseMachines(ids []string) {
	for _, id := range ids {
		leader.controller.knowledge.markReleased(id)
		if rental := leader.rentals[id]; rental != nil {
			rental.releasing = true
		}
	}
	generation := leader.generation
	leader.controller.requests.toCloud(message.CloudRequest{Kind: message.CloudRelease, SendDeadline: leader.controller.membership.leaseValidUntil, Machines: ids}, func(response message.CloudResponse) {
		leader := leader.controller.leader
		if leader == nil || leader.generation != generation {
			return
		}
		if response.Status != message.CloudOK {
			// Executed or not, the machines get no more tasks. The request is repeated until
			// it is confirmed.
			leader.after(leader.jitter(time.Second), func() {
				if leader := leader.controller.leader; leader != nil && leader.generation == generation {
					leader.releaseMachines(ids)
				}
			})
			return
		}
		for _, id := range ids {
			leader.confirmedReleases[id] = true
			if leader.controller.shardLeader != nil {
				if machine := leader.controller.shardLeader.machines[id]; machine != nil {
					leader.controller.dropMachine(machine, "returned")
				}
			}
			if rental := leader.rentals[id]; rental != nil {
				rental.releasedAt = leader.now
			}
		}
	})
}

// sendBooking requests machines of a kind for a shard leader. idempotencyKey is "" for a new
// booking. A booking without a response is repeated under its key, so that it rents no machine
// twice.
func (leader *leader) sendBooking(host string, kind machineKind, count int, idempotencyKey string) {
	if idempotencyKey == "" {
		leader.bookingSeq++
		idempotencyKey = fmt.Sprintf("%d-%s-%s-%d", leader.modRevision, leader.settings.Host, leader.settings.Incarnation, leader.bookingSeq)
		leader.debug("machines requested", "machine_type", kind.machineType, "spot", kind.spot, "count", count, "owner", host)
	}
	if !leader.bookingsInFlight[idempotencyKey] {
		leader.bookingsInFlight[idempotencyKey] = true
		leader.pendingRentals[bookingKey{host, kind}] += count
	}
	generation := leader.generation
	leader.controller.requests.toCloud(message.CloudRequest{Kind: message.CloudRent, SendDeadline: leader.controller.membership.leaseValidUntil, IdempotencyKey: idempotencyKey, MachineType: kind.machineType, Zone: kind.zone, Spot: kind.spot, Count: count}, func(response message.CloudResponse) {
		leader := leader.controller.leader
		if leader == nil || leader.generation != generation {
			return
		}
		switch response.Status {
		case message.CloudOK:
			leader.endBooking(bookingKey{host, kind}, idempotencyKey, count)
			leader.receiveRented(host, kind, count, response.Rented)
		case message.CloudNoCapacity:
			leader.endBooking(bookingKey{host, kind}, idempotencyKey, count)
			leader.blockedUntil[kind] = leader.now.Add(leader.jitter(refusedBackoff))
		case message.CloudMalformed:
			leader.endBooking(bookingKey{host, kind}, idempotencyKey, count)
			leader.blockedUntil[kind] = leader.now.Add(time.Minute)
			leader.info("booking rejected by the cloud as malformed", "machine_type", kind.machineType)
		default:
			leader.after(leader.jitter(time.Second), func() {
				if leader := leader.controller.leader; leader != nil && leader.generation == generation {
					leader.sendBooking(host, kind, count, idempotencyKey)
				}
			})
		}
	})
}

// endBooking records that a booking was answered.
func (leader *leader) endBooking(key bookingKey, idempotencyKey string, count int) {
	delete(leader.bookingsInFlight, idempotencyKey)
	if leader.pendingRentals[key] -= count; leader.pendingRentals[key] <= 0 {
		delete(leader.pendingRentals, key)
	}
}

// receiveRented stores the machines that the cloud has rented out in response to a booking of
// count machines for host.
func (leader *leader) receiveRented(host string, kind machineKind, count int, ids []string) {
	for _, id := range ids {
		rental := &rental{id: id, machineKind: kind, rentedAt: leader.now, status: "booting"}
		leader.rentals[id] = rental
		if leader.ownerOf(id) != host {
			leader.sharding.unrecordedMachines[id] = sharding.NewMachine{ID: id, Host: host, KnownAt: leader.now}
		}
		leader.controller.adopt(rental)
	}
	// The capacity requests of the shard leader on host count again once it knows of these
	// machines.
	leader.requiredSeq[host] = leader.seq + 1
	if len(ids) < count {
		leader.blockedUntil[kind] = leader.now.Add(leader.jitter(refusedBackoff))
	}
	leader.planShards()
}

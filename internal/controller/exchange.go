package controller

import (
	"slices"
	"time"

	"github.com/micahill/micahill/internal/exchange"
	"github.com/micahill/micahill/internal/message"
)

// exchange.go is the leader's part of scaling. The leader hands over machines that one shard leader
// can spare to another that needs them, and sends the remaining requests to the cloud.
// internal/exchange matches requests with machines.

const (
	// maxHandovers bounds the machines handed over in one tick.
	maxHandovers = 200
	// handoverCooldown is how long a machine stays with its new owner after a handover, so that
	// it is not moved back and forth.
	handoverCooldown = 20 * time.Second
	// maxSurplus bounds the machines that a shard leader offers as surplus.
	maxSurplus = 200
	// handoverTime is the time from a handover until the new owner can use the machine.
	handoverTime = 2 * time.Second
	// statusComing is the status of a machine that is being handed over, as published to its
	// new owner.
	statusComing = "coming"
)

// exchangeKind returns the kind as a type of internal/exchange.
func (kind machineKind) exchangeKind() exchange.Kind {
	return exchange.Kind{MachineType: kind.machineType, Zone: kind.zone, Spot: kind.spot}
}

// fromExchangeKind returns the machineKind for a kind of internal/exchange.
func fromExchangeKind(kind exchange.Kind) machineKind {
	return machineKind{kind.MachineType, kind.Zone, kind.Spot}
}

// fleetRequest holds what one shard leader requests from the leader and what it offers: the
// machines to rent by kind, the machines to release, and the machines that it can spare.
type fleetRequest struct {
	host     string
	capacity map[machineKind]int
	releases []string
	surplus  []string
}

// fleetRequests returns the requests of all shard leaders whose last update is fresh and was sent
// after they had received what was last rented for them; see requiredSeq.
func (leader *leader) fleetRequests() []fleetRequest {
	var out []fleetRequest
	if shardLeader := leader.controller.shardLeader; shardLeader != nil && shardLeader.ready {
		// Requests that could not be booked at once stay until the next tick.
		out = append(out, fleetRequest{leader.settings.Host, shardLeader.fleet.capacityRequests, shardLeader.fleet.takeReleases(), shardLeader.fleet.surplus})
	}
	for _, host := range sortedKeys(leader.updates) {
		received, ok := leader.freshUpdate(host)
		if !ok || received.update.Seq < leader.requiredSeq[host] {
			continue
		}
		request := fleetRequest{host, map[machineKind]int{}, received.update.ToRelease, received.update.Surplus}
		for _, capacityRequest := range received.update.CapacityRequests {
			request.capacity[machineKind{capacityRequest.MachineType, capacityRequest.Zone, capacityRequest.Spot}] += capacityRequest.Count
		}
		out = append(out, request)
	}
	return out
}

// exchangeMachines serves the requests of the shard leaders by handovers, bookings and releases.
func (leader *leader) exchangeMachines() {
	if leader.controller.membership.revision < leader.sharding.writtenRevision {
		// The owners of the machines are known only once the leader has read its last write
		// of the shard map.
		return
	}
	requests := leader.fleetRequests()
	var owners []exchange.Owner
	for _, request := range requests {
		owner := exchange.Owner{Host: request.host, CapacityRequests: map[exchange.Kind]int{}}
		for kind, count := range request.capacity {
			owner.CapacityRequests[kind.exchangeKind()] = count
		}
		for _, id := range request.surplus {
			if rental := leader.rentals[id]; rental != nil && rental.status == "running" && leader.canHandOver(id, request.host) {
				owner.Surplus = append(owner.Surplus, exchange.Machine{ID: id, Kind: rental.machineKind.exchangeKind()})
			}
		}
		owners = append(owners, owner)
	}
	handovers, bookings := exchange.Match(owners, exchange.Limits{
		MaxTransfers: maxHandovers, MaxScaleOuts: leader.bookingBudget(), MaxPerScaleOut: maxRentPerRequest,
		// A further request for a kind counts only when all bookings of that kind are answered.
		IsBusy: func(host string, kind exchange.Kind) bool {
			return leader.pendingRentals[bookingKey{host, fromExchangeKind(kind)}] > 0 || leader.blockedUntil[fromExchangeKind(kind)].After(leader.now)
		},
	})
	for _, handover := range handovers {
		leader.handOver(handover)
	}
	leader.transferMachines()
	for i := range requests {
		request := &requests[i]
		if request.host == leader.settings.Host {
			for kind := range request.capacity {
				// The remaining requests stay until the next tick.
				index := slices.IndexFunc(owners, func(owner exchange.Owner) bool { return owner.Host == request.host })
				request.capacity[kind] = owners[index].CapacityRequests[kind.exchangeKind()]
			}
		}
		leader.releaseFor(request.host, request.releases)
	}
	for _, booking := range bookings {
		leader.sendBooking(booking.Host, fromExchangeKind(booking.Kind), booking.Count, "")
	}
	for id, at := range leader.handedOverAt {
		if leader.now.Sub(at) > handoverCooldown {
			delete(leader.handedOverAt, id)
		}
	}
}

// canHandOver reports whether the shard leader on host may hand over a machine now.
func (leader *leader) canHandOver(id, host string) bool {
	_, assigned := leader.sharding.unrecordedMachines[id]
	_, recentlyHandedOver := leader.handedOverAt[id]
	return leader.ownerOf(id) == host && !assigned && !recentlyHandedOver && !leader.controller.knowledge.released[id]
}

// releaseFor releases the machines whose release the shard leader on host requests.
func (leader *leader) releaseFor(host string, ids []string) {
	var releasable []string
	for _, id := range ids {
		_, assigned := leader.sharding.unrecordedMachines[id]
		rental := leader.rentals[id]
		switch {
		case leader.ownerOf(id) != host || assigned:
		case leader.confirmedReleases[id]:
			leader.confirmReleased(id, host)
		case len(releasable) < maxReleasePerRequest && (rental == nil || !rental.releasing):
			releasable = append(releasable, id)
		}
	}
	if len(releasable) > 0 {
		leader.releaseMachines(releasable)
	}
}

// surplusExcept counts, by kind, the machines that the shard leaders on other hosts offer as
// surplus.
func (leader *leader) surplusExcept(host string) []message.CapacityRequest {
	byKind := map[machineKind]int{}
	count := func(owner string, ids []string) {
		for _, id := range ids {
			if rental := leader.rentals[id]; owner != host && rental != nil && rental.status == "running" && leader.canHandOver(id, owner) {
				byKind[rental.machineKind]++
			}
		}
	}
	if shardLeader := leader.controller.shardLeader; shardLeader != nil && shardLeader.ready {
		count(leader.settings.Host, shardLeader.fleet.surplus)
	}
	for _, from := range sortedKeys(leader.updates) {
		if received, ok := leader.freshUpdate(from); ok {
			count(from, received.update.Surplus)
		}
	}
	var out []message.CapacityRequest
	for _, kind := range sortedKinds(byKind) {
		out = append(out, message.CapacityRequest{MachineType: kind.machineType, Zone: kind.zone, Spot: kind.spot, Count: byKind[kind]})
	}
	return out
}

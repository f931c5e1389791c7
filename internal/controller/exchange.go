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
func (k machineKind) exchangeKind() exchange.Kind {
	return exchange.Kind{MachineType: k.machineType, Zone: k.zone, Spot: k.spot}
}

// fromExchangeKind returns the machineKind for a kind of internal/exchange.
func fromExchangeKind(k exchange.Kind) machineKind { return machineKind{k.MachineType, k.Zone, k.Spot} }

// fleetRequest holds what one shard leader requests from the leader and what it offers: the
// machines to rent by kind, the machines to release, and the machines that it can spare.
type fleetRequest struct {
	host     string
	capacity map[machineKind]int
	releases []string
	surplus  []string
}

// fleetRequests returns the requests of all shard leaders whose last update is fresh.
func (l *leader) fleetRequests() []fleetRequest {
	var out []fleetRequest
	if o := l.controller.shardLeader; o != nil && o.ready {
		// Requests that could not be booked at once stay until the next tick.
		out = append(out, fleetRequest{l.settings.Host, o.fleet.capacityRequests, o.fleet.takeReleases(), o.fleet.surplus})
	}
	for _, host := range sortedKeys(l.updates) {
		w, ok := l.freshUpdate(host)
		if !ok || w.update.Seq < l.requiredSeq[host] {
			continue
		}
		x := fleetRequest{host, map[machineKind]int{}, w.update.ToRelease, w.update.Surplus}
		for _, k := range w.update.CapacityRequests {
			x.capacity[machineKind{k.MachineType, k.Zone, k.Spot}] += k.Count
		}
		out = append(out, x)
	}
	return out
}

// exchangeMachines serves the requests of the shard leaders by handovers, bookings and releases.
func (l *leader) exchangeMachines() {
	if l.controller.membership.revision < l.sharding.writtenRevision {
		// The owners of the machines are known only once the leader has read its last write
		// of the shard map.
		return
	}
	requests := l.fleetRequests()
	var owners []exchange.Owner
	for _, w := range requests {
		o := exchange.Owner{Host: w.host, CapacityRequests: map[exchange.Kind]int{}}
		for k, c := range w.capacity {
			o.CapacityRequests[k.exchangeKind()] = c
		}
		for _, id := range w.surplus {
			if r := l.rentals[id]; r != nil && r.status == "running" && l.canHandOver(id, w.host) {
				o.Surplus = append(o.Surplus, exchange.Machine{ID: id, Kind: r.machineKind.exchangeKind()})
			}
		}
		owners = append(owners, o)
	}
	handovers, bookings := exchange.Match(owners, exchange.Limits{
		MaxTransfers: maxHandovers, MaxScaleOuts: l.bookingBudget(), MaxPerScaleOut: maxRentPerRequest,
		// A further request for a kind counts only when all bookings of that kind are answered.
		IsBusy: func(host string, k exchange.Kind) bool {
			return l.pendingRentals[bookingKey{host, fromExchangeKind(k)}] > 0 || l.blockedUntil[fromExchangeKind(k)].After(l.now)
		},
	})
	for _, m := range handovers {
		l.handOver(m)
	}
	l.transferMachines()
	for i := range requests {
		w := &requests[i]
		if w.host == l.settings.Host {
			for k := range w.capacity {
				// The remaining requests stay until the next tick.
				j := slices.IndexFunc(owners, func(o exchange.Owner) bool { return o.Host == w.host })
				w.capacity[k] = owners[j].CapacityRequests[k.exchangeKind()]
			}
		}
		l.releaseFor(w.host, w.releases)
	}
	for _, b := range bookings {
		l.sendBooking(b.Host, fromExchangeKind(b.Kind), b.Count, "")
	}
	for id, at := range l.handedOverAt {
		if l.now.Sub(at) > handoverCooldown {
			delete(l.handedOverAt, id)
		}
	}
}

// canHandOver reports whether the shard leader on host may hand over a machine at present.
func (l *leader) canHandOver(id, host string) bool {
	_, assigned := l.sharding.unrecordedMachines[id]
	_, recentlyHandedOver := l.handedOverAt[id]
	return l.ownerOf(id) == host && !assigned && !recentlyHandedOver && !l.controller.knowledge.released[id]
}

// releaseFor returns to the cloud the machines whose release the shard leader on host requests.
func (l *leader) releaseFor(host string, ids []string) {
	var releasable []string
	for _, id := range ids {
		_, assigned := l.sharding.unrecordedMachines[id]
		r := l.rentals[id]
		switch {
		case l.ownerOf(id) != host || assigned:
		case l.confirmedReleases[id]:
			l.confirmReleased(id, host)
		case len(releasable) < maxReleasePerRequest && (r == nil || !r.releasing):
			releasable = append(releasable, id)
		}
	}
	if len(releasable) > 0 {
		l.releaseMachines(releasable)
	}
}

// surplusExcept counts, by kind, the machines that the shard leaders on other hosts offer as
// surplus.
func (l *leader) surplusExcept(host string) []message.CapacityRequest {
	byKind := map[machineKind]int{}
	count := func(of string, ids []string) {
		for _, id := range ids {
			if r := l.rentals[id]; of != host && r != nil && r.status == "running" && l.canHandOver(id, of) {
				byKind[r.machineKind]++
			}
		}
	}
	if o := l.controller.shardLeader; o != nil && o.ready {
		count(l.settings.Host, o.fleet.surplus)
	}
	for _, from := range sortedKeys(l.updates) {
		if w, ok := l.freshUpdate(from); ok {
			count(from, w.update.Surplus)
		}
	}
	var out []message.CapacityRequest
	for _, k := range sortedKinds(byKind) {
		out = append(out, message.CapacityRequest{MachineType: k.machineType, Zone: k.zone, Spot: k.spot, Count: byKind[k]})
	}
	return out
}

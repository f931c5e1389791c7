package controller

import (
	"slices"
	"time"

	"github.com/micahill/micahill/internal/exchange"
	"github.com/micahill/micahill/internal/message"
)

// exchange.go is the leader's part of scaling: it hands over machines that one shard leader can spare
// and another needs, and sends the other requests to the cloud. The matching is in internal/exchange.

const (
	// maxHandovers bounds the machines handed over in one tick; handoverCooldown is how long a
	// machine stays where it was handed over to, so that it is not moved to and fro.
	maxHandovers     = 200
	handoverCooldown = 20 * time.Second
	// maxSurplus bounds the machines that a shard leader offers.
	maxSurplus = 200
	// handoverTime is how long a machine that is handed over takes to be of use there.
	handoverTime = 2 * time.Second
	// statusComing is the status of a machine that is being handed over, as published to the
	// shard leader that gets it.
	statusComing = "coming"
)

func (k machineKind) exchangeKind() exchange.Kind {
	return exchange.Kind{MachineType: k.machineType, Zone: k.zone, Spot: k.spot}
}

func fromExchangeKind(k exchange.Kind) machineKind { return machineKind{k.MachineType, k.Zone, k.Spot} }

// fleetRequest is what a shard leader asks of the leader.
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
		// What could not be booked at once stays requested until the next tick.
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

// exchangeMachines meets the requests of the shard leaders, by handovers, bookings and releases.
func (l *leader) exchangeMachines() {
	if l.controller.membership.revision < l.sharding.writtenRevision {
		// The machines' owners are not known before the last write has been read.
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
		// A further request for a kind counts only when all bookings of it are answered.
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
				// What is left of them stays requested until the next tick.
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

// canHandOver reports whether a machine may be handed over by a shard leader now.
func (l *leader) canHandOver(id, host string) bool {
	_, assigned := l.sharding.unrecordedMachines[id]
	_, recentlyHandedOver := l.handedOverAt[id]
	return l.ownerOf(id) == host && !assigned && !recentlyHandedOver && !l.controller.knowledge.released[id]
}

// releaseFor returns to the cloud the machines that a shard leader has released.
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

// surplusExcept counts, by kind, the machines that shard leaders other than that on host offer.
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

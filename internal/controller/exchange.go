package controller

import (
	"slices"
	"time"

	"github.com/micahill/micahill/internal/exchange"
	"github.com/micahill/micahill/internal/message"
	"github.com/micahill/micahill/internal/sharding"
)

// exchange.go carries out what the owners ask of the cloud, and hands over what one has
// to spare and another wants; what is decided is in internal/exchange.

const (
	// maxHandovers bounds the machines handed over in one look, and handoverCooldown is how long
	// one that was stays where it is: to and fro it would only report.
	maxHandovers     = 200
	handoverCooldown = 20 * time.Second
	// maxSurplus bounds the machines that an owner says it has to spare.
	maxSurplus = 200
	// handoverTime is how long a machine that is handed over takes to be of use there.
	handoverTime = 2 * time.Second
	// statusComing is the status of a machine that is being handed over, for whoever gets it.
	statusComing = "coming"
)

func (k machineKind) exchangeKind() exchange.Kind {
	return exchange.Kind{MachineType: k.machineType, Zone: k.zone, Spot: k.spot}
}

func fromExchangeKind(k exchange.Kind) machineKind { return machineKind{k.MachineType, k.Zone, k.Spot} }

// fleetRequest is what an owner asks of the leader.
type fleetRequest struct {
	host     string
	capacity map[machineKind]int
	releases []string
	surplus  []string
}

// fleetRequests are those of all owners whose word is fresh.
func (l *leader) fleetRequests() []fleetRequest {
	var out []fleetRequest
	if o := l.controller.shardLeader; o != nil && o.ready {
		// What could not be booked at once stays wanted until the next look.
		out = append(out, fleetRequest{l.settings.Host, o.fleet.capacityRequests, o.fleet.machinesToRelease, o.fleet.surplus})
		o.fleet.machinesToRelease = nil
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

// exchangeMachines meets the wishes.
func (l *leader) exchangeMachines() {
	if l.controller.membership.revision < l.sharding.writtenRevision {
		// Whose the machines are is not known before what was written has been read.
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
		// One more wish is heard only when all bookings of it are answered.
		IsBusy: func(host string, k exchange.Kind) bool {
			return l.pendingRentals[bookingKey{host, fromExchangeKind(k)}] > 0 || l.blockedUntil[fromExchangeKind(k)].After(l.now)
		},
	})
	for _, m := range handovers {
		l.sharding.unrecordedMachines[m.ID] = sharding.NewMachine{ID: m.ID, Host: m.To, KnownAt: l.now}
		l.handedOverAt[m.ID] = l.now
		l.rentals[m.ID].handedOverAt = l.now
		// Its wishes count again when it knows of these.
		l.requiredSeq[m.To] = l.seq + 1
		l.debug("handed over", "machine", m.ID, "from", m.From, "to", m.To)
	}
	for i := range requests {
		w := &requests[i]
		if w.host == l.settings.Host {
			for k := range w.capacity {
				// What is left of them stays wanted until the next look.
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

// canHandOver says that a machine may be handed over by an owner now.
func (l *leader) canHandOver(id, host string) bool {
	_, assigned := l.sharding.unrecordedMachines[id]
	_, recentlyHandedOver := l.handedOverAt[id]
	return l.ownerOf(id) == host && !assigned && !recentlyHandedOver && !l.controller.knowledge.released[id]
}

// releaseFor returns machines that their owner no longer wants.
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

// surplusFor counts what others than an owner have to spare, by kind.
func surplusFor(c *Controller, host string) []message.CapacityRequest {
	l := c.leader
	byKind := map[machineKind]int{}
	count := func(of string, ids []string) {
		for _, id := range ids {
			if r := l.rentals[id]; of != host && r != nil && r.status == "running" && c.leader.canHandOver(id, of) {
				byKind[r.machineKind]++
			}
		}
	}
	if o := c.shardLeader; o != nil && o.ready {
		count(c.settings.Host, o.fleet.surplus)
	}
	for _, h := range sortedKeys(l.updates) {
		if w, ok := c.leader.freshUpdate(h); ok {
			count(h, w.update.Surplus)
		}
	}
	var out []message.CapacityRequest
	for _, k := range sortedKinds(byKind) {
		out = append(out, message.CapacityRequest{MachineType: k.machineType, Zone: k.zone, Spot: k.spot, Count: byKind[k]})
	}
	return out
}

package controller

import (
	"github.com/micahill/micahill/internal/exchange"
	"github.com/micahill/micahill/internal/message"
	"github.com/micahill/micahill/internal/sharding"
)

// transfers.go is the leader's part in transfers of machines that are in use. The leader publishes
// to each shard leader the requests of the other shard leaders, and writes the transfers that
// internal/exchange chooses into the shard map.

// exchangers returns the shard leaders whose last update is fresh, with their requests and
// offers.
func (l *leader) exchangers() []exchange.Exchanger {
	var out []exchange.Exchanger
	if o := l.controller.shardLeader; o != nil && o.ready {
		out = append(out, exchange.Exchanger{Host: l.settings.Host, Requests: o.transfers.requests, Offers: o.transfers.offers})
	}
	for _, host := range sortedKeys(l.updates) {
		if w, ok := l.freshUpdate(host); ok && w.update.Seq >= l.requiredSeq[host] {
			out = append(out, exchange.Exchanger{Host: host, Requests: w.update.TransferRequests, Offers: w.update.TransferOffers})
		}
	}
	return out
}

// validOffers returns the offers of machines that their owner may give away at present. An offer
// of a machine that does not belong to the sender is rejected as invalid input, except just
// after a transfer, when the offer is merely late.
func (l *leader) validOffers(host string, offers []exchange.TransferOffer) []exchange.TransferOffer {
	var out []exchange.TransferOffer
	for _, o := range offers {
		r := l.rentals[o.ID]
		_, recentlyHandedOver := l.handedOverAt[o.ID]
		switch {
		case r == nil:
			l.controller.rejectInput("transfer offer", host, "transfer_offers.machine: not a machine of this cluster")
		case l.ownerOf(o.ID) != host && !recentlyHandedOver:
			l.controller.rejectInput("transfer offer", host, "transfer_offers.machine: not a machine of the sender")
		case r.status == "running" && !r.releasing && l.canHandOver(o.ID, host):
			// The kind is taken from the cloud's list, not from the sender.
			o.Kind = r.machineKind.exchangeKind()
			out = append(out, o)
		}
	}
	return out
}

// transferMachines transfers machines in use to shard leaders that have jobs left waiting.
func (l *leader) transferMachines() {
	owners := l.exchangers()
	for i := range owners {
		owners[i].Offers = l.validOffers(owners[i].Host, owners[i].Offers)
	}
	transfers := exchange.MatchOffers(owners, l.controller.knowledge.sizeOfKind, maxHandovers, func(team string) bool { return l.transferQuota.Allow(l.now, team) })
	for _, t := range transfers {
		l.handOver(t)
		l.info("machine transferred for waiting jobs", "machine", t.ID, "from", t.From, "to", t.To)
	}
}

// handOver assigns a machine to another shard leader. The next write of the shard map records
// the change.
func (l *leader) handOver(t exchange.Transfer) {
	l.sharding.unrecordedMachines[t.ID] = sharding.NewMachine{ID: t.ID, Host: t.To, KnownAt: l.now}
	l.handedOverAt[t.ID] = l.now
	l.rentals[t.ID].handedOverAt = l.now
	// The requests of the new owner count again once it knows of this machine.
	l.requiredSeq[t.To] = l.seq + 1
	l.debug("machine handed over", "machine", t.ID, "from", t.From, "to", t.To)
}

// requestsOfOthers returns, for each of the hosts, the requests of the shard leaders on other
// hosts.
func (l *leader) requestsOfOthers(hosts []string) map[string][]exchange.TransferRequest {
	owners := l.exchangers()
	out := map[string][]exchange.TransferRequest{}
	for _, host := range hosts {
		for _, o := range owners {
			if o.Host != host {
				out[host] = append(out[host], o.Requests...)
			}
		}
		if len(out[host]) > message.MaxTransferRequests {
			out[host] = exchange.ByWait(out[host])[:message.MaxTransferRequests]
		}
	}
	return out
}

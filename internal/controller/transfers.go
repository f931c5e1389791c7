package controller

import (
	"github.com/micahill/micahill/internal/exchange"
	"github.com/micahill/micahill/internal/message"
	"github.com/micahill/micahill/internal/sharding"
)

// transfers.go is the leader's part in transfers of machines that are in use: it publishes to each
// shard leader what the others request, and writes the transfers that internal/exchange chooses
// into the shard map.

// exchangers returns the shard leaders with their requests and offers, as far as these are fresh.
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

// validOffers returns the offers of machines that their owner may give away now. An offer of a
// machine that is not the sender's is refused; just after a transfer it is only late.
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
			// The kind is the cloud's word, not the sender's.
			o.Kind = r.machineKind.exchangeKind()
			out = append(out, o)
		}
	}
	return out
}

// transferMachines transfers machines in use to shard leaders whose jobs are left waiting.
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

// handOver notes that a machine goes from one shard leader to another. The shard map says so when
// the next change of it is written.
func (l *leader) handOver(t exchange.Transfer) {
	l.sharding.unrecordedMachines[t.ID] = sharding.NewMachine{ID: t.ID, Host: t.To, KnownAt: l.now}
	l.handedOverAt[t.ID] = l.now
	l.rentals[t.ID].handedOverAt = l.now
	// Its requests count again when it knows of this machine.
	l.requiredSeq[t.To] = l.seq + 1
	l.debug("machine handed over", "machine", t.ID, "from", t.From, "to", t.To)
}

// requestsOfOthers returns, by host, what shard leaders other than that one request.
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

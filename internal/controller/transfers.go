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
func (leader *leader) exchangers() []exchange.Participant {
	var out []exchange.Participant
	if shardLeader := leader.controller.shardLeader; shardLeader != nil && shardLeader.ready {
		own := exchange.Participant{Host: leader.settings.Host, Offers: shardLeader.transfers.offers}
		if shardLeader.transfers.updatedAt.After(leader.ownHandoverAt) {
			own.Requests = shardLeader.transfers.requests
		}
		out = append(out, own)
	}
	for _, host := range sortedKeys(leader.updates) {
		if received, ok := leader.freshUpdate(host); ok && received.update.Seq >= leader.requiredSeq[host] {
			out = append(out, exchange.Participant{Host: host, Requests: received.update.TransferRequests, Offers: received.update.TransferOffers})
		}
	}
	return out
}

// validOffers returns the offers of machines that their owner may give away now. An offer
// of a machine that does not belong to the sender is rejected as invalid input, except just
// after a transfer, when the offer is merely late.
func (leader *leader) validOffers(host string, offers []exchange.TransferOffer) []exchange.TransferOffer {
	var out []exchange.TransferOffer
	for _, offer := range offers {
		rental := leader.rentals[offer.ID]
		_, recentlyHandedOver := leader.handedOverAt[offer.ID]
		switch {
		case rental == nil:
			leader.controller.rejectInput("transfer offer", host, "transfer_offers.machine: not a machine of this cluster")
		case leader.ownerOf(offer.ID) != host && !recentlyHandedOver:
			leader.controller.rejectInput("transfer offer", host, "transfer_offers.machine: not a machine of the sender")
		case rental.status == "running" && !rental.releasing && leader.canHandOver(offer.ID, host):
			// The kind is taken from the cloud's list, not from the sender.
			offer.Kind = rental.machineKind.exchangeKind()
			out = append(out, offer)
		}
	}
	return out
}

// transferMachines transfers machines in use to shard leaders that have jobs left waiting.
func (leader *leader) transferMachines() {
	owners := leader.exchangers()
	for i := range owners {
		owners[i].Offers = leader.validOffers(owners[i].Host, owners[i].Offers)
	}
	transfers := exchange.MatchOffers(owners, leader.controller.knowledge.sizeOfKind, maxHandovers, func(team string) bool { return leader.transferQuota.Allow(leader.now, team) })
	for _, transfer := range transfers {
		leader.handOver(transfer)
		leader.info("machine transferred for waiting jobs", "machine", transfer.ID, "from", transfer.From, "to", transfer.To)
	}
}

// handOver assigns a machine to another shard leader. The next write of the shard map records
// the change.
func (leader *leader) handOver(transfer exchange.Transfer) {
	leader.sharding.unrecordedMachines[transfer.ID] = sharding.NewMachine{ID: transfer.ID, Host: transfer.To, KnownAt: leader.now}
	leader.handedOverAt[transfer.ID] = leader.now
	leader.rentals[transfer.ID].handedOverAt = leader.now
	// The requests of the new owner count again once it knows of this machine.
	leader.requiredSeq[transfer.To] = leader.seq + 1
	if transfer.To == leader.settings.Host {
		leader.ownHandoverAt = leader.now
	}
	leader.debug("machine handed over", "machine", transfer.ID, "from", transfer.From, "to", transfer.To)
}

// requestsOfOthers returns, for each of the hosts, the requests of the shard leaders on other
// hosts.
func (leader *leader) requestsOfOthers(hosts []string) map[string][]exchange.TransferRequest {
	owners := leader.exchangers()
	out := map[string][]exchange.TransferRequest{}
	for _, host := range hosts {
		for _, owner := range owners {
			if owner.Host != host {
				out[host] = append(out[host], owner.Requests...)
			}
		}
		if len(out[host]) > message.MaxTransferRequests {
			out[host] = exchange.ByWait(out[host])[:message.MaxTransferRequests]
		}
	}
	return out
}

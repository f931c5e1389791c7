package peer

import (
	"github.com/micahill/micahill/internal/message"
)

// encodeUpdate converts an update to its protobuf message. The names of the protobuf fields, which
// are fixed, differ from those in the code; only this file and wire_parts.go map the one to the
// other.
func encodeUpdate(update message.PeerUpdate) *Update {
	return &Update{
		From: update.From, Life: update.Incarnation, StateAway: update.StoreUnavailable,
		Progress: mapSlice(update.Progress, encodeProgress),
		Loads:    mapSlice(update.WorkloadLoads, encodeWorkloadLoad),
		Hosts:    mapSlice(update.MachineUpdates, encodeMachine),

		Asks: update.IsCapacityRequest, Seq: update.Seq, Idle: update.ToRelease, ToSpare: update.Surplus,
		Wants:  mapSlice(update.CapacityRequests, encodeCapacityRequest),
		Teams:  mapSlice(update.TeamLoads, encodeTeamLoad),
		Offers: mapSlice(update.Offers, encodeOffer),
		Rates:  encodeRates(update.Rates),

		Tells:   update.IsLeaderUpdate,
		Rentals: mapSlice(update.RentalUpdates, encodeRental),
		Blocked: mapSlice(update.Blocked, encodeCapacityRequest),
		Release: mapSlice(update.TeamRelease, encodeTeamRelease),
		Spare:   mapSlice(update.SurplusElsewhere, encodeCapacityRequest),

		Wards: mapSlice(update.RemoteAttempts, encodeRemoteRequest),
		Told:  mapSlice(update.RemoteStatuses, encodeRemoteStatus),

		Needs: mapSlice(update.HostNeeds, encodeHostNeed),
		Lacks: mapSlice(update.OthersNeeds, encodeHostNeed),
		Empty: mapSlice(update.EvacuationRequests, encodeHostNeed),
		Costs: mapSlice(update.EvacuationCosts, encodeHostCost),

		TransferRequests:       mapSlice(update.TransferRequests, encodeTransferRequest),
		OthersTransferRequests: mapSlice(update.OthersTransferRequests, encodeTransferRequest),
		TransferOffers:         mapSlice(update.TransferOffers, encodeTransferOffer),

		Quotes: mapSlice(update.Quotes, encodeTeamQuotes),
		Came:   mapSlice(update.Rerouted, encodeReroutedHeartbeat),

		Cancelled:    mapSlice(update.Cancellations, encodeCancellation),
		CancelsHeard: update.CancellationAcks,
	}
}

// decodeUpdate converts a protobuf message to an update. It does not check the values.
func decodeUpdate(pb *Update) message.PeerUpdate {
	return message.PeerUpdate{
		From: pb.From, Incarnation: pb.Life, StoreUnavailable: pb.StateAway,
		Progress:       mapSlice(pb.Progress, decodeProgress),
		WorkloadLoads:  mapSlice(pb.Loads, decodeWorkloadLoad),
		MachineUpdates: mapSlice(pb.Hosts, decodeMachine),

		IsCapacityRequest: pb.Asks, Seq: pb.Seq, ToRelease: pb.Idle, Surplus: pb.ToSpare,
		CapacityRequests: mapSlice(pb.Wants, decodeCapacityRequest),
		TeamLoads:        mapSlice(pb.Teams, decodeTeamLoad),
		Offers:           mapSlice(pb.Offers, decodeOffer),
		Rates:            decodeRates(pb.Rates),

		IsLeaderUpdate:   pb.Tells,
		RentalUpdates:    mapSlice(pb.Rentals, decodeRental),
		Blocked:          mapSlice(pb.Blocked, decodeCapacityRequest),
		TeamRelease:      mapSlice(pb.Release, decodeTeamRelease),
		SurplusElsewhere: mapSlice(pb.Spare, decodeCapacityRequest),

		RemoteAttempts: mapSlice(pb.Wards, decodeRemoteRequest),
		RemoteStatuses: mapSlice(pb.Told, decodeRemoteStatus),

		HostNeeds:          mapSlice(pb.Needs, decodeHostNeed),
		OthersNeeds:        mapSlice(pb.Lacks, decodeHostNeed),
		EvacuationRequests: mapSlice(pb.Empty, decodeHostNeed),
		EvacuationCosts:    mapSlice(pb.Costs, decodeHostCost),

		TransferRequests:       mapSlice(pb.TransferRequests, decodeTransferRequest),
		OthersTransferRequests: mapSlice(pb.OthersTransferRequests, decodeTransferRequest),
		TransferOffers:         mapSlice(pb.TransferOffers, decodeTransferOffer),

		Quotes:   mapSlice(pb.Quotes, decodeTeamQuotes),
		Rerouted: mapSlice(pb.Came, decodeReroutedHeartbeat),

		Cancellations:    mapSlice(pb.Cancelled, decodeCancellation),
		CancellationAcks: pb.CancelsHeard,
	}
}

// mapSlice converts each element of a slice. The result for an empty slice is nil, as the protobuf
// decoder returns it.
func mapSlice[A, B any](elements []A, convert func(A) B) []B {
	var converted []B
	for _, element := range elements {
		converted = append(converted, convert(element))
	}
	return converted
}

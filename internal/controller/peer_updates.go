package controller

import (
	"time"

	"github.com/micahill/micahill/internal/message"
)

// predecessorMachine is the update that another shard leader last published of one of its
// machines, and when the update was received.
type predecessorMachine struct {
	message.MachineUpdate
	receivedAt time.Time
}

// receivePeerUpdate applies an update from another controller. If the sender is not a current
// incarnation of the membership, only its rates and the state of its store connection count.
func (controller *Controller) receivePeerUpdate(update message.PeerUpdate) {
	if err := update.Validate(); err != nil {
		controller.rejectInput("peer update", update.From, err.Error())
		return
	}
	if update.StoreUnavailable {
		controller.membership.notePeerWithoutStore(update.From)
	}
	if update.Rates != nil {
		controller.rateLimits.receivePeerRates(update.From, *update.Rates)
	}
	if !controller.membership.fromCurrentIncarnation(&update) {
		return
	}
	if len(update.Cancellations) > 0 {
		controller.cancellations.receive(update.From, update.Cancellations)
	}
	controller.cancellations.acknowledge(update.From, update.CancellationAcks)
	controller.frontend.receiveProgress(update.Progress)
	controller.inheritLoads(update.WorkloadLoads)
	for _, quotes := range update.Quotes {
		if controller.promises.enabled() {
			controller.promises.acceptQuotes(update.From, quotes.Value, true)
		}
	}
	if controller.shardLeader != nil {
		controller.shardLeader.remoteAttempts.receiveRemoteRequests(update.From, update.RemoteAttempts)
		controller.shardLeader.remoteAttempts.receiveRemoteAttempts(update.From, update.RemoteStatuses)
		controller.partition.applyReroutedHeartbeats(update.Rerouted)
	}
	controller.knowledge.recordMachineUpdates(update.MachineUpdates)
	if update.IsCapacityRequest && controller.leader != nil {
		controller.leader.receiveUpdate(controller.now, update)
	}
	if update.IsLeaderUpdate && controller.shardLeader != nil && controller.leader == nil && update.Incarnation == controller.membership.leader.Incarnation {
		controller.receiveLeaderUpdate(update)
	}
}

// receivePeerRates records the store rates that another controller uses.
func (limits *rateLimits) receivePeerRates(from string, rates message.Rates) {
	limits.peers[from] = peerRates{limits.now, rates}
}

// receiveProgress records the progress of jobs of other shard leaders.
func (frontend *frontend) receiveProgress(progress []message.Progress) {
	for _, entry := range progress {
		frontend.progressByJob[entry.ID] = entry
	}
}

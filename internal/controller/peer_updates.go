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
func (c *Controller) receivePeerUpdate(u message.PeerUpdate) {
	if err := u.Validate(); err != nil {
		c.rejectInput("peer update", u.From, err.Error())
		return
	}
	if u.StoreUnavailable {
		c.membership.notePeerWithoutStore(u.From)
	}
	if u.Rates != nil {
		c.rateLimits.receivePeerRates(u.From, *u.Rates)
	}
	if !c.membership.fromCurrentIncarnation(&u) {
		return
	}
	if len(u.Cancellations) > 0 {
		c.cancellations.receive(u.From, u.Cancellations)
	}
	c.cancellations.acknowledge(u.From, u.CancellationAcks)
	c.frontend.receiveProgress(u.Progress)
	c.inheritLoads(u.WorkloadLoads)
	for _, q := range u.Quotes {
		if c.promises.enabled() {
			c.promises.acceptQuotes(u.From, q.Value, true)
		}
	}
	if c.shardLeader != nil {
		c.shardLeader.remoteAttempts.receiveRemoteRequests(u.From, u.RemoteAttempts)
		c.shardLeader.remoteAttempts.receiveRemoteAttempts(u.From, u.RemoteStatuses)
		c.partition.applyReroutedHeartbeats(u.Rerouted)
	}
	c.knowledge.recordMachineUpdates(u.MachineUpdates)
	if u.IsCapacityRequest && c.leader != nil {
		c.leader.receiveUpdate(c.now, u)
	}
	if u.IsLeaderUpdate && c.shardLeader != nil && c.leader == nil && u.Incarnation == c.membership.leader.Incarnation {
		c.receiveLeaderUpdate(u)
	}
}

// receivePeerRates records the store rates that another controller uses.
func (r *rateLimits) receivePeerRates(from string, rates message.Rates) {
	r.peers[from] = peerRates{r.now, rates}
}

// receiveProgress records the progress of jobs of other shard leaders.
func (f *frontend) receiveProgress(progress []message.Progress) {
	for _, p := range progress {
		f.progressByJob[p.ID] = p
	}
}

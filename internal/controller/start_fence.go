package controller

import "time"

// start_fence.go raises the epoch of a worker, so that the worker refuses the starts that were sent
// to it earlier.
//
// Former versions sent starts in direct requests, which the network may deliver again minutes after
// the worker has answered them. A worker executes a start again if it arrives once more after the
// attempt was cleared. So a clear is sent only under an epoch above that of every earlier start: the worker stores the epoch before it
// executes the clear, and refuses a later arrival of the start.
//
// No write is needed for such an epoch. Each revision at which this controller owned the machine
// will do: the record that names the next owner is written later, so the next owner's epoch is
// higher. The revision that the shard map has reached is such a revision.

// ownershipReadInterval is the least time between two reads of the shard map for clears.
const ownershipReadInterval = time.Second

// firstEpochs returns the command epoch of a machine that the shard leader adds, owned under the
// given epoch, and the highest epoch under which this controller may have sent a start to it before:
// the machine may have been removed and come back. No epoch that this controller has used is above
// the revision of the shard map.
func (shardLeader *shardLeader) firstEpochs(id string, epoch uint64) (commandEpoch, lastStartEpoch uint64) {
	commandEpoch = max(epoch, shardLeader.heartbeats.lastHeartbeats[id].commandEpoch)
	return commandEpoch, max(commandEpoch, shardLeader.controller.membership.revision)
}

// commandEpoch returns the epoch under which commands go to a machine that is owned under the given
// epoch.
func (shardLeader *shardLeader) commandEpoch(id string, epoch uint64) uint64 {
	if m := shardLeader.machines[id]; m != nil {
		return max(epoch, m.commandEpoch)
	}
	return max(epoch, shardLeader.heartbeats.lastHeartbeats[id].commandEpoch)
}

// raiseEpoch applies a new epoch under which the machine is owned.
func (machine *machine) raiseEpoch(epoch uint64) {
	machine.epoch, machine.commandEpoch = epoch, max(machine.commandEpoch, epoch)
}

// hasSeenEpoch reports whether the worker has seen an epoch of this controller, so that no command of
// a former owner can be executed. An epoch above the command epoch is that of another controller.
func (machine *machine) hasSeenEpoch() bool {
	return machine.seenEpoch >= machine.epoch && machine.seenEpoch <= machine.commandEpoch
}

// restartUnfenced reports whether the worker has restarted and has not yet seen an epoch above those
// of the commands that were sent before the restart.
func (machine *machine) restartUnfenced() bool {
	return machine.restartEpoch != 0 && machine.seenEpoch <= machine.restartEpoch
}

// canFenceStarts reports whether an epoch above that of every earlier start to m can be used. If
// not, it has the shard map read.
func (dispatcher *dispatcher) canFenceStarts(m *machine) bool {
	if m.commandEpoch > m.lastStartEpoch {
		return true
	}
	members := &dispatcher.controller.membership
	if _, owned := members.ownedMachine(m.id); owned && members.revision > m.lastStartEpoch {
		return true
	}
	dispatcher.awaitOwnership(m)
	return false
}

// fenceStarts raises the command epoch of m above that of every earlier start, unless it is above it
// already. canFenceStarts must have returned true.
func (dispatcher *dispatcher) fenceStarts(m *machine) {
	if m.commandEpoch <= m.lastStartEpoch {
		m.commandEpoch = dispatcher.controller.membership.revision
	}
}

// awaitOwnership has the shard map read, and then the commands for m dispatched. One read serves all
// machines that wait.
func (dispatcher *dispatcher) awaitOwnership(m *machine) {
	if !m.awaitsOwnership {
		m.awaitsOwnership = true
		dispatcher.awaitingOwnership = append(dispatcher.awaitingOwnership, m)
	}
	if dispatcher.ownershipReadScheduled {
		return
	}
	dispatcher.ownershipReadScheduled = true
	wait := max(0, dispatcher.ownershipReadAt.Add(ownershipReadInterval).Sub(dispatcher.now))
	dispatcher.after(wait, dispatcher.readOwnership)
}

// readOwnership reads the shard map for the machines that wait. If the read fails, the next clear
// that is due has it repeated.
func (dispatcher *dispatcher) readOwnership() {
	dispatcher.ownershipReadScheduled, dispatcher.ownershipReadAt = false, dispatcher.now
	leader := dispatcher.controller.shardLeader
	if leader == nil || &leader.dispatcher != dispatcher {
		return
	}
	waiting := dispatcher.awaitingOwnership
	dispatcher.awaitingOwnership = nil
	for _, m := range waiting {
		m.awaitsOwnership = false
	}
	dispatcher.controller.membership.confirmControlRecords(func() {
		if dispatcher.controller.shardLeader != leader {
			return
		}
		for _, m := range waiting {
			dispatcher.controller.markDispatchPending(m)
		}
	})
}

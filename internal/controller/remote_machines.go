package controller

// ensureRemoteMachine returns the state of a machine of another owner, and adds it if it is missing. The
// state covers only the attempts of this shard leader's jobs on the machine.
func (attempts *remoteAttempts) ensureRemoteMachine(id string) *machine {
	m := attempts.machines[id]
	if m == nil {
		m = &machine{id: id, remote: true, attempts: map[taskKey]*task{}, images: map[string]*image{}}
		if predecessor, ok := attempts.controller.knowledge.predecessorMachines[id]; ok {
			m.zone, m.machineType, m.spot = predecessor.Zone, predecessor.MachineType, predecessor.Spot
		}
		attempts.machines[id] = m
	}
	return m
}

// dropIfEmpty drops a remote machine that has no attempts left.
func (attempts *remoteAttempts) dropIfEmpty(m *machine) {
	if len(m.attempts) == 0 {
		attempts.forgetMachine(m.id)
		m.removed = true
	}
}

// forgetMachine drops a remote machine.
func (attempts *remoteAttempts) forgetMachine(id string) { delete(attempts.machines, id) }

// ownedOrRemoteMachine returns the machine that a record names, whether or not this
// controller owns it.
func (shardLeader *shardLeader) ownedOrRemoteMachine(id string) *machine {
	if _, owned := shardLeader.controller.membership.ownedMachine(id); owned {
		return shardLeader.ensureMachine(id)
	}
	return shardLeader.remoteAttempts.ensureRemoteMachine(id)
}

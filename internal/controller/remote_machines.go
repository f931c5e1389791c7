package controller

// remoteMachine is a machine of another owner, as far as jobs held here have attempts there.
func (s *shardLeader) remoteMachine(id string) *machine {
	a := s.remoteAttempts.machines[id]
	if a == nil {
		a = &machine{id: id, remote: true, attempts: map[taskKey]*task{}, images: map[string]*image{}}
		if h, ok := s.controller.knowledge.predecessorMachines[id]; ok {
			a.zone, a.machineType, a.spot = h.Zone, h.MachineType, h.Spot
		}
		s.remoteAttempts.machines[id] = a
	}
	return a
}

// dropRemoteMachine drops a remote machine on which no attempt is left.
func (s *shardLeader) dropRemoteMachine(a *machine) {
	if len(a.attempts) == 0 {
		delete(s.remoteAttempts.machines, a.id)
		a.removed = true
	}
}

// ownedOrRemoteMachine is the machine that a record names, whoever owns it.
func (s *shardLeader) ownedOrRemoteMachine(id string) *machine {
	if _, mine := s.controller.membership.ownedMachine(id); mine {
		return s.ensureMachine(id)
	}
	return s.remoteMachine(id)
}

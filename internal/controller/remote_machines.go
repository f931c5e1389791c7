package controller

// machine returns a machine of another owner, made if there is none, as far as jobs of this
// shard leader have attempts there.
func (r *remoteAttempts) machine(id string) *machine {
	m := r.machines[id]
	if m == nil {
		m = &machine{id: id, remote: true, attempts: map[taskKey]*task{}, images: map[string]*image{}}
		if p, ok := r.controller.knowledge.predecessorMachines[id]; ok {
			m.zone, m.machineType, m.spot = p.Zone, p.MachineType, p.Spot
		}
		r.machines[id] = m
	}
	return m
}

// dropIfEmpty drops a remote machine on which no attempt is left.
func (r *remoteAttempts) dropIfEmpty(m *machine) {
	if len(m.attempts) == 0 {
		r.forgetMachine(m.id)
		m.removed = true
	}
}

// forgetMachine forgets a remote machine.
func (r *remoteAttempts) forgetMachine(id string) { delete(r.machines, id) }

// ownedOrRemoteMachine is the machine that a record names, whoever owns it.
func (s *shardLeader) ownedOrRemoteMachine(id string) *machine {
	if _, mine := s.controller.membership.ownedMachine(id); mine {
		return s.ensureMachine(id)
	}
	return s.remoteAttempts.machine(id)
}

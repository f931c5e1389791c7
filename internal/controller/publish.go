package controller

import (
	"cmp"
	"slices"
	"time"

	"github.com/micahill/micahill/internal/message"
	"github.com/micahill/micahill/internal/sharding"
)

const (
	// machineUpdateTurns is in how many turns, a second each, all machines are published, and
	// machineUpdateTTL how long the peers remember one.
	machineUpdateTurns = 5
	machineUpdateTTL   = 15 * time.Second
	// loadsPublishInterval is how often the workloads' loads are published.
	loadsPublishInterval = 5 * time.Second
)

// machineUpdates is what a successor has to know of the machines, some of them in each turn,
// so that updates of a large pool are spread over the seconds.
func (s *shardLeader) machineUpdates() []message.MachineUpdate {
	var out []message.MachineUpdate
	s.publishTurn = (s.publishTurn + 1) % machineUpdateTurns
	for i, m := range s.machinesByID {
		if i%machineUpdateTurns != s.publishTurn {
			continue
		}
		id := m.id
		if !m.heard || m.releasing || s.heartbeats.unresponsive(m) {
			continue
		}
		h := message.MachineUpdate{ID: id, Addr: m.addr, MachineType: m.machineType, Zone: m.zone, Spot: m.spot, Images: map[string]float64{}}
		for name, im := range m.images {
			if im.cached {
				h.Images[name] = im.sizeGB
			}
		}
		out = append(out, h)
	}
	return out
}

// maxProgressPerUpdate bounds the jobs in one update.
const maxProgressPerUpdate = 3000

// publishToPeers sends the progress of open jobs to the other controllers and, to the leader,
// the requests for machines.
func (s *shardLeader) publishToPeers() {
	if s.now.Sub(s.publishedAt) < time.Second {
		return
	}
	s.publishedAt = s.now
	var update message.PeerUpdate
	update.From = s.settings.Host
	for _, id := range sortedKeys(s.jobs) {
		j := s.jobs[id]
		if len(update.Progress) >= maxProgressPerUpdate {
			// The rest goes with the next update.
			break
		}
		p := j.progress()
		if p != j.lastPublished {
			j.lastPublished = p
			update.Progress = append(update.Progress, p)
		}
	}
	if s.now.Sub(s.loadsPublishedAt) >= loadsPublishInterval {
		s.loadsPublishedAt = s.now
		update.WorkloadLoads = s.fleet.workloadLoads()
		update.Quotes = s.controller.promises.quotesUpdate()
	}
	update.MachineUpdates = s.machineUpdates()
	for _, p := range s.settings.Peers {
		out := update
		if s.controller.leader == nil && p == s.controller.membership.leader.Host && s.fleet.view != nil {
			s.addCapacityRequest(&out)
		}
		if len(out.Progress) > 0 || len(out.WorkloadLoads) > 0 || len(out.Quotes) > 0 || len(out.MachineUpdates) > 0 || out.IsCapacityRequest {
			s.emit(message.SendPeerUpdate{To: p, Update: out})
		}
	}
}

// addCapacityRequest adds to an update what the leader plans the fleet and the shards by: what
// this shard leader requests, and what it could give.
func (s *shardLeader) addCapacityRequest(out *message.PeerUpdate) {
	out.IsCapacityRequest = true
	out.Seq, out.ToRelease, out.Surplus = s.fleet.leaderUpdateSeq, s.fleet.machinesToRelease, s.fleet.surplus
	out.Offers, out.TeamLoads = s.offers(), s.teamLoads()
	for _, k := range sortedKinds(s.fleet.capacityRequests) {
		out.CapacityRequests = append(out.CapacityRequests, message.CapacityRequest{MachineType: k.machineType, Zone: k.zone, Spot: k.spot, Count: s.fleet.capacityRequests[k]})
	}
	out.TransferRequests, out.TransferOffers = s.transfers.requests, s.transfers.offers
	if s.migration.state != nil {
		out.HostNeeds, out.EvacuationCosts = s.migration.state.evacuation.needs, s.migration.state.evacuation.costs
	}
}

// publishLoadsSoon has the workloads' loads published with the next update.
func (s *shardLeader) publishLoadsSoon() { s.loadsPublishedAt = time.Time{} }

// receiveTeamRelease notes which team the leader wants to move, for offers.
func (s *shardLeader) receiveTeamRelease(r sharding.MoveRequest) {
	s.teamRelease, s.teamReleaseAt = r, s.now
}

// offers says which machines could go along with the team that the leader wants to move: as
// many as the team's part of what all teams here keep busy, so that its receiver does not
// begin with none. First go machines with tasks of this team only, then idle ones, then those
// that it uses most of; what others have on them goes on there.
func (s *shardLeader) offers() []sharding.Offer {
	r := s.teamRelease
	held := s.teams[r.Team]
	if r.From != s.settings.Host || s.now.Sub(s.teamReleaseAt) > updateTTL || held == nil || !held.ready {
		return nil
	}
	totalLoad, teamLoad := 0.0, 0.0
	for _, l := range s.teamLoads() {
		totalLoad += l.CPU + 1
		if l.Team == r.Team {
			teamLoad = l.CPU + 1
		}
	}
	type choice struct {
		m *machine
		// of is the team's part of what runs there, 1 for all of it, and 0.5 for an idle
		// machine.
		of float64
	}
	totalCPU := 0.0
	var choices []choice
	for _, m := range s.machinesByID {
		totalCPU += m.size.CPU
		if !m.heard || m.releasing || m.reclaimNoticed {
			continue
		}
		c := choice{m, 0.5}
		if !m.isEmpty() {
			teamCPU := 0.0
			for k := range m.attempts {
				if j := s.jobs[k.job]; j.Team == r.Team {
					teamCPU += j.Need.CPU
				}
			}
			c.of = teamCPU / max(m.used.CPU+m.othersUsed.CPU, teamCPU, roundingTolerance)
		}
		choices = append(choices, c)
	}
	slices.SortStableFunc(choices, func(a, b choice) int { return cmp.Compare(b.of, a.of) })
	remainingCPU := totalCPU * teamLoad / max(totalLoad, 1)
	offer := sharding.Offer{Team: r.Team}
	for _, c := range choices {
		if len(offer.Machines) >= maxOfferedMachines || c.of == 0 {
			break
		}
		if c.m.size.CPU <= remainingCPU {
			remainingCPU -= c.m.size.CPU
			offer.Machines = append(offer.Machines, c.m.id)
		}
	}
	return []sharding.Offer{offer}
}

// maxOfferedMachines bounds the machines that go along with a team at once.
const maxOfferedMachines = 1000

// teamLoads is what each team here keeps busy: what its tasks take, and what those waiting
// would.
func (s *shardLeader) teamLoads() []message.TeamLoad {
	cpuByTeam := map[string]float64{}
	for t := range s.teams {
		cpuByTeam[t] = 0
	}
	for _, j := range s.jobs {
		cpuByTeam[j.Team] += float64(j.liveTasks+j.pendingTasks()) * j.Need.CPU
	}
	var out []message.TeamLoad
	for _, t := range sortedKeys(cpuByTeam) {
		if s.teams[t] != nil {
			out = append(out, message.TeamLoad{Team: t, CPU: cpuByTeam[t]})
		}
	}
	return out
}

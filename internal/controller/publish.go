package controller

import (
	"cmp"
	"slices"
	"time"

	"github.com/micahill/micahill/internal/message"
	"github.com/micahill/micahill/internal/sharding"
)

const (
	// machineUpdateTurns is the number of updates, one a second, over which all machines are
	// published once. machineUpdateTTL is how long the peers keep the update of a machine.
	machineUpdateTurns = 5
	machineUpdateTTL   = 15 * time.Second
	// loadsPublishInterval is how often the loads of the workloads are published.
	loadsPublishInterval = 5 * time.Second
)

// machineUpdates returns what a successor has to know of the machines. Each call covers the next
// part of the machines, so that the updates of a large pool are spread over several seconds.
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

// maxProgressPerUpdate is the largest number of jobs whose progress one update holds.
const maxProgressPerUpdate = 3000

// publishToPeers sends the other controllers the progress of open jobs, loads, quotes and
// machines, at most once a second. The update to the leader includes this shard leader's
// capacity requests.
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
	for _, peer := range s.settings.Peers {
		out := update
		if s.controller.leader == nil && peer == s.controller.membership.leader.Host && s.fleet.view != nil {
			s.addCapacityRequest(&out)
		}
		if len(out.Progress) > 0 || len(out.WorkloadLoads) > 0 || len(out.Quotes) > 0 || len(out.MachineUpdates) > 0 || out.IsCapacityRequest {
			s.emit(message.SendPeerUpdate{To: peer, Update: out})
		}
	}
}

// addCapacityRequest adds to an update the data from which the leader plans the fleet and the
// shards: the machines that this shard leader requests and those that it could give away.
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

// publishLoadsSoon has the next update include the loads of the workloads.
func (s *shardLeader) publishLoadsSoon() { s.loadsPublishedAt = time.Time{} }

// receiveTeamRelease records the team that the leader wants to move, for offers.
func (s *shardLeader) receiveTeamRelease(r sharding.MoveRequest) {
	s.teamRelease, s.teamReleaseAt = r, s.now
}

// offers returns the machines that could be handed over along with the team that the leader
// wants to move. Their capacity corresponds to the team's part of the load of all teams here, so
// that the receiver does not start without machines. Machines with tasks of this team only come
// first, then idle ones, then those of which the team uses the largest part. Tasks of other
// teams keep running on an offered machine.
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
		machine *machine
		// teamFraction is the team's part of the CPUs in use on the machine: 1 if the team uses
		// all of them. An idle machine counts as 0.5.
		teamFraction float64
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
			c.teamFraction = teamCPU / max(m.used.CPU+m.othersUsed.CPU, teamCPU, roundingTolerance)
		}
		choices = append(choices, c)
	}
	slices.SortStableFunc(choices, func(a, b choice) int { return cmp.Compare(b.teamFraction, a.teamFraction) })
	remainingCPU := totalCPU * teamLoad / max(totalLoad, 1)
	offer := sharding.Offer{Team: r.Team}
	for _, c := range choices {
		if len(offer.Machines) >= maxOfferedMachines || c.teamFraction == 0 {
			break
		}
		if c.machine.size.CPU <= remainingCPU {
			remainingCPU -= c.machine.size.CPU
			offer.Machines = append(offer.Machines, c.machine.id)
		}
	}
	return []sharding.Offer{offer}
}

// maxOfferedMachines is the largest number of machines that are offered with a team.
const maxOfferedMachines = 1000

// teamLoads returns the load of each team held here, in CPUs: those that its live tasks use and
// those that its pending tasks need.
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

package controller

import (
	"cmp"
	"slices"
	"time"

	"github.com/micahill/micahill/internal/message"
	"github.com/micahill/micahill/internal/sharding"
)

const (
	// machineUpdateParts is the number of updates, one a second, over which all machines are
	// published once. machineUpdateTTL is how long the peers keep the update of a machine.
	machineUpdateParts = 5
	machineUpdateTTL   = 15 * time.Second
	// loadsPublishInterval is how often the loads of the workloads and the quotes are published.
	loadsPublishInterval = 5 * time.Second
)

// machineUpdates returns what a successor has to know of the machines. Each call covers the next
// part of the machines, so that the updates of a large pool are spread over several seconds.
func (shardLeader *shardLeader) machineUpdates() []message.MachineUpdate {
	var out []message.MachineUpdate
	shardLeader.publishPart = (shardLeader.publishPart + 1) % machineUpdateParts
	for i, machine := range shardLeader.machinesByID {
		if i%machineUpdateParts != shardLeader.publishPart {
			continue
		}
		id := machine.id
		if !machine.heard || machine.releasing || shardLeader.heartbeats.unresponsive(machine) {
			continue
		}
		update := message.MachineUpdate{ID: id, Addr: machine.addr, MachineType: machine.machineType, Zone: machine.zone, Spot: machine.spot, Images: map[string]float64{}}
		for name, image := range machine.images {
			if image.cached {
				update.Images[name] = image.sizeGB
			}
		}
		out = append(out, update)
	}
	return out
}

// maxProgressPerUpdate is the largest number of jobs whose progress one update holds.
const maxProgressPerUpdate = 3000

// publishToPeers sends the other controllers the progress of open jobs, loads, quotes and
// machines, at most once a second. The update to the leader includes this shard leader's
// capacity requests.
func (shardLeader *shardLeader) publishToPeers() {
	if shardLeader.now.Sub(shardLeader.publishedAt) < time.Second {
		return
	}
	shardLeader.publishedAt = shardLeader.now
	var update message.PeerUpdate
	update.From = shardLeader.settings.Host
	for _, id := range sortedKeys(shardLeader.jobs) {
		job := shardLeader.jobs[id]
		if len(update.Progress) >= maxProgressPerUpdate {
			// The rest goes with the next update.
			break
		}
		progress := job.progress()
		if progress != job.lastPublished {
			job.lastPublished = progress
			update.Progress = append(update.Progress, progress)
		}
	}
	if shardLeader.now.Sub(shardLeader.loadsPublishedAt) >= loadsPublishInterval {
		shardLeader.loadsPublishedAt = shardLeader.now
		update.WorkloadLoads = shardLeader.fleet.workloadLoads()
		update.Quotes = shardLeader.controller.promises.quotesUpdate()
	}
	update.MachineUpdates = shardLeader.machineUpdates()
	for _, peer := range shardLeader.settings.Peers {
		out := update
		if shardLeader.controller.leader == nil && peer == shardLeader.controller.membership.leader.Host && shardLeader.fleet.view != nil {
			shardLeader.addCapacityRequest(&out)
		}
		if len(out.Progress) > 0 || len(out.WorkloadLoads) > 0 || len(out.Quotes) > 0 || len(out.MachineUpdates) > 0 || out.IsCapacityRequest {
			shardLeader.emit(message.SendPeerUpdate{To: peer, Update: out})
		}
	}
}

// addCapacityRequest adds to an update the data from which the leader plans the fleet and the
// shards: the machines that this shard leader requests and those that it could give away.
func (shardLeader *shardLeader) addCapacityRequest(out *message.PeerUpdate) {
	out.IsCapacityRequest = true
	out.Seq, out.ToRelease, out.Surplus = shardLeader.fleet.leaderUpdateSeq, shardLeader.fleet.machinesToRelease, shardLeader.fleet.surplus
	out.Offers, out.TeamLoads = shardLeader.offers(), shardLeader.teamLoads()
	for _, kind := range sortedKinds(shardLeader.fleet.capacityRequests) {
		out.CapacityRequests = append(out.CapacityRequests, message.CapacityRequest{MachineType: kind.machineType, Zone: kind.zone, Spot: kind.spot, Count: shardLeader.fleet.capacityRequests[kind]})
	}
	out.TransferRequests, out.TransferOffers = shardLeader.transfers.requests, shardLeader.transfers.offers
	if shardLeader.migration.state != nil {
		out.HostNeeds, out.EvacuationCosts = shardLeader.migration.state.evacuation.needs, shardLeader.migration.state.evacuation.costs
	}
}

// publishLoadsSoon has the next update include the loads of the workloads and the quotes.
func (shardLeader *shardLeader) publishLoadsSoon() { shardLeader.loadsPublishedAt = time.Time{} }

// receiveTeamRelease records the team that the leader wants to move, for offers.
func (shardLeader *shardLeader) receiveTeamRelease(move sharding.MoveRequest) {
	shardLeader.teamRelease, shardLeader.teamReleaseAt = move, shardLeader.now
}

// offers returns the machines that could be handed over along with the team that the leader
// wants to move. Their capacity corresponds to the team's part of the load of all teams here, so
// that the receiver does not start without machines. The machines of which the team uses the
// largest part come first, and an idle machine counts as half used by it. Tasks of other teams
// keep running on an offered machine.
func (shardLeader *shardLeader) offers() []sharding.Offer {
	move := shardLeader.teamRelease
	held := shardLeader.teams[move.Team]
	if move.From != shardLeader.settings.Host || shardLeader.now.Sub(shardLeader.teamReleaseAt) > updateTTL || held == nil || !held.ready {
		return nil
	}
	totalLoad, teamLoad := 0.0, 0.0
	for _, load := range shardLeader.teamLoads() {
		totalLoad += load.CPU + 1
		if load.Team == move.Team {
			teamLoad = load.CPU + 1
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
	for _, machine := range shardLeader.machinesByID {
		totalCPU += machine.size.CPU
		if !machine.heard || machine.releasing || machine.reclaimNoticed {
			continue
		}
		candidate := choice{machine, 0.5}
		if !machine.isEmpty() {
			teamCPU := 0.0
			for key := range machine.attempts {
				if job := shardLeader.jobs[key.job]; job.Team == move.Team {
					teamCPU += job.Need.CPU
				}
			}
			candidate.teamFraction = teamCPU / max(machine.used.CPU+machine.otherShardsUsed.CPU, teamCPU, roundingTolerance)
		}
		choices = append(choices, candidate)
	}
	slices.SortStableFunc(choices, func(a, b choice) int { return cmp.Compare(b.teamFraction, a.teamFraction) })
	remainingCPU := totalCPU * teamLoad / max(totalLoad, 1)
	offer := sharding.Offer{Team: move.Team}
	for _, candidate := range choices {
		if len(offer.Machines) >= maxOfferedMachines || candidate.teamFraction == 0 {
			break
		}
		if candidate.machine.size.CPU <= remainingCPU {
			remainingCPU -= candidate.machine.size.CPU
			offer.Machines = append(offer.Machines, candidate.machine.id)
		}
	}
	return []sharding.Offer{offer}
}

// maxOfferedMachines is the largest number of machines that are offered with a team.
const maxOfferedMachines = 1000

// teamLoads returns the load of each team held here, in CPUs: those that its live tasks use and
// those that its pending tasks need.
func (shardLeader *shardLeader) teamLoads() []message.TeamLoad {
	cpuByTeam := map[string]float64{}
	for team := range shardLeader.teams {
		cpuByTeam[team] = 0
	}
	for _, job := range shardLeader.jobs {
		cpuByTeam[job.Team] += float64(job.liveTasks+job.pendingTasks()) * job.Need.CPU
	}
	var out []message.TeamLoad
	for _, team := range sortedKeys(cpuByTeam) {
		if shardLeader.teams[team] != nil {
			out = append(out, message.TeamLoad{Team: team, CPU: cpuByTeam[team]})
		}
	}
	return out
}

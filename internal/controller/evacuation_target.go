package controller

import (
	"time"

	"github.com/micahill/micahill/internal/exchange"
	"github.com/micahill/micahill/internal/message"
	"github.com/micahill/micahill/internal/migration"
	"github.com/micahill/micahill/internal/model"
)

// evacuation_target.go lets a shard leader empty a host although its other machines lack capacity for
// the host's replicas. Replicas move only between machines of their job's shard leader. If each shard
// leader has one partly used host, none can empty it, though all hosts together could hold the replicas
// on fewer hosts. So the shard leader requests a machine of another shard leader that has the capacity,
// as a transfer of a machine in use; see transfer_requests.go. The tasks that run there continue as
// remote attempts, and the shard leader moves its own replicas to it.

// targetFractions are the parts of a machine that are tried as its free capacity, the smallest first:
// the less capacity is requested, the more machines have it.
var targetFractions = [...]float64{1. / 8, 1. / 4, 1. / 2}

// evacuationHold is how long after an evacuation was assigned the shard leader keeps its machines of
// that kind: until it has received a machine with the capacity that it lacks, and its plan reserves
// capacity. It is short, so that a job of another shard leader that needs such a machine still gets it
// within the bound on waiting.
const evacuationHold = 20 * time.Second

// maxReceivedPerNeed is how many machines a shard leader receives for one need: one that holds replicas of
// its jobs, and one to which they can move. It bounds the transfers when no host can be emptied.
const maxReceivedPerNeed = 2

// maxRemoteHosts bounds the hosts of other shard leaders for which a plan is searched, since a search takes
// milliseconds for a thousand hosts.
const maxRemoteHosts = 6

// lackingTarget is the free capacity, on one further machine of a kind, that a shard leader lacks for
// the replicas of a host that it could then empty.
type lackingTarget struct {
	kind machineKind
	need model.Resources
	// downtime is the expected downtime of the replicas.
	downtime time.Duration
	// team is the team for which the machine is requested, and waited is how long the host has been
	// needed.
	team   string
	waited time.Duration
}

// request returns the transfer request for a machine with the capacity.
func (target lackingTarget) request() exchange.TransferRequest {
	return exchange.TransferRequest{Team: target.team, Kinds: []exchange.Kind{target.kind.exchangeKind()}, Need: target.need, Jobs: 1, Waited: target.waited}
}

// isPlaceholder reports whether the machine stands for any machine that another shard leader could hand over.
func (machine *machine) isPlaceholder() bool { return machine.id == "" }

// evacuationTarget returns the least capacity that this shard leader lacks to empty a host of the needed
// kind. It returns false if no machine would help.
func (migrations *migrationManager) evacuationTarget(state *migrationState, need *message.HostNeed) (lackingTarget, bool) {
	kind := neededKind(need)
	since, known := state.evacuation.neededSince[kind]
	if !known {
		since = migrations.now
	}
	return migrations.findTarget(kind, since, func(further ...*machine) *migration.Problem {
		return migrations.evacuationProblem(state, need, further...)
	})
}

// findTarget returns the capacity that this shard leader lacks to solve a problem. problemWith returns the
// problem with further machines as the last hosts. If none of its own hosts can be emptied, the shard leader
// lacks a machine of another shard leader on which only its own replicas run, and requests what they leave
// free. Any other machine with that much free capacity helps as well, as a target. There is no target if this
// shard leader has received maxReceivedPerNeed machines of the kind since a host of the kind is needed.
func (migrations *migrationManager) findTarget(kind machineKind, neededSince time.Time, problemWith func(further ...*machine) *migration.Problem) (lackingTarget, bool) {
	if migrations.receivedSince(kind, neededSince) >= maxReceivedPerNeed {
		return lackingTarget{}, false
	}
	size := migrations.controller.knowledge.machineTypes[kind.machineType].Capacity
	placeholder := &machine{machineType: kind.machineType, zone: kind.zone, spot: kind.spot, size: size}
	if plan, ok := findWithPlaceholder(problemWith(placeholder), size); ok {
		target := lackingTarget{kind: kind, downtime: plan.Cost, waited: migrations.now.Sub(neededSince)}
		for _, move := range plan.Moves {
			if move.To == placeholder.id {
				target.need = target.need.AddScaled(move.Need, 1)
			}
		}
		return target, true
	}
	tries := 0
	for _, id := range sortedKeys(migrations.controller.shardLeader.remoteAttempts.machines) {
		remoteMachine := *migrations.controller.shardLeader.remoteAttempts.machines[id]
		remoteMachine.size = size
		if (machineKind{remoteMachine.machineType, remoteMachine.zone, remoteMachine.spot}) != kind {
			continue
		}
		if tries++; tries > maxRemoteHosts {
			break
		}
		if plan, ok := findWithPlaceholder(problemWith(&remoteMachine, placeholder), size); ok {
			return lackingTarget{kind: kind, need: remoteMachine.free(), downtime: plan.Cost, waited: migrations.now.Sub(neededSince)}, true
		}
	}
	return lackingTarget{}, false
}

// receivedSince counts the machines of a kind that this shard leader owns since a time after since.
func (migrations *migrationManager) receivedSince(kind machineKind, since time.Time) int {
	received := 0
	for _, machine := range migrations.controller.shardLeader.machinesByID {
		if (machineKind{machine.machineType, machine.zone, machine.spot}) == kind && machine.ownedSince.After(since) {
			received++
		}
	}
	return received
}

// findWithPlaceholder searches for a plan for a problem whose last host is a placeholder of the given size,
// with the least free capacity on the placeholder.
func findWithPlaceholder(problem *migration.Problem, size model.Resources) (migration.Plan, bool) {
	for _, fraction := range targetFractions {
		problem.Hosts[len(problem.Hosts)-1].Free = model.Resources{}.AddScaled(size, fraction)
		if plan, ok := migration.Find(problem); ok {
			return plan, true
		}
	}
	return migration.Plan{}, false
}

// targetRequest returns the request for the machine that this shard leader lacks for an evacuation that the
// leader has assigned to it.
func (migrations *migrationManager) targetRequest() (exchange.TransferRequest, bool) {
	state := migrations.state
	if state == nil || len(state.evacuation.assigned) == 0 || migrations.now.Sub(state.evacuation.receivedAt) > updateTTL {
		return exchange.TransferRequest{}, false
	}
	if len(state.evacuation.needs) > 0 {
		target, ok := migrations.ownTarget(state)
		return target.request(), ok
	}
	team := migrations.donorTeam(state)
	for i := range state.evacuation.assigned {
		need := &state.evacuation.assigned[i]
		if team == "" || migrations.hasHostFor(state, need) {
			continue
		}
		if _, ok := migration.Find(migrations.evacuationProblem(state, need)); ok {
			continue
		}
		if target, ok := migrations.evacuationTarget(state, need); ok {
			target.team = team
			return target.request(), true
		}
	}
	return exchange.TransferRequest{}, false
}

// ownTarget returns the capacity that this shard leader lacks to empty a host for the first of its own jobs
// that needs one.
func (migrations *migrationManager) ownTarget(state *migrationState) (lackingTarget, bool) {
	job := migrations.firstJobNeedingHost(state)
	if job == nil {
		return lackingTarget{}, false
	}
	if _, ok := migration.Find(migrations.migrationProblem(state, job)); ok {
		return lackingTarget{}, false
	}
	waited := migrations.controller.shardLeader.scheduler.waitSinceLastStart(job)
	for i := range state.evacuation.needs {
		target, ok := migrations.findTarget(neededKind(&state.evacuation.needs[i]), migrations.now.Add(-waited), func(further ...*machine) *migration.Problem {
			return migrations.migrationProblem(state, job, further...)
		})
		if ok {
			target.team = job.Team
			return target, true
		}
	}
	return lackingTarget{}, false
}

// mayNeedForEvacuation reports whether a machine is of a kind of which this shard leader was asked, within
// evacuationHold, to empty a host. The host that it will empty is not known yet.
func (migrations *migrationManager) mayNeedForEvacuation(machine *machine) bool {
	if migrations.state == nil || migrations.now.Sub(migrations.state.evacuation.receivedAt) > updateTTL {
		return false
	}
	since, assigned := migrations.state.evacuation.assignedSince[machineKind{machine.machineType, machine.zone, machine.spot}]
	return assigned && migrations.now.Sub(since) < evacuationHold
}

package controller

import (
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/micahill/micahill/internal/message"
	"github.com/micahill/micahill/internal/migration"
	"github.com/micahill/micahill/internal/model"
)

// evacuation.go lets shard leaders empty hosts for each other. A shard leader with a job that fits
// on no machine, and for which the cloud refuses machines, publishes the machine kinds that it
// needs. Other shard leaders publish what emptying a host of these kinds would cost them. The
// leader asks the shard leader with the lowest cost, which migrates the replicas of the host away.
// The host is then surplus and is handed over through the shard map, like any surplus host.

const (
	// refusedWindow is how long a machine kind counts as refused by the cloud. It exceeds
	// refusedBackoff, after which the cloud is asked again, so that a kind that the cloud keeps
	// refusing counts as refused without a gap.
	refusedWindow = 3 * refusedBackoff
	// evacuationCostInterval is how often a shard leader computes the costs of emptying hosts.
	evacuationCostInterval = 5 * time.Second
	// hostNeedDelay is how long small tasks must be pending before a host is requested for them.
	// Other shard leaders may have the capacity scattered over several machines, but only whole
	// machines are handed over.
	hostNeedDelay = 20 * time.Second
	// maxHostNeeds bounds the number of machine kinds in one update.
	maxHostNeeds = 64
	// evacuationPrefix begins the name under which migration records hold a host for an
	// evacuation, in place of a job ID. No job ID begins with it.
	evacuationPrefix = "~"
	// maxCostedKinds bounds the number of machine kinds for which a plan is searched in one
	// computation of costs.
	maxCostedKinds = 2
)

// evacuation holds the host needs and evacuation costs that a shard leader publishes, and the needs
// that it receives from the leader.
type evacuation struct {
	// refusedAt is when the cloud last refused a machine kind.
	refusedAt map[machineKind]time.Time
	// needs are the host needs of this shard leader.
	needs []message.HostNeed
	// othersNeeds are the host needs of other shard leaders. assigned are the needs for which the
	// leader asks this shard leader to empty a host. Both were received from the leader at
	// receivedAt.
	othersNeeds, assigned []message.HostNeed
	receivedAt            time.Time
	// neededSince is since when the kinds in othersNeeds have been needed, and assignedSince since
	// when those in assigned have been assigned.
	neededSince, assignedSince map[machineKind]time.Time
	// costs are the costs of emptying hosts for other shard leaders, as computed at costedAt.
	costs    []message.HostCost
	costedAt time.Time
}

// isEvacuationHold reports whether the job name of a hold stands for an evacuation for another shard leader.
func isEvacuationHold(job string) bool { return strings.HasPrefix(job, evacuationPrefix) }

// neededJobSpec returns a job spec that stands for the job that needs the host. It has only the
// fields that a host need contains.
func neededJobSpec(need *message.HostNeed) model.JobSpec {
	return model.JobSpec{ID: evacuationPrefix + kindName(neededKind(need)), Workload: need.Workload, Need: need.Need, Urgency: need.Urgency}
}

// neededKind returns the machine kind of a host need.
func neededKind(need *message.HostNeed) machineKind {
	return machineKind{need.MachineType, need.Zone, need.Spot}
}

// receiveHostNeeds stores the host needs of other shard leaders and the needs assigned to this one,
// as the leader sends them.
func (migrations *migrationManager) receiveHostNeeds(othersNeeds, assigned []message.HostNeed) {
	state := migrations.controller.migrations()
	if state == nil {
		return
	}
	evacuation := &state.evacuation
	evacuation.othersNeeds, evacuation.assigned, evacuation.receivedAt = othersNeeds, assigned, migrations.now
	evacuation.neededSince = sinceByKind(migrations.now, evacuation.neededSince, othersNeeds)
	evacuation.assignedSince = sinceByKind(migrations.now, evacuation.assignedSince, assigned)
}

// sinceByKind returns since when there has been a need for each kind of the needs: the time in the
// previous result, or now for a kind that is not in it.
func sinceByKind(now time.Time, previous map[machineKind]time.Time, needs []message.HostNeed) map[machineKind]time.Time {
	out := map[machineKind]time.Time{}
	for i := range needs {
		kind := neededKind(&needs[i])
		since, known := previous[kind]
		if !known {
			since = now
		}
		out[kind] = since
	}
	return out
}

// evacuationRequest returns the assigned host need with the given hold name. It returns nil if the
// leader has not requested that evacuation within updateTTL.
func (state *migrationState) evacuationRequest(now time.Time, name string) *message.HostNeed {
	if now.Sub(state.evacuation.receivedAt) > updateTTL {
		return nil
	}
	for i := range state.evacuation.assigned {
		if need := &state.evacuation.assigned[i]; evacuationPrefix+kindName(neededKind(need)) == name {
			return need
		}
	}
	return nil
}

// updateHostNeeds computes the machine kinds of which an empty host would help the first job that
// can't be placed. There are none unless the cloud has refused machines within refusedWindow.
func (migrations *migrationManager) updateHostNeeds(state *migrationState) {
	evacuation := &state.evacuation
	view := migrations.controller.shardLeader.fleet.view
	evacuation.needs = nil
	if view == nil || !migrations.controller.membership.hasOtherShardLeaders() {
		return
	}
	for kind, until := range view.blockedUntil {
		if until.After(migrations.now) {
			evacuation.refusedAt[kind] = migrations.now
		}
	}
	refused := false
	for _, at := range evacuation.refusedAt {
		refused = refused || migrations.now.Sub(at) < refusedWindow
	}
	if !refused {
		return
	}
	waitingJob := migrations.firstJobNeedingHost(state)
	if waitingJob == nil {
		return
	}
	for _, name := range sortedKeys(migrations.controller.knowledge.machineTypes) {
		machineType := migrations.controller.knowledge.machineTypes[name]
		if !waitingJob.Need.Fits(machineType.Capacity) || !isLarge(waitingJob.Need, machineType.Capacity) && migrations.now.Sub(later(waitingJob.submittedAt, migrations.controller.shardLeader.readyAt)) < hostNeedDelay {
			continue
		}
		for _, zone := range machineType.Zones {
			for _, spot := range [...]bool{true, false} {
				kind := machineKind{name, zone, spot}
				if waitingJob.allowsMachine(name, zone, spot) && waitingJob.zoneAllowed(zone) && migrations.now.Sub(evacuation.refusedAt[kind]) < refusedWindow && len(evacuation.needs) < maxHostNeeds {
					evacuation.needs = append(evacuation.needs, message.HostNeed{MachineType: name, Zone: zone, Spot: spot, Need: waitingJob.Need, Workload: waitingJob.Workload, Urgency: waitingJob.Urgency})
				}
			}
		}
	}
}

// firstJobNeedingHost returns the first job in queue order for which migrations within this shard
// have been tried or can't help, and for which no capacity is free or expected. It returns nil if
// there is none.
func (migrations *migrationManager) firstJobNeedingHost(state *migrationState) *job {
	for _, job := range migrations.controller.shardLeader.scheduler.jobsInQueueOrder() {
		// Migrations between the machines of this shard are tried first.
		if unschedulable := state.unschedulable[job.ID]; unschedulable != nil && unschedulable.lastTried.IsZero() || job.Gang || job.borrowedLoan != "" || job.pendingTasks() <= state.tracker.HeldFor(job.ID) || !migrations.controller.shardLeader.scheduler.withinQuotaLimit(job) {
			continue
		}
		if migrations.now.Sub(later(job.readySince(), migrations.controller.shardLeader.readyAt)) < 2*migrationDelay || migrations.hasCapacityFor(job) {
			continue
		}
		return job
	}
	return nil
}

// hasCapacityFor reports whether a task of the job fits on a machine of this shard or a machine for
// it is expected.
func (migrations *migrationManager) hasCapacityFor(job *job) bool {
	for _, machine := range migrations.controller.shardLeader.machinesByID {
		if migrations.controller.shardLeader.scheduler.usable(machine) && job.allowsMachine(machine.machineType, machine.zone, machine.spot) && job.zoneAllowed(machine.zone) && job.Need.Fits(machine.free()) {
			return true
		}
	}
	for rental := range migrations.controller.shardLeader.fleet.expectedFor(job) {
		if job.Need.Fits(migrations.controller.knowledge.machineTypes[rental.machineType].Capacity) {
			return true
		}
	}
	return false
}

// planEvacuation starts an evacuation that the leader has requested. If there is none to start, it
// computes the costs of evacuations.
func (migrations *migrationManager) planEvacuation(state *migrationState) {
	evacuation := &state.evacuation
	if migrations.now.Sub(evacuation.receivedAt) > updateTTL {
		evacuation.costs = nil
		return
	}
	if len(evacuation.needs) == 0 && migrations.startEvacuation(state) {
		return
	}
	if migrations.now.Sub(evacuation.costedAt) >= evacuationCostInterval {
		evacuation.costedAt, evacuation.costs = migrations.now, migrations.evacuationCosts(state)
	}
}

// startEvacuation starts the plan of an assigned evacuation, and reports whether it found one.
func (migrations *migrationManager) startEvacuation(state *migrationState) bool {
	for i := range state.evacuation.assigned {
		need := &state.evacuation.assigned[i]
		team := migrations.donorTeam(state)
		if team == "" || migrations.hasHostFor(state, need) || migrations.nextMigrationWrite(state).After(migrations.now) {
			continue
		}
		problem := migrations.evacuationProblem(state, need)
		if plan, ok := migration.Find(problem); ok {
			migrations.startPlan(state, team, problem, plan)
			return true
		}
	}
	return false
}

// evacuationCosts returns the costs of emptying hosts for other shard leaders. If this shard leader needs a
// host itself, it returns only the cost of emptying one for itself with a machine that it lacks.
func (migrations *migrationManager) evacuationCosts(state *migrationState) []message.HostCost {
	if len(state.evacuation.needs) > 0 {
		if target, ok := migrations.ownTarget(state); ok {
			return []message.HostCost{hostCost(target.kind, migration.CostWithTarget(target.downtime))}
		}
		return nil
	}
	var costs []message.HostCost
	tries := 0
	for i := range state.evacuation.othersNeeds {
		need := &state.evacuation.othersNeeds[i]
		if migrations.hasHostFor(state, need) {
			costs = append(costs, hostCost(neededKind(need), 0))
			continue
		}
		if tries++; tries > maxCostedKinds {
			break
		}
		if plan, ok := migration.Find(migrations.evacuationProblem(state, need)); ok {
			costs = append(costs, hostCost(neededKind(need), plan.Cost))
		} else if target, ok := migrations.evacuationTarget(state, need); ok {
			costs = append(costs, hostCost(neededKind(need), migration.CostWithTarget(target.downtime)))
		}
	}
	return costs
}

// hostCost returns the cost of emptying a host of a kind.
func hostCost(kind machineKind, downtime time.Duration) message.HostCost {
	return message.HostCost{MachineType: kind.machineType, Zone: kind.zone, Spot: kind.spot, Downtime: downtime}
}

// hasHostFor reports whether this shard has an empty host of the needed kind or is emptying one.
func (migrations *migrationManager) hasHostFor(state *migrationState, need *message.HostNeed) bool {
	kind := neededKind(need)
	return state.tracker.HeldFor(evacuationPrefix+kindName(kind)) > 0 || migrations.hasEmptyHost(kind)
}

// donorTeam returns the team in whose record an evacuation is written: the first ready team, by
// name, with neither a write in flight nor unsaved plans. It returns "" if there is none.
func (migrations *migrationManager) donorTeam(state *migrationState) string {
	for _, team := range sortedKeys(migrations.controller.shardLeader.teams) {
		if rec := state.records[team]; rec != nil && !rec.writing && len(state.tracker.UnsavedPlans(team)) == 0 && migrations.controller.shardLeader.teams[team].ready {
			return team
		}
	}
	return ""
}

// hasEmptyHost reports whether this shard has an empty usable host of a kind. Such a host becomes
// surplus without an evacuation, unless this shard needs it.
func (migrations *migrationManager) hasEmptyHost(kind machineKind) bool {
	return slices.ContainsFunc(migrations.controller.shardLeader.machinesByID, func(machine *machine) bool {
		return (machineKind{machine.machineType, machine.zone, machine.spot}) == kind && machine.isEmpty() && migrations.controller.shardLeader.scheduler.usable(machine)
	})
}

// evacuationProblem returns the problem of emptying a host of the needed kind, for migration.Find.
// The further machines are among the hosts; see migrationCandidates.
func (migrations *migrationManager) evacuationProblem(state *migrationState, need *message.HostNeed, further ...*machine) *migration.Problem {
	kind := neededKind(need)
	other := &job{JobSpec: neededJobSpec(need)}
	problem, hosts := migrations.migrationCandidates(state, other, further)
	problem.MaxCost = migration.MaxEvacuationDowntime
	problem.WaitingTask = migration.WaitingTask{Job: other.ID, Need: migrations.controller.knowledge.machineTypes[need.MachineType].Capacity, Allowed: func(hostIndex int) bool {
		machine := hosts[hostIndex]
		return (machineKind{machine.machineType, machine.zone, machine.spot}) == kind && !machine.isEmpty() && !machine.isPlaceholder()
	}}
	return problem
}

// kindNames returns the names of the machine kinds of host needs.
func kindNames(needs []message.HostNeed) []string {
	var out []string
	for i := range needs {
		out = append(out, kindName(neededKind(&needs[i])))
	}
	return out
}

// assignEvacuations decides which shard leader empties a host for which other shard leader. It
// returns two maps by the host of the shard leader: the needs of other shard leaders, and the needs
// assigned to it.
func (leader *leader) assignEvacuations() (othersNeeds, assigned map[string][]message.HostNeed) {
	if !leader.settings.Capabilities.Models {
		return nil, nil
	}
	needs, costs := map[string][]message.HostNeed{}, map[string][]message.HostCost{}
	if shardLeader := leader.controller.shardLeader; shardLeader != nil && shardLeader.ready && shardLeader.migration.state != nil {
		needs[leader.settings.Host], costs[leader.settings.Host] = shardLeader.migration.state.evacuation.needs, shardLeader.migration.state.evacuation.costs
	}
	for _, host := range sortedKeys(leader.updates) {
		if received, ok := leader.freshUpdate(host); ok {
			needs[host], costs[host] = received.update.HostNeeds, received.update.EvacuationCosts
		}
	}
	var needed []migration.MachineNeed
	var offered []migration.EvacuationCost
	for _, host := range sortedKeys(needs) {
		if len(needs[host]) > 0 {
			needed = append(needed, migration.MachineNeed{Owner: host, Kinds: kindNames(needs[host])})
		}
		for _, cost := range costs[host] {
			offered = append(offered, migration.EvacuationCost{Owner: host, Kind: kindName(machineKind{cost.MachineType, cost.Zone, cost.Spot}), Downtime: cost.Downtime})
		}
	}
	othersNeeds, assigned = map[string][]message.HostNeed{}, map[string][]message.HostNeed{}
	for _, host := range slices.Sorted(maps.Keys(needs)) {
		if len(needs[host]) > 0 {
			// A shard leader that needs a host itself empties none for others.
			continue
		}
		for _, machineNeed := range needed {
			for _, need := range needs[machineNeed.Owner] {
				if len(othersNeeds[host]) < maxHostNeeds && !slices.ContainsFunc(othersNeeds[host], func(published message.HostNeed) bool { return neededKind(&published) == neededKind(&need) }) {
					othersNeeds[host] = append(othersNeeds[host], need)
				}
			}
		}
	}
	former := slices.Clone(leader.evacuations.Requests())
	for _, request := range leader.evacuations.Update(leader.now, needed, offered) {
		if !slices.Contains(former, request) {
			leader.info("evacuation requested", "from", request.Owner, "for", request.Recipient, "kind", request.Kind)
		}
		for _, need := range needs[request.Recipient] {
			if kindName(neededKind(&need)) == request.Kind {
				assigned[request.Owner] = append(assigned[request.Owner], need)
				break
			}
		}
	}
	if shardLeader := leader.controller.shardLeader; shardLeader != nil && shardLeader.ready {
		leader.controller.shardLeader.migration.receiveHostNeeds(othersNeeds[leader.settings.Host], assigned[leader.settings.Host])
	}
	return othersNeeds, assigned
}

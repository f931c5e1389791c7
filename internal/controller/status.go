package controller

import (
	"time"

	"github.com/micahill/micahill/internal/message"
)

// replyStatus answers an operator's status query with the state of this controller.
func (controller *Controller) replyStatus(query message.QueryStatus) {
	reply := message.StatusReply{
		Reply: query.Reply, Host: controller.settings.Host, Healthy: controller.Healthy(controller.now), Leader: controller.membership.leader.Host,
		InternalErrors: controller.internalErrors,
		RejectedInputs: controller.rejectedInputs,
		Migrations:     controller.migrationsStatus(),
		IsLeader:       controller.leader != nil, IsShardLeader: controller.IsShardLeader(), Controllers: sortedKeys(controller.membership.controllers),
		Teams:  controller.teamStatuses(),
		Shards: controller.membership.shardStatuses(),
	}
	if shardLeader := controller.shardLeader; shardLeader != nil {
		reply.GPUFreeCapacity = shardLeader.scheduler.gpuFreeCapacity()
		for _, machine := range shardLeader.remoteAttempts.machines {
			reply.RemoteAttempts.OnOthersMachines += len(machine.attempts)
		}
		for _, id := range shardLeader.remoteAttempts.registry.Machines() {
			reply.RemoteAttempts.OthersHere += shardLeader.remoteAttempts.registry.LiveCount(id)
		}
		reply.Workloads = shardLeader.workloadStatuses()
		reply.Pipelines, reply.BlockingJobs = shardLeader.dependencies.blockingJobs()
		reply.Machines = shardLeader.machineStatuses()
		reply.WaitingJobs = shardLeader.scheduler.waitingStatuses()
	}
	controller.emit(reply)
}

// teamStatuses returns the owner and the local state of every configured team.
func (controller *Controller) teamStatuses() []message.TeamStatus {
	var out []message.TeamStatus
	cpuByTeam := map[string]float64{}
	if controller.shardLeader != nil {
		for _, load := range controller.shardLeader.teamLoads() {
			cpuByTeam[load.Team] = load.CPU
		}
	}
	for _, team := range controller.settings.Teams {
		status := message.TeamStatus{Name: team.Name, CPU: cpuByTeam[team.Name]}
		if shard := controller.membership.shardMap.Team(team.Name); shard != nil {
			status.Owner = shard.Host
		}
		if controller.shardLeader != nil && controller.shardLeader.teams[team.Name] != nil {
			status.IsLocal, status.Ready = true, controller.shardLeader.teams[team.Name].ready
		}
		out = append(out, status)
	}
	return out
}

// shardStatuses returns the status of every shard of the shard map.
func (membership *membership) shardStatuses() []message.ShardStatus {
	var out []message.ShardStatus
	for _, shard := range membership.shardMap.Shards() {
		out = append(out, message.ShardStatus{
			Name: shard.Name, Leader: shard.Host, Alive: membership.controllers[shard.Host].Incarnation == shard.Incarnation, Teams: len(shard.Teams), HoldsCatchAll: shard.CatchAll,
			Segments: len(membership.shardMap.SegmentsOf(shard.Name)),
		})
	}
	return out
}

// workloadStatuses returns the status of each workload that has jobs here, sorted by name.
func (shardLeader *shardLeader) workloadStatuses() []message.WorkloadStatus {
	byName := map[string]*message.WorkloadStatus{}
	for _, job := range shardLeader.jobs {
		status := byName[job.Workload]
		if status == nil {
			status = &message.WorkloadStatus{Name: job.Workload, TasksPerSecond: shardLeader.fleet.arrivalRate(job.Workload, arrivalWindow), RunToEstimate: 1}
			if estimator := shardLeader.controller.knowledge.estimators[job.Workload]; estimator != nil {
				status.RunToEstimate = estimator.ratio
			}
			byName[job.Workload] = status
		}
		status.Jobs++
		status.Waiting += job.pendingTasks()
		status.Live += job.liveTasks
		status.Done += job.doneTasks
	}
	var out []message.WorkloadStatus
	for _, name := range sortedKeys(byName) {
		out = append(out, *byName[name])
	}
	return out
}

// machineStatuses returns the status of each machine of this shard leader, sorted by ID.
func (shardLeader *shardLeader) machineStatuses() []message.MachineStatus {
	var out []message.MachineStatus
	for _, id := range sortedKeys(shardLeader.machines) {
		machine := shardLeader.machines[id]
		status := message.MachineStatus{ID: id, MachineType: machine.machineType, Zone: machine.zone, Spot: machine.spot, State: shardLeader.machineState(machine), Tasks: len(machine.attempts), UsedCPU: machine.used.CPU, CPU: machine.size.CPU}
		if machine.heard {
			status.LastHeartbeatAge = shardLeader.now.Sub(machine.lastHeard).Round(100 * time.Millisecond).String()
		}
		out = append(out, status)
	}
	return out
}

// machineState returns the name that the operators' pages show for a machine's state.
func (shardLeader *shardLeader) machineState(machine *machine) string {
	switch {
	case machine.releasing:
		return "returning"
	case !machine.heard:
		return "booting"
	case shardLeader.heartbeats.unresponsive(machine):
		return "silent"
	case !machine.reachability.Reachable():
		return "deaf"
	case machine.reclaimNoticed:
		return "recalled"
	case machine.faulty:
		return "faulty"
	case machine.decommissioning:
		return "retiring"
	}
	return "up"
}

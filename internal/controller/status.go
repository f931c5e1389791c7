package controller

import (
	"time"

	"github.com/micahill/micahill/internal/message"
)

// replyStatus answers an operator's status query with the state of this controller.
func (c *Controller) replyStatus(cmd message.QueryStatus) {
	reply := message.StatusReply{
		Reply: cmd.Reply, Host: c.settings.Host, Healthy: c.Healthy(c.now), Leader: c.membership.leader.Host,
		InternalErrors: c.internalErrors,
		RejectedInputs: c.rejectedInputs,
		Migrations:     c.migrationsStatus(),
		IsLeader:       c.leader != nil, IsShardLeader: c.IsShardLeader(), Controllers: sortedKeys(c.membership.controllers),
		Teams:  c.teamStatuses(),
		Shards: c.membership.shardStatuses(),
	}
	if s := c.shardLeader; s != nil {
		reply.GPUFreeCapacity = s.scheduler.gpuFreeCapacity()
		for _, m := range s.remoteAttempts.machines {
			reply.RemoteAttempts.OnOthersMachines += len(m.attempts)
		}
		for _, id := range s.remoteAttempts.registry.Machines() {
			reply.RemoteAttempts.OthersHere += s.remoteAttempts.registry.LiveCount(id)
		}
		reply.Workloads = s.workloadStatuses()
		reply.Pipelines, reply.BlockingJobs = s.dependencies.blockingJobs()
		reply.Machines = s.machineStatuses()
		reply.WaitingJobs = s.scheduler.waitingStatuses()
	}
	c.emit(reply)
}

// teamStatuses returns the owner and the local state of every configured team.
func (c *Controller) teamStatuses() []message.TeamStatus {
	var out []message.TeamStatus
	cpuByTeam := map[string]float64{}
	if c.shardLeader != nil {
		for _, l := range c.shardLeader.teamLoads() {
			cpuByTeam[l.Team] = l.CPU
		}
	}
	for _, t := range c.settings.Teams {
		status := message.TeamStatus{Name: t.Name, CPU: cpuByTeam[t.Name]}
		if x := c.membership.shardMap.Team(t.Name); x != nil {
			status.Owner = x.Host
		}
		if c.shardLeader != nil && c.shardLeader.teams[t.Name] != nil {
			status.IsLocal, status.Ready = true, c.shardLeader.teams[t.Name].ready
		}
		out = append(out, status)
	}
	return out
}

// shardStatuses returns the status of every shard of the shard map.
func (m *membership) shardStatuses() []message.ShardStatus {
	var out []message.ShardStatus
	for _, x := range m.shardMap.Shards() {
		out = append(out, message.ShardStatus{
			Name: x.Name, Leader: x.Host, Alive: m.controllers[x.Host].Incarnation == x.Incarnation, Teams: len(x.Teams), HoldsCatchAll: x.CatchAll,
			Segments: len(m.shardMap.SegmentsOf(x.Name)),
		})
	}
	return out
}

// workloadStatuses returns the status of each workload that has jobs here, sorted by name.
func (s *shardLeader) workloadStatuses() []message.WorkloadStatus {
	byName := map[string]*message.WorkloadStatus{}
	for _, j := range s.jobs {
		w := byName[j.Workload]
		if w == nil {
			w = &message.WorkloadStatus{Name: j.Workload, TasksPerSecond: s.fleet.arrivalRate(j.Workload, arrivalWindow), RunToEstimate: 1}
			if e := s.controller.knowledge.estimators[j.Workload]; e != nil {
				w.RunToEstimate = e.ratio
			}
			byName[j.Workload] = w
		}
		w.Jobs++
		w.Waiting += j.pendingTasks()
		w.Live += j.liveTasks
		w.Done += j.doneTasks
	}
	var out []message.WorkloadStatus
	for _, name := range sortedKeys(byName) {
		out = append(out, *byName[name])
	}
	return out
}

// machineStatuses returns the status of each machine of this shard leader, sorted by ID.
func (s *shardLeader) machineStatuses() []message.MachineStatus {
	var out []message.MachineStatus
	for _, id := range sortedKeys(s.machines) {
		m := s.machines[id]
		status := message.MachineStatus{ID: id, MachineType: m.machineType, Zone: m.zone, Spot: m.spot, State: s.machineState(m), Tasks: len(m.attempts), UsedCPU: m.used.CPU, CPU: m.size.CPU}
		if m.heard {
			status.LastHeartbeatAge = s.now.Sub(m.lastHeard).Round(100 * time.Millisecond).String()
		}
		out = append(out, status)
	}
	return out
}

// machineState returns the name of a machine's state that the operators' pages show.
func (s *shardLeader) machineState(m *machine) string {
	switch {
	case m.releasing:
		return "returning"
	case !m.heard:
		return "booting"
	case s.heartbeats.unresponsive(m):
		return "silent"
	case !m.reachability.Reachable():
		return "deaf"
	case m.reclaimNoticed:
		return "recalled"
	case m.faulty:
		return "faulty"
	case m.decommissioning:
		return "retiring"
	}
	return "up"
}

package controller

import (
	"time"

	"github.com/micahill/micahill/internal/message"
)

func (n *Controller) replyStatus(c message.QueryStatus) {
	s := message.StatusReply{
		Reply: c.Reply, Host: n.settings.Host, Healthy: n.Healthy(n.now), Leader: n.membership.leader.Host,
		InternalErrors: n.internalErrors,
		RejectedInputs: n.rejectedInputs,
		Migrations:     n.migrationsStatus(),
		IsLeader:       n.leader != nil, IsShardLeader: n.IsShardLeader(), Controllers: sortedKeys(n.membership.controllers),
	}
	cpus := map[string]float64{}
	if n.shardLeader != nil {
		for _, l := range n.shardLeader.teamLoads() {
			cpus[l.Team] = l.CPU
		}
	}
	for _, t := range n.settings.Teams {
		ts := message.TeamStatus{Name: t.Name, CPU: cpus[t.Name]}
		if x := n.membership.shardMap.Team(t.Name); x != nil {
			ts.Owner = x.Host
		}
		if n.shardLeader != nil && n.shardLeader.teams[t.Name] != nil {
			ts.IsLocal, ts.Ready = true, n.shardLeader.teams[t.Name].ready
		}
		s.Teams = append(s.Teams, ts)
	}
	for _, x := range n.membership.shardMap.Shards() {
		s.Shards = append(s.Shards, message.ShardStatus{
			Name: x.Name, Leader: x.Host, Alive: n.membership.controllers[x.Host].Incarnation == x.Incarnation, Teams: len(x.Teams), HoldsCatchAll: x.CatchAll,
			Segments: len(n.membership.shardMap.SegmentsOf(x.Name)),
		})
	}
	if o := n.shardLeader; o != nil {
		s.GPUFreeCapacity = n.shardLeader.scheduler.gpuFreeCapacity()
		for _, a := range o.remoteAttempts.machines {
			s.RemoteAttempts.OnOthersMachines += len(a.attempts)
		}
		for _, id := range o.remoteAttempts.registry.Machines() {
			s.RemoteAttempts.OthersHere += o.remoteAttempts.registry.LiveCount(id)
		}
		by := map[string]*message.WorkloadStatus{}
		for _, j := range o.jobs {
			w := by[j.Workload]
			if w == nil {
				w = &message.WorkloadStatus{Name: j.Workload, TasksPerSecond: n.shardLeader.fleet.arrivalRate(j.Workload, arrivalWindow), RunToEstimate: 1}
				if e := n.knowledge.estimators[j.Workload]; e != nil {
					w.RunToEstimate = e.ratio
				}
				by[j.Workload] = w
			}
			w.Jobs++
			w.Waiting += j.pendingTasks()
			w.Live += j.liveTasks
			w.Done += j.doneTasks
		}
		s.Pipelines, s.BlockingJobs = n.shardLeader.dependencies.blockingJobs()
		for _, name := range sortedKeys(by) {
			s.Workloads = append(s.Workloads, *by[name])
		}
		for _, id := range sortedKeys(o.machines) {
			m := o.machines[id]
			ms := message.MachineStatus{ID: id, MachineType: m.machineType, Zone: m.zone, Spot: m.spot, State: n.machineState(m), Tasks: len(m.attempts), UsedCPU: m.used.CPU, CPU: m.size.CPU}
			if m.heard {
				ms.LastHeartbeatAge = n.now.Sub(m.lastHeard).Round(100 * time.Millisecond).String()
			}
			s.Machines = append(s.Machines, ms)
		}
	}
	n.emit(s)
}

func (c *Controller) machineState(m *machine) string {
	switch {
	case m.releasing:
		return "returning"
	case !m.heard:
		return "booting"
	case c.shardLeader.heartbeats.unresponsive(m):
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

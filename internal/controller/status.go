package controller

import "time"

// QueryStatus asks for a picture of this controller, for its operators.
type QueryStatus struct{ Reply uint64 }

func (QueryStatus) command() {}

// StatusReply is the picture.
type StatusReply struct {
	Reply          uint64              `json:"-"`
	Host           string              `json:"host"`
	Healthy        bool                `json:"healthy"`
	Leader         string              `json:"leader"`
	IsLeader       bool                `json:"is_leader"`
	IsShardLeader  bool                `json:"is_owner"`
	Teams          []TeamStatus        `json:"teams,omitempty"`
	Shards         []ShardStatus       `json:"shares,omitempty"`
	RemoteAttempts RemoteAttemptStatus `json:"wards"`
	// InternalErrors counts mistakes of the program's own, such as malformed requests.
	InternalErrors int `json:"defects"`
	// RejectedInputs counts what came from outside and made no sense.
	RejectedInputs int              `json:"bad_input"`
	Controllers    []string         `json:"nodes"`
	Workloads      []WorkloadStatus `json:"workloads,omitempty"`
	Machines       []MachineStatus  `json:"machines,omitempty"`
	// Pipelines are the jobs here that wait for others, and Behind those that hold most up.
	Pipelines    int                 `json:"pipelines,omitempty"`
	BlockingJobs []BlockingJobStatus `json:"behind,omitempty"`
	// Migrations is there where models are switched on.
	Migrations *MigrationsStatus `json:"moves,omitempty"`
	// GPUFreeCapacity are there while models are on.
	GPUFreeCapacity []GPUFreeCapacity `json:"gpu_rooms,omitempty"`
}

func (StatusReply) effect() {}

// TeamStatus is a team and who runs it; what it keeps busy is known to that controller.
type TeamStatus struct {
	Name    string  `json:"name"`
	Owner   string  `json:"owner,omitempty"`
	IsLocal bool    `json:"here,omitempty"`
	Ready   bool    `json:"ready,omitempty"`
	CPU     float64 `json:"cpu,omitempty"`
}

// ShardStatus is a share of the division and its holder.
type ShardStatus struct {
	Name          string `json:"name"`
	Leader        string `json:"holder"`
	Alive         bool   `json:"alive"`
	Teams         int    `json:"teams"`
	HoldsCatchAll bool   `json:"rest,omitempty"`
	Segments      int    `json:"lots"`
}

// RemoteAttemptStatus counts attempts of the jobs here on machines of others, and of others'
// jobs on the machines here.
type RemoteAttemptStatus struct {
	OnOthersMachines int `json:"afar"`
	OthersHere       int `json:"here"`
}

// WorkloadStatus sums up the open jobs of a workload.
type WorkloadStatus struct {
	Name           string  `json:"name"`
	Jobs           int     `json:"jobs"`
	Waiting        int     `json:"waiting"`
	Live           int     `json:"live"`
	Done           int     `json:"done"`
	TasksPerSecond float64 `json:"tasks_per_s"`
	RunToEstimate  float64 `json:"run_to_estimate"`
}

// GPUFreeCapacity is how the room on the machines of a kind with GPUs lies: how many machines are
// whole, how many GPUs are free, how many of these on machines that are not, and the most
// that one replica could have now.
type GPUFreeCapacity struct {
	MachineType        string  `json:"flavour"`
	Zone               string  `json:"zone"`
	Spot               bool    `json:"spot"`
	Machines           int     `json:"hosts"`
	EmptyMachines      int     `json:"whole"`
	FreeGPUs           float64 `json:"free_gpus"`
	FragmentedGPUs     float64 `json:"gpus_in_pieces"`
	LargestReplicaGPUs float64 `json:"largest_replica_gpus"`
}

// MachineStatus is one machine.
type MachineStatus struct {
	ID               string  `json:"id"`
	MachineType      string  `json:"flavour"`
	Zone             string  `json:"zone"`
	Spot             bool    `json:"spot"`
	State            string  `json:"state"`
	Tasks            int     `json:"tasks"`
	UsedCPU          float64 `json:"used_cpu"`
	CPU              float64 `json:"cpu"`
	LastHeartbeatAge string  `json:"heard"`
}

func (n *Controller) replyStatus(c QueryStatus) {
	s := StatusReply{
		Reply: c.Reply, Host: n.settings.Host, Healthy: n.Healthy(n.now), Leader: n.membership.leader.Host,
		InternalErrors: n.internalErrors,
		RejectedInputs: n.rejectedInputs,
		Migrations:     migrationsStatus(n),
		IsLeader:       n.leader != nil, IsShardLeader: n.IsShardLeader(), Controllers: sortedKeys(n.membership.controllers),
	}
	cpus := map[string]float64{}
	if n.shardLeader != nil {
		for _, l := range n.teamLoads() {
			cpus[l.Team] = l.CPU
		}
	}
	for _, t := range n.settings.Teams {
		ts := TeamStatus{Name: t.Name, CPU: cpus[t.Name]}
		if x := n.membership.shardMap.Team(t.Name); x != nil {
			ts.Owner = x.Host
		}
		if n.shardLeader != nil && n.shardLeader.teams[t.Name] != nil {
			ts.IsLocal, ts.Ready = true, n.shardLeader.teams[t.Name].ready
		}
		s.Teams = append(s.Teams, ts)
	}
	for _, x := range n.membership.shardMap.Shards() {
		s.Shards = append(s.Shards, ShardStatus{
			Name: x.Name, Leader: x.Host, Alive: n.membership.controllers[x.Host].Incarnation == x.Incarnation, Teams: len(x.Teams), HoldsCatchAll: x.CatchAll,
			Segments: len(n.membership.shardMap.SegmentsOf(x.Name)),
		})
	}
	if o := n.shardLeader; o != nil {
		s.GPUFreeCapacity = n.gpuFreeCapacity()
		for _, a := range o.remoteMachines {
			s.RemoteAttempts.OnOthersMachines += len(a.attempts)
		}
		for _, id := range o.registry.Machines() {
			s.RemoteAttempts.OthersHere += o.registry.LiveCount(id)
		}
		by := map[string]*WorkloadStatus{}
		for _, j := range o.jobs {
			w := by[j.Workload]
			if w == nil {
				w = &WorkloadStatus{Name: j.Workload, TasksPerSecond: n.arrivalRate(j.Workload, arrivalWindow), RunToEstimate: 1}
				if e := n.estimators[j.Workload]; e != nil {
					w.RunToEstimate = e.ratio
				}
				by[j.Workload] = w
			}
			w.Jobs++
			w.Waiting += j.pendingTasks()
			w.Live += j.liveTasks
			w.Done += j.doneTasks
		}
		s.Pipelines, s.BlockingJobs = n.blockingJobs()
		for _, name := range sortedKeys(by) {
			s.Workloads = append(s.Workloads, *by[name])
		}
		for _, id := range sortedKeys(o.machines) {
			m := o.machines[id]
			ms := MachineStatus{ID: id, MachineType: m.machineType, Zone: m.zone, Spot: m.spot, State: n.machineState(m), Tasks: len(m.attempts), UsedCPU: m.used.CPU, CPU: m.size.CPU}
			if m.heard {
				ms.LastHeartbeatAge = n.now.Sub(m.lastHeard).Round(100 * time.Millisecond).String()
			}
			s.Machines = append(s.Machines, ms)
		}
	}
	n.emit(s)
}

func (n *Controller) machineState(m *machine) string {
	switch {
	case m.releasing:
		return "returning"
	case !m.heard:
		return "booting"
	case n.unresponsive(m):
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

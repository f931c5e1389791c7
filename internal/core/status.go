package core

import "time"

// StatusQuery asks for a picture of this controller, for its operators.
type StatusQuery struct{ Reply uint64 }

func (StatusQuery) command() {}

// StatusReply is the picture.
type StatusReply struct {
	Reply    uint64        `json:"-"`
	Host     string        `json:"host"`
	Healthy  bool          `json:"healthy"`
	Leader   string        `json:"leader"`
	IsLeader bool          `json:"is_leader"`
	IsOwner  bool          `json:"is_owner"`
	Teams    []TeamStatus  `json:"teams,omitempty"`
	Shares   []ShareStatus `json:"shares,omitempty"`
	Wards    WardStatus    `json:"wards"`
	// Defects counts mistakes of the program's own, such as malformed requests.
	Defects int `json:"defects"`
	// BadInput counts what came from outside and made no sense.
	BadInput  int              `json:"bad_input"`
	Nodes     []string         `json:"nodes"`
	Workloads []WorkloadStatus `json:"workloads,omitempty"`
	Machines  []MachineStatus  `json:"machines,omitempty"`
	// Pipelines are the jobs here that wait for others, and Behind those that hold most up.
	Pipelines int           `json:"pipelines,omitempty"`
	Behind    []HoldsStatus `json:"behind,omitempty"`
	// Moves is there where models are switched on.
	Moves *MovesStatus `json:"moves,omitempty"`
	// GPURooms are there while models are on.
	GPURooms []GPURoom `json:"gpu_rooms,omitempty"`
}

func (StatusReply) effect() {}

// TeamStatus is a team and who runs it; what it keeps busy is known to that controller.
type TeamStatus struct {
	Name  string  `json:"name"`
	Owner string  `json:"owner,omitempty"`
	Here  bool    `json:"here,omitempty"`
	Ready bool    `json:"ready,omitempty"`
	CPU   float64 `json:"cpu,omitempty"`
}

// ShareStatus is a share of the division and its holder.
type ShareStatus struct {
	Name   string `json:"name"`
	Holder string `json:"holder"`
	Alive  bool   `json:"alive"`
	Teams  int    `json:"teams"`
	Rest   bool   `json:"rest,omitempty"`
	Lots   int    `json:"lots"`
}

// WardStatus counts attempts of the jobs here on machines of others, and of others'
// jobs on the machines here.
type WardStatus struct {
	Afar int `json:"afar"`
	Here int `json:"here"`
}

// WorkloadStatus sums up the open jobs of a workload.
type WorkloadStatus struct {
	Name    string  `json:"name"`
	Jobs    int     `json:"jobs"`
	Waiting int     `json:"waiting"`
	Live    int     `json:"live"`
	Done    int     `json:"done"`
	Rate    float64 `json:"tasks_per_s"`
	Ratio   float64 `json:"run_to_estimate"`
}

// GPURoom is how the room on the machines of a kind with GPUs lies: how many machines are
// whole, how many GPUs are free, how many of these on machines that are not, and the most
// that one replica could have now.
type GPURoom struct {
	Flavour string  `json:"flavour"`
	Zone    string  `json:"zone"`
	Spot    bool    `json:"spot"`
	Hosts   int     `json:"hosts"`
	Whole   int     `json:"whole"`
	Free    float64 `json:"free_gpus"`
	Pieces  float64 `json:"gpus_in_pieces"`
	Largest float64 `json:"largest_replica_gpus"`
}

// MachineStatus is one machine.
type MachineStatus struct {
	ID      string  `json:"id"`
	Flavour string  `json:"flavour"`
	Zone    string  `json:"zone"`
	Spot    bool    `json:"spot"`
	State   string  `json:"state"`
	Tasks   int     `json:"tasks"`
	UsedCPU float64 `json:"used_cpu"`
	CPU     float64 `json:"cpu"`
	Heard   string  `json:"heard"`
}

func (n *Node) status(c StatusQuery) {
	s := StatusReply{
		Reply: c.Reply, Host: n.set.Host, Healthy: n.Healthy(n.now), Leader: n.sess.lead.Host,
		Defects:  n.defects,
		BadInput: n.badInput,
		Moves:    movesStatus(n),
		IsLeader: n.leader != nil, IsOwner: n.IsOwner(), Nodes: sortedKeys(n.sess.nodes),
	}
	cpus := map[string]float64{}
	if n.owner != nil {
		for _, l := range n.teamLoads() {
			cpus[l.Team] = l.CPU
		}
	}
	for _, t := range n.set.Teams {
		ts := TeamStatus{Name: t.Name, CPU: cpus[t.Name]}
		if x := n.sess.book.Team(t.Name); x != nil {
			ts.Owner = x.Host
		}
		if n.owner != nil && n.owner.teams[t.Name] != nil {
			ts.Here, ts.Ready = true, n.owner.teams[t.Name].ready
		}
		s.Teams = append(s.Teams, ts)
	}
	for _, x := range n.sess.book.Shares() {
		s.Shares = append(s.Shares, ShareStatus{
			Name: x.Name, Holder: x.Host, Alive: n.sess.nodes[x.Host].Nonce == x.Nonce, Teams: len(x.Teams), Rest: x.Rest,
			Lots: len(n.sess.book.LotsOf(x.Name)),
		})
	}
	if o := n.owner; o != nil {
		s.GPURooms = n.gpuRooms()
		for _, a := range o.afar {
			s.Wards.Afar += len(a.attempts)
		}
		for _, id := range o.registry.Machines() {
			s.Wards.Here += o.registry.Count(id)
		}
		by := map[string]*WorkloadStatus{}
		for _, j := range o.jobs {
			w := by[j.Workload]
			if w == nil {
				w = &WorkloadStatus{Name: j.Workload, Rate: n.arrivalRate(j.Workload, warmWindow), Ratio: 1}
				if e := n.errs[j.Workload]; e != nil {
					w.Ratio = e.ratio
				}
				by[j.Workload] = w
			}
			w.Jobs++
			w.Waiting += j.pending()
			w.Live += j.live
			w.Done += j.done
		}
		s.Pipelines, s.Behind = n.holdsStatus()
		for _, name := range sortedKeys(by) {
			s.Workloads = append(s.Workloads, *by[name])
		}
		for _, id := range sortedKeys(o.machines) {
			m := o.machines[id]
			ms := MachineStatus{ID: id, Flavour: m.flavour, Zone: m.zone, Spot: m.spot, State: n.machineState(m), Tasks: len(m.attempts), UsedCPU: m.used.CPU, CPU: m.size.CPU}
			if m.heard {
				ms.Heard = n.now.Sub(m.lastHeard).Round(100 * time.Millisecond).String()
			}
			s.Machines = append(s.Machines, ms)
		}
	}
	n.emit(s)
}

func (n *Node) machineState(m *machine) string {
	switch {
	case m.returning:
		return "returning"
	case !m.heard:
		return "booting"
	case n.silent(m):
		return "silent"
	case !m.reach.Hears():
		return "deaf"
	case m.recall:
		return "recalled"
	case m.bad:
		return "faulty"
	case m.retiring:
		return "retiring"
	}
	return "up"
}

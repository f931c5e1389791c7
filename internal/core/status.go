package core

import "time"

// StatusQuery asks for a picture of this controller, for its operators.
type StatusQuery struct{ Reply uint64 }

func (StatusQuery) command() {}

// StatusReply is the picture.
type StatusReply struct {
	Reply     uint64           `json:"-"`
	Host      string           `json:"host"`
	Healthy   bool             `json:"healthy"`
	Leader    string           `json:"leader"`
	IsLeader  bool             `json:"is_leader"`
	IsOwner   bool             `json:"is_owner"`
	Epoch     uint64           `json:"epoch,omitempty"`
	Teams     []string         `json:"teams,omitempty"`
	Nodes     []string         `json:"nodes"`
	Workloads []WorkloadStatus `json:"workloads,omitempty"`
	Machines  []MachineStatus  `json:"machines,omitempty"`
}

func (StatusReply) effect() {}

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
		IsLeader: n.leader != nil, IsOwner: n.IsOwner(), Nodes: sortedKeys(n.sess.nodes),
	}
	if o := n.owner; o != nil {
		s.Epoch, s.Teams = o.epoch, o.share.Teams
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
	case m.recall:
		return "recalled"
	case m.bad:
		return "faulty"
	case m.retiring:
		return "retiring"
	}
	return "up"
}

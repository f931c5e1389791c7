package peer

import (
	"time"

	"github.com/micahill/micahill/internal/core"
	"github.com/micahill/micahill/internal/division"
	"github.com/micahill/micahill/internal/ownership"
)

// wire is news in its protobuf form, and core, below, the way back.
func wire(n core.PeerUpdate) *News {
	m := &News{
		From: n.From, Life: n.Incarnation, Asks: n.IsCapacityRequest, Seq: n.Seq, Wants: wireWants(n.CapacityRequests), Idle: n.ToRelease,
		Tells: n.IsLeaderUpdate, Blocked: wireWants(n.Blocked), ToSpare: n.Surplus, Spare: wireWants(n.SurplusElsewhere), StateAway: n.StoreUnavailable,
	}
	for _, x := range n.Cancellations {
		m.Cancelled = append(m.Cancelled, &Cancelled{Id: x.ID, Record: x.Record, Stamp: x.ModRevision})
	}
	m.CancelsHeard = n.CancellationAcks
	for _, x := range n.Rerouted {
		m.Came = append(m.Came, &Came{Id: x.ID, Epoch: x.Epoch, Tenure: x.Incarnation, Tick: x.Sequence})
	}
	for _, p := range n.Progress {
		m.Progress = append(m.Progress, &Progress{Id: p.ID, Done: int64(p.Done), Running: int64(p.Running)})
	}
	for _, l := range n.WorkloadLoads {
		m.Loads = append(m.Loads, &Load{Team: l.Team, Workload: l.Workload, Rate: l.TasksPerSecond, Ratio: l.RunTimeRatio, Dev: l.Deviation, Samples: int64(l.Samples)})
	}
	for _, r := range n.RentalUpdates {
		m.Rentals = append(m.Rentals, &Rental{Id: r.ID, Addr: r.Addr, Flavour: r.MachineType, Zone: r.Zone, Spot: r.Spot, Status: r.Status, AgeMs: r.Age.Milliseconds()})
	}
	for _, h := range n.MachineUpdates {
		m.Hosts = append(m.Hosts, &Host{Id: h.ID, Addr: h.Addr, Flavour: h.MachineType, Zone: h.Zone, Spot: h.Spot, Images: h.Images})
	}
	for _, q := range n.Quotes {
		m.Quotes = append(m.Quotes, &TeamQuotes{Team: q.Team, Value: q.Value})
	}
	for _, t := range n.TeamLoads {
		m.Teams = append(m.Teams, &TeamLoad{Team: t.Team, Cpu: t.CPU})
	}
	if n.Rates != nil {
		m.Rates = &Rates{Requests: n.Rates.Requests, Changes: n.Rates.Writes}
	}
	for _, o := range n.Offers {
		m.Offers = append(m.Offers, &Offer{Team: o.Team, Machines: o.Machines})
	}
	for _, r := range n.TeamRelease {
		m.Release = append(m.Release, &Release{Team: r.Team, From: r.From, To: r.To})
	}
	for _, a := range n.RemoteAttempts {
		x := &Ask{Machine: a.Machine}
		for _, t := range a.Attempts {
			x.Attempts = append(x.Attempts, &Attempt{Job: t.Job, Index: int64(t.Index), Try: t.Attempt, Want: uint32(t.Intent), WindDownMs: t.WindDown.Milliseconds()})
		}
		m.Wards = append(m.Wards, x)
	}
	for _, a := range n.RemoteStatuses {
		x := &Tell{Machine: a.Machine, Epoch: a.Epoch, Zone: a.Zone}
		for _, t := range a.Attempts {
			x.Attempts = append(x.Attempts, &Attempt{Job: t.Job, Index: int64(t.Index), Try: t.Attempt, State: uint32(t.State), Cause: t.Cause})
		}
		m.Told = append(m.Told, x)
	}
	m.Needs, m.Lacks, m.Empty = wireNeeds(n.HostNeeds), wireNeeds(n.OthersNeeds), wireNeeds(n.EvacuationRequests)
	for _, c := range n.EvacuationCosts {
		m.Costs = append(m.Costs, &HostCost{Flavour: c.MachineType, Zone: c.Zone, Spot: c.Spot, DownMs: c.Downtime.Milliseconds()})
	}
	return m
}

func wireNeeds(hs []core.HostNeed) []*HostNeed {
	var out []*HostNeed
	for _, h := range hs {
		out = append(out, &HostNeed{Flavour: h.MachineType, Zone: h.Zone, Spot: h.Spot, Cpu: h.Need.CPU, Gpu: h.Need.GPU, Memory: h.Need.Memory, Workload: h.Workload, Urgency: int64(h.Urgency)})
	}
	return out
}

func coreNeeds(hs []*HostNeed) []core.HostNeed {
	var out []core.HostNeed
	for _, h := range hs {
		out = append(out, core.HostNeed{MachineType: h.Flavour, Zone: h.Zone, Spot: h.Spot, Need: core.Resources{CPU: h.Cpu, GPU: h.Gpu, Memory: h.Memory}, Workload: h.Workload, Urgency: core.Urgency(h.Urgency)})
	}
	return out
}

func wireWants(ws []core.CapacityRequest) []*Want {
	var out []*Want
	for _, w := range ws {
		out = append(out, &Want{Flavour: w.MachineType, Zone: w.Zone, Spot: w.Spot, Count: int64(w.Count)})
	}
	return out
}

func (m *News) core() core.PeerUpdate {
	n := core.PeerUpdate{
		From: m.From, Incarnation: m.Life, IsCapacityRequest: m.Asks, Seq: m.Seq, CapacityRequests: coreWants(m.Wants), ToRelease: m.Idle,
		IsLeaderUpdate: m.Tells, Blocked: coreWants(m.Blocked), Surplus: m.ToSpare, SurplusElsewhere: coreWants(m.Spare), StoreUnavailable: m.StateAway,
	}
	for _, x := range m.Cancelled {
		n.Cancellations = append(n.Cancellations, core.Cancellation{ID: x.Id, Record: x.Record, ModRevision: x.Stamp})
	}
	n.CancellationAcks = m.CancelsHeard
	for _, x := range m.Came {
		n.Rerouted = append(n.Rerouted, core.ReroutedHeartbeat{ID: x.Id, Epoch: x.Epoch, Incarnation: x.Tenure, Sequence: x.Tick})
	}
	for _, p := range m.Progress {
		n.Progress = append(n.Progress, core.Progress{ID: p.Id, Done: int(p.Done), Running: int(p.Running)})
	}
	for _, l := range m.Loads {
		n.WorkloadLoads = append(n.WorkloadLoads, core.WorkloadLoad{Team: l.Team, Workload: l.Workload, TasksPerSecond: l.Rate, RunTimeRatio: l.Ratio, Deviation: l.Dev, Samples: int(l.Samples)})
	}
	for _, r := range m.Rentals {
		n.RentalUpdates = append(n.RentalUpdates, core.RentalUpdate{ID: r.Id, Addr: r.Addr, MachineType: r.Flavour, Zone: r.Zone, Spot: r.Spot, Status: r.Status, Age: time.Duration(r.AgeMs) * time.Millisecond})
	}
	for _, h := range m.Hosts {
		n.MachineUpdates = append(n.MachineUpdates, core.MachineUpdate{ID: h.Id, Addr: h.Addr, MachineType: h.Flavour, Zone: h.Zone, Spot: h.Spot, Images: h.Images})
	}
	for _, q := range m.Quotes {
		n.Quotes = append(n.Quotes, core.TeamQuotes{Team: q.Team, Value: q.Value})
	}
	for _, t := range m.Teams {
		n.TeamLoads = append(n.TeamLoads, core.TeamLoad{Team: t.Team, CPU: t.Cpu})
	}
	if m.Rates != nil {
		n.Rates = &core.Rates{Requests: m.Rates.Requests, Writes: m.Rates.Changes}
	}
	for _, o := range m.Offers {
		n.Offers = append(n.Offers, division.Offer{Team: o.Team, Machines: o.Machines})
	}
	for _, r := range m.Release {
		n.TeamRelease = append(n.TeamRelease, division.MoveRequest{Team: r.Team, From: r.From, To: r.To})
	}
	for _, a := range m.Wards {
		x := ownership.Request{Machine: a.Machine}
		for _, t := range a.Attempts {
			x.Attempts = append(x.Attempts, ownership.AttemptRequest{AttemptID: t.core(), Intent: ownership.Intent(t.Want), WindDown: time.Duration(t.WindDownMs) * time.Millisecond})
		}
		n.RemoteAttempts = append(n.RemoteAttempts, x)
	}
	for _, a := range m.Told {
		x := ownership.MachineStatus{Machine: a.Machine, Epoch: a.Epoch, Zone: a.Zone}
		for _, t := range a.Attempts {
			x.Attempts = append(x.Attempts, ownership.AttemptStatus{AttemptID: t.core(), State: ownership.State(t.State), Cause: t.Cause})
		}
		n.RemoteStatuses = append(n.RemoteStatuses, x)
	}
	n.HostNeeds, n.OthersNeeds, n.EvacuationRequests = coreNeeds(m.Needs), coreNeeds(m.Lacks), coreNeeds(m.Empty)
	for _, c := range m.Costs {
		n.EvacuationCosts = append(n.EvacuationCosts, core.HostCost{MachineType: c.Flavour, Zone: c.Zone, Spot: c.Spot, Downtime: time.Duration(c.DownMs) * time.Millisecond})
	}
	return n
}

func (t *Attempt) core() ownership.AttemptID {
	return ownership.AttemptID{Job: t.Job, Index: int(t.Index), Attempt: t.Try}
}

func coreWants(ws []*Want) []core.CapacityRequest {
	var out []core.CapacityRequest
	for _, w := range ws {
		out = append(out, core.CapacityRequest{MachineType: w.Flavour, Zone: w.Zone, Spot: w.Spot, Count: int(w.Count)})
	}
	return out
}

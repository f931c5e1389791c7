package peer

import (
	"time"

	"github.com/micahill/micahill/internal/message"
	"github.com/micahill/micahill/internal/model"
	"github.com/micahill/micahill/internal/remote"
	"github.com/micahill/micahill/internal/sharding"
)

// toProto is news in its protobuf form, and core, below, the way back.
func toProto(update message.PeerUpdate) *News {
	pb := &News{
		From: update.From, Life: update.Incarnation, Asks: update.IsCapacityRequest, Seq: update.Seq, Wants: requestsToProto(update.CapacityRequests), Idle: update.ToRelease,
		Tells: update.IsLeaderUpdate, Blocked: requestsToProto(update.Blocked), ToSpare: update.Surplus, Spare: requestsToProto(update.SurplusElsewhere), StateAway: update.StoreUnavailable,
	}
	for _, x := range update.Cancellations {
		pb.Cancelled = append(pb.Cancelled, &Cancelled{Id: x.ID, Record: x.Record, Stamp: x.ModRevision})
	}
	pb.CancelsHeard = update.CancellationAcks
	for _, x := range update.Rerouted {
		pb.Came = append(pb.Came, &Came{Id: x.ID, Epoch: x.Epoch, Tenure: x.Incarnation, Tick: x.Sequence})
	}
	for _, p := range update.Progress {
		pb.Progress = append(pb.Progress, &Progress{Id: p.ID, Done: int64(p.Done), Running: int64(p.Running)})
	}
	for _, l := range update.WorkloadLoads {
		pb.Loads = append(pb.Loads, &Load{Team: l.Team, Workload: l.Workload, Rate: l.TasksPerSecond, Ratio: l.RunTimeRatio, Dev: l.Deviation, Samples: int64(l.Samples)})
	}
	for _, r := range update.RentalUpdates {
		pb.Rentals = append(pb.Rentals, &Rental{Id: r.ID, Addr: r.Addr, Flavour: r.MachineType, Zone: r.Zone, Spot: r.Spot, Status: r.Status, AgeMs: r.Age.Milliseconds()})
	}
	for _, h := range update.MachineUpdates {
		pb.Hosts = append(pb.Hosts, &Host{Id: h.ID, Addr: h.Addr, Flavour: h.MachineType, Zone: h.Zone, Spot: h.Spot, Images: h.Images})
	}
	for _, q := range update.Quotes {
		pb.Quotes = append(pb.Quotes, &TeamQuotes{Team: q.Team, Value: q.Value})
	}
	for _, t := range update.TeamLoads {
		pb.Teams = append(pb.Teams, &TeamLoad{Team: t.Team, Cpu: t.CPU})
	}
	if update.Rates != nil {
		pb.Rates = &Rates{Requests: update.Rates.Requests, Changes: update.Rates.Writes}
	}
	for _, o := range update.Offers {
		pb.Offers = append(pb.Offers, &Offer{Team: o.Team, Machines: o.Machines})
	}
	for _, r := range update.TeamRelease {
		pb.Release = append(pb.Release, &Release{Team: r.Team, From: r.From, To: r.To})
	}
	for _, a := range update.RemoteAttempts {
		x := &Ask{Machine: a.Machine}
		for _, t := range a.Attempts {
			x.Attempts = append(x.Attempts, &Attempt{Job: t.Job, Index: int64(t.Index), Try: t.Attempt, Want: uint32(t.Intent), WindDownMs: t.WindDown.Milliseconds()})
		}
		pb.Wards = append(pb.Wards, x)
	}
	for _, a := range update.RemoteStatuses {
		x := &Tell{Machine: a.Machine, Epoch: a.Epoch, Zone: a.Zone}
		for _, t := range a.Attempts {
			x.Attempts = append(x.Attempts, &Attempt{Job: t.Job, Index: int64(t.Index), Try: t.Attempt, State: uint32(t.State), Cause: t.Cause})
		}
		pb.Told = append(pb.Told, x)
	}
	pb.Needs, pb.Lacks, pb.Empty = needsToProto(update.HostNeeds), needsToProto(update.OthersNeeds), needsToProto(update.EvacuationRequests)
	for _, c := range update.EvacuationCosts {
		pb.Costs = append(pb.Costs, &HostCost{Flavour: c.MachineType, Zone: c.Zone, Spot: c.Spot, DownMs: c.Downtime.Milliseconds()})
	}
	return pb
}

func needsToProto(needs []message.HostNeed) []*HostNeed {
	var out []*HostNeed
	for _, h := range needs {
		out = append(out, &HostNeed{Flavour: h.MachineType, Zone: h.Zone, Spot: h.Spot, Cpu: h.Need.CPU, Gpu: h.Need.GPU, Memory: h.Need.Memory, Workload: h.Workload, Urgency: int64(h.Urgency)})
	}
	return out
}

func needsFromProto(needs []*HostNeed) []message.HostNeed {
	var out []message.HostNeed
	for _, h := range needs {
		out = append(out, message.HostNeed{MachineType: h.Flavour, Zone: h.Zone, Spot: h.Spot, Need: model.Resources{CPU: h.Cpu, GPU: h.Gpu, Memory: h.Memory}, Workload: h.Workload, Urgency: model.Urgency(h.Urgency)})
	}
	return out
}

func requestsToProto(requests []message.CapacityRequest) []*Want {
	var out []*Want
	for _, w := range requests {
		out = append(out, &Want{Flavour: w.MachineType, Zone: w.Zone, Spot: w.Spot, Count: int64(w.Count)})
	}
	return out
}

func (m *News) toUpdate() message.PeerUpdate {
	update := message.PeerUpdate{
		From: m.From, Incarnation: m.Life, IsCapacityRequest: m.Asks, Seq: m.Seq, CapacityRequests: requestsFromProto(m.Wants), ToRelease: m.Idle,
		IsLeaderUpdate: m.Tells, Blocked: requestsFromProto(m.Blocked), Surplus: m.ToSpare, SurplusElsewhere: requestsFromProto(m.Spare), StoreUnavailable: m.StateAway,
	}
	for _, x := range m.Cancelled {
		update.Cancellations = append(update.Cancellations, message.Cancellation{ID: x.Id, Record: x.Record, ModRevision: x.Stamp})
	}
	update.CancellationAcks = m.CancelsHeard
	for _, x := range m.Came {
		update.Rerouted = append(update.Rerouted, message.ReroutedHeartbeat{ID: x.Id, Epoch: x.Epoch, Incarnation: x.Tenure, Sequence: x.Tick})
	}
	for _, p := range m.Progress {
		update.Progress = append(update.Progress, message.Progress{ID: p.Id, Done: int(p.Done), Running: int(p.Running)})
	}
	for _, l := range m.Loads {
		update.WorkloadLoads = append(update.WorkloadLoads, message.WorkloadLoad{Team: l.Team, Workload: l.Workload, TasksPerSecond: l.Rate, RunTimeRatio: l.Ratio, Deviation: l.Dev, Samples: int(l.Samples)})
	}
	for _, r := range m.Rentals {
		update.RentalUpdates = append(update.RentalUpdates, message.RentalUpdate{ID: r.Id, Addr: r.Addr, MachineType: r.Flavour, Zone: r.Zone, Spot: r.Spot, Status: r.Status, Age: time.Duration(r.AgeMs) * time.Millisecond})
	}
	for _, h := range m.Hosts {
		update.MachineUpdates = append(update.MachineUpdates, message.MachineUpdate{ID: h.Id, Addr: h.Addr, MachineType: h.Flavour, Zone: h.Zone, Spot: h.Spot, Images: h.Images})
	}
	for _, q := range m.Quotes {
		update.Quotes = append(update.Quotes, message.TeamQuotes{Team: q.Team, Value: q.Value})
	}
	for _, t := range m.Teams {
		update.TeamLoads = append(update.TeamLoads, message.TeamLoad{Team: t.Team, CPU: t.Cpu})
	}
	if m.Rates != nil {
		update.Rates = &message.Rates{Requests: m.Rates.Requests, Writes: m.Rates.Changes}
	}
	for _, o := range m.Offers {
		update.Offers = append(update.Offers, sharding.Offer{Team: o.Team, Machines: o.Machines})
	}
	for _, r := range m.Release {
		update.TeamRelease = append(update.TeamRelease, sharding.MoveRequest{Team: r.Team, From: r.From, To: r.To})
	}
	for _, a := range m.Wards {
		x := remote.Request{Machine: a.Machine}
		for _, t := range a.Attempts {
			x.Attempts = append(x.Attempts, remote.AttemptRequest{AttemptID: t.toAttempt(), Intent: remote.Intent(t.Want), WindDown: time.Duration(t.WindDownMs) * time.Millisecond})
		}
		update.RemoteAttempts = append(update.RemoteAttempts, x)
	}
	for _, a := range m.Told {
		x := remote.MachineStatus{Machine: a.Machine, Epoch: a.Epoch, Zone: a.Zone}
		for _, t := range a.Attempts {
			x.Attempts = append(x.Attempts, remote.AttemptStatus{AttemptID: t.toAttempt(), State: remote.State(t.State), Cause: t.Cause})
		}
		update.RemoteStatuses = append(update.RemoteStatuses, x)
	}
	update.HostNeeds, update.OthersNeeds, update.EvacuationRequests = needsFromProto(m.Needs), needsFromProto(m.Lacks), needsFromProto(m.Empty)
	for _, c := range m.Costs {
		update.EvacuationCosts = append(update.EvacuationCosts, message.HostCost{MachineType: c.Flavour, Zone: c.Zone, Spot: c.Spot, Downtime: time.Duration(c.DownMs) * time.Millisecond})
	}
	return update
}

func (t *Attempt) toAttempt() remote.AttemptID {
	return remote.AttemptID{Job: t.Job, Index: int(t.Index), Attempt: t.Try}
}

func requestsFromProto(requests []*Want) []message.CapacityRequest {
	var out []message.CapacityRequest
	for _, w := range requests {
		out = append(out, message.CapacityRequest{MachineType: w.Flavour, Zone: w.Zone, Spot: w.Spot, Count: int(w.Count)})
	}
	return out
}

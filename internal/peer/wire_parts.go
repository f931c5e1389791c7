package peer

import (
	"time"

	"github.com/micahill/micahill/internal/exchange"
	"github.com/micahill/micahill/internal/message"
	"github.com/micahill/micahill/internal/model"
	"github.com/micahill/micahill/internal/remote"
	"github.com/micahill/micahill/internal/sharding"
)

func encodeProgress(p message.Progress) *Progress {
	return &Progress{Id: p.ID, Done: int64(p.Done), Running: int64(p.Running)}
}

func decodeProgress(pb *Progress) message.Progress {
	return message.Progress{ID: pb.Id, Done: int(pb.Done), Running: int(pb.Running)}
}

func encodeWorkloadLoad(l message.WorkloadLoad) *WorkloadLoad {
	return &WorkloadLoad{Team: l.Team, Workload: l.Workload, Rate: l.TasksPerSecond, Ratio: l.RunTimeRatio, Dev: l.Deviation, Samples: int64(l.Samples)}
}

func decodeWorkloadLoad(pb *WorkloadLoad) message.WorkloadLoad {
	return message.WorkloadLoad{Team: pb.Team, Workload: pb.Workload, TasksPerSecond: pb.Rate, RunTimeRatio: pb.Ratio, Deviation: pb.Dev, Samples: int(pb.Samples)}
}

func encodeMachine(m message.MachineUpdate) *Machine {
	return &Machine{Id: m.ID, Addr: m.Addr, Flavour: m.MachineType, Zone: m.Zone, Spot: m.Spot, Images: m.Images}
}

func decodeMachine(pb *Machine) message.MachineUpdate {
	return message.MachineUpdate{ID: pb.Id, Addr: pb.Addr, MachineType: pb.Flavour, Zone: pb.Zone, Spot: pb.Spot, Images: pb.Images}
}

func encodeCapacityRequest(r message.CapacityRequest) *CapacityRequest {
	return &CapacityRequest{Flavour: r.MachineType, Zone: r.Zone, Spot: r.Spot, Count: int64(r.Count)}
}

func decodeCapacityRequest(pb *CapacityRequest) message.CapacityRequest {
	return message.CapacityRequest{MachineType: pb.Flavour, Zone: pb.Zone, Spot: pb.Spot, Count: int(pb.Count)}
}

func encodeTeamLoad(l message.TeamLoad) *TeamLoad {
	return &TeamLoad{Team: l.Team, Cpu: l.CPU}
}

func decodeTeamLoad(pb *TeamLoad) message.TeamLoad {
	return message.TeamLoad{Team: pb.Team, CPU: pb.Cpu}
}

func encodeOffer(o sharding.Offer) *Offer {
	return &Offer{Team: o.Team, Machines: o.Machines}
}

func decodeOffer(pb *Offer) sharding.Offer {
	return sharding.Offer{Team: pb.Team, Machines: pb.Machines}
}

func encodeRates(r *message.Rates) *Rates {
	if r == nil {
		return nil
	}
	return &Rates{Requests: r.Requests, Changes: r.Writes}
}

func decodeRates(pb *Rates) *message.Rates {
	if pb == nil {
		return nil
	}
	return &message.Rates{Requests: pb.Requests, Writes: pb.Changes}
}

func encodeRental(r message.RentalUpdate) *Rental {
	return &Rental{Id: r.ID, Addr: r.Addr, Flavour: r.MachineType, Zone: r.Zone, Spot: r.Spot, Status: r.Status, AgeMs: r.Age.Milliseconds()}
}

func decodeRental(pb *Rental) message.RentalUpdate {
	return message.RentalUpdate{ID: pb.Id, Addr: pb.Addr, MachineType: pb.Flavour, Zone: pb.Zone, Spot: pb.Spot, Status: pb.Status, Age: milliseconds(pb.AgeMs)}
}

func encodeTeamRelease(r sharding.MoveRequest) *TeamRelease {
	return &TeamRelease{Team: r.Team, From: r.From, To: r.To}
}

func decodeTeamRelease(pb *TeamRelease) sharding.MoveRequest {
	return sharding.MoveRequest{Team: pb.Team, From: pb.From, To: pb.To}
}

func encodeRemoteRequest(r remote.Request) *RemoteRequest {
	return &RemoteRequest{Machine: r.Machine, Attempts: mapSlice(r.Attempts, func(a remote.AttemptRequest) *Attempt {
		return &Attempt{Job: a.Job, Index: int64(a.Index), Try: a.Attempt, Want: uint32(a.Intent), WindDownMs: a.WindDown.Milliseconds()}
	})}
}

func decodeRemoteRequest(pb *RemoteRequest) remote.Request {
	return remote.Request{Machine: pb.Machine, Attempts: mapSlice(pb.Attempts, func(a *Attempt) remote.AttemptRequest {
		return remote.AttemptRequest{AttemptID: decodeAttemptID(a), Intent: remote.Intent(a.Want), WindDown: milliseconds(a.WindDownMs)}
	})}
}

func encodeRemoteStatus(s remote.MachineStatus) *RemoteStatus {
	return &RemoteStatus{Machine: s.Machine, Epoch: s.Epoch, Zone: s.Zone, Attempts: mapSlice(s.Attempts, func(a remote.AttemptStatus) *Attempt {
		return &Attempt{Job: a.Job, Index: int64(a.Index), Try: a.Attempt, State: uint32(a.State), Cause: a.Cause}
	})}
}

func decodeRemoteStatus(pb *RemoteStatus) remote.MachineStatus {
	return remote.MachineStatus{Machine: pb.Machine, Epoch: pb.Epoch, Zone: pb.Zone, Attempts: mapSlice(pb.Attempts, func(a *Attempt) remote.AttemptStatus {
		return remote.AttemptStatus{AttemptID: decodeAttemptID(a), State: remote.State(a.State), Cause: a.Cause}
	})}
}

func decodeAttemptID(pb *Attempt) remote.AttemptID {
	return remote.AttemptID{Job: pb.Job, Index: int(pb.Index), Attempt: pb.Try}
}

func encodeHostNeed(n message.HostNeed) *HostNeed {
	return &HostNeed{Flavour: n.MachineType, Zone: n.Zone, Spot: n.Spot, Cpu: n.Need.CPU, Gpu: n.Need.GPU, Memory: n.Need.Memory, Workload: n.Workload, Urgency: int64(n.Urgency)}
}

func decodeHostNeed(pb *HostNeed) message.HostNeed {
	return message.HostNeed{MachineType: pb.Flavour, Zone: pb.Zone, Spot: pb.Spot, Need: model.Resources{CPU: pb.Cpu, GPU: pb.Gpu, Memory: pb.Memory}, Workload: pb.Workload, Urgency: model.Urgency(pb.Urgency)}
}

func encodeHostCost(c message.HostCost) *HostCost {
	return &HostCost{Flavour: c.MachineType, Zone: c.Zone, Spot: c.Spot, DownMs: c.Downtime.Milliseconds()}
}

func decodeHostCost(pb *HostCost) message.HostCost {
	return message.HostCost{MachineType: pb.Flavour, Zone: pb.Zone, Spot: pb.Spot, Downtime: milliseconds(pb.DownMs)}
}

func encodeTeamQuotes(q message.TeamQuotes) *TeamQuotes {
	return &TeamQuotes{Team: q.Team, Value: q.Value}
}

func decodeTeamQuotes(pb *TeamQuotes) message.TeamQuotes {
	return message.TeamQuotes{Team: pb.Team, Value: pb.Value}
}

func encodeReroutedHeartbeat(h message.ReroutedHeartbeat) *ReroutedHeartbeat {
	return &ReroutedHeartbeat{Id: h.ID, Epoch: h.Epoch, Tenure: h.Incarnation, Tick: h.Sequence}
}

func decodeReroutedHeartbeat(pb *ReroutedHeartbeat) message.ReroutedHeartbeat {
	return message.ReroutedHeartbeat{ID: pb.Id, Epoch: pb.Epoch, Incarnation: pb.Tenure, Sequence: pb.Tick}
}

func encodeCancellation(c message.Cancellation) *Cancellation {
	return &Cancellation{Id: c.ID, Record: c.Record, Stamp: c.ModRevision}
}

func decodeCancellation(pb *Cancellation) message.Cancellation {
	return message.Cancellation{ID: pb.Id, Record: pb.Record, ModRevision: pb.Stamp}
}

func milliseconds(n int64) time.Duration { return time.Duration(n) * time.Millisecond }

func encodeTransferRequest(r exchange.TransferRequest) *TransferRequest {
	return &TransferRequest{Team: r.Team, Kinds: mapSlice(r.Kinds, encodeMachineKind), Cpu: r.Need.CPU, Gpu: r.Need.GPU, Memory: r.Need.Memory, Jobs: int64(r.Jobs), WaitedMs: r.Waited.Milliseconds()}
}

func decodeTransferRequest(pb *TransferRequest) exchange.TransferRequest {
	return exchange.TransferRequest{
		Team: pb.Team, Kinds: mapSlice(pb.Kinds, decodeMachineKind), Need: model.Resources{CPU: pb.Cpu, GPU: pb.Gpu, Memory: pb.Memory},
		Jobs: int(pb.Jobs), Waited: milliseconds(pb.WaitedMs),
	}
}

func encodeMachineKind(k exchange.Kind) *MachineKind {
	return &MachineKind{MachineType: k.MachineType, Zone: k.Zone, Spot: k.Spot}
}

func decodeMachineKind(pb *MachineKind) exchange.Kind {
	return exchange.Kind{MachineType: pb.GetMachineType(), Zone: pb.GetZone(), Spot: pb.GetSpot()}
}

func encodeTransferOffer(o exchange.TransferOffer) *TransferOffer {
	return &TransferOffer{Machine: o.ID, Kind: encodeMachineKind(o.Kind), Cpu: o.Free.CPU, Gpu: o.Free.GPU, Memory: o.Free.Memory, Attempts: int64(o.Attempts)}
}

func decodeTransferOffer(pb *TransferOffer) exchange.TransferOffer {
	return exchange.TransferOffer{ID: pb.Machine, Kind: decodeMachineKind(pb.Kind), Free: model.Resources{CPU: pb.Cpu, GPU: pb.Gpu, Memory: pb.Memory}, Attempts: int(pb.Attempts)}
}

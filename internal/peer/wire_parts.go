package peer

import (
	"time"

	"github.com/micahill/micahill/internal/exchange"
	"github.com/micahill/micahill/internal/message"
	"github.com/micahill/micahill/internal/model"
	"github.com/micahill/micahill/internal/remote"
	"github.com/micahill/micahill/internal/sharding"
)

// encodeProgress encodes a job's task counts as a protobuf message.
func encodeProgress(progress message.Progress) *Progress {
	return &Progress{Id: progress.ID, Done: int64(progress.Done), Running: int64(progress.Running)}
}

// decodeProgress decodes a job's task counts from a protobuf message.
func decodeProgress(pb *Progress) message.Progress {
	return message.Progress{ID: pb.Id, Done: int(pb.Done), Running: int(pb.Running)}
}

// encodeWorkloadLoad encodes the measurements of a workload as a protobuf message.
func encodeWorkloadLoad(load message.WorkloadLoad) *WorkloadLoad {
	return &WorkloadLoad{Team: load.Team, Workload: load.Workload, Rate: load.TasksPerSecond, Ratio: load.RunTimeRatio, Dev: load.Deviation, Samples: int64(load.Samples)}
}

// decodeWorkloadLoad decodes the measurements of a workload from a protobuf message.
func decodeWorkloadLoad(pb *WorkloadLoad) message.WorkloadLoad {
	return message.WorkloadLoad{Team: pb.Team, Workload: pb.Workload, TasksPerSecond: pb.Rate, RunTimeRatio: pb.Ratio, Deviation: pb.Dev, Samples: int(pb.Samples)}
}

// encodeMachine encodes a machine as a protobuf message.
func encodeMachine(machine message.MachineUpdate) *Machine {
	return &Machine{Id: machine.ID, Addr: machine.Addr, Flavour: machine.MachineType, Zone: machine.Zone, Spot: machine.Spot, Images: machine.Images}
}

// decodeMachine decodes a machine from a protobuf message.
func decodeMachine(pb *Machine) message.MachineUpdate {
	return message.MachineUpdate{ID: pb.Id, Addr: pb.Addr, MachineType: pb.Flavour, Zone: pb.Zone, Spot: pb.Spot, Images: pb.Images}
}

// encodeCapacityRequest encodes a capacity request as a protobuf message.
func encodeCapacityRequest(request message.CapacityRequest) *CapacityRequest {
	return &CapacityRequest{Flavour: request.MachineType, Zone: request.Zone, Spot: request.Spot, Count: int64(request.Count)}
}

// decodeCapacityRequest decodes a capacity request from a protobuf message.
func decodeCapacityRequest(pb *CapacityRequest) message.CapacityRequest {
	return message.CapacityRequest{MachineType: pb.Flavour, Zone: pb.Zone, Spot: pb.Spot, Count: int(pb.Count)}
}

// encodeTeamLoad encodes a team's CPU load as a protobuf message.
func encodeTeamLoad(load message.TeamLoad) *TeamLoad {
	return &TeamLoad{Team: load.Team, Cpu: load.CPU}
}

// decodeTeamLoad decodes a team's CPU load from a protobuf message.
func decodeTeamLoad(pb *TeamLoad) message.TeamLoad {
	return message.TeamLoad{Team: pb.Team, CPU: pb.Cpu}
}

// encodeOffer encodes an offer as a protobuf message.
func encodeOffer(offer sharding.Offer) *Offer {
	return &Offer{Team: offer.Team, Machines: offer.Machines}
}

// decodeOffer decodes an offer from a protobuf message.
func decodeOffer(pb *Offer) sharding.Offer {
	return sharding.Offer{Team: pb.Team, Machines: pb.Machines}
}

// encodeRates encodes rates as a protobuf message, nil if the update has none.
func encodeRates(rates *message.Rates) *Rates {
	if rates == nil {
		return nil
	}
	return &Rates{Requests: rates.Requests, Changes: rates.Writes}
}

// decodeRates decodes rates from a protobuf message, nil if the update has none.
func decodeRates(pb *Rates) *message.Rates {
	if pb == nil {
		return nil
	}
	return &message.Rates{Requests: pb.Requests, Writes: pb.Changes}
}

// encodeRental encodes a rental as a protobuf message.
func encodeRental(rental message.RentalUpdate) *Rental {
	return &Rental{Id: rental.ID, Addr: rental.Addr, Flavour: rental.MachineType, Zone: rental.Zone, Spot: rental.Spot, Status: rental.Status, AgeMs: rental.Age.Milliseconds()}
}

// decodeRental decodes a rental from a protobuf message.
func decodeRental(pb *Rental) message.RentalUpdate {
	return message.RentalUpdate{ID: pb.Id, Addr: pb.Addr, MachineType: pb.Flavour, Zone: pb.Zone, Spot: pb.Spot, Status: pb.Status, Age: milliseconds(pb.AgeMs)}
}

// encodeTeamRelease encodes a request to move a team as a protobuf message.
func encodeTeamRelease(release sharding.MoveRequest) *TeamRelease {
	return &TeamRelease{Team: release.Team, From: release.From, To: release.To}
}

// decodeTeamRelease decodes a request to move a team from a protobuf message.
func decodeTeamRelease(pb *TeamRelease) sharding.MoveRequest {
	return sharding.MoveRequest{Team: pb.Team, From: pb.From, To: pb.To}
}

// encodeRemoteRequest encodes the intents for the attempts on one machine as a protobuf message.
func encodeRemoteRequest(request remote.Request) *RemoteRequest {
	return &RemoteRequest{Machine: request.Machine, Attempts: mapSlice(request.Attempts, func(attempt remote.AttemptRequest) *Attempt {
		return &Attempt{Job: attempt.Job, Index: int64(attempt.Index), Try: attempt.Attempt, Want: uint32(attempt.Intent), WindDownMs: attempt.WindDown.Milliseconds()}
	})}
}

// decodeRemoteRequest decodes the intents for the attempts on one machine from a protobuf message.
func decodeRemoteRequest(pb *RemoteRequest) remote.Request {
	return remote.Request{Machine: pb.Machine, Attempts: mapSlice(pb.Attempts, func(attempt *Attempt) remote.AttemptRequest {
		return remote.AttemptRequest{AttemptID: decodeAttemptID(attempt), Intent: remote.Intent(attempt.Want), WindDown: milliseconds(attempt.WindDownMs)}
	})}
}

// encodeRemoteStatus encodes the states of the attempts on one machine as a protobuf message.
func encodeRemoteStatus(status remote.MachineStatus) *RemoteStatus {
	return &RemoteStatus{Machine: status.Machine, Epoch: status.Epoch, Zone: status.Zone, Attempts: mapSlice(status.Attempts, func(attempt remote.AttemptStatus) *Attempt {
		return &Attempt{Job: attempt.Job, Index: int64(attempt.Index), Try: attempt.Attempt, State: uint32(attempt.State), Cause: attempt.Cause}
	})}
}

// decodeRemoteStatus decodes the states of the attempts on one machine from a protobuf message.
func decodeRemoteStatus(pb *RemoteStatus) remote.MachineStatus {
	return remote.MachineStatus{Machine: pb.Machine, Epoch: pb.Epoch, Zone: pb.Zone, Attempts: mapSlice(pb.Attempts, func(attempt *Attempt) remote.AttemptStatus {
		return remote.AttemptStatus{AttemptID: decodeAttemptID(attempt), State: remote.State(attempt.State), Cause: attempt.Cause}
	})}
}

// decodeAttemptID returns the ID of the attempt in a protobuf message.
func decodeAttemptID(pb *Attempt) remote.AttemptID {
	return remote.AttemptID{Job: pb.Job, Index: int(pb.Index), Attempt: pb.Try}
}

// encodeHostNeed encodes a need for an empty machine as a protobuf message.
func encodeHostNeed(need message.HostNeed) *HostNeed {
	return &HostNeed{Flavour: need.MachineType, Zone: need.Zone, Spot: need.Spot, Cpu: need.Need.CPU, Gpu: need.Need.GPU, Memory: need.Need.Memory, Workload: need.Workload, Urgency: int64(need.Urgency)}
}

// decodeHostNeed decodes a need for an empty machine from a protobuf message.
func decodeHostNeed(pb *HostNeed) message.HostNeed {
	return message.HostNeed{MachineType: pb.Flavour, Zone: pb.Zone, Spot: pb.Spot, Need: model.Resources{CPU: pb.Cpu, GPU: pb.Gpu, Memory: pb.Memory}, Workload: pb.Workload, Urgency: model.Urgency(pb.Urgency)}
}

// encodeHostCost encodes the cost of an evacuation as a protobuf message.
func encodeHostCost(cost message.HostCost) *HostCost {
	return &HostCost{Flavour: cost.MachineType, Zone: cost.Zone, Spot: cost.Spot, DownMs: cost.Downtime.Milliseconds()}
}

// decodeHostCost decodes the cost of an evacuation from a protobuf message.
func decodeHostCost(pb *HostCost) message.HostCost {
	return message.HostCost{MachineType: pb.Flavour, Zone: pb.Zone, Spot: pb.Spot, Downtime: milliseconds(pb.DownMs)}
}

// encodeTeamQuotes encodes a team's quotes as a protobuf message.
func encodeTeamQuotes(quotes message.TeamQuotes) *TeamQuotes {
	return &TeamQuotes{Team: quotes.Team, Value: quotes.Value}
}

// decodeTeamQuotes decodes a team's quotes from a protobuf message.
func decodeTeamQuotes(pb *TeamQuotes) message.TeamQuotes {
	return message.TeamQuotes{Team: pb.Team, Value: pb.Value}
}

// encodeReroutedHeartbeat encodes a rerouted heartbeat as a protobuf message.
func encodeReroutedHeartbeat(heartbeat message.ReroutedHeartbeat) *ReroutedHeartbeat {
	return &ReroutedHeartbeat{Id: heartbeat.ID, Epoch: heartbeat.Epoch, Tenure: heartbeat.Incarnation, Tick: heartbeat.Sequence}
}

// decodeReroutedHeartbeat decodes a rerouted heartbeat from a protobuf message.
func decodeReroutedHeartbeat(pb *ReroutedHeartbeat) message.ReroutedHeartbeat {
	return message.ReroutedHeartbeat{ID: pb.Id, Epoch: pb.Epoch, Incarnation: pb.Tenure, Sequence: pb.Tick}
}

// encodeCancellation encodes a cancellation as a protobuf message.
func encodeCancellation(cancellation message.Cancellation) *Cancellation {
	return &Cancellation{Id: cancellation.ID, Record: cancellation.Record, Stamp: cancellation.ModRevision}
}

// decodeCancellation decodes a cancellation from a protobuf message.
func decodeCancellation(pb *Cancellation) message.Cancellation {
	return message.Cancellation{ID: pb.Id, Record: pb.Record, ModRevision: pb.Stamp}
}

// milliseconds converts a number of milliseconds to a duration.
func milliseconds(n int64) time.Duration { return time.Duration(n) * time.Millisecond }

// encodeTransferRequest encodes a transfer request as a protobuf message.
func encodeTransferRequest(request exchange.TransferRequest) *TransferRequest {
	return &TransferRequest{Team: request.Team, Kinds: mapSlice(request.Kinds, encodeMachineKind), Cpu: request.Need.CPU, Gpu: request.Need.GPU, Memory: request.Need.Memory, Jobs: int64(request.Jobs), WaitedMs: request.Waited.Milliseconds()}
}

// decodeTransferRequest decodes a transfer request from a protobuf message.
func decodeTransferRequest(pb *TransferRequest) exchange.TransferRequest {
	return exchange.TransferRequest{
		Team: pb.Team, Kinds: mapSlice(pb.Kinds, decodeMachineKind), Need: model.Resources{CPU: pb.Cpu, GPU: pb.Gpu, Memory: pb.Memory},
		Jobs: int(pb.Jobs), Waited: milliseconds(pb.WaitedMs),
	}
}

// encodeMachineKind encodes a kind of machine as a protobuf message.
func encodeMachineKind(kind exchange.Kind) *MachineKind {
	return &MachineKind{MachineType: kind.MachineType, Zone: kind.Zone, Spot: kind.Spot}
}

// decodeMachineKind decodes a kind of machine from a protobuf message.
func decodeMachineKind(pb *MachineKind) exchange.Kind {
	return exchange.Kind{MachineType: pb.GetMachineType(), Zone: pb.GetZone(), Spot: pb.GetSpot()}
}

// encodeTransferOffer encodes a transfer offer as a protobuf message.
func encodeTransferOffer(offer exchange.TransferOffer) *TransferOffer {
	return &TransferOffer{Machine: offer.ID, Kind: encodeMachineKind(offer.Kind), Cpu: offer.Free.CPU, Gpu: offer.Free.GPU, Memory: offer.Free.Memory, Attempts: int64(offer.Attempts)}
}

// decodeTransferOffer decodes a transfer offer from a protobuf message.
func decodeTransferOffer(pb *TransferOffer) exchange.TransferOffer {
	return exchange.TransferOffer{ID: pb.Machine, Kind: decodeMachineKind(pb.Kind), Free: model.Resources{CPU: pb.Cpu, GPU: pb.Gpu, Memory: pb.Memory}, Attempts: int(pb.Attempts)}
}

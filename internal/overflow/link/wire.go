// Package link sends heartbeats and replies between clusters, as protobuf frames over
// TLS 1.3 with certificates on both sides. The names of the protobuf messages and fields
// are used in this package only: a report is a heartbeat, an answer a reply, an order a
// command, room is free capacity, and a flavour is a machine type.
package link

import (
	"crypto/subtle"
	"crypto/tls"
	"encoding/binary"
	"errors"
	"fmt"
	"time"

	"github.com/micahill/micahill/internal/model"
	"github.com/micahill/micahill/internal/overflow"
	"github.com/zeebo/blake3"
	"google.golang.org/protobuf/proto"
)

// Version is the version of the protocol between clusters that this program implements.
const Version = 1

// ErrForged means that a frame's sequence number or a record's MAC is wrong. A wrong MAC
// means that the record was changed, or was made for another loan, frame, direction or
// connection.
var ErrForged = errors.New("link: a record is not bound to its loan")

// binder creates and verifies the MACs that bind records to their loans on one
// connection. The key is derived from the TLS session, so that only the two ends of the
// connection know it. lender and borrower are the names of the two clusters.
type binder struct {
	key      []byte
	lender   string
	borrower string
}

// exporterLabel is the TLS exporter label of the MAC key. keyBytes and macBytes are the
// lengths of the key and of a MAC.
const (
	exporterLabel = "EXPORTER-micahill-overflow-1"
	keyBytes      = 32
	macBytes      = 32
)

// newBinder returns a binder for a connection, with the key of the TLS session.
func newBinder(state tls.ConnectionState, borrower, lender string) (*binder, error) {
	key, err := state.ExportKeyingMaterial(exporterLabel, nil, keyBytes)
	if err != nil {
		return nil, fmt.Errorf("link: %w", err)
	}
	return &binder{key: key, borrower: borrower, lender: lender}, nil
}

// directionHeartbeat and directionReply are the directions of a frame. The MAC covers the
// direction, so that a record of a heartbeat is never accepted in a reply, or vice versa.
const (
	directionHeartbeat = byte(1)
	directionReply     = byte(2)
)

// mac returns the MAC of a record. In the MAC's input each string is preceded by its
// length, so that no two different records have the same input.
func (binder *binder) mac(direction byte, seq uint64, bound *Bound) ([]byte, error) {
	hash, err := blake3.NewKeyed(binder.key)
	if err != nil {
		return nil, fmt.Errorf("link: %w", err)
	}
	write := func(text []byte) {
		hash.Write(binary.BigEndian.AppendUint64(nil, uint64(len(text))))
		hash.Write(text)
	}
	hash.Write([]byte{direction})
	hash.Write(binary.BigEndian.AppendUint64(nil, seq))
	for _, name := range []string{binder.borrower, binder.lender, bound.Home, bound.Job} {
		write([]byte(name))
	}
	hash.Write(binary.BigEndian.AppendUint64(nil, bound.N))
	write(bound.Record)
	return hash.Sum(nil)[:macBytes], nil
}

// bind encodes a message as a record of the loan, with its MAC.
func (binder *binder) bind(direction byte, seq uint64, loan overflow.Loan, message proto.Message) (*Bound, error) {
	encoded, err := proto.Marshal(message)
	if err != nil {
		return nil, fmt.Errorf("link: %w", err)
	}
	bound := &Bound{Home: loan.Home, Job: loan.Job, N: loan.LendCount, Record: encoded}
	bound.Mac, err = binder.mac(direction, seq, bound)
	return bound, err
}

// verify checks a record's MAC, decodes the record into message and returns its loan. It fails
// with ErrForged if the MAC is wrong.
func (binder *binder) verify(direction byte, seq uint64, bound *Bound, message proto.Message) (overflow.Loan, error) {
	loan := overflow.Loan{Home: bound.Home, Job: bound.Job, LendCount: bound.N}
	want, err := binder.mac(direction, seq, bound)
	if err != nil {
		return loan, err
	}
	if subtle.ConstantTimeCompare(want, bound.Mac) != 1 {
		return loan, ErrForged
	}
	if err := proto.Unmarshal(bound.Record, message); err != nil {
		return loan, fmt.Errorf("link: %w", err)
	}
	return loan, nil
}

// encodeHeartbeat converts a heartbeat for the frame with the sequence number seq.
func (binder *binder) encodeHeartbeat(seq uint64, heartbeat overflow.Heartbeat) (*Report, error) {
	report := &Report{
		From: heartbeat.From, Epoch: heartbeat.Epoch, Tick: heartbeat.Sequence, HomeEpoch: heartbeat.HomeEpoch, Draining: heartbeat.Draining, Lender: heartbeat.LendsItself,
		StopMs: heartbeat.StopBound.Milliseconds(), Images: heartbeat.CachedImages,
	}
	for _, capacity := range heartbeat.FreeCapacity {
		report.Room = append(report.Room, &Room{
			Flavour: capacity.MachineType, Zone: capacity.Zone, Spot: capacity.Spot, Each: encodeResources(capacity.PerMachine), Machines: int64(capacity.Machines),
			InMs: capacity.AvailableIn.Milliseconds(), Price: capacity.CostPerCPUHour, Rate: capacity.FetchRate,
		})
	}
	for _, loanReport := range heartbeat.Loans {
		bound, err := binder.bind(directionHeartbeat, seq, loanReport.Loan, &LoanReport{State: int32(loanReport.State), Cause: string(loanReport.Cause), Done: int64(loanReport.DoneTasks), Running: int64(loanReport.RunningTasks)})
		if err != nil {
			return nil, err
		}
		report.Loans = append(report.Loans, bound)
	}
	return report, nil
}

// decodeHeartbeat converts and verifies the heartbeat of the frame with the sequence
// number seq.
func (binder *binder) decodeHeartbeat(seq uint64, report *Report) (overflow.Heartbeat, error) {
	heartbeat := overflow.Heartbeat{
		From: report.From, Epoch: report.Epoch, Sequence: report.Tick, HomeEpoch: report.HomeEpoch, Draining: report.Draining, LendsItself: report.Lender,
		StopBound: milliseconds(report.StopMs), CachedImages: report.Images,
	}
	for _, room := range report.Room {
		heartbeat.FreeCapacity = append(heartbeat.FreeCapacity, overflow.FreeCapacity{
			MachineType: room.Flavour, Zone: room.Zone, Spot: room.Spot, PerMachine: decodeResources(room.Each), Machines: int(room.Machines),
			AvailableIn: milliseconds(room.InMs), CostPerCPUHour: room.Price, FetchRate: room.Rate,
		})
	}
	for _, bound := range report.Loans {
		var loanReport LoanReport
		loan, err := binder.verify(directionHeartbeat, seq, bound, &loanReport)
		if err != nil {
			return heartbeat, err
		}
		if loanReport.State < int32(overflow.Held) || loanReport.State > int32(overflow.Gone) {
			return heartbeat, fmt.Errorf("link: loan %s: state %d is not known", loan, loanReport.State)
		}
		heartbeat.Loans = append(heartbeat.Loans, overflow.LoanReport{Loan: loan, State: overflow.LoanState(loanReport.State), Cause: overflow.Cause(loanReport.Cause), DoneTasks: int(loanReport.Done), RunningTasks: int(loanReport.Running)})
	}
	return heartbeat, nil
}

// encodeReply converts a reply for the frame with the sequence number seq.
func (binder *binder) encodeReply(seq uint64, reply overflow.HeartbeatReply) (*Answer, error) {
	answer := &Answer{Epoch: reply.Epoch, LeaseMs: reply.Lease.Milliseconds()}
	for _, command := range reply.Commands {
		order := &Order{Verb: int32(command.Kind), AgeMs: command.Age.Milliseconds()}
		if command.Kind == overflow.Take {
			order.Spec = encodeSpec(&command.Spec)
		}
		bound, err := binder.bind(directionReply, seq, command.Loan, order)
		if err != nil {
			return nil, err
		}
		answer.Orders = append(answer.Orders, bound)
	}
	return answer, nil
}

// decodeReply converts and verifies the reply of the frame with the sequence number seq.
func (binder *binder) decodeReply(seq uint64, answer *Answer) (overflow.HeartbeatReply, error) {
	reply := overflow.HeartbeatReply{Epoch: answer.Epoch, Lease: milliseconds(answer.LeaseMs)}
	for _, bound := range answer.Orders {
		var order Order
		loan, err := binder.verify(directionReply, seq, bound, &order)
		if err != nil {
			return reply, err
		}
		command := overflow.Command{Kind: overflow.CommandKind(order.Verb), Loan: loan, Age: milliseconds(order.AgeMs)}
		if order.Verb < int32(overflow.Take) || order.Verb > int32(overflow.Forget) || command.Kind == overflow.Take && order.Spec == nil {
			return reply, fmt.Errorf("link: loan %s: unknown or incomplete command %d", loan, order.Verb)
		}
		if command.Kind == overflow.Take {
			command.Spec = decodeSpec(order.Spec)
		}
		reply.Commands = append(reply.Commands, command)
	}
	return reply, nil
}

// milliseconds returns the duration of n milliseconds.
func milliseconds(n int64) time.Duration { return time.Duration(n) * time.Millisecond }

// encodeResources converts resources to their protobuf message.
func encodeResources(resources model.Resources) *Amount {
	return &Amount{Cpu: resources.CPU, Gpu: resources.GPU, Memory: resources.Memory}
}

// decodeResources converts resources from their protobuf message. Nil means none.
func decodeResources(amount *Amount) model.Resources {
	return model.Resources{CPU: amount.GetCpu(), GPU: amount.GetGpu(), Memory: amount.GetMemory()}
}

// encodeSpec converts a job's specification to its protobuf message. It leaves out the ID
// and the team, which the borrower sets, and the fields that matter only at the home
// cluster.
func encodeSpec(spec *model.JobSpec) *Spec {
	return &Spec{
		Workload: spec.Workload, Urgency: int32(spec.Urgency), Tasks: int64(spec.Tasks), Need: encodeResources(spec.Need),
		Image: spec.Image, ImageGb: spec.ImageGB, Spot: spec.AllowSpot, ExpectedMs: spec.ExpectedRunTime.Milliseconds(),
		SaveEveryMs: spec.CheckpointInterval.Milliseconds(), SaveCostMs: spec.CheckpointCost.Milliseconds(), DueMs: spec.Deadline.Milliseconds(),
	}
}

// decodeSpec converts a job's specification from its protobuf message. An urgency out of
// range becomes the nearest valid one.
func decodeSpec(spec *Spec) model.JobSpec {
	return model.JobSpec{
		Workload: spec.Workload, Urgency: model.Urgency(min(max(spec.Urgency, int32(model.BestEffort)), int32(model.Critical))),
		Tasks: int(spec.Tasks), Need: decodeResources(spec.Need), Image: spec.Image, ImageGB: spec.ImageGb, AllowSpot: spec.Spot,
		ExpectedRunTime: milliseconds(spec.ExpectedMs), CheckpointInterval: milliseconds(spec.SaveEveryMs), CheckpointCost: milliseconds(spec.SaveCostMs), Deadline: milliseconds(spec.DueMs),
	}
}

// Package link carries heartbeats and replies between clusters: protobuf frames over
// TLS 1.3 with certificates on both sides. The names of the wire (report, answer,
// order, room, flavour) stay within this package.
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

// Version is the version of the protocol between clusters that this program speaks.
const Version = 1

// ErrForged says that a frame's number is wrong, or a record's MAC: the record was
// changed, or belongs to another loan, frame, direction or connection.
var ErrForged = errors.New("link: a record is not bound to its loan")

// binder makes and checks the MACs that bind records to their loans on one
// connection. The key comes out of the TLS handshake, so that only the two ends of
// the connection have it.
type binder struct {
	key      []byte
	lender   string
	borrower string
}

const (
	exporterLabel = "EXPORTER-micahill-overflow-1"
	keyBytes      = 32
	macBytes      = 32
)

func newBinder(state tls.ConnectionState, borrower, lender string) (*binder, error) {
	key, err := state.ExportKeyingMaterial(exporterLabel, nil, keyBytes)
	if err != nil {
		return nil, fmt.Errorf("link: %w", err)
	}
	return &binder{key: key, borrower: borrower, lender: lender}, nil
}

// The direction is part of the MAC, so that no heartbeat record can serve as a reply.
const (
	directionHeartbeat = byte(1)
	directionReply     = byte(2)
)

// mac is the MAC of a record. Texts are preceded by their length, so that no two
// records have the same input.
func (b *binder) mac(direction byte, seq uint64, x *Bound) ([]byte, error) {
	h, err := blake3.NewKeyed(b.key)
	if err != nil {
		return nil, fmt.Errorf("link: %w", err)
	}
	write := func(text []byte) {
		h.Write(binary.BigEndian.AppendUint64(nil, uint64(len(text))))
		h.Write(text)
	}
	h.Write([]byte{direction})
	h.Write(binary.BigEndian.AppendUint64(nil, seq))
	for _, s := range []string{b.borrower, b.lender, x.Home, x.Job} {
		write([]byte(s))
	}
	h.Write(binary.BigEndian.AppendUint64(nil, x.N))
	write(x.Record)
	return h.Sum(nil)[:macBytes], nil
}

// bind encodes a message and binds it to the loan.
func (b *binder) bind(direction byte, seq uint64, l overflow.Loan, m proto.Message) (*Bound, error) {
	encoded, err := proto.Marshal(m)
	if err != nil {
		return nil, fmt.Errorf("link: %w", err)
	}
	x := &Bound{Home: l.Home, Job: l.Job, N: l.LendCount, Record: encoded}
	x.Mac, err = b.mac(direction, seq, x)
	return x, err
}

// verify checks a record's MAC and decodes it into m. It fails with ErrForged if the
// MAC is wrong.
func (b *binder) verify(direction byte, seq uint64, x *Bound, m proto.Message) (overflow.Loan, error) {
	l := overflow.Loan{Home: x.Home, Job: x.Job, LendCount: x.N}
	want, err := b.mac(direction, seq, x)
	if err != nil {
		return l, err
	}
	if subtle.ConstantTimeCompare(want, x.Mac) != 1 {
		return l, ErrForged
	}
	if err := proto.Unmarshal(x.Record, m); err != nil {
		return l, fmt.Errorf("link: %w", err)
	}
	return l, nil
}

func (b *binder) encodeHeartbeat(seq uint64, heartbeat overflow.Heartbeat) (*Report, error) {
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
	for _, l := range heartbeat.Loans {
		bound, err := b.bind(directionHeartbeat, seq, l.Loan, &LoanReport{State: int32(l.State), Cause: string(l.Cause), Done: int64(l.DoneTasks), Running: int64(l.RunningTasks)})
		if err != nil {
			return nil, err
		}
		report.Loans = append(report.Loans, bound)
	}
	return report, nil
}

func (b *binder) decodeHeartbeat(seq uint64, report *Report) (overflow.Heartbeat, error) {
	heartbeat := overflow.Heartbeat{
		From: report.From, Epoch: report.Epoch, Sequence: report.Tick, HomeEpoch: report.HomeEpoch, Draining: report.Draining, LendsItself: report.Lender,
		StopBound: millis(report.StopMs), CachedImages: report.Images,
	}
	for _, room := range report.Room {
		heartbeat.FreeCapacity = append(heartbeat.FreeCapacity, overflow.FreeCapacity{
			MachineType: room.Flavour, Zone: room.Zone, Spot: room.Spot, PerMachine: decodeResources(room.Each), Machines: int(room.Machines),
			AvailableIn: millis(room.InMs), CostPerCPUHour: room.Price, FetchRate: room.Rate,
		})
	}
	for _, bound := range report.Loans {
		var l LoanReport
		loan, err := b.verify(directionHeartbeat, seq, bound, &l)
		if err != nil {
			return heartbeat, err
		}
		if l.State < int32(overflow.Held) || l.State > int32(overflow.Gone) {
			return heartbeat, fmt.Errorf("link: loan %s: state %d is not known", loan, l.State)
		}
		heartbeat.Loans = append(heartbeat.Loans, overflow.LoanReport{Loan: loan, State: overflow.LoanState(l.State), Cause: overflow.Cause(l.Cause), DoneTasks: int(l.Done), RunningTasks: int(l.Running)})
	}
	return heartbeat, nil
}

func (b *binder) encodeReply(seq uint64, reply overflow.HeartbeatReply) (*Answer, error) {
	answer := &Answer{Epoch: reply.Epoch, LeaseMs: reply.Lease.Milliseconds()}
	for _, command := range reply.Commands {
		order := &Order{Verb: int32(command.Kind), AgeMs: command.Age.Milliseconds()}
		if command.Kind == overflow.Take {
			order.Spec = encodeSpec(&command.Spec)
		}
		bound, err := b.bind(directionReply, seq, command.Loan, order)
		if err != nil {
			return nil, err
		}
		answer.Orders = append(answer.Orders, bound)
	}
	return answer, nil
}

func (b *binder) decodeReply(seq uint64, answer *Answer) (overflow.HeartbeatReply, error) {
	reply := overflow.HeartbeatReply{Epoch: answer.Epoch, Lease: millis(answer.LeaseMs)}
	for _, bound := range answer.Orders {
		var order Order
		loan, err := b.verify(directionReply, seq, bound, &order)
		if err != nil {
			return reply, err
		}
		command := overflow.Command{Kind: overflow.CommandKind(order.Verb), Loan: loan, Age: millis(order.AgeMs)}
		if order.Verb < int32(overflow.Take) || order.Verb > int32(overflow.Forget) || command.Kind == overflow.Take && order.Spec == nil {
			return reply, fmt.Errorf("link: loan %s: order %d is not known", loan, order.Verb)
		}
		if command.Kind == overflow.Take {
			command.Spec = decodeSpec(order.Spec)
		}
		reply.Commands = append(reply.Commands, command)
	}
	return reply, nil
}

func millis(n int64) time.Duration { return time.Duration(n) * time.Millisecond }

func encodeResources(r model.Resources) *Amount {
	return &Amount{Cpu: r.CPU, Gpu: r.GPU, Memory: r.Memory}
}

func decodeResources(a *Amount) model.Resources {
	return model.Resources{CPU: a.GetCpu(), GPU: a.GetGpu(), Memory: a.GetMemory()}
}

func encodeSpec(s *model.JobSpec) *Spec {
	return &Spec{
		Workload: s.Workload, Urgency: int32(s.Urgency), Tasks: int64(s.Tasks), Need: encodeResources(s.Need),
		Image: s.Image, ImageGb: s.ImageGB, Spot: s.AllowSpot, ExpectedMs: s.ExpectedRunTime.Milliseconds(),
		SaveEveryMs: s.CheckpointInterval.Milliseconds(), SaveCostMs: s.CheckpointCost.Milliseconds(), DueMs: s.Deadline.Milliseconds(),
	}
}

func decodeSpec(s *Spec) model.JobSpec {
	return model.JobSpec{
		Workload: s.Workload, Urgency: model.Urgency(min(max(s.Urgency, int32(model.BestEffort)), int32(model.Critical))),
		Tasks: int(s.Tasks), Need: decodeResources(s.Need), Image: s.Image, ImageGB: s.ImageGb, AllowSpot: s.Spot,
		ExpectedRunTime: millis(s.ExpectedMs), CheckpointInterval: millis(s.SaveEveryMs), CheckpointCost: millis(s.SaveCostMs), Deadline: millis(s.DueMs),
	}
}

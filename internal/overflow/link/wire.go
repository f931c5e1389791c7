// Package link carries reports and answers between clusters: protobuf frames over
// TLS 1.3 with certificates on both sides. Wire names stay here.
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

// Version is the version of the protocol that this program speaks.
const Version = 1

// ErrForged says that a record's MAC, number or loan is wrong.
var ErrForged = errors.New("link: a record is not bound to its loan")

// binder makes and checks the MACs of one connection. Its key comes out of the TLS
// handshake, so that both ends of this connection have it and nobody else.
type binder struct {
	key      []byte
	lender   string // the cluster that answers
	borrower string // the cluster that reports
}

const (
	exporterLabel = "EXPORTER-micahill-overflow-1"
	keyBytes      = 32
	macBytes      = 32
)

func newBinder(st tls.ConnectionState, from, home string) (*binder, error) {
	key, err := st.ExportKeyingMaterial(exporterLabel, nil, keyBytes)
	if err != nil {
		return nil, fmt.Errorf("link: %w", err)
	}
	return &binder{key: key, borrower: from, lender: home}, nil
}

// directions keep a report from serving as an order.
const (
	directionHeartbeat = byte(1)
	directionReply     = byte(2)
)

func (b *binder) mac(dir byte, seq uint64, x *Bound) ([]byte, error) {
	h, err := blake3.NewKeyed(b.key)
	if err != nil {
		return nil, fmt.Errorf("link: %w", err)
	}
	text := func(p []byte) {
		h.Write(binary.BigEndian.AppendUint64(nil, uint64(len(p))))
		h.Write(p)
	}
	h.Write([]byte{dir})
	h.Write(binary.BigEndian.AppendUint64(nil, seq))
	for _, s := range []string{b.borrower, b.lender, x.Home, x.Job} {
		text([]byte(s))
	}
	h.Write(binary.BigEndian.AppendUint64(nil, x.N))
	text(x.Record)
	return h.Sum(nil)[:macBytes], nil
}

func (b *binder) bind(dir byte, seq uint64, l overflow.Loan, m proto.Message) (*Bound, error) {
	rec, err := proto.Marshal(m)
	if err != nil {
		return nil, fmt.Errorf("link: %w", err)
	}
	x := &Bound{Home: l.Home, Job: l.Job, N: l.LendCount, Record: rec}
	x.Mac, err = b.mac(dir, seq, x)
	return x, err
}

func (b *binder) verify(dir byte, seq uint64, x *Bound, m proto.Message) (overflow.Loan, error) {
	l := overflow.Loan{Home: x.Home, Job: x.Job, LendCount: x.N}
	want, err := b.mac(dir, seq, x)
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

func (b *binder) encodeHeartbeat(seq uint64, r overflow.Heartbeat) (*Report, error) {
	m := &Report{
		From: r.From, Epoch: r.Epoch, Tick: r.Sequence, HomeEpoch: r.HomeEpoch, Draining: r.Draining, Lender: r.LendsItself,
		StopMs: r.StopBound.Milliseconds(), Images: r.CachedImages,
	}
	for _, x := range r.FreeCapacity {
		m.Room = append(m.Room, &Room{
			Flavour: x.MachineType, Zone: x.Zone, Spot: x.Spot, Each: encodeResources(x.PerMachine), Machines: int64(x.Machines),
			InMs: x.AvailableIn.Milliseconds(), Price: x.CostPerCPUHour, Rate: x.FetchRate,
		})
	}
	for _, l := range r.Loans {
		x, err := b.bind(directionHeartbeat, seq, l.Loan, &LoanReport{State: int32(l.State), Cause: string(l.Cause), Done: int64(l.DoneTasks), Running: int64(l.RunningTasks)})
		if err != nil {
			return nil, err
		}
		m.Loans = append(m.Loans, x)
	}
	return m, nil
}

func (b *binder) decodeHeartbeat(seq uint64, m *Report) (overflow.Heartbeat, error) {
	r := overflow.Heartbeat{
		From: m.From, Epoch: m.Epoch, Sequence: m.Tick, HomeEpoch: m.HomeEpoch, Draining: m.Draining, LendsItself: m.Lender,
		StopBound: millis(m.StopMs), CachedImages: m.Images,
	}
	for _, x := range m.Room {
		r.FreeCapacity = append(r.FreeCapacity, overflow.FreeCapacity{
			MachineType: x.Flavour, Zone: x.Zone, Spot: x.Spot, PerMachine: decodeResources(x.Each), Machines: int(x.Machines),
			AvailableIn: millis(x.InMs), CostPerCPUHour: x.Price, FetchRate: x.Rate,
		})
	}
	for _, x := range m.Loans {
		var lr LoanReport
		l, err := b.verify(directionHeartbeat, seq, x, &lr)
		if err != nil {
			return r, err
		}
		if lr.State < int32(overflow.Held) || lr.State > int32(overflow.Gone) {
			return r, fmt.Errorf("link: loan %s: state %d is not known", l, lr.State)
		}
		r.Loans = append(r.Loans, overflow.LoanReport{Loan: l, State: overflow.LoanState(lr.State), Cause: overflow.Cause(lr.Cause), DoneTasks: int(lr.Done), RunningTasks: int(lr.Running)})
	}
	return r, nil
}

func (b *binder) encodeReply(seq uint64, a overflow.HeartbeatReply) (*Answer, error) {
	m := &Answer{Epoch: a.Epoch, LeaseMs: a.Lease.Milliseconds()}
	for _, o := range a.Commands {
		w := &Order{Verb: int32(o.Kind), AgeMs: o.Age.Milliseconds()}
		if o.Kind == overflow.Take {
			w.Spec = encodeSpec(&o.Spec)
		}
		x, err := b.bind(directionReply, seq, o.Loan, w)
		if err != nil {
			return nil, err
		}
		m.Orders = append(m.Orders, x)
	}
	return m, nil
}

func (b *binder) decodeReply(seq uint64, m *Answer) (overflow.HeartbeatReply, error) {
	a := overflow.HeartbeatReply{Epoch: m.Epoch, Lease: millis(m.LeaseMs)}
	for _, x := range m.Orders {
		var w Order
		l, err := b.verify(directionReply, seq, x, &w)
		if err != nil {
			return a, err
		}
		o := overflow.Command{Kind: overflow.CommandKind(w.Verb), Loan: l, Age: millis(w.AgeMs)}
		if w.Verb < int32(overflow.Take) || w.Verb > int32(overflow.Forget) || o.Kind == overflow.Take && w.Spec == nil {
			return a, fmt.Errorf("link: loan %s: order %d is not known", l, w.Verb)
		}
		if o.Kind == overflow.Take {
			o.Spec = decodeSpec(w.Spec)
		}
		a.Commands = append(a.Commands, o)
	}
	return a, nil
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

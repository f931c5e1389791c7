package link

import (
	"bytes"
	"testing"
	"time"

	"github.com/micahill/micahill/internal/model"
	"github.com/micahill/micahill/internal/overflow"
	"github.com/micahill/micahill/internal/testgolden"
	"google.golang.org/protobuf/proto"
)

func goldenLoan(job string, n uint64) overflow.Loan {
	return overflow.Loan{Home: "east", Job: job, LendCount: n}
}

var goldenHeartbeat = overflow.Heartbeat{
	From: "west", Epoch: 411, Sequence: 88, HomeEpoch: 412, Draining: true, LendsItself: true, StopBound: 82_125 * time.Millisecond, CachedImages: []string{"img-07", "img-08"},
	FreeCapacity: []overflow.FreeCapacity{{MachineType: "g8", Zone: "a", Spot: true, PerMachine: model.Resources{CPU: 96.5, GPU: 8.25, Memory: 700.75}, Machines: 3, AvailableIn: 9_250 * time.Millisecond, CostPerCPUHour: 0.2, FetchRate: 0.5}},
	Loans: []overflow.LoanReport{
		{Loan: goldenLoan("job-000412", 2), State: overflow.Gone, Cause: overflow.GivenBack, DoneTasks: 5, RunningTasks: 6},
		{Loan: goldenLoan("job-000413", 300), State: overflow.Finished, Cause: overflow.Stopped, DoneTasks: 7},
		{Loan: goldenLoan("job-000414", 4), State: overflow.Held, Cause: overflow.Draining},
		{Loan: goldenLoan("job-000415", 5), State: overflow.Gone, Cause: overflow.NoRoom},
		{Loan: goldenLoan("job-000416", 6), State: overflow.Gone, Cause: overflow.LeaseExpired},
		{Loan: goldenLoan("job-000417", 7), State: overflow.Gone, Cause: overflow.Refused},
	},
}

var goldenReply = overflow.HeartbeatReply{Epoch: 413, Lease: 15_500 * time.Millisecond, Commands: []overflow.Command{
	{Kind: overflow.Take, Loan: goldenLoan("job-000418", 8), Age: 3_125 * time.Millisecond, Spec: model.JobSpec{
		Workload: "train", Urgency: model.Urgent, Tasks: 16, Need: model.Resources{CPU: 8.5, GPU: 1.25, Memory: 64.75}, Image: "img-07", ImageGB: 6.2, AllowSpot: true,
		ExpectedRunTime: 240_500 * time.Millisecond, CheckpointInterval: 30_250 * time.Millisecond, CheckpointCost: 4_500 * time.Millisecond, Deadline: 900_750 * time.Millisecond,
	}},
	{Kind: overflow.Keep, Loan: goldenLoan("job-000419", 9)},
	{Kind: overflow.Stop, Loan: goldenLoan("job-000420", 10)},
	{Kind: overflow.Forget, Loan: goldenLoan("job-000421", 11)},
}}

const goldenSeq = 77

// TestGoldenFrames: frames are encoded as in earlier versions, bound to the
// connection, and frames of earlier versions are decoded.
func TestGoldenFrames(t *testing.T) {
	b := &binder{key: bytes.Repeat([]byte{7}, keyBytes), lender: "east", borrower: "west"}
	write := func(f *Frame) ([]byte, error) {
		f.Version, f.Seq = Version, goldenSeq
		return proto.MarshalOptions{Deterministic: true}.Marshal(f)
	}
	testgolden.Check(t, testgolden.Codec{
		Write: func(v any) ([]byte, error) {
			w, err := b.encodeHeartbeat(goldenSeq, v.(overflow.Heartbeat))
			if err != nil {
				return nil, err
			}
			return write(&Frame{Body: &Frame_Report{w}})
		},
		Read: func(p []byte, into any) error {
			var f Frame
			err := proto.Unmarshal(p, &f)
			if err == nil {
				*into.(*overflow.Heartbeat), err = b.decodeFrame(&f, goldenSeq-1)
			}
			return err
		},
	}, testgolden.Values{"report": goldenHeartbeat})
	testgolden.Check(t, testgolden.Codec{
		Write: func(v any) ([]byte, error) {
			w, err := b.encodeReply(goldenSeq, v.(overflow.HeartbeatReply))
			if err != nil {
				return nil, err
			}
			return write(&Frame{Body: &Frame_Answer{w}})
		},
		Read: func(p []byte, into any) error {
			var f Frame
			err := proto.Unmarshal(p, &f)
			if err == nil {
				*into.(*overflow.HeartbeatReply), err = b.decodeReply(f.Seq, f.GetAnswer())
			}
			return err
		},
	}, testgolden.Values{"answer": goldenReply})
	testgolden.Check(t, testgolden.Codec{
		Write: func(v any) ([]byte, error) {
			r := v.(RefusedError)
			return write(&Frame{Body: &Frame_Refusal{&Refusal{Code: r.Code, Reason: r.Reason}}})
		},
		Read: func(p []byte, into any) error {
			var f Frame
			err := proto.Unmarshal(p, &f)
			*into.(*RefusedError) = RefusedError{f.GetRefusal().GetCode(), f.GetRefusal().GetReason()}
			return err
		},
	}, testgolden.Values{"refusal": RefusedError{Code: Code_NOT_PEER, Reason: "no peer"}})
}

// TestGoldenFields: the golden frames have all fields of all messages, also of those
// inside of Bound, and the version and the label of the keys are as ever.
func TestGoldenFields(t *testing.T) {
	var sent []proto.Message
	for name, bound := range map[string]func(*Frame) ([]*Bound, proto.Message){
		"report":  func(f *Frame) ([]*Bound, proto.Message) { return f.GetReport().GetLoans(), &LoanReport{} },
		"answer":  func(f *Frame) ([]*Bound, proto.Message) { return f.GetAnswer().GetOrders(), &Order{} },
		"refusal": func(*Frame) ([]*Bound, proto.Message) { return nil, nil },
	} {
		var f Frame
		if err := proto.Unmarshal(testgolden.Bytes(t, name), &f); err != nil {
			t.Fatal(err)
		}
		sent = append(sent, &f)
		bs, m := bound(&f)
		for _, x := range bs {
			m = m.ProtoReflect().New().Interface()
			if err := proto.Unmarshal(x.Record, m); err != nil {
				t.Fatal(err)
			}
			sent = append(sent, m)
		}
	}
	testgolden.FullProto(t, File_internal_overflow_link_link_proto, sent...)
	// Both ends derive the key of the MACs from the handshake under this label.
	if exporterLabel != "EXPORTER-micahill-overflow-1" || Version != 1 {
		t.Errorf("got version %d with keys from %q, want 1, %q", Version, exporterLabel, "EXPORTER-micahill-overflow-1")
	}
}

// TestGoldenCodes: codes of refusals keep their numbers, and loans the names under
// which they are stored.
func TestGoldenCodes(t *testing.T) {
	for want, code := range []Code{Code_UNKNOWN, Code_NOT_LEADER, Code_VERSION, Code_NOT_PEER, Code_FORGED, Code_STALE} {
		if int(code) != want {
			t.Errorf("%s: got %d, want %d", code, code, want)
		}
	}
	l := goldenLoan("job-000412", 2)
	if l.String() != "east/job-000412/2" || l.OffloadedJobID() != "job-lent-east-2-000412" {
		t.Errorf("got loan %s, offloaded job %s; want east/job-000412/2, job-lent-east-2-000412", l, l.OffloadedJobID())
	}
}

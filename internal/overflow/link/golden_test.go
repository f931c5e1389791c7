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

// goldenLoan returns a loan of cluster east.
func goldenLoan(job string, lendCount uint64) overflow.Loan {
	return overflow.Loan{Home: "east", Job: job, LendCount: lendCount}
}

// goldenHeartbeat has a value in every field, and loans in all states.
var goldenHeartbeat = overflow.Heartbeat{
	From: "west", Epoch: 411, Sequence: 88, HomeEpoch: 412, Draining: true, LendsItself: true, StopBound: 82_125 * time.Millisecond, CachedImages: []string{"img-07", "img-08"},
	FreeCapacity: []overflow.FreeCapacity{{MachineType: "g8", Zone: "a", Spot: true, PerMachine: model.Resources{CPU: 96.5, GPU: 8.25, Memory: 700.75}, Machines: 3, AvailableIn: 9_250 * time.Millisecond, CostPerCPUHour: 0.2, FetchRate: 0.5}},
	Loans: []overflow.LoanReport{
		{Loan: goldenLoan("job-000412", 2), State: overflow.Gone, Cause: overflow.GivenBack, DoneTasks: 5, RunningTasks: 6},
		{Loan: goldenLoan("job-000413", 300), State: overflow.Finished, Cause: overflow.Stopped, DoneTasks: 7},
		{Loan: goldenLoan("job-000414", 4), State: overflow.Held, Cause: overflow.Draining},
		{Loan: goldenLoan("job-000415", 5), State: overflow.Gone, Cause: overflow.NoCapacity},
		{Loan: goldenLoan("job-000416", 6), State: overflow.Gone, Cause: overflow.LeaseExpired},
		{Loan: goldenLoan("job-000417", 7), State: overflow.Gone, Cause: overflow.Refused},
	},
}

// goldenReply has a command of every kind.
var goldenReply = overflow.HeartbeatReply{Epoch: 413, Lease: 15_500 * time.Millisecond, Commands: []overflow.Command{
	{Kind: overflow.Take, Loan: goldenLoan("job-000418", 8), Age: 3_125 * time.Millisecond, Spec: model.JobSpec{
		Workload: "train", Urgency: model.Urgent, Tasks: 16, Need: model.Resources{CPU: 8.5, GPU: 1.25, Memory: 64.75}, Image: "img-07", ImageGB: 6.2, AllowSpot: true,
		ExpectedRunTime: 240_500 * time.Millisecond, CheckpointInterval: 30_250 * time.Millisecond, CheckpointCost: 4_500 * time.Millisecond, Deadline: 900_750 * time.Millisecond,
	}},
	{Kind: overflow.Keep, Loan: goldenLoan("job-000419", 9)},
	{Kind: overflow.Stop, Loan: goldenLoan("job-000420", 10)},
	{Kind: overflow.Forget, Loan: goldenLoan("job-000421", 11)},
}}

// goldenSeq is the sequence number of the golden frames.
const goldenSeq = 77

// TestGoldenFrames compares the encoding of frames, with their MACs, with the frames in
// testdata, and decodes these. A difference means that clusters of different program
// versions could not talk to each other.
func TestGoldenFrames(t *testing.T) {
	binder := &binder{key: bytes.Repeat([]byte{7}, keyBytes), lender: "east", borrower: "west"}
	write := func(frame *Frame) ([]byte, error) {
		frame.Version, frame.Seq = Version, goldenSeq
		return proto.MarshalOptions{Deterministic: true}.Marshal(frame)
	}
	testgolden.Check(t, testgolden.Codec{
		Write: func(value any) ([]byte, error) {
			body, err := binder.encodeHeartbeat(goldenSeq, value.(overflow.Heartbeat))
			if err != nil {
				return nil, err
			}
			return write(&Frame{Body: &Frame_Report{body}})
		},
		Read: func(encoded []byte, into any) error {
			var frame Frame
			err := proto.Unmarshal(encoded, &frame)
			if err == nil {
				*into.(*overflow.Heartbeat), err = binder.decodeFrame(&frame, goldenSeq-1)
			}
			return err
		},
	}, testgolden.Values{"report": goldenHeartbeat})
	testgolden.Check(t, testgolden.Codec{
		Write: func(value any) ([]byte, error) {
			body, err := binder.encodeReply(goldenSeq, value.(overflow.HeartbeatReply))
			if err != nil {
				return nil, err
			}
			return write(&Frame{Body: &Frame_Answer{body}})
		},
		Read: func(encoded []byte, into any) error {
			var frame Frame
			err := proto.Unmarshal(encoded, &frame)
			if err == nil {
				*into.(*overflow.HeartbeatReply), err = binder.decodeReply(frame.Seq, frame.GetAnswer())
			}
			return err
		},
	}, testgolden.Values{"answer": goldenReply})
	testgolden.Check(t, testgolden.Codec{
		Write: func(value any) ([]byte, error) {
			refusal := value.(RefusedError)
			return write(&Frame{Body: &Frame_Refusal{&Refusal{Code: refusal.Code, Reason: refusal.Reason}}})
		},
		Read: func(encoded []byte, into any) error {
			var frame Frame
			err := proto.Unmarshal(encoded, &frame)
			*into.(*RefusedError) = RefusedError{frame.GetRefusal().GetCode(), frame.GetRefusal().GetReason()}
			return err
		},
	}, testgolden.Values{"refusal": RefusedError{Code: Code_NOT_PEER, Reason: "no peer"}})
}

// TestGoldenFields checks that the golden frames have values in all fields of all
// messages, including the records inside of Bound, since TestGoldenFrames can't detect a
// change of a field without a value. It also checks that the protocol version and the
// TLS exporter label are unchanged.
func TestGoldenFields(t *testing.T) {
	var sent []proto.Message
	for name, bound := range map[string]func(*Frame) ([]*Bound, proto.Message){
		"report":  func(frame *Frame) ([]*Bound, proto.Message) { return frame.GetReport().GetLoans(), &LoanReport{} },
		"answer":  func(frame *Frame) ([]*Bound, proto.Message) { return frame.GetAnswer().GetOrders(), &Order{} },
		"refusal": func(*Frame) ([]*Bound, proto.Message) { return nil, nil },
	} {
		var frame Frame
		if err := proto.Unmarshal(testgolden.Bytes(t, name), &frame); err != nil {
			t.Fatal(err)
		}
		sent = append(sent, &frame)
		records, message := bound(&frame)
		for _, record := range records {
			message = message.ProtoReflect().New().Interface()
			if err := proto.Unmarshal(record.Record, message); err != nil {
				t.Fatal(err)
			}
			sent = append(sent, message)
		}
	}
	testgolden.CheckProtoCoverage(t, File_internal_overflow_link_link_proto, sent...)
	// Both ends derive the MAC key from the TLS session with this label.
	if exporterLabel != "EXPORTER-micahill-overflow-1" || Version != 1 {
		t.Errorf("got version %d with keys from %q, want 1, %q", Version, exporterLabel, "EXPORTER-micahill-overflow-1")
	}
}

// TestGoldenCodes checks that the refusal codes keep their numbers, which are sent, and
// that loans and offloaded jobs keep the names under which they are stored.
func TestGoldenCodes(t *testing.T) {
	for want, code := range []Code{Code_UNKNOWN, Code_NOT_LEADER, Code_VERSION, Code_NOT_PEER, Code_FORGED, Code_STALE} {
		if int(code) != want {
			t.Errorf("%s: got %d, want %d", code, code, want)
		}
	}
	loan := goldenLoan("job-000412", 2)
	if loan.String() != "east/job-000412/2" || loan.OffloadedJobID() != "job-lent-east-2-000412" {
		t.Errorf("got loan %s, offloaded job %s; want east/job-000412/2, job-lent-east-2-000412", loan, loan.OffloadedJobID())
	}
}

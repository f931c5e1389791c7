package link

import (
	"context"
	"errors"
	"net"
	"net/netip"
	"path/filepath"
	"reflect"
	"testing"
	"time"

	"github.com/micahill/micahill/internal/certs"
	"github.com/micahill/micahill/internal/model"
	"github.com/micahill/micahill/internal/overflow"
	"google.golang.org/protobuf/encoding/protodelim"
	"google.golang.org/protobuf/proto"
)

// newStores makes certificates of one CA.
func newStores(t *testing.T, clusters ...string) map[string]*certs.Store {
	t.Helper()
	ca, out := filepath.Join(t.TempDir(), "ca"), map[string]*certs.Store{}
	if err := certs.Init(ca, time.Now()); err != nil {
		t.Fatal(err)
	}
	for _, c := range clusters {
		dir := filepath.Join(t.TempDir(), c)
		if err := certs.Issue(ca, c, dir, time.Hour, time.Now()); err != nil {
			t.Fatal(err)
		}
		s, err := certs.Open(dir)
		if err != nil {
			t.Fatal(err)
		}
		out[c] = s
	}
	return out
}

func serveEast(t *testing.T, st *certs.Store, allow string, h Handler) string {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	s := &Server{Store: st, Cluster: "east", Peers: map[string]bool{"west": true}, AllowedPrefixes: []netip.Prefix{netip.MustParsePrefix(allow)}, Handle: h}
	go s.Serve(ctx, ln)
	return ln.Addr().String()
}

func testContext(t *testing.T) context.Context {
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	t.Cleanup(cancel)
	return ctx
}

var sampleHeartbeat = overflow.Heartbeat{
	From: "west", Epoch: 3, Sequence: 9, HomeEpoch: 7, Draining: true, LendsItself: true, StopBound: 82 * time.Second, CachedImages: []string{"img"},
	FreeCapacity: []overflow.FreeCapacity{{MachineType: "box", Zone: "a", Spot: true, PerMachine: model.Resources{CPU: 4, GPU: 1, Memory: 16}, Machines: 3, AvailableIn: time.Second, CostPerCPUHour: 0.2, FetchRate: 0.5}},
	Loans:        []overflow.LoanReport{{Loan: overflow.Loan{Home: "east", Job: "job-1", LendCount: 2}, State: overflow.Gone, Cause: overflow.GivenBack, DoneTasks: 1, RunningTasks: 2}},
}

var sampleReply = overflow.HeartbeatReply{Epoch: 7, Lease: 15 * time.Second, Commands: []overflow.Command{
	{Kind: overflow.Take, Loan: overflow.Loan{Home: "east", Job: "job-2", LendCount: 1}, Age: 3 * time.Second, Spec: model.JobSpec{
		Workload: "w", Urgency: model.Urgent, Tasks: 3, Need: model.Resources{CPU: 2, Memory: 4}, Image: "img", ImageGB: 1.5, AllowSpot: true,
		ExpectedRunTime: 20 * time.Second, CheckpointInterval: 5 * time.Second, CheckpointCost: time.Second, Deadline: time.Minute,
	}},
	{Kind: overflow.Forget, Loan: overflow.Loan{Home: "east", Job: "job-1", LendCount: 2}},
}}

// TestRoundTrip: what is sent arrives as it was, and refusals with their reason.
func TestRoundTrip(t *testing.T) {
	st := newStores(t, "east", "west", "north")
	var heard overflow.Heartbeat
	var fail error
	addr := serveEast(t, st["east"], "127.0.0.0/8", func(_ context.Context, r overflow.Heartbeat) (overflow.HeartbeatReply, error) {
		heard = r
		return sampleReply, fail
	})
	west := &Client{Store: st["west"], Cluster: "west"}
	for range 2 {
		a, err := west.SendHeartbeat(testContext(t), "east", addr, sampleHeartbeat)
		if err != nil || !reflect.DeepEqual(a, sampleReply) || !reflect.DeepEqual(heard, sampleHeartbeat) {
			t.Fatalf("%v\n%+v\n%+v", err, a, heard)
		}
	}
	for _, fail = range []error{ErrNotLeader, ErrStale} {
		if _, err := west.SendHeartbeat(testContext(t), "east", addr, sampleHeartbeat); !errors.Is(err, fail) {
			t.Errorf("%v instead of %v", err, fail)
		}
	}
	var re *RefusedError
	if _, err := (&Client{Store: st["north"], Cluster: "north"}).SendHeartbeat(testContext(t), "east", addr, overflow.Heartbeat{From: "north"}); !errors.As(err, &re) || re.Code != Code_NOT_PEER {
		t.Errorf("a cluster that is no peer: %v", err)
	}
	if _, err := west.SendHeartbeat(testContext(t), "east", addr, overflow.Heartbeat{From: "north"}); !errors.As(err, &re) || re.Code != Code_NOT_PEER {
		t.Errorf("one cluster speaking as another: %v", err)
	}
	if _, err := west.SendHeartbeat(testContext(t), "north", addr, sampleHeartbeat); !errors.Is(err, certs.ErrNotPeer) {
		t.Errorf("east taken for north: %v", err)
	}
	closed := serveEast(t, st["east"], "10.0.0.0/8", nil)
	if _, err := west.SendHeartbeat(testContext(t), "east", closed, sampleHeartbeat); err == nil {
		t.Error("an address that is not allowed is let in")
	}
}

// TestForgeries: frames that a man with a valid connection could send, with records
// of other loans, other frames and other directions.
func TestForgeries(t *testing.T) {
	st := newStores(t, "east", "west")
	heard := 0
	addr := serveEast(t, st["east"], "127.0.0.0/8", func(context.Context, overflow.Heartbeat) (overflow.HeartbeatReply, error) {
		heard++
		return overflow.HeartbeatReply{}, nil
	})
	for _, c := range []struct {
		what  string
		frame func(b *binder, good *Frame) *Frame
		code  Code
	}{
		{"another loan's record", func(_ *binder, f *Frame) *Frame { f.GetReport().Loans[0].Job = "job-9"; return f }, Code_FORGED},
		{"another loan of the same job", func(_ *binder, f *Frame) *Frame { f.GetReport().Loans[0].N++; return f }, Code_FORGED},
		{"a changed record", func(_ *binder, f *Frame) *Frame {
			f.GetReport().Loans[0].Record, _ = proto.Marshal(&LoanReport{State: 1})
			return f
		}, Code_FORGED},
		{"no MAC", func(_ *binder, f *Frame) *Frame { f.GetReport().Loans[0].Mac = nil; return f }, Code_FORGED},
		{"another frame's record", func(b *binder, f *Frame) *Frame {
			old, _ := b.encodeHeartbeat(1, sampleHeartbeat)
			f.GetReport().Loans = old.Loans
			return f
		}, Code_FORGED},
		{"an order's record", func(b *binder, f *Frame) *Frame {
			x := f.GetReport().Loans[0]
			x.Mac, _ = b.mac(directionReply, f.Seq, x)
			return f
		}, Code_FORGED},
		{"the same frame again", func(b *binder, f *Frame) *Frame {
			r, _ := b.encodeHeartbeat(1, sampleHeartbeat)
			return &Frame{Version: Version, Seq: 1, Body: &Frame_Report{r}}
		}, Code_FORGED},
		{"a later version", func(_ *binder, f *Frame) *Frame { f.Version = 2; return f }, Code_VERSION},
	} {
		x, err := (&Client{Store: st["west"], Cluster: "west"}).dial(testContext(t), "east", addr)
		if err != nil {
			t.Fatal(err)
		}
		heard = 0
		if _, err := x.roundTrip(testContext(t), sampleHeartbeat); err != nil || heard != 1 {
			t.Fatalf("%s: the true one: %v", c.what, err)
		}
		r, err := x.binder.encodeHeartbeat(2, sampleHeartbeat)
		if err != nil {
			t.Fatal(err)
		}
		f := c.frame(x.binder, &Frame{Version: Version, Seq: 2, Body: &Frame_Report{r}})
		if _, err := protodelim.MarshalTo(x.tlsConn, f); err != nil {
			t.Fatal(err)
		}
		var got Frame
		if err := protodelim.UnmarshalFrom(x.reader, &got); err != nil || got.GetRefusal().GetCode() != c.code || got.GetRefusal().GetReason() == "" || heard != 1 {
			t.Errorf("%s: %v, %v, heard %d", c.what, err, &got, heard)
		}
		x.tlsConn.Close()
	}
}

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

// newStores returns the stores of clusters whose certificates are of one CA.
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

// serveEast serves cluster east, with west as its only peer, until the test ends. It
// returns the address.
func serveEast(t *testing.T, store *certs.Store, allow string, handle Handler) string {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	s := &Server{Store: store, Cluster: "east", Peers: map[string]bool{"west": true}, AllowedPrefixes: []netip.Prefix{netip.MustParsePrefix(allow)}, Handle: handle}
	go s.Serve(ctx, ln)
	return ln.Addr().String()
}

func testContext(t *testing.T) context.Context {
	t.Helper()
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

// TestRoundTrip: heartbeats and replies arrive as they were sent, and refusals with
// their code.
func TestRoundTrip(t *testing.T) {
	stores := newStores(t, "east", "west", "north")
	var received overflow.Heartbeat
	var handleErr error
	addr := serveEast(t, stores["east"], "127.0.0.0/8", func(_ context.Context, r overflow.Heartbeat) (overflow.HeartbeatReply, error) {
		received = r
		return sampleReply, handleErr
	})
	west := &Client{Store: stores["west"], Cluster: "west"}
	for range 2 {
		reply, err := west.SendHeartbeat(testContext(t), "east", addr, sampleHeartbeat)
		if err != nil || !reflect.DeepEqual(reply, sampleReply) {
			t.Fatalf("got reply %+v, error %v; want %+v", reply, err, sampleReply)
		}
		if !reflect.DeepEqual(received, sampleHeartbeat) {
			t.Fatalf("got heartbeat %+v, want %+v", received, sampleHeartbeat)
		}
	}
	for _, handleErr = range []error{ErrNotLeader, ErrStale} {
		if _, err := west.SendHeartbeat(testContext(t), "east", addr, sampleHeartbeat); !errors.Is(err, handleErr) {
			t.Errorf("got error %v, want %v", err, handleErr)
		}
	}
	var refused *RefusedError
	if _, err := (&Client{Store: stores["north"], Cluster: "north"}).SendHeartbeat(testContext(t), "east", addr, overflow.Heartbeat{From: "north"}); !errors.As(err, &refused) || refused.Code != Code_NOT_PEER {
		t.Errorf("a cluster that is no peer: got error %v, want %v", err, Code_NOT_PEER)
	}
	if _, err := west.SendHeartbeat(testContext(t), "east", addr, overflow.Heartbeat{From: "north"}); !errors.As(err, &refused) || refused.Code != Code_NOT_PEER {
		t.Errorf("one cluster speaking as another: got error %v, want %v", err, Code_NOT_PEER)
	}
	if _, err := west.SendHeartbeat(testContext(t), "north", addr, sampleHeartbeat); !errors.Is(err, certs.ErrNotPeer) {
		t.Errorf("east under north's name: got error %v, want %v", err, certs.ErrNotPeer)
	}
	closed := serveEast(t, stores["east"], "10.0.0.0/8", nil)
	if _, err := west.SendHeartbeat(testContext(t), "east", closed, sampleHeartbeat); err == nil {
		t.Error("a client from an address that is not allowed: got a reply, want an error")
	}
}

// TestForgeries: frames that an attacker with a valid connection could send, with
// records of other loans, other frames and other directions, are refused and never
// handled.
func TestForgeries(t *testing.T) {
	stores := newStores(t, "east", "west")
	handled := 0
	addr := serveEast(t, stores["east"], "127.0.0.0/8", func(context.Context, overflow.Heartbeat) (overflow.HeartbeatReply, error) {
		handled++
		return overflow.HeartbeatReply{}, nil
	})
	for _, c := range []struct {
		name  string
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
		{"a record with a reply's MAC", func(b *binder, f *Frame) *Frame {
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
		x, err := (&Client{Store: stores["west"], Cluster: "west"}).dial(testContext(t), "east", addr)
		if err != nil {
			t.Fatal(err)
		}
		handled = 0
		if _, err := x.roundTrip(testContext(t), sampleHeartbeat); err != nil || handled != 1 {
			t.Fatalf("%s: the genuine frame: got error %v, handled %d times; want none, once", c.name, err, handled)
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
		if err := protodelim.UnmarshalFrom(x.reader, &got); err != nil || got.GetRefusal().GetCode() != c.code || got.GetRefusal().GetReason() == "" || handled != 1 {
			t.Errorf("%s: got frame %v, error %v, handled %d times; want refusal %v with a reason, and once", c.name, &got, err, handled, c.code)
		}
		x.tlsConn.Close()
	}
}

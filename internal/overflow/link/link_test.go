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

// newStores returns a certificate store for each cluster, all of the same CA.
func newStores(t *testing.T, clusters ...string) map[string]*certs.Store {
	t.Helper()
	caDir, stores := filepath.Join(t.TempDir(), "ca"), map[string]*certs.Store{}
	if err := certs.Init(caDir, time.Now()); err != nil {
		t.Fatal(err)
	}
	for _, cluster := range clusters {
		dir := filepath.Join(t.TempDir(), cluster)
		if err := certs.Issue(caDir, cluster, dir, time.Hour, time.Now()); err != nil {
			t.Fatal(err)
		}
		store, err := certs.Open(dir)
		if err != nil {
			t.Fatal(err)
		}
		stores[cluster] = store
	}
	return stores
}

// serveEast runs a server of cluster east, with west as its only peer, until the test
// ends. allow is the address range that may connect. It returns the server's address.
func serveEast(t *testing.T, store *certs.Store, allow string, handle Handler) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	server := &Server{Store: store, Cluster: "east", Peers: map[string]bool{"west": true}, AllowedPrefixes: []netip.Prefix{netip.MustParsePrefix(allow)}, Handle: handle}
	go server.Serve(ctx, listener)
	return listener.Addr().String()
}

// testContext returns a context with a timeout of 5 s.
func testContext(t *testing.T) context.Context {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	t.Cleanup(cancel)
	return ctx
}

// sampleHeartbeat is a heartbeat of cluster west with a value in every field.
var sampleHeartbeat = overflow.Heartbeat{
	From: "west", Epoch: 3, Sequence: 9, HomeEpoch: 7, Draining: true, LendsItself: true, StopBound: 82 * time.Second, CachedImages: []string{"img"},
	FreeCapacity: []overflow.FreeCapacity{{MachineType: "box", Zone: "a", Spot: true, PerMachine: model.Resources{CPU: 4, GPU: 1, Memory: 16}, Machines: 3, AvailableIn: time.Second, CostPerCPUHour: 0.2, FetchRate: 0.5}},
	Loans:        []overflow.LoanReport{{Loan: overflow.Loan{Home: "east", Job: "job-1", LendCount: 2}, State: overflow.Gone, Cause: overflow.GivenBack, DoneTasks: 1, RunningTasks: 2}},
}

// sampleReply is a reply of cluster east with an offered job.
var sampleReply = overflow.HeartbeatReply{Epoch: 7, Lease: 15 * time.Second, Commands: []overflow.Command{
	{Kind: overflow.Take, Loan: overflow.Loan{Home: "east", Job: "job-2", LendCount: 1}, Age: 3 * time.Second, Spec: model.JobSpec{
		Workload: "w", Urgency: model.Urgent, Tasks: 3, Need: model.Resources{CPU: 2, Memory: 4}, Image: "img", ImageGB: 1.5, AllowSpot: true,
		ExpectedRunTime: 20 * time.Second, CheckpointInterval: 5 * time.Second, CheckpointCost: time.Second, Deadline: time.Minute,
	}},
	{Kind: overflow.Forget, Loan: overflow.Loan{Home: "east", Job: "job-1", LendCount: 2}},
}}

// TestRoundTrip checks that heartbeats and replies arrive as they were sent, that
// refusals arrive with their code, and that a cluster without the right certificate,
// name or address gets no reply.
func TestRoundTrip(t *testing.T) {
	stores := newStores(t, "east", "west", "north")
	var received overflow.Heartbeat
	var handleErr error
	addr := serveEast(t, stores["east"], "127.0.0.0/8", func(_ context.Context, heartbeat overflow.Heartbeat) (overflow.HeartbeatReply, error) {
		received = heartbeat
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
		t.Errorf("a cluster that is not a peer: got error %v, want %v", err, Code_NOT_PEER)
	}
	if _, err := west.SendHeartbeat(testContext(t), "east", addr, overflow.Heartbeat{From: "north"}); !errors.As(err, &refused) || refused.Code != Code_NOT_PEER {
		t.Errorf("a heartbeat under another cluster's name: got error %v, want %v", err, Code_NOT_PEER)
	}
	if _, err := west.SendHeartbeat(testContext(t), "north", addr, sampleHeartbeat); !errors.Is(err, certs.ErrNotPeer) {
		t.Errorf("a connection to north that reaches east: got error %v, want %v", err, certs.ErrNotPeer)
	}
	closed := serveEast(t, stores["east"], "10.0.0.0/8", nil)
	if _, err := west.SendHeartbeat(testContext(t), "east", closed, sampleHeartbeat); err == nil {
		t.Error("a client from an address that is not allowed: got a reply, want an error")
	}
}

// TestForgeries checks that the server refuses, and doesn't handle, frames that an
// attacker with a valid connection could send: frames with a record of another loan,
// frame or direction, with a changed record, or sent twice.
func TestForgeries(t *testing.T) {
	stores := newStores(t, "east", "west")
	handled := 0
	addr := serveEast(t, stores["east"], "127.0.0.0/8", func(context.Context, overflow.Heartbeat) (overflow.HeartbeatReply, error) {
		handled++
		return overflow.HeartbeatReply{}, nil
	})
	for _, testCase := range []struct {
		name  string
		frame func(binder *binder, good *Frame) *Frame
		code  Code
	}{
		{"another loan's record", func(_ *binder, frame *Frame) *Frame { frame.GetReport().Loans[0].Job = "job-9"; return frame }, Code_FORGED},
		{"another loan of the same job", func(_ *binder, frame *Frame) *Frame { frame.GetReport().Loans[0].N++; return frame }, Code_FORGED},
		{"a changed record", func(_ *binder, frame *Frame) *Frame {
			frame.GetReport().Loans[0].Record, _ = proto.Marshal(&LoanReport{State: 1})
			return frame
		}, Code_FORGED},
		{"no MAC", func(_ *binder, frame *Frame) *Frame { frame.GetReport().Loans[0].Mac = nil; return frame }, Code_FORGED},
		{"another frame's record", func(binder *binder, frame *Frame) *Frame {
			old, _ := binder.encodeHeartbeat(1, sampleHeartbeat)
			frame.GetReport().Loans = old.Loans
			return frame
		}, Code_FORGED},
		{"a record with a reply's MAC", func(binder *binder, frame *Frame) *Frame {
			bound := frame.GetReport().Loans[0]
			bound.Mac, _ = binder.mac(directionReply, frame.Seq, bound)
			return frame
		}, Code_FORGED},
		{"the same frame again", func(binder *binder, frame *Frame) *Frame {
			report, _ := binder.encodeHeartbeat(1, sampleHeartbeat)
			return &Frame{Version: Version, Seq: 1, Body: &Frame_Report{report}}
		}, Code_FORGED},
		{"a later version", func(_ *binder, frame *Frame) *Frame { frame.Version = 2; return frame }, Code_VERSION},
	} {
		connection, err := (&Client{Store: stores["west"], Cluster: "west"}).dial(testContext(t), "east", addr)
		if err != nil {
			t.Fatal(err)
		}
		handled = 0
		if _, err := connection.roundTrip(testContext(t), sampleHeartbeat); err != nil || handled != 1 {
			t.Fatalf("%s: a valid frame: got error %v, handled %d times; want no error, handled once", testCase.name, err, handled)
		}
		report, err := connection.binder.encodeHeartbeat(2, sampleHeartbeat)
		if err != nil {
			t.Fatal(err)
		}
		frame := testCase.frame(connection.binder, &Frame{Version: Version, Seq: 2, Body: &Frame_Report{report}})
		if _, err := protodelim.MarshalTo(connection.tlsConn, frame); err != nil {
			t.Fatal(err)
		}
		var got Frame
		if err := protodelim.UnmarshalFrom(connection.reader, &got); err != nil || got.GetRefusal().GetCode() != testCase.code || got.GetRefusal().GetReason() == "" || handled != 1 {
			t.Errorf("%s: got frame %v, error %v, handled %d times in total; want refusal %v with a reason, and only the valid frame handled", testCase.name, &got, err, handled, testCase.code)
		}
		connection.tlsConn.Close()
	}
}

package main

import (
	"context"
	"fmt"
	"io"
	"net"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/micahill/micahill/internal/certs"
	"github.com/micahill/micahill/internal/controller"
	"github.com/micahill/micahill/internal/model"
	"github.com/micahill/micahill/internal/overflow"
	"github.com/micahill/micahill/internal/overflow/broker"
	"github.com/micahill/micahill/internal/simulation"
)

// testCluster is a whole cluster on loopback: a controller, and simulated services around it.
type testCluster struct {
	name, apiAddr, internalAddr, overflowAddr string
	simulated                                 *simulation.Live
	settingsPath, overflowPath                string
	stop                                      context.CancelFunc
	ended                                     chan struct{}
}

func (c *testCluster) start(ctx context.Context) {
	ctx, c.stop = context.WithCancel(ctx)
	c.ended = make(chan struct{})
	go func() {
		runController(ctx, c.settingsPath, "", []string{c.overflowPath})
		close(c.ended)
	}()
}

// startClusters starts peer clusters of the given names, each with as many machines as given.
func startClusters(t *testing.T, ctx context.Context, machines map[string]int, names ...string) map[string]*testCluster {
	t.Helper()
	dir := t.TempDir()
	ca := filepath.Join(dir, "ca")
	if err := certs.Init(ca, time.Now()); err != nil {
		t.Fatal(err)
	}
	out := map[string]*testCluster{}
	for _, name := range names {
		c := &testCluster{name: name, apiAddr: freeAddress(t), internalAddr: freeAddress(t), overflowAddr: freeAddress(t)}
		types := []model.MachineType{{Name: "small", Capacity: model.Resources{CPU: 4, Memory: 8}, DiskGB: 10, ImageFetchRate: 1, CostPerHour: 1, SpotCostPerHour: 0.3, ProvisioningTime: 300 * time.Millisecond, Zones: []string{"a"}}}
		set := controller.Settings{HeartbeatInterval: 400 * time.Millisecond, WorkerLease: 4 * time.Second, CloudListLag: 500 * time.Millisecond}
		c.simulated = simulation.NewLive(set, 200, 100, types, map[string]int{"small/a/true": machines[name]}, []string{c.apiAddr})
		t.Cleanup(c.simulated.Stop)
		go c.simulated.Run(ctx)
		if err := certs.Issue(ca, name, filepath.Join(dir, name), time.Hour, time.Now()); err != nil {
			t.Fatal(err)
		}
		c.settingsPath, c.overflowPath = filepath.Join(dir, name+".toml"), filepath.Join(dir, name+"-overflow.toml")
		text := settingsFile(0, []string{c.apiAddr}, []string{c.internalAddr}, c.simulated)
		text = strings.Replace(text, "[[deployment.teams]]", "[[deployment.teams]]\nname = \"guests\"\n[[deployment.teams]]", 1)
		if err := os.WriteFile(c.settingsPath, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		out[name] = c
	}
	for _, name := range names {
		var b strings.Builder
		fmt.Fprintf(&b, "[overflow]\ncluster = %q\nlisten = %q\nkeys = %q\nallow = [\"127.0.0.0/8\"]\nguest_team = \"guests\"\nreport_s = 0.5\nlease_s = 5\ngain_s = 1\n", name, out[name].overflowAddr, filepath.Join(dir, name))
		for _, other := range names {
			if other != name {
				fmt.Fprintf(&b, "[[overflow.peers]]\ncluster = %q\naddresses = [%q]\n", other, out[other].overflowAddr)
			}
		}
		if err := os.WriteFile(out[name].overflowPath, []byte(b.String()), 0o600); err != nil {
			t.Fatal(err)
		}
		out[name].start(ctx)
	}
	return out
}

// announceJob makes a job known to every cluster's workers, under its own id and under the ids
// that it gets when it is lent.
func announceJob(clusters map[string]*testCluster, home string, o obj, run time.Duration) {
	s := jobSpec(o)
	clusters[home].simulated.AddJob(s, run)
	for _, c := range clusters {
		for n := range uint64(3) {
			lent := s
			lent.ID, lent.Team = overflow.Loan{Home: home, Job: s.ID, LendCount: n + 1}.OffloadedJobID(), "guests"
			if c.name != home {
				c.simulated.AddJob(lent, run)
			}
		}
	}
}

func (c *testCluster) peerStatus(ctx context.Context) broker.Status {
	var s broker.Status
	_ = requestOverflow(ctx, "peers", "GET", c.internalAddr, "/peers", &s)
	return s
}

// watchDuplicates polls the workers of all clusters until the function it returns is called, which
// lists the tasks that ran in two clusters at once. An offloaded job's id contains the original.
func watchDuplicates(ctx context.Context, clusters map[string]*testCluster) func() []string {
	ctx, cancel := context.WithCancel(ctx)
	out := make(chan []string, 1)
	go func() {
		var duplicates []string
		for ctx.Err() == nil {
			cluster := map[string]string{}
			for name, c := range clusters {
				tasks, _ := c.simulated.RunningTasks()
				for _, x := range tasks {
					if strings.HasPrefix(x, "job-lent-") {
						x = "job-" + x[strings.LastIndexByte(x, '-')+1:]
					}
					if o := cluster[x]; o != "" {
						duplicates = append(duplicates, fmt.Sprintf("%s in %s and %s", x, o, name))
					}
					cluster[x] = name
				}
			}
			time.Sleep(20 * time.Millisecond)
		}
		out <- duplicates
	}()
	return func() []string { cancel(); return <-out }
}

// TestOverflow runs three whole clusters on loopback. A busy one lends to two idle ones, of which
// one stops meanwhile and the other drains. Each job ends once, at home, and by the workers' state
// no task runs in two clusters.
func TestOverflow(t *testing.T) {
	t.Setenv("LOG_LEVEL", "error")
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	clusters := startClusters(t, ctx, map[string]int{"east": 1, "west": 4, "north": 4}, "east", "west", "north")
	east := clusters["east"]
	for _, c := range clusters {
		eventually(t, c.name+" is healthy", func() bool { s, _, _ := request(t, "GET", "http://"+c.apiAddr+"/healthz", nil); return s == 200 })
	}
	eventually(t, "east has heard both peers", func() bool {
		s := east.peerStatus(ctx)
		return len(s.Peers) == 2 && s.Peers[0].State == "serving" && s.Peers[1].State == "serving"
	})
	jobs := 0
	submitJob := func() {
		jobs++
		o := jobFields(fmt.Sprintf("job-%06d", jobs), "ops", 2)
		o["vcpus"], o["expected_s"], o["due_s"] = 2.0, 3.0, 20.0
		announceJob(clusters, "east", o, 3*time.Second)
		eventually(t, "a submission is accepted", func() bool {
			s, _, _ := request(t, "POST", "http://"+east.apiAddr+"/v2/runs", o)
			return s == 201 || s == 200
		})
	}
	duplicates := watchDuplicates(ctx, clusters)
	lent := func() int { return len(east.peerStatus(ctx).Lent) }
	// Jobs come until some are lent: on a slow machine the first ones may miss every objective
	// before they are considered.
	for jobs < 16 || lent() == 0 && jobs < 100 {
		if submitJob(); jobs > 16 {
			time.Sleep(300 * time.Millisecond)
		}
	}
	if lent() == 0 {
		t.Fatalf("got no loan after %d jobs, want at least one", jobs)
	}
	if err := printPeers(io.Discard, &broker.Status{IsLeader: true}); err != nil {
		t.Error(err)
	}
	// A cancellation of a lent job is confirmed only when the peer has stopped the job.
	id := strings.Split(east.peerStatus(ctx).Lent[0].Loan, "/")[1]
	eventually(t, "a lent job is cancelled", func() bool {
		s, o, _ := request(t, "POST", "http://"+east.apiAddr+"/v2/runs/"+id+"/abort", nil)
		return s == 200 && (o["status"] == "cancelled" || o["status"] == "done")
	})
	// One peer stops and starts again; the other drains.
	clusters["west"].stop()
	<-clusters["west"].ended
	var x struct{}
	if err := requestOverflow(ctx, "drain", "POST", clusters["north"].internalAddr, "/drain?on=true&within=30s", &x); err != nil {
		t.Error(err)
	}
	time.Sleep(time.Second)
	clusters["west"].start(ctx)
	for i := range jobs {
		id := fmt.Sprintf("job-%06d", i+1)
		eventually(t, id+" ends", func() bool {
			_, o, _ := request(t, "GET", "http://"+east.apiAddr+"/v2/runs/"+id, nil)
			return o["status"] == "done" || o["status"] == "cancelled"
		})
	}
	eventually(t, "no loan is left", func() bool { return lent() == 0 })
	eventually(t, "the peers have forgotten them", func() bool {
		return len(clusters["west"].peerStatus(ctx).Borrowed) == 0 && len(clusters["north"].peerStatus(ctx).Borrowed) == 0
	})
	for _, x := range duplicates() {
		t.Errorf("task runs in two clusters: %s", x)
	}
	if _, n := clusters["west"].simulated.RunningTasks(); n == 0 {
		if _, n = clusters["north"].simulated.RunningTasks(); n == 0 {
			t.Error("got no task started by a peer, want at least one")
		}
	}
	for _, c := range clusters {
		for _, b := range c.simulated.Violations() {
			t.Errorf("%s: %s", c.name, b)
		}
	}
	if s := clusters["north"].peerStatus(ctx); !s.Draining {
		t.Error("status of north: got serving, want draining")
	}
	// Clients without a certificate are refused.
	if c, err := net.Dial("tcp", east.overflowAddr); err == nil {
		c.Write([]byte("GET / HTTP/1.1\r\n\r\n"))
		c.SetReadDeadline(time.Now().Add(5 * time.Second))
		if b, err := io.ReadAll(c); err == nil && strings.Contains(string(b), "HTTP") {
			t.Errorf("client without a certificate: got %q, want no HTTP answer", b)
		}
		c.Close()
	}
	cancel()
	for _, c := range clusters {
		<-c.ended
	}
}

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

// testCluster is a whole cluster on loopback: a controller and simulated services.
type testCluster struct {
	name, apiAddr, internalAddr, overflowAddr string
	simulated                                 *simulation.Live
	settingsPath, overflowPath                string
	stop                                      context.CancelFunc
	ended                                     chan struct{}
}

// start runs the controller until stop is called or the context ends; ended is closed then.
func (cluster *testCluster) start(ctx context.Context) {
	ctx, cluster.stop = context.WithCancel(ctx)
	cluster.ended = make(chan struct{})
	go func() {
		runController(ctx, cluster.settingsPath, "", []string{cluster.overflowPath})
		close(cluster.ended)
	}()
}

// startClusters starts peer clusters with the given names. machines is the number of machines
// that each cluster's cloud has, by the name of the cluster.
func startClusters(t *testing.T, ctx context.Context, machines map[string]int, names ...string) map[string]*testCluster {
	t.Helper()
	dir := t.TempDir()
	caDir := filepath.Join(dir, "ca")
	if err := certs.Init(caDir, time.Now()); err != nil {
		t.Fatal(err)
	}
	clusters := map[string]*testCluster{}
	for _, name := range names {
		cluster := &testCluster{name: name, apiAddr: freeAddress(t), internalAddr: freeAddress(t), overflowAddr: freeAddress(t)}
		types := []model.MachineType{{Name: "small", Capacity: model.Resources{CPU: 4, Memory: 8}, DiskGB: 10, ImageFetchRate: 1, CostPerHour: 1, SpotCostPerHour: 0.3, ProvisioningTime: 300 * time.Millisecond, Zones: []string{"a"}}}
		settings := controller.Settings{HeartbeatInterval: 400 * time.Millisecond, WorkerLease: 4 * time.Second, CloudListLag: 500 * time.Millisecond}
		cluster.simulated = simulation.NewLive(settings, 200, 100, types, map[string]int{"small/a/true": machines[name]}, []string{cluster.apiAddr})
		t.Cleanup(cluster.simulated.Stop)
		go cluster.simulated.Run(ctx)
		if err := certs.Issue(caDir, name, filepath.Join(dir, name), time.Hour, time.Now()); err != nil {
			t.Fatal(err)
		}
		cluster.settingsPath, cluster.overflowPath = filepath.Join(dir, name+".toml"), filepath.Join(dir, name+"-overflow.toml")
		text := settingsFile(0, []string{cluster.apiAddr}, []string{cluster.internalAddr}, cluster.simulated)
		text = strings.Replace(text, "[[deployment.teams]]", "[[deployment.teams]]\nname = \"guests\"\n[[deployment.teams]]", 1)
		if err := os.WriteFile(cluster.settingsPath, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		clusters[name] = cluster
	}
	for _, name := range names {
		var b strings.Builder
		fmt.Fprintf(&b, "[overflow]\ncluster = %q\nlisten = %q\nkeys = %q\nallow = [\"127.0.0.0/8\"]\nguest_team = \"guests\"\nreport_s = 0.5\nlease_s = 5\ngain_s = 1\n", name, clusters[name].overflowAddr, filepath.Join(dir, name))
		for _, other := range names {
			if other != name {
				fmt.Fprintf(&b, "[[overflow.peers]]\ncluster = %q\naddresses = [%q]\n", other, clusters[other].overflowAddr)
			}
		}
		if err := os.WriteFile(clusters[name].overflowPath, []byte(b.String()), 0o600); err != nil {
			t.Fatal(err)
		}
		clusters[name].start(ctx)
	}
	return clusters
}

// announceJob makes a job known to the workers of every cluster, under its own id and under the
// ids that the job gets when it is lent.
func announceJob(clusters map[string]*testCluster, home string, fields obj, runTime time.Duration) {
	spec := jobSpec(fields)
	clusters[home].simulated.AddJob(spec, runTime)
	for _, cluster := range clusters {
		for n := range uint64(3) {
			lent := spec
			lent.ID, lent.Team = overflow.Loan{Home: home, Job: spec.ID, LendCount: n + 1}.OffloadedJobID(), "guests"
			if cluster.name != home {
				cluster.simulated.AddJob(lent, runTime)
			}
		}
	}
}

// peerStatus returns the status of overflow, or the zero value if the controller does not answer.
func (cluster *testCluster) peerStatus(ctx context.Context) broker.Status {
	var status broker.Status
	_ = requestOverflow(ctx, "peers", "GET", cluster.internalAddr, "/peers", &status)
	return status
}

// watchDuplicates polls the workers of all clusters. The function that it returns ends the
// polling and returns the tasks that ran in two clusters at once. The id of a lent job contains
// the original id.
func watchDuplicates(ctx context.Context, clusters map[string]*testCluster) func() []string {
	ctx, cancel := context.WithCancel(ctx)
	out := make(chan []string, 1)
	go func() {
		var duplicates []string
		for ctx.Err() == nil {
			clusterOf := map[string]string{}
			for name, cluster := range clusters {
				tasks, _ := cluster.simulated.RunningTasks()
				for _, task := range tasks {
					if strings.HasPrefix(task, "job-lent-") {
						task = "job-" + task[strings.LastIndexByte(task, '-')+1:]
					}
					if other := clusterOf[task]; other != "" {
						duplicates = append(duplicates, fmt.Sprintf("%s in %s and %s", task, other, name))
					}
					clusterOf[task] = name
				}
			}
			time.Sleep(20 * time.Millisecond)
		}
		out <- duplicates
	}()
	return func() []string { cancel(); return <-out }
}

// TestOverflow runs three whole clusters on loopback. A busy cluster lends jobs to two idle ones;
// then one of these stops and starts again, and the other drains. It guards against jobs that are
// lost, run in two clusters at once, or finish twice when a peer fails or drains: each job must
// end at home, and according to the workers no task runs in two clusters.
func TestOverflow(t *testing.T) {
	t.Setenv("LOG_LEVEL", "error")
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	clusters := startClusters(t, ctx, map[string]int{"east": 1, "west": 4, "north": 4}, "east", "west", "north")
	east := clusters["east"]
	for _, cluster := range clusters {
		eventually(t, cluster.name+" is healthy", func() bool {
			status, _, _ := request(t, "GET", "http://"+cluster.apiAddr+"/healthz", nil)
			return status == 200
		})
	}
	eventually(t, "east has heard both peers", func() bool {
		status := east.peerStatus(ctx)
		return len(status.Peers) == 2 && status.Peers[0].State == "serving" && status.Peers[1].State == "serving"
	})
	jobs := 0
	submitJob := func() {
		jobs++
		fields := jobFields(fmt.Sprintf("job-%06d", jobs), "ops", 2)
		fields["vcpus"], fields["expected_s"], fields["due_s"] = 2.0, 3.0, 20.0
		announceJob(clusters, "east", fields, 3*time.Second)
		eventually(t, "a submission is accepted", func() bool {
			status, _, _ := request(t, "POST", "http://"+east.apiAddr+"/v2/runs", fields)
			return status == 201 || status == 200
		})
	}
	duplicates := watchDuplicates(ctx, clusters)
	lent := func() int { return len(east.peerStatus(ctx).Lent) }
	// Jobs are submitted until some are lent: on a slow machine the first ones may miss every
	// objective before they are considered for a loan.
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
		status, fields, _ := request(t, "POST", "http://"+east.apiAddr+"/v2/runs/"+id+"/abort", nil)
		return status == 200 && (fields["status"] == "cancelled" || fields["status"] == "done")
	})
	// One peer stops and starts again; the other drains.
	clusters["west"].stop()
	<-clusters["west"].ended
	var response struct{}
	if err := requestOverflow(ctx, "drain", "POST", clusters["north"].internalAddr, "/drain?on=true&within=30s", &response); err != nil {
		t.Error(err)
	}
	time.Sleep(time.Second)
	clusters["west"].start(ctx)
	for i := range jobs {
		id := fmt.Sprintf("job-%06d", i+1)
		eventually(t, id+" ends", func() bool {
			_, fields, _ := request(t, "GET", "http://"+east.apiAddr+"/v2/runs/"+id, nil)
			return fields["status"] == "done" || fields["status"] == "cancelled"
		})
	}
	eventually(t, "no loan is left", func() bool { return lent() == 0 })
	eventually(t, "the peers have no borrowed job left", func() bool {
		return len(clusters["west"].peerStatus(ctx).Borrowed) == 0 && len(clusters["north"].peerStatus(ctx).Borrowed) == 0
	})
	for _, task := range duplicates() {
		t.Errorf("task runs in two clusters: %s", task)
	}
	if _, started := clusters["west"].simulated.RunningTasks(); started == 0 {
		if _, started = clusters["north"].simulated.RunningTasks(); started == 0 {
			t.Error("got no task started by a peer, want at least one")
		}
	}
	for _, cluster := range clusters {
		for _, violation := range cluster.simulated.Violations() {
			t.Errorf("%s: %s", cluster.name, violation)
		}
	}
	if status := clusters["north"].peerStatus(ctx); !status.Draining {
		t.Error("status of north: got serving, want draining")
	}
	// Clients without a certificate are refused.
	if conn, err := net.Dial("tcp", east.overflowAddr); err == nil {
		conn.Write([]byte("GET / HTTP/1.1\r\n\r\n"))
		conn.SetReadDeadline(time.Now().Add(5 * time.Second))
		if b, err := io.ReadAll(conn); err == nil && strings.Contains(string(b), "HTTP") {
			t.Errorf("client without a certificate: got %q, want no HTTP answer", b)
		}
		conn.Close()
	}
	cancel()
	for _, cluster := range clusters {
		<-cluster.ended
	}
}

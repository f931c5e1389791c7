package main

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/micahill/micahill/internal/controller"
	"github.com/micahill/micahill/internal/listen"
	"github.com/micahill/micahill/internal/model"
	"github.com/micahill/micahill/internal/simulation"
	"github.com/vmihailenco/msgpack/v5"
)

// obj is a decoded MessagePack map, such as the body of a request or a response.
type obj = map[string]any

// freeAddress returns a loopback address that no process listens on.
func freeAddress(t *testing.T) string {
	t.Helper()
	addr, err := listen.FreeAddr()
	if err != nil {
		t.Fatal(err)
	}
	return addr
}

// settingsFile returns the TOML settings of the i-th controller.
func settingsFile(i int, apiAddrs, internalAddrs []string, live *simulation.Live) string {
	var b strings.Builder
	fmt.Fprintf(&b, "host_name = \"node-%d\"\narea = \"a\"\napi_addr = %q\nback = %q\n", i, apiAddrs[i], internalAddrs[i])
	for other := range apiAddrs {
		if other != i {
			fmt.Fprintf(&b, "[[seeds]]\nhost_name = \"node-%d\"\narea = \"a\"\naddress = %q\n", other, internalAddrs[other])
		}
	}
	fmt.Fprintf(&b, "[outside]\ncloud = %q\nstate = %q\n", live.CloudAddr, live.StateAddr)
	b.WriteString(`[deployment]
initial_size = 3
zones = ["a"]
[[deployment.teams]]
name = "ops"
[[deployment.teams]]
name = "lab"
[deployment.workers]
report_s = 0.4
lease_s = 4.0
cancel_s = 10.0
[deployment.state]
rps = 100.0
write_rps = 50.0
value_kb = 4.0
txn_ops = 12
[deployment.cloud]
rps = 10.0
list_lag_s = 0.5
[deployment.quota]
cpu = 1.0
ram_mb = 512.0
sockets = 500
`)
	return b.String()
}

// jobFields returns the fields of a submission, as users send them.
func jobFields(id, team string, tasks int) obj {
	return obj{"id": id, "workload": "batch", "owner": team, "shape": "array", "urgency": "normal", "pieces": tasks,
		"vcpus": 1.0, "gpus": 0.0, "memory_gb": 1.0, "bundle": "img", "image_gb": 0.1, "flavours": nil, "site": nil,
		"same_place": false, "apart": false, "loaner": true, "expected_s": 0.5, "snapshot_every_s": 0.0, "snapshot_cost_s": 0.0, "due_s": nil}
}

// jobSpec returns what the simulated workers have to know of a submission.
func jobSpec(fields obj) model.JobSpec {
	return model.JobSpec{ID: fields["id"].(string), Team: fields["owner"].(string), Tasks: fields["pieces"].(int), Need: model.Resources{CPU: 1, Memory: 1}, Image: "img", ImageGB: 0.1, AllowSpot: true}
}

// request sends body as MessagePack, or unchanged if it is a []byte, and returns the status, the
// decoded body and the headers of the response. The status is 0 if no response came.
func request(t *testing.T, method, url string, body any) (int, obj, http.Header) {
	t.Helper()
	var reader io.Reader
	if body != nil {
		b, ok := body.([]byte)
		if !ok {
			var err error
			if b, err = msgpack.Marshal(body); err != nil {
				t.Fatal(err)
			}
		}
		reader = bytes.NewReader(b)
	}
	req, err := http.NewRequest(method, url, reader)
	if err != nil {
		t.Fatal(err)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0, nil, nil
	}
	defer resp.Body.Close()
	b, _ := io.ReadAll(resp.Body)
	var fields obj
	msgpack.Unmarshal(b, &fields)
	return resp.StatusCode, fields, resp.Header
}

// eventually polls isMet until it returns true, and fails the test after a minute. condition
// describes what isMet checks.
func eventually(t *testing.T, condition string, isMet func() bool) {
	t.Helper()
	for end := time.Now().Add(time.Minute); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if isMet() {
			return
		}
	}
	t.Fatalf("condition not met within a minute: %s", condition)
}

// TestControllers runs three whole controllers over HTTP against simulated services. It checks
// the encodings in both directions, the answers to users, and that users are served through the
// loss of a controller and of the state service. A fault in how the parts of the program are
// connected shows only here.
func TestControllers(t *testing.T) {
	t.Setenv("LOG_LEVEL", "error")
	var apiAddrs, internalAddrs []string
	for range 3 {
		apiAddrs, internalAddrs = append(apiAddrs, freeAddress(t)), append(internalAddrs, freeAddress(t))
	}
	types := []model.MachineType{{Name: "small", Capacity: model.Resources{CPU: 4, Memory: 8}, DiskGB: 10, ImageFetchRate: 1, CostPerHour: 1, SpotCostPerHour: 0.3, ProvisioningTime: 300 * time.Millisecond, Zones: []string{"a"}}}
	settings := controller.Settings{HeartbeatInterval: 400 * time.Millisecond, WorkerLease: 4 * time.Second, CloudListLag: 500 * time.Millisecond, MaxValueBytes: 4096, MaxTxnWrites: 12}
	live := simulation.NewLive(settings, 100, 50, types, map[string]int{"small/a/true": 3, "small/a/false": 4}, apiAddrs)
	ctx, cancel := context.WithCancel(context.Background())
	defer live.Stop()
	defer cancel()
	go live.Run(ctx)
	stop := make([]context.CancelFunc, 3)
	ended := make(chan struct{}, 3)
	for i := range 3 {
		path := filepath.Join(t.TempDir(), "settings.toml")
		if err := os.WriteFile(path, []byte(settingsFile(i, apiAddrs, internalAddrs, live)), 0o600); err != nil {
			t.Fatal(err)
		}
		var controllerCtx context.Context
		controllerCtx, stop[i] = context.WithCancel(ctx)
		go func() {
			runController(controllerCtx, path, "", nil)
			ended <- struct{}{}
		}()
	}
	apiURL := func(i int, path string) string { return "http://" + apiAddrs[i] + path }
	for i := range 3 {
		eventually(t, "a controller is healthy", func() bool { status, _, _ := request(t, "GET", apiURL(i, "/healthz"), nil); return status == 200 })
	}
	submit := func(i int, fields obj) int {
		live.AddJob(jobSpec(fields), 700*time.Millisecond)
		status := 0
		eventually(t, "a submission is decided", func() bool {
			status, _, _ = request(t, "POST", apiURL(i, "/v2/runs"), fields)
			return status != 503 && status != 0
		})
		return status
	}
	done := func(i int, id string) {
		t.Helper()
		eventually(t, id+" is done", func() bool {
			_, fields, _ := request(t, "GET", apiURL(i, "/v2/runs/"+id), nil)
			return fields["status"] == "done"
		})
	}

	if status := submit(0, jobFields("job-000001", "ops", 6)); status != 201 {
		t.Errorf("first submission: got status %d, want 201", status)
	}
	if status := submit(1, jobFields("job-000001", "ops", 6)); status != 200 {
		t.Errorf("repeated submission: got status %d, want 200", status)
	}
	submit(1, jobFields("job-000002", "lab", 3))
	done(2, "job-000001")
	done(0, "job-000002")

	wrongType := jobFields("job-000009", "ops", 1)
	wrongType["vcpus"] = "many"
	fractional := jobFields("job-000009", "ops", 1)
	fractional["pieces"] = 2.5
	missing := jobFields("job-000009", "ops", 1)
	delete(missing, "loaner")
	knownInvalid := jobFields("job-000001", "ops", 6)
	knownInvalid["urgency"] = "whenever"
	tooLarge := jobFields("job-000009", "ops", 1)
	tooLarge["vcpus"] = 64.0
	for _, c := range []struct {
		name, method, path string
		body               any
		want               int
	}{
		{"not MessagePack", "POST", "/v2/runs", []byte("{]"), 400},
		{"not a map", "POST", "/v2/runs", 7, 400},
		{"text for a number", "POST", "/v2/runs", wrongType, 400},
		{"fractional number of tasks", "POST", "/v2/runs", fractional, 400},
		{"a field missing", "POST", "/v2/runs", missing, 400},
		{"known job with an invalid body", "POST", "/v2/runs", knownInvalid, 200},
		{"too large for any machine type", "POST", "/v2/runs", tooLarge, 422},
		{"unknown team", "POST", "/v2/runs", jobFields("job-000009", "nobody", 1), 422},
		{"oversized", "POST", "/v2/runs", make([]byte, 70<<10), 413},
		{"unknown job", "GET", "/v2/runs/job-000009", nil, 404},
		{"abort of an unknown job", "POST", "/v2/runs/job-000009/abort", nil, 404},
		{"abort of a finished job", "POST", "/v2/runs/job-000001/abort", nil, 200},
	} {
		t.Run(c.name, func(t *testing.T) {
			if status, fields, _ := request(t, c.method, apiURL(0, c.path), c.body); status != c.want {
				t.Errorf("got status %d with %v, want %d", status, fields, c.want)
			}
		})
	}

	live.SetStoreUnavailable(true)
	eventually(t, "a refusal at once with Retry-After", func() bool {
		began := time.Now()
		status, _, header := request(t, "POST", apiURL(0, "/v2/runs"), jobFields("job-000003", "ops", 1))
		return status == 503 && header.Get("Retry-After") != "" && time.Since(began) < time.Second
	})
	live.SetStoreUnavailable(false)

	if status, _, _ := request(t, "GET", "http://"+internalAddrs[0]+"/metrics", nil); status != 200 {
		t.Errorf("metrics: got status %d, want 200", status)
	}
	leader := -1
	eventually(t, "a shard leader shows its status", func() bool {
		for i := range 3 {
			if status, err := fetchStatus(ctx, internalAddrs[i]); err == nil && status.IsShardLeader {
				leader = i
				return printStatus(io.Discard, status) == nil
			}
		}
		return false
	})
	submit((leader+1)%3, jobFields("job-000004", "ops", 8))
	stop[leader]()
	<-ended
	done((leader+1)%3, "job-000004")
	for _, violation := range live.Violations() {
		t.Error(violation)
	}
	cancel()
	<-ended
	<-ended
}

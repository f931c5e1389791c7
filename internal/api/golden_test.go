package api

import (
	"bytes"
	"context"
	"net/http"
	"net/http/httptest"
	"reflect"
	"strconv"
	"testing"
	"time"

	"github.com/labstack/echo/v4"
	"github.com/micahill/micahill/internal/message"
	"github.com/micahill/micahill/internal/model"
	"github.com/micahill/micahill/internal/testgolden"
	"github.com/micahill/micahill/internal/worker"
	"github.com/vmihailenco/msgpack/v5"
)

func ptr[T any](v T) *T { return &v }

// TestGoldenRun: a submission is read as it ever was.
func TestGoldenRun(t *testing.T) {
	runs := testgolden.Values{"run": jobRequest{
		ID: ptr("job-000412"), Workload: ptr("train"), Team: ptr("vision"), Shape: ptr("group"), Urgency: ptr("urgent"), Tasks: ptr(16.0),
		VCPUs: ptr(8.5), GPUs: ptr(1.25), MemoryGB: ptr(64.75), Image: ptr("img-07"), ImageGB: ptr(6.2), MachineTypes: []string{"g8", "g4"}, Zone: ptr("a"),
		ZoneAffinity: ptr(true), ZoneAntiAffinity: ptr(true), SpotAllowed: ptr(true), ExpectedS: ptr(240.5), CheckpointEveryS: ptr(30.25), CheckpointCostS: ptr(4.5), DeadlineS: ptr(900.75),
		Dependencies: []string{"job-000398", "job-000402"},
	}}
	testgolden.Check(t, testgolden.Msgpack, runs)
	testgolden.Full(t, runs)
	want := model.JobSpec{
		ID: "job-000412", Workload: "train", Team: "vision", Gang: true, Urgency: model.Urgent, Tasks: 16, Need: model.Resources{CPU: 8.5, GPU: 1.25, Memory: 64.75},
		Image: "img-07", ImageGB: 6.2, MachineTypes: []string{"g8", "g4"}, Zone: "a", SameZone: true, SpreadZones: true, AllowSpot: true,
		ExpectedRunTime: 240_500 * time.Millisecond, CheckpointInterval: 30_250 * time.Millisecond, CheckpointCost: 4_500 * time.Millisecond, Deadline: 900_750 * time.Millisecond,
		Dependencies: []string{"job-000398", "job-000402"},
	}
	if got, bad := parseJobRequest(testgolden.Bytes(t, "run")); bad != "" || !reflect.DeepEqual(got, want) {
		t.Errorf("%s: read as\n%+v\nwant\n%+v", bad, got, want)
	}
}

// saying is a core that answers everything with the same effect.
type saying struct{ e message.Effect }

func (c saying) Healthy() bool { return true }
func (c saying) Ask(context.Context, func(uint64) message.Command) (message.Effect, error) {
	return c.e, nil
}

// TestGoldenAnswers: users and workers are answered as ever.
func TestGoldenAnswers(t *testing.T) {
	report := message.HeartbeatReply{Status: 200, Epoch: 411, Commands: []model.TaskCommand{
		{Kind: model.StartTask, Job: "job-000412", Index: 5, Attempt: 2},
		{Kind: model.StopTask, Job: "job-000413", Index: 6, Attempt: 300, GracePeriod: 30_250 * time.Millisecond},
		{Kind: model.ClearTask, Job: "job-000414", Index: 7, Attempt: 4},
	}}
	body, err := msgpack.Marshal(worker.Heartbeat{Machine: "vm-000231", Address: "10.1.0.232:9000", MachineType: "g8", Zone: "a", Incarnation: 3, Sequence: 88, Epoch: 411})
	if err != nil {
		t.Fatal(err)
	}
	testgolden.Same(t, "report", body)
	job := message.UserReply{Status: 200, ID: "job-000412", State: "queued", Done: 5, Running: 6, PromisedAfter: 90_500 * time.Millisecond, PromiseRevision: 2}
	for name, x := range map[string]struct {
		method, body string
		handle       func(*handlers, echo.Context) error
		says         message.Effect
	}{
		"query":   {http.MethodGet, "", (*handlers).queryJob, job},
		"abort":   {http.MethodPost, "", (*handlers).cancelJob, job},
		"submit":  {http.MethodPost, "run", (*handlers).submitJob, job},
		"refused": {http.MethodPost, "run", (*handlers).submitJob, message.UserReply{Status: 429, ID: "job-000412", Message: "too much waits", RetryAfter: 2 * time.Second}},
		"report":  {http.MethodPost, "report", (*handlers).heartbeat, report},
		"steward": {http.MethodPost, "report", (*handlers).heartbeat, message.HeartbeatReply{Status: 421, MachineOwner: "ctl-3"}},
		"away":    {http.MethodPost, "report", (*handlers).heartbeat, message.HeartbeatReply{Status: 503}},
		"health":  {http.MethodGet, "", (*handlers).health, nil},
	} {
		var body []byte
		if x.body != "" {
			body = testgolden.Bytes(t, x.body)
		}
		rec := httptest.NewRecorder()
		c := echo.New().NewContext(httptest.NewRequest(x.method, "/", bytes.NewReader(body)), rec)
		c.SetParamNames("id")
		c.SetParamValues("job-000412")
		if err := x.handle(&handlers{backend: saying{x.says}, conns: newConnTracker(8)}, c); err != nil {
			t.Fatal(err)
		}
		// The maps of an answer come in any order.
		var m map[string]any
		if err := msgpack.Unmarshal(rec.Body.Bytes(), &m); err != nil {
			t.Fatal(err)
		}
		var sorted bytes.Buffer
		e := msgpack.NewEncoder(&sorted)
		e.SetSortMapKeys(true)
		if err := e.Encode(m); err != nil {
			t.Fatal(err)
		}
		told := strconv.Itoa(rec.Code) + " " + rec.Header().Get(echo.HeaderRetryAfter) + "\n" + sorted.String()
		testgolden.Same(t, "answer-"+name, []byte(told))
	}
}

package api

import (
	"bytes"
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

// ptr returns a pointer to v.
func ptr[T any](v T) *T { return &v }

// TestGoldenJobRequest compares a submission with the golden bytes, and decodes them to a job. It
// guards against a change of the wire format, after which users' submissions would be rejected or
// read differently.
func TestGoldenJobRequest(t *testing.T) {
	requests := testgolden.Values{"job-request": jobRequest{
		ID: ptr("job-000412"), Workload: ptr("train"), Team: ptr("vision"), Shape: ptr("group"), Urgency: ptr("urgent"), Tasks: ptr(16.0),
		VCPUs: ptr(8.5), GPUs: ptr(1.25), MemoryGB: ptr(64.75), Image: ptr("img-07"), ImageGB: ptr(6.2), MachineTypes: []string{"g8", "g4"}, Zone: ptr("a"),
		ZoneAffinity: ptr(true), ZoneAntiAffinity: ptr(true), SpotAllowed: ptr(true), ExpectedRunTimeS: ptr(240.5), CheckpointIntervalS: ptr(30.25), CheckpointCostS: ptr(4.5), DeadlineS: ptr(900.75),
		Dependencies: []string{"job-000398", "job-000402"},
	}}
	testgolden.Check(t, testgolden.Msgpack, requests)
	testgolden.CheckCoverage(t, requests)
	want := model.JobSpec{
		ID: "job-000412", Workload: "train", Team: "vision", Gang: true, Urgency: model.Urgent, Tasks: 16, Need: model.Resources{CPU: 8.5, GPU: 1.25, Memory: 64.75},
		Image: "img-07", ImageGB: 6.2, MachineTypes: []string{"g8", "g4"}, Zone: "a", SameZone: true, SpreadZones: true, AllowSpot: true,
		ExpectedRunTime: 240_500 * time.Millisecond, CheckpointInterval: 30_250 * time.Millisecond, CheckpointCost: 4_500 * time.Millisecond, Deadline: 900_750 * time.Millisecond,
		Dependencies: []string{"job-000398", "job-000402"},
	}
	if got, err := parseJobRequest(testgolden.Bytes(t, "job-request")); err != nil || !reflect.DeepEqual(got, want) {
		t.Errorf("got\n%+v, %v\nwant\n%+v", got, err, want)
	}
}

// TestGoldenResponses compares the responses to users and workers with the golden bytes. It guards
// against a change of the wire format, which clients and workers could not read.
func TestGoldenResponses(t *testing.T) {
	commands := message.HeartbeatReply{Status: 200, Epoch: 411, Commands: []model.TaskCommand{
		{Kind: model.StartTask, Job: "job-000412", Index: 5, Attempt: 2},
		{Kind: model.StopTask, Job: "job-000413", Index: 6, Attempt: 300, GracePeriod: 30_250 * time.Millisecond},
		{Kind: model.ClearTask, Job: "job-000414", Index: 7, Attempt: 4},
	}}
	body, err := msgpack.Marshal(worker.Heartbeat{Machine: "vm-000231", Address: "10.1.0.232:9000", MachineType: "g8", Zone: "a", Incarnation: 3, Sequence: 88, Epoch: 411})
	if err != nil {
		t.Fatal(err)
	}
	testgolden.CheckBytes(t, "heartbeat", body)
	job := message.UserReply{Status: 200, ID: "job-000412", State: "queued", Done: 5, Running: 6, PromisedAfter: 90_500 * time.Millisecond, PromiseRevision: 2}
	for name, test := range map[string]struct {
		method, body string
		handle       func(*handlers, echo.Context) error
		reply        message.Effect
	}{
		"query":         {http.MethodGet, "", (*handlers).queryJob, job},
		"cancel":        {http.MethodPost, "", (*handlers).cancelJob, job},
		"submit":        {http.MethodPost, "job-request", (*handlers).submitJob, job},
		"refused":       {http.MethodPost, "job-request", (*handlers).submitJob, message.UserReply{Status: 429, ID: "job-000412", Message: "too much waits", RetryAfter: 2 * time.Second}},
		"heartbeat":     {http.MethodPost, "heartbeat", (*handlers).heartbeat, commands},
		"machine-owner": {http.MethodPost, "heartbeat", (*handlers).heartbeat, message.HeartbeatReply{Status: 421, MachineOwner: "ctl-3"}},
		"unavailable":   {http.MethodPost, "heartbeat", (*handlers).heartbeat, message.HeartbeatReply{Status: 503}},
		"health":        {http.MethodGet, "", (*handlers).health, nil},
	} {
		var body []byte
		if test.body != "" {
			body = testgolden.Bytes(t, test.body)
		}
		recorder := httptest.NewRecorder()
		c := echo.New().NewContext(httptest.NewRequest(test.method, "/", bytes.NewReader(body)), recorder)
		c.SetParamNames("id")
		c.SetParamValues("job-000412")
		if err := test.handle(&handlers{backend: fixedBackend{test.reply}, conns: newConnTracker(8)}, c); err != nil {
			t.Fatal(err)
		}
		// The order of the keys in a response's map is random, so the test sorts them.
		var decoded map[string]any
		if err := msgpack.Unmarshal(recorder.Body.Bytes(), &decoded); err != nil {
			t.Fatal(err)
		}
		var sorted bytes.Buffer
		encoder := msgpack.NewEncoder(&sorted)
		encoder.SetSortMapKeys(true)
		if err := encoder.Encode(decoded); err != nil {
			t.Fatal(err)
		}
		got := strconv.Itoa(recorder.Code) + " " + recorder.Header().Get(echo.HeaderRetryAfter) + "\n" + sorted.String()
		testgolden.CheckBytes(t, "response-"+name, []byte(got))
	}
}

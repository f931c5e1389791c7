package worker

import (
	"reflect"
	"testing"
	"time"

	"github.com/micahill/micahill/internal/model"
	"github.com/micahill/micahill/internal/testgolden"
)

// TestGoldenWire checks that heartbeats and commands encode to the golden bytes and decode from them.
// It guards against a change of the wire format, which workers could not read.
func TestGoldenWire(t *testing.T) {
	reclaimS := 28.5
	wire := testgolden.Values{
		"heartbeat": Heartbeat{
			Machine: "vm-000231", Address: "10.1.0.232:9000", MachineType: "g8", Zone: "a", Spot: true, Incarnation: 3, Sequence: 88, Epoch: 411, ReclaimS: &reclaimS,
			Tasks: []TaskReport{
				{Task: "job-000412/5", Attempt: 2, Status: "ended", Cause: "done", Checkpointed: true},
				{Task: "job-000413/6", Attempt: 300, Status: "fetching"},
				{Task: "job-000413/7", Attempt: 1, Status: "gathering"},
				{Task: "job-000413/8", Attempt: 1, Status: "running"},
				{Task: "job-000413/9", Attempt: 1, Status: "flushing"},
			},
		},
		"commands": TaskCommands{Epoch: 412, Incarnation: 4, Commands: EncodeCommands([]model.TaskCommand{
			{Kind: model.StartTask, Job: "job-000412", Index: 5, Attempt: 2},
			{Kind: model.StopTask, Job: "job-000413", Index: 6, Attempt: 300, GracePeriod: 30_250 * time.Millisecond},
			{Kind: model.ClearTask, Job: "job-000414", Index: 7, Attempt: 4},
		})},
	}
	testgolden.Check(t, testgolden.Msgpack, wire)
	testgolden.CheckCoverage(t, wire)

	var decoded Heartbeat
	if err := testgolden.Msgpack.Read(testgolden.Bytes(t, "heartbeat"), &decoded); err != nil {
		t.Fatal(err)
	}
	want := model.Heartbeat{
		Machine: "vm-000231", Addr: "10.1.0.232:9000", MachineType: "g8", Zone: "a", Spot: true, Incarnation: 3, Sequence: 88, Epoch: 411, ReclaimIn: 28_500 * time.Millisecond,
		Tasks: []model.TaskReport{
			{Job: "job-000412", Index: 5, Attempt: 2, Status: model.Ended, Cause: "done", CheckpointStored: true},
			{Job: "job-000413", Index: 6, Attempt: 300, Status: model.Fetching},
			{Job: "job-000413", Index: 7, Attempt: 1, Status: model.Fetching},
			{Job: "job-000413", Index: 8, Attempt: 1, Status: model.Running},
			{Job: "job-000413", Index: 9, Attempt: 1, Status: model.Checkpointing},
		},
	}
	if got := decoded.Decode(); !reflect.DeepEqual(got, want) {
		t.Errorf("got\n%+v\nwant\n%+v", got, want)
	}
}

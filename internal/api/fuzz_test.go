package api

import (
	"testing"

	"github.com/micahill/micahill/internal/model"
	"github.com/micahill/micahill/internal/validate"
	"github.com/micahill/micahill/internal/worker"
	"github.com/vmihailenco/msgpack/v5"
)

// FuzzJobRequest checks that the parser rejects every body that isn't a valid job, and never panics.
// A job with invalid amounts would otherwise reach the scheduler.
func FuzzJobRequest(f *testing.F) {
	valid, err := msgpack.Marshal(validJobRequest())
	if err != nil {
		f.Fatal(err)
	}
	f.Add(valid)
	f.Add(valid[:len(valid)/2])
	f.Add([]byte{0xdf, 0xff, 0xff, 0xff, 0xff})
	f.Fuzz(func(t *testing.T, b []byte) {
		spec, err := parseJobRequest(b)
		if err == nil && (spec.Tasks < 1 || spec.Tasks > 100000 || !validate.IsAmount(spec.Need.CPU) || spec.ExpectedRunTime < 0 || spec.ID == "") {
			t.Fatalf("got %+v accepted, want an error", spec)
		}
	})
}

// FuzzHeartbeat checks that every body that isn't a valid heartbeat is rejected, without a panic. A
// task without a job or with an unknown status would otherwise reach the scheduler.
func FuzzHeartbeat(f *testing.F) {
	reclaimS := 12.5
	valid, err := msgpack.Marshal(worker.Heartbeat{Machine: "vm-000231", Address: "10.1.0.232:9000", MachineType: "g8", Zone: "a", Incarnation: 1, Sequence: 88, Epoch: 41, ReclaimS: &reclaimS,
		Tasks: []worker.TaskReport{{Task: "job-000412/3", Attempt: 2, Status: "running"}, {Task: "x/-1"}}})
	if err != nil {
		f.Fatal(err)
	}
	f.Add(valid)
	f.Add(valid[:len(valid)/2])
	f.Fuzz(func(t *testing.T, b []byte) {
		var wire worker.Heartbeat
		if msgpack.Unmarshal(b, &wire) != nil {
			return
		}
		heartbeat := wire.Decode()
		if heartbeat.Validate() != nil {
			return
		}
		for _, task := range heartbeat.Tasks {
			if task.Index < 0 || task.Job == "" || task.Status < model.Fetching || task.Status > model.Ended {
				t.Fatalf("got %+v accepted, want an error", task)
			}
		}
	})
}

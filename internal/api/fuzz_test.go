package api

import (
	"testing"

	"github.com/micahill/micahill/internal/model"
	"github.com/micahill/micahill/internal/validate"
	"github.com/micahill/micahill/internal/worker"
	"github.com/vmihailenco/msgpack/v5"
)

// FuzzJobRequest: whatever a user sends, it is a job that makes sense, or a reason is given.
func FuzzJobRequest(f *testing.F) {
	good, err := msgpack.Marshal(map[string]any{"id": "job-000412", "workload": "train", "owner": "vision", "shape": "array", "urgency": "urgent", "pieces": 16,
		"vcpus": 8.0, "gpus": 1.0, "memory_gb": 64.0, "bundle": "img-07", "image_gb": 6.2, "flavours": []string{"g8"}, "site": nil, "same_place": true,
		"apart": false, "loaner": true, "expected_s": 240.0, "snapshot_every_s": 30.0, "snapshot_cost_s": 4.0, "due_s": 900.0})
	if err != nil {
		f.Fatal(err)
	}
	f.Add(good)
	f.Add(good[:len(good)/2])
	f.Add([]byte{0xdf, 0xff, 0xff, 0xff, 0xff})
	f.Fuzz(func(t *testing.T, b []byte) {
		spec, reason := parseJobRequest(b)
		if reason == "" && (spec.Tasks < 1 || spec.Tasks > 100000 || !validate.IsAmount(spec.Need.CPU) || spec.ExpectedRunTime < 0 || spec.ID == "") {
			t.Fatalf("taken: %+v", spec)
		}
	})
}

// FuzzHeartbeat: whatever a worker sends, it is a report that makes sense, or a reason is
// given.
func FuzzHeartbeat(f *testing.F) {
	recall := 12.5
	good, err := msgpack.Marshal(worker.Heartbeat{Machine: "vm-000231", Address: "10.1.0.232:9000", MachineType: "g8", Zone: "a", Incarnation: 1, Sequence: 88, Epoch: 41, ReclaimS: &recall,
		Tasks: []worker.TaskReport{{Task: "job-000412/3", Attempt: 2, Status: "running"}, {Task: "x/-1"}}})
	if err != nil {
		f.Fatal(err)
	}
	f.Add(good)
	f.Add(good[:len(good)/2])
	f.Fuzz(func(t *testing.T, b []byte) {
		var r worker.Heartbeat
		if msgpack.Unmarshal(b, &r) != nil {
			return
		}
		c := r.Decode()
		if c.Validate() != "" {
			return
		}
		for _, p := range c.Tasks {
			if p.Index < 0 || p.Job == "" || p.Status < model.Fetching || p.Status > model.Ended {
				t.Fatalf("taken: %+v", p)
			}
		}
	})
}

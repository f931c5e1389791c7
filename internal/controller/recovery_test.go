package controller

import (
	"fmt"
	"testing"

	"github.com/micahill/micahill/internal/message"
	"github.com/micahill/micahill/internal/model"
	"github.com/micahill/micahill/internal/record"
)

// TestCancelledInManySegments: a cancelled job's tasks are in several segments, and an earlier
// format did not record how many tasks there are: a successor stops every attempt and starts
// none again. When the task slice had grown, the machines still pointed into the former one
// for the first segment's tasks, and started them 90 s after the job was cancelled.
func TestCancelledInManySegments(t *testing.T) {
	for _, countKnown := range []bool{true, false} {
		n := largePool(24)
		machineWithTask(n)
		n.now = n.now.Add(n.renewal.formerOwnerGrace())
		spec := model.JobSpec{ID: "job-000905", Workload: "w", Team: "ops", Need: model.Resources{CPU: 1, Memory: 1}}
		tasksPerSegment := newJob(spec, n.now, 1, 4096).tasksPerSegment
		total := 2*tasksPerSegment + 7
		if countKnown {
			spec.Tasks = total
		}
		j := n.shardLeader.addJob(spec, n.now, 1)
		rec := record.NewOpenJob(&j.JobSpec, n.now)
		rec.Cancelled, rec.CancelledAtMillis = true, n.now.UnixMilli()
		n.shardLeader.applyJobRecord(j, 2, &rec)
		for k := range 3 {
			var r record.TaskSegment
			for i := k * tasksPerSegment; i < min(total, (k+1)*tasksPerSegment); i++ {
				r.Rows = append(r.Rows, record.TaskEntry{Index: i, Try: 1, Machine: n.shardLeader.machinesByID[i%24].id, Group: n.now.UnixMilli()})
			}
			n.shardLeader.failover.recoverSegment(j, message.KeyValue{Key: fmt.Sprintf("%s%s/%d", record.TaskSegmentPrefix, j.ID, k), ModRevision: 3}, &r)
		}
		n.shardLeader.failover.queueRecovered(j)
		if j.liveTasks != total {
			t.Fatalf("count known %v: got %d attempts recovered, want %d", countKnown, j.liveTasks, total)
		}
		for _, m := range n.shardLeader.machinesByID {
			for k, x := range m.attempts {
				if k.job == j.ID && (x != &j.tasks[k.index] || x.stopReason != stopCancel) {
					t.Fatalf("count known %v: got attempt of task %d on %s not stopped, want it stopped", countKnown, k.index, m.id)
				}
			}
			for _, o := range n.shardLeader.dispatcher.reconcile(m) {
				if o.Kind == model.StartTask && o.Job == j.ID {
					t.Fatalf("count known %v: got command %v, want no start", countKnown, o)
				}
			}
		}
	}
}

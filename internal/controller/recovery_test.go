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
		c := largePool(24)
		machineWithTask(c)
		c.now = c.now.Add(c.renewal.formerOwnerGrace())
		spec := model.JobSpec{ID: "job-000905", Workload: "w", Team: "ops", Need: model.Resources{CPU: 1, Memory: 1}}
		tasksPerSegment := newJob(spec, c.now, 1, 4096).tasksPerSegment
		total := 2*tasksPerSegment + 7
		if countKnown {
			spec.Tasks = total
		}
		j := c.shardLeader.addJob(spec, c.now, 1)
		rec := record.NewOpenJob(&j.JobSpec, c.now)
		rec.Cancelled, rec.CancelledAtMillis = true, c.now.UnixMilli()
		c.shardLeader.applyJobRecord(j, 2, &rec)
		for k := range 3 {
			var r record.TaskSegment
			for i := k * tasksPerSegment; i < min(total, (k+1)*tasksPerSegment); i++ {
				r.Rows = append(r.Rows, record.TaskEntry{Index: i, Try: 1, Machine: c.shardLeader.machinesByID[i%24].id, Group: c.now.UnixMilli()})
			}
			c.shardLeader.failover.recoverSegment(j, message.KeyValue{Key: fmt.Sprintf("%s%s/%d", record.TaskSegmentPrefix, j.ID, k), ModRevision: 3}, &r)
		}
		c.shardLeader.failover.queueRecovered(j)
		if j.liveTasks != total {
			t.Fatalf("count known %v: got %d attempts recovered, want %d", countKnown, j.liveTasks, total)
		}
		for _, m := range c.shardLeader.machinesByID {
			for k, x := range m.attempts {
				if k.job == j.ID && (x != &j.tasks[k.index] || x.stopReason != stopCancel) {
					t.Fatalf("count known %v: got attempt of task %d on %s not stopped, want it stopped", countKnown, k.index, m.id)
				}
			}
			for _, o := range c.shardLeader.dispatcher.reconcile(m) {
				if o.Kind == model.StartTask && o.Job == j.ID {
					t.Fatalf("count known %v: got command %v, want no start", countKnown, o)
				}
			}
		}
	}
}

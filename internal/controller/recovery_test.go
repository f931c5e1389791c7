package controller

import (
	"fmt"
	"testing"

	"github.com/micahill/micahill/internal/message"
	"github.com/micahill/micahill/internal/model"
	"github.com/micahill/micahill/internal/record"
)

// TestCancelledInManySegments: a cancelled job whose tasks stand in several records, of
// which an earlier form did not say how many they are: a successor stops every attempt and
// starts none again. Once the tasks had been moved to make room, the machines' books still
// had those of the first record in the old place, and started them 90 s after the job was
// cancelled.
func TestCancelledInManySegments(t *testing.T) {
	for _, known := range []bool{true, false} {
		n := largePool(24)
		machineWithTask(n)
		n.now = n.now.Add(n.renewal.formerOwnerGrace())
		spec := model.JobSpec{ID: "job-000905", Workload: "w", Team: "ops", Need: model.Resources{CPU: 1, Memory: 1}}
		per := newJob(spec, n.now, 1, 4096).tasksPerSegment
		total := 2*per + 7
		if known {
			spec.Tasks = total
		}
		j := n.shardLeader.addJob(spec, n.now, 1)
		rec := record.NewOpenJob(&j.JobSpec, n.now)
		rec.Cancelled, rec.CancelledAtMillis = true, n.now.UnixMilli()
		n.shardLeader.applyJobRecord(j, 2, &rec)
		for k := range 3 {
			var r record.TaskSegment
			for i := k * per; i < min(total, (k+1)*per); i++ {
				r.Rows = append(r.Rows, record.TaskEntry{Index: i, Try: 1, Machine: n.shardLeader.machinesByID[i%24].id, Group: n.now.UnixMilli()})
			}
			n.shardLeader.failover.recoverSegment(j, message.KeyValue{Key: fmt.Sprintf("%s%s/%d", record.TaskSegmentPrefix, j.ID, k), ModRevision: 3}, &r)
		}
		n.shardLeader.failover.queueRecovered(j)
		if j.liveTasks != total {
			t.Fatalf("%d attempts restored, want %d", j.liveTasks, total)
		}
		for _, m := range n.shardLeader.machinesByID {
			for k, x := range m.attempts {
				if k.job == j.ID && (x != &j.tasks[k.index] || x.stopReason != stopCancel) {
					t.Fatalf("tasks known %v: attempt %d on %s is not stopped", known, k.index, m.id)
				}
			}
			for _, o := range n.shardLeader.dispatcher.reconcile(m) {
				if o.Kind == model.StartTask && o.Job == j.ID {
					t.Fatalf("tasks known %v: %v is ordered", known, o)
				}
			}
		}
	}
}

package controller

import (
	"fmt"
	"testing"

	"github.com/micahill/micahill/internal/message"
	"github.com/micahill/micahill/internal/model"
	"github.com/micahill/micahill/internal/record"
)

// TestCancelledInManySegments guards against tasks that start after their job was cancelled. The
// job's tasks are in several segments, and a record of an earlier format does not contain the task
// count, so the task slice grows during recovery. If the machines keep pointers into the old slice,
// the attempts of the first segment are not stopped, and were seen to start 90 s after the
// cancellation. The new shard leader has to stop every attempt and start none.
func TestCancelledInManySegments(t *testing.T) {
	for _, countKnown := range []bool{true, false} {
		controller := largePool(24)
		machineWithTask(controller)
		controller.now = controller.now.Add(controller.renewal.formerOwnerGrace())
		spec := model.JobSpec{ID: "job-000905", Workload: "w", Team: "ops", Need: model.Resources{CPU: 1, Memory: 1}}
		tasksPerSegment := newJob(spec, controller.now, 1, 4096).tasksPerSegment
		total := 2*tasksPerSegment + 7
		if countKnown {
			spec.Tasks = total
		}
		j := controller.shardLeader.addJob(spec, controller.now, 1)
		openRecord := record.NewOpenJob(&j.JobSpec, controller.now)
		openRecord.Cancelled, openRecord.CancelledAtMillis = true, controller.now.UnixMilli()
		controller.shardLeader.applyJobRecord(j, 2, &openRecord)
		for segmentIndex := range 3 {
			var segment record.TaskSegment
			for i := segmentIndex * tasksPerSegment; i < min(total, (segmentIndex+1)*tasksPerSegment); i++ {
				segment.Rows = append(segment.Rows, record.TaskEntry{Index: i, Try: 1, Machine: controller.shardLeader.machinesByID[i%24].id, Group: controller.now.UnixMilli()})
			}
			controller.shardLeader.failover.recoverSegment(j, message.KeyValue{Key: fmt.Sprintf("%s%s/%d", record.TaskSegmentPrefix, j.ID, segmentIndex), ModRevision: 3}, &segment)
		}
		controller.shardLeader.failover.queueRecovered(j)
		if j.liveTasks != total {
			t.Fatalf("task count known %v: got %d attempts recovered, want %d", countKnown, j.liveTasks, total)
		}
		for _, m := range controller.shardLeader.machinesByID {
			for segmentIndex, attempt := range m.attempts {
				if segmentIndex.job == j.ID && (attempt != &j.tasks[segmentIndex.index] || attempt.stopReason != stopCancel) {
					t.Fatalf("task count known %v: attempt of task %d on %s is not to be stopped, want it stopped", countKnown, segmentIndex.index, m.id)
				}
			}
			for _, command := range controller.shardLeader.dispatcher.reconcile(m) {
				if command.Kind == model.StartTask && command.Job == j.ID {
					t.Fatalf("task count known %v: got command %v, want no start", countKnown, command)
				}
			}
		}
	}
}

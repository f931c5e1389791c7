package controller

import (
	"fmt"
	"testing"
	"time"

	"github.com/micahill/micahill/internal/model"
)

// TestRetriesBesideOutlastingTasks guards against a job that fails everywhere and occupies many
// machines, and against a working job that waits although its tasks run. The job may have one
// further live task for each task that, according to its machine's heartbeats, has run longer than
// the job's failed attempts. Otherwise it may try one task after the backoff, if its live tasks
// have run for faultattribution.MinProofRun.
func TestRetriesBesideOutlastingTasks(t *testing.T) {
	for _, tc := range []struct {
		name string
		// ran is how long three tasks had run at their machines' last heartbeats.
		ran    time.Duration
		change func(*Controller, *job)
		want   int
	}{
		{"tasks have just started", time.Second, nil, 0},
		{"tasks ran longer than the failed attempts", 20 * time.Second, nil, 3},
		{"tasks ran longer, long backoff", 20 * time.Second, func(controller *Controller, j *job) { j.notBefore = controller.now.Add(time.Hour) }, 3},
		{"tasks have just started, backoff over", time.Second, func(controller *Controller, j *job) { j.notBefore = controller.now }, 0},
		{"tasks ran shorter than a failed attempt, backoff over", 20 * time.Second, func(controller *Controller, j *job) {
			controller.shardLeader.faultAttribution.RecordFailedRun(j.ID, time.Minute)
			j.notBefore = controller.now
		}, 1},
		{"failed attempts ran almost as long as the tasks", 20 * time.Second, func(controller *Controller, j *job) {
			controller.shardLeader.faultAttribution.RecordFailedRun(j.ID, 18*time.Second)
		}, 0},
		{"one task ran longer than the failed attempts", time.Second, func(controller *Controller, j *job) {
			j.tasks[0].startedAt = controller.now.Add(-time.Minute)
		}, 0},
		{"two tasks ran longer than the failed attempts", time.Second, func(controller *Controller, j *job) {
			j.tasks[0].startedAt, j.tasks[1].startedAt = controller.now.Add(-time.Minute), controller.now.Add(-time.Minute)
		}, 1},
		{"run times unknown since the tasks are inherited", 20 * time.Second, func(_ *Controller, j *job) {
			for i := range 3 {
				j.tasks[i].inherited = true
			}
		}, 0},
		{"a task has succeeded", time.Second, func(controller *Controller, j *job) {
			controller.shardLeader.faultAttribution.TaskDone(j.ID, 3, "vm-000005")
			j.notBefore = time.Time{}
		}, 7},
	} {
		t.Run(tc.name, func(t *testing.T) {
			controller := largePool(0)
			for i := range 3 {
				controller.shardLeader.heartbeats.applyHeartbeat(controller.shardLeader.ensureMachine(fmt.Sprintf("vm-%06d", i)), controller.poolHeartbeat(1), true)
			}
			j := controller.shardLeader.addJob(model.JobSpec{ID: "job-000900", Workload: "w", Team: "ops", Tasks: 10, AllowSpot: true, Need: model.Resources{CPU: 4, Memory: 1}, ExpectedRunTime: time.Hour}, controller.now, 1)
			controller.shardLeader.scheduler.placeAll()
			for i, m := range controller.shardLeader.machinesByID {
				m.lastHeard = controller.now
				j.tasks[i].reported, j.tasks[i].status, j.tasks[i].startedAt = true, model.Running, controller.now.Add(-tc.ran)
			}
			for i := 3; i < 6; i++ {
				controller.shardLeader.faultAttribution.TaskFailed(j.ID, i, fmt.Sprintf("vm-%06d", i))
			}
			j.notBefore = controller.now.Add(time.Second)
			if tc.change != nil {
				tc.change(controller, j)
			}
			if got := controller.shardLeader.scheduler.placeableTasks(j); j.liveTasks != 3 || got != tc.want {
				t.Errorf("got %d placeable tasks with %d live tasks, want %d with 3", got, j.liveTasks, tc.want)
			}
		})
	}
}

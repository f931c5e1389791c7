package controller

import (
	"fmt"
	"testing"
	"time"

	"github.com/micahill/micahill/internal/message"
	"github.com/micahill/micahill/internal/model"
	"github.com/micahill/micahill/internal/record"
)

// groupAfterTakeover returns a successor of a shard leader that started a job's forty tasks
// together ninety seconds ago. All but four were done after thirty seconds each; these four still
// run, and other machines have free capacity. Each machine has sent one heartbeat to the successor.
func groupAfterTakeover(t *testing.T) (*Controller, *job) {
	t.Helper()
	former := largePool(0)
	spec := model.JobSpec{ID: "job-000900", Workload: "w", Team: "ops", Urgency: model.Normal, Tasks: 40, AllowSpot: true, Need: model.Resources{CPU: 4, Memory: 1}, ExpectedRunTime: 30 * time.Second}
	job := newJob(spec, former.now, 1, 4096)
	former.shardLeader.jobs[job.ID] = job
	for i := range job.tasks {
		former.shardLeader.heartbeats.applyHeartbeat(former.shardLeader.ensureMachine(fmt.Sprintf("vm-%06d", i)), former.poolHeartbeat(1), true)
	}
	former.shardLeader.scheduler.placeAll()
	if job.liveTasks != 40 || len(job.groups) != 1 {
		t.Fatalf("got %d tasks placed in %d groups, want 40 in 1", job.liveTasks, len(job.groups))
	}
	for i := range 36 {
		job.recordRunTime(30 * time.Second)
		former.shardLeader.endAttempt(job, i, true)
	}
	var tasks []message.KeyValue
	for k := 0; k*job.tasksPerSegment < len(job.tasks); k++ {
		tasks = append(tasks, message.KeyValue{Key: fmt.Sprintf("%s%s/%d", record.TaskSegmentPrefix, job.ID, k), Value: record.Encode(job.segmentRecord(job.segmentOf(k * job.tasksPerSegment))), ModRevision: 2})
	}
	controller := successor()
	controller.now = former.now.Add(90 * time.Second)
	controller.takeOverRecords([]message.KeyValue{{Key: record.OpenJobPrefix + job.ID, Value: record.Encode(record.NewOpenJob(&spec, former.now)), ModRevision: 1}}, tasks)
	controller.shardLeader.ready, controller.shardLeader.readyAt = true, controller.now
	for i := range 44 {
		heartbeat := controller.poolHeartbeat(1)
		heartbeat.Machine = fmt.Sprintf("vm-%06d", i)
		for _, machine := range former.shardLeader.machines {
			for k, attempt := range machine.attempts {
				if machine.id == heartbeat.Machine {
					heartbeat.Tasks = append(heartbeat.Tasks, model.TaskReport{Job: k.job, Index: k.index, Attempt: attempt.attempt, Status: model.Running})
				}
			}
		}
		controller.shardLeader.heartbeats.applyHeartbeat(controller.shardLeader.ensureMachine(heartbeat.Machine), heartbeat, true)
	}
	return controller, controller.shardLeader.jobs[job.ID]
}

// relaunchedTasks counts the tasks of a job that were stopped to be relaunched.
func relaunchedTasks(job *job) int {
	count := 0
	for i := range job.tasks {
		if job.tasks[i].stopReason == stopRelaunch {
			count++
		}
	}
	return count
}

// TestRelaunchFractionAfterTakeover checks that a successor counts the done tasks of a restored group,
// so that the four unfinished tasks are a tenth of forty and are relaunched when the timer expires.
// The record of a done task does not name the task's group. A group restored from the unfinished
// tasks alone would have four of four unfinished, and none would be relaunched.
func TestRelaunchFractionAfterTakeover(t *testing.T) {
	controller, job := groupAfterTakeover(t)
	controller.now = controller.now.Add(2 * time.Minute)
	for _, machine := range controller.shardLeader.machinesByID {
		machine.lastHeard = controller.now
	}
	controller.shardLeader.scheduler.relaunch()
	if got := relaunchedTasks(job); got != 4 {
		t.Errorf("got %d tasks relaunched in a group restored with %d unfinished tasks, want all 4 unfinished of 40", got, len(job.groups[job.tasks[36].groupStart].tasks))
	}
}

// TestRunTimeAfterTakeover checks that the run time of a task that a former shard leader started
// counts from its start as far as known, so that an expired timer applies at once. If a successor
// took its first heartbeat about the task for the start, a straggler would be relaunched only after
// it had run for the whole limit once more.
func TestRunTimeAfterTakeover(t *testing.T) {
	controller, job := groupAfterTakeover(t)
	for i := 37; i < 40; i++ {
		controller.shardLeader.endAttempt(job, i, true)
	}
	controller.shardLeader.scheduler.relaunch()
	if got := relaunchedTasks(job); got != 1 {
		t.Errorf("got %d tasks relaunched, want 1 that has run for %v; its run time counts from %v ago", got, 90*time.Second, controller.now.Sub(job.tasks[36].startedAt))
	}
}

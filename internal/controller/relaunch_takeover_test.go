package controller

import (
	"fmt"
	"testing"
	"time"

	"github.com/micahill/micahill/internal/message"
	"github.com/micahill/micahill/internal/model"
	"github.com/micahill/micahill/internal/record"
)

// groupAfterTakeover is a successor of a shard leader that started a job's forty tasks together a
// minute and a half ago. All but four were done after half a minute each; these run, and there is
// room elsewhere. Its machines were heard once, just now.
func groupAfterTakeover(t *testing.T) (*Controller, *job) {
	t.Helper()
	former := largePool(0)
	spec := model.JobSpec{ID: "job-000900", Workload: "w", Team: "ops", Urgency: model.Normal, Tasks: 40, AllowSpot: true, Need: model.Resources{CPU: 4, Memory: 1}, ExpectedRunTime: 30 * time.Second}
	j := newJob(spec, former.now, 1, 4096)
	former.shardLeader.jobs[j.ID] = j
	for i := range j.tasks {
		former.shardLeader.heartbeats.applyHeartbeat(former.shardLeader.ensureMachine(fmt.Sprintf("vm-%06d", i)), former.poolHeartbeat(1), true)
	}
	former.shardLeader.scheduler.placeAll()
	if j.liveTasks != 40 || len(j.groups) != 1 {
		t.Fatalf("got %d tasks placed in %d groups, want 40 in one", j.liveTasks, len(j.groups))
	}
	for i := range 36 {
		j.recordRunTime(30 * time.Second)
		former.shardLeader.endAttempt(j, i, true)
	}
	var tasks []message.KeyValue
	for k := 0; k*j.tasksPerSegment < len(j.tasks); k++ {
		tasks = append(tasks, message.KeyValue{Key: fmt.Sprintf("%s%s/%d", record.TaskSegmentPrefix, j.ID, k), Value: record.Encode(j.segmentRecord(j.segmentOf(k * j.tasksPerSegment))), ModRevision: 2})
	}
	c := successor()
	c.now = former.now.Add(90 * time.Second)
	c.takeOverRecords([]message.KeyValue{{Key: record.OpenJobPrefix + j.ID, Value: record.Encode(record.NewOpenJob(&spec, former.now)), ModRevision: 1}}, tasks)
	c.shardLeader.ready, c.shardLeader.readyAt = true, c.now
	for i := range 44 {
		r := c.poolHeartbeat(1)
		r.Machine = fmt.Sprintf("vm-%06d", i)
		for _, m := range former.shardLeader.machines {
			for k, a := range m.attempts {
				if m.id == r.Machine {
					r.Tasks = append(r.Tasks, model.TaskReport{Job: k.job, Index: k.index, Attempt: a.attempt, Status: model.Running})
				}
			}
		}
		c.shardLeader.heartbeats.applyHeartbeat(c.shardLeader.ensureMachine(r.Machine), r, true)
	}
	return c, c.shardLeader.jobs[j.ID]
}

// relaunchedTasks counts the tasks of a job that are stopped to be started once more elsewhere.
func relaunchedTasks(j *job) int {
	count := 0
	for i := range j.tasks {
		if j.tasks[i].stopReason == stopRelaunch {
			count++
		}
	}
	return count
}

// TestTenthOfGroupAfterTakeover: of a group of forty tasks four are a tenth, also for a successor.
// They are relaunched when the timer has expired and they have run for that long here.
//
// What happens: they are not. Why: the records say of a done task that it is done and not in which
// group it was, so the group that a successor restores has the unfinished tasks alone, four of
// four. What showed it: the restored group has four tasks.
func TestTenthOfGroupAfterTakeover(t *testing.T) {
	c, j := groupAfterTakeover(t)
	c.now = c.now.Add(2 * time.Minute)
	for _, m := range c.shardLeader.machinesByID {
		m.lastHeard = c.now
	}
	c.shardLeader.scheduler.relaunch()
	if got := relaunchedTasks(j); got != 4 {
		t.Errorf("got %d tasks relaunched of a group of %d, want all 4 unfinished ones of 40", got, len(j.groups[j.tasks[36].groupStart].tasks))
	}
}

// TestRunTimeAfterTakeover: the run time of a task that a former shard leader started counts from
// its start, as far as it is known, so that the timer, which has expired, holds at once.
//
// What happens: a straggler alone in its group is relaunched only when it has run for the whole
// limit once more. Why: a successor takes the moment when it first sees a task run for its start.
// What showed it: the task's start is the successor's first heartbeat.
func TestRunTimeAfterTakeover(t *testing.T) {
	c, j := groupAfterTakeover(t)
	for i := 37; i < 40; i++ {
		c.shardLeader.endAttempt(j, i, true)
	}
	c.shardLeader.scheduler.relaunch()
	if got := relaunchedTasks(j); got != 1 {
		t.Errorf("got %d tasks relaunched, want the one that has run for %v; its start counts from %v ago", got, 90*time.Second, c.now.Sub(j.tasks[36].startedAt))
	}
}

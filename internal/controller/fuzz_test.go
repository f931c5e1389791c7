package controller

import (
	"testing"
	"time"

	"github.com/micahill/micahill/internal/message"
	"github.com/micahill/micahill/internal/model"
	"github.com/micahill/micahill/internal/ranking"
	"github.com/micahill/micahill/internal/record"
)

// FuzzRecords guards against damaged job and task records: whatever they hold, no job may end
// because of them, no task may be counted twice, and the recovered job must be encodable again.
func FuzzRecords(f *testing.F) {
	spec := model.JobSpec{ID: "job-000900", Workload: "w", Team: "ops", Tasks: 24, Need: model.Resources{CPU: 1, Memory: 1}}
	now := time.Unix(1_750_000_000, 0)
	f.Add(record.Encode(record.NewOpenJob(&spec, now)), record.Encode(record.TaskSegment{MachinePrefix: "vm-", DoneRanges: []int{0, 2, 1, 3}, Rows: []record.TaskEntry{{Index: 5, Try: 1, Machine: "7"}, {Index: 5, Try: 2, Machine: "8"}}, RunTimes: []int64{-1, 1 << 62}}))
	f.Add(record.Encode(record.OpenJob{Tasks: -1}), record.Encode(record.TaskSegment{DoneRanges: []int{-5, 1 << 40}}))
	f.Add([]byte{0xdd, 0xff}, []byte{0x81})
	f.Fuzz(func(t *testing.T, open, segment []byte) {
		controller := largePool(2)
		controller.frontend.watchCache.loaded, controller.frontend.watchCache.openJobs = true, map[string]openJob{}
		controller.shardLeader.applyOpenJob(message.KeyValue{Key: record.OpenJobPrefix + spec.ID, Value: open, ModRevision: 5})
		job := controller.shardLeader.jobs[spec.ID]
		if job == nil {
			job = controller.shardLeader.addJob(spec, controller.now, 5)
		}
		var decoded record.TaskSegment
		if !record.Decode(segment, &decoded) {
			return
		}
		controller.shardLeader.failover.recoverSegment(job, message.KeyValue{Key: record.TaskSegmentPrefix + spec.ID + "/0", Value: segment, ModRevision: 6}, &decoded)
		controller.shardLeader.failover.queueRecovered(job)
		done := 0
		for i := range job.tasks {
			if job.tasks[i].done {
				done++
			}
		}
		if done != job.doneTasks {
			t.Fatalf("got %d tasks counted as done, want the %d that are", job.doneTasks, done)
		}
		controller.shardLeader.scheduler.placeAll()
		for _, index := range sortedKeys(job.segments) {
			record.Encode(job.segmentRecord(job.segments[index]))
		}
	})
}

// FuzzControlRecords guards against a panic on damaged records of the shard map, of controllers,
// of the leadership and of the ranking.
func FuzzControlRecords(f *testing.F) {
	f.Add("share/a", []byte{0x80})
	f.Add("lot/1", []byte{0x81, 0xa1, 'x', 0x01})
	f.Add("node/b", record.Encode(record.Member{LeaseID: 1, Incarnation: "n", StartedAt: -1}))
	f.Add("lead", record.Encode(record.Leader{Host: "b"}))
	f.Add("ranking", ranking.Record{Revision: 2, Classes: []ranking.Class{{Name: "a", Urgency: "urgent"}}}.Encode())
	f.Fuzz(func(t *testing.T, key string, value []byte) {
		controller := twoControllers(t)
		controller.settings.Capabilities.Ranking = true
		controller.membership.applyControlUpdates(message.StoreResponse{Status: message.StoreOK, Revision: 99, KeyValues: []message.KeyValue{{Key: record.ControlPrefix + key, Value: value, ModRevision: 98}}})
		controller.syncShardLeader()
	})
}

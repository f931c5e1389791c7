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
		c := largePool(2)
		c.frontend.watchCache.loaded, c.frontend.watchCache.openJobs = true, map[string]openJob{}
		c.shardLeader.applyOpenJob(message.KeyValue{Key: record.OpenJobPrefix + spec.ID, Value: open, ModRevision: 5})
		j := c.shardLeader.jobs[spec.ID]
		if j == nil {
			j = c.shardLeader.addJob(spec, c.now, 5)
		}
		var r record.TaskSegment
		if !record.Decode(segment, &r) {
			return
		}
		c.shardLeader.failover.recoverSegment(j, message.KeyValue{Key: record.TaskSegmentPrefix + spec.ID + "/0", Value: segment, ModRevision: 6}, &r)
		c.shardLeader.failover.queueRecovered(j)
		done := 0
		for i := range j.tasks {
			if j.tasks[i].done {
				done++
			}
		}
		if done != j.doneTasks {
			t.Fatalf("got %d tasks counted as done, want the %d that are", j.doneTasks, done)
		}
		c.shardLeader.scheduler.placeAll()
		for _, k := range sortedKeys(j.segments) {
			record.Encode(j.segmentRecord(j.segments[k]))
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
		c := twoControllers(t)
		c.settings.Capabilities.Ranking = true
		c.membership.applyControlUpdates(message.StoreResponse{Status: message.StoreOK, Revision: 99, KeyValues: []message.KeyValue{{Key: record.ControlPrefix + key, Value: value, ModRevision: 98}}})
		c.syncShardLeader()
	})
}

package controller

import (
	"fmt"
	"testing"
	"time"

	"github.com/micahill/micahill/internal/model"
)

// BenchmarkMigrations is the cost of migrations in half a second in which a replica of a whole
// host waits and no three moves free a host for it, with five replicas on each host and as
// many jobs that wait for other machines.
func BenchmarkMigrations(b *testing.B) {
	for _, hosts := range []int{100, 300, 1000} {
		b.Run(fmt.Sprint(hosts), func(b *testing.B) {
			c := largePool(0)
			c.settings.Capabilities = Capabilities{Models: true, MaxMigratingFraction: 0.1, MigrationCooldown: 5 * time.Minute}
			c.knowledge.machineTypes["host"] = model.MachineType{Name: "host", Capacity: model.Resources{CPU: 64, GPU: 8, Memory: 512}, ImageFetchRate: 1, CostPerHour: 12, SpotCostPerHour: 4, ProvisioningTime: 40 * time.Second, Zones: []string{"z"}}
			c.shardLeader.migration.recoverRecords([]string{"ops"}, nil)
			for i := range hosts {
				m := c.shardLeader.ensureMachine(fmt.Sprintf("vm-%06d", i))
				c.shardLeader.heartbeats.applyHeartbeat(m, c.hostHeartbeat(i, 1), true)
				j := c.shardLeader.addJob(model.JobSpec{ID: fmt.Sprintf("job-s%05d", i), Workload: "small", Team: "ops", LongRunning: true, Urgency: model.Normal, Tasks: 5,
					Need: model.Resources{CPU: 8, GPU: 1, Memory: 64}, Image: fmt.Sprint("img-", i%40), ImageGB: 8}, c.now, 7)
				j.nextFresh = 5
				r := c.hostHeartbeat(i, 2)
				for k := range 5 {
					c.shardLeader.scheduler.startAttempt(j, k, m)
					r.Tasks = append(r.Tasks, model.TaskReport{Job: j.ID, Index: k, Attempt: 1, Status: model.Running})
				}
				for _, segment := range j.segments {
					segment.persistedVersion = segment.version
				}
				c.shardLeader.heartbeats.applyHeartbeat(m, r, true)
				c.shardLeader.addJob(model.JobSpec{ID: fmt.Sprintf("job-w%05d", i), Workload: "wide", Team: "ops", Tasks: 1, Need: model.Resources{CPU: 32, Memory: 128}, MachineTypes: []string{"rack"}}, c.now, 7)
			}
			c.addReplica("job-large", 8)
			b.ResetTimer()
			for b.Loop() {
				c.now = c.now.Add(migrationRetryInterval)
				for _, m := range c.shardLeader.machinesByID {
					m.lastHeard = c.now
				}
				c.effects = nil
				c.shardLeader.migration.tick()
			}
			if x := c.shardLeader.migration.state.unschedulable["job-large"]; x == nil || !x.lastTried.Equal(c.now) {
				b.Fatalf("got replica state %+v, want one that was tried now", x)
			}
		})
	}
}

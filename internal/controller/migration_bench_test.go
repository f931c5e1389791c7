package controller

import (
	"fmt"
	"testing"
	"time"

	"github.com/micahill/micahill/internal/model"
)

// BenchmarkMigrations measures one tick of the migrations, which runs every half second, while a
// replica that needs a whole host is pending and no plan of three moves frees one. Five replicas run
// on each host, and for each host there is one pending job that needs machines of another type.
func BenchmarkMigrations(b *testing.B) {
	for _, hosts := range []int{100, 300, 1000} {
		b.Run(fmt.Sprint(hosts), func(b *testing.B) {
			controller := largePool(0)
			controller.settings.Capabilities = Capabilities{Models: true, MaxMigratingFraction: 0.1, MigrationCooldown: 5 * time.Minute}
			controller.knowledge.machineTypes["host"] = model.MachineType{Name: "host", Capacity: model.Resources{CPU: 64, GPU: 8, Memory: 512}, ImageFetchRate: 1, CostPerHour: 12, SpotCostPerHour: 4, ProvisioningTime: 40 * time.Second, Zones: []string{"z"}}
			controller.shardLeader.migration.recoverRecords([]string{"ops"}, nil)
			for i := range hosts {
				machine := controller.shardLeader.ensureMachine(fmt.Sprintf("vm-%06d", i))
				controller.shardLeader.heartbeats.applyHeartbeat(machine, controller.hostHeartbeat(i, 1), true)
				job := controller.shardLeader.addJob(model.JobSpec{ID: fmt.Sprintf("job-s%05d", i), Workload: "small", Team: "ops", LongRunning: true, Urgency: model.Normal, Tasks: 5,
					Need: model.Resources{CPU: 8, GPU: 1, Memory: 64}, Image: fmt.Sprint("img-", i%40), ImageGB: 8}, controller.now, 7)
				job.nextFresh = 5
				heartbeat := controller.hostHeartbeat(i, 2)
				for index := range 5 {
					controller.shardLeader.scheduler.startAttempt(job, index, machine)
					heartbeat.Tasks = append(heartbeat.Tasks, model.TaskReport{Job: job.ID, Index: index, Attempt: 1, Status: model.Running})
				}
				for _, segment := range job.segments {
					segment.persistedVersion = segment.version
				}
				controller.shardLeader.heartbeats.applyHeartbeat(machine, heartbeat, true)
				controller.shardLeader.addJob(model.JobSpec{ID: fmt.Sprintf("job-w%05d", i), Workload: "wide", Team: "ops", Tasks: 1, Need: model.Resources{CPU: 32, Memory: 128}, MachineTypes: []string{"rack"}}, controller.now, 7)
			}
			controller.addReplica("job-large", 8)
			b.ResetTimer()
			for b.Loop() {
				controller.now = controller.now.Add(migrationRetryInterval)
				for _, machine := range controller.shardLeader.machinesByID {
					machine.lastHeard = controller.now
				}
				controller.effects = nil
				controller.shardLeader.migration.tick()
			}
			if entry := controller.shardLeader.migration.state.unschedulable["job-large"]; entry == nil || !entry.lastTried.Equal(controller.now) {
				b.Fatalf("got state %+v of job-large, want a search for migrations in the last tick", entry)
			}
		})
	}
}

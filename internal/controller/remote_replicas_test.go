package controller

import (
	"testing"
	"time"

	"github.com/micahill/micahill/internal/model"
	"github.com/micahill/micahill/internal/remote"
)

// TestRemoteReplicaCountsAsRunning has a job with one replica on a machine of this shard and one on a machine
// of another shard leader. The second replica counts as running while the owner of its machine publishes that
// it runs, and not afterwards. If it never counted, the first replica would not be allowed to move, since half
// of the replicas have to stay up; if it counted for long, both replicas might be down at once.
func TestRemoteReplicaCountsAsRunning(t *testing.T) {
	controller := hostPool(t)
	controller.putShard(t, "b", "b", 2, false, "lab")
	controller.putSegment(t, "b", 3, "vm-000077")
	spec := controller.shardLeader.jobs["job-s0"].JobSpec
	spec.ID, spec.Tasks, spec.Need = "job-pair", 2, model.Resources{CPU: 8, GPU: 1, Memory: 64}
	job := controller.shardLeader.addJob(spec, controller.now, 7)
	job.nextFresh = 2
	controller.shardLeader.scheduler.startAttempt(job, 0, controller.shardLeader.machines["vm-000000"])
	controller.reportRunning(job, 0)
	remoteMachine := controller.shardLeader.remoteAttempts.ensureRemoteMachine("vm-000077")
	controller.shardLeader.scheduler.startAttempt(job, 1, remoteMachine)
	running := func() int {
		count, _ := migrationFacts{controller}.RunningReplicas(job.ID)
		return count
	}
	if got := running(); got != 1 {
		t.Errorf("got %d running replicas before the owner has published the remote one, want 1", got)
	}
	attempt := remote.AttemptID{Job: job.ID, Index: 1, Attempt: job.tasks[1].attempt}
	publish := func() {
		controller.shardLeader.remoteAttempts.receiveRemoteAttempts("b", []remote.MachineStatus{{Machine: "vm-000077", Epoch: 3, Attempts: []remote.AttemptStatus{{AttemptID: attempt, State: remote.Running}}}})
	}
	publish()
	if got := running(); got != 2 {
		t.Errorf("got %d running replicas after the owner has published the remote one, want 2", got)
	}
	controller.now = controller.now.Add(remoteStatusTTL + time.Second)
	controller.shardLeader.machines["vm-000000"].lastHeard = controller.now
	if got := running(); got != 1 {
		t.Errorf("got %d running replicas after the owner has stopped publishing the remote one, want 1", got)
	}
	publish()
	if got := running(); got != 2 {
		t.Errorf("got %d running replicas after the owner has published the remote one again, want 2", got)
	}
}

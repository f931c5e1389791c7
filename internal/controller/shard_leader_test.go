package controller

import (
	"testing"
	"time"

	"github.com/micahill/micahill/internal/message"
	"github.com/micahill/micahill/internal/model"
	"github.com/micahill/micahill/internal/record"
	"github.com/micahill/micahill/internal/remote"
	"github.com/micahill/micahill/internal/sharding"
)

// putShard applies a shard's record to the controller's shard map. catchAll makes it the
// catch-all shard.
func (controller *Controller) putShard(t *testing.T, name, host string, modRevision uint64, catchAll bool, teams ...string) {
	t.Helper()
	value := record.Encode(map[string]any{"host": host, "nonce": host + "#1", "teams": teams, "rest": catchAll})
	if host == controller.settings.Host {
		value = record.Encode(map[string]any{"host": host, "nonce": controller.incarnation(), "teams": teams, "rest": catchAll})
	}
	if err := controller.membership.shardMap.ApplyShard(name, value, modRevision); err != nil {
		t.Fatalf("applying shard %s: got error %v, want none", name, err)
	}
	controller.membership.controllers["b"] = record.Member{Incarnation: "b#1"}
}

// putSegment applies a segment that assigns machines to a shard.
func (controller *Controller) putSegment(t *testing.T, shard string, modRevision uint64, ids ...string) {
	t.Helper()
	write, assigned := sharding.BumpEpoch(controller.requests.storeLimits(), "l"+ids[0], controller.membership.shardMap.Shard(shard), ids)
	if len(assigned) != len(ids) {
		t.Fatalf("got %d machines in one segment, want %d", len(assigned), len(ids))
	}
	if err := controller.membership.shardMap.ApplySegment(write.Name, write.Value, modRevision); err != nil {
		t.Fatalf("applying segment %s: got error %v, want none", write.Name, err)
	}
}

// twoControllers returns a controller whose shard leader has one machine, and in whose shard map
// controller b holds a shard with the team lab.
func twoControllers(t *testing.T) *Controller {
	t.Helper()
	controller := largePool(1)
	controller.settings.Teams = append(controller.settings.Teams, model.Team{Name: "lab"})
	controller.putShard(t, "b", "b", 2, false, "lab")
	controller.frontend.watchCache.loaded, controller.frontend.watchCache.openJobs = true, map[string]openJob{}
	return controller
}

// TestLeaderUpdateMakesNoOwner guards against two owners of a machine: the leader's update about
// a machine must not make a controller its owner, since only a record of the shard map does.
func TestLeaderUpdateMakesNoOwner(t *testing.T) {
	controller := twoControllers(t)
	controller.putSegment(t, "b", 3, "vm-000077")
	for _, status := range []string{"running", statusComing, "booting"} {
		controller.receiveLeaderUpdate(message.PeerUpdate{From: "b", IsLeaderUpdate: true, Seq: 5, RentalUpdates: []message.RentalUpdate{{ID: "vm-000077", Addr: "x", MachineType: "box", Zone: "z", Status: status}}})
		if controller.shardLeader.machines["vm-000077"] != nil {
			t.Errorf("another shard's machine with status %s: got it added by a leader update, want it left out", status)
		}
	}
	controller.putSegment(t, "a", 4, "vm-000078")
	controller.receiveLeaderUpdate(message.PeerUpdate{From: "b", IsLeaderUpdate: true, Seq: 6, RentalUpdates: []message.RentalUpdate{{ID: "vm-000078", Addr: "x", MachineType: "box", Zone: "z", Status: "running"}}})
	if controller.shardLeader.machines["vm-000078"] == nil {
		t.Error("machine of the controller's own shard: got it left out, want it added")
	}
}

// TestControlUpdatesInOrder checks two watch responses that overlap: each change must count
// once, and the older response must not undo a newer change.
func TestControlUpdatesInOrder(t *testing.T) {
	controller := twoControllers(t)
	controller.membership.revision = 5
	shardRecord := func(host string, modRevision uint64) message.KeyValue {
		return message.KeyValue{Key: record.ShardPrefix + "x", Value: record.Encode(map[string]any{"host": host, "nonce": "n", "teams": []string{"lab"}}), ModRevision: modRevision}
	}
	controller.membership.applyControlUpdates(message.StoreResponse{Status: message.StoreOK, Revision: 9, KeyValues: []message.KeyValue{shardRecord("c", 7), shardRecord("d", 9)}})
	controller.membership.applyControlUpdates(message.StoreResponse{Status: message.StoreOK, Revision: 7, KeyValues: []message.KeyValue{shardRecord("c", 7)}})
	if shard := controller.membership.shardMap.Shard("x"); shard.Host != "d" || controller.membership.revision != 9 {
		t.Errorf("got shard held by %s as of revision %d, want d and 9", shard.Host, controller.membership.revision)
	}
}

// TestTakenOverMachineWithTasks guards against counting a worker's lease as expired too early:
// the former owner may go on answering the machine's heartbeats after the takeover, so the lease
// counts from when that owner has certainly stopped.
func TestTakenOverMachineWithTasks(t *testing.T) {
	controller := twoControllers(t)
	controller.putSegment(t, "b", 3, "vm-000077")
	job := controller.shardLeader.addJob(model.JobSpec{ID: "job-000900", Workload: "w", Team: "ops", Tasks: 1, Need: model.Resources{CPU: 1, Memory: 1}, ExpectedRunTime: time.Minute}, controller.now, 1)
	job.nextFresh, job.tasks[0].attempt, job.tasks[0].startSent = 1, 1, true
	controller.shardLeader.attachAttempt(job, 0, controller.shardLeader.ownedOrRemoteMachine("vm-000077"))
	if len(controller.shardLeader.remoteAttempts.machines) != 1 || controller.shardLeader.machines["vm-000077"] != nil {
		t.Fatal("got another shard's machine among the controller's own, want a remote machine")
	}
	controller.putSegment(t, "a", 4, "vm-000077")
	controller.syncShardLeader()
	machine := controller.shardLeader.machines["vm-000077"]
	if machine == nil || len(machine.attempts) != 1 || job.tasks[0].machine != machine || len(controller.shardLeader.remoteAttempts.machines) != 0 {
		t.Fatal("got the machine without its attempt, want both taken over")
	}
	if least := controller.now.Add(membershipLeaseTTL + controller.renewal.renewalGrace() + controller.settings.WorkerLease); machine.leaseEnd.Before(least) {
		t.Errorf("got the lease expired after %v, want at least %v", machine.leaseEnd.Sub(controller.now), least.Sub(controller.now))
	}
	// The machine is handed over to b again, with the attempt on it.
	controller.putSegment(t, "b", 5, "vm-000077", "vm-000079")
	controller.syncShardLeader()
	if remoteMachine := controller.shardLeader.remoteAttempts.machines["vm-000077"]; remoteMachine == nil || job.tasks[0].machine != remoteMachine || job.liveTasks != 1 {
		t.Error("got the attempt on a handed-over machine dropped, want it on the remote machine")
	}
}

// TestLeaseRestartsUnderNewEpoch guards against counting a worker's lease as expired too early.
// A machine with a new epoch may have had another owner in between, and a machine without a
// heartbeat that has another owner's tasks may have been answered by its former owner. Both
// leases must count from the last possible reply.
func TestLeaseRestartsUnderNewEpoch(t *testing.T) {
	controller := twoControllers(t)
	machine := controller.shardLeader.machinesByID[0]
	machine.formerOwnerUntil, machine.leaseEnd = time.Time{}, controller.renewal.leaseEndAfter(controller.now)
	controller.putSegment(t, "a", 4, machine.id, "vm-000088")
	controller.syncShardLeader()
	least := controller.now.Add(membershipLeaseTTL + controller.renewal.renewalGrace() + controller.settings.WorkerLease)
	if machine.epoch != 4 || machine.leaseEnd.Before(least) {
		t.Errorf("got epoch %d, lease expired after %v; want 4 and at least %v", machine.epoch, machine.leaseEnd.Sub(controller.now), least.Sub(controller.now))
	}
	controller.shardLeader.remoteAttempts.receiveRemoteRequests("b", []remote.Request{{Machine: "vm-000088", Attempts: []remote.AttemptRequest{{AttemptID: remote.AttemptID{Job: "job-000900", Index: 0, Attempt: 1}}}}})
	if machine = controller.shardLeader.machines["vm-000088"]; machine == nil || machine.heard || machine.leaseEnd.Before(least) {
		t.Errorf("got machine %+v with another owner's task, want one without a heartbeat whose lease lasts at least until %v", machine, least)
	}
}

// TestRemoteAttemptsAreLeftAlone guards against stopping a task of another controller's job on a
// machine of this controller, before that controller has requested the stop.
func TestRemoteAttemptsAreLeftAlone(t *testing.T) {
	controller := twoControllers(t)
	machine := controller.shardLeader.machinesByID[0]
	spec := model.JobSpec{ID: "job-000900", Workload: "w", Team: "lab", Tasks: 2, Need: model.Resources{CPU: 1, Memory: 2}}
	controller.frontend.watchCache.openJobs[spec.ID] = openJob{1, record.NewOpenJob(&spec, controller.now)}
	heartbeat := controller.poolHeartbeat(0)
	heartbeat.Sequence = 2
	heartbeat.Tasks = []model.TaskReport{{Job: spec.ID, Index: 0, Attempt: 1, Status: model.Running}}
	controller.shardLeader.heartbeats.applyHeartbeat(machine, heartbeat, true)
	controller.frontend.watchCache.asOf = controller.now.Add(time.Minute)
	controller.now = controller.now.Add(time.Minute)
	if commands := controller.shardLeader.dispatcher.reconcile(machine); len(commands) != 0 {
		t.Errorf("got commands %v, want none", commands)
	}
	if machine.isEmpty() || machine.otherShardsUsed.CPU != 1 || machine.hasUnknownTasks {
		t.Errorf("got resources of others' tasks %v, empty %v, unknown tasks %v; want 1 CPU, false and false", machine.otherShardsUsed, machine.isEmpty(), machine.hasUnknownTasks)
	}
	// A task of a cancelled job is stopped without a request: the job's owner may be
	// unreachable.
	rec := record.NewOpenJob(&spec, controller.now)
	rec.Cancelled = true
	controller.frontend.watchCache.openJobs[spec.ID] = openJob{2, rec}
	if commands := controller.shardLeader.dispatcher.reconcile(machine); len(commands) != 1 || commands[0].Kind != model.StopTask {
		t.Errorf("for a cancelled job: got commands %v, want a stop", commands)
	}
	controller.frontend.watchCache.openJobs[spec.ID] = openJob{1, record.NewOpenJob(&spec, controller.now)}
	// The task is stopped on its owner's request.
	controller.shardLeader.remoteAttempts.receiveRemoteRequests("b", []remote.Request{{Machine: machine.id, Attempts: []remote.AttemptRequest{{AttemptID: remote.AttemptID{Job: spec.ID, Index: 0, Attempt: 1}, Intent: remote.Stop}}}})
	if commands := controller.shardLeader.dispatcher.reconcile(machine); len(commands) != 1 || commands[0].Kind != model.StopTask {
		t.Errorf("on request: got commands %v, want a stop", commands)
	}
}

// TestCancelledWhileCheckpointing checks a task of another owner that is stopping with time to
// checkpoint when its job is cancelled. It must be stopped at once, although that owner is
// unreachable.
func TestCancelledWhileCheckpointing(t *testing.T) {
	controller := twoControllers(t)
	machine := controller.shardLeader.machinesByID[0]
	spec := model.JobSpec{ID: "job-000900", Workload: "w", Team: "lab", Tasks: 1, Need: model.Resources{CPU: 1, Memory: 2}}
	rec := record.NewOpenJob(&spec, controller.now)
	controller.frontend.watchCache.openJobs[spec.ID] = openJob{1, rec}
	heartbeat := controller.poolHeartbeat(0)
	heartbeat.Sequence, heartbeat.Tasks = 2, []model.TaskReport{{Job: spec.ID, Index: 0, Attempt: 1, Status: model.Checkpointing}}
	controller.shardLeader.heartbeats.applyHeartbeat(machine, heartbeat, true)
	attempt := remote.AttemptID{Job: spec.ID, Index: 0, Attempt: 1}
	controller.shardLeader.remoteAttempts.receiveRemoteRequests("b", []remote.Request{{Machine: machine.id, Attempts: []remote.AttemptRequest{{AttemptID: attempt, Intent: remote.Stop, WindDown: 20 * time.Second}}}})
	if commands := controller.shardLeader.dispatcher.reconcile(machine); len(commands) > 0 {
		t.Errorf("while it is checkpointing: got commands %v, want none", commands)
	}
	rec.Cancelled, rec.CancelledAtMillis = true, controller.now.UnixMilli()
	controller.frontend.watchCache.openJobs[spec.ID] = openJob{2, rec}
	want := model.TaskCommand{Kind: model.StopTask, Job: spec.ID, Attempt: 1}
	if commands := controller.shardLeader.dispatcher.reconcile(machine); len(commands) != 1 || commands[0] != want {
		t.Errorf("cancelled while it is checkpointing: got commands %+v, want %+v", commands, want)
	}
}

// TestStaleTeamReadIsIgnored guards against using the records read of a team that belonged to
// another shard in between, whose leader may have written more.
func TestStaleTeamReadIsIgnored(t *testing.T) {
	controller := twoControllers(t)
	staleTeam := &heldTeam{holdID: 1}
	controller.shardLeader.teams["ops"] = &heldTeam{holdID: 2}
	controller.shardLeader.recoverTeams(map[string]*heldTeam{"ops": staleTeam}, nil, nil, controller.now)
	if controller.shardLeader.teams["ops"].ready {
		t.Error("got the team ready after an outdated read, want it not ready")
	}
}

// TestHandedOverTeamLeavesTasks guards against placing tasks on capacity that is in use: an
// attempt of a handed-over team takes capacity on its machine, though no heartbeat has shown it.
// It also must not be reported as gone while its start may still be in flight.
func TestHandedOverTeamLeavesTasks(t *testing.T) {
	controller := twoControllers(t)
	controller.putShard(t, "a", "a", 6, true, "ops", "lab")
	controller.putShard(t, "b", "b", 7, false)
	controller.shardLeader.teams["lab"] = &heldTeam{ready: true}
	controller.syncShardLeader()
	machine := controller.shardLeader.machinesByID[0]
	spec := model.JobSpec{ID: "job-000900", Workload: "w", Team: "lab", Tasks: 1, Need: model.Resources{CPU: 3, Memory: 2}, ExpectedRunTime: time.Minute}
	controller.frontend.watchCache.openJobs[spec.ID] = openJob{1, record.NewOpenJob(&spec, controller.now)}
	job := controller.shardLeader.addJob(spec, controller.now, 1)
	job.nextFresh, job.tasks[0].attempt, job.tasks[0].startSent = 1, 1, true
	controller.shardLeader.attachAttempt(job, 0, machine)
	controller.putShard(t, "a", "a", 8, true, "ops")
	controller.putShard(t, "b", "b", 8, false, "lab")
	controller.syncShardLeader()
	// No heartbeat has followed the reply with the start.
	machine.replySequence, machine.seenEpoch = 3, machine.epoch
	if controller.shardLeader.jobs[spec.ID] != nil || machine.isEmpty() || machine.otherShardsUsed.CPU != 3 {
		t.Fatalf("after the hand-over: got resources of others' tasks %v, empty %v; want 3 CPU and false", machine.otherShardsUsed, machine.isEmpty())
	}
	requests := []remote.Request{{Machine: machine.id, Attempts: []remote.AttemptRequest{{AttemptID: remote.AttemptID{Job: spec.ID, Index: 0, Attempt: 1}}}}}
	publishedState := func() remote.State {
		controller.now, controller.effects = controller.now.Add(2*time.Second), nil
		controller.shardLeader.remoteAttempts.receiveRemoteRequests("b", requests)
		controller.shardLeader.remoteAttempts.publishRemoteAttempts()
		for _, update := range emittedEffects[message.SendPeerUpdate](controller) {
			if len(update.Update.RemoteStatuses) > 0 {
				return update.Update.RemoteStatuses[0].Attempts[0].State
			}
		}
		t.Fatal("got no state published, want one")
		return 0
	}
	heartbeat := controller.poolHeartbeat(0)
	heartbeat.Sequence, heartbeat.Epoch = 3, machine.epoch
	controller.shardLeader.heartbeats.applyHeartbeat(machine, heartbeat, true)
	if state := publishedState(); state != remote.Unknown {
		t.Errorf("while the start may be in flight: got state %v, want %v", state, remote.Unknown)
	}
	// A later heartbeat shows that the start was not executed.
	controller.putSegment(t, "a", 9, machine.id)
	controller.syncShardLeader()
	heartbeat = controller.poolHeartbeat(0)
	heartbeat.Sequence, heartbeat.Epoch = 4, machine.epoch
	controller.shardLeader.heartbeats.applyHeartbeat(machine, heartbeat, true)
	if state := publishedState(); state != remote.Gone {
		t.Errorf("under a higher epoch: got state %v, want %v", state, remote.Gone)
	}
}

// TestRemoteStateNeedsCurrentEpoch guards against applying outdated reports of remote attempts:
// a report about a machine counts only from the machine's owner and under its current epoch.
func TestRemoteStateNeedsCurrentEpoch(t *testing.T) {
	controller := twoControllers(t)
	controller.putSegment(t, "b", 5, "vm-000077")
	job := controller.shardLeader.addJob(model.JobSpec{ID: "job-000900", Workload: "w", Team: "ops", Tasks: 1, Need: model.Resources{CPU: 1, Memory: 1}, ExpectedRunTime: time.Minute}, controller.now, 1)
	job.nextFresh, job.tasks[0].attempt, job.tasks[0].startSent = 1, 1, true
	controller.shardLeader.attachAttempt(job, 0, controller.shardLeader.ownedOrRemoteMachine("vm-000077"))
	publish := func(from string, epoch uint64) {
		controller.shardLeader.remoteAttempts.receiveRemoteAttempts(from, []remote.MachineStatus{{Machine: "vm-000077", Epoch: epoch, Attempts: []remote.AttemptStatus{{AttemptID: remote.AttemptID{Job: job.ID, Index: 0, Attempt: 1}, State: remote.Gone}}}})
	}
	publish("b", 4)
	publish("c", 5)
	if job.liveTasks != 1 {
		t.Error("got the attempt ended by an update under an earlier epoch or from another controller, want it live")
	}
	publish("b", 5)
	if job.liveTasks != 0 || job.pendingTasks() != 1 {
		t.Errorf("after the owner's update: got %d live and %d pending tasks, want 0 and 1", job.liveTasks, job.pendingTasks())
	}
}

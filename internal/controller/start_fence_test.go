package controller

import (
	"testing"
	"time"

	"github.com/micahill/micahill/internal/message"
	"github.com/micahill/micahill/internal/model"
	"github.com/micahill/micahill/internal/record"
)

// fencedPool returns a controller that owns one machine under epoch, as of the given revision of the
// shard map.
func fencedPool(t *testing.T, epoch, revision uint64) (*Controller, *machine) {
	t.Helper()
	controller := largePool(1)
	members := &controller.membership
	machine := controller.shardLeader.machinesByID[0]
	members.loaded, members.leaseID, members.revision = true, 1, revision
	shard := record.Encode(map[string]any{"host": controller.settings.Host, "nonce": controller.incarnation(), "teams": []string{}, "rest": true})
	if err := members.shardMap.ApplyShard("a", shard, epoch); err != nil {
		t.Fatalf("got error %v, want none", err)
	}
	machine.epoch, machine.commandEpoch, machine.lastStartEpoch = epoch, epoch, epoch
	return controller, machine
}

// TestStartFence guards against a clear under the epoch of an earlier start: the worker would execute
// that start again if the network delivered it again. An epoch above the start's needs a revision of the
// shard map above it, at which this controller owns the machine.
func TestStartFence(t *testing.T) {
	for _, test := range []struct {
		name    string
		change  func(controller *Controller, machine *machine)
		want    bool
		command uint64
	}{
		{"no revision above the start", func(*Controller, *machine) {}, false, 7},
		{"later revision", func(controller *Controller, _ *machine) { controller.membership.revision = 9 }, true, 9},
		{"start under the later epoch", func(controller *Controller, machine *machine) {
			controller.membership.revision, machine.lastStartEpoch = 9, 9
		}, false, 7},
		{"epoch above all starts", func(_ *Controller, machine *machine) { machine.commandEpoch = 8 }, true, 8},
		{"lease lost", func(controller *Controller, _ *machine) {
			controller.membership.revision, controller.membership.leaseID = 9, 0
		}, false, 7},
		{"other owner", func(controller *Controller, machine *machine) {
			controller.membership.revision = 9
			controller.membership.shardMap.ApplyShard("a", record.Encode(map[string]any{"host": "other", "nonce": "x", "teams": []string{}, "rest": true}), 9)
		}, false, 7},
	} {
		t.Run(test.name, func(t *testing.T) {
			controller, machine := fencedPool(t, 7, 7)
			test.change(controller, machine)
			dispatcher := &controller.shardLeader.dispatcher
			got := dispatcher.canFenceStarts(machine)
			if got {
				dispatcher.fenceStarts(machine)
			}
			if got != test.want || machine.commandEpoch != test.command {
				t.Errorf("got fenced %v under epoch %d, want %v under %d", got, machine.commandEpoch, test.want, test.command)
			}
			if machine.awaitsOwnership == got {
				t.Errorf("got a read of the shard map awaited %v, want %v", machine.awaitsOwnership, !got)
			}
		})
	}
}

// TestStartFenceOfReturnedMachine guards against a machine that was removed and comes back, and is then
// cleared under an epoch that this controller has used for starts before.
func TestStartFenceOfReturnedMachine(t *testing.T) {
	controller, machine := fencedPool(t, 7, 12)
	machine.heard, machine.commandEpoch, machine.lastStartEpoch = true, 11, 11
	controller.shardLeader.removeMachine(machine)
	if got := controller.shardLeader.commandEpoch(machine.id, 7); got != 11 {
		t.Errorf("got command epoch %d of the removed machine, want 11", got)
	}
	returned := controller.shardLeader.ensureMachine(machine.id)
	if returned.commandEpoch != 11 || controller.shardLeader.dispatcher.canFenceStarts(returned) {
		t.Errorf("got command epoch %d, fenced %v, want 11 and not fenced", returned.commandEpoch, returned.commandEpoch > returned.lastStartEpoch)
	}
	controller.membership.revision = 13
	if !controller.shardLeader.dispatcher.canFenceStarts(returned) {
		t.Error("got not fenced at a later revision, want fenced")
	}
}

// TestOwnershipReads guards against a read of the shard map for each machine and each clear: all
// machines that wait share one read in ownershipReadInterval.
func TestOwnershipReads(t *testing.T) {
	controller, first := fencedPool(t, 7, 7)
	second := controller.shardLeader.ensureMachine("vm-second")
	second.lastStartEpoch = 7
	reads := 0
	for end := controller.now.Add(3*ownershipReadInterval - time.Millisecond); controller.now.Before(end); {
		controller.shardLeader.dispatcher.canFenceStarts(first)
		controller.shardLeader.dispatcher.canFenceStarts(second)
		for _, effect := range controller.Step(controller.now.Add(50*time.Millisecond), nil) {
			if request, ok := effect.(message.StoreRequest); ok && request.Kind == message.OpWatch && request.Key == record.ControlPrefix {
				reads++
				controller.Step(controller.now, []message.Command{message.StoreResponse{ID: request.ID, Revision: 7}})
			}
		}
	}
	if reads != 3 {
		t.Errorf("got %d reads in three intervals, want 3", reads)
	}
	if !first.awaitsOwnership || !second.awaitsOwnership {
		t.Error("got machines that no longer wait, want both waiting since no revision is above their starts")
	}
}

// TestStartWaitsForClear guards against a start on a machine that still lists an earlier attempt of the
// task: the worker refuses it. The start goes with the clear, once that is fenced.
func TestStartWaitsForClear(t *testing.T) {
	controller, machine := fencedPool(t, 7, 7)
	controller.shardLeader.jobs = map[string]*job{}
	machine.attempts = map[taskKey]*task{}
	job := controller.addJobOn("job-000900", machine)
	job.tasks[0].attempt = 2
	job.segmentOf(0).persistedVersion = 1
	controller.nextHeartbeat(0, model.TaskReport{Job: job.ID, Attempt: 1, Status: model.Ended, Cause: "stopped"})
	if commands := controller.shardLeader.dispatcher.reconcile(machine); len(commands) != 0 {
		t.Errorf("got commands %v before the clear is fenced, want none", commands)
	}
	controller.membership.revision = 9
	commands := controller.shardLeader.dispatcher.reconcile(machine)
	if len(commands) != 2 || commands[0].Kind != model.ClearTask || commands[1].Kind != model.StartTask {
		t.Errorf("got commands %v, want a clear and a start", commands)
	}
	if machine.commandEpoch != 9 || machine.lastStartEpoch != 9 {
		t.Errorf("got command epoch %d, last start epoch %d, want 9 and 9", machine.commandEpoch, machine.lastStartEpoch)
	}
}

// TestEpochOfOtherController guards against a proof by an epoch that this controller never used: a former
// owner may have raised its command epoch above the epoch under which this controller owns the machine, and
// its starts may still be executed.
func TestEpochOfOtherController(t *testing.T) {
	controller, machine := fencedPool(t, 7, 7)
	for _, test := range []struct {
		seen uint64
		want bool
	}{{6, false}, {7, true}, {8, true}, {9, false}} {
		machine.commandEpoch, machine.seenEpoch = 8, test.seen
		if got := controller.shardLeader.dispatcher.noStartInFlight(machine); got != test.want {
			t.Errorf("seen epoch %d: got no start in flight %v, want %v", test.seen, got, test.want)
		}
	}
}

// TestClearWaitsForStartInFlight guards against a clear while a start may be in flight: the worker would start
// the attempt again if the start arrived after the clear. No heartbeat has followed a reply with starts, or the
// worker has not seen the epoch of this controller.
func TestClearWaitsForStartInFlight(t *testing.T) {
	for _, test := range []struct {
		name   string
		change func(machine *machine)
		want   int
	}{
		{"a reply with starts that no heartbeat has followed", func(machine *machine) { machine.replySequence = machine.sequence }, 0},
		{"a former owner's start", func(machine *machine) { machine.seenEpoch = machine.epoch - 1 }, 0},
		{"a restarted worker", func(machine *machine) { machine.restartEpoch = machine.seenEpoch }, 0},
		{"none", func(*machine) {}, 1},
	} {
		t.Run(test.name, func(t *testing.T) {
			controller, machine := fencedPool(t, 7, 9)
			controller.shardLeader.jobs = map[string]*job{}
			machine.attempts = map[taskKey]*task{}
			job := controller.addJobOn("job-000900", machine)
			job.segmentOf(0).persistedVersion = job.segmentOf(0).version
			controller.nextHeartbeat(0, model.TaskReport{Job: job.ID, Attempt: 1, Status: model.Ended, Cause: "done"})
			job.segmentOf(0).persistedVersion = job.segmentOf(0).version
			test.change(machine)
			commands := controller.shardLeader.dispatcher.reconcile(machine)
			if len(commands) != test.want || len(commands) > 0 && commands[0].Kind != model.ClearTask {
				t.Errorf("got commands %v, want %d clears", commands, test.want)
			}
		})
	}
}

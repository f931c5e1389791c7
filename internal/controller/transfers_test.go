package controller

import (
	"slices"
	"testing"
	"time"

	"github.com/micahill/micahill/internal/exchange"
	"github.com/micahill/micahill/internal/message"
	"github.com/micahill/micahill/internal/model"
	"github.com/micahill/micahill/internal/record"
)

// addOtherShardLeader adds a second shard leader, which runs a team of its own.
func (controller *Controller) addOtherShardLeader(t *testing.T) {
	t.Helper()
	controller.settings.Teams = append(controller.settings.Teams, model.Team{Name: "lab"})
	controller.putShard(t, "b", "b", 2, false, "lab")
}

// updateTransfers computes requests and offers as if leaderPeriod had passed since the last
// update.
func (controller *Controller) updateTransfers() *machineTransfers {
	transfers := &controller.shardLeader.transfers
	transfers.updatedAt = time.Time{}
	transfers.update()
	return transfers
}

// TestTransferRequests checks for which waiting jobs a shard leader requests capacity of other
// shard leaders. A request for a job that is about to be served here would take a machine away
// from another owner without need.
func TestTransferRequests(t *testing.T) {
	waited := leftWaitingAfter + time.Second
	for _, tc := range []struct {
		name   string
		alone  bool
		waited time.Duration
		change func(*Controller, *job)
		want   int
	}{
		{"a job left waiting", false, waited, nil, 1},
		{"some tasks run", false, waited, func(_ *Controller, job *job) { job.liveTasks = 1 }, 0},
		{"some tasks run and the wait has reached partlyRunningWait", false, partlyRunningWait, func(_ *Controller, job *job) { job.liveTasks = 1 }, 1},
		{"no other shard leader", true, waited, nil, 0},
		{"not left waiting yet", false, leftWaitingAfter - time.Second, nil, 0},
		{"a machine is about to be ready", false, waited, (*Controller).expectRack, 0},
		{"free capacity here", false, waited, func(_ *Controller, job *job) { job.Need.CPU = 1 }, 0},
		{"team at its limit", false, waited, func(controller *Controller, _ *job) { controller.settings.Teams[0].QuotaLimit.CPU = 30 }, 0},
		{"just after a takeover", false, waited, func(controller *Controller, _ *job) { controller.shardLeader.readyAt = controller.now }, 0},
		{"a machine is being handed over by another shard leader", false, waited, func(controller *Controller, _ *job) {
			controller.shardLeader.fleet.view.rentals["vm-000007"] = &rental{id: "vm-000007", machineKind: machineKind{"rack", "z", true}, status: statusComing, rentedAt: controller.now.Add(-time.Hour)}
		}, 0},
		{"two jobs with the same kind of task", false, waited, func(controller *Controller, job *job) {
			other := newJob(job.JobSpec, job.submittedAt, 1, 4096)
			other.ID, other.waitingSince = "job-other", job.waitingSince
			controller.shardLeader.jobs[other.ID] = other
		}, 2},
	} {
		t.Run(tc.name, func(t *testing.T) {
			controller, job := waitingPool(tc.waited)
			if !tc.alone {
				controller.addOtherShardLeader(t)
			}
			if tc.change != nil {
				tc.change(controller, job)
			}
			got := 0
			for _, request := range controller.updateTransfers().requests {
				got += request.Jobs
				if request.Team != "ops" || request.Need != job.Need || request.Waited < tc.waited || !slices.Equal(request.Kinds, []exchange.Kind{{MachineType: "rack", Zone: "z", Spot: true}, {MachineType: "rack", Zone: "z"}}) {
					t.Errorf("got request %+v, want one with the job's team, need, kinds and wait", request)
				}
			}
			if got != tc.want {
				t.Errorf("got requests for %d jobs, want %d", got, tc.want)
			}
		})
	}
}

// offeringPool returns a shard leader with a rack that a long job fills in part, and the rack.
// Another shard leader requests the remaining capacity of the rack.
func offeringPool(t *testing.T) (*Controller, *machine) {
	t.Helper()
	controller, job := waitingPool(time.Second)
	delete(controller.shardLeader.jobs, job.ID)
	controller.addOtherShardLeader(t)
	machine := controller.shardLeader.machinesByID[0]
	machine.ownedSince, machine.lastPlacedAt = controller.now.Add(-exchange.MinOwnership), controller.now.Add(-minTimeSincePlacement)
	for key, attempt := range machine.attempts {
		attempt.startSent = true
		controller.shardLeader.heartbeats.applyTaskReport(machine, key, model.TaskReport{Job: key.job, Index: key.index, Attempt: attempt.attempt, Status: model.Running})
	}
	machine.epoch, machine.seenEpoch = 1, 1
	controller.shardLeader.transfers.receiveRequests([]exchange.TransferRequest{{Team: "lab", Kinds: []exchange.Kind{{MachineType: "rack", Zone: "z", Spot: true}}, Need: model.Resources{CPU: 2, Memory: 2}, Jobs: 1, Waited: 50 * time.Second}})
	return controller, machine
}

// TestTransferOffers checks that a machine in use is offered on request, and that a machine is
// not offered while a change of owner would disturb its tasks or take capacity that its owner
// needs.
func TestTransferOffers(t *testing.T) {
	attemptOf := func(machine *machine) *task {
		for _, key := range sortedAttempts(machine) {
			return machine.attempts[key]
		}
		return nil
	}
	for _, tc := range []struct {
		name   string
		change func(*Controller, *machine)
		want   int
	}{
		{"in use", func(*Controller, *machine) {}, 1},
		{"just handed over", func(controller *Controller, machine *machine) {
			machine.ownedSince = controller.now.Add(time.Second - exchange.MinOwnership)
		}, 0},
		{"used recently", func(controller *Controller, machine *machine) { machine.lastPlacedAt = controller.now }, 0},
		{"used recently and the wait has reached busyMachineWait", func(controller *Controller, machine *machine) {
			machine.lastPlacedAt = controller.now
			controller.shardLeader.transfers.othersRequests[0].Waited = busyMachineWait
		}, 1},
		{"released", func(_ *Controller, machine *machine) { machine.releasing = true }, 0},
		{"about to be reclaimed", func(controller *Controller, machine *machine) {
			machine.reclaimNoticed, machine.reclaimAt = true, controller.now.Add(time.Minute)
		}, 0},
		{"faulty", func(_ *Controller, machine *machine) { machine.faulty = true }, 0},
		{"no heartbeat received", func(_ *Controller, machine *machine) { machine.heard = false }, 0},
		{"reserved for a job", func(_ *Controller, machine *machine) { machine.reservedFor = "job-000001" }, 0},
		{"reserved for a migrating replica", func(_ *Controller, machine *machine) { machine.reservedForMigration = model.Resources{CPU: 1} }, 0},
		{"evacuated for another shard leader", func(_ *Controller, machine *machine) { machine.evacuatingForOtherShard = true }, 0},
		{"a start in flight", func(_ *Controller, machine *machine) { machine.replySequence = 1 }, 0},
		{"a task being stopped", func(_ *Controller, machine *machine) { attemptOf(machine).stopReason = stopPreempt }, 0},
		{"a task not reported yet", func(_ *Controller, machine *machine) { attemptOf(machine).reported = false }, 0},
		{"request expired", func(controller *Controller, _ *machine) {
			controller.shardLeader.transfers.receivedAt = controller.now.Add(-updateTTL - time.Second)
		}, 0},
		{"no request", func(controller *Controller, _ *machine) { controller.shardLeader.transfers.othersRequests = nil }, 0},
		{"a job of the owner waits for the machine", func(controller *Controller, _ *machine) {
			controller.shardLeader.jobs["job-own"] = newJob(model.JobSpec{ID: "job-own", Workload: "batch", Team: "ops", Tasks: 1, AllowSpot: true, Need: model.Resources{CPU: 1, Memory: 1}}, controller.now, 1, 4096)
		}, 0},
	} {
		t.Run(tc.name, func(t *testing.T) {
			controller, machine := offeringPool(t)
			tc.change(controller, machine)
			if got := controller.updateTransfers().offers; len(got) != tc.want {
				t.Errorf("got offers %+v, want %d", got, tc.want)
			}
		})
	}
}

// transferringLeader returns a leader that also leads a shard with a waiting job. Another shard
// leader, b, owns a machine on which the job fits.
func transferringLeader(t *testing.T) *Controller {
	t.Helper()
	controller, _ := waitingPool(leftWaitingAfter + time.Second)
	controller.addOtherShardLeader(t)
	controller.putSegment(t, "b", 3, "vm-000077")
	controller.leader = newLeader(controller)
	controller.leader.rentals["vm-000077"] = &rental{id: "vm-000077", machineKind: machineKind{"rack", "z", true}, status: "running", rentedAt: controller.now.Add(-time.Hour)}
	controller.updateTransfers()
	return controller
}

// offerFromB delivers an update from shard leader b that offers one machine.
func (controller *Controller) offerFromB(incarnation, machine string) {
	controller.leader.receiveUpdate(controller.now, message.PeerUpdate{From: "b", Incarnation: incarnation, IsCapacityRequest: true,
		TransferOffers: []exchange.TransferOffer{{ID: machine, Kind: exchange.Kind{MachineType: "rack", Zone: "z", Spot: true}, Free: model.Resources{CPU: 10, Memory: 30}, Attempts: 2}}})
}

// TestLeaderTransfersOffer checks that the leader assigns an offered machine to the shard leader
// that requests one. An offer that its sender may not make must change nothing, or a machine
// would change owners while it is in use by another or being released.
func TestLeaderTransfersOffer(t *testing.T) {
	for _, tc := range []struct {
		name                 string
		incarnation, machine string
		change               func(*Controller)
		want, wantRejected   int
	}{
		{"valid", "b#1", "vm-000077", nil, 1, 0},
		{"unknown machine", "b#1", "vm-000099", nil, 0, 1},
		{"machine that another shard leader owns", "b#1", "vm-000000", func(controller *Controller) {
			controller.leader.rentals["vm-000000"] = &rental{id: "vm-000000", machineKind: machineKind{"rack", "z", true}, status: "running"}
		}, 0, 1},
		{"sender is a former incarnation", "b#0", "vm-000077", nil, 0, 0},
		{"machine handed over recently", "b#1", "vm-000077", func(controller *Controller) { controller.leader.handedOverAt["vm-000077"] = controller.now }, 0, 0},
		{"machine being released", "b#1", "vm-000077", func(controller *Controller) { controller.leader.rentals["vm-000077"].releasing = true }, 0, 0},
		{"cloud lists another machine type", "b#1", "vm-000077", func(controller *Controller) { controller.leader.rentals["vm-000077"].machineType = "box" }, 0, 0},
		{"team beyond its quota of transfers", "b#1", "vm-000077", func(controller *Controller) {
			for range 1000 {
				controller.leader.transferQuota.Allow(controller.now, "ops")
			}
		}, 0, 0},
	} {
		t.Run(tc.name, func(t *testing.T) {
			controller := transferringLeader(t)
			if tc.change != nil {
				tc.change(controller)
			}
			controller.offerFromB(tc.incarnation, tc.machine)
			controller.leader.transferMachines()
			if got := len(controller.leader.sharding.unrecordedMachines); got != tc.want || controller.rejectedInputs != tc.wantRejected {
				t.Errorf("got %d transfers and %d rejected inputs, want %d and %d", got, controller.rejectedInputs, tc.want, tc.wantRejected)
			}
		})
	}
}

// TestTransferToControllerWithoutShard checks that a machine stays with its owner if the
// receiver loses its shard before the transfer is written. Otherwise the machine would belong to
// no shard leader.
func TestTransferToControllerWithoutShard(t *testing.T) {
	controller := transferringLeader(t)
	controller.leader.handOver(exchange.Transfer{ID: "vm-000077", From: "b", To: "gone"})
	controller.membership.controllers["gone"] = record.Member{Incarnation: "gone#1"}
	if input := controller.leader.planningInput(); len(input.NewMachines) != 0 || controller.leader.assignedHost("vm-000077") != "b" {
		t.Errorf("got new machines %v and the machine assigned to %q, want no new machines and the machine assigned to b", input.NewMachines, controller.leader.assignedHost("vm-000077"))
	}
}

// TestLeaderRequestsOneMachineForItself guards against a leader that transfers several machines to its own shard
// for one waiting job: until the transfer is recorded, it owns the machine neither by the shard map nor by its own
// list of machines.
func TestLeaderRequestsOneMachineForItself(t *testing.T) {
	controller := transferringLeader(t)
	controller.putSegment(t, "b", 4, "vm-000078")
	controller.leader.rentals["vm-000078"] = &rental{id: "vm-000078", machineKind: machineKind{"rack", "z", true}, status: "running", rentedAt: controller.now.Add(-time.Hour)}
	controller.offerFromB("b#1", "vm-000077")
	controller.leader.transferMachines()
	for _, recompute := range []bool{false, true} {
		controller.now = controller.now.Add(leaderPeriod)
		if recompute {
			controller.updateTransfers()
		}
		controller.offerFromB("b#1", "vm-000078")
		controller.leader.transferMachines()
		if got := len(controller.leader.sharding.unrecordedMachines); got != 1 {
			t.Errorf("requests computed again %v: got %d transfers for one job, want 1", recompute, got)
		}
	}
}

// TestRequestsOfOthers checks that the leader publishes to each shard leader the requests of the
// others, and not its own.
func TestRequestsOfOthers(t *testing.T) {
	controller := transferringLeader(t)
	others := controller.leader.requestsOfOthers([]string{"a", "b"})
	if len(others["a"]) != 0 || len(others["b"]) != 1 || others["b"][0].Team != "ops" {
		t.Errorf("got requests %v, want those of a published to b", others)
	}
}

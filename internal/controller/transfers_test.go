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

// beside adds a second shard leader, which runs a team of its own.
func (c *Controller) beside(t *testing.T) {
	t.Helper()
	c.settings.Teams = append(c.settings.Teams, model.Team{Name: "lab"})
	c.putShard(t, "b", "b", 2, false, "lab")
}

// updateTransfers computes requests and offers as if leaderPeriod had passed since the last
// update.
func (c *Controller) updateTransfers() *machineTransfers {
	x := &c.shardLeader.transfers
	x.updatedAt = time.Time{}
	x.update()
	return x
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
		{"some tasks run", false, waited, func(_ *Controller, j *job) { j.liveTasks = 1 }, 0},
		{"some tasks run and the wait has reached partlyRunningWait", false, partlyRunningWait, func(_ *Controller, j *job) { j.liveTasks = 1 }, 1},
		{"no other shard leader", true, waited, nil, 0},
		{"not left waiting yet", false, leftWaitingAfter - time.Second, nil, 0},
		{"a machine is about to be ready", false, waited, (*Controller).expectRack, 0},
		{"free capacity here", false, waited, func(_ *Controller, j *job) { j.Need.CPU = 1 }, 0},
		{"team at its limit", false, waited, func(c *Controller, _ *job) { c.settings.Teams[0].QuotaLimit.CPU = 30 }, 0},
		{"just after a takeover", false, waited, func(c *Controller, _ *job) { c.shardLeader.readyAt = c.now }, 0},
		{"a machine is being handed over by another shard leader", false, waited, func(c *Controller, _ *job) {
			c.shardLeader.fleet.view.rentals["vm-000007"] = &rental{id: "vm-000007", machineKind: machineKind{"rack", "z", true}, status: statusComing, rentedAt: c.now.Add(-time.Hour)}
		}, 0},
		{"two jobs with the same kind of task", false, waited, func(c *Controller, j *job) {
			other := newJob(j.JobSpec, j.submittedAt, 1, 4096)
			other.ID, other.waitingSince = "job-other", j.waitingSince
			c.shardLeader.jobs[other.ID] = other
		}, 2},
	} {
		t.Run(tc.name, func(t *testing.T) {
			c, j := waitingPool(tc.waited)
			if !tc.alone {
				c.beside(t)
			}
			if tc.change != nil {
				tc.change(c, j)
			}
			got := 0
			for _, r := range c.updateTransfers().requests {
				got += r.Jobs
				if r.Team != "ops" || r.Need != j.Need || r.Waited < tc.waited || !slices.Equal(r.Kinds, []exchange.Kind{{MachineType: "rack", Zone: "z", Spot: true}, {MachineType: "rack", Zone: "z"}}) {
					t.Errorf("got request %+v, want one with the job's team, need, kinds and wait", r)
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
	c, j := waitingPool(time.Second)
	delete(c.shardLeader.jobs, j.ID)
	c.beside(t)
	m := c.shardLeader.machinesByID[0]
	m.ownedSince, m.lastPlacedAt = c.now.Add(-exchange.MinOwnership), c.now.Add(-quietTime)
	for k, a := range m.attempts {
		a.startSent = true
		c.shardLeader.heartbeats.applyTaskReport(m, k, model.TaskReport{Job: k.job, Index: k.index, Attempt: a.attempt, Status: model.Running})
	}
	m.epoch, m.seenEpoch = 1, 1
	c.shardLeader.transfers.receiveRequests([]exchange.TransferRequest{{Team: "lab", Kinds: []exchange.Kind{{MachineType: "rack", Zone: "z", Spot: true}}, Need: model.Resources{CPU: 2, Memory: 2}, Jobs: 1, Waited: 50 * time.Second}})
	return c, m
}

// TestTransferOffers checks that a machine in use is offered on request, and that a machine is
// not offered while a change of owner would disturb its tasks or take capacity that its owner
// needs.
func TestTransferOffers(t *testing.T) {
	attemptOf := func(m *machine) *task {
		for _, k := range sortedAttempts(m) {
			return m.attempts[k]
		}
		return nil
	}
	for _, tc := range []struct {
		name   string
		change func(*Controller, *machine)
		want   int
	}{
		{"in use", func(*Controller, *machine) {}, 1},
		{"just handed over", func(c *Controller, m *machine) { m.ownedSince = c.now.Add(time.Second - exchange.MinOwnership) }, 0},
		{"used recently", func(c *Controller, m *machine) { m.lastPlacedAt = c.now }, 0},
		{"used recently and the wait has reached busyMachineWait", func(c *Controller, m *machine) {
			m.lastPlacedAt = c.now
			c.shardLeader.transfers.othersRequests[0].Waited = busyMachineWait
		}, 1},
		{"released", func(_ *Controller, m *machine) { m.releasing = true }, 0},
		{"about to be reclaimed", func(c *Controller, m *machine) { m.reclaimNoticed, m.reclaimAt = true, c.now.Add(time.Minute) }, 0},
		{"faulty", func(_ *Controller, m *machine) { m.faulty = true }, 0},
		{"no heartbeat received", func(_ *Controller, m *machine) { m.heard = false }, 0},
		{"reserved for a job", func(_ *Controller, m *machine) { m.reservedFor = "job-000001" }, 0},
		{"reserved for a migrating replica", func(_ *Controller, m *machine) { m.reservedForMigration = model.Resources{CPU: 1} }, 0},
		{"evacuated for another shard leader", func(_ *Controller, m *machine) { m.evacuatingForOther = true }, 0},
		{"a start in flight", func(_ *Controller, m *machine) { m.unackedStartEpoch = 1 }, 0},
		{"a task being stopped", func(_ *Controller, m *machine) { attemptOf(m).stopReason = stopPreempt }, 0},
		{"a task not reported yet", func(_ *Controller, m *machine) { attemptOf(m).reported = false }, 0},
		{"request expired", func(c *Controller, _ *machine) {
			c.shardLeader.transfers.receivedAt = c.now.Add(-updateTTL - time.Second)
		}, 0},
		{"no request", func(c *Controller, _ *machine) { c.shardLeader.transfers.othersRequests = nil }, 0},
		{"a job of the owner waits for the machine", func(c *Controller, _ *machine) {
			c.shardLeader.jobs["job-own"] = newJob(model.JobSpec{ID: "job-own", Workload: "batch", Team: "ops", Tasks: 1, AllowSpot: true, Need: model.Resources{CPU: 1, Memory: 1}}, c.now, 1, 4096)
		}, 0},
	} {
		t.Run(tc.name, func(t *testing.T) {
			c, m := offeringPool(t)
			tc.change(c, m)
			if got := c.updateTransfers().offers; len(got) != tc.want {
				t.Errorf("got offers %+v, want %d", got, tc.want)
			}
		})
	}
}

// transferringLeader returns a leader that also leads a shard with a waiting job. Another shard
// leader, b, owns a machine on which the job fits.
func transferringLeader(t *testing.T) *Controller {
	t.Helper()
	c, _ := waitingPool(leftWaitingAfter + time.Second)
	c.beside(t)
	c.putSegment(t, "b", 3, "vm-000077")
	c.leader = newLeader(c)
	c.leader.rentals["vm-000077"] = &rental{id: "vm-000077", machineKind: machineKind{"rack", "z", true}, status: "running", rentedAt: c.now.Add(-time.Hour)}
	c.updateTransfers()
	return c
}

// offerFromB delivers an update from shard leader b that offers one machine.
func (c *Controller) offerFromB(incarnation, machine string) {
	c.leader.receiveUpdate(c.now, message.PeerUpdate{From: "b", Incarnation: incarnation, IsCapacityRequest: true,
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
		{"machine that another shard leader owns", "b#1", "vm-000000", func(c *Controller) {
			c.leader.rentals["vm-000000"] = &rental{id: "vm-000000", machineKind: machineKind{"rack", "z", true}, status: "running"}
		}, 0, 1},
		{"sender is a former incarnation", "b#0", "vm-000077", nil, 0, 0},
		{"machine handed over recently", "b#1", "vm-000077", func(c *Controller) { c.leader.handedOverAt["vm-000077"] = c.now }, 0, 0},
		{"machine being released", "b#1", "vm-000077", func(c *Controller) { c.leader.rentals["vm-000077"].releasing = true }, 0, 0},
		{"cloud lists another machine type", "b#1", "vm-000077", func(c *Controller) { c.leader.rentals["vm-000077"].machineType = "box" }, 0, 0},
		{"team beyond its quota of transfers", "b#1", "vm-000077", func(c *Controller) {
			for range 1000 {
				c.leader.transferQuota.Allow(c.now, "ops")
			}
		}, 0, 0},
	} {
		t.Run(tc.name, func(t *testing.T) {
			c := transferringLeader(t)
			if tc.change != nil {
				tc.change(c)
			}
			c.offerFromB(tc.incarnation, tc.machine)
			c.leader.transferMachines()
			if got := len(c.leader.sharding.unrecordedMachines); got != tc.want || c.rejectedInputs != tc.wantRejected {
				t.Errorf("got %d transfers and %d rejected inputs, want %d and %d", got, c.rejectedInputs, tc.want, tc.wantRejected)
			}
		})
	}
}

// TestTransferToControllerWithoutShard checks that a machine stays with its owner if the
// receiver loses its shard before the transfer is written. Otherwise the machine would belong to
// no shard leader.
func TestTransferToControllerWithoutShard(t *testing.T) {
	c := transferringLeader(t)
	c.leader.handOver(exchange.Transfer{ID: "vm-000077", From: "b", To: "gone"})
	c.membership.controllers["gone"] = record.Member{Incarnation: "gone#1"}
	if in := c.leader.planningInput(); len(in.NewMachines) != 0 || c.leader.assignedHost("vm-000077") != "b" {
		t.Errorf("got new machines %v and the machine assigned to %q, want no new machines and the machine assigned to b", in.NewMachines, c.leader.assignedHost("vm-000077"))
	}
}

// TestRequestsOfOthers checks that the leader publishes to each shard leader the requests of the
// others, and not its own.
func TestRequestsOfOthers(t *testing.T) {
	c := transferringLeader(t)
	others := c.leader.requestsOfOthers([]string{"a", "b"})
	if len(others["a"]) != 0 || len(others["b"]) != 1 || others["b"][0].Team != "ops" {
		t.Errorf("got requests %v, want those of a published to b", others)
	}
}

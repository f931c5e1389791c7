package controller

import (
	"time"

	"github.com/micahill/micahill/internal/exchange"
	"github.com/micahill/micahill/internal/message"
	"github.com/micahill/micahill/internal/model"
)

// transfer_requests.go is a shard leader's part in transfers of machines that are in use, which
// internal/exchange decides. If other shard leaders run teams, a shard leader requests capacity for
// each of its jobs that is left waiting for lack of capacity, and the leader publishes the request
// to the other shard leaders. They offer machines with free capacity, and the leader transfers
// those that suit the request; see transfers.go. A transferred machine changes shards like any
// other machine: the tasks on it continue as remote attempts.

// partlyRunningWait is how long a job must be left waiting before capacity is requested for it if
// some of its tasks run, since the end of a running task mostly frees capacity for the next one. The
// rest of the 90 s that the operators allow must suffice for the transfer.
const partlyRunningWait = 65 * time.Second

const (
	// quietTime is how long an owner must have placed no task on a machine before it offers the
	// machine for any request. A machine on which the owner has placed a task more recently is
	// offered only if a job has waited for busyMachineWait.
	quietTime = 30 * time.Second
	// busyMachineWait is how long a job of another shard leader must have waited before machines
	// are offered that their owner has used within quietTime.
	busyMachineWait = 75 * time.Second
)

// transferSettleTime is how long after its arrival a transferred machine may go without a task. Until
// then, capacity is not requested for the number of jobs that the machine could serve.
const transferSettleTime = 8 * time.Second

// machineTransfers holds a shard leader's requests for capacity on machines of other shard
// leaders, and its offers to them.
//
// It is part of a shardLeader, and its methods are called only while that shard leader is
// active. It stores no records: a successor computes its own requests from the jobs, and the
// leader repeats the requests of the other shard leaders every second.
//
// Invariant: no machine is offered within exchange.MinOwnership after it came to this shard
// leader, nor a machine that is released, about to be reclaimed, reserved, possibly unreachable
// or in an unknown state.
type machineTransfers struct {
	component

	// requests are this shard leader's own requests, and offers are its answers to the requests
	// of other shard leaders.
	requests []exchange.TransferRequest
	offers   []exchange.TransferOffer
	// updatedAt is when requests and offers were last computed.
	updatedAt time.Time
	// othersRequests are the requests of other shard leaders, as the leader published them at
	// receivedAt.
	othersRequests []exchange.TransferRequest
	receivedAt     time.Time
}

// receiveRequests stores the requests of other shard leaders, as the leader publishes them.
func (x *machineTransfers) receiveRequests(requests []exchange.TransferRequest) {
	x.othersRequests, x.receivedAt = requests, x.now
}

// update computes the requests and offers anew, at most once per leaderPeriod. There are none if
// a single shard leader runs all teams, or until the machines have been heard after a takeover.
func (x *machineTransfers) update() {
	s := x.controller.shardLeader
	if x.now.Sub(x.updatedAt) < leaderPeriod {
		return
	}
	x.updatedAt, x.requests, x.offers = x.now, nil, nil
	if !x.controller.membership.hasOtherShardLeaders() || x.now.Sub(s.readyAt) <= settleTime {
		return
	}
	x.requests = x.newRequests(s.scheduler.jobsLeftWaiting())
	if len(x.othersRequests) > 0 && x.now.Sub(x.receivedAt) <= updateTTL {
		x.offers = exchange.SelectOffers(x.othersRequests, x.candidates(x.longestWait() < busyMachineWait), x.ownWaitingTasks(), x.controller.knowledge.sizeOfKind, message.MaxTransferOffers)
	}
}

// newRequests returns the requests for jobs that are left waiting. Jobs whose tasks are alike
// share a request. The jobs with the longest waits come first.
func (x *machineTransfers) newRequests(waiting []waitingJob) []exchange.TransferRequest {
	var out []exchange.TransferRequest
	index := map[taskShape]int{}
	diagnosis := x.controller.shardLeader.scheduler.newWaitDiagnosis()
	for _, w := range waiting {
		if w.job.borrowedLoan != "" || w.job.liveTasks > 0 && w.waited < partlyRunningWait || diagnosis.reason(w) != waitsForCapacity {
			continue
		}
		shape := w.job.taskShape()
		if i, known := index[shape]; known && out[i].Team == w.job.Team {
			out[i].Jobs++
			continue
		}
		kinds := x.allowedKinds(w.job)
		if len(out) >= message.MaxTransferRequests || len(kinds) == 0 {
			continue
		}
		index[shape] = len(out)
		out = append(out, exchange.TransferRequest{Team: w.job.Team, Kinds: kinds, Need: w.job.Need, Jobs: 1, Waited: w.waited})
	}
	return x.withoutArriving(out)
}

// withoutArriving reduces requests by the number of jobs that arriving machines will serve.
func (x *machineTransfers) withoutArriving(requests []exchange.TransferRequest) []exchange.TransferRequest {
	arriving := x.arrivingKinds()
	var out []exchange.TransferRequest
	for _, r := range requests {
		for _, k := range r.Kinds {
			r.Jobs -= arriving[k]
		}
		if r.Jobs > 0 {
			out = append(out, r)
		}
	}
	return out
}

// arrivingKinds counts, by kind, the machines that come from other owners and have not been
// heard here yet.
func (x *machineTransfers) arrivingKinds() map[exchange.Kind]int {
	s := x.controller.shardLeader
	out := map[exchange.Kind]int{}
	for _, m := range s.machinesByID {
		if x.now.Sub(m.ownedSince) < transferSettleTime && !m.heard && m.machineType != "" {
			out[exchange.Kind{MachineType: m.machineType, Zone: m.zone, Spot: m.spot}]++
		}
	}
	if v := s.fleet.view; v != nil {
		for id, r := range v.rentals {
			if r.status == statusComing && s.machines[id] == nil {
				out[r.machineKind.exchangeKind()]++
			}
		}
	}
	return out
}

// allowedKinds returns the kinds of machines on which a task of a job may run at present.
func (x *machineTransfers) allowedKinds(j *job) []exchange.Kind {
	var out []exchange.Kind
	for _, name := range sortedKeys(x.controller.knowledge.machineTypes) {
		machineType := x.controller.knowledge.machineTypes[name]
		if !j.Need.Fits(machineType.Capacity) {
			continue
		}
		for _, zone := range machineType.Zones {
			for _, spot := range [...]bool{true, false} {
				if j.allowsMachine(name, zone, spot) && j.zoneAllowed(zone) && len(out) < message.MaxTransferKinds {
					out = append(out, exchange.Kind{MachineType: name, Zone: zone, Spot: spot})
				}
			}
		}
	}
	return out
}

// longestWait returns the longest wait among the requests of other shard leaders.
func (x *machineTransfers) longestWait() time.Duration {
	longest := time.Duration(0)
	for _, r := range x.othersRequests {
		longest = max(longest, r.Waited)
	}
	return longest
}

// candidates returns an offer for each machine that may be offered. If quietOnly is set, it
// leaves out machines on which a task was placed within quietTime.
func (x *machineTransfers) candidates(quietOnly bool) []exchange.TransferOffer {
	var out []exchange.TransferOffer
	for _, m := range x.controller.shardLeader.machinesByID {
		if quietOnly && x.now.Sub(m.lastPlacedAt) < quietTime {
			continue
		}
		if x.mayOffer(m) {
			kind := exchange.Kind{MachineType: m.machineType, Zone: m.zone, Spot: m.spot}
			out = append(out, exchange.TransferOffer{ID: m.id, Kind: kind, Free: m.free(), Attempts: len(m.attempts)})
		}
	}
	return out
}

// sizeOfKind returns the capacity of the machines of a kind.
func (k *fleetKnowledge) sizeOfKind(kind exchange.Kind) model.Resources {
	return k.machineTypes[kind.MachineType].Capacity
}

// mayOffer reports whether a machine may be offered to other owners at present.
func (x *machineTransfers) mayOffer(m *machine) bool {
	s := x.controller.shardLeader
	switch {
	case x.now.Sub(m.ownedSince) < exchange.MinOwnership:
		return false
	case !s.scheduler.usable(m) || !s.dispatcher.noStartInFlight(m):
		return false
	case m.reservedFor != "" || m.evacuatingForOther || m.reservedForMigration != (model.Resources{}):
		return false
	}
	for _, t := range m.attempts {
		// An attempt that is being stopped, or that was placed and is not reported yet, would
		// change owners in the middle of this transition.
		if t.stopReason != stopNone || !t.reported {
			return false
		}
	}
	return true
}

// ownWaitingTasks returns the next tasks of the jobs that wait at this shard leader: one for
// each group of jobs whose tasks are alike, with the longest wait in the group.
func (x *machineTransfers) ownWaitingTasks() []exchange.WaitingTask {
	s := x.controller.shardLeader
	var out []exchange.WaitingTask
	index := map[taskShape]int{}
	for _, id := range sortedKeys(s.jobs) {
		j := s.jobs[id]
		if s.scheduler.placeableTasks(j) == 0 || !s.scheduler.withinQuotaLimit(j) || s.faultAttribution.FailsEverywhere(id) {
			continue
		}
		waited := s.scheduler.unservedFor(j)
		shape := j.taskShape()
		if i, known := index[shape]; known {
			out[i].Waited = max(out[i].Waited, waited)
			continue
		}
		index[shape] = len(out)
		out = append(out, exchange.WaitingTask{Kinds: x.allowedKinds(j), Need: j.Need, Waited: waited})
	}
	return out
}

package controller

import (
	"time"

	"github.com/micahill/micahill/internal/exchange"
	"github.com/micahill/micahill/internal/message"
	"github.com/micahill/micahill/internal/model"
)

// transfer_requests.go is a shard leader's part in transfers of machines that are in use, which
// internal/exchange decides. Where other shard leaders run teams, a job that is left waiting for
// want of capacity here makes a request, which the leader publishes to the others. They offer
// machines with free capacity, and the leader transfers what suits; see transfers.go. A
// transferred machine changes shards like any other: what runs there goes on as remote attempts.

// partlyRunningWait is how long a job must be left waiting of which tasks run: their ends mostly make
// room for the next. It leaves enough of the 90 s that the operators allow for the transfer.
const partlyRunningWait = 65 * time.Second

// quietTime is how long an owner must have placed nothing on a machine to offer it at once: one that
// it uses again and again is offered only for jobs that have waited for busyMachineWait.
const (
	quietTime       = 30 * time.Second
	busyMachineWait = 75 * time.Second
)

// transferSettleTime is how long a machine that came may take until tasks are placed there. Until
// then nothing more is requested for as many jobs as it could serve.
const transferSettleTime = 8 * time.Second

// machineTransfers are a shard leader's requests for capacity on machines of others, and its
// offers to them.
//
// It is part of a shardLeader and its methods are called only while that one leads. It stores
// nothing: a successor computes its own requests from the jobs, and the leader repeats those of
// others each second.
//
// Invariant: no machine is offered within exchange.MinOwnership after it came to this shard
// leader, and none that must stay: one that is released, reclaimed, reserved, or not surely
// reachable and in a known state.
type machineTransfers struct {
	component

	// requests are this shard leader's own, offers its answer to the requests of others.
	requests []exchange.TransferRequest
	offers   []exchange.TransferOffer
	// updatedAt is when both were computed last.
	updatedAt time.Time
	// othersRequests are those of other shard leaders as the leader published them at
	// receivedAt.
	othersRequests []exchange.TransferRequest
	receivedAt     time.Time
}

// receiveRequests takes in what other shard leaders request, as the leader publishes it.
func (x *machineTransfers) receiveRequests(requests []exchange.TransferRequest) {
	x.othersRequests, x.receivedAt = requests, x.now
}

// update computes the requests and offers anew. Where one shard leader runs all teams there are
// none.
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

// newRequests returns what to request for jobs that are left waiting. Jobs whose tasks are alike
// share a request; the longest waits come first.
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

// withoutArriving lowers requests by what machines that just came, or are coming, will serve.
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

// arrivingKinds counts, by kind, the machines of other owners that come here and that no task was
// placed on yet.
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

// allowedKinds are the kinds of machines on which a task of a job may run now.
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

// longestWait is the longest wait that others request for.
func (x *machineTransfers) longestWait() time.Duration {
	longest := time.Duration(0)
	for _, r := range x.othersRequests {
		longest = max(longest, r.Waited)
	}
	return longest
}

// candidates are the machines here that could be offered; quietOnly leaves out those on which
// something was placed lately.
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

// sizeOfKind is the size of the machines of a kind.
func (k *fleetKnowledge) sizeOfKind(kind exchange.Kind) model.Resources {
	return k.machineTypes[kind.MachineType].Capacity
}

// mayOffer reports whether a machine could go to another owner now.
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
		// What is being stopped, or was placed and is not shown yet, would change hands in
		// the middle of that.
		if t.stopReason != stopNone || !t.reported {
			return false
		}
	}
	return true
}

// ownWaitingTasks are the next tasks of the jobs that wait here, one of each kind of task, with
// the longest wait of these.
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

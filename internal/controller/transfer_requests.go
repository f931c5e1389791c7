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
	// minTimeSincePlacement is how long an owner must have placed no task on a machine before it
	// offers the machine for any request. A machine on which the owner has placed a task more
	// recently is offered only if a job has waited for busyMachineWait.
	minTimeSincePlacement = 30 * time.Second
	// busyMachineWait is how long a job of another shard leader must have waited before machines
	// are offered that their owner has used within minTimeSincePlacement.
	busyMachineWait = 75 * time.Second
)

// transferSettleTime is how long after its transfer a machine that has sent no heartbeat here counts
// as arriving. Each arriving machine is expected to serve one job, for which no capacity is requested.
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
func (transfers *machineTransfers) receiveRequests(requests []exchange.TransferRequest) {
	transfers.othersRequests, transfers.receivedAt = requests, transfers.now
}

// update computes the requests and offers again, at most once per leaderPeriod. There are none if
// a single shard leader runs all teams, or until the machines have been heard after a takeover.
func (transfers *machineTransfers) update() {
	shardLeader := transfers.controller.shardLeader
	if transfers.now.Sub(transfers.updatedAt) < leaderPeriod {
		return
	}
	transfers.updatedAt, transfers.requests, transfers.offers = transfers.now, nil, nil
	if !transfers.controller.membership.hasOtherShardLeaders() || transfers.now.Sub(shardLeader.readyAt) <= settleTime {
		return
	}
	transfers.requests = transfers.newRequests(shardLeader.scheduler.jobsLeftWaiting())
	if len(transfers.othersRequests) > 0 && transfers.now.Sub(transfers.receivedAt) <= updateTTL {
		transfers.offers = exchange.SelectOffers(transfers.othersRequests, transfers.candidates(transfers.longestWait() < busyMachineWait), transfers.ownWaitingTasks(), transfers.controller.knowledge.sizeOfKind, message.MaxTransferOffers)
	}
}

// newRequests returns the requests for jobs that are left waiting. Jobs whose tasks are alike
// share a request. The jobs with the longest waits come first.
func (transfers *machineTransfers) newRequests(waiting []waitingJob) []exchange.TransferRequest {
	var out []exchange.TransferRequest
	index := map[taskShape]int{}
	diagnosis := transfers.controller.shardLeader.scheduler.newWaitDiagnosis()
	for _, waitingJob := range waiting {
		if waitingJob.job.borrowedLoan != "" || waitingJob.job.liveTasks > 0 && waitingJob.waited < partlyRunningWait || diagnosis.reason(waitingJob) != waitsForCapacity {
			continue
		}
		shape := waitingJob.job.taskShape()
		if i, known := index[shape]; known && out[i].Team == waitingJob.job.Team {
			out[i].Jobs++
			continue
		}
		kinds := transfers.allowedKinds(waitingJob.job)
		if len(out) >= message.MaxTransferRequests || len(kinds) == 0 {
			continue
		}
		index[shape] = len(out)
		out = append(out, exchange.TransferRequest{Team: waitingJob.job.Team, Kinds: kinds, Need: waitingJob.job.Need, Jobs: 1, Waited: waitingJob.waited})
	}
	if request, ok := transfers.controller.shardLeader.migration.targetRequest(); ok && len(out) < message.MaxTransferRequests {
		out = append(out, request)
	}
	return transfers.withoutArriving(out)
}

// withoutArriving reduces requests by the jobs that arriving machines will serve, one for each
// machine of an allowed kind.
func (transfers *machineTransfers) withoutArriving(requests []exchange.TransferRequest) []exchange.TransferRequest {
	arriving := transfers.arrivingKinds()
	var out []exchange.TransferRequest
	for _, request := range requests {
		for _, kind := range request.Kinds {
			request.Jobs -= arriving[kind]
		}
		if request.Jobs > 0 {
			out = append(out, request)
		}
	}
	return out
}

// arrivingKinds counts, by kind, the machines that come from other owners and have not been
// heard here yet.
func (transfers *machineTransfers) arrivingKinds() map[exchange.Kind]int {
	shardLeader := transfers.controller.shardLeader
	out := map[exchange.Kind]int{}
	for _, machine := range shardLeader.machinesByID {
		if transfers.now.Sub(machine.ownedSince) < transferSettleTime && !machine.heard && machine.machineType != "" {
			out[exchange.Kind{MachineType: machine.machineType, Zone: machine.zone, Spot: machine.spot}]++
		}
	}
	if view := shardLeader.fleet.view; view != nil {
		for id, rental := range view.rentals {
			if rental.status == statusComing && shardLeader.machines[id] == nil {
				out[rental.machineKind.exchangeKind()]++
			}
		}
	}
	if leader := transfers.controller.leader; leader != nil {
		// The leader publishes no view to itself.
		for id, assigned := range leader.sharding.unrecordedMachines {
			if rental := leader.rentals[id]; assigned.Host == transfers.settings.Host && shardLeader.machines[id] == nil && rental != nil && transfers.now.Sub(rental.handedOverAt) < transferSettleTime {
				out[rental.machineKind.exchangeKind()]++
			}
		}
	}
	return out
}

// allowedKinds returns the kinds of machines on which a task of a job may run now.
func (transfers *machineTransfers) allowedKinds(job *job) []exchange.Kind {
	var out []exchange.Kind
	for _, name := range sortedKeys(transfers.controller.knowledge.machineTypes) {
		machineType := transfers.controller.knowledge.machineTypes[name]
		if !job.Need.Fits(machineType.Capacity) {
			continue
		}
		for _, zone := range machineType.Zones {
			for _, spot := range [...]bool{true, false} {
				if job.allowsMachine(name, zone, spot) && job.zoneAllowed(zone) && len(out) < message.MaxTransferKinds {
					out = append(out, exchange.Kind{MachineType: name, Zone: zone, Spot: spot})
				}
			}
		}
	}
	return out
}

// longestWait returns the longest wait among the requests of other shard leaders.
func (transfers *machineTransfers) longestWait() time.Duration {
	longest := time.Duration(0)
	for _, request := range transfers.othersRequests {
		longest = max(longest, request.Waited)
	}
	return longest
}

// candidates returns an offer for each machine that may be offered. If excludeRecentlyUsed is
// set, it leaves out machines on which a task was placed within minTimeSincePlacement.
func (transfers *machineTransfers) candidates(excludeRecentlyUsed bool) []exchange.TransferOffer {
	var out []exchange.TransferOffer
	for _, machine := range transfers.controller.shardLeader.machinesByID {
		if excludeRecentlyUsed && transfers.now.Sub(machine.lastPlacedAt) < minTimeSincePlacement {
			continue
		}
		if transfers.mayOffer(machine) {
			kind := exchange.Kind{MachineType: machine.machineType, Zone: machine.zone, Spot: machine.spot}
			out = append(out, exchange.TransferOffer{ID: machine.id, Kind: kind, Free: machine.free(), Attempts: len(machine.attempts)})
		}
	}
	return out
}

// sizeOfKind returns the capacity of the machines of a kind.
func (knowledge *fleetKnowledge) sizeOfKind(kind exchange.Kind) model.Resources {
	return knowledge.machineTypes[kind.MachineType].Capacity
}

// mayOffer reports whether a machine may be offered to other owners now.
func (transfers *machineTransfers) mayOffer(machine *machine) bool {
	shardLeader := transfers.controller.shardLeader
	switch {
	case transfers.now.Sub(machine.ownedSince) < exchange.MinOwnership:
		return false
	case !shardLeader.scheduler.usable(machine) || !shardLeader.dispatcher.noStartInFlight(machine):
		return false
	case machine.reservedFor != "" || machine.evacuatingForOtherShard || machine.reservedForMigration != (model.Resources{}):
		return false
	case shardLeader.migration.mayNeedForEvacuation(machine):
		return false
	}
	for _, attempt := range machine.attempts {
		// An attempt that is being stopped, or that was placed and is not reported yet, would
		// change owners in the middle of this transition.
		if attempt.stopReason != stopNone || !attempt.reported {
			return false
		}
	}
	return true
}

// ownWaitingTasks returns the next tasks of the jobs that wait at this shard leader: one for
// each group of jobs whose tasks are alike, with the longest wait in the group.
func (transfers *machineTransfers) ownWaitingTasks() []exchange.WaitingTask {
	shardLeader := transfers.controller.shardLeader
	var out []exchange.WaitingTask
	index := map[taskShape]int{}
	for _, id := range sortedKeys(shardLeader.jobs) {
		job := shardLeader.jobs[id]
		if shardLeader.scheduler.placeableTasks(job) == 0 || !shardLeader.scheduler.withinQuotaLimit(job) || shardLeader.faultAttribution.FailsEverywhere(id) {
			continue
		}
		waited := shardLeader.scheduler.waitSinceLastStart(job)
		shape := job.taskShape()
		if i, known := index[shape]; known {
			out[i].Waited = max(out[i].Waited, waited)
			continue
		}
		index[shape] = len(out)
		out = append(out, exchange.WaitingTask{Kinds: transfers.allowedKinds(job), Need: job.Need, Waited: waited})
	}
	return out
}

package controller

import (
	"cmp"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/micahill/micahill/internal/message"
	"github.com/micahill/micahill/internal/model"
	"github.com/micahill/micahill/internal/record"
)

const (
	// maxOfferedPerKind is how many machines of a kind are offered to peers that would have to
	// be rented first. The cloud does not report how many it has.
	maxOfferedPerKind = 8
	// refusalCooldown is how long after the end of a refusal by the cloud no machine of the kind
	// is expected. The kind is requested again much sooner, but a plan that counted on it each
	// time would keep jobs in this cluster that then wait.
	refusalCooldown = time.Minute
)

// queryLoans applies what the query brings: the progress of jobs at peers, and until when the
// tasks of borrowed jobs may start. It answers once the watch cache is as of a moment after the
// query, or at once if this controller decides on no loans.
func (loans *lending) queryLoans(query message.QueryLoans) {
	loans.controller.frontend.receiveProgress(query.Progress)
	if shardLeader := loans.controller.shardLeader; shardLeader != nil {
		for id, job := range shardLeader.jobs {
			if job.borrowedLoan != "" {
				if previous := job.startableUntil; query.StartableUntil[id].After(previous) || query.StartableUntil[id].IsZero() {
					job.startableUntil = query.StartableUntil[id]
					if previous.Before(loans.now) {
						shardLeader.scheduler.requestPlacement()
					}
				}
			}
		}
	}
	unavailable := func() {
		loans.emit(message.LoanView{Reply: query.Reply, Leader: loans.controller.membership.leader.Host})
	}
	runsGuestTeam := func() bool {
		return loans.controller.shardLeader != nil && loans.controller.shardLeader.teams[query.GuestTeam] != nil && loans.controller.shardLeader.teams[query.GuestTeam].ready
	}
	if runsGuestTeam() && !loans.offloadedJobsLoaded() {
		loans.load(query.GuestTeam)
		unavailable()
		return
	}
	if loans.controller.leader == nil && !runsGuestTeam() {
		loans.emit(message.LoanView{Reply: query.Reply, OK: true, Leader: loans.controller.membership.leader.Host})
		return
	}
	loans.controller.frontend.watchCache.refresh(func(ok bool) {
		if !ok || runsGuestTeam() && !loans.offloadedJobsLoaded() {
			unavailable()
			return
		}
		loans.emit(loans.buildLoanView(query, runsGuestTeam()))
	})
}

// buildLoanView returns the answer to a query, with the loans that this controller decides on.
func (loans *lending) buildLoanView(query message.QueryLoans, runsGuestTeam bool) message.LoanView {
	cache := &loans.controller.frontend.watchCache
	view := message.LoanView{
		Reply: query.Reply, OK: true, Leader: loans.controller.membership.leader.Host, LeaseValidUntil: loans.controller.membership.leaseValidUntil,
		Draining: loans.controller.membership.drain.Enabled, RenewedAt: maps.Clone(loans.renewedAt), RunsGuestTeam: runsGuestTeam,
	}
	if loans.controller.leader != nil {
		view.IsLeader, view.Epoch = true, loans.controller.leader.modRevision
	}
	if runsGuestTeam {
		view.GuestTeamEpoch, view.GuestTeamTerm = loans.controller.membership.shardMap.Team(query.GuestTeam).HeldSince(), loans.term
	}
	if loans.controller.membership.drain.Deadline > 0 {
		view.DrainDeadline = time.UnixMilli(loans.controller.membership.drain.Deadline)
	}
	for _, id := range sortedKeys(cache.openJobs) {
		if rec := cache.openJobs[id].rec; view.IsLeader && rec.LentTo != "" {
			view.Lent = append(view.Lent, message.LentJob{Spec: rec.JobSpec(id), SubmittedAt: time.UnixMilli(rec.SubmittedAtMillis), Peer: rec.LentTo, LendCount: rec.LendCount, StopBound: time.Duration(rec.StopBoundMillis) * time.Millisecond, CancelRequested: rec.CancelRequested})
		}
	}
	if runsGuestTeam {
		for _, name := range sortedKeys(loans.byLoan) {
			view.Borrowed = append(view.Borrowed, loans.buildBorrowedJob(name))
		}
	}
	if shardLeader := loans.controller.shardLeader; shardLeader != nil && shardLeader.ready && query.WithSimulation {
		loans.simulateLoans(&view)
	}
	return view
}

// buildBorrowedJob returns what this controller knows of a loan that this cluster has taken.
func (loans *lending) buildBorrowedJob(name string) message.BorrowedJob {
	loan := loans.byLoan[name]
	borrowed := message.BorrowedJob{Loan: name, Job: loan.Job, Cause: loan.Cause, Status: model.Queued, Started: true}
	if open, isOpen := loans.controller.frontend.watchCache.openJobs[loan.Job]; isOpen {
		borrowed.StatusKnown, borrowed.Spec, borrowed.Ending = true, open.rec.JobSpec(loan.Job), open.rec.Cancelled
	} else if status, ok := loans.controller.frontend.finalStatuses[loan.Job]; ok {
		borrowed.StatusKnown, borrowed.Status = true, status
	} else {
		loans.controller.frontend.readStatusRecord(loan.Job, func(response message.StoreResponse) {
			var rec record.JobStatus
			if response.Status == message.StoreOK && record.Decode(response.KeyValues[0].Value, &rec) && rec.Status.IsFinal() {
				loans.controller.frontend.cacheFinalStatus(loan.Job, rec.Status)
			}
		})
	}
	progress := loans.controller.frontend.progressOf(loan.Job)
	borrowed.DoneTasks, borrowed.RunningTasks = progress.Done, progress.Running
	if job := loans.controller.shardLeader.jobs[loan.Job]; job != nil {
		borrowed.Started = job.hasStarted()
	}
	return borrowed
}

// simulateLoans simulates the queue on the current machines. It adds to the view whether jobs with
// pending tasks would end too late in this cluster, which jobs can be lent, and which capacity no
// job of this cluster will need.
func (loans *lending) simulateLoans(view *message.LoanView) {
	fleet := &loans.controller.shardLeader.fleet
	view.CheapestCPUHour = loans.controller.knowledge.cheapestCPUCost()
	capacity := fleet.futureFreeCapacity()
	sim := fleet.newSimulation(copyFreeCapacity(capacity, nil), capacity.imageIDs, nil)
	for _, demand := range fleet.demands(loans.controller.knowledge.planningHorizon(), true, false) {
		lastStart, unplaceable := time.Time{}, demand.count == 0
		sim.simulate(demand, func(_ int, simulated *simulatedMachine, _, start time.Time) {
			if unplaceable = unplaceable || simulated == nil; simulated != nil {
				lastStart = later(lastStart, start)
			}
		})
		if demand.arrivalSpread > 0 || demand.job.borrowedLoan != "" {
			continue
		}
		loans.addWaitingJob(view, demand.job, loans.homeFinish(demand.job, lastStart, unplaceable))
	}
	loans.addFreeCapacity(view, sim)
}

// homeFinish returns how much longer the job is expected to take in this cluster if the last of
// its pending tasks starts at lastStart.
func (loans *lending) homeFinish(job *job, lastStart time.Time, unplaceable bool) time.Duration {
	occupancy := loans.controller.shardLeader.fleet.expectedOccupancy(job)
	finish := lastStart.Add(occupancy).Sub(loans.now)
	if unplaceable {
		finish = maxLateness
	}
	// Pending tasks may also run on machines that are rented for them, unless the cloud has
	// recently refused the kind.
	for kind, machineType := range loans.rentableKinds() {
		if job.allowsMachine(kind.machineType, kind.zone, kind.spot) && job.Need.Fits(machineType.Capacity) {
			finish = min(finish, machineType.ProvisioningTime+newMachineFetchTime(&machineType, job)+occupancy)
		}
	}
	return finish
}

// addWaitingJob adds to the view whether the job would be late in this cluster, and the job
// itself if it can be lent.
func (loans *lending) addWaitingJob(view *message.LoanView, job *job, finish time.Duration) {
	runTime := loans.controller.knowledge.expectedRunTime(job)
	sloDue := loans.controller.shardLeader.scheduler.latestStart(job).Add(runTime).Sub(loans.now)
	if finish > sloDue {
		view.OwnJobsLate, view.LateUrgency = true, max(view.LateUrgency, job.Urgency)
	}
	if job.isLendable() {
		view.Waiting = append(view.Waiting, message.WaitingJob{Spec: job.JobSpec, SLODue: sloDue, HomeFinish: finish, RunTime: runTime, LendCount: job.lendCount})
	}
}

// addFreeCapacity adds to the view the machines that the simulation left free, the machines that
// may be rented, and the images that the free machines have cached.
func (loans *lending) addFreeCapacity(view *message.LoanView, sim *simulation) {
	type group struct {
		kind       machineKind
		perMachine model.Resources
	}
	images := map[string]bool{}
	count := map[group]int{}
	for _, simulated := range sim.machines {
		if simulated.machine == nil || simulated.placements > 0 || !loans.controller.shardLeader.scheduler.usable(simulated.machine) || simulated.machine.decommissioning {
			continue
		}
		count[group{simulated.machineKind, simulated.machine.free()}]++
		for name, image := range simulated.machine.images {
			images[name] = images[name] || image.cached
		}
	}
	for kind, machineType := range loans.rentableKinds() {
		view.FreeCapacity = append(view.FreeCapacity, message.FreeCapacity{MachineType: kind.machineType, Zone: kind.zone, Spot: kind.spot, PerMachine: machineType.Capacity, Machines: maxOfferedPerKind, AvailableIn: machineType.ProvisioningTime, CostPerCPUHour: loans.controller.knowledge.costPerHour(kind) / max(machineType.Capacity.CPU, 1), FetchRate: machineType.ImageFetchRate})
	}
	for freeGroup, machines := range count {
		machineType := loans.controller.knowledge.machineTypes[freeGroup.kind.machineType]
		view.FreeCapacity = append(view.FreeCapacity, message.FreeCapacity{MachineType: freeGroup.kind.machineType, Zone: freeGroup.kind.zone, Spot: freeGroup.kind.spot, PerMachine: freeGroup.perMachine, Machines: machines, CostPerCPUHour: loans.controller.knowledge.costPerHour(freeGroup.kind) / max(machineType.Capacity.CPU, 1), FetchRate: machineType.ImageFetchRate})
	}
	slices.SortFunc(view.FreeCapacity, func(a, b message.FreeCapacity) int {
		return cmp.Or(strings.Compare(a.MachineType, b.MachineType), strings.Compare(a.Zone, b.Zone), cmp.Compare(boolToFloat(a.Spot), boolToFloat(b.Spot)), cmp.Compare(a.AvailableIn, b.AvailableIn), cmp.Compare(a.PerMachine.CPU, b.PerMachine.CPU), cmp.Compare(a.PerMachine.Memory, b.PerMachine.Memory))
	})
	for _, name := range sortedKeys(images) {
		if images[name] {
			view.CachedImages = append(view.CachedImages, name)
		}
	}
}

// rentableKinds returns the kinds of machines that the cloud has not recently refused.
func (loans *lending) rentableKinds() map[machineKind]model.MachineType {
	kinds := map[machineKind]model.MachineType{}
	if loans.controller.shardLeader.fleet.view == nil {
		return kinds
	}
	for _, machineType := range loans.controller.knowledge.machineTypes {
		for _, zone := range machineType.Zones {
			for _, spot := range [...]bool{true, false} {
				kind := machineKind{machineType.Name, zone, spot}
				if loans.now.Sub(loans.controller.shardLeader.fleet.view.blockedUntil[kind]) > refusalCooldown {
					kinds[kind] = machineType
				}
			}
		}
	}
	return kinds
}

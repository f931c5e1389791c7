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
	// maxOfferedPerKind is how many machines of a kind are offered to peers that would have to be
	// rented for them: the cloud does not say how many it has.
	maxOfferedPerKind = 8
	// refusalMemory is how long no machine of a kind is expected after a refusal has passed. It is
	// requested again much sooner; but a plan that counts on it each time would keep jobs here that
	// then wait.
	refusalMemory = time.Minute
)

// queryLoans answers once the watch cache is as of a moment after the query, and takes in what the query brings: the
// progress of jobs at peers, and until when borrowed jobs may start.
func (l *lending) queryLoans(c message.QueryLoans) {
	l.controller.frontend.receiveProgress(c.Progress)
	if s := l.controller.shardLeader; s != nil {
		for id, j := range s.jobs {
			if j.borrowedLoan != "" {
				if was := j.startableUntil; c.StartableUntil[id].After(was) || c.StartableUntil[id].IsZero() {
					j.startableUntil = c.StartableUntil[id]
					if was.Before(l.now) {
						s.scheduler.requestPlacement()
					}
				}
			}
		}
	}
	unavailable := func() { l.emit(message.LoanView{Reply: c.Reply, Leader: l.controller.membership.leader.Host}) }
	runsGuestTeam := func() bool {
		return l.controller.shardLeader != nil && l.controller.shardLeader.teams[c.GuestTeam] != nil && l.controller.shardLeader.teams[c.GuestTeam].ready
	}
	if runsGuestTeam() && !l.offloadedJobsLoaded() {
		l.load(c.GuestTeam)
		unavailable()
		return
	}
	if l.controller.leader == nil && !runsGuestTeam() {
		l.emit(message.LoanView{Reply: c.Reply, OK: true, Leader: l.controller.membership.leader.Host})
		return
	}
	l.controller.frontend.watchCache.refresh(func(ok bool) {
		if !ok || runsGuestTeam() && !l.offloadedJobsLoaded() {
			unavailable()
			return
		}
		l.emit(l.buildLoanView(c, runsGuestTeam()))
	})
}

// buildLoanView is the answer to a query, with the loans that this controller decides on.
func (l *lending) buildLoanView(c message.QueryLoans, runsGuestTeam bool) message.LoanView {
	cache := &l.controller.frontend.watchCache
	v := message.LoanView{
		Reply: c.Reply, OK: true, Leader: l.controller.membership.leader.Host, LeaseValidUntil: l.controller.membership.leaseValidUntil,
		Draining: l.controller.membership.drain.Enabled, RenewedAt: maps.Clone(l.renewedAt), RunsGuestTeam: runsGuestTeam,
	}
	if l.controller.leader != nil {
		v.IsLeader, v.Epoch = true, l.controller.leader.modRevision
	}
	if runsGuestTeam {
		v.GuestTeamEpoch, v.GuestTeamTerm = l.controller.membership.shardMap.Team(c.GuestTeam).HeldSince(), l.term
	}
	if l.controller.membership.drain.Deadline > 0 {
		v.DrainDeadline = time.UnixMilli(l.controller.membership.drain.Deadline)
	}
	for _, id := range sortedKeys(cache.openJobs) {
		if r := cache.openJobs[id].rec; v.IsLeader && r.LentTo != "" {
			v.Lent = append(v.Lent, message.LentJob{Spec: r.JobSpec(id), SubmittedAt: time.UnixMilli(r.SubmittedAtMillis), Peer: r.LentTo, LendCount: r.LendCount, StopBound: time.Duration(r.StopBoundMillis) * time.Millisecond, CancelRequested: r.CancelRequested})
		}
	}
	if runsGuestTeam {
		for _, name := range sortedKeys(l.byLoan) {
			v.Borrowed = append(v.Borrowed, l.buildBorrowedJob(name))
		}
	}
	if s := l.controller.shardLeader; s != nil && s.ready && c.WithSimulation {
		l.simulateLoans(&v)
	}
	return v
}

// buildBorrowedJob is what is known of a loan that was taken.
func (l *lending) buildBorrowedJob(name string) message.BorrowedJob {
	g := l.byLoan[name]
	b := message.BorrowedJob{Loan: name, Job: g.Job, Cause: g.Cause, Status: model.Queued, Started: true}
	if open, there := l.controller.frontend.watchCache.openJobs[g.Job]; there {
		b.StatusKnown, b.Spec, b.Ending = true, open.rec.JobSpec(g.Job), open.rec.Cancelled
	} else if s, ok := l.controller.frontend.finalStatuses[g.Job]; ok {
		b.StatusKnown, b.Status = true, s
	} else {
		l.controller.frontend.readStatusRecord(g.Job, func(d message.StoreResponse) {
			var r record.JobStatus
			if d.Status == message.StoreOK && record.Decode(d.KeyValues[0].Value, &r) && r.Status.IsFinal() {
				l.controller.frontend.cacheFinalStatus(g.Job, r.Status)
			}
		})
	}
	p := l.controller.frontend.progressOf(g.Job)
	b.DoneTasks, b.RunningTasks = p.Done, p.Running
	if j := l.controller.shardLeader.jobs[g.Job]; j != nil {
		b.Started = j.hasStarted()
	}
	return b
}

// simulateLoans simulates the queue on the machines there are, and adds to the view which jobs that were never started
// would end too late here, and which capacity no job of this cluster will want.
func (l *lending) simulateLoans(v *message.LoanView) {
	fleet := &l.controller.shardLeader.fleet
	v.CheapestCPUHour = l.controller.knowledge.cheapestCPUCost()
	capacity := fleet.futureFreeCapacity()
	sim := fleet.newSimulation(copyFreeCapacity(capacity, nil), capacity.imageIDs, nil)
	for _, d := range fleet.demands(l.controller.knowledge.planningHorizon(), true, false) {
		last, unplaceable := time.Time{}, d.count == 0
		sim.simulate(d, func(_ int, x *simulatedMachine, _, at time.Time) {
			if unplaceable = unplaceable || x == nil; x != nil {
				last = later(last, at)
			}
		})
		if d.arrivalSpread > 0 || d.job.borrowedLoan != "" {
			continue
		}
		l.addWaitingJob(v, d.job, l.homeFinish(d.job, last, unplaceable))
	}
	l.addFreeCapacity(v, sim)
}

// homeFinish is how long the job is expected to take still here, if the last of its pending tasks starts at lastStart.
func (l *lending) homeFinish(j *job, lastStart time.Time, unplaceable bool) time.Duration {
	occupancy := l.controller.shardLeader.fleet.expectedOccupancy(j)
	finish := lastStart.Add(occupancy).Sub(l.now)
	if unplaceable {
		finish = maxLateness
	}
	// Pending tasks may also run on machines that are rented for them, unless the cloud has lately
	// refused the kind.
	for k, f := range l.rentableKinds() {
		if j.allowsMachine(k.machineType, k.zone, k.spot) && j.Need.Fits(f.Capacity) {
			finish = min(finish, f.ProvisioningTime+newMachineFetchTime(&f, j)+occupancy)
		}
	}
	return finish
}

// addWaitingJob adds a job to the view: whether it would be late here, and if it can be lent the job itself.
func (l *lending) addWaitingJob(v *message.LoanView, j *job, finish time.Duration) {
	runTime := l.controller.knowledge.expectedRunTime(j)
	sloDue := l.controller.shardLeader.scheduler.latestStart(j).Add(runTime).Sub(l.now)
	if finish > sloDue {
		v.OwnWorkLate, v.LateUrgency = true, max(v.LateUrgency, j.Urgency)
	}
	if j.isLendable() {
		v.Waiting = append(v.Waiting, message.WaitingJob{Spec: j.JobSpec, SLODue: sloDue, HomeFinish: finish, RunTime: runTime, LendCount: j.lendCount})
	}
}

// addFreeCapacity adds to the view the machines that the simulation left free, those that may be rented, and the images
// that the free ones have.
func (l *lending) addFreeCapacity(v *message.LoanView, sim *simulation) {
	type group struct {
		kind       machineKind
		perMachine model.Resources
	}
	images := map[string]bool{}
	count := map[group]int{}
	for _, x := range sim.machines {
		if x.machine == nil || x.placements > 0 || !l.controller.shardLeader.scheduler.usable(x.machine) || x.machine.decommissioning {
			continue
		}
		count[group{x.machineKind, x.machine.free()}]++
		for name, im := range x.machine.images {
			images[name] = images[name] || im.cached
		}
	}
	for k, f := range l.rentableKinds() {
		v.FreeCapacity = append(v.FreeCapacity, message.FreeCapacity{MachineType: k.machineType, Zone: k.zone, Spot: k.spot, PerMachine: f.Capacity, Machines: maxOfferedPerKind, AvailableIn: f.ProvisioningTime, CostPerCPUHour: l.controller.knowledge.costPerHour(k) / max(f.Capacity.CPU, 1), FetchRate: f.ImageFetchRate})
	}
	for g, n := range count {
		f := l.controller.knowledge.machineTypes[g.kind.machineType]
		v.FreeCapacity = append(v.FreeCapacity, message.FreeCapacity{MachineType: g.kind.machineType, Zone: g.kind.zone, Spot: g.kind.spot, PerMachine: g.perMachine, Machines: n, CostPerCPUHour: l.controller.knowledge.costPerHour(g.kind) / max(f.Capacity.CPU, 1), FetchRate: f.ImageFetchRate})
	}
	slices.SortFunc(v.FreeCapacity, func(a, b message.FreeCapacity) int {
		return cmp.Or(strings.Compare(a.MachineType, b.MachineType), strings.Compare(a.Zone, b.Zone), cmp.Compare(boolToFloat(a.Spot), boolToFloat(b.Spot)), cmp.Compare(a.AvailableIn, b.AvailableIn), cmp.Compare(a.PerMachine.CPU, b.PerMachine.CPU), cmp.Compare(a.PerMachine.Memory, b.PerMachine.Memory))
	})
	for _, name := range sortedKeys(images) {
		if images[name] {
			v.CachedImages = append(v.CachedImages, name)
		}
	}
}

// rentableKinds returns the kinds of machines that the cloud has not lately refused.
func (l *lending) rentableKinds() map[machineKind]model.MachineType {
	out := map[machineKind]model.MachineType{}
	if l.controller.shardLeader.fleet.view == nil {
		return out
	}
	for _, f := range l.controller.knowledge.machineTypes {
		for _, z := range f.Zones {
			for _, spot := range [...]bool{true, false} {
				k := machineKind{f.Name, z, spot}
				if l.now.Sub(l.controller.shardLeader.fleet.view.blockedUntil[k]) > refusalMemory {
					out[k] = f
				}
			}
		}
	}
	return out
}

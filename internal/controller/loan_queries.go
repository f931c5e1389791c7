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

// queryLoans answers when the picture of open/ is as of a moment after the
// question.
func (l *lending) queryLoans(c message.QueryLoans) {
	l.controller.frontend.receiveProgress(c.Progress)
	if o := l.controller.shardLeader; o != nil {
		for id, j := range o.jobs {
			if j.borrowedLoan != "" {
				if was := j.startableUntil; c.StartableUntil[id].After(was) || c.StartableUntil[id].IsZero() {
					j.startableUntil = c.StartableUntil[id]
					if was.Before(l.now) {
						o.scheduler.requestPlacement()
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
	if o := l.controller.shardLeader; o != nil && o.ready && c.WithSimulation {
		l.simulateLoans(&v)
	}
	return v
}

// buildBorrowedJob is what is durable of a loan that was taken.
func (ll *lending) buildBorrowedJob(name string) message.BorrowedJob {
	g := ll.byLoan[name]
	b := message.BorrowedJob{Loan: name, Job: g.Job, Cause: g.Cause, Status: model.Queued, Started: true}
	if l, there := ll.controller.frontend.watchCache.openJobs[g.Job]; there {
		b.StatusKnown, b.Spec, b.Ending = true, l.rec.JobSpec(g.Job), l.rec.Cancelled
	} else if s, ok := ll.controller.frontend.finalStatuses[g.Job]; ok {
		b.StatusKnown, b.Status = true, s
	} else {
		ll.controller.frontend.readStatusRecord(g.Job, func(d message.StoreResponse) {
			var r record.JobStatus
			if d.Status == message.StoreOK && record.Decode(d.KeyValues[0].Value, &r) && r.Status.IsFinal() {
				ll.controller.frontend.cacheFinalStatus(g.Job, r.Status)
			}
		})
	}
	p := ll.controller.frontend.progressOf(g.Job)
	b.DoneTasks, b.RunningTasks = p.Done, p.Running
	if j := ll.controller.shardLeader.jobs[g.Job]; j != nil {
		b.Started = j.hasStarted()
	}
	return b
}

// simulateLoans plays the queue forward on the machines there are: which jobs of which
// nothing was started end too late, and which machines nothing of ours will want.
func (ll *lending) simulateLoans(v *message.LoanView) {
	v.CheapestCPUHour = ll.controller.knowledge.cheapestCPUCost()
	images := map[string]bool{}
	capacity := ll.controller.shardLeader.fleet.futureFreeCapacity()
	sim := ll.controller.shardLeader.fleet.newSimulation(copyFreeCapacity(capacity, nil), capacity.imageIDs, nil)
	for _, d := range ll.controller.shardLeader.fleet.demands(ll.controller.knowledge.planningHorizon(), true, false) {
		last, unplaceable := time.Time{}, d.count == 0
		sim.simulate(d, func(_ int, x *simulatedMachine, _, at time.Time) {
			if unplaceable = unplaceable || x == nil; x != nil {
				last = later(last, at)
			}
		})
		if d.arrivalSpread > 0 || d.job.borrowedLoan != "" {
			continue
		}
		finish := last.Add(ll.controller.shardLeader.fleet.expectedOccupancy(d.job)).Sub(ll.now)
		if unplaceable {
			finish = maxLateness
		}
		// What waits may also run on machines that are rented for it, unless the
		// cloud has lately had none of the kind.
		for k, f := range ll.rentableKinds() {
			if d.job.allowsMachine(k.machineType, k.zone, k.spot) && d.job.Need.Fits(f.Capacity) {
				finish = min(finish, f.ProvisioningTime+newMachineFetchTime(&f, d.job)+ll.controller.shardLeader.fleet.expectedOccupancy(d.job))
			}
		}
		sloDue := ll.controller.shardLeader.scheduler.latestStart(d.job).Add(ll.controller.knowledge.expectedRunTime(d.job)).Sub(ll.now)
		if finish > sloDue {
			v.OwnWorkLate, v.LateUrgency = true, max(v.LateUrgency, d.job.Urgency)
		}
		if d.job.isLendable() {
			v.Waiting = append(v.Waiting, message.WaitingJob{
				Spec: d.job.JobSpec, SLODue: sloDue, HomeFinish: finish, RunTime: ll.controller.knowledge.expectedRunTime(d.job), LendCount: d.job.lendCount,
			})
		}
	}
	type like struct {
		k    machineKind
		each model.Resources
	}
	count := map[like]int{}
	for _, x := range sim.machines {
		if x.machine == nil || x.placements > 0 || !ll.controller.shardLeader.scheduler.usable(x.machine) || x.machine.decommissioning {
			continue
		}
		count[like{x.machineKind, x.machine.free()}]++
		for name, im := range x.machine.images {
			images[name] = images[name] || im.cached
		}
	}
	for k, f := range ll.rentableKinds() {
		v.FreeCapacity = append(v.FreeCapacity, message.FreeCapacity{MachineType: k.machineType, Zone: k.zone, Spot: k.spot, PerMachine: f.Capacity, Machines: maxOfferedPerKind, AvailableIn: f.ProvisioningTime, CostPerCPUHour: ll.controller.knowledge.costPerHour(k) / max(f.Capacity.CPU, 1), FetchRate: f.ImageFetchRate})
	}
	for l, k := range count {
		f := ll.controller.knowledge.machineTypes[l.k.machineType]
		v.FreeCapacity = append(v.FreeCapacity, message.FreeCapacity{MachineType: l.k.machineType, Zone: l.k.zone, Spot: l.k.spot, PerMachine: l.each, Machines: k, CostPerCPUHour: ll.controller.knowledge.costPerHour(l.k) / max(f.Capacity.CPU, 1), FetchRate: f.ImageFetchRate})
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

// maxOfferedPerKind is how many machines of a kind are offered to peers that would have to
// be rented for them: the cloud does not tell how many it has.
const maxOfferedPerKind = 8

// refusalMemory is for how long after a refusal has passed a kind is not counted on. It
// is asked for again much sooner; but a plan that counts on it each time anew would
// keep at home what then waits.
const refusalMemory = time.Minute

// rentableKinds are the kinds of machines that the cloud has not lately refused.
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

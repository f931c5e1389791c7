package controller

import (
	"cmp"
	"iter"
	"slices"
	"time"

	"github.com/micahill/micahill/internal/model"
)

// maxArrivalBatches is the largest number of batches in which the expected tasks of a demand arrive in a
// simulation. With fewer and larger batches, more machines would seem needed at a time, and too many
// expensive machines would be kept.
const maxArrivalBatches = 512

// demand is a number of tasks of a job. The tasks are pending now, or, if arrivalSpread is not 0, expected
// to arrive evenly within arrivalSpread from now.
type demand struct {
	job   *job
	count int
	// latestStart is when a pending task, or an expected task that arrives in the middle of
	// arrivalSpread, should start at the latest.
	latestStart   time.Time
	arrivalSpread time.Duration
}

// startDeadline returns when a task of the demand that arrives at from should start at the latest. The
// later an expected task arrives, the later it is due.
func (demand demand) startDeadline(now, from time.Time) time.Time {
	return demand.latestStart.Add(from.Sub(now) - demand.arrivalSpread/2)
}

// arrivalAt returns when task i of the demand arrives.
func (demand demand) arrivalAt(now time.Time, i int) time.Time {
	return now.Add(demand.arrivalSpread * time.Duration(i+1) / time.Duration(demand.count+1))
}

// arrivalBatches yields the time and the number of tasks of each batch in which the demand arrives:
// pending tasks in one batch, expected tasks in at most maxArrivalBatches.
func (demand demand) arrivalBatches(now time.Time) iter.Seq2[time.Time, int] {
	size := max(1, demand.count)
	if demand.arrivalSpread > 0 {
		size = (demand.count + maxArrivalBatches - 1) / maxArrivalBatches
	}
	return func(yield func(time.Time, int) bool) {
		for i := 0; i < demand.count; i += size {
			k := min(size, demand.count-i)
			if !yield(demand.arrivalAt(now, i+k/2), k) {
				return
			}
		}
	}
}

// demands returns the demands for capacity within the horizon, ordered by rank. At equal rank the pending
// tasks come first, as far as the teams' quota limits let them run, then the tasks that are expected to
// arrive.
//
// The forecast is the average arrival rate of each workload, multiplied by the policy's headroom factor
// for workloads with a wait objective. With bursts it includes the random variation of arrivals. With
// cautious it falls soon after arrivals have ended.
func (planner *fleetPlanner) demands(horizon time.Duration, bursts, cautious bool) []demand {
	out := planner.pendingDemands()
	out = append(out, planner.expectedDemands(horizon, bursts, cautious)...)
	slices.SortStableFunc(out, func(a, b demand) int {
		return cmp.Compare(planner.controller.ranking.rankOf(a.job), planner.controller.ranking.rankOf(b.job))
	})
	return out
}

// pendingDemands returns the pending tasks of each job in queue order, as far as the teams' quota limits
// let them run. Tasks for which the migration manager reserves capacity are not counted.
func (planner *fleetPlanner) pendingDemands() []demand {
	shardLeader := planner.controller.shardLeader
	counted := map[string]model.Resources{}
	var out []demand
	for _, j := range shardLeader.scheduler.jobsInQueueOrder() {
		count := max(0, planner.controller.shardLeader.scheduler.placeableTasks(j)-planner.controller.shardLeader.migration.reservedTasks(j))
		if team := planner.team(j.Team); team != nil {
			used := shardLeader.usedByTeam[j.Team].AddScaled(counted[j.Team], 1)
			left := model.Resources{CPU: team.QuotaLimit.CPU - used.CPU, GPU: team.QuotaLimit.GPU - used.GPU}
			if team.QuotaLimit.CPU > 0 {
				count = min(count, model.Resources{CPU: left.CPU}.FitCount(model.Resources{CPU: j.Need.CPU}))
			}
			if team.QuotaLimit.GPU > 0 {
				count = min(count, model.Resources{GPU: left.GPU}.FitCount(model.Resources{GPU: j.Need.GPU}))
			}
			counted[j.Team] = counted[j.Team].AddScaled(j.Need, float64(count))
		}
		out = append(out, demand{job: j, count: count, latestStart: shardLeader.scheduler.dueStart(j)})
	}
	return out
}

// expectedDemands returns the tasks that are expected to arrive within the horizon, for each workload; see
// demands. Long-running jobs and gangs are not forecast.
func (planner *fleetPlanner) expectedDemands(horizon time.Duration, bursts, cautious bool) []demand {
	shardLeader := planner.controller.shardLeader
	var out []demand
	for _, name := range sortedKeys(shardLeader.workloads) {
		workload := shardLeader.workloads[name]
		if workload.spec.LongRunning || workload.spec.Gang {
			continue
		}
		count := planner.arrivalRate(name, arrivalWindow) * horizon.Seconds()
		if cautious {
			count = min(count, 2*planner.arrivalRate(name, recentWindow)*horizon.Seconds())
		}
		if bursts {
			count *= planner.burstFactor(name, horizon)
		}
		if planner.waitObjective(name) > 0 {
			count *= planner.settings.Policy.HeadroomFactor
		}
		if k := int(count + 0.5); k > 0 {
			j := &job{JobSpec: *workload.spec, tasks: make([]task, k), submittedAt: planner.now.Add(horizon / 2)}
			out = append(out, demand{job: j, count: k, latestStart: shardLeader.scheduler.latestStart(j), arrivalSpread: horizon})
		}
	}
	return out
}

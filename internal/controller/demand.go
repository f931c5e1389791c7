package controller

import (
	"cmp"
	"iter"
	"slices"
	"time"

	"github.com/micahill/micahill/internal/model"
)

// maxArrivalBatches is in how many batches expected tasks arrive in a simulation at most. With fewer
// and larger ones more machines look needed at a time, and too many expensive ones are kept.
const maxArrivalBatches = 512

// demand is some tasks of a job: pending now, or expected to arrive evenly within arrivalSpread.
type demand struct {
	job           *job
	count         int
	latestStart   time.Time
	arrivalSpread time.Duration
}

// startDeadline is when a task of the demand that arrives at from should start at the latest:
// expected tasks that arrive later are due later.
func (d demand) startDeadline(now, from time.Time) time.Time {
	return d.latestStart.Add(from.Sub(now) - d.arrivalSpread/2)
}

// arrivalAt is when the demand's task i arrives.
func (d demand) arrivalAt(now time.Time, i int) time.Time {
	return now.Add(d.arrivalSpread * time.Duration(i+1) / time.Duration(d.count+1))
}

// arrivalBatches yields when tasks of the demand arrive together, and how many: pending tasks at
// once, expected ones in at most maxArrivalBatches batches.
func (d demand) arrivalBatches(now time.Time) iter.Seq2[time.Time, int] {
	size := max(1, d.count)
	if d.arrivalSpread > 0 {
		size = (d.count + maxArrivalBatches - 1) / maxArrivalBatches
	}
	return func(yield func(time.Time, int) bool) {
		for i := 0; i < d.count; i += size {
			k := min(size, d.count-i)
			if !yield(d.arrivalAt(now, i+k/2), k) {
				return
			}
		}
	}
}

// demands returns what needs capacity within the horizon, by rank: the pending tasks, as far as the
// teams' quota limits let them run, then the arrivals that the last minutes make likely, with more
// for workloads whose wait is bounded.
//
// The forecast is the average rate. With bursts it adds what chance may bring; when cautious it
// falls at once when arrivals end.
func (f *fleetPlanner) demands(horizon time.Duration, bursts, cautious bool) []demand {
	out := f.pendingDemands()
	out = append(out, f.expectedDemands(horizon, bursts, cautious)...)
	slices.SortStableFunc(out, func(a, b demand) int {
		return cmp.Compare(f.controller.ranking.rankOf(a.job), f.controller.ranking.rankOf(b.job))
	})
	return out
}

func (f *fleetPlanner) pendingDemands() []demand {
	o := f.controller.shardLeader
	counted := map[string]model.Resources{}
	var out []demand
	for _, j := range o.scheduler.jobsInQueueOrder() {
		count := max(0, f.controller.shardLeader.scheduler.placeableTasks(j)-f.controller.shardLeader.migration.reservedTasks(j))
		if t := f.team(j.Team); t != nil {
			u := o.usedByTeam[j.Team].AddScaled(counted[j.Team], 1)
			left := model.Resources{CPU: t.QuotaLimit.CPU - u.CPU, GPU: t.QuotaLimit.GPU - u.GPU}
			if t.QuotaLimit.CPU > 0 {
				count = min(count, model.Resources{CPU: left.CPU}.FitCount(model.Resources{CPU: j.Need.CPU}))
			}
			if t.QuotaLimit.GPU > 0 {
				count = min(count, model.Resources{GPU: left.GPU}.FitCount(model.Resources{GPU: j.Need.GPU}))
			}
			counted[j.Team] = counted[j.Team].AddScaled(j.Need, float64(count))
		}
		out = append(out, demand{job: j, count: count, latestStart: o.scheduler.dueStart(j)})
	}
	return out
}

func (f *fleetPlanner) expectedDemands(horizon time.Duration, bursts, cautious bool) []demand {
	o := f.controller.shardLeader
	var out []demand
	for _, name := range sortedKeys(o.workloads) {
		w := o.workloads[name]
		if w.spec.LongRunning || w.spec.Gang {
			continue
		}
		count := f.arrivalRate(name, arrivalWindow) * horizon.Seconds()
		if cautious {
			count = min(count, 2*f.arrivalRate(name, recentWindow)*horizon.Seconds())
		}
		if bursts {
			count *= f.burstFactor(name, horizon)
		}
		if f.waitObjective(name) > 0 {
			count *= f.settings.Policy.HeadroomFactor
		}
		if k := int(count + 0.5); k > 0 {
			j := &job{JobSpec: *w.spec, tasks: make([]task, k), submittedAt: f.now.Add(horizon / 2)}
			out = append(out, demand{job: j, count: k, latestStart: o.scheduler.latestStart(j), arrivalSpread: horizon})
		}
	}
	return out
}

package controller

import (
	"cmp"
	"iter"
	"slices"
	"time"

	"github.com/micahill/micahill/internal/model"
)

// startDeadline is when a task of the demand that comes at the time from should start at
// the latest: of those that are expected, the later come, the later are due.
func (d demand) startDeadline(now, from time.Time) time.Time {
	return d.latestStart.Add(from.Sub(now) - d.arrivalSpread/2)
}

// arrivalAt is when the demand's task i is there.
func (d demand) arrivalAt(now time.Time, i int) time.Time {
	return now.Add(d.arrivalSpread * time.Duration(i+1) / time.Duration(d.count+1))
}

// maxArrivalBatches is in how many lots expected tasks are played at most. Of fewer and
// larger lots more machines look needed at a time, and too many dear ones are kept.
const maxArrivalBatches = 512

// arrivalBatches are the tasks of the demand that are taken to come together, when and how
// many: all that wait, and of those that are expected so many that there are not too
// many lots.
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

// demand is some tasks of a job: waiting now, or expected, spread over a time.
type demand struct {
	job           *job
	count         int
	latestStart   time.Time
	arrivalSpread time.Duration
}

// demands is what wants room within the horizon, most urgent first: the waiting
// tasks, as far as the teams' limits let them run, then the arrivals that the
// last minutes make likely, with more of those that must start at once.
//
// The forecast is the average, for bursts with more as chance may bring;
// cautious, it follows at once when arrivals end.
func (f *fleetPlanner) demands(horizon time.Duration, bursts, cautious bool) []demand {
	o := f.controller.shardLeader
	over := map[string]model.Resources{}
	var out []demand
	for _, j := range f.controller.shardLeader.scheduler.jobsInQueueOrder() {
		count := max(0, f.controller.shardLeader.scheduler.placeableTasks(j)-f.controller.shardLeader.migration.reservedTasks(j))
		if t := f.team(j.Team); t != nil {
			u := o.usedByTeam[j.Team].AddScaled(over[j.Team], 1)
			left := model.Resources{CPU: t.QuotaLimit.CPU - u.CPU, GPU: t.QuotaLimit.GPU - u.GPU}
			if t.QuotaLimit.CPU > 0 {
				count = min(count, model.Resources{CPU: left.CPU}.FitCount(model.Resources{CPU: j.Need.CPU}))
			}
			if t.QuotaLimit.GPU > 0 {
				count = min(count, model.Resources{GPU: left.GPU}.FitCount(model.Resources{GPU: j.Need.GPU}))
			}
			over[j.Team] = over[j.Team].AddScaled(j.Need, float64(count))
		}
		out = append(out, demand{job: j, count: count, latestStart: f.controller.shardLeader.scheduler.dueStart(j)})
	}
	for _, name := range sortedKeys(o.workloads) {
		w := o.workloads[name]
		if w.spec.LongRunning || w.spec.Gang {
			continue
		}
		spread := horizon
		count := f.arrivalRate(name, arrivalWindow) * spread.Seconds()
		if cautious {
			count = min(count, 2*f.arrivalRate(name, recentWindow)*spread.Seconds())
		}
		if bursts {
			count *= f.burstFactor(name, spread)
		}
		if f.waitObjective(name) > 0 {
			count *= f.settings.Policy.HeadroomFactor
		}
		if k := int(count + 0.5); k > 0 {
			j := &job{JobSpec: *w.spec, tasks: make([]task, k), submittedAt: f.now.Add(spread / 2)}
			out = append(out, demand{job: j, count: k, latestStart: f.controller.shardLeader.scheduler.latestStart(j), arrivalSpread: spread})
		}
	}
	slices.SortStableFunc(out, func(a, b demand) int {
		return cmp.Compare(f.controller.ranking.rankOf(a.job), f.controller.ranking.rankOf(b.job))
	})
	return out
}

package controller

import (
	"math"
	"time"

	"github.com/micahill/micahill/internal/message"
)

// workloadKey names a team's jobs of a workload.
type workloadKey struct{ team, workload string }

// workloadKeysOf are the teams whose jobs of a workload have lately come here, or came to
// whoever had them before.
func (f *fleetPlanner) workloadKeysOf(workload string) []workloadKey {
	var out []workloadKey
	for _, t := range sortedKeys(f.controller.shardLeader.teams) {
		k := workloadKey{t, workload}
		if _, told := f.controller.knowledge.inheritedLoads[k]; told || len(f.arrivals[k]) > 0 {
			out = append(out, k)
		}
	}
	return out
}

// burstFactor is how much more than the average a workload may well bring within a
// time. Jobs come by chance and differ in size about as much as their mean, so
// what comes varies by one part in the root of their number: by half where few
// come, by little where hundreds do.
func (f *fleetPlanner) burstFactor(name string, within time.Duration) float64 {
	jobs := 0.0
	for _, k := range f.workloadKeysOf(name) {
		jobs += float64(len(f.arrivals[k])) * within.Seconds() / arrivalWindow.Seconds()
	}
	return 1 + min(maxBurst, 1/math.Sqrt(max(jobs, 1)))
}

// maxBurst bounds what is kept in hand for chance.
const maxBurst = 0.5

// arrivalRate is the workload's tasks a second over the last while.
func (f *fleetPlanner) arrivalRate(name string, window time.Duration) float64 {
	sum := 0.0
	for _, k := range f.workloadKeysOf(name) {
		sum += f.teamArrivalRate(k, window)
	}
	return sum
}

// teamArrivalRate is that of one team. After a takeover, what a former owner told of it fills
// in for what was not seen.
func (f *fleetPlanner) teamArrivalRate(k workloadKey, window time.Duration) float64 {
	o := f.controller.shardLeader
	as := o.fleet.arrivals[k]
	for len(as) > 0 && f.now.Sub(as[0].arrivedAt) > arrivalWindow {
		as = as[1:]
	}
	o.fleet.arrivals[k] = as
	held := o.teams[k.team]
	if held == nil || !held.ready {
		return 0
	}
	old, told := f.controller.knowledge.inheritedLoads[k]
	span := f.now.Sub(held.readyAt)
	sum := 0
	for _, a := range as {
		if f.now.Sub(a.arrivedAt) <= window {
			sum += a.tasks
		}
	}
	if span >= window {
		return float64(sum) / window.Seconds()
	}
	if !told {
		if span < settleTime {
			return 0
		}
		// At the start, and after an outage or the end of all, what has gathered
		// meanwhile comes at once. Over the few seconds since, it looks like many
		// times what will come, and hundreds of machines would be rented for it.
		return float64(sum) / min(window, span+recentWindow).Seconds()
	}
	return (float64(sum) + old.TasksPerSecond*(window-span).Seconds()) / window.Seconds()
}

// workloadLoads is what a successor has to know of the teams' workloads.
func (f *fleetPlanner) workloadLoads() []message.WorkloadLoad {
	var out []message.WorkloadLoad
	for _, name := range sortedKeys(f.controller.shardLeader.workloads) {
		for _, k := range f.workloadKeysOf(name) {
			l := message.WorkloadLoad{Team: k.team, Workload: name, TasksPerSecond: f.teamArrivalRate(k, arrivalWindow), RunTimeRatio: 1}
			if e := f.controller.knowledge.estimators[name]; e != nil {
				l.RunTimeRatio, l.Deviation, l.Samples = e.ratio, e.deviation, e.samples
			}
			out = append(out, l)
		}
	}
	return out
}

// inheritLoads keeps what another controller, the owner of teams now, tells of their
// workloads.
func (c *Controller) inheritLoads(ls []message.WorkloadLoad) {
	for _, l := range ls {
		k := workloadKey{l.Team, l.Workload}
		if c.shardLeader != nil && c.shardLeader.teams[l.Team] != nil {
			continue
		}
		c.knowledge.inheritedLoads[k] = l
		if e := c.knowledge.estimators[l.Workload]; l.Samples > 0 && (c.shardLeader == nil || e == nil || e.samples < l.Samples) {
			c.knowledge.estimators[l.Workload] = &estimator{ratio: l.RunTimeRatio, deviation: l.Deviation, samples: l.Samples}
		}
	}
}

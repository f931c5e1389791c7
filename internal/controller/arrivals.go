package controller

import (
	"math"
	"time"

	"github.com/micahill/micahill/internal/message"
	"github.com/micahill/micahill/internal/model"
)

// arrivalWindow is how far back arrivals count, recentWindow the part of it that shows soonest when
// they have ended.
const (
	arrivalWindow = 90 * time.Second
	recentWindow  = 30 * time.Second
)

// workloadKey names a team's jobs of a workload.
type workloadKey struct{ team, workload string }

// arrival is a job that was submitted lately.
type arrival struct {
	arrivedAt time.Time
	tasks     int
	need      model.Resources
	spec      *model.JobSpec
}

// maxBurst bounds burstFactor's addition for chance.
const maxBurst = 0.5

// recordArrival notes a job that has just been submitted.
func (f *fleetPlanner) recordArrival(j *job) {
	k := workloadKey{j.Team, j.Workload}
	f.arrivals[k] = append(f.arrivals[k], arrival{f.now, j.Tasks, j.Need, &j.JobSpec})
}

// forgetArrivals drops the arrivals of a team's workload: the team has left this shard.
func (f *fleetPlanner) forgetArrivals(k workloadKey) { delete(f.arrivals, k) }

// workloadKeysOf returns the teams, as keys, whose jobs of a workload have lately arrived here or at
// the previous shard leader of the team.
func (f *fleetPlanner) workloadKeysOf(workload string) []workloadKey {
	var out []workloadKey
	for _, t := range sortedKeys(f.controller.shardLeader.teams) {
		k := workloadKey{t, workload}
		if _, inherited := f.controller.knowledge.inheritedLoads[k]; inherited || len(f.arrivals[k]) > 0 {
			out = append(out, k)
		}
	}
	return out
}

// burstFactor is by how much the tasks of a workload that arrive within some time may well exceed
// the average. Jobs arrive at random and differ in size by about their mean, so the sum varies by
// one part in the square root of their number: by half where few arrive, by little where hundreds
// do.
func (f *fleetPlanner) burstFactor(name string, within time.Duration) float64 {
	jobs := 0.0
	for _, k := range f.workloadKeysOf(name) {
		jobs += float64(len(f.arrivals[k])) * within.Seconds() / arrivalWindow.Seconds()
	}
	return 1 + min(maxBurst, 1/math.Sqrt(max(jobs, 1)))
}

// arrivalRate is how many of the workload's tasks have arrived per second within the window.
func (f *fleetPlanner) arrivalRate(name string, window time.Duration) float64 {
	sum := 0.0
	for _, k := range f.workloadKeysOf(name) {
		sum += f.teamArrivalRate(k, window)
	}
	return sum
}

// teamArrivalRate is the rate of one team. After a takeover, the rate that the previous shard leader
// published stands for the time that was not seen here.
func (f *fleetPlanner) teamArrivalRate(k workloadKey, window time.Duration) float64 {
	as := f.arrivals[k]
	for len(as) > 0 && f.now.Sub(as[0].arrivedAt) > arrivalWindow {
		as = as[1:]
	}
	f.arrivals[k] = as
	held := f.controller.shardLeader.teams[k.team]
	if held == nil || !held.ready {
		return 0
	}
	old, inherited := f.controller.knowledge.inheritedLoads[k]
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
	if !inherited {
		if span < settleTime {
			return 0
		}
		// At the start, and after an outage, the work that has gathered arrives at once.
		// Divided by the few seconds since, it would look like a rate many times the
		// true one, and hundreds of machines would be rented for it.
		return float64(sum) / min(window, span+recentWindow).Seconds()
	}
	return (float64(sum) + old.TasksPerSecond*(window-span).Seconds()) / window.Seconds()
}

// workloadLoads returns what a successor needs to know of the teams' workloads.
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

// inheritLoads keeps what other shard leaders publish of their teams' workloads, in case this
// controller takes the teams over.
func (c *Controller) inheritLoads(ls []message.WorkloadLoad) {
	for _, l := range ls {
		if c.shardLeader != nil && c.shardLeader.teams[l.Team] != nil {
			continue
		}
		c.knowledge.inheritLoad(l, c.shardLeader == nil)
	}
}

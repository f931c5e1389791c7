package controller

import (
	"math"
	"time"

	"github.com/micahill/micahill/internal/message"
	"github.com/micahill/micahill/internal/model"
)

// arrivalWindow is how far back arrivals count for the arrival rate. recentWindow is the last part of
// arrivalWindow; its rate shows sooner that arrivals have ended.
const (
	arrivalWindow = 90 * time.Second
	recentWindow  = 30 * time.Second
)

// workloadKey identifies the jobs of one team in one workload.
type workloadKey struct{ team, workload string }

// arrival is a job that was submitted within arrivalWindow.
type arrival struct {
	arrivedAt time.Time
	tasks     int
	need      model.Resources
	spec      *model.JobSpec
}

// maxBurst is the largest fraction that burstFactor adds to the average.
const maxBurst = 0.5

// recordArrival records the arrival of a job that has just been submitted.
func (f *fleetPlanner) recordArrival(j *job) {
	k := workloadKey{j.Team, j.Workload}
	f.arrivals[k] = append(f.arrivals[k], arrival{f.now, j.Tasks, j.Need, &j.JobSpec})
}

// forgetArrivals drops the arrivals of a team's workload when the team has left this shard.
func (f *fleetPlanner) forgetArrivals(k workloadKey) { delete(f.arrivals, k) }

// workloadKeysOf returns the keys of a workload for the teams whose jobs of it have arrived here within
// arrivalWindow, or for which the previous shard leader of the team published a load.
func (f *fleetPlanner) workloadKeysOf(workload string) []workloadKey {
	var out []workloadKey
	for _, team := range sortedKeys(f.controller.shardLeader.teams) {
		key := workloadKey{team, workload}
		if _, inherited := f.controller.knowledge.inheritedLoads[key]; inherited || len(f.arrivals[key]) > 0 {
			out = append(out, key)
		}
	}
	return out
}

// burstFactor returns the factor by which the number of a workload's tasks that arrive within a time may
// exceed the average. Jobs arrive at random, and the standard deviation of their sizes is about the mean
// size. The sum therefore varies by about one over the square root of the number of jobs: by half where
// few jobs arrive, by little where hundreds arrive.
func (f *fleetPlanner) burstFactor(name string, within time.Duration) float64 {
	jobs := 0.0
	for _, k := range f.workloadKeysOf(name) {
		jobs += float64(len(f.arrivals[k])) * within.Seconds() / arrivalWindow.Seconds()
	}
	return 1 + min(maxBurst, 1/math.Sqrt(max(jobs, 1)))
}

// arrivalRate returns how many of the workload's tasks arrived per second within the window.
func (f *fleetPlanner) arrivalRate(name string, window time.Duration) float64 {
	sum := 0.0
	for _, k := range f.workloadKeysOf(name) {
		sum += f.teamArrivalRate(k, window)
	}
	return sum
}

// teamArrivalRate returns the arrival rate of one team's workload in tasks per second. For the part of the
// window before this shard leader had taken the team over, it assumes the rate that the previous shard
// leader published.
func (f *fleetPlanner) teamArrivalRate(key workloadKey, window time.Duration) float64 {
	arrivals := f.arrivals[key]
	for len(arrivals) > 0 && f.now.Sub(arrivals[0].arrivedAt) > arrivalWindow {
		arrivals = arrivals[1:]
	}
	f.arrivals[key] = arrivals
	teamState := f.controller.shardLeader.teams[key.team]
	if teamState == nil || !teamState.ready {
		return 0
	}
	inheritedLoad, inherited := f.controller.knowledge.inheritedLoads[key]
	span := f.now.Sub(teamState.readyAt)
	sum := 0
	for _, a := range arrivals {
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
		// At the start of the cluster and after an outage, the jobs that have accumulated
		// arrive at once. Divided by the few seconds since then, their tasks would look
		// like many times the true rate, and hundreds of machines would be rented for it.
		return float64(sum) / min(window, span+recentWindow).Seconds()
	}
	return (float64(sum) + inheritedLoad.TasksPerSecond*(window-span).Seconds()) / window.Seconds()
}

// workloadLoads returns the arrival rates and run time estimates of the teams' workloads, which a successor
// needs.
func (f *fleetPlanner) workloadLoads() []message.WorkloadLoad {
	var out []message.WorkloadLoad
	for _, name := range sortedKeys(f.controller.shardLeader.workloads) {
		for _, key := range f.workloadKeysOf(name) {
			load := message.WorkloadLoad{Team: key.team, Workload: name, TasksPerSecond: f.teamArrivalRate(key, arrivalWindow), RunTimeRatio: 1}
			if estimator := f.controller.knowledge.estimators[name]; estimator != nil {
				load.RunTimeRatio, load.Deviation, load.Samples = estimator.ratio, estimator.deviation, estimator.samples
			}
			out = append(out, load)
		}
	}
	return out
}

// inheritLoads keeps the workload loads that other shard leaders publish for their teams, in case this
// controller takes the teams over.
func (c *Controller) inheritLoads(loads []message.WorkloadLoad) {
	for _, load := range loads {
		if c.shardLeader != nil && c.shardLeader.teams[load.Team] != nil {
			continue
		}
		c.knowledge.inheritLoad(load, c.shardLeader == nil)
	}
}

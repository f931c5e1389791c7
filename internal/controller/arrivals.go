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
func (planner *fleetPlanner) recordArrival(j *job) {
	k := workloadKey{j.Team, j.Workload}
	planner.arrivals[k] = append(planner.arrivals[k], arrival{planner.now, j.Tasks, j.Need, &j.JobSpec})
}

// forgetArrivals drops the arrivals of a team's workload when the team has left this shard.
func (planner *fleetPlanner) forgetArrivals(k workloadKey) { delete(planner.arrivals, k) }

// workloadKeysOf returns the keys of a workload for the teams whose jobs of it have arrived here within
// arrivalWindow, or for which the previous shard leader of the team published a load.
func (planner *fleetPlanner) workloadKeysOf(workload string) []workloadKey {
	var out []workloadKey
	for _, team := range sortedKeys(planner.controller.shardLeader.teams) {
		key := workloadKey{team, workload}
		if _, inherited := planner.controller.knowledge.inheritedLoads[key]; inherited || len(planner.arrivals[key]) > 0 {
			out = append(out, key)
		}
	}
	return out
}

// burstFactor returns the factor by which the number of a workload's tasks that arrive within a time may
// exceed the average. Jobs arrive at random, and the standard deviation of their sizes is about the mean
// size. The sum therefore varies by about one over the square root of the number of jobs: by half where
// few jobs arrive, by little where hundreds arrive.
func (planner *fleetPlanner) burstFactor(name string, within time.Duration) float64 {
	jobs := 0.0
	for _, k := range planner.workloadKeysOf(name) {
		jobs += float64(len(planner.arrivals[k])) * within.Seconds() / arrivalWindow.Seconds()
	}
	return 1 + min(maxBurst, 1/math.Sqrt(max(jobs, 1)))
}

// arrivalRate returns how many of the workload's tasks arrived per second within the window.
func (planner *fleetPlanner) arrivalRate(name string, window time.Duration) float64 {
	sum := 0.0
	for _, k := range planner.workloadKeysOf(name) {
		sum += planner.teamArrivalRate(k, window)
	}
	return sum
}

// teamArrivalRate returns the arrival rate of one team's workload in tasks per second. For the part of the
// window before this shard leader had taken the team over, it assumes the rate that the previous shard
// leader published.
func (planner *fleetPlanner) teamArrivalRate(key workloadKey, window time.Duration) float64 {
	arrivals := planner.arrivals[key]
	for len(arrivals) > 0 && planner.now.Sub(arrivals[0].arrivedAt) > arrivalWindow {
		arrivals = arrivals[1:]
	}
	planner.arrivals[key] = arrivals
	teamState := planner.controller.shardLeader.teams[key.team]
	if teamState == nil || !teamState.ready {
		return 0
	}
	inheritedLoad, inherited := planner.controller.knowledge.inheritedLoads[key]
	span := planner.now.Sub(teamState.readyAt)
	sum := 0
	for _, a := range arrivals {
		if planner.now.Sub(a.arrivedAt) <= window {
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
func (planner *fleetPlanner) workloadLoads() []message.WorkloadLoad {
	var out []message.WorkloadLoad
	for _, name := range sortedKeys(planner.controller.shardLeader.workloads) {
		for _, key := range planner.workloadKeysOf(name) {
			load := message.WorkloadLoad{Team: key.team, Workload: name, TasksPerSecond: planner.teamArrivalRate(key, arrivalWindow), RunTimeRatio: 1}
			if estimator := planner.controller.knowledge.estimators[name]; estimator != nil {
				load.RunTimeRatio, load.Deviation, load.Samples = estimator.ratio, estimator.deviation, estimator.samples
			}
			out = append(out, load)
		}
	}
	return out
}

// inheritLoads keeps the workload loads that other shard leaders publish for their teams, in case this
// controller takes the teams over.
func (controller *Controller) inheritLoads(loads []message.WorkloadLoad) {
	for _, load := range loads {
		if controller.shardLeader != nil && controller.shardLeader.teams[load.Team] != nil {
			continue
		}
		controller.knowledge.inheritLoad(load, controller.shardLeader == nil)
	}
}

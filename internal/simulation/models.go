package simulation

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/micahill/micahill/internal/controller"
	"github.com/micahill/micahill/internal/model"
)

// This file generates and evaluates days with models. A model is a long-running job whose replicas
// take between one and all eight GPUs of a machine. Machines with eight GPUs are added to the cloud
// for them.

// gpusPerMachine is the number of GPUs of a machine for models.
const gpusPerMachine = 8

// Validate returns an error if Enabled lists an unknown capability.
func (params *DayParams) Validate() error {
	_, err := params.capabilities()
	return err
}

// capabilities returns the enabled capabilities, with the values that the settings in deploy/ use.
func (params *DayParams) capabilities() (out controller.Capabilities, err error) {
	for _, s := range params.Enabled {
		all := s == "all"
		switch s {
		case "all", "ranking", "promises", "models":
		default:
			err = fmt.Errorf("days: --on %s: only ranking, promises, models and all can be switched on", s)
		}
		if all || s == "ranking" {
			out.Ranking = true
		}
		if all || s == "promises" {
			out.Promises, out.PromiseFraction = true, 0.95
		}
		if all || s == "models" {
			out.Models, out.MaxMigratingFraction, out.MigrationCooldown = true, 0.1, 5*time.Minute
		}
	}
	return out, err
}

// modelMachineType returns the machine type for models.
func modelMachineType(zone string) model.MachineType {
	return model.MachineType{
		Name: "host", Capacity: model.Resources{CPU: 64, GPU: gpusPerMachine, Memory: 512}, DiskGB: 300, ImageFetchRate: 1, CostPerHour: 12, SpotCostPerHour: 4.5,
		ProvisioningTime: 40 * time.Second, Zones: []string{zone},
	}
}

// modelJob is a model with the times of its submission and cancellation, counted from the day's
// begin. cancelAt is 0 if the model is not cancelled.
type modelJob struct {
	spec     model.JobSpec
	submitAt time.Duration
	cancelAt time.Duration
}

// generateModels draws a day's models. At first small and medium models fill the machines, and most
// of them are cancelled over time. From the middle of the day on large models are submitted, each
// of which needs a whole machine. Their replicas need no more machines than would be empty if the
// remaining models were packed as tightly as possible.
func generateModels(day *Day) {
	rng := rand.New(rand.NewPCG(day.Seed, 2718))
	span := float64(day.Minutes) * float64(time.Minute)
	day.Settings.Teams = slices.Clone(day.Settings.Teams)
	drawTime := func(from, to float64) time.Duration { return time.Duration(span * (from + (to-from)*rng.Float64())) }
	remainingGPUs := 0
	add := func(name string, gpus float64, replicas, names int, gb, cancelled float64, u model.Urgency, from, to float64) {
		entry := modelJob{submitAt: drawTime(from, to), spec: model.JobSpec{
			Workload: name, Team: day.Settings.Teams[rng.IntN(day.Teams)].Name, LongRunning: true, Urgency: u, Tasks: replicas,
			Need: model.Resources{CPU: 6 * gpus, GPU: gpus, Memory: 32 * gpus}, Image: fmt.Sprintf("%s-%d", name, rng.IntN(names)), ImageGB: gb,
		}}
		if rng.Float64() < cancelled {
			entry.cancelAt = entry.submitAt + drawTime(0.15, 0.75)
		} else {
			remainingGPUs += replicas * int(gpus)
		}
		for i := range day.Settings.Teams {
			// Raise the quota limit so that it allows the team's models in addition to its other
			// jobs.
			if team := &day.Settings.Teams[i]; team.Name == entry.spec.Team && team.QuotaLimit.CPU > 0 {
				team.QuotaLimit.CPU += entry.spec.Need.CPU * float64(replicas)
			}
		}
		day.models = append(day.models, entry)
	}
	for range int(float64(day.Models) * (2.5 + 1.5*rng.Float64())) {
		add("model-small", 1, 1+rng.IntN(3), 6, 10, 0.75, model.Normal, 0, 0.1)
	}
	for range 1 + day.Models/3 {
		add("model-mid", 2, 1+rng.IntN(2), 4, 20, 0.5, model.Normal, 0, 0.3)
	}
	// Keep one machine in reserve beside those that the remaining models need.
	whole := day.Models - (remainingGPUs+gpusPerMachine-1)/gpusPerMachine - 1
	for range max(0, min(whole, 1+day.Models*(3+rng.IntN(3))/10)) {
		add("model-large", gpusPerMachine, 1, 3, 60, 0, model.Urgent, 0.5, 1)
	}
}

// submitModels schedules the submissions and cancellations of the day's models.
func (day *Day) submitModels(world *World) {
	for _, entry := range day.models {
		spec := entry.spec
		spec.ID = world.nextJobID()
		world.schedule(entry.submitAt, func() { world.Submit(spec, 0, false) })
		if entry.cancelAt > 0 {
			world.schedule(entry.cancelAt, func() { world.Cancel(spec.ID) })
		}
	}
}

// replicaHistory is a replica of a long-running job over all its attempts.
type replicaHistory struct {
	// upTime is the time for which the replica was up, without the current period since upSince.
	upTime           time.Duration
	upSince          time.Time
	downSince        time.Time
	stoppedByCommand bool
	// downTimes are the durations for which the replica was down after a command had stopped it.
	downTimes []time.Duration
}

// replicaUp records that a replica runs from now on; it ignores tasks of other jobs.
func (world *World) replicaUp(task *workerTask) {
	if !task.job.spec.LongRunning {
		return
	}
	history := task.job.replicas[task.index]
	if history == nil {
		history = &replicaHistory{}
		task.job.replicas[task.index] = history
	}
	if history.stoppedByCommand {
		history.downTimes = append(history.downTimes, world.now.Sub(history.downSince))
	}
	history.upSince, history.downSince, history.stoppedByCommand = world.now, time.Time{}, false
}

// replicaDown records that a replica does not run from now on; it ignores tasks of other jobs.
func (world *World) replicaDown(task *workerTask) {
	if history := task.job.replicas[task.index]; history != nil && history.downSince.IsZero() {
		history.upTime += world.now.Sub(history.upSince)
		history.downSince, history.stoppedByCommand = world.now, task.cause == "stopped"
	}
}

// ModelSummary is the outcome of a day's models that were not cancelled.
type ModelSummary struct {
	// LargeModels counts the models whose replicas take whole machines. LargeStarted counts those
	// of them of which all replicas started.
	LargeModels  int `json:"large"`
	LargeStarted int `json:"large_begun"`
	// Wait is the time from the submission of a large model to the start of its last replica. Up is
	// the fraction of the time since then for which the replicas were up; a model that did not
	// start counts as down since its submission.
	Wait Distribution `json:"large_wait_s"`
	Up   float64      `json:"large_up"`
	// OthersUnstarted counts the other models of which not all replicas started.
	OthersUnstarted int `json:"others_unbegun"`
	// FragmentedGPUs counts the free GPUs of partly used machines at the end of the day.
	FragmentedGPUs int `json:"gpus_in_pieces"`
	// Stopped counts how often a command stopped a replica of a model that was not cancelled. Down
	// is how long the replicas were down after that.
	Stopped int          `json:"stopped"`
	Down    Distribution `json:"down_s"`
}

// modelSums adds up a day's models.
type modelSums struct {
	ModelSummary
	wait, down *hdrhistogram.Histogram
	// upSeconds and wantedSeconds are replica-seconds of the large models: the time for which
	// replicas were up, and the time for which they should have been up.
	upSeconds, wantedSeconds float64
}

// modelSummary returns the outcome of the models that were not cancelled, and the GPU
// fragmentation.
func (world *World) modelSummary() *ModelSummary {
	sums := modelSums{wait: newHistogram(), down: newHistogram()}
	for _, id := range sortedKeys(world.jobs) {
		if job := world.jobs[id]; job.spec.LongRunning && !job.cancelRequested {
			sums.add(job, world.now)
		}
	}
	summary := &sums.ModelSummary
	if sums.wantedSeconds > 0 {
		summary.Up = sums.upSeconds / sums.wantedSeconds
	}
	summary.Wait, summary.Down = distributionOf(sums.wait), distributionOf(sums.down)
	summary.FragmentedGPUs = world.fragmentedGPUs()
	return summary
}

// add counts a model in its state at now.
func (sums *modelSums) add(job *userJob, now time.Time) {
	for _, history := range job.replicas {
		downs := history.downTimes
		if history.stoppedByCommand {
			downs = append(slices.Clone(downs), now.Sub(history.downSince))
		}
		for _, duration := range downs {
			sums.Stopped++
			recordMillis(sums.down, duration)
		}
	}
	if job.spec.Need.GPU < gpusPerMachine {
		if !job.isServed() {
			sums.OthersUnstarted++
		}
		return
	}
	sums.LargeModels++
	if !job.isServed() {
		recordMillis(sums.wait, now.Sub(job.submitted))
		sums.wantedSeconds += now.Sub(job.submitted).Seconds()
		return
	}
	started := time.Time{}
	for _, at := range job.firstStarts {
		if at.After(started) {
			started = at
		}
	}
	sums.LargeStarted++
	recordMillis(sums.wait, started.Sub(job.submitted))
	sums.wantedSeconds += now.Sub(started).Seconds() * float64(job.spec.Tasks)
	for _, history := range job.replicas {
		sums.upSeconds += history.upTime.Seconds()
		if history.downSince.IsZero() {
			sums.upSeconds += now.Sub(history.upSince).Seconds()
		}
	}
}

// fragmentedGPUs counts the free GPUs of machines of which other GPUs are in use.
func (world *World) fragmentedGPUs() int {
	free := 0
	for _, machine := range world.fleet {
		used := 0.0
		for _, task := range machine.tasks {
			if task.status != model.Ended {
				used += task.job.spec.Need.GPU
			}
		}
		if machine.up(world.now) && used > 0 {
			free += int(machine.Size.GPU - used)
		}
	}
	return free
}

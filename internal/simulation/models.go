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
func (p *DayParams) Validate() error {
	_, err := p.capabilities()
	return err
}

// capabilities returns the enabled capabilities, with the values that the settings in deploy/ use.
func (p *DayParams) capabilities() (out controller.Capabilities, err error) {
	for _, s := range p.Enabled {
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
// of which needs a whole machine. There are no more of them than machines that are empty if the
// remaining models are packed as tightly as possible.
func generateModels(d *Day) {
	rng := rand.New(rand.NewPCG(d.Seed, 2718))
	span := float64(d.Minutes) * float64(time.Minute)
	d.Settings.Teams = slices.Clone(d.Settings.Teams)
	part := func(from, to float64) time.Duration { return time.Duration(span * (from + (to-from)*rng.Float64())) }
	remainingGPUs := 0
	add := func(name string, gpus float64, replicas, names int, gb, cancelled float64, u model.Urgency, from, to float64) {
		m := modelJob{submitAt: part(from, to), spec: model.JobSpec{
			Workload: name, Team: d.Settings.Teams[rng.IntN(d.Teams)].Name, LongRunning: true, Urgency: u, Tasks: replicas,
			Need: model.Resources{CPU: 6 * gpus, GPU: gpus, Memory: 32 * gpus}, Image: fmt.Sprintf("%s-%d", name, rng.IntN(names)), ImageGB: gb,
		}}
		if rng.Float64() < cancelled {
			m.cancelAt = m.submitAt + part(0.15, 0.75)
		} else {
			remainingGPUs += replicas * int(gpus)
		}
		for i := range d.Settings.Teams {
			// Raise the quota limit so that it allows the team's models in addition to its other
			// jobs.
			if t := &d.Settings.Teams[i]; t.Name == m.spec.Team && t.QuotaLimit.CPU > 0 {
				t.QuotaLimit.CPU += m.spec.Need.CPU * float64(replicas)
			}
		}
		d.models = append(d.models, m)
	}
	for range int(float64(d.Models) * (2.5 + 1.5*rng.Float64())) {
		add("model-small", 1, 1+rng.IntN(3), 6, 10, 0.75, model.Normal, 0, 0.1)
	}
	for range 1 + d.Models/3 {
		add("model-mid", 2, 1+rng.IntN(2), 4, 20, 0.5, model.Normal, 0, 0.3)
	}
	// Keep one machine in reserve beside those that the remaining models need.
	whole := d.Models - (remainingGPUs+gpusPerMachine-1)/gpusPerMachine - 1
	for range max(0, min(whole, 1+d.Models*(3+rng.IntN(3))/10)) {
		add("model-large", gpusPerMachine, 1, 3, 60, 0, model.Urgent, 0.5, 1)
	}
}

// submitModels schedules the submissions and cancellations of the day's models.
func (d *Day) submitModels(w *World) {
	for _, m := range d.models {
		s := m.spec
		s.ID = w.nextJobID()
		w.schedule(m.submitAt, func() { w.Submit(s, 0, false) })
		if m.cancelAt > 0 {
			w.schedule(m.cancelAt, func() { w.Cancel(s.ID) })
		}
	}
}

// replica is a replica of a long-running job over all its attempts.
type replica struct {
	// upTime is the time for which the replica was up, without the current period since upSince.
	upTime           time.Duration
	upSince          time.Time
	downSince        time.Time
	stoppedByCommand bool
	// downTimes are the durations for which the replica was down after a command had stopped it.
	downTimes []time.Duration
}

// replicaUp records that a replica runs from now on; it ignores tasks of other jobs.
func (w *World) replicaUp(t *workerTask) {
	if !t.job.spec.LongRunning {
		return
	}
	r := t.job.replicas[t.index]
	if r == nil {
		r = &replica{}
		t.job.replicas[t.index] = r
	}
	if r.stoppedByCommand {
		r.downTimes = append(r.downTimes, w.now.Sub(r.downSince))
	}
	r.upSince, r.downSince, r.stoppedByCommand = w.now, time.Time{}, false
}

// replicaDown records that a replica does not run from now on; it ignores tasks of other jobs.
func (w *World) replicaDown(t *workerTask) {
	if r := t.job.replicas[t.index]; r != nil && r.downSince.IsZero() {
		r.upTime += w.now.Sub(r.upSince)
		r.downSince, r.stoppedByCommand = w.now, t.cause == "stopped"
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
func (w *World) modelSummary() *ModelSummary {
	sums := modelSums{wait: newHistogram(), down: newHistogram()}
	for _, id := range sortedKeys(w.jobs) {
		if j := w.jobs[id]; j.spec.LongRunning && !j.cancelRequested {
			sums.add(j, w.now)
		}
	}
	r := &sums.ModelSummary
	if sums.wantedSeconds > 0 {
		r.Up = sums.upSeconds / sums.wantedSeconds
	}
	r.Wait, r.Down = distributionOf(sums.wait), distributionOf(sums.down)
	r.FragmentedGPUs = w.fragmentedGPUs()
	return r
}

// add counts a model in its state at now.
func (s *modelSums) add(j *userJob, now time.Time) {
	for _, x := range j.replicas {
		downs := x.downTimes
		if x.stoppedByCommand {
			downs = append(slices.Clone(downs), now.Sub(x.downSince))
		}
		for _, d := range downs {
			s.Stopped++
			recordMillis(s.down, d)
		}
	}
	if j.spec.Need.GPU < gpusPerMachine {
		if !j.isServed() {
			s.OthersUnstarted++
		}
		return
	}
	s.LargeModels++
	if !j.isServed() {
		recordMillis(s.wait, now.Sub(j.submitted))
		s.wantedSeconds += now.Sub(j.submitted).Seconds()
		return
	}
	started := time.Time{}
	for _, at := range j.firstStarts {
		if at.After(started) {
			started = at
		}
	}
	s.LargeStarted++
	recordMillis(s.wait, started.Sub(j.submitted))
	s.wantedSeconds += now.Sub(started).Seconds() * float64(j.spec.Tasks)
	for _, x := range j.replicas {
		s.upSeconds += x.upTime.Seconds()
		if x.downSince.IsZero() {
			s.upSeconds += now.Sub(x.upSince).Seconds()
		}
	}
}

// fragmentedGPUs counts the free GPUs of machines of which other GPUs are in use.
func (w *World) fragmentedGPUs() int {
	free := 0
	for _, m := range w.fleet {
		used := 0.0
		for _, t := range m.tasks {
			if t.status != model.Ended {
				used += t.job.spec.Need.GPU
			}
		}
		if m.up(w.now) && used > 0 {
			free += int(m.Size.GPU - used)
		}
	}
	return free
}

package standin

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/micahill/micahill/internal/core"
)

// models.go has days with models: hosts of eight GPUs beside the other machines, and
// standing jobs whose replicas take one of them up to a whole host.

// hostGPUs is what a host has.
const hostGPUs = 8

// Check says what is wrong with the names of what is to be switched on.
func (p *DayParams) Check() error {
	_, err := p.product()
	return err
}

// product is what is switched on, with what deploy/ has for it.
func (p *DayParams) product() (out core.Capabilities, err error) {
	for _, s := range p.On {
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

func modelHost(zone string) core.MachineType {
	return core.MachineType{
		Name: "host", Capacity: core.Resources{CPU: 64, GPU: hostGPUs, Memory: 512}, DiskGB: 300, ImageFetchRate: 1, CostPerHour: 12, SpotCostPerHour: 4.5,
		ProvisioningTime: 40 * time.Second, Zones: []string{zone},
	}
}

// modelJob is a model that comes at a time of the day, and is cancelled at another
// unless that is 0.
type modelJob struct {
	spec   core.JobSpec
	at     time.Duration
	cancel time.Duration
}

// drawModels draws models: small and middle ones fill the hosts at first, and most are
// cancelled by and by; from the middle of the day on large ones come, no more than
// what is left has whole hosts for if the rest is packed.
func drawModels(d *Day) {
	rng := rand.New(rand.NewPCG(d.Seed, 2718))
	span := float64(d.Minutes) * float64(time.Minute)
	d.Settings.Teams = slices.Clone(d.Settings.Teams)
	part := func(from, to float64) time.Duration { return time.Duration(span * (from + (to-from)*rng.Float64())) }
	left := 0
	add := func(name string, gpus float64, replicas, names int, gb, cancelled float64, u core.Urgency, from, to float64) {
		m := modelJob{at: part(from, to), spec: core.JobSpec{
			Workload: name, Team: d.Settings.Teams[rng.IntN(d.Teams)].Name, LongRunning: true, Urgency: u, Tasks: replicas,
			Need: core.Resources{CPU: 6 * gpus, GPU: gpus, Memory: 32 * gpus}, Image: fmt.Sprintf("%s-%d", name, rng.IntN(names)), ImageGB: gb,
		}}
		if rng.Float64() < cancelled {
			m.cancel = m.at + part(0.15, 0.75)
		} else {
			left += replicas * int(gpus)
		}
		for i := range d.Settings.Teams {
			// A limit is enough for the team's models as well.
			if t := &d.Settings.Teams[i]; t.Name == m.spec.Team && t.QuotaLimit.CPU > 0 {
				t.QuotaLimit.CPU += m.spec.Need.CPU * float64(replicas)
			}
		}
		d.models = append(d.models, m)
	}
	for range int(float64(d.Models) * (2.5 + 1.5*rng.Float64())) {
		add("model-small", 1, 1+rng.IntN(3), 6, 10, 0.75, core.Normal, 0, 0.1)
	}
	for range 1 + d.Models/3 {
		add("model-mid", 2, 1+rng.IntN(2), 4, 20, 0.5, core.Normal, 0, 0.3)
	}
	// One whole host more than the rest takes is left out.
	whole := d.Models - (left+hostGPUs-1)/hostGPUs - 1
	for range max(0, min(whole, 1+d.Models*(3+rng.IntN(3))/10)) {
		add("model-large", hostGPUs, 1, 3, 60, 0, core.Urgent, 0.5, 1)
	}
}

// modelJobs lets the day's models come and go.
func (d *Day) modelJobs(w *World) {
	for _, m := range d.models {
		w.names++
		s := m.spec
		s.ID = fmt.Sprintf("job-%06d", w.names)
		w.after(m.at, func() { w.Submit(s, 0, false) })
		if m.cancel > 0 {
			w.after(m.cancel, func() { w.Abort(s.ID) })
		}
	}
}

// replica is one of a standing job, as it comes and goes.
type replica struct {
	up      time.Duration
	since   time.Time
	gone    time.Time
	stopped bool
	// downs are the times that it was gone after it had been stopped by an order.
	downs []time.Duration
}

func (w *World) replicaUp(t *workerTask) {
	if !t.job.spec.LongRunning {
		return
	}
	r := t.job.replicas[t.index]
	if r == nil {
		r = &replica{}
		t.job.replicas[t.index] = r
	}
	if r.stopped {
		r.downs = append(r.downs, w.now.Sub(r.gone))
	}
	r.since, r.gone, r.stopped = w.now, time.Time{}, false
}

func (w *World) replicaDown(t *workerTask) {
	if r := t.job.replicas[t.index]; r != nil && r.gone.IsZero() {
		r.up += w.now.Sub(r.since)
		r.gone, r.stopped = w.now, t.cause == "stopped"
	}
}

// ModelResult is what became of a day's models.
type ModelResult struct {
	Large int `json:"large"`
	Begun int `json:"large_begun"`
	// Wait is of the large ones for all their replicas, and Up the part of the time
	// since then that they were up; 0 for one that did not begin.
	Wait Dist    `json:"large_wait_s"`
	Up   float64 `json:"large_up"`
	// Unbegun counts the others that did not begin, and were not cancelled.
	Unbegun int `json:"others_unbegun"`
	// Pieces are free GPUs of hosts that are partly taken at the end.
	Pieces int `json:"gpus_in_pieces"`
	// Stopped counts how often replicas were stopped, but for cancellations, and Down
	// is how long they were gone then.
	Stopped int  `json:"stopped"`
	Down    Dist `json:"down_s"`
}

func (w *World) modelResult() *ModelResult {
	r := &ModelResult{}
	wait, down := newHistogram(), newHistogram()
	up, whole := 0.0, 0.0
	for _, id := range sorted(w.jobs) {
		j := w.jobs[id]
		if !j.spec.LongRunning || j.aborting {
			continue
		}
		begun := time.Time{}
		for _, at := range j.began {
			if at.After(begun) {
				begun = at
			}
		}
		if !j.served() {
			begun = w.now
		}
		for _, x := range j.replicas {
			downs := x.downs
			if x.stopped {
				downs = append(slices.Clone(downs), w.now.Sub(x.gone))
			}
			for _, at := range downs {
				r.Stopped++
				_ = down.RecordValue(max(1, at.Milliseconds()))
			}
		}
		if j.spec.Need.GPU < hostGPUs {
			if !j.served() {
				r.Unbegun++
			}
			continue
		}
		r.Large++
		_ = wait.RecordValue(max(1, begun.Sub(j.submitted).Milliseconds()))
		if !j.served() {
			whole += w.now.Sub(j.submitted).Seconds()
			continue
		}
		r.Begun++
		whole += w.now.Sub(begun).Seconds() * float64(j.spec.Tasks)
		for _, x := range j.replicas {
			up += x.up.Seconds()
			if x.gone.IsZero() {
				up += w.now.Sub(x.since).Seconds()
			}
		}
	}
	if whole > 0 {
		r.Up = up / whole
	}
	r.Wait, r.Down = dist(wait), dist(down)
	for _, m := range w.fleet {
		used := 0.0
		for _, t := range m.tasks {
			if t.status != core.Ended {
				used += t.job.spec.Need.GPU
			}
		}
		if m.up(w.now) && used > 0 {
			r.Pieces += int(m.Size.GPU - used)
		}
	}
	return r
}

package simulation

import (
	"fmt"
	"slices"
	"time"

	"github.com/micahill/micahill/internal/controller"
	"github.com/micahill/micahill/internal/model"
)

// DayParams are the parameters of a day. GenerateDay draws those that are 0 from the seed.
type DayParams struct {
	// Seed seeds all random numbers of the day.
	Seed uint64 `json:"seed"`
	// Machines is about how many machines the cloud has.
	Machines    int `json:"machines"`
	Teams       int `json:"teams"`
	Controllers int `json:"controllers"`
	// Jobs is how many ordinary jobs are submitted.
	Jobs int `json:"jobs"`
	// FaultCount is how many listed faults there are; -1 means none.
	FaultCount int `json:"faults"`
	// Minutes is how long jobs are submitted.
	Minutes int `json:"minutes"`
	// HotFactor is how many times the work of another team the first team has.
	HotFactor int `json:"hot"`
	// UnlistedFaults adds the faults of unlisted_faults.go.
	UnlistedFaults bool `json:"unlisted"`
	// ProtocolFaults adds the faults of protocol_faults.go. It implies UnlistedFaults.
	ProtocolFaults bool `json:"product,omitempty"`
	// OverlappingFaults makes two or three faults of any kind overlap while users cancel many jobs;
	// see overlaps.go. They replace drawn listed faults.
	OverlappingFaults bool `json:"meetings,omitempty"`
	// Pipelines adds jobs with dependencies, and users who cancel some of them; see pipelines.go.
	Pipelines bool `json:"pipelines,omitempty"`
	// Models is how many machines with eight GPUs there are for models; see models.go.
	Models int `json:"models,omitempty"`
	// MixedJobs varies the kinds of jobs and skews the controllers' clocks; see mixed_jobs.go.
	MixedJobs bool `json:"mixed,omitempty"`
	// CancelMarginS is by how many seconds the time in which a cancelled job's tasks must be gone
	// exceeds the worker lease; 0 means defaultCancelMarginS.
	CancelMarginS int `json:"cancel_room_s,omitempty"`
	// Enabled names the capabilities that are switched on: ranking, promises, models, or all.
	Enabled []string `json:"on,omitempty"`
}

// Day is a day that can be played: all its parameters are set.
type Day struct {
	DayParams
	Settings controller.Settings `json:"-"`
	Faults   []Fault             `json:"troubles"`
	// Cancels is set on days with overlapping faults.
	Cancels   *MassCancel `json:"cancels,omitempty"`
	workloads []workloadClass
	// failingFraction is the part of the jobs that fail on every machine until their users cancel
	// them.
	failingFraction float64
	// guestTeam is a team that first submits jobs in the middle of the day, if not empty.
	guestTeam string
	// models are the day's models, in the order in which they were drawn.
	models []modelJob
}

// workloadClass describes the jobs of one workload; the numbers are means.
type workloadClass struct {
	// name is the workload's name.
	name string
	// cpu is how many CPUs a task needs.
	cpu float64
	// tasks is how many tasks a job has.
	tasks float64
	// run is how long a task runs.
	run time.Duration
	// imageGB is the size of the image, in GB.
	imageGB float64
	urgency model.Urgency
	// dueFactor is the deadline as a multiple of the run time; 0 means no deadline.
	dueFactor float64
	// jobFraction is the part of the day's jobs that have this workload.
	jobFraction float64
}

// teamWeight is the weight of a team in the draw of a job's team.
func (d *Day) teamWeight(team int) float64 {
	if team == 0 {
		return float64(d.HotFactor)
	}
	return 1
}

// cloudInventory returns the machine types and how many machines there are of each, by capacityKey.
func (d *Day) cloudInventory() ([]model.MachineType, map[string]int) {
	types := []model.MachineType{
		{Name: "box", Capacity: model.Resources{CPU: 4, Memory: 32}, DiskGB: 50, ImageFetchRate: 0.3, CostPerHour: 0.2, SpotCostPerHour: 0.07, ProvisioningTime: 40 * time.Second, Zones: d.Settings.Zones},
		{Name: "rack", Capacity: model.Resources{CPU: 32, Memory: 128}, DiskGB: 70, ImageFetchRate: 0.4, CostPerHour: 1.45, SpotCostPerHour: 0.53, ProvisioningTime: 20 * time.Second, Zones: d.Settings.Zones[:1]},
	}
	capacity := map[string]int{}
	for _, z := range d.Settings.Zones {
		each := max(1, d.Machines/len(d.Settings.Zones))
		capacity["box/"+z+"/true"], capacity["box/"+z+"/false"] = max(1, each*45/100), max(1, each*45/100)
	}
	capacity["rack/"+d.Settings.Zones[0]+"/true"], capacity["rack/"+d.Settings.Zones[0]+"/false"] = max(1, d.Machines*6/100), max(1, d.Machines*4/100)
	if d.Models > 0 {
		types = append(types, modelMachineType(d.Settings.Zones[0]))
		capacity["host/"+d.Settings.Zones[0]+"/false"] = d.Models
	}
	return types, capacity
}

// Shrink drops faults from a day as long as broken still holds of its result.
func Shrink(d Day, broken func(DayResult) bool, progress func(string)) Day {
	for again := true; again; {
		again = false
		for i := range d.Faults {
			smaller := d
			smaller.Faults = slices.Delete(slices.Clone(d.Faults), i, i+1)
			if r := RunDay(smaller, ""); broken(r) {
				progress(fmt.Sprintf("still broken without %s", d.Faults[i]))
				d, again = smaller, true
				break
			}
		}
	}
	return d
}

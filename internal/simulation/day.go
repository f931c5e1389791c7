package simulation

import (
	"fmt"
	"slices"
	"time"

	"github.com/micahill/micahill/internal/controller"
	"github.com/micahill/micahill/internal/model"
)

// DayParams are the parameters of a simulated day. GenerateDay draws Teams, Controllers, Machines,
// Minutes, HotFactor, FaultCount and Jobs if they are 0.
type DayParams struct {
	// Seed is the seed of all random numbers of the day.
	Seed uint64 `json:"seed"`
	// Machines is the approximate number of machines that the cloud has.
	Machines int `json:"machines"`
	// Teams is the number of teams, without the guest team, and Controllers the number of
	// controllers.
	Teams       int `json:"teams"`
	Controllers int `json:"controllers"`
	// Jobs is the number of ordinary jobs. Pipelines, models and the jobs that a guest team or
	// overlapping faults add are not counted.
	Jobs int `json:"jobs"`
	// FaultCount is the number of listed faults; -1 means none.
	FaultCount int `json:"faults"`
	// Minutes is how long ordinary jobs are submitted.
	Minutes int `json:"minutes"`
	// HotFactor is the weight of the first team in the draw of a job's team; every other team has
	// the weight 1.
	HotFactor int `json:"hot"`
	// UnlistedFaults adds the faults of unlisted_faults.go.
	UnlistedFaults bool `json:"unlisted"`
	// ProtocolFaults adds the faults of protocol_faults.go. It implies UnlistedFaults.
	ProtocolFaults bool `json:"product,omitempty"`
	// OverlappingFaults makes two or three faults of any kind overlap while users cancel many jobs;
	// see overlaps.go. Listed faults are then added only if FaultCount is positive.
	OverlappingFaults bool `json:"meetings,omitempty"`
	// Pipelines adds jobs with dependencies, some of which users cancel; see pipelines.go.
	Pipelines bool `json:"pipelines,omitempty"`
	// Models is the number of machines with eight GPUs for models; see models.go.
	Models int `json:"models,omitempty"`
	// MixedJobs varies the kinds of jobs and skews the controllers' clocks; see mixed_jobs.go.
	MixedJobs bool `json:"mixed,omitempty"`
	// CancelMarginS is the number of seconds by which cancel_s, the time within which the tasks of
	// a cancelled job must have ended, exceeds the worker lease; 0 means defaultCancelMarginS.
	CancelMarginS int `json:"cancel_room_s,omitempty"`
	// Enabled lists the capabilities that are switched on: ranking, promises, models, or all.
	Enabled []string `json:"on,omitempty"`
}

// Day is a day that RunDay can run: all its parameters are set.
type Day struct {
	DayParams
	Settings controller.Settings `json:"-"`
	// Faults are all faults of the day, sorted by their begin.
	Faults []Fault `json:"troubles"`
	// Cancels is the mass cancellation of a day with overlapping faults, otherwise nil.
	Cancels *MassCancel `json:"cancels,omitempty"`
	// workloads are the workloads of the ordinary jobs.
	workloads []workloadClass
	// failingFraction is the fraction of the ordinary jobs that fail on every machine until their
	// users cancel them.
	failingFraction float64
	// guestTeam is the name of a team that submits its first jobs during the day, or empty.
	guestTeam string
	// models are the day's models, in the order in which they were drawn.
	models []modelJob
}

// workloadClass describes the jobs of one workload. The numbers are the approximate means of the
// drawn values.
type workloadClass struct {
	// name is the workload's name.
	name string
	// cpu is the number of CPUs that a task needs.
	cpu float64
	// tasks is the number of tasks of a job.
	tasks float64
	// run is the run time of a task.
	run time.Duration
	// imageGB is the size of the image, in GB.
	imageGB float64
	// urgency is the urgency of the jobs.
	urgency model.Urgency
	// dueFactor is the deadline as a multiple of the run time; 0 means no deadline.
	dueFactor float64
	// jobFraction is the fraction of the day's ordinary jobs that have this workload.
	jobFraction float64
}

// teamWeight returns the weight of the team with an index in the draw of a job's team.
func (day *Day) teamWeight(team int) float64 {
	if team == 0 {
		return float64(day.HotFactor)
	}
	return 1
}

// cloudInventory returns the machine types of the day's cloud and the number of machines, by
// capacityKey.
func (day *Day) cloudInventory() ([]model.MachineType, map[string]int) {
	types := []model.MachineType{
		{Name: "box", Capacity: model.Resources{CPU: 4, Memory: 32}, DiskGB: 50, ImageFetchRate: 0.3, CostPerHour: 0.2, SpotCostPerHour: 0.07, ProvisioningTime: 40 * time.Second, Zones: day.Settings.Zones},
		{Name: "rack", Capacity: model.Resources{CPU: 32, Memory: 128}, DiskGB: 70, ImageFetchRate: 0.4, CostPerHour: 1.45, SpotCostPerHour: 0.53, ProvisioningTime: 20 * time.Second, Zones: day.Settings.Zones[:1]},
	}
	capacity := map[string]int{}
	for _, z := range day.Settings.Zones {
		each := max(1, day.Machines/len(day.Settings.Zones))
		capacity["box/"+z+"/true"], capacity["box/"+z+"/false"] = max(1, each*45/100), max(1, each*45/100)
	}
	capacity["rack/"+day.Settings.Zones[0]+"/true"], capacity["rack/"+day.Settings.Zones[0]+"/false"] = max(1, day.Machines*6/100), max(1, day.Machines*4/100)
	if day.Models > 0 {
		types = append(types, modelMachineType(day.Settings.Zones[0]))
		capacity["host/"+day.Settings.Zones[0]+"/false"] = day.Models
	}
	return types, capacity
}

// Shrink removes faults from a day one at a time, as long as broken still returns true for the
// result of the day. progress is called with a message for each fault that was removed.
func Shrink(day Day, broken func(DayResult) bool, progress func(string)) Day {
	for again := true; again; {
		again = false
		for i := range day.Faults {
			smaller := day
			smaller.Faults = slices.Delete(slices.Clone(day.Faults), i, i+1)
			if result := RunDay(smaller, ""); broken(result) {
				progress(fmt.Sprintf("still broken without %s", day.Faults[i]))
				day, again = smaller, true
				break
			}
		}
	}
	return day
}

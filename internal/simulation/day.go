package simulation

import (
	"fmt"
	"slices"
	"time"

	"github.com/micahill/micahill/internal/controller"
	"github.com/micahill/micahill/internal/model"
)

// DayParams say what a day is to be like; what is 0 is drawn from the seed.
type DayParams struct {
	Seed        uint64 `json:"seed"`
	Machines    int    `json:"machines"`
	Teams       int    `json:"teams"`
	Controllers int    `json:"controllers"`
	// Jobs is how many come in all, and Faults how many troubles; -1: none.
	Jobs       int `json:"jobs"`
	FaultCount int `json:"faults"`
	// Minutes is how long jobs come.
	Minutes int `json:"minutes"`
	// HotFactor makes one team have so many times the work of the others.
	HotFactor int `json:"hot"`
	// UnlistedFaults adds troubles that were on no list; see unlisted.go.
	UnlistedFaults bool `json:"unlisted"`
	// ProtocolFaults adds those of the protocol's addition, and implies Unlisted; see
	// product.go.
	ProtocolFaults bool `json:"product,omitempty"`
	// OverlappingFaults has two or three troubles of all lists meet, and users cancel many jobs
	// around them; see meetings.go. They stand in the place of drawn listed ones.
	OverlappingFaults bool `json:"meetings,omitempty"`
	// Pipelines has jobs that need others, and users who cancel in the middle of them; see
	// pipelines.go.
	Pipelines bool `json:"pipelines,omitempty"`
	// Models is how many hosts with eight GPUs there are, for models; see models.go.
	Models int `json:"models,omitempty"`
	// MixedJobs has jobs of all kinds, and controllers whose clocks are off; see mixed.go.
	MixedJobs bool `json:"mixed,omitempty"`
	// CancelMarginS is how many seconds longer than a lease a cancelled job's tasks may last;
	// 0: as many as on all known sites.
	CancelMarginS int `json:"cancel_room_s,omitempty"`
	// Enabled names what is switched on: ranking, promises, models, or all.
	Enabled []string `json:"on,omitempty"`
}

// Day is a day that can be played: its params are all set.
type Day struct {
	DayParams
	Settings controller.Settings `json:"-"`
	Faults   []Fault             `json:"troubles"`
	// Cancels is there on days of meetings.
	Cancels   *MassCancel `json:"cancels,omitempty"`
	workloads []workloadClass
	// failingFraction is the part of the jobs that fail on every machine, until their users
	// cancel them, and guest a team that comes in the middle of the day.
	failingFraction float64
	guestTeam       string
	models          []modelJob
}

// workloadClass is a workload.
type workloadClass struct {
	name        string
	cpu         float64
	tasks       float64
	run         time.Duration
	imageGB     float64
	urgency     model.Urgency
	dueFactor   float64
	jobFraction float64
}

// teamWeight is a team's part in the jobs.
func (d *Day) teamWeight(team int) float64 {
	if team == 0 {
		return float64(d.HotFactor)
	}
	return 1
}

// cloudInventory is what machines there are, and how many of each.
func (d *Day) cloudInventory() ([]model.MachineType, map[string]int) {
	types := []model.MachineType{
		{Name: "box", Capacity: model.Resources{CPU: 4, Memory: 32}, DiskGB: 50, ImageFetchRate: 0.3, CostPerHour: 0.2, SpotCostPerHour: 0.07, ProvisioningTime: 40 * time.Second, Zones: d.Settings.Zones},
		{Name: "rack", Capacity: model.Resources{CPU: 32, Memory: 128}, DiskGB: 70, ImageFetchRate: 0.4, CostPerHour: 1.45, SpotCostPerHour: 0.53, ProvisioningTime: 20 * time.Second, Zones: d.Settings.Zones[:1]},
	}
	capacity := map[string]int{}
	for _, z := range d.Settings.Zones {
		each := max(1, d.Machines/len(d.Settings.Zones))
		capacity[capacityKey("box", z, true)], capacity[capacityKey("box", z, false)] = max(1, each*45/100), max(1, each*45/100)
	}
	capacity[capacityKey("rack", d.Settings.Zones[0], true)], capacity[capacityKey("rack", d.Settings.Zones[0], false)] = max(1, d.Machines*6/100), max(1, d.Machines*4/100)
	if d.Models > 0 {
		types = append(types, modelMachineType(d.Settings.Zones[0]))
		capacity[capacityKey("host", d.Settings.Zones[0], false)] = d.Models
	}
	return types, capacity
}

// Shrink leaves out troubles of a day as long as the day stays broken.
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

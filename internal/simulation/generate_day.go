package simulation

import (
	"cmp"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/micahill/micahill/internal/controller"
	"github.com/micahill/micahill/internal/model"
)

// dayStream is the second seed word of the random stream for a day's parameters and listed faults.
// Each optional part of a day has its own stream, so that adding the part leaves the rest of the
// day the same.
const dayStream = 4711

// GenerateDay draws a day from the seed of the parameters. The same parameters give the same day.
func GenerateDay(params DayParams) Day {
	rng := rand.New(rand.NewPCG(params.Seed, dayStream))
	keepListed := params.FaultCount > 0 || !params.OverlappingFaults
	params.drawMissing(rng)
	day := Day{DayParams: params}
	day.Settings = day.generateSettings(rng)
	day.workloads = []workloadClass{
		{"rush", 4, 4, 20 * time.Second, 0.8, model.Urgent, 2.5, 0.45},
		{"batch", 2, 10, 30 * time.Second, 1, model.Normal, 2, 0.45},
		{"wide", 8, 12, 40 * time.Second, 3, model.Normal, 0, 0.1},
	}
	// The listed faults are drawn even if they are not kept: existing day files and seeds depend on
	// the random numbers that follow.
	if listed := day.generateListedFaults(rng); keepListed {
		day.Faults = listed
	}
	day.UnlistedFaults = params.UnlistedFaults || params.ProtocolFaults
	if day.UnlistedFaults {
		generateUnlistedFaults(&day)
	}
	if params.ProtocolFaults {
		generateProtocolFaults(&day)
	}
	if day.UnlistedFaults && !params.OverlappingFaults {
		generateRepeats(&day, nil)
		generateRestartCopies(&day, nil)
		day.sortFaults()
	}
	if params.OverlappingFaults {
		generateOverlap(&day)
	}
	if params.Models > 0 {
		generateModels(&day)
	}
	if params.MixedJobs {
		day.Settings.MaxClockError = maxClockSkew
	}
	day.Settings.Capabilities, _ = params.capabilities()
	return day
}

// drawMissing draws the parameters that are 0.
func (params *DayParams) drawMissing(rng *rand.Rand) {
	// Every value is drawn, also for a parameter that is set, so that setting one parameter does
	// not change the others.
	setIfZero := func(v *int, draw func() int) {
		if d := draw(); *v == 0 {
			*v = d
		}
	}
	setIfZero(&params.Teams, func() int { return 1 + rng.IntN(9) })
	setIfZero(&params.Controllers, func() int { return 3 + rng.IntN(5) })
	setIfZero(&params.Machines, func() int { return int(20 * math.Pow(50, rng.Float64())) })
	setIfZero(&params.Minutes, func() int { return 4 })
	setIfZero(&params.HotFactor, func() int { return []int{1, 1, 3, 10}[rng.IntN(4)] })
	setIfZero(&params.FaultCount, func() int { return 1 + rng.IntN(9) })
	// A task takes a machine of four CPUs for about 30 s, and a job has about 8 tasks. This number
	// of jobs uses half of the fleet.
	setIfZero(&params.Jobs, func() int { return max(10, int(float64(params.Machines)*float64(params.Minutes)*60/30/2/8)) })
}

// generateSettings draws the controllers' settings.
func (day *Day) generateSettings(rng *rand.Rand) controller.Settings {
	valueBytes := []int{1, 2, 4, 16}[rng.IntN(4)] << 10
	startsPerSecond := float64(day.Jobs) * 8 / float64(day.Minutes*60)
	settings := controller.Settings{
		Zones: []string{"a", "b"}[:1+rng.IntN(2)], HeartbeatInterval: time.Duration(3+rng.IntN(6)) * time.Second,
		MaxTxnWrites: 4 + rng.IntN(20), MaxValueBytes: valueBytes, CloudListLag: time.Duration(2+rng.IntN(9)) * time.Second, CloudRequestsPerSecond: 3 + 7*rng.Float64(),
		// The limits are close to what the day's jobs need.
		StoreWritesPerSecond:   10 + startsPerSecond + 3*float64(day.Jobs)/float64(day.Minutes*60) + 5*rng.Float64(),
		StoreRequestsPerSecond: 20*float64(day.Controllers) + 2*startsPerSecond,
		Policy:                 controller.DefaultPolicy(),
		Objectives:             []model.Objective{{Kind: "wait", Workload: "rush", Within: 3 * time.Second, Fraction: 0.9}, {Kind: "deadline", Workload: "rush", Fraction: 0.98, DeadlineFactor: 1}},
	}
	settings.WorkerLease = 4*settings.HeartbeatInterval + time.Duration(4+rng.IntN(10))*time.Second
	for i := range day.Teams {
		team := model.Team{Name: fmt.Sprintf("team-%c", 'a'+i)}
		if rng.IntN(4) == 0 {
			// The quota limit allows the team's share of the fleet.
			team.QuotaLimit.CPU = math.Round(max(32, float64(day.Machines)*4*day.teamWeight(i)/(float64(day.Teams)-1+float64(day.HotFactor))))
		}
		if rng.IntN(5) == 0 {
			team.GuaranteedQuota.CPU = math.Round(float64(day.Machines) * 2 / float64(day.Teams))
			if team.QuotaLimit.CPU > 0 {
				team.GuaranteedQuota.CPU = min(team.GuaranteedQuota.CPU, team.QuotaLimit.CPU)
			}
		}
		settings.Teams = append(settings.Teams, team)
	}
	return settings
}

// generateListedFaults draws FaultCount faults of faultKinds, in the order of their begin.
func (day *Day) generateListedFaults(rng *rand.Rand) []Fault {
	var faults []Fault
	for range max(0, day.FaultCount) {
		fault := Fault{
			Kind: faultKinds[rng.IntN(len(faultKinds))], At: time.Duration(30+rng.IntN(day.Minutes*60-30)) * time.Second, Duration: time.Duration(5+rng.IntN(50)) * time.Second,
			Controller: rng.IntN(day.Controllers), HoldMessages: rng.IntN(2) == 0, Fraction: []float64{0.02, 0.1, 0.3}[rng.IntN(3)],
			Link: []string{"state", "workers", "*", "peers", "cloud"}[rng.IntN(5)],
		}
		if fault.Kind != "cut" {
			fault.Link = ""
		}
		switch fault.Kind {
		case "die", "hang", "machine_cut", "taken":
		default:
			fault.Fraction = 0
		}
		faults = append(faults, fault)
	}
	// A stable sort would change the order of faults of the same second, and with it the days of
	// existing seeds.
	slices.SortFunc(faults, func(a, b Fault) int { return cmp.Compare(a.At, b.At) })
	return faults
}

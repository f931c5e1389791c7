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
	d := Day{DayParams: params}
	d.Settings = d.generateSettings(rng)
	d.workloads = []workloadClass{
		{"rush", 4, 4, 20 * time.Second, 0.8, model.Urgent, 2.5, 0.45},
		{"batch", 2, 10, 30 * time.Second, 1, model.Normal, 2, 0.45},
		{"wide", 8, 12, 40 * time.Second, 3, model.Normal, 0, 0.1},
	}
	// The listed faults are drawn even if they are not kept: existing day files and seeds depend on
	// the random numbers that follow.
	if listed := d.generateListedFaults(rng); keepListed {
		d.Faults = listed
	}
	d.UnlistedFaults = params.UnlistedFaults || params.ProtocolFaults
	if d.UnlistedFaults {
		generateUnlistedFaults(&d)
	}
	if params.ProtocolFaults {
		generateProtocolFaults(&d)
	}
	if params.OverlappingFaults {
		generateOverlap(&d)
	}
	if params.Models > 0 {
		generateModels(&d)
	}
	if params.MixedJobs {
		d.Settings.MaxClockError = maxClockSkew
	}
	d.Settings.Capabilities, _ = params.capabilities()
	return d
}

// drawMissing draws the parameters that are 0.
func (p *DayParams) drawMissing(rng *rand.Rand) {
	// Every value is drawn, also for a parameter that is set, so that setting one parameter does
	// not change the others.
	setIfZero := func(v *int, draw func() int) {
		if d := draw(); *v == 0 {
			*v = d
		}
	}
	setIfZero(&p.Teams, func() int { return 1 + rng.IntN(9) })
	setIfZero(&p.Controllers, func() int { return 3 + rng.IntN(5) })
	setIfZero(&p.Machines, func() int { return int(20 * math.Pow(50, rng.Float64())) })
	setIfZero(&p.Minutes, func() int { return 4 })
	setIfZero(&p.HotFactor, func() int { return []int{1, 1, 3, 10}[rng.IntN(4)] })
	setIfZero(&p.FaultCount, func() int { return 1 + rng.IntN(9) })
	// A task takes a machine of four CPUs for about 30 s, and a job has about 8 tasks. This number
	// of jobs uses half of the fleet.
	setIfZero(&p.Jobs, func() int { return max(10, int(float64(p.Machines)*float64(p.Minutes)*60/30/2/8)) })
}

// generateSettings draws the controllers' settings.
func (d *Day) generateSettings(rng *rand.Rand) controller.Settings {
	valueBytes := []int{1, 2, 4, 16}[rng.IntN(4)] << 10
	startsPerSecond := float64(d.Jobs) * 8 / float64(d.Minutes*60)
	settings := controller.Settings{
		Zones: []string{"a", "b"}[:1+rng.IntN(2)], HeartbeatInterval: time.Duration(3+rng.IntN(6)) * time.Second,
		MaxTxnWrites: 4 + rng.IntN(20), MaxValueBytes: valueBytes, CloudListLag: time.Duration(2+rng.IntN(9)) * time.Second, CloudRequestsPerSecond: 3 + 7*rng.Float64(),
		// The limits are close to what the day's jobs need.
		StoreWritesPerSecond:   10 + startsPerSecond + 3*float64(d.Jobs)/float64(d.Minutes*60) + 5*rng.Float64(),
		StoreRequestsPerSecond: 20*float64(d.Controllers) + 2*startsPerSecond,
		Policy:                 controller.DefaultPolicy(),
		Objectives:             []model.Objective{{Kind: "wait", Workload: "rush", Within: 3 * time.Second, Fraction: 0.9}, {Kind: "deadline", Workload: "rush", Fraction: 0.98, DeadlineFactor: 1}},
	}
	settings.WorkerLease = 4*settings.HeartbeatInterval + time.Duration(4+rng.IntN(10))*time.Second
	for i := range d.Teams {
		t := model.Team{Name: fmt.Sprintf("team-%c", 'a'+i)}
		if rng.IntN(4) == 0 {
			// The quota limit allows the team's share of the fleet.
			t.QuotaLimit.CPU = math.Round(max(32, float64(d.Machines)*4*d.teamWeight(i)/(float64(d.Teams)-1+float64(d.HotFactor))))
		}
		if rng.IntN(5) == 0 {
			t.GuaranteedQuota.CPU = math.Round(float64(d.Machines) * 2 / float64(d.Teams))
			if t.QuotaLimit.CPU > 0 {
				t.GuaranteedQuota.CPU = min(t.GuaranteedQuota.CPU, t.QuotaLimit.CPU)
			}
		}
		settings.Teams = append(settings.Teams, t)
	}
	return settings
}

// generateListedFaults draws FaultCount faults of faultKinds, in the order of their begin.
func (d *Day) generateListedFaults(rng *rand.Rand) []Fault {
	var faults []Fault
	for range max(0, d.FaultCount) {
		f := Fault{
			Kind: faultKinds[rng.IntN(len(faultKinds))], At: time.Duration(30+rng.IntN(d.Minutes*60-30)) * time.Second, Duration: time.Duration(5+rng.IntN(50)) * time.Second,
			Controller: rng.IntN(d.Controllers), HoldMessages: rng.IntN(2) == 0, Fraction: []float64{0.02, 0.1, 0.3}[rng.IntN(3)],
			Link: []string{"state", "workers", "*", "peers", "cloud"}[rng.IntN(5)],
		}
		if f.Kind != "cut" {
			f.Link = ""
		}
		switch f.Kind {
		case "die", "hang", "machine_cut", "taken":
		default:
			f.Fraction = 0
		}
		faults = append(faults, f)
	}
	// A stable sort would change the order of faults of the same second, and with it the days of
	// existing seeds.
	slices.SortFunc(faults, func(a, b Fault) int { return cmp.Compare(a.At, b.At) })
	return faults
}

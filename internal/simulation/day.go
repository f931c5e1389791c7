package simulation

import (
	"cmp"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/micahill/micahill/internal/controller"
	"github.com/micahill/micahill/internal/message"
	"github.com/micahill/micahill/internal/model"
	"github.com/micahill/micahill/internal/record"
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

// Fault is a trouble of a day.
type Fault struct {
	At       time.Duration `json:"at_ns"`
	Duration time.Duration `json:"for_ns"`
	Kind     string        `json:"kind"`
	// Controller is a controller's number, and Link what it is cut from. Share is the part
	// of the machines that a trouble meets.
	Controller   int     `json:"node"`
	Link         string  `json:"link,omitempty"`
	HoldMessages bool    `json:"hold,omitempty"`
	Fraction     float64 `json:"share,omitempty"`
	// RestartAfter is how soon a process that ends is started again, and Late how much later
	// than the first something comes.
	RestartAfter time.Duration `json:"back_ns,omitempty"`
	Delay        time.Duration `json:"late_ns,omitempty"`
	// Zone is the only one that a trouble of machines meets.
	Zone string `json:"zone,omitempty"`
	// SlowFactor is how many times as slow something is.
	SlowFactor float64 `json:"times,omitempty"`
	// Busiest: instead of Node it meets the controller that most machines report to.
	Busiest bool `json:"busiest,omitempty"`
	// Count is how many jobs a trouble meets. Immediate: late writes are carried out at
	// once, and ForNextLeader: copies are kept for the next leader.
	Count         int  `json:"count,omitempty"`
	Immediate     bool `json:"at_once,omitempty"`
	ForNextLeader bool `json:"for_next,omitempty"`
}

func (f Fault) String() string {
	s := fmt.Sprintf("%.0fs %s", f.At.Seconds(), f.Kind)
	if f.Link != "" {
		s += " from " + f.Link
	}
	switch {
	case f.Kind == "machines" || f.Fraction > 0:
		s += fmt.Sprintf(" %.0f%%", 100*f.Fraction)
	case f.Count > 0:
		s += fmt.Sprintf(" %d", f.Count)
	case f.Busiest:
		s += " busiest"
	default:
		s += fmt.Sprintf(" node-%d", f.Controller)
	}
	if f.Immediate {
		s += " at_once"
	}
	if f.ForNextLeader {
		s += " for_next"
	}
	if f.Delay > 0 {
		s += fmt.Sprintf(" late=%.1fs", f.Delay.Seconds())
	}
	return fmt.Sprintf("%s for %.0fs hold=%v", s, f.Duration.Seconds(), f.HoldMessages)
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

// faultKinds are the troubles a day may have, the likelier the oftener they stand.
var faultKinds = []string{"crash", "crash", "crash_all", "cut", "cut", "cut", "refused", "outage", "cloud", "still", "die", "hang", "hang", "machine_cut", "machine_cut", "taken", "slow_state", "roll"}

// defaultSlowFactor is how many times as slow a slow state service is, if nothing else is said.
const defaultSlowFactor = 20.0

// GenerateDay draws a day.
func GenerateDay(params DayParams) Day {
	rng := rand.New(rand.NewPCG(params.Seed, 4711))
	keepListed := params.FaultCount > 0 || !params.OverlappingFaults
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
	// A task takes a box of four CPUs for some 30 s; the pool is to be half full.
	setIfZero(&params.Jobs, func() int { return max(10, int(float64(params.Machines)*float64(params.Minutes)*60/30/2/8)) })
	d := Day{DayParams: params}
	valueBytes := []int{1, 2, 4, 16}[rng.IntN(4)] << 10
	startsPerSecond := float64(params.Jobs) * 8 / float64(params.Minutes*60)
	settings := controller.Settings{
		Zones: []string{"a", "b"}[:1+rng.IntN(2)], HeartbeatInterval: time.Duration(3+rng.IntN(6)) * time.Second,
		MaxTxnWrites: 4 + rng.IntN(20), MaxValueBytes: valueBytes, CloudListLag: time.Duration(2+rng.IntN(9)) * time.Second, CloudRequestsPerSecond: 3 + 7*rng.Float64(),
		// Small, but enough for what comes.
		StoreWritesPerSecond:   10 + startsPerSecond + 3*float64(params.Jobs)/float64(params.Minutes*60) + 5*rng.Float64(),
		StoreRequestsPerSecond: 20*float64(params.Controllers) + 2*startsPerSecond,
		Policy:                 controller.DefaultPolicy(),
		Objectives:             []model.Objective{{Kind: "wait", Workload: "rush", Within: 3 * time.Second, Fraction: 0.9}, {Kind: "deadline", Workload: "rush", Fraction: 0.98, DeadlineFactor: 1}},
	}
	settings.WorkerLease = 4*settings.HeartbeatInterval + time.Duration(4+rng.IntN(10))*time.Second
	for i := range params.Teams {
		t := model.Team{Name: fmt.Sprintf("team-%c", 'a'+i)}
		if rng.IntN(4) == 0 {
			// Enough for the team's part of the work.
			t.QuotaLimit.CPU = math.Round(max(32, float64(params.Machines)*4*d.teamWeight(i)/(float64(params.Teams)-1+float64(params.HotFactor))))
		}
		if rng.IntN(5) == 0 {
			t.GuaranteedQuota.CPU = math.Round(float64(params.Machines) * 2 / float64(params.Teams))
			if t.QuotaLimit.CPU > 0 {
				t.GuaranteedQuota.CPU = min(t.GuaranteedQuota.CPU, t.QuotaLimit.CPU)
			}
		}
		settings.Teams = append(settings.Teams, t)
	}
	d.Settings = settings
	d.workloads = []workloadClass{
		{"rush", 4, 4, 20 * time.Second, 0.8, model.Urgent, 2.5, 0.45},
		{"batch", 2, 10, 30 * time.Second, 1, model.Normal, 2, 0.45},
		{"wide", 8, 12, 40 * time.Second, 3, model.Normal, 0, 0.1},
	}
	for range max(0, params.FaultCount) {
		f := Fault{
			Kind: faultKinds[rng.IntN(len(faultKinds))], At: time.Duration(30+rng.IntN(params.Minutes*60-30)) * time.Second, Duration: time.Duration(5+rng.IntN(50)) * time.Second,
			Controller: rng.IntN(params.Controllers), HoldMessages: rng.IntN(2) == 0, Fraction: []float64{0.02, 0.1, 0.3}[rng.IntN(3)],
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
		d.Faults = append(d.Faults, f)
	}
	slices.SortFunc(d.Faults, func(a, b Fault) int { return cmp.Compare(a.At, b.At) })
	if !keepListed {
		d.Faults = nil
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

// cloudInventory is what machines there are, and how many of each.
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

// Distribution sums up a distribution of times, in seconds.
type Distribution struct {
	P50 float64 `json:"p50"`
	P90 float64 `json:"p90"`
	Max float64 `json:"max"`
}

// histogram of milliseconds, up to an hour.
func newHistogram() *hdrhistogram.Histogram { return hdrhistogram.New(1, 3_600_000, 3) }

func distributionOf(h *hdrhistogram.Histogram) Distribution {
	s := func(v int64) float64 { return float64(v) / 1000 }
	return Distribution{s(h.ValueAtQuantile(50)), s(h.ValueAtQuantile(90)), s(h.Max())}
}

// Group is what became of a class or a team.
type Group struct {
	Name           string  `json:"name"`
	Jobs           int     `json:"jobs"`
	ServedFraction float64 `json:"served"`
	// Tasks are those of its jobs, and Ran the part of them that was done.
	Tasks             int     `json:"tasks"`
	CompletedFraction float64 `json:"ran"`
	// Wait is from the submission to the first start of each job, and Late how much
	// later than due jobs ended.
	Wait Distribution `json:"wait_s"`
	Late Distribution `json:"late_s"`
	// Largest is there for classes.
	Largest *LargestJobs `json:"largest,omitempty"`
}

// DayResult is what became of a day.
type DayResult struct {
	Day
	Violations []string `json:"broken"`
	// Margins is the least that was left to each rule with a time.
	Margins    map[string]Margin `json:"slack"`
	Classes    []Group           `json:"classes"`
	TeamGroups []Group           `json:"team"`
	// Starts counts starts, and LostToLease tasks killed since a lease ran out.
	Starts int `json:"starts"`
	// StartsAfterCancel counts those after a confirmed cancellation.
	StartsAfterCancel int `json:"started_cancelled"`
	LostToLease       int `json:"lost_to_lease"`
	// RefusedRequests counts users' requests that were refused.
	RefusedRequests   int     `json:"refused"`
	WritesPerSecond   float64 `json:"changes_per_s"`
	RateLimited       int     `json:"state_429"`
	MalformedRequests int     `json:"state_400"`
	LastMalformed     string  `json:"last_400,omitempty"`
	RentedMachines    int     `json:"rented"`
	// UnusedMachines counts machines on which nothing ever ran, and Money is in units of the
	// prices, an hour.
	UnusedMachines int      `json:"unused"`
	Cost           float64  `json:"money"`
	Log            []string `json:"-"`
	// Promises is there with promises.
	Promises *PromiseSummary `json:"dates,omitempty"`
	// ModelStats is there on days with models.
	ModelStats *ModelSummary `json:"model,omitempty"`
}

// Starved names the classes and teams of which less than half was served, also of a
// class's largest jobs, and the largest that did not begin in time.
func (r *DayResult) Starved() []string {
	var out []string
	for _, g := range append(slices.Clone(r.Classes), r.TeamGroups...) {
		if g.ServedFraction < 0.5 || g.CompletedFraction < 0.5 {
			out = append(out, fmt.Sprintf("%s %.2f of %d jobs, %.2f of their tasks", g.Name, g.ServedFraction, g.Jobs, g.CompletedFraction))
		}
		if l := g.Largest; l != nil && l.ServedFraction < 0.5 {
			out = append(out, fmt.Sprintf("%s %.2f of its largest jobs", g.Name, l.ServedFraction))
		}
		if l := g.Largest; l != nil && len(l.Late) > 0 {
			out = append(out, fmt.Sprintf("%s begins late: %s", g.Name, strings.Join(l.Late, "; ")))
		}
	}
	return out
}

// RunDay plays a day to its end: jobs come for its minutes; what was served is counted
// three minutes later, and it is played on until all had their time to begin and to be
// asked about. trace keeps the debug lines with a word in them.
func RunDay(d Day, trace string) DayResult { return d.run(trace, nil) }

// run is RunDay with a core made wrong on purpose, if there is a sabotage.
func (d Day) run(trace string, corrupt func(*World, message.Effect) message.Effect) DayResult {
	types, capacity := d.cloudInventory()
	w := NewWorld(d.Seed, d.Controllers, d.Settings, d.cancelWithin(), types, capacity)
	w.trace = trace
	if corrupt != nil {
		w.corruptEffect = func(e message.Effect) message.Effect { return corrupt(w, e) }
	}
	faultsEnd := d.lastFaultEnd()
	w.faultsEndAt = w.startedAt.Add(faultsEnd)
	w.stickyUsers = d.OverlappingFaults
	if d.UnlistedFaults || d.OverlappingFaults {
		w.disturbances = &disturbances{}
	}
	rng := rand.New(rand.NewPCG(d.Seed, 815))
	failureRNG := rand.New(rand.NewPCG(d.Seed, 816))
	cancelRNG := rand.New(rand.NewPCG(d.Seed, 817))
	jobMixer := newJobMix(&d)
	jobMixer.skewClocks(w)
	duration := time.Duration(d.Minutes) * time.Minute
	weights := 0.0
	for i := range d.Settings.Teams {
		weights += d.teamWeight(i)
	}
	for range d.Jobs {
		class := d.workloads[0]
		for x, k := rng.Float64(), 0; k < len(d.workloads); k++ {
			if class = d.workloads[k]; x < class.jobFraction {
				break
			}
			x -= class.jobFraction
		}
		team, x := 0, rng.Float64()*weights
		for ; team < d.Teams-1 && x > d.teamWeight(team); team++ {
			x -= d.teamWeight(team)
		}
		w.lastID++
		run := time.Duration(float64(class.run) * (0.5 + rng.Float64()))
		spec := model.JobSpec{
			ID: fmt.Sprintf("job-%06d", w.lastID), Workload: class.name, Team: d.Settings.Teams[team].Name, Urgency: class.urgency,
			Tasks: max(1, int(class.tasks*(0.2+1.6*rng.Float64()))), Need: model.Resources{CPU: class.cpu, Memory: 3 * class.cpu},
			Image: fmt.Sprintf("%s-%d", class.name, min(rng.IntN(12), rng.IntN(12))), ImageGB: class.imageGB, AllowSpot: rng.IntN(5) > 0, ExpectedRunTime: class.run,
			Deadline: time.Duration(class.dueFactor*float64(run)) + record.DurationOfSeconds(15*min(1, class.dueFactor)),
		}
		jobMixer.varyJob(&spec)
		alwaysFails := d.failingFraction > 0 && failureRNG.Float64() < d.failingFraction
		at := time.Duration(rng.Float64() * float64(duration))
		w.schedule(at, func() { w.Submit(spec, run, alwaysFails) })
		if alwaysFails {
			w.schedule(at+30*time.Second+time.Duration(failureRNG.IntN(120))*time.Second, func() { w.Cancel(spec.ID) })
		}
		if t, ok := d.Cancels.cancelTime(class.name, at, cancelRNG); ok {
			w.schedule(t, func() { w.Cancel(spec.ID) })
		}
		if spec.LongRunning {
			w.schedule(at+jobMixer.serviceTime(), func() { w.Cancel(spec.ID) })
		}
		if rng.IntN(25) == 0 {
			w.schedule(duration/2, func() {
				if w.jobs[spec.ID] != nil {
					w.Cancel(spec.ID)
				}
			})
		}
	}
	d.submitGuestJobs(w, rng, duration)
	d.submitLongJobs(w)
	d.submitPipelines(w)
	d.submitModels(w)
	for _, f := range d.Faults {
		w.schedule(f.At, func() { w.startFault(f, rng) })
	}
	countAt := max(d.extendedDeadline(0, duration+countServedAfter+d.extraCountTime()), faultsEnd+servedAfterFaults)
	w.Run(countAt)
	r := d.summarize(w)
	w.Run(max(0, faultsEnd+MaxUnanswered+endedPollInterval-countAt))
	for end := w.startedAt.Add(max(d.extendedDeadline(duration, maxStartWait), faultsEnd+maxStartWait+MaxUnanswered)); w.now.Before(end) && w.hasUnfinishedJobs(); {
		w.Run(endedPollInterval)
	}
	d.checkAtEnd(w, &r)
	if d.Models > 0 {
		r.ModelStats = w.modelSummary()
	}
	return r
}

// teamWeight is a team's part in the jobs.
func (d *Day) teamWeight(team int) float64 {
	if team == 0 {
		return float64(d.HotFactor)
	}
	return 1
}

// forSample calls fn with a part of the machines that are up, by chance.
func (w *World) forSample(part float64, rng *rand.Rand, fn func(*Worker)) {
	for _, m := range slices.Clone(w.fleet) {
		if m.up(w.now) && rng.Float64() < part {
			fn(m)
		}
	}
}

// startFault lets a fault begin.
func (w *World) startFault(f Fault, rng *rand.Rand) {
	if f.Busiest {
		f.Controller = w.busiestController()
	}
	if w.startUnlistedFault(f, rng) || w.startProtocolFault(f, rng) || w.startExtraFault(f, rng) || w.startOverlapFault(f) {
		return
	}
	target := w.controllers[f.Controller%len(w.controllers)]
	some := func(fn func(*Worker)) { w.forSample(f.Fraction, rng, fn) }
	switch f.Kind {
	case "crash":
		w.CrashController(target.index, 5*time.Second)
	case "crash_all":
		for i := range w.controllers {
			w.CrashController(i, 5*time.Second)
		}
	case "roll":
		for i := range w.controllers {
			w.schedule(time.Duration(i)*15*time.Second, func() { w.CrashController(i, 5*time.Second) })
		}
	case "cut":
		if f.Link != "peers" {
			w.Partition(target.name, f.Link, f.Duration, f.HoldMessages)
			break
		}
		for _, o := range w.controllers {
			if o != target {
				w.Partition(target.name, o.name, f.Duration, f.HoldMessages)
			}
		}
	case "refused":
		w.refuseController(target, f.Duration)
	case "outage":
		w.Outage(min(f.Duration, 30*time.Second))
	case "slow_state":
		w.stateSlowUntil, w.stateSlowFactor = w.now.Add(f.Duration), cmp.Or(f.SlowFactor, defaultSlowFactor)
	case "cloud":
		w.cloudOutage = true
		w.schedule(f.Duration, func() { w.cloudOutage = false })
	case "still":
		w.Pause(target.index, min(f.Duration, 40*time.Second))
	case "die":
		some(w.killMachine)
	case "hang":
		some(func(m *Worker) { m.hungUntil = w.now.Add(f.Duration) })
	case "machine_cut":
		some(func(m *Worker) { w.Partition(m.ID, "*", f.Duration, f.HoldMessages) })
	case "taken":
		some(func(m *Worker) {
			if m.Spot {
				m.reclaimAt = w.now.Add(time.Duration(rng.IntN(25)) * time.Second)
			}
		})
	}
}

func (d *Day) summarize(w *World) DayResult {
	r := DayResult{
		Day: *d, Starts: w.Starts, StartsAfterCancel: w.StartsAfterCancel, LostToLease: w.LostToLease, RefusedRequests: w.RefusedRequests,
		WritesPerSecond: float64(w.state.writeCount) / w.now.Sub(w.startedAt).Seconds(), RateLimited: w.state.RateLimited, MalformedRequests: w.state.Malformed, LastMalformed: w.state.LastMalformed,
		RentedMachines: len(w.machineIDs), Promises: w.promiseSummary(),
	}
	if w.state.Malformed > 0 {
		r.Violations = append(r.Violations, fmt.Sprintf("malformed: %d requests to the state service, the last: %s", w.state.Malformed, w.state.LastMalformed))
	}
	type sums struct {
		jobs, served int
		tasks, ran   int
		wait, late   *hdrhistogram.Histogram
	}
	sumsByGroup := map[string]*sums{}
	for _, id := range sortedKeys(w.jobs) {
		j := w.jobs[id]
		if j.isCancelled() || j.alwaysFails || j.invalid {
			continue
		}
		for _, k := range []string{"class " + j.spec.Workload, "team " + j.spec.Team} {
			s := sumsByGroup[k]
			if s == nil {
				s = &sums{wait: newHistogram(), late: newHistogram()}
				sumsByGroup[k] = s
			}
			s.jobs++
			s.tasks += j.spec.Tasks
			s.ran += j.completedCount()
			wait := w.now.Sub(j.eligibleSince())
			for _, at := range j.firstStarts {
				wait = min(wait, at.Sub(j.eligibleSince()))
			}
			_ = s.wait.RecordValue(max(1, wait.Milliseconds()))
			end := w.now
			if j.isServed() {
				s.served++
				end = j.finished
			}
			if j.spec.Deadline > 0 {
				_ = s.late.RecordValue(max(1, end.Sub(j.submitted.Add(j.spec.Deadline)).Milliseconds()))
			}
		}
	}
	largest := w.largestJobs()
	for _, k := range sortedKeys(sumsByGroup) {
		s := sumsByGroup[k]
		kind, name, _ := strings.Cut(k, " ")
		g := Group{Name: name, Jobs: s.jobs, ServedFraction: float64(s.served) / float64(s.jobs), Tasks: s.tasks, CompletedFraction: float64(s.ran) / float64(s.tasks), Wait: distributionOf(s.wait), Late: distributionOf(s.late)}
		if kind == "class" {
			if t, ok := largest[name]; ok {
				g.Largest = &LargestJobs{ServedFraction: d.largestServedFraction(w, t)}
			}
			r.Classes = append(r.Classes, g)
		} else {
			r.TeamGroups = append(r.TeamGroups, g)
		}
	}
	for _, id := range w.machineIDs {
		m := w.machines[id]
		end := w.now
		switch {
		case !m.goneAt.IsZero():
			end = m.goneAt
		case m.dead:
			end = m.diedAt
		}
		f := w.machineTypes[m.MachineType]
		price := f.CostPerHour
		if m.Spot {
			price = f.SpotCostPerHour
		}
		r.Cost += price * max(end.Sub(m.rentedAt), time.Minute).Hours()
		if !m.everUsed {
			r.UnusedMachines++
		}
	}
	if w.Starts == 0 {
		r.Violations = append(r.Violations, "nothing_ran")
	}
	return r
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

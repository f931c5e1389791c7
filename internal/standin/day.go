package standin

import (
	"cmp"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/micahill/micahill/internal/core"
)

// DayParams say what a day is to be like; what is 0 is drawn from the seed.
type DayParams struct {
	Seed        uint64 `json:"seed"`
	Machines    int    `json:"machines"`
	Teams       int    `json:"teams"`
	Controllers int    `json:"controllers"`
	// Jobs is how many come in all, and Faults how many troubles; -1: none.
	Jobs   int `json:"jobs"`
	Faults int `json:"faults"`
	// Minutes is how long jobs come.
	Minutes int `json:"minutes"`
	// Hot makes one team have so many times the work of the others.
	Hot int `json:"hot"`
	// Unlisted adds troubles that were on no list; see unlisted.go.
	Unlisted bool `json:"unlisted"`
	// Product adds those of the protocol's addition, and implies Unlisted; see
	// product.go.
	Product bool `json:"product,omitempty"`
	// Meetings has two or three troubles of all lists meet, and users cancel many jobs
	// around them; see meetings.go. They stand in the place of drawn listed ones.
	Meetings bool `json:"meetings,omitempty"`
	// Pipelines has jobs that need others, and users who cancel in the middle of them; see
	// pipelines.go.
	Pipelines bool `json:"pipelines,omitempty"`
	// Models is how many hosts with eight GPUs there are, for models; see models.go.
	Models int `json:"models,omitempty"`
	// Mixed has jobs of all kinds, and controllers whose clocks are off; see mixed.go.
	Mixed bool `json:"mixed,omitempty"`
	// CancelRoom is how many seconds longer than a lease a cancelled job's tasks may last;
	// 0: as many as on all known sites.
	CancelRoom int `json:"cancel_room_s,omitempty"`
	// On names what is switched on: ranking, promises, models, or all.
	On []string `json:"on,omitempty"`
}

// DayFault is a trouble of a day.
type DayFault struct {
	At   time.Duration `json:"at_ns"`
	For  time.Duration `json:"for_ns"`
	Kind string        `json:"kind"`
	// Node is a controller's number, and Link what it is cut from. Share is the part
	// of the machines that a trouble meets.
	Node  int     `json:"node"`
	Link  string  `json:"link,omitempty"`
	Hold  bool    `json:"hold,omitempty"`
	Share float64 `json:"share,omitempty"`
	// Back is how soon a process that ends is started again, and Late how much later
	// than the first something comes.
	Back time.Duration `json:"back_ns,omitempty"`
	Late time.Duration `json:"late_ns,omitempty"`
	// Zone is the only one that a trouble of machines meets.
	Zone string `json:"zone,omitempty"`
	// Times is how many times as slow something is.
	Times float64 `json:"times,omitempty"`
	// Busiest: instead of Node it meets the controller that most machines report to.
	Busiest bool `json:"busiest,omitempty"`
	// Count is how many jobs a trouble meets. AtOnce: late writes are carried out at
	// once, and ForNext: copies are kept for the next leader.
	Count   int  `json:"count,omitempty"`
	AtOnce  bool `json:"at_once,omitempty"`
	ForNext bool `json:"for_next,omitempty"`
}

func (f DayFault) String() string {
	s := fmt.Sprintf("%.0fs %s", f.At.Seconds(), f.Kind)
	if f.Link != "" {
		s += " from " + f.Link
	}
	switch {
	case f.Kind == "machines" || f.Share > 0:
		s += fmt.Sprintf(" %.0f%%", 100*f.Share)
	case f.Count > 0:
		s += fmt.Sprintf(" %d", f.Count)
	case f.Busiest:
		s += " busiest"
	default:
		s += fmt.Sprintf(" node-%d", f.Node)
	}
	if f.AtOnce {
		s += " at_once"
	}
	if f.ForNext {
		s += " for_next"
	}
	if f.Late > 0 {
		s += fmt.Sprintf(" late=%.1fs", f.Late.Seconds())
	}
	return fmt.Sprintf("%s for %.0fs hold=%v", s, f.For.Seconds(), f.Hold)
}

// Day is a day that can be played: its params are all set.
type Day struct {
	DayParams
	Settings core.Settings `json:"-"`
	Faults   []DayFault    `json:"troubles"`
	// Cancels is there on days of meetings.
	Cancels *MassCancel `json:"cancels,omitempty"`
	classes []dayClass
	// mistakes is the part of the jobs that fail on every machine, until their users
	// cancel them, and guest a team that comes in the middle of the day.
	mistakes float64
	guest    string
	models   []modelJob
}

// dayClass is a workload.
type dayClass struct {
	name    string
	cpu     float64
	tasks   float64
	run     time.Duration
	gb      float64
	urgency core.Urgency
	due     float64
	part    float64
}

// faultKinds are the troubles a day may have, the likelier the oftener they stand.
var faultKinds = []string{"crash", "crash", "crash_all", "cut", "cut", "cut", "refused", "outage", "cloud", "still", "die", "hang", "hang", "machine_cut", "machine_cut", "taken", "slow_state", "roll"}

// slowTimes is how many times as slow a slow state service is, if nothing else is said.
const slowTimes = 20.0

// DrawDay draws a day.
func DrawDay(p DayParams) Day {
	rng := rand.New(rand.NewPCG(p.Seed, 4711))
	listed := p.Faults > 0 || !p.Meetings
	pick := func(v *int, draw func() int) {
		if d := draw(); *v == 0 {
			*v = d
		}
	}
	pick(&p.Teams, func() int { return 1 + rng.IntN(9) })
	pick(&p.Controllers, func() int { return 3 + rng.IntN(5) })
	pick(&p.Machines, func() int { return int(20 * math.Pow(50, rng.Float64())) })
	pick(&p.Minutes, func() int { return 4 })
	pick(&p.Hot, func() int { return []int{1, 1, 3, 10}[rng.IntN(4)] })
	pick(&p.Faults, func() int { return 1 + rng.IntN(9) })
	// A task takes a box of four CPUs for some 30 s; the pool is to be half full.
	pick(&p.Jobs, func() int { return max(10, int(float64(p.Machines)*float64(p.Minutes)*60/30/2/8)) })
	d := Day{DayParams: p}
	values := []int{1, 2, 4, 16}[rng.IntN(4)] << 10
	starts := float64(p.Jobs) * 8 / float64(p.Minutes*60)
	set := core.Settings{
		Zones: []string{"a", "b"}[:1+rng.IntN(2)], HeartbeatInterval: time.Duration(3+rng.IntN(6)) * time.Second,
		MaxTxnWrites: 4 + rng.IntN(20), MaxValueBytes: values, CloudListLag: time.Duration(2+rng.IntN(9)) * time.Second, CloudRequestsPerSecond: 3 + 7*rng.Float64(),
		// Small, but enough for what comes.
		StoreWritesPerSecond:   10 + starts + 3*float64(p.Jobs)/float64(p.Minutes*60) + 5*rng.Float64(),
		StoreRequestsPerSecond: 20*float64(p.Controllers) + 2*starts,
		Policy:                 core.DefaultPolicy(),
		Objectives:             []core.Objective{{Kind: "wait", Workload: "rush", Within: 3 * time.Second, Fraction: 0.9}, {Kind: "deadline", Workload: "rush", Fraction: 0.98, DeadlineFactor: 1}},
	}
	set.WorkerLease = 4*set.HeartbeatInterval + time.Duration(4+rng.IntN(10))*time.Second
	for i := range p.Teams {
		t := core.Team{Name: fmt.Sprintf("team-%c", 'a'+i)}
		if rng.IntN(4) == 0 {
			// Enough for the team's part of the work.
			t.QuotaLimit.CPU = math.Round(max(32, float64(p.Machines)*4*d.weight(i)/(float64(p.Teams)-1+float64(p.Hot))))
		}
		if rng.IntN(5) == 0 {
			t.GuaranteedQuota.CPU = math.Round(float64(p.Machines) * 2 / float64(p.Teams))
			if t.QuotaLimit.CPU > 0 {
				t.GuaranteedQuota.CPU = min(t.GuaranteedQuota.CPU, t.QuotaLimit.CPU)
			}
		}
		set.Teams = append(set.Teams, t)
	}
	d.Settings = set
	d.classes = []dayClass{
		{"rush", 4, 4, 20 * time.Second, 0.8, core.Urgent, 2.5, 0.45},
		{"batch", 2, 10, 30 * time.Second, 1, core.Normal, 2, 0.45},
		{"wide", 8, 12, 40 * time.Second, 3, core.Normal, 0, 0.1},
	}
	for range max(0, p.Faults) {
		f := DayFault{
			Kind: faultKinds[rng.IntN(len(faultKinds))], At: time.Duration(30+rng.IntN(p.Minutes*60-30)) * time.Second, For: time.Duration(5+rng.IntN(50)) * time.Second,
			Node: rng.IntN(p.Controllers), Hold: rng.IntN(2) == 0, Share: []float64{0.02, 0.1, 0.3}[rng.IntN(3)],
			Link: []string{"state", "workers", "*", "peers", "cloud"}[rng.IntN(5)],
		}
		if f.Kind != "cut" {
			f.Link = ""
		}
		switch f.Kind {
		case "die", "hang", "machine_cut", "taken":
		default:
			f.Share = 0
		}
		d.Faults = append(d.Faults, f)
	}
	slices.SortFunc(d.Faults, func(a, b DayFault) int { return cmp.Compare(a.At, b.At) })
	if !listed {
		d.Faults = nil
	}
	d.Unlisted = p.Unlisted || p.Product
	if d.Unlisted {
		drawUnlisted(&d)
	}
	if p.Product {
		drawProduct(&d)
	}
	if p.Meetings {
		drawMeeting(&d)
	}
	if p.Models > 0 {
		drawModels(&d)
	}
	if p.Mixed {
		d.Settings.MaxClockError = clockBound
	}
	d.Settings.Capabilities, _ = p.product()
	return d
}

// cloud is what machines there are, and how many of each.
func (d *Day) cloud() ([]core.MachineType, map[string]int) {
	types := []core.MachineType{
		{Name: "box", Capacity: core.Resources{CPU: 4, Memory: 32}, DiskGB: 50, ImageFetchRate: 0.3, CostPerHour: 0.2, SpotCostPerHour: 0.07, ProvisioningTime: 40 * time.Second, Zones: d.Settings.Zones},
		{Name: "rack", Capacity: core.Resources{CPU: 32, Memory: 128}, DiskGB: 70, ImageFetchRate: 0.4, CostPerHour: 1.45, SpotCostPerHour: 0.53, ProvisioningTime: 20 * time.Second, Zones: d.Settings.Zones[:1]},
	}
	room := map[string]int{}
	for _, z := range d.Settings.Zones {
		each := max(1, d.Machines/len(d.Settings.Zones))
		room["box/"+z+"/true"], room["box/"+z+"/false"] = max(1, each*45/100), max(1, each*45/100)
	}
	room["rack/"+d.Settings.Zones[0]+"/true"], room["rack/"+d.Settings.Zones[0]+"/false"] = max(1, d.Machines*6/100), max(1, d.Machines*4/100)
	if d.Models > 0 {
		types = append(types, modelHost(d.Settings.Zones[0]))
		room["host/"+d.Settings.Zones[0]+"/false"] = d.Models
	}
	return types, room
}

// Dist sums up a distribution of times, in seconds.
type Dist struct {
	P50 float64 `json:"p50"`
	P90 float64 `json:"p90"`
	Max float64 `json:"max"`
}

// histogram of milliseconds, up to an hour.
func newHistogram() *hdrhistogram.Histogram { return hdrhistogram.New(1, 3_600_000, 3) }

func dist(h *hdrhistogram.Histogram) Dist {
	s := func(v int64) float64 { return float64(v) / 1000 }
	return Dist{s(h.ValueAtQuantile(50)), s(h.ValueAtQuantile(90)), s(h.Max())}
}

// Group is what became of a class or a team.
type Group struct {
	Name   string  `json:"name"`
	Jobs   int     `json:"jobs"`
	Served float64 `json:"served"`
	// Tasks are those of its jobs, and Ran the part of them that was done.
	Tasks int     `json:"tasks"`
	Ran   float64 `json:"ran"`
	// Wait is from the submission to the first start of each job, and Late how much
	// later than due jobs ended.
	Wait Dist `json:"wait_s"`
	Late Dist `json:"late_s"`
	// Largest is there for classes.
	Largest *Largest `json:"largest,omitempty"`
}

// DayResult is what became of a day.
type DayResult struct {
	Day
	Broken []string `json:"broken"`
	// Slack is the least that was left to each rule with a time.
	Slack   map[string]Slack `json:"slack"`
	Classes []Group          `json:"classes"`
	Team    []Group          `json:"team"`
	// Starts counts starts, and LostToLease tasks killed since a lease ran out.
	Starts int `json:"starts"`
	// StartedCancelled counts those after a confirmed cancellation.
	StartedCancelled int `json:"started_cancelled"`
	LostToLease      int `json:"lost_to_lease"`
	// Refused counts users' requests that were refused.
	Refused int     `json:"refused"`
	Changes float64 `json:"changes_per_s"`
	TooMany int     `json:"state_429"`
	Bad     int     `json:"state_400"`
	LastBad string  `json:"last_400,omitempty"`
	Rented  int     `json:"rented"`
	// Unused counts machines on which nothing ever ran, and Money is in units of the
	// prices, an hour.
	Unused int      `json:"unused"`
	Money  float64  `json:"money"`
	Log    []string `json:"-"`
	// Dates is there with promises.
	Dates *DayDates `json:"dates,omitempty"`
	// Model is there on days with models.
	Model *ModelResult `json:"model,omitempty"`
}

// Starved names the classes and teams of which less than half was served, also of a
// class's largest jobs, and the largest that did not begin in time.
func (r *DayResult) Starved() []string {
	var out []string
	for _, g := range append(slices.Clone(r.Classes), r.Team...) {
		if g.Served < 0.5 || g.Ran < 0.5 {
			out = append(out, fmt.Sprintf("%s %.2f of %d jobs, %.2f of their tasks", g.Name, g.Served, g.Jobs, g.Ran))
		}
		if l := g.Largest; l != nil && l.Served < 0.5 {
			out = append(out, fmt.Sprintf("%s %.2f of its largest jobs", g.Name, l.Served))
		}
		if l := g.Largest; l != nil && len(l.Late) > 0 {
			out = append(out, fmt.Sprintf("%s begins late: %s", g.Name, strings.Join(l.Late, "; ")))
		}
	}
	return out
}

// PlayDay plays a day to its end: jobs come for its minutes; what was served is counted
// three minutes later, and it is played on until all had their time to begin and to be
// asked about. trace keeps the debug lines with a word in them.
func PlayDay(d Day, trace string) DayResult { return d.play(trace, nil) }

// play is PlayDay with a core made wrong on purpose, if there is a sabotage.
func (d Day) play(trace string, sabotage func(*World, core.Effect) core.Effect) DayResult {
	types, room := d.cloud()
	w := NewWorld(d.Seed, d.Controllers, d.Settings, d.cancelWithin(), types, room)
	w.trace = trace
	if sabotage != nil {
		w.sabotage = func(e core.Effect) core.Effect { return sabotage(w, e) }
	}
	calm := d.calm()
	w.calm = w.began.Add(calm)
	w.keeps = d.Meetings
	if d.Unlisted || d.Meetings {
		w.weather = &weather{}
	}
	rng := rand.New(rand.NewPCG(d.Seed, 815))
	mistakes := rand.New(rand.NewPCG(d.Seed, 816))
	cancels := rand.New(rand.NewPCG(d.Seed, 817))
	mixed := newMix(&d)
	mixed.clocks(w)
	span := time.Duration(d.Minutes) * time.Minute
	weights := 0.0
	for i := range d.Settings.Teams {
		weights += d.weight(i)
	}
	for range d.Jobs {
		c := d.classes[0]
		for x, k := rng.Float64(), 0; k < len(d.classes); k++ {
			if c = d.classes[k]; x < c.part {
				break
			}
			x -= c.part
		}
		team, x := 0, rng.Float64()*weights
		for ; team < d.Teams-1 && x > d.weight(team); team++ {
			x -= d.weight(team)
		}
		w.names++
		run := time.Duration(float64(c.run) * (0.5 + rng.Float64()))
		spec := core.JobSpec{
			ID: fmt.Sprintf("job-%06d", w.names), Workload: c.name, Team: d.Settings.Teams[team].Name, Urgency: c.urgency,
			Tasks: max(1, int(c.tasks*(0.2+1.6*rng.Float64()))), Need: core.Resources{CPU: c.cpu, Memory: 3 * c.cpu},
			Image: fmt.Sprintf("%s-%d", c.name, min(rng.IntN(12), rng.IntN(12))), ImageGB: c.gb, AllowSpot: rng.IntN(5) > 0, ExpectedRunTime: c.run,
			Deadline: time.Duration(c.due*float64(run)) + core.Seconds(15*min(1, c.due)),
		}
		mixed.change(&spec)
		broken := d.mistakes > 0 && mistakes.Float64() < d.mistakes
		at := time.Duration(rng.Float64() * float64(span))
		w.after(at, func() { w.Submit(spec, run, broken) })
		if broken {
			w.after(at+30*time.Second+time.Duration(mistakes.IntN(120))*time.Second, func() { w.Abort(spec.ID) })
		}
		if t, ok := d.Cancels.when(c.name, at, cancels); ok {
			w.after(t, func() { w.Abort(spec.ID) })
		}
		if spec.LongRunning {
			w.after(at+mixed.stands(), func() { w.Abort(spec.ID) })
		}
		if rng.IntN(25) == 0 {
			w.after(span/2, func() {
				if w.jobs[spec.ID] != nil {
					w.Abort(spec.ID)
				}
			})
		}
	}
	d.guestJobs(w, rng, span)
	d.manyJobs(w)
	d.pipelines(w)
	d.modelJobs(w)
	for _, f := range d.Faults {
		w.after(f.At, func() { w.trouble(f, rng) })
	}
	counted := max(d.later(0, span+servedAfter+d.longRun()), calm+servedCalm)
	w.Run(counted)
	r := d.result(w)
	w.Run(max(0, calm+SilentMost+askEnded-counted))
	for end := w.began.Add(max(d.later(span, beginWithin), calm+beginWithin+SilentMost)); w.now.Before(end) && w.unended(); {
		w.Run(askEnded)
	}
	d.judge(w, &r)
	if d.Models > 0 {
		r.Model = w.modelResult()
	}
	return r
}

// weight is a team's part in the jobs.
func (d *Day) weight(team int) float64 {
	if team == 0 {
		return float64(d.Hot)
	}
	return 1
}

// some calls fn with a part of the machines that are up, by chance.
func (w *World) some(part float64, rng *rand.Rand, fn func(*Worker)) {
	for _, m := range slices.Clone(w.fleet) {
		if m.up(w.now) && rng.Float64() < part {
			fn(m)
		}
	}
}

// trouble lets a fault begin.
func (w *World) trouble(f DayFault, rng *rand.Rand) {
	if f.Busiest {
		f.Node = w.busiest()
	}
	if w.unlisted(f, rng) || w.newTrouble(f, rng) || w.laterTrouble(f, rng) || w.meetingTrouble(f) {
		return
	}
	p := w.nodes[f.Node%len(w.nodes)]
	some := func(fn func(*Worker)) { w.some(f.Share, rng, fn) }
	switch f.Kind {
	case "crash":
		w.Crash(p.index, 5*time.Second)
	case "crash_all":
		for i := range w.nodes {
			w.Crash(i, 5*time.Second)
		}
	case "roll":
		for i := range w.nodes {
			w.after(time.Duration(i)*15*time.Second, func() { w.Crash(i, 5*time.Second) })
		}
	case "cut":
		if f.Link != "peers" {
			w.Cut(p.name, f.Link, f.For, f.Hold)
			break
		}
		for _, o := range w.nodes {
			if o != p {
				w.Cut(p.name, o.name, f.For, f.Hold)
			}
		}
	case "refused":
		w.refuse(p, f.For)
	case "outage":
		w.Outage(min(f.For, 30*time.Second))
	case "slow_state":
		w.slowState, w.slowBy = w.now.Add(f.For), cmp.Or(f.Times, slowTimes)
	case "cloud":
		w.cloudOut = true
		w.after(f.For, func() { w.cloudOut = false })
	case "still":
		w.Still(p.index, min(f.For, 40*time.Second))
	case "die":
		some(w.kill)
	case "hang":
		some(func(m *Worker) { m.hungTill = w.now.Add(f.For) })
	case "machine_cut":
		some(func(m *Worker) { w.Cut(m.ID, "*", f.For, f.Hold) })
	case "taken":
		some(func(m *Worker) {
			if m.Spot {
				m.recallAt = w.now.Add(time.Duration(rng.IntN(25)) * time.Second)
			}
		})
	}
}

func (d *Day) result(w *World) DayResult {
	r := DayResult{
		Day: *d, Starts: w.Started, StartedCancelled: w.StartedCancelled, LostToLease: w.LostToLease, Refused: w.Refused,
		Changes: float64(w.state.puts) / w.now.Sub(w.began).Seconds(), TooMany: w.state.Refused, Bad: w.state.Bad, LastBad: w.state.LastBad,
		Rented: len(w.order), Dates: w.dates(),
	}
	if w.state.Bad > 0 {
		r.Broken = append(r.Broken, fmt.Sprintf("malformed: %d requests to the state service, the last: %s", w.state.Bad, w.state.LastBad))
	}
	type sums struct {
		jobs, served int
		tasks, ran   int
		wait, late   *hdrhistogram.Histogram
	}
	by := map[string]*sums{}
	for _, id := range sorted(w.jobs) {
		j := w.jobs[id]
		if j.calledOff() || j.broken || j.impossible {
			continue
		}
		for _, k := range []string{"class " + j.spec.Workload, "team " + j.spec.Team} {
			s := by[k]
			if s == nil {
				s = &sums{wait: newHistogram(), late: newHistogram()}
				by[k] = s
			}
			s.jobs++
			s.tasks += j.spec.Tasks
			s.ran += j.ran()
			wait := w.now.Sub(j.from())
			for _, at := range j.began {
				wait = min(wait, at.Sub(j.from()))
			}
			_ = s.wait.RecordValue(max(1, wait.Milliseconds()))
			end := w.now
			if j.served() {
				s.served++
				end = j.finished
			}
			if j.spec.Deadline > 0 {
				_ = s.late.RecordValue(max(1, end.Sub(j.submitted.Add(j.spec.Deadline)).Milliseconds()))
			}
		}
	}
	tops := w.largest()
	for _, k := range sorted(by) {
		s := by[k]
		kind, name, _ := strings.Cut(k, " ")
		g := Group{Name: name, Jobs: s.jobs, Served: float64(s.served) / float64(s.jobs), Tasks: s.tasks, Ran: float64(s.ran) / float64(s.tasks), Wait: dist(s.wait), Late: dist(s.late)}
		if kind == "class" {
			if t, ok := tops[name]; ok {
				g.Largest = &Largest{Served: d.servedLargest(w, t)}
			}
			r.Classes = append(r.Classes, g)
		} else {
			r.Team = append(r.Team, g)
		}
	}
	for _, id := range w.order {
		m := w.machine[id]
		end := w.now
		switch {
		case !m.goneAt.IsZero():
			end = m.goneAt
		case m.dead:
			end = m.diedAt
		}
		f := w.types[m.Flavour]
		price := f.CostPerHour
		if m.Spot {
			price = f.SpotCostPerHour
		}
		r.Money += price * max(end.Sub(m.rentedAt), time.Minute).Hours()
		if !m.used {
			r.Unused++
		}
	}
	if w.Started == 0 {
		r.Broken = append(r.Broken, "nothing_ran")
	}
	return r
}

// Shrink leaves out troubles of a day as long as the day stays broken.
func Shrink(d Day, broken func(DayResult) bool, progress func(string)) Day {
	for again := true; again; {
		again = false
		for i := range d.Faults {
			less := d
			less.Faults = slices.Delete(slices.Clone(d.Faults), i, i+1)
			if r := PlayDay(less, ""); broken(r) {
				progress(fmt.Sprintf("still broken without %s", d.Faults[i]))
				d, again = less, true
				break
			}
		}
	}
	return d
}

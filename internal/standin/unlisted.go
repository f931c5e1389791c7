package standin

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/micahill/micahill/internal/core"
)

// unlisted.go has the troubles that no list named: of machines that come up late or
// never, users who ask again and again, mistakes, guests, ends in a row, and links and
// services that are half there.

// weather is what lately holds for machines that are rented, users and prices.
type weather struct {
	// boots: machines rented until then come up so many times later, or never.
	bootsTill  time.Time
	bootFactor float64
	bootNever  float64
	// pollTill: users ask so many times as often.
	pollTill time.Time
	polls    float64
	// answers are slow by so much until then, all of the cloud's and the state's.
	slowTill time.Time
	slow     time.Duration
}

// upAfter is how long a machine that is rented now takes to come up: mostly near what
// the flavour says, now and then several times as long, and a few never.
func (w *World) upAfter(f core.MachineType) time.Duration {
	d := w.jitter(f.ProvisioningTime)
	if w.weather == nil {
		return d
	}
	const never = 1000 * time.Hour
	late, no, factor := 0.05, 0.01, 4.0
	if w.now.Before(w.weather.bootsTill) {
		late, no, factor = 1, w.weather.bootNever, w.weather.bootFactor
	}
	switch x := w.rng.Float64(); {
	case x < no:
		return never
	case x < no+late:
		return time.Duration(float64(d) * factor)
	}
	return d
}

// pollPause is how long a user waits before asking again.
func (w *World) pollPause(d time.Duration) time.Duration {
	if w.weather != nil && w.now.Before(w.weather.pollTill) {
		return time.Duration(float64(d) / w.weather.polls)
	}
	return d
}

// unlistedKinds are the troubles that only such days have.
var unlistedKinds = []string{"boots", "boots", "boots", "polls", "polls", "again", "again_all", "one_way", "one_way", "slow_answers", "lazy", "capacity", "price", "faulty", "cut", "cut", "refused"}

// drawUnlisted adds what no list named to a day: from its own numbers, so that the rest
// of the day is as without it.
func drawUnlisted(d *Day) {
	rng := rand.New(rand.NewPCG(d.Seed, 1618))
	d.mistakes = []float64{0, 0.04, 0.04, 0.1}[rng.IntN(4)]
	if rng.IntN(2) == 0 {
		d.guest = "guest"
		d.Settings.Teams = append(slices.Clone(d.Settings.Teams), core.Team{Name: d.guest})
	}
	for range 1 + rng.IntN(6) {
		f := DayFault{
			Kind: unlistedKinds[rng.IntN(len(unlistedKinds))], At: time.Duration(10+rng.IntN(d.Minutes*60-20)) * time.Second,
			For: time.Duration(10+rng.IntN(110)) * time.Second, Node: rng.IntN(d.Controllers), Hold: rng.IntN(2) == 0,
			Share: []float64{0.05, 0.3, 1, 4, 8, 30}[rng.IntN(6)], Link: []string{"state", "workers", "*", "cloud"}[rng.IntN(4)],
			Back: []time.Duration{50, 200, 500, 1000}[rng.IntN(4)] * time.Millisecond,
		}
		switch f.Kind {
		case "boots", "polls":
			f.Link = ""
		case "lazy", "capacity", "faulty":
			f.Link, f.Share = "", []float64{0.02, 0.1, 0.3}[rng.IntN(3)]
		case "cut", "one_way":
			f.Share = 0
		default:
			f.Link, f.Share = "", 0
		}
		d.Faults = append(d.Faults, f)
	}
	slices.SortStableFunc(d.Faults, func(a, b DayFault) int { return int(a.At - b.At) })
}

// unlisted lets a trouble of no list begin, and says whether it is one.
func (w *World) unlisted(f DayFault, rng *rand.Rand) bool {
	switch f.Kind {
	case "boots":
		w.weather.bootsTill, w.weather.bootFactor, w.weather.bootNever = w.now.Add(f.For), f.Share, 0
		if f.Share == 1 {
			w.weather.bootNever = 0.5
		}
	case "polls":
		w.weather.pollTill, w.weather.polls = w.now.Add(f.For), max(2, f.Share)
	case "again":
		for k := range 10 {
			w.after(time.Duration(k)*f.For/10, func() { w.Crash(f.Node%len(w.nodes), f.Back) })
		}
	case "again_all":
		for k := range 3 {
			for i := range w.nodes {
				w.after(time.Duration(k)*f.For/4, func() { w.Crash(i, f.Back) })
			}
		}
	case "one_way":
		// Answers or requests alone are lost.
		name := w.nodes[f.Node%len(w.nodes)].name
		if f.Hold {
			w.cutOneWay(name, f.Link, f.For)
		} else {
			w.cutOneWay(f.Link, name, f.For)
		}
	case "slow_answers":
		w.weather.slowTill, w.weather.slow = w.now.Add(f.For), 700*time.Millisecond
	case "lazy":
		w.some(f.Share, rng, func(m *Worker) { m.lazy = true })
	case "faulty":
		w.some(f.Share, rng, func(m *Worker) { m.faulty = true })
	case "capacity":
		for _, k := range sorted(w.room) {
			gone := int(float64(w.room[k]) * (1 - f.Share))
			w.room[k] -= gone
			w.after(f.For, func() { w.room[k] += gone })
		}
	case "price":
		for _, k := range sorted(w.types) {
			x := w.types[k]
			old := x.SpotCostPerHour
			x.SpotCostPerHour *= 0.67 + 0.66*rng.Float64()
			w.types[k] = x
			w.after(f.For, func() {
				x := w.types[k]
				x.SpotCostPerHour = old
				w.types[k] = x
			})
		}
	default:
		return false
	}
	return true
}

// guestJobs has a guest team come in the middle of the day: some long jobs without any
// aim, one of very many short tasks, and many of a single task.
func (d *Day) guestJobs(w *World, rng *rand.Rand, span time.Duration) {
	if d.guest == "" {
		return
	}
	long := core.JobSpec{Workload: "recount", Urgency: core.BestEffort, Tasks: max(2, d.Machines/8), Need: core.Resources{CPU: 4, Memory: 8}, AllowSpot: true, ExpectedRunTime: 50 * time.Second}
	huge := core.JobSpec{Workload: "rebuild", Urgency: core.BestEffort, Tasks: 40 * max(5, min(d.Machines, 250)), Need: core.Resources{CPU: 0.25, Memory: 0.5}, AllowSpot: true, ExpectedRunTime: 4 * time.Second}
	single := core.JobSpec{Workload: "lookups", Urgency: core.Normal, Tasks: 1, Need: core.Resources{CPU: 1, Memory: 2}, AllowSpot: true, ExpectedRunTime: 5 * time.Second}
	add := func(s core.JobSpec, at time.Duration) {
		w.names++
		s.ID, s.Team, s.Image, s.ImageGB = fmt.Sprintf("job-%06d", w.names), d.guest, s.Workload, 0.5
		w.after(at, func() { w.Submit(s, s.ExpectedRunTime, false) })
	}
	at := span / 3
	for range 3 {
		add(long, at+time.Duration(rng.Float64()*float64(span/6)))
	}
	add(huge, at)
	for range max(5, d.Machines/8) {
		add(single, at+time.Duration(rng.Float64()*float64(span/3)))
	}
}

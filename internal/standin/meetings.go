package standin

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"github.com/micahill/micahill/internal/core"
)

// meetings.go has days on which two or three troubles meet while users cancel most of a
// class, and the troubles that only such days have: transactions that are carried out
// late, a state service that refuses one controller and then is away for all, and
// messages that are lost, held or carried out twice here and there.

// meetingKinds are all troubles that there are, the likelier the oftener they stand:
// those twice that we know as partners of others.
var meetingKinds = []string{
	"crash", "crash", "crash_all", "crash_all", "roll", "cut", "cut", "refused", "outage", "cloud", "still", "still", "die", "hang", "hang",
	"machine_cut", "machine_cut", "taken", "slow_state", "slow_state",
	"boots", "polls", "again", "again_all", "one_way", "one_way", "slow_answers", "lazy", "capacity", "price", "faulty",
	"deaf_machine", "deaf_machine", "copies", "copies", "cut_alone", "cut_alone", "election", "election", "back_machine",
	"late_writes", "late_writes", "refused_outage", "refused_outage", "loss", "loss", "twice",
}

const (
	// lateWriteLeast and lateWriteMost are how much later than it was sent a
	// transaction without an answer is carried out.
	lateWriteLeast = 2 * time.Second
	lateWriteMost  = 12 * time.Second
	// refusedAlone is how long one controller stays refused when the state service has
	// been away for all since: about what a real one has.
	refusedAlone = 14 * time.Second
	// apartMost is how much later than a meeting's first trouble another one begins at
	// most, so that they overlap.
	apartMost = 20 * time.Second
	// endAfter is how long after a meeting all controllers end on some days.
	endAfter = 10 * time.Second
	// keepsOne: one user in so many asks the same controller again and again once all
	// is over.
	keepsOne = 3
)

// MassCancel is that users cancel a share of a class's jobs in a short time.
type MassCancel struct {
	Class string        `json:"class"`
	Share float64       `json:"share"`
	At    time.Duration `json:"at_ns"`
	For   time.Duration `json:"for_ns"`
}

func (c *MassCancel) String() string {
	return fmt.Sprintf("%.0fs %.0f%% of %s are cancelled within %.0fs", c.At.Seconds(), 100*c.Share, c.Class, c.For.Seconds())
}

// when says when a job of a class that comes at a moment is cancelled, if it is.
func (c *MassCancel) when(class string, at time.Duration, rng *rand.Rand) (time.Duration, bool) {
	if c == nil || class != c.Class || rng.Float64() >= c.Share {
		return 0, false
	}
	t := c.At + time.Duration(rng.Float64()*float64(c.For))
	return t, t > at
}

// importRun is how long the tasks of those classes take that outlast cancel_s.
const importRun = 110 * time.Second

// longRun is how much later than on other days is counted what was served: the long
// tasks that came last are to have their time.
func (d *Day) longRun() time.Duration {
	long := time.Duration(0)
	if d.Meetings {
		long = importRun
	}
	if d.Pipelines {
		long = max(long, pipelineMore)
	}
	return long
}

// meetingClasses are those of other days and one whose tasks outlast cancel_s.
func meetingClasses(classes []dayClass) []dayClass {
	out := slices.Clone(classes)
	const part = 0.2
	for i := range out {
		out[i].part *= 1 - part
	}
	return append(out, dayClass{"import", 2, 4, importRun, 1, core.Normal, 0, part})
}

// manyJobs has many small jobs of long tasks come in the time before users cancel, so
// that there is always much to be stopped when troubles meet: one for every two machines.
func (d *Day) manyJobs(w *World) {
	if d.Cancels == nil {
		return
	}
	rng := rand.New(rand.NewPCG(d.Seed, 818))
	const before = time.Minute
	for range d.Machines / 2 {
		w.names++
		at := max(0, d.Cancels.At-time.Duration(rng.Float64()*float64(before)))
		run := time.Duration(float64(importRun) * (0.75 + rng.Float64()/2))
		spec := core.JobSpec{
			ID: fmt.Sprintf("job-%06d", w.names), Workload: "import", Team: d.Settings.Teams[rng.IntN(d.Teams)].Name, Urgency: core.Normal,
			Tasks: 1 + rng.IntN(3), Need: core.Resources{CPU: 1, Memory: 2}, Image: "import", ImageGB: 0.5, AllowSpot: true, ExpectedRunTime: importRun,
		}
		w.after(at, func() { w.Submit(spec, run, false) })
		if t, ok := d.Cancels.when(spec.Workload, at, rng); ok {
			w.after(t, func() { w.Abort(spec.ID) })
		}
	}
}

// drawMeeting draws two or three troubles that overlap, and whose jobs are cancelled
// around them: from its own numbers, so that the rest of the day is as without it.
func drawMeeting(d *Day) {
	rng := rand.New(rand.NewPCG(d.Seed, 3141))
	d.classes = meetingClasses(d.classes)
	at := time.Duration(45+rng.IntN(max(1, d.Minutes*60/2))) * time.Second
	cancels := MassCancel{
		Class: []string{"import", "import", "import", "batch", "rush", "wide"}[rng.IntN(6)], Share: []float64{0.8, 0.8, 1}[rng.IntN(3)],
		At: at - 5*time.Second + time.Duration(rng.IntN(10))*time.Second, For: time.Duration(5+rng.IntN(30)) * time.Second,
	}
	var met []DayFault
	longest := time.Duration(0)
	for range 2 + rng.IntN(2) {
		f := d.drawTrouble(rng)
		f.At = at
		if len(met) > 0 {
			f.At += time.Duration(rng.Float64() * float64(min(apartMost, longest)))
		}
		longest = max(longest, f.ends(d.Controllers)-f.At)
		if f.Kind == "refused_outage" {
			// Most of them while another controller can still confirm it.
			cancels.At, cancels.For = f.At, f.Late+2*time.Second
		}
		met = append(met, f)
	}
	d.Cancels = &cancels
	d.Faults = append(d.Faults, met...)
	if rng.IntN(3) == 0 {
		d.Faults = append(d.Faults, DayFault{Kind: "crash_all", At: d.calm() + endAfter, For: 5 * time.Second})
	}
	d.meetLater(met)
	slices.SortStableFunc(d.Faults, func(a, b DayFault) int { return cmp.Compare(a.At, b.At) })
}

// meetLater has one of the later troubles meet those of a day on one day in three, from
// its own numbers: the others are as they were.
func (d *Day) meetLater(met []DayFault) {
	rng := rand.New(rand.NewPCG(d.Seed, 5772))
	if rng.IntN(3) > 0 {
		return
	}
	f := d.drawLater(rng)
	f.At = met[0].At + time.Duration(rng.Float64()*float64(apartMost))
	d.Faults = append(d.Faults, f)
}

// drawTrouble draws one of all troubles, but for when it begins.
func (d *Day) drawTrouble(rng *rand.Rand) DayFault {
	part := func(of ...float64) float64 { return of[rng.IntN(len(of))] }
	cancel := d.cancelWithin()
	f := DayFault{
		Kind: meetingKinds[rng.IntN(len(meetingKinds))], For: between(rng, 8*time.Second, 90*time.Second),
		Node: rng.IntN(d.Controllers), Busiest: rng.IntN(3) > 0, Hold: rng.IntN(2) == 0,
	}
	back := []time.Duration{50, 200, 500, 1000}[rng.IntN(4)] * time.Millisecond
	switch f.Kind {
	case "crash", "crash_all", "roll":
		f.For = 5 * time.Second
	case "cut":
		f.Link = []string{"state", "workers", "*", "peers", "cloud"}[rng.IntN(5)]
	case "one_way":
		f.Link = []string{"state", "workers", "*", "user"}[rng.IntN(4)]
	case "die", "hang", "machine_cut", "taken", "lazy", "capacity", "faulty":
		f.Share = part(0.02, 0.1, 0.3)
	case "slow_state":
		f.Times = 15 + 10*rng.Float64()
	case "boots":
		f.Share = part(0.05, 1, 4, 8)
	case "polls":
		f.Share = part(4, 8, 30)
	case "again", "again_all":
		f.Back = back
	case "deaf_machine":
		// One, a tenth, or a whole zone's.
		f.For, f.Share = between(rng, 8*time.Second, 5*time.Minute), part(1e-9, 0.1, 1)
		if f.Share == 1 {
			f.Zone = d.Settings.Zones[len(d.Settings.Zones)-1]
		}
	case "copies":
		f.Late, f.Share = between(rng, 2*time.Second, 5*d.Settings.WorkerLease), part(0.05, 0.3, 1)
	case "cut_alone":
		f.Link = []string{"", "", "refused"}[rng.IntN(3)]
	case "election":
		f.Late, f.Back = between(rng, 5*time.Millisecond, 5*time.Second), back
	case "back_machine":
		f.Share, f.Back = part(1e-9, 0.1, 0.3), back
	case "loss", "twice":
		f.Share = part(0.01, 0.05, 0.2)
	case "late_writes":
		f.Share = part(0.05, 0.2, 0.5)
	case "refused_outage":
		f.Late, f.For = between(rng, time.Second, 12*time.Second), between(rng, cancel, 3*cancel)
	}
	return f
}

// cancelWithin is in how long the tasks of a cancelled job have to be gone.
func (d *Day) cancelWithin() time.Duration {
	return d.Settings.WorkerLease + time.Duration(cmp.Or(d.CancelRoom, cancelRoom))*time.Second
}

// cancelRoom is by how many seconds cancel_s is longer than a lease on all known sites.
const cancelRoom = 30

// meetingTrouble lets one of this file's troubles begin, and says whether it is one.
func (w *World) meetingTrouble(f DayFault) bool {
	switch f.Kind {
	case "late_writes":
		w.LateWrites(f.Share, f.For)
		w.writesAtOnce = f.AtOnce
	case "refused_outage":
		w.refuse(w.nodes[f.Node%len(w.nodes)], f.Late+min(refusedAlone, f.For))
		w.after(f.Late, func() { w.Outage(f.For) })
	case "loss":
		w.loss = f.Share
		w.after(f.For, func() { w.loss = 0 })
	case "twice":
		w.twice = f.Share
		w.after(f.For, func() { w.twice = 0 })
	default:
		return false
	}
	return true
}

// LateWrites lets a share of the transactions of the next d get no answer and be carried
// out some seconds later, after newer ones; or at once, with writesAtOnce.
func (w *World) LateWrites(share float64, d time.Duration) {
	w.lateWrites, w.lateWriteTill = share, w.now.Add(d)
}

// writeLate says whether a transaction gets no answer, and how late it is carried out.
func (w *World) writeLate(e core.StoreRequest) (time.Duration, bool) {
	if e.Kind != core.OpTxn || !w.now.Before(w.lateWriteTill) || w.rng.Float64() >= w.lateWrites {
		return 0, false
	}
	if w.writesAtOnce {
		return 0, true
	}
	return lateWriteLeast + time.Duration(w.rng.Int64N(int64(lateWriteMost-lateWriteLeast))), true
}

// refuse lets the state service refuse one controller alone for d.
func (w *World) refuse(p *proc, d time.Duration) {
	p.stateNo = true
	if till := w.now.Add(d); till.After(p.refusedTill) {
		p.refusedTill = till
	}
	w.after(d, func() { p.stateNo = w.now.Before(p.refusedTill) })
}

// busiest is the number of the controller that most machines report to.
func (w *World) busiest() int {
	heard := make([]int, len(w.nodes))
	for _, m := range w.fleet {
		if m.up(w.now) {
			heard[m.node]++
		}
	}
	best := 0
	for i, k := range heard {
		if k > heard[best] {
			best = i
		}
	}
	return best
}

// keepsTo is the controller that a job's user goes on to ask once all is over, on days
// of meetings; -1: whichever it is.
func (w *World) keepsTo(j *userJob) int {
	if !w.keeps || w.now.Before(w.calm) {
		return -1
	}
	var n int
	if _, err := fmt.Sscan(strings.TrimLeft(strings.TrimPrefix(j.spec.ID, "job-"), "0"), &n); err != nil || n%keepsOne != 0 {
		return -1
	}
	i := n / keepsOne % len(w.nodes)
	if p := w.nodes[i]; !p.alive || !p.node.Healthy(w.now) {
		return -1
	}
	return i
}

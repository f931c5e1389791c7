package standin

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/micahill/micahill/internal/core"
)

// later.go has the troubles that came to the operators' list last: users who cancel much
// at once, or at the moment of an end, who ask at all controllers within milliseconds or
// send odd requests; machines that reach no controller; direct commands that are held up,
// and reports whose copy is kept for the next leader; and controllers that compute slowly.

// laterKinds are these troubles, the likelier the oftener they stand. Those with a point
// are a form of the trouble before it.
var laterKinds = []string{
	"cancel_now", "cancel_now", "cancel_at_end", "machine_mute", "machine_mute", "odd_requests", "close_looks",
	"late_writes.at_once", "copies.for_next", "copies.for_next", "late_commands", "late_commands", "late_commands", "slow_node",
}

const (
	// cancelNowWithin is in how long that many jobs are called off, hangMost how many of
	// their machines hang, and longToGo what the tasks of a job have left that has long to
	// go.
	cancelNowWithin = 200 * time.Millisecond
	hangMost        = 8
	longToGo        = 20 * time.Second
	// lateCommandLeast and lateCommandMost are how much later than it was sent a direct
	// command is carried out that is held up.
	lateCommandLeast = 2 * time.Second
	lateCommandMost  = 16 * time.Second
	// oddEvery is how often an odd request is sent.
	oddEvery = 250 * time.Millisecond
	// lookWithin is in how long users ask at all controllers, and lookTimes how often at
	// each; one in looksCancel cancels at once.
	lookWithin  = 20 * time.Millisecond
	lookTimes   = 2
	looksCancel = 10
	// stepTakes is about what a step of a controller takes, and eachTakes what each command
	// and effect of it adds.
	stepTakes = time.Millisecond
	eachTakes = 200 * time.Microsecond
	// keptMost bounds the copies that are kept for the next leader.
	keptMost = 1000
)

// laterTroubles is what holds of them now.
type laterTroubles struct {
	// commands is the share of direct commands that is held up until commandTill.
	commands    float64
	commandTill time.Time
	// carriedLate counts those that were carried out, and broughtKept the copies that
	// reached a next leader.
	carriedLate, broughtKept int
	// cancelEnds is the share of jobs that is cancelled at its end until cancelEndTill.
	cancelEnds    float64
	cancelEndTill time.Time
	// oddTill and looksTill: users send odd requests, or look closely, until then.
	oddTill, looksTill time.Time
	// writesAtOnce: late writes are carried out at once, and only the answer is lost.
	writesAtOnce bool
	// copiesForNext: copies of reports are kept, in kept, until another controller leads
	// than ledBy, or until keptTill.
	copiesForNext bool
	kept          []core.Heartbeat
	keptTill      time.Time
	ledBy         string
	// odd counts odd jobs.
	odd int
}

// drawLater draws one of this file's troubles, but for when it begins.
func (d *Day) drawLater(rng *rand.Rand) DayFault {
	kind := laterKinds[rng.IntN(len(laterKinds))]
	share := func(of ...float64) float64 { return of[rng.IntN(len(of))] }
	f := DayFault{Kind: kind, For: between(rng, 8*time.Second, 90*time.Second), Node: rng.IntN(d.Controllers)}
	switch kind {
	case "cancel_now":
		f.Count, f.For = 1+rng.IntN(40), time.Second
		if rng.IntN(3) > 0 {
			f.For = between(rng, time.Second, 2*d.cancelWithin())
		}
	case "cancel_at_end":
		f.Share = share(0.1, 0.5, 1)
	case "machine_mute":
		f.Share = share(1e-9, 0.1, 1)
		if f.Share == 1 {
			f.Zone = d.Settings.Zones[len(d.Settings.Zones)-1]
		}
	case "late_writes.at_once":
		f.Kind, f.AtOnce, f.Share = "late_writes", true, share(0.05, 0.2, 0.5)
	case "copies.for_next":
		f.Kind, f.ForNext = "copies", true
		f.Late, f.Share = between(rng, 2*time.Second, 5*d.Settings.WorkerLease), share(0.05, 0.3, 1)
	case "late_commands":
		f.Share = share(0.05, 0.3, 1)
	case "slow_node":
		f.Times, f.Busiest = 4+16*rng.Float64(), rng.IntN(3) > 0
	}
	return f
}

// laterTrouble lets one of this file's troubles begin, and says whether it is one.
func (w *World) laterTrouble(f DayFault, rng *rand.Rand) bool {
	till := w.now.Add(f.For)
	switch f.Kind {
	case "cancel_now":
		w.CancelNow(f.Count, f.For)
	case "cancel_at_end":
		w.cancelEnds, w.cancelEndTill = f.Share, till
	case "machine_mute":
		w.MuteMachines(w.SomeMachines(f.Share, f.Zone, rng), f.For)
	case "odd_requests":
		w.OddRequests(f.For)
	case "close_looks":
		w.looksTill = till
	case "late_commands":
		w.LateCommands(f.Share, f.For)
	case "slow_node":
		p := w.nodes[f.Node%len(w.nodes)]
		p.slowTill, p.slowBy = till, f.Times
	default:
		return false
	}
	return true
}

// CancelNow has users call off that many jobs that run and have long to go, within a
// fifth of a second; up to eight of their machines hang for so long, unless that is 0.
func (w *World) CancelNow(count int, hang time.Duration) {
	left := map[string]time.Duration{}
	for _, id := range sorted(w.jobs) {
		j := w.jobs[id]
		w.onAllMachines(j, func(t *workerTask, _ *Worker) {
			if !j.aborting && t.status == core.Running {
				left[id] = max(left[id], t.left)
			}
		})
	}
	ids := slices.DeleteFunc(sorted(left), func(id string) bool { return left[id] < longToGo })
	slices.SortStableFunc(ids, func(a, b string) int { return cmp.Compare(left[b], left[a]) })
	hung := map[*Worker]bool{}
	for _, id := range ids[:min(count, len(ids))] {
		w.after(time.Duration(w.rng.Int64N(int64(cancelNowWithin))), func() {
			w.Abort(id)
			w.onAllMachines(w.jobs[id], func(_ *workerTask, m *Worker) {
				if hang > 0 && len(hung) < hangMost && !hung[m] {
					hung[m] = true
					m.hungTill = w.now.Add(hang)
				}
			})
		})
	}
}

// onAllMachines calls fn with all tasks of a job that are on machines.
func (w *World) onAllMachines(j *userJob, fn func(*workerTask, *Worker)) {
	for i := range j.spec.Tasks {
		for _, m := range j.places[i] {
			for _, k := range sorted(m.tasks) {
				if t := m.tasks[k]; t.job == j && t.index == i && t.onMachine() {
					fn(t, m)
				}
			}
		}
	}
}

// endsNear is told of the end of a task: at the moment of the last one some users cancel.
func (w *World) endsNear(j *userJob) {
	if len(j.results) < j.spec.Tasks || j.aborting || !w.now.Before(w.cancelEndTill) || w.rng.Float64() >= w.cancelEnds {
		return
	}
	w.Abort(j.spec.ID)
}

// MuteMachines lets these machines reach no controller for d, while direct commands and
// questions reach them, and are answered.
func (w *World) MuteMachines(ids []string, d time.Duration) {
	for _, id := range ids {
		if m := w.machine[id]; m != nil {
			m.muteTill = w.now.Add(d)
		}
	}
}

// computes lets a process that is slow stand still for what a step took, before it sends
// what it decided.
func (p *proc) computes(commands, effects int) {
	w := p.w
	if !w.now.Before(p.slowTill) || commands+effects == 0 || w.now.Before(p.stillTill) {
		return
	}
	took := stepTakes + time.Duration(commands+effects)*eachTakes
	p.stillTill = w.now.Add(time.Duration(p.slowBy * float64(took)))
	w.thaw(p)
}

// LateCommands lets a share of the direct commands of the next d be held up on their way:
// nobody answers them, and they are carried out once, later, if token and session match.
func (w *World) LateCommands(share float64, d time.Duration) {
	w.commands, w.commandTill = share, w.now.Add(d)
}

// commandLate says whether a direct command to m is held up, and brings it then.
func (p *proc) commandLate(m *Worker, op core.WorkerRequest) bool {
	w := p.w
	if op.StatusOnly || !w.now.Before(w.commandTill) || w.rng.Float64() >= w.commands {
		return false
	}
	life := m.life
	d := lateCommandLeast + time.Duration(w.rng.Int64N(int64(lateCommandMost-lateCommandLeast)))
	w.after(d, func() {
		if m.life != life {
			return
		}
		w.sendMsg(p.name, m.ID, func() {
			if !w.now.Before(m.upAt) && w.direct(m, op).OK {
				w.carriedLate++
			}
		})
	})
	return true
}

// keepCopy keeps the copy of a report for the next leader.
func (w *World) keepCopy(r core.Heartbeat) {
	if len(w.kept) == 0 {
		w.ledBy = w.leads()
	}
	if len(w.kept) < keptMost {
		w.kept = append(w.kept, r)
	}
}

// bringKept brings the copies to every controller just as another one leads, in an order
// of their own.
func (w *World) bringKept() {
	if len(w.kept) == 0 {
		return
	}
	if !w.now.Before(w.keptTill) {
		w.kept = nil
		return
	}
	now := w.leads()
	if now == "" || now == w.ledBy {
		return
	}
	kept := w.kept
	w.kept = nil
	w.broughtKept += len(kept)
	for _, p := range w.nodes {
		for _, r := range kept {
			w.after(time.Duration(w.rng.Int64N(int64(time.Second))), func() {
				p.ask(func(reply uint64) core.Command { return core.WorkerHeartbeat{Reply: reply, Heartbeat: r} }, func(core.Effect) {})
			})
		}
	}
}

// lookClosely has users ask at all controllers within milliseconds of what one was told of
// a job, and repeat its submission. Some cancel at once.
func (w *World) lookClosely(j *userJob) {
	if !w.now.Before(w.looksTill) {
		return
	}
	soon := func() time.Duration { return time.Duration(w.rng.Int64N(int64(lookWithin))) }
	for i := range w.nodes {
		for range lookTimes {
			w.after(soon(), func() {
				w.closeLook(i, j, func(r uint64) core.Command { return core.QueryJob{Reply: r, ID: j.spec.ID} })
			})
		}
		w.after(soon(), func() {
			w.closeLook(i, j, func(r uint64) core.Command { return core.SubmitJob{Reply: r, Spec: j.spec} })
		})
	}
	if !j.aborting && !over(j.told) && w.rng.IntN(looksCancel) == 0 {
		j.aborting = true
		w.after(soon(), func() { w.Abort(j.spec.ID) })
	}
}

func over(state string) bool { return state == "done" || state == "cancelled" }

// closeLook asks one controller about a job: its answer may not be older than what the
// user was told before he asked.
func (w *World) closeLook(node int, j *userJob, mk func(uint64) core.Command) {
	id, told, asked := j.spec.ID, j.told, w.now
	w.userCallTo(node, mk, 2*time.Second, func(r *core.UserReply) {
		switch {
		case r == nil:
		case r.Status == 404 || r.Status == 400 || r.Status == 422:
			w.broke("forgotten", "%s answered %d by %s", id, r.Status, w.nodes[node].name)
		case r.Status != 200 && r.Status != 201:
		case over(told) && r.State != told:
			w.broke("went_back", "%s was %s, is called %s by %s", id, told, r.State, w.nodes[node].name)
		case over(r.State) && !over(j.told):
			w.hear(j, asked, r)
		}
	})
}

// OddRequests has users repeat submissions of unfinished jobs, cancel done ones, and send
// jobs that fit no machine or lack a field, for d.
func (w *World) OddRequests(d time.Duration) {
	running := w.now.Before(w.oddTill)
	w.oddTill = w.now.Add(d)
	if !running {
		w.oddRequest()
	}
}

func (w *World) oddRequest() {
	if !w.now.Before(w.oddTill) {
		return
	}
	w.after(w.jitter(oddEvery), w.oddRequest)
	var unfinished, done []*userJob
	for _, id := range sorted(w.jobs) {
		switch j := w.jobs[id]; {
		case j.told == "done" && !j.aborting:
			done = append(done, j)
		case j.accepted && !over(j.told):
			unfinished = append(unfinished, j)
		}
	}
	switch k := w.rng.IntN(4); {
	case k == 0 && len(unfinished) > 0:
		j := unfinished[w.rng.IntN(len(unfinished))]
		w.closeLook(w.rng.IntN(len(w.nodes)), j, func(r uint64) core.Command { return core.SubmitJob{Reply: r, Spec: j.spec} })
	case k == 1 && len(done) > 0:
		j := done[w.rng.IntN(len(done))]
		w.closeLook(w.rng.IntN(len(w.nodes)), j, func(r uint64) core.Command { return core.CancelJob{Reply: r, ID: j.spec.ID} })
	case k >= 2 && len(unfinished) > 0:
		w.oddJob(unfinished[w.rng.IntN(len(unfinished))].spec)
	}
}

// oddJob sends a job like another one that fits no machine, needs more than there is, or
// lacks a field. None of them may be accepted.
func (w *World) oddJob(s core.JobSpec) {
	w.odd++
	s.ID = fmt.Sprintf("job-8%05d", w.odd)
	c := core.SubmitJob{Spec: s}
	switch w.rng.IntN(5) {
	case 0:
		c.Spec.Need.CPU = 1e6
	case 1:
		c.Spec.MachineTypes = []string{"none"}
	case 2:
		c.Spec.Zone = "nowhere"
	case 3:
		c.Spec.Team = "nobody"
	case 4:
		c = core.SubmitJob{Spec: core.JobSpec{ID: s.ID}, MalformedReason: "pieces is missing"}
	}
	w.userCall(func(r uint64) core.Command { c.Reply = r; return c }, 5*time.Second, func(r *core.UserReply) {
		if r != nil && (r.Status == 200 || r.Status == 201) {
			w.broke("accepted_odd", "%s answered %d", s.ID, r.Status)
		}
	})
}

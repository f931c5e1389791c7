package standin

import (
	"fmt"
	"time"

	"github.com/micahill/micahill/internal/core"
	"github.com/micahill/micahill/internal/ranking"
)

const (
	// rankLate is how long after a newer ranking a start that an older one decided may
	// leave.
	rankLate = 2 * time.Second
	// rankSettled is how long a ranking must have held, and a job been accepted, for the
	// owner surely to know of it, but for troubles.
	rankSettled = 5 * time.Second
	// rankPatience is the shortest bound on waiting behind others: later the order is
	// another's matter.
	rankPatience = 100 * time.Second
)

// ranked checks what a ranking promises, from outside: no start that was decided under
// an older one leaves late, and of two waiting jobs that a place suits the one behind
// does not get it. A nil one checks nothing.
type ranked struct {
	w *World
	// stamps are the ranking's, with when each came; the last one holds.
	stamps []uint64
	came   []time.Time
	table  *ranking.Table
	// under is the ranking that each attempt was decided under, left those whose start
	// has left, and placed which tasks of a job ever got a place.
	under  map[string]uint64
	left   map[string]bool
	placed map[string]map[int]bool
	// only: starts are checked, and not the order.
	only bool
	// Outdated counts starts that left after a newer ranking, in time.
	Outdated int
}

// CheckRanking switches the checks on.
func (w *World) CheckRanking() {
	w.ranked = &ranked{w: w, stamps: []uint64{0}, came: []time.Time{w.now}, under: map[string]uint64{}, left: map[string]bool{}, placed: map[string]map[int]bool{}}
}

// look notes which ranking stands in the state service.
func (r *ranked) look() {
	if r == nil {
		return
	}
	row := r.w.state.rows["ctl/ranking"]
	stamp := uint64(0)
	if row != nil {
		stamp = row.stamp
	}
	if stamp == r.stamps[len(r.stamps)-1] {
		return
	}
	r.stamps, r.came = append(r.stamps, stamp), append(r.came, r.w.now)
	if row != nil {
		if rec, err := ranking.Decode(row.value); err == nil {
			r.table = rec.Table()
		}
	}
}

// decided sees the decisions of a core's step.
func (r *ranked) decided(p *proc, e core.Effect) {
	l, ok := e.(core.Log)
	if r == nil || !ok || l.Message != "placed" {
		return
	}
	args := map[string]any{}
	for i := 0; i+1 < len(l.Args); i += 2 {
		args[fmt.Sprint(l.Args[i])] = l.Args[i+1]
	}
	id, i := fmt.Sprint(args["job"]), args["task"].(int)
	r.under[fmt.Sprintf("%s/%d#%v", id, i, args["try"])] = args["ranking"].(uint64)
	if r.placed[id] == nil {
		r.placed[id] = map[int]bool{}
	}
	r.placed[id][i] = true
	r.checkOrder(p, id, r.w.machine[fmt.Sprint(args["machine"])])
}

// checkOrder looks for a job that stands before one that just got a place, has waited
// for a while, and could have had it. One that waits longer than the bound on waiting
// goes first by right.
func (r *ranked) checkOrder(p *proc, id string, m *Worker) {
	w := r.w
	j := w.jobs[id]
	if r.only || j == nil || m == nil || w.now.Sub(r.came[len(r.came)-1]) < rankSettled || w.now.Sub(j.submitted) > rankPatience {
		return
	}
	place := r.table.Rank(j.spec.Workload, int(j.spec.Urgency))
	for _, x := range sorted(w.jobs) {
		o := w.jobs[x]
		s := &o.spec
		switch {
		case o == j || s.Team != j.spec.Team || s.Gang || s.SameZone || s.SpreadZones || o.calledOff() || o.broken:
		case !o.released() || w.now.Sub(o.from()) < rankSettled || len(j.followers) > 0:
			// What others need may go first for their sake.
		case r.table.Rank(s.Workload, int(s.Urgency)) >= place:
		case o.told != "queued" || w.now.Sub(o.toldAt) < rankSettled || len(r.placed[x]) >= s.Tasks:
		case !s.Need.Fits(j.spec.Need) || len(s.MachineTypes) > 0 || s.Zone != "" && s.Zone != m.Zone || m.Spot && !s.AllowSpot:
		default:
			w.broke("ranked_before", "%s places %s on %s, while %s of %s stands before it and waits", p.name, id, m.ID, x, s.Workload)
		}
	}
}

// leaves sees what surely leaves a controller.
func (r *ranked) leaves(p *proc, e core.Effect) {
	if r == nil {
		return
	}
	var orders []core.TaskCommand
	switch x := e.(type) {
	case core.WorkerRequest:
		orders = x.Commands
	case core.HeartbeatReply:
		orders = x.Commands
	}
	for _, o := range orders {
		name := fmt.Sprintf("%s/%d#%d", o.Job, o.Index, o.Attempt)
		under, known := r.under[name]
		if o.Kind != core.StartTask || r.left[name] || !known {
			// What may have left before is repeated as ever.
			continue
		}
		r.left[name] = true
		for i, s := range r.stamps[:len(r.stamps)-1] {
			if s != under {
				continue
			}
			r.Outdated++
			if late := r.w.now.Sub(r.came[i+1]); late > rankLate {
				r.w.broke("outdated", "%s starts %s, decided under a ranking that was replaced %v ago", p.name, name, late)
			}
		}
	}
}

// Rank has a controller set a ranking, and tells its answer, if there is one.
func (w *World) Rank(i int, c core.SetRanking, tell func(core.RankingReply)) {
	c.Deadline = w.now.Add(4 * time.Second)
	w.nodes[i].ask(func(reply uint64) core.Command { c.Reply = reply; return c }, func(e core.Effect) { tell(e.(core.RankingReply)) })
}

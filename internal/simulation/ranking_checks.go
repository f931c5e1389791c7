package simulation

import (
	"fmt"
	"time"

	"github.com/micahill/micahill/internal/message"
	"github.com/micahill/micahill/internal/model"
	"github.com/micahill/micahill/internal/ranking"
)

const (
	// maxOutdatedStartDelay is how long after a change of the ranking a start may leave that was
	// decided under the older one.
	maxOutdatedStartDelay = 2 * time.Second
	// rankingSettleTime is how long a ranking must have held, and a job been accepted, for its
	// shard leader to know of it, unless there are faults.
	rankingSettleTime = 5 * time.Second
	// maxOrderedWait is the shortest time after which aging may change the order of waiting jobs.
	maxOrderedWait = 100 * time.Second
)

// rankingChecker checks the ranking from outside: no start that was decided under an older ranking
// leaves late, and of two waiting jobs that fit a machine the one that ranks lower does not get it.
// A nil rankingChecker checks nothing.
type rankingChecker struct {
	world *World
	// revisions are the mod revisions of the ranking's record, and changedAt when each came; the
	// last one holds.
	revisions []uint64
	changedAt []time.Time
	// table is the ranking that holds.
	table *ranking.Table
	// decidedUnder is the ranking that each attempt was decided under, startSent has the attempts
	// whose start has left, and placedTasks the tasks of each job that were ever placed.
	decidedUnder map[string]uint64
	startSent    map[string]bool
	placedTasks  map[string]map[int]bool
	// startsOnly: starts are checked, but not the order.
	startsOnly bool
	// OutdatedStarts counts starts that left after a change of the ranking, in time.
	OutdatedStarts int
}

// CheckRanking switches the checks on.
func (w *World) CheckRanking() {
	w.rankingCheck = &rankingChecker{world: w, revisions: []uint64{0}, changedAt: []time.Time{w.now}, decidedUnder: map[string]uint64{}, startSent: map[string]bool{}, placedTasks: map[string]map[int]bool{}}
}

// noteRanking notes the ranking that the state service holds.
func (r *rankingChecker) noteRanking() {
	if r == nil {
		return
	}
	row := r.world.state.records["ctl/ranking"]
	modRevision := uint64(0)
	if row != nil {
		modRevision = row.modRevision
	}
	if modRevision == r.revisions[len(r.revisions)-1] {
		return
	}
	r.revisions, r.changedAt = append(r.revisions, modRevision), append(r.changedAt, r.world.now)
	if row != nil {
		if rec, err := ranking.Decode(row.value); err == nil {
			r.table = rec.Table()
		}
	}
}

// onDecision reads the decisions of a controller's step from its debug log: the event "placed" with
// its keys job, task, try, machine and ranking.
func (r *rankingChecker) onDecision(p *controllerProcess, e message.Effect) {
	l, ok := e.(message.Log)
	if r == nil || !ok || l.Message != "task placed" {
		return
	}
	args := map[string]any{}
	for i := 0; i+1 < len(l.Args); i += 2 {
		args[fmt.Sprint(l.Args[i])] = l.Args[i+1]
	}
	id, i := fmt.Sprint(args["job"]), args["task"].(int)
	r.decidedUnder[fmt.Sprintf("%s/%d#%v", id, i, args["try"])] = args["ranking"].(uint64)
	if r.placedTasks[id] == nil {
		r.placedTasks[id] = map[int]bool{}
	}
	r.placedTasks[id][i] = true
	r.checkOrder(p, id, r.world.machines[fmt.Sprint(args["machine"])])
}

// checkOrder looks for a job that ranks before one that was just placed, has waited for a while,
// and fits the machine. A job that waits for longer than maxOrderedWait may go first by aging.
func (r *rankingChecker) checkOrder(p *controllerProcess, id string, m *Worker) {
	w := r.world
	j := w.jobs[id]
	if r.startsOnly || j == nil || m == nil || w.now.Sub(r.changedAt[len(r.changedAt)-1]) < rankingSettleTime || w.now.Sub(j.submitted) > maxOrderedWait {
		return
	}
	place := r.table.Rank(j.spec.Workload, int(j.spec.Urgency))
	for _, x := range sortedKeys(w.jobs) {
		o := w.jobs[x]
		s := &o.spec
		switch {
		case o == j || s.Team != j.spec.Team || s.Gang || s.SameZone || s.SpreadZones || o.isCancelled() || o.alwaysFails:
		case !o.dependenciesDone() || w.now.Sub(o.eligibleSince()) < rankingSettleTime || len(j.dependents) > 0:
			// Jobs that others depend on may go first for their sake.
		case r.table.Rank(s.Workload, int(s.Urgency)) >= place:
		case o.lastState != "queued" || w.now.Sub(o.lastStateAt) < rankingSettleTime || len(r.placedTasks[x]) >= s.Tasks:
		case !s.Need.Fits(j.spec.Need) || len(s.MachineTypes) > 0 || s.Zone != "" && s.Zone != m.Zone || m.Spot && !s.AllowSpot:
		default:
			w.violate("ranked_before", "%s places %s on %s, while %s of %s stands before it and waits", p.name, id, m.ID, x, s.Workload)
		}
	}
}

// onSend notes what leaves a controller for certain.
func (r *rankingChecker) onSend(p *controllerProcess, e message.Effect) {
	if r == nil {
		return
	}
	var commands []model.TaskCommand
	switch x := e.(type) {
	case message.WorkerRequest:
		commands = x.Commands
	case message.HeartbeatReply:
		commands = x.Commands
	}
	for _, o := range commands {
		name := fmt.Sprintf("%s/%d#%d", o.Job, o.Index, o.Attempt)
		under, known := r.decidedUnder[name]
		if o.Kind != model.StartTask || r.startSent[name] || !known {
			// Commands that may have left before are repeated as ever.
			continue
		}
		r.startSent[name] = true
		for i, s := range r.revisions[:len(r.revisions)-1] {
			if s != under {
				continue
			}
			r.OutdatedStarts++
			if late := r.world.now.Sub(r.changedAt[i+1]); late > maxOutdatedStartDelay {
				r.world.violate("outdated", "%s starts %s, decided under a ranking that was replaced %v ago", p.name, name, late)
			}
		}
	}
}

// SetRanking sets a ranking at controller i. onReply is called with the answer, if there is one.
func (w *World) SetRanking(i int, c message.SetRanking, onReply func(message.RankingReply)) {
	c.Deadline = w.now.Add(4 * time.Second)
	w.controllers[i].request(func(reply uint64) message.Command { c.Reply = reply; return c }, func(e message.Effect) { onReply(e.(message.RankingReply)) })
}

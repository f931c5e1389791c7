package simulation

import (
	"fmt"
	"time"

	"github.com/micahill/micahill/internal/message"
	"github.com/micahill/micahill/internal/model"
	"github.com/micahill/micahill/internal/ranking"
)

const (
	// maxOutdatedStartDelay is how long after a change of the ranking a controller may still send a
	// start that it decided under the previous ranking.
	maxOutdatedStartDelay = 2 * time.Second
	// rankingSettleTime is the time after which, without faults, a shard leader knows a changed
	// ranking or an accepted job. The order is checked only after this time.
	rankingSettleTime = 5 * time.Second
	// maxOrderedWait is the shortest wait after which aging may change the order of waiting jobs.
	maxOrderedWait = 100 * time.Second
)

// rankingChecker checks by the controllers' effects that they follow the ranking. A controller must
// not send a start long after the ranking changed under which it was decided. Of two waiting jobs
// that fit a machine, the job that ranks lower must not get the machine. A nil rankingChecker
// checks nothing.
type rankingChecker struct {
	world *World
	// revisions are the mod revisions of the ranking's record, and changedAt the times at which
	// each was first seen. The last one is the current ranking.
	revisions []uint64
	changedAt []time.Time
	// table is the current ranking.
	table *ranking.Table
	// decidedUnder has, for each attempt, the mod revision of the ranking under which it was
	// decided. startSent has the attempts whose start was sent. placedTasks has the tasks of each
	// job that were placed at some time.
	decidedUnder map[string]uint64
	startSent    map[string]bool
	placedTasks  map[string]map[int]bool
	// startsOnly makes the checker check only starts and not the order of jobs.
	startsOnly bool
	// OutdatedStarts counts the starts that were sent after a change of the ranking under which
	// they were decided, whether within maxOutdatedStartDelay or not.
	OutdatedStarts int
}

// CheckRanking enables the checks of rankingChecker.
func (w *World) CheckRanking() {
	w.rankingCheck = &rankingChecker{world: w, revisions: []uint64{0}, changedAt: []time.Time{w.now}, decidedUnder: map[string]uint64{}, startSent: map[string]bool{}, placedTasks: map[string]map[int]bool{}}
}

// noteRanking reads the ranking's record in the state service and records a change.
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

// onDecision records and checks the placement decisions of a controller. It reads them from the
// debug log event "task placed" with the keys job, task, try, machine and ranking.
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

// checkOrder reports a violation if a job that ranks before the just placed job id has waited for
// rankingSettleTime and fits the machine m. It checks nothing if the placed job has waited for
// longer than maxOrderedWait, since aging may then place it first.
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
			// A job that others depend on may be placed first to unblock them.
		case r.table.Rank(s.Workload, int(s.Urgency)) >= place:
		case o.lastState != "queued" || w.now.Sub(o.lastStateAt) < rankingSettleTime || len(r.placedTasks[x]) >= s.Tasks:
		case !s.Need.Fits(j.spec.Need) || len(s.MachineTypes) > 0 || s.Zone != "" && s.Zone != m.Zone || m.Spot && !s.AllowSpot:
		default:
			w.violate("ranked_before", "%s places %s on %s, while %s of %s stands before it and waits", p.name, id, m.ID, x, s.Workload)
		}
	}
}

// onSend records and checks the starts in an effect that a controller sends.
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
			// Repetitions of a start that was sent before are allowed.
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

// SetRanking sends a request to set the ranking to controller i. onReply is called with the answer
// if there is one.
func (w *World) SetRanking(i int, c message.SetRanking, onReply func(message.RankingReply)) {
	c.Deadline = w.now.Add(4 * time.Second)
	w.controllers[i].request(func(reply uint64) message.Command { c.Reply = reply; return c }, func(e message.Effect) { onReply(e.(message.RankingReply)) })
}

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
func (world *World) CheckRanking() {
	world.rankingCheck = &rankingChecker{world: world, revisions: []uint64{0}, changedAt: []time.Time{world.now}, decidedUnder: map[string]uint64{}, startSent: map[string]bool{}, placedTasks: map[string]map[int]bool{}}
}

// noteRanking reads the ranking's record in the state service and records a change.
func (checker *rankingChecker) noteRanking() {
	if checker == nil {
		return
	}
	row := checker.world.state.records["ctl/ranking"]
	modRevision := uint64(0)
	if row != nil {
		modRevision = row.modRevision
	}
	if modRevision == checker.revisions[len(checker.revisions)-1] {
		return
	}
	checker.revisions, checker.changedAt = append(checker.revisions, modRevision), append(checker.changedAt, checker.world.now)
	if row != nil {
		if rec, err := ranking.Decode(row.value); err == nil {
			checker.table = rec.Table()
		}
	}
}

// onDecision records and checks the placement decisions of a controller. It reads them from the
// debug log event "task placed" with the keys job, task, try, machine and ranking.
func (checker *rankingChecker) onDecision(process *controllerProcess, effect message.Effect) {
	entry, ok := effect.(message.Log)
	if checker == nil || !ok || entry.Message != "task placed" {
		return
	}
	args := map[string]any{}
	for i := 0; i+1 < len(entry.Args); i += 2 {
		args[fmt.Sprint(entry.Args[i])] = entry.Args[i+1]
	}
	id, i := fmt.Sprint(args["job"]), args["task"].(int)
	checker.decidedUnder[fmt.Sprintf("%s/%d#%v", id, i, args["try"])] = args["ranking"].(uint64)
	if checker.placedTasks[id] == nil {
		checker.placedTasks[id] = map[int]bool{}
	}
	checker.placedTasks[id][i] = true
	checker.checkOrder(process, id, checker.world.machines[fmt.Sprint(args["machine"])])
}

// checkOrder reports a violation if a job that ranks before the just placed job id has waited for
// rankingSettleTime and fits the machine. It checks nothing if the placed job has waited for longer
// than maxOrderedWait, since aging may then place it first.
func (checker *rankingChecker) checkOrder(process *controllerProcess, id string, machine *Worker) {
	world := checker.world
	job := world.jobs[id]
	if checker.startsOnly || job == nil || machine == nil || world.now.Sub(checker.changedAt[len(checker.changedAt)-1]) < rankingSettleTime || world.now.Sub(job.submitted) > maxOrderedWait {
		return
	}
	place := checker.table.Rank(job.spec.Workload, int(job.spec.Urgency))
	for _, otherID := range sortedKeys(world.jobs) {
		other := world.jobs[otherID]
		otherSpec := &other.spec
		switch {
		case other == job || otherSpec.Team != job.spec.Team || otherSpec.Gang || otherSpec.SameZone || otherSpec.SpreadZones || other.isCancelled() || other.alwaysFails:
		case !other.dependenciesDone() || world.now.Sub(other.eligibleSince()) < rankingSettleTime || len(job.dependents) > 0:
			// A job that others depend on may be placed first to unblock them.
		case checker.table.Rank(otherSpec.Workload, int(otherSpec.Urgency)) >= place:
		case other.lastState != "queued" || world.now.Sub(other.lastStateAt) < rankingSettleTime || len(checker.placedTasks[otherID]) >= otherSpec.Tasks:
		case !otherSpec.Need.Fits(job.spec.Need) || otherSpec.MachineTypes != nil || otherSpec.Zone != "" && otherSpec.Zone != machine.Zone || machine.Spot && !otherSpec.AllowSpot:
		default:
			world.reportViolation("ranked_before", "%s places %s on %s, while %s of %s stands before it and waits", process.name, id, machine.ID, otherID, otherSpec.Workload)
		}
	}
}

// onSend records and checks the starts in an effect that a controller sends.
func (checker *rankingChecker) onSend(process *controllerProcess, effect message.Effect) {
	if checker == nil {
		return
	}
	var commands []model.TaskCommand
	switch x := effect.(type) {
	case message.WorkerRequest:
		commands = x.Commands
	case message.HeartbeatReply:
		commands = x.Commands
	}
	for _, command := range commands {
		name := fmt.Sprintf("%s/%d#%d", command.Job, command.Index, command.Attempt)
		decidedRevision, known := checker.decidedUnder[name]
		if command.Kind != model.StartTask || checker.startSent[name] || !known {
			// Repetitions of a start that was sent before are allowed.
			continue
		}
		checker.startSent[name] = true
		for i, s := range checker.revisions[:len(checker.revisions)-1] {
			if s != decidedRevision {
				continue
			}
			checker.OutdatedStarts++
			if late := checker.world.now.Sub(checker.changedAt[i+1]); late > maxOutdatedStartDelay {
				checker.world.reportViolation("outdated", "%s starts %s, decided under a ranking that was replaced %v ago", process.name, name, late)
			}
		}
	}
}

// SetRanking sends a request to set the ranking to controller i. onReply is called with the answer
// if there is one.
func (world *World) SetRanking(i int, request message.SetRanking, onReply func(message.RankingReply)) {
	request.Deadline = world.now.Add(4 * time.Second)
	world.controllers[i].request(func(reply uint64) message.Command { request.Reply = reply; return request }, func(effect message.Effect) { onReply(effect.(message.RankingReply)) })
}

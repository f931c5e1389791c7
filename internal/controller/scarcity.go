package controller

import (
	"time"

	"github.com/micahill/micahill/internal/model"
)

const (
	// scarcePenalty is how long a fetch is preferred to a place on a machine
	// that others depend on.
	scarcePenalty = 20 * time.Second
	// scarcityWindow is how near its latest start waiting work must be to have
	// the flavours it depends on to itself.
	scarcityWindow = 45 * time.Second
)

// workloadRetention is how long a workload counts as still to be expected.
const workloadRetention = 5 * time.Minute

// scarcity says how much others depend on a flavour.
type scarcity int

const (
	notScarce scarcity = iota
	// scarceSoon: work that fits little else has lately come.
	scarceSoon
	// scarceNow: such work, as urgent, waits now.
	scarceNow
)

// scarcityOf rates the flavours that some other workload, lately seen, depends on
// more than this one does: it fits fewer flavours. Small tasks that fill the
// only machines on which big ones fit keep those waiting beside idle small
// machines.
func (ss *scheduler) scarcityOf(s *model.JobSpec) map[string]scarcity {
	var out map[string]scarcity
	mine := ss.controller.knowledge.fittingMachineTypes(s)
	for _, w := range ss.controller.shardLeader.workloads {
		if w.spec.Workload == s.Workload || ss.now.Sub(w.lastSeen) > workloadRetention {
			continue
		}
		theirs := ss.controller.knowledge.fittingMachineTypes(w.spec)
		if len(theirs) >= len(mine) {
			continue
		}
		rate := scarceSoon
		if t, ok := ss.startDeadlines[w.spec.Workload]; ok && ss.controller.ranking.rankOfSpec(w.spec) <= ss.controller.ranking.rankOfSpec(s) && t.Sub(ss.now) < scarcityWindow {
			rate = scarceNow
		}
		if out == nil {
			out = map[string]scarcity{}
		}
		for _, f := range theirs {
			out[f] = max(out[f], rate)
		}
	}
	return out
}

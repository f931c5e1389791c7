package controller

import (
	"time"

	"github.com/micahill/micahill/internal/model"
)

const (
	// scarcePenalty is how long a fetch elsewhere is preferred to a machine that other
	// workloads depend on.
	scarcePenalty = 20 * time.Second
	// scarcityWindow is how near to its latest start pending work must be to have the
	// machine types it depends on to itself.
	scarcityWindow = 45 * time.Second
)

// workloadRetention is how long after its last job more work of a workload is expected.
const workloadRetention = 5 * time.Minute

// scarcity says how much other workloads depend on a machine type.
type scarcity int

const (
	notScarce scarcity = iota
	// scarceSoon: work that fits few other machine types has arrived lately.
	scarceSoon
	// scarceNow: such work is pending now, ranked at least as high.
	scarceNow
)

// scarcityOf rates the machine types on which some other recent workload depends more than the
// one of spec, since it fits fewer types. Otherwise small tasks fill the only machines on which
// large ones fit, and these wait beside idle small machines.
func (s *scheduler) scarcityOf(spec *model.JobSpec) map[string]scarcity {
	var out map[string]scarcity
	mine := s.controller.knowledge.fittingMachineTypes(spec)
	for _, w := range s.controller.shardLeader.workloads {
		if w.spec.Workload == spec.Workload || s.now.Sub(w.lastSeen) > workloadRetention {
			continue
		}
		theirs := s.controller.knowledge.fittingMachineTypes(w.spec)
		if len(theirs) >= len(mine) {
			continue
		}
		rate := scarceSoon
		if t, ok := s.startDeadlines[w.spec.Workload]; ok && s.controller.ranking.rankOfSpec(w.spec) <= s.controller.ranking.rankOfSpec(spec) && t.Sub(s.now) < scarcityWindow {
			rate = scarceNow
		}
		if out == nil {
			out = map[string]scarcity{}
		}
		for _, name := range theirs {
			out[name] = max(out[name], rate)
		}
	}
	return out
}

package controller

import (
	"slices"
	"time"
)

// gangStartTimeout is how long some tasks of a gang may be live while others are pending,
// before all are stopped to start together again.
const gangStartTimeout = 20 * time.Second

// placeGang places all tasks of a gang or none. With SameZone it tries one zone after another.
func (s *scheduler) placeGang(j *job, r *placementRound) {
	if j.liveTasks > 0 {
		// Some tasks were lost. The workers end the others by themselves; those that do
		// not are stopped.
		for i := range j.tasks[:j.nextFresh] {
			t := &j.tasks[i]
			if t.machine != nil && t.stopReason == stopNone && s.now.Sub(time.UnixMilli(t.groupStart)) > gangStartTimeout {
				t.stopReason = stopDrain
				s.controller.markDispatchPending(t.machine)
			}
		}
		return
	}
	zones := []string{""}
	if j.SameZone {
		zones = s.settings.Zones
	}
	for _, z := range zones {
		in := *r
		if z != "" {
			in.candidates = slices.DeleteFunc(slices.Clone(r.candidates), func(c *candidateMachine) bool { return c.machine.zone != z })
			in.full, in.candidateGroups = map[taskShape]bool{}, map[candidateGroupKey]*candidateGroup{}
		}
		if s.gangFits(j, &in) {
			s.placeJob(j, &in, forever, j.pendingTasks())
			return
		}
	}
}

// gangFits reports whether all pending tasks of j fit at once. It counts only machines that
// placement accepts: counting, for instance, a machine under decommission would have some of the
// tasks start and wait in vain for the others, again and again.
func (s *scheduler) gangFits(j *job, r *placementRound) bool {
	if t := s.team(j.Team); t != nil {
		u := s.controller.shardLeader.usedByTeam[j.Team].AddScaled(j.Need, float64(j.pendingTasks()))
		if t.QuotaLimit.CPU > 0 && u.CPU > t.QuotaLimit.CPU+roundingTolerance || t.QuotaLimit.GPU > 0 && u.GPU > t.QuotaLimit.GPU+roundingTolerance {
			return false
		}
	}
	for _, i := range j.requeued {
		if j.tasks[i].notBefore.After(s.now) {
			return false
		}
	}
	fitting := 0
	zones := map[string]int{}
	g := s.candidateGroupFor(r, j)
	for _, c := range r.candidates {
		m := c.machine
		if _, ok := g.rate(s, j, c); !ok {
			continue
		}
		k := s.freeCapacityOn(g, c).FitCount(j.Need)
		if j.SpreadZones {
			k = min(k, (len(j.tasks)+1)/2-zones[m.zone])
			zones[m.zone] += k
		}
		fitting += k
	}
	return fitting >= j.pendingTasks()
}

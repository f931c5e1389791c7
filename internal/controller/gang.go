package controller

import (
	"slices"
	"time"
)

// gangStartTimeout is how long some tasks of a gang may be live while others wait
// for a place, before all are stopped to start together again.
const gangStartTimeout = 20 * time.Second

// placeGang places all tasks of a gang or none, in one zone after another when
// they must be in the same place.
func (ss *scheduler) placeGang(j *job, r *placementRound) {
	if j.liveTasks > 0 {
		// Some were lost. The workers end the others by themselves; those
		// that do not are stopped.
		for i := range j.tasks[:j.nextFresh] {
			t := &j.tasks[i]
			if t.machine != nil && t.stopReason == stopNone && ss.now.Sub(time.UnixMilli(t.groupStart)) > gangStartTimeout {
				t.stopReason = stopDrain
				ss.controller.markDispatchPending(t.machine)
			}
		}
		return
	}
	zones := []string{""}
	if j.SameZone {
		zones = ss.settings.Zones
	}
	for _, z := range zones {
		in := *r
		if z != "" {
			in.candidates = slices.DeleteFunc(slices.Clone(r.candidates), func(s *candidateMachine) bool { return s.machine.zone != z })
			in.full, in.candidateGroups = map[taskShape]bool{}, map[candidateGroupKey]*candidateGroup{}
		}
		if ss.gangFits(j, &in) {
			ss.placeJob(j, &in, forever, j.pendingTasks())
			return
		}
	}
}

// gangFits says whether all waiting tasks of j find room at once, where they would
// be placed: room that placing then refuses, such as on a machine being let go,
// would have some of them start and wait in vain for the others, in turns and
// without end.
func (ss *scheduler) gangFits(j *job, r *placementRound) bool {
	if t := ss.team(j.Team); t != nil {
		u := ss.controller.shardLeader.usedByTeam[j.Team].AddScaled(j.Need, float64(j.pendingTasks()))
		if t.QuotaLimit.CPU > 0 && u.CPU > t.QuotaLimit.CPU+roundingTolerance || t.QuotaLimit.GPU > 0 && u.GPU > t.QuotaLimit.GPU+roundingTolerance {
			return false
		}
	}
	for _, i := range j.requeued {
		if j.tasks[i].notBefore.After(ss.now) {
			return false
		}
	}
	room := 0
	zones := map[string]int{}
	l := ss.candidateGroupFor(r, j)
	for _, s := range r.candidates {
		m := s.machine
		if _, ok := l.rate(ss.controller, j, s); !ok {
			continue
		}
		k := ss.freeCapacityOn(l, s).FitCount(j.Need)
		if j.SpreadZones {
			k = min(k, (len(j.tasks)+1)/2-zones[m.zone])
			zones[m.zone] += k
		}
		room += k
	}
	return room >= j.pendingTasks()
}

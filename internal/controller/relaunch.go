package controller

import "time"

const (
	// relaunchFraction is the design's tenth: a group is relaunched only if at
	// most this share of it is unfinished.
	relaunchFraction = 0.1
	// noMedianFactor multiplies w for tasks whose job has no median of its own:
	// the reference is then an estimate, often wrong by half.
	noMedianFactor = 1.5
	// maxRelaunchesPerScan spreads many simultaneous releases: how many stragglers are
	// stopped in one look round.
	maxRelaunchesPerScan = 8
)

// relaunch is the paper's: when a group's timer of w times the median of the
// job's finished run times has expired with at most a tenth unfinished, those
// tasks are stopped and started once more elsewhere.
func (s *scheduler) relaunch() {
	o := s.controller.shardLeader
	released := 0
	for _, id := range sortedKeys(o.jobs) {
		j := o.jobs[id]
		if j.cancelled || j.ending || j.LongRunning || j.liveTasks == 0 {
			continue
		}
		med, hasMedian := j.medianRunTime()
		factor := s.settings.Policy.RelaunchFactor
		if !hasMedian || j.doneTasks*2 < len(j.tasks) {
			// No timer runs before half of the tasks have finished. An
			// extension: a job of one task never has such a half, so its
			// reference is the corrected estimate, with more patience.
			e := s.controller.knowledge.estimators[j.Workload]
			if len(j.tasks) > 1 || e == nil || e.samples < 5 {
				continue
			}
			med = s.controller.knowledge.expectedRunTime(j)
			factor *= noMedianFactor
		}
		limit := time.Duration(factor * float64(med))
		for _, gid := range sortedKeys(j.groups) {
			g := j.groups[gid]
			if g.relaunchDecided || s.now.Sub(g.startedAt) < limit {
				continue
			}
			var stragglers []int
			for _, i := range g.tasks {
				if t := &j.tasks[i]; !t.done && t.groupStart == gid {
					stragglers = append(stragglers, i)
				}
			}
			if len(stragglers) == 0 {
				delete(j.groups, gid)
				continue
			}
			// An extension for small groups, whose tenth is less than one
			// task: one may always be relaunched.
			if len(stragglers) > max(1, int(relaunchFraction*float64(len(g.tasks)))) {
				continue
			}
			if released+len(stragglers) > maxRelaunchesPerScan && released > 0 {
				continue
			}
			if !s.worthRelaunch(j, stragglers, limit) {
				continue
			}
			released += len(stragglers)
			g.relaunchDecided = true
			for _, i := range stragglers {
				t := &j.tasks[i]
				t.relaunched, t.stopReason = true, stopRelaunch
				s.controller.markDispatchPending(t.machine)
				j.markChanged(i, s.now, true)
				s.debug("relaunch", "job", j.ID, "task", i, "machine", t.machine.id, "limit", limit)
			}
		}
	}
}

// worthRelaunch: each late task runs, has run for the limit itself (a fetch
// does not count), was not restarted before, and there is room elsewhere.
func (s *scheduler) worthRelaunch(j *job, stragglers []int, limit time.Duration) bool {
	for _, i := range stragglers {
		t := &j.tasks[i]
		if t.machine == nil || t.stopReason != stopNone || t.relaunched || t.startedAt.IsZero() || s.now.Sub(t.startedAt) < limit {
			return false
		}
		room, avoidGPUs := false, s.avoidsGPUsNow(j)
		for _, m := range s.controller.shardLeader.machinesByID {
			if m != t.machine && s.gpuPolicyAllows(avoidGPUs, m) && j.Need.Fits(m.free()) && j.allowsMachine(m.machineType, m.zone, m.spot) && s.usable(m) {
				room = true
				break
			}
		}
		if !room {
			return false
		}
	}
	return true
}

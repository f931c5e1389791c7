package controller

import "time"

const (
	// relaunchFraction is the part of a group that may at most be unfinished for its
	// stragglers to be relaunched.
	relaunchFraction = 0.1
	// noMedianFactor multiplies Policy.RelaunchFactor for jobs without a median run time of
	// their own: their reference is an estimate, often wrong by half.
	noMedianFactor = 1.5
	// maxRelaunchesPerScan is how many stragglers are stopped in one scan, so that many
	// expiring at once are spread out.
	maxRelaunchesPerScan = 8
)

// relaunch stops stragglers and starts them once more elsewhere. A group of tasks that started
// together has a timer of Policy.RelaunchFactor times the median run time of the job's finished
// tasks; when it expires with at most a tenth of the group unfinished, those are relaunched.
func (s *scheduler) relaunch() {
	sl := s.controller.shardLeader
	relaunched := 0
	for _, id := range sortedKeys(sl.jobs) {
		j := sl.jobs[id]
		if j.cancelled || j.ending || j.LongRunning || j.liveTasks == 0 {
			continue
		}
		med, hasMedian := j.medianRunTime()
		factor := s.settings.Policy.RelaunchFactor
		if !hasMedian || j.doneTasks*2 < len(j.tasks) {
			// No timer runs before half of the tasks have finished. A job of one task
			// never gets there, so its reference is the corrected estimate, with a
			// longer limit.
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
			// A tenth of a small group is less than one task: one may always be
			// relaunched.
			if len(stragglers) > max(1, int(relaunchFraction*float64(g.size()))) {
				continue
			}
			if relaunched+len(stragglers) > maxRelaunchesPerScan && relaunched > 0 {
				continue
			}
			if !s.worthRelaunch(j, stragglers, limit) {
				continue
			}
			relaunched += len(stragglers)
			g.relaunchDecided = true
			for _, i := range stragglers {
				t := &j.tasks[i]
				t.relaunched, t.stopReason = true, stopRelaunch
				s.controller.markDispatchPending(t.machine)
				j.markChanged(i, s.now, true)
				s.debug("task relaunched", "job", j.ID, "task", i, "machine", t.machine.id, "limit", limit)
			}
		}
	}
}

// worthRelaunch reports whether each straggler runs, has itself run for the limit (time spent
// fetching an image does not count), was not relaunched before, and fits elsewhere.
func (s *scheduler) worthRelaunch(j *job, stragglers []int, limit time.Duration) bool {
	for _, i := range stragglers {
		t := &j.tasks[i]
		if t.machine == nil || t.stopReason != stopNone || t.relaunched || t.startedAt.IsZero() || s.now.Sub(t.startedAt) < limit {
			return false
		}
		fits, avoidGPUs := false, s.avoidsGPUsNow(j)
		for _, m := range s.controller.shardLeader.machinesByID {
			if m != t.machine && s.gpuPolicyAllows(avoidGPUs, m) && j.Need.Fits(m.free()) && j.allowsMachine(m.machineType, m.zone, m.spot) && s.usable(m) {
				fits = true
				break
			}
		}
		if !fits {
			return false
		}
	}
	return true
}

package controller

import (
	"time"

	"github.com/micahill/micahill/internal/model"
)

// attachAttempt counts the attempt of task i as live on m.
func (s *shardLeader) attachAttempt(j *job, i int, m *machine) {
	t := &j.tasks[i]
	t.machine = m
	j.liveTasks++
	j.liveByZone[m.zone]++
	m.attempts[taskKey{j.ID, i}] = t
	m.used = m.used.AddScaled(j.Need, 1)
	u := s.usedByTeam[j.Team]
	s.usedByTeam[j.Team] = u.AddScaled(j.Need, 1)
}

// endAttempt ends a live attempt once its end is proven, with the task done or to be queued
// again.
func (s *shardLeader) endAttempt(j *job, i int, done bool) {
	t := &j.tasks[i]
	m := t.machine
	if m == nil {
		return
	}
	delete(m.attempts, taskKey{j.ID, i})
	m.used = m.used.AddScaled(j.Need, -1)
	s.usedByTeam[j.Team] = s.usedByTeam[j.Team].AddScaled(j.Need, -1)
	j.liveTasks--
	j.liveByZone[m.zone]--
	if len(m.attempts) == 0 {
		m.idleSince = s.now
		m.used = model.Resources{}
		if m.remote {
			s.remoteAttempts.dropIfEmpty(m)
		}
	}
	if t.isRunning() {
		j.runningTasks--
	}
	t.machine, t.reported, t.startedAt = nil, false, time.Time{}
	if t.stopReason == stopRelaunch {
		t.avoidMachine = m.id
	}
	t.stopReason = stopNone
	if done {
		t.done = true
		j.doneTasks++
	} else if !j.cancelled {
		j.requeued = append(j.requeued, i)
	}
	j.markChanged(i, s.now, done && j.doneTasks == len(j.tasks))
	s.scheduler.requestPlacement()
}

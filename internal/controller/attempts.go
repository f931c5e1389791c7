package controller

import (
	"time"

	"github.com/micahill/micahill/internal/model"
)

// attachAttempt registers the current attempt of task i as live on m and counts its resources.
func (shardLeader *shardLeader) attachAttempt(j *job, i int, m *machine) {
	t := &j.tasks[i]
	t.machine = m
	j.liveTasks++
	j.liveByZone[m.zone]++
	m.attempts[taskKey{j.ID, i}] = t
	m.used = m.used.AddScaled(j.Need, 1)
	used := shardLeader.usedByTeam[j.Team]
	shardLeader.usedByTeam[j.Team] = used.AddScaled(j.Need, 1)
}

// endAttempt removes a live attempt. The caller must have proof that the attempt has ended. If done
// is false, the task is queued again unless its job is cancelled.
func (shardLeader *shardLeader) endAttempt(j *job, i int, done bool) {
	t := &j.tasks[i]
	m := t.machine
	if m == nil {
		return
	}
	delete(m.attempts, taskKey{j.ID, i})
	m.used = m.used.AddScaled(j.Need, -1)
	shardLeader.usedByTeam[j.Team] = shardLeader.usedByTeam[j.Team].AddScaled(j.Need, -1)
	j.liveTasks--
	j.liveByZone[m.zone]--
	if len(m.attempts) == 0 {
		m.idleSince = shardLeader.now
		m.used = model.Resources{}
		if m.remote {
			shardLeader.remoteAttempts.dropIfEmpty(m)
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
	j.markChanged(i, shardLeader.now, done && j.doneTasks == len(j.tasks))
	shardLeader.scheduler.requestPlacement()
}

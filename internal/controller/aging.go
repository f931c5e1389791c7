package controller

import (
	"slices"
	"time"

	"github.com/micahill/micahill/internal/aging"
	"github.com/micahill/micahill/internal/model"
)

// aging.go joins the core to internal/aging: in whose turn what waits is placed, and
// which machines are gathered for work that has waited too long and fits nowhere.

// queueEntry is some of a job's waiting tasks; first: because it has waited too long.
type queueEntry struct {
	job       *job
	tasks     int
	goesFirst bool
}

// waitTime is for how long some of a job has waited behind others: since it was submitted,
// or all that it needs was done.
// A task that was stopped or lost waits again, and has waited from the start as its
// user sees it.
func (s *scheduler) waitTime(j *job) time.Duration { return s.now.Sub(j.readySince()) }

// queueOrder is what waits, in the order in which it is placed.
func (s *scheduler) queueOrder() []queueEntry {
	rs := s.queuedJobs()
	rooms := map[taskShape]float64{}
	jobs := make([]aging.Job, len(rs))
	for i, r := range rs {
		j := r.job
		bound, part := s.controller.ranking.waitBound(j)
		p := aging.Job{
			Waited: s.waitTime(j), MaxWait: bound, PriorityFraction: part, Urgency: int(j.Urgency), Guaranteed: r.guaranteed,
			WaitingTasks: s.placeableTasks(j), Gang: j.Gang,
		}
		if s.controller.shardLeader.faultAttribution.FailsEverywhere(j.ID) {
			// What it waits for is its own cure.
			p.Waited = 0
		}
		if j.overdue = p.Overdue(); j.overdue {
			shape := j.taskShape()
			room, ok := rooms[shape]
			if !ok {
				room = s.totalCapacityFor(j)
				rooms[shape] = room
			}
			p.TaskFraction = 1 / max(room, 1)
			p.RunningFraction = float64(j.liveTasks) * p.TaskFraction
		}
		jobs[i] = p
	}
	ts := aging.QueueOrder(jobs)
	out := make([]queueEntry, len(ts))
	for i, t := range ts {
		out[i] = queueEntry{rs[t.Job].job, t.Tasks, t.Promoted}
	}
	return out
}

// jobsInQueueOrder is the jobs that wait for places, by their first turn.
func (s *scheduler) jobsInQueueOrder() []*job {
	var out []*job
	seen := map[*job]bool{}
	for _, t := range s.queueOrder() {
		if !seen[t.job] {
			seen[t.job] = true
			out = append(out, t.job)
		}
	}
	return out
}

// totalCapacityFor is how many tasks like the job's all machines there are would hold, empty.
func (s *scheduler) totalCapacityFor(j *job) float64 {
	all, avoidGPUs := 0, s.avoidsGPUsNow(j)
	for _, m := range s.controller.shardLeader.machinesByID {
		if j.allowsMachine(m.machineType, m.zone, m.spot) && s.usable(m) && s.gpuPolicyAllows(avoidGPUs, m) {
			all += m.size.FitCount(j.Need)
		}
	}
	return float64(all)
}

// needsReservation says that machines are to be gathered for a job: it has waited too long, and
// nothing of it runs whose end would leave it room.
func (j *job) needsReservation() bool {
	return j.overdue && j.liveTasks == 0 && !j.Gang && j.pendingTasks() > 0
}

// reservationInterval separates two looks at what to gather machines for, and maxReservations bounds
// the jobs that one is for: each goes through all machines.
const (
	reservationInterval = 500 * time.Millisecond
	maxReservations     = 16
)

// machineReservation is a job that machines are gathered for, and those that could be.
type machineReservation struct {
	job             *job
	hosts           []aging.Candidate
	fittingMachines int
	// machinesNeeded is how many machines its waiting tasks would fill.
	machinesNeeded int
}

// dueStart is when a waiting job's tasks should start at the latest, for what is rented. One
// that has waited too long and of which nothing has begun is late whatever its aims say:
// with none that it can still meet it is due so late that no ordinary machine would be
// rented for it, and where there is no spot room it would wait beside a free cloud.
func (s *scheduler) dueStart(j *job) time.Time {
	if l := s.latestStart(j); !j.overdue || j.liveTasks > 0 || j.doneTasks > 0 || l.Before(s.now) {
		return l
	}
	return s.now
}

// reserveMachines holds machines for work that has waited too long and of which nothing runs: a
// task as large as a machine among thousands of small ones, or work of low urgency while
// higher work takes whatever comes free. What runs there ends in peace, and nothing else
// comes. All that is held together is a part of the machines: one for each job first,
// so that all begin, and then more for those that have waited for the longest.
func (s *scheduler) reserveMachines(jobs []*job) {
	o := s.controller.shardLeader
	if s.now.Sub(o.scheduler.machinesReservedAt) < reservationInterval {
		return
	}
	o.scheduler.machinesReservedAt = s.now
	reservedFor := map[string]string{}
	var reservations []*machineReservation
	for _, j := range jobs {
		if j.needsReservation() && len(reservations) < maxReservations {
			reservations = append(reservations, s.machineReservationFor(j))
		}
	}
	usable := 0
	for _, m := range o.machinesByID {
		if len(reservations) > 0 && s.usable(m) {
			usable++
		}
	}
	left := max(1, int(aging.MaxReservedFraction*float64(usable)))
	for _, most := range [...]int{1, usable} {
		for _, g := range reservations {
			for _, id := range aging.Reserve(g.hosts, min(left, most, g.machinesNeeded), g.fittingMachines) {
				if reservedFor[id] == "" {
					reservedFor[id] = g.job.ID
					g.machinesNeeded--
					left--
				}
			}
			g.hosts = slices.DeleteFunc(g.hosts, func(h aging.Candidate) bool { return reservedFor[h.ID] != "" })
		}
	}
	for _, m := range o.machinesByID {
		if m.reservedFor != reservedFor[m.id] {
			m.reservedFor = reservedFor[m.id]
			s.debug("held", "machine", m.id, "for", m.reservedFor)
		}
	}
}

// machineReservationFor is what could be gathered for a job.
func (s *scheduler) machineReservationFor(j *job) *machineReservation {
	g := &machineReservation{job: j}
	each, avoidGPUs := 1, s.avoidsGPUsNow(j)
	for _, m := range s.controller.shardLeader.machinesByID {
		if !s.gpuPolicyAllows(avoidGPUs, m) || !j.allowsMachine(m.machineType, m.zone, m.spot) || !j.Need.Fits(m.size) || !s.usable(m) {
			continue
		}
		g.fittingMachines++
		each = max(each, m.size.FitCount(j.Need))
		if at, ok := s.timeUntilFits(m, j.Need); ok && j.zoneAllowed(m.zone) {
			g.hosts = append(g.hosts, aging.Candidate{ID: m.id, FreeIn: at, Reserved: m.reservedFor == j.ID})
		}
	}
	g.machinesNeeded = (s.placeableTasks(j) + each - 1) / each
	return g
}

// timeUntilFits is when a task would fit on m if nothing else came, as far as the expected ends
// of what runs there tell.
func (s *scheduler) timeUntilFits(m *machine, need model.Resources) (time.Duration, bool) {
	free := m.free()
	if need.Fits(free) {
		return 0, true
	}
	var last time.Duration
	for _, k := range sortedAttempts(m) {
		j := s.controller.shardLeader.jobs[k.job]
		if j.LongRunning {
			continue
		}
		left := s.controller.knowledge.expectedRunTime(j)
		if t := m.attempts[k]; !t.startedAt.IsZero() {
			left = max(left-s.now.Sub(t.startedAt), left/5)
		}
		last = max(last, left)
		free = free.AddScaled(j.Need, 1)
	}
	return last, need.Fits(free)
}

// reservedForOther says that a machine is held for work that has waited too long, and the job
// is other work.
func (m *machine) reservedForOther(j *job) bool { return m.reservedFor != "" && m.reservedFor != j.ID }

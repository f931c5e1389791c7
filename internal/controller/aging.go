package controller

import (
	"slices"
	"time"

	"github.com/micahill/micahill/internal/aging"
	"github.com/micahill/micahill/internal/model"
)

// aging.go connects the scheduler to internal/aging: in which order pending tasks are placed, and
// which machines are reserved for overdue jobs that fit nowhere.

const (
	// reservationInterval separates two updates of the reservations, and maxReservations bounds
	// the jobs that machines are reserved for: each goes through all machines.
	reservationInterval = 500 * time.Millisecond
	maxReservations     = 16
)

// queueEntry is some of a job's pending tasks. goesFirst says that the job is overdue and was
// promoted before others.
type queueEntry struct {
	job       *job
	tasks     int
	goesFirst bool
}

// machineReservation is a job that machines are reserved for, and those that could be.
type machineReservation struct {
	job   *job
	hosts []aging.Candidate
	// fittingMachines counts the machines that a task would fit on when empty.
	fittingMachines int
	// machinesNeeded is how many machines its pending tasks would fill.
	machinesNeeded int
}

// waitTime is how long a job has waited: since it was submitted, or since all its dependencies
// were done. A task that was stopped or lost has, for its user, waited from the start.
func (s *scheduler) waitTime(j *job) time.Duration { return s.now.Sub(j.readySince()) }

// queueOrder returns the pending tasks in the order in which they are placed.
func (s *scheduler) queueOrder() []queueEntry {
	queued := s.queuedJobs()
	capacities := map[taskShape]float64{}
	jobs := make([]aging.Job, len(queued))
	for i, q := range queued {
		j := q.job
		bound, part := s.controller.ranking.waitBound(j)
		p := aging.Job{
			Waited: s.waitTime(j), MaxWait: bound, PriorityFraction: part, Urgency: int(j.Urgency), Guaranteed: q.guaranteed,
			WaitingTasks: s.placeableTasks(j), Gang: j.Gang,
		}
		if s.controller.shardLeader.faultAttribution.FailsEverywhere(j.ID) {
			// It waits until it stops failing, not for others.
			p.Waited = 0
		}
		if j.overdue = p.Overdue(); j.overdue {
			shape := j.taskShape()
			capacity, ok := capacities[shape]
			if !ok {
				capacity = s.totalCapacityFor(j)
				capacities[shape] = capacity
			}
			p.TaskFraction = 1 / max(capacity, 1)
			p.RunningFraction = float64(j.liveTasks) * p.TaskFraction
		}
		jobs[i] = p
	}
	ts := aging.QueueOrder(jobs)
	out := make([]queueEntry, len(ts))
	for i, t := range ts {
		out[i] = queueEntry{queued[t.Job].job, t.Tasks, t.Promoted}
	}
	return out
}

// jobsInQueueOrder returns the jobs with pending tasks, by their first entry in the queue.
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

// totalCapacityFor is how many tasks like the job's all usable machines would hold if empty.
func (s *scheduler) totalCapacityFor(j *job) float64 {
	all, avoidGPUs := 0, s.avoidsGPUsNow(j)
	for _, m := range s.controller.shardLeader.machinesByID {
		if j.allowsMachine(m.machineType, m.zone, m.spot) && s.usable(m) && s.gpuPolicyAllows(avoidGPUs, m) {
			all += m.size.FitCount(j.Need)
		}
	}
	return float64(all)
}

// needsReservation reports whether machines should be reserved for a job: it is overdue, and no
// task of it is live whose end would leave capacity for the next.
func (j *job) needsReservation() bool {
	return j.overdue && j.liveTasks == 0 && !j.Gang && j.pendingTasks() > 0
}

// dueStart is when a pending job's tasks should start at the latest, as far as scaling out is
// concerned. An overdue job that has not started is late whatever its objectives say: with none
// that it can still meet, its latest start is so late that no on-demand machine would be rented
// for it, and where spot capacity is refused it would wait beside a free cloud.
func (s *scheduler) dueStart(j *job) time.Time {
	if l := s.latestStart(j); !j.overdue || j.liveTasks > 0 || j.doneTasks > 0 || l.Before(s.now) {
		return l
	}
	return s.now
}

// reserveMachines reserves machines for overdue jobs of which nothing runs: a task as large as a
// machine among thousands of small ones, or work of low urgency while higher work takes whatever
// comes free. What runs on a reserved machine goes on to its end, and nothing else is placed there.
// All reservations together are bounded by aging.MaxReservedFraction: one machine for each job
// first, so that all begin, and then more for those that have waited longest.
func (s *scheduler) reserveMachines(jobs []*job) {
	o := s.controller.shardLeader
	if s.now.Sub(s.machinesReservedAt) < reservationInterval {
		return
	}
	s.machinesReservedAt = s.now
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
			s.debug("machine reservation changed", "machine", m.id, "for", m.reservedFor)
		}
	}
}

// machineReservationFor returns the machines that could be reserved for a job.
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

// timeUntilFits is how long it takes until need fits on m if nothing else is placed there, by the
// expected ends of its live tasks, and whether it fits then.
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

// reservedForOther reports whether the machine is reserved for another job than j.
func (m *machine) reservedForOther(j *job) bool { return m.reservedFor != "" && m.reservedFor != j.ID }

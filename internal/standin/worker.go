package standin

import (
	"fmt"
	"slices"
	"time"

	"github.com/micahill/micahill/internal/core"
)

// Worker is a model of one machine's worker.
type Worker struct {
	ID      string
	Addr    string
	Flavour string
	Zone    string
	Spot    bool
	Size    core.Resources
	Pull    float64

	rentedAt time.Time
	upAt     time.Time
	dead     bool
	diedAt   time.Time
	returned bool
	// taken: by the cloud; goneAt is when it was that or returned. used: some task
	// was ever started on it.
	taken    bool
	goneAt   time.Time
	used     bool
	hungTill time.Time
	slow     float64
	faulty   bool
	// life counts the processes that its worker was.
	life int
	// lazy: it reports and takes orders, and never starts anything.
	lazy     bool
	recallAt time.Time
	// deafTill: nothing reaches it until then, and deafHold: it does so afterwards.
	deafTill time.Time
	deafHold bool
	// muteTill: it reaches no controller until then.
	muteTill time.Time
	// rooms is what was free on it when it was last looked at what waits.
	rooms []core.Resources

	tenure    uint64
	tick      uint64
	epoch     uint64
	leaseFrom time.Time
	images    map[string]time.Time
	tasks     map[string]*workerTask

	node      int
	nextAt    time.Time
	lastAt    time.Time
	reporting bool
	changed   bool
}

type workerTask struct {
	job    *userJob
	index  int
	try    uint64
	status core.TaskStatus
	cause  string
	stored bool
	ready  time.Time
	left   time.Duration
	flush  time.Time
	// blamed: that it is still there was told; others are to find room in the list.
	blamed bool
}

func taskName(job string, i int) string { return fmt.Sprintf("%s/%d", job, i) }

// up says that the worker runs and is not hanging.
func (m *Worker) up(now time.Time) bool {
	return !m.dead && !m.returned && !now.Before(m.upAt) && !now.Before(m.hungTill)
}

// onMachine says that a task counts as being on its machine.
func (t *workerTask) onMachine() bool {
	return t.status == core.Running || t.status == core.Checkpointing
}

func (m *Worker) report(now time.Time) core.Heartbeat {
	m.tick++
	r := core.Heartbeat{
		Machine: m.ID, Addr: m.Addr, MachineType: m.Flavour, Zone: m.Zone, Spot: m.Spot,
		Incarnation: m.tenure, Sequence: m.tick, Epoch: m.epoch, ReclaimIn: -1,
	}
	if !m.recallAt.IsZero() {
		r.ReclaimIn = max(0, m.recallAt.Sub(now))
	}
	for _, k := range sorted(m.tasks) {
		t := m.tasks[k]
		r.Tasks = append(r.Tasks, core.TaskReport{Job: t.job.spec.ID, Index: t.index, Attempt: t.try, Status: t.status, Cause: t.cause, CheckpointStored: t.stored})
	}
	return r
}

// execute carries out orders one after another.
func (w *World) execute(m *Worker, orders []core.TaskCommand) {
	for _, o := range orders {
		k := fmt.Sprintf("%s#%d", taskName(o.Job, o.Index), o.Attempt)
		t := m.tasks[k]
		switch o.Kind {
		case core.StartTask:
			if t == nil && !m.lazy {
				w.startTask(m, o, k)
			}
		case core.StopTask:
			if t == nil || t.status == core.Ended {
				continue
			}
			save := t.job.spec.CheckpointInterval > 0 && t.status == core.Running && o.GracePeriod >= t.job.spec.CheckpointCost
			switch {
			case save:
				t.status, t.flush = core.Checkpointing, w.now.Add(t.job.spec.CheckpointCost)
			case t.status == core.Checkpointing && o.GracePeriod > 0:
			default:
				w.end(m, t, "stopped")
			}
		case core.ClearTask:
			if t != nil && t.status == core.Ended {
				delete(m.tasks, k)
			}
		}
	}
}

func (w *World) startTask(m *Worker, o core.TaskCommand, k string) {
	j := w.jobs[o.Job]
	if j == nil && w.learn != nil {
		if spec, run, ok := w.learn(o.Job); ok {
			j = newUserJob(spec, run)
			w.jobs[o.Job] = j
		}
	}
	if j == nil {
		return
	}
	t := &workerTask{job: j, index: o.Index, try: o.Attempt, status: core.Fetching}
	m.tasks[k] = t
	if !slices.Contains(j.places[o.Index], m) {
		j.places[o.Index] = append(j.places[o.Index], m)
	}
	m.changed = true
	used := core.Resources{}
	for _, x := range m.tasks {
		if x != t && x.status != core.Ended {
			used = used.AddScaled(x.job.spec.Need, 1)
			if x.job == j && x.index == o.Index {
				t.status, t.cause = core.Ended, "in_use"
				return
			}
		}
	}
	if !j.spec.Need.Fits(m.Size.AddScaled(used, -1)) {
		t.status, t.cause = core.Ended, "no_room"
		return
	}
	j.placedAt = w.now
	if m.images[j.spec.Image].IsZero() {
		m.images[j.spec.Image] = w.now.Add(core.Seconds(j.spec.ImageGB / m.Pull))
	}
	t.ready = m.images[j.spec.Image]
	t.left = j.run
	if m.slow > 0 {
		t.left = time.Duration(float64(t.left) * m.slow)
	}
	if saved, ok := j.saved[o.Index]; ok {
		t.left = min(t.left, saved)
	}
	if j.results[o.Index] {
		t.left = 0
	}
}

func (w *World) end(m *Worker, t *workerTask, cause string) {
	t.cause = cause
	w.leaves(t)
	t.status = core.Ended
	m.changed = true
}

// advance moves the machine's tasks on by a tick.
func (w *World) advance(m *Worker, d time.Duration) {
	// A hanging machine goes on within its lease or not at all, so the end of
	// a lease comes to it as well.
	if m.tenure > 0 && w.now.Sub(m.leaseFrom) > w.set.WorkerLease {
		for _, t := range m.tasks {
			if t.onMachine() {
				w.LostToLease++
			}
		}
		w.clear(m)
		clear(m.images)
		m.tenure++
		m.leaseFrom, m.changed = w.now, true
	}
	if !m.up(w.now) {
		return
	}
	if m.tenure == 0 {
		m.tenure, m.leaseFrom, m.nextAt = 1, w.now, w.now
	}
	for _, t := range m.tasks {
		switch t.status {
		case core.Fetching:
			if !t.ready.After(w.now) {
				t.status, m.changed, m.used = core.Running, true, true
				team := t.job.spec.Team
				w.used[team] = w.used[team].AddScaled(t.job.spec.Need, 1)
				w.checkStart(m, t)
			}
		case core.Running:
			if m.faulty || t.job.broken {
				w.end(m, t, "error")
				continue
			}
			t.left -= d
			if every := t.job.spec.CheckpointInterval; every > 0 && t.left > 0 {
				// Saved progress is what is left rounded up to a checkpoint.
				steps := (t.job.run - t.left) / every
				t.job.save(t.index, t.job.run-steps*every)
			}
			if t.left <= 0 && !t.job.spec.LongRunning {
				t.job.results[t.index] = true
				w.end(m, t, "done")
				w.resultsComplete(t.job)
				w.endsNear(t.job)
			}
		case core.Checkpointing:
			if !t.flush.After(w.now) {
				t.job.save(t.index, t.left)
				t.stored = true
				w.end(m, t, "stopped")
			}
		}
	}
	// No more often than every half second, and every report interval.
	if !m.reporting && (!w.now.Before(m.nextAt) || m.changed && w.now.Sub(m.lastAt) >= 500*time.Millisecond) {
		m.reporting, m.changed, m.lastAt = true, false, w.now
		m.nextAt = w.now.Add(w.jitter(w.set.HeartbeatInterval))
		w.reporter(m)
	}
}

func (w *World) sendReport(m *Worker) {
	sent, tenure, to, life := w.now, m.tenure, m.node, m.life
	answered := false
	r := m.report(w.now)
	next := func(again time.Duration) {
		m.reporting = false
		m.node = (to + 1) % len(w.nodes)
		m.nextAt = w.now.Add(again)
	}
	w.after(4*time.Second, func() {
		if !answered && m.life == life {
			answered = true
			next(time.Second)
		}
	})
	if w.now.Before(m.muteTill) {
		// It opens no connection, and there is nothing that could arrive.
		return
	}
	p := w.nodes[to]
	w.copyReport(r)
	if w.twice > 0 && w.rng.Float64() < w.twice {
		w.after(w.late(), func() {
			w.sendMsg(m.ID, p.name, func() {
				p.ask(func(reply uint64) core.Command { return core.WorkerHeartbeat{Reply: reply, Heartbeat: r} }, func(core.Effect) {})
			})
		})
	}
	w.sendMsg(m.ID, p.name, func() {
		p.ask(func(reply uint64) core.Command { return core.WorkerHeartbeat{Reply: reply, Heartbeat: r} }, func(e core.Effect) {
			a := e.(core.HeartbeatReply)
			w.sendMsg(p.name, m.ID, func() {
				if answered {
					// Given up: the answer is dropped.
					return
				}
				answered = true
				switch {
				case a.Status == 421 && a.MachineOwner != "" && w.nodeIndex(a.MachineOwner) >= 0 && w.nodeIndex(a.MachineOwner) != to:
					m.reporting = false
					m.node = w.nodeIndex(a.MachineOwner)
					m.nextAt = w.now.Add(w.jitter(250 * time.Millisecond))
				case a.Status != 200:
					next(time.Second)
				default:
					w.checkBody(a)
					m.reporting = false
					if a.Epoch < m.epoch || tenure != m.tenure {
						return
					}
					if a.Epoch > m.epoch {
						m.epoch, m.changed = a.Epoch, true
					}
					m.leaseFrom = sent
					w.execute(m, a.Commands)
				}
			})
		})
	})
}

// direct is a request to the worker's own address.
func (w *World) direct(m *Worker, op core.WorkerRequest) core.WorkerResponse {
	d := core.WorkerResponse{ID: op.ID, OK: true}
	if !op.StatusOnly {
		if op.Epoch < m.epoch || op.Incarnation != m.tenure {
			d.OK = false
		} else {
			if op.Epoch > m.epoch {
				m.epoch, m.changed = op.Epoch, true
			}
			w.execute(m, op.Commands)
		}
	}
	r := m.report(w.now)
	d.Heartbeat = &r
	return d
}

func sorted[V any](m map[string]V) []string {
	keys := make([]string, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	slices.Sort(keys)
	return keys
}

package standin

import (
	"slices"
	"time"

	"github.com/micahill/micahill/internal/core"
)

// userJob is a job as its user knows it.
type userJob struct {
	spec    core.JobSpec
	run     time.Duration
	broken  bool
	results map[int]bool
	saved   map[int]time.Duration
	// places are the machines that have, or had, a task, and began when each was
	// first on one.
	places map[int][]*Worker
	began  map[int]time.Time

	accepted  bool
	told      string
	toldAt    time.Time
	aborting  bool
	Refused   int
	submitted time.Time
	finished  time.Time
	// promised is the newest date that was told, and rev its revision.
	promised time.Duration
	rev      int
	// firstDate: the first answer told a date.
	firstDate bool
	// cancelled is when the first answer left a controller that says so: from then on
	// its user could have been told, also if it came late or never.
	cancelled time.Time
	// heard is when a question was last answered, and silent: that none was for too
	// long was told.
	heard  time.Time
	silent bool
	// placedAt is when a task was last given to a machine, and waitsFrom since when one
	// waits beside room for it; waitBlamed: that this was too long was told.
	placedAt, waitsFrom time.Time
	waitBlamed          bool
	// replicas are a standing job's, as they come and go.
	replicas map[int]*replica
	// needs are the jobs that it needs, and followers those that need it.
	needs, followers []*userJob
	// endedAt is when the last of its tasks was done, and moments what waits for what.
	endedAt time.Time
	moments map[moment][]func()
	// needsAccepted: when it was submitted its user knew that all that it needs was accepted.
	needsAccepted bool
	// impossible: it names what no job may need, and is to be refused for good.
	impossible bool
	// orphanBlamed: that it is not cancelled with one before it was told.
	orphanBlamed bool
}

func (j *userJob) save(i int, left time.Duration) {
	if old, ok := j.saved[i]; !ok || left < old {
		j.saved[i] = left
	}
}

func newUserJob(spec core.JobSpec, run time.Duration) *userJob {
	return &userJob{spec: spec, run: run, results: map[int]bool{}, saved: map[int]time.Duration{}, places: map[int][]*Worker{}, began: map[int]time.Time{}, replicas: map[int]*replica{},
		moments: map[moment][]func(){}}
}

// Submit sends a job and keeps trying, then polls until it is over.
func (w *World) Submit(spec core.JobSpec, run time.Duration, broken bool) {
	j := newUserJob(spec, run)
	j.broken = broken
	w.submitJob(j)
}

func (w *World) submitJob(j *userJob) {
	j.submitted = w.now
	w.jobs[j.spec.ID] = j
	w.bindNeeds(j)
	w.trySubmit(j)
}

// userCall sends a request to a random living controller, with a deadline.
func (w *World) userCall(mk func(uint64) core.Command, deadline time.Duration, tell func(*core.UserReply)) {
	w.userCallTo(-1, mk, deadline, tell)
}

// userCallTo is userCall to one controller, unless that is -1.
func (w *World) userCallTo(to int, mk func(uint64) core.Command, deadline time.Duration, tell func(*core.UserReply)) {
	asked := w.now
	fn := func(r *core.UserReply) {
		if r != nil && w.answered != nil {
			w.answered(asked, *r)
		}
		if r != nil && r.Status == 503 {
			w.Refused++
		}
		tell(r)
	}
	p := w.nodes[w.rng.IntN(len(w.nodes))]
	if to >= 0 {
		p = w.nodes[to]
	}
	over := false
	finish := func(r *core.UserReply) {
		if !over {
			over = true
			fn(r)
		}
	}
	w.after(deadline, func() { finish(nil) })
	if !p.node.Healthy(w.now) || !p.alive {
		return
	}
	w.sendMsg("user", p.name, func() {
		p.ask(mk, func(e core.Effect) {
			r := e.(core.UserReply)
			w.sendMsg(p.name, "user", func() { finish(&r) })
		})
	})
}

func (w *World) trySubmit(j *userJob) {
	asked := w.now
	w.userCall(func(r uint64) core.Command { return core.SubmitJob{Reply: r, Spec: j.spec} }, 5*time.Second, func(r *core.UserReply) {
		switch {
		case r != nil && (r.Status == 201 || r.Status == 200):
			if j.impossible {
				w.broke("accepted_wrongly", "%s needs %v", j.spec.ID, j.spec.Dependencies)
			}
			w.hear(j, asked, r)
			w.after(w.jitter(5*time.Second), func() { w.poll(j) })
		case r != nil && (r.Status == 400 || r.Status == 422):
			j.Refused = r.Status
			if j.accepted {
				w.broke("forgotten", "%s answered %d", j.spec.ID, r.Status)
			}
			if j.needsAccepted && !j.impossible {
				w.broke("refused_wrongly", "%s, which needs %v, answered %d: %s", j.spec.ID, j.spec.Dependencies, r.Status, r.Message)
			}
		default:
			w.after(w.jitter(time.Second), func() { w.trySubmit(j) })
		}
	})
}

func (w *World) poll(j *userJob) {
	asked := w.now
	w.userCallTo(w.keepsTo(j), func(r uint64) core.Command { return core.QueryJob{Reply: r, ID: j.spec.ID} }, 2*time.Second, func(r *core.UserReply) {
		if r != nil && (r.Status == 200 || r.Status == 404) {
			w.hear(j, asked, r)
		}
		w.silence(j)
		// Ends are asked for again now and then, for a state that went back.
		pause := w.pollPause(5 * time.Second)
		if j.told == "done" || j.told == "cancelled" {
			pause = 30 * time.Second
			if !w.calm.IsZero() && w.now.After(w.calm) {
				pause = askEnded
			}
		}
		w.after(w.jitter(pause), func() { w.poll(j) })
	})
}

// Abort cancels a job, trying until it is told so.
func (w *World) Abort(id string) {
	j, asked := w.jobs[id], w.now
	j.aborting = true
	w.userCall(func(r uint64) core.Command { return core.CancelJob{Reply: r, ID: id} }, 5*time.Second, func(r *core.UserReply) {
		if r == nil || r.Status != 200 {
			w.after(w.jitter(time.Second), func() { w.Abort(id) })
			return
		}
		w.hear(j, asked, r)
	})
}

// Stranger asks for a job that nobody submitted.
func (w *World) Stranger(id string) {
	w.userCall(func(r uint64) core.Command { return core.QueryJob{Reply: r, ID: id} }, 2*time.Second, func(r *core.UserReply) {
		if r != nil && r.Status == 200 {
			w.broke("invented", "%s", id)
		}
	})
}

// hear checks an answer to a question that was asked at some moment against what was said
// before.
func (w *World) hear(j *userJob, asked time.Time, r *core.UserReply) {
	id := j.spec.ID
	if r.Status == 404 {
		if j.accepted {
			w.broke("forgotten", "%s answered 404", id)
		}
		return
	}
	j.firstDate = j.firstDate || !j.accepted && r.PromiseRevision > 0
	w.silence(j)
	w.checkOrphan(j, r)
	news := !j.accepted || over(r.State) && j.told != r.State
	j.accepted, j.heard = true, w.now
	if r.PromiseRevision > 0 {
		// An answer to an abort may overtake one to a poll.
		if r.PromiseRevision < j.rev && !j.aborting || r.PromiseRevision == j.rev && r.PromisedAfter != j.promised {
			w.broke("older_date", "%s was promised %v as revision %d, then %v as %d", id, j.promised, j.rev, r.PromisedAfter, r.PromiseRevision)
		}
		if r.PromiseRevision >= j.rev {
			j.rev, j.promised = r.PromiseRevision, r.PromisedAfter
		}
	}
	switch {
	case (j.told == "done" || j.told == "cancelled") && r.State != j.told:
		// A question that was asked before the end was told may be answered after it, by
		// another controller: users ask several things at a time.
		if !asked.Before(j.toldAt) {
			w.broke("went_back", "%s was %s, is called %s", id, j.told, r.State)
		}
		return
	case r.State == "done" && len(j.results) < j.spec.Tasks:
		w.broke("not_done", "%s with %d of %d", id, len(j.results), j.spec.Tasks)
	case r.State == "cancelled" && !j.calledOff():
		w.broke("went_back", "%s cancelled by nobody", id)
	}
	if j.told != r.State {
		j.told, j.toldAt = r.State, w.now
		if r.State == "done" || r.State == "cancelled" {
			j.finished = w.now
		}
	}
	if news {
		w.lookClosely(j)
	}
	j.happens()
}

// checkStart judges the start of a task on m.
func (w *World) checkStart(m *Worker, t *workerTask) {
	w.Started++
	j := t.job
	s := &j.spec
	name := taskName(s.ID, t.index)
	if j.began[t.index].IsZero() {
		j.began[t.index] = w.now
	}
	w.replicaUp(t)
	w.checkNeeds(j, name)
	zones := map[string]int{}
	w.onMachines(j, func(i int, o *Worker, x *workerTask) {
		if x == t {
			return
		}
		if x.index == t.index {
			w.broke("ran_twice", "%s on %s and %s", name, m.ID, o.ID)
		}
		zones[o.Zone]++
	}, t.index)
	team := w.team(s.Team)
	if u := w.used[s.Team]; team.QuotaLimit.CPU > 0 && u.CPU > team.QuotaLimit.CPU+1e-6 || team.QuotaLimit.GPU > 0 && u.GPU > team.QuotaLimit.GPU+1e-6 {
		w.broke("quota", "%s uses %v", s.Team, u)
	}
	if len(s.MachineTypes) > 0 && !slices.Contains(s.MachineTypes, m.Flavour) || s.Zone != "" && s.Zone != m.Zone || m.Spot && !s.AllowSpot {
		w.broke("wrong_place", "%s on %s", name, m.ID)
	}
	if s.SameZone && len(zones) > 0 && zones[m.Zone] == 0 {
		w.broke("wrong_place", "%s not with the others", name)
	}
	if s.SpreadZones && zones[m.Zone]+1 > (s.Tasks+1)/2 {
		w.broke("wrong_place", "%s too many in %s", name, m.Zone)
	}
	if !j.cancelled.IsZero() {
		w.StartedCancelled++
		w.near(RuleCancelled, w.cancel-w.now.Sub(j.cancelled), m.ID+" "+name)
	}
	if w.overdue(j) {
		w.broke("ran_cancelled", "%s started", name)
	}
}

// confirmed notes that an answer leaves that says that a job is cancelled.
func (w *World) confirmed(r core.UserReply) {
	j := w.jobs[r.ID]
	if j == nil {
		return
	}
	w.checkOrphan(j, &r)
	if r.Status == 200 && r.State == "cancelled" && j.cancelled.IsZero() {
		j.cancelled = w.now
		w.checkBehind(j)
	}
}

// overdue says that a job's tasks have to be gone by now.
func (w *World) overdue(j *userJob) bool {
	since := j.offSince()
	return !since.IsZero() && w.now.Sub(since) > w.cancel
}

// onMachines calls fn with the tasks of a job that are on machines: those with an
// index, or all where the zones of the others matter.
func (w *World) onMachines(j *userJob, fn func(int, *Worker, *workerTask), index int) {
	look := func(i int) {
		j.places[i] = slices.DeleteFunc(j.places[i], func(m *Worker) bool {
			there := false
			for _, x := range m.tasks {
				if x.job == j && x.index == i {
					there = true
					if x.onMachine() {
						fn(i, m, x)
					}
				}
			}
			return !there
		})
	}
	if !j.spec.SameZone && !j.spec.SpreadZones {
		look(index)
		return
	}
	for i := range j.places {
		look(i)
	}
}

func (w *World) team(name string) core.Team {
	for _, t := range w.set.Teams {
		if t.Name == name {
			return t
		}
	}
	return core.Team{}
}

// checkBody judges the size of an answer to a worker.
func (w *World) checkBody(a core.HeartbeatReply) {
	size := 0
	for _, o := range a.Commands {
		size += len(o.Job) + orderBytes
	}
	if size > bodyMost {
		w.broke("malformed", "an answer to a worker of %d bytes", size)
	}
}

const (
	// bodyMost bounds bodies to workers, and orderBytes is what an order takes as
	// JSON beside its job's name.
	bodyMost   = 64 << 10
	orderBytes = len(`{"verb": "start", "piece": "/100000", "try": 1000, "wind_down_s": 10.0}, `)
)

// checkAll judges cancellations, on all machines that are there: also on those that are
// silent, hang or hear nothing, until their leases end. A task whose image came while its
// machine hung is on it as well.
func (w *World) checkAll() {
	for _, m := range w.fleet {
		for _, t := range m.tasks {
			fetched := t.status == core.Fetching && !t.ready.After(w.now)
			if !t.onMachine() && !fetched || t.blamed {
				continue
			}
			since := t.job.offSince()
			if since.IsZero() {
				continue
			}
			w.near(RuleCancelled, w.cancel-w.now.Sub(since), m.ID+" "+t.job.spec.ID)
			if w.overdue(t.job) {
				t.blamed = true
				w.broke("ran_cancelled", "%s on %s", taskName(t.job.spec.ID, t.index), m.ID)
			}
		}
	}
}

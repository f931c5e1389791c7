package controller

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/micahill/micahill/internal/message"
	"github.com/micahill/micahill/internal/model"
	"github.com/micahill/micahill/internal/pipeline"
	"github.com/micahill/micahill/internal/record"
	"github.com/micahill/micahill/internal/sizelimit"
)

// dependencies.go joins internal/pipeline: jobs that need others. The graph follows the picture
// of open/ and the ends that were read or written; that a job waits or is cancelled with
// one before it is derived from it on every node, and nobody decides it. A task starts only
// when job/ says of all that its job needs that they are done. That can't become untrue, so
// the start needs no condition of its own: no later write, takeover or late transaction
// changes a job's end.

const (
	// criticalPathInterval separates two looks at what the jobs behind others ask of these.
	criticalPathInterval = time.Second
	// maxNamedDependencies bounds the names that are told of what a job waits for.
	maxNamedDependencies = 5
)

// dependencyState is what of a job concerns those that it needs and those that need it.
type dependencyState struct {
	// waits: not all that it needs is known to be done. released is when it was.
	dependenciesPending bool
	releasedAt          time.Time
	// derived: it is cancelled with one that it needs, and job/ may not say so yet.
	cancelDerived bool
	// ownUrgency is the urgency that its record names, and path what the jobs behind it ask.
	ownUrgency   model.Urgency
	criticalPath pipeline.CriticalPath
	// raised: the urgency that it has now is that of a job behind it.
	urgencyRaised bool
}

// readySince is since when nothing but room holds the job up.
func (j *job) readySince() time.Time { return later(j.submittedAt, j.releasedAt) }

// validateDependencies says why a job can't need what it names.
func (f *frontend) validateDependencies(s *model.JobSpec) string {
	if len(s.Dependencies) == 0 {
		return ""
	}
	names := slices.Clone(s.Dependencies)
	slices.Sort(names)
	for i, p := range names {
		if p == s.ID {
			return "prereqs names the job itself"
		}
		if i > 0 && names[i-1] == p {
			return "prereqs names " + p + " twice"
		}
	}
	without := *s
	without.Dependencies = nil
	size, err := sizelimit.JSON(record.Encode(record.NewOpenJob(&without, f.now)))
	freeBytes := f.settings.MaxValueBytes - openRecordReserve - size - dependenciesOverhead
	if encodedSize := len(pipeline.EncodeNames(s.Dependencies)); err == nil && encodedSize > freeBytes {
		return fmt.Sprintf("too many prereqs: the %d names take %d bytes of the job's record, which has room for %d", len(names), encodedSize, max(freeBytes, 0))
	}
	return ""
}

// dependenciesOverhead is what the names take in a record beside themselves.
const dependenciesOverhead = 16

// checkDependenciesAccepted goes on once all names are known to be those of accepted jobs. One that is
// not is refused only after a read that began after the request.
func (ff *frontend) checkDependenciesAccepted(w *userRequest, names []string, proceed func()) {
	pending, unread, missing := 1, false, []string{}
	finish := func() {
		if pending--; pending > 0 {
			return
		}
		switch {
		case len(missing) > 0:
			ff.answerFromRecord(w, 422, "prereqs names a job that was never accepted: "+slices.Min(missing))
		case unread:
			ff.refuseRequest(w, "the state service does not answer")
		default:
			proceed()
		}
	}
	for _, p := range names {
		if ff.controller.frontend.watchCache.cachedJobState(p) != pipeline.Unknown {
			continue
		}
		pending++
		ff.controller.frontend.watchCache.readJobRecord(p, func(f jobLookup) {
			switch {
			case !f.ok:
				unread = true
			case !f.accepted:
				missing = append(missing, p)
			}
			finish()
		})
	}
	finish()
}

// acceptedReply is the answer to a submission that was stored. One that names a cancelled job is
// cancelled from the start.
func (f *frontend) acceptedReply(s *submission) message.UserReply {
	r := message.UserReply{Status: 201, ID: s.spec.ID, State: string(model.Queued)}
	for _, p := range s.spec.Dependencies {
		if f.controller.frontend.watchCache.cachedJobState(p) == pipeline.Cancelled {
			f.cacheFinalStatus(s.spec.ID, model.Cancelled)
			r.State = string(model.Cancelled)
			return r
		}
	}
	return r.WithDate(s.promisedDate())
}

// cachedJobState is what this node knows of a job by itself.
func (w *watchCache) cachedJobState(id string) pipeline.State {
	switch w.controller.frontend.finalStatuses[id] {
	case model.Done:
		return pipeline.Done
	case model.Cancelled:
		return pipeline.Cancelled
	}
	l, open := w.openJobs[id]
	switch {
	case open && l.rec.Cancelled:
		return pipeline.Cancelled
	case open:
		return pipeline.Open
	}
	return pipeline.Unknown
}

// graph is the one of the picture.
func (w *watchCache) graph() *pipeline.Graph {
	if w.dependencyGraph == nil {
		w.dependencyGraph = pipeline.New(w.cachedJobState)
	}
	return w.dependencyGraph
}

// rebuildDependencyGraph makes the graph anew after the picture has been read anew.
func (w *watchCache) rebuildDependencyGraph() {
	w.dependencyGraph = nil
	for _, id := range sortedKeys(w.openJobs) {
		l := w.openJobs[id]
		w.controller.applyDependencyChanges(w.graph().Put(id, l.rec.DependencyNames()))
	}
	if w.controller.shardLeader == nil {
		return
	}
	for _, id := range sortedKeys(w.controller.shardLeader.jobs) {
		w.controller.awaitDependencies(w.controller.shardLeader.jobs[id])
	}
}

// updateDependencyGraph takes in a change of open/.
func (w *watchCache) updateDependencyGraph(it message.KeyValue) {
	id := record.JobIDFromKey(it.Key, record.OpenJobPrefix)
	l, open := w.openJobs[id]
	if open {
		w.controller.applyDependencyChanges(w.graph().Put(id, l.rec.DependencyNames()))
	}
	w.controller.noteDependencyState(id)
	if !open {
		w.controller.readFinalState(id)
		w.graph().Remove(id)
	}
}

// noteDependencyState takes in what is now known of a job.
func (c *Controller) noteDependencyState(id string) {
	c.applyDependencyChanges(c.frontend.watchCache.graph().SetState(id, c.frontend.watchCache.cachedJobState(id)))
}

// applyDependencyChanges carries out what has changed for jobs behind others.
func (n *Controller) applyDependencyChanges(changes []pipeline.Change) {
	for _, c := range changes {
		var j *job
		if n.shardLeader != nil {
			j = n.shardLeader.jobs[c.ID]
		}
		switch {
		case c.Cancelled:
			if n.frontend.finalStatuses[c.ID] == "" {
				n.frontend.cacheFinalStatus(c.ID, model.Cancelled)
			}
			n.cancelDependent(j)
		case j != nil:
			n.shardLeader.dependencies.releaseJob(j)
		}
	}
}

// cancelDependent cancels a job here with one that it needs: nothing of it has ever started,
// since that one is not done. Its end is written as any other; see writeJobEnds.
func (c *Controller) cancelDependent(j *job) {
	if j == nil || j.cancelled || j.hasStarted() {
		return
	}
	j.cancelled, j.cancelDerived = true, true
}

// releaseJob lets a job go when all that it needs is done.
func (d *dependencyTracker) releaseJob(j *job) {
	if !j.dependenciesPending {
		return
	}
	j.dependenciesPending, j.releasedAt = false, d.now
	d.controller.shardLeader.scheduler.requestPlacement()
	d.controller.shardLeader.scheduler.hurryPlacement(j.Workload)
}

// awaitDependencies has a job here wait for what it needs.
func (c *Controller) awaitDependencies(j *job) {
	if len(j.Dependencies) == 0 {
		return
	}
	g := c.frontend.watchCache.graph()
	c.applyDependencyChanges(g.Put(j.ID, j.Dependencies))
	switch {
	case g.IsCancelled(j.ID):
		c.cancelDependent(j)
	case j.hasStarted() || !j.releasedAt.IsZero():
	case g.IsReleased(j.ID):
		j.releasedAt = c.now
	default:
		j.dependenciesPending = true
		for _, p := range g.Unresolved(j.ID, true) {
			c.readFinalState(p)
		}
	}
}

// releaseIfStarted: what has begun under a former owner waits for nothing.
func (j *job) releaseIfStarted() {
	if !j.hasStarted() {
		return
	}
	j.dependenciesPending, j.releasedAt = false, time.Time{}
	for _, g := range j.groups {
		if j.releasedAt.IsZero() || g.startedAt.Before(j.releasedAt) {
			j.releasedAt = g.startedAt
		}
	}
}

// readFinalState reads what became of a job that is open no more, if one here waits for it.
func (c *Controller) readFinalState(id string) {
	if c.frontend.watchCache.cachedJobState(id) != pipeline.Unknown || !c.hasWaitingDependents(id) {
		return
	}
	c.frontend.readStatusRecord(id, func(d message.StoreResponse) {
		if !c.applyFinalState(id, d) {
			c.after(c.jitter(storeRetryDelay), func() { c.readFinalState(id) })
		}
	})
}

// hasWaitingDependents says whether a job here waits for a job.
func (c *Controller) hasWaitingDependents(id string) bool {
	return c.shardLeader != nil && slices.ContainsFunc(c.frontend.watchCache.graph().Dependents(id), func(after string) bool {
		j := c.shardLeader.jobs[after]
		return j != nil && j.dependenciesPending && !j.cancelled
	})
}

// applyFinalState takes in the answer to a read of job/, and says whether there was one. A job
// that is needed was accepted before: one that is neither open nor over shows that a
// record is damaged. What needs it waits until somebody cancels it.
func (c *Controller) applyFinalState(id string, d message.StoreResponse) bool {
	var r record.JobStatus
	switch {
	case c.frontend.watchCache.cachedJobState(id) != pipeline.Unknown:
	case d.Status == message.StoreNotFound:
		c.rejectInput("record", record.OpenJobPrefix+id, "it is needed by others and was never accepted")
		c.applyDependencyChanges(c.frontend.watchCache.graph().SetState(id, pipeline.Missing))
	case d.Status != message.StoreOK || len(d.KeyValues) != 1 || !record.Decode(d.KeyValues[0].Value, &r) || !r.Status.IsFinal():
		return false
	default:
		c.frontend.cacheFinalStatus(id, r.Status)
		c.promises.cacheDoneDate(id, r)
	}
	return true
}

// lookupWithDependencies tells of an open job, which is cancelled if one that it needs is: what is not
// known of these is read first.
func (ff *frontend) lookupWithDependencies(id string, l *openJob, fn func(jobLookup)) {
	unread := ff.controller.frontend.watchCache.graph().Unresolved(id, false)
	if len(unread) > 0 && !l.rec.Cancelled {
		ff.readDependencyStates(id, unread, fn)
		return
	}
	ff.controller.frontend.watchCache.lookupOfOpenJob(id, l, func(f jobLookup) {
		if ff.controller.frontend.watchCache.graph().IsCancelled(id) {
			f.rec.Status = model.Cancelled
		}
		fn(f)
	})
}

// readDependencyStates reads the ends that a job's state rests on, and looks again.
func (f *frontend) readDependencyStates(id string, unread []string, fn func(jobLookup)) {
	left, failed := len(unread), false
	for _, p := range unread {
		f.readStatusRecord(p, func(d message.StoreResponse) {
			failed = !f.controller.applyFinalState(p, d) || failed
			if left--; left > 0 {
				return
			}
			if failed {
				fn(jobLookup{})
				return
			}
			f.controller.frontend.watchCache.readJob(id, fn)
		})
	}
}

// updateCriticalPaths brings up to date what the jobs behind others ask of those here: the highest
// urgency of all that need a job, and when it has to be over for them to be in time.
func (d *dependencyTracker) updateCriticalPaths() {
	o := d.controller.shardLeader
	if d.now.Sub(o.dependencies.pathsScannedAt) < criticalPathInterval || !d.controller.frontend.watchCache.graph().HasDependencies() {
		return
	}
	o.dependencies.pathsScannedAt = d.now
	paths, cycle := d.controller.frontend.watchCache.graph().CriticalPaths(d.controller.criticalPathTask)
	if len(cycle) > 0 {
		d.rejectInput("record", record.OpenJobPrefix+cycle[0], "jobs need each other: "+strings.Join(cycle, ", "))
	}
	for id := range o.dependencies.paths {
		if j := o.jobs[id]; j != nil && paths[id] == (pipeline.CriticalPath{}) {
			d.controller.applyCriticalPath(j, pipeline.CriticalPath{})
		}
	}
	for id, p := range paths {
		if j := o.jobs[id]; j != nil {
			d.controller.applyCriticalPath(j, p)
		}
	}
	o.dependencies.paths = paths
}

// applyCriticalPath gives a job what those behind it ask.
func (c *Controller) applyCriticalPath(j *job, p pipeline.CriticalPath) {
	j.criticalPath = p
	if !j.urgencyRaised {
		j.ownUrgency = j.Urgency
	}
	if u := max(j.ownUrgency, model.Urgency(p.Urgency)); u != j.Urgency {
		j.Urgency, j.rankingVersion = u, -1
	}
	j.urgencyRaised = j.Urgency != j.ownUrgency
}

// criticalPathTask is an open job as the paths see it.
func (c *Controller) criticalPathTask(id string) (pipeline.Task, bool) {
	l, open := c.frontend.watchCache.openJobs[id]
	if !open || l.rec.Cancelled {
		return pipeline.Task{}, false
	}
	t := pipeline.Task{Urgency: l.rec.Urgency, RunTime: record.DurationOfSeconds(l.rec.ExpectedSeconds)}
	if l.rec.DeadlineSeconds > 0 {
		t.Due = time.UnixMilli(l.rec.SubmittedAtMillis).Add(record.DurationOfSeconds(l.rec.DeadlineSeconds))
	}
	if e := c.knowledge.estimators[l.rec.Workload]; e != nil {
		t.RunTime = time.Duration(float64(t.RunTime) * e.ratio)
	}
	return t, true
}

// describeDependencies names some of what a job waits for, with how many it is.
func (c *Controller) describeDependencies(id string) string {
	names := c.frontend.watchCache.graph().PendingDependencies(id)
	text := strings.Join(names[:min(len(names), maxNamedDependencies)], ", ")
	if len(names) > maxNamedDependencies {
		text += fmt.Sprintf(" and %d others", len(names)-maxNamedDependencies)
	}
	return text
}

// maxBlockingJobs bounds the jobs in a status that others wait for.
const maxBlockingJobs = 10

// blockingJobs counts the jobs here that wait for others, and tells for which most of them
// do, themselves not waiting.
func (d *dependencyTracker) blockingJobs() (waiting int, blocking []message.BlockingJobStatus) {
	count := map[string]int{}
	for id, j := range d.controller.shardLeader.jobs {
		if !j.dependenciesPending || j.cancelled {
			continue
		}
		waiting++
		for _, p := range d.controller.frontend.watchCache.graph().PendingDependencies(id) {
			if d.controller.frontend.watchCache.graph().IsReleased(p) {
				count[p]++
			}
		}
	}
	for _, p := range sortedKeys(count) {
		h := message.BlockingJobStatus{Job: p, Dependents: count[p], State: "unknown"}
		if _, open := d.controller.frontend.watchCache.openJobs[p]; open {
			h.State = d.controller.frontend.replyWithStatus(p, model.Queued).State
		}
		blocking = append(blocking, h)
	}
	slices.SortStableFunc(blocking, func(a, b message.BlockingJobStatus) int { return cmp.Compare(b.Dependents, a.Dependents) })
	return waiting, blocking[:min(len(blocking), maxBlockingJobs)]
}

// dependencyTracker TODO.
type dependencyTracker struct {
	component

	// pathsScannedAt is when the paths of pipelines were last looked at.
	pathsScannedAt time.Time
	paths          map[string]pipeline.CriticalPath
}

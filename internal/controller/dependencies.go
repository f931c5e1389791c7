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

// dependencies.go applies internal/pipeline to jobs that depend on others. The graph follows the
// watch cache and the ends of jobs that were read or written. That a job waits, or is cancelled
// with a dependency, is derived from the graph by every controller; nobody decides it. A task
// starts only when all dependencies of its job are durably done. That can't become untrue, so
// the start needs no compare of its own: no later write, takeover or late transaction changes
// the end of a job.

const (
	// criticalPathInterval separates two computations of the critical paths.
	criticalPathInterval = time.Second
	// maxNamedDependencies bounds the names of a job's dependencies in a text.
	maxNamedDependencies = 5
	// dependenciesOverhead is the size of the names in a record beside themselves, in bytes.
	dependenciesOverhead = 16
	// maxBlockingJobs bounds the jobs in a status that others wait for.
	maxBlockingJobs = 10
)

// dependencyTracker looks after the jobs of a shard leader that depend on others or that others
// depend on. It is part of a shardLeader and its methods are called only while that one leads.
// Nothing of it is stored: a successor derives it from the graph in the watch cache.
type dependencyTracker struct {
	component

	// paths are the critical paths of jobs, by job, as of pathsScannedAt.
	pathsScannedAt time.Time
	paths          map[string]pipeline.CriticalPath
}

// dependencyState is what a job keeps of its dependencies and dependents.
type dependencyState struct {
	// dependenciesPending: some dependency is not known to be done. releasedAt is when the
	// last one was.
	dependenciesPending bool
	releasedAt          time.Time
	// cancelDerived: the job is cancelled with a dependency, and its status record may not
	// say so yet.
	cancelDerived bool
	// ownUrgency is the urgency in its record; criticalPath is what its dependents require.
	ownUrgency   model.Urgency
	criticalPath pipeline.CriticalPath
	// urgencyRaised: its present urgency is that of a dependent.
	urgencyRaised bool
}

// readySince is since when the job waits for nothing but free capacity.
func (j *job) readySince() time.Time { return later(j.submittedAt, j.releasedAt) }

// validateDependencies says why a job can't have the dependencies that it names, or nothing.
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

// checkDependenciesAccepted calls proceed once all names are known to be those of accepted jobs.
// A job with another name is refused only after a read that began after the request.
func (f *frontend) checkDependenciesAccepted(request *userRequest, names []string, proceed func()) {
	pending, unread, missing := 1, false, []string{}
	finish := func() {
		if pending--; pending > 0 {
			return
		}
		switch {
		case len(missing) > 0:
			f.answerFromRecord(request, 422, "prereqs names a job that was never accepted: "+slices.Min(missing))
		case unread:
			f.refuseRequest(request, "the state service does not answer")
		default:
			proceed()
		}
	}
	for _, p := range names {
		if f.watchCache.cachedJobState(p) != pipeline.Unknown {
			continue
		}
		pending++
		f.watchCache.readJobRecord(p, func(lookup jobLookup) {
			switch {
			case !lookup.ok:
				unread = true
			case !lookup.accepted:
				missing = append(missing, p)
			}
			finish()
		})
	}
	finish()
}

// acceptedReply is the answer to a submission that was stored. A job with a cancelled dependency
// is cancelled from the start.
func (f *frontend) acceptedReply(s *submission) message.UserReply {
	r := message.UserReply{Status: 201, ID: s.spec.ID, State: string(model.Queued)}
	for _, p := range s.spec.Dependencies {
		if f.watchCache.cachedJobState(p) == pipeline.Cancelled {
			f.cacheFinalStatus(s.spec.ID, model.Cancelled)
			r.State = string(model.Cancelled)
			return r
		}
	}
	return r.WithDate(s.promisedDate())
}

// cachedJobState is what this controller knows of a job without a read.
func (w *watchCache) cachedJobState(id string) pipeline.State {
	switch w.controller.frontend.finalStatuses[id] {
	case model.Done:
		return pipeline.Done
	case model.Cancelled:
		return pipeline.Cancelled
	}
	cached, open := w.openJobs[id]
	switch {
	case open && cached.rec.Cancelled:
		return pipeline.Cancelled
	case open:
		return pipeline.Open
	}
	return pipeline.Unknown
}

// graph is the graph of the open jobs that depend on others.
func (w *watchCache) graph() *pipeline.Graph {
	if w.dependencyGraph == nil {
		w.dependencyGraph = pipeline.New(w.cachedJobState)
	}
	return w.dependencyGraph
}

// rebuildDependencyGraph makes the graph anew after the cache was loaded.
func (w *watchCache) rebuildDependencyGraph() {
	w.dependencyGraph = nil
	for _, id := range sortedKeys(w.openJobs) {
		cached := w.openJobs[id]
		w.controller.applyDependencyChanges(w.graph().Put(id, cached.rec.DependencyNames()))
	}
	if w.controller.shardLeader == nil {
		return
	}
	for _, id := range sortedKeys(w.controller.shardLeader.jobs) {
		w.controller.awaitDependencies(w.controller.shardLeader.jobs[id])
	}
}

// updateDependencyGraph applies a change of an open record to the graph.
func (w *watchCache) updateDependencyGraph(kv message.KeyValue) {
	id := record.JobIDFromKey(kv.Key, record.OpenJobPrefix)
	cached, open := w.openJobs[id]
	if open {
		w.controller.applyDependencyChanges(w.graph().Put(id, cached.rec.DependencyNames()))
	}
	w.controller.noteDependencyState(id)
	if !open {
		w.controller.readFinalState(id)
		w.graph().Remove(id)
	}
}

// noteDependencyState applies to the graph what is now known of a job.
func (c *Controller) noteDependencyState(id string) {
	c.applyDependencyChanges(c.frontend.watchCache.graph().SetState(id, c.frontend.watchCache.cachedJobState(id)))
}

// applyDependencyChanges carries out what a change of the graph means for dependent jobs.
func (c *Controller) applyDependencyChanges(changes []pipeline.Change) {
	for _, change := range changes {
		var j *job
		if c.shardLeader != nil {
			j = c.shardLeader.jobs[change.ID]
		}
		switch {
		case change.Cancelled:
			if c.frontend.finalStatuses[change.ID] == "" {
				c.frontend.cacheFinalStatus(change.ID, model.Cancelled)
			}
			j.cancelWithDependency()
		case j != nil:
			c.shardLeader.dependencies.releaseJob(j)
		}
	}
}

// cancelWithDependency cancels a job with one of its dependencies. None of its tasks has ever
// started, since that dependency is not done. Its end is written as any other; see
// writeJobEnds. j may be nil.
func (j *job) cancelWithDependency() {
	if j == nil || j.cancelled || j.hasStarted() {
		return
	}
	j.cancelled, j.cancelDerived = true, true
}

// releaseJob lets a job be placed when all its dependencies are done.
func (d *dependencyTracker) releaseJob(j *job) {
	if !j.dependenciesPending {
		return
	}
	j.dependenciesPending, j.releasedAt = false, d.now
	d.controller.shardLeader.scheduler.requestPlacement()
	d.controller.shardLeader.scheduler.hurryPlacement(j.Workload)
}

// awaitDependencies adds a job of this shard leader to the graph and has it wait for its
// dependencies.
func (c *Controller) awaitDependencies(j *job) {
	if len(j.Dependencies) == 0 {
		return
	}
	g := c.frontend.watchCache.graph()
	c.applyDependencyChanges(g.Put(j.ID, j.Dependencies))
	switch {
	case g.IsCancelled(j.ID):
		j.cancelWithDependency()
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

// releaseIfStarted releases a job that has started under a former shard leader.
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

// readFinalState reads the end of a job that is no longer open, if a job here waits for it.
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

// hasWaitingDependents says whether a job of this shard leader waits for a job.
func (c *Controller) hasWaitingDependents(id string) bool {
	return c.shardLeader != nil && slices.ContainsFunc(c.frontend.watchCache.graph().Dependents(id), func(after string) bool {
		j := c.shardLeader.jobs[after]
		return j != nil && j.dependenciesPending && !j.cancelled
	})
}

// applyFinalState takes in the answer to a read of a job's status record, and says whether there
// was one. A dependency was accepted before its dependents: one that is neither open nor over
// shows that a record is damaged. Its dependents wait until somebody cancels them.
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

// lookupWithDependencies is what the store has of an open job, which counts as cancelled if a
// dependency is: what is not known of these is read first.
func (f *frontend) lookupWithDependencies(id string, cached *openJob, fn func(jobLookup)) {
	unread := f.watchCache.graph().Unresolved(id, false)
	if len(unread) > 0 && !cached.rec.Cancelled {
		f.readDependencyStates(id, unread, fn)
		return
	}
	f.watchCache.lookupOfOpenJob(id, cached, func(lookup jobLookup) {
		if f.watchCache.graph().IsCancelled(id) {
			lookup.rec.Status = model.Cancelled
		}
		fn(lookup)
	})
}

// readDependencyStates reads the ends of unread, on which a job's state rests, and then the job
// again.
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
			f.watchCache.readJob(id, fn)
		})
	}
}

// updateCriticalPaths computes what dependents require of the jobs here: the highest urgency of
// all that depend on a job, and when it has to be over for them to be in time.
func (d *dependencyTracker) updateCriticalPaths() {
	s := d.controller.shardLeader
	if d.now.Sub(d.pathsScannedAt) < criticalPathInterval || !d.controller.frontend.watchCache.graph().HasDependencies() {
		return
	}
	d.pathsScannedAt = d.now
	paths, cycle := d.controller.frontend.watchCache.graph().CriticalPaths(d.controller.criticalPathTask)
	if len(cycle) > 0 {
		d.rejectInput("record", record.OpenJobPrefix+cycle[0], "jobs need each other: "+strings.Join(cycle, ", "))
	}
	for id := range d.paths {
		if j := s.jobs[id]; j != nil && paths[id] == (pipeline.CriticalPath{}) {
			j.setCriticalPath(pipeline.CriticalPath{})
		}
	}
	for id, p := range paths {
		if j := s.jobs[id]; j != nil {
			j.setCriticalPath(p)
		}
	}
	d.paths = paths
}

// setCriticalPath gives a job what its dependents require.
func (j *job) setCriticalPath(p pipeline.CriticalPath) {
	j.criticalPath = p
	if !j.urgencyRaised {
		j.ownUrgency = j.Urgency
	}
	if u := max(j.ownUrgency, model.Urgency(p.Urgency)); u != j.Urgency {
		j.Urgency, j.rankingVersion = u, -1
	}
	j.urgencyRaised = j.Urgency != j.ownUrgency
}

// criticalPathTask is an open job as a step of a critical path.
func (c *Controller) criticalPathTask(id string) (pipeline.Task, bool) {
	cached, open := c.frontend.watchCache.openJobs[id]
	if !open || cached.rec.Cancelled {
		return pipeline.Task{}, false
	}
	t := pipeline.Task{Urgency: cached.rec.Urgency, RunTime: record.DurationOfSeconds(cached.rec.ExpectedSeconds)}
	if cached.rec.DeadlineSeconds > 0 {
		t.Due = time.UnixMilli(cached.rec.SubmittedAtMillis).Add(record.DurationOfSeconds(cached.rec.DeadlineSeconds))
	}
	if e := c.knowledge.estimators[cached.rec.Workload]; e != nil {
		t.RunTime = time.Duration(float64(t.RunTime) * e.ratio)
	}
	return t, true
}

// describeDependencies names the jobs that a job waits for, and how many more there are.
func (c *Controller) describeDependencies(id string) string {
	names := c.frontend.watchCache.graph().PendingDependencies(id)
	text := strings.Join(names[:min(len(names), maxNamedDependencies)], ", ")
	if len(names) > maxNamedDependencies {
		text += fmt.Sprintf(" and %d others", len(names)-maxNamedDependencies)
	}
	return text
}

// blockingJobs counts the jobs here that wait for others, and lists the ones that most of them
// wait for and that wait for none themselves.
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
		status := message.BlockingJobStatus{Job: p, Dependents: count[p], State: "unknown"}
		if _, open := d.controller.frontend.watchCache.openJobs[p]; open {
			status.State = d.controller.frontend.replyWithStatus(p, model.Queued).State
		}
		blocking = append(blocking, status)
	}
	slices.SortStableFunc(blocking, func(a, b message.BlockingJobStatus) int { return cmp.Compare(b.Dependents, a.Dependents) })
	return waiting, blocking[:min(len(blocking), maxBlockingJobs)]
}

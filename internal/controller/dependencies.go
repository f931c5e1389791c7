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

// dependencies.go applies internal/pipeline to jobs that depend on other jobs. The graph is updated
// from the watch cache and from the ends of jobs that this controller has read or written. Every
// controller derives from the graph whether a job waits, or is cancelled because a dependency is;
// no controller decides it for the others. A task starts only when all dependencies of its job are
// durably done. No later write, takeover or late transaction changes the end of a job, so the
// transaction of the start needs no compare for the dependencies.

const (
	// criticalPathInterval is the least time between two computations of the critical paths.
	criticalPathInterval = time.Second
	// maxNamedDependencies bounds how many of a job's dependencies a text names.
	maxNamedDependencies = 5
	// dependenciesOverhead is the size in bytes that the dependencies take in a record in
	// addition to their encoded names.
	dependenciesOverhead = 16
	// maxBlockingJobs bounds the jobs that a status lists as blocking other jobs.
	maxBlockingJobs = 10
)

// dependencyTracker tracks the jobs of a shard leader that depend on other jobs or that other jobs
// depend on. It is part of a shardLeader, and its methods are called only while that shardLeader
// leads. None of its state is stored: the next shard leader derives it from the graph in the watch
// cache.
type dependencyTracker struct {
	component

	// paths holds the critical paths by job, as of pathsScannedAt.
	pathsScannedAt time.Time
	paths          map[string]pipeline.CriticalPath
}

// dependencyState is the part of a job that concerns its dependencies and dependents.
type dependencyState struct {
	// dependenciesPending says that at least one dependency is not known to be done. releasedAt
	// is when the last of them became known to be done.
	dependenciesPending bool
	releasedAt          time.Time
	// cancelDerived says that the job is cancelled because a dependency is, and that its status
	// record may not be written yet.
	cancelDerived bool
	// ownUrgency is the urgency in the job's record. criticalPath is what the job's dependents
	// require.
	ownUrgency   model.Urgency
	criticalPath pipeline.CriticalPath
	// urgencyRaised says that the job has the higher urgency of a dependent.
	urgencyRaised bool
}

// readySince returns the time since which the job has waited for nothing but free capacity.
func (job *job) readySince() time.Time { return later(job.submittedAt, job.releasedAt) }

// validateDependencies returns why the job cannot have the dependencies in its spec, or "" if it
// can.
func (frontend *frontend) validateDependencies(spec *model.JobSpec) string {
	if len(spec.Dependencies) == 0 {
		return ""
	}
	names := slices.Clone(spec.Dependencies)
	slices.Sort(names)
	for i, name := range names {
		if name == spec.ID {
			return "prereqs names the job itself"
		}
		if i > 0 && names[i-1] == name {
			return "prereqs names " + name + " twice"
		}
	}
	without := *spec
	without.Dependencies = nil
	size, err := sizelimit.JSONSize(record.Encode(record.NewOpenJob(&without, frontend.now)))
	freeBytes := frontend.settings.MaxValueBytes - openRecordReserve - size - dependenciesOverhead
	if encodedSize := len(pipeline.EncodeNames(spec.Dependencies)); err == nil && encodedSize > freeBytes {
		return fmt.Sprintf("too many prereqs: the %d names take %d bytes of the job's record, which has %d bytes left", len(names), encodedSize, max(freeBytes, 0))
	}
	return ""
}

// checkDependenciesAccepted calls proceed once all named jobs are known to have been accepted.
// It refuses the request if one of them was never accepted, but only after a read that began
// after the request.
func (frontend *frontend) checkDependenciesAccepted(request *userRequest, names []string, proceed func()) {
	pending, unread, missing := 1, false, []string{}
	finish := func() {
		if pending--; pending > 0 {
			return
		}
		switch {
		case len(missing) > 0:
			frontend.answerFromRecord(request, 422, "prereqs names a job that was never accepted: "+slices.Min(missing))
		case unread:
			frontend.refuseRequest(request, "the state service does not answer")
		default:
			proceed()
		}
	}
	for _, name := range names {
		if frontend.watchCache.cachedJobState(name) != pipeline.Unknown {
			continue
		}
		pending++
		frontend.watchCache.readJobRecord(name, func(lookup jobLookup) {
			switch {
			case !lookup.ok:
				unread = true
			case !lookup.accepted:
				missing = append(missing, name)
			}
			finish()
		})
	}
	finish()
}

// acceptedReply returns the answer to a submission that was stored. A job with a cancelled
// dependency is cancelled from the start.
func (frontend *frontend) acceptedReply(submission *submission) message.UserReply {
	reply := message.UserReply{Status: 201, ID: submission.spec.ID, State: string(model.Queued)}
	for _, name := range submission.spec.Dependencies {
		if frontend.watchCache.cachedJobState(name) == pipeline.Cancelled {
			frontend.cacheFinalStatus(submission.spec.ID, model.Cancelled)
			reply.State = string(model.Cancelled)
			return reply
		}
	}
	return reply.WithDate(submission.promisedDate())
}

// cachedJobState returns what this controller knows of a job without a read.
func (cache *watchCache) cachedJobState(id string) pipeline.State {
	switch cache.controller.frontend.finalStatuses[id] {
	case model.Done:
		return pipeline.Done
	case model.Cancelled:
		return pipeline.Cancelled
	}
	cached, open := cache.openJobs[id]
	switch {
	case open && cached.rec.Cancelled:
		return pipeline.Cancelled
	case open:
		return pipeline.Open
	}
	return pipeline.Unknown
}

// graph returns the graph of the open jobs that depend on other jobs.
func (cache *watchCache) graph() *pipeline.Graph {
	if cache.dependencyGraph == nil {
		cache.dependencyGraph = pipeline.New(cache.cachedJobState)
	}
	return cache.dependencyGraph
}

// rebuildDependencyGraph builds the graph from scratch after the cache was loaded.
func (cache *watchCache) rebuildDependencyGraph() {
	cache.dependencyGraph = nil
	for _, id := range sortedKeys(cache.openJobs) {
		cached := cache.openJobs[id]
		cache.controller.applyDependencyChanges(cache.graph().Put(id, cached.rec.DependencyNames()))
	}
	if cache.controller.shardLeader == nil {
		return
	}
	for _, id := range sortedKeys(cache.controller.shardLeader.jobs) {
		cache.controller.awaitDependencies(cache.controller.shardLeader.jobs[id])
	}
}

// updateDependencyGraph applies a changed open record to the graph.
func (cache *watchCache) updateDependencyGraph(kv message.KeyValue) {
	id := record.JobIDFromKey(kv.Key, record.OpenJobPrefix)
	cached, open := cache.openJobs[id]
	if open {
		cache.controller.applyDependencyChanges(cache.graph().Put(id, cached.rec.DependencyNames()))
	}
	cache.controller.noteDependencyState(id)
	if !open {
		cache.controller.readFinalState(id)
		cache.graph().Remove(id)
	}
}

// noteDependencyState updates the graph with the state that this controller knows of a job.
func (controller *Controller) noteDependencyState(id string) {
	controller.applyDependencyChanges(controller.frontend.watchCache.graph().SetState(id, controller.frontend.watchCache.cachedJobState(id)))
}

// applyDependencyChanges cancels or releases the jobs that changes of the graph affect.
func (controller *Controller) applyDependencyChanges(changes []pipeline.Change) {
	for _, change := range changes {
		var job *job
		if controller.shardLeader != nil {
			job = controller.shardLeader.jobs[change.ID]
		}
		switch {
		case change.Cancelled:
			if controller.frontend.finalStatuses[change.ID] == "" {
				controller.frontend.cacheFinalStatus(change.ID, model.Cancelled)
			}
			job.cancelWithDependency()
		case job != nil:
			controller.shardLeader.dependencies.releaseJob(job)
		}
	}
}

// cancelWithDependency cancels a job because one of its dependencies is cancelled. None of the
// job's tasks has ever started, since that dependency is not done. The job's end is written like
// any other; see writeJobEnds. job may be nil.
func (job *job) cancelWithDependency() {
	if job == nil || job.cancelled || job.hasStarted() {
		return
	}
	job.cancelled, job.cancelDerived = true, true
}

// releaseJob allows a job to be placed because all its dependencies are done.
func (dependencies *dependencyTracker) releaseJob(job *job) {
	if !job.dependenciesPending {
		return
	}
	job.dependenciesPending, job.releasedAt = false, dependencies.now
	dependencies.controller.shardLeader.scheduler.requestPlacement()
	dependencies.controller.shardLeader.scheduler.expeditePlacement(job.Workload)
}

// awaitDependencies adds a job of this shard leader to the graph and makes it wait for its
// dependencies.
func (controller *Controller) awaitDependencies(job *job) {
	if len(job.Dependencies) == 0 {
		return
	}
	graph := controller.frontend.watchCache.graph()
	controller.applyDependencyChanges(graph.Put(job.ID, job.Dependencies))
	switch {
	case graph.IsCancelled(job.ID):
		job.cancelWithDependency()
	case job.hasStarted() || !job.releasedAt.IsZero():
	case graph.IsReleased(job.ID):
		job.releasedAt = controller.now
	default:
		job.dependenciesPending = true
		for _, dependency := range graph.Unresolved(job.ID, true) {
			controller.readFinalState(dependency)
		}
	}
}

// releaseIfStarted marks a job as released if it has started under a former shard leader. Its
// earliest start counts as the time of the release.
func (job *job) releaseIfStarted() {
	if !job.hasStarted() {
		return
	}
	job.dependenciesPending, job.releasedAt = false, time.Time{}
	for _, group := range job.groups {
		if job.releasedAt.IsZero() || group.startedAt.Before(job.releasedAt) {
			job.releasedAt = group.startedAt
		}
	}
}

// readFinalState reads the status record of a job that is no longer open, if a job of this shard
// leader waits for it.
func (controller *Controller) readFinalState(id string) {
	if controller.frontend.watchCache.cachedJobState(id) != pipeline.Unknown || !controller.hasWaitingDependents(id) {
		return
	}
	controller.frontend.readStatusRecord(id, func(response message.StoreResponse) {
		if !controller.applyFinalState(id, response) {
			controller.after(controller.jitter(storeRetryDelay), func() { controller.readFinalState(id) })
		}
	})
}

// hasWaitingDependents reports whether a job of this shard leader waits for the job id.
func (controller *Controller) hasWaitingDependents(id string) bool {
	return controller.shardLeader != nil && slices.ContainsFunc(controller.frontend.watchCache.graph().Dependents(id), func(dependent string) bool {
		job := controller.shardLeader.jobs[dependent]
		return job != nil && job.dependenciesPending && !job.cancelled
	})
}

// applyFinalState applies the answer to a read of a job's status record. It returns false if the
// read has to be repeated. A dependency was accepted before its dependents, so a dependency that
// is neither open nor over shows that a record is damaged. Its dependents wait until a user
// cancels them.
func (controller *Controller) applyFinalState(id string, response message.StoreResponse) bool {
	var rec record.JobStatus
	switch {
	case controller.frontend.watchCache.cachedJobState(id) != pipeline.Unknown:
	case response.Status == message.StoreNotFound:
		controller.rejectInput("record", record.OpenJobPrefix+id, "other jobs depend on it, but it was never accepted")
		controller.applyDependencyChanges(controller.frontend.watchCache.graph().SetState(id, pipeline.Missing))
	case response.Status != message.StoreOK || len(response.KeyValues) != 1 || !record.Decode(response.KeyValues[0].Value, &rec) || !rec.Status.IsFinal():
		return false
	default:
		controller.frontend.cacheFinalStatus(id, rec.Status)
		controller.promises.cacheDoneDate(id, rec)
	}
	return true
}

// lookupWithDependencies calls fn with what the store contains of an open job. The job counts as
// cancelled if a dependency is, so dependencies in an unknown state are read first.
func (frontend *frontend) lookupWithDependencies(id string, cached *openJob, fn func(jobLookup)) {
	unread := frontend.watchCache.graph().Unresolved(id, false)
	if len(unread) > 0 && !cached.rec.Cancelled {
		frontend.readDependencyStates(id, unread, fn)
		return
	}
	frontend.watchCache.lookupOfOpenJob(id, cached, func(lookup jobLookup) {
		if frontend.watchCache.graph().IsCancelled(id) {
			lookup.rec.Status = model.Cancelled
		}
		fn(lookup)
	})
}

// readDependencyStates reads the status records of the jobs in unread, on which the state of job
// id rests, and then reads job id again.
func (frontend *frontend) readDependencyStates(id string, unread []string, fn func(jobLookup)) {
	remaining, failed := len(unread), false
	for _, name := range unread {
		frontend.readStatusRecord(name, func(response message.StoreResponse) {
			failed = !frontend.controller.applyFinalState(name, response) || failed
			if remaining--; remaining > 0 {
				return
			}
			if failed {
				fn(jobLookup{})
				return
			}
			frontend.watchCache.readJob(id, fn)
		})
	}
}

// updateCriticalPaths computes what dependents require of this shard leader's jobs: the highest
// urgency of all jobs that depend on a job, and when the job has to end for its dependents to be
// in time.
func (dependencies *dependencyTracker) updateCriticalPaths() {
	shardLeader := dependencies.controller.shardLeader
	if dependencies.now.Sub(dependencies.pathsScannedAt) < criticalPathInterval || !dependencies.controller.frontend.watchCache.graph().HasDependencies() {
		return
	}
	dependencies.pathsScannedAt = dependencies.now
	paths, cycle := dependencies.controller.frontend.watchCache.graph().CriticalPaths(dependencies.controller.criticalPathTask)
	if len(cycle) > 0 {
		dependencies.rejectInput("record", record.OpenJobPrefix+cycle[0], "jobs depend on each other: "+strings.Join(cycle, ", "))
	}
	for id := range dependencies.paths {
		if job := shardLeader.jobs[id]; job != nil && paths[id] == (pipeline.CriticalPath{}) {
			job.setCriticalPath(pipeline.CriticalPath{})
		}
	}
	for id, path := range paths {
		if job := shardLeader.jobs[id]; job != nil {
			job.setCriticalPath(path)
		}
	}
	dependencies.paths = paths
}

// setCriticalPath sets what the job's dependents require, and raises the job's urgency to
// theirs.
func (job *job) setCriticalPath(path pipeline.CriticalPath) {
	job.criticalPath = path
	if !job.urgencyRaised {
		job.ownUrgency = job.Urgency
	}
	if urgency := max(job.ownUrgency, model.Urgency(path.Urgency)); urgency != job.Urgency {
		job.Urgency, job.rankingVersion = urgency, -1
	}
	job.urgencyRaised = job.Urgency != job.ownUrgency
}

// criticalPathTask returns an open job as a step of a critical path. It returns false if the job
// is not open or is cancelled.
func (controller *Controller) criticalPathTask(id string) (pipeline.Task, bool) {
	cached, open := controller.frontend.watchCache.openJobs[id]
	if !open || cached.rec.Cancelled {
		return pipeline.Task{}, false
	}
	task := pipeline.Task{Urgency: cached.rec.Urgency, RunTime: record.DurationOfSeconds(cached.rec.ExpectedSeconds)}
	if cached.rec.DeadlineSeconds > 0 {
		task.Due = time.UnixMilli(cached.rec.SubmittedAtMillis).Add(record.DurationOfSeconds(cached.rec.DeadlineSeconds))
	}
	if estimator := controller.knowledge.estimators[cached.rec.Workload]; estimator != nil {
		task.RunTime = time.Duration(float64(task.RunTime) * estimator.ratio)
	}
	return task, true
}

// describeDependencies names up to maxNamedDependencies of the jobs that a job waits for, and
// says how many more there are.
func (controller *Controller) describeDependencies(id string) string {
	names := controller.frontend.watchCache.graph().PendingDependencies(id)
	text := strings.Join(names[:min(len(names), maxNamedDependencies)], ", ")
	if len(names) > maxNamedDependencies {
		text += fmt.Sprintf(" and %d others", len(names)-maxNamedDependencies)
	}
	return text
}

// blockingJobs counts this shard leader's jobs that wait for other jobs. It also lists up to
// maxBlockingJobs of the jobs that they wait for, those with the most waiting dependents first;
// jobs that wait for a dependency themselves are left out.
func (dependencies *dependencyTracker) blockingJobs() (waiting int, blocking []message.BlockingJobStatus) {
	count := map[string]int{}
	for id, job := range dependencies.controller.shardLeader.jobs {
		if !job.dependenciesPending || job.cancelled {
			continue
		}
		waiting++
		for _, dependency := range dependencies.controller.frontend.watchCache.graph().PendingDependencies(id) {
			if dependencies.controller.frontend.watchCache.graph().IsReleased(dependency) {
				count[dependency]++
			}
		}
	}
	for _, dependency := range sortedKeys(count) {
		status := message.BlockingJobStatus{Job: dependency, Dependents: count[dependency], State: "unknown"}
		if _, open := dependencies.controller.frontend.watchCache.openJobs[dependency]; open {
			status.State = dependencies.controller.frontend.replyWithStatus(dependency, model.Queued).State
		}
		blocking = append(blocking, status)
	}
	slices.SortStableFunc(blocking, func(a, b message.BlockingJobStatus) int { return cmp.Compare(b.Dependents, a.Dependents) })
	return waiting, blocking[:min(len(blocking), maxBlockingJobs)]
}

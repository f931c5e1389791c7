package controller

import (
	"time"

	"github.com/micahill/micahill/internal/model"
	"github.com/micahill/micahill/internal/promise"
	"github.com/micahill/micahill/internal/record"
)

// promises.go decides when the shard leader sets and revises promised completion dates, and which
// date a controller may report. The calculation of dates is in internal/promise.
//
// A job's first date is stored either in its record in open/, written by the controller that
// accepts the job, or in a page. Later dates are stored in pages, which only the team's shard
// leader writes: each write compares the mod revisions of its shard and of the page. Pages are
// under open/ too, so the read on which a reply is based returns the job and its newest date as of
// the same revision.

const (
	// pageMarker begins the keys of pages after open/. No job ID begins with it.
	pageMarker = "~"
	// pagePrefix begins the keys of all pages.
	pagePrefix = record.OpenJobPrefix + pageMarker
	// maxTeamKeyLen is the longest team name, in bytes, that a key contains as it is. Longer names
	// are hashed.
	maxTeamKeyLen = 100
	// dateCheckInterval is how often a shard leader checks the dates of its jobs. Each check writes
	// at most one page, with all dates of that page that are not yet durable.
	dateCheckInterval = 2 * time.Second
	// quoteStoreInterval, times the number of controllers, is the time between two writes of quotes
	// by one controller. Each write has the quotes of one team.
	quoteStoreInterval = 30 * time.Second
	// recentCauseWindow is how long an outage, a takeover or a ranking change counts as the reason
	// of a delay.
	recentCauseWindow = 5 * time.Minute
	// overrunFraction is the least share of its expected run time that a running task is assumed to
	// need still, also when it has run for longer than expected.
	overrunFraction = 0.25
)

// promiseState holds the data from which dates are quoted and the totals of dates kept and broken.
// The dates of open jobs are in dateState, and the pages of a shard leader in shardLeaderDates.
//
// Its methods may be called at any time from within Step. Exceptions are tick and the methods that
// take a job, which require that this controller leads the job's shard, and the methods that write
// totals, which require that it is the leader (isStillLeader). All methods do nothing unless
// enabled reports true.
//
// Invariants: a date is reported only once it is durable; a later date of a job is never reported
// before an earlier one; the end record of a job has the newest date that was decided; each end is
// counted once.
//
// At failover the team's next shard leader reads the pages (recoverPages) and continues with the
// quotes that were last published or stored; the next leader continues from the stored totals.
type promiseState struct {
	component

	// quotes has each team's Quoter: for a team that this controller leads, the one that it
	// updates; for any other team, what the team's shard leader last published or stored.
	quotes map[string]*promise.Quoter
	// lastOutage is when this controller last found the store unreachable, and rankingChangedAt
	// when the ranking last changed. Both can be the reason of a delay.
	lastOutage, rankingChangedAt time.Time

	// totals is the leader's count of dates kept and broken.
	totals totalsTracker

	// fetchSecondsPerGB is how many seconds a machine of the average type takes to fetch 1 GB of an image. It
	// was computed when ratedTypeCount machine types were known.
	fetchSecondsPerGB float64
	ratedTypeCount    int
}

// dateState is the part of a job that concerns its promised date.
type dateState struct {
	// firstPromise is the date in the record that accepted the job, 0 for none. promised is the
	// newest date that was decided, durable or not, and promisedAt is when the minimum interval
	// until its revision began.
	firstPromise time.Duration
	promised     promise.Date
	promisedAt   time.Time
	// baseQuote is the base of the quote when the job arrived at this controller. The quotes learn
	// from its ratio to the actual duration.
	baseQuote time.Duration
	// takenOver says that the job was recovered from another shard leader or from an earlier
	// incarnation of this controller.
	takenOver bool
	// outcomeLearned says that the quotes already include whether the date was kept.
	outcomeLearned bool
	// dateUnreadable says that the job's newest date may be in a page that can't be read. The job
	// then gets no new date, and none is reported.
	dateUnreadable bool
	// allRunningAt is when all replicas of a long-running job were first running.
	allRunningAt time.Time
}

// enabled reports whether dates are promised. If it reports false, no method of promiseState has an
// effect.
func (promises *promiseState) enabled() bool { return promises.settings.Capabilities.Promises }

// noteRankingChange records that the ranking has changed, which may delay jobs.
func (promises *promiseState) noteRankingChange() { promises.rankingChangedAt = promises.now }

// durableDate returns the newest durable date of an open job, as of the watch cache. It returns the
// zero Date for a cancelled job, and if the newest date is not known.
func (promises *promiseState) durableDate(jobID string, open *openJob) promise.Date {
	if !promises.enabled() || open.rec.Cancelled {
		return promise.Date{}
	}
	entry, known := promises.controller.frontend.watchCache.promisePages.Newest(jobID, teamPagePrefix(open.rec.Team), open.modRevision)
	if !known {
		return promise.Date{}
	}
	if entry.Revision > 0 {
		return entry.Date
	}
	return open.rec.FirstDate()
}

// cacheDoneDate caches the date in a done job's record, for queries.
func (promises *promiseState) cacheDoneDate(jobID string, rec record.JobStatus) {
	if date := rec.Date(); promises.enabled() && date.Revision > 0 {
		promises.controller.frontend.cacheEndDate(jobID, date)
	}
}

// notePromiseRecord takes a job's first date from its record in open/, if the job has no date yet.
func (promises *promiseState) notePromiseRecord(job *job, rec *record.OpenJob) {
	if date := rec.FirstDate(); promises.enabled() && date.Revision > 0 && job.promised.Revision == 0 && !job.dateUnreadable {
		job.firstPromise, job.promised, job.promisedAt = date.After, date, job.submittedAt
	}
}

// noteBaseQuote records the base of the quote for a job that has just arrived.
func (promises *promiseState) noteBaseQuote(job *job) {
	if promises.enabled() && job.borrowedLoan == "" {
		job.baseQuote = promises.quoterFor(job.Team, true).Base(promises.promiseJob(&job.JobSpec))
	}
}

// isDateDurable reports whether the job's date, if it has one, is durable.
func (promises *promiseState) isDateDurable(job *job) bool {
	writer := promises.controller.shardLeader.promiseDates.pageWriters[job.Team]
	return writer == nil || writer.IsDurable(job.ID)
}

// endRecordFromCache returns the end record of a job that does not run here, from its record in
// open/: of a cancelled job, or of a job that was lent and that the peer has finished. The date in
// the watch cache is the newest of a lent job: a job is lent only when its date is durable, and
// gets no new date while it is lent.
func (promises *promiseState) endRecordFromCache(jobID string, status model.JobStatus, open *openJob) record.JobStatus {
	rec := record.JobStatus{Status: status, Tasks: open.rec.Tasks}
	if !promises.enabled() {
		return rec
	}
	rec.Team, rec.Workload, rec.Offloaded = open.rec.Team, open.rec.Workload, open.rec.BorrowedLoan != ""
	if status == model.Done {
		if date := promises.durableDate(jobID, open); date.Revision > 0 {
			rec.PromisedMillis, rec.PromiseRevision, rec.PromisedAtSubmit = int(date.After.Milliseconds()), date.Revision, open.rec.PromisedMillis > 0
		}
		rec.EndedAfterMillis = int(max(0, promises.now.UnixMilli()-open.rec.SubmittedAtMillis))
	}
	return rec
}

// endRecord returns the record of a job whose tasks are all done here. It has the newest date that
// was decided, durable or not, so that a page that is written late can't have a newer date.
func (promises *promiseState) endRecord(job *job) record.JobStatus {
	rec := record.JobStatus{Status: model.Done, Tasks: len(job.tasks)}
	if job.cancelled {
		rec.Status = model.Cancelled
	}
	if !promises.enabled() {
		return rec
	}
	rec.Team, rec.Workload, rec.Offloaded = job.Team, job.Workload, job.borrowedLoan != ""
	if job.cancelled {
		return rec
	}
	rec.EndedAfterMillis = int(max(0, promises.now.Sub(job.submittedAt).Milliseconds()))
	if date := job.promised; date.Revision > 0 {
		rec.PromisedMillis, rec.PromiseRevision, rec.PromisedAtSubmit = int(date.After.Milliseconds()), date.Revision, job.firstPromise > 0
	}
	return rec
}

// tick checks, once per dateCheckInterval, the dates of the jobs of this shard leader, and writes
// pages and quotes that are due.
func (promises *promiseState) tick() {
	shardLeader := promises.controller.shardLeader
	if !promises.enabled() {
		return
	}
	if promises.controller.membership.storeDown(promises.now) {
		promises.lastOutage = promises.now
	}
	if promises.now.Sub(shardLeader.promiseDates.checkedAt) < dateCheckInterval {
		return
	}
	shardLeader.promiseDates.checkedAt = promises.now
	promises.updateLoads()
	for _, id := range sortedKeys(shardLeader.jobs) {
		promises.updateDate(shardLeader.jobs[id])
	}
	promises.writePage()
	promises.storeQuotes()
}

// classLoad sums up the pending tasks of one class, that is of a team's jobs of one workload.
// sample is any job of the class.
type classLoad struct {
	sample     *job
	pending    int
	oldestWait time.Duration
}

// updateLoads updates the load of each class, so that quotes reflect bursts, takeovers and outages
// within seconds. A load that grows fast is published at once.
func (promises *promiseState) updateLoads() {
	shardLeader := promises.controller.shardLeader
	byClass := map[workloadKey]*classLoad{}
	var keys []workloadKey
	for _, id := range sortedKeys(shardLeader.jobs) {
		job := shardLeader.jobs[id]
		if job.cancelled || job.Workload == "" || job.borrowedLoan != "" {
			continue
		}
		key := workloadKey{job.Team, job.Workload}
		class := byClass[key]
		if class == nil {
			class = &classLoad{sample: job}
			byClass[key], keys = class, append(keys, key)
		}
		if pending := job.pendingTasks(); pending > 0 {
			class.pending += pending
			if job.liveTasks == 0 && job.doneTasks == 0 {
				class.oldestWait = max(class.oldestWait, promises.now.Sub(job.readySince()))
			}
		}
	}
	seen := map[string]map[string]bool{}
	for _, key := range keys {
		class := byClass[key]
		if seen[key.team] == nil {
			seen[key.team] = map[string]bool{}
		}
		seen[key.team][key.workload] = true
		freeCapacity := promises.controller.shardLeader.scheduler.capacityFor(class.sample)
		load := promise.Load{FreeCapacity: freeCapacity, RunRatio: 1, RunSpread: minSafetyFraction}
		if estimator := promises.controller.knowledge.estimators[key.workload]; estimator != nil {
			load.RunRatio, load.RunSpread = estimator.ratio, estimator.deviation
		}
		clearTime := promises.controller.knowledge.planningHorizon()
		if freeCapacity >= 1 {
			clearTime = time.Duration(float64(class.pending) / freeCapacity * float64(promises.controller.knowledge.expectedRunTime(class.sample)))
		}
		// clearTime does not include machines that are rented meanwhile. The limit on it assumes
		// that the tasks ahead delay a job by no more than the longest wait so far plus two
		// planning horizons, in which machines can be rented and become ready.
		load.Wait = max(class.oldestWait, min(clearTime, class.oldestWait+2*promises.controller.knowledge.planningHorizon()))
		if promises.quoterFor(key.team, true).UpdateLoad(key.workload, load) {
			shardLeader.publishLoadsSoon()
		}
	}
	for team := range shardLeader.teams {
		promises.quoterFor(team, true).ClearWaitExcept(seen[team])
	}
}

// updateDate gives a job its first date, or a new one if it would miss its date. Once all tasks of
// the job are done its date stays: a write of the end record that got no response may be applied
// later, and its date must not be older than one that was reported meanwhile.
func (promises *promiseState) updateDate(job *job) {
	shardLeader := promises.controller.shardLeader
	writer := shardLeader.promiseDates.pageWriters[job.Team]
	if writer == nil || job.cancelled || job.doneTasks == len(job.tasks) || job.isLentOrLending() || job.dependenciesPending || job.borrowedLoan != "" || job.dateUnreadable || job.Workload == "" {
		return
	}
	quoter, promiseJob := promises.quoterFor(job.Team, true), promises.promiseJob(&job.JobSpec)
	age := promises.now.Sub(job.submittedAt)
	if job.LongRunning {
		if job.allRunningAt.IsZero() && job.runningTasks == len(job.tasks) {
			job.allRunningAt = promises.now
			promises.learnFromDuration(job, age)
		}
		if !job.allRunningAt.IsZero() && job.promised.Revision > 0 {
			return
		}
	}
	if job.promised.Revision == 0 {
		after, _ := quoter.Quote(promiseJob)
		if remaining, remainingHigh := promises.forecastRemaining(job, quoter); job.takenOver || age > 2*dateCheckInterval {
			after = max(after, age+max(remaining, remainingHigh))
		}
		job.promised, job.promisedAt = promise.Date{After: promise.Round(after), Revision: 1}, promises.now
		writer.Put(promise.Entry{Job: job.ID, Date: job.promised})
		return
	}
	if !writer.IsDurable(job.ID) {
		// The minimum interval until a revision begins when other controllers can read the date.
		// The date is not durable yet.
		job.promisedAt = promises.now
	}
	if age >= job.promised.After {
		learnOutcome(job, quoter, promiseJob, false)
		return
	}
	remaining, remainingHigh := promises.forecastRemaining(job, quoter)
	next, ok := promise.Revise(job.promised, promises.now.Sub(job.promisedAt), promise.Forecast{Age: age, Remaining: remaining, RemainingHigh: remainingHigh})
	if !ok {
		return
	}
	job.promised, job.promisedAt = next, promises.now
	entry := promise.Entry{Job: job.ID, Date: next, Reason: promises.revisionReason(job)}
	writer.Put(entry)
	promises.debug("promised date revised", "job", job.ID, "after", next.After, "revision", next.Revision, "reason", entry.Reason)
}

// forecastRemaining returns the expected time until the job ends, and that time increased by the
// spread of its run times and a safety margin.
func (promises *promiseState) forecastRemaining(job *job, quoter *promise.Quoter) (remaining, remainingHigh time.Duration) {
	runTime := promises.controller.knowledge.expectedRunTime(job)
	if job.LongRunning {
		runTime = 0
	}
	if pending := job.pendingTasks(); pending > 0 || job.liveTasks == 0 {
		load := quoter.Load(job.Workload)
		if job.liveTasks > 0 || job.doneTasks > 0 {
			// Tasks of the job were placed before, so no other tasks are ahead of it.
			load.Wait = 0
		}
		rounds := 1.0
		if freeCapacity := max(load.FreeCapacity, float64(job.liveTasks)); freeCapacity >= 1 {
			rounds = max(1, float64(pending)/freeCapacity)
		}
		remaining = load.Wait + promises.promiseJob(&job.JobSpec).FetchTime + time.Duration(rounds*float64(runTime))
	}
	for i := range job.tasks[:job.nextFresh] {
		task := &job.tasks[i]
		if task.machine == nil {
			continue
		}
		began := task.startedAt
		if began.IsZero() {
			began = time.UnixMilli(task.groupStart)
		}
		remaining = max(remaining, runTime-promises.now.Sub(began), time.Duration(overrunFraction*float64(runTime)))
	}
	spread := minSafetyFraction
	if estimator := promises.controller.knowledge.estimators[job.Workload]; estimator != nil {
		spread = max(spread, min(estimator.deviation, 1))
	}
	return remaining, remaining + time.Duration(spread*float64(max(remaining, runTime))) + minSafetyMargin
}

// revisionReason returns the reason that users see for a revision of the job's date.
func (promises *promiseState) revisionReason(job *job) promise.Reason {
	shardLeader := promises.controller.shardLeader
	ledTeam := shardLeader.teams[job.Team]
	switch lost := hasLostAttempt(job); {
	case shardLeader.faultAttribution.FailsEverywhere(job.ID):
		return promise.JobMistake
	case lost:
		return promise.MachinesLost
	case promises.now.Sub(promises.lastOutage) < recentCauseWindow || job.takenOver && ledTeam != nil && promises.now.Sub(ledTeam.readyAt) < recentCauseWindow:
		return promise.Outage
	case promises.now.Sub(promises.rankingChangedAt) < recentCauseWindow:
		return promise.RankingChanged
	}
	return promise.EstimateWrong
}

// hasLostAttempt reports whether a task of the job that is not done was restarted for another
// reason than being slow.
func hasLostAttempt(job *job) bool {
	for i := range job.tasks[:job.nextFresh] {
		if task := &job.tasks[i]; task.attempt > 1 && !task.relaunched && !task.done {
			return true
		}
	}
	return false
}

// cannotKeepDate reports whether the job would miss its date even if its tasks started at once. It
// reports false once the date has passed, so that the job does not stay behind other jobs for ever.
func (promises *promiseState) cannotKeepDate(job *job) bool {
	date := job.promised
	end := job.submittedAt.Add(date.After)
	return date.Revision > 0 && !job.LongRunning && promises.now.Before(end) && promises.now.Add(promises.controller.knowledge.expectedRunTime(job)).After(end)
}

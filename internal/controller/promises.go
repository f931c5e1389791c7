package controller

import (
	"time"

	"github.com/micahill/micahill/internal/model"
	"github.com/micahill/micahill/internal/promise"
	"github.com/micahill/micahill/internal/record"
)

// promises.go has who writes promised completion dates, under which conditions, and when a date may be reported. What
// is decided of dates is in internal/promise.
//
// A job's first date is in its record in open/, written by the controller that accepts it, or in a page. Later dates are
// in pages, which only the team's shard leader writes: each write names the mod revisions of its shard and of the page.
// Pages are under open/ too, so the read on which an answer rests brings the newest date with the job, as of the same
// revision.

const (
	// pageMarker begins the keys of pages after open/. No job is named so.
	pageMarker = "~"
	pagePrefix = record.OpenJobPrefix + pageMarker
	// maxTeamKeyLen is how long a team's name may be in a key; longer ones are hashed.
	maxTeamKeyLen = 100
	// dateCheckInterval is how often a shard leader checks the dates of its jobs. At most one page is
	// written each time, with all dates of it that wait.
	dateCheckInterval = 2 * time.Second
	// quoteStoreInterval, times the number of controllers, separates two writes of quotes, one team's
	// at a time.
	quoteStoreInterval = 30 * time.Second
	// recentCauseWindow is how long an outage or a change counts as the reason of a delay.
	recentCauseWindow = 5 * time.Minute
	// overrunFraction is the part of its expected run time that a task is assumed to need still when
	// it has run for longer than that.
	overrunFraction = 0.25
)

// promiseState owns what quotes rest on and the totals of what became of dates. The dates of open jobs are in dateState,
// and the pages of a shard leader in shardLeaderDates.
//
// Its methods may be called at any time from within Step; tick and those that take a job only while this controller
// leads the job's shard, and those that write totals only by the leader (isStillLeader). They do nothing unless enabled.
//
// Invariants: a date is reported only when it is durable; a later date never comes before an earlier one of the same
// job; an end names the newest date that was decided; each end is counted once.
//
// At failover a team's next shard leader reads the pages (recoverPages) and goes on with the quotes that were published
// or stored last; the next leader goes on from the stored totals.
type promiseState struct {
	component

	// quotes are what quotes rest on, by team: what the team's shard leader published or stored last,
	// or, of a team here, what is learnt.
	quotes map[string]*promise.Quoter
	// lastOutage is when the store last did not answer here, rankingChangedAt when the order of work
	// last changed: reasons of delays.
	lastOutage, rankingChangedAt time.Time

	// totals is the leader's count of what became of dates.
	totals totalsTracker

	// perGB is how many seconds a GB of an image takes on a machine of the average type, computed when
	// fetchTypeCount types were known.
	perGB          float64
	fetchTypeCount int
}

// dateState is the part of a job that is about its date.
type dateState struct {
	// firstPromise is the date in the record that accepted the job, 0 for none. promised is the newest
	// that was decided, durable or not, at promisedAt.
	firstPromise time.Duration
	promised     promise.Date
	promisedAt   time.Time
	// baseQuote is what was quoted here when the job came, to learn from.
	baseQuote time.Duration
	// takenOver says that it was recovered, from another shard leader or an earlier incarnation.
	takenOver bool
	// outcomeLearned says that the quotes have learnt what became of the date.
	outcomeLearned bool
	// dateUnreadable says that its newest date can't be read. None is reported any more.
	dateUnreadable bool
	// allUpAt is when all replicas of a long-running job first ran.
	allUpAt time.Time
}

// enabled reports whether dates are promised; without that nothing here does anything.
func (p *promiseState) enabled() bool { return p.settings.Capabilities.Promises }

// noteRankingChange notes that the order of work has changed, which may delay jobs.
func (p *promiseState) noteRankingChange() { p.rankingChangedAt = p.now }

// durableDate is the newest durable date of an open job, as of the watch cache: none if it isn't known which is the
// newest.
func (p *promiseState) durableDate(id string, l *openJob) promise.Date {
	if !p.enabled() || l.rec.Cancelled {
		return promise.Date{}
	}
	e, known := p.controller.frontend.watchCache.promisePages.Newest(id, teamPagePrefix(l.rec.Team), l.modRevision)
	if !known {
		return promise.Date{}
	}
	if e.Revision > 0 {
		return e.Date
	}
	return l.rec.FirstDate()
}

// cacheDoneDate keeps the date in a done job's record, for queries.
func (p *promiseState) cacheDoneDate(id string, r record.JobStatus) {
	if d := r.Date(); p.enabled() && d.Revision > 0 {
		p.controller.frontend.cacheEndDate(id, d)
	}
}

// notePromiseRecord takes in the first date of a job from its record in open/.
func (p *promiseState) notePromiseRecord(j *job, r *record.OpenJob) {
	if d := r.FirstDate(); p.enabled() && d.Revision > 0 && j.promised.Revision == 0 && !j.dateUnreadable {
		j.firstPromise, j.promised, j.promisedAt = d.After, d, j.submittedAt
	}
}

// noteBaseQuote notes what is quoted for a job that has just come.
func (p *promiseState) noteBaseQuote(j *job) {
	if p.enabled() && j.borrowedLoan == "" {
		j.baseQuote = p.quoterFor(j.Team, true).Base(p.promiseJob(&j.JobSpec))
	}
}

// isDateDurable reports whether no date of the job waits to be written.
func (p *promiseState) isDateDurable(j *job) bool {
	b := p.controller.shardLeader.promiseDates.pageWriters[j.Team]
	return b == nil || b.IsDurable(j.ID)
}

// endRecordFromCache is the record of a job that is over and does not run here, by its record in open/: of one that is
// cancelled, or that a peer has done. No date was decided since it was lent, and none was being written then.
func (p *promiseState) endRecordFromCache(id string, s model.JobStatus, l *openJob) record.JobStatus {
	r := record.JobStatus{Status: s, Tasks: l.rec.Tasks}
	if !p.enabled() {
		return r
	}
	r.Team, r.Workload, r.Offloaded = l.rec.Team, l.rec.Workload, l.rec.BorrowedLoan != ""
	if s == model.Done {
		if d := p.durableDate(id, l); d.Revision > 0 {
			r.PromisedMillis, r.PromiseRevision, r.PromisedAtSubmit = int(d.After.Milliseconds()), d.Revision, l.rec.PromisedMillis > 0
		}
		r.EndedAfterMillis = int(max(0, p.now.UnixMilli()-l.rec.SubmittedAtMillis))
	}
	return r
}

// endRecord is the record of a job whose tasks are all done here. It has the newest date that was decided, durable or
// not, so that no page that is written late can have a newer one.
func (p *promiseState) endRecord(j *job) record.JobStatus {
	r := record.JobStatus{Status: model.Done, Tasks: len(j.tasks)}
	if j.cancelled {
		r.Status = model.Cancelled
	}
	if !p.enabled() {
		return r
	}
	r.Team, r.Workload, r.Offloaded = j.Team, j.Workload, j.borrowedLoan != ""
	if j.cancelled {
		return r
	}
	r.EndedAfterMillis = int(max(0, p.now.Sub(j.submittedAt).Milliseconds()))
	if d := j.promised; d.Revision > 0 {
		r.PromisedMillis, r.PromiseRevision, r.PromisedAtSubmit = int(d.After.Milliseconds()), d.Revision, j.firstPromise > 0
	}
	return r
}

// tick does once a dateCheckInterval what is due for the dates of this shard leader's jobs.
func (p *promiseState) tick() {
	s := p.controller.shardLeader
	if !p.enabled() {
		return
	}
	if p.controller.membership.storeDown(p.now) {
		p.lastOutage = p.now
	}
	if p.now.Sub(s.promiseDates.checkedAt) < dateCheckInterval {
		return
	}
	s.promiseDates.checkedAt = p.now
	p.updateLoads()
	for _, id := range sortedKeys(s.jobs) {
		p.updateDate(s.jobs[id])
	}
	p.writePage()
	p.storeQuotes()
}

// classLoad sums up the pending tasks of one class: a team's jobs of a workload.
type classLoad struct {
	sample     *job
	pending    int
	oldestWait time.Duration
}

// updateLoads updates the load of each class, so that bursts, takeovers and outages show in quotes within seconds. A load
// that grows fast is published at once.
func (p *promiseState) updateLoads() {
	s := p.controller.shardLeader
	byClass := map[workloadKey]*classLoad{}
	var keys []workloadKey
	for _, id := range sortedKeys(s.jobs) {
		j := s.jobs[id]
		if j.cancelled || j.Workload == "" || j.borrowedLoan != "" {
			continue
		}
		k := workloadKey{j.Team, j.Workload}
		class := byClass[k]
		if class == nil {
			class = &classLoad{sample: j}
			byClass[k], keys = class, append(keys, k)
		}
		if n := j.pendingTasks(); n > 0 {
			class.pending += n
			if j.liveTasks == 0 && j.doneTasks == 0 {
				class.oldestWait = max(class.oldestWait, p.now.Sub(j.readySince()))
			}
		}
	}
	seen := map[string]map[string]bool{}
	for _, k := range keys {
		class := byClass[k]
		if seen[k.team] == nil {
			seen[k.team] = map[string]bool{}
		}
		seen[k.team][k.workload] = true
		freeCapacity := p.controller.shardLeader.scheduler.capacityFor(class.sample)
		load := promise.Load{FreeCapacity: freeCapacity, RunRatio: 1, RunSpread: minSafetyFraction}
		if e := p.controller.knowledge.estimators[k.workload]; e != nil {
			load.RunRatio, load.RunSpread = e.ratio, e.deviation
		}
		clearTime := p.controller.knowledge.planningHorizon()
		if freeCapacity >= 1 {
			clearTime = time.Duration(float64(class.pending) / freeCapacity * float64(p.controller.knowledge.expectedRunTime(class.sample)))
		}
		// Machines rented meanwhile are not counted. So the work ahead delays a job by no more
		// than the oldest has waited, plus the time machines take to be ready.
		load.Wait = max(class.oldestWait, min(clearTime, class.oldestWait+2*p.controller.knowledge.planningHorizon()))
		if p.quoterFor(k.team, true).UpdateLoad(k.workload, load) {
			s.publishLoadsSoon()
		}
	}
	for team := range s.teams {
		p.quoterFor(team, true).ClearWaitExcept(seen[team])
	}
}

// updateDate gives a job its first date, or a new one if it would be missed. Once all its tasks are done the date is the
// one that it ends with: an end whose write has no answer may be applied later, and must not take back a date that was
// reported since.
func (p *promiseState) updateDate(j *job) {
	s := p.controller.shardLeader
	writer := s.promiseDates.pageWriters[j.Team]
	if writer == nil || j.cancelled || j.doneTasks == len(j.tasks) || j.elsewhere() || j.dependenciesPending || j.borrowedLoan != "" || j.dateUnreadable || j.Workload == "" {
		return
	}
	q, pj := p.quoterFor(j.Team, true), p.promiseJob(&j.JobSpec)
	age := p.now.Sub(j.submittedAt)
	if j.LongRunning {
		if j.allUpAt.IsZero() && j.runningTasks == len(j.tasks) {
			j.allUpAt = p.now
			p.learnFromDuration(j, age)
		}
		if !j.allUpAt.IsZero() && j.promised.Revision > 0 {
			return
		}
	}
	if j.promised.Revision == 0 {
		after, _ := q.Quote(pj)
		if remaining, remainingHigh := p.forecastRemaining(j, q); j.takenOver || age > 2*dateCheckInterval {
			after = max(after, age+max(remaining, remainingHigh))
		}
		j.promised, j.promisedAt = promise.Date{After: promise.Round(after), Revision: 1}, p.now
		writer.Put(promise.Entry{Job: j.ID, Date: j.promised})
		return
	}
	if !writer.IsDurable(j.ID) {
		// A date counts as made when others can read it, which is not known yet.
		j.promisedAt = p.now
	}
	if age >= j.promised.After {
		learnOutcome(j, q, pj, false)
		return
	}
	remaining, remainingHigh := p.forecastRemaining(j, q)
	d, ok := promise.Revise(j.promised, p.now.Sub(j.promisedAt), promise.Forecast{Age: age, Remaining: remaining, RemainingHigh: remainingHigh})
	if !ok {
		return
	}
	j.promised, j.promisedAt = d, p.now
	e := promise.Entry{Job: j.ID, Date: d, Reason: p.revisionReason(j)}
	writer.Put(e)
	p.debug("promised date revised", "job", j.ID, "after", d.After, "revision", d.Revision, "reason", e.Reason)
}

// forecastRemaining is how long the job is expected to take still, and how long with the spread of its run times.
func (p *promiseState) forecastRemaining(j *job, q *promise.Quoter) (remaining, remainingHigh time.Duration) {
	run := p.controller.knowledge.expectedRunTime(j)
	if j.LongRunning {
		run = 0
	}
	if n := j.pendingTasks(); n > 0 || j.liveTasks == 0 {
		load := q.Load(j.Workload)
		if j.liveTasks > 0 || j.doneTasks > 0 {
			// It has been placed before, so nothing is ahead of it.
			load.Wait = 0
		}
		rounds := 1.0
		if freeCapacity := max(load.FreeCapacity, float64(j.liveTasks)); freeCapacity >= 1 {
			rounds = max(1, float64(n)/freeCapacity)
		}
		remaining = load.Wait + p.promiseJob(&j.JobSpec).FetchTime + time.Duration(rounds*float64(run))
	}
	for i := range j.tasks[:j.nextFresh] {
		t := &j.tasks[i]
		if t.machine == nil {
			continue
		}
		began := t.startedAt
		if began.IsZero() {
			began = time.UnixMilli(t.groupStart)
		}
		remaining = max(remaining, run-p.now.Sub(began), time.Duration(overrunFraction*float64(run)))
	}
	spread := minSafetyFraction
	if e := p.controller.knowledge.estimators[j.Workload]; e != nil {
		spread = max(spread, min(e.deviation, 1))
	}
	return remaining, remaining + time.Duration(spread*float64(max(remaining, run))) + minSafetyMargin
}

// revisionReason is the reason of a revision.
func (p *promiseState) revisionReason(j *job) promise.Reason {
	s := p.controller.shardLeader
	held := s.teams[j.Team]
	switch lost := hasLostAttempt(j); {
	case s.faultAttribution.FailsEverywhere(j.ID):
		return promise.JobMistake
	case lost:
		return promise.MachinesLost
	case p.now.Sub(p.lastOutage) < recentCauseWindow || j.takenOver && held != nil && p.now.Sub(held.readyAt) < recentCauseWindow:
		return promise.Outage
	case p.now.Sub(p.rankingChangedAt) < recentCauseWindow:
		return promise.RankingChanged
	}
	return promise.EstimateWrong
}

// hasLostAttempt reports whether a task of the job was started more than once, and not for being slow.
func hasLostAttempt(j *job) bool {
	for i := range j.tasks[:j.nextFresh] {
		if t := &j.tasks[i]; t.attempt > 1 && !t.relaunched && !t.done {
			return true
		}
	}
	return false
}

// cannotKeepDate reports whether a job's date can't be kept any more, whenever its tasks start. Once it has passed that
// counts no longer, so that no job stays behind others for ever.
func (p *promiseState) cannotKeepDate(j *job) bool {
	d := j.promised
	end := j.submittedAt.Add(d.After)
	return d.Revision > 0 && !j.LongRunning && p.now.Before(end) && p.now.Add(p.controller.knowledge.expectedRunTime(j)).After(end)
}

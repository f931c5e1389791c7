package controller

import (
	"time"

	"github.com/micahill/micahill/internal/model"
	"github.com/micahill/micahill/internal/promise"
	"github.com/micahill/micahill/internal/record"
)

// promises.go joins the promised dates in the core: who writes a date, under which
// conditions, and when it may be told. What is decided of dates is in internal/promise.
//
// A job's first date stands in open/<id>, written by whoever accepts it, or in a page;
// later ones stand in pages, which the team's owner writes alone: each write names its
// share's stamp and the page's own. Pages stand under open/, so the read on which an
// answer rests brings the newest date with the job, as of the same revision.

const (
	// pageMarker is what the keys of pages begin with after open/. No job is named so.
	pageMarker = "~"
	pagePrefix = record.OpenJobPrefix + pageMarker
	// maxTeamKeyLen is how long a team's name may be in a key; longer ones stand as their
	// hash.
	maxTeamKeyLen = 100
	// dateCheckInterval is how often an owner looks at the dates of its jobs, and at most one
	// page of them is written each time: what waits shares it.
	dateCheckInterval = 2 * time.Second
	// quoteStoreInterval separates two writes of quotes, one team's at a time.
	quoteStoreInterval = 30 * time.Second
	// recentCauseWindow is for how long a trouble counts as the reason of a delay.
	recentCauseWindow = 5 * time.Minute
	// overrunFraction is the part of its run time that a task is taken to need still when it has
	// run for longer than expected.
	overrunFraction = 0.25
)

// promiseState is what a controller has of dates beside its jobs.
type promiseState struct {
	component

	// quotes are what quotes rest on, by team: what their owner told or wrote last,
	// or, of a team here, what it learns.
	quotes map[string]*promise.Quoter
	// lastOutage is when the state service last did not answer here, and ranked when the
	// order of work was last changed.
	lastOutage, rankingChangedAt time.Time
	totals                       totalsTracker
	// perGB is how many seconds a GB of an image takes the usual kind of machine, as
	// reckoned when so many kinds were known.
	perGB          float64
	fetchTypeCount int
}

// dateState is what of a job concerns its date, as its owner has it.
type dateState struct {
	// firstPromise is the date in the accepting record, 0 for none. promised is the newest
	// that is decided, durable or not, and made when.
	firstPromise time.Duration
	promised     promise.Date
	promisedAt   time.Time
	// baseQuote is what the owner's quote was when the job came, to learn from.
	baseQuote time.Duration
	// restored: it was taken over, from whom or from which life ever.
	takenOver bool
	// judged: what became of the date has been learnt from.
	outcomeLearned bool
	// blind: its newest date stands where it can't be read. None is told any more.
	dateUnreadable bool
	// allUpAt is when all replicas of a standing job were first up.
	allUpAt time.Time
}

func (p *promiseState) enabled() bool { return p.settings.Capabilities.Promises }

// durableDate is the newest durable date of an open job, as of the picture: none where it
// can't be told which is the newest.
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

// cacheDoneDate keeps what a done job's record says of its date, for whoever asks.
func (p *promiseState) cacheDoneDate(id string, r record.JobStatus) {
	if d := r.Date(); p.enabled() && d.Revision > 0 {
		p.controller.frontend.cacheEndDate(id, d)
	}
}

// notePromiseRecord takes in a job's record as its owner reads it.
func (p *promiseState) notePromiseRecord(j *job, r *record.OpenJob) {
	if d := r.FirstDate(); p.enabled() && d.Revision > 0 && j.promised.Revision == 0 && !j.dateUnreadable {
		j.firstPromise, j.promised, j.promisedAt = d.After, d, j.submittedAt
	}
}

// noteBaseQuote notes what was to be expected of a job when it came.
func (p *promiseState) noteBaseQuote(j *job) {
	if p.enabled() && j.borrowedLoan == "" {
		j.baseQuote = p.quoterFor(j.Team, true).Base(p.promiseJob(&j.JobSpec))
	}
}

// isDateDurable says that nothing of the job's date waits to be written.
func (p *promiseState) isDateDurable(j *job) bool {
	b := p.controller.shardLeader.promiseDates.pageWriters[j.Team]
	return b == nil || b.IsDurable(j.ID)
}

// endRecordFromCache is the record of a job that is over, by its record in open/, for whoever
// does not run it: who cancels, and the leader for one that a peer has done. Its owner
// has made no date since it was lent, and none was on its way.
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

// endRecord is the record of a job whose tasks are all done here: with the newest date
// that was decided, durable or not, so that no late page can be newer than it.
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

// tick does what is due for the dates of this owner's jobs.
func (p *promiseState) tick() {
	o := p.controller.shardLeader
	if !p.enabled() {
		return
	}
	if p.controller.membership.storeDown(p.now) {
		p.lastOutage = p.now
	}
	if p.now.Sub(o.promiseDates.checkedAt) < dateCheckInterval {
		return
	}
	o.promiseDates.checkedAt = p.now
	p.updateLoads()
	for _, id := range sortedKeys(o.jobs) {
		p.updateDate(o.jobs[id])
	}
	p.writePage()
	p.storeQuotes()
}

// classLoad gathers what waits of one class.
type classLoad struct {
	sample     *job
	pending    int
	oldestWait time.Duration
}

// updateLoads brings up to date how busy it is for each class, so that bursts, takeovers
// and outages show in quotes within seconds; what grows fast the others hear at once.
func (pp *promiseState) updateLoads() {
	o := pp.controller.shardLeader
	byClass := map[workloadKey]*classLoad{}
	var keys []workloadKey
	for _, id := range sortedKeys(o.jobs) {
		j := o.jobs[id]
		if j.cancelled || j.Workload == "" || j.borrowedLoan != "" {
			continue
		}
		k := workloadKey{j.Team, j.Workload}
		class := byClass[k]
		if class == nil {
			class = &classLoad{sample: j}
			byClass[k], keys = class, append(keys, k)
		}
		if p := j.pendingTasks(); p > 0 {
			class.pending += p
			if j.liveTasks == 0 && j.doneTasks == 0 {
				class.oldestWait = max(class.oldestWait, pp.now.Sub(j.readySince()))
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
		freeCapacity := pp.controller.shardLeader.scheduler.capacityFor(class.sample)
		load := promise.Load{FreeCapacity: freeCapacity, RunRatio: 1, RunSpread: minSafetyFraction}
		if e := pp.controller.knowledge.estimators[k.workload]; e != nil {
			load.RunRatio, load.RunSpread = e.ratio, e.deviation
		}
		clearTime := pp.controller.knowledge.planningHorizon()
		if freeCapacity >= 1 {
			clearTime = time.Duration(float64(class.pending) / freeCapacity * float64(pp.controller.knowledge.expectedRunTime(class.sample)))
		}
		// What is rented meanwhile is not counted, so that work before it holds one up
		// no longer than the oldest has waited and machines take to come.
		load.Wait = max(class.oldestWait, min(clearTime, class.oldestWait+2*pp.controller.knowledge.planningHorizon()))
		if pp.quoterFor(k.team, true).UpdateLoad(k.workload, load) {
			o.publishLoadsSoon()
		}
	}
	for team := range o.teams {
		pp.quoterFor(team, true).ClearWaitExcept(seen[team])
	}
}

// updateDate gives a job its first date, or a new one where it would be missed. Once its
// tasks are all done it has the date that it ends with: an end without an answer may be
// carried out later, and must not take back a date that was told since.
func (p *promiseState) updateDate(j *job) {
	o := p.controller.shardLeader
	writer := o.promiseDates.pageWriters[j.Team]
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
		// A date is made when others can read it, which is not known yet.
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
	p.debug("date revised", "job", j.ID, "to", d.After, "rev", d.Revision, "why", e.Reason)
}

// forecastRemaining is how long the job is expected to take still, and how long with the spread
// of its run times.
func (pp *promiseState) forecastRemaining(j *job, q *promise.Quoter) (remaining, remainingHigh time.Duration) {
	run := pp.controller.knowledge.expectedRunTime(j)
	if j.LongRunning {
		run = 0
	}
	if p := j.pendingTasks(); p > 0 || j.liveTasks == 0 {
		load := q.Load(j.Workload)
		if j.liveTasks > 0 || j.doneTasks > 0 {
			// It has had its turn.
			load.Wait = 0
		}
		rounds := 1.0
		if freeCapacity := max(load.FreeCapacity, float64(j.liveTasks)); freeCapacity >= 1 {
			rounds = max(1, float64(p)/freeCapacity)
		}
		remaining = load.Wait + pp.promiseJob(&j.JobSpec).FetchTime + time.Duration(rounds*float64(run))
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
		remaining = max(remaining, run-pp.now.Sub(began), time.Duration(overrunFraction*float64(run)))
	}
	spread := minSafetyFraction
	if e := pp.controller.knowledge.estimators[j.Workload]; e != nil {
		spread = max(spread, min(e.deviation, 1))
	}
	return remaining, remaining + time.Duration(spread*float64(max(remaining, run))) + minSafetyMargin
}

// revisionReason is the reason of a revision.
func (p *promiseState) revisionReason(j *job) promise.Reason {
	o := p.controller.shardLeader
	held := o.teams[j.Team]
	switch lost := hasLostAttempt(j); {
	case o.faultAttribution.FailsEverywhere(j.ID):
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

// hasLostAttempt says that some task of the job has begun more than once without having been
// too slow.
func hasLostAttempt(j *job) bool {
	for i := range j.tasks[:j.nextFresh] {
		if t := &j.tasks[i]; t.attempt > 1 && !t.relaunched && !t.done {
			return true
		}
	}
	return false
}

// cannotKeepDate says that a job's date can't be kept any more, whenever its tasks start. Once
// it has passed that counts no longer: nobody is to wait behind others for good for it.
func (p *promiseState) cannotKeepDate(j *job) bool {
	d := j.promised
	end := j.submittedAt.Add(d.After)
	return d.Revision > 0 && !j.LongRunning && p.now.Before(end) && p.now.Add(p.controller.knowledge.expectedRunTime(j)).After(end)
}

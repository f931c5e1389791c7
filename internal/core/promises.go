package core

import (
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/micahill/micahill/internal/promise"
)

// promises.go joins the promised dates in the core: who writes a date, under which
// conditions, and when it may be told. What is decided of dates is in internal/promise.
//
// A job's first date stands in open/<id>, written by whoever accepts it, or in a page;
// later ones stand in pages, which the team's owner writes alone: each write names its
// share's stamp and the page's own. Pages stand under open/, so the read on which an
// answer rests brings the newest date with the job, as of the same revision.

const (
	// pagePart is what the keys of pages begin with after open/. No job is named so.
	pagePart   = "~"
	pagePrefix = openPrefix + pagePart
	// quotesPrefix holds what quotes rest on, by team, and totalsKey the outcomes.
	quotesPrefix = "promise/quotes/"
	totalsKey    = "promise/totals"
	// teamKeyMost is how long a team's name may be in a key; longer ones stand as their
	// hash.
	teamKeyMost = 100
	// lookAtDates is how often an owner looks at the dates of its jobs, and at most one
	// page of them is written each time: what waits shares it.
	lookAtDates = 2 * time.Second
	// quotesEvery separates two writes of quotes, one team's at a time.
	quotesEvery = 30 * time.Second
	// recently is for how long a trouble counts as the reason of a delay.
	recently = 5 * time.Minute
	// runOver is the part of its run time that a task is taken to need still when it has
	// run for longer than expected.
	runOver = 0.25
	// longestDate is the longest date in milliseconds.
	longestDate = int(promise.Longest / time.Millisecond)
)

// promises is what a controller has of dates beside its jobs.
type promises struct {
	// quotes are what quotes rest on, by team: what their owner told or wrote last,
	// or, of a team here, what it learns.
	quotes map[string]*promise.Quotes
	// outage is when the state service last did not answer here, and ranked when the
	// order of work was last changed.
	outage, ranked time.Time
	totals         totals
	// perGB is how many seconds a GB of an image takes the usual kind of machine, as
	// reckoned when so many kinds were known.
	perGB  float64
	pullOf int
}

// dated is what of a job concerns its date, as its owner has it.
type dated struct {
	// first is the date in the accepting record, 0 for none. promised is the newest
	// that is decided, durable or not, and made when.
	first    time.Duration
	promised promise.Date
	made     time.Time
	// base is what the owner's quote was when the job came, to learn from.
	base time.Duration
	// restored: it was taken over, from whom or from which life ever.
	restored bool
	// judged: what became of the date has been learnt from.
	judged bool
	// blind: its newest date stands where it can't be read. None is told any more.
	blind bool
	// up is when all replicas of a standing job were first up.
	up time.Time
}

// ownerDates is what an owner has of dates beside the jobs.
type ownerDates struct {
	books  map[string]*promise.Book
	looked time.Time
	// busy: a page is being written, or read after a write without an answer. turn is
	// the team whose page was the last.
	busy bool
	turn string
	// stored is when quotes were last written, of the team that is named, and storedAs
	// their hashes.
	stored     time.Time
	storedTeam string
	storedAs   map[string]uint64
}

func (n *Node) promising() bool { return n.set.Product.Promises }

// teamKey is a team in a key: as it is where all its characters may stand in the path of
// a request, and else, or if it is long, its hash.
func teamKey(team string) string {
	plain := len(team) > 0 && len(team) <= teamKeyMost
	for _, c := range team {
		plain = plain && (c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || c >= '0' && c <= '9' || c == '-' || c == '_')
	}
	if plain {
		return team
	}
	return fmt.Sprintf("~%016x", xxhash.Sum64String(team))
}

func pagesOf(team string) string { return pagePrefix + teamKey(team) + "/" }

// pageBytes bounds the records of dates, quotes and totals, as JSON.
func (n *Node) pageBytes() int { return n.set.ValueBytes * 3 / 4 }

// pageItem says whether a key under open/ is that of a page, and takes it in.
func pageItem(n *Node, pages *promise.Pages, it Item) bool {
	if !strings.HasPrefix(it.Key, pagePrefix) {
		return false
	}
	if !n.promising() {
		return true
	}
	value := it.Value
	if it.Removed {
		value = nil
	}
	if err := pages.Take(it.Key, it.Stamp, value); err != nil {
		n.complain("record", it.Key, err.Error())
	}
	return true
}

// dateOf is the newest durable date of an open job, as of the picture: none where it
// can't be told which is the newest.
func dateOf(n *Node, id string, l *living) promise.Date {
	if !n.promising() || l.rec.Cancelled {
		return promise.Date{}
	}
	e, known := n.users.mirror.pages.Of(id, pagesOf(l.rec.Team), l.stamp)
	if !known {
		return promise.Date{}
	}
	if e.Rev > 0 {
		return e.Date
	}
	return l.rec.firstDate()
}

// firstDate is the date in the accepting record; what makes no sense is none.
func (r *openRecord) firstDate() promise.Date {
	d := promise.Date{After: time.Duration(r.P) * time.Millisecond, Rev: 1}
	if r.P <= 0 || r.P > longestDate {
		return promise.Date{}
	}
	return d
}

// doneDate keeps what a done job's record says of its date, for whoever asks.
func doneDate(n *Node, id string, r jobRecord) {
	if d := r.date(); n.promising() && d.Rev > 0 {
		n.users.dates[id] = uint64(d.After.Milliseconds())<<8 | uint64(d.Rev)
	}
}

func (r *jobRecord) date() promise.Date {
	d := promise.Date{After: time.Duration(r.P) * time.Millisecond, Rev: r.Rev}
	if r.Status != Done || r.P > longestDate || d.Bad() != "" {
		return promise.Date{}
	}
	return d
}

// told is the answer with a date.
func (r UserReply) told(d promise.Date) UserReply {
	r.Promised, r.PromiseRev = d.After, d.Rev
	return r
}

// quotesFor is what quotes of a team rest on here, if anything.
func quotesFor(n *Node, team string, make bool) *promise.Quotes {
	q := n.promises.quotes[team]
	if q == nil && make {
		q = promise.NewQuotes(n.set.Product.PromiseShare)
		n.promises.quotes[team] = q
	}
	return q
}

// promiseJob is what of a job its date rests on. The fetch is that from the usual kind
// of machine: where the image lies the finishes tell.
func promiseJob(n *Node, s *Spec) promise.Job {
	p := &n.promises
	if p.pullOf != len(n.types) {
		p.pullOf, p.perGB = len(n.types), 0
		rate, kinds := 0.0, 0.0
		for _, name := range sortedKeys(n.types) {
			if f := n.types[name]; f.PullRate > 0 {
				rate, kinds = rate+f.PullRate, kinds+1
			}
		}
		if rate > 0 {
			p.perGB = kinds / rate
		}
	}
	return promise.Job{Team: s.Team, Class: s.Workload, Tasks: s.Tasks, Expected: s.Expected, Standing: s.Standing, Fetch: Seconds(s.ImageGB * p.perGB)}
}

// quote is the date for a job that is accepted here, if one is at hand.
func quote(n *Node, s *Spec) time.Duration {
	if !n.promising() || len(s.Prereqs) > 0 {
		// What waits for others gets its date when these are done.
		return 0
	}
	j := promiseJob(n, s)
	if q := quotesFor(n, s.Team, false); q != nil {
		if d, known := q.Quote(j); known {
			return d
		}
	}
	// A class that is new to the team may be known of others.
	for _, t := range sortedKeys(n.promises.quotes) {
		if d, known := n.promises.quotes[t].Quote(j); known {
			return d
		}
	}
	return 0
}

// promiseSeen takes in a job's record as its owner reads it.
func promiseSeen(n *Node, j *job, r *openRecord) {
	if d := r.firstDate(); n.promising() && d.Rev > 0 && j.promised.Rev == 0 && !j.blind {
		j.first, j.promised, j.made = d.After, d, j.at
	}
}

// promiseComes notes what was to be expected of a job when it came.
func promiseComes(n *Node, j *job) {
	if n.promising() && j.guest == "" {
		j.base = quotesFor(n, j.Team, true).Base(promiseJob(n, &j.Spec))
	}
}

// promisesLoaded takes up the pages of a team that has come, as its former owner left
// them. When a date in them was made is not told: they count as made now.
func promisesLoaded(n *Node, team string, restored map[string]*job) {
	o := n.owner
	if !n.promising() {
		return
	}
	m := &n.users.mirror
	prefix := pagesOf(team)
	if o.dates.books == nil {
		o.dates.books = map[string]*promise.Book{}
	}
	o.dates.books[team] = m.pages.Book(prefix, n.pageBytes())
	quotesFor(n, team, true)
	for id, j := range restored {
		if j.Team != team {
			continue
		}
		j.restored = true
		e, known := m.pages.Of(id, prefix, j.stamp)
		switch {
		case !known:
			j.blind, j.promised = true, promise.Date{}
		case e.Rev > 0:
			j.promised, j.made = e.Date, n.now
		}
	}
}

// settledDate says that nothing of the job's date waits to be written.
func settledDate(n *Node, j *job) bool {
	b := n.owner.dates.books[j.Team]
	return b == nil || b.Durable(j.ID)
}

// overRecord is the record of a job that is over, by its record in open/, for whoever
// does not run it: who cancels, and the leader for one that a peer has done. Its owner
// has made no date since it was lent, and none was on its way.
func overRecord(n *Node, id string, s JobStatus, l *living) jobRecord {
	r := jobRecord{Status: s, Tasks: l.rec.Tasks}
	if !n.promising() {
		return r
	}
	r.Team, r.Class, r.Guest = l.rec.Team, l.rec.Workload, l.rec.Guest != ""
	if s == Done {
		if d := dateOf(n, id, l); d.Rev > 0 {
			r.P, r.Rev, r.First = int(d.After.Milliseconds()), d.Rev, l.rec.P > 0
		}
		r.After = int(max(0, n.now.UnixMilli()-l.rec.At))
	}
	return r
}

// endRecord is the record of a job whose tasks are all done here: with the newest date
// that was decided, durable or not, so that no late page can be newer than it.
func endRecord(n *Node, j *job) jobRecord {
	r := jobRecord{Status: Done, Tasks: len(j.tasks)}
	if j.cancelled {
		r.Status = Cancelled
	}
	if !n.promising() {
		return r
	}
	r.Team, r.Class, r.Guest = j.Team, j.Workload, j.guest != ""
	if j.cancelled {
		return r
	}
	r.After = int(max(0, n.now.Sub(j.at).Milliseconds()))
	if d := j.promised; d.Rev > 0 {
		r.P, r.Rev, r.First = int(d.After.Milliseconds()), d.Rev, j.first > 0
	}
	return r
}

// promiseEnded learns from a job's end.
func promiseEnded(n *Node, j *job, r jobRecord) {
	if !n.promising() || j.guest != "" {
		return
	}
	doneDate(n, j.ID, r)
	if !j.Standing {
		learnDate(n, j, time.Duration(r.After)*time.Millisecond)
	}
}

// learnDate learns from a job that is done, or all up, after a time.
func learnDate(n *Node, j *job, took time.Duration) {
	q, pj := quotesFor(n, j.Team, true), promiseJob(n, &j.Spec)
	if !j.restored {
		q.Finished(pj, j.base, took)
	}
	judge(j, q, pj, took <= j.promised.After)
}

func judge(j *job, q *promise.Quotes, pj promise.Job, kept bool) {
	if j.promised.Rev > 0 && !j.judged {
		j.judged = true
		q.Outcome(pj, kept)
	}
}

// promisesTick does what is due for the dates of this owner's jobs.
func promisesTick(n *Node) {
	o := n.owner
	if !n.promising() {
		return
	}
	if n.stateDown(n.now) {
		n.promises.outage = n.now
	}
	if n.now.Sub(o.dates.looked) < lookAtDates {
		return
	}
	o.dates.looked = n.now
	seeLoads(n)
	for _, id := range sortedKeys(o.jobs) {
		watchDate(n, o.jobs[id])
	}
	writePage(n)
	storeQuotes(n)
}

// loadOf gathers what waits of one class.
type loadOf struct {
	like    *job
	pending int
	oldest  time.Duration
}

// seeLoads brings up to date how busy it is for each class, so that bursts, takeovers
// and outages show in quotes within seconds; what grows fast the others hear at once.
func seeLoads(n *Node) {
	o := n.owner
	by := map[loadKey]*loadOf{}
	var keys []loadKey
	for _, id := range sortedKeys(o.jobs) {
		j := o.jobs[id]
		if j.cancelled || j.Workload == "" || j.guest != "" {
			continue
		}
		k := loadKey{j.Team, j.Workload}
		l := by[k]
		if l == nil {
			l = &loadOf{like: j}
			by[k], keys = l, append(keys, k)
		}
		if p := j.pending(); p > 0 {
			l.pending += p
			if j.live == 0 && j.done == 0 {
				l.oldest = max(l.oldest, n.now.Sub(j.free()))
			}
		}
	}
	seen := map[string]map[string]bool{}
	for _, k := range keys {
		l := by[k]
		if seen[k.team] == nil {
			seen[k.team] = map[string]bool{}
		}
		seen[k.team][k.workload] = true
		room := n.roomFor(l.like)
		load := promise.Load{Room: room, Ratio: 1, Dev: lateShare}
		if e := n.errs[k.workload]; e != nil {
			load.Ratio, load.Dev = e.ratio, e.dev
		}
		clears := n.horizon()
		if room >= 1 {
			clears = time.Duration(float64(l.pending) / room * float64(n.expects(l.like)))
		}
		// What is rented meanwhile is not counted, so that work before it holds one up
		// no longer than the oldest has waited and machines take to come.
		load.Wait = max(l.oldest, min(clears, l.oldest+2*n.horizon()))
		if quotesFor(n, k.team, true).See(k.workload, load) {
			o.toldLoads = time.Time{}
		}
	}
	for team := range o.teams {
		quotesFor(n, team, true).Quiet(seen[team])
	}
}

// watchDate gives a job its first date, or a new one where it would be missed. Once its
// tasks are all done it has the date that it ends with: an end without an answer may be
// carried out later, and must not take back a date that was told since.
func watchDate(n *Node, j *job) {
	o := n.owner
	b := o.dates.books[j.Team]
	if b == nil || j.cancelled || j.done == len(j.tasks) || j.elsewhere() || j.waits || j.guest != "" || j.blind || j.Workload == "" {
		return
	}
	q, pj := quotesFor(n, j.Team, true), promiseJob(n, &j.Spec)
	age := n.now.Sub(j.at)
	if j.Standing {
		if j.up.IsZero() && j.running == len(j.tasks) {
			j.up = n.now
			learnDate(n, j, age)
		}
		if !j.up.IsZero() && j.promised.Rev > 0 {
			return
		}
	}
	if j.promised.Rev == 0 {
		after, _ := q.Quote(pj)
		if left, high := outlook(n, j, q); j.restored || age > 2*lookAtDates {
			after = max(after, age+max(left, high))
		}
		j.promised, j.made = promise.Date{After: promise.Round(after), Rev: 1}, n.now
		b.Put(promise.Entry{Job: j.ID, Date: j.promised})
		return
	}
	if !b.Durable(j.ID) {
		// A date is made when others can read it, which is not known yet.
		j.made = n.now
	}
	if age >= j.promised.After {
		judge(j, q, pj, false)
		return
	}
	left, high := outlook(n, j, q)
	d, ok := promise.Revise(j.promised, n.now.Sub(j.made), promise.Outlook{Age: age, Left: left, High: high})
	if !ok {
		return
	}
	j.promised, j.made = d, n.now
	e := promise.Entry{Job: j.ID, Date: d, Why: whyLate(n, j)}
	b.Put(e)
	n.debug("date revised", "job", j.ID, "to", d.After, "rev", d.Rev, "why", e.Why)
}

// outlook is how long the job is expected to take still, and how long with the spread
// of its run times.
func outlook(n *Node, j *job, q *promise.Quotes) (left, high time.Duration) {
	run := n.expects(j)
	if j.Standing {
		run = 0
	}
	if p := j.pending(); p > 0 || j.live == 0 {
		load := q.Load(j.Workload)
		if j.live > 0 || j.done > 0 {
			// It has had its turn.
			load.Wait = 0
		}
		rounds := 1.0
		if room := max(load.Room, float64(j.live)); room >= 1 {
			rounds = max(1, float64(p)/room)
		}
		left = load.Wait + promiseJob(n, &j.Spec).Fetch + time.Duration(rounds*float64(run))
	}
	for i := range j.tasks[:j.fresh] {
		t := &j.tasks[i]
		if t.m == nil {
			continue
		}
		began := t.started
		if began.IsZero() {
			began = time.UnixMilli(t.group)
		}
		left = max(left, run-n.now.Sub(began), time.Duration(runOver*float64(run)))
	}
	share := lateShare
	if e := n.errs[j.Workload]; e != nil {
		share = max(share, min(e.dev, 1))
	}
	return left, left + time.Duration(share*float64(max(left, run))) + lateMargin
}

// whyLate is the reason of a revision.
func whyLate(n *Node, j *job) promise.Why {
	o := n.owner
	held := o.teams[j.Team]
	switch lost := anyLost(j); {
	case o.blame.Broken(j.ID):
		return promise.Mistake
	case lost:
		return promise.MachinesLost
	case n.now.Sub(n.promises.outage) < recently || j.restored && held != nil && n.now.Sub(held.readyAt) < recently:
		return promise.Outage
	case n.now.Sub(n.promises.ranked) < recently:
		return promise.RankingChanged
	}
	return promise.EstimateWrong
}

// anyLost says that some task of the job has begun more than once without having been
// too slow.
func anyLost(j *job) bool {
	for i := range j.tasks[:j.fresh] {
		if t := &j.tasks[i]; t.try > 1 && !t.relaunched && !t.done {
			return true
		}
	}
	return false
}

// writePage writes the page that most wait for, at most one at a time.
func writePage(n *Node) {
	o := n.owner
	if o.dates.busy {
		return
	}
	open := n.users.mirror.open
	var team string
	var b *promise.Book
	var w promise.Write
	for _, t := range sortedKeys(o.dates.books) {
		x := o.dates.books[t]
		x.Sweep(func(id string) bool {
			_, there := open[id]
			return !there && o.jobs[id] == nil
		})
		// In turns, so that a team with many does not keep the others' from being told.
		if next, ok := x.Next(); ok && (b == nil || team <= o.dates.turn && t > o.dates.turn) {
			team, b, w = t, x, next
		}
	}
	if b == nil || n.now.After(n.sess.sureUntil) {
		return
	}
	o.dates.busy, o.dates.turn = true, team
	key := pagesOf(team) + strconv.Itoa(w.N)
	if !w.Known {
		readPage(n, b, key, w)
		return
	}
	op := StateOp{Kind: OpTxn, Prio: PrioStart, When: append(n.shareConds(team), Cond{key, w.Stamp}), Apply: []Change{{Key: key, Value: w.Value}}}
	n.ask(op, func(d StateDone) {
		if n.owner != o {
			return
		}
		o.dates.busy = false
		switch d.Status {
		case StateOK:
			stamp := d.Rev
			if w.Value == nil {
				stamp = 0
			}
			b.Wrote(w, stamp)
		case StateBad:
			o.dates.looked = n.now.Add(defectPause)
		case StateConflict, StateUnknown:
			// Perhaps an earlier write of this owner's, carried out late; another's
			// would have needed its own share.
			b.Doubt(w.N)
		}
	})
}

// readPage finds out on what a page is to be written.
func readPage(n *Node, b *promise.Book, key string, w promise.Write) {
	o := n.owner
	n.ask(StateOp{Kind: OpGet, Prio: PrioStart, Key: key}, func(d StateDone) {
		if n.owner != o {
			return
		}
		o.dates.busy = false
		switch d.Status {
		case StateOK:
			if _, err := promise.DecodePage(d.Items[0].Value); err != nil {
				n.complain("record", key, err.Error())
				b.Leave(w.N)
				return
			}
			b.Stood(w.N, d.Items[0].Stamp)
		case StateNotFound:
			b.Stood(w.N, 0)
		}
	})
}

// missesDate says that a job's date can't be kept any more, whenever its tasks start. Once
// it has passed that counts no longer: nobody is to wait behind others for good for it.
func missesDate(n *Node, j *job) bool {
	d := j.promised
	end := j.at.Add(d.After)
	return d.Rev > 0 && !j.Standing && n.now.Before(end) && n.now.Add(n.expects(j)).After(end)
}

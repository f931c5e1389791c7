package core

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/micahill/micahill/internal/bounds"
	"github.com/micahill/micahill/internal/ranking"
)

// rank.go joins internal/ranking: the order of work is a record in the state service
// that all controllers read with ctl/. Every record of a start names its stamp, so that
// no start that was decided under an older ranking becomes durable under a newer one. One
// that is durable leaves only while the ranking is known as of a moment ago; else it is
// read anew, and what was decided under an older one and is nowhere yet is taken back.
// Nothing here runs without Product.Ranking.

const (
	rankingKey = ctlPrefix + "ranking"
	// historyPrefix has the last rankings, by their revision modulo ranking.History.
	historyPrefix = "ranking/"
	// rankFresh is how long after a moment as of which the ranking is known a start may
	// leave: the operators' bound for one that an older ranking decided.
	rankFresh = 2 * time.Second
	// rankMargin is how much of that must be left when a start is ordered: one that
	// becomes late on its way out costs a report's answer its starts, or an order.
	rankMargin = 250 * time.Millisecond
	// rankValue is the part of a value's limit that a record of the ranking may take.
	rankValue = 0.75
	// queuePart is the part of the requests that may wait for the state service that is
	// open to submissions of the last place; that of the first is all.
	queuePart = 0.5
)

// ranks is what this controller knows of the ranking.
type ranks struct {
	// stamp is that of the record as it stands, 0 for none, also if it can't be read;
	// taken is the one under which the order was decided last, and rev the highest
	// revision seen.
	stamp, taken uint64
	rev          uint64
	// rec and table are the last good record; bad says why a later one does not count.
	rec   ranking.Record
	table *ranking.Table
	bad   string
	// asOf: nobody has set another one before then.
	asOf time.Time
	// stale: a write has failed on the stamp, and what stands there is not known yet.
	stale bool
	// held are machines with starts that wait until the ranking is known anew, and asking
	// that it is being read for that.
	held   map[*machine]bool
	asking bool
	// writing: a derived record is on its way. looked: the history was read for a good
	// record, as the one that stands can't be read.
	writing, looked bool
	// ver counts the tables, so that jobs know when the place that they remember is none.
	ver int
}

// rankItem takes in the record as a read or a watch of ctl/ brings it. What can't be
// read is told, and the last good one goes on to count.
func rankItem(n *Node, it Item) {
	if !n.set.Product.Ranking {
		return
	}
	r := &n.sess.ranks
	if it.Removed {
		// Whoever leads writes one anew.
		r.stamp, r.rec, r.table, r.bad = 0, ranking.Record{}, nil, ""
		r.ver++
		return
	}
	r.stamp = it.Stamp
	r.rev = max(r.rev, ranking.Rev(it.Value))
	rec, err := ranking.Decode(it.Value)
	if err != nil {
		r.bad = err.Error()
		n.complain("record", it.Key, r.bad)
		if r.table == nil && !r.looked {
			r.looked = true
			rankFromHistory(n)
		}
		return
	}
	r.rec, r.table, r.bad = rec, rec.Table(), ""
	r.ver++
}

// rankRead takes in that a whole read of ctl/ did not show a record.
func rankRead(n *Node, items []Item) {
	if !slices.ContainsFunc(items, func(it Item) bool { return it.Key == rankingKey }) {
		rankItem(n, Item{Key: rankingKey, Removed: true})
	}
}

// rankFromHistory looks for the last good record where this life has seen none: all
// controllers are to rank alike, also those that begin beside a damaged one.
func rankFromHistory(n *Node) {
	rankHistory(n, time.Time{}, func(recs []ranking.Record) {
		r := &n.sess.ranks
		if r.table != nil || r.stamp == 0 || len(recs) == 0 {
			return
		}
		r.rec, r.table = recs[0], recs[0].Table()
		r.ver++
		r.rev = max(r.rev, r.rec.Rev)
		n.info("an earlier ranking counts, as the newest can't be read", "revision", r.rec.Rev)
		rankAnew(n)
	})
}

// rankHistory reads the rankings that are kept, the newest first. It gives up at until,
// and has none to tell of then; a zero one is never.
func rankHistory(n *Node, until time.Time, fn func([]ranking.Record)) {
	n.ask(StateOp{Kind: OpList, Prio: PrioUser, Key: historyPrefix}, func(d StateDone) {
		if d.Status != StateOK && !until.IsZero() && n.now.After(until) {
			fn(nil)
			return
		}
		if d.Status != StateOK {
			n.after(n.jitter(retryPause), func() { rankHistory(n, until, fn) })
			return
		}
		var out []ranking.Record
		for _, it := range d.Items {
			rec, err := ranking.Decode(it.Value)
			if err != nil {
				n.complain("record", it.Key, err.Error())
				continue
			}
			out = append(out, rec)
		}
		slices.SortFunc(out, func(a, b ranking.Record) int { return cmp.Compare(b.Rev, a.Rev) })
		fn(out)
	})
}

// rankKnown notes a moment before which nobody has set a ranking that is not known here:
// that at which a read of ctl/ began, or a write which named the ranking and went through.
// Also if another one has come since: it came after that write.
func rankKnown(n *Node, at time.Time) { n.sess.ranks.asOf = later(n.sess.ranks.asOf, at) }

// rankBehind notes that a write failed on the ranking that it named: somebody has set another ranking. Until that
// has been read nothing is placed and no start written: all of it would fail.
func rankBehind(n *Node, stamp uint64) {
	if r := &n.sess.ranks; stamp == r.stamp {
		r.stale = true
		rankAsk(n)
	}
}

// rankTaken decides anew when another ranking has come.
func rankTaken(n *Node) {
	r := &n.sess.ranks
	if r.stamp == r.taken {
		return
	}
	if r.taken != 0 {
		n.promises.ranked = n.now
	}
	r.taken, r.stale = r.stamp, false
	if r.stamp != 0 && r.bad == "" {
		n.info("ranking", "revision", r.rec.Rev, "by", r.rec.By, "classes", len(r.rec.Classes))
	}
	rankAnew(n)
}

// rankAnew takes back what was decided and told to nobody, and has all that waits placed
// in the new order.
func rankAnew(n *Node) {
	o := n.owner
	if o == nil {
		return
	}
	for _, m := range o.byID {
		for _, k := range m.attemptsIf(func(t *task) bool { return !t.sent }) {
			n.gone(o.jobs[k.job], k.index, false)
		}
	}
	o.place, o.hurry = true, true
	o.prey = nil
}

// rankAsk reads the ranking anew for what waits for it.
func rankAsk(n *Node) {
	r := &n.sess.ranks
	if r.asking || !n.sess.loaded {
		return
	}
	r.asking = true
	// Without an answer nobody is called: the next look round asks again.
	n.after(retryPause, func() { r.asking = false })
	n.ctlSure(func() {
		r.stale, r.asking = false, false
		held := r.held
		r.held = nil
		if n.owner == nil {
			return
		}
		for m := range held {
			// It may be of a time as owner that is over.
			if n.owner.machines[m.id] == m {
				n.mark(m)
			}
		}
		n.owner.place = true
	})
}

// rankSweep asks again for what still waits.
func rankSweep(n *Node) {
	if r := &n.sess.ranks; r.stale || len(r.held) > 0 {
		rankAsk(n)
	}
}

// leaves says whether the start of a task on m may be ordered now. One that has left
// before is repeated as ever: held back, it could run all the same. Any other leaves
// under the ranking of now or not at all: one that is nowhere, never sent or proven
// absent, is placed anew when another ranking decided it; of one that was in an answer or
// an order of which it is not known whether it was in time, the next report tells.
func leaves(n *Node, m *machine, j *job, i int, quiet bool) bool {
	t := &j.tasks[i]
	if !n.set.Product.Ranking || t.left && !quiet {
		return true
	}
	r := &n.sess.ranks
	if t.rank != r.stamp {
		switch {
		case !t.sent || quiet:
			n.gone(j, i, false)
		case m.unacked != 0:
			// Another start stands in the way of the proof: only a higher epoch gives it.
			t.stop = stopDrain
		}
		return false
	}
	if r.stale || n.now.After(r.asOf.Add(rankFresh-rankMargin)) {
		if r.held == nil {
			r.held = map[*machine]bool{}
		}
		r.held[m] = true
		rankAsk(n)
		return false
	}
	m.fresh = true
	return true
}

// leftUnanswered notes that orders had no answer though they left: their starts may be
// carried out at any time.
func leftUnanswered(n *Node, m *machine, orders []Order) {
	for _, x := range orders {
		if t := m.attempts[taskKey{x.Job, x.Index}]; t != nil && x.Verb == Start && t.try == x.Try {
			t.left = true
		}
	}
}

// startsUntil is until when what has just been ordered for m may leave: starts that are
// nowhere else no longer than the ranking is surely known. Zero for any time.
func startsUntil(n *Node, m *machine) time.Time {
	if !m.fresh {
		return time.Time{}
	}
	return n.sess.ranks.asOf.Add(rankFresh)
}

// startsIn says whether a chunk's record makes a start durable.
func (j *job) startsIn(c *chunk) bool {
	for i := c.n * j.per; i < min((c.n+1)*j.per, j.fresh); i++ {
		if t := &j.tasks[i]; t.m != nil && !t.sent && t.stop == stopNone {
			return true
		}
	}
	return false
}

// rankOf is a job's place in the ranking, lower first; without one, by its urgency. It is
// asked for by every comparison of two jobs.
func rankOf(n *Node, j *job) int {
	if r := &n.sess.ranks; r.ver == 0 || j.rankVer != r.ver {
		j.rank, j.rankVer = rankSpec(n, &j.Spec), r.ver
	}
	return j.rank
}

func rankSpec(n *Node, s *Spec) int { return n.sess.ranks.table.Place(s.Workload, int(s.Urgency)) }

// rankHeight is the same the other way round: higher goes first, 0 is the last.
func rankHeight(n *Node, j *job) int { return n.sess.ranks.table.Places() - 1 - rankOf(n, j) }

// weightOf is the policy script's weight of a job: it counts only without a ranking, into
// which the leader's has gone.
func weightOf(n *Node, j *job) float64 {
	if n.sess.ranks.table != nil {
		return 0
	}
	return n.set.Policy.Weight[j.Workload]
}

// waitBound is how long a job may wait behind others, and the part of the room that it
// then takes before all others; 0 is the built-in default.
func waitBound(n *Node, j *job) (time.Duration, float64) {
	return n.sess.ranks.table.Bound(j.Workload, int(j.Urgency))
}

// rankHeirs puts the machines that a successor reaches first into order: those with work
// before idle ones, and of these the ones with the highest-ranked.
func rankHeirs(n *Node, ms []*machine) {
	first := map[*machine]int{}
	for _, m := range ms {
		first[m] = n.sess.ranks.table.Places()
		for k := range m.attempts {
			if n.set.Product.Ranking {
				first[m] = min(first[m], rankOf(n, n.owner.jobs[k.job]))
			}
		}
	}
	slices.SortStableFunc(ms, func(a, b *machine) int {
		return cmp.Or(cmp.Compare(b2f(len(a.attempts) == 0), b2f(len(b.attempts) == 0)), cmp.Compare(first[a], first[b]))
	})
}

// rankRefuses says that a submission is refused under overload: the later a job's place,
// the smaller the part of what may wait for the state service that is open to it.
func rankRefuses(n *Node, s *Spec) bool {
	if !n.set.Product.Ranking || s.Workload == "" {
		return false
	}
	place := float64(rankSpec(n, s)) / float64(max(1, n.sess.ranks.table.Places()-1))
	return float64(n.users.waiting) >= maxWaiting*(1-(1-queuePart)*place)
}

// rankFits says whether a record can be stored.
func rankFits(n *Node, rec ranking.Record) bool {
	size, err := bounds.JSON(rec.Encode())
	return err == nil && float64(size) <= rankValue*float64(n.set.ValueBytes)
}

// rankPuts are the changes that set a ranking: the record, and the same as history.
func rankPuts(rec ranking.Record) []Change {
	b := rec.Encode()
	return []Change{{Key: rankingKey, Value: b}, {Key: fmt.Sprint(historyPrefix, rec.Rev%ranking.History), Value: b}}
}

// rankDerive has a leader write the ranking that its script stands for, where there is
// none. From then on the record counts, not a controller's own script.
func rankDerive(n *Node) {
	r := &n.sess.ranks
	if !n.set.Product.Ranking || r.stamp != 0 || r.writing || !n.sess.loaded || n.now.After(n.sess.sureUntil) {
		return
	}
	rec, exact := ranking.Derive(n.set.Policy.Weight, func(rec ranking.Record) bool { return rankFits(n, rec) })
	if !exact {
		n.info("the policy script weighs more workloads than a ranking has room for", "kept", len(rec.Classes))
	}
	rec.Rev, rec.By, rec.At = r.rev+1, n.set.Host, n.now
	r.writing = true
	n.ask(StateOp{Kind: OpTxn, Prio: PrioSession, When: []Cond{{leadKey, n.leader.stamp}, {rankingKey, 0}}, Apply: rankPuts(rec)}, func(d StateDone) {
		pause := n.jitter(retryPause)
		if d.Status == StateBad {
			pause = defectPause
		}
		// The watch brings it, whoever wrote it.
		n.after(pause, func() { r.writing = false })
	})
}

// RankSet sets a ranking. AnyRev: whichever stands there; else only if Rev does. Until:
// whoever asked has gone by then, and nothing is written later.
type RankSet struct {
	Reply  uint64
	Record ranking.Record
	AnyRev bool
	Rev    uint64
	Until  time.Time
}

// RankQuery asks for the ranking, why a job waits, or the last rankings.
type RankQuery struct {
	Reply   uint64
	Job     string
	History bool
}

func (RankSet) command()   {}
func (RankQuery) command() {}

// RankReply answers both. Status is an HTTP status; with another than 200 Message says
// what is wrong.
type RankReply struct {
	Reply   uint64    `json:"-"`
	Status  int       `json:"-"`
	Message string    `json:"-"`
	Host    string    `json:"host"`
	Rev     uint64    `json:"rev"`
	By      string    `json:"by"`
	At      time.Time `json:"at"`
	Derived bool      `json:"derived"`
	// Bad says why a newer record does not count, and AsOfS how many seconds ago this
	// was known to be the newest, -1 for never.
	Bad     string       `json:"bad,omitempty"`
	AsOfS   float64      `json:"as_of_s"`
	Classes []RankClass  `json:"classes,omitempty"`
	Why     string       `json:"why,omitempty"`
	History []RankRecord `json:"history,omitempty"`
}

// RankRecord is one of the last rankings.
type RankRecord struct {
	Rev     uint64     `json:"rev"`
	By      string     `json:"by"`
	At      time.Time  `json:"at"`
	Derived bool       `json:"derived"`
	Classes []RankText `json:"classes"`
}

// RankText is a class as it was set, in seconds.
type RankText struct {
	Name      string   `json:"name"`
	Workloads []string `json:"workloads,omitempty"`
	Urgency   string   `json:"urgency,omitempty"`
	BoundS    float64  `json:"bound_s,omitempty"`
	Part      float64  `json:"part,omitempty"`
}

func rankText(c ranking.Class) RankText {
	return RankText{c.Name, c.Workloads, c.Urgency, c.Bound.Seconds(), c.Part}
}

// RankClass is a class with what of it is here. Those without Set are the urgencies that
// stand behind the named.
type RankClass struct {
	RankText
	Place   int  `json:"place"`
	Set     bool `json:"set"`
	Jobs    int  `json:"jobs"`
	Waiting int  `json:"waiting"`
	Live    int  `json:"live"`
}

func (RankReply) effect() {}

// rankSet writes a ranking in the place of the one that it was read over.
func rankSet(n *Node, c RankSet) {
	r := &n.sess.ranks
	refuse := func(status int, format string, args ...any) {
		n.emit(RankReply{Reply: c.Reply, Status: status, Message: fmt.Sprintf(format, args...)})
	}
	switch {
	case !n.set.Product.Ranking:
		refuse(404, "it is not switched on")
		return
	case !rankFits(n, c.Record):
		refuse(400, "the ranking is too long for the state service: want at most %.0f bytes", rankValue*float64(n.set.ValueBytes))
		return
	case n.stateDown(n.now) || !n.sess.loaded:
		refuse(503, "nothing is set: the state service does not answer")
		return
	}
	asked, over := false, false
	n.after(c.Until.Sub(n.now), func() {
		if over = true; !asked {
			refuse(503, "nothing is set: the state service does not answer")
		}
	})
	n.ctlSure(func() {
		if over {
			return
		}
		asked = true
		switch {
		case !c.AnyRev && c.Rev != r.rev:
			refuse(409, "nothing is set: revision %d stands there, not %d; look at it and give --rev %d", r.rev, c.Rev, r.rev)
			return
		}
		rec := c.Record
		rec.Rev, rec.At = r.rev+1, n.now
		n.ask(StateOp{Kind: OpTxn, Prio: PrioUser, When: []Cond{{rankingKey, r.stamp}}, Apply: rankPuts(rec)}, func(d StateDone) {
			switch d.Status {
			case StateOK:
				n.emit(RankReply{Reply: c.Reply, Status: 200, Host: n.set.Host, Rev: rec.Rev, By: rec.By, At: rec.At})
			case StateConflict:
				refuse(409, "nothing is set: somebody else set a ranking meanwhile; look at it and try again")
			case StateUnknown:
				refuse(503, "no answer: revision %d may be set or not, or soon; look before trying again", rec.Rev)
			default:
				refuse(503, "nothing is set: the state service refuses it for now")
			}
		})
	})
}

// rankQuery shows the ranking as it is known here.
func rankQuery(n *Node, c RankQuery) {
	r := &n.sess.ranks
	if !n.set.Product.Ranking {
		n.emit(RankReply{Reply: c.Reply, Status: 404, Message: "it is not switched on"})
		return
	}
	if c.History {
		rankHistory(n, n.now.Add(userPatience), func(recs []ranking.Record) {
			if len(recs) == 0 && r.stamp != 0 {
				n.emit(RankReply{Reply: c.Reply, Status: 503, Message: "the state service does not answer"})
				return
			}
			out := RankReply{Reply: c.Reply, Status: 200, Host: n.set.Host, Rev: r.rec.Rev}
			for _, x := range recs {
				h := RankRecord{Rev: x.Rev, By: x.By, At: x.At, Derived: x.Derived}
				for _, c := range x.Classes {
					h.Classes = append(h.Classes, rankText(c))
				}
				out.History = append(out.History, h)
			}
			n.emit(out)
		})
		return
	}
	out := RankReply{
		Reply: c.Reply, Status: 200, Host: n.set.Host, Rev: r.rec.Rev, By: r.rec.By, At: r.rec.At, Derived: r.rec.Derived, Bad: r.bad,
		AsOfS: max(0, n.now.Sub(r.asOf).Seconds()), Classes: rankClasses(n),
	}
	if r.asOf.IsZero() {
		out.AsOfS = -1
	}
	if c.Job != "" {
		out.Why = rankWhy(n, c.Job)
	}
	n.emit(out)
}

// rankClasses are all places with what of them this owner has.
func rankClasses(n *Node) []RankClass {
	r := &n.sess.ranks
	out := make([]RankClass, r.table.Places())
	for i := range out {
		out[i].Place = i + 1
		if i < len(r.rec.Classes) && r.table != nil {
			out[i].Set, out[i].RankText = true, rankText(r.rec.Classes[i])
		} else {
			out[i].Urgency = ranking.Urgencies[len(out)-1-i]
			out[i].Name = "(" + out[i].Urgency + ")"
		}
	}
	if n.owner == nil {
		return out
	}
	for _, j := range n.owner.jobs {
		x := &out[rankOf(n, j)]
		x.Jobs++
		x.Waiting += j.pending()
		x.Live += j.live
	}
	return out
}

// rankWhy says in a line what stands before a job and what would let it go.
func rankWhy(n *Node, id string) string {
	s, ok := n.users.final[id]
	if ok {
		return fmt.Sprintf("%s is %s", id, s)
	}
	l, open := n.users.mirror.open[id]
	if !open {
		return fmt.Sprintf("%s is not open, as far as %s has read", id, n.set.Host)
	}
	var j *job
	if n.owner != nil {
		j = n.owner.jobs[id]
	}
	if j == nil {
		if x := n.sess.book.Team(l.rec.Team); x != nil && x.Host != n.set.Host {
			return fmt.Sprintf("%s is run by %s, which has its team %s: ask there", id, x.Host, l.rec.Team)
		}
		return fmt.Sprintf("%s waits until its team %s has an owner that has read it", id, l.rec.Team)
	}
	var parts []string
	add := func(format string, args ...any) { parts = append(parts, fmt.Sprintf(format, args...)) }
	add("%s: class %s, place %d of %d; %d of %d tasks wait", id, n.sess.ranks.table.Name(j.Workload, int(j.Urgency)), rankOf(n, j)+1, n.sess.ranks.table.Places(), j.pending(), len(j.tasks))
	if j.pending() > 0 {
		rankBefore(n, j, add)
	}
	for _, why := range rankBlocks(n, j) {
		add("%s", why)
	}
	return strings.Join(parts, "; ")
}

// rankBefore tells of the jobs that wait in front of j.
func rankBefore(n *Node, j *job, add func(string, ...any)) {
	type front struct{ jobs, tasks int }
	fronts := map[int]front{}
	names := map[int]string{}
	own, found := 0, false
	for _, x := range n.order() {
		if found = x == j; found {
			break
		}
		p := rankOf(n, x)
		if p == rankOf(n, j) {
			own++
		}
		f := fronts[p]
		fronts[p] = front{f.jobs + 1, f.tasks + x.pending()}
		names[p] = n.sess.ranks.table.Name(x.Workload, int(x.Urgency))
	}
	if !found {
		return
	}
	add("number %d of its class", own+1)
	for _, p := range sortedKeys(fronts) {
		add("before it %s with %d jobs, %d tasks", names[p], fronts[p].jobs, fronts[p].tasks)
	}
}

// rankBlocks names what keeps a job's tasks from starting, other than their turn.
func rankBlocks(n *Node, j *job) []string {
	o := n.owner
	var out []string
	add := func(format string, args ...any) { out = append(out, fmt.Sprintf(format, args...)) }
	fetching, unsent := 0, 0
	for i := range j.tasks[:j.fresh] {
		switch t := &j.tasks[i]; {
		case t.m == nil || t.stop != stopNone:
		case !t.sent:
			unsent++
		case !t.seen || t.status == Fetching:
			fetching++
		}
	}
	if unsent > 0 {
		add("%d tasks have a place and wait for their record", unsent)
	}
	if fetching > 0 {
		add("%d tasks fetch their image", fetching)
	}
	switch {
	case j.cancelled:
		add("it is cancelled")
	case j.elsewhere():
		add("it is lent to %s", j.lent)
	case j.waits:
		add("it waits for %s", n.waitsFor(j.ID))
	case j.pending() == 0:
	case !j.mayStart(n.now):
		add("its home has not lately said that it may start here")
	case o.blame.Broken(j.ID):
		add("it fails on every machine and is tried one task at a time")
	case !n.withinLimit(j):
		add("its team %s is at its limit: it goes on when tasks of the team end", j.Team)
	default:
		out = append(out, rankRoom(n, j)...)
	}
	return out
}

// rankRoom says on how many machines the next task of j would fit, and else what is
// missing.
func rankRoom(n *Node, j *job) []string {
	suits, fits, zones := 0, 0, 0
	for _, m := range n.owner.byID {
		if !j.allows(m.flavour, m.zone, m.spot) || !j.Need.Fits(m.size) || !n.usable(m) {
			continue
		}
		suits++
		switch {
		case !j.Need.Fits(m.free()):
		case !j.zoneOK(m.zone):
			zones++
		default:
			fits++
		}
	}
	refused := 0
	if v := n.owner.view; v != nil {
		for k, until := range v.blocked {
			if f, ok := n.types[k.flavour]; ok && until.After(n.now) && j.allows(k.flavour, k.zone, k.spot) && j.Need.Fits(f.Size) {
				refused++
			}
		}
	}
	var out []string
	switch {
	case fits > 0 && j.Gang:
		out = append(out, fmt.Sprintf("%d machines have room for one of its tasks: it starts when all fit at once", fits))
	case fits > 0:
		out = append(out, fmt.Sprintf("%d machines have room: it goes with the next round, or others depend on them more", fits))
	case zones > 0:
		out = append(out, fmt.Sprintf("%d machines have room, in places that its same_place or apart rules out", zones))
	case suits > 0:
		out = append(out, fmt.Sprintf("%d machines suit it and are full: it goes when tasks there end, or one more is rented", suits))
	default:
		out = append(out, "no machine that is up suits it: it goes when one is rented")
	}
	if refused > 0 {
		out = append(out, fmt.Sprintf("the cloud has lately refused %d kinds that would do", refused))
	}
	return out
}

// earlier is the earlier of two times, of which a zero one is none.
func earlier(a, b time.Time) time.Time {
	if a.IsZero() || !b.IsZero() && b.Before(a) {
		return b
	}
	return a
}

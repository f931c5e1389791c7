package moves

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/micahill/micahill/internal/amount"
)

// book.go keeps the moves under way. It asks what is known of replicas and hosts anew
// each time it looks, instead of being told of events: what came late, twice or never
// leaves nothing behind in it, and a successor that has only the record goes on in the
// same way.

const (
	// IntentsMost bounds the moves of a record.
	IntentsMost = 16
	// recentMost bounds the replicas of a record that are remembered as moved lately.
	recentMost = 64
	// holdBase is how long a plan may take beyond the fetches: writes, stops with their
	// saving, and reports. holdMost is the longest that any place is held.
	holdBase = 45 * time.Second
	holdMost = 5 * time.Minute
	// dearerSlack is how much longer than planned moves may take before their plan
	// counts as too dear: rates of fetches vary by a third.
	dearerSlack = 5 * time.Second
)

// State is how far a move has come.
type State int

// The states of a move. Only the first four hold a place.
const (
	// Waiting: written or being written; its replica runs where it was.
	Waiting State = iota
	// Stopping: told to stop; not known to be gone.
	Stopping
	// Gone: surely nowhere; it may be placed at the target.
	Gone
	// Back: the target is lost, so the place that it came from is held for it.
	Back
	// Starting: placed at the target, and not seen to run.
	Starting
	// Settled: it runs there, or elsewhere, or its job is over.
	Settled
	// Dropped before the stop.
	Dropped
)

func (s State) String() string {
	return [...]string{"waiting", "stopping", "gone", "back", "starting", "settled", "dropped"}[s]
}

// Step is one move of a plan under way. Try is the attempt that is moved: a later one
// shows that the move is done, or was overtaken.
type Step struct {
	Move
	Try   uint64
	State State
	// stopped is when it was told to stop, if by this owner.
	stopped time.Time
}

// Tally sums up what one owner has seen of moves.
type Tally struct {
	Begun, Moved, Dropped int
	// Longest is the longest time from a stop until the replica was seen to run.
	Longest time.Duration
}

// Entry is a plan under way.
type Entry struct {
	// ID is unique in its team's record.
	ID   uint64
	Team string
	// For is the job that waits, and Host the place held for one task of it.
	For   string
	Need  amount.Resources
	Host  string
	Until time.Time
	// Dearest is what the rest of the moves may cost before the plan is dropped.
	Dearest time.Duration
	Steps   []Step
	// Served: the job that waited has its place, or can't have this one; nothing is
	// held for it any more.
	Served bool
	// ver is the version of the record in which it came, and durable that one as new
	// is known to be written.
	ver     uint64
	durable bool
	// waits: a host of it is still to be heard of.
	waits bool
}

// Hold is room on a host that only one task may take, or any one of a job (Index -1).
type Hold struct {
	Host  string
	Job   string
	Index int
	Need  amount.Resources
	Until time.Time
	// Entry is the plan for which a job's place is held.
	Entry *Entry
}

// Task is what the owner's books say of a replica now.
type Task struct {
	// Known: its job is in the books, and neither cancelled nor over.
	Known bool
	// Host is where its attempt Try is or may be; "" when it surely is nowhere.
	Host    string
	Try     uint64
	Running bool
	// Stopping: it is being stopped, for whatever reason.
	Stopping bool
}

// Facts are the owner's books.
type Facts interface {
	Task(job string, index int) Task
	// Up counts a job's replicas that run and are not being stopped, and of all.
	Up(job string) (up, of int)
	// Waiting counts a job's tasks that wait for a place; 0 when it is over, or
	// another owner's.
	Waiting(job string) int
	// Free is what tasks leave of a host, places held not taken off, and whether tasks
	// may be placed there at all.
	Free(host string) (amount.Resources, bool)
	// Unknown says that nothing has been heard of a host since a takeover, though it
	// most likely will be.
	Unknown(host string) bool
	// Down is how long a replica of the job would be down, moved there now.
	Down(job, host string) time.Duration
	// Yields says that a job's only replica may be stopped for the other job.
	Yields(job, other string) bool
}

// Stop is a replica that is to be stopped now, saving its work.
type Stop struct {
	Job   string
	Index int
	Try   uint64
}

// Limits are what a new plan must keep to.
type Limits struct {
	// Bytes bounds the record, as JSON.
	Bytes int
	// Part is the part of the machines of a kind on which replicas may be moving, one
	// at least. Kind names a host's kind and says how many such there are.
	Part float64
	Kind func(host string) (string, int)
}

type replica struct {
	job   string
	index int
}

// shelf is a team's record.
type shelf struct {
	recent map[replica]time.Time
	// ver rises with each change, and saved is the one known to be written.
	ver, saved uint64
	since      time.Time
}

// Book is the moves under way of one owner.
type Book struct {
	// Again is how long a replica that was moved is left alone.
	Again time.Duration
	// Bytes bounds a record that is taken up, as JSON; 0 for not at all.
	Bytes   int
	Tally   Tally
	entries []*Entry
	shelves map[string]*shelf
}

// NewBook makes an empty book.
func NewBook(again time.Duration) *Book {
	return &Book{Again: again, shelves: map[string]*shelf{}}
}

func (b *Book) shelf(team string) *shelf {
	s := b.shelves[team]
	if s == nil {
		s = &shelf{recent: map[replica]time.Time{}}
		b.shelves[team] = s
	}
	return s
}

func (b *Book) changed(team string, now time.Time) {
	s := b.shelf(team)
	if s.ver == s.saved {
		s.since = now
	}
	s.ver++
}

// Entries are the plans under way, in order. They are not to be changed.
func (b *Book) Entries() []*Entry { return b.entries }

// Rested says that a replica is not on the move and was not moved lately.
func (b *Book) Rested(now time.Time, job string, index int) bool {
	for _, s := range b.shelves {
		if now.Before(s.recent[replica{job, index}]) {
			return false
		}
	}
	return !b.underWay(job, index)
}

// underWay says that a plan has a move of the replica.
func (b *Book) underWay(job string, index int) bool {
	return slices.ContainsFunc(b.entries, func(e *Entry) bool {
		return slices.ContainsFunc(e.Steps, func(s Step) bool { return s.Job == job && s.Index == index })
	})
}

// For counts the places held for tasks of a job that wait.
func (b *Book) For(job string) int {
	k := 0
	for _, e := range b.entries {
		if e.For == job && !e.Served {
			k++
		}
	}
	return k
}

// Begin takes a plan up; tries are the attempts that its moves are of, in order. Its
// places are held from now on, and nothing is stopped before Saved. It says what stands
// against the plan, "" if nothing does.
func (b *Book) Begin(now time.Time, team string, w *Want, p Plan, dearest time.Duration, tries []uint64, l Limits) string {
	if len(p.Moves) == 0 || len(p.Moves) > MovesMost || len(tries) != len(p.Moves) {
		return "it has no moves, or too many"
	}
	id, intents := uint64(now.UnixMilli()), 0
	for _, e := range b.entries {
		if e.Team == team {
			intents += len(e.Steps)
			id = max(id, e.ID+1)
		}
	}
	if intents+len(p.Moves) > IntentsMost {
		return "too many moves are under way"
	}
	s := b.shelf(team)
	if len(s.recent)+intents+len(p.Moves) > recentMost {
		return "too many replicas were moved lately"
	}
	e := &Entry{ID: id, Team: team, For: w.Job, Need: w.Need, Host: p.Host, Dearest: dearest}
	var down time.Duration
	for i, m := range p.Moves {
		if !b.Rested(now, m.Job, m.Index) || slices.ContainsFunc(e.Steps, func(s Step) bool { return s.Job == m.Job && s.Index == m.Index }) {
			return "a replica of it is on the move, or was lately"
		}
		e.Steps = append(e.Steps, Step{Move: m, Try: tries[i]})
		down += m.Down
	}
	if b.crowded(e, l) {
		return "too many machines of a kind have moves"
	}
	e.Until = now.Add(min(holdBase+2*down, holdMost))
	b.add(e)
	if b.bytes(team) > l.Bytes {
		b.entries = slices.DeleteFunc(b.entries, func(x *Entry) bool { return x == e })
		return "the record is full"
	}
	b.changed(team, now)
	e.ver = s.ver
	b.Tally.Begun++
	return ""
}

func (b *Book) add(e *Entry) {
	b.entries = append(b.entries, e)
	slices.SortFunc(b.entries, func(a, b *Entry) int { return cmp.Or(cmp.Compare(a.ID, b.ID), cmp.Compare(a.Team, b.Team)) })
}

// crowded says that with the entry replicas would be stopped on more machines of a kind
// than may be.
func (b *Book) crowded(e *Entry, l Limits) bool {
	busy := map[string]map[string]bool{}
	kinds := map[string]int{}
	note := func(host string) string {
		kind, count := l.Kind(host)
		if busy[kind] == nil {
			busy[kind] = map[string]bool{}
		}
		busy[kind][host], kinds[kind] = true, count
		return kind
	}
	for _, x := range b.entries {
		for i := range x.Steps {
			if s := &x.Steps[i]; s.State < Starting {
				note(s.From)
			}
		}
	}
	before := map[string]int{}
	for kind, hosts := range busy {
		before[kind] = len(hosts)
	}
	for i := range e.Steps {
		// One plan at a time may always be, however small the pool.
		if kind := note(e.Steps[i].From); before[kind] > 0 && len(busy[kind]) > int(math.Ceil(l.Part*float64(kinds[kind]))) {
			return true
		}
	}
	return false
}

// Holds are the places held, in order.
func (b *Book) Holds() []Hold {
	var out []Hold
	for _, e := range b.entries {
		for i := range e.Steps {
			switch s := &e.Steps[i]; s.State {
			case Waiting, Stopping, Gone:
				out = append(out, Hold{Host: s.To, Job: s.Job, Index: s.Index, Need: s.Need, Until: e.Until})
			case Back:
				out = append(out, Hold{Host: s.From, Job: s.Job, Index: s.Index, Need: s.Need, Until: e.Until})
			}
		}
		if !e.Served {
			out = append(out, Hold{Host: e.Host, Job: e.For, Index: -1, Need: e.Need, Until: e.Until, Entry: e})
		}
	}
	return out
}

// Look brings the moves in step with the books and says which replicas are to be
// stopped now.
func (b *Book) Look(now time.Time, f Facts) []Stop {
	var stops []Stop
	served, stopped := map[string]int{}, map[string]int{}
	// All of them first: what goes back takes room, which no stop may count on.
	for _, e := range slices.Clone(b.entries) {
		if !now.Before(e.Until) {
			// Whatever it still waits for goes the ordinary way.
			b.drop(now, e)
			continue
		}
		if e.waits = e.unknown(f); e.waits {
			continue
		}
		for i := range e.Steps {
			b.follow(now, e, &e.Steps[i], f)
		}
		if !e.Served {
			served[e.For]++
			e.Served = served[e.For] > f.Waiting(e.For) || e.hopeless(f)
		}
	}
	for _, e := range slices.Clone(b.entries) {
		if e.waits {
			continue
		}
		over := e.Served
		for i := range e.Steps {
			s := &e.Steps[i]
			switch {
			case s.State != Waiting:
				over = over && s.State >= Settled
			case e.Served:
				s.State = Dropped
				b.Tally.Dropped++
			case e.durable && b.mayStop(e, s, f, stopped[s.Job]):
				s.State, s.stopped = Stopping, now
				stopped[s.Job]++
				b.moved(now, e.Team, s)
				stops = append(stops, Stop{s.Job, s.Index, s.Try})
			}
		}
		if over {
			b.drop(now, e)
		}
	}
	for team, s := range b.shelves {
		for k, until := range s.recent {
			if !now.Before(until) {
				delete(s.recent, k)
				if len(s.recent) == 0 {
					b.changed(team, now)
				}
			}
		}
	}
	return stops
}

// unknown says that a host of the plan may still be heard of after a takeover: until
// then its places are held, and nothing is decided.
func (e *Entry) unknown(f Facts) bool {
	return !e.Served && f.Unknown(e.Host) || slices.ContainsFunc(e.Steps, func(s Step) bool {
		return s.State < Starting && (f.Unknown(s.From) || f.Unknown(s.To))
	})
}

// follow takes in what has become of a replica.
func (b *Book) follow(now time.Time, e *Entry, s *Step, f Facts) {
	was := s.State
	if was == Settled || was == Dropped {
		return
	}
	t := f.Task(s.Job, s.Index)
	switch {
	case !t.Known:
		s.State = Settled
	case t.Host == "" && t.Try > s.Try:
		// Placed since, and lost again: no longer this move's business.
		s.State = Settled
	case t.Host == "" && was != Back && b.room(s, s.To, f, nil):
		s.State = Gone
	case t.Host == "":
		// Its target is lost, or has no room yet for one that was lost unasked. It is
		// not to wait for it: back, if that is still possible, to where the plan's
		// other job is then not to come.
		if s.State = Back; !b.room(s, s.From, f, e) {
			s.State = Settled
		}
	case t.Try > s.Try && t.Host == s.To && !t.Running:
		s.State = Starting
	case t.Try > s.Try:
		s.State = Settled
	case t.Try < s.Try || t.Host != s.From:
		// A record that doesn't fit the books.
		s.State = Settled
	case t.Stopping:
		s.State = Stopping
	}
	if was == Waiting && s.State != Waiting {
		b.moved(now, e.Team, s)
	}
	if s.State == Settled && t.Running && t.Host == s.To && !s.stopped.IsZero() {
		b.Tally.Moved++
		b.Tally.Longest = max(b.Tally.Longest, now.Sub(s.stopped))
	}
}

// room says whether a host has room for a replica beside what is held there for others,
// but for the job that a plan without is for.
func (b *Book) room(s *Step, host string, f Facts, without *Entry) bool {
	free, ok := f.Free(host)
	if !ok {
		return false
	}
	for _, h := range b.Holds() {
		if h.Host == host && (h.Job != s.Job || h.Index != s.Index) && (h.Entry == nil || h.Entry != without) {
			free = free.AddScaled(h.Need, -1)
		}
	}
	return s.Need.Fits(free)
}

func usable(f Facts, host string) bool {
	_, ok := f.Free(host)
	return ok
}

// hopeless says that a plan cannot end well any more, or costs more than what it was
// weighed against.
func (e *Entry) hopeless(f Facts) bool {
	if !usable(f, e.Host) {
		return true
	}
	var down, planned time.Duration
	for i := range e.Steps {
		s := &e.Steps[i]
		switch {
		case s.State == Back || s.State == Dropped:
			return true
		case s.State == Waiting && !usable(f, s.To):
			return true
		case s.State == Waiting:
			down += f.Down(s.Job, s.To)
			planned += s.Down
		}
	}
	return down > max(e.Dearest, planned)+dearerSlack
}

// mayStop says that a replica may be stopped now: it runs, its place is free, and its
// job can do without it.
func (b *Book) mayStop(e *Entry, s *Step, f Facts, stopped int) bool {
	t := f.Task(s.Job, s.Index)
	if !t.Running || t.Stopping {
		return false
	}
	up, of := f.Up(s.Job)
	if of == 1 && !f.Yields(s.Job, e.For) || of > 1 && 2*(up-stopped-1) < of {
		return false
	}
	return b.room(s, s.To, f, nil)
}

// Received notes that the job of a plan got its place.
func (b *Book) Received(e *Entry) { e.Served = true }

func (b *Book) moved(now time.Time, team string, s *Step) {
	b.shelf(team).recent[replica{s.Job, s.Index}] = now.Add(b.Again)
}

func (b *Book) drop(now time.Time, e *Entry) {
	b.entries = slices.DeleteFunc(b.entries, func(x *Entry) bool { return x == e })
	b.changed(e.Team, now)
}

// Forget drops what is under way for a team that goes to another owner, who reads of it.
func (b *Book) Forget(team string) {
	b.entries = slices.DeleteFunc(b.entries, func(e *Entry) bool { return e.Team == team })
	delete(b.shelves, team)
}

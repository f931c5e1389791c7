package core

import (
	"slices"
	"time"

	"github.com/micahill/micahill/internal/moves"
)

// models.go carries out moves of replicas: it shows the owner's books to internal/moves,
// holds places, stops replicas, and starts them at their targets. A move decides where,
// never whether: a replica starts anew only on proof and after its record, like any task.

// movePrefix has a record for each team with moves under way.
const movePrefix = "move/"

// moving is an owner's moves.
type moving struct {
	book *moves.Book
	recs map[string]*moveRec
	// held are the machines with places held, and pinned the tasks that wait for theirs.
	held   []*machine
	pinned map[taskKey]time.Time
	// restored is when records of a former owner were last taken up.
	restored time.Time
	// between is what owners need of each other.
	between between
	// misfits are jobs of which a task waits and fits nowhere.
	misfits map[string]*misfit
	wrote   time.Time
	// told is when the log was last told of what is under way.
	told time.Time
}

// moveRec is a team's record as it stands in the state service.
type moveRec struct {
	stamp uint64
	busy  bool
	// refused is the version that the state service called malformed.
	refused uint64
}

// moveKey is the key of a team's record.
func moveKey(team string) string { return movePrefix + teamKey(team) }

// movesOf is an owner's moves, nil where models are not switched on.
func movesOf(n *Node) *moving {
	o := n.owner
	if !n.set.Product.Models || o == nil {
		return nil
	}
	if o.moves == nil {
		o.moves = &moving{
			book: moves.NewBook(n.set.Product.MoveAgain), recs: map[string]*moveRec{},
			pinned: map[taskKey]time.Time{}, misfits: map[string]*misfit{}, between: between{refused: map[kind]time.Time{}},
		}
	}
	o.moves.book.Bytes = n.moveBytes()
	return o.moves
}

// moveBytes bounds the record of a team's moves, as JSON.
func (n *Node) moveBytes() int { return n.set.ValueBytes * 3 / 4 }

// readMoves reads the records of moves under way, together with the teams' others, and
// gives them to then.
func readMoves(n *Node, then func([]Item)) {
	if !n.set.Product.Models {
		then(nil)
		return
	}
	gen := n.owner.gen
	readAll(n, movePrefix, PrioSession, func() bool { return n.owner != nil && n.owner.gen == gen }, then)
}

// restoreMoves takes up what former owners had under way for teams that have come.
func restoreMoves(n *Node, teams []string, items []Item) {
	mv := movesOf(n)
	if mv == nil {
		return
	}
	for _, team := range teams {
		rec := &moveRec{}
		mv.book.Forget(team)
		mv.recs[team] = rec
		for _, it := range items {
			if it.Key != moveKey(team) {
				continue
			}
			rec.stamp = it.Stamp
			if err := mv.book.Restore(n.now, team, it.Value); err != nil {
				// Its replicas run, or start on the ordinary path.
				n.complain("record", it.Key, err.Error())
			}
		}
	}
	mv.restored = n.now
	holdPlaces(n, mv)
}

// forgetMoves lets go of what is under way for a team that is another owner's now.
func forgetMoves(n *Node, team string) {
	if mv := n.owner.moves; mv != nil {
		mv.book.Forget(team)
		delete(mv.recs, team)
		holdPlaces(n, mv)
	}
}

// movesTick looks after moves under way, writes them, and plans others.
func movesTick(n *Node) {
	mv := movesOf(n)
	if mv == nil {
		return
	}
	lookAtMoves(n, mv)
	if n.now.After(n.sess.sureUntil) {
		return
	}
	planMoves(n, mv)
	writeMoves(n, mv)
}

// lookAtMoves stops the replicas whose time has come. Nothing is stopped by an owner who
// can't be sure that it is one.
func lookAtMoves(n *Node, mv *moving) {
	if n.now.After(n.sess.sureUntil) {
		return
	}
	for _, s := range mv.book.Look(n.now, moveFacts{n}) {
		j := n.owner.jobs[s.Job]
		t := &j.tasks[s.Index]
		n.info("replica moves", "job", s.Job, "task", s.Index, "from", t.m.id)
		t.stop = stopDrain
		n.mark(t.m)
	}
	holdPlaces(n, mv)
}

// holdPlaces keeps others off the places that are held, and the tasks that these are
// held for off others.
func holdPlaces(n *Node, mv *moving) {
	o := n.owner
	for _, m := range mv.held {
		m.held, m.gift = Resources{}, false
	}
	mv.held = mv.held[:0]
	pins := map[taskKey]time.Time{}
	for _, h := range mv.book.Holds() {
		if m := o.machines[h.Host]; m != nil {
			if m.held == (Resources{}) {
				mv.held = append(mv.held, m)
			}
			m.held = m.held.Plus(h.Need, 1)
			m.gift = m.gift || isGift(h.Job)
		}
		if h.Index >= 0 {
			pins[taskKey{h.Job, h.Index}] = h.Until
		}
	}
	for k, until := range mv.pinned {
		if _, still := pins[k]; still {
			continue
		}
		if j := o.jobs[k.job]; j != nil && k.index < len(j.tasks) && j.tasks[k.index].notBefore.Equal(until) {
			j.tasks[k.index].notBefore = time.Time{}
			o.place = true
		}
	}
	for k, until := range pins {
		if j := o.jobs[k.job]; j != nil && k.index < len(j.tasks) {
			j.tasks[k.index].notBefore = until
		}
	}
	mv.pinned = pins
}

// placeHeld starts what has its place held, there.
func placeHeld(n *Node) {
	mv := n.owner.moves
	if mv == nil || len(mv.book.Entries()) == 0 {
		return
	}
	lookAtMoves(n, mv)
	placed := false
	for _, h := range mv.book.Holds() {
		j, m := n.owner.jobs[h.Job], n.owner.machines[h.Host]
		if j == nil || m == nil || j.pending() == 0 || !j.mayStart(n.now) || j.notBefore.After(n.now) || !n.usable(m) {
			continue
		}
		// What is held for others is taken off, what is held for it is not.
		if !j.Need.Fits(m.free().Plus(h.Need, 1)) || !j.allows(m.flavour, m.zone, m.spot) || !j.zoneOK(m.zone) || !n.withinLimit(j) {
			continue
		}
		i := takeHeld(n, mv, j, h.Index, m)
		if i < 0 {
			continue
		}
		if h.Entry != nil {
			mv.book.Received(h.Entry)
		}
		begin(n, j, i, m)
		placed = true
	}
	if placed {
		lookAtMoves(n, mv)
	}
}

// takeHeld takes a task out of those that wait: the one that a place on m is held for,
// or any one of its job's; -1 when it does not wait.
func takeHeld(n *Node, mv *moving, j *job, index int, m *machine) int {
	for k, i := range j.again {
		t := &j.tasks[i]
		_, pinned := mv.pinned[taskKey{j.ID, i}]
		if index >= 0 && i == index || index < 0 && !pinned && !t.notBefore.After(n.now) && !t.shuns(m.id) {
			j.again = slices.Delete(j.again, k, k+1)
			return i
		}
	}
	if index < 0 && j.fresh < len(j.tasks) {
		j.fresh++
		return j.fresh - 1
	}
	return -1
}

// movesDown is what replicas of the team that are down for their move will take again:
// it stays theirs within the team's limit.
func movesDown(n *Node, j *job) Resources {
	var sum Resources
	mv := n.owner.moves
	if mv == nil {
		return sum
	}
	for k := range mv.pinned {
		if o := n.owner.jobs[k.job]; o != nil && o != j && o.Team == j.Team && k.index < len(o.tasks) && o.tasks[k.index].m == nil {
			sum = sum.Plus(o.Need, 1)
		}
	}
	return sum
}

// spokenFor counts the waiting tasks of a job that have a place held, or for which moves
// are being thought about: no machine is rented for them meanwhile.
func spokenFor(n *Node, j *job) int {
	mv := n.owner.moves
	if mv == nil {
		return 0
	}
	k := mv.book.For(j.ID)
	for _, i := range j.again {
		if _, pinned := mv.pinned[taskKey{j.ID, i}]; pinned {
			k++
		}
	}
	if x := mv.misfits[j.ID]; x != nil && x.tried.IsZero() && n.now.Sub(x.since) < 2*movesAfter {
		return j.pending()
	}
	return k
}

// moveFacts shows the owner's books to the book of moves.
type moveFacts struct{ n *Node }

// replicaOf is a replica that may be moved at all, nil for other tasks.
func replicaOf(n *Node, id string, index int) (*job, *task) {
	j := n.owner.jobs[id]
	if j == nil || !j.Standing || j.Gang || j.cancelled || j.ending || j.elsewhere() || j.guest != "" || index >= len(j.tasks) {
		return nil, nil
	}
	return j, &j.tasks[index]
}

func (f moveFacts) Task(id string, index int) moves.Task {
	j, t := replicaOf(f.n, id, index)
	if j == nil {
		return moves.Task{}
	}
	out := moves.Task{Known: true, Try: t.try, Running: t.isRunning(), Stopping: t.stop != stopNone}
	if t.m != nil {
		out.Host = t.m.id
	}
	return out
}

func (f moveFacts) Up(id string) (int, int) {
	j := f.n.owner.jobs[id]
	if j == nil {
		return 0, 0
	}
	up := 0
	for i := range j.tasks[:j.fresh] {
		if t := &j.tasks[i]; t.isRunning() && t.stop == stopNone && !f.n.silent(t.m) {
			up++
		}
	}
	return up, len(j.tasks)
}

func (f moveFacts) Waiting(id string) int {
	if isGift(id) {
		return int(b2f(f.n.owner.moves.asked(f.n.now, id) != nil))
	}
	j := f.n.owner.jobs[id]
	if j == nil {
		return 0
	}
	return j.pending()
}

func (f moveFacts) Free(host string) (Resources, bool) {
	m := f.n.owner.machines[host]
	if m == nil {
		return Resources{}, false
	}
	return m.free().Plus(m.held, 1), f.n.usable(m)
}

func (f moveFacts) Unknown(host string) bool {
	n := f.n
	if _, mine := n.mine(host); !mine || n.returned[host] {
		return false
	}
	m := n.owner.machines[host]
	return (m == nil || !m.heard) && n.now.Sub(later(n.owner.readyAt, n.owner.moves.restored)) < 3*n.longestReport()
}

func (f moveFacts) Down(id, host string) time.Duration {
	j, m := f.n.owner.jobs[id], f.n.owner.machines[host]
	if j == nil || m == nil {
		return 0
	}
	return f.n.fetchTime(m, j)
}

func (f moveFacts) Yields(id, other string) bool {
	j, o := f.n.owner.jobs[id], f.n.owner.jobs[other]
	if h := f.n.owner.moves.asked(f.n.now, other); h != nil {
		o = &job{Spec: h.spec()}
	}
	return j != nil && o != nil && yields(f.n, j, o)
}

// yields says that a job's only replica may be stopped to make room for another job:
// one that goes before it by the ranking, or stands beside it and is larger.
func yields(n *Node, j, other *job) bool {
	switch a, b := rankOf(n, j), rankOf(n, other); {
	case a != b:
		return b < a
	case other.Need.GPU != j.Need.GPU:
		return other.Need.GPU > j.Need.GPU
	}
	return other.Need.CPU > j.Need.CPU
}

// MoveStatus is a move under way: why, where to, and how long the replica is expected to
// be down.
type MoveStatus struct {
	Job   string  `json:"job"`
	Task  int     `json:"task"`
	From  string  `json:"from"`
	To    string  `json:"to"`
	For   string  `json:"for"`
	State string  `json:"state"`
	DownS float64 `json:"expected_down_s"`
	EndsS float64 `json:"given_up_in_s"`
}

// MovesStatus sums up what this owner has seen of moves.
type MovesStatus struct {
	Plans    int          `json:"plans"`
	Moved    int          `json:"moved"`
	Dropped  int          `json:"dropped"`
	LongestS float64      `json:"longest_down_s"`
	Now      []MoveStatus `json:"now,omitempty"`
}

// movesStatus is nil where models are not switched on.
func movesStatus(n *Node) *MovesStatus {
	if n.owner == nil || n.owner.moves == nil {
		return nil
	}
	b := n.owner.moves.book
	s := &MovesStatus{Plans: b.Tally.Begun, Moved: b.Tally.Moved, Dropped: b.Tally.Dropped, LongestS: b.Tally.Longest.Seconds()}
	for _, e := range b.Entries() {
		for i := range e.Steps {
			x := &e.Steps[i]
			s.Now = append(s.Now, MoveStatus{
				Job: x.Job, Task: x.Index, From: x.From, To: x.To, For: e.For, State: x.State.String(),
				DownS: x.Down.Seconds(), EndsS: e.Until.Sub(n.now).Seconds(),
			})
		}
	}
	return s
}

// Package ownership is what two controllers tell each other when a job's owner and
// the owner of the machine that an attempt of it runs on are not the same: after a
// team or a machine has moved, what runs goes on where it is.
//
// Only the machine's owner speaks with the machine; only the job's owner decides
// about the attempt. The job's owner asks, again and again, for each of its attempts
// elsewhere, and says whether it wants it kept or stopped, or has settled it. The
// machine's owner tells what it knows. Nothing begins by this: an attempt is started
// by whoever owns both, so what is told of it only ever goes one way, from running to
// gone, and words that are lost, late or doubled do no harm. A word is tied to the
// epoch under which the machine is owned: one from before the machine came back to
// whoever may start there is not heeded.
package ownership

import (
	"slices"
	"strings"
	"time"
)

const (
	// memory is how long an attempt is kept in mind that nobody asks for any more:
	// its owner may have ended, and a successor asks only when it has read all.
	memory = time.Minute
	// again is how often the same is told once more.
	again = time.Second
	// tellMost bounds the attempts in one message to a controller.
	tellMost = 2000
)

// Attempt names one attempt of a task. An attempt goes to one machine, once.
type Attempt struct {
	Job   string
	Index int
	Try   uint64
}

func (a Attempt) compare(b Attempt) int {
	if c := strings.Compare(a.Job, b.Job); c != 0 {
		return c
	}
	if a.Index != b.Index {
		return a.Index - b.Index
	}
	return int(a.Try) - int(b.Try)
}

// Want is what a job's owner wants of an attempt.
type Want uint8

// Keep it as it is; stop it; its end is durable, so that it may be cleared away.
const (
	Keep Want = iota
	Stop
	Settled
)

// State is what is known of an attempt.
type State uint8

// Unknown: the machine has not been heard of, or what it said is no proof. Gone:
// proven to be nowhere.
const (
	Unknown State = iota
	Fetching
	Running
	Flushing
	Ended
	Gone
)

// Asked is an attempt and what its owner wants.
type Asked struct {
	Attempt
	Want Want
	// WindDown goes with Stop: how long it may take to save.
	WindDown time.Duration
}

// Ask is what a job's owner says of its attempts on a machine of another's.
type Ask struct {
	Machine  string
	Attempts []Asked
}

// Told is what is known of an attempt. Cause says how it ended.
type Told struct {
	Attempt
	State State
	Cause string
}

// Tell is what a machine's owner says, under the epoch by which it owns it.
type Tell struct {
	Machine  string
	Epoch    uint64
	Zone     string
	Attempts []Told
}

// Piece is one attempt in the machine's newest report.
type Piece struct {
	Attempt
	State State
	Cause string
}

// Registry is a machine owner's account of the attempts on its machines whose jobs
// belong to others. The zero value is empty and ready.
type Registry struct {
	machines map[string]*held
}

type held struct {
	asked map[Attempt]*asked
	// pieces are those of the newest report, and since when each is known.
	pieces map[Attempt]*piece
	// gone are attempts that are proven to be nowhere.
	gone map[Attempt]time.Time
	// told is when this was last told, and news that something has changed since.
	told time.Time
	news bool
}

type asked struct {
	Asked
	from string
	at   time.Time
}

type piece struct {
	Piece
	since time.Time
}

func (d *Registry) held(machine string) *held {
	if d.machines == nil {
		d.machines = map[string]*held{}
	}
	h := d.machines[machine]
	if h == nil {
		h = &held{asked: map[Attempt]*asked{}, pieces: map[Attempt]*piece{}, gone: map[Attempt]time.Time{}}
		d.machines[machine] = h
	}
	return h
}

// Ask takes in what a job's owner asks. It says whether anything is to be stopped
// or cleared that was not before.
func (d *Registry) Ask(now time.Time, from string, a Ask) bool {
	h := d.held(a.Machine)
	changed := false
	for _, x := range a.Attempts {
		old := h.asked[x.Attempt]
		if old == nil {
			old = &asked{}
			h.asked[x.Attempt] = old
			h.news = true
		}
		if old.Want != Keep && x.Want == Keep {
			// A stop stands: what comes later was sent earlier, or its sender has
			// forgotten. A settled attempt never lives again.
			x.Want, x.WindDown = old.Want, old.WindDown
		}
		changed = changed || x.Want != old.Want
		*old = asked{x, from, now}
	}
	return changed
}

// Saw takes in the newest report of a machine, all of it; own says which jobs the
// machine's owner takes for its own. What is asked for counts as there though the
// owner believes that it is its own: it may not have read yet that the job has gone to
// another. proof: nothing that was sent under an earlier epoch can be executed there
// any more, and no start under the current one is on its way, so that what is not
// listed is nowhere.
func (d *Registry) Saw(now time.Time, machine string, pieces []Piece, own func(job string) bool, proof bool) {
	h := d.machines[machine]
	if h == nil {
		if !slices.ContainsFunc(pieces, func(p Piece) bool { return !own(p.Job) }) {
			return
		}
		h = d.held(machine)
	}
	seen := make(map[Attempt]*piece, len(pieces))
	for _, p := range pieces {
		if own(p.Job) && h.asked[p.Attempt] == nil {
			continue
		}
		x := h.pieces[p.Attempt]
		if x == nil {
			x = &piece{since: now}
			h.news = true
		}
		h.news = h.news || x.State != p.State
		x.Piece = p
		seen[p.Attempt] = x
	}
	h.pieces = seen
	if !proof {
		return
	}
	for a := range h.asked {
		if seen[a] == nil && h.gone[a].IsZero() {
			h.gone[a], h.news = now, true
		}
	}
}

// Nowhere notes that one attempt is proven to be nowhere.
func (d *Registry) Nowhere(now time.Time, machine string, a Attempt) {
	if h := d.machines[machine]; h != nil && h.asked[a] != nil && h.gone[a].IsZero() {
		h.gone[a], h.news = now, true
	}
}

// Lost notes that everything on the machine is proven gone, but for what it has begun
// since.
func (d *Registry) Lost(now time.Time, machine string, since func(Attempt) bool) {
	h := d.machines[machine]
	if h == nil {
		return
	}
	for a := range h.asked {
		if h.gone[a].IsZero() && !since(a) {
			h.gone[a], h.news = now, true
		}
	}
	clear(h.pieces)
}

// Count is how many attempts of others are, or may yet begin, on a machine.
func (d *Registry) Count(machine string) int { return len(d.Living(machine)) }

// Doubt forgets what was seen of a machine under an epoch that has passed: it may have
// been another's in between, who has started there what was not there before. What is
// asked for stands.
func (d *Registry) Doubt(machine string) {
	if h := d.machines[machine]; h != nil {
		clear(h.gone)
		clear(h.pieces)
	}
}

// Drop forgets a machine that now belongs to another.
func (d *Registry) Drop(machine string) { delete(d.machines, machine) }

// Machines names the machines with anything of others on them or asked for there.
func (d *Registry) Machines() []string {
	out := make([]string, 0, len(d.machines))
	for id := range d.machines {
		out = append(out, id)
	}
	slices.Sort(out)
	return out
}

// Unseen says that something is asked for on a machine that has not been reported and
// is not known to be gone.
func (d *Registry) Unseen(machine string) bool {
	h := d.machines[machine]
	if h == nil {
		return false
	}
	for a := range h.asked {
		if h.pieces[a] == nil && h.gone[a].IsZero() {
			return true
		}
	}
	return false
}

// Living are the attempts that take room on a machine, in order: those reported and
// not ended, and those asked for that may yet begin there.
func (d *Registry) Living(machine string) []Attempt {
	h := d.machines[machine]
	if h == nil {
		return nil
	}
	var out []Attempt
	for a, p := range h.pieces {
		if p.State != Ended {
			out = append(out, a)
		}
	}
	for a, x := range h.asked {
		if h.pieces[a] == nil && h.gone[a].IsZero() && x.Want != Settled {
			out = append(out, a)
		}
	}
	slices.SortFunc(out, Attempt.compare)
	return out
}

// Since is when a piece was first reported, and what its job's owner wants of it; ok
// is false when nobody has asked for it.
func (d *Registry) Since(machine string, a Attempt) (since time.Time, want Asked, ok bool) {
	h := d.machines[machine]
	if h == nil {
		return time.Time{}, Asked{}, false
	}
	if p := h.pieces[a]; p != nil {
		since = p.since
	}
	if x := h.asked[a]; x != nil {
		return since, x.Asked, true
	}
	return since, Asked{}, false
}

// About tells of a machine whatever its owner adds to it: epoch and zone, and who
// owns the job of an attempt that nobody asks for; "" for nobody else.
type About struct {
	Epoch uint64
	Zone  string
	Owner func(job string) string
}

// Tells are the messages due, by controller. What has changed is told at once, the
// rest again every second, so that a lost word is said once more.
func (d *Registry) Tells(now time.Time, about func(machine string) (About, bool)) map[string][]Tell {
	var out map[string][]Tell
	count := map[string]int{}
	for _, id := range d.Machines() {
		h := d.machines[id]
		for a, x := range h.asked {
			if now.Sub(x.at) > memory {
				delete(h.asked, a)
				delete(h.gone, a)
			}
		}
		if len(h.asked) == 0 && len(h.pieces) == 0 {
			delete(d.machines, id)
			continue
		}
		if !h.news && now.Sub(h.told) < again {
			continue
		}
		ab, ok := about(id)
		if !ok {
			continue
		}
		h.news, h.told = false, now
		by := map[string][]Told{}
		for a, x := range h.asked {
			t := Told{Attempt: a}
			if p := h.pieces[a]; p != nil {
				t.State, t.Cause = p.State, p.Cause
			} else if !h.gone[a].IsZero() {
				t.State = Gone
			}
			by[x.from] = append(by[x.from], t)
		}
		for a, p := range h.pieces {
			if h.asked[a] == nil {
				if who := ab.Owner(a.Job); who != "" {
					by[who] = append(by[who], Told{a, p.State, p.Cause})
				}
			}
		}
		for who, ts := range by {
			if count[who] += len(ts); count[who] > tellMost && count[who] > len(ts) {
				// The rest of it in the next round.
				h.news = true
				continue
			}
			slices.SortFunc(ts, func(a, b Told) int { return a.compare(b.Attempt) })
			if out == nil {
				out = map[string][]Tell{}
			}
			out[who] = append(out[who], Tell{id, ab.Epoch, ab.Zone, ts})
		}
	}
	return out
}

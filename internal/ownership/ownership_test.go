package ownership

import (
	"fmt"
	"slices"
	"testing"
	"time"

	_ "github.com/micahill/micahill/internal/testseed"
	"pgregory.net/rapid"
)

// model is one machine, whose owner changes between the owner of a job (a) and
// another (b), and the attempts of that job on it. Orders and messages are lost, late
// and doubled. Whatever a believes to be gone must be nowhere, for ever.
type model struct {
	now   time.Time
	epoch uint64
	// mine: the machine is a's. The worker has seen an epoch and has attempts.
	mine  bool
	seen  uint64
	on    map[Attempt]State
	alive bool
	// orders are starts on their way, with the epoch they were sent under.
	orders []order
	// live are a's attempts that it takes for living, gone those it has proof of.
	live     map[Attempt]bool
	gone     map[Attempt]bool
	next     uint64
	registry *Registry
	asks     []Ask
	tell     []Tell
	// without takes one condition out, to show that the model notices.
	without string
}

type order struct {
	a     Attempt
	epoch uint64
}

func newModel() *model {
	return &model{
		now: time.Unix(1_750_000_000, 0), epoch: 1, mine: true, alive: true,
		on: map[Attempt]State{}, live: map[Attempt]bool{}, gone: map[Attempt]bool{}, registry: &Registry{},
	}
}

func (m *model) attempts() []Attempt {
	var out []Attempt
	for a := range m.live {
		out = append(out, a)
	}
	slices.SortFunc(out, Attempt.compare)
	return out
}

func (m *model) isOn(a Attempt) bool { s, ok := m.on[a]; return ok && s != Ended }

// believe takes it that an attempt is gone.
func (m *model) believe(t *rapid.T, a Attempt) {
	delete(m.live, a)
	m.gone[a] = true
	m.check(t)
}

func (m *model) check(t *rapid.T) {
	for a := range m.gone {
		if m.isOn(a) {
			t.Fatalf("%v is gone for its owner, and on the machine", a)
		}
	}
}

// report is what the machine would say now, to whoever owns it.
func (m *model) report(t *rapid.T) {
	if !m.alive {
		return
	}
	m.seen = max(m.seen, m.epoch)
	var ps []Piece
	for a, s := range m.on {
		ps = append(ps, Piece{Attempt: a, State: s, Cause: "done"})
	}
	quiet := !slices.ContainsFunc(m.orders, func(o order) bool { return o.epoch >= m.epoch })
	if m.without == "quiet" {
		quiet = true
	}
	if m.mine {
		for _, a := range m.attempts() {
			if s, ok := m.on[a]; ok && s == Ended || !ok && quiet {
				m.believe(t, a)
			}
		}
		return
	}
	m.registry.Saw(m.now, "vm", ps, func(string) bool { return m.without == "own" }, quiet)
}

func (m *model) told(t *rapid.T, x Tell) {
	if m.mine || x.Epoch != m.epoch && m.without != "epoch" {
		return
	}
	for _, w := range x.Attempts {
		if m.live[w.Attempt] && (w.State == Ended || w.State == Gone) {
			m.believe(t, w.Attempt)
		}
	}
}

func (m *model) actions() map[string]func(*rapid.T) {
	return map[string]func(*rapid.T){
		"": m.check,
		"start": func(t *rapid.T) {
			if m.mine && len(m.live) < 4 {
				m.next++
				a := Attempt{"job", 0, m.next}
				m.live[a] = true
				m.orders = append(m.orders, order{a, m.epoch})
			}
		},
		"again": func(t *rapid.T) {
			// What is live and not there is ordered again, under the epoch of now.
			for _, a := range m.attempts() {
				if _, ok := m.on[a]; m.mine && !ok {
					m.orders = append(m.orders, order{a, m.epoch})
				}
			}
		},
		"deliver": func(t *rapid.T) {
			if len(m.orders) == 0 {
				return
			}
			i := rapid.IntRange(0, len(m.orders)-1).Draw(t, "order")
			o := m.orders[i]
			if !rapid.Bool().Draw(t, "doubled") || o.epoch < m.seen {
				m.orders = slices.Delete(m.orders, i, i+1)
			}
			if _, there := m.on[o.a]; m.alive && o.epoch >= m.seen && !there {
				m.seen = o.epoch
				m.on[o.a] = Running
			}
		},
		"end": func(t *rapid.T) {
			for _, a := range m.attempts() {
				if m.isOn(a) {
					m.on[a] = Ended
					return
				}
			}
		},
		"report": m.report,
		"move": func(t *rapid.T) {
			m.epoch++
			m.mine = !m.mine
			m.registry.Drop("vm")
		},
		"die": func(t *rapid.T) {
			if rapid.IntRange(0, 9).Draw(t, "seldom") == 0 && !m.mine {
				// Its return is answered: nothing there comes back.
				m.alive = false
				clear(m.on)
				m.registry.Lost(m.now, "vm", func(Attempt) bool { return false })
			}
		},
		"ask": func(t *rapid.T) {
			x := Ask{Machine: "vm"}
			for _, a := range m.attempts() {
				x.Attempts = append(x.Attempts, Asked{Attempt: a, Want: Want(rapid.IntRange(0, 1).Draw(t, "want"))})
			}
			m.asks = append(m.asks, x)
		},
		"asked": func(t *rapid.T) {
			if len(m.asks) > 0 && !m.mine {
				m.registry.Ask(m.now, "a", m.asks[rapid.IntRange(0, len(m.asks)-1).Draw(t, "ask")])
			}
		},
		"tell": func(t *rapid.T) {
			m.now = m.now.Add(2 * time.Second)
			if m.mine {
				return
			}
			out := m.registry.Tells(m.now, func(string) (About, bool) {
				return About{Epoch: m.epoch, Owner: func(string) string { return "a" }}, true
			})
			m.tell = append(m.tell, out["a"]...)
		},
		"told": func(t *rapid.T) {
			// One of all that were ever sent: late, doubled, out of turn.
			if len(m.tell) > 0 {
				m.told(t, m.tell[rapid.IntRange(0, len(m.tell)-1).Draw(t, "tell")])
			}
		},
	}
}

// TestCustody: no word, however late, makes a job's owner believe an attempt gone
// that is on the machine or may yet begin there.
func TestCustody(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) { t.Repeat(newModel().actions()) })
}

// TestModelNotices: without a condition the model finds a task that is gone for its
// owner and on its machine; otherwise the model is worth nothing.
func TestModelNotices(t *testing.T) {
	attempt := func(n uint64) Attempt { return Attempt{"job", 0, n} }
	found := func(without string, steps func(m *model, rt *rapid.T)) (noticed bool) {
		// The steps are known; rapid only lends its T.
		rapid.Check(t, func(rt *rapid.T) {
			m := newModel()
			m.without = without
			defer func() {
				if r := recover(); r != nil {
					noticed = true
				}
			}()
			steps(m, rt)
			for a := range m.gone {
				noticed = noticed || m.isOn(a)
			}
		})
		return noticed
	}
	// A word from before the machine came back to the job's owner, who has started
	// the attempt meanwhile.
	late := func(m *model, rt *rapid.T) {
		m.live[attempt(1)] = true
		m.epoch, m.mine = 2, false
		m.registry.Ask(m.now, "a", Ask{Machine: "vm", Attempts: []Asked{{Attempt: attempt(1)}}})
		m.report(rt)
		old := m.registry.Tells(m.now, func(string) (About, bool) { return About{Epoch: 2, Owner: func(string) string { return "" }}, true })["a"]
		m.epoch, m.mine = 4, false
		m.on[attempt(1)] = Running // started under epoch 3, when the machine was a's
		for _, x := range old {
			if x.Epoch == m.epoch || m.without == "epoch" {
				for _, w := range x.Attempts {
					if w.State == Gone {
						m.gone[w.Attempt] = true
					}
				}
			}
		}
	}
	if !found("epoch", late) || found("", late) {
		t.Error("a late word under an older epoch goes unnoticed")
	}
	// The machine's owner still takes the job for its own and hides the attempt.
	hidden := func(m *model, rt *rapid.T) {
		m.mine = false
		m.on[attempt(1)] = Running
		m.registry.Ask(m.now, "a", Ask{Machine: "vm", Attempts: []Asked{{Attempt: attempt(1)}}})
		m.registry.Saw(m.now, "vm", []Piece{{Attempt: attempt(1), State: Running}}, func(string) bool { return true }, true)
		for _, x := range m.registry.Tells(m.now, func(string) (About, bool) { return About{Epoch: m.epoch}, true })["a"] {
			for _, w := range x.Attempts {
				if w.State == Gone {
					m.gone[w.Attempt] = true
				}
			}
		}
	}
	if found("", hidden) {
		t.Error("an attempt that is on the machine is told to be gone, since its job was thought to be the owner's own")
	}
}

// TestRegistry: what is asked for is stopped once and for all, counts as room, and is
// told again until its owner has heard.
func TestRegistry(t *testing.T) {
	now := time.Unix(1_750_000_000, 0)
	a, b := Attempt{"j", 0, 1}, Attempt{"j", 1, 1}
	d := &Registry{}
	about := func(string) (About, bool) {
		return About{Epoch: 7, Zone: "z", Owner: func(string) string { return "c" }}, true
	}
	own := func(string) bool { return false }
	if !d.Ask(now, "a", Ask{"vm", []Asked{{Attempt: a, Want: Stop}}}) {
		t.Error("a stop is no news")
	}
	if d.Ask(now, "a", Ask{"vm", []Asked{{Attempt: a}}}); len(d.Living("vm")) != 1 {
		t.Errorf("%v take room, want what may yet begin", d.Living("vm"))
	}
	d.Saw(now, "vm", []Piece{{Attempt: a, State: Running}, {Attempt: b, State: Running}}, own, true)
	if _, w, ok := d.Since("vm", a); !ok || w.Want != Stop {
		t.Errorf("a later word that keeps it has undone a stop: %v", w)
	}
	tells := d.Tells(now, about)
	if len(tells["a"]) != 1 || len(tells["c"]) != 1 || tells["a"][0].Epoch != 7 || tells["c"][0].Attempts[0].Attempt != b {
		t.Errorf("told %v, want one to who asked and one to the owner of what nobody asked for", tells)
	}
	if again := d.Tells(now.Add(time.Millisecond), about); len(again) != 0 {
		t.Errorf("told at once again: %v", again)
	}
	d.Saw(now, "vm", []Piece{{Attempt: b, State: Running}}, own, false)
	if got := d.Tells(now.Add(again), about)["a"][0].Attempts[0].State; got != Unknown {
		t.Errorf("absent without proof is told as %v", got)
	}
	d.Saw(now, "vm", []Piece{{Attempt: b, State: Running}}, own, true)
	if got := d.Tells(now.Add(again), about)["a"][0].Attempts[0].State; got != Gone {
		t.Errorf("absent with proof is told as %v", got)
	}
	if len(d.Living("vm")) != 1 || d.Unseen("vm") {
		t.Errorf("%v take room", d.Living("vm"))
	}
	// Nobody asks any more, and nothing is there: it is forgotten.
	d.Saw(now, "vm", nil, own, true)
	d.Tells(now.Add(2*memory), about)
	if len(d.Machines()) != 0 {
		t.Errorf("%v is kept in mind", d.Machines())
	}
}

// TestDoubt: what a machine's owner saw under an epoch that has passed is not told
// under the next. Behind with its reading it may have taken the machine for its own
// while another started there what it then did not see.
func TestDoubt(t *testing.T) {
	now := time.Unix(1_750_000_000, 0)
	d := &Registry{}
	a := Attempt{"j", 0, 1}
	own := func(string) bool { return false }
	d.Ask(now, "a", Ask{"vm", []Asked{{Attempt: a, Want: Stop}}})
	d.Saw(now, "vm", nil, own, true)
	d.Doubt("vm")
	told := d.Tells(now, func(string) (About, bool) { return About{Epoch: 9, Owner: func(string) string { return "" }}, true })["a"][0]
	if got := told.Attempts[0].State; got != Unknown {
		t.Errorf("told as %v under epoch %d, though it was seen under an earlier one", got, told.Epoch)
	}
	if _, w, ok := d.Since("vm", a); !ok || w.Want != Stop {
		t.Error("what was asked for is forgotten as well")
	}
}

// TestMessagesAreBounded: of more attempts than a message may hold the rest is told in
// the next round, and none is left out for ever.
func TestMessagesAreBounded(t *testing.T) {
	now := time.Unix(1_750_000_000, 0)
	d := &Registry{}
	const machines, each = 900, 10
	for i := range machines {
		x := Ask{Machine: fmt.Sprintf("vm-%04d", i)}
		for k := range each {
			x.Attempts = append(x.Attempts, Asked{Attempt: Attempt{fmt.Sprintf("job-%04d", i), k, 1}})
		}
		d.Ask(now, "a", x)
	}
	told := map[string]bool{}
	for range 10 {
		n := 0
		for _, x := range d.Tells(now, func(string) (About, bool) { return About{Epoch: 1, Owner: func(string) string { return "" }}, true })["a"] {
			n += len(x.Attempts)
			told[x.Machine] = true
		}
		if n > tellMost {
			t.Fatalf("%d attempts in a message", n)
		}
	}
	if len(told) != machines {
		t.Errorf("%d of %d machines are told of", len(told), machines)
	}
}

// TestLost: what is asked for is gone with its machine, but for what began since.
func TestLost(t *testing.T) {
	now := time.Unix(1_750_000_000, 0)
	a, b := Attempt{"j", 0, 1}, Attempt{"j", 1, 1}
	d := &Registry{}
	d.Ask(now, "a", Ask{"vm", []Asked{{Attempt: a}, {Attempt: b}}})
	d.Lost(now, "vm", func(x Attempt) bool { return x == b })
	if got := d.Living("vm"); len(got) != 1 || got[0] != b {
		t.Errorf("%v may still live, want %v alone", got, b)
	}
}

package division

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"github.com/micahill/micahill/internal/bounds"
	_ "github.com/micahill/micahill/internal/testseed"
	"pgregory.net/rapid"
)

var testLimits = bounds.Limits{ValueBytes: 4096, Ops: 12}

// store is a state service with the records of the division alone, and a reader
// that applies them in order. It keeps what each machine's owners and epochs were.
type store struct {
	limits bounds.Limits
	rev    uint64
	stamps map[string]uint64
	book   *Book
	// last is each machine's owner and highest epoch so far.
	last    map[string]Owner
	changes int
	lead    uint64
	gone    map[string]bool
}

func newStore(l bounds.Limits) *store {
	return &store{limits: l, stamps: map[string]uint64{}, book: NewBook(), last: map[string]Owner{}, gone: map[string]bool{}}
}

func key(w Write) string {
	if w.Share {
		return "ctl/share/" + w.Name
	}
	return "ctl/lot/" + w.Name
}

type failer interface{ Fatalf(string, ...any) }

// apply carries a transaction out, if its conditions hold, and checks its size.
func (s *store) apply(t failer, ws []Write) bool {
	when := []string{"ctl/lead"}
	var apply []bounds.Change
	for _, w := range ws {
		when = append(when, key(w))
		apply = append(apply, bounds.Change{Key: key(w), Value: w.Value})
	}
	if err := s.limits.Txn(when, apply); err != nil {
		t.Fatalf("%v", err)
	}
	for _, w := range ws {
		if s.stamps[key(w)] != w.Stamp {
			return false
		}
	}
	s.rev++
	s.changes += len(ws)
	for _, w := range ws {
		stamp := s.rev
		if w.Value == nil {
			stamp = 0
		}
		s.stamps[key(w)] = stamp
		var err error
		if w.Share {
			err = s.book.Share(w.Name, w.Value, s.rev)
		} else {
			err = s.book.Lot(w.Name, w.Value, s.rev)
		}
		if err != nil {
			t.Fatalf("%v", err)
		}
	}
	return true
}

// check: whoever comes to own a machine has an epoch above all that any other has
// used for it, and the epoch of one that keeps it does not fall. Of many machines
// some are looked at each time.
func (s *store) check(t failer, machines []string) {
	for i, id := range machines {
		if len(machines) > 1000 && i%17 != int(s.rev%17) {
			continue
		}
		o, ok := s.book.Owner(id)
		if !ok || s.gone[id] {
			continue
		}
		was, known := s.last[id]
		if known && o.Epoch < was.Epoch {
			t.Fatalf("%s: epoch %d after %d", id, o.Epoch, was.Epoch)
		}
		if known && (o.Host != was.Host || o.Nonce != was.Nonce) && o.Epoch <= was.Epoch {
			t.Fatalf("%s goes from %s to %s with epoch %d after %d", id, was.Host, o.Host, o.Epoch, was.Epoch)
		}
		s.last[id] = Owner{&Share{Host: o.Host, Nonce: o.Nonce}, o.Epoch}
	}
}

// world is a fleet whose division is planned.
type world struct {
	*store
	now    time.Time
	d      *Divider
	life   map[string]int
	unable map[string]bool
	young  map[string]bool
	teams  []string
	load   map[string]float64
	ids    []string
	news   []Rented
	offers map[string]Offer
	raised int
	moves  int
}

func newWorld(l bounds.Limits, hosts, teams int) *world {
	w := &world{
		store: newStore(l), now: time.Unix(1_750_000_000, 0), life: map[string]int{}, unable: map[string]bool{}, young: map[string]bool{},
		load: map[string]float64{}, offers: map[string]Offer{},
	}
	for i := range hosts {
		w.life[fmt.Sprintf("worker-%d", i)] = 1
	}
	for i := range teams {
		w.teams = append(w.teams, fmt.Sprintf("team-%02d", i))
	}
	w.elect()
	return w
}

// elect: another divides, and knows nothing of what the one before meant to do.
func (w *world) elect() {
	w.rev++
	w.lead = w.rev
	w.d = New(w.limits, fmt.Sprint(w.lead), 30*time.Second, w.now)
}

func (w *world) hosts() []string { return slices.Sorted(maps.Keys(w.life)) }

func (w *world) input() Input {
	in := Input{Book: w.book, Teams: w.teams, Load: w.load, Offers: w.offers, Gone: func(id string) bool { return w.gone[id] }}
	for _, h := range w.hosts() {
		if w.life[h] > 0 {
			in.Self = h
			in.Nodes = append(in.Nodes, Node{Host: h, Nonce: fmt.Sprintf("%s#%d", h, w.life[h]), Able: !w.unable[h], Young: w.young[h]})
		}
	}
	for _, x := range w.news {
		if o, ok := w.book.Owner(x.ID); !ok || !w.book.Named(x.ID) || o.Host != x.Host {
			in.New = append(in.New, x)
		}
	}
	return in
}

// plan divides as long as there is something to write now, and answers asks.
func (w *world) plan(t failer) {
	for k := 0; ; k++ {
		if k > 200 {
			t.Fatalf("the division never comes to rest")
		}
		if a, ok := w.d.Asked(); ok {
			w.offers[a.Team] = Offer{a.Team, w.owned(a.From)[:len(w.owned(a.From))/2]}
		} else {
			clear(w.offers)
		}
		before := w.book.Team
		home := map[string]string{}
		for _, team := range w.teams {
			if s := before(team); s != nil && w.lives(s) {
				home[team] = s.Host
			}
		}
		ws := w.d.Plan(w.now, w.input())
		if len(ws) == 0 {
			if _, ok := w.d.Asked(); ok {
				continue
			}
			return
		}
		w.apply(t, ws)
		w.check(t, w.ids)
		for team, h := range home {
			if s := w.book.Team(team); s == nil || s.Host != h {
				w.moves++
			}
		}
	}
}

func (w *world) lives(s *Share) bool {
	return w.life[s.Host] > 0 && s.Nonce == fmt.Sprintf("%s#%d", s.Host, w.life[s.Host])
}

func (w *world) owned(host string) []string {
	var out []string
	for _, id := range w.ids {
		if o, ok := w.book.Owner(id); ok && o.Host == host && !w.gone[id] {
			out = append(out, id)
		}
	}
	return out
}

func (w *world) rent(host string, n int) {
	for range n {
		id := fmt.Sprintf("vm-%06d", len(w.ids)+1)
		w.ids = append(w.ids, id)
		w.news = append(w.news, Rented{id, host, w.now.Add(-gather)})
	}
}

// whole checks a division at rest: each team is run once, by a living controller,
// and every machine has an owner, which a scan over all records finds as well.
func (w *world) whole(t failer) {
	count := map[string]int{}
	for _, s := range w.book.Shares() {
		if len(s.Teams) > 0 && !w.lives(s) {
			t.Fatalf("share %s is held by %s, which is dead", s.Name, s.Host)
		}
		for _, team := range s.Teams {
			count[team]++
		}
	}
	for _, team := range w.teams {
		if count[team] != 1 {
			t.Fatalf("%s is in %d shares", team, count[team])
		}
	}
	for _, id := range w.ids {
		if w.gone[id] {
			continue
		}
		o, ok := w.book.Owner(id)
		if !ok {
			t.Fatalf("%s has no owner", id)
		}
		var best naming
		for _, l := range w.book.sortedLots() {
			for _, g := range l.groups {
				if slices.Contains(g.names, id) && (best.lot == nil || g.epoch >= best.epoch) {
					best = naming{l, g.epoch}
				}
			}
		}
		want := w.book.rest
		if best.lot != nil {
			want = w.book.Find(best.lot.Share)
		}
		if want == nil || o.Name != want.Name {
			t.Fatalf("%s is %s's, a scan finds %v", id, o.Name, want)
		}
	}
}

// TestDivision plays random lives, rentals, losses, moves and changes of whoever
// divides: nobody ever gets a machine but under a higher epoch, all records stay
// within their bounds, and the division comes to rest whole.
func TestDivision(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := bounds.Limits{ValueBytes: rapid.SampledFrom([]int{512, 1024, 4096, 16384}).Draw(t, "value"), Ops: rapid.IntRange(4, 24).Draw(t, "ops")}
		w := newWorld(l, rapid.IntRange(1, 7).Draw(t, "hosts"), rapid.IntRange(1, 12).Draw(t, "teams"))
		w.plan(t)
		t.Repeat(map[string]func(*rapid.T){
			"": func(t *rapid.T) { w.now = w.now.Add(time.Second) },
			"end": func(t *rapid.T) {
				h := rapid.SampledFrom(w.hosts()).Draw(t, "host")
				if w.life[h] > 0 && len(w.input().Nodes) > 1 {
					w.life[h] = -w.life[h]
				}
			},
			"start": func(t *rapid.T) {
				h := rapid.SampledFrom(w.hosts()).Draw(t, "host")
				if w.life[h] < 0 {
					w.life[h] = -w.life[h] + 1
				}
			},
			"deaf": func(t *rapid.T) {
				h := rapid.SampledFrom(w.hosts()).Draw(t, "host")
				w.unable[h] = !w.unable[h]
			},
			"lead": func(t *rapid.T) { w.elect() },
			"rent": func(t *rapid.T) {
				w.rent(rapid.SampledFrom(w.hosts()).Draw(t, "host"), rapid.IntRange(1, 60).Draw(t, "count"))
			},
			"lose": func(t *rapid.T) {
				for range rapid.IntRange(0, 40).Draw(t, "count") {
					if len(w.ids) > 0 {
						w.gone[rapid.SampledFrom(w.ids).Draw(t, "machine")] = true
					}
				}
			},
			"raise": func(t *rapid.T) {
				s := w.book.Team(w.teams[0])
				if s == nil || !w.lives(s) {
					return
				}
				if mine := w.owned(s.Host); len(mine) > 0 {
					// Of the machines of one share: whose they are is asked for each.
					mine = slices.DeleteFunc(mine, func(id string) bool { o, _ := w.book.Owner(id); return o.Name != s.Name })
					w.raised++
					if x, some := Raise(w.limits, fmt.Sprintf("%s-r%d", s.Nonce, w.raised), s, mine); len(some) > 0 {
						w.apply(t, []Write{x})
						w.check(t, w.ids)
					}
				}
			},
			"load": func(t *rapid.T) {
				w.load[rapid.SampledFrom(w.teams).Draw(t, "team")] = rapid.Float64Range(0, 500).Draw(t, "cpus")
			},
			"wait": func(t *rapid.T) {
				w.now = w.now.Add(time.Duration(rapid.IntRange(1, 90).Draw(t, "seconds")) * time.Second)
				w.plan(t)
				w.whole(t)
			},
			"plan": func(t *rapid.T) {
				if ws := w.d.Plan(w.now, w.input()); len(ws) > 0 {
					w.apply(t, ws)
					w.check(t, w.ids)
				}
			},
		})
	})
}

// TestLateRecords: a reader that has fallen behind sees, for every machine, a lower
// epoch than the owner of now, or the same owner.
func TestLateRecords(t *testing.T) {
	w := newWorld(testLimits, 3, 4)
	w.plan(t)
	behind := NewBook()
	var held []Write
	w.rent("worker-0", 40)
	w.rent("worker-1", 40)
	for range 40 {
		w.now = w.now.Add(10 * time.Second)
		ws := w.d.Plan(w.now, w.input())
		if w.apply(t, ws) {
			held = append(held, ws...)
		}
		for _, id := range w.ids {
			o, ok := behind.Owner(id)
			now, _ := w.book.Owner(id)
			if ok && o.Epoch >= now.Epoch && (o.Host != now.Host || o.Nonce != now.Nonce) {
				t.Fatalf("%s: %s believes in epoch %d, %s has %d", id, o.Host, o.Epoch, now.Host, now.Epoch)
			}
		}
		if len(held) > 6 {
			x := held[0]
			held = held[1:]
			// Its revision does not matter here but for the order.
			if x.Share {
				behind.Share(x.Name, x.Value, x.Stamp+1)
			} else {
				behind.Lot(x.Name, x.Value, x.Stamp+1)
			}
		}
		switch {
		case w.life["worker-1"] == 1:
			w.life["worker-1"] = -1
		case w.life["worker-1"] == -1:
			w.life["worker-1"] = 2
		}
	}
}

// TestTenThousand: 10,000 machines, 50 teams and 7 controllers stay within values of
// 4 KiB and 12 changes a transaction, and a thousand machines rented and a thousand
// lost in a minute cost some few changes a second.
func TestTenThousand(t *testing.T) {
	w := newWorld(testLimits, 7, 50)
	w.plan(t)
	hosts := w.hosts()
	minute := func(rented, lost int) float64 {
		before, from := w.changes, w.now
		for s := range 60 {
			for k := rented * s / 60; k < rented*(s+1)/60; k += 50 {
				w.rent(hosts[(s+k)%len(hosts)], min(50, rented*(s+1)/60-k))
			}
			for k := range lost / 60 {
				// Some of all ages.
				w.gone[w.ids[(s*7919+k*104729)%len(w.ids)]] = true
			}
			w.now = w.now.Add(time.Second)
			w.plan(t)
		}
		return float64(w.changes-before) / w.now.Sub(from).Seconds()
	}
	for range 10 {
		if rate := minute(1000, 0); rate > 4 {
			t.Errorf("%.1f changes a second while a thousand machines are rented in a minute", rate)
		}
	}
	w.whole(t)
	lots, named := w.book.Lots()
	t.Logf("%d machines, %d of them in %d lots", len(w.ids), named, lots)
	if lots > 2*len(w.ids)/lotNames+60 {
		t.Errorf("%d lots for %d machines", lots, named)
	}
	rate := minute(1000, 1000)
	t.Logf("%.1f changes a second with a thousand rented and a thousand lost in a minute", rate)
	if rate > 5 {
		t.Errorf("%.1f changes a second", rate)
	}
	// A controller's death costs one change for each of its shares.
	before := w.changes
	w.life[hosts[3]] = -1
	w.plan(t)
	if k := w.changes - before; k > 8 {
		t.Errorf("%d changes for the death of a controller", k)
	}
	if rate := minute(0, 0); rate > 1 {
		t.Errorf("%.1f changes a second while nothing happens", rate)
	}
	w.whole(t)
}

// TestSpread: a controller that comes back gets work within a minute, and then
// nothing moves any more.
func TestSpread(t *testing.T) {
	for _, teams := range []int{1, 2, 3, 4, 9, 50} {
		t.Run(fmt.Sprint(teams), func(t *testing.T) {
			w := newWorld(testLimits, 3, teams)
			for i, team := range w.teams {
				w.load[team] = 100 + float64(i)
			}
			step := func(n int) {
				for range n {
					w.now = w.now.Add(time.Second)
					w.plan(t)
				}
			}
			step(20)
			for _, h := range w.hosts() {
				w.rent(h, 30)
			}
			step(100)
			w.life["worker-1"] = -1
			step(10)
			w.life["worker-1"] = 2
			step(60)
			per := map[string]int{}
			for _, s := range w.book.Shares() {
				per[s.Host] += len(s.Teams)
			}
			for _, h := range w.hosts() {
				if least := teams / 3; per[h] < min(least, max(1, least-1)) && teams > 1 {
					t.Errorf("%s runs %d of %d teams a minute after worker-1 is back: %v", h, per[h], teams, per)
				}
			}
			step(300)
			before := w.moves
			step(900)
			if w.moves != before {
				t.Errorf("%d moves with nothing changing", w.moves-before)
			}
			w.whole(t)
		})
	}
}

// TestTidyKeepsEpochs: records that are joined, and joined again, leave each machine
// with the owner and the epoch that it had.
func TestTidyKeepsEpochs(t *testing.T) {
	w := newWorld(testLimits, 2, 2)
	w.plan(t)
	host := "worker-0"
	if w.book.rest.Host == host {
		host = "worker-1"
	}
	for range 12 {
		w.rent(host, 12)
		w.now = w.now.Add(time.Second)
		w.plan(t)
	}
	for range 6 {
		lots, _ := w.book.Lots()
		was := map[string]Owner{}
		for _, id := range w.ids {
			was[id], _ = w.book.Owner(id)
		}
		for i := range w.ids {
			w.gone[w.ids[i]] = w.gone[w.ids[i]] || i%7 == lots%7
		}
		w.now = w.now.Add(2 * tidyEvery)
		w.plan(t)
		for _, id := range w.ids {
			if o, _ := w.book.Owner(id); !w.gone[id] && (o.Epoch != was[id].Epoch || o.Host != was[id].Host) {
				t.Fatalf("%s was %s's under %d and is %s's under %d", id, was[id].Host, was[id].Epoch, o.Host, o.Epoch)
			}
		}
	}
	if lots, _ := w.book.Lots(); lots > 3 {
		t.Errorf("%d lots are left", lots)
	}
}

// TestYoung: one that has just begun keeps what it holds and gets nothing while another
// can have it; where all have just begun they get it all the same.
func TestYoung(t *testing.T) {
	w := newWorld(testLimits, 3, 3)
	for _, h := range w.hosts() {
		w.young[h] = true
	}
	w.plan(t)
	for _, team := range w.teams {
		if w.book.Team(team) == nil {
			t.Fatalf("all are young, and %s is nobody's", team)
		}
	}
	holder := w.book.Team(w.teams[0]).Host
	changes := w.changes
	for _, h := range w.hosts() {
		w.young[h] = h == holder
	}
	w.plan(t)
	if w.changes != changes {
		t.Error("what a young one holds is taken from it")
	}
	// It ends and is back at once: its share is another's, and stays there.
	w.life[holder]++
	w.plan(t)
	if s := w.book.Team(w.teams[0]); s.Host == holder {
		t.Error("one that is back at once gets its share again while others can have it")
	}
}

// TestUnable: a controller that can run nothing, since it hears no worker, loses its
// shares though it lives, and gets none while another can; where none can everything
// stays.
func TestUnable(t *testing.T) {
	w := newWorld(testLimits, 2, 1)
	w.plan(t)
	first := w.book.Team("team-00").Host
	other := map[string]string{"worker-0": "worker-1", "worker-1": "worker-0"}[first]
	w.unable[first] = true
	w.plan(t)
	if s := w.book.Team("team-00"); s.Host != other {
		t.Errorf("the share is %s's, want that of the one who can", s.Host)
	}
	changes := w.changes
	w.unable[other] = true
	w.plan(t)
	if s := w.book.Team("team-00"); s.Host != other || w.changes != changes {
		t.Errorf("nobody can, and the share goes to %s", s.Host)
	}
}

// TestEarlierForm: shares that name their machines one by one, as an earlier form
// did, are read, and written anew within their bounds.
func TestEarlierForm(t *testing.T) {
	w := newWorld(testLimits, 2, 2)
	var ids []string
	for i := range 150 {
		ids = append(ids, fmt.Sprintf("vm-%06d", i))
	}
	old := func(name string, r shareRecord) {
		if !w.apply(t, []Write{{Share: true, Name: name, Value: encode(&r)}}) {
			t.Fatal("not stored")
		}
	}
	old("worker-0", shareRecord{Nonce: "before", Teams: []string{"team-00"}, Rest: true})
	old("worker-1", shareRecord{Nonce: "before", Teams: []string{"team-01"}, Machines: ids})
	w.ids = append(ids, "vm-000900")
	if o, ok := w.book.Owner("vm-000007"); !ok || o.Host != "worker-1" {
		t.Errorf("a machine of the earlier form is %v's", o)
	}
	w.check(t, w.ids)
	for range 30 {
		w.now = w.now.Add(time.Second)
		w.plan(t)
	}
	w.whole(t)
	if o, _ := w.book.Owner("vm-000007"); o.Share == nil || o.Name != "worker-1" || !w.book.Named("vm-000007") || len(w.book.Machines("worker-1")) != len(ids) {
		t.Errorf("after the way over: %v, %d machines", o, len(w.book.Machines("worker-1")))
	}
}

// TestNames: names of any kind come back as they were.
func TestNames(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		name := rapid.OneOf(
			rapid.Custom(func(t *rapid.T) string { return fmt.Sprintf("vm-%06d", rapid.IntRange(0, 300).Draw(t, "n")) }),
			rapid.Custom(func(t *rapid.T) string { return fmt.Sprintf("x%d", rapid.Uint64().Draw(t, "n")) }),
			rapid.StringMatching(`[a-z0-9.-]{1,30}`))
		ids := rapid.SliceOfN(name, 1, 200).Draw(t, "names")
		slices.Sort(ids)
		ids = slices.Compact(ids)
		_, gs, err := decodeLot(encodeLot("s", []group{{7, ids}}))
		if err != nil {
			t.Fatal(err)
		}
		var got []string
		for _, g := range gs {
			if g.epoch != 7 {
				t.Fatalf("epoch %d", g.epoch)
			}
			got = append(got, g.names...)
		}
		slices.Sort(got)
		if !slices.Equal(got, ids) {
			t.Fatalf("%v became %v", ids, got)
		}
	})
}

// FuzzRecords: no record, however damaged, makes a reader panic or take all memory.
func FuzzRecords(f *testing.F) {
	f.Add(encodeLot("s", []group{{0, []string{"vm-000001", "vm-000002", "odd"}}}))
	f.Add(encode(&shareRecord{Host: "a", Nonce: "b", Teams: []string{"t"}, Machines: []string{"vm-1"}}))
	f.Fuzz(func(t *testing.T, b []byte) {
		book := NewBook()
		_ = book.Share("s", b, 1)
		_ = book.Lot("l", b, 2)
		book.Owner("vm-000001")
		_ = book.Lot("l", nil, 3)
		_ = book.Share("s", nil, 4)
		if len(book.machines)+len(book.more) > 0 {
			t.Fatal("machines are left")
		}
	})
}

// BenchmarkOwner is the look-up that every report costs.
func BenchmarkOwner(b *testing.B) {
	for _, size := range []int{300, 1300, 5000, 10000} {
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			w := newWorld(testLimits, 7, 9)
			w.plan(b)
			for i := range size / 50 {
				w.rent(w.hosts()[i%7], 50)
			}
			w.now = w.now.Add(time.Second)
			w.plan(b)
			i := 0
			for b.Loop() {
				w.book.Owner(w.ids[i%len(w.ids)])
				i++
			}
		})
	}
}

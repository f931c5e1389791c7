package promise

import (
	"bytes"
	"fmt"
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	_ "github.com/micahill/micahill/internal/testseed"
	"pgregory.net/rapid"
)

// TestRevise: whatever an owner sees, a date is revised at most Most times, never within
// a minute, never after it has passed, and only if it would be missed or is far too late.
func TestRevise(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		secs := func(name string, most int) time.Duration {
			return time.Duration(rapid.IntRange(0, most).Draw(t, name)) * time.Second
		}
		d := Date{Round(secs("first", 600)), 1}
		made, now := time.Duration(0), time.Duration(0)
		for range 80 {
			now += secs("step", 40)
			o := Forecast{Age: now, Remaining: secs("left", 400)}
			o.RemainingHigh = o.Remaining + secs("spread", 100)
			next, ok := Revise(d, now-made, o)
			if !ok {
				continue
			}
			late, early := o.Age+o.Remaining > d.After, next.After < d.After
			switch {
			case now-made < time.Minute, next.Revision != d.Revision+1, next.Revision > MaxRevisions+1, now >= d.After, next.Validate() != "":
				t.Fatalf("%v after %v, made %v ago, at %v", next, d, now-made, now)
			case late == early, next.After < o.Age+o.Remaining:
				t.Fatalf("%v after %v: %+v", next, d, o)
			}
			d, made = next, now
		}
	})
}

// TestPageWriter: a team's pages as their owner writes them, over a state service that loses
// answers and carries writes out late. A reader of the service never sees an older date
// of a living job after a newer one, all dates get there, and pages keep their bound.
func TestPageWriter(t *testing.T) {
	const limit = 400
	rapid.Check(t, func(t *rapid.T) {
		type stored struct {
			stamp uint64
			value []byte
		}
		store, stamp := map[int]stored{}, uint64(0)
		var pages Pages
		var late []PageWrite
		b := NewPageWriter(limit)
		openDates, shown := map[string]Entry{}, map[string]int{}
		apply := func(w PageWrite) bool {
			if store[w.Number].stamp != w.ModRevision {
				return false
			}
			stamp++
			if w.Value == nil {
				delete(store, w.Number)
			} else {
				if jsonSize(w.Value) > limit {
					t.Fatalf("a page of %d bytes", jsonSize(w.Value))
				}
				store[w.Number] = stored{stamp, w.Value}
			}
			if err := pages.Apply(fmt.Sprint("p/", w.Number), stamp, w.Value); err != nil {
				t.Fatal(err)
			}
			for id := range openDates {
				e, known := pages.Newest(id, "p/", 0)
				if !known || e.Revision < shown[id] {
					t.Fatalf("%s: %v after %d", id, e, shown[id])
				}
				shown[id] = e.Revision
			}
			return true
		}
		write := func(kind int) bool {
			w, ok := b.NextWrite()
			switch {
			case !ok:
				return false
			case !w.RevisionKnown:
				b.SetRevision(w.Number, store[w.Number].stamp)
			case kind == 0:
				// Lost on its way, or held up.
				late = append(late, w)
				b.MarkUncertain(w.Number)
			case !apply(w):
				b.MarkUncertain(w.Number)
			case kind == 1:
				b.MarkUncertain(w.Number)
			default:
				at := store[w.Number].stamp
				b.MarkWritten(w, at)
			}
			return true
		}
		names := 0
		for range 60 {
			switch rapid.IntRange(0, 6).Draw(t, "what") {
			case 0, 1:
				names++
				e := Entry{fmt.Sprintf("job-%04d", names), Date{time.Duration(names+1) * time.Second, 1}, FirstDate}
				openDates[e.Job] = e
				b.Put(e)
			case 2:
				for _, id := range slices.Sorted(maps.Keys(openDates)) {
					if e := openDates[id]; e.Revision <= MaxRevisions && rapid.Bool().Draw(t, "revised") {
						e.Revision, e.After, e.Reason = e.Revision+1, e.After+time.Second, MachinesLost
						openDates[id] = e
						b.Put(e)
						// The same again, or an older one, is nothing.
						e.After += time.Hour
						b.Put(e)
						break
					}
				}
			case 3:
				for _, id := range slices.Sorted(maps.Keys(openDates)) {
					if rapid.IntRange(0, 2).Draw(t, "over") == 0 {
						delete(openDates, id)
					}
				}
				b.RemoveEnded(func(id string) bool { _, lives := openDates[id]; return !lives })
			case 4:
				if len(late) > 0 {
					apply(late[rapid.IntRange(0, len(late)-1).Draw(t, "late")])
				}
			case 5:
				write(rapid.IntRange(0, 4).Draw(t, "kind"))
			case 6:
				// Another owner takes over and goes on from what stands there. What was
				// not written is not promised; its share's stamp keeps late writes out.
				late = nil
				b = pages.NewWriter("p/", limit)
				for id, e := range openDates {
					if was, ok := b.Lookup(id); !ok {
						b.Put(e)
					} else {
						openDates[id] = was
					}
				}
			}
		}
		// In the end all gets there, and a successor clears away what is over: a page that
		// has gone may have come back by a late write.
		for range 200 {
			write(2)
		}
		b = pages.NewWriter("p/", limit)
		b.RemoveEnded(func(id string) bool { _, lives := openDates[id]; return !lives })
		for range 200 {
			write(2)
		}
		for id, e := range openDates {
			if got, _ := pages.Newest(id, "p/", 0); got != e || !b.IsDurable(id) {
				t.Fatalf("%s is %v in the end, %v was promised", id, got, e)
			}
		}
		if len(openDates) == 0 && len(store) > 0 {
			t.Fatalf("pages without living jobs are left: %v", store)
		}
	})
}

// TestBadPages: of a page that can't be read the last good one goes on to count; one that
// never could be lets nothing be told of jobs that are older, and is let alone.
func TestBadPages(t *testing.T) {
	e := Entry{"job-1", Date{time.Minute, 2}, Outage}
	good := encodePage(map[string]Entry{e.Job: e})
	var p Pages
	for stamp, value := range [][]byte{good, []byte("x"), encode(pageRecord{Format: 2})} {
		err := p.Apply("p/0", uint64(stamp)+5, value)
		if got, known := p.Newest(e.Job, "p/", 1); got != e || !known || (err != nil) != (stamp > 0) {
			t.Fatalf("%d: %v, %v, %v", stamp, got, known, err)
		}
	}
	q := p.ForReRead()
	if err := q.Apply("p/0", 7, []byte("x")); err == nil {
		t.Fatal("taken")
	}
	if got, known := q.Newest(e.Job, "p/", 1); got != e || !known {
		t.Fatalf("read anew: %v, %v", got, known)
	}
	b := q.NewWriter("p/", 400)
	w, ok := b.NextWrite()
	if es, err := DecodePage(w.Value); !ok || w.Number == 0 || err != nil || es[e.Job] != e {
		t.Fatalf("goes on with %+v, %v, %v", w, ok, err)
	}
	q = Pages{}
	if err := q.Apply("p/0", 7, []byte("x")); err == nil {
		t.Fatal("taken")
	}
	for stamp, want := range map[uint64]bool{6: false, 8: true} {
		if _, known := q.Newest(e.Job, "p/", stamp); known != want {
			t.Errorf("a job of stamp %d: known %v", stamp, known)
		}
	}
	if _, known := q.Newest(e.Job, "o/", 1); !known {
		t.Error("another team's")
	}
	// A write that turns out to stand on such a page goes elsewhere.
	b = NewPageWriter(400)
	b.Put(e)
	b.Abandon(0)
	if w, ok := b.NextWrite(); !ok || w.Number != 1 {
		t.Errorf("written to %d, %v", w.Number, ok)
	}
}

// TestTotals: however the ends are divided among leaders and records, the sums are those
// of the jobs, and what has no row of its own is summed up.
func TestTotals(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limit := rapid.IntRange(1200, 9000).Draw(t, "limit")
		tot := &Totals{}
		var want Row
		for i := range rapid.IntRange(0, 300).Draw(t, "ends") {
			e := JobEnd{Team: fmt.Sprint("team-", rapid.IntRange(0, 9).Draw(t, "team")), Class: fmt.Sprint("class-", rapid.IntRange(0, 9).Draw(t, "class")), Duration: time.Duration(rapid.IntRange(0, 900).Draw(t, "took")) * time.Second}
			if rapid.Bool().Draw(t, "dated") {
				e.Date = Date{time.Duration(rapid.IntRange(1, 900).Draw(t, "date")) * time.Second, rapid.IntRange(1, MaxRevisions+1).Draw(t, "rev")}
			}
			want.Jobs++
			if e.Date.Revision > 0 {
				want.Made++
				if e.Date.Revision > 1 {
					want.Revised++
				}
				if e.Duration > e.Date.After {
					want.Broken++
					want.Worst = max(want.Worst, e.Duration-e.Date.After)
				} else {
					want.Kept++
				}
			}
			tot.Add(e)
			tot.Revision = uint64(i)
			if rapid.IntRange(0, 20).Draw(t, "written") == 0 {
				b := tot.Encode(limit)
				next, err := DecodeTotals(b)
				if err != nil || jsonSize(b) > limit || next.Revision != tot.Revision || !bytes.Equal(next.Encode(limit), b) {
					t.Fatalf("%d bytes, limit %d: %v", jsonSize(b), limit, err)
				}
				tot = next.Clone()
			}
		}
		if got := tot.Sum(); got != want || len(tot.Rows()) > maxRows+1 {
			t.Fatalf("%+v, want %+v", got, want)
		}
	})
}

// TestCalibration: in simulated time, with run times whose tail is heavy, estimates that
// are wrong by half, and bursts that wait, the wanted share of the dates is kept, also
// when times change, and they are not padded: half are promised within 1.6 times what half
// take, where that is possible at all, and within 2.5 in bursts.
func TestCalibration(t *testing.T) {
	for _, c := range []struct {
		name             string
		spread           float64
		wrong, bursts    bool
		kept, times, few float64
	}{
		{"quiet", 0.25, false, false, 0.945, 1.6, 0},
		{"wrong estimates", 0.25, true, false, 0.93, 1.6, 0},
		{"heavy tail", 0.5, true, false, 0.93, 2.5, 0},
		{"bursts", 0.3, true, true, 0.9, 2.5, 0},
	} {
		kept, all := 0, 0
		var dates, ends []float64
		for seed := range uint64(6) {
			rng := rand.New(rand.NewPCG(seed, 31))
			q := NewQuoter(0.95)
			for i := range 600 {
				est := 40.0
				actual := est
				if c.wrong {
					actual = est * (0.5 + float64(i/200)*0.5)
				}
				var wait float64
				if c.bursts && i%100 >= 80 {
					wait = 120 * rng.Float64()
				}
				q.UpdateLoad("c", Load{Wait: time.Duration(wait * float64(time.Second)), FreeCapacity: 100, RunRatio: 1, RunSpread: 0.3})
				j := Job{Team: "t", Class: "c", Tasks: 1 + rng.IntN(30), Expected: 40 * time.Second, FetchTime: 2 * time.Second}
				run := 0.0
				for range j.Tasks {
					run = max(run, actual*math.Exp(c.spread*rng.NormFloat64()))
				}
				took := time.Duration((wait*(0.7+0.6*rng.Float64()) + 2 + run) * float64(time.Second))
				base := q.Base(j)
				date, known := q.Quote(j)
				q.LearnFinish(j, base, took)
				q.LearnOutcome(j, took <= date)
				if !known {
					t.Fatal("a class that was seen is not known")
				}
				all++
				if took <= date {
					kept++
				}
				dates, ends = append(dates, date.Seconds()), append(ends, took.Seconds())
			}
		}
		slices.Sort(dates)
		slices.Sort(ends)
		share, times := float64(kept)/float64(all), dates[len(dates)/2]/ends[len(ends)/2]
		t.Logf("%s: kept %.3f, median date %.2f times the median finish", c.name, share, times)
		if share < c.kept || times > c.times {
			t.Errorf("%s: kept %.3f, want %.3f; %.2f times, want %.2f", c.name, share, c.kept, times, c.times)
		}
	}
}

// TestQuoterRoundTrip: what another controller reads quotes the same, for classes and sizes
// that were seen; only as many classes are kept and told as fit.
func TestQuoterRoundTrip(t *testing.T) {
	q := NewQuoter(0.95)
	for i := range 50 {
		j := Job{Team: "t", Class: fmt.Sprint("class-", i), Tasks: 1 + i, Expected: time.Minute, FetchTime: time.Second}
		q.UpdateLoad(j.Class, Load{Wait: time.Duration(i) * time.Second, FreeCapacity: 10, RunRatio: 1.5, RunSpread: 0.25})
		q.LearnFinish(j, q.Base(j), time.Duration(i+1)*time.Minute)
	}
	b := q.Encode("t", 1500)
	if jsonSize(b) > 1500 {
		t.Fatalf("%d bytes", jsonSize(b))
	}
	team, x, err := DecodeQuoter(b, 0.95)
	if err != nil || team != "t" || len(x.classes) < 10 || len(q.classes) > maxClasses {
		t.Fatalf("%s, %d classes of %d, %v", team, len(x.classes), len(q.classes), err)
	}
	for name := range x.classes {
		for i := range 50 {
			j := Job{Team: "t", Class: name, Tasks: 1 + i, Expected: time.Minute, FetchTime: time.Second}
			if name != fmt.Sprint("class-", i) {
				continue
			}
			a, _ := q.Quote(j)
			c, known := x.Quote(j)
			// Of long ones the others know less of the spread.
			if diff := math.Abs(a.Seconds()/c.Seconds() - 1); !known || diff > 0.3 || a < revisableAfter && diff > 0.03 {
				t.Errorf("%s: %v here, %v there", name, a, c)
			}
		}
	}
}

// FuzzRecords: whatever stands in a record, nothing ends for it, and what is taken is
// sound and comes back as it was.
func FuzzRecords(f *testing.F) {
	q := NewQuoter(0.9)
	q.UpdateLoad("c", Load{Wait: time.Second, FreeCapacity: 3, RunRatio: 1, RunSpread: 0.2})
	tot := &Totals{Revision: 5}
	tot.Add(JobEnd{Team: "t", Class: "c", Date: Date{time.Minute, 2}, Duration: time.Hour})
	f.Add(encodePage(map[string]Entry{"job-1": {"job-1", Date{time.Minute, 1}, Outage}}))
	f.Add(q.Encode("t", 4000))
	f.Add(tot.Encode(4000))
	f.Add([]byte{0x82, 0xa1, 'v', 1, 0xa1, 'e', 0xdd, 0xff, 0xff, 0xff, 0xff})
	f.Fuzz(func(t *testing.T, b []byte) {
		if es, err := DecodePage(b); err == nil {
			again, err := DecodePage(encodePage(es))
			if err != nil || !maps.Equal(es, again) {
				t.Errorf("page %v: %v", es, err)
			}
		}
		if team, q, err := DecodeQuoter(b, 0.95); err == nil {
			if d, _ := q.Quote(Job{Team: team, Class: "c", Tasks: 5, Expected: time.Hour}); d <= 0 || d > MaxDate {
				t.Errorf("quotes %v", d)
			}
			if _, _, err := DecodeQuoter(q.Encode(team, 1<<20), 0.95); err != nil {
				t.Error(err)
			}
		}
		if x, err := DecodeTotals(b); err == nil {
			if _, err := DecodeTotals(x.Encode(1 << 20)); err != nil {
				t.Error(err)
			}
		}
	})
}

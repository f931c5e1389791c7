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

// TestRevise guards against dates that change too often or without need: whatever the
// forecasts, a date is revised at most MaxRevisions times, never within a minute, never
// after it has passed, and only if it would be missed or is far too late.
func TestRevise(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		seconds := func(name string, most int) time.Duration {
			return time.Duration(rapid.IntRange(0, most).Draw(t, name)) * time.Second
		}
		date := Date{Round(seconds("first", 600)), 1}
		publishedAt, now := time.Duration(0), time.Duration(0)
		for range 80 {
			now += seconds("step", 40)
			forecast := Forecast{Age: now, Remaining: seconds("left", 400)}
			forecast.RemainingHigh = forecast.Remaining + seconds("spread", 100)
			since := now - publishedAt
			next, ok := Revise(date, since, forecast)
			if !ok {
				continue
			}
			late, early := forecast.Age+forecast.Remaining > date.After, next.After < date.After
			switch {
			case since < time.Minute:
				t.Fatalf("got %v revised after %v, want a minute at least", date, since)
			case next.Revision != date.Revision+1, next.Revision > MaxRevisions+1, next.Validate() != "":
				t.Fatalf("got %v after %v, want the next valid revision", next, date)
			case now >= date.After:
				t.Fatalf("got %v revised at %v, want no revision once the date has passed", date, now)
			case late == early, next.After < forecast.Age+forecast.Remaining:
				t.Fatalf("got %v after %v for %+v, want a later date for a late job or an earlier one for an early job", next, date, forecast)
			}
			date, publishedAt = next, now
		}
	})
}

// TestTotals guards against lost counts: however the ended jobs are divided among leaders
// and records, the sums are those of the jobs, including the jobs in the others' row.
func TestTotals(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limit := rapid.IntRange(1200, 9000).Draw(t, "limit")
		totals := &Totals{}
		var want Row
		for i := range rapid.IntRange(0, 300).Draw(t, "ends") {
			end := JobEnd{Team: fmt.Sprint("team-", rapid.IntRange(0, 9).Draw(t, "team")), Class: fmt.Sprint("class-", rapid.IntRange(0, 9).Draw(t, "class")), Duration: time.Duration(rapid.IntRange(0, 900).Draw(t, "took")) * time.Second}
			if rapid.Bool().Draw(t, "dated") {
				end.Date = Date{time.Duration(rapid.IntRange(1, 900).Draw(t, "date")) * time.Second, rapid.IntRange(1, MaxRevisions+1).Draw(t, "rev")}
			}
			countEnd(&want, end)
			totals.Add(end)
			totals.Revision = uint64(i)
			if rapid.IntRange(0, 20).Draw(t, "written") == 0 {
				value := totals.Encode(limit)
				next, err := DecodeTotals(value)
				if err != nil || jsonSize(value) > limit || next.Revision != totals.Revision || !bytes.Equal(next.Encode(limit), value) {
					t.Fatalf("got %d bytes, error %v; want up to %d bytes that decode to the same totals", jsonSize(value), err, limit)
				}
				totals = next.Clone()
			}
		}
		if got := totals.Sum(); got != want || len(totals.Rows()) > maxRows+1 {
			t.Fatalf("got %+v in %d rows, want %+v in %d at most", got, len(totals.Rows()), want, maxRows+1)
		}
	})
}

// countEnd counts an ended job independently of the code under test.
func countEnd(row *Row, end JobEnd) {
	row.Jobs++
	if end.Date.Revision == 0 {
		return
	}
	row.Made++
	if end.Date.Revision > 1 {
		row.Revised++
	}
	if end.Duration > end.Date.After {
		row.Broken++
		row.Worst = max(row.Worst, end.Duration-end.Date.After)
	} else {
		row.Kept++
	}
}

// calibrationCase is a simulated team.
type calibrationCase struct {
	name string
	// spread is the standard deviation of the run times' logarithm.
	spread float64
	// wrongEstimates makes run times change from 0.5 to 1.5 times their estimates. bursts
	// makes jobs wait from time to time.
	wrongEstimates, bursts bool
	// wantKept is the smallest share of dates that have to be kept, and wantRatio the
	// largest ratio of the median date to the median duration.
	wantKept, wantRatio float64
}

// TestCalibration guards against dates that are missed too often or are needlessly late.
// In simulated time, with run times that have a heavy tail, estimates that are wrong by
// half, and bursts in which jobs wait, the wanted share of dates is kept, also when run
// times change. The median date is at most 1.6 times the median duration, or 2.5 times
// with a heavy tail or bursts.
func TestCalibration(t *testing.T) {
	for _, team := range []calibrationCase{
		{"quiet", 0.25, false, false, 0.945, 1.6},
		{"wrong estimates", 0.25, true, false, 0.93, 1.6},
		{"heavy tail", 0.5, true, false, 0.93, 2.5},
		{"bursts", 0.3, true, true, 0.9, 2.5},
	} {
		var dates, durations []float64
		for seed := range uint64(6) {
			rng := rand.New(rand.NewPCG(seed, 31))
			quoter := NewQuoter(0.95)
			for i := range 600 {
				date, duration := team.simulateJob(t, quoter, rng, i)
				dates, durations = append(dates, date.Seconds()), append(durations, duration.Seconds())
			}
		}
		kept := 0
		for i := range dates {
			if durations[i] <= dates[i] {
				kept++
			}
		}
		slices.Sort(dates)
		slices.Sort(durations)
		share, ratio := float64(kept)/float64(len(dates)), dates[len(dates)/2]/durations[len(durations)/2]
		t.Logf("%s: %.3f of the dates kept, median date %.2f times the median duration", team.name, share, ratio)
		if share < team.wantKept || ratio > team.wantRatio {
			t.Errorf("%s: got %.3f kept, a ratio of %.2f; want %.3f at least, %.2f at most", team.name, share, ratio, team.wantKept, team.wantRatio)
		}
	}
}

// simulateJob simulates job i of a team, has the quoter learn from it, and returns its
// date and its duration.
func (team *calibrationCase) simulateJob(t *testing.T, quoter *Quoter, rng *rand.Rand, i int) (date, duration time.Duration) {
	t.Helper()
	const expected = 40.0
	actual := expected
	if team.wrongEstimates {
		actual = expected * (0.5 + float64(i/200)*0.5)
	}
	var wait float64
	if team.bursts && i%100 >= 80 {
		wait = 120 * rng.Float64()
	}
	quoter.UpdateLoad("c", Load{Wait: time.Duration(wait * float64(time.Second)), FreeCapacity: 100, RunRatio: 1, RunSpread: 0.3})
	job := Job{Team: "t", Class: "c", Tasks: 1 + rng.IntN(30), Expected: expected * time.Second, FetchTime: 2 * time.Second}
	longest := 0.0
	for range job.Tasks {
		longest = max(longest, actual*math.Exp(team.spread*rng.NormFloat64()))
	}
	duration = time.Duration((wait*(0.7+0.6*rng.Float64()) + 2 + longest) * float64(time.Second))
	base := quoter.Base(job)
	date, known := quoter.Quote(job)
	if !known {
		t.Fatal("got the class unknown after its load was set, want it known")
	}
	quoter.LearnFinish(job, base, duration)
	quoter.LearnOutcome(job, duration <= date)
	return date, duration
}

// TestQuoterRoundTrip guards against quotes that differ between controllers: a decoded
// quoter quotes the same dates, for classes and sizes that were seen. It also checks that
// no more classes are kept and encoded than fit.
func TestQuoterRoundTrip(t *testing.T) {
	const limit = 1500
	jobOf := func(i int) Job {
		return Job{Team: "t", Class: fmt.Sprint("class-", i), Tasks: 1 + i, Expected: time.Minute, FetchTime: time.Second}
	}
	quoter := NewQuoter(0.95)
	for i := range 50 {
		job := jobOf(i)
		quoter.UpdateLoad(job.Class, Load{Wait: time.Duration(i) * time.Second, FreeCapacity: 10, RunRatio: 1.5, RunSpread: 0.25})
		quoter.LearnFinish(job, quoter.Base(job), time.Duration(i+1)*time.Minute)
	}
	value := quoter.Encode("t", limit)
	if jsonSize(value) > limit {
		t.Fatalf("got %d bytes, want %d at most", jsonSize(value), limit)
	}
	team, decoded, err := DecodeQuoter(value, 0.95)
	if err != nil || team != "t" || len(decoded.classes) < 10 || len(quoter.classes) > maxClasses {
		t.Fatalf("got team %s, %d classes of %d, error %v; want t, 10 classes at least, of %d at most", team, len(decoded.classes), len(quoter.classes), err, maxClasses)
	}
	for i := range 50 {
		job := jobOf(i)
		if decoded.classes[job.Class] == nil {
			continue
		}
		want, _ := quoter.Quote(job)
		got, known := decoded.Quote(job)
		// Long dates depend on the spread of ratios, which isn't encoded.
		if diff := math.Abs(want.Seconds()/got.Seconds() - 1); !known || diff > 0.3 || want < revisableAfter && diff > 0.03 {
			t.Errorf("%s: got %v, known %v; want about %v", job.Class, got, known, want)
		}
	}
}

// FuzzRecords guards against panics on damaged records: decoding fails with an error, or
// what is decoded is valid and can be encoded and decoded again.
func FuzzRecords(f *testing.F) {
	quoter := NewQuoter(0.9)
	quoter.UpdateLoad("c", Load{Wait: time.Second, FreeCapacity: 3, RunRatio: 1, RunSpread: 0.2})
	totals := &Totals{Revision: 5}
	totals.Add(JobEnd{Team: "t", Class: "c", Date: Date{time.Minute, 2}, Duration: time.Hour})
	f.Add(encodePage(map[string]Entry{"job-1": {"job-1", Date{time.Minute, 1}, Outage}}))
	f.Add(quoter.Encode("t", 4000))
	f.Add(totals.Encode(4000))
	f.Add([]byte{0x82, 0xa1, 'v', 1, 0xa1, 'e', 0xdd, 0xff, 0xff, 0xff, 0xff})
	f.Fuzz(func(t *testing.T, value []byte) {
		if entries, err := DecodePage(value); err == nil {
			again, err := DecodePage(encodePage(entries))
			if err != nil || !maps.Equal(entries, again) {
				t.Errorf("got page %v, error %v; want %v", again, err, entries)
			}
		}
		if team, quoter, err := DecodeQuoter(value, 0.95); err == nil {
			if date, _ := quoter.Quote(Job{Team: team, Class: "c", Tasks: 5, Expected: time.Hour}); date <= 0 || date > MaxDate {
				t.Errorf("got a quote of %v, want more than 0 and up to %v", date, MaxDate)
			}
			if _, _, err := DecodeQuoter(quoter.Encode(team, 1<<20), 0.95); err != nil {
				t.Errorf("quotes encoded again: got error %v, want none", err)
			}
		}
		if totals, err := DecodeTotals(value); err == nil {
			if _, err := DecodeTotals(totals.Encode(1 << 20)); err != nil {
				t.Errorf("totals encoded again: got error %v, want none", err)
			}
		}
	})
}

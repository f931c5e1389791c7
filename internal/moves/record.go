package moves

import (
	"cmp"
	"errors"
	"fmt"
	"math"
	"slices"
	"time"

	"github.com/micahill/micahill/internal/amount"
	"github.com/micahill/micahill/internal/bounds"
	"github.com/vmihailenco/msgpack/v5"
)

// form is the number of the record's form, and indexMost the highest number of a task.
const (
	form      = 1
	indexMost = 100_000
)

// ErrRecord says that a record can't be used.
var ErrRecord = errors.New("moves: not a record")

// record is a team's moves in the state service. Times are Unix milliseconds, durations
// milliseconds.
type record struct {
	V      int         `msgpack:"v"`
	Plans  []planRow   `msgpack:"p,omitempty"`
	Recent []recentRow `msgpack:"r,omitempty"`
}

type planRow struct {
	ID      uint64    `msgpack:"i"`
	For     string    `msgpack:"j"`
	Need    []float64 `msgpack:"n"`
	Host    string    `msgpack:"h"`
	Until   int64     `msgpack:"u"`
	Dearest int64     `msgpack:"d"`
	Steps   []stepRow `msgpack:"s"`
}

type stepRow struct {
	Job   string    `msgpack:"j"`
	Index int       `msgpack:"i"`
	Try   uint64    `msgpack:"t"`
	From  string    `msgpack:"f"`
	To    string    `msgpack:"o"`
	Need  []float64 `msgpack:"n"`
	Down  int64     `msgpack:"d"`
}

type recentRow struct {
	Job   string `msgpack:"j"`
	Index int    `msgpack:"i"`
	Until int64  `msgpack:"u"`
}

func row(r amount.Resources) []float64 { return []float64{r.CPU, r.GPU, r.Memory} }

func unrow(f []float64) amount.Resources {
	return amount.Resources{CPU: f[0], GPU: f[1], Memory: f[2]}
}

// record is what a team's record should hold now.
func (b *Book) record(team string) record {
	r := record{V: form}
	for _, e := range b.entries {
		if e.Team != team {
			continue
		}
		p := planRow{ID: e.ID, For: e.For, Need: row(e.Need), Host: e.Host, Until: e.Until.UnixMilli(), Dearest: e.Dearest.Milliseconds()}
		for i := range e.Steps {
			s := &e.Steps[i]
			p.Steps = append(p.Steps, stepRow{s.Job, s.Index, s.Try, s.From, s.To, row(s.Need), s.Down.Milliseconds()})
		}
		r.Plans = append(r.Plans, p)
	}
	s := b.shelf(team)
	for k, until := range s.recent {
		r.Recent = append(r.Recent, recentRow{k.job, k.index, until.UnixMilli()})
	}
	slices.SortFunc(r.Recent, func(a, b recentRow) int {
		return cmp.Or(cmp.Compare(a.Job, b.Job), cmp.Compare(a.Index, b.Index))
	})
	return r
}

func (b *Book) bytes(team string) int {
	v, err := msgpack.Marshal(b.record(team))
	if err != nil {
		return math.MaxInt
	}
	k, err := bounds.JSON(v)
	if err != nil {
		return math.MaxInt
	}
	return k
}

// Due says since when a team's record differs from what is written, and whether a new
// plan waits for it.
func (b *Book) Due(team string) (since time.Time, fresh, due bool) {
	s := b.shelves[team]
	if s == nil || s.ver == s.saved {
		return time.Time{}, false, false
	}
	return s.since, len(b.Fresh(team)) > 0, true
}

// Fresh are a team's plans that are not known to be durable.
func (b *Book) Fresh(team string) []*Entry {
	var out []*Entry
	for _, e := range b.entries {
		if e.Team == team && !e.durable {
			out = append(out, e)
		}
	}
	return out
}

// Teams are those with a record, in order.
func (b *Book) Teams() []string {
	var out []string
	for t := range b.shelves {
		out = append(out, t)
	}
	slices.Sort(out)
	return out
}

// Write is a team's record to be written, nil when it is to be removed, and its version.
func (b *Book) Write(team string) ([]byte, uint64) {
	r := b.record(team)
	if len(r.Plans)+len(r.Recent) == 0 {
		return nil, b.shelf(team).ver
	}
	v, err := msgpack.Marshal(r)
	if err != nil {
		// Only plain structs of ours come here; they always encode.
		panic("moves: " + err.Error())
	}
	return v, b.shelf(team).ver
}

// Saved notes that a version of a team's record is durable.
func (b *Book) Saved(team string, ver uint64) {
	b.shelf(team).saved = ver
	for _, e := range b.entries {
		if e.Team == team && e.ver <= ver {
			e.durable = true
		}
	}
}

// Refused drops a team's plans that are not durable: something that they rest on has
// changed.
func (b *Book) Refused(team string, now time.Time) {
	k := len(b.entries)
	b.entries = slices.DeleteFunc(b.entries, func(e *Entry) bool { return e.Team == team && !e.durable })
	if len(b.entries) != k {
		b.changed(team, now)
	}
}

// Unsure notes that a write may have been applied, or may be later: what stands there
// is to be written anew.
func (b *Book) Unsure(team string, now time.Time) { b.changed(team, now) }

// Restore takes up a record that a former owner wrote. What of it can't be is refused as
// a whole, and told.
func (b *Book) Restore(now time.Time, team string, value []byte) error {
	r, err := decode(value)
	if err != nil {
		return err
	}
	s := b.shelf(team)
	for _, x := range r.Recent {
		s.recent[replica{x.Job, x.Index}] = time.UnixMilli(min(x.Until, now.Add(b.Again).UnixMilli()))
	}
	for _, p := range r.Plans {
		e := &Entry{ID: p.ID, Team: team, For: p.For, Need: unrow(p.Need), Host: p.Host, Until: time.UnixMilli(p.Until), Dearest: time.Duration(p.Dearest) * time.Millisecond, durable: true}
		// Clocks differ, and a record may be damaged: nothing is held for longer than
		// a new plan's places would be.
		if last := now.Add(holdMost); e.Until.After(last) {
			e.Until = last
		}
		for _, x := range p.Steps {
			st := Step{Move: Move{Job: x.Job, Index: x.Index, From: x.From, To: x.To, Need: unrow(x.Need), Down: time.Duration(x.Down) * time.Millisecond}, Try: x.Try}
			if b.underWay(x.Job, x.Index) {
				// Another team's record has it as well; it is to have one place.
				st.State = Dropped
			}
			e.Steps = append(e.Steps, st)
		}
		b.add(e)
	}
	b.trim(now, team)
	return nil
}

// trim lets go of what was written under a larger limit of values than there is now. It
// only costs: places that were held, and rest between two moves of a replica.
func (b *Book) trim(now time.Time, team string) {
	if b.Bytes <= 0 || b.bytes(team) <= b.Bytes {
		return
	}
	b.changed(team, now)
	s := b.shelf(team)
	rows := b.record(team).Recent
	slices.SortStableFunc(rows, func(a, b recentRow) int { return cmp.Compare(a.Until, b.Until) })
	for len(rows) > 0 && b.bytes(team) > b.Bytes {
		delete(s.recent, replica{rows[0].Job, rows[0].Index})
		rows = rows[1:]
	}
	for i := len(b.entries) - 1; i >= 0 && b.bytes(team) > b.Bytes; i-- {
		if b.entries[i].Team == team {
			b.entries = slices.Delete(b.entries, i, i+1)
		}
	}
}

// decode reads a record and judges it.
func decode(b []byte) (record, error) {
	var r record
	if _, err := bounds.JSON(b); err != nil {
		return r, fmt.Errorf("%w: %w", ErrRecord, err)
	}
	if err := msgpack.Unmarshal(b, &r); err != nil {
		return r, fmt.Errorf("%w: %w", ErrRecord, err)
	}
	if bad := r.bad(); bad != "" {
		return record{}, fmt.Errorf("%w: %s", ErrRecord, bad)
	}
	return r, nil
}

// bad names the first thing in a record that makes no sense, and what would.
func (r *record) bad() string {
	if r.V != form {
		return fmt.Sprintf("v is %d, want %d", r.V, form)
	}
	if len(r.Recent) > recentMost {
		return fmt.Sprintf("r has %d rows, want at most %d", len(r.Recent), recentMost)
	}
	for i, x := range r.Recent {
		if bad := badTask(x.Job, x.Index); bad != "" || x.Until <= 0 {
			return fmt.Sprintf("r[%d]: want a task and a time: %s", i, bad)
		}
	}
	intents := 0
	seen := map[replica]bool{}
	ids := map[uint64]bool{}
	for i := range r.Plans {
		p := &r.Plans[i]
		if bad := p.bad(); bad != "" {
			return fmt.Sprintf("p[%d].%s", i, bad)
		}
		if intents += len(p.Steps); intents > IntentsMost {
			return fmt.Sprintf("p[%d]: want at most %d moves in all", i, IntentsMost)
		}
		if ids[p.ID] {
			return fmt.Sprintf("p[%d].i: %d is there twice", i, p.ID)
		}
		ids[p.ID] = true
		for k := range p.Steps {
			s := &p.Steps[k]
			if bad := s.bad(); bad != "" {
				return fmt.Sprintf("p[%d].s[%d].%s", i, k, bad)
			}
			if seen[replica{s.Job, s.Index}] {
				return fmt.Sprintf("p[%d].s[%d]: %s/%d is there twice", i, k, s.Job, s.Index)
			}
			seen[replica{s.Job, s.Index}] = true
		}
	}
	return ""
}

func (p *planRow) bad() string {
	switch {
	case p.ID == 0:
		return "i: want a number above 0"
	case !named(p.For):
		return "j: want a job's name"
	case !sized(p.Need):
		return "n: want three amounts"
	case !named(p.Host):
		return "h: want a machine's name"
	case p.Until <= 0:
		return "u: want a time"
	case p.Dearest < 0:
		return "d: want milliseconds"
	case len(p.Steps) == 0 || len(p.Steps) > MovesMost:
		return fmt.Sprintf("s: want 1 to %d moves", MovesMost)
	}
	return ""
}

func (s *stepRow) bad() string {
	switch {
	case badTask(s.Job, s.Index) != "":
		return "j: " + badTask(s.Job, s.Index)
	case s.Try == 0:
		return "t: want an attempt"
	case !named(s.From) || !named(s.To) || s.From == s.To:
		return "f: want two machines' names"
	case !sized(s.Need):
		return "n: want three amounts"
	case s.Down < 0 || s.Down > int64(24*time.Hour/time.Millisecond):
		return "d: want milliseconds"
	}
	return ""
}

func badTask(job string, index int) string {
	if !named(job) || index < 0 || index > indexMost {
		return fmt.Sprintf("%q/%d is no task", job, index)
	}
	return ""
}

func named(s string) bool { return s != "" && len(s) <= bounds.MaxKeyBytes }

// sized says that these are amounts that a task may take.
func sized(f []float64) bool {
	return len(f) == 3 && !slices.ContainsFunc(f, func(x float64) bool { return !(x >= 0 && x <= 1e9) }) && f[0]+f[1]+f[2] > 0
}

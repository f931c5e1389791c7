package migration

import (
	"cmp"
	"errors"
	"fmt"
	"math"
	"slices"
	"time"

	"github.com/micahill/micahill/internal/resource"
	"github.com/micahill/micahill/internal/sizelimit"
	"github.com/vmihailenco/msgpack/v5"
)

// formatVersion is the number of the record's form, and maxTaskIndex the highest number of a task.
const (
	formatVersion = 1
	maxTaskIndex  = 100_000
)

// ErrRecord says that a record can't be used.
var ErrRecord = errors.New("moves: not a record")

// record is a team's moves in the state service. Times are Unix milliseconds, durations
// milliseconds.
type record struct {
	Version int         `msgpack:"v"`
	Plans   []planRow   `msgpack:"p,omitempty"`
	Recent  []recentRow `msgpack:"r,omitempty"`
}

type planRow struct {
	ID      uint64    `msgpack:"i"`
	HeldFor string    `msgpack:"j"`
	Need    []float64 `msgpack:"n"`
	Host    string    `msgpack:"h"`
	Until   int64     `msgpack:"u"`
	MaxCost int64     `msgpack:"d"`
	Steps   []stepRow `msgpack:"s"`
}

type stepRow struct {
	Job      string    `msgpack:"j"`
	Index    int       `msgpack:"i"`
	Attempt  uint64    `msgpack:"t"`
	From     string    `msgpack:"f"`
	To       string    `msgpack:"o"`
	Need     []float64 `msgpack:"n"`
	Downtime int64     `msgpack:"d"`
}

type recentRow struct {
	Job   string `msgpack:"j"`
	Index int    `msgpack:"i"`
	Until int64  `msgpack:"u"`
}

func encodeResources(r resource.Resources) []float64 { return []float64{r.CPU, r.GPU, r.Memory} }

func decodeResources(f []float64) resource.Resources {
	return resource.Resources{CPU: f[0], GPU: f[1], Memory: f[2]}
}

// record is what a team's record should hold now.
func (b *Tracker) record(team string) record {
	r := record{Version: formatVersion}
	for _, e := range b.plans {
		if e.Team != team {
			continue
		}
		p := planRow{ID: e.ID, HeldFor: e.HeldFor, Need: encodeResources(e.Need), Host: e.Host, Until: e.Until.UnixMilli(), MaxCost: e.MaxCost.Milliseconds()}
		for i := range e.Steps {
			s := &e.Steps[i]
			p.Steps = append(p.Steps, stepRow{s.Job, s.Index, s.Attempt, s.From, s.To, encodeResources(s.Need), s.Downtime.Milliseconds()})
		}
		r.Plans = append(r.Plans, p)
	}
	s := b.teamState(team)
	for k, until := range s.recent {
		r.Recent = append(r.Recent, recentRow{k.job, k.index, until.UnixMilli()})
	}
	slices.SortFunc(r.Recent, func(a, b recentRow) int {
		return cmp.Or(cmp.Compare(a.Job, b.Job), cmp.Compare(a.Index, b.Index))
	})
	return r
}

func (b *Tracker) recordBytes(team string) int {
	v, err := msgpack.Marshal(b.record(team))
	if err != nil {
		return math.MaxInt
	}
	size, err := sizelimit.JSON(v)
	if err != nil {
		return math.MaxInt
	}
	return size
}

// WriteDue says since when a team's record differs from what is written, and whether a new
// plan waits for it.
func (b *Tracker) WriteDue(team string) (since time.Time, hasNewPlans, due bool) {
	s := b.teams[team]
	if s == nil || s.version == s.persistedVersion {
		return time.Time{}, false, false
	}
	return s.changedSince, len(b.UnsavedPlans(team)) > 0, true
}

// UnsavedPlans are a team's plans that are not known to be durable.
func (b *Tracker) UnsavedPlans(team string) []*ActivePlan {
	var out []*ActivePlan
	for _, e := range b.plans {
		if e.Team == team && !e.durable {
			out = append(out, e)
		}
	}
	return out
}

// Teams are those with a record, in order.
func (b *Tracker) Teams() []string {
	var out []string
	for t := range b.teams {
		out = append(out, t)
	}
	slices.Sort(out)
	return out
}

// EncodeRecord is a team's record to be written, nil when it is to be removed, and its version.
func (b *Tracker) EncodeRecord(team string) ([]byte, uint64) {
	r := b.record(team)
	if len(r.Plans)+len(r.Recent) == 0 {
		return nil, b.teamState(team).version
	}
	v, err := msgpack.Marshal(r)
	if err != nil {
		// Only plain structs of ours come here; they always encode.
		panic("moves: " + err.Error())
	}
	return v, b.teamState(team).version
}

// MarkPersisted notes that a version of a team's record is durable.
func (b *Tracker) MarkPersisted(team string, version uint64) {
	b.teamState(team).persistedVersion = version
	for _, e := range b.plans {
		if e.Team == team && e.version <= version {
			e.durable = true
		}
	}
}

// WriteRefused drops a team's plans that are not durable: something that they rest on has
// changed.
func (b *Tracker) WriteRefused(team string, now time.Time) {
	count := len(b.plans)
	b.plans = slices.DeleteFunc(b.plans, func(e *ActivePlan) bool { return e.Team == team && !e.durable })
	if len(b.plans) != count {
		b.markChanged(team, now)
	}
}

// WriteUncertain notes that a write may have been applied, or may be later: what stands there
// is to be written anew.
func (b *Tracker) WriteUncertain(team string, now time.Time) { b.markChanged(team, now) }

// Recover takes up a record that a former owner wrote. What of it can't be is refused as
// a whole, and told.
func (b *Tracker) Recover(now time.Time, team string, value []byte) error {
	r, err := decodeRecord(value)
	if err != nil {
		return err
	}
	s := b.teamState(team)
	for _, x := range r.Recent {
		s.recent[replicaKey{x.Job, x.Index}] = time.UnixMilli(min(x.Until, now.Add(b.Cooldown).UnixMilli()))
	}
	for _, p := range r.Plans {
		e := &ActivePlan{ID: p.ID, Team: team, HeldFor: p.HeldFor, Need: decodeResources(p.Need), Host: p.Host, Until: time.UnixMilli(p.Until), MaxCost: time.Duration(p.MaxCost) * time.Millisecond, durable: true}
		// Clocks differ, and a record may be damaged: nothing is held for longer than
		// a new plan's places would be.
		if last := now.Add(maxHold); e.Until.After(last) {
			e.Until = last
		}
		for _, x := range p.Steps {
			planStep := Step{Move: Move{Job: x.Job, Index: x.Index, From: x.From, To: x.To, Need: decodeResources(x.Need), Downtime: time.Duration(x.Downtime) * time.Millisecond}, Attempt: x.Attempt}
			if b.isMoving(x.Job, x.Index) {
				// Another team's record has it as well; it is to have one place.
				planStep.State = Dropped
			}
			e.Steps = append(e.Steps, planStep)
		}
		b.addPlan(e)
	}
	b.trimToLimit(now, team)
	return nil
}

// trimToLimit lets go of what was written under a larger limit of values than there is now. It
// only costs: places that were held, and rest between two moves of a replica.
func (b *Tracker) trimToLimit(now time.Time, team string) {
	if b.MaxRecordBytes <= 0 || b.recordBytes(team) <= b.MaxRecordBytes {
		return
	}
	b.markChanged(team, now)
	s := b.teamState(team)
	rows := b.record(team).Recent
	slices.SortStableFunc(rows, func(a, b recentRow) int { return cmp.Compare(a.Until, b.Until) })
	for len(rows) > 0 && b.recordBytes(team) > b.MaxRecordBytes {
		delete(s.recent, replicaKey{rows[0].Job, rows[0].Index})
		rows = rows[1:]
	}
	for i := len(b.plans) - 1; i >= 0 && b.recordBytes(team) > b.MaxRecordBytes; i-- {
		if b.plans[i].Team == team {
			b.plans = slices.Delete(b.plans, i, i+1)
		}
	}
}

// decodeRecord reads a record and judges it.
func decodeRecord(b []byte) (record, error) {
	var r record
	if _, err := sizelimit.JSON(b); err != nil {
		return r, fmt.Errorf("%w: %w", ErrRecord, err)
	}
	if err := msgpack.Unmarshal(b, &r); err != nil {
		return r, fmt.Errorf("%w: %w", ErrRecord, err)
	}
	if problem := r.validate(); problem != "" {
		return record{}, fmt.Errorf("%w: %s", ErrRecord, problem)
	}
	return r, nil
}

// validate names the first thing in a record that makes no sense, and what would.
func (r *record) validate() string {
	if r.Version != formatVersion {
		return fmt.Sprintf("v is %d, want %d", r.Version, formatVersion)
	}
	if len(r.Recent) > maxRecent {
		return fmt.Sprintf("r has %d rows, want at most %d", len(r.Recent), maxRecent)
	}
	for i, x := range r.Recent {
		if problem := validateTask(x.Job, x.Index); problem != "" || x.Until <= 0 {
			return fmt.Sprintf("r[%d]: want a task and a time: %s", i, problem)
		}
	}
	intents := 0
	seen := map[replicaKey]bool{}
	ids := map[uint64]bool{}
	for i := range r.Plans {
		p := &r.Plans[i]
		if problem := p.validate(); problem != "" {
			return fmt.Sprintf("p[%d].%s", i, problem)
		}
		if intents += len(p.Steps); intents > MaxIntents {
			return fmt.Sprintf("p[%d]: want at most %d moves in all", i, MaxIntents)
		}
		if ids[p.ID] {
			return fmt.Sprintf("p[%d].i: %d is there twice", i, p.ID)
		}
		ids[p.ID] = true
		for k := range p.Steps {
			s := &p.Steps[k]
			if problem := s.validate(); problem != "" {
				return fmt.Sprintf("p[%d].s[%d].%s", i, k, problem)
			}
			if seen[replicaKey{s.Job, s.Index}] {
				return fmt.Sprintf("p[%d].s[%d]: %s/%d is there twice", i, k, s.Job, s.Index)
			}
			seen[replicaKey{s.Job, s.Index}] = true
		}
	}
	return ""
}

func (p *planRow) validate() string {
	switch {
	case p.ID == 0:
		return "i: want a number above 0"
	case !isName(p.HeldFor):
		return "j: want a job's name"
	case !isAmounts(p.Need):
		return "n: want three amounts"
	case !isName(p.Host):
		return "h: want a machine's name"
	case p.Until <= 0:
		return "u: want a time"
	case p.MaxCost < 0:
		return "d: want milliseconds"
	case len(p.Steps) == 0 || len(p.Steps) > MaxMoves:
		return fmt.Sprintf("s: want 1 to %d moves", MaxMoves)
	}
	return ""
}

func (s *stepRow) validate() string {
	switch {
	case validateTask(s.Job, s.Index) != "":
		return "j: " + validateTask(s.Job, s.Index)
	case s.Attempt == 0:
		return "t: want an attempt"
	case !isName(s.From) || !isName(s.To) || s.From == s.To:
		return "f: want two machines' names"
	case !isAmounts(s.Need):
		return "n: want three amounts"
	case s.Downtime < 0 || s.Downtime > int64(24*time.Hour/time.Millisecond):
		return "d: want milliseconds"
	}
	return ""
}

func validateTask(job string, index int) string {
	if !isName(job) || index < 0 || index > maxTaskIndex {
		return fmt.Sprintf("%q/%d is no task", job, index)
	}
	return ""
}

func isName(s string) bool { return s != "" && len(s) <= sizelimit.MaxKeyBytes }

// isAmounts says that these are amounts that a task may take.
func isAmounts(f []float64) bool {
	return len(f) == 3 && !slices.ContainsFunc(f, func(x float64) bool { return !(x >= 0 && x <= 1e9) }) && f[0]+f[1]+f[2] > 0
}

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

const (
	// formatVersion is the version of the record format.
	formatVersion = 1
	// maxTaskIndex is the highest index of a task in a record.
	maxTaskIndex = 100_000
	// maxDowntime is the longest downtime of a move in a record.
	maxDowntime = 24 * time.Hour
)

// ErrRecord says that a value is not a record of migrations, or not a valid one. It is wrapped
// with the reason.
var ErrRecord = errors.New("migration: not a record")

// record is a team's migrations in the state service. Times are in Unix milliseconds,
// durations in milliseconds.
type record struct {
	Version int         `msgpack:"v"`
	Plans   []planRow   `msgpack:"p,omitempty"`
	Recent  []recentRow `msgpack:"r,omitempty"`
}

// planRow is an ActivePlan, and stepRow a Step.
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

// recentRow is a replica that is left alone until a time.
type recentRow struct {
	Job   string `msgpack:"j"`
	Index int    `msgpack:"i"`
	Until int64  `msgpack:"u"`
}

func encodeResources(r resource.Resources) []float64 { return []float64{r.CPU, r.GPU, r.Memory} }

func decodeResources(f []float64) resource.Resources {
	return resource.Resources{CPU: f[0], GPU: f[1], Memory: f[2]}
}

// record is what a team's record should be now.
func (t *Tracker) record(team string) record {
	r := record{Version: formatVersion}
	for _, p := range t.plans {
		if p.Team != team {
			continue
		}
		row := planRow{ID: p.ID, HeldFor: p.HeldFor, Need: encodeResources(p.Need), Host: p.Host, Until: p.Until.UnixMilli(), MaxCost: p.MaxCost.Milliseconds()}
		for i := range p.Steps {
			s := &p.Steps[i]
			row.Steps = append(row.Steps, stepRow{s.Job, s.Index, s.Attempt, s.From, s.To, encodeResources(s.Need), s.Downtime.Milliseconds()})
		}
		r.Plans = append(r.Plans, row)
	}
	s := t.teamState(team)
	for k, until := range s.recent {
		r.Recent = append(r.Recent, recentRow{k.job, k.index, until.UnixMilli()})
	}
	slices.SortFunc(r.Recent, func(a, b recentRow) int {
		return cmp.Or(cmp.Compare(a.Job, b.Job), cmp.Compare(a.Index, b.Index))
	})
	return r
}

// recordBytes is how long a team's record would be as JSON, by which the state service measures
// it.
func (t *Tracker) recordBytes(team string) int {
	v, err := msgpack.Marshal(t.record(team))
	if err != nil {
		return math.MaxInt
	}
	size, err := sizelimit.JSON(v)
	if err != nil {
		return math.MaxInt
	}
	return size
}

// WriteDue says whether a team's record differs from the one written, since when, and whether a
// new plan waits for it to be written.
func (t *Tracker) WriteDue(team string) (since time.Time, hasNewPlans, due bool) {
	s := t.teams[team]
	if s == nil || s.version == s.persistedVersion {
		return time.Time{}, false, false
	}
	return s.changedSince, len(t.UnsavedPlans(team)) > 0, true
}

// UnsavedPlans are a team's plans that are not known to be durable.
func (t *Tracker) UnsavedPlans(team string) []*ActivePlan {
	var out []*ActivePlan
	for _, p := range t.plans {
		if p.Team == team && !p.durable {
			out = append(out, p)
		}
	}
	return out
}

// Teams are the teams that have, or had, something to record, in order.
func (t *Tracker) Teams() []string {
	var out []string
	for team := range t.teams {
		out = append(out, team)
	}
	slices.Sort(out)
	return out
}

// EncodeRecord is a team's record, nil if it is to be deleted, and the version to give to
// MarkPersisted when that is written.
func (t *Tracker) EncodeRecord(team string) ([]byte, uint64) {
	r := t.record(team)
	if len(r.Plans)+len(r.Recent) == 0 {
		return nil, t.teamState(team).version
	}
	v, err := msgpack.Marshal(r)
	if err != nil {
		panic("migration: encode record: " + err.Error())
	}
	return v, t.teamState(team).version
}

// MarkPersisted notes that a version of a team's record is durable.
func (t *Tracker) MarkPersisted(team string, version uint64) {
	t.teamState(team).persistedVersion = version
	for _, p := range t.plans {
		if p.Team == team && p.version <= version {
			p.durable = true
		}
	}
}

// WriteRefused drops a team's plans that are not durable: something that they rest on has
// changed, so that the write was not applied.
func (t *Tracker) WriteRefused(team string, now time.Time) {
	count := len(t.plans)
	t.plans = slices.DeleteFunc(t.plans, func(p *ActivePlan) bool { return p.Team == team && !p.durable })
	if len(t.plans) != count {
		t.markChanged(team, now)
	}
}

// WriteUncertain notes that a write may have been applied, or may still be, so that the record
// has to be written anew.
func (t *Tracker) WriteUncertain(team string, now time.Time) { t.markChanged(team, now) }

// Recover adds what a team's record has, which a predecessor wrote. An invalid record is refused
// as a whole, with an error that is ErrRecord.
func (t *Tracker) Recover(now time.Time, team string, value []byte) error {
	r, err := decodeRecord(value)
	if err != nil {
		return err
	}
	s := t.teamState(team)
	for _, x := range r.Recent {
		s.recent[replicaKey{x.Job, x.Index}] = time.UnixMilli(min(x.Until, now.Add(t.Cooldown).UnixMilli()))
	}
	for _, row := range r.Plans {
		p := &ActivePlan{ID: row.ID, Team: team, HeldFor: row.HeldFor, Need: decodeResources(row.Need), Host: row.Host, Until: time.UnixMilli(row.Until), MaxCost: time.Duration(row.MaxCost) * time.Millisecond, durable: true}
		// Clocks differ, and a record may be damaged: nothing is held for longer than a new
		// plan could hold it.
		if last := now.Add(maxHold); p.Until.After(last) {
			p.Until = last
		}
		for _, x := range row.Steps {
			step := Step{Move: Move{Job: x.Job, Index: x.Index, From: x.From, To: x.To, Need: decodeResources(x.Need), Downtime: time.Duration(x.Downtime) * time.Millisecond}, Attempt: x.Attempt}
			if t.isMoving(x.Job, x.Index) {
				// Another team's record has the replica as well; it must be held for once only.
				step.State = Dropped
			}
			p.Steps = append(p.Steps, step)
		}
		t.addPlan(p)
	}
	t.trimToLimit(now, team)
	return nil
}

// trimToLimit drops what exceeds MaxRecordBytes in a record that was written under a larger
// limit: first cooldowns, those that end first, then plans, the newest first. Only a few moves
// are lost by that, or repeated.
func (t *Tracker) trimToLimit(now time.Time, team string) {
	if t.MaxRecordBytes <= 0 || t.recordBytes(team) <= t.MaxRecordBytes {
		return
	}
	t.markChanged(team, now)
	s := t.teamState(team)
	rows := t.record(team).Recent
	slices.SortStableFunc(rows, func(a, b recentRow) int { return cmp.Compare(a.Until, b.Until) })
	for len(rows) > 0 && t.recordBytes(team) > t.MaxRecordBytes {
		delete(s.recent, replicaKey{rows[0].Job, rows[0].Index})
		rows = rows[1:]
	}
	for i := len(t.plans) - 1; i >= 0 && t.recordBytes(team) > t.MaxRecordBytes; i-- {
		if t.plans[i].Team == team {
			t.plans = slices.Delete(t.plans, i, i+1)
		}
	}
}

// decodeRecord decodes a record and validates it. Its error is ErrRecord.
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

// validate returns the first thing that is wrong with a record, as field and what is wanted, ""
// if it is valid.
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
	case s.Downtime < 0 || s.Downtime > maxDowntime.Milliseconds():
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

// isAmounts says that f is CPU, GPU and memory as a task may take them.
func isAmounts(f []float64) bool {
	return len(f) == 3 && !slices.ContainsFunc(f, func(x float64) bool { return !(x >= 0 && x <= 1e9) }) && f[0]+f[1]+f[2] > 0
}

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
	// maxTaskIndex is the highest task index that a valid record may contain.
	maxTaskIndex = 100_000
	// maxDowntime is the longest downtime of a move that a valid record may contain.
	maxDowntime = 24 * time.Hour
)

// ErrRecord is the error for a value that is not a valid migration record. It is wrapped with the
// reason.
var ErrRecord = errors.New("migration: invalid record")

// record is a team's migration record in the state service. Times are in Unix milliseconds and
// durations in milliseconds.
type record struct {
	Version int         `msgpack:"v"`
	Plans   []planRow   `msgpack:"p,omitempty"`
	Recent  []recentRow `msgpack:"r,omitempty"`
}

// planRow is an ActivePlan in a record.
type planRow struct {
	ID      uint64    `msgpack:"i"`
	HeldFor string    `msgpack:"j"`
	Need    []float64 `msgpack:"n"`
	Host    string    `msgpack:"h"`
	Until   int64     `msgpack:"u"`
	MaxCost int64     `msgpack:"d"`
	Steps   []stepRow `msgpack:"s"`
}

// stepRow is a Step in a record. Its state is not stored; the Tracker derives it from the replica.
type stepRow struct {
	Job      string    `msgpack:"j"`
	Index    int       `msgpack:"i"`
	Attempt  uint64    `msgpack:"t"`
	From     string    `msgpack:"f"`
	To       string    `msgpack:"o"`
	Need     []float64 `msgpack:"n"`
	Downtime int64     `msgpack:"d"`
}

// recentRow is a replica that may not move before Until, as it was moved recently.
type recentRow struct {
	Job   string `msgpack:"j"`
	Index int    `msgpack:"i"`
	Until int64  `msgpack:"u"`
}

// encodeResources returns CPU, GPU and memory in the order of a record.
func encodeResources(r resource.Resources) []float64 { return []float64{r.CPU, r.GPU, r.Memory} }

// decodeResources is the inverse of encodeResources. The slice must have three elements.
func decodeResources(amounts []float64) resource.Resources {
	return resource.Resources{CPU: amounts[0], GPU: amounts[1], Memory: amounts[2]}
}

// record returns the record of a team's current plans and cooldowns.
func (tracker *Tracker) record(team string) record {
	rec := record{Version: formatVersion}
	for _, plan := range tracker.plans {
		if plan.Team != team {
			continue
		}
		row := planRow{ID: plan.ID, HeldFor: plan.HeldFor, Need: encodeResources(plan.Need), Host: plan.Host, Until: plan.Until.UnixMilli(), MaxCost: plan.MaxCost.Milliseconds()}
		for i := range plan.Steps {
			step := &plan.Steps[i]
			row.Steps = append(row.Steps, stepRow{step.Job, step.Index, step.Attempt, step.From, step.To, encodeResources(step.Need), step.Downtime.Milliseconds()})
		}
		rec.Plans = append(rec.Plans, row)
	}
	state := tracker.teamState(team)
	for key, until := range state.recent {
		rec.Recent = append(rec.Recent, recentRow{key.job, key.index, until.UnixMilli()})
	}
	slices.SortFunc(rec.Recent, func(a, b recentRow) int {
		return cmp.Or(cmp.Compare(a.Job, b.Job), cmp.Compare(a.Index, b.Index))
	})
	return rec
}

// recordBytes returns the size of a team's record in bytes of JSON, which is how the state service
// measures it. It returns math.MaxInt if the record can't be encoded.
func (tracker *Tracker) recordBytes(team string) int {
	value, err := msgpack.Marshal(tracker.record(team))
	if err != nil {
		return math.MaxInt
	}
	size, err := sizelimit.JSONSize(value)
	if err != nil {
		return math.MaxInt
	}
	return size
}

// WriteDue reports whether a team's record differs from the written one, since when it does, and
// whether it contains a plan that is not known to be durable.
func (tracker *Tracker) WriteDue(team string) (since time.Time, hasNewPlans, due bool) {
	state := tracker.teams[team]
	if state == nil || state.version == state.persistedVersion {
		return time.Time{}, false, false
	}
	return state.changedSince, len(tracker.UnsavedPlans(team)) > 0, true
}

// UnsavedPlans returns a team's plans that are not known to be durable.
func (tracker *Tracker) UnsavedPlans(team string) []*ActivePlan {
	var out []*ActivePlan
	for _, plan := range tracker.plans {
		if plan.Team == team && !plan.durable {
			out = append(out, plan)
		}
	}
	return out
}

// Teams returns the teams that have or had plans or cooldowns, sorted by name.
func (tracker *Tracker) Teams() []string {
	var out []string
	for team := range tracker.teams {
		out = append(out, team)
	}
	slices.Sort(out)
	return out
}

// EncodeRecord returns a team's encoded record, or nil if the record is to be deleted. It also returns
// the version to pass to MarkPersisted when that value is written.
func (tracker *Tracker) EncodeRecord(team string) ([]byte, uint64) {
	rec := tracker.record(team)
	if len(rec.Plans)+len(rec.Recent) == 0 {
		return nil, tracker.teamState(team).version
	}
	value, err := msgpack.Marshal(rec)
	if err != nil {
		panic("migration: encode record: " + err.Error())
	}
	return value, tracker.teamState(team).version
}

// MarkPersisted records that the given version of a team's record is durable.
func (tracker *Tracker) MarkPersisted(team string, version uint64) {
	tracker.teamState(team).persistedVersion = version
	for _, plan := range tracker.plans {
		if plan.Team == team && plan.version <= version {
			plan.durable = true
		}
	}
}

// WriteRefused drops a team's plans that are not durable. The caller calls it when the store did not
// apply a write because a job or a shard that the plans depend on has changed.
func (tracker *Tracker) WriteRefused(team string, now time.Time) {
	count := len(tracker.plans)
	tracker.plans = slices.DeleteFunc(tracker.plans, func(plan *ActivePlan) bool { return plan.Team == team && !plan.durable })
	if len(tracker.plans) != count {
		tracker.markChanged(team, now)
	}
}

// WriteUncertain marks a team's record as changed, so that it is written again. The caller calls it
// when a write has an unknown outcome: it may have been applied, or may be applied later.
func (tracker *Tracker) WriteUncertain(team string, now time.Time) { tracker.markChanged(team, now) }

// Recover adds the plans and cooldowns of a team's record that a former shard leader wrote. An invalid
// record is rejected as a whole, with an error that wraps ErrRecord.
func (tracker *Tracker) Recover(now time.Time, team string, value []byte) error {
	rec, err := decodeRecord(value)
	if err != nil {
		return err
	}
	state := tracker.teamState(team)
	for _, recent := range rec.Recent {
		state.recent[replicaKey{recent.Job, recent.Index}] = time.UnixMilli(min(recent.Until, now.Add(tracker.Cooldown).UnixMilli()))
	}
	for _, row := range rec.Plans {
		plan := &ActivePlan{ID: row.ID, Team: team, HeldFor: row.HeldFor, Need: decodeResources(row.Need), Host: row.Host, Until: time.UnixMilli(row.Until), MaxCost: time.Duration(row.MaxCost) * time.Millisecond, durable: true}
		// Clocks differ, and a record may be damaged: no capacity is held for longer than a new
		// plan could hold it.
		if latest := now.Add(maxHold); plan.Until.After(latest) {
			plan.Until = latest
		}
		for _, moveRow := range row.Steps {
			step := Step{Move: Move{Job: moveRow.Job, Index: moveRow.Index, From: moveRow.From, To: moveRow.To, Need: decodeResources(moveRow.Need), Downtime: time.Duration(moveRow.Downtime) * time.Millisecond}, Attempt: moveRow.Attempt}
			if tracker.isMoving(moveRow.Job, moveRow.Index) {
				// Another team's record contains the same replica. Capacity must be held for it
				// only once.
				step.State = Dropped
			}
			plan.Steps = append(plan.Steps, step)
		}
		tracker.addPlan(plan)
	}
	tracker.trimToLimit(now, team)
	return nil
}

// trimToLimit trims a team's record that was written under a larger limit to MaxRecordBytes. It first
// drops cooldowns, those that end soonest first, and then plans, the newest first. The consequence is
// at most that a few moves are given up, or that a few replicas are moved again early.
func (tracker *Tracker) trimToLimit(now time.Time, team string) {
	if tracker.MaxRecordBytes <= 0 || tracker.recordBytes(team) <= tracker.MaxRecordBytes {
		return
	}
	tracker.markChanged(team, now)
	state := tracker.teamState(team)
	rows := tracker.record(team).Recent
	slices.SortStableFunc(rows, func(a, b recentRow) int { return cmp.Compare(a.Until, b.Until) })
	for len(rows) > 0 && tracker.recordBytes(team) > tracker.MaxRecordBytes {
		delete(state.recent, replicaKey{rows[0].Job, rows[0].Index})
		rows = rows[1:]
	}
	for i := len(tracker.plans) - 1; i >= 0 && tracker.recordBytes(team) > tracker.MaxRecordBytes; i-- {
		if tracker.plans[i].Team == team {
			tracker.plans = slices.Delete(tracker.plans, i, i+1)
		}
	}
}

// decodeRecord decodes and validates a record. Its error wraps ErrRecord.
func decodeRecord(value []byte) (record, error) {
	var rec record
	if _, err := sizelimit.JSONSize(value); err != nil {
		return rec, fmt.Errorf("%w: %w", ErrRecord, err)
	}
	if err := msgpack.Unmarshal(value, &rec); err != nil {
		return rec, fmt.Errorf("%w: %w", ErrRecord, err)
	}
	if problem := rec.validate(); problem != "" {
		return record{}, fmt.Errorf("%w: %s", ErrRecord, problem)
	}
	return rec, nil
}

// validate returns the first problem of a record, as the field's name on the wire and what is allowed.
// It returns "" if the record is valid.
func (rec *record) validate() string {
	if rec.Version != formatVersion {
		return fmt.Sprintf("v is %d, want %d", rec.Version, formatVersion)
	}
	if len(rec.Recent) > maxRecent {
		return fmt.Sprintf("r has %d rows, want at most %d", len(rec.Recent), maxRecent)
	}
	for i, row := range rec.Recent {
		if problem := validateTask(row.Job, row.Index); problem != "" || row.Until <= 0 {
			return fmt.Sprintf("r[%d]: want a valid task and a positive time: %s", i, problem)
		}
	}
	moveCount := 0
	seen := map[replicaKey]bool{}
	ids := map[uint64]bool{}
	for i := range rec.Plans {
		plan := &rec.Plans[i]
		if problem := plan.validate(); problem != "" {
			return fmt.Sprintf("p[%d].%s", i, problem)
		}
		if moveCount += len(plan.Steps); moveCount > MaxRecordMoves {
			return fmt.Sprintf("p[%d]: want at most %d moves in total", i, MaxRecordMoves)
		}
		if ids[plan.ID] {
			return fmt.Sprintf("p[%d].i: %d appears twice", i, plan.ID)
		}
		ids[plan.ID] = true
		for stepIndex := range plan.Steps {
			step := &plan.Steps[stepIndex]
			if problem := step.validate(); problem != "" {
				return fmt.Sprintf("p[%d].s[%d].%s", i, stepIndex, problem)
			}
			if seen[replicaKey{step.Job, step.Index}] {
				return fmt.Sprintf("p[%d].s[%d]: %s/%d appears twice", i, stepIndex, step.Job, step.Index)
			}
			seen[replicaKey{step.Job, step.Index}] = true
		}
	}
	return ""
}

// validate returns the first problem of a plan, as the field's name on the wire and what is allowed. It
// returns "" if the plan is valid. It does not check the steps.
func (row *planRow) validate() string {
	switch {
	case row.ID == 0:
		return "i: want an ID above 0"
	case !isName(row.HeldFor):
		return "j: want a job ID"
	case !isValidNeed(row.Need):
		return "n: want three amounts from 0 to 1e9, not all 0"
	case !isName(row.Host):
		return "h: want a machine ID"
	case row.Until <= 0:
		return "u: want a positive time in Unix milliseconds"
	case row.MaxCost < 0:
		return "d: want a non-negative number of milliseconds"
	case len(row.Steps) == 0 || len(row.Steps) > MaxMoves:
		return fmt.Sprintf("s: want 1 to %d moves", MaxMoves)
	}
	return ""
}

// validate returns the first problem of a step, as the field's name on the wire and what is allowed. It
// returns "" if the step is valid.
func (row *stepRow) validate() string {
	switch {
	case validateTask(row.Job, row.Index) != "":
		return "j: " + validateTask(row.Job, row.Index)
	case row.Attempt == 0:
		return "t: want an attempt above 0"
	case !isName(row.From) || !isName(row.To) || row.From == row.To:
		return "f: want two different machine IDs in f and o"
	case !isValidNeed(row.Need):
		return "n: want three amounts from 0 to 1e9, not all 0"
	case row.Downtime < 0 || row.Downtime > maxDowntime.Milliseconds():
		return "d: want milliseconds of at most 24 hours"
	}
	return ""
}

// validateTask returns why a job ID and a task index name no task, or "" if they may name one.
func validateTask(job string, index int) string {
	if !isName(job) || index < 0 || index > maxTaskIndex {
		return fmt.Sprintf("invalid task %q/%d", job, index)
	}
	return ""
}

// isName reports whether s may be the ID of a job or a machine.
func isName(s string) bool { return s != "" && len(s) <= sizelimit.MaxKeyBytes }

// isValidNeed reports whether the amounts are a valid need of CPU, GPU and memory: three amounts from 0 to
// 1e9 that are not all 0.
func isValidNeed(amounts []float64) bool {
	return len(amounts) == 3 && !slices.ContainsFunc(amounts, func(amount float64) bool { return !(amount >= 0 && amount <= 1e9) }) && amounts[0]+amounts[1]+amounts[2] > 0
}

package promise

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"strings"
	"time"
)

const (
	// maxRows is the largest number of rows of the totals. Jobs of further teams and
	// classes are counted in the row of othersTeam.
	maxRows = 48
	// othersTeam is the team name of the row for jobs without a row of their own.
	othersTeam = "~others"
	// legacyTeam is the team name of the row for jobs that ended under a version without
	// promised dates, whose end records have neither team nor class.
	legacyTeam = "~before"
)

// JobEnd is an ended job as the totals count it.
type JobEnd struct {
	Team, Class string
	// Date is the job's last date; the zero Date means that it had none.
	Date Date
	// Duration is the time from the submission to the end.
	Duration time.Duration
	// PromisedAtAccept says that the reply to the submission contained a date.
	PromisedAtAccept bool
}

// Row counts ended jobs of one team and class.
type Row struct {
	Team  string
	Class string
	Jobs  int
	// Made counts the jobs with a date. Of these, Kept counts the jobs that ended in time,
	// Broken those that ended late, and Revised those whose date was revised.
	Made    int
	Kept    int
	Broken  int
	Revised int
	// Worst is the longest time by which a date was missed.
	Worst time.Duration
}

// add adds the counts of another row.
func (row *Row) add(other Row) {
	row.Jobs, row.Made, row.Kept, row.Broken, row.Revised = row.Jobs+other.Jobs, row.Made+other.Made, row.Kept+other.Kept, row.Broken+other.Broken, row.Revised+other.Revised
	row.Worst = max(row.Worst, other.Worst)
}

// The ratios of a job's date to its duration are counted in buckets of an eighth of a
// doubling, from 1/4 to 64.
const (
	ratioBuckets       = 64
	bucketsPerDoubling = 8
	minRatioLog2       = -2
)

// Totals counts the outcomes of all jobs that ended up to a revision of the state service.
// The zero value counts no jobs.
type Totals struct {
	// Revision is the revision as of which the totals are exact.
	Revision uint64
	// PromisedAtAccept counts the dates that were in the reply to the submission.
	PromisedAtAccept int
	rows             map[[2]string]*Row
	ratios           [ratioBuckets]int
}

// totalsRecord is the totals as stored.
type totalsRecord struct {
	Format   int    `msgpack:"v"`
	Revision uint64 `msgpack:"r"`
	// PromisedAtAccept counts the dates that were in the reply to the submission.
	PromisedAtAccept int               `msgpack:"f"`
	Rows             []storedTotalsRow `msgpack:"t"`
	Ratios           []int             `msgpack:"h"`
}

// storedTotalsRow is a Row as stored. WorstMS is in milliseconds.
type storedTotalsRow struct {
	//lint:ignore U1000 its tag makes the encoder store rows as lists
	_msgpack                          struct{} `msgpack:",as_array"`
	Team, Class                       string
	Jobs, Made, Kept, Broken, Revised int
	WorstMS                           int
}

// Add counts an ended job.
func (totals *Totals) Add(end JobEnd) {
	row := Row{Team: end.Team, Class: end.Class, Jobs: 1}
	if end.Team == "" {
		row.Team, row.Class = legacyTeam, ""
	}
	if end.Date.Revision > 0 {
		row.Made = 1
		row.Revised = min(1, end.Date.Revision-1)
		if late := end.Duration - end.Date.After; late > 0 {
			row.Broken, row.Worst = 1, late
		} else {
			row.Kept = 1
		}
		if end.PromisedAtAccept {
			totals.PromisedAtAccept++
		}
		bucket := int(math.Floor(bucketsPerDoubling * (math.Log2(end.Date.After.Seconds()/max(end.Duration.Seconds(), roundingStep.Seconds())) - minRatioLog2)))
		totals.ratios[min(max(bucket, 0), ratioBuckets-1)]++
	}
	totals.addRow(row)
}

// addRow adds a row's counts to the row of its team and class, or to the others' row if
// there are maxRows rows.
func (totals *Totals) addRow(row Row) {
	key := [2]string{row.Team, row.Class}
	if totals.rows[key] == nil && len(totals.rows) >= maxRows {
		key = [2]string{othersTeam, ""}
	}
	totals.addTo(key, row)
}

// addTo adds counts to the row with that key, which it creates if there is none.
func (totals *Totals) addTo(key [2]string, counts Row) {
	if totals.rows == nil {
		totals.rows = map[[2]string]*Row{}
	}
	row := totals.rows[key]
	if row == nil {
		row = &Row{Team: key[0], Class: key[1]}
		totals.rows[key] = row
	}
	row.add(counts)
}

// Rows returns copies of the rows, ordered by team and class.
func (totals *Totals) Rows() []Row {
	var rows []Row
	for _, row := range totals.rows {
		rows = append(rows, *row)
	}
	slices.SortFunc(rows, func(a, b Row) int { return cmp.Or(strings.Compare(a.Team, b.Team), strings.Compare(a.Class, b.Class)) })
	return rows
}

// Sum returns the sum of all rows.
func (totals *Totals) Sum() Row {
	var sum Row
	for _, row := range totals.rows {
		sum.add(*row)
	}
	return sum
}

// MedianRatio returns the median ratio of a job's date to its duration, 0 if no job had a
// date.
func (totals *Totals) MedianRatio() float64 {
	all := 0
	for _, count := range totals.ratios {
		all += count
	}
	seen := 0
	for i, count := range totals.ratios {
		if seen += count; all > 0 && 2*seen >= all {
			return math.Exp2((float64(i)+0.5)/bucketsPerDoubling + minRatioLog2)
		}
	}
	return 0
}

// Clone returns an independent copy.
func (totals *Totals) Clone() *Totals {
	clone := *totals
	clone.rows = make(map[[2]string]*Row, len(totals.rows))
	for k, row := range totals.rows {
		copied := *row
		clone.rows[k] = &copied
	}
	return &clone
}

// Encode returns the record, in up to limit bytes as JSON if possible. To fit the limit,
// it merges the rows with the fewest jobs into the others' row. It changes the receiver in
// the same way, so that it equals what readers of the record decode.
func (totals *Totals) Encode(limit int) []byte {
	for {
		rec := totalsRecord{Format: formatVersion, Revision: totals.Revision, PromisedAtAccept: totals.PromisedAtAccept, Ratios: slices.Clone(totals.ratios[:])}
		for _, row := range totals.Rows() {
			rec.Rows = append(rec.Rows, storedTotalsRow{Team: row.Team, Class: row.Class, Jobs: row.Jobs, Made: row.Made, Kept: row.Kept, Broken: row.Broken, Revised: row.Revised, WorstMS: int(row.Worst.Milliseconds())})
		}
		value := encode(rec)
		if jsonSize(value) <= limit || len(totals.rows) <= 1 {
			return value
		}
		totals.mergeSmallest()
	}
}

// mergeSmallest merges the row with the fewest jobs into the others' row.
func (totals *Totals) mergeSmallest() {
	var smallest Row
	for _, row := range totals.Rows() {
		if row.Team == othersTeam && row.Class == "" {
			continue
		}
		if smallest.Team == "" || row.Jobs < smallest.Jobs {
			smallest = row
		}
	}
	delete(totals.rows, [2]string{smallest.Team, smallest.Class})
	totals.addTo([2]string{othersTeam, ""}, smallest)
}

// DecodeTotals decodes what Encode returned. The error wraps ErrFormat if the record has
// another format version.
func DecodeTotals(value []byte) (*Totals, error) {
	var rec totalsRecord
	if err := decode(value, &rec); err != nil {
		return nil, err
	}
	if err := checkFormat(rec.Format); err != nil {
		return nil, err
	}
	totals := &Totals{Revision: rec.Revision, PromisedAtAccept: rec.PromisedAtAccept, rows: map[[2]string]*Row{}}
	if len(rec.Ratios) != ratioBuckets || rec.PromisedAtAccept < 0 || len(rec.Rows) > maxRows+1 {
		return nil, fmt.Errorf("%w: fields h, f, t are %d ratios, %d dates, %d rows: want %d, 0 or more, up to %d", errDamagedRecord, len(rec.Ratios), rec.PromisedAtAccept, len(rec.Rows), ratioBuckets, maxRows+1)
	}
	for i, count := range rec.Ratios {
		if count < 0 || count > maxCount {
			return nil, fmt.Errorf("%w: field h[%d] is %d: want 0 to %d", errDamagedRecord, i, count, maxCount)
		}
		totals.ratios[i] = count
	}
	for i, row := range rec.Rows {
		for _, count := range [...]int{row.Jobs, row.Made, row.Kept, row.Broken, row.Revised} {
			if count < 0 || count > maxCount {
				return nil, fmt.Errorf("%w: field t[%d] counts %d: want 0 to %d", errDamagedRecord, i, count, maxCount)
			}
		}
		if row.Kept+row.Broken != row.Made || row.Made > row.Jobs || row.Revised > row.Made || row.WorstMS < 0 || row.WorstMS > int(MaxDate.Milliseconds()) {
			return nil, fmt.Errorf("%w: field t[%d]: the counts of team %s, class %s contradict each other", errDamagedRecord, i, row.Team, row.Class)
		}
		key := [2]string{row.Team, row.Class}
		if row.Team == "" || len(row.Team) > maxNameLen || len(row.Class) > maxNameLen || totals.rows[key] != nil {
			return nil, fmt.Errorf("%w: field t[%d]: team %q, class %q: want each pair once, a team, and names of up to %d bytes", errDamagedRecord, i, row.Team, row.Class, maxNameLen)
		}
		totals.rows[key] = &Row{row.Team, row.Class, row.Jobs, row.Made, row.Kept, row.Broken, row.Revised, time.Duration(row.WorstMS) * time.Millisecond}
	}
	return totals, nil
}

// maxCount is the largest count in a record, so that no sum overflows.
const maxCount = 1 << 40

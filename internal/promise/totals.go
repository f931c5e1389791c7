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
	// maxRows bounds the rows of the totals. Further jobs are counted in the row of
	// othersTeam.
	maxRows    = 48
	othersTeam = "~others"
	// legacyTeam is the row of jobs that a version without promised dates ended: it stored
	// neither team nor class.
	legacyTeam = "~before"
)

// JobEnd is an ended job as the totals count it.
type JobEnd struct {
	Team, Class string
	// Date is the last date; the zero Date for none.
	Date Date
	// Duration is the time from the submission to the end.
	Duration time.Duration
	// PromisedAtAccept says that the reply to the submission had the date.
	PromisedAtAccept bool
}

// Row counts ended jobs of one team and class.
type Row struct {
	Team  string
	Class string
	Jobs  int
	// Made counts the jobs with a date; of these Kept and Broken count those that ended
	// in time and late, and Revised those whose date was revised.
	Made    int
	Kept    int
	Broken  int
	Revised int
	// Worst is the longest time by which a date was missed.
	Worst time.Duration
}

func (r *Row) add(o Row) {
	r.Jobs, r.Made, r.Kept, r.Broken, r.Revised = r.Jobs+o.Jobs, r.Made+o.Made, r.Kept+o.Kept, r.Broken+o.Broken, r.Revised+o.Revised
	r.Worst = max(r.Worst, o.Worst)
}

// The ratios of a job's date to its duration are counted in buckets of an eighth of a
// doubling, from 1/4 to 64.
const (
	ratioBuckets       = 64
	bucketsPerDoubling = 8
	minRatioLog2       = -2
)

// Totals are the outcomes of all jobs that ended up to a revision of the state service.
// The zero value has none.
type Totals struct {
	// Revision is the revision as of which the totals are exact.
	Revision uint64
	// PromisedAtAccept counts the dates that were in the reply to the submission.
	PromisedAtAccept int
	rows             map[[2]string]*Row
	ratios           [ratioBuckets]int
}

type totalsRecord struct {
	Format           int               `msgpack:"v"`
	Revision         uint64            `msgpack:"r"`
	PromisedAtAccept int               `msgpack:"f"`
	Rows             []storedTotalsRow `msgpack:"t"`
	Ratios           []int             `msgpack:"h"`
}

type storedTotalsRow struct {
	//lint:ignore U1000 its tag has rows stored as lists
	_msgpack                          struct{} `msgpack:",as_array"`
	Team, Class                       string
	Jobs, Made, Kept, Broken, Revised int
	WorstMS                           int
}

// Add counts an ended job.
func (t *Totals) Add(e JobEnd) {
	r := Row{Team: e.Team, Class: e.Class, Jobs: 1}
	if e.Team == "" {
		r.Team, r.Class = legacyTeam, ""
	}
	if e.Date.Revision > 0 {
		r.Made = 1
		r.Revised = min(1, e.Date.Revision-1)
		if late := e.Duration - e.Date.After; late > 0 {
			r.Broken, r.Worst = 1, late
		} else {
			r.Kept = 1
		}
		if e.PromisedAtAccept {
			t.PromisedAtAccept++
		}
		bucket := int(math.Floor(bucketsPerDoubling * (math.Log2(e.Date.After.Seconds()/max(e.Duration.Seconds(), roundingStep.Seconds())) - minRatioLog2)))
		t.ratios[min(max(bucket, 0), ratioBuckets-1)]++
	}
	t.addRow(r)
}

// addRow adds a row's counts to those of its team and class, or of the others.
func (t *Totals) addRow(r Row) {
	key := [2]string{r.Team, r.Class}
	if t.rows[key] == nil && len(t.rows) >= maxRows {
		key = [2]string{othersTeam, ""}
	}
	t.addTo(key, r)
}

// addTo adds counts to the row with that key, which it makes if there is none.
func (t *Totals) addTo(key [2]string, r Row) {
	if t.rows == nil {
		t.rows = map[[2]string]*Row{}
	}
	row := t.rows[key]
	if row == nil {
		row = &Row{Team: key[0], Class: key[1]}
		t.rows[key] = row
	}
	row.add(r)
}

// Rows returns copies of the rows, ordered by team and class.
func (t *Totals) Rows() []Row {
	var rows []Row
	for _, r := range t.rows {
		rows = append(rows, *r)
	}
	slices.SortFunc(rows, func(a, b Row) int { return cmp.Or(strings.Compare(a.Team, b.Team), strings.Compare(a.Class, b.Class)) })
	return rows
}

// Sum is the sum of all rows.
func (t *Totals) Sum() Row {
	var s Row
	for _, r := range t.rows {
		s.add(*r)
	}
	return s
}

// MedianRatio is the median ratio of a job's date to its duration, 0 without any date.
func (t *Totals) MedianRatio() float64 {
	all := 0
	for _, count := range t.ratios {
		all += count
	}
	seen := 0
	for i, count := range t.ratios {
		if seen += count; all > 0 && 2*seen >= all {
			return math.Exp2((float64(i)+0.5)/bucketsPerDoubling + minRatioLog2)
		}
	}
	return 0
}

// Clone is an independent copy.
func (t *Totals) Clone() *Totals {
	c := *t
	c.rows = make(map[[2]string]*Row, len(t.rows))
	for k, r := range t.rows {
		x := *r
		c.rows[k] = &x
	}
	return &c
}

// Encode returns the record, in up to limit bytes as JSON if possible. To fit, the rows
// with the fewest jobs are merged into the others' row, in t too: t then equals what the
// record's readers have.
func (t *Totals) Encode(limit int) []byte {
	for {
		r := totalsRecord{Format: formatVersion, Revision: t.Revision, PromisedAtAccept: t.PromisedAtAccept, Ratios: slices.Clone(t.ratios[:])}
		for _, row := range t.Rows() {
			r.Rows = append(r.Rows, storedTotalsRow{Team: row.Team, Class: row.Class, Jobs: row.Jobs, Made: row.Made, Kept: row.Kept, Broken: row.Broken, Revised: row.Revised, WorstMS: int(row.Worst.Milliseconds())})
		}
		b := encode(r)
		if jsonSize(b) <= limit || len(t.rows) <= 1 {
			return b
		}
		t.mergeSmallest()
	}
}

// mergeSmallest merges the row with the fewest jobs into the others' row.
func (t *Totals) mergeSmallest() {
	var smallest Row
	for _, row := range t.Rows() {
		if row.Team == othersTeam && row.Class == "" {
			continue
		}
		if smallest.Team == "" || row.Jobs < smallest.Jobs {
			smallest = row
		}
	}
	delete(t.rows, [2]string{smallest.Team, smallest.Class})
	t.addTo([2]string{othersTeam, ""}, smallest)
}

// DecodeTotals reads what Encode wrote. The error wraps ErrFormat if another version
// wrote it.
func DecodeTotals(b []byte) (*Totals, error) {
	var r totalsRecord
	if err := decode(b, &r); err != nil {
		return nil, err
	}
	if err := checkFormat(r.Format); err != nil {
		return nil, err
	}
	t := &Totals{Revision: r.Revision, PromisedAtAccept: r.PromisedAtAccept, rows: map[[2]string]*Row{}}
	if len(r.Ratios) != ratioBuckets || r.PromisedAtAccept < 0 || len(r.Rows) > maxRows+1 {
		return nil, fmt.Errorf("%w: fields h, f, t have %d, %d, %d: want %d, 0 or more, up to %d", errRecord, len(r.Ratios), r.PromisedAtAccept, len(r.Rows), ratioBuckets, maxRows+1)
	}
	for i, count := range r.Ratios {
		if count < 0 || count > maxCount {
			return nil, fmt.Errorf("%w: field h[%d] is %d: want 0 to %d", errRecord, i, count, maxCount)
		}
		t.ratios[i] = count
	}
	for i, row := range r.Rows {
		for _, count := range [...]int{row.Jobs, row.Made, row.Kept, row.Broken, row.Revised} {
			if count < 0 || count > maxCount {
				return nil, fmt.Errorf("%w: field t[%d] counts %d: want 0 to %d", errRecord, i, count, maxCount)
			}
		}
		if row.Kept+row.Broken != row.Made || row.Made > row.Jobs || row.Revised > row.Made || row.WorstMS < 0 || row.WorstMS > int(MaxDate.Milliseconds()) {
			return nil, fmt.Errorf("%w: field t[%d]: the counts of %s, %s do not fit each other", errRecord, i, row.Team, row.Class)
		}
		key := [2]string{row.Team, row.Class}
		if row.Team == "" || len(row.Team) > maxNameLen || len(row.Class) > maxNameLen || t.rows[key] != nil {
			return nil, fmt.Errorf("%w: field t[%d]: team %q, class %q: want each once, and names of up to %d bytes", errRecord, i, row.Team, row.Class, maxNameLen)
		}
		t.rows[key] = &Row{row.Team, row.Class, row.Jobs, row.Made, row.Kept, row.Broken, row.Revised, time.Duration(row.WorstMS) * time.Millisecond}
	}
	return t, nil
}

// maxCount bounds a count in a record, so that no sum overflows.
const maxCount = 1 << 40

package promise

import (
	"cmp"
	"fmt"
	"maps"
	"math"
	"slices"
	"strings"
	"time"
)

// maxRows bounds the rows of the totals; what goes beyond is summed up in others.
const (
	maxRows    = 48
	othersTeam = "~others"
	// legacyTeam is the row of jobs that a version without promises ended: it wrote neither
	// team nor class.
	legacyTeam = "~before"
)

// JobEnd is what of a job's end the totals count. Took is from its submission to its end.
// First says that the date was at hand when the job was accepted.
type JobEnd struct {
	Team, Class      string
	Date             Date
	Duration         time.Duration
	PromisedAtAccept bool
}

// Row counts jobs that are over: those with a date, and of these the kept, the broken,
// the revised; and by how much a date was missed at worst.
type Row struct {
	Team    string
	Class   string
	Jobs    int
	Made    int
	Kept    int
	Broken  int
	Revised int
	Worst   time.Duration
}

func (r *Row) add(o Row) {
	r.Jobs, r.Made, r.Kept, r.Broken, r.Revised = r.Jobs+o.Jobs, r.Made+o.Made, r.Kept+o.Kept, r.Broken+o.Broken, r.Revised+o.Revised
	r.Worst = max(r.Worst, o.Worst)
}

// The ratios of promise to finish are counted in steps of an eighth of a doubling,
// from a quarter to 64.
const (
	ratioBuckets       = 64
	bucketsPerDoubling = 8
	minRatioLog2       = -2
)

// Totals are the outcomes of all jobs that ended up to a revision of the state service.
type Totals struct {
	// Rev: exact as of this revision. First counts the dates that were told with the
	// first answer.
	Revision         uint64
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

// Add counts a job's end.
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
		k := int(math.Floor(bucketsPerDoubling * (math.Log2(e.Date.After.Seconds()/max(e.Duration.Seconds(), roundingStep.Seconds())) - minRatioLog2)))
		t.ratios[min(max(k, 0), ratioBuckets-1)]++
	}
	t.addRow(r)
}

func (t *Totals) addRow(r Row) {
	if t.rows == nil {
		t.rows = map[[2]string]*Row{}
	}
	key := [2]string{r.Team, r.Class}
	if t.rows[key] == nil && len(t.rows) >= maxRows {
		key = [2]string{othersTeam, ""}
	}
	x := t.rows[key]
	if x == nil {
		x = &Row{Team: key[0], Class: key[1]}
		t.rows[key] = x
	}
	x.add(r)
}

// Rows are the rows, by team and class.
func (t *Totals) Rows() []Row {
	var out []Row
	for _, r := range t.rows {
		out = append(out, *r)
	}
	slices.SortFunc(out, func(a, b Row) int { return cmp.Or(strings.Compare(a.Team, b.Team), strings.Compare(a.Class, b.Class)) })
	return out
}

// Sum is all rows in one.
func (t *Totals) Sum() Row {
	var s Row
	for _, r := range t.rows {
		s.add(*r)
	}
	return s
}

// MedianRatio is the median of promise to finish, 0 while there is none.
func (t *Totals) MedianRatio() float64 {
	all := 0
	for _, k := range t.ratios {
		all += k
	}
	seen := 0
	for i, k := range t.ratios {
		if seen += k; all > 0 && 2*seen >= all {
			return math.Exp2((float64(i)+0.5)/bucketsPerDoubling + minRatioLog2)
		}
	}
	return 0
}

// Clone is a copy that changes by itself.
func (t *Totals) Clone() *Totals {
	c := *t
	c.rows = make(map[[2]string]*Row, len(t.rows))
	for k, r := range t.rows {
		x := *r
		c.rows[k] = &x
	}
	return &c
}

// Encode is the record. Where it would be longer than limit bytes as JSON, the rows
// with the fewest jobs are summed up, here too, so that all go on from the same.
func (t *Totals) Encode(limit int) []byte {
	for {
		r := totalsRecord{Format: formatVersion, Revision: t.Revision, PromisedAtAccept: t.PromisedAtAccept, Ratios: slices.Clone(t.ratios[:])}
		for _, x := range t.Rows() {
			r.Rows = append(r.Rows, storedTotalsRow{Team: x.Team, Class: x.Class, Jobs: x.Jobs, Made: x.Made, Kept: x.Kept, Broken: x.Broken, Revised: x.Revised, WorstMS: int(x.Worst.Milliseconds())})
		}
		b := encode(r)
		if jsonSize(b) <= limit || len(t.rows) <= 1 {
			return b
		}
		least := [2]string{}
		for _, k := range slices.SortedFunc(maps.Keys(t.rows), func(a, b [2]string) int {
			return cmp.Or(strings.Compare(a[0], b[0]), strings.Compare(a[1], b[1]))
		}) {
			if k[0] != othersTeam && (least[0] == "" || t.rows[k].Jobs < t.rows[least].Jobs) {
				least = k
			}
		}
		x := *t.rows[least]
		delete(t.rows, least)
		x.Team, x.Class = othersTeam, ""
		key := [2]string{othersTeam, ""}
		if t.rows[key] == nil {
			t.rows[key] = &Row{Team: othersTeam}
		}
		t.rows[key].add(x)
	}
}

// DecodeTotals reads the record.
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
	for i, k := range r.Ratios {
		if k < 0 || k > maxCount {
			return nil, fmt.Errorf("%w: field h[%d] is %d: want 0 to %d", errRecord, i, k, maxCount)
		}
		t.ratios[i] = k
	}
	for i, x := range r.Rows {
		for _, k := range [...]int{x.Jobs, x.Made, x.Kept, x.Broken, x.Revised} {
			if k < 0 || k > maxCount {
				return nil, fmt.Errorf("%w: field t[%d] counts %d: want 0 to %d", errRecord, i, k, maxCount)
			}
		}
		if x.Kept+x.Broken != x.Made || x.Made > x.Jobs || x.Revised > x.Made || x.WorstMS < 0 || x.WorstMS > int(MaxDate.Milliseconds()) {
			return nil, fmt.Errorf("%w: field t[%d]: the counts of %s, %s do not fit each other", errRecord, i, x.Team, x.Class)
		}
		key := [2]string{x.Team, x.Class}
		if x.Team == "" || len(x.Team) > maxNameLen || len(x.Class) > maxNameLen || t.rows[key] != nil {
			return nil, fmt.Errorf("%w: field t[%d]: team %q, class %q: want each once, and names of up to %d bytes", errRecord, i, x.Team, x.Class, maxNameLen)
		}
		t.rows[key] = &Row{x.Team, x.Class, x.Jobs, x.Made, x.Kept, x.Broken, x.Revised, time.Duration(x.WorstMS) * time.Millisecond}
	}
	return t, nil
}

// maxCount bounds a count in a record, so that sums can't overflow.
const maxCount = 1 << 40

// Package ranking holds the order of jobs that all controllers share: a list of classes
// of workloads, the first of which goes first. It reads and writes the record and the
// file that an operator sets, and ranks jobs by workload and urgency. The package has no
// clock and sends nothing.
package ranking

import (
	"errors"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/micahill/micahill/internal/sizelimit"
	"github.com/vmihailenco/msgpack/v5"
)

const (
	// MaxClasses and MaxWorkloads bound a ranking: it is one value in the state service,
	// and is searched for every job.
	MaxClasses   = 16
	MaxWorkloads = 64
	// maxNameLen and maxWorkloadLen are the longest names of classes and workloads, in
	// bytes. The latter holds for submissions too.
	maxNameLen     = 40
	maxWorkloadLen = 100
	// minWaitBound and maxWaitBound limit a WaitBound other than 0. A shorter one would
	// have passed before the first planning pass.
	minWaitBound = time.Second
	maxWaitBound = 24 * time.Hour
	// formatVersion is the version of the record's format. A record of a later one is not
	// used.
	formatVersion = 1
	// MaxSetByLen is the longest SetBy, in bytes.
	MaxSetByLen = 100
	// HistoryLen is how many rankings are kept: each record is stored a second time under
	// its revision modulo HistoryLen.
	HistoryLen = 16
)

// ErrFormat says that a record has a later format than this version knows.
var ErrFormat = errors.New("ranking: the record has a later form than this version knows")

// Urgencies are the names of the protocol's urgencies, indexed by a job's urgency, the
// lowest first.
var Urgencies = []string{"best_effort", "normal", "urgent", "critical"}

var highestUrgency = len(Urgencies) - 1

// Class is a set of jobs with one rank.
type Class struct {
	Name string
	// Workloads are names, or prefixes that end in an asterisk. Without any all jobs of
	// the Urgency belong to the class.
	Workloads []string
	// Urgency limits the class to jobs of that urgency; "" doesn't.
	Urgency string
	// WaitBound is how long a job may wait behind others; 0 for the default.
	WaitBound time.Duration
	// ReservedFraction is the share of capacity that a job takes first after that, from
	// 0 to 1; 0 for the default.
	ReservedFraction float64
}

// Record is a ranking.
type Record struct {
	// Revision counts rankings from 1.
	Revision uint64
	SetBy    string
	SetAt    time.Time
	// Derived says that a leader made the ranking from its policy script, because nobody
	// had set one.
	Derived bool
	Classes []Class
}

// storedRecord is a Record as stored. SetAt is in milliseconds since 1970.
type storedRecord struct {
	Format   int           `msgpack:"v"`
	Revision uint64        `msgpack:"rev"`
	SetBy    string        `msgpack:"by"`
	SetAt    int64         `msgpack:"at"`
	Derived  bool          `msgpack:"d,omitempty"`
	Classes  []storedClass `msgpack:"c"`
}

type storedClass struct {
	Name             string   `msgpack:"n"`
	Workloads        []string `msgpack:"w,omitempty"`
	Urgency          string   `msgpack:"u,omitempty"`
	WaitBoundMS      int64    `msgpack:"b,omitempty"`
	ReservedFraction float64  `msgpack:"p,omitempty"`
}

// Encode returns the record as a value for the state service.
func (r Record) Encode() []byte {
	w := storedRecord{Format: formatVersion, Revision: r.Revision, SetBy: r.SetBy, SetAt: r.SetAt.UnixMilli(), Derived: r.Derived}
	for _, c := range r.Classes {
		w.Classes = append(w.Classes, storedClass{c.Name, c.Workloads, c.Urgency, c.WaitBound.Milliseconds(), c.ReservedFraction})
	}
	b, err := msgpack.Marshal(w)
	if err != nil {
		// Plain fields always encode.
		panic("ranking: " + err.Error())
	}
	return b
}

// Revision is the revision of an encoded record, also of one in a later format. It is 0
// if there is none to be read.
func Revision(b []byte) uint64 {
	var w struct {
		Rev uint64 `msgpack:"rev"`
	}
	if _, err := sizelimit.JSON(b); err != nil || msgpack.Unmarshal(b, &w) != nil {
		return 0
	}
	return w.Rev
}

// Decode reads an encoded record. An error names the field and the valid values; it
// wraps ErrFormat for a later format. Lengths are checked before the library allocates
// by them.
func Decode(b []byte) (Record, error) {
	if _, err := sizelimit.JSON(b); err != nil {
		return Record{}, fmt.Errorf("ranking: %w", err)
	}
	var header struct {
		Format int `msgpack:"v"`
	}
	if err := msgpack.Unmarshal(b, &header); err != nil {
		return Record{}, fmt.Errorf("ranking: %w", err)
	}
	if header.Format > formatVersion {
		return Record{}, fmt.Errorf("%w: field v is %d: want %d", ErrFormat, header.Format, formatVersion)
	}
	var w storedRecord
	if err := msgpack.Unmarshal(b, &w); err != nil {
		return Record{}, fmt.Errorf("ranking: %w", err)
	}
	r := Record{Revision: w.Revision, SetBy: w.SetBy, SetAt: time.UnixMilli(w.SetAt), Derived: w.Derived}
	for _, c := range w.Classes {
		if c.WaitBoundMS < 0 || c.WaitBoundMS > maxWaitBound.Milliseconds() {
			return Record{}, fmt.Errorf("ranking: field c.b is %d: want 0 to %d", c.WaitBoundMS, maxWaitBound.Milliseconds())
		}
		r.Classes = append(r.Classes, Class{c.Name, c.Workloads, c.Urgency, time.Duration(c.WaitBoundMS) * time.Millisecond, c.ReservedFraction})
	}
	if w.Format < 1 || w.Revision == 0 {
		return Record{}, fmt.Errorf("ranking: fields v and rev are %d and %d: want %d, and 1 or more", w.Format, w.Revision, formatVersion)
	}
	if len(w.SetBy) > MaxSetByLen {
		return Record{}, fmt.Errorf("ranking: field by has %d bytes: want %d at most", len(w.SetBy), MaxSetByLen)
	}
	if problem := r.validate(); problem != nil {
		return Record{}, fmt.Errorf("ranking: field c[%d].%s: %s", problem.class, problem.field, problem.reason)
	}
	return r, nil
}

// validationError is why a ranking is invalid: the class, counted from 0, its field by the
// file's name, and the reason.
type validationError struct {
	class         int
	field, reason string
}

// validate returns the first thing that is invalid, or nil.
func (r *Record) validate() *validationError {
	if len(r.Classes) == 0 {
		return &validationError{0, "name", "there is no class: want one at least"}
	}
	if len(r.Classes) > MaxClasses {
		return &validationError{MaxClasses, "name", fmt.Sprintf("%d classes: want %d at most", len(r.Classes), MaxClasses)}
	}
	names := map[string]bool{}
	workloadCount := 0
	for i, c := range r.Classes {
		invalid := func(field, format string, args ...any) *validationError {
			return &validationError{i, field, fmt.Sprintf(format, args...)}
		}
		switch {
		case c.Name == "":
			return invalid("name", "is missing: want 1 to %d letters, digits, dots, hyphens and underscores", maxNameLen)
		case len(c.Name) > maxNameLen || strings.Trim(c.Name, "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789._-") != "":
			return invalid("name", "%q: want 1 to %d letters, digits, dots, hyphens and underscores", c.Name, maxNameLen)
		case names[c.Name]:
			return invalid("name", "%q names two classes", c.Name)
		case c.Urgency != "" && !slices.Contains(Urgencies, c.Urgency):
			return invalid("urgency", "%q: want critical, urgent, normal or best_effort, or none", c.Urgency)
		case len(c.Workloads) == 0 && c.Urgency == "":
			return invalid("workloads", "is empty, and there is no urgency: the class would be all work; want names or an urgency")
		case c.WaitBound != 0 && (c.WaitBound < minWaitBound || c.WaitBound > maxWaitBound):
			return invalid("bound_s", "%v: want 0 for the default, or %v to %v seconds", c.WaitBound.Seconds(), minWaitBound.Seconds(), maxWaitBound.Seconds())
		case !(c.ReservedFraction >= 0 && c.ReservedFraction <= 1):
			return invalid("part", "%v: want 0 for the default, or up to 1", c.ReservedFraction)
		}
		names[c.Name] = true
		for k, w := range c.Workloads {
			switch {
			case w == "" || w == "*" || len(w) > maxWorkloadLen:
				return invalid("workloads", "%q: want a name of 1 to %d bytes, or the beginning of one and *", w, maxWorkloadLen)
			case strings.Contains(w[:len(w)-1], "*"):
				return invalid("workloads", "%q: an asterisk may only stand at the end", w)
			case slices.Contains(c.Workloads[:k], w):
				return invalid("workloads", "%q stands there twice", w)
			}
		}
		if workloadCount += len(c.Workloads); workloadCount > MaxWorkloads {
			return invalid("workloads", "more than %d workloads in all: want prefixes, or fewer", MaxWorkloads)
		}
	}
	return nil
}

// matches says whether a class names a workload.
func (c *Class) matches(workload string) bool {
	for _, w := range c.Workloads {
		if w == workload {
			return true
		}
		if p, ok := strings.CutSuffix(w, "*"); ok && strings.HasPrefix(workload, p) {
			return true
		}
	}
	return false
}

// Table ranks jobs. A nil Table ranks by urgency alone.
type Table struct{ classes []Class }

// Table returns the table of the ranking.
func (r Record) Table() *Table { return &Table{r.Classes} }

// clampUrgency maps an invalid urgency to the nearest valid one.
func clampUrgency(u int) int { return min(max(u, 0), highestUrgency) }

// ClassIndex is the index of a job's class, or -1: the first class that matches. A class
// that names only an urgency doesn't take workloads that a later class names together
// with that urgency, so that a workload can rank behind the rest of its urgency.
func (t *Table) ClassIndex(workload string, urgency int) int {
	if t == nil {
		return -1
	}
	u := Urgencies[clampUrgency(urgency)]
	first := -1
	for i := range t.classes {
		c := &t.classes[i]
		switch {
		case c.Urgency != "" && c.Urgency != u:
		case len(c.Workloads) == 0:
			if first < 0 {
				first = i
			}
		case !c.matches(workload):
		case first < 0:
			return i
		case c.Urgency != "":
			return i
		}
	}
	return first
}

// Rank is a job's rank; the lowest goes first. Jobs without a class rank behind all
// classes, by their urgency.
func (t *Table) Rank(workload string, urgency int) int {
	if i := t.ClassIndex(workload, urgency); i >= 0 {
		return i
	}
	return t.RankCount() - 1 - clampUrgency(urgency)
}

// RankCount is the number of ranks.
func (t *Table) RankCount() int {
	if t == nil {
		return len(Urgencies)
	}
	return len(t.classes) + len(Urgencies)
}

// WaitBound returns the WaitBound and the ReservedFraction of a job's class; 0 means the
// default.
func (t *Table) WaitBound(workload string, urgency int) (time.Duration, float64) {
	if i := t.ClassIndex(workload, urgency); i >= 0 {
		return t.classes[i].WaitBound, t.classes[i].ReservedFraction
	}
	return 0, 0
}

// ClassName is the name of a job's class, or its urgency in parentheses.
func (t *Table) ClassName(workload string, urgency int) string {
	if i := t.ClassIndex(workload, urgency); i >= 0 {
		return t.classes[i].Name
	}
	return "(" + Urgencies[clampUrgency(urgency)] + ")"
}

// Warnings are what is valid but probably a mistake: a high urgency without a class, and
// workloads that an earlier class takes.
func (r Record) Warnings() []string {
	var warnings []string
	for u := highestUrgency; Urgencies[u] != "normal"; u-- {
		if !slices.ContainsFunc(r.Classes, func(c Class) bool { return c.Urgency == Urgencies[u] && len(c.Workloads) == 0 }) {
			warnings = append(warnings, fmt.Sprintf("no class takes all of urgency %s: what is named by none stands behind every class", Urgencies[u]))
		}
	}
	for i, c := range r.Classes {
		for _, w := range c.Workloads {
			for _, earlier := range r.Classes[:i] {
				if (earlier.Urgency == "" || earlier.Urgency == c.Urgency) && len(earlier.Workloads) > 0 && earlier.matches(strings.TrimSuffix(w, "*")) && (!strings.HasSuffix(w, "*") || earlier.matchesPrefix(w)) {
					warnings = append(warnings, fmt.Sprintf("class %s: workload %s belongs to class %s, which comes before", c.Name, w, earlier.Name))
					break
				}
			}
		}
	}
	return warnings
}

// matchesPrefix says whether a class names all workloads that begin with a prefix.
func (c *Class) matchesPrefix(prefix string) bool {
	return slices.ContainsFunc(c.Workloads, func(w string) bool {
		p, ok := strings.CutSuffix(w, "*")
		return ok && strings.HasPrefix(strings.TrimSuffix(prefix, "*"), p)
	})
}

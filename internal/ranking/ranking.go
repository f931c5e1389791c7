// Package ranking holds the order of work that all controllers share: classes of
// workloads, the first of them first. It reads and writes the record and the file that
// an operator sets, and says where a job stands. The package has no clock, asks nobody
// and knows no job but by its workload and urgency.
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
	// MaxClasses and MaxWorkloads bound a ranking: it is one value of the state
	// service, and a decision looks through it for every job.
	MaxClasses   = 16
	MaxWorkloads = 64
	// maxNameLen and maxWorkloadLen are the longest names in bytes; the latter is the
	// longest that a submission may have.
	maxNameLen     = 40
	maxWorkloadLen = 100
	// minWaitBound and maxWaitBound are what a bound on waiting may be, other than 0. A
	// shorter one than a second is over before the first look at what waits.
	minWaitBound = time.Second
	maxWaitBound = 24 * time.Hour
	// formatVersion is the number of the record's form. A record of a later one is passed over.
	formatVersion = 1
	// MaxSetByLen is the longest name of whoever sets a ranking.
	MaxSetByLen = 100
	// HistoryLen is how many rankings are kept: the record of a revision is written a
	// second time under its number modulo this.
	HistoryLen = 16
)

// ErrFormat says that a record has a form that this version does not know.
var ErrFormat = errors.New("ranking: the record has a later form than this version knows")

// Urgencies are the protocol's, lowest first: a job's urgency is an index.
var Urgencies = []string{"best_effort", "normal", "urgent", "critical"}

// highestUrgency is the highest urgency.
var highestUrgency = len(Urgencies) - 1

// Class is work that goes together. Workloads are exact names, or prefixes that end in
// an asterisk; with an Urgency only jobs of that urgency belong to it, and without
// workloads all of that urgency. Bound is how long a job may wait behind others, and
// Part which part of the room it then takes first, from 0 to 1; 0 is the built-in default
// for either.
type Class struct {
	Name             string
	Workloads        []string
	Urgency          string
	WaitBound        time.Duration
	ReservedFraction float64
}

// Record is a ranking. Rev only grows. Derived: a leader made it from its policy script,
// for want of one.
type Record struct {
	Revision uint64
	SetBy    string
	SetAt    time.Time
	Derived  bool
	Classes  []Class
}

// storedRecord is a record as it stands in the state service.
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

// Encode is the record as a value of the state service.
func (r Record) Encode() []byte {
	w := storedRecord{Format: formatVersion, Revision: r.Revision, SetBy: r.SetBy, SetAt: r.SetAt.UnixMilli(), Derived: r.Derived}
	for _, c := range r.Classes {
		w.Classes = append(w.Classes, storedClass{c.Name, c.Workloads, c.Urgency, c.WaitBound.Milliseconds(), c.ReservedFraction})
	}
	b, err := msgpack.Marshal(w)
	if err != nil {
		// Plain fields only; they always encode.
		panic("ranking: " + err.Error())
	}
	return b
}

// Revision is the revision of a record, also of one of a later form, or 0 where none can be
// read.
func Revision(b []byte) uint64 {
	var w struct {
		Rev uint64 `msgpack:"rev"`
	}
	if _, err := sizelimit.JSON(b); err != nil || msgpack.Unmarshal(b, &w) != nil {
		return 0
	}
	return w.Rev
}

// Decode reads a record. An error names the field and what would be right. A length
// that the bytes do not bear out is found before room is made for it.
func Decode(b []byte) (Record, error) {
	if _, err := sizelimit.JSON(b); err != nil {
		return Record{}, fmt.Errorf("ranking: %w", err)
	}
	var header struct {
		Form int `msgpack:"v"`
	}
	if err := msgpack.Unmarshal(b, &header); err != nil {
		return Record{}, fmt.Errorf("ranking: %w", err)
	}
	if header.Form > formatVersion {
		return Record{}, fmt.Errorf("%w: field v is %d: want %d", ErrFormat, header.Form, formatVersion)
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

// validationError is what is wrong with a ranking: in which class, counted from 0, and field.
type validationError struct {
	class         int
	field, reason string
}

// validate says what is wrong, or nothing.
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

// matches says whether a class has a workload by its name.
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

// Table is a ranking to decide by. A nil Table ranks by urgency alone.
type Table struct{ classes []Class }

// Table makes the ranking ready to decide by.
func (r Record) Table() *Table { return &Table{r.Classes} }

// clampUrgency puts what can't be an urgency to the nearest one.
func clampUrgency(u int) int { return min(max(u, 0), highestUrgency) }

// ClassIndex is the index of a job's class, or -1: the first that matches. One that names only
// an urgency leaves what another names together with that urgency, so that a
// workload can stand behind the rest of its urgency, too.
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

// Rank is where a job stands; lower goes first. What no class names stands behind the
// named, by its urgency.
func (t *Table) Rank(workload string, urgency int) int {
	if i := t.ClassIndex(workload, urgency); i >= 0 {
		return i
	}
	return t.RankCount() - 1 - clampUrgency(urgency)
}

// RankCount is one more than the last place.
func (t *Table) RankCount() int {
	if t == nil {
		return len(Urgencies)
	}
	return len(t.classes) + len(Urgencies)
}

// WaitBound is how long a job may wait behind others, and the part of the room that it
// then takes before all others; 0 is the built-in default.
func (t *Table) WaitBound(workload string, urgency int) (time.Duration, float64) {
	if i := t.ClassIndex(workload, urgency); i >= 0 {
		return t.classes[i].WaitBound, t.classes[i].ReservedFraction
	}
	return 0, 0
}

// ClassName is what people call a job's place.
func (t *Table) ClassName(workload string, urgency int) string {
	if i := t.ClassIndex(workload, urgency); i >= 0 {
		return t.classes[i].Name
	}
	return "(" + Urgencies[clampUrgency(urgency)] + ")"
}

// Warnings are what may well be a mistake and is no reason to refuse: an urgency for work
// that must go first and that no class names, and names that no job can come to.
func (r Record) Warnings() []string {
	var out []string
	for u := highestUrgency; Urgencies[u] != "normal"; u-- {
		if !slices.ContainsFunc(r.Classes, func(c Class) bool { return c.Urgency == Urgencies[u] && len(c.Workloads) == 0 }) {
			out = append(out, fmt.Sprintf("no class takes all of urgency %s: what is named by none stands behind every class", Urgencies[u]))
		}
	}
	for i, c := range r.Classes {
		for _, w := range c.Workloads {
			for _, b := range r.Classes[:i] {
				if (b.Urgency == "" || b.Urgency == c.Urgency) && len(b.Workloads) > 0 && b.matches(strings.TrimSuffix(w, "*")) && (!strings.HasSuffix(w, "*") || b.matchesPrefix(w)) {
					out = append(out, fmt.Sprintf("class %s: workload %s belongs to class %s, which comes before", c.Name, w, b.Name))
					break
				}
			}
		}
	}
	return out
}

// matchesPrefix says whether a class has all that begins with a prefix.
func (c *Class) matchesPrefix(prefix string) bool {
	return slices.ContainsFunc(c.Workloads, func(w string) bool {
		p, ok := strings.CutSuffix(w, "*")
		return ok && strings.HasPrefix(strings.TrimSuffix(prefix, "*"), p)
	})
}

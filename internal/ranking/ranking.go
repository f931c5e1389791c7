// Package ranking defines the ranking, the order of jobs that all controllers share: a
// list of classes of workloads, the highest-ranked first. The package reads and writes the
// ranking's record and reads the file that an operator sets, and it ranks jobs by workload
// and urgency. The package has no clock and sends nothing.
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
	// MaxClasses and MaxWorkloads limit a ranking, because it is stored as one value in
	// the state service and is searched for every job.
	MaxClasses   = 16
	MaxWorkloads = 64
	// maxNameLen and maxWorkloadLen are the longest names of classes and workloads, in
	// bytes. maxWorkloadLen is also the limit for submissions.
	maxNameLen     = 40
	maxWorkloadLen = 100
	// minWaitBound and maxWaitBound limit a WaitBound other than 0. A shorter one would
	// pass before the first planning pass.
	minWaitBound = time.Second
	maxWaitBound = 24 * time.Hour
	// formatVersion is the version of the record's format. A record of a later version is
	// not used.
	formatVersion = 1
	// MaxSetByLen is the longest Record.SetBy, in bytes.
	MaxSetByLen = 100
	// HistoryLen is how many rankings the history keeps: each record is also stored under
	// its revision modulo HistoryLen.
	HistoryLen = 16
)

// ErrFormat is wrapped by the errors of records that have a later format than this version
// knows.
var ErrFormat = errors.New("ranking: the record has a later form than this version knows")

// Urgencies are the names of the protocol's urgencies, indexed by a job's urgency, the
// lowest first.
var Urgencies = []string{"best_effort", "normal", "urgent", "critical"}

// highestUrgency is the highest index of Urgencies.
var highestUrgency = len(Urgencies) - 1

// Class is a set of jobs with the same rank.
type Class struct {
	Name string
	// Workloads are names of workloads, or prefixes that end in an asterisk. Without any,
	// all jobs of the Urgency belong to the class.
	Workloads []string
	// Urgency limits the class to jobs of that urgency; "" means no limit.
	Urgency string
	// WaitBound is how long a job may wait behind other jobs; 0 means the default.
	WaitBound time.Duration
	// ReservedFraction is the share of the capacity that a job gets before other jobs once
	// it has waited longer than WaitBound, from 0 to 1; 0 means the default.
	ReservedFraction float64
}

// Record is a ranking, with who set it and when.
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

// storedClass is a Class as stored.
type storedClass struct {
	Name             string   `msgpack:"n"`
	Workloads        []string `msgpack:"w,omitempty"`
	Urgency          string   `msgpack:"u,omitempty"`
	WaitBoundMS      int64    `msgpack:"b,omitempty"`
	ReservedFraction float64  `msgpack:"p,omitempty"`
}

// Encode returns the record in its stored form.
func (record Record) Encode() []byte {
	stored := storedRecord{Format: formatVersion, Revision: record.Revision, SetBy: record.SetBy, SetAt: record.SetAt.UnixMilli(), Derived: record.Derived}
	for _, class := range record.Classes {
		stored.Classes = append(stored.Classes, storedClass{class.Name, class.Workloads, class.Urgency, class.WaitBound.Milliseconds(), class.ReservedFraction})
	}
	value, err := msgpack.Marshal(stored)
	if err != nil {
		// Plain fields always encode.
		panic("ranking: " + err.Error())
	}
	return value
}

// Revision returns the revision of an encoded record, also of one in a later format, or 0
// if the revision can't be read.
func Revision(value []byte) uint64 {
	var header struct {
		Rev uint64 `msgpack:"rev"`
	}
	if _, err := sizelimit.JSONSize(value); err != nil || msgpack.Unmarshal(value, &header) != nil {
		return 0
	}
	return header.Rev
}

// Decode decodes a record. An error names the field and the valid values; it wraps
// ErrFormat for a later format. Lengths are checked first, since the library allocates by
// the lengths that a record claims.
func Decode(value []byte) (Record, error) {
	if _, err := sizelimit.JSONSize(value); err != nil {
		return Record{}, fmt.Errorf("ranking: %w", err)
	}
	var header struct {
		Format int `msgpack:"v"`
	}
	if err := msgpack.Unmarshal(value, &header); err != nil {
		return Record{}, fmt.Errorf("ranking: %w", err)
	}
	if header.Format > formatVersion {
		return Record{}, fmt.Errorf("%w: field v is %d: want %d", ErrFormat, header.Format, formatVersion)
	}
	var stored storedRecord
	if err := msgpack.Unmarshal(value, &stored); err != nil {
		return Record{}, fmt.Errorf("ranking: %w", err)
	}
	record := Record{Revision: stored.Revision, SetBy: stored.SetBy, SetAt: time.UnixMilli(stored.SetAt), Derived: stored.Derived}
	for _, class := range stored.Classes {
		if class.WaitBoundMS < 0 || class.WaitBoundMS > maxWaitBound.Milliseconds() {
			return Record{}, fmt.Errorf("ranking: field c.b is %d: want 0 to %d", class.WaitBoundMS, maxWaitBound.Milliseconds())
		}
		record.Classes = append(record.Classes, Class{class.Name, class.Workloads, class.Urgency, time.Duration(class.WaitBoundMS) * time.Millisecond, class.ReservedFraction})
	}
	if stored.Format < 1 || stored.Revision == 0 {
		return Record{}, fmt.Errorf("ranking: fields v and rev are %d and %d: want %d, and 1 or more", stored.Format, stored.Revision, formatVersion)
	}
	if len(stored.SetBy) > MaxSetByLen {
		return Record{}, fmt.Errorf("ranking: field by has %d bytes: want %d at most", len(stored.SetBy), MaxSetByLen)
	}
	if problem := record.validate(); problem != nil {
		return Record{}, fmt.Errorf("ranking: field c[%d].%s: %s", problem.class, problem.field, problem.reason)
	}
	return record, nil
}

// validationError says why a ranking is invalid: the index of the class, the name of its
// field in the file, and the reason.
type validationError struct {
	class         int
	field, reason string
}

// validate returns the first error in the ranking, or nil if it is valid.
func (record *Record) validate() *validationError {
	if len(record.Classes) == 0 {
		return &validationError{0, "name", "there is no class: want one at least"}
	}
	if len(record.Classes) > MaxClasses {
		return &validationError{MaxClasses, "name", fmt.Sprintf("%d classes: want %d at most", len(record.Classes), MaxClasses)}
	}
	names := map[string]bool{}
	workloadCount := 0
	for i, class := range record.Classes {
		invalid := func(field, format string, args ...any) *validationError {
			return &validationError{i, field, fmt.Sprintf(format, args...)}
		}
		switch {
		case class.Name == "":
			return invalid("name", "is missing: want 1 to %d letters, digits, dots, hyphens and underscores", maxNameLen)
		case len(class.Name) > maxNameLen || strings.Trim(class.Name, "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789._-") != "":
			return invalid("name", "%q: want 1 to %d letters, digits, dots, hyphens and underscores", class.Name, maxNameLen)
		case names[class.Name]:
			return invalid("name", "%q names two classes", class.Name)
		case class.Urgency != "" && !slices.Contains(Urgencies, class.Urgency):
			return invalid("urgency", "%q: want critical, urgent, normal or best_effort, or none", class.Urgency)
		case len(class.Workloads) == 0 && class.Urgency == "":
			return invalid("workloads", "is empty, and there is no urgency: the class would have all jobs; want names or an urgency")
		case class.WaitBound != 0 && (class.WaitBound < minWaitBound || class.WaitBound > maxWaitBound):
			return invalid("bound_s", "%v: want 0 for the default, or %v to %v seconds", class.WaitBound.Seconds(), minWaitBound.Seconds(), maxWaitBound.Seconds())
		case !(class.ReservedFraction >= 0 && class.ReservedFraction <= 1):
			return invalid("part", "%v: want 0 for the default, or up to 1", class.ReservedFraction)
		}
		names[class.Name] = true
		for k, workload := range class.Workloads {
			switch {
			case workload == "" || workload == "*" || len(workload) > maxWorkloadLen:
				return invalid("workloads", "%q: want a name of 1 to %d bytes, or a prefix followed by *", workload, maxWorkloadLen)
			case strings.Contains(workload[:len(workload)-1], "*"):
				return invalid("workloads", "%q: an asterisk may only stand at the end", workload)
			case slices.Contains(class.Workloads[:k], workload):
				return invalid("workloads", "%q is listed twice", workload)
			}
		}
		if workloadCount += len(class.Workloads); workloadCount > MaxWorkloads {
			return invalid("workloads", "more than %d workloads in all: want prefixes, or fewer", MaxWorkloads)
		}
	}
	return nil
}

// matches reports whether the class names a workload.
func (class *Class) matches(workload string) bool {
	for _, name := range class.Workloads {
		if name == workload {
			return true
		}
		if prefix, ok := strings.CutSuffix(name, "*"); ok && strings.HasPrefix(workload, prefix) {
			return true
		}
	}
	return false
}

// Table ranks jobs. A nil Table ranks by urgency alone.
type Table struct{ classes []Class }

// Table returns the table that ranks jobs by the record.
func (record Record) Table() *Table { return &Table{record.Classes} }

// clampUrgency maps an invalid urgency to the nearest valid one.
func clampUrgency(urgency int) int { return min(max(urgency, 0), highestUrgency) }

// ClassIndex returns the index of a job's class, which is the first class that matches, or
// -1 if there is none. A class that names only an urgency doesn't match workloads that a
// later class names together with that urgency, so that a workload can rank behind the
// rest of its urgency.
func (table *Table) ClassIndex(workload string, urgency int) int {
	if table == nil {
		return -1
	}
	urgencyName := Urgencies[clampUrgency(urgency)]
	first := -1
	for i := range table.classes {
		class := &table.classes[i]
		switch {
		case class.Urgency != "" && class.Urgency != urgencyName:
		case len(class.Workloads) == 0:
			if first < 0 {
				first = i
			}
		case !class.matches(workload):
		case first < 0:
			return i
		case class.Urgency != "":
			return i
		}
	}
	return first
}

// Rank returns a job's rank, from 0 for the highest. Jobs without a class rank behind all
// classes, by their urgency.
func (table *Table) Rank(workload string, urgency int) int {
	if i := table.ClassIndex(workload, urgency); i >= 0 {
		return i
	}
	return table.RankCount() - 1 - clampUrgency(urgency)
}

// RankCount returns the number of ranks.
func (table *Table) RankCount() int {
	if table == nil {
		return len(Urgencies)
	}
	return len(table.classes) + len(Urgencies)
}

// WaitBound returns the WaitBound and the ReservedFraction of a job's class; 0 means the
// default.
func (table *Table) WaitBound(workload string, urgency int) (time.Duration, float64) {
	if i := table.ClassIndex(workload, urgency); i >= 0 {
		return table.classes[i].WaitBound, table.classes[i].ReservedFraction
	}
	return 0, 0
}

// ClassName returns the name of a job's class, or its urgency in parentheses if it has
// none.
func (table *Table) ClassName(workload string, urgency int) string {
	if i := table.ClassIndex(workload, urgency); i >= 0 {
		return table.classes[i].Name
	}
	return "(" + Urgencies[clampUrgency(urgency)] + ")"
}

// Warnings returns a line for each valid but probably mistaken part of the ranking: a high
// urgency without a class, and a workload that belongs to an earlier class.
func (record Record) Warnings() []string {
	var warnings []string
	for urgency := highestUrgency; Urgencies[urgency] != "normal"; urgency-- {
		if !slices.ContainsFunc(record.Classes, func(class Class) bool { return class.Urgency == Urgencies[urgency] && len(class.Workloads) == 0 }) {
			warnings = append(warnings, fmt.Sprintf("no class takes all of urgency %s: its jobs that no class names rank behind every class", Urgencies[urgency]))
		}
	}
	for i, class := range record.Classes {
		for _, workload := range class.Workloads {
			for _, earlier := range record.Classes[:i] {
				if (earlier.Urgency == "" || earlier.Urgency == class.Urgency) && len(earlier.Workloads) > 0 && earlier.matches(strings.TrimSuffix(workload, "*")) && (!strings.HasSuffix(workload, "*") || earlier.matchesPrefix(workload)) {
					warnings = append(warnings, fmt.Sprintf("class %s: workload %s belongs to class %s, which comes before", class.Name, workload, earlier.Name))
					break
				}
			}
		}
	}
	return warnings
}

// matchesPrefix reports whether the class names all workloads that begin with a prefix.
func (class *Class) matchesPrefix(prefix string) bool {
	return slices.ContainsFunc(class.Workloads, func(name string) bool {
		p, ok := strings.CutSuffix(name, "*")
		return ok && strings.HasPrefix(strings.TrimSuffix(prefix, "*"), p)
	})
}

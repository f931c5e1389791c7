package record

import (
	"strings"
	"unicode/utf8"
)

// TaskEntry is one task that was ever started: index, attempt, machine ("" when
// it is on none), its group's start in Unix milliseconds, whether it was
// relaunched, and whether it is done.
type TaskEntry struct {
	//lint:ignore U1000 its tag has rows stored as lists
	_msgpack   struct{} `msgpack:",as_array"`
	Index      int
	Try        uint64
	Machine    string
	Group      int64
	Relaunched bool
	Done       bool
}

// TaskSegment holds some consecutive tasks of a job. Runs lists finished tasks
// as pairs of first and last index, rows the others; marks are the groups
// whose relaunch has been decided. Times are run times in milliseconds, the
// last few, from which a successor rebuilds the median.
type TaskSegment struct {
	// MachinePrefix is what the names of all machines in the rows begin with; the rows
	// have the rest, so that long names take no more room than short ones.
	MachinePrefix    string      `msgpack:"p,omitempty"`
	DoneRanges       []int       `msgpack:"d,omitempty"`
	Rows             []TaskEntry `msgpack:"t,omitempty"`
	RelaunchedGroups []int64     `msgpack:"m,omitempty"`
	RunTimes         []int64     `msgpack:"rt,omitempty"`
	// RankingRevision is the stamp of the ranking under which the newest starts were decided.
	RankingRevision uint64 `msgpack:"rk,omitempty"`
}

// FactorMachinePrefix puts what all machines' names begin with into one place. The last row's name
// keeps a character at least, as "" stands for none.
func (r *TaskSegment) FactorMachinePrefix() {
	prefix, first := "", true
	for _, row := range r.Rows {
		switch {
		case row.Machine == "":
		case first:
			prefix, first = row.Machine[:len(row.Machine)-1], false
		default:
			k := 0
			for k < len(prefix) && k < len(row.Machine)-1 && prefix[k] == row.Machine[k] {
				k++
			}
			prefix = prefix[:k]
		}
	}
	for !utf8.ValidString(prefix) {
		prefix = prefix[:len(prefix)-1]
	}
	if len(prefix) == 0 {
		return
	}
	r.MachinePrefix = prefix
	for i := range r.Rows {
		r.Rows[i].Machine = strings.TrimPrefix(r.Rows[i].Machine, prefix)
	}
}

// maxTaskEntryBytes is an upper bound for a row in JSON form: an index of six digits, an
// attempt, a machine name, a group's time and two flags.
const maxTaskEntryBytes = 72

// MaxTasksPerSegment says how many tasks share a value, leaving a quarter for the rest.
func MaxTasksPerSegment(valueBytes int) int {
	return max(8, valueBytes*3/4/maxTaskEntryBytes)
}

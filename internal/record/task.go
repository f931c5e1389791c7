package record

import (
	"strings"
	"unicode/utf8"
)

// TaskEntry is a task that was started at least once.
type TaskEntry struct {
	//lint:ignore U1000 its tag stores the fields as a list, without names
	_msgpack struct{} `msgpack:",as_array"`
	Index    int
	// Try is the newest attempt.
	Try uint64
	// Machine is where that attempt is, "" if on none; without its segment's MachinePrefix.
	Machine string
	// Group is when the task's group was started, in Unix milliseconds.
	Group int64
	// Relaunched says that the task was relaunched as a straggler, which is done once.
	Relaunched bool
	Done       bool
}

// TaskSegment is the state of some consecutive tasks of a job; its key says which. A task that
// is in neither DoneRanges nor Rows was never started.
type TaskSegment struct {
	// MachinePrefix is what the machines' names in all rows begin with; the rows have the
	// rest, so that long names take no more space than short ones.
	MachinePrefix string `msgpack:"p,omitempty"`
	// DoneRanges are the tasks that are done, as pairs of a first and a last index.
	DoneRanges []int `msgpack:"d,omitempty"`
	// Rows are the other tasks that were started.
	Rows []TaskEntry `msgpack:"t,omitempty"`
	// RelaunchedGroups are the groups whose relaunch has been decided, by their start in Unix
	// milliseconds.
	RelaunchedGroups []int64 `msgpack:"m,omitempty"`
	// FinishedInGroups are the groups of DoneRanges, as pairs of a group and of how many tasks of
	// the segment were done in it. Each pair takes less space than the row of a task that was
	// done, which went. A version that lacks the field counts the unfinished tasks alone.
	FinishedInGroups []int64 `msgpack:"gd,omitempty"`
	// RunTimes are the last few run times in milliseconds, from which a successor rebuilds
	// the median.
	RunTimes []int64 `msgpack:"rt,omitempty"`
	// RankingRevision is the mod revision of the ranking under which the newest starts were
	// decided.
	RankingRevision uint64 `msgpack:"rk,omitempty"`
}

// FactorMachinePrefix moves what all machines' names in the rows begin with to MachinePrefix.
// Each name keeps a byte at least, as "" stands for no machine, and MachinePrefix stays valid
// UTF-8.
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

// maxTaskEntryBytes is an upper bound for a TaskEntry's length as JSON, by which the state service
// measures a value: an index of six digits, an attempt, a machine's name, a time and two flags.
const maxTaskEntryBytes = 72

// MaxTasksPerSegment is how many tasks a segment may have so that it fits into a value of
// valueBytes, with a quarter left for what is not rows.
func MaxTasksPerSegment(valueBytes int) int {
	return max(8, valueBytes*3/4/maxTaskEntryBytes)
}

package record

import (
	"strings"
	"unicode/utf8"
)

// TaskEntry is the state of a task that was started at least once.
type TaskEntry struct {
	//lint:ignore U1000 its tag stores the fields as a list, without names
	_msgpack struct{} `msgpack:",as_array"`
	Index    int
	// Try is the number of the newest attempt.
	Try uint64
	// Machine is the name of the newest attempt's machine without the MachinePrefix of the
	// segment; "" if the attempt is on no machine.
	Machine string
	// Group identifies the group of tasks that were started together, by the time of their start
	// in Unix milliseconds.
	Group int64
	// Relaunched is true if the task was relaunched as a straggler. A task is relaunched at most
	// once.
	Relaunched bool
	Done       bool
}

// TaskSegment is the record of the states of consecutive tasks of a job. The key of the record has
// the number of the segment. A task that is neither in DoneRanges nor in Rows was never started.
type TaskSegment struct {
	// MachinePrefix is the common prefix of the machines' names in all rows. The rows have only
	// the rest of the names, so that long names take no more space than short ones.
	MachinePrefix string `msgpack:"p,omitempty"`
	// DoneRanges are the ranges of tasks that are done, as pairs of a first and a last index.
	DoneRanges []int `msgpack:"d,omitempty"`
	// Rows are the started tasks that are not in DoneRanges.
	Rows []TaskEntry `msgpack:"t,omitempty"`
	// RelaunchedGroups are the groups for which the relaunch of stragglers has been decided, by
	// their start in Unix milliseconds.
	RelaunchedGroups []int64 `msgpack:"m,omitempty"`
	// FinishedInGroups has the groups of the tasks in DoneRanges, as pairs of a group and the
	// number of the segment's tasks that were done in that group. A pair takes less space than
	// the row of a done task, which the record does not keep. A version without this field counts
	// only the unfinished tasks of a group.
	FinishedInGroups []int64 `msgpack:"gd,omitempty"`
	// RunTimes are the newest run times of tasks, in milliseconds. A successor computes the median
	// from them.
	RunTimes []int64 `msgpack:"rt,omitempty"`
	// RankingRevision is the mod revision of the ranking that decided the newest starts.
	RankingRevision uint64 `msgpack:"rk,omitempty"`
}

// FactorMachinePrefix moves the common prefix of the machines' names in the rows to MachinePrefix.
// Each name keeps at least one byte, since "" means no machine. MachinePrefix is valid UTF-8.
func (segment *TaskSegment) FactorMachinePrefix() {
	prefix, first := "", true
	for _, row := range segment.Rows {
		switch {
		case row.Machine == "":
		case first:
			prefix, first = row.Machine[:len(row.Machine)-1], false
		default:
			common := 0
			for common < len(prefix) && common < len(row.Machine)-1 && prefix[common] == row.Machine[common] {
				common++
			}
			prefix = prefix[:common]
		}
	}
	for !utf8.ValidString(prefix) {
		prefix = prefix[:len(prefix)-1]
	}
	if len(prefix) == 0 {
		return
	}
	segment.MachinePrefix = prefix
	for i := range segment.Rows {
		segment.Rows[i].Machine = strings.TrimPrefix(segment.Rows[i].Machine, prefix)
	}
}

// maxTaskEntryBytes is an upper bound on the length of a TaskEntry as JSON, in bytes: an index of
// six digits, an attempt, a machine's name, a time and two flags. The state service measures the
// size of a value as JSON.
const maxTaskEntryBytes = 72

// MaxTasksPerSegment returns the number of tasks with which a segment fits into a value of
// valueBytes bytes. It leaves a quarter of the value for the fields other than Rows.
func MaxTasksPerSegment(valueBytes int) int {
	return max(8, valueBytes*3/4/maxTaskEntryBytes)
}

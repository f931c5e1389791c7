package model

import "testing"

// TestTaskStatusString guards against a wrong name of a state in messages, and against a panic for
// a value that is no state.
func TestTaskStatusString(t *testing.T) {
	for _, c := range []struct {
		status TaskStatus
		want   string
	}{
		{Fetching, "fetching"},
		{Running, "running"},
		{Checkpointing, "checkpointing"},
		{Ended, "ended"},
		{Ended + 1, "TaskStatus(4)"},
		{-1, "TaskStatus(-1)"},
	} {
		if got := c.status.String(); got != c.want {
			t.Errorf("got %q, want %q", got, c.want)
		}
	}
}

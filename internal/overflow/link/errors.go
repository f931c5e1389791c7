package link

import (
	"errors"
	"fmt"
)

// ErrNotLeader means that another controller of the cluster answers heartbeats.
var ErrNotLeader = errors.New("link: another controller of the cluster answers heartbeats")

// ErrStale means that the heartbeat is not newer than the last one, or that the cluster
// can't answer heartbeats now.
var ErrStale = errors.New("link: not now")

// RefusedError is a peer's refusal of a heartbeat. It wraps ErrNotLeader or ErrStale if
// Code is the code of that error.
type RefusedError struct {
	Code Code
	// Reason is the peer's explanation, for operators.
	Reason string
}

// Error returns the refusal's reason and code.
func (refusal *RefusedError) Error() string {
	return fmt.Sprintf("link: refused: %s (%s)", refusal.Reason, refusal.Code)
}

// Unwrap returns ErrNotLeader or ErrStale if the code is that of the error, else nil.
func (refusal *RefusedError) Unwrap() error {
	switch refusal.Code {
	case Code_NOT_LEADER:
		return ErrNotLeader
	case Code_STALE:
		return ErrStale
	}
	return nil
}

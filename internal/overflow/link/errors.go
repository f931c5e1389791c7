package link

import (
	"errors"
	"fmt"
)

// ErrNotLeader says that another controller of the cluster answers heartbeats.
var ErrNotLeader = errors.New("link: another controller answers")

// ErrStale says that the heartbeat is older than the last one, or that the cluster
// can't answer now.
var ErrStale = errors.New("link: not now")

// RefusedError is a peer's refusal of a heartbeat, with its reason. It wraps
// ErrNotLeader or ErrStale if the code says so.
type RefusedError struct {
	Code   Code
	Reason string
}

func (r *RefusedError) Error() string {
	return fmt.Sprintf("link: refused: %s (%s)", r.Reason, r.Code)
}

// Unwrap returns the sentinel error of the refusal's code, or nil.
func (r *RefusedError) Unwrap() error {
	switch r.Code {
	case Code_NOT_LEADER:
		return ErrNotLeader
	case Code_STALE:
		return ErrStale
	}
	return nil
}

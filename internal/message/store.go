package message

import "time"

// StoreResponse, CloudResponse and WorkerResponse answer effects by their ID.
type StoreResponse struct {
	ID         uint64
	Status     StoreStatus
	SentAt     time.Time
	KeyValues  []KeyValue
	Truncated  bool
	Revision   uint64
	FailedKeys []string
	LeaseID    uint64
}

func (StoreResponse) command() {}

// StoreStatus is the outcome of a request to the state service.
type StoreStatus int

// Outcomes. Refused: surely not executed. Unknown: perhaps executed, perhaps
// still to be executed later.
const (
	StoreOK StoreStatus = iota
	StoreNotFound
	StoreConflict
	StoreCompacted
	StoreNoLease
	StoreRefused
	StoreMalformed
	StoreUnknown
)

// StoreRequestKind is the kind of a request to the state service.
type StoreRequestKind int

// The requests.
const (
	OpGet StoreRequestKind = iota
	OpList
	OpTxn
	OpWatch
	OpLeaseGrant
	OpLeaseRenew
	OpLeaseRevoke
)

// KeyValue is a key with its value; Removed marks a deletion in a watch.
type KeyValue struct {
	Key         string
	Value       []byte
	ModRevision uint64
	Deleted     bool
}

// Compare is a condition of a transaction: the key has this stamp, 0 for absent.
type Compare struct {
	Key         string
	ModRevision uint64
}

// Write is a put, or a removal when Value is nil.
type Write struct {
	Key     string
	Value   []byte
	LeaseID uint64
}

// Priority orders requests to the state service when the rate is short.
type Priority int

// Priorities, most important first.
const (
	PriorityMembership Priority = iota
	PriorityUser
	PriorityStart
	PriorityLazy
)

// StoreRequest asks the state service.
type StoreRequest struct {
	ID           uint64
	Kind         StoreRequestKind
	Priority     Priority
	Key          string
	StartAfter   string
	Revision     uint64
	WatchTimeout time.Duration
	Compares     []Compare
	Writes       []Write
	LeaseID      uint64
	TTL          time.Duration
}

func (StoreRequest) effect() {}

// String names the kinds and outcomes for logs and metrics.
func (k StoreRequestKind) String() string {
	return [...]string{"get", "list", "txn", "follow", "grant", "renew", "drop"}[k]
}

func (s StoreStatus) String() string {
	return [...]string{"ok", "not_found", "conflict", "gone", "no_grant", "refused", "bad", "unknown"}[s]
}

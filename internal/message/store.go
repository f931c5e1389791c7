package message

import "time"

// StoreStatus is the outcome of a request to the state service.
type StoreStatus int

// The outcomes of requests to the state service.
const (
	StoreOK StoreStatus = iota
	StoreNotFound
	// StoreConflict: a Compare did not hold; FailedKeys names which.
	StoreConflict
	// StoreCompacted: the changes after the revision asked for are no longer kept.
	StoreCompacted
	// StoreNoLease: the lease does not exist, or not any more.
	StoreNoLease
	// StoreRefused: the request was certainly not executed.
	StoreRefused
	// StoreMalformed: the service rejected the request as invalid, and did not execute it.
	StoreMalformed
	// StoreUnknown: the request may have been executed, or may still be.
	StoreUnknown
)

// String is the outcome as logs and metrics show it.
func (s StoreStatus) String() string {
	return [...]string{"ok", "not_found", "conflict", "gone", "no_grant", "refused", "bad", "unknown"}[s]
}

// StoreRequestKind is the kind of a request to the state service.
type StoreRequestKind int

// The kinds of requests to the state service.
const (
	OpGet StoreRequestKind = iota
	OpList
	OpTxn
	OpWatch
	OpLeaseGrant
	OpLeaseRenew
	OpLeaseRevoke
)

// String is the kind as logs and metrics show it.
func (k StoreRequestKind) String() string {
	return [...]string{"get", "list", "txn", "follow", "grant", "renew", "drop"}[k]
}

// Priority orders the requests to the state service while they exceed the rate limit.
type Priority int

// The priorities, the most important first.
const (
	PriorityMembership Priority = iota
	PriorityUser
	PriorityStart
	PriorityLazy
)

// KeyValue is a key with its value. In a watch, Deleted marks a deletion.
type KeyValue struct {
	Key   string
	Value []byte
	// ModRevision is the revision of the key's last change.
	ModRevision uint64
	Deleted     bool
}

// Compare is a condition of a transaction: that the key has this mod revision, 0 for a key
// that does not exist.
type Compare struct {
	Key         string
	ModRevision uint64
}

// Write is a write of a transaction: a put, or a deletion if Value is nil.
type Write struct {
	Key   string
	Value []byte
	// LeaseID is the lease with which the key goes away, 0 for none.
	LeaseID uint64
}

// StoreRequest is a request to the state service, which a StoreResponse answers.
type StoreRequest struct {
	ID       uint64
	Kind     StoreRequestKind
	Priority Priority
	// Key is the key to get, or the prefix to list or watch.
	Key string
	// StartAfter is the key after which OpList continues.
	StartAfter string
	// Revision is the one after which OpWatch reports changes.
	Revision uint64
	// WatchTimeout is how long OpWatch waits for a change.
	WatchTimeout time.Duration
	// Compares and Writes belong to OpTxn: the writes are applied, all of them, if every
	// compare holds.
	Compares []Compare
	Writes   []Write
	// LeaseID is the lease to renew or revoke, and TTL the time to live of one to grant.
	LeaseID uint64
	TTL     time.Duration
}

// StoreResponse answers a StoreRequest.
type StoreResponse struct {
	ID     uint64
	Status StoreStatus
	// SentAt is when the request was sent, zero if it never was: a lease counts from then.
	SentAt    time.Time
	KeyValues []KeyValue
	// Truncated says that the list or the watch goes on after the last of KeyValues.
	Truncated bool
	// Revision is the state service's as of the response.
	Revision uint64
	// FailedKeys are the keys whose Compare did not hold.
	FailedKeys []string
	// LeaseID is the lease that was granted.
	LeaseID uint64
}

func (StoreRequest) effect() {}

func (StoreResponse) command() {}

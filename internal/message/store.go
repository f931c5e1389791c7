package message

import "time"

// StoreStatus is the outcome of a request to the state service.
type StoreStatus int

// The outcomes of requests to the state service.
const (
	StoreOK StoreStatus = iota
	StoreNotFound
	// StoreConflict means that a Compare did not hold; FailedKeys has the keys.
	StoreConflict
	// StoreCompacted means that the service has deleted the changes after the requested revision.
	StoreCompacted
	// StoreNoLease means that the lease never existed or has expired.
	StoreNoLease
	// StoreRefused means that the request was certainly not executed.
	StoreRefused
	// StoreMalformed means that the service rejected the request as invalid and did not execute
	// it.
	StoreMalformed
	// StoreUnknown means that the request may have been executed or may still be executed.
	StoreUnknown
)

// String returns the outcome as logs and metrics show it.
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

// String returns the kind as logs and metrics show it.
func (k StoreRequestKind) String() string {
	return [...]string{"get", "list", "txn", "follow", "grant", "renew", "drop"}[k]
}

// Priority orders the requests to the state service while they exceed the rate limits.
type Priority int

// The priorities, the most important first.
const (
	// PriorityMembership is for the membership lease and for the records that all controllers watch.
	PriorityMembership Priority = iota
	// PriorityUser is for requests for which a user waits.
	PriorityUser
	// PriorityStart is for the starts of tasks and for other requests that jobs depend on.
	PriorityStart
	// PriorityLazy is for requests that are not urgent.
	PriorityLazy
)

// KeyValue is a key with its value or, in a watch, a change of the key. Deleted marks a deletion.
type KeyValue struct {
	Key   string
	Value []byte
	// ModRevision is the revision of the key's last change.
	ModRevision uint64
	Deleted     bool
}

// Compare is a condition of a transaction. It holds if the key has the given mod revision, which is
// 0 for a key that does not exist.
type Compare struct {
	Key         string
	ModRevision uint64
}

// Write is an operation of a transaction: a put or, if Value is nil, a deletion.
type Write struct {
	Key   string
	Value []byte
	// LeaseID is the lease with whose end the service deletes the key, 0 for none.
	LeaseID uint64
}

// StoreRequest is a request to the state service. A StoreResponse answers it.
type StoreRequest struct {
	ID       uint64
	Kind     StoreRequestKind
	Priority Priority
	// Key is the key to get, or the prefix to list or watch.
	Key string
	// StartAfter is the key after which OpList continues.
	StartAfter string
	// Revision is the revision after which OpWatch reports changes.
	Revision uint64
	// WatchTimeout is the longest time that OpWatch waits for a change.
	WatchTimeout time.Duration
	// Compares and Writes belong to OpTxn. The service applies all writes if every compare holds,
	// and none otherwise.
	Compares []Compare
	Writes   []Write
	// LeaseID is the lease to renew or revoke. TTL is the time to live of a lease to grant.
	LeaseID uint64
	TTL     time.Duration
}

// StoreResponse answers a StoreRequest.
type StoreResponse struct {
	ID     uint64
	Status StoreStatus
	// SentAt is the time when the request was sent, zero if it was not sent. The time to live of
	// a lease counts from SentAt.
	SentAt    time.Time
	KeyValues []KeyValue
	// Truncated is true if the list or the watch has more entries after the last of KeyValues.
	Truncated bool
	// Revision is the revision of the state service at the time of the response.
	Revision uint64
	// FailedKeys are the keys whose Compare did not hold.
	FailedKeys []string
	// LeaseID is the granted lease.
	LeaseID uint64
}

func (StoreRequest) effect() {}

func (StoreResponse) command() {}

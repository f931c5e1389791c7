package message

import (
	"time"

	"github.com/micahill/micahill/internal/model"
)

// CloudStatus is the outcome of a request to the cloud.
type CloudStatus int

// The outcomes of cloud requests.
const (
	CloudOK CloudStatus = iota
	// CloudNoCapacity: the cloud has no machine of the kind now.
	CloudNoCapacity
	// CloudRefused: the request was certainly not executed.
	CloudRefused
	// CloudMalformed: the cloud rejected the request as invalid, and did not execute it.
	CloudMalformed
	// CloudUnknown: the request may have been executed, or may still be.
	CloudUnknown
)

func (s CloudStatus) String() string {
	return [...]string{"ok", "no_capacity", "refused", "bad", "unknown"}[s]
}

// CloudRequestKind is the kind of a request to the cloud.
type CloudRequestKind int

// The kinds of cloud requests.
const (
	CloudListTypes CloudRequestKind = iota
	CloudListMachines
	CloudRent
	CloudRelease
)

// String is the kind as logs and metrics show it.
func (k CloudRequestKind) String() string {
	return [...]string{"types", "list", "rent", "return"}[k]
}

// CloudRequest is a request to the cloud, which a CloudResponse answers.
type CloudRequest struct {
	ID uint64
	// SendDeadline is when the request must have been sent; afterwards it is refused
	// instead. Between decision and sending the process may have been suspended, and another
	// controller may lead by then.
	SendDeadline time.Time
	Kind         CloudRequestKind
	// IdempotencyKey, MachineType, Zone, Spot and Count belong to CloudRent. The same key
	// never rents twice.
	IdempotencyKey string
	MachineType    string
	Zone           string
	Spot           bool
	Count          int
	// Machines are those to release.
	Machines []string
	// StartAfter is the ID after which CloudListMachines continues.
	StartAfter string
}

// CloudResponse answers a CloudRequest.
type CloudResponse struct {
	ID           uint64
	Status       CloudStatus
	MachineTypes []model.MachineType
	Machines     []model.CloudMachine
	// Rented are the IDs of the machines rented.
	Rented []string
	// Truncated says that the list goes on after the last of Machines.
	Truncated bool
}

func (CloudRequest) effect() {}

func (CloudResponse) command() {}

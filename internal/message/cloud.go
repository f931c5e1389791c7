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
	// CloudNoCapacity means that the cloud has no free machine of the requested kind.
	CloudNoCapacity
	// CloudRefused means that the request was certainly not executed.
	CloudRefused
	// CloudMalformed means that the cloud rejected the request as invalid and did not execute
	// it.
	CloudMalformed
	// CloudUnknown means that the request may have been executed or may still be executed.
	CloudUnknown
)

// String returns the outcome as logs and metrics show it.
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

// String returns the kind as logs and metrics show it.
func (k CloudRequestKind) String() string {
	return [...]string{"types", "list", "rent", "return"}[k]
}

// CloudRequest is a request to the cloud. A CloudResponse answers it.
type CloudRequest struct {
	ID uint64
	// SendDeadline is the latest time at which the request may be sent. After it, the server
	// answers with CloudRefused instead of sending: the process may have been suspended between
	// the controller's decision and the sending, and another controller may lead by then.
	SendDeadline time.Time
	Kind         CloudRequestKind
	// IdempotencyKey, MachineType, Zone, Spot and Count belong to CloudRent. The cloud executes
	// at most one rental for the same key.
	IdempotencyKey string
	MachineType    string
	Zone           string
	Spot           bool
	Count          int
	// Machines are the IDs of the machines that CloudRelease releases.
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
	// Rented are the IDs of the rented machines.
	Rented []string
	// Truncated is true if the list has more machines after the last of Machines.
	Truncated bool
}

func (CloudRequest) effect() {}

func (CloudResponse) command() {}

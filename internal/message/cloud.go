package message

import (
	"time"

	"github.com/micahill/micahill/internal/model"
)

// CloudResponse answers a CloudRequest.
type CloudResponse struct {
	ID           uint64
	Status       CloudStatus
	MachineTypes []model.MachineType
	Machines     []model.CloudMachine
	Rented       []string
	Truncated    bool
}

func (CloudResponse) command() {}

// CloudStatus is the outcome of a request to the cloud.
type CloudStatus int

// Outcomes of cloud requests.
const (
	CloudOK CloudStatus = iota
	CloudNoCapacity
	CloudRefused
	CloudMalformed
	CloudUnknown
)

// CloudRequestKind is the kind of a request to the cloud.
type CloudRequestKind int

// The requests.
const (
	CloudListTypes CloudRequestKind = iota
	CloudListMachines
	CloudRent
	CloudRelease
)

// CloudRequest asks the cloud. After Until it must not leave any more: a controller may
// have stood still since it was decided, and others lead by now.
type CloudRequest struct {
	ID             uint64
	SendDeadline   time.Time
	Kind           CloudRequestKind
	IdempotencyKey string
	MachineType    string
	Zone           string
	Spot           bool
	Count          int
	Machines       []string
	StartAfter     string
}

func (CloudRequest) effect() {}

func (k CloudRequestKind) String() string {
	return [...]string{"types", "list", "rent", "return"}[k]
}

func (s CloudStatus) String() string {
	return [...]string{"ok", "no_capacity", "refused", "bad", "unknown"}[s]
}

package message

// Command is an input to the core. Effect is an output.
type (
	Command interface{ command() }
	Effect  interface{ effect() }
)

// Role tells the shell what this node is, for rates and metrics.
type Role struct {
	Leader      bool
	ShardLeader bool
}

// GPUFreeCapacityReport tells the metrics how the room on machines with GPUs lies, and of replicas on
// the move, while models are on.
type GPUFreeCapacityReport struct {
	Kinds      []GPUFreeCapacity
	Migrations *MigrationsStatus
}

// Log is a line for the operator.
type Log struct {
	Debug   bool
	Error   bool
	Message string
	Args    []any
}

func (Role) effect() {}

func (GPUFreeCapacityReport) effect() {}

func (Log) effect() {}

// Rates is what a controller asks of the state service a second.
type Rates struct {
	Requests float64
	Writes   float64
}

func (Rates) effect() {}

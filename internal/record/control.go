package record

// Format is the storage format of task segments. In the record below FormatSupportPrefix that a
// controller writes, it only says that the controller supports segments of variable size.
type Format struct {
	// TasksPerSegment is the number of consecutive tasks in a segment.
	TasksPerSegment int `msgpack:"n"`
}

// Drain records whether the cluster is being emptied of the jobs that it has borrowed from others.
type Drain struct {
	Enabled bool `msgpack:"on"`
	// Deadline is the time by which all borrowed jobs must be gone, in Unix milliseconds.
	Deadline int64 `msgpack:"by"`
}

// ReroutedMachines is a controller's report that it keeps receiving heartbeats of machines that
// another controller owns. Workers send them to another controller while the machines' owner is cut
// off from the workers.
type ReroutedMachines struct {
	// Controller is the host of the machines' owner.
	Controller string `msgpack:"of"`
	// Incarnation is the incarnation of the owner to which the report applies.
	Incarnation string `msgpack:"nonce"`
	// Machines is the number of such machines.
	Machines int `msgpack:"n"`
}

// Member is the record by which a controller is a member. The record exists as long as the
// controller's membership lease.
type Member struct {
	// LeaseID is the ID of the membership lease in the state service.
	LeaseID     uint64 `msgpack:"grant"`
	Incarnation string `msgpack:"nonce"`
	// ReceivesNothing is true if no worker's heartbeat reaches the controller (an inbound
	// partition). The leader must not assign a shard to such a controller.
	ReceivesNothing bool `msgpack:"deaf,omitempty"`
	// StartedAt is the start time of the controller's process, in Unix milliseconds.
	StartedAt int64 `msgpack:"born,omitempty"`
}

// Incarnation is the record of a controller's earlier incarnations. From it, a process that keeps
// crashing determines how long to wait before it joins again. The record outlives the leases of the
// incarnations.
type Incarnation struct {
	// StartedAt is the start time of the newest incarnation, in Unix milliseconds.
	StartedAt int64 `msgpack:"born"`
	// ShortLived is the number of consecutive incarnations that ended soon after their start.
	ShortLived int `msgpack:"short"`
}

// Leader identifies the elected leader.
type Leader struct {
	Host        string `msgpack:"host"`
	Incarnation string `msgpack:"nonce"`
}

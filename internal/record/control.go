package record

// Format is the record format of task segments. In a controller's own record it only says
// that the controller supports sized segments.
type Format struct {
	// TasksPerSegment is how many consecutive tasks share a segment.
	TasksPerSegment int `msgpack:"n"`
}

// Drain is whether the cluster is being emptied of borrowed jobs.
type Drain struct {
	Enabled bool `msgpack:"on"`
	// Deadline is when all borrowed jobs are to be gone, in Unix milliseconds.
	Deadline int64 `msgpack:"by"`
}

// ReroutedMachines is a controller's report that machines of another one keep sending their
// heartbeats to it instead, as they do when their owner is cut off from them.
type ReroutedMachines struct {
	// Controller is the machines' owner, by host.
	Controller string `msgpack:"of"`
	// Incarnation is that of the owner which the report is about.
	Incarnation string `msgpack:"nonce"`
	// Machines counts them.
	Machines int `msgpack:"n"`
}

// Member is a controller's record of itself, which stands as long as its membership lease.
type Member struct {
	// LeaseID is the membership lease in the state service.
	LeaseID     uint64 `msgpack:"grant"`
	Incarnation string `msgpack:"nonce"`
	// ReceivesNothing says that no worker's heartbeat reaches the controller (an inbound
	// partition), so that it must not be given a shard.
	ReceivesNothing bool `msgpack:"deaf,omitempty"`
	// StartedAt is when its process started, in Unix milliseconds.
	StartedAt int64 `msgpack:"born,omitempty"`
}

// Incarnation is what a controller's earlier incarnations leave for the next one, by which
// a process that keeps crashing waits before it joins again. It outlives their leases.
type Incarnation struct {
	// StartedAt is when the newest incarnation started, in Unix milliseconds.
	StartedAt int64 `msgpack:"born"`
	// ShortLived counts the incarnations in a row that soon ended.
	ShortLived int `msgpack:"short"`
}

// Leader names the elected leader.
type Leader struct {
	Host        string `msgpack:"host"`
	Incarnation string `msgpack:"nonce"`
}

package record

// Format says how many tasks share a part; in a controller's own record it only
// says that it knows parts.
type Format struct {
	TasksPerSegment int `msgpack:"n"`
}

type Drain struct {
	Enabled  bool  `msgpack:"on"`
	Deadline int64 `msgpack:"by"`
}

// ReroutedMachines says that machines of the controller Of, in its life Nonce, keep
// coming to whoever writes it.
type ReroutedMachines struct {
	Controller  string `msgpack:"of"`
	Incarnation string `msgpack:"nonce"`
	Machines    int    `msgpack:"n"`
}

type Member struct {
	LeaseID     uint64 `msgpack:"grant"`
	Incarnation string `msgpack:"nonce"`
	// Deaf: it hears no worker and wants no share.
	ReceivesNothing bool `msgpack:"deaf,omitempty"`
	// StartedAt is when its process began, in Unix milliseconds.
	StartedAt int64 `msgpack:"born,omitempty"`
}

// Incarnation is what a controller's lives leave for the next one. It outlives their
// grants.
type Incarnation struct {
	StartedAt  int64 `msgpack:"born"`
	ShortLived int   `msgpack:"short"`
}

type Leader struct {
	Host        string `msgpack:"host"`
	Incarnation string `msgpack:"nonce"`
}

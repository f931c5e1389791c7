package record

// formatRecord says how many tasks share a part; in a controller's own record it only
// says that it knows parts.
type FormatRecord struct {
	TasksPerSegment int `msgpack:"n"`
}

type DrainRecord struct {
	Enabled  bool  `msgpack:"on"`
	Deadline int64 `msgpack:"by"`
}

// rerouteRecord says that machines of the controller Of, in its life Nonce, keep
// coming to whoever writes it.
type RerouteRecord struct {
	Controller  string `msgpack:"of"`
	Incarnation string `msgpack:"nonce"`
	Machines    int    `msgpack:"n"`
}

type MemberRecord struct {
	LeaseID     uint64 `msgpack:"grant"`
	Incarnation string `msgpack:"nonce"`
	// Deaf: it hears no worker and wants no share.
	ReceivesNothing bool `msgpack:"deaf,omitempty"`
	// StartedAt is when its process began, in Unix milliseconds.
	StartedAt int64 `msgpack:"born,omitempty"`
}

// incarnationRecord is what a controller's lives leave for the next one. It outlives their
// grants.
type IncarnationRecord struct {
	StartedAt  int64 `msgpack:"born"`
	ShortLived int   `msgpack:"short"`
}

type LeaderRecord struct {
	Host        string `msgpack:"host"`
	Incarnation string `msgpack:"nonce"`
}

package record

// OffloadedJob is the record of a loan that this cluster took, with Job and Cause, or of when
// a home cluster last answered, with RenewedAt alone.
type OffloadedJob struct {
	// Job is the name that the borrowed job has in this cluster.
	Job string `msgpack:"j,omitempty"`
	// Cause is why the loan was given up, "" while it stands.
	Cause string `msgpack:"c,omitempty"`
	// RenewedAt is when the heartbeat was sent that the home answered, in Unix milliseconds.
	RenewedAt int64 `msgpack:"r,omitempty"`
}

package record

// OffloadedJob is the record of a loan through which this cluster runs another cluster's job. It
// then has Job and Cause. The record of the time when a home cluster last answered has the same
// type, with RenewedAt alone.
type OffloadedJob struct {
	// Job is the ID that the borrowed job has in this cluster.
	Job string `msgpack:"j,omitempty"`
	// Cause is the reason why the loan was given up, "" while the loan is valid.
	Cause string `msgpack:"c,omitempty"`
	// RenewedAt is the time when this cluster sent the newest heartbeat that the home answered, in
	// Unix milliseconds.
	RenewedAt int64 `msgpack:"r,omitempty"`
}

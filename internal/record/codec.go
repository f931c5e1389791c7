package record

import (
	"time"

	"github.com/micahill/micahill/internal/promise"
	"github.com/micahill/micahill/internal/sizelimit"
	"github.com/vmihailenco/msgpack/v5"
)

const (
	// QuotesPrefix holds what quotes rest on, by team, and totalsKey the outcomes.
	QuotesPrefix = "promise/quotes/"
)

const (
	TotalsKey = "promise/totals"
)

const (
	// MaxDateMillis is the longest date in milliseconds.
	MaxDateMillis = int(promise.MaxDate / time.Millisecond)
)

func Encode(v any) []byte {
	b, err := msgpack.Marshal(v)
	if err != nil {
		// Only plain structs of ours come here; they always encode.
		panic("core: " + err.Error())
	}
	return b
}

// Decode reads a record. The library takes a list's length at its word and makes room
// for it, so a damaged record is found before.
func Decode(b []byte, v any) bool {
	if _, err := sizelimit.JSON(b); err != nil {
		return false
	}
	return msgpack.Unmarshal(b, v) == nil
}

// DurationOfSeconds converts a decimal number of seconds at the edge.
func DurationOfSeconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

package simulation

import (
	"encoding/json"
	"fmt"
	"strings"
	"time"

	"github.com/micahill/micahill/internal/controller"
	"github.com/micahill/micahill/internal/message"
	"github.com/vmihailenco/msgpack/v5"
	"golang.org/x/time/rate"
)

// StoreRateLimited stands for a 429, of which the cores never hear: their client tries
// again.
const StoreRateLimited message.StoreStatus = -1

// storeLimits are those of the protocol and the settings. Sizes are counted by writing the
// JSON, on purpose: the controllers reckon them another way, and would agree with
// their own mistakes.
type storeLimits struct {
	valueBytes, writesPerTxn, pageRows int
	requests, writes                   *rate.Limiter
}

const (
	maxKeyBytes = 200
	maxTxnBytes = 64 << 10
	// maxPageRows is how many rows a list has at most.
	maxPageRows = 1000
)

// SetLimits makes the service keep the limits of the settings: the size of values and
// transactions, and requests and changes a second with bursts of one second's worth.
// Settings that say nothing of sizes leave it without limits.
func (s *StateService) SetLimits(settings controller.Settings) {
	if settings.MaxTxnWrites == 0 || settings.MaxValueBytes == 0 {
		return
	}
	limit := func(rps float64, burst int) *rate.Limiter {
		if rps <= 0 {
			return rate.NewLimiter(rate.Inf, burst)
		}
		return rate.NewLimiter(rate.Limit(rps), max(burst, int(rps)))
	}
	s.limits = &storeLimits{
		valueBytes: settings.MaxValueBytes, writesPerTxn: settings.MaxTxnWrites, pageRows: maxPageRows,
		requests: limit(settings.StoreRequestsPerSecond, 1), writes: limit(settings.StoreWritesPerSecond, settings.MaxTxnWrites),
	}
}

// allow takes a request's part of the rates, if there is enough left. A transaction
// that is refused for its changes counts as a request all the same.
func (l *storeLimits) allow(now time.Time, op *message.StoreRequest) bool {
	return l.requests.AllowN(now, 1) && (len(op.Writes) == 0 || l.writes.AllowN(now, len(op.Writes)))
}

// malformedReason says what a 400 is for, or nothing.
func (l *storeLimits) malformedReason(op *message.StoreRequest) string {
	if op.Kind != message.OpTxn {
		return ""
	}
	if len(op.Writes) > l.writesPerTxn {
		return fmt.Sprintf("%d changes", len(op.Writes))
	}
	if len(op.Compares) > 4*l.writesPerTxn {
		return fmt.Sprintf("%d conditions", len(op.Compares))
	}
	whole := obj{}
	var when, apply []any
	for _, c := range op.Compares {
		if !isValidKey(c.Key) {
			return "key " + c.Key
		}
		when = append(when, obj{"key": c.Key, "stamp": c.ModRevision})
	}
	for _, a := range op.Writes {
		if !isValidKey(a.Key) {
			return "key " + a.Key
		}
		if a.Value == nil {
			apply = append(apply, obj{"remove": a.Key})
			continue
		}
		var v any
		if err := msgpack.Unmarshal(a.Value, &v); err != nil {
			return "no value for " + a.Key
		}
		b, err := json.Marshal(v)
		if err != nil {
			return "no value for " + a.Key
		}
		if len(b) > l.valueBytes {
			return fmt.Sprintf("%d bytes for %s", len(b), a.Key)
		}
		apply = append(apply, obj{"put": a.Key, "value": json.RawMessage(b), "permit": a.LeaseID})
	}
	whole["when"], whole["apply"] = when, apply
	if b, err := json.Marshal(whole); err != nil || len(b) > maxTxnBytes {
		return fmt.Sprintf("%d bytes", len(b))
	}
	return ""
}

func isValidKey(k string) bool {
	return k != "" && len(k) <= maxKeyBytes && !strings.ContainsAny(k, " \t\n")
}

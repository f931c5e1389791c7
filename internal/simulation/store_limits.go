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

// StoreRateLimited is the status of a request that exceeds a rate limit (HTTP 429). Controllers
// never get it, because their client sends the request again.
const StoreRateLimited message.StoreStatus = -1

// storeLimits are the limits of the protocol and the settings. Sizes are those of the encoded JSON.
// The controllers compute sizes without encoding; sharing their code would hide its mistakes.
type storeLimits struct {
	valueBytes, writesPerTxn, pageRows int
	requests, writes                   *rate.Limiter
}

const (
	// maxKeyBytes and maxTxnBytes are the protocol's limits on the size of a key and of a
	// transaction.
	maxKeyBytes = 200
	maxTxnBytes = 64 << 10
	// maxPageRows is the maximum number of rows in the answer to a list request.
	maxPageRows = 1000
)

// SetLimits sets the limits on the size of values and transactions, and on requests and writes per
// second with bursts of one second's worth. The limits stay as they are if the settings have no
// sizes.
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

// allow reports whether the rate limits allow a request, and counts the request. A transaction that
// is refused because of its writes still counts as a request.
func (l *storeLimits) allow(now time.Time, op *message.StoreRequest) bool {
	return l.requests.AllowN(now, 1) && (len(op.Writes) == 0 || l.writes.AllowN(now, len(op.Writes)))
}

// validate returns the reason why the protocol requires the answer 400 to a request, or nil if the
// request is valid.
func (l *storeLimits) validate(op *message.StoreRequest) error {
	if op.Kind != message.OpTxn {
		return nil
	}
	if len(op.Writes) > l.writesPerTxn {
		return fmt.Errorf("%d changes", len(op.Writes))
	}
	if len(op.Compares) > 4*l.writesPerTxn {
		return fmt.Errorf("%d conditions", len(op.Compares))
	}
	whole := obj{}
	var compares, writes []any
	for _, c := range op.Compares {
		if !isValidKey(c.Key) {
			return fmt.Errorf("key %s", c.Key)
		}
		compares = append(compares, obj{"key": c.Key, "stamp": c.ModRevision})
	}
	for _, a := range op.Writes {
		if !isValidKey(a.Key) {
			return fmt.Errorf("key %s", a.Key)
		}
		if a.Value == nil {
			writes = append(writes, obj{"remove": a.Key})
			continue
		}
		var v any
		if err := msgpack.Unmarshal(a.Value, &v); err != nil {
			return fmt.Errorf("no value for %s", a.Key)
		}
		b, err := json.Marshal(v)
		if err != nil {
			return fmt.Errorf("no value for %s", a.Key)
		}
		if len(b) > l.valueBytes {
			return fmt.Errorf("%d bytes for %s", len(b), a.Key)
		}
		writes = append(writes, obj{"put": a.Key, "value": json.RawMessage(b), "permit": a.LeaseID})
	}
	whole["when"], whole["apply"] = compares, writes
	if b, err := json.Marshal(whole); err != nil || len(b) > maxTxnBytes {
		return fmt.Errorf("%d bytes", len(b))
	}
	return nil
}

// isValidKey reports whether the protocol allows a key: not empty, at most maxKeyBytes, no white
// space.
func isValidKey(k string) bool {
	return k != "" && len(k) <= maxKeyBytes && !strings.ContainsAny(k, " \t\n")
}

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
	// maxPageRows is the maximum number of rows in the response to a list request.
	maxPageRows = 1000
)

// SetLimits sets the limits on the size of values and transactions, and on requests and writes per
// second with bursts of one second's worth. The limits stay as they are if the settings have no
// sizes.
func (service *StateService) SetLimits(settings controller.Settings) {
	if settings.MaxTxnWrites == 0 || settings.MaxValueBytes == 0 {
		return
	}
	limit := func(rps float64, burst int) *rate.Limiter {
		if rps <= 0 {
			return rate.NewLimiter(rate.Inf, burst)
		}
		return rate.NewLimiter(rate.Limit(rps), max(burst, int(rps)))
	}
	service.limits = &storeLimits{
		valueBytes: settings.MaxValueBytes, writesPerTxn: settings.MaxTxnWrites, pageRows: maxPageRows,
		requests: limit(settings.StoreRequestsPerSecond, 1), writes: limit(settings.StoreWritesPerSecond, settings.MaxTxnWrites),
	}
}

// allow reports whether the rate limits allow a request, and counts the request. A transaction that
// is refused because of its writes still counts as a request.
func (limits *storeLimits) allow(now time.Time, request *message.StoreRequest) bool {
	return limits.requests.AllowN(now, 1) && (len(request.Writes) == 0 || limits.writes.AllowN(now, len(request.Writes)))
}

// validate returns the reason why the protocol requires the answer 400 to a request, or nil if the
// request is valid.
func (limits *storeLimits) validate(request *message.StoreRequest) error {
	if request.Kind != message.OpTxn {
		return nil
	}
	if len(request.Writes) > limits.writesPerTxn {
		return fmt.Errorf("%d changes", len(request.Writes))
	}
	if len(request.Compares) > 4*limits.writesPerTxn {
		return fmt.Errorf("%d conditions", len(request.Compares))
	}
	whole := obj{}
	var compares, writes []any
	for _, compare := range request.Compares {
		if !isValidKey(compare.Key) {
			return fmt.Errorf("key %s", compare.Key)
		}
		compares = append(compares, obj{"key": compare.Key, "stamp": compare.ModRevision})
	}
	for _, a := range request.Writes {
		if !isValidKey(a.Key) {
			return fmt.Errorf("key %s", a.Key)
		}
		if a.Value == nil {
			writes = append(writes, obj{"remove": a.Key})
			continue
		}
		var value any
		if err := msgpack.Unmarshal(a.Value, &value); err != nil {
			return fmt.Errorf("no value for %s", a.Key)
		}
		b, err := json.Marshal(value)
		if err != nil {
			return fmt.Errorf("no value for %s", a.Key)
		}
		if len(b) > limits.valueBytes {
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

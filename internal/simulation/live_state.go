package simulation

import (
	"errors"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/micahill/micahill/internal/message"
)

// serveState handles HTTP requests to the state service.
func (l *Live) serveState(rw http.ResponseWriter, r *http.Request) {
	l.mu.Lock()
	op, writes, err := decodeStoreRequest(r)
	out := make(chan message.StoreResponse, 1)
	switch {
	case err != nil:
		l.mu.Unlock()
		writeReply(rw, http.StatusBadRequest, obj{"error": "malformed"})
		return
	case l.storeUnavailable && op.Kind != message.OpWatch:
		l.mu.Unlock()
		writeReply(rw, http.StatusServiceUnavailable, obj{"error": "trouble"})
		return
	case !l.requestLimiter.Allow() || writes > 0 && !l.writeLimiter.AllowN(time.Now(), writes):
		l.counts.countRequest(&op, true)
		l.mu.Unlock()
		writeReply(rw, http.StatusTooManyRequests, obj{"error": "rate"})
		return
	}
	l.counts.countRequest(&op, false)
	l.world.state.Do(time.Now(), op, func(d message.StoreResponse) { out <- d })
	l.mu.Unlock()
	var d message.StoreResponse
	select {
	case d = <-out:
	case <-r.Context().Done():
		return
	}
	l.writeStoreResponse(rw, op, d)
}

// errMalformedRequest is the error for requests to which the protocol requires the answer 400.
var errMalformedRequest = errors.New("simulation: malformed request")

// decodeStoreRequest decodes a request to the state service and returns the number of its writes.
func decodeStoreRequest(r *http.Request) (op message.StoreRequest, writes int, err error) {
	malformed := false
	q := r.URL.Query()
	path := r.URL.Path
	switch {
	case path == "/store":
		op = message.StoreRequest{Kind: message.OpList, Key: q.Get("under"), StartAfter: q.Get("from")}
	case strings.HasPrefix(path, "/store/"):
		op = message.StoreRequest{Kind: message.OpGet, Key: strings.TrimPrefix(path, "/store/")}
	case path == "/follow":
		hold, _ := strconv.Atoi(q.Get("hold_ms"))
		revision, err := strconv.ParseUint(q.Get("from"), 10, 64)
		op = message.StoreRequest{Kind: message.OpWatch, Key: q.Get("under"), Revision: revision, WatchTimeout: time.Duration(hold) * time.Millisecond}
		malformed = err != nil || hold > 60000
	case path == "/grants":
		ttl := toUint(readObject(r)["ttl_ms"])
		op = message.StoreRequest{Kind: message.OpLeaseGrant, TTL: time.Duration(ttl) * time.Millisecond}
		malformed = ttl < 100 || ttl > 600000
	case strings.HasSuffix(path, "/renew"):
		op = message.StoreRequest{Kind: message.OpLeaseRenew, LeaseID: toUint(strings.Split(path, "/")[2])}
	case strings.HasPrefix(path, "/grants/"):
		op = message.StoreRequest{Kind: message.OpLeaseRevoke, LeaseID: toUint(strings.Split(path, "/")[2])}
	case path == "/multi":
		op.Kind = message.OpTxn
		o := readObject(r)
		for _, c := range toList(o["when"]) {
			m := c.(obj)
			op.Compares = append(op.Compares, message.Compare{Key: toText(m["key"]), ModRevision: toUint(m["stamp"])})
		}
		for _, c := range toList(o["apply"]) {
			m := c.(obj)
			writes++
			if k := toText(m["remove"]); k != "" {
				op.Writes = append(op.Writes, message.Write{Key: k})
				continue
			}
			_, isMap := m["value"].(obj)
			op.Writes = append(op.Writes, message.Write{Key: toText(m["put"]), Value: encodeValue(m["value"]), LeaseID: toUint(m["permit"])})
			malformed = malformed || toText(m["put"]) == "" || !isMap
		}
	default:
		malformed = true
	}
	if malformed {
		return op, writes, errMalformedRequest
	}
	return op, writes, nil
}

// writeStoreResponse writes the state service's response to a request.
func (l *Live) writeStoreResponse(rw http.ResponseWriter, op message.StoreRequest, d message.StoreResponse) {
	rows := func() []any {
		out := []any{}
		for _, kv := range d.KeyValues {
			o := obj{"stamp": kv.ModRevision}
			switch {
			case kv.Deleted:
				o["remove"] = kv.Key
			case op.Kind == message.OpWatch:
				o["put"], o["value"] = kv.Key, decodeValue(kv.Value)
			default:
				o["key"], o["value"] = kv.Key, decodeValue(kv.Value)
			}
			out = append(out, o)
		}
		return out
	}
	switch d.Status {
	case message.StoreNotFound:
		writeReply(rw, http.StatusNotFound, obj{"ledger_rev": d.Revision})
	case message.StoreConflict:
		writeReply(rw, http.StatusConflict, obj{"failed": d.FailedKeys, "ledger_rev": d.Revision})
	case message.StoreCompacted:
		writeReply(rw, http.StatusGone, obj{"error": "too old"})
	case message.StoreNoLease:
		writeReply(rw, http.StatusBadRequest, obj{"error": "no such lease"})
	case message.StoreMalformed:
		writeReply(rw, http.StatusBadRequest, obj{"error": "malformed"})
	case StoreRateLimited:
		writeReply(rw, http.StatusTooManyRequests, obj{"error": "rate"})
	default:
		switch op.Kind {
		case message.OpGet:
			kv := d.KeyValues[0]
			writeReply(rw, http.StatusOK, obj{"key": kv.Key, "value": decodeValue(kv.Value), "stamp": kv.ModRevision})
		case message.OpList:
			writeReply(rw, http.StatusOK, obj{"rows": rows(), "truncated": d.Truncated, "ledger_rev": d.Revision})
		case message.OpWatch:
			writeReply(rw, http.StatusOK, obj{"news": rows(), "ledger_rev": d.Revision})
		case message.OpLeaseGrant:
			writeReply(rw, http.StatusOK, obj{"permit": d.LeaseID})
		default:
			writeReply(rw, http.StatusOK, obj{"ledger_rev": d.Revision})
		}
	}
}

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
func (live *Live) serveState(rw http.ResponseWriter, r *http.Request) {
	live.mu.Lock()
	request, writes, err := decodeStoreRequest(r)
	out := make(chan message.StoreResponse, 1)
	switch {
	case err != nil:
		live.mu.Unlock()
		writeReply(rw, http.StatusBadRequest, obj{"error": "malformed"})
		return
	case live.storeUnavailable && request.Kind != message.OpWatch:
		live.mu.Unlock()
		writeReply(rw, http.StatusServiceUnavailable, obj{"error": "trouble"})
		return
	case !live.requestLimiter.Allow() || writes > 0 && !live.writeLimiter.AllowN(time.Now(), writes):
		live.counts.countRequest(&request, true)
		live.mu.Unlock()
		writeReply(rw, http.StatusTooManyRequests, obj{"error": "rate"})
		return
	}
	live.counts.countRequest(&request, false)
	live.world.state.Do(time.Now(), request, func(response message.StoreResponse) { out <- response })
	live.mu.Unlock()
	var response message.StoreResponse
	select {
	case response = <-out:
	case <-r.Context().Done():
		return
	}
	live.writeStoreResponse(rw, request, response)
}

// errMalformedRequest is the error for requests to which the protocol requires the answer 400.
var errMalformedRequest = errors.New("simulation: malformed request")

// decodeStoreRequest decodes a request to the state service and returns the number of its writes.
func decodeStoreRequest(r *http.Request) (request message.StoreRequest, writes int, err error) {
	malformed := false
	query := r.URL.Query()
	path := r.URL.Path
	switch {
	case path == "/store":
		request = message.StoreRequest{Kind: message.OpList, Key: query.Get("under"), StartAfter: query.Get("from")}
	case strings.HasPrefix(path, "/store/"):
		request = message.StoreRequest{Kind: message.OpGet, Key: strings.TrimPrefix(path, "/store/")}
	case path == "/follow":
		hold, _ := strconv.Atoi(query.Get("hold_ms"))
		revision, err := strconv.ParseUint(query.Get("from"), 10, 64)
		request = message.StoreRequest{Kind: message.OpWatch, Key: query.Get("under"), Revision: revision, WatchTimeout: time.Duration(hold) * time.Millisecond}
		malformed = err != nil || hold > 60000
	case path == "/grants":
		ttl := toUint(readObject(r)["ttl_ms"])
		request = message.StoreRequest{Kind: message.OpLeaseGrant, TTL: time.Duration(ttl) * time.Millisecond}
		malformed = ttl < 100 || ttl > 600000
	case strings.HasSuffix(path, "/renew"):
		request = message.StoreRequest{Kind: message.OpLeaseRenew, LeaseID: toUint(strings.Split(path, "/")[2])}
	case strings.HasPrefix(path, "/grants/"):
		request = message.StoreRequest{Kind: message.OpLeaseRevoke, LeaseID: toUint(strings.Split(path, "/")[2])}
	case path == "/multi":
		request.Kind = message.OpTxn
		object := readObject(r)
		for _, item := range toList(object["when"]) {
			entry := item.(obj)
			request.Compares = append(request.Compares, message.Compare{Key: toString(entry["key"]), ModRevision: toUint(entry["stamp"])})
		}
		for _, item := range toList(object["apply"]) {
			entry := item.(obj)
			writes++
			if k := toString(entry["remove"]); k != "" {
				request.Writes = append(request.Writes, message.Write{Key: k})
				continue
			}
			_, isMap := entry["value"].(obj)
			request.Writes = append(request.Writes, message.Write{Key: toString(entry["put"]), Value: encodeValue(entry["value"]), LeaseID: toUint(entry["permit"])})
			malformed = malformed || toString(entry["put"]) == "" || !isMap
		}
	default:
		malformed = true
	}
	if malformed {
		return request, writes, errMalformedRequest
	}
	return request, writes, nil
}

// writeStoreResponse writes the state service's response to a request.
func (live *Live) writeStoreResponse(rw http.ResponseWriter, request message.StoreRequest, response message.StoreResponse) {
	rows := func() []any {
		out := []any{}
		for _, kv := range response.KeyValues {
			object := obj{"stamp": kv.ModRevision}
			switch {
			case kv.Deleted:
				object["remove"] = kv.Key
			case request.Kind == message.OpWatch:
				object["put"], object["value"] = kv.Key, decodeValue(kv.Value)
			default:
				object["key"], object["value"] = kv.Key, decodeValue(kv.Value)
			}
			out = append(out, object)
		}
		return out
	}
	switch response.Status {
	case message.StoreNotFound:
		writeReply(rw, http.StatusNotFound, obj{"ledger_rev": response.Revision})
	case message.StoreConflict:
		writeReply(rw, http.StatusConflict, obj{"failed": response.FailedKeys, "ledger_rev": response.Revision})
	case message.StoreCompacted:
		writeReply(rw, http.StatusGone, obj{"error": "too old"})
	case message.StoreNoLease:
		writeReply(rw, http.StatusBadRequest, obj{"error": "no such lease"})
	case message.StoreMalformed:
		writeReply(rw, http.StatusBadRequest, obj{"error": "malformed"})
	case StoreRateLimited:
		writeReply(rw, http.StatusTooManyRequests, obj{"error": "rate"})
	default:
		switch request.Kind {
		case message.OpGet:
			kv := response.KeyValues[0]
			writeReply(rw, http.StatusOK, obj{"key": kv.Key, "value": decodeValue(kv.Value), "stamp": kv.ModRevision})
		case message.OpList:
			writeReply(rw, http.StatusOK, obj{"rows": rows(), "truncated": response.Truncated, "ledger_rev": response.Revision})
		case message.OpWatch:
			writeReply(rw, http.StatusOK, obj{"news": rows(), "ledger_rev": response.Revision})
		case message.OpLeaseGrant:
			writeReply(rw, http.StatusOK, obj{"permit": response.LeaseID})
		default:
			writeReply(rw, http.StatusOK, obj{"ledger_rev": response.Revision})
		}
	}
}

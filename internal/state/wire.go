package state

import (
	"fmt"
	"net/http"
	"net/url"
	"strconv"

	"github.com/micahill/micahill/internal/message"
	"github.com/vmihailenco/msgpack/v5"
)

// listPage is how many items a list asks for at once.
const listPage = 500

// storedItem is a key in a list, or a change in a watch: then Put or Remove has the key.
type storedItem struct {
	Key         string             `msgpack:"key"`
	Put         string             `msgpack:"put"`
	Remove      string             `msgpack:"remove"`
	Value       msgpack.RawMessage `msgpack:"value"`
	ModRevision uint64             `msgpack:"stamp"`
}

// response has the fields of all responses; each request fills some.
type response struct {
	Key         string             `msgpack:"key"`
	Value       msgpack.RawMessage `msgpack:"value"`
	ModRevision uint64             `msgpack:"stamp"`
	Revision    uint64             `msgpack:"ledger_rev"`
	Items       []storedItem       `msgpack:"rows"`
	Truncated   bool               `msgpack:"truncated"`
	Changes     []storedItem       `msgpack:"news"`
	Failed      []string           `msgpack:"failed"`
	Lease       uint64             `msgpack:"permit"`
	Error       string             `msgpack:"error"`
}

type compare struct {
	Key         string `msgpack:"key"`
	ModRevision uint64 `msgpack:"stamp"`
}

type transaction struct {
	Compares []compare        `msgpack:"when"`
	Writes   []map[string]any `msgpack:"apply,omitempty"`
}

// encodeRequest is the HTTP form of a request; a nil body means none.
func encodeRequest(req message.StoreRequest) (method, path string, body any) {
	switch req.Kind {
	case message.OpGet:
		return http.MethodGet, "/store/" + req.Key, nil
	case message.OpList:
		query := url.Values{"under": {req.Key}, "limit": {strconv.Itoa(listPage)}}
		if req.StartAfter != "" {
			query.Set("from", req.StartAfter)
		}
		return http.MethodGet, "/store?" + query.Encode(), nil
	case message.OpWatch:
		query := url.Values{"under": {req.Key}, "from": {strconv.FormatUint(req.Revision, 10)}, "hold_ms": {strconv.FormatInt(req.WatchTimeout.Milliseconds(), 10)}}
		return http.MethodGet, "/follow?" + query.Encode(), nil
	case message.OpLeaseGrant:
		return http.MethodPost, "/grants", map[string]any{"ttl_ms": req.TTL.Milliseconds()}
	case message.OpLeaseRenew:
		return http.MethodPost, fmt.Sprintf("/grants/%d/renew", req.LeaseID), map[string]any{}
	case message.OpLeaseRevoke:
		return http.MethodDelete, fmt.Sprintf("/grants/%d", req.LeaseID), nil
	}
	return http.MethodPost, "/multi", encodeTransaction(req)
}

func encodeTransaction(req message.StoreRequest) transaction {
	// The service wants a list of compares, even an empty one.
	txn := transaction{Compares: []compare{}}
	for _, c := range req.Compares {
		txn.Compares = append(txn.Compares, compare(c))
	}
	for _, w := range req.Writes {
		write := map[string]any{}
		if w.Value == nil {
			write["remove"] = w.Key
		} else {
			write["put"], write["value"] = w.Key, msgpack.RawMessage(w.Value)
			if w.LeaseID != 0 {
				write["permit"] = w.LeaseID
			}
		}
		txn.Writes = append(txn.Writes, write)
	}
	return txn
}

// decodeResponse fills out from a response. Only a get that succeeded has a value of its own.
func decodeResponse(out *message.StoreResponse, hasValue bool, r *response) {
	out.Revision, out.FailedKeys, out.LeaseID, out.Truncated = r.Revision, r.Failed, r.Lease, r.Truncated
	if hasValue {
		out.KeyValues = []message.KeyValue{{Key: r.Key, Value: r.Value, ModRevision: r.ModRevision}}
	}
	for _, item := range r.Items {
		out.KeyValues = append(out.KeyValues, message.KeyValue{Key: item.Key, Value: item.Value, ModRevision: item.ModRevision})
	}
	for _, change := range r.Changes {
		kv := message.KeyValue{Key: change.Put, Value: change.Value, ModRevision: change.ModRevision}
		if change.Remove != "" {
			kv.Key, kv.Deleted = change.Remove, true
		}
		out.KeyValues = append(out.KeyValues, kv)
	}
}

package state

import (
	"fmt"
	"net/http"
	"net/url"
	"strconv"

	"github.com/micahill/micahill/internal/message"
	"github.com/vmihailenco/msgpack/v5"
)

// listPageSize is the number of items that the client requests in one page of a list.
const listPageSize = 500

// storedItem is a key in a list or a change in a watch. The key of a change is in Put or Remove.
type storedItem struct {
	Key         string             `msgpack:"key"`
	Put         string             `msgpack:"put"`
	Remove      string             `msgpack:"remove"`
	Value       msgpack.RawMessage `msgpack:"value"`
	ModRevision uint64             `msgpack:"stamp"`
}

// response has the fields of the responses to all kinds of requests. A response sets only some of
// them.
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

// compare is a message.Compare in the service's wire format.
type compare struct {
	Key         string `msgpack:"key"`
	ModRevision uint64 `msgpack:"stamp"`
}

// transaction is the body of a transaction request.
type transaction struct {
	Compares []compare        `msgpack:"when"`
	Writes   []map[string]any `msgpack:"apply,omitempty"`
}

// encodeRequest returns the HTTP method, path and body of a request. A nil body means no body.
func encodeRequest(req message.StoreRequest) (method, path string, body any) {
	switch req.Kind {
	case message.OpGet:
		return http.MethodGet, "/store/" + req.Key, nil
	case message.OpList:
		query := url.Values{"under": {req.Key}, "limit": {strconv.Itoa(listPageSize)}}
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

// encodeTransaction returns the body of a request of kind OpTxn.
func encodeTransaction(req message.StoreRequest) transaction {
	// The service requires a list of compares, even an empty one.
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

// decodeResponse copies reply to result. hasValue is true for the response to a successful get,
// which has a value outside of Items and Changes.
func decodeResponse(result *message.StoreResponse, hasValue bool, reply *response) {
	result.Revision, result.FailedKeys, result.LeaseID, result.Truncated = reply.Revision, reply.Failed, reply.Lease, reply.Truncated
	if hasValue {
		result.KeyValues = []message.KeyValue{{Key: reply.Key, Value: reply.Value, ModRevision: reply.ModRevision}}
	}
	for _, item := range reply.Items {
		result.KeyValues = append(result.KeyValues, message.KeyValue{Key: item.Key, Value: item.Value, ModRevision: item.ModRevision})
	}
	for _, change := range reply.Changes {
		kv := message.KeyValue{Key: change.Put, Value: change.Value, ModRevision: change.ModRevision}
		if change.Remove != "" {
			kv.Key, kv.Deleted = change.Remove, true
		}
		result.KeyValues = append(result.KeyValues, kv)
	}
}

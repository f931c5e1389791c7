package simulation

import (
	"fmt"
	"io"
	"net/http"
	"strconv"

	"github.com/vmihailenco/msgpack/v5"
)

// obj is a decoded or not yet encoded object of the wire format.
type obj = map[string]any

// writeReply writes an HTTP answer with v as its body.
func writeReply(rw http.ResponseWriter, status int, v any) {
	b, err := msgpack.Marshal(v)
	if err != nil {
		panic(err)
	}
	rw.Header().Set("Content-Type", "application/msgpack")
	rw.WriteHeader(status)
	rw.Write(b)
}

// readObject reads the body of a request. It returns nil if the body is empty or no object.
func readObject(r *http.Request) obj {
	b, _ := io.ReadAll(r.Body)
	var object obj
	if len(b) > 0 && msgpack.Unmarshal(b, &object) != nil {
		return nil
	}
	return object
}

// toUint converts a decoded number of any type, or a string of digits, to a uint64. It returns 0
// for any other value.
func toUint(v any) uint64 {
	f, _ := strconv.ParseFloat(fmt.Sprint(v), 64)
	return uint64(f)
}

// toString returns a decoded string, or an empty one for a value of any other type.
func toString(v any) string { s, _ := v.(string); return s }

// toList returns a decoded array, or nil for a value of any other type.
func toList(v any) []any { s, _ := v.([]any); return s }

// encodeValue encodes a value in the wire format.
func encodeValue(v any) []byte { b, _ := msgpack.Marshal(v); return b }

// decodeValue decodes a value of the wire format, or returns nil if b is malformed.
func decodeValue(b []byte) any {
	var v any
	if msgpack.Unmarshal(b, &v) != nil {
		return nil
	}
	return v
}

package simulation

import (
	"fmt"
	"io"
	"net/http"
	"strconv"

	"github.com/vmihailenco/msgpack/v5"
)

// obj is an object of the wire format.
type obj = map[string]any

// writeReply writes an answer of the wire format.
func writeReply(rw http.ResponseWriter, status int, v any) {
	b, err := msgpack.Marshal(v)
	if err != nil {
		panic(err)
	}
	rw.Header().Set("Content-Type", "application/msgpack")
	rw.WriteHeader(status)
	rw.Write(b)
}

// readObject reads the body of a request; nil if it is no object.
func readObject(r *http.Request) obj {
	b, _ := io.ReadAll(r.Body)
	var o obj
	if len(b) > 0 && msgpack.Unmarshal(b, &o) != nil {
		return nil
	}
	return o
}

// toUint converts a decoded number of any type, or a text with digits; anything else is 0.
func toUint(v any) uint64 {
	f, _ := strconv.ParseFloat(fmt.Sprint(v), 64)
	return uint64(f)
}

func toText(v any) string { s, _ := v.(string); return s }

func toList(v any) []any { s, _ := v.([]any); return s }

func encodeValue(v any) []byte { b, _ := msgpack.Marshal(v); return b }

func decodeValue(b []byte) any {
	var v any
	if msgpack.Unmarshal(b, &v) != nil {
		return nil
	}
	return v
}

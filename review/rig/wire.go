package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"

	"github.com/vmihailenco/msgpack/v5"
)

// obj is an object of the wire format.
type obj = map[string]any

// writeReply answers a request with v as the body.
func writeReply(rw http.ResponseWriter, status int, v any) {
	body, err := msgpack.Marshal(v)
	if err != nil {
		panic(err)
	}
	rw.Header().Set("Content-Type", "application/msgpack")
	rw.WriteHeader(status)
	rw.Write(body)
}

// readBody decodes the body of a request into v, and reports whether that succeeded.
func readBody(r *http.Request, v any) bool {
	body, err := io.ReadAll(r.Body)
	return err == nil && msgpack.Unmarshal(body, v) == nil
}

// post sends v to a server and decodes the answer. The status is 0 if there is none.
func post(ctx context.Context, client *http.Client, method, url string, v any) (int, obj) {
	var payload []byte
	switch body := v.(type) {
	case nil:
	case []byte:
		payload = body
	default:
		payload = encode(v)
	}
	request, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(payload))
	if err != nil {
		return 0, nil
	}
	request.Header.Set("Content-Type", "application/msgpack")
	response, err := client.Do(request)
	if err != nil {
		return 0, nil
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, nil
	}
	var decoded obj
	if msgpack.Unmarshal(body, &decoded) != nil {
		decoded = nil
	}
	return response.StatusCode, decoded
}

// encode returns v in MessagePack.
func encode(v any) []byte {
	encoded, err := msgpack.Marshal(v)
	if err != nil {
		panic(err)
	}
	return encoded
}

// jsonSize returns the size of v as JSON, the form in which the protocol counts sizes.
func jsonSize(v any) int {
	encoded, err := json.Marshal(v)
	if err != nil {
		return -1
	}
	return len(encoded)
}

// toUint converts a decoded number to an integer.
func toUint(v any) uint64 {
	var n uint64
	fmt.Sscan(fmt.Sprint(v), &n)
	return n
}

// text returns a decoded string, or "" for any other value.
func text(v any) string {
	s, _ := v.(string)
	return s
}

// listen opens a loopback port that is free.
func listen() net.Listener {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		fail("no free port: %v", err)
	}
	return listener
}

// serve serves handler on a free port and returns the address.
func serve(handler http.HandlerFunc) string {
	listener := listen()
	go http.Serve(listener, handler)
	return listener.Addr().String()
}

package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/vmihailenco/msgpack/v5"
)

// obj is a map of the wire format.
type obj = map[string]any

func reply(rw http.ResponseWriter, code int, v any) int {
	b, err := msgpack.Marshal(v)
	if err != nil {
		panic(err)
	}
	rw.Header().Set("Content-Type", "application/msgpack")
	rw.WriteHeader(code)
	_, _ = rw.Write(b)
	return len(b)
}

func readMap(r *http.Request) obj {
	b, _ := io.ReadAll(r.Body)
	return decode(b)
}

func decode(b []byte) obj {
	var o obj
	if len(b) > 0 && msgpack.Unmarshal(b, &o) != nil {
		return nil
	}
	return o
}

func num(v any) float64 {
	if v == nil {
		return 0
	}
	f, _ := strconv.ParseFloat(fmt.Sprint(v), 64)
	return f
}

func text(v any) string   { s, _ := v.(string); return s }
func asList(v any) []any  { l, _ := v.([]any); return l }
func asMap(v any) obj     { m, _ := v.(obj); return m }
func jsonSize(v any) int  { b, _ := json.Marshal(v); return len(b) }
func encode(v any) []byte { b, _ := msgpack.Marshal(v); return b }

// bucket is a rate limit with a burst of one second's worth.
type bucket struct {
	mu     sync.Mutex
	rate   float64
	tokens float64
	at     time.Time
}

func newBucket(rate float64) *bucket { return &bucket{rate: rate, tokens: rate, at: time.Now()} }

func (b *bucket) take(n int) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := time.Now()
	b.tokens = min(b.rate, b.tokens+now.Sub(b.at).Seconds()*b.rate)
	b.at = now
	if b.tokens < float64(n) {
		return false
	}
	b.tokens -= float64(n)
	return true
}

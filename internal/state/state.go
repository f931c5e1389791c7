// Package state speaks to the state service: a small, strongly consistent
// store with transactions, grants and watches. It owns the wire form of that
// service, the rate limits of this controller and the deadlines.
package state

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/micahill/micahill/internal/message"
	"github.com/vmihailenco/msgpack/v5"
)

const (
	// shortTimeout is for requests somebody waits for.
	shortTimeout = 1300 * time.Millisecond
	// longTimeout is for reads of whole prefixes and lazy writes.
	longTimeout = 3 * time.Second
	// maxQueueWait bounds the wait of a write for its turn.
	maxQueueWait = 8 * time.Second
	// listPage is how many rows are asked for at once.
	listPage = 500
	// maxConns bounds the connections to the service.
	maxConns = 24
	// maxResponseBytes bounds an answer; a page of a list holds at most 512 KiB.
	maxResponseBytes = 4 << 20
	// userAdvance is how many seconds' worth of the rate users' requests may
	// take before it is there.
	userAdvance = 1.0
	// minBurst is what may be sent at once however small the part.
	minBurst = 4
)

// Client is one controller's access to the state service.
type Client struct {
	base    string
	http    *http.Client
	limiter *RateLimiter
}

// New makes a client for the service at addr, whose limits are shared by n
// controllers: alike, until SetRates says otherwise.
func New(addr string, requestsPerSecond, writesPerSecond float64, controllers int) *Client {
	transport := &http.Transport{
		DialContext:         (&net.Dialer{Timeout: time.Second}).DialContext,
		MaxIdleConnsPerHost: maxConns / 2,
		MaxConnsPerHost:     maxConns,
		IdleConnTimeout:     time.Minute,
		DisableCompression:  true,
	}
	limiter := NewRateLimiter(time.Now(), message.Rates{Requests: requestsPerSecond / float64(controllers), Writes: writesPerSecond / float64(controllers)})
	return &Client{base: "http://" + addr, http: &http.Client{Transport: transport}, limiter: limiter}
}

// SetRates gives this controller its part of the limits.
func (c *Client) SetRates(r message.Rates) { c.limiter.SetRates(time.Now(), r) }

type storedItem struct {
	Key         string             `msgpack:"key"`
	Put         string             `msgpack:"put"`
	Remove      string             `msgpack:"remove"`
	Value       msgpack.RawMessage `msgpack:"value"`
	ModRevision uint64             `msgpack:"stamp"`
}

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

// Do carries out op and tells how it ended.
func (c *Client) Do(ctx context.Context, op message.StoreRequest) message.StoreResponse {
	out := message.StoreResponse{ID: op.ID, Status: message.StoreRefused}
	wait, ok := c.limiter.Reserve(time.Now(), op)
	if !ok {
		return out
	}
	if wait > 0 {
		select {
		case <-ctx.Done():
			return out
		case <-time.After(wait):
		}
	}
	ctx, cancel := context.WithTimeout(ctx, Timeout(op))
	defer cancel()
	method, path, body := encodeRequest(op)
	for {
		out.SentAt = time.Now()
		status, a, err := c.send(ctx, method, path, body)
		switch {
		case err != nil:
			out.Status = message.StoreUnknown
			if neverSent(err) {
				out.Status = message.StoreRefused
			}
			return out
		case status == http.StatusTooManyRequests:
			// Not executed. Come back shortly.
			select {
			case <-ctx.Done():
				return out
			case <-time.After(RetryPause + rand.N(RetryJitter)):
			}
			continue
		}
		out.Status = statusOf(op, status, a)
		fillResponse(&out, op, a)
		return out
	}
}

func encodeRequest(op message.StoreRequest) (method, path string, body any) {
	switch op.Kind {
	case message.OpGet:
		return http.MethodGet, "/store/" + op.Key, nil
	case message.OpList:
		query := url.Values{"under": {op.Key}, "limit": {strconv.Itoa(listPage)}}
		if op.StartAfter != "" {
			query.Set("from", op.StartAfter)
		}
		return http.MethodGet, "/store?" + query.Encode(), nil
	case message.OpWatch:
		query := url.Values{"under": {op.Key}, "from": {strconv.FormatUint(op.Revision, 10)}, "hold_ms": {strconv.FormatInt(op.WatchTimeout.Milliseconds(), 10)}}
		return http.MethodGet, "/follow?" + query.Encode(), nil
	case message.OpLeaseGrant:
		return http.MethodPost, "/grants", map[string]any{"ttl_ms": op.TTL.Milliseconds()}
	case message.OpLeaseRenew:
		return http.MethodPost, fmt.Sprintf("/grants/%d/renew", op.LeaseID), map[string]any{}
	case message.OpLeaseRevoke:
		return http.MethodDelete, fmt.Sprintf("/grants/%d", op.LeaseID), nil
	}
	txn := transaction{Compares: []compare{}}
	for _, w := range op.Compares {
		txn.Compares = append(txn.Compares, compare(w))
	}
	for _, a := range op.Writes {
		write := map[string]any{}
		if a.Value == nil {
			write["remove"] = a.Key
		} else {
			write["put"], write["value"] = a.Key, msgpack.RawMessage(a.Value)
			if a.LeaseID != 0 {
				write["permit"] = a.LeaseID
			}
		}
		txn.Writes = append(txn.Writes, write)
	}
	return http.MethodPost, "/multi", txn
}

func (c *Client) send(ctx context.Context, method, path string, body any) (int, *response, error) {
	var payload io.Reader
	if body != nil {
		b, err := msgpack.Marshal(body)
		if err != nil {
			return 0, nil, fmt.Errorf("state: encode: %w", err)
		}
		payload = bytes.NewReader(b)
	}
	req, err := http.NewRequestWithContext(ctx, method, c.base+path, payload)
	if err != nil {
		return 0, nil, fmt.Errorf("state: %w", err)
	}
	if body != nil {
		req.Header.Set("Content-Type", "application/msgpack")
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return 0, nil, fmt.Errorf("state: %w", err)
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes))
	if err != nil {
		return 0, nil, fmt.Errorf("state: read: %w", err)
	}
	var a response
	if len(b) > 0 {
		if err := msgpack.Unmarshal(b, &a); err != nil && resp.StatusCode == http.StatusOK {
			return 0, nil, fmt.Errorf("state: decode: %w", err)
		}
	}
	return resp.StatusCode, &a, nil
}

// neverSent says that a request surely did not leave: no connection came up.
func neverSent(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}

func statusOf(op message.StoreRequest, status int, a *response) message.StoreStatus {
	switch status {
	case http.StatusOK, http.StatusCreated, http.StatusNoContent:
		return message.StoreOK
	case http.StatusNotFound:
		return message.StoreNotFound
	case http.StatusConflict:
		return message.StoreConflict
	case http.StatusGone:
		return message.StoreCompacted
	case http.StatusBadRequest:
		if strings.Contains(a.Error, "lease") {
			return message.StoreNoLease
		}
		return message.StoreMalformed
	case http.StatusServiceUnavailable:
		return message.StoreRefused
	}
	if op.Kind == message.OpTxn {
		return message.StoreUnknown
	}
	return message.StoreRefused
}

func fillResponse(out *message.StoreResponse, op message.StoreRequest, a *response) {
	out.Revision, out.FailedKeys, out.LeaseID, out.Truncated = a.Revision, a.Failed, a.Lease, a.Truncated
	if op.Kind == message.OpGet && out.Status == message.StoreOK {
		out.KeyValues = []message.KeyValue{{Key: a.Key, Value: a.Value, ModRevision: a.ModRevision}}
	}
	for _, r := range a.Items {
		out.KeyValues = append(out.KeyValues, message.KeyValue{Key: r.Key, Value: r.Value, ModRevision: r.ModRevision})
	}
	for _, r := range a.Changes {
		item := message.KeyValue{Key: r.Put, Value: r.Value, ModRevision: r.ModRevision}
		if r.Remove != "" {
			item.Key, item.Deleted = r.Remove, true
		}
		out.KeyValues = append(out.KeyValues, item)
	}
}

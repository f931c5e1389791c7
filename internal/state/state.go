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

	"github.com/micahill/micahill/internal/core"
	"github.com/vmihailenco/msgpack/v5"
)

const (
	// shortDeadline is for requests somebody waits for.
	shortDeadline = 1300 * time.Millisecond
	// longDeadline is for reads of whole prefixes and lazy writes.
	longDeadline = 3 * time.Second
	// queueDeadline bounds the wait of a write for its turn.
	queueDeadline = 8 * time.Second
	// listPage is how many rows are asked for at once.
	listPage = 500
	// maxConns bounds the connections to the service.
	maxConns = 24
	// maxAnswer bounds an answer; a page of a list holds at most 512 KiB.
	maxAnswer = 4 << 20
	// userAhead is how many seconds' worth of the rate users' requests may
	// take before it is there.
	userAhead = 1.0
	// leastBurst is what may be sent at once however small the part.
	leastBurst = 4
)

// Client is one controller's access to the state service.
type Client struct {
	base string
	http *http.Client
	gate *Gate
}

// New makes a client for the service at addr, whose limits are shared by n
// controllers: alike, until SetRates says otherwise.
func New(addr string, rps, wps float64, n int) *Client {
	tr := &http.Transport{
		DialContext:         (&net.Dialer{Timeout: time.Second}).DialContext,
		MaxIdleConnsPerHost: maxConns / 2,
		MaxConnsPerHost:     maxConns,
		IdleConnTimeout:     time.Minute,
		DisableCompression:  true,
	}
	gate := NewGate(time.Now(), core.Rates{Requests: rps / float64(n), Writes: wps / float64(n)})
	return &Client{base: "http://" + addr, http: &http.Client{Transport: tr}, gate: gate}
}

// SetRates gives this controller its part of the limits.
func (c *Client) SetRates(r core.Rates) { c.gate.Set(time.Now(), r) }

type row struct {
	Key    string             `msgpack:"key"`
	Put    string             `msgpack:"put"`
	Remove string             `msgpack:"remove"`
	Value  msgpack.RawMessage `msgpack:"value"`
	Stamp  uint64             `msgpack:"stamp"`
}

type answer struct {
	Key       string             `msgpack:"key"`
	Value     msgpack.RawMessage `msgpack:"value"`
	Stamp     uint64             `msgpack:"stamp"`
	Rev       uint64             `msgpack:"ledger_rev"`
	Rows      []row              `msgpack:"rows"`
	Truncated bool               `msgpack:"truncated"`
	News      []row              `msgpack:"news"`
	Failed    []string           `msgpack:"failed"`
	Permit    uint64             `msgpack:"permit"`
	Error     string             `msgpack:"error"`
}

type cond struct {
	Key         string `msgpack:"key"`
	ModRevision uint64 `msgpack:"stamp"`
}

type multi struct {
	When  []cond           `msgpack:"when"`
	Apply []map[string]any `msgpack:"apply,omitempty"`
}

// Do carries out op and tells how it ended.
func (c *Client) Do(ctx context.Context, op core.StoreRequest) core.StoreResponse {
	out := core.StoreResponse{ID: op.ID, Status: core.StoreRefused}
	wait, ok := c.gate.Wait(time.Now(), op)
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
	ctx, cancel := context.WithTimeout(ctx, Deadline(op))
	defer cancel()
	method, path, body := request(op)
	for {
		out.SentAt = time.Now()
		status, a, err := c.send(ctx, method, path, body)
		switch {
		case err != nil:
			out.Status = core.StoreUnknown
			if neverSent(err) {
				out.Status = core.StoreRefused
			}
			return out
		case status == http.StatusTooManyRequests:
			// Not executed. Come back shortly.
			select {
			case <-ctx.Done():
				return out
			case <-time.After(TooMany + rand.N(TooManySpread)):
			}
			continue
		}
		out.Status = outcome(op, status, a)
		fill(&out, op, a)
		return out
	}
}

func request(op core.StoreRequest) (method, path string, body any) {
	switch op.Kind {
	case core.OpGet:
		return http.MethodGet, "/store/" + op.Key, nil
	case core.OpList:
		q := url.Values{"under": {op.Key}, "limit": {strconv.Itoa(listPage)}}
		if op.StartAfter != "" {
			q.Set("from", op.StartAfter)
		}
		return http.MethodGet, "/store?" + q.Encode(), nil
	case core.OpWatch:
		q := url.Values{"under": {op.Key}, "from": {strconv.FormatUint(op.Revision, 10)}, "hold_ms": {strconv.FormatInt(op.WatchTimeout.Milliseconds(), 10)}}
		return http.MethodGet, "/follow?" + q.Encode(), nil
	case core.OpLeaseGrant:
		return http.MethodPost, "/grants", map[string]any{"ttl_ms": op.TTL.Milliseconds()}
	case core.OpLeaseRenew:
		return http.MethodPost, fmt.Sprintf("/grants/%d/renew", op.LeaseID), map[string]any{}
	case core.OpLeaseRevoke:
		return http.MethodDelete, fmt.Sprintf("/grants/%d", op.LeaseID), nil
	}
	m := multi{When: []cond{}}
	for _, w := range op.Compares {
		m.When = append(m.When, cond(w))
	}
	for _, a := range op.Writes {
		ch := map[string]any{}
		if a.Value == nil {
			ch["remove"] = a.Key
		} else {
			ch["put"], ch["value"] = a.Key, msgpack.RawMessage(a.Value)
			if a.LeaseID != 0 {
				ch["permit"] = a.LeaseID
			}
		}
		m.Apply = append(m.Apply, ch)
	}
	return http.MethodPost, "/multi", m
}

func (c *Client) send(ctx context.Context, method, path string, body any) (int, *answer, error) {
	var rd io.Reader
	if body != nil {
		b, err := msgpack.Marshal(body)
		if err != nil {
			return 0, nil, fmt.Errorf("state: encode: %w", err)
		}
		rd = bytes.NewReader(b)
	}
	req, err := http.NewRequestWithContext(ctx, method, c.base+path, rd)
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
	b, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswer))
	if err != nil {
		return 0, nil, fmt.Errorf("state: read: %w", err)
	}
	var a answer
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

func outcome(op core.StoreRequest, status int, a *answer) core.StoreStatus {
	switch status {
	case http.StatusOK, http.StatusCreated, http.StatusNoContent:
		return core.StoreOK
	case http.StatusNotFound:
		return core.StoreNotFound
	case http.StatusConflict:
		return core.StoreConflict
	case http.StatusGone:
		return core.StoreCompacted
	case http.StatusBadRequest:
		if strings.Contains(a.Error, "lease") {
			return core.StoreNoLease
		}
		return core.StoreMalformed
	case http.StatusServiceUnavailable:
		return core.StoreRefused
	}
	if op.Kind == core.OpTxn {
		return core.StoreUnknown
	}
	return core.StoreRefused
}

func fill(out *core.StoreResponse, op core.StoreRequest, a *answer) {
	out.Revision, out.FailedKeys, out.LeaseID, out.Truncated = a.Rev, a.Failed, a.Permit, a.Truncated
	if op.Kind == core.OpGet && out.Status == core.StoreOK {
		out.KeyValues = []core.KeyValue{{Key: a.Key, Value: a.Value, ModRevision: a.Stamp}}
	}
	for _, r := range a.Rows {
		out.KeyValues = append(out.KeyValues, core.KeyValue{Key: r.Key, Value: r.Value, ModRevision: r.Stamp})
	}
	for _, r := range a.News {
		it := core.KeyValue{Key: r.Put, Value: r.Value, ModRevision: r.Stamp}
		if r.Remove != "" {
			it.Key, it.Deleted = r.Remove, true
		}
		out.KeyValues = append(out.KeyValues, it)
	}
}

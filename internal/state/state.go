// Package state is the client of the state service: a small, strongly consistent
// key-value store with transactions, leases and watches. It owns the service's wire form
// ("Controller nodes -> state service" in the protocol), this controller's part of the
// service's rate limits, and the request timeouts.
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
	"time"

	"github.com/micahill/micahill/internal/message"
	"github.com/vmihailenco/msgpack/v5"
)

const (
	// maxConns bounds the connections to the service.
	maxConns = 24
	// maxResponseBytes bounds a response; a page of a list has at most 512 KiB.
	maxResponseBytes = 4 << 20
)

// Client sends one controller's requests to the state service. It is safe for concurrent use.
type Client struct {
	baseURL string
	http    *http.Client
	limiter *RateLimiter
}

// New returns a client of the service at addr. The limits are those of the whole service, of
// which each controller has an equal part until SetRates says otherwise.
func New(addr string, requestsPerSecond, writesPerSecond float64, controllers int) *Client {
	transport := &http.Transport{
		DialContext:         (&net.Dialer{Timeout: time.Second}).DialContext,
		MaxIdleConnsPerHost: maxConns / 2,
		MaxConnsPerHost:     maxConns,
		IdleConnTimeout:     time.Minute,
		DisableCompression:  true,
	}
	limiter := NewRateLimiter(time.Now(), message.Rates{Requests: requestsPerSecond / float64(controllers), Writes: writesPerSecond / float64(controllers)})
	return &Client{baseURL: "http://" + addr, http: &http.Client{Transport: transport}, limiter: limiter}
}

// SetRates sets this controller's part of the limits.
func (c *Client) SetRates(r message.Rates) { c.limiter.SetRates(time.Now(), r) }

// Do executes a request for the controller's state machine, which takes the outcome as a
// status and not as an error.
func (c *Client) Do(ctx context.Context, req message.StoreRequest) message.StoreResponse {
	out, err := c.Execute(ctx, req)
	out.Status = statusOf(req.Kind, err)
	return out
}

// Execute waits for the request's turn, sends it, and retries while the service's rate limit
// is exceeded. It sets all fields of the response but Status.
func (c *Client) Execute(ctx context.Context, req message.StoreRequest) (message.StoreResponse, error) {
	out := message.StoreResponse{ID: req.ID}
	wait, ok := c.limiter.Reserve(time.Now(), req)
	if !ok {
		return out, fmt.Errorf("%w: turn comes after the deadline", ErrNotExecuted)
	}
	if wait > 0 {
		if err := sleep(ctx, wait); err != nil {
			return out, fmt.Errorf("%w: %w", ErrNotExecuted, err)
		}
	}
	ctx, cancel := context.WithTimeout(ctx, Timeout(req))
	defer cancel()
	method, path, body := encodeRequest(req)
	for {
		out.SentAt = time.Now()
		r, err := c.send(ctx, method, path, body)
		if errors.Is(err, errRateLimited) {
			if err := sleep(ctx, RetryPause+rand.N(RetryJitter)); err != nil {
				return out, fmt.Errorf("%w: %w", ErrNotExecuted, err)
			}
			continue
		}
		if r != nil {
			decodeResponse(&out, req.Kind == message.OpGet && err == nil, r)
		}
		return out, err
	}
}

// sleep waits for d, or returns the context's error if that ends first.
func sleep(ctx context.Context, d time.Duration) error {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(d):
		return nil
	}
}

// send makes one HTTP request. The response is nil unless the service answered; together with
// an error it holds what the service says of it.
func (c *Client) send(ctx context.Context, method, path string, body any) (*response, error) {
	var payload io.Reader
	if body != nil {
		b, err := msgpack.Marshal(body)
		if err != nil {
			return nil, fmt.Errorf("state: encode: %w", err)
		}
		payload = bytes.NewReader(b)
	}
	req, err := http.NewRequestWithContext(ctx, method, c.baseURL+path, payload)
	if err != nil {
		return nil, fmt.Errorf("state: %w", err)
	}
	if body != nil {
		req.Header.Set("Content-Type", "application/msgpack")
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return nil, transportError(err)
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes))
	if err != nil {
		return nil, fmt.Errorf("state: read: %w", err)
	}
	var r response
	if len(b) > 0 {
		// The body of an error only adds to what the status says.
		if err := msgpack.Unmarshal(b, &r); err != nil && resp.StatusCode == http.StatusOK {
			return nil, fmt.Errorf("state: decode: %w", err)
		}
	}
	return &r, errorOf(resp.StatusCode, r.Error)
}

// Package state is the client of the state service, a small, strongly consistent key-value store
// with transactions, leases and watches. The package implements the wire format of the service
// (section "Controller nodes -> state service" of the protocol), the controller's share of the
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
	// maxConns is the largest number of connections to the service.
	maxConns = 24
	// maxResponseBytes is the longest response that the client reads. A page of a list has at most
	// 512 KiB.
	maxResponseBytes = 4 << 20
)

// Client sends one controller's requests to the state service. It is safe for concurrent use.
type Client struct {
	baseURL string
	http    *http.Client
	limiter *RateLimiter
}

// New returns a client of the service at addr. requestsPerSecond and writesPerSecond are the rate
// limits of the whole service. Each controller has an equal share of them until a call of SetRates.
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

// SetRates sets this controller's share of the rate limits.
func (client *Client) SetRates(rates message.Rates) { client.limiter.SetRates(time.Now(), rates) }

// Do is like Execute, but returns the outcome as the Status of the response, which the controller's
// state machine uses, and not as an error.
func (client *Client) Do(ctx context.Context, req message.StoreRequest) message.StoreResponse {
	result, err := client.Execute(ctx, req)
	result.Status = statusOf(req.Kind, err)
	return result
}

// Execute waits for the request's turn, sends the request, and retries while the service's rate limit
// is exceeded. It sets all fields of the response except Status.
func (client *Client) Execute(ctx context.Context, req message.StoreRequest) (message.StoreResponse, error) {
	result := message.StoreResponse{ID: req.ID}
	wait, ok := client.limiter.Reserve(time.Now(), req)
	if !ok {
		return result, fmt.Errorf("%w: the rate limits allow the request only after its deadline", ErrNotExecuted)
	}
	if wait > 0 {
		if err := sleep(ctx, wait); err != nil {
			return result, fmt.Errorf("%w: %w", ErrNotExecuted, err)
		}
	}
	ctx, cancel := context.WithTimeout(ctx, Timeout(req))
	defer cancel()
	method, path, body := encodeRequest(req)
	for {
		result.SentAt = time.Now()
		reply, err := client.send(ctx, method, path, body)
		if errors.Is(err, errRateLimited) {
			if err := sleep(ctx, RetryPause+rand.N(RetryJitter)); err != nil {
				return result, fmt.Errorf("%w: %w", ErrNotExecuted, err)
			}
			continue
		}
		if reply != nil {
			decodeResponse(&result, req.Kind == message.OpGet && err == nil, reply)
		}
		return result, err
	}
}

// sleep waits for d. If the context ends first, sleep returns the context's error.
func sleep(ctx context.Context, d time.Duration) error {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(d):
		return nil
	}
}

// send makes one HTTP request. The response is nil unless the service answered. If the service
// answered with an error, send returns both the error and the response, which has the details.
func (client *Client) send(ctx context.Context, method, path string, body any) (*response, error) {
	var payload io.Reader
	if body != nil {
		b, err := msgpack.Marshal(body)
		if err != nil {
			return nil, fmt.Errorf("state: encode request: %w", err)
		}
		payload = bytes.NewReader(b)
	}
	req, err := http.NewRequestWithContext(ctx, method, client.baseURL+path, payload)
	if err != nil {
		return nil, fmt.Errorf("state: %w", err)
	}
	if body != nil {
		req.Header.Set("Content-Type", "application/msgpack")
	}
	resp, err := client.http.Do(req)
	if err != nil {
		return nil, transportError(err)
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes))
	if err != nil {
		return nil, fmt.Errorf("state: read response: %w", err)
	}
	var reply response
	if len(b) > 0 {
		// The status of an error is enough: its body only adds details and may be malformed.
		if err := msgpack.Unmarshal(b, &reply); err != nil && resp.StatusCode == http.StatusOK {
			return nil, fmt.Errorf("state: decode response: %w", err)
		}
	}
	return &reply, errorOf(resp.StatusCode, reply.Error)
}

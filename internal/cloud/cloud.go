// Package cloud is the client of the cloud: it lists machine types, and lists, rents and releases
// machines. It owns the cloud's wire form ("Controller nodes -> cloud" in the protocol), the rate
// limit and the request timeout.
package cloud

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/micahill/micahill/internal/message"
	"github.com/vmihailenco/msgpack/v5"
	"golang.org/x/time/rate"
)

const (
	// requestTimeout bounds a request with its wait for the rate limit; the cloud takes some
	// tenths of a second.
	requestTimeout = 5 * time.Second
	// dialTimeout bounds the connecting, as part of requestTimeout.
	dialTimeout = 2 * time.Second
	// listPage is the most machines that the cloud lists at once.
	listPage = 500
	// maxResponseBytes bounds a response.
	maxResponseBytes = 4 << 20
	// rateFraction of the cloud's limit is for this controller. The leader makes nearly all
	// requests; the rest is for the others, which only list the machine types.
	rateFraction = 0.8
	// maxConns bounds the connections to the cloud, and maxIdleConns the idle ones.
	maxConns     = 8
	maxIdleConns = 4
)

// Client sends one controller's requests to the cloud. It is safe for concurrent use.
type Client struct {
	baseURL string
	http    *http.Client
	limiter *rate.Limiter
}

// New returns a client of the cloud at addr, whose limit in requests per second is for all
// controllers together.
func New(addr string, requestsPerSecond float64) *Client {
	transport := &http.Transport{
		DialContext:         (&net.Dialer{Timeout: dialTimeout}).DialContext,
		MaxIdleConnsPerHost: maxIdleConns,
		MaxConnsPerHost:     maxConns,
		DisableCompression:  true,
	}
	limit := requestsPerSecond * rateFraction
	return &Client{baseURL: "http://" + addr, http: &http.Client{Transport: transport}, limiter: rate.NewLimiter(rate.Limit(limit), max(1, int(limit)))}
}

// Do executes a request for the controller's state machine, which takes the outcome as a status
// and not as an error.
func (c *Client) Do(ctx context.Context, req message.CloudRequest) message.CloudResponse {
	out, err := c.Execute(ctx, req)
	out.Status = statusOf(err)
	return out
}

// Execute waits for the rate limit and sends the request. It sets all fields of the response but
// Status.
func (c *Client) Execute(ctx context.Context, req message.CloudRequest) (message.CloudResponse, error) {
	out := message.CloudResponse{ID: req.ID}
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	if err := c.limiter.Wait(ctx); err != nil {
		return out, fmt.Errorf("%w: %w", ErrNotExecuted, err)
	}
	switch req.Kind {
	case message.CloudListTypes:
		var list machineTypeList
		err := c.send(ctx, http.MethodGet, "/machine_types", nil, &list)
		for _, t := range list.Types {
			out.MachineTypes = append(out.MachineTypes, t.decode())
		}
		return out, err
	case message.CloudListMachines:
		query := url.Values{"limit": {strconv.Itoa(listPage)}}
		if req.StartAfter != "" {
			query.Set("from", req.StartAfter)
		}
		var list machineList
		err := c.send(ctx, http.MethodGet, "/rentals?"+query.Encode(), nil, &list)
		for _, m := range list.Machines {
			out.Machines = append(out.Machines, m.decode())
		}
		out.Truncated = list.Truncated
		return out, err
	case message.CloudRent:
		var rented machineIDs
		err := c.send(ctx, http.MethodPost, "/rentals", rentalRequest{req.IdempotencyKey, req.MachineType, req.Zone, req.Spot, req.Count}, &rented)
		out.Rented = rented.IDs
		return out, err
	case message.CloudRelease:
		return out, c.send(ctx, http.MethodPost, "/rentals/return", machineIDs{req.Machines}, nil)
	}
	return out, fmt.Errorf("%w: unknown kind of request %d", ErrNotExecuted, req.Kind)
}

// send makes one HTTP request, and decodes the body of a 200 into a given value.
func (c *Client) send(ctx context.Context, method, path string, body, into any) error {
	var payload io.Reader
	if body != nil {
		b, err := msgpack.Marshal(body)
		if err != nil {
			return fmt.Errorf("cloud: encode: %w", err)
		}
		payload = bytes.NewReader(b)
	}
	req, err := http.NewRequestWithContext(ctx, method, c.baseURL+path, payload)
	if err != nil {
		return fmt.Errorf("cloud: %w", err)
	}
	if body != nil {
		req.Header.Set("Content-Type", "application/msgpack")
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return fmt.Errorf("cloud: %w", err)
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes))
	if err != nil {
		return fmt.Errorf("cloud: read: %w", err)
	}
	if err := errorOf(resp.StatusCode, b); err != nil {
		return err
	}
	if into != nil {
		if err := msgpack.Unmarshal(b, into); err != nil {
			return fmt.Errorf("cloud: decode: %w", err)
		}
	}
	return nil
}

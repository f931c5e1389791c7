// Package worker is the client of the workers. It owns the wire form of heartbeats and of commands
// ("Workers -> controller nodes" and "Controller nodes -> workers" in the protocol), and sends
// commands and status queries to workers directly.
package worker

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/micahill/micahill/internal/controller"
	"github.com/micahill/micahill/internal/message"
	"github.com/vmihailenco/msgpack/v5"
)

const (
	// dialTimeout and requestTimeout are short: a request to an unresponsive machine must not
	// block others for long, and the machine's next heartbeat is only seconds away.
	dialTimeout    = time.Second
	requestTimeout = 2 * time.Second
	// maxResponseBytes bounds a response; the protocol's limit is 64 KiB as JSON.
	maxResponseBytes = 256 << 10
	// idleFraction of the sockets may be idle connections, kept since opening one costs more
	// than a request. inFlightFraction may be requests in progress; more of them wait for
	// their turn: a thousand starts may be due at once, and those to unresponsive machines
	// last until the timeout.
	idleFraction     = 0.12
	inFlightFraction = 0.1
	// minIdle and minInFlight are the bounds however few sockets there are.
	minIdle     = 16
	minInFlight = 8
)

// Client sends requests to workers. It is safe for concurrent use.
type Client struct {
	http *http.Client
	// inFlight has an element for each request in progress.
	inFlight chan struct{}
}

// New returns a client that uses its part of so many sockets.
func New(sockets int) *Client {
	transport := &http.Transport{
		DialContext:         (&net.Dialer{Timeout: dialTimeout}).DialContext,
		MaxIdleConns:        max(minIdle, int(float64(sockets)*idleFraction)),
		MaxIdleConnsPerHost: 1,
		IdleConnTimeout:     time.Minute,
		DisableCompression:  true,
	}
	return &Client{http: &http.Client{Transport: transport}, inFlight: make(chan struct{}, max(minInFlight, int(float64(sockets)*inFlightFraction)))}
}

// Do executes a request. Without a heartbeat in the response, and unless it is NotSent, the
// commands may have been executed, or may yet be.
func (c *Client) Do(ctx context.Context, req message.WorkerRequest) message.WorkerResponse {
	out := message.WorkerResponse{ID: req.ID}
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	select {
	case c.inFlight <- struct{}{}:
		defer func() { <-c.inFlight }()
	case <-ctx.Done():
		out.NotSent = true
		return out
	}
	if _, _, late := controller.CheckDeadline(req, time.Now()); late || ctx.Err() != nil {
		// Its turn came with its deadline. The transport would open a connection all the
		// same, in excess of the slots.
		out.NotSent = true
		return out
	}
	wire, status, err := c.send(ctx, req)
	if err != nil || wire.Machine != req.Machine {
		// Another machine may have taken over the address.
		return out
	}
	heartbeat := wire.Decode()
	out.Heartbeat, out.OK = &heartbeat, status == http.StatusOK
	return out
}

// send makes one HTTP request. The status is 200, or 409 if the worker has executed nothing.
func (c *Client) send(ctx context.Context, req message.WorkerRequest) (*Heartbeat, int, error) {
	method, path, payload := http.MethodGet, "/status", io.Reader(nil)
	if !req.StatusOnly {
		b, err := msgpack.Marshal(TaskCommands{req.Epoch, req.Incarnation, EncodeCommands(req.Commands)})
		if err != nil {
			return nil, 0, fmt.Errorf("worker: encode: %w", err)
		}
		method, path, payload = http.MethodPost, "/orders", bytes.NewReader(b)
	}
	httpReq, err := http.NewRequestWithContext(ctx, method, "http://"+req.Addr+path, payload)
	if err != nil {
		return nil, 0, fmt.Errorf("worker: %w", err)
	}
	if payload != nil {
		httpReq.Header.Set("Content-Type", "application/msgpack")
	}
	resp, err := c.http.Do(httpReq)
	if err != nil {
		return nil, 0, fmt.Errorf("worker: %w", err)
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes))
	if err != nil {
		return nil, 0, fmt.Errorf("worker: read: %w", err)
	}
	if resp.StatusCode != http.StatusOK && resp.StatusCode != http.StatusConflict {
		return nil, 0, fmt.Errorf("worker: unexpected status %d", resp.StatusCode)
	}
	var heartbeat Heartbeat
	if err := msgpack.Unmarshal(b, &heartbeat); err != nil {
		return nil, 0, fmt.Errorf("worker: decode: %w", err)
	}
	return &heartbeat, resp.StatusCode, nil
}

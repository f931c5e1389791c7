// Package worker is an HTTP client for the workers, to which it sends commands and status queries. It
// also implements the wire format of heartbeats and commands ("Workers -> controller nodes" and
// "Controller nodes -> workers" in the protocol).
package worker

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"time"

	"github.com/micahill/micahill/internal/controller"
	"github.com/micahill/micahill/internal/message"
	"github.com/micahill/micahill/internal/model"
	"github.com/vmihailenco/msgpack/v5"
)

const (
	// dialTimeout and requestTimeout are short, since a request to an unresponsive machine must
	// not block requests to other machines for long. The controller can send the commands again
	// in its reply to the machine's next heartbeat, a few seconds later. requestTimeout
	// includes the wait for a slot and the dialing.
	dialTimeout    = time.Second
	requestTimeout = 2 * time.Second
	// maxResponseBytes is the maximum size of a response; the protocol's limit is 64 KiB as JSON.
	maxResponseBytes = 256 << 10
	// idleFraction is the fraction of the process's sockets that idle connections may use. Idle
	// connections are kept because opening a connection costs more than a request.
	// inFlightFraction is the fraction that requests in progress may use. Further requests wait
	// for a slot: a thousand starts may be due at once, and a request to an unresponsive machine
	// lasts until the timeout.
	idleFraction     = 0.12
	inFlightFraction = 0.1
	// minIdle and minInFlight are the smallest limits on idle connections and on requests in
	// progress, however few sockets there are.
	minIdle     = 16
	minInFlight = 8
)

// Client sends requests to workers. It is safe for concurrent use.
type Client struct {
	http *http.Client
	// inFlight has one element for each request in progress. Its capacity is their limit.
	inFlight chan struct{}
}

// New returns a client whose connections are limited to fractions of the number of sockets that the
// process may have open.
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

// Do sends a request to a worker and returns the response. If the response has no heartbeat and is
// not marked NotSent, the worker may have executed the commands, or may still execute them.
func (client *Client) Do(ctx context.Context, request message.WorkerRequest) message.WorkerResponse {
	response := message.WorkerResponse{ID: request.ID}
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	select {
	case client.inFlight <- struct{}{}:
		defer func() { <-client.inFlight }()
	case <-ctx.Done():
		response.NotSent = true
		return response
	}
	if _, _, late := controller.CheckDeadline(request, time.Now()); late || ctx.Err() != nil {
		// The request got its slot only at its deadline. The transport would still open a
		// connection, in excess of the number of slots.
		response.NotSent = true
		return response
	}
	wire, status, err := client.send(ctx, request)
	if err != nil || wire.Machine != request.Machine {
		// Another machine may have been given the address, so its response is ignored.
		return response
	}
	heartbeat := wire.Decode()
	response.Heartbeat, response.OK = &heartbeat, status == http.StatusOK
	if response.OK {
		LogCommands(ctx, "command executed", request.Machine, request.Epoch, request.Commands)
		if request.RequestsHeartbeat {
			slog.Debug("heartbeat requested", "machine", request.Machine, "epoch", request.Epoch)
		}
	}
	return response
}

// LogCommands logs each command for a machine's worker, and the epoch under which it is sent, at the
// debug level.
func LogCommands(ctx context.Context, event, machine string, epoch uint64, commands []model.TaskCommand) {
	if !slog.Default().Enabled(ctx, slog.LevelDebug) {
		return
	}
	for _, command := range commands {
		slog.Debug(event, "machine", machine, "epoch", epoch, "kind", command.Kind, "job", command.Job, "task", command.Index, "attempt", command.Attempt)
	}
}

// send makes one HTTP request and returns the worker's heartbeat and the HTTP status. The status is
// 200, or 409 if the worker has executed none of the commands. Any other status is an error.
func (client *Client) send(ctx context.Context, request message.WorkerRequest) (*Heartbeat, int, error) {
	method, path, payload := http.MethodGet, "/status", io.Reader(nil)
	if !request.StatusOnly {
		body, err := msgpack.Marshal(TaskCommands{request.Epoch, request.Incarnation, EncodeRequest(request)})
		if err != nil {
			return nil, 0, fmt.Errorf("worker: encode commands: %w", err)
		}
		method, path, payload = http.MethodPost, "/orders", bytes.NewReader(body)
	}
	httpRequest, err := http.NewRequestWithContext(ctx, method, "http://"+request.Addr+path, payload)
	if err != nil {
		return nil, 0, fmt.Errorf("worker: %w", err)
	}
	if payload != nil {
		httpRequest.Header.Set("Content-Type", "application/msgpack")
	}
	httpResponse, err := client.http.Do(httpRequest)
	if err != nil {
		return nil, 0, fmt.Errorf("worker: %w", err)
	}
	defer httpResponse.Body.Close()
	body, err := io.ReadAll(io.LimitReader(httpResponse.Body, maxResponseBytes))
	if err != nil {
		return nil, 0, fmt.Errorf("worker: read response: %w", err)
	}
	if httpResponse.StatusCode != http.StatusOK && httpResponse.StatusCode != http.StatusConflict {
		return nil, 0, fmt.Errorf("worker: status %d, want 200 or 409", httpResponse.StatusCode)
	}
	var heartbeat Heartbeat
	if err := msgpack.Unmarshal(body, &heartbeat); err != nil {
		return nil, 0, fmt.Errorf("worker: decode heartbeat: %w", err)
	}
	return &heartbeat, httpResponse.StatusCode, nil
}

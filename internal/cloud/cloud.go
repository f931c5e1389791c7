// Package cloud is an HTTP client for the cloud. It lists machine types, and lists, rents and
// releases machines. It implements the cloud's wire format ("Controller nodes -> cloud" in the
// protocol), the rate limit and the request timeout.
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
	// requestTimeout bounds a request, including its wait for the rate limit. The cloud responds
	// within some tenths of a second.
	requestTimeout = 5 * time.Second
	// dialTimeout bounds the time to connect, which is part of requestTimeout.
	dialTimeout = 2 * time.Second
	// listPageSize is the maximum number of machines that the cloud lists in one response.
	listPageSize = 500
	// maxResponseBytes is the maximum size of a response.
	maxResponseBytes = 4 << 20
	// rateFraction is the fraction of the cloud's rate limit that this controller may use. The
	// leader makes nearly all requests. The remaining fraction is for the other controllers,
	// which only list the machine types.
	rateFraction = 0.8
	// maxConns is the maximum number of connections to the cloud, and maxIdleConns the maximum
	// number of idle ones.
	maxConns     = 8
	maxIdleConns = 4
)

// Client sends one controller's requests to the cloud. It is safe for concurrent use.
type Client struct {
	baseURL string
	http    *http.Client
	limiter *rate.Limiter
}

// New returns a client for the cloud at addr. requestsPerSecond is the cloud's rate limit, which all
// controllers share.
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

// Do executes a request for the controller's state machine. It returns the outcome as the response's
// Status and not as an error.
func (client *Client) Do(ctx context.Context, request message.CloudRequest) message.CloudResponse {
	response, err := client.Execute(ctx, request)
	response.Status = statusOf(err)
	return response
}

// Execute waits for the rate limit and sends the request. It sets all fields of the response except
// Status. See ErrNotExecuted for the meaning of its errors.
func (client *Client) Execute(ctx context.Context, request message.CloudRequest) (message.CloudResponse, error) {
	response := message.CloudResponse{ID: request.ID}
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	if err := client.limiter.Wait(ctx); err != nil {
		return response, fmt.Errorf("%w: %w", ErrNotExecuted, err)
	}
	switch request.Kind {
	case message.CloudListTypes:
		var list machineTypeList
		err := client.send(ctx, http.MethodGet, "/machine_types", nil, &list)
		for _, listed := range list.Types {
			response.MachineTypes = append(response.MachineTypes, listed.decode())
		}
		return response, err
	case message.CloudListMachines:
		query := url.Values{"limit": {strconv.Itoa(listPageSize)}}
		if request.StartAfter != "" {
			query.Set("from", request.StartAfter)
		}
		var list machineList
		err := client.send(ctx, http.MethodGet, "/rentals?"+query.Encode(), nil, &list)
		for _, listed := range list.Machines {
			response.Machines = append(response.Machines, listed.decode())
		}
		response.Truncated = list.Truncated
		return response, err
	case message.CloudRent:
		var rented machineIDs
		err := client.send(ctx, http.MethodPost, "/rentals", rentalRequest{request.IdempotencyKey, request.MachineType, request.Zone, request.Spot, request.Count}, &rented)
		response.Rented = rented.IDs
		return response, err
	case message.CloudRelease:
		return response, client.send(ctx, http.MethodPost, "/rentals/return", machineIDs{request.Machines}, nil)
	}
	return response, fmt.Errorf("%w: unknown kind of request %d", ErrNotExecuted, request.Kind)
}

// send makes one HTTP request. If the response's status is 200 and into is not nil, send decodes the
// response's body into it.
func (client *Client) send(ctx context.Context, method, path string, body, into any) error {
	var payload io.Reader
	if body != nil {
		encoded, err := msgpack.Marshal(body)
		if err != nil {
			return fmt.Errorf("cloud: encode request: %w", err)
		}
		payload = bytes.NewReader(encoded)
	}
	request, err := http.NewRequestWithContext(ctx, method, client.baseURL+path, payload)
	if err != nil {
		return fmt.Errorf("cloud: %w", err)
	}
	if body != nil {
		request.Header.Set("Content-Type", "application/msgpack")
	}
	response, err := client.http.Do(request)
	if err != nil {
		return fmt.Errorf("cloud: %w", err)
	}
	defer response.Body.Close()
	encoded, err := io.ReadAll(io.LimitReader(response.Body, maxResponseBytes))
	if err != nil {
		return fmt.Errorf("cloud: read response: %w", err)
	}
	if err := errorOf(response.StatusCode, encoded); err != nil {
		return err
	}
	if into != nil {
		if err := msgpack.Unmarshal(encoded, into); err != nil {
			return fmt.Errorf("cloud: decode response: %w", err)
		}
	}
	return nil
}

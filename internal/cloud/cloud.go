// Package cloud speaks to the cloud's interface: machine types, rentals and
// returns. It owns their wire form, the rate limit and the deadlines.
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
	"github.com/micahill/micahill/internal/model"
	"github.com/micahill/micahill/internal/record"
	"github.com/vmihailenco/msgpack/v5"
	"golang.org/x/time/rate"
)

const (
	// requestTimeout of one request; the cloud takes some tenths of a second.
	requestTimeout = 5 * time.Second
	// listPage is the most the cloud lists at once.
	listPage = 500
	// maxResponseBytes bounds an answer.
	maxResponseBytes = 4 << 20
	// rateFraction of the limit: one leader does nearly all; the rest is left for
	// controllers that only ask for the types.
	rateFraction = 0.8
)

// Client is one controller's access to the cloud.
type Client struct {
	base    string
	http    *http.Client
	limiter *rate.Limiter
}

// New makes a client for the cloud at addr with its limit of requests a second.
func New(addr string, requestsPerSecond float64) *Client {
	transport := &http.Transport{
		DialContext:         (&net.Dialer{Timeout: 2 * time.Second}).DialContext,
		MaxIdleConnsPerHost: 4,
		MaxConnsPerHost:     8,
		DisableCompression:  true,
	}
	return &Client{base: "http://" + addr, http: &http.Client{Transport: transport}, limiter: rate.NewLimiter(rate.Limit(requestsPerSecond*rateFraction), max(1, int(requestsPerSecond*rateFraction)))}
}

type machineType struct {
	Name            string   `msgpack:"name"`
	VCPUs           float64  `msgpack:"vcpus"`
	GPUs            float64  `msgpack:"gpus"`
	MemoryGB        float64  `msgpack:"memory_gb"`
	DiskGB          float64  `msgpack:"local_gb"`
	FetchRate       float64  `msgpack:"pull_gb_per_s"`
	CostPerHour     float64  `msgpack:"price"`
	SpotCostPerHour float64  `msgpack:"market_price"`
	ReadyS          float64  `msgpack:"ready_s"`
	Zones           []string `msgpack:"sites"`
}

type machine struct {
	ID          string  `msgpack:"id"`
	Address     string  `msgpack:"address"`
	MachineType string  `msgpack:"flavour"`
	Zone        string  `msgpack:"site"`
	Spot        bool    `msgpack:"loaner"`
	Status      string  `msgpack:"status"`
	AgeS        float64 `msgpack:"held_s"`
}

type rentalRequest struct {
	RequestID   string `msgpack:"booking"`
	MachineType string `msgpack:"flavour"`
	Zone        string `msgpack:"site"`
	Spot        bool   `msgpack:"loaner"`
	Count       int    `msgpack:"count"`
}

type machineIDs struct {
	IDs []string `msgpack:"hosts"`
}

type machineTypeList struct {
	Types []machineType `msgpack:"flavours"`
}

type machineList struct {
	Machines  []machine `msgpack:"hosts"`
	Truncated bool      `msgpack:"truncated"`
}

// Do carries out op and tells how it ended.
func (c *Client) Do(ctx context.Context, op message.CloudRequest) message.CloudResponse {
	out := message.CloudResponse{ID: op.ID, Status: message.CloudRefused}
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	if c.limiter.Wait(ctx) != nil {
		return out
	}
	var status int
	var err error
	switch op.Kind {
	case message.CloudListTypes:
		var a machineTypeList
		status, err = c.send(ctx, http.MethodGet, "/machine_types", nil, &a)
		for _, f := range a.Types {
			out.MachineTypes = append(out.MachineTypes, model.MachineType{
				Name: f.Name, Capacity: model.Resources{CPU: f.VCPUs, GPU: f.GPUs, Memory: f.MemoryGB},
				DiskGB: f.DiskGB, ImageFetchRate: f.FetchRate, CostPerHour: f.CostPerHour, SpotCostPerHour: f.SpotCostPerHour,
				ProvisioningTime: record.DurationOfSeconds(f.ReadyS), Zones: f.Zones,
			})
		}
	case message.CloudListMachines:
		q := url.Values{"limit": {strconv.Itoa(listPage)}}
		if op.StartAfter != "" {
			q.Set("from", op.StartAfter)
		}
		var a machineList
		status, err = c.send(ctx, http.MethodGet, "/rentals?"+q.Encode(), nil, &a)
		for _, h := range a.Machines {
			out.Machines = append(out.Machines, model.CloudMachine{
				ID: h.ID, Addr: h.Address, MachineType: h.MachineType, Zone: h.Zone, Spot: h.Spot,
				Status: h.Status, Age: record.DurationOfSeconds(h.AgeS),
			})
		}
		out.Truncated = a.Truncated
	case message.CloudRent:
		var a machineIDs
		status, err = c.send(ctx, http.MethodPost, "/rentals", rentalRequest{op.IdempotencyKey, op.MachineType, op.Zone, op.Spot, op.Count}, &a)
		out.Rented = a.IDs
	case message.CloudRelease:
		status, err = c.send(ctx, http.MethodPost, "/rentals/return", machineIDs{op.Machines}, nil)
	}
	switch {
	case err == errNoCapacity:
		out.Status = message.CloudNoCapacity
	case err != nil:
		out.Status = message.CloudUnknown
	case status == http.StatusOK:
		out.Status = message.CloudOK
	case status == http.StatusBadRequest:
		out.Status = message.CloudMalformed
	}
	return out
}

var errNoCapacity = fmt.Errorf("cloud: no capacity")

func (c *Client) send(ctx context.Context, method, path string, body, into any) (int, error) {
	var payload io.Reader
	if body != nil {
		b, err := msgpack.Marshal(body)
		if err != nil {
			return 0, fmt.Errorf("cloud: encode: %w", err)
		}
		payload = bytes.NewReader(b)
	}
	req, err := http.NewRequestWithContext(ctx, method, c.base+path, payload)
	if err != nil {
		return 0, fmt.Errorf("cloud: %w", err)
	}
	if body != nil {
		req.Header.Set("Content-Type", "application/msgpack")
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return 0, fmt.Errorf("cloud: %w", err)
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes))
	if err != nil {
		return 0, fmt.Errorf("cloud: read: %w", err)
	}
	if resp.StatusCode == http.StatusServiceUnavailable {
		var e struct {
			Error string `msgpack:"error"`
		}
		if msgpack.Unmarshal(b, &e) == nil && e.Error == "no capacity" {
			return resp.StatusCode, errNoCapacity
		}
	}
	if resp.StatusCode == http.StatusOK && into != nil {
		if err := msgpack.Unmarshal(b, into); err != nil {
			return 0, fmt.Errorf("cloud: decode: %w", err)
		}
	}
	return resp.StatusCode, nil
}

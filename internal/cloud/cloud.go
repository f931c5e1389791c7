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

	"github.com/micahill/micahill/internal/core"
	"github.com/vmihailenco/msgpack/v5"
	"golang.org/x/time/rate"
)

const (
	// deadline of one request; the cloud takes some tenths of a second.
	deadline = 5 * time.Second
	// listPage is the most the cloud lists at once.
	listPage = 500
	// maxAnswer bounds an answer.
	maxAnswer = 4 << 20
	// ownPart of the limit: one leader does nearly all; the rest is left for
	// controllers that only ask for the types.
	ownPart = 0.8
)

// Client is one controller's access to the cloud.
type Client struct {
	base  string
	http  *http.Client
	limit *rate.Limiter
}

// New makes a client for the cloud at addr with its limit of requests a second.
func New(addr string, rps float64) *Client {
	tr := &http.Transport{
		DialContext:         (&net.Dialer{Timeout: 2 * time.Second}).DialContext,
		MaxIdleConnsPerHost: 4,
		MaxConnsPerHost:     8,
		DisableCompression:  true,
	}
	return &Client{base: "http://" + addr, http: &http.Client{Transport: tr}, limit: rate.NewLimiter(rate.Limit(rps*ownPart), max(1, int(rps*ownPart)))}
}

type flavour struct {
	Name        string   `msgpack:"name"`
	VCPUs       float64  `msgpack:"vcpus"`
	GPUs        float64  `msgpack:"gpus"`
	MemoryGB    float64  `msgpack:"memory_gb"`
	LocalGB     float64  `msgpack:"local_gb"`
	PullRate    float64  `msgpack:"pull_gb_per_s"`
	Price       float64  `msgpack:"price"`
	MarketPrice float64  `msgpack:"market_price"`
	ReadyS      float64  `msgpack:"ready_s"`
	Sites       []string `msgpack:"sites"`
}

type host struct {
	ID      string  `msgpack:"id"`
	Address string  `msgpack:"address"`
	Flavour string  `msgpack:"flavour"`
	Site    string  `msgpack:"site"`
	Loaner  bool    `msgpack:"loaner"`
	Status  string  `msgpack:"status"`
	HeldS   float64 `msgpack:"held_s"`
}

type booking struct {
	Booking string `msgpack:"booking"`
	Flavour string `msgpack:"flavour"`
	Site    string `msgpack:"site"`
	Loaner  bool   `msgpack:"loaner"`
	Count   int    `msgpack:"count"`
}

type hostNames struct {
	Hosts []string `msgpack:"hosts"`
}

type typeList struct {
	Flavours []flavour `msgpack:"flavours"`
}

type hostList struct {
	Hosts     []host `msgpack:"hosts"`
	Truncated bool   `msgpack:"truncated"`
}

// Do carries out op and tells how it ended.
func (c *Client) Do(ctx context.Context, op core.CloudRequest) core.CloudResponse {
	out := core.CloudResponse{ID: op.ID, Status: core.CloudRefused}
	ctx, cancel := context.WithTimeout(ctx, deadline)
	defer cancel()
	if c.limit.Wait(ctx) != nil {
		return out
	}
	var status int
	var err error
	switch op.Kind {
	case core.CloudListTypes:
		var a typeList
		status, err = c.send(ctx, http.MethodGet, "/machine_types", nil, &a)
		for _, f := range a.Flavours {
			out.MachineTypes = append(out.MachineTypes, core.MachineType{
				Name: f.Name, Capacity: core.Resources{CPU: f.VCPUs, GPU: f.GPUs, Memory: f.MemoryGB},
				DiskGB: f.LocalGB, ImageFetchRate: f.PullRate, CostPerHour: f.Price, SpotCostPerHour: f.MarketPrice,
				ProvisioningTime: core.Seconds(f.ReadyS), Zones: f.Sites,
			})
		}
	case core.CloudListMachines:
		q := url.Values{"limit": {strconv.Itoa(listPage)}}
		if op.StartAfter != "" {
			q.Set("from", op.StartAfter)
		}
		var a hostList
		status, err = c.send(ctx, http.MethodGet, "/rentals?"+q.Encode(), nil, &a)
		for _, h := range a.Hosts {
			out.Machines = append(out.Machines, core.CloudMachine{
				ID: h.ID, Addr: h.Address, MachineType: h.Flavour, Zone: h.Site, Spot: h.Loaner,
				Status: h.Status, Age: core.Seconds(h.HeldS),
			})
		}
		out.Truncated = a.Truncated
	case core.CloudRent:
		var a hostNames
		status, err = c.send(ctx, http.MethodPost, "/rentals", booking{op.IdempotencyKey, op.MachineType, op.Zone, op.Spot, op.Count}, &a)
		out.Rented = a.Hosts
	case core.CloudRelease:
		status, err = c.send(ctx, http.MethodPost, "/rentals/return", hostNames{op.Machines}, nil)
	}
	switch {
	case err == errNoCapacity:
		out.Status = core.CloudNoCapacity
	case err != nil:
		out.Status = core.CloudUnknown
	case status == http.StatusOK:
		out.Status = core.CloudOK
	case status == http.StatusBadRequest:
		out.Status = core.CloudMalformed
	}
	return out
}

var errNoCapacity = fmt.Errorf("cloud: no capacity")

func (c *Client) send(ctx context.Context, method, path string, body, into any) (int, error) {
	var rd io.Reader
	if body != nil {
		b, err := msgpack.Marshal(body)
		if err != nil {
			return 0, fmt.Errorf("cloud: encode: %w", err)
		}
		rd = bytes.NewReader(b)
	}
	req, err := http.NewRequestWithContext(ctx, method, c.base+path, rd)
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
	b, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswer))
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

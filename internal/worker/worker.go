// Package worker speaks with workers: it owns the wire form of their reports
// and orders, and sends orders to them directly.
package worker

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/micahill/micahill/internal/core"
	"github.com/vmihailenco/msgpack/v5"
)

const (
	// deadline of a direct order: a silent host must not hold anything up
	// for long, and its next report is only seconds away.
	deadline = 2 * time.Second
	// maxAnswer bounds an answer; the protocol's limit is 64 KiB as JSON.
	maxAnswer = 256 << 10
	// idlePart of the sockets may be connections kept for later orders: a new
	// one for each order costs more than the order. busyPart may be orders under
	// way; more of them wait for their turn, since a thousand starts may be due at
	// once, and those to silent hosts hang.
	idlePart = 0.12
	busyPart = 0.1
)

// Piece is one attempt in a report.
type Piece struct {
	Piece  string `msgpack:"piece"`
	Try    uint64 `msgpack:"try"`
	Status string `msgpack:"status"`
	Cause  string `msgpack:"cause"`
	Stored bool   `msgpack:"stored"`
}

// Report is a worker's report on the wire.
type Report struct {
	Host    string   `msgpack:"host"`
	Address string   `msgpack:"address"`
	Flavour string   `msgpack:"flavour"`
	Site    string   `msgpack:"site"`
	Loaner  bool     `msgpack:"loaner"`
	Tenure  uint64   `msgpack:"tenure"`
	Tick    uint64   `msgpack:"tick"`
	Epoch   uint64   `msgpack:"epoch"`
	RecallS *float64 `msgpack:"recall_s"`
	Pieces  []Piece  `msgpack:"pieces"`
}

// Order is a command on the wire.
type Order struct {
	Verb      string   `msgpack:"verb"`
	Piece     string   `msgpack:"piece"`
	Try       uint64   `msgpack:"try"`
	WindDownS *float64 `msgpack:"wind_down_s,omitempty"`
}

// Orders is the body of a direct order.
type Orders struct {
	Epoch  uint64  `msgpack:"epoch"`
	Tenure uint64  `msgpack:"tenure"`
	Orders []Order `msgpack:"orders"`
}

// Core turns a report from the wire into the core's form. Lines that make no
// sense are left out.
func (r *Report) Core() core.Heartbeat {
	out := core.Heartbeat{
		Machine: r.Host, Addr: r.Address, MachineType: r.Flavour, Zone: r.Site, Spot: r.Loaner,
		Incarnation: r.Tenure, Sequence: r.Tick, Epoch: r.Epoch, ReclaimIn: -1,
	}
	if r.RecallS != nil {
		out.ReclaimIn = core.Seconds(*r.RecallS)
	}
	for _, p := range r.Pieces {
		job, index, ok := splitPiece(p.Piece)
		if !ok {
			continue
		}
		t := core.TaskReport{Job: job, Index: index, Attempt: p.Try, Cause: p.Cause, CheckpointStored: p.Stored}
		switch p.Status {
		case "fetching", "gathering":
			// A gang's task that waits for its mates has not begun either.
			t.Status = core.Fetching
		case "running":
			t.Status = core.Running
		case "flushing":
			t.Status = core.Checkpointing
		case "ended":
			t.Status = core.Ended
		default:
			// A state added later: on the machine, and not ended.
			t.Status = core.Running
		}
		out.Tasks = append(out.Tasks, t)
	}
	return out
}

func splitPiece(s string) (string, int, bool) {
	i := strings.LastIndexByte(s, '/')
	if i < 0 {
		return "", 0, false
	}
	k, err := strconv.Atoi(s[i+1:])
	return s[:i], k, err == nil && k >= 0
}

// Wire turns orders into their wire form.
func Wire(orders []core.TaskCommand) []Order {
	out := make([]Order, 0, len(orders))
	for _, o := range orders {
		w := Order{Verb: string(o.Kind), Piece: o.Job + "/" + strconv.Itoa(o.Index), Try: o.Attempt}
		if o.Kind == core.StopTask {
			s := o.GracePeriod.Seconds()
			w.WindDownS = &s
		}
		out = append(out, w)
	}
	return out
}

// Client sends orders to workers.
type Client struct {
	http *http.Client
	busy chan struct{}
}

// New makes a client that may use some of so many sockets.
func New(sockets int) *Client {
	tr := &http.Transport{
		DialContext:         (&net.Dialer{Timeout: time.Second}).DialContext,
		MaxIdleConns:        max(16, int(float64(sockets)*idlePart)),
		MaxIdleConnsPerHost: 1,
		IdleConnTimeout:     time.Minute,
		DisableCompression:  true,
	}
	return &Client{http: &http.Client{Transport: tr}, busy: make(chan struct{}, max(8, int(float64(sockets)*busyPart)))}
}

// Do carries out op. Without an answer the orders may still be executed later.
func (c *Client) Do(ctx context.Context, op core.WorkerRequest) core.WorkerResponse {
	out := core.WorkerResponse{ID: op.ID}
	ctx, cancel := context.WithTimeout(ctx, deadline)
	defer cancel()
	select {
	case c.busy <- struct{}{}:
		defer func() { <-c.busy }()
	case <-ctx.Done():
		out.NotSent = true
		return out
	}
	if _, _, late := core.CheckDeadline(op, time.Now()); late || ctx.Err() != nil {
		// Its turn came with its deadline. The transport would open a connection for it
		// all the same, beside those that are allowed.
		out.NotSent = true
		return out
	}
	r, status, err := c.send(ctx, op)
	if err != nil || r.Host != op.Machine {
		return out
	}
	rep := r.Core()
	out.Heartbeat, out.OK = &rep, status == http.StatusOK
	return out
}

func (c *Client) send(ctx context.Context, op core.WorkerRequest) (*Report, int, error) {
	method, path, rd := http.MethodGet, "/status", io.Reader(nil)
	if !op.StatusOnly {
		b, err := msgpack.Marshal(Orders{op.Epoch, op.Incarnation, Wire(op.Commands)})
		if err != nil {
			return nil, 0, fmt.Errorf("worker: encode: %w", err)
		}
		method, path, rd = http.MethodPost, "/orders", bytes.NewReader(b)
	}
	req, err := http.NewRequestWithContext(ctx, method, "http://"+op.Addr+path, rd)
	if err != nil {
		return nil, 0, fmt.Errorf("worker: %w", err)
	}
	if rd != nil {
		req.Header.Set("Content-Type", "application/msgpack")
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return nil, 0, fmt.Errorf("worker: %w", err)
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswer))
	if err != nil {
		return nil, 0, fmt.Errorf("worker: read: %w", err)
	}
	if resp.StatusCode != http.StatusOK && resp.StatusCode != http.StatusConflict {
		return nil, 0, fmt.Errorf("worker: status %d", resp.StatusCode)
	}
	var r Report
	if err := msgpack.Unmarshal(b, &r); err != nil {
		return nil, 0, fmt.Errorf("worker: decode: %w", err)
	}
	return &r, resp.StatusCode, nil
}

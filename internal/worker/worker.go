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

	"github.com/micahill/micahill/internal/controller"
	"github.com/micahill/micahill/internal/message"
	"github.com/micahill/micahill/internal/model"
	"github.com/micahill/micahill/internal/record"
	"github.com/vmihailenco/msgpack/v5"
)

const (
	// requestTimeout of a direct order: a silent host must not hold anything up
	// for long, and its next report is only seconds away.
	requestTimeout = 2 * time.Second
	// maxResponseBytes bounds an answer; the protocol's limit is 64 KiB as JSON.
	maxResponseBytes = 256 << 10
	// idleFraction of the sockets may be connections kept for later orders: a new
	// one for each order costs more than the order. inFlightFraction may be orders under
	// way; more of them wait for their turn, since a thousand starts may be due at
	// once, and those to silent hosts hang.
	idleFraction     = 0.12
	inFlightFraction = 0.1
)

// TaskReport is one attempt in a report.
type TaskReport struct {
	Task         string `msgpack:"piece"`
	Attempt      uint64 `msgpack:"try"`
	Status       string `msgpack:"status"`
	Cause        string `msgpack:"cause"`
	Checkpointed bool   `msgpack:"stored"`
}

// Heartbeat is a worker's report on the wire.
type Heartbeat struct {
	Machine     string       `msgpack:"host"`
	Address     string       `msgpack:"address"`
	MachineType string       `msgpack:"flavour"`
	Zone        string       `msgpack:"site"`
	Spot        bool         `msgpack:"loaner"`
	Incarnation uint64       `msgpack:"tenure"`
	Sequence    uint64       `msgpack:"tick"`
	Epoch       uint64       `msgpack:"epoch"`
	ReclaimS    *float64     `msgpack:"recall_s"`
	Tasks       []TaskReport `msgpack:"pieces"`
}

// TaskCommand is a command on the wire.
type TaskCommand struct {
	Kind      string   `msgpack:"verb"`
	Task      string   `msgpack:"piece"`
	Attempt   uint64   `msgpack:"try"`
	WindDownS *float64 `msgpack:"wind_down_s,omitempty"`
}

// TaskCommands is the body of a direct order.
type TaskCommands struct {
	Epoch       uint64        `msgpack:"epoch"`
	Incarnation uint64        `msgpack:"tenure"`
	Commands    []TaskCommand `msgpack:"orders"`
}

// Decode turns a report from the wire into the core's form. Lines that make no
// sense are left out.
func (r *Heartbeat) Decode() model.Heartbeat {
	out := model.Heartbeat{
		Machine: r.Machine, Addr: r.Address, MachineType: r.MachineType, Zone: r.Zone, Spot: r.Spot,
		Incarnation: r.Incarnation, Sequence: r.Sequence, Epoch: r.Epoch, ReclaimIn: -1,
	}
	if r.ReclaimS != nil {
		out.ReclaimIn = record.DurationOfSeconds(*r.ReclaimS)
	}
	for _, wireTask := range r.Tasks {
		job, index, ok := parseTask(wireTask.Task)
		if !ok {
			continue
		}
		task := model.TaskReport{Job: job, Index: index, Attempt: wireTask.Attempt, Cause: wireTask.Cause, CheckpointStored: wireTask.Checkpointed}
		switch wireTask.Status {
		case "fetching", "gathering":
			// A gang's task that waits for its mates has not begun either.
			task.Status = model.Fetching
		case "running":
			task.Status = model.Running
		case "flushing":
			task.Status = model.Checkpointing
		case "ended":
			task.Status = model.Ended
		default:
			// A state added later: on the machine, and not ended.
			task.Status = model.Running
		}
		out.Tasks = append(out.Tasks, task)
	}
	return out
}

func parseTask(s string) (string, int, bool) {
	slash := strings.LastIndexByte(s, '/')
	if slash < 0 {
		return "", 0, false
	}
	index, err := strconv.Atoi(s[slash+1:])
	return s[:slash], index, err == nil && index >= 0
}

// EncodeCommands turns orders into their wire form.
func EncodeCommands(commands []model.TaskCommand) []TaskCommand {
	out := make([]TaskCommand, 0, len(commands))
	for _, o := range commands {
		command := TaskCommand{Kind: string(o.Kind), Task: o.Job + "/" + strconv.Itoa(o.Index), Attempt: o.Attempt}
		if o.Kind == model.StopTask {
			seconds := o.GracePeriod.Seconds()
			command.WindDownS = &seconds
		}
		out = append(out, command)
	}
	return out
}

// Client sends orders to workers.
type Client struct {
	http     *http.Client
	inFlight chan struct{}
}

// New makes a client that may use some of so many sockets.
func New(sockets int) *Client {
	transport := &http.Transport{
		DialContext:         (&net.Dialer{Timeout: time.Second}).DialContext,
		MaxIdleConns:        max(16, int(float64(sockets)*idleFraction)),
		MaxIdleConnsPerHost: 1,
		IdleConnTimeout:     time.Minute,
		DisableCompression:  true,
	}
	return &Client{http: &http.Client{Transport: transport}, inFlight: make(chan struct{}, max(8, int(float64(sockets)*inFlightFraction)))}
}

// Do carries out op. Without an answer the orders may still be executed later.
func (c *Client) Do(ctx context.Context, op message.WorkerRequest) message.WorkerResponse {
	out := message.WorkerResponse{ID: op.ID}
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	select {
	case c.inFlight <- struct{}{}:
		defer func() { <-c.inFlight }()
	case <-ctx.Done():
		out.NotSent = true
		return out
	}
	if _, _, late := controller.CheckDeadline(op, time.Now()); late || ctx.Err() != nil {
		// Its turn came with its deadline. The transport would open a connection for it
		// all the same, beside those that are allowed.
		out.NotSent = true
		return out
	}
	decoded, status, err := c.send(ctx, op)
	if err != nil || decoded.Machine != op.Machine {
		return out
	}
	heartbeat := decoded.Decode()
	out.Heartbeat, out.OK = &heartbeat, status == http.StatusOK
	return out
}

func (c *Client) send(ctx context.Context, op message.WorkerRequest) (*Heartbeat, int, error) {
	method, path, payload := http.MethodGet, "/status", io.Reader(nil)
	if !op.StatusOnly {
		b, err := msgpack.Marshal(TaskCommands{op.Epoch, op.Incarnation, EncodeCommands(op.Commands)})
		if err != nil {
			return nil, 0, fmt.Errorf("worker: encode: %w", err)
		}
		method, path, payload = http.MethodPost, "/orders", bytes.NewReader(b)
	}
	req, err := http.NewRequestWithContext(ctx, method, "http://"+op.Addr+path, payload)
	if err != nil {
		return nil, 0, fmt.Errorf("worker: %w", err)
	}
	if payload != nil {
		req.Header.Set("Content-Type", "application/msgpack")
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return nil, 0, fmt.Errorf("worker: %w", err)
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes))
	if err != nil {
		return nil, 0, fmt.Errorf("worker: read: %w", err)
	}
	if resp.StatusCode != http.StatusOK && resp.StatusCode != http.StatusConflict {
		return nil, 0, fmt.Errorf("worker: status %d", resp.StatusCode)
	}
	var heartbeat Heartbeat
	if err := msgpack.Unmarshal(b, &heartbeat); err != nil {
		return nil, 0, fmt.Errorf("worker: decode: %w", err)
	}
	return &heartbeat, resp.StatusCode, nil
}

package simulation

import (
	"context"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"github.com/micahill/micahill/internal/message"
)

// LiveCounts is what a live world has counted since it began. Bytes are those of the connections,
// headers included.
type LiveCounts struct {
	// Heartbeats counts heartbeats by the HTTP status of their answer; 0 means that there was none.
	Heartbeats map[int]int `json:"reports"`
	// HeartbeatBytesOut and HeartbeatBytesIn are the bytes of heartbeats and of their answers.
	HeartbeatBytesOut int64 `json:"report_bytes_out"`
	HeartbeatBytesIn  int64 `json:"report_bytes_in"`
	// Commands counts direct requests to workers by path. CommandBytesOut and CommandBytesIn are
	// the bytes out of and into the workers.
	Commands        map[string]int `json:"orders"`
	CommandBytesOut int64          `json:"order_bytes_out"`
	CommandBytesIn  int64          `json:"order_bytes_in"`
	// Requests counts requests to the state service by kind, Writes its writes by the first part of
	// their keys, and RateLimited the requests that were answered 429.
	Requests    map[string]int `json:"requests"`
	Writes      map[string]int `json:"changes"`
	RateLimited int            `json:"refused"`
	// CloudCalls counts requests to the cloud.
	CloudCalls int `json:"cloud_calls"`
	// Starts counts starts of tasks, and LostToLease tasks that ended with a worker lease.
	Starts      int `json:"started"`
	LostToLease int `json:"lost_to_lease"`
}

// liveTraffic has the counts that connections update, without Live.mu.
type liveTraffic struct{ heartbeatsOut, heartbeatsIn, commandsOut, commandsIn atomic.Int64 }

func newCounts() LiveCounts {
	return LiveCounts{Heartbeats: map[int]int{}, Commands: map[string]int{}, Requests: map[string]int{}, Writes: map[string]int{}}
}

// countRequest counts a request to the state service.
func (c *LiveCounts) countRequest(op *message.StoreRequest, refused bool) {
	kind := map[message.StoreRequestKind]string{
		message.OpGet: "get", message.OpList: "list", message.OpWatch: "follow", message.OpTxn: "multi",
		message.OpLeaseGrant: "grant", message.OpLeaseRenew: "renew", message.OpLeaseRevoke: "drop",
	}[op.Kind]
	c.Requests[kind]++
	if refused {
		c.RateLimited++
		return
	}
	for _, a := range op.Writes {
		family, _, _ := strings.Cut(a.Key, "/")
		c.Writes[family]++
	}
}

// Minus returns what was counted since an earlier count.
func (c LiveCounts) Minus(o LiveCounts) LiveCounts {
	less := func(a, b map[string]int) map[string]int {
		out := map[string]int{}
		for k, v := range a {
			if v -= b[k]; v != 0 {
				out[k] = v
			}
		}
		return out
	}
	d := c
	d.Heartbeats = map[int]int{}
	for k, v := range c.Heartbeats {
		if v -= o.Heartbeats[k]; v != 0 {
			d.Heartbeats[k] = v
		}
	}
	d.Commands, d.Requests, d.Writes = less(c.Commands, o.Commands), less(c.Requests, o.Requests), less(c.Writes, o.Writes)
	d.HeartbeatBytesOut, d.HeartbeatBytesIn = c.HeartbeatBytesOut-o.HeartbeatBytesOut, c.HeartbeatBytesIn-o.HeartbeatBytesIn
	d.CommandBytesOut, d.CommandBytesIn = c.CommandBytesOut-o.CommandBytesOut, c.CommandBytesIn-o.CommandBytesIn
	d.RateLimited, d.CloudCalls = c.RateLimited-o.RateLimited, c.CloudCalls-o.CloudCalls
	d.Starts, d.LostToLease = c.Starts-o.Starts, c.LostToLease-o.LostToLease
	return d
}

// Counts returns what was counted so far.
func (l *Live) Counts() LiveCounts {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := l.counts.Minus(newCounts())
	out.HeartbeatBytesOut, out.HeartbeatBytesIn = l.traffic.heartbeatsOut.Load(), l.traffic.heartbeatsIn.Load()
	out.CommandBytesOut, out.CommandBytesIn = l.traffic.commandsOut.Load(), l.traffic.commandsIn.Load()
	out.CloudCalls = l.world.CloudCalls.Done + l.world.CloudCalls.RefusedRequests
	out.Starts, out.LostToLease = l.world.Starts, l.world.LostToLease
	return out
}

// KillMachines ends as many machines that are up, without notice, and returns how many there were.
func (l *Live) KillMachines(machines int) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	lost := 0
	for _, m := range l.world.fleet {
		if lost < machines && m.up(l.world.now) {
			l.world.killMachine(m)
			lost++
		}
	}
	return lost
}

// Workers counts the machines that send heartbeats, the tasks on them, and those of long-running
// jobs.
func (l *Live) Workers() (up, tasks, standing int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, m := range l.world.fleet {
		if m.up(l.world.now) && m.incarnation > 0 {
			up++
		}
		for _, t := range m.tasks {
			if !t.onMachine() {
				continue
			}
			tasks++
			if t.job.spec.LongRunning {
				standing++
			}
		}
	}
	return up, tasks, standing
}

// FirstStart returns when a job's first task started, if one did.
func (l *Live) FirstStart(id string) (time.Time, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	j := l.world.jobs[id]
	if j == nil {
		return time.Time{}, false
	}
	var first time.Time
	for _, at := range j.firstStarts {
		if first.IsZero() || at.Before(first) {
			first = at
		}
	}
	return first, !first.IsZero()
}

// meteredConn counts the bytes of a connection.
type meteredConn struct {
	net.Conn
	in, out *atomic.Int64
}

func (c meteredConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.in.Add(int64(n))
	return n, err
}

func (c meteredConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.out.Add(int64(n))
	return n, err
}

// meteredListener counts the bytes of all connections that it accepts.
type meteredListener struct {
	net.Listener
	in, out *atomic.Int64
}

func (l meteredListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return meteredConn{c, l.in, l.out}, nil
}

// newHeartbeatClient returns the HTTP client of one worker. It keeps one connection, as a worker
// sends heartbeats to one controller at a time.
func (l *Live) newHeartbeatClient() *http.Client {
	var d net.Dialer
	return &http.Client{Transport: &http.Transport{
		MaxIdleConns: 1, MaxIdleConnsPerHost: 1, DisableCompression: true,
		DialContext: func(ctx context.Context, network, addr string) (net.Conn, error) {
			c, err := d.DialContext(ctx, network, addr)
			if err != nil {
				return nil, err
			}
			return meteredConn{c, &l.traffic.heartbeatsIn, &l.traffic.heartbeatsOut}, nil
		},
	}}
}

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

// LiveCounts has the counters of a Live since its start. Bytes are counted on the connections,
// headers included.
type LiveCounts struct {
	// Heartbeats counts heartbeats by the HTTP status of their answer; 0 stands for no answer.
	Heartbeats map[int]int `json:"reports"`
	// HeartbeatBytesOut and HeartbeatBytesIn are the bytes of heartbeats and of their answers.
	HeartbeatBytesOut int64 `json:"report_bytes_out"`
	HeartbeatBytesIn  int64 `json:"report_bytes_in"`
	// Commands counts direct requests to workers by path. CommandBytesOut and CommandBytesIn are
	// the bytes that the workers sent and received on these connections.
	Commands        map[string]int `json:"orders"`
	CommandBytesOut int64          `json:"order_bytes_out"`
	CommandBytesIn  int64          `json:"order_bytes_in"`
	// Requests counts requests to the state service by kind. Writes counts writes by the first
	// segment of their keys. RateLimited counts the requests that were answered 429.
	Requests    map[string]int `json:"requests"`
	Writes      map[string]int `json:"changes"`
	RateLimited int            `json:"refused"`
	// CloudCalls counts requests to the cloud.
	CloudCalls int `json:"cloud_calls"`
	// Starts counts task starts, and LostToLease tasks that were killed because a worker lease
	// expired.
	Starts      int `json:"started"`
	LostToLease int `json:"lost_to_lease"`
}

// liveTraffic has the counters that connections update without holding Live.mu.
type liveTraffic struct{ heartbeatsOut, heartbeatsIn, commandsOut, commandsIn atomic.Int64 }

// newCounts returns counters that are zero.
func newCounts() LiveCounts {
	return LiveCounts{Heartbeats: map[int]int{}, Commands: map[string]int{}, Requests: map[string]int{}, Writes: map[string]int{}}
}

// countRequest counts a request to the state service. refused means that a rate limit refused it.
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

// Minus returns the difference to the earlier counters o, without map entries that are zero.
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

// Counts returns a copy of the current counters.
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

// KillMachines ends up to the given number of running machines without notice, and returns how many
// it ended.
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

// Workers returns the number of machines that send heartbeats, of tasks that take resources of
// machines, and of those tasks that belong to long-running jobs.
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

// FirstStart returns the time of a job's first task start, and whether a task of the job has
// started.
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

// meteredConn counts the bytes that a connection receives and sends.
type meteredConn struct {
	net.Conn
	in, out *atomic.Int64
}

// Read reads from the connection and counts the bytes.
func (c meteredConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.in.Add(int64(n))
	return n, err
}

// Write writes to the connection and counts the bytes.
func (c meteredConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.out.Add(int64(n))
	return n, err
}

// meteredListener makes all connections that it accepts count their bytes.
type meteredListener struct {
	net.Listener
	in, out *atomic.Int64
}

// Accept accepts a connection that counts its bytes.
func (l meteredListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return meteredConn{c, l.in, l.out}, nil
}

// newHeartbeatClient returns the HTTP client for one worker's heartbeats. The client keeps one
// connection, because a worker sends heartbeats to one controller at a time.
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

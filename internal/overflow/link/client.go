package link

import (
	"bufio"
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"net"
	"sync"
	"time"

	"github.com/micahill/micahill/internal/certs"
	"github.com/micahill/micahill/internal/overflow"
	"google.golang.org/protobuf/encoding/protodelim"
)

// maxConnAge is after how long a connection is replaced, so that an expired
// certificate or a CA that is no longer trusted takes effect on busy connections too.
const maxConnAge = 5 * time.Minute

// Client sends heartbeats to peers, over one connection to each of their controllers.
// It is safe for concurrent use.
type Client struct {
	// Store has the cluster's certificate and the trusted CAs.
	Store   *certs.Store
	Cluster string

	mu sync.Mutex
	// conns holds the idle connections by address.
	conns map[string]*conn
}

type conn struct {
	tlsConn *tls.Conn
	reader  *bufio.Reader
	binder  *binder
	// seq is the number of the last frame sent.
	seq      uint64
	openedAt time.Time
}

// SendHeartbeat sends a heartbeat to a controller of a peer and waits for its reply,
// until the context's deadline. The caller has one heartbeat to an address in flight
// at a time. A refusal wraps ErrNotLeader or ErrStale; any other error ends the
// connection, since a late reply would have no receiver.
func (c *Client) SendHeartbeat(ctx context.Context, peer, addr string, heartbeat overflow.Heartbeat) (overflow.HeartbeatReply, error) {
	x := c.takeConn(addr)
	if x == nil {
		var err error
		if x, err = c.dial(ctx, peer, addr); err != nil {
			return overflow.HeartbeatReply{}, err
		}
	}
	reply, err := x.roundTrip(ctx, heartbeat)
	if err != nil && !errors.Is(err, ErrNotLeader) && !errors.Is(err, ErrStale) {
		x.tlsConn.Close()
		return reply, err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.conns == nil {
		c.conns = map[string]*conn{}
	}
	c.conns[addr] = x
	return reply, err
}

// takeConn removes the idle connection to an address from conns and returns it, or
// nil. It closes a connection that is too old.
func (c *Client) takeConn(addr string) *conn {
	c.mu.Lock()
	x := c.conns[addr]
	delete(c.conns, addr)
	c.mu.Unlock()
	if x != nil && time.Since(x.openedAt) > maxConnAge {
		x.tlsConn.Close()
		return nil
	}
	return x
}

// dial connects to a controller and checks that its certificate names peer.
func (c *Client) dial(ctx context.Context, peer, addr string) (*conn, error) {
	rawConn, err := (&net.Dialer{}).DialContext(ctx, "tcp", addr)
	if err != nil {
		return nil, fmt.Errorf("link: %w", err)
	}
	tlsConn := tls.Client(rawConn, c.Store.ClientConfig(peer))
	if err := tlsConn.HandshakeContext(ctx); err != nil {
		rawConn.Close()
		return nil, fmt.Errorf("link: %s at %s: %w", peer, addr, err)
	}
	b, err := newBinder(tlsConn.ConnectionState(), c.Cluster, peer)
	if err != nil {
		rawConn.Close()
		return nil, err
	}
	return &conn{tlsConn: tlsConn, reader: bufio.NewReader(tlsConn), binder: b, openedAt: time.Now()}, nil
}

// roundTrip sends a heartbeat and reads the reply.
func (x *conn) roundTrip(ctx context.Context, heartbeat overflow.Heartbeat) (overflow.HeartbeatReply, error) {
	if deadline, ok := ctx.Deadline(); ok {
		x.tlsConn.SetDeadline(deadline)
	}
	x.seq++
	report, err := x.binder.encodeHeartbeat(x.seq, heartbeat)
	if err != nil {
		return overflow.HeartbeatReply{}, err
	}
	if _, err := protodelim.MarshalTo(x.tlsConn, &Frame{Version: Version, Seq: x.seq, Body: &Frame_Report{report}}); err != nil {
		return overflow.HeartbeatReply{}, fmt.Errorf("link: %w", err)
	}
	var f Frame
	if err := (protodelim.UnmarshalOptions{MaxSize: maxFrameBytes}).UnmarshalFrom(x.reader, &f); err != nil {
		return overflow.HeartbeatReply{}, fmt.Errorf("link: %w", err)
	}
	switch {
	case f.GetRefusal() != nil:
		return overflow.HeartbeatReply{}, &RefusedError{f.GetRefusal().Code, f.GetRefusal().Reason}
	case f.Version != Version:
		return overflow.HeartbeatReply{}, fmt.Errorf("link: the answer has version %d, not %d", f.Version, Version)
	case f.Seq != x.seq || f.GetAnswer() == nil:
		return overflow.HeartbeatReply{}, fmt.Errorf("%w: not the answer to frame %d", ErrForged, x.seq)
	}
	return x.binder.decodeReply(x.seq, f.GetAnswer())
}

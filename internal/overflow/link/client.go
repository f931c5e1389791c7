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

// maxConnAge is the age at which a connection is replaced. The new handshake detects an
// expired certificate, or a CA that is not trusted any more, on busy connections too.
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

// conn is a connection to one controller of a peer. It carries one heartbeat at a time.
type conn struct {
	tlsConn *tls.Conn
	reader  *bufio.Reader
	binder  *binder
	// seq is the sequence number of the last frame sent.
	seq      uint64
	openedAt time.Time
}

// SendHeartbeat sends a heartbeat to a controller of a peer and waits for the reply until
// the context's deadline. The caller may have only one heartbeat to an address in flight.
// The error wraps ErrNotLeader or ErrStale if the peer refused the heartbeat for that
// reason. Any other error closes the connection, so that a late reply can't be taken for
// the reply to the next heartbeat.
func (client *Client) SendHeartbeat(ctx context.Context, peer, addr string, heartbeat overflow.Heartbeat) (overflow.HeartbeatReply, error) {
	connection := client.takeConn(addr)
	if connection == nil {
		var err error
		if connection, err = client.dial(ctx, peer, addr); err != nil {
			return overflow.HeartbeatReply{}, err
		}
	}
	reply, err := connection.roundTrip(ctx, heartbeat)
	if err != nil && !errors.Is(err, ErrNotLeader) && !errors.Is(err, ErrStale) {
		connection.tlsConn.Close()
		return reply, err
	}
	client.mu.Lock()
	defer client.mu.Unlock()
	if client.conns == nil {
		client.conns = map[string]*conn{}
	}
	client.conns[addr] = connection
	return reply, err
}

// takeConn removes the idle connection to an address from conns and returns it. It
// returns nil if there is none. It closes a connection older than maxConnAge and then
// also returns nil.
func (client *Client) takeConn(addr string) *conn {
	client.mu.Lock()
	connection := client.conns[addr]
	delete(client.conns, addr)
	client.mu.Unlock()
	if connection != nil && time.Since(connection.openedAt) > maxConnAge {
		connection.tlsConn.Close()
		return nil
	}
	return connection
}

// dial connects to a controller. It fails unless the controller's certificate names peer.
func (client *Client) dial(ctx context.Context, peer, addr string) (*conn, error) {
	rawConn, err := (&net.Dialer{}).DialContext(ctx, "tcp", addr)
	if err != nil {
		return nil, fmt.Errorf("link: %w", err)
	}
	tlsConn := tls.Client(rawConn, client.Store.ClientConfig(peer))
	if err := tlsConn.HandshakeContext(ctx); err != nil {
		rawConn.Close()
		return nil, fmt.Errorf("link: %s at %s: %w", peer, addr, err)
	}
	binder, err := newBinder(tlsConn.ConnectionState(), client.Cluster, peer)
	if err != nil {
		rawConn.Close()
		return nil, err
	}
	return &conn{tlsConn: tlsConn, reader: bufio.NewReader(tlsConn), binder: binder, openedAt: time.Now()}, nil
}

// roundTrip sends a heartbeat and returns the reply. It returns a *RefusedError if the
// peer refuses the heartbeat, and ErrForged if the reply is not authentic.
func (connection *conn) roundTrip(ctx context.Context, heartbeat overflow.Heartbeat) (overflow.HeartbeatReply, error) {
	if deadline, ok := ctx.Deadline(); ok {
		connection.tlsConn.SetDeadline(deadline)
	}
	connection.seq++
	report, err := connection.binder.encodeHeartbeat(connection.seq, heartbeat)
	if err != nil {
		return overflow.HeartbeatReply{}, err
	}
	if _, err := protodelim.MarshalTo(connection.tlsConn, &Frame{Version: Version, Seq: connection.seq, Body: &Frame_Report{report}}); err != nil {
		return overflow.HeartbeatReply{}, fmt.Errorf("link: %w", err)
	}
	var frame Frame
	if err := (protodelim.UnmarshalOptions{MaxSize: maxFrameBytes}).UnmarshalFrom(connection.reader, &frame); err != nil {
		return overflow.HeartbeatReply{}, fmt.Errorf("link: %w", err)
	}
	switch {
	case frame.GetRefusal() != nil:
		return overflow.HeartbeatReply{}, &RefusedError{frame.GetRefusal().Code, frame.GetRefusal().Reason}
	case frame.Version != Version:
		return overflow.HeartbeatReply{}, fmt.Errorf("link: the reply has protocol version %d, want %d", frame.Version, Version)
	case frame.Seq != connection.seq || frame.GetAnswer() == nil:
		return overflow.HeartbeatReply{}, fmt.Errorf("%w: not the reply to frame %d", ErrForged, connection.seq)
	}
	return connection.binder.decodeReply(connection.seq, frame.GetAnswer())
}

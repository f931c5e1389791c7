package link

import (
	"bufio"
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/micahill/micahill/internal/certs"
	"github.com/micahill/micahill/internal/overflow"
	"google.golang.org/protobuf/encoding/protodelim"
)

const (
	// maxFrameBytes bounds one frame: some thousand loans.
	maxFrameBytes = 4 << 20
	// maxConns bounds the connections that peers may hold here, and idleTimeout is
	// how long one may say nothing.
	maxConns    = 64
	idleTimeout = 2 * time.Minute
	// handshakeTimeout bounds a handshake, and writeTimeout the writing of a frame.
	handshakeTimeout = 3 * time.Second
	writeTimeout     = 3 * time.Second
	// maxConnAge is after how long a connection is made anew, so that a certificate
	// that has expired or whose CA has gone is noticed on a busy one as well.
	maxConnAge = 5 * time.Minute
)

// ErrNotLeader says that another controller of the cluster answers reports.
var ErrNotLeader = errors.New("link: another controller answers")

// ErrStale says that the report is older than one that was heard, or that the
// cluster cannot answer now.
var ErrStale = errors.New("link: not now")

// RefusedError is a peer's refusal, with its reason.
type RefusedError struct {
	Code   Code
	Reason string
}

func (r *RefusedError) Error() string {
	return fmt.Sprintf("link: refused: %s (%s)", r.Reason, r.Code)
}

// Unwrap lets callers tell what a refusal means for them.
func (r *RefusedError) Unwrap() error {
	switch r.Code {
	case Code_NOT_LEADER:
		return ErrNotLeader
	case Code_STALE:
		return ErrStale
	}
	return nil
}

// Handler answers a peer's report. ErrNotLeader and ErrStale are told to the peer.
type Handler func(ctx context.Context, r overflow.Heartbeat) (overflow.HeartbeatReply, error)

// Server takes reports of peers.
type Server struct {
	Store           *certs.Store
	Cluster         string
	Peers           map[string]bool
	AllowedPrefixes []netip.Prefix
	Handle          Handler
}

// Serve takes connections until the context ends.
func (s *Server) Serve(ctx context.Context, ln net.Listener) error {
	go func() {
		<-ctx.Done()
		ln.Close()
	}()
	slots := make(chan struct{}, maxConns)
	for {
		c, err := ln.Accept()
		if ctx.Err() != nil {
			return ctx.Err()
		}
		if err != nil {
			slog.Debug("overflow: accept", "err", err)
			time.Sleep(50 * time.Millisecond)
			continue
		}
		if !s.isAllowed(c.RemoteAddr()) {
			slog.Info("overflow: connection from an address that is not allowed", "addr", c.RemoteAddr())
			c.Close()
			continue
		}
		select {
		case slots <- struct{}{}:
			go func() {
				defer func() { <-slots }()
				defer c.Close()
				if err := s.serve(ctx, tls.Server(c, s.Store.ServerConfig())); err != nil && ctx.Err() == nil {
					slog.Debug("overflow: connection ended", "addr", c.RemoteAddr(), "err", err)
				}
			}()
		default:
			c.Close()
		}
	}
}

func (s *Server) isAllowed(a net.Addr) bool {
	ap, err := netip.ParseAddrPort(a.String())
	if err != nil {
		return false
	}
	for _, p := range s.AllowedPrefixes {
		if p.Contains(ap.Addr().Unmap()) {
			return true
		}
	}
	return false
}

func (s *Server) serve(ctx context.Context, c *tls.Conn) error {
	handshakeCtx, cancel := context.WithTimeout(ctx, handshakeTimeout)
	defer cancel()
	if err := c.HandshakeContext(handshakeCtx); err != nil {
		slog.Info("overflow: a peer was not let in", "addr", c.RemoteAddr(), "why", err)
		return err
	}
	peer := certs.PeerOf(c.ConnectionState())
	b, err := newBinder(c.ConnectionState(), peer, s.Cluster)
	if err != nil {
		return err
	}
	r := bufio.NewReader(c)
	opts := protodelim.UnmarshalOptions{MaxSize: maxFrameBytes}
	for last := uint64(0); ; {
		c.SetReadDeadline(time.Now().Add(idleTimeout))
		var f Frame
		if err := opts.UnmarshalFrom(r, &f); err != nil {
			return err
		}
		out := &Frame{Version: Version, Seq: f.Seq}
		refuse := func(code Code, format string, args ...any) {
			out.Body = &Frame_Refusal{&Refusal{Code: code, Reason: fmt.Sprintf(format, args...)}}
		}
		invalid := true
		switch heartbeat, err := b.decodeFrame(&f, last); {
		case f.Version != Version:
			refuse(Code_VERSION, "version %d is not known here; this controller speaks %d", f.Version, Version)
		case peer == "" || !s.Peers[peer]:
			refuse(Code_NOT_PEER, "cluster %q is no peer of %s", peer, s.Cluster)
		case err != nil:
			refuse(Code_FORGED, "%v", err)
		case heartbeat.From != peer:
			refuse(Code_NOT_PEER, "cluster %q speaks as %q", peer, heartbeat.From)
		default:
			invalid, last = false, f.Seq
			a, err := s.Handle(ctx, heartbeat)
			switch {
			case errors.Is(err, ErrNotLeader):
				refuse(Code_NOT_LEADER, "another controller of %s answers", s.Cluster)
			case err != nil:
				refuse(Code_STALE, "%v", err)
			default:
				w, err := b.encodeReply(f.Seq, a)
				if err != nil {
					return err
				}
				out.Body = &Frame_Answer{w}
			}
		}
		c.SetWriteDeadline(time.Now().Add(writeTimeout))
		if _, err := protodelim.MarshalTo(c, out); err != nil {
			return err
		}
		if invalid {
			return fmt.Errorf("link: %s: %s", peer, out.GetRefusal().GetReason())
		}
	}
}

// decodeFrame reads a report out of a frame: its number must be above the last one's,
// so that nothing that was sent before is taken again.
func (b *binder) decodeFrame(f *Frame, last uint64) (overflow.Heartbeat, error) {
	if f.GetReport() == nil {
		return overflow.Heartbeat{}, errors.New("link: not a report")
	}
	if f.Seq <= last {
		return overflow.Heartbeat{}, fmt.Errorf("%w: frame %d after %d", ErrForged, f.Seq, last)
	}
	return b.decodeHeartbeat(f.Seq, f.GetReport())
}

// Client sends reports to peers, over one connection to each of their controllers.
type Client struct {
	Store   *certs.Store
	Cluster string

	mu    sync.Mutex
	conns map[string]*conn
}

type conn struct {
	tlsConn *tls.Conn
	reader  *bufio.Reader
	binder  *binder
	seq     uint64
	// openedAt is when the connection was made.
	openedAt time.Time
}

// SendHeartbeat sends a report to a controller of a peer and waits for its answer. One
// report to an address is under way at a time; the caller sees to that. Any error
// ends the connection: an answer that comes later has no one to take it.
func (c *Client) SendHeartbeat(ctx context.Context, peer, addr string, r overflow.Heartbeat) (overflow.HeartbeatReply, error) {
	c.mu.Lock()
	if c.conns == nil {
		c.conns = map[string]*conn{}
	}
	x := c.conns[addr]
	delete(c.conns, addr)
	c.mu.Unlock()
	if x != nil && time.Since(x.openedAt) > maxConnAge {
		x.tlsConn.Close()
		x = nil
	}
	if x == nil {
		var err error
		if x, err = c.dial(ctx, peer, addr); err != nil {
			return overflow.HeartbeatReply{}, err
		}
	}
	a, err := x.roundTrip(ctx, r)
	if err != nil && !errors.Is(err, ErrNotLeader) && !errors.Is(err, ErrStale) {
		x.tlsConn.Close()
		return a, err
	}
	c.mu.Lock()
	c.conns[addr] = x
	c.mu.Unlock()
	return a, err
}

func (c *Client) dial(ctx context.Context, peer, addr string) (*conn, error) {
	raw, err := (&net.Dialer{}).DialContext(ctx, "tcp", addr)
	if err != nil {
		return nil, fmt.Errorf("link: %w", err)
	}
	t := tls.Client(raw, c.Store.ClientConfig(peer))
	if err := t.HandshakeContext(ctx); err != nil {
		raw.Close()
		return nil, fmt.Errorf("link: %s at %s: %w", peer, addr, err)
	}
	b, err := newBinder(t.ConnectionState(), c.Cluster, peer)
	if err != nil {
		raw.Close()
		return nil, err
	}
	return &conn{tlsConn: t, reader: bufio.NewReader(t), binder: b, openedAt: time.Now()}, nil
}

func (x *conn) roundTrip(ctx context.Context, r overflow.Heartbeat) (overflow.HeartbeatReply, error) {
	if d, ok := ctx.Deadline(); ok {
		x.tlsConn.SetDeadline(d)
	}
	x.seq++
	w, err := x.binder.encodeHeartbeat(x.seq, r)
	if err != nil {
		return overflow.HeartbeatReply{}, err
	}
	if _, err := protodelim.MarshalTo(x.tlsConn, &Frame{Version: Version, Seq: x.seq, Body: &Frame_Report{w}}); err != nil {
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

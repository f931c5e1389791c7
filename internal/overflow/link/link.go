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

	"github.com/micahill/micahill/internal/keys"
	"github.com/micahill/micahill/internal/overflow"
	"google.golang.org/protobuf/encoding/protodelim"
)

const (
	// frameMost bounds one frame: some thousand loans.
	frameMost = 4 << 20
	// connsMost bounds the connections that peers may hold here, and idleMost is
	// how long one may say nothing.
	connsMost = 64
	idleMost  = 2 * time.Minute
	// shakeMost bounds a handshake, and writeMost the writing of a frame.
	shakeMost = 3 * time.Second
	writeMost = 3 * time.Second
	// connAge is after how long a connection is made anew, so that a certificate
	// that has expired or whose CA has gone is noticed on a busy one as well.
	connAge = 5 * time.Minute
)

// ErrNotLeader says that another controller of the cluster answers reports.
var ErrNotLeader = errors.New("link: another controller answers")

// ErrStale says that the report is older than one that was heard, or that the
// cluster cannot answer now.
var ErrStale = errors.New("link: not now")

// Refused is a peer's refusal, with its reason.
type Refused struct {
	Code   Code
	Reason string
}

func (r *Refused) Error() string {
	return fmt.Sprintf("link: refused: %s (%s)", r.Reason, r.Code)
}

// Unwrap lets callers tell what a refusal means for them.
func (r *Refused) Unwrap() error {
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
	Store   *keys.Store
	Cluster string
	Peers   map[string]bool
	Allow   []netip.Prefix
	Handle  Handler
}

// Serve takes connections until the context ends.
func (s *Server) Serve(ctx context.Context, ln net.Listener) error {
	go func() {
		<-ctx.Done()
		ln.Close()
	}()
	free := make(chan struct{}, connsMost)
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
		if !s.allowed(c.RemoteAddr()) {
			slog.Info("overflow: connection from an address that is not allowed", "addr", c.RemoteAddr())
			c.Close()
			continue
		}
		select {
		case free <- struct{}{}:
			go func() {
				defer func() { <-free }()
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

func (s *Server) allowed(a net.Addr) bool {
	ap, err := netip.ParseAddrPort(a.String())
	if err != nil {
		return false
	}
	for _, p := range s.Allow {
		if p.Contains(ap.Addr().Unmap()) {
			return true
		}
	}
	return false
}

func (s *Server) serve(ctx context.Context, c *tls.Conn) error {
	shake, cancel := context.WithTimeout(ctx, shakeMost)
	defer cancel()
	if err := c.HandshakeContext(shake); err != nil {
		slog.Info("overflow: a peer was not let in", "addr", c.RemoteAddr(), "why", err)
		return err
	}
	peer := keys.PeerOf(c.ConnectionState())
	b, err := newBinder(c.ConnectionState(), peer, s.Cluster)
	if err != nil {
		return err
	}
	r := bufio.NewReader(c)
	opts := protodelim.UnmarshalOptions{MaxSize: frameMost}
	for last := uint64(0); ; {
		c.SetReadDeadline(time.Now().Add(idleMost))
		var f Frame
		if err := opts.UnmarshalFrom(r, &f); err != nil {
			return err
		}
		out := &Frame{Version: Version, Seq: f.Seq}
		refuse := func(code Code, format string, args ...any) {
			out.Body = &Frame_Refusal{&Refusal{Code: code, Reason: fmt.Sprintf(format, args...)}}
		}
		bad := true
		switch rep, err := b.checked(&f, last); {
		case f.Version != Version:
			refuse(Code_VERSION, "version %d is not known here; this controller speaks %d", f.Version, Version)
		case peer == "" || !s.Peers[peer]:
			refuse(Code_NOT_PEER, "cluster %q is no peer of %s", peer, s.Cluster)
		case err != nil:
			refuse(Code_FORGED, "%v", err)
		case rep.From != peer:
			refuse(Code_NOT_PEER, "cluster %q speaks as %q", peer, rep.From)
		default:
			bad, last = false, f.Seq
			a, err := s.Handle(ctx, rep)
			switch {
			case errors.Is(err, ErrNotLeader):
				refuse(Code_NOT_LEADER, "another controller of %s answers", s.Cluster)
			case err != nil:
				refuse(Code_STALE, "%v", err)
			default:
				w, err := b.answer(f.Seq, a)
				if err != nil {
					return err
				}
				out.Body = &Frame_Answer{w}
			}
		}
		c.SetWriteDeadline(time.Now().Add(writeMost))
		if _, err := protodelim.MarshalTo(c, out); err != nil {
			return err
		}
		if bad {
			return fmt.Errorf("link: %s: %s", peer, out.GetRefusal().GetReason())
		}
	}
}

// checked reads a report out of a frame: its number must be above the last one's,
// so that nothing that was sent before is taken again.
func (b *binder) checked(f *Frame, last uint64) (overflow.Heartbeat, error) {
	if f.GetReport() == nil {
		return overflow.Heartbeat{}, errors.New("link: not a report")
	}
	if f.Seq <= last {
		return overflow.Heartbeat{}, fmt.Errorf("%w: frame %d after %d", ErrForged, f.Seq, last)
	}
	return b.readReport(f.Seq, f.GetReport())
}

// Client sends reports to peers, over one connection to each of their controllers.
type Client struct {
	Store   *keys.Store
	Cluster string

	mu    sync.Mutex
	conns map[string]*conn
}

type conn struct {
	c   *tls.Conn
	r   *bufio.Reader
	b   *binder
	seq uint64
	// born is when the connection was made.
	born time.Time
}

// Report sends a report to a controller of a peer and waits for its answer. One
// report to an address is under way at a time; the caller sees to that. Any error
// ends the connection: an answer that comes later has no one to take it.
func (c *Client) Report(ctx context.Context, peer, addr string, r overflow.Heartbeat) (overflow.HeartbeatReply, error) {
	c.mu.Lock()
	if c.conns == nil {
		c.conns = map[string]*conn{}
	}
	x := c.conns[addr]
	delete(c.conns, addr)
	c.mu.Unlock()
	if x != nil && time.Since(x.born) > connAge {
		x.c.Close()
		x = nil
	}
	if x == nil {
		var err error
		if x, err = c.dial(ctx, peer, addr); err != nil {
			return overflow.HeartbeatReply{}, err
		}
	}
	a, err := x.report(ctx, r)
	if err != nil && !errors.Is(err, ErrNotLeader) && !errors.Is(err, ErrStale) {
		x.c.Close()
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
	return &conn{c: t, r: bufio.NewReader(t), b: b, born: time.Now()}, nil
}

func (x *conn) report(ctx context.Context, r overflow.Heartbeat) (overflow.HeartbeatReply, error) {
	if d, ok := ctx.Deadline(); ok {
		x.c.SetDeadline(d)
	}
	x.seq++
	w, err := x.b.report(x.seq, r)
	if err != nil {
		return overflow.HeartbeatReply{}, err
	}
	if _, err := protodelim.MarshalTo(x.c, &Frame{Version: Version, Seq: x.seq, Body: &Frame_Report{w}}); err != nil {
		return overflow.HeartbeatReply{}, fmt.Errorf("link: %w", err)
	}
	var f Frame
	if err := (protodelim.UnmarshalOptions{MaxSize: frameMost}).UnmarshalFrom(x.r, &f); err != nil {
		return overflow.HeartbeatReply{}, fmt.Errorf("link: %w", err)
	}
	switch {
	case f.GetRefusal() != nil:
		return overflow.HeartbeatReply{}, &Refused{f.GetRefusal().Code, f.GetRefusal().Reason}
	case f.Version != Version:
		return overflow.HeartbeatReply{}, fmt.Errorf("link: the answer has version %d, not %d", f.Version, Version)
	case f.Seq != x.seq || f.GetAnswer() == nil:
		return overflow.HeartbeatReply{}, fmt.Errorf("%w: not the answer to frame %d", ErrForged, x.seq)
	}
	return x.b.readAnswer(x.seq, f.GetAnswer())
}

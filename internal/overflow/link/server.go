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
	"time"

	"github.com/micahill/micahill/internal/certs"
	"github.com/micahill/micahill/internal/overflow"
	"google.golang.org/protobuf/encoding/protodelim"
)

const (
	// maxFrameBytes bounds one frame. It is enough for some thousand loans.
	maxFrameBytes = 4 << 20
	// maxConns bounds the connections from peers.
	maxConns = 64
	// idleTimeout is how long a connection may stay without a frame.
	idleTimeout = 2 * time.Minute
	// handshakeTimeout bounds a TLS handshake, and writeTimeout the writing of a
	// frame.
	handshakeTimeout = 3 * time.Second
	writeTimeout     = 3 * time.Second
	// acceptRetryPause keeps a failing listener, as without free file descriptors,
	// from spinning.
	acceptRetryPause = 50 * time.Millisecond
)

// Handler replies to a peer's heartbeat. The peer is told of ErrNotLeader by its
// code; any other error is sent as Code_STALE with the error's text.
type Handler func(ctx context.Context, heartbeat overflow.Heartbeat) (overflow.HeartbeatReply, error)

// Server receives the heartbeats of peers.
type Server struct {
	// Store has the cluster's certificate and the trusted CAs.
	Store   *certs.Store
	Cluster string
	// Peers are the clusters whose heartbeats are handled.
	Peers map[string]bool
	// AllowedPrefixes are the addresses from which connections are accepted.
	AllowedPrefixes []netip.Prefix
	Handle          Handler
}

// Serve accepts connections until the context ends, and returns its error. It closes
// the listener. A connection ends by itself after idleTimeout without a heartbeat.
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
			slog.Debug("overflow: accept failed", "err", err)
			time.Sleep(acceptRetryPause)
			continue
		}
		if !s.isAllowed(c.RemoteAddr()) {
			slog.Info("overflow: connection refused, address not allowed", "addr", c.RemoteAddr())
			c.Close()
			continue
		}
		select {
		case slots <- struct{}{}:
			go func() {
				defer func() { <-slots }()
				defer c.Close()
				if err := s.serveConn(ctx, tls.Server(c, s.Store.ServerConfig())); err != nil && ctx.Err() == nil {
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

// serveConn answers the frames of one connection. It returns the error that ends the
// connection: one of the network, or a refusal of an invalid frame.
func (s *Server) serveConn(ctx context.Context, c *tls.Conn) error {
	handshakeCtx, cancel := context.WithTimeout(ctx, handshakeTimeout)
	defer cancel()
	if err := c.HandshakeContext(handshakeCtx); err != nil {
		slog.Info("overflow: peer handshake failed", "addr", c.RemoteAddr(), "reason", err)
		return err
	}
	peer := certs.PeerOf(c.ConnectionState())
	b, err := newBinder(c.ConnectionState(), peer, s.Cluster)
	if err != nil {
		return err
	}
	r := bufio.NewReader(c)
	opts := protodelim.UnmarshalOptions{MaxSize: maxFrameBytes}
	for lastSeq := uint64(0); ; {
		c.SetReadDeadline(time.Now().Add(idleTimeout))
		var in Frame
		if err := opts.UnmarshalFrom(r, &in); err != nil {
			return err
		}
		out := &Frame{Version: Version, Seq: in.Seq}
		heartbeat, refusal := s.checkFrame(b, peer, &in, lastSeq)
		if refusal != nil {
			out.Body = &Frame_Refusal{refusal}
		} else {
			lastSeq = in.Seq
			if err := s.answer(ctx, b, heartbeat, out); err != nil {
				return err
			}
		}
		c.SetWriteDeadline(time.Now().Add(writeTimeout))
		if _, err := protodelim.MarshalTo(c, out); err != nil {
			return err
		}
		if refusal != nil {
			return fmt.Errorf("link: %s: %s", peer, refusal.GetReason())
		}
	}
}

// checkFrame reads a heartbeat out of a peer's frame. It returns a refusal instead if
// the frame is invalid; the connection then ends.
func (s *Server) checkFrame(b *binder, peer string, in *Frame, lastSeq uint64) (overflow.Heartbeat, *Refusal) {
	heartbeat, err := b.decodeFrame(in, lastSeq)
	switch {
	case in.Version != Version:
		return heartbeat, refusalf(Code_VERSION, "version %d is not known here; this controller speaks %d", in.Version, Version)
	case peer == "" || !s.Peers[peer]:
		return heartbeat, refusalf(Code_NOT_PEER, "cluster %q is no peer of %s", peer, s.Cluster)
	case err != nil:
		return heartbeat, refusalf(Code_FORGED, "%v", err)
	case heartbeat.From != peer:
		return heartbeat, refusalf(Code_NOT_PEER, "cluster %q speaks as %q", peer, heartbeat.From)
	}
	return heartbeat, nil
}

// answer puts the handler's reply, or its refusal, into the frame out.
func (s *Server) answer(ctx context.Context, b *binder, heartbeat overflow.Heartbeat, out *Frame) error {
	reply, err := s.Handle(ctx, heartbeat)
	switch {
	case errors.Is(err, ErrNotLeader):
		out.Body = &Frame_Refusal{refusalf(Code_NOT_LEADER, "another controller of %s answers", s.Cluster)}
		return nil
	case err != nil:
		out.Body = &Frame_Refusal{refusalf(Code_STALE, "%v", err)}
		return nil
	}
	encoded, err := b.encodeReply(out.Seq, reply)
	if err != nil {
		return err
	}
	out.Body = &Frame_Answer{encoded}
	return nil
}

func refusalf(code Code, format string, args ...any) *Refusal {
	return &Refusal{Code: code, Reason: fmt.Sprintf(format, args...)}
}

// decodeFrame reads a heartbeat out of a frame. The frame's number must be above the
// last one's, so that no earlier frame is accepted again.
func (b *binder) decodeFrame(f *Frame, lastSeq uint64) (overflow.Heartbeat, error) {
	if f.GetReport() == nil {
		return overflow.Heartbeat{}, errors.New("link: not a report")
	}
	if f.Seq <= lastSeq {
		return overflow.Heartbeat{}, fmt.Errorf("%w: frame %d after %d", ErrForged, f.Seq, lastSeq)
	}
	return b.decodeHeartbeat(f.Seq, f.GetReport())
}

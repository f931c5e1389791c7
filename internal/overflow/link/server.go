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
	// maxFrameBytes bounds the size of a frame. It suffices for a few thousand loans.
	maxFrameBytes = 4 << 20
	// maxConns bounds the number of open connections from peers.
	maxConns = 64
	// idleTimeout is how long a connection may stay open without a frame.
	idleTimeout = 2 * time.Minute
	// handshakeTimeout bounds a TLS handshake, and writeTimeout the writing of a
	// frame.
	handshakeTimeout = 3 * time.Second
	writeTimeout     = 3 * time.Second
	// acceptRetryPause is the pause after a failed accept. It avoids a busy loop while
	// accepts fail, for example because no file descriptor is free.
	acceptRetryPause = 50 * time.Millisecond
)

// Handler returns the reply to a peer's heartbeat. An error refuses the heartbeat:
// ErrNotLeader is sent to the peer as Code_NOT_LEADER, and any other error as Code_STALE
// with the error's text.
type Handler func(ctx context.Context, heartbeat overflow.Heartbeat) (overflow.HeartbeatReply, error)

// Server accepts connections from peers and answers their heartbeats.
type Server struct {
	// Store has the cluster's certificate and the trusted CAs.
	Store   *certs.Store
	Cluster string
	// Peers are the clusters whose heartbeats are accepted.
	Peers map[string]bool
	// AllowedPrefixes are the address ranges from which connections are accepted.
	AllowedPrefixes []netip.Prefix
	// Handle is called for every valid heartbeat, concurrently for several
	// connections.
	Handle Handler
}

// Serve accepts connections until the context ends. It then closes the listener and
// returns the context's error. Connections that are open by then end after idleTimeout
// without a heartbeat.
func (server *Server) Serve(ctx context.Context, listener net.Listener) error {
	go func() {
		<-ctx.Done()
		listener.Close()
	}()
	slots := make(chan struct{}, maxConns)
	for {
		conn, err := listener.Accept()
		if ctx.Err() != nil {
			return ctx.Err()
		}
		if err != nil {
			slog.Debug("overflow: accept failed", "err", err)
			time.Sleep(acceptRetryPause)
			continue
		}
		if !server.isAllowed(conn.RemoteAddr()) {
			slog.Info("overflow: connection refused, address not allowed", "addr", conn.RemoteAddr())
			conn.Close()
			continue
		}
		select {
		case slots <- struct{}{}:
			go func() {
				defer func() { <-slots }()
				defer conn.Close()
				if err := server.serveConn(ctx, tls.Server(conn, server.Store.ServerConfig())); err != nil && ctx.Err() == nil {
					slog.Debug("overflow: connection ended", "addr", conn.RemoteAddr(), "err", err)
				}
			}()
		default:
			conn.Close()
		}
	}
}

// isAllowed reports whether the address is in one of AllowedPrefixes.
func (server *Server) isAllowed(addr net.Addr) bool {
	addrPort, err := netip.ParseAddrPort(addr.String())
	if err != nil {
		return false
	}
	for _, prefix := range server.AllowedPrefixes {
		if prefix.Contains(addrPort.Addr().Unmap()) {
			return true
		}
	}
	return false
}

// serveConn answers the frames of one connection until an error ends the connection, and
// returns that error: a network error, or the refusal of an invalid frame.
func (server *Server) serveConn(ctx context.Context, conn *tls.Conn) error {
	handshakeCtx, cancel := context.WithTimeout(ctx, handshakeTimeout)
	defer cancel()
	if err := conn.HandshakeContext(handshakeCtx); err != nil {
		slog.Info("overflow: peer handshake failed", "addr", conn.RemoteAddr(), "reason", err)
		return err
	}
	peer := certs.PeerOf(conn.ConnectionState())
	binder, err := newBinder(conn.ConnectionState(), peer, server.Cluster)
	if err != nil {
		return err
	}
	reader := bufio.NewReader(conn)
	options := protodelim.UnmarshalOptions{MaxSize: maxFrameBytes}
	for lastSeq := uint64(0); ; {
		conn.SetReadDeadline(time.Now().Add(idleTimeout))
		var request Frame
		if err := options.UnmarshalFrom(reader, &request); err != nil {
			return err
		}
		response := &Frame{Version: Version, Seq: request.Seq}
		heartbeat, refusal := server.checkFrame(binder, peer, &request, lastSeq)
		if refusal != nil {
			response.Body = &Frame_Refusal{refusal}
		} else {
			lastSeq = request.Seq
			if err := server.answer(ctx, binder, heartbeat, response); err != nil {
				return err
			}
		}
		conn.SetWriteDeadline(time.Now().Add(writeTimeout))
		if _, err := protodelim.MarshalTo(conn, response); err != nil {
			return err
		}
		if refusal != nil {
			return fmt.Errorf("link: %s: %s", peer, refusal.GetReason())
		}
	}
}

// checkFrame decodes and checks the heartbeat of a peer's frame. If the frame is invalid,
// checkFrame returns a refusal, after which the caller closes the connection. lastSeq is
// the sequence number of the connection's last valid frame.
func (server *Server) checkFrame(binder *binder, peer string, frame *Frame, lastSeq uint64) (overflow.Heartbeat, *Refusal) {
	heartbeat, err := binder.decodeFrame(frame, lastSeq)
	switch {
	case frame.Version != Version:
		return heartbeat, refusalf(Code_VERSION, "version %d is not known here; this controller speaks %d", frame.Version, Version)
	case peer == "" || !server.Peers[peer]:
		return heartbeat, refusalf(Code_NOT_PEER, "cluster %q is no peer of %s", peer, server.Cluster)
	case err != nil:
		return heartbeat, refusalf(Code_FORGED, "%v", err)
	case heartbeat.From != peer:
		return heartbeat, refusalf(Code_NOT_PEER, "cluster %q speaks as %q", peer, heartbeat.From)
	}
	return heartbeat, nil
}

// answer sets the body of the response to the handler's reply or refusal.
func (server *Server) answer(ctx context.Context, binder *binder, heartbeat overflow.Heartbeat, response *Frame) error {
	reply, err := server.Handle(ctx, heartbeat)
	switch {
	case errors.Is(err, ErrNotLeader):
		response.Body = &Frame_Refusal{refusalf(Code_NOT_LEADER, "another controller of %s answers", server.Cluster)}
		return nil
	case err != nil:
		response.Body = &Frame_Refusal{refusalf(Code_STALE, "%v", err)}
		return nil
	}
	encoded, err := binder.encodeReply(response.Seq, reply)
	if err != nil {
		return err
	}
	response.Body = &Frame_Answer{encoded}
	return nil
}

// refusalf returns a refusal with a formatted reason.
func refusalf(code Code, format string, args ...any) *Refusal {
	return &Refusal{Code: code, Reason: fmt.Sprintf(format, args...)}
}

// decodeFrame decodes and verifies the heartbeat of a frame. The frame's sequence number
// must be above lastSeq, so that no frame is accepted twice.
func (binder *binder) decodeFrame(frame *Frame, lastSeq uint64) (overflow.Heartbeat, error) {
	if frame.GetReport() == nil {
		return overflow.Heartbeat{}, errors.New("link: not a report")
	}
	if frame.Seq <= lastSeq {
		return overflow.Heartbeat{}, fmt.Errorf("%w: frame %d after %d", ErrForged, frame.Seq, lastSeq)
	}
	return binder.decodeHeartbeat(frame.Seq, frame.GetReport())
}

// Package peer carries news between controllers: length-delimited protobuf
// over TCP. News is for display and for wishes; it may be lost or late.
package peer

import (
	"bufio"
	"context"
	"fmt"
	"log/slog"
	"net"
	"time"

	"github.com/micahill/micahill/internal/core"
	"github.com/micahill/micahill/internal/ports"
	"google.golang.org/protobuf/encoding/protodelim"
	"google.golang.org/protobuf/proto"
)

const (
	// queueLen bounds what waits for a slow peer; older news is dropped.
	queueLen = 32
	// dialTimeout, writeTimeout: a silent host must not hold a sender long.
	dialTimeout  = 2 * time.Second
	writeTimeout = 3 * time.Second
	// idleTimeout ends a connection on which nothing came for long.
	idleTimeout = 2 * time.Minute
	// redialPause separates tries to reach a peer.
	redialPause = time.Second
	// maxMessage bounds one message.
	maxMessage = 1 << 20
	// maxPeerConns bounds accepted connections.
	maxPeerConns = 32
)

// Net sends to the peers and listens for them.
type Net struct {
	queues map[string]chan core.PeerUpdate
}

// Start begins to send to the peers, by name and address.
func Start(ctx context.Context, peers map[string]string) *Net {
	n := &Net{queues: map[string]chan core.PeerUpdate{}}
	for name, addr := range peers {
		q := make(chan core.PeerUpdate, queueLen)
		n.queues[name] = q
		go send(ctx, addr, q)
	}
	return n
}

// Send queues news for a peer, dropping the oldest when the queue is full.
func (n *Net) Send(to string, news core.PeerUpdate) {
	q := n.queues[to]
	for q != nil {
		select {
		case q <- news:
			return
		default:
		}
		select {
		case <-q:
		default:
		}
	}
}

func send(ctx context.Context, addr string, q chan core.PeerUpdate) {
	var conn net.Conn
	var last time.Time
	defer func() {
		if conn != nil {
			conn.Close()
		}
	}()
	for {
		var news core.PeerUpdate
		select {
		case <-ctx.Done():
			return
		case news = <-q:
		}
		if conn == nil {
			if time.Since(last) < redialPause {
				continue
			}
			last = time.Now()
			c, err := (&net.Dialer{Timeout: dialTimeout}).DialContext(ctx, "tcp", addr)
			if err != nil {
				slog.Debug("peer not reached", "addr", addr, "err", err)
				continue
			}
			c.SetWriteDeadline(time.Now().Add(writeTimeout))
			if _, err := c.Write([]byte{hello}); err != nil {
				c.Close()
				continue
			}
			conn = c
		}
		m := wire(news)
		if size := proto.Size(m); size > maxMessage {
			// It would end the connection at the other end. What is in it is bounded by
			// whoever makes it, so this is a defect.
			slog.Error("news to a controller is too large", "addr", addr, "bytes", size, "most", maxMessage)
			continue
		}
		conn.SetWriteDeadline(time.Now().Add(writeTimeout))
		if _, err := protodelim.MarshalTo(conn, m); err != nil {
			slog.Debug("peer lost", "addr", addr, "err", err)
			conn.Close()
			conn = nil
		}
	}
}

// hello is the first byte of a peer's connection. Anything else that connects
// here, an operator's tool, speaks HTTP, which never begins with it.
const hello = 0

// Listen takes news from peers and hands it to post. Connections that are not
// a peer's come out of the listener it returns.
func Listen(ctx context.Context, addr string, post func(core.PeerUpdate)) (net.Listener, error) {
	ln, err := ports.Listen(ctx, "back", addr)
	if err != nil {
		return nil, fmt.Errorf("peer: %w", err)
	}
	free := make(chan struct{}, maxPeerConns)
	rest := &others{addr: ln.Addr(), conns: make(chan net.Conn), done: ctx.Done()}
	go func() {
		<-ctx.Done()
		ln.Close()
	}()
	go func() {
		for {
			conn, err := ln.Accept()
			if err != nil {
				if ctx.Err() != nil {
					return
				}
				time.Sleep(50 * time.Millisecond)
				continue
			}
			select {
			case free <- struct{}{}:
				go func() {
					accept(conn, post, rest)
					<-free
				}()
			default:
				conn.Close()
			}
		}
	}()
	return rest, nil
}

// accept tells a peer from others by the first byte.
func accept(conn net.Conn, post func(core.PeerUpdate), rest *others) {
	conn.SetReadDeadline(time.Now().Add(idleTimeout))
	r := bufio.NewReader(conn)
	first, err := r.Peek(1)
	if err != nil {
		conn.Close()
		return
	}
	if first[0] == hello {
		r.Discard(1)
		receive(conn, r, post)
		return
	}
	conn.SetReadDeadline(time.Time{})
	select {
	case rest.conns <- &peeked{conn, r}:
	case <-rest.done:
		conn.Close()
	}
}

// peeked is a connection whose first bytes have been read already.
type peeked struct {
	net.Conn
	r *bufio.Reader
}

func (p *peeked) Read(b []byte) (int, error) { return p.r.Read(b) }

// others is a listener for the connections that are not a peer's.
type others struct {
	addr  net.Addr
	conns chan net.Conn
	done  <-chan struct{}
}

func (o *others) Accept() (net.Conn, error) {
	select {
	case c := <-o.conns:
		return c, nil
	case <-o.done:
		return nil, net.ErrClosed
	}
}

func (o *others) Close() error   { return nil }
func (o *others) Addr() net.Addr { return o.addr }

func receive(conn net.Conn, r *bufio.Reader, post func(core.PeerUpdate)) {
	defer conn.Close()
	opts := protodelim.UnmarshalOptions{MaxSize: maxMessage}
	for {
		conn.SetReadDeadline(time.Now().Add(idleTimeout))
		var m News
		if err := opts.UnmarshalFrom(r, &m); err != nil {
			return
		}
		post(m.core())
	}
}

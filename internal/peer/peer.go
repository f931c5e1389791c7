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
	"google.golang.org/protobuf/encoding/protodelim"
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
	queues map[string]chan core.PeerNews
}

// Start begins to send to the peers, by name and address.
func Start(ctx context.Context, peers map[string]string) *Net {
	n := &Net{queues: map[string]chan core.PeerNews{}}
	for name, addr := range peers {
		q := make(chan core.PeerNews, queueLen)
		n.queues[name] = q
		go send(ctx, addr, q)
	}
	return n
}

// Send queues news for a peer, dropping the oldest when the queue is full.
func (n *Net) Send(to string, news core.PeerNews) {
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

func send(ctx context.Context, addr string, q chan core.PeerNews) {
	var conn net.Conn
	var last time.Time
	defer func() {
		if conn != nil {
			conn.Close()
		}
	}()
	for {
		var news core.PeerNews
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
			conn = c
		}
		conn.SetWriteDeadline(time.Now().Add(writeTimeout))
		if _, err := protodelim.MarshalTo(conn, wire(news)); err != nil {
			slog.Debug("peer lost", "addr", addr, "err", err)
			conn.Close()
			conn = nil
		}
	}
}

// Listen takes news from peers and hands it to post.
func Listen(ctx context.Context, addr string, post func(core.PeerNews)) error {
	ln, err := (&net.ListenConfig{}).Listen(ctx, "tcp", addr)
	if err != nil {
		return fmt.Errorf("peer: %w", err)
	}
	free := make(chan struct{}, maxPeerConns)
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
					receive(conn, post)
					<-free
				}()
			default:
				conn.Close()
			}
		}
	}()
	return nil
}

func receive(conn net.Conn, post func(core.PeerNews)) {
	defer conn.Close()
	r := bufio.NewReader(conn)
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

func wire(n core.PeerNews) *News {
	m := &News{From: n.From, Idle: n.Idle}
	for _, p := range n.Progress {
		m.Progress = append(m.Progress, &Progress{Id: p.ID, Done: int64(p.Done), Running: int64(p.Running)})
	}
	for _, w := range n.Wants {
		m.Wants = append(m.Wants, &Want{Flavour: w.Flavour, Zone: w.Zone, Spot: w.Spot, Count: int64(w.Count)})
	}
	for _, l := range n.Loads {
		m.Loads = append(m.Loads, &Load{Workload: l.Workload, Rate: l.Rate, Ratio: l.Ratio, Dev: l.Dev, Samples: int64(l.Samples)})
	}
	return m
}

func (m *News) core() core.PeerNews {
	n := core.PeerNews{From: m.From, Idle: m.Idle}
	for _, p := range m.Progress {
		n.Progress = append(n.Progress, core.Progress{ID: p.Id, Done: int(p.Done), Running: int(p.Running)})
	}
	for _, w := range m.Wants {
		n.Wants = append(n.Wants, core.Want{Flavour: w.Flavour, Zone: w.Zone, Spot: w.Spot, Count: int(w.Count)})
	}
	for _, l := range m.Loads {
		n.Loads = append(n.Loads, core.Load{Workload: l.Workload, Rate: l.Rate, Ratio: l.Ratio, Dev: l.Dev, Samples: int(l.Samples)})
	}
	return n
}

package peer

import (
	"context"
	"fmt"
	"net"
	"net/netip"
	"sync/atomic"

	"github.com/chervilladder/chervilladder"
)

// maxDatagramBytes bounds a datagram that is read.
const maxDatagramBytes = 8 << 10

// Gossip sends and receives datagrams over UDP. It implements
// chervilladder.Gossip.
type Gossip struct {
	conn    *net.UDPConn
	key     Key
	buffer  [maxDatagramBytes]byte
	dropped func(error)
	stats   gossipCounters
}

// GossipConfig configures a Gossip.
type GossipConfig struct {
	// Address is the address at which peers reach the VM.
	Address chervilladder.Address
	Key     Key
	// Dropped is called for each datagram that couldn't be decoded; may be nil.
	Dropped func(error)
}

// GossipStats counts the datagrams of a Gossip. It is published by expvar.Func.
type GossipStats struct {
	Sent          uint64 `json:"sent"`
	Received      uint64 `json:"received"`
	Dropped       uint64 `json:"dropped"`
	BytesSent     uint64 `json:"bytes-sent"`
	BytesReceived uint64 `json:"bytes-received"`
}

type gossipCounters struct {
	sent, received, dropped, bytesSent, bytesReceived atomic.Uint64
}

var _ chervilladder.Gossip = (*Gossip)(nil)

// NewGossip opens the socket.
func NewGossip(c GossipConfig) (*Gossip, error) {
	a, err := netip.ParseAddrPort(string(c.Address))
	if err != nil {
		return nil, fmt.Errorf("peer: gossip: %w; give an IP address and a port", err)
	}
	conn, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(a))
	if err != nil {
		return nil, fmt.Errorf("peer: gossip: %w", err)
	}
	if c.Dropped == nil {
		c.Dropped = func(error) {}
	}
	return &Gossip{conn: conn, key: c.Key, dropped: c.Dropped}, nil
}

// Close closes the socket.
func (g *Gossip) Close() error { return g.conn.Close() }

// Stats returns the counts since the socket was opened.
func (g *Gossip) Stats() GossipStats {
	return GossipStats{
		Sent:          g.stats.sent.Load(),
		Received:      g.stats.received.Load(),
		Dropped:       g.stats.dropped.Load(),
		BytesSent:     g.stats.bytesSent.Load(),
		BytesReceived: g.stats.bytesReceived.Load(),
	}
}

// Send sends a message. It doesn't wait for its receipt, and the message may be lost.
func (g *Gossip) Send(to chervilladder.Address, m chervilladder.GossipMessage) error {
	a, err := netip.ParseAddrPort(string(to))
	if err != nil {
		return fmt.Errorf("peer %s: %w", to, err)
	}
	data, err := EncodeDatagram(g.key, m)
	if err != nil {
		return err
	}
	g.stats.sent.Add(1)
	g.stats.bytesSent.Add(uint64(len(data)))
	if _, err := g.conn.WriteToUDPAddrPort(data, a); err != nil {
		return fmt.Errorf("peer %s: %w", to, err)
	}
	return nil
}

// Receive waits for the next valid message. Only one goroutine may call it. It closes
// the socket when the context ends.
func (g *Gossip) Receive(ctx context.Context) (chervilladder.Address, chervilladder.GossipMessage, error) {
	stop := context.AfterFunc(ctx, func() { _ = g.conn.Close() })
	defer stop()
	for {
		n, a, err := g.conn.ReadFromUDPAddrPort(g.buffer[:])
		if err != nil {
			return "", chervilladder.GossipMessage{}, fmt.Errorf("peer: gossip: %w", err)
		}
		from := chervilladder.Address(netip.AddrPortFrom(a.Addr().Unmap(), a.Port()).String())
		g.stats.received.Add(1)
		g.stats.bytesReceived.Add(uint64(n))
		m, err := DecodeDatagram(g.key, g.buffer[:n])
		if err != nil {
			g.stats.dropped.Add(1)
			g.dropped(&DatagramError{From: from, Err: err})
			continue
		}
		return from, m, nil
	}
}

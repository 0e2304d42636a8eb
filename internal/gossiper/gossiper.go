package gossiper

import (
	"context"
	"errors"
	"net"
	"net/netip"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/rs/zerolog"
)

// maxDatagram is the size of the receive buffer in bytes, enough for any UDP
// datagram.
const maxDatagram = 64 << 10

// Envelope is a message and the ip:port addresses of its receivers.
type Envelope[M any] struct {
	Receivers []string
	Message   M
}

// Config configures a Gossiper.
type Config[M any] struct {
	// Address is the ip:port to listen on and to send from.
	Address string
	// Interval is the time between two rounds of messages.
	Interval time.Duration
	// Compose returns the messages to send.
	Compose func(now time.Time) []Envelope[M]
	// Handle processes a message of a peer. Calls do not overlap.
	Handle func(now time.Time, from netip.AddrPort, message M)
	Now    func() time.Time
	Log    zerolog.Logger
}

// Gossiper sends and receives messages of type M.
type Gossiper[M any] struct {
	cfg     Config[M]
	conn    *net.UDPConn
	encoder cbor.EncMode
}

// Listen opens the socket.
func Listen[M any](cfg Config[M]) (*Gossiper[M], error) {
	mode, err := cbor.EncOptions{ShortestFloat: cbor.ShortestFloat16}.EncMode()
	if err != nil {
		return nil, err
	}
	address, err := net.ResolveUDPAddr("udp4", cfg.Address)
	if err != nil {
		return nil, err
	}
	conn, err := net.ListenUDP("udp4", address)
	if err != nil {
		return nil, err
	}
	return &Gossiper[M]{cfg: cfg, conn: conn, encoder: mode}, nil
}

// Send composes and sends messages at once. Invalid addresses are logged and
// skipped.
func (g *Gossiper[M]) Send() {
	for _, envelope := range g.cfg.Compose(g.cfg.Now()) {
		encoded, err := g.encoder.Marshal(envelope.Message)
		if err != nil {
			g.cfg.Log.Error().Str("event", "gossip_not_encoded").Err(err).Send()
			continue
		}
		for _, receiver := range envelope.Receivers {
			address, err := netip.ParseAddrPort(receiver)
			if err != nil {
				g.cfg.Log.Warn().Str("event", "peer_address_invalid").Str("address", receiver).Err(err).Send()
				continue
			}
			if _, err := g.conn.WriteToUDPAddrPort(encoded, address); err != nil && !errors.Is(err, net.ErrClosed) {
				g.cfg.Log.Debug().Str("event", "gossip_not_sent").Str("peer", receiver).Err(err).Send()
			}
		}
	}
}

// Run sends and receives until ctx ends, and closes the socket.
func (g *Gossiper[M]) Run(ctx context.Context) error {
	stop := context.AfterFunc(ctx, func() { _ = g.conn.Close() })
	defer stop()
	go g.sendLoop(ctx)
	buffer := make([]byte, maxDatagram)
	for {
		n, from, err := g.conn.ReadFromUDPAddrPort(buffer)
		if ctx.Err() != nil {
			return nil
		}
		if err != nil {
			// A datagram that a peer's machine refused is reported by the next
			// call on the socket.
			continue
		}
		var message M
		if err := cbor.Unmarshal(buffer[:n], &message); err != nil {
			g.cfg.Log.Warn().Str("event", "gossip_invalid").Stringer("peer", from).Err(err).Send()
			continue
		}
		g.cfg.Handle(g.cfg.Now(), from, message)
	}
}

func (g *Gossiper[M]) sendLoop(ctx context.Context) {
	ticker := time.NewTicker(g.cfg.Interval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			g.Send()
		}
	}
}

package emulator

import (
	"net"
	"sync"
	"sync/atomic"
)

// Listener accepts connections that can go silent: they stay open and nothing passes, in
// either direction, while new connections work.
type Listener struct {
	net.Listener
	mu    sync.Mutex
	conns []*silentConn
}

// NewListener returns a Listener that accepts the connections of inner.
func NewListener(inner net.Listener) *Listener { return &Listener{Listener: inner} }

// Accept returns the next connection.
func (l *Listener) Accept() (net.Conn, error) {
	inner, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	conn := &silentConn{Conn: inner}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.conns = append(l.conns, conn)
	return conn, nil
}

// Silence makes all connections that were accepted so far silent for good.
func (l *Listener) Silence() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, conn := range l.conns {
		conn.silent.Store(true)
	}
	l.conns = nil
}

type silentConn struct {
	net.Conn
	silent atomic.Bool
}

// Read discards what arrives at a silent connection.
func (c *silentConn) Read(p []byte) (int, error) {
	for {
		n, err := c.Conn.Read(p)
		if err != nil || !c.silent.Load() {
			return n, err
		}
	}
}

// Write discards what is written to a silent connection.
func (c *silentConn) Write(p []byte) (int, error) {
	if c.silent.Load() {
		return len(p), nil
	}
	return c.Conn.Write(p)
}

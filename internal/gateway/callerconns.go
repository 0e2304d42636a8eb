package gateway

import (
	"cmp"
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/joomcode/errorx"
	"github.com/rs/zerolog"

	"github.com/galenahitch/galenahitch/internal/measurer"
	"github.com/galenahitch/galenahitch/pkg/evictor"
)

const (
	// callerDescriptorShare is the share of the process's sockets that callers may use. The
	// rest is for upstreams, the store and other entries. fileDescriptors are not sockets.
	callerDescriptorShare = 0.5
	fileDescriptors       = 200
	// callerMemoryShare is the share of the process's memory that the connections of callers
	// may hold, each of them up to callerConnMemory: buffers, goroutines, the header and a
	// body that does not count in requestMemory.
	callerMemoryShare = 0.35
	callerConnMemory  = 48 << 10
	// maxOtherConns bounds the connections of each other listener: readiness checks and
	// metrics.
	maxOtherConns = 64
	// evictionLogInterval is the shortest time between two log lines about evictions.
	evictionLogInterval = time.Second
)

// maxCallerConns returns how many connections of callers the process bears.
func (cfg *Config) maxCallerConns() int {
	if cfg.MaxCallerConns > 0 {
		return cfg.MaxCallerConns
	}
	limit := int(callerMemoryShare * float64(cmp.Or(cfg.Memory, defaultMemory)) / callerConnMemory)
	if sockets := cfg.MaxDescriptors - fileDescriptors; sockets > 0 {
		limit = min(limit, int(callerDescriptorShare*float64(sockets)))
	}
	return max(1, limit)
}

// checkMaxCallerConns returns an error for a limit that does not leave the descriptors that are
// reserved for files and one for an upstream.
func (cfg *Config) checkMaxCallerConns() error {
	if cfg.MaxDescriptors > 0 && cfg.MaxCallerConns > 0 && cfg.MaxCallerConns >= cfg.MaxDescriptors-fileDescriptors {
		return errorx.IllegalArgument.New("%d connections of callers leave no descriptor for upstreams: of %d, %d are reserved for files", cfg.MaxCallerConns, cfg.MaxDescriptors, fileDescriptors)
	}
	return nil
}

// connListener accepts connections within a limit. If there are too many it closes the one
// that evictor.Evictor chooses, or the new one.
type connListener struct {
	net.Listener
	name    string
	now     func() time.Time
	metrics *measurer.Metrics
	log     zerolog.Logger

	mu      sync.Mutex
	evictor *evictor.Evictor
	conns   map[evictor.ID]*callerConn
	lastID  evictor.ID
	// evicted and refused count since loggedAt.
	evicted, refused int
	loggedAt         time.Time
}

func (g *Gateway) newConnListener(l net.Listener, name string, maxConns int) *connListener {
	return &connListener{
		Listener: l, name: name, now: g.cfg.Now, metrics: g.metrics, log: g.cfg.Log,
		evictor: evictor.New(evictor.Config{MaxConnections: maxConns}), conns: map[evictor.ID]*callerConn{},
	}
}

// Accept returns the next connection for which there is room.
func (l *connListener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		accepted, victim := l.add(conn)
		if victim != nil {
			// Its handler gets an error from its next read.
			_ = victim.Conn.Close()
		}
		if accepted != nil {
			return accepted, nil
		}
		_ = conn.Close()
	}
}

// add returns nil if there is no room for a connection, and the one that is closed for it.
func (l *connListener) add(conn net.Conn) (accepted, victim *callerConn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.now()
	l.lastID++
	decision := l.evictor.Add(now, l.lastID)
	if decision.Evicted {
		victim = l.conns[decision.Victim]
		delete(l.conns, decision.Victim)
		l.evicted++
		l.metrics.Count("connections_evicted_" + l.name)
	}
	if decision.Accepted {
		accepted = &callerConn{Conn: conn, listener: l, id: l.lastID}
		l.conns[l.lastID] = accepted
	} else {
		l.refused++
		l.metrics.Count("connections_refused_" + l.name)
	}
	if l.evicted+l.refused > 0 && now.Sub(l.loggedAt) >= evictionLogInterval {
		l.log.Warn().Str("event", "connections_limited").Str("listener", l.name).Int("open", l.evictor.Len()).Int("evicted", l.evicted).Int("refused", l.refused).Send()
		l.evicted, l.refused, l.loggedAt = 0, 0, now
	}
	return accepted, victim
}

// callerConn is a connection whose progress is recorded.
type callerConn struct {
	net.Conn
	listener *connListener
	id       evictor.ID
}

// Read returns an error if the connection was evicted, so that nothing that arrived at that
// moment is passed on.
func (c *callerConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	l := c.listener
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.evictor.RecordBytes(l.now(), c.id, n) {
		return 0, net.ErrClosed
	}
	return n, err
}

func (c *callerConn) Close() error {
	l := c.listener
	l.mu.Lock()
	l.evictor.Remove(c.id)
	delete(l.conns, c.id)
	l.mu.Unlock()
	return c.Conn.Close()
}

// CloseWrite closes a TCP connection for writing, as net/http does before it closes a connection
// with an unread request.
func (c *callerConn) CloseWrite() error {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return nil
}

// setPhase records what the connection is used for. It returns false if it was evicted.
func (c *callerConn) setPhase(phase evictor.Phase) bool {
	c.listener.mu.Lock()
	defer c.listener.mu.Unlock()
	return c.listener.evictor.SetPhase(c.listener.now(), c.id, phase)
}

// recordConnState is the ConnState hook of servers with a connListener.
func recordConnState(conn net.Conn, state http.ConnState) {
	c, ok := conn.(*callerConn)
	switch {
	case !ok:
	case state == http.StateActive:
		c.setPhase(evictor.Receiving)
	case state == http.StateIdle:
		c.setPhase(evictor.Idle)
	}
}

// callerConnKey is the key of a caller's connection in the context of its requests.
type callerConnKey struct{}

// serveOn records that the connection of a request is used to serve it, so that it is not
// evicted any more. It returns false if it was evicted.
func serveOn(ctx context.Context) bool {
	c, ok := ctx.Value(callerConnKey{}).(*callerConn)
	return !ok || c.setPhase(evictor.Serving)
}

package evictor

import "time"

const (
	// minStall is the shortest time without progress after which a connection may be closed.
	minStall = time.Second
	// minProgress is the number of bytes that count as progress. A caller that sends single
	// bytes makes none until it has sent that many.
	minProgress = 1024
)

// Phase is what a connection is used for.
type Phase int

// The phases. A new connection is receiving.
const (
	Receiving Phase = iota
	Serving
	Idle
)

// Config configures an Evictor.
type Config struct {
	// MaxConnections is the largest number of connections; zero means no limit.
	MaxConnections int
}

// ID identifies a connection.
type ID uint64

type conn struct {
	phase Phase
	// progressAt is when the phase began or minProgress bytes had arrived, bytes the number
	// since then.
	progressAt time.Time
	bytes      int
}

// Evictor keeps the phases of connections. It is not safe for concurrent use.
type Evictor struct {
	cfg   Config
	conns map[ID]*conn
}

// New returns an Evictor without connections.
func New(cfg Config) *Evictor { return &Evictor{cfg: cfg, conns: map[ID]*conn{}} }

// Len returns the number of connections.
func (e *Evictor) Len() int { return len(e.conns) }

// Decision says what happens to a new connection.
type Decision struct {
	// Accepted says that the connection was added.
	Accepted bool
	// Evicted says that Victim was removed for it.
	Evicted bool
	Victim  ID
}

// Add adds a connection, unless there are too many and none may be closed for it.
func (e *Evictor) Add(now time.Time, id ID) Decision {
	d := Decision{Accepted: true}
	if e.cfg.MaxConnections > 0 && len(e.conns) >= e.cfg.MaxConnections {
		d.Victim, d.Evicted = e.victim(now)
		if !d.Evicted {
			return Decision{}
		}
		delete(e.conns, d.Victim)
	}
	e.conns[id] = &conn{progressAt: now}
	return d
}

// victim returns the connection that is closed first. It returns false if there is none.
func (e *Evictor) victim(now time.Time) (ID, bool) {
	var best ID
	var bestConn *conn
	for id, c := range e.conns {
		if c.phase == Serving || now.Sub(c.progressAt) < minStall {
			continue
		}
		if bestConn == nil || c.goesBefore(bestConn) {
			best, bestConn = id, c
		}
	}
	return best, bestConn != nil
}

func (c *conn) goesBefore(other *conn) bool {
	if c.phase != other.phase {
		return c.phase == Receiving
	}
	return c.progressAt.Before(other.progressAt)
}

// SetPhase records that a connection enters a phase. It returns false if the connection was
// removed.
func (e *Evictor) SetPhase(now time.Time, id ID, phase Phase) bool {
	c, ok := e.conns[id]
	if ok && c.phase != phase {
		*c = conn{phase: phase, progressAt: now}
	}
	return ok
}

// RecordBytes records that a connection has received bytes. It returns false if the
// connection was removed.
func (e *Evictor) RecordBytes(now time.Time, id ID, n int) bool {
	c, ok := e.conns[id]
	if !ok {
		return false
	}
	if c.bytes += n; c.bytes >= minProgress {
		c.progressAt, c.bytes = now, 0
	}
	return true
}

// Remove removes a connection that was closed.
func (e *Evictor) Remove(id ID) { delete(e.conns, id) }

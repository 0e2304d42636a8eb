package pooler

import (
	"bufio"
	"cmp"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"syscall"
	"time"

	"github.com/galenahitch/galenahitch/internal/rationer"
	"github.com/galenahitch/galenahitch/pkg/judge"
)

const (
	// readBufferBytes holds the header of a response and its first events.
	readBufferBytes = 4 << 10
	// keepAliveIdle and keepAliveCount detect an unreachable peer within about
	// four seconds.
	keepAliveIdle  = time.Second
	keepAliveCount = 3
	// unackedTimeout closes a connection whose peer acknowledges no data.
	unackedTimeout = 1500 * time.Millisecond
	// maxHeadBytes limits the heads of the responses to one request, interim and
	// foreign ones included. A head of many short fields takes some 20 times its size
	// in memory.
	maxHeadBytes = 16 << 10
	headMemory   = 20
	// smallHeadBytes of a head are not counted in the memory that responses share.
	smallHeadBytes = readBufferBytes
	// maxBodyBytes limits the body of a response.
	maxBodyBytes = 64 << 20
	// maxForeignBytes limits the body of a response to another request, which is
	// skipped.
	maxForeignBytes = 1 << 20
	// maxForeignResponses limits the number of such responses.
	maxForeignResponses = 3
)

var (
	errHeadTooLarge = errors.New("the head of the response is too large")
	errBodyTooLarge = errors.New("the body of the response is too large")
	errNoMemory     = errors.New("the heads of responses hold too much memory")
)

// headLimiter reads from a connection. While a head is read, left is the number of
// further bytes that it may have. A long one takes a ration of the memory that responses
// share.
type headLimiter struct {
	conn        net.Conn
	ration      *rationer.Ration
	readingHead bool
	left        int
	// starved reports that there was no memory.
	starved bool
}

// Read reads no more of a head than it may have.
func (l *headLimiter) Read(b []byte) (int, error) {
	if !l.readingHead {
		return l.conn.Read(b)
	}
	if l.left <= 0 {
		return 0, errHeadTooLarge
	}
	n, err := l.conn.Read(b[:min(len(b), l.left)])
	l.left -= n
	if counted := min(n, maxHeadBytes-smallHeadBytes-l.left); counted > 0 && !l.ration.Grow(counted*headMemory) {
		l.starved = true
		return 0, errNoMemory
	}
	return n, err
}

// conn is one connection to an upstream.
type conn struct {
	net.Conn
	ordered *orderedConn
	limiter *headLimiter
	reader  *bufio.Reader
	// sending is the write of the last request. longSend reports that the timeout of
	// the connection is that of a long one.
	sending  *sending
	longSend bool
	// idleUntil is when the upstream may close the connection, usedAt when the last response
	// over it ended, zero if there was none.
	idleUntil time.Time
	usedAt    time.Time
}

// DialerConfig configures a dialer.
type DialerConfig struct {
	// LocalIP is the local address of connections. Empty means any.
	LocalIP string
	// Timeout limits the opening of a connection.
	Timeout time.Duration
	// UnackedTimeout is the time after which a connection whose peer acknowledges no data
	// is closed. Zero means 1.5 s.
	UnackedTimeout time.Duration
}

// NewDialer returns a dialer for connections that do not hang: TCP keep-alive
// and the TCP user timeout close a connection whose peer is unreachable.
func NewDialer(cfg DialerConfig) *net.Dialer {
	unacked := cmp.Or(cfg.UnackedTimeout, unackedTimeout)
	dialer := &net.Dialer{
		Timeout:         cfg.Timeout,
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: keepAliveIdle, Interval: keepAliveIdle, Count: keepAliveCount},
		Control: func(_, _ string, raw syscall.RawConn) error {
			var optionErr error
			if err := raw.Control(func(fd uintptr) {
				optionErr = setUnackedTimeout(int(fd), unacked)
			}); err != nil {
				return err
			}
			return optionErr
		},
	}
	if cfg.LocalIP != "" {
		dialer.LocalAddr = &net.TCPAddr{IP: net.ParseIP(cfg.LocalIP)}
	}
	return dialer
}

func (p *Pool) dial(ctx context.Context, address string) (*conn, error) {
	raw, err := p.dialer.DialContext(ctx, "tcp4", address)
	if err != nil {
		return nil, judge.Wrap(judge.NotRun, err, "connect to %s", address)
	}
	ordered := &orderedConn{Conn: raw}
	limiter := &headLimiter{conn: ordered, ration: p.cfg.Memory.Ration()}
	return &conn{Conn: ordered, ordered: ordered, limiter: limiter, reader: bufio.NewReaderSize(limiter, readBufferBytes)}, nil
}

// isClean reports whether an idle connection is open and has received no bytes.
// Such bytes would belong to no request.
func (c *conn) isClean() bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	raw, err := c.ordered.SyscallConn()
	if err != nil {
		return false
	}
	quiet := false
	var one [1]byte
	if err := raw.Read(func(fd uintptr) bool {
		_, _, err := syscall.Recvfrom(int(fd), one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		quiet = errors.Is(err, syscall.EAGAIN)
		return true
	}); err != nil {
		return false
	}
	return quiet
}

// receive reads responses until one has the ID of the request. A failure without an ID may
// be that of a request before, unless it is the first response on the connection.
func (c *conn) receive(request Request, idHeader string) (*http.Response, error) {
	c.limiter.left = maxHeadBytes
	for range maxForeignResponses {
		response, err := c.readFinalHead(request)
		if err != nil {
			return nil, err
		}
		id := response.Header.Get(idHeader)
		switch {
		case id == request.ID:
			return response, nil
		case id == "" && response.StatusCode >= http.StatusBadRequest && c.usedAt.IsZero():
			return response, nil
		case id == "" && response.StatusCode >= http.StatusBadRequest:
			return nil, judge.Errorf(judge.MayHaveRun, "an answer without an ID, with status %d, on a kept connection", response.StatusCode)
		}
		if err := c.skipForeign(response, id); err != nil {
			return nil, err
		}
	}
	return nil, judge.Errorf(judge.MayHaveRun, "the answers belong to other requests")
}

// readFinalHead reads the head of the next response that is not an interim one.
func (c *conn) readFinalHead(request Request) (*http.Response, error) {
	c.limiter.readingHead = true
	defer func() { c.limiter.readingHead = false }()
	for {
		response, err := http.ReadResponse(c.reader, &http.Request{Method: request.Method})
		if err != nil && c.limiter.starved {
			return nil, errNoMemory
		}
		if err != nil && c.limiter.left <= 0 {
			// The HTTP library takes any error within a head for the end of the connection.
			return nil, errHeadTooLarge
		}
		if err == nil && request.OnHead != nil {
			request.OnHead(response.StatusCode, response.Header)
		}
		if err != nil || response.StatusCode >= http.StatusOK {
			return response, err
		}
	}
}

// skipForeign reads the body of a response to another request.
func (c *conn) skipForeign(response *http.Response, id string) error {
	if framingOf(response) == FramingClose {
		return judge.Errorf(judge.MayHaveRun, "an answer without length belongs to request %q", id)
	}
	n, err := io.Copy(io.Discard, io.LimitReader(response.Body, maxForeignBytes+1))
	if err != nil {
		return err
	}
	if n > maxForeignBytes {
		return judge.Errorf(judge.MayHaveRun, "an answer to request %q has more than %d bytes", id, maxForeignBytes)
	}
	return nil
}

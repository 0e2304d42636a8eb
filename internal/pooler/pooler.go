package pooler

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/galenahitch/galenahitch/internal/rationer"
	"github.com/galenahitch/galenahitch/pkg/judge"
)

const (
	// connectTimeout limits the time to open a connection. A lost SYN is sent
	// again after one second; Do does not wait for that.
	connectTimeout = 700 * time.Millisecond
	// defaultIdleTimeout is how long an idle connection is kept if the upstream
	// sends no timeout.
	defaultIdleTimeout = 4 * time.Second
	// idleMargin is how much earlier than the upstream the pool closes an idle
	// connection.
	idleMargin = 500 * time.Millisecond
	// minSilence is how long a kept connection must have been silent before others are
	// closed with it. No network delay is that long.
	minSilence = 500 * time.Millisecond
)

var errWithdrawn = judge.Errorf(judge.NotRun, "the upstream takes no more requests")

// IsWithdrawn reports whether Do failed because MaySend returned false. The request was
// not sent.
func IsWithdrawn(err error) bool { return errors.Is(err, errWithdrawn) }

var errFull = judge.Errorf(judge.NotRun, "all connections to the upstream are in use")

// IsFull reports whether Do failed because all connections to the upstream were
// in use. The request was not sent.
func IsFull(err error) bool { return errors.Is(err, errFull) }

// IsOutOfMemory reports whether a response failed because the heads of others held the memory.
func IsOutOfMemory(err error) bool { return errors.Is(err, errNoMemory) }

// IsTooLarge reports whether a response failed because its head or body is too large, or
// larger than the memory that is left for it.
func IsTooLarge(err error) bool {
	return errors.Is(err, errHeadTooLarge) || errors.Is(err, errBodyTooLarge) || errors.Is(err, errNoMemory)
}

// Config configures a Pool.
type Config struct {
	// IDHeader is the header in which a response repeats the ID of its request.
	IDHeader string
	// LocalIP is the local address of connections. Empty means any.
	LocalIP string
	// Memory is that of the heads of responses together, and of what else counts in it.
	// Nil means no limit.
	Memory *rationer.Budget
	// OnOpen, if set, is called for each new connection.
	OnOpen func()
	Now    func() time.Time
}

// Request is a request to one upstream.
type Request struct {
	ID     string
	Method string
	// Target is the path and query as the caller sent them.
	Target string
	Host   string
	Header http.Header
	Body   []byte
	// BodyMemory, if set, is the memory of the body, which is retained until it has been
	// sent, also after the end of the response.
	BodyMemory *rationer.SharedRation
	// MaySend, if set, is called when there is a connection. The request is sent only if
	// it returns true.
	MaySend func() bool
	// OnHead, if set, is called for the head of each response that arrives, whether or
	// not it belongs to the request.
	OnHead func(status int, header http.Header)
}

// head encodes the request line and the header.
func (r Request) head() []byte {
	var b bytes.Buffer
	b.Grow(512)
	b.WriteString(r.Method + " " + r.Target + " HTTP/1.1\r\nHost: " + r.Host + "\r\n")
	if len(r.Body) > 0 || r.Method == http.MethodPost || r.Method == http.MethodPut || r.Method == http.MethodPatch {
		b.WriteString("Content-Length: " + strconv.Itoa(len(r.Body)) + "\r\n")
	}
	// Writing to a bytes.Buffer does not fail.
	_ = r.Header.Write(&b)
	b.WriteString("\r\n")
	return b.Bytes()
}

// Pool holds the connections to all upstreams. It is safe for concurrent use.
type Pool struct {
	cfg    Config
	dialer *net.Dialer

	mu    sync.Mutex
	hosts map[string]*upstreamConns
}

// upstreamConns holds the connections to one upstream.
type upstreamConns struct {
	idle    []*conn
	open    int
	maxOpen int
}

// New returns an empty pool.
func New(cfg Config) *Pool {
	return &Pool{cfg: cfg, dialer: NewDialer(DialerConfig{LocalIP: cfg.LocalIP, Timeout: connectTimeout}), hosts: map[string]*upstreamConns{}}
}

// SetMaxConnections limits the connections to an upstream. Zero means no limit.
func (p *Pool) SetMaxConnections(address string, limit int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.upstreamConns(address).maxOpen = limit
}

func (p *Pool) upstreamConns(address string) *upstreamConns {
	h, ok := p.hosts[address]
	if !ok {
		h = &upstreamConns{}
		p.hosts[address] = h
	}
	return h
}

// Framing says what delimits the body of a response.
type Framing string

// The framings of a body. With FramingClose it ends with its connection.
const (
	FramingLength  Framing = "length"
	FramingChunked Framing = "chunked"
	FramingClose   Framing = "close"
)

func framingOf(response *http.Response) Framing {
	switch {
	case response.ContentLength >= 0:
		return FramingLength
	case len(response.TransferEncoding) > 0:
		return FramingChunked
	default:
		return FramingClose
	}
}

// Response is an upstream's response. It has to be closed.
type Response struct {
	Status  int
	Header  http.Header
	Framing Framing
	// Length is the length of the body in bytes, or -1 if it is not known in
	// advance.
	Length   int64
	received int64
	body     io.ReadCloser
	// onClose gets the time at which the last bytes were received.
	onClose    func(receivedAt time.Time, complete bool)
	now        func() time.Time
	receivedAt time.Time
	complete   bool
	// distrusted reports that the connection must not be reused.
	distrusted bool
	once       sync.Once
}

// Read reads the body. It returns io.EOF only at the end of a complete body, and an
// error if the body is larger than 64 MiB.
func (r *Response) Read(b []byte) (int, error) {
	n, err := r.body.Read(b)
	r.received += int64(n)
	if n > 0 {
		r.receivedAt = r.now()
	}
	if max(r.received, r.Length) > maxBodyBytes {
		return n, errBodyTooLarge
	}
	if err == io.EOF {
		r.complete = true
	}
	return n, err
}

// Distrust makes Close close the connection, for a response whose content shows that
// the upstream is faulty.
func (r *Response) Distrust() { r.distrusted = true }

// Close ends the exchange. If the body was not read to its end the connection is
// closed, so that the upstream can stop sending.
func (r *Response) Close() {
	r.once.Do(func() { r.onClose(r.receivedAt, r.complete && !r.distrusted) })
}

// Do sends a request to an upstream and returns its response. If ctx ends before
// Close, the exchange ends and its connection is closed. The body of the request must not be
// changed later, as its upstream may respond before it has read it.
func (p *Pool) Do(ctx context.Context, address string, request Request) (*Response, error) {
	c, err := p.acquire(ctx, address)
	if err != nil {
		return nil, err
	}
	if request.MaySend != nil && !request.MaySend() {
		p.discard(address, c)
		return nil, errWithdrawn
	}
	stop := context.AfterFunc(ctx, func() { _ = c.Close() })
	sentAt := p.cfg.Now()
	response, err := c.exchange(request, p.cfg.IDHeader)
	if err != nil {
		stop()
		p.discard(address, c)
		p.closeSilent(address, c, sentAt)
		if ctx.Err() != nil {
			return nil, judge.Wrap(judge.VerdictOf(err), context.Cause(ctx), "exchange with %s", address)
		}
		return nil, judge.Wrap(judge.VerdictOf(err), err, "exchange with %s", address)
	}
	framing := framingOf(response)
	return &Response{
		Status: response.StatusCode, Header: response.Header, Framing: framing, Length: response.ContentLength, body: response.Body, now: p.cfg.Now, receivedAt: p.cfg.Now(),
		onClose: func(receivedAt time.Time, complete bool) {
			if stop() && complete {
				p.settle(address, c, response)
				return
			}
			p.discard(address, c)
			if !complete {
				p.closeSilent(address, c, receivedAt)
			}
		},
	}, nil
}

// settle keeps or closes a connection whose response is complete. If the upstream has accepted
// the request early, it gets the rest of that first.
func (p *Pool) settle(address string, c *conn, response *http.Response) {
	finish := func() {
		if c.awaitSent(p.cfg.Now()) && framingOf(response) != FramingClose && !response.Close {
			p.putIdle(address, c, response.Header)
			return
		}
		p.discard(address, c)
	}
	switch {
	case c.sending.isDone():
		finish()
	case response.StatusCode >= http.StatusMultipleChoices:
		p.discard(address, c)
	default:
		go finish()
	}
}

// closeSilent closes the idle connections to an upstream that have not been used since
// another kept one fell silent, if that was long enough ago. What has made one connection
// silent has usually done so to all that were open.
func (p *Pool) closeSilent(address string, failed *conn, silentSince time.Time) {
	if failed.usedAt.IsZero() || p.cfg.Now().Sub(silentSince) < minSilence {
		return
	}
	var silent []*conn
	p.mu.Lock()
	if h, ok := p.hosts[address]; ok {
		kept := h.idle[:0]
		for _, c := range h.idle {
			if c.usedAt.After(silentSince) {
				kept = append(kept, c)
				continue
			}
			silent = append(silent, c)
		}
		h.idle = kept
	}
	p.mu.Unlock()
	for _, c := range silent {
		p.discard(address, c)
	}
}

// Probe reports whether an upstream accepts connections: an idle connection to it is
// open, or a new one can be opened. It returns an error if that can't be told, as when
// the upstream does not respond.
func (p *Pool) Probe(ctx context.Context, address string) (bool, error) {
	if c := p.popIdle(address); c != nil {
		if c.isClean() {
			p.mu.Lock()
			defer p.mu.Unlock()
			h := p.upstreamConns(address)
			h.idle = append(h.idle, c)
			return true, nil
		}
		p.discard(address, c)
	}
	c, err := p.dialer.DialContext(ctx, "tcp4", address)
	switch {
	case errors.Is(err, syscall.ECONNREFUSED):
		return false, nil
	case err != nil:
		return false, err
	}
	if p.cfg.OnOpen != nil {
		p.cfg.OnOpen()
	}
	return true, c.Close()
}

// acquire returns a usable idle connection or opens a new one.
func (p *Pool) acquire(ctx context.Context, address string) (*conn, error) {
	for {
		c := p.popIdle(address)
		if c == nil {
			break
		}
		if p.cfg.Now().Before(c.idleUntil) && c.isClean() {
			return c, nil
		}
		p.discard(address, c)
	}
	if !p.reserve(address) {
		return nil, errFull
	}
	c, err := p.dial(ctx, address)
	if err != nil {
		p.release(address)
		return nil, err
	}
	if p.cfg.OnOpen != nil {
		p.cfg.OnOpen()
	}
	return c, nil
}

// popIdle removes and returns the most recently used idle connection, so that
// the others can expire. It returns nil if there is none.
func (p *Pool) popIdle(address string) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	h := p.upstreamConns(address)
	if len(h.idle) == 0 {
		return nil
	}
	c := h.idle[len(h.idle)-1]
	h.idle = h.idle[:len(h.idle)-1]
	return c
}

func (p *Pool) reserve(address string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	h := p.upstreamConns(address)
	if h.maxOpen > 0 && h.open >= h.maxOpen {
		return false
	}
	h.open++
	return true
}

func (p *Pool) release(address string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if h, ok := p.hosts[address]; ok {
		h.open--
		if h.open <= 0 && len(h.idle) == 0 {
			delete(p.hosts, address)
		}
	}
}

func (p *Pool) discard(address string, c *conn) {
	c.limiter.ration.Release()
	_ = c.Close()
	p.release(address)
}

func (p *Pool) putIdle(address string, c *conn, header http.Header) {
	if c.reader.Buffered() > 0 {
		p.discard(address, c)
		return
	}
	c.limiter.ration.Release()
	c.usedAt = p.cfg.Now()
	c.idleUntil = c.usedAt.Add(idleTimeout(header) - idleMargin)
	p.mu.Lock()
	defer p.mu.Unlock()
	h := p.upstreamConns(address)
	h.idle = append(h.idle, c)
}

// idleTimeout returns how long the upstream keeps an idle connection.
func idleTimeout(header http.Header) time.Duration {
	for part := range strings.SplitSeq(header.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		if seconds, err := strconv.Atoi(value); err == nil && strings.EqualFold(name, "timeout") {
			return time.Duration(seconds) * time.Second
		}
	}
	return defaultIdleTimeout
}

// Sweep closes expired connections and the idle connections to upstreams that
// are no longer in use.
func (p *Pool) Sweep(inUse func(address string) bool) {
	now := p.cfg.Now()
	var expired []*conn
	p.mu.Lock()
	for address, h := range p.hosts {
		kept := h.idle[:0]
		for _, c := range h.idle {
			if now.Before(c.idleUntil) && inUse(address) {
				kept = append(kept, c)
				continue
			}
			expired = append(expired, c)
			h.open--
		}
		h.idle = kept
		if h.open <= 0 {
			delete(p.hosts, address)
		}
	}
	p.mu.Unlock()
	for _, c := range expired {
		_ = c.Close()
	}
}

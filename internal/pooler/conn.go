package pooler

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

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
	// maxForeignBytes limits how many bytes are skipped of a response to another
	// request.
	maxForeignBytes = 1 << 20
	// maxForeignResponses limits the number of such responses.
	maxForeignResponses = 3
)

// conn is one connection to an upstream.
type conn struct {
	net.Conn
	reader *bufio.Reader
	// idleUntil is when the upstream may close the connection.
	idleUntil time.Time
}

// NewDialer returns a dialer for connections that do not hang: TCP keep-alive
// and the TCP user timeout close a connection whose peer is unreachable.
func NewDialer(localIP string, timeout time.Duration) *net.Dialer {
	dialer := &net.Dialer{
		Timeout:         timeout,
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: keepAliveIdle, Interval: keepAliveIdle, Count: keepAliveCount},
		Control: func(_, _ string, raw syscall.RawConn) error {
			var optionErr error
			if err := raw.Control(func(fd uintptr) {
				optionErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(unackedTimeout.Milliseconds()))
			}); err != nil {
				return err
			}
			return optionErr
		},
	}
	if localIP != "" {
		dialer.LocalAddr = &net.TCPAddr{IP: net.ParseIP(localIP)}
	}
	return dialer
}

func (p *Pool) dial(ctx context.Context, address string) (*conn, error) {
	raw, err := p.dialer.DialContext(ctx, "tcp4", address)
	if err != nil {
		return nil, judge.Wrap(judge.NotRun, err, "connect to %s", address)
	}
	return &conn{Conn: raw, reader: bufio.NewReaderSize(raw, readBufferBytes)}, nil
}

// isClean reports whether an idle connection is open and has received no bytes.
// Such bytes would belong to no request.
func (c *conn) isClean() bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	tcp, ok := c.Conn.(*net.TCPConn)
	if !ok {
		return false
	}
	raw, err := tcp.SyscallConn()
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

// exchange sends a request and reads the header of its response.
func (c *conn) exchange(request Request, idHeader string) (*http.Response, error) {
	sent, err := c.send(request)
	if err != nil {
		verdict := judge.MayHaveRun
		if sent == 0 {
			verdict = judge.NotRun
		}
		// An upstream may respond before it has read the whole request, for example
		// to refuse it.
		if response, readErr := c.receive(request, idHeader); readErr == nil {
			response.Close = true
			return response, nil
		}
		return nil, judge.Wrap(verdict, err, "send")
	}
	response, err := c.receive(request, idHeader)
	if err != nil {
		return nil, judge.Wrap(judge.MayHaveRun, err, "read the answer")
	}
	return response, nil
}

func (c *conn) send(request Request) (int, error) {
	head := request.head()
	buffers := net.Buffers{head}
	if len(request.Body) > 0 {
		buffers = append(buffers, request.Body)
	}
	sent, err := buffers.WriteTo(c.Conn)
	return int(sent), err
}

// receive reads responses until one has the ID of the request.
func (c *conn) receive(request Request, idHeader string) (*http.Response, error) {
	for range maxForeignResponses {
		response, err := http.ReadResponse(c.reader, &http.Request{Method: request.Method})
		if err != nil {
			return nil, err
		}
		if response.StatusCode < http.StatusOK {
			continue
		}
		id := response.Header.Get(idHeader)
		if id == request.ID || id == "" && response.StatusCode >= http.StatusBadRequest {
			return response, nil
		}
		if response.ContentLength < 0 && len(response.TransferEncoding) == 0 {
			return nil, judge.Errorf(judge.MayHaveRun, "an answer without length belongs to request %q", id)
		}
		if _, err := io.Copy(io.Discard, io.LimitReader(response.Body, maxForeignBytes)); err != nil {
			return nil, err
		}
	}
	return nil, judge.Errorf(judge.MayHaveRun, "the answers belong to other requests")
}

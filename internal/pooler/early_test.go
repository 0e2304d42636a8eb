package pooler_test

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"golang.org/x/sys/unix"

	"github.com/galenahitch/galenahitch/internal/pooler"
)

const (
	// earlyBytes is how much of a body an upstream has read when it responds.
	earlyBytes = 4 << 10
	// ethernetSegment and smallBuffer keep the kernel from taking a long body at once.
	ethernetSegment = 1460
	smallBuffer     = 4 << 10
)

// startEarlyUpstream starts an upstream that reads only the first bytes of a body before
// it calls respond, and returns its address.
func startEarlyUpstream(t *testing.T, respond func(conn *net.TCPConn, r *http.Request)) string {
	t.Helper()
	config := net.ListenConfig{Control: func(_, _ string, raw syscall.RawConn) error {
		var err error
		controlErr := raw.Control(func(fd uintptr) {
			err = errors.Join(
				unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, smallBuffer),
				unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_MAXSEG, ethernetSegment),
			)
		})
		return errors.Join(err, controlErr)
	}}
	listener, err := config.Listen(t.Context(), "tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer conn.Close()
				r, err := http.ReadRequest(bufio.NewReader(conn))
				if err != nil {
					return
				}
				if _, err := io.CopyN(io.Discard, r.Body, earlyBytes); err != nil {
					return
				}
				respond(conn.(*net.TCPConn), r)
			}()
		}
	}()
	return listener.Addr().String()
}

// earlyFraming is a framing of a body that is sent in two parts.
type earlyFraming struct {
	name, head, first, last string
	// endsWithConnection reports that only the connection's end ends the body.
	endsWithConnection bool
}

var earlyFramings = []earlyFraming{
	{name: "none", head: "HTTP/1.1 200 OK\r\nX-Id: 1\r\n\r\n", first: "first, ", last: "last", endsWithConnection: true},
	{name: "HTTP 1.0", head: "HTTP/1.0 200 OK\r\nX-Id: 1\r\n\r\n", first: "first, ", last: "last", endsWithConnection: true},
	{name: "length", head: "HTTP/1.1 200 OK\r\nX-Id: 1\r\nContent-Length: 11\r\n\r\n", first: "first, ", last: "last"},
	{name: "chunks", head: "HTTP/1.1 200 OK\r\nX-Id: 1\r\nTransfer-Encoding: chunked\r\n\r\n", first: "7\r\nfirst, \r\n", last: "4\r\nlast\r\n0\r\n\r\n"},
}

// earlyEnd is how an upstream ends a response to a request of which it has read only the
// first bytes.
type earlyEnd struct {
	name string
	// sendsLast reports that it sends the second part of the body as well.
	sendsLast bool
	end       func(conn *net.TCPConn, body io.Reader)
	// isReset reports that the connection does not end in order, mayReset that it may not.
	isReset, mayReset bool
}

func reset(conn *net.TCPConn) {
	// If these fail the connection has ended already.
	_ = conn.SetLinger(0)
	_ = conn.Close()
}

var earlyEnds = []earlyEnd{
	{name: "reset within", end: func(conn *net.TCPConn, _ io.Reader) { reset(conn) }, isReset: true},
	{name: "reset after", sendsLast: true, end: func(conn *net.TCPConn, _ io.Reader) { reset(conn) }, isReset: true},
	// The kernel resets the connection if bytes are unread at that moment.
	{name: "closed before reading", sendsLast: true, end: func(conn *net.TCPConn, _ io.Reader) { _ = conn.Close() }, mayReset: true},
	{name: "closed, then reset", sendsLast: true, end: func(conn *net.TCPConn, _ io.Reader) {
		_ = conn.CloseWrite()
		reset(conn)
	}},
	{name: "closed, then read", sendsLast: true, end: func(conn *net.TCPConn, body io.Reader) {
		_ = conn.CloseWrite()
		_, _ = io.Copy(io.Discard, body)
	}},
	{name: "read, then closed", sendsLast: true, end: func(_ *net.TCPConn, body io.Reader) { _, _ = io.Copy(io.Discard, body) }},
}

// longRequest returns a request with a body of some size.
func longRequest(id string, size int) pooler.Request {
	r := request(id)
	r.Body = []byte(strings.Repeat("x", size))
	return r
}

// A response without a length whose connection was reset passed for complete if the request
// was still being sent: the write took the error, and the read after it got an end of file.
func TestResetResponsesToLongRequestsAreIncomplete(t *testing.T) {
	for _, size := range []int{150_000, 1 << 20, 8 << 20} {
		for _, framing := range earlyFramings {
			for _, end := range earlyEnds {
				t.Run(fmt.Sprint(size, "/", framing.name, "/", end.name), func(t *testing.T) {
					t.Parallel()
					address := startEarlyUpstream(t, func(conn *net.TCPConn, r *http.Request) {
						text := framing.head + framing.first
						if end.sendsLast {
							text += framing.last
						}
						_, _ = io.WriteString(conn, text)
						end.end(conn, r.Body)
					})
					body, err := exchangeWhole(t, address, longRequest("1", size))
					switch {
					case !end.sendsLast || end.isReset && framing.endsWithConnection:
						require.Error(t, err, "a response that was cut passes for complete: %q", body)
					case end.isReset || end.mayReset:
						// All of the response may have arrived before.
						require.True(t, err != nil || body == "first, last", body)
					default:
						require.NoError(t, err)
						require.Equal(t, "first, last", body)
					}
				})
			}
		}
	}
}

// exchangeWhole returns the body of the response to a request.
func exchangeWhole(t *testing.T, address string, r pooler.Request) (string, error) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	got, err := newPool().Do(ctx, address, r)
	if err != nil {
		return "", err
	}
	defer got.Close()
	body, err := io.ReadAll(got)
	return string(body), err
}

// An upstream that paused between two parts of a response, before it read on, lost its
// connection to the TCP user timeout, and the first part passed for the whole response.
func TestEarlyResponsesWithPauses(t *testing.T) {
	for _, pause := range []time.Duration{time.Second, 2500 * time.Millisecond} {
		for _, framing := range earlyFramings {
			t.Run(fmt.Sprint(framing.name, "/", pause), func(t *testing.T) {
				t.Parallel()
				address := startEarlyUpstream(t, func(conn *net.TCPConn, r *http.Request) {
					_, _ = io.WriteString(conn, framing.head+framing.first)
					<-time.After(pause)
					_, _ = io.WriteString(conn, framing.last)
					_, _ = io.Copy(io.Discard, r.Body)
				})
				body, err := exchangeWhole(t, address, longRequest("1", 1<<20))
				require.NoError(t, err)
				require.Equal(t, "first, last", body)
			})
		}
	}
}

// A refusal of a long request was heard only after all of it had been sent, or after the
// write had failed.
func TestEarlyRefusalsAreHeardAtOnce(t *testing.T) {
	unread := make(chan struct{})
	t.Cleanup(func() { close(unread) })
	address := startEarlyUpstream(t, func(conn *net.TCPConn, _ *http.Request) {
		_, _ = io.WriteString(conn, "HTTP/1.1 503 Service Unavailable\r\nX-Id: 1\r\nContent-Length: 0\r\n\r\n")
		<-unread
	})
	ctx, cancel := context.WithTimeout(t.Context(), time.Second)
	defer cancel()
	got, err := newPool().Do(ctx, address, longRequest("1", 8<<20))
	require.NoError(t, err)
	defer got.Close()
	require.Equal(t, http.StatusServiceUnavailable, got.Status)
}

// An upstream that responds early and reads on later gets the rest of the body and nothing
// else in its place, and the connection serves the next request.
func TestConnectionsAreKeptAfterEarlyResponses(t *testing.T) {
	const size = 8 << 20
	read := make(chan int64, 1)
	goOn := make(chan struct{})
	address := startEarlyUpstream(t, func(conn *net.TCPConn, r *http.Request) {
		_, _ = io.WriteString(conn, response("1", "early"))
		<-goOn
		rest, err := io.Copy(io.Discard, r.Body)
		if err != nil {
			rest = 0
		}
		read <- earlyBytes + rest
		serve(conn, []string{response("2", "two")})
	})
	p := newPool()
	got, err := p.Do(t.Context(), address, longRequest("1", size))
	require.NoError(t, err)
	body, err := io.ReadAll(got)
	require.NoError(t, err)
	require.Equal(t, "early", string(body))
	got.Close()
	close(goOn)
	require.EqualValues(t, size, <-read)
	require.Eventually(t, func() bool { return p.IdleCount(address) == 1 }, 5*time.Second, time.Millisecond)
	text, err := send(t, p, address, "2")
	require.NoError(t, err)
	require.Equal(t, "two", text)
}

// An upstream that refused long requests and did not read them kept its connections in use,
// up to the limit, so that further requests were not sent.
func TestEarlyRefusalsFreeTheirConnections(t *testing.T) {
	unread := make(chan struct{})
	t.Cleanup(func() { close(unread) })
	address := startEarlyUpstream(t, func(conn *net.TCPConn, _ *http.Request) {
		_, _ = io.WriteString(conn, "HTTP/1.1 503 Service Unavailable\r\nX-Id: 1\r\nContent-Length: 0\r\n\r\n")
		<-unread
	})
	p := newPool()
	p.SetMaxConnections(address, 1)
	for range 3 {
		got, err := p.Do(t.Context(), address, longRequest("1", 8<<20))
		require.NoError(t, err)
		require.Equal(t, http.StatusServiceUnavailable, got.Status)
		_, err = io.ReadAll(got)
		require.NoError(t, err)
		got.Close()
	}
}

package provider

import (
	"context"
	"errors"
	"net"
	"net/http/httptrace"
	"sync/atomic"

	"github.com/joomcode/errorx"

	"github.com/galenahitch/galenahitch/internal/pooler"
)

// GuardFailed is the type of errors of calls that were not sent, as their guard failed.
var GuardFailed = namespace.NewType("guard_failed")

// WithGuard returns the context of one call of an HTTP client that opens its connections
// with GuardedDial and makes no other calls. The guard is checked right before each write
// of the request. If it returns an error, the request is not sent, or not to its end, and
// CallError recognises the error of the call.
func WithGuard(ctx context.Context, guard func() error) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		if conn, ok := info.Conn.(*guardedConn); ok {
			conn.guard.Store(&guard)
		}
	}})
}

// CallError returns the error of a call for that of its HTTP client: of type GuardFailed if
// the call was not sent to its end, else of type Unreachable.
func CallError(err error, path string) error {
	var cause *errorx.Error
	if errors.As(err, &cause) && cause.IsOfType(GuardFailed) {
		return GuardFailed.Wrap(err, "call %s", path)
	}
	return Unreachable.Wrap(err, "call %s", path)
}

// GuardedDial returns a dial function for connections that check the guards of calls. The
// connections are reset when they are closed, also by the end of the process: the kernel
// drops what the peer has not acknowledged, so that a call that its sender has given up
// reaches the peer's machine no more. What has reached it by then may still be read there.
func GuardedDial(dial pooler.DialContext) pooler.DialContext {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		if tcp, ok := conn.(*net.TCPConn); ok {
			if err := tcp.SetLinger(0); err != nil {
				_ = conn.Close()
				return nil, err
			}
		}
		return &guardedConn{Conn: conn}, nil
	}
}

// guardedConn is a connection that checks the guard of the current call.
type guardedConn struct {
	net.Conn
	guard atomic.Pointer[func() error]
}

func (c *guardedConn) Write(p []byte) (int, error) {
	if guard := c.guard.Load(); guard != nil {
		if err := (*guard)(); err != nil {
			return 0, GuardFailed.Wrap(err, "not sent")
		}
	}
	return c.Conn.Write(p)
}

package pooler

import (
	"context"
	"errors"
	"io"
	"net"
	"sync"
	"syscall"

	"golang.org/x/sys/unix"

	"github.com/galenahitch/galenahitch/pkg/judge"
)

// DialContext opens a connection.
type DialContext func(ctx context.Context, network, address string) (net.Conn, error)

// OrderedDial returns a dial function for connections whose Read returns io.EOF only if the
// peer has closed the connection in order.
func OrderedDial(dial DialContext) DialContext {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		raw, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &orderedConn{Conn: raw}, nil
	}
}

// orderedConn is a connection whose Read returns io.EOF only if the peer has closed it in
// order. A socket reports the error that ended its connection to one call only. If that is
// a write, a read of a plain connection returns io.EOF after a reset or a timeout as well.
type orderedConn struct {
	net.Conn

	mu sync.Mutex
	// writing is closed at the end of the current write. It is nil if there is none.
	writing  chan struct{}
	writeErr error
}

// Write writes bytes. There must be one writer at a time.
func (c *orderedConn) Write(b []byte) (int, error) {
	c.beginWrite()
	n, err := c.Conn.Write(b)
	c.endWrite(err)
	return n, err
}

// writeBuffers writes all buffers, with one system call if possible.
func (c *orderedConn) writeBuffers(buffers net.Buffers) (int64, error) {
	c.beginWrite()
	n, err := buffers.WriteTo(c.Conn)
	c.endWrite(err)
	return n, err
}

func (c *orderedConn) beginWrite() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.writing = make(chan struct{})
}

func (c *orderedConn) endWrite(err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	close(c.writing)
	c.writing = nil
	if c.writeErr == nil {
		c.writeErr = err
	}
}

func (c *orderedConn) writeState() (writing chan struct{}, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.writing, c.writeErr
}

// Read reads bytes.
func (c *orderedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if err == io.EOF {
		err = c.endError()
	}
	return n, err
}

// endError returns io.EOF if the peer has closed the connection in order, and the error that
// ended it otherwise.
func (c *orderedConn) endError() error {
	writing, err := c.writeState()
	if writing == nil && err == nil || c.peerHasClosed() {
		return io.EOF
	}
	if writing != nil {
		// The connection has ended, so that the write does as well.
		<-writing
		_, err = c.writeState()
	}
	var errno syscall.Errno
	// After a close in order, the error of a reset is EPIPE.
	if !errors.As(err, &errno) || errno == syscall.EPIPE {
		return io.EOF
	}
	return judge.Wrap(judge.MayHaveRun, errno, "the connection did not end in order")
}

// peerHasClosed reports whether the peer has closed its side and the connection is still
// open for writing.
func (c *orderedConn) peerHasClosed() bool {
	raw, err := c.SyscallConn()
	if err != nil {
		return false
	}
	var info *unix.TCPInfo
	controlErr := raw.Control(func(fd uintptr) { info, err = unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO) })
	return controlErr == nil && err == nil && info.State == unix.BPF_TCP_CLOSE_WAIT
}

// SyscallConn returns the raw connection.
func (c *orderedConn) SyscallConn() (syscall.RawConn, error) {
	socket, ok := c.Conn.(syscall.Conn)
	if !ok {
		return nil, errors.ErrUnsupported
	}
	return socket.SyscallConn()
}

package pooler

import (
	"errors"
	"net"
	"net/http"
	"time"

	"golang.org/x/sys/unix"

	"github.com/galenahitch/galenahitch/pkg/judge"
)

const (
	// maxShortRequest is the size up to which the kernel takes a request at once, so that
	// its write does not wait for the upstream.
	maxShortRequest = 8 << 10
	// longSendTimeout replaces unackedTimeout while an upstream may have to read a long
	// request: the kernel takes a receiver that is alive but does not read for one that
	// acknowledges nothing. It also limits how long the rest of a request is sent after
	// the end of its response.
	longSendTimeout = 10 * time.Second
)

// sending is the write of one request.
type sending struct {
	done chan struct{}
	// sent and err are set when done is closed.
	sent int64
	err  error
}

func (s *sending) isDone() bool {
	select {
	case <-s.done:
		return true
	default:
		return false
	}
}

// send writes a request. A long one is written while its response is read, as an upstream
// may respond before it has read it, or while it does.
func (c *conn) send(request Request) *sending {
	buffers := net.Buffers{request.head()}
	if len(request.Body) > 0 {
		buffers = append(buffers, request.Body)
	}
	s := &sending{done: make(chan struct{})}
	isLong := len(buffers[0])+len(request.Body) > maxShortRequest
	if isLong {
		if err := c.setUnackedTimeout(longSendTimeout); err != nil {
			s.err = err
			close(s.done)
			return s
		}
	}
	if request.BodyMemory != nil {
		request.BodyMemory.Retain()
	}
	write := func() {
		defer close(s.done)
		if request.BodyMemory != nil {
			defer request.BodyMemory.Release()
		}
		s.sent, s.err = c.ordered.writeBuffers(buffers)
	}
	if !isLong {
		write()
		return s
	}
	c.longSend = true
	go write()
	return s
}

// exchange sends a request and reads the header of its response.
func (c *conn) exchange(request Request, idHeader string) (*http.Response, error) {
	c.sending = c.send(request)
	response, err := c.receive(request, idHeader)
	if err == nil {
		return response, nil
	}
	// This ends the write as well.
	_ = c.Close()
	<-c.sending.done
	switch sendErr := c.sending.err; {
	case sendErr != nil && c.sending.sent == 0:
		return nil, judge.Wrap(judge.NotRun, sendErr, "send")
	case sendErr != nil && !errors.Is(sendErr, net.ErrClosed):
		return nil, judge.Wrap(judge.MayHaveRun, sendErr, "send")
	default:
		return nil, judge.Wrap(judge.MayHaveRun, err, "read the answer")
	}
}

// awaitSent waits until the request has been sent, and reports whether the connection can
// be used for another one.
func (c *conn) awaitSent(now time.Time) bool {
	if !c.sending.isDone() {
		if err := c.SetWriteDeadline(now.Add(longSendTimeout)); err != nil {
			return false
		}
		<-c.sending.done
		if err := c.SetWriteDeadline(time.Time{}); err != nil {
			return false
		}
	}
	if c.sending.err != nil {
		return false
	}
	if c.longSend {
		c.longSend = false
		return c.setUnackedTimeout(unackedTimeout) == nil
	}
	return true
}

func (c *conn) setUnackedTimeout(d time.Duration) error {
	raw, err := c.ordered.SyscallConn()
	if err != nil {
		return err
	}
	controlErr := raw.Control(func(fd uintptr) { err = setUnackedTimeout(int(fd), d) })
	return errors.Join(controlErr, err)
}

// setUnackedTimeout sets the time after which a connection is closed whose peer
// acknowledges no data.
func setUnackedTimeout(fd int, d time.Duration) error {
	return unix.SetsockoptInt(fd, unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(d.Milliseconds()))
}

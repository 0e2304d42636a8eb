package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"
)

// request is one attempt of a client.
type request struct {
	method, target, id string
	body               []byte
	deadline           time.Duration
	header             map[string]string
	// pace, if set, is the time over which the body is sent.
	pace time.Duration
}

// answer is what the client of an attempt got. err says that the answer is visibly
// incomplete, or that there was none, as status is 0.
type answer struct {
	status int
	seal   string
	body   []byte
	err    error
	// reused reports that the attempt used a kept connection.
	reused bool
	took   time.Duration
}

// client keeps one connection to an entry.
type client struct {
	address string
	conn    net.Conn
	reader  *bufio.Reader
	uses    int
}

var errConnect = errors.New("no connection")

func (c *client) close() {
	if c.conn != nil {
		_ = c.conn.Close()
	}
	c.conn = nil
}

// send makes one attempt.
func (c *client) send(r request) (a answer) {
	start := time.Now()
	defer func() { a.took = time.Since(start) }()
	if c.conn == nil {
		conn, err := net.DialTimeout("tcp4", c.address, time.Second)
		if err != nil {
			return answer{err: fmt.Errorf("%w: %w", errConnect, err)}
		}
		c.conn, c.reader, c.uses = conn, bufio.NewReader(conn), 0
	}
	a.reused = c.uses > 0
	c.uses++
	_ = c.conn.SetDeadline(start.Add(r.deadline))
	head := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: %d\r\n", r.method, r.target, host, names.RequestID, r.id, names.Deadline, r.deadline.Milliseconds())
	for name, value := range r.header {
		head += name + ": " + value + "\r\n"
	}
	if r.method != http.MethodGet {
		head += fmt.Sprintf("Content-Length: %d\r\n", len(r.body))
	}
	if a.err = c.write([]byte(head+"\r\n"), r.body, r.pace); a.err != nil {
		c.close()
		return a
	}
	response, err := http.ReadResponse(c.reader, &http.Request{Method: r.method})
	if err != nil {
		a.err = err
		c.close()
		return a
	}
	a.status, a.seal = response.StatusCode, response.Header.Get(names.Seal)
	a.body, a.err = io.ReadAll(response.Body)
	if a.err != nil || response.Close {
		c.close()
	}
	return a
}

// write sends the head and the body, in steps if it has a pace.
func (c *client) write(head, body []byte, pace time.Duration) error {
	if pace == 0 {
		_, err := c.conn.Write(append(head, body...))
		return err
	}
	if _, err := c.conn.Write(head); err != nil {
		return err
	}
	const steps = 64
	for i := range steps {
		from, to := len(body)*i/steps, len(body)*(i+1)/steps
		if _, err := c.conn.Write(body[from:to]); err != nil {
			return err
		}
		time.Sleep(pace / steps)
	}
	return nil
}

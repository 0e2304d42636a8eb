package emulator

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"sync"
)

// Raw is a server whose responses are written byte by byte, for those that no HTTP
// library sends.
type Raw struct {
	listener net.Listener
	respond  func(conn net.Conn, r *http.Request) bool

	mu      sync.Mutex
	conns   map[net.Conn]bool
	crashed bool
}

// NewRaw starts a server on a free port of 127.0.0.1. It reads requests whole and calls
// respond with each, which writes to the connection and reports whether it goes on. A
// connection that does not is closed.
func NewRaw(respond func(conn net.Conn, r *http.Request) bool) (*Raw, error) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	raw := &Raw{listener: listener, respond: respond, conns: map[net.Conn]bool{}}
	go raw.accept()
	return raw, nil
}

// Address returns the ip:port of the server.
func (raw *Raw) Address() string { return raw.listener.Addr().String() }

// Close stops accepting connections. Open ones go on.
func (raw *Raw) Close() error { return raw.listener.Close() }

// Crash ends the server as the end of its process would: it accepts no connections and all
// open ones are closed.
func (raw *Raw) Crash() error {
	raw.mu.Lock()
	defer raw.mu.Unlock()
	raw.crashed = true
	err := raw.listener.Close()
	for conn := range raw.conns {
		// Close fails if the connection is closed already.
		_ = conn.Close()
	}
	return err
}

// add adds an open connection and reports whether the server still runs.
func (raw *Raw) add(conn net.Conn) bool {
	raw.mu.Lock()
	defer raw.mu.Unlock()
	raw.conns[conn] = true
	return !raw.crashed
}

func (raw *Raw) remove(conn net.Conn) {
	raw.mu.Lock()
	defer raw.mu.Unlock()
	delete(raw.conns, conn)
}

func (raw *Raw) accept() {
	for {
		conn, err := raw.listener.Accept()
		if err != nil {
			return
		}
		go raw.serve(conn)
	}
}

func (raw *Raw) serve(conn net.Conn) {
	defer conn.Close()
	defer raw.remove(conn)
	if !raw.add(conn) {
		return
	}
	reader := bufio.NewReader(conn)
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			return
		}
		if !raw.respond(conn, r) {
			return
		}
	}
}

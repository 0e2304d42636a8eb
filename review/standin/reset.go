package main

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"syscall"
	"time"
)

const (
	// longBody is the size of the bodies. earlyBytes is how much of one the worker has read when
	// it answers; its connections receive no more than receiveBuffer ahead.
	longBody      = 150_000
	earlyBytes    = 4 << 10
	receiveBuffer = 4 << 10
	// segment is the size of TCP segments on Ethernet. The loopback's are 45 times as large, and
	// with them the kernel's buffers.
	segment = 1460
	// resetRounds is the number of requests of each kind.
	resetRounds = 18
	// halfTime is the time between the two halves of an answer.
	halfTime = 200 * time.Millisecond
)

// earlyWorker answers long requests before it has read their bodies, without a length. Its
// answers end with their connections. If resetFrom is set, every second connection of the
// machine with that address is reset when half of the answer has been sent.
type earlyWorker struct {
	f         *fleet
	id        string
	resetFrom string
	served    int
}

// wholeAnswer returns the two halves of the worker's answer to a request.
func wholeAnswer(id string, stream bool) [2]string {
	if !stream {
		return [2]string{strings.Repeat("first half of "+id+"\n", 20), strings.Repeat("second half of "+id+"\n", 20)}
	}
	var halves [2]string
	for i := range 8 {
		halves[i/4] += fmt.Sprintf("id: %d\ndata: event %d of %s\n\n", i+1, i+1, id)
	}
	return halves
}

func (w *earlyWorker) serve(listener net.Listener) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		reset := false
		if remote, _, _ := net.SplitHostPort(conn.RemoteAddr().String()); remote == w.resetFrom {
			w.served++
			reset = w.served%2 == 0
		}
		go w.answer(conn.(*net.TCPConn), reset)
	}
}

// answer serves one request. Each answer ends with its connection.
func (w *earlyWorker) answer(conn *net.TCPConn, reset bool) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	r, err := http.ReadRequest(reader)
	if err != nil {
		return
	}
	id := r.Header.Get(names.RequestID)
	if r.Header.Get(names.Instance) != w.id {
		_, _ = fmt.Fprintf(conn, "HTTP/1.1 421 Misdirected Request\r\n%s: %s\r\n%s: 1\r\nContent-Length: 0\r\nConnection: close\r\n\r\n", names.RequestID, id, names.NotRun)
		return
	}
	n, err := io.CopyN(io.Discard, r.Body, earlyBytes)
	if err != nil {
		return
	}
	isStream := strings.HasPrefix(r.URL.Path, "/review/")
	contentType := "application/octet-stream"
	if isStream {
		contentType = "text/event-stream"
	}
	halves := wholeAnswer(id, isStream)
	w.f.rec.add("worker: runs %s %s, answers after %d of %d bytes of the body", id, r.URL.Path, n, r.ContentLength)
	_, err = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\n%s: %s\r\n%s: seal-%s\r\nContent-Type: %s\r\n\r\n%s", names.RequestID, id, names.Seal, id, contentType, halves[0])
	if err != nil {
		w.f.rec.add("worker: %s: %v", id, err)
		return
	}
	time.Sleep(halfTime)
	if reset {
		w.f.rec.add("worker: the connection of %s is reset after half of the answer", id)
		_ = conn.SetLinger(0)
		return
	}
	if _, err := io.WriteString(conn, halves[1]); err != nil {
		w.f.rec.add("worker: %s: %v", id, err)
		return
	}
	rest, err := io.Copy(io.Discard, r.Body)
	w.f.rec.add("worker: %s is answered whole, read the last %d bytes of the body: %v", id, rest, err)
}

// runReset sends long requests to a worker that answers early and without a length, and
// resets some of its connections. An answer that was reset on the way must not look complete.
func runReset(f *fleet) (bool, error) {
	config := net.ListenConfig{Control: func(_, _ string, raw syscall.RawConn) (err error) {
		controlErr := raw.Control(func(fd uintptr) {
			err = errors.Join(
				syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, receiveBuffer),
				syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, syscall.TCP_MAXSEG, segment),
			)
		})
		return errors.Join(err, controlErr)
	}}
	listener, err := config.Listen(context.Background(), "tcp4", "127.0.0.1:0")
	if err != nil {
		return false, err
	}
	defer listener.Close()
	w := &earlyWorker{f: f, id: "i-early"}
	f.configure([]service{{name: "profiles", maxConnections: 96}}, []route{
		{name: "save", prefix: "/save/", kind: "non_idempotent", service: "profiles", timeoutMS: 10000, aimMS: 1000, attempts: 1, priority: 1},
		{name: "review", prefix: "/review/", kind: "streaming", service: "profiles", timeoutMS: 10000, aimMS: 1000, gapMS: 1000, attempts: 1, priority: 1},
	})
	defer close(f.listWorker(w.id, "profiles", listener.Addr().String(), "occ-a", 6))
	if err := f.startEntries("occ-a", "occ-b", "occ-c"); err != nil {
		return false, err
	}
	if f.trouble {
		w.resetFrom = f.entries[0].ip
	}
	go w.serve(listener)
	body := bytes.Repeat([]byte("0123456789abcdef"), longBody/16)
	truncated, whole := 0, 0
	for i := range 2 * resetRounds {
		prefix := "/save/"
		if i >= resetRounds {
			prefix = "/review/"
		}
		e := f.entries[i%len(f.entries)]
		c := &client{address: e.front}
		r := request{method: http.MethodPost, target: prefix + "1", id: f.nextID(), body: body, deadline: 10 * time.Second}
		f.rec.add("client: sends %s %s with %d bytes to %s", r.id, r.target, len(r.body), e.name)
		a := c.send(r)
		c.close()
		halves := wholeAnswer(r.id, prefix == "/review/")
		isWhole := string(a.body) == halves[0]+halves[1]
		f.rec.add("client: %s: status %d, seal %q, %d of %d bytes, error %v, took %.3f s", r.id, a.status, a.seal, len(a.body), len(halves[0])+len(halves[1]), a.err, a.took.Seconds())
		switch {
		case a.status == http.StatusOK && a.err == nil && !isWhole:
			truncated++
			f.rec.add("client: BROKEN: %s looks complete, but is not", r.id)
		case a.status == http.StatusOK && a.err == nil:
			whole++
		}
	}
	f.rec.say("%d answers were whole, %d looked complete and were not", whole, truncated)
	if whole == 0 {
		return false, fmt.Errorf("no answer was whole")
	}
	return truncated > 0, nil
}

package pooler_test

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/galenahitch/galenahitch/internal/emulator"
	"github.com/galenahitch/galenahitch/internal/pooler"
	"github.com/galenahitch/galenahitch/pkg/judge"
)

const idHeader = "X-Id"

// startUpstream responds to the n-th request of each connection with the n-th
// text. CLOSE at its end closes the connection, RESET resets it.
func startUpstream(t *testing.T, connections ...[]string) (address string, accepted func() int) {
	t.Helper()
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	count := make(chan int, 1)
	count <- 0
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			n := <-count
			count <- n + 1
			if n < len(connections) {
				go serve(conn, connections[n])
			}
		}
	}()
	return listener.Addr().String(), func() int {
		n := <-count
		count <- n
		return n
	}
}

func serve(conn net.Conn, responses []string) {
	reader := bufio.NewReader(conn)
	for _, rawResponse := range responses {
		request, err := http.ReadRequest(reader)
		if err != nil {
			break
		}
		if _, err := io.Copy(io.Discard, request.Body); err != nil {
			break
		}
		text, reset := strings.CutSuffix(rawResponse, "RESET")
		text, closes := strings.CutSuffix(text, "CLOSE")
		if _, err := io.WriteString(conn, text); err != nil {
			break
		}
		if reset {
			_ = conn.(*net.TCPConn).SetLinger(0)
		}
		if reset || closes {
			_ = conn.Close()
			return
		}
	}
	// After the last response the connection stays open and silent.
	_, _ = io.Copy(io.Discard, reader)
}

func response(id, body string) string {
	return "HTTP/1.1 200 OK\r\nX-Id: " + id + "\r\nContent-Length: " + itoa(len(body)) + "\r\n\r\n" + body
}

func itoa(n int) string { return string(rune('0'+n/10)) + string(rune('0'+n%10)) }

func newPool() *pooler.Pool { return pooler.New(pooler.Config{IDHeader: idHeader, Now: time.Now}) }

func request(id string) pooler.Request {
	return pooler.Request{ID: id, Method: http.MethodPost, Target: "/a//b?c=%2f", Host: "h.example", Header: http.Header{idHeader: {id}}, Body: []byte("body")}
}

// send returns the body of the response, or the error of Do or of the read.
func send(t *testing.T, p *pooler.Pool, address, id string) (string, error) {
	t.Helper()
	resp, err := p.Do(context.Background(), address, request(id))
	if err != nil {
		return "", err
	}
	defer resp.Close()
	body, err := io.ReadAll(resp)
	return string(body), err
}

func TestConnectionsAreKept(t *testing.T) {
	address, accepted := startUpstream(t, []string{response("1", "one"), response("2", "two"), response("3", "three")})
	p := newPool()
	for id, want := range map[string]string{"1": "one"} {
		got, err := send(t, p, address, id)
		require.NoError(t, err)
		require.Equal(t, want, got)
	}
	got, err := send(t, p, address, "2")
	require.NoError(t, err)
	require.Equal(t, "two", got)
	require.Equal(t, 1, accepted())
}

// Each case is a fault of an upstream. The next request must succeed; conns is
// the number of connections that both requests need.
func TestForeignAndBrokenResponses(t *testing.T) {
	for name, c := range map[string]struct {
		first []string
		want  string
		err   bool
		conns int
	}{
		"a late response before the own one": {first: []string{response("0", "old") + response("1", "one")}, want: "one", conns: 1},
		"an extra response after it":         {first: []string{response("1", "one") + response("1", "twice")}, want: "one", conns: 2},
		"bytes after it":                     {first: []string{response("1", "one") + "garbage"}, want: "one", conns: 2},
		"a truncated response":               {first: []string{"HTTP/1.1 200 OK\r\nX-Id: 1\r\nContent-Length: 9\r\n\r\noneCLOSE"}, err: true, conns: 2},
		"a truncated chunk":                  {first: []string{"HTTP/1.1 200 OK\r\nX-Id: 1\r\nTransfer-Encoding: chunked\r\n\r\n9\r\noneCLOSE"}, err: true, conns: 2},
		"no response at all":                 {first: []string{"RESET"}, err: true, conns: 2},
		"no http":                            {first: []string{"garbage\r\n\r\n"}, err: true, conns: 2},
		"a response without id":              {first: []string{"HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\noneCLOSE"}, err: true, conns: 2},
		"a response that ends with its connection": {
			first: []string{"HTTP/1.1 200 OK\r\nX-Id: 1\r\n\r\noneCLOSE"}, want: "one", conns: 2,
		},
		"one whose connection is reset": {first: []string{"HTTP/1.1 200 OK\r\nX-Id: 1\r\n\r\noneRESET"}, err: true, conns: 2},
		"one that closes":               {first: []string{"HTTP/1.1 200 OK\r\nX-Id: 1\r\nConnection: close\r\nContent-Length: 3\r\n\r\none"}, want: "one", conns: 2},
	} {
		t.Run(name, func(t *testing.T) {
			address, accepted := startUpstream(t, append(c.first, response("2", "two")), []string{response("2", "two")})
			p := newPool()
			got, err := send(t, p, address, "1")
			if c.err {
				require.Error(t, err)
			} else {
				require.NoError(t, err)
				require.Equal(t, c.want, got)
			}
			got, err = send(t, p, address, "2")
			require.NoError(t, err)
			require.Equal(t, "two", got)
			require.Equal(t, c.conns, accepted())
		})
	}
}

// refusal is a response that says that its request has not run.
func refusal(id string) string {
	head := ""
	if id != "" {
		head = "X-Id: " + id + "\r\n"
	}
	return "HTTP/1.1 503 Service Unavailable\r\n" + head + "X-Refused: 1\r\nContent-Length: 4\r\n\r\nfull"
}

// An upstream wrote an earlier refusal once more on a kept connection, and the next request,
// which it ran, counted as refused.
func TestRepeatedRefusalsAreNotThoseOfTheNextRequest(t *testing.T) {
	for name, c := range map[string]struct {
		first, second string
		want          string
		err           bool
	}{
		"before its response":               {first: refusal("1"), second: refusal("1") + response("2", "two"), want: "two"},
		"in place of its response":          {first: refusal("1"), second: refusal("1") + "CLOSE", err: true},
		"without an id":                     {first: refusal(""), second: refusal("") + response("2", "two"), err: true},
		"without an id, after one with":     {first: refusal("1"), second: refusal("") + response("2", "two"), err: true},
		"without an id, after a success":    {first: response("1", "one"), second: refusal("") + response("2", "two"), err: true},
		"right after itself":                {first: refusal("1") + refusal("1"), second: response("2", "two"), want: "two"},
		"right after itself, without an id": {first: refusal("") + refusal(""), second: response("2", "two"), want: "two"},
	} {
		t.Run(name, func(t *testing.T) {
			address, _ := startUpstream(t, []string{c.first, c.second}, []string{response("2", "two")})
			p := newPool()
			_, err := send(t, p, address, "1")
			require.NoError(t, err)
			got, err := send(t, p, address, "2")
			if c.err {
				require.Error(t, err, "%q", got)
				require.Equal(t, judge.MayHaveRun, judge.VerdictOf(err))
				return
			}
			require.NoError(t, err)
			require.Equal(t, c.want, got)
		})
	}
}

// An upstream stopped in the middle of the head of its response and closed the connection.
func TestHeadsThatBreakOffAreNoResponses(t *testing.T) {
	whole := response("1", "one")
	head := strings.Index(whole, "\r\n\r\n") + 4
	for _, end := range []string{"CLOSE", "RESET"} {
		for sent := range head {
			address, _ := startUpstream(t, []string{whole[:sent] + end})
			got, err := send(t, newPool(), address, "1")
			require.Error(t, err, "%q: %q", whole[:sent], got)
			require.Equal(t, judge.MayHaveRun, judge.VerdictOf(err))
		}
	}
}

// The rest of a large response to another request was read as the next response.
func TestLargeForeignResponsesEndTheExchange(t *testing.T) {
	forged := strings.Repeat("x", 1<<20) + response("1", "forged")
	foreign := "HTTP/1.1 200 OK\r\nX-Id: 0\r\nContent-Length: " + strconv.Itoa(len(forged)) + "\r\n\r\n" + forged
	address, _ := startUpstream(t, []string{foreign + response("1", "one")})
	got, err := send(t, newPool(), address, "1")
	require.Error(t, err, "%q", got)
	require.Equal(t, judge.MayHaveRun, judge.VerdictOf(err))
}

// Interim responses counted as responses to other requests, of which there may be few.
func TestInterimResponsesAreSkipped(t *testing.T) {
	interim := strings.Repeat("HTTP/1.1 103 Early Hints\r\nLink: <a>\r\n\r\n", 10)
	address, _ := startUpstream(t, []string{interim + response("1", "one")})
	got, err := send(t, newPool(), address, "1")
	require.NoError(t, err)
	require.Equal(t, "one", got)
}

func TestVerdicts(t *testing.T) {
	p := newPool()
	free, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	nobody := free.Addr().String()
	require.NoError(t, free.Close())
	_, err = send(t, p, nobody, "1")
	require.Equal(t, judge.NotRun, judge.VerdictOf(err))
	address, _ := startUpstream(t, []string{"RESET"})
	_, err = send(t, p, address, "1")
	require.Equal(t, judge.MayHaveRun, judge.VerdictOf(err))
}

// The end of a request's context closes its connection, so that the upstream can
// stop the request.
func TestCancelClosesTheConnection(t *testing.T) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { require.NoError(t, listener.Close()) }()
	closed := make(chan error, 1)
	arrived := make(chan struct{})
	go func() {
		conn, err := listener.Accept()
		if err != nil {
			closed <- err
			return
		}
		reader := bufio.NewReader(conn)
		r, err := http.ReadRequest(reader)
		if err == nil {
			_, err = io.Copy(io.Discard, r.Body)
		}
		close(arrived)
		if err == nil {
			_, err = reader.ReadByte()
		}
		closed <- err
	}()
	ctx, cancel := context.WithCancelCause(context.Background())
	cause := errors.New("the client disconnected")
	go func() {
		<-arrived
		cancel(cause)
	}()
	_, err = newPool().Do(ctx, listener.Addr().String(), request("1"))
	require.Error(t, err)
	require.Equal(t, judge.MayHaveRun, judge.VerdictOf(err))
	require.Error(t, <-closed)
}

func TestLimitBoundsConnections(t *testing.T) {
	address, accepted := startUpstream(t, []string{response("1", "one")}, []string{response("2", "two")})
	p := newPool()
	p.SetMaxConnections(address, 1)
	held, err := p.Do(context.Background(), address, request("1"))
	require.NoError(t, err)
	_, err = send(t, p, address, "2")
	require.Equal(t, judge.NotRun, judge.VerdictOf(err))
	require.True(t, pooler.IsFull(err))
	held.Close()
	got, err := send(t, p, address, "2")
	require.NoError(t, err)
	require.Equal(t, "two", got)
	require.Equal(t, 2, accepted())
	p.Sweep(func(string) bool { return false })
}

// Probe must tell an upstream that refuses connections from one that accepts them, and
// must not use up an idle connection or open one if an idle one shows the answer.
func TestProbe(t *testing.T) {
	address, accepted := startUpstream(t, []string{response("1", "one"), response("2", "two")})
	p := newPool()
	_, err := send(t, p, address, "1")
	require.NoError(t, err)
	up, err := p.Probe(context.Background(), address)
	require.NoError(t, err)
	require.True(t, up)
	_, err = send(t, p, address, "2")
	require.NoError(t, err)
	require.Equal(t, 1, accepted())
	up, err = newPool().Probe(context.Background(), address)
	require.NoError(t, err)
	require.True(t, up)
	free, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	require.NoError(t, free.Close())
	up, err = p.Probe(context.Background(), free.Addr().String())
	require.NoError(t, err)
	require.False(t, up)
	ended, cancel := context.WithCancel(context.Background())
	cancel()
	_, err = newPool().Probe(ended, address)
	require.Error(t, err)
}

// What a response says of its upstream was lost if it belonged to another request.
func TestHeadsOfForeignResponsesAreReported(t *testing.T) {
	foreign := "HTTP/1.1 503 Busy\r\nX-Id: other\r\nX-Says: 1\r\nContent-Length: 0\r\n\r\n"
	address, _ := startUpstream(t, []string{"HTTP/1.1 103 Early\r\n\r\n" + foreign + response("1", "one")})
	p := pooler.New(pooler.Config{IDHeader: idHeader, Now: time.Now})
	var statuses []int
	var says []string
	r, err := p.Do(t.Context(), address, pooler.Request{
		ID: "1", Method: http.MethodGet, Target: "/", Host: "h",
		OnHead: func(status int, header http.Header) {
			statuses, says = append(statuses, status), append(says, header.Get("X-Says"))
		},
	})
	require.NoError(t, err)
	defer r.Close()
	require.Equal(t, []int{103, 503, 200}, statuses)
	require.Equal(t, []string{"", "1", ""}, says)
}

// A request was sent to an upstream that took no more requests when the connection was
// open at last.
func TestWithdrawnRequestsAreNotSent(t *testing.T) {
	address, accepted := startUpstream(t, nil, []string{response("2", "two")})
	p := pooler.New(pooler.Config{IDHeader: idHeader, Now: time.Now})
	p.SetMaxConnections(address, 1)
	request := pooler.Request{ID: "1", Method: http.MethodGet, Target: "/", Host: "h", MaySend: func() bool { return false }}
	_, err := p.Do(t.Context(), address, request)
	require.True(t, pooler.IsWithdrawn(err))
	require.Equal(t, judge.NotRun, judge.VerdictOf(err))
	request.ID, request.MaySend = "2", func() bool { return true }
	r, err := p.Do(t.Context(), address, request)
	require.NoError(t, err, "the connection is released")
	r.Close()
	require.Equal(t, 2, accepted())
}

// Several kept connections to an upstream went silent while new ones worked. Each of them
// cost a request its whole timeout, one after the other.
func TestRequestsOverSilentConnections(t *testing.T) {
	const requests = 4
	inner, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	listener := emulator.NewListener(inner)
	server := &httptest.Server{Listener: listener, Config: &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set(idHeader, r.Header.Get(idHeader))
	})}}
	server.Start()
	defer server.CloseClientConnections()
	pool := pooler.New(pooler.Config{IDHeader: idHeader, Now: time.Now})
	do := func(id string) (*pooler.Response, error) {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		t.Cleanup(cancel)
		response, err := pool.Do(ctx, listener.Addr().String(), pooler.Request{ID: id, Method: http.MethodGet, Target: "/", Host: "h", Header: http.Header{idHeader: {id}}})
		if err == nil {
			_, err = io.Copy(io.Discard, response)
		}
		return response, err
	}
	var open []*pooler.Response
	for i := range requests {
		response, err := do(strconv.Itoa(i))
		require.NoError(t, err)
		open = append(open, response)
	}
	for _, response := range open {
		response.Close()
	}
	listener.Silence()
	_, err = do("silent")
	require.Error(t, err)
	response, err := do("next")
	require.NoError(t, err, "a second silent connection was used")
	response.Close()
}

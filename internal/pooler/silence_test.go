package pooler_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"golang.org/x/sys/unix"
)

// silence makes a connection acknowledge nothing and send nothing for some time.
func silence(t *testing.T, conn net.Conn, d time.Duration) {
	raw, err := conn.(*net.TCPConn).SyscallConn()
	require.NoError(t, err)
	dropAll := unix.SockFilter{Code: unix.BPF_RET | unix.BPF_K}
	require.NoError(t, raw.Control(func(fd uintptr) {
		err = unix.SetsockoptSockFprog(int(fd), unix.SOL_SOCKET, unix.SO_ATTACH_FILTER, &unix.SockFprog{Len: 1, Filter: &dropAll})
	}))
	require.NoError(t, err)
	<-time.After(d)
	require.NoError(t, raw.Control(func(fd uintptr) {
		err = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_DETACH_FILTER, 0)
	}))
	require.NoError(t, err)
}

// A sound upstream that fell silent for a second or two and went on lost its request: the TCP
// user timeout also decides when keep-alive probes give up.
func TestSilentUpstreamsKeepTheirRequests(t *testing.T) {
	for _, size := range []int{4 << 10, 8 << 20} {
		for _, d := range []time.Duration{time.Second, 1400 * time.Millisecond, 2500 * time.Millisecond} {
			for _, phase := range []string{"reading the request", "before the response", "within the response"} {
				t.Run(fmt.Sprint(size, " bytes/", d, " ", phase), func(t *testing.T) {
					t.Parallel()
					requireSurvivesSilence(t, size, phase, d)
				})
			}
		}
	}
}

// requireSurvivesSilence sends a request to an upstream that falls silent in a phase of it.
func requireSurvivesSilence(t *testing.T, size int, phase string, d time.Duration) {
	t.Helper()
	listener, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	served := make(chan error, 1)
	go func() {
		conn, err := listener.Accept()
		if err != nil {
			served <- err
			return
		}
		defer conn.Close()
		during := func(p string) {
			if p == phase {
				silence(t, conn, d)
			}
		}
		received, err := http.ReadRequest(bufio.NewReader(conn))
		if err == nil {
			during("reading the request")
			_, err = io.Copy(io.Discard, received.Body)
		}
		head, end, _ := strings.Cut(response("1", "first, last"), ", ")
		if err == nil {
			during("before the response")
			_, err = io.WriteString(conn, head+", ")
		}
		if err == nil {
			during("within the response")
			_, err = io.WriteString(conn, end)
		}
		served <- err
	}()
	body, err := exchangeWhole(t, listener.Addr().String(), longRequest("1", size))
	require.NoError(t, err)
	require.Equal(t, "first, last", body)
	require.NoError(t, <-served)
}

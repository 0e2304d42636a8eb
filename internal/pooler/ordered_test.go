package pooler_test

import (
	"io"
	"net"
	"net/http"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/galenahitch/galenahitch/internal/pooler"
)

// A connection that our TCP user timeout had ended within a write looked as if its peer had
// closed it in order.
func TestTimeoutOfAWriteIsNoEndInOrder(t *testing.T) {
	held := make(chan struct{})
	t.Cleanup(func() { close(held) })
	address := startEarlyUpstream(t, func(conn *net.TCPConn, _ *http.Request) {
		_, _ = io.WriteString(conn, "part")
		<-held
	})
	dialer := pooler.NewDialer(pooler.DialerConfig{Timeout: time.Second, UnackedTimeout: 300 * time.Millisecond})
	conn, err := pooler.OrderedDial(dialer.DialContext)(t.Context(), "tcp4", address)
	require.NoError(t, err)
	defer conn.Close()
	_, err = conn.Write([]byte("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 33554432\r\n\r\n"))
	require.NoError(t, err)
	_, err = conn.Write(make([]byte, 32<<20))
	require.ErrorIs(t, err, syscall.ETIMEDOUT)
	received, err := io.ReadAll(conn)
	require.Equal(t, "part", string(received))
	require.ErrorContains(t, err, syscall.ETIMEDOUT.Error())
}

package emulator

import (
	"io"
	"net"
	"net/http"
	"strings"
	"sync"

	"github.com/joomcode/errorx"
)

// Cut blocks the connections from an IP address to a relay. To is the address
// that the relay listens on; empty means all relays.
type Cut struct {
	FromIP string `json:"from_ip"`
	To     string `json:"to"`
}

// Link relays TCP connections and can cut them by source address and relay.
type Link struct {
	mu    sync.Mutex
	cuts  []Cut
	conns map[net.Conn]Cut
}

// NewLink returns a link without relays.
func NewLink() *Link { return &Link{conns: map[net.Conn]Cut{}} }

// Relay starts a relay. The spec is from=to: the addresses to listen on and to
// connect to, both ip:port.
func (l *Link) Relay(spec string) error {
	from, to, ok := strings.Cut(spec, "=")
	if !ok {
		return errorx.IllegalArgument.New("relay %q is not from=to", spec)
	}
	listener, err := net.Listen("tcp", from)
	if err != nil {
		return err
	}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go l.forward(conn, from, to)
		}
	}()
	return nil
}

func (l *Link) forward(in net.Conn, from, to string) {
	defer in.Close()
	host, _, _ := net.SplitHostPort(in.RemoteAddr().String())
	if !l.track(in, Cut{FromIP: host, To: from}) {
		return
	}
	defer l.untrack(in)
	local := &net.TCPAddr{IP: net.ParseIP(host)}
	out, err := (&net.Dialer{LocalAddr: local}).Dial("tcp", to)
	if err != nil {
		return
	}
	defer out.Close()
	go func() {
		_, _ = io.Copy(out, in)
		_ = out.Close()
	}()
	_, _ = io.Copy(in, out)
}

func (l *Link) track(conn net.Conn, ends Cut) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.isCut(ends) {
		return false
	}
	l.conns[conn] = ends
	return true
}

func (l *Link) isCut(ends Cut) bool {
	for _, c := range l.cuts {
		if c.FromIP == ends.FromIP && (c.To == "" || c.To == ends.To) {
			return true
		}
	}
	return false
}

func (l *Link) untrack(conn net.Conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.conns, conn)
}

// SetCuts replaces the cuts and closes the open connections that they block.
func (l *Link) SetCuts(cuts []Cut) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.cuts = cuts
	for conn, ends := range l.conns {
		if l.isCut(ends) {
			_ = conn.Close()
		}
	}
}

// Handler returns the link's HTTP control interface.
func (l *Link) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /control/cuts", handleJSON(func(_ *http.Request, cuts []Cut) ([]Cut, error) {
		l.SetCuts(cuts)
		return cuts, nil
	}))
	mux.HandleFunc("POST /control/relay", handleJSON(func(_ *http.Request, spec string) (string, error) {
		return spec, l.Relay(spec)
	}))
	return mux
}

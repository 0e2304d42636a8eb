package messenger

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"net"
	"os"
	"slices"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/joomcode/errorx"
	"google.golang.org/grpc"
	"google.golang.org/grpc/backoff"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/status"
)

const (
	serviceName       = "galenahitch.Entry"
	methodExchange    = "Exchange"
	methodState       = "State"
	methodHandoff     = "Handoff"
	methodLocate      = "Locate"
	methodJoin        = "Join"
	connectTimeout    = time.Second
	maxConnectBackoff = time.Second
	// maxMessageBytes limits a message, maxHeadBytes the headers of a call.
	maxMessageBytes = 32 << 20
	maxHeadBytes    = 16 << 10
)

var (
	namespace = errorx.NewNamespace("messenger")
	// BadSecurity is the type of errors caused by key and certificate files.
	BadSecurity = namespace.NewType("bad_security")
)

// Handler processes the messages of peers.
type Handler interface {
	Exchange(ctx context.Context, in *Exchange) (*Exchange, error)
	State(ctx context.Context, in *StateRequest) (*State, error)
	Handoff(ctx context.Context, in *HandoffRequest) (*HandoffReply, error)
	Locate(ctx context.Context, in *LocateRequest) (*LocateReply, error)
	Join(ctx context.Context, in *JoinRequest, send func(*JoinPart) error) error
}

// codec encodes messages as CBOR.
type codec struct{}

func (codec) Marshal(v any) ([]byte, error)      { return cbor.Marshal(v) }
func (codec) Unmarshal(data []byte, v any) error { return cbor.Unmarshal(data, v) }
func (codec) Name() string                       { return "cbor" }

// Security names the files for mutual TLS. Without a CertFile there is no TLS.
type Security struct {
	CertFile string
	KeyFile  string
	CAFile   string
}

func (s Security) tlsConfig() (*tls.Config, error) {
	if s.CertFile == "" {
		return nil, nil
	}
	certificate, err := tls.LoadX509KeyPair(s.CertFile, s.KeyFile)
	if err != nil {
		return nil, BadSecurity.Wrap(err, "read certificate and key")
	}
	caPEM, err := os.ReadFile(s.CAFile)
	if err != nil {
		return nil, BadSecurity.Wrap(err, "read certificate authority")
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(caPEM) {
		return nil, BadSecurity.New("%s holds no certificate", s.CAFile)
	}
	return &tls.Config{
		Certificates: []tls.Certificate{certificate},
		RootCAs:      pool,
		ClientCAs:    pool,
		ClientAuth:   tls.RequireAndVerifyClientCert,
		MinVersion:   tls.VersionTLS13,
	}, nil
}

// unaryMethod adapts a typed method to gRPC.
func unaryMethod[Req, Resp any](name string, serve func(Handler, context.Context, *Req) (*Resp, error)) grpc.MethodDesc {
	return grpc.MethodDesc{
		MethodName: name,
		Handler: func(srv any, ctx context.Context, decode func(any) error, _ grpc.UnaryServerInterceptor) (any, error) {
			in := new(Req)
			if err := decode(in); err != nil {
				return nil, err
			}
			return serve(srv.(Handler), ctx, in)
		},
	}
}

func serveJoin(srv any, stream grpc.ServerStream) error {
	in := new(JoinRequest)
	if err := stream.RecvMsg(in); err != nil {
		return err
	}
	return srv.(Handler).Join(stream.Context(), in, func(part *JoinPart) error { return stream.SendMsg(part) })
}

func serviceDesc() *grpc.ServiceDesc {
	return &grpc.ServiceDesc{
		ServiceName: serviceName,
		HandlerType: (*Handler)(nil),
		Methods: []grpc.MethodDesc{
			unaryMethod(methodExchange, Handler.Exchange),
			unaryMethod(methodState, Handler.State),
			unaryMethod(methodHandoff, Handler.Handoff),
			unaryMethod(methodLocate, Handler.Locate),
		},
		Streams: []grpc.StreamDesc{{StreamName: methodJoin, Handler: serveJoin, ServerStreams: true}},
	}
}

// NewServer returns a gRPC server that passes messages to handler.
func NewServer(handler Handler, security Security) (*grpc.Server, error) {
	options := []grpc.ServerOption{grpc.ForceServerCodec(codec{}), grpc.MaxRecvMsgSize(maxMessageBytes), grpc.MaxHeaderListSize(maxHeadBytes)}
	config, err := security.tlsConfig()
	if err != nil {
		return nil, err
	}
	if config != nil {
		options = append(options, grpc.Creds(credentials.NewTLS(config)))
	}
	server := grpc.NewServer(options...)
	server.RegisterService(serviceDesc(), handler)
	return server, nil
}

// ClientConfig configures a Client.
type ClientConfig struct {
	// LocalIP is the local address of connections. Empty means any.
	LocalIP  string
	Security Security
}

// Client calls peers by address. It keeps one connection to each, and opens another one
// after a call without an answer, as the connection may be silent for good.
type Client struct {
	options []grpc.DialOption
	mu      sync.Mutex
	conns   map[string]*peerConn
}

// peerConn is a connection to a peer. A discarded one is closed after the last of its
// calls.
type peerConn struct {
	*grpc.ClientConn
	calls     int
	discarded bool
}

// NewClient returns a client without connections.
func NewClient(cfg ClientConfig) (*Client, error) {
	config, err := cfg.Security.tlsConfig()
	if err != nil {
		return nil, err
	}
	creds := insecure.NewCredentials()
	if config != nil {
		creds = credentials.NewTLS(config)
	}
	dialer := &net.Dialer{Timeout: connectTimeout}
	if cfg.LocalIP != "" {
		dialer.LocalAddr = &net.TCPAddr{IP: net.ParseIP(cfg.LocalIP)}
	}
	connectBackoff := backoff.DefaultConfig
	connectBackoff.MaxDelay = maxConnectBackoff
	return &Client{
		conns: map[string]*peerConn{},
		options: []grpc.DialOption{
			grpc.WithTransportCredentials(creds),
			grpc.WithDefaultCallOptions(grpc.ForceCodec(codec{}), grpc.MaxCallRecvMsgSize(maxMessageBytes)),
			grpc.WithContextDialer(func(ctx context.Context, address string) (net.Conn, error) {
				return dialer.DialContext(ctx, "tcp", address)
			}),
			grpc.WithConnectParams(grpc.ConnectParams{Backoff: connectBackoff, MinConnectTimeout: connectTimeout}),
			grpc.WithDisableServiceConfig(),
			grpc.WithNoProxy(),
			grpc.WithMaxHeaderListSize(maxHeadBytes),
		},
	}, nil
}

// beginCall returns the connection for a call to a peer, which ends with endCall.
func (c *Client) beginCall(address string) (*peerConn, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	conn, ok := c.conns[address]
	if !ok {
		inner, err := grpc.NewClient("passthrough:///"+address, c.options...)
		if err != nil {
			return nil, err
		}
		conn = &peerConn{ClientConn: inner}
		c.conns[address] = conn
	}
	conn.calls++
	return conn, nil
}

// endCall ends a call with its error. If there was no answer the connection gets no more
// calls.
func (c *Client) endCall(address string, conn *peerConn, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	conn.calls--
	if status.Code(err) == codes.DeadlineExceeded && c.conns[address] == conn {
		conn.discarded = true
		delete(c.conns, address)
	}
	if conn.discarded && conn.calls == 0 {
		_ = conn.Close()
	}
}

// CloseExcept closes the connections to all peers except those with the given
// addresses.
func (c *Client) CloseExcept(addresses []string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for address, conn := range c.conns {
		if !slices.Contains(addresses, address) {
			_ = conn.Close()
			delete(c.conns, address)
		}
	}
}

// Connections returns the number of peers that have a connection.
func (c *Client) Connections() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.conns)
}

// Close closes all connections.
func (c *Client) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, conn := range c.conns {
		_ = conn.Close()
	}
	c.conns = map[string]*peerConn{}
}

func invoke[Resp, Req any](ctx context.Context, c *Client, address, method string, in *Req) (*Resp, error) {
	conn, err := c.beginCall(address)
	if err != nil {
		return nil, err
	}
	out := new(Resp)
	err = conn.Invoke(ctx, "/"+serviceName+"/"+method, in, out)
	c.endCall(address, conn, err)
	if err != nil {
		return nil, err
	}
	return out, nil
}

// Exchange sends the state of this entry to a peer and returns the peer's state.
func (c *Client) Exchange(ctx context.Context, address string, in *Exchange) (*Exchange, error) {
	return invoke[Exchange](ctx, c, address, methodExchange, in)
}

// State requests from a peer the state that a new entry needs.
func (c *Client) State(ctx context.Context, address string, in *StateRequest) (*State, error) {
	return invoke[State](ctx, c, address, methodState, in)
}

// Handoff offers a running request to a peer.
func (c *Client) Handoff(ctx context.Context, address string, in *HandoffRequest) (*HandoffReply, error) {
	return invoke[HandoffReply](ctx, c, address, methodHandoff, in)
}

// Locate queries whether a peer has a request.
func (c *Client) Locate(ctx context.Context, address string, in *LocateRequest) (*LocateReply, error) {
	return invoke[LocateReply](ctx, c, address, methodLocate, in)
}

// Join receives the parts of a request from a peer and calls receive with each, until
// the request ends or receive returns an error.
func (c *Client) Join(ctx context.Context, address string, in *JoinRequest, receive func(*JoinPart) error) (err error) {
	conn, err := c.beginCall(address)
	if err != nil {
		return err
	}
	defer func() { c.endCall(address, conn, err) }()
	stream, err := conn.NewStream(ctx, &grpc.StreamDesc{ServerStreams: true}, "/"+serviceName+"/"+methodJoin)
	if err != nil {
		return err
	}
	if err := stream.SendMsg(in); err != nil {
		return err
	}
	if err := stream.CloseSend(); err != nil {
		return err
	}
	for {
		part := new(JoinPart)
		if err := stream.RecvMsg(part); err != nil {
			return err
		}
		if err := receive(part); err != nil {
			return err
		}
		if part.Done || part.HandedOff || len(part.Refusal) > 0 {
			return nil
		}
	}
}

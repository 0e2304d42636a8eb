package messenger_test

import (
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"errors"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/galenahitch/galenahitch/internal/emulator"
	"github.com/galenahitch/galenahitch/internal/messenger"
)

// echo responds to each message with a value that shows its arrival.
type echo struct{}

func (echo) Exchange(_ context.Context, in *messenger.Exchange) (*messenger.Exchange, error) {
	return &messenger.Exchange{Generation: in.Generation + 1}, nil
}

func (echo) State(_ context.Context, in *messenger.StateRequest) (*messenger.State, error) {
	return &messenger.State{Config: []byte{byte(in.AfterGeneration)}}, nil
}

func (echo) Handoff(_ context.Context, in *messenger.HandoffRequest) (*messenger.HandoffReply, error) {
	return &messenger.HandoffReply{Accepted: len(in.Parts) == 2}, nil
}

func (echo) Locate(_ context.Context, in *messenger.LocateRequest) (*messenger.LocateReply, error) {
	return &messenger.LocateReply{Found: true, Digest: in.RequestID}, nil
}

func (echo) Join(_ context.Context, in *messenger.JoinRequest, send func(*messenger.JoinPart) error) error {
	if in.RequestID == "broken" {
		return errors.New("broken")
	}
	for offset := in.From; offset < 5; offset++ {
		if err := send(&messenger.JoinPart{Offset: offset, Text: "x"}); err != nil {
			return err
		}
	}
	return send(&messenger.JoinPart{Done: true})
}

func serve(t *testing.T, security messenger.Security) string {
	return serveSilently(t, security).Addr().String()
}

// serveSilently returns the server's listener, whose connections can go silent.
func serveSilently(t *testing.T, security messenger.Security) *emulator.Listener {
	server, err := messenger.NewServer(echo{}, security)
	require.NoError(t, err)
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	listener := emulator.NewListener(inner)
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(server.Stop)
	return listener
}

func client(t *testing.T, security messenger.Security) *messenger.Client {
	c, err := messenger.NewClient(messenger.ClientConfig{Security: security})
	require.NoError(t, err)
	t.Cleanup(c.Close)
	return c
}

func TestMessagesArriveTyped(t *testing.T) {
	address, c := serve(t, messenger.Security{}), client(t, messenger.Security{})
	ctx := context.Background()
	exchange, err := c.Exchange(ctx, address, &messenger.Exchange{Generation: 4})
	require.NoError(t, err)
	require.EqualValues(t, 5, exchange.Generation)
	handoff, err := c.Handoff(ctx, address, &messenger.HandoffRequest{Parts: []string{"a", "b"}})
	require.NoError(t, err)
	require.True(t, handoff.Accepted)
	located, err := c.Locate(ctx, address, &messenger.LocateRequest{RequestID: "r"})
	require.NoError(t, err)
	require.Equal(t, "r", located.Digest)
	var offsets []int
	err = c.Join(ctx, address, &messenger.JoinRequest{From: 2}, func(part *messenger.JoinPart) error {
		offsets = append(offsets, part.Offset)
		return nil
	})
	require.NoError(t, err)
	require.Equal(t, []int{2, 3, 4, 0}, offsets)
	require.Error(t, c.Join(ctx, address, &messenger.JoinRequest{RequestID: "broken"}, func(*messenger.JoinPart) error { return nil }))
}

func TestCloseExceptClosesConnectionsToRemovedPeers(t *testing.T) {
	first, second, c := serve(t, messenger.Security{}), serve(t, messenger.Security{}), client(t, messenger.Security{})
	for _, address := range []string{first, second} {
		_, err := c.Exchange(context.Background(), address, &messenger.Exchange{})
		require.NoError(t, err)
	}
	c.CloseExcept([]string{second, "another"})
	require.Equal(t, 1, c.Connections())
	_, err := c.Exchange(context.Background(), first, &messenger.Exchange{})
	require.NoError(t, err, "a returning peer gets a new connection")
}

// issueCertificate writes a certificate and its key, signed by the authority.
func issueCertificate(t *testing.T, dir, name string, authority *x509.Certificate, signer *ecdsa.PrivateKey) messenger.Security {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	require.NoError(t, err)
	template := &x509.Certificate{
		SerialNumber: big.NewInt(2), Subject: pkix.Name{CommonName: name}, NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
		IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)}, ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
	der, err := x509.CreateCertificate(rand.Reader, template, authority, &key.PublicKey, signer)
	require.NoError(t, err)
	keyDER, err := x509.MarshalECPrivateKey(key)
	require.NoError(t, err)
	write := func(file, kind string, data []byte) string {
		path := filepath.Join(dir, name+file)
		require.NoError(t, os.WriteFile(path, pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: data}), 0o600))
		return path
	}
	return messenger.Security{
		CertFile: write(".crt", "CERTIFICATE", der), KeyFile: write(".key", "EC PRIVATE KEY", keyDER),
		CAFile: write(".ca", "CERTIFICATE", authority.Raw),
	}
}

func newAuthority(t *testing.T) (*x509.Certificate, *ecdsa.PrivateKey) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	require.NoError(t, err)
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: "ca"}, NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
		IsCA: true, BasicConstraintsValid: true, KeyUsage: x509.KeyUsageCertSign,
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	require.NoError(t, err)
	parsed, err := x509.ParseCertificate(der)
	require.NoError(t, err)
	return parsed, key
}

func TestOnlyEntriesOfTheSameAuthorityConnect(t *testing.T) {
	dir := t.TempDir()
	ca, signer := newAuthority(t)
	other, otherSigner := newAuthority(t)
	address := serve(t, issueCertificate(t, dir, "server", ca, signer))
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	_, err := client(t, issueCertificate(t, dir, "peer", ca, signer)).Exchange(ctx, address, &messenger.Exchange{})
	require.NoError(t, err)
	_, err = client(t, issueCertificate(t, dir, "stranger", other, otherSigner)).Exchange(ctx, address, &messenger.Exchange{})
	require.Error(t, err)
	_, err = client(t, messenger.Security{}).Exchange(ctx, address, &messenger.Exchange{})
	require.Error(t, err)
	_, err = messenger.NewClient(messenger.ClientConfig{Security: messenger.Security{CertFile: "missing"}})
	require.Error(t, err)
}

// BenchmarkExchange measures an exchange, both ends together.
func BenchmarkExchange(b *testing.B) {
	server, err := messenger.NewServer(echo{}, messenger.Security{})
	require.NoError(b, err)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(b, err)
	go func() { _ = server.Serve(listener) }()
	defer server.Stop()
	c, err := messenger.NewClient(messenger.ClientConfig{})
	require.NoError(b, err)
	defer c.Close()
	for b.Loop() {
		_, err := c.Exchange(context.Background(), listener.Addr().String(), &messenger.Exchange{Generation: 4})
		require.NoError(b, err)
	}
}

// The connection to a peer goes silent while new ones work. Every call used it again, so
// the peer could not be called until the kernel gave the connection up.
func TestCallsToPeersOverASilentConnection(t *testing.T) {
	listener, c := serveSilently(t, messenger.Security{}), client(t, messenger.Security{})
	exchange := func() error {
		ctx, cancel := context.WithTimeout(t.Context(), 500*time.Millisecond)
		defer cancel()
		_, err := c.Exchange(ctx, listener.Addr().String(), &messenger.Exchange{})
		return err
	}
	require.NoError(t, exchange())
	listener.Silence()
	require.Error(t, exchange())
	require.NoError(t, exchange())
}

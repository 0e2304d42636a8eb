package commander

import (
	"context"
	"fmt"
	"net"
	"net/url"
	"os"
	"regexp"
	"strings"
	"time"

	"github.com/rs/zerolog"
	"go.uber.org/fx"

	"github.com/galenahitch/galenahitch/internal/dispatcher"
	"github.com/galenahitch/galenahitch/internal/logger"
	"github.com/galenahitch/galenahitch/internal/messenger"
	"github.com/galenahitch/galenahitch/internal/provider"
	"github.com/galenahitch/galenahitch/internal/server"
	"github.com/galenahitch/galenahitch/internal/timekeeper"
	"github.com/galenahitch/galenahitch/pkg/tracker"
)

// Settings are the settings of an entry process. They hold no secrets: tokens are
// given as digests, keys as paths of files.
type Settings struct {
	ID            string        `long:"id" env:"GALENAHITCH_ID" description:"id of this VM in the platform's list"`
	FailureDomain string        `long:"failure-domain" env:"GALENAHITCH_FAILURE_DOMAIN" description:"failure domain of this VM"`
	Listen        string        `long:"listen" env:"GALENAHITCH_LISTEN" default:"127.0.0.1:8080" description:"address for callers, ip:port"`
	AdminListen   string        `long:"admin-listen" env:"GALENAHITCH_ADMIN_LISTEN" default:"127.0.0.1:8081" description:"address for operators and metrics, ip:port"`
	PeerListen    string        `long:"peer-listen" env:"GALENAHITCH_PEER_LISTEN" default:"127.0.0.1:8082" description:"address for other entries, ip:port"`
	PeerAddress   string        `long:"peer-address" env:"GALENAHITCH_PEER_ADDRESS" description:"address at which other entries reach this one; the default is --peer-listen"`
	LocalIP       string        `long:"local-ip" env:"GALENAHITCH_LOCAL_IP" description:"local IP address of outgoing connections; the default is any"`
	Platform      string        `long:"platform" env:"GALENAHITCH_PLATFORM" default:"http://127.0.0.1:7000" description:"URL of the platform's API for the table, the VM list and notices"`
	Seeds         []string      `long:"seed" env:"GALENAHITCH_SEEDS" env-delim:"," description:"address of a peer, used at a start while the platform is unreachable; may be repeated"`
	Operators     []string      `long:"operator" env:"GALENAHITCH_OPERATORS" env-delim:"," description:"name:sha256, an operator's name and the SHA-256 of its token in hex; may be repeated"`
	PeerCert      string        `long:"peer-cert" env:"GALENAHITCH_PEER_CERT" description:"certificate file for mutual authentication between entries"`
	PeerKey       string        `long:"peer-key" env:"GALENAHITCH_PEER_KEY" description:"key file of --peer-cert"`
	PeerCA        string        `long:"peer-ca" env:"GALENAHITCH_PEER_CA" description:"file of the certificate authority that signs entries' certificates"`
	LogLevel      string        `long:"log-level" env:"GALENAHITCH_LOG_LEVEL" default:"info" description:"debug, info, warn or error"`
	StopGrace     time.Duration `long:"stop-grace" env:"GALENAHITCH_STOP_GRACE" default:"10m" description:"maximum time for accepted requests to finish on a planned stop"`
	LeaseLifetime time.Duration `long:"lease-lifetime" env:"GALENAHITCH_LEASE_LIFETIME" default:"3s" description:"lifetime of a leader's lease after its last renewal"`
}

var operatorPattern = regexp.MustCompile(`^([A-Za-z0-9_.-]{1,64}):([0-9a-f]{64})$`)

// Check returns all mistakes in the settings.
func (s *Settings) Check() []string {
	var problems []string
	require := func(ok bool, format string, args ...any) {
		if !ok {
			problems = append(problems, fmt.Sprintf(format, args...))
		}
	}
	require(s.ID != "", "--id is missing: give this VM's id")
	require(s.FailureDomain != "", "--failure-domain is missing: give this VM's failure domain")
	for _, address := range []struct{ flag, value string }{
		{"--listen", s.Listen}, {"--admin-listen", s.AdminListen}, {"--peer-listen", s.PeerListen},
	} {
		require(isIPPort(address.value), "%s %q is not an ip:port", address.flag, address.value)
	}
	require(s.PeerAddress == "" || isIPPort(s.PeerAddress), "--peer-address %q is not an ip:port", s.PeerAddress)
	require(s.LocalIP == "" || net.ParseIP(s.LocalIP) != nil, "--local-ip %q is not an IP number", s.LocalIP)
	platform, err := url.Parse(s.Platform)
	require(err == nil && platform.Host != "" && platform.Scheme != "", "--platform %q is not a URL", s.Platform)
	for _, seed := range s.Seeds {
		require(isIPPort(seed), "--seed %q is not an ip:port", seed)
	}
	for _, operator := range s.Operators {
		require(operatorPattern.MatchString(operator), "--operator must be name:sha256 with 64 hex digits")
	}
	files := 0
	for _, file := range []string{s.PeerCert, s.PeerKey, s.PeerCA} {
		if file != "" {
			files++
		}
	}
	require(files == 0 || files == 3, "--peer-cert, --peer-key and --peer-ca go together")
	_, err = zerolog.ParseLevel(s.LogLevel)
	require(err == nil && s.LogLevel != "", "--log-level %q is not known", s.LogLevel)
	require(s.StopGrace > 0, "--stop-grace must be positive")
	require(s.LeaseLifetime >= 300*time.Millisecond, "--lease-lifetime must be at least 300ms")
	return problems
}

func isIPPort(address string) bool {
	host, port, err := net.SplitHostPort(address)
	return err == nil && net.ParseIP(host) != nil && port != ""
}

type serveCommand struct {
	command
	Settings
}

// Execute runs an entry process until it gets SIGTERM or SIGINT.
func (c *serveCommand) Execute([]string) error {
	if problems := c.Check(); len(problems) > 0 {
		return fail(ExitUsage, "the settings have mistakes:\n  %s", strings.Join(problems, "\n  "))
	}
	log, err := logger.New(c.io.Err, c.LogLevel)
	if err != nil {
		return fail(ExitUsage, "%v", err)
	}
	app := fx.New(
		fx.NopLogger,
		fx.StopTimeout(c.StopGrace+time.Minute),
		fx.Supply(&c.Settings, log),
		fx.Provide(
			func() func() time.Time { return c.io.Now },
			newPlatformClient, newUpstreamClient, newPeerClient, newServer,
		),
		fx.Invoke(registerHooks),
	)
	if err := app.Err(); err != nil {
		return fail(ExitUsage, "%v", err)
	}
	if err := app.Start(context.Background()); err != nil {
		return fail(ExitFailed, "%v", err)
	}
	shutdown := <-app.Wait()
	if err := app.Stop(context.Background()); err != nil {
		return fail(ExitFailed, "%v", err)
	}
	if shutdown.ExitCode != 0 {
		return fail(ExitFailed, "the entry stopped by itself; its log says why")
	}
	return nil
}

func newPlatformClient(s *Settings, log zerolog.Logger) *provider.HTTP {
	return provider.NewHTTP(provider.HTTPConfig{BaseURL: s.Platform, LocalIP: s.LocalIP, Log: log})
}

func newUpstreamClient(s *Settings) *dispatcher.HTTP {
	return dispatcher.NewHTTP(dispatcher.Config{LocalIP: s.LocalIP})
}

func (s *Settings) security() messenger.Security {
	return messenger.Security{CertFile: s.PeerCert, KeyFile: s.PeerKey, CAFile: s.PeerCA}
}

func newPeerClient(s *Settings) (*messenger.Client, error) {
	return messenger.NewClient(messenger.ClientConfig{LocalIP: s.LocalIP, Security: s.security()})
}

func newServer(s *Settings, log zerolog.Logger, now func() time.Time, platform *provider.HTTP, upstreams *dispatcher.HTTP, peers *messenger.Client) *server.Server {
	address := s.PeerAddress
	if address == "" {
		address = s.PeerListen
	}
	cfg := server.Config{
		Self:   tracker.Member{ID: s.ID, Address: address, FailureDomain: s.FailureDomain},
		Listen: s.Listen, AdminListen: s.AdminListen, PeerListen: s.PeerListen,
		Seeds: s.Seeds, Table: platform, Cloud: platform, Upstreams: upstreams, Peers: peers,
		Security: s.security(), Log: log, Now: now, LeaseNow: timekeeper.Now, StopGrace: s.StopGrace, LeaseLifetime: s.LeaseLifetime,
	}
	for _, operator := range s.Operators {
		match := operatorPattern.FindStringSubmatch(operator)
		cfg.Operators = append(cfg.Operators, server.Operator{Name: match[1], TokenSHA256: match[2]})
	}
	return server.New(cfg)
}

// registerHooks runs the entry while the application runs. An error of the entry
// shuts the application down.
func registerHooks(lifecycle fx.Lifecycle, shutdowner fx.Shutdowner, s *server.Server) {
	ctx, cancel := context.WithCancel(context.Background())
	serverDone := make(chan struct{})
	lifecycle.Append(fx.Hook{
		OnStart: func(context.Context) error {
			go func() {
				defer close(serverDone)
				if err := s.Run(ctx); err != nil {
					fmt.Fprintln(os.Stderr, "galenahitch: "+err.Error())
					_ = shutdowner.Shutdown(fx.ExitCode(int(ExitFailed)))
				}
			}()
			return nil
		},
		OnStop: func(ctx context.Context) error {
			cancel()
			select {
			case <-serverDone:
				return nil
			case <-ctx.Done():
				return ctx.Err()
			}
		},
	})
}

package commander

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/rs/zerolog"

	"github.com/galenahitch/galenahitch/internal/dispatcher"
	"github.com/galenahitch/galenahitch/internal/emulator"
	"github.com/galenahitch/galenahitch/internal/messenger"
	"github.com/galenahitch/galenahitch/internal/provider"
	"github.com/galenahitch/galenahitch/internal/server"
	"github.com/galenahitch/galenahitch/pkg/planner"
	"github.com/galenahitch/galenahitch/pkg/tracker"
)

const (
	demoToken   = "demo-operator"
	demoCaller  = "demo-mercado-sol"
	demoTimeout = 60 * time.Second
	demoSlots   = 64
)

// demoAnswers are a small firm's answers to the questionnaire, with moves that are
// fast enough for a demonstration. %s stands for the digest of the caller's token.
const demoAnswers = `firm: demonstration
trade: size advice for web shoppers
region: local
failure_domains: [zone-a, zone-b]
organisations:
  - {name: mercado-sol, size: large, token_sha256: %s}
deployments:
  - {name: size-advice, kind: model, version: v1}
  - {name: fit-profile, kind: service, version: v1}
requests:
  - {name: chat-answer, deployment: size-advice, may_be_repeated: true, urgency: high, answer_within: 580ms, finish_within: 60s}
  - {name: profile-save, deployment: fit-profile, may_be_repeated: false, urgency: normal, answer_within: 2s, finish_within: 10s}
moves: {finish_within: 12s, watch_after: 1s, caution: low}
`

type demoCommand struct {
	command
	Hold bool `long:"hold" description:"after the demonstration keep serving until interrupted"`
}

// demo is one entry with an emulated platform, engines and a service, all in this
// process.
type demo struct {
	command
	platform  *emulator.Platform
	engines   map[string]*emulator.Engine
	service   *emulator.Service
	entry     *server.Server
	callerURL string
	admin     adminCommand
	listeners []net.Listener
}

// Execute runs the steps of the demonstration and stops at the first that fails.
func (c *demoCommand) Execute([]string) error {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	d := &demo{command: c.command, engines: map[string]*emulator.Engine{}}
	defer d.close()
	if err := d.build(); err != nil {
		return fail(ExitFailed, "the stand-ins did not start: %v", err)
	}
	serverDone := make(chan error, 1)
	serverCtx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go func() { serverDone <- d.entry.Run(serverCtx) }()
	for _, step := range []struct {
		name string
		run  func(context.Context) (string, error)
	}{
		{"answers to the questionnaire in force", d.configure},
		{"an answer streamed", d.stream},
		{"a reclaim survived", d.reclaim},
		{"a duplicate refused a second run", d.duplicate},
		{"a bad version taken back", d.badVersion},
	} {
		summary, err := step.run(ctx)
		if err != nil {
			c.printf("FAILED  %s: %v", step.name, err)
			return fail(ExitFailed, "the demonstration failed")
		}
		c.printf("held    %s: %s", step.name, summary)
	}
	if c.Hold {
		c.printf("serving callers at %s (token %s) and operators at %s (token %s); interrupt to stop", d.callerURL, demoCaller, d.admin.Admin, demoToken)
		<-ctx.Done()
	}
	cancel()
	if err := <-serverDone; err != nil {
		return fail(ExitFailed, "the entry did not stop cleanly: %v", err)
	}
	c.printf("stopped with nothing cut")
	return nil
}

// serve serves a handler on a free port and returns the address.
func (d *demo) serve(handler http.Handler) (string, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	d.listeners = append(d.listeners, listener)
	go func() { _ = http.Serve(listener, handler) }()
	return listener.Addr().String(), nil
}

func (d *demo) close() {
	for _, listener := range d.listeners {
		_ = listener.Close()
	}
}

// freeAddress returns a loopback address with a free port.
func freeAddress() (string, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	defer listener.Close()
	return listener.Addr().String(), nil
}

func (d *demo) build() error {
	d.platform = emulator.NewPlatform(d.io.Now)
	platformAddress, err := d.serve(d.platform.Handler())
	if err != nil {
		return err
	}
	for _, e := range []struct{ id, domain, version string }{
		{"engine-1", "zone-a", "v1"}, {"engine-2", "zone-b", "v1"}, {"engine-3", "zone-b", "v2"},
	} {
		d.engines[e.id] = emulator.NewEngine(emulator.EngineConfig{Version: e.version, Slots: demoSlots, FirstTokenDelay: 2 * time.Millisecond, TokenInterval: 2 * time.Millisecond})
		if err := d.addVM(d.engines[e.id].Handler(), provider.VM{ID: e.id, Role: provider.RoleEngine, FailureDomain: e.domain, Deployment: "size-advice", Version: e.version}); err != nil {
			return err
		}
	}
	d.service = emulator.NewService(emulator.ServiceConfig{Version: "v1", Slots: demoSlots, Delay: 5 * time.Millisecond})
	if err := d.addVM(d.service.Handler(), provider.VM{ID: "service-1", Role: provider.RoleService, FailureDomain: "zone-a", Deployment: "fit-profile", Version: "v1"}); err != nil {
		return err
	}
	return d.buildEntry(platformAddress)
}

func (d *demo) addVM(handler http.Handler, vm provider.VM) error {
	address, err := d.serve(handler)
	if err != nil {
		return err
	}
	vm.Address, vm.Slots, vm.Reclaimable = address, demoSlots, true
	d.platform.AddVM(vm)
	return nil
}

func (d *demo) buildEntry(platformAddress string) error {
	var addresses [3]string
	for i := range addresses {
		var err error
		if addresses[i], err = freeAddress(); err != nil {
			return err
		}
	}
	peers, err := messenger.NewClient(messenger.ClientConfig{})
	if err != nil {
		return err
	}
	platform := provider.NewHTTP(provider.HTTPConfig{BaseURL: "http://" + platformAddress})
	d.callerURL = "http://" + addresses[0]
	d.admin = adminCommand{command: d.command, Admin: "http://" + addresses[1], Token: demoToken, Output: "text"}
	self := tracker.Member{ID: "entry-1", Address: addresses[2], FailureDomain: "zone-a"}
	d.platform.AddVM(provider.VM{ID: self.ID, Role: provider.RoleEntry, Address: addresses[0], PeerAddress: self.Address, FailureDomain: self.FailureDomain})
	d.entry = server.New(server.Config{
		Self: self, Listen: addresses[0], AdminListen: addresses[1], PeerListen: addresses[2],
		Operators: []server.Operator{{Name: "demo", TokenSHA256: digest(demoToken)}},
		Table:     platform, Cloud: platform, Upstreams: dispatcher.NewHTTP(dispatcher.Config{}), Peers: peers,
		Log: zerolog.Nop(), Now: d.io.Now,
	})
	return nil
}

func digest(token string) string {
	sum := sha256.Sum256([]byte(token))
	return hex.EncodeToString(sum[:])
}

// configure submits the answers and waits until the entry lists all upstreams.
func (d *demo) configure(context.Context) (string, error) {
	answers := fmt.Sprintf(demoAnswers, digest(demoCaller))
	if _, problems := planner.Check([]byte(answers)); len(problems) > 0 {
		return "", problems[0]
	}
	var accepted server.Accepted
	err := d.poll(demoTimeout, func() (bool, error) {
		response, err := callAdmin[server.Accepted](&d.admin, http.MethodPost, "/answers/submit", server.Submission{Answers: answers})
		accepted = response
		return err == nil, nil
	})
	if err != nil {
		return "", err
	}
	err = d.poll(demoTimeout, func() (bool, error) {
		list, err := callAdmin[[]server.UpstreamStatus](&d.admin, http.MethodGet, "/upstreams", struct{}{})
		return len(list) == len(d.engines)+1, err
	})
	return fmt.Sprintf("generation %d", accepted.Generation), err
}

// post sends a caller's request, with an idempotency key if key is not empty, and
// returns the status and body of the response.
func (d *demo) post(ctx context.Context, path, key, body string) (int, string, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, d.callerURL+path, stringReader(body))
	if err != nil {
		return 0, "", err
	}
	req.Header.Set("Authorization", "Bearer "+demoCaller)
	if key != "" {
		req.Header.Set("Idempotency-Key", key)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0, "", err
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes))
	return resp.StatusCode, string(text), err
}
